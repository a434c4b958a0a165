"""The membership table and the session affinity service, in virtual time with simulated disks and network."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

import pytest

from cottonhold.fleet.consensus.actions import (
    ChangeRegister,
    ChangeResult,
    OperationOutcome,
    PersistState,
    ReadRegister,
    RegisterChanged,
    SendConsensusMessage,
)
from cottonhold.fleet.consensus.messages import MAX_VALUE_BYTES
from cottonhold.fleet.consensus.register import Registers
from cottonhold.fleet.message_format import MessageError
from cottonhold.fleet.session_affinity import messages
from cottonhold.fleet.session_affinity.membership_table import (
    MAX_CHANGES,
    MAX_MEMBERS,
    MemberList,
    decode_member_list,
    encode_member_list,
)
from cottonhold.fleet.session_affinity.ownership import (
    KeyOwnership,
    OwnedElsewhere,
    OwnedHere,
    OwnershipSettings,
    RetryAfter,
)
from cottonhold.fleet.session_affinity.service import DepartureState, SessionAffinityService, Surroundings
from cottonhold.membership.leases import LeaseReply, LeaseRequest
from tests.support.member_network import Net

A, B, C, D = 101, 102, 103, 104
KEYS = [n.to_bytes(8, "big") for n in range(24)]
WON_BY_RESULT = {
    ChangeResult.WON: True,
    ChangeResult.LOST: False,
    ChangeResult.UNKNOWN: None,
}


class Member:
    """Registers and session affinity of one member, connected as by the adapter."""

    def __init__(self, fleet: Fleet, member: int, incarnation: int, disk: dict[str, bytes]) -> None:
        now, seed = fleet.now, incarnation * 1000 + member
        parts: tuple[dict[str, bytes], dict[str, bytes]] = ({}, {})
        for name, data in disk.items():
            parts[name.startswith("p:")][name[2:]] = data
        self.fleet, self.member, self.next_step_at = fleet, member, now
        folder_is_current = fleet.folder_is_current[member]
        self.registers = Registers(
            member, fleet.voters, incarnation, incarnation, seed, parts[0] if folder_is_current else {}
        )
        self.service = SessionAffinityService(member, fleet.voters, now, seed, parts[1])

    def next_at(self) -> float:
        return min(self.next_step_at, self.registers.next_at(), self.service.next_at(self.fleet.now))

    def step(self, now: float) -> list[Any]:
        self.next_step_at = now + 50
        self.registers.set_listeners(self.fleet.live - {self.member})
        departure = self.fleet.departures.get(self.member, DepartureState.STAYING)
        removed = frozenset(
            m for m, departure in self.fleet.departures.items() if departure is DepartureState.OUT
        )
        surroundings = Surroundings(
            self.fleet.folder_is_current[self.member], departure, frozenset(self.fleet.live), removed
        )
        remaining = self.handle_register_actions(now, self.registers.step(now))
        return remaining + self.handle_affinity_actions(now, self.service.step(now, surroundings))

    def on_message(self, now: float, sender: int, data: bytes) -> list[Any]:
        if data[0] < 75:
            return self.handle_register_actions(now, self.registers.on_message(now, sender, data))
        return self.handle_affinity_actions(now, self.service.on_message(now, sender, data))

    def on_persisted(self, now: float, token: int) -> list[Any]:
        if token % 2:
            return self.handle_affinity_actions(now, self.service.on_persisted(now, token // 2))
        return self.handle_register_actions(now, self.registers.on_persisted(now, token // 2))

    def handle_register_actions(self, now: float, actions: Iterable[Any]) -> list[Any]:
        remaining: list[Any] = []
        for action in actions:
            match action:
                case PersistState(name, data, write_token):
                    remaining.append(PersistState("r:" + name, data, write_token * 2))
                case OperationOutcome(token, result, version, value):
                    if not self.fleet.loses_outcome(self.member):
                        won = WON_BY_RESULT[result] if version >= 0 else None
                        self.service.on_outcome(now, token, won, version, value)
                case RegisterChanged(name, version, value):
                    self.service.on_register_changed(now, name, version, value)
                case _:
                    remaining.append(action)
        return remaining

    def handle_affinity_actions(self, now: float, actions: Iterable[Any]) -> list[Any]:
        remaining: list[Any] = []
        for action in actions:
            match action:
                case ChangeRegister(name, version, value, token):
                    remaining += self.handle_register_actions(
                        now, self.registers.change(now, name, version, value, token)
                    )
                case ReadRegister(name, token):
                    remaining += self.handle_register_actions(now, self.registers.read(now, name, token))
                case PersistState(name, data, write_token):
                    remaining.append(PersistState("p:" + name, data, write_token * 2 + 1))
                case _:
                    remaining.append(action)
        return remaining


class Fleet(Net):
    """Members of which the first three are voters; checks that no key ever has two owners."""

    def __init__(self, members: int = 4, seed: int = 1) -> None:
        self.folder_is_current: dict[int, bool | None] = dict.fromkeys(range(101, 101 + members), False)
        self.voters, self.departures = [A, B, C], dict[int, DepartureState]()
        self.live, self.lost_outcomes, self.event_count = set(self.folder_is_current), 0, 0
        super().__init__(
            list(self.folder_is_current),
            lambda member, incarnation, disk: Member(self, member, incarnation, disk),
            seed,
        )
        self.after_event = self.check_single_owner

    def loses_outcome(self, member: int) -> bool:
        """Whether the outcome of this register operation is lost."""
        self.lost_outcomes -= self.lost_outcomes > 0
        return self.lost_outcomes > 0

    def service(self, member: int) -> SessionAffinityService:
        service: SessionAffinityService = self.running[member].service
        return service

    def remaining_keys(self, member: int) -> int:
        """Return the remaining count for the newest state of the member's replacement."""
        return self.service(member).remaining_count(self.now, self.departures[member])

    def do(self, member: int, actions: Iterable[Any]) -> None:
        self.act(member, self.running[member].handle_affinity_actions(self.now, actions))

    def check_single_owner(self) -> None:
        self.event_count += 1
        if self.event_count % 7:
            return
        for key in KEYS:
            owners = [m for m in self.running if self.service(m).ownership_of(self.now, key) is not None]
            assert len(owners) <= 1, (self.now, key, owners)

    def establish(self) -> Fleet:
        self.run(6000)
        assert self.table_members() == set(self.ids)
        self.folder_is_current = dict.fromkeys(self.ids, True)
        return self

    def table_members(self) -> set[int]:
        """Return the members in the table, after checking that all running members agree on them."""
        member_lists = {frozenset(self.service(m).table.member_list.members) for m in self.running}
        epochs = {self.service(m).ownership.lease.epoch for m in self.running}  # type: ignore[union-attr]
        assert len(member_lists) == len(epochs) == 1, (member_lists, epochs)
        return set(next(iter(member_lists)))

    def owner(self, key: bytes) -> int:
        at = min(self.running)
        for _ in range(6):
            route = self.service(at).route(self.now, key)
            if isinstance(route, OwnedHere):
                return at
            if isinstance(route, RetryAfter) or route.owner not in self.running:
                return 0
            assert isinstance(route, OwnedElsewhere)
            at = route.owner
        return 0

    def owners(self) -> set[int]:
        [self.owner(key) for key in KEYS]  # arriving requests make homes take over their keys
        self.run(300)
        return {self.owner(key) for key in KEYS}

    def churn(self, member: int, times: int) -> None:
        """Let the member leave the table and be admitted again, several times."""
        for _ in range(times):
            self.departures[member] = DepartureState.DRAINING
            self.run(800)
            self.departures[member] = DepartureState.STAYING
            self.run(1500)

    def power_off(self, *members: int) -> None:
        for member in members:
            self.stop(member)
            self.live.discard(member)

    def rejoin(self, member: int, folder_is_current: bool = True) -> None:
        self.folder_is_current[member] = folder_is_current
        self.live.add(member)
        self.start(member, empty=not folder_is_current)


def test_an_encoded_table_fits_a_register_and_holds_the_last_changes() -> None:
    member_list = MemberList()
    for n in range(40):
        member_list = member_list.with_change(1 + n % MAX_MEMBERS, n < MAX_MEMBERS or n % 3 > 0)
        assert (
            decode_member_list(encode_member_list(member_list)) == member_list
            and len(encode_member_list(member_list)) <= MAX_VALUE_BYTES
        )
    assert (
        member_list.changes_since(member_list.epoch) == []
        and member_list.changes_since(member_list.epoch + 1) is None
    )
    assert member_list.changes_since(member_list.epoch - 2) == [
        (member_list.epoch - 1, *member_list.changes[-2]),
        (member_list.epoch, *member_list.changes[-1]),
    ]
    assert member_list.changes_since(member_list.epoch - MAX_CHANGES - 1) is None
    valid = encode_member_list(member_list)
    for invalid in (valid[:3], valid[:-1], valid + b"\0", valid[:-1] + b"\xff"):
        with pytest.raises(MessageError):
            decode_member_list(invalid)
    assert decode_member_list(b"") == MemberList()


@pytest.mark.parametrize("seed", range(3))
def test_in_a_new_fleet_each_key_gets_an_owner(seed: int) -> None:
    fleet = Fleet(seed=seed)
    fleet.loss, fleet.duplicate_chance, fleet.lost_outcomes = 0.1 * seed, 0.1, seed
    fleet.establish()
    fleet.run(3000)
    assert fleet.owners() == {A, B, C, D}


def test_a_replaced_machine_leaves_the_table_and_owns_nothing_before_it_stops() -> None:
    fleet = Fleet().establish()
    for member in (D, A):
        owned_keys = [key for key in KEYS if fleet.service(member).ownership_of(fleet.now, key)]
        for request_id, key in enumerate(owned_keys):
            fleet.do(member, fleet.service(member).on_request_opened(fleet.now, key, request_id))
            fleet.do(member, fleet.service(member).on_request_ended(fleet.now, key, request_id, True))
        fleet.departures[member] = DepartureState.MOVING_KEYS
        fleet.run(100)
        assert fleet.remaining_keys(member) == len(owned_keys) > 0
        capacities = dict.fromkeys((m for m in fleet.ids if m != member), 1.0)
        fleet.do(member, fleet.service(member).move_keys(fleet.now, 100, capacities))
        fleet.run(1000)
        assert fleet.remaining_keys(member) == 0
        assert fleet.service(member).counts["moved"] == len(owned_keys)
        assert member not in {fleet.owner(key) for key in owned_keys}
        fleet.departures[member] = DepartureState.DRAINING  # the service has not received this state yet
        assert fleet.remaining_keys(member) == 1 and member in fleet.table_members()
        while member in fleet.service(member).table.member_list.members:
            fleet.run(20)
        assert fleet.remaining_keys(member) == 1  # other members may not have applied the removal yet
        fleet.run(1500)
        assert fleet.table_members() == set(fleet.ids) - {member}
        assert fleet.remaining_keys(member) == 0 and fleet.owners() == set(fleet.ids) - {member}
        fleet.departures[member] = DepartureState.OUT
        fleet.power_off(member)
        fleet.run(1000)
        fleet.rejoin(member, folder_is_current=member == A)
        fleet.run(500)
        assert fleet.table_members() == set(fleet.ids) - {member}  # its replacement is still at step OUT
        fleet.departures[member] = DepartureState.STAYING
        fleet.run(4000)
        # Moved keys stay with their new owners, so the returned member may not own any key yet.
        assert fleet.table_members() == set(fleet.ids) and fleet.owners() >= set(fleet.ids) - {member}
        assert 0 not in fleet.owners()


def test_a_member_with_an_empty_folder_is_fenced_and_admitted() -> None:
    fleet = Fleet().establish()
    epoch = fleet.service(A).table.member_list.epoch
    fleet.power_off(B)
    fleet.rejoin(B, folder_is_current=False)
    fleet.run(4000)
    assert fleet.table_members() == set(fleet.ids) and fleet.service(A).table.member_list.epoch == epoch + 2
    assert fleet.owners() == set(fleet.ids)


def test_a_failed_member_is_fenced_while_a_majority_of_voters_stays() -> None:
    fleet = Fleet().establish()
    fleet.power_off(C)
    fleet.run(4000)
    assert C in fleet.table_members()
    fleet.run(4000)
    assert fleet.table_members() == {A, B, D} and fleet.owners() == {A, B, D}
    fleet.live.discard(B)  # not seen by the others, but still running
    fleet.run(12_000)
    assert fleet.table_members() == {A, B, D}
    assert "majority" in fleet.service(D).table.blocked_reason
    fleet.live.add(B)
    fleet.rejoin(C)
    fleet.run(6000)
    assert fleet.table_members() == set(fleet.ids) and fleet.owners() == set(fleet.ids)


def test_contradicting_changes_are_applied_one_after_the_other() -> None:
    """D is fenced as failed and requests its admission immediately, while outcomes of changes are lost."""
    fleet = Fleet().establish()
    fleet.live -= {D}
    fleet.run(4900)
    fleet.lost_outcomes = 4
    fleet.run(300)
    fleet.live.add(D)
    fleet.run(8000)
    assert fleet.table_members() == set(fleet.ids) and fleet.owners() == set(fleet.ids)


@pytest.mark.parametrize("changes", [2, 24])
def test_a_member_that_was_cut_off_applies_missed_changes_or_restarts_without_records(changes: int) -> None:
    fleet = Fleet().establish()
    fleet.cut_links = {frozenset((D, m)) for m in (A, B, C)}
    fleet.live.discard(D)
    fleet.run(6000)
    fleet.churn(C, changes // 2)
    fleet.cut_links = set()
    fleet.live.add(D)
    fleet.run(8000)
    assert fleet.service(D).counts["gaps"] == (changes > MAX_CHANGES)
    assert fleet.table_members() == set(fleet.ids) and fleet.owners() == set(fleet.ids)


def test_all_members_continue_with_their_folders_after_a_power_loss() -> None:
    fleet = Fleet().establish()
    fleet.run(3000)
    epoch = fleet.service(A).table.member_list.epoch
    fleet.power_off(*fleet.ids)
    for member in fleet.ids:
        fleet.rejoin(member)
    fleet.run(4000)
    assert fleet.service(A).table.member_list.epoch == epoch and fleet.owners() == set(fleet.ids)


def test_a_member_whose_folder_is_not_checked_yet_forwards_requests_and_owns_nothing() -> None:
    fleet = Fleet().establish()
    fleet.power_off(D)
    fleet.folder_is_current[D] = None
    fleet.live.add(D)
    fleet.start(D)
    fleet.run(1000)
    routes = [fleet.service(D).route(fleet.now, key) for key in KEYS]
    assert {route.owner for route in routes if isinstance(route, OwnedElsewhere)} == {A, B, C} and len(
        routes
    ) == len(KEYS)
    assert not any(fleet.service(D).ownership_of(fleet.now, key) for key in KEYS)
    fleet.folder_is_current[D] = True
    fleet.run(2000)
    assert fleet.owners() == set(fleet.ids)


def test_a_member_whose_folder_proves_out_of_date_restarts_without_records() -> None:
    fleet = Fleet().establish()
    fleet.run(200)
    fleet.folder_is_current[D] = False
    fleet.run(4000)
    assert fleet.service(D).counts["gaps"] == 1 and fleet.service(D).start_count == 2
    assert fleet.table_members() == set(fleet.ids) and fleet.owners() == set(fleet.ids)


@pytest.mark.parametrize(("epoch", "granted"), [(3, False), (20, False), (21, True)])
def test_a_voter_that_lost_its_refusals_refuses_members_outside_its_table(epoch: int, granted: bool) -> None:
    """C was fenced and then admitted in epoch 21. B has lost its folder since, and C requests a lease."""
    ownership = KeyOwnership(
        B,
        {A, D},
        [A, B, C],
        0.0,
        1,
        {},
        OwnershipSettings(is_enabled=True),
        folder_is_current=False,
        epoch=19,
    )
    ownership.admit(0.0, B, 20)
    actions = ownership.on_message(2000.0, C, messages.encode_lease(LeaseRequest(C, 7), epoch))
    replies = [
        messages.decode_lease(a.payload)[0]
        for a in actions
        if isinstance(a, SendConsensusMessage) and a.member == C
    ]
    assert [reply.is_granted for reply in replies if isinstance(reply, LeaseReply)] == [granted]
