"""How full engines and the fleet are, by load reports and by this gateway's own work in flight."""

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

PRESSURE_RATE = 0.6  # of the fleet's best rate: a slower engine is under pressure
PRESSURE_UTILIZATION = 0.9  # reported share of cores busy that means pressure
MAX_DENIABLE_USE = 2.0  # of the capacity: no report can deny more own work in flight
OUTDATED_FACTOR = 1.2  # own queries in flight for each reported that show a report to lag; it is noisy too
PRESSURE_HOLD_MS = 500.0  # pressure holds so long after a rejection as overloaded or a wait for memory
IDLE_UTILIZATION = 0.8  # of the fleet: below it a query without utility takes no other's capacity


def is_under_pressure(gateway: GatewayState, engine: EngineView) -> bool:
    """Whether the engine shows pressure, so that its capacity binds.

    Signs are a slow rate, a busy report, and own work in flight, as reports lag and the cores of an engine
    that is short of memory idle. Its report may deny the last sign up to MAX_DENIABLE_USE, unless it lags.
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
    if used < 1 or used > MAX_DENIABLE_USE or is_outdated:
        return used >= 1
    return _reported_queries(gateway, engine, report) > engine.cores


def _reported_queries(gateway: GatewayState, engine: EngineView, report: dict[str, float]) -> float:
    """Queries in flight by the engine's report, else guessed from the share of cores busy.

    Where engines page, cores idle while they do, so that half busy is no proof of free capacity.
    """
    is_paging = gateway.settings.on_memory_shortage is MemoryShortage.PAGE
    full_utilization = 1 / THREADS_PER_CORE if is_paging else PRESSURE_UTILIZATION
    busy_cores = report.get("util", gateway.fleet_utilization) / full_utilization * engine.cores
    return report.get("inflight", busy_cores)


def _used_share(gateway: GatewayState, engine: EngineView) -> float:
    """Share of this gateway's capacity on the engine in use, by its own work and what peers reported."""
    peers = engine.peer_load(gateway.now, gateway.peer_sends_per_local)
    threads = (engine.threads_in_flight + peers.threads) / engine.local_thread_capacity
    memory = (engine.memory_in_flight_mb + peers.memory_mb) / engine.local_memory_capacity_mb
    unreported = 0.0
    if not gateway.has_peer_loads:
        unreported = gateway.unobserved_share * fleet_used_share(gateway, gateway.fleet_utilization)
    return max(threads, memory) + unreported


def blocking_share(gateway: GatewayState, density: float) -> float:
    """Weight of the peers' work in flight before a query of this density: what it outranks counts in part.

    How much it outranks is taken from this gateway's own work in flight.
    """
    ahead = gateway.in_flight.on_admitted_engines.threads_not_outranked(density, OUTRANK_MARGIN)
    total = max(ahead, gateway.in_flight.threads)
    return OUTRANKED_WEIGHT + (1 - OUTRANKED_WEIGHT) * (ahead + 1) / (total + 1)


def fleet_used_share(gateway: GatewayState, reported: float) -> float:
    """Share of the fleet in use: as reported, or own work in flight over the local share if that is more."""
    threads = gateway.in_flight.threads / gateway.fleet_thread_capacity
    memory = gateway.in_flight.memory_mb / gateway.fleet_memory_capacity_mb
    return max(reported, max(threads, memory) / gateway.traffic_share)
