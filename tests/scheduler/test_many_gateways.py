"""Many gateways on one fleet: their budgets and shares add up, and each uses a part of the engines."""

from __future__ import annotations

import dataclasses
import math
import struct

import pytest

from cottonhold import Scheduler
from cottonhold.scheduler.actions import Reject, SetTimer
from cottonhold.scheduler.engine_state import EjectionReason
from cottonhold.scheduler.events import (
    ClientDisconnected,
    Engine,
    EngineList,
    EngineState,
    Outcome,
    PeerMessage,
    ProgressKind,
    ProgressNote,
)
from cottonhold.scheduler.settings import MemoryShortage
from tests.scheduler.gateway_fleet import MODEL, REPORT, fleet
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
)


@pytest.mark.parametrize("gateways", [1, 2, 40, 270])
def test_all_gateways_together_stay_within_the_budget_of_a_cold_engine(gateways: int) -> None:
    """Neither one query from each gateway nor a few long queries may exceed the budget."""
    shared_settings = settings(classes=(LOOKUP, REPORT), gateway_count=gateways)
    gateway_fleet = [
        Scheduler(dataclasses.replace(shared_settings, gateway_index=seed), seed) for seed in range(gateways)
    ]
    cold = EngineList((Engine("cold", started_at=900.0),), is_complete=True)
    for scheduler in gateway_fleet:
        scheduler.step(1000.0, [cold])
    sent: list[tuple[int, float]] = []
    work_by_class = (200.0, 2800.0)
    for t in range(1000, 7000, 200):
        for gateway_index, scheduler in enumerate(gateway_fleet):
            query_class = int((t // 200 + gateway_index) % 6 == 0)
            events = [
                arrival(
                    f"q{t}",
                    deadline_at=t + 20000.0,
                    estimated_work_ms=work_by_class[query_class],
                    query_class=query_class,
                )
            ]
            for name, engine in sends(scheduler.step(float(t), events)):
                actual_work_ms = work_by_class[int(scheduler.queries[name].query_class is REPORT)]
                sent.append((t, actual_work_ms))
                done = ended(
                    name,
                    Outcome.OK,
                    engine=engine,
                    is_final=True,
                    actual_work_ms=actual_work_ms,
                    elapsed_ms=actual_work_ms,
                )
                scheduler.step(float(t), [done])
    budget_ms = RULES.overload_factor * RULES.cold_capacity_share * MODEL.cores * RULES.overload_window_ms
    max_work_ms = max(
        sum(work_ms for t, work_ms in sent if window_start <= t < window_start + RULES.overload_window_ms)
        for window_start in range(1000, 9000, 100)
    )
    assert sent and max_work_ms <= budget_ms


def test_cold_engines_are_sent_a_fair_part_of_their_budget_where_each_gateway_uses_few_engines() -> None:
    """The budget is divided among the gateways that the engine is assigned to, and open to long queries."""
    shared_settings = settings(classes=(LOOKUP, REPORT), gateway_count=40)
    gateway_fleet = [
        Scheduler(dataclasses.replace(shared_settings, gateway_index=gateway_index), gateway_index)
        for gateway_index in range(40)
    ]
    cold = tuple(Engine(f"e{i:02}", started_at=900.0) for i in range(30))
    work_by_engine: dict[str, dict[int, float]] = {e.id: {0: 0.0, 1: 0.0} for e in cold}
    for gateway_index, scheduler in enumerate(gateway_fleet):
        scheduler.step(1000.0, [EngineList(cold, is_complete=True)])
        for t in range(1000, 5000, 200):
            query_class = t // 200 % 2
            events = [
                arrival(
                    f"q{t}",
                    deadline_at=t + 20000.0,
                    estimated_work_ms=(200.0, 2800.0)[query_class],
                    query_class=query_class,
                )
            ]
            for name, engine in sends(scheduler.step(float(t + gateway_index), events)):
                work_ms = scheduler.queries[name].estimated_work_ms
                work_by_engine[engine][int(scheduler.queries[name].query_class is REPORT)] += work_ms
                scheduler.step(
                    float(t + gateway_index),
                    [ended(name, Outcome.OK, engine=engine, is_final=True, actual_work_ms=work_ms)],
                )
    budget_ms = RULES.overload_factor * RULES.cold_capacity_share * MODEL.cores * 4000 * len(cold)
    work_by_class = [
        sum(by_class[query_class] for by_class in work_by_engine.values()) for query_class in (0, 1)
    ]
    assert sum(work_by_class) > budget_ms / 8 and work_by_class[1] > work_by_class[0]


def test_a_long_query_in_flight_does_not_delay_a_lookup_at_a_small_traffic_share() -> None:
    """At a share below one thread, a long query in flight must not make every estimated finish late."""
    scheduler = Scheduler(settings(classes=(LOOKUP, REPORT), gateway_count=200), 1)
    scheduler.step(0.0, [fleet(40)])
    assert sends(
        scheduler.step(5.0, [arrival("r", deadline_at=20000.0, estimated_work_ms=6000.0, query_class=1)])
    )
    assert [q for q, _ in sends(scheduler.step(10.0, [arrival("a"), arrival("b")]))] == ["a", "b"]


def test_paging_engines_are_not_overloaded_by_one_query_of_each_gateway_on_each_engine() -> None:
    """The share applies to the memory of the fleet, not to each engine."""
    shared_settings = settings(classes=(REPORT,), gateway_count=200, on_memory_shortage=MemoryShortage.PAGE)
    scheduler = Scheduler(shared_settings, 1)
    scheduler.step(0.0, [fleet(20)])
    events = [
        arrival(f"r{i}", deadline_at=20000.0, estimated_work_ms=3000.0, estimated_memory_mb=2000.0)
        for i in range(20)
    ]
    assert 1 <= len(sends(scheduler.step(5.0, events))) <= 2


def test_an_idle_gateway_sets_no_timer() -> None:
    scheduler = Scheduler(settings(gateway_count=200), 1)
    assert not [a for a in scheduler.step(0.0, [fleet(40)]) if isinstance(a, SetTimer)]
    ((name, engine),) = sends(scheduler.step(5.0, [arrival("q")]))
    scheduler.step(100.0, [ended(name, Outcome.OK, engine=engine, is_final=True)])
    timers = [
        a for t in range(150, 2000, 50) for a in scheduler.step(float(t), []) if isinstance(a, SetTimer)
    ]
    assert len(timers) <= 2


def test_ejection_expires_without_canaries() -> None:
    scheduler = Scheduler(settings(gateway_count=200), 1)
    scheduler.step(0.0, [engines("e1", "e2")])
    ((name, engine),) = sends(scheduler.step(5.0, [arrival("q")]))
    scheduler.step(10.0, [ended(name, Outcome.CONNECT_FAILED, engine=engine)])
    assert scheduler.engines[engine].ejection_reason
    for t in range(100, 12000, 100):
        scheduler.step(float(t), [])
    assert not scheduler.engines[engine].ejection_reason


def test_invalid_input_is_ignored_and_removed_engines_are_dropped() -> None:
    scheduler = Scheduler(
        settings(gateway_count=20, features=dataclasses.replace(PERMITS, has_peer_messages=True)), 1
    )
    entry = Engine("e1")
    scheduler.step(0.0, [EngineList((entry, entry), is_complete=True)])
    for i in range(300):
        scheduler.step(
            10.0 + i, [fleet(10, prefix=f"n{i}-"), fleet(10, EngineState.REMOVED, prefix=f"n{i}-")]
        )
    assert set(scheduler.engines) == {"e1"} and len(scheduler.live_engines) == 1
    invalid_messages = [
        b"",
        b"\x01",
        b"\x09" * 40,
        struct.pack(">Bf", 1, math.nan),
        struct.pack(">Bf", 1, math.inf),
    ]
    invalid_messages.append(struct.pack(">BIHf", 2, scheduler.engines["e1"].id_hash, 3, math.nan))
    scheduler.step(400.0, [PeerMessage(n, data) for n, data in enumerate(invalid_messages)])
    scheduler.step(401.0, [ended("never", Outcome.OK, engine="n3-1")])
    assert not scheduler.traffic_by_peer and not scheduler.engines["e1"].locked_until
    for i in range(500):
        t = 500.0 + 20 * i
        for name, engine in sends(scheduler.step(t, [arrival(f"q{i}", deadline_at=t + 5000)])):
            scheduler.step(t + 10, [ended(name, Outcome.OK, engine=engine, is_final=True)])
    assert not scheduler.queries and len(scheduler.deadlines.heap) <= 1 and not scheduler.unplaced


def test_an_overloaded_engine_is_backed_off_from_exponentially() -> None:
    """An engine that rejects immediately would otherwise attract ever more queries."""
    scheduler = Scheduler(settings(gateway_count=100), 1)
    scheduler.step(0.0, [engines("e1", "e2")])
    ((_, overloaded),) = sends(scheduler.step(5.0, [arrival("q")]))
    ((_, other),) = sends(scheduler.step(10.0, [ended("q", Outcome.OVERLOADED, engine=overloaded)]))
    scheduler.step(20.0, [ended("q", Outcome.OK, attempt=1, engine=other, is_final=True)])
    chosen = set()
    for t in range(30, 900, 50):
        for name, engine in sends(scheduler.step(float(t), [arrival(f"q{t}", deadline_at=t + 5000.0)])):
            chosen.add(engine)
            scheduler.step(float(t + 10), [ended(name, Outcome.OK, engine=engine, is_final=True)])
    assert chosen == {other}


def test_a_query_that_waits_for_memory_is_not_silence() -> None:
    """The engine sends no progress note for a query that waits for memory until the query runs."""
    scheduler = Scheduler(settings(gateway_count=200, progress_interval_ms=1000.0), 1)
    scheduler.step(0.0, [fleet(4)])
    ((name, engine),) = sends(scheduler.step(5.0, [arrival("q")]))
    scheduler.step(10.0, [ProgressNote(name, 0, engine, ProgressKind.WAITING, 1)])
    for t in range(100, 3000, 100):
        scheduler.step(float(t), [])
    assert not scheduler.engines[engine].ejection_reason
    scheduler.step(3000.0, [ProgressNote(name, 0, engine, ProgressKind.PROGRESS, 0.1)])
    for t in range(3100, 4500, 100):
        scheduler.step(float(t), [])
    assert scheduler.engines[engine].ejection_reason is EjectionReason.SILENT


@pytest.mark.parametrize("is_marked", [True, False])
def test_the_latency_objective_of_a_clients_retry_is_measured_from_the_first_try(is_marked: bool) -> None:
    """A client's retry must not appear as dense as a new query."""
    query_class = dataclasses.replace(LOOKUP, late_utility=0.0)
    scheduler = Scheduler(settings(query_class, gateway_count=20), 1)
    scheduler.step(0.0, [fleet(4)])
    for i in range(30):  # first tries have 4.5 s, retries the rest of the class's 5 s
        for name, engine in sends(
            scheduler.step(5.0 + 90 * i, [arrival(f"f{i}", deadline_at=4505.0 + 90 * i)])
        ):
            if i % 6:
                scheduler.step(50.0 + 90 * i, [ended(name, Outcome.OK, engine=engine, is_final=True)])
            else:  # some are not served: only these can be retried
                scheduler.step(
                    50.0 + 90 * i,
                    [ClientDisconnected(name), ended(name, Outcome.CANCELLED, engine=engine)],
                )
    done = scheduler.step(
        3000.0, [arrival("past", deadline_at=5500.0, is_retry=is_marked), arrival("new", deadline_at=7500.0)]
    )
    assert [q for q, _ in sends(done)] == ["new"]
    assert [a.query_id for a in answers(done) if isinstance(a, Reject)] == ["past"]
    assert scheduler.queries["new"].latency_objective_at == 3000.0 + LOOKUP.latency_objective_ms
    scheduler.step(3100.0, [arrival("late", deadline_at=7900.0, is_retry=is_marked)])
    assert scheduler.queries["late"].latency_objective_at == 2900.0 + LOOKUP.latency_objective_ms


def test_without_a_usual_client_timeout_no_unmarked_query_is_treated_as_a_retry() -> None:
    scheduler = Scheduler(settings(gateway_count=20), 1)
    scheduler.step(0.0, [fleet(4)])
    for i in range(60):
        scheduler.step(5.0 + i, [arrival(f"q{i}", deadline_at=5.0 + i + 2000 + 700 * (i % 4))])
        assert scheduler.queries[f"q{i}"].first_tried_at == 5.0 + i


def test_a_query_without_expected_utility_is_not_sent() -> None:
    """On a fleet that may be full it would take the capacity of another query."""
    scheduler = Scheduler(settings(dataclasses.replace(LOOKUP, late_utility=0.0, deadline_ms=9000.0)), 1)
    scheduler.step(0.0, [engines("e1")])
    assert scheduler.fleet_utilization > 0.9  # without load reports the fleet may be full
    done = scheduler.step(5.0, [arrival("q", deadline_at=9005.0, estimated_work_ms=6000.0)])
    assert sends(done) == []
    reported = [a for t in range(10, 400, 10) for a in answers(scheduler.step(float(t), []))]
    assert len(reported) == 1 and isinstance(reported[0], Reject) and reported[0].query_id == "q"


def test_under_pressure_a_gateway_uses_no_more_than_its_share_of_the_fleet() -> None:
    """The shares of all gateways add up to the capacity of the fleet."""
    scheduler = Scheduler(settings(classes=(REPORT,), gateway_count=200), 1)
    scheduler.step(0.0, [fleet(60)])
    for e in scheduler.engines.values():
        e.under_pressure_until = 1e9
    scheduler.step(5.0, [arrival(f"r{i}", deadline_at=20000.0, estimated_work_ms=3000.0) for i in range(20)])
    threads = sum(e.threads_in_flight for e in scheduler.engines.values())
    assert 0 < threads <= scheduler.local_thread_capacity < 5


def test_each_of_many_gateways_uses_a_range_of_engines_and_the_ranges_cover_all() -> None:
    """The ranges cover all engines evenly."""
    gateways_by_engine: dict[str, int] = {}
    for gateway_index in range(60):
        scheduler = Scheduler(settings(gateway_count=60, gateway_index=gateway_index), gateway_index)
        scheduler.step(0.0, [fleet(30)])
        chosen = set()
        for i in range(40):
            for name, engine in sends(scheduler.step(5.0 + 10 * i, [arrival(f"q{i}", deadline_at=6000.0)])):
                chosen.add(engine)
                scheduler.step(10.0 + 10 * i, [ended(name, Outcome.OK, engine=engine, is_final=True)])
        assert len(scheduler.candidate_pool) == 8 and chosen <= {e.id for e in scheduler.candidate_pool}
        for e in scheduler.candidate_pool:
            gateways_by_engine[e.id] = gateways_by_engine.get(e.id, 0) + 1
    assert len(gateways_by_engine) == 30 and set(gateways_by_engine.values()) == {16}


def test_one_of_two_gateways_uses_the_whole_fleet() -> None:
    scheduler = Scheduler(settings(gateway_count=2, gateway_index=1), 1)
    scheduler.step(0.0, [fleet(30)])
    assert (
        len(
            {
                e
                for i in range(300)
                for _, e in sends(scheduler.step(5.0 + i, [arrival(f"q{i}", deadline_at=9e3)]))
            }
        )
        == 30
    )


def test_a_query_without_expected_utility_is_sent_while_the_fleet_is_idle() -> None:
    """Estimates are imprecise, and on an idle fleet the query takes no capacity from others."""
    scheduler = Scheduler(settings(REPORT), 1)
    scheduler.step(0.0, [engines("e1", "e2")])
    idle = {"util": 0.2}
    for i in range(30):
        for name, engine in sends(scheduler.step(5.0 + 20 * i, [arrival(f"q{i}", deadline_at=20000.0)])):
            scheduler.step(
                15.0 + 20 * i, [ended(name, Outcome.OK, engine=engine, is_final=True, load_report=idle)]
            )
    scheduler.step(690.0, [])
    assert [
        q
        for q, _ in sends(
            scheduler.step(700.0, [arrival("long", deadline_at=20700.0, estimated_work_ms=4e5)])
        )
    ] == ["long"]


@pytest.mark.parametrize("can_cancel, expected", [(True, ["next"]), (False, [])])
def test_a_timed_out_attempt_that_cannot_be_cancelled_occupies_its_capacity(
    can_cancel: bool, expected: list[str]
) -> None:
    """An attempt that is not cancelled may still run on its engine."""
    permits = dataclasses.replace(PERMITS, can_cancel=can_cancel)
    scheduler = Scheduler(settings(classes=(LOOKUP, REPORT), gateway_count=200, features=permits), 1)
    scheduler.step(0.0, [fleet(40)])
    for e in scheduler.engines.values():
        e.under_pressure_until = 1e9
    ((name, engine),) = sends(
        scheduler.step(5.0, [arrival("r", deadline_at=20000.0, estimated_work_ms=6000.0, query_class=1)])
    )
    assert [q for q, _ in sends(scheduler.step(6.0, [arrival("l", estimated_work_ms=1000.0)]))] == ["l"]
    scheduler.step(400.0, [ended(name, Outcome.TIMEOUT, engine=engine, is_final=True)])
    after = scheduler.step(
        405.0, [arrival("next", deadline_at=20000.0, estimated_work_ms=6000.0, query_class=1)]
    )
    assert [q for q, _ in sends(after)] == expected


@pytest.mark.parametrize("gateway_index", range(0, 40, 7))
def test_loads_are_sent_to_preferred_engines_that_are_assigned_to_this_gateway(gateway_index: int) -> None:
    """The gateway receives no reports on other preferred engines, so they would appear idle."""
    load = dataclasses.replace(REPORT, name="load", is_load=True)
    scheduler = Scheduler(settings(classes=(load,), gateway_count=40, gateway_index=gateway_index), 1)
    scheduler.step(0.0, [fleet(30)])
    for tables in range(6):
        ((name, engine),) = sends(
            scheduler.step(5.0 + tables, [arrival(f"l{tables}", deadline_at=2e4, table_group=tables)])
        )
        scheduler.step(5.5 + tables, [ended(name, Outcome.OK, engine=engine, is_final=True)])
        assert engine in scheduler.assigned_engine_ids or not scheduler.assigned_engine_ids & {
            e.id for e in scheduler.preferred_engines[tables]
        }
