"""What stays until something else is clearly wanted, and what is forgotten with time. Pure."""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class Steady:
    """band: parts that are less off than this don't change; hold: a change that is wanted for so many ms
    counts; jump: one that is so large counts at once."""

    band: float = 0.1
    hold: float = 3000.0
    jump: float = 0.3


@dataclass(slots=True)
class Held:
    """Parts that stay until others are clearly wanted."""

    value: dict[str, float]
    off_since: float = math.inf

    def follow(self, now: float, new: Mapping[str, float], s: Steady) -> None:
        """Another value is wanted."""
        names = new.keys() | self.value.keys()
        off = max((abs(new.get(k, 0.0) - self.value.get(k, 0.0)) for k in names), default=0.0)
        if off <= s.band:
            self.off_since = math.inf
            return
        self.off_since = min(self.off_since, now)
        # Danger: held against a zone that can serve nothing any more, clients would be sent into it.
        gone = any(not new.get(k) and part > s.band for k, part in self.value.items())
        if off >= s.jump or gone or now - self.off_since >= s.hold:
            self.value, self.off_since = dict(new), math.inf


class Use:
    """Weights by data set or by zone and data set, forgotten with a time constant."""

    def __init__(self, memory: float) -> None:
        self.memory, self.weights = memory, dict[tuple[str, int], tuple[float, float]]()

    def add(self, now: float, zone: str, number: int, weight: float) -> None:
        """So much more."""
        self.weights[zone, number] = self.of(now, zone, number) + weight, now

    def prune(self, now: float, least: float = 1e-3) -> None:
        """Forget what has all but gone, so that names that come once are not kept for good."""
        for key in [key for key in self.weights if self.of(now, *key) < least]:
            del self.weights[key]

    def of(self, now: float, zone: str, number: int) -> float:
        """What is left of it."""
        weight, at = self.weights.get((zone, number), (0.0, now))
        return weight * math.exp((at - now) / self.memory)
