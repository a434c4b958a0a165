"""An installation whose folder can't be had: it starts, serves all else, and keeps loads once it can."""

from __future__ import annotations

import asyncio
import json
import threading
from collections.abc import Awaitable, Callable
from io import StringIO
from pathlib import Path

import pytest

from cottonhold.config.installation import Installation, read
from cottonhold.node import installation as installation_module
from cottonhold.node.fleet.loads import Unkept
from cottonhold.node.fleet.recovery import open_ledger
from cottonhold.node.installation import ServedInstallation
from cottonhold.observe.structured import StructuredLog
from cottonhold.store.ledger import Ledger, Memory, StoreBusy, StoreError
from tests.observe.test_metrics import FILE, FLEET

MOST_TURNS = 2000  # of the event loop, each 10 ms at most: a bound for a test that has failed


class World:
    """A node, and a folder that is had when the test says so."""

    def __init__(self, folder: Path) -> None:
        self.path, self.said = folder / "n1.json", StringIO()
        self.path.write_text(json.dumps(FILE | FLEET | {"metrics": False}))
        self.hangs, self.errors, self.tries = threading.Event(), list[Exception](), 0
        self.hangs.set()

    def open(self, installation: Installation, folder: Path) -> Ledger | None:
        self.tries += 1
        assert self.hangs.wait(60.0)
        if self.errors:
            raise self.errors.pop(0)
        return open_ledger(installation, folder)

    def make(self) -> ServedInstallation:
        log = StructuredLog("logfmt", 100, 100, (), self.said)
        return ServedInstallation(self.path, read(self.path), log, asyncio.get_running_loop())

    def lines(self) -> list[str]:
        return [line for line in self.said.getvalue().splitlines() if "ledger_unusable" in line]


@pytest.fixture
def world(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> World:
    world = World(tmp_path)
    monkeypatch.setattr(installation_module, "open_ledger", world.open)
    monkeypatch.setattr(installation_module, "LEDGER_MS", 1.0)
    monkeypatch.setattr(installation_module, "OPENED_MS", 1.0)
    monkeypatch.setattr(installation_module, "SLOW_S", 1e9)
    return world


async def kept(node: ServedInstallation) -> None:
    """Until the folder is in use."""
    for _ in range(MOST_TURNS):
        if node.recovery is not None:
            return
        await asyncio.sleep(0.01)
    raise AssertionError("the folder is never used")


def end(node: ServedInstallation) -> None:
    for part in (node.pins, node.swap, node.recovery):
        if part is not None:
            part.close()


def play(story: Callable[[], Awaitable[None]]) -> None:
    async def bounded() -> None:
        await asyncio.wait_for(story(), 60.0)

    asyncio.run(bounded())


def test_a_disk_that_hangs_at_the_start_holds_up_loads_only(
    world: World, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(installation_module, "OPENING_S", 0.0)
    monkeypatch.setattr(installation_module, "SLOW_S", 0.0)
    world.hangs.clear()

    async def story() -> None:
        node = world.make()
        assert isinstance(node.gateway.loads, Unkept) and node.recovery is None
        for _ in range(20):  # the loop goes on meanwhile
            await asyncio.sleep(0.002)
        assert world.tries == 1, "one try at a time"
        assert len(world.lines()) == 1 and "has not answered" in world.lines()[0]
        world.hangs.set()
        await kept(node)
        assert node.gateway.loads is not None and not isinstance(node.gateway.loads, Unkept)
        end(node)

    play(story)


def test_a_disk_that_hangs_later_holds_up_loads_only(world: World, monkeypatch: pytest.MonkeyPatch) -> None:
    """At the start it failed at once; the next try hangs."""
    monkeypatch.setattr(installation_module, "SLOW_S", 0.0)
    world.errors = [StoreError("planted", Memory.EMPTY, {})]

    async def story() -> None:
        node = world.make()
        world.hangs.clear()
        for _ in range(MOST_TURNS):
            if world.tries == 2 and len(world.lines()) == 2:
                break
            await asyncio.sleep(0.002)
        assert isinstance(node.gateway.loads, Unkept) and world.tries == 2
        assert ["planted" in world.lines()[0], "has not answered" in world.lines()[1]] == [True, True]
        world.hangs.set()
        await kept(node)
        end(node)

    play(story)


@pytest.mark.parametrize(
    "errors",
    [
        [StoreError("full", Memory.EMPTY, {})] * 5,
        [StoreBusy("in use", Memory.EMPTY, {})] * 5,
        [RuntimeError("never seen before")],
    ],
    ids=["full", "busy", "unknown"],
)
def test_a_folder_that_can_t_be_had_is_one_line_and_is_tried_again(
    world: World, errors: list[Exception]
) -> None:
    world.errors = list(errors)

    async def story() -> None:
        node = world.make()
        assert isinstance(node.gateway.loads, Unkept)
        await kept(node)
        assert world.tries == len(errors) + 1 and len(world.lines()) == 1
        end(node)

    play(story)


def not_a_folder(path: Path) -> None:
    path.write_text("")


def life_is_a_folder(path: Path) -> None:
    path.mkdir()
    (path / f"{FILE['name']}.life").mkdir()


def book_is_a_folder(path: Path) -> None:
    path.mkdir()
    (path / f"{FILE['name']}.1.db").mkdir()


@pytest.mark.parametrize("wrong", [not_a_folder, life_is_a_folder, book_is_a_folder])
def test_a_folder_that_can_t_be_used_is_said_and_used_once_it_can(
    world: World, wrong: Callable[[Path], None]
) -> None:
    folder = world.path.parent / str(FLEET["state_dir"])
    wrong(folder)

    async def story() -> None:
        node = world.make()
        assert isinstance(node.gateway.loads, Unkept) and len(world.lines()) == 1
        assert str(folder) in world.lines()[0]
        folder.rename(folder.with_name("away"))
        await kept(node)
        end(node)

    play(story)
