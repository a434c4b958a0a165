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


def change(
    *engines: tuple[str, int, EngineState], is_complete: bool = False, port: int = 7000
) -> EngineListChange:
    """Return a change of these engines (id, number of the zone, state); each has a port of its own."""
    changed = tuple(
        Engine(engine_id, zone=zone, machine_type=1, cell=3, state=state, size=2.0)
        for engine_id, zone, state in engines
    )
    return EngineListChange(
        changed, {e.id: Address("10.0.0.1", port + int(e.id[1:])) for e in changed}, is_complete
    )


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


def ids(cache: EngineCache) -> list[str]:
    return [o.id for o in cache.observations()]


@pytest.mark.parametrize(
    "next_change, expected",
    [
        (change(("e3", 0, LIVE)), ["e1", "e2", "e3"]),
        (change(("e1", 0, DRAINING)), ["e2"]),
        (change(("e1", 0, REMOVED)), ["e2"]),
        (change(("e2", 1, LIVE), is_complete=True), ["e2"]),
        (change(("e4", 0, DRAINING)), ["e1", "e2"]),
    ],
    ids=["one more", "drained", "gone", "a whole list", "met draining"],
)
def test_only_live_engines_are_cached(next_change: EngineListChange, expected: list[str]) -> None:
    cache = EngineCache({}, NAMES)
    folder = folder_after(cache.apply(FIRST))
    assert cache.apply(FIRST) == []  # nothing is written twice
    folder = folder_after(cache.apply(next_change), folder)
    assert ids(EngineCache(folder, NAMES)) == expected == ids(cache)


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
    "known, expected",
    [
        (Observation("e1", ServiceStatus.IN_SERVICE, address=Address("10.0.0.9", 1)), ["e1", "e2"]),
        (Observation("new", ServiceStatus.IN_SERVICE, address=Address("10.0.0.1", 7002)), ["new", "e1"]),
    ],
    ids=["the same engine elsewhere", "another engine at its address"],
)
def test_the_configuration_outranks_the_cache(known: Observation, expected: list[str]) -> None:
    cache = EngineCache(folder_after(EngineCache({}, NAMES).apply(FIRST)), NAMES)
    observations = cache.observations((known,))
    assert [o.id for o in observations] == expected and observations[0] == known


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
    cache = EngineCache({**folder, b"e1": value}, NAMES)
    assert cache.malformed == 1 and ids(cache) == ["e2"]


def test_the_cache_is_bounded_as_the_store_is() -> None:
    cache = EngineCache({}, NAMES)
    many = change(*((f"e{i}", 0, LIVE) for i in range(1, MAX_RECORDS[RecordKind.ENGINE_ADDRESS] + 50)))
    assert len(cache.apply(many)) == MAX_RECORDS[RecordKind.ENGINE_ADDRESS] == len(ids(cache))


@pytest.mark.parametrize("proof", ["probe", "attempt", "another's word of all", "the list"])
def test_nothing_is_sent_to_a_cached_engine_before_it_is_proven(proof: str) -> None:
    """This also holds if only this instance was away; then the engine is free once it has answered."""
    slow_start = SharedSlowStart(1, 1, 0.0, SlowStartSettings(), 1)
    slow_start.set_engines(0.0, {"e1": 1.0, "e2": 1.0})
    slow_start.on_loss(20.0, OutageScope.ALONE)
    assert (
        slow_start.share("e1") == slow_start.share("e2") == 0.0
        and max(slow_start.work_limits(1.0).values()) < 1e-6
    )
    if proof == "probe":
        slow_start.on_health_check(100.0, "e1", True)
    elif proof == "attempt":
        slow_start.on_answer(100.0, "e1", True, 20.0, 60.0)
    elif proof == "another's word of all":
        slow_start.on_loss(100.0, OutageScope.FLEET, since=0.0)
        slow_start.on_health_check(110.0, "e1", True)
        assert slow_start.share("e1") == slow_start.settings.initial_share
        return
    else:
        slow_start.on_list_received(100.0)
        assert not slow_start.is_active
        return
    assert slow_start.share("e1") == 1.0 and slow_start.share("e2") == 0.0


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
        settled = [node.recovery.are_engines_known(), node.is_list_settled()]
        seen = Observation("e1", ServiceStatus.IN_SERVICE, address=Address("127.0.0.1", 3))
        node.on_discovery_events([SourceReport("dc1", 1, (seen,), is_complete=True)])
        settled += [node.recovery.are_engines_known(), node.is_list_settled()]
        for part in (node.rolling_replacement, node.recovery):
            if part is not None:
                part.close()
        return settled

    assert asyncio.run(scenario()) == [False, False, not voters, True]


def test_an_engine_that_was_drained_before_the_restart_gets_nothing_until_registers_are_read(
    tmp_path: Path,
) -> None:
    """No voter answers here, so the drain ends after the time for which loads wait, and not before."""
    path = tmp_path / "n1.json"
    path.write_text(json.dumps(FILE | FLEET | {"metrics": False}))

    async def run_node(phase: Callable[[StandaloneDispatcher], Awaitable[None]]) -> None:
        log = StructuredLog("logfmt", 100, 100, (), StringIO())
        node = StandaloneDispatcher(path, read_installation(path), log, asyncio.get_running_loop())
        node.publish_initial_engines()
        assert node.recovery is not None and node.rolling_replacement is not None
        await phase(node)
        for part in (node.rolling_replacement, node.recovery):
            part.close()

    async def drained(node: StandaloneDispatcher) -> None:
        assert node.rolling_replacement is not None and set(node.quarantine.live_engines()) == {"e1", "e2"}
        node.rolling_replacement.coordinator.view.records = {
            "e1": plan.MachineRecord(ReplacementStep.DRAINING, 7)
        }
        adapter, replacement = node.rolling_replacement.drains, node.rolling_replacement.coordinator
        adapter.apply_action(0.0, replacement, Drain("e1"))
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

    for phase in (drained, back, after):
        asyncio.run(run_node(phase))


@pytest.mark.parametrize("fault", ["full", "failed"])
def test_a_drain_that_the_disk_refused_is_recorded_once_it_can(
    tmp_path: Path, fault: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The drain is effective immediately, and survives a power loss once the disk fault has ended."""
    path = tmp_path / "n1.json"
    path.write_text(json.dumps(FILE | FLEET | {"metrics": False}))
    monkeypatch.setattr(ledger, "DEFAULT_VFS", "drains")
    monkeypatch.setattr(write_queue, "RETRY_MS", 1.0)

    async def run_node(phase: Callable[[StandaloneDispatcher], Awaitable[None]]) -> None:
        log = StructuredLog("logfmt", 100, 100, (), StringIO())
        node = StandaloneDispatcher(path, read_installation(path), log, asyncio.get_running_loop())
        node.publish_initial_engines()
        assert node.recovery is not None and node.rolling_replacement is not None
        await asyncio.wait_for(phase(node), 60.0)
        for part in (node.rolling_replacement, node.recovery):
            part.close()

    async def drained(node: StandaloneDispatcher) -> None:
        assert node.rolling_replacement is not None and set(node.quarantine.live_engines()) == {"e1", "e2"}
        node.rolling_replacement.coordinator.view.records = {
            "e1": plan.MachineRecord(ReplacementStep.DRAINING, 7)
        }
        adapter, replacement = node.rolling_replacement.drains, node.rolling_replacement.coordinator
        disk.orders = Orders(full=True) if fault == "full" else Orders(fail_sync=1.0)
        adapter.apply_action(0.0, replacement, Drain("e1"))
        while "e1" not in adapter.drains.drained:
            await asyncio.sleep(0)
        assert adapter.records.pending or adapter.records.in_flight, "not kept yet, and not given up"
        disk.orders = Orders()
        while adapter.records.pending or adapter.records.in_flight:
            await asyncio.sleep(0.01)
        disk.cut_power()

    async def back(node: StandaloneDispatcher) -> None:
        assert set(node.quarantine.live_engines()) == {"e2"}

    for phase in (drained, back):
        disk = install("drains")
        asyncio.run(run_node(phase))


class ScriptedDisk:
    """A node's disk and timers: writes succeed while `is_healthy`, and timers fire when `fire` is called."""

    def __init__(self, node: StandaloneDispatcher, monkeypatch: pytest.MonkeyPatch) -> None:
        assert node.recovery is not None
        self.is_healthy, self.timers, self.put_of = False, list[Callable[[], None]](), list[list[Record]]()
        monkeypatch.setattr(node.recovery.ledger, "put", self.put)
        monkeypatch.setattr(node.recovery, "call_in_loop", lambda then: then())
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


def with_node(
    path: Path, options: dict[str, object], scenario: Callable[[StandaloneDispatcher], None]
) -> None:
    path.write_text(json.dumps(FILE | FLEET | {"metrics": False} | options))

    async def run_node() -> None:
        log = StructuredLog("logfmt", 100, 100, (), StringIO())
        node = StandaloneDispatcher(path, read_installation(path), log, asyncio.get_running_loop())
        scenario(node)
        for part in (node.session_affinity, node.rolling_replacement, node.recovery):
            if part is not None:
                part.close()

    asyncio.run(run_node())


@pytest.mark.parametrize("is_replaced", [False, True], ids=["the last", "another came"])
def test_a_checkpoint_that_the_disk_refused_is_written_again(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, is_replaced: bool
) -> None:
    def scenario(node: StandaloneDispatcher) -> None:
        adapter = node.recovery
        assert adapter is not None
        with monkeypatch.context() as patched:
            disk, stored = ScriptedDisk(node, patched), list[int]()
            patched.setattr(
                adapter.survey, "on_checkpoint_stored", lambda now, checkpoint: stored.append(checkpoint)
            )
            adapter.survey.requested_checkpoint = 0
            adapter._store_checkpoint(0)
            assert stored == [] and len(disk.timers) == 1, "not told before it is kept"
            disk.fire()
            assert stored == [] and len(disk.timers) == 1, "and tried until it is"
            disk.is_healthy = True
            if is_replaced:
                adapter.survey.requested_checkpoint = 7
            disk.fire()
            assert (
                stored == ([] if is_replaced else [0]) and len(disk.put_of) == len(stored) and not disk.timers
            )

    with_node(tmp_path / "n1.json", {}, scenario)


def test_an_ownership_record_that_the_disk_refused_is_written_again(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    def scenario(node: StandaloneDispatcher) -> None:
        adapter = node.session_affinity
        assert adapter is not None
        with monkeypatch.context() as patched:
            disk, stored = ScriptedDisk(node, patched), list[int]()
            patched.setattr(adapter, "call_in_loop", lambda then: then())

            def on_persisted(_now: float, token: int) -> list[object]:
                stored.append(token)
                return []

            patched.setattr(adapter.service, "on_persisted", on_persisted)
            adapter._persist("pin", b"one", 5)
            adapter._retry_failed_writes(1e12)
            adapter._persist("pin", b"two", 6)
            disk.is_healthy = True
            adapter._retry_failed_writes(3e12)
            assert stored == [6] and [[r.value for r in put] for put in disk.put_of] == [[b"two"]]

    with_node(tmp_path / "n1.json", {"fleet": {"pins": True}}, scenario)
