"""The checker's rules about loads that clients retry at other instances under other request ids.

A correct run has two loads on one key, and a client sends the first one to two instances. Each defect is
added to that run.
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
from cottonhold.emulator.fault_injection.client_model import ClientBehaviour, RequestClass, RequestEnd
from cottonhold.emulator.fault_injection.event_log import LogLine, Mark, RunLogs
from cottonhold.emulator.fault_injection.instance import shift_wall_clock
from cottonhold.emulator.fault_injection.machines import Machines
from cottonhold.emulator.fault_injection.run_folder import ownerless_times
from cottonhold.emulator.fault_injection.script import Fault, Scenario, ScriptError, check_scenario

SCENARIO = check_scenario(
    Scenario(
        name="judged",
        description="a run by hand",
        instances=2,
        zones=("a", "b"),
        engines_per_zone=1,
        duration_s=4.0,
        request_classes=(RequestClass("load", 1.0, 3000.0, 100.0, is_load=True),),
        engine_traits={"cold": 1.0},
        orders_across=True,
    )
)


def log_execution(
    engine: list[LogLine], ref: str, number: int, arrived_at: float, began_at: float | None, ended_at: float
) -> None:
    """Add the lines that an engine logs about a load on k1; without `began_at` its connection breaks."""
    engine.append([arrived_at, "get", ref, "load", "k1", number, 100.0])
    if began_at is not None:
        engine.append([began_at, "run", ref])
    engine.append([ended_at, "done" if began_at is not None else "broke", ref])


def clean_logs() -> RunLogs:
    """Load 1 is at a0 and has not begun when n0 breaks; asked again at n1, b0 runs it. Load 2 follows."""
    engines: dict[str, list[LogLine]] = {"a0": [[99.0, "start", ""]], "b0": [[99.0, "start", ""]]}
    log_execution(engines["a0"], "r1", 1, 100.01, None, 100.30)
    log_execution(engines["b0"], "r2", 1, 100.60, 100.61, 100.70)
    log_execution(engines["b0"], "r3", 2, 101.01, 101.02, 101.12)
    clients: list[LogLine] = [
        [100.0, "ask", "r1", "load", 0, 0, 1, 3000],
        [100.3, "broken", "r1", ""],
        [100.5, "ask", "r2", "load", 1, 1, 1, 2500],
        [100.8, "served", "r2", "b0"],
        [101.0, "ask", "r3", "load", 0, 0, 2, 3000],
        [101.2, "served", "r3", "b0"],
    ]
    return RunLogs(engines, clients, 100.0, marks=[Mark(100.3, "kill", "n0")])


Defect = Callable[[RunLogs], object]


def run_before_the_failure(logs: RunLogs) -> None:
    """Let the first attempt begin before its instance fails."""
    logs.engines["a0"][2:2] = [[100.02, "run", "r1"]]


def run_to_the_end_before_the_failure(logs: RunLogs) -> None:
    logs.engines["a0"][2:] = [[100.02, "run", "r1"], [100.12, "done", "r1"]]


def run_at_once(logs: RunLogs) -> None:
    """Let load 2 be requested, and begin at the other engine, while load 1 runs."""
    del logs.engines["b0"][4:]
    log_execution(logs.engines["a0"], "r3", 2, 100.62, 100.63, 100.75)
    logs.clients[4:] = [[100.62, "ask", "r3", "load", 0, 0, 2, 3000], [100.9, "served", "r3", "a0"]]


def run_in_reverse_order(logs: RunLogs) -> None:
    """Let load 1 be answered as one that may have run, and run after load 2 nevertheless."""
    logs.clients[3] = [100.8, "failed", "r2", "the query failed; it may have run"]
    del logs.engines["b0"][1:]
    log_execution(logs.engines["b0"], "r3", 2, 101.01, 101.02, 101.12)
    log_execution(logs.engines["b0"], "r2", 1, 100.60, 101.30, 101.40)


DEFECTS: dict[str, tuple[str, Defect]] = {
    "broken while it ran": ("twice: load 1 on k1", run_before_the_failure),
    "ended, and run again": ("twice: load 1 on k1", run_to_the_end_before_the_failure),
    "two of a key at once": ("order: loads 1 and 2 on k1 ran at once", run_at_once),
    "an old one after a new one": ("order: load 1 on k1 began after load 2", run_in_reverse_order),
}


def test_a_load_that_never_began_may_be_run_for_a_retry() -> None:
    verdict = check_run(SCENARIO, clean_logs())
    assert verdict.findings == []
    assert verdict.figures["loads"] == 2 and verdict.figures["loads_run_twice"] == 0


@pytest.mark.parametrize("name", DEFECTS)
def test_the_checker_finds_a_planted_defect_of_loads(name: str) -> None:
    finding_start, plant_defect = DEFECTS[name]
    logs = clean_logs()
    plant_defect(logs)
    findings = check_run(SCENARIO, logs).findings
    assert findings and all(finding.startswith(finding_start) for finding in findings)


@pytest.mark.parametrize(
    "log_text, view, migrated, p99",
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
def test_the_time_without_an_owner_is_measured_by_key(
    log_text: str, view: str, migrated: float | None, p99: float | None, tmp_path: Path
) -> None:
    (tmp_path / "n0.log").write_text(log_text)
    logs = clean_logs()
    logs.ownerless_counts = ownerless_times(tmp_path, [{"pins": {"ownerless": view}}, {}])
    figures = check_run(SCENARIO, logs).figures
    assert (figures.get("pins_moved"), figures.get("ownerless_p99_ms")) == (migrated, p99)


def test_order_across_instances_is_a_figure_where_it_is_no_rule() -> None:
    logs = clean_logs()
    run_at_once(logs)
    verdict = check_run(msgspec.structs.replace(SCENARIO, orders_across=False), logs)
    assert verdict.findings == [] and verdict.figures["order_across"] == 1


FAILED = "the query failed; it may have run"


@pytest.mark.parametrize(
    "behaviour, is_load, end, text, attempts, expected",
    [
        (ClientBehaviour(), True, RequestEnd.BROKEN, "", 1, False),
        (ClientBehaviour(max_attempts=3), False, RequestEnd.REFUSED, "", 2, True),
        (ClientBehaviour(max_attempts=3), False, RequestEnd.REFUSED, "", 3, False),
        (ClientBehaviour(retries_unfinished_loads=True), True, RequestEnd.BROKEN, "", 1, True),
        (ClientBehaviour(retries_unfinished_loads=True), True, RequestEnd.TIMED_OUT, "", 9, True),
        (ClientBehaviour(retries_unfinished_loads=True), True, RequestEnd.UNREACHED, "", 9, True),
        (ClientBehaviour(retries_unfinished_loads=True), True, RequestEnd.BROKEN, "", 50, False),
        (ClientBehaviour(retries_unfinished_loads=True), True, RequestEnd.SERVED, "a0", 1, False),
        (ClientBehaviour(retries_unfinished_loads=True), False, RequestEnd.BROKEN, "", 1, False),
        (ClientBehaviour(retries_unfinished_loads=True), True, RequestEnd.FAILED, FAILED, 1, False),
        (
            ClientBehaviour(retries_unfinished_loads=True, retries_failed_loads=True),
            True,
            RequestEnd.FAILED,
            FAILED,
            1,
            True,
        ),
        (
            ClientBehaviour(retries_unfinished_loads=True, retries_failed_loads=True),
            True,
            RequestEnd.FAILED,
            "unknown table",
            1,
            False,
        ),
    ],
)
def test_a_client_retries_a_load_whose_end_it_did_not_receive(
    behaviour: ClientBehaviour, is_load: bool, end: RequestEnd, text: str, attempts: int, expected: bool
) -> None:
    assert behaviour.retries_after(is_load, end, text, attempts) is expected


def test_a_state_folder_is_copied_emptied_and_restored(tmp_path: Path) -> None:
    machines = Machines(tmp_path)
    machines.restore_old_folder("n0")  # there is no copy: the folder is unchanged
    started = machines.start("n0")
    assert json.loads(Path(started["disk"]).read_text()) == {} and not started["clock_s"]
    record = machines.state_folder("n0") / "record"
    record.write_text("of last week")
    machines.apply("keep", "n0", {})
    record.write_text("of today")
    machines.apply("empty", "n0", {})
    assert list(machines.state_folder("n0").iterdir()) == []
    machines.apply("old", "n0", {})
    assert record.read_text() == "of last week"
    machines.apply("disk", "n0", {"state": "full"})
    machines.apply("clock", "n0", {"offset_s": -3.5})
    restarted = machines.start("n0")
    assert json.loads(Path(restarted["disk"]).read_text()) == {"full": True} and restarted["clock_s"] == -3.5


def test_the_wall_clock_is_shifted_and_the_monotonic_one_is_not(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(time, "time", lambda: 1000.0)
    monkeypatch.setattr(time, "time_ns", lambda: 1000 * 10**9)
    before = time.monotonic()
    shift_wall_clock(-86400.0)
    assert time.time() == 1000.0 - 86400.0 and time.time_ns() == (1000 - 86400) * 10**9
    assert 0.0 <= time.monotonic() - before < 60.0


@pytest.mark.parametrize("module", ["engine", "instance"])
def test_a_prepared_process_ends_if_it_gets_no_settings(module: str) -> None:
    program = [sys.executable, "-m", f"cottonhold.emulator.fault_injection.{module}", "--waits"]
    assert subprocess.run(program, stdin=subprocess.DEVNULL, timeout=60).returncode == 0


def test_a_prepared_engine_takes_its_settings_and_later_changes(tmp_path: Path) -> None:
    """Both lines are sent together: the second must be left for the reader of trait changes."""
    ledger = tmp_path / "a0.jsonl"
    settings = {"id": "a0", "port": 0, "ledger": str(ledger), "traits": {}}
    lines = json.dumps(settings) + "\n" + json.dumps({"slow": 7.0}) + "\n"
    program = [sys.executable, "-m", "cottonhold.emulator.fault_injection.engine", "--waits"]
    finished = subprocess.run(program, input=lines.encode(), capture_output=True, timeout=60)
    assert finished.returncode == 0 and int(finished.stdout) > 0
    events = [json.loads(line)[1:] for line in ledger.read_text().splitlines()]
    assert events == [["start", ""], ["set", "", "slow", 7.0]]


@pytest.mark.parametrize(
    "target, expected",
    [
        ("n*", {"n0", "n1"}),
        ("e*", {"a0", "b0"}),
        ("zone-a", {"n0", "a0"}),
        ("a", {"a0"}),
        ("*", {"n0", "n1", "a0", "b0"}),
    ],
)
def test_a_target_names_hosts(target: str, expected: set[str]) -> None:
    scenario = Scenario(
        name="d", description="", instances=2, zones=("a", "b"), engines_per_zone=1, instance_zones=("a", "b")
    )
    assert set(check_scenario(scenario).resolve_target(target)) == expected


@pytest.mark.parametrize(
    "scenario",
    [
        Scenario(name="d", description="", faults=(Fault(1.0, "empty", "n0"),)),
        Scenario(
            name="d",
            description="",
            has_state_folders=True,
            faults=(Fault(1.0, "disk", "n0", options={"state": "odd"}),),
        ),
        Scenario(name="d", description="", instance_zones=("a",)),
        Scenario(name="d", description="", instances=1, instance_zones=("elsewhere",)),
    ],
    ids=["no folders", "no such disk", "a zone for one of six instances", "no such zone"],
)
def test_an_invalid_scenario_of_machines_is_rejected(scenario: Scenario) -> None:
    with pytest.raises(ScriptError):
        check_scenario(scenario)
