"""Checks and measures a run from nothing but the logs of engines, clients and links; does no I/O.

A finding is a broken rule with its evidence.
"""

from __future__ import annotations

from collections.abc import Iterable

from cottonhold.emulator.fault_injection.event_log import RunLogs, Verdict, read_history
from cottonhold.emulator.fault_injection.executions import check_executions
from cottonhold.emulator.fault_injection.projection_check import measure_projection
from cottonhold.emulator.fault_injection.recovery_quality import measure_recovery
from cottonhold.emulator.fault_injection.remote_service_cost import measure_distance
from cottonhold.emulator.fault_injection.request_rules import (
    check_drains,
    check_engine_overload,
    check_order,
    check_requests,
    check_sends,
)
from cottonhold.emulator.fault_injection.script import Scenario
from cottonhold.emulator.fault_injection.send_figures import (
    measure_fairness,
    measure_migrations,
    measure_sends,
)
from cottonhold.emulator.fault_injection.utility_figures import measure_offered, measure_utility

COLUMNS = (
    "worth",
    "worth_out",
    "worth_after_5s",
    "share_out_0_1s",
    "share_out_1_3s",
    "share_out_3s_on",
    "share_back_first_s",
    "share_back_most",
    "back_full_after_s",
    "p99_ms",
)
OPTIONAL_COLUMNS = (
    "return_first_3s",
    "return_ramp",
    "return_warm",
    "unlike_return",
    "added_ms_out",
    "extra_work_out",
    "off_worth",
    "off_added",
    "off_extra",
    "pins_moved",
    "ownerless_p99_ms",
)


def check_run(scenario: Scenario, logs: RunLogs) -> Verdict:
    """Return the findings and figures of a run."""
    history, verdict = read_history(scenario, logs), Verdict()
    check_requests(history, verdict)
    check_sends(history, verdict)
    check_order(history, verdict)
    check_executions(history, verdict)
    check_engine_overload(history, verdict)
    check_drains(history, verdict)
    measure_utility(history, verdict)
    measure_offered(history, verdict)
    measure_sends(history, verdict)
    measure_fairness(history, verdict)
    if logs.ownerless_counts:
        measure_migrations(logs.ownerless_counts, verdict)
    if scenario.power_restored_at_s:
        measure_recovery(history, verdict)
    if scenario.instance_zones:
        measure_distance(history, verdict)
        measure_projection(history, verdict)
    return verdict


def relative_utility(verdict: Verdict, other: Verdict) -> float:
    """Return the utility served in one run as a share of that in another run with the same load."""
    return sum(verdict.series["worth served"]) / max(sum(other.series["worth served"]), 1e-9)


def summary(rows: Iterable[tuple[str, Verdict]]) -> list[str]:
    """Return a table with the findings and figures of named runs, as lines of Markdown."""
    rows = list(rows)
    columns = [*COLUMNS]
    columns += [c for c in OPTIONAL_COLUMNS if any(c in verdict.figures for _, verdict in rows)]
    lines = ["| day | findings | " + " | ".join(columns) + " |", "| --- " * (len(columns) + 2) + "|"]
    for name, verdict in rows:
        cells = [f"{verdict.figures[c]:.3g}" if c in verdict.figures else "" for c in columns]
        lines.append(f"| {name} | {len(verdict.findings)} | " + " | ".join(cells) + " |")
    return lines
