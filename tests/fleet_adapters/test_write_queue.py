"""The ordered write queue: order of records, retries until they are durable, and voters on failing disks."""

from __future__ import annotations

import heapq
from collections.abc import Callable, Iterable, Sequence
from typing import Any, cast

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cottonhold.fleet.consensus.acceptor import Acceptor, VoterRegister
from cottonhold.fleet.consensus.actions import ChangeResult, PersistState
from cottonhold.fleet.consensus.messages import Ballot
from cottonhold.fleet_adapters import write_queue
from cottonhold.fleet_adapters.write_queue import OrderedWriteQueue
from cottonhold.store.health import DiskHealth, DiskState
from cottonhold.store.ledger import Ledger
from cottonhold.store.records import Record, RecordKind
from tests.fleet.test_register import Fleet
from tests.support.scenario import FakeClock

Done = Callable[[bool], None]


class ScriptedLedger:
    """A ledger that accepts writes while it is healthy; `answer` ends the oldest write."""

    def __init__(self) -> None:
        self.state = DiskState.HEALTHY
        self.pending_writes: list[tuple[Sequence[Record], Done]] = []
        self.disk: list[bytes] = []

    def clock(self) -> float:
        return 0.0

    def health(self, now: float) -> DiskHealth:
        return DiskHealth(self.state, "as told")

    def put(self, records: Sequence[Record], done: Done) -> None:
        if self.state is DiskState.HEALTHY:
            self.pending_writes.append((records, done))
        else:
            done(False)

    def answer(self, durable: bool) -> None:
        records, done = self.pending_writes.pop(0)
        if durable:
            self.disk += [record.key + (record.value or b"") for record in records]
        done(durable)


class World:
    def __init__(self) -> None:
        self.clock, self.ledger = FakeClock(), ScriptedLedger()
        self.notifications: list[str] = []
        self.writer = OrderedWriteQueue(cast(Ledger, self.ledger), lambda then: then(), self.clock.call_in)

    def put(self, key: str, value: str) -> None:
        name = key + value
        self.writer.put(
            Record(RecordKind.PROMISE, key.encode(), value.encode()),
            lambda: self.notifications.append(name),
            lambda: self.notifications.append("-" + name),
        )

    def wait(self, ms: float) -> None:
        self.clock.run_until(self.clock.now() + ms, lambda: None)


def test_one_transaction_at_a_time_in_order() -> None:
    world = World()
    for key in "abc":
        world.put(key, "1")
    assert len(world.ledger.pending_writes) == 1
    world.ledger.answer(True)
    assert world.notifications == ["a1"] and len(world.ledger.pending_writes) == 1
    world.ledger.answer(True)
    assert world.notifications == ["a1", "b1", "c1"] and world.ledger.disk == [b"a1", b"b1", b"c1"]


def test_refused_records_are_written_first_the_next_time() -> None:
    world = World()
    for key, value in (("a", "1"), ("b", "1"), ("a", "2")):
        world.put(key, value)
    world.ledger.answer(False)
    world.put("c", "1")
    assert world.notifications == ["-a1"] and not world.ledger.pending_writes
    world.wait(write_queue.RETRY_MS + 1)
    world.ledger.answer(True)
    assert world.ledger.disk == [b"b1", b"a2", b"c1"]
    assert world.notifications == ["-a1", "b1", "a2", "c1"], (
        "the later record of a key stands for the earlier one"
    )


@pytest.mark.parametrize("state", [DiskState.STALLED, DiskState.FULL, DiskState.FAILED])
def test_a_faulty_disk_is_reported_at_once_and_retried(state: DiskState) -> None:
    world = World()
    world.put("a", "1")
    world.ledger.state = state
    world.put("b", "1")
    assert world.notifications == ["-b1"], "behind one that hangs it isn't waited for"
    world.ledger.answer(False)
    world.wait(20 * write_queue.RETRY_MS)
    assert set(world.notifications) == {"-a1", "-b1"} and not world.ledger.pending_writes
    world.ledger.state = DiskState.HEALTHY
    world.wait(write_queue.RETRY_MS + 1)
    world.ledger.answer(True)
    assert world.ledger.disk == [b"a1", b"b1"] and world.notifications[-2:] == ["a1", "b1"]


def test_many_records_are_several_transactions() -> None:
    world = World()
    world.put("first", "")
    for number in range(write_queue.MAX_GROUP_RECORDS + 5):
        world.put(f"{number}", "")
    sizes = []
    while world.ledger.pending_writes:
        sizes.append(len(world.ledger.pending_writes[0][0]))
        world.ledger.answer(True)
    assert sizes == [1, write_queue.MAX_GROUP_RECORDS, 5] and len(world.notifications) == sum(sizes)


STEPS = st.lists(
    st.one_of(st.tuples(st.just("put"), st.sampled_from("abc")), st.sampled_from(["ok", "no", "wait"])),
    max_size=40,
)


def check_durable_in_order(steps: Iterable[Any]) -> None:
    """Check that records become durable in order, that none is reported too early, and that none is lost."""
    world, last = World(), dict[str, str]()
    for number, step in enumerate(steps):
        if step == "wait":
            world.wait(write_queue.RETRY_MS + 1)
        elif step in ("ok", "no"):
            if world.ledger.pending_writes:
                world.ledger.answer(step == "ok")
        else:
            last[step[1]] = f"{number:03}"
            world.put(step[1], last[step[1]])
        reported = [name for name in world.notifications if not name.startswith("-")]
        assert set(reported) <= {name.decode() for name in world.ledger.disk}
    for _ in range(2 * len(last) + 2):
        world.wait(write_queue.RETRY_MS + 1)
        if world.ledger.pending_writes:
            world.ledger.answer(True)
    disk = [name.decode() for name in world.ledger.disk]
    assert [name[1:] for name in disk] == sorted(name[1:] for name in disk), "out of order"
    assert all(key + value in disk and key + value in world.notifications for key, value in last.items())


@settings(max_examples=200, deadline=None)
@given(STEPS)
def test_any_history_is_durable_in_order(steps: list[Any]) -> None:
    check_durable_in_order(steps)


PUT = [("put", "a"), "no", ("put", "b"), "wait", "ok"]


def test_writing_refused_records_after_newer_ones_is_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    def behind(self: OrderedWriteQueue, durable: bool) -> None:
        flying, self.in_flight = self.in_flight, {}
        if durable:
            for entry in flying.values():
                entry.on_durable()
        else:
            self.pending |= flying
        if self.pending and not self.in_flight:
            self._write()

    check_durable_in_order([("put", "a"), ("put", "b"), "no", "ok"])
    monkeypatch.setattr(OrderedWriteQueue, "_on_written", behind)
    with pytest.raises(AssertionError, match="out of order"):
        check_durable_in_order([("put", "a"), ("put", "b"), "no", "ok"])


def test_never_retrying_a_write_is_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    def forgotten(self: OrderedWriteQueue, durable: bool) -> None:
        flying, self.in_flight = self.in_flight, {}
        for entry in flying.values():
            (entry.on_durable if durable else entry.on_failed)()

    check_durable_in_order(PUT)
    monkeypatch.setattr(OrderedWriteQueue, "_on_written", forgotten)
    with pytest.raises(AssertionError):
        check_durable_in_order(PUT)


class FailingLedger:
    """The ledger of one voter, which fails while the voter is in `fleet.failing`."""

    def __init__(self, fleet: FailingFleet, member: int) -> None:
        self.fleet, self.member = fleet, member

    def clock(self) -> float:
        return self.fleet.now

    def health(self, now: float) -> DiskHealth:
        return DiskHealth(DiskState.FAILED if self.member in self.fleet.failing else DiskState.HEALTHY, "")

    def put(self, records: Sequence[Record], done: Done) -> None:
        self.fleet.schedule(self.member, 0.3, lambda: self._write(records, done))

    def _write(self, records: Sequence[Record], done: Done) -> None:
        is_healthy = self.member not in self.fleet.failing
        for record in records if is_healthy else ():
            self.fleet.disks[self.member].pop(record.key.decode(), None)
            if record.value:
                self.fleet.disks[self.member][record.key.decode()] = record.value
        done(is_healthy)


class FailingFleet(Fleet):
    """Voters whose promises are written to failing disks."""

    def __init__(self, failing: Iterable[int] = ()) -> None:
        self.failing, self.writers = set(failing), dict[int, OrderedWriteQueue]()
        super().__init__()

    def start(self, member: int, empty: bool = False) -> None:
        ledger = cast(Ledger, FailingLedger(self, member))
        self.writers[member] = OrderedWriteQueue(
            ledger, lambda then: then(), lambda ms, then: self.schedule(member, ms, then)
        )
        super().start(member, empty)

    def schedule(self, member: int, ms: float, then: Callable[[], None]) -> None:
        heapq.heappush(
            self.events, (self.now + ms, next(self.order), member, self.incarnations[member], then)
        )

    def deliver(self, member: int, incarnation: int, delivery: Any) -> None:
        if not callable(delivery):
            super().deliver(member, incarnation, delivery)
        elif member in self.running and incarnation == self.incarnations[member]:
            delivery()

    def act(self, member: int, actions: Iterable[Any]) -> None:
        others = []
        for action in actions:
            if isinstance(action, PersistState):
                self.persist(member, action)
            else:
                others.append(action)
        super().act(member, others)

    def persist(self, member: int, action: PersistState) -> None:
        record = Record(RecordKind.PROMISE, action.name.encode(), action.data or None)

        def on_written() -> None:
            self.act(member, self.running[member].on_persisted(self.now, action.token))

        self.writers[member].put(record, on_written)


def a_voter_votes_after_its_disk_failed_at_the_start() -> None:
    fleet = FailingFleet(failing=[102])
    fleet.run(10_000)
    assert not fleet.running[102].is_voting() and not fleet.disks[102]
    fleet.failing.clear()
    fleet.run(10_000)
    assert all(one.is_voting() for one in fleet.running.values())
    fleet.stop(103)
    assert fleet.change(101, "a", 0, b"x").result is ChangeResult.WON, "its vote counts again"


def test_a_voter_votes_after_its_disk_failed_at_the_start() -> None:
    a_voter_votes_after_its_disk_failed_at_the_start()


def test_a_voter_whose_records_are_not_retried_is_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(OrderedWriteQueue, "_retry", lambda self: None)
    with pytest.raises(AssertionError):
        a_voter_votes_after_its_disk_failed_at_the_start()


def test_promises_survive_a_failed_disk_and_a_kill() -> None:
    fleet = FailingFleet()
    fleet.run(1000)
    assert fleet.change(101, "a", 0, b"one").result is ChangeResult.WON
    fleet.failing = {102, 103}
    assert fleet.change(101, "a", 1, b"two").result is not ChangeResult.WON, (
        "no result is reported that is not durable"
    )
    fleet.failing.clear()
    fleet.run(5000)
    for member in (102, 103):
        fleet.stop(member)
        fleet.start(member)
    fleet.stop(101)
    fleet.run(5000)
    assert fleet.read(102).value in (b"one", b"two")


def test_a_voter_returns_while_another_s_disk_failed_for_a_while() -> None:
    """The voter that admits a returning one records the number of the return; that write fails once."""
    fleet = FailingFleet()
    fleet.run(1000)
    assert fleet.change(101, "a", 0, b"one").result is ChangeResult.WON
    fleet.failing = {102}
    fleet.stop(103)
    fleet.start(103, empty=True)
    fleet.run(10_000)
    assert not fleet.running[103].is_voting()
    fleet.failing.clear()
    fleet.run(10_000)
    assert fleet.running[103].is_voting()


def test_all_finished_registers_go_once_the_last_floor_is_durable() -> None:
    """Only a record's last write is reported; earlier writes may never have reached the disk."""
    voter = Acceptor(101, [101], 7, {}, 64, 200.0)
    voter.step(0.0)
    for _ in range(2):
        for action in voter.drain_actions():
            if isinstance(action, PersistState):
                voter.on_persisted(action.token)
        voter.step(1000.0)
    assert voter.is_voting
    for name in "ab":
        voter.registers[name] = VoterRegister(Ballot(3, 101))
        voter._remove_register(name)
    voter.on_persisted(voter.last_token)
    removed = {
        action.name
        for action in voter.drain_actions()
        if isinstance(action, PersistState) and not action.data
    }
    assert removed == {"reg/a", "reg/b"}
