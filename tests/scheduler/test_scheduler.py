"""Scripted events into Scheduler: each rule with a case that would break it, the plan by hand."""

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


def test_query_is_sent_at_once_to_an_idle_engine() -> None:
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


def test_timeout_at_the_deadline_is_answered_at_once() -> None:
    scheduler = started(settings(), "e1")
    scheduler.step(5.0, [arrival("q", deadline_at=400.0)])
    assert answers(scheduler.step(400.0, [ended("q", Outcome.TIMEOUT)])) == [Reject("q", 0.0)]


@pytest.mark.parametrize(
    "effect, outcome, wanted",
    [
        (Idempotency.IDEMPOTENT, Outcome.RESET, "send"),
        (Idempotency.IDEMPOTENT_WITH_KEY, Outcome.RESET, "send"),
        (Idempotency.NOT_IDEMPOTENT, Outcome.RESET, "fail"),
        (Idempotency.NOT_IDEMPOTENT, Outcome.ERROR, "fail"),
        (Idempotency.NOT_IDEMPOTENT, Outcome.CONNECT_FAILED, "send"),
        (Idempotency.NOT_IDEMPOTENT, Outcome.OVERLOADED, "send"),
    ],
)
def test_retry_only_where_no_effect_can_happen_twice(
    effect: Idempotency, outcome: Outcome, wanted: str
) -> None:
    scheduler = started(
        settings(dataclasses.replace(LOOKUP, idempotency=effect, deduplication_window_ms=3000.0)), "e1", "e2"
    )
    ((_, engine),) = sends(scheduler.step(5.0, [arrival("q")]))
    done = scheduler.step(20.0, [ended("q", outcome, engine=engine)])
    if wanted == "send":
        assert [q for q, _ in sends(done)] == ["q"] and answers(done) == []
    else:
        assert sends(done) == [] and answers(done) == [Fail("q")]


def test_query_with_idempotency_key_is_not_retried_past_its_window() -> None:
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
    cls = dataclasses.replace(
        LOOKUP,
        idempotency=Idempotency.IDEMPOTENT_WITH_KEY,
        deduplication_scope=DeduplicationScope.CELL,
        deduplication_window_ms=4000.0,
    )
    scheduler = Scheduler(settings(cls), 1)
    scheduler.step(0.0, [EngineList((Engine("e1", cell=1),), is_complete=True)])
    assert sends(scheduler.step(5.0, [arrival("q")])) == [("q", "e1")]
    scheduler.step(6.0, [EngineList((Engine("e2", cell=2), Engine("e3", cell=1)), is_complete=False)])
    assert sends(scheduler.step(20.0, [ended("q", Outcome.RESET)])) == [("q", "e3")]


@pytest.mark.parametrize("state", [EngineState.DRAINING, EngineState.REMOVED])
def test_nothing_new_goes_to_a_draining_engine(state: EngineState) -> None:
    scheduler = started(settings(), "e1")
    scheduler.step(5.0, [EngineList((Engine("e1", state=state),), is_complete=False)])
    assert sends(scheduler.step(10.0, [arrival("q")])) == []


def test_an_engine_missing_from_a_complete_list_is_removed() -> None:
    scheduler = started(settings(), "e1", "e2")
    scheduler.step(5.0, [engines("e2")])
    sent = [e for i in range(4) for _, e in sends(scheduler.step(10.0 + i, [arrival(f"q{i}")]))]
    assert sent == ["e2"] * 4


def test_cold_engine_gets_no_more_than_its_budget_in_any_window() -> None:
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
    lowest = 0.3 * 8 * 2000 * 2
    assert sent and all(sum(200 for t in sent if a <= t < a + 2000) <= lowest for a in sent)


def test_a_cold_engine_gets_more_as_it_warms() -> None:
    """The flow follows the ramp of the engine, not what it starts with."""
    scheduler, got = Scheduler(settings(), 1), dict.fromkeys(range(5), 0)
    scheduler.step(1000.0, [engines("e1", started_at=1000.0)])
    for t in range(1001, 11000, 10):
        for name, engine in sends(
            scheduler.step(float(t), [arrival(f"q{t}", deadline_at=t + 500.0, estimated_work_ms=200.0)])
        ):
            got[(t - 1000) // 2000] += 1
            scheduler.step(
                float(t), [ended(name, Outcome.OK, engine=engine, is_final=True, actual_work_ms=200.0)]
            )
    assert 1.5 * got[1] < got[3] < got[4] < 5 * got[1]


def test_ordering_waits_for_the_earlier_query_and_the_quiet_time_of_its_key() -> None:
    cls = dataclasses.replace(LOOKUP, is_ordered_by_key=True, idempotency=Idempotency.NOT_IDEMPOTENT)
    scheduler = started(settings(cls, rules=dataclasses.replace(RULES, key_quiet_ms=300.0)), "e1", "e2")
    sent = scheduler.step(5.0, [arrival("a", ordering_key="k"), arrival("b", ordering_key="k"), arrival("c")])
    assert {q for q, _ in sends(sent)} == {"a", "c"}
    engine = dict(sends(sent))["a"]
    assert sends(scheduler.step(100.0, [ended("a", Outcome.RESET, engine=engine)])) == []
    assert sends(scheduler.step(390.0, [])) == []
    assert [q for q, _ in sends(scheduler.step(505.0, []))] == ["b"]


def test_query_goes_nowhere_else_when_all_permitted_engines_are_removed() -> None:
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


def test_outcome_of_a_query_already_over_is_ignored() -> None:
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


def test_thread_capacity_binds_under_pressure_and_release_follows_the_plan() -> None:
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


@pytest.mark.parametrize("cost, passes", [(900.0, False), (400.0, False), (50.0, True)])
def test_outrank_margin_decides_which_query_goes_first(cost: float, passes: bool) -> None:
    """alpha is 3 and densities are powers of two: a passer must be 4 times as dense and gain by it.

    Held "wide" queries of 1000 ms fill the plan: a newcomer at its end misses its latency objective.
    """
    scheduler = full_engine(THREAD_CAPACITY, features=dataclasses.replace(PERMITS, has_priorities=False))
    held = [arrival(f"w{i}", estimated_work_ms=1000.0, deadline_at=60000.0) for i in range(6)]
    scheduler.step(2.0, held)
    scheduler.step(3.0, [arrival("new", estimated_work_ms=cost)])
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


def test_capacity_binds_on_an_engine_with_idle_cores() -> None:
    """Own work in flight is pressure though a report shows idle cores."""
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


@pytest.mark.parametrize("begun", [0.0, 8000.0], ids=["both just started", "one back after the other"])
def test_a_gateway_that_has_just_started_reports_its_traffic_in_full(begun: float) -> None:
    """Its rate counts from its first arrival on, not over the memory of an old one."""
    permits = dataclasses.replace(PERMITS, has_peer_messages=True)
    earlier, later = (
        started(settings(gateway_count=2, gateway_index=me, features=permits), "e1") for me in (0, 1)
    )
    for t in range(0, int(begun) + 1500, 50):
        for scheduler, other, since in ((earlier, later, 0.0), (later, earlier, begun)):
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
    assert later.local_traffic.per_s(begun + 1500.0) == pytest.approx(20.0, rel=0.1)
    assert later.local_traffic.per_s(begun + 30_000.0) < 0.01


@pytest.mark.parametrize(
    "gateways, priced, share", [(12, True, 1.5), (10, True, 1.8), (6, True, 3.0), (10, False, 1.0)], ids=str
)
def test_a_share_that_is_no_whole_number_of_queries_is_used_on_average(
    gateways: int, priced: bool, share: float
) -> None:
    """With a fleet-wide threshold gateways take turns with the fraction of a query."""
    cls = dataclasses.replace(LOOKUP, latency_objective_ms=1e7, deadline_ms=1e7)
    permits, small = dataclasses.replace(PERMITS, has_peer_messages=True), (MachineType(1, 2000.0),)
    most = list[float]()
    for me in range(gateways):
        scheduler = started(
            settings(cls, gateway_count=gateways, gateway_index=me, features=permits, machine_types=small),
            *(f"e{i}" for i in range(9)),
        )
        scheduler.step(0.0, [AdmissionThreshold()] if priced else [])
        out, area, serial = dict[str, tuple[str, float]](), 0.0, 0
        for t in range(0, 6000, 20):
            over = {q: e for q, (e, at) in out.items() if t - at >= 100.0}
            events: list[Event] = [
                ended(q, Outcome.OK, engine=e, is_final=True, elapsed_ms=100.0, load_report={"util": 1.0})
                for q, e in over.items()
            ]
            for _ in range(6 - len(scheduler.queries) + len(over)):  # some are always held
                serial += 1
                events.append(arrival(f"q{serial}", deadline_at=1e7, estimated_work_ms=100.0))
            out = {q: at for q, at in out.items() if q not in over}
            out |= {q: (e, float(t)) for q, e in sends(scheduler.step(float(t), events))}
            area += len(out) * (t >= 2000) / 200
        most.append(area)
    assert sum(most) / gateways == pytest.approx(share, rel=0.1)
    assert max(most) - min(most) < 0.3


def test_same_events_give_the_same_actions() -> None:
    def play() -> list[Action]:
        scheduler = started(settings(), *(f"e{i}" for i in range(9)))
        return [a for i in range(50) for a in scheduler.step(5.0 + i, [arrival(f"q{i}")])]

    assert play() == play()


def test_list_is_subscribed_to_again_after_a_failure() -> None:
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


def test_one_long_query_without_notes_is_no_silence() -> None:
    """Silence counts from when an attempt is overdue, not from when it was sent."""
    scheduler = started(settings(dataclasses.replace(LOOKUP, deadline_ms=20000.0)), "e1", "e2")
    scheduler.step(5.0, [arrival("q", deadline_at=20000.0, estimated_work_ms=4000.0)])
    done = [a for t in range(10, 4000, 50) for a in scheduler.step(float(t), [])]
    assert not [a for a in done if isinstance(a, LogLine | Cancel)]


def test_query_goes_before_one_that_keeps_its_utility_by_waiting() -> None:
    """Position goes by density only where the query that is passed would lose utility by the delay."""
    wide = dataclasses.replace(LOOKUP, name="wide", latency_objective_ms=30000.0, deadline_ms=60000.0)
    scheduler = started(
        settings(classes=(dataclasses.replace(LOOKUP, latency_objective_ms=2000.0), wide)), "e1"
    )
    scheduler.step(1.0, [arrival(f"r{i}", estimated_work_ms=1000.0) for i in range(THREAD_CAPACITY)])
    scheduler.step(
        2.0,
        [arrival(f"w{i}", estimated_work_ms=1000.0, deadline_at=60000.0, query_class=1) for i in range(20)],
    )
    scheduler.step(3.0, [arrival("new", estimated_work_ms=400.0)])
    order = [q.id for q in scheduler.engines["e1"].plan]
    assert order.index("new") < 15 and [n for n in order if n != "new"] == [f"w{i}" for i in range(20)]


def test_overload_rejections_of_a_hung_engine_are_no_sign_of_life() -> None:
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
def test_readers_avoid_the_engines_that_take_the_loads_on_their_tables(tables: int) -> None:
    scheduler = started_with_loads("e1", "e2", "e3", "e4", "e5")
    first = [arrival(f"l{i}", deadline_at=25000.0, query_class=1, table_group=tables) for i in range(2)]
    loads = {engine for _, engine in sends(scheduler.step(5.0, first))}
    reads = {
        engine
        for _, engine in sends(scheduler.step(6.0, [arrival(f"r{i}", table_group=tables) for i in range(40)]))
    }
    assert len(loads) == 2 and len(reads) == 3 and not loads & reads


def test_readers_avoid_a_preferred_engine_only_while_a_load_is_there() -> None:
    scheduler = started_with_loads("e1", "e2", "e3", "e4", "e5")
    [(load, home)] = sends(
        scheduler.step(5.0, [arrival("l", deadline_at=25000.0, query_class=1, table_group=3)])
    )
    few = {
        engine
        for _, engine in sends(scheduler.step(6.0, [arrival(f"a{i}", table_group=3) for i in range(9)]))
    }
    homes = {e.id for e in scheduler.preferred_engines[3]}
    assert home in homes and few and home not in few
    scheduler.step(7.0, [ended(load, Outcome.OK, engine=home, is_final=True)])
    many = {
        engine
        for _, engine in sends(scheduler.step(8.0, [arrival(f"b{i}", table_group=3) for i in range(80)]))
    }
    assert many == set(scheduler.engines)


def test_a_second_load_on_the_same_tables_waits_for_the_first_to_end_there() -> None:
    scheduler = started_with_loads("e1", "e2")
    two = [arrival(f"l{i}", deadline_at=25000.0, query_class=1, table_group=3) for i in range(2)]
    [(first, engine)] = sends(scheduler.step(5.0, two))
    assert sends(scheduler.step(100.0, [ended(first, Outcome.OK, engine=engine, is_final=True)])) == [
        ("l1", engine)
    ]


def test_in_flight_counts_end_at_zero_through_ejection_and_readmission() -> None:
    scheduler = started(settings(), "e1", "e2")
    out = sends(
        scheduler.step(
            5.0,
            [
                arrival(f"q{i}", estimated_work_ms=100.0 + 50 * i, estimated_memory_mb=10.0 + i)
                for i in range(12)
            ],
        )
    )
    (q, engine), *rest = out
    scheduler.step(50.0, [ended(q, Outcome.CONNECT_FAILED, engine=engine)])
    assert engine in scheduler.ejected_engines
    scheduler.step(60.0, [ended(q, Outcome.OK, engine=e, is_final=True) for q, e in rest])
    again = [(q.id, e.id) for e in scheduler.engines.values() for q in e.in_flight.values()]
    scheduler.step(70.0, [ended(q, Outcome.OK, attempt=1, engine=e, is_final=True) for q, e in again])
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
    out = sends(scheduler.step(5.0, [arrival(f"q{i}") for i in range(30)]))
    lost = [q for q, engine in out if engine == "e1"]
    assert len(lost) > 5
    scheduler.step(50.0, [ended(q, Outcome.RESET) for q in lost])
    assert not scheduler.ejected_engines and scheduler.engines["e1"].error_share < 0.2
    scheduler.step(60.0, [ended("q", Outcome.CONNECT_FAILED)])
    assert list(scheduler.ejected_engines) == ["e1"]


def test_connections_lost_again_and_again_eject() -> None:
    scheduler = started(settings(), "e1", "e2", "e3")
    for i in range(3):
        assert not scheduler.ejected_engines
        scheduler.step(50.0 + i, [ended("q", Outcome.RESET)])
    assert list(scheduler.ejected_engines) == ["e1"]


def test_a_query_that_no_engine_can_run_fails_and_ejects_no_engine() -> None:
    scheduler = started(settings(), "e1", "e2", "e3", "e4")
    for i in range(20):
        ((q, first),) = sends(scheduler.step(100.0 * i, [arrival(f"q{i}", deadline_at=5000.0 + 100 * i)]))
        ((q, second),) = sends(scheduler.step(100.0 * i + 10, [ended(q, Outcome.ERROR, engine=first)]))
        assert second != first
        last = scheduler.step(100.0 * i + 20, [ended(q, Outcome.ERROR, attempt=1, engine=second)])
        assert answers(last) == [Fail(q)] and not sends(last)
        assert not scheduler.ejected_engines and all(e.error_share == 0 for e in scheduler.engines.values())


def test_nothing_is_counted_for_a_retry_budget_without_one() -> None:
    scheduler = started(settings(), "e1")
    for i in range(10):
        scheduler.step(10.0 * i, [arrival(f"q{i}", deadline_at=5000.0 + 10 * i)])
    assert not scheduler.queries_accepted.entries


def test_a_short_query_outranks_the_long_ones_that_fill_an_engine() -> None:
    report = QueryClass("report", latency_objective_ms=30000, deadline_ms=60000, utility=5.0, threads=3)
    scheduler = started(settings(classes=(LOOKUP, report)), "e1")
    long = [arrival(f"r{i}", deadline_at=60000.0, estimated_work_ms=9000.0, query_class=1) for i in range(20)]
    out = len(sends(scheduler.step(5.0, long)))
    assert out < 20 and out * 3 >= THREAD_CAPACITY - 3  # some are queued: the engine has no capacity for them
    short = scheduler.step(100.0, [arrival("q", deadline_at=5100.0)])
    assert sends(short) == [("q", "e1")] and UpdateAttempt("q", 0, 2) in short
    many = sends(scheduler.step(200.0, [arrival(f"q{i}", deadline_at=5200.0) for i in range(100)]))
    assert 0 < len(many) <= THREAD_CAPACITY  # but not without end


@pytest.mark.parametrize("inflight, pressed", [(2.0, True), (25.0, False)])
def test_a_report_of_fewer_queries_than_are_in_flight_from_here_denies_no_pressure(
    inflight: float, pressed: bool
) -> None:
    """A report that lags behind this gateway's own queries can't deny pressure."""
    wide = dataclasses.replace(LOOKUP, threads=3)
    scheduler = started(settings(wide, machine_types=(MachineType(32, 64000.0),)), "e1")
    scheduler.step(1.0, [arrival(f"r{i}", estimated_work_ms=1000.0) for i in range(26)])
    report = {"inflight": inflight, "util": 0.5}
    scheduler.step(2.0, [ended("r0", Outcome.OK, is_final=True, elapsed_ms=1.0, load_report=report)])
    e = scheduler.engines["e1"]
    assert e.threads_in_flight > e.thread_capacity and utilization.is_under_pressure(scheduler, e) is pressed
