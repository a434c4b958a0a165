"""The same program handed to scipy's HiGHS: what `divide.py` is checked against. Needs the extra `plan`."""

from __future__ import annotations

from cottonhold.fleet.failover_cost.allocation import Allocation, AllocationProblem, Flow


def allocate(case: AllocationProblem) -> Allocation:
    """The division that serves most worth. Raises ImportError without scipy, RuntimeError without one."""
    from scipy.optimize import linprog

    flows: list[Flow] = [
        (home, zone, step)
        for home in sorted(case.demand)
        for zone in case.open_zones(home)
        for step in sorted(case.demand[home])
    ]
    if not flows:
        return Allocation({}, 0.0, 0.0)
    rows, right = list[list[float]](), list[float]()
    for home in sorted(case.demand):
        for step, work in sorted(case.demand[home].items()):
            rows.append([float(h == home and s == step) for h, _, s in flows])
            right.append(work)
    zones = sorted(case.capacity)
    rows = [row + [0.0] * len(zones) for row in rows]
    for at, zone in enumerate(zones):
        more = [-1.0 if i == at else 0.0 for i in range(len(zones))]
        used = [case.cost_factors.get((h, z), 1.0) if z == zone else 0.0 for h, z, _ in flows]
        rows.append(used + more)
        right.append(case.capacity[zone])
        rows.append(
            [u if h != zone else 0.0 for u, (h, _, _) in zip(used, flows, strict=True)] + [0.0] * len(zones)
        )
        right.append(case.cross_zone_capacity.get(zone, 0.0))
    costs = [-case.utility(f) for f in flows] + [case.congestion_cost] * len(zones)
    bounds = [(0.0, None)] * len(flows) + [(0.0, case.congested_capacity.get(zone, 0.0)) for zone in zones]
    found = linprog(costs, A_ub=rows, b_ub=right, bounds=bounds, method="highs")
    if found.status:
        raise RuntimeError(found.message)
    works = {flow: float(x) for flow, x in zip(flows, found.x[: len(flows)], strict=True) if x > 1e-9}
    return Allocation(works, -float(found.fun), -float(found.fun))
