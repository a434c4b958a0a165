"""One dispatcher with its engines and event bus, on loopback."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import replace
from pathlib import Path

from cottonhold.emulator.platform.bus import EventBus, entry
from cottonhold.emulator.platform.configuration import LOAD, Json, Limits, PlatformConfig
from cottonhold.emulator.platform.engine import Engine, ReceivedAttempt, Work, Workload
from cottonhold.emulator.platform.process import DispatcherProcess, MemorySampler
from cottonhold.emulator.process_fleet import free_ports

USUAL_MS, LOAD_MS = 10.0, 40.0
PORTS = 10  # two for the dispatcher and the event bus, the others for operators' calls


def usual_work(class_name: str, request_id: str) -> Work:
    """Return short work: one row after some milliseconds."""
    return Work(LOAD_MS if class_name == LOAD else USUAL_MS)


class Site:
    """A dispatcher, whose processes share an address and $TMPDIR.

    Args:
        folder: A folder for configurations, logs and $TMPDIR.
        limits: The limits of the dispatcher.
        workload: What engines do with attempts.
        engine_count: Number of engines at the start.
    """

    def __init__(
        self, folder: Path, limits: Limits, workload: Workload = usual_work, engine_count: int = 3
    ) -> None:
        self.folder, self.limits = folder, limits
        self.shared_folder = folder / "tmp"
        self.shared_folder.mkdir(parents=True)
        self.bus = EventBus()
        self.engines = [Engine(f"s-{number}", workload) for number in range(engine_count)]
        self.processes: list[DispatcherProcess] = []
        self.memory = MemorySampler()
        listen, bus, *self.admin_ports = free_ports(PORTS, socket.SOCK_STREAM)
        self.address, self.bus_port = f"127.0.0.1:{listen}", bus
        self.deadline_ms = 5000.0
        self.settings: Json = {}

    async def open(self) -> None:
        """Start the event bus and the engines, and tell the engines."""
        await self.bus.start(port=self.bus_port)
        for engine in self.engines:
            await engine.listen()
        self.bus.publish(*(entry(engine.id, engine.address()) for engine in self.engines))

    async def start_process(self) -> DispatcherProcess:
        """Start one more process of the dispatcher, and wait until it is ready."""
        number = len(self.processes)
        folder = self.folder / f"process-{number}"
        folder.mkdir()
        admin_port = self.admin_ports[number % len(self.admin_ports)]
        config = PlatformConfig(
            self.address,
            f"127.0.0.1:{admin_port}",
            f"127.0.0.1:{self.bus_port}",
            self.bus.answer(0),
            replace(self.limits),
            self.deadline_ms,
            f"{number + 1:x}",
            self.settings,
        )
        process = DispatcherProcess(config, folder, self.shared_folder)
        self.processes.append(process)
        self.memory.processes.append(process)
        await process.wait_until_ready()
        return process

    def attempts(self) -> list[ReceivedAttempt]:
        """Return the attempts that all engines received."""
        return [attempt for engine in self.engines for attempt in engine.attempts]

    async def close(self) -> None:
        """End all processes and stand-ins."""
        for process in self.processes:
            process.end()
        for engine in self.engines:
            await engine.stop()
        await self.bus.stop()


@asynccontextmanager
async def running_site(
    folder: Path, limits: Limits, workload: Workload = usual_work, engine_count: int = 3
) -> AsyncIterator[Site]:
    """A site with one process, whose memory is sampled."""
    site = Site(folder, limits, workload, engine_count)
    await site.open()
    sampling = asyncio.create_task(site.memory.run())
    try:
        await site.start_process()
        yield site
    finally:
        sampling.cancel()
        await site.close()
