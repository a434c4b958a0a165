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
    name="short",
    description="in CI",
    instances=4,
    engines_per_zone=2,
    requests_per_s=120.0,
    duration_s=600.0,
    instance_weights=(1, 1, 2, 3),
)
ALL = {"n0", "n1", "n2", "n3"}
FleetCase = Callable[[ScenarioRun], Coroutine[Any, Any, None]]


def phases(run: ScenarioRun, zone: str = "a") -> dict[str, str]:
    """Return each instance's phase of a zone."""
    found = {}
    for name in run.running_instances():
        rows = [row for row in run.view(name).get("zones", []) if row["zone"] == zone]
        found[name] = rows[0]["phase"] if rows else "unknown"
    return found


def left_by(*names: str) -> Callable[[dict[str, str]], bool]:
    """Return whether exactly these have left the zone, or begin to return to it."""
    return lambda seen: all(
        phase in (("out", "return") if n in names else ("in",)) for n, phase in seen.items()
    )


async def until_phases(run: ScenarioRun, holds: Callable[[dict[str, str]], bool], what: str) -> None:
    await run.until(lambda: holds(phases(run)), what, seconds=60.0)


async def count_sends(run: ScenarioRun, count: int) -> dict[str, int]:
    """Return how many of the next sends go to each zone."""

    def received_by_zone() -> dict[str, int]:
        lines = run.logs().engines.items()
        by_zone = dict.fromkeys(DAY.zones, 0)
        for engine, there in lines:
            by_zone[engine[0]] += sum(line[1] == "get" for line in there)
        return by_zone

    before = received_by_zone()
    await run.until(
        lambda: sum(received_by_zone().values()) >= sum(before.values()) + count, "sends", seconds=60.0
    )
    return {zone: n - before[zone] for zone, n in received_by_zone().items()}


async def killed(run: ScenarioRun) -> None:
    """All leave a killed zone, send nothing there, and all return to it."""
    await run.apply(Fault(0.0, "kill", "a"))
    await until_phases(run, left_by(*ALL), "all leave")
    assert (await count_sends(run, 200))["a"] == 0
    await run.apply(Fault(0.0, "start", "a"))
    await until_phases(run, left_by(), "all return")
    assert (await count_sends(run, 200))["a"] > 20
    assert not any(phase != "in" for zone in "bc" for phase in phases(run, zone).values())


async def one_link(run: ScenarioRun) -> None:
    """One whose own way is cut leaves alone, and the others stay."""
    await run.apply(Fault(0.0, "link", "n3", "a", {"cut": True}))
    await until_phases(run, left_by("n3"), "one leaves")
    await count_sends(run, 200)
    seen = phases(run)
    assert seen == dict.fromkeys(ALL - {"n3"}, "in") | {"n3": seen["n3"]}
    await run.apply(Fault(0.0, "link", "n3", "a", {"heal": True}))
    await until_phases(run, left_by(), "it returns")


async def ordered_by_operator(run: ScenarioRun) -> None:
    """An order reaches all, outlives the instance that took it, and is taken back at another."""
    invoke, path = CliRunner().invoke, str(run.folder / "n1.sock")
    order = ["zone", "leave", "a", "--socket", path, "--for", "10m", "--why", "work", "--who", "someone"]
    done = await asyncio.to_thread(invoke, app, order)
    assert done.exit_code == 0 and "confirmed by all" in done.output
    await until_phases(run, left_by(*ALL), "all leave by hand")
    assert (await count_sends(run, 100))["a"] == 0
    await run.apply(Fault(0.0, "kill", "n1"))
    await run.apply(Fault(0.0, "start", "n1"))
    await until_phases(run, left_by(*ALL), "all are out again")

    def knows_order() -> bool:
        zones = run.view("n1").get("zones", [])
        return any(row["zone"] == "a" and row["order"] for row in zones)

    await run.until(knows_order, "one back from nothing learns of the order", seconds=60.0)
    shown = await asyncio.to_thread(invoke, app, ["zone", "show", "--socket", path, "--json"])
    (row,) = [row for row in json.loads(shown.output) if row["zone"] == "a"]
    assert row["order"]["who"] == "someone" and row["order"]["mode"] == "leave"
    for bad in (["zone", "leave", "x", *order[3:]], [*order[:6], "soon", *order[7:]]):
        assert (await asyncio.to_thread(invoke, app, bad)).exit_code == 2
    free = ["zone", "free", "a", "--socket", str(run.folder / "n2.sock"), "--why", "done"]
    assert (await asyncio.to_thread(invoke, app, free)).exit_code == 0
    await until_phases(run, left_by(), "all return")


async def no_path_around_the_harness(run: ScenarioRun) -> None:
    """With every way between instances cut, nobody sees anybody: no datagram passes outside the harness."""
    await run.apply(Fault(0.0, "peers", "*", "*", {"cut": True}))

    def all_isolated() -> bool:
        return all(
            all(m["status"] == "dead" for m in run.view(name)["members"])
            for name in run.scenario.instance_names()
        )

    await run.until(all_isolated, "nobody sees anybody", seconds=60.0)
    await run.apply(Fault(0.0, "peers", "*", "*", {"heal": True}))
    await run.until(run.all_members_alive, "all meet again", seconds=60.0)


@pytest.mark.parametrize(
    "case", [killed, one_link, ordered_by_operator, no_path_around_the_harness], ids=lambda s: s.__name__
)
def test_a_fleet_of_processes(case: FleetCase, tmp_path: Path) -> None:
    run = ScenarioRun(DAY, tmp_path)

    async def scenario() -> None:
        try:
            await run.start()
            await count_sends(run, 150)
            await case(run)
        finally:
            await run.close()

    asyncio.run(scenario())
    findings = check_run(DAY, run.logs()).findings
    assert [f for f in findings if not f.startswith("answers")] == []  # asks were open at its end
