"""Shares that stay until others are clearly wanted, and weights that are forgotten with time. Pure."""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass

MIN_WEIGHT = 1e-3  # what has less left is dropped


@dataclass(slots=True, frozen=True)
class HysteresisSettings:
    """band: shares that differ by less don't change; confirmation_ms: a change that is wanted for so long is
    made; jump: one that is so large is made at once."""

    band: float = 0.1
    confirmation_ms: float = 3000.0
    jump: float = 0.3


@dataclass(slots=True)
class StableShares:
    """Shares that stay until others are clearly wanted. differs_since: in ms, since when others are."""

    shares: dict[str, float]
    differs_since: float = math.inf

    def follow(self, now: float, wanted: Mapping[str, float], settings: HysteresisSettings) -> None:
        """Other shares are wanted. A zone that can serve nothing any more is dropped at once."""
        names = wanted.keys() | self.shares.keys()
        difference = max(
            (abs(wanted.get(name, 0.0) - self.shares.get(name, 0.0)) for name in names), default=0.0
        )
        if difference <= settings.band:
            self.differs_since = math.inf
            return
        self.differs_since = min(self.differs_since, now)
        has_lost_zone = any(
            not wanted.get(name) and part > settings.band for name, part in self.shares.items()
        )
        has_lasted = now - self.differs_since >= settings.confirmation_ms
        if difference >= settings.jump or has_lost_zone or has_lasted:
            self.shares, self.differs_since = dict(wanted), math.inf


class UsageWeights:
    """Weights by zone and data set, forgotten with a time constant."""

    def __init__(self, memory_ms: float) -> None:
        self.memory_ms = memory_ms
        self.weights = dict[tuple[str, int], tuple[float, float]]()  # the weight, and as of when

    def add(self, now: float, zone: str, number: int, weight: float) -> None:
        """So much more."""
        self.weights[zone, number] = self.weight(now, zone, number) + weight, now

    def prune(self, now: float, min_weight: float = MIN_WEIGHT) -> None:
        """Drop what has all but decayed, so that names that occur once do not accumulate."""
        for key in [key for key in self.weights if self.weight(now, *key) < min_weight]:
            del self.weights[key]

    def weight(self, now: float, zone: str, number: int) -> float:
        """What is left of it."""
        weight, updated_at = self.weights.get((zone, number), (0.0, now))
        return weight * math.exp((updated_at - now) / self.memory_ms)
