"""What was projected of a zone's loss, against what was observed. Pure.

The projection is the zone's row of the failover costs, from an instance's local socket in the second before
the fault. It holds only where the zone is lost whole, and alone.
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

USUAL_FROM_S = 2.0  # after the start of the load, what is usual is measured up to the fault
# After the fault: by then requests that broke with the zone have been retried, and the fleet has left it. The
# projection counts cold work for five seconds.
OBSERVED_FROM_S, OBSERVED_SPAN_S = 1.0, 5.0
UTILITY_TOLERANCE = 0.05  # absolute
RELATIVE_TOLERANCE = 0.25  # of the added latency and extra work, as a part of what was observed
TOLERANCES = {"worth": UTILITY_TOLERANCE, "added": RELATIVE_TOLERANCE, "extra": RELATIVE_TOLERANCE}
MIN_DIVISOR = 1e-9
FAILING_VERBS = {"power", "kill"}


@dataclass(slots=True, frozen=True)
class ServedWork:
    """Work of one client zone that was served in one zone. latency_ms: mean of the round trips by work."""

    cores: float
    latency_ms: float


ServedByZone = Mapping[tuple[str, str], ServedWork]  # by the client's zone and the engine's


@dataclass(slots=True, frozen=True)
class Span:
    """A time of the run, in seconds of the logs' clock."""

    begin: float
    end: float

    def __contains__(self, at: float) -> bool:
        return self.begin <= at < self.end

    @property
    def core_ms(self) -> float:
        """The work that one core does in this time."""
        return 1000 * (self.end - self.begin)


def has_projection(scenario: Scenario) -> bool:
    """Return whether a projection holds: all engines of the failing zone are lost at once, and no others."""
    at = scenario.outage_at_s
    lost = {
        name
        for fault in scenario.faults
        if fault.verb in FAILING_VERBS and fault.at_s == at
        for name in scenario.pick(fault.target)
    }
    other_verbs = {fault.verb for fault in scenario.faults if fault.at_s <= at} - FAILING_VERBS - {"peers"}
    return bool(at) and lost == set(scenario.pick(scenario.failing_zone)) and not other_verbs


def measure_projection(history: RunHistory, verdict: Verdict) -> None:
    """Measure figures `told_` (projected), `came_` (observed) and `off_` (their difference).

    worth: the utility, as a part of what is requested. added: ms of latency on top, mean of the work that
    moved. extra: cores of cold work more than before. off_added, off_extra: as parts of what was observed.
    Needs the series of utility requested.
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
    usual = Span(started_at + USUAL_FROM_S, fault_at)
    after = Span(fault_at + OBSERVED_FROM_S, fault_at + OBSERVED_FROM_S + OBSERVED_SPAN_S)
    begin_s = outage_at_s + OBSERVED_FROM_S
    return {
        "worth": _served_share(verdict, begin_s, begin_s + OBSERVED_SPAN_S),
        "added": added_latency_ms(_served_work(history, usual), _served_work(history, after)),
        "extra": _cold_cores(history, after) - _cold_cores(history, usual),
    }


def missed_projections(verdict: Verdict) -> list[str]:
    """Return what was projected and is off by more than its tolerance, as lines of text."""
    lines = []
    for name, limit in TOLERANCES.items():
        difference = verdict.figures.get(f"off_{name}", 0.0)
        if not difference <= limit:
            told, came = verdict.figures[f"told_{name}"], verdict.figures[f"came_{name}"]
            lines.append(
                f"foretold {name} {told:.3g}, came {came:.3g}: off by {difference:.2f}, limit {limit}"
            )
    return lines


def _served_share(verdict: Verdict, begin_s: float, end_s: float) -> float:
    requested, served = verdict.series["worth asked"], verdict.series["worth of asked"]
    begin, end = int(begin_s / BIN_S), int(end_s / BIN_S)
    return sum(served[begin:end]) / max(sum(requested[begin:end]), MIN_DIVISOR)


def _served_work(history: RunHistory, span: Span) -> dict[tuple[str, str], ServedWork]:
    """Return what was served of what ended in a time."""
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
    """Return the mean latency on top of the usual one, over the work that moved."""
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
    """Return the cores of work that cold data sets took on top."""
    extra_share = decode_traits(history.scenario.engine_traits).cold_data_set_factor - 1.0
    work_ms = math.fsum(
        execution.work_ms
        for executions in history.executions.values()
        for execution in executions
        if execution.read_cold_data and execution.began_at in span
    )
    return extra_share * work_ms / span.core_ms
