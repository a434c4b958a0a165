"""Session affinity on several real processes, with replacements and faults; no times are checked."""

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
from tests.fleet.test_recovery_processes import ALL, SCENARIO, serve_more
from tests.fleet.test_rolling_replacement_processes import (
    one_after_another,
    play_case,
    replacement_rows,
    request_replacement,
    until_done,
    until_step,
)

# Tests that start several processes slow each other down, which may look like a fault, so few run in
# parallel.
pytestmark = [pytest.mark.processes, pytest.mark.xdist_group("affinity processes")]

# Long enough for a busy machine, and with a low load; the cases end the run.
AFFINITY_DAY = msgspec.structs.replace(
    SCENARIO, name="pins", has_affinity=True, orders_across=True, requests_per_s=30.0, duration_s=300.0
)
# Clients that get no response in time send the same load again, to any instance.
IMPATIENT = msgspec.structs.replace(
    AFFINITY_DAY,
    name="impatient",
    client_behaviour=ClientBehaviour(
        max_attempts=4, retries_unfinished_loads=True, response_timeout_ms=400.0
    ),
)
FleetCase = Callable[[ScenarioRun], Coroutine[Any, Any, None]]


def affinity_view(run: ScenarioRun, name: str) -> dict[str, Any]:
    """Return an instance's status of session affinity, or an empty one if it does not answer."""
    view: dict[str, Any] = run.view(name).get("pins", {})
    return view


async def until_settled(run: ScenarioRun, *names: str) -> None:
    """Wait until these instances are the members of one table, which all of them have applied."""
    expected = sorted(names or ALL)

    def is_settled() -> bool:
        views = [affinity_view(run, name) for name in expected]
        if not all(v and v["table"] == expected and v["stands"] and v["complete"] for v in views):
            return False
        return len({v["epoch"] for v in views}) == 1

    await run.until(is_settled, f"{expected} are the members of one table", seconds=90.0)


def total_of(run: ScenarioRun, counter: str) -> int:
    return sum(affinity_view(run, name).get(counter, 0) for name in run.running_instances())


async def all_are_replaced(run: ScenarioRun) -> None:
    """Each instance is replaced; requests to any instance run where their keys are owned."""
    await one_after_another(run)
    await until_settled(run)
    assert total_of(run, "took") > 0 and affinity_view(run, "n0")["epoch"] >= 3 + 2 * len(ALL)


async def until_replaced(run: ScenarioRun, machine: str) -> None:
    """Wait until a machine's replacement ends; the machine is restarted once it is out."""
    names, is_restarted = [name for name in ALL if name != machine], False

    def reported_steps() -> set[str]:
        return {replacement_rows(run, name).get(machine, {}).get("step", "done") for name in names}

    while True:
        await run.until(
            lambda: reported_steps() in ({"out"}, {"done"}), f"{machine} is out or done", seconds=90.0
        )
        if reported_steps() == {"done"}:
            break
        if reported_steps() == {"out"} and not is_restarted:
            is_restarted = True
            await run.apply(Fault(0.0, "kill", machine))
            await run.apply(Fault(0.0, "start", machine))
        await asyncio.sleep(0.1)
    await until_settled(run)
    await serve_more(run, "load")


async def the_source_is_killed(run: ScenarioRun) -> None:
    """The old owner is restarted while its keys are moved; each key then belongs to its target or to it."""
    await request_replacement(run, "n0", "n1")
    await until_step(run, "n1", "moving", "draining", "out")
    await run.apply(Fault(0.0, "kill", "n1"))
    await run.apply(Fault(0.0, "start", "n1"))
    await until_replaced(run, "n1")


async def the_target_is_killed(run: ScenarioRun) -> None:
    """A member that has received keys is restarted."""
    await request_replacement(run, "n0", "n1")
    await until_step(run, "n1", "moving", "draining", "out")
    await run.apply(Fault(0.0, "kill", "n2"))
    await run.apply(Fault(0.0, "start", "n2"))
    await until_replaced(run, "n1")


async def power_loss_during_a_migration(run: ScenarioRun) -> None:
    """The power fails while keys are moved; the state is restored from the state folders."""
    await request_replacement(run, "n2", "n1")
    await until_step(run, "n1", "moving", "draining", "out")
    await run.apply(Fault(0.0, "power", "*"))
    for name in ("e*", *ALL):
        await run.apply(Fault(0.0, "start", name))
    await until_replaced(run, "n1")


async def a_new_machine(run: ScenarioRun) -> None:
    """A machine is replaced by one with an empty state folder."""
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
    """A member of the table loses its state folder: it is fenced, and admitted again without keys."""
    before = affinity_view(run, "n0")["epoch"]
    for verb in ("kill", "empty", "start"):
        await run.apply(Fault(0.0, verb, "n1"))
    await run.until(
        lambda: affinity_view(run, "n0").get("epoch", 0) >= before + 2, "fenced, admitted", seconds=90.0
    )
    await until_settled(run)
    await serve_more(run, "load")


CASES = [
    (all_are_replaced, AFFINITY_DAY),
    (the_source_is_killed, AFFINITY_DAY),
    (the_target_is_killed, AFFINITY_DAY),
    (power_loss_during_a_migration, AFFINITY_DAY),
    (a_new_machine, AFFINITY_DAY),
    (an_emptied_folder, AFFINITY_DAY),
    (all_are_replaced, IMPATIENT),
]


@pytest.mark.parametrize(
    ("case", "scenario"), CASES, ids=lambda v: getattr(v, "__name__", getattr(v, "name", ""))
)
def test_session_affinity_on_processes(case: FleetCase, scenario: Scenario, tmp_path: Path) -> None:
    async def settle_and_play(run: ScenarioRun) -> None:
        await until_settled(run)
        await serve_more(run, "load", 5)
        await case(run)

    findings = play_case(scenario, tmp_path, settle_and_play)
    # Times are not checked. If a process was killed with loads in flight, these run concurrently with the
    # loads of the next owner, so the order is not checked either.
    rules = ("twice", "loads", "made") + ("order",) * (case in (all_are_replaced, a_new_machine))
    assert [f for f in findings if f.startswith(rules)] == []
