"""Pins on several real instances, swapped and with faults in between: states and counts, and no times."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any

import msgspec
import pytest

from cottonhold.emulator.fault_injection.clients import Manner
from cottonhold.emulator.fault_injection.harness import ScenarioRun
from cottonhold.emulator.fault_injection.script import Fault, Scenario
from tests.fleet.test_recovery_processes import ALL, DAY, more
from tests.fleet.test_rolling_replacement_processes import (
    ask_for,
    done,
    one_after_another,
    played,
    rows,
    step,
)

# Tests that start several processes slow one another, which looks like a fault: few run side by side.
pytestmark = [pytest.mark.processes, pytest.mark.xdist_group("affinity processes")]

# Long enough for a busy machine, and calm enough: the stories end it.
PINNED = msgspec.structs.replace(DAY, name="pins", pins=True, order_across=True, rate=30.0, seconds=300.0)
# Clients that hear nothing for a while ask again, for the same load and at any instance.
IMPATIENT = msgspec.structs.replace(
    PINNED, name="impatient", manner=Manner(tries=4, asks_again=True, hears=400.0)
)
Story = Callable[[ScenarioRun], Coroutine[Any, Any, None]]


def pins(trial: ScenarioRun, name: str) -> dict[str, Any]:
    """What an instance tells of its pins; nothing if it isn't there."""
    found: dict[str, Any] = trial.view(name).get("pins", {})
    return found


async def settled(trial: ScenarioRun, *names: str) -> None:
    """These instances are in one table, which all of them know, and stand."""
    wanted = sorted(names or ALL)

    def holds() -> bool:
        views = [pins(trial, name) for name in wanted]
        if not all(v and v["table"] == wanted and v["stands"] and v["complete"] for v in views):
            return False
        return len({v["epoch"] for v in views}) == 1

    await trial.until(holds, f"{wanted} are one table", seconds=90.0)


def counted(trial: ScenarioRun, what: str) -> int:
    return sum(pins(trial, name).get(what, 0) for name in trial.running_instances())


async def all_are_swapped(trial: ScenarioRun) -> None:
    """Each goes and comes; what was asked for at any of them runs where its key is owned."""
    await one_after_another(trial)
    await settled(trial)
    assert counted(trial, "took") > 0 and pins(trial, "n0")["epoch"] >= 3 + 2 * len(ALL)


async def through(trial: ScenarioRun, machine: str) -> None:
    """Its swap comes to its end; once it is out it is taken away, and put back."""
    names, taken = [name for name in ALL if name != machine], False

    def told() -> set[str]:
        return {rows(trial, name).get(machine, {}).get("step", "done") for name in names}

    while True:
        await trial.until(lambda: told() in ({"out"}, {"done"}), f"{machine} is out or done", seconds=90.0)
        if told() == {"done"}:
            break
        if told() == {"out"} and not taken:
            taken = True
            await trial.apply(Fault(0.0, "kill", machine))
            await trial.apply(Fault(0.0, "start", machine))
        await asyncio.sleep(0.1)
    await settled(trial)
    await more(trial, "load")


async def the_mover_is_killed(trial: ScenarioRun) -> None:
    """It dies while its pins are on their way, and comes back: they are the targets', or its own still."""
    await ask_for(trial, "n0", "n1")
    await step(trial, "n1", "moving", "draining", "out")
    await trial.apply(Fault(0.0, "kill", "n1"))
    await trial.apply(Fault(0.0, "start", "n1"))
    await through(trial, "n1")


async def the_target_is_killed(trial: ScenarioRun) -> None:
    """One that was given pins dies, and comes back."""
    await ask_for(trial, "n0", "n1")
    await step(trial, "n1", "moving", "draining", "out")
    await trial.apply(Fault(0.0, "kill", "n2"))
    await trial.apply(Fault(0.0, "start", "n2"))
    await through(trial, "n1")


async def power_in_the_middle(trial: ScenarioRun) -> None:
    """All dies while pins are on their way; folders and registers remember."""
    await ask_for(trial, "n2", "n1")
    await step(trial, "n1", "moving", "draining", "out")
    await trial.apply(Fault(0.0, "power", "*"))
    for name in ("e*", *ALL):
        await trial.apply(Fault(0.0, "start", name))
    await through(trial, "n1")


async def a_new_machine(trial: ScenarioRun) -> None:
    """Another machine takes the place of one that was swapped, with nothing in its folder."""
    await ask_for(trial, "n0", "n1")
    await step(trial, "n1", "out")
    before = pins(trial, "n0")["epoch"]
    for verb in ("kill", "empty", "start"):
        await trial.apply(Fault(0.0, verb, "n1"))
    await done(trial, "n1")
    await settled(trial)
    assert pins(trial, "n1")["whole"] is False and pins(trial, "n0")["epoch"] > before
    await more(trial, "load")


async def an_emptied_folder(trial: ScenarioRun) -> None:
    """One that is in the table loses its folder: it is fenced, and comes in again owning nothing."""
    before = pins(trial, "n0")["epoch"]
    for verb in ("kill", "empty", "start"):
        await trial.apply(Fault(0.0, verb, "n1"))
    await trial.until(
        lambda: pins(trial, "n0").get("epoch", 0) >= before + 2, "fenced, admitted", seconds=90.0
    )
    await settled(trial)
    await more(trial, "load")


STORIES = [
    (all_are_swapped, PINNED),
    (the_mover_is_killed, PINNED),
    (the_target_is_killed, PINNED),
    (power_in_the_middle, PINNED),
    (a_new_machine, PINNED),
    (an_emptied_folder, PINNED),
    (all_are_swapped, IMPATIENT),
]


@pytest.mark.parametrize(
    ("story", "day"), STORIES, ids=lambda v: getattr(v, "__name__", getattr(v, "name", ""))
)
def test_pins_on_processes(story: Story, day: Scenario, tmp_path: Path) -> None:
    async def with_pins(trial: ScenarioRun) -> None:
        await settled(trial)
        await more(trial, "load", 5)
        await story(trial)

    findings = played(day, tmp_path, with_pins)
    # Times are no part of this. Where a process died with loads out, they run on beside the next owner's.
    rules = ("twice", "loads", "made") + ("order",) * (story in (all_are_swapped, a_new_machine))
    assert [f for f in findings if f.startswith(rules)] == []
