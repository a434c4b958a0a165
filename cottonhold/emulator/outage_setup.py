"""The setup, requests and engines of the model of outages. Times are in ms."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from cottonhold.fleet.failover_cost.estimator_settings import CostEstimatorSettings


@dataclass(slots=True, frozen=True)
class OutageSetup:
    """The setup of a model of outages.

    Attributes:
        rates: First attempts per second, by zone.
        round_trips_ms: Mean round trip between two zones, in ms.
        engines: Number of engines in each zone.
        instances: Number of instances in each zone.
        own_data_sets: Number of data sets that only the clients of one zone use, for each zone.
        shared_data_sets: Number of data sets that the clients of all zones use.
        cached_data_sets: Number of data sets that an engine caches; 0 for all.
        cold_factor: How many times longer a request takes whose data set is not cached.
        mean_work_ms: Mean work of a request, in ms.
        timeout_ms: Client's timeout, in ms.
        utilities: Utilities of requests, each with its share of all requests.
        decides: Policy: "outlook" (the cost estimator), "today" (the least loaded engine of all zones, and a
            fixed reserve) or "nearest" (like "today", but with preference for the client's zone).
        loss: Share of site reports that are lost.
        settings: Settings of the cost estimator.
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
    """One request; `home` is its client's zone."""

    home: str
    utility: float
    data_set: str
    draw: float
    arrived_at: float
    queued_at: float = 0.0


@dataclass(slots=True, eq=False)
class Server:
    """An engine that runs one request at a time, with a queue and a cache of the data sets used last."""

    zone: str
    speed: float = 1.0
    is_up: bool = True
    busy_until: float = 0.0
    in_flight: dict[int, int] = field(default_factory=dict)  # by instance
    cached_sets: dict[str, None] = field(default_factory=dict)

    def use(self, data_set: str, max_cached: int) -> bool:
        """Use a data set, which is then cached; return whether it was cached before."""
        is_cached = data_set in self.cached_sets
        self.cached_sets.pop(data_set, None)
        self.cached_sets[data_set] = None
        if max_cached and len(self.cached_sets) > max_cached:
            del self.cached_sets[next(iter(self.cached_sets))]
        return is_cached
