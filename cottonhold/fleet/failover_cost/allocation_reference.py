"""The allocation problem solved by scipy's HiGHS, as a reference for `simplex`. Needs the extra `plan`."""

from __future__ import annotations

from cottonhold.fleet.failover_cost.allocation import EPSILON, Allocation, AllocationProblem, Flow


def allocate(problem: AllocationProblem) -> Allocation:
    """Return the allocation of highest utility.

    Raises:
        ImportError: scipy is not installed.
        RuntimeError: The solver found no solution.
    """
    from scipy.optimize import linprog

    flows: list[Flow] = [
        (home, zone, step)
        for home in sorted(problem.demand)
        for zone in problem.open_zones(home)
        for step in sorted(problem.demand[home])
    ]
    if not flows:
        return Allocation({}, 0.0, 0.0)
    zones = sorted(problem.capacity)
    rows, limits = _demand_rows(problem, flows, len(zones))
    for row, zone in enumerate(zones):
        congested = [-1.0 if i == row else 0.0 for i in range(len(zones))]
        used = [problem.cost_factors.get((h, z), 1.0) if z == zone else 0.0 for h, z, _ in flows]
        cross_zone = [x if home != zone else 0.0 for x, (home, _, _) in zip(used, flows, strict=True)]
        rows += [used + congested, cross_zone + [0.0] * len(zones)]
        limits += [problem.capacity[zone], problem.cross_zone_capacity.get(zone, 0.0)]
    costs = [-problem.utility(flow) for flow in flows] + [problem.congestion_cost] * len(zones)
    bounds: list[tuple[float, float | None]] = [(0.0, None)] * len(flows)
    bounds += [(0.0, problem.congested_capacity.get(zone, 0.0)) for zone in zones]
    result = linprog(costs, A_ub=rows, b_ub=limits, bounds=bounds, method="highs")
    if result.status:
        raise RuntimeError(result.message)
    work = zip(flows, result.x[: len(flows)], strict=True)
    utility = -float(result.fun)
    return Allocation({flow: float(x) for flow, x in work if x > EPSILON}, utility, utility)


def _demand_rows(
    problem: AllocationProblem, flows: list[Flow], zone_count: int
) -> tuple[list[list[float]], list[float]]:
    """Return the rows that limit each home to its demand of a step, and their limits."""
    rows, limits = list[list[float]](), list[float]()
    for home in sorted(problem.demand):
        for step, work in sorted(problem.demand[home].items()):
            row = [float(h == home and s == step) for h, _, s in flows]
            rows.append(row + [0.0] * zone_count)
            limits.append(work)
    return rows, limits
