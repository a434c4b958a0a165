"""Rolling replacement of engines under load, on several real processes; no times are checked.

The conditions are checked with the logs of the engines: from step OUT until it is powered off, an engine
receives no requests and has none running.
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
from tests.fleet.test_recovery_processes import SCENARIO as POWER_LOSS
from tests.fleet.test_rolling_replacement_processes import play_case, replacement_rows, send_call

# Tests that start several processes slow each other down, which may look like a fault, so few run in
# parallel.
pytestmark = [pytest.mark.processes, pytest.mark.xdist_group("replacement processes")]

# A low load, since zones look slow on a busy machine, and no replacement starts meanwhile.
SCENARIO = msgspec.structs.replace(POWER_LOSS, name="swap of engines", duration_s=580.0, requests_per_s=20.0)
TIMEOUT_S = 280.0  # maximum time to wait for a state
ENGINES = ("a0", "b0", "c0")
END_EVENTS = {"done", "drop", "broke", "crashed", "overload"}
FleetCase = Callable[[ScenarioRun], Coroutine[Any, Any, None]]


def requests_received(run: ScenarioRun, engine: str, since: float = 0.0) -> list[str]:
    """Return the ids of the requests that an engine received after a time."""
    return [line[2] for line in run.logs().engines[engine] if line[1] == "get" and line[0] > since]


def unfinished(run: ScenarioRun, engine: str) -> set[str]:
    """Return the ids of the requests that an engine's current process received and has not ended."""
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
    answer = await send_call(run, at, call="swap", who="someone", machines=list(machines))
    assert "error" not in answer, answer


async def serve_more(run: ScenarioRun, kind: str, count: int) -> None:
    """Wait until this many more requests of a class have been served."""
    before = served_count(run, kind)
    await run.until(lambda: served_count(run, kind) >= before + count, f"{kind} served", seconds=TIMEOUT_S)


async def until_done(run: ScenarioRun, *engines: str) -> None:
    """Wait until all instances report that these engines' replacement has ended, and loads are served."""

    def over() -> bool:
        views = [replacement_rows(run, name) for name in run.running_instances()]
        return all(view.get(e, {}).get("step", "done") == "done" for view in views for e in engines)

    await run.until(over, f"{engines} are done", seconds=TIMEOUT_S)
    await serve_more(run, "load", 10)


async def until_all_report(run: ScenarioRun, engine: str, field: str, *values: object) -> None:
    """Wait until all running instances report one of these values in a field of an engine's replacement."""

    def reported() -> bool:
        views = [replacement_rows(run, name).get(engine, {}) for name in run.running_instances()]
        return all(view.get(field) in values for view in views)

    await run.until(reported, f"{engine}'s {field} is {values}", seconds=TIMEOUT_S)


async def until_an_engine_is_out(run: ScenarioRun, remaining: set[str]) -> str:
    """Wait until all running instances report that one of these engines is out, and return it."""

    def engines_out() -> set[str]:
        views = [replacement_rows(run, name) for name in run.running_instances()]
        return {e for e in remaining if all(v.get(e, {}).get("step") == "out" for v in views)}

    await run.until(lambda: bool(engines_out()), f"one of {sorted(remaining)} is out", seconds=TIMEOUT_S)
    (engine,) = engines_out()
    return engine


async def replace_engine(run: ScenarioRun, engine: str, since: float) -> None:
    """Power an idle engine off and start another one in its place."""
    assert not requests_received(run, engine, since) and not unfinished(run, engine)
    await run.apply(Fault(0.0, "kill", engine))
    await until_all_report(run, engine, "away", True)
    await run.apply(Fault(0.0, "start", engine))


async def one_by_one(run: ScenarioRun) -> None:
    """All engines are replaced by one request, some selected by zone; the others serve meanwhile."""
    await request_replacement(run, "n0", {"zone": "a"}, {"name": "c0", "cores": 2}, {"zone": "b"})
    remaining = set(ENGINES)
    while remaining:
        engine = await until_an_engine_is_out(run, remaining)
        since = time.monotonic()
        await serve_more(run, "cheap", 15)
        await replace_engine(run, engine, since)
        remaining.discard(engine)
    await until_done(run, *ENGINES)
    for engine in ENGINES:
        assert sum(line[1] == "start" for line in run.logs().engines[engine]) == 2


async def aborted(run: ScenarioRun) -> None:
    """A replacement is aborted while the engine drains: the same process serves again."""
    await run.apply(Fault(0.0, "traits", "a0", options={"slow": 40.0}))
    await serve_more(run, "cheap", 5)
    await request_replacement(run, "n1", {"name": "a0"})
    await until_all_report(run, "a0", "step", "draining", "out")
    await run.apply(Fault(0.0, "traits", "a0", options={"slow": 1.0}))
    answer = await send_call(run, "n2", call="abort", who="someone", why="no crane", machine="a0")
    assert "error" not in answer, answer

    def over() -> bool:
        views = [replacement_rows(run, name) for name in run.running_instances()]
        return all(view.get("a0", {}).get("step", "aborted") == "aborted" for view in views)

    await run.until(over, "it is aborted", seconds=TIMEOUT_S)
    before = len(requests_received(run, "a0"))
    await run.until(
        lambda: len(requests_received(run, "a0")) > before + 10, "it gets work again", seconds=TIMEOUT_S
    )


async def the_driver_is_killed(run: ScenarioRun) -> None:
    """The driver of a replacement is killed while the engine drains, and restarted while it is out."""
    await run.apply(Fault(0.0, "traits", "b0", options={"slow": 20.0}))
    await serve_more(run, "cheap", 5)
    await request_replacement(run, "n0", {"name": "b0"})
    await until_all_report(run, "b0", "step", "draining", "out")
    driver = replacement_rows(run, "n0")["b0"]["driver"]
    assert driver in ALL
    # An instance that is killed before it has drained the engine would not know of the drain after its
    # restart.
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
    """Invalid requests are rejected with the reason."""
    for machines, expected_text in (
        ([{"name": "a9"}], "'a9' is no machine that is there"),
        ([{"zone": "q"}], "there are: a, b, c"),
        ([{"zone": "a"}, {"name": "a0"}], "'a0' is named twice"),
        ([{"name": "a0", "new": "b0"}], "'b0' is an engine that is in use already"),
        ([{"name": "a0", "new": "n1"}], "no machine of the kind"),
        ([{"zone": "a", "new": "x"}], "can't all become 'x'"),
        ([{"name": "a0", "cores": "many"}], "is no number"),
    ):
        answer = await send_call(run, "n0", call="swap", who="someone", machines=machines)
        assert expected_text in answer.get("error", ""), (machines, answer.get("error"))


@pytest.mark.parametrize(
    "case", [one_by_one, aborted, the_driver_is_killed, invalid_requests], ids=lambda case: case.__name__
)
def test_engine_replacement_on_processes(case: FleetCase, tmp_path: Path) -> None:
    findings = play_case(SCENARIO, tmp_path, case)
    assert [finding for finding in findings if not finding.startswith("answers")] == []
