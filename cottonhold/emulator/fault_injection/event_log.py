"""What was seen in a run, read from the ledgers into tries, executions and sends. Pure."""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

from cottonhold.emulator.fault_injection.script import Scenario

LogLine = list[Any]  # [seconds, what, reference, more]
BIN_S = 0.5  # s: the step of series by time
REQUEST_ENDS = {"served", "refused", "failed", "nothing", "broken", "unreached"}


@dataclass(slots=True)
class RunLogs:
    """All that was seen. Times are seconds of one clock; `begun`: when the load began. marks: what the rig
    did to processes, as (time, verb, name). stalls: from when to when the rig itself stood still on a busy
    machine: what it saw then may have been long before."""

    engines: Mapping[str, list[LogLine]]
    clients: list[LogLine]
    begun: float
    marks: list[tuple[float, str, str]] = field(default_factory=list)
    links: list[LogLine] = field(
        default_factory=list
    )  # [seconds, get|drop|closed|answer, ref, instance, engine]
    stalls: list[tuple[float, float]] = field(default_factory=list)
    # What an instance told a second before the day's zone was out: rows of its outlook by zone.
    told: Mapping[str, Any] = field(default_factory=dict)
    # How many keys that were moved had no owner up to so many ms, as the instances that moved them counted.
    ownerless: Mapping[float, int] = field(default_factory=dict)

    def stalled_s(self, begin: float, end: float) -> float:
        """Seconds within a time in which the rig stood still."""
        return sum(max(min(end, b) - max(begin, a), 0.0) for a, b in self.stalls)


@dataclass(slots=True)
class Verdict:
    """Findings, figures, and series by time for the charts."""

    findings: list[str] = field(default_factory=list)
    figures: dict[str, float] = field(default_factory=dict)
    series: dict[str, list[float]] = field(default_factory=dict)


@dataclass(slots=True)
class RequestLog:
    """One try of a client."""

    at: float
    kind: str
    instance: int
    number: int
    client: int
    left: float
    ended: float = math.inf
    word: str = ""
    text: str = ""
    ends: int = 0
    home: str = ""
    sent: float = math.inf  # when its connection was there; `at` is before that


def bin_count(day: Scenario) -> int:
    """How many steps a day has."""
    return math.ceil(day.seconds / BIN_S)


def requests_of(seen: RunLogs) -> dict[str, RequestLog]:
    """Tries by request, in the order in which they were made."""
    asks: dict[str, RequestLog] = {}
    for at, what, ref, *more in seen.clients:
        if what == "ask":
            kind, instance, number, client, left, *home = more
            asks[ref] = RequestLog(at, kind, instance, number, client, left, home="".join(home))
        elif what == "sent" and ref in asks:
            asks[ref].sent = at
        elif what in REQUEST_ENDS and ref in asks:
            ask = asks[ref]
            ask.ended, ask.word, ask.text, ask.ends = at, what, more[0] if more else "", ask.ends + 1
    return asks


@dataclass(slots=True)
class Execution:
    """One attempt as its engine saw it. `ended`: when it no longer was there; `how`: done, drop, broke,
    ...
    """

    engine: str
    came: float
    kind: str = ""
    key: str = ""
    number: int = 0
    work: float = 0.0
    began: float = math.inf
    ended: float = math.inf
    how: str = ""
    cold: bool = False  # it read a data set that the engine had not warm


def executions_of(seen: RunLogs) -> dict[str, list[Execution]]:
    """By request, in the order in which the attempts came. A killed engine ends all that it had."""
    runs: dict[str, list[Execution]] = defaultdict(list)
    for engine, lines in seen.engines.items():
        there: dict[str, Execution] = {}
        deaths = sorted(t for t, verb, name in seen.marks if verb == "kill" and name == engine)
        for at, what, ref, *more in lines:
            while deaths and deaths[0] <= at:
                death = deaths.pop(0)
                for run in there.values():
                    run.ended, run.how = death, "killed"
                there.clear()
            if what == "get":
                run = there[ref] = Execution(engine, at, *more)
                runs[ref].append(run)
            elif what == "run" and ref in there:
                there[ref].began, there[ref].cold = at, more == ["cold"]
            elif what in ("done", "drop", "broke", "crashed", "overload") and ref in there:
                run = there.pop(ref)
                run.ended, run.how = at, what
        for run in there.values() if deaths else ():
            run.ended, run.how = deaths[0], "killed"
    for found in runs.values():
        found.sort(key=lambda r: r.came)
    return runs


@dataclass(slots=True)
class Send:
    """One attempt as its link saw it. `how`: drop, closed, or the word that was answered; empty while it is
    out.
    """

    instance: str
    engine: str
    at: float
    ended: float = math.inf
    how: str = ""


def sends_of(seen: RunLogs) -> dict[str, list[Send]]:
    """By request, in the order in which the attempts were sent."""
    sends: dict[str, list[Send]] = defaultdict(list)
    for at, what, ref, instance, engine in seen.links:
        if what == "get":
            sends[ref].append(Send(instance, engine, at))
            continue
        for send in reversed(sends[ref]):
            if (send.instance, send.engine) == (instance, engine):
                if not send.how:
                    send.ended, send.how = at, what
                break
    return sends
