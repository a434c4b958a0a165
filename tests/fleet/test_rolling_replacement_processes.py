"""A rolling swap on several real instances, with faults in its middle: states and counts, and no times."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any

import pytest

from cottonhold.emulator.fault_injection.checker import check_run
from cottonhold.emulator.fault_injection.harness import ScenarioRun
from cottonhold.emulator.fault_injection.script import Fault, Scenario
from cottonhold.node.status import ask
from tests.fleet.test_recovery_processes import ALL, DAY, more, recovery

# Tests that start several processes slow one another, which looks like a fault: few run side by side.
pytestmark = [pytest.mark.processes, pytest.mark.xdist_group("replacement processes")]

Story = Callable[[ScenarioRun], Coroutine[Any, Any, None]]


def rows(trial: ScenarioRun, at: str) -> dict[str, dict[str, Any]]:
    """Each machine's swap, as an instance tells it."""
    return {row["machine"]: row for row in trial.view(at).get("swap", {}).get("machines", [])}


async def call(trial: ScenarioRun, at: str, **words: Any) -> dict[str, Any]:
    """A call at an instance's socket."""
    answer: dict[str, Any] = await asyncio.to_thread(ask, trial.folder / f"{at}.sock", words)
    return answer


async def step(trial: ScenarioRun, machine: str, *steps: str) -> None:
    """All others tell that a machine has come to one of these steps."""
    others = [name for name in trial.running_instances() if name != machine]

    def told() -> bool:
        return all(rows(trial, name).get(machine, {}).get("step") in steps for name in others)

    await trial.until(told, f"{machine} is {steps}", seconds=90.0)


async def ask_for(trial: ScenarioRun, at: str, *machines: str) -> None:
    found = await call(trial, at, call="swap", who="someone", machines=[{"name": m} for m in machines])
    assert "error" not in found, found


async def replace(trial: ScenarioRun, machine: str) -> None:
    """The machine is taken away once it may be, and a new one is put in its place."""
    await step(trial, machine, "out")
    await trial.apply(Fault(0.0, "kill", machine))
    await trial.apply(Fault(0.0, "start", machine))


async def done(trial: ScenarioRun, *machines: str) -> None:
    """The swap of these is over for all: done, or forgotten as such."""

    def over() -> bool:
        views = [rows(trial, name) for name in trial.running_instances()]
        return all(view.get(m, {}).get("step", "done") == "done" for view in views for m in machines)

    await trial.until(over, f"{machines} are done", seconds=90.0)
    await more(trial, "load")


def played(day: Scenario, folder: Path, story: Story) -> list[str]:
    """A story on a fleet whose voters all vote; what the judge finds in the end."""
    trial = ScenarioRun(day, folder)

    def voting() -> bool:
        return all(trial.view(name).get("swap", {}).get("votes") for name in ALL)

    async def scenario() -> None:
        try:
            await trial.start()
            await trial.until(voting, "all vote", seconds=280.0)
            await more(trial, "load", 5)
            await story(trial)
        finally:
            await trial.close()

    asyncio.run(scenario())
    return check_run(day, trial.ledgers()).findings


async def one_after_another(trial: ScenarioRun) -> None:
    """All three are swapped by one request at one of them, one at a time."""
    await ask_for(trial, "n0", *ALL)
    left = set(ALL)
    while left:

        def out() -> set[str]:
            found = set[str]()
            for at in trial.running_instances():
                found |= {m for m, row in rows(trial, at).items() if row["step"] == "out" and m in left}
            return found

        await trial.until(lambda: bool(out()), "one is out", seconds=90.0)
        (machine,) = out()
        await replace(trial, machine)
        left.discard(machine)
        await more(trial, "cheap", 10)
    await done(trial, *ALL)


async def whoever_asked_dies(trial: ScenarioRun) -> None:
    """Whoever asked dies and comes back; the registers remember what was asked."""
    await ask_for(trial, "n0", "n1")
    await step(trial, "n1", "agreed", "moving", "draining", "out")
    await trial.apply(Fault(0.0, "kill", "n0"))
    # Danger: with n0 dead, n1 may go out only if it had drained before that was seen: on a busy machine this
    # story waited for good for a machine that rightly stayed, since a majority of voters must be up.
    await trial.apply(Fault(0.0, "start", "n0"))
    await replace(trial, "n1")
    await done(trial, "n1")


async def a_voter_is_dead(trial: ScenarioRun) -> None:
    """While one of three voters is dead no other goes out; the swap goes on once it is back."""
    await trial.apply(Fault(0.0, "kill", "n0"))

    def dead() -> bool:
        views = [trial.view(name).get("members", []) for name in ("n1", "n2")]
        return all({m["name"]: m["status"] for m in view}.get("n0") == "dead" for view in views)

    await trial.until(dead, "n0 is known to be dead", seconds=90.0)
    await ask_for(trial, "n2", "n1")
    await step(trial, "n1", "asked", "agreed", "moving", "draining")
    await more(trial, "cheap", 50)
    assert rows(trial, "n2")["n1"]["step"] != "out"
    await trial.apply(Fault(0.0, "start", "n0"))
    await replace(trial, "n1")
    await done(trial, "n1")


async def power_goes(trial: ScenarioRun) -> None:
    """The power goes while a machine is out; the registers remember, and the swap ends."""
    await ask_for(trial, "n2", "n1")
    await step(trial, "n1", "out")
    await trial.apply(Fault(0.0, "power", "*"))
    for name in ("e*", *ALL):
        await trial.apply(Fault(0.0, "start", name))
    await trial.until(lambda: all(recovery(trial, n).get("confirmed") for n in ALL), "they are back", 90.0)
    await done(trial, "n1")


async def contradicting(trial: ScenarioRun) -> None:
    """What can't be is refused by name; a second request on a machine under way is told who asked."""
    for words, said in (
        ({"machines": [{"name": "n9"}]}, "n9"),
        ({"machines": [{"zone": "q"}]}, "zone 'q'"),
        ({"machines": []}, "at least one"),
        ({"machines": [{"name": "n1"}], "most_out": 0}, "most_out"),
    ):
        found = await call(trial, "n0", call="swap", who="someone", **words)
        assert said in found.get("error", ""), found
    await ask_for(trial, "n0", "n1")
    await step(trial, "n1", "agreed", "moving", "draining", "out")
    await call(trial, "n2", call="swap", who="another", machines=[{"name": "n1", "new": "n7"}])

    def refused() -> bool:
        answers = trial.view("n2").get("swap", {}).get("answers", [])
        return any(a["who"] == "another" and "someone" in a["refused"] for a in answers)

    await trial.until(refused, "the second one is refused and told who asked first", seconds=90.0)
    await replace(trial, "n1")
    await done(trial, "n1")


@pytest.mark.parametrize(
    "story",
    [one_after_another, whoever_asked_dies, a_voter_is_dead, power_goes, contradicting],
    ids=lambda s: s.__name__,
)
def test_a_swap_on_processes(story: Story, tmp_path: Path) -> None:
    found = played(DAY, tmp_path, story)
    assert [f for f in found if not f.startswith("answers")] == []
