"""Tests of the scheduler's rules by scripted events, each with a case that would violate the rule."""

from __future__ import annotations

import dataclasses
from typing import Any

import pytest

from cottonhold import Scheduler
from cottonhold.scheduler.actions import (
    Action,
    Fail,
    Reject,
    SendToPeer,
    Subscribe,
)
from cottonhold.scheduler.events import (
    ClientDisconnected,
    Engine,
    EngineList,
    EngineListFailed,
    EngineState,
    Outcome,
    PeerMessage,
    SettingsChanged,
)
from cottonhold.scheduler.settings import (
    DeduplicationScope,
    Idempotency,
    Tenant,
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


def test_accepted_queries_are_not_recorded_without_a_retry_budget() -> None:
    scheduler = started(settings(), "e1")
    for i in range(10):
        scheduler.step(10.0 * i, [arrival(f"q{i}", deadline_at=5000.0 + 10 * i)])
    assert not scheduler.queries_accepted.entries


def test_a_reload_that_changes_no_tenant_keeps_what_is_known_of_its_traffic() -> None:
    """Guards against reloads after which a tenant's excess traffic counts as within its quota."""
    tenants = (Tenant("t1", 5.0), Tenant("t2", 5.0))
    scheduler = Scheduler(dataclasses.replace(settings(), tenants=tenants), 1)
    known = scheduler.tenant_traffic[0]
    known.add(10.0)
    reloaded = dataclasses.replace(settings(), tenants=(tenants[0], Tenant("t2", 9.0)), tick_ms=7.0)
    scheduler.step(20.0, [SettingsChanged(reloaded)])
    assert scheduler.tenant_traffic[0] is known and scheduler.tenant_traffic[1].count == 0.0
