"""What is counted over many power losses: loads by their number, whatever asked for them and wherever."""

from __future__ import annotations

import json
from collections import Counter
from collections.abc import Callable
from pathlib import Path

import pytest

from cottonhold.emulator.fault_injection.event_log import LogLine
from cottonhold.emulator.fault_injection.power_loss_tally import (
    Tally,
    observe_power_loss,
    timeline,
    unanswered,
)
from cottonhold.emulator.fault_injection.power_losses import PowerLossDraw, PowerLossMoment
from cottonhold.emulator.fault_injection.worker_pool import PROGRAMS, WorkerPool

CUT = 103.0
NAMES = ("n0", "n1", "n2", "n3")

Ledgers = dict[str, list[LogLine]]


def clean() -> Ledgers:
    """Load 7 has begun at a0 as power goes; its retry is told so at n1. Load 8 had not come that far: its
    retry is sent."""
    return {
        "clients": [
            [101.0, "ask", "r1", "load", 0, 0, 7, 5000],
            [102.9, "ask", "r2", "load", 0, 0, 8, 5000],
            [103.0, "broken", "r1", ""],
            [103.0, "broken", "r2", ""],
            [104.0, "ask", "r3", "load", 1, 1, 7, 2000],
            [104.1, "failed", "r3", "the load was sent before; it may have run"],
            [104.0, "ask", "r4", "load", 1, 1, 8, 3900],
            [104.5, "served", "r4", "b0"],
        ],
        "a0": [[101.1, "get", "r1", "load", "k7", 7, 300.0], [101.1, "run", "r1"], [103.5, "start", ""]],
        "b0": [
            [104.1, "get", "r4", "load", "k8", 8, 300.0],
            [104.1, "run", "r4"],
            [104.4, "done", "r4"],
        ],
    }


def tallied(ledgers: Ledgers) -> Tally:
    """All lines, with the power loss between."""
    tally = Tally()
    for before in (True, False):
        for name, lines in ledgers.items():
            some = [line for line in lines if (line[0] <= CUT) == before]
            tally.on_client_lines(some) if name == "clients" else tally.on_engine_lines(name, some)
        if before:
            tally.on_power_loss(CUT)
    return tally


def test_one_power_loss_is_counted() -> None:
    found = observe_power_loss(tallied(clean()), CUT - 0.01)
    assert (found.in_flight, found.at_engines, found.unreported) == (2, 1, 1)
    assert found.answers == Counter(may=1, sent=1)
    assert tallied(clean()).duplicates == [] and unanswered(tallied(clean()), [CUT], 200.0) == []


def ran_again(ledgers: Ledgers) -> None:
    """Load 7's retry is sent, and begins; the first one never came to its end."""
    ledgers["b0"] += [[104.2, "get", "r3", "load", "k7", 7, 300.0], [104.2, "run", "r3"]]


def ran_again_under_one_ref(ledgers: Ledgers) -> None:
    ledgers["a0"] += [[104.2, "get", "r1", "load", "k7", 7, 300.0], [104.2, "run", "r1"]]


def ran_again_after_its_end(ledgers: Ledgers) -> None:
    ledgers["b0"] += [[104.7, "get", "r5", "load", "k8", 8, 300.0], [104.7, "run", "r5"]]


@pytest.mark.parametrize(
    "plant, number", [(ran_again, 7), (ran_again_under_one_ref, 7), (ran_again_after_its_end, 8)]
)
def test_a_load_that_ran_twice_is_found(plant: Callable[[Ledgers], None], number: int) -> None:
    ledgers = clean()
    plant(ledgers)
    tally = tallied(ledgers)
    assert tally.duplicates == [number]
    story = timeline(tally.load(number), 100.0, [(CUT, "kill", "n0")])
    assert sum("BEGAN" in line for line in story) == 2 and any("kill n0" in line for line in story)


def test_what_came_and_never_began_is_no_run() -> None:
    ledgers = clean()
    ledgers["b0"] += [[104.2, "get", "r3", "load", "k7", 7, 300.0], [104.3, "drop", "r3"]]
    assert tallied(ledgers).duplicates == []


@pytest.mark.parametrize("asked, found", [(106.0, 1), (103.5, 0), (199.9, 0)])
def test_a_try_without_an_answer_is_found_unless_power_went(asked: float, found: int) -> None:
    ledgers = clean()
    ledgers["clients"] += [
        [asked, "ask", "r9", "load", 2, 0, 9, 5000],
        [asked + 5.5, "nothing", "r9", ""],
    ]
    assert len(unanswered(tallied(ledgers), [CUT], 150.0)) == found


@pytest.mark.parametrize("seed", range(5))
def test_cuts_are_drawn_alike_and_one_folder_is_wrong_at_a_time(seed: int) -> None:
    cuts = list(PowerLossDraw(seed, NAMES).power_losses(300))
    assert cuts == list(PowerLossDraw(seed, NAMES).power_losses(300))
    assert {cut.moment for cut in cuts} == set(PowerLossMoment) and any(cut.away for cut in cuts)
    assert all(any(getattr(cut, what) for cut in cuts) for what in ("emptied", "restored", "backup"))
    wrong = ""
    for cut in cuts:
        if cut.waits_for_rest:
            wrong = ""
        now = [name for name in (cut.emptied, cut.restored, cut.backup) if name]
        assert len(now) + bool(wrong) <= 1
        assert sorted([*cut.order, *cut.away]) == list(NAMES)
        wrong = now[0] if now else wrong
        assert wrong not in cut.away


def test_what_a_zygote_starts_speaks_and_ends_with_it(tmp_path: Path) -> None:
    settings = json.dumps({"id": "a0", "port": 0, "ledger": str(tmp_path / "a0.jsonl")})
    zygote = WorkerPool()
    try:
        with (tmp_path / "log").open("ab") as log:
            one, other = (zygote.start(PROGRAMS[0], [settings], log, pipes=True) for _ in range(2))
        assert one.stdout is not None and int(one.stdout.readline()) > 0
        assert one.poll() is None
        one.kill()
        assert one.wait(60.0) == 0 and one.poll() == 0
        one.kill()  # of one that has ended: nothing
        assert other.poll() is None
    finally:
        zygote.close()
    assert other.wait(60.0) == 0
    for stream in (one.stdin, one.stdout, other.stdin, other.stdout):
        assert stream is not None
        stream.close()
