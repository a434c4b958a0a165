"""The load recorder on a fake clock: order per key during a retry's query, disk errors, recorded results."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import replace
from typing import cast

import pytest

from cottonhold.backend.attempt import Attempt
from cottonhold.fleet.recovery.load_history import LoadHistory
from cottonhold.fleet.recovery.load_history_interface import FleetState, LoadHistorySettings, LoadSettled
from cottonhold.fleet.recovery.messages import MemoryState
from cottonhold.fleet_adapters.load_records import LoadRecorder
from cottonhold.node.client_request import ClientRequest
from cottonhold.node.load_guard import LoadOutcome
from cottonhold.observe.counters import Counters
from cottonhold.scheduler.events import Outcome
from cottonhold.store.health import DiskHealth, DiskState
from cottonhold.store.ledger import Ledger
from cottonhold.store.records import LoadRecord, LoadState, Record
from tests.support.scenario import FakeClock


class FakeLedger:
    """A ledger whose writes end when the test calls `durable`."""

    boot_count = 3

    def __init__(self) -> None:
        self.state, self.writes = (
            DiskState.HEALTHY,
            list[tuple[Sequence[Record], Callable[[bool], None] | None]](),
        )

    def health(self, now: float) -> DiskHealth:
        return DiskHealth(self.state, "as told")

    def put(self, records: Sequence[Record], done: Callable[[bool], None] | None = None) -> None:
        self.writes.append((records, done))

    def finish_writes(self, ok: bool = True) -> None:
        for _, done in self.writes:
            if done is not None:
                done(ok)
        self.writes = [(records, None) for records, _ in self.writes]

    def states(self) -> list[LoadState]:
        """Return the states of the recorded loads, in the order of the writes."""
        every = [r for records, _ in self.writes for r in records if r.value is not None]
        return [LoadRecord.decode(r.key, r.value).state for r in every if r.value is not None]


class World:
    """The load recorder of one of three dispatchers; the others don't answer queries."""

    def __init__(self) -> None:
        self.clock, self.ledger, self.outcomes = FakeClock(), FakeLedger(), list[tuple[str, str]]()
        self.memory = LoadHistory(0, 3, 3, self.clock.now(), (), LoadHistorySettings(20_000.0), 1)
        self.may_send, self.start = True, self.clock.now()
        self.loads = LoadRecorder(
            self.memory,
            cast(Ledger, self.ledger),
            {},
            {1: True},
            20_000.0,
            self.clock.now,
            self.clock.now,
            self.clock.call_in,
            lambda then: then(),
            lambda: self.may_send,
            lambda actions: None,
            Counters(),
            lambda event, **fields: None,
        )

    def client_request(self, ref: str, key: str, retry: bool) -> ClientRequest:
        body = f"INSERT {ref[:1]}".encode()
        return ClientRequest(ref, 1, "load", self.clock.now(), 8000.0, 0.0, 0.0, -1, key, retry, body)

    def arrive(self, ref: str, key: str = "k", retry: bool = False, wait: float = 5000.0) -> None:
        def settled(past: LoadOutcome, ms: float) -> None:
            self.outcomes.append((ref, past.value))

        self.loads.on_load_arrived(self.client_request(ref, key, retry), self.clock.now() + wait, settled)

    def send(self, ref: str) -> tuple[Attempt, list[bool]]:
        client_request, recorded = self.client_request(ref, "k", False), list[bool]()
        attempt = Attempt(
            ref, 0, "e", "load", client_request.body, 1, self.clock.now(), self.clock.now() + 5000
        )
        self.loads.before_attempt_sent(attempt, client_request, recorded.append)
        return attempt, recorded


def test_a_request_behind_an_unsettled_retry_of_its_key_waits() -> None:
    world = World()
    world.arrive("a1", retry=True)
    world.arrive("b1")
    world.arrive("c1", wait=1000.0)
    world.arrive("d1", key="other")
    assert world.outcomes == [("d1", "never")]
    world.clock.run_until(world.clock.now() + 1500.0, lambda: None)
    assert world.outcomes[1:] == [("c1", "later")]  # its own deadline passed first
    world.loads.on_request_closed("a1")  # its client disconnects, which ends the queries
    assert world.outcomes[2:] == [("b1", "never")]


@pytest.mark.parametrize(
    "outcome, expected_state",
    [
        (Outcome.OK, LoadState.COMPLETED),
        (Outcome.ERROR, LoadState.FAILED),
        (Outcome.RESET, LoadState.FAILED),
        (Outcome.TIMEOUT, LoadState.FAILED),
        (Outcome.OVERLOADED, LoadState.NEVER_SENT),
        (Outcome.CONNECT_FAILED, LoadState.NEVER_SENT),
        (None, LoadState.NEVER_SENT),
    ],
)
def test_a_result_is_recorded_as_what_it_proves(outcome: Outcome | None, expected_state: LoadState) -> None:
    world = World()
    attempt, recorded = world.send("a1")
    assert recorded == [] and world.ledger.states() == [LoadState.SENT]
    world.ledger.finish_writes()
    assert recorded == [True]
    world.loads.on_attempt_ended(attempt, outcome)
    world.loads.on_request_closed("a1")
    assert world.ledger.states() == [LoadState.SENT, expected_state] and not world.loads.runs


def test_a_result_is_not_recorded_while_another_run_of_the_load_is_open() -> None:
    world = World()
    first, _ = world.send("a1")
    second, _ = world.send("a2")
    world.loads.on_attempt_ended(first, Outcome.OK)
    assert world.ledger.states() == [LoadState.SENT, LoadState.SENT]
    world.loads.on_attempt_ended(second, Outcome.RESET)
    assert world.ledger.states()[-1] is LoadState.FAILED


@pytest.mark.parametrize("change", ["disk", "unheard"])
def test_a_load_that_cannot_be_recorded_is_rejected(change: str) -> None:
    world = World()
    if change == "disk":
        world.ledger.state = DiskState.FULL
    else:
        world.may_send = False
    world.arrive("a1")
    assert world.outcomes == [("a1", "later")]


@pytest.mark.parametrize("change", ["disk", "unheard"])
def test_a_retry_unknown_to_others_is_not_postponed_for_long(change: str) -> None:
    """It is told to retry later at first; later on, its load's sender may soon have removed the record."""
    world = World()
    if change == "disk":
        world.ledger.state = DiskState.FULL
    else:
        world.may_send = False
    for at, ref in ((0.0, "a1"), (4000.0, "a2"), (7000.0, "a3")):
        world.clock.run_until(world.start + at, lambda: None)
        world.arrive(ref, retry=True, wait=500.0)
        world.clock.run_until(world.start + at + 500.0, lambda: None)
        world.memory.step(world.clock.now(), world.memory.fleet)
        for action in world.memory.actions:
            if isinstance(action, LoadSettled):
                world.loads.on_settled(action)
    assert world.outcomes == [("a1", "later"), ("a2", "later"), ("a3", "may")]


def test_a_load_in_the_history_stays_on_the_disk() -> None:
    """Its retention has passed, but an instance that is not proven silent is unreachable and may query it."""
    world, apart = World(), FleetState(True, True, MemoryState.INTACT, {}, is_partitioned=True)
    attempt, _ = world.send("a1")
    world.ledger.finish_writes()
    world.loads.on_attempt_ended(attempt, Outcome.RESET)
    world.loads.on_request_closed("a1")
    for ms, around, remaining_count in (
        (30_000.0, apart, 1),
        (60_000.0, apart, 1),
        (75_000.0, replace(apart, is_partitioned=False), 1),
        (90_000.0, replace(apart, is_partitioned=False), 0),
    ):
        world.clock.run_until(world.start + ms, lambda: None)
        world.memory.step(world.clock.now(), around)
        world.loads.expire()
        assert len(world.loads.records) == remaining_count, ms


def test_a_record_that_was_not_removed_is_removed_later() -> None:
    world = World()
    attempt, _ = world.send("a1")
    world.ledger.finish_writes()
    world.loads.on_attempt_ended(attempt, Outcome.RESET)
    world.loads.on_request_closed("a1")
    remaining_counts = []
    for ms, durable in ((30_000.0, False), (35_000.0, True), (40_000.0, True)):
        world.clock.run_until(world.start + ms, lambda: None)
        world.memory.step(world.clock.now(), world.memory.fleet)
        world.loads.expire()
        remaining_counts.append(len(world.loads.records))
        world.ledger.finish_writes(durable)
    deletions = [r for records, _ in world.ledger.writes for r in records if r.value is None]
    assert remaining_counts == [0, 0, 0] and len(deletions) == 2 and not world.loads.records


def test_a_failed_removal_does_not_replace_a_new_record() -> None:
    world = World()
    attempt, _ = world.send("a1")
    world.ledger.finish_writes()
    world.loads.on_attempt_ended(attempt, Outcome.RESET)
    world.loads.on_request_closed("a1")
    world.clock.run_until(world.start + 30_000.0, lambda: None)
    world.memory.step(world.clock.now(), world.memory.fleet)
    world.loads.expire()
    world.send("a2")
    world.ledger.finish_writes(False)
    (record,) = world.loads.records.values()
    assert record.request_id == "a2"


def test_a_failed_write_is_reported() -> None:
    world = World()
    _, recorded = world.send("a1")
    world.ledger.finish_writes(False)
    assert recorded == [False]
