"""When engines started, on this process's own clock, from what a source reports in Unix time. Pure.

The own wall clock may be off by seconds or by an hour, and so may the clock that stamped a start. So the
offset between the stamps and the own clock is learned from the stamps themselves: no process is reported
before it starts, so the latest stamp, less the time at which it arrived, is at most the true offset. A start
derived from it can be too late, which holds an engine to the cold budget for `warm_within` at most, and not
too early, which would let a cold engine pass for warm. The own wall clock counts where it agrees with that
but for the usual delay of reports, where it makes a start later still (a stamp may be ahead), and where a
start is longer past than any clock step explains."""

from __future__ import annotations

import math
from collections.abc import Iterable

MAX_CLOCK_STEP_MS = 3_600_000.0  # the largest step of a wall clock that is expected
USUAL_DELAY_MS = 5000.0  # a start is usually reported within this: lists are seconds late
MAX_CLOCK_ERROR_MS = 2 * MAX_CLOCK_STEP_MS  # of the own wall clock: two such steps
MIN_START_MS = 1.0  # 0 means long past without a stamp


class StartTimes:
    """One source's stamps. unix_offset_ms: the wall clock less the own clock, as read at the start."""

    def __init__(self, unix_offset_ms: float) -> None:
        self.max_offset_ms, self.min_offset_ms = unix_offset_ms, unix_offset_ms - MAX_CLOCK_ERROR_MS
        self.learned_offset_ms = -math.inf  # the latest stamp less the own time when it was heard
        self.complete_at = -math.inf  # when the list was last known to hold all there was

    def learn(self, now: float, stamps: Iterable[float]) -> None:
        """Take in all stamps of one answer, before any start is derived. Those of 0 or less mean none."""
        latest = max((stamp for stamp in stamps if stamp > 0), default=-math.inf)
        self.learned_offset_ms = max(self.learned_offset_ms, latest - now)

    def on_complete_answer(self, now: float) -> None:
        """A complete answer was taken in: what is reported from now on started since, or shortly before."""
        self.complete_at = now

    def local_start(self, now: float, stamp: float) -> float:
        """The own time of a start that is reported for the first time; now where the stamp makes no sense."""
        start = stamp - self._offset()
        # A clock that is ahead would make an engine that has just started look warm for long, and all
        # dispatchers together would overload it.
        if start > now or start < self.complete_at - USUAL_DELAY_MS:
            return now
        return max(start, MIN_START_MS)

    def _offset(self) -> float:
        """How far the stamps' clock is taken to be ahead of the own one, in ms.

        With the learned offset alone each start would count from when it was reported, seconds too late, and
        a new engine would stay idle for as long."""
        if self.learned_offset_ms <= self.max_offset_ms < self.learned_offset_ms + USUAL_DELAY_MS:
            return self.max_offset_ms  # the wall clock agrees, but for the usual delay
        return min(self.max_offset_ms, max(self.learned_offset_ms, self.min_offset_ms))
