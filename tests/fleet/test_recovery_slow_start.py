"""Slow start of cold engines: their shares, the messages, and whole fleets in virtual time."""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cottonhold.emulator.power_return_plan import PowerReturnPlan
from cottonhold.emulator.recovery import MEAN_WORK_MS, PowerReturn
from cottonhold.fleet.actions import ThresholdUpdate
from cottonhold.fleet.admission.demand_messages import DemandReport, encode_demand_reports
from cottonhold.fleet.admission.threshold import ReportedDemand
from cottonhold.fleet.coordinator import FleetCoordinator
from cottonhold.fleet.message_format import MessageError
from cottonhold.fleet.recovery import warmup_messages
from cottonhold.fleet.recovery.first_checker import first_checker
from cottonhold.fleet.recovery.shared_slow_start import OutageScope, SharedSlowStart
from cottonhold.fleet.recovery.slow_start_settings import WARMUP_BUDGET, SlowStartSettings
from cottonhold.fleet.recovery.warming_engine import WarmingEngine
from cottonhold.fleet.recovery.warmup_messages import (
    EngineObservation,
    PooledObservation,
    WarmupReport,
    decode_warmup_reports,
    encode_warmup_reports,
    pool_observations,
)
from cottonhold.fleet.settings import FleetSettings
from cottonhold.fleet.zone_failover.quota_lending import QuotaAccount, QuotaRequest

unhurried = settings(deadline=None)  # a busy machine must not change the result
ENGINES = {f"a{i}": 1.0 for i in range(3)}
NUMBER = warmup_messages.engine_number("a0")


def make_slow_start(**fields: object) -> SharedSlowStart:
    slow_start = SharedSlowStart(1, 1, 0.0, SlowStartSettings(**fields), 1)  # type: ignore[arg-type]
    slow_start.set_engines(0.0, ENGINES)
    return slow_start


def simulate_return(
    until: float = 5000.0,
    load_factor: float = 1.0,
    has_slow_start: bool = True,
    warm_after_ms: float = 3000.0,
    engines_start_at: float = 0.0,
    second_loss_at: float | None = None,
    seed: int = 1,
) -> PowerReturn:
    """Simulate five instances that return within 2.5 s, nine engines, and clients with 0.6 of their warm
    capacity."""
    plan = PowerReturnPlan(
        lambda engine: engines_start_at, lambda i: 600.0 * i, warm_after_ms, second_loss_at
    )
    settings = FleetSettings(
        dispatchers=5, sheds_load=True, slow_start=SlowStartSettings() if has_slow_start else None
    )
    world = PowerReturn(seed, load_factor * 0.6 * 9 * 1000 / MEAN_WORK_MS, 5, 9, plan, settings)
    world.run(until)
    return world


@pytest.mark.parametrize("proof", ["list", "probe", "attempt", "another's attempt"])
def test_nothing_goes_to_an_engine_before_it_is_listed_or_has_answered(proof: str) -> None:
    slow_start = make_slow_start()
    assert slow_start.share("a0") == 0.0 and 0 < max(slow_start.work_limits(1.0).values()) < 1e-6
    if proof == "list":
        slow_start.on_list_received(10.0)
    elif proof == "probe":
        slow_start.on_health_check(10.0, "a0", True)
    elif proof == "attempt":
        slow_start.on_answer(10.0, "a0", True, 20.0, 60.0)
    else:
        slow_start.on_message(
            10.0,
            encode_warmup_reports([WarmupReport(2, 1, 1, {NUMBER: EngineObservation(0.3, 0.1, 0.3, 0.0)})]),
        )
        slow_start.step(10.0, [2])
    assert slow_start.settings.initial_share <= slow_start.share("a0") < 0.32 and (
        slow_start.share("a1") > 0
    ) is (proof == "list")
    slow_start.on_health_check(20.0, "a1", False)
    assert slow_start.share("a1") == 0.0


def test_a_list_does_not_prove_an_engine_that_failed_a_health_check() -> None:
    slow_start = make_slow_start()
    slow_start.on_health_check(10.0, "a0", False)
    slow_start.on_list_received(300.0)
    assert slow_start.share("a0") == 0.0 and slow_start.share("a1") == slow_start.settings.initial_share
    slow_start.on_health_check(400.0, "a0", True)
    assert slow_start.share("a0") == slow_start.settings.initial_share


def test_a_share_follows_observations_and_not_the_clock() -> None:
    slow_start = make_slow_start(warm_after_ms=60_000.0)
    slow_start.on_list_received(0.0)
    for t in range(100, 5000, 100):
        slow_start.on_answer(float(t), "a0", True, 20.0, 60.0)  # stays three times slower than a warm engine
        slow_start.on_answer(float(t), "a1", True, 20.0, 20.0 if t > 2000 else 60.0)
        slow_start.step(float(t), [])
        assert (
            slow_start.share("a1") <= slow_start.settings.max_cold_share
            or t > 2000 + slow_start.settings.warm_confirmation_ms
        )
    assert (
        slow_start.share("a0") < 0.4
        and slow_start.share("a1") == 1.0
        and slow_start.share("a2") == slow_start.settings.initial_share
    )


def test_a_slow_engine_is_free_at_its_configured_age_and_a_silent_one_is_not() -> None:
    slow_start = make_slow_start(warm_after_ms=3000.0)
    slow_start.on_list_received(0.0)
    for t in range(100, 3400, 100):
        slow_start.on_answer(float(t), "a0", True, 20.0, 120.0)  # 20 ms of work, delayed by a busy machine
        slow_start.step(float(t), [])
    assert slow_start.share("a0") == 1.0 and slow_start.share("a2") == slow_start.settings.initial_share


def test_after_an_outage_engines_warm_up_anew_unless_only_this_instance_was_away() -> None:
    slow_start = make_slow_start()
    slow_start.on_list_received(0.0)
    slow_start.on_loss(0.0, OutageScope.ALONE)
    assert not slow_start.is_active
    slow_start.on_loss(10.0, OutageScope.ZONE, ["a1"])
    assert slow_start.share("a1") == 0.0 and slow_start.share("a0") == 1.0
    slow_start.on_engine_started(20.0, "a1")
    slow_start.on_loss(30.0, OutageScope.FLEET)  # an engine that has started since continues
    assert slow_start.share("a1") == slow_start.settings.initial_share and slow_start.share("a0") == 0.0


@pytest.mark.parametrize(
    "since, failed, share",
    [(-500.0, False, 0.48), (1200.0, False, 0.0), (-500.0, True, 0.0)],
    ids=["answered since", "answered before the loss only", "failed since"],
)
def test_an_engine_that_has_answered_since_the_loss_goes_on_as_old_as_that(
    since: float, failed: bool, share: float
) -> None:
    """A loss of the fleet is recognized only when more than half of it has returned, here after two
    seconds."""
    slow_start = make_slow_start(warm_after_ms=3000.0)
    slow_start.on_loss(0.0, OutageScope.ALONE)
    slow_start.on_answer(100.0, "a0", True, 20.0, 60.0)
    if failed:
        slow_start.on_answer(900.0, "a0", False, 0.0, 1.0)
    slow_start.on_loss(2000.0, OutageScope.FLEET, since=since)
    assert slow_start.share("a0") == share and slow_start.share("a1") == 0.0
    if share:
        assert slow_start.warming["a0"].started_at == 100.0
        for t in (2100.0, 2200.0, 2300.0, 2400.0):
            slow_start.on_answer(t, "a0", True, 20.0, 30.0)
            slow_start.step(t, [])
        assert slow_start.share("a0") == pytest.approx(0.3 + 0.7 * 2300 / 3000, abs=0.02)


@pytest.mark.parametrize("reporters, is_older", [(1, False), (2, True), (3, True)], ids=str)
def test_an_engine_is_as_old_as_two_others_know(reporters: int, is_older: bool) -> None:
    slow_start = make_slow_start(warm_after_ms=3000.0)
    slow_start.on_list_received(0.0)
    for t in (100.0, 200.0, 300.0, 400.0, 500.0):
        slow_start.on_answer(t, "a0", True, 20.0, 60.0)
        for member in range(2, 2 + reporters):
            age = 60_000.0 if member == 2 else 1500.0 + t  # the first report is false
            observation = EngineObservation(0.3, 0.02, 0.6, age)
            slow_start.on_message(
                t, encode_warmup_reports([WarmupReport(member, 1, int(t), {NUMBER: observation})])
            )
        slow_start.step(t, range(2, 2 + reporters))
    assert slow_start.warming["a0"].started_at == pytest.approx(-1500.0 if is_older else 0.0, abs=100.0)
    assert slow_start.share("a0") < 1.0


def test_observations_of_an_engines_earlier_incarnation_do_not_count() -> None:
    slow_start = make_slow_start()
    slow_start.on_loss(0.0, OutageScope.ALONE)
    slow_start.on_engine_started(5000.0, "a0")
    for version, age, share in ((1, 4000.0, 0.3), (2, 0.0, 0.345 * 1.15)):
        for member in (2, 3):
            observation = EngineObservation(0.3, 0.2, 0.345, age)
            slow_start.on_message(
                5100.0, encode_warmup_reports([WarmupReport(member, 1, version, {NUMBER: observation})])
            )
        slow_start.step(5100.0 + 50 * version, [2, 3])
        assert slow_start.share("a0") == pytest.approx(share, abs=0.02)


def test_a_queue_at_an_engine_lowers_its_share() -> None:
    slow_start = make_slow_start()
    slow_start.on_list_received(0.0)
    slow_start.warming["a0"].share, slow_start.warming["a0"].started_at = 0.48, -2000.0
    for t in range(100, 1500, 20):  # 0.4 of its capacity, each answer after half a second in a queue
        slow_start.on_answer(float(t), "a0", True, 8.0, 500.0)
        slow_start.step(float(t), [])
    assert 0.3 < slow_start.share("a0") < 0.4


def test_a_restarted_instance_advises_the_same_retry_after_as_the_others() -> None:
    early, late, advised = make_slow_start(), make_slow_start(), set[float]()
    early.on_list_received(0.0)
    for t in range(100, 2500, 100):
        for engine in ENGINES:
            early.on_answer(float(t), engine, True, 20.0, 40.0)
        messages = early.step(float(t), [2])
        if t >= 2000:  # from here on the second instance receives the reports of the first
            for _, data in messages:
                late.on_message(float(t), data.replace(bytes(7) + b"\x01", bytes(7) + b"\x02", 1))
            late.on_list_received(float(t))
            late.step(float(t), [2])
            advised |= {early.retry_after_ms(0.5), late.retry_after_ms(0.5)}
    assert len(advised) == 1 and advised.pop() >= 1000.0 and early.retry_after_ms(0.0) == 0.0


def test_each_engine_is_checked_by_each_dispatcher_in_turn() -> None:
    checkers = {first_checker("a0", 100.0 * k, 6) for k in range(6)}
    firsts = [first_checker(f"e{i}", 0.0, 6) for i in range(600)]
    assert checkers == set(range(6)) and min(firsts.count(n) for n in range(6)) > 60


@pytest.mark.parametrize("is_alone", [True, False], ids=["alone", "beside another"])
def test_the_unlent_share_is_usable_at_once_and_never_lent(is_alone: bool) -> None:
    account = QuotaAccount(0.0, 0.5, 1, SlowStartSettings().quota, is_alone)
    assert account.usable(0.0, WARMUP_BUDGET)[0] == pytest.approx(0.3 if is_alone else 0.0, abs=1e-4)
    for now in (1.0, 1000.0):
        account.on_message(now, 2, QuotaRequest(WARMUP_BUDGET, 1, 0xFFFF))
    assert account.usable(1000.0, WARMUP_BUDGET)[0] == pytest.approx(0.3, abs=1e-4)


ROWS = st.builds(EngineObservation, *(st.floats(0, 1) for _ in range(3)), st.floats(0, 20_000))
WARMUP_REPORTS = st.builds(
    WarmupReport,
    *(st.integers(1, 2**32 - 1) for _ in range(3)),
    st.dictionaries(st.integers(0, 2**32 - 1), ROWS, max_size=warmup_messages.MAX_ENGINES),
)


@unhurried
@given(st.lists(WARMUP_REPORTS, max_size=4))
def test_warmup_reports_keep_their_meaning_and_fit_a_datagram(reports: list[WarmupReport]) -> None:
    data = encode_warmup_reports(reports)
    decoded = decode_warmup_reports(data)
    assert len(data) <= 200 and [report.stamp for report in decoded] == [
        report.stamp for report in reports[: len(decoded)]
    ]
    for sent, received in zip(reports, decoded, strict=False):
        for number, row in sent.engines.items():
            assert received.engines[number].speed == pytest.approx(row.speed, abs=0.01)
            assert received.engines[number].work_done == pytest.approx(row.work_done, abs=0.02)


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"\x10",
        b"\x01\x00",
        b"\x10\x01",
        b"\x10\x00\x00",
        b"\x10\x01" + bytes(17),
        b"\x10\x01" + b"\xff" * 17,
    ],
    ids=["empty", "short", "other", "truncated", "long", "nobody", "rows"],
)
def test_malformed_warmup_reports_change_nothing(data: bytes) -> None:
    coordinator = FleetCoordinator(1, 1, 0.0, FleetSettings(dispatchers=3, slow_start=SlowStartSettings()), 1)
    with pytest.raises(MessageError):
        decode_warmup_reports(data)
    coordinator.on_message(0.0, 2, data)
    assert coordinator.slow_start is not None and not coordinator.slow_start.reports.received


@unhurried
@given(st.lists(st.floats(0.1, 0.5), min_size=2, max_size=9), st.floats(0, 1), st.floats(0, 1))
def test_a_false_observation_moves_nothing_beyond_what_others_saw(
    speeds: list[float], speed: float, share: float
) -> None:
    rows = [EngineObservation(s, 0.02, s, 0.0) for s in speeds]
    pooled = pool_observations([*rows, EngineObservation(speed, 1.0, share, 0.0)], 1.0)
    assert pooled.speed <= max(speeds) and pooled.work_done <= 0.02 * (len(speeds) + 3) + 1e-9
    assert pooled.share is not None and min(speeds) <= pooled.share <= max(speeds)


def test_the_threshold_counts_warming_engines_and_advises_when_to_retry() -> None:
    settings = FleetSettings(
        dispatchers=4, checks_are_shared=False, sheds_load=True, slow_start=SlowStartSettings()
    )
    coordinator = FleetCoordinator(1, 1, 0.0, settings, 1)
    coordinator.set_engines({z: {f"{z}{i}": 1.0 for i in range(2)} for z in "abc"}, 0.0)
    coordinator.set_members(0.0, [1, 2])
    assert coordinator.slow_start is not None
    coordinator.slow_start.on_list_received(0.0)
    updates = list[ThresholdUpdate]()
    for t in range(0, 3000, 100):
        # Two of four configured instances are alive, so they may use half of 0.3 of six cores.
        coordinator.on_message(
            float(t),
            2,
            encode_demand_reports([DemandReport(2, 1, t + 1, ReportedDemand({20: 1.0, 40: 0.5}))]),
        )
        updates += [a for a in coordinator.step(float(t)) if isinstance(a, ThresholdUpdate)]
    last = updates[-1]
    assert last.threshold is not None and last.threshold.step == 20
    assert (
        last.threshold.admitted_share == pytest.approx(0.9 * 0.97 - 0.5, abs=0.1)
        and last.retry_after_ms == 1500.0
    )


def test_a_restarted_instance_has_a_threshold_within_a_step_interval() -> None:
    coordinator = FleetCoordinator(
        1, 1, 0.0, FleetSettings(dispatchers=4, sheds_load=True, slow_start=SlowStartSettings()), 1
    )
    coordinator.set_engines({"a": ENGINES}, 0.0)
    assert coordinator.demand is not None
    step_times = list[float]()
    while coordinator.next_at() < 1000.0:
        step_times.append(coordinator.next_at())
        coordinator.demand.on_request(step_times[-1], 6.0, 60.0, False)
        coordinator.step(step_times[-1])
        assert coordinator.demand.threshold is not None or step_times[-1] < 50.0
    assert len(step_times) < 25  # steps are this frequent only at first


def test_unreachable_engines_are_no_capacity_to_a_restarted_instance() -> None:
    coordinator = FleetCoordinator(
        1, 1, 0.0, FleetSettings(dispatchers=2, sheds_load=True, slow_start=SlowStartSettings()), 1
    )
    coordinator.set_engines({"a": ENGINES}, 0.0)
    assert coordinator.slow_start is not None
    owned = [coordinator.available_capacity(10.0).owned_cores]
    for engine, succeeded in (("a0", False), ("a1", True)):
        coordinator.on_health_check(20.0, engine, succeeded)
        owned.append(coordinator.available_capacity(20.0).owned_cores)
    cold_capacity = coordinator.slow_start.settings.max_cold_share / 2  # part of an engine
    assert owned == pytest.approx(
        [3 * cold_capacity, 2 * cold_capacity / 2, cold_capacity + cold_capacity * 2 / 3]
    )


def test_a_fleet_returns_by_what_its_engines_bear() -> None:
    with_slow_start, without = simulate_return(7500.0), simulate_return(7500.0, has_slow_start=False)
    assert (
        with_slow_start.bound_violations == 0
        and with_slow_start.bound_checks > 100
        and with_slow_start.blind_sends == 0
    )
    assert sum(overload.failures for overload in with_slow_start.engine_overloads) == 0
    begin, end = 0.0, 3000.0
    assert with_slow_start.served_utility(begin, end) > 0.8 * with_slow_start.possible_utility(begin, end)
    assert with_slow_start.served_utility(begin, end) > 1.2 * without.served_utility(begin, end)
    assert with_slow_start.served_utility(5000.0, 7500.0) > 0.95 * with_slow_start.possible_utility(
        5000.0, 7500.0
    )


def test_a_second_power_loss_costs_its_own_time() -> None:
    first, second = simulate_return(3000.0), simulate_return(6000.0, second_loss_at=2000.0)
    served = [
        first.served_utility(0.0, 3000.0) / first.arrived_utility(0.0, 3000.0),
        second.served_utility(3000.0, 6000.0) / second.arrived_utility(3000.0, 6000.0),
    ]
    assert served[1] > 0.9 * served[0] and second.bound_violations == 0


def count_live_members(self: SharedSlowStart, now: float, live: Iterable[int]) -> list[tuple[int, bytes]]:
    self.present = 1 + len(set(live))  # type: ignore[attr-defined]
    return ORIGINAL_STEP(self, now, live)


def limits_for_live_members(self: SharedSlowStart, quota: float) -> dict[str, float]:
    return ORIGINAL_WORK_LIMITS(self, 1 / getattr(self, "present", 1))


def follow_time_only(
    self: SharedSlowStart, warming: WarmingEngine, pooled: PooledObservation, passed_ms: float
) -> bool:
    warming.share = min(warming.share * 2 ** (passed_ms / 1000), 1.0)
    return False


def start_as_proven(self: SharedSlowStart, now: float, engine: str, not_before: float) -> WarmingEngine:
    warming = ORIGINAL_START(self, now, engine, not_before)
    warming.has_answered = True
    return warming


ORIGINAL_STEP, ORIGINAL_WORK_LIMITS, ORIGINAL_START = (
    SharedSlowStart.step,
    SharedSlowStart.work_limits,
    SharedSlowStart._start,
)


def max_engine_load(world: PowerReturn) -> float:
    """Return the highest load of any engine within its window, relative to its capacity at the time."""
    return max(overload.max_load for overload in world.engine_overloads)


@pytest.mark.parametrize(
    "defects, measure, limit, seeds, warm_after_ms, engines_start_at",
    [
        (
            {"step": count_live_members, "work_limits": limits_for_live_members},
            lambda w: w.bound_violations,
            0.0,
            1,
            3000.0,
            0.0,
        ),
        # The highest load of nine engines varies from 1.25 to 1.35 with the seed, so the mean is compared.
        ({"_update_share": follow_time_only}, max_engine_load, 1.3, 8, 20_000.0, 0.0),
        ({"_start": start_as_proven}, lambda w: w.blind_sends, 0.0, 1, 3000.0, 1000.0),
    ],
    ids=["all of the budget for those present", "by the clock", "proof not awaited"],
)
def test_a_removed_guard_is_detected(
    monkeypatch: pytest.MonkeyPatch,
    defects: dict[str, Callable[..., object]],
    measure: Callable[[PowerReturn], float],
    limit: float,
    seeds: int,
    warm_after_ms: float,
    engines_start_at: float,
) -> None:
    def mean() -> float:
        worlds = [
            simulate_return(
                load_factor=3.0, warm_after_ms=warm_after_ms, engines_start_at=engines_start_at, seed=s + 1
            )
            for s in range(seeds)
        ]
        return sum(map(measure, worlds)) / seeds

    assert mean() <= limit
    for name, defect in defects.items():
        monkeypatch.setattr(SharedSlowStart, name, defect)
    assert mean() > limit


def test_a_slow_engine_is_free_at_last() -> None:
    slow_start = make_slow_start(max_duration_ms=3000.0)
    slow_start.on_list_received(0.0)
    for t in range(0, 4000, 100):
        slow_start.on_answer(float(t), "a0", True, 20.0, 60.0)
        slow_start.step(float(t), [])
    assert slow_start.share("a0") == 1.0 and math.isclose(sum(slow_start.cores()), 3.0)
