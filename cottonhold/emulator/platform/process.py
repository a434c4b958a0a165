"""The processes of one dispatcher: start, signals, ends, and the memory that they use."""

from __future__ import annotations

import asyncio
import json
import os
import shlex
import signal
import subprocess
import sys
import time
import tomllib
from dataclasses import dataclass
from pathlib import Path

from cottonhold.emulator.platform.configuration import PlatformConfig

ROOT = Path(__file__).resolve().parents[3]
DEPLOY_FILE = ROOT / "deploy" / "balancer.toml"
READY_TIMEOUT_S, READY_POLL_S = 20.0, 0.02
SAMPLE_INTERVAL_S = 0.02
BYTES_PER_KB = 1024


def run_command() -> list[str]:
    """Return the arguments of `run` in the deploy file, with this interpreter in place of the built one."""
    command = tomllib.loads(DEPLOY_FILE.read_text(encoding="utf-8"))["run"]
    words = shlex.split(command)
    if words[0] == "exec":
        words = words[1:]
    return [sys.executable if word == ".venv/bin/python" else word for word in words]


@dataclass(slots=True, frozen=True)
class MemoryUse:
    """The resident memory of a process, in bytes: now, and the largest so far."""

    resident: int
    peak: int


def memory_use(pid: int) -> MemoryUse | None:
    """Return the memory that a process uses; None once it has ended."""
    try:
        text = Path(f"/proc/{pid}/status").read_text(encoding="utf-8")
    except OSError:
        return None
    values = dict(line.split(":", 1) for line in text.splitlines() if ":" in line)
    if "VmRSS" not in values:
        return None
    return MemoryUse(*(int(values[key].split()[0]) * BYTES_PER_KB for key in ("VmRSS", "VmHWM")))


class DispatcherProcess:
    """One process of a dispatcher.

    Args:
        config: What the process is told.
        folder: A folder of its own for its configuration and its log.
        shared_folder: $TMPDIR, which the processes of one dispatcher share.
    """

    def __init__(self, config: PlatformConfig, folder: Path, shared_folder: Path) -> None:
        self.config, self.folder = config, folder
        self.config_path, self.log_path = folder / "config.json", folder / "log.txt"
        self.write_config()
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment |= {
            "RELAY_NAME": "n0",
            "RELAY_CONFIG": str(self.config_path),
            "RELAY_LISTEN": config.listen,
            "TMPDIR": str(shared_folder),
            "PYTHONPATH": str(ROOT),
        }
        with self.log_path.open("wb") as log:
            self.process = subprocess.Popen(
                run_command(), cwd=ROOT, env=environment, stdin=subprocess.DEVNULL, stdout=log, stderr=log
            )
        # Times of SIGTERM and SIGKILL, in s of the monotonic clock; 0 before them.
        self.terminated_at = self.killed_at = 0.0

    def write_config(self) -> None:
        """Write the configuration file anew, as before SIGHUP."""
        self.config_path.write_text(json.dumps(self.config.as_json()), encoding="utf-8")

    def is_running(self) -> bool:
        """Return whether the process has not ended."""
        return self.process.poll() is None

    def memory(self) -> MemoryUse | None:
        """Return the memory that the process uses; None once it has ended."""
        return memory_use(self.process.pid) if self.is_running() else None

    async def wait_until_ready(self) -> None:
        """Wait until the operators' health check succeeds.

        Raises:
            RuntimeError: The process ended, or was not ready within READY_TIMEOUT_S.
        """
        deadline = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < deadline:
            if not self.is_running():
                raise RuntimeError(f"the process ended with {self.process.returncode}: {self.log()}")
            if await call_admin(self.config.admin, "GET /healthcheck") == 200:
                return
            await asyncio.sleep(READY_POLL_S)
        raise RuntimeError(f"not ready after {READY_TIMEOUT_S:.0f} s: {self.log()}")

    def signal(self, number: signal.Signals) -> None:
        """Send a signal, unless the process has ended."""
        if self.is_running():
            if number is signal.SIGTERM and not self.terminated_at:
                self.terminated_at = time.monotonic()
            self.process.send_signal(number)

    def pause(self) -> None:
        """Stop the process until `resume`."""
        self.signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Continue a stopped process."""
        self.signal(signal.SIGCONT)

    def kill(self) -> None:
        """Send SIGKILL, unless the process has ended, and wait for its end."""
        if self.is_running():
            self.killed_at = time.monotonic()
            self.process.kill()
        self.process.wait()

    def end(self) -> None:
        """Kill the process if it still runs, and wait for its end."""
        if self.is_running():
            self.process.kill()
        self.process.wait()

    def log(self) -> str:
        """Return what the process wrote to standard output and error."""
        return self.log_path.read_text(encoding="utf-8", errors="replace")

    def counters(self) -> dict[str, int]:
        """Return the last counters that the process printed; empty if it printed none."""
        lines = [line for line in self.log().splitlines() if line.startswith("counters ")]
        pairs = (part.partition("=") for part in lines[-1].split()[1:]) if lines else ()
        return {name: int(value) for name, _, value in pairs}


async def call_admin(address: str, request_line: str) -> int:
    """Make an operators' call; return the status of its response, 0 without one."""
    host, _, port = address.rpartition(":")
    try:
        reader, writer = await asyncio.open_connection(host, int(port))
    except OSError:
        return 0
    try:
        writer.write(f"{request_line} HTTP/1.1\r\nHost: ops\r\nContent-Length: 0\r\n\r\n".encode())
        line = await reader.readline()
        return int(line.split()[1])
    except (OSError, ValueError, IndexError):
        return 0
    finally:
        writer.close()


class MemorySampler:
    """Samples the resident memory of several processes, whose sum is one dispatcher's use."""

    def __init__(self) -> None:
        self.processes: list[DispatcherProcess] = []
        self.largest_sum, self.largest_one = 0, 0

    def sample(self) -> None:
        """Read the memory of all running processes once."""
        uses = [use for process in self.processes if (use := process.memory()) is not None]
        self.largest_sum = max(self.largest_sum, sum(use.resident for use in uses))
        self.largest_one = max([self.largest_one, *(use.peak for use in uses)])

    async def run(self) -> None:
        """Sample until cancelled."""
        while True:
            self.sample()
            await asyncio.sleep(SAMPLE_INTERVAL_S)


class CoreShare:
    """Gives a process a share of a core, by stopping and continuing it.

    Args:
        process: The process.
        share: The share of the time in which it may run.
        period_s: Length of one turn, in s.
    """

    def __init__(self, process: DispatcherProcess, share: float, period_s: float = 0.02) -> None:
        self.process, self.share, self.period_s = process, share, period_s

    async def run(self) -> None:
        """Stop and continue the process until cancelled."""
        try:
            while True:
                self.process.resume()
                await asyncio.sleep(self.period_s * self.share)
                self.process.pause()
                await asyncio.sleep(self.period_s * (1 - self.share))
        finally:
            self.process.resume()
