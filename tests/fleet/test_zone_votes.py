"""Votes, overrides and returns at one instance, with scripted reports of the others."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from cottonhold.fleet.actions import SendFleetMessage
from cottonhold.fleet.coordinator import FleetCoordinator
from cottonhold.fleet.engine_bounds import EngineBounds
from cottonhold.fleet.settings import FleetSettings
from cottonhold.fleet.zone_failover.attempt_pool import pool_counts
from cottonhold.fleet.zone_failover.evacuation import Evacuation
from cottonhold.fleet.zone_failover.failure_evidence import AttemptCounts, ZoneHealth
from cottonhold.fleet.zone_failover.messages import (
    MemberReport,
    Vote,
    ZoneReport,
    encode_zone_reports,
    zone_number,
)
from cottonhold.fleet.zone_failover.operator_overrides import OverrideMode
from cottonhold.fleet.zone_failover.zone_state import LocalEvidence, ZonePhase


def make_coordinator(count: int = 6, dispatchers: int = 6) -> FleetCoordinator:
    fleet = FleetCoordinator(1, 1, 0.0, FleetSettings(dispatchers=dispatchers, checks_are_shared=False), 1)
    fleet.set_engines({z: {f"{z}{i}": 1.0 for i in range(3)} for z in "abc"})
    fleet.set_members(0.0, range(2, count + 1))
    return fleet


def encoded_report(
    member: int, version: int, vote: Vote = Vote.EVACUATE, incarnation: int = 1, **fields: bool
) -> MemberReport:
    zone = ZoneReport(vote, 0, 0, 5, 0.0, fields.get("certain", True), fields.get("suspects", False))
    return MemberReport(member, incarnation, version, 100, 0, {zone_number("a"): zone})


def drive(
    fleet: FleetCoordinator,
    until: float,
    reports_at: Callable[[float], list[MemberReport]],
    start: float = 0.0,
) -> list[EngineBounds]:
    """Pass the others' reports to the coordinator each 100 ms; return the resulting bounds."""
    bounds, now = list[EngineBounds](), start
    while now < until:
        for report in reports_at(now):
            fleet.on_message(now, report.member, encode_zone_reports([report], 200))
        bounds += [a for a in fleet.step(now) if isinstance(a, EngineBounds)]
        now += 100.0
    return bounds


@pytest.mark.parametrize(
    "reports_at, evacuates",
    [
        (lambda t: [encoded_report(2, int(t))], False),  # one instance may have a faulty link
        (
            lambda t: [encoded_report(2, int(t), incarnation=9), encoded_report(2, int(t), incarnation=7)],
            False,
        ),  # two incarnations of one instance
        (lambda t: [encoded_report(m, 1) for m in (2, 3, 4, 5)] if t == 0 or t > 2500 else [], True),
        (lambda t: [encoded_report(m, 1) for m in (2, 3, 4, 5)] if t > 2500 else [], True),
        (lambda t: [encoded_report(m, int(t)) for m in (2, 3)], False),  # exactly a third is not enough
        (lambda t: [encoded_report(m, int(t), certain=False) for m in (2, 3)], False),
        (lambda t: [encoded_report(m, int(t)) for m in (2, 3, 4)], True),
        (lambda t: [encoded_report(m, int(t), Vote(int(t) // 100 % 2)) for m in (2, 3)], False),
        (lambda t: [encoded_report(m, int(t)) for m in (90, 91, 92, 93, 94)], False),  # not members
    ],
    ids=[
        "one instance",
        "two incarnations",
        "reported once",
        "reported late",
        "a third",
        "a third, uncertain",
        "half",
        "alternating",
        "unknown members",
    ],
)
def test_whose_reports_make_an_instance_evacuate(
    reports_at: Callable[[float], list[MemberReport]], evacuates: bool
) -> None:
    fleet = make_coordinator()
    drive(fleet, 4000.0, reports_at)
    assert (fleet.evacuation.states["a"].phase is ZonePhase.EVACUATED) is evacuates


@pytest.mark.parametrize(
    "good, bad, joins",
    [(0, 0, True), (2, 0, True), (6, 3, True), (6, 0, False), (30, 1, False)],
    ids=["no attempts", "too few", "bad attempts", "all good", "one bad of many"],
)
def test_an_instance_joins_others_only_without_contrary_evidence(good: int, bad: int, joins: bool) -> None:
    fleet = make_coordinator()

    def others(now: float) -> list[MemberReport]:
        for i in range(good + bad if now == 1000.0 else 0):
            fleet.on_attempt_sent(now, f"{now}-{i}", f"a{i % 3}", 0)
            fleet.on_attempt_ended(now, f"{now}-{i}", i < good, 1.0)
        return [encoded_report(m, int(now)) for m in (2, 3, 4)] if now >= 1000.0 else []

    drive(fleet, 2500.0, others)
    assert (fleet.evacuation.states["a"].phase is ZonePhase.EVACUATED) is joins


@pytest.mark.parametrize("bad, joins", [(0, False), (2, True)], ids=["still good", "bad attempts"])
def test_healthy_attempts_since_others_voted_prevent_joining_until_bad_ones(bad: int, joins: bool) -> None:
    fleet = make_coordinator()

    def others(now: float) -> list[MemberReport]:
        for n in range(6 if now == 1500.0 else bad if now == 4000.0 else 0):
            fleet.on_attempt_sent(now, f"{now}-{n}", f"a{n % 3}", 0)
            fleet.on_attempt_ended(now, f"{now}-{n}", now < 4000.0, 1.0)
        return [encoded_report(m, int(now)) for m in (2, 3, 4)] if now >= 1500.0 else []

    drive(fleet, 6000.0, others)
    assert (fleet.evacuation.states["a"].phase is ZonePhase.EVACUATED) is joins


def test_an_instance_that_joined_does_not_mistake_late_voters_for_a_return() -> None:
    fleet = make_coordinator()
    drive(
        fleet,
        1500.0,
        lambda t: [encoded_report(m, int(t), Vote.SERVE, suspects=t < 500) for m in range(2, 7)],
    )
    state = fleet.evacuation.states["a"]
    assert state.phase is ZonePhase.EVACUATED and not state.is_fleet_evacuated and state.since < 500.0


@pytest.mark.parametrize(
    "bad, reports", [(0, False), (4, True), (20, True)], ids=["healthy", "suspected", "evacuated"]
)
def test_the_first_to_see_a_fault_reports_it_at_once(bad: int, reports: bool) -> None:
    fleet = make_coordinator()
    fleet.step(0.0)
    assert fleet.next_report > 700.0, "without a fault there is one round per second"
    for n in range(40):
        zone, good = "abc"[n % 3], n % 3 > 0 or n >= 3 * bad
        fleet.on_attempt_sent(90.0, f"{n}", f"{zone}{n // 3 % 3}", 0)
        fleet.on_attempt_ended(90.0, f"{n}", good, 1.0)
    messages = [a for a in fleet.step(100.0) if isinstance(a, SendFleetMessage)]
    assert {a.member for a in messages} == ({2, 3, 4, 5, 6} if reports else set())


def test_relaying_is_bounded_with_five_hundred_members() -> None:
    fleet = make_coordinator(500)
    for member in range(2, 501):
        fleet.on_message(
            float(member), member, encode_zone_reports([encoded_report(member, 1, Vote.SERVE)], 200)
        )
    voters = set(fleet.electorate.voters(600.0))
    relayed = fleet.reporting.relayed(600.0, voters)
    assert len(relayed) <= 32 and {report.member for report in relayed} >= voters - {1}
    assert next(report.member for report in relayed if report.member not in voters) == max(
        set(range(2, 501)) - voters
    )


def test_replayed_reports_evacuate_nothing() -> None:
    fleet, old_messages = (
        make_coordinator(),
        [encode_zone_reports([encoded_report(m, 5)], 200) for m in (2, 3, 4, 5)],
    )
    drive(fleet, 3000.0, lambda t: [encoded_report(m, 1000 + int(t), Vote.SERVE) for m in (2, 3, 4, 5)])
    for data in old_messages:
        fleet.on_message(3000.0, 2, data)
    drive(fleet, 4000.0, lambda t: [], 3000.0)
    assert fleet.evacuation.states["a"].phase is ZonePhase.IN_SERVICE


def test_half_of_a_partitioned_fleet_is_no_majority_for_a_minute() -> None:
    fleet = make_coordinator()
    drive(fleet, 1000.0, lambda t: [encoded_report(m, int(t), Vote.SERVE) for m in (2, 3, 4, 5, 6)])
    fleet.set_members(1000.0, [2, 3])
    drive(fleet, 5000.0, lambda t: [encoded_report(m, int(t), certain=False) for m in (2, 3)], 1000.0)
    assert not fleet.evacuation.states["a"].is_fleet_evacuated
    drive(fleet, 70_000.0, lambda t: [encoded_report(m, int(t), certain=False) for m in (2, 3)], 5000.0)
    assert fleet.evacuation.states["a"].is_fleet_evacuated, "the others no longer have votes"


def test_a_member_that_announced_its_departure_has_no_vote() -> None:
    fleet = make_coordinator()
    drive(fleet, 1000.0, lambda t: [encoded_report(m, int(t), Vote.SERVE) for m in (2, 3, 4, 5, 6)])
    fleet.set_members(1000.0, [2, 3], departures=[4, 5, 6])
    drive(fleet, 3000.0, lambda t: [encoded_report(m, int(t)) for m in (2, 3)], 1000.0)
    assert fleet.evacuation.states["a"].is_fleet_evacuated


def test_a_restarted_instance_learns_of_an_evacuation_from_the_first_reports() -> None:
    fleet = make_coordinator()
    bounds = drive(fleet, 300.0, lambda t: [encoded_report(m, int(t)) for m in (2, 3, 4, 5)])
    assert bounds and bounds[-1].work_rates == {"a0": 0.0, "a1": 0.0, "a2": 0.0}


@pytest.mark.parametrize(
    "mode, phase", [(OverrideMode.EVACUATE, ZonePhase.EVACUATED), (OverrideMode.RETURN, ZonePhase.IN_SERVICE)]
)
def test_an_override_outranks_evidence_until_it_expires_and_reaches_all(
    mode: OverrideMode, phase: ZonePhase
) -> None:
    fleet, other = (
        make_coordinator(),
        FleetCoordinator(2, 1, 0.0, FleetSettings(dispatchers=6, checks_are_shared=False), 2),
    )
    other.set_engines(fleet.engines)
    other.set_members(0.0, [1])
    assert not fleet.issue_override(0.0, "nowhere", mode, 1000.0, "me", "no such zone")
    assert fleet.issue_override(0.0, "a", mode, 5000.0, "someone", "a test")
    phases_by_time = []
    for t in range(0, 20_000, 100):
        if mode is OverrideMode.RETURN:  # despite evidence
            for i in range(6):
                fleet.on_attempt_sent(float(t), f"q{t}{i}", f"a{i % 3}", 0)
                fleet.on_attempt_ended(float(t), f"q{t}{i}", False, 1.0)
        for action in fleet.step(float(t)):
            if getattr(action, "member", 0) == 2:
                other.on_message(float(t), 1, action.data)  # type: ignore[union-attr]
        other.step(float(t))
        phases_by_time.append((t, fleet.evacuation.states["a"].phase, other.evacuation.states["a"].phase))
    during = {
        instance_phase
        for t, *instance_phases in phases_by_time
        if 500 < t < 4900
        for instance_phase in instance_phases
    }
    assert during == {phase}
    (row,) = [r for r in other.status(4000.0, {1: "n0"}) if r["zone"] == "a"]
    assert row["order"]["who"] == "someone" and row["order"]["author"] == "n0"
    if mode is OverrideMode.EVACUATE:
        assert phases_by_time[-1][1:] == (ZonePhase.IN_SERVICE, ZonePhase.IN_SERVICE), (
            "the override has expired"
        )
    else:
        assert phases_by_time[-1][1] is ZonePhase.EVACUATED, "evidence is used again"


def test_one_instance_cannot_dominate_pooled_counts() -> None:
    claims = [AttemptCounts(0, 0, 250), AttemptCounts(20, 0, 0), AttemptCounts(20, 0, 1)]
    pooled = pool_counts(claims)
    assert pooled.bad_reporters == 2 and pooled.bad < 0.4 * (pooled.good + pooled.bad)


def test_the_traffic_share_is_the_lower_median_of_all() -> None:
    evacuation = Evacuation()
    evacuation.set_zones(["a"])
    state = evacuation.states["a"]
    state.phase, state.traffic_share = ZonePhase.RETURNING, 0.8
    reports = [ZoneReport(Vote.SERVE, traffic_share=p) for p in (0.1, 0.2, 1.0)]
    assert evacuation.traffic_share("a", reports) == 0.2 and evacuation.traffic_share("nowhere") == 1.0


@pytest.mark.parametrize(
    "elsewhere, phase",
    [(AttemptCounts(20, 0, 0), ZonePhase.EVACUATED), (AttemptCounts(14, 0, 6), ZonePhase.RETURNING)],
    ids=["this zone only", "all zones"],
)
def test_a_return_fails_by_comparison_with_other_zones(elsewhere: AttemptCounts, phase: ZonePhase) -> None:
    evacuation = Evacuation()
    evacuation.set_zones("ab")
    state = evacuation.states["a"]
    state.phase, state.traffic_share, state.return_started_at = ZonePhase.RETURNING, 0.1, 0.0
    reports = {"a": [ZoneReport(Vote.SERVE, 7, 0, 3)] * 3, "b": [ZoneReport(Vote.SERVE, *elsewhere)] * 3}
    evidence = {
        name: LocalEvidence(ZoneHealth.UNKNOWN, counts, False, True)
        for name, counts in {"a": AttemptCounts(7, 0, 3), "b": elsewhere}.items()
    }
    evacuation.step(300.0, evidence, reports, 4)
    assert state.phase is phase


def test_quiet_time_reduces_the_hold_down() -> None:
    evacuation = Evacuation()
    evacuation.set_zones(["a"])
    evacuation.states["a"].hold_down_ms = 16_000.0
    evidence = {"a": LocalEvidence(ZoneHealth.HEALTHY, AttemptCounts(10, 0, 0), False, True)}
    for t in range(0, 200_000, 1000):
        evacuation.step(float(t), evidence, {}, 1)
    assert evacuation.states["a"].hold_down_ms == evacuation.settings.hold_down_ms


def test_malformed_messages_are_counted_and_change_nothing() -> None:
    fleet = make_coordinator()
    for data in (b"", b"\x01", b"\x01\xff", b"\x04\x01", b"\x02", b"\x09" * 200):
        assert fleet.on_message(1.0, 2, data) == []
    assert fleet.counters["malformed"] == 6 and not fleet.reports.received
