"""Limits of capacity, and the order in which queries are planned and released."""

from __future__ import annotations

import dataclasses
import math
from typing import Any

import pytest

from cottonhold import Scheduler
from cottonhold.scheduler import utilization
from cottonhold.scheduler.actions import (
    UpdateAttempt,
)
from cottonhold.scheduler.events import (
    AdmissionThreshold,
    Event,
    Outcome,
)
from cottonhold.scheduler.scheduler import THREADS_PER_CORE
from cottonhold.scheduler.settings import (
    MachineType,
    QueryClass,
)
from tests.support.scheduler_events import (
    LOOKUP,
    PERMITS,
    arrival,
    ended,
    sends,
    settings,
    started,
)

THREAD_CAPACITY = math.ceil(8 * THREADS_PER_CORE)  # threads that fill the one engine of 8 cores


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


def test_capacity_limits_an_engine_with_idle_cores() -> None:
    """Own work in flight is a sign of pressure even if a load report shows idle cores."""
    scheduler = started(settings(), "e1")
    scheduler.step(1.0, [arrival("x")])
    scheduler.step(2.0, [ended("x", Outcome.OK, is_final=True, load_report={"util": 0.1})])
    sent = sends(scheduler.step(3.0, [arrival(f"q{i}", estimated_work_ms=1000.0) for i in range(60)]))
    assert len(sent) <= 2 * THREAD_CAPACITY + 1


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
