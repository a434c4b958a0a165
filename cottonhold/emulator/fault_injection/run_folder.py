"""The folder of a scenario run: its logs, its result, and a check of it that is made again later."""

from __future__ import annotations

import contextlib
import json
import math
import re
from collections.abc import Iterable, Mapping
from pathlib import Path
from typing import Any

import msgspec

from cottonhold.emulator.fault_injection.checker import check_run
from cottonhold.emulator.fault_injection.event_log import LogLine, RunLogs, Verdict
from cottonhold.emulator.fault_injection.script import Scenario, decode_scenario

SCENARIO_FILE, RESULT_FILE = "day.json", "result.json"
CLIENT_LOG, LINK_LOG = "clients.jsonl", "links.jsonl"
OWNERLESS_AT_SHUTDOWN = re.compile(rb"session_affinity_ended.* ownerless=\"?([0-9:,a-z]+)")


def read_log(path: Path) -> list[LogLine]:
    """Return the lines of a log; none if there is no such file."""
    if not path.exists():
        return []
    lines = []
    for line in path.read_bytes().splitlines():
        with contextlib.suppress(ValueError):  # one that was being written as its process was killed
            lines.append(json.loads(line))
    return lines


def read_engine_logs(folder: Path, scenario: Scenario) -> dict[str, list[LogLine]]:
    """Return the log of each engine by name."""
    return {name: read_log(folder / f"{name}.jsonl") for name in scenario.engine_names()}


def write_result(folder: Path, result: Mapping[str, Any], link_lines: Iterable[LogLine]) -> None:
    """Write the result of a run, and what was seen on its links."""
    (folder / LINK_LOG).write_bytes(b"\n".join(msgspec.json.encode(line) for line in link_lines))
    (folder / RESULT_FILE).write_bytes(msgspec.json.format(msgspec.json.encode(result)))


def recheck_run(folder: Path) -> Verdict:
    """Return the verdict on a run that was kept. Raises OSError, ScriptError and KeyError."""
    scenario = decode_scenario((folder / SCENARIO_FILE).read_bytes())
    result = json.loads((folder / RESULT_FILE).read_bytes())
    logs = RunLogs(
        read_engine_logs(folder, scenario),
        read_log(folder / CLIENT_LOG),
        result["begun"],
        marks=[(at, verb, name) for at, verb, name in result["marks"]],
        links=read_log(folder / LINK_LOG),
        stalls=[(begin, end) for begin, end in result.get("stalls", [])],
        projected_costs=result.get("told", {}),
        ownerless_counts=dict(result.get("ownerless", [])),
    )
    return check_run(scenario, logs)


def ownerless_times(folder: Path, views: Iterable[Mapping[str, Any]]) -> dict[float, int]:
    """Return how many keys that moved had no owner for up to so many ms: as instances that shut down logged
    it, and as those that still run report it."""
    histograms = [str(view.get("pins", {}).get("ownerless", "")) for view in views]
    for log in sorted(folder.glob("n*.log")):
        histograms += [row.decode() for row in OWNERLESS_AT_SHUTDOWN.findall(log.read_bytes())]
    counts: dict[float, int] = {}
    for histogram in filter(None, histograms):
        for bucket, count in (part.split(":") for part in histogram.split(",")):
            limit_ms = math.inf if bucket == "more" else float(bucket)
            counts[limit_ms] = counts.get(limit_ms, 0) + int(count)
    return dict(sorted(counts.items()))
