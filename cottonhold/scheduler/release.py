"""Release: sends queued queries in plan order while their engine and the local fleet share have capacity."""

from __future__ import annotations

import math
from enum import Enum

from cottonhold.scheduler import (
    engine_health,
    estimates,
    key_ordering,
    peer_load,
    placement,
    rate_estimation,
    retry_policy,
    slow_start,
    utilization,
)
from cottonhold.scheduler.actions import Send, UpdateAttempt
from cottonhold.scheduler.engine_state import EngineView
from cottonhold.scheduler.gateway_state import GatewayState
from cottonhold.scheduler.parameters import (
    GOLDEN_RATIO,
    OUTRANK_MARGIN,
    OUTRANKED_WEIGHT,
    REPLAN_INTERVAL_MS,
)
from cottonhold.scheduler.query import Query
from cottonhold.scheduler.settings import MemoryShortage

MAX_OVERFILL = 1.25  # ratio of use to capacity above which nothing is sent: throughput drops steeply there


class SendBarrier(Enum):
    """Why a queued query may not be sent now; RetryBarrier lists the reasons that apply to retries."""

    NOT_PERMITTED_THERE = "in flight, finished, or not permitted on the engine"
    DEADLINE_NEAR = "deadline near"
    EARLIER_QUERY_PENDING = "an earlier query of its key goes first"
    COLD_BUDGET_SPENT = "budget of a cold engine or quota spent"


def release_queued(gateway: GatewayState) -> None:
    """Send queued queries in plan order while there is capacity, the engine with the densest head first."""
    waiting = [engine for engine in gateway.active_engines.values() if engine.plan]
    waiting.sort(key=lambda engine: -engine.plan[0].density)
    for engine in waiting:
        _release_plan(gateway, engine)


def _release_plan(gateway: GatewayState, engine: EngineView) -> None:
    """Send the queries of one engine's plan that may be sent now, in plan order."""
    index, blocked_density = 0, 0.0
    while index < len(engine.plan):
        query = engine.plan[index]
        if _is_blocked(query, engine, blocked_density):
            index += 1
        elif not has_capacity(gateway, query, engine) or _would_displace(gateway, query):
            blocked_density = query.density  # higher than before, as _is_blocked() is false
            if not blocked_density or not gateway.settings.features.has_priorities:
                return
            index += 1
        elif send_barrier(gateway, query, engine):
            index += 1
        else:
            query.leave_plan()
            _send(gateway, query, engine)


def _is_blocked(query: Query, engine: EngineView, blocked_density: float) -> bool:
    """Return whether a query must wait for a blocked query that it does not outrank, or for a load.

    A load waits for another load in flight on its tables. At the engine it would only wait for the lock, and
    readers would be blocked until it ends.
    """
    if blocked_density and query.density <= OUTRANK_MARGIN * blocked_density:
        return True
    return query.query_class.is_load and bool(engine.loads_in_flight.get(query.table_group))


def _would_displace(gateway: GatewayState, query: Query) -> bool:
    """Return whether a query without expected utility would take capacity that other queries need.

    On a fleet used below IDLE_UTILIZATION it takes no capacity from others.
    """
    if query.density > 0:
        return False
    used_share = utilization.fleet_used_share(gateway, gateway.fleet_utilization)
    return used_share > utilization.IDLE_UTILIZATION


def send_barrier(
    gateway: GatewayState, query: Query, engine: EngineView
) -> SendBarrier | retry_policy.RetryBarrier | None:
    """Return the rule that forbids sending a query to an engine now; None if it may be sent.

    All rules are checked at the time of sending, as the state may have changed since the query was planned.
    """
    if query.is_in_flight or query.is_finished or not placement.may_run_on(query, engine):
        return SendBarrier.NOT_PERMITTED_THERE
    if query.deadline_at <= gateway.now + gateway.answer_margin_ms:
        return SendBarrier.DEADLINE_NEAR
    if key_ordering.waits_for_earlier_query(gateway, query):
        return SendBarrier.EARLIER_QUERY_PENDING
    if query.attempts_sent and (barrier := retry_policy.retry_barrier(gateway, query)):
        return barrier
    if slow_start.exceeds_budget(gateway, query, engine):
        return SendBarrier.COLD_BUDGET_SPENT
    return None


def has_capacity(gateway: GatewayState, query: Query, engine: EngineView) -> bool:
    """Return whether the engine and this gateway's share of the fleet have capacity for the query.

    The limit on threads applies only under pressure. Attempts that the query outranks count in part or not at
    all, as the engine serves the higher priority first. A gateway without attempts in flight may send one
    query of any size, except in the pause after a query larger than its share.
    """
    has_pressure = utilization.is_under_pressure(gateway, engine)
    ranking_density = query.density if gateway.settings.features.has_priorities else 0.0
    if _is_engine_full(gateway, query, engine, has_pressure, ranking_density):
        return False
    return _fits_traffic_share(gateway, query, has_pressure, ranking_density)


def _is_engine_full(
    gateway: GatewayState, query: Query, engine: EngineView, has_pressure: bool, ranking_density: float
) -> bool:
    """Return whether the engine lacks capacity for the query next to the attempts that it does not outrank.

    An engine with nothing in flight is never full; one used above MAX_OVERFILL is full for every query.
    """
    peers = engine.peer_work(gateway.now, gateway.peer_sends_per_local)
    if not engine.in_flight and not peers.threads:
        return False
    ahead = engine.in_flight_by_density.not_outranked(ranking_density, OUTRANK_MARGIN)
    outranked_threads = engine.threads_in_flight - ahead.threads
    outranked_memory_mb = engine.memory_in_flight_mb - ahead.memory_mb
    threads = ahead.threads + outranked_threads * OUTRANKED_WEIGHT + query.query_class.threads
    memory_mb = ahead.memory_mb + (outranked_memory_mb * OUTRANKED_WEIGHT + query.planned_memory_mb)
    peer_weight = utilization.peer_work_weight(gateway, ranking_density)
    needed_threads = (threads + peers.threads * peer_weight) / engine.thread_capacity
    needed_memory = (memory_mb + peers.memory_mb * peer_weight) / engine.memory_capacity_mb
    used_threads = (engine.threads_in_flight + peers.threads) / engine.thread_capacity
    used_memory = (engine.memory_in_flight_mb + peers.memory_mb) / engine.memory_capacity_mb
    if max(used_threads, used_memory) / MAX_OVERFILL > 1:
        return True
    limit = 1.0 if gateway.has_work_reports else gateway.traffic_share
    is_short_of_memory = (has_pressure or gateway.has_work_reports) and needed_memory > limit
    return has_pressure and needed_threads > limit or is_short_of_memory


def _fits_traffic_share(
    gateway: GatewayState, query: Query, has_pressure: bool, ranking_density: float
) -> bool:
    """Return whether this gateway's share of the fleet has capacity for one more query.

    The share applies to the fleet, not to each engine: one query of each gateway on each engine would
    overload the fleet. Attempts that timed out and may still run are included until their planned end. A
    query that needs more than the share is sent only while all queries in flight are outranked by it, and
    after the pause that follows another such query.
    """
    in_flight = gateway.in_flight.on_admitted_engines.not_outranked(ranking_density, OUTRANK_MARGIN)
    unobserved = [
        attempt.query for attempt in gateway.unobserved_attempts if attempt.expected_end_at > gateway.now
    ]
    memory_mb = in_flight.memory_mb + sum(other.planned_memory_mb for other in unobserved)
    threads = in_flight.threads + sum(other.query_class.threads for other in unobserved)
    used_memory = (memory_mb + query.planned_memory_mb) / gateway.fleet_memory_capacity_mb
    used = (threads + query.query_class.threads) / gateway.fleet_thread_capacity
    if has_pressure:
        used = max(used, used_memory)
    else:
        used = used_memory * math.sqrt(gateway.unobserved_share) * _memory_weight_without_pressure(gateway)
    if not in_flight.has_attempts:
        return used <= gateway.traffic_share or gateway.now >= gateway.oversized_query_pause_until
    remainder = _share_remainder(gateway, query) * query.query_class.threads / gateway.fleet_thread_capacity
    return used <= gateway.traffic_share + remainder


def _memory_weight_without_pressure(gateway: GatewayState) -> float:
    """Return the weight, from 0 to 1, of the memory limit on an engine without pressure.

    A memory shortage shows as pressure only after it has begun, so the limit may apply earlier. The weight is
    0 where queries wait for memory. Where grants shrink, a shortage slows only one query, so the weight is
    the reported utilization of the fleet. Where engines page, it slows all queries, and the weight is 1.
    """
    shortage = gateway.settings.on_memory_shortage
    if shortage is MemoryShortage.WAIT:
        return 0.0
    return gateway.fleet_utilization if shortage is MemoryShortage.SHRINK else 1.0


def _share_remainder(gateway: GatewayState, query: Query) -> float:
    """Return the part of one query, from 0 to 1, by which this gateway may exceed its share now.

    A share rarely amounts to a whole number of queries, and rounding down would keep admitted queries waiting
    at gateways with a small share. So where one admission threshold applies to the whole fleet, gateways take
    turns to use the remainder.
    """
    if not gateway.threshold.is_fleet_wide:
        return 0.0
    slot = gateway.settings.gateway_index + gateway.now // max(REPLAN_INTERVAL_MS, query.planned_run_ms)
    return slot * GOLDEN_RATIO % 1


def _send(gateway: GatewayState, query: Query, engine: EngineView) -> None:
    """Start an attempt of the query on the engine."""
    _update_attempt(gateway, query, engine)
    timeout_ms = 0.0
    if query.is_canary:
        timeout_ms = rate_estimation.MAX_RUN_FACTOR * query.planned_run_ms + engine_health.MIN_SILENCE_MS
    begin_deadline = retry_policy.latest_attempt_begin(gateway, query)
    gateway.actions.append(Send(query.id, engine.id, timeout_ms, begin_deadline))
    if query.attempts_sent:
        retry_policy.count_retry(gateway)
    query.attempts_sent += 1
    query.begin_attempt(gateway.now, engine)
    gateway.in_flight.add_attempt(query, engine)
    slow_start.spend(query, engine)
    if query.query_class.is_load:
        engine.lock_tables(query.table_group, gateway.now, gateway.now + query.planned_run_ms)
        peer_load.announce_load(gateway, query, engine)


def _update_attempt(gateway: GatewayState, query: Query, engine: EngineView) -> None:
    """Send the memory grant and the priority for the query's next attempts if either has changed."""
    grant_mb = estimates.memory_grant_mb(gateway, query, engine)
    if grant_mb != query.sent_memory_grant_mb or query.priority != query.sent_priority:
        gateway.actions.append(UpdateAttempt(query.id, grant_mb, query.priority))
        query.sent_memory_grant_mb = grant_mb
        query.sent_priority = query.priority


def pause_after_oversized_query(gateway: GatewayState, query: Query) -> None:
    """Pause further queries that exceed the local share after the attempt of such a query has ended.

    A gateway without attempts in flight may send a query larger than its share. If hundreds of gateways did
    so back to back, they would overload the fleet. The pause keeps the mean use within the share.
    """
    threads = query.query_class.threads / gateway.fleet_thread_capacity
    memory = query.planned_memory_mb / gateway.fleet_memory_capacity_mb
    share_multiple = max(threads, memory) / gateway.traffic_share
    if share_multiple > 1:
        pause_start = max(gateway.oversized_query_pause_until, gateway.now)
        gateway.oversized_query_pause_until = pause_start + (gateway.now - query.sent_at) * (
            share_multiple - 1
        )
