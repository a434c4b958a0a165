"""Registers on a network that loses, repeats and turns round, with folders that are lost."""

from __future__ import annotations

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cottonhold.fleet.consensus import messages
from cottonhold.fleet.consensus.messages import Ballot, Message, State
from cottonhold.fleet.consensus.register import Changed, How, Outcome, Registers, RegisterSettings
from cottonhold.fleet.message_format import MessageError
from tests.support.member_network import Net

SETTINGS = RegisterSettings()


class Fleet(Net):
    """Members 101, 102, ...; the first `voters` vote."""

    def __init__(self, voters: int = 3, members: int = 3, seed: int = 1) -> None:
        ids, draws = range(101, 101 + members), random.Random(seed)

        def make(member: int, life: int, disk: dict[str, bytes]) -> Registers:
            return Registers(member, ids[:voters], life, 1, draws.getrandbits(64), disk, SETTINGS)

        super().__init__(ids, make, seed)
        self.tokens = 0

    def change(self, member: int, name: str, expected: int, value: bytes, ms: float = 6000) -> Outcome:
        self.tokens += 1
        self.act(member, self.up[member].change(self.now, name, expected, value, self.tokens))
        self.run(ms)
        return self.ended(self.tokens)

    def read(self, member: int, name: str = "a") -> Outcome:
        self.tokens += 1
        self.act(member, self.up[member].read(self.now, name, self.tokens))
        self.run(6000)
        return self.ended(self.tokens)

    def ended(self, token: int) -> Outcome:
        (found,) = (o for o in self.of(Outcome) if o.token == token)
        assert isinstance(found, Outcome)
        return found


def test_a_change_is_settled_and_voters_hear_of_it() -> None:
    fleet = Fleet(members=5)
    fleet.run(1000)
    assert fleet.change(105, "a", 0, b"one", 100) == Outcome(1, How.WON, 1, b"one")
    assert fleet.change(101, "a", 0, b"two", 500) == Outcome(2, How.LOST, 1, b"one")
    heard = {m for _, m, a in fleet.seen if a == Changed("a", 1, b"one")}
    assert heard >= {101, 102, 103, 105}
    assert fleet.read(104).value == b"one"
    assert fleet.read(104, "b") == Outcome(4, How.WON, 0, b"")


@pytest.mark.parametrize("seed", range(5))
def test_duelling_proposers_all_come_to_an_end_under_loss(seed: int) -> None:
    fleet = Fleet(voters=5, members=5, seed=seed)
    fleet.loss, fleet.twice, fleet.slow = 0.3, 0.3, 40.0
    fleet.run(3000)
    for token, member in enumerate(fleet.ids, 1):
        fleet.act(member, fleet.up[member].change(fleet.now, "a", 0, b"%d" % member, token))
    fleet.run(6000)
    ends = [fleet.ended(token) for token in range(1, 6)]
    assert sorted(e.how.value for e in ends) == ["lost"] * 4 + ["won"]
    assert len({e.value for e in ends}) == 1


def test_without_a_majority_nothing_is_settled_and_the_outcome_says_so() -> None:
    fleet = Fleet()
    fleet.run(1000)
    fleet.stop(102)
    fleet.stop(103)
    assert fleet.change(101, "a", 0, b"x") == Outcome(1, How.LOST, -1, b"")


def test_answers_wait_for_the_disk() -> None:
    fleet = Fleet()
    fleet.run(1000)
    fleet.stuck = {102, 103}
    assert fleet.change(101, "a", 0, b"x").how is not How.WON
    assert not fleet.of(Changed)


def test_a_half_done_change_is_finished_by_a_voter() -> None:
    fleet = Fleet()
    fleet.run(1000)
    fleet.act(101, fleet.up[101].change(fleet.now, "a", 0, b"x", 1))
    while not any(v.acceptor.registers.get("a", None) and v.acceptor.registers["a"].state.version
                  for m, v in fleet.up.items() if m != 101):  # fmt: skip
        fleet.run(0.2)
    fleet.stop(101)
    fleet.run(5000)
    assert {m for _, m, a in fleet.seen if a == Changed("a", 1, b"x")} >= {102, 103}


def test_an_emptied_folder_votes_again_only_with_all_that_was_settled() -> None:
    fleet = Fleet()
    fleet.run(1000)
    for n in range(10):
        assert fleet.change(101, f"r{n}", 0, b"v%d" % n, 200).how is How.WON
    fleet.stop(102)
    fleet.stop(103)
    fleet.start(103, empty=True)
    fleet.run(2000)
    assert not fleet.up[103].votes()  # one of two others can't tell it all
    fleet.start(102)
    fleet.run(4000)
    assert fleet.up[103].votes()
    fleet.stop(101)
    assert all(fleet.read(103, f"r{n}").value == b"v%d" % n for n in range(10))


def test_a_finished_register_is_forgotten_by_all_once_all_are_there() -> None:
    fleet = Fleet()
    fleet.run(1000)
    fleet.change(101, "a", 0, b"x")
    fleet.stop(103)
    assert fleet.change(102, "a", 1, b"").how is How.WON
    fleet.run(20_000)
    assert "a" in fleet.up[101].acceptor.registers
    fleet.start(103)
    fleet.run(90_000)
    assert all("a" not in one.acceptor.registers for one in fleet.up.values())
    assert fleet.change(103, "a", 0, b"y").how is How.WON
    assert all("reg/a" in disk for disk in fleet.disks.values())


def test_an_old_accept_does_not_bring_a_forgotten_register_back() -> None:
    fleet = Fleet()
    fleet.run(1000)
    fleet.change(101, "a", 0, b"x")
    state = fleet.up[102].acceptor.registers["a"].state
    fleet.change(101, "a", 1, b"")
    fleet.run(30_000)
    late = messages.pack_message(Message(messages.ACCEPT, "a", state.ballot, state))
    fleet.act(102, fleet.up[102].hear(fleet.now, 101, late))
    fleet.run(10)
    assert "a" not in fleet.up[102].acceptor.registers


def test_a_proposer_with_an_emptied_folder_draws_other_rounds() -> None:
    rounds = [Registers(1, [1, 2, 3], 1, 1, seed, {}).proposer.who for seed in range(50)]
    assert len(set(rounds)) == 50


def test_registers_are_bounded_and_promises_without_a_value_give_way() -> None:
    fleet = Fleet()
    fleet.run(1000)
    for n in range(SETTINGS.most + 6):
        fleet.act(101, fleet.up[101].read(fleet.now, f"x{n}", 1000 + n))
        fleet.run(100)
    assert fleet.change(101, "a", 0, b"y").how is How.WON
    assert all(len(one.acceptor.registers) <= SETTINGS.most for one in fleet.up.values())


@settings(max_examples=60, deadline=None)
@given(st.binary(max_size=210))
def test_nonsense_is_counted_and_changes_nothing(data: bytes) -> None:
    one = Registers(1, [1, 2, 3], 1, 1, 1, {})
    one.hear(0.0, 2, bytes((64 + len(data) % 11,)) + data)
    assert not one.votes() and not one.names()


@settings(max_examples=40, deadline=None)
@given(st.integers(0, 2**31), st.binary(max_size=120), st.text(min_size=1, max_size=4))
def test_words_are_read_as_written(number: int, value: bytes, name: str) -> None:
    ballot = Ballot(number, 2**64 - 1)
    message = Message(messages.PROMISE, name, ballot, State(ballot, 7, value, (1, 2)), (0, 1, 2) * 3)
    data = messages.pack_message(message)
    assert messages.read_message(data) == message
    with pytest.raises(MessageError):
        messages.read_message(data[:-1])
