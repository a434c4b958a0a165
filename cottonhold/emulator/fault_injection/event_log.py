"""What was seen in a run: the logs of engines, clients and links, read into attempts, executions and sends.
Pure. Times are seconds of one monotonic clock that all processes share.
"""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any, NamedTuple

from cottonhold.emulator.fault_injection.client_model import RequestEnd
from cottonhold.emulator.fault_injection.script import Scenario

LogLine = list[Any]  # [seconds, event, request id, more]
BIN_S = 0.5  # the step of series over time
REQUEST_ENDS = frozenset(RequestEnd)


class MarkVerb(StrEnum):
    """What the harness did or noted, by the word that stands for it in a run's result."""

    KILL = "kill"
    START = "start"
    STOP = "stop"
    CONTINUE = "go"
    END = "end"
    DRAIN = "drain"
    UNDRAIN = "undrain"
    SOURCE_DISCONNECTED = "deaf"
    SOURCE_RECONNECTED = "hears"
    REPLACEMENT_REQUESTED = "swap"
    REPLACEMENT_DONE = "swapped"
    DUPLICATE_RUNS = "lives"


class Mark(NamedTuple):
    """What the harness did to a process, or noted of it. A run's result has marks as arrays."""

    at: float
    verb: str  # a MarkVerb, or the word for one
    name: str


@dataclass(slots=True)
class RunLogs:
    """All that was seen.

    marks: what the harness did to processes. links: lines of [seconds, event, request
    id, instance, engine], where the event is get, drop, closed or the engine's status. stalls: from when to
    when the harness itself was not scheduled: what it saw then may have happened long before.
    projected_costs: by zone, what an instance projected a second before the zone's outage. ownerless_counts:
    how many keys that migrated had no owner for up to so many ms, as the instances counted.
    """

    engines: Mapping[str, list[LogLine]]
    clients: list[LogLine]
    load_started_at: float
    marks: list[Mark] = field(default_factory=list)
    links: list[LogLine] = field(default_factory=list)
    stalls: list[tuple[float, float]] = field(default_factory=list)
    projected_costs: Mapping[str, Any] = field(default_factory=dict)
    ownerless_counts: Mapping[float, int] = field(default_factory=dict)

    def stalled_s(self, begin: float, end: float) -> float:
        """Return the seconds within a time in which the harness was not scheduled."""
        return sum(max(min(end, b) - max(begin, a), 0.0) for a, b in self.stalls)


@dataclass(slots=True)
class Verdict:
    """What a run was: broken rules with their evidence, figures, and series over time in steps of BIN_S."""

    findings: list[str] = field(default_factory=list)
    figures: dict[str, float] = field(default_factory=dict)
    series: dict[str, list[float]] = field(default_factory=dict)


@dataclass(slots=True)
class RequestLog:
    """One attempt of a client. attempt: counted from 0. sent_at: when its connection was open, which is after
    started_at. end: None while it is open; end_count: how often an end was logged."""

    started_at: float
    class_name: str
    instance: int
    attempt: int
    client: int
    timeout_ms: float
    ended_at: float = math.inf
    end: RequestEnd | None = None
    text: str = ""
    end_count: int = 0
    client_zone: str = ""
    sent_at: float = math.inf


class ExecutionEnd(StrEnum):
    """How an execution ended, by the word that stands for it in the engine's log."""

    DONE = "done"
    CANCELLED = "drop"
    CONNECTION_LOST = "broke"
    CRASHED = "crashed"
    OVERLOADED = "overload"
    KILLED = "killed"


EXECUTION_ENDS = frozenset(ExecutionEnd) - {ExecutionEnd.KILLED}


@dataclass(slots=True)
class Execution:
    """One attempt as its engine saw it. key, load_number: of a load; empty for other requests. began_at:
    infinite while it waits. ended_at: when the engine no longer had it."""

    engine: str
    arrived_at: float
    class_name: str = ""
    key: str = ""
    load_number: int = 0
    work_ms: float = 0.0
    began_at: float = math.inf
    ended_at: float = math.inf
    end: ExecutionEnd | None = None
    read_cold_data: bool = False


@dataclass(slots=True)
class Send:
    """One attempt as its link saw it. end: drop, closed, or the engine's status; empty while it is open."""

    instance: str
    engine: str
    sent_at: float
    ended_at: float = math.inf
    end: str = ""


@dataclass(slots=True, frozen=True)
class RunHistory:
    """A run's logs, and what they tell of each request by its id."""

    scenario: Scenario
    logs: RunLogs
    requests: Mapping[str, RequestLog]
    executions: Mapping[str, list[Execution]]
    sends: Mapping[str, list[Send]]


def read_history(scenario: Scenario, logs: RunLogs) -> RunHistory:
    """Return the history of a run."""
    return RunHistory(scenario, logs, requests_of(logs), executions_of(logs), sends_of(logs))


def bin_count(scenario: Scenario) -> int:
    """Return how many steps a series of a scenario has."""
    return math.ceil(scenario.duration_s / BIN_S)


def requests_of(logs: RunLogs) -> dict[str, RequestLog]:
    """Return the clients' attempts by request id, in the order in which they were made."""
    requests: dict[str, RequestLog] = {}
    for at, event, request_id, *details in logs.clients:
        if event == "ask":
            class_name, instance, attempt, client, timeout_ms, *zone = details
            requests[request_id] = RequestLog(
                at, class_name, instance, attempt, client, timeout_ms, client_zone="".join(zone)
            )
        elif event == "sent" and request_id in requests:
            requests[request_id].sent_at = at
        elif event in REQUEST_ENDS and request_id in requests:
            request = requests[request_id]
            request.ended_at, request.end = at, RequestEnd(event)
            request.text = details[0] if details else ""
            request.end_count += 1
    return requests


def executions_of(logs: RunLogs) -> dict[str, list[Execution]]:
    """Return the executions by request id, each in the order of arrival. A killed engine ends all it had."""
    executions: dict[str, list[Execution]] = defaultdict(list)
    for engine, lines in logs.engines.items():
        kills = sorted(mark.at for mark in logs.marks if mark.verb == MarkVerb.KILL and mark.name == engine)
        _read_engine(engine, lines, kills, executions)
    for of_request in executions.values():
        of_request.sort(key=lambda execution: execution.arrived_at)
    return executions


def _read_engine(
    engine: str, lines: list[LogLine], kills: list[float], executions: dict[str, list[Execution]]
) -> None:
    present: dict[str, Execution] = {}
    for at, event, request_id, *details in lines:
        while kills and kills[0] <= at:
            _end_all(present, kills.pop(0))
        if event == "get":
            execution = present[request_id] = Execution(engine, at, *details)
            executions[request_id].append(execution)
        elif event == "run" and request_id in present:
            present[request_id].began_at = at
            present[request_id].read_cold_data = details == ["cold"]
        elif event in EXECUTION_ENDS and request_id in present:
            execution = present.pop(request_id)
            execution.ended_at, execution.end = at, ExecutionEnd(event)
    if kills:
        _end_all(present, kills[0])


def _end_all(present: dict[str, Execution], at: float) -> None:
    for execution in present.values():
        execution.ended_at, execution.end = at, ExecutionEnd.KILLED
    present.clear()


def sends_of(logs: RunLogs) -> dict[str, list[Send]]:
    """Return the sends by request id, each in the order in which they were sent."""
    sends: dict[str, list[Send]] = defaultdict(list)
    for at, event, request_id, instance, engine in logs.links:
        if event == "get":
            sends[request_id].append(Send(instance, engine, at))
            continue
        for send in reversed(sends[request_id]):
            if (send.instance, send.engine) == (instance, engine):
                if not send.end:
                    send.ended_at, send.end = at, event
                break
    return sends
