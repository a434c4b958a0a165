"""What answers, progress notes and load reports teach: work rates, biases of estimates, the fleet's load."""

from __future__ import annotations

from cottonhold.scheduler import class_history
from cottonhold.scheduler.engine_state import EngineView
from cottonhold.scheduler.events import AttemptEnded
from cottonhold.scheduler.gateway_state import GatewayState
from cottonhold.scheduler.parameters import HEARTBEAT_MS
from cottonhold.scheduler.query import Query

RATE_HALF_LIFE_MS = 3000.0  # of an engine's rate: some queries long, yet seconds short
RATE_PRIOR_MS = 800.0  # thread time for which the fleet's rate stands in while an engine taught little
BEST_RATE_HALF_LIFE_MS = 60000.0  # of the best rate seen, so that one lucky moment is forgotten
MAX_RUN_FACTOR = 3.0  # planned run times up to which an attempt teaches rate: beyond, the plan was bad
CLASS_GAIN = 0.03  # weight of one answer in a class's bias and error: tens of answers settle it
RUN_TIME_ERROR_GAIN = 0.5  # part of that weight with which a run longer than planned counts
IMPLIED_WORK_FACTOR = 8  # a run time implies no work further from the planned one than this
UTILIZATION_GAIN = 0.15  # weight of one report in the fleet's share of cores busy


def record_load_report(gateway: GatewayState, engine: EngineView, report: dict[str, float]) -> None:
    """Take over a load report, of an answer or a health check; values that make no sense are skipped."""
    if engine.apply_load_report(gateway.now, report):
        reported = min(engine.load_report.get("util", gateway.fleet_utilization), 1.0)
        gateway.fleet_utilization += UTILIZATION_GAIN * (reported - gateway.fleet_utilization)


def work_rate(gateway: GatewayState, engine: EngineView) -> float:
    """Learned rate in ms of work a thread ms; an engine with few or old samples counts as the fleet does."""
    now = gateway.now
    if engine.work_rate_at != now:
        fleet_rate = fleet_work_rate(gateway)
        engine.work_rate = engine.rate_average.value(now, RATE_HALF_LIFE_MS, RATE_PRIOR_MS, fleet_rate)
        engine.work_rate_at = now
    return engine.work_rate


def fleet_work_rate(gateway: GatewayState) -> float:
    """Learned rate of all engines together."""
    return gateway.fleet_rate_average.value(gateway.now, RATE_HALF_LIFE_MS, RATE_PRIOR_MS, 1.0)


def update_best_rate(gateway: GatewayState) -> None:
    """Once a heartbeat: the best rate that the fleet has shown, slowly forgotten."""
    faded = gateway.best_work_rate * 0.5 ** (HEARTBEAT_MS / BEST_RATE_HALF_LIFE_MS)
    gateway.best_work_rate = max(faded, fleet_work_rate(gateway))


def _record_work(gateway: GatewayState, engine: EngineView, work_ms: float, thread_ms: float) -> None:
    """Only work seen done teaches rate: a fast error must never make an engine look quick."""
    for average in (engine.rate_average, gateway.fleet_rate_average):
        average.add(gateway.now, RATE_HALF_LIFE_MS, work_ms, thread_ms)


def record_answer(gateway: GatewayState, query: Query, engine: EngineView, event: AttemptEnded) -> None:
    """Correct the class and the engine's rate by what a served query needed.

    An answer without its actual work implies it by the engine's rate; from that only biases between classes
    can be learned.
    """
    history, now = query.class_history, gateway.now
    engine_rate = work_rate(gateway, engine)  # before this answer, which counts from the next step on
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
    """Move the class's run time error towards the share by which the run took longer than planned."""
    history = query.class_history
    excess = 0.0
    if query.planned_run_ms:
        excess = min(max(elapsed_ms / query.planned_run_ms - 1, 0.0), 1.0)
    history.run_time_error += CLASS_GAIN * RUN_TIME_ERROR_GAIN * (excess - history.run_time_error)


def _implied_work_ms(query: Query, engine_rate: float, elapsed_ms: float, planned_work_ms: float) -> float:
    """The work that a run time stands for at the engine's rate, within bounds of the planned work."""
    thread_ms = max(elapsed_ms, 1.0) * query.query_class.threads
    implied_ms = max(thread_ms * engine_rate, planned_work_ms / IMPLIED_WORK_FACTOR)
    return min(implied_ms, planned_work_ms * IMPLIED_WORK_FACTOR)


def record_progress(gateway: GatewayState, query: Query, engine: EngineView, completed_share: float) -> None:
    """A progress note reported the share of the run that is completed."""
    now = gateway.now
    if now - query.sent_at <= MAX_RUN_FACTOR * query.planned_run_ms:
        work_ms = query.planned_work_ms * max(0.0, completed_share - query.completed_share)
        _record_work(gateway, engine, work_ms, (now - query.progress_at) * query.query_class.threads)
    query.completed_share = max(query.completed_share, min(completed_share, 1.0))
    query.progress_at = now
    query.is_waiting_for_memory = False


def record_spill(query: Query, missing_mb: float) -> None:
    """A progress note reported how many MB a run lacked."""
    if query.estimated_memory_mb > 0 and query.sent_memory_grant_mb:
        needed_mb = query.sent_memory_grant_mb + missing_mb
        query.class_history.record_memory_bias(CLASS_GAIN, needed_mb, query.estimated_memory_mb)
