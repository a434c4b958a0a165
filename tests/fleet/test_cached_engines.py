"""Cached engines: what is stored of an engine list, and the list with which an instance starts."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Awaitable, Callable
from io import StringIO
from pathlib import Path

import pytest

from cottonhold.config.installation import read_installation
from cottonhold.discovery.model import (
    Address,
    ConfiguredNames,
    EngineListChange,
    Observation,
    ServiceStatus,
    SourceReport,
)
from cottonhold.emulator.disk import install
from cottonhold.emulator.lossy_disk import Orders
from cottonhold.fleet.recovery.cached_engines import EngineCache
from cottonhold.fleet.recovery.shared_slow_start import OutageScope, SharedSlowStart
from cottonhold.fleet.recovery.slow_start_settings import SlowStartSettings
from cottonhold.fleet.rolling_replacement import plan
from cottonhold.fleet.rolling_replacement.plan import ReplacementStep
from cottonhold.fleet.rolling_replacement.step_decision import Drain
from cottonhold.fleet_adapters import write_queue
from cottonhold.node.standalone.dispatcher import StandaloneDispatcher
from cottonhold.observe.structured import StructuredLog
from cottonhold.scheduler.events import Engine, EngineState
from cottonhold.store import ledger
from cottonhold.store.records import MAX_RECORDS, Hint, Record, RecordKind
from tests.observe.test_metrics import FILE, FLEET, VOTERS

NAMES = ConfiguredNames(("a", "b"), ("small", "large"))


def change(*engines: tuple[str, int, EngineState], whole: bool = False, port: int = 7000) -> EngineListChange:
    """Return a change of these engines (id, number of the zone, state); each has a port of its own."""
    made = tuple(
        Engine(engine_id, zone=zone, machine_type=1, cell=3, state=state, size=2.0)
        for engine_id, zone, state in engines
    )
    return EngineListChange(made, {e.id: Address("10.0.0.1", port + int(e.id[1:])) for e in made}, whole)


def folder_after(records: list[Record], before: dict[bytes, bytes] | None = None) -> dict[bytes, bytes]:
    """Return the folder's contents after these records."""
    folder = dict(before or {})
    for record in records:
        assert record.kind is RecordKind.ENGINE_ADDRESS
        folder.pop(record.key, None)
        if record.value is not None:
            folder[record.key] = record.value
    return folder


LIVE, DRAINING, REMOVED = EngineState.LIVE, EngineState.DRAINING, EngineState.REMOVED
FIRST = change(("e1", 0, LIVE), ("e2", 1, LIVE))


def ids(remembered: EngineCache) -> list[str]:
    return [o.id for o in remembered.observations()]


@pytest.mark.parametrize(
    "then, left",
    [
        (change(("e3", 0, LIVE)), ["e1", "e2", "e3"]),
        (change(("e1", 0, DRAINING)), ["e2"]),
        (change(("e1", 0, REMOVED)), ["e2"]),
        (change(("e2", 1, LIVE), whole=True), ["e2"]),
        (change(("e4", 0, DRAINING)), ["e1", "e2"]),
    ],
    ids=["one more", "drained", "gone", "a whole list", "met draining"],
)
def test_only_live_engines_are_cached(then: EngineListChange, left: list[str]) -> None:
    made = EngineCache({}, NAMES)
    folder = folder_after(made.apply(FIRST))
    assert made.apply(FIRST) == []  # nothing is written twice
    folder = folder_after(made.apply(then), folder)
    assert ids(EngineCache(folder, NAMES)) == left == ids(made)


def test_a_cached_engine_is_restored_by_the_names_of_its_zone_and_type() -> None:
    folder = folder_after(EngineCache({}, NAMES).apply(FIRST))
    [one, two] = EngineCache(folder, ConfiguredNames(("b", "c", "a"), ("large",))).observations()
    assert (one.address, one.zone, one.machine_type, one.cell, one.size) == (
        Address("10.0.0.1", 7001),
        2,
        0,
        3,
        2.0,
    )
    assert (
        one.status is ServiceStatus.IN_SERVICE
        and two.zone == 0
        and not one.process_id
        and one.started_at == 0.0
    )
    assert ids(EngineCache(folder, ConfiguredNames(("b",), ("large",)))) == [
        "e2"
    ]  # zone a is no longer configured


@pytest.mark.parametrize(
    "known, found",
    [
        (Observation("e1", ServiceStatus.IN_SERVICE, address=Address("10.0.0.9", 1)), ["e1", "e2"]),
        (Observation("new", ServiceStatus.IN_SERVICE, address=Address("10.0.0.1", 7002)), ["new", "e1"]),
    ],
    ids=["the same engine elsewhere", "another engine at its address"],
)
def test_the_configuration_outranks_the_cache(known: Observation, found: list[str]) -> None:
    made = EngineCache(folder_after(EngineCache({}, NAMES).apply(FIRST)), NAMES)
    observations = made.observations((known,))
    assert [o.id for o in observations] == found and observations[0] == known


@pytest.mark.parametrize(
    "value",
    [
        b"",
        b"\x07",
        Hint(b"", 0.0).encode(),
        Hint(b"\x95\xa3abc", 0.0).encode(),
        Hint(b"\x95\xa3abc\xa1a\xa1b\x01\x02", 0.0).encode(),
    ],
    ids=["empty", "version", "nothing", "short", "no address"],
)
def test_an_unreadable_record_is_counted_and_the_others_count(value: bytes) -> None:
    folder = folder_after(EngineCache({}, NAMES).apply(FIRST))
    made = EngineCache({**folder, b"e1": value}, NAMES)
    assert made.malformed == 1 and ids(made) == ["e2"]


def test_the_cache_is_bounded_as_the_store_is() -> None:
    made = EngineCache({}, NAMES)
    many = change(*((f"e{i}", 0, LIVE) for i in range(1, MAX_RECORDS[RecordKind.ENGINE_ADDRESS] + 50)))
    assert len(made.apply(many)) == MAX_RECORDS[RecordKind.ENGINE_ADDRESS] == len(ids(made))


@pytest.mark.parametrize("proof", ["probe", "attempt", "another's word of all", "the list"])
def test_nothing_is_sent_to_a_cached_engine_before_it_is_proven(proof: str) -> None:
    """This also holds if only this instance was away; then the engine is free once it has answered."""
    made = SharedSlowStart(1, 1, 0.0, SlowStartSettings(), 1)
    made.set_engines(0.0, {"e1": 1.0, "e2": 1.0})
    made.on_loss(20.0, OutageScope.ALONE)
    assert made.share("e1") == made.share("e2") == 0.0 and max(made.work_limits(1.0).values()) < 1e-6
    if proof == "probe":
        made.on_health_check(100.0, "e1", True)
    elif proof == "attempt":
        made.on_answer(100.0, "e1", True, 20.0, 60.0)
    elif proof == "another's word of all":
        made.on_loss(100.0, OutageScope.FLEET, since=0.0)
        made.on_health_check(110.0, "e1", True)
        assert made.share("e1") == made.settings.initial_share
        return
    else:
        made.on_list_received(100.0)
        assert not made.is_active
        return
    assert made.share("e1") == 1.0 and made.share("e2") == 0.0


@pytest.mark.parametrize("voters", [True, False], ids=["with voters", "without voters"])
def test_loads_wait_for_a_sources_first_answer(voters: bool, tmp_path: Path) -> None:
    """With voters loads also wait for the registers of drained engines, which no voter answers here."""
    path, membership = tmp_path / "n1.json", VOTERS if voters else {"keys": VOTERS["keys"]}
    path.write_text(json.dumps(FILE | FLEET | {"metrics": False, "membership": membership}))

    async def scenario() -> list[bool]:
        log = StructuredLog("logfmt", 100, 100, (), StringIO())
        node = StandaloneDispatcher(path, read_installation(path), log, asyncio.get_running_loop())
        node.publish_initial_engines()
        assert node.recovery is not None
        may = [node.recovery.may_send_loads_otherwise(), node.is_list_settled()]
        seen = Observation("e1", ServiceStatus.IN_SERVICE, address=Address("127.0.0.1", 3))
        node.on_discovery_events([SourceReport("dc1", 1, (seen,), is_complete=True)])
        may += [node.recovery.may_send_loads_otherwise(), node.is_list_settled()]
        for part in (node.rolling_replacement, node.recovery):
            if part is not None:
                part.close()
        return may

    assert asyncio.run(scenario()) == [False, False, not voters, True]


def test_an_engine_that_was_drained_before_the_restart_gets_nothing_until_registers_are_read(
    tmp_path: Path,
) -> None:
    """No voter answers here, so the drain ends after the time for which loads wait, and not before."""
    path = tmp_path / "n1.json"
    path.write_text(json.dumps(FILE | FLEET | {"metrics": False}))

    async def life(story: Callable[[StandaloneDispatcher], Awaitable[None]]) -> None:
        log = StructuredLog("logfmt", 100, 100, (), StringIO())
        node = StandaloneDispatcher(path, read_installation(path), log, asyncio.get_running_loop())
        node.publish_initial_engines()
        assert node.recovery is not None and node.rolling_replacement is not None
        await story(node)
        for part in (node.rolling_replacement, node.recovery):
            part.close()

    async def drained(node: StandaloneDispatcher) -> None:
        assert node.rolling_replacement is not None and set(node.quarantine.live_engines()) == {"e1", "e2"}
        node.rolling_replacement.coordinator.view.records = {
            "e1": plan.MachineRecord(ReplacementStep.DRAINING, 7)
        }
        adapter, replacement = node.rolling_replacement.drains, node.rolling_replacement.coordinator
        adapter.act(0.0, replacement, Drain("e1"))
        assert set(node.quarantine.live_engines()) == {"e2"} and "e1" not in adapter.drains.drained, (
            "told before it is kept"
        )
        while "e1" not in adapter.drains.drained:
            await asyncio.sleep(0)

    async def back(node: StandaloneDispatcher) -> None:
        assert node.rolling_replacement is not None and set(node.quarantine.live_engines()) == {"e2"}
        adapter, replacement, now = (
            node.rolling_replacement.drains,
            node.rolling_replacement.coordinator,
            node.event_loop.clock.now(),
        )
        adapter.step(now, replacement)
        assert set(node.quarantine.live_engines()) == {"e2"}
        adapter.step(now + adapter.drains.settings.startup_timeout_ms, replacement)
        assert set(node.quarantine.live_engines()) == {"e1", "e2"}

    async def after(node: StandaloneDispatcher) -> None:
        assert set(node.quarantine.live_engines()) == {"e1", "e2"}

    for story in (drained, back, after):
        asyncio.run(life(story))


@pytest.mark.parametrize("fault", ["full", "failed"])
def test_a_drain_that_the_disk_refused_is_recorded_once_it_can(
    tmp_path: Path, fault: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The drain is effective immediately, and survives a power loss once the disk fault has ended."""
    path = tmp_path / "n1.json"
    path.write_text(json.dumps(FILE | FLEET | {"metrics": False}))
    monkeypatch.setattr(ledger, "DEFAULT_VFS", "drains")
    monkeypatch.setattr(write_queue, "RETRY_MS", 1.0)

    async def life(story: Callable[[StandaloneDispatcher], Awaitable[None]]) -> None:
        log = StructuredLog("logfmt", 100, 100, (), StringIO())
        node = StandaloneDispatcher(path, read_installation(path), log, asyncio.get_running_loop())
        node.publish_initial_engines()
        assert node.recovery is not None and node.rolling_replacement is not None
        await asyncio.wait_for(story(node), 60.0)
        for part in (node.rolling_replacement, node.recovery):
            part.close()

    async def drained(node: StandaloneDispatcher) -> None:
        assert node.rolling_replacement is not None and set(node.quarantine.live_engines()) == {"e1", "e2"}
        node.rolling_replacement.coordinator.view.records = {
            "e1": plan.MachineRecord(ReplacementStep.DRAINING, 7)
        }
        adapter, replacement = node.rolling_replacement.drains, node.rolling_replacement.coordinator
        disk.orders = Orders(full=True) if fault == "full" else Orders(fail_sync=1.0)
        adapter.act(0.0, replacement, Drain("e1"))
        while "e1" not in adapter.drains.drained:
            await asyncio.sleep(0)
        assert adapter.records.pending or adapter.records.in_flight, "not kept yet, and not given up"
        disk.orders = Orders()
        while adapter.records.pending or adapter.records.in_flight:
            await asyncio.sleep(0.01)
        disk.cut_power()

    async def back(node: StandaloneDispatcher) -> None:
        assert set(node.quarantine.live_engines()) == {"e2"}

    for story in (drained, back):
        disk = install("drains")
        asyncio.run(life(story))


class ScriptedDisk:
    """A node's disk and timers: writes succeed while `is_healthy`, and timers fire when `fire` is called."""

    def __init__(self, node: StandaloneDispatcher, monkeypatch: pytest.MonkeyPatch) -> None:
        assert node.recovery is not None
        self.is_healthy, self.timers, self.put_of = False, list[Callable[[], None]](), list[list[Record]]()
        monkeypatch.setattr(node.recovery.ledger, "put", self.put)
        monkeypatch.setattr(node.recovery, "hop", lambda then: then())
        monkeypatch.setattr(node.event_loop.clock, "call_in", lambda ms, then: self.timers.append(then))

    def put(self, records: list[Record], done: Callable[[bool], None] | None = None) -> None:
        if self.is_healthy:
            self.put_of.append(list(records))
        if done is not None:
            done(self.is_healthy)

    def fire(self) -> None:
        timers, self.timers = self.timers, []
        for then in timers:
            then()


def with_node(path: Path, more: dict[str, object], story: Callable[[StandaloneDispatcher], None]) -> None:
    path.write_text(json.dumps(FILE | FLEET | {"metrics": False} | more))

    async def life() -> None:
        log = StructuredLog("logfmt", 100, 100, (), StringIO())
        node = StandaloneDispatcher(path, read_installation(path), log, asyncio.get_running_loop())
        story(node)
        for part in (node.session_affinity, node.rolling_replacement, node.recovery):
            if part is not None:
                part.close()

    asyncio.run(life())


@pytest.mark.parametrize("later", [False, True], ids=["the last", "another came"])
def test_a_checkpoint_that_the_disk_refused_is_written_again(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, later: bool
) -> None:
    def story(node: StandaloneDispatcher) -> None:
        adapter = node.recovery
        assert adapter is not None
        with monkeypatch.context() as patched:
            disk, told = ScriptedDisk(node, patched), list[int]()
            patched.setattr(
                adapter.survey, "on_checkpoint_stored", lambda now, checkpoint: told.append(checkpoint)
            )
            adapter.survey.requested_checkpoint = 0
            adapter._store_checkpoint(0)
            assert told == [] and len(disk.timers) == 1, "not told before it is kept"
            disk.fire()
            assert told == [] and len(disk.timers) == 1, "and tried until it is"
            disk.is_healthy = True
            if later:
                adapter.survey.requested_checkpoint = 7
            disk.fire()
            assert told == ([] if later else [0]) and len(disk.put_of) == len(told) and not disk.timers

    with_node(tmp_path / "n1.json", {}, story)


def test_an_ownership_record_that_the_disk_refused_is_written_again(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    def story(node: StandaloneDispatcher) -> None:
        adapter = node.session_affinity
        assert adapter is not None
        with monkeypatch.context() as patched:
            disk, told = ScriptedDisk(node, patched), list[int]()
            patched.setattr(adapter, "hop", lambda then: then())

            def kept_as(_now: float, token: int) -> list[object]:
                told.append(token)
                return []

            patched.setattr(adapter.service, "on_persisted", kept_as)
            adapter._persist("pin", b"one", 5)
            adapter._retry_failed_writes(1e12)
            adapter._persist("pin", b"two", 6)
            disk.is_healthy = True
            adapter._retry_failed_writes(3e12)
            assert told == [6] and [[r.value for r in put] for put in disk.put_of] == [[b"two"]]

    with_node(tmp_path / "n1.json", {"fleet": {"pins": True}}, story)
