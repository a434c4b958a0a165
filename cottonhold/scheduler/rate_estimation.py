"""What answers, notes and reports teach: rates of engines, bias of told costs, load of the fleet."""

from __future__ import annotations

from cottonhold.scheduler import class_history
from cottonhold.scheduler.events import AttemptEnded
from cottonhold.scheduler.gateway_state import GatewayState
from cottonhold.scheduler.parameters import HEARTBEAT_MS
from cottonhold.scheduler.state import EngineView, Query

RATE_HALF_LIFE_MS = 3000.0  # of an engine's learned rate: some queries long, yet seconds short
RATE_PRIOR_MS = 800.0  # thread time for which the fleet's rate stands in while an engine taught little
BEST_HALF_LIFE_MS = 60000.0  # of the best rate seen, so that one lucky moment is forgotten
TEACH_LIMIT = 3.0  # an attempt teaches rate up to so many planned run times: a bad plan is not the engine
CLASS_GAIN = 0.03  # weight of one answer in a class's bias and error: tens of answers settle it
ERROR_OF_RUN_GAIN = 0.5  # part of that weight with which a run longer than planned counts
IMPLIED_COST_FACTOR = 8  # a run time implies no cost further from the planned one than this
UTIL_GAIN = 0.15  # weight of one report in the fleet's share of cores busy


def hear_report(gateway: GatewayState, engine: EngineView, report: dict[str, float]) -> None:
    """A load report, of an answer or a probe; values that make no sense tell nothing."""
    if engine.hear_report(gateway.now, report):
        told = min(engine.report.get("util", gateway.util), 1.0)
        gateway.util += UTIL_GAIN * (told - gateway.util)


def rate(gateway: GatewayState, engine: EngineView) -> float:
    """Learned rate; an engine with few or old samples of its own counts as the fleet does."""
    now = gateway.now
    if engine.rate_at != now:
        fleet = fleet_rate(gateway)
        engine.rate = engine.speed.value(now, RATE_HALF_LIFE_MS, RATE_PRIOR_MS, fleet)
        engine.rate_at = now
    return engine.rate


def fleet_rate(gateway: GatewayState) -> float:
    """Learned rate of all engines together."""
    return gateway.fleet.value(gateway.now, RATE_HALF_LIFE_MS, RATE_PRIOR_MS, 1.0)


def follow_best(gateway: GatewayState) -> None:
    """Once a heartbeat: the best rate that the fleet has shown, slowly forgotten."""
    fading = gateway.best * 0.5 ** (HEARTBEAT_MS / BEST_HALF_LIFE_MS)
    gateway.best = max(fading, fleet_rate(gateway))


def learn_rate(gateway: GatewayState, engine: EngineView, work: float, thread_ms: float) -> None:
    """Only work seen done teaches rate: a fast error must never make an engine look quick."""
    for learned in (engine.speed, gateway.fleet):
        learned.learn(gateway.now, RATE_HALF_LIFE_MS, work, thread_ms)


def learn_answer(gateway: GatewayState, query: Query, engine: EngineView, event: AttemptEnded) -> None:
    """What a served query needed corrects its class and the engine's rate."""
    learned, now = query.learned, gateway.now
    engine_rate = rate(gateway, engine)  # before this answer, which counts from the next step on
    cost = event.actual_work_ms or query.cost
    implied = event.actual_work_ms or _implied_cost(query, engine_rate, event.elapsed_ms, cost)
    learned.answer(max(CLASS_GAIN, 1 / (learned.seen + 2)), query, cost, implied, event.actual_memory_mb)
    if query.told > 0 and not event.actual_work_ms:
        # only biases between classes can be told from an engine's rate
        class_history.centre_bias(gateway.classes)
    miss = min(max(event.elapsed_ms / query.p - 1, 0.0), 1.0) if query.p else 0.0
    learned.delta += CLASS_GAIN * ERROR_OF_RUN_GAIN * (miss - learned.delta)
    if not query.cls.is_load and (now - query.sent_at <= TEACH_LIMIT * query.p or event.actual_work_ms):
        work = cost * max(0.0, 1 - query.done)
        learn_rate(gateway, engine, work, (now - query.seen_at) * query.cls.threads)


def _implied_cost(query: Query, engine_rate: float, elapsed: float, planned: float) -> float:
    """The cost that a run time stands for at the engine's rate, within bounds of the planned one."""
    thread_ms = max(elapsed, 1.0) * query.cls.threads
    implied = max(thread_ms * engine_rate, planned / IMPLIED_COST_FACTOR)
    return min(implied, planned * IMPLIED_COST_FACTOR)


def learn_progress(gateway: GatewayState, query: Query, engine: EngineView, done: float) -> None:
    """A note told the part of the run that is done."""
    now = gateway.now
    if now - query.sent_at <= TEACH_LIMIT * query.p:
        work = query.cost * max(0.0, done - query.done)
        learn_rate(gateway, engine, work, (now - query.seen_at) * query.cls.threads)
    query.done = max(query.done, min(done, 1.0))
    query.seen_at = now
    query.waits = False


def learn_spill(query: Query, missing: float) -> None:
    """A note told how many MB a run lacked."""
    if query.told_memory > 0 and query.grant:
        query.learned.needed(CLASS_GAIN, query, query.grant + missing)
