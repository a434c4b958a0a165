"""Limits of cross-zone work during an outage: large enough for the plan, and never above a zone's
capacity."""

from __future__ import annotations

import math
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cottonhold.fleet.coordinator import FleetCoordinator
from cottonhold.fleet.engine_bounds import EngineBounds
from cottonhold.fleet.failover_cost.cross_zone_limits import (
    CrossZoneSettings,
    OutageAllocation,
    UnstableEngines,
    cross_zone_work,
    divide_among_engines,
)
from cottonhold.fleet.failover_cost.estimator import CostEstimator
from cottonhold.fleet.failover_cost.estimator_settings import CostEstimatorSettings
from cottonhold.fleet.failover_cost.messages import encode_site_reports
from cottonhold.fleet.failover_cost.snapshot_plan import Question, SnapshotPlan
from cottonhold.fleet.recovery.shared_slow_start import OutageScope, SharedSlowStart
from cottonhold.fleet.recovery.slow_start_settings import SlowStartSettings
from cottonhold.fleet.settings import FleetSettings
from cottonhold.fleet.zone_failover.quota_lending import QuotaAccount
from cottonhold.fleet.zone_failover.zone_state import ZonePhase
from cottonhold.fleet_adapters.recovery_folder import SITE_KEY, restore_site_report, save_site_report
from cottonhold.store.ledger import Ledger
from cottonhold.store.records import Record, RecordKind
from tests.fleet.test_failover_cost import ENGINES, ZONES, fleet, run_steps, site

S = CrossZoneSettings()


def make_allocation(
    load: float = 0.7, lost_zone: str = "a", cross_zone_cores: float = 2.4, **flows: float
) -> OutageAllocation:
    """Return an allocation for three zones of four cores; the flow `ab` is the work of a's clients in b."""
    demand = dict.fromkeys(ZONES, 4 * load)
    given_flows = {(pair[0], pair[1]): x for pair, x in flows.items()}
    open_zones = [z for z in ZONES if z != lost_zone]
    used = {z: math.fsum(x for (_, at), x in given_flows.items() if at == z) for z in open_zones}
    return OutageAllocation(
        demand,
        given_flows,
        dict.fromkeys(open_zones, cross_zone_cores),
        {z: max(3.9 - used[z], 0) for z in open_zones},
    )


SPLIT = make_allocation(ab=1.6, ac=1.0, bb=2.2, bc=0.4, cc=2.4)


@pytest.mark.parametrize("instances", [1, 2, 5])
def test_instances_of_one_home_share_what_the_plan_gives_it(instances: int) -> None:
    shares = {"b": 1.6 / 2.6, "c": 1.0 / 2.6}
    work = [cross_zone_work("a", shares, 2.8 / instances, SPLIT, True) for _ in range(instances)]
    for zone, flow in (("b", 1.6), ("c", 1.0)):
        total = math.fsum(x[zone] for x in work)
        assert (
            flow * 0.99
            <= total
            <= min(flow * (1 + S.slack) + S.spill_share * SPLIT.free_cores[zone], 2.4) + 1e-9
        )


@settings(max_examples=80, deadline=None)
@given(
    st.lists(st.floats(0.05, 1.0), min_size=3, max_size=3),
    st.floats(0.0, 1.0),
    st.floats(0.5, 2.0),
    st.integers(1, 4),
)
def test_limits_never_hold_back_what_the_plan_serves(
    weights: list[float], share_of_b: float, demand_factor: float, instances: int
) -> None:
    # Zone a is out: the limits of its instances must allow all work that the plan serves, even if the demand
    # differs by 20%, and all instances of all homes together must not exceed a zone's cross-zone capacity.
    work = 4 * weights[0]
    ab = min(work * share_of_b, 2.4)
    ac = min(work - ab, 2.4)
    allocation = make_allocation(ab=ab, ac=ac, bb=1.2, cc=1.2)
    demand = {zone: 4 * part for zone, part in zip(ZONES, weights, strict=True)}
    allocation = OutageAllocation(
        demand, allocation.flows, allocation.cross_zone_capacity, allocation.free_cores
    )
    instance_demand = work * min(demand_factor, 1.2) / instances
    limits = cross_zone_work(
        "a", {"b": ab / (ab + ac), "c": ac / (ab + ac)}, instance_demand, allocation, True
    )
    served = (ab + ac) / work * instance_demand
    assert math.fsum(limits.values()) >= min(served, (ab + ac) / instances) - 1e-6
    for zone in ("b", "c"):
        other = "c" if zone == "b" else "b"
        others = cross_zone_work(other, {zone: 0.3}, demand[other], allocation, False).get(zone, 0.0)
        assert limits[zone] * instances + others <= 2.4 * max(demand_factor, 1.0) + 1e-4


def test_work_beyond_one_zones_limit_goes_to_another_zone(monkeypatch: pytest.MonkeyPatch) -> None:
    # The stable shares send all work to b, whose cross-zone capacity suffices for half of it.
    tight = OutageAllocation(
        SPLIT.demand, {("a", "b"): 1.2, ("b", "b"): 2.8}, {"b": 1.2, "c": 2.4}, {"c": 3.9}
    )
    limits = cross_zone_work("a", {"b": 1.0}, 1.4, tight, True, CrossZoneSettings(spill_share=0.0))
    assert limits["b"] <= 1.2 and limits["b"] + limits["c"] >= 1.4 * tight.served_share("a")
    assert cross_zone_work("a", {"b": 1.0}, 1.4, tight, False, CrossZoneSettings(spill_share=0.0))["c"] < 0.01


def test_an_engine_that_may_be_cold_gets_a_small_part_and_none_gets_nothing() -> None:
    unstable = UnstableEngines(S)
    for _ in range(S.failures_until_unstable):
        unstable.on_result(1000.0, "b0", False)
        unstable.on_result(1000.0, "b1", False)
        unstable.on_result(1000.0, "b1", True)
    cold = [engine for engine in ENGINES["b"] if unstable.may_be_cold(5000.0, engine)]
    assert cold == ["b0"] and not unstable.may_be_cold(1000.0 + S.warm_up_ms, "b0")
    limits = divide_among_engines(1.5, ENGINES["b"], cold, 0.5, S)
    assert limits["b0"] == pytest.approx(S.cold_share / 2) and sum(limits.values()) == pytest.approx(1.5)
    assert min(divide_among_engines(0.0, ENGINES["b"], cold, 0.5, S).values()) > 0
    # If most engines appear cold at the same time, a fault of the observer is more likely.
    assert sum(divide_among_engines(1.5, ENGINES["b"], ENGINES["b"], 0.5, S).values()) == pytest.approx(1.5)


def make_coordinator(home: str, has_plan: bool = True, **fields: object) -> FleetCoordinator:
    """Return the coordinator of one instance of `home` among seven, with a plan based on the others'
    reports."""
    estimator_settings = CostEstimatorSettings(**fields)  # type: ignore[arg-type]
    coordinator = FleetCoordinator(
        99,
        1,
        0.0,
        FleetSettings(dispatchers=7, sheds_load=True, failover_cost=estimator_settings, home_zone=home),
        1,
    )
    coordinator.set_engines(ENGINES)
    assert coordinator.failover_cost is not None
    run_steps(coordinator.failover_cost, fleet() if has_plan else [], 0.0, 2500.0)
    coordinator.set_members(2500.0, [s.member for s in fleet()])
    for i in range(100):  # 0.7 cores
        coordinator.failover_cost.on_request(500.0 + i * 20.0, 6.0, 14.0)
    return coordinator


def work_limits(coordinator: FleetCoordinator, now: float) -> dict[str, float]:
    """Return the work limit of each engine that a step sets."""
    [bounds] = [a for a in coordinator.step(now) if isinstance(a, EngineBounds)] or [EngineBounds({}, 0.0)]
    return bounds.work_rates


def evacuate(coordinator: FleetCoordinator, zone: str) -> None:
    """Mark a zone as evacuated."""
    coordinator.evacuation.states[zone].phase = ZonePhase.EVACUATED


@pytest.mark.parametrize("home, limited_zones", [("a", {"b", "c"}), ("b", {"c"}), ("c", {"b"})])
def test_during_an_outage_only_cross_zone_work_is_limited(home: str, limited_zones: set[str]) -> None:
    coordinator = make_coordinator(home)
    assert not work_limits(coordinator, 2600.0)  # no outage, no limits
    evacuate(coordinator, "a")
    work = work_limits(coordinator, 2700.0)
    assert all(work[engine] == 0 for engine in ENGINES["a"])
    assert {engine[0] for engine in work} - {"a"} == limited_zones
    by_zone = {zone: math.fsum(work[engine] for engine in ENGINES[zone]) for zone in limited_zones}
    demand = (
        math.fsum(coordinator.failover_cost.observations.demand.rates(2700.0).values())
        if coordinator.failover_cost
        else 0.0
    )
    if home == "a":
        assert math.fsum(by_zone.values()) >= 0.95 * demand and by_zone["b"] > by_zone["c"]
    else:
        assert by_zone[min(limited_zones)] < demand


@pytest.mark.parametrize(
    "fields", [{"has_plan": False}, {"cross_zone": None}], ids=["without a plan", "switched off"]
)
def test_without_a_plan_nothing_is_limited_across_zones(fields: dict[str, object]) -> None:
    coordinator = make_coordinator("a", **fields)  # type: ignore[arg-type]
    evacuate(coordinator, "a")
    assert {engine[0] for engine in work_limits(coordinator, 2700.0)} == {"a"}


def test_an_engine_that_starts_is_no_outage() -> None:
    coordinator = make_coordinator("a")
    coordinator.slow_start = SharedSlowStart(99, 1, 2500.0, SlowStartSettings(), 1)
    coordinator.warmup_quotas = QuotaAccount(0.0, 1 / 7, 1)
    coordinator.slow_start.set_engines(2500.0, {engine: 1.0 for engine in coordinator.zone_of})
    coordinator.slow_start.warming = {"b0": coordinator.slow_start.warming["b0"]}
    assert set(work_limits(coordinator, 2600.0)) == {"b0"}
    evacuate(coordinator, "c")
    assert {"b0", "c0"} <= set(work_limits(coordinator, 2700.0))


def test_neighbours_change_only_where_others_are_clearly_wanted(monkeypatch: pytest.MonkeyPatch) -> None:
    estimator = CostEstimator(99, 1, 0.0, "a", 1)
    estimator.set_engines(ENGINES)

    def shares(now: float, low_value: float) -> dict[str, float]:
        reports = fleet()
        reports[1] = site(2, "b", low_value=low_value)
        run_steps(estimator, reports, now, 2000.0, a=0.0)
        for _ in range(20):
            estimator.on_request(now + 1900.0, 6.0, 20.0)
        estimator.engine_limits(now + 2000.0, {"a": 0.0})
        return dict(estimator.stable_shares[Question.NOW, "a"].shares)

    first = shares(0.0, 0.8)
    assert shares(2000.0, 0.85) == first != shares(4000.0, 2.4)
    estimator.engine_limits(6100.0, {})
    assert (Question.NOW, "a") not in estimator.stable_shares


def test_the_same_question_is_solved_once(monkeypatch: pytest.MonkeyPatch) -> None:
    estimator, solved = CostEstimator(99, 1, 0.0, "a", 1), list[str]()
    estimator.set_engines(ENGINES)
    run_steps(estimator, fleet(), 0.0, 2000.0)
    original = CostEstimator._solve_retained

    def counted(
        self: CostEstimator, plan: SnapshotPlan, zone: str, available_share: float, success_share: float
    ) -> float:
        solved.append(zone)
        return original(self, plan, zone, available_share, success_share)

    monkeypatch.setattr(CostEstimator, "_solve_retained", counted)
    for i in range(20):
        estimator.retained_share(2000.0 + i * 100.0, "a", 1.0, 0.95 + i * 0.002)
    assert solved == ["a"]


def coordinator_after_power_loss(work: float, **fields: Any) -> tuple[FleetCoordinator, dict[str, float]]:
    """Return a coordinator of zone a after a power loss of the fleet, and its work limits by engine.

    All engines are proven, its clients offer `work` cores, and its restored report names zone a as its home.
    """
    now, estimator_settings = 10_000.0, CostEstimatorSettings(**fields)
    s = FleetSettings(
        dispatchers=6, slow_start=SlowStartSettings(), failover_cost=estimator_settings, home_zone="a"
    )
    coordinator = FleetCoordinator(99, 2, now, s, 1)
    assert coordinator.failover_cost is not None and coordinator.slow_start is not None
    coordinator.failover_cost.restore(encode_site_reports([site(99, "a")]))
    coordinator.set_engines(ENGINES, now)
    coordinator.on_loss(now, OutageScope.FLEET)
    coordinator.slow_start.on_list_received(now)
    for engine in coordinator.zone_of:
        coordinator.on_health_check(now, engine, True)
    for t in range(0, 1500, 100):
        coordinator.failover_cost.on_request(now + t, 6.0, 100.0 * work)
        bounds = [a for a in coordinator.step(now + t + 50) if isinstance(a, EngineBounds)]
    return coordinator, bounds[-1].work_rates


def zone_sums(work: dict[str, float]) -> dict[str, float]:
    """Return the work by zone."""
    return {zone: math.fsum(work[engine] for engine in ENGINES[zone]) for zone in ZONES}


def test_after_a_power_loss_clients_are_served_first_as_the_restored_report_says() -> None:
    coordinator, work = coordinator_after_power_loss(0.08)
    _, without = coordinator_after_power_loss(0.08, cross_zone=None)
    with_limits, without_limits = zone_sums(work), zone_sums(without)
    assert (
        coordinator.failover_cost is not None
        and coordinator.failover_cost.first_serving_zones("a")[0][0] == "a"
    )
    assert (
        without_limits["a"] == pytest.approx(without_limits["c"])
        and 0.08 <= with_limits["a"] <= without_limits["a"]
    )
    assert with_limits["c"] == pytest.approx(S.min_share * without_limits["c"])
    # If the demand exceeds the capacity of all cold engines, none of that capacity is withheld.
    assert zone_sums(coordinator_after_power_loss(2.0)[1]) == pytest.approx(without_limits)


def test_the_own_report_is_saved_at_intervals_and_never_an_empty_one() -> None:
    estimator = CostEstimator(99, 1, 0.0, "a", 1)
    estimator.set_engines(ENGINES)
    estimator.step(0.0, {1, 2})
    assert not estimator.report_to_save(0.0)
    saved = []
    for t in range(0, 20_000, 100):
        estimator.on_request(t, 6.0, 20.0)
        estimator.on_answer(t, "a", "x")
        estimator.step(float(t), {1, 2})
        saved.append(estimator.report_to_save(float(t)))
    assert 3 <= sum(map(bool, saved)) <= 5


@pytest.mark.parametrize(
    "value, is_readable", [(None, True), (b"\x01garbled", False)], ids=["kept", "garbled"]
)
def test_a_saved_report_is_restored_by_the_next_incarnation(
    value: bytes | None, is_readable: bool, tmp_path: Path
) -> None:
    estimator = CostEstimator(99, 1, 0.0, "a", 1)
    estimator.set_engines(ENGINES)
    for t in range(0, 3000, 100):
        estimator.on_request(t, 6.0, 20.0)
        estimator.step(float(t), {1, 2})
    ledger = Ledger.open(tmp_path, "n0")
    save_site_report(ledger, estimator, 3000.0)
    if value is not None:
        ledger.put([Record(RecordKind.WARM_DATA, SITE_KEY, value)])
    ledger.close(clean=False)
    ledger, next_estimator = Ledger.open(tmp_path, "n0"), CostEstimator(99, 2, 0.0, "a", 1)
    try:
        assert restore_site_report(ledger, next_estimator) == is_readable
        assert [bool(site.rates) for site in next_estimator.restored_reports.values()] == [True] * is_readable
        # Data sets are no longer warm after a power loss.
        assert not any(
            observation.warm_filter
            for site in next_estimator.restored_reports.values()
            for observation in site.zones.values()
        )
    finally:
        ledger.close(clean=True)


@pytest.mark.parametrize("remaining, max_plans", [({}, 5), ({"a": 0.0}, 11)], ids=["calm", "out"])
def test_without_an_outage_it_is_solved_less_often(remaining: dict[str, float], max_plans: int) -> None:
    estimator, plan_times = CostEstimator(99, 1, 0.0, "a", 1), set[float]()
    estimator.set_engines(ENGINES)
    for t in range(0, 10_000, 1000):
        run_steps(estimator, fleet(), float(t), 1000.0, **remaining)
        plan_times.add(estimator.plan.made_at if estimator.plan is not None else 0.0)
    assert max_plans - 3 <= len(plan_times) <= max_plans
