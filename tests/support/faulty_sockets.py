"""Real sockets whose system calls fail as a test plans: errno values, EINTR, short reads and writes.

    faults = Faults()
    event_loop = EventLoop(loop, counters, log, faults.make)
    faults.plan("accept", errno.ECONNABORTED, OK, errno.EMFILE)  # the next three calls
    faults.plan("send", Short(3), errno.ENOBUFS, on=ACCEPTED)    # only on sockets that were accepted
    faults.always("accept", errno.EMFILE)                        # until faults.heal("accept")
    assert faults.calls["accept"] < 10 and not faults.open

Calls have the names of the socket's methods. `socket` is the creation of a socket, `so_error` the error with
which a connect ends, `tcp_info` a query of TCP_INFO. A connect that a signal interrupts continues.
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
    """A call that transfers at most `count` bytes."""

    count: int


OK = Short(1 << 30)
Step = int | Short


class Faults:
    """The planned faults of all sockets of an event loop, and counts of the calls on them."""

    def __init__(self) -> None:
        self.plans: defaultdict[tuple[str, str], deque[Step]] = defaultdict(deque)
        self.lasting: dict[tuple[str, str], Step] = {}
        self.calls: Counter[str] = Counter()
        self.open: set[FaultySocket] = set()  # sockets that were created or accepted and not closed

    def plan(self, call: str, *steps: Step, on: str = "") -> None:
        """Plan the next calls: an errno fails, Short(n) transfers at most n bytes, OK succeeds."""
        self.plans[call, on].extend(steps)

    def always(self, call: str, step: Step, on: str = "") -> None:
        """Plan all calls that have no planned step, until `heal`."""
        self.lasting[call, on] = step

    def heal(self, call: str, on: str = "") -> None:
        """Remove all plans for a call, so that the operating system handles it."""
        self.lasting.pop((call, on), None)
        self.plans.pop((call, on), None)

    def make(self, family: socket.AddressFamily, kind: socket.SocketKind) -> socket.socket:
        """Return a new socket that has the planned faults."""
        self.step("socket", MADE)
        sock = FaultySocket(family, kind)
        sock.join(self, MADE)
        return sock

    def adopt(self, plain: socket.socket, role: str = MADE) -> socket.socket:
        """Return a replacement of an existing socket that has the planned faults."""
        sock = FaultySocket(plain.family, plain.type, plain.proto, plain.detach())
        sock.join(self, role)
        return sock

    def step(self, call: str, role: str) -> int:
        """Return how many bytes this call may transfer. Raises the planned OSError."""
        step = self.next(call, role)
        if isinstance(step, int):
            raise OSError(step, os.strerror(step))
        return step.count

    def next(self, call: str, role: str) -> Step:
        """Count a call and return its planned step."""
        self.calls[call] += 1
        for key in ((call, role), (call, "")):
            if self.plans[key]:
                return self.plans[key].popleft()
            if key in self.lasting:
                return self.lasting[key]
        return OK


class FaultySocket(socket.socket):
    """A socket with planned faults."""

    faults: Faults
    role: str

    def join(self, faults: Faults, role: str) -> None:
        """Apply planned faults to the socket."""
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
        if args[:2] == (socket.IPPROTO_TCP, socket.TCP_INFO):
            self.faults.step("tcp_info", self.role)
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
