"""The properties of an emulated engine, including its faults; does no I/O.

Scenarios, `traits` faults and the control lines of an engine process use the names given to `field`.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

import msgspec
from msgspec import field


class EngineTraits(msgspec.Struct, forbid_unknown_fields=True):
    """The traits of an engine. Work is in ms on a warm engine without faults.

    Attributes:
        work_ms: Mean work of a request, in ms.
        work_spread: Standard deviation of the logarithm of the work.
        servers: Number of requests that run concurrently.
        max_waiting: Number of requests that can wait; further ones are rejected.
        cold_slowdown: Factor by which a newly started process is slower. It decreases linearly to 1.
        warm_after_ms: Time from the start until the process is warm, in ms.
        overload_work_ms: Work that may arrive within `overload_window_ms` at a newly started engine, in ms.
            The limit grows with the engine's speed. With more work a cold engine stops responding for good; 0
            for no limit.
        overload_window_ms: Length of that window, in ms.
        slowdown: Fault: factor by which the engine is slower.
        failure_share: Fault: share of requests that crash.
        class_factors: Factor of the work, by class.
        warm_data_sets: Number of data sets that fit in memory, the last read ones; 0 for all.
        cold_data_set_factor: Factor of the work of a request that reads a cold data set.
        data_set_expiry_ms: Time without a read after which a data set is cold, in ms.
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
        """Return the factor by which the engine is slower than a warm faultless one, by its age in ms."""
        return self.slowdown * self.warmup_slowdown_at(age_ms)

    def warmup_slowdown_at(self, age_ms: float) -> float:
        """Return the factor by which the engine is slower than a warm one, by its age in ms."""
        if self.warm_after_ms <= 0:
            return 1.0
        return 1 + (self.cold_slowdown - 1) * max(0.0, 1 - age_ms / self.warm_after_ms)

    def overload_limit_ms(self, age_ms: float) -> float:
        """Return the work that may arrive within the window, in ms, by the engine's age in ms."""
        return self.overload_work_ms * self.cold_slowdown / self.warmup_slowdown_at(age_ms)

    def change(self, name: str, value: Any) -> None:
        """Set a trait by its name in a scenario.

        Raises:
            KeyError: There is no such trait.
        """
        setattr(self, ATTRIBUTES[name], value)


ATTRIBUTES = {trait.encode_name: trait.name for trait in msgspec.structs.fields(EngineTraits)}


def decode_traits(traits: Mapping[str, Any]) -> EngineTraits:
    """Return the traits with the given values, by their names in a scenario.

    Raises:
        msgspec.ValidationError: A name is unknown, or a value has a wrong type.
    """
    return msgspec.convert(traits, EngineTraits)
