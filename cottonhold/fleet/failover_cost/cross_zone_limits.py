"""How much one instance may send to zones that are not its clients' own, while something is out. Pure.

Each instance takes its part by its own demand, which nobody else counts: so two instances of one home never
both take the whole of what the plan gives that home. Work is in cores.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

MIN_WORK_RATE = 1e-6  # no bound is nothing: that would mean that the fleet has left the engine


@dataclass(slots=True, frozen=True)
class CrossZoneSettings:
    """slack: that much more than the plan says may go to a zone. spill: and that part of what the plan leaves
    free there. fails: so many attempts failed in a row tell that an engine is gone; warm: so long, in ms, it
    may be cold once it is back; cold: part of its cores that all guests together may send it then."""

    slack: float = 0.25
    spill_share: float = 0.5
    min_share: float = 0.3
    failures_until_unstable: int = 3
    warm_up_ms: float = 15_000.0
    cold_share: float = 0.15


@dataclass(slots=True, frozen=True)
class OutageAllocation:
    """What a plan says of now. demand: by home. flows: by home and zone. rights: by zone, what guests may
    take there; room: what is left free there."""

    demand: Mapping[str, float]
    flows: Mapping[tuple[str, str], float]
    cross_zone_capacity: Mapping[str, float]
    free_cores: Mapping[str, float]

    def served_share(self, home: str) -> float:
        """Part of a home's work that is let in."""
        # Danger: the price is one for all homes. By what the plan serves of this home alone, which is less
        # where its zone is out, a third of what was let in had no place to go to.
        own = math.fsum(x for (h, _), x in self.flows.items() if h == home)
        every = math.fsum(self.flows.values()) / max(math.fsum(self.demand.values()), 1e-9)
        return min(max(own / max(self.demand.get(home, 0.0), 1e-9), every), 1.0)


def cross_zone_work(
    home: str,
    shares: Mapping[str, float],
    mine: float,
    scene: OutageAllocation,
    away: bool,
    settings: CrossZoneSettings | None = None,
) -> dict[str, float]:
    """By zone the work that an instance may send there; its own zone is not named, nor any if it has no work.

    shares: parts of its home's served work by zone. mine: its own demand now. away: its own zone is left, so
    all of its work has to find its place elsewhere.
    """
    s = settings or CrossZoneSettings()
    need = mine * scene.served_share(home) * (1 + s.slack)
    if need <= 0:
        return {}
    total = max(math.fsum(scene.demand.values()), mine)
    part = min(mine / max(scene.demand.get(home, 0.0), 1e-9), 1.0)
    most, found = dict[str, float](), dict[str, float]()
    for zone, rights in scene.cross_zone_capacity.items():
        if zone != home:
            most[zone] = _right(home, zone, rights, mine, part, scene)
            spill = s.spill_share * scene.free_cores.get(zone, 0.0) * mine / total
            found[zone] = min(shares.get(zone, 0.0) * need + spill, most[zone])
    # Danger: cut to what guests may take in each zone, the parts added up to less than the demand, and work
    # was held back that had a place in another zone.
    lacking = need - math.fsum(found.values()) if away else 0.0
    free = {zone: most[zone] - x for zone, x in found.items()}
    spare = math.fsum(free.values())
    if lacking > 0 and spare > 0:
        found = {zone: x + free[zone] * min(lacking / spare, 1.0) for zone, x in found.items()}
    return {zone: max(x, MIN_WORK_RATE) for zone, x in found.items()}


def _right(home: str, zone: str, rights: float, mine: float, part: float, scene: OutageAllocation) -> float:
    """What an instance's clients may take of a zone: its part of the plan, and by demand of what guests have
    left there."""
    guests = math.fsum(x for (h, z), x in scene.flows.items() if z == zone and h != zone)
    others = math.fsum(x for h, x in scene.demand.items() if h != zone)
    free = max(rights - guests, 0.0) * mine / max(others, mine)
    return scene.flows.get((home, zone), 0.0) * part + free


@dataclass(slots=True)
class UnstableEngines:
    """Engines that may have just started, by what was heard of them."""

    settings: CrossZoneSettings = field(default_factory=CrossZoneSettings)
    failures: dict[str, int] = field(default_factory=dict)  # attempts in a row
    unreachable_at: dict[str, float] = field(default_factory=dict)  # when it was last known to be gone

    def on_result(self, now: float, engine: str, good: bool) -> None:
        """An attempt, or a probe, has ended."""
        self.failures[engine] = 0 if good else self.failures.get(engine, 0) + 1
        if self.failures[engine] >= self.settings.failures_until_unstable:
            self.unreachable_at[engine] = now

    def set_engines(self, engines: Iterable[str]) -> None:
        """Exactly these are there."""
        there = set(engines)
        self.failures = {engine: n for engine, n in self.failures.items() if engine in there}
        self.unreachable_at = {engine: at for engine, at in self.unreachable_at.items() if engine in there}

    def __call__(self, now: float, engine: str) -> bool:
        """Whether an engine may be cold."""
        return now - self.unreachable_at.get(engine, -math.inf) < self.settings.warm_up_ms


def divide_among_engines(
    work: float, there: Mapping[str, float], shaky: Iterable[str], ours: float, s: CrossZoneSettings
) -> dict[str, float]:
    """A zone's part by engine. there: cores of each; shaky: may be cold; ours: this instance's part of all
    demand."""
    # Danger: an engine under a bound is not held to the module's cold budget. With the bound of a warm one
    # it was pushed over as soon as it was back.
    # Danger: on a busy machine all engines of a zone missed three probes in a row, and their guests were held
    # to one query a second. More than half at once is more likely the observer.
    few = [engine for engine in shaky if engine in there]
    few = few if 2 * len(few) <= len(there) else []
    cold = {engine: min(s.cold_share * there[engine] * ours, work) for engine in few}
    sound = math.fsum(cores for engine, cores in there.items() if engine not in cold)
    left = max(work - math.fsum(cold.values()), 0.0)
    return {
        engine: max(cold[engine] if engine in cold else left * cores / sound, MIN_WORK_RATE)
        for engine, cores in there.items()
    }


def fill_in_order(
    order: Iterable[str], need: float, most: Mapping[str, float], settings: CrossZoneSettings | None = None
) -> dict[str, float]:
    """By zone, the part of what an instance may send there that it uses, so that zones first in the order are
    filled first. need: its work; most: what it may send."""
    # Danger: held back where all together are less than the work, the first seconds would serve yet less. So
    # nothing is, before the zones that come first can take all.
    s, found = settings or CrossZoneSettings(), dict.fromkeys(most, 1.0)
    left = need * (1 + s.slack)
    for zone in dict.fromkeys([*order, *sorted(most)]):
        if most.get(zone, 0.0) > 0:
            found[zone] = max(min(left / most[zone], 1.0), s.min_share)
            left = max(left - most[zone], 0.0)
    return found
