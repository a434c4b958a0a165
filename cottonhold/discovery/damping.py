"""How long an engine that went out of service must stay healthy before it returns. Pure.

Each failure adds one to a count that decays; the quiet time doubles with each failure that still counts. So a
single failure costs the shortest quiet time, and an engine that flaps ten times in ten seconds returns once
or twice, not ten times."""

from __future__ import annotations

import math
import random
from dataclasses import dataclass

from cottonhold.discovery.model import SourceGuard

NEGLIGIBLE_COUNT = 0.05  # a count this small lengthens the quiet time by less than a thirtieth
MAX_HISTORIES = 20_000  # the oldest are evicted first, so that ids that never return cost no memory


@dataclass(slots=True)
class DecayingCount:
    """A count of failures that decays by half in each half life."""

    count: float
    updated_at: float

    def value(self, now: float, half_life_ms: float) -> float:
        """The count as it has decayed by now."""
        return float(self.count * 0.5 ** (max(now - self.updated_at, 0.0) / half_life_ms))


class FlapDamping:
    """The failures of one source's engines."""

    def __init__(self, guard: SourceGuard, draw: random.Random) -> None:
        self.guard, self.random = guard, draw
        self.counts: dict[str, DecayingCount] = {}

    def on_failure(self, engine: str, now: float) -> None:
        """Count a failure."""
        count = self.failure_count(engine, now)
        self.counts.pop(engine, None)  # reinserted at the end: the order is that of the last failures
        self.counts[engine] = DecayingCount(count + 1.0, now)
        while len(self.counts) > MAX_HISTORIES:
            del self.counts[next(iter(self.counts))]

    def failure_count(self, engine: str, now: float) -> float:
        """Failures that still count."""
        decaying = self.counts.get(engine)
        if decaying is None:
            return 0.0
        value = decaying.value(now, self.guard.flap_half_life_ms)
        if value < NEGLIGIBLE_COUNT:
            del self.counts[engine]
            return 0.0
        return value

    def quiet_ms(self, engine: str, now: float) -> float:
        """How long the engine must stay healthy from now on; 0 where no failure counts."""
        count = self.failure_count(engine, now)
        if count == 0.0:
            return 0.0
        doubled = self.guard.min_quiet_ms * math.pow(2.0, max(count - 1.0, 0.0))
        return min(doubled, self.guard.max_quiet_ms) * (1.0 + self.guard.jitter * self.random.random())
