"""A simulated clock with a queue of timed actions."""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable

Action = Callable[[], None]


class VirtualClock:
    """Runs actions in the order of their times, and those of one moment in the order of `call_at`.

    Times are ms from 0.
    """

    def __init__(self) -> None:
        self.now = 0.0
        self._scheduled: list[tuple[float, int, Action]] = []
        self._serial = itertools.count()

    def call_at(self, when: float, action: Action) -> None:
        """Run an action at a time in ms."""
        heapq.heappush(self._scheduled, (when, next(self._serial), action))

    def run(self, until: float) -> None:
        """Run all actions up to a time, and set the clock to it."""
        while self._scheduled and self._scheduled[0][0] <= until:
            self.now, _, action = heapq.heappop(self._scheduled)
            action()
        self.now = until
