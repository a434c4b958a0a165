"""Puts a day together from processes, plays its faults, and keeps what was seen. Ends only what it
started.
"""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import itertools
import json
import math
import os
import re
import socket
import subprocess
import sys
import time
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import msgspec
import uvloop

from cottonhold.emulator.consul.server import Server
from cottonhold.emulator.fault_injection.checker import check_run
from cottonhold.emulator.fault_injection.clients import Load
from cottonhold.emulator.fault_injection.event_log import LogLine, RunLogs, Verdict
from cottonhold.emulator.fault_injection.faults import KEY, Faults, link_of
from cottonhold.emulator.fault_injection.links import DatagramSwitch, TcpLink
from cottonhold.emulator.fault_injection.machines import Machines
from cottonhold.emulator.fault_injection.parent_death_signal import WAIT_FOR_SETTINGS
from cottonhold.emulator.fault_injection.script import (
    Fault,
    Scenario,
    check_scenario,
    decode_scenario,
    encode_scenario,
)
from cottonhold.emulator.fault_injection.worker_pool import PROGRAMS, Process, WorkerPool
from cottonhold.emulator.process_fleet import free_ports
from cottonhold.node.status import ask

START_TIMEOUT_S = 30.0
HEALTH_CHECK_INTERVAL_MS = 500
PROJECTION_LEAD_S = 1.0  # so long before a zone is out what is foretold of it is kept
# The rig's own beat, and how late it may be before that is a stall: two turns that leave no trace stay
# together below the judge's moment.
STALL_CHECK_INTERVAL_S, MIN_STALL_S = 0.02, 0.02
FINAL_OWNERLESS_LOG = re.compile(rb"session_affinity_ended.* ownerless=\"?([0-9:,a-z]+)")
Progress = Callable[[float, str], None]


class ScenarioRunError(Exception):
    """A day that could not be played."""


@dataclass(slots=True)
class RunResult:
    """A played day: where its ledgers are, and what the judge says."""

    day: Scenario
    folder: Path
    verdict: Verdict
    timeline: list[str] = field(default_factory=list)
    views: dict[str, dict[str, Any]] = field(default_factory=dict)


class ScenarioRun:
    """One run of a day in a folder. forks: engines and instances are forked from one that has them loaded."""

    def __init__(
        self, day: Scenario, folder: Path, progress: Progress = lambda share, text: None, forks: bool = False
    ) -> None:
        self.day, self.folder, self.progress = check_scenario(day), folder, progress
        self.processes: dict[str, Process] = {}
        self.prepared: dict[str, Process] = {}  # loaded, and waiting to be told to start
        self.engine_links: dict[str, TcpLink] = {}  # "n0>a1": the link from an instance to an engine
        self.client_links: dict[str, TcpLink] = {}
        self.source_links: dict[str, TcpLink] = {}
        self.consuls: dict[str, Server] = {}
        self.ports = dict(zip(day.engine_names(), free_ports(len(day.engine_names()), socket.SOCK_STREAM)))  # noqa: B905
        self.listens = free_ports(day.instances, socket.SOCK_STREAM)
        self.switch = DatagramSwitch(free_ports(day.instances, socket.SOCK_DGRAM), day.seed)
        self.machines = Machines(folder)
        self.marks: list[tuple[float, str, str]] = []
        self.sends: list[LogLine] = []
        self.stalls: list[tuple[float, float]] = []
        self.stall_watch: asyncio.Task[None] | None = None
        self.timeline: list[str] = []
        self.faults = Faults(self)
        self.started_at = 0.0
        self.projection: dict[str, Any] = {}
        self.worker_pool = WorkerPool() if forks else None

    # --- processes ---

    def _spawn(self, name: str, program: list[str], **streams: Any) -> Process:
        process = self.processes[name] = self._start_process(name, program, **streams)
        return process

    def _start_process(self, name: str, program: list[str], **streams: Any) -> Process:
        guard = [
            sys.executable,
            "-m",
            "cottonhold.emulator.fault_injection.parent_death_signal",
            str(os.getpid()),
            sys.executable,
        ]
        with (self.folder / f"{name}.log").open("ab") as log:
            if self.worker_pool is not None and program[1] in PROGRAMS:
                return self.worker_pool.start(program[1], program[2:], log, bool(streams))
            return subprocess.Popen([*guard, *program], stderr=log, **streams)

    def prepare(self, name: str) -> None:
        """Load the program of a process that a later fault starts.

        Fifteen processes that load at once on a shared machine are up 5 s later, which would be told as the
        fleet's own slowness.
        """
        again = any(f.verb == "start" and name in self.day.pick(f.target) for f in self.day.faults)
        if self.day.state and again and name not in self.prepared and self.worker_pool is None:
            engine = name in self.ports
            program = [
                "-m",
                f"cottonhold.emulator.fault_injection.{'engine' if engine else 'instance'}",
                WAIT_FOR_SETTINGS,
            ]
            stdout = subprocess.PIPE if engine else None  # nobody reads what an instance prints
            self.prepared[name] = self._start_process(name, program, stdin=subprocess.PIPE, stdout=stdout)

    def _release(self, name: str, settings: object) -> bool:
        """Start a process that was prepared, if one was."""
        process = self.prepared.pop(name, None)
        if process is None or process.poll() is not None or process.stdin is None:
            return False
        process.stdin.write(json.dumps(settings).encode() + b"\n")
        process.stdin.flush()
        self.processes[name] = process
        return True

    def start_engine(self, name: str) -> None:
        """An engine from nothing, at its port."""
        number = self.day.engine_names().index(name)
        settings = {
            "id": name,
            "port": self.ports[name],
            "ledger": str(self.folder / f"{name}.jsonl"),
            "traits": self.day.traits,
            "seed": self.day.seed * 100 + number,
        }
        if not self._release(name, settings):
            program = ["-m", "cottonhold.emulator.fault_injection.engine", json.dumps(settings)]
            self._spawn(name, program, stdin=subprocess.PIPE, stdout=subprocess.PIPE)

    def start_instance(self, name: str) -> None:
        """An instance at its addresses; from nothing, if it has no state folder."""
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(self._config(name)))
        if not self._release(name, [str(path), self.machines.start(name) if self.day.state else {}]):
            self._spawn(name, self._program(name, path))

    def _program(self, name: str, path: Path) -> list[str]:
        if not self.day.state:
            return ["-m", "cottonhold.cli.main", "serve", "--config", str(path)]
        machine = json.dumps(self.machines.start(name))
        return ["-m", "cottonhold.emulator.fault_injection.instance", str(path), machine]

    def start_duplicate(self, name: str) -> None:
        """A second process that takes the same state folder to be its own. Its datagrams reach nobody, since
        they come from no address that was told."""
        other, path = f"{name}-twice", self.folder / f"{name}-twice.json"
        tcp, udp = free_ports(1, socket.SOCK_STREAM)[0], free_ports(1, socket.SOCK_DGRAM)[0]
        config = self._config(name) | {"listen": f"127.0.0.1:{tcp}", "status_socket": f"{other}.sock"}
        config["peers"] |= {"listen": f"127.0.0.1:{udp}"}
        path.write_text(json.dumps(config))
        self._spawn(other, self._program(name, path))

    def _config(self, name: str) -> dict[str, Any]:
        day, i = self.day, int(name[1:])
        public = [f"127.0.0.1:{port}" for port in self.switch.addresses]
        known = [
            {
                "id": e,
                "address": f"127.0.0.1:{self.engine_links[f'{name}>{e}'].port}",
                "zone": e.rstrip("0123456789"),
            }
            for e in day.engine_names()
        ]
        classes = [
            {
                "name": k.name,
                "aim_ms": k.patience / 2,
                "deadline_ms": k.patience,
                "worth": day.worth[k.name],
                "late_worth": 1.0,
                "effect": "unsafe" if k.load else "safe",
                "in_order": k.load,
                "loads": k.load,
            }
            for k in day.kinds
        ]
        config: dict[str, Any] = {
            "name": name,
            "seed": day.seed * 100 + i,
            "listen": f"127.0.0.1:{self.listens[i]}",
            "number": i,
            "dispatchers": day.instances,
            "zones": day.zones,
            "machine_types": [{"name": "std", "cores": day.traits.get("servers", 1)}],
            "classes": classes,
            "known": [] if day.consul else [k | {"machine_type": "std"} for k in known],
            "sources": [self._source(name)] if day.consul else [],
            "permits": {"cooldown_most_ms": 1000},
            "peers": {"listen": f"127.0.0.1:{self.switch.ports[i]}", "announce": public[i], "all": public},
            "membership": {
                "keys": [{"number": 1, "secret": KEY.decode()}],
                "probe_ms": HEALTH_CHECK_INTERVAL_MS,
            },
            "status_socket": f"{name}.sock",
        }
        # Keys that only some programs know, so that a day is played on each of them alike.
        if day.state:
            config["state_dir"] = str(self.machines.state(name))
            config["membership"]["voters"] = day.instance_names()[:5] if day.instances >= 3 else []
            cold, warm = day.traits.get("cold", 3.0), day.traits.get("warm", 3000.0)
            config["rules"] = {"cold_from": 1 / cold, "warm_within_ms": max(warm, 1.0)}
        if day.homes:
            config["peers"]["zones"] = list(day.homes[: day.instances])
        if day.fleet:
            config["fleet"] = {"price": day.price, "outlook": day.outlook and day.price and bool(day.homes)}
            config["fleet"] |= {"pins": True} if day.pins else {}
        return config

    def _source(self, name: str) -> dict[str, Any]:
        place = f"127.0.0.1:{self.source_links[name].port}"
        guard = {"quiet_ms": 1, "quiet_most_ms": 1, "jitter": 0}
        return {"kind": "consul", "name": "dc1", "addresses": [place], "service": "engine", "guard": guard}

    async def _start_sources(self) -> None:
        """A Consul for each instance, since each reaches the engines by links of its own."""
        for i, name in enumerate(self.day.instance_names() if self.day.consul else []):
            server = self.consuls[name] = Server()
            for engine in self.day.engine_names():
                place = f"127.0.0.1:{self.engine_links[f'{name}>{engine}'].port}"
                server.add_engine(engine, place, zone=engine.rstrip("0123456789"), machine_type="std")
            port = await server.start("127.0.0.1", 0)
            self.source_links[name] = TcpLink(("127.0.0.1", port), self.day.seed + 2000 + i)
            await self.source_links[name].start()

    def kill_all(self) -> None:
        """Kill what was started and is still there."""
        processes = [*self.processes.values(), *self.prepared.values()]
        for process in processes:
            if process.poll() is None:
                process.kill()
        for process in processes:
            process.wait()
            for stream in (process.stdin, process.stdout):
                if stream is not None:
                    with contextlib.suppress(OSError):
                        stream.close()
        if self.worker_pool is not None:
            self.worker_pool.close()

    # --- a run ---

    async def play(self) -> RunResult:
        """The whole day. Raises TrialError."""
        try:
            await self.start()
            await self._run()
            for name, process in self.processes.items():
                if name.endswith("-twice") and process.poll() is None:
                    self.marks.append((time.monotonic(), "lives", name))
            views = {name: self.view(name) for name in self.running_instances()}
        finally:
            await self.close()
        seen = self.ledgers()
        seen.ownerless = ownerless_times(self.folder, views.values())
        result = RunResult(self.day, self.folder, check_run(self.day, seen), self.timeline, views)
        kept = {
            "begun": self.started_at,
            "begun_unix": self.started_at + time.time() - time.monotonic(),
            "marks": self.marks,
            "stalls": self.stalls,
            "timeline": self.timeline,
            "verdict": dataclasses.asdict(result.verdict),
            "datagrams": {"passed": self.switch.passed, "lost": self.switch.lost, "bytes": self.switch.bytes},
            "views": views,
            "told": self.projection,
            "ownerless": list(seen.ownerless.items()),
        }
        (self.folder / "links.jsonl").write_bytes(
            b"\n".join(msgspec.json.encode(line) for line in self.sends)
        )
        (self.folder / "result.json").write_bytes(msgspec.json.format(msgspec.json.encode(kept)))
        return result

    async def close(self) -> None:
        """End all that was started, and the links between."""
        self.faults.stop()
        if self.stall_watch is not None:
            self.stall_watch.cancel()
        self.kill_all()
        for link in (*self.engine_links.values(), *self.client_links.values(), *self.source_links.values()):
            await link.stop()
        for server in self.consuls.values():
            await server.stop()
        self.switch.stop()

    async def start(self) -> None:
        """Start everything, and the load once all instances know one another. Raises TrialError."""
        self.folder.mkdir(parents=True, exist_ok=True)
        (self.folder / "day.json").write_bytes(encode_scenario(self.day))
        self.stall_watch = asyncio.create_task(self._watch_stalls())
        day, serial = self.day, 0
        for engine in day.engine_names():
            for instance in day.instance_names():
                serial += 1
                target = ("127.0.0.1", self.ports[engine])
                link = TcpLink(target, day.seed + serial, self._send_recorder(instance, engine))
                link.link = link_of({}, self.faults.distance_ms(instance, engine))
                self.engine_links[f"{instance}>{engine}"] = link
                await link.start()
        await self.switch.start()
        for pair in itertools.permutations(range(day.instances), 2):
            self.switch.paths[pair] = self.faults.network_path(*pair, {})
        await self._start_sources()
        for engine in day.engine_names():
            self.start_engine(engine)
        for engine in day.engine_names():
            stdout = self.processes[engine].stdout
            assert stdout is not None
            if not await asyncio.to_thread(stdout.readline):
                raise ScenarioRunError(
                    f"{engine} did not start: {(self.folder / f'{engine}.log').read_text()}"
                )
        for i, name in enumerate(day.instance_names()):
            self.client_links[name] = TcpLink(("127.0.0.1", self.listens[i]), day.seed + 1000 + i)
            await self.client_links[name].start()
            self.start_instance(name)
        for name in (*day.engine_names(), *day.instance_names()):
            self.prepare(name)
        warm = time.monotonic() + float(day.traits.get("warm", 3000.0)) / 1000
        await self.until(self.all_members_alive, "all instances know one another")
        await asyncio.sleep(max(warm - time.monotonic(), 0.0))
        self.started_at = time.monotonic() + 0.5
        load = {
            "ports": [door.port for door in self.client_links.values()],
            "rate": day.rate,
            "seconds": day.seconds,
            "kinds": [dataclasses.asdict(k) for k in day.kinds],
            "weights": day.weights[: day.instances],
            "ledger": str(self.folder / "clients.jsonl"),
            "seed": day.seed,
            "manner": dataclasses.asdict(day.manner),
            "steps": day.steps,
            "keys": day.keys,
            "homes": day.homes,
            "distance": day.distance,
        }
        assert set(load) <= {f.name for f in dataclasses.fields(Load)}
        program = ["-m", "cottonhold.emulator.fault_injection.clients", json.dumps(load)]
        clients = self._spawn("clients", program, stdout=subprocess.PIPE)
        assert clients.stdout is not None
        await asyncio.to_thread(clients.stdout.readline)
        self.started_at = time.monotonic()

    async def _run(self) -> None:
        day = self.day
        faults = sorted(day.faults, key=lambda f: f.at)
        longest = day.seconds + max(k.patience for k in day.kinds) / 1000 + 5.0
        while (now := time.monotonic() - self.started_at) < longest:
            while faults and faults[0].at <= now:
                fault = faults.pop(0)
                self.timeline.append(str(fault))
                self.progress(min(now / day.seconds, 1.0), str(fault))
                await self.apply(fault)
            if self.processes["clients"].poll() is not None and not faults:
                return
            if day.homes and not self.projection and day.out - PROJECTION_LEAD_S <= now < day.out:
                self.projection = await asyncio.to_thread(self._projected_costs)
            self.progress(min(now / day.seconds, 1.0), "")
            await asyncio.sleep(min(faults[0].at - now, 0.1) if faults else 0.1)

    async def _watch_stalls(self) -> None:
        """Note when this loop stood still: on a busy machine links see late, and in no order, what was
        done."""
        while True:
            due = time.monotonic() + STALL_CHECK_INTERVAL_S
            await asyncio.sleep(STALL_CHECK_INTERVAL_S)
            if (now := time.monotonic()) > due + MIN_STALL_S:
                self.stalls.append((due, now))

    async def until(self, holds: Callable[[], bool], what: str, seconds: float = START_TIMEOUT_S) -> None:
        """Wait for a state. Raises TrialError if it doesn't come."""
        end = time.monotonic() + seconds
        while not await asyncio.to_thread(holds):
            if time.monotonic() > end:
                raise ScenarioRunError(f"{what}: not within {seconds:g} s (logs in {self.folder})")
            await asyncio.sleep(0.05)

    def view(self, name: str) -> dict[str, Any]:
        """What an instance tells at its local socket; nothing if it doesn't."""
        try:
            return ask(self.folder / f"{name}.sock", {"call": "view"})
        except (OSError, ValueError):
            return {}

    def _projected_costs(self) -> dict[str, Any]:
        """What the first instance that has a plan tells of each zone's loss."""
        views = (self.view(name).get("outlook") for name in self.running_instances())
        return next((dict(view) for view in views if view), {})

    def running_instances(self) -> list[str]:
        """Those that run and don't stand still."""
        stopped = {name for _, verb, name in self.marks if verb == "stop"}
        stopped -= {name for _, verb, name in self.marks if verb == "go"}
        names = self.day.instance_names()
        return [n for n in names if n not in stopped and self.processes[n].poll() is None]

    def all_members_alive(self) -> bool:
        """Whether all instances see all of them."""
        names = set(self.day.instance_names())
        for name in names:
            members = self.view(name).get("members", [])
            if {m["name"] for m in members if m["status"] == "alive"} | {name} != names:
                return False
        return True

    def _send_recorder(self, instance: str, engine: str) -> Callable[[str, str], None]:
        return lambda what, ref: self.sends.append([time.monotonic(), what, ref, instance, engine])

    def ledgers(self) -> RunLogs:
        """What engines, clients and links have seen so far."""
        engines = {name: _read_log(self.folder / f"{name}.jsonl") for name in self.day.engine_names()}
        clients = _read_log(self.folder / "clients.jsonl")
        return RunLogs(
            engines, clients, self.started_at, self.marks, self.sends, self.stalls, self.projection
        )

    async def apply(self, fault: Fault) -> None:
        """Carry one fault out."""
        await self.faults.apply(fault)


def _read_log(path: Path) -> list[LogLine]:
    if not path.exists():
        return []
    lines = []
    for line in path.read_bytes().splitlines():
        with contextlib.suppress(ValueError):  # one that was being written as its process was killed
            lines.append(json.loads(line))
    return lines


def ownerless_times(folder: Path, views: Iterable[Mapping[str, Any]]) -> dict[float, int]:
    """How long keys that were moved had no owner: of lives that ended by order, and of those still there."""
    told = [str(view.get("pins", {}).get("ownerless", "")) for view in views]
    for log in sorted(folder.glob("n*.log")):
        told += [row.decode() for row in FINAL_OWNERLESS_LOG.findall(log.read_bytes())]
    sums: dict[float, int] = {}
    for row in filter(None, told):
        for step, count in (part.split(":") for part in row.split(",")):
            ms = math.inf if step == "more" else float(step)
            sums[ms] = sums.get(ms, 0) + int(count)
    return dict(sorted(sums.items()))


def recheck_run(folder: Path) -> Verdict:
    """The verdict on a run that was kept. Raises OSError, ScriptError and KeyError."""
    day, kept = (
        decode_scenario((folder / "day.json").read_bytes()),
        json.loads((folder / "result.json").read_bytes()),
    )
    engines = {name: _read_log(folder / f"{name}.jsonl") for name in day.engine_names()}
    marks = [(at, verb, name) for at, verb, name in kept["marks"]]
    links, clients = _read_log(folder / "links.jsonl"), _read_log(folder / "clients.jsonl")
    stalls = [(begin, end) for begin, end in kept.get("stalls", [])]
    told, apart = kept.get("told", {}), dict(kept.get("ownerless", []))
    return check_run(day, RunLogs(engines, clients, kept["begun"], marks, links, stalls, told, apart))


def play(day: Scenario, folder: Path, progress: Progress = lambda share, text: None) -> RunResult:
    """Play a day. Raises TrialError and ScriptError."""
    trial = ScenarioRun(day, folder, progress, forks=day.state)
    try:
        return uvloop.run(trial.play())
    finally:
        trial.kill_all()
