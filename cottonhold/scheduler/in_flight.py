"""Attempts in flight by density: counts the threads, memory and priorities in use at each density."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

from cottonhold.scheduler.query import Query

PRIORITY_COUNT = 4  # number of priorities that engines accept, from 0


class Occupancy(NamedTuple):
    """Threads and memory in use by attempts in flight, and whether there are any such attempts."""

    threads: int
    memory_mb: float
    has_attempts: bool


NOTHING_IN_FLIGHT = Occupancy(0, 0.0, has_attempts=False)


@dataclass(slots=True)
class DensityLevel:
    """The attempts of one density."""

    threads: int = 0
    memory_mb: float = 0.0
    attempts_by_priority: list[int] = field(default_factory=lambda: [0] * PRIORITY_COUNT)


@dataclass(slots=True)
class InFlightByDensity:
    """Totals of attempts in flight by density; as densities are powers of two, there are few levels."""

    by_density: dict[float, DensityLevel] = field(default_factory=dict)

    def add_attempt(self, query: Query) -> None:
        """Add the query's attempt."""
        level = self.by_density.setdefault(query.density, DensityLevel())
        level.threads += query.query_class.threads
        level.memory_mb += query.planned_memory_mb
        level.attempts_by_priority[query.priority] += 1

    def remove_attempt(self, query: Query) -> None:
        """Remove the query's attempt; an empty level is dropped, which discards its rounding errors."""
        level = self.by_density[query.density]
        level.threads -= query.query_class.threads
        level.memory_mb -= query.planned_memory_mb
        level.attempts_by_priority[query.priority] -= 1
        if not any(level.attempts_by_priority):
            del self.by_density[query.density]

    def outranked_priorities(self, density: float, margin: float) -> list[int]:
        """Return the priorities of the attempts that a density outranks.

        A density outranks another if it is more than `margin` times as high.
        """
        outranked = [level for other, level in self.by_density.items() if density > margin * other]
        return [
            priority
            for level in outranked
            for priority in range(PRIORITY_COUNT)
            if level.attempts_by_priority[priority]
        ]

    def threads_not_outranked(self, density: float, margin: float) -> int:
        """Return the threads used by attempts that a query of this density does not outrank."""
        threads = 0
        for other, level in self.by_density.items():
            if density <= margin * other:
                threads += level.threads
        return threads

    def not_outranked(self, density: float, margin: float) -> Occupancy:
        """Return the threads and memory used by attempts that a query of this density does not outrank."""
        if not self.by_density:
            return NOTHING_IN_FLIGHT
        threads, memory_mb, has_attempts = 0, 0.0, False
        for other, level in self.by_density.items():
            if density <= margin * other:
                threads += level.threads
                memory_mb += level.memory_mb
                has_attempts = True
        return Occupancy(threads, memory_mb, has_attempts)
