"""A small deployment for the cases of the second review: one dispatcher between stand-ins, on loopback.

The dispatcher is started with `run` of the deploy file. The event bus, the engines and the clients are
stand-ins, most of them the project's own. Everything that is sent, answered and run is recorded.
"""

from __future__ import annotations

import asyncio
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

from cottonhold.emulator.platform.bus import EventBus
from cottonhold.emulator.platform.client import Answer, Client, Verdict
from cottonhold.emulator.platform.configuration import Limits, PlatformConfig
from cottonhold.emulator.platform.engine import Engine, Work
from cottonhold.emulator.platform.process import call_admin

ROOT = Path(__file__).resolve().parents[2]
HELD, BROKEN, NOT_RUN = 0, 1, 2
MAX_RUN_S = 110.0
READY_S = 20.0

__all__ = [
    "BROKEN",
    "HELD",
    "Answer",
    "Client",
    "Record",
    "RecordingEngine",
    "Rig",
    "VanishingEngine",
    "Verdict",
    "Work",
    "has_trouble",
    "run_case",
]


class CannotRunError(Exception):
    """The case could not run, so that nothing is known of the rule."""


def has_trouble() -> bool:
    """Return whether the disruption takes place; TROUBLE=0 leaves it out."""
    return os.environ.get("TROUBLE", "1") != "0"


def free_ports(count: int) -> list[int]:
    """Return loopback ports that nobody uses now."""
    sockets = [socket.socket() for _ in range(count)]
    try:
        for sock in sockets:
            sock.bind(("127.0.0.1", 0))
        return [int(sock.getsockname()[1]) for sock in sockets]
    finally:
        for sock in sockets:
            sock.close()


class Record:
    """The file record.txt of a case; times are in s since the start."""

    def __init__(self, path: Path) -> None:
        self.file = path.open("w", encoding="utf-8")
        self.started_at = time.monotonic()

    def write(self, text: str, at: float | None = None) -> None:
        """Add a line with its time."""
        now = time.monotonic() if at is None else at
        self.file.write(f"{now - self.started_at:8.3f} {text}\n")

    def close(self) -> None:
        """Write the file."""
        self.file.close()


class RecordingEngine(Engine):
    """The project's stand-in of an engine, with a zone and a cell.

    Args:
        engine_id: The id.
        zone: The name of its zone.
        cell: Its cell.
        workload: What it does with attempts.
    """

    def __init__(self, engine_id: str, zone: str, cell: int, workload: Callable[[str, str], Work]) -> None:
        super().__init__(engine_id, workload)
        self.zone, self.cell = zone, cell

    def entry(self, lifecycle: str = "Ready", started_at_ms: int = 0) -> dict[str, Any]:
        """Return the engine's entry in an event of the event bus."""
        return {
            "instanceId": self.id,
            "hostPort": self.address(),
            "zone": self.zone,
            "machineType": "m8",
            "cell": self.cell,
            "lifecycle": lifecycle,
            "weight": 1,
            "startedAtMs": started_at_ms,
        }


class VanishingEngine(RecordingEngine):
    """An engine whose machine can vanish: its connections fall silent, and new ones never come up."""

    def __init__(self, engine_id: str, zone: str, cell: int, workload: Callable[[str, str], Work]) -> None:
        super().__init__(engine_id, zone, cell, workload)
        self.blocked: list[socket.socket] = []

    def vanish(self) -> None:
        """Fall silent: nothing more is run or answered, and connects are not completed.

        A listener whose queue is full drops what comes, as an address does that nobody has.
        """
        self.is_hanging = True
        assert self.server is not None
        self.server.close()
        full = socket.socket()
        full.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        full.bind(("127.0.0.1", self.port))
        full.listen(0)
        self.blocked.append(full)
        for _ in range(4):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(("127.0.0.1", self.port))
            self.blocked.append(filler)

    async def come_back(self) -> None:
        """Return as a new process: the old connections are reset, and nothing of before is known."""
        await self.stop()
        for sock in self.blocked:
            sock.close()
        self.blocked.clear()
        self.is_hanging = False
        await self.listen(self.port)


class Rig:
    """One dispatcher with its stand-ins.

    Args:
        record: Where everything is recorded.
        engines: The engines.
        settings: Top-level keys of the settings that differ from those of a usual small deployment.
        limits: The limits of the dispatcher.
        deadline_ms: The longest deadline of a class.
    """

    def __init__(
        self,
        record: Record,
        engines: list[RecordingEngine],
        settings: dict[str, Any] | None = None,
        limits: Limits | None = None,
        deadline_ms: float = 5000.0,
    ) -> None:
        self.record, self.engines = record, engines
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.bus = EventBus()
        listen, admin, self.bus_port = free_ports(3)
        self.address, self.admin = f"127.0.0.1:{listen}", f"127.0.0.1:{admin}"
        self.settings, self.limits, self.deadline_ms = settings or {}, limits or Limits(), deadline_ms
        self.processes: list[subprocess.Popen[bytes]] = []

    async def open(self) -> None:
        """Start the stand-ins."""
        await self.bus.start(port=self.bus_port)
        for engine in self.engines:
            await engine.listen()
        self.bus.publish(*(engine.entry() for engine in self.engines))

    def config(self) -> dict[str, Any]:
        """Return the content of the configuration file."""
        config = PlatformConfig(
            self.address,
            self.admin,
            f"127.0.0.1:{self.bus_port}",
            self.bus.answer(0),
            self.limits,
            self.deadline_ms,
            "8c1f30d27a5be964",
            self.settings,
        )
        return config.as_json()

    def write_config(self) -> None:
        """Write the configuration file."""
        path = self.folder / "config.json"
        path.write_text(json.dumps(self.config()), encoding="utf-8")

    def spawn(self) -> subprocess.Popen[bytes]:
        """Start `run` of the deploy file, as the platform does."""
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text(encoding="utf-8"))["run"]
        scratch = self.folder / "tmp"
        scratch.mkdir(exist_ok=True)
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment |= {
            "RELAY_NAME": "n0",
            "RELAY_LISTEN": self.address,
            "RELAY_CONFIG": str(self.folder / "config.json"),
            "TMPDIR": str(scratch),
        }
        with (self.folder / f"log-{len(self.processes)}.txt").open("wb") as log:
            process = subprocess.Popen(
                ["/bin/sh", "-c", run],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.processes.append(process)
        self.record.write(f"dispatcher: process {len(self.processes)} started")
        return process

    async def wait_until_ready(self, process: subprocess.Popen[bytes]) -> None:
        """Wait until the operators' health check succeeds. Raises CannotRunError."""
        deadline = time.monotonic() + READY_S
        while time.monotonic() < deadline:
            if process.poll() is not None:
                raise CannotRunError(f"the dispatcher ended with {process.returncode}: {self.log()}")
            if await call_admin(self.admin, "GET /healthcheck") == 200:
                self.record.write("dispatcher: ready")
                return
            await asyncio.sleep(0.02)
        raise CannotRunError(f"the dispatcher is not ready: {self.log()}")

    async def start(self) -> subprocess.Popen[bytes]:
        """Start the stand-ins and the dispatcher, and wait until it is ready."""
        await self.open()
        self.write_config()
        process = self.spawn()
        await self.wait_until_ready(process)
        return process

    def log(self) -> str:
        """Return what the processes wrote to standard output and error."""
        texts = [path.read_text(errors="replace") for path in sorted(self.folder.glob("log-*.txt"))]
        return "\n".join(texts)

    def engine(self, engine_id: str) -> RecordingEngine:
        """Return the engine with this id."""
        return next(engine for engine in self.engines if engine.id == engine_id)

    def runs(self, request_id: str) -> list[tuple[float, RecordingEngine, str]]:
        """Return the attempts of a request: when each was received, by which engine, and its end."""
        found = [
            (attempt.received_at, engine, attempt.state)
            for engine in self.engines
            for attempt in engine.attempts
            if attempt.request_id == request_id
        ]
        return sorted(found, key=lambda run: run[0])

    def record_runs(self) -> None:
        """Record all attempts that engines received."""
        lines = [
            (attempt.received_at, f"engine {engine.id} ({engine.zone}, cell {engine.cell}): ran", attempt)
            for engine in self.engines
            for attempt in engine.attempts
        ]
        for at, text, attempt in sorted(lines, key=lambda line: line[0]):
            self.record.write(f"{text} {attempt.class_name} {attempt.request_id}, {attempt.state}", at)

    async def close(self) -> None:
        """End all processes and stand-ins, and remove the folder."""
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        for engine in self.engines:
            await engine.stop()
        await self.bus.stop()
        for line in self.log().splitlines()[-40:]:
            self.record.file.write(f"         log: {line}\n")
        shutil.rmtree(self.folder, ignore_errors=True)


def run_case(folder: Path, scenario: Callable[[Record], Awaitable[list[str]]]) -> None:
    """Run a scenario, which returns one line for each break of the rule, and exit with its result."""
    record = Record(folder / "record.txt")
    record.write(f"trouble: {'yes' if has_trouble() else 'no'}")

    async def limited() -> list[str]:
        return await asyncio.wait_for(scenario(record), MAX_RUN_S)

    try:
        breaks = asyncio.run(limited())
    except Exception as error:
        record.write(f"the case could not run: {type(error).__name__}: {error}")
        record.close()
        traceback.print_exc()
        sys.exit(NOT_RUN)
    for text in breaks:
        record.write(f"BROKEN {text}")
    record.write(f"result: {len(breaks)} breaks")
    record.close()
    print(f"{len(breaks)} breaks of the rule", *breaks[:10], sep="\n")
    sys.exit(BROKEN if breaks else HELD)
