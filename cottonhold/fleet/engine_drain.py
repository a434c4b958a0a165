"""Engines that are being swapped: nothing new goes there, and what all dispatchers have out there. Pure.

    kind 96 | member 8 | life 4 | version 4 | rows 1 | rows, each: engine 4 | serial 4 | open 2 | flags 1

A dispatcher tells a row of each engine that it has drained: under which request's serial, how many of its
attempts are out there, and whether the engine is away as it sees it. Words merge by (life, version): in any
order, any number of times. The driver adds them up. Who is live and has not told since it drained the engine
is *unknown*, never zero; who is dead counts as zero once it has been away for `gone`. An engine is away, or
back, by the word of more than half of the live dispatchers: one alone may only have lost its own way there.
"""

from __future__ import annotations

import struct
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass
from enum import IntFlag

from cottonhold.fleet.latest_reports import LatestReports
from cottonhold.fleet.message_format import MAX_MESSAGE_BYTES, MessageError
from cottonhold.fleet.recovery.warmup_messages import engine_number
from cottonhold.fleet.rolling_replacement import plan
from cottonhold.fleet.rolling_replacement.plan import Machine, MachineFlag, ReplacementStep
from cottonhold.store.records import MAX_RECORDS, Hint, Record, RecordKind

DRAINS = 96  # the kind of message
HEAD = struct.Struct("!BQIIB")
ROW = struct.Struct("!IIHB")
MOST_ROWS = (MAX_MESSAGE_BYTES - HEAD.size) // ROW.size
U16, U32 = 0xFFFF, 0xFFFFFFFF
TOLD = (ReplacementStep.DRAINING, ReplacementStep.OUT)


class Says(IntFlag):
    """What a row tells beside its count."""

    AWAY = 1  # the engine is not listed, or does not answer probes


@dataclass(slots=True, frozen=True)
class Row:
    """One dispatcher's word on one engine that it has drained. open: attempts that are out there."""

    serial: int
    open: int
    away: bool = False


@dataclass(slots=True, frozen=True)
class DrainWord:
    """All that one dispatcher tells of drained engines, by their numbers."""

    member: int
    life: int
    version: int
    rows: Mapping[int, Row]

    @property
    def stamp(self) -> tuple[int, int]:
        """What decides which of two words of one member is newer."""
        return self.life, self.version


def pack_word(word: DrainWord) -> bytes:
    """A word's bytes, with as many rows as fit."""
    rows = list(word.rows.items())[:MOST_ROWS]
    head = HEAD.pack(DRAINS, word.member, word.life, word.version, len(rows))
    return head + b"".join(
        ROW.pack(number, r.serial, min(r.open, U16), int(Says.AWAY) if r.away else 0) for number, r in rows
    )


def read_word(data: bytes) -> DrainWord:
    """A word's meaning. Raises MessageError."""
    try:
        kind, member, life, version, count = HEAD.unpack_from(data)
    except struct.error:
        raise MessageError("truncated") from None
    if kind != DRAINS or not member or count > MOST_ROWS or len(data) != HEAD.size + count * ROW.size:
        raise MessageError("drains")
    rows = {}
    for number, serial, open_there, flags in ROW.iter_unpack(data[HEAD.size :]):
        if flags > int(Says.AWAY):
            raise MessageError("flags")
        rows[number] = Row(serial, open_there, bool(flags & Says.AWAY))
    return DrainWord(member, life, version, rows)


@dataclass(slots=True, frozen=True)
class DrainSettings:
    """Times in ms. tell: a word goes to drivers so often; so does each that says something new. knock: a
    drained engine is probed so often. fresh: so old may another's word be. absent: an engine counts as away
    once more than half have said so for so long: one that only paused is no new one. gone: so long a
    dispatcher must be away before what it had out counts as ended with it; alone, wait, stall: see
    `Settled`."""

    tell: float = 200.0
    knock: float = 250.0
    fresh: float = 2000.0
    absent: float = 5000.0
    gone: float = 10_000.0
    alone: float = 10_000.0
    wait: float = 30_000.0
    stall: float = 5000.0


@dataclass(slots=True, frozen=True)
class Tell:
    """A word for a member."""

    member: int
    data: bytes


@dataclass(slots=True, frozen=True)
class Knock:
    """Ask an engine for a sign of life; `probed` is called with its end."""

    engine: str


@dataclass(slots=True)
class Drained:
    """One engine that this instance has drained. failed: probes in a row without an answer, and since when
    it was away by the word of more than half."""

    serial: int
    open: int
    failed: int = 0
    answered: bool = False
    knocked_at: float = -1e12
    away_since: float | None = None
    away: bool = False


class Drains:
    """One instance's part. me: its id among members; life: grows with each start; expected: ids of the
    dispatchers that may be there, though none was seen yet."""

    def __init__(
        self, me: int, life: int, now: float, settings: DrainSettings, expected: Iterable[int] = ()
    ) -> None:
        self.me, self.life, self.settings = me, life & U32, settings
        self.words = LatestReports[DrainWord](me)
        self.live: dict[int, int] = {}
        self.seen = dict.fromkeys(set(expected) - {me}, now)  # member -> when it was last live
        self.listed: dict[str, Machine] = {}
        self.last: dict[str, Machine] = {}  # listed ones, and drained ones as they were last listed
        self.drained: dict[str, Drained] = {}
        self.version, self.told_at, self.told = 0, -1e12, dict[int, Row]()
        self.malformed = 0

    # --- what happens ---

    def members(self, now: float, live: Mapping[int, int]) -> None:
        """Who is live, this one among them or not, and the least life that each one's words may be of."""
        self.live = {m: life & U32 for m, life in live.items() if m != self.me}
        self.seen.update(dict.fromkeys(self.live, now))

    def list_is(self, engines: Mapping[str, Machine]) -> None:
        """Exactly these engines are listed, drained or not."""
        self.listed = dict(engines)
        known = (self.last | self.listed).items()
        self.last = {name: m for name, m in known if name in self.listed or name in self.drained}

    def drain(self, engine: str, serial: int, count: int) -> None:
        """This instance sends nothing new to an engine, by the request of this serial, and has so many
        attempts out there."""
        known = self.drained.get(engine)
        if known is None or known.serial != serial:
            self.drained[engine] = Drained(serial, count)

    def undrain(self, engine: str) -> None:
        """The way back."""
        self.drained.pop(engine, None)

    def count(self, engine: str, count: int) -> None:
        """So many attempts of this instance are out at an engine."""
        if engine in self.drained:
            self.drained[engine].open = count

    def probed(self, engine: str, good: bool) -> None:
        """A probe that this instance was told to send has ended."""
        drained = self.drained.get(engine)
        if drained is not None:
            drained.failed = 0 if good else drained.failed + 1
            drained.answered = good

    def hear(self, now: float, data: bytes) -> None:
        """A word from another instance; one that makes no sense is counted and changes nothing."""
        try:
            self.words.apply(now, read_word(data))
        except MessageError:
            self.malformed += 1

    # --- what follows ---

    def open(self, now: float, engine: str, serial: int) -> int | None:
        """Attempts that all dispatchers have out at an engine; nothing while one of them is unknown."""
        return None if self.untold(now, engine, serial) else sum(self._counts(now, engine, serial))

    def untold(self, now: float, engine: str, serial: int) -> set[int]:
        """The dispatchers that have not told since they drained an engine, by their ids."""
        own = self.drained.get(engine)
        missing = {self.me} if own is None or own.serial != serial else set[int]()
        for member, at in self.seen.items():
            if member in self.live:
                if self._row(now, member, engine, serial) is None:
                    missing.add(member)
            elif now - at <= self.settings.gone:
                missing.add(member)
        return missing

    def there(self, chain: Mapping[str, plan.MachineRecord]) -> list[Machine]:
        """Engines as they are there now: those listed; of drained ones those that are not away. One that has
        been away is there again once it is listed and has answered this instance."""
        found = []
        for name, machine in self.last.items():
            record = chain.get(name)
            back = (
                record is not None
                and record.step is ReplacementStep.OUT
                and record.has_flag(MachineFlag.WAS_AWAY)
            )
            if name not in self.drained or not self.away(name) and (not back or self.answers(name)):
                found.append(machine)
        return found

    def away(self, engine: str) -> bool:
        """Whether an engine is away, by the word of more than half of the live dispatchers."""
        drained = self.drained.get(engine)
        return drained is not None and drained.away

    def answers(self, engine: str) -> bool:
        """Whether a drained engine is listed, and answered this instance's last probe."""
        drained = self.drained.get(engine)
        return drained is not None and drained.answered and engine in self.listed

    def step(self, now: float, chain: Mapping[str, plan.MachineRecord]) -> list[Tell | Knock]:
        """What is to be told to those that drive swaps of engines, and which engines are to be asked."""
        # Danger: of a long request all engines that another id had replaced were told for good, and the one
        # that drained had no room left in the word.
        told = {n: d for n, d in sorted(self.drained.items()) if n in chain and chain[n].step in TOLD}
        actions: list[Tell | Knock] = []
        for engine, drained in told.items():
            if chain[engine].step is ReplacementStep.OUT and now - drained.knocked_at >= self.settings.knock:
                drained.knocked_at = now
                actions.append(Knock(engine))
            self._weigh(now, engine, drained)
        rows = {engine_number(e): Row(d.serial & U32, d.open, self._away(e, d)) for e, d in told.items()}
        drivers = {chain[engine].driver for engine in told} - {self.me, 0}
        due = now - self.told_at >= self.settings.tell or rows != self.told
        if rows and due:
            self.told_at, self.told = now, rows
            self.life, self.version = self.words.next_stamp(self.life, self.version)
            data = pack_word(DrainWord(self.me, self.life, self.version, rows))
            actions += [Tell(member, data) for member in sorted(drivers)]
        return actions

    # --- inside ---

    def _counts(self, now: float, engine: str, serial: int) -> list[int]:
        rows = (self._row(now, member, engine, serial) for member in self.live)
        return [self.drained[engine].open, *(row.open for row in rows if row is not None)]

    def _row(self, now: float, member: int, engine: str, serial: int) -> Row | None:
        """What a live dispatcher tells of an engine that it has drained, in its life of now."""
        heard = self.words.received.get(member)
        # Danger: the last word of a life that has ended said zero, while its next life had requests out.
        if (
            heard is None
            or now - heard.received_at > self.settings.fresh
            or heard.report.life < self.live[member]
        ):
            return None
        row = heard.report.rows.get(engine_number(engine))
        return row if row is not None and row.serial == serial & U32 else None

    def _away(self, engine: str, drained: Drained) -> bool:
        return engine not in self.listed or drained.failed >= 2

    def _weigh(self, now: float, engine: str, drained: Drained) -> None:
        rows = [self._row(now, member, engine, drained.serial) for member in self.live]
        away = self._away(engine, drained) + sum(row is not None and row.away for row in rows)
        if 2 * away <= 1 + len(self.live):
            drained.away_since, drained.away = None, False
        elif drained.away_since is None:
            drained.away_since = now
        # Danger: on a machine that was busy with other work two dispatchers had no answer for a second. The
        # engine passed for a new one as it answered again, and got work while it was to be powered off.
        elif now - drained.away_since >= self.settings.absent:
            drained.away = True


class Settled:
    """Whether a dispatcher that has just started knows which engines are drained. Until then it sends
    no loads to any: one that was down while an engine was drained would send it one as it is powered off, and
    nobody could tell whether it ran. What may be repeated doesn't wait.

    It knows once it has read all registers of the swap over a majority. While more than half of the voters
    aren't there nothing can be read, and after `alone` ms of that it serves all the same, as it does after
    `wait` in any case: a fleet whose voters have all forgotten can't read either, and must serve.

    One that stood still for `stall` begins anew: others may have taken it for dead, and counted it no more.
    """

    def __init__(self, now: float, settings: DrainSettings) -> None:
        self.settings, self.began, self.alone_at, self.stepped_at = settings, now, now, now
        self.over = False

    def stood(self, now: float) -> bool:
        """Whether this instance has stood still since the last step; then it knows nothing any more."""
        late = now - self.stepped_at >= self.settings.stall
        self.stepped_at = now
        if late:
            self.began, self.alone_at, self.over = now, now, False
        return late

    def step(self, now: float, read: bool, majority: bool) -> bool:
        """Whether loads may go out from now on. read: all registers were read over a majority since the
        start; majority: more than half of the voters are there."""
        if majority:
            self.alone_at = now
        late = now - self.alone_at >= self.settings.alone or now - self.began >= self.settings.wait
        self.over = self.over or read or late
        return self.over


class Kept:
    """Engines that this instance has drained, as its folder keeps them over a restart.

    Danger: a dispatcher that had drained an engine was started again and sent it a request before it had read
    the registers, while the engine was out and could be powered off at any moment. Who was down while an
    engine was drained can't know; who drained it must. A record that can't be read holds too: it is the key
    that counts. What was drained in a life before stays held until `settle`.
    """

    def __init__(self, folder: Mapping[bytes, bytes]) -> None:
        self.before = {key.decode(errors="replace") for key in folder}
        self.engines = set(self.before)

    def drain(self, engine: str) -> list[Record]:
        """What has to be written before the drain is told to anyone."""
        if engine in self.engines or len(self.engines) >= MAX_RECORDS[RecordKind.ENGINE_DRAIN]:
            return []
        self.engines.add(engine)
        return [Record(RecordKind.ENGINE_DRAIN, engine.encode(), Hint(b"", 0.0).encode())]

    def undrain(self, engine: str) -> list[Record]:
        """The way back."""
        self.before.discard(engine)
        if engine not in self.engines:
            return []
        self.engines.discard(engine)
        return [Record(RecordKind.ENGINE_DRAIN, engine.encode(), None)]

    def settle(self, drained: Collection[str]) -> list[str]:
        """It is known which engines are drained, or service must go on without: those of a life before that
        are held no longer."""
        over = sorted(self.before.difference(drained))
        self.before.clear()
        return over


def fresh(record: plan.MachineRecord | None) -> bool:
    """Whether an engine that is drained no longer is another process than before. One whose swap is over and
    forgotten counts as that: a cold start too many costs little."""
    return record is None or record.arrived_cores_tenths > 0
