"""Results that are computed from one snapshot, each on its first request only; does no I/O."""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum

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

ZoneParts = tuple[tuple[str, float], ...]  # zones that are not fully usable, in order, and their usable parts
Shares = tuple[tuple[str, float], ...]  # zones and their parts of the work, largest first
RetentionQuestion = tuple[str, float, float]  # zone, available part of its cores, successful part of attempts


class Question(Enum):
    """A question that a plan answers about a zone or about the clients of a zone."""

    OUTAGE = "outage"  # which zones serve the clients while their zone is out
    FIRST = "first"  # which zones serve the clients first while all engines are cold
    NOW = "now"  # which zones serve the clients in the present outage
    RETAINED = "retained"  # which part of its load an evacuated zone retains


def largest_first(shares: Mapping[str, float]) -> Shares:
    """Return the zones with a positive share, the largest first."""
    return tuple(sorted(((z, x) for z, x in shares.items() if x > 0), key=lambda p: (-p[1], p[0])))


def shares_by_zone(flows: Mapping[tuple[str, str], float], home: str) -> dict[str, float]:
    """Return the parts of a home's served work, by the zone that serves it."""
    served = {zone: cores for (h, zone), cores in flows.items() if h == home}
    total = math.fsum(served.values())
    return {zone: cores / total for zone, cores in served.items()} if total > 0 else {}


def _parts(shares: Mapping[str, float]) -> ZoneParts:
    return tuple(sorted((zone, part) for zone, part in shares.items() if part != 1.0))


@dataclass(slots=True)
class SnapshotPlan:
    """A snapshot and the results computed from it so far.

    Attributes:
        made_at: When the snapshot was taken, in ms.
        snapshot: The fleet as the reports describe it.
        remaining: The part of each zone that was usable then; zones that are not named were fully usable.
        settings: Settings of the cost model.
        foreseen: Additional outages for which results may be requested, each as the names of its zones in
            order.
        retained_shares, outage_allocations, projections, solutions, flows_by_remaining: Results so far.
        applied_questions: Questions whose results have been applied to the stable answers.
    """

    made_at: float
    snapshot: FleetSnapshot
    remaining: Mapping[str, float]
    settings: CostSettings
    foreseen: frozenset[tuple[str, ...]] = frozenset()
    retained_shares: dict[RetentionQuestion, float] = field(default_factory=dict)
    outage_allocations: dict[tuple[str, ...], OutageAllocation | None] = field(default_factory=dict)
    projections: dict[tuple[str, ...], Projection] = field(default_factory=dict)
    solutions: dict[tuple[ZoneParts, ZoneParts], Solution] = field(default_factory=dict)
    flows_by_remaining: dict[ZoneParts, dict[tuple[str, str], float]] = field(default_factory=dict)
    applied_questions: set[tuple[object, str]] = field(default_factory=set)

    def solve(
        self, remaining: Mapping[str, float], success_shares: Mapping[str, float] | None = None
    ) -> Solution:
        """Return the best allocation if these parts of zones remain.

        `success_shares` is the part of the attempts that succeed, by zone; in zones that are not named all
        succeed.
        """
        key = _parts(remaining), _parts(success_shares or {})
        if key not in self.solutions:
            self.solutions[key] = solve_with_cold_work(
                self.snapshot, remaining, self.settings, success_shares
            )
        return self.solutions[key]

    @property
    def current(self) -> Solution:
        """Return the best allocation for what remains now."""
        return self.solve(self.remaining)

    @property
    def free_cores(self) -> Mapping[str, float]:
        """Return the cores left in each zone now."""
        return free_cores(self.current.problem, self.flows(self.remaining))

    def without(self, *zones: str) -> dict[str, float]:
        """Return what remains if these zones are out as well."""
        return {**self.remaining, **dict.fromkeys(zones, 0.0)}

    def flows(self, remaining: Mapping[str, float]) -> dict[tuple[str, str], float]:
        """Return the work by home and zone if these parts of zones remain."""
        key = _parts(remaining)
        if key not in self.flows_by_remaining:
            self.flows_by_remaining[key] = flows_by_pair(self.solve(remaining).allocation.flows)
        return self.flows_by_remaining[key]

    def project(self, remaining: Mapping[str, float]) -> Projection:
        """Return the cost if these parts of zones remained."""
        current = self.current.allocation
        return project(self.snapshot, remaining, self.settings, current, self.solve(remaining))

    def projection(self, lost_zones: tuple[str, ...]) -> Projection | None:
        """Return the cost if these zones, in order of name, were out too; None if that is not foreseen."""
        if lost_zones in self.foreseen and lost_zones not in self.projections:
            self.projections[lost_zones] = self.project(self.without(*lost_zones))
        return self.projections.get(lost_zones)

    def outage_allocation(self, lost_zones: tuple[str, ...]) -> OutageAllocation | None:
        """Return the allocation for an outage of exactly these zones, whole or in part; None if it is not
        foreseen."""
        if lost_zones not in self.outage_allocations:
            self.outage_allocations[lost_zones] = self._outage_allocation(lost_zones)
        return self.outage_allocations[lost_zones]

    def _outage_allocation(self, lost_zones: tuple[str, ...]) -> OutageAllocation | None:
        """Compute an allocation. A zone whose outage began after the snapshot is treated as wholly out."""
        is_current = self.remaining.keys() == set(lost_zones)
        if not is_current and lost_zones not in self.foreseen:
            return None
        remaining = self.remaining if is_current else self.without(*lost_zones)
        problem, flows = self.solve(remaining).problem, self.flows(remaining)
        demand = {home: view.cores for home, view in self.snapshot.homes.items()}
        return OutageAllocation(demand, flows, problem.cross_zone_capacity, free_cores(problem, flows))
