"""Admission: a query that arrives is queued for an engine, or rejected at once."""

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

SPARE_HEALTH_CHECKS = 2  # stay for engines in doubt: load is asked for with what is left over
REMAINING_TIME_TOLERANCE = 0.02  # of the time that most clients leave: ticks and the way here scatter it
MAX_REMAINING_TIME_VOTES = 40  # of the majority vote on it
SETTLED_REMAINING_TIME_VOTES = MAX_REMAINING_TIME_VOTES / 4  # from which most clients are taken to be alike
MAX_RETRIES_PER_UNSERVED = 1.5  # clients' retries for each query unserved: those of other gateways come too
MIN_ADMISSION_WORK_MS = 1e-3  # of a query without known work, where utility is divided by it


def on_query_arrived(gateway: GatewayState, event: QueryArrived) -> None:
    """Accept a query: queue it for an engine, or reject it where waiting would be in vain."""
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
    """Whether a query that an engine could take is rejected on arrival.

    That is a load that would be late, a query below the admission threshold, or a client's retry that can't
    earn anything any more.
    """
    if _is_late_load(query) or _is_below_threshold(gateway, query, admission_draw):
        return True
    return query.density <= 0 and query.first_tried_at < query.arrived_at


def _count_arrival(gateway: GatewayState, query: Query) -> None:
    """Count a query for the retry budget, the traffic, the health checks and its tenant."""
    retry_policy.count_accepted_query(gateway)
    gateway.local_traffic.add(gateway.now)
    budget = gateway.health_check_budget + gateway.health_checks_per_query
    gateway.health_check_budget = min(budget, CANDIDATES)
    _refresh_oldest_report(gateway)
    if query.tenant < len(gateway.tenant_traffic):
        gateway.tenant_traffic[query.tenant].add(gateway.now)


def _refresh_oldest_report(gateway: GatewayState) -> None:
    """Check the health of the engine with the oldest load report, within the budget left by engines in doubt.

    Where answers are rare, or only health checks bring load reports, load would be a guess.
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
    """Whether a load would end late behind those queued for the same tables.

    Loads that come faster than their tables come free would otherwise queue up to the deadline, all late.
    """
    is_late = query.estimated_finish_at > query.latency_objective_at
    if not query.query_class.is_load or not is_late or query.engine is None:
        return False
    return query.engine.queued_load_ms.get(query.table_group, 0.0) > query.planned_run_ms


def _is_below_threshold(gateway: GatewayState, query: Query, admission_draw: float | None) -> bool:
    """Whether the query's utility by work is below the fleet's admission threshold.

    One threshold for all gateways keeps one from serving queries of less utility than another rejects.
    """
    threshold = gateway.threshold
    if admission_draw is None or gateway.now >= threshold.expires_at:
        return False
    density = query.full_utility / max(query.admission_work_ms(), MIN_ADMISSION_WORK_MS)
    if admission_draw < threshold.marginal_share:
        return density < threshold.marginal_density
    return density < threshold.full_density


def _first_tried_at(gateway: GatewayState, query: Query, is_marked_retry: bool) -> float:
    """When the client first tried: now, or for a client's retry as long ago as it can have been.

    Utility runs from the first try, so that a late retry must not look as dense as a new query. An unmarked
    retry is recognized by a time left unlike that of most; only where queries went unserved can there be any.
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
    """The client has left: the query is finished, and its attempt cancelled unless it is not idempotent."""
    query = gateway.queries.get(event.query_id)
    if query is None or query.is_finished:
        return
    query.leave_plan()
    is_idempotent = query.query_class.idempotency is not Idempotency.NOT_IDEMPOTENT
    if gateway.settings.features.can_cancel and is_idempotent:
        straggler_cancellation.cancel(gateway, query)
    responses.finish(gateway, query)


def on_admission_threshold(gateway: GatewayState, event: AdmissionThreshold) -> None:
    """The fleet has another admission threshold."""
    gateway.threshold = event
