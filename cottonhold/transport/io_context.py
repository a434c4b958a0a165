"""What all sockets of this process share: the event loop, its clock and tasks, and waiting for sockets."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable, Coroutine
from typing import Any

from cottonhold.observe.counters import Counters
from cottonhold.transport.clock import LoopClock
from cottonhold.transport.socket_factory import RESOURCE_ERRORS, MakeSocket

# What one read discards of a client whose connection is being closed and who still sends; all reads share it.
READ_BUFFER_BYTES = 256 * 1024
RESOURCE_RETRY_S = 0.02  # before a call is made again for which the system lacked a resource


class IoContext:
    """The event loop with its clock, its tasks and the buffer that all reads share."""

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
        """Run a task in the background; the loop itself keeps only weak references."""
        task = self.loop.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    async def send_all(self, sock: socket.socket, data: bytes) -> None:
        """Write all. Raises OSError once nothing more can be written.

        A call for which the system lacks memory is repeated: the loop's own sock_sendall would fail, and not
        tell how much had been written.
        """
        left = memoryview(data)
        while left:
            try:
                sent = sock.send(left)
            except (BlockingIOError, InterruptedError):
                await self.wait_until_writable(sock)
            except OSError as error:
                if error.errno not in RESOURCE_ERRORS:
                    raise
                await asyncio.sleep(RESOURCE_RETRY_S)
            else:
                left = left[sent:]

    async def wait_until_writable(self, sock: socket.socket) -> None:
        """Wait until a socket takes bytes."""
        ready = asyncio.Event()
        self.loop.add_writer(sock, ready.set)
        try:
            await ready.wait()
        finally:
            self.loop.remove_writer(sock)

    async def wait_until_readable(self, sock: socket.socket) -> None:
        """Wait until something has arrived, and leave it where it is.

        A connection accepted here would be lost if the task were cancelled before it is handed over.
        """
        ready = asyncio.Event()
        self.loop.add_reader(sock, ready.set)
        try:
            await ready.wait()
        finally:
            self.loop.remove_reader(sock)
