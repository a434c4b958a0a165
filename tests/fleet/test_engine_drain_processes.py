"""Engines in a rolling swap under load, on several real instances: states and counts, and no times.

What must hold is read from the engines' own ledgers: from OUT on until it is powered off an engine gets
nothing, and nothing is left running there.
"""

from __future__ import annotations

import time
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any

import msgspec
import pytest

from cottonhold.emulator.fault_injection.harness import ScenarioRun
from cottonhold.emulator.fault_injection.script import Fault
from tests.fleet.test_recovery_processes import ALL, served
from tests.fleet.test_recovery_processes import DAY as POWER
from tests.fleet.test_rolling_replacement_processes import call, played, rows

# Tests that start several processes slow one another, which looks like a fault: few run side by side.
pytestmark = [pytest.mark.processes, pytest.mark.xdist_group("replacement processes")]

# Little load: on a machine that is busy with other things zones look slow, and nothing starts meanwhile.
DAY = msgspec.structs.replace(POWER, name="swap of engines", seconds=580.0, rate=20.0)
LONG = 280.0  # s until a state that does not come is an error
ENGINES = ("a0", "b0", "c0")
ENDS = {"done", "drop", "broke", "crashed", "overload"}
Story = Callable[[ScenarioRun], Coroutine[Any, Any, None]]


def begun(trial: ScenarioRun, engine: str, since: float = 0.0) -> list[str]:
    """References of the requests that an engine got after a moment."""
    return [line[2] for line in trial.ledgers().engines[engine] if line[1] == "get" and line[0] > since]


def unfinished(trial: ScenarioRun, engine: str) -> set[str]:
    """What an engine's process of now got and has not ended."""
    left = set[str]()
    for line in trial.ledgers().engines[engine]:
        if line[1] == "start":
            left.clear()
        elif line[1] == "get":
            left.add(line[2])
        elif line[1] in ENDS:
            left.discard(line[2])
    return left


async def ask_for(trial: ScenarioRun, at: str, *machines: dict[str, Any]) -> None:
    found = await call(trial, at, call="swap", who="someone", machines=list(machines))
    assert "error" not in found, found


async def more(trial: ScenarioRun, kind: str, count: int) -> None:
    """So many more of a class are served."""
    before = served(trial, kind)
    await trial.until(lambda: served(trial, kind) >= before + count, f"{kind} served", seconds=LONG)


async def done(trial: ScenarioRun, *engines: str) -> None:
    """Their swaps are over for all, done or forgotten as such, and loads are served."""

    def over() -> bool:
        views = [rows(trial, name) for name in trial.running_instances()]
        return all(view.get(e, {}).get("step", "done") == "done" for view in views for e in engines)

    await trial.until(over, f"{engines} are done", seconds=LONG)
    await more(trial, "load", 10)


async def all_tell(trial: ScenarioRun, engine: str, what: str, *values: object) -> None:
    """All that are there tell the same of an engine's swap."""

    def told() -> bool:
        views = [rows(trial, name).get(engine, {}) for name in trial.running_instances()]
        return all(view.get(what) in values for view in views)

    await trial.until(told, f"{engine}'s {what} is {values}", seconds=LONG)


async def one_is_out(trial: ScenarioRun, left: set[str]) -> str:
    """Any of these is out, as all tell."""

    def out() -> set[str]:
        views = [rows(trial, name) for name in trial.running_instances()]
        return {e for e in left if all(v.get(e, {}).get("step") == "out" for v in views)}

    await trial.until(lambda: bool(out()), f"one of {sorted(left)} is out", seconds=LONG)
    (engine,) = out()
    return engine


async def replace(trial: ScenarioRun, engine: str, since: float) -> None:
    """It is powered off, which breaks nothing, and another process comes in its place."""
    assert not begun(trial, engine, since) and not unfinished(trial, engine)
    await trial.apply(Fault(0.0, "kill", engine))
    await all_tell(trial, engine, "away", True)
    await trial.apply(Fault(0.0, "start", engine))


async def one_by_one(trial: ScenarioRun) -> None:
    """All engines by one request, two of them as zones; the others serve all the while."""
    await ask_for(trial, "n0", {"zone": "a"}, {"name": "c0", "cores": 2}, {"zone": "b"})
    left = set(ENGINES)
    while left:
        engine = await one_is_out(trial, left)
        since = time.monotonic()
        await more(trial, "cheap", 15)
        await replace(trial, engine, since)
        left.discard(engine)
    await done(trial, *ENGINES)
    for engine in ENGINES:
        assert sum(line[1] == "start" for line in trial.ledgers().engines[engine]) == 2


async def aborted(trial: ScenarioRun) -> None:
    """A swap is aborted while the engine drains: it serves again, the same process."""
    await trial.apply(Fault(0.0, "traits", "a0", words={"slow": 40.0}))
    await more(trial, "cheap", 5)
    await ask_for(trial, "n1", {"name": "a0"})
    await all_tell(trial, "a0", "step", "draining", "out")
    await trial.apply(Fault(0.0, "traits", "a0", words={"slow": 1.0}))
    found = await call(trial, "n2", call="abort", who="someone", why="no crane", machine="a0")
    assert "error" not in found, found

    def over() -> bool:
        views = [rows(trial, name) for name in trial.running_instances()]
        return all(view.get("a0", {}).get("step", "aborted") == "aborted" for view in views)

    await trial.until(over, "it is aborted", seconds=LONG)
    before = len(begun(trial, "a0"))
    await trial.until(lambda: len(begun(trial, "a0")) > before + 10, "it gets work again", seconds=LONG)


async def the_driver_dies(trial: ScenarioRun) -> None:
    """Whoever drives the swap is killed while the engine drains, and comes back while it is out."""
    await trial.apply(Fault(0.0, "traits", "b0", words={"slow": 20.0}))
    await more(trial, "cheap", 5)
    await ask_for(trial, "n0", {"name": "b0"})
    await all_tell(trial, "b0", "step", "draining", "out")
    driver = rows(trial, "n0")["b0"]["driver"]
    assert driver in ALL
    # Danger: killed before it had drained itself, it knew of no drain as it came back, and sent on to it.
    await trial.until(lambda: rows(trial, driver)["b0"]["drained"], "it has drained", seconds=LONG)
    await trial.apply(Fault(0.0, "kill", driver))
    await all_tell(trial, "b0", "step", "out")
    since = time.monotonic()
    await trial.apply(Fault(0.0, "start", driver))
    await trial.until(lambda: driver in trial.running_instances(), "it is there", seconds=LONG)
    await all_tell(trial, "b0", "drained", True)
    await more(trial, "cheap", 20)
    await replace(trial, "b0", since)
    await done(trial, "b0")


async def refused(trial: ScenarioRun) -> None:
    """What can't be is refused, and says why."""
    for machines, said in (
        ([{"name": "a9"}], "'a9' is no machine that is there"),
        ([{"zone": "q"}], "there are: a, b, c"),
        ([{"zone": "a"}, {"name": "a0"}], "'a0' is named twice"),
        ([{"name": "a0", "new": "b0"}], "'b0' is an engine that is in use already"),
        ([{"name": "a0", "new": "n1"}], "no machine of the kind"),
        ([{"zone": "a", "new": "x"}], "can't all become 'x'"),
        ([{"name": "a0", "cores": "many"}], "is no number"),
    ):
        found = await call(trial, "n0", call="swap", who="someone", machines=machines)
        assert said in found.get("error", ""), (machines, found.get("error"))


@pytest.mark.parametrize(
    "story", [one_by_one, aborted, the_driver_dies, refused], ids=lambda story: story.__name__
)
def test_engines_in_a_swap_on_processes(story: Story, tmp_path: Path) -> None:
    found = played(DAY, tmp_path, story)
    assert [f for f in found if not f.startswith("answers")] == []
