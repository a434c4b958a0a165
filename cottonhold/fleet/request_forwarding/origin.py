"""The origin's side of requests that are handed on: to one owner each, and one end for the client. Pure.

    HELD ----> SENDING ----> TAKEN ----> ended by the answer, or FAILED when its time is over
     (its       |              ^
     line)      v              |
              ASKING ----------+-------> NOBODY once the owner says that it never takes it,
     (withdraw it, unless taken)         FAILED when its time is over

Nothing is offered before the owner's life is known; each part names that life, so one that restarted takes
nothing that was meant for the one before. NOBODY is said only where the owner can't have had all parts (one
was never sent) or said itself that it takes it no more. LEFT: the client has its end, or left; the owner is
still told, and the request's line waits until that is answered or the time is over.
"""

from __future__ import annotations

import heapq
import math
import random
from collections import Counter, deque
from dataclasses import dataclass, field
from enum import IntEnum

from cottonhold.fleet.consensus.actions import SendMessage
from cottonhold.fleet.message_format import MessageError
from cottonhold.fleet.request_forwarding.fragmentation import Gather, Lane, Parcel
from cottonhold.fleet.request_forwarding.interface import Action, Ended, HandSettings
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
    Probe,
    State,
    Withdraw,
    Word,
    number_of,
    pack,
)


class Phase(IntEnum):
    """Where a request stands at its origin."""

    HELD, SENDING, ASKING, TAKEN, LEFT = range(5)


@dataclass(slots=True, eq=False)
class Order:
    """A request of a client here. life: the owner's to which parts went, 0: none yet. due: when something is
    to be done about it."""

    ref: str
    owner: int
    number: int
    parcel: Parcel
    line: bytes
    until: float
    due: float
    phase: Phase = Phase.HELD
    life: int = 0
    tries: int = 0
    told: bool = False  # the client has its end, or left
    answer: Gather | None = None
    end: tuple[End, float] | None = None


@dataclass(slots=True, eq=False)
class Peer:
    """An owner as this origin knows it. stamp: its newest, since `stamped`."""

    id: int
    lane: Lane
    life: int = 0
    stamp: int = -1
    stamped: float = -math.inf
    fresh: bool = False  # the stamp is new enough to prove time by it
    count: int = 0
    probe_at: float = math.inf
    tries: int = 0
    open: dict[int, Order] = field(default_factory=dict)
    lines: dict[bytes, deque[Order]] = field(default_factory=dict)


class Offering:
    """Requests that this member hands to others. `out` takes the actions, `counts` what went by."""

    def __init__(
        self, me: int, life: int, settings: HandSettings, seed: int, counts: Counter[str], out: list[Action]
    ) -> None:
        self.me, self.life, self.settings = me, life, settings
        self.counts, self.out, self.draw = counts, out, random.Random(seed)
        self.peers: dict[int, Peer] = {}
        self.refs: dict[str, Order] = {}
        self.open = 0
        self.due: list[tuple[float, int, int]] = []  # heap: when, owner, number

    # --- what happens ---

    def hand(self, now: float, ref: str, owner: int, body: bytes, until: float, line: bytes) -> None:
        """A client's request is another's. Raises ValueError for a ref in use, or for this member's own."""
        s = self.settings
        if ref in self.refs or owner == self.me:
            raise ValueError(ref)
        until = min(until, now + s.longest)
        if len(body) > LARGEST:
            self.out.append(Ended(ref, End.TOO_LARGE))
            return
        if until - now <= s.last:
            self.out.append(Ended(ref, End.NOBODY))
            return
        if self.open >= s.open:
            self.counts["full"] += 1
            self.out.append(Ended(ref, End.REFUSED, s.back))
            return
        peer = self.peers.get(owner)
        if peer is None:
            peer = self.peers[owner] = Peer(owner, Lane(s.window, s.retry, s.retry_most))
        peer.count += 1
        number = number_of(self.life, peer.count)
        reserve = min(s.reserve, (until - now) / 2)
        order = Order(ref, owner, number, Parcel(number, body, PART_ROOM), line, until, 0.0)
        if not peer.open:
            peer.probe_at, peer.tries = now + s.poll, 0
        peer.open[number] = self.refs[ref] = order
        self.open += 1
        self.counts["handed"] += 1
        self._wake(order, until - max(reserve, s.last))
        self._join(peer, order)
        self._send(now, peer)

    def gone(self, now: float, ref: str) -> None:
        """Its client left: nobody is told an end."""
        order = self.refs.pop(ref, None)
        if order is None:
            return
        order.told = True
        peer = self.peers[order.owner]
        if order.parcel.whole:
            self._leave(now, peer, order)
        else:
            self._close(peer, order)
        self._send(now, peer)

    def lives(self, now: float, sender: int, w: Lives) -> None:
        """An owner says which life it is in. Raises MessageError."""
        peer = self.peers.get(sender)
        # Danger: only an answer to what is believed now counts. One that was long on its way tells of a life
        # that is over, and all that the new one had taken was told as failed.
        if peer is None or w.asked != peer.life:
            self.counts["stray"] += 1
            return
        if w.life != peer.life:
            peer.life, peer.stamp, peer.fresh = w.life, -1, False
            if w.asked:
                self._restarted(peer, w.asked)
        self._stamp(now, peer, w.stamp)
        self._send(now, peer)

    def ack(self, now: float, sender: int, w: Ack) -> None:
        """What an owner has of a request. Raises MessageError."""
        peer, order = self._find(sender, w.number)
        if peer is None or w.life != peer.life:
            return
        if order is None or order.life != w.life:
            self._stamp(now, peer, w.stamp)
            self._send(now, peer)
            return
        if w.state is State.TAKEN and not order.parcel.whole:
            raise MessageError("taken before it was sent")
        if order.phase is Phase.SENDING:
            peer.lane.ack(w.number, w.bits)
        self._stamp(now, peer, w.stamp)
        if w.state is State.VOID:
            self._tell(order, End.NOBODY)
            self._close(peer, order)
        elif w.state is State.GONE and order.phase is Phase.LEFT:
            self._close(peer, order)
        elif w.state is State.TAKEN and order.phase in (Phase.SENDING, Phase.ASKING):
            self._taken(peer, order)
        self._send(now, peer)

    def answer(self, now: float, sender: int, w: Answer) -> None:
        """A part of an answer. Raises MessageError."""
        peer, order = self._find(sender, w.number)
        if order is None or peer is None or order.told:
            self._say(sender, Got(w.number, True))  # nobody needs it
            return
        if w.life != order.life or not order.parcel.whole:
            raise MessageError("answer to what was not asked")
        if order.answer is None:
            order.answer, order.end = Gather(w.size, ANSWER_ROOM), (w.end, w.ms)
        if order.end != (w.end, w.ms):
            raise MessageError("two ends")
        whole = order.answer.put(w.size, w.index, w.data)
        if order.phase is not Phase.TAKEN:
            self._taken(peer, order)
        self._say(sender, Got(w.number, whole, order.answer.bits))
        if whole:
            self._tell(order, w.end, w.ms, order.answer.body())
            self._close(peer, order)
        self._send(now, peer)

    def step(self, now: float) -> None:
        """Time has passed."""
        self.expire(now)
        for peer in self.peers.values():
            self._send(now, peer)

    def expire(self, now: float) -> None:
        """What is due of single requests. Before words are read: an end that came too late is none."""
        changed: set[int] = set()
        while self.due and self.due[0][0] <= now:
            when, owner, number = heapq.heappop(self.due)
            peer = self.peers[owner]
            order = peer.open.get(number)
            if order is not None and order.due == when:
                self._overdue(now, peer, order)
                changed.add(owner)
        # Danger: each that was withdrawn made room for the next, whose time was over as well. A dead
        # neighbour got all that waited for it at one moment, and what could go elsewhere became FAILED.
        for owner in changed:
            self._send(now, self.peers[owner])

    def next_at(self) -> float:
        """When `step` is due."""
        times = [self.due[0][0]] if self.due else []
        for peer in self.peers.values():
            if peer.open:
                times += [peer.probe_at, peer.lane.next_at() if peer.fresh else math.inf]
        return min(times, default=math.inf)

    # --- inside ---

    def _stamp(self, now: float, peer: Peer, stamp: int) -> None:
        """A stamp of the owner's present life; the one issued last counts."""
        if stamp > peer.stamp:
            peer.stamp, peer.stamped, peer.fresh = stamp, now, True
            peer.probe_at, peer.tries = now + self.settings.poll, 0

    def _find(self, sender: int, number: int) -> tuple[Peer | None, Order | None]:
        """A request of this life by its number. Raises MessageError where there never was one."""
        peer = self.peers.get(sender)
        if number >> 32 != self.life:
            return peer, None
        if peer is None or not 0 < number & U32 <= peer.count:
            raise MessageError("number")
        return peer, peer.open.get(number)

    def _wake(self, order: Order, due: float) -> None:
        order.due = due
        heapq.heappush(self.due, (due, order.owner, order.number))

    def _join(self, peer: Peer, order: Order) -> None:
        """It goes out, once all before it in its line are known to be taken or over."""
        if order.line:
            line = peer.lines.setdefault(order.line, deque())
            line.append(order)
            if line[0] is not order:
                return
        self._offer(peer, order)

    def _offer(self, peer: Peer, order: Order) -> None:
        order.phase = Phase.SENDING
        peer.lane.add(order.parcel)

    def _pass(self, peer: Peer, order: Order) -> None:
        """It no longer keeps its line."""
        line = peer.lines.get(order.line)
        if not order.line or line is None or order not in line:
            return
        first = line[0] is order
        line.remove(order)
        if not line:
            del peer.lines[order.line]
        elif first:
            self._offer(peer, line[0])

    def _taken(self, peer: Peer, order: Order) -> None:
        """The owner has taken it."""
        order.phase = Phase.TAKEN
        peer.lane.arrived(order.number)
        self._wake(order, order.until - self.settings.last)
        self._pass(peer, order)

    def _restarted(self, peer: Peer, life: int) -> None:
        """The owner's life of which parts were sent is over, with all that it knew."""
        self.counts["restarts"] += 1
        for order in list(peer.open.values()):
            if order.life != life:
                continue
            if order.parcel.whole:
                self._tell(order, End.FAILED)  # it may have run before
                self._close(peer, order)
            else:
                peer.lane.drop(order.number)
                order.parcel.reset()
                order.life = 0
                peer.lane.add(order.parcel)

    def _overdue(self, now: float, peer: Peer, order: Order) -> None:
        """It is time to withdraw it, to tell its client, or to forget it."""
        s = self.settings
        last = order.until - s.last
        if order.phase is Phase.LEFT and now >= order.until:
            self._close(peer, order)
        elif order.phase is Phase.LEFT:
            self._withdraw(now, peer, order, order.until)
        elif not order.parcel.whole:
            self._tell(order, End.NOBODY)
            self._close(peer, order)
        elif now >= last:
            self._tell(order, End.FAILED)
            self._leave(now, peer, order)
        else:
            if order.phase is Phase.SENDING:
                order.phase, order.tries = Phase.ASKING, 0
                peer.lane.drop(order.number)
            self._withdraw(now, peer, order, last)

    def _leave(self, now: float, peer: Peer, order: Order) -> None:
        """Nobody waits for it; its owner is to know that."""
        order.phase, order.tries = Phase.LEFT, 0
        peer.lane.drop(order.number)
        self._withdraw(now, peer, order, order.until)

    def _withdraw(self, now: float, peer: Peer, order: Order, until: float) -> None:
        """Say so, and again later."""
        s = self.settings
        self._say(peer.id, Withdraw(self._head(now, peer, order), order.phase is Phase.LEFT))
        wait = min(s.retry * 2**order.tries, s.retry_most) * self.draw.uniform(0.9, 1.0)
        order.tries = min(order.tries + 1, 16)
        self._wake(order, min(now + wait, until))

    def _tell(self, order: Order, end: End, ms: float = 0.0, data: bytes = b"") -> None:
        """The client's one end."""
        if not order.told:
            order.told = True
            self.refs.pop(order.ref, None)
            self.counts[end.name.lower()] += 1
            self.out.append(Ended(order.ref, end, ms, data))

    def _close(self, peer: Peer, order: Order) -> None:
        """Nothing is to be done about it any more."""
        if peer.open.pop(order.number, None) is not None:
            self.open -= 1
        peer.lane.drop(order.number)
        self._pass(peer, order)

    def _head(self, now: float, peer: Peer, order: Order) -> Head:
        left, held = max(order.until - now, 0.0), max(now - peer.stamped, 0.0)
        floor = next(iter(peer.open)) & U32
        return Head(order.number, order.life or peer.life, peer.stamp, held, left, floor)

    def _send(self, now: float, peer: Peer) -> None:
        """Parts as far as the window goes, to an owner whose life is known; else ask for that."""
        if not peer.open:
            return
        s = self.settings
        if now - peer.stamped > s.fresh:
            peer.fresh = False
        if not peer.fresh and peer.tries == 0:
            peer.probe_at = now
        if now >= peer.probe_at:
            self._say(peer.id, Probe(peer.life))
            peer.probe_at = now + min(s.retry * 2**peer.tries, s.retry_most) * self.draw.uniform(0.9, 1.0)
            peer.tries = min(peer.tries + 1, 16)
        if not peer.fresh:
            return
        for parcel, index in peer.lane.run(now):
            order = peer.open[parcel.number]
            order.life = peer.life
            head = self._head(now, peer, order)
            self._say(peer.id, Part(head, index, len(parcel.body), parcel.part(index)))

    def _say(self, member: int, word: Word) -> None:
        self.out.append(SendMessage(member, pack(word)))
