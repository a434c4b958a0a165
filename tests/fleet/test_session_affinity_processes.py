"""Pins on several real instances, swapped and with faults in between: states and counts, and no times."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any

import msgspec
import pytest

from cottonhold.emulator.fault_injection.client_model import ClientBehaviour
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
pytestmark = pytest.mark.xdist_group("affinity processes")

# Long enough for a busy machine, and calm enough: the stories end it.
PINNED = msgspec.structs.replace(
    DAY, name="pins", has_affinity=True, orders_across=True, requests_per_s=30.0, duration_s=300.0
)
# Clients that hear nothing for a while ask again, for the same load and at any instance.
IMPATIENT = msgspec.structs.replace(
    PINNED,
    name="impatient",
    client_behaviour=ClientBehaviour(
        max_attempts=4, retries_unfinished_loads=True, response_timeout_ms=400.0
    ),
)
Story = Callable[[ScenarioRun], Coroutine[Any, Any, None]]


def pins(run: ScenarioRun, name: str) -> dict[str, Any]:
    """What an instance tells of its pins; nothing if it isn't there."""
    found: dict[str, Any] = run.view(name).get("pins", {})
    return found


async def settled(run: ScenarioRun, *names: str) -> None:
    """These instances are in one table, which all of them know, and stand."""
    wanted = sorted(names or ALL)

    def holds() -> bool:
        views = [pins(run, name) for name in wanted]
        if not all(v and v["table"] == wanted and v["stands"] and v["complete"] for v in views):
            return False
        return len({v["epoch"] for v in views}) == 1

    await run.until(holds, f"{wanted} are one table", seconds=90.0)


def counted(run: ScenarioRun, what: str) -> int:
    return sum(pins(run, name).get(what, 0) for name in run.running_instances())


async def all_are_swapped(run: ScenarioRun) -> None:
    """Each goes and comes; what was asked for at any of them runs where its key is owned."""
    await one_after_another(run)
    await settled(run)
    assert counted(run, "took") > 0 and pins(run, "n0")["epoch"] >= 3 + 2 * len(ALL)


async def through(run: ScenarioRun, machine: str) -> None:
    """Its swap comes to its end; once it is out it is taken away, and put back."""
    names, taken = [name for name in ALL if name != machine], False

    def told() -> set[str]:
        return {rows(run, name).get(machine, {}).get("step", "done") for name in names}

    while True:
        await run.until(lambda: told() in ({"out"}, {"done"}), f"{machine} is out or done", seconds=90.0)
        if told() == {"done"}:
            break
        if told() == {"out"} and not taken:
            taken = True
            await run.apply(Fault(0.0, "kill", machine))
            await run.apply(Fault(0.0, "start", machine))
        await asyncio.sleep(0.1)
    await settled(run)
    await more(run, "load")


async def the_mover_is_killed(run: ScenarioRun) -> None:
    """It dies while its pins are on their way, and comes back: they are the targets', or its own still."""
    await ask_for(run, "n0", "n1")
    await step(run, "n1", "moving", "draining", "out")
    await run.apply(Fault(0.0, "kill", "n1"))
    await run.apply(Fault(0.0, "start", "n1"))
    await through(run, "n1")


async def the_target_is_killed(run: ScenarioRun) -> None:
    """One that was given pins dies, and comes back."""
    await ask_for(run, "n0", "n1")
    await step(run, "n1", "moving", "draining", "out")
    await run.apply(Fault(0.0, "kill", "n2"))
    await run.apply(Fault(0.0, "start", "n2"))
    await through(run, "n1")


async def power_in_the_middle(run: ScenarioRun) -> None:
    """All dies while pins are on their way; folders and registers remember."""
    await ask_for(run, "n2", "n1")
    await step(run, "n1", "moving", "draining", "out")
    await run.apply(Fault(0.0, "power", "*"))
    for name in ("e*", *ALL):
        await run.apply(Fault(0.0, "start", name))
    await through(run, "n1")


async def a_new_machine(run: ScenarioRun) -> None:
    """Another machine takes the place of one that was swapped, with nothing in its folder."""
    await ask_for(run, "n0", "n1")
    await step(run, "n1", "out")
    before = pins(run, "n0")["epoch"]
    for verb in ("kill", "empty", "start"):
        await run.apply(Fault(0.0, verb, "n1"))
    await done(run, "n1")
    await settled(run)
    assert pins(run, "n1")["whole"] is False and pins(run, "n0")["epoch"] > before
    await more(run, "load")


async def an_emptied_folder(run: ScenarioRun) -> None:
    """One that is in the table loses its folder: it is fenced, and comes in again owning nothing."""
    before = pins(run, "n0")["epoch"]
    for verb in ("kill", "empty", "start"):
        await run.apply(Fault(0.0, verb, "n1"))
    await run.until(lambda: pins(run, "n0").get("epoch", 0) >= before + 2, "fenced, admitted", seconds=90.0)
    await settled(run)
    await more(run, "load")


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
    async def with_pins(run: ScenarioRun) -> None:
        await settled(run)
        await more(run, "load", 5)
        await story(run)

    findings = played(day, tmp_path, with_pins)
    # Times are no part of this. Where a process died with loads out, they run on beside the next owner's.
    rules = ("twice", "loads", "made") + ("order",) * (story in (all_are_swapped, a_new_machine))
    assert [f for f in findings if f.startswith(rules)] == []
