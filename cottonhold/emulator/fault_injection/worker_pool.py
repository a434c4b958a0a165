"""A process that has all programs of the rig loaded and forks one when told: started within milliseconds,
also on a machine so busy that loading takes many seconds.

    zygote = Zygote()
    process = zygote.start("cottonhold.emulator.fault_injection.engine", [settings], log, pipes=True)

It ends with the rig, and each program with it: the kernel sends the signal.
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

from cottonhold.emulator.fault_injection.parent_death_signal import PR_SET_PDEATHSIG

PROGRAMS = ("cottonhold.emulator.fault_injection.engine", "cottonhold.emulator.fault_injection.instance")
PRELOADED_MODULES = (
    *PROGRAMS,
    "cottonhold.emulator.disk",
    "cottonhold.emulator.fault_injection.defects",
    "cottonhold.fleet_adapters.recovery",
    "cottonhold.node.standalone.dispatcher",
    "cottonhold.store.ledger",
)
MAX_ORDER_BYTES = 1 << 16  # bytes of an order


class Process(Protocol):
    """What the rig needs of a process: as subprocess.Popen has it."""

    stdin: IO[bytes] | None
    stdout: IO[bytes] | None

    def poll(self) -> int | None:
        """None while it lives."""

    def wait(self, timeout: float | None = None) -> int:
        """Until it has ended. Raises subprocess.TimeoutExpired."""

    def send_signal(self, sig: int) -> None:
        """Nothing for one that has ended."""

    def kill(self) -> None:
        """SIGKILL."""


class ForkedProcess:
    """A program that the zygote started, by a handle that no other process can come to have."""

    def __init__(self, pid: int, stdin: IO[bytes] | None, stdout: IO[bytes] | None) -> None:
        self.pid, self.stdin, self.stdout = pid, stdin, stdout
        self.handle = os.pidfd_open(pid)

    def _over(self, ms: float | None) -> bool:
        if self.handle < 0:
            return True
        ended = select.poll()
        ended.register(self.handle, select.POLLIN)
        if not ended.poll(ms):
            return False
        os.close(self.handle)
        self.handle = -1
        return True

    def poll(self) -> int | None:
        """See Process; how it ended isn't known."""
        return 0 if self._over(0) else None

    def wait(self, timeout: float | None = None) -> int:
        """See Process."""
        if not self._over(None if timeout is None else timeout * 1000):
            raise subprocess.TimeoutExpired(str(self.pid), timeout or 0.0)
        return 0

    def send_signal(self, sig: int) -> None:
        """See Process."""
        if not self._over(0):
            signal.pidfd_send_signal(self.handle, sig)

    def kill(self) -> None:
        """See Process."""
        self.send_signal(signal.SIGKILL)


class WorkerPool:
    """The rig's side."""

    def __init__(self) -> None:
        self.link, there = socket.socketpair(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        guard = [
            sys.executable,
            "-m",
            "cottonhold.emulator.fault_injection.parent_death_signal",
            str(os.getpid()),
            sys.executable,
        ]
        program = [*guard, "-m", "cottonhold.emulator.fault_injection.worker_pool"]
        with there:
            self.process = subprocess.Popen(program, stdin=there.fileno())

    def start(self, module: str, args: Sequence[str], log: IO[bytes], pipes: bool) -> ForkedProcess:
        """A program, by its module; `pipes`: its standard input and output are the rig's. Raises OSError."""
        ours: list[IO[bytes] | None] = [None, None]
        with open(os.devnull, "r+b") as nothing:
            theirs = [nothing.fileno(), nothing.fileno(), log.fileno()]
            if pipes:
                theirs[0], write = os.pipe()
                read, theirs[1] = os.pipe()
                ours = [os.fdopen(write, "wb"), os.fdopen(read, "rb")]
            socket.send_fds(self.link, [json.dumps([module, *args]).encode()], theirs)
            for end in theirs[:2] if pipes else ():
                os.close(end)
        answer = self.link.recv(MAX_ORDER_BYTES)
        if not answer:
            raise OSError("the zygote has ended")
        return ForkedProcess(int(answer), ours[0], ours[1])

    def close(self) -> None:
        """End it, and what it started. May be called again."""
        self.link.close()
        self.process.kill()
        self.process.wait()


def _run_program(words: list[str], fds: list[int], parent: int) -> None:
    """In the new process: the program, until it ends."""
    ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, int(signal.SIGKILL), 0, 0, 0)
    if os.getppid() != parent:
        os._exit(1)
    for place, fd in enumerate(fds):
        os.dup2(fd, place)
    # Danger: an end of a pipe that another program holds open too hides that the rig has closed its own.
    os.closerange(3, 256)
    sys.argv = words
    runpy.run_module(words[0], run_name="__main__", alter_sys=True)


def main() -> None:
    """Fork a program for each order, until the rig is gone."""
    for name in PRELOADED_MODULES:
        import_module(name)
    link, me = socket.socket(fileno=os.dup(0)), os.getpid()
    while True:
        data, fds, _, _ = socket.recv_fds(link, MAX_ORDER_BYTES, 3)
        if not data:
            return
        while _reaped():
            pass
        pid = os.fork()
        if not pid:
            _run_program(json.loads(data), fds, me)
            return
        for fd in fds:
            os.close(fd)
        link.send(str(pid).encode())


def _reaped() -> bool:
    """One that has ended is taken off the system's list. The rig has a handle of each by then."""
    try:
        return os.waitpid(-1, os.WNOHANG)[0] > 0
    except ChildProcessError:
        return False


if __name__ == "__main__":
    main()
