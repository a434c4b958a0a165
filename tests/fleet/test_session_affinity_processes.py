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
from tests.fleet.test_recovery_processes import ALL, DAY, serve_more
from tests.fleet.test_rolling_replacement_processes import (
    one_after_another,
    play_case,
    replacement_rows,
    request_replacement,
    until_done,
    until_step,
)

# Tests that start several processes slow one another, which looks like a fault: few run side by side.
pytestmark = [pytest.mark.processes, pytest.mark.xdist_group("affinity processes")]

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
FleetCase = Callable[[ScenarioRun], Coroutine[Any, Any, None]]


def affinity_view(run: ScenarioRun, name: str) -> dict[str, Any]:
    """Return what an instance reports of its keys; empty if it does not answer."""
    found: dict[str, Any] = run.view(name).get("pins", {})
    return found


async def until_settled(run: ScenarioRun, *names: str) -> None:
    """Wait until these instances are in one membership table, which all of them know."""
    expected = sorted(names or ALL)

    def holds() -> bool:
        views = [affinity_view(run, name) for name in expected]
        if not all(v and v["table"] == expected and v["stands"] and v["complete"] for v in views):
            return False
        return len({v["epoch"] for v in views}) == 1

    await run.until(holds, f"{expected} are one table", seconds=90.0)


def total_of(run: ScenarioRun, what: str) -> int:
    return sum(affinity_view(run, name).get(what, 0) for name in run.running_instances())


async def all_are_replaced(run: ScenarioRun) -> None:
    """Each goes and comes; what was asked for at any of them runs where its key is owned."""
    await one_after_another(run)
    await until_settled(run)
    assert total_of(run, "took") > 0 and affinity_view(run, "n0")["epoch"] >= 3 + 2 * len(ALL)


async def until_replaced(run: ScenarioRun, machine: str) -> None:
    """Wait until a machine's replacement ends; once it is out it is killed and started again."""
    names, is_taken_out = [name for name in ALL if name != machine], False

    def reported_steps() -> set[str]:
        return {replacement_rows(run, name).get(machine, {}).get("step", "done") for name in names}

    while True:
        await run.until(
            lambda: reported_steps() in ({"out"}, {"done"}), f"{machine} is out or done", seconds=90.0
        )
        if reported_steps() == {"done"}:
            break
        if reported_steps() == {"out"} and not is_taken_out:
            is_taken_out = True
            await run.apply(Fault(0.0, "kill", machine))
            await run.apply(Fault(0.0, "start", machine))
        await asyncio.sleep(0.1)
    await until_settled(run)
    await serve_more(run, "load")


async def the_source_is_killed(run: ScenarioRun) -> None:
    """It dies while its pins are on their way, and comes back: they are the targets', or its own still."""
    await request_replacement(run, "n0", "n1")
    await until_step(run, "n1", "moving", "draining", "out")
    await run.apply(Fault(0.0, "kill", "n1"))
    await run.apply(Fault(0.0, "start", "n1"))
    await until_replaced(run, "n1")


async def the_target_is_killed(run: ScenarioRun) -> None:
    """One that was given pins dies, and comes back."""
    await request_replacement(run, "n0", "n1")
    await until_step(run, "n1", "moving", "draining", "out")
    await run.apply(Fault(0.0, "kill", "n2"))
    await run.apply(Fault(0.0, "start", "n2"))
    await until_replaced(run, "n1")


async def power_loss_during_a_migration(run: ScenarioRun) -> None:
    """All dies while pins are on their way; folders and registers remember."""
    await request_replacement(run, "n2", "n1")
    await until_step(run, "n1", "moving", "draining", "out")
    await run.apply(Fault(0.0, "power", "*"))
    for name in ("e*", *ALL):
        await run.apply(Fault(0.0, "start", name))
    await until_replaced(run, "n1")


async def a_new_machine(run: ScenarioRun) -> None:
    """Another machine takes the place of one that was swapped, with nothing in its folder."""
    await request_replacement(run, "n0", "n1")
    await until_step(run, "n1", "out")
    before = affinity_view(run, "n0")["epoch"]
    for verb in ("kill", "empty", "start"):
        await run.apply(Fault(0.0, verb, "n1"))
    await until_done(run, "n1")
    await until_settled(run)
    assert affinity_view(run, "n1")["whole"] is False and affinity_view(run, "n0")["epoch"] > before
    await serve_more(run, "load")


async def an_emptied_folder(run: ScenarioRun) -> None:
    """One that is in the table loses its folder: it is fenced, and comes in again owning nothing."""
    before = affinity_view(run, "n0")["epoch"]
    for verb in ("kill", "empty", "start"):
        await run.apply(Fault(0.0, verb, "n1"))
    await run.until(
        lambda: affinity_view(run, "n0").get("epoch", 0) >= before + 2, "fenced, admitted", seconds=90.0
    )
    await until_settled(run)
    await serve_more(run, "load")


CASES = [
    (all_are_replaced, PINNED),
    (the_source_is_killed, PINNED),
    (the_target_is_killed, PINNED),
    (power_loss_during_a_migration, PINNED),
    (a_new_machine, PINNED),
    (an_emptied_folder, PINNED),
    (all_are_replaced, IMPATIENT),
]


@pytest.mark.parametrize(("case", "day"), CASES, ids=lambda v: getattr(v, "__name__", getattr(v, "name", "")))
def test_pins_on_processes(case: FleetCase, day: Scenario, tmp_path: Path) -> None:
    async def with_pins(run: ScenarioRun) -> None:
        await until_settled(run)
        await serve_more(run, "load", 5)
        await case(run)

    findings = play_case(day, tmp_path, with_pins)
    # Times are no part of this. Where a process died with loads out, they run on beside the next owner's.
    rules = ("twice", "loads", "made") + ("order",) * (case in (all_are_replaced, a_new_machine))
    assert [f for f in findings if f.startswith(rules)] == []
