"""What comes of attempts: progress notes, their end, and what follows it for the query."""

from __future__ import annotations

import math

from cottonhold.scheduler import (
    engine_health,
    key_ordering,
    placement,
    rate_estimation,
    release,
    responses,
    retry_policy,
    utilization,
)
from cottonhold.scheduler.engine_state import EngineView
from cottonhold.scheduler.events import AttemptEnded, Outcome, ProgressKind, ProgressNote, StreamStarted
from cottonhold.scheduler.gateway_state import GatewayState, UnobservedAttempt
from cottonhold.scheduler.parameters import MIN_REMAINING_SHARE
from cottonhold.scheduler.query import Query

WAITS_FOR_MEMORY = 1  # value of a note that an attempt waits: for memory, else for a load on its tables


def on_attempt_ended(gateway: GatewayState, event: AttemptEnded) -> None:
    """An attempt has ended: judge its engine, then answer the query or retry it."""
    query = gateway.queries.get(event.query_id)
    engine = gateway.engines.get(event.engine)
    if engine is not None:
        engine_health.on_outcome(gateway, engine, query, event)
    if query is None or not query.is_in_flight:
        return
    query.is_in_flight = query.is_canary = False
    gateway.is_release_pending = True
    if engine is not None:
        _leave_engine(gateway, query, engine)
    if event.outcome is Outcome.TIMEOUT and not gateway.settings.features.can_cancel:
        _count_unobserved(gateway, query)
    retry_policy.record_possible_execution(query, engine, event.outcome)
    key_ordering.quiet_after(gateway, query, event.outcome)
    if query.is_finished or event.is_final:
        responses.finish(gateway, query, is_served=True)
        return
    _retry_or_answer(gateway, query, event.outcome)


def _leave_engine(gateway: GatewayState, query: Query, engine: EngineView) -> None:
    """Free what the attempt took of its engine's capacity."""
    gateway.in_flight.remove_attempt(query, engine, MIN_REMAINING_SHARE)
    query.tried_engine_ids.add(engine.id)
    release.pause_after_wide_query(gateway, query)
    if query.query_class.is_load and not engine.loads_in_flight.get(query.table_group):
        engine.locked_until.pop(query.table_group, None)


def _count_unobserved(gateway: GatewayState, query: Query) -> None:
    """Count a timed-out attempt that nothing cancels, which runs on unobserved for the time planned."""
    running = [a for a in gateway.unobserved_attempts if a.expected_end_at > gateway.now]
    expected_end_at = gateway.now + query.planned_run_ms * (1 - query.completed_share)
    gateway.unobserved_attempts = [*running, UnobservedAttempt(expected_end_at, query)]


def _retry_or_answer(gateway: GatewayState, query: Query, outcome: Outcome) -> None:
    """Queue the query for a further attempt if the rules and the time left allow one, else answer it.

    An attempt that this side withdrew before it started is not tried again: the client left, too little time
    remained, or the load could not be recorded. A further attempt needs half a planned run of time at least.
    The deadline is added again: it may have come up, and been dropped, while the attempt was in flight.
    """
    needed_ms = max(query.planned_run_ms / 2, gateway.answer_margin_ms)
    is_late = gateway.now + needed_ms > query.deadline_at
    if outcome is Outcome.NOT_STARTED or retry_policy.retry_barrier(gateway, query) or is_late:
        responses.reject_or_fail(gateway, query)
        return
    gateway.deadlines.add(query)
    placement.place(gateway, query)
    release.release_queued(gateway)


def on_progress_note(gateway: GatewayState, event: ProgressNote) -> None:
    """Apply news of a running attempt."""
    query = gateway.queries.get(event.query_id)
    engine = gateway.engines.get(event.engine)
    if query is None or engine is None or query.id not in engine.in_flight:
        return
    engine_health.on_alive(gateway, engine, query.sent_at)
    if event.kind is ProgressKind.PROGRESS:
        rate_estimation.record_progress(gateway, query, engine, event.value)
    elif event.kind is ProgressKind.SPILL:
        rate_estimation.record_spill(query, event.value)
    elif event.value == WAITS_FOR_MEMORY:
        _on_memory_wait(gateway, query, engine)
    elif engine.locked_until.get(query.table_group, -math.inf) < gateway.now:
        engine.locked_until[query.table_group] = gateway.now + gateway.settings.progress_interval_ms


def _on_memory_wait(gateway: GatewayState, query: Query, engine: EngineView) -> None:
    """The attempt waits for memory: it does not run yet, and its engine is under pressure."""
    query.is_waiting_for_memory = True
    query.running_since = gateway.now
    engine.under_pressure_until = gateway.now + utilization.PRESSURE_HOLD_MS


def on_stream_started(gateway: GatewayState, event: StreamStarted) -> None:
    """The result has begun: the attempt belongs to the client now."""
    if query := gateway.queries.get(event.query_id):
        query.is_streaming = True
