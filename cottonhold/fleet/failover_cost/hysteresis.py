"""What stays until something else is clearly wanted, and what is forgotten with time. Pure."""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class HysteresisSettings:
    """band: parts that are less off than this don't change; hold: a change that is wanted for so many ms
    counts; jump: one that is so large counts at once."""

    band: float = 0.1
    hold_ms: float = 3000.0
    jump: float = 0.3


@dataclass(slots=True)
class HeldShares:
    """Parts that stay until others are clearly wanted."""

    shares: dict[str, float]
    differs_since: float = math.inf

    def follow(self, now: float, new: Mapping[str, float], s: HysteresisSettings) -> None:
        """Another value is wanted."""
        names = new.keys() | self.shares.keys()
        off = max((abs(new.get(k, 0.0) - self.shares.get(k, 0.0)) for k in names), default=0.0)
        if off <= s.band:
            self.differs_since = math.inf
            return
        self.differs_since = min(self.differs_since, now)
        # Danger: held against a zone that can serve nothing any more, clients would be sent into it.
        gone = any(not new.get(k) and part > s.band for k, part in self.shares.items())
        if off >= s.jump or gone or now - self.differs_since >= s.hold_ms:
            self.shares, self.differs_since = dict(new), math.inf


class UsageWeights:
    """Weights by data set or by zone and data set, forgotten with a time constant."""

    def __init__(self, memory: float) -> None:
        self.memory_ms, self.weights = memory, dict[tuple[str, int], tuple[float, float]]()

    def add(self, now: float, zone: str, number: int, weight: float) -> None:
        """So much more."""
        self.weights[zone, number] = self.weight(now, zone, number) + weight, now

    def prune(self, now: float, least: float = 1e-3) -> None:
        """Forget what has all but gone, so that names that come once are not kept for good."""
        for key in [key for key in self.weights if self.weight(now, *key) < least]:
            del self.weights[key]

    def weight(self, now: float, zone: str, number: int) -> float:
        """What is left of it."""
        weight, at = self.weights.get((zone, number), (0.0, now))
        return weight * math.exp((at - now) / self.memory_ms)
