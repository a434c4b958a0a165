"""Ejection of engines: which evidence ejects an engine and which does not."""

from __future__ import annotations

import dataclasses

from cottonhold.scheduler.actions import (
    Cancel,
    Fail,
    LogLine,
)
from cottonhold.scheduler.engine_state import EjectionReason
from cottonhold.scheduler.events import (
    Outcome,
)
from tests.support.scheduler_events import (
    LOOKUP,
    answers,
    arrival,
    ended,
    sends,
    settings,
    started,
)


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


def test_silent_engine_is_ejected_and_its_idempotent_work_retried_elsewhere() -> None:
    scheduler = started(
        settings(dataclasses.replace(LOOKUP, deadline_ms=20000.0), progress_interval_ms=500.0), "e1", "e2"
    )
    ((_, engine),) = sends(scheduler.step(5.0, [arrival("q", deadline_at=20000.0)]))
    done = [a for t in range(10, 4000, 50) for a in scheduler.step(float(t), [])]
    assert Cancel("q", 0) in done
    ((_, other),) = sends(scheduler.step(4000.0, [ended("q", Outcome.CANCELLED, engine=engine)]))
    assert other != engine


def test_one_long_query_without_progress_notes_is_not_silence() -> None:
    """Silence is measured from the time an attempt is overdue, not from the time it was sent."""
    scheduler = started(settings(dataclasses.replace(LOOKUP, deadline_ms=20000.0)), "e1", "e2")
    scheduler.step(5.0, [arrival("q", deadline_at=20000.0, estimated_work_ms=4000.0)])
    done = [a for t in range(10, 4000, 50) for a in scheduler.step(float(t), [])]
    assert not [a for a in done if isinstance(a, LogLine | Cancel)]


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
