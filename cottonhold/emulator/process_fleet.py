"""A tier of real instances on loopback, and stand-in engines that count who probes them: a rig.

Ends only the processes that it started.
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
from cottonhold.node.status import ask

PROBE_MS = 500
ENGINES = 6


# Below the ports that the kernel gives to connects: one of those could be taken before its process binds it.
FIRST_PORT, LAST_PORT = 15_000, 32_000
BLOCK_PORTS = 200


class PortBlock:
    """A block of ports that no other process draws from, as long as this one lives.

    The block's first port stays bound, and so claims the block.
    """

    def __init__(self) -> None:
        self.claim = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        draw = random.SystemRandom()
        while True:
            first = draw.randrange(FIRST_PORT, LAST_PORT, BLOCK_PORTS)
            try:
                self.claim.bind(("127.0.0.1", first))
            except OSError:
                continue
            break
        self.ports = itertools.cycle(range(first + 1, first + BLOCK_PORTS))

    def take(self, count: int, kind: socket.SocketKind) -> list[int]:
        """Return the next ports of the block that are not bound now."""
        found = list[int]()
        while len(found) < count:
            port = next(self.ports)
            with socket.socket(socket.AF_INET, kind) as sock, contextlib.suppress(OSError):
                sock.bind(("127.0.0.1", port))
                found.append(port)
        return found


@functools.cache
def _own_block(process_id: int) -> PortBlock:
    """The block of a process; a forked process claims one of its own."""
    return PortBlock()


def free_ports(count: int, kind: socket.SocketKind) -> list[int]:
    """Return ports that are free, and that no other process of ours draws while this one lives."""
    return _own_block(os.getpid()).take(count, kind)


class Tier:
    """Stand-in engines in a thread, and instances as processes."""

    def __init__(self, folder: Path, count: int) -> None:
        self.folder, self.count = folder, count
        self.loop = asyncio.new_event_loop()
        self.thread = threading.Thread(target=self.loop.run_forever, daemon=True)
        self.thread.start()
        self.engines = {f"e{i}": StandInEngine(f"e{i}") for i in range(ENGINES)}
        ports = {engine_id: self.run(engine.start()) for engine_id, engine in self.engines.items()}
        self.known = [{"id": engine_id, "address": f"127.0.0.1:{port}"} for engine_id, port in ports.items()]
        self.tcp = free_ports(count, socket.SOCK_STREAM)
        self.udp = free_ports(count, socket.SOCK_DGRAM)
        self.processes: dict[int, subprocess.Popen[bytes]] = {}

    def run(self, work: Any) -> Any:
        """Run a coroutine in the loop of the stand-ins and return its result."""
        return asyncio.run_coroutine_threadsafe(work, self.loop).result(30)

    def start(self, i: int) -> None:
        """Start instance number i."""
        path = self.folder / f"n{i}.json"
        config = {
            "name": f"n{i}",
            "listen": f"127.0.0.1:{self.tcp[i]}",
            "number": i,
            "dispatchers": self.count,
            "classes": [{"name": "lookup", "aim_ms": 1000, "deadline_ms": 5000, "effect": "safe"}],
            "known": self.known,
            "peers": {"listen": f"127.0.0.1:{self.udp[i]}", "all": [f"127.0.0.1:{p}" for p in self.udp]},
            "membership": {"keys": [{"number": 1, "secret": "a shared key"}], "probe_ms": PROBE_MS},
            "status_socket": f"n{i}.sock",
        }
        path.write_text(json.dumps(config))
        program = [sys.executable, "-m", "cottonhold.cli.main", "serve", "--config", str(path)]
        log = (self.folder / f"n{i}.log").open("ab")
        self.processes[i] = subprocess.Popen(program, stderr=log)

    def kill(self, i: int) -> None:
        """Kill instance number i and wait for its end."""
        process = self.processes.pop(i)
        process.kill()
        process.wait()

    def stop(self) -> None:
        """Kill all instances and end the stand-ins."""
        for i in list(self.processes):
            self.kill(i)
        for engine in self.engines.values():
            self.run(engine.stop())
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join(10)
        self.loop.close()

    def view(self, i: int) -> dict[str, Any]:
        """What instance number i shows at its local socket."""
        return ask(self.folder / f"n{i}.sock", {"call": "view"})

    def views(self) -> dict[int, dict[str, Any]]:
        """The view of each running instance, by number."""
        return {i: self.view(i) for i in self.processes}

    def agreed(self) -> bool:
        """Whether all that run see exactly all that run, and name one and the same of them for each duty."""
        try:
            views = self.views()
        except OSError:
            return False
        names = {f"n{i}" for i in views}
        tables = set()
        for i, view in views.items():
            there = {m["name"] for m in view["members"] if m["status"] in ("alive", "suspect")}
            if there | {f"n{i}"} != names:
                return False
            held = {(d["duty"], d["subject"]): d["holder"] for d in view["duties"]}
            if len(held) != ENGINES + 1 or not set(held.values()) <= names:
                return False
            tables.add(json.dumps(sorted([*pair, holder] for pair, holder in held.items())))
        return len(tables) == 1

    def until(self, holds: Callable[[], bool], what: str, every: float = 0.05) -> float:
        """Wait for a state; returns how long it took, in seconds. Raises AssertionError after a minute."""
        begun = time.monotonic()
        while not holds():
            if time.monotonic() - begun > 60:
                logs = "\n".join((self.folder / f"n{i}.log").read_text()[-1500:] for i in range(self.count))
                raise AssertionError(f"{what}\n{logs}")
            time.sleep(every)
        return time.monotonic() - begun

    def probers(self) -> dict[str, set[int]]:
        """For each engine the dispatchers (by their ports) that probe it, over three probes from now on."""
        begun = {engine_id: len(engine.probes) for engine_id, engine in self.engines.items()}
        self.until(
            lambda: all(len(e.probes) >= begun[engine_id] + 3 for engine_id, e in self.engines.items()),
            "probes",
        )
        return {
            engine_id: {port for _, port in e.probes[begun[engine_id] :]}
            for engine_id, e in self.engines.items()
        }
