"""Converts engines' start times, which sources report in Unix time, to the local monotonic clock;
does no I/O.

The local wall clock may be wrong by seconds or by an hour, and so may the clock that stamped a start. So the
offset between the stamps and the monotonic clock is learned from the stamps themselves. No process is
reported before it starts, so the latest stamp minus the time at which it was received is at most the true
offset. A start derived from it may be too late, which limits a warm engine to the cold budget for at most
the warm-up time; it can't be too early, which would make a cold engine look warm.

The offset read from the local wall clock is used instead in three cases: it agrees with the learned offset
within the usual delay of reports; it gives a later start (the remote clock may be ahead); or the learned
offset is lower by more than the largest expected clock error, which then bounds the difference.
"""

from __future__ import annotations

import math
from collections.abc import Iterable

MAX_CLOCK_STEP_MS = 3_600_000.0  # the largest expected step of a wall clock
USUAL_DELAY_MS = 5000.0  # the usual maximum time between a start and its report
MAX_CLOCK_ERROR_MS = 2 * MAX_CLOCK_STEP_MS  # the largest expected error of the local wall clock
MIN_START_MS = 1.0  # lower limit of returned start times; 0 is reserved for engines without a start stamp


class StartTimes:
    """Converts the start stamps of one source.

    `learn` must receive all stamps of an answer before `local_start` converts the first of them.

    Args:
        unix_offset_ms: The local wall clock minus the monotonic clock when this process started, in ms.
    """

    def __init__(self, unix_offset_ms: float) -> None:
        self.max_offset_ms, self.min_offset_ms = unix_offset_ms, unix_offset_ms - MAX_CLOCK_ERROR_MS
        self.learned_offset_ms = -math.inf  # largest difference between a stamp and its receipt
        self.complete_at = -math.inf  # when a complete list was last received

    def learn(self, now: float, stamps: Iterable[float]) -> None:
        """Update the learned offset from all stamps of one answer; stamps of 0 or less are ignored."""
        latest = max((stamp for stamp in stamps if stamp > 0), default=-math.inf)
        self.learned_offset_ms = max(self.learned_offset_ms, latest - now)

    def on_complete_answer(self, now: float) -> None:
        """Record a complete answer: engines first reported later started after it, or shortly before."""
        self.complete_at = now

    def local_start(self, now: float, stamp: float) -> float:
        """Return the local time of a start reported for the first time; `now` if the stamp is implausible."""
        start = stamp - self._offset()
        # A start in the future, or before the last complete list (which didn't name the engine), is wrong. If
        # it were used, an engine that has just started might look warm, and all dispatchers together would
        # overload it.
        if start > now or start < self.complete_at - USUAL_DELAY_MS:
            return now
        return max(start, MIN_START_MS)

    def _offset(self) -> float:
        """Return the assumed offset of the stamps' clock from the monotonic clock, in ms.

        With the learned offset alone each start would be dated to its report, seconds too late, and a new
        engine would be underused for as long.
        """
        if self.learned_offset_ms <= self.max_offset_ms < self.learned_offset_ms + USUAL_DELAY_MS:
            return self.max_offset_ms  # the wall clock agrees within the usual delay
        return min(self.max_offset_ms, max(self.learned_offset_ms, self.min_offset_ms))
