"""Effects of the fleet's quotas on the decisions of one gateway."""

from __future__ import annotations

import dataclasses
import math

import pytest

from cottonhold import Scheduler
from cottonhold.scheduler.actions import Cancel, CheckHealth
from cottonhold.scheduler.engine_state import EjectionReason
from cottonhold.scheduler.events import Engine, EngineList, EngineQuotas, Event, Outcome
from cottonhold.scheduler.settings import Idempotency
from tests.support.scheduler_events import LOOKUP, answers, arrival, ended, engines, sends, settings, started


def quotas(expires_at: float = 1e9, **work_rates: float) -> EngineQuotas:
    return EngineQuotas(work_rates, expires_at)


def serve_steadily(
    scheduler: Scheduler, start: int, end: int, interval_ms: int = 5, work_ms: float = 60.0
) -> list[tuple[int, str]]:
    """Send queries at a constant rate, each answered after `work_ms`; return their send times and engines."""
    sent, in_flight = [], list[tuple[float, str, str]]()
    for t in range(start, end, interval_ms):
        ended_queries = [attempt for attempt in in_flight if attempt[0] <= t]
        in_flight = [attempt for attempt in in_flight if attempt[0] > t]
        done = [
            ended(name, Outcome.OK, engine=engine, is_final=True, actual_work_ms=work_ms, elapsed_ms=work_ms)
            for _, name, engine in ended_queries
        ]
        for name, engine in sends(
            scheduler.step(
                float(t), [*done, arrival(f"q{t}", deadline_at=t + 5000.0, estimated_work_ms=work_ms)]
            )
        ):
            sent.append((t, engine))
            in_flight.append((t + work_ms, name, engine))
    scheduler.step(
        float(end),
        [
            ended(name, Outcome.OK, engine=engine, is_final=True, actual_work_ms=work_ms)
            for _, name, engine in in_flight
        ],
    )
    return sent


def test_no_query_is_sent_to_a_closed_engine_and_queries_queued_there_are_moved() -> None:
    scheduler = started(settings(), "e1", "e2")
    first = sends(
        scheduler.step(
            5.0, [arrival(f"q{i}", estimated_work_ms=3000.0, deadline_at=9000.0) for i in range(60)]
        )
    )
    queued_on_e1 = {q.id for q in scheduler.engines["e1"].plan}
    assert queued_on_e1 and {e for _, e in first} == {"e1", "e2"}
    scheduler.step(10.0, [quotas(e1=0.0)])
    assert not scheduler.engines["e1"].plan and not scheduler.unplaced
    assert {e for _, e in serve_steadily(scheduler, 20, 500)} <= {"e2"}


def test_running_idempotent_queries_are_cancelled_on_a_closed_engine_and_loads_are_not() -> None:
    load = dataclasses.replace(LOOKUP, name="load", idempotency=Idempotency.NOT_IDEMPOTENT)
    scheduler = started(settings(classes=(LOOKUP, load)), "e1")
    scheduler.step(
        5.0,
        [arrival("read", estimated_work_ms=300.0), arrival("load", estimated_work_ms=300.0, query_class=1)],
    )
    scheduler.step(10.0, [engines("e1", "e2"), quotas(e1=0.0)])
    done = [a for t in range(20, 800, 20) for a in scheduler.step(float(t), [])]
    assert [a.query_id for a in done if isinstance(a, Cancel)] == ["read"]
    assert not answers(done) and not sends(done)


@pytest.mark.parametrize("work_rate", [0.1, 1.0, 4.0])
def test_an_engine_with_a_quota_is_sent_its_quota_without_a_burst(work_rate: float) -> None:
    scheduler = started(settings(), "e1", "e2")
    scheduler.step(1.0, [quotas(e1=0.0)])
    scheduler.step(2.0, [quotas(e1=work_rate)])
    sent = [t for t, e in serve_steadily(scheduler, 10, 8000) if e == "e1"]
    assert 0.6 * work_rate * 8000 <= 60.0 * len(sent) <= work_rate * 8000 + 120.0
    windows = [
        60.0 * sum(window_start <= t < window_start + 500 for t in sent)
        for window_start in range(0, 7500, 50)
    ]
    assert max(windows) <= work_rate * 750 + 120.0


def test_an_expired_quota_closes_the_engine_and_a_lifted_one_has_no_further_effect() -> None:
    scheduler = started(settings(), "e1", "e2")
    scheduler.step(1.0, [quotas(expires_at=1000.0, e1=1.0)])
    assert any(e == "e1" for _, e in serve_steadily(scheduler, 10, 990))
    assert all(e == "e2" for _, e in serve_steadily(scheduler, 1000, 2000))
    scheduler.step(2000.0, [EngineQuotas({}, 0.0)])
    after = [e for _, e in serve_steadily(scheduler, 2010, 3000)]
    assert 0.3 < after.count("e1") / len(after) < 0.7


def test_quotas_that_close_every_engine_are_ignored() -> None:
    scheduler = started(settings(), "e1", "e2")
    scheduler.step(1.0, [quotas(e1=0.0, e2=0.0)])
    assert len(serve_steadily(scheduler, 10, 200)) == 38 and scheduler.engines["e1"].quota_rate == math.inf


def test_a_closed_engine_is_sent_no_health_checks() -> None:
    permits = dataclasses.replace(settings().features, has_health_checks=True)
    scheduler = started(settings(features=permits), "e1", "e2")
    ((name, engine),) = sends(scheduler.step(5.0, [arrival("q")]))
    scheduler.step(
        10.0, [ended(name, Outcome.CONNECT_FAILED, engine=engine), EngineQuotas({engine: 0.0}, 1e9)]
    )
    checked = []
    for t in range(100, 6000, 50):
        done = scheduler.step(float(t), [arrival(f"p{t}", deadline_at=t + 4000.0)])
        checked += [a.engine for a in done if isinstance(a, CheckHealth)]
        for query, there in sends(done):
            scheduler.step(
                t + 5.0, [ended(query, Outcome.OK, engine=there, is_final=True, load_report={"util": 0.1})]
            )
    assert engine not in checked


def test_an_engine_whose_quota_is_lifted_is_no_longer_cold() -> None:
    """A lifted quota ends the warm-up, regardless of the start time in the engine list."""
    scheduler = started(settings(), "e1", "e2")
    scheduler.step(1.0, [quotas(e1=0.0)])
    scheduler.step(100.0, [EngineList((Engine("e1", started_at=90.0),), is_complete=False), quotas(e1=3.0)])
    bounded = serve_steadily(scheduler, 110, 1000)
    assert 60.0 * sum(e == "e1" for _, e in bounded) > 0.5 * 3.0 * 890, "the quota is not used"
    scheduler.step(1000.0, [EngineQuotas({}, 0.0)])
    after = [e for _, e in serve_steadily(scheduler, 1010, 2000)]
    assert 0.3 < after.count("e1") / len(after) < 0.7


def test_an_engine_is_readmitted_when_the_fleet_reopens_it() -> None:
    scheduler = started(settings(), "e1", "e2")
    ((name, engine),) = sends(scheduler.step(5.0, [arrival("q")]))
    scheduler.step(
        10.0, [ended(name, Outcome.CONNECT_FAILED, engine=engine), EngineQuotas({engine: 0.0}, 1e9)]
    )
    assert scheduler.engines[engine].ejection_reason is EjectionReason.UNREACHABLE
    scheduler.step(3000.0, [EngineQuotas({engine: 0.5}, 1e9)])
    assert not scheduler.engines[engine].ejection_reason and any(
        e == engine for _, e in serve_steadily(scheduler, 3010, 4000)
    )


def test_quotas_of_other_engines_do_not_change_the_allowance_of_a_cold_engine() -> None:
    """Quotas are set many times a second and must not reset the allowance of an engine without one."""
    scheduler = started(settings(), "e1", "e2")
    scheduler.step(1.0, [EngineList((Engine("e2", started_at=0.5),), is_complete=False)])
    e2 = scheduler.engines["e2"]
    e2.allowance_ms = -300.0
    for t in range(100, 1000, 100):
        scheduler.step(float(t), [quotas(e1=0.0)])
    assert e2.allowance_ms == -300.0 and e2.cold_until > 5000.0


def test_closed_engines_retain_rank_and_capacity_but_are_not_candidates() -> None:
    """A closed engine retains its rank, so that peers still report to the gateways that share engines."""
    scheduler = Scheduler(
        settings(gateway_count=6, features=dataclasses.replace(settings().features, has_peer_messages=True)),
        1,
    )
    scheduler.step(0.0, [EngineList(tuple(Engine(f"e{i}") for i in range(9)), is_complete=True)])
    before = [(e.id, e.rank) for e in scheduler.live_engines], scheduler.fleet_thread_capacity
    scheduler.step(1.0, [quotas(e0=0.0, e1=0.0, e2=0.0)])
    assert ([(e.id, e.rank) for e in scheduler.live_engines], scheduler.fleet_thread_capacity) == before
    assert {e.id for e in scheduler.candidate_pool}.isdisjoint({"e0", "e1", "e2"}) and len(
        scheduler.candidate_pool
    ) == 6


def test_the_first_answer_sets_the_mean_work_of_a_class() -> None:
    """A mean that starts at 0 would permit twice the quota after the first answers."""
    scheduler = started(settings(), "e1")
    serve_steadily(scheduler, 10, 20, interval_ms=10, work_ms=30.0)
    (history,) = {id(c): c for c in scheduler.class_histories}.values()
    assert history.answers_seen == 1 and history.mean_work_ms == 30.0


@pytest.mark.parametrize("closed_until", [0.0, 1500.0], ids=["immediately", "after a closed period"])
def test_many_gateways_stay_within_their_quotas_of_a_cold_engine(closed_until: float) -> None:
    """Rotating turns, or an allowance earned while closed, would let all gateways begin at the same time."""
    count, work_rate, work_ms = 50, 0.4 * 8, 300.0
    shared_settings = dataclasses.replace(settings(), gateway_count=count)
    fleet = [
        started(dataclasses.replace(shared_settings, gateway_index=i), "e1", started_at=1.0)
        for i in range(count)
    ]
    sent = list[int]()
    for t in range(10, 6000, 50):
        for scheduler in fleet:
            events: list[Event] = (
                [quotas(e1=work_rate / count if t > closed_until else 1e-9)] if t % 100 == 10 else []
            )
            if t > closed_until:
                events.append(arrival(f"q{t}", deadline_at=9e9, estimated_work_ms=work_ms))
            for name, engine in sends(scheduler.step(float(t), events)):
                sent.append(t)
                scheduler.step(
                    float(t), [ended(name, Outcome.OK, engine=engine, is_final=True, actual_work_ms=work_ms)]
                )
    windows = [
        work_ms * sum(window_start <= t < window_start + 1500 for t in sent)
        for window_start in range(0, 4500, 50)
    ]
    assert max(windows) <= 1.2 * work_rate * 1500 + 2 * work_ms
    assert work_ms * len(sent) > 0.8 * work_rate * (6000 - closed_until)
