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
from cottonhold.fleet.failover_cost.messages import SiteReport
from cottonhold.fleet.zone_failover.evacuation import lower_median
from cottonhold.fleet.zone_failover.messages import zone_number


@dataclass(slots=True, frozen=True)
class SnapshotSettings:
    """claim: part of all cores that one instance's demand counts for at most, its densest first; skew: and no
    more than so many times an even part of them. quorum: part of the live instances whose words it takes.
    trip: round trip in ms to a zone that nobody has measured."""

    max_claim_share: float = 0.6
    max_skew: float = 2.0
    quorum_share: float = 0.5
    default_round_trip_ms: float = 50.0


@dataclass(slots=True, frozen=True)
class ZoneSnapshot:
    """cores in all; engines; gives: part of the cores that work gets, 0 to 1; warm: a filter of data sets."""

    cores: float
    engine_count: int
    available_share: float = 1.0
    warm_filter: int = 0


@dataclass(frozen=True)
class HomeZone:
    """The clients of one zone. rates: cores by density step; mean: work of a request in ms; sets: parts of
    the work by number of data set; trips: ms to each zone; served: parts of what is served of it by zone, as
    things are now; empty if nobody knows."""

    rates: Mapping[int, float]
    mean_work_ms: float = 20.0
    data_set_shares: Mapping[int, float] = field(default_factory=dict)
    round_trips_ms: Mapping[str, float] = field(default_factory=dict)
    served_shares: Mapping[str, float] = field(default_factory=dict)

    @functools.cached_property
    def cores(self) -> float:
        """Of all steps, in cores."""
        return math.fsum(self.rates.values())

    @functools.cached_property
    def requests_per_second(self) -> float:
        """Requests a second."""
        return 1000 * self.cores / max(self.mean_work_ms, 1e-3)


@dataclass(slots=True, frozen=True)
class FleetSnapshot:
    """All of it, zones and homes by name, in order. cold: cores that all requests take now beyond what they
    were told to need; None where nobody knows."""

    zones: Mapping[str, ZoneSnapshot]
    homes: Mapping[str, HomeZone]
    excess_cores: float | None = None

    def total_demand(self) -> dict[int, float]:
        """Demand of all homes by step, in cores."""
        steps = sorted({step for home in self.homes.values() for step in home.rates})
        return {s: math.fsum(h.rates.get(s, 0.0) for h in self.homes.values()) for s in steps}


def take_snapshot(
    sites: Iterable[SiteReport],
    engines: Mapping[str, Mapping[str, float]],
    alive: int,
    gives: Mapping[str, float] | None = None,
    settings: SnapshotSettings | None = None,
) -> FleetSnapshot | None:
    """The picture; None where no more than `quorum` of the `alive` instances are told of.

    engines: cores by zone and engine, as the list has them. gives: by zone, what the fleet lets a zone have.
    """
    s, told = settings or SnapshotSettings(), sorted(sites, key=lambda site: site.member)
    cores = {zone: math.fsum(engines[zone].values()) for zone in sorted(engines)}
    if len(told) <= s.quorum_share * alive or not told:
        return None
    names = {zone_number(zone): zone for zone in cores}
    # Danger: uncapped, one that claims a hundred times its demand would move all the rest out of every plan.
    part = min(s.max_claim_share, s.max_skew / len(told))
    most = part * math.fsum(cores.values()) if len(told) > 2 else math.inf
    rates = {site.member: demand.merge_rates([site.rates], most) for site in told}
    by_home: dict[str, list[SiteReport]] = {}
    for site in told:
        by_home.setdefault(names.get(site.home_zone, f"#{site.home_zone}"), []).append(site)
    unheard = max(alive / len(told), 1.0)
    homes = {
        home: _home(
            by_home[home],
            rates,
            unheard,
            _trips(told, by_home[home][0].home_zone, list(cores), s.default_round_trip_ms),
            names,
        )
        for home in sorted(by_home)
    }
    zones = {
        zone: ZoneSnapshot(
            cores[zone],
            len(engines[zone]),
            (gives or {}).get(zone, 1.0),
            _warm(told, zone_number(zone)),
        )
        for zone in cores
    }
    # One that claims much counts for as much as its demand may.
    cold = [min(site.excess_cores, most) for site in told if site.excess_cores >= 0]
    return FleetSnapshot(zones, homes, math.fsum(cold) * alive / len(cold) if cold else None)


def _home(
    sites: list[SiteReport],
    rates: Mapping[int, Mapping[int, float]],
    unheard: float,
    trips: dict[str, float],
    names: Mapping[int, str],
) -> HomeZone:
    steps = sorted({step for site in sites for step in rates[site.member]})
    total = {s: math.fsum(rates[site.member].get(s, 0.0) for site in sites) * unheard for s in steps}
    work = {site.member: math.fsum(rates[site.member].values()) for site in sites}
    everything = math.fsum(work.values())
    sets = {}
    for number in sorted({b for site in sites for b in site.data_set_shares}):
        share = math.fsum(site.data_set_shares.get(number, 0.0) * work[site.member] for site in sites)
        sets[number] = share / everything if everything > 0 else 0.0
    served = {
        zone: math.fsum(site.zones[n].served_share * work[site.member] for site in sites if n in site.zones)
        for n, zone in names.items()
    }
    whole = math.fsum(served.values())
    parts = {zone: x / whole for zone, x in sorted(served.items()) if x > 0}
    return HomeZone(total, lower_median([site.mean_work_ms for site in sites]), sets, trips, parts)


def _trips(sites: list[SiteReport], home: int, zones: list[str], far: float) -> dict[str, float]:
    """Round trips from a home to each zone, by those at both ends.

    Danger: of two that live in a home one liar would say how far it is; with those at the other end there are
    three against it.
    """
    trips = {}
    for zone in zones:
        there = zone_number(zone)
        ends = ((home, there),) if home == there else ((home, there), (there, home))
        told = [
            s.zones[to].round_trip_ms for at, to in ends for s in sites if s.home_zone == at and to in s.zones
        ]
        trips[zone] = lower_median(told) if told else 0.0 if home == there else far
    return trips


def _warm(sites: list[SiteReport], number: int) -> int:
    """The data sets that are warm in a zone: two must have seen it, or one that lives there alone.

    Danger: by one word of anybody, a liar would make every zone look warm for all, and a move look free.
    """
    alone = sum(site.home_zone == number for site in sites) < 2
    own = once = twice = 0
    for site in sites:
        seen = site.zones[number].warm_filter if number in site.zones else 0
        own |= seen if alone and site.home_zone == number else 0
        once, twice = once | seen, twice | once & seen
    return own | twice if len(sites) > 2 else once
