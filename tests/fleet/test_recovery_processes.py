"""Power losses of several real processes: their states, their counters and loads that ran twice.

Times are not checked.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any

import msgspec
import pytest

from cottonhold.emulator.fault_injection.checker import check_run
from cottonhold.emulator.fault_injection.client_model import ClientBehaviour, RequestClass
from cottonhold.emulator.fault_injection.clients import Session
from cottonhold.emulator.fault_injection.harness import ScenarioRun
from cottonhold.emulator.fault_injection.script import Fault, Scenario

# Tests with several processes slow one another down, which looks like a fault, so few run at the same time.
pytestmark = [pytest.mark.processes, pytest.mark.xdist_group("fleet processes")]

SCENARIO = Scenario(
    name="power",
    description="in CI",
    instances=3,
    engines_per_zone=1,
    requests_per_s=60.0,
    duration_s=600.0,  # longer than any case on a busy machine, since clients must not end first
    instance_weights=(1, 1, 1),
    request_classes=(RequestClass("cheap", 0.5, 2000.0, 20.0), RequestClass("load", 0.5, 8000.0, 20.0, True)),
    client_behaviour=ClientBehaviour(max_attempts=4, retries_unfinished_loads=True),
    has_admission=True,
    has_state_folders=True,
)
ALL = ("n0", "n1", "n2")
FleetCase = Callable[[ScenarioRun], Coroutine[Any, Any, None]]


def recovery_view(run: ScenarioRun, name: str) -> dict[str, Any]:
    """Return what an instance reports of its recovery; empty if it doesn't answer."""
    findings: dict[str, Any] = run.view(name).get("recovery", {})
    return findings


async def until_recovery(
    run: ScenarioRun, holds: Callable[[dict[str, Any]], bool], what: str, *names: str
) -> None:
    """Wait until the condition `holds` for the reports of these instances (all by default)."""

    def reported() -> bool:
        views = [recovery_view(run, name) for name in names or ALL]
        return all(view and holds(view) for view in views)

    await run.until(reported, what, seconds=90.0)


def served_count(run: ScenarioRun, kind: str) -> int:
    """Return how many requests of a class have been served."""
    kinds = {line[2]: line[3] for line in run.logs().clients if line[1] == "ask"}
    return sum(line[1] == "served" and kinds.get(line[2]) == kind for line in run.logs().clients)


async def serve_more(run: ScenarioRun, kind: str, count: int = 20) -> None:
    """Wait until `count` more requests of a class have been served."""
    before = served_count(run, kind)
    await run.until(lambda: served_count(run, kind) >= before + count, f"{kind} served", seconds=90.0)


async def cut_power(run: ScenarioRun) -> None:
    """Kill all processes at the same time, with loads in flight."""
    await run.apply(Fault(0.0, "power", "*"))


async def start_all(run: ScenarioRun, *names: str) -> None:
    for name in names or ("e*", *ALL):
        await run.apply(Fault(0.0, "start", name))


async def all_at_once(run: ScenarioRun) -> None:
    """All instances report one loss of the fleet, an intact memory and a higher boot count, and serve loads
    again."""
    await until_recovery(run, lambda view: view["boot"] > 0, "all are there")
    boots = {name: recovery_view(run, name)["boot"] for name in ALL}
    await cut_power(run)
    await start_all(run)
    await until_recovery(
        run, lambda view: view["verdict"] == "fleet" and not view["missing"], "all see the loss"
    )
    for name in ALL:
        view = recovery_view(run, name)
        assert view["boot"] == boots[name] + 1 and view["memory"] == "kept"
    await until_recovery(
        run, lambda view: view["confirmed"] and view["sends_loads"], "memories are confirmed"
    )
    await serve_more(run, "load")
    await serve_more(run, "cheap")


async def power_losses_during_recovery(run: ScenarioRun) -> None:
    """A second and a third power loss during the recovery from the first."""
    for _ in range(2):
        await cut_power(run)
        await start_all(run)
        await until_recovery(run, lambda view: view["boot"] > 0, "they are there", "n0")
    await all_at_once(run)


async def an_empty_folder(run: ScenarioRun) -> None:
    """An instance returns with an empty folder: it reports that, with a higher boot count than the others
    know."""
    before = recovery_view(run, "n1")["boot"]
    await cut_power(run)
    await run.apply(Fault(0.0, "empty", "n1"))
    await start_all(run)
    await until_recovery(run, lambda view: view["memory"] == "empty", "an empty memory", "n1")
    await until_recovery(run, lambda view: view["boot"] > before, "a boot above", "n1")
    await serve_more(run, "load")
    assert recovery_view(run, "n0")["memory"] == "kept" and not recovery_view(run, "n1")["confirmed"]


async def an_old_folder(run: ScenarioRun) -> None:
    """An instance returns with the folder of an earlier incarnation, while the others know a later
    checkpoint."""
    await run.apply(Fault(0.0, "keep", "n2"))
    for _ in range(2):
        await run.apply(Fault(0.0, "kill", "n2"))
        await run.apply(Fault(0.0, "start", "n2"))
        await until_recovery(run, lambda view: view["confirmed"], "it is known again", "n2")
    before = recovery_view(run, "n2")["boot"]
    await run.apply(Fault(0.0, "kill", "n2"))
    await run.apply(Fault(0.0, "old", "n2"))
    await run.apply(Fault(0.0, "start", "n2"))
    await until_recovery(
        run, lambda view: view["memory"] == "old" and view["boot"] > before, "it is found out", "n2"
    )
    await serve_more(run, "load")


async def a_backup_made_while_it_ran(run: ScenarioRun) -> None:
    """A backup of an instance's folder, made while it served, is restored after the next power loss."""
    marks = recovery_view(run, "n2")["marks"]
    await run.apply(Fault(0.0, "keep", "n2"))
    await until_recovery(
        run, lambda view: view["marks"] >= marks + 3, "marks are made, and told by the next", "n2"
    )
    before = recovery_view(run, "n2")["boot"]
    await cut_power(run)
    await run.apply(Fault(0.0, "old", "n2"))
    await start_all(run)
    await until_recovery(run, lambda view: view["memory"] == "old", "it is found out", "n2")
    assert recovery_view(run, "n2")["boot"] > before and recovery_view(run, "n0")["memory"] == "kept"
    await serve_more(run, "load")


async def a_full_disk(run: ScenarioRun) -> None:
    """While disks are full, loads are rejected and all other requests are served; then loads are served
    again."""
    for name in ALL:
        await run.apply(Fault(0.0, "disk", name, options={"state": "full"}))
    await until_recovery(run, lambda view: view["disk"] != "well", "disks are full")
    await serve_more(run, "cheap")
    for name in ALL:
        await run.apply(Fault(0.0, "disk", name, options={"state": "well"}))
    await until_recovery(run, lambda view: view["disk"] == "well", "disks have room")
    await serve_more(run, "load")


async def cut_off(run: ScenarioRun) -> None:
    """A partitioned instance reports that it is cut off, not a loss of the fleet, and still serves safe
    queries."""
    await run.apply(Fault(0.0, "peers", "n0", "*", {"cut": True}))
    await until_recovery(run, lambda view: view["verdict"] == "cut_off", "it knows", "n0")
    assert recovery_view(run, "n1")["verdict"] != "fleet"
    await serve_more(run, "cheap")
    await run.apply(Fault(0.0, "peers", "*", "*", {"heal": True}))
    await until_recovery(
        run, lambda view: view["verdict"] != "cut_off" and not view["missing"], "all are heard"
    )


async def rejected_by_an_instance_that_is_cut_off(run: ScenarioRun) -> None:
    """A client whose load ran at another instance retries it at one that is cut off.

    It must be answered that the load may have run before the other instances have dropped their records of
    it, and not be rejected for as long as it retries.
    """
    load = "lookup=mine */ INSERT INTO sales_1.t VALUES ('mine', 0)"

    async def send_load(name: str, number: int, extra_fields: str = "") -> tuple[str, str]:
        session = await Session.open(run.network.instance_ports[name])
        try:
            fields = f"service=load,ref={number:016x},allow=2000,effort=20{extra_fields}"
            return await session.query(f"/* {fields},{load}")
        finally:
            session.writer.close()

    assert (await send_load("n1", 1))[0] == "served"
    await run.apply(Fault(0.0, "peers", "n0", "*", {"cut": True}))
    await until_recovery(run, lambda view: view["verdict"] == "cut_off", "it knows", "n0")
    began, answer = time.monotonic(), ("refused", "")
    while answer[0] == "refused" and time.monotonic() < began + recovery_view(run, "n0")["hold_ms"] / 1000:
        answer = await send_load("n0", 2, ",dup=1")
        await asyncio.sleep(0.2)
    assert "may have run" in answer[1], answer
    refs = [line[2] for lines in run.logs().engines.values() for line in lines if line[1] == "get"]
    assert sum(ref in (f"{1:016x}", f"{2:016x}") for ref in refs) == 1
    await run.apply(Fault(0.0, "peers", "*", "*", {"heal": True}))
    await until_recovery(
        run, lambda view: view["verdict"] != "cut_off" and not view["missing"], "all are heard"
    )


async def the_engine_list_source_stays_away(run: ScenarioRun) -> None:
    """Cached engines serve once they have answered, while loads wait for the list of a source."""
    await serve_more(run, "cheap")
    await run.apply(Fault(0.0, "source", "n*", options={"cut": True}))
    await cut_power(run)
    await start_all(run)
    await until_recovery(run, lambda view: view["verdict"] == "fleet", "all see the loss")
    await serve_more(run, "cheap")
    await run.apply(Fault(0.0, "source", "n*", options={"heal": True}))
    await serve_more(run, "load")


CASES = [all_at_once, power_losses_during_recovery, an_empty_folder, an_old_folder]
CASES += [a_backup_made_while_it_ran, a_full_disk, cut_off, the_engine_list_source_stays_away]
CASES += [rejected_by_an_instance_that_is_cut_off]


@pytest.mark.parametrize("case", CASES, ids=lambda s: s.__name__)
def test_a_power_loss_on_processes(case: FleetCase, tmp_path: Path) -> None:
    scenario = msgspec.structs.replace(SCENARIO, has_consul=case is the_engine_list_source_stays_away)
    run = ScenarioRun(scenario, tmp_path, forks=True)

    async def play() -> None:
        try:
            await run.start()
            await until_recovery(run, lambda view: view["sends_loads"] and view["confirmed"], "all are there")
            await serve_more(run, "load")
            await case(run)
        finally:
            await run.close()

    asyncio.run(play())
    findings = check_run(scenario, run.logs()).findings
    # Requests are still open at the end of the run, so missing answers are no finding.
    assert [f for f in findings if not f.startswith("answers")] == []
