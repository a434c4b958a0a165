"""The fleet's admission threshold: histogram of demand, computation, and simulated overload."""

from __future__ import annotations

import math
from collections.abc import Callable

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cottonhold.emulator.admission_policies import SharedThreshold
from cottonhold.emulator.overload import Overload, Policy
from cottonhold.fleet.admission import demand
from cottonhold.fleet.admission.demand import DENSITY_STEPS, MAX_ENCODED_STEPS, Demand
from cottonhold.fleet.admission.demand_messages import (
    DemandReport,
    decode_demand_reports,
    encode_demand_reports,
)
from cottonhold.fleet.admission.demand_sharing import DemandSharing, admission_draw
from cottonhold.fleet.admission.threshold import (
    DensityThreshold,
    ReportedDemand,
    ThresholdController,
    threshold_for,
)
from cottonhold.fleet.message_format import MessageError

unhurried = settings(deadline=None)  # a busy machine must not fail the test
RATES = st.dictionaries(st.integers(0, DENSITY_STEPS - 1), st.floats(0.01, 50.0), max_size=30)
SKEW = (1, 1, 1, 2, 3, 4)


@unhurried
@given(RATES)
def test_encoded_demand_preserves_its_sum_and_its_dense_part(rates: dict[int, float]) -> None:
    data = demand.encode_rates(rates)
    decoded = demand.decode_rates(data)
    assert decoded is not None and len(data) <= 2 * MAX_ENCODED_STEPS
    assert sum(decoded.values()) == pytest.approx(sum(rates.values()), rel=0.06, abs=0.01)
    # No work is decoded at a higher density than its own, except work below the lowest encoded step.
    for step in range(DENSITY_STEPS):
        dense_work = sum(work for s, work in decoded.items() if s >= step and s > min(decoded))
        assert dense_work <= sum(work for s, work in rates.items() if s >= step) * 1.06 + 0.01


@unhurried
@given(st.lists(RATES, max_size=5), st.floats(0.1, 100.0), st.randoms())
def test_demands_add_up_in_any_order_and_each_is_capped(
    demands: list[dict[int, float]], max_cores: float, order: object
) -> None:
    merged = demand.merge_rates(demands, max_cores)
    order.shuffle(demands)  # type: ignore[attr-defined]
    merged_shuffled = demand.merge_rates(demands, max_cores)
    assert merged == pytest.approx(merged_shuffled)
    assert sum(merged.values()) <= max_cores * len(demands) + 1e-6


@pytest.mark.parametrize("data", [b"\x01", b"\xff\x01", b"\x01\x01" * 11], ids=["odd", "step", "long"])
def test_malformed_demand_is_none(data: bytes) -> None:
    assert demand.decode_rates(data) is None


@pytest.mark.parametrize("utility, work_ms", [(0.0, 20.0), (-1.0, 20.0), (1e-12, 1e9), (1e12, 1e-9)])
def test_a_request_of_any_utility_has_a_step(utility: float, work_ms: float) -> None:
    assert 0 <= demand.density_step(utility, work_ms) < DENSITY_STEPS


def test_demand_just_after_a_start_is_not_underestimated() -> None:
    new_demand = Demand(0.0)
    for t in range(0, 400, 10):
        new_demand.add(float(t), 5, 20.0)
    assert new_demand.rates(400.0)[5] == pytest.approx(2.0, rel=0.1)


@unhurried
@given(RATES, st.floats(0.1, 200.0))
def test_what_a_threshold_admits_fills_the_capacity(rates: dict[int, float], capacity: float) -> None:
    threshold = threshold_for(rates, capacity)
    if threshold is None:
        assert sum(rates.values()) <= capacity + 1e-9
    else:
        above = sum(work for step, work in rates.items() if step > threshold.step)
        assert above + threshold.admitted_share * rates[threshold.step] == pytest.approx(capacity)


def test_at_the_threshold_a_request_has_one_draw_and_a_retry_draws_last() -> None:
    threshold = DensityThreshold(7, 0.4)
    draws = [admission_draw(str(n).encode(), is_retry=False) for n in range(4000)]
    admitted = [threshold.admits(7, draw) for draw in draws]
    assert admitted == [threshold.admits(7, draw) for draw in draws] and 0.36 < sum(admitted) / 4000 < 0.44
    assert not threshold.admits(7, admission_draw(b"1", is_retry=True)) and threshold.admits(
        8, admission_draw(b"1", is_retry=True)
    )
    assert threshold.admits(8, 0.9) and not threshold.admits(6, 0.1)


@pytest.mark.parametrize("has_threshold", [False, True], ids=["no threshold", "threshold"])
def test_retries_of_a_request_are_no_new_demand(has_threshold: bool) -> None:
    sharing = DemandSharing(1, 1, 0.0, 1)
    sharing.controller.threshold = (
        DensityThreshold(demand.density_step(6.0, 20.0), 0.4) if has_threshold else None
    )
    for t in range(0, 4000, 10):
        for is_retry in (False, True, True):
            sharing.on_request(float(t), 6.0, 20.0, is_retry)
    assert sum(sharing.demand.rates(4000.0).values()) == pytest.approx(2.0, rel=0.05)


@pytest.mark.parametrize(
    "other_count, live_count, has_threshold",
    [(5, 6, True), (3, 6, True), (2, 6, False), (0, 6, False), (0, 1, True)],
    ids=["all report", "four of six", "half", "one of six", "single instance"],
)
def test_a_threshold_takes_the_reports_of_more_than_half(
    other_count: int, live_count: int, has_threshold: bool
) -> None:
    controller, report = ThresholdController(0.0), ReportedDemand({60: 1.0, 70: 1.0})
    threshold = controller.step(100.0, report, [report] * other_count, live_count, live_count * 1.2)
    assert (threshold is not None) is has_threshold
    assert threshold is None or threshold.step == 60


def test_the_waits_of_a_few_requests_change_the_capacity_little() -> None:
    rates, shares = {60: 10.0}, list[float]()
    for finished_count in (0, 3, 300):
        controller = ThresholdController(0.0)
        for _ in range(finished_count):
            controller.on_admitted(0.0, has_expired=False)
        threshold = controller.step(10.0, controller.report(rates), [], 1, 5.0)
        assert threshold is not None
        shares.append(threshold.admitted_share / 0.97 * 2)
    assert shares == pytest.approx([1.0, 1.03, 1.19], abs=0.01)


def test_the_gain_is_bounded_and_returns_to_one_without_overload() -> None:
    controller, report = ThresholdController(0.0), ReportedDemand({60: 100.0})
    for t in range(100, 60_000, 100):
        controller.on_admitted(1.0, has_expired=True)
        controller.step(float(t), controller.report(report.rates), [], 1, 10.0)
    assert controller.gain == controller.settings.min_gain
    for t in range(60_000, 90_000, 100):
        controller.step(float(t), controller.report({60: 1.0}), [], 1, 10.0)
    assert controller.threshold is None and math.isclose(controller.gain, 1.0, abs_tol=0.05)


def play(
    load_factor: float,
    policy: Callable[[int], Policy] = lambda i: SharedThreshold(),
    until: float = 15_000.0,
    **fields: object,
) -> Overload:
    """Simulate a load of `load_factor` times the capacity of nine engines for `until` ms."""
    world = Overload(2, lambda now: 450.0 * load_factor, SKEW, lambda i: SharedThreshold(), **fields)  # type: ignore[arg-type]
    world.run(until)
    return world


def apart(world: Overload, kind: int, begin: float, end: float) -> float:
    """Return the difference between the instances' highest and lowest served share of a kind."""
    shares = [share for (_, k), share in world.served_shares(begin, end).items() if k == kind]
    return max(shares) - min(shares)


@pytest.mark.parametrize("load_factor", [1.2, 2.0, 5.0])
@pytest.mark.parametrize("speed", [1.0, 0.8], ids=["configured speed", "slower than configured"])
def test_served_utility_stays_near_the_maximum_and_is_equal_at_all_instances(
    load_factor: float, speed: float
) -> None:
    world = play(load_factor, speed=speed)
    served, best = world.utility(6000.0, 15_000.0)
    assert served >= 0.95 * best
    assert speed < 1.0 or apart(world, 1, 6000.0, 15_000.0) < 0.2  # the usual duration is still being learned
    sent = sum(what == "sent" for *_, what in world.log)
    assert sent <= 1.1 * sum(what == "served" for *_, what in world.log)


def test_without_a_threshold_equal_requests_are_served_unequally() -> None:
    """The assertion of equal shares in the test above fails without a threshold."""
    worlds = [Overload(seed, lambda now: 900.0, SKEW, lambda i: Policy()) for seed in range(3)]
    for world in worlds:
        world.run(15_000.0)
    assert max(apart(world, 1, 6000.0, 15_000.0) for world in worlds) > 0.4


@pytest.mark.parametrize(
    "fields", [{"loss": 0.3}, {"delay_ms": 1000.0}], ids=["30% of reports lost", "reports a second late"]
)
def test_lost_and_late_reports_cost_little(fields: dict[str, float]) -> None:
    world = Overload(2, lambda now: 900.0, SKEW, lambda i: SharedThreshold(), **fields)  # type: ignore[arg-type]
    world.run(15_000.0)
    served, best = world.utility(6000.0, 15_000.0)
    assert served >= 0.93 * best


@pytest.mark.parametrize("claim_factor", [10.0, 100.0])
def test_an_inflated_claim_shifts_little(claim_factor: float) -> None:
    """An instance that reports too much demand must not make the others reject what the fleet can serve.

    The gain alone compensates a factor of ten; with a factor of a hundred it left 0.37 of the utility.
    """
    world = Overload(2, lambda now: 900.0, SKEW, lambda i: SharedThreshold())
    world.claim_factors[0] = claim_factor
    world.run(20_000.0)
    served, best = world.utility(8000.0, 20_000.0)
    assert served >= 0.9 * best


def test_a_partitioned_fleet_has_no_threshold_and_still_serves() -> None:
    world = Overload(2, lambda now: 900.0, SKEW, lambda i: SharedThreshold())
    world.is_disconnected = lambda a, b: (a < 3) != (b < 3)
    world.run(12_000.0)
    assert all(instance.demand.threshold is None for instance in world.instances)
    served, best = world.utility(5000.0, 12_000.0)
    assert served >= 0.85 * best


@pytest.mark.parametrize(
    "marks_retries, within_ms", [(True, 1000.0), (False, 4000.0)], ids=["marked", "unmarked"]
)
def test_returned_capacity_is_used(marks_retries: bool, within_ms: float) -> None:
    """It takes a second if clients mark retries; else until the retries counted as demand have decayed."""
    world = Overload(2, lambda now: 380.0, SKEW, lambda i: SharedThreshold(), marks_retries=marks_retries)
    world.call_at(5000.0, lambda now: world.set_engines_up(3))
    world.call_at(12_000.0, lambda now: world.set_engines_up(9))
    world.run(11_999.0)
    served, best = world.utility(7000.0, 12_000.0)
    assert served >= 0.9 * best  # three engines serve 750 requests, so a few percent are random
    world.run(20_000.0)
    served, best = world.utility(12_000.0 + within_ms, 12_000.0 + within_ms + 3000.0)
    assert served >= 0.97 * best


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"\x05",
        b"\x05\x01",
        b"\x01\x00",
        b"\x05\x01" + bytes(20),
        b"\x05\x00\x00",
        b"\x05\x01" + bytes(8) + b"\xff" * 12,
    ],
    ids=["empty", "short", "truncated", "other kind", "no member", "too long", "too many steps"],
)
def test_malformed_demand_reports_change_nothing(data: bytes) -> None:
    sharing = DemandSharing(1, 1, 0.0, 1)
    with pytest.raises(MessageError):
        sharing.on_message(0.0, data)
    assert not sharing.reports.received


def test_demand_reports_merge_by_version_and_the_owner_outranks_a_forged_one() -> None:
    sharing = DemandSharing(1, 1, 0.0, 1)
    reports = [
        DemandReport(2, incarnation, version, ReportedDemand({version: 1.0}))
        for incarnation, version in ((1, 5), (1, 4), (2, 1), (1, 9))
    ]
    for report in reports:
        sharing.on_message(0.0, encode_demand_reports([report]))
    assert list(sharing.reports.received[2].report.load.rates) == [1]
    sharing.on_message(0.0, encode_demand_reports([DemandReport(1, 1, 90, ReportedDemand({}))]))
    ((_, data),) = sharing.step(100.0, [1, 2], 10.0)
    assert decode_demand_reports(data)[0].version == 91


def test_in_a_large_fleet_a_round_goes_to_a_few_and_fits_a_datagram() -> None:
    sharing = DemandSharing(1, 1, 0.0, 1)
    for member in range(2, 100):
        sharing.on_message(
            float(member),
            encode_demand_reports([DemandReport(member, 1, 1, ReportedDemand({s: 1.0 for s in range(30)}))]),
        )
    messages = sharing.step(200.0, range(1, 100), 1000.0)
    assert len(messages) == 4 and all(len(data) <= 200 for _, data in messages)
    assert [report.member for report in decode_demand_reports(messages[0][1])] == [1, 99, 98, 97, 96]
