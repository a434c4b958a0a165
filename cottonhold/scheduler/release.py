"""Release: queued queries are sent in plan order while engines and the own fleet share have capacity."""

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

MAX_OVERFILL = 1.25  # times its capacity an engine takes nothing more: work done falls steeply from there


class SendBarrier(Enum):
    """Why a queued query may not be sent now; RetryBarrier has the reasons that concern retries."""

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
    """Send what may go of one engine's plan, densest first."""
    index, blocked_density = 0, 0.0
    while index < len(engine.plan):
        query = engine.plan[index]
        if _is_blocked(query, engine, blocked_density):
            index += 1
        elif not has_capacity(gateway, query, engine) or _would_displace(gateway, query):
            blocked_density = query.density  # above any before it, else it was passed over
            if not blocked_density or not gateway.settings.features.has_priorities:
                return
            index += 1
        elif send_barrier(gateway, query, engine):
            index += 1
        else:
            query.leave_plan()
            _send(gateway, query, engine)


def _is_blocked(query: Query, engine: EngineView, blocked_density: float) -> bool:
    """Whether a query waits for one that is blocked, unless it outranks it, or a load for one on its tables.

    A second load on the same tables would only stand still at the engine and keep readers waiting.
    """
    if blocked_density and query.density <= OUTRANK_MARGIN * blocked_density:
        return True
    return query.query_class.is_load and bool(engine.loads_in_flight.get(query.table_group))


def _would_displace(gateway: GatewayState, query: Query) -> bool:
    """Whether a query without expected utility would take the capacity of another: not on an idle fleet."""
    if query.density > 0:
        return False
    used_share = utilization.fleet_used_share(gateway, gateway.fleet_utilization)
    return used_share > utilization.IDLE_UTILIZATION


def send_barrier(
    gateway: GatewayState, query: Query, engine: EngineView
) -> SendBarrier | retry_policy.RetryBarrier | None:
    """The rule that keeps a query from being sent to an engine now; None where it may go.

    Every rule is checked at the moment of sending, whatever the plan says.
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
    """Whether the engine and the local share of the fleet have capacity for the query.

    Threads bind only under pressure, and what the query outranks holds it back in part only, as the engine
    lets it pass. One query of this gateway may always be in flight.
    """
    is_pressed = utilization.is_under_pressure(gateway, engine)
    ranking_density = query.density if gateway.settings.features.has_priorities else 0.0
    if _is_engine_full(gateway, query, engine, is_pressed, ranking_density):
        return False
    return _fits_traffic_share(gateway, query, is_pressed, ranking_density)


def _is_engine_full(
    gateway: GatewayState, query: Query, engine: EngineView, is_pressed: bool, ranking_density: float
) -> bool:
    """Whether the engine has no capacity for the query beside what it doesn't outrank.

    An engine with nothing in flight is never full; one over MAX_OVERFILL is for every query.
    """
    peers = engine.peer_load(gateway.now, gateway.peer_sends_per_local)
    if not engine.in_flight and not peers.threads:
        return False
    ahead = engine.in_flight_by_density.not_outranked(ranking_density, OUTRANK_MARGIN)
    outranked_threads = engine.threads_in_flight - ahead.threads
    outranked_memory_mb = engine.memory_in_flight_mb - ahead.memory_mb
    threads = ahead.threads + outranked_threads * OUTRANKED_WEIGHT + query.query_class.threads
    memory_mb = ahead.memory_mb + (outranked_memory_mb * OUTRANKED_WEIGHT + query.planned_memory_mb)
    peer_weight = utilization.blocking_share(gateway, ranking_density)
    needed_threads = (threads + peers.threads * peer_weight) / engine.thread_capacity
    needed_memory = (memory_mb + peers.memory_mb * peer_weight) / engine.memory_capacity_mb
    used_threads = (engine.threads_in_flight + peers.threads) / engine.thread_capacity
    used_memory = (engine.memory_in_flight_mb + peers.memory_mb) / engine.memory_capacity_mb
    if max(used_threads, used_memory) / MAX_OVERFILL > 1:
        return True
    limit = 1.0 if gateway.has_peer_loads else gateway.traffic_share
    is_short_of_memory = (is_pressed or gateway.has_peer_loads) and needed_memory > limit
    return is_pressed and needed_threads > limit or is_short_of_memory


def _fits_traffic_share(
    gateway: GatewayState, query: Query, is_pressed: bool, ranking_density: float
) -> bool:
    """Whether this gateway's share of the whole fleet has capacity for one more query.

    The share is of the fleet, not of each engine: one query of each gateway on each engine would flood it.
    Timed out attempts that may run on count for the time planned. A query wider than the share goes alone.
    """
    in_flight = gateway.in_flight.on_admitted_engines.not_outranked(ranking_density, OUTRANK_MARGIN)
    unobserved = [a.query for a in gateway.unobserved_attempts if a.expected_end_at > gateway.now]
    memory_mb = in_flight.memory_mb + sum(other.planned_memory_mb for other in unobserved)
    threads = in_flight.threads + sum(other.query_class.threads for other in unobserved)
    used_memory = (memory_mb + query.planned_memory_mb) / gateway.fleet_memory_capacity_mb
    used = (threads + query.query_class.threads) / gateway.fleet_thread_capacity
    if is_pressed:
        used = max(used, used_memory)
    else:
        used = used_memory * math.sqrt(gateway.unobserved_share) * _unpressed_memory_weight(gateway)
    if not in_flight.has_attempts:
        return used <= gateway.traffic_share or gateway.now >= gateway.wide_query_pause_until
    stretch = _share_stretch(gateway, query) * query.query_class.threads / gateway.fleet_thread_capacity
    return used <= gateway.traffic_share + stretch


def _unpressed_memory_weight(gateway: GatewayState) -> float:
    """How far the share of memory binds without pressure, as a shortage shows only once it has come.

    Not where queries wait for memory. Where grants shrink one query pays, not all, so there it binds as far
    as the fleet is reported busy.
    """
    shortage = gateway.settings.on_memory_shortage
    if shortage is MemoryShortage.WAIT:
        return 0.0
    return gateway.fleet_utilization if shortage is MemoryShortage.SHRINK else 1.0


def _share_stretch(gateway: GatewayState, query: Query) -> float:
    """Part of a query by which the share is stretched now.

    Where the fleet has one admission threshold, gateways take turns with what is left over of a share that is
    no whole number of queries: rounded down, admitted queries would wait in vain at small gateways.
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
        locked_until = gateway.now + query.planned_run_ms
        known_until = engine.locked_until.get(query.table_group, 0.0)
        engine.locked_until[query.table_group] = max(known_until, locked_until)
        peer_load.announce_load(gateway, query, engine)


def _update_attempt(gateway: GatewayState, query: Query, engine: EngineView) -> None:
    """Send the memory grant and the priority of the next attempts, where they have changed."""
    grant_mb = estimates.memory_grant_mb(gateway, query, engine)
    if grant_mb != query.sent_memory_grant_mb or query.priority != query.sent_priority:
        gateway.actions.append(UpdateAttempt(query.id, grant_mb, query.priority))
        query.sent_memory_grant_mb = grant_mb
        query.sent_priority = query.priority


def pause_after_wide_query(gateway: GatewayState, query: Query) -> None:
    """An attempt has ended: after one wider than the local share the share is paused.

    One query may always be in flight. Of hundreds of gateways with one wider than the share each, the pause
    keeps the mean within capacity.
    """
    threads = query.query_class.threads / gateway.fleet_thread_capacity
    memory = query.planned_memory_mb / gateway.fleet_memory_capacity_mb
    width = max(threads, memory) / gateway.traffic_share
    if width > 1:
        pause_from = max(gateway.wide_query_pause_until, gateway.now)
        gateway.wide_query_pause_until = pause_from + (gateway.now - query.sent_at) * (width - 1)
