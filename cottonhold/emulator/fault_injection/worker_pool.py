"""A process that has loaded the programs of a run and forks one on request.

A forked program starts within milliseconds, even on a machine so busy that loading it takes many seconds.

    pool = WorkerPool()
    process = pool.start("cottonhold.emulator.fault_injection.engine", [settings], log, pipes=True)

The kernel kills the pool when the harness ends, and each forked program when the pool ends.
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
    """The methods of a process that the harness uses; subprocess.Popen has them."""

    stdin: IO[bytes] | None
    stdout: IO[bytes] | None

    def poll(self) -> int | None:
        """Return None while the process runs, else its exit code."""

    def wait(self, timeout: float | None = None) -> int:
        """Wait until the process has ended, and return its exit code.

        Raises:
            subprocess.TimeoutExpired: The process still runs after `timeout` seconds.
        """

    def send_signal(self, sig: int) -> None:
        """Send a signal; do nothing if the process has ended."""

    def kill(self) -> None:
        """Send SIGKILL."""


class ForkedProcess:
    """A program that the pool has forked, held by a pidfd, which never refers to another process."""

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
        """Return None while the process runs, else 0, since the exit code is unknown."""
        return 0 if self._has_ended(0) else None

    def wait(self, timeout: float | None = None) -> int:
        """Wait until the process has ended; return 0, since the exit code is unknown.

        Raises:
            subprocess.TimeoutExpired: The process still runs after `timeout` seconds.
        """
        if not self._has_ended(None if timeout is None else timeout * 1000):
            raise subprocess.TimeoutExpired(str(self.pid), timeout or 0.0)
        return 0

    def send_signal(self, sig: int) -> None:
        """Send a signal; do nothing if the process has ended."""
        if not self._has_ended(0):
            signal.pidfd_send_signal(self.descriptor, sig)

    def kill(self) -> None:
        """Send SIGKILL; do nothing if the process has ended."""
        self.send_signal(signal.SIGKILL)


class WorkerPool:
    """Starts the pool's process, and sends it requests from the harness."""

    def __init__(self) -> None:
        self.link, pool_end = socket.socketpair(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        program = bound_to_this_process(["-m", "cottonhold.emulator.fault_injection.worker_pool"])
        with pool_end:
            self.process = subprocess.Popen(program, stdin=pool_end.fileno())

    def start(self, module: str, args: Sequence[str], log: IO[bytes], pipes: bool) -> ForkedProcess:
        """Start a program, and return its process.

        Args:
            module: Module that is run as `__main__`.
            args: Command-line arguments.
            log: File for standard error.
            pipes: Whether standard input and output are pipes instead of /dev/null.

        Raises:
            OSError: The pool has ended.
        """
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
        """End the pool and the programs that it started; repeated calls have no effect."""
        self.link.close()
        self.process.kill()
        self.process.wait()


def _run_program(arguments: list[str], descriptors: list[int], parent: int) -> None:
    """Run the program in the forked process until it ends."""
    ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, int(signal.SIGKILL), 0, 0, 0)
    if os.getppid() != parent:
        os._exit(1)
    for target, descriptor in enumerate(descriptors):
        os.dup2(descriptor, target)
    # If an inherited end of another program's pipe stayed open here, that program would not receive the end
    # of file when the harness closes its own end.
    os.closerange(3, MAX_INHERITED_DESCRIPTOR)
    sys.argv = arguments
    runpy.run_module(arguments[0], run_name="__main__", alter_sys=True)


def main() -> None:
    """Fork a program for each request until the harness has ended."""
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
    """Reap a program that has ended, and return whether there was one.

    The harness holds its pidfd by then, so that a reused process id is harmless.
    """
    try:
        return os.waitpid(-1, os.WNOHANG)[0] > 0
    except ChildProcessError:
        return False


if __name__ == "__main__":
    main()
