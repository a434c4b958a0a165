"""Allocation: compared with HiGHS and with brute force, and the limits of cross-zone work."""

from __future__ import annotations

import itertools
import random

import pytest

from cottonhold.fleet.failover_cost import allocation_reference
from cottonhold.fleet.failover_cost.allocation import AllocationProblem, utility_of_step
from cottonhold.fleet.failover_cost.simplex import Simplex, allocate


def drawn(seed: int, zones: int, steps: int = 10) -> AllocationProblem:
    """Return a random problem in which some zones are out, cold or far away."""
    r = random.Random(seed)
    names = [f"z{i}" for i in range(zones)]
    demand = {n: {r.randint(40, 120): r.uniform(0.05, 2) for _ in range(r.randint(1, steps))} for n in names}
    capacity = {n: r.choice([0.0, 1.0, r.uniform(0.5, 8)]) for n in names}
    guests = {n: capacity[n] * r.choice([0.0, 0.6, 1.0]) for n in names}
    pairs = [(h, z) for h in names for z in names if h != z]
    keeps = {pair: 1 - r.uniform(0, 0.1) for pair in pairs}
    uses = {pair: 1 + r.uniform(0, 1.5) for pair in pairs}
    busy = {n: capacity[n] * r.choice([0.0, 0.15]) for n in names}
    return AllocationProblem(demand, capacity, guests, keeps, uses, busy, r.choice([0.0, 0.5, 20.0]))


def broken(case: AllocationProblem, flows: dict[tuple[str, str, int], float]) -> list[str]:
    """Return the limits of the problem that these flows violate."""
    found = []
    for zone in case.capacity:
        used = {f: x * case.cost_factors.get(f[:2], 1.0) for f, x in flows.items() if f[1] == zone}
        if sum(used.values()) > case.capacity[zone] + case.congested_capacity.get(zone, 0.0) + 1e-6:
            found.append(f"{zone} is over its capacity")
        if sum(x for (home, _, _), x in used.items() if home != zone) > case.cross_zone_capacity[zone] + 1e-6:
            found.append(f"guests take the reserved part of {zone}")
    for home, rates in case.demand.items():
        for step, work in rates.items():
            if sum(x for (h, _, s), x in flows.items() if (h, s) == (home, step)) > work + 1e-6:
                found.append(f"more than the demand of {home}")
    return found


@pytest.mark.parametrize("zones", [1, 2, 3, 5, 8])
def test_the_allocation_matches_highs_and_keeps_all_limits(zones: int) -> None:
    for seed in range(25):
        case = drawn(seed, zones)
        own, exact = allocate(case), allocation_reference.allocate(case)
        assert own.utility == pytest.approx(exact.utility, rel=1e-6, abs=1e-9)
        assert own.upper_bound == pytest.approx(own.utility, rel=1e-6, abs=1e-6)
        assert not broken(case, dict(own.flows))


def brute(case: AllocationProblem, parts: int) -> float:
    """Return the highest utility of all allocations that divide each demand into this many equal parts."""
    flows = [(h, s) for h in sorted(case.demand) for s in sorted(case.demand[h])]
    zones = sorted(case.capacity)
    ways = [w for w in itertools.product(range(parts + 1), repeat=len(zones)) if sum(w) <= parts]
    best = 0.0
    for chosen in itertools.product(ways, repeat=len(flows)):
        total, guest, worth = dict.fromkeys(zones, 0.0), dict.fromkeys(zones, 0.0), 0.0
        for (home, step), way in zip(flows, chosen, strict=True):
            for zone, n in zip(zones, way, strict=True):
                work = n / parts * case.demand[home][step]
                total[zone] += work * case.cost_factors.get((home, zone), 1.0)
                guest[zone] += work * case.cost_factors.get((home, zone), 1.0) * (home != zone)
                worth += work * case.utility((home, zone, step))
        if all(
            total[z] <= case.capacity[z] + 1e-9 and guest[z] <= case.cross_zone_capacity[z] + 1e-9
            for z in zones
        ):
            best = max(best, worth)
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
    guests = {n: float(r.randint(0, int(capacity[n]))) for n in names}
    keeps = {(h, z): 1 - r.uniform(0, 0.1) for h in names for z in names if h != z}
    case = AllocationProblem(demand, capacity, guests, keeps)
    assert allocate(case).utility == pytest.approx(brute(case, parts), rel=0.01, abs=1e-6)


def test_an_allocation_without_the_cross_zone_limit_is_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    case = AllocationProblem({"a": {80: 4.0}, "b": {70: 1.0}}, {"a": 0.0, "b": 3.0}, {"a": 0.0, "b": 1.8})
    assert not broken(case, dict(allocate(case).flows))
    fair = Simplex.__init__

    def all_open(self: Simplex, case: AllocationProblem) -> None:
        fair(
            self,
            AllocationProblem(
                case.demand, case.capacity, case.capacity, case.retained_utility, case.cost_factors
            ),
        )

    monkeypatch.setattr(Simplex, "__init__", all_open)
    assert broken(case, dict(allocate(case).flows)) == ["guests take the reserved part of b"]


def test_distance_and_cold_data_decide_between_equal_neighbours() -> None:
    case = AllocationProblem({"a": {80: 1.0}}, {"b": 5.0, "c": 5.0}, {"b": 3.0, "c": 3.0}, {("a", "b"): 0.95})
    assert {zone for _, zone, _ in allocate(case).flows} == {"c"}
    tight = AllocationProblem(
        {"a": {80: 4.0}}, {"b": 3.0, "c": 3.0}, {"b": 3.0, "c": 3.0}, {}, {("a", "b"): 2.0}
    )
    served = allocate(tight)
    assert sum(served.flows.values()) == pytest.approx(4.0) and served.utility == pytest.approx(
        4 * utility_of_step(80)
    )
