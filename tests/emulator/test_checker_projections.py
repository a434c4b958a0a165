"""The comparison of projected failover costs with the logs, for correct and wrong projections."""

from __future__ import annotations

from typing import Any

import pytest

from cottonhold.emulator.fault_injection.checker import check_run
from cottonhold.emulator.fault_injection.event_log import LogLine, RunLogs
from cottonhold.emulator.fault_injection.failover_cost_scenarios import SCENARIOS
from cottonhold.emulator.fault_injection.projection_check import has_projection, missed_projections
from cottonhold.emulator.fault_injection.script import Scenario

BY_NAME = {scenario.name: scenario for scenario in SCENARIOS}
LOST = BY_NAME["outlook-lost"]
# Costs that the logs of `run_logs` show. One in ten requests is refused, which leaves a utility of 90 in 100.
# The added latency is the round trip between a and b, in ms. Every other of nine requests a second reads a
# cold data set and needs 0.8 x 20 ms of additional work, which is 0.072 cores.
OBSERVED = {"offered": 100.0, "worth": 90.0, "added": 12.0, "extra": 0.072}


def run_logs(projected: dict[str, float], scenario: Scenario = LOST) -> RunLogs:
    """Return logs with ten requests a second of clients in a, served in a before the fault and in b after it.

    Args:
        projected: Projected costs that differ from the observed ones.
        scenario: The scenario.
    """
    engines: dict[str, list[LogLine]] = {name: [] for name in scenario.engine_names()}
    clients: list[LogLine] = []
    for i in range(int(10 * scenario.duration_s)):
        at, ref = i / 10 + 0.01, f"r{i}"
        clients.append([at, "ask", ref, "cheap", 0, 0, i, 2000.0, "a"])
        if at >= scenario.outage_at_s and i % 10 == 0:
            clients.append([at + 0.03, "refused", ref, "full"])
            continue
        engine, cold = ("b0", i % 2 == 0) if at >= scenario.outage_at_s else ("a0", False)
        if at >= scenario.outage_at_s:
            cold = i % 10 in (1, 3, 5, 7) or i % 20 == 9
        engines[engine] += [
            [at + 0.001, "get", ref, "cheap", "", 0, 20.0],
            [at + 0.002, "run", ref, *(["cold"] if cold else [])],
            [at + 0.022, "done", ref],
        ]
        clients.append([at + 0.03, "served", ref, engine])
    row = {"cost": {name: projected.get(name, value) for name, value in OBSERVED.items()}}
    rows: dict[str, Any] = {"a": row, "b": {"cost": dict.fromkeys(OBSERVED, 1e9)}}
    return RunLogs(engines, clients, 0.0, projected_costs=rows)


@pytest.mark.parametrize(
    "projected, missed",
    [
        ({}, []),
        ({"worth": 94.0, "added": 14.0, "extra": 0.06}, []),
        ({"worth": 83.0}, ["worth"]),
        ({"added": 24.0}, ["added"]),
        ({"extra": 0.0}, ["extra"]),
        ({"worth": 100.0, "added": 0.0, "extra": 1.0}, ["worth", "added", "extra"]),
    ],
    ids=["right", "within", "worth", "added", "extra", "all"],
)
def test_a_wrong_projection_is_found(projected: dict[str, float], missed: list[str]) -> None:
    verdict = check_run(LOST, run_logs(projected))
    assert verdict.figures["came_worth"] == pytest.approx(0.9)
    assert verdict.figures["came_added"] == pytest.approx(12.0)
    assert verdict.figures["came_extra"] == pytest.approx(0.072, rel=0.05)
    assert [line.split()[1] for line in missed_projections(verdict)] == missed


def test_a_projection_holds_only_for_a_zone_that_is_lost_alone() -> None:
    assert [name for name, scenario in BY_NAME.items() if has_projection(scenario)] == [
        "outlook-lost",
        "outlook-uneven",
        "outlook-full",
        "outlook-lossy",
        "outlook-short",
    ]
    without_projection = run_logs({})
    without_projection.projected_costs = {}
    assert not [name for name in check_run(LOST, without_projection).figures if name.startswith("told")]
