"""Rolling replacement of several real processes, with faults; no times are checked."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any

import pytest

from cottonhold.emulator.fault_injection.checker import check_run
from cottonhold.emulator.fault_injection.harness import ScenarioRun
from cottonhold.emulator.fault_injection.script import Fault, Scenario
from cottonhold.node.status import call_instance
from tests.fleet.test_recovery_processes import ALL, SCENARIO, recovery_view, serve_more

# Tests that start several processes slow each other down, which may look like a fault, so few run in
# parallel.
pytestmark = [pytest.mark.processes, pytest.mark.xdist_group("replacement processes")]

FleetCase = Callable[[ScenarioRun], Coroutine[Any, Any, None]]


def replacement_rows(run: ScenarioRun, at: str) -> dict[str, dict[str, Any]]:
    """Return the status of each machine's replacement at an instance."""
    return {row["machine"]: row for row in run.view(at).get("swap", {}).get("machines", [])}


async def send_call(run: ScenarioRun, at: str, **fields: Any) -> dict[str, Any]:
    """Send a call to an instance's socket and return the answer."""
    answer: dict[str, Any] = await asyncio.to_thread(call_instance, run.folder / f"{at}.sock", fields)
    return answer


async def until_step(run: ScenarioRun, machine: str, *steps: str) -> None:
    """Wait until all other instances report that a machine is at one of these steps."""
    others = [name for name in run.running_instances() if name != machine]

    def reported() -> bool:
        return all(replacement_rows(run, name).get(machine, {}).get("step") in steps for name in others)

    await run.until(reported, f"{machine} is {steps}", seconds=90.0)


async def request_replacement(run: ScenarioRun, at: str, *machines: str) -> None:
    answer = await send_call(run, at, call="swap", who="someone", machines=[{"name": m} for m in machines])
    assert "error" not in answer, answer


async def replace_machine(run: ScenarioRun, machine: str) -> None:
    """Kill a machine once it is out, and start a new one with its name."""
    await until_step(run, machine, "out")
    await run.apply(Fault(0.0, "kill", machine))
    await run.apply(Fault(0.0, "start", machine))


async def until_done(run: ScenarioRun, *machines: str) -> None:
    """Wait until all instances report that the replacement of these machines has ended."""

    def over() -> bool:
        views = [replacement_rows(run, name) for name in run.running_instances()]
        return all(view.get(m, {}).get("step", "done") == "done" for view in views for m in machines)

    await run.until(over, f"{machines} are done", seconds=90.0)
    await serve_more(run, "load")


def play_case(scenario: Scenario, folder: Path, case: FleetCase) -> list[str]:
    """Run a case on a fleet once all of its voters vote; return the findings of the checker."""
    run = ScenarioRun(scenario, folder)

    def voting() -> bool:
        return all(run.view(name).get("swap", {}).get("votes") for name in ALL)

    async def play() -> None:
        try:
            await run.start()
            await run.until(voting, "all vote", seconds=280.0)
            await serve_more(run, "load", 5)
            await case(run)
        finally:
            await run.close()

    asyncio.run(play())
    return check_run(scenario, run.logs()).findings


async def one_after_another(run: ScenarioRun) -> None:
    """All three instances are replaced one after the other by a single request."""
    await request_replacement(run, "n0", *ALL)
    remaining = set(ALL)
    while remaining:

        def machines_out() -> set[str]:
            machines = set[str]()
            for at in run.running_instances():
                machines |= {
                    m
                    for m, row in replacement_rows(run, at).items()
                    if row["step"] == "out" and m in remaining
                }
            return machines

        await run.until(lambda: bool(machines_out()), "a machine is out", seconds=90.0)
        (machine,) = machines_out()
        await replace_machine(run, machine)
        remaining.discard(machine)
        await serve_more(run, "cheap", 10)
    await until_done(run, *ALL)


async def the_requester_is_killed(run: ScenarioRun) -> None:
    """The instance that submitted a request is restarted; the request is still in the registers."""
    await request_replacement(run, "n0", "n1")
    await until_step(run, "n1", "agreed", "moving", "draining", "out")
    await run.apply(Fault(0.0, "kill", "n0"))
    # While n0 is down, n1 is taken out only if it had drained before the failure of n0 was detected, because
    # a majority of voters must stay up.
    await run.apply(Fault(0.0, "start", "n0"))
    await replace_machine(run, "n1")
    await until_done(run, "n1")


async def a_voter_is_down(run: ScenarioRun) -> None:
    """While one of three voters is down, no other one is taken out; its restart lets the run continue."""
    await run.apply(Fault(0.0, "kill", "n0"))

    def dead() -> bool:
        views = [run.view(name).get("members", []) for name in ("n1", "n2")]
        return all({m["name"]: m["status"] for m in view}.get("n0") == "dead" for view in views)

    await run.until(dead, "n0 is known to be dead", seconds=90.0)
    await request_replacement(run, "n2", "n1")
    await until_step(run, "n1", "asked", "agreed", "moving", "draining")
    await serve_more(run, "cheap", 50)
    assert replacement_rows(run, "n2")["n1"]["step"] != "out"
    await run.apply(Fault(0.0, "start", "n0"))
    await replace_machine(run, "n1")
    await until_done(run, "n1")


async def power_loss_during_a_replacement(run: ScenarioRun) -> None:
    """The power fails while a machine is out; the replacement continues from the registers and ends."""
    await request_replacement(run, "n2", "n1")
    await until_step(run, "n1", "out")
    await run.apply(Fault(0.0, "power", "*"))
    for name in ("e*", *ALL):
        await run.apply(Fault(0.0, "start", name))
    await run.until(lambda: all(recovery_view(run, n).get("confirmed") for n in ALL), "they are back", 90.0)
    await until_done(run, "n1")


async def invalid_and_conflicting_requests(run: ScenarioRun) -> None:
    """Invalid requests are rejected, as is one that conflicts with an earlier one, naming its requester."""
    for fields, expected_text in (
        ({"machines": [{"name": "n9"}]}, "n9"),
        ({"machines": [{"zone": "q"}]}, "zone 'q'"),
        ({"machines": []}, "at least one"),
        ({"machines": [{"name": "n1"}], "most_out": 0}, "most_out"),
    ):
        answer = await send_call(run, "n0", call="swap", who="someone", **fields)
        assert expected_text in answer.get("error", ""), answer
    await request_replacement(run, "n0", "n1")
    await until_step(run, "n1", "agreed", "moving", "draining", "out")
    await send_call(run, "n2", call="swap", who="another", machines=[{"name": "n1", "new": "n7"}])

    def refused() -> bool:
        answers = run.view("n2").get("swap", {}).get("answers", [])
        return any(a["who"] == "another" and "someone" in a["refused"] for a in answers)

    await run.until(refused, "the second one is refused and told who asked first", seconds=90.0)
    await replace_machine(run, "n1")
    await until_done(run, "n1")


@pytest.mark.parametrize(
    "case",
    [
        one_after_another,
        the_requester_is_killed,
        a_voter_is_down,
        power_loss_during_a_replacement,
        invalid_and_conflicting_requests,
    ],
    ids=lambda s: s.__name__,
)
def test_rolling_replacement_on_processes(case: FleetCase, tmp_path: Path) -> None:
    findings = play_case(SCENARIO, tmp_path, case)
    assert [finding for finding in findings if not finding.startswith("answers")] == []
