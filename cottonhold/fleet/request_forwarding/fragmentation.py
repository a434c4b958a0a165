"""Transfer of bodies in fragments, with a send window, selective acknowledgement and retries; does no I/O.

A `SendWindow` sends the bodies for one other member in the order of their numbers. To avoid flooding the
member, at most `max_in_flight` fragments of all bodies are in flight at the same time. A fragment whose retry
time has passed is no longer in flight and is sent again before later fragments. Acknowledgements grow the
window up to `max_in_flight`. A period without acknowledgements halves it, so that most requests for a failed
member are not fully sent and can still be sent elsewhere.
"""

from __future__ import annotations

import heapq
import math
from typing import NamedTuple

from cottonhold.fleet.message_format import MessageError
from cottonhold.fleet.request_forwarding.messages import fragment_count

INITIAL_WINDOW = 16.0  # maximum number of fragments in flight before the first acknowledgement
MIN_WINDOW = 4.0  # maximum number of fragments in flight to a member that no longer responds
MAX_BACKOFF_DOUBLINGS = 16  # maximum number of times that a retry interval is doubled


class FragmentTimer(NamedTuple):
    """The time at which a fragment is sent again, in ms, unless it is acknowledged before."""

    retry_at: float
    number: int
    fragment: int


class FragmentedBody:
    """A body that is sent in fragments of `fragment_bytes` bytes; the last one may be shorter."""

    def __init__(self, number: int, body: bytes, fragment_bytes: int) -> None:
        self.number = number
        self.body = body
        self.fragment_bytes = fragment_bytes
        self.fragment_count = fragment_count(len(body), fragment_bytes)
        self.reset()

    def reset(self) -> None:
        """Reset the body to the state before its first fragment was sent."""
        self.next_unsent = 0
        self.acked_bits = 0
        self.overdue: list[int] = []  # heap of fragments to be sent again
        self.in_flight: dict[int, float] = {}  # fragment -> time at which it is sent again, in ms
        self.send_counts = [0] * self.fragment_count

    @property
    def is_fully_sent(self) -> bool:
        """Whether each fragment was sent at least once, so that the receiver may have the whole body."""
        return self.next_unsent >= self.fragment_count

    @property
    def is_fully_acked(self) -> bool:
        """Whether each fragment is acknowledged."""
        return self.acked_bits == (1 << self.fragment_count) - 1

    def fragment(self, index: int) -> bytes:
        """Return a fragment's bytes."""
        return self.body[index * self.fragment_bytes : (index + 1) * self.fragment_bytes]

    def pop_next(self) -> int | None:
        """Remove and return the index of the next fragment to send; None if there is none."""
        while self.overdue:
            index = heapq.heappop(self.overdue)
            if not self.acked_bits >> index & 1:
                return index
        if self.next_unsent < self.fragment_count:
            self.next_unsent += 1
            return self.next_unsent - 1
        return None

    def ready(self) -> bool:
        """Return whether there may be a fragment to send."""
        return bool(self.overdue) or self.next_unsent < self.fragment_count

    def on_ack(self, received_bits: int) -> None:
        """Record the received fragments. Raises MessageError if one of them was never sent."""
        if received_bits >> self.next_unsent:
            raise MessageError("acknowledgement of a fragment that was not sent")
        self.acked_bits |= received_bits
        for index in [i for i in self.in_flight if received_bits >> i & 1]:
            del self.in_flight[index]


class SendWindow:
    """The fragments in flight to one other member.

    An unacknowledged fragment is sent again after retry_interval_ms, doubled each time up to
    max_retry_interval_ms.
    """

    def __init__(self, max_in_flight: int, retry_interval_ms: float, max_retry_interval_ms: float) -> None:
        self.max_in_flight = max_in_flight
        self.retry_interval_ms = retry_interval_ms
        self.max_retry_interval_ms = max_retry_interval_ms
        self.bodies: dict[int, FragmentedBody] = {}
        self.sendable_numbers: list[int] = []  # heap of numbers with something to send
        self.retry_timers: list[FragmentTimer] = []  # heap ordered by time
        self.in_flight_count = 0
        self.window_size = min(float(max_in_flight), INITIAL_WINDOW)
        self.nothing_acked = True  # no fragment was acknowledged since the last call of _shrink
        self.next_shrink_at = -math.inf

    def add(self, body: FragmentedBody) -> None:
        """Start to send a body."""
        self.bodies[body.number] = body
        heapq.heappush(self.sendable_numbers, body.number)

    def remove(self, number: int) -> None:
        """Stop sending a body."""
        body = self.bodies.pop(number, None)
        if body is not None:
            self.in_flight_count -= len(body.in_flight)
            body.in_flight.clear()

    def on_ack(self, number: int, received_bits: int) -> None:
        """Record the received fragments of a body. Raises MessageError if one of them was never sent."""
        body = self.bodies.get(number)
        if body is not None:
            before = len(body.in_flight)
            body.on_ack(received_bits)
            self.in_flight_count -= before - len(body.in_flight)
            self._grow(before - len(body.in_flight))

    def on_fully_received(self, number: int) -> None:
        """Record that the whole body was received, and stop sending it."""
        if number in self.bodies:
            # A request that is accepted after its last fragment has no acknowledged bits for that fragment.
            # Without this, requests of one fragment would never grow the window.
            self._grow(max(1, len(self.bodies[number].in_flight)))
            self.remove(number)

    def _grow(self, arrived_count: int) -> None:
        self.nothing_acked = self.nothing_acked and not arrived_count
        self.window_size = min(self.window_size + arrived_count, float(self.max_in_flight))

    def pop_sendable(self, now: float) -> list[tuple[FragmentedBody, int]]:
        """Return the fragments to send now as (body, index), and mark them as in flight."""
        self._collect_overdue(now)
        sendable: list[tuple[FragmentedBody, int]] = []
        while self.sendable_numbers and self.in_flight_count < int(self.window_size):
            body = self.bodies.get(self.sendable_numbers[0])
            index = body.pop_next() if body is not None else None
            if body is None or index is None:
                heapq.heappop(self.sendable_numbers)
                continue
            backoff_ms = self.retry_interval_ms * 2 ** body.send_counts[index]
            retry_at = now + min(backoff_ms, self.max_retry_interval_ms)
            body.send_counts[index] = min(body.send_counts[index] + 1, MAX_BACKOFF_DOUBLINGS)
            body.in_flight[index] = retry_at
            heapq.heappush(self.retry_timers, FragmentTimer(retry_at, body.number, index))
            self.in_flight_count += 1
            sendable.append((body, index))
        return sendable

    def _collect_overdue(self, now: float) -> None:
        """Move the fragments whose retry time has passed from those in flight to those to send."""
        while self.retry_timers and self.retry_timers[0][0] <= now:
            retry_at, number, index = heapq.heappop(self.retry_timers)
            body = self.bodies.get(number)
            if body is None or body.in_flight.get(index) != retry_at:
                continue
            del body.in_flight[index]
            self.in_flight_count -= 1
            if now >= self.next_shrink_at:
                self._shrink(now)
            heapq.heappush(body.overdue, index)
            heapq.heappush(self.sendable_numbers, number)

    def _shrink(self, now: float) -> None:
        """Halve the window if no acknowledgement has arrived since the last call.

        If each loss halved it, the window would stay at its minimum on a working network that loses a third
        of all messages.
        """
        if self.nothing_acked:
            self.window_size = max(self.window_size / 2, MIN_WINDOW)
        self.nothing_acked = True
        self.next_shrink_at = now + self.retry_interval_ms

    def next_at(self) -> float:
        """Return the time of the next retry, in ms; bodies added since `pop_sendable` are not considered."""
        while self.retry_timers:
            retry_at, number, index = self.retry_timers[0]
            body = self.bodies.get(number)
            if body is not None and body.in_flight.get(index) == retry_at:
                return retry_at
            heapq.heappop(self.retry_timers)
        return math.inf


class Reassembly:
    """A body that is received in fragments; the first received one determines its size."""

    def __init__(self, body_bytes: int, fragment_bytes: int) -> None:
        self.body_bytes = body_bytes
        self.fragment_count = fragment_count(body_bytes, fragment_bytes)
        self.fragments: dict[int, bytes] = {}
        self.received_bits = 0

    def add(self, body_bytes: int, index: int, data: bytes) -> bool:
        """Add a fragment and return whether all have arrived.

        Raises MessageError if the fragment contradicts an earlier one.
        """
        self.check(body_bytes, index, data)
        self.fragments[index] = data
        self.received_bits |= 1 << index
        return len(self.fragments) == self.fragment_count

    def check(self, body_bytes: int, index: int, data: bytes) -> None:
        """Raise MessageError if a fragment contradicts an earlier one."""
        if body_bytes != self.body_bytes or self.fragments.get(index, data) != data:
            raise MessageError("fragment contradicts an earlier one")

    def body(self) -> bytes:
        """Return the whole body."""
        return b"".join(self.fragments[index] for index in range(self.fragment_count))
