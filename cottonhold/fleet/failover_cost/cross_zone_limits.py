"""Limits on what an instance sends outside its clients' home zone while capacity is missing; does no I/O.

Each instance's part is proportional to the demand of its own clients. No client's demand is included by two
instances, so two instances of one home never both use all that the plan allows that home. Work is in cores.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

MIN_CROSS_ZONE_LIMIT = 1e-6  # in cores; 0 would mean that the fleet has evacuated the engine
MIN_CORES = 1e-9  # least divisor, so that a home without demand doesn't divide by zero

ZoneFlows = Mapping[tuple[str, str], float]  # work in cores by home and zone


@dataclass(slots=True, frozen=True)
class CrossZoneSettings:
    """Settings of cross-zone limits.

    Attributes:
        slack: Part by which the limit of a zone exceeds the plan.
        spill_share: Part of a zone's free cores, according to the plan, that may be used in addition.
        min_share: Least part of a zone's limit that an instance uses, even if the zone is late in the order.
        failures_until_unstable: Consecutive failed attempts after which an engine is regarded as down.
        warm_up_ms: Time after its return during which an engine may be cold.
        cold_share: Part of its cores that all cross-zone work together may use during that time.
    """

    slack: float = 0.25
    spill_share: float = 0.5
    min_share: float = 0.3
    failures_until_unstable: int = 3
    warm_up_ms: float = 15_000.0
    cold_share: float = 0.15


@dataclass(slots=True, frozen=True)
class OutageAllocation:
    """A plan's allocation for an outage.

    Attributes:
        demand: Demand of each home, in cores.
        flows: Work by home and zone, in cores.
        cross_zone_capacity: Cores of each zone that other homes may use.
        free_cores: Cores left in each zone.
    """

    demand: Mapping[str, float]
    flows: ZoneFlows
    cross_zone_capacity: Mapping[str, float]
    free_cores: Mapping[str, float]

    def served_share(self, home: str) -> float:
        """Return the part of a home's work that is admitted.

        It is at least that of all homes: the admission threshold is the same for all, and the work that it
        admits needs a zone that serves it.
        """
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
    """Return the work that an instance may send to each zone except its own; empty if it has no work.

    Args:
        home: The instance's zone.
        shares: Parts of its home's served work, by zone.
        instance_demand: Demand of this instance's clients, in cores.
        allocation: The plan's allocation for the outage.
        is_home_evacuated: Whether all of its work must be served elsewhere; then work that doesn't fit in its
            planned zones is sent to zones with spare capacity.
        settings: Settings of cross-zone limits.
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
    """Return what an instance's clients may use of a zone: its part of the plan, and a part by its demand of
    the cross-zone capacity that the plan leaves free."""
    allocated = math.fsum(cores for (h, z), cores in allocation.flows.items() if z == zone and h != zone)
    other_demand = math.fsum(cores for h, cores in allocation.demand.items() if h != zone)
    free = max(capacity - allocated, 0.0) * instance_demand / max(other_demand, instance_demand)
    return allocation.flows.get((home, zone), 0.0) * demand_share + free


@dataclass(slots=True)
class UnstableEngines:
    """Engines that may have just started, according to the results of attempts and health checks.

    Attributes:
        settings: Settings of cross-zone limits.
        failures: Consecutive failures of each engine.
        unreachable_at: When each engine was last found to be down, in ms.
    """

    settings: CrossZoneSettings = field(default_factory=CrossZoneSettings)
    failures: dict[str, int] = field(default_factory=dict)
    unreachable_at: dict[str, float] = field(default_factory=dict)

    def on_result(self, now: float, engine: str, succeeded: bool) -> None:
        """Count the result of an attempt or a health check."""
        self.failures[engine] = 0 if succeeded else self.failures.get(engine, 0) + 1
        if self.failures[engine] >= self.settings.failures_until_unstable:
            self.unreachable_at[engine] = now

    def set_engines(self, engines: Iterable[str]) -> None:
        """Set which engines exist."""
        known = set(engines)
        self.failures = {engine: count for engine, count in self.failures.items() if engine in known}
        self.unreachable_at = {engine: at for engine, at in self.unreachable_at.items() if engine in known}

    def may_be_cold(self, now: float, engine: str) -> bool:
        """Return whether an engine may have just restarted."""
        return now - self.unreachable_at.get(engine, -math.inf) < self.settings.warm_up_ms


def divide_among_engines(
    work: float,
    engines: Mapping[str, float],
    cold: Iterable[str],
    demand_share: float,
    settings: CrossZoneSettings,
) -> dict[str, float]:
    """Divide a zone's work among its engines.

    A limit replaces the scheduler's own slow start, so an engine that may be cold gets the limit of a cold
    one. If more than half of the engines appear cold, a fault of this instance is the likelier cause, so no
    engine is treated as cold.

    Args:
        work: Work for the zone, in cores.
        engines: Cores of each engine.
        cold: Engines that may be cold.
        demand_share: This instance's part of all demand.
        settings: Settings of cross-zone limits.
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
    """Return the part of each zone's limit that an instance uses, so that zones are filled in order.

    The limit of a zone is lowered only if this zone and those before it in the order can serve all of the
    work.

    Args:
        order: Zones in the order in which they are filled; all others follow by name.
        needed: The instance's work, in cores.
        limits: The limit of each zone, in cores.
        settings: Settings of cross-zone limits.
    """
    s, parts = settings or CrossZoneSettings(), dict.fromkeys(limits, 1.0)
    remaining = needed * (1 + s.slack)
    for zone in dict.fromkeys([*order, *sorted(limits)]):
        limit = limits.get(zone, 0.0)
        if limit > 0:
            parts[zone] = max(min(remaining / limit, 1.0), s.min_share)
            remaining = max(remaining - limit, 0.0)
    return parts
