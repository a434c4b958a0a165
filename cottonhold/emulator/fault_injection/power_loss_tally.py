"""Tracks each load over many power losses, from the logs of clients and engines; does no I/O.

A load is identified by the number in its statement, which is its client's number. Times are in seconds of the
logs' clock.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from enum import StrEnum

from cottonhold.emulator.fault_injection.client_model import RequestEnd
from cottonhold.emulator.fault_injection.event_log import REQUEST_ENDS, LogLine

SENT_BEFORE = "was sent before"  # text of an instance's answer to a retry that it did not send
POWER_LOSS_MARGIN_S = 1.0  # attempts that were open within this time of a power loss may stay unanswered


@dataclass(slots=True)
class LoadExecution:
    """One execution of a load at an engine."""

    engine: str
    request_id: str
    began_at: float
    ended_at: float = math.inf


class RetryAnswer(StrEnum):
    """Kind of answer that a client received.

    SERVED_BEFORE, MAY_HAVE_RUN and LATER are answers that the instance gave without sending the load to an
    engine. SENT: the load was sent to an engine. NONE: the attempt ended without an answer. OPEN: the attempt
    has not ended.
    """

    SERVED_BEFORE = "well"
    MAY_HAVE_RUN = "may"
    SENT = "sent"
    LATER = "later"
    NONE = "nobody"
    OPEN = "open"


@dataclass(slots=True)
class Attempt:
    """One attempt of a client to run a load.

    Attributes:
        request_id: Id of the request.
        started_at: When the attempt began.
        number: Number of the attempt, from 0.
        instance: Number of the instance.
        timeout_ms: How long the client waited for a response, in ms.
        sent_at: When the request was written, after the connection was open; infinite before.
        ended_at: When the attempt ended; infinite while it is open.
        end: How the attempt ended; None while it is open.
        text: The engine that served the load, or the text of the error.
    """

    request_id: str
    started_at: float
    number: int
    instance: int
    timeout_ms: float
    sent_at: float = math.inf
    ended_at: float = math.inf
    end: RequestEnd | None = None
    text: str = ""

    @property
    def answer(self) -> RetryAnswer:
        """The kind of answer that the client received."""
        if self.end is None:
            return RetryAnswer.OPEN
        if self.end is RequestEnd.SERVED:
            return RetryAnswer.SENT if self.text else RetryAnswer.SERVED_BEFORE
        if self.end is RequestEnd.FAILED:
            return RetryAnswer.MAY_HAVE_RUN if SENT_BEFORE in self.text else RetryAnswer.SENT
        return RetryAnswer.LATER if self.end is RequestEnd.REFUSED else RetryAnswer.NONE


@dataclass(slots=True)
class ObservedLoad:
    """One load in the logs.

    Attributes:
        number: Number of the load.
        attempts: Attempts of its client.
        executions: Executions at engines, in the order in which they began.
        arrivals: Time and request id of each arrival at an engine.
    """

    number: int
    attempts: list[Attempt] = field(default_factory=list)
    executions: list[LoadExecution] = field(default_factory=list)
    arrivals: list[tuple[float, str]] = field(default_factory=list)

    @property
    def served_at(self) -> float:
        """When the client first received that the load was served; infinite if it did not."""
        return min((a.ended_at for a in self.attempts if a.end is RequestEnd.SERVED), default=math.inf)


class LoadTally:
    """Collects the loads from the lines of the clients' and engines' logs as they are written."""

    def __init__(self) -> None:
        self.loads: dict[int, ObservedLoad] = {}
        self.attempts: dict[str, Attempt] = {}
        self.received: dict[tuple[str, str], ObservedLoad] = {}  # by receiving engine and request id
        self.running: dict[tuple[str, str], LoadExecution] = {}
        self.duplicates: list[int] = []  # loads that began twice, in the order of detection

    def load(self, number: int) -> ObservedLoad:
        """Return the record of a load; create it if there is none."""
        return self.loads.setdefault(number, ObservedLoad(number))

    def on_client_lines(self, lines: Iterable[LogLine]) -> None:
        """Process new lines of the clients' log."""
        for at, event, request_id, *details in lines:
            if event == "ask" and details[0] == "load":
                _, instance, number, client, timeout_ms, *_ = details
                attempt = Attempt(request_id, at, number, instance, timeout_ms)
                self.attempts[request_id] = attempt
                self.load(client).attempts.append(attempt)
            elif event == "sent" and request_id in self.attempts:
                self.attempts[request_id].sent_at = at
            elif event in REQUEST_ENDS and request_id in self.attempts:
                attempt = self.attempts[request_id]
                attempt.ended_at, attempt.end = at, RequestEnd(event)
                attempt.text = details[0] if details else ""

    def on_engine_lines(self, engine: str, lines: Iterable[LogLine]) -> None:
        """Process new lines of an engine's log."""
        for at, event, request_id, *details in lines:
            place = engine, request_id
            if event == "get" and details[1]:
                load = self.received[place] = self.load(details[2])
                load.arrivals.append((at, request_id))
            elif event == "run" and place in self.received:
                self._on_begun(place, at)
            elif event in ("done", "drop", "broke"):
                self.received.pop(place, None)
                execution = self.running.pop(place, None)
                if execution is not None:
                    execution.ended_at = at

    def _on_begun(self, place: tuple[str, str], at: float) -> None:
        load, execution = self.received[place], LoadExecution(*place, at)
        self.running[place] = execution
        load.executions.append(execution)
        if len(load.executions) == 2:
            self.duplicates.append(load.number)

    def on_power_loss(self, at: float) -> None:
        """End all executions; call this once all log lines up to the power loss are processed."""
        for execution in self.running.values():
            execution.ended_at = min(execution.ended_at, at)
        self.running.clear()
        self.received.clear()


@dataclass(slots=True)
class ObservedPowerLoss:
    """Counts of loads by their state at a power loss, and of the answers to retries until the next one.

    Attributes:
        in_flight: Loads whose clients were waiting for an answer.
        at_engines: Loads that were running at an engine.
        unreported: Loads that had begun, and maybe ended, although their clients had received no result.
        answers: Answers to retries, by RetryAnswer.
    """

    in_flight: int = 0
    at_engines: int = 0
    unreported: int = 0
    answers: Counter[str] = field(default_factory=Counter)


def observe_power_loss(tally: LoadTally, at: float, next_at: float = math.inf) -> ObservedPowerLoss:
    """Return the numbers of loads by their state at a power loss; `next_at` is the time of the next one."""
    observed = ObservedPowerLoss()
    for load in tally.loads.values():
        is_open = any(attempt.started_at <= at < attempt.ended_at for attempt in load.attempts)
        has_begun = any(execution.began_at <= at for execution in load.executions)
        observed.in_flight += is_open
        observed.at_engines += any(e.began_at <= at <= e.ended_at for e in load.executions)
        observed.unreported += is_open and has_begun and load.served_at > at
        for attempt in load.attempts:
            if attempt.number and at < attempt.ended_at <= next_at:
                observed.answers[attempt.answer] += 1
    return observed


def unanswered(
    tally: LoadTally,
    power_losses: Sequence[float],
    until: float,
    stalls: Sequence[tuple[float, float]] = (),
) -> list[Attempt]:
    """Return the attempts that received no answer although no power loss explains it.

    Args:
        tally: The loads.
        power_losses: Times of the power losses.
        until: Only attempts that began before this time are considered.
        stalls: Begin and end of each time in which the harness was not scheduled. Late and missing answers
            cannot be distinguished then, so attempts that were open in one are left out.
    """
    return [
        attempt
        for load in tally.loads.values()
        for attempt in load.attempts
        if attempt.end in (None, RequestEnd.TIMED_OUT)
        and attempt.started_at < until
        and not _overlaps_power_loss(attempt, power_losses)
        and not any(begin <= attempt.ended_at and end >= attempt.started_at for begin, end in stalls)
    ]


def _overlaps_power_loss(attempt: Attempt, power_losses: Sequence[float]) -> bool:
    begin = attempt.started_at - POWER_LOSS_MARGIN_S
    return any(begin <= at <= attempt.ended_at + POWER_LOSS_MARGIN_S for at in power_losses)


def timeline(load: ObservedLoad, started_at: float, marks: Iterable[tuple[float, str, str]]) -> list[str]:
    """Return the events of a load as lines of text, including killed and started processes.

    Args:
        load: The load.
        started_at: Time that is subtracted from all printed times.
        marks: Starts and kills of processes by the harness: time, action, name.
    """
    rows = [
        (a.started_at, f"sent to n{a.instance}, ref {a.request_id}, attempt {a.number}")
        for a in load.attempts
    ]
    rows += [
        (a.ended_at, f"ref {a.request_id} at n{a.instance}: {a.end} '{a.text}'")
        for a in load.attempts
        if a.end is not None
    ]
    rows += [(at, f"arrived at an engine, ref {request_id}") for at, request_id in load.arrivals]
    rows += [(e.began_at, f"BEGAN at {e.engine}, ref {e.request_id}") for e in load.executions]
    rows += [
        (e.ended_at, f"ended at {e.engine}, ref {e.request_id}")
        for e in load.executions
        if e.ended_at < math.inf
    ]
    first, last = min(rows)[0], max(rows)[0]
    rows += [(at, f"{verb} {name}") for at, verb, name in marks if first - 1 <= at <= last + 1]
    return [f"{at - started_at:9.3f} s  {text}" for at, text in sorted(rows)]
