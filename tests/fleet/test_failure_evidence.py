"""Health of zones from scripted attempts; each fault has a similar case that must not raise an alarm."""

from __future__ import annotations

import random
from collections.abc import Callable

import pytest

from cottonhold.fleet.zone_failover.failure_evidence import FailureEvidence, ZoneHealth

ZONES = {"a": ["a1", "a2", "a3"], "b": ["b1", "b2", "b3"], "c": ["c1", "c2", "c3"]}
Answer = Callable[[str, float], tuple[bool | None, float]]  # engine, ms since the fault -> succeeded, elapsed
Seen = tuple[float, dict[str, ZoneHealth]]  # ms since the fault, health by zone


def play(answer: Answer, per_s: float = 90.0, seconds: float = 3.0, seed: int = 1) -> list[Seen]:
    """Send attempts to all engines, successful ones for 2 s; return the health each 100 ms after that."""
    random_source, evidence, now = random.Random(seed), FailureEvidence(), 0.0
    evidence.set_engines(ZONES)
    pending, assessments = list[tuple[float, str, bool | None, float]](), list[Seen]()
    sent_count, next_assessment = 0, 0.0
    while now < 2000 + seconds * 1000:
        now += random_source.expovariate(per_s / 1000)
        while next_assessment < now:
            next_assessment += 100
            for end in sorted(e for e in pending if e[0] <= next_assessment):
                evidence.on_ended(end[0], end[1], end[2], end[3])
            pending = [e for e in pending if e[0] > next_assessment]
            assessments.append((next_assessment - 2000, evidence.assess(next_assessment)))
        engine = random_source.choice([e for zone_engines in ZONES.values() for e in zone_engines])
        sent_count += 1
        evidence.on_sent(now, f"q{sent_count}", engine, engine[0], 0)
        succeeded, elapsed = answer(engine, now - 2000) if now >= 2000 else (True, 0.0)
        elapsed = elapsed or 20 * random_source.lognormvariate(0, 0.4)
        pending.append((now + elapsed, f"q{sent_count}", succeeded, elapsed))
    return [(t, health) for t, health in assessments if t > 0]


def first(assessments: list[Seen], zone: str) -> float | None:
    """Return when a zone was first assessed as unhealthy, in ms since the fault; None if never."""
    return next((t for t, health in assessments if health[zone] >= ZoneHealth.SLOW), None)


def in_zone(zones: str, succeeded: bool | None, elapsed: float, share: float = 1.0) -> Answer:
    random_source = random.Random(5)
    return (
        lambda engine, now: (succeeded, elapsed)
        if engine[0] in zones and random_source.random() < share
        else (True, 0.0)
    )


@pytest.mark.parametrize(
    "answer, within_ms",
    [
        (in_zone("a", False, 1.0), 600.0),
        (in_zone("a", False, 5000.0), 900.0),  # no answer: classified while in flight
        (in_zone("a", True, 250.0), 1200.0),
        (in_zone("a", False, 2.0, share=0.3), 3000.0),
        (in_zone("a", None, 70.0), 1200.0),  # cancelled and retried elsewhere before it was overdue
    ],
    ids=["refused", "silent", "slow", "three in ten", "cancelled"],
)
@pytest.mark.parametrize("seed", range(5))
def test_a_faulty_zone_is_detected_in_time_and_no_other(answer: Answer, within_ms: float, seed: int) -> None:
    assessments = play(answer, seed=seed)
    detected_at = first(assessments, "a")
    assert detected_at is not None and detected_at <= within_ms
    assert first(assessments, "b") is None and first(assessments, "c") is None


@pytest.mark.parametrize(
    "answer",
    [
        lambda engine, now: (engine != "a1", 1.0 if engine == "a1" else 0.0),
        lambda engine, now: (engine != "a1" and not (engine == "a2" and 500 < now < 520), 0.0),
        in_zone("abc", False, 2.0, share=0.4),
        in_zone("abc", True, 200.0),
        in_zone("a", None, 1.0),
        in_zone("a", True, 45.0),
    ],
    ids=[
        "one engine",
        "one engine and one failure",
        "all zones fail",
        "all zones slow",
        "cancelled early",
        "slightly late",
    ],
)
def test_a_fault_that_is_no_zones_raises_no_alarm(answer: Answer) -> None:
    assessments = play(answer)
    assert [first(assessments, zone) for zone in ZONES] == [None, None, None]


def test_a_down_zone_is_distinguished_from_a_partly_failing_one() -> None:
    health_of_down = {health["a"] for t, health in play(in_zone("a", False, 1.0)) if t > 2000}
    health_of_failing = {health["a"] for t, health in play(in_zone("a", False, 1.0, share=0.6)) if t > 2000}
    assert (
        health_of_down == {ZoneHealth.DOWN}
        and ZoneHealth.DOWN not in health_of_failing
        and ZoneHealth.FAILING in health_of_failing
    )


@pytest.mark.parametrize("seed", range(20))
def test_a_healthy_fleet_raises_no_alarm(seed: int) -> None:
    assessments = play(in_zone("abc", False, 2.0, share=0.02), seconds=5.0, seed=seed)
    assert [first(assessments, zone) for zone in ZONES] == [None, None, None]


def test_the_usual_duration_does_not_follow_a_fault() -> None:
    assessments = play(in_zone("a", True, 250.0), seconds=6.0)
    assert all(health["a"] >= ZoneHealth.SLOW for t, health in assessments if t > 1500)


def test_attempts_of_removed_engines_and_zones_do_not_count() -> None:
    evidence = FailureEvidence()
    evidence.set_engines(ZONES)
    evidence.on_sent(0.0, "q", "a1", "a", 0)
    evidence.set_engines({"b": ["b1"]})
    evidence.on_ended(5.0, "q", False, 5.0)
    evidence.on_ended(5.0, "never", False, 5.0)
    assert evidence.assess(10.0) == {"b": ZoneHealth.UNKNOWN} and not evidence.open_attempts


@pytest.mark.parametrize("is_returning", [True, False])
def test_a_reset_zone_is_not_judged_by_earlier_attempts(is_returning: bool) -> None:
    evidence = FailureEvidence()
    evidence.set_engines(ZONES)
    for n in range(400):
        engine = f"{'abc'[n % 3]}{n // 3 % 3 + 1}"
        evidence.on_sent(5.0 * n, f"q{n}", engine, engine[0], 0)
        evidence.on_ended(5.0 * n + 4, f"q{n}", engine[0] != "a" or n < 200, 20.0)
        health = evidence.assess(5.0 * n + 4)
    assert health["a"] is ZoneHealth.DOWN
    evidence.reset("a", is_evacuated=not is_returning, is_returning=is_returning)
    assert evidence.assess(2010.0)["a"] is ZoneHealth.UNKNOWN
