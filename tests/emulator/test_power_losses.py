"""The tally of loads over many power losses, and the random power losses themselves."""

from __future__ import annotations

import json
from collections import Counter
from collections.abc import Callable
from pathlib import Path

import pytest

from cottonhold.emulator.fault_injection.event_log import LogLine
from cottonhold.emulator.fault_injection.power_loss_tally import (
    LoadTally,
    observe_power_loss,
    timeline,
    unanswered,
)
from cottonhold.emulator.fault_injection.power_losses import PowerLossGenerator, PowerLossMoment
from cottonhold.emulator.fault_injection.worker_pool import PROGRAMS, WorkerPool

POWER_LOSS_AT = 103.0
INSTANCES = ("n0", "n1", "n2", "n3")

Logs = dict[str, list[LogLine]]


def clean_logs() -> Logs:
    """Return logs of two loads that a power loss interrupts.

    Load 7 has begun at a0, and n1 answers its retry accordingly. Load 8 has not arrived at an engine, and n1
    sends its retry.
    """
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


def tallied(logs: Logs) -> LoadTally:
    """Return the tally of all lines, with a power loss after those up to POWER_LOSS_AT."""
    tally = LoadTally()
    for before in (True, False):
        for name, lines in logs.items():
            some = [line for line in lines if (line[0] <= POWER_LOSS_AT) == before]
            tally.on_client_lines(some) if name == "clients" else tally.on_engine_lines(name, some)
        if before:
            tally.on_power_loss(POWER_LOSS_AT)
    return tally


def test_one_power_loss_is_counted() -> None:
    observed = observe_power_loss(tallied(clean_logs()), POWER_LOSS_AT - 0.01)
    assert (observed.in_flight, observed.at_engines, observed.unreported) == (2, 1, 1)
    assert observed.answers == Counter(may=1, sent=1)
    assert (
        tallied(clean_logs()).duplicates == []
        and unanswered(tallied(clean_logs()), [POWER_LOSS_AT], 200.0) == []
    )


def run_again(logs: Logs) -> None:
    """Let the retry of load 7 begin at an engine although its first execution did not end."""
    logs["b0"] += [[104.2, "get", "r3", "load", "k7", 7, 300.0], [104.2, "run", "r3"]]


def run_again_under_one_id(logs: Logs) -> None:
    logs["a0"] += [[104.2, "get", "r1", "load", "k7", 7, 300.0], [104.2, "run", "r1"]]


def run_again_after_its_end(logs: Logs) -> None:
    logs["b0"] += [[104.7, "get", "r5", "load", "k8", 8, 300.0], [104.7, "run", "r5"]]


@pytest.mark.parametrize(
    "plant_defect, number", [(run_again, 7), (run_again_under_one_id, 7), (run_again_after_its_end, 8)]
)
def test_a_load_that_ran_twice_is_found(plant_defect: Callable[[Logs], None], number: int) -> None:
    logs = clean_logs()
    plant_defect(logs)
    tally = tallied(logs)
    assert tally.duplicates == [number]
    lines = timeline(tally.load(number), 100.0, [(POWER_LOSS_AT, "kill", "n0")])
    assert sum("BEGAN" in line for line in lines) == 2 and any("kill n0" in line for line in lines)


def test_a_load_that_arrived_and_never_began_is_no_execution() -> None:
    logs = clean_logs()
    logs["b0"] += [[104.2, "get", "r3", "load", "k7", 7, 300.0], [104.3, "drop", "r3"]]
    assert tallied(logs).duplicates == []


@pytest.mark.parametrize("asked_at, found", [(106.0, 1), (103.5, 0), (199.9, 0)])
def test_an_unanswered_attempt_is_found_unless_power_was_lost(asked_at: float, found: int) -> None:
    logs = clean_logs()
    logs["clients"] += [
        [asked_at, "ask", "r9", "load", 2, 0, 9, 5000],
        [asked_at + 5.5, "nothing", "r9", ""],
    ]
    assert len(unanswered(tallied(logs), [POWER_LOSS_AT], 150.0)) == found


@pytest.mark.parametrize("seed", range(5))
def test_power_losses_are_drawn_alike_and_one_folder_is_wrong_at_a_time(seed: int) -> None:
    power_losses = list(PowerLossGenerator(seed, INSTANCES).power_losses(300))
    assert power_losses == list(PowerLossGenerator(seed, INSTANCES).power_losses(300))
    assert {power_loss.moment for power_loss in power_losses} == set(PowerLossMoment) and any(
        power_loss.absent for power_loss in power_losses
    )
    assert all(
        any(getattr(power_loss, what) for power_loss in power_losses)
        for what in ("emptied", "restored", "backup")
    )
    wrong_folder = ""
    for power_loss in power_losses:
        if power_loss.waits_until_settled:
            wrong_folder = ""
        now = [name for name in (power_loss.emptied, power_loss.restored, power_loss.backup) if name]
        assert len(now) + bool(wrong_folder) <= 1
        assert sorted([*power_loss.order, *power_loss.absent]) == list(INSTANCES)
        wrong_folder = now[0] if now else wrong_folder
        assert wrong_folder not in power_loss.absent


def test_a_program_of_the_worker_pool_runs_and_ends_with_it(tmp_path: Path) -> None:
    settings = json.dumps({"id": "a0", "port": 0, "ledger": str(tmp_path / "a0.jsonl")})
    pool = WorkerPool()
    try:
        with (tmp_path / "log").open("ab") as log:
            first, second = (pool.start(PROGRAMS[0], [settings], log, pipes=True) for _ in range(2))
        assert first.stdout is not None and int(first.stdout.readline()) > 0
        assert first.poll() is None
        first.kill()
        assert first.wait(60.0) == 0 and first.poll() == 0
        first.kill()  # has no effect on a process that has ended
        assert second.poll() is None
    finally:
        pool.close()
    assert second.wait(60.0) == 0
    for stream in (first.stdin, first.stdout, second.stdin, second.stdout):
        assert stream is not None
        stream.close()
