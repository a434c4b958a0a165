"""Plays a scenario: starts the processes, injects the faults at their times, and collects the logs.

It ends only the processes that it started.
"""

from __future__ import annotations

import asyncio
import dataclasses
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import msgspec
import uvloop

from cottonhold.emulator.fault_injection.checker import check_run
from cottonhold.emulator.fault_injection.event_log import LogLine, Mark, MarkVerb, RunLogs, Verdict
from cottonhold.emulator.fault_injection.faults import FaultInjector
from cottonhold.emulator.fault_injection.instance_config import instance_config
from cottonhold.emulator.fault_injection.machines import Machines
from cottonhold.emulator.fault_injection.network import ScenarioNetwork
from cottonhold.emulator.fault_injection.processes import ScenarioProcesses
from cottonhold.emulator.fault_injection.run_folder import (
    CLIENT_LOG,
    SCENARIO_FILE,
    ownerless_times,
    read_engine_logs,
    read_log,
    write_result,
)
from cottonhold.emulator.fault_injection.script import (
    Fault,
    Scenario,
    check_scenario,
    encode_scenario,
)
from cottonhold.emulator.fault_injection.views import first_projected_costs, read_view, sees_all_alive
from cottonhold.emulator.fault_injection.waiting import StallMonitor, wait_until

START_TIMEOUT_S = 30.0
CLIENT_START_S = 0.5  # estimated time until the clients' process has started
# Time after the last request's patience within which the clients' process ends.
CLIENT_END_S = 5.0
PROJECTION_LEAD_S = 1.0  # time before a zone's outage at which the projected costs are read
POLL_INTERVAL_S = 0.1  # interval of the checks for faults that are due
Progress = Callable[[float, str], None]


class ScenarioRunError(Exception):
    """Raised when a scenario could not be played."""


@dataclass(slots=True)
class RunResult:
    """The result of a scenario that was played.

    Attributes:
        scenario: The scenario.
        folder: Folder of the logs.
        verdict: Findings and figures of the checker.
        timeline: Injected faults and what else the harness did, as lines of text.
        views: What each running instance reported at the end, by its name.
    """

    scenario: Scenario
    folder: Path
    verdict: Verdict
    timeline: list[str] = field(default_factory=list)
    views: dict[str, dict[str, Any]] = field(default_factory=dict)


class ScenarioRun:
    """One run of a scenario in a folder.

    Args:
        scenario: The scenario to play.
        folder: Folder for logs, configurations and results; created if it does not exist.
        on_progress: Called at each step with the share of the duration that has passed, and with the text of
            a fault that is injected, or an empty text.
        forks: Whether engines and instances are forked from a process that has loaded their programs.
        defect: Defect to start all instances with; see defects.py.

    Raises:
        ScriptError: The scenario is invalid.
    """

    def __init__(
        self,
        scenario: Scenario,
        folder: Path,
        on_progress: Progress = lambda share, text: None,
        forks: bool = False,
        defect: str = "",
    ) -> None:
        self.scenario, self.folder, self.on_progress = check_scenario(scenario), folder, on_progress
        self.network = ScenarioNetwork(scenario, self._on_link_event)
        self.machines = Machines(folder, defect=defect)
        self.processes = ScenarioProcesses(
            scenario, folder, self.machines, self.network.engine_ports, self.instance_config, forks
        )
        self.fault_injector = FaultInjector(self)
        self.stall_monitor = StallMonitor()
        self.marks: list[Mark] = []
        self.link_lines: list[LogLine] = []
        self.timeline: list[str] = []
        self.projected_costs: dict[str, Any] = {}
        self.started_at = 0.0  # time at which the load began

    async def play(self) -> RunResult:
        """Play the whole scenario, check it, and write its result.

        Raises:
            ScenarioRunError: A process did not start, or the instances did not find one another.
        """
        try:
            await self.start()
            await self._inject_faults()
            for name in self.processes.duplicates_running():
                self.mark(MarkVerb.DUPLICATE_RUNS, name)
            views = {name: self.view(name) for name in self.running_instances()}
        finally:
            await self.close()
        logs = self.logs()
        logs.ownerless_counts = ownerless_times(self.folder, views.values())
        verdict = check_run(self.scenario, logs)
        write_result(self.folder, self._result_fields(logs, verdict, views), self.link_lines)
        return RunResult(self.scenario, self.folder, verdict, self.timeline, views)

    def _result_fields(
        self, logs: RunLogs, verdict: Verdict, views: dict[str, dict[str, Any]]
    ) -> dict[str, Any]:
        switch = self.network.switch
        return {
            "begun": self.started_at,
            "begun_unix": self.started_at + time.time() - time.monotonic(),
            "marks": self.marks,
            "stalls": self.stall_monitor.stalls,
            "timeline": self.timeline,
            "verdict": dataclasses.asdict(verdict),
            "datagrams": {
                "passed": switch.forwarded,
                "lost": switch.dropped,
                "bytes": switch.bytes_forwarded,
            },
            "views": views,
            "told": self.projected_costs,
            "ownerless": list(logs.ownerless_counts.items()),
        }

    async def start(self) -> None:
        """Start engines and instances, and the load once all instances see one another alive.

        Raises:
            ScenarioRunError: An engine did not start, or the instances did not find one another in time.
        """
        self.folder.mkdir(parents=True, exist_ok=True)
        (self.folder / SCENARIO_FILE).write_bytes(encode_scenario(self.scenario))
        self.stall_monitor.start()
        await self.network.start()
        await self._start_engines()
        for name in self.scenario.instance_names():
            self.processes.start_instance(name)
        for name in (*self.scenario.engine_names(), *self.scenario.instance_names()):
            self.processes.prepare(name)
        warm_at = time.monotonic() + float(self.scenario.engine_traits.get("warm", 3000.0)) / 1000
        await self.until(self.all_members_alive, "all instances see one another alive")
        await asyncio.sleep(max(warm_at - time.monotonic(), 0.0))
        await self._start_clients()

    async def _start_engines(self) -> None:
        for name in self.scenario.engine_names():
            self.processes.start_engine(name)
        for name in self.scenario.engine_names():
            stdout = self.processes[name].stdout
            assert stdout is not None
            if not await asyncio.to_thread(stdout.readline):
                raise ScenarioRunError(f"{name} did not start: {(self.folder / f'{name}.log').read_text()}")

    async def _start_clients(self) -> None:
        self.started_at = time.monotonic() + CLIENT_START_S  # estimated until they have started
        clients = self.processes.start_clients(self.client_settings())
        assert clients.stdout is not None
        await asyncio.to_thread(clients.stdout.readline)
        self.started_at = time.monotonic()

    def client_settings(self) -> dict[str, Any]:
        """Return the settings of the clients' process; see client_model.Load."""
        scenario = self.scenario
        return {
            "ports": [link.port for link in self.network.client_links.values()],
            "rate": scenario.requests_per_s,
            "seconds": scenario.duration_s,
            "kinds": [msgspec.to_builtins(kind) for kind in scenario.request_classes],
            "weights": scenario.instance_weights[: scenario.instances],
            "ledger": str(self.folder / CLIENT_LOG),
            "seed": scenario.seed,
            "manner": msgspec.to_builtins(scenario.client_behaviour),
            "steps": scenario.rate_steps,
            "keys": scenario.key_count,
            "homes": scenario.instance_zones,
            "distance": scenario.zone_distances_ms,
        }

    def instance_config(self, name: str) -> dict[str, Any]:
        """Return the configuration of an instance."""
        addresses = self.network.addresses(name)
        return instance_config(self.scenario, name, addresses, self.machines.state_folder(name))

    async def _inject_faults(self) -> None:
        """Inject each fault at its time, until the clients have ended."""
        scenario = self.scenario
        faults = sorted(scenario.faults, key=lambda fault: fault.at_s)
        max_patience_s = max(kind.patience_ms for kind in scenario.request_classes) / 1000
        end_s = scenario.duration_s + max_patience_s + CLIENT_END_S
        while (now := time.monotonic() - self.started_at) < end_s:
            progress = min(now / scenario.duration_s, 1.0)
            while faults and faults[0].at_s <= now:
                fault = faults.pop(0)
                self.timeline.append(str(fault))
                self.on_progress(progress, str(fault))
                await self.apply(fault)
            if not faults and not self.processes.is_running("clients"):
                return
            if self._should_read_projection(now):
                self.projected_costs = await asyncio.to_thread(self._read_projected_costs)
            self.on_progress(progress, "")
            await asyncio.sleep(min(faults[0].at_s - now, POLL_INTERVAL_S) if faults else POLL_INTERVAL_S)

    def _should_read_projection(self, now: float) -> bool:
        if not self.scenario.instance_zones or self.projected_costs:
            return False
        return self.scenario.outage_at_s - PROJECTION_LEAD_S <= now < self.scenario.outage_at_s

    def _read_projected_costs(self) -> dict[str, Any]:
        return first_projected_costs(self.view(name) for name in self.running_instances())

    async def apply(self, fault: Fault) -> None:
        """Inject one fault."""
        await self.fault_injector.apply(fault)

    def mark(self, verb: str, name: str, at: float | None = None) -> None:
        """Record what was done to a process, at a time of the monotonic clock or, without `at`, now."""
        self.marks.append(Mark(time.monotonic() if at is None else at, verb, name))

    async def until(self, condition: Callable[[], bool], what: str, seconds: float = START_TIMEOUT_S) -> None:
        """Wait until a condition holds.

        Args:
            condition: Function that returns whether the condition holds; it may block.
            what: Description of the condition, for the error.
            seconds: Timeout, in s.

        Raises:
            ScenarioRunError: The condition did not hold within the time.
        """
        if not await wait_until(condition, seconds):
            raise ScenarioRunError(f"{what}: not within {seconds:g} s (logs in {self.folder})")

    def view(self, name: str) -> dict[str, Any]:
        """Return an instance's view of the fleet from its local socket; empty if it does not respond."""
        return read_view(self.folder, name)

    def running_instances(self) -> list[str]:
        """Return the names of the instances that have neither ended nor been stopped."""
        stopped = {mark.name for mark in self.marks if mark.verb == MarkVerb.STOP}
        stopped -= {mark.name for mark in self.marks if mark.verb == MarkVerb.CONTINUE}
        return [
            name
            for name in self.scenario.instance_names()
            if name not in stopped and self.processes.is_running(name)
        ]

    def all_members_alive(self) -> bool:
        """Return whether each instance sees all others alive."""
        names = self.scenario.instance_names()
        return all(sees_all_alive(self.view(name), name, names) for name in names)

    def logs(self) -> RunLogs:
        """Return the logs of engines, clients and links so far."""
        return RunLogs(
            read_engine_logs(self.folder, self.scenario),
            read_log(self.folder / CLIENT_LOG),
            self.started_at,
            self.marks,
            self.link_lines,
            self.stall_monitor.stalls,
            projected_costs=self.projected_costs,
        )

    def _on_link_event(self, instance: str, engine: str, event: str, request_id: str) -> None:
        self.link_lines.append([time.monotonic(), event, request_id, instance, engine])

    def kill_all(self) -> None:
        """Kill every process that was started; repeated calls have no effect."""
        self.processes.kill_all()

    async def close(self) -> None:
        """End all processes, background faults and links."""
        self.fault_injector.stop()
        self.stall_monitor.stop()
        self.kill_all()
        await self.network.stop()


def play(scenario: Scenario, folder: Path, on_progress: Progress = lambda share, text: None) -> RunResult:
    """Play a scenario in a folder, in an event loop of its own.

    Args:
        scenario: The scenario to play.
        folder: Folder for logs and results.
        on_progress: Called with the share of the duration that has passed, and the text of an injected fault.

    Raises:
        ScenarioRunError: The scenario could not be played.
        ScriptError: The scenario is invalid.
    """
    run = ScenarioRun(scenario, folder, on_progress, forks=scenario.has_state_folders)
    try:
        return uvloop.run(run.play())
    finally:
        run.kill_all()
