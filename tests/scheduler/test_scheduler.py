"""Tests of the scheduler's rules by scripted events, each with a case that would violate the rule."""

from __future__ import annotations

import dataclasses
import math
from typing import Any

import pytest

from cottonhold import Scheduler
from cottonhold.scheduler import utilization
from cottonhold.scheduler.actions import (
    Action,
    Cancel,
    Fail,
    LogLine,
    Reject,
    SendToPeer,
    Subscribe,
    UpdateAttempt,
)
from cottonhold.scheduler.engine_state import EjectionReason
from cottonhold.scheduler.events import (
    AdmissionThreshold,
    ClientDisconnected,
    Engine,
    EngineList,
    EngineListFailed,
    EngineState,
    Event,
    Outcome,
    PeerMessage,
)
from cottonhold.scheduler.scheduler import THREADS_PER_CORE
from cottonhold.scheduler.settings import (
    DeduplicationScope,
    Idempotency,
    MachineType,
    QueryClass,
)
from tests.support.scheduler_events import (
    LOOKUP,
    PERMITS,
    RULES,
    answers,
    arrival,
    ended,
    engines,
    sends,
    settings,
    started,
)

THREAD_CAPACITY = math.ceil(8 * THREADS_PER_CORE)  # threads that fill the one engine of 8 cores


def test_query_is_sent_immediately_to_an_idle_engine() -> None:
    scheduler = started(settings(), "e1")
    assert sends(scheduler.step(5.0, [arrival("q")])) == [("q", "e1")]


def test_queued_query_is_answered_by_its_deadline_and_never_sent_after() -> None:
    scheduler = started(settings())
    assert sends(scheduler.step(5.0, [arrival("q", deadline_at=500.0)])) == []
    actions = [a for t in range(10, 520, 5) for a in answers(scheduler.step(float(t), []))]
    assert actions == [Reject("q", 0.0)]
    assert sends(scheduler.step(600.0, [engines("e1")])) == []


def test_query_with_almost_no_time_is_answered_in_its_first_step() -> None:
    scheduler = started(settings())
    scheduler.step(5.0, [])
    assert answers(scheduler.step(6.0, [arrival("q", deadline_at=20.0)])) == [Reject("q", 0.0)]


def test_timeout_at_the_deadline_is_answered_immediately() -> None:
    scheduler = started(settings(), "e1")
    scheduler.step(5.0, [arrival("q", deadline_at=400.0)])
    assert answers(scheduler.step(400.0, [ended("q", Outcome.TIMEOUT)])) == [Reject("q", 0.0)]


@pytest.mark.parametrize(
    "effect, outcome, expected",
    [
        (Idempotency.IDEMPOTENT, Outcome.RESET, "send"),
        (Idempotency.IDEMPOTENT_WITH_KEY, Outcome.RESET, "send"),
        (Idempotency.NOT_IDEMPOTENT, Outcome.RESET, "fail"),
        (Idempotency.NOT_IDEMPOTENT, Outcome.ERROR, "fail"),
        (Idempotency.NOT_IDEMPOTENT, Outcome.CONNECT_FAILED, "send"),
        (Idempotency.NOT_IDEMPOTENT, Outcome.OVERLOADED, "send"),
    ],
)
def test_retry_only_if_no_effect_can_be_repeated(
    effect: Idempotency, outcome: Outcome, expected: str
) -> None:
    scheduler = started(
        settings(dataclasses.replace(LOOKUP, idempotency=effect, deduplication_window_ms=3000.0)), "e1", "e2"
    )
    ((_, engine),) = sends(scheduler.step(5.0, [arrival("q")]))
    done = scheduler.step(20.0, [ended("q", outcome, engine=engine)])
    if expected == "send":
        assert [q for q, _ in sends(done)] == ["q"] and answers(done) == []
    else:
        assert sends(done) == [] and answers(done) == [Fail("q")]


def test_query_with_idempotency_key_is_not_retried_after_its_deduplication_window() -> None:
    scheduler = started(
        settings(
            dataclasses.replace(
                LOOKUP, idempotency=Idempotency.IDEMPOTENT_WITH_KEY, deduplication_window_ms=1000.0
            )
        ),
        "e1",
        "e2",
    )
    ((_, engine),) = sends(scheduler.step(5.0, [arrival("q")]))
    done = scheduler.step(1010.0, [ended("q", Outcome.RESET, engine=engine)])
    assert sends(done) == [] and answers(done) == [Reject("q", 0.0)]


def test_query_with_idempotency_key_stays_in_its_deduplication_scope() -> None:
    query_class = dataclasses.replace(
        LOOKUP,
        idempotency=Idempotency.IDEMPOTENT_WITH_KEY,
        deduplication_scope=DeduplicationScope.CELL,
        deduplication_window_ms=4000.0,
    )
    scheduler = Scheduler(settings(query_class), 1)
    scheduler.step(0.0, [EngineList((Engine("e1", cell=1),), is_complete=True)])
    assert sends(scheduler.step(5.0, [arrival("q")])) == [("q", "e1")]
    scheduler.step(6.0, [EngineList((Engine("e2", cell=2), Engine("e3", cell=1)), is_complete=False)])
    assert sends(scheduler.step(20.0, [ended("q", Outcome.RESET)])) == [("q", "e3")]


@pytest.mark.parametrize("state", [EngineState.DRAINING, EngineState.REMOVED])
def test_no_new_query_is_sent_to_a_draining_engine(state: EngineState) -> None:
    scheduler = started(settings(), "e1")
    scheduler.step(5.0, [EngineList((Engine("e1", state=state),), is_complete=False)])
    assert sends(scheduler.step(10.0, [arrival("q")])) == []


def test_an_engine_missing_from_a_complete_list_is_removed() -> None:
    scheduler = started(settings(), "e1", "e2")
    scheduler.step(5.0, [engines("e2")])
    sent = [e for i in range(4) for _, e in sends(scheduler.step(10.0 + i, [arrival(f"q{i}")]))]
    assert sent == ["e2"] * 4


def test_cold_engine_is_sent_no_more_than_its_budget_in_any_window() -> None:
    scheduler = Scheduler(settings(), 1)
    scheduler.step(1000.0, [engines("e1", started_at=900.0)])
    sent = []
    for t in range(1001, 5000, 20):
        for name, engine in sends(
            scheduler.step(float(t), [arrival(f"q{t}", deadline_at=t + 5000.0, estimated_work_ms=200.0)])
        ):
            sent.append(t)
            scheduler.step(
                float(t), [ended(name, Outcome.OK, engine=engine, is_final=True, actual_work_ms=200.0)]
            )
    budget_ms = 0.3 * 8 * 2000 * 2
    assert sent and all(
        sum(200 for t in sent if window_start <= t < window_start + 2000) <= budget_ms
        for window_start in sent
    )


def test_a_cold_engine_is_sent_more_as_it_warms_up() -> None:
    """The rate of work follows the ramp of the engine's capacity and does not stay at its start value."""
    scheduler, sent_by_period = Scheduler(settings(), 1), dict.fromkeys(range(5), 0)
    scheduler.step(1000.0, [engines("e1", started_at=1000.0)])
    for t in range(1001, 11000, 10):
        for name, engine in sends(
            scheduler.step(float(t), [arrival(f"q{t}", deadline_at=t + 500.0, estimated_work_ms=200.0)])
        ):
            sent_by_period[(t - 1000) // 2000] += 1
            scheduler.step(
                float(t), [ended(name, Outcome.OK, engine=engine, is_final=True, actual_work_ms=200.0)]
            )
    assert 1.5 * sent_by_period[1] < sent_by_period[3] < sent_by_period[4] < 5 * sent_by_period[1]


def test_ordering_waits_for_the_earlier_query_and_the_quiet_time_of_its_key() -> None:
    query_class = dataclasses.replace(LOOKUP, is_ordered_by_key=True, idempotency=Idempotency.NOT_IDEMPOTENT)
    scheduler = started(
        settings(query_class, rules=dataclasses.replace(RULES, key_quiet_ms=300.0)), "e1", "e2"
    )
    sent = scheduler.step(5.0, [arrival("a", ordering_key="k"), arrival("b", ordering_key="k"), arrival("c")])
    assert {q for q, _ in sends(sent)} == {"a", "c"}
    engine = dict(sends(sent))["a"]
    assert sends(scheduler.step(100.0, [ended("a", Outcome.RESET, engine=engine)])) == []
    assert sends(scheduler.step(390.0, [])) == []
    assert [q for q, _ in sends(scheduler.step(505.0, []))] == ["b"]


def test_query_is_not_sent_to_another_engine_when_all_permitted_engines_are_removed() -> None:
    scheduler = Scheduler(settings(dataclasses.replace(LOOKUP, zones=(1,))), 1)
    scheduler.step(0.0, [EngineList((Engine("e1", zone=0), Engine("e2", zone=1)), is_complete=True)])
    assert sends(scheduler.step(5.0, [arrival("q")])) == [("q", "e2")]
    scheduler.step(6.0, [EngineList((Engine("e2", zone=1, state=EngineState.REMOVED),), is_complete=False)])
    assert sends(scheduler.step(20.0, [ended("q", Outcome.CONNECT_FAILED, engine="e2")])) == []


def test_retry_budget_limits_further_attempts_in_a_window() -> None:
    rules = dataclasses.replace(
        RULES, retry_budget_free=1, retry_budget_share=0.1, retry_budget_window_ms=1000.0
    )
    scheduler = started(settings(rules=rules), "e1", "e2", "e3")
    first = sends(scheduler.step(5.0, [arrival(f"q{i}") for i in range(10)]))
    done = scheduler.step(20.0, [ended(q, Outcome.ERROR, engine=e) for q, e in first])
    assert len(sends(done)) == 2 and len(answers(done)) == 8


def test_attempts_stop_at_the_maximum() -> None:
    scheduler = started(settings(features=dataclasses.replace(PERMITS, max_attempts=2)), "e1", "e2")
    ((_, engine),) = sends(scheduler.step(5.0, [arrival("q")]))
    ((_, engine),) = sends(scheduler.step(10.0, [ended("q", Outcome.ERROR, engine=engine)]))
    done = scheduler.step(15.0, [ended("q", Outcome.ERROR, 1, engine)])
    assert sends(done) == [] and len(answers(done)) == 1


def test_outcome_of_a_finished_query_is_ignored() -> None:
    scheduler = started(settings(), "e1")
    scheduler.step(5.0, [arrival("q")])
    scheduler.step(10.0, [ClientDisconnected("q")])
    done = scheduler.step(20.0, [ended("q", Outcome.RESET), ended("never", Outcome.OK)])
    assert sends(done) == [] and answers(done) == []


def full_engine(count: int, **changes: Any) -> Scheduler:
    """One engine of 8 cores whose thread capacity this gateway has filled."""
    scheduler = started(settings(**changes), "e1")
    scheduler.step(1.0, [arrival(f"r{i}", estimated_work_ms=1000.0) for i in range(count)])
    return scheduler


def test_thread_capacity_limits_under_pressure_and_release_follows_the_plan() -> None:
    scheduler = full_engine(THREAD_CAPACITY)
    assert (
        sends(
            scheduler.step(
                2.0, [arrival("a", estimated_work_ms=1000.0), arrival("b", estimated_work_ms=1000.0)]
            )
        )
        == []
    )
    done = scheduler.step(900.0, [ended("r0", Outcome.OK, is_final=True, elapsed_ms=899.0)])
    assert sends(done) == [("a", "e1")]


@pytest.mark.parametrize("work_ms, passes", [(900.0, False), (400.0, False), (50.0, True)])
def test_outrank_margin_decides_which_query_is_planned_first(work_ms: float, passes: bool) -> None:
    """With alpha 3 and densities that are powers of two, a query must be 4 times as dense to pass others.

    Queued queries of 1000 ms fill the plan, so a new query at its end would miss its latency objective.
    """
    scheduler = full_engine(THREAD_CAPACITY, features=dataclasses.replace(PERMITS, has_priorities=False))
    queued = [arrival(f"w{i}", estimated_work_ms=1000.0, deadline_at=60000.0) for i in range(6)]
    scheduler.step(2.0, queued)
    scheduler.step(3.0, [arrival("new", estimated_work_ms=work_ms)])
    order = [q.id for q in scheduler.engines["e1"].plan]
    assert (order[0] == "new") is passes and len(order) == 7


def test_query_gets_one_priority_above_those_it_outranks() -> None:
    scheduler = full_engine(THREAD_CAPACITY)
    scheduler.step(2.0, [arrival(f"w{i}", estimated_work_ms=1000.0, deadline_at=60000.0) for i in range(6)])
    done = scheduler.step(3.0, [arrival("new", estimated_work_ms=50.0)])
    assert sends(done)[0] == ("new", "e1")
    assert [a.priority for a in done if isinstance(a, UpdateAttempt) and a.query_id == "new"] == [2]


def test_fast_errors_do_not_raise_the_work_rate() -> None:
    scheduler = started(settings(), "e1")
    before = scheduler.engines["e1"].work_rate
    for i in range(5):
        scheduler.step(10.0 + i, [arrival(f"q{i}")])
        scheduler.step(10.5 + i, [ended(f"q{i}", Outcome.ERROR, elapsed_ms=0.5)])
    assert (
        scheduler.engines["e1"].work_rate <= before
        and scheduler.engines["e1"].ejection_reason is EjectionReason.ERRORS
    )


def test_capacity_limits_an_engine_with_idle_cores() -> None:
    """Own work in flight is a sign of pressure even if a load report shows idle cores."""
    scheduler = started(settings(), "e1")
    scheduler.step(1.0, [arrival("x")])
    scheduler.step(2.0, [ended("x", Outcome.OK, is_final=True, load_report={"util": 0.1})])
    sent = sends(scheduler.step(3.0, [arrival(f"q{i}", estimated_work_ms=1000.0) for i in range(60)]))
    assert len(sent) <= 2 * THREAD_CAPACITY + 1


def test_silent_engine_is_ejected_and_its_idempotent_work_retried_elsewhere() -> None:
    scheduler = started(
        settings(dataclasses.replace(LOOKUP, deadline_ms=20000.0), progress_interval_ms=500.0), "e1", "e2"
    )
    ((_, engine),) = sends(scheduler.step(5.0, [arrival("q", deadline_at=20000.0)]))
    done = [a for t in range(10, 4000, 50) for a in scheduler.step(float(t), [])]
    assert Cancel("q", 0) in done
    ((_, other),) = sends(scheduler.step(4000.0, [ended("q", Outcome.CANCELLED, engine=engine)]))
    assert other != engine


def test_peer_traffic_sets_the_traffic_share() -> None:
    scheduler = started(
        settings(gateway_count=2, features=dataclasses.replace(PERMITS, has_peer_messages=True)), "e1"
    )
    actions = [a for t in range(0, 1100, 50) for a in scheduler.step(float(t), [arrival(f"q{t}")])]
    message = [a for a in actions if isinstance(a, SendToPeer)][-1]
    scheduler.step(1100.0, [PeerMessage(1, message.payload), PeerMessage(1, b"nonsense")])
    for t in range(1150, 2300, 50):
        scheduler.step(float(t), [arrival(f"q{t}")])
    assert 0.4 < scheduler.traffic_share < 0.8


@pytest.mark.parametrize("later_start", [0.0, 8000.0], ids=["started together", "one started later"])
def test_a_gateway_that_has_just_started_reports_its_traffic_in_full(later_start: float) -> None:
    """Its rate is measured from its first arrival on, not over the whole time constant."""
    permits = dataclasses.replace(PERMITS, has_peer_messages=True)
    earlier, later = (
        started(settings(gateway_count=2, gateway_index=gateway_index, features=permits), "e1")
        for gateway_index in (0, 1)
    )
    for t in range(0, int(later_start) + 1500, 50):
        for scheduler, other, since in ((earlier, later, 0.0), (later, earlier, later_start)):
            if t >= since:
                done = scheduler.step(float(t), [arrival(f"q{t}", deadline_at=t + 5000.0)])
                actions = [
                    PeerMessage(scheduler.settings.gateway_index, a.payload)
                    for a in done
                    if isinstance(a, SendToPeer)
                ]
                other.step(float(t), actions)
    assert earlier.traffic_share == pytest.approx(0.5, abs=0.08) and later.traffic_share == pytest.approx(
        0.5, abs=0.08
    )
    assert later.local_traffic.per_s(later_start + 1500.0) == pytest.approx(20.0, rel=0.1)
    assert later.local_traffic.per_s(later_start + 30_000.0) < 0.01


@pytest.mark.parametrize(
    "gateways, has_threshold, share",
    [(12, True, 1.5), (10, True, 1.8), (6, True, 3.0), (10, False, 1.0)],
    ids=str,
)
def test_a_share_of_a_fractional_number_of_queries_is_used_on_average(
    gateways: int, has_threshold: bool, share: float
) -> None:
    """With a fleet-wide threshold, gateways take turns to use the fraction of a query."""
    query_class = dataclasses.replace(LOOKUP, latency_objective_ms=1e7, deadline_ms=1e7)
    permits, small = dataclasses.replace(PERMITS, has_peer_messages=True), (MachineType(1, 2000.0),)
    mean_in_flight = list[float]()
    for gateway_index in range(gateways):
        scheduler = started(
            settings(
                query_class,
                gateway_count=gateways,
                gateway_index=gateway_index,
                features=permits,
                machine_types=small,
            ),
            *(f"e{i}" for i in range(9)),
        )
        scheduler.step(0.0, [AdmissionThreshold()] if has_threshold else [])
        in_flight, area, serial = dict[str, tuple[str, float]](), 0.0, 0
        for t in range(0, 6000, 20):
            ended_queries = {q: e for q, (e, at) in in_flight.items() if t - at >= 100.0}
            events: list[Event] = [
                ended(q, Outcome.OK, engine=e, is_final=True, elapsed_ms=100.0, load_report={"util": 1.0})
                for q, e in ended_queries.items()
            ]
            for _ in range(6 - len(scheduler.queries) + len(ended_queries)):  # some are always queued
                serial += 1
                events.append(arrival(f"q{serial}", deadline_at=1e7, estimated_work_ms=100.0))
            in_flight = {q: at for q, at in in_flight.items() if q not in ended_queries}
            in_flight |= {q: (e, float(t)) for q, e in sends(scheduler.step(float(t), events))}
            area += len(in_flight) * (t >= 2000) / 200
        mean_in_flight.append(area)
    assert sum(mean_in_flight) / gateways == pytest.approx(share, rel=0.1)
    assert max(mean_in_flight) - min(mean_in_flight) < 0.3


def test_same_events_give_the_same_actions() -> None:
    def play() -> list[Action]:
        scheduler = started(settings(), *(f"e{i}" for i in range(9)))
        return [a for i in range(50) for a in scheduler.step(5.0 + i, [arrival(f"q{i}")])]

    assert play() == play()


def test_engine_list_is_resubscribed_after_a_failure() -> None:
    scheduler = started(settings(features=dataclasses.replace(PERMITS, polls_engine_list=True)), "e1")
    scheduler.step(10.0, [EngineListFailed()])
    assert Subscribe(True) in [a for t in range(50, 1000, 50) for a in scheduler.step(float(t), [])]


@pytest.mark.parametrize(
    "change, name",
    [
        ({"classes": ()}, "classes"),
        ({"gateway_count": 0}, "gateways"),
        ({"tick_ms": 0.0}, "tick"),
        ({"rules": dataclasses.replace(RULES, cold_capacity_share=0.0)}, "rules.cold_from"),
        ({"classes": (dataclasses.replace(LOOKUP, latency_objective_ms=-1.0),)}, r"classes\[0\].aim"),
    ],
)
def test_invalid_settings_are_named(change: dict[str, Any], name: str) -> None:
    with pytest.raises(ValueError, match=name):
        settings(**change)


def test_one_long_query_without_progress_notes_is_not_silence() -> None:
    """Silence is measured from the time an attempt is overdue, not from the time it was sent."""
    scheduler = started(settings(dataclasses.replace(LOOKUP, deadline_ms=20000.0)), "e1", "e2")
    scheduler.step(5.0, [arrival("q", deadline_at=20000.0, estimated_work_ms=4000.0)])
    done = [a for t in range(10, 4000, 50) for a in scheduler.step(float(t), [])]
    assert not [a for a in done if isinstance(a, LogLine | Cancel)]


def test_query_is_planned_before_queries_that_lose_no_utility_by_the_delay() -> None:
    """A queued query is passed regardless of its density if the delay does not make it late."""
    patient = dataclasses.replace(LOOKUP, name="wide", latency_objective_ms=30000.0, deadline_ms=60000.0)
    scheduler = started(
        settings(classes=(dataclasses.replace(LOOKUP, latency_objective_ms=2000.0), patient)), "e1"
    )
    scheduler.step(1.0, [arrival(f"r{i}", estimated_work_ms=1000.0) for i in range(THREAD_CAPACITY)])
    scheduler.step(
        2.0,
        [arrival(f"w{i}", estimated_work_ms=1000.0, deadline_at=60000.0, query_class=1) for i in range(20)],
    )
    scheduler.step(3.0, [arrival("new", estimated_work_ms=400.0)])
    order = [q.id for q in scheduler.engines["e1"].plan]
    assert order.index("new") < 15 and [n for n in order if n != "new"] == [f"w{i}" for i in range(20)]


def test_overload_rejections_do_not_show_that_a_hung_engine_is_alive() -> None:
    scheduler = started(settings(), "e1", "e2")
    ((_, engine),) = sends(scheduler.step(5.0, [arrival("q")]))
    for t in range(10, 2500, 50):
        scheduler.step(
            float(t),
            [
                arrival(f"q{t}", estimated_work_ms=50.0),
                ended(f"q{t - 50}", Outcome.OVERLOADED, engine=engine),
            ],
        )
    assert scheduler.engines[engine].ejection_reason is EjectionReason.SILENT


LOAD = QueryClass(
    "load", 3000, 25000, utility=6.0, idempotency=Idempotency.NOT_IDEMPOTENT, threads=2, is_load=True
)
READ = dataclasses.replace(LOOKUP, waits_for_loads=True)


def started_with_loads(*names: str) -> Scheduler:
    return started(settings(classes=(READ, LOAD)), *names)


@pytest.mark.parametrize("tables", range(7))
def test_readers_avoid_engines_with_loads_on_their_tables(tables: int) -> None:
    scheduler = started_with_loads("e1", "e2", "e3", "e4", "e5")
    first = [arrival(f"l{i}", deadline_at=25000.0, query_class=1, table_group=tables) for i in range(2)]
    loads = {engine for _, engine in sends(scheduler.step(5.0, first))}
    reads = {
        engine
        for _, engine in sends(scheduler.step(6.0, [arrival(f"r{i}", table_group=tables) for i in range(40)]))
    }
    assert len(loads) == 2 and len(reads) == 3 and not loads & reads


def test_readers_avoid_a_preferred_engine_only_while_it_has_a_load() -> None:
    scheduler = started_with_loads("e1", "e2", "e3", "e4", "e5")
    [(load, load_engine)] = sends(
        scheduler.step(5.0, [arrival("l", deadline_at=25000.0, query_class=1, table_group=3)])
    )
    readers_with_load = {
        engine
        for _, engine in sends(scheduler.step(6.0, [arrival(f"a{i}", table_group=3) for i in range(9)]))
    }
    preferred = {e.id for e in scheduler.preferred_engines[3]}
    assert load_engine in preferred and readers_with_load and load_engine not in readers_with_load
    scheduler.step(7.0, [ended(load, Outcome.OK, engine=load_engine, is_final=True)])
    readers_without_load = {
        engine
        for _, engine in sends(scheduler.step(8.0, [arrival(f"b{i}", table_group=3) for i in range(80)]))
    }
    assert readers_without_load == set(scheduler.engines)


def test_a_second_load_on_the_same_tables_waits_for_the_end_of_the_first() -> None:
    scheduler = started_with_loads("e1", "e2")
    two = [arrival(f"l{i}", deadline_at=25000.0, query_class=1, table_group=3) for i in range(2)]
    [(first, engine)] = sends(scheduler.step(5.0, two))
    assert sends(scheduler.step(100.0, [ended(first, Outcome.OK, engine=engine, is_final=True)])) == [
        ("l1", engine)
    ]


def test_in_flight_totals_return_to_zero_after_ejection_and_readmission() -> None:
    scheduler = started(settings(), "e1", "e2")
    sent = sends(
        scheduler.step(
            5.0,
            [
                arrival(f"q{i}", estimated_work_ms=100.0 + 50 * i, estimated_memory_mb=10.0 + i)
                for i in range(12)
            ],
        )
    )
    (q, engine), *others = sent
    scheduler.step(50.0, [ended(q, Outcome.CONNECT_FAILED, engine=engine)])
    assert engine in scheduler.ejected_engines
    scheduler.step(60.0, [ended(q, Outcome.OK, engine=e, is_final=True) for q, e in others])
    retried = [(q.id, e.id) for e in scheduler.engines.values() for q in e.in_flight.values()]
    scheduler.step(70.0, [ended(q, Outcome.OK, attempt=1, engine=e, is_final=True) for q, e in retried])
    assert (
        scheduler.in_flight.threads,
        scheduler.in_flight.memory_mb,
        scheduler.in_flight.on_admitted_engines.by_density,
    ) == (
        0,
        0.0,
        {},
    )
    assert all(
        not e.in_flight_by_density.by_density and not e.threads_in_flight for e in scheduler.engines.values()
    )


def test_lost_connections_count_once_and_a_failed_connect_ejects() -> None:
    scheduler = started(settings(), "e1", "e2", "e3")
    sent = sends(scheduler.step(5.0, [arrival(f"q{i}") for i in range(30)]))
    on_e1 = [q for q, engine in sent if engine == "e1"]
    assert len(on_e1) > 5
    scheduler.step(50.0, [ended(q, Outcome.RESET) for q in on_e1])
    assert not scheduler.ejected_engines and scheduler.engines["e1"].error_share < 0.2
    scheduler.step(60.0, [ended("q", Outcome.CONNECT_FAILED)])
    assert list(scheduler.ejected_engines) == ["e1"]


def test_repeatedly_lost_connections_eject() -> None:
    scheduler = started(settings(), "e1", "e2", "e3")
    for i in range(3):
        assert not scheduler.ejected_engines
        scheduler.step(50.0 + i, [ended("q", Outcome.RESET)])
    assert list(scheduler.ejected_engines) == ["e1"]


def test_a_query_that_fails_on_every_engine_ejects_none() -> None:
    scheduler = started(settings(), "e1", "e2", "e3", "e4")
    for i in range(20):
        ((q, first),) = sends(scheduler.step(100.0 * i, [arrival(f"q{i}", deadline_at=5000.0 + 100 * i)]))
        ((q, second),) = sends(scheduler.step(100.0 * i + 10, [ended(q, Outcome.ERROR, engine=first)]))
        assert second != first
        last = scheduler.step(100.0 * i + 20, [ended(q, Outcome.ERROR, attempt=1, engine=second)])
        assert answers(last) == [Fail(q)] and not sends(last)
        assert not scheduler.ejected_engines and all(e.error_share == 0 for e in scheduler.engines.values())


def test_accepted_queries_are_not_recorded_without_a_retry_budget() -> None:
    scheduler = started(settings(), "e1")
    for i in range(10):
        scheduler.step(10.0 * i, [arrival(f"q{i}", deadline_at=5000.0 + 10 * i)])
    assert not scheduler.queries_accepted.entries


def test_a_short_query_outranks_the_long_ones_that_fill_an_engine() -> None:
    report = QueryClass("report", latency_objective_ms=30000, deadline_ms=60000, utility=5.0, threads=3)
    scheduler = started(settings(classes=(LOOKUP, report)), "e1")
    long_queries = [
        arrival(f"r{i}", deadline_at=60000.0, estimated_work_ms=9000.0, query_class=1) for i in range(20)
    ]
    sent_count = len(sends(scheduler.step(5.0, long_queries)))
    assert sent_count < 20 and sent_count * 3 >= THREAD_CAPACITY - 3  # the others are queued
    actions = scheduler.step(100.0, [arrival("q", deadline_at=5100.0)])
    assert sends(actions) == [("q", "e1")] and UpdateAttempt("q", 0, 2) in actions
    later_sent = sends(scheduler.step(200.0, [arrival(f"q{i}", deadline_at=5200.0) for i in range(100)]))
    assert 0 < len(later_sent) <= THREAD_CAPACITY  # within the thread capacity


@pytest.mark.parametrize("reported_in_flight, is_under_pressure", [(2.0, True), (25.0, False)])
def test_a_report_of_fewer_queries_than_are_in_flight_does_not_refute_pressure(
    reported_in_flight: float, is_under_pressure: bool
) -> None:
    """A load report with fewer queries than this gateway has in flight is outdated and is ignored."""
    query_class = dataclasses.replace(LOOKUP, threads=3)
    scheduler = started(settings(query_class, machine_types=(MachineType(32, 64000.0),)), "e1")
    scheduler.step(1.0, [arrival(f"r{i}", estimated_work_ms=1000.0) for i in range(26)])
    report = {"inflight": reported_in_flight, "util": 0.5}
    scheduler.step(2.0, [ended("r0", Outcome.OK, is_final=True, elapsed_ms=1.0, load_report=report)])
    e1 = scheduler.engines["e1"]
    assert (
        e1.threads_in_flight > e1.thread_capacity
        and utilization.is_under_pressure(scheduler, e1) is is_under_pressure
    )
