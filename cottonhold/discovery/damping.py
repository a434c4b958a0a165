"""How long an engine that fell must be quiet before it counts again. Pure.

Each fall adds one to a count that decays; the quiet doubles with each fall still counted. So a single fall
costs the shortest quiet, and an engine that flaps ten times in ten seconds is let in once or twice, not ten
times.
"""

from __future__ import annotations

import math
import random
from dataclasses import dataclass

from cottonhold.discovery.model import Guard

FORGOTTEN = 0.05  # a count this small lengthens nothing by more than a thirtieth
MOST_REMEMBERED = 20_000  # histories kept; the oldest go first, so that ids that never return cost no memory


@dataclass(slots=True)
class Falls:
    """A decaying count of falls."""

    count: float
    at: float

    def value(self, now: float, half: float) -> float:
        """The count as it has decayed by now."""
        return float(self.count * 0.5 ** (max(now - self.at, 0.0) / half))


class Damping:
    """The falls of one source's engines."""

    def __init__(self, guard: Guard, draw: random.Random) -> None:
        self.guard, self.draw = guard, draw
        self.falls: dict[str, Falls] = {}

    def fell(self, engine: str, now: float) -> None:
        """Count a fall."""
        count = self.count(engine, now)
        self.falls.pop(engine, None)  # to the end: the dict's order is that of the last falls
        self.falls[engine] = Falls(count + 1.0, now)
        while len(self.falls) > MOST_REMEMBERED:
            del self.falls[next(iter(self.falls))]

    def count(self, engine: str, now: float) -> float:
        """Falls that still count."""
        falls = self.falls.get(engine)
        if falls is None:
            return 0.0
        value = falls.value(now, self.guard.flap_half)
        if value < FORGOTTEN:
            del self.falls[engine]
            return 0.0
        return value

    def quiet(self, engine: str, now: float) -> float:
        """How long the engine must stay well from now on; 0 where nothing is held against it."""
        count = self.count(engine, now)
        if count == 0.0:
            return 0.0
        doubled = self.guard.quiet * math.pow(2.0, max(count - 1.0, 0.0))
        return min(doubled, self.guard.quiet_most) * (1.0 + self.guard.jitter * self.draw.random())
