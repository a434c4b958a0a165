"""Straggler cancellation: an attempt far past its plan is given up where a fresh one would end sooner."""

from __future__ import annotations

import math

from cottonhold.scheduler import placement, retry_policy, utilization
from cottonhold.scheduler.actions import Cancel
from cottonhold.scheduler.engine_health import UNRESPONSIVE
from cottonhold.scheduler.engine_state import EngineView
from cottonhold.scheduler.gateway_state import GatewayState
from cottonhold.scheduler.query import Query
from cottonhold.scheduler.settings import Idempotency

STRAGGLER_FACTOR = 2.0  # planned runs before a retry, times run expected to remain, times sooner than it
MIN_COMPLETED_SHARE = 0.05  # of a run, taken to be completed where progress notes report less


def cancel_stragglers(gateway: GatewayState, engine: EngineView) -> None:
    """Cancel the attempts on an engine that a fresh one elsewhere would overtake.

    On a full fleet most runs pass two planned ones, and giving them up would only add work: there up to twice
    as many are waited for, the rarer engines are observed. Fullness is by own work in flight, as reports lag.
    """
    is_full = utilization.fleet_used_share(gateway, 0.0) > utilization.IDLE_UTILIZATION
    planned_runs = STRAGGLER_FACTOR * (1 + gateway.unobserved_share * is_full)
    for query in list(engine.in_flight.values()):
        if _may_cancel(gateway, query, engine, planned_runs) and _is_overtaken(gateway, query, engine):
            cancel(gateway, query)


def _may_cancel(gateway: GatewayState, query: Query, engine: EngineView, planned_runs: float) -> bool:
    """Whether the attempt is late enough, or its engine given up, and a further attempt is allowed.

    A progress note shows a bad plan at once, before the planned runs are over.
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
    if not _is_given_up(engine) and is_in_plan and not has_progress_note:
        return False
    return retry_policy.retry_barrier(gateway, query) is None


def _is_overtaken(gateway: GatewayState, query: Query, engine: EngineView) -> bool:
    """Whether a fresh attempt elsewhere would end much sooner, and in time."""
    remaining_ms = _remaining_ms(gateway, query, engine)
    others = [
        other
        for other in placement.candidate_engines(gateway, query)
        if other is not engine and not other.ejection_reason
    ]
    finishes = [placement.tentative_plan(gateway, query, other).finish_at for other in others]
    fresh_ms = min(finishes, default=math.inf) - gateway.now
    return remaining_ms > STRAGGLER_FACTOR * fresh_ms and gateway.now + fresh_ms < query.deadline_at


def _is_given_up(engine: EngineView) -> bool:
    """Whether nothing is expected of the engine: it is unresponsive, or the fleet has closed it."""
    return engine.ejection_reason in UNRESPONSIVE or not engine.quota_rate


def _remaining_ms(gateway: GatewayState, query: Query, engine: EngineView) -> float:
    """How long the attempt is expected to run on: by its progress notes, else by the time run."""
    if _is_given_up(engine):
        return math.inf
    if gateway.settings.progress_interval_ms:
        run_ms = gateway.now - query.running_since
        completed_share = max(query.completed_share, MIN_COMPLETED_SHARE)
        return run_ms / completed_share * (1 - query.completed_share)
    return STRAGGLER_FACTOR * (gateway.now - query.sent_at)


def cancel(gateway: GatewayState, query: Query) -> None:
    """Cancel the attempt in flight, once."""
    if query.is_in_flight and not query.is_cancelled:
        query.is_cancelled = True
        gateway.actions.append(Cancel(query.id, query.attempts_sent - 1))
