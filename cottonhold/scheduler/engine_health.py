"""Engine health: evaluates evidence of faults, and ejects and readmits engines.

An engine is ejected when
- a connect fails,
- its smoothed share of errors and lost connections exceeds EJECTION_ERROR_SHARE,
- it sends nothing while queries are overdue, or
- a health check times out.
Time-outs and cancelled attempts are not evidence of a fault, and OVERLOADED only causes a back-off.

An ejected engine is sent only canaries, unless no usable engine may run a query. It is readmitted
- after MIN_CANARY_SUCCESSES served queries in a row with an error share below READMISSION_ERROR_SHARE,
- when an answer shows that the evidence was false,
- when it restarts or leaves the live state,
- when the fleet reopens it with a quota above 0, or
- EJECTION_MS after the last evidence.
"""

from __future__ import annotations

from cottonhold.scheduler import placement, rate_estimation, slow_start, utilization
from cottonhold.scheduler.actions import CheckHealth, LogLine
from cottonhold.scheduler.engine_state import EjectionReason, EngineView
from cottonhold.scheduler.events import AttemptEnded, HealthCheckCompleted, Outcome
from cottonhold.scheduler.gateway_state import GatewayState
from cottonhold.scheduler.parameters import EJECTION_MS
from cottonhold.scheduler.query import Query

UNRESPONSIVE = (EjectionReason.SILENT, EjectionReason.HEALTH_CHECK_TIMEOUT)  # work accepted, nothing sent
MAY_HAVE_RESTARTED = (EjectionReason.UNREACHABLE, *UNRESPONSIVE)
MIN_SILENCE_MS = 900.0  # shorter silence is not a fault: healthy engines pause for half a second at times
OVERDUE_FACTOR = 1.5  # ratio of actual to planned run time above which an attempt is overdue
ERROR_GAIN = 0.15  # weight of one outcome in an engine's error share
EJECTION_ERROR_SHARE = 0.35  # an engine with a larger share is ejected; healthy engines stay far below
READMISSION_ERROR_SHARE = 0.15  # upper limit for readmission; the gap between the limits prevents flapping
MIN_CANARY_SUCCESSES = 3  # served queries in a row that end an ejection


def eject(gateway: GatewayState, engine: EngineView, reason: EjectionReason) -> None:
    """Eject an engine: requeue its queries and send it only canaries from now on.

    The engine list reports a failed engine seconds late, so this gateway acts on its own evidence. A healthy
    engine that is ejected by mistake is soon readmitted.
    """
    now = gateway.now
    engine.ejected_until = now + EJECTION_MS
    if engine.ejection_reason is reason:
        return
    if not engine.ejection_reason:
        gateway.ejected_engines[engine.id] = engine
        engine.ejected_at = now
        gateway.in_flight.on_engine_ejected(engine)
        interval_ms = placement.CANARY_INTERVAL_MS / gateway.traffic_share
        engine.next_canary_at = now + interval_ms * gateway.random.random()
        gateway.actions.append(LogLine(f"engine {engine.id} suspect: {reason.value}"))
    engine.ejection_reason = reason
    engine.consecutive_successes = 0
    for query in engine.clear_plan():
        placement.place(gateway, query)


def readmit(gateway: GatewayState, engine: EngineView) -> None:
    """End the ejection of an engine, if it is ejected."""
    if engine.ejection_reason:
        gateway.actions.append(LogLine(f"engine {engine.id} trusted again"))
        del gateway.ejected_engines[engine.id]
        gateway.in_flight.on_engine_readmitted(engine)
    engine.ejection_reason = None
    engine.consecutive_successes = 0


def on_alive(gateway: GatewayState, engine: EngineView, sent_at: float) -> None:
    """Record that the engine sent something about a query that was sent to it at `sent_at`.

    Readmits an engine ejected as unresponsive if the query was sent before the ejection: this shows that its
    process has been alive throughout.
    """
    engine.last_received_at = gateway.now
    if engine.ejection_reason in UNRESPONSIVE and sent_at < engine.ejected_at:
        readmit(gateway, engine)


def on_outcome(gateway: GatewayState, engine: EngineView, query: Query | None, event: AttemptEnded) -> None:
    """Update the health and the work rate of an engine by the outcome of an attempt.

    OVERLOADED does not show that the engine is alive: a hung engine still rejects work.
    """
    outcome = event.outcome
    sent_at = gateway.now - event.elapsed_ms
    rate_estimation.record_load_report(gateway, engine, event.load_report)
    if outcome in (Outcome.OK, Outcome.ERROR):
        on_alive(gateway, engine, sent_at)
    if outcome is Outcome.OK:
        _on_success(gateway, engine, sent_at)
        if query is not None and query.is_in_flight:
            rate_estimation.record_answer(gateway, query, engine, event)
    elif outcome is Outcome.OVERLOADED:
        _back_off(gateway, engine)
    elif outcome in (Outcome.ERROR, Outcome.CONNECT_FAILED, Outcome.RESET):
        _on_failure(gateway, engine, query, outcome)


def _back_off(gateway: GatewayState, engine: EngineView) -> None:
    """Back off from an engine that rejected work as overloaded.

    The time doubles with each rejection in a row, up to EJECTION_MS. A hung engine rejects work immediately,
    so it looks idle and would otherwise be sent more and more work.
    """
    engine.consecutive_overloads += 1
    engine.under_pressure_until = gateway.now + utilization.PRESSURE_DURATION_MS
    backoff_ms = min(utilization.PRESSURE_DURATION_MS * 2**engine.consecutive_overloads, EJECTION_MS)
    engine.backoff_until = gateway.now + backoff_ms


def _on_success(gateway: GatewayState, engine: EngineView, sent_at: float) -> None:
    """Record a served query, and readmit the engine after enough of them.

    An engine that may have restarted is treated as cold from its first served query on.
    """
    engine.error_share -= ERROR_GAIN * engine.error_share
    engine.consecutive_successes += 1
    engine.consecutive_overloads = 0
    is_first = engine.consecutive_successes == 1 and sent_at >= engine.ejected_at
    if is_first and engine.ejection_reason in MAY_HAVE_RESTARTED:
        slow_start.start_warming(gateway, engine, gateway.now + gateway.settings.rules.warm_up_ms)
    has_recovered = engine.consecutive_successes >= MIN_CANARY_SUCCESSES
    if engine.ejection_reason and has_recovered and engine.error_share < READMISSION_ERROR_SHARE:
        readmit(gateway, engine)


def _on_failure(gateway: GatewayState, engine: EngineView, query: Query | None, outcome: Outcome) -> None:
    """Record an error, a lost connection or a failed connect, and eject the engine if they suffice.

    A failed connect ejects the engine immediately. All connections lost at the same time count as one error:
    the next connect or the health check sent here shows whether the engine has failed.
    """
    if outcome is Outcome.ERROR and query is not None and _count_query_error(query, engine):
        return
    if outcome is Outcome.RESET:
        if engine.connection_lost_at == gateway.now:
            return
        engine.connection_lost_at = gateway.now
        if gateway.settings.features.has_health_checks:
            check_health(gateway, engine)
    engine.error_share += ERROR_GAIN * (1 - engine.error_share)
    engine.consecutive_successes = 0
    if outcome is Outcome.CONNECT_FAILED or engine.error_share > EJECTION_ERROR_SHARE:
        is_error = outcome is Outcome.ERROR
        eject(gateway, engine, EjectionReason.ERRORS if is_error else EjectionReason.UNREACHABLE)


def _count_query_error(query: Query, engine: EngineView) -> bool:
    """Count an error of the query, and return whether the query rather than the engine causes it.

    This is assumed from the query's second error on. That error is attributed to no engine, and the first
    error is subtracted from the error share of its engine.
    """
    query.engine_error_count += 1
    if query.first_error_engine is None:
        query.first_error_engine = engine
        return False
    query.first_error_engine.error_share = max(0.0, query.first_error_engine.error_share - ERROR_GAIN)
    return True


def check_silence(gateway: GatewayState, engine: EngineView) -> None:
    """Eject an engine that has sent nothing for too long while queries are overdue."""
    if not engine.ejection_reason and _is_silent(gateway, engine):
        eject(gateway, engine, EjectionReason.SILENT)


def _is_silent(gateway: GatewayState, engine: EngineView) -> bool:
    """Return whether queries are overdue and the engine sends neither answers nor progress notes.

    The cause is a hang or a lost host. A query that waits for memory is never overdue, as the engine sends no
    progress note for it until it runs. Without progress notes a single long query looks the same as silence.
    In that case a health check is sent, whose result decides, and the return value is false.
    """
    overdue_from = [
        query.sent_at + OVERDUE_FACTOR * query.planned_run_ms
        for query in engine.in_flight.values()
        if not query.is_waiting_for_memory
    ]
    silent_from = max(engine.last_received_at, min(overdue_from, default=gateway.now))
    silence_ms = gateway.now - silent_from
    progress_interval_ms = gateway.settings.progress_interval_ms
    if progress_interval_ms or not gateway.settings.features.has_health_checks:
        return silence_ms > max(MIN_SILENCE_MS, progress_interval_ms)
    if silence_ms > 0:
        check_health(gateway, engine)
    return False


def review_ejections(gateway: GatewayState) -> None:
    """Readmit the engines whose ejection has expired, and check the health of the other ejected ones."""
    for engine in list(gateway.ejected_engines.values()):
        if gateway.now >= engine.ejected_until:
            readmit(gateway, engine)
        elif gateway.settings.features.has_health_checks and engine.quota_rate:
            check_health(gateway, engine)


def check_health(gateway: GatewayState, engine: EngineView) -> None:
    """Send a health check if the budget permits and the last one of this engine is not too recent.

    Accepted queries add to the budget, as each check has a cost.
    """
    is_rested = gateway.now - engine.health_checked_at >= MIN_SILENCE_MS
    if gateway.health_check_budget >= 1 and is_rested:
        gateway.health_check_budget -= 1
        engine.health_checked_at = gateway.now
        gateway.actions.append(CheckHealth(engine.id))


def on_health_check_completed(gateway: GatewayState, event: HealthCheckCompleted) -> None:
    """Update the health of an engine by the result of a health check.

    A success readmits an engine ejected for a health check that timed out, and permits an immediate canary to
    an engine ejected as unreachable.
    """
    engine = gateway.engines.get(event.engine)
    if engine is None:
        return
    if event.outcome is not Outcome.OK:
        _on_health_check_failed(gateway, engine, event.outcome)
        return
    rate_estimation.record_load_report(gateway, engine, event.load_report)
    if engine.ejection_reason is EjectionReason.HEALTH_CHECK_TIMEOUT:
        readmit(gateway, engine)
    elif engine.ejection_reason is EjectionReason.UNREACHABLE:
        engine.next_canary_at = min(engine.next_canary_at, gateway.now)


def _on_health_check_failed(gateway: GatewayState, engine: EngineView, outcome: Outcome) -> None:
    """Eject an engine with queries in flight if its health check timed out or could not connect."""
    if engine.in_flight and outcome is Outcome.TIMEOUT:
        eject(gateway, engine, EjectionReason.HEALTH_CHECK_TIMEOUT)
    elif engine.in_flight and outcome is Outcome.CONNECT_FAILED:
        eject(gateway, engine, EjectionReason.UNREACHABLE)
