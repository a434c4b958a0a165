"""Real sockets whose calls fail by script: errno values, EINTR, short reads and writes, call by call.

    faults = Faults()
    event_loop = EventLoop(loop, counters, log, faults.make)
    faults.plan("accept", errno.ECONNABORTED, OK, errno.EMFILE)  # the next three calls
    faults.plan("send", Short(3), errno.ENOBUFS, on=ACCEPTED)    # only on sockets that were accepted
    faults.always("accept", errno.EMFILE)                        # until faults.heal("accept")
    assert faults.calls["accept"] < 10 and not faults.open

Calls are named as the methods of a socket; `socket` is the making of one, `so_error` the error that a connect
ends with. A connect that a signal interrupts goes on, as Linux has it.
"""

from __future__ import annotations

import contextlib
import errno
import os
import socket
from collections import Counter, defaultdict, deque
from dataclasses import dataclass
from typing import Any

MADE, ACCEPTED = "made", "accepted"


@dataclass(frozen=True)
class Short:
    """A call that moves so many bytes at most."""

    count: int


OK = Short(1 << 30)
Step = int | Short


class Faults:
    """The script for all sockets of one event loop, and the calls on them."""

    def __init__(self) -> None:
        self.plans: defaultdict[tuple[str, str], deque[Step]] = defaultdict(deque)
        self.lasting: dict[tuple[str, str], Step] = {}
        self.calls: Counter[str] = Counter()
        self.open: set[FaultySocket] = set()  # what was made or accepted, and not closed

    def plan(self, call: str, *steps: Step, on: str = "") -> None:
        """Plan the next calls: an errno fails, Short(n) moves n bytes at most, OK calls the system."""
        self.plans[call, on].extend(steps)

    def always(self, call: str, step: Step, on: str = "") -> None:
        """Plan each call that has no planned step, until healed."""
        self.lasting[call, on] = step

    def heal(self, call: str, on: str = "") -> None:
        """Have the system decide from now on."""
        self.lasting.pop((call, on), None)
        self.plans.pop((call, on), None)

    def make(self, family: socket.AddressFamily, kind: socket.SocketKind) -> socket.socket:
        """A socket under this script."""
        self.step("socket", MADE)
        sock = FaultySocket(family, kind)
        sock.join(self, MADE)
        return sock

    def adopt(self, plain: socket.socket, role: str = MADE) -> socket.socket:
        """A socket that was made elsewhere, under this script."""
        sock = FaultySocket(plain.family, plain.type, plain.proto, plain.detach())
        sock.join(self, role)
        return sock

    def step(self, call: str, role: str) -> int:
        """How many bytes this call may move. Raises the planned OSError."""
        step = self.next(call, role)
        if isinstance(step, int):
            raise OSError(step, os.strerror(step))
        return step.count

    def next(self, call: str, role: str) -> Step:
        """The next step of a call."""
        self.calls[call] += 1
        for key in ((call, role), (call, "")):
            if self.plans[key]:
                return self.plans[key].popleft()
            if key in self.lasting:
                return self.lasting[key]
        return OK


class FaultySocket(socket.socket):
    """A socket under a script."""

    faults: Faults
    role: str

    def join(self, faults: Faults, role: str) -> None:
        """Put the socket under the script."""
        self.faults, self.role = faults, role
        faults.open.add(self)

    def accept(self) -> tuple[socket.socket, Any]:
        self.faults.step("accept", self.role)
        plain, sender = super().accept()
        return self.faults.adopt(plain, ACCEPTED), sender

    def connect(self, address: Any) -> None:
        step = self.faults.next("connect", self.role)
        if step == errno.EINTR:
            with contextlib.suppress(BlockingIOError):
                super().connect(address)
        if isinstance(step, int):
            raise OSError(step, os.strerror(step))
        super().connect(address)

    def getsockopt(self, *args: Any) -> Any:
        if args[:2] == (socket.SOL_SOCKET, socket.SO_ERROR):
            step = self.faults.next("so_error", self.role)
            if isinstance(step, int):
                return step
        return super().getsockopt(*args)

    def setsockopt(self, *args: Any) -> None:
        self.faults.step("setsockopt", self.role)
        super().setsockopt(*args)

    def recv_into(self, buffer: Any, nbytes: int = 0, flags: int = 0) -> int:
        max_bytes = self.faults.step("recv_into", self.role)
        return super().recv_into(buffer, min(nbytes or len(buffer), max_bytes), flags)

    def recv(self, bufsize: int, flags: int = 0) -> bytes:
        return super().recv(min(bufsize, self.faults.step("recv", self.role)), flags)

    def send(self, data: Any, flags: int = 0) -> int:
        max_bytes = self.faults.step("send", self.role)
        return super().send(memoryview(data)[:max_bytes], flags)

    def sendto(self, data: Any, *args: Any) -> int:
        self.faults.step("sendto", self.role)
        return super().sendto(data, *args)

    def recvfrom(self, bufsize: int, flags: int = 0) -> tuple[bytes, Any]:
        self.faults.step("recvfrom", self.role)
        return super().recvfrom(bufsize, flags)

    def shutdown(self, how: int) -> None:
        self.faults.step("shutdown", self.role)
        super().shutdown(how)

    def getsockname(self) -> Any:
        self.faults.step("getsockname", self.role)
        return super().getsockname()

    def bind(self, address: Any) -> None:
        self.faults.step("bind", self.role)
        super().bind(address)

    def listen(self, backlog: int = 0) -> None:
        self.faults.step("listen", self.role)
        super().listen(backlog)

    def close(self) -> None:
        if hasattr(self, "faults"):
            self.faults.open.discard(self)
        super().close()
