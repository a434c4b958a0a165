"""What the fleet's bounds do to the decisions of one gateway."""

from __future__ import annotations

import dataclasses
import math

import pytest

from cottonhold import Scheduler
from cottonhold.scheduler.actions import Cancel, CheckHealth
from cottonhold.scheduler.engine_state import EjectionReason
from cottonhold.scheduler.events import Engine, EngineList, EngineQuotas, Event, Outcome
from cottonhold.scheduler.settings import Idempotency
from tests.scheduler.test_scheduler import LOOKUP, answers, arrival, ended, engines, sends, settings, started


def bound(until: float = 1e9, **work: float) -> EngineQuotas:
    return EngineQuotas(work, until)


def drive(s: Scheduler, start: int, end: int, every: int = 5, cost: float = 60.0) -> list[tuple[int, str]]:
    """Queries at a steady pace, each served after its work; where and when they were sent."""
    sent, out = [], list[tuple[float, str, str]]()
    for t in range(start, end, every):
        over = [o for o in out if o[0] <= t]
        out = [o for o in out if o[0] > t]
        done = [
            ended(n, Outcome.OK, engine=e, is_final=True, actual_work_ms=cost, elapsed_ms=cost)
            for _, n, e in over
        ]
        for name, engine in sends(
            s.step(float(t), [*done, arrival(f"q{t}", deadline_at=t + 5000.0, estimated_work_ms=cost)])
        ):
            sent.append((t, engine))
            out.append((t + cost, name, engine))
    s.step(
        float(end), [ended(n, Outcome.OK, engine=e, is_final=True, actual_work_ms=cost) for _, n, e in out]
    )
    return sent


def test_nothing_goes_to_an_engine_that_the_fleet_has_left_and_what_is_held_there_moves() -> None:
    s = started(settings(), "e1", "e2")
    first = sends(
        s.step(5.0, [arrival(f"q{i}", estimated_work_ms=3000.0, deadline_at=9000.0) for i in range(60)])
    )
    held = {q.id for q in s.engines["e1"].plan}
    assert held and {e for _, e in first} == {"e1", "e2"}
    s.step(10.0, [bound(e1=0.0)])
    assert not s.engines["e1"].plan and not s.unplaced
    assert {e for _, e in drive(s, 20, 500)} <= {"e2"}


def test_running_safe_queries_are_taken_from_a_left_engine_and_loads_are_not() -> None:
    load = dataclasses.replace(LOOKUP, name="load", idempotency=Idempotency.NOT_IDEMPOTENT)
    s = started(settings(classes=(LOOKUP, load)), "e1")
    s.step(
        5.0,
        [arrival("read", estimated_work_ms=300.0), arrival("load", estimated_work_ms=300.0, query_class=1)],
    )
    s.step(10.0, [engines("e1", "e2"), bound(e1=0.0)])
    done = [a for t in range(20, 800, 20) for a in s.step(float(t), [])]
    assert [a.query_id for a in done if isinstance(a, Cancel)] == ["read"]
    assert not answers(done) and not sends(done)


@pytest.mark.parametrize("work", [0.1, 1.0, 4.0])
def test_a_bounded_engine_gets_its_part_and_no_burst(work: float) -> None:
    s = started(settings(), "e1", "e2")
    s.step(1.0, [bound(e1=0.0)])
    s.step(2.0, [bound(e1=work)])
    sent = [t for t, e in drive(s, 10, 8000) if e == "e1"]
    assert 0.6 * work * 8000 <= 60.0 * len(sent) <= work * 8000 + 120.0
    windows = [60.0 * sum(a <= t < a + 500 for t in sent) for a in range(0, 7500, 50)]
    assert max(windows) <= work * 750 + 120.0


def test_a_bound_that_ran_out_lets_nothing_through_and_one_that_is_lifted_leaves_no_trace() -> None:
    s = started(settings(), "e1", "e2")
    s.step(1.0, [bound(until=1000.0, e1=1.0)])
    assert any(e == "e1" for _, e in drive(s, 10, 990))
    assert all(e == "e2" for _, e in drive(s, 1000, 2000))
    s.step(2000.0, [EngineQuotas({}, 0.0)])
    late = [e for _, e in drive(s, 2010, 3000)]
    assert 0.3 < late.count("e1") / len(late) < 0.7


def test_a_word_that_leaves_nobody_is_skipped() -> None:
    s = started(settings(), "e1", "e2")
    s.step(1.0, [bound(e1=0.0, e2=0.0)])
    assert len(drive(s, 10, 200)) == 38 and s.engines["e1"].quota_rate == math.inf


def test_a_left_engine_is_not_probed_by_this_gateway() -> None:
    permits = dataclasses.replace(settings().features, has_health_checks=True)
    s = started(settings(features=permits), "e1", "e2")
    ((name, engine),) = sends(s.step(5.0, [arrival("q")]))
    s.step(10.0, [ended(name, Outcome.CONNECT_FAILED, engine=engine), EngineQuotas({engine: 0.0}, 1e9)])
    probed = []
    for t in range(100, 6000, 50):
        done = s.step(float(t), [arrival(f"p{t}", deadline_at=t + 4000.0)])
        probed += [a.engine for a in done if isinstance(a, CheckHealth)]
        for query, there in sends(done):
            s.step(
                t + 5.0, [ended(query, Outcome.OK, engine=there, is_final=True, load_report={"util": 0.1})]
            )
    assert engine not in probed


def test_an_engine_that_came_back_by_its_pace_is_not_held_to_the_cold_budget_by_the_clock() -> None:
    """Found on processes: warm after 3 s, back in full by the fleet's pace, and at 0.2 of its load for 13
    s.
    """
    s = started(settings(), "e1", "e2")
    s.step(1.0, [bound(e1=0.0)])
    s.step(100.0, [EngineList((Engine("e1", started_at=90.0),), is_complete=False), bound(e1=3.0)])
    bounded = drive(s, 110, 1000)
    assert 60.0 * sum(e == "e1" for _, e in bounded) > 0.5 * 3.0 * 890, "its bound counts"
    s.step(1000.0, [EngineQuotas({}, 0.0)])
    late = [e for _, e in drive(s, 1010, 2000)]
    assert 0.3 < late.count("e1") / len(late) < 0.7


def test_a_doubt_ends_when_the_fleet_returns_to_an_engine() -> None:
    s = started(settings(), "e1", "e2")
    ((name, engine),) = sends(s.step(5.0, [arrival("q")]))
    s.step(10.0, [ended(name, Outcome.CONNECT_FAILED, engine=engine), EngineQuotas({engine: 0.0}, 1e9)])
    assert s.engines[engine].ejection_reason is EjectionReason.UNREACHABLE
    s.step(3000.0, [EngineQuotas({engine: 0.5}, 1e9)])
    assert not s.engines[engine].ejection_reason and any(e == engine for _, e in drive(s, 3010, 4000))


def test_bounds_of_others_leave_a_cold_engine_its_budget() -> None:
    """Told ten times a second, they set back each time what an engine without a bound had saved or
    overdrawn.
    """
    s = started(settings(), "e1", "e2")
    s.step(1.0, [EngineList((Engine("e2", started_at=0.5),), is_complete=False)])
    e2 = s.engines["e2"]
    e2.allowance_ms = -300.0
    for t in range(100, 1000, 100):
        s.step(float(t), [bound(e1=0.0)])
    assert e2.allowance_ms == -300.0 and e2.cold_until > 5000.0


def test_left_engines_stay_in_the_list_and_the_room_and_out_of_the_draw() -> None:
    """Found on processes (zone-killed): with zone a out of the list every peer was told of all, and what each
    takes the others to have sent since came on top: engines idled at 0.9 of the load, 0.95 was served."""
    s = Scheduler(
        settings(gateway_count=6, features=dataclasses.replace(settings().features, has_peer_messages=True)),
        1,
    )
    s.step(0.0, [EngineList(tuple(Engine(f"e{i}") for i in range(9)), is_complete=True)])
    before = [(e.id, e.rank) for e in s.live_engines], s.fleet_thread_capacity
    s.step(1.0, [bound(e0=0.0, e1=0.0, e2=0.0)])
    assert ([(e.id, e.rank) for e in s.live_engines], s.fleet_thread_capacity) == before
    assert {e.id for e in s.candidate_pool}.isdisjoint({"e0", "e1", "e2"}) and len(s.candidate_pool) == 6


def test_the_first_answer_sets_what_a_class_is_taken_to_cost() -> None:
    """Found with fifty gateways at one bounded engine: after first answers twice their bounds were sent."""
    s = started(settings(), "e1")
    drive(s, 10, 20, every=10, cost=30.0)
    (learned,) = {id(c): c for c in s.class_histories}.values()
    assert learned.answers_seen == 1 and learned.mean_work_ms == 30.0


@pytest.mark.parametrize("told", [0.0, 1500.0], ids=["at once", "with none for a while"])
def test_many_gateways_keep_to_their_parts_of_a_cold_engine(told: float) -> None:
    """Found in virtual time with fifty instances after a power loss: dealt anew every two seconds, turns let
    all that had saved up begin at once; and what was saved while nothing was allowed counted as well."""
    count, pace, cost = 50, 0.4 * 8, 300.0
    setup = dataclasses.replace(settings(), gateway_count=count)
    fleet = [started(dataclasses.replace(setup, gateway_index=i), "e1", started_at=1.0) for i in range(count)]
    sent = list[int]()
    for t in range(10, 6000, 50):
        for s in fleet:
            events: list[Event] = [bound(e1=pace / count if t > told else 1e-9)] if t % 100 == 10 else []
            if t > told:
                events.append(arrival(f"q{t}", deadline_at=9e9, estimated_work_ms=cost))
            for name, engine in sends(s.step(float(t), events)):
                sent.append(t)
                s.step(float(t), [ended(name, Outcome.OK, engine=engine, is_final=True, actual_work_ms=cost)])
    windows = [cost * sum(a <= t < a + 1500 for t in sent) for a in range(0, 4500, 50)]
    assert max(windows) <= 1.2 * pace * 1500 + 2 * cost
    assert cost * len(sent) > 0.8 * pace * (6000 - told)
