"""Straggler cancellation: cancels an attempt far beyond its plan if a new attempt would end much sooner."""

from __future__ import annotations

import math

from cottonhold.scheduler import placement, retry_policy, utilization
from cottonhold.scheduler.actions import Cancel
from cottonhold.scheduler.engine_health import UNRESPONSIVE
from cottonhold.scheduler.engine_state import EngineView
from cottonhold.scheduler.gateway_state import GatewayState
from cottonhold.scheduler.query import Query
from cottonhold.scheduler.settings import Idempotency

# An attempt may be cancelled after this many planned run times. Without progress notes its remaining time is
# assumed to be this many times the elapsed time. A new attempt must be this many times shorter than that.
STRAGGLER_FACTOR = 2.0
MIN_COMPLETED_SHARE = 0.05  # lowest completed share assumed for a run, if progress notes report less


def cancel_stragglers(gateway: GatewayState, engine: EngineView) -> None:
    """Cancel the attempts on an engine that a new attempt on another engine would overtake.

    On a full fleet most runs take more than STRAGGLER_FACTOR times the planned time, and cancelling them
    would only add work. So the limit is raised there, by up to a factor of two for engines that are not
    observed. Whether the fleet is full is determined by this gateway's work in flight, as load reports lag.
    """
    is_full = utilization.fleet_used_share(gateway, 0.0) > utilization.IDLE_UTILIZATION
    planned_runs = STRAGGLER_FACTOR * (1 + gateway.unobserved_share * is_full)
    for query in list(engine.in_flight.values()):
        if _may_cancel(gateway, query, engine, planned_runs) and _is_overtaken(gateway, query, engine):
            cancel(gateway, query)


def _may_cancel(gateway: GatewayState, query: Query, engine: EngineView, planned_runs: float) -> bool:
    """Return whether the attempt may be cancelled and retried.

    The attempt must be late, have a progress note, or be on an engine from which no answer is expected. A
    progress note is sufficient as it permits a better estimate than the plan.
    """
    if (
        query.is_cancelled
        or query.is_finished
        or query.is_streaming
        or query.query_class.idempotency is not Idempotency.IDEMPOTENT
    ):
        return False
    has_progress_note = query.progress_at > query.running_since
    is_in_plan = gateway.now - query.sent_at < planned_runs * query.planned_run_ms
    if not _expects_no_answer(engine) and is_in_plan and not has_progress_note:
        return False
    return retry_policy.retry_barrier(gateway, query) is None


def _is_overtaken(gateway: GatewayState, query: Query, engine: EngineView) -> bool:
    """Return whether a new attempt on another engine would end much sooner, and before the deadline."""
    remaining_ms = _remaining_ms(gateway, query, engine)
    others = [
        other
        for other in placement.candidate_engines(gateway, query)
        if other is not engine and not other.ejection_reason
    ]
    finishes = [placement.tentative_plan(gateway, query, other).finish_at for other in others]
    new_attempt_ms = min(finishes, default=math.inf) - gateway.now
    return (
        remaining_ms > STRAGGLER_FACTOR * new_attempt_ms and gateway.now + new_attempt_ms < query.deadline_at
    )


def _expects_no_answer(engine: EngineView) -> bool:
    """Return whether no answer is expected: the engine is unresponsive, or its quota is 0."""
    return engine.ejection_reason in UNRESPONSIVE or not engine.quota_rate


def _remaining_ms(gateway: GatewayState, query: Query, engine: EngineView) -> float:
    """Return the expected remaining time of the attempt, in ms, by its progress notes or elapsed time."""
    if _expects_no_answer(engine):
        return math.inf
    if gateway.settings.progress_interval_ms:
        run_ms = gateway.now - query.running_since
        completed_share = max(query.completed_share, MIN_COMPLETED_SHARE)
        return run_ms / completed_share * (1 - query.completed_share)
    return STRAGGLER_FACTOR * (gateway.now - query.sent_at)


def cancel(gateway: GatewayState, query: Query) -> None:
    """Cancel the query's attempt in flight, unless it is cancelled already."""
    if query.is_in_flight and not query.is_cancelled:
        query.is_cancelled = True
        gateway.actions.append(Cancel(query.id, query.attempts_sent - 1))
