"""The membership survey: its verdicts after power losses, and its resistance to false reports."""

from __future__ import annotations

import contextlib
import dataclasses

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cottonhold.fleet.message_format import MessageError
from cottonhold.fleet.recovery import membership_survey, survey_results
from cottonhold.fleet.recovery.messages import (
    CHECKPOINTS_PER_BOOT,
    MAX_LOADS,
    MAX_PEER_STATES,
    LoadAnswer,
    LoadQuery,
    LoadStatement,
    LoadVerdict,
    MemoryState,
    Message,
    OpenLoads,
    PeerState,
    Presence,
    decode,
    encode,
)
from tests.support.recovery_world import SURVEY, World, settled

OUTAGE = survey_results.OutageVerdict
U32 = st.integers(0, 2**32 - 1)
LOAD = st.binary(min_size=16, max_size=16)
AGE = st.none() | st.integers(0, 65534).map(lambda n: n * 10.0)
PAIR = st.builds(
    PeerState, st.integers(0, 65535), U32, U32, U32.map(float), AGE, st.booleans(), st.booleans()
)
LOADS = st.lists(LOAD, min_size=1, max_size=MAX_LOADS).map(tuple)
VERDICTS = st.lists(
    st.builds(LoadVerdict, st.integers(0, 255), st.sampled_from(LoadStatement)),
    min_size=1,
    max_size=MAX_LOADS,
).map(tuple)
PRESENCE_REPORTS = st.builds(
    Presence,
    st.integers(0, 65535),
    st.integers(1, 2**32 - 1),
    U32,
    U32,
    U32.map(float),
    st.sampled_from(MemoryState),
    st.booleans(),
    st.lists(PAIR, max_size=MAX_PEER_STATES).map(tuple),
)
MESSAGE = st.one_of(
    PRESENCE_REPORTS,
    st.builds(LoadQuery, U32, U32, LOADS),
    st.builds(LoadAnswer, U32, U32, VERDICTS),
    st.builds(OpenLoads, LOADS),
)


@given(MESSAGE)
@settings(max_examples=200, deadline=None)
def test_messages_are_decoded_as_encoded_and_fit(message: Message) -> None:
    data = encode(message)
    assert len(data) <= 200 and decode(data) == message
    for cut in range(len(data)):
        with pytest.raises(MessageError):
            decode(data[:cut])
    with pytest.raises(MessageError):
        decode(data + b"\0")


@given(st.binary(max_size=200))
@settings(max_examples=300, deadline=None)
def test_other_bytes_are_a_message_error(data: bytes) -> None:
    with contextlib.suppress(MessageError):
        decode(data)


def restart_after_power_loss(world: World, numbers: range | list[int]) -> None:
    world.kill(*numbers)
    world.run(2000.0)
    world.start(*numbers)


CASES = {
    "one": ([0], {0: OUTAGE.ALONE, 1: OUTAGE.SOME, 5: OUTAGE.SOME}),
    "a zone": ([0, 3], {0: OUTAGE.ZONE, 3: OUTAGE.ZONE, 4: OUTAGE.ZONE}),
    "half, of no whole zone": ([0, 1, 2], {0: OUTAGE.SOME, 5: OUTAGE.SOME}),
    "more than half": ([0, 1, 2, 3], {0: OUTAGE.FLEET, 5: OUTAGE.FLEET}),
    "all": (list(range(6)), {n: OUTAGE.FLEET for n in range(6)}),
}


@pytest.mark.parametrize("loss", [0.0, 0.3])
@pytest.mark.parametrize("case", CASES)
def test_all_instances_find_the_same_outage(case: str, loss: float) -> None:
    numbers, expected = CASES[case]
    world = settled(6)
    assert world.verdicts() == {OUTAGE.NOTHING}
    world.loss = world.duplicate_chance = loss
    restart_after_power_loss(world, numbers)
    world.run(SURVEY.settle_ms)
    assert {n: world.nodes[n].survey.view.verdict for n in expected} == expected
    if loss == 0:
        assert (
            len({(n.survey.view.restarted, n.survey.view.restarted_zones) for n in world.live_nodes()}) == 1
        )
    world.loss = world.duplicate_chance = 0.0
    world.run(SURVEY.recent_start_ms + 2000.0)
    assert world.verdicts() == {OUTAGE.NOTHING}


def test_a_clean_shutdown_is_no_outage() -> None:
    world = settled(6)
    world.kill(*range(6), clean=True)
    world.start(*range(6))
    world.run(3000.0)
    assert world.verdicts() == {OUTAGE.NOTHING}


def test_instances_that_return_later_join_the_same_outage() -> None:
    world = settled(6)
    world.kill(*range(6))
    world.run(1000.0)
    returned_at = world.now
    world.start(0, 1, 2)
    world.run(8000.0)
    assert world.verdicts() == {OUTAGE.SOME}  # three of six are not more than half
    assert all(n.survey.view.is_settled for n in world.live_nodes())
    world.start(3, 4, 5)
    world.run(2000.0)
    assert world.verdicts() == {OUTAGE.FLEET}
    for node in world.live_nodes():
        assert node.world(node.survey.view.first_start) == pytest.approx(returned_at, abs=100)
    world.run(SURVEY.recent_start_ms - 9500.0)
    assert world.verdicts() == {OUTAGE.NOTHING}  # it ends for all instances at the same time


def test_a_second_power_loss_is_a_new_outage() -> None:
    world = settled(5)
    for _ in range(3):
        restart_after_power_loss(world, range(5))
        world.run(700.0)
        assert world.verdicts() == {OUTAGE.FLEET}
    world.kill(*range(5))
    world.start(0, 1, 2)
    world.run(SURVEY.settle_ms + 100.0)
    view = world.nodes[0].survey.view
    assert (view.verdict, view.is_settled, view.missing) == (OUTAGE.FLEET, True, frozenset({3, 4}))


def test_being_cut_off_is_distinguished_from_being_restarted_alone() -> None:
    world = settled(6)
    world.partition([0, 1], [2, 3, 4, 5])
    world.run(SURVEY.max_report_age_ms + SURVEY.settle_ms + 2000.0)
    assert [world.nodes[n].survey.view.verdict for n in (0, 1, 2, 5)] == [OUTAGE.CUT_OFF] * 2 + [
        OUTAGE.NOTHING
    ] * 2
    assert not world.nodes[0].survey.may_send_loads(world.nodes[0].clock(world.now))
    world.partition(range(6))
    world.run(2000.0)
    assert world.verdicts() == {OUTAGE.NOTHING}
    assert all(n.survey.may_send_loads(n.clock(world.now)) for n in world.live_nodes())


def test_neither_half_of_a_partition_takes_the_other_for_silent() -> None:
    world = settled(6)
    world.partition([0, 1, 2], [3, 4, 5])
    world.run(30_000.0)
    for node in world.live_nodes():
        assert node.survey.may_send_loads(node.clock(world.now)) and not node.survey.proven_silent(
            node.clock(world.now)
        )


def test_silence_is_proven_only_after_sending_became_impossible() -> None:
    world = settled(5)
    world.partition([0, 1], [2, 3, 4])
    stopped = dict[int, float]()
    for _ in range(200):
        world.run(100.0)
        for n in (0, 1):
            if not world.nodes[n].survey.may_send_loads(world.nodes[n].clock(world.now)):
                stopped.setdefault(n, world.now)
        for n in (2, 3, 4):
            node = world.nodes[n]
            for number, proof in node.survey.proven_silent(node.clock(world.now)).items():
                nothing_sent_after, valid_until = (
                    node.world(proof.nothing_sent_after),
                    node.world(proof.valid_until),
                )
                assert nothing_sent_after >= valid_until or stopped[number] - 100 <= nothing_sent_after
    last = world.nodes[3].survey.proven_silent(world.nodes[3].clock(world.now))
    assert set(last) == {0, 1} == set(stopped)


@pytest.mark.parametrize("folder", ["empty", "old"])
def test_an_outdated_folder_is_detected_and_its_boot_count_raised(folder: str) -> None:
    world = settled(5)
    for _ in range(2):
        restart_after_power_loss(world, [0])
        world.run(2000.0)
    known = world.folders[0].boot_count
    world.kill(*range(5))
    world.start(1, 2, 3, 4)
    world.start(0, folder=folder)
    assert world.folders[0].boot_count <= known
    world.run(2000.0)
    survey = world.nodes[0].survey
    assert survey.memory is (MemoryState.EMPTY if folder == "empty" else MemoryState.STALE)
    assert (
        not survey.has_confirmed_memory()
        and survey.boot_count > known
        and world.folders[0].boot_count == survey.boot_count
    )
    boot_count = survey.boot_count
    world.run(5000.0)
    assert survey.boot_count == boot_count  # it was raised only once
    assert all(world.nodes[n].survey.has_confirmed_memory() for n in (1, 2, 3, 4))
    assert world.nodes[1].folder.known[0].boot_count == boot_count


@pytest.mark.parametrize("folder", ["empty", "old"])
@pytest.mark.parametrize("uptime_ms", [60.0, 700.0])
def test_an_outdated_folder_stays_so_however_often_it_is_started(folder: str, uptime_ms: float) -> None:
    world = settled(5)
    restart_after_power_loss(world, [0])
    world.run(2000.0)
    world.kill(0)
    world.start(0, folder=folder)
    for _ in range(4):
        world.run(uptime_ms)
        world.kill(0)
        world.start(0)
    world.run(2000.0)
    survey = world.nodes[0].survey
    assert (
        survey.memory is MemoryState.STALE
        and not survey.has_confirmed_memory()
        and not world.folders[0].checkpoint
    )
    world.run(SURVEY.retention_ms)
    assert (
        world.folders[0].checkpoint // CHECKPOINTS_PER_BOOT == survey.boot_count
    )  # all loads that it has lost the records of have expired
    world.kill(0)
    world.start(0)
    world.run(2000.0)
    assert world.nodes[0].survey.has_confirmed_memory()


def test_an_unconfirmed_folder_is_stale_after_the_retention() -> None:
    world = settled(3)
    world.partition([0, 1], [2])
    restart_after_power_loss(world, [0])
    world.run(SURVEY.settle_ms + 2000.0)
    world.kill(0, 1, 2)
    world.run(100.0)  # no datagram is in flight any more
    world.start(0, folder="old")
    world.partition(range(3))
    world.start(1, 2)  # only 1 knows a later checkpoint, and one witness is not enough
    world.run(SURVEY.retention_ms - 500.0)
    survey = world.nodes[0].survey
    assert survey.memory.name == "INTACT" and not survey.has_confirmed_memory()
    world.run(2000.0)
    assert survey.memory.name == "STALE"


@pytest.mark.parametrize("loss", [0.0, 0.3])
def test_a_folder_in_use_twice_is_reported_to_both(loss: float) -> None:
    world = settled(5)
    world.loss = loss
    world.start(2, twin=True)
    world.run(15_000.0)
    first, second = world.nodes[2], world.twins[0]
    assert (first.duplicates_seen, second.duplicates_seen) == ([False], [True])
    assert not second.survey.may_send_loads(second.clock(world.now))
    assert not any(n.duplicates_seen for n in world.live_nodes() if n.number != 2)


def test_restarts_are_not_taken_for_duplicates() -> None:
    world = settled(5, duplicate_chance=0.3)
    for _ in range(6):
        restart_after_power_loss(world, [2])
        world.run(1500.0)
    assert not any(n.duplicates_seen for n in world.live_nodes())


def make_survey() -> membership_survey.MembershipSurvey:
    numbers = range(5)
    zones, known = dict.fromkeys(numbers, "z"), dict.fromkeys(numbers, 7)
    return membership_survey.MembershipSurvey(
        0, 5, zones, 7, 11, MemoryState.INTACT, True, known, 0.0, SURVEY
    )


def presence(number: int, uptime_ms: float, **changes: object) -> Presence:
    report = Presence(number, 8, 8, 100 + number, uptime_ms, MemoryState.INTACT, False)
    return dataclasses.replace(report, **changes)  # type: ignore[arg-type]


def test_a_member_is_bound_to_one_number() -> None:
    survey = make_survey()
    for number in (1, 2, 3, 4):
        survey.on_message(10.0, 1001, presence(number, 5.0))
    survey.step(50.0)
    assert survey.view.restarted == {1} and survey.counters["unbound"] == 3


def test_one_member_can_neither_make_a_memory_stale_nor_stop_an_instance() -> None:
    def false_states(uptime_ms: float) -> tuple[PeerState, ...]:
        return (PeerState(0, 4_000_000_000, 11, uptime_ms, 0.0, is_duplicate=True, is_stale=True),)

    survey = make_survey()
    for uptime_ms in range(1, 50):
        survey.on_message(
            uptime_ms * 100.0, 1001, presence(1, uptime_ms * 100.0, peers=false_states(uptime_ms))
        )
        assert not [
            a
            for a in survey.step(uptime_ms * 100.0)
            if isinstance(a, survey_results.RaiseBootCount | survey_results.DuplicateIdentity)
        ]
    assert survey.memory is MemoryState.INTACT
    survey.on_message(
        6000.0, 1002, presence(2, 6000.0, peers=(PeerState(0, 9, 11, 1.0, 10.0, is_stale=True),))
    )
    boot_counts = [
        a.min_boot_count for a in survey.step(6100.0) if isinstance(a, survey_results.RaiseBootCount)
    ]
    assert boot_counts == [10]  # raised above the boot count that two witnesses confirm


def test_presence_reports_merge_in_any_order_and_old_ones_change_nothing() -> None:
    survey = make_survey()
    survey.on_message(100.0, 1001, presence(1, 90.0))
    survey.on_message(101.0, 1001, presence(1, 30.0, was_clean_shutdown=True))
    survey.on_message(102.0, 1001, presence(1, 90.0, was_clean_shutdown=True))
    assert not survey.peers[1].was_clean_shutdown and survey.counters["old"] == 2


def test_a_clock_that_jumps_by_years_changes_nothing() -> None:
    # The clocks of the simulated instances are years apart, so comparing times between instances would fail.
    first, second = settled(5, seed=3), settled(5, seed=4)
    for world in (first, second):
        restart_after_power_loss(world, range(5))
        world.run(1000.0)
        assert world.verdicts() == {OUTAGE.FLEET}
        assert max(abs(n.offset) for n in world.live_nodes()) > 1e9


def test_planted_verdict_by_one_is_caught(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(
        membership_survey.MembershipSurvey, "_is_majority", lambda self, restarted: bool(restarted)
    )
    with pytest.raises(AssertionError):
        test_all_instances_find_the_same_outage("one", 0.0)


def test_planted_wall_clock_is_caught(monkeypatch: pytest.MonkeyPatch) -> None:
    original = membership_survey.MembershipSurvey.presence_for

    def presence_with_wall_clock(
        self: membership_survey.MembershipSurvey, now: float, to: int | None = None
    ) -> Presence:
        return dataclasses.replace(
            original(self, now, to), uptime_ms=now + 2e11
        )  # the defect: a wall-clock time instead of an uptime

    monkeypatch.setattr(membership_survey.MembershipSurvey, "presence_for", presence_with_wall_clock)
    with pytest.raises(AssertionError):
        test_all_instances_find_the_same_outage("all", 0.0)


def test_planted_member_with_many_numbers_is_caught(monkeypatch: pytest.MonkeyPatch) -> None:
    def bind(self: membership_survey.MembershipSurvey, now: float, member: int, number: int) -> object:
        return self.peers.get(number)

    monkeypatch.setattr(membership_survey.MembershipSurvey, "_bind", bind)
    with pytest.raises(AssertionError):
        test_a_member_is_bound_to_one_number()


def test_planted_boots_not_compared_is_caught(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(membership_survey.MembershipSurvey, "_exceeds_folder", lambda self, view: False)
    with pytest.raises(AssertionError):
        test_an_outdated_folder_is_detected_and_its_boot_count_raised("old")
