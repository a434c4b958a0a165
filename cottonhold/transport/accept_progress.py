"""For how long connections may have waited unread in a listener's queue. Free of I/O."""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

MARK_INTERVAL_MS = 5.0  # shortest time between two marks
MAX_MARKS = 256


class QueueMark(NamedTuple):
    """All connections that had arrived at a time are accepted once the listener has accepted this many."""

    at: float  # in ms of the clock
    accepted_count: int


class AcceptProgress:
    """Bounds the age of the oldest connection in a listener's queue, which the system doesn't tell.

    The queue is first in, first out. So its length at a time, with the number of connections accepted since,
    tells whether all connections that had arrived by then are accepted.

    Args:
        now: The time, in ms of the clock; nothing arrived before.
    """

    def __init__(self, now: float) -> None:
        self.accepted_until = now  # all connections that arrived before this time are accepted
        self.accepted_count = 0
        self.marks: deque[QueueMark] = deque()

    def on_accepted(self) -> None:
        """Record that a connection has left the queue."""
        self.accepted_count += 1

    def on_queue_length(self, now: float, queued: int) -> None:
        """Record the length of the queue at a time, in ms of the clock."""
        if not queued:
            self.marks.clear()
            self.accepted_until = now
        elif len(self.marks) < MAX_MARKS and self._is_mark_due(now):
            self.marks.append(QueueMark(now, self.accepted_count + queued))

    def _is_mark_due(self, now: float) -> bool:
        return not self.marks or now - self.marks[-1].at >= MARK_INTERVAL_MS

    def max_wait_ms(self, now: float) -> float:
        """Return an upper bound of the time that a connection has waited in the queue, in ms.

        Args:
            now: The time, in ms of the clock.
        """
        while self.marks and self.marks[0].accepted_count <= self.accepted_count:
            self.accepted_until = self.marks.popleft().at
        return now - self.accepted_until
