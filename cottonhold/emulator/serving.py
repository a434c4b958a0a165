"""Shared parts of the emulated servers: connections as tasks, engines' calls, and running until a signal."""

from __future__ import annotations

import asyncio
import signal
import ssl
import sys
from collections.abc import AsyncIterator, Awaitable, Callable, Coroutine
from typing import Any

from cottonhold.backend.resp import RespReader

READ_BYTES = 65536
MAX_CALL_BYTES = 64 * 1024  # longest statement of a call


class Listener:
    """A server that aborts its connections when it stops, as a killed process does.

    Attributes:
        expected_errors: Exceptions that end a connection without a message.
    """

    expected_errors: tuple[type[BaseException], ...] = (OSError, asyncio.CancelledError)

    def __init__(self) -> None:
        self.server: asyncio.Server | None = None
        self.tasks: set[asyncio.Task[Any]] = set()

    async def start(
        self, host: str = "127.0.0.1", port: int = 0, context: ssl.SSLContext | None = None
    ) -> int:
        """Start to listen; return the port. Raises OSError."""
        self.server = await asyncio.start_server(self._serve, host, port, ssl=context, backlog=256)
        return int(self.server.sockets[0].getsockname()[1])

    async def stop(self) -> None:
        """Close the listener, and abort every connection."""
        if self.server is not None:
            self.server.close()
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    def spawn(self, work: Coroutine[Any, Any, None]) -> None:
        """Run a coroutine as a task until it ends or the server stops."""
        self._track(asyncio.get_running_loop().create_task(work))

    def _track(self, task: asyncio.Task[Any]) -> None:
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._track(task)
        try:
            await self.converse(reader, writer)
        except self.expected_errors:
            pass
        finally:
            writer.close()

    async def converse(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection until it ends."""
        raise NotImplementedError


async def engine_calls(reader: asyncio.StreamReader) -> AsyncIterator[list[bytes]]:
    """Yield the calls of one connection to an engine, in order. Raises OSError and RespError."""
    calls = RespReader(MAX_CALL_BYTES)
    while data := await reader.read(READ_BYTES):
        for call in calls.feed(data):
            yield call
        while calls.has_partial() and (more := calls.feed(b"")):
            for call in more:
                yield call


def run_until_signal(listen: str, serve: Callable[[str, int, asyncio.Event], Awaitable[None]]) -> int:
    """Run an emulated server at `host:port` until SIGTERM or SIGINT sets the event.

    Returns:
        The exit code: 1 if the address cannot be used, otherwise 0.
    """
    host, _, port = listen.rpartition(":")

    async def main() -> None:
        ended = asyncio.Event()
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, ended.set)
        await serve(host.strip("[]"), int(port), ended)

    try:
        asyncio.run(main())
    except OSError as error:
        print(f"{listen}: {error}", file=sys.stderr)
        return 1
    return 0
