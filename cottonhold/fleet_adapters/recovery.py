"""The rim of recovery: the census's words, the memory's questions, the disk. Decides nothing."""

from __future__ import annotations

import secrets
from collections.abc import Callable, Iterable, Mapping
from pathlib import Path
from typing import Any

from cottonhold.config.installation import Installation
from cottonhold.fleet.coordinator import FleetCoordinator
from cottonhold.fleet.failover_cost.estimator import CostEstimator
from cottonhold.fleet.message_format import MessageError
from cottonhold.fleet.recovery import load_history, survey_results
from cottonhold.fleet.recovery.load_history import (
    FleetState,
    LoadHistory,
    LoadHistorySettings,
    LoadSettled,
    SendToDispatcher,
)
from cottonhold.fleet.recovery.local_loads import hold_ms_for
from cottonhold.fleet.recovery.membership_survey import MembershipSurvey
from cottonhold.fleet.recovery.messages import (
    BASE_PER_BOOT,
    LOAD_ANSWER,
    PRESENCE,
    MemoryState,
    Presence,
    decode,
)
from cottonhold.fleet.recovery.slow_start import OutageScope
from cottonhold.fleet.recovery.survey_results import (
    DuplicateIdentity,
    OutageVerdict,
    PeerBootLearned,
    ProvenSilence,
    RaiseBoot,
    SendMessage,
    StoreBase,
    SurveySettings,
    SurveyView,
    ViewChanged,
)
from cottonhold.fleet_adapters.load_records import (
    LoadRecorder,
    UnavailableLoadGuard,
    guarded_class_indices,
    recorded_loads,
)
from cottonhold.fleet_adapters.write_queue import RETRY_MS
from cottonhold.membership.swim import Swim
from cottonhold.observe.counters import Counters
from cottonhold.store.health import Completeness
from cottonhold.store.ledger import Ledger
from cottonhold.store.records import Hint, Record, RecordError, RecordKind
from cottonhold.transport.clock import Clock, Timer

MEMORY_NAMES = {
    MemoryState.EMPTY: "empty",
    MemoryState.INTACT: "kept",
    MemoryState.STALE: "old",
}  # in the status
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


def guarded_classes(installation: Installation) -> dict[int, bool]:
    """The classes whose requests are remembered, and whether a good end of one may be said."""
    classes = installation.file.classes
    return {i: classes[i].again == "served" for i in guarded_class_indices(installation.config.settings)}


def hold_ms_of(installation: Installation) -> float:
    """How long after it was sent a load can still be asked about, in ms."""
    classes = installation.file.classes
    return hold_ms_for(classes[i].deadline_ms for i in guarded_class_indices(installation.config.settings))


def unavailable_guard(
    installation: Installation, found: Mapping[bytes, bytes], clock: Clock, counters: Counters
) -> UnavailableLoadGuard:
    """The guard while the folder can't be had. found: its loads, as far as they could be read."""
    file, hold = installation.file, hold_ms_of(installation)
    kept, _ = recorded_loads(found)
    memory = LoadHistory(file.number, file.dispatchers, 0, clock.now(), kept, LoadHistorySettings(hold), 0)
    cooldown = min(installation.config.settings.features.max_retry_after_ms, memory.settings.retry_after_ms)
    return UnavailableLoadGuard(guarded_classes(installation), cooldown, memory, clock.now, counters)


def incarnation_of(ledger: Ledger) -> int:
    """The life that an instance's words carry."""
    return LIFE_BASE + ledger.boot_count & 0xFFFF_FFFF


def restore_site_report(ledger: Ledger, outlook: CostEstimator) -> bool:
    """Tell the outlook what it told of its site before the power went; false if that can't be read."""
    value = ledger.records(RecordKind.WARM_DATA).get(SITE)
    try:
        if value is not None:
            outlook.restore(Hint.decode(value).value)
    except (RecordError, MessageError):
        return False
    return True


def save_site_report(ledger: Ledger, outlook: CostEstimator, now: float) -> None:
    """Put what the outlook tells of its site on the disk, if it is time to."""
    if data := outlook.report_to_save(now):
        ledger.put([Record(RecordKind.WARM_DATA, SITE, Hint(data, 0.0).encode())])


class RecoveryAdapter:
    """Feeds census and memory, keeps their timer, and carries out what they say."""

    def __init__(
        self,
        installation: Installation,
        ledger: Ledger,
        swim: Swim | None,
        fleet: FleetCoordinator | None,
        clock: Clock,
        hop: Callable[[Callable[[], None]], object],
        say: Callable[[int, bytes], None],
        counters: Counters,
        note: Callable[..., None],
    ) -> None:
        file, now = installation.file, clock.now()
        self.ledger, self.swim, self.fleet, self.clock = ledger, swim, fleet, clock
        self.say, self.counters, self.note = say, counters, note
        if (
            fleet is not None
            and fleet.failover_cost is not None
            and not restore_site_report(ledger, fleet.failover_cost)
        ):
            counters.add("recovery_malformed")
        kept, records = recorded_loads(ledger.records(RecordKind.LOAD))
        known = _known(ledger)
        boot, mark = (
            int.from_bytes(ledger.records(RecordKind.INCARNATION).get(key, b""), "big")
            for key in (BASE, MARK)
        )
        base = boot * BASE_PER_BOOT + mark if boot else 0
        whole = MemoryState.INTACT if base else MemoryState.STALE
        memory = whole if ledger.completeness is Completeness.COMPLETE else MemoryState.EMPTY
        guards, hold = guarded_classes(installation), hold_ms_of(installation)
        self.hold_ms, self.hop = hold, hop
        self.survey = MembershipSurvey(
            file.number,
            file.dispatchers,
            dict(enumerate(file.peers.zones)) if file.peers is not None else {},
            ledger.boot_count,
            secrets.randbits(32),
            memory,
            ledger.closed_cleanly,
            {number: boot for number, (boot, _) in known.items()},
            now,
            SurveySettings(hold_ms=hold),
            base,
            {number: told for number, (_, told) in known.items()},
        )
        self.history = LoadHistory(
            file.number,
            file.dispatchers,
            ledger.boot_count,
            now,
            kept,
            LoadHistorySettings(hold),
            secrets.randbits(31),
        )
        self.load_guard = LoadRecorder(
            self.history,
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
        self.has_other_prerequisites: Callable[[], bool] = (
            lambda: True
        )  # what else has to be known before loads go out
        self.timer: Timer | None = None
        self.silent: dict[int, ProvenSilence] = {}
        self.silent_at = -MOST_MS
        self.reported_loss = OutageVerdict.NOTHING, frozenset[str]()  # the loss that the fleet was told of
        note(
            "recovered",
            boot=ledger.boot_count,
            memory=MEMORY_NAMES[memory],
            why=ledger.reason,
            loads=len(kept),
        )

    def start(self) -> None:
        """Begin; from now on it steps by its own timer."""
        self._step()

    def on_member_joined(self) -> None:
        """Another instance is there: it is told of this one at once."""
        self._arm(LEAST_MS)

    def told(self, member: int, payload: bytes) -> bool:
        """Whether bytes from another instance are recovery's; those that make no sense are counted."""
        if not payload or not PRESENCE <= payload[0] <= LOAD_ANSWER + 1:
            return False
        now = self.clock.now()
        try:
            word = decode(payload)
        except MessageError:
            self.counters.add("recovery_malformed")
            return True
        if isinstance(word, Presence):
            self.survey.on_message(now, member, word)
            if self.history.has_pending:
                self._arm(LEAST_MS)
            elif not self.survey.view.is_settled:  # what was away is weighed as soon as it can be known
                self._arm(min(self.survey.next_at(), self.history.next_at()) - now)
            return True
        number = self.survey.number_of(member)
        if number is None:
            self.counters.add("recovery_unbound")
            return True
        self._carry_out(self.history.on_message(now, number, word))
        return True

    def close(self) -> None:
        """The end of this life, by order."""
        if self.timer is not None:
            self.timer.cancel()
        self.ledger.close(clean=True)

    def status(self) -> dict[str, Any]:
        """The view of this instance, for operators."""
        view = self.survey.view
        health = self.ledger.health(self.ledger.clock())
        return {
            "recovery": {
                "boot": self.ledger.boot_count,
                "memory": MEMORY_NAMES[self.survey.memory],
                "confirmed": self.survey.has_confirmed_memory(),
                "marks": self.survey.base % BASE_PER_BOOT,
                "disk": health.state.value,
                "disk_why": health.reason,
                "verdict": view.verdict.value,
                "settled": view.is_settled,
                "lost": sorted(view.restarted),
                "missing": sorted(view.missing),
                "sends_loads": self._sends_loads(),
                "twice": self.survey.duplicate is not None,
                "loads_remembered": len(self.history.local.entries),
                "loads_asked": len(self.history.pending),
                "hold_ms": self.hold_ms,
            }
        }

    # --- steps ---

    def _carry_out_soon(self, actions: Iterable[load_history.Action]) -> None:
        self._carry_out(actions)
        self._arm(LEAST_MS)

    def _step(self) -> None:
        now = self.clock.now()
        self.survey.set_members(now, self.swim.live_members() if self.swim is not None else ())
        if self.history.has_pending:
            self.survey.expedite(now)
        self._carry_out(self.survey.step(now))
        census = self.survey
        # Danger: who is gone is weighed over all of all: with half of 500 away 29 ms each time, a sixth of
        # all time. Only a retry that waits needs it so soon; what may be forgotten does not.
        waiting = self.history.has_pending
        if not waiting and not census.view.missing:
            self.silent = {}
        elif now - self.silent_at >= (GONE_MS if waiting else MOST_MS):
            self.silent, self.silent_at = census.proven_silent(now), now
        apart = census.is_partitioned(self.silent)
        around = FleetState(
            self._sends_loads(), census.has_confirmed_memory(), census.memory, self.silent, apart
        )
        self._carry_out(self.history.step(now, around))
        self.load_guard.expire()
        if self.fleet is not None and self.fleet.failover_cost is not None:
            save_site_report(self.ledger, self.fleet.failover_cost, now)
        self._arm(min(self.survey.next_at(), self.history.next_at()) - now)

    def _sends_loads(self) -> bool:
        """Whether loads may go out now."""
        return self.survey.may_send_loads(self.clock.now()) and self.has_other_prerequisites()

    def _arm(self, ms: float) -> None:
        if self.timer is not None:
            self.timer.cancel()
        self.timer = self.clock.call_in(min(max(ms, LEAST_MS), MOST_MS), self._step)

    def _carry_out(self, actions: Iterable[survey_results.Action | load_history.Action]) -> None:
        for action in actions:
            match action:
                case SendMessage(member, data):
                    self.say(member, data)
                case SendToDispatcher(number, data):
                    if (known := self.survey.member_of(number)) is not None:
                        self.say(known, data)
                case LoadSettled():
                    self.load_guard.on_settled(action)
                case ViewChanged(view):
                    self._changed(view)
                case RaiseBoot(least):
                    self.counters.add("boots_raised")
                    self.note("boot", least=least, memory=MEMORY_NAMES[self.survey.memory])
                    self.ledger.raise_boot_count(least)
                    self.survey.on_boot_stored(self.clock.now(), self.ledger.boot_count)
                    self._live_on()
                case DuplicateIdentity(later):
                    self.counters.add("twice")
                    self.note("twice", later=later)
                case PeerBootLearned(number, boot, base):
                    hint = Hint(boot.to_bytes(8, "big") + base.to_bytes(8, "big"), 0.0)
                    self.ledger.put([Record(RecordKind.MEMBER, number.to_bytes(2, "big"), hint.encode())])
                case StoreBase(base):
                    self._base(base)

    def _base(self, base: int) -> None:
        """Up to this boot and mark the folder's loads are whole; told once the disk has it."""

        def done(durable: bool) -> None:
            self.hop(lambda: self._based(base, durable))

        if base:
            self.ledger.mark_complete()
        parts = zip((BASE, MARK), divmod(base, BASE_PER_BOOT), strict=True)
        self.ledger.put(
            [Record(RecordKind.INCARNATION, key, part.to_bytes(8, "big")) for key, part in parts], done
        )

    def _based(self, base: int, durable: bool) -> None:
        if durable:
            self.survey.on_base_stored(self.clock.now(), base)
            return

        def again() -> None:
            if self.survey.requested_base == base:
                self._base(base)

        # Danger: put once, a folder found to be an old one stayed whole on a disk that failed just then, and
        # after the next power loss said 'never' of what had been sent since.
        self.clock.call_in(RETRY_MS, again)

    def _live_on(self) -> None:
        """Words go on above those of the lives that the folder forgot."""
        if self.fleet is not None:
            self.fleet.set_incarnation(incarnation_of(self.ledger))

    def _changed(self, view: SurveyView) -> None:
        self.counters.add(f"census_{view.verdict.value}")
        self.note(
            "census",
            verdict=view.verdict.value,
            settled=view.is_settled,
            lost=",".join(map(str, sorted(view.restarted))) or "none",
            missing=",".join(map(str, sorted(view.missing))) or "none",
        )
        if self.fleet is not None:
            self._tell_fleet(self.fleet, view)

    def _tell_fleet(self, fleet: FleetCoordinator, view: SurveyView) -> None:
        # Danger: told again with each change of who is missing, engines that had shown that they are warm
        # were held for cold once more.
        now, (verdict, zones) = self.clock.now(), self.reported_loss
        self.reported_loss = (
            view.verdict,
            view.lost_zones if view.verdict is OutageVerdict.ZONE else frozenset(),
        )
        if view.verdict is OutageVerdict.FLEET and verdict is not OutageVerdict.FLEET:
            fleet.on_loss(now, OutageScope.FLEET, since=view.first_start)
        elif view.verdict is OutageVerdict.ZONE and view.lost_zones - zones:
            fleet.on_loss(now, OutageScope.ZONE, sorted(view.lost_zones - zones), view.first_start)
        elif view.verdict in (OutageVerdict.ALONE, OutageVerdict.SOME) and verdict is OutageVerdict.NOTHING:
            if self.survey.number in view.restarted:
                fleet.on_loss(now, OutageScope.ALONE)


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
