"""What it would cost if zones were out now: who serves whose clients, what is lost, how far, how cold. Pure.

Each scenario is divided by itself (`divide.py`): a pair of zones is no sum of two, since both would lean on
the same third one. What is reported as worth is what is served, undiscounted; distance and cold work only
steer the division.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass, field, replace

from cottonhold.fleet.admission.threshold import AdmissionThreshold, threshold_for
from cottonhold.fleet.failover_cost import cold_cache
from cottonhold.fleet.failover_cost.allocation import (
    Allocation,
    AllocationProblem,
    Flow,
    allocate,
    utility_of_step,
)
from cottonhold.fleet.failover_cost.fleet_snapshot import FleetSnapshot
from cottonhold.fleet.failover_cost.messages import is_warm


@dataclass(slots=True, frozen=True)
class CostSettings:
    """use: part of the cores that is filled; from `calm` on it costs `wait`, as a part of the mean worth:
    lines form and work spills over. part: of a zone's cores, which other homes' clients may not
    take. far: part of a request's worth that a ms of round trip counts as.
    cold: how many times longer a request
    takes on data that is not warm; keeps: data sets that an engine keeps warm, 0 for all. window: of the
    outage in ms for which cold work is counted. first, double: how a zone in return begins, as a part of its
    load, and after how many ms that may double. nothing: part of the demand that has to be turned away
    before a price is said to stand. rounds: of dividing anew by the cold work that a division
    makes. near: part of the worth that a division may be off, for its time."""

    usable_capacity_share: float = 0.97
    uncongested_share: float = 0.85
    congestion_cost: float = 0.01
    reserved_home_share: float = 0.4
    cost_per_round_trip_ms: float = 0.0005
    cold_factor: float = 3.0
    cached_data_sets: int = 0
    window_ms: float = 5000.0
    initial_share: float = 0.03
    doubling_ms: float = 250.0
    negligible_share: float = 0.01
    max_rounds: int = 3
    tolerance: float = 0.003


@dataclass(slots=True, frozen=True)
class Projection:
    """One scenario. left: by zone, the part that is left of it. flows: work in cores by home and zone.

    offered, worth: a second, asked for and served; lost: less than now. price: that would stand. added: mean
    ms of round trip on top, over the work that moves; moved: cores. extra: cores of cold work more than now,
    mean of the window; less than nothing where sharing ends. room: cores left by zone. warm_ms: until nine in
    ten of the moved uses are warm. back_ms, back_work: the return if the zone comes back cold, in ms and in
    ms of work. useful: cores that are left for work once cold work is done, which a price may count on.
    """

    remaining: Mapping[str, float]
    flows: Mapping[tuple[str, str], float]
    offered_utility: float
    served_utility: float
    lost_utility: float
    threshold: AdmissionThreshold | None
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
        """Part of the worth asked for that is served."""
        return self.served_utility / self.offered_utility if self.offered_utility > 0 else 1.0


def allocation_problem(
    picture: FleetSnapshot,
    left: Mapping[str, float],
    settings: CostSettings,
    good: Mapping[str, float] | None = None,
) -> AllocationProblem:
    """The division to solve. left: part of each zone that is there; good: of its attempts, that end well."""
    s, good = settings, good or {}
    gives = {zone: view.available_share * left.get(zone, 1.0) for zone, view in picture.zones.items()}
    capacity = {
        zone: view.cores * gives[zone] * s.usable_capacity_share for zone, view in picture.zones.items()
    }
    calm = {zone: x * s.uncongested_share / s.usable_capacity_share for zone, x in capacity.items()}
    busy = {zone: capacity[zone] - calm[zone] for zone in capacity}
    # Danger: what is left of an ill zone is not its clients' own part; that is of the whole zone.
    guests = {
        z: max(capacity[z] - s.reserved_home_share * view.cores * s.usable_capacity_share, 0.0)
        for z, view in picture.zones.items()
    }
    keeps, uses = dict[tuple[str, str], float](), dict[tuple[str, str], float]()
    there = [zone for zone in capacity if capacity[zone] > 0]
    for name, home in picture.homes.items():
        nearest = min((home.round_trips_ms.get(zone, 0.0) for zone in there), default=0.0)
        for zone in there:
            distance = home.round_trips_ms.get(zone, 0.0) - nearest
            keeps[name, zone] = max(1 - s.cost_per_round_trip_ms * distance, 0.05) * good.get(zone, 1.0)
            if zone != name:
                share = 1 / max(sum(z != name for z in there), 1)
                uses[name, zone] = 1 + (s.cold_factor - 1) * _cold_share(picture, name, zone, share, s)
    total = picture.total_demand()
    mean = math.fsum(utility_of_step(step) * x for step, x in total.items()) / max(
        math.fsum(total.values()), 1e-9
    )
    rates = {name: home.rates for name, home in picture.homes.items()}
    return AllocationProblem(rates, calm, guests, keeps, uses, busy, s.congestion_cost * mean)


def _uses(picture: FleetSnapshot, home: str, share: float) -> dict[int, float]:
    """Uses of each data set a second by a part of a home's requests."""
    view = picture.homes[home]
    calls = view.requests_per_second * share
    return {number: calls * part for number, part in view.data_set_shares.items() if part > 0}


def _cold_share(picture: FleetSnapshot, home: str, zone: str, share: float, s: CostSettings) -> float:
    """Part of a home's uses that would be cold in a zone, if so much of its work went there."""
    view, rates, window = picture.zones[zone], _uses(picture, home, share), s.window_ms / 1000
    total = picture.homes[home].requests_per_second * share * window
    if total <= 0:
        return 0.0
    first = math.fsum(
        cold_cache.cold_uses(rate, view.engine_count, is_warm(view.warm_filter, number), window, math.inf)
        for number, rate in rates.items()
    )
    return min(first / total, 1.0)


def project(
    picture: FleetSnapshot,
    left: Mapping[str, float],
    settings: CostSettings | None = None,
    now: Allocation | None = None,
    settled: tuple[AllocationProblem, Allocation] | None = None,
) -> Projection:
    """What it would cost if so much were left of these zones. now: the division without that, if known;
    settled: what `settle` makes of it, if known."""
    s = settings or CostSettings()
    base = now if now is not None else solve_with_cold_work(picture, {}, s)[1]
    case, found = settled if settled is not None else solve_with_cold_work(picture, left, s)
    flows, usual = flows_by_pair(found.flows), as_served(picture, flows_by_pair(base.flows))
    worth = _worth(found.flows)
    asked = picture.total_demand()
    offered = math.fsum(utility_of_step(step) * work for step, work in asked.items())
    price = _price(picture, found, s)
    moved = {pair: x - usual.get(pair, 0.0) for pair, x in flows.items() if x - usual.get(pair, 0.0) > 1e-6}
    added = _added(picture, moved, usual)
    colds = {zone: cold_work_cores(picture, flows, zone, s) for zone in picture.zones}
    # Danger: what keeps sets from staying warm in calm is not known here, so calm looked warm and a loss that
    # ends the sharing of zones looked dear. What requests take now is told.
    before = picture.excess_cores
    if before is None:
        before = math.fsum(cold_work_cores(picture, usual, zone, s) for zone in picture.zones)
    extra = math.fsum(colds.values()) - before
    cores = math.fsum(
        view.cores * view.available_share * left.get(z, 1.0) for z, view in picture.zones.items()
    )
    room = free_cores(case, flows)
    back_ms, back_work = _back(picture, left, s)
    return Projection(
        dict(sorted(left.items())),
        flows,
        offered,
        worth,
        max(_worth(base.flows) - worth, 0.0),
        price,
        added,
        math.fsum(moved.values()),
        extra,
        room,
        _warm_ms(picture, moved),
        back_ms,
        back_work,
        max(cores - math.fsum(colds.values()), 0.0),
        found.flows,
    )


def _worth(flows: Mapping[Flow, float]) -> float:
    return math.fsum(utility_of_step(step) * x for (_, _, step), x in flows.items())


def _used(case: AllocationProblem, flows: Mapping[tuple[str, str], float], zone: str) -> float:
    """Cores of a zone that the flows take."""
    return math.fsum(x * case.cost_factors.get(pair, 1.0) for pair, x in flows.items() if pair[1] == zone)


def free_cores(case: AllocationProblem, flows: Mapping[tuple[str, str], float]) -> dict[str, float]:
    """Cores that a division leaves free, by zone."""
    return {
        z: max(case.capacity[z] + case.congested_capacity[z] - _used(case, flows, z), 0.0)
        for z in case.capacity
    }


def flows_by_pair(flows: Mapping[Flow, float]) -> dict[tuple[str, str], float]:
    """Work by home and zone, in cores."""
    found = dict[tuple[str, str], list[float]]()
    for (home, zone, _), x in flows.items():
        found.setdefault((home, zone), []).append(x)
    return {pair: math.fsum(parts) for pair, parts in found.items()}


def as_served(picture: FleetSnapshot, flows: Mapping[tuple[str, str], float]) -> dict[tuple[str, str], float]:
    """What is served of each home now, by zone: where its instances say that it is, else as divided.

    Danger: taken from the division, calm served each zone's clients at home. In service it takes all zones
    alike, so the way and the cold work that a loss was said to add were there before it.
    """
    found = dict[tuple[str, str], float]()
    for home, view in picture.homes.items():
        mine = {pair: x for pair, x in flows.items() if pair[0] == home}
        work = math.fsum(mine.values())
        found |= (
            {(home, zone): work * part for zone, part in view.served_shares.items()}
            if view.served_shares
            else mine
        )
    return found


def _added(
    picture: FleetSnapshot, moved: Mapping[tuple[str, str], float], usual: Mapping[tuple[str, str], float]
) -> float:
    """Mean round trip on top of the usual one, in ms, over the work that moves."""
    parts = []
    for (home, zone), work in moved.items():
        trips = picture.homes[home].round_trips_ms
        before = [(x, trips.get(z, 0.0)) for (h, z), x in usual.items() if h == home]
        mean = math.fsum(x * t for x, t in before) / max(math.fsum(x for x, _ in before), 1e-9)
        parts.append(work * (trips.get(zone, 0.0) - mean))
    return math.fsum(parts) / max(math.fsum(moved.values()), 1e-9)


def data_set_uses(
    picture: FleetSnapshot, flows: Mapping[tuple[str, str], float], zone: str
) -> dict[int, float]:
    """Uses of each data set a second in a zone, by what it serves."""
    found = dict[int, list[float]]()
    for (home, at), work in flows.items():
        if at == zone:
            whole = picture.homes[home].cores
            for number, rate in _uses(picture, home, work / max(whole, 1e-9)).items():
                found.setdefault(number, []).append(rate)
    return {number: math.fsum(rates) for number, rates in found.items()}


def cold_work_cores(
    picture: FleetSnapshot, flows: Mapping[tuple[str, str], float], zone: str, s: CostSettings
) -> float:
    """Cores of cold work in a zone, mean of the window: sets not warm yet, and sets pushed out by others."""
    view, rates = picture.zones[zone], data_set_uses(picture, flows, zone)
    stay = cold_cache.seconds_until_evicted(rates.values(), view.engine_count, s.cached_data_sets)
    runs = math.fsum(
        cold_cache.cold_uses(
            rate, view.engine_count, is_warm(view.warm_filter, number), s.window_ms / 1000, stay
        )
        for number, rate in rates.items()
    )
    there = [(x, picture.homes[home].mean_work_ms) for (home, at), x in flows.items() if at == zone]
    calls = math.fsum(x / max(mean, 1e-3) for x, mean in there)
    mean = math.fsum(x for x, _ in there) / calls if calls > 0 else 0.0
    return runs * mean * (s.cold_factor - 1) / max(s.window_ms, 1e-9)


def solve_with_cold_work(
    picture: FleetSnapshot,
    left: Mapping[str, float],
    settings: CostSettings,
    good: Mapping[str, float] | None = None,
) -> tuple[AllocationProblem, Allocation]:
    """The case and its division, with the cold work that the division itself makes.

    Danger: sets push one another out only where much is moved together, so each home's cold work alone made
    the last zone look able to serve all dear requests (0.82 of the worth), where half of its work was cold.
    """
    s, case = settings, allocation_problem(picture, left, settings, good)
    first, found = case.cost_factors, allocate(case, s.tolerance)
    for _ in range(s.max_rounds):
        flows = flows_by_pair(found.flows)
        uses = dict(case.cost_factors)
        for zone in picture.zones:
            work = math.fsum(x for (_, at), x in flows.items() if at == zone)
            if work <= 1e-6:
                continue
            alone = math.fsum(x * first.get(p, 1.0) for p, x in flows.items() if p[1] == zone) / work
            times = (1 + cold_work_cores(picture, flows, zone, s) / work) / alone
            for home in picture.homes:
                wanted = max(first.get((home, zone), 1.0) * times, 1.0)
                uses[home, zone] = (case.cost_factors.get((home, zone), 1.0) + wanted) / 2
        if all(abs(x - case.cost_factors.get(pair, 1.0)) <= s.tolerance * x for pair, x in uses.items()):
            break
        case = replace(case, cost_factors=uses)
        found = allocate(case, s.tolerance)
    return case, found


def _price(picture: FleetSnapshot, found: Allocation, s: CostSettings) -> AdmissionThreshold | None:
    """The price at which as much is let in as a division serves."""
    asked, served = picture.total_demand(), math.fsum(found.flows.values())
    if served >= (1 - s.negligible_share) * math.fsum(asked.values()):
        return None
    return threshold_for(asked, served)


def _warm_ms(picture: FleetSnapshot, moved: Mapping[tuple[str, str], float]) -> float:
    """Until nine in ten of the moved uses are warm, in the slowest zone, in ms."""
    slowest = 0.0
    for zone in sorted({zone for _, zone in moved}):
        view = picture.zones[zone]
        rates = data_set_uses(picture, moved, zone)
        fresh = {number: rate for number, rate in rates.items() if not is_warm(view.warm_filter, number)}
        share = math.fsum(fresh.values()) / max(math.fsum(rates.values()), 1e-9)
        if share > 0.1:
            slowest = max(
                slowest, 1000 * cold_cache.seconds_until_warm(fresh, view.engine_count, 0.1 / share)
            )
    return slowest


def _back(picture: FleetSnapshot, left: Mapping[str, float], s: CostSettings) -> tuple[float, float]:
    """Time in ms and work in ms that the return costs: the ramp, and each set cold once in each engine."""
    slowest, work = 0.0, []
    for zone in sorted(left):
        if left[zone] >= 1.0 or zone not in picture.zones:
            continue
        ramp = s.doubling_ms * math.ceil(math.log2(1 / max(left[zone], s.initial_share)))
        warm, view = 0.0, picture.zones[zone]
        if zone in picture.homes:
            rates = _uses(picture, zone, 1.0)
            warm = 1000 * cold_cache.seconds_until_warm(rates, view.engine_count)
            runs = math.fsum(
                cold_cache.cold_uses(r, view.engine_count, False, 600.0, math.inf) for r in rates.values()
            )
            work.append(runs * picture.homes[zone].mean_work_ms * (s.cold_factor - 1))
        slowest = max(slowest, ramp + warm)
    return slowest, math.fsum(work)
