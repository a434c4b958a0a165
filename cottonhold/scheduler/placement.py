"""Placement: chooses the engine that a query is queued for and its position in that engine's plan.

Implements Algorithms 1 and 3 of the paper named in scheduler.py. A plan is the ordered list of the queries
queued for one engine. A query is inserted before queries that it outranks by OUTRANK_MARGIN or does not make
late, and is appended otherwise; canaries are inserted at the front. Among a few candidates drawn at random,
the engine with the earliest estimated finish is chosen.
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

BETA = 0.2  # reserved share of the slack EPSILON: the finish is estimated with 1.4 times the run time
REPLAN_CANDIDATES = 2  # candidates for replanning a query on unobserved engines: more would only cost CPU
MAX_PREFERRED_GROUPS = 256  # table groups whose engines are remembered
PREFERRED_SHARE = 0.4  # share of the engines that run the loads on a table group; the rest serve readers
MIN_WORK_RATE = 0.02  # lowest work rate that planning assumes, in ms of work per thread ms
ERROR_DELAY_FACTOR = 3  # delay added at an error share of 1, as a multiple of the time to the finish
CANARY_INTERVAL_MS = 150.0  # interval between the canaries of all gateways to one ejected engine


class TentativePlan(NamedTuple):
    """The estimated result of queueing a query for one engine.

    Attributes:
        finish_at: Estimated finish, in ms on the caller's clock.
        position: Position in the engine's plan, counted from 0.
        density: Utility per ms of thread time at that finish, rounded down to a power of two.
        run_ms: Estimated run time, in ms.
    """

    finish_at: float
    position: int
    density: float
    run_ms: float


def tentative_plan(gateway: GatewayState, query: Query, engine: EngineView) -> TentativePlan:
    """Return the plan for a query on an engine, at the position with the highest density that is allowed."""
    work_ms = query.planned_work_ms * (1 + query.class_history.run_time_error)
    rate = max(rate_estimation.work_rate(gateway, engine), MIN_WORK_RATE)
    run_ms = work_ms / (query.query_class.threads * rate)
    unqueued_finish_at = _finish_without_queue(gateway, query, engine, run_ms)
    queue_ms = max(
        engine.queued_thread_ms / engine.local_thread_capacity,
        engine.queued_memory_mb_ms / engine.local_memory_capacity_mb,
    )
    finish_at = unqueued_finish_at + queue_ms
    position, density = len(engine.plan), estimates.density(query, run_ms, finish_at)
    if engine.plan:
        last = TentativePlan(finish_at, position, density, run_ms)
        finish_at, position, density, _ = _densest_position(query, engine, unqueued_finish_at, last)
    finish_at += engine.error_share * (finish_at - gateway.now) * ERROR_DELAY_FACTOR
    return TentativePlan(finish_at, position, density, run_ms)


def _finish_without_queue(gateway: GatewayState, query: Query, engine: EngineView, run_ms: float) -> float:
    """Return when the query would finish on the engine if no query were queued before it.

    Queries in flight still delay it. Readers wait for a load that locks their tables. Loads on the same
    tables run one at a time, including those of other gateways, so the wait for queued loads is scaled by the
    traffic share.
    """
    now, query_class = gateway.now, query.query_class
    finish_at = now + (1 + BETA * EPSILON) * run_ms
    ranking_density = 0.0
    if gateway.settings.features.has_priorities:
        ranking_density = estimates.density(query, run_ms, finish_at)
    finish_at += engine.work_ahead_ms(
        now, MIN_REMAINING_SHARE, ranking_density, OUTRANK_MARGIN, OUTRANKED_WEIGHT
    )
    peers = engine.peer_work(now, gateway.peer_sends_per_local)
    peer_memory_mb = peers.memory_mb / max(peers.threads, 1)
    ms_per_thread_ms = max(1 / engine.thread_capacity, peer_memory_mb / engine.memory_capacity_mb)
    finish_at += (
        peers.remaining_thread_ms * ms_per_thread_ms * utilization.peer_work_weight(gateway, ranking_density)
    )
    if engine.locked_until and (query_class.waits_for_loads or query_class.is_load):
        finish_at += max(0.0, engine.locked_until.get(query.table_group, 0.0) - now)
    if query_class.is_load and engine.queued_load_ms:
        finish_at += engine.queued_load_ms.get(query.table_group, 0.0) / gateway.traffic_share
    return finish_at


def _densest_position(
    query: Query, engine: EngineView, unqueued_finish_at: float, last: TentativePlan
) -> TentativePlan:
    """Return the plan at the position with the highest density where the query may delay those behind it.

    Positions are tried from the end of the plan to its front. A position is permitted if the query's density
    exceeds OUTRANK_MARGIN times the density of each query behind it that the delay would make late.
    """
    best, run_ms = last, last.run_ms
    queued_thread_ms, queued_memory_mb_ms = engine.queued_thread_ms, engine.queued_memory_mb_ms
    thread_capacity, memory_capacity_mb = engine.local_thread_capacity, engine.local_memory_capacity_mb
    max_density = estimates.density(query, run_ms, unqueued_finish_at)
    delayed_density = 0.0  # highest density among the queries that the delay would make late
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
    """Return up to `count` engines drawn at random, weighted by capacity, that may be sent the query now.

    Engines are left out that are ejected, were tried before, are in back-off or have no slow-start budget
    left. If none remains, the engines that may run the query are returned: usable and untried ones, else
    usable ones, else all. For a load, the preferred engines of its tables are returned.
    """
    query_class = query.query_class
    if query_class.is_load and (preferred := _preferred_for_load(gateway, query)):
        return preferred
    pool = gateway.candidate_pool
    if query_class.is_load or query_class.waits_for_loads:
        pool = _without_loaded(gateway, query, pool)
    random_number = gateway.random.random
    drawn = heapq.nlargest(count, pool, key=lambda engine: random_number() ** (1 / engine.thread_capacity))
    ready = [engine for engine in drawn if _is_ready(gateway, query, engine)]
    return ready or _fallback_candidates(gateway, query)


def _is_ready(gateway: GatewayState, query: Query, engine: EngineView) -> bool:
    """Return whether the engine may be sent the query now."""
    if engine.ejection_reason or engine.id in query.tried_engine_ids or not may_run_on(query, engine):
        return False
    return gateway.now >= engine.backoff_until and not slow_start.exceeds_budget(gateway, query, engine)


def _without_loaded(gateway: GatewayState, query: Query, pool: list[EngineView]) -> list[EngineView]:
    """Return the pool without the preferred engines of the query's tables that have a load on these tables.

    Readers still use preferred engines that have no load, so that their capacity does not stay idle.
    """
    tables, now = query.table_group, gateway.now
    if not any(engine.has_load_on(tables, now) for engine in pool):
        return pool
    preferred = engines_preferred_for(gateway, tables)
    free = [engine for engine in pool if not engine.has_load_on(tables, now) or engine not in preferred]
    return free or pool


def _preferred_for_load(gateway: GatewayState, query: Query) -> list[EngineView]:
    """Return the preferred engines of its tables that a load may be sent to.

    Engines assigned to this gateway take precedence: peers report their work only for these, so any other
    engine would look idle.
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
    """Return the engines that may run the query: usable and untried ones, else usable ones, else all."""
    live = [engine for engine in gateway.live_engines if may_run_on(query, engine)]
    usable = [engine for engine in live if engine.is_usable()]
    untried = [engine for engine in usable if engine.id not in query.tried_engine_ids]
    return untried or usable or live


def engines_preferred_for(gateway: GatewayState, table_group: int) -> list[EngineView]:
    """Return the engines that run the loads on these tables; every gateway computes the same engines.

    A load locks its tables on its engine. Loads spread over all engines would leave no engine for readers,
    so each table group is confined to PREFERRED_SHARE of the engines. The number of the table group selects
    where its engines begin on the affinity ring.
    """
    ring, preferred = gateway.affinity_ring, gateway.preferred_engines
    if table_group not in preferred and ring:
        if len(preferred) >= MAX_PREFERRED_GROUPS:
            preferred.clear()  # computed again when needed
        first = table_group % len(ring)
        rotated = dict.fromkeys(ring[first:] + ring[:first])
        usable = [engine for engine in rotated if engine.is_usable()]
        preferred[table_group] = usable[: math.ceil(len(rotated) * PREFERRED_SHARE)]
    return preferred.get(table_group, [])


def may_run_on(query: Query, engine: EngineView) -> bool:
    """Return whether the engine may run the query.

    The engine must be live, of a permitted zone and machine type, and permitted for a retry of the query.
    """
    query_class, entry = query.query_class, engine.entry
    if entry.state is not EngineState.LIVE:
        return False
    if query_class.zones is not None and entry.zone not in query_class.zones:
        return False
    if query_class.machine_types is not None and entry.machine_type not in query_class.machine_types:
        return False
    return retry_policy.permits_retry_on(query, engine)


def place(gateway: GatewayState, query: Query, count: int = CANDIDATES) -> None:
    """Queue a query for an ejected engine as a canary, else for the candidate with the earliest finish.

    A query without a candidate stays in `gateway.unplaced` until the next replanning.
    """
    gateway.unplaced.pop(query.id, None)
    estimates.estimate(gateway, query)
    engine = _engine_for_canary(gateway, query)
    if engine is not None:
        _enqueue(gateway, query, engine, tentative_plan(gateway, query, engine)._replace(position=0))
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
    """Queue the query at its planned position and delay the estimated finish of the queries behind it.

    Where the deployment has priorities, the query's priority is one above the highest of the queries behind
    it and of the attempts in flight that it outranks.
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
    """Return the ejected engine that the query should test as a canary, if any.

    Only first attempts of short idempotent queries are canaries, which limits the harm of a failed test.
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
    """Place all queued queries again in order of arrival, with the present work rates and engine states.

    Queries that can no longer finish with any utility are rejected or failed.
    """
    queued = [query for engine in gateway.active_engines.values() for query in engine.clear_plan()]
    queued += gateway.unplaced.values()
    count = round(CANDIDATES - (CANDIDATES - REPLAN_CANDIDATES) * gateway.unobserved_share)
    for query in sorted(queued, key=lambda query: query.sequence):
        place(gateway, query, count)
        is_late = gateway.now + query.planned_run_ms > query.deadline_at
        if query.engine is not None and (query.density <= 0 or is_late):
            responses.reject_or_fail(gateway, query)
