"""Runs a small fleet of processes through repeated power losses; each load that runs twice is a finding.

All processes are killed simultaneously at random times and lose the writes that were not synced. They are
restarted in a random order.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import random
import time
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Any

import msgspec

from cottonhold.emulator.fault_injection.client_model import ClientBehaviour, RequestClass
from cottonhold.emulator.fault_injection.event_log import LogLine, Mark
from cottonhold.emulator.fault_injection.harness import ScenarioRun, ScenarioRunError
from cottonhold.emulator.fault_injection.power_loss_tally import (
    LoadTally,
    observe_power_loss,
    timeline,
    unanswered,
)
from cottonhold.emulator.fault_injection.power_losses import PowerLoss, PowerLossGenerator, PowerLossMoment
from cottonhold.emulator.fault_injection.script import Fault, Scenario

RESULT_FILE = "cuts.json"
CLIENT_TIMEOUT_S = 5.0
LOAD_RETENTION_S = 2 * CLIENT_TIMEOUT_S + 10.0  # how long instances remember a load
SERVING_TIMEOUT_S = 60.0  # timeout until loads run after a restart, on a machine shared with other programs
# Unanswered attempts are findings only with at least this timeout, since a busy machine may delay the others,
# and only if the request was written within this time after the attempt began.
MIN_TIMEOUT_MS = 1400.0
MAX_SEND_DELAY_S = 0.3
FINAL_PHASE_S = 120.0  # time without power losses at the end of a scenario
# Time until load records are complete, and the loads that clients retried are no longer remembered.
SETTLE_S = LOAD_RETENTION_S + 4.0
LOG_POLL_INTERVAL_S = 0.1
STALL_CHECK_INTERVAL_S, MIN_STALL_S = 0.05, 0.25


def power_loss_scenario(seed: int) -> Scenario:
    """Return the scenario of a seed, which also determines the clients' behaviour."""
    draw = random.Random(seed)
    behaviour = ClientBehaviour(
        max_attempts=4,
        retries_unfinished_loads=True,
        retries_failed_loads=draw.random() < 0.5,
        response_timeout_ms=draw.choice((0.0, 1500.0)),
        failure_detection_ms=draw.choice((300.0, 1000.0)),
    )
    return Scenario(
        name=f"cuts-{seed}",
        description="power goes again and again",
        seed=seed,
        instances=4,
        engines_per_zone=1,
        requests_per_s=30.0,
        duration_s=600.0,
        instance_weights=(1, 1, 1, 1),
        request_classes=(
            RequestClass("cheap", 0.2, 2000.0, 20.0),
            RequestClass("load", 0.8, 1000 * CLIENT_TIMEOUT_S, 300.0, True),
        ),
        client_behaviour=behaviour,
        engine_traits={"work": 20.0, "classes": {"load": 15.0}, "servers": 4, "cold": 1.5, "warm": 1500.0},
        has_admission=True,
        has_state_folders=True,
    )


class PowerLossCounts(msgspec.Struct, array_like=True):
    """The counts of an ObservedPowerLoss, as written to the result file."""

    in_flight: int
    at_engines: int
    unreported: int
    answers: dict[str, int]


class PowerLossRunResult(
    msgspec.Struct,
    rename={
        "duplicates": "twice",
        "resent": "sent_again",
        "unanswered": "late",
        "recovery_times_s": "up",
        "moments": "cuts",
        "has_wrong_folder": "wrong",
        "has_instance_away": "away",
        "observed": "seen",
        "started_at": "begun",
    },
):
    """The result of a run, as written to its result file.

    Attributes:
        seed: Seed of the scenario.
        loads: Number of loads that clients sent.
        duplicates: Numbers of the loads that ran twice.
        resent: Number of loads that arrived at engines more than once.
        findings: Broken rules.
        unanswered: Number of attempts without an answer in time.
        recovery_times_s: For each restart, the time until loads began at engines again.
        moments: For each power loss, its PowerLossMoment.
        has_wrong_folder: For each power loss, whether a state folder was emptied or replaced by an old copy.
        has_instance_away: For each power loss, whether an instance was not restarted after it.
        observed: For each power loss, the counts of the loads that it interrupted.
        timeline: Power losses, as lines of text.
        started_at: When the load began, in seconds of the monotonic clock.
        marks: What the harness did to processes.
    """

    seed: int
    loads: int
    duplicates: list[int]
    resent: int
    findings: list[str]
    unanswered: int
    recovery_times_s: list[float]
    moments: list[str]
    has_wrong_folder: list[bool]
    has_instance_away: list[bool]
    observed: list[PowerLossCounts]
    timeline: list[str]
    started_at: float
    marks: list[Mark]


def read_result(path: Path) -> PowerLossRunResult:
    """Read a result file."""
    return msgspec.json.decode(path.read_bytes(), type=PowerLossRunResult)


class PowerLossRun(ScenarioRun):
    """One run with repeated power losses, and the contents of its logs so far.

    Args:
        scenario: The scenario to run; see `scenario_of`.
        folder: Folder for logs and results.
        has_ledger: Whether instances record loads on disk. Without records the run must find loads that ran
            twice, which shows that the check works.
        defect: Defect to start all instances with; see defects.py.
        forks: Whether engines and instances are forked from a process that has loaded their programs.
    """

    def __init__(
        self,
        scenario: Scenario,
        folder: Path,
        has_ledger: bool = True,
        defect: str = "",
        forks: bool = True,
    ) -> None:
        super().__init__(scenario, folder, forks=forks, defect=defect)
        self.has_ledger, self.tally = has_ledger, LoadTally()
        self.power_loss_times: list[float] = []
        self.power_losses: list[PowerLoss] = []
        self.findings: list[str] = []
        self.recovery_times_s: list[float] = []  # time from a restart until loads began at engines
        self.unanswered_count = 0
        self.stalls: list[tuple[float, float]] = []
        self._bytes_read: dict[str, int] = {}  # by name of the log

    async def run(self, count: int) -> PowerLossRunResult:
        """Run `count` power losses, or as many as the duration allows; write and return the result.

        Raises:
            ScenarioRunError: The fleet did not start.
        """
        watch = asyncio.create_task(self._watch_stalls())
        try:
            await self.start()
            await self._play_power_losses(count)
            ended_at = time.monotonic()
        finally:
            watch.cancel()
            await self.close()
        self.read_logs()
        self._find_unanswered(ended_at - CLIENT_TIMEOUT_S - 1.0)
        result = self._result()
        (self.folder / RESULT_FILE).write_bytes(msgspec.json.encode(result))
        return result

    async def _play_power_losses(self, count: int) -> None:
        seed = self.scenario.seed
        restart = asyncio.create_task(asyncio.sleep(0.0))
        restarted_at = time.monotonic()
        for power_loss in PowerLossGenerator(seed, self.scenario.instance_names()).power_losses(count):
            if time.monotonic() - self.started_at > self.scenario.duration_s - FINAL_PHASE_S:
                break  # the clients are about to end
            await self._wait_for_moment(power_loss, restart, restarted_at)
            restart.cancel()
            self._inject_power_loss(power_loss)
            await asyncio.sleep(power_loss.outage_s)
            restarted_at = time.monotonic()
            restart = asyncio.create_task(self._restart(power_loss))
            print(f"seed {seed}: {power_loss}; loads {len(self.tally.loads)}", flush=True)
        await restart
        await self._wait_until_loads_run(restarted_at)
        await asyncio.sleep(CLIENT_TIMEOUT_S + 2.0)
        await self._wait_until_all_send_loads()

    def instance_config(self, name: str) -> dict[str, Any]:
        """Return the configuration of an instance, with or without a ledger of loads."""
        config = super().instance_config(name)
        if not self.has_ledger:
            del config["state_dir"]
        for query_class in config["classes"]:
            if query_class["loads"] and self.has_ledger:
                query_class["again"] = "served"
        return config

    async def until(
        self, condition: Callable[[], bool], what: str, seconds: float = SERVING_TIMEOUT_S
    ) -> None:
        """Wait as ScenarioRun.until does, with a longer default timeout."""
        await super().until(condition, what, seconds)

    def read_logs(self) -> None:
        """Read the new lines of all logs, and add a finding for each load that ran twice."""
        self.tally.on_client_lines(self._new_lines("clients"))
        known = len(self.tally.duplicates)
        for name in self.scenario.engine_names():
            self.tally.on_engine_lines(name, self._new_lines(name))
        for number in self.tally.duplicates[known:]:
            load_timeline = timeline(self.tally.load(number), self.started_at, self.marks)
            self._add_finding(f"twice: load {number}", *load_timeline)

    def _new_lines(self, name: str) -> list[LogLine]:
        """Return the complete lines that were added to a log since the last call."""
        path = self.folder / f"{name}.jsonl"
        if not path.exists():
            return []
        bytes_read = self._bytes_read.get(name, 0)
        with path.open("rb") as file:
            file.seek(bytes_read)
            data = file.read()
        complete = data[: data.rfind(b"\n") + 1]
        self._bytes_read[name] = bytes_read + len(complete)
        lines = []
        for line in complete.splitlines():
            with contextlib.suppress(ValueError):  # a line that was cut short when its process was killed
                lines.append(json.loads(line))
        return lines

    def _add_finding(self, what: str, *details: str) -> None:
        """Record a finding, and print it with its seed and timeline."""
        self.findings.append(what)
        where = f"seed {self.scenario.seed}, after cut {len(self.power_loss_times)}"
        print(f"FOUND {where}: {what}", *details, sep="\n  ", flush=True)

    def _instances_up(self) -> tuple[str, ...]:
        """Return the instances that were restarted after the last power loss, or all before the first one."""
        if self.power_losses:
            return self.power_losses[-1].order
        return tuple(self.scenario.instance_names())

    async def _wait_until_loads_run(self, since: float) -> None:
        """Wait until a load begins at an engine; record the recovery time, or a finding if none begins."""
        deadline = time.monotonic() + SERVING_TIMEOUT_S
        while not any(e.began_at > since for load in self.tally.loads.values() for e in load.executions[-1:]):
            if time.monotonic() > deadline:
                views = {n: self.view(n).get("recovery") for n in self.running_instances()}
                self._add_finding(f"no load ran for {SERVING_TIMEOUT_S:g} s", json.dumps(views))
                return
            await asyncio.sleep(LOG_POLL_INTERVAL_S)
            self.read_logs()
        self.recovery_times_s.append(time.monotonic() - since)

    async def _wait_until_one_is_up(self, names: Sequence[str]) -> None:
        """Wait until one of these instances responds at its local socket, or until the timeout."""

        def is_one_up() -> bool:
            return any(self.view(name) for name in names)

        with contextlib.suppress(ScenarioRunError):
            await self.until(is_one_up, "one instance is up")

    async def _wait_until_all_send_loads(self) -> None:
        """Wait until all restarted instances run and send loads; add a finding if they do not."""
        names = self._instances_up()

        def do_all_send() -> bool:
            if not self.has_ledger:
                return all(self.view(name) for name in names)
            views = [self.view(name).get("recovery", {}) for name in names]
            return all(view.get("sends_loads") for view in views)

        try:
            await self.until(do_all_send, "all send loads")
        except ScenarioRunError as error:
            views = {n: self.view(n).get("recovery", "no response") for n in names}
            self._add_finding(f"not recovered: {error}", json.dumps(views))

    async def _restart(self, power_loss: PowerLoss) -> None:
        """Restart engines and instances in the order and at the times of the power loss."""
        start_at = time.monotonic() + max(0.0, -power_loss.engine_delay_s)
        starts = [(start_at + power_loss.engine_delay_s, "e*")]
        for name, gap_s in zip(power_loss.order, power_loss.gaps_s, strict=True):
            start_at += gap_s
            starts.append((start_at, name))
        for at, name in sorted(starts):
            await asyncio.sleep(max(at - time.monotonic(), 0.0))
            await self.apply(Fault(0.0, "start", name))

    async def _wait_for_moment(
        self, power_loss: PowerLoss, restart: asyncio.Task[None], restarted_at: float
    ) -> None:
        """Wait until the moment of a power loss; save the backup and stall the disks before, if specified."""
        names = self._instances_up()
        if power_loss.moment is PowerLossMoment.RECOVERY:
            await self._wait_until_one_is_up(names)
        elif power_loss.moment is not PowerLossMoment.START:
            await restart
            await self._wait_until_loads_run(restarted_at)
        if power_loss.waits_until_settled:
            await restart
            await self._wait_until_all_send_loads()
            if power_loss.backup:
                self.machines.save_folder(power_loss.backup)
            await asyncio.sleep(SETTLE_S)
        await asyncio.sleep(power_loss.delay_s)
        if power_loss.stalled_s:
            for name in names:
                self.machines.set_disk(name, "stalled")
            await asyncio.sleep(power_loss.stalled_s)

    def _inject_power_loss(self, power_loss: PowerLoss) -> None:
        """Kill all processes, and change state folders, clocks and disks as the power loss specifies."""
        killed_at = time.monotonic()
        self.fault_injector.simulate_power_loss("*")
        self.read_logs()
        self.tally.on_power_loss(killed_at)
        self.power_loss_times.append(killed_at)
        self.power_losses.append(power_loss)
        self.timeline.append(f"{killed_at - self.started_at:8.2f} s  {power_loss}")
        machines = self.machines
        for name, change in (
            (power_loss.emptied, machines.empty_folder),
            (power_loss.restored, machines.restore_old_folder),
            (power_loss.backup, machines.restore_old_folder),
            (power_loss.copied, machines.save_folder),
        ):
            if name:
                change(name)
        machines.clock_offsets_s = dict(power_loss.clock_offsets_s)
        for name in self.scenario.instance_names():
            seed = power_loss.number * 10 + int(name[1:])
            machines.set_disk(name, "well", leak=power_loss.leak_share, seed=seed)

    async def _watch_stalls(self) -> None:
        """Record the times in which this process was not scheduled."""
        while True:
            before = time.monotonic()
            await asyncio.sleep(STALL_CHECK_INTERVAL_S)
            if (now := time.monotonic()) > before + MIN_STALL_S:
                self.stalls.append((before, now))

    def _find_unanswered(self, until: float) -> None:
        """Count attempts without an answer; add a finding for each that no stall of the harness explains."""
        self.unanswered_count = len(unanswered(self.tally, self.power_loss_times, until))
        for attempt in unanswered(self.tally, self.power_loss_times, until, self.stalls):
            is_sent_in_time = attempt.sent_at < attempt.started_at + MAX_SEND_DELAY_S
            if attempt.timeout_ms >= MIN_TIMEOUT_MS and is_sent_in_time:
                where = f"ref {attempt.request_id} at n{attempt.instance}"
                self._add_finding(f"no answer within {attempt.timeout_ms} ms: {where}")

    def _result(self) -> PowerLossRunResult:
        ends = [*self.power_loss_times[1:], float("inf")]
        observed = [
            observe_power_loss(self.tally, at, end)
            for at, end in zip(self.power_loss_times, ends, strict=True)
        ]
        return PowerLossRunResult(
            seed=self.scenario.seed,
            loads=len(self.tally.loads),
            duplicates=self.tally.duplicates,
            resent=sum(len(load.arrivals) > 1 for load in self.tally.loads.values()),
            findings=self.findings,
            unanswered=self.unanswered_count,
            recovery_times_s=self.recovery_times_s,
            moments=[loss.moment.value for loss in self.power_losses],
            has_wrong_folder=[
                bool(loss.emptied or loss.restored or loss.backup) for loss in self.power_losses
            ],
            has_instance_away=[bool(loss.absent) for loss in self.power_losses],
            observed=[
                PowerLossCounts(o.in_flight, o.at_engines, o.unreported, dict(o.answers)) for o in observed
            ],
            timeline=self.timeline,
            started_at=self.started_at,
            marks=self.marks,
        )
