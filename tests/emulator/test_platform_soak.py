"""A short soak of the platform's program with drawn limits, crowds and signals, and its rules."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest

from cottonhold.emulator.platform.client import Answer, Verdict
from cottonhold.emulator.platform.configuration import LOAD, LOOKUP
from cottonhold.emulator.platform.engine import RUNNING, SERVED, ReceivedAttempt
from cottonhold.emulator.platform.rules import SentRequest, broken_rules
from cottonhold.emulator.platform.soak import play

SHORT_S = 5.0
# Pipelined requests at the least memory, signals in series, kills under halted packets, and an upgrade under
# slow writers.
SEEDS = [4, 9, 13, 18]


@pytest.mark.processes
@pytest.mark.xdist_group("fleet processes")
@pytest.mark.parametrize("seed", SEEDS)
def test_a_drawn_run_breaks_no_rule(seed: int, tmp_path: Path) -> None:
    outcome = asyncio.run(asyncio.wait_for(play(seed, tmp_path, SHORT_S), 90))
    assert outcome.breaks == [], outcome.plan
    assert outcome.verdicts["served"] > 0


def attempt(received_at: float, ended_at: float, state: str = SERVED, engine: str = "s-0") -> ReceivedAttempt:
    return ReceivedAttempt(engine, "aa", LOAD, 1000.0, received_at, state, ended_at)


def request(
    verdict: Verdict | None = Verdict.SERVED,
    class_name: str = LOAD,
    answered_at: float = 10.5,
    left_at: float = 0.0,
) -> SentRequest:
    answer = Answer(verdict) if verdict is not None else None
    return SentRequest(class_name, "aa", 10.0, 1.0, answer, answered_at, left_at)


ONE = [attempt(10.1, 10.4)]
DEFECTS = {
    "no answer": (request(None), ONE, "lost"),
    "an answer that ends": (request(Verdict.NONE), ONE, "lost"),
    "an unreadable answer": (request(Verdict.UNREADABLE), ONE, "lost"),
    "a late answer": (request(answered_at=11.6), ONE, "late"),
    "served without a run": (request(), [], "without a run"),
    "a load refused after it ran": (request(Verdict.REFUSED), ONE, "refused"),
    "a load that ran twice": (request(), [*ONE, attempt(10.5, 10.6)], "duplicate"),
    "two attempts at once": (
        request(class_name=LOOKUP),
        [attempt(10.1, 10.4), attempt(10.2, 10.5, engine="s-1")],
        "one out",
    ),
    "an attempt that never ended": (
        request(class_name=LOOKUP),
        [attempt(10.1, 0.0, RUNNING), attempt(10.2, 10.5)],
        "one out",
    ),
    "sent after the client left": (request(left_at=9.5), ONE, "after its client left"),
}


@pytest.mark.parametrize(("sent", "attempts", "found"), DEFECTS.values(), ids=DEFECTS)
def test_the_rules_find_each_planted_defect(
    sent: SentRequest, attempts: list[ReceivedAttempt], found: str
) -> None:
    breaks = broken_rules([sent], attempts, 0.0)
    assert len(breaks) == 1 and found in breaks[0]


def test_a_sound_run_breaks_no_rule() -> None:
    retried = [attempt(10.1, 10.2, "dropped"), attempt(10.25, 10.4, engine="s-1")]
    assert broken_rules([request()], ONE, 0.0) == []
    assert broken_rules([request(class_name=LOOKUP)], retried, 0.0) == []
    assert broken_rules([request(Verdict.REFUSED)], [], 0.0) == []
