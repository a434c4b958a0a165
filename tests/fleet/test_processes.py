"""Several real instances with faults between them: they wait for states and count sends, and assert no times.

The long days, with times, are played by `cottonhold trial run` and benchmarks/fleet.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any

import pytest
from typer.testing import CliRunner

from cottonhold.cli.main import app
from cottonhold.emulator.fault_injection.checker import check_run
from cottonhold.emulator.fault_injection.harness import ScenarioRun
from cottonhold.emulator.fault_injection.script import Fault, Scenario

# Tests that start several processes slow one another, which looks like a fault: few run side by side.
pytestmark = [pytest.mark.processes, pytest.mark.xdist_group("fleet processes")]

DAY = Scenario(
    name="short", about="in CI", instances=4, engines=2, rate=120.0, seconds=600.0, weights=(1, 1, 2, 3)
)
ALL = {"n0", "n1", "n2", "n3"}
Story = Callable[[ScenarioRun], Coroutine[Any, Any, None]]


def phases(trial: ScenarioRun, zone: str = "a") -> dict[str, str]:
    """Each instance's phase of a zone."""
    found = {}
    for name in trial.running_instances():
        rows = [row for row in trial.view(name).get("zones", []) if row["zone"] == zone]
        found[name] = rows[0]["phase"] if rows else "unknown"
    return found


def out(*names: str) -> Callable[[dict[str, str]], bool]:
    """Exactly these have left the zone, or begin to return to it."""
    return lambda seen: all(
        phase in (("out", "return") if n in names else ("in",)) for n, phase in seen.items()
    )


async def until(trial: ScenarioRun, holds: Callable[[dict[str, str]], bool], what: str) -> None:
    await trial.until(lambda: holds(phases(trial)), what, seconds=60.0)


async def sends(trial: ScenarioRun, count: int) -> dict[str, int]:
    """How many of the next sends go to each zone."""

    def gets() -> dict[str, int]:
        lines = trial.ledgers().engines.items()
        by_zone = dict.fromkeys(DAY.zones, 0)
        for engine, there in lines:
            by_zone[engine[0]] += sum(line[1] == "get" for line in there)
        return by_zone

    before = gets()
    await trial.until(lambda: sum(gets().values()) >= sum(before.values()) + count, "sends", seconds=60.0)
    return {zone: n - before[zone] for zone, n in gets().items()}


async def killed(trial: ScenarioRun) -> None:
    """All leave a killed zone, send nothing there, and all return to it."""
    await trial.apply(Fault(0.0, "kill", "a"))
    await until(trial, out(*ALL), "all leave")
    assert (await sends(trial, 200))["a"] == 0
    await trial.apply(Fault(0.0, "start", "a"))
    await until(trial, out(), "all return")
    assert (await sends(trial, 200))["a"] > 20
    assert not any(phase != "in" for zone in "bc" for phase in phases(trial, zone).values())


async def one_link(trial: ScenarioRun) -> None:
    """One whose own way is cut leaves alone, and the others stay."""
    await trial.apply(Fault(0.0, "link", "n3", "a", {"cut": True}))
    await until(trial, out("n3"), "one leaves")
    await sends(trial, 200)
    seen = phases(trial)
    assert seen == dict.fromkeys(ALL - {"n3"}, "in") | {"n3": seen["n3"]}
    await trial.apply(Fault(0.0, "link", "n3", "a", {"heal": True}))
    await until(trial, out(), "it returns")


async def by_hand(trial: ScenarioRun) -> None:
    """An order reaches all, outlives the instance that took it, and is taken back at another."""
    run, path = CliRunner().invoke, str(trial.folder / "n1.sock")
    order = ["zone", "leave", "a", "--socket", path, "--for", "10m", "--why", "work", "--who", "someone"]
    done = await asyncio.to_thread(run, app, order)
    assert done.exit_code == 0 and "confirmed by all" in done.output
    await until(trial, out(*ALL), "all leave by hand")
    assert (await sends(trial, 100))["a"] == 0
    await trial.apply(Fault(0.0, "kill", "n1"))
    await trial.apply(Fault(0.0, "start", "n1"))
    await until(trial, out(*ALL), "all are out again")

    def ordered() -> bool:
        zones = trial.view("n1").get("zones", [])
        return any(row["zone"] == "a" and row["order"] for row in zones)

    await trial.until(ordered, "one back from nothing learns of the order", seconds=60.0)
    shown = await asyncio.to_thread(run, app, ["zone", "show", "--socket", path, "--json"])
    (row,) = [row for row in json.loads(shown.output) if row["zone"] == "a"]
    assert row["order"]["who"] == "someone" and row["order"]["mode"] == "leave"
    for bad in (["zone", "leave", "x", *order[3:]], [*order[:6], "soon", *order[7:]]):
        assert (await asyncio.to_thread(run, app, bad)).exit_code == 2
    free = ["zone", "free", "a", "--socket", str(trial.folder / "n2.sock"), "--why", "done"]
    assert (await asyncio.to_thread(run, app, free)).exit_code == 0
    await until(trial, out(), "all return")


async def no_way_round(trial: ScenarioRun) -> None:
    """With every way between instances cut, nobody sees anybody: no datagram finds a way round the rig."""
    await trial.apply(Fault(0.0, "peers", "*", "*", {"cut": True}))

    def alone() -> bool:
        return all(
            all(m["status"] == "dead" for m in trial.view(name)["members"])
            for name in trial.day.instance_names()
        )

    await trial.until(alone, "nobody sees anybody", seconds=60.0)
    await trial.apply(Fault(0.0, "peers", "*", "*", {"heal": True}))
    await trial.until(trial.all_members_alive, "all meet again", seconds=60.0)


@pytest.mark.parametrize("story", [killed, one_link, by_hand, no_way_round], ids=lambda s: s.__name__)
def test_a_fleet_of_processes(story: Story, tmp_path: Path) -> None:
    trial = ScenarioRun(DAY, tmp_path)

    async def scenario() -> None:
        try:
            await trial.start()
            await sends(trial, 150)
            await story(trial)
        finally:
            await trial.close()

    asyncio.run(scenario())
    findings = check_run(DAY, trial.ledgers()).findings
    assert [f for f in findings if not f.startswith("answers")] == []  # asks were open at its end
