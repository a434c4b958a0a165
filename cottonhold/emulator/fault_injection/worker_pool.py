"""A process that has the programs of a run loaded and forks one on request: started within milliseconds, also
on a machine so busy that loading takes many seconds.

    pool = WorkerPool()
    process = pool.start("cottonhold.emulator.fault_injection.engine", [settings], log, pipes=True)

It ends with the harness, and each program with it: the kernel sends the signal.
"""

from __future__ import annotations

import ctypes
import json
import os
import runpy
import select
import signal
import socket
import subprocess
import sys
from collections.abc import Sequence
from importlib import import_module
from typing import IO, Protocol

from cottonhold.emulator.fault_injection.parent_death_signal import PR_SET_PDEATHSIG, bound_to_this_process

PROGRAMS = ("cottonhold.emulator.fault_injection.engine", "cottonhold.emulator.fault_injection.instance")
PRELOADED_MODULES = (
    *PROGRAMS,
    "cottonhold.emulator.disk",
    "cottonhold.emulator.fault_injection.defects",
    "cottonhold.fleet_adapters.recovery",
    "cottonhold.node.standalone.dispatcher",
    "cottonhold.store.ledger",
)
MAX_REQUEST_BYTES = 1 << 16
MAX_INHERITED_DESCRIPTOR = 256


class Process(Protocol):
    """What the harness needs of a process; subprocess.Popen has it."""

    stdin: IO[bytes] | None
    stdout: IO[bytes] | None

    def poll(self) -> int | None:
        """Return None while it runs."""

    def wait(self, timeout: float | None = None) -> int:
        """Wait until it has ended. Raises subprocess.TimeoutExpired."""

    def send_signal(self, sig: int) -> None:
        """Send a signal; nothing to one that has ended."""

    def kill(self) -> None:
        """Send SIGKILL."""


class ForkedProcess:
    """A program that the pool has forked, by a descriptor that stands for no other process."""

    def __init__(self, pid: int, stdin: IO[bytes] | None, stdout: IO[bytes] | None) -> None:
        self.pid, self.stdin, self.stdout = pid, stdin, stdout
        self.descriptor = os.pidfd_open(pid)

    def _has_ended(self, timeout_ms: float | None) -> bool:
        if self.descriptor < 0:
            return True
        ended = select.poll()
        ended.register(self.descriptor, select.POLLIN)
        if not ended.poll(timeout_ms):
            return False
        os.close(self.descriptor)
        self.descriptor = -1
        return True

    def poll(self) -> int | None:
        """See Process; the exit code is not known."""
        return 0 if self._has_ended(0) else None

    def wait(self, timeout: float | None = None) -> int:
        """See Process."""
        if not self._has_ended(None if timeout is None else timeout * 1000):
            raise subprocess.TimeoutExpired(str(self.pid), timeout or 0.0)
        return 0

    def send_signal(self, sig: int) -> None:
        """See Process."""
        if not self._has_ended(0):
            signal.pidfd_send_signal(self.descriptor, sig)

    def kill(self) -> None:
        """See Process."""
        self.send_signal(signal.SIGKILL)


class WorkerPool:
    """The harness's end of the pool."""

    def __init__(self) -> None:
        self.link, pool_end = socket.socketpair(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        program = bound_to_this_process(["-m", "cottonhold.emulator.fault_injection.worker_pool"])
        with pool_end:
            self.process = subprocess.Popen(program, stdin=pool_end.fileno())

    def start(self, module: str, args: Sequence[str], log: IO[bytes], pipes: bool) -> ForkedProcess:
        """Start a program by its module. pipes: its standard input and output are pipes. Raises OSError."""
        stdin: IO[bytes] | None = None
        stdout: IO[bytes] | None = None
        with open(os.devnull, "r+b") as null:
            descriptors = [null.fileno(), null.fileno(), log.fileno()]
            if pipes:
                descriptors[0], write = os.pipe()
                read, descriptors[1] = os.pipe()
                stdin, stdout = os.fdopen(write, "wb"), os.fdopen(read, "rb")
            socket.send_fds(self.link, [json.dumps([module, *args]).encode()], descriptors)
            if pipes:
                os.close(descriptors[0])
                os.close(descriptors[1])
        pid = self.link.recv(MAX_REQUEST_BYTES)
        if not pid:
            raise OSError("the worker pool has ended")
        return ForkedProcess(int(pid), stdin, stdout)

    def close(self) -> None:
        """End the pool, and what it started. May be called again."""
        self.link.close()
        self.process.kill()
        self.process.wait()


def _run_program(arguments: list[str], descriptors: list[int], parent: int) -> None:
    """In the new process, run the program until it ends."""
    ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, int(signal.SIGKILL), 0, 0, 0)
    if os.getppid() != parent:
        os._exit(1)
    for target, descriptor in enumerate(descriptors):
        os.dup2(descriptor, target)
    # An end of another program's pipe that stays open here would hide that the harness has closed its own.
    os.closerange(3, MAX_INHERITED_DESCRIPTOR)
    sys.argv = arguments
    runpy.run_module(arguments[0], run_name="__main__", alter_sys=True)


def main() -> None:
    """Fork a program for each request, until the harness has ended."""
    for name in PRELOADED_MODULES:
        import_module(name)
    link, pool_pid = socket.socket(fileno=os.dup(0)), os.getpid()
    while True:
        request, descriptors, _, _ = socket.recv_fds(link, MAX_REQUEST_BYTES, 3)
        if not request:
            return
        while _reap_one():
            pass
        pid = os.fork()
        if not pid:
            _run_program(json.loads(request), descriptors, pool_pid)
            return
        for descriptor in descriptors:
            os.close(descriptor)
        link.send(str(pid).encode())


def _reap_one() -> bool:
    """Reap a program that has ended; return whether there was one. The harness has its descriptor by then."""
    try:
        return os.waitpid(-1, os.WNOHANG)[0] > 0
    except ChildProcessError:
        return False


if __name__ == "__main__":
    main()
