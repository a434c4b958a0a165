"""Worlds for the model checker. Registers: 3 voters, 2 proposers, one of which doesn't vote. Pins: 2 owners,
2 keys, 3 voters."""

from __future__ import annotations

import random
from typing import Any

from cottonhold.emulator.model_checker import Choice, World
from cottonhold.fleet.consensus.actions import ChangeResult, OperationOutcome, RegisterChanged
from cottonhold.fleet.consensus.register import Registers
from cottonhold.fleet.consensus.settings import RegisterSettings
from cottonhold.fleet.session_affinity.ownership import KeyOwnership, MoveEnded, OwnershipSettings


class RegisterWorld(World):
    """One register; each proposer asks `asks` times to set it from what it knows. Rules: a version has one
    value; who won sees its own value; what was lost is never seen; versions never go back."""

    def __init__(self, crashes: int = 1, forgets: int = 1, asks: int = 2) -> None:
        super().__init__((1, 2, 3, 4), crashes, forgets)
        self.asks = {1: asks, 4: asks}
        self.values: dict[int, bytes] = {}  # by version: what was settled
        self.asked: dict[int, tuple[int, bytes]] = {}  # by token: from which version, to what
        self.lost_values: set[bytes] = set()
        self.won: dict[int, bytes] = {}
        self.begin()

    def make(self, member: int, disk: dict[str, bytes]) -> Registers:
        """One member's machine over what its disk holds."""
        seed = member * 1000 + self.life[member]
        return Registers(
            member,
            (1, 2, 3),
            self.life[member],
            1,
            seed,
            disk,
            RegisterSettings(operation_timeout_ms=20_000.0),
        )

    def more(self) -> list[Choice]:
        """The choices that the world itself has now."""
        return [("ask", m) for m, left in self.asks.items() if left and m in self.up]

    def do(self, choice: Choice) -> None:
        """Carry one choice out."""
        member = choice[1]
        self.asks[member] -= 1
        token = member * 10 + self.asks[member]
        version, _ = self.up[member].last_known("r")
        self.asked[token] = version, b"%d" % token
        self.act(member, self.up[member].change(self.now, "r", version, b"%d" % token, token))

    def told(self, member: int, action: Any) -> None:
        """Note an action of a member, and check it."""
        if isinstance(action, RegisterChanged):
            self.settle(action.version, action.value)
        elif isinstance(action, OperationOutcome) and action.token:
            self.outcome(action)

    def outcome(self, end: OperationOutcome) -> None:
        """A proposer was told how its change ended."""
        if end.version >= 0:
            self.settle(end.version, end.value)
        from_, value = self.asked[end.token]
        if end.result is ChangeResult.WON:
            self.settle(from_ + 1, value)
        elif end.result is ChangeResult.LOST:
            self.lost_values.add(value)

    def settle(self, version: int, value: bytes) -> None:
        """Somebody holds that this value was settled under this version."""
        if version and self.values.setdefault(version, value) != value:
            self.wrong = f"version {version} has two values"

    def check(self) -> str:
        """What is wrong with the state; empty if nothing is."""
        lost = self.lost_values & set(self.values.values())
        return f"a change that was lost was settled: {sorted(lost)}" if lost else ""


def register_end(world: World) -> str:
    """After all faults: every asker got an answer, and all voters vote and agree."""
    assert isinstance(world, RegisterWorld)
    if not all(world.up[voter].is_voting() for voter in (1, 2, 3)):
        return "a voter doesn't vote"
    if any(one.proposer.in_progress or one.proposer.queue for one in world.up.values()):
        return "a change has no end"
    known = {world.up[voter].last_known("r") for voter in (1, 2, 3) if world.up[voter].last_known("r")[0]}
    return "voters know different values" if len(known) > 1 else ""


class PinWorld(World):
    """Keys move from 1 to 2 and back while loads of them start and end; 1 or 2 may be fenced once.
    Rules: one owner a key at each moment; no load starts while one is open elsewhere; where the end of an
    earlier one is unknown, its next owner is told so."""

    tick = 150.0
    keys = (b"\0" * 7 + b"\1", b"\0" * 7 + b"\3")

    def __init__(self, crashes: int = 1, moves: int = 2, loads: int = 3, fences: int = 1) -> None:
        super().__init__((1, 2, 3), crashes, 0)
        self.moves, self.loads, self.fences = moves, loads, fences
        self.running: dict[bytes, tuple[int, int]] = {}  # key -> where, load
        self.unknown: dict[bytes, int] = {}  # key -> where a load went whose end nobody heard
        self.fenced = 0
        self.learnt: set[int] = set()
        self.begin()

    def make(self, member: int, disk: dict[str, bytes]) -> KeyOwnership:
        """One member's machine over what its disk holds."""
        draw = random.Random(member * 1000 + self.life[member])
        settings = OwnershipSettings(is_enabled=True)
        return KeyOwnership(member, (1, 2), self.ids, self.now, draw.getrandbits(32), disk, settings)

    def more(self) -> list[Choice]:
        """The choices that the world itself has now."""
        found: list[Choice] = []
        for member in (1, 2):
            if member in self.up:
                found += [("move", member)] if self.moves else []
                found += [("load", member, k) for k in self.keys if self.loads and self.free(member, k)]
        found += [("end", k) for k, (where, _) in self.running.items() if where in self.up]
        if self.fenced:
            found += [("learn", m) for m in self.up if m not in self.learnt]
        elif self.fences:
            found += [("fence", 1), ("fence", 2)]
        return found

    def free(self, member: int, key: bytes) -> bool:
        """A load of the key would be started here: its owner has one at a time."""
        there = self.running.get(key)
        return (there is None or there[0] != member) and self.up[member].ownership_of(
            self.now, key
        ) is not None

    def do(self, choice: Choice) -> None:
        """Carry one choice out."""
        kind, what = choice[0], choice[1]
        if kind == "move":
            self.moves -= 1
            mine = [k for k in self.keys if self.up[what].ownership_of(self.now, k)]
            self.act(what, self.up[what].move(self.now, mine, 3 - what))
        elif kind == "load":
            self.load(what, choice[2])
        elif kind == "end":
            where, load = self.running.pop(what)
            self.act(where, self.up[where].on_request_ended(self.now, what, load))
        elif kind == "fence":
            self.fences -= 1
            self.fenced = what
            self.learnt = set()
        elif kind == "learn":
            self.learnt.add(what)
            self.act(what, self.up[what].fence(self.now, self.fenced, 1))

    def load(self, member: int, key: bytes) -> None:
        """A load of the key starts at a member that owns it."""
        self.loads -= 1
        own = self.up[member].ownership_of(self.now, key)
        there = self.running.get(key)
        if there is not None and there[0] != self.fenced:
            self.wrong = "a load started while another was open elsewhere"
        left = there[0] if there is not None else self.unknown.get(key, member)
        if left != member and not own.may_have_run:
            self.wrong = "a load started and nobody was told that one before it may have run"
        self.running[key] = member, self.loads
        self.act(member, self.up[member].on_request_opened(self.now, key, self.loads))

    def lost(self, member: int) -> None:
        """A member was lost with its requests."""
        for key in [k for k, (where, _) in self.running.items() if where == member]:
            del self.running[key]
            self.unknown[key] = member
        self.learnt.discard(member)

    def told(self, member: int, action: Any) -> None:
        """Note an action of a member, and check it."""
        if isinstance(action, MoveEnded) and action.is_moved and action.target == member:
            self.wrong = "moved to itself"

    def check(self) -> str:
        """What is wrong with the state; empty if nothing is."""
        for key in self.keys:
            if sum(one.ownership_of(self.now, key) is not None for one in self.up.values()) > 1:
                return "a key has two owners"
        return ""


def pin_end(world: World) -> str:
    """After all faults: each key has an owner again."""
    assert isinstance(world, PinWorld)
    for member in list(world.up):
        if world.fenced:
            world.do(("learn", member))
    for key, (where, load) in list(world.running.items()):
        world.act(where, world.up[where].on_request_ended(world.now, key, load))
    world.calm(80)
    for key in world.keys:
        for one in world.up.values():  # a home takes over what it is asked for
            one.route(world.now, key)
    world.calm(8)
    owners = [
        sum(one.ownership_of(world.now, key) is not None for one in world.up.values()) for key in world.keys
    ]
    return world.wrong or ("" if owners == [1, 1] else f"owners of the keys: {owners}")
