"""Engines that report little: no progress notes, load reports with health checks only, shrinking grants."""

from __future__ import annotations

import dataclasses
from typing import Any

import pytest

from cottonhold import Scheduler
from cottonhold.scheduler import utilization
from cottonhold.scheduler.actions import Action, Cancel, CheckHealth, Reject
from cottonhold.scheduler.engine_state import EjectionReason
from cottonhold.scheduler.events import (
    ClientDisconnected,
    Engine,
    EngineList,
    HealthCheckCompleted,
    Outcome,
    ProgressKind,
    ProgressNote,
)
from cottonhold.scheduler.settings import Idempotency, MachineType, MemoryShortage
from tests.support.scheduler_events import LOOKUP, PERMITS, arrival, ended, engines, sends, settings

WITH_HEALTH_CHECKS = dataclasses.replace(PERMITS, has_health_checks=True, max_attempts=5)


def started_without_notes(*names: str, **changes: Any) -> Scheduler:
    """Return a gateway whose engines send no progress notes, after traffic that filled its check budget."""
    scheduler = Scheduler(
        settings(**{"features": WITH_HEALTH_CHECKS, "progress_interval_ms": 0.0, **changes}), 1
    )
    scheduler.step(0.0, [engines(*names)])
    done: dict[str, Any] = {
        "outcome": Outcome.OK,
        "is_final": True,
        "actual_work_ms": 100.0,
        "elapsed_ms": 100.0,
    }
    for i in range(40):
        for name, engine in sends(
            scheduler.step(i * 100.0, [arrival(f"w{i}", deadline_at=i * 100.0 + 5000)])
        ):
            scheduler.step(i * 100.0 + 100, [ended(name, engine=engine, **done)])
    return scheduler


def health_checks(scheduler: Scheduler, start: int, end: int) -> list[str]:
    steps = [scheduler.step(float(t), []) for t in range(start, end, 50)]
    return [a.engine for actions in steps for a in actions if isinstance(a, CheckHealth)]


def test_one_long_query_without_progress_notes_causes_a_health_check_and_no_ejection() -> None:
    """Without progress notes, silence alone is not evidence of a fault."""
    scheduler = started_without_notes("e1", "e2")
    ((_, engine),) = sends(
        scheduler.step(4050.0, [arrival("q", deadline_at=30000.0, estimated_work_ms=1000.0)])
    )
    assert engine in health_checks(scheduler, 4100, 7000)
    scheduler.step(7000.0, [HealthCheckCompleted(engine, Outcome.OK)])
    assert not scheduler.engines[engine].ejection_reason


def test_health_check_timeout_ejects_an_overdue_engine_and_a_success_readmits_it() -> None:
    scheduler = started_without_notes("e1", "e2")
    ((_, engine),) = sends(
        scheduler.step(4050.0, [arrival("q", deadline_at=30000.0, estimated_work_ms=1000.0)])
    )
    assert engine in health_checks(scheduler, 4100, 5900)
    scheduler.step(5900.0, [HealthCheckCompleted(engine, Outcome.TIMEOUT)])
    assert scheduler.engines[engine].ejection_reason is EjectionReason.HEALTH_CHECK_TIMEOUT
    actions = [
        a for t in range(5950, 6050, 50) for a in scheduler.step(float(t), [])
    ]  # before twice the planned run time
    assert Cancel("q", 0) in actions
    scheduler.step(8000.0, [HealthCheckCompleted(engine, Outcome.OK)])
    assert not scheduler.engines[engine].ejection_reason


def test_without_progress_notes_a_query_a_little_over_its_planned_run_is_not_cancelled() -> None:
    """An attempt at 1.5 times its planned run must not be expected to need 15 times more.

    Such an estimate cancelled attempts on an idle fleet, which wasted their work.
    """
    scheduler = started_without_notes("e1", "e2")
    sends(scheduler.step(4050.0, [arrival("q", deadline_at=30000.0, estimated_work_ms=1000.0)]))
    actions = [a for t in range(4100, 6050, 50) for a in scheduler.step(float(t), [])]
    assert not [a for a in actions if isinstance(a, Cancel)]
    actions = [a for t in range(6050, 6300, 50) for a in scheduler.step(float(t), [])]
    assert Cancel("q", 0) in actions


@pytest.mark.parametrize("gateways, min_runs, max_runs", [(1, 2.0, 2.1), (40, 3.5, 4.0)])
def test_cancellation_waits_for_more_planned_runs_on_a_full_and_rarely_observed_fleet(
    gateways: int, min_runs: float, max_runs: float
) -> None:
    """On a full fleet most runs take more than twice the plan, so cancelling them only adds work."""
    scheduler = started_without_notes(*(f"e{i}" for i in range(60)), gateway_count=gateways)
    assert (
        len(
            sends(
                scheduler.step(
                    4050.0,
                    [arrival(f"q{i}", deadline_at=90000.0, estimated_work_ms=2000.0) for i in range(22)],
                )
            )
        )
        > 20
    )
    planned_run_ms, steps = scheduler.queries["q0"].planned_run_ms, range(4100, 30000, 50)
    cancelled_at = next(t for t in steps if any(isinstance(a, Cancel) for a in scheduler.step(float(t), [])))
    assert min_runs * planned_run_ms <= cancelled_at - 4050 < max_runs * planned_run_ms + 300


def test_a_short_query_whose_answer_is_lost_is_retried_in_time() -> None:
    """As the remaining time is estimated by the elapsed time, the attempt is cancelled soon enough."""
    scheduler = started_without_notes("e1", "e2")
    sends(scheduler.step(4050.0, [arrival("q", deadline_at=9050.0)]))
    cancelled_at = [t for t in range(4100, 9000, 50) if Cancel("q", 0) in scheduler.step(float(t), [])]
    assert 4050 + 2 * 100 <= cancelled_at[0] < 4050 + 350


@pytest.mark.parametrize(
    "idempotency, is_cancelled", [(Idempotency.IDEMPOTENT, True), (Idempotency.NOT_IDEMPOTENT, False)]
)
def test_work_of_a_disconnected_client_is_cancelled_but_a_load_runs_on(
    idempotency: Idempotency, is_cancelled: bool
) -> None:
    scheduler = started_without_notes("e1", classes=(dataclasses.replace(LOOKUP, idempotency=idempotency),))
    scheduler.step(4050.0, [arrival("q", deadline_at=9000.0)])
    actions = scheduler.step(4100.0, [ClientDisconnected("q")])
    assert (Cancel("q", 0) in actions) is is_cancelled
    assert "q" in scheduler.queries  # until its outcome is known, so that its key is not released early
    scheduler.step(4200.0, [ended("q", Outcome.CANCELLED if is_cancelled else Outcome.OK, is_final=True)])
    assert "q" not in scheduler.queries


def test_health_checks_are_limited_by_the_number_of_queries() -> None:
    scheduler = started_without_notes("e1", "e2", "e3")
    scheduler.step(
        4050.0, [arrival(f"q{i}", deadline_at=30000.0, estimated_work_ms=3000.0) for i in range(3)]
    )
    assert len(health_checks(scheduler, 4100, 29000)) <= 13  # 0.3 for each of 43 queries


def actions_after_note(completed_share: float) -> list[Action]:
    """Return the actions from the first progress note, 1 s after the query was sent, until 0.5 s later."""
    scheduler = started_without_notes("e1", "e2", progress_interval_ms=1000.0)
    ((_, engine),) = sends(
        scheduler.step(4050.0, [arrival("q", deadline_at=30000.0, estimated_work_ms=1000.0)])
    )
    actions = scheduler.step(5050.0, [ProgressNote("q", 0, engine, ProgressKind.PROGRESS, completed_share)])
    return actions + [a for t in range(5100, 5600, 50) for a in scheduler.step(float(t), [])]


def test_a_straggler_is_cancelled_at_the_first_progress_note_that_shows_its_speed() -> None:
    """The progress note is used even before the limit of planned run times is reached."""
    assert Cancel("q", 0) in actions_after_note(0.06)
    assert not [a for a in actions_after_note(0.7) if isinstance(a, Cancel)]


def test_a_wait_for_memory_is_not_slow_progress() -> None:
    scheduler = started_without_notes("e1", "e2", progress_interval_ms=1000.0)
    ((_, engine),) = sends(
        scheduler.step(4050.0, [arrival("q", deadline_at=30000.0, estimated_work_ms=2000.0)])
    )
    for i in range(1, 4):
        scheduler.step(4050.0 + 1000 * i, [ProgressNote("q", 0, engine, ProgressKind.WAITING, 1.0)])
    actions = scheduler.step(8050.0, [ProgressNote("q", 0, engine, ProgressKind.PROGRESS, 0.3)])
    actions += [a for t in range(8100, 8400, 50) for a in scheduler.step(float(t), [])]
    assert not [a for a in actions if isinstance(a, Cancel)]


@pytest.mark.parametrize("reported_utilization, is_under_pressure", [(0.7, False), (0.95, True)])
def test_a_report_with_free_capacity_refutes_pressure_if_queries_in_flight_are_not_reported(
    reported_utilization: float, is_under_pressure: bool
) -> None:
    """Own work in flight fills the local share, but the load report shows free capacity."""
    scheduler = Scheduler(settings(features=WITH_HEALTH_CHECKS, gateway_count=4), 1)
    scheduler.step(0.0, [engines("e1")])
    scheduler.step(5.0, [HealthCheckCompleted("e1", Outcome.OK, {"util": reported_utilization})])
    scheduler.step(10.0, [arrival(f"a{i}", estimated_work_ms=3000.0, deadline_at=30000.0) for i in range(3)])
    e1 = scheduler.engines["e1"]
    assert (
        1
        < e1.threads_in_flight / e1.local_thread_capacity
        + scheduler.unobserved_share * scheduler.fleet_utilization
        <= 2
    )
    assert utilization.is_under_pressure(scheduler, e1) is is_under_pressure


def test_planned_memory_is_the_grant_that_the_engine_chooses() -> None:
    scheduler = started_without_notes("e1", on_memory_shortage=MemoryShortage.SHRINK)
    scheduler.class_histories[0].memory_log_bias = 1.0  # queries used far more than estimated
    scheduler.step(4050.0, [arrival("q", deadline_at=30000.0, estimated_memory_mb=100.0)])
    assert scheduler.queries["q"].planned_memory_mb == pytest.approx(130.0)


@pytest.mark.parametrize("report", [{}, {"util": float("nan")}, {"util": -1.0}, {"util": float("inf")}])
def test_an_invalid_health_check_report_changes_nothing(report: dict[str, float]) -> None:
    scheduler = started_without_notes("e1")
    utilization_before = scheduler.fleet_utilization
    for engine in ("e1", "unknown"):
        for outcome in (Outcome.OK, Outcome.ERROR):
            scheduler.step(4050.0, [HealthCheckCompleted(engine, outcome, report)])
    assert (
        scheduler.fleet_utilization == utilization_before
        and not scheduler.engines["e1"].load_report
        and "unknown" not in scheduler.engines
    )


def test_a_query_larger_than_the_local_share_is_followed_by_a_pause_under_pressure() -> None:
    """If each gateway always had one such query in flight, they would overfill the fleet."""
    report = dataclasses.replace(LOOKUP, latency_objective_ms=9000.0, deadline_ms=30000.0, threads=3)
    scheduler = Scheduler(settings(classes=(report,), gateway_count=100, features=WITH_HEALTH_CHECKS), 1)
    scheduler.step(0.0, [engines("e1", "e2", "e3", "e4", "e5")])  # local share: 0.8 threads
    scheduler.fleet_utilization = 1.0
    ((name, engine),) = sends(
        scheduler.step(5.0, [arrival("a", deadline_at=29000.0, estimated_work_ms=1000.0)])
    )
    scheduler.step(500.0, [arrival("b", deadline_at=29000.0, estimated_work_ms=1000.0)])
    fields: dict[str, Any] = {
        "engine": engine,
        "is_final": True,
        "actual_work_ms": 1000.0,
        "elapsed_ms": 1000.0,
    }
    actions = scheduler.step(1005.0, [ended(name, Outcome.OK, **fields)])
    sent = {t: sends(scheduler.step(float(t), [])) for t in range(1050, 6000, 50)}
    assert not sends(actions)
    assert 1005 + 2500 < min(t for t, q in sent.items() if q) < 1005 + 3200


def test_expired_quiet_times_of_keys_are_dropped() -> None:
    load = dataclasses.replace(LOOKUP, idempotency=Idempotency.NOT_IDEMPOTENT, is_ordered_by_key=True)
    rules = dataclasses.replace(settings().rules, key_quiet_ms=500.0)
    scheduler = Scheduler(settings(classes=(load,), rules=rules), 1)
    scheduler.step(0.0, [engines("e1", "e2")])
    for i in range(50):
        now = 1000.0 * i
        ((name, engine),) = sends(
            scheduler.step(now, [arrival(f"q{i}", deadline_at=now + 5000, ordering_key=f"k{i}")])
        )
        scheduler.step(now + 20, [ended(name, Outcome.RESET, engine=engine)])
    assert len(scheduler.key_queues.quiet_until) <= 2


def test_an_ordered_query_without_a_key_does_not_wait_for_others() -> None:
    load = dataclasses.replace(LOOKUP, idempotency=Idempotency.NOT_IDEMPOTENT, is_ordered_by_key=True)
    scheduler = Scheduler(settings(classes=(load,)), 1)
    scheduler.step(0.0, [engines("e1")])
    assert len(sends(scheduler.step(5.0, [arrival("a"), arrival("b")]))) == 2


def test_a_class_without_a_permitted_engine_is_rejected_before_its_deadline_and_never_sent() -> None:
    restricted_class = dataclasses.replace(LOOKUP, machine_types=(1,))
    scheduler = Scheduler(
        settings(
            classes=(restricted_class,), machine_types=(MachineType(8, 16000.0), MachineType(8, 16000.0))
        ),
        1,
    )
    scheduler.step(0.0, [engines("e1", "e2")])
    actions = scheduler.step(5.0, [arrival("q")])
    actions += [a for t in range(50, 5050, 50) for a in scheduler.step(float(t), [])]
    assert not sends(actions)
    assert len([a for a in actions if isinstance(a, Reject)]) == 1 and not scheduler.queries


def test_an_engine_listed_twice_or_with_a_new_id_is_counted_once() -> None:
    scheduler = Scheduler(settings(), 1)
    scheduler.step(0.0, [EngineList((Engine("e1"), Engine("e1")), is_complete=True)])
    assert len(scheduler.live_engines) == 1
    for i in range(200):
        scheduler.step(10.0 * i, [EngineList((Engine(f"n{i}"),), is_complete=True)])
    assert list(scheduler.engines) == ["n199"]


def test_short_client_timeouts_are_not_treated_as_retries_if_all_queries_were_served() -> None:
    """An unusually short time until the deadline indicates a retry only if queries were not served."""
    scheduler = started_without_notes("e1", "e2")
    rejected = []
    for i in range(40):
        now = 4000.0 + i * 200
        remaining_ms = 1500.0 if i % 5 == 4 else 5000.0
        actions = scheduler.step(now, [arrival(f"q{i}", deadline_at=now + remaining_ms)])
        rejected += [a for a in actions if isinstance(a, Reject)]
        for name, engine in sends(actions):
            assert scheduler.queries[name].first_tried_at == now
            fields: dict[str, Any] = {
                "engine": engine,
                "is_final": True,
                "actual_work_ms": 100.0,
                "elapsed_ms": 100.0,
            }
            scheduler.step(now + 100, [ended(name, Outcome.OK, **fields)])
    assert not rejected


@pytest.mark.parametrize(
    "shortage, fleet_utilization, expected", [("SHRINK", 0.3, 2), ("SHRINK", 1.0, 1), ("PAGE", 0.3, 1)]
)
def test_the_memory_limit_without_pressure_depends_on_what_engines_do_in_a_shortage(
    shortage: str, fleet_utilization: float, expected: int
) -> None:
    """If memory grants shrink, only one query slows down; if engines page, all queries do."""
    report = dataclasses.replace(LOOKUP, latency_objective_ms=9000.0, deadline_ms=30000.0)
    gateway_settings = settings(
        classes=(report,),
        gateway_count=20,
        features=WITH_HEALTH_CHECKS,
        on_memory_shortage=MemoryShortage[shortage],
    )
    scheduler = Scheduler(gateway_settings, 1)
    scheduler.step(0.0, [engines(*(f"e{i}" for i in range(20)))])
    scheduler.fleet_utilization = fleet_utilization
    events = [
        arrival(f"q{i}", deadline_at=29000.0, estimated_work_ms=1000.0, estimated_memory_mb=6000.0)
        for i in range(2)
    ]
    assert len(sends(scheduler.step(5.0, events))) == expected


def test_less_than_half_of_the_cores_busy_refutes_pressure_on_paging_engines() -> None:
    """The load report of a paging engine refutes pressure up to half of its cores busy."""
    gateway_settings = settings(
        features=WITH_HEALTH_CHECKS, gateway_count=4, on_memory_shortage=MemoryShortage.PAGE
    )
    scheduler = Scheduler(gateway_settings, 1)
    scheduler.step(0.0, [engines("e1")])
    scheduler.step(5.0, [HealthCheckCompleted("e1", Outcome.OK, {"util": 0.48})])
    scheduler.step(10.0, [arrival(f"a{i}", estimated_work_ms=3000.0, deadline_at=30000.0) for i in range(3)])
    e1 = scheduler.engines["e1"]
    assert (
        1
        < e1.threads_in_flight / e1.local_thread_capacity
        + scheduler.unobserved_share * scheduler.fleet_utilization
        <= 2
        and not utilization.is_under_pressure(scheduler, e1)
    )
