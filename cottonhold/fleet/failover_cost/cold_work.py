"""Estimates how much work on cold data an allocation causes, and for how long; does no I/O."""

from __future__ import annotations

import math
from collections.abc import Mapping

from cottonhold.fleet.failover_cost import cold_cache
from cottonhold.fleet.failover_cost.cost_settings import MIN_AMOUNT, CostSettings
from cottonhold.fleet.failover_cost.fleet_snapshot import MIN_WORK_MS, FleetSnapshot
from cottonhold.fleet.failover_cost.messages import is_warm

ZoneFlows = Mapping[tuple[str, str], float]  # work in cores by home and zone

COLD_SHARE = 0.1  # share of cold uses above which a zone is regarded as cold
ALL_DATA_SECONDS = 600.0  # time in which a home uses all of its data sets


def home_uses(snapshot: FleetSnapshot, home: str, share: float) -> dict[int, float]:
    """Return the uses per second of each data set by a part of a home's requests."""
    view = snapshot.homes[home]
    requests = view.requests_per_second * share
    return {number: requests * part for number, part in view.data_set_shares.items() if part > 0}


def zone_uses(snapshot: FleetSnapshot, flows: ZoneFlows, zone: str) -> dict[int, float]:
    """Return the uses per second of each data set in a zone, by the work that it serves."""
    rates_by_data_set = dict[int, list[float]]()
    for (home, serving), work in flows.items():
        if serving == zone:
            share = work / max(snapshot.homes[home].cores, MIN_AMOUNT)
            for number, rate in home_uses(snapshot, home, share).items():
                rates_by_data_set.setdefault(number, []).append(rate)
    return {number: math.fsum(rates) for number, rates in rates_by_data_set.items()}


def cold_share(snapshot: FleetSnapshot, home: str, zone: str, share: float, settings: CostSettings) -> float:
    """Return the share of cold data set accesses if a share of a home zone's work moved to another zone."""
    view, uses = snapshot.zones[zone], home_uses(snapshot, home, share)
    window = settings.window_ms / 1000
    total = snapshot.homes[home].requests_per_second * share * window
    if total <= 0:
        return 0.0
    cold = math.fsum(
        cold_cache.cold_uses(rate, view.engine_count, is_warm(view.warm_filter, number), window, math.inf)
        for number, rate in uses.items()
    )
    return min(cold / total, 1.0)


def cold_work_cores(snapshot: FleetSnapshot, flows: ZoneFlows, zone: str, settings: CostSettings) -> float:
    """Return the cores of cold work in a zone, as the mean over the window.

    It includes data sets that are not warm yet, and data sets evicted by others.
    """
    view, uses = snapshot.zones[zone], zone_uses(snapshot, flows, zone)
    eviction = cold_cache.seconds_until_evicted(uses.values(), view.engine_count, settings.cached_data_sets)
    window = settings.window_ms / 1000
    cold = math.fsum(
        cold_cache.cold_uses(rate, view.engine_count, is_warm(view.warm_filter, number), window, eviction)
        for number, rate in uses.items()
    )
    served = [(x, snapshot.homes[home].mean_work_ms) for (home, at), x in flows.items() if at == zone]
    requests = math.fsum(x / max(mean_work_ms, MIN_WORK_MS) for x, mean_work_ms in served)
    mean_work_ms = math.fsum(x for x, _ in served) / requests if requests > 0 else 0.0
    return cold * mean_work_ms * (settings.cold_factor - 1) / max(settings.window_ms, MIN_AMOUNT)


def warm_up_ms(snapshot: FleetSnapshot, moved: ZoneFlows) -> float:
    """Return the time until nine in ten of the moved uses are warm, in the slowest zone."""
    slowest = 0.0
    for zone in sorted({zone for _, zone in moved}):
        view, uses = snapshot.zones[zone], zone_uses(snapshot, moved, zone)
        cold = {number: rate for number, rate in uses.items() if not is_warm(view.warm_filter, number)}
        share = math.fsum(cold.values()) / max(math.fsum(uses.values()), MIN_AMOUNT)
        if share > COLD_SHARE:
            seconds = cold_cache.seconds_until_warm(cold, view.engine_count, COLD_SHARE / share)
            slowest = max(slowest, 1000 * seconds)
    return slowest


def home_warm_up_ms(snapshot: FleetSnapshot, zone: str) -> float:
    """Return the time until nine in ten uses of a zone's own clients are warm there, if it starts cold."""
    uses = home_uses(snapshot, zone, 1.0)
    return 1000 * cold_cache.seconds_until_warm(uses, snapshot.zones[zone].engine_count)


def home_cold_work_ms(snapshot: FleetSnapshot, zone: str, settings: CostSettings) -> float:
    """Return the cold work to warm a zone for its own clients: each data set is cold once in each engine."""
    engines = snapshot.zones[zone].engine_count
    cold = math.fsum(
        cold_cache.cold_uses(rate, engines, False, ALL_DATA_SECONDS, math.inf)
        for rate in home_uses(snapshot, zone, 1.0).values()
    )
    return cold * snapshot.homes[zone].mean_work_ms * (settings.cold_factor - 1)
