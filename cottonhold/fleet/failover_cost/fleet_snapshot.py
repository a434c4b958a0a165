"""The fleet as all that was told of it gives it: homes with their demand, zones with what they give. Pure.

All that have the same words have the same picture, to the bit, in whatever order they heard them: sums are
exact ones (`fsum`) over sorted members, and where one value counts it is the lower middle of those told.
What one instance tells is capped: see `PictureSettings`.
"""

from __future__ import annotations

import functools
import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from cottonhold.fleet.admission import demand
from cottonhold.fleet.failover_cost.messages import Site
from cottonhold.fleet.zone_failover.evacuation import lower_middle
from cottonhold.fleet.zone_failover.messages import zone_number


@dataclass(slots=True, frozen=True)
class PictureSettings:
    """claim: part of all cores that one instance's demand counts for at most, its densest first; skew: and no
    more than so many times an even part of them. quorum: part of the live instances whose words it takes.
    trip: round trip in ms to a zone that nobody has measured."""

    claim: float = 0.6
    skew: float = 2.0
    quorum: float = 0.5
    trip: float = 50.0


@dataclass(slots=True, frozen=True)
class ZoneView:
    """cores in all; engines; gives: part of the cores that work gets, 0 to 1; warm: a filter of data sets."""

    cores: float
    engines: int
    gives: float = 1.0
    warm: int = 0


@dataclass(frozen=True)
class Home:
    """The clients of one zone. rates: cores by density step; mean: work of a request in ms; sets: parts of
    the work by number of data set; trips: ms to each zone; served: parts of what is served of it by zone, as
    things are now; empty if nobody knows."""

    rates: Mapping[int, float]
    mean: float = 20.0
    sets: Mapping[int, float] = field(default_factory=dict)
    trips: Mapping[str, float] = field(default_factory=dict)
    served: Mapping[str, float] = field(default_factory=dict)

    @functools.cached_property
    def work(self) -> float:
        """Of all steps, in cores."""
        return math.fsum(self.rates.values())

    @functools.cached_property
    def calls(self) -> float:
        """Requests a second."""
        return 1000 * self.work / max(self.mean, 1e-3)


@dataclass(slots=True, frozen=True)
class Picture:
    """All of it, zones and homes by name, in order. cold: cores that all requests take now beyond what they
    were told to need; None where nobody knows."""

    zones: Mapping[str, ZoneView]
    homes: Mapping[str, Home]
    cold: float | None = None

    def total(self) -> dict[int, float]:
        """Demand of all homes by step, in cores."""
        steps = sorted({step for home in self.homes.values() for step in home.rates})
        return {s: math.fsum(h.rates.get(s, 0.0) for h in self.homes.values()) for s in steps}


def draw(
    sites: Iterable[Site],
    engines: Mapping[str, Mapping[str, float]],
    alive: int,
    gives: Mapping[str, float] | None = None,
    settings: PictureSettings | None = None,
) -> Picture | None:
    """The picture; None where no more than `quorum` of the `alive` instances are told of.

    engines: cores by zone and engine, as the list has them. gives: by zone, what the fleet lets a zone have.
    """
    s, told = settings or PictureSettings(), sorted(sites, key=lambda site: site.member)
    cores = {zone: math.fsum(engines[zone].values()) for zone in sorted(engines)}
    if len(told) <= s.quorum * alive or not told:
        return None
    names = {zone_number(zone): zone for zone in cores}
    # Danger: uncapped, one that claims a hundred times its demand would move all the rest out of every plan.
    part = min(s.claim, s.skew / len(told))
    most = part * math.fsum(cores.values()) if len(told) > 2 else math.inf
    rates = {site.member: demand.merge([site.rates], most) for site in told}
    by_home: dict[str, list[Site]] = {}
    for site in told:
        by_home.setdefault(names.get(site.home, f"#{site.home}"), []).append(site)
    unheard = max(alive / len(told), 1.0)
    homes = {
        home: _home(
            by_home[home], rates, unheard, _trips(told, by_home[home][0].home, list(cores), s.trip), names
        )
        for home in sorted(by_home)
    }
    zones = {
        zone: ZoneView(
            cores[zone],
            len(engines[zone]),
            (gives or {}).get(zone, 1.0),
            _warm(told, zone_number(zone)),
        )
        for zone in cores
    }
    # One that claims much counts for as much as its demand may.
    cold = [min(site.cold, most) for site in told if site.cold >= 0]
    return Picture(zones, homes, math.fsum(cold) * alive / len(cold) if cold else None)


def _home(
    sites: list[Site],
    rates: Mapping[int, Mapping[int, float]],
    unheard: float,
    trips: dict[str, float],
    names: Mapping[int, str],
) -> Home:
    steps = sorted({step for site in sites for step in rates[site.member]})
    total = {s: math.fsum(rates[site.member].get(s, 0.0) for site in sites) * unheard for s in steps}
    work = {site.member: math.fsum(rates[site.member].values()) for site in sites}
    everything = math.fsum(work.values())
    sets = {}
    for number in sorted({b for site in sites for b in site.sets}):
        share = math.fsum(site.sets.get(number, 0.0) * work[site.member] for site in sites)
        sets[number] = share / everything if everything > 0 else 0.0
    served = {
        zone: math.fsum(site.zones[n].served * work[site.member] for site in sites if n in site.zones)
        for n, zone in names.items()
    }
    whole = math.fsum(served.values())
    parts = {zone: x / whole for zone, x in sorted(served.items()) if x > 0}
    return Home(total, lower_middle([site.mean for site in sites]), sets, trips, parts)


def _trips(sites: list[Site], home: int, zones: list[str], far: float) -> dict[str, float]:
    """Round trips from a home to each zone, by those at both ends.

    Danger: of two that live in a home one liar would say how far it is; with those at the other end there are
    three against it.
    """
    trips = {}
    for zone in zones:
        there = zone_number(zone)
        ends = ((home, there),) if home == there else ((home, there), (there, home))
        told = [s.zones[to].trip for at, to in ends for s in sites if s.home == at and to in s.zones]
        trips[zone] = lower_middle(told) if told else 0.0 if home == there else far
    return trips


def _warm(sites: list[Site], number: int) -> int:
    """The data sets that are warm in a zone: two must have seen it, or one that lives there alone.

    Danger: by one word of anybody, a liar would make every zone look warm for all, and a move look free.
    """
    alone = sum(site.home == number for site in sites) < 2
    own = once = twice = 0
    for site in sites:
        seen = site.zones[number].warm if number in site.zones else 0
        own |= seen if alone and site.home == number else 0
        once, twice = once | seen, twice | once & seen
    return own | twice if len(sites) > 2 else once
