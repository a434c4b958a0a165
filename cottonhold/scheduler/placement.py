"""Placement: which engine a query is queued for, and at which position of its plan (Algorithms 1 and 3).

Each engine has a plan of the queries queued for it, kept by insertion: a query goes before those that it
outranks by OUTRANK_MARGIN or does not make late, else it goes last; canaries go first. A query goes to the
engine with the earliest estimated finish among a few candidates drawn at random.
"""

from __future__ import annotations

import heapq
import math
from typing import NamedTuple

from cottonhold.scheduler import estimates, rate_estimation, responses, retry_policy, slow_start, utilization
from cottonhold.scheduler.actions import MAX_PRIORITY
from cottonhold.scheduler.engine_state import EngineView
from cottonhold.scheduler.events import EngineState
from cottonhold.scheduler.gateway_state import GatewayState
from cottonhold.scheduler.parameters import (
    CANDIDATES,
    EPSILON,
    MIN_REMAINING_SHARE,
    OUTRANK_MARGIN,
    OUTRANKED_WEIGHT,
)
from cottonhold.scheduler.query import Query
from cottonhold.scheduler.settings import Idempotency

BETA = 0.2  # share of the slack that is reserved: the tentative run time is 1.4 of the planned one
REPLAN_CANDIDATES = 2  # for a queued query where engines are rarely heard of: more is only CPU
PREFERRED_SHARE = 0.4  # of the engines, take the loads on a set of tables: the others serve its readers
MIN_WORK_RATE = 0.02  # no engine is planned slower than that
ERROR_DELAY_FACTOR = 3  # times the wait by which an engine that only gives errors looks later
CANARY_INTERVAL_MS = 150.0  # between the canaries that all gateways together send to an ejected engine


class TentativePlan(NamedTuple):
    """What would become of a query on one engine: its finish, position in the plan, density and run time."""

    finish_at: float
    offset: int
    density: float
    run_ms: float


def tentative_plan(gateway: GatewayState, query: Query, engine: EngineView) -> TentativePlan:
    """What would become of a query on an engine, at the densest position that it may take there."""
    work_ms = query.planned_work_ms * (1 + query.class_history.run_time_error)
    rate = max(rate_estimation.work_rate(gateway, engine), MIN_WORK_RATE)
    run_ms = work_ms / (query.query_class.threads * rate)
    unqueued_finish_at = _finish_without_queue(gateway, query, engine, run_ms)
    queue_ms = max(
        engine.queued_thread_ms / engine.local_thread_capacity,
        engine.queued_memory_mb_ms / engine.local_memory_capacity_mb,
    )
    finish_at = unqueued_finish_at + queue_ms
    offset, density = len(engine.plan), estimates.density(query, run_ms, finish_at)
    if engine.plan:
        last = TentativePlan(finish_at, offset, density, run_ms)
        finish_at, offset, density, _ = _densest_position(query, engine, unqueued_finish_at, last)
    finish_at += engine.error_share * (finish_at - gateway.now) * ERROR_DELAY_FACTOR
    return TentativePlan(finish_at, offset, density, run_ms)


def _finish_without_queue(gateway: GatewayState, query: Query, engine: EngineView, run_ms: float) -> float:
    """When the query would finish on the engine if nothing were queued there before it.

    Readers wait for a load that locks their tables; loads on the same tables run one at a time, those of all
    gateways in turn.
    """
    now, query_class = gateway.now, query.query_class
    finish_at = now + (1 + BETA * EPSILON) * run_ms
    ranking_density = 0.0
    if gateway.settings.features.has_priorities:
        ranking_density = estimates.density(query, run_ms, finish_at)
    finish_at += engine.work_ahead_ms(
        now, MIN_REMAINING_SHARE, ranking_density, OUTRANK_MARGIN, OUTRANKED_WEIGHT
    )
    peers = engine.peer_load(now, gateway.peer_sends_per_local)
    peer_memory_mb = peers.memory_mb / max(peers.threads, 1)
    ms_by_thread_ms = max(1 / engine.thread_capacity, peer_memory_mb / engine.memory_capacity_mb)
    finish_at += (
        peers.remaining_thread_ms * ms_by_thread_ms * utilization.blocking_share(gateway, ranking_density)
    )
    if engine.locked_until and (query_class.waits_for_loads or query_class.is_load):
        finish_at += max(0.0, engine.locked_until.get(query.table_group, 0.0) - now)
    if query_class.is_load and engine.queued_load_ms:
        finish_at += engine.queued_load_ms.get(query.table_group, 0.0) / gateway.traffic_share
    return finish_at


def _densest_position(
    query: Query, engine: EngineView, unqueued_finish_at: float, last: TentativePlan
) -> TentativePlan:
    """The densest position, from the last one to the front, where the query may delay those behind it.

    It may where its density is over OUTRANK_MARGIN times that of each query behind it that would lose utility
    by the delay.
    """
    best, run_ms = last, last.run_ms
    queued_thread_ms, queued_memory_mb_ms = engine.queued_thread_ms, engine.queued_memory_mb_ms
    thread_capacity, memory_capacity_mb = engine.local_thread_capacity, engine.local_memory_capacity_mb
    max_density = estimates.density(query, run_ms, unqueued_finish_at)
    delayed_density = 0.0  # highest density that would lose by the delay
    delay_ms = run_ms * query.query_class.threads / thread_capacity
    for index in range(len(engine.plan) - 1, -1, -1):
        other = engine.plan[index]
        if other.estimated_finish_at + delay_ms > other.latency_objective_at:
            delayed_density = max(delayed_density, other.density)
        if max_density <= OUTRANK_MARGIN * delayed_density or max_density <= best.density:
            break
        queued_thread_ms -= other.planned_thread_ms
        queued_memory_mb_ms -= other.planned_run_ms * other.planned_memory_mb
        if index and engine.plan[index - 1].density <= delayed_density:
            continue
        queue_ms = max(queued_thread_ms / thread_capacity, queued_memory_mb_ms / memory_capacity_mb)
        finish_at = unqueued_finish_at + queue_ms
        density = estimates.density(query, run_ms, finish_at)
        if density > best.density and density > OUTRANK_MARGIN * delayed_density:
            best = TentativePlan(finish_at, index, density, run_ms)
    return best


def candidate_engines(gateway: GatewayState, query: Query, count: int = CANDIDATES) -> list[EngineView]:
    """Up to `count` engines drawn by capacity, without ejected, tried and backed-off ones and spent budgets.

    If none is left, all engines that may run the query. Loads go to the preferred engines of their tables.
    """
    query_class = query.query_class
    if query_class.is_load and (preferred := _preferred_for_load(gateway, query)):
        return preferred
    pool = gateway.candidate_pool
    if query_class.is_load or query_class.waits_for_loads:
        pool = _without_loaded(gateway, query, pool)
    draw = gateway.random.random
    drawn = heapq.nlargest(count, pool, key=lambda engine: draw() ** (1 / engine.thread_capacity))
    ready = [engine for engine in drawn if _is_ready(gateway, query, engine)]
    return ready or _fallback_candidates(gateway, query)


def _is_ready(gateway: GatewayState, query: Query, engine: EngineView) -> bool:
    """Whether the engine may be sent the query now."""
    if engine.ejection_reason or engine.id in query.tried_engine_ids or not may_run_on(query, engine):
        return False
    return gateway.now >= engine.backoff_until and not slow_start.exceeds_budget(gateway, query, engine)


def _without_loaded(gateway: GatewayState, query: Query, pool: list[EngineView]) -> list[EngineView]:
    """The pool without preferred engines of the query's tables that have a load on these now.

    Readers use preferred engines while no load is there, so that their capacity is not left idle.
    """
    tables, now = query.table_group, gateway.now
    if not any(engine.has_load_on(tables, now) for engine in pool):
        return pool
    preferred = engines_preferred_for(gateway, tables)
    free = [engine for engine in pool if not engine.has_load_on(tables, now) or engine not in preferred]
    return free or pool


def _preferred_for_load(gateway: GatewayState, query: Query) -> list[EngineView]:
    """The preferred engines of its tables that a load may be sent to.

    Those whose load this gateway hears of come first: the others look empty to it.
    """
    preferred = engines_preferred_for(gateway, query.table_group)
    untried = [
        engine
        for engine in preferred
        if engine.id not in query.tried_engine_ids and may_run_on(query, engine)
    ]
    known = [engine for engine in untried if engine.id in gateway.assigned_engine_ids] or untried
    return [engine for engine in known if not slow_start.exceeds_budget(gateway, query, engine)] or known


def _fallback_candidates(gateway: GatewayState, query: Query) -> list[EngineView]:
    """All engines that may run the query: usable ones not tried yet, else usable ones, else any."""
    live = [engine for engine in gateway.live_engines if may_run_on(query, engine)]
    usable = [engine for engine in live if engine.is_usable()]
    untried = [engine for engine in usable if engine.id not in query.tried_engine_ids]
    return untried or usable or live


def engines_preferred_for(gateway: GatewayState, table_group: int) -> list[EngineView]:
    """The engines that take the loads on these tables, the same at every gateway.

    A load locks its tables on its engine. Loads that were spread over all engines would leave no engine to
    the readers, so each set of tables keeps to a share of the engines, sets in turn around the ring.
    """
    ring, preferred = gateway.affinity_ring, gateway.preferred_engines
    if table_group not in preferred and ring:
        first = table_group % len(ring)
        rotated = dict.fromkeys(ring[first:] + ring[:first])
        usable = [engine for engine in rotated if engine.is_usable()]
        preferred[table_group] = usable[: math.ceil(len(rotated) * PREFERRED_SHARE)]
    return preferred.get(table_group, [])


def may_run_on(query: Query, engine: EngineView) -> bool:
    """Whether the engine may run the query: it is live, of a permitted zone and type, and drops repeats."""
    query_class, entry = query.query_class, engine.entry
    if entry.state is not EngineState.LIVE:
        return False
    if query_class.zones is not None and entry.zone not in query_class.zones:
        return False
    if query_class.machine_types is not None and entry.machine_type not in query_class.machine_types:
        return False
    return retry_policy.permits_retry_on(query, engine)


def place(gateway: GatewayState, query: Query, count: int = CANDIDATES) -> None:
    """Queue a query for the candidate with the earliest finish, or for an ejected engine as a canary."""
    gateway.unplaced.pop(query.id, None)
    estimates.estimate(gateway, query)
    engine = _engine_for_canary(gateway, query)
    if engine is not None:
        _enqueue(gateway, query, engine, tentative_plan(gateway, query, engine)._replace(offset=0))
        return
    best_plan, best_engine = None, None
    for engine in candidate_engines(gateway, query, count):
        plan = tentative_plan(gateway, query, engine)
        if best_plan is None or plan.finish_at < best_plan.finish_at:
            best_plan, best_engine = plan, engine
    if best_plan is None or best_engine is None:
        query.engine = None
        gateway.unplaced[query.id] = query
        return
    _enqueue(gateway, query, best_engine, best_plan)


def _enqueue(gateway: GatewayState, query: Query, engine: EngineView, plan: TentativePlan) -> None:
    """Queue the query at its position; those behind it finish later.

    Where priorities are allowed its priority is one above those of the queries that it outranks.
    """
    query.estimated_finish_at, index, query.density, query.planned_run_ms = plan
    query.engine = engine
    query.planned_thread_ms = query.planned_run_ms * query.query_class.threads
    behind = engine.plan[index:]
    for other in behind:
        other.estimated_finish_at += query.planned_thread_ms / engine.local_thread_capacity
    outranked = [other.priority for other in behind]
    outranked += engine.in_flight_by_density.outranked_priorities(query.density, OUTRANK_MARGIN)
    has_priorities = gateway.settings.features.has_priorities
    query.priority = min(MAX_PRIORITY, 1 + max(outranked)) if outranked and has_priorities else 1
    gateway.active_engines[engine.id] = engine
    gateway.is_release_pending = True
    engine.enqueue(index, query)


def _engine_for_canary(gateway: GatewayState, query: Query) -> EngineView | None:
    """The ejected engine that the query should test, if any.

    Only first attempts of short idempotent queries are canaries, so that a recovery is seen at little risk.
    """
    if (
        query.query_class.idempotency is not Idempotency.IDEMPOTENT
        or query.attempts_sent
        or query.planned_work_ms > query.query_class.latency_objective_ms
    ):
        return None
    for engine in gateway.ejected_engines.values():
        if gateway.now < engine.next_canary_at or not may_run_on(query, engine):
            continue
        if not slow_start.exceeds_budget(gateway, query, engine):
            engine.next_canary_at = gateway.now + CANARY_INTERVAL_MS / gateway.traffic_share
            query.is_canary = True
            return engine
    return None


def replan(gateway: GatewayState) -> None:
    """Place the queued queries anew in order of arrival, by what is known of rates and engines now.

    Those that can't earn anything any more are answered.
    """
    queued = [query for engine in gateway.active_engines.values() for query in engine.clear_plan()]
    queued += gateway.unplaced.values()
    count = round(CANDIDATES - (CANDIDATES - REPLAN_CANDIDATES) * gateway.unobserved_share)
    for query in sorted(queued, key=lambda query: query.sequence):
        place(gateway, query, count)
        is_late = gateway.now + query.planned_run_ms > query.deadline_at
        if query.engine is not None and (query.density <= 0 or is_late):
            responses.reject_or_fail(gateway, query)
