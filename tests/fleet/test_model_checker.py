"""The model checker finds what is broken on purpose, and nothing in what stands."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import pytest

from cottonhold.emulator.model_checker import Model, explore, walk
from cottonhold.emulator.models import (
    OwnershipModel,
    RegisterModel,
    ownership_violation_at_end,
    registers_violation_at_end,
)
from cottonhold.fleet.consensus import acceptor, proposer
from cottonhold.fleet.consensus.actions import SendConsensusMessage
from cottonhold.fleet.session_affinity import announcements, membership_lease
from cottonhold.fleet.session_affinity.messages import MigrationEntry
from cottonhold.fleet.session_affinity.record_book import OwnershipRecord, OwnershipState


def many_registers() -> Model:
    return RegisterModel(crashes=3, disk_losses=1, changes=3)


def many_owned_keys() -> Model:
    return OwnershipModel(crashes=2, moves=4, loads=6)


def test_registers_and_ownership_keep_their_rules_in_random_orders() -> None:
    found = walk(many_registers, 1, 60, 200, registers_violation_at_end)
    assert not found.violation, found.trace
    found = walk(many_owned_keys, 1, 40, 250, ownership_violation_at_end)
    assert not found.violation, found.trace


@pytest.mark.parametrize("world", [RegisterModel, OwnershipModel])
def test_both_keep_their_rules_in_every_order_of_a_few_events(world: Callable[[], Model]) -> None:
    found = explore(world, 4, 250)
    assert not found.violation and found.depth >= 3


def no_quorum(monkeypatch: pytest.MonkeyPatch) -> None:
    """One voter's word is enough."""
    begin = proposer.Proposer.__init__

    def alone(self: Any, *args: Any) -> None:
        begin(self, *args)
        self.majority = 1

    monkeypatch.setattr(proposer.Proposer, "__init__", alone)


def forgetful(monkeypatch: pytest.MonkeyPatch) -> None:
    """A voter with an empty folder votes as if it had never voted."""
    begin = acceptor.Acceptor.__init__

    def anew(self: Any, *args: Any) -> None:
        begin(self, *args)
        self.is_voting = True

    monkeypatch.setattr(acceptor.Acceptor, "__init__", anew)


def old_epochs(monkeypatch: pytest.MonkeyPatch) -> None:
    """A voter returns properly, but its answers from before count on."""
    monkeypatch.setattr(proposer.Proposer, "_current_answers", lambda self, answers: dict(answers))


def unwritten(monkeypatch: pytest.MonkeyPatch) -> None:
    """A voter answers before its record is on disk."""
    monkeypatch.setattr(
        acceptor.Acceptor,
        "_send_after_write",
        lambda self, _, to, data: self.actions.append(SendConsensusMessage(to, data)),
    )


def no_fence(monkeypatch: pytest.MonkeyPatch) -> None:
    """A mover whose target has accepted releases, and goes on while loads are open."""
    release = announcements.Announcements._release_if_idle

    def loose(self: Any, now: float, key: bytes, record: OwnershipRecord) -> None:
        open_requests, self.open_requests = self.open_requests, {}
        release(self, now, key, record)
        self.open_requests = open_requests

    monkeypatch.setattr(announcements.Announcements, "_release_if_idle", loose)


def no_wait(monkeypatch: pytest.MonkeyPatch) -> None:
    """A fence is in force at once: the fenced one's lease may still run."""
    monkeypatch.setattr(membership_lease.MembershipLease, "fences_in_force", lambda self, now: True)


def early_release(monkeypatch: pytest.MonkeyPatch) -> None:
    """A target takes an offer for a release: it holds the pin before the mover has let it go."""
    offered = announcements.Announcements._on_offer

    def taken(self: Any, now: float, sender: int, entry: MigrationEntry) -> None:
        offered(self, now, sender, entry)
        record = self.records.get(entry.key)
        if record is not None and record.state is OwnershipState.ACCEPTED:
            self._acquire(now, entry.key, record, False)

    monkeypatch.setattr(announcements.Announcements, "_on_offer", taken)


def skips_synchronization(monkeypatch: pytest.MonkeyPatch) -> None:
    """A new home begins without having been told what others own."""

    def at_once(self: Any, now: float) -> None:
        self.lease.complete_epoch = self.lease.epoch

    monkeypatch.setattr(announcements.Announcements, "_synchronize", at_once)


@pytest.mark.parametrize("plant", [no_quorum, forgetful, unwritten])
def test_a_defect_of_registers_is_detected(
    plant: Callable[[pytest.MonkeyPatch], None], monkeypatch: pytest.MonkeyPatch
) -> None:
    plant(monkeypatch)
    found = walk(many_registers, 1, 1500, 200, registers_violation_at_end)
    assert "two values" in found.violation or "was lost" in found.violation, found.violation


@pytest.mark.parametrize("plant", [no_fence, no_wait, early_release, skips_synchronization])
def test_a_defect_of_ownership_is_detected(
    plant: Callable[[pytest.MonkeyPatch], None], monkeypatch: pytest.MonkeyPatch
) -> None:
    plant(monkeypatch)
    found = walk(many_owned_keys, 7, 1500, 250, ownership_violation_at_end)  # a seed that meets all soon
    assert "two owners" in found.violation or "a load started" in found.violation, found.violation


def pump(world: RegisterModel, ms: float, passes: Callable[[int, int], bool]) -> None:
    """Time goes by, disks write, and the messages that may pass do."""
    until = world.now + ms
    while world.now < until:
        for member in world.members:
            while world.pending_writes[member]:
                world.complete_write(member)
        for message in [m for m in world.in_flight if passes(m.target, m.sender)]:
            del world.in_flight[message]
            world.deliver(message)
        for member, one in world.running.items():
            if one.next_at() <= world.now and member != 4:
                world.step(member)
        world.now += 5


@pytest.mark.parametrize("broken", [False, True])
def test_a_promise_from_before_a_voter_forgot_counts_no_more(
    broken: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """4 has 3's promise; 3 forgets and returns; 1 and 3 settle a value; then 2 promises to 4."""
    if broken:
        old_epochs(monkeypatch)
    world = RegisterModel()
    world.running[4].proposer.highest_ballot_number = 10
    world.request_change(4)
    pump(world, 20, lambda to, sender: {to, sender} == {3, 4})
    world.in_flight.clear()
    world.crash(3, True)
    world.start(3)
    pump(world, 2000, lambda to, sender: 4 not in (to, sender))
    assert world.running[3].is_voting()
    world.request_change(1)
    pump(world, 60, lambda to, sender: {to, sender} == {1, 3})
    assert world.settled_values == {1: b"11"}
    world.in_flight.clear()
    world.step(4)
    pump(world, 20, lambda to, sender: {to, sender} == {2, 4})
    pump(world, 20, lambda to, sender: True)
    assert bool(world.violation) is broken
