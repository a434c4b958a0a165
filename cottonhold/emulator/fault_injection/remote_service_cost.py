"""Measures the cost of service in another zone: added latency, and work on cold data sets; does no I/O."""

from __future__ import annotations

import math
from collections.abc import Callable, Sequence

from cottonhold.emulator.fault_injection.client_model import RequestEnd
from cottonhold.emulator.fault_injection.engine_traits import decode_traits
from cottonhold.emulator.fault_injection.event_log import Execution, RequestLog, RunHistory, Verdict
from cottonhold.emulator.fault_injection.script import Scenario
from cottonhold.emulator.fault_injection.zone_distances import distance_ms, zone_of

OUTAGE_LEAD_S = 1.0  # time after the start of a zone's outage until its figures begin
IsWithin = Callable[[float], bool]


def client_zone(scenario: Scenario, request: RequestLog) -> str:
    """Return the zone of a request's client, or of its instance if the client belongs to none."""
    return request.client_zone or scenario.instance_zones[request.instance]


def round_trip_ms(scenario: Scenario, request: RequestLog) -> float:
    """Return the network round trip of a served request from its client to its instance and engine, in ms."""
    distances, instance_zone = scenario.zone_distances_ms, scenario.instance_zones[request.instance]
    to_instance_ms = distance_ms(distances, client_zone(scenario, request), instance_zone)
    to_engine_ms = distance_ms(distances, instance_zone, zone_of(request.text))
    return 2 * (to_instance_ms + to_engine_ms)


def measure_distance(history: RunHistory, verdict: Verdict) -> None:
    """Measure the cost of distance over the scenario and, with a suffix, before and during a zone's outage.

    The suffixes are `_before` and `_out`; the first two figures also exist for each client zone.

    Figures:
        added_ms: Mean network round trip of served requests, in ms.
        away: Share of served requests that were served in another zone than the client's.
        cold_sets: Share of executions that read a cold data set.
        extra_work: Additional work of these executions, relative to all work without it.
    """
    scenario = history.scenario
    begun = [
        execution
        for executions in history.executions.values()
        for execution in executions
        if execution.began_at < math.inf
    ]
    served = [request for request in history.requests.values() if request.end is RequestEnd.SERVED]
    for suffix, is_within in _spans(history).items():
        in_span = [request for request in served if is_within(request.started_at)]
        _measure_latency(scenario, in_span, suffix, verdict)
        for zone in scenario.zones if suffix else ():
            of_zone = [request for request in in_span if client_zone(scenario, request) == zone]
            _measure_latency(scenario, of_zone, f"{suffix}_{zone}", verdict)
        executions = [execution for execution in begun if is_within(execution.began_at)]
        _measure_cold_work(scenario, executions, suffix, verdict)


def _spans(history: RunHistory) -> dict[str, IsWithin]:
    """Return the time spans to be measured, by the suffix of their figures."""
    spans: dict[str, IsWithin] = {"": lambda at: True}
    scenario, started_at = history.scenario, history.logs.load_started_at
    if scenario.outage_at_s:
        begin = started_at + scenario.outage_at_s
        end = started_at + (scenario.recovered_at_s or math.inf)
        spans["_before"] = lambda at: at < begin
        spans["_out"] = lambda at: begin + OUTAGE_LEAD_S <= at < end
    return spans


def _measure_latency(scenario: Scenario, served: Sequence[RequestLog], suffix: str, verdict: Verdict) -> None:
    added_ms = sum(round_trip_ms(scenario, request) for request in served)
    away = sum(zone_of(request.text) != client_zone(scenario, request) for request in served)
    verdict.figures[f"added_ms{suffix}"] = added_ms / max(len(served), 1)
    verdict.figures[f"away{suffix}"] = away / max(len(served), 1)


def _measure_cold_work(
    scenario: Scenario, executions: Sequence[Execution], suffix: str, verdict: Verdict
) -> None:
    extra_share = decode_traits(scenario.engine_traits).cold_data_set_factor - 1.0
    cold = [execution for execution in executions if execution.read_cold_data]
    work_ms = sum(execution.work_ms for execution in executions)
    cold_ms = sum(execution.work_ms for execution in cold)
    verdict.figures[f"cold_sets{suffix}"] = len(cold) / max(len(executions), 1)
    verdict.figures[f"extra_work{suffix}"] = extra_share * cold_ms / work_ms if work_ms else 0.0
