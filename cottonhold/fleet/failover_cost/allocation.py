"""Which zones serve which clients, so that the utility is highest: a small linear program, solved here. Pure.

    x[home, zone, step]: work of clients at `home`, of a density step, that `zone` serves, in cores
    maximize   sum x * utility(step) * retained[home, zone] - sum e * congestion cost
    demand     sum over zones of x[home, ., step]                     <= demand[home, step]
    capacity   sum over homes and steps of x * cost factor[home, zone] <= capacity[zone] + e[zone]
    congested  e[zone] <= congested capacity[zone], at a cost a core, since queues grow there
    cross-zone the same as capacity, of other homes' clients alone     <= cross-zone capacity[zone]

Solved by column generation (Dantzig and Wolfe): given shadow prices of capacity, each home answers alone with
the best zone for each step; a revised simplex mixes such answers. It has three rows a zone and one a home,
however many steps there are, and no random or unordered part: the same problem has the same solution, to the
bit, everywhere. `allocation_reference.py` is what it is checked against.
"""

from __future__ import annotations

import functools
from collections.abc import Mapping
from dataclasses import dataclass, field

from cottonhold.fleet.admission import demand as sketch

STEP_MIDDLE = 2 ** (0.5 / sketch.STEPS_PER_OCTAVE)  # a step's middle over its lowest density
EPSILON = 1e-9

Flow = tuple[str, str, int]  # home, zone, step


@functools.lru_cache(maxsize=sketch.DENSITY_STEPS)
def utility_of_step(step: int) -> float:
    """Utility a second of a core of work at a step; nothing at the lowest one."""
    return 1000 * sketch.MIN_DENSITY * STEP_MIDDLE * 2 ** (step / sketch.STEPS_PER_OCTAVE) if step else 0.0


@dataclass(slots=True, frozen=True)
class AllocationProblem:
    """demand: cores by home and step. By zone, in cores: capacity; cross_zone_capacity: what other homes may
    take; congested_capacity: on top, each core at a cost of `congestion_cost` in utility a second. By home
    and zone: retained_utility: part that remains after distance and failures; cost_factors: cores that a core
    of the home's work takes there, by cold data. Pairs that are not named retain all and cost one.
    """

    demand: Mapping[str, Mapping[int, float]]
    capacity: Mapping[str, float]
    cross_zone_capacity: Mapping[str, float]
    retained_utility: Mapping[tuple[str, str], float] = field(default_factory=dict)
    cost_factors: Mapping[tuple[str, str], float] = field(default_factory=dict)
    congested_capacity: Mapping[str, float] = field(default_factory=dict)
    congestion_cost: float = 0.0

    def utility(self, flow: Flow) -> float:
        """Utility a second of a core of this flow."""
        return utility_of_step(flow[2]) * self.retained_utility.get(flow[:2], 1.0)

    def open_zones(self, home: str) -> list[str]:
        """Zones that may serve a home's clients, in order."""
        return [zone for zone in sorted(self.capacity) if self._is_open(home, zone)]

    def _is_open(self, home: str, zone: str) -> bool:
        if self.capacity[zone] + self.congested_capacity.get(zone, 0.0) <= EPSILON:
            return False
        return zone == home or self.cross_zone_capacity.get(zone, 0.0) > EPSILON


@dataclass(slots=True, frozen=True)
class Allocation:
    """flows: work in cores, in order; utility: what it brings a second; upper_bound: no allocation brings
    more."""

    flows: Mapping[Flow, float]
    utility: float
    upper_bound: float
