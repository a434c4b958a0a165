"""What the model of outages is made of: its setup, requests and engines. Times are ms."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from cottonhold.fleet.failover_cost.estimator_settings import CostEstimatorSettings


@dataclass(slots=True, frozen=True)
class OutageSetup:
    """What a world is made of.

    rates: first attempts a second, by zone. round_trips_ms: between zones. own_data_sets, shared_data_sets:
    of each zone's clients alone, and of all. cached_data_sets: that an engine caches; 0: all. cold_factor:
    how many times longer a request takes on another. utilities: of requests, with their share of all.
    decides: "outlook" (the cost estimator), "today" (the least loaded engine of all zones, and a fixed
    reserve) or "nearest" (the same, own zone first). loss: share of site reports that are lost.
    """

    rates: Mapping[str, float]
    round_trips_ms: Mapping[tuple[str, str], float]
    engines: int = 4
    instances: int = 2
    own_data_sets: int = 5
    shared_data_sets: int = 3
    cached_data_sets: int = 0
    cold_factor: float = 3.0
    mean_work_ms: float = 20.0
    timeout_ms: float = 2000.0
    utilities: tuple[tuple[float, float], ...] = ((1.0, 0.6), (6.0, 0.4))
    decides: str = "outlook"
    loss: float = 0.0
    settings: CostEstimatorSettings = field(default_factory=CostEstimatorSettings)


@dataclass(slots=True, eq=False)
class Request:
    """One request. home: its client's zone."""

    home: str
    utility: float
    data_set: str
    draw: float
    arrived_at: float
    queued_at: float = 0.0


@dataclass(slots=True, eq=False)
class Server:
    """An engine: one request at a time, a queue, and the data sets that it used last."""

    zone: str
    speed: float = 1.0
    is_up: bool = True
    busy_until: float = 0.0
    in_flight: dict[int, int] = field(default_factory=dict)  # by instance
    cached_sets: dict[str, None] = field(default_factory=dict)

    def use(self, data_set: str, max_cached: int) -> bool:
        """Use a data set; return whether it was cached. It is now."""
        is_cached = data_set in self.cached_sets
        self.cached_sets.pop(data_set, None)
        self.cached_sets[data_set] = None
        if max_cached and len(self.cached_sets) > max_cached:
            del self.cached_sets[next(iter(self.cached_sets))]
        return is_cached
