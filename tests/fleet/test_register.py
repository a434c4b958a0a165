"""Registers on an unreliable network, and with voters that lose their state folders."""

from __future__ import annotations

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cottonhold.fleet.consensus import messages
from cottonhold.fleet.consensus.actions import ChangeResult, OperationOutcome, RegisterChanged
from cottonhold.fleet.consensus.messages import AcceptedState, Ballot, RegisterMessage
from cottonhold.fleet.consensus.register import Registers
from cottonhold.fleet.consensus.settings import RegisterSettings
from cottonhold.fleet.message_format import MessageError
from tests.support.member_network import Net

SETTINGS = RegisterSettings()


class Fleet(Net):
    """Members with the ids 101, 102 and so on; the first `voters` of them are voters."""

    def __init__(self, voters: int = 3, members: int = 3, seed: int = 1) -> None:
        ids, random_source = range(101, 101 + members), random.Random(seed)

        def make(member: int, incarnation: int, disk: dict[str, bytes]) -> Registers:
            return Registers(
                member, ids[:voters], incarnation, 1, random_source.getrandbits(64), disk, SETTINGS
            )

        super().__init__(ids, make, seed)
        self.tokens = 0

    def change(
        self, member: int, name: str, expected: int, value: bytes, ms: float = 6000
    ) -> OperationOutcome:
        self.tokens += 1
        self.act(member, self.running[member].change(self.now, name, expected, value, self.tokens))
        self.run(ms)
        return self.outcome_of(self.tokens)

    def read(self, member: int, name: str = "a") -> OperationOutcome:
        self.tokens += 1
        self.act(member, self.running[member].read(self.now, name, self.tokens))
        self.run(6000)
        return self.outcome_of(self.tokens)

    def outcome_of(self, token: int) -> OperationOutcome:
        (outcome,) = (o for o in self.actions_of(OperationOutcome) if o.token == token)
        assert isinstance(outcome, OperationOutcome)
        return outcome


def test_a_change_is_chosen_and_announced_to_voters() -> None:
    fleet = Fleet(members=5)
    fleet.run(1000)
    assert fleet.change(105, "a", 0, b"one", 100) == OperationOutcome(1, ChangeResult.WON, 1, b"one")
    assert fleet.change(101, "a", 0, b"two", 500) == OperationOutcome(2, ChangeResult.LOST, 1, b"one")
    informed = {m for _, m, a in fleet.other_actions if a == RegisterChanged("a", 1, b"one")}
    assert informed >= {101, 102, 103, 105}
    assert fleet.read(104).value == b"one"
    assert fleet.read(104, "b") == OperationOutcome(4, ChangeResult.WON, 0, b"")


@pytest.mark.parametrize("seed", range(5))
def test_competing_proposers_all_finish_under_message_loss(seed: int) -> None:
    fleet = Fleet(voters=5, members=5, seed=seed)
    fleet.loss, fleet.duplicate_chance, fleet.max_delay_ms = 0.3, 0.3, 40.0
    fleet.run(3000)
    for token, member in enumerate(fleet.ids, 1):
        fleet.act(member, fleet.running[member].change(fleet.now, "a", 0, b"%d" % member, token))
    fleet.run(6000)
    outcomes = [fleet.outcome_of(token) for token in range(1, 6)]
    assert sorted(outcome.result.value for outcome in outcomes) == ["lost"] * 4 + ["won"]
    assert len({outcome.value for outcome in outcomes}) == 1


def test_a_change_without_a_majority_is_lost() -> None:
    fleet = Fleet()
    fleet.run(1000)
    fleet.stop(102)
    fleet.stop(103)
    assert fleet.change(101, "a", 0, b"x") == OperationOutcome(1, ChangeResult.LOST, -1, b"")


def test_answers_wait_until_the_record_is_on_disk() -> None:
    fleet = Fleet()
    fleet.run(1000)
    fleet.failed_disks = {102, 103}
    assert fleet.change(101, "a", 0, b"x").result is not ChangeResult.WON
    assert not fleet.actions_of(RegisterChanged)


def test_a_voter_completes_a_change_whose_proposer_failed() -> None:
    fleet = Fleet()
    fleet.run(1000)
    fleet.act(101, fleet.running[101].change(fleet.now, "a", 0, b"x", 1))
    while not any(member.acceptor.registers.get("a", None) and member.acceptor.registers["a"].state.version
                  for m, member in fleet.running.items() if m != 101):  # fmt: skip
        fleet.run(0.2)
    fleet.stop(101)
    fleet.run(5000)
    assert {m for _, m, a in fleet.other_actions if a == RegisterChanged("a", 1, b"x")} >= {102, 103}


def test_a_voter_with_an_empty_folder_votes_only_after_copies_from_a_quorum() -> None:
    fleet = Fleet()
    fleet.run(1000)
    for n in range(10):
        assert fleet.change(101, f"r{n}", 0, b"v%d" % n, 200).result is ChangeResult.WON
    fleet.stop(102)
    fleet.stop(103)
    fleet.start(103, empty=True)
    fleet.run(2000)
    assert not fleet.running[103].is_voting()  # a copy from one of the two others is not enough
    fleet.start(102)
    fleet.run(4000)
    assert fleet.running[103].is_voting()
    fleet.stop(101)
    assert all(fleet.read(103, f"r{n}").value == b"v%d" % n for n in range(10))


def test_a_finished_register_is_removed_after_all_voters_have_accepted_it() -> None:
    fleet = Fleet()
    fleet.run(1000)
    fleet.change(101, "a", 0, b"x")
    fleet.stop(103)
    assert fleet.change(102, "a", 1, b"").result is ChangeResult.WON
    fleet.run(20_000)
    assert "a" in fleet.running[101].acceptor.registers
    fleet.start(103)
    fleet.run(90_000)
    assert all("a" not in member.acceptor.registers for member in fleet.running.values())
    assert fleet.change(103, "a", 0, b"y").result is ChangeResult.WON
    assert all("reg/a" in disk for disk in fleet.disks.values())


def test_a_late_accept_does_not_restore_a_removed_register() -> None:
    fleet = Fleet()
    fleet.run(1000)
    fleet.change(101, "a", 0, b"x")
    state = fleet.running[102].acceptor.registers["a"].state
    fleet.change(101, "a", 1, b"")
    fleet.run(30_000)
    late = messages.encode_message(RegisterMessage(messages.ACCEPT, "a", state.ballot, state))
    fleet.act(102, fleet.running[102].on_message(fleet.now, 101, late))
    fleet.run(10)
    assert "a" not in fleet.running[102].acceptor.registers


def test_a_proposer_draws_another_id_at_each_start() -> None:
    proposer_ids = [Registers(1, [1, 2, 3], 1, 1, seed, {}).proposer.proposer_id for seed in range(50)]
    assert len(set(proposer_ids)) == 50


def test_registers_without_a_value_are_removed_at_the_limit() -> None:
    fleet = Fleet()
    fleet.run(1000)
    for n in range(SETTINGS.max_registers + 6):
        fleet.act(101, fleet.running[101].read(fleet.now, f"x{n}", 1000 + n))
        fleet.run(100)
    assert fleet.change(101, "a", 0, b"y").result is ChangeResult.WON
    assert all(len(member.acceptor.registers) <= SETTINGS.max_registers for member in fleet.running.values())


@settings(max_examples=60, deadline=None)
@given(st.binary(max_size=210))
def test_a_malformed_message_changes_nothing(data: bytes) -> None:
    registers = Registers(1, [1, 2, 3], 1, 1, 1, {})
    registers.on_message(0.0, 2, bytes((64 + len(data) % 11,)) + data)
    assert not registers.is_voting() and not registers.names()


@settings(max_examples=40, deadline=None)
@given(st.integers(0, 2**31), st.binary(max_size=120), st.text(min_size=1, max_size=4))
def test_a_message_decodes_as_encoded(number: int, value: bytes, name: str) -> None:
    ballot = Ballot(number, 2**64 - 1)
    message = RegisterMessage(
        messages.PROMISE, name, ballot, AcceptedState(ballot, 7, value, (1, 2)), (0, 1, 2) * 3
    )
    data = messages.encode_message(message)
    assert messages.decode_message(data) == message
    with pytest.raises(MessageError):
        messages.decode_message(data[:-1])
