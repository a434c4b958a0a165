"""Reads and writes the folder of a scenario run, and checks a stored run again."""

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
from cottonhold.emulator.fault_injection.event_log import LogLine, Mark, RunLogs, Verdict
from cottonhold.emulator.fault_injection.script import Scenario, decode_scenario

SCENARIO_FILE, RESULT_FILE = "day.json", "result.json"
CLIENT_LOG, LINK_LOG = "clients.jsonl", "links.jsonl"
OWNERLESS_AT_SHUTDOWN = re.compile(rb"session_affinity_ended.* ownerless=\"?([0-9:,a-z]+)")


def read_log(path: Path) -> list[LogLine]:
    """Return the complete lines of a log; an empty list if the file does not exist."""
    if not path.exists():
        return []
    lines = []
    for line in path.read_bytes().splitlines():
        with contextlib.suppress(ValueError):  # a line that was cut short when its process was killed
            lines.append(json.loads(line))
    return lines


def read_engine_logs(folder: Path, scenario: Scenario) -> dict[str, list[LogLine]]:
    """Return the log of each engine, by the engine's name."""
    return {name: read_log(folder / f"{name}.jsonl") for name in scenario.engine_names()}


def write_result(folder: Path, result: Mapping[str, Any], link_lines: Iterable[LogLine]) -> None:
    """Write the result of a run, and the log of its links."""
    (folder / LINK_LOG).write_bytes(b"\n".join(msgspec.json.encode(line) for line in link_lines))
    (folder / RESULT_FILE).write_bytes(msgspec.json.format(msgspec.json.encode(result)))


def recheck_run(folder: Path) -> Verdict:
    """Check a stored run again, and return the verdict.

    Raises:
        OSError: A file of the run cannot be read.
        ScriptError: The scenario in the folder is invalid.
        KeyError: The result lacks a field.
    """
    scenario = decode_scenario((folder / SCENARIO_FILE).read_bytes())
    result = json.loads((folder / RESULT_FILE).read_bytes())
    logs = RunLogs(
        read_engine_logs(folder, scenario),
        read_log(folder / CLIENT_LOG),
        result["begun"],
        marks=[Mark(*mark) for mark in result["marks"]],
        links=read_log(folder / LINK_LOG),
        stalls=[(begin, end) for begin, end in result.get("stalls", [])],
        projected_costs=result.get("told", {}),
        ownerless_counts=dict(result.get("ownerless", [])),
    )
    return check_run(scenario, logs)


def ownerless_times(folder: Path, views: Iterable[Mapping[str, Any]]) -> dict[float, int]:
    """Return the histogram of the time for which migrated keys had no owner, in ms, summed over instances.

    Args:
        folder: Folder of the run; instances that shut down have logged their histogram there.
        views: Views of the instances that still run, which contain theirs.
    """
    histograms = [str(view.get("pins", {}).get("ownerless", "")) for view in views]
    for log in sorted(folder.glob("n*.log")):
        histograms += [row.decode() for row in OWNERLESS_AT_SHUTDOWN.findall(log.read_bytes())]
    counts: dict[float, int] = {}
    for histogram in filter(None, histograms):
        for bucket, count in (part.split(":") for part in histogram.split(",")):
            limit_ms = math.inf if bucket == "more" else float(bucket)
            counts[limit_ms] = counts.get(limit_ms, 0) + int(count)
    return dict(sorted(counts.items()))
