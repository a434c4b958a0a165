"""Flap damping: how long an engine that left service must stay healthy before it returns; does no I/O.

A failure here is any end of service, also a deliberate one. Each adds one to a count that decays
exponentially, and the quiet time doubles with each failure in the count. After a single failure the quiet
time is the shortest; an engine that flaps ten times in ten seconds returns once or twice instead of ten
times.
"""

from __future__ import annotations

import math
import random
from dataclasses import dataclass

from cottonhold.discovery.model import SourceGuard

# A smaller count that remains from earlier failures would lengthen the quiet time by less than 4%.
NEGLIGIBLE_COUNT = 0.05
# Largest number of engines tracked. The one whose last failure is oldest is evicted; otherwise histories of
# ids that never return would accumulate.
MAX_HISTORIES = 20_000


@dataclass(slots=True)
class DecayingCount:
    """A count of failures that decays by half in each half-life.

    Attributes:
        count: The count at the time of its last update.
        updated_at: When the count was last updated, in ms on the local clock.
    """

    count: float
    updated_at: float

    def value(self, now: float, half_life_ms: float) -> float:
        """Return the count, decayed until now."""
        return float(self.count * 0.5 ** (max(now - self.updated_at, 0.0) / half_life_ms))


class FlapDamping:
    """Tracks the failures of one source's engines, and derives their quiet times."""

    def __init__(self, guard: SourceGuard, draw: random.Random) -> None:
        self.guard, self.random = guard, draw
        self.counts: dict[str, DecayingCount] = {}

    def on_failure(self, engine: str, now: float) -> None:
        """Record that an engine failed."""
        count = self.failure_count(engine, now)
        self.counts.pop(engine, None)  # reinserted at the end, so that the order is that of the last failures
        self.counts[engine] = DecayingCount(count + 1.0, now)
        while len(self.counts) > MAX_HISTORIES:
            del self.counts[next(iter(self.counts))]

    def failure_count(self, engine: str, now: float) -> float:
        """Return the decayed count of an engine's failures; 0 once it is negligible."""
        decaying = self.counts.get(engine)
        if decaying is None:
            return 0.0
        value = decaying.value(now, self.guard.flap_half_life_ms)
        if value < NEGLIGIBLE_COUNT:
            del self.counts[engine]
            return 0.0
        return value

    def quiet_ms(self, engine: str, now: float) -> float:
        """Return how long the engine must stay healthy from now on, in ms; 0 without recent failures."""
        count = self.failure_count(engine, now)
        if count == 0.0:
            return 0.0
        doubled = self.guard.min_quiet_ms * math.pow(2.0, max(count - 1.0, 0.0))
        return min(doubled, self.guard.max_quiet_ms) * (1.0 + self.guard.jitter * self.random.random())
