"""Dispatchers that forward requests over a faulty network in virtual time, and the rules that must hold."""

from __future__ import annotations

import heapq
import random
from collections import defaultdict
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Any

from cottonhold.fleet.consensus.actions import SendConsensusMessage
from cottonhold.fleet.request_forwarding.forwarder import (
    Action,
    ForwardingEnded,
    ForwardingSettings,
    ForwardResult,
    RequestAbandoned,
    RequestAccepted,
    RequestForwarder,
)
from tests.support.member_network import Net

A, B, C, LIAR = 101, 102, 103, 104
NOTHING_RAN = (
    ForwardResult.REJECTED,
    ForwardResult.NOT_OWNER,
    ForwardResult.NOT_ACCEPTED,
    ForwardResult.TOO_LARGE,
)


@dataclass
class Attempt:
    """One forwarded request and all that became of it. Times are of the simulation, in ms."""

    id: int
    request_id: str
    origin: int
    incarnation: int
    owner: int
    body: bytes
    queue_key: bytes
    deadline: float
    accepts: list[tuple[float, int, float]] = field(default_factory=list)  # when, owner, remaining ms
    answered: tuple[ForwardResult, bytes] | None = None  # by the gateway
    results: list[tuple[float, ForwardingEnded]] = field(default_factory=list)
    lost: bool = False  # its client left, or its origin died

    @property
    def may_have_run(self) -> bool:
        """The gateway ran it, or may have."""
        return bool(self.accepts) and (self.answered is None or self.answered[0] not in NOTHING_RAN)


class OwnClock:
    """A `HandOn` on a clock of its own: another zero, a rate that is off by up to 0.04%."""

    def __init__(self, inner: RequestForwarder, draw: random.Random, born: float) -> None:
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


class ForwardingNetwork(Net):
    """`rim`: what an origin does after a result. `serve`: how long a gateway takes, and its result."""

    def __init__(self, seed: int, settings: ForwardingSettings | None = None) -> None:
        self.settings, self.attempts = settings or ForwardingSettings(), list[Attempt]()
        self.by_body: dict[bytes, Attempt] = {}
        self.current: dict[tuple[int, str], Attempt] = {}
        self.late = self.forged = 0.0  # shares of messages that arrive up to 2.5 s late, or once more, forged
        self.stalls: list[tuple[int, float, float]] = []
        self.waiting = defaultdict[int, list[tuple[int, Any]]](list)  # for paused members
        self.abandoned: list[tuple[int, int]] = []
        self.sent = 0
        self.serve: Callable[[], tuple[float, ForwardResult]] = lambda: (
            5.0,
            ForwardResult.ANSWERED,
        )
        self.rim: Callable[[Attempt, ForwardResult], None] = lambda attempt, end: None
        draws = random.Random(seed ^ 0x5EED)

        def make(member: int, life: int, disk: dict[str, bytes]) -> OwnClock:
            inner = RequestForwarder(member, 7000 + life, self.settings, draws.getrandbits(32))
            return OwnClock(inner, draws, self.now)

        super().__init__((A, B, C), make, seed)

    def one(self, member: int) -> RequestForwarder:
        found = self.up[member]
        assert isinstance(found, OwnClock)
        return found.inner

    def forward(
        self,
        origin: int,
        owner: int,
        size: int,
        timeout_ms: float,
        queue_key: bytes = b"",
        request_id: str = "",
    ) -> Attempt:
        """One of `size` bytes at least 8, whose client waits so long."""
        id_ = len(self.attempts)
        body = id_.to_bytes(8, "big") + random.Random(id_).randbytes(max(size - 8, 0))
        attempt = Attempt(
            id_,
            request_id or f"r{id_}",
            origin,
            self.life[origin],
            owner,
            body,
            queue_key,
            self.now + timeout_ms,
        )
        self.attempts.append(attempt)
        self.by_body[body] = self.current[origin, attempt.request_id] = attempt
        clock = self.up[origin]
        deadline = clock.at(attempt.deadline)
        self.act(
            origin,
            clock.inner.forward(clock.at(self.now), attempt.request_id, owner, body, deadline, queue_key),
        )
        return attempt

    def leave(self, attempt: Attempt) -> None:
        """Its client leaves before the result."""
        if not attempt.results and not attempt.lost:
            attempt.lost = True
            clock = self.up[attempt.origin]
            self.act(attempt.origin, clock.inner.abandon(clock.at(self.now), attempt.request_id))

    def start(self, member: int, empty: bool = False) -> None:
        if member not in self.up:  # crashed twice within one absence, it comes back once
            super().start(member, empty)

    def stop(self, member: int) -> None:
        super().stop(member)
        self.waiting.pop(member, None)
        for attempt in self.attempts:
            attempt.lost |= attempt.origin == member and not attempt.results

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
            if isinstance(a, SendConsensusMessage):
                assert a.member != member and len(a.payload) <= 200
                self.sent += 1
                self.carry(member, a)
            elif isinstance(a, RequestAccepted):
                self.took(member, a)
            elif isinstance(a, ForwardingEnded):
                attempt = self.current[member, a.request_id]
                attempt.results.append((self.now, a))
                self.rim(attempt, a.result)
            elif isinstance(a, RequestAbandoned):
                self.abandoned.append((member, a.number))

    def carry(self, member: int, say: SendConsensusMessage) -> None:
        """Deliver a message: lost, late, twice, or forged after it."""
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

    def forge(self, member: int, say: SendConsensusMessage) -> None:
        """Another member repeats the message in its own name; it arrives truncated, longer, or as noise."""
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

    def took(self, owner: int, take: RequestAccepted) -> None:
        """The gateway accepted it, and will report a result."""
        if take.origin == LIAR:
            return
        attempt = self.by_body[take.body]
        attempt.accepts.append((self.now, owner, take.remaining_ms))
        wait, end = self.serve()
        data = (
            self.draw.randbytes(self.draw.choice((0, 10, 400, 3000)))
            if end is ForwardResult.ANSWERED
            else b""
        )

        def done() -> None:
            attempt.answered = (end, data)
            clock = self.up[owner]
            now = clock.at(self.now)
            self.act(owner, clock.inner.on_request_ended(now, take.origin, take.number, end, 30.0, data))

        self.post(wait, owner, self.life[owner], done)

    # --- the rules ---

    def check(self) -> None:
        """Check all rules after all deadlines. Raises AssertionError with the rule's name."""
        for a in self.attempts:
            assert len(a.accepts) <= 1, ("taken twice", a.id, a.accepts)
            assert all(owner == a.owner for _, owner, _ in a.accepts), ("not its owner", a.id)
            for at, _, left in a.accepts:
                assert 0 < left <= a.deadline - at, ("left_ms", a.id, left, a.deadline - at)
            self.check_end(a)
        self.check_order()
        for member in self.up:
            status = self.one(member).status()
            assert not status["open"] and not status["gathering_bytes"], ("not forgotten", status)

    def check_end(self, a: Attempt) -> None:
        """Check that a request has one result, in time, and true."""
        assert len(a.results) <= 1 and (a.lost or a.results), ("one end", a.id, a.results)
        for at, ended in a.results:
            stalled = [b for m, s, b in self.stalls if m == a.origin and s <= a.deadline <= b]
            assert at <= max([a.deadline, *(b + 1 for b in stalled)]), ("in time", a.id, at, a.deadline)
            if ended.result in NOTHING_RAN:
                assert not a.may_have_run, ("nothing ran", a.id, ended.result, a.accepts)
            if ended.result is ForwardResult.NOT_ACCEPTED:
                assert not a.accepts, ("nobody", a.id, a.accepts)
            if ended.result is ForwardResult.ANSWERED:
                assert a.answered == (ForwardResult.ANSWERED, ended.data), ("answer", a.id)
            if ended.result is ForwardResult.REJECTED:
                assert ended.retry_after_ms == 30.0, ("ms", a.id, ended.retry_after_ms)

    def check_order(self) -> None:
        """Check that requests of one queue to one owner are accepted in the order of forwarding."""
        queues = defaultdict[tuple[int, int, int, bytes], list[Attempt]](list)
        for a in self.attempts:
            if a.queue_key and a.accepts:
                queues[a.origin, a.incarnation, a.owner, a.queue_key].append(a)
        for found in queues.values():
            assert found == sorted(found, key=lambda a: a.accepts[0][0]), ("order", [a.id for a in found])


def random_faults(seed: int) -> ForwardingNetwork:
    """Run some 20 requests among three dispatchers with random faults, until all deadlines are over."""
    net, draw = ForwardingNetwork(seed), random.Random(seed)
    net.loss, net.twice = draw.choice((0.0, 0.1, 0.4)), draw.choice((0.0, 0.3))
    net.slow, net.late = draw.choice((2.0, 15.0, 60.0)), draw.choice((0.0, 0.03, 0.1))
    net.forged = draw.choice((0.0, 0.0, 0.2))
    ends = [ForwardResult.ANSWERED] * 6 + [
        ForwardResult.REJECTED,
        ForwardResult.NOT_OWNER,
        ForwardResult.NOT_OWNER,
        ForwardResult.FAILED,
    ]
    net.serve = lambda: (draw.choice((1.0, 20.0, 200.0, 1500.0)), draw.choice(ends))

    def again(attempt: Attempt, end: ForwardResult) -> None:
        allow = attempt.deadline - net.now
        if (
            end in (ForwardResult.NOT_OWNER, ForwardResult.NOT_ACCEPTED)
            and allow > 50
            and draw.random() < 0.7
        ):
            other = next(m for m in (A, B, C) if m not in (attempt.origin, attempt.owner))
            net.forward(
                attempt.origin, other, len(attempt.body) + 1, allow, attempt.queue_key, attempt.request_id
            )

    def one() -> None:
        origin, owner = draw.sample((A, B, C), 2)
        if origin in net.up and origin not in net.stopped:
            line = draw.choice((b"", b"k1", b"k1", b"k2"))
            size = draw.choice((8, 100, 100, 500, 2000) if draw.random() < 0.95 else (16384, 16385))
            attempt = net.forward(origin, owner, size, draw.choice((30, 200, 700, 700, 2000, 4000)), line)
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
