"""Allocation: compared with HiGHS and with brute force, and the limits of cross-zone work."""

from __future__ import annotations

import itertools
import random

import pytest

from cottonhold.fleet.failover_cost import allocation_reference
from cottonhold.fleet.failover_cost.allocation import AllocationProblem, utility_of_step
from cottonhold.fleet.failover_cost.simplex import Simplex, allocate


def random_problem(seed: int, zones: int, steps: int = 10) -> AllocationProblem:
    """Return a random problem in which some zones are out, cold or far away."""
    r = random.Random(seed)
    names = [f"z{i}" for i in range(zones)]
    demand = {n: {r.randint(40, 120): r.uniform(0.05, 2) for _ in range(r.randint(1, steps))} for n in names}
    capacity = {n: r.choice([0.0, 1.0, r.uniform(0.5, 8)]) for n in names}
    cross_zone_capacity = {n: capacity[n] * r.choice([0.0, 0.6, 1.0]) for n in names}
    pairs = [(h, z) for h in names for z in names if h != z]
    retained_utility = {pair: 1 - r.uniform(0, 0.1) for pair in pairs}
    cost_factors = {pair: 1 + r.uniform(0, 1.5) for pair in pairs}
    congested_capacity = {n: capacity[n] * r.choice([0.0, 0.15]) for n in names}
    return AllocationProblem(
        demand,
        capacity,
        cross_zone_capacity,
        retained_utility,
        cost_factors,
        congested_capacity,
        r.choice([0.0, 0.5, 20.0]),
    )


def violated_limits(problem: AllocationProblem, flows: dict[tuple[str, str, int], float]) -> list[str]:
    """Return the limits of the problem that these flows violate."""
    violations = []
    for zone in problem.capacity:
        used = {f: x * problem.cost_factors.get(f[:2], 1.0) for f, x in flows.items() if f[1] == zone}
        if sum(used.values()) > problem.capacity[zone] + problem.congested_capacity.get(zone, 0.0) + 1e-6:
            violations.append(f"{zone} is over its capacity")
        if (
            sum(x for (home, _, _), x in used.items() if home != zone)
            > problem.cross_zone_capacity[zone] + 1e-6
        ):
            violations.append(f"other homes use the reserved part of {zone}")
    for home, rates in problem.demand.items():
        for step, work in rates.items():
            if sum(x for (h, _, s), x in flows.items() if (h, s) == (home, step)) > work + 1e-6:
                violations.append(f"more than the demand of {home}")
    return violations


@pytest.mark.parametrize("zones", [1, 2, 3, 5, 8])
def test_the_allocation_matches_highs_and_keeps_all_limits(zones: int) -> None:
    for seed in range(25):
        problem = random_problem(seed, zones)
        allocation, reference = allocate(problem), allocation_reference.allocate(problem)
        assert allocation.utility == pytest.approx(reference.utility, rel=1e-6, abs=1e-9)
        assert allocation.upper_bound == pytest.approx(allocation.utility, rel=1e-6, abs=1e-6)
        assert not violated_limits(problem, dict(allocation.flows))


def brute_force_utility(problem: AllocationProblem, parts: int) -> float:
    """Return the highest utility of all allocations that divide each demand into this many equal parts."""
    flows = [(h, s) for h in sorted(problem.demand) for s in sorted(problem.demand[h])]
    zones = sorted(problem.capacity)
    splits = [w for w in itertools.product(range(parts + 1), repeat=len(zones)) if sum(w) <= parts]
    best = 0.0
    for chosen in itertools.product(splits, repeat=len(flows)):
        total, cross_zone, utility = dict.fromkeys(zones, 0.0), dict.fromkeys(zones, 0.0), 0.0
        for (home, step), split in zip(flows, chosen, strict=True):
            for zone, n in zip(zones, split, strict=True):
                work = n / parts * problem.demand[home][step]
                total[zone] += work * problem.cost_factors.get((home, zone), 1.0)
                cross_zone[zone] += work * problem.cost_factors.get((home, zone), 1.0) * (home != zone)
                utility += work * problem.utility((home, zone, step))
        if all(
            total[z] <= problem.capacity[z] + 1e-9 and cross_zone[z] <= problem.cross_zone_capacity[z] + 1e-9
            for z in zones
        ):
            best = max(best, utility)
    return best


@pytest.mark.parametrize("seed", range(12))
def test_a_small_allocation_matches_brute_force(seed: int) -> None:
    # With whole cores and without cold work the best allocation has whole cores, so the grid contains it.
    r = random.Random(seed)
    names = ["a", "b"] if seed % 2 else ["a", "b", "c"]
    parts = 4 if len(names) == 3 else 3
    demand = {n: {r.randint(60, 90): float(r.choice([2, 4]))} for n in names}
    if len(names) == 2:
        demand = {n: {60 + 3 * i + r.randint(0, 2): 3.0 for i in range(2)} for n in names}
    capacity = {n: float(r.randint(0, 10 // len(names))) for n in names}
    cross_zone_capacity = {n: float(r.randint(0, int(capacity[n]))) for n in names}
    retained_utility = {(h, z): 1 - r.uniform(0, 0.1) for h in names for z in names if h != z}
    problem = AllocationProblem(demand, capacity, cross_zone_capacity, retained_utility)
    assert allocate(problem).utility == pytest.approx(brute_force_utility(problem, parts), rel=0.01, abs=1e-6)


def test_an_allocation_without_the_cross_zone_limit_is_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    problem = AllocationProblem({"a": {80: 4.0}, "b": {70: 1.0}}, {"a": 0.0, "b": 3.0}, {"a": 0.0, "b": 1.8})
    assert not violated_limits(problem, dict(allocate(problem).flows))
    original = Simplex.__init__

    def without_limit(self: Simplex, problem: AllocationProblem) -> None:
        original(
            self,
            AllocationProblem(
                problem.demand,
                problem.capacity,
                problem.capacity,
                problem.retained_utility,
                problem.cost_factors,
            ),
        )

    monkeypatch.setattr(Simplex, "__init__", without_limit)
    assert violated_limits(problem, dict(allocate(problem).flows)) == [
        "other homes use the reserved part of b"
    ]


def test_distance_and_cold_data_decide_between_equal_neighbours() -> None:
    problem = AllocationProblem(
        {"a": {80: 1.0}}, {"b": 5.0, "c": 5.0}, {"b": 3.0, "c": 3.0}, {("a", "b"): 0.95}
    )
    assert {zone for _, zone, _ in allocate(problem).flows} == {"c"}
    small_zones = AllocationProblem(
        {"a": {80: 4.0}}, {"b": 3.0, "c": 3.0}, {"b": 3.0, "c": 3.0}, {}, {("a", "b"): 2.0}
    )
    served = allocate(small_zones)
    assert sum(served.flows.values()) == pytest.approx(4.0) and served.utility == pytest.approx(
        4 * utility_of_step(80)
    )
