"""One price for a fleet: the sketch of demand, the price from it, and instances in virtual time."""

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

unhurried = settings(deadline=None)  # the same verdict on a busy machine
RATES = st.dictionaries(st.integers(0, DENSITY_STEPS - 1), st.floats(0.01, 50.0), max_size=30)
SKEW = (1, 1, 1, 2, 3, 4)


@unhurried
@given(RATES)
def test_encoded_demand_keeps_its_sum_and_its_dense_part(rates: dict[int, float]) -> None:
    data = demand.encode_rates(rates)
    told = demand.decode_rates(data)
    assert told is not None and len(data) <= 2 * MAX_ENCODED_STEPS
    assert sum(told.values()) == pytest.approx(sum(rates.values()), rel=0.06, abs=0.01)
    for step in range(
        DENSITY_STEPS
    ):  # it is never told as dearer than it is, but for what is below all that is told
        dear = sum(work for s, work in told.items() if s >= step and s > min(told))
        assert dear <= sum(work for s, work in rates.items() if s >= step) * 1.06 + 0.01


@unhurried
@given(st.lists(RATES, max_size=5), st.floats(0.1, 100.0), st.randoms())
def test_demands_add_up_in_any_order_and_each_is_capped(
    demands: list[dict[int, float]], most: float, order: object
) -> None:
    merged = demand.merge_rates(demands, most)
    order.shuffle(demands)  # type: ignore[attr-defined]
    again = demand.merge_rates(demands, most)
    assert merged == pytest.approx(again)
    assert sum(merged.values()) <= most * len(demands) + 1e-6


@pytest.mark.parametrize("data", [b"\x01", b"\xff\x01", b"\x01\x01" * 11], ids=["odd", "step", "long"])
def test_malformed_demand_is_none(data: bytes) -> None:
    assert demand.decode_rates(data) is None


@pytest.mark.parametrize("worth, work", [(0.0, 20.0), (-1.0, 20.0), (1e-12, 1e9), (1e12, 1e-9)])
def test_a_request_of_any_utility_has_a_step(worth: float, work: float) -> None:
    assert 0 <= demand.density_step(worth, work) < DENSITY_STEPS


def test_demand_just_after_a_start_is_not_underestimated() -> None:
    young = Demand(0.0)
    for t in range(0, 400, 10):
        young.add(float(t), 5, 20.0)
    assert young.rates(400.0)[5] == pytest.approx(2.0, rel=0.1)


@unhurried
@given(RATES, st.floats(0.1, 200.0))
def test_what_a_threshold_admits_fills_the_capacity(rates: dict[int, float], capacity: float) -> None:
    price = threshold_for(rates, capacity)
    if price is None:
        assert sum(rates.values()) <= capacity + 1e-9
    else:
        above = sum(work for step, work in rates.items() if step > price.step)
        assert above + price.admitted_share * rates[price.step] == pytest.approx(capacity)


def test_at_the_threshold_a_request_has_one_draw_and_a_retry_draws_last() -> None:
    price = DensityThreshold(7, 0.4)
    draws = [admission_draw(str(n).encode(), is_retry=False) for n in range(4000)]
    let_in = [price.admits(7, draw) for draw in draws]
    assert let_in == [price.admits(7, draw) for draw in draws] and 0.36 < sum(let_in) / 4000 < 0.44
    assert not price.admits(7, admission_draw(b"1", is_retry=True)) and price.admits(
        8, admission_draw(b"1", is_retry=True)
    )
    assert price.admits(8, 0.9) and not price.admits(6, 0.1)


@pytest.mark.parametrize("priced", [False, True], ids=["no price", "a price"])
def test_retries_of_a_request_are_no_new_demand(priced: bool) -> None:
    loads = DemandSharing(1, 1, 0.0, 1)
    loads.controller.threshold = DensityThreshold(demand.density_step(6.0, 20.0), 0.4) if priced else None
    for t in range(0, 4000, 10):
        for retry in (False, True, True):
            loads.on_request(float(t), 6.0, 20.0, retry)
    assert sum(loads.demand.rates(4000.0).values()) == pytest.approx(2.0, rel=0.05)


@pytest.mark.parametrize(
    "others, alive, priced",
    [(5, 6, True), (3, 6, True), (2, 6, False), (0, 6, False), (0, 1, True)],
    ids=["all heard", "four of six", "half", "alone of six", "one in all"],
)
def test_a_threshold_takes_the_reports_of_more_than_half(others: int, alive: int, priced: bool) -> None:
    pricing, word = ThresholdController(0.0), ReportedDemand({60: 1.0, 70: 1.0})
    price = pricing.step(100.0, word, [word] * others, alive, alive * 1.2)
    assert (price is not None) is priced
    assert price is None or price.step == 60


def test_the_waits_of_a_few_requests_change_the_capacity_little() -> None:
    word, shares = {60: 10.0}, list[float]()
    for ended in (0, 3, 300):
        pricing = ThresholdController(0.0)
        for _ in range(ended):
            pricing.on_admitted(0.0, has_expired=False)
        price = pricing.step(10.0, pricing.report(word), [], 1, 5.0)
        assert price is not None
        shares.append(price.admitted_share / 0.97 * 2)
    assert shares == pytest.approx([1.0, 1.03, 1.19], abs=0.01)


def test_the_gain_is_bounded_and_returns_to_one_without_overload() -> None:
    pricing, word = ThresholdController(0.0), ReportedDemand({60: 100.0})
    for t in range(100, 60_000, 100):
        pricing.on_admitted(1.0, has_expired=True)
        pricing.step(float(t), pricing.report(word.rates), [], 1, 10.0)
    assert pricing.gain == pricing.settings.min_gain
    for t in range(60_000, 90_000, 100):
        pricing.step(float(t), pricing.report({60: 1.0}), [], 1, 10.0)
    assert pricing.threshold is None and math.isclose(pricing.gain, 1.0, abs_tol=0.05)


def play(
    times: float,
    policy: Callable[[int], Policy] = lambda i: SharedThreshold(),
    until: float = 15_000.0,
    **fields: object,
) -> Overload:
    """So many times what nine engines can do, for so many ms."""
    world = Overload(2, lambda now: 450.0 * times, SKEW, lambda i: SharedThreshold(), **fields)  # type: ignore[arg-type]
    world.run(until)
    return world


def apart(world: Overload, kind: int, begin: float, end: float) -> float:
    """How far instances are apart in the share of a kind's tries that they serve."""
    shares = [share for (_, k), share in world.served_shares(begin, end).items() if k == kind]
    return max(shares) - min(shares)


@pytest.mark.parametrize("times", [1.2, 2.0, 5.0])
@pytest.mark.parametrize("speed", [1.0, 0.8], ids=["as the list says", "slower than it says"])
def test_served_utility_stays_near_the_maximum_and_is_equal_at_all_instances(
    times: float, speed: float
) -> None:
    world = play(times, speed=speed)
    got, most = world.utility(6000.0, 15_000.0)
    assert got >= 0.95 * most
    assert speed < 1.0 or apart(world, 1, 6000.0, 15_000.0) < 0.2  # slower ones are still being learned
    sent = sum(what == "sent" for *_, what in world.log)
    assert sent <= 1.1 * sum(what == "served" for *_, what in world.log)


def test_without_a_threshold_equal_requests_are_served_unequally() -> None:
    """What the comparison above says of today's manner."""
    worlds = [Overload(seed, lambda now: 900.0, SKEW, lambda i: Policy()) for seed in range(3)]
    for world in worlds:
        world.run(15_000.0)
    assert max(apart(world, 1, 6000.0, 15_000.0) for world in worlds) > 0.4


@pytest.mark.parametrize(
    "fields", [{"loss": 0.3}, {"delay_ms": 1000.0}], ids=["30% of words lost", "words a second late"]
)
def test_lost_and_late_reports_cost_little(fields: dict[str, float]) -> None:
    world = Overload(2, lambda now: 900.0, SKEW, lambda i: SharedThreshold(), **fields)  # type: ignore[arg-type]
    world.run(15_000.0)
    got, most = world.utility(6000.0, 15_000.0)
    assert got >= 0.93 * most


@pytest.mark.parametrize("times", [10.0, 100.0])
def test_an_inflated_claim_shifts_little(times: float) -> None:
    """By the gain alone a claim of ten times is made good, and one of a hundred left 0.37 of the worth."""
    world = Overload(2, lambda now: 900.0, SKEW, lambda i: SharedThreshold())
    world.claim_factors[0] = times
    world.run(20_000.0)
    got, most = world.utility(8000.0, 20_000.0)
    assert got >= 0.9 * most


def test_a_partitioned_fleet_has_no_threshold_and_still_serves() -> None:
    world = Overload(2, lambda now: 900.0, SKEW, lambda i: SharedThreshold())
    world.is_cut = lambda a, b: (a < 3) != (b < 3)
    world.run(12_000.0)
    assert all(instance.demand.threshold is None for instance in world.instances)
    got, most = world.utility(5000.0, 12_000.0)
    assert got >= 0.85 * most


@pytest.mark.parametrize("marked, within", [(True, 1000.0), (False, 4000.0)], ids=["marked", "unmarked"])
def test_returned_capacity_is_used(marked: bool, within: float) -> None:
    """A second where clients say that they come again; else when what was counted too often is forgotten."""
    world = Overload(2, lambda now: 380.0, SKEW, lambda i: SharedThreshold(), marks_retries=marked)
    world.call_at(5000.0, lambda now: world.set_engines_up(3))
    world.call_at(12_000.0, lambda now: world.set_engines_up(9))
    world.run(11_999.0)
    got, most = world.utility(7000.0, 12_000.0)
    assert got >= 0.9 * most  # of three engines: 750 requests, so some hundredths are chance
    world.run(20_000.0)
    got, most = world.utility(12_000.0 + within, 12_000.0 + within + 3000.0)
    assert got >= 0.97 * most


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
    ids=["empty", "short", "truncated", "other", "nobody", "long", "steps"],
)
def test_malformed_demand_reports_change_nothing(data: bytes) -> None:
    loads = DemandSharing(1, 1, 0.0, 1)
    with pytest.raises(MessageError):
        loads.on_message(0.0, data)
    assert not loads.reports.received


def test_demand_reports_merge_by_version_and_the_owner_outranks_a_forged_one() -> None:
    loads = DemandSharing(1, 1, 0.0, 1)
    news = [
        DemandReport(2, life, version, ReportedDemand({version: 1.0}))
        for life, version in ((1, 5), (1, 4), (2, 1), (1, 9))
    ]
    for load in news:
        loads.on_message(0.0, encode_demand_reports([load]))
    assert list(loads.reports.received[2].report.load.rates) == [1]
    loads.on_message(0.0, encode_demand_reports([DemandReport(1, 1, 90, ReportedDemand({}))]))
    ((_, data),) = loads.step(100.0, [1, 2], 10.0)
    assert decode_demand_reports(data)[0].version == 91


def test_in_a_large_fleet_a_round_goes_to_a_few_and_fits_a_datagram() -> None:
    loads = DemandSharing(1, 1, 0.0, 1)
    for member in range(2, 100):
        loads.on_message(
            float(member),
            encode_demand_reports([DemandReport(member, 1, 1, ReportedDemand({s: 1.0 for s in range(30)}))]),
        )
    said = loads.step(200.0, range(1, 100), 1000.0)
    assert len(said) == 4 and all(len(data) <= 200 for _, data in said)
    assert [load.member for load in decode_demand_reports(said[0][1])] == [1, 99, 98, 97, 96]
