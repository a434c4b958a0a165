"""Assignment of duties: the result and cost of rendezvous hashing, and leases with at most one holder."""

from __future__ import annotations

import random
from collections.abc import Iterable
from typing import Any

import pytest
from hypothesis import Phase, given, settings
from hypothesis import strategies as st

from cottonhold.discovery.model import Address
from cottonhold.emulator.network import Network
from cottonhold.membership.duties import AnnounceDone, Duty, DutyScheduler, Guarantee, RunDuty, StopDuty
from cottonhold.membership.leases import (
    LeaseHeld,
    LeaseLost,
    LeaseManager,
    LeaseReply,
    LeaseRequest,
    LeaseSettings,
    SendToMember,
)
from cottonhold.membership.rendezvous import Rendezvous, score

PHASES = (Phase.explicit, Phase.generate)
SUBJECTS = [f"e{i}" for i in range(200)]


def make_rendezvous(members: dict[int, float], subjects: Iterable[str] = SUBJECTS) -> Rendezvous:
    rendezvous = Rendezvous()
    for member, weight in members.items():
        rendezvous.add_member(member, weight)
    for subject in subjects:
        rendezvous.add_subject(subject)
    return rendezvous


def holders_by_all_pairs(members: dict[int, float], subjects: Iterable[str]) -> dict[str, int]:
    """Return the holder of each subject by the definition of rendezvous hashing."""
    return {s: max(((score(m, w, s), m) for m, w in members.items()))[1] for s in subjects}


CHANGE = st.one_of(
    st.tuples(st.just("add"), st.integers(1, 9), st.sampled_from([0.5, 1.0, 2.0])),
    st.tuples(st.just("drop"), st.integers(1, 9), st.just(1.0)),
    st.tuples(st.just("subject"), st.integers(0, 30), st.just(1.0)),
    st.tuples(st.just("unsubject"), st.integers(0, 30), st.just(1.0)),
)


@settings(max_examples=150, deadline=None, phases=PHASES)
@given(st.lists(CHANGE, max_size=40))
def test_after_any_changes_the_holders_equal_those_by_all_pairs(changes: list[Any]) -> None:
    rendezvous, members = Rendezvous(), dict[int, float]()
    for kind, number, weight in changes:
        before = {s: rendezvous.holder(s) for s in rendezvous.holders}
        moved: set[str] | None = None
        if kind == "add":
            members[number] = weight
            moved = rendezvous.add_member(number, weight)
        elif kind == "drop":
            members.pop(number, None)
            moved = rendezvous.remove_member(number)
        elif kind == "subject":
            rendezvous.add_subject(f"s{number}")
        else:
            rendezvous.remove_subject(f"s{number}")
        after = {s: rendezvous.holder(s) for s in rendezvous.holders}
        assert after == (holders_by_all_pairs(members, after) if members else dict.fromkeys(after))
        if moved is not None:
            assert moved == {s for s in after if after[s] != before[s]}
        assert all(rendezvous.subjects_of(m) == {s for s, h in after.items() if h == m} for m in members)


def test_joining_or_leaving_moves_only_the_subjects_of_that_member() -> None:
    rendezvous = make_rendezvous(dict.fromkeys(range(1, 11), 1.0))
    released = rendezvous.subjects_of(3)
    assert rendezvous.remove_member(3) == released and 5 <= len(released) <= 40
    assert rendezvous.add_member(3) == released


def test_a_change_costs_no_scores_of_unaffected_subjects() -> None:
    rendezvous = make_rendezvous(dict.fromkeys(range(1, 51), 1.0))
    rendezvous.score_count = 0
    released_count = len(rendezvous.subjects_of(7))
    rendezvous.remove_member(7)
    assert rendezvous.score_count == released_count * 49  # a complete recomputation would need 200 x 49
    rendezvous.score_count = 0
    rendezvous.add_member(7)
    assert rendezvous.score_count == 200


def test_subjects_are_shared_by_weight() -> None:
    rendezvous = make_rendezvous({1: 1.0, 2: 3.0}, [f"s{i}" for i in range(4000)])
    assert 0.7 < len(rendezvous.subjects_of(2)) / 4000 < 0.8


class Voter:
    """One instance that claims the leases in `wanted`, and reports those that it acquires and loses."""

    def __init__(self, number: int, site: LeaseNetwork, now: float, first_term: int) -> None:
        self.number, self.site = number, site
        self.leases = LeaseManager(number, range(1, 6), site.settings, now, first_term)
        self.wanted: set[int] = set()

    def step(self, now: float, received: list[tuple[bytes, Address]]) -> Iterable[tuple[bytes, Address]]:
        actions = list(self.leases.step(now))
        for data, sender in received:
            message = self.site.messages[int.from_bytes(data, "big")]
            actions += self.leases.on_message(now, self.site.numbers[sender], message)
        if self.wanted != set(self.leases.claims):
            actions += self.leases.claim(now, self.wanted)
        datagrams = []
        for action in actions:
            if isinstance(action, SendToMember):
                self.site.messages.append(action.message)
                index = len(self.site.messages) - 1
                datagrams.append((index.to_bytes(8, "big"), self.site.addresses[action.member]))
            elif isinstance(action, LeaseHeld):
                self.site.on_lease_held(self.number, action.duty, action.expires_at - now)
            elif isinstance(action, LeaseLost):
                self.site.on_lease_lost(self.number, action.duty)
        return datagrams

    def next_at(self) -> float:
        return self.leases.next_at()


class LeaseNetwork:
    """Five voters; checks at each acquisition that no other instance holds the lease."""

    def __init__(self, seed: int, loss: float = 0.0) -> None:
        self.network, self.settings = Network(seed, loss=loss), LeaseSettings()
        self.messages: list[LeaseRequest | LeaseReply] = []
        self.addresses = {number: Address(f"10.0.0.{number}", 1) for number in range(1, 6)}
        self.numbers = {a: number for number, a in self.addresses.items()}
        self.holds: dict[int, tuple[int, float]] = {}  # by duty: the holder, and the expiry on the true clock
        self.takeovers = 0
        self.voters: dict[int, Voter] = {}
        for number in self.addresses:
            self.start(number)

    def start(self, number: int, skew: float = 0.0) -> None:
        now = self.network.now + skew
        self.voters[number] = Voter(number, self, now, self.network.draw.getrandbits(20))
        self.network.add(self.addresses[number], self.voters[number], skew)

    def claim(self, duty: int, *numbers: int) -> None:
        for number, voter in self.voters.items():
            (voter.wanted.add if number in numbers else voter.wanted.discard)(duty)
            host = self.network.hosts[self.addresses[number]]
            self.network.call_at(self.network.now, lambda host=host: self.network.step(host))  # type: ignore[misc]

    def on_lease_held(self, number: int, duty: int, remaining_ms: float) -> None:
        holder, until = self.holds.get(duty, (number, 0.0))
        assert holder == number or until <= self.network.now, (duty, holder, number)
        self.takeovers += holder != number
        self.holds[duty] = (number, self.network.now + remaining_ms)

    def on_lease_lost(self, number: int, duty: int) -> None:
        if self.holds.get(duty, (0, 0.0))[0] == number:
            self.holds[duty] = (number, self.network.now)

    def holder(self, duty: int) -> int | None:
        number, until = self.holds.get(duty, (0, 0.0))
        return number if until > self.network.now else None

    def run(self, ms: float) -> None:
        self.network.run(self.network.now + ms)


def test_a_lease_is_acquired_renewed_and_handed_over() -> None:
    site = LeaseNetwork(1)
    site.claim(1, 2)
    site.run(3000)
    assert site.holder(1) == 2
    site.run(10_000)
    assert site.holder(1) == 2 and site.takeovers == 0
    site.claim(1, 4)
    site.run(400)  # shorter than a lease: a release is sent, so there is no wait for its expiry
    assert site.holder(1) == 4


@pytest.mark.parametrize("seed", range(10))
def test_a_dead_holders_lease_is_taken_over_within_two_seconds(seed: int) -> None:
    site = LeaseNetwork(seed)
    site.claim(1, 2)
    site.run(5000)
    site.network.kill(site.addresses[2])
    del site.voters[2]
    site.claim(1, 4)
    site.run(2000)
    assert site.holder(1) == 4


def test_without_a_majority_nobody_holds_a_lease() -> None:
    site = LeaseNetwork(1)
    site.claim(1, 2)
    site.run(3000)
    minority = {site.addresses[1], site.addresses[2]}
    site.network.is_disconnected = lambda a, b: (a in minority) is not (b in minority)
    site.claim(1, 2, 4)  # each side of the partition assigns the duty to one of its members
    site.run(3000)
    assert site.holder(1) == 4


def test_a_voter_that_restarts_without_state_grants_nothing_for_one_lease() -> None:
    leases = LeaseManager(1, range(1, 6), LeaseSettings(), 1000.0, 0)
    (answer,) = leases.on_message(1100.0, 2, LeaseRequest(7, 1))
    assert (
        isinstance(answer, SendToMember)
        and isinstance(answer.message, LeaseReply)
        and not answer.message.is_granted
    )
    (answer,) = leases.on_message(2400.0, 2, LeaseRequest(7, 2))
    assert isinstance(answer, SendToMember) and isinstance(answer.message, LeaseReply)
    assert answer.message.is_granted


def test_a_late_reply_for_an_earlier_term_is_ignored() -> None:
    leases = LeaseManager(1, range(1, 6), LeaseSettings(), 0.0, 100)
    leases.claim(5000.0, [7])
    leases.step(5200.0)
    for voter in (2, 3, 4):
        assert not [
            a for a in leases.on_message(5300.0, voter, LeaseReply(7, 101, True)) if isinstance(a, LeaseHeld)
        ]
    actions = [a for voter in (2, 3) for a in leases.on_message(5300.0, voter, LeaseReply(7, 102, True))]
    assert actions == [LeaseHeld(7, 102, 5200.0 + 1200.0 * 0.9)]


@pytest.mark.parametrize("seed", range(60))
def test_under_any_faults_a_lease_has_at_most_one_holder(seed: int) -> None:
    """Instances claim the same leases, under packet loss, partitions, pauses, crashes and clock skew."""
    site, draw = LeaseNetwork(seed, loss=0.1), random.Random(seed)
    for _ in range(40):
        kind = draw.choice(["want", "want", "stop", "kill", "start", "split", "heal", "loss"])
        running = sorted(site.voters)
        if kind == "want":
            site.claim(draw.randrange(3), *draw.sample(range(1, 6), draw.choice([1, 1, 2, 3])))
        elif kind == "stop":
            site.network.pause(site.addresses[draw.choice(running)], draw.uniform(100, 4000))
        elif kind == "kill" and len(running) > 1:
            number = draw.choice(running)
            site.network.kill(site.addresses[number])
            del site.voters[number]
            for duty in [d for d, (holder, _) in site.holds.items() if holder == number]:
                site.on_lease_lost(number, duty)  # a process that was killed does no work
        elif kind == "start" and len(running) < 5:
            site.start(
                draw.choice([number for number in range(1, 6) if number not in running]),
                draw.uniform(-1e6, 1e6),
            )
        elif kind == "split":
            half = set(draw.sample(sorted(site.numbers, key=str), 2))
            site.network.is_disconnected = lambda a, b, half=half: (a in half) is not (b in half)  # type: ignore[misc]
        else:
            site.network.is_disconnected = lambda a, b: False
            site.network.loss = draw.choice([0.0, 0.1, 0.4])
        site.run(draw.uniform(50, 1500))


PROBE = Duty("probe", 1000.0)
WATCH = Duty("watch", 1000.0, Guarantee.AT_MOST_ONCE, max_run_ms=200.0)


def make_only_member(*duties: Duty) -> DutyScheduler:
    return DutyScheduler(1, duties, [1], LeaseSettings(), 0.0, 0)


def subjects_run(actions: Iterable[object]) -> list[str]:
    return [a.subject for a in actions if isinstance(a, RunDuty)]


def test_a_subject_is_run_one_interval_after_its_last_run_ended() -> None:
    d = make_only_member(PROBE)
    d.on_members(0.0, {})
    (run,) = [a for a in d.on_subjects(0.0, "probe", ["e1"]) if isinstance(a, RunDuty)]
    assert not d.step(500.0)  # the run is still in progress
    assert d.on_run_ended(600.0, run) == [AnnounceDone("probe", "e1", 600.0)] and d.next_at() == 1600.0
    assert subjects_run(d.step(1600.0)) == ["e1"]


def test_a_takeover_does_not_repeat_what_has_just_been_done() -> None:
    d = make_only_member(PROBE)
    members = {1: 1.0, 2: 1.0, 3: 1.0}
    d.on_members(0.0, members)
    d.on_subjects(0.0, "probe", [f"e{i}" for i in range(30)])
    others = {f"e{i}" for i in range(30)} - {subject for _, subject in d.active_subjects()}
    for subject in others:
        d.on_done_elsewhere(100.0, "probe", subject, 50.0)
    assert subjects_run(d.on_members(200.0, {1: 1.0})) == []
    assert set(subjects_run(d.step(1050.0))) == others


def test_a_new_engine_is_checked_by_exactly_one_of_five() -> None:
    members = dict.fromkeys(range(1, 6), 1.0)
    run_subjects = []
    for me in members:
        d = DutyScheduler(me, [PROBE], members, LeaseSettings(), 0.0, 0)
        d.on_members(0.0, members)
        run_subjects += subjects_run(d.on_subjects(0.0, "probe", [f"e{i}" for i in range(40)]))
    assert sorted(run_subjects) == sorted(f"e{i}" for i in range(40))


def test_a_late_run_is_fenced_even_if_its_subject_was_removed() -> None:
    d = make_only_member(PROBE)
    d.on_members(0.0, {})
    (run,) = [a for a in d.on_subjects(0.0, "probe", ["e1"]) if isinstance(a, RunDuty)]
    assert d.on_subjects(100.0, "probe", []) == [StopDuty("probe", "e1", run.epoch)]
    assert d.on_run_ended(200.0, run) == []
    (second_run,) = [a for a in d.on_subjects(300.0, "probe", ["e1"]) if isinstance(a, RunDuty)]
    assert d.on_run_ended(400.0, run) == [] and d.on_run_ended(500.0, second_run) == [
        AnnounceDone("probe", "e1", 500.0)
    ]


def test_an_at_most_once_run_starts_only_with_enough_of_its_lease_left() -> None:
    # Its own grant is a majority, but it grants nothing for one lease after its start.
    d = make_only_member(WATCH)
    d.on_members(0.0, {})
    assert subjects_run(d.on_subjects(0.0, "watch", ["dc1"])) == []
    began_at, now = -1.0, 0.0
    while now < 5000.0 and began_at < 0:
        now = max(d.next_at(), now + 1.0)
        if subjects_run(d.step(now)):
            began_at = now
    assert 1200.0 <= began_at < 2000.0 and d.lease_expiry["watch", "dc1"] - began_at >= WATCH.max_run_ms
    d.leases.voters, d.leases.majority = (1, 2, 3), 2  # the other voters don't reply: no renewal
    stopped = [a for t in range(int(began_at), int(began_at) + 1500, 10) for a in d.step(float(t))]
    assert [a for a in stopped if isinstance(a, StopDuty)] == [
        StopDuty("watch", "dc1", 1)
    ] and d.active_subjects() == []


def test_a_duty_whose_run_exceeds_its_interval_is_refused() -> None:
    with pytest.raises(ValueError, match="'x'"):
        Duty("x", 100.0, max_run_ms=100.0)
