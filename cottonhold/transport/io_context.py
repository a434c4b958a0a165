"""Shared by all sockets of this process: the event loop, its clock and tasks, and waiting for readiness."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable, Coroutine
from typing import Any

from cottonhold.observe.counters import Counters
from cottonhold.transport.clock import LoopClock
from cottonhold.transport.socket_factory import RESOURCE_ERRORS, MakeSocket

# Size of the buffer that all reads share, and of one read that discards data on a connection being closed.
READ_BUFFER_BYTES = 256 * 1024
RESOURCE_RETRY_S = 0.02  # pause before a call is retried for which the system lacked a resource


class IoContext:
    """The event loop with its clock, background tasks and the shared read buffer."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        counters: Counters,
        log: Callable[[str], None],
        make_socket: MakeSocket = socket.socket,
    ) -> None:
        self.loop, self.counters, self.log, self.make_socket = loop, counters, log, make_socket
        self.clock = LoopClock(loop)
        self.tasks: set[asyncio.Task[None]] = set()
        self.read_buffer = bytearray(READ_BUFFER_BYTES)

    def spawn(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        """Run a task in the background and keep a reference to it; the event loop only keeps weak ones."""
        task = self.loop.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    async def send_all(self, sock: socket.socket, data: bytes) -> None:
        """Write all data. Raises OSError if the connection is broken.

        A call for which the system lacks memory is retried. The loop's own sock_sendall would fail without
        reporting how much had been written.
        """
        remaining = memoryview(data)
        while remaining:
            try:
                sent = sock.send(remaining)
            except (BlockingIOError, InterruptedError):
                await self.wait_until_writable(sock)
            except OSError as error:
                if error.errno not in RESOURCE_ERRORS:
                    raise
                await asyncio.sleep(RESOURCE_RETRY_S)
            else:
                remaining = remaining[sent:]

    async def wait_until_writable(self, sock: socket.socket) -> None:
        """Wait until a socket is writable."""
        ready = asyncio.Event()
        self.loop.add_writer(sock, ready.set)
        try:
            await ready.wait()
        finally:
            self.loop.remove_writer(sock)

    async def wait_until_readable(self, sock: socket.socket) -> None:
        """Wait until a socket is readable, without reading or accepting.

        A connection accepted here would be lost if the waiting task were cancelled before receiving it.
        """
        ready = asyncio.Event()
        self.loop.add_reader(sock, ready.set)
        try:
            await ready.wait()
        finally:
            self.loop.remove_reader(sock)
