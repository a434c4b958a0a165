"""Real instances as processes on loopback, and emulated engines that record who checks their health.

Only processes that were started here are ended.
"""

from __future__ import annotations

import asyncio
import contextlib
import functools
import itertools
import json
import os
import random
import socket
import subprocess
import sys
import threading
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

from cottonhold.emulator.engine import StandInEngine
from cottonhold.node.status import call_instance

HEALTH_CHECK_INTERVAL_MS = 500
ENGINE_COUNT = 6
STATE_TIMEOUT_S = 60.0
LOG_TAIL_CHARACTERS = 1500
CHECKS_PER_SAMPLE = 3  # number of health checks of each engine
# Below the kernel's ephemeral ports, which other connections could use before a process binds its port.
FIRST_PORT, LAST_PORT = 15_000, 32_000
BLOCK_PORTS = 200


class PortBlock:
    """A block of ports that no other process draws from, as long as this one lives.

    The block's first port stays bound, and so claims the block.
    """

    def __init__(self) -> None:
        self.claim = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        first = self._claim_first_port()
        self.ports = itertools.cycle(range(first + 1, first + BLOCK_PORTS))

    def _claim_first_port(self) -> int:
        """Bind the first port of a block that no process claims."""
        draw = random.SystemRandom()
        while True:
            first = draw.randrange(FIRST_PORT, LAST_PORT, BLOCK_PORTS)
            try:
                self.claim.bind(("127.0.0.1", first))
            except OSError:
                continue
            return first

    def allocate(self, count: int, kind: socket.SocketKind) -> list[int]:
        """Return the next ports of the block that are not bound now."""
        ports = list[int]()
        while len(ports) < count:
            port = next(self.ports)
            with socket.socket(socket.AF_INET, kind) as sock, contextlib.suppress(OSError):
                sock.bind(("127.0.0.1", port))
                ports.append(port)
        return ports


@functools.cache
def _block_of(process_id: int) -> PortBlock:
    """Return the block of a process; a forked process claims its own."""
    return PortBlock()


def free_ports(count: int, kind: socket.SocketKind) -> list[int]:
    """Return ports that are free and that no other process returns while this one runs."""
    return _block_of(os.getpid()).allocate(count, kind)


class ProcessFleet:
    """Emulated engines in a thread, and instances as processes."""

    def __init__(self, folder: Path, count: int) -> None:
        self.folder, self.count = folder, count
        self.loop = asyncio.new_event_loop()
        self.thread = threading.Thread(target=self.loop.run_forever, daemon=True)
        self.thread.start()
        self.engines = {f"e{i}": StandInEngine(f"e{i}") for i in range(ENGINE_COUNT)}
        ports = {engine_id: self.run(engine.start()) for engine_id, engine in self.engines.items()}
        self.configured_engines = [
            {"id": engine_id, "address": f"127.0.0.1:{port}"} for engine_id, port in ports.items()
        ]
        self.tcp_ports = free_ports(count, socket.SOCK_STREAM)
        self.udp_ports = free_ports(count, socket.SOCK_DGRAM)
        self.processes: dict[int, subprocess.Popen[bytes]] = {}

    def run(self, work: Any) -> Any:
        """Run a coroutine in the emulated engines' event loop and return its result."""
        return asyncio.run_coroutine_threadsafe(work, self.loop).result(30)

    def start(self, number: int) -> None:
        """Start an instance."""
        path = self.folder / f"n{number}.json"
        path.write_text(json.dumps(self._config(number)))
        program = [sys.executable, "-m", "cottonhold.cli.main", "serve", "--config", str(path)]
        log = self._log_path(number).open("ab")
        self.processes[number] = subprocess.Popen(program, stderr=log)

    def _config(self, number: int) -> dict[str, Any]:
        return {
            "name": f"n{number}",
            "listen": f"127.0.0.1:{self.tcp_ports[number]}",
            "number": number,
            "dispatchers": self.count,
            "classes": [{"name": "lookup", "aim_ms": 1000, "deadline_ms": 5000, "effect": "safe"}],
            "known": self.configured_engines,
            "peers": {
                "listen": f"127.0.0.1:{self.udp_ports[number]}",
                "all": [f"127.0.0.1:{p}" for p in self.udp_ports],
            },
            "membership": {
                "keys": [{"number": 1, "secret": "a shared key"}],
                "probe_ms": HEALTH_CHECK_INTERVAL_MS,
            },
            "status_socket": f"n{number}.sock",
        }

    def _log_path(self, number: int) -> Path:
        return self.folder / f"n{number}.log"

    def kill(self, number: int) -> None:
        """Kill an instance and wait for its end."""
        process = self.processes.pop(number)
        process.kill()
        process.wait()

    def stop(self) -> None:
        """Kill all instances and stop the emulated engines."""
        for number in list(self.processes):
            self.kill(number)
        for engine in self.engines.values():
            self.run(engine.stop())
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join(10)
        self.loop.close()

    def view(self, number: int) -> dict[str, Any]:
        """Return the view that an instance shows at its local socket."""
        return call_instance(self.folder / f"n{number}.sock", {"call": "view"})

    def views(self) -> dict[int, dict[str, Any]]:
        """Return the view of each running instance, by number."""
        return {number: self.view(number) for number in self.processes}

    def has_converged(self) -> bool:
        """Return whether all running instances see exactly each other and agree on all duties' holders."""
        try:
            views = self.views()
        except OSError:
            return False
        names = {f"n{number}" for number in views}
        duty_tables = set()
        for number, view in views.items():
            members = {m["name"] for m in view["members"] if m["status"] in ("alive", "suspect")}
            if members | {f"n{number}"} != names:
                return False
            holders = {(d["duty"], d["subject"]): d["holder"] for d in view["duties"]}
            if len(holders) != ENGINE_COUNT + 1 or not set(holders.values()) <= names:
                return False
            duty_tables.add(json.dumps(sorted([*duty, holder] for duty, holder in holders.items())))
        return len(duty_tables) == 1

    def wait_until(self, condition: Callable[[], bool], what: str, poll_interval_s: float = 0.05) -> float:
        """Wait for a condition; return how long it took, in seconds. Raises AssertionError after a minute."""
        started_at = time.monotonic()
        while not condition():
            if time.monotonic() - started_at > STATE_TIMEOUT_S:
                logs = [self._log_path(i).read_text()[-LOG_TAIL_CHARACTERS:] for i in range(self.count)]
                raise AssertionError("\n".join([what, *logs]))
            time.sleep(poll_interval_s)
        return time.monotonic() - started_at

    def checkers(self) -> dict[str, set[int]]:
        """Return the dispatchers, by port, that check each engine's health during the next few checks."""
        counts = {engine_id: len(engine.health_checks) for engine_id, engine in self.engines.items()}

        def has_sample() -> bool:
            return all(
                len(engine.health_checks) >= counts[engine_id] + CHECKS_PER_SAMPLE
                for engine_id, engine in self.engines.items()
            )

        self.wait_until(has_sample, "health checks")
        return {
            engine_id: {port for _, port in engine.health_checks[counts[engine_id] :]}
            for engine_id, engine in self.engines.items()
        }
