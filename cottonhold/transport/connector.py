"""Opens outgoing connections, to engines and to the event stream."""

from __future__ import annotations

import asyncio
import socket
from typing import Any, Protocol

from cottonhold.discovery.model import Address
from cottonhold.transport.interface import StreamProtocol
from cottonhold.transport.io_context import RESOURCE_RETRY_S, IoContext
from cottonhold.transport.socket_factory import CONNECT_RESOURCE_ERRORS
from cottonhold.transport.sockets import family_of, tcp_socket
from cottonhold.transport.stream import Stream, StreamSet

ENGINE_READ_BYTES = 32768  # largest size of one read
DEFAULT_TIMEOUT_S = 0.25


class ClientProtocol(StreamProtocol, Protocol):
    """The state machine of an outgoing connection."""

    lacked_local_resources: bool  # set if a connect failed for lack of a resource of this machine

    def on_connected(self) -> None:
        """Process that the connection is established."""


class Connector:
    """Opens outgoing connections; `timeout_s` limits the connects of `connect`."""

    def __init__(self, context: IoContext, streams: StreamSet) -> None:
        self.context, self.streams = context, streams
        self.timeout_s = DEFAULT_TIMEOUT_S

    def connect(
        self,
        address: Address,
        protocol: ClientProtocol,
        timeout_s: float | None = None,
        failure_counter: str = "connect_failed",
    ) -> Stream:
        """Open a connection in the background.

        The protocol's `on_connected` is called when the connection is established, `on_closed` if the connect
        fails.

        Args:
            address: The address to connect to.
            protocol: The state machine of the connection.
            timeout_s: Longest time of the connect, in s; None for `self.timeout_s`.
            failure_counter: Name of the counter of failed connects.
        """
        stream = Stream(self.streams, protocol, ENGINE_READ_BYTES)
        limit_s = self.timeout_s if timeout_s is None else timeout_s
        stream.task = self.context.spawn(self._connect(address, protocol, stream, limit_s, failure_counter))
        return stream

    async def _connect(
        self,
        address: Address,
        protocol: ClientProtocol,
        stream: Stream,
        timeout_s: float,
        failure_counter: str,
    ) -> None:
        try:
            sock = await self.dial(address, timeout_s)
        except BaseException as error:
            self.context.counters.add(failure_counter)
            is_local = isinstance(error, OSError) and error.errno in CONNECT_RESOURCE_ERRORS
            protocol.lacked_local_resources = is_local
            stream.end_protocol()
            if not isinstance(error, OSError):  # TimeoutError is an OSError
                raise
            return
        protocol.on_connected()
        stream.start(sock)

    async def dial(self, address: Address, timeout_s: float) -> socket.socket:
        """Return a connected socket, which the caller has to close.

        The timeout is needed because a machine that vanished never answers, and the system would retry for
        minutes. If this machine lacks a resource, the connect is retried until the timeout.

        Raises:
            OSError: The connect failed. TimeoutError: The connect timed out. If this machine lacked a
            resource, that OSError is raised instead.
        """
        resource_error: OSError | None = None
        try:
            async with asyncio.timeout(timeout_s):
                family, target = await self._resolve(address)
                while True:
                    try:
                        return await self._connect_socket(family, target)
                    except OSError as error:
                        if error.errno not in CONNECT_RESOURCE_ERRORS:
                            raise
                        self.context.counters.add("connections_lacking")
                        self.context.log(f"connect: {error}")
                        resource_error = error
                    await asyncio.sleep(RESOURCE_RETRY_S)
        except TimeoutError:
            raise resource_error or TimeoutError from None

    async def _resolve(self, address: Address) -> tuple[socket.AddressFamily, tuple[Any, ...]]:
        """Return the family and socket address of an address; a host name, unusual here, is looked up."""
        if address.host[-1:].isdigit() or ":" in address.host:
            return family_of(address), (address.host, address.port)
        candidates = await self.context.loop.getaddrinfo(address.host, address.port, type=socket.SOCK_STREAM)
        family, _, _, _, target = candidates[0]
        return family, target[:2]

    async def _connect_socket(self, family: socket.AddressFamily, target: tuple[Any, ...]) -> socket.socket:
        sock = tcp_socket(self.context.make_socket, family)
        try:
            await self.context.loop.sock_connect(sock, target)
            # A connect that could not start (EAGAIN) looks established; getpeername raises OSError for it.
            sock.getpeername()
        except BaseException:
            sock.close()
            raise
        return sock
