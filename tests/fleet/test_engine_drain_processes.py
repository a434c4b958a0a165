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
from tests.fleet.test_recovery_processes import ALL, served_count
from tests.fleet.test_recovery_processes import DAY as POWER
from tests.fleet.test_rolling_replacement_processes import play_case, replacement_rows, send_call

# Tests that start several processes slow one another, which looks like a fault: few run side by side.
pytestmark = [pytest.mark.processes, pytest.mark.xdist_group("replacement processes")]

# Little load: on a machine that is busy with other things zones look slow, and nothing starts meanwhile.
DAY = msgspec.structs.replace(POWER, name="swap of engines", duration_s=580.0, requests_per_s=20.0)
TIMEOUT_S = 280.0  # s until a state that does not come is an error
ENGINES = ("a0", "b0", "c0")
END_EVENTS = {"done", "drop", "broke", "crashed", "overload"}
FleetCase = Callable[[ScenarioRun], Coroutine[Any, Any, None]]


def requests_received(run: ScenarioRun, engine: str, since: float = 0.0) -> list[str]:
    """Return the ids of the requests that an engine received after a time."""
    return [line[2] for line in run.logs().engines[engine] if line[1] == "get" and line[0] > since]


def unfinished(run: ScenarioRun, engine: str) -> set[str]:
    """Return what an engine's present process received and has not ended."""
    remaining = set[str]()
    for line in run.logs().engines[engine]:
        if line[1] == "start":
            remaining.clear()
        elif line[1] == "get":
            remaining.add(line[2])
        elif line[1] in END_EVENTS:
            remaining.discard(line[2])
    return remaining


async def request_replacement(run: ScenarioRun, at: str, *machines: dict[str, Any]) -> None:
    found = await send_call(run, at, call="swap", who="someone", machines=list(machines))
    assert "error" not in found, found


async def serve_more(run: ScenarioRun, kind: str, count: int) -> None:
    """Wait until so many more of a class are served."""
    before = served_count(run, kind)
    await run.until(lambda: served_count(run, kind) >= before + count, f"{kind} served", seconds=TIMEOUT_S)


async def until_done(run: ScenarioRun, *engines: str) -> None:
    """Wait until the replacement of these is over for all, and loads are served."""

    def over() -> bool:
        views = [replacement_rows(run, name) for name in run.running_instances()]
        return all(view.get(e, {}).get("step", "done") == "done" for view in views for e in engines)

    await run.until(over, f"{engines} are done", seconds=TIMEOUT_S)
    await serve_more(run, "load", 10)


async def until_all_report(run: ScenarioRun, engine: str, what: str, *values: object) -> None:
    """Wait until all running instances report the same of an engine's replacement."""

    def reported() -> bool:
        views = [replacement_rows(run, name).get(engine, {}) for name in run.running_instances()]
        return all(view.get(what) in values for view in views)

    await run.until(reported, f"{engine}'s {what} is {values}", seconds=TIMEOUT_S)


async def until_one_is_out(run: ScenarioRun, remaining: set[str]) -> str:
    """Wait until any of these is out, as all report; return it."""

    def out() -> set[str]:
        views = [replacement_rows(run, name) for name in run.running_instances()]
        return {e for e in remaining if all(v.get(e, {}).get("step") == "out" for v in views)}

    await run.until(lambda: bool(out()), f"one of {sorted(remaining)} is out", seconds=TIMEOUT_S)
    (engine,) = out()
    return engine


async def replace_engine(run: ScenarioRun, engine: str, since: float) -> None:
    """Power the engine off, which interrupts nothing, and start another in its place."""
    assert not requests_received(run, engine, since) and not unfinished(run, engine)
    await run.apply(Fault(0.0, "kill", engine))
    await until_all_report(run, engine, "away", True)
    await run.apply(Fault(0.0, "start", engine))


async def one_by_one(run: ScenarioRun) -> None:
    """All engines by one request, two of them as zones; the others serve all the while."""
    await request_replacement(run, "n0", {"zone": "a"}, {"name": "c0", "cores": 2}, {"zone": "b"})
    remaining = set(ENGINES)
    while remaining:
        engine = await until_one_is_out(run, remaining)
        since = time.monotonic()
        await serve_more(run, "cheap", 15)
        await replace_engine(run, engine, since)
        remaining.discard(engine)
    await until_done(run, *ENGINES)
    for engine in ENGINES:
        assert sum(line[1] == "start" for line in run.logs().engines[engine]) == 2


async def aborted(run: ScenarioRun) -> None:
    """A swap is aborted while the engine drains: it serves again, the same process."""
    await run.apply(Fault(0.0, "traits", "a0", options={"slow": 40.0}))
    await serve_more(run, "cheap", 5)
    await request_replacement(run, "n1", {"name": "a0"})
    await until_all_report(run, "a0", "step", "draining", "out")
    await run.apply(Fault(0.0, "traits", "a0", options={"slow": 1.0}))
    found = await send_call(run, "n2", call="abort", who="someone", why="no crane", machine="a0")
    assert "error" not in found, found

    def over() -> bool:
        views = [replacement_rows(run, name) for name in run.running_instances()]
        return all(view.get("a0", {}).get("step", "aborted") == "aborted" for view in views)

    await run.until(over, "it is aborted", seconds=TIMEOUT_S)
    before = len(requests_received(run, "a0"))
    await run.until(
        lambda: len(requests_received(run, "a0")) > before + 10, "it gets work again", seconds=TIMEOUT_S
    )


async def the_driver_is_killed(run: ScenarioRun) -> None:
    """Whoever drives the swap is killed while the engine drains, and comes back while it is out."""
    await run.apply(Fault(0.0, "traits", "b0", options={"slow": 20.0}))
    await serve_more(run, "cheap", 5)
    await request_replacement(run, "n0", {"name": "b0"})
    await until_all_report(run, "b0", "step", "draining", "out")
    driver = replacement_rows(run, "n0")["b0"]["driver"]
    assert driver in ALL
    # An instance that is killed before it has drained itself knows of no drain when it is started again.
    await run.until(
        lambda: replacement_rows(run, driver)["b0"]["drained"], "it has drained", seconds=TIMEOUT_S
    )
    await run.apply(Fault(0.0, "kill", driver))
    await until_all_report(run, "b0", "step", "out")
    since = time.monotonic()
    await run.apply(Fault(0.0, "start", driver))
    await run.until(lambda: driver in run.running_instances(), "it is there", seconds=TIMEOUT_S)
    await until_all_report(run, "b0", "drained", True)
    await serve_more(run, "cheap", 20)
    await replace_engine(run, "b0", since)
    await until_done(run, "b0")


async def invalid_requests(run: ScenarioRun) -> None:
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
        found = await send_call(run, "n0", call="swap", who="someone", machines=machines)
        assert said in found.get("error", ""), (machines, found.get("error"))


@pytest.mark.parametrize(
    "case", [one_by_one, aborted, the_driver_is_killed, invalid_requests], ids=lambda case: case.__name__
)
def test_engines_in_a_swap_on_processes(case: FleetCase, tmp_path: Path) -> None:
    found = play_case(DAY, tmp_path, case)
    assert [f for f in found if not f.startswith("answers")] == []
