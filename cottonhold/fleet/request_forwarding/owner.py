"""The owner's side of requests that are handed on: takes each once and in time, and answers it. Pure.

Time. Each word of an origin gives back the newest stamp that it had from this owner, for how long it had held
it, and how much time is left to the request. Whatever the ways took, the time of the request is then over no
earlier than stamp + held + left on this owner's clock, less a part for clocks that run unevenly. That is a
proof, so the largest of several such bounds counts, and a word that was long on its way, or waited here while
this process stood still, takes nothing.

Memory. A request was or wasn't taken: that is remembered until the origin's floor has passed its count, or
until its time is certainly over (arrival + left). After that no word for it can prove any time, so forgetting
is safe. What doesn't fit within a bound is not acknowledged and not promised; it comes again.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field

from cottonhold.fleet.consensus.actions import SendMessage
from cottonhold.fleet.message_format import MessageError
from cottonhold.fleet.request_forwarding.fragmentation import Gather, Lane, Parcel
from cottonhold.fleet.request_forwarding.interface import Action, Gone, HandSettings, Take
from cottonhold.fleet.request_forwarding.messages import (
    ANSWER_ROOM,
    LARGEST,
    PART_ROOM,
    U32,
    Ack,
    Answer,
    End,
    Got,
    Head,
    Lives,
    Part,
    State,
    Withdraw,
    Word,
    pack,
)

STAMPS = 1000.0  # a ms


@dataclass(slots=True, eq=False)
class Record:
    """A request that comes in (`gather`), runs, or has an answer on its way (`parcel`)."""

    number: int
    gather: Gather | None
    until: float = -math.inf  # proven: its time is not over before
    keep: float = -math.inf  # proven: its time is over by then
    gone: bool = False
    answer: tuple[End, float] | None = None
    parcel: Parcel | None = None


@dataclass(slots=True, eq=False)
class Guest:
    """One life of an origin. Counts below the floor are never taken again. over: others that are done with,
    and whether they were taken."""

    life: int
    floor: int = 1
    keep: float = -math.inf
    records: dict[int, Record] = field(default_factory=dict)
    over: dict[int, bool] = field(default_factory=dict)


@dataclass(slots=True, eq=False)
class Caller:
    """One origin: its lives, what it fills, answers on their way to it."""

    id: int
    lane: Lane
    guests: dict[int, Guest] = field(default_factory=dict)
    gathering: int = 0
    answering: int = 0


class Taking:
    """Requests that others hand to this member. `out` takes the actions, `counts` what went by."""

    def __init__(self, life: int, settings: HandSettings, counts: Counter[str], out: list[Action]) -> None:
        self.life, self.settings, self.counts, self.out = life, settings, counts, out
        self.callers: dict[int, Caller] = {}
        self.sweep_at = math.inf

    # --- what happens ---

    def probe(self, now: float, sender: int, asked: int) -> None:
        """An origin asks for this life and a stamp."""
        self._say(sender, Lives(asked, self.life, self._stamp(now)))

    def part(self, now: float, sender: int, w: Part) -> None:
        """A part of a request. Raises MessageError."""
        until, count = self._until(now, w.head), w.head.number & U32
        if w.head.life != self.life:
            return self.probe(now, sender, w.head.life)
        _, _, record = self._find(sender, w.head.number)
        if record is not None and record.gather is not None:
            record.gather.check(w.size, w.index, w.data)
        found = self._guest(now, sender, w.head, until > now)
        if found is None or count < found[1].floor:
            return None
        caller, guest = found
        record = guest.records.get(count)
        if count in guest.over or (record is not None and record.gather is None):
            return self._ack(now, caller, guest, w.head.number)
        if record is None:
            if until <= now:
                return self.probe(now, sender, self.life)  # a newer stamp proves more
            record = self._open(caller, guest, w)
        if record is None or record.gather is None:
            return None
        whole = record.gather.put(w.size, w.index, w.data)
        record.until = max(record.until, until)
        record.keep = max(record.keep, self._keep(now, w.head))
        if whole:
            self._whole(now, caller, guest, record)
        return self._ack(now, caller, guest, w.head.number)

    def withdraw(self, now: float, sender: int, w: Withdraw) -> None:
        """It is not to be taken any more, or its client left. Raises MessageError."""
        self._until(now, w.head)
        count = w.head.number & U32
        if w.head.life != self.life:
            return self.probe(now, sender, w.head.life)
        found = self._guest(now, sender, w.head, True)
        if found is None or count < found[1].floor:
            return None
        caller, guest = found
        record = guest.records.get(count)
        if record is not None and record.gather is None:
            if w.left:
                self._left(caller, guest, record)
        elif count not in guest.over:
            if record is None and self._full(guest):
                return None
            # Danger: a part that is still on its way would otherwise be taken after the origin said NOBODY.
            self._close(caller, guest, count, False)
        return self._ack(now, caller, guest, w.head.number, w.left)

    def got(self, sender: int, w: Got) -> None:
        """What the origin has of an answer. Raises MessageError."""
        caller, guest, record = self._find(sender, w.number)
        if caller is None or guest is None or record is None or record.parcel is None:
            return
        caller.lane.ack(w.number, w.bits)
        if w.whole or record.parcel.done:
            self._close(caller, guest, w.number & U32, True)

    def answered(self, now: float, origin: int, number: int, end: End, ms: float, data: bytes) -> None:
        """How one that was taken ended here. Known once; later ones are left out."""
        caller, guest, record = self._find(origin, number)
        if caller is None or guest is None or record is None or record.gather or record.answer:
            self.counts["stray"] += 1
            return
        if record.gone:
            self._close(caller, guest, number & U32, True)
            return
        if len(data) > LARGEST or caller.answering + len(data) > self.settings.answering:
            # It ran: nothing but FAILED is true of it.
            self.counts["answers_too_large"] += 1
            end, ms, data = End.FAILED, 0.0, b""
        caller.answering += len(data)
        record.answer = (end, ms if math.isfinite(ms) and ms > 0.0 else 0.0)
        record.parcel = Parcel(number, data, ANSWER_ROOM)
        caller.lane.add(record.parcel)
        self._send(now, caller)

    def heard(self, now: float, sender: int) -> None:
        """A word of this sender has been read: there may be room on its lane."""
        caller = self.callers.get(sender)
        if caller is not None:
            self._send(now, caller)

    def step(self, now: float) -> None:
        """Time has passed."""
        for caller in list(self.callers.values()):
            self._send(now, caller)
        if self.sweep_at <= now:
            self._sweep(now)

    def next_at(self) -> float:
        """When `step` is due."""
        return min([c.lane.next_at() for c in self.callers.values()] + [self.sweep_at])

    # --- inside ---

    def _stamp(self, now: float) -> int:
        return max(int(now * STAMPS), 0)

    def _until(self, now: float, head: Head) -> float:
        """On this clock: the request's time is not over before. Raises MessageError for what can't be."""
        s = self.settings
        if head.left > s.longest:
            raise MessageError("time left")
        if head.life != self.life:
            return -math.inf
        began, even = head.stamp / STAMPS, 1.0 - s.drift
        if began + head.held * even > now:
            raise MessageError("stamp")
        return began + (head.held + head.left) * even - s.margin

    def _keep(self, now: float, head: Head) -> float:
        """On this clock: the request's time is over by then."""
        return now + head.left * (1.0 + self.settings.drift) + self.settings.margin

    def _guest(self, now: float, sender: int, head: Head, make: bool) -> tuple[Caller, Guest] | None:
        """The origin's life that a word is of, with its floor; None: it is one too many."""
        s, life = self.settings, head.number >> 32
        caller = self.callers.get(sender)
        guest = caller.guests.get(life) if caller is not None else None
        if guest is None:
            full = len(self.callers) >= s.callers if caller is None else len(caller.guests) >= s.lives
            if full or not make:
                self.counts["full"] += full and make
                return None
            if caller is None:
                caller = self.callers[sender] = Caller(sender, Lane(s.window, s.retry, s.retry_most))
                self.sweep_at = min(self.sweep_at, now + s.poll)
            for older in caller.guests.values():
                if older.life < life:
                    self._gone(caller, older.records.values())
            guest = caller.guests[life] = Guest(life)
        assert caller is not None
        guest.keep = max(guest.keep, self._keep(now, head))
        self._raise_floor(caller, guest, head.floor)
        return caller, guest

    def _raise_floor(self, caller: Caller, guest: Guest, floor: int) -> None:
        """All counts below are over at the origin."""
        if floor <= guest.floor:
            return
        few = floor - guest.floor <= len(guest.over) + len(guest.records)
        past = range(guest.floor, floor) if few else [*guest.over, *guest.records]
        for count in [c for c in past if c < floor]:
            record = guest.records.get(count)
            if record is not None:
                self._gone(caller, [record])
                self._close(caller, guest, count, True)
            guest.over.pop(count, None)
        guest.floor = floor

    def _full(self, guest: Guest) -> bool:
        full = len(guest.records) + len(guest.over) >= self.settings.remembered
        self.counts["full"] += full
        return full

    def _open(self, caller: Caller, guest: Guest, w: Part) -> Record | None:
        """A record for a request that begins to come in, where there is room for all of it."""
        if self._full(guest):
            return None
        if caller.gathering + w.size > self.settings.gathering:
            self.counts["full"] += 1
            return None
        caller.gathering += w.size
        record = guest.records[w.head.number & U32] = Record(w.head.number, Gather(w.size, PART_ROOM))
        return record

    def _whole(self, now: float, caller: Caller, guest: Guest, record: Record) -> None:
        """All of it is there: it is taken, or never."""
        left = record.until - now
        if left <= self.settings.least or record.gather is None:
            self.counts["late"] += 1
            self._close(caller, guest, record.number & U32, False)
            return
        body, caller.gathering = record.gather.body(), caller.gathering - record.gather.size
        record.gather = None
        self.counts["taken"] += 1
        self.out.append(Take(caller.id, record.number, body, left))

    def _gone(self, caller: Caller, records: Iterable[Record]) -> None:
        """Nobody waits for what runs of these."""
        for record in records:
            if record.gather is None and record.answer is None and not record.gone:
                record.gone = True
                self.out.append(Gone(caller.id, record.number))

    def _left(self, caller: Caller, guest: Guest, record: Record) -> None:
        """The client of one that was taken has left."""
        self._gone(caller, [record])
        if record.answer is not None:
            self._close(caller, guest, record.number & U32, True)

    def _close(self, caller: Caller, guest: Guest, count: int, taken: bool) -> None:
        """It is done with; only whether it was taken is remembered."""
        record = guest.records.pop(count, None)
        guest.over[count] = taken
        if record is None:
            return
        if record.gather is not None:
            caller.gathering -= record.gather.size
        if record.parcel is not None:
            caller.answering -= len(record.parcel.body)
            caller.lane.drop(record.number)

    def _find(self, sender: int, number: int) -> tuple[Caller | None, Guest | None, Record | None]:
        caller = self.callers.get(sender)
        guest = caller.guests.get(number >> 32) if caller is not None else None
        return caller, guest, guest.records.get(number & U32) if guest is not None else None

    def _ack(self, now: float, caller: Caller, guest: Guest, number: int, left: bool = False) -> None:
        """Say what is here of a request."""
        record, bits = guest.records.get(number & U32), 0
        if record is not None and record.gather is not None:
            state, bits = State.GATHERING, record.gather.bits
        elif record is None and not guest.over.get(number & U32, True):
            state = State.VOID
        else:
            state = State.GONE if left else State.TAKEN
        self._say(caller.id, Ack(number, self.life, self._stamp(now), state, bits))

    def _send(self, now: float, caller: Caller) -> None:
        """Answers, as far as the window goes."""
        for parcel, index in caller.lane.run(now):
            _, _, record = self._find(caller.id, parcel.number)
            if record is not None and record.answer is not None:
                end, ms = record.answer
                shape = (parcel.number, self.life, end, ms, len(parcel.body), index)
                self._say(caller.id, Answer(*shape, parcel.part(index)))

    def _sweep(self, now: float) -> None:
        """Forget what no word can bring back: its time is over, whatever is still on its way."""
        for caller in list(self.callers.values()):
            for guest in list(caller.guests.values()):
                for count in [c for c, r in guest.records.items() if r.keep < now]:
                    taken = guest.records[count].gather is None
                    self._close(caller, guest, count, taken)
                if not guest.records and guest.keep < now:
                    del caller.guests[guest.life]
            if not caller.guests:
                del self.callers[caller.id]
        self.sweep_at = now + self.settings.poll if self.callers else math.inf

    def _say(self, member: int, word: Word) -> None:
        self.out.append(SendMessage(member, pack(word)))
