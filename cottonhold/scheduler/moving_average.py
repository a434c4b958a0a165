"""Averages and sums that forget: rates of work, rates of arrivals, and sums over a sliding window."""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field
from typing import NamedTuple


@dataclass(slots=True)
class WorkRate:
    """Work seen done and the thread time it took, both forgotten by half-lives."""

    work_ms: float = 0.0
    thread_ms: float = 0.0
    updated_at: float = 0.0

    def add(self, now: float, half_life_ms: float, work_ms: float, thread_ms: float) -> None:
        """Add work seen done in some thread time."""
        fade = math.exp2((self.updated_at - now) / half_life_ms)
        self.work_ms = self.work_ms * fade + work_ms
        self.thread_ms = self.thread_ms * fade + thread_ms
        self.updated_at = now

    def value(self, now: float, half_life_ms: float, prior_thread_ms: float, prior_rate: float) -> float:
        """Work by thread time, with a prior rate that weighs as much as some thread time."""
        fade = math.exp2((self.updated_at - now) / half_life_ms)
        return (self.work_ms * fade + prior_thread_ms * prior_rate) / (
            self.thread_ms * fade + prior_thread_ms
        )


@dataclass(slots=True)
class ArrivalRate:
    """An exponentially forgotten count of arrivals.

    With `min_age_ms` the rate is by the time since the first arrival, of that age at least, so that a gateway
    that has just started reports its traffic in full; without it the rate grows over `memory_ms`.
    """

    memory_ms: float
    min_age_ms: float = 0.0
    count: float = 0.0
    updated_at: float = 0.0
    first_at: float = math.inf

    def add(self, now: float) -> None:
        """Count one arrival; the one that time is counted from is not counted itself."""
        if self.min_age_ms and now < self.first_at:
            self.first_at = self.updated_at = now
            return
        self.count = self.count * math.exp((self.updated_at - now) / self.memory_ms) + 1
        self.updated_at = now

    def per_s(self, now: float) -> float:
        """Arrivals a second."""
        rate = self.count * math.exp((self.updated_at - now) / self.memory_ms) * 1000 / self.memory_ms
        if now <= self.first_at:
            return rate
        return rate / -math.expm1(-max(now - self.first_at, self.min_age_ms) / self.memory_ms)


class TimedAmount(NamedTuple):
    """An amount and when it was recorded."""

    at: float
    amount: float


@dataclass(slots=True)
class SlidingSum:
    """Amounts with their times, for sums over a sliding window."""

    entries: deque[TimedAmount] = field(default_factory=deque)
    total: float = 0.0

    def add(self, now: float, amount: float) -> None:
        """Record an amount."""
        self.entries.append(TimedAmount(now, amount))
        self.total += amount

    def since(self, start: float) -> float:
        """The sum of what came after `start`; older entries are dropped."""
        while self.entries and self.entries[0].at <= start:
            self.total -= self.entries.popleft().amount
        return self.total if self.entries else 0.0
