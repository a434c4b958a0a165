"""The rim of recovery: the census's words, the memory's questions, the disk. Decides nothing."""

from __future__ import annotations

import secrets
from collections.abc import Callable, Iterable, Mapping
from pathlib import Path
from typing import Any

from cottonhold.config.installation import Installation
from cottonhold.fleet.coordinator import Fleet
from cottonhold.fleet.failover_cost.estimator import Outlook
from cottonhold.fleet.message_format import MessageError
from cottonhold.fleet.recovery import load_history as memory_of
from cottonhold.fleet.recovery import membership_survey as census_of
from cottonhold.fleet.recovery.load_history import Around, Memory, MemorySettings, hold_for
from cottonhold.fleet.recovery.membership_survey import Census, CensusSettings, Gone, Verdict, View
from cottonhold.fleet.recovery.messages import ANSWER, BASE_STEP, HERE, Here, MemoryState, read
from cottonhold.fleet.recovery.slow_start import Lost
from cottonhold.fleet_adapters.load_records import Loads, Unkept, guarded, kept_loads
from cottonhold.fleet_adapters.write_queue import AGAIN_MS
from cottonhold.membership.swim import Swim
from cottonhold.node.clock import Clock, Timer
from cottonhold.observe.counters import Counters
from cottonhold.store.health import Completeness
from cottonhold.store.ledger import Ledger
from cottonhold.store.records import Hint, Record, RecordError, RecordKind

LEAST_MS, MOST_MS = 5.0, 1000.0  # between two steps
GONE_MS = 200.0  # so often who is gone is weighed anew: a round of the census's words
SITE = b"site"  # the record of the own word of what clients ask for: a hint
BASE = b"base"  # the record of the boot up to which a folder's loads are whole; none: they are not
MARK = b"mark"  # and of the mark in that boot; beside it, so that a program from before marks reads the boot
BOOT_STEP = 1 << 42  # of an incarnation for each boot: more than those of a clock's ms, which came before
LIFE_BASE = 0x8000_0000  # of a life counted by boots: above all that were taken from a clock


def open_ledger(installation: Installation, folder: Path) -> Ledger | None:
    """The instance's ledger; None where none is kept. Raises StoreError."""
    if not installation.file.state_dir:
        return None
    return Ledger.open(folder / installation.file.state_dir, installation.file.name)


def guarded_by(installation: Installation) -> dict[int, bool]:
    """The classes whose requests are remembered, and whether a good end of one may be said."""
    classes = installation.file.classes
    return {i: classes[i].again == "served" for i in guarded(installation.config.settings)}


def hold_of(installation: Installation) -> float:
    """How long after it was sent a load can still be asked about, in ms."""
    classes = installation.file.classes
    return hold_for(classes[i].deadline_ms for i in guarded(installation.config.settings))


def unkept_guard(
    installation: Installation, found: Mapping[bytes, bytes], clock: Clock, counters: Counters
) -> Unkept:
    """The guard while the folder can't be had. found: its loads, as far as they could be read."""
    file, hold = installation.file, hold_of(installation)
    kept, _ = kept_loads(found)
    memory = Memory(file.number, file.dispatchers, 0, clock.now(), kept, MemorySettings(hold), 0)
    cooldown = min(installation.config.settings.features.max_retry_after_ms, memory.settings.cooldown)
    return Unkept(guarded_by(installation), cooldown, memory, clock.now, counters)


def life_of(ledger: Ledger) -> int:
    """The life that an instance's words carry."""
    return LIFE_BASE + ledger.boot_count & 0xFFFF_FFFF


def recall_site(ledger: Ledger, outlook: Outlook) -> bool:
    """Tell the outlook what it told of its site before the power went; false if that can't be read."""
    value = ledger.records(RecordKind.WARM_DATA).get(SITE)
    try:
        if value is not None:
            outlook.hint(Hint.decode(value).value)
    except (RecordError, MessageError):
        return False
    return True


def keep_site(ledger: Ledger, outlook: Outlook, now: float) -> None:
    """Put what the outlook tells of its site on the disk, if it is time to."""
    if data := outlook.to_keep(now):
        ledger.put([Record(RecordKind.WARM_DATA, SITE, Hint(data, 0.0).encode())])


class RecoveryRim:
    """Feeds census and memory, keeps their timer, and carries out what they say."""

    def __init__(
        self,
        installation: Installation,
        ledger: Ledger,
        swim: Swim | None,
        fleet: Fleet | None,
        clock: Clock,
        hop: Callable[[Callable[[], None]], object],
        say: Callable[[int, bytes], None],
        counters: Counters,
        note: Callable[..., None],
    ) -> None:
        file, now = installation.file, clock.now()
        self.ledger, self.swim, self.fleet, self.clock = ledger, swim, fleet, clock
        self.say, self.counters, self.note = say, counters, note
        if fleet is not None and fleet.outlook is not None and not recall_site(ledger, fleet.outlook):
            counters.add("recovery_malformed")
        kept, records = kept_loads(ledger.records(RecordKind.LOAD))
        known = _known(ledger)
        boot, mark = (
            int.from_bytes(ledger.records(RecordKind.INCARNATION).get(key, b""), "big")
            for key in (BASE, MARK)
        )
        base = boot * BASE_STEP + mark if boot else 0
        whole = MemoryState.KEPT if base else MemoryState.OLD
        memory = whole if ledger.completeness is Completeness.COMPLETE else MemoryState.EMPTY
        guards, hold = guarded_by(installation), hold_of(installation)
        self.hold, self.hop = hold, hop
        self.census = Census(
            file.number,
            file.dispatchers,
            dict(enumerate(file.peers.zones)) if file.peers is not None else {},
            ledger.boot_count,
            secrets.randbits(32),
            memory,
            ledger.closed_cleanly,
            {number: boot for number, (boot, _) in known.items()},
            now,
            CensusSettings(hold=hold),
            base,
            {number: told for number, (_, told) in known.items()},
        )
        self.memory = Memory(
            file.number,
            file.dispatchers,
            ledger.boot_count,
            now,
            kept,
            MemorySettings(hold),
            secrets.randbits(31),
        )
        self.loads = Loads(
            self.memory,
            ledger,
            records,
            guards,
            hold,
            clock.now,
            lambda: ledger.clock(),
            clock.call_in,
            hop,
            self._sends_loads,
            self._carry_out_soon,
            counters,
            note,
        )
        self.knows: Callable[[], bool] = lambda: True  # what else has to be known before loads go out
        self.timer: Timer | None = None
        self.gone: dict[int, Gone] = {}
        self.gone_at = -MOST_MS
        self.away = Verdict.NOTHING, frozenset[str]()  # the loss that the fleet was told of
        note(
            "recovered",
            boot=ledger.boot_count,
            memory=memory.name.lower(),
            why=ledger.reason,
            loads=len(kept),
        )

    def start(self) -> None:
        """Begin; from now on it steps by its own timer."""
        self._step()

    def joined(self) -> None:
        """Another instance is there: it is told of this one at once."""
        self._arm(LEAST_MS)

    def told(self, member: int, payload: bytes) -> bool:
        """Whether bytes from another instance are recovery's; those that make no sense are counted."""
        if not payload or not HERE <= payload[0] <= ANSWER + 1:
            return False
        now = self.clock.now()
        try:
            word = read(payload)
        except MessageError:
            self.counters.add("recovery_malformed")
            return True
        if isinstance(word, Here):
            self.census.hear(now, member, word)
            if self.memory.waiting:
                self._arm(LEAST_MS)
            elif not self.census.view.settled:  # what was away is weighed as soon as it can be known
                self._arm(min(self.census.next_at(), self.memory.next_at()) - now)
            return True
        number = self.census.number_of(member)
        if number is None:
            self.counters.add("recovery_unbound")
            return True
        self._carry_out(self.memory.hear(now, number, word))
        return True

    def close(self) -> None:
        """The end of this life, by order."""
        if self.timer is not None:
            self.timer.cancel()
        self.ledger.close(clean=True)

    def status(self) -> dict[str, Any]:
        """The view of this instance, for operators."""
        view = self.census.view
        health = self.ledger.health(self.ledger.clock())
        return {
            "recovery": {
                "boot": self.ledger.boot_count,
                "memory": self.census.memory.name.lower(),
                "confirmed": self.census.confirmed(),
                "marks": self.census.base % BASE_STEP,
                "disk": health.state.value,
                "disk_why": health.reason,
                "verdict": view.verdict.value,
                "settled": view.settled,
                "lost": sorted(view.lost),
                "missing": sorted(view.missing),
                "sends_loads": self._sends_loads(),
                "twice": self.census.twice is not None,
                "loads_remembered": len(self.memory.own.entries),
                "loads_asked": len(self.memory.pending),
                "hold_ms": self.hold,
            }
        }

    # --- steps ---

    def _carry_out_soon(self, actions: Iterable[memory_of.Action]) -> None:
        self._carry_out(actions)
        self._arm(LEAST_MS)

    def _step(self) -> None:
        now = self.clock.now()
        self.census.members(now, self.swim.live_members() if self.swim is not None else ())
        if self.memory.waiting:
            self.census.hurry(now)
        self._carry_out(self.census.step(now))
        census = self.census
        # Danger: who is gone is weighed over all of all: with half of 500 away 29 ms each time, a sixth of
        # all time. Only a retry that waits needs it so soon; what may be forgotten does not.
        waiting = self.memory.waiting
        if not waiting and not census.view.missing:
            self.gone = {}
        elif now - self.gone_at >= (GONE_MS if waiting else MOST_MS):
            self.gone, self.gone_at = census.gone(now), now
        apart = census.apart(self.gone)
        around = Around(self._sends_loads(), census.confirmed(), census.memory, self.gone, apart)
        self._carry_out(self.memory.step(now, around))
        self.loads.forget()
        if self.fleet is not None and self.fleet.outlook is not None:
            keep_site(self.ledger, self.fleet.outlook, now)
        self._arm(min(self.census.next_at(), self.memory.next_at()) - now)

    def _sends_loads(self) -> bool:
        """Whether loads may go out now."""
        return self.census.loads(self.clock.now()) and self.knows()

    def _arm(self, ms: float) -> None:
        if self.timer is not None:
            self.timer.cancel()
        self.timer = self.clock.call_in(min(max(ms, LEAST_MS), MOST_MS), self._step)

    def _carry_out(self, actions: Iterable[census_of.Action | memory_of.Action]) -> None:
        for action in actions:
            match action:
                case census_of.Say(member, data):
                    self.say(member, data)
                case memory_of.To(number, data):
                    if (known := self.census.member_of(number)) is not None:
                        self.say(known, data)
                case memory_of.Settled():
                    self.loads.settled(action)
                case census_of.Changed(view):
                    self._changed(view)
                case census_of.Boot(least):
                    self.counters.add("boots_raised")
                    self.note("boot", least=least, memory=self.census.memory.name.lower())
                    self.ledger.raise_boot_count(least)
                    self.census.booted(self.clock.now(), self.ledger.boot_count)
                    self._live_on()
                case census_of.Twice(later):
                    self.counters.add("twice")
                    self.note("twice", later=later)
                case census_of.Knew(number, boot, base):
                    hint = Hint(boot.to_bytes(8, "big") + base.to_bytes(8, "big"), 0.0)
                    self.ledger.put([Record(RecordKind.MEMBER, number.to_bytes(2, "big"), hint.encode())])
                case census_of.Whole(base):
                    self._base(base)

    def _base(self, base: int) -> None:
        """Up to this boot and mark the folder's loads are whole; told once the disk has it."""

        def done(durable: bool) -> None:
            self.hop(lambda: self._based(base, durable))

        if base:
            self.ledger.mark_complete()
        parts = zip((BASE, MARK), divmod(base, BASE_STEP), strict=True)
        self.ledger.put(
            [Record(RecordKind.INCARNATION, key, part.to_bytes(8, "big")) for key, part in parts], done
        )

    def _based(self, base: int, durable: bool) -> None:
        if durable:
            self.census.based(self.clock.now(), base)
            return

        def again() -> None:
            if self.census.stored == base:
                self._base(base)

        # Danger: put once, a folder found to be an old one stayed whole on a disk that failed just then, and
        # after the next power loss said 'never' of what had been sent since.
        self.clock.call_in(AGAIN_MS, again)

    def _live_on(self) -> None:
        """Words go on above those of the lives that the folder forgot."""
        if self.fleet is not None:
            self.fleet.live_on(life_of(self.ledger))

    def _changed(self, view: View) -> None:
        self.counters.add(f"census_{view.verdict.value}")
        self.note(
            "census",
            verdict=view.verdict.value,
            settled=view.settled,
            lost=",".join(map(str, sorted(view.lost))) or "none",
            missing=",".join(map(str, sorted(view.missing))) or "none",
        )
        if self.fleet is not None:
            self._tell_fleet(self.fleet, view)

    def _tell_fleet(self, fleet: Fleet, view: View) -> None:
        # Danger: told again with each change of who is missing, engines that had shown that they are warm
        # were held for cold once more.
        now, (verdict, zones) = self.clock.now(), self.away
        self.away = view.verdict, view.zones if view.verdict is Verdict.ZONE else frozenset()
        if view.verdict is Verdict.FLEET and verdict is not Verdict.FLEET:
            fleet.lost(now, Lost.FLEET, since=view.since)
        elif view.verdict is Verdict.ZONE and view.zones - zones:
            fleet.lost(now, Lost.ZONE, sorted(view.zones - zones), view.since)
        elif view.verdict in (Verdict.ALONE, Verdict.SOME) and verdict is Verdict.NOTHING:
            if self.census.me in view.lost:
                fleet.lost(now, Lost.ALONE)


def _known(ledger: Ledger) -> dict[int, tuple[int, int]]:
    """Boots and bases of the others, as far as the folder can be read: hints."""
    known = {}
    for key, value in ledger.records(RecordKind.MEMBER).items():
        try:
            hint = Hint.decode(value).value
        except RecordError:
            continue
        known[int.from_bytes(key, "big")] = int.from_bytes(hint[:8], "big"), int.from_bytes(hint[8:16], "big")
    return known
