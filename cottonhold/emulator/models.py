"""Models for the model checker.

RegisterModel: three voters, and two proposers of which one does not vote.
OwnershipModel: two owners, two keys and three voters.
"""

from __future__ import annotations

import random
from enum import StrEnum
from typing import Any

from cottonhold.emulator.model_checker import FINAL_SETTLING_TICKS, Choice, Model
from cottonhold.fleet.consensus.actions import ChangeResult, OperationOutcome, RegisterChanged
from cottonhold.fleet.consensus.register import Registers
from cottonhold.fleet.consensus.settings import RegisterSettings
from cottonhold.fleet.session_affinity.ownership import KeyOwnership, MoveEnded, OwnershipSettings

REGISTER = "r"
VOTERS, NON_VOTING_PROPOSER = (1, 2, 3), 4
OWNERS = (1, 2)
REQUEST_CHANGE = "ask"


class RegisterModel(Model):
    """One register; each proposer requests a number of changes of the version that it knows.

    Rules: a version has one value; the version of a successful change has its value; a change that was
    reported as lost is never settled; versions never decrease.
    """

    def __init__(self, crashes: int = 1, disk_losses: int = 1, changes: int = 2) -> None:
        super().__init__((*VOTERS, NON_VOTING_PROPOSER), crashes, disk_losses)
        self.remaining_changes = {1: changes, NON_VOTING_PROPOSER: changes}
        self.settled_values: dict[int, bytes] = {}  # by version
        self.requested: dict[int, tuple[int, bytes]] = {}  # base version and value, by token
        self.lost_values: set[bytes] = set()
        self.start_all()

    def make_machine(self, member: int, disk: dict[str, bytes]) -> Registers:
        """Return a member's registers, restored from its disk."""
        incarnation = self.incarnations[member]
        return Registers(
            member,
            VOTERS,
            incarnation,
            1,
            member * 1000 + incarnation,
            disk,
            RegisterSettings(operation_timeout_ms=20_000.0),
        )

    def model_choices(self) -> list[Choice]:
        """Return a change for each running proposer that has one left."""
        proposers = [m for m, remaining in self.remaining_changes.items() if remaining and m in self.running]
        return [Choice(REQUEST_CHANGE, (m,)) for m in proposers]

    def apply_model_choice(self, choice: Choice) -> None:
        """Request a change."""
        self.request_change(choice.args[0])

    def request_change(self, member: int) -> None:
        """Have a proposer request a change of the register version that it knows."""
        self.remaining_changes[member] -= 1
        token = member * 10 + self.remaining_changes[member]
        version, _ = self.running[member].last_known(REGISTER)
        value = b"%d" % token
        self.requested[token] = version, value
        self.execute(member, self.running[member].change(self.now, REGISTER, version, value, token))

    def on_action(self, member: int, action: Any) -> None:
        """Check the settled values and the outcomes that a member reports."""
        if isinstance(action, RegisterChanged):
            self._on_settled(action.version, action.value)
        elif isinstance(action, OperationOutcome) and action.token:
            self._on_outcome(action)

    def _on_outcome(self, outcome: OperationOutcome) -> None:
        if outcome.version >= 0:
            self._on_settled(outcome.version, outcome.value)
        version, value = self.requested[outcome.token]
        if outcome.result is ChangeResult.WON:
            self._on_settled(version + 1, value)
        elif outcome.result is ChangeResult.LOST:
            self.lost_values.add(value)

    def _on_settled(self, version: int, value: bytes) -> None:
        if version and self.settled_values.setdefault(version, value) != value:
            self.violation = f"version {version} has two values"

    def violated_rule(self) -> str:
        """Return the violation of a lost change that was settled, if any."""
        values = self.lost_values & set(self.settled_values.values())
        return f"a change that was lost was settled: {sorted(values)}" if values else ""


def registers_violation_at_end(model: Model) -> str:
    """Check that, after all faults, every change has an outcome and all voters vote and agree."""
    assert isinstance(model, RegisterModel)
    voters = [model.running[voter] for voter in VOTERS]
    if not all(voter.is_voting() for voter in voters):
        return "a voter doesn't vote"
    if any(machine.proposer.in_progress or machine.proposer.queue for machine in model.running.values()):
        return "a change has no end"
    known = {voter.last_known(REGISTER) for voter in voters if voter.last_known(REGISTER)[0]}
    return "voters know different values" if len(known) > 1 else ""


class OwnershipChoice(StrEnum):
    """The kinds of events that are specific to OwnershipModel."""

    MOVE = "move"
    START_LOAD = "load"
    END_LOAD = "end"
    FENCE = "fence"
    LEARN_FENCE = "learn"


class OwnershipModel(Model):
    """Keys that move between two owners while loads of them start and end; one owner may be fenced once.

    Rules: a key has at most one owner at any time; no load starts while one of its key is open elsewhere; if
    the end of an earlier load is unknown, the key's next owner has recorded that it may have run.
    """

    tick_ms = 150.0
    keys = (b"\0" * 7 + b"\1", b"\0" * 7 + b"\3")

    def __init__(self, crashes: int = 1, moves: int = 2, loads: int = 3, fences: int = 1) -> None:
        super().__init__(VOTERS, crashes, 0)
        self.remaining_moves, self.remaining_loads, self.remaining_fences = moves, loads, fences
        self.open_loads: dict[bytes, tuple[int, int]] = {}  # member and load, by key
        self.unknown_ends: dict[bytes, int] = {}  # member whose crash left a load's end unknown, by key
        self.fenced_member = 0
        self.fence_known_by: set[int] = set()
        self.start_all()

    def make_machine(self, member: int, disk: dict[str, bytes]) -> KeyOwnership:
        """Return a member's key ownership, restored from its disk."""
        draw = random.Random(member * 1000 + self.incarnations[member])
        settings = OwnershipSettings(is_enabled=True)
        return KeyOwnership(member, OWNERS, self.members, self.now, draw.getrandbits(32), disk, settings)

    def model_choices(self) -> list[Choice]:
        """Return possible moves, starts and ends of loads, and events of the fence."""
        choices: list[Choice] = []
        for member in OWNERS:
            if member in self.running:
                choices += [Choice(OwnershipChoice.MOVE, (member,))] if self.remaining_moves else []
                keys = [k for k in self.keys if self.remaining_loads and self._may_start_load(member, k)]
                choices += [Choice(OwnershipChoice.START_LOAD, (member, key)) for key in keys]
        for key, (member, _) in self.open_loads.items():
            if member in self.running:
                choices.append(Choice(OwnershipChoice.END_LOAD, (key,)))
        if self.fenced_member:
            unaware = [m for m in self.running if m not in self.fence_known_by]
            choices += [Choice(OwnershipChoice.LEARN_FENCE, (m,)) for m in unaware]
        elif self.remaining_fences:
            choices += [Choice(OwnershipChoice.FENCE, (m,)) for m in OWNERS]
        return choices

    def _may_start_load(self, member: int, key: bytes) -> bool:
        """Return whether a member owns a key and has no open load of the key."""
        open_load = self.open_loads.get(key)
        if open_load is not None and open_load[0] == member:
            return False
        return self.running[member].ownership_of(self.now, key) is not None

    def apply_model_choice(self, choice: Choice) -> None:
        """Apply one of the model's own choices."""
        kind, args = choice
        if kind == OwnershipChoice.MOVE:
            self._move(args[0])
        elif kind == OwnershipChoice.START_LOAD:
            self._start_load(args[0], args[1])
        elif kind == OwnershipChoice.END_LOAD:
            member, load = self.open_loads.pop(args[0])
            self.end_load(args[0], member, load)
        elif kind == OwnershipChoice.FENCE:
            self.remaining_fences -= 1
            self.fenced_member = args[0]
            self.fence_known_by = set()
        elif kind == OwnershipChoice.LEARN_FENCE:
            self.learn_fence(args[0])

    def _move(self, member: int) -> None:
        """Have a member move all its keys to the other owner."""
        self.remaining_moves -= 1
        machine, target = self.running[member], sum(OWNERS) - member
        owned = [key for key in self.keys if machine.ownership_of(self.now, key)]
        self.execute(member, machine.move(self.now, owned, target))

    def _start_load(self, member: int, key: bytes) -> None:
        """Start a load of a key at a member that owns it."""
        self.remaining_loads -= 1
        ownership = self.running[member].ownership_of(self.now, key)
        open_load = self.open_loads.get(key)
        if open_load is not None and open_load[0] != self.fenced_member:
            self.violation = "a load started while another was open elsewhere"
        former_member = open_load[0] if open_load is not None else self.unknown_ends.get(key, member)
        if former_member != member and not ownership.may_have_run:
            self.violation = "a load started without a record that an earlier one may have run"
        self.open_loads[key] = member, self.remaining_loads
        actions = self.running[member].on_request_opened(self.now, key, self.remaining_loads)
        self.execute(member, actions)

    def end_load(self, key: bytes, member: int, load: int) -> None:
        """End a load at a member."""
        self.execute(member, self.running[member].on_request_ended(self.now, key, load))

    def learn_fence(self, member: int) -> None:
        """Inform a member of who is fenced."""
        self.fence_known_by.add(member)
        self.execute(member, self.running[member].fence(self.now, self.fenced_member, 1))

    def on_crash(self, member: int) -> None:
        """Mark the end of a crashed member's open loads as unknown, and forget its fence."""
        for key in [k for k, (owner, _) in self.open_loads.items() if owner == member]:
            del self.open_loads[key]
            self.unknown_ends[key] = member
        self.fence_known_by.discard(member)

    def on_action(self, member: int, action: Any) -> None:
        """Check the end of a move."""
        if isinstance(action, MoveEnded) and action.is_moved and action.target == member:
            self.violation = "moved to itself"

    def owner_count(self, key: bytes) -> int:
        """Return the number of members that own a key now."""
        machines = self.running.values()
        return sum(machine.ownership_of(self.now, key) is not None for machine in machines)

    def violated_rule(self) -> str:
        """Return the violation of a key with two owners, if any."""
        return "a key has two owners" if any(self.owner_count(key) > 1 for key in self.keys) else ""


def ownership_violation_at_end(model: Model) -> str:
    """Check that, after all faults, each key has an owner again."""
    assert isinstance(model, OwnershipModel)
    for member in list(model.running):
        if model.fenced_member:
            model.learn_fence(member)
    for key, (member, load) in list(model.open_loads.items()):
        model.end_load(key, member, load)
    model.settle(FINAL_SETTLING_TICKS)
    for key in model.keys:
        for machine in model.running.values():
            machine.route(model.now, key)  # a key gets an owner when a request for it is routed
    model.settle(8)
    owner_counts = [model.owner_count(key) for key in model.keys]
    if model.violation or owner_counts == [1] * len(model.keys):
        return model.violation
    return f"owners of the keys: {owner_counts}"
