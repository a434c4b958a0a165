"""Compares the utility served with the utility requested and the most that engines could serve;
does no I/O."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Iterator, Mapping

from cottonhold.emulator.fault_injection.client_model import RequestEnd
from cottonhold.emulator.fault_injection.engine_traits import decode_traits
from cottonhold.emulator.fault_injection.event_log import (
    BIN_S,
    LogLine,
    MarkVerb,
    RequestLog,
    RunHistory,
    RunLogs,
    Verdict,
    bin_count,
)
from cottonhold.emulator.fault_injection.request_rules import is_excused
from cottonhold.emulator.fault_injection.script import Scenario

OUTAGE_LEAD_S = 1.0  # time after the start of a zone's outage until its figures begin
RECOVERED_AFTER_S = 5.0  # time after a zone's recovery until the figures of normal service begin
PERCENTILES = (50, 99)


def ratio(numerator: list[float], denominator: list[float], begin: int = 0, end: int | None = None) -> float:
    """Return the ratio of the sums of two series over the same steps; 1 if the denominator's sum is 0."""
    total = sum(denominator[begin:end])
    return sum(numerator[begin:end]) / total if total else 1.0


def first_attempts(requests: Mapping[str, RequestLog]) -> dict[int, RequestLog]:
    """Return the first attempt of each client."""
    first: dict[int, RequestLog] = {}
    for request in requests.values():
        first.setdefault(request.client, request)
    return first


def step_of(request: RequestLog, logs: RunLogs, steps: int) -> int:
    """Return the step of a series in which a request began, at most the last one."""
    return min(int((request.started_at - logs.load_started_at) / BIN_S), steps - 1)


def capacity(scenario: Scenario, logs: RunLogs) -> list[float]:
    """Return the work that the running engines could do at their current speed, by step, in ms."""
    steps = [0.0] * bin_count(scenario)
    for engine, lines in logs.engines.items():
        for step, work_ms in enumerate(_engine_capacity(engine, lines, scenario, logs)):
            steps[step] += work_ms
    return steps


def _engine_capacity(engine: str, lines: list[LogLine], scenario: Scenario, logs: RunLogs) -> Iterator[float]:
    traits = decode_traits(scenario.engine_traits)
    events = _engine_events(engine, lines, logs)
    runs, started_at, position = False, -math.inf, 0
    for step in range(bin_count(scenario)):
        middle = logs.load_started_at + (step + 0.5) * BIN_S
        while position < len(events) and events[position][0] <= middle:
            at, event, details = events[position]
            position += 1
            if event == "start":
                runs, started_at = True, at
            elif event == "set":
                traits.change(details[0], details[1])
            elif event in ("kill", "stop", "tipped"):
                runs = False
            elif event == "go":
                runs = True
        speed = (1 - traits.failure_share) / traits.slowdown_at((middle - started_at) * 1000)
        yield traits.servers * BIN_S * 1000 * speed if runs else 0.0


def _engine_events(engine: str, lines: list[LogLine], logs: RunLogs) -> list[tuple[float, str, LogLine]]:
    """Return the events that changed an engine's speed, ordered by time."""
    events = [(at, event, details) for at, event, _, *details in lines if event in ("start", "set", "tipped")]
    events += [
        (mark.at, mark.verb, []) for mark in logs.marks if mark.name == engine and mark.verb != MarkVerb.START
    ]
    return sorted(events, key=lambda event: event[0])


def measure_utility(history: RunHistory, verdict: Verdict) -> None:
    """Measure the utility served against the most that the engines could serve.

    The latter is computed step by step, serving the classes with the highest utility per ms of work first.
    """
    scenario = history.scenario
    offered, served = _reachable_requests(history)
    engine_capacity = capacity(scenario, history.logs)
    possible = _possible_by_step(scenario, offered, engine_capacity)
    earned = [sum(count * scenario.utilities[name] for name, count in counts.items()) for counts in served]
    verdict.series["worth most"], verdict.series["worth served"] = possible, earned
    verdict.series["capacity"] = engine_capacity
    verdict.figures["worth"] = ratio(earned, possible)
    if scenario.outage_at_s:
        begin = int((scenario.outage_at_s + OUTAGE_LEAD_S) / BIN_S)
        verdict.figures["worth_out"] = ratio(earned, possible, begin, int(scenario.recovered_at_s / BIN_S))
        settled = int((scenario.recovered_at_s + RECOVERED_AFTER_S) / BIN_S)
        verdict.figures["worth_after_5s"] = ratio(earned, possible, settled)
    for kind in scenario.request_classes:
        total = sum(counts[kind.name] for counts in offered)
        served_count = sum(counts[kind.name] for counts in served)
        verdict.figures[f"served_{kind.name}"] = served_count / max(total, 1)
    _measure_latency(history, verdict)
    ends = Counter(request.end for request in history.requests.values())
    verdict.figures |= {f"asks_{end or 'open'}": float(count) for end, count in ends.items()}


def _reachable_requests(history: RunHistory) -> tuple[list[Counter[str]], list[Counter[str]]]:
    """Return how many requests of each class were offered and served, by the step of their first attempt.

    Attempts that failed because their instance was killed or stopped are left out, since no decision of an
    instance could have served them.
    """
    steps = bin_count(history.scenario)
    offered = [Counter[str]() for _ in range(steps)]
    served = [Counter[str]() for _ in range(steps)]
    first: dict[int, RequestLog] = {}
    served_clients: set[int] = set()
    for request in sorted(history.requests.values(), key=lambda request: request.started_at):
        if request.end is RequestEnd.UNREACHED:
            continue
        if request.end in (RequestEnd.TIMED_OUT, RequestEnd.BROKEN) and is_excused(history.logs, request):
            continue
        first.setdefault(request.client, request)
        if request.end is RequestEnd.SERVED:
            served_clients.add(request.client)
    for client, request in first.items():
        step = step_of(request, history.logs, steps)
        offered[step][request.class_name] += 1
        served[step][request.class_name] += client in served_clients
    return offered, served


def _possible_by_step(
    scenario: Scenario, offered: list[Counter[str]], engine_capacity: list[float]
) -> list[float]:
    possible = [0.0] * len(offered)
    work_ms = {kind.name: kind.work_ms for kind in scenario.request_classes}
    by_density = sorted(work_ms, key=lambda name: -scenario.utilities[name] / work_ms[name])
    overdrawn_ms = 0.0
    for step, counts in enumerate(offered):
        remaining_ms = engine_capacity[step] + overdrawn_ms
        for name in by_density:
            fitting = min(counts[name], remaining_ms / work_ms[name])
            remaining_ms -= fitting * work_ms[name]
            possible[step] += fitting * scenario.utilities[name]
        overdrawn_ms = min(remaining_ms, 0.0)
    return possible


def _measure_latency(history: RunHistory, verdict: Verdict) -> None:
    times = sorted(
        request.ended_at - request.started_at
        for request in history.requests.values()
        if request.end is RequestEnd.SERVED
    )
    for percentile in PERCENTILES:
        latency_s = times[int(len(times) * percentile / 100)] if times else 0.0
        verdict.figures[f"p{percentile}_ms"] = 1000 * latency_s


def measure_offered(history: RunHistory, verdict: Verdict) -> None:
    """Measure the utility of all requests, including those sent while no instance was up, and of served ones.

    Both are counted at the step of each client's first attempt.
    """
    scenario, steps = history.scenario, bin_count(history.scenario)
    offered, served = [0.0] * steps, [0.0] * steps
    served_clients = {r.client for r in history.requests.values() if r.end is RequestEnd.SERVED}
    for client, request in first_attempts(history.requests).items():
        step, utility = step_of(request, history.logs, steps), scenario.utilities[request.class_name]
        offered[step] += utility
        served[step] += utility if client in served_clients else 0.0
    verdict.series["worth asked"], verdict.series["worth of asked"] = offered, served
    verdict.figures["worth_of_asked"] = ratio(served, offered)
    if scenario.outage_at_s:
        begin, end = int(scenario.outage_at_s / BIN_S), int(scenario.recovered_at_s / BIN_S)
        unserved = sum(offered[begin:end]) - sum(served[begin:end])
        outage_s = scenario.recovered_at_s - scenario.outage_at_s
        verdict.figures["worth_out_of_asked"] = ratio(served, offered, begin, end)
        verdict.figures["worth_lost_a_second"] = unserved / outage_s
        verdict.figures["worth_before_of_asked"] = ratio(served, offered, 0, begin)
    duplicates = sum(mark.verb == MarkVerb.DUPLICATE_RUNS for mark in history.logs.marks)
    if duplicates:
        verdict.figures["second_processes_alive"] = float(duplicates)
