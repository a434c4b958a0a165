"""The fleet as all reports together describe it: homes with their demand, zones with their capacity;
does no I/O.

A home is a zone in its role as the location of clients, whose work this zone or other zones may serve. All
instances with the same reports have the same snapshot, to the bit, in whatever order the reports arrived:
sums are exact (`fsum`) over sorted members, and a single value is the lower median of those reported. The
claims of one instance are capped (see SnapshotSettings).
"""

from __future__ import annotations

import functools
import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from cottonhold.fleet.admission import demand
from cottonhold.fleet.failover_cost.messages import SiteReport
from cottonhold.fleet.zone_failover.attempt_pool import lower_median
from cottonhold.fleet.zone_failover.messages import zone_number

MIN_WORK_MS = 1e-3  # lower limit of the mean work of a request; keeps the computed request rate finite


@dataclass(slots=True, frozen=True)
class SnapshotSettings:
    """Settings of snapshots.

    Attributes:
        max_claim_share: Maximum demand of one instance that is included, as a part of all cores; its densest
            work is kept.
        max_skew: The same maximum as a multiple of an even part for each instance.
        quorum_share: A snapshot needs the reports of more than this part of the live instances.
        default_round_trip_ms: Round trip to a zone that nobody has measured.
    """

    max_claim_share: float = 0.6
    max_skew: float = 2.0
    quorum_share: float = 0.5
    default_round_trip_ms: float = 50.0


@dataclass(slots=True, frozen=True)
class ZoneSnapshot:
    """The capacity of one zone.

    Attributes:
        cores: All cores of its engines.
        engine_count: Number of its engines.
        available_share: Part of the cores that may be used, from 0 to 1.
        warm_filter: Bloom filter of the data sets that are warm there.
    """

    cores: float
    engine_count: int
    available_share: float = 1.0
    warm_filter: int = 0


@dataclass(frozen=True)
class HomeZone:
    """The clients of one zone.

    Attributes:
        rates: Their work by density step, in cores.
        mean_work_ms: Mean work of a request.
        data_set_shares: Parts of the work by number of data set.
        round_trips_ms: Round trip to each zone.
        served_shares: Parts of the work served now, by zone; empty if unknown.
    """

    rates: Mapping[int, float]
    mean_work_ms: float = 20.0
    data_set_shares: Mapping[int, float] = field(default_factory=dict)
    round_trips_ms: Mapping[str, float] = field(default_factory=dict)
    served_shares: Mapping[str, float] = field(default_factory=dict)

    @functools.cached_property
    def cores(self) -> float:
        """Return the work of all steps, in cores."""
        return math.fsum(self.rates.values())

    @functools.cached_property
    def requests_per_second(self) -> float:
        """Return the rate of requests, estimated from their mean work."""
        return 1000 * self.cores / max(self.mean_work_ms, MIN_WORK_MS)


@dataclass(slots=True, frozen=True)
class FleetSnapshot:
    """The fleet at one time.

    Attributes:
        zones: The zones by name, in order.
        homes: The homes by name, in order.
        excess_cores: Cores that all requests use now beyond the estimates; None if unknown.
    """

    zones: Mapping[str, ZoneSnapshot]
    homes: Mapping[str, HomeZone]
    excess_cores: float | None = None

    def total_demand(self) -> dict[int, float]:
        """Return the demand of all homes by step, in cores."""
        steps = sorted({step for home in self.homes.values() for step in home.rates})
        return {s: math.fsum(h.rates.get(s, 0.0) for h in self.homes.values()) for s in steps}


def take_snapshot(
    reports: Iterable[SiteReport],
    engines: Mapping[str, Mapping[str, float]],
    live_count: int,
    available_shares: Mapping[str, float] | None = None,
    settings: SnapshotSettings | None = None,
) -> FleetSnapshot | None:
    """Return a snapshot; None unless more than `quorum_share` of the `live_count` instances report.

    The claims of one instance are capped, since an exaggerated demand would displace all others in every
    plan.

    Args:
        reports: One report of each instance.
        engines: Cores by zone and engine, according to the list.
        live_count: Number of live instances.
        available_shares: The usable part of each zone; zones that are not named are fully usable.
        settings: Settings of snapshots.
    """
    s, sites = settings or SnapshotSettings(), sorted(reports, key=lambda site: site.member)
    if len(sites) <= s.quorum_share * live_count or not sites:
        return None
    cores = {zone: math.fsum(engines[zone].values()) for zone in sorted(engines)}
    max_share = min(s.max_claim_share, s.max_skew / len(sites))
    max_cores = max_share * math.fsum(cores.values()) if len(sites) > 2 else math.inf
    zones = {
        zone: ZoneSnapshot(
            cores[zone],
            len(engines[zone]),
            (available_shares or {}).get(zone, 1.0),
            _warm_filter(sites, zone_number(zone)),
        )
        for zone in cores
    }
    excess = [min(site.excess_cores, max_cores) for site in sites if site.excess_cores >= 0]
    excess_cores = math.fsum(excess) * live_count / len(excess) if excess else None
    return FleetSnapshot(zones, _homes(sites, list(cores), max_cores, live_count, s), excess_cores)


def _homes(
    sites: list[SiteReport], zones: list[str], max_cores: float, live_count: int, settings: SnapshotSettings
) -> dict[str, HomeZone]:
    """Return all homes by name, in order; one in a zone that isn't listed is named by its number."""
    zone_names = {zone_number(zone): zone for zone in zones}
    rates = {site.member: demand.merge_rates([site.rates], max_cores) for site in sites}
    by_home: dict[str, list[SiteReport]] = {}
    for site in sites:
        by_home.setdefault(zone_names.get(site.home_zone, f"#{site.home_zone}"), []).append(site)
    extrapolation_factor = max(live_count / len(sites), 1.0)
    homes = {}
    for home in sorted(by_home):
        round_trips = _round_trips(sites, by_home[home][0].home_zone, zones, settings.default_round_trip_ms)
        homes[home] = _home(by_home[home], rates, extrapolation_factor, round_trips, zone_names)
    return homes


def _home(
    sites: list[SiteReport],
    rates: Mapping[int, Mapping[int, float]],
    extrapolation_factor: float,
    round_trips_ms: dict[str, float],
    zone_names: Mapping[int, str],
) -> HomeZone:
    """Combine the reports of a home zone's instances into the state of that zone.

    Args:
        sites: The reports of the instances in the zone, one for each instance.
        rates: By member, the work that its clients request by step of utility density, limited for each
            member.
        extrapolation_factor: Number of instances for each one that reported.
        round_trips_ms: Round trip to each zone.
        zone_names: Name of each zone, by number.
    """
    steps = sorted({step for site in sites for step in rates[site.member]})
    total = {
        step: math.fsum(rates[site.member].get(step, 0.0) for site in sites) * extrapolation_factor
        for step in steps
    }
    work = {site.member: math.fsum(rates[site.member].values()) for site in sites}
    all_work = math.fsum(work.values())
    data_sets = {}
    for number in sorted({number for site in sites for number in site.data_set_shares}):
        used = math.fsum(site.data_set_shares.get(number, 0.0) * work[site.member] for site in sites)
        data_sets[number] = used / all_work if all_work > 0 else 0.0
    served = {
        zone: math.fsum(
            site.zones[number].served_share * work[site.member] for site in sites if number in site.zones
        )
        for number, zone in zone_names.items()
    }
    all_served = math.fsum(served.values())
    served_shares = {zone: cores / all_served for zone, cores in sorted(served.items()) if cores > 0}
    mean_work_ms = lower_median([site.mean_work_ms for site in sites])
    return HomeZone(total, mean_work_ms, data_sets, round_trips_ms, served_shares)


def _round_trips(sites: list[SiteReport], home: int, zones: list[str], default_ms: float) -> dict[str, float]:
    """Return the round trip from a home to each zone, from the reports of both ends. Of two instances in a
    home a single faulty one could otherwise determine the distance."""
    round_trips = {}
    for zone in zones:
        zone_id = zone_number(zone)
        ends = ((home, zone_id),) if home == zone_id else ((home, zone_id), (zone_id, home))
        reported = [
            site.zones[to].round_trip_ms
            for at, to in ends
            for site in sites
            if site.home_zone == at and to in site.zones
        ]
        unmeasured = 0.0 if home == zone_id else default_ms
        round_trips[zone] = lower_median(reported) if reported else unmeasured
    return round_trips


def _warm_filter(sites: list[SiteReport], number: int) -> int:
    """Return a filter of the data sets that are warm in a zone.

    Two instances must have reported a data set, or the only instance in that zone, so that a single faulty
    one can't make every zone look warm.
    """
    is_alone = sum(site.home_zone == number for site in sites) < 2
    local_filter = reported_once = reported_twice = 0
    for site in sites:
        reported = site.zones[number].warm_filter if number in site.zones else 0
        local_filter |= reported if is_alone and site.home_zone == number else 0
        reported_once, reported_twice = reported_once | reported, reported_twice | reported_once & reported
    return local_filter | reported_twice if len(sites) > 2 else reported_once
