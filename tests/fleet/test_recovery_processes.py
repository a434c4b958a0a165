"""Power losses on several real instances: states, counts and what ran twice, and no times."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any

import msgspec
import pytest

from cottonhold.emulator.fault_injection.checker import check_run
from cottonhold.emulator.fault_injection.clients import Kind, Manner, Session
from cottonhold.emulator.fault_injection.harness import ScenarioRun
from cottonhold.emulator.fault_injection.script import Fault, Scenario

# Tests that start several processes slow one another, which looks like a fault: few run side by side.
pytestmark = [pytest.mark.processes, pytest.mark.xdist_group("fleet processes")]

DAY = Scenario(
    name="power",
    about="in CI",
    instances=3,
    engines=1,
    rate=60.0,
    seconds=600.0,  # Danger: shorter than a story on a busy machine, nobody asked any more and it waited
    weights=(1, 1, 1),
    kinds=(Kind("cheap", 0.5, 2000.0, 20.0), Kind("load", 0.5, 8000.0, 20.0, True)),
    manner=Manner(tries=4, asks_again=True),
    price=True,
    state=True,
)
ALL = ("n0", "n1", "n2")
Story = Callable[[ScenarioRun], Coroutine[Any, Any, None]]


def recovery(trial: ScenarioRun, name: str) -> dict[str, Any]:
    """What an instance tells of its recovery; nothing if it isn't there."""
    found: dict[str, Any] = trial.view(name).get("recovery", {})
    return found


async def until(trial: ScenarioRun, holds: Callable[[dict[str, Any]], bool], what: str, *names: str) -> None:
    """Each of these instances (all by default) tells so."""

    def told() -> bool:
        views = [recovery(trial, name) for name in names or ALL]
        return all(view and holds(view) for view in views)

    await trial.until(told, what, seconds=90.0)


def served(trial: ScenarioRun, kind: str) -> int:
    """Answered so far, of a class."""
    kinds = {line[2]: line[3] for line in trial.ledgers().clients if line[1] == "ask"}
    return sum(line[1] == "served" and kinds.get(line[2]) == kind for line in trial.ledgers().clients)


async def more(trial: ScenarioRun, kind: str, count: int = 20) -> None:
    """So many more of a class are served."""
    before = served(trial, kind)
    await trial.until(lambda: served(trial, kind) >= before + count, f"{kind} served", seconds=90.0)


async def power(trial: ScenarioRun) -> None:
    """Everything dies in one instant, with loads in flight."""
    await trial.apply(Fault(0.0, "power", "*"))


async def start(trial: ScenarioRun, *names: str) -> None:
    for name in names or ("e*", *ALL):
        await trial.apply(Fault(0.0, "start", name))


async def all_at_once(trial: ScenarioRun) -> None:
    """All see one loss of the fleet, each with a whole memory and a higher boot; loads are served again."""
    await until(trial, lambda view: view["boot"] > 0, "all are there")
    boots = {name: recovery(trial, name)["boot"] for name in ALL}
    await power(trial)
    await start(trial)
    await until(trial, lambda view: view["verdict"] == "fleet" and not view["missing"], "all see the loss")
    for name in ALL:
        view = recovery(trial, name)
        assert view["boot"] == boots[name] + 1 and view["memory"] == "kept"
    await until(trial, lambda view: view["confirmed"] and view["sends_loads"], "memories are confirmed")
    await more(trial, "load")
    await more(trial, "cheap")


async def again_while_it_recovers(trial: ScenarioRun) -> None:
    """A second and a third cut in the middle of the return."""
    for _ in range(2):
        await power(trial)
        await start(trial)
        await until(trial, lambda view: view["boot"] > 0, "they are there", "n0")
    await all_at_once(trial)


async def an_empty_folder(trial: ScenarioRun) -> None:
    """One comes back with an empty folder: told as such, with a boot above what the others know of it."""
    before = recovery(trial, "n1")["boot"]
    await power(trial)
    await trial.apply(Fault(0.0, "empty", "n1"))
    await start(trial)
    await until(trial, lambda view: view["memory"] == "empty", "an empty memory", "n1")
    await until(trial, lambda view: view["boot"] > before, "a boot above", "n1")
    await more(trial, "load")
    assert recovery(trial, "n0")["memory"] == "kept" and not recovery(trial, "n1")["confirmed"]


async def an_old_folder(trial: ScenarioRun) -> None:
    """One comes back with the folder of an earlier life: the others know of a later one."""
    await trial.apply(Fault(0.0, "keep", "n2"))
    for _ in range(2):
        await trial.apply(Fault(0.0, "kill", "n2"))
        await trial.apply(Fault(0.0, "start", "n2"))
        await until(trial, lambda view: view["confirmed"], "it is known again", "n2")
    before = recovery(trial, "n2")["boot"]
    await trial.apply(Fault(0.0, "kill", "n2"))
    await trial.apply(Fault(0.0, "old", "n2"))
    await trial.apply(Fault(0.0, "start", "n2"))
    await until(
        trial, lambda view: view["memory"] == "old" and view["boot"] > before, "it is found out", "n2"
    )
    await more(trial, "load")


async def a_backup_of_one_that_runs(trial: ScenarioRun) -> None:
    """A copy of its folder was made while it served, and is put back after the next power loss."""
    marks = recovery(trial, "n2")["marks"]
    await trial.apply(Fault(0.0, "keep", "n2"))
    await until(trial, lambda view: view["marks"] >= marks + 3, "marks are made, and told by the next", "n2")
    before = recovery(trial, "n2")["boot"]
    await power(trial)
    await trial.apply(Fault(0.0, "old", "n2"))
    await start(trial)
    await until(trial, lambda view: view["memory"] == "old", "it is found out", "n2")
    assert recovery(trial, "n2")["boot"] > before and recovery(trial, "n0")["memory"] == "kept"
    await more(trial, "load")


async def a_full_disk(trial: ScenarioRun) -> None:
    """Loads are refused there, all else goes on; with room again loads go out."""
    for name in ALL:
        await trial.apply(Fault(0.0, "disk", name, words={"state": "full"}))
    await until(trial, lambda view: view["disk"] != "well", "disks are full")
    await more(trial, "cheap")
    for name in ALL:
        await trial.apply(Fault(0.0, "disk", name, words={"state": "well"}))
    await until(trial, lambda view: view["disk"] == "well", "disks have room")
    await more(trial, "load")


async def cut_off(trial: ScenarioRun) -> None:
    """One that is cut from the others is told apart from a loss, and serves safe queries on."""
    await trial.apply(Fault(0.0, "peers", "n0", "*", {"cut": True}))
    await until(trial, lambda view: view["verdict"] == "cut_off", "it knows", "n0")
    assert recovery(trial, "n1")["verdict"] != "fleet"
    await more(trial, "cheap")
    await trial.apply(Fault(0.0, "peers", "*", "*", {"heal": True}))
    await until(trial, lambda view: view["verdict"] != "cut_off" and not view["missing"], "all are heard")


async def told_to_come_later_by_one_that_nobody_hears(trial: ScenarioRun) -> None:
    """A client whose load ran elsewhere asks at one that is cut off: soon it is told that its load may have
    run, before those that know of it have forgotten, and not to come later for as long as it asks."""
    load = "lookup=mine */ INSERT INTO sales_1.t VALUES ('mine', 0)"

    async def ask(name: str, ref: int, more: str = "") -> tuple[str, str]:
        session = await Session.open(trial.listens[ALL.index(name)])
        try:
            fields = f"service=load,ref={ref:016x},allow=2000,effort=20{more}"
            return await session.query(f"/* {fields},{load}")
        finally:
            session.writer.close()

    assert (await ask("n1", 1))[0] == "served"
    await trial.apply(Fault(0.0, "peers", "n0", "*", {"cut": True}))
    await until(trial, lambda view: view["verdict"] == "cut_off", "it knows", "n0")
    began, said = time.monotonic(), ("refused", "")
    while said[0] == "refused" and time.monotonic() < began + recovery(trial, "n0")["hold_ms"] / 1000:
        said = await ask("n0", 2, ",dup=1")
        await asyncio.sleep(0.2)
    assert "may have run" in said[1], said
    refs = [line[2] for lines in trial.ledgers().engines.values() for line in lines if line[1] == "get"]
    assert sum(ref in (f"{1:016x}", f"{2:016x}") for ref in refs) == 1
    await trial.apply(Fault(0.0, "peers", "*", "*", {"heal": True}))
    await until(trial, lambda view: view["verdict"] != "cut_off" and not view["missing"], "all are heard")


async def the_source_of_the_list_stays_away(trial: ScenarioRun) -> None:
    """Engines that were known before serve once they have answered; loads wait for the list."""
    await more(trial, "cheap")
    await trial.apply(Fault(0.0, "source", "n*", words={"cut": True}))
    await power(trial)
    await start(trial)
    await until(trial, lambda view: view["verdict"] == "fleet", "all see the loss")
    await more(trial, "cheap")
    await trial.apply(Fault(0.0, "source", "n*", words={"heal": True}))
    await more(trial, "load")


STORIES = [all_at_once, again_while_it_recovers, an_empty_folder, an_old_folder]
STORIES += [a_backup_of_one_that_runs, a_full_disk, cut_off, the_source_of_the_list_stays_away]
STORIES += [told_to_come_later_by_one_that_nobody_hears]


@pytest.mark.parametrize("story", STORIES, ids=lambda s: s.__name__)
def test_a_power_loss_on_processes(story: Story, tmp_path: Path) -> None:
    day = msgspec.structs.replace(DAY, consul=story is the_source_of_the_list_stays_away)
    trial = ScenarioRun(day, tmp_path, forks=True)

    async def scenario() -> None:
        try:
            await trial.start()
            await until(trial, lambda view: view["sends_loads"] and view["confirmed"], "all are there")
            await more(trial, "load")
            await story(trial)
        finally:
            await trial.close()

    asyncio.run(scenario())
    found = check_run(day, trial.ledgers()).findings
    # Asks are open at its end; times are no part of this.
    assert [f for f in found if not f.startswith("answers")] == []
