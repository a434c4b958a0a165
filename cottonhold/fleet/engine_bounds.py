"""Compute how much work this instance may send to each engine; does no I/O.

Zone failover, slow start and the failover plan each set upper bounds; the lowest one applies.
"""

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

MIN_CORES = 1e-9  # avoids a division by zero for a zone without cores

EngineCores = Mapping[str, Mapping[str, float]]  # zone -> engine -> cores


@dataclass(slots=True, frozen=True)
class EngineBounds:
    """Upper bounds of the work that may be sent to engines.

    Attributes:
        work_rates: Maximum work by engine, in ms of work for each ms of time. Other engines are unlimited.
        expires_at: Time at which the bounds expire, in ms.
    """

    work_rates: dict[str, float]
    expires_at: float


def is_warming_up(slow_start: SharedSlowStart | None) -> bool:
    """Return whether any engine is in slow start."""
    return slow_start is not None and slow_start.is_active


def zone_bounds(
    now: float,
    engines: EngineCores,
    evacuation: Evacuation,
    reports: Mapping[str, list[ZoneReport]],
    quotas: QuotaAccount,
    zone_numbers: Mapping[str, int],
) -> EngineBounds:
    """Return this instance's quotas of the zones that are evacuated or returning, as bounds of engines."""
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
    """Return the bounds, lowered to this instance's quota of warming engines."""
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
    """Return the bounds, lowered to those of the failover plan.

    In an outage the plan limits the work that this instance may send to other zones than its clients' own.
    While engines warm up in all zones, it also lowers the bounds to the work that is needed, in the order in
    which zones serve these clients.
    """
    work, remaining = bounds.work_rates, remaining_capacity(engines, evacuation, slow_start)
    if is_warming_up(slow_start) and remaining.keys() == engines.keys():
        work = cost.warmup_limits(now, work)
    # A single starting engine is no outage and must not change which zones an instance uses.
    is_outage = any(evacuation.traffic_share(zone) < 1.0 for zone in engines)
    work = _narrowed(work, cost.engine_limits(now, remaining if is_outage else {}))
    return EngineBounds(work, bounds.expires_at)


def remaining_capacity(
    engines: EngineCores, evacuation: Evacuation, slow_start: SharedSlowStart | None
) -> dict[str, float]:
    """Return, for each zone with reduced capacity, the share of its cores that the fleet may use now."""
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
    """Return the lower one of both bounds for each engine that has any."""
    narrowed = dict(work)
    for engine, limit in limits.items():
        narrowed[engine] = min(narrowed.get(engine, math.inf), limit)
    return narrowed
