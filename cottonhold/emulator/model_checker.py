"""A small model checker for pure machines: every order of a few events, or many random ones.

A *world* is several machines, their disks and the network between them. Each `choices()` is one thing that
may happen next: a message delivered (and kept, so that it comes again), a record written, a timer, a crash, a
folder emptied. A message that is never delivered is lost. `broken()` says which rule doesn't hold.

`explore` takes every choice of every state up to a depth, breadth first; states that look alike (clocks
and random draws left out) are visited once, as in stateright. `walk` takes random choices much
deeper. Both are deterministic.
"""

from __future__ import annotations

import hashlib
import pickle
import random
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field, fields, is_dataclass
from enum import Enum
from typing import Any

from cottonhold.fleet.consensus.actions import PersistState, SendConsensusMessage

Choice = tuple[Any, ...]


@dataclass(slots=True)
class Found:
    """What a check came to. trace: the choices that led to the broken rule, in order."""

    states: int = 0
    steps: int = 0
    depth: int = 0
    broken: str = ""
    trace: list[Choice] = field(default_factory=list)


def freeze(what: Any) -> Any:
    """A value that is equal for states that look alike: no clocks, no random draws."""
    if isinstance(what, float | random.Random):
        return None
    if isinstance(what, str | bytes | int | Enum | None):
        return what
    if isinstance(what, dict):
        return tuple(sorted(((repr(freeze(k)), freeze(v)) for k, v in what.items()), key=repr))
    if isinstance(what, set | frozenset):
        return tuple(sorted(map(repr, map(freeze, what))))
    if is_dataclass(what):
        return tuple(freeze(getattr(what, f.name)) for f in fields(what))
    if isinstance(what, Iterable):
        return tuple(freeze(one) for one in what)
    return tuple((k, freeze(v)) for k, v in sorted(vars(what).items()) if k not in ("counts", "settings"))


class World:
    """Machines 1, 2, ... with disks and a network. `make(member, life, disk)` starts one."""

    tick = 100.0  # ms that a `tick` takes
    copies = 2  # a message is delivered so often at most

    def __init__(self, members: Iterable[int], crashes: int, forgets: int) -> None:
        self.now, self.crashes, self.forgets = 0.0, crashes, forgets
        self.ids = list(members)
        self.disks: dict[int, dict[str, bytes]] = {m: {} for m in self.ids}
        self.queues: dict[int, list[PersistState]] = {
            m: [] for m in self.ids
        }  # asked to be kept, not on disk yet
        self.net: dict[tuple[int, int, bytes], int] = {}  # to, from, data: how often it may still come
        self.life = dict.fromkeys(self.ids, 0)
        self.up: dict[int, Any] = {}
        self.wrong = ""

    # --- for the model to fill in ---

    def make(self, member: int, disk: dict[str, bytes]) -> Any:
        """A machine that starts with this disk."""
        raise NotImplementedError

    def told(self, member: int, action: Any) -> None:
        """An action that is neither a message nor a record."""

    def more(self) -> list[Choice]:
        """Choices of this model."""
        return []

    def do(self, choice: Choice) -> None:
        """Carry out one of them."""

    def check(self) -> str:
        """The rule that is broken now, or nothing."""
        return ""

    def lost(self, member: int) -> None:
        """A machine's process has gone."""

    # --- the world's own ---

    def begin(self) -> None:
        """Start all, and let them come to rest with nothing lost."""
        for member in self.ids:
            self.start(member)
        self.calm(40)

    def start(self, member: int) -> None:
        """A machine starts with what is on its disk."""
        self.life[member] += 1
        self.queues[member] = []
        self.up[member] = self.make(member, dict(self.disks[member]))
        self.act(member, self.up[member].step(self.now))

    def act(self, member: int, actions: Iterable[Any]) -> None:
        """Carry out what a machine asks for."""
        for action in actions:
            if isinstance(action, SendConsensusMessage):
                if action.member in self.disks:
                    self.net[action.member, member, action.payload] = self.copies
            elif isinstance(action, PersistState):
                self.queues[member].append(action)
            else:
                self.told(member, action)

    def choices(self) -> list[Choice]:
        """All that may happen next."""
        found: list[Choice] = [("deliver", *message) for message in self.net if message[0] in self.up]
        found += [("write", m) for m in self.up if self.queues[m]]
        found += [("step", m) for m, one in self.up.items() if one.next_at() <= self.now]
        if self.crashes:
            found += [("crash", m) for m in self.up]
        if self.forgets:
            found += [("forget", m) for m in self.up]
        found += [("start", m) for m in self.ids if m not in self.up]
        return [*found, ("tick",), *self.more()]

    def apply(self, choice: Choice) -> None:
        """One of them happens."""
        kind = choice[0]
        if kind == "deliver":
            message = choice[1:]
            self.net[message] -= 1
            if not self.net[message]:
                del self.net[message]
            to, sender, data = message
            self.act(to, self.up[to].on_message(self.now, sender, data))
        elif kind == "write":
            self.write(choice[1])
        elif kind == "step":
            self.act(choice[1], self.up[choice[1]].step(self.now))
        elif kind == "tick":
            self.now += self.tick
        elif kind in ("crash", "forget"):
            self.crash(choice[1], kind == "forget")
        elif kind == "start":
            self.start(choice[1])
        else:
            self.do(choice)
        self.wrong = self.wrong or self.check()

    def write(self, member: int) -> None:
        """A disk has written its next record."""
        keep = self.queues[member].pop(0)
        self.disks[member].pop(keep.name, None)
        if keep.data:
            self.disks[member][keep.name] = keep.data
        self.act(member, self.up[member].on_persisted(self.now, keep.token))

    def crash(self, member: int, forget: bool) -> None:
        """A process is gone, with what wasn't written; maybe its folder too."""
        self.crashes -= not forget
        self.forgets -= forget
        del self.up[member]
        self.queues[member] = []
        if forget:
            self.disks[member] = {}
        self.lost(member)

    def calm(self, ticks: int) -> None:
        """Nothing is lost or repeated for so many ticks; all that is down starts."""
        for member in [m for m in self.ids if m not in self.up]:
            self.start(member)
        for _ in range(ticks):
            for _ in range(60):
                self._flow()
                due = [m for m, one in self.up.items() if one.next_at() <= self.now]
                if not due:
                    break
                for member in due:
                    self.act(member, self.up[member].step(self.now))
            self.now += self.tick / 4
            self.wrong = self.wrong or self.check()

    def _flow(self) -> None:
        while self.net or any(self.queues.values()):
            for member in self.ids:
                while self.queues[member]:
                    self.write(member)
            for message in list(self.net):
                del self.net[message]
                to, sender, data = message
                if to in self.up:
                    self.act(to, self.up[to].on_message(self.now, sender, data))
            self.wrong = self.wrong or self.check()

    def print(self) -> bytes:
        """What a state is recognised by."""
        parts = {k: v for k, v in vars(self).items() if k not in ("now", "life")}
        return hashlib.blake2b(repr(freeze(parts)).encode(), digest_size=12).digest()


def explore(begin: Callable[[], World], depth: int, most: int) -> Found:
    """Every order of events up to a depth, or until so many states were seen."""
    world, found = begin(), Found()
    seen = {world.print()}
    line: deque[tuple[bytes, tuple[Choice, ...]]] = deque([(pickle.dumps(world), ())])
    while line:
        blob, trace = line.popleft()
        if len(trace) >= depth or len(seen) >= most:
            break
        for choice in pickle.loads(blob).choices():
            world = pickle.loads(blob)
            world.apply(choice)
            found.steps += 1
            if world.wrong:
                found.broken, found.trace = world.wrong, [*trace, choice]
                found.states, found.depth = len(seen), len(trace) + 1
                return found
            mark = world.print()
            if mark not in seen:
                seen.add(mark)
                line.append((pickle.dumps(world), (*trace, choice)))
                found.depth = len(trace) + 1
    found.states = len(seen)
    return found


# How much likelier than 1 a random walk takes a choice: faults are rare, or nothing gets anywhere.
WEIGHTS = {
    "deliver": 6.0,
    "write": 10.0,
    "step": 4.0,
    "tick": 1.0,
    "crash": 0.15,
    "forget": 0.15,
    "start": 0.5,
}


def walk(
    begin: Callable[[], World], seed: int, walks: int, length: int, end: Callable[[World], str]
) -> Found:
    """Random orders. Each walk draws how much is lost in it; after it all comes to rest, and `end` says what
    is wrong then."""
    found = Found(depth=length)
    first = pickle.dumps(begin())
    for number in range(walks):
        draw, world = random.Random(f"{seed}/{number}"), pickle.loads(first)
        weights = {**WEIGHTS, "tick": draw.choice((0.1, 0.5, 2.0)), "deliver": draw.choice((1.0, 6.0, 20.0))}
        weights["write"] = draw.choice((0.3, 10.0))
        found.trace = []
        for _ in range(length):
            choices = world.choices()
            (choice,) = draw.choices(choices, [weights.get(c[0], 1.0) for c in choices])
            found.trace.append(choice)
            world.apply(choice)
            found.steps += 1
            if world.wrong:
                break
        if not world.wrong:
            world.net.clear()
            world.calm(80)
            world.wrong = world.wrong or end(world)
        found.states = number + 1
        if world.wrong:
            found.broken = world.wrong
            return found
    return found
