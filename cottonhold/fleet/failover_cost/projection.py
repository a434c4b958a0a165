"""Projects the cost of zones being out now: who serves whose clients, lost utility, distance, cold work.
Does no I/O.

Each scenario is allocated separately: the loss of two zones is not the sum of two losses, since both could
rely on the same third zone. Reported utility is the served utility without discounts; distance and cold work
influence only the allocation.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from typing import NamedTuple

from cottonhold.fleet.admission.threshold import DensityThreshold, threshold_for
from cottonhold.fleet.failover_cost.allocation import (
    Allocation,
    AllocationProblem,
    Flow,
    utility_of_step,
)
from cottonhold.fleet.failover_cost.cold_work import (
    ZoneFlows,
    cold_share,
    cold_work_cores,
    home_cold_work_ms,
    home_warm_up_ms,
    warm_up_ms,
)
from cottonhold.fleet.failover_cost.cost_settings import MIN_AMOUNT, CostSettings
from cottonhold.fleet.failover_cost.fleet_snapshot import FleetSnapshot, HomeZone
from cottonhold.fleet.failover_cost.simplex import allocate

MIN_RETAINED_UTILITY = 0.05  # part of the utility that remains at any distance
MIN_CORES = 1e-6  # less work is ignored


@dataclass(slots=True, frozen=True)
class Projection:
    """The cost of one scenario.

    Attributes:
        remaining: The part that is left of each zone.
        flows: Work by home and zone, in cores.
        offered_utility, served_utility: Utility per second.
        lost_utility: Utility per second that is served now but not in the scenario.
        threshold: The admission threshold in the scenario; None if (almost) all demand is served.
        added_round_trip_ms: Mean additional round trip of the moved work.
        moved_cores: The moved work, in cores.
        extra_cold_cores: Cores of cold work in addition to those used now, as the mean over the window;
            negative if data sets that share engines now no longer do so.
        free_cores: Cores that are left in each zone.
        warm_ms: Time until nine in ten of the moved uses are warm.
        return_ms, return_work_ms: Duration and cold work of the zones' return if they return cold.
        useful_cores: Cores that remain for work besides cold work; an admission threshold may rely on them.
        flows_by_step: Work by home, zone and density step, in cores.
    """

    remaining: Mapping[str, float]
    flows: ZoneFlows
    offered_utility: float
    served_utility: float
    lost_utility: float
    threshold: DensityThreshold | None
    added_round_trip_ms: float
    moved_cores: float
    extra_cold_cores: float
    free_cores: Mapping[str, float]
    warm_ms: float
    return_ms: float
    return_work_ms: float
    useful_cores: float
    flows_by_step: Mapping[Flow, float] = field(default_factory=dict)

    def served_share(self) -> float:
        """Return the part of the offered utility that is served."""
        return self.served_utility / self.offered_utility if self.offered_utility > 0 else 1.0


class Solution(NamedTuple):
    """An allocation, and its problem with the cost of the cold work that the allocation causes."""

    problem: AllocationProblem
    allocation: Allocation


def allocation_problem(
    snapshot: FleetSnapshot,
    remaining: Mapping[str, float],
    settings: CostSettings,
    success_shares: Mapping[str, float] | None = None,
) -> AllocationProblem:
    """Return the problem to solve if the part `remaining` of each zone is left and `success_shares` of the
    attempts there succeed. In a partly available zone other homes may use the cores beyond the share of the
    whole zone that is reserved for its own clients."""
    s, zones = settings, snapshot.zones
    available = {zone: view.available_share * remaining.get(zone, 1.0) for zone, view in zones.items()}
    capacity = {zone: view.cores * available[zone] * s.usable_capacity_share for zone, view in zones.items()}
    uncongested = {
        zone: cores * s.uncongested_share / s.usable_capacity_share for zone, cores in capacity.items()
    }
    cross_zone = {
        zone: max(capacity[zone] - s.reserved_home_share * view.cores * s.usable_capacity_share, 0.0)
        for zone, view in zones.items()
    }
    open_zones = [zone for zone in capacity if capacity[zone] > 0]
    retained, cost_factors = dict[tuple[str, str], float](), dict[tuple[str, str], float]()
    for name, home in snapshot.homes.items():
        retained |= _retained_utility(name, home, open_zones, s, success_shares or {})
        cost_factors |= _cost_factors(snapshot, name, open_zones, s)
    return AllocationProblem(
        {name: home.rates for name, home in snapshot.homes.items()},
        uncongested,
        cross_zone,
        retained,
        cost_factors,
        {zone: capacity[zone] - uncongested[zone] for zone in capacity},
        s.congestion_cost * _mean_utility(snapshot),
    )


def _retained_utility(
    name: str,
    home: HomeZone,
    open_zones: list[str],
    settings: CostSettings,
    success_shares: Mapping[str, float],
) -> dict[tuple[str, str], float]:
    """Return the part of a home's utility that remains in each zone, given its distance beyond the nearest
    one and its failures."""
    nearest = min((home.round_trips_ms.get(zone, 0.0) for zone in open_zones), default=0.0)
    retained = {}
    for zone in open_zones:
        distance_ms = home.round_trips_ms.get(zone, 0.0) - nearest
        by_distance = max(1 - settings.cost_per_round_trip_ms * distance_ms, MIN_RETAINED_UTILITY)
        retained[name, zone] = by_distance * success_shares.get(zone, 1.0)
    return retained


def _cost_factors(
    snapshot: FleetSnapshot, name: str, open_zones: list[str], settings: CostSettings
) -> dict[tuple[str, str], float]:
    """Return the cores that a core of a home's work needs in other zones, because of data that is cold
    there."""
    others = [zone for zone in open_zones if zone != name]
    share = 1 / max(len(others), 1)
    return {
        (name, zone): 1 + (settings.cold_factor - 1) * cold_share(snapshot, name, zone, share, settings)
        for zone in others
    }


def _mean_utility(snapshot: FleetSnapshot) -> float:
    """Return the utility per second of a core of the demand."""
    return _offered_utility(snapshot) / max(math.fsum(snapshot.total_demand().values()), MIN_AMOUNT)


def solve_with_cold_work(
    snapshot: FleetSnapshot,
    remaining: Mapping[str, float],
    settings: CostSettings,
    success_shares: Mapping[str, float] | None = None,
) -> Solution:
    """Return the best allocation, including the cold work that it causes itself.

    Data sets evict one another only where much work is moved together. If each home's cold work were computed
    by itself, the last remaining zone would appear able to serve far more than it can. So the allocation is
    repeated with the cold work that the previous one causes, until the cold work changes little.
    """
    s, problem = settings, allocation_problem(snapshot, remaining, settings, success_shares)
    separate_factors, allocation = problem.cost_factors, allocate(problem, s.tolerance)
    for _ in range(s.max_rounds):
        factors = _adapted_factors(snapshot, problem, separate_factors, flows_by_pair(allocation.flows), s)
        before = problem.cost_factors
        if all(abs(x - before.get(pair, 1.0)) <= s.tolerance * x for pair, x in factors.items()):
            break
        problem = replace(problem, cost_factors=factors)
        allocation = allocate(problem, s.tolerance)
    return Solution(problem, allocation)


def _adapted_factors(
    snapshot: FleetSnapshot,
    problem: AllocationProblem,
    separate_factors: Mapping[tuple[str, str], float],
    flows: ZoneFlows,
    settings: CostSettings,
) -> dict[tuple[str, str], float]:
    """Return cost factors half way from the problem's to those of the cold work that these flows cause.

    `separate_factors` are the factors if the cold work of each home is computed by itself.
    """
    factors = dict(problem.cost_factors)
    for zone in snapshot.zones:
        work = math.fsum(x for (_, at), x in flows.items() if at == zone)
        if work <= MIN_CORES:
            continue
        expected = (
            math.fsum(x * separate_factors.get(pair, 1.0) for pair, x in flows.items() if pair[1] == zone)
            / work
        )
        ratio = (1 + cold_work_cores(snapshot, flows, zone, settings) / work) / expected
        for home in snapshot.homes:
            wanted = max(separate_factors.get((home, zone), 1.0) * ratio, 1.0)
            factors[home, zone] = (problem.cost_factors.get((home, zone), 1.0) + wanted) / 2
    return factors


def project(
    snapshot: FleetSnapshot,
    remaining: Mapping[str, float],
    settings: CostSettings | None = None,
    current: Allocation | None = None,
    solution: Solution | None = None,
) -> Projection:
    """Return the cost if the part `remaining` of these zones were left.

    If excess work beyond the estimates is reported, cold work is measured relative to it, because the model
    doesn't include why data doesn't stay warm in normal operation. `current` is the allocation without the
    loss, and `solution` the result of `solve_with_cold_work`, if they are known.
    """
    s = settings or CostSettings()
    baseline = current or solve_with_cold_work(snapshot, {}, s).allocation
    problem, allocation = solution or solve_with_cold_work(snapshot, remaining, s)
    flows = flows_by_pair(allocation.flows)
    usual = flows_served_now(snapshot, flows_by_pair(baseline.flows))
    served_utility = _utility(allocation.flows)
    moved = _moved_work(flows, usual)
    cold_cores = _cold_cores(snapshot, flows, s)
    return Projection(
        remaining=dict(sorted(remaining.items())),
        flows=flows,
        offered_utility=_offered_utility(snapshot),
        served_utility=served_utility,
        lost_utility=max(_utility(baseline.flows) - served_utility, 0.0),
        threshold=_threshold(snapshot, allocation, s),
        added_round_trip_ms=_added_round_trip_ms(snapshot, moved, usual),
        moved_cores=math.fsum(moved.values()),
        extra_cold_cores=cold_cores - _usual_cold_cores(snapshot, usual, s),
        free_cores=free_cores(problem, flows),
        warm_ms=warm_up_ms(snapshot, moved),
        return_ms=_return_ms(snapshot, remaining, s),
        return_work_ms=_return_work_ms(snapshot, remaining, s),
        useful_cores=max(_available_cores(snapshot, remaining) - cold_cores, 0.0),
        flows_by_step=allocation.flows,
    )


def _moved_work(flows: ZoneFlows, usual: ZoneFlows) -> dict[tuple[str, str], float]:
    """Return the work in cores that each home sends to each zone beyond the usual."""
    added = {pair: cores - usual.get(pair, 0.0) for pair, cores in flows.items()}
    return {pair: cores for pair, cores in added.items() if cores > MIN_CORES}


def _cold_cores(snapshot: FleetSnapshot, flows: ZoneFlows, settings: CostSettings) -> float:
    """Return the cores of cold work that these flows cause in all zones."""
    return math.fsum(cold_work_cores(snapshot, flows, zone, settings) for zone in snapshot.zones)


def _usual_cold_cores(snapshot: FleetSnapshot, usual: ZoneFlows, settings: CostSettings) -> float:
    """Return the cores of cold work now: those reported, otherwise those that the usual flows cause."""
    if snapshot.excess_cores is not None:
        return snapshot.excess_cores
    return _cold_cores(snapshot, usual, settings)


def _available_cores(snapshot: FleetSnapshot, remaining: Mapping[str, float]) -> float:
    """Return the cores available for work in the remaining capacity of all zones."""
    return math.fsum(
        view.cores * view.available_share * remaining.get(zone, 1.0) for zone, view in snapshot.zones.items()
    )


def _offered_utility(snapshot: FleetSnapshot) -> float:
    """Return the utility per second of all demand."""
    return math.fsum(utility_of_step(step) * cores for step, cores in snapshot.total_demand().items())


def _utility(flows: Mapping[Flow, float]) -> float:
    return math.fsum(utility_of_step(step) * cores for (_, _, step), cores in flows.items())


def free_cores(problem: AllocationProblem, flows: ZoneFlows) -> dict[str, float]:
    """Return the cores that these flows leave free in each zone."""
    free = {}
    for zone, capacity in problem.capacity.items():
        used = math.fsum(
            cores * problem.cost_factors.get(pair, 1.0) for pair, cores in flows.items() if pair[1] == zone
        )
        free[zone] = max(capacity + problem.congested_capacity[zone] - used, 0.0)
    return free


def flows_by_pair(flows: Mapping[Flow, float]) -> dict[tuple[str, str], float]:
    """Return the work by home and zone, in cores."""
    flows_of_pair = dict[tuple[str, str], list[float]]()
    for (home, zone, _), cores in flows.items():
        flows_of_pair.setdefault((home, zone), []).append(cores)
    return {pair: math.fsum(parts) for pair, parts in flows_of_pair.items()}


def flows_served_now(snapshot: FleetSnapshot, flows: ZoneFlows) -> dict[tuple[str, str], float]:
    """Return the work served now, by home and zone: that reported by instances, otherwise that allocated.

    An allocation serves each home in its own zone as far as possible, while in operation all zones may serve
    it equally.
    """
    served = dict[tuple[str, str], float]()
    for home, view in snapshot.homes.items():
        allocated = {pair: cores for pair, cores in flows.items() if pair[0] == home}
        total = math.fsum(allocated.values())
        if view.served_shares:
            served |= {(home, zone): total * part for zone, part in view.served_shares.items()}
        else:
            served |= allocated
    return served


def _added_round_trip_ms(snapshot: FleetSnapshot, moved: ZoneFlows, usual: ZoneFlows) -> float:
    """Return the mean round trip in addition to the usual one, over the moved work."""
    added = []
    for (home, zone), work in moved.items():
        round_trips_ms = snapshot.homes[home].round_trips_ms
        before = [(cores, round_trips_ms.get(z, 0.0)) for (h, z), cores in usual.items() if h == home]
        all_before = max(math.fsum(cores for cores, _ in before), MIN_AMOUNT)
        usual_mean_ms = math.fsum(cores * round_trip_ms for cores, round_trip_ms in before) / all_before
        added.append(work * (round_trips_ms.get(zone, 0.0) - usual_mean_ms))
    return math.fsum(added) / max(math.fsum(moved.values()), MIN_AMOUNT)


def _threshold(
    snapshot: FleetSnapshot, allocation: Allocation, settings: CostSettings
) -> DensityThreshold | None:
    """Return the threshold that admits as much as an allocation serves; None if it rejects almost nothing."""
    demand, served = snapshot.total_demand(), math.fsum(allocation.flows.values())
    if served >= (1 - settings.negligible_share) * math.fsum(demand.values()):
        return None
    return threshold_for(demand, served)


def _returning_zones(snapshot: FleetSnapshot, remaining: Mapping[str, float]) -> list[str]:
    return [zone for zone in sorted(remaining) if remaining[zone] < 1.0 and zone in snapshot.zones]


def _return_ms(snapshot: FleetSnapshot, remaining: Mapping[str, float], settings: CostSettings) -> float:
    """Return the duration of the slowest zone's return: its traffic grows, and its data becomes warm."""
    slowest = 0.0
    for zone in _returning_zones(snapshot, remaining):
        doublings = math.ceil(math.log2(1 / max(remaining[zone], settings.initial_share)))
        warm_ms = home_warm_up_ms(snapshot, zone) if zone in snapshot.homes else 0.0
        slowest = max(slowest, settings.doubling_ms * doublings + warm_ms)
    return slowest


def _return_work_ms(snapshot: FleetSnapshot, remaining: Mapping[str, float], settings: CostSettings) -> float:
    """Return the work on cold data that the return of all zones causes."""
    zones = [zone for zone in _returning_zones(snapshot, remaining) if zone in snapshot.homes]
    return math.fsum(home_cold_work_ms(snapshot, zone, settings) for zone in zones)
