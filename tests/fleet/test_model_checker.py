"""The model checker detects planted defects and finds no violation without them."""

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
from cottonhold.fleet.session_affinity.ownership_records import OwnershipRecord, OwnershipState


def many_registers() -> Model:
    return RegisterModel(crashes=3, disk_losses=1, changes=3)


def many_owned_keys() -> Model:
    return OwnershipModel(crashes=2, moves=4, loads=6)


def test_registers_and_ownership_have_no_violation_in_random_orders() -> None:
    result = walk(many_registers, 1, 60, 200, registers_violation_at_end)
    assert not result.violation, result.trace
    result = walk(many_owned_keys, 1, 40, 250, ownership_violation_at_end)
    assert not result.violation, result.trace


@pytest.mark.parametrize("model", [RegisterModel, OwnershipModel])
def test_registers_and_ownership_have_no_violation_in_all_orders_of_a_few_events(
    model: Callable[[], Model],
) -> None:
    result = explore(model, 4, 250)
    assert not result.violation and result.depth >= 3


def no_quorum(monkeypatch: pytest.MonkeyPatch) -> None:
    """A single voter's answer is regarded as a majority."""
    original_init = proposer.Proposer.__init__

    def init_without_quorum(self: Any, *args: Any) -> None:
        original_init(self, *args)
        self.majority = 1

    monkeypatch.setattr(proposer.Proposer, "__init__", init_without_quorum)


def votes_with_empty_folder(monkeypatch: pytest.MonkeyPatch) -> None:
    """A voter with an empty state folder votes without recovery."""
    original_init = acceptor.Acceptor.__init__

    def init_voting(self: Any, *args: Any) -> None:
        original_init(self, *args)
        self.is_voting = True

    monkeypatch.setattr(acceptor.Acceptor, "__init__", init_voting)


def accepts_old_epochs(monkeypatch: pytest.MonkeyPatch) -> None:
    """Answers that a voter gave before its recovery are still used."""
    monkeypatch.setattr(proposer.Proposer, "_current_answers", lambda self, answers: dict(answers))


def answers_before_write(monkeypatch: pytest.MonkeyPatch) -> None:
    """A voter answers before its record is on disk."""
    monkeypatch.setattr(
        acceptor.Acceptor,
        "_send_after_write",
        lambda self, _, member, payload: self.actions.append(SendConsensusMessage(member, payload)),
    )


def no_fence(monkeypatch: pytest.MonkeyPatch) -> None:
    """An owner releases an accepted key while loads are open."""
    original_release = announcements.Announcements._release_if_idle

    def release_despite_open_requests(self: Any, now: float, key: bytes, record: OwnershipRecord) -> None:
        open_requests, self.open_requests = self.open_requests, {}
        original_release(self, now, key, record)
        self.open_requests = open_requests

    monkeypatch.setattr(announcements.Announcements, "_release_if_idle", release_despite_open_requests)


def fence_without_delay(monkeypatch: pytest.MonkeyPatch) -> None:
    """A fence is in force immediately, although the fenced member's lease may still be valid."""
    monkeypatch.setattr(membership_lease.MembershipLease, "fences_in_force", lambda self, now: True)


def early_release(monkeypatch: pytest.MonkeyPatch) -> None:
    """A target treats an offer as a release: it owns the key before the owner has released it."""
    original_on_offer = announcements.Announcements._on_offer

    def acquire_on_offer(self: Any, now: float, sender: int, entry: MigrationEntry) -> None:
        original_on_offer(self, now, sender, entry)
        record = self.records.get(entry.key)
        if record is not None and record.state is OwnershipState.ACCEPTED:
            self._acquire(now, entry.key, record, False)

    monkeypatch.setattr(announcements.Announcements, "_on_offer", acquire_on_offer)


def skips_synchronization(monkeypatch: pytest.MonkeyPatch) -> None:
    """A new home starts requests before other members have announced their keys."""

    def complete_immediately(self: Any, now: float) -> None:
        self.lease.complete_epoch = self.lease.epoch

    monkeypatch.setattr(announcements.Announcements, "_synchronize", complete_immediately)


@pytest.mark.parametrize("plant_defect", [no_quorum, votes_with_empty_folder, answers_before_write])
def test_a_defect_of_registers_is_detected(
    plant_defect: Callable[[pytest.MonkeyPatch], None], monkeypatch: pytest.MonkeyPatch
) -> None:
    plant_defect(monkeypatch)
    result = walk(many_registers, 1, 1500, 200, registers_violation_at_end)
    assert "two values" in result.violation or "was lost" in result.violation, result.violation


@pytest.mark.parametrize(
    "plant_defect", [no_fence, fence_without_delay, early_release, skips_synchronization]
)
def test_a_defect_of_ownership_is_detected(
    plant_defect: Callable[[pytest.MonkeyPatch], None], monkeypatch: pytest.MonkeyPatch
) -> None:
    plant_defect(monkeypatch)
    # This seed detects all of the defects early.
    result = walk(many_owned_keys, 7, 1500, 250, ownership_violation_at_end)
    assert "two owners" in result.violation or "a load started" in result.violation, result.violation


def run_network(world: RegisterModel, ms: float, is_delivered: Callable[[int, int], bool]) -> None:
    """Advance the time, complete writes, and deliver the messages that are selected."""
    until = world.now + ms
    while world.now < until:
        for member in world.members:
            while world.pending_writes[member]:
                world.complete_write(member)
        for message in [m for m in world.in_flight if is_delivered(m.target, m.sender)]:
            del world.in_flight[message]
            world.deliver(message)
        for member, registers in world.running.items():
            if registers.next_at() <= world.now and member != 4:
                world.step(member)
        world.now += 5


@pytest.mark.parametrize("has_defect", [False, True])
def test_a_promise_made_before_a_voter_lost_its_folder_is_ignored(
    has_defect: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """3 promises to 4, loses its state folder and recovers; 1 and 3 choose a value; then 2 promises to 4."""
    if has_defect:
        accepts_old_epochs(monkeypatch)
    world = RegisterModel()
    world.running[4].proposer.highest_ballot_number = 10
    world.request_change(4)
    run_network(world, 20, lambda target, sender: {target, sender} == {3, 4})
    world.in_flight.clear()
    world.crash(3, True)
    world.start(3)
    run_network(world, 2000, lambda target, sender: 4 not in (target, sender))
    assert world.running[3].is_voting()
    world.request_change(1)
    run_network(world, 60, lambda target, sender: {target, sender} == {1, 3})
    assert world.settled_values == {1: b"11"}
    world.in_flight.clear()
    world.step(4)
    run_network(world, 20, lambda target, sender: {target, sender} == {2, 4})
    run_network(world, 20, lambda target, sender: True)
    assert bool(world.violation) is has_defect
