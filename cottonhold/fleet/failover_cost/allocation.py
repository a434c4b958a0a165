"""The allocation of clients' work to zones with the highest utility, as a small linear program; does no I/O.

    x[home, zone, step]: work of clients at `home`, of a density step, that `zone` serves, in cores
    maximize   sum x * utility(step) * retained[home, zone] - sum e * congestion cost
    demand     sum over zones of x[home, ., step]                     <= demand[home, step]
    capacity   sum over homes and steps of x * cost factor[home, zone] <= capacity[zone] + e[zone]
    congested  e[zone] <= congested capacity[zone], at a cost per core, since queues grow there
    cross-zone like capacity, summed over the clients of other homes only <= cross-zone capacity[zone]

It is solved by column generation (Dantzig and Wolfe): given shadow prices of capacity, each home responds
independently with the best zone for each step, and a revised simplex method combines such responses. The
program has three rows per zone and one per home, regardless of the number of steps. Nothing in it is random
or unordered, so the same problem has the same solution everywhere, to the bit. Tests compare it with
`allocation_reference.py`.
"""

from __future__ import annotations

import functools
from collections.abc import Mapping
from dataclasses import dataclass, field

from cottonhold.fleet.admission import demand as sketch

STEP_MIDDLE = 2 ** (0.5 / sketch.STEPS_PER_OCTAVE)  # ratio of a step's middle density to its lowest
EPSILON = 1e-9

Flow = tuple[str, str, int]  # home, zone, step


@functools.lru_cache(maxsize=sketch.DENSITY_STEPS)
def utility_of_step(step: int) -> float:
    """Return the utility per second of a core of work at a step; 0 at the lowest step."""
    return 1000 * sketch.MIN_DENSITY * STEP_MIDDLE * 2 ** (step / sketch.STEPS_PER_OCTAVE) if step else 0.0


@dataclass(slots=True, frozen=True)
class AllocationProblem:
    """A problem to solve. Pairs of home and zone that are not named retain all utility and have cost factor
    1.

    Attributes:
        demand: Work by home and density step, in cores.
        capacity: Cores of each zone.
        cross_zone_capacity: Cores of each zone that other homes may use.
        retained_utility: By home and zone, the part of the utility that remains after distance and failures.
        cost_factors: By home and zone, the cores that a core of the home's work needs there because of cold
            data.
        congested_capacity: Further cores of each zone, at a cost.
        congestion_cost: Cost of a congested core, in utility per second.
    """

    demand: Mapping[str, Mapping[int, float]]
    capacity: Mapping[str, float]
    cross_zone_capacity: Mapping[str, float]
    retained_utility: Mapping[tuple[str, str], float] = field(default_factory=dict)
    cost_factors: Mapping[tuple[str, str], float] = field(default_factory=dict)
    congested_capacity: Mapping[str, float] = field(default_factory=dict)
    congestion_cost: float = 0.0

    def utility(self, flow: Flow) -> float:
        """Return the utility per second of a core of this flow."""
        return utility_of_step(flow[2]) * self.retained_utility.get(flow[:2], 1.0)

    def open_zones(self, home: str) -> list[str]:
        """Return the zones that may serve a home's clients, in order of name."""
        return [zone for zone in sorted(self.capacity) if self._is_open(home, zone)]

    def _is_open(self, home: str, zone: str) -> bool:
        if self.capacity[zone] + self.congested_capacity.get(zone, 0.0) <= EPSILON:
            return False
        return zone == home or self.cross_zone_capacity.get(zone, 0.0) > EPSILON


@dataclass(slots=True, frozen=True)
class Allocation:
    """A solution of an allocation problem.

    Attributes:
        flows: Work by home, zone and step in cores, in this order.
        utility: Utility per second of these flows.
        upper_bound: Upper bound on the utility of any allocation.
    """

    flows: Mapping[Flow, float]
    utility: float
    upper_bound: float
