"""Outgoing connections."""

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

ENGINE_READ_BYTES = 32768  # that one read takes
DEFAULT_TIMEOUT_S = 0.25


class ClientProtocol(StreamProtocol, Protocol):
    """The state machine of an outgoing connection."""

    lacked_local_resources: bool  # set where this machine could not make the connection

    def on_connected(self) -> None:
        """The connection is up."""


class Connector:
    """Opens outgoing connections."""

    def __init__(self, context: IoContext, streams: StreamSet) -> None:
        self.context, self.streams = context, streams
        self.timeout_s = DEFAULT_TIMEOUT_S

    def connect(self, address: Address, protocol: ClientProtocol) -> Stream:
        """Open a connection; the protocol is notified when it is up, or that it never came up."""
        stream = Stream(self.streams, protocol, ENGINE_READ_BYTES)
        stream.task = self.context.spawn(self._connect(address, protocol, stream))
        return stream

    async def _connect(self, address: Address, protocol: ClientProtocol, stream: Stream) -> None:
        try:
            sock = await self.dial(address, self.timeout_s)
        except BaseException as error:
            self.context.counters.add("connect_failed")
            is_local = isinstance(error, OSError) and error.errno in CONNECT_RESOURCE_ERRORS
            protocol.lacked_local_resources = is_local
            protocol.on_closed()
            if not isinstance(error, OSError):  # a time-out is one
                raise
            return
        protocol.on_connected()
        stream.start(sock)

    async def dial(self, address: Address, timeout_s: float) -> socket.socket:
        """A connected socket, the caller's. Raises OSError, a time-out too.

        A machine that vanished never answers, and the system would try for minutes. Where a resource of this
        machine lacks, the connect is tried again within the time, and that error is raised at its end.
        """
        lacking: OSError | None = None
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
                        lacking = error
                    await asyncio.sleep(RESOURCE_RETRY_S)
        except TimeoutError:
            raise lacking or TimeoutError from None

    async def _resolve(self, address: Address) -> tuple[socket.AddressFamily, tuple[Any, ...]]:
        """An address's family and socket address. Only names are looked up; the platform has none."""
        if address.host[-1:].isdigit() or ":" in address.host:
            return family_of(address), (address.host, address.port)
        found = await self.context.loop.getaddrinfo(address.host, address.port, type=socket.SOCK_STREAM)
        family, _, _, _, target = found[0]
        return family, target[:2]

    async def _connect_socket(self, family: socket.AddressFamily, target: tuple[Any, ...]) -> socket.socket:
        sock = tcp_socket(self.context.make_socket, family)
        try:
            await self.context.loop.sock_connect(sock, target)
            # A connect that could not begin (EAGAIN) looks like one that is up; this raises OSError for it.
            sock.getpeername()
        except BaseException:
            sock.close()
            raise
        return sock
