"""The membership table and session affinity in service, in virtual time with disks and a network."""

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
ENDS = {
    ChangeResult.WON: True,
    ChangeResult.LOST: False,
    ChangeResult.UNKNOWN: None,
}


class Member:
    """Registers and session affinity of one member, joined as the adapter does."""

    def __init__(self, fleet: Fleet, me: int, incarnation: int, disk: dict[str, bytes]) -> None:
        now, seed = fleet.now, incarnation * 1000 + me
        parts: tuple[dict[str, bytes], dict[str, bytes]] = ({}, {})
        for name, data in disk.items():
            parts[name.startswith("p:")][name[2:]] = data
        self.fleet, self.me, self.next = fleet, me, now
        whole = fleet.whole[me]
        self.registers = Registers(
            me, fleet.voters, incarnation, incarnation, seed, parts[0] if whole else {}
        )
        self.service = SessionAffinityService(me, fleet.voters, now, seed, parts[1])

    def next_at(self) -> float:
        return min(self.next, self.registers.next_at(), self.service.next_at(self.fleet.now))

    def step(self, now: float) -> list[Any]:
        self.next = now + 50
        self.registers.set_listeners(self.fleet.live - {self.me})
        going = self.fleet.going.get(self.me, DepartureState.STAYING)
        out = frozenset(m for m, g in self.fleet.going.items() if g is DepartureState.OUT)
        around = Surroundings(self.fleet.whole[self.me], going, frozenset(self.fleet.live), out)
        found = self.carry(now, self.registers.step(now))
        return found + self.carry_out_affinity(now, self.service.step(now, around))

    def on_message(self, now: float, sender: int, data: bytes) -> list[Any]:
        if data[0] < 75:
            return self.carry(now, self.registers.on_message(now, sender, data))
        return self.carry_out_affinity(now, self.service.on_message(now, sender, data))

    def on_persisted(self, now: float, token: int) -> list[Any]:
        if token % 2:
            return self.carry_out_affinity(now, self.service.on_persisted(now, token // 2))
        return self.carry(now, self.registers.on_persisted(now, token // 2))

    def carry(self, now: float, actions: Iterable[Any]) -> list[Any]:
        found: list[Any] = []
        for a in actions:
            match a:
                case PersistState(name, data, then):
                    found.append(PersistState("r:" + name, data, then * 2))
                case OperationOutcome(token, how, version, value):
                    if not self.fleet.lose(self.me):
                        won = ENDS[how] if version >= 0 else None
                        self.service.on_outcome(now, token, won, version, value)
                case RegisterChanged(name, version, value):
                    self.service.on_register_changed(now, name, version, value)
                case _:
                    found.append(a)
        return found

    def carry_out_affinity(self, now: float, actions: Iterable[Any]) -> list[Any]:
        found: list[Any] = []
        for a in actions:
            match a:
                case ChangeRegister(name, version, value, token):
                    found += self.carry(now, self.registers.change(now, name, version, value, token))
                case ReadRegister(name, token):
                    found += self.carry(now, self.registers.read(now, name, token))
                case PersistState(name, data, then):
                    found.append(PersistState("p:" + name, data, then * 2 + 1))
                case _:
                    found.append(a)
        return found


class Fleet(Net):
    """Members of which the first three vote; no key ever has two owners."""

    def __init__(self, members: int = 4, seed: int = 1) -> None:
        self.whole: dict[int, bool | None] = dict.fromkeys(range(101, 101 + members), False)
        self.voters, self.going = [A, B, C], dict[int, DepartureState]()
        self.live, self.lost, self.turns = set(self.whole), 0, 0
        super().__init__(list(self.whole), lambda m, life, disk: Member(self, m, life, disk), seed)
        self.after_event = self.one_owner

    def lose(self, member: int) -> bool:
        """Whether the outcome of a change is lost."""
        self.lost -= self.lost > 0
        return self.lost > 0

    def service(self, member: int) -> SessionAffinityService:
        found: SessionAffinityService = self.running[member].service
        return found

    def remaining_keys(self, member: int) -> int:
        """What its replacement counts, which already knows its state."""
        return self.service(member).remaining_count(self.now, self.going[member])

    def do(self, member: int, actions: Iterable[Any]) -> None:
        self.act(member, self.running[member].carry_out_affinity(self.now, actions))

    def one_owner(self) -> None:
        self.turns += 1
        if self.turns % 7:
            return
        for key in KEYS:
            owners = [m for m in self.running if self.service(m).ownership_of(self.now, key) is not None]
            assert len(owners) <= 1, (self.now, key, owners)

    def establish(self) -> Fleet:
        self.run(6000)
        assert self.inside() == set(self.ids)
        self.whole = dict.fromkeys(self.ids, True)
        return self

    def inside(self) -> set[int]:
        """The members in the table, on which all running members agree."""
        found = {frozenset(self.service(m).table.member_list.members) for m in self.running}
        known = {self.service(m).ownership.lease.epoch for m in self.running}  # type: ignore[union-attr]
        assert len(found) == len(known) == 1, (found, known)
        return set(next(iter(found)))

    def owner(self, key: bytes) -> int:
        at = min(self.running)
        for _ in range(6):
            found = self.service(at).route(self.now, key)
            if isinstance(found, OwnedHere):
                return at
            if isinstance(found, RetryAfter) or found.owner not in self.running:
                return 0
            assert isinstance(found, OwnedElsewhere)
            at = found.owner
        return 0

    def owners(self) -> set[int]:
        [self.owner(key) for key in KEYS]  # a home takes over the keys of requests that arrive
        self.run(300)
        return {self.owner(key) for key in KEYS}

    def churn(self, member: int, times: int) -> None:
        """The member leaves the table and is admitted again."""
        for _ in range(times):
            self.going[member] = DepartureState.DRAINING
            self.run(800)
            self.going[member] = DepartureState.STAYING
            self.run(1500)

    def power_off(self, *members: int) -> None:
        for member in members:
            self.stop(member)
            self.live.discard(member)

    def rejoin(self, member: int, whole: bool = True) -> None:
        self.whole[member] = whole
        self.live.add(member)
        self.start(member, empty=not whole)


def test_an_encoded_table_fits_a_register_and_holds_the_last_changes() -> None:
    value = MemberList()
    for n in range(40):
        value = value.with_change(1 + n % MAX_MEMBERS, n < MAX_MEMBERS or n % 3 > 0)
        assert (
            decode_member_list(encode_member_list(value)) == value
            and len(encode_member_list(value)) <= MAX_VALUE_BYTES
        )
    assert value.changes_since(value.epoch) == [] and value.changes_since(value.epoch + 1) is None
    assert value.changes_since(value.epoch - 2) == [
        (value.epoch - 1, *value.changes[-2]),
        (value.epoch, *value.changes[-1]),
    ]
    assert value.changes_since(value.epoch - MAX_CHANGES - 1) is None
    good = encode_member_list(value)
    for bad in (good[:3], good[:-1], good + b"\0", good[:-1] + b"\xff"):
        with pytest.raises(MessageError):
            decode_member_list(bad)
    assert decode_member_list(b"") == MemberList()


@pytest.mark.parametrize("seed", range(3))
def test_in_a_new_fleet_each_key_gets_an_owner(seed: int) -> None:
    fleet = Fleet(seed=seed)
    fleet.loss, fleet.duplicate_chance, fleet.lost = 0.1 * seed, 0.1, seed
    fleet.establish()
    fleet.run(3000)
    assert fleet.owners() == {A, B, C, D}


def test_a_replaced_machine_leaves_the_table_and_owns_nothing_before_it_stops() -> None:
    fleet = Fleet().establish()
    for member in (D, A):
        before = [key for key in KEYS if fleet.service(member).ownership_of(fleet.now, key)]
        for n, key in enumerate(before):
            fleet.do(member, fleet.service(member).on_request_opened(fleet.now, key, n))
            fleet.do(member, fleet.service(member).on_request_ended(fleet.now, key, n, True))
        fleet.going[member] = DepartureState.MOVING_KEYS
        fleet.run(100)
        assert fleet.remaining_keys(member) == len(before) > 0
        room = dict.fromkeys((m for m in fleet.ids if m != member), 1.0)
        fleet.do(member, fleet.service(member).move_keys(fleet.now, 100, room))
        fleet.run(1000)
        assert fleet.remaining_keys(member) == 0
        assert fleet.service(member).counts["moved"] == len(before)
        assert member not in {fleet.owner(key) for key in before}
        fleet.going[member] = DepartureState.DRAINING  # which the service itself has not stepped with yet
        assert fleet.remaining_keys(member) == 1 and member in fleet.inside()
        while member in fleet.service(member).table.member_list.members:
            fleet.run(20)
        assert fleet.remaining_keys(member) == 1  # the others may not know yet
        fleet.run(1500)
        assert fleet.inside() == set(fleet.ids) - {member}
        assert fleet.remaining_keys(member) == 0 and fleet.owners() == set(fleet.ids) - {member}
        fleet.going[member] = DepartureState.OUT
        fleet.power_off(member)
        fleet.run(1000)
        fleet.rejoin(member, whole=member == A)
        fleet.run(500)
        assert fleet.inside() == set(fleet.ids) - {member}  # its swap still has it out
        fleet.going[member] = DepartureState.STAYING
        fleet.run(4000)
        # What has moved stays where it is, so there may be nothing yet for the one that is back.
        assert fleet.inside() == set(fleet.ids) and fleet.owners() >= set(fleet.ids) - {member}
        assert 0 not in fleet.owners()


def test_a_member_with_an_empty_folder_is_fenced_and_admitted() -> None:
    fleet = Fleet().establish()
    epoch = fleet.service(A).table.member_list.epoch
    fleet.power_off(B)
    fleet.rejoin(B, whole=False)
    fleet.run(4000)
    assert fleet.inside() == set(fleet.ids) and fleet.service(A).table.member_list.epoch == epoch + 2
    assert fleet.owners() == set(fleet.ids)


def test_a_failed_member_is_fenced_while_a_majority_of_voters_stays() -> None:
    fleet = Fleet().establish()
    fleet.power_off(C)
    fleet.run(4000)
    assert C in fleet.inside()
    fleet.run(4000)
    assert fleet.inside() == {A, B, D} and fleet.owners() == {A, B, D}
    fleet.live.discard(B)  # no longer seen by the others, and still there
    fleet.run(12_000)
    assert fleet.inside() == {A, B, D}
    assert "majority" in fleet.service(D).table.blocked_reason
    fleet.live.add(B)
    fleet.rejoin(C)
    fleet.run(6000)
    assert fleet.inside() == set(fleet.ids) and fleet.owners() == set(fleet.ids)


def test_contradicting_changes_are_applied_one_after_the_other() -> None:
    """D is fenced as failed and requests its admission at once, while outcomes of changes are lost."""
    fleet = Fleet().establish()
    fleet.live -= {D}
    fleet.run(4900)
    fleet.lost = 4
    fleet.run(300)
    fleet.live.add(D)
    fleet.run(8000)
    assert fleet.inside() == set(fleet.ids) and fleet.owners() == set(fleet.ids)


@pytest.mark.parametrize("changes", [2, 24])
def test_a_member_that_was_cut_off_applies_missed_changes_or_starts_anew(changes: int) -> None:
    fleet = Fleet().establish()
    fleet.cut_links = {frozenset((D, m)) for m in (A, B, C)}
    fleet.live.discard(D)
    fleet.run(6000)
    fleet.churn(C, changes // 2)
    fleet.cut_links = set()
    fleet.live.add(D)
    fleet.run(8000)
    assert fleet.service(D).counts["gaps"] == (changes > MAX_CHANGES)
    assert fleet.inside() == set(fleet.ids) and fleet.owners() == set(fleet.ids)


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
    fleet.whole[D] = None
    fleet.live.add(D)
    fleet.start(D)
    fleet.run(1000)
    found = [fleet.service(D).route(fleet.now, key) for key in KEYS]
    assert {f.owner for f in found if isinstance(f, OwnedElsewhere)} == {A, B, C} and len(found) == len(KEYS)
    assert not any(fleet.service(D).ownership_of(fleet.now, key) for key in KEYS)
    fleet.whole[D] = True
    fleet.run(2000)
    assert fleet.owners() == set(fleet.ids)


def test_a_member_whose_folder_is_found_out_of_date_starts_anew() -> None:
    fleet = Fleet().establish()
    fleet.run(200)
    fleet.whole[D] = False
    fleet.run(4000)
    assert fleet.service(D).counts["gaps"] == 1 and fleet.service(D).start_count == 2
    assert fleet.inside() == set(fleet.ids) and fleet.owners() == set(fleet.ids)


@pytest.mark.parametrize(("epoch", "granted"), [(3, False), (20, False), (21, True)])
def test_a_voter_that_lost_its_refusals_refuses_by_its_table(epoch: int, granted: bool) -> None:
    """C was fenced, and admitted with epoch 21 as far as C knows. B has lost its folder since."""
    pins = KeyOwnership(
        B, {A, D}, [A, B, C], 0.0, 1, {}, OwnershipSettings(is_enabled=True), has_full_memory=False, epoch=19
    )
    pins.admit(0.0, B, 20)
    said = pins.on_message(2000.0, C, messages.encode_lease(LeaseRequest(C, 7), epoch))
    words = [
        messages.decode_lease(a.payload)[0]
        for a in said
        if isinstance(a, SendConsensusMessage) and a.member == C
    ]
    assert [w.is_granted for w in words if isinstance(w, LeaseReply)] == [granted]
