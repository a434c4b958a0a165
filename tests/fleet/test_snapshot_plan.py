"""How often the estimator solves allocations, and how soon a plan reflects a change."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import replace

import pytest

from cottonhold.fleet.coordinator import FleetCoordinator
from cottonhold.fleet.failover_cost import projection
from cottonhold.fleet.failover_cost import snapshot_plan as plans
from cottonhold.fleet.failover_cost.estimator import CostEstimator
from cottonhold.fleet.failover_cost.estimator_settings import CostEstimatorSettings
from cottonhold.fleet.failover_cost.messages import SiteReport, encode_site_reports
from tests.fleet.test_cross_zone_limits import core, leave
from tests.fleet.test_failover_cost import ENGINES, ZONES, fleet, run_steps

S = CostEstimatorSettings()


def record_solutions(monkeypatch: pytest.MonkeyPatch) -> list[Mapping[str, float]]:
    """Record each allocation solved from now on, as the parts of zones that were left."""
    found = list[Mapping[str, float]]()
    settle = projection.solve_with_cold_work

    def counted(picture, left, settings, good=None):  # type: ignore[no-untyped-def]
        found.append({zone: part for zone, part in left.items() if part < 1.0})
        return settle(picture, left, settings, good)

    monkeypatch.setattr(plans, "solve_with_cold_work", counted)
    monkeypatch.setattr(projection, "solve_with_cold_work", counted)
    return found


def run(made: FleetCoordinator, begin: float, last: float, sites: list[SiteReport], **out: float) -> None:
    """Run steps of a coordinator for `last` ms, with reports once a second.

    `out` are the evacuated zones with the part of their attempts that succeed; in other zones 0.97 succeed.
    """
    assert made.failover_cost is not None
    for t in range(0, int(last), 100):
        now = begin + t
        made.assessment.served_shares = dict.fromkeys(ZONES, 0.97) | out
        if t % 1000 == 0:
            for s in sites:
                made.failover_cost.on_message(now, encode_site_reports([replace(s, version=int(now) + 1)]))
        for zone in out:
            leave(made, zone)
        made.set_members(now, [s.member for s in fleet()])
        made.step(now)


def test_without_an_outage_each_snapshot_is_solved_once(monkeypatch: pytest.MonkeyPatch) -> None:
    made, found = core("a"), record_solutions(monkeypatch)
    run(made, 2600.0, 30_000.0, fleet())
    assert 9 <= len(found) <= 11 and not any(found)  # one every 3 s, with all zones whole


@pytest.mark.parametrize("good, each", [(0.0, 1), (0.5, 2)], ids=["dead", "ill"])
def test_during_an_outage_each_snapshot_is_solved_again_for_a_retained_share(
    good: float, each: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    made = core("a")
    run(made, 2600.0, 1000.0, fleet())
    found = record_solutions(monkeypatch)
    run(made, 3600.0, 10_000.0, fleet(), a=good)
    assert 9 * each <= len(found) <= 11 * each


def test_pairs_and_costs_are_computed_when_they_are_asked_for_and_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    made, found = CostEstimator(99, 1, 0.0, "a", 1), record_solutions(monkeypatch)
    made.set_engines(ENGINES)
    run_steps(made, fleet(), 0.0, 2000.0)
    assert not found
    for _ in range(3):
        assert made.projection("a", "b") is not None and made.serving_zones("a", "a", "b")
        assert made.neighbours("a") and made.first_serving_zones("a")
    # The loss of both zones, the present state, the loss of one zone, and all engines cold.
    assert len(found) == 4 and {"a": 0.0, "b": 0.0} in found


def more(home_a: float) -> list[SiteReport]:
    """Return reports with this many times the demand of zone a's clients."""
    return [
        replace(s, rates={step: x * (home_a if s.member in (1, 4) else 1.0) for step, x in s.rates.items()})
        for s in fleet()
    ]


@pytest.mark.parametrize(
    "left, within",
    [({}, S.idle_snapshot_interval_ms), ({"b": 0.0}, S.snapshot_interval_ms)],
    ids=["calm", "out"],
)
def test_a_changed_demand_is_seen_within_a_snapshot_interval(left: dict[str, float], within: float) -> None:
    made = CostEstimator(99, 1, 0.0, "a", 1)
    made.set_engines(ENGINES)
    run_steps(made, fleet(), 0.0, 10_100.0, **left)
    assert made.plan is not None
    before = made.plan.snapshot.homes["a"].cores
    run_steps(made, more(2.0), 10_100.0, within + 100.0, **left)
    assert made.plan.snapshot.homes["a"].cores > 1.5 * before


def test_an_evacuated_zone_is_planned_for_in_the_same_step() -> None:
    made = CostEstimator(99, 1, 0.0, "a", 1)
    made.set_engines(ENGINES)
    run_steps(made, fleet(), 0.0, 5000.0)
    run_steps(made, [], 5000.0, 100.0)
    made.step(5100.0, {s.member for s in fleet()}, {"b": 0.0})
    assert made.plan is not None and (made.plan.made_at, made.plan.remaining) == (5100.0, {"b": 0.0})


def test_an_old_answer_does_not_delay_a_new_one() -> None:
    def neighbours(asked: bool) -> dict[str, float]:
        made = CostEstimator(99, 1, 0.0, "a", 1)
        made.set_engines(ENGINES)
        run_steps(made, fleet(), 0.0, 2000.0)
        if asked:
            made.neighbours("a")
        run_steps(made, more(1.2), 2000.0, 20_000.0)  # differs by 0.15: delayed 3 s by hysteresis
        return dict(made.neighbours("a"))

    assert neighbours(True) == neighbours(False)


def test_free_cores_are_those_of_the_current_allocation() -> None:
    made = core("a")
    assert made.failover_cost is not None and made.failover_cost.plan is not None
    before = made.failover_cost.plan.free_cores
    assert before.keys() == set(ZONES) and all(room > 0 for room in before.values())
    run(made, 2600.0, 4000.0, fleet(), a=0.0)
    after = made.failover_cost.plan.free_cores
    assert after["a"] < before["a"] and sum(after.values()) < sum(before.values())
