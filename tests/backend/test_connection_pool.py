"""Connections to engines as scenarios on a fake clock: answers, liveness checks, reuse."""

from __future__ import annotations

import dataclasses

import pytest

from cottonhold.backend.endpoint import IDLE_MARGIN_MS
from cottonhold.backend.liveness_monitor import MAX_ABANDONED_IDS
from cottonhold.scheduler.events import Outcome
from tests.support.scenario import World


@pytest.mark.parametrize(
    "answer",
    [
        "served - a|b|c/",
        "served count=0 a|b|c/",
        "served count=x a|b|c/",
        "served count=99999999999 a|b|c/",
        "served count=1 a|b/",
        "served count=1 a|b|c",
        "served count=1 a|b|c/" + "a|b|c/" * 1000,
        "served count=1 a|\udcff|c/",
        "dancing count=1 a|b|c/",
        "served count=2 a|b|c/\ne1 send r1 rows pos=2 a|b|c/",
        "served count=2 a|b|c/\ne1 send r1 rows - a|b|c/",
        "served count=2 a|b|c/\ne1 send r1 rows pos=1 a|b|c",
    ],
)
def test_a_malformed_answer_is_detected_before_the_first_row_and_retried(answer: str) -> None:
    world = World().run(f"c1 query lookup r1\ne1 expect GET *\ne1 send r1 {answer}\nc1 expect nothing")
    assert world.engine_streams[0].connection.is_closed
    world.run("e2 expect GET r1 *\ne2 send r1 served count=1 a|b|c/\nc1 expect rows a|b|c")


def test_a_health_check_on_a_silent_connection_is_repeated_on_a_new_one() -> None:
    world = World(engines="a")
    world.run("e1 will mute\nc1 query lookup r1\ne1 expect GET *")
    outcomes = list[Outcome]()
    world.gateway.on_health_check_completed = lambda engine, outcome, report: outcomes.append(outcome)  # type: ignore[method-assign]
    world.engines.check_health("a")
    world.wait(240)
    world.run("e1 will up\ntime wait 20")
    assert outcomes == [Outcome.OK] and len(world.engine_streams) == 2
    world.run("e1 will mute\ntime wait 500")
    assert world.engine_streams[0].connection.is_closed and not world.engine_streams[1].connection.is_closed


def test_the_number_of_abandoned_ids_is_bounded() -> None:
    world = World().run("c1 query lookup r1\ne1 expect GET *")
    connection = world.engine_streams[0].connection
    connection.abandoned_ids = dict.fromkeys(b"%016x" % n for n in range(1000))
    world.run("e1 send r7 served count=1 a|b|c/")
    assert b"%016x" % 7 in connection.abandoned_ids  # a duplicate of its answer may follow
    world.wait(300)
    assert list(connection.abandoned_ids) == [b"%016x" % n for n in range(1000 - MAX_ABANDONED_IDS, 1000)]


def test_removed_engines_are_forgotten_with_their_connections() -> None:
    world = World(engines="a b c").run("c1 query load r1 allow=20000\ne1 expect GET *")
    world.run("list tell e1 gone\ntime wait 500")
    assert len(world.engines.endpoints) == 3
    world.run("e1 send r1 served count=1 a|b|c/\nc1 expect rows *\ntime wait 300")
    assert (
        len(world.engines.endpoints) == 2
        and world.engine_streams[0].connection.is_closed
        and world.engines.open_connections == 0
    )


@pytest.mark.parametrize(("check_cost", "min_checks", "max_checks"), [(0.0, 8, 12), (0.06, 1, 1)])
def test_liveness_checks_stay_within_their_budget(
    check_cost: float, min_checks: int, max_checks: int
) -> None:
    """Without a budget, most connections of a busy fleet would be checked repeatedly."""
    world = World()
    world.engines.settings = dataclasses.replace(world.engines.settings, health_check_cost=check_cost)
    world.run("c1 query load r1 allow=20000\ne1 expect GET *\ntime wait 15000\nc1 expect nothing")
    assert min_checks <= world.counters.counts["probes_sent"] <= max_checks


def test_the_longest_silent_connection_is_checked_first() -> None:
    world = World(engines="a b")
    world.engines.settings = dataclasses.replace(world.engines.settings, health_check_cost=0.06)
    world.engines.liveness_budget.available = 0.0
    world.run("e1 will mute\nc1 query load r1 allow=20000\ne1 expect GET *\ntime wait 300")
    world.run("c2 query load r2 allow=20000\ne2 expect GET *\ntime wait 3000\nc1 expect nothing")
    world.engines.liveness_budget.available = 1.0
    world.run("time wait 1000\nc1 expect error 1105 *may have run*\nc2 expect nothing")


@pytest.mark.parametrize("idle_ms", [400.0, 1500.0, 2000.0, 15000.0])
def test_a_connection_is_reused_unless_its_engine_may_be_closing_it(idle_ms: float) -> None:
    """The engine's idle timeout may be shorter than the fixed margin of 2 s."""
    world = World(engines="a")
    world.engines.settings = dataclasses.replace(world.engines.settings, idle_timeout_ms=idle_ms)
    for ref in range(1, 4):
        world.run(f"c1 query lookup r{ref}\ne1 expect GET r{ref} *\ne1 send r{ref} served count=1 a|b|c/")
        world.run("c1 expect rows a|b|c")
        world.wait(idle_ms / 4)
    assert world.counters.counts["engine_connections"] == 1
    world.wait(idle_ms - IDLE_MARGIN_MS if idle_ms > 2 * IDLE_MARGIN_MS else idle_ms / 2)
    world.run("c2 query lookup r9\ne1.2 expect GET r9 *")
    assert world.counters.counts["engine_connections"] == 2
