"""A body in parts on its way: a window, selective acknowledgement, resent with back-off. Pure.

A `Lane` carries the parcels for one neighbour, the oldest number first. At most `window` parts of all of them
are on their way at once, so a neighbour is not flooded, whatever waits. A part whose time is over no longer
counts as on its way and goes before what is younger. What arrives widens the window up to that, silence
halves it: so most requests for a dead neighbour are not sent whole, and may go elsewhere.
"""

from __future__ import annotations

import heapq
import math

from cottonhold.fleet.message_format import MessageError
from cottonhold.fleet.request_forwarding.messages import parts_of

FIRST, LEAST = 16.0, 4.0  # parts on their way to a neighbour that has said nothing yet, and to a silent one


class Parcel:
    """A body that goes out in parts of `room` bytes."""

    def __init__(self, number: int, body: bytes, room: int) -> None:
        self.number, self.body, self.room = number, body, room
        self.count = parts_of(len(body), room)
        self.reset()

    def reset(self) -> None:
        """As if nothing had been sent."""
        self.next, self.acked = 0, 0
        self.again: list[int] = []  # heap of parts whose time is over
        self.flight: dict[int, float] = {}  # part -> when it is resent
        self.tries = [0] * self.count

    @property
    def whole(self) -> bool:
        """Each part was sent at least once: whoever it went to may have all of it."""
        return self.next >= self.count

    @property
    def done(self) -> bool:
        """Each part has arrived."""
        return self.acked == (1 << self.count) - 1

    def part(self, index: int) -> bytes:
        """A part's bytes."""
        return self.body[index * self.room : (index + 1) * self.room]

    def take(self) -> int | None:
        """The next part to send."""
        while self.again:
            index = heapq.heappop(self.again)
            if not self.acked >> index & 1:
                return index
        if self.next < self.count:
            self.next += 1
            return self.next - 1
        return None

    def ready(self) -> bool:
        """Whether there may be a part to send."""
        return bool(self.again) or self.next < self.count

    def ack(self, bits: int) -> None:
        """These parts have arrived. Raises MessageError where one of them was never sent."""
        if bits >> self.next:
            raise MessageError("a part that was not sent")
        self.acked |= bits
        for index in [i for i in self.flight if bits >> i & 1]:
            del self.flight[index]


class Lane:
    """What is on its way to one neighbour. Times in ms. retry: a part without an answer is sent again, later
    each time up to `most`."""

    def __init__(self, window: int, retry: float, most: float) -> None:
        self.window, self.retry, self.most = window, retry, most
        self.parcels: dict[int, Parcel] = {}
        self.ready: list[int] = []  # heap of numbers with something to send
        self.timers: list[tuple[float, int, int]] = []  # heap: when, number, part
        self.flight = 0
        self.wide = min(float(window), FIRST)  # parts that may be on their way now
        self.silent, self.narrow_at = True, -math.inf  # since and until when it is not narrowed again

    def add(self, parcel: Parcel) -> None:
        """A parcel to bring there."""
        self.parcels[parcel.number] = parcel
        heapq.heappush(self.ready, parcel.number)

    def drop(self, number: int) -> None:
        """No more of it is sent."""
        parcel = self.parcels.pop(number, None)
        if parcel is not None:
            self.flight -= len(parcel.flight)
            parcel.flight.clear()

    def ack(self, number: int, bits: int) -> None:
        """What has arrived of one."""
        parcel = self.parcels.get(number)
        if parcel is not None:
            before = len(parcel.flight)
            parcel.ack(bits)
            self.flight -= before - len(parcel.flight)
            self._widen(before - len(parcel.flight))

    def arrived(self, number: int) -> None:
        """All of one has arrived."""
        if number in self.parcels:
            # Danger: taken at once, a request of one part has no bits that tell; the window stayed narrow.
            self._widen(max(1, len(self.parcels[number].flight)))
            self.drop(number)

    def _widen(self, arrived: int) -> None:
        self.silent = self.silent and not arrived
        self.wide = min(self.wide + arrived, float(self.window))

    def run(self, now: float) -> list[tuple[Parcel, int]]:
        """The parts to send now."""
        self._overdue(now)
        out: list[tuple[Parcel, int]] = []
        while self.ready and self.flight < int(self.wide):
            parcel = self.parcels.get(self.ready[0])
            index = parcel.take() if parcel is not None else None
            if parcel is None or index is None:
                heapq.heappop(self.ready)
                continue
            due = now + min(self.retry * 2 ** parcel.tries[index], self.most)
            parcel.tries[index] = min(parcel.tries[index] + 1, 16)
            parcel.flight[index] = due
            heapq.heappush(self.timers, (due, parcel.number, index))
            self.flight += 1
            out.append((parcel, index))
        return out

    def _overdue(self, now: float) -> None:
        """Parts without an answer for too long."""
        while self.timers and self.timers[0][0] <= now:
            due, number, index = heapq.heappop(self.timers)
            parcel = self.parcels.get(number)
            if parcel is None or parcel.flight.get(index) != due:
                continue
            del parcel.flight[index]
            self.flight -= 1
            if now >= self.narrow_at:
                self._narrow(now)
            heapq.heappush(parcel.again, index)
            heapq.heappush(self.ready, number)

    def _narrow(self, now: float) -> None:
        """Something is overdue: less goes out where nothing has arrived since the last time.

        Danger: halved by each loss, it stayed at its least where 30% are lost though all is well else, and
        requests waited a second to be sent.
        """
        if self.silent:
            self.wide = max(self.wide / 2, LEAST)
        self.silent, self.narrow_at = True, now + self.retry

    def next_at(self) -> float:
        """When `run` is due, but for what was added since."""
        while self.timers:
            due, number, index = self.timers[0]
            parcel = self.parcels.get(number)
            if parcel is not None and parcel.flight.get(index) == due:
                return due
            heapq.heappop(self.timers)
        return math.inf


class Gather:
    """A body that comes in parts. Its size was fixed by the part that came first."""

    def __init__(self, size: int, room: int) -> None:
        self.size, self.count = size, parts_of(size, room)
        self.parts: dict[int, bytes] = {}
        self.bits = 0

    def put(self, size: int, index: int, data: bytes) -> bool:
        """A part; whether all are there. Raises MessageError where it contradicts an earlier one."""
        self.check(size, index, data)
        self.parts[index] = data
        self.bits |= 1 << index
        return len(self.parts) == self.count

    def check(self, size: int, index: int, data: bytes) -> None:
        """Raises MessageError where a part contradicts an earlier one."""
        if size != self.size or self.parts.get(index, data) != data:
            raise MessageError("contradicts an earlier part")

    def body(self) -> bytes:
        """All of it."""
        return b"".join(self.parts[index] for index in range(self.count))
