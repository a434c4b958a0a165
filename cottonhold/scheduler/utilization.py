"""How full engines and the fleet are, by reports and by this gateway's own work out."""

from __future__ import annotations

import math

from cottonhold.scheduler import rate_estimation
from cottonhold.scheduler.gateway_state import GatewayState
from cottonhold.scheduler.parameters import ALPHA, PASSED, REPORT_FRESH_MS, THREADS_PER_CORE
from cottonhold.scheduler.settings import MemoryShortage
from cottonhold.scheduler.state import EngineView

PRESSED_RATE = 0.6  # of the fleet's best rate: a slower engine is under pressure
PRESSED_UTIL = 0.9  # reported share of cores busy that means pressure
USED_BEYOND_DENIAL = 2.0  # of the room: own work out that no report can deny
OUTDATED = 1.2  # own queries out for each reported that show a report to be late: it lags and is noisy
FULL_REST_MS = 500.0  # pressure holds so long after a full refusal or a wait for memory
IDLE_FILL = 0.8  # of the fleet in use: below it one that looks worthless costs no other, and looks deceive


def pressed(gateway: GatewayState, engine: EngineView) -> bool:
    """Whether the engine shows pressure, so that its room binds."""
    # Danger: reports lag, and a jammed engine's cores idle, so own work out is a sign too; others fill an
    # engine as own work fills the own part of the fleet. Its report may deny up to twice the room.
    now = gateway.now
    if now < engine.pressed_until or rate_estimation.rate(gateway, engine) < PRESSED_RATE * gateway.best:
        return True
    report = engine.report if now - engine.report_at < REPORT_FRESH_MS else {}
    if report.get("util", 0.0) > PRESSED_UTIL or report.get("queue", 0.0) > 0:
        return True
    used = _used(gateway, engine)
    # Danger: late reports told of 17 queries where 54 were out, and engines filled to twice their room.
    # One that holds fewer than this gateway alone has out there denies nothing.
    late = report.get("inflight", math.inf) * OUTDATED < len(engine.out)
    if used < 1 or used > USED_BEYOND_DENIAL or late:
        return used >= 1
    # Cores idle in a jam on memory: where engines page, half busy is no proof of room.
    pages = gateway.settings.on_memory_shortage is MemoryShortage.PAGE
    util_most = 1 / THREADS_PER_CORE if pages else PRESSED_UTIL
    busy_cores = report.get("util", gateway.util) / util_most * engine.cores
    return report.get("inflight", busy_cores) > engine.cores


def _used(gateway: GatewayState, engine: EngineView) -> float:
    """Part of this gateway's room on the engine that is in use, by its own work and what peers told."""
    others = engine.sum_told(gateway.now, gateway.alike)
    threads = (engine.threads_out + others.threads) / engine.own_room
    memory = (engine.memory_out + others.memory) / engine.own_memory
    unheard = 0.0 if gateway.heard else gateway.blind * fleet_fill(gateway, gateway.util)
    return max(threads, memory) + unheard


def not_passed(gateway: GatewayState, density: float) -> float:
    """Part of the work out on the fleet that holds such a query back, as own work out shows."""
    above = gateway.pool.sound.held_by(density, ALPHA)[0]
    return PASSED + (1 - PASSED) * (above + 1) / (max(above, gateway.pool.threads) + 1)


def fleet_fill(gateway: GatewayState, told: float) -> float:
    """Part of the fleet in use: what is told, or own work out over the own share if that is more."""
    pool = gateway.pool
    filled = max(pool.threads / gateway.full_room, pool.memory / gateway.full_memory)
    return max(told, filled / gateway.share)
