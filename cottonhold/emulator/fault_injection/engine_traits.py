"""What an engine of a scenario is, and what is wrong with it. Pure.

A scenario, a `traits` fault and the control line of an engine process give traits by the names in `field`.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

import msgspec
from msgspec import field


class EngineTraits(msgspec.Struct, forbid_unknown_fields=True):
    """The traits of an engine. Work is in ms on a warm engine.

    work_ms, work_spread: the mean work of a request, and the sigma of its logarithm. class_factors: the work
    of a class as a multiple of that. servers: requests that run at once. max_waiting: requests that wait.

    cold_slowdown, warm_after_ms: how many times slower a started process is at first, and until when it is
    not. overload_work_ms: work that may arrive within `overload_window_ms` on an engine at its coldest, and
    proportionally more as it becomes faster; with more it stops responding for good. 0: it never does.

    slowdown: a fault: how many times slower it is. failure_share: the part of requests that crash.

    warm_data_sets: how many data sets it holds in memory, those read last; 0: all. One that has not been read
    for `data_set_expiry_ms` is cold: a request that reads it does `cold_data_set_factor` times the work.
    """

    work_ms: float = field(name="work", default=20.0)
    work_spread: float = field(name="spread", default=0.4)
    servers: int = 1
    max_waiting: int = field(name="line", default=100)
    cold_slowdown: float = field(name="cold", default=3.0)
    warm_after_ms: float = field(name="warm", default=3000.0)
    overload_work_ms: float = field(name="tip", default=0.0)
    overload_window_ms: float = field(name="tip_window", default=1000.0)
    slowdown: float = field(name="slow", default=1.0)
    failure_share: float = field(name="failing", default=0.0)
    class_factors: dict[str, float] = field(name="classes", default_factory=dict)
    warm_data_sets: int = field(name="datasets", default=0)
    cold_data_set_factor: float = field(name="set_cold", default=1.0)
    data_set_expiry_ms: float = field(name="set_ms", default=10_000.0)

    def slowdown_at(self, age_ms: float) -> float:
        """Return how many times slower than a warm and well engine it is, at an age of its process."""
        return self.slowdown * self.warmup_slowdown_at(age_ms)

    def warmup_slowdown_at(self, age_ms: float) -> float:
        """Return how many times slower than a warm engine it is, at an age of its process."""
        if self.warm_after_ms <= 0:
            return 1.0
        return 1 + (self.cold_slowdown - 1) * max(0.0, 1 - age_ms / self.warm_after_ms)

    def overload_limit_ms(self, age_ms: float) -> float:
        """Return the work that may arrive within the window, at an age of its process."""
        return self.overload_work_ms * self.cold_slowdown / self.warmup_slowdown_at(age_ms)

    def change(self, name: str, value: Any) -> None:
        """Set a trait by its outside name. Raises KeyError."""
        setattr(self, ATTRIBUTES[name], value)


ATTRIBUTES = {trait.encode_name: trait.name for trait in msgspec.structs.fields(EngineTraits)}


def decode_traits(traits: Mapping[str, Any]) -> EngineTraits:
    """Return traits given by their outside names. Raises msgspec.ValidationError."""
    return msgspec.convert(traits, EngineTraits)
