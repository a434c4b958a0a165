"""Who serves what, so that most worth is served: a small linear program, solved here. Pure.

    x[home, zone, step]: work of clients at `home`, of a density step, that `zone` serves, in cores
    most of   sum x * value(step) * keeps[home, zone] - sum e * wait
    demand    sum over zones of x[home, ., step]              <= demand[home, step]
    capacity  sum over homes and steps of x * uses[home, zone] <= capacity[zone] + e[zone]
    busy      e[zone] <= busy[zone], at the cost of `wait` a core, for lines grow there
    guests    the same, of other homes' clients alone          <= guests[zone]

Solved by columns (Dantzig and Wolfe): given prices of capacity, each home answers alone with the best
zone for each step; a revised simplex mixes such answers. It has three rows a zone and one a home, however
many steps there are, and no random or unordered part: the same case has the same answer, to the bit,
everywhere. `divide_exact.py` is what it is checked against.
"""

from __future__ import annotations

import bisect
import functools
import math
from collections.abc import Mapping
from dataclasses import dataclass, field

from cottonhold.fleet.admission import demand as sketch

STEP_MIDDLE = 2 ** (0.5 / sketch.STEPS_PER_OCTAVE)  # a step's middle over its lowest density
EPSILON = 1e-9
MAX_ROUNDS = 600

Flow = tuple[str, str, int]  # home, zone, step


@functools.lru_cache(maxsize=sketch.DENSITY_STEPS)
def utility_of_step(step: int) -> float:
    """Worth a second that a core of work brings at a step; nothing at the lowest one."""
    return 1000 * sketch.MIN_DENSITY * STEP_MIDDLE * 2 ** (step / sketch.STEPS_PER_OCTAVE) if step else 0.0


@dataclass(slots=True, frozen=True)
class AllocationProblem:
    """demand: cores by home and step; capacity, guests: cores by zone. keeps: part of the worth that is left
    where home is served by zone, after distance and failures; uses: cores that a core of home's work takes
    there, by cold data. Pairs that are not named keep and use one. busy: cores on top of the capacity, each
    at a cost of `wait`, in worth a second."""

    demand: Mapping[str, Mapping[int, float]]
    capacity: Mapping[str, float]
    cross_zone_capacity: Mapping[str, float]
    retained_utility: Mapping[tuple[str, str], float] = field(default_factory=dict)
    cost_factors: Mapping[tuple[str, str], float] = field(default_factory=dict)
    congested_capacity: Mapping[str, float] = field(default_factory=dict)
    congestion_cost: float = 0.0

    def utility(self, flow: Flow) -> float:
        """Worth a second of a core of this flow."""
        return utility_of_step(flow[2]) * self.retained_utility.get(flow[:2], 1.0)

    def open_zones(self, home: str) -> list[str]:
        """Zones that may serve a home's clients."""
        return [
            zone
            for zone in sorted(self.capacity)
            if self.capacity[zone] + self.congested_capacity.get(zone, 0.0) > EPSILON
            and (zone == home or self.cross_zone_capacity.get(zone, 0.0) > EPSILON)
        ]


@dataclass(slots=True, frozen=True)
class Allocation:
    """flows: work in cores, in order; worth: what it brings a second; bound: no division brings more."""

    flows: Mapping[Flow, float]
    utility: float
    upper_bound: float


@dataclass(slots=True)
class Column:
    """One home's answer to prices, or what a row leaves unused. takes: by row."""

    gain: float
    usage: dict[int, float]
    home: str = ""
    assignments: list[tuple[str, int, int]] = field(
        default_factory=list
    )  # zone, from and up to which of its steps


Lines = tuple[list[int], list[float], list[float], list[float]]
Way = tuple[str, int, int, float, float]  # zone, its row, that of guests or -1, uses, keeps


def _lines(rates: Mapping[int, float]) -> Lines:
    """A home's steps in order, their values, and sums of work and of worth below each of them."""
    steps = sorted(step for step, work in rates.items() if work > 0)
    values = [utility_of_step(step) for step in steps]
    works, worths = [0.0], [0.0]
    for step, worth in zip(steps, values, strict=True):
        works.append(works[-1] + rates[step])
        worths.append(worths[-1] + rates[step] * worth)
    return steps, values, works, worths


def _cost(column: Column, prices: list[float]) -> float:
    """What a column takes, at these prices."""
    total = 0.0
    for row, x in column.usage.items():
        total += prices[row] * x
    return total


class Simplex:
    """The mix of answers. Rows: capacity, guests and busy part of each zone, then one for each home."""

    def __init__(self, case: AllocationProblem) -> None:
        self.case = case
        self.zones, self.homes = sorted(case.capacity), sorted(case.demand)
        self.row = {zone: i for i, zone in enumerate(self.zones)}
        count = len(self.zones)
        right = [case.capacity[z] for z in self.zones] + [
            case.cross_zone_capacity.get(z, 0.0) for z in self.zones
        ]
        right += [case.congested_capacity.get(z, 0.0) for z in self.zones]
        self.right = [max(r, EPSILON) for r in right] + [1.0] * len(self.homes)
        self.size = size = len(self.right)
        self.level = list(self.right)
        self.inverse = [[float(i == j) for j in range(size)] for i in range(size)]
        self.basis = [Column(0.0, {i: 1.0}) for i in range(size)]
        self.more = [Column(-case.congestion_cost, {i: -1.0, 2 * count + i: 1.0}) for i in range(count)]
        self.at = {home: 3 * count + i for i, home in enumerate(self.homes)}
        self.ways = {home: [self._way(home, zone) for zone in case.open_zones(home)] for home in self.homes}
        self.lines = {home: _lines(case.demand[home]) for home in self.homes}
        most = max((utility_of_step(s) for rates in case.demand.values() for s in rates), default=0.0)
        self.least = EPSILON * max(most, EPSILON)

    def _way(self, home: str, zone: str) -> Way:
        row, pair = self.row[zone], (home, zone)
        guest = len(self.zones) + row if zone != home else -1
        return (
            zone,
            row,
            guest,
            self.case.cost_factors.get(pair, 1.0),
            self.case.retained_utility.get(pair, 1.0),
        )

    def prices(self) -> list[float]:
        """What one more of each row is worth."""
        found = [0.0] * self.size
        for column, row in zip(self.basis, self.inverse, strict=True):
            if gain := column.gain:
                found = [price + gain * x for price, x in zip(found, row, strict=True)]
        return found

    def answer(self, home: str, prices: list[float]) -> Column:
        """The best that a home can do at these prices."""
        takes, gain, picks = {self.at[home]: 1.0}, 0.0, list[tuple[str, int, int]]()
        ways = self.ways[home]
        costs = [
            ((prices[row] + prices[guest] if guest >= 0 else prices[row]) * uses, keeps)
            for _, row, guest, uses, keeps in ways
        ]
        steps, values, works, worths = self.lines[home]
        at, end = 0, len(steps)
        while at < end:
            # Of lines worth * keeps - price the one that is best here stays so until one that keeps more
            # crosses it, so that a home with many steps costs no more than one with few.
            worth, best, chosen, price, keeps = values[at], self.least, -1, -self.least, 0.0
            for i, (other, more) in enumerate(costs):
                if worth * more - other > best:
                    best, chosen, price, keeps = worth * more - other, i, other, more
            until = math.inf
            for other, more in costs:
                if more > keeps:
                    until = min(until, (other - price) / (more - keeps))
            upto = max(bisect.bisect_left(values, until), at + 1)
            if chosen >= 0:
                zone, row, guest, uses, _ = ways[chosen]
                picks.append((zone, at, upto))
                used = (works[upto] - works[at]) * uses
                takes[row] = takes.get(row, 0.0) + used
                if guest >= 0:
                    takes[guest] = takes.get(guest, 0.0) + used
                gain += (worths[upto] - worths[at]) * keeps
            at = upto
        return Column(gain, takes, home, picks)

    def best(self, prices: list[float]) -> tuple[Column | None, float]:
        """The column that gains most, and the most that all homes could still gain together."""
        chosen, most, more = None, self.least * 10, 0.0
        for home in self.homes:
            column = self.answer(home, prices)
            gains = column.gain - _cost(column, prices)
            more += max(gains, 0.0)
            if gains > most:
                chosen, most = column, gains
        for column in self.more:
            gains = column.gain - _cost(column, prices)
            if gains > most:
                chosen, most = column, gains
        for row, price in enumerate(prices):
            if -price > most:
                chosen, most = Column(0.0, {row: 1.0}), -price
        return chosen, more

    def busier(self, prices: list[float]) -> float:
        """The most that the busy parts could still gain at these prices."""
        gains = [c.gain - _cost(c, prices) for c in self.more]
        return sum(
            max(g, 0.0) * self.case.congested_capacity.get(z, 0.0)
            for z, g in zip(self.zones, gains, strict=True)
        )

    def waits(self) -> float:
        """What the busy parts in use cost a second."""
        return -sum(c.gain * x for c, x in zip(self.basis, self.level, strict=True) if c.gain < 0)

    def enter(self, column: Column) -> bool:
        """Take a column into the mix; false if it can't be."""
        ways = [_cost(column, row) for row in self.inverse]
        leaving, least = -1, math.inf
        for i, way in enumerate(ways):
            if way > EPSILON and self.level[i] / way < least - 1e-12:
                leaving, least = i, self.level[i] / way
        if leaving < 0:
            return False
        pivot = [x / ways[leaving] for x in self.inverse[leaving]]
        filled = [(j, p) for j, p in enumerate(pivot) if p]  # few are
        for i, way in enumerate(ways):
            if i != leaving and way:
                row = self.inverse[i]
                for j, p in filled:
                    row[j] -= way * p
                self.level[i] = max(self.level[i] - way * least, 0.0)
        self.inverse[leaving], self.level[leaving], self.basis[leaving] = pivot, least, column
        return True

    def flows(self) -> dict[Flow, float]:
        """The mix as work by home, zone and step."""
        found = dict[Flow, float]()
        for column, part in zip(self.basis, self.level, strict=True):
            for zone, begin, end in column.assignments if part > EPSILON else ():
                for step in self.lines[column.home][0][begin:end]:
                    key = column.home, zone, step
                    found[key] = found.get(key, 0.0) + part * self.case.demand[column.home][step]
        return dict(sorted(found.items()))


def allocate(case: AllocationProblem, near: float = 0.0) -> Allocation:
    """The division that serves most worth, or one that is known to be off by no more than a part `near`."""
    simplex, bound = Simplex(case), math.inf
    for _ in range(MAX_ROUNDS):
        prices = simplex.prices()
        column, more = simplex.best(prices)
        if min(prices) >= -simplex.least:
            at = sum(p * r for p, r in zip(prices, simplex.right, strict=True))
            bound = min(bound, at + more + simplex.busier(prices))
            got = sum(c.gain * x for c, x in zip(simplex.basis, simplex.level, strict=True))
            if near and bound - got <= near * bound:
                break
        if column is None or not simplex.enter(column):
            break
    flows = simplex.flows()
    return Allocation(
        flows, sum(case.utility(flow) * x for flow, x in flows.items()) - simplex.waits(), bound
    )
