"""The solver of allocation problems: column generation with a revised simplex method; does no I/O.

The linear program that it solves is described in `allocation`.
"""

from __future__ import annotations

import bisect
import math
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

from cottonhold.fleet.failover_cost.allocation import (
    EPSILON,
    Allocation,
    AllocationProblem,
    Flow,
    utility_of_step,
)

MAX_ROUNDS = 600
RATIO_TOLERANCE = 1e-12  # ratios that differ by less are treated as equal
MIN_GAIN_EPSILONS = 10  # minimum gain of an entering column, as a multiple of `min_utility`
NO_ROW = -1


# A zone and the half-open range of indices of the home's steps that it serves. A plain tuple, since thousands
# are created for each problem.
Assignment = tuple[str, int, int]


@dataclass(slots=True)
class Column:
    """A home's best response to prices, the congested capacity of a zone, or the slack of a row.

    Attributes:
        gain: Utility per second at level 1.
        usage: Amount that it uses of each row at level 1.
        home: The home; empty for other columns.
        assignments: The steps that each zone serves.
    """

    gain: float
    usage: dict[int, float]
    home: str = ""
    assignments: list[Assignment] = field(default_factory=list)


class HomeDemand(NamedTuple):
    """A home's demand; both sums have one entry more than there are steps.

    Attributes:
        steps: Its density steps in ascending order.
        utilities: Utility per second of a core of each step.
        work_below: Work below each step, in cores.
        utility_below: Utility per second of that work.
    """

    steps: list[int]
    utilities: list[float]
    work_below: list[float]
    utility_below: list[float]


class ZoneOption(NamedTuple):
    """A zone that may serve a home.

    Attributes:
        zone: The zone's name.
        capacity_row: Row of its capacity.
        cross_zone_row: Row of its cross-zone capacity; NO_ROW if it is the home's own zone.
        cost_factor: Cores that a core of the home's work needs there.
        retained: Part of the utility that remains there.
    """

    zone: str
    capacity_row: int
    cross_zone_row: int
    cost_factor: float
    retained: float


def _home_demand(rates: Mapping[int, float]) -> HomeDemand:
    steps = sorted(step for step, work in rates.items() if work > 0)
    utilities = [utility_of_step(step) for step in steps]
    work_below, utility_below = [0.0], [0.0]
    for step, utility in zip(steps, utilities, strict=True):
        work_below.append(work_below[-1] + rates[step])
        utility_below.append(utility_below[-1] + rates[step] * utility)
    return HomeDemand(steps, utilities, work_below, utility_below)


def _column_cost(column: Column, prices: list[float]) -> float:
    """Return the cost of what a column uses, at these prices."""
    total = 0.0
    for row, amount in column.usage.items():
        total += prices[row] * amount
    return total


class Simplex:
    """The simplex tableau of one problem.

    Its rows are the capacity, the cross-zone capacity and the congested capacity of all zones, in this order,
    then one row for each home.
    """

    def __init__(self, problem: AllocationProblem) -> None:
        self.problem = problem
        self.zones, self.homes = sorted(problem.capacity), sorted(problem.demand)
        count = len(self.zones)
        self.zone_row = {zone: i for i, zone in enumerate(self.zones)}
        self.home_row = {home: 3 * count + i for i, home in enumerate(self.homes)}
        limits = [problem.capacity[zone] for zone in self.zones]
        limits += [problem.cross_zone_capacity.get(zone, 0.0) for zone in self.zones]
        limits += [problem.congested_capacity.get(zone, 0.0) for zone in self.zones]
        self.limits = [max(limit, EPSILON) for limit in limits] + [1.0] * len(self.homes)
        size = len(self.limits)
        self.levels = list(self.limits)  # level of each column in the basis
        self.inverse = [[float(i == j) for j in range(size)] for i in range(size)]
        self.basis = [Column(0.0, {i: 1.0}) for i in range(size)]
        cost = problem.congestion_cost
        self.congestion = [Column(-cost, {i: -1.0, 2 * count + i: 1.0}) for i in range(count)]
        self.options = {
            home: [self._option(home, zone) for zone in problem.open_zones(home)] for home in self.homes
        }
        self.demand = {home: _home_demand(problem.demand[home]) for home in self.homes}
        highest = max(
            (utility_of_step(step) for rates in problem.demand.values() for step in rates), default=0.0
        )
        self.min_utility = EPSILON * max(highest, EPSILON)

    def _option(self, home: str, zone: str) -> ZoneOption:
        row, pair = self.zone_row[zone], (home, zone)
        return ZoneOption(
            zone,
            row,
            len(self.zones) + row if zone != home else NO_ROW,
            self.problem.cost_factors.get(pair, 1.0),
            self.problem.retained_utility.get(pair, 1.0),
        )

    def shadow_prices(self) -> list[float]:
        """Return the shadow price of each row."""
        prices = [0.0] * len(self.limits)
        for column, row in zip(self.basis, self.inverse, strict=True):
            if gain := column.gain:
                prices = [price + gain * x for price, x in zip(prices, row, strict=True)]
        return prices

    def best_column_of_home(self, home: str, prices: list[float]) -> Column:
        """Return a home's best column at these prices.

        In each step the home uses the zone with the highest utility * retained - cost. This value is a linear
        function of utility, so a zone that is best at one step stays best until the line of a zone with a
        larger `retained` crosses its line. The time therefore hardly depends on the number of steps.
        """
        options = self.options[home]
        costs = [
            ((prices[row] + prices[cross] if cross >= 0 else prices[row]) * cost_factor, retained)
            for _, row, cross, cost_factor, retained in options
        ]
        steps, utilities, work_below, utility_below = self.demand[home]
        usage, gain, assignments = {self.home_row[home]: 1.0}, 0.0, list[Assignment]()
        begin, count = 0, len(steps)
        while begin < count:
            # One loop for speed: it runs for each step and zone of each home, hundreds of times per problem.
            utility, best, chosen = utilities[begin], self.min_utility, -1
            best_cost, best_retained, crossing = -self.min_utility, 0.0, math.inf
            for i, (cost, retained) in enumerate(costs):
                value = utility * retained - cost
                if value > best:
                    best, chosen, best_cost, best_retained = value, i, cost, retained
            for cost, retained in costs:
                if retained > best_retained:
                    crossing = min(crossing, (cost - best_cost) / (retained - best_retained))
            end = max(bisect.bisect_left(utilities, crossing), begin + 1)
            if chosen >= 0:
                zone, row, cross_zone_row, cost_factor, retained = options[chosen]
                assignments.append((zone, begin, end))
                used = (work_below[end] - work_below[begin]) * cost_factor
                usage[row] = usage.get(row, 0.0) + used
                if cross_zone_row >= 0:
                    usage[cross_zone_row] = usage.get(cross_zone_row, 0.0) + used
                gain += (utility_below[end] - utility_below[begin]) * retained
            begin = end
        return Column(gain, usage, home, assignments)

    def best_column(self, prices: list[float]) -> tuple[Column | None, float]:
        """Return the column with the largest gain, if any has one, and a bound on what all homes could still
        gain."""
        chosen, highest, all_gains = None, self.min_utility * MIN_GAIN_EPSILONS, 0.0
        for home in self.homes:
            column = self.best_column_of_home(home, prices)
            gain = column.gain - _column_cost(column, prices)
            all_gains += max(gain, 0.0)
            if gain > highest:
                chosen, highest = column, gain
        for column in self.congestion:
            gain = column.gain - _column_cost(column, prices)
            if gain > highest:
                chosen, highest = column, gain
        for row, price in enumerate(prices):
            if -price > highest:
                chosen, highest = Column(0.0, {row: 1.0}), -price
        return chosen, all_gains

    def congestion_gain(self, prices: list[float]) -> float:
        """Return the most that congested capacity could still gain at these prices."""
        gains = [column.gain - _column_cost(column, prices) for column in self.congestion]
        return sum(
            max(gain, 0.0) * self.problem.congested_capacity.get(zone, 0.0)
            for zone, gain in zip(self.zones, gains, strict=True)
        )

    def congestion_cost(self) -> float:
        """Return the cost per second of the congested capacity in use."""
        used = zip(self.basis, self.levels, strict=True)
        return -sum(column.gain * level for column, level in used if column.gain < 0)

    def utility(self) -> float:
        """Return the utility per second of the current solution."""
        return sum(column.gain * level for column, level in zip(self.basis, self.levels, strict=True))

    def bound(self, prices: list[float], gains: float) -> float:
        """Return an upper bound on the utility of any solution, from these prices and the homes' possible
        gains."""
        value = sum(price * limit for price, limit in zip(prices, self.limits, strict=True))
        return value + gains + self.congestion_gain(prices)

    def enter(self, column: Column) -> bool:
        """Let a column enter the basis; return False if no row limits it."""
        direction = [_column_cost(column, row) for row in self.inverse]
        leaving, min_ratio = NO_ROW, math.inf
        for i, change in enumerate(direction):
            if change > EPSILON and self.levels[i] / change < min_ratio - RATIO_TOLERANCE:
                leaving, min_ratio = i, self.levels[i] / change
        if leaving < 0:
            return False
        pivot = [x / direction[leaving] for x in self.inverse[leaving]]
        non_zero = [(j, p) for j, p in enumerate(pivot) if p]  # the row is sparse
        for i, change in enumerate(direction):
            if i != leaving and change:
                row = self.inverse[i]
                for j, p in non_zero:
                    row[j] -= change * p
                self.levels[i] = max(self.levels[i] - change * min_ratio, 0.0)
        self.inverse[leaving], self.levels[leaving], self.basis[leaving] = pivot, min_ratio, column
        return True

    def flows(self) -> dict[Flow, float]:
        """Return the current solution as work by home, zone and step, in cores."""
        flows = dict[Flow, float]()
        for column, level in zip(self.basis, self.levels, strict=True):
            for zone, begin, end in column.assignments if level > EPSILON else ():
                for step in self.demand[column.home].steps[begin:end]:
                    flow = column.home, zone, step
                    work = level * self.problem.demand[column.home][step]
                    flows[flow] = flows.get(flow, 0.0) + work
        return dict(sorted(flows.items()))


def allocate(problem: AllocationProblem, tolerance: float = 0.0) -> Allocation:
    """Return the allocation of highest utility, or one within a part `tolerance` of the upper bound."""
    simplex, bound = Simplex(problem), math.inf
    for _ in range(MAX_ROUNDS):
        prices = simplex.shadow_prices()
        column, gains = simplex.best_column(prices)
        if min(prices) >= -simplex.min_utility:
            bound = min(bound, simplex.bound(prices, gains))
            if tolerance and bound - simplex.utility() <= tolerance * bound:
                break
        if column is None or not simplex.enter(column):
            break
    flows = simplex.flows()
    served = sum(problem.utility(flow) * cores for flow, cores in flows.items())
    return Allocation(flows, served - simplex.congestion_cost(), bound)
