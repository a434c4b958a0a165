"""How long attempts of one query class usually take, and what they cost an engine. Pure."""

from __future__ import annotations

import math
from dataclasses import dataclass

MIN_KNOWN = 5  # fewer answers do not show what is usual
EARLY_COUNT = 30  # up to so many answers the plain mean of them all counts
MIN_DURATION_MS = 0.1
LOW_WEIGHT = 1 / 6  # of answers above the low expectile, against those below
WORK_OVER_LOW = 1.25  # the mean work over its low expectile


@dataclass(slots=True)
class UsualDuration:
    """Estimated by the mean of logs, so that long attempts move it little."""

    mean_log_ms: float = 0.0
    low_log_ms: float = 0.0  # a low expectile of the logs: without the time that others spend in a queue
    count: int = 0
    updated_at: float = 0.0

    @property
    def is_known(self) -> bool:
        """Whether enough answers have been seen."""
        return self.count >= MIN_KNOWN

    def update(self, now: float, elapsed_ms: float, learning_time_ms: float) -> None:
        """Take in the duration of a good answer."""
        self.count += 1
        gain = 1 - math.exp((self.updated_at - now) / learning_time_ms)
        gain = max(gain, 1 / self.count if self.count < EARLY_COUNT else 0.0)
        self.updated_at = now
        log_ms = math.log(max(elapsed_ms, MIN_DURATION_MS))
        weight = 1.0 if log_ms < self.low_log_ms or self.count == 1 else LOW_WEIGHT
        self.mean_log_ms += gain * (log_ms - self.mean_log_ms)
        self.low_log_ms += gain * (log_ms - self.low_log_ms) * weight

    def mean_ms(self) -> float:
        """The usual duration, queueing included; 1 while nothing is known."""
        return math.exp(self.mean_log_ms)

    def work_ms(self) -> float:
        """What an attempt costs an engine; 0 while nothing is known. Without the time in a queue: counted
        with it, the offered load would look higher than it is."""
        return WORK_OVER_LOW * math.exp(self.low_log_ms) if self.count else 0.0

    def slow_after_ms(self, factor: float, min_excess_ms: float) -> float:
        """The duration from which an attempt is slow; infinite while too little is known."""
        if not self.is_known:
            return math.inf
        return max(self.mean_ms() * factor, self.mean_ms() + min_excess_ms)

    def log_ratio(self, elapsed_ms: float) -> float:
        """Log of how many times the usual duration this is."""
        return math.log(max(elapsed_ms, MIN_DURATION_MS)) - self.mean_log_ms
