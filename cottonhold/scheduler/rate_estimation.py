"""Estimation of work rates, biases and utilization from answers, progress notes and load reports."""

from __future__ import annotations

from cottonhold.scheduler import class_history
from cottonhold.scheduler.engine_state import EngineView
from cottonhold.scheduler.events import AttemptEnded
from cottonhold.scheduler.gateway_state import GatewayState
from cottonhold.scheduler.parameters import HEARTBEAT_MS
from cottonhold.scheduler.query import Query

RATE_HALF_LIFE_MS = 3000.0  # half-life of an engine's work rate; covers several queries but follows changes
RATE_PRIOR_MS = 800.0  # weight of the fleet's rate in an engine's rate, as thread time; for few samples
BEST_RATE_HALF_LIFE_MS = 60000.0  # half-life of the best rate seen, so that a single outlier is forgotten
MAX_RUN_FACTOR = 3.0  # ratio of actual to planned run time above which an attempt does not change rates
CLASS_GAIN = 0.03  # weight of one answer in a class's averages: they settle after some tens of answers
RUN_TIME_ERROR_GAIN = 0.5  # factor of CLASS_GAIN for the run time error
IMPLIED_WORK_FACTOR = 8  # largest ratio of implied to planned work, or of planned to implied work
UTILIZATION_GAIN = 0.15  # weight of one load report in the fleet's utilization


def record_load_report(gateway: GatewayState, engine: EngineView, report: dict[str, float]) -> None:
    """Store a load report of an engine and update the fleet's utilization; invalid values are ignored."""
    if engine.apply_load_report(gateway.now, report):
        reported = min(engine.load_report.get("util", gateway.fleet_utilization), 1.0)
        gateway.fleet_utilization += UTILIZATION_GAIN * (reported - gateway.fleet_utilization)


def work_rate(gateway: GatewayState, engine: EngineView) -> float:
    """Return an engine's rate in ms of work per thread ms; close to the fleet's if samples are few or old."""
    now = gateway.now
    if engine.work_rate_at != now:
        fleet_rate = fleet_work_rate(gateway)
        engine.work_rate = engine.rate_average.value(now, RATE_HALF_LIFE_MS, RATE_PRIOR_MS, fleet_rate)
        engine.work_rate_at = now
    return engine.work_rate


def fleet_work_rate(gateway: GatewayState) -> float:
    """Return the rate of all engines together, in ms of work per thread ms."""
    return gateway.fleet_rate_average.value(gateway.now, RATE_HALF_LIFE_MS, RATE_PRIOR_MS, 1.0)


def update_best_rate(gateway: GatewayState) -> None:
    """Update the slowly decaying best rate of the fleet; called once per heartbeat."""
    decayed = gateway.best_work_rate * 0.5 ** (HEARTBEAT_MS / BEST_RATE_HALF_LIFE_MS)
    gateway.best_work_rate = max(decayed, fleet_work_rate(gateway))


def _record_work(gateway: GatewayState, engine: EngineView, work_ms: float, thread_ms: float) -> None:
    """Update the rates with completed work; errors are not recorded, as fast errors would raise the rate."""
    for average in (engine.rate_average, gateway.fleet_rate_average):
        average.add(gateway.now, RATE_HALF_LIFE_MS, work_ms, thread_ms)


def record_answer(gateway: GatewayState, query: Query, engine: EngineView, event: AttemptEnded) -> None:
    """Update the history of the class and the rate of the engine with a served query.

    If the answer doesn't report the actual work, it is derived from the run time and the engine's rate. Such
    work only shows biases of classes relative to each other, so the mean bias is subtracted.
    """
    history, now = query.class_history, gateway.now
    engine_rate = work_rate(gateway, engine)  # does not include this answer until the next step
    work_ms = event.actual_work_ms or query.planned_work_ms
    implied_ms = event.actual_work_ms or _implied_work_ms(query, engine_rate, event.elapsed_ms, work_ms)
    gain = max(CLASS_GAIN, 1 / (history.answers_seen + 2))
    history.record_work(gain, work_ms, query.estimated_work_ms, implied_ms)
    history.record_memory(gain, event.actual_memory_mb, query.estimated_memory_mb)
    if query.estimated_work_ms > 0 and not event.actual_work_ms:
        class_history.centre_work_biases(gateway.class_histories)
    _record_run_time(query, event.elapsed_ms)
    is_in_plan = now - query.sent_at <= MAX_RUN_FACTOR * query.planned_run_ms
    if not query.query_class.is_load and (is_in_plan or event.actual_work_ms):
        remaining_work_ms = work_ms * max(0.0, 1 - query.completed_share)
        thread_ms = (now - query.progress_at) * query.query_class.threads
        _record_work(gateway, engine, remaining_work_ms, thread_ms)


def _record_run_time(query: Query, elapsed_ms: float) -> None:
    """Update the class's run time error with the share by which the run took longer than planned."""
    history = query.class_history
    excess = 0.0
    if query.planned_run_ms:
        excess = min(max(elapsed_ms / query.planned_run_ms - 1, 0.0), 1.0)
    history.run_time_error += CLASS_GAIN * RUN_TIME_ERROR_GAIN * (excess - history.run_time_error)


def _implied_work_ms(query: Query, engine_rate: float, elapsed_ms: float, planned_work_ms: float) -> float:
    """Return the work derived from run time and engine rate, within IMPLIED_WORK_FACTOR of the plan."""
    thread_ms = max(elapsed_ms, 1.0) * query.query_class.threads
    implied_ms = max(thread_ms * engine_rate, planned_work_ms / IMPLIED_WORK_FACTOR)
    return min(implied_ms, planned_work_ms * IMPLIED_WORK_FACTOR)


def record_progress(gateway: GatewayState, query: Query, engine: EngineView, completed_share: float) -> None:
    """Record the completed share of a run that a progress note reported."""
    now = gateway.now
    if now - query.sent_at <= MAX_RUN_FACTOR * query.planned_run_ms:
        work_ms = query.planned_work_ms * max(0.0, completed_share - query.completed_share)
        _record_work(gateway, engine, work_ms, (now - query.progress_at) * query.query_class.threads)
    query.completed_share = max(query.completed_share, min(completed_share, 1.0))
    query.progress_at = now
    query.is_waiting_for_memory = False


def record_spill(query: Query, missing_mb: float) -> None:
    """Record the missing memory, in MB, that a progress note reported."""
    if query.estimated_memory_mb > 0 and query.sent_memory_grant_mb:
        needed_mb = query.sent_memory_grant_mb + missing_mb
        query.class_history.record_memory_bias(CLASS_GAIN, needed_mb, query.estimated_memory_mb)
