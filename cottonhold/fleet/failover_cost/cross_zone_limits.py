"""How much one instance may send to zones other than its clients' own, while capacity is missing. Pure.

Each instance takes its part by its own demand, which nobody else counts: so two instances of one home never
both take the whole of what the plan gives that home. Work is in cores.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

MIN_CROSS_ZONE_LIMIT = 1e-6  # no limit is nothing: that would mean that the fleet has evacuated the engine
MIN_CORES = 1e-9  # keeps a home without demand from dividing by nothing

ZoneFlows = Mapping[tuple[str, str], float]  # work in cores by home and zone


@dataclass(slots=True, frozen=True)
class CrossZoneSettings:
    """slack: that much more than the plan says may go to a zone. spill_share: and that part of what the plan
    leaves free there. min_share: the least part of its limits that an instance uses of a zone that is late
    in the order. failures_until_unstable: so many failed attempts in a row mean that an engine is down;
    warm_up_ms: so long it may be cold once it is back; cold_share: part of its cores that all cross-zone work
    together may take then."""

    slack: float = 0.25
    spill_share: float = 0.5
    min_share: float = 0.3
    failures_until_unstable: int = 3
    warm_up_ms: float = 15_000.0
    cold_share: float = 0.15


@dataclass(slots=True, frozen=True)
class OutageAllocation:
    """What a plan says of an outage. demand: by home; flows: by home and zone. By zone: cross_zone_capacity:
    what other homes may take there; free_cores: what is left."""

    demand: Mapping[str, float]
    flows: ZoneFlows
    cross_zone_capacity: Mapping[str, float]
    free_cores: Mapping[str, float]

    def served_share(self, home: str) -> float:
        """Part of a home's work that is admitted. Not less than that of all homes, since the admission
        threshold is one for all: work that it admits needs a zone that serves it."""
        home_cores = math.fsum(cores for (h, _), cores in self.flows.items() if h == home)
        fleet_share = math.fsum(self.flows.values()) / max(math.fsum(self.demand.values()), MIN_CORES)
        return min(max(home_cores / max(self.demand.get(home, 0.0), MIN_CORES), fleet_share), 1.0)


def cross_zone_work(
    home: str,
    shares: Mapping[str, float],
    instance_demand: float,
    allocation: OutageAllocation,
    is_home_evacuated: bool,
    settings: CrossZoneSettings | None = None,
) -> dict[str, float]:
    """By zone the work that an instance may send there; its own zone is not named, nor any if it has no work.

    shares: parts of its home's served work by zone. instance_demand: this instance's, in cores.
    is_home_evacuated: all of its work has to find a place elsewhere; what the limits of single zones cut off
    goes to those with capacity.
    """
    s = settings or CrossZoneSettings()
    needed = instance_demand * allocation.served_share(home) * (1 + s.slack)
    if needed <= 0:
        return {}
    total = max(math.fsum(allocation.demand.values()), instance_demand)
    demand_share = min(instance_demand / max(allocation.demand.get(home, 0.0), MIN_CORES), 1.0)
    limits, work = dict[str, float](), dict[str, float]()
    for zone, capacity in allocation.cross_zone_capacity.items():
        if zone != home:
            limits[zone] = _limit(home, zone, capacity, instance_demand, demand_share, allocation)
            spill = s.spill_share * allocation.free_cores.get(zone, 0.0) * instance_demand / total
            work[zone] = min(shares.get(zone, 0.0) * needed + spill, limits[zone])
    unplaced = needed - math.fsum(work.values()) if is_home_evacuated else 0.0
    spare = {zone: limits[zone] - cores for zone, cores in work.items()}
    all_spare = math.fsum(spare.values())
    if unplaced > 0 and all_spare > 0:
        used = min(unplaced / all_spare, 1.0)
        work = {zone: cores + spare[zone] * used for zone, cores in work.items()}
    return {zone: max(cores, MIN_CROSS_ZONE_LIMIT) for zone, cores in work.items()}


def _limit(
    home: str,
    zone: str,
    capacity: float,
    instance_demand: float,
    demand_share: float,
    allocation: OutageAllocation,
) -> float:
    """What an instance's clients may take of a zone: its part of the plan, and by its demand of the
    cross-zone capacity that the plan leaves free there."""
    allocated = math.fsum(cores for (h, z), cores in allocation.flows.items() if z == zone and h != zone)
    other_demand = math.fsum(cores for h, cores in allocation.demand.items() if h != zone)
    free = max(capacity - allocated, 0.0) * instance_demand / max(other_demand, instance_demand)
    return allocation.flows.get((home, zone), 0.0) * demand_share + free


@dataclass(slots=True)
class UnstableEngines:
    """Engines that may have just started, by the results of attempts and health checks."""

    settings: CrossZoneSettings = field(default_factory=CrossZoneSettings)
    failures: dict[str, int] = field(default_factory=dict)  # in a row
    unreachable_at: dict[str, float] = field(default_factory=dict)  # when it was last known to be

    def on_result(self, now: float, engine: str, succeeded: bool) -> None:
        """An attempt, or a health check, has ended."""
        self.failures[engine] = 0 if succeeded else self.failures.get(engine, 0) + 1
        if self.failures[engine] >= self.settings.failures_until_unstable:
            self.unreachable_at[engine] = now

    def set_engines(self, engines: Iterable[str]) -> None:
        """Exactly these exist."""
        known = set(engines)
        self.failures = {engine: count for engine, count in self.failures.items() if engine in known}
        self.unreachable_at = {engine: at for engine, at in self.unreachable_at.items() if engine in known}

    def may_be_cold(self, now: float, engine: str) -> bool:
        """Whether an engine may have just restarted."""
        return now - self.unreachable_at.get(engine, -math.inf) < self.settings.warm_up_ms


def divide_among_engines(
    work: float,
    engines: Mapping[str, float],
    cold: Iterable[str],
    demand_share: float,
    settings: CrossZoneSettings,
) -> dict[str, float]:
    """A zone's work by engine. engines: cores of each; cold: those that may be; demand_share: this instance's
    part of all demand.

    A limited engine is not held to the scheduler's own slow start, so its limit has to be that of a cold one.
    More than half of the engines cold at once is more likely a fault of the observer, and is ignored.
    """
    possibly_cold = [engine for engine in cold if engine in engines]
    possibly_cold = possibly_cold if 2 * len(possibly_cold) <= len(engines) else []
    limited = {
        engine: min(settings.cold_share * engines[engine] * demand_share, work) for engine in possibly_cold
    }
    warm_cores = math.fsum(cores for engine, cores in engines.items() if engine not in limited)
    remaining = max(work - math.fsum(limited.values()), 0.0)
    return {
        engine: max(
            limited[engine] if engine in limited else remaining * cores / warm_cores, MIN_CROSS_ZONE_LIMIT
        )
        for engine, cores in engines.items()
    }


def fill_in_order(
    order: Iterable[str],
    needed: float,
    limits: Mapping[str, float],
    settings: CrossZoneSettings | None = None,
) -> dict[str, float]:
    """By zone, the part of its limit that an instance uses, so that zones first in the order are filled
    first.

    needed: its work; limits: what it may send. No zone is limited before those first in the order can take
    all of the work.
    """
    s, parts = settings or CrossZoneSettings(), dict.fromkeys(limits, 1.0)
    remaining = needed * (1 + s.slack)
    for zone in dict.fromkeys([*order, *sorted(limits)]):
        limit = limits.get(zone, 0.0)
        if limit > 0:
            parts[zone] = max(min(remaining / limit, 1.0), s.min_share)
            remaining = max(remaining - limit, 0.0)
    return parts
