"""What it would cost if zones were out now: who serves whose clients, what is lost, how far, how cold. Pure.

Each scenario is divided by itself (`divide.py`): a pair of zones is no sum of two, since both would lean on
the same third one. What is reported as worth is what is served, undiscounted; distance and cold work only
steer the division.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass, field, replace

from cottonhold.fleet.admission.threshold import Price, curve_price
from cottonhold.fleet.failover_cost import cold_cache
from cottonhold.fleet.failover_cost.allocation import Case, Division, Flow, divide, value
from cottonhold.fleet.failover_cost.fleet_snapshot import Picture
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

    use: float = 0.97
    calm: float = 0.85
    wait: float = 0.01
    part: float = 0.4
    far: float = 0.0005
    cold: float = 3.0
    keeps: int = 0
    window: float = 5000.0
    first: float = 0.03
    double: float = 250.0
    nothing: float = 0.01
    rounds: int = 3
    near: float = 0.003


@dataclass(slots=True, frozen=True)
class Projection:
    """One scenario. left: by zone, the part that is left of it. flows: work in cores by home and zone.

    offered, worth: a second, asked for and served; lost: less than now. price: that would stand. added: mean
    ms of round trip on top, over the work that moves; moved: cores. extra: cores of cold work more than now,
    mean of the window; less than nothing where sharing ends. room: cores left by zone. warm_ms: until nine in
    ten of the moved uses are warm. back_ms, back_work: the return if the zone comes back cold, in ms and in
    ms of work. useful: cores that are left for work once cold work is done, which a price may count on.
    """

    left: Mapping[str, float]
    flows: Mapping[tuple[str, str], float]
    offered: float
    worth: float
    lost: float
    price: Price | None
    added: float
    moved: float
    extra: float
    room: Mapping[str, float]
    warm_ms: float
    back_ms: float
    back_work: float
    useful: float
    steps: Mapping[Flow, float] = field(default_factory=dict)

    def share(self) -> float:
        """Part of the worth asked for that is served."""
        return self.worth / self.offered if self.offered > 0 else 1.0


def case_of(
    picture: Picture,
    left: Mapping[str, float],
    settings: CostSettings,
    good: Mapping[str, float] | None = None,
) -> Case:
    """The division to solve. left: part of each zone that is there; good: of its attempts, that end well."""
    s, good = settings, good or {}
    gives = {zone: view.gives * left.get(zone, 1.0) for zone, view in picture.zones.items()}
    capacity = {zone: view.cores * gives[zone] * s.use for zone, view in picture.zones.items()}
    calm = {zone: x * s.calm / s.use for zone, x in capacity.items()}
    busy = {zone: capacity[zone] - calm[zone] for zone in capacity}
    # Danger: what is left of an ill zone is not its clients' own part; that is of the whole zone.
    guests = {z: max(capacity[z] - s.part * view.cores * s.use, 0.0) for z, view in picture.zones.items()}
    keeps, uses = dict[tuple[str, str], float](), dict[tuple[str, str], float]()
    there = [zone for zone in capacity if capacity[zone] > 0]
    for name, home in picture.homes.items():
        nearest = min((home.trips.get(zone, 0.0) for zone in there), default=0.0)
        for zone in there:
            distance = home.trips.get(zone, 0.0) - nearest
            keeps[name, zone] = max(1 - s.far * distance, 0.05) * good.get(zone, 1.0)
            if zone != name:
                share = 1 / max(sum(z != name for z in there), 1)
                uses[name, zone] = 1 + (s.cold - 1) * _cold_share(picture, name, zone, share, s)
    total = picture.total()
    mean = math.fsum(value(step) * x for step, x in total.items()) / max(math.fsum(total.values()), 1e-9)
    rates = {name: home.rates for name, home in picture.homes.items()}
    return Case(rates, calm, guests, keeps, uses, busy, s.wait * mean)


def _uses(picture: Picture, home: str, share: float) -> dict[int, float]:
    """Uses of each data set a second by a part of a home's requests."""
    view = picture.homes[home]
    calls = view.calls * share
    return {number: calls * part for number, part in view.sets.items() if part > 0}


def _cold_share(picture: Picture, home: str, zone: str, share: float, s: CostSettings) -> float:
    """Part of a home's uses that would be cold in a zone, if so much of its work went there."""
    view, rates, window = picture.zones[zone], _uses(picture, home, share), s.window / 1000
    total = picture.homes[home].calls * share * window
    if total <= 0:
        return 0.0
    first = math.fsum(
        cold_cache.runs(rate, view.engines, is_warm(view.warm, number), window, math.inf)
        for number, rate in rates.items()
    )
    return min(first / total, 1.0)


def project(
    picture: Picture,
    left: Mapping[str, float],
    settings: CostSettings | None = None,
    now: Division | None = None,
    settled: tuple[Case, Division] | None = None,
) -> Projection:
    """What it would cost if so much were left of these zones. now: the division without that, if known;
    settled: what `settle` makes of it, if known."""
    s = settings or CostSettings()
    base = now if now is not None else settle(picture, {}, s)[1]
    case, found = settled if settled is not None else settle(picture, left, s)
    flows, usual = by_pair(found.flows), as_served(picture, by_pair(base.flows))
    worth = _worth(found.flows)
    asked = picture.total()
    offered = math.fsum(value(step) * work for step, work in asked.items())
    price = _price(picture, found, s)
    moved = {pair: x - usual.get(pair, 0.0) for pair, x in flows.items() if x - usual.get(pair, 0.0) > 1e-6}
    added = _added(picture, moved, usual)
    colds = {zone: cold_work(picture, flows, zone, s) for zone in picture.zones}
    # Danger: what keeps sets from staying warm in calm is not known here, so calm looked warm and a loss that
    # ends the sharing of zones looked dear. What requests take now is told.
    before = picture.cold
    if before is None:
        before = math.fsum(cold_work(picture, usual, zone, s) for zone in picture.zones)
    extra = math.fsum(colds.values()) - before
    cores = math.fsum(view.cores * view.gives * left.get(z, 1.0) for z, view in picture.zones.items())
    room = room_of(case, flows)
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
    return math.fsum(value(step) * x for (_, _, step), x in flows.items())


def _used(case: Case, flows: Mapping[tuple[str, str], float], zone: str) -> float:
    """Cores of a zone that the flows take."""
    return math.fsum(x * case.uses.get(pair, 1.0) for pair, x in flows.items() if pair[1] == zone)


def room_of(case: Case, flows: Mapping[tuple[str, str], float]) -> dict[str, float]:
    """Cores that a division leaves free, by zone."""
    return {z: max(case.capacity[z] + case.busy[z] - _used(case, flows, z), 0.0) for z in case.capacity}


def by_pair(flows: Mapping[Flow, float]) -> dict[tuple[str, str], float]:
    """Work by home and zone, in cores."""
    found = dict[tuple[str, str], list[float]]()
    for (home, zone, _), x in flows.items():
        found.setdefault((home, zone), []).append(x)
    return {pair: math.fsum(parts) for pair, parts in found.items()}


def as_served(picture: Picture, flows: Mapping[tuple[str, str], float]) -> dict[tuple[str, str], float]:
    """What is served of each home now, by zone: where its instances say that it is, else as divided.

    Danger: taken from the division, calm served each zone's clients at home. In service it takes all zones
    alike, so the way and the cold work that a loss was said to add were there before it.
    """
    found = dict[tuple[str, str], float]()
    for home, view in picture.homes.items():
        mine = {pair: x for pair, x in flows.items() if pair[0] == home}
        work = math.fsum(mine.values())
        found |= {(home, zone): work * part for zone, part in view.served.items()} if view.served else mine
    return found


def _added(
    picture: Picture, moved: Mapping[tuple[str, str], float], usual: Mapping[tuple[str, str], float]
) -> float:
    """Mean round trip on top of the usual one, in ms, over the work that moves."""
    parts = []
    for (home, zone), work in moved.items():
        trips = picture.homes[home].trips
        before = [(x, trips.get(z, 0.0)) for (h, z), x in usual.items() if h == home]
        mean = math.fsum(x * t for x, t in before) / max(math.fsum(x for x, _ in before), 1e-9)
        parts.append(work * (trips.get(zone, 0.0) - mean))
    return math.fsum(parts) / max(math.fsum(moved.values()), 1e-9)


def zone_uses(picture: Picture, flows: Mapping[tuple[str, str], float], zone: str) -> dict[int, float]:
    """Uses of each data set a second in a zone, by what it serves."""
    found = dict[int, list[float]]()
    for (home, at), work in flows.items():
        if at == zone:
            whole = picture.homes[home].work
            for number, rate in _uses(picture, home, work / max(whole, 1e-9)).items():
                found.setdefault(number, []).append(rate)
    return {number: math.fsum(rates) for number, rates in found.items()}


def cold_work(picture: Picture, flows: Mapping[tuple[str, str], float], zone: str, s: CostSettings) -> float:
    """Cores of cold work in a zone, mean of the window: sets not warm yet, and sets pushed out by others."""
    view, rates = picture.zones[zone], zone_uses(picture, flows, zone)
    stay = cold_cache.stays(rates.values(), view.engines, s.keeps)
    runs = math.fsum(
        cold_cache.runs(rate, view.engines, is_warm(view.warm, number), s.window / 1000, stay)
        for number, rate in rates.items()
    )
    there = [(x, picture.homes[home].mean) for (home, at), x in flows.items() if at == zone]
    calls = math.fsum(x / max(mean, 1e-3) for x, mean in there)
    mean = math.fsum(x for x, _ in there) / calls if calls > 0 else 0.0
    return runs * mean * (s.cold - 1) / max(s.window, 1e-9)


def settle(
    picture: Picture,
    left: Mapping[str, float],
    settings: CostSettings,
    good: Mapping[str, float] | None = None,
) -> tuple[Case, Division]:
    """The case and its division, with the cold work that the division itself makes.

    Danger: sets push one another out only where much is moved together, so each home's cold work alone made
    the last zone look able to serve all dear requests (0.82 of the worth), where half of its work was cold.
    """
    s, case = settings, case_of(picture, left, settings, good)
    first, found = case.uses, divide(case, s.near)
    for _ in range(s.rounds):
        flows = by_pair(found.flows)
        uses = dict(case.uses)
        for zone in picture.zones:
            work = math.fsum(x for (_, at), x in flows.items() if at == zone)
            if work <= 1e-6:
                continue
            alone = math.fsum(x * first.get(p, 1.0) for p, x in flows.items() if p[1] == zone) / work
            times = (1 + cold_work(picture, flows, zone, s) / work) / alone
            for home in picture.homes:
                wanted = max(first.get((home, zone), 1.0) * times, 1.0)
                uses[home, zone] = (case.uses.get((home, zone), 1.0) + wanted) / 2
        if all(abs(x - case.uses.get(pair, 1.0)) <= s.near * x for pair, x in uses.items()):
            break
        case = replace(case, uses=uses)
        found = divide(case, s.near)
    return case, found


def _price(picture: Picture, found: Division, s: CostSettings) -> Price | None:
    """The price at which as much is let in as a division serves."""
    asked, served = picture.total(), math.fsum(found.flows.values())
    if served >= (1 - s.nothing) * math.fsum(asked.values()):
        return None
    return curve_price(asked, served)


def _warm_ms(picture: Picture, moved: Mapping[tuple[str, str], float]) -> float:
    """Until nine in ten of the moved uses are warm, in the slowest zone, in ms."""
    slowest = 0.0
    for zone in sorted({zone for _, zone in moved}):
        view = picture.zones[zone]
        rates = zone_uses(picture, moved, zone)
        fresh = {number: rate for number, rate in rates.items() if not is_warm(view.warm, number)}
        share = math.fsum(fresh.values()) / max(math.fsum(rates.values()), 1e-9)
        if share > 0.1:
            slowest = max(slowest, 1000 * cold_cache.warm_in(fresh, view.engines, 0.1 / share))
    return slowest


def _back(picture: Picture, left: Mapping[str, float], s: CostSettings) -> tuple[float, float]:
    """Time in ms and work in ms that the return costs: the ramp, and each set cold once in each engine."""
    slowest, work = 0.0, []
    for zone in sorted(left):
        if left[zone] >= 1.0 or zone not in picture.zones:
            continue
        ramp = s.double * math.ceil(math.log2(1 / max(left[zone], s.first)))
        warm, view = 0.0, picture.zones[zone]
        if zone in picture.homes:
            rates = _uses(picture, zone, 1.0)
            warm = 1000 * cold_cache.warm_in(rates, view.engines)
            runs = math.fsum(cold_cache.runs(r, view.engines, False, 600.0, math.inf) for r in rates.values())
            work.append(runs * picture.homes[zone].mean * (s.cold - 1))
        slowest = max(slowest, ramp + warm)
    return slowest, math.fsum(work)
