"""The rows of the conformance tables and the three kinds of checks that a row may have.

A row states one requirement of a page on the dispatcher, its place on that page, and a check of one kind:

    SchedulerScript: A script of events for Scheduler.step.
    GatewayScript: A script for the gateway in the language of tests/support/scenario.py.
    Assertion: A function that asserts.

A scheduler script consists of lines `TIME EVENT; EVENT -> ACTION, ACTION`. The scheduler runs a step every
10 ms up to TIME, then a step with the events. The line lists all sends, final answers and subscriptions since
the line before.

Events:
    list NAME[:FIELD=VALUE,...] ...: A complete engine list.
    change NAME[:FIELD=VALUE,...] ...: Changes of the engine list.
    ask ID [FIELD=VALUE ...]: A query arrives.
    end ID OUTCOME: The query's last attempt ends.
    gone ID: The query's client disconnects.
    fails: A poll of the engine list fails.

Actions: `send ID [ENGINE]`, `reject ID`, `fail ID`, `cancel ID`, `subscribe`, or `nothing`.
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
    """The check of a row."""

    def run(self) -> None:
        """Run the check; raises AssertionError if the row's requirement is violated."""

    def expects(self) -> bool:
        """Return whether the check asserts anything; one that cannot fail is a defect of the table."""


@dataclass(slots=True, frozen=True)
class Row:
    """One requirement of a page and its check.

    Attributes:
        id: Unique name of the row, and of its test case.
        place: Page section and sentence that state the requirement.
        requirement: The requirement in one sentence.
        check: Check of the requirement.
        unmet: Why the requirement is not fulfilled yet; the check then has to fail. Empty if it is.
    """

    id: str
    place: str
    requirement: str
    check: Check
    unmet: str = ""


def parse_value(text: str) -> Any:
    """Return a field's value as a number if it is one, else as text."""
    if re.fullmatch(r"-?\d+", text):
        return int(text)
    return float(text) if re.fullmatch(r"-?\d+\.\d+", text) else text


def parse_fields(text: str) -> dict[str, Any]:
    """Return the fields of a text `NAME=VALUE,NAME=VALUE`."""
    return {
        name: parse_value(value)
        for name, _, value in (part.partition("=") for part in text.split(",") if part)
    }


def parse_engine(text: str) -> Engine:
    """Return the engine of a text `NAME[:FIELD=VALUE,...]`."""
    name, _, rest = text.partition(":")
    given = parse_fields(rest)
    return Engine(name, **{**given, "state": EngineState(given.get("state", "live"))})


@dataclass(slots=True)
class ScriptedScheduler:
    """A scheduler that is driven by the lines of a script.

    Attributes:
        scheduler: Scheduler under test.
        now: Time of the last step, in ms.
        sent: Number and engine of the last attempt of each query, by query id.
    """

    scheduler: Scheduler
    now: float = 0.0
    sent: dict[str, tuple[int, str]] = field(default_factory=dict)

    def parse_event(self, text: str) -> Event:
        """Return the scheduler event that a script's event stands for."""
        verb, *rest = text.split()
        if verb in ("list", "change"):
            return EngineList(tuple(map(parse_engine, rest)), is_complete=verb == "list")
        if verb == "ask":
            given = parse_fields(",".join(rest[1:]))
            class_index, deadline = int(given.pop("kind", 0)), given.pop("allow", 5000.0) + self.now
            return QueryArrived(rest[0], class_index, deadline, **{"estimated_work_ms": 100.0, **given})
        if verb == "end":
            attempt, engine = self.sent[rest[0]]
            return AttemptEnded(rest[0], attempt, engine, Outcome(rest[1]), 10.0, is_final=rest[1] == "ok")
        return ClientDisconnected(rest[0]) if verb == "gone" else EngineListFailed()

    def describe(self, action: Action) -> str:
        """Return an action in the script's form, and record attempts; empty for actions that scripts omit."""
        match action:
            case Send(query, engine):
                self.sent[query] = (self.sent[query][0] + 1 if query in self.sent else 0, engine)
                return f"send {query} {engine}"
            case Reject(query) | Fail(query) | Cancel(query):
                return f"{type(action).__name__.lower()} {query}"
            case Subscribe():
                return "subscribe"
        return ""

    def run_line(self, at: float, events: str) -> list[str]:
        """Run steps up to a time in ms, then one with the events; return the actions in the script's form."""
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
    """A script of events for Scheduler.step.

    Attributes:
        script: Lines of the script; see the module.
        classes: Query classes of the settings.
        site: Other fields of Settings that differ from SITE.
        rules: Fields of Rules that differ from those of SITE.
        features: Fields of Features that differ from FEATURES.
    """

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
            actions = scripted.run_line(float(at), events)
            if arrow:
                self.compare(
                    text, actions, [part.strip() for part in expected.split(",") if part.strip() != "nothing"]
                )

    def compare(self, text: str, actions: list[str], expected: list[str]) -> None:
        unexpected = list(actions)
        for line in expected:
            matches = [action for action in unexpected if action == line or action.startswith(f"{line} ")]
            assert matches, f"{text}: the actions were {actions}"
            unexpected.remove(matches[0])
        assert not unexpected, f"{text}: the actions were {actions}"

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
    """A function that asserts something about one part or the whole process."""

    call: Callable[[], None]

    def run(self) -> None:
        self.call()

    def expects(self) -> bool:
        return bool(re.search(r"\bassert\b|\bexpect ", inspect.getsource(self.call)))
