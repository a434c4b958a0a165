"""Shares that change only for a clear difference, and weights that decay with time; does no I/O."""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass

MIN_WEIGHT = 1e-3  # smaller weights are dropped


@dataclass(slots=True, frozen=True)
class HysteresisSettings:
    """Settings of stable shares.

    Attributes:
        band: Shares that differ by no more than this don't change.
        confirmation_ms: How long a difference must last before the shares change, in ms.
        jump: A difference from which the shares change immediately.
    """

    band: float = 0.1
    confirmation_ms: float = 3000.0
    jump: float = 0.3


@dataclass(slots=True)
class StableShares:
    """Shares with hysteresis: they change only after a clear difference.

    Attributes:
        shares: The shares in force, by zone.
        differs_since: Time since which the wanted shares have differed by more than `band`, in ms.
    """

    shares: dict[str, float]
    differs_since: float = math.inf

    def update(self, now: float, wanted: Mapping[str, float], settings: HysteresisSettings) -> None:
        """Process the shares that are wanted now. A zone whose share becomes 0 is dropped immediately."""
        names = wanted.keys() | self.shares.keys()
        difference = max(
            (abs(wanted.get(name, 0.0) - self.shares.get(name, 0.0)) for name in names), default=0.0
        )
        if difference <= settings.band:
            self.differs_since = math.inf
            return
        self.differs_since = min(self.differs_since, now)
        has_dropped_zone = any(
            not wanted.get(name) and part > settings.band for name, part in self.shares.items()
        )
        has_lasted = now - self.differs_since >= settings.confirmation_ms
        if difference >= settings.jump or has_dropped_zone or has_lasted:
            self.shares, self.differs_since = dict(wanted), math.inf


class UsageWeights:
    """Weights by zone and data set that decay exponentially; `memory_ms` is the time constant."""

    def __init__(self, memory_ms: float) -> None:
        self.memory_ms = memory_ms
        self.weights = dict[tuple[str, int], tuple[float, float]]()  # weight and time of its last change

    def add(self, now: float, zone: str, number: int, weight: float) -> None:
        """Increase a weight."""
        self.weights[zone, number] = self.weight(now, zone, number) + weight, now

    def prune(self, now: float, min_weight: float = MIN_WEIGHT) -> None:
        """Drop weights that have almost decayed, so that names which occur once don't accumulate."""
        for key in [key for key in self.weights if self.weight(now, *key) < min_weight]:
            del self.weights[key]

    def weight(self, now: float, zone: str, number: int) -> float:
        """Return a weight, decayed up to now."""
        weight, updated_at = self.weights.get((zone, number), (0.0, now))
        return weight * math.exp((updated_at - now) / self.memory_ms)
