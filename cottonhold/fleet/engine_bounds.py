"""How much work this instance may send to engines. Pure.

Zone failover, slow start and the failover plan each bound it; the lowest bound counts."""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass

from cottonhold.fleet.failover_cost.estimator import CostEstimator
from cottonhold.fleet.recovery.shared_slow_start import SharedSlowStart
from cottonhold.fleet.recovery.slow_start_settings import WARMUP_BUDGET
from cottonhold.fleet.zone_failover.evacuation import Evacuation
from cottonhold.fleet.zone_failover.messages import ZoneReport
from cottonhold.fleet.zone_failover.quota_lending import QuotaAccount

MIN_CORES = 1e-9  # keeps a zone without cores from dividing by nothing

EngineCores = Mapping[str, Mapping[str, float]]  # zone -> engine -> cores


@dataclass(slots=True, frozen=True)
class EngineBounds:
    """What may be sent to engines until `expires_at`, as work in ms a ms; engines not named are free."""

    work_rates: dict[str, float]
    expires_at: float


def is_warming_up(slow_start: SharedSlowStart | None) -> bool:
    """Whether any engine is under slow start."""
    return slow_start is not None and slow_start.is_active


def zone_bounds(
    now: float,
    engines: EngineCores,
    evacuation: Evacuation,
    reports: Mapping[str, list[ZoneReport]],
    quotas: QuotaAccount,
    zone_numbers: Mapping[str, int],
) -> EngineBounds:
    """This instance's quota of each zone that is evacuated or returning."""
    work, expires_at = dict[str, float](), math.inf
    for zone, cores_by_engine in engines.items():
        traffic_share = evacuation.traffic_share(zone, reports[zone])
        if traffic_share >= 1.0:
            continue
        quota = 0.0
        if traffic_share:
            usable = quotas.usable(now, zone_numbers[zone])
            quota, expires_at = usable.share, min(expires_at, usable.expires_at)
        work |= {engine: cores * traffic_share * quota for engine, cores in cores_by_engine.items()}
    return EngineBounds(work, expires_at)


def add_warmup_bounds(
    now: float, bounds: EngineBounds, slow_start: SharedSlowStart, quotas: QuotaAccount
) -> EngineBounds:
    """Bounds narrowed by this instance's quota of engines that warm up."""
    usable = quotas.usable(now, WARMUP_BUDGET)
    work = _narrowed(bounds.work_rates, slow_start.work_limits(usable.share))
    return EngineBounds(work, min(bounds.expires_at, usable.expires_at))


def add_cross_zone_bounds(
    now: float,
    bounds: EngineBounds,
    engines: EngineCores,
    evacuation: Evacuation,
    slow_start: SharedSlowStart | None,
    cost: CostEstimator,
) -> EngineBounds:
    """Bounds narrowed by the failover plan: where clients are served first, and by which other zones."""
    work, remaining = bounds.work_rates, remaining_capacity(engines, evacuation, slow_start)
    if is_warming_up(slow_start) and remaining.keys() == engines.keys():
        work = cost.warmup_limits(now, work)
    # A single engine that starts is no outage, and changes no instance's choice of zones.
    is_outage = any(evacuation.traffic_share(zone) < 1.0 for zone in engines)
    work = _narrowed(work, cost.engine_limits(now, remaining if is_outage else {}))
    return EngineBounds(work, bounds.expires_at)


def remaining_capacity(
    engines: EngineCores, evacuation: Evacuation, slow_start: SharedSlowStart | None
) -> dict[str, float]:
    """By zone that has less than all, the part of its cores that the fleet may use now."""
    remaining = {}
    for zone, cores_by_engine in engines.items():
        part = evacuation.traffic_share(zone)
        if slow_start is not None and slow_start.is_active:
            usable = sum(cores * slow_start.share(engine) for engine, cores in cores_by_engine.items())
            part = min(part, usable / max(sum(cores_by_engine.values()), MIN_CORES))
        if part < 1.0:
            remaining[zone] = part
    return remaining


def _narrowed(work: Mapping[str, float], limits: Mapping[str, float]) -> dict[str, float]:
    """The lower of both for each engine that either names."""
    narrowed = dict(work)
    for engine, limit in limits.items():
        narrowed[engine] = min(narrowed.get(engine, math.inf), limit)
    return narrowed
