"""Engine health: failure evidence, suspicion and its end.

An engine is suspect where connects fail ("dead"), where it answers mostly errors ("errors"), where it says
nothing while queries are out ("silent"), or where a probe gets no answer ("deaf").
"""

from __future__ import annotations

from cottonhold.scheduler import placement, rate_estimation, slow_start, utilization
from cottonhold.scheduler.actions import CheckHealth, LogLine
from cottonhold.scheduler.events import AttemptEnded, HealthCheckCompleted, Outcome
from cottonhold.scheduler.gateway_state import GatewayState
from cottonhold.scheduler.parameters import SUSPICION_MS
from cottonhold.scheduler.state import EngineView, Query

DEAD, DEAF, ERRORS, SILENT = "dead", "deaf", "errors", "silent"
UNHEARD = (SILENT, DEAF)  # suspicions of engines that take work and say nothing
SILENCE_MIN_MS = 900.0  # no shorter silence is a symptom: engines pause for half a second at times
OVERDUE = 1.5  # planned run times after which an attempt ought to have answered: silence counts from there
ERROR_GAIN = 0.15  # weight of one outcome in an engine's error share
ERROR_SUSPECT = 0.35  # error share from which an engine is suspect; clean engines stay far below
ERROR_CLEAR = 0.15  # and below which it is trusted again, so that it does not flap
TRICKLE_GOOD = 3  # served queries in a row that end a suspicion of death or silence


def suspect(gateway: GatewayState, engine: EngineView, why: str) -> None:
    """Suspect an engine: what is held for it goes elsewhere, and only a trickle of safe queries tests it."""
    # Danger: a crash, hang, cut link or fast errors eat queries until the list tells, seconds late.
    # It may hurt when a healthy engine is merely slow to speak; the trickle clears it, or time.
    now = gateway.now
    engine.suspect_until = now + SUSPICION_MS
    if engine.suspect == why:
        return
    if not engine.suspect:
        gateway.doubted[engine.id] = engine
        engine.suspect_at = now
        gateway.pool.hide(engine)
        engine.trickle_at = now + placement.TRICKLE_MS / gateway.share * gateway.random.random()
        gateway.actions.append(LogLine(f"engine {engine.id} suspect: {why}"))
    engine.suspect = why
    engine.good = 0
    for query in engine.empty():
        placement.place(gateway, query)


def trust(gateway: GatewayState, engine: EngineView) -> None:
    """End the suspicion of an engine, if there is one."""
    if engine.suspect:
        gateway.actions.append(LogLine(f"engine {engine.id} trusted again"))
        del gateway.doubted[engine.id]
        gateway.pool.show(engine)
    engine.suspect = ""
    engine.good = 0


def heard_from(gateway: GatewayState, engine: EngineView, sent_at: float) -> None:
    """The engine spoke. An answer to a query sent before a silence proves that the process lived."""
    engine.last_word = gateway.now
    if engine.suspect in UNHEARD and sent_at < engine.suspect_at:
        trust(gateway, engine)


def judge(gateway: GatewayState, engine: EngineView, query: Query | None, event: AttemptEnded) -> None:
    """What the outcome of an attempt says of the engine."""
    outcome = event.outcome
    sent_at = gateway.now - event.elapsed_ms
    rate_estimation.hear_report(gateway, engine, event.load_report)
    if outcome in (Outcome.OK, Outcome.ERROR):  # a hung engine still turns work away
        heard_from(gateway, engine, sent_at)
    if outcome is Outcome.OK:
        _note_success(gateway, engine, sent_at)
        if query is not None and query.out:
            rate_estimation.learn_answer(gateway, query, engine, event)
    elif outcome is Outcome.OVERLOADED:
        _pass_over(gateway, engine)
    elif outcome in (Outcome.ERROR, Outcome.CONNECT_FAILED, Outcome.RESET):
        _note_failure(gateway, engine, query, outcome)


def _pass_over(gateway: GatewayState, engine: EngineView) -> None:
    """The engine turned work away as full."""
    # Danger: a jammed or hung engine turns work away at once, and gets yet more. So it is passed over
    # for a time that doubles; may hurt where it had room again sooner.
    engine.jams += 1
    engine.pressed_until = gateway.now + utilization.FULL_REST_MS
    engine.rest_until = gateway.now + min(utilization.FULL_REST_MS * 2**engine.jams, SUSPICION_MS)


def _note_success(gateway: GatewayState, engine: EngineView, sent_at: float) -> None:
    """Served work clears suspicion; one that may have died is held to the cold budget meanwhile."""
    engine.errors -= ERROR_GAIN * engine.errors
    engine.good += 1
    engine.jams = 0
    first = engine.good == 1 and sent_at >= engine.suspect_at
    if first and engine.suspect in (DEAD, *UNHEARD):
        slow_start.begin(gateway, engine, gateway.now + gateway.settings.rules.warm_up_ms)
    if engine.suspect and engine.good >= TRICKLE_GOOD and engine.errors < ERROR_CLEAR:
        trust(gateway, engine)


def _note_failure(gateway: GatewayState, engine: EngineView, query: Query | None, outcome: Outcome) -> None:
    """An error, a broken connection or a failed connect: how much it says against the engine."""
    if outcome is Outcome.ERROR and query is not None and _query_is_at_fault(query, engine):
        return
    # Danger: one reset connection or one spoilt answer was taken for a death, and half the fleet was left
    # for seconds. All that was out on it is one sign; a dead engine shows in the next connect, which is
    # proof. May hurt where an engine dies and takes connections, but answers nothing.
    if outcome is Outcome.RESET:
        if engine.broke_at == gateway.now:
            return
        engine.broke_at = gateway.now
        if gateway.settings.features.has_health_checks:
            probe(gateway, engine)
    engine.errors += ERROR_GAIN * (1 - engine.errors)
    engine.good = 0
    if outcome is Outcome.CONNECT_FAILED or engine.errors > ERROR_SUSPECT:
        suspect(gateway, engine, ERRORS if outcome is Outcome.ERROR else DEAD)


def _query_is_at_fault(query: Query, engine: EngineView) -> bool:
    """Whether an error is the query's: another engine gave one for it before."""
    # Danger: a query that no engine can run failed on all of them, and all were doubted. The second error
    # shows that it was the query, and the first engine gets back what it lost.
    query.failures += 1
    if query.blamed is None:
        query.blamed = engine
        return False
    query.blamed.errors = max(0.0, query.blamed.errors - ERROR_GAIN)
    return True


def check_silence(gateway: GatewayState, engine: EngineView) -> None:
    """Suspect an engine that has said nothing for too long."""
    if not engine.suspect and _silent(gateway, engine):
        suspect(gateway, engine, SILENT)


def _silent(gateway: GatewayState, engine: EngineView) -> bool:
    """Queries are out and neither answer nor note comes: a hang, a vanished host, a cut link."""
    # Danger: one told to wait for memory gets no further word until it runs, and the line was taken for a
    # hang, its engine left and its queries cancelled. May hurt where an engine hangs with a line only.
    overdue_from = [q.sent_at + OVERDUE * q.p for q in engine.out.values() if not q.waits]
    silence = gateway.now - max(engine.last_word, min(overdue_from, default=gateway.now))
    note_period = gateway.settings.progress_interval_ms
    if note_period or not gateway.settings.features.has_health_checks:
        return silence > max(SILENCE_MIN_MS, note_period)
    # Danger: without notes one long query is silence, and its engine was doubted and left by all. So a
    # probe is asked, and only one unanswered is a sign; may hurt where hung engines still answer probes.
    if silence > 0:
        probe(gateway, engine)
    return False


def check_suspicions(gateway: GatewayState) -> None:
    """Suspicions end with time; until then probes ask."""
    for engine in list(gateway.doubted.values()):
        if gateway.now >= engine.suspect_until:
            trust(gateway, engine)
        elif gateway.settings.features.has_health_checks and engine.bound:
            probe(gateway, engine)


def probe(gateway: GatewayState, engine: EngineView) -> None:
    """Ask an engine for a sign of life, within what own traffic allows: each probe has its price."""
    if gateway.probes >= 1 and gateway.now - engine.probed_at >= SILENCE_MIN_MS:
        gateway.probes -= 1
        engine.probed_at = gateway.now
        gateway.actions.append(CheckHealth(engine.id))


def on_probed(gateway: GatewayState, event: HealthCheckCompleted) -> None:
    """A probe has ended."""
    engine = gateway.engines.get(event.engine)
    if engine is None:
        return
    if event.outcome is not Outcome.OK:
        if engine.out and event.outcome in (Outcome.TIMEOUT, Outcome.CONNECT_FAILED):
            suspect(gateway, engine, DEAF if event.outcome is Outcome.TIMEOUT else DEAD)
        return
    rate_estimation.hear_report(gateway, engine, event.load_report)
    if engine.suspect == DEAF:  # ends by the kind of evidence that it came from
        trust(gateway, engine)
    elif engine.suspect == DEAD:
        engine.trickle_at = min(engine.trickle_at, gateway.now)
