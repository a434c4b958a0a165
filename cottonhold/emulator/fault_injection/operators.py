"""Operators of a day: they ask for a swap at a socket, and change hardware once they read that they may."""

from __future__ import annotations

import asyncio
import contextlib
import time
from typing import TYPE_CHECKING, Any

from cottonhold.emulator.fault_injection.script import Fault
from cottonhold.node.status import ask

if TYPE_CHECKING:
    from cottonhold.emulator.fault_injection.harness import ScenarioRun

POLL_INTERVAL_S = 0.2  # between two looks at the views
RETRY_INTERVAL_S = 1.0  # until one that could not be asked is asked again
MAX_ATTEMPTS = 10


class Operators:
    """One request, at one instance. words: those of the call, where `machines` may be a pattern of instances;
    `gone`: seconds for which an instance is away; `empty`: it comes back with an empty folder."""

    def __init__(self, trial: ScenarioRun, at: str, words: dict[str, Any]) -> None:
        self.trial, self.at = trial, at
        self.gone, self.empty = float(words.get("gone", 1.5)), bool(words.get("empty"))
        self.words = {word: value for word, value in words.items() if word not in ("gone", "empty")}
        if isinstance(self.words["machines"], str):
            self.words["machines"] = [{"name": n} for n in trial.day.pick(self.words["machines"])]
        self.left: set[str] = set()  # machines that are still to be changed

    async def run(self) -> None:
        """Ask, then look and change until all of it is over."""
        if not await self._request_replacement():
            return
        while self.left:
            await asyncio.sleep(POLL_INTERVAL_S)
            for name, row in (await self._rows()).items():
                engine = name in self.trial.ports
                if name in self.left and (row["ready"] if engine else row["step"] == "out"):
                    self.left.discard(name)
                    await (self._change(name) if engine else self._replace(name))
        self.trial.marks.append((time.monotonic(), "swapped", "*"))

    async def _request_replacement(self) -> bool:
        call = {"call": "swap", "who": "rig", **self.words}
        for _ in range(MAX_ATTEMPTS):
            with contextlib.suppress(OSError, ValueError):
                path = self.trial.folder / f"{self.at}.sock"
                answer: dict[str, Any] = await asyncio.to_thread(ask, path, call)
                said = str(answer.get("error", "asked"))
                self.trial.marks.append((time.monotonic(), "swap", said))
                self.trial.timeline.append(f"swap asked at {self.at}: {said}")
                self.left = {name for row in call["machines"] for name in self._named(row)}
                return "error" not in answer
            await asyncio.sleep(RETRY_INTERVAL_S)
        return False

    def _named(self, row: dict[str, Any]) -> list[str]:
        return self.trial.day.pick(row["zone"] if "zone" in row else row["name"])

    async def _replace(self, name: str) -> None:
        """An instance ends, and another machine comes under its name."""
        await self.trial.apply(Fault(0.0, "end", name))
        await asyncio.sleep(self.gone)
        if self.empty:
            await self.trial.apply(Fault(0.0, "empty", name))
        await self.trial.apply(Fault(0.0, "start", name))

    async def _rows(self) -> dict[str, dict[str, Any]]:
        """What any instance tells of each machine's swap; one that says that it is out comes first."""
        found: dict[str, dict[str, Any]] = {}
        for name in self.trial.running_instances():
            view = await asyncio.to_thread(self.trial.view, name)
            for row in view.get("swap", {}).get("machines", []):
                if row["machine"] not in found or row["ready"] or row.get("away"):
                    found[row["machine"]] = row
        return found

    async def _change(self, engine: str) -> None:
        """Off, until the instances have seen that, and on again: a new one, which is cold."""
        await self.trial.apply(Fault(0.0, "power", engine))
        self.trial.timeline.append(f"{engine} is taken out")
        while not (await self._rows()).get(engine, {}).get("away", True):
            await asyncio.sleep(POLL_INTERVAL_S)
        await self.trial.apply(Fault(0.0, "start", engine))
        self.trial.timeline.append(f"{engine} is in place")
