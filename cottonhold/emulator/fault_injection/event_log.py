"""Reads the logs of engines, clients and links of a run into attempts, executions and sends; does no I/O.

Times are in seconds of the monotonic clock, which all processes share.
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

LogLine = list[Any]  # [seconds, event, request id, details...]
BIN_S = 0.5  # length of a step of the time series
REQUEST_ENDS = frozenset(RequestEnd)


class MarkVerb(StrEnum):
    """Kinds of actions and observations of the harness; the values are the words in a run's result."""

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
    """An action or observation of the harness that concerns a process; an array in a run's result.

    Attributes:
        at: Time of the monotonic clock, in s.
        verb: A MarkVerb, or its value.
        name: Name of the process; for a requested replacement, the answer.
    """

    at: float
    verb: str
    name: str


@dataclass(slots=True)
class RunLogs:
    """All logs of a run.

    Attributes:
        engines: Log of each engine, by its name.
        clients: Log of the clients.
        load_started_at: When the load began, in seconds of the monotonic clock.
        marks: What the harness did to processes.
        links: Lines of [seconds, event, request id, instance, engine], where the event is get, drop, closed
            or the engine's status.
        stalls: Begin and end of each time in which the harness was not scheduled. What it recorded then may
            have happened earlier.
        projected_costs: Failover cost of each zone that an instance projected a second before the outage.
        ownerless_counts: Histogram of the time for which migrated keys had no owner: the number of keys by
            the upper limit of the bucket, in ms, as counted by the instances.
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
        """Return for how many seconds between two times the harness was not scheduled."""
        return sum(max(min(end, b) - max(begin, a), 0.0) for a, b in self.stalls)


@dataclass(slots=True)
class Verdict:
    """The assessment of a run.

    Attributes:
        findings: Broken rules with their evidence.
        figures: Measured figures, by name.
        series: Time series in steps of BIN_S, by name.
    """

    findings: list[str] = field(default_factory=list)
    figures: dict[str, float] = field(default_factory=dict)
    series: dict[str, list[float]] = field(default_factory=dict)


@dataclass(slots=True)
class RequestLog:
    """One attempt of a client.

    Attributes:
        started_at: When the attempt began.
        class_name: Class of the request.
        instance: Number of the instance that it was sent to.
        attempt: Number of the attempt, from 0.
        client: Number of the client.
        timeout_ms: How long the client waited for a response, in ms.
        ended_at: When the attempt ended; infinite while it is open.
        end: How the attempt ended; None while it is open.
        text: The engine that served it, or the text of the error.
        end_count: Number of ends in the log.
        client_zone: Zone of the client; empty if it belongs to none.
        sent_at: When the request was written, after the connection was open; infinite before.
    """

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
    """How an execution ended; the values are the events of the engine's log, except KILLED."""

    DONE = "done"
    CANCELLED = "drop"
    CONNECTION_LOST = "broke"
    CRASHED = "crashed"
    OVERLOADED = "overload"
    KILLED = "killed"


EXECUTION_ENDS = frozenset(ExecutionEnd) - {ExecutionEnd.KILLED}


@dataclass(slots=True)
class Execution:
    """One attempt at an engine.

    Attributes:
        engine: Name of the engine.
        arrived_at: When the engine received it.
        class_name: Class of the request.
        key: Ordering key of a load; empty for other requests.
        load_number: Number of a load; 0 for other requests.
        work_ms: Work of the request, in ms on a warm engine.
        began_at: When it began to run; infinite while it waits.
        ended_at: When it ended, was cancelled or the engine was killed; infinite until then.
        end: How it ended; None while it runs or waits.
        read_cold_data: Whether it read a data set that was not in memory.
    """

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
    """One attempt on the link from an instance to an engine.

    Attributes:
        instance: Name of the instance.
        engine: Name of the engine.
        sent_at: When the instance sent it.
        ended_at: When it ended; infinite while it is open.
        end: `drop` if cancelled, `closed` if the connection closed, or the engine's status; empty while it is
            open.
    """

    instance: str
    engine: str
    sent_at: float
    ended_at: float = math.inf
    end: str = ""


@dataclass(slots=True, frozen=True)
class RunHistory:
    """A run's logs, and the attempts, executions and sends in them by request id."""

    scenario: Scenario
    logs: RunLogs
    requests: Mapping[str, RequestLog]
    executions: Mapping[str, list[Execution]]
    sends: Mapping[str, list[Send]]


def read_history(scenario: Scenario, logs: RunLogs) -> RunHistory:
    """Return the history of a run, read from its logs."""
    return RunHistory(scenario, logs, requests_of(logs), executions_of(logs), sends_of(logs))


def bin_count(scenario: Scenario) -> int:
    """Return the number of steps in a time series of a scenario."""
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
    """Return the executions by request id, in the order of arrival; a kill ends all those of its engine."""
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
    """Return the sends by request id, in the order in which they were sent."""
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
