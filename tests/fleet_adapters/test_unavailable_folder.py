"""An unavailable state folder: the dispatcher serves, and accepts loads once the folder is usable."""

from __future__ import annotations

import asyncio
import json
import threading
from collections.abc import Awaitable, Callable
from io import StringIO
from pathlib import Path

import pytest

from cottonhold.config.installation import Installation, read_installation
from cottonhold.fleet.engine_drain import DrainSettings
from cottonhold.fleet.recovery.load_history import LoadHistory
from cottonhold.fleet.recovery.load_history_interface import LoadHistorySettings
from cottonhold.fleet.recovery.local_loads import LoadKnowledge, LoadResult, RecordedLoad, load_identity
from cottonhold.fleet_adapters.recovery_folder import open_ledger
from cottonhold.fleet_adapters.unavailable_load_guard import UnavailableLoadGuard
from cottonhold.node.client_request import ClientRequest
from cottonhold.node.standalone import ledger_access
from cottonhold.node.standalone.dispatcher import StandaloneDispatcher
from cottonhold.observe.counters import Counters
from cottonhold.observe.structured import StructuredLog
from cottonhold.store.health import Completeness as Folder
from cottonhold.store.health import StoreBusyError, StoreError
from cottonhold.store.ledger import Ledger
from cottonhold.store.records import Hint, LoadRecord, LoadState, Record, RecordKind
from tests.observe.test_metrics import FILE, FLEET
from tests.support.scenario import FakeClock

MAX_LOOP_ITERATIONS = 2000  # bound of a test's wait in iterations, each of at most 10 ms


class World:
    """A dispatcher with a folder whose opening the test can block or fail."""

    def __init__(self, folder: Path) -> None:
        self.path, self.log_text = folder / "n1.json", StringIO()
        self.path.write_text(json.dumps(FILE | FLEET | {"metrics": False}))
        self.may_open, self.errors, self.open_count = threading.Event(), list[Exception](), 0
        self.may_open.set()

    def open(self, installation: Installation, folder: Path) -> Ledger | None:
        self.open_count += 1
        assert self.may_open.wait(60.0)
        if self.errors:
            raise self.errors.pop(0)
        return open_ledger(installation, folder)

    def make_node(self) -> StandaloneDispatcher:
        log = StructuredLog("logfmt", 100, 100, (), self.log_text)
        return StandaloneDispatcher(self.path, read_installation(self.path), log, asyncio.get_running_loop())

    def lines(self) -> list[str]:
        return [line for line in self.log_text.getvalue().splitlines() if "ledger_unavailable" in line]


@pytest.fixture
def world(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> World:
    world = World(tmp_path)
    monkeypatch.setattr(ledger_access, "open_ledger", world.open)
    monkeypatch.setattr(ledger_access, "RETRY_INTERVAL_MS", 1.0)
    monkeypatch.setattr(ledger_access, "POLL_INTERVAL_MS", 1.0)
    monkeypatch.setattr(ledger_access, "SLOW_OPENING_S", 1e9)
    return world


async def wait_until_loads_are_recorded(node: StandaloneDispatcher) -> None:
    """Wait until the folder's ledger is open and in use."""
    for _ in range(MAX_LOOP_ITERATIONS):
        if node.recovery is not None:
            return
        await asyncio.sleep(0.01)
    raise AssertionError("the folder is never used")


def close_parts(node: StandaloneDispatcher) -> None:
    for part in (node.session_affinity, node.rolling_replacement, node.recovery):
        if part is not None:
            part.close()


def run_bounded(scenario: Callable[[], Awaitable[None]]) -> None:
    async def bounded() -> None:
        await asyncio.wait_for(scenario(), 60.0)

    asyncio.run(bounded())


def test_a_disk_that_hangs_at_the_start_delays_loads_only(
    world: World, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(ledger_access, "START_WAIT_S", 0.0)
    monkeypatch.setattr(ledger_access, "SLOW_OPENING_S", 0.0)
    world.may_open.clear()

    async def scenario() -> None:
        node = world.make_node()
        assert (
            isinstance(node.gateway.notifications.load_guard, UnavailableLoadGuard) and node.recovery is None
        )
        for _ in range(20):  # the event loop must not be blocked
            await asyncio.sleep(0.002)
        assert world.open_count == 1, "one try at a time"
        assert len(world.lines()) == 1 and "has not answered" in world.lines()[0]
        world.may_open.set()
        await wait_until_loads_are_recorded(node)
        assert node.gateway.notifications.load_guard is not None and not isinstance(
            node.gateway.notifications.load_guard, UnavailableLoadGuard
        )
        close_parts(node)

    run_bounded(scenario)


def test_a_disk_that_hangs_later_delays_loads_only(world: World, monkeypatch: pytest.MonkeyPatch) -> None:
    """The first attempt at the start fails immediately, and the second one hangs."""
    monkeypatch.setattr(ledger_access, "SLOW_OPENING_S", 0.0)
    world.errors = [StoreError("planted", Folder.UNKNOWN, {})]

    async def scenario() -> None:
        node = world.make_node()
        world.may_open.clear()
        for _ in range(MAX_LOOP_ITERATIONS):
            if world.open_count == 2 and len(world.lines()) == 2:
                break
            await asyncio.sleep(0.002)
        assert (
            isinstance(node.gateway.notifications.load_guard, UnavailableLoadGuard) and world.open_count == 2
        )
        assert ["planted" in world.lines()[0], "has not answered" in world.lines()[1]] == [True, True]
        world.may_open.set()
        await wait_until_loads_are_recorded(node)
        close_parts(node)

    run_bounded(scenario)


@pytest.mark.parametrize(
    "errors",
    [
        [StoreError("full", Folder.UNKNOWN, {})] * 5,
        [StoreBusyError("in use", Folder.UNKNOWN, {})] * 5,
        [RuntimeError("never seen before")],
    ],
    ids=["full", "busy", "unknown"],
)
def test_an_unavailable_folder_is_logged_once_and_is_retried(world: World, errors: list[Exception]) -> None:
    world.errors = list(errors)

    async def scenario() -> None:
        node = world.make_node()
        assert isinstance(node.gateway.notifications.load_guard, UnavailableLoadGuard)
        await wait_until_loads_are_recorded(node)
        assert world.open_count == len(errors) + 1 and len(world.lines()) == 1
        close_parts(node)

    run_bounded(scenario)


def not_a_folder(path: Path) -> None:
    path.write_text("")


def boot_count_file_is_a_folder(path: Path) -> None:
    path.mkdir()
    (path / f"{FILE['name']}.life").mkdir()


def record_file_is_a_folder(path: Path) -> None:
    path.mkdir()
    (path / f"{FILE['name']}.1.db").mkdir()


@pytest.mark.parametrize("wrong", [not_a_folder, boot_count_file_is_a_folder, record_file_is_a_folder])
def test_an_unusable_folder_is_reported_and_used_once_it_can(
    world: World, wrong: Callable[[Path], None]
) -> None:
    folder = world.path.parent / str(FLEET["state_dir"])
    wrong(folder)

    async def scenario() -> None:
        node = world.make_node()
        assert (
            isinstance(node.gateway.notifications.load_guard, UnavailableLoadGuard)
            and len(world.lines()) == 1
        )
        assert str(folder) in world.lines()[0]
        folder.rename(folder.with_name("away"))
        await wait_until_loads_are_recorded(node)
        close_parts(node)

    run_bounded(scenario)


def answer_to_retry(guard: UnavailableLoadGuard, body: bytes, retry: bool) -> str:
    outcomes = list[str]()
    client_request = ClientRequest("ref", 1, "load", guard.now(), 8000.0, 0.0, 0.0, -1, "k", retry, body)
    guard.on_load_arrived(
        client_request, guard.now() + 500.0, lambda outcome, ms: outcomes.append(outcome.value)
    )
    (outcome,) = outcomes
    return outcome


def make_unavailable_guard(clock: FakeClock, loads: dict[bytes, LoadResult | None]) -> UnavailableLoadGuard:
    recorded = [RecordedLoad(load_identity("load", "k", body), result) for body, result in loads.items()]
    history = LoadHistory(0, 3, 0, clock.now(), recorded, LoadHistorySettings(20_000.0), 0)
    return UnavailableLoadGuard({1: True, 2: False}, 1000.0, history, clock.now, Counters())


def check_postponement(guard: UnavailableLoadGuard, clock: FakeClock) -> None:
    """Check that a retry is told to retry later only for as long as its load's sender keeps the record."""
    start, outcomes = clock.now(), list[str]()
    for second in range(8):
        clock.run_until(start + 1000.0 * second, lambda: None)
        outcomes.append(answer_to_retry(guard, b"INSERT a", True))
    assert outcomes == ["later"] * 6 + ["may"] * 2


def test_a_retry_is_not_postponed_for_long(monkeypatch: pytest.MonkeyPatch) -> None:
    clock = FakeClock()
    check_postponement(make_unavailable_guard(clock, {}), clock)
    monkeypatch.setattr(
        LoadHistory, "answer_unavailable", lambda memory, now, load: LoadKnowledge.NOT_KNOWN_YET
    )
    with pytest.raises(AssertionError):
        check_postponement(make_unavailable_guard(clock, {}), clock)


@pytest.mark.parametrize(
    "how, retried",
    [
        (None, "may"),
        (LoadResult.FAILED, "may"),
        (LoadResult.SUCCEEDED, "well"),
        (LoadResult.NEVER_RAN, "later"),
    ],
)
def test_a_retry_is_answered_by_what_could_be_read(how: LoadResult | None, retried: str) -> None:
    guard = make_unavailable_guard(FakeClock(), {b"INSERT a": how})
    assert answer_to_retry(guard, b"INSERT a", True) == retried
    assert answer_to_retry(guard, b"INSERT a", False) == answer_to_retry(guard, b"INSERT b", False) == "later"


def test_postponed_retries_are_forgotten_after_the_retention() -> None:
    clock = FakeClock()
    guard = make_unavailable_guard(clock, {})
    for number in range(50):
        clock.run_until(clock.now() + 1000.0, lambda: None)
        answer_to_retry(guard, b"INSERT %d" % number, True)
    assert len(guard.history.local.queried) <= 22


def test_a_retry_counts_from_its_first_time_once_the_folder_is_available(world: World) -> None:
    world.errors = [StoreError("planted", Folder.UNKNOWN, {})]

    async def scenario() -> None:
        node = world.make_node()
        assert node.unavailable_load_guard is not None
        node.unavailable_load_guard.history.answer_unavailable(
            node.unavailable_load_guard.now() - 4000.0, b"x" * 16
        )
        first = node.unavailable_load_guard.history.local.queried[b"x" * 16].first_at
        await wait_until_loads_are_recorded(node)
        assert node.recovery is not None and node.recovery.history.local.queried[b"x" * 16].first_at == first
        close_parts(node)

    run_bounded(scenario)


def test_loads_of_a_full_folder_are_answered_by_what_could_be_read(world: World) -> None:
    """The folder could be read, but its boot count could not be incremented."""
    body = b"INSERT a"
    record = LoadRecord(load_identity("load", "k", body), "r", "k", b"", "e1", 1, 0.0, LoadState.SENT)
    error = StoreError("full", Folder.COMPLETE, {RecordKind.LOAD: {record.identity: record.encode()}})
    world.errors = [error]

    async def scenario() -> None:
        node = world.make_node()
        assert node.unavailable_load_guard is not None
        assert (
            node.unavailable_load_guard.history.answer_unavailable(
                node.unavailable_load_guard.now(), record.identity
            )
            is LoadKnowledge.MAY_HAVE_RUN
        )
        await wait_until_loads_are_recorded(node)
        close_parts(node)

    run_bounded(scenario)


def make_folder_with_drain(folder: Path, drain: dict[RecordKind, dict[bytes, bytes]]) -> None:
    """Make the folder of an earlier incarnation, with the record of an engine drain."""
    ledger = Ledger.open(folder, str(FILE["name"]))
    ledger.put([Record(kind, key, value) for kind, kept in drain.items() for key, value in kept.items()])
    ledger.close(True)


@pytest.mark.parametrize("had", [True, False], ids=["had-later", "never-had"])
def test_drains_of_a_readable_folder_stay_in_force(
    world: World, monkeypatch: pytest.MonkeyPatch, had: bool
) -> None:
    """Engines stay quarantined until the ledger is open, or until the startup timeout."""
    monkeypatch.setattr(ledger_access, "RETRY_INTERVAL_MS", 1.0 if had else 1e6)
    drain = {RecordKind.ENGINE_DRAIN: {b"e1": Hint(b"", 0.0).encode()}}
    world.errors = [StoreError("full", Folder.COMPLETE, drain)]
    make_folder_with_drain(world.path.parent / "state", drain)

    async def scenario() -> None:
        node, timers = world.make_node(), list[tuple[float, Callable[[], None]]]()
        node.publish_initial_engines()
        assert set(node.quarantine.live_engines()) == {"e2"}
        if had:
            await wait_until_loads_are_recorded(node)
            assert set(node.quarantine.live_engines()) == {"e2"}
        monkeypatch.setattr(node.event_loop.clock, "call_in", lambda ms, then: timers.append((ms, then)))
        node._quarantine_drained_engines(drain[RecordKind.ENGINE_DRAIN])
        ((ms, release),) = timers
        assert ms == DrainSettings().startup_timeout_ms
        release()
        assert set(node.quarantine.live_engines()) == ({"e2"} if had else {"e1", "e2"})
        close_parts(node)

    run_bounded(scenario)
