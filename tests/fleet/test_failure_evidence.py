"""What own attempts say of zones: scripted signs, each case with one that must not be taken for it."""

from __future__ import annotations

import random
from collections.abc import Callable

import pytest

from cottonhold.fleet.zone_failover.failure_evidence import FailureEvidence, ZoneHealth

ZONES = {"a": ["a1", "a2", "a3"], "b": ["b1", "b2", "b3"], "c": ["c1", "c2", "c3"]}
Answer = Callable[[str, float], tuple[bool | None, float]]  # engine and time -> good, elapsed
Seen = tuple[float, dict[str, ZoneHealth]]  # ms from the fault


def play(answer: Answer, per_s: float = 90.0, seconds: float = 3.0, seed: int = 1) -> list[Seen]:
    """Attempts spread over all engines, two seconds of them well; then the verdicts, each 100 ms."""
    draw, evidence, now = random.Random(seed), FailureEvidence(), 0.0
    evidence.set_engines(ZONES)
    ends, verdicts = list[tuple[float, str, bool | None, float]](), list[Seen]()
    n, next_weigh = 0, 0.0
    while now < 2000 + seconds * 1000:
        now += draw.expovariate(per_s / 1000)
        while next_weigh < now:
            next_weigh += 100
            for end in sorted(e for e in ends if e[0] <= next_weigh):
                evidence.on_ended(end[0], end[1], end[2], end[3])
            ends = [e for e in ends if e[0] > next_weigh]
            verdicts.append((next_weigh - 2000, evidence.assess(next_weigh)))
        engine = draw.choice([e for there in ZONES.values() for e in there])
        n += 1
        evidence.on_sent(now, f"q{n}", engine, engine[0], 0)
        good, elapsed = answer(engine, now - 2000) if now >= 2000 else (True, 0.0)
        elapsed = elapsed or 20 * draw.lognormvariate(0, 0.4)
        ends.append((now + elapsed, f"q{n}", good, elapsed))
    return [(t, v) for t, v in verdicts if t > 0]


def first(verdicts: list[Seen], zone: str) -> float | None:
    """When a zone was first seen ill or lost, in ms from the fault."""
    return next((t for t, v in verdicts if v[zone] >= ZoneHealth.SLOW), None)


def in_zone(zones: str, good: bool | None, elapsed: float, share: float = 1.0) -> Answer:
    draw = random.Random(5)
    return (
        lambda engine, now: (good, elapsed) if engine[0] in zones and draw.random() < share else (True, 0.0)
    )


@pytest.mark.parametrize(
    "answer, within",
    [
        (in_zone("a", False, 1.0), 600.0),
        (in_zone("a", False, 5000.0), 900.0),  # silent: judged while it is out
        (in_zone("a", True, 250.0), 1200.0),
        (in_zone("a", False, 2.0, share=0.3), 3000.0),
        (in_zone("a", None, 70.0), 1200.0),  # given up and tried elsewhere before it was overdue here
    ],
    ids=["refused", "silent", "slow", "three in ten", "rescued"],
)
@pytest.mark.parametrize("seed", range(5))
def test_a_faulty_zone_is_detected_in_time_and_no_other(answer: Answer, within: float, seed: int) -> None:
    verdicts = play(answer, seed=seed)
    seen = first(verdicts, "a")
    assert seen is not None and seen <= within
    assert first(verdicts, "b") is None and first(verdicts, "c") is None


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
    ids=["one engine", "one and a slip", "all zones fail", "all zones slow", "says nothing", "a little late"],
)
def test_a_fault_that_is_no_zones_raises_no_alarm(answer: Answer) -> None:
    verdicts = play(answer)
    assert [first(verdicts, zone) for zone in ZONES] == [None, None, None]


def test_a_zone_that_is_down_is_told_from_one_that_fails_in_part() -> None:
    lost = {v["a"] for t, v in play(in_zone("a", False, 1.0)) if t > 2000}
    part = {v["a"] for t, v in play(in_zone("a", False, 1.0, share=0.6)) if t > 2000}
    assert lost == {ZoneHealth.DOWN} and ZoneHealth.DOWN not in part and ZoneHealth.FAILING in part


@pytest.mark.parametrize("seed", range(20))
def test_a_healthy_fleet_raises_no_alarm(seed: int) -> None:
    verdicts = play(in_zone("abc", False, 2.0, share=0.02), seconds=5.0, seed=seed)
    assert [first(verdicts, zone) for zone in ZONES] == [None, None, None]


def test_the_usual_duration_does_not_follow_a_fault() -> None:
    verdicts = play(in_zone("a", True, 250.0), seconds=6.0)
    assert all(v["a"] >= ZoneHealth.SLOW for t, v in verdicts if t > 1500)


def test_attempts_of_removed_engines_and_zones_do_not_count() -> None:
    evidence = FailureEvidence()
    evidence.set_engines(ZONES)
    evidence.on_sent(0.0, "q", "a1", "a", 0)
    evidence.set_engines({"b": ["b1"]})
    evidence.on_ended(5.0, "q", False, 5.0)
    evidence.on_ended(5.0, "never", False, 5.0)
    assert evidence.assess(10.0) == {"b": ZoneHealth.UNKNOWN} and not evidence.open_attempts


@pytest.mark.parametrize("returning", [True, False])
def test_a_reset_zone_is_not_judged_by_earlier_attempts(returning: bool) -> None:
    evidence = FailureEvidence()
    evidence.set_engines(ZONES)
    for n in range(400):
        engine = f"{'abc'[n % 3]}{n // 3 % 3 + 1}"
        evidence.on_sent(5.0 * n, f"q{n}", engine, engine[0], 0)
        evidence.on_ended(5.0 * n + 4, f"q{n}", engine[0] != "a" or n < 200, 20.0)
        verdicts = evidence.assess(5.0 * n + 4)
    assert verdicts["a"] is ZoneHealth.DOWN
    evidence.reset("a", is_evacuated=not returning, is_returning=returning)
    assert evidence.assess(2010.0)["a"] is ZoneHealth.UNKNOWN
