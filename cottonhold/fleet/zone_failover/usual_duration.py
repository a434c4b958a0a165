"""Estimate the usual duration of a query class's attempts and their work at the engine; does no I/O."""

from __future__ import annotations

import math
from dataclasses import dataclass

MIN_ANSWERS = 5  # number of answers from which the usual duration is known
PLAIN_MEAN_ANSWERS = 30  # the estimate is at least as fast as the plain mean up to this number of answers
MIN_DURATION_MS = 0.1  # shorter durations are treated as this one
ABOVE_EXPECTILE_WEIGHT = 1 / 6  # weight of answers above the low expectile, relative to those below it
WORK_TO_EXPECTILE_RATIO = 1.25  # assumed ratio of the mean work to the low expectile of the durations


@dataclass(slots=True)
class UsualDuration:
    """The usual duration of attempts, averaged as logarithms so that a few long attempts have little effect.

    Attributes:
        mean_log_ms: Moving average of the logarithm of the duration in ms.
        expectile_log_ms: Low expectile of the same logarithms; it excludes most of the time spent in queues.
        count: Number of answers.
        updated_at: Time of the last answer, in ms.
    """

    mean_log_ms: float = 0.0
    expectile_log_ms: float = 0.0
    count: int = 0
    updated_at: float = 0.0

    @property
    def is_known(self) -> bool:
        """Whether there were enough answers for an estimate."""
        return self.count >= MIN_ANSWERS

    def update(self, now: float, elapsed_ms: float, learning_time_ms: float) -> None:
        """Add the duration of a served attempt that was not slow; learning_time_ms is the mean's time
        constant."""
        self.count += 1
        gain = 1 - math.exp((self.updated_at - now) / learning_time_ms)
        gain = max(gain, 1 / self.count if self.count < PLAIN_MEAN_ANSWERS else 0.0)
        self.updated_at = now
        log_ms = math.log(max(elapsed_ms, MIN_DURATION_MS))
        weight = 1.0 if log_ms < self.expectile_log_ms or self.count == 1 else ABOVE_EXPECTILE_WEIGHT
        self.mean_log_ms += gain * (log_ms - self.mean_log_ms)
        self.expectile_log_ms += gain * (log_ms - self.expectile_log_ms) * weight

    def mean_ms(self) -> float:
        """Return the usual duration including queueing, in ms; 1 before the first answer."""
        return math.exp(self.mean_log_ms)

    def work_ms(self) -> float:
        """Return the work of an attempt at an engine, in ms; 0 before the first answer.

        It excludes the time in queues, which would make the offered load look higher than it is.
        """
        return WORK_TO_EXPECTILE_RATIO * math.exp(self.expectile_log_ms) if self.count else 0.0

    def slow_after_ms(self, factor: float, min_excess_ms: float) -> float:
        """Return the duration from which an attempt is slow, in ms; infinite until `is_known`."""
        if not self.is_known:
            return math.inf
        return max(self.mean_ms() * factor, self.mean_ms() + min_excess_ms)

    def log_ratio(self, elapsed_ms: float) -> float:
        """Return log(elapsed_ms / usual duration)."""
        return math.log(max(elapsed_ms, MIN_DURATION_MS)) - self.mean_log_ms
