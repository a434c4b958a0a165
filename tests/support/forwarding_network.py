"""Dispatchers that hand requests on, on a bad network in virtual time, and the rules that must hold there."""

from __future__ import annotations

import heapq
import random
from collections import defaultdict
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Any

from cottonhold.fleet.consensus.actions import SendMessage
from cottonhold.fleet.request_forwarding.forwarder import Action, End, Ended, Gone, HandOn, HandSettings, Take
from tests.support.member_network import Net

A, B, C, LIAR = 101, 102, 103, 104
NOTHING_RAN = (End.REFUSED, End.MOVED, End.NOBODY, End.TOO_LARGE)


@dataclass
class Attempt:
    """One `hand` and all that became of it. Times are true ones, in ms."""

    id: int
    ref: str
    origin: int
    life: int
    owner: int
    body: bytes
    line: bytes
    until: float
    takes: list[tuple[float, int, float]] = field(default_factory=list)  # when, owner, left_ms
    said: tuple[End, bytes] | None = None  # by the gateway
    ends: list[tuple[float, Ended]] = field(default_factory=list)
    lost: bool = False  # its client left, or its origin died

    @property
    def ran(self) -> bool:
        """The gateway ran it, or may have."""
        return bool(self.takes) and (self.said is None or self.said[0] not in NOTHING_RAN)


class OwnClock:
    """A `HandOn` on a clock of its own: another zero, a rate that is off by up to 0.04%."""

    def __init__(self, inner: HandOn, draw: random.Random, born: float) -> None:
        self.inner, self.rate = inner, 1.0 + draw.uniform(-4e-4, 4e-4)
        self.zero = draw.uniform(0, 1e6) - born * self.rate

    def at(self, now: float) -> float:
        return now * self.rate + self.zero

    def on_message(self, now: float, sender: int, data: bytes) -> list[Action]:
        return self.inner.on_message(self.at(now), sender, data)

    def step(self, now: float) -> list[Action]:
        return self.inner.step(self.at(now))

    def next_at(self) -> float:
        return (self.inner.next_at() - self.zero) / self.rate + 1e-5


class HandNet(Net):
    """`rim`: what an origin does after MOVED or NOBODY. `serve`: how long a gateway takes, and its end."""

    def __init__(self, seed: int, settings: HandSettings | None = None) -> None:
        self.settings, self.attempts = settings or HandSettings(), list[Attempt]()
        self.by_body: dict[bytes, Attempt] = {}
        self.current: dict[tuple[int, str], Attempt] = {}
        self.late = self.forged = 0.0  # parts of words that come up to 2.5 s late, or once more, forged
        self.stalls: list[tuple[int, float, float]] = []
        self.waiting = defaultdict[int, list[tuple[int, Any]]](list)  # for members that stand still
        self.told_gone: list[tuple[int, int]] = []
        self.sent = 0
        self.serve: Callable[[], tuple[float, End]] = lambda: (5.0, End.SERVED)
        self.rim: Callable[[Attempt, End], None] = lambda attempt, end: None
        draws = random.Random(seed ^ 0x5EED)

        def make(member: int, life: int, disk: dict[str, bytes]) -> OwnClock:
            inner = HandOn(member, 7000 + life, self.settings, draws.getrandbits(32))
            return OwnClock(inner, draws, self.now)

        super().__init__((A, B, C), make, seed)

    def one(self, member: int) -> HandOn:
        found = self.up[member]
        assert isinstance(found, OwnClock)
        return found.inner

    def hand(
        self, origin: int, owner: int, size: int, allow: float, line: bytes = b"", ref: str = ""
    ) -> Attempt:
        """One of `size` bytes at least 8, whose client waits so long."""
        id_ = len(self.attempts)
        body = id_.to_bytes(8, "big") + random.Random(id_).randbytes(max(size - 8, 0))
        attempt = Attempt(
            id_, ref or f"r{id_}", origin, self.life[origin], owner, body, line, self.now + allow
        )
        self.attempts.append(attempt)
        self.by_body[body] = self.current[origin, attempt.ref] = attempt
        clock = self.up[origin]
        until = clock.at(attempt.until)
        self.act(origin, clock.inner.hand(clock.at(self.now), attempt.ref, owner, body, until, line))
        return attempt

    def leave(self, attempt: Attempt) -> None:
        """Its client leaves."""
        if not attempt.ends and not attempt.lost:
            attempt.lost = True
            clock = self.up[attempt.origin]
            self.act(attempt.origin, clock.inner.gone(clock.at(self.now), attempt.ref))

    def start(self, member: int, empty: bool = False) -> None:
        if member not in self.up:  # crashed twice within one absence, it comes back once
            super().start(member, empty)

    def stop(self, member: int) -> None:
        super().stop(member)
        self.waiting.pop(member, None)
        for attempt in self.attempts:
            attempt.lost |= attempt.origin == member and not attempt.ends

    def pause(self, member: int) -> None:
        super().pause(member)
        self.stalls.append((member, self.now, float("inf")))

    def resume(self, member: int) -> None:
        super().resume(member)
        for life, what in self.waiting.pop(member, []):
            self.post(self.draw.uniform(0.0, 1.0), member, life, what)
        self.stalls = [(m, a, min(b, self.now) if m == member else b) for m, a, b in self.stalls]

    def act(self, member: int, actions: Iterable[Any]) -> None:
        for a in actions:
            if isinstance(a, SendMessage):
                assert a.member != member and len(a.payload) <= 200
                self.sent += 1
                self.carry(member, a)
            elif isinstance(a, Take):
                self.took(member, a)
            elif isinstance(a, Ended):
                attempt = self.current[member, a.ref]
                attempt.ends.append((self.now, a))
                self.rim(attempt, a.end)
            elif isinstance(a, Gone):
                self.told_gone.append((member, a.number))

    def carry(self, member: int, say: SendMessage) -> None:
        """A word on its way: lost, late, twice, or forged after it."""
        if self.forged and self.draw.random() < self.forged:
            self.forge(member, say)
        if self.draw.random() < self.loss or frozenset((member, say.member)) in self.cut:
            return
        for _ in range(1 + (self.draw.random() < self.twice)):
            delay = self.draw.uniform(0.2, self.slow)
            if self.draw.random() < self.late:
                delay = self.draw.uniform(self.slow, 2500)
            self.post(delay, say.member, 0, (member, say.payload))

    def post(self, delay: float, member: int, life: int, what: Any) -> None:
        heapq.heappush(self.events, (self.now + delay, next(self.order), member, life, what))

    def forge(self, member: int, say: SendMessage) -> None:
        """Another repeats the word in its own name; it comes cut off, longer, or as noise."""
        data, cut = say.payload, self.draw.randrange(1, len(say.payload))
        noise = data[:2] + self.draw.randbytes(self.draw.randrange(60))
        for sender, word in ((LIAR, data), (member, data[:cut]), (member, data + b"\0"), (LIAR, noise)):
            self.post(self.draw.uniform(0.2, self.slow), say.member, 0, (sender, word))

    def deliver(self, member: int, life: int, what: Any) -> None:
        if member in self.stopped:
            self.waiting[member].append((life, what))
        elif not callable(what):
            super().deliver(member, life, what)
        elif member in self.up and life == self.life[member]:
            what()

    def took(self, owner: int, take: Take) -> None:
        """The gateway has it, and will say how it ended."""
        if take.origin == LIAR:
            return
        attempt = self.by_body[take.body]
        attempt.takes.append((self.now, owner, take.left_ms))
        wait, end = self.serve()
        data = self.draw.randbytes(self.draw.choice((0, 10, 400, 3000))) if end is End.SERVED else b""

        def done() -> None:
            attempt.said = (end, data)
            clock = self.up[owner]
            now = clock.at(self.now)
            self.act(owner, clock.inner.answered(now, take.origin, take.number, end, 30.0, data))

        self.post(wait, owner, self.life[owner], done)

    # --- the rules ---

    def check(self) -> None:
        """All rules, once everybody's time is over. Raises AssertionError with the rule's name."""
        for a in self.attempts:
            assert len(a.takes) <= 1, ("taken twice", a.id, a.takes)
            assert all(owner == a.owner for _, owner, _ in a.takes), ("not its owner", a.id)
            for at, _, left in a.takes:
                assert 0 < left <= a.until - at, ("left_ms", a.id, left, a.until - at)
            self.check_end(a)
        self.check_order()
        for member in self.up:
            status = self.one(member).status()
            assert not status["open"] and not status["gathering_bytes"], ("not forgotten", status)

    def check_end(self, a: Attempt) -> None:
        """One end, in time, and true."""
        assert len(a.ends) <= 1 and (a.lost or a.ends), ("one end", a.id, a.ends)
        for at, ended in a.ends:
            stalled = [b for m, s, b in self.stalls if m == a.origin and s <= a.until <= b]
            assert at <= max([a.until, *(b + 1 for b in stalled)]), ("in time", a.id, at, a.until)
            if ended.end in NOTHING_RAN:
                assert not a.ran, ("nothing ran", a.id, ended.end, a.takes)
            if ended.end is End.NOBODY:
                assert not a.takes, ("nobody", a.id, a.takes)
            if ended.end is End.SERVED:
                assert a.said == (End.SERVED, ended.data), ("answer", a.id)
            if ended.end is End.REFUSED:
                assert ended.ms == 30.0, ("ms", a.id, ended.ms)

    def check_order(self) -> None:
        """Requests of one line to one owner are taken as they were handed."""
        lines = defaultdict[tuple[int, int, int, bytes], list[Attempt]](list)
        for a in self.attempts:
            if a.line and a.takes:
                lines[a.origin, a.life, a.owner, a.line].append(a)
        for found in lines.values():
            assert found == sorted(found, key=lambda a: a.takes[0][0]), ("order", [a.id for a in found])


def bad_day(seed: int) -> HandNet:
    """Some 20 requests among three dispatchers while all that may go wrong does. Played to its end."""
    net, draw = HandNet(seed), random.Random(seed)
    net.loss, net.twice = draw.choice((0.0, 0.1, 0.4)), draw.choice((0.0, 0.3))
    net.slow, net.late = draw.choice((2.0, 15.0, 60.0)), draw.choice((0.0, 0.03, 0.1))
    net.forged = draw.choice((0.0, 0.0, 0.2))
    ends = [End.SERVED] * 6 + [End.REFUSED, End.MOVED, End.MOVED, End.FAILED]
    net.serve = lambda: (draw.choice((1.0, 20.0, 200.0, 1500.0)), draw.choice(ends))

    def again(attempt: Attempt, end: End) -> None:
        allow = attempt.until - net.now
        if end in (End.MOVED, End.NOBODY) and allow > 50 and draw.random() < 0.7:
            other = next(m for m in (A, B, C) if m not in (attempt.origin, attempt.owner))
            net.hand(attempt.origin, other, len(attempt.body) + 1, allow, attempt.line, attempt.ref)

    def one() -> None:
        origin, owner = draw.sample((A, B, C), 2)
        if origin in net.up and origin not in net.stopped:
            line = draw.choice((b"", b"k1", b"k1", b"k2"))
            size = draw.choice((8, 100, 100, 500, 2000) if draw.random() < 0.95 else (16384, 16385))
            attempt = net.hand(origin, owner, size, draw.choice((30, 200, 700, 700, 2000, 4000)), line)
            if draw.random() < 0.1:
                life = net.life[origin]
                net.post(draw.uniform(0, 100), origin, life, lambda: net.leave(attempt))

    net.rim = again
    todo: list[tuple[float, Callable[[], None]]] = [(draw.uniform(0, 1500), one) for _ in range(20)]
    for _ in range(draw.randrange(3)):
        member, at = draw.choice((A, B, C)), draw.uniform(0, 1500)
        if draw.random() < 0.5:
            todo += [(at, lambda m=member: net.stop(m)), (at + 100, lambda m=member: net.start(m))]  # type: ignore[misc]
        else:
            back = at + draw.choice((300.0, 5000.0))
            todo += [(at, lambda m=member: net.pause(m)), (back, lambda m=member: net.resume(m))]  # type: ignore[misc]
    for at, what in sorted(todo, key=lambda t: t[0]):
        net.run(max(at - net.now, 0))
        what()
    net.run(6000)
    return net
