"""What follows from one snapshot: each question is solved once, and on demand only. Pure."""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass, field

from cottonhold.fleet.failover_cost.cost_settings import CostSettings
from cottonhold.fleet.failover_cost.cross_zone_limits import OutageAllocation
from cottonhold.fleet.failover_cost.fleet_snapshot import FleetSnapshot
from cottonhold.fleet.failover_cost.projection import (
    Projection,
    Solution,
    flows_by_pair,
    free_cores,
    project,
    solve_with_cold_work,
)

Parts = tuple[tuple[str, float], ...]  # of zones that have less than all, in order
Shares = tuple[tuple[str, float], ...]  # zones and parts of the work, largest first
RetentionQuestion = tuple[
    str, float, float
]  # zone, part of its cores available, part of attempts that succeed


def largest_first(shares: Mapping[str, float]) -> Shares:
    """Zones with a share, the largest first."""
    return tuple(sorted(((z, x) for z, x in shares.items() if x > 0), key=lambda p: (-p[1], p[0])))


def shares_by_zone(flows: Mapping[tuple[str, str], float], home: str) -> dict[str, float]:
    """Parts of a home's served work by zone."""
    served = {zone: cores for (h, zone), cores in flows.items() if h == home}
    total = math.fsum(served.values())
    return {zone: cores / total for zone, cores in served.items()} if total > 0 else {}


def _parts(shares: Mapping[str, float]) -> Parts:
    return tuple(sorted((zone, part) for zone, part in shares.items() if part != 1.0))


@dataclass(slots=True)
class SnapshotPlan:
    """remaining: by zone, the part that there was of it. foreseen: outages on top that may be queried, by
    zones in order. followed: questions whose answers were followed with hysteresis."""

    made_at: float
    snapshot: FleetSnapshot
    remaining: Mapping[str, float]
    settings: CostSettings
    foreseen: frozenset[tuple[str, ...]] = frozenset()
    retained_shares: dict[RetentionQuestion, float] = field(default_factory=dict)
    outage_allocations: dict[tuple[str, ...], OutageAllocation | None] = field(default_factory=dict)
    projections: dict[tuple[str, ...], Projection] = field(default_factory=dict)
    solutions: dict[tuple[Parts, Parts], Solution] = field(default_factory=dict)
    flows_by_remaining: dict[Parts, dict[tuple[str, str], float]] = field(default_factory=dict)
    followed: set[tuple[object, str]] = field(default_factory=set)

    def solve(
        self, remaining: Mapping[str, float], success_shares: Mapping[str, float] | None = None
    ) -> Solution:
        """The allocation with so much remaining of zones, and such a part of attempts that succeed there."""
        key = _parts(remaining), _parts(success_shares or {})
        if key not in self.solutions:
            self.solutions[key] = solve_with_cold_work(
                self.snapshot, remaining, self.settings, success_shares
            )
        return self.solutions[key]

    @property
    def current(self) -> Solution:
        """The allocation of what remains, without any more loss."""
        return self.solve(self.remaining)

    @property
    def free_cores(self) -> Mapping[str, float]:
        """Cores left by zone as things are now."""
        return free_cores(self.current.problem, self.flows(self.remaining))

    def without(self, *zones: str) -> dict[str, float]:
        """What remains with these zones out as well."""
        return {**self.remaining, **dict.fromkeys(zones, 0.0)}

    def flows(self, remaining: Mapping[str, float]) -> dict[tuple[str, str], float]:
        """Work by home and zone with so much remaining."""
        key = _parts(remaining)
        if key not in self.flows_by_remaining:
            self.flows_by_remaining[key] = flows_by_pair(self.solve(remaining).allocation.flows)
        return self.flows_by_remaining[key]

    def project(self, remaining: Mapping[str, float]) -> Projection:
        """What it would cost if so much remained of zones."""
        current = self.current.allocation
        return project(self.snapshot, remaining, self.settings, current, self.solve(remaining))

    def projection(self, lost_zones: tuple[str, ...]) -> Projection | None:
        """What it would cost if these zones, in order, were out too; None if that is not foreseen."""
        if lost_zones in self.foreseen and lost_zones not in self.projections:
            self.projections[lost_zones] = self.project(self.without(*lost_zones))
        return self.projections.get(lost_zones)

    def outage_allocation(self, lost_zones: tuple[str, ...]) -> OutageAllocation | None:
        """What it says of an outage of these zones, whole or in part; None if it doesn't know of them."""
        if lost_zones not in self.outage_allocations:
            self.outage_allocations[lost_zones] = self._outage_allocation(lost_zones)
        return self.outage_allocations[lost_zones]

    def _outage_allocation(self, lost_zones: tuple[str, ...]) -> OutageAllocation | None:
        """A zone that is out only since the snapshot counts as wholly so until there is a new one."""
        is_current = self.remaining.keys() == set(lost_zones)
        if not is_current and lost_zones not in self.foreseen:
            return None
        remaining = self.remaining if is_current else self.without(*lost_zones)
        problem, flows = self.solve(remaining).problem, self.flows(remaining)
        demand = {home: view.cores for home, view in self.snapshot.homes.items()}
        return OutageAllocation(demand, flows, problem.cross_zone_capacity, free_cores(problem, flows))
