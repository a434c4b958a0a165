"""What the judge tells of loads that clients ask for again: by what a load is, across instances.

A clean run has two loads on one key, the first of them asked for twice at two instances; each defect is
planted in it.
"""

from __future__ import annotations

import json
import math
import subprocess
import sys
import time
from collections.abc import Callable
from pathlib import Path

import msgspec
import pytest

from cottonhold.emulator.fault_injection.checker import check_run
from cottonhold.emulator.fault_injection.clients import Kind, Manner
from cottonhold.emulator.fault_injection.event_log import LogLine, RunLogs
from cottonhold.emulator.fault_injection.harness import ownerless_times
from cottonhold.emulator.fault_injection.instance import shift
from cottonhold.emulator.fault_injection.machines import Machines
from cottonhold.emulator.fault_injection.script import Fault, Scenario, ScriptError, check_scenario

DAY = check_scenario(
    Scenario(
        name="judged",
        about="a run by hand",
        instances=2,
        zones=("a", "b"),
        engines=1,
        seconds=4.0,
        kinds=(Kind("load", 1.0, 3000.0, 100.0, load=True),),
        traits={"cold": 1.0},
        order_across=True,
    )
)


def get(engine: list[LogLine], ref: str, number: int, came: float, began: float | None, ended: float) -> None:
    """What an engine writes of a load on k1."""
    engine.append([came, "get", ref, "load", "k1", number, 100.0])
    if began is not None:
        engine.append([began, "run", ref])
    engine.append([ended, "done" if began is not None else "broke", ref])


def clean() -> RunLogs:
    """Load 1 is at a0 and has not begun when n0 breaks; asked again at n1, b0 runs it. Load 2 follows."""
    engines: dict[str, list[LogLine]] = {"a0": [[99.0, "start", ""]], "b0": [[99.0, "start", ""]]}
    get(engines["a0"], "r1", 1, 100.01, None, 100.30)
    get(engines["b0"], "r2", 1, 100.60, 100.61, 100.70)
    get(engines["b0"], "r3", 2, 101.01, 101.02, 101.12)
    clients: list[LogLine] = [
        [100.0, "ask", "r1", "load", 0, 0, 1, 3000],
        [100.3, "broken", "r1", ""],
        [100.5, "ask", "r2", "load", 1, 1, 1, 2500],
        [100.8, "served", "r2", "b0"],
        [101.0, "ask", "r3", "load", 0, 0, 2, 3000],
        [101.2, "served", "r3", "b0"],
    ]
    return RunLogs(engines, clients, 100.0, marks=[(100.3, "kill", "n0")])


Plant = Callable[[RunLogs], object]


def ran_before(seen: RunLogs) -> None:
    """The first attempt had begun when its instance broke."""
    seen.engines["a0"][2:2] = [[100.02, "run", "r1"]]


def ran_to_its_end(seen: RunLogs) -> None:
    seen.engines["a0"][2:] = [[100.02, "run", "r1"], [100.12, "done", "r1"]]


def at_once(seen: RunLogs) -> None:
    """Load 2 is asked for, and begins at the other engine, while load 1 runs."""
    del seen.engines["b0"][4:]
    get(seen.engines["a0"], "r3", 2, 100.62, 100.63, 100.75)
    seen.clients[4:] = [[100.62, "ask", "r3", "load", 0, 0, 2, 3000], [100.9, "served", "r3", "a0"]]


def late(seen: RunLogs) -> None:
    """Load 1 was given up as one that may have run, and runs after load 2 nevertheless."""
    seen.clients[3] = [100.8, "failed", "r2", "the query failed; it may have run"]
    del seen.engines["b0"][1:]
    get(seen.engines["b0"], "r3", 2, 101.01, 101.02, 101.12)
    get(seen.engines["b0"], "r2", 1, 100.60, 101.30, 101.40)


DEFECTS: dict[str, tuple[str, Plant]] = {
    "broken while it ran": ("twice: load 1 on k1", ran_before),
    "ended, and run again": ("twice: load 1 on k1", ran_to_its_end),
    "two of a key at once": ("order: loads 1 and 2 on k1 ran at once", at_once),
    "an old one after a new one": ("order: load 1 on k1 began after load 2", late),
}


def test_a_load_that_never_began_may_be_run_for_the_next_try() -> None:
    verdict = check_run(DAY, clean())
    assert verdict.findings == []
    assert verdict.figures["loads"] == 2 and verdict.figures["loads_run_twice"] == 0


@pytest.mark.parametrize("name", DEFECTS)
def test_the_judge_finds_a_planted_defect_of_loads(name: str) -> None:
    words, plant = DEFECTS[name]
    seen = clean()
    plant(seen)
    findings = check_run(DAY, seen).findings
    assert findings and all(finding.startswith(words) for finding in findings)


@pytest.mark.parametrize(
    "logs, view, moved, p99",
    [
        ("", "", None, None),
        ('event=session_affinity_ended took=2 waits="10:4" ownerless="10:98,50:2"\n', "", 100.0, 50.0),
        (
            "event=session_affinity_ended ownerless=10:98\nevent=session_affinity_ended ownerless=20:1\n",
            "1000:1",
            100.0,
            20.0,
        ),
        ("event=session_affinity_ended ownerless=10:97\n", "500:1,more:2", 100.0, math.inf),
    ],
    ids=["none moved", "one life", "two lives and one that goes on", "two without an owner for long"],
)
def test_the_time_without_an_owner_is_told_by_key(
    logs: str, view: str, moved: float | None, p99: float | None, tmp_path: Path
) -> None:
    (tmp_path / "n0.log").write_text(logs)
    seen = clean()
    seen.ownerless = ownerless_times(tmp_path, [{"pins": {"ownerless": view}}, {}])
    figures = check_run(DAY, seen).figures
    assert (figures.get("pins_moved"), figures.get("ownerless_p99_ms")) == (moved, p99)


def test_order_across_instances_is_a_figure_where_it_is_no_rule() -> None:
    seen = clean()
    at_once(seen)
    verdict = check_run(msgspec.structs.replace(DAY, order_across=False), seen)
    assert verdict.findings == [] and verdict.figures["order_across"] == 1


# --- clients ---

FAILED = "the query failed; it may have run"


@pytest.mark.parametrize(
    "manner, load, word, text, tried, wanted",
    [
        (Manner(), True, "broken", "", 1, False),
        (Manner(tries=3), False, "refused", "", 2, True),
        (Manner(tries=3), False, "refused", "", 3, False),
        (Manner(asks_again=True), True, "broken", "", 1, True),
        (Manner(asks_again=True), True, "nothing", "", 9, True),
        (Manner(asks_again=True), True, "unreached", "", 9, True),
        (Manner(asks_again=True), True, "broken", "", 50, False),
        (Manner(asks_again=True), True, "served", "a0", 1, False),
        (Manner(asks_again=True), False, "broken", "", 1, False),
        (Manner(asks_again=True), True, "failed", FAILED, 1, False),
        (Manner(asks_again=True, asks_failed=True), True, "failed", FAILED, 1, True),
        (Manner(asks_again=True, asks_failed=True), True, "failed", "unknown table", 1, False),
    ],
)
def test_a_client_asks_again_for_a_load_whose_end_it_did_not_hear(
    manner: Manner, load: bool, word: str, text: str, tried: int, wanted: bool
) -> None:
    assert manner.retries_after(load, word, text, tried) is wanted


# --- machines ---


def test_a_state_folder_is_kept_emptied_and_put_back(tmp_path: Path) -> None:
    machines = Machines(tmp_path)
    machines.restore_old_folder("n0")  # nothing was kept: it stays as it is
    started = machines.start("n0")
    assert json.loads(Path(started["disk"]).read_text()) == {} and not started["clock_s"]
    record = machines.state("n0") / "record"
    record.write_text("of last week")
    machines.apply("keep", "n0", {})
    record.write_text("of today")
    machines.apply("empty", "n0", {})
    assert list(machines.state("n0").iterdir()) == []
    machines.apply("old", "n0", {})
    assert record.read_text() == "of last week"
    machines.apply("disk", "n0", {"state": "full"})
    machines.apply("clock", "n0", {"offset_s": -3.5})
    again = machines.start("n0")
    assert json.loads(Path(again["disk"]).read_text()) == {"full": True} and again["clock_s"] == -3.5


def test_a_wall_clock_is_off_and_the_monotonic_one_is_not(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(time, "time", lambda: 1000.0)
    monkeypatch.setattr(time, "time_ns", lambda: 1000 * 10**9)
    before = time.monotonic()
    shift(-86400.0)
    assert time.time() == 1000.0 - 86400.0 and time.time_ns() == (1000 - 86400) * 10**9
    assert 0.0 <= time.monotonic() - before < 60.0


@pytest.mark.parametrize("module", ["engine", "instance"])
def test_a_process_that_was_prepared_ends_if_it_is_never_told(module: str) -> None:
    program = [sys.executable, "-m", f"cottonhold.emulator.fault_injection.{module}", "--waits"]
    assert subprocess.run(program, stdin=subprocess.DEVNULL, timeout=60).returncode == 0


def test_a_prepared_engine_serves_as_it_is_told_and_hears_what_follows(tmp_path: Path) -> None:
    """Both lines come at once: the second is left for the control of the engine that serves."""
    ledger = tmp_path / "a0.jsonl"
    settings = {"id": "a0", "port": 0, "ledger": str(ledger), "traits": {}}
    lines = json.dumps(settings) + "\n" + json.dumps({"slow": 7.0}) + "\n"
    program = [sys.executable, "-m", "cottonhold.emulator.fault_injection.engine", "--waits"]
    done = subprocess.run(program, input=lines.encode(), capture_output=True, timeout=60)
    assert done.returncode == 0 and int(done.stdout) > 0
    words = [json.loads(line)[1:] for line in ledger.read_text().splitlines()]
    assert words == [["start", ""], ["set", "", "slow", 7.0]]


# --- script ---


@pytest.mark.parametrize(
    "target, wanted",
    [
        ("n*", {"n0", "n1"}),
        ("e*", {"a0", "b0"}),
        ("zone-a", {"n0", "a0"}),
        ("a", {"a0"}),
        ("*", {"n0", "n1", "a0", "b0"}),
    ],
)
def test_a_target_names_hosts(target: str, wanted: set[str]) -> None:
    day = Scenario(name="d", about="", instances=2, zones=("a", "b"), engines=1, homes=("a", "b"))
    assert set(check_scenario(day).pick(target)) == wanted


@pytest.mark.parametrize(
    "day",
    [
        Scenario(name="d", about="", faults=(Fault(1.0, "empty", "n0"),)),
        Scenario(name="d", about="", state=True, faults=(Fault(1.0, "disk", "n0", words={"state": "odd"}),)),
        Scenario(name="d", about="", homes=("a",)),
        Scenario(name="d", about="", instances=1, homes=("elsewhere",)),
    ],
    ids=["no folders", "no such disk", "a home for one of six", "no such zone"],
)
def test_a_day_of_machines_that_cannot_be_played_is_refused(day: Scenario) -> None:
    with pytest.raises(ScriptError):
        check_scenario(day)
