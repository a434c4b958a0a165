"""Handles progress notes and the end of attempts, after which the query is answered or retried."""

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

WAITS_FOR_MEMORY = 1  # value of a WAITING note if the attempt waits for memory, not for a load


def on_attempt_ended(gateway: GatewayState, event: AttemptEnded) -> None:
    """Update the health of the engine of an ended attempt, then retry, answer or finish its query."""
    query = gateway.queries.get(event.query_id)
    engine = gateway.engines.get(event.engine)
    if engine is not None:
        engine_health.on_outcome(gateway, engine, query, event)
    if query is None or not query.is_in_flight:
        return
    query.is_in_flight = query.is_canary = False
    gateway.is_release_pending = True
    if engine is not None:
        _free_engine_capacity(gateway, query, engine)
    if event.outcome is Outcome.TIMEOUT and not gateway.settings.features.can_cancel:
        _count_unobserved(gateway, query)
    retry_policy.record_possible_execution(query, event.outcome)
    key_ordering.quiet_after(gateway, query, event.outcome)
    if query.is_finished or event.is_final:
        responses.finish(gateway, query, is_served=True)
        return
    _retry_or_answer(gateway, query, event.outcome)


def _free_engine_capacity(gateway: GatewayState, query: Query, engine: EngineView) -> None:
    """Free the capacity and the table locks that the attempt held on its engine."""
    gateway.in_flight.remove_attempt(query, engine, MIN_REMAINING_SHARE)
    query.tried_engine_ids.add(engine.id)
    release.pause_after_oversized_query(gateway, query)
    if query.query_class.is_load and not engine.loads_in_flight.get(query.table_group):
        engine.locked_until.pop(query.table_group, None)


def _count_unobserved(gateway: GatewayState, query: Query) -> None:
    """Record a timed-out attempt that can't be cancelled and is assumed to run on until its planned end."""
    running = [attempt for attempt in gateway.unobserved_attempts if attempt.expected_end_at > gateway.now]
    expected_end_at = gateway.now + query.planned_run_ms * (1 - query.completed_share)
    gateway.unobserved_attempts = [*running, UnobservedAttempt(expected_end_at, query)]


def _retry_or_answer(gateway: GatewayState, query: Query, outcome: Outcome) -> None:
    """Queue the query for a further attempt if the rules and the remaining time permit, else answer it.

    There is no further attempt after NOT_STARTED: the client disconnected, the remaining time was too short
    or the time to begin was over, the load could not be recorded, or the engine did not know the attempt. A
    further attempt needs at least half the planned run time. The deadline is added again, as it may have
    expired, and been removed from the queue of deadlines, while the attempt was in flight.
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
    """Apply a progress note of an attempt in flight; ignore a note of any other attempt."""
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
    """Record that the attempt waits for memory, so it does not run yet and its engine is under pressure."""
    query.is_waiting_for_memory = True
    query.running_since = gateway.now
    engine.under_pressure_until = gateway.now + utilization.PRESSURE_DURATION_MS


def on_stream_started(gateway: GatewayState, event: StreamStarted) -> None:
    """Record that the result is streamed to the client, so the attempt is not cancelled as a straggler."""
    if query := gateway.queries.get(event.query_id):
        query.is_streaming = True
