"""The model checker finds what is broken on purpose, and nothing in what stands."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import pytest

from cottonhold.emulator.model_checker import World, explore, walk
from cottonhold.emulator.models import PinWorld, RegisterWorld, pin_end, register_end
from cottonhold.fleet.consensus import acceptor, proposer
from cottonhold.fleet.consensus.actions import SendConsensusMessage
from cottonhold.fleet.session_affinity import announcements, membership_lease
from cottonhold.fleet.session_affinity.messages import MigrationEntry
from cottonhold.fleet.session_affinity.record_book import OwnershipRecord, OwnershipState


def many_registers() -> World:
    return RegisterWorld(crashes=3, forgets=1, asks=3)


def many_owned_keys() -> World:
    return PinWorld(crashes=2, moves=4, loads=6)


def test_registers_and_ownership_keep_their_rules_in_random_orders() -> None:
    found = walk(many_registers, 1, 60, 200, register_end)
    assert not found.broken, found.trace
    found = walk(many_owned_keys, 1, 40, 250, pin_end)
    assert not found.broken, found.trace


@pytest.mark.parametrize("world", [RegisterWorld, PinWorld])
def test_both_keep_their_rules_in_every_order_of_a_few_events(world: Callable[[], World]) -> None:
    found = explore(world, 4, 250)
    assert not found.broken and found.depth >= 3


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
    found = walk(many_registers, 1, 1500, 200, register_end)
    assert "two values" in found.broken or "was lost" in found.broken, found.broken


@pytest.mark.parametrize("plant", [no_fence, no_wait, early_release, skips_synchronization])
def test_a_defect_of_ownership_is_detected(
    plant: Callable[[pytest.MonkeyPatch], None], monkeypatch: pytest.MonkeyPatch
) -> None:
    plant(monkeypatch)
    found = walk(many_owned_keys, 7, 1500, 250, pin_end)  # a seed that meets all soon
    assert "two owners" in found.broken or "a load started" in found.broken, found.broken


def pump(world: RegisterWorld, ms: float, passes: Callable[[int, int], bool]) -> None:
    """Time goes by, disks write, and the messages that may pass do."""
    until = world.now + ms
    while world.now < until:
        for member in world.ids:
            while world.queues[member]:
                world.write(member)
        for message in [m for m in world.net if passes(m[0], m[1])]:
            del world.net[message]
            world.act(message[0], world.up[message[0]].on_message(world.now, *message[1:]))
        for member, one in world.up.items():
            if one.next_at() <= world.now and member != 4:
                world.act(member, one.step(world.now))
        world.now += 5


@pytest.mark.parametrize("broken", [False, True])
def test_a_promise_from_before_a_voter_forgot_counts_no_more(
    broken: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """4 has 3's promise; 3 forgets and returns; 1 and 3 settle a value; then 2 promises to 4."""
    if broken:
        old_epochs(monkeypatch)
    world = RegisterWorld()
    world.up[4].proposer.highest_ballot_number = 10
    world.do(("ask", 4))
    pump(world, 20, lambda to, sender: {to, sender} == {3, 4})
    world.net.clear()
    world.crash(3, True)
    world.start(3)
    pump(world, 2000, lambda to, sender: 4 not in (to, sender))
    assert world.up[3].is_voting()
    world.do(("ask", 1))
    pump(world, 60, lambda to, sender: {to, sender} == {1, 3})
    assert world.values == {1: b"11"}
    world.net.clear()
    world.act(4, world.up[4].step(world.now))
    pump(world, 20, lambda to, sender: {to, sender} == {2, 4})
    pump(world, 20, lambda to, sender: True)
    assert bool(world.wrong) is broken
