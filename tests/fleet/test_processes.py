"""Fleets of real processes with injected faults; the tests wait for states and assert no times.

`cottonhold trial run` and benchmarks/fleet run longer scenarios and check times.
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

# Such tests slow one another down, which looks like a fault, so they run in one group.
pytestmark = [pytest.mark.processes, pytest.mark.xdist_group("fleet processes")]

SCENARIO = Scenario(
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
    phase_by_instance = {}
    for name in run.running_instances():
        rows = [row for row in run.view(name).get("zones", []) if row["zone"] == zone]
        phase_by_instance[name] = rows[0]["phase"] if rows else "unknown"
    return phase_by_instance


def evacuated_by(*evacuating: str) -> Callable[[dict[str, str]], bool]:
    """Return a check that exactly these instances have evacuated the zone or are returning to it."""
    return lambda phase_by_instance: all(
        phase in (("out", "return") if name in evacuating else ("in",))
        for name, phase in phase_by_instance.items()
    )


async def until_phases(
    run: ScenarioRun, is_expected: Callable[[dict[str, str]], bool], description: str
) -> None:
    await run.until(lambda: is_expected(phases(run)), description, seconds=60.0)


async def count_sends(run: ScenarioRun, count: int) -> dict[str, int]:
    """Wait for `count` further attempts, and return how many of them each zone received."""

    def received_by_zone() -> dict[str, int]:
        logs = run.logs().engines.items()
        by_zone = dict.fromkeys(SCENARIO.zones, 0)
        for engine, engine_lines in logs:
            by_zone[engine[0]] += sum(line[1] == "get" for line in engine_lines)
        return by_zone

    before = received_by_zone()
    await run.until(
        lambda: sum(received_by_zone().values()) >= sum(before.values()) + count, "sends", seconds=60.0
    )
    return {zone: received - before[zone] for zone, received in received_by_zone().items()}


async def killed(run: ScenarioRun) -> None:
    """All instances evacuate a killed zone, send nothing there, and return after its restart."""
    await run.apply(Fault(0.0, "kill", "a"))
    await until_phases(run, evacuated_by(*ALL), "all evacuate the zone")
    assert (await count_sends(run, 200))["a"] == 0
    await run.apply(Fault(0.0, "start", "a"))
    await until_phases(run, evacuated_by(), "all return")
    assert (await count_sends(run, 200))["a"] > 20
    assert not any(phase != "in" for zone in "bc" for phase in phases(run, zone).values())


async def one_link(run: ScenarioRun) -> None:
    """Only the instance whose link to the zone is cut evacuates it."""
    await run.apply(Fault(0.0, "link", "n3", "a", {"cut": True}))
    await until_phases(run, evacuated_by("n3"), "one evacuates the zone")
    await count_sends(run, 200)
    phase_by_instance = phases(run)
    assert phase_by_instance == dict.fromkeys(ALL - {"n3"}, "in") | {"n3": phase_by_instance["n3"]}
    await run.apply(Fault(0.0, "link", "n3", "a", {"heal": True}))
    await until_phases(run, evacuated_by(), "it returns")


async def ordered_by_operator(run: ScenarioRun) -> None:
    """An override reaches all instances, survives a restart of its author, and is cleared at another one."""
    invoke, path = CliRunner().invoke, str(run.folder / "n1.sock")
    evacuate = ["zone", "leave", "a", "--socket", path, "--for", "10m", "--why", "work", "--who", "someone"]
    result = await asyncio.to_thread(invoke, app, evacuate)
    assert result.exit_code == 0 and "confirmed by all" in result.output
    await until_phases(run, evacuated_by(*ALL), "all follow the override")
    assert (await count_sends(run, 100))["a"] == 0
    await run.apply(Fault(0.0, "kill", "n1"))
    await run.apply(Fault(0.0, "start", "n1"))
    await until_phases(run, evacuated_by(*ALL), "all follow the override again")

    def has_override() -> bool:
        zones = run.view("n1").get("zones", [])
        return any(row["zone"] == "a" and row["order"] for row in zones)

    await run.until(has_override, "the restarted author receives the override", seconds=60.0)
    status = await asyncio.to_thread(invoke, app, ["zone", "show", "--socket", path, "--json"])
    (row,) = [row for row in json.loads(status.output) if row["zone"] == "a"]
    assert row["order"]["who"] == "someone" and row["order"]["mode"] == "leave"
    for invalid in (["zone", "leave", "x", *evacuate[3:]], [*evacuate[:6], "soon", *evacuate[7:]]):
        assert (await asyncio.to_thread(invoke, app, invalid)).exit_code == 2
    clear = ["zone", "free", "a", "--socket", str(run.folder / "n2.sock"), "--why", "done"]
    assert (await asyncio.to_thread(invoke, app, clear)).exit_code == 0
    await until_phases(run, evacuated_by(), "all return")


async def all_datagrams_pass_through_the_harness(run: ScenarioRun) -> None:
    """With all links cut, all instances appear dead to each other: the harness relays every datagram."""
    await run.apply(Fault(0.0, "peers", "*", "*", {"cut": True}))

    def all_isolated() -> bool:
        return all(
            all(m["status"] == "dead" for m in run.view(name)["members"])
            for name in run.scenario.instance_names()
        )

    await run.until(all_isolated, "all are isolated", seconds=60.0)
    await run.apply(Fault(0.0, "peers", "*", "*", {"heal": True}))
    await run.until(run.all_members_alive, "all members are alive", seconds=60.0)


@pytest.mark.parametrize(
    "case",
    [killed, one_link, ordered_by_operator, all_datagrams_pass_through_the_harness],
    ids=lambda s: s.__name__,
)
def test_a_fleet_of_processes(case: FleetCase, tmp_path: Path) -> None:
    run = ScenarioRun(SCENARIO, tmp_path)

    async def play() -> None:
        try:
            await run.start()
            await count_sends(run, 150)
            await case(run)
        finally:
            await run.close()

    asyncio.run(play())
    findings = check_run(SCENARIO, run.logs()).findings
    assert [f for f in findings if not f.startswith("answers")] == []  # some are open at the end
