"""Decaying averages of work and arrival rates, and sums over a sliding window."""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field
from typing import NamedTuple


@dataclass(slots=True)
class WorkRate:
    """Sums of completed work and of the thread time it took, which decay exponentially."""

    work_ms: float = 0.0
    thread_ms: float = 0.0
    updated_at: float = 0.0

    def add(self, now: float, half_life_ms: float, work_ms: float, thread_ms: float) -> None:
        """Add completed work and the thread time it took."""
        decay = math.exp2((self.updated_at - now) / half_life_ms)
        self.work_ms = self.work_ms * decay + work_ms
        self.thread_ms = self.thread_ms * decay + thread_ms
        self.updated_at = now

    def value(self, now: float, half_life_ms: float, prior_thread_ms: float, prior_rate: float) -> float:
        """Return the work per thread time, averaged with a prior rate of weight `prior_thread_ms`."""
        decay = math.exp2((self.updated_at - now) / half_life_ms)
        return (self.work_ms * decay + prior_thread_ms * prior_rate) / (
            self.thread_ms * decay + prior_thread_ms
        )


@dataclass(slots=True)
class ArrivalRate:
    """Arrival rate from a count of arrivals that decays exponentially.

    Without `min_age_ms` the rate starts at 0 and grows to its value over `time_constant_ms`. With it the
    count is divided by the time since the first arrival, so that a gateway that has just started reports its
    full traffic.

    Attributes:
        time_constant_ms: Time constant of the decay, in ms.
        min_age_ms: Shortest time by which the count is divided, in ms; 0 to divide by `time_constant_ms`.
        count: Decayed number of arrivals as of `updated_at`.
        updated_at: Time of the last arrival, in ms.
        first_at: Time of the first arrival, in ms; only recorded with `min_age_ms`.
    """

    time_constant_ms: float
    min_age_ms: float = 0.0
    count: float = 0.0
    updated_at: float = 0.0
    first_at: float = math.inf

    def add(self, now: float) -> None:
        """Record one arrival; with `min_age_ms` the first arrival only starts the measurement."""
        if self.min_age_ms and now < self.first_at:
            self.first_at = self.updated_at = now
            return
        self.count = self.count * math.exp((self.updated_at - now) / self.time_constant_ms) + 1
        self.updated_at = now

    def per_s(self, now: float) -> float:
        """Return the arrivals per second."""
        rate = (
            self.count
            * math.exp((self.updated_at - now) / self.time_constant_ms)
            * 1000
            / self.time_constant_ms
        )
        if now <= self.first_at:
            return rate
        return rate / -math.expm1(-max(now - self.first_at, self.min_age_ms) / self.time_constant_ms)


class TimedAmount(NamedTuple):
    """An amount and the time at which it was recorded."""

    at: float
    amount: float


@dataclass(slots=True)
class SlidingSum:
    """Amounts with their times, which are summed over a sliding window."""

    entries: deque[TimedAmount] = field(default_factory=deque)
    total: float = 0.0

    def add(self, now: float, amount: float) -> None:
        """Record an amount."""
        self.entries.append(TimedAmount(now, amount))
        self.total += amount

    def since(self, start: float) -> float:
        """Return the sum of the amounts recorded after `start`; older entries are dropped."""
        while self.entries and self.entries[0].at <= start:
            self.total -= self.entries.popleft().amount
        return self.total if self.entries else 0.0
