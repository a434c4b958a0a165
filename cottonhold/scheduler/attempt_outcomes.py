"""What comes of attempts: notes on the way, their end, and what follows it for the query."""

from __future__ import annotations

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
from cottonhold.scheduler.events import AttemptEnded, Outcome, ProgressKind, ProgressNote, StreamStarted
from cottonhold.scheduler.gateway_state import GatewayState
from cottonhold.scheduler.parameters import LEFT_LEAST
from cottonhold.scheduler.state import EngineView, Query

WAITS_FOR_MEMORY = 1  # value of a note that an attempt waits: for memory, else for a load on its tables


def on_ended(gateway: GatewayState, event: AttemptEnded) -> None:
    """An attempt has ended: judge its engine, then answer or try again."""
    query = gateway.queries.get(event.query_id)
    engine = gateway.engines.get(event.engine)
    if engine is not None:
        engine_health.judge(gateway, engine, query, event)
    if query is None or not query.out:
        return
    query.out = query.trickle = False
    gateway.changed = True
    if engine is not None:
        _leave_engine(gateway, query, engine)
    if event.outcome is Outcome.TIMEOUT and not gateway.settings.features.can_cancel:
        _count_unseen(gateway, query)
    retry_policy.note_risk(query, engine, event.outcome)
    key_ordering.rest_after(gateway, query, event.outcome)
    if query.over or event.is_final:
        responses.close(gateway, query, served=True)
        return
    _try_again(gateway, query, event.outcome)


def _leave_engine(gateway: GatewayState, query: Query, engine: EngineView) -> None:
    """The attempt takes no room on its engine any more."""
    gateway.pool.drop_out(query, engine, LEFT_LEAST)
    query.tried.add(engine.id)
    release.rest_after_wide(gateway, query)
    if query.cls.is_load and not engine.loading.get(query.tables):
        engine.locks.pop(query.tables, None)


def _count_unseen(gateway: GatewayState, query: Query) -> None:
    """A timed-out attempt that nothing cancels runs on unseen, for the time planned."""
    running = [entry for entry in gateway.unseen if entry[0] > gateway.now]
    gateway.unseen = [*running, (gateway.now + query.p * (1 - query.done), query)]


def _try_again(gateway: GatewayState, query: Query, outcome: Outcome) -> None:
    """Try elsewhere if rules and time allow, else answer at once."""
    late = gateway.now + max(query.p / 2, gateway.slack) > query.due
    if outcome is Outcome.ALREADY_FINISHED or retry_policy.repeat_barred(gateway, query) or late:
        responses.answer(gateway, query)
    else:
        # Danger: its deadline had come up while its attempt was out. Held again, under settings with a
        # shorter slack, nothing looked at it any more, and it was never answered.
        gateway.deadlines.add(query)
        placement.place(gateway, query)
        release.release(gateway)


def on_note(gateway: GatewayState, event: ProgressNote) -> None:
    """News of a running attempt."""
    query = gateway.queries.get(event.query_id)
    engine = gateway.engines.get(event.engine)
    if query is None or engine is None or query.id not in engine.out:
        return
    engine_health.heard_from(gateway, engine, query.sent_at)
    if event.kind is ProgressKind.PROGRESS:
        rate_estimation.learn_progress(gateway, query, engine, event.value)
    elif event.kind is ProgressKind.SPILL:
        rate_estimation.learn_spill(query, event.value)
    elif event.value == WAITS_FOR_MEMORY:
        query.waits = True
        query.run_at = gateway.now
        engine.pressed_until = gateway.now + utilization.FULL_REST_MS
    elif query.tables not in engine.locks or engine.locks[query.tables] < gateway.now:
        engine.locks[query.tables] = gateway.now + gateway.settings.progress_interval_ms


def on_stream(gateway: GatewayState, event: StreamStarted) -> None:
    """The answer has begun: the attempt is the client's now."""
    if query := gateway.queries.get(event.query_id):
        query.streaming = True
