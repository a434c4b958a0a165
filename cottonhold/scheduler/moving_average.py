"""Averages and sums that forget: rates of work, traffic, and sums over a sliding window."""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field


@dataclass(slots=True)
class Rate:
    """Work seen done and the thread time it took, both forgotten by half lives."""

    work: float = 0.0
    busy: float = 0.0
    at: float = 0.0

    def learn(self, now: float, half_ms: float, work: float, thread_ms: float) -> None:
        """Add work seen done in some thread time."""
        fade = math.exp2((self.at - now) / half_ms)
        self.work = self.work * fade + work
        self.busy = self.busy * fade + thread_ms
        self.at = now

    def value(self, now: float, half_ms: float, prior_ms: float, prior: float) -> float:
        """Work over thread time, with a prior that weighs as some thread time."""
        fade = math.exp2((self.at - now) / half_ms)
        return (self.work * fade + prior_ms * prior) / (self.busy * fade + prior_ms)


@dataclass(slots=True)
class Traffic:
    """An exponentially forgotten count of arrivals. young_ms: one that began this long ago tells in full what
    came since, with less time it tells a part; without it what is told grows with the memory."""

    memory_ms: float
    young_ms: float = 0.0
    count: float = 0.0
    at: float = 0.0
    began: float = math.inf

    def add(self, now: float) -> None:
        """Count one arrival."""
        if self.young_ms and now < self.began:  # time is counted from the first one on, so it is not
            self.began = self.at = now
            return
        self.count = self.count * math.exp((self.at - now) / self.memory_ms) + 1
        self.at = now

    def per_s(self, now: float) -> float:
        """Arrivals a second."""
        rate = self.count * math.exp((self.at - now) / self.memory_ms) * 1000 / self.memory_ms
        if now <= self.began:
            return rate
        # Danger: a gateway that had just started told of half of its traffic, took half of its share of the
        # engines, and its clients waited out their time beside others' that were served at once. By its first
        # two arrivals alone it told of many times its traffic.
        return rate / -math.expm1(-max(now - self.began, self.young_ms) / self.memory_ms)


@dataclass(slots=True)
class Window:
    """Amounts with their times, for sums over a sliding window."""

    items: deque[tuple[float, float]] = field(default_factory=deque)
    total: float = 0.0

    def add(self, now: float, amount: float) -> None:
        """Note an amount."""
        self.items.append((now, amount))
        self.total += amount

    def since(self, start: float) -> float:
        """The sum since start; what is older is forgotten."""
        while self.items and self.items[0][0] <= start:
            self.total -= self.items.popleft()[1]
        return self.total if self.items else 0.0
