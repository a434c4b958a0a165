"""Utilization of engines and the fleet, by load reports and by this gateway's own work in flight."""

from __future__ import annotations

import math

from cottonhold.scheduler import rate_estimation
from cottonhold.scheduler.engine_state import EngineView
from cottonhold.scheduler.gateway_state import GatewayState
from cottonhold.scheduler.parameters import (
    OUTRANK_MARGIN,
    OUTRANKED_WEIGHT,
    REPORT_MAX_AGE_MS,
    THREADS_PER_CORE,
)
from cottonhold.scheduler.settings import MemoryShortage

PRESSURE_RATE = 0.6  # work rate, as a share of the fleet's best, below which an engine is under pressure
PRESSURE_UTILIZATION = 0.9  # reported share of busy cores above which an engine is under pressure
MAX_REFUTABLE_USE = 2.0  # ratio of use to capacity above which a load report can't refute pressure
# Ratio of own to reported queries in flight above which a report is outdated; above 1 to allow for noise.
OUTDATED_FACTOR = 1.2
PRESSURE_DURATION_MS = 500.0  # duration of pressure after a rejection as overloaded or a wait for memory
IDLE_UTILIZATION = 0.8  # used share of the fleet up to which a query without utility delays no other


def is_under_pressure(gateway: GatewayState, engine: EngineView) -> bool:
    """Return whether the engine is under pressure, so that the limits of its capacity apply.

    Signs of pressure are a recent OVERLOADED or wait for memory, a low work rate, a load report with busy
    cores or a queue, and own work in flight beyond capacity. The last sign is needed as load reports lag, and
    as cores idle if the engine is short of memory. A load report with few queries refutes it, up to
    MAX_REFUTABLE_USE and unless the report is outdated.
    """
    now = gateway.now
    min_rate = PRESSURE_RATE * gateway.best_work_rate
    if now < engine.under_pressure_until or rate_estimation.work_rate(gateway, engine) < min_rate:
        return True
    report = engine.load_report if now - engine.load_report_at < REPORT_MAX_AGE_MS else {}
    if report.get("util", 0.0) > PRESSURE_UTILIZATION or report.get("queue", 0.0) > 0:
        return True
    used = _used_share(gateway, engine)
    is_outdated = report.get("inflight", math.inf) * OUTDATED_FACTOR < len(engine.in_flight)
    if used < 1 or used > MAX_REFUTABLE_USE or is_outdated:
        return used >= 1
    return _reported_queries(gateway, engine, report) > engine.cores


def _reported_queries(gateway: GatewayState, engine: EngineView, report: dict[str, float]) -> float:
    """Return the queries in flight by the engine's report, or estimated by its share of busy cores.

    Cores idle while an engine pages, so a report of half of the cores as busy does not show free capacity.
    """
    is_paging = gateway.settings.on_memory_shortage is MemoryShortage.PAGE
    full_utilization = 1 / THREADS_PER_CORE if is_paging else PRESSURE_UTILIZATION
    busy_cores = report.get("util", gateway.fleet_utilization) / full_utilization * engine.cores
    return report.get("inflight", busy_cores)


def _used_share(gateway: GatewayState, engine: EngineView) -> float:
    """Return the used share of this gateway's capacity on the engine, by its own and the peers' work."""
    peers = engine.peer_work(gateway.now, gateway.peer_sends_per_local)
    threads = (engine.threads_in_flight + peers.threads) / engine.local_thread_capacity
    memory = (engine.memory_in_flight_mb + peers.memory_mb) / engine.local_memory_capacity_mb
    unreported = 0.0
    if not gateway.has_work_reports:
        unreported = gateway.unobserved_share * fleet_used_share(gateway, gateway.fleet_utilization)
    return max(threads, memory) + unreported


def peer_work_weight(gateway: GatewayState, density: float) -> float:
    """Return the weight of the peers' work in flight for a query of this density.

    Work that the query outranks has the weight OUTRANKED_WEIGHT. As peers don't report densities, its part is
    assumed to be the same as in this gateway's own work in flight.
    """
    ahead = gateway.in_flight.on_admitted_engines.threads_not_outranked(density, OUTRANK_MARGIN)
    total = max(ahead, gateway.in_flight.threads)
    return OUTRANKED_WEIGHT + (1 - OUTRANKED_WEIGHT) * (ahead + 1) / (total + 1)


def fleet_used_share(gateway: GatewayState, reported: float) -> float:
    """Return the used share of the fleet: the reported share, or one extrapolated from own work if higher."""
    threads = gateway.in_flight.threads / gateway.fleet_thread_capacity
    memory = gateway.in_flight.memory_mb / gateway.fleet_memory_capacity_mb
    return max(reported, max(threads, memory) / gateway.traffic_share)
