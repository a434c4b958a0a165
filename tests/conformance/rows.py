"""What a row of a conformance table is, and the three ways in which it is checked.

A row says in our own words what a page requires of the dispatcher, where on the page, and how it is checked:
by a script of events into Scheduler.step (`SchedulerScript`), by a script for the gateway in the language of
tests/support/scenario.py (`GatewayScript`), or by a function that asserts (`Assertion`).

A scheduler script is lines `TIME EVENT; EVENT -> ACTION, ACTION`. The scheduler is stepped each 10 ms up to
TIME and then with the events; the actions are all sends and final answers since the line before. Events:
`list NAME[:FIELD=VALUE,...] ...` (complete), `change ...`, `ask ID [FIELD=VALUE ...]`, `end ID OUTCOME`,
`gone ID`, `fails`. Actions: `send ID [ENGINE]`, `reject ID`, `fail ID`, `cancel ID`, `subscribe`, or
`nothing`.
"""

from __future__ import annotations

import inspect
import re
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from typing import Any, Protocol

from cottonhold.scheduler.actions import Action, Cancel, Fail, Reject, Send, Subscribe
from cottonhold.scheduler.events import (
    AttemptEnded,
    ClientDisconnected,
    Engine,
    EngineList,
    EngineListFailed,
    EngineState,
    Event,
    Outcome,
    QueryArrived,
)
from cottonhold.scheduler.scheduler import Scheduler
from cottonhold.scheduler.settings import Features, MachineType, QueryClass, Rules, Settings
from tests.support.scenario import SETTINGS, World

LOOKUP = QueryClass("lookup", latency_objective_ms=1000, deadline_ms=5000, utility=1.0)
FEATURES = Features(
    can_cancel=True, has_priorities=True, has_retry_after=True, max_retry_after_ms=500.0, max_attempts=3
)
SITE = Settings((LOOKUP,), (MachineType(8, 16000.0),), features=FEATURES, rules=Rules(warm_up_ms=10000.0))
STEP_MS = 10.0
EXPECTS = re.compile(r"^(c\d+|e[\d.]+|any) (expect|closing|nothing)\b", re.MULTILINE)


class Check(Protocol):
    """How a row is checked: run raises AssertionError where the row is not met."""

    def run(self) -> None:
        """Check."""

    def expects(self) -> bool:
        """Whether anything is expected at all: a check that can't fail is a defect of the table."""


@dataclass(slots=True, frozen=True)
class Row:
    """One sentence that requires something. `unmet`: why it is not met yet; its check then has to fail."""

    id: str
    place: str
    requirement: str
    check: Check
    unmet: str = ""


def parse_value(text: str) -> Any:
    """A field's value as number, else as text."""
    if re.fullmatch(r"-?\d+", text):
        return int(text)
    return float(text) if re.fullmatch(r"-?\d+\.\d+", text) else text


def parse_fields(text: str) -> dict[str, Any]:
    """NAME=VALUE pairs."""
    return {
        name: parse_value(value)
        for name, _, value in (part.partition("=") for part in text.split(",") if part)
    }


def parse_engine(text: str) -> Engine:
    """NAME[:FIELD=VALUE,...]: one line of the list."""
    name, _, rest = text.partition(":")
    given = parse_fields(rest)
    return Engine(name, **{**given, "state": EngineState(given.get("state", "live"))})


@dataclass(slots=True)
class ScriptedScheduler:
    """A scheduler under a script, with the last attempt of each query and its engine."""

    scheduler: Scheduler
    now: float = 0.0
    sent: dict[str, tuple[int, str]] = field(default_factory=dict)

    def parse_event(self, text: str) -> Event:
        """The event that a script names."""
        verb, *rest = text.split()
        if verb in ("list", "change"):
            return EngineList(tuple(map(parse_engine, rest)), is_complete=verb == "list")
        if verb == "ask":
            given = parse_fields(",".join(rest[1:]))
            kind, due = int(given.pop("kind", 0)), given.pop("allow", 5000.0) + self.now
            return QueryArrived(rest[0], kind, due, **{"estimated_work_ms": 100.0, **given})
        if verb == "end":
            attempt, at = self.sent[rest[0]]
            return AttemptEnded(rest[0], attempt, at, Outcome(rest[1]), 10.0, is_final=rest[1] == "ok")
        return ClientDisconnected(rest[0]) if verb == "gone" else EngineListFailed()

    def describe(self, action: Action) -> str:
        """An action as a script names it; empty for those that it doesn't."""
        match action:
            case Send(query, at):
                self.sent[query] = (self.sent[query][0] + 1 if query in self.sent else 0, at)
                return f"send {query} {at}"
            case Reject(query) | Fail(query) | Cancel(query):
                return f"{type(action).__name__.lower()} {query}"
            case Subscribe():
                return "subscribe"
        return ""

    def play_line(self, at: float, events: str) -> list[str]:
        """Steps up to a time, then the events; what was done."""
        actions: list[Action] = []
        while self.now + STEP_MS < at:
            self.now += STEP_MS
            actions += self.scheduler.step(self.now, [])
        self.now = at
        actions += self.scheduler.step(
            at, [self.parse_event(e) for e in filter(None, map(str.strip, events.split(";")))]
        )
        return [line for line in map(self.describe, actions) if line]


@dataclass(slots=True, frozen=True)
class SchedulerScript:
    """A script of events into Scheduler.step."""

    script: str
    classes: tuple[QueryClass, ...] = (LOOKUP,)
    site: dict[str, Any] = field(default_factory=dict)
    rules: dict[str, Any] = field(default_factory=dict)
    features: dict[str, Any] = field(default_factory=dict)

    def run(self) -> None:
        site = replace(
            SITE,
            classes=self.classes,
            rules=replace(SITE.rules, **self.rules),
            features=replace(FEATURES, **self.features),
            **self.site,
        )
        scripted = ScriptedScheduler(Scheduler(site, 1))
        for text in filter(None, map(str.strip, self.script.splitlines())):
            head, arrow, expected = text.partition("->")
            at, _, events = head.strip().partition(" ")
            actions = scripted.play_line(float(at), events)
            if arrow:
                self.compare(
                    text, actions, [w.strip() for w in expected.split(",") if w.strip() != "nothing"]
                )

    def compare(self, text: str, actions: list[str], expected: list[str]) -> None:
        left = list(actions)
        for line in expected:
            found = [w for w in left if w == line or w.startswith(f"{line} ")]
            assert found, f"{text}: done {actions}"
            left.remove(found[0])
        assert not left, f"{text}: done {actions}"

    def expects(self) -> bool:
        return "->" in self.script


@dataclass(slots=True, frozen=True)
class GatewayScript:
    """A script for the gateway between fake clients and engines (tests/support/scenario.py)."""

    script: str
    settings: Settings = SETTINGS
    engines: str = "a b"

    def run(self) -> None:
        world = World(self.settings, self.engines).run(self.script)
        assert not world.counters.counts["step_faults"] + world.counters.counts["action_faults"], world.log

    def expects(self) -> bool:
        return bool(EXPECTS.search(re.sub(r"^ +", "", self.script, flags=re.MULTILINE)))


@dataclass(slots=True, frozen=True)
class Assertion:
    """A function that asserts: about one part, or the whole process."""

    call: Callable[[], None]

    def run(self) -> None:
        self.call()

    def expects(self) -> bool:
        return bool(re.search(r"\bassert\b|\bexpect ", inspect.getsource(self.call)))
