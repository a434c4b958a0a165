"""Failover cost: messages, snapshots that are equal at all instances, decisions, and their accuracy."""

from __future__ import annotations

import math
import random
from collections.abc import Callable
from dataclasses import replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cottonhold.emulator.outage_setup import OutageSetup
from cottonhold.emulator.outages import OutageWorld
from cottonhold.fleet.admission.demand import DENSITY_STEPS, density_step
from cottonhold.fleet.failover_cost import fleet_snapshot
from cottonhold.fleet.failover_cost.allocation import utility_of_step
from cottonhold.fleet.failover_cost.cost_settings import CostSettings
from cottonhold.fleet.failover_cost.estimator import CostEstimator
from cottonhold.fleet.failover_cost.estimator_settings import CostEstimatorSettings
from cottonhold.fleet.failover_cost.fleet_snapshot import SnapshotSettings, take_snapshot
from cottonhold.fleet.failover_cost.hysteresis import HysteresisSettings, StableShares
from cottonhold.fleet.failover_cost.messages import (
    FILTER_BITS,
    SiteReport,
    ZoneObservation,
    data_set_number,
    decode_site_reports,
    encode_site_reports,
    filter_bits,
)
from cottonhold.fleet.failover_cost.projection import Projection, project
from cottonhold.fleet.latest_reports import LatestReports
from cottonhold.fleet.message_format import MAX_MESSAGE_BYTES, MessageError
from cottonhold.fleet.zone_failover.messages import zone_number

ZONES = ("a", "b", "c")
ENGINES = {zone: {f"{zone}{i}": 1.0 for i in range(4)} for zone in ZONES}
DISTANCES_MS = {("a", "b"): 15.0, ("b", "c"): 25.0, ("a", "c"): 60.0}
ROUND_TRIPS_MS = {(x, y): 1.0 if x == y else DISTANCES_MS[min(x, y), max(x, y)] for x in ZONES for y in ZONES}
HIGH_VALUE, LOW_VALUE = density_step(6.0, 20.0), density_step(1.0, 20.0)
SETS = {zone: {data_set_number(f"{zone}/{i}"): 0.25 for i in range(4)} for zone in ZONES}


def site(
    member: int, home: str, high_value: float = 0.6, low_value: float = 0.8, **fields: object
) -> SiteReport:
    """Return one instance's report: its work of high and low value in cores; its home has its own data sets
    warm."""
    warm = 0
    for number in SETS[home]:
        warm |= filter_bits(number)
    zones = {
        zone_number(z): ZoneObservation(ROUND_TRIPS_MS[home, z], float(z == home), warm if z == home else 0)
        for z in ZONES
    }
    made = SiteReport(
        member,
        1,
        1,
        zone_number(home),
        20.0,
        {HIGH_VALUE: high_value, LOW_VALUE: low_value},
        dict(SETS[home]),
        zones,
    )
    return replace(made, **fields)  # type: ignore[arg-type]


def fleet(**fields: object) -> list[SiteReport]:
    """Return the reports of two instances per zone, with 8.4 cores of work on twelve."""
    return [site(i + 1, zone, **fields) for i, zone in enumerate((*ZONES, *ZONES))]  # type: ignore[arg-type]


def projected(sites: list[SiteReport], **remaining: float) -> Projection:
    """Return the projection of a fleet if these parts of zones are left."""
    snapshot = take_snapshot(sites, ENGINES, len(sites))
    assert snapshot is not None
    return project(snapshot, remaining)


SITES = st.builds(
    SiteReport,
    st.integers(1, 2**64 - 1),
    st.integers(0, 2**32 - 1),
    st.integers(0, 2**32 - 1),
    st.integers(0, 2**16 - 1),
    st.floats(0.0, 20_000.0),
    st.dictionaries(st.integers(0, DENSITY_STEPS - 1), st.floats(0.01, 50.0), max_size=20),
    st.lists(st.integers(0, 2**16 - 1), max_size=20, unique=True).map(
        lambda ns: {n: 1 / len(ns) for n in ns}
    ),
    st.dictionaries(
        st.integers(0, 2**16 - 1),
        st.builds(ZoneObservation, st.floats(0, 5000), st.floats(0, 1), st.integers(0, 2**FILTER_BITS - 1)),
        max_size=12,
    ),
    st.one_of(st.just(-1.0), st.floats(0.0, 400.0)),
)


@settings(deadline=None)
@given(SITES)
def test_a_site_report_fits_a_datagram_and_is_decoded_as_encoded(report: SiteReport) -> None:
    data = encode_site_reports([report])
    [decoded] = decode_site_reports(data)
    assert (
        len(data) <= MAX_MESSAGE_BYTES
        and decoded.stamp == report.stamp
        and decoded.home_zone == report.home_zone
    )
    assert math.isclose(sum(decoded.rates.values()), sum(report.rates.values()), rel_tol=0.06, abs_tol=0.01)
    for number, observation in decoded.zones.items():
        assert observation.warm_filter == report.zones[number].warm_filter
        assert math.isclose(
            observation.round_trip_ms, report.zones[number].round_trip_ms, rel_tol=0.03, abs_tol=0.11
        )
    assert decode_site_reports(encode_site_reports([decoded])) == [decoded]  # a relayed report is unchanged


@pytest.mark.parametrize("length", [0, 1, 2, 10, 30, -1], ids=str)
def test_a_malformed_site_message_is_rejected(length: int) -> None:
    data = encode_site_reports([site(1, "a")])
    for bad in (data[:length], data + b"\0", b"\x05" + data[1:], data[:2] + bytes(8) + data[10:]):
        with pytest.raises(MessageError):
            decode_site_reports(bad)


@settings(deadline=None)
@given(st.randoms(use_true_random=False))
def test_site_reports_merge_in_any_order_any_number_of_times(shuffler: random.Random) -> None:
    reports = [
        site(m, "a", high_value=v / 10, incarnation=incarnation, version=v)
        for m in (1, 2)
        for incarnation in (1, 2)
        for v in (1, 2)
    ]
    shuffler.shuffle(reports)
    latest = LatestReports[SiteReport](9)
    for report in [*reports, *reports]:
        latest.apply(0.0, report)
    assert {m: h.report.stamp for m, h in latest.received.items()} == {1: (2, 2), 2: (2, 2)}


def orders_matter(shuffles: int = 60) -> bool:
    """Return whether two instances with the same reports in a different order have different projections."""
    r = random.Random(3)
    sites = [site(i + 1, ZONES[i % 3], high_value=r.random(), low_value=r.random()) for i in range(11)]
    first = projected(sites, a=0.0)
    for _ in range(shuffles):
        r.shuffle(sites)
        if projected(sites, a=0.0) != first:
            return True
    return False


def test_the_same_reports_give_the_same_projection_to_the_bit(monkeypatch: pytest.MonkeyPatch) -> None:
    assert not orders_matter()
    # The planted defect: sums in the order in which reports arrived.
    monkeypatch.setattr(fleet_snapshot, "sorted", lambda items, key=None: list(items), raising=False)
    monkeypatch.setattr(math, "fsum", sum)
    assert orders_matter()


def test_a_pair_is_no_sum_of_two_zones() -> None:
    sites = fleet()
    one, other, both = projected(sites, a=0.0), projected(sites, b=0.0), projected(sites, a=0.0, b=0.0)
    assert both.lost_utility > 2 * (
        one.lost_utility + other.lost_utility
    ) and both.served_utility <= 4 * 0.97 * utility_of_step(HIGH_VALUE)
    assert (
        set(z for _, z in both.flows) == {"c"}
        and both.threshold is not None
        and both.threshold.step >= LOW_VALUE
    )
    assert both.added_round_trip_ms > one.added_round_trip_ms


def test_cross_zone_work_never_takes_the_reserved_home_share() -> None:
    sites = [
        site(1, "a", high_value=9.0),
        site(2, "b", high_value=0.0, low_value=3.0),
        site(3, "c", high_value=0.0, low_value=3.0),
    ]
    projection = projected(sites, a=0.0)
    for zone in ("b", "c"):
        assert projection.flows["a", zone] <= 4 * 0.97 - 4 * 0.97 * 0.4 + 1e-6
        assert projection.flows[zone, zone] >= 1.2


def max_deviation(falsify: Callable[[SiteReport], SiteReport]) -> float:
    """Return how much one false report of six changes the projected share of the utility."""
    honest, sites = projected(fleet(), a=0.0), fleet()
    return abs(projected([*sites[:5], falsify(sites[5])], a=0.0).served_share() - honest.served_share())


@pytest.mark.parametrize(
    "falsify, bound",
    [
        (lambda s: replace(s, rates={HIGH_VALUE: 400.0}), 0.1),
        (lambda s: replace(s, rates={}), 0.05),
        (
            lambda s: replace(
                s, zones={n: replace(z, warm_filter=2**FILTER_BITS - 1) for n, z in s.zones.items()}
            ),
            0.001,
        ),
        (
            lambda s: replace(s, zones={n: replace(z, round_trip_ms=9000.0) for n, z in s.zones.items()}),
            0.001,
        ),
        (lambda s: replace(s, zones={n: replace(z, served_share=0.0) for n, z in s.zones.items()}), 0.001),
        (lambda s: replace(s, mean_work_ms=0.1, data_set_shares={1: 1.0}), 0.03),
    ],
    ids=["much", "nothing", "warm", "far", "served", "sets"],
)
def test_one_instances_report_moves_the_projection_by_a_bounded_part(
    falsify: Callable[[SiteReport], SiteReport], bound: float
) -> None:
    assert max_deviation(falsify) <= bound


def test_an_uncapped_claim_is_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    def exaggerate(s: SiteReport) -> SiteReport:
        return replace(s, rates={HIGH_VALUE: 400.0})

    assert max_deviation(exaggerate) <= 0.1
    monkeypatch.setattr(SnapshotSettings, "__init__", lambda self: None)
    for name, unlimited in (
        ("max_claim_share", 1e6),
        ("max_skew", 1e6),
        ("quorum_share", 0.5),
        ("default_round_trip_ms", 50.0),
    ):
        monkeypatch.setattr(SnapshotSettings, name, unlimited)
    assert max_deviation(exaggerate) > 0.30


def test_cold_data_distance_and_evictions_cost() -> None:
    unlimited_cache = projected(fleet(), b=0.0)
    assert (
        unlimited_cache.added_round_trip_ms > 10
        and unlimited_cache.extra_cold_cores > 0
        and unlimited_cache.warm_ms > 0
        and unlimited_cache.return_ms > 1000
    )
    snapshot = take_snapshot(fleet(), ENGINES, 6)
    assert snapshot is not None
    small_cache = project(snapshot, {"b": 0.0}, CostSettings(cached_data_sets=5))
    assert (
        small_cache.extra_cold_cores > 2 * unlimited_cache.extra_cold_cores
        and small_cache.useful_cores < unlimited_cache.useful_cores
        and small_cache.served_utility < unlimited_cache.served_utility
    )
    warm_everywhere = [
        replace(s, zones={n: replace(z, warm_filter=2**FILTER_BITS - 1) for n, z in s.zones.items()})
        for s in fleet()
    ]
    assert projected(warm_everywhere, b=0.0).extra_cold_cores == pytest.approx(0.0, abs=1e-9)


def served_everywhere(s: SiteReport) -> SiteReport:
    """Return a report of an instance whose clients are served in equal parts by all zones."""
    return replace(s, zones={n: replace(z, served_share=1 / len(ZONES)) for n, z in s.zones.items()})


@pytest.mark.parametrize(
    "change, added, served_shares",
    [
        (lambda s: s, 20.0, {"a": 1.0}),
        (served_everywhere, -12.0, {"a": 1 / 3, "b": 1 / 3, "c": 1 / 3}),
        (lambda s: replace(s, zones={n: replace(z, served_share=0.0) for n, z in s.zones.items()}), 20.0, {}),
    ],
    ids=["at home", "in all zones", "not known"],
)
def test_a_loss_is_compared_with_where_clients_are_served_now(
    change: Callable[[SiteReport], SiteReport], added: float, served_shares: dict[str, float]
) -> None:
    sites = [change(s) for s in fleet(high_value=0.3, low_value=0.4)]
    snapshot = take_snapshot(sites, ENGINES, len(sites))
    assert snapshot is not None and snapshot.homes["a"].served_shares == pytest.approx(served_shares)
    projection = project(snapshot, {"a": 0.0})
    assert projection.added_round_trip_ms == pytest.approx(added, abs=6.0)
    assert projection.served_utility == pytest.approx(
        projection.offered_utility, rel=0.01
    )  # only the added round trip differs


@pytest.mark.parametrize(
    "reported, current",  # a false claim counts for a third of the twelve cores at most
    [([-1.0] * 6, 0.0), ([0.2] * 6, 1.2), ([0.2] * 3 + [-1.0] * 3, 1.2), ([0.2] * 5 + [50.0], 1.0 + 12 / 3)],
    ids=["not known", "told by all", "told by half", "one lies"],
)
def test_cold_work_is_compared_with_what_requests_take_now(reported: list[float], current: float) -> None:
    sites = [
        replace(s, excess_cores=cold)
        for s, cold in zip(fleet(high_value=0.3, low_value=0.4), reported, strict=True)
    ]
    with_reports, without_reports = (
        projected(sites, a=0.0),
        projected(fleet(high_value=0.3, low_value=0.4), a=0.0),
    )
    assert without_reports.extra_cold_cores > 0.1 and with_reports.extra_cold_cores == pytest.approx(
        without_reports.extra_cold_cores - current, abs=0.01
    )
    assert with_reports.served_utility == without_reports.served_utility


def test_excess_work_is_reported_once_it_is_known() -> None:
    estimator = make_estimator(fleet())
    assert estimator.build_report(2000.0).excess_cores == -1.0
    for t in range(2000, 12_000, 50):  # each is estimated at 20 ms; one in four takes 60 ms
        estimator.on_request(float(t), 6.0, 20.0, "x")
        estimator.on_answer(float(t), "a", "x", excess_work_ms=40.0 if t % 200 == 0 else 0.0)
        assert t > 4000 or estimator.build_report(float(t)).excess_cores == -1.0
    [decoded] = decode_site_reports(encode_site_reports([estimator.build_report(12_000.0)]))
    assert decoded.excess_cores == pytest.approx(0.2, abs=0.03)  # five requests a second with 40 ms more each


def test_a_false_served_share_moves_the_round_trip_by_its_part() -> None:
    honest = [served_everywhere(s) for s in fleet(high_value=0.3, low_value=0.4)]
    far = {n: replace(z, served_share=float(n == zone_number("c"))) for n, z in honest[0].zones.items()}
    before, after = projected(honest, a=0.0), projected([replace(honest[0], zones=far), *honest[1:]], a=0.0)
    # It is half of its home, so it can raise the mean round trip by half of the longest one at most.
    assert abs(after.added_round_trip_ms - before.added_round_trip_ms) <= ROUND_TRIPS_MS["a", "c"] / 2
    assert after.served_utility == before.served_utility


def make_estimator(
    sites: list[SiteReport], now: float = 0.0, home: str = "a", **fields: object
) -> CostEstimator:
    """Return an estimator with a plan that is based on these reports of the other instances."""
    estimator = CostEstimator(99, 1, now, home, 1, CostEstimatorSettings(**fields))  # type: ignore[arg-type]
    estimator.set_engines(ENGINES)
    run_steps(estimator, sites, now, 2000.0)
    return estimator


def run_steps(
    estimator: CostEstimator, sites: list[SiteReport], begin: float, duration_ms: float, **remaining: float
) -> None:
    """Run steps for `last` ms, in which these reports arrive once a second with increasing versions."""
    for t in range(int(duration_ms // 100)):
        now = begin + t * 100.0
        if t % 10 == 0 and sites:
            for s in sites:
                estimator.on_message(now, encode_site_reports([replace(s, version=int(now) + 1)]))
        estimator.step(now, {s.member for s in [*fleet(), *sites]}, remaining)


def test_neighbours_are_chosen_by_distance_and_free_cores() -> None:
    estimator = make_estimator(fleet(high_value=0.3, low_value=0.4))
    [(nearest, part), *_] = estimator.failover_zones("a")
    assert nearest == "b" and part > 0.9
    with_full_b = make_estimator(
        [*fleet(high_value=0.3, low_value=0.4), site(7, "b", high_value=1.5, low_value=0.5)]
    )
    assert dict(with_full_b.failover_zones("a")).get("c", 0.0) > 0.1
    assert dict(estimator.serving_zones("b")) == {"b": 1.0} and estimator.serving_zones(
        "a", "a"
    ) == estimator.failover_zones("a")
    assert estimator.projection("c", "a") is not None and estimator.projection("a", "b", "c") is None


def test_a_faulty_zone_retains_what_the_others_cannot_carry_and_it_still_serves() -> None:
    calm, full = (
        make_estimator(fleet(high_value=0.3, low_value=0.4)),
        make_estimator(fleet(high_value=0.8, low_value=0.9)),
    )
    assert calm.retained_share(2000.0, "a", 0.5, 0.7) == 0.0
    retained = full.retained_share(2000.0, "a", 0.5, 0.7)
    assert retained is not None and 0.3 < retained <= 0.5
    assert full.retained_share(2000.0, "a", 0.0) == 0.0
    assert CostEstimator(1, 1, 0.0, "a", 1).retained_share(0.0, "a") is None


def test_a_replacement_may_remove_only_what_leaves_each_loss_bearable() -> None:
    calm, full = (
        make_estimator(fleet(high_value=0.3, low_value=0.4)),
        make_estimator(fleet(high_value=0.6, low_value=0.8)),
    )
    assert (
        not calm.removal_objections({})
        and not calm.removal_objections({"a": 2.0})
        and not full.removal_objections({})
    )
    objections = full.removal_objections({"a": 2.0}, {"b": 3.0})
    assert objections and all("lost" in reason for reason in objections)
    assert CostEstimator(1, 1, 0.0, "a", 1).removal_objections({})  # without a plan nothing may be removed


def test_a_plan_stands_without_new_reports_and_expires() -> None:
    estimator = make_estimator(fleet())
    before = estimator.failover_zones("a")
    run_steps(estimator, [], 2000.0, 20_000.0)
    assert before and estimator.failover_zones("a") == before and estimator.projection("a") is not None
    run_steps(estimator, [], 22_000.0, 15_000.0)
    assert (
        estimator.failover_zones("a") == ()
        and estimator.removal_objections({})
        and estimator.retained_share(37_000.0, "a") is None
    )


def test_restored_reports_say_only_who_is_served_first() -> None:
    estimator = CostEstimator(99, 2, 0.0, "a", 1)
    estimator.set_engines(ENGINES)
    estimator.restore(encode_site_reports([site(1, "a")]))
    estimator.restore(encode_site_reports([site(2, "b", high_value=3.0)]))
    for t in range(0, 2000, 100):
        estimator.step(float(t), {1, 2, 3})
    assert (
        estimator.first_serving_zones("b")
        and estimator.first_serving_zones("b")[0][0] == "b"
        and estimator.failover_zones("b") == ()
    )
    assert estimator.removal_objections({})


def test_small_changes_wait_and_large_ones_do_not() -> None:
    s, stable = HysteresisSettings(), StableShares({"b": 0.6, "c": 0.4})
    stable.update(0.0, {"b": 0.55, "c": 0.45}, s)
    stable.update(100.0, {"b": 0.4, "c": 0.6}, s)
    stable.update(3000.0, {"b": 0.4, "c": 0.6}, s)
    assert stable.shares == {"b": 0.6, "c": 0.4}
    stable.update(3200.0, {"b": 0.4, "c": 0.6}, s)
    assert stable.shares == {"b": 0.4, "c": 0.6}
    stable.update(3300.0, {"b": 1.0}, s)  # c can't serve anything any more
    assert stable.shares == {"b": 1.0}


@settings(max_examples=25, deadline=None)
@given(st.lists(st.tuples(st.floats(0.0, 3.0), st.floats(0.0, 3.0)), min_size=3, max_size=6), st.data())
def test_a_projection_never_serves_more_than_the_demand_or_the_capacity(
    kinds: list[tuple[float, float]], data: st.DataObject
) -> None:
    sites = [
        site(i + 1, ZONES[i % 3], high_value, low_value) for i, (high_value, low_value) in enumerate(kinds)
    ]
    remaining = {z: data.draw(st.sampled_from([0.0, 0.5, 1.0])) for z in ZONES}
    projection = projected(sites, **remaining)
    assert (
        projection.served_utility <= projection.offered_utility * (1 + 1e-9) and projection.lost_utility >= 0
    )
    for zone in ZONES:
        served = sum(x for (_, z), x in projection.flows.items() if z == zone)
        assert served <= 4 * 0.97 * remaining[zone] + 1e-6


def test_thirty_instances_learn_of_one_another_in_few_datagrams() -> None:
    instances = {
        m: CostEstimator(m, 1, 0.0, ZONES[m % 3], m, CostEstimatorSettings(snapshot_interval_ms=1e9))
        for m in range(1, 31)
    }
    sent = 0
    for now in range(0, 10_000, 100):
        for one in instances.values():
            one.set_engines(ENGINES)
            one.on_request(float(now), 6.0, 20.0, "x")
            for member, data in one.step(float(now), instances):
                sent += len(data)
                instances[member].on_message(float(now), data)
    fresh_counts = [len(one.reports.fresh(10_000.0, 5000.0, instances)) for one in instances.values()]
    assert min(fresh_counts) >= 22 and sent / 30 / 10 < 3000  # bytes per second and instance


def test_data_sets_used_once_are_forgotten() -> None:
    estimator = make_estimator(fleet())
    for i in range(2000):
        estimator.on_request(2000.0, 1.0, 20.0, f"once/{i}")
        estimator.on_answer(2000.0, "a", f"once/{i}")
    estimator.build_report(200_000.0)
    assert not estimator.observations.data_set_use.weights and not estimator.observations.answer_use.weights


def run_zone_loss(seed: int, decides: str) -> tuple[Projection | None, float, float]:
    """Simulate a loss of zone a.

    Return the projection, the share of the utility that was served, and the additional cold work in cores.
    """
    plans = CostEstimatorSettings(snapshot_interval_ms=3000.0, cost=CostSettings(cached_data_sets=10))
    rates = dict.fromkeys(ZONES, 140.0)
    world = OutageWorld(
        seed, OutageSetup(rates, ROUND_TRIPS_MS, cached_data_sets=10, decides=decides, settings=plans)
    )
    world.run(5500)
    projection = world.instances[0].estimator.projection("a")
    world.run(6000)
    world.lose_engines("a")
    world.run(6500)
    world.announce_remaining({"a": 0.0})
    world.run(13_000)
    extra = world.log.cold_cores(6500, 11_500) - world.log.cold_cores(2000, 6000)
    return projection, world.log.served_share(8000, 11_000), extra


def test_the_loss_of_a_zone_costs_what_was_projected() -> None:
    utility_errors, cold_work_errors = [], []
    for seed in (4, 5, 6):
        projection, served, cold = run_zone_loss(seed, "outlook")
        assert projection is not None
        utility_errors.append(abs(projection.served_share() - served))
        cold_work_errors.append(abs(projection.extra_cold_cores - cold) / cold)
    assert sorted(utility_errors)[1] <= 0.05 and sorted(cold_work_errors)[1] <= 0.35
    projection, served_without, _ = run_zone_loss(4, "today")
    assert projection is None and served_without < 0.9


def test_six_instances_reach_one_plan_by_their_reports() -> None:
    world = OutageWorld(1, OutageSetup(dict.fromkeys(ZONES, 60.0), ROUND_TRIPS_MS, loss=0.3))
    world.run(6000)
    plans = [i.estimator.failover_zones("a") for i in world.instances]
    assert all(plan and plan[0][0] == "b" for plan in plans)
    parts = [dict(plan).get("b", 0.0) for plan in plans]
    assert max(parts) - min(parts) < 0.2
