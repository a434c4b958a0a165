"""Admission: queues an arriving query for an engine, or rejects it immediately."""

from __future__ import annotations

from cottonhold.scheduler import (
    engine_health,
    key_ordering,
    placement,
    responses,
    retry_policy,
    slow_start,
    straggler_cancellation,
)
from cottonhold.scheduler.actions import DemandEstimate
from cottonhold.scheduler.events import AdmissionThreshold, ClientDisconnected, QueryArrived
from cottonhold.scheduler.gateway_state import GatewayState
from cottonhold.scheduler.parameters import CANDIDATES, REPORT_MAX_AGE_MS
from cottonhold.scheduler.query import Query
from cottonhold.scheduler.settings import Idempotency

SPARE_HEALTH_CHECKS = 2  # lowest budget for requests of load reports: suspect engines take precedence
# Relative difference up to which two times until the deadline are equal; ticks and network delay vary them.
REMAINING_TIME_TOLERANCE = 0.02
MAX_REMAINING_TIME_VOTES = 40  # upper limit of the vote count for the usual time until the deadline
SETTLED_REMAINING_TIME_VOTES = MAX_REMAINING_TIME_VOTES / 4  # votes above which the usual time is valid
# Largest expected number of client retries per unserved query; some retries come from other gateways.
MAX_RETRIES_PER_UNSERVED = 1.5
MIN_ADMISSION_WORK_MS = 1e-3  # work assumed for a query without known work, to avoid division by zero


def on_query_arrived(gateway: GatewayState, event: QueryArrived) -> None:
    """Queue an arriving query for an engine, or reject it if it should not wait."""
    history = gateway.class_histories[event.query_class]
    query = Query(event, gateway.settings, history, gateway.now, next(gateway.sequence_numbers))
    query.first_tried_at = _first_tried_at(gateway, query, event.is_retry)
    gateway.queries[query.id] = query
    _count_arrival(gateway, query)
    key_ordering.append(gateway, query)
    gateway.deadlines.add(query)
    placement.place(gateway, query)
    slow_start.record_arrival(gateway, query)
    if event.admission_draw is not None:
        demand = DemandEstimate(query.id, query.full_utility, query.admission_work_ms())
        gateway.actions.append(demand)
    if query.engine is not None and _is_rejected(gateway, query, event.admission_draw):
        responses.reject_or_fail(gateway, query)


def _is_rejected(gateway: GatewayState, query: Query, admission_draw: float | None) -> bool:
    """Return whether a query that has an engine is rejected on arrival.

    This applies to a load that would be late, a query below the admission threshold, and a client's retry
    that can no longer earn any utility.
    """
    if _is_late_load(query) or _is_below_threshold(gateway, query, admission_draw):
        return True
    return query.density <= 0 and query.first_tried_at < query.arrived_at


def _count_arrival(gateway: GatewayState, query: Query) -> None:
    """Count an arriving query for the retry budget, the traffic, the health check budget and its tenant."""
    retry_policy.count_accepted_query(gateway)
    gateway.local_traffic.add(gateway.now)
    budget = gateway.health_check_budget + gateway.health_checks_per_query
    gateway.health_check_budget = min(budget, CANDIDATES)
    _refresh_oldest_report(gateway)
    if query.tenant < len(gateway.tenant_traffic):
        gateway.tenant_traffic[query.tenant].add(gateway.now)


def _refresh_oldest_report(gateway: GatewayState) -> None:
    """Send a health check to the engine with the oldest load report, to request a new one.

    Where answers are rare, or only health checks return load reports, the load of engines would otherwise be
    unknown. A budget below SPARE_HEALTH_CHECKS is reserved for suspect engines.
    """
    if (
        gateway.settings.features.has_health_checks
        and gateway.health_check_budget >= SPARE_HEALTH_CHECKS
        and gateway.candidate_pool
    ):
        oldest = min(
            gateway.candidate_pool,
            key=lambda engine: (max(engine.load_report_at, engine.health_checked_at), engine.rank),
        )
        if gateway.now - oldest.load_report_at > REPORT_MAX_AGE_MS:
            engine_health.check_health(gateway, oldest)


def _is_late_load(query: Query) -> bool:
    """Return whether a load would end late because of the loads queued for the same tables.

    If loads arrive faster than they are executed, their queue would otherwise grow until all end late.
    """
    is_late = query.estimated_finish_at > query.latency_objective_at
    if not query.query_class.is_load or not is_late or query.engine is None:
        return False
    return query.engine.queued_load_ms.get(query.table_group, 0.0) > query.planned_run_ms


def _is_below_threshold(gateway: GatewayState, query: Query, admission_draw: float | None) -> bool:
    """Return whether the query's utility per work is below the fleet's admission threshold.

    With one threshold for all gateways, none serves queries of less utility than those that another rejects.
    """
    threshold = gateway.threshold
    if admission_draw is None or gateway.now >= threshold.expires_at:
        return False
    density = query.full_utility / max(query.admission_work_ms(), MIN_ADMISSION_WORK_MS)
    if admission_draw < threshold.marginal_share:
        return density < threshold.marginal_density
    return density < threshold.full_density


def _first_tried_at(gateway: GatewayState, query: Query, is_marked_retry: bool) -> float:
    """Return when the client sent its first try: now, or for a retry the earliest possible time.

    The latency objective is measured from the first try, so a late retry must not appear as dense as a new
    query. A retry that is not marked is recognized by an unusual time until its deadline. If unusual times
    are more frequent than unserved queries of the class can explain, they are not treated as retries.
    """
    history, now = query.class_history, gateway.now
    max_votes = None if is_marked_retry else MAX_REMAINING_TIME_VOTES
    remaining_ms = query.deadline_at - now
    is_usual = history.record_remaining_time(now, remaining_ms, REMAINING_TIME_TOLERANCE, max_votes)
    max_retries_per_s = MAX_RETRIES_PER_UNSERVED * history.unserved.per_s(now)
    can_be_retry = history.unusual_remaining_times.per_s(now) <= max_retries_per_s
    is_settled = history.remaining_time_votes > SETTLED_REMAINING_TIME_VOTES
    if is_marked_retry or not is_usual and can_be_retry and is_settled:
        return min(now, query.deadline_at - query.query_class.deadline_ms)
    return now


def on_client_disconnected(gateway: GatewayState, event: ClientDisconnected) -> None:
    """Finish the query of a disconnected client, and cancel its attempt unless it is not idempotent."""
    query = gateway.queries.get(event.query_id)
    if query is None or query.is_finished:
        return
    query.leave_plan()
    is_idempotent = query.query_class.idempotency is not Idempotency.NOT_IDEMPOTENT
    if gateway.settings.features.can_cancel and is_idempotent:
        straggler_cancellation.cancel(gateway, query)
    responses.finish(gateway, query)


def on_admission_threshold(gateway: GatewayState, event: AdmissionThreshold) -> None:
    """Apply the fleet's new admission threshold."""
    gateway.threshold = event
