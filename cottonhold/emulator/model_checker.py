"""A small model checker for pure state machines; it explores all orders of a few events, or random long ones.

A *model* consists of several machines, their disks and the network between them. Each of its `choices()` is
a possible next event: a message is delivered (and may be delivered again), a record is written, a timer
expires, a machine crashes, or a disk is lost. A message that is never delivered is lost.

`explore` searches all choices of every state up to a depth, breadth first; states that are equal apart from
clocks and random number generators are visited once, as in stateright. `walk` makes random choices to a much
larger depth. Both are deterministic.
"""

from __future__ import annotations

import hashlib
import pickle
import random
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field, fields, is_dataclass
from enum import Enum, StrEnum
from typing import Any, NamedTuple

from cottonhold.fleet.consensus.actions import PersistState, SendConsensusMessage

SETTLING_ROUNDS = 60  # maximum rounds of messages and due steps in a quarter of a tick
INITIAL_SETTLING_TICKS, FINAL_SETTLING_TICKS = 40, 80
NOT_COMPARED = ("counts", "settings")  # attributes that do not distinguish states
CLOCKS = ("now", "incarnations")  # attributes of a model that are left out of its fingerprint


class ChoiceKind(StrEnum):
    """The kinds of events that may occur in every model."""

    DELIVER = "deliver"
    WRITE = "write"
    STEP = "step"
    TICK = "tick"
    CRASH = "crash"
    LOSE_DISK = "forget"
    START = "start"


# Weights of choices in a random walk; others have 1. Frequent faults would prevent all progress.
WEIGHTS: dict[str, float] = {
    ChoiceKind.DELIVER: 6.0,
    ChoiceKind.WRITE: 10.0,
    ChoiceKind.STEP: 4.0,
    ChoiceKind.TICK: 1.0,
    ChoiceKind.CRASH: 0.15,
    ChoiceKind.LOSE_DISK: 0.15,
    ChoiceKind.START: 0.5,
}


class Choice(NamedTuple):
    """A possible next event; `kind` is a ChoiceKind or a kind of event of a specific model."""

    kind: str
    args: tuple[Any, ...] = ()


class Message(NamedTuple):
    """A message between two machines."""

    target: int
    sender: int
    payload: bytes


@dataclass(slots=True)
class CheckResult:
    """The extent of a check, the violated rule (empty if none), and the choices that led to it."""

    states: int = 0
    steps: int = 0
    depth: int = 0
    violation: str = ""
    trace: list[Choice] = field(default_factory=list)


class Model:
    """Machines 1, 2, ... with disks and a network; subclasses create the machines and define the rules.

    Attributes:
        remaining_crashes: Number of crashes that may still occur.
        remaining_disk_losses: Number of disk losses that may still occur.
        in_flight: How often each message may still be delivered.
        violation: The first violated rule; empty if there is none.
    """

    tick_ms = 100.0
    max_deliveries = 2  # largest number of deliveries of one message

    def __init__(self, members: Iterable[int], crashes: int, disk_losses: int) -> None:
        self.now, self.remaining_crashes, self.remaining_disk_losses = 0.0, crashes, disk_losses
        self.members = list(members)
        self.disks: dict[int, dict[str, bytes]] = {m: {} for m in self.members}
        self.pending_writes: dict[int, list[PersistState]] = {m: [] for m in self.members}
        self.in_flight: dict[Message, int] = {}
        self.incarnations = dict.fromkeys(self.members, 0)
        self.running: dict[int, Any] = {}
        self.violation = ""

    def make_machine(self, member: int, disk: dict[str, bytes]) -> Any:
        """Return a new machine that starts with the contents of this disk."""
        raise NotImplementedError

    def on_action(self, member: int, action: Any) -> None:
        """Execute a machine's action that is neither a message nor a record."""

    def model_choices(self) -> list[Choice]:
        """Return the possible next events that are specific to this model."""
        return []

    def apply_model_choice(self, choice: Choice) -> None:
        """Apply one of the model's own choices."""

    def violated_rule(self) -> str:
        """Return the rule that the present state violates; empty if there is none."""
        return ""

    def on_crash(self, member: int) -> None:
        """Update the model after a machine's process has crashed."""

    def start_all(self) -> None:
        """Start all machines, and let them settle without faults."""
        for member in self.members:
            self.start(member)
        self.settle(INITIAL_SETTLING_TICKS)

    def start(self, member: int) -> None:
        """Start a machine with what is on its disk."""
        self.incarnations[member] += 1
        self.pending_writes[member] = []
        self.running[member] = self.make_machine(member, dict(self.disks[member]))
        self.step(member)

    def step(self, member: int) -> None:
        """Run a step of a machine."""
        self.execute(member, self.running[member].step(self.now))

    def execute(self, member: int, actions: Iterable[Any]) -> None:
        """Execute a machine's actions."""
        for action in actions:
            if isinstance(action, SendConsensusMessage):
                if action.member in self.disks:
                    self.in_flight[Message(action.member, member, action.payload)] = self.max_deliveries
            elif isinstance(action, PersistState):
                self.pending_writes[member].append(action)
            else:
                self.on_action(member, action)

    def choices(self) -> list[Choice]:
        """Return all possible next events."""
        choices = [Choice(ChoiceKind.DELIVER, m) for m in self.in_flight if m.target in self.running]
        choices += [Choice(ChoiceKind.WRITE, (m,)) for m in self.running if self.pending_writes[m]]
        choices += [Choice(ChoiceKind.STEP, (m,)) for m in self.due_members()]
        if self.remaining_crashes:
            choices += [Choice(ChoiceKind.CRASH, (m,)) for m in self.running]
        if self.remaining_disk_losses:
            choices += [Choice(ChoiceKind.LOSE_DISK, (m,)) for m in self.running]
        choices += [Choice(ChoiceKind.START, (m,)) for m in self.members if m not in self.running]
        return [*choices, Choice(ChoiceKind.TICK), *self.model_choices()]

    def due_members(self) -> list[int]:
        """Return the machines whose next step is due."""
        return [m for m, machine in self.running.items() if machine.next_at() <= self.now]

    def apply(self, choice: Choice) -> None:
        """Apply one of the choices, and check the rules."""
        kind, args = choice
        if kind == ChoiceKind.DELIVER:
            message = Message(*args)
            self.in_flight[message] -= 1
            if not self.in_flight[message]:
                del self.in_flight[message]
            self.deliver(message)
        elif kind == ChoiceKind.WRITE:
            self.complete_write(args[0])
        elif kind == ChoiceKind.STEP:
            self.step(args[0])
        elif kind == ChoiceKind.TICK:
            self.now += self.tick_ms
        elif kind in (ChoiceKind.CRASH, ChoiceKind.LOSE_DISK):
            self.crash(args[0], loses_disk=kind == ChoiceKind.LOSE_DISK)
        elif kind == ChoiceKind.START:
            self.start(args[0])
        else:
            self.apply_model_choice(choice)
        self.check()

    def check(self) -> None:
        """Record the first violated rule."""
        self.violation = self.violation or self.violated_rule()

    def deliver(self, message: Message) -> None:
        """Deliver a message to a running machine."""
        target, sender, payload = message
        self.execute(target, self.running[target].on_message(self.now, sender, payload))

    def complete_write(self, member: int) -> None:
        """Complete the next pending write of a machine's disk."""
        write = self.pending_writes[member].pop(0)
        self.disks[member].pop(write.name, None)
        if write.data:
            self.disks[member][write.name] = write.data
        self.execute(member, self.running[member].on_persisted(self.now, write.token))

    def crash(self, member: int, loses_disk: bool) -> None:
        """End a machine's process; its pending writes are lost, and its disk too with `loses_disk`."""
        self.remaining_crashes -= not loses_disk
        self.remaining_disk_losses -= loses_disk
        del self.running[member]
        self.pending_writes[member] = []
        if loses_disk:
            self.disks[member] = {}
        self.on_crash(member)

    def settle(self, ticks: int) -> None:
        """Run a number of ticks without faults, after starting all machines that are down."""
        for member in [m for m in self.members if m not in self.running]:
            self.start(member)
        for _ in range(ticks):
            for _ in range(SETTLING_ROUNDS):
                self._deliver_and_write_all()
                due = self.due_members()
                if not due:
                    break
                for member in due:
                    self.step(member)
            self.now += self.tick_ms / 4
            self.check()

    def _deliver_and_write_all(self) -> None:
        while self.in_flight or any(self.pending_writes.values()):
            for member in self.members:
                while self.pending_writes[member]:
                    self.complete_write(member)
            for message in list(self.in_flight):
                del self.in_flight[message]
                if message.target in self.running:
                    self.deliver(message)
            self.check()

    def fingerprint(self) -> bytes:
        """Return a digest that is equal for equal states, apart from clocks and random number generators."""
        parts = {name: value for name, value in vars(self).items() if name not in CLOCKS}
        return hashlib.blake2b(repr(comparable(parts)).encode(), digest_size=12).digest()


def comparable(value: Any) -> Any:
    """Return a value without its clocks and random number generators, for comparing states."""
    if isinstance(value, float | random.Random):
        return None
    if isinstance(value, str | bytes | int | Enum | None):
        return value
    if isinstance(value, dict):
        return tuple(sorted(((repr(comparable(k)), comparable(v)) for k, v in value.items()), key=repr))
    if isinstance(value, set | frozenset):
        return tuple(sorted(map(repr, map(comparable, value))))
    if is_dataclass(value):
        return tuple(comparable(getattr(value, f.name)) for f in fields(value))
    if isinstance(value, Iterable):
        return tuple(comparable(item) for item in value)
    return tuple((k, comparable(v)) for k, v in sorted(vars(value).items()) if k not in NOT_COMPARED)


def explore(make_model: Callable[[], Model], max_depth: int, max_states: int) -> CheckResult:
    """Explore every order of events up to a depth, or until `max_states` states were visited."""
    model, result = make_model(), CheckResult()
    seen = {model.fingerprint()}
    queue: deque[tuple[bytes, tuple[Choice, ...]]] = deque([(pickle.dumps(model), ())])
    while queue:
        state, trace = queue.popleft()
        if len(trace) >= max_depth or len(seen) >= max_states:
            break
        for choice in pickle.loads(state).choices():
            model = pickle.loads(state)
            model.apply(choice)
            result.steps += 1
            if model.violation:
                result.violation, result.trace = model.violation, [*trace, choice]
                result.states, result.depth = len(seen), len(trace) + 1
                return result
            fingerprint = model.fingerprint()
            if fingerprint not in seen:
                seen.add(fingerprint)
                queue.append((pickle.dumps(model), (*trace, choice)))
                result.depth = len(trace) + 1
    result.states = len(seen)
    return result


def walk(
    make_model: Callable[[], Model],
    seed: int,
    walks: int,
    length: int,
    violation_at_end: Callable[[Model], str],
) -> CheckResult:
    """Explore random orders of events; each walk draws its own weights of ticks, deliveries and writes.

    After each walk the model settles without faults; `violation_at_end` then returns a violated rule, if any.
    """
    result = CheckResult(depth=length)
    initial_state = pickle.dumps(make_model())
    for number in range(walks):
        draw, model = random.Random(f"{seed}/{number}"), pickle.loads(initial_state)
        result.trace = []
        for choice in _random_choices(model, draw, length):
            result.trace.append(choice)
            model.apply(choice)
            result.steps += 1
            if model.violation:
                break
        else:
            model.in_flight.clear()
            model.settle(FINAL_SETTLING_TICKS)
            model.violation = model.violation or violation_at_end(model)
        result.states = number + 1
        if model.violation:
            result.violation = model.violation
            return result
    return result


def _random_choices(model: Model, draw: random.Random, length: int) -> Iterable[Choice]:
    """Yield random choices of a model's present state, one after another."""
    weights = {
        **WEIGHTS,
        ChoiceKind.TICK: draw.choice((0.1, 0.5, 2.0)),
        ChoiceKind.DELIVER: draw.choice((1.0, 6.0, 20.0)),
        ChoiceKind.WRITE: draw.choice((0.3, 10.0)),
    }
    for _ in range(length):
        choices = model.choices()
        (choice,) = draw.choices(choices, [weights.get(c.kind, 1.0) for c in choices])
        yield choice
