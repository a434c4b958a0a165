"""Emulated operators, who request a rolling replacement and replace each machine once that is allowed."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING, Any

from cottonhold.emulator.fault_injection.event_log import MarkVerb
from cottonhold.emulator.fault_injection.script import Fault
from cottonhold.node.status import call_instance

if TYPE_CHECKING:
    from cottonhold.emulator.fault_injection.harness import ScenarioRun

POLL_INTERVAL_S = 0.2  # interval at which the instances' views are read
RETRY_INTERVAL_S = 1.0  # delay before an unanswered request is repeated
MAX_ATTEMPTS = 10
DEFAULT_ABSENCE_S = 1.5


class Operators:
    """Requests one rolling replacement at an instance, and replaces the machines as operators would.

    Args:
        run: The run.
        instance: Name of the instance that receives the request.
        options: Fields of the call. `machines` may also be a fault's target, such as `e*`, which is resolved
            to names. `gone` is the time for which an instance is absent, in s. With `empty`, instances
            return with an empty state folder.
    """

    def __init__(self, run: ScenarioRun, instance: str, options: dict[str, Any]) -> None:
        self.scenario_run, self.instance = run, instance
        self.absence_s = float(options.get("gone", DEFAULT_ABSENCE_S))
        self.empties_folder = bool(options.get("empty"))
        self.call: dict[str, Any] = {"call": "swap", "who": "rig"}
        self.call |= {name: value for name, value in options.items() if name not in ("gone", "empty")}
        if isinstance(self.call["machines"], str):
            self.call["machines"] = [
                {"name": name} for name in run.scenario.resolve_target(self.call["machines"])
            ]
        self.pending_machines: set[str] = set()

    async def run(self) -> None:
        """Send the request, then replace each machine as soon as the instances allow it."""
        if not await self._request_replacement():
            return
        while self.pending_machines:
            await asyncio.sleep(POLL_INTERVAL_S)
            for name, row in (await self._replacement_rows()).items():
                is_engine = self.scenario_run.processes.is_engine(name)
                may_change = row["ready"] if is_engine else row["step"] == "out"
                if name in self.pending_machines and may_change:
                    self.pending_machines.discard(name)
                    await (self._replace_engine(name) if is_engine else self._replace_instance(name))
        self.scenario_run.mark(MarkVerb.REPLACEMENT_DONE, "*")

    async def _request_replacement(self) -> bool:
        path = self.scenario_run.folder / f"{self.instance}.sock"
        for _ in range(MAX_ATTEMPTS):
            with contextlib.suppress(OSError, ValueError):
                answer: dict[str, Any] = await asyncio.to_thread(call_instance, path, self.call)
                result = str(answer.get("error", "asked"))
                self.scenario_run.mark(MarkVerb.REPLACEMENT_REQUESTED, result)
                self.scenario_run.timeline.append(f"replacement requested at {self.instance}: {result}")
                for machine in self.call["machines"]:
                    self.pending_machines.update(self._names_of(machine))
                return "error" not in answer
            await asyncio.sleep(RETRY_INTERVAL_S)
        return False

    def _names_of(self, machine: dict[str, Any]) -> list[str]:
        return self.scenario_run.scenario.resolve_target(
            machine["zone"] if "zone" in machine else machine["name"]
        )

    async def _replace_instance(self, name: str) -> None:
        """End an instance, and start it again after its absence."""
        await self.scenario_run.apply(Fault(0.0, "end", name))
        await asyncio.sleep(self.absence_s)
        if self.empties_folder:
            await self.scenario_run.apply(Fault(0.0, "empty", name))
        await self.scenario_run.apply(Fault(0.0, "start", name))

    async def _replace_engine(self, name: str) -> None:
        """Kill an engine, wait until the instances report its absence, and start a new one, which is cold."""
        await self.scenario_run.apply(Fault(0.0, "power", name))
        self.scenario_run.timeline.append(f"{name} was killed")
        while not (await self._replacement_rows()).get(name, {}).get("away", True):
            await asyncio.sleep(POLL_INTERVAL_S)
        await self.scenario_run.apply(Fault(0.0, "start", name))
        self.scenario_run.timeline.append(f"{name} was started again")

    async def _replacement_rows(self) -> dict[str, dict[str, Any]]:
        """Return a report on each machine; one that it is ready or absent takes precedence."""
        rows: dict[str, dict[str, Any]] = {}
        for name in self.scenario_run.running_instances():
            view = await asyncio.to_thread(self.scenario_run.view, name)
            for row in view.get("swap", {}).get("machines", []):
                if row["machine"] not in rows or row["ready"] or row.get("away"):
                    rows[row["machine"]] = row
        return rows
