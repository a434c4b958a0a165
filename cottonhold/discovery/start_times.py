"""When engines began, on this process's own clock, from what a source tells in Unix time. Pure.

The own wall clock may be off by seconds or by an hour, and so may the clock that stamped a start. So the
difference between the stamps and the own clock is learned from the stamps themselves: no process was told
of before it began, so the latest stamp, less the time when it was heard, is at most the true difference.
What is worked out with it can be too late, which holds an engine to the cold budget for `warm_within` at
most, and not too early, which would let a cold engine pass for warm. The own wall clock counts where it
agrees with that but for the delay with which starts are usually told, where it makes a start later still (a
stamp may be ahead), and where a start is longer past than any step explains.
"""

from __future__ import annotations

import math
from collections.abc import Iterable

STEP_MS = 3_600_000.0  # the most that a wall clock is taken to be stepped by
TOLD_LATE_MS = 5000.0  # a start is usually told sooner than this: lists are seconds late
MOST_ERROR_MS = 2 * STEP_MS  # that the own one is taken to be off: two such steps
LEAST = 1.0  # 0 means long past without a stamp


class Starts:
    """One source's stamps. unix_offset: the wall clock less the own clock, in ms, as read at the start."""

    def __init__(self, unix_offset: float) -> None:
        self.most, self.least = unix_offset, unix_offset - MOST_ERROR_MS
        self.learned = -math.inf  # the latest stamp less the own time when it was heard
        self.current_at = -math.inf  # when the list was last known to hold all there was

    def hear(self, now: float, stamps: Iterable[float]) -> None:
        """Take in all stamps of one answer, before any of them is placed. Those of 0 or less tell nothing."""
        latest = max((stamp for stamp in stamps if stamp > 0), default=-math.inf)
        self.learned = max(self.learned, latest - now)

    def current(self, now: float) -> None:
        """The answer is taken in whole: what is told from now on has begun since, or shortly before."""
        self.current_at = now

    def place(self, now: float, stamp: float) -> float:
        """The own time of a start that is told for the first time; now where the stamp makes no sense."""
        start = stamp - self._offset()
        # Danger: a clock that is ahead made engines that had just begun look warm for long, and all
        # dispatchers together brought them down.
        if start > now or start < self.current_at - TOLD_LATE_MS:
            return now
        return max(start, LEAST)

    def _offset(self) -> float:
        """What to take the stamps' clock to be ahead of the own one."""
        # Danger: with what was learned alone each start counted as begun when it was told, seconds too late,
        # and new engines stood idle beside full ones for as long.
        if self.learned <= self.most < self.learned + TOLD_LATE_MS:
            return self.most  # the wall clock agrees with what was told, but for a usual delay
        return min(self.most, max(self.learned, self.least))
