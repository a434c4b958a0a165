"""Measures the distribution of sends to zones and instances, and the time that keys had no owner;
does no I/O."""

from __future__ import annotations

import math
from collections.abc import Mapping

from cottonhold.emulator.fault_injection.client_model import RequestEnd
from cottonhold.emulator.fault_injection.event_log import BIN_S, RunHistory, Verdict, bin_count
from cottonhold.emulator.fault_injection.script import Scenario
from cottonhold.emulator.fault_injection.zone_distances import zone_of

# An instance is compared with others in a class only if it has at least this number of requests of the class.
MIN_REQUESTS = 100
FULL_SHARE = 0.8  # a zone has fully recovered when it receives this fraction of its usual share of sends
RETURN_WINDOW_S = 1.0  # time over which the share of a recovered zone is measured
MIN_OUTAGE_S = 3.5  # shortest outage for which the share after its third second is measured


def measure_sends(history: RunHistory, verdict: Verdict) -> None:
    """Measure sends by zone over time and, if a zone failed, how they decreased and increased again."""
    scenario, logs = history.scenario, history.logs
    sends = {zone: [0.0] * bin_count(scenario) for zone in scenario.zones}
    all_sends = [send for of_request in history.sends.values() for send in of_request]
    for send in all_sends:
        since_start_s = send.sent_at - logs.load_started_at
        if 0 <= since_start_s < scenario.duration_s:
            sends[zone_of(send.engine)][int(since_start_s / BIN_S)] += 1
    for zone, row in sends.items():
        verdict.series[f"sends {zone}"] = row
    served = sum(send.end == "served" for send in all_sends)
    verdict.figures["attempts_per_served"] = len(all_sends) / max(served, 1)
    health_checks = sum(line[1] == "probe" for lines in logs.engines.values() for line in lines)
    verdict.figures["probes"] = float(health_checks)
    if scenario.outage_at_s:
        _measure_outage(scenario, sends, verdict.figures)


def _measure_outage(scenario: Scenario, sends: Mapping[str, list[float]], figures: dict[str, float]) -> None:
    """Measure the failing zone's share of all sends before, during and after its outage."""
    failing = sends[scenario.failing_zone]
    total = [sum(row[step] for row in sends.values()) for step in range(len(failing))]
    outage_at, recovered_at = scenario.outage_at_s, scenario.recovered_at_s

    def share(begin_s: float, end_s: float) -> float:
        begin = int(begin_s / BIN_S)
        end = max(int(end_s / BIN_S), begin + 1)
        return sum(failing[begin:end]) / max(sum(total[begin:end]), 1)

    usual_share = share(1.0, outage_at)
    is_long = recovered_at > outage_at + MIN_OUTAGE_S
    figures["share_before"] = usual_share
    figures["share_out_0_1s"] = share(outage_at, outage_at + 1.0)
    figures["share_out_1_3s"] = share(outage_at + 1.0, outage_at + 3.0)
    figures["share_out_3s_on"] = share(outage_at + 3.0, recovered_at) if is_long else 0.0
    figures["share_back_first_s"] = share(recovered_at, recovered_at + RETURN_WINDOW_S)
    times = _steps(recovered_at, scenario.duration_s - RETURN_WINDOW_S, BIN_S)
    shares = [share(time, time + RETURN_WINDOW_S) for time in times]
    figures["share_back_most"] = max(shares, default=0.0)
    full_at = [
        time for time, zone_share in zip(times, shares, strict=True) if zone_share >= FULL_SHARE * usual_share
    ]
    figures["back_full_after_s"] = full_at[0] - recovered_at if full_at else math.nan


def _steps(begin: float, end: float, step: float) -> list[float]:
    return [begin + i * step for i in range(max(int((end - begin) / step), 0))]


def measure_fairness(history: RunHistory, verdict: Verdict) -> None:
    """Measure the largest difference between instances in the share of a class that they served."""
    scenario, largest = history.scenario, 0.0
    first = [request for request in history.requests.values() if request.attempt == 0]
    for kind in scenario.request_classes:
        shares = []
        for instance in range(scenario.instances):
            ends = [r.end for r in first if r.class_name == kind.name and r.instance == instance]
            if len(ends) >= MIN_REQUESTS:
                shares.append(sum(end is RequestEnd.SERVED for end in ends) / len(ends))
        if shares:
            largest = max(largest, max(shares) - min(shares))
    verdict.figures["unlike_between_instances"] = largest


def measure_migrations(ownerless_counts: Mapping[float, int], verdict: Verdict) -> None:
    """Measure how many keys migrated, and the 99th percentile of the time for which they had no owner.

    Args:
        ownerless_counts: Number of keys by the upper limit of the histogram bucket, in ms.
        verdict: Receives the figures.
    """
    total, passed = sum(ownerless_counts.values()), 0
    verdict.figures["pins_moved"] = float(total)
    for limit_ms, count in sorted(ownerless_counts.items()):
        passed += count
        if passed >= 0.99 * total:
            verdict.figures["ownerless_p99_ms"] = limit_ms
            return
