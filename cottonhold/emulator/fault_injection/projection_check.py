"""Compares the projected cost of a zone's outage with the observed cost; does no I/O.

The projection is the zone's row of the failover costs, which the harness read from an instance's local socket
in the second before the fault. It applies only if all engines of the zone fail and no others.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Any

from cottonhold.emulator.fault_injection.client_model import RequestEnd
from cottonhold.emulator.fault_injection.engine_traits import decode_traits
from cottonhold.emulator.fault_injection.event_log import (
    BIN_S,
    ExecutionEnd,
    RequestLog,
    RunHistory,
    Verdict,
)
from cottonhold.emulator.fault_injection.remote_service_cost import client_zone, round_trip_ms
from cottonhold.emulator.fault_injection.script import Scenario
from cottonhold.emulator.fault_injection.zone_distances import zone_of

BASELINE_FROM_S = 2.0  # time from the load's start to the begin of the baseline, which ends at the fault
# One second after the fault, interrupted requests have been retried and the fleet has evacuated the zone. The
# projection includes the work on cold data sets of the first five seconds.
OBSERVED_FROM_S, OBSERVED_SPAN_S = 1.0, 5.0
UTILITY_TOLERANCE = 0.05  # largest difference in the served share of the utility
RELATIVE_TOLERANCE = 0.25  # largest relative difference in the added latency and in the extra work
TOLERANCES = {"worth": UTILITY_TOLERANCE, "added": RELATIVE_TOLERANCE, "extra": RELATIVE_TOLERANCE}
MIN_DIVISOR = 1e-9
FAILING_VERBS = {"power", "kill"}


@dataclass(slots=True, frozen=True)
class ServedWork:
    """Work that clients of one zone had served in one zone.

    Attributes:
        cores: Work per time, in cores.
        latency_ms: Mean round trip, weighted by work, in ms.
    """

    cores: float
    latency_ms: float


ServedByZone = Mapping[tuple[str, str], ServedWork]  # by the client's zone and the engine's


@dataclass(slots=True, frozen=True)
class Span:
    """A time span of the run, in seconds of the logs' clock."""

    begin: float
    end: float

    def __contains__(self, at: float) -> bool:
        return self.begin <= at < self.end

    @property
    def core_ms(self) -> float:
        """The work that one core does in this time, in ms."""
        return 1000 * (self.end - self.begin)


def has_projection(scenario: Scenario) -> bool:
    """Return whether the projection applies: all engines of the failing zone fail together, no others."""
    at = scenario.outage_at_s
    failed_processes = {
        name
        for fault in scenario.faults
        if fault.verb in FAILING_VERBS and fault.at_s == at
        for name in scenario.resolve_target(fault.target)
    }
    other_verbs = {fault.verb for fault in scenario.faults if fault.at_s <= at} - FAILING_VERBS - {"peers"}
    return (
        bool(at)
        and failed_processes == set(scenario.resolve_target(scenario.failing_zone))
        and not other_verbs
    )


def measure_projection(history: RunHistory, verdict: Verdict) -> None:
    """Measure the figures `told_*` (projected), `came_*` (observed) and `off_*` (their difference).

    The names end in:
        worth: Utility served, as a share of the utility requested.
        added: Added latency, in ms; the mean over the work that moved to other zones.
        extra: Additional work on cold data sets, in cores.

    `off_added` and `off_extra` are relative to the observed values. The verdict must contain the series of
    `measure_offered`.
    """
    row = history.logs.projected_costs.get(history.scenario.failing_zone)
    if not row or not has_projection(history.scenario):
        return
    projected, observed = _projected(row["cost"]), _observed(history, verdict)
    for name, value in projected.items():
        difference = abs(value - observed[name])
        if name != "worth":
            difference /= max(abs(observed[name]), MIN_DIVISOR)
        verdict.figures[f"told_{name}"], verdict.figures[f"came_{name}"] = value, observed[name]
        verdict.figures[f"off_{name}"] = difference


def _projected(cost: Mapping[str, Any]) -> dict[str, float]:
    return {
        "worth": cost["worth"] / max(cost["offered"], MIN_DIVISOR),
        "added": cost["added"],
        "extra": cost["extra"],
    }


def _observed(history: RunHistory, verdict: Verdict) -> dict[str, float]:
    started_at, outage_at_s = history.logs.load_started_at, history.scenario.outage_at_s
    fault_at = started_at + outage_at_s
    usual = Span(started_at + BASELINE_FROM_S, fault_at)
    after = Span(fault_at + OBSERVED_FROM_S, fault_at + OBSERVED_FROM_S + OBSERVED_SPAN_S)
    begin_s = outage_at_s + OBSERVED_FROM_S
    return {
        "worth": _served_share(verdict, begin_s, begin_s + OBSERVED_SPAN_S),
        "added": added_latency_ms(_served_work(history, usual), _served_work(history, after)),
        "extra": _cold_cores(history, after) - _cold_cores(history, usual),
    }


def missed_projections(verdict: Verdict) -> list[str]:
    """Return a line of text for each projected figure that differs by more than its tolerance."""
    lines = []
    for name, limit in TOLERANCES.items():
        difference = verdict.figures.get(f"off_{name}", 0.0)
        if not difference <= limit:
            projected, observed = verdict.figures[f"told_{name}"], verdict.figures[f"came_{name}"]
            lines.append(
                f"projected {name} {projected:.3g}, observed {observed:.3g}: "
                f"difference {difference:.2f}, limit {limit}"
            )
    return lines


def _served_share(verdict: Verdict, begin_s: float, end_s: float) -> float:
    requested, served = verdict.series["worth asked"], verdict.series["worth of asked"]
    begin, end = int(begin_s / BIN_S), int(end_s / BIN_S)
    return sum(served[begin:end]) / max(sum(requested[begin:end]), MIN_DIVISOR)


def _served_work(history: RunHistory, span: Span) -> dict[tuple[str, str], ServedWork]:
    """Return the work of the requests that were served within a time span, by client zone and engine zone."""
    work_ms: dict[tuple[str, str], float] = {}
    weighted_ms: dict[tuple[str, str], float] = {}
    for request_id, request in history.requests.items():
        if request.end is RequestEnd.SERVED and request.ended_at in span:
            zones = client_zone(history.scenario, request), zone_of(request.text)
            work = _done_work_ms(history, request_id, request)
            work_ms[zones] = work_ms.get(zones, 0.0) + work
            weighted = work * round_trip_ms(history.scenario, request)
            weighted_ms[zones] = weighted_ms.get(zones, 0.0) + weighted
    return {
        zones: ServedWork(work / span.core_ms, weighted_ms[zones] / max(work, MIN_DIVISOR))
        for zones, work in work_ms.items()
    }


def _done_work_ms(history: RunHistory, request_id: str, request: RequestLog) -> float:
    return math.fsum(
        execution.work_ms
        for execution in history.executions.get(request_id, ())
        if execution.engine == request.text and execution.end is ExecutionEnd.DONE
    )


def added_latency_ms(before: ServedByZone, after: ServedByZone) -> float:
    """Return the mean latency added to the baseline, in ms, over the work that moved to other zones."""
    moved_cores, weighted_ms = 0.0, 0.0
    for (zone, served_in), work in after.items():
        usual = [row for (home, _), row in before.items() if home == zone]
        usual_cores = math.fsum(row.cores for row in usual)
        stayed = before.get((zone, served_in))
        more_cores = work.cores - (stayed.cores if stayed is not None else 0.0)
        if more_cores > 0 and usual_cores > 0:
            usual_ms = _mean_latency_ms(usual, usual_cores)
            moved_cores += more_cores
            weighted_ms += more_cores * (work.latency_ms - usual_ms)
    return weighted_ms / max(moved_cores, MIN_DIVISOR)


def _mean_latency_ms(rows: Iterable[ServedWork], cores: float) -> float:
    return math.fsum(row.cores * row.latency_ms for row in rows) / cores


def _cold_cores(history: RunHistory, span: Span) -> float:
    """Return the additional work that cold data sets caused, in cores."""
    extra_share = decode_traits(history.scenario.engine_traits).cold_data_set_factor - 1.0
    work_ms = math.fsum(
        execution.work_ms
        for executions in history.executions.values()
        for execution in executions
        if execution.read_cold_data and execution.began_at in span
    )
    return extra_share * work_ms / span.core_ms
