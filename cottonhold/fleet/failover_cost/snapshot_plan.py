"""What follows of one picture: each question is divided once, and only if it is asked. Pure."""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass, field

from cottonhold.fleet.failover_cost.allocation import Allocation, AllocationProblem
from cottonhold.fleet.failover_cost.cross_zone_limits import OutageAllocation
from cottonhold.fleet.failover_cost.fleet_snapshot import FleetSnapshot
from cottonhold.fleet.failover_cost.projection import (
    CostSettings,
    Projection,
    flows_by_pair,
    free_cores,
    project,
    solve_with_cold_work,
)

Parts = tuple[tuple[str, float], ...]  # of zones that have less than all, in order

Shares = tuple[tuple[str, float], ...]  # zones and parts of the work, largest first


def largest_first(shares: Mapping[str, float]) -> Shares:
    """Largest part first."""
    return tuple(sorted(((z, x) for z, x in shares.items() if x > 0), key=lambda p: (-p[1], p[0])))


def shares_by_zone(flows: Mapping[tuple[str, str], float], home: str) -> dict[str, float]:
    """Parts of a home's served work by zone."""
    mine = {zone: x for (h, zone), x in flows.items() if h == home}
    total = math.fsum(mine.values())
    return {zone: x / total for zone, x in mine.items()} if total > 0 else {}


def _parts(shares: Mapping[str, float]) -> Parts:
    return tuple(sorted((zone, part) for zone, part in shares.items() if part != 1.0))


@dataclass(slots=True)
class SnapshotPlan:
    """left: by zone, the part that there was of it. ahead: what may be asked of as out on top. asked: what
    was, with hysteresis."""

    made_at: float
    snapshot: FleetSnapshot
    remaining: Mapping[str, float]
    settings: CostSettings
    foreseen: frozenset[tuple[str, ...]] = frozenset()
    retained_shares: dict[tuple[str, float, float], float] = field(
        default_factory=dict
    )  # answers of `share_kept`
    outage_allocations: dict[tuple[str, ...], OutageAllocation | None] = field(
        default_factory=dict
    )  # by what is out
    projections: dict[tuple[str, ...], Projection] = field(default_factory=dict)  # those asked for
    solutions: dict[tuple[Parts, Parts], tuple[AllocationProblem, Allocation]] = field(default_factory=dict)
    pairs: dict[Parts, dict[tuple[str, str], float]] = field(default_factory=dict)
    followed: set[tuple[str, str]] = field(default_factory=set)

    def solve(
        self, left: Mapping[str, float], good: Mapping[str, float] | None = None
    ) -> tuple[AllocationProblem, Allocation]:
        """The case and its division with so much left of zones, and such a part of attempts that end well."""
        # Danger: a zone that serves as it should was divided again for each answer of `share_kept`, and a
        # pair of which one is out already once more as the other one alone; half of all divisions were such.
        key = _parts(left), _parts(good or {})
        if key not in self.solutions:
            self.solutions[key] = solve_with_cold_work(self.snapshot, left, self.settings, good)
        return self.solutions[key]

    @property
    def current(self) -> Allocation:
        """The division of what is left, without any more loss."""
        return self.solve(self.remaining)[1]

    @property
    def free_cores(self) -> Mapping[str, float]:
        """Cores left by zone as things are now."""
        return free_cores(self.solve(self.remaining)[0], self.flows(self.remaining))

    def without(self, *zones: str) -> dict[str, float]:
        """What is left with these zones out as well."""
        return {**self.remaining, **dict.fromkeys(zones, 0.0)}

    def flows(self, left: Mapping[str, float]) -> dict[tuple[str, str], float]:
        """Work by home and zone with so much left."""
        key = _parts(left)
        if key not in self.pairs:
            self.pairs[key] = flows_by_pair(self.solve(left)[1].flows)
        return self.pairs[key]

    def project(self, left: Mapping[str, float]) -> Projection:
        """What it would cost if so much were left of zones."""
        return project(self.snapshot, left, self.settings, self.current, self.solve(left))

    def projection(self, out: tuple[str, ...]) -> Projection | None:
        """What it would cost if these zones, in order, were out too; None if that is not looked ahead to."""
        # Danger: each zone and pair out, with its cost, was computed at every plan, as was the order after a
        # power loss. In calm nothing asks for them but an operator.
        if out in self.foreseen and out not in self.projections:
            self.projections[out] = self.project(self.without(*out))
        return self.projections.get(out)

    def outage_allocation(self, out: tuple[str, ...]) -> OutageAllocation | None:
        """What it says of now, with these zones left or left in part; None if it doesn't know of them."""
        if out not in self.outage_allocations:
            self.outage_allocations[out] = self._scene(out)
        return self.outage_allocations[out]

    def _scene(self, out: tuple[str, ...]) -> OutageAllocation | None:
        known = self.remaining.keys() == set(out)
        if not known and out not in self.foreseen:
            return None
        # For as long as a new plan takes, what is left in part counts as out, as it was projected.
        left = self.remaining if known else self.without(*out)
        case, flows = self.solve(left)[0], self.flows(left)
        demand = {home: view.cores for home, view in self.snapshot.homes.items()}
        return OutageAllocation(demand, flows, case.cross_zone_capacity, free_cores(case, flows))
