"""Dispatchers that forward requests over a faulty network in virtual time, with checks of the invariants."""

from __future__ import annotations

import heapq
import random
from collections import defaultdict
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from functools import partial
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
    """One forwarded request with its results. Times are those of the simulation, in ms."""

    id: int
    request_id: str
    origin: int
    incarnation: int
    owner: int
    body: bytes
    queue_key: bytes
    deadline: float
    accepts: list[tuple[float, int, float]] = field(default_factory=list)  # when, owner, remaining ms
    answered: tuple[ForwardResult, bytes] | None = None  # result that the owner's gateway reported
    results: list[tuple[float, ForwardingEnded]] = field(default_factory=list)
    has_no_client: bool = False  # its client disconnected, or its origin crashed

    @property
    def may_have_run(self) -> bool:
        """Whether the owner's gateway ran the request, or may have run it."""
        return bool(self.accepts) and (self.answered is None or self.answered[0] not in NOTHING_RAN)


class DriftingClock:
    """A `RequestForwarder` on its own clock, with another origin and a rate that differs by up to 0.04%."""

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
    """A network of three dispatchers that forward requests to each other.

    Attributes:
        on_result: Called with an attempt and its result at the origin.
        serve: Returns how long a gateway takes for a request, in ms, and its result.
    """

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
        self.on_result: Callable[[Attempt, ForwardResult], None] = lambda attempt, end: None
        draws = random.Random(seed ^ 0x5EED)

        def make(member: int, life: int, disk: dict[str, bytes]) -> DriftingClock:
            inner = RequestForwarder(member, 7000 + life, self.settings, draws.getrandbits(32))
            return DriftingClock(inner, draws, self.now)

        super().__init__((A, B, C), make, seed)

    def forwarder_of(self, member: int) -> RequestForwarder:
        machine = self.running[member]
        assert isinstance(machine, DriftingClock)
        return machine.inner

    def forward(
        self,
        origin: int,
        owner: int,
        size: int,
        timeout_ms: float,
        queue_key: bytes = b"",
        request_id: str = "",
    ) -> Attempt:
        """Forward a request with a body of `size` bytes, at least 8, and a timeout in ms."""
        id_ = len(self.attempts)
        body = id_.to_bytes(8, "big") + random.Random(id_).randbytes(max(size - 8, 0))
        attempt = Attempt(
            id_,
            request_id or f"r{id_}",
            origin,
            self.incarnations[origin],
            owner,
            body,
            queue_key,
            self.now + timeout_ms,
        )
        self.attempts.append(attempt)
        self.by_body[body] = self.current[origin, attempt.request_id] = attempt
        clock = self.running[origin]
        deadline = clock.at(attempt.deadline)
        self.act(
            origin,
            clock.inner.forward(clock.at(self.now), attempt.request_id, owner, body, deadline, queue_key),
        )
        return attempt

    def leave(self, attempt: Attempt) -> None:
        """Disconnect an attempt's client, unless it has a result."""
        if not attempt.results and not attempt.has_no_client:
            attempt.has_no_client = True
            clock = self.running[attempt.origin]
            self.act(attempt.origin, clock.inner.abandon(clock.at(self.now), attempt.request_id))

    def start(self, member: int, empty: bool = False) -> None:
        if member not in self.running:  # a member that crashed twice while it was down starts once
            super().start(member, empty)

    def stop(self, member: int) -> None:
        super().stop(member)
        self.waiting.pop(member, None)
        for attempt in self.attempts:
            attempt.has_no_client |= attempt.origin == member and not attempt.results

    def pause(self, member: int) -> None:
        super().pause(member)
        self.stalls.append((member, self.now, float("inf")))

    def resume(self, member: int) -> None:
        super().resume(member)
        for incarnation, delivery in self.waiting.pop(member, []):
            self.post(self.draw.uniform(0.0, 1.0), member, incarnation, delivery)
        self.stalls = [(m, a, min(b, self.now) if m == member else b) for m, a, b in self.stalls]

    def act(self, member: int, actions: Iterable[Any]) -> None:
        for a in actions:
            if isinstance(a, SendConsensusMessage):
                assert a.member != member and len(a.payload) <= 200
                self.sent += 1
                self.transmit(member, a)
            elif isinstance(a, RequestAccepted):
                self.on_request_accepted(member, a)
            elif isinstance(a, ForwardingEnded):
                attempt = self.current[member, a.request_id]
                attempt.results.append((self.now, a))
                self.on_result(attempt, a.result)
            elif isinstance(a, RequestAbandoned):
                self.abandoned.append((member, a.number))

    def transmit(self, member: int, message: SendConsensusMessage) -> None:
        """Send a message, which may be lost, late, duplicated, or accompanied by forged ones."""
        if self.forged and self.draw.random() < self.forged:
            self.forge(member, message)
        if self.draw.random() < self.loss or frozenset((member, message.member)) in self.cut_links:
            return
        for _ in range(1 + (self.draw.random() < self.duplicate_chance)):
            delay = self.draw.uniform(0.2, self.max_delay_ms)
            if self.draw.random() < self.late:
                delay = self.draw.uniform(self.max_delay_ms, 2500)
            self.post(delay, message.member, 0, (member, message.payload))

    def post(self, delay: float, member: int, incarnation: int, delivery: Any) -> None:
        heapq.heappush(self.events, (self.now + delay, next(self.order), member, incarnation, delivery))

    def forge(self, member: int, message: SendConsensusMessage) -> None:
        """Send a copy from another member, and truncated, extended and random versions of the message."""
        data, length = message.payload, self.draw.randrange(1, len(message.payload))
        noise = data[:2] + self.draw.randbytes(self.draw.randrange(60))
        for sender, payload in ((LIAR, data), (member, data[:length]), (member, data + b"\0"), (LIAR, noise)):
            self.post(self.draw.uniform(0.2, self.max_delay_ms), message.member, 0, (sender, payload))

    def deliver(self, member: int, incarnation: int, delivery: Any) -> None:
        if member in self.stopped:
            self.waiting[member].append((incarnation, delivery))
        elif not callable(delivery):
            super().deliver(member, incarnation, delivery)
        elif member in self.running and incarnation == self.incarnations[member]:
            delivery()

    def on_request_accepted(self, owner: int, accepted: RequestAccepted) -> None:
        """Record that the owner's gateway accepted a request, and schedule its result."""
        if accepted.origin == LIAR:
            return
        attempt = self.by_body[accepted.body]
        attempt.accepts.append((self.now, owner, accepted.remaining_ms))
        wait, result = self.serve()
        data = (
            self.draw.randbytes(self.draw.choice((0, 10, 400, 3000)))
            if result is ForwardResult.ANSWERED
            else b""
        )

        def done() -> None:
            attempt.answered = (result, data)
            clock = self.running[owner]
            now = clock.at(self.now)
            self.act(
                owner, clock.inner.on_request_ended(now, accepted.origin, accepted.number, result, 30.0, data)
            )

        self.post(wait, owner, self.incarnations[owner], done)

    def check(self) -> None:
        """Check all invariants after all deadlines; raises AssertionError with the invariant's name."""
        for attempt in self.attempts:
            assert len(attempt.accepts) <= 1, ("accepted twice", attempt.id, attempt.accepts)
            assert all(owner == attempt.owner for _, owner, _ in attempt.accepts), (
                "not its owner",
                attempt.id,
            )
            for at, _, remaining_ms in attempt.accepts:
                assert 0 < remaining_ms <= attempt.deadline - at, (
                    "left_ms",
                    attempt.id,
                    remaining_ms,
                    attempt.deadline - at,
                )
            self.check_end(attempt)
        self.check_order()
        for member in self.running:
            status = self.forwarder_of(member).status()
            assert not status["open"] and not status["gathering_bytes"], ("not forgotten", status)

    def check_end(self, attempt: Attempt) -> None:
        """Check that a request has at most one result, in time and consistent with what the owner did."""
        assert len(attempt.results) <= 1 and (attempt.has_no_client or attempt.results), (
            "one end",
            attempt.id,
            attempt.results,
        )
        for at, ended in attempt.results:
            stalled = [b for m, s, b in self.stalls if m == attempt.origin and s <= attempt.deadline <= b]
            assert at <= max([attempt.deadline, *(b + 1 for b in stalled)]), (
                "in time",
                attempt.id,
                at,
                attempt.deadline,
            )
            if ended.result in NOTHING_RAN:
                assert not attempt.may_have_run, ("nothing ran", attempt.id, ended.result, attempt.accepts)
            if ended.result is ForwardResult.NOT_ACCEPTED:
                assert not attempt.accepts, ("nobody", attempt.id, attempt.accepts)
            if ended.result is ForwardResult.ANSWERED:
                assert attempt.answered == (ForwardResult.ANSWERED, ended.data), ("answer", attempt.id)
            if ended.result is ForwardResult.REJECTED:
                assert ended.retry_after_ms == 30.0, ("ms", attempt.id, ended.retry_after_ms)

    def check_order(self) -> None:
        """Check that requests of one queue to one owner are accepted in the order of forwarding."""
        queues = defaultdict[tuple[int, int, int, bytes], list[Attempt]](list)
        for attempt in self.attempts:
            if attempt.queue_key and attempt.accepts:
                queues[attempt.origin, attempt.incarnation, attempt.owner, attempt.queue_key].append(attempt)
        for attempts in queues.values():
            assert attempts == sorted(attempts, key=lambda attempt: attempt.accepts[0][0]), (
                "order",
                [attempt.id for attempt in attempts],
            )


def random_faults(seed: int) -> ForwardingNetwork:
    """Run some 20 requests among three dispatchers with random faults, until all deadlines are over."""
    net, draw = ForwardingNetwork(seed), random.Random(seed)
    _draw_network_faults(net, draw)
    net.on_result = lambda attempt, result: _retry_elsewhere(net, draw, attempt, result)
    events: list[tuple[float, Callable[[], None]]] = [
        (draw.uniform(0, 1500), lambda: _forward_one(net, draw)) for _ in range(20)
    ]
    events += _draw_member_faults(net, draw)
    for at, action in sorted(events, key=lambda event: event[0]):
        net.run(max(at - net.now, 0))
        action()
    net.run(6000)
    return net


def _draw_network_faults(net: ForwardingNetwork, draw: random.Random) -> None:
    net.loss, net.duplicate_chance = draw.choice((0.0, 0.1, 0.4)), draw.choice((0.0, 0.3))
    net.max_delay_ms, net.late = draw.choice((2.0, 15.0, 60.0)), draw.choice((0.0, 0.03, 0.1))
    net.forged = draw.choice((0.0, 0.0, 0.2))
    results = [ForwardResult.ANSWERED] * 6 + [
        ForwardResult.REJECTED,
        ForwardResult.NOT_OWNER,
        ForwardResult.NOT_OWNER,
        ForwardResult.FAILED,
    ]
    net.serve = lambda: (draw.choice((1.0, 20.0, 200.0, 1500.0)), draw.choice(results))


def _retry_elsewhere(
    net: ForwardingNetwork, draw: random.Random, attempt: Attempt, result: ForwardResult
) -> None:
    """Forward most requests that did not run to the third dispatcher."""
    remaining_ms = attempt.deadline - net.now
    did_not_run = result in (ForwardResult.NOT_OWNER, ForwardResult.NOT_ACCEPTED)
    if did_not_run and remaining_ms > 50 and draw.random() < 0.7:
        other = next(m for m in (A, B, C) if m not in (attempt.origin, attempt.owner))
        size = len(attempt.body) + 1
        net.forward(attempt.origin, other, size, remaining_ms, attempt.queue_key, attempt.request_id)


def _forward_one(net: ForwardingNetwork, draw: random.Random) -> None:
    """Forward a request between two dispatchers; one client in ten leaves early."""
    origin, owner = draw.sample((A, B, C), 2)
    if origin not in net.running or origin in net.stopped:
        return
    queue_key = draw.choice((b"", b"k1", b"k1", b"k2"))
    size = draw.choice((8, 100, 100, 500, 2000) if draw.random() < 0.95 else (16384, 16385))
    attempt = net.forward(origin, owner, size, draw.choice((30, 200, 700, 700, 2000, 4000)), queue_key)
    if draw.random() < 0.1:
        incarnation = net.incarnations[origin]
        net.post(draw.uniform(0, 100), origin, incarnation, lambda: net.leave(attempt))


def _draw_member_faults(
    net: ForwardingNetwork, draw: random.Random
) -> list[tuple[float, Callable[[], None]]]:
    """Return up to two crashes or pauses of dispatchers, each with its end."""
    events: list[tuple[float, Callable[[], None]]] = []
    for _ in range(draw.randrange(3)):
        member, at = draw.choice((A, B, C)), draw.uniform(0, 1500)
        if draw.random() < 0.5:
            events += [(at, partial(net.stop, member)), (at + 100, partial(net.start, member))]
        else:
            end = at + draw.choice((300.0, 5000.0))
            events += [(at, partial(net.pause, member)), (end, partial(net.resume, member))]
    return events
