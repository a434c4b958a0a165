"""Listening sockets, and the connections that arrive there."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from typing import Protocol

from cottonhold.discovery.model import Address
from cottonhold.transport.interface import StreamHandle, StreamProtocol
from cottonhold.transport.io_context import RESOURCE_RETRY_S, IoContext
from cottonhold.transport.socket_factory import CONNECTION_ERRORS, RESOURCE_ERRORS
from cottonhold.transport.sockets import bind, family_of, steer_to_newest, tcp_socket
from cottonhold.transport.stream import Stream, StreamSet

CLIENT_READ_BYTES = 4096  # that one read takes
BACKLOG = 512
ACCEPT_PAUSE_S = 0.02  # after a failure, or while there is no capacity
EVICTION_PAUSE_S = 0.001  # while evicted connections free their places
OPEN_TIMEOUT_S = 3.0  # that a start waits at most for a resource: it has to be ready within 6 s
MAX_BROKEN_CONNECTIONS = 64  # that broke in the queue, in a row, between two pauses
MAX_QUEUE_PAUSES = 25  # that a listener's close waits at most for what accept lacks


class ServerProtocol(StreamProtocol, Protocol):
    """The state machine of an accepted connection."""

    stream: StreamHandle | None


class ProtocolFactory(Protocol):
    """Makes the state machine of each connection."""

    def open(self) -> ServerProtocol:
        """The state machine of a new connection."""


class AdmittingFactory(ProtocolFactory, Protocol):
    """One that limits how many connections there are."""

    def has_capacity(self) -> bool:
        """Whether a further connection may be accepted."""

    def is_evicting(self) -> bool:
        """Whether evicted connections are about to free their places."""


class Listener:
    """Opens listening sockets and accepts connections there; the sockets are the caller's."""

    def __init__(self, context: IoContext, streams: StreamSet) -> None:
        self.context, self.streams = context, streams

    async def open_with_retry(self, make: Callable[[], socket.socket]) -> socket.socket:
        """A socket that this process can't do without, waited for where a resource lacks. Raises OSError."""
        loop = self.context.loop
        deadline = loop.time() + OPEN_TIMEOUT_S
        while True:
            try:
                return make()
            except OSError as error:
                if error.errno not in RESOURCE_ERRORS or loop.time() > deadline:
                    raise
                self.context.counters.add("sockets_lacking")
            await asyncio.sleep(RESOURCE_RETRY_S)

    def listen(self, address: Address, is_shared: bool = False) -> socket.socket:
        """Listen at an address; a shared one also where another process listens. Raises OSError."""
        sock = tcp_socket(self.context.make_socket, family_of(address))
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            bind(sock, address, is_shared)
            sock.listen(BACKLOG)
        except OSError:
            sock.close()
            raise
        if is_shared:
            steer_to_newest(sock, self.context.counters, self.context.log)
        return sock

    async def accept(self, sock: socket.socket, sessions: AdmittingFactory) -> None:
        """Accept clients until cancelled.

        All that have arrived are accepted in one turn of the loop: one a turn, on a busy loop their requests
        would be read after their deadlines.
        """
        failures = 0  # in a row
        while True:
            if not sessions.has_capacity():
                await asyncio.sleep(EVICTION_PAUSE_S if sessions.is_evicting() else ACCEPT_PAUSE_S)
                continue
            try:
                await self.context.wait_until_readable(sock)
                while sessions.has_capacity() and (client := self._accept_now(sock)) is not None:
                    failures = 0
                    self.admit(client, sessions.open())
            except OSError as error:
                failures += 1
                await self._on_accept_failed(error, failures, "accept", "accept")

    async def _on_accept_failed(self, error: OSError, failures: int, counted_as: str, label: str) -> None:
        """Count a failure of accept, log the first in a row, and wait for as long as it calls for.

        Where a resource lacks, accept fails at once and would spin. One connection that broke in the queue
        says nothing of those behind it.
        """
        self.context.counters.add(f"{counted_as}_failed")
        is_of_connection = error.errno in CONNECTION_ERRORS
        if failures == 1 and not is_of_connection:
            self.context.log(f"{label}: {error}")
        await asyncio.sleep(0 if is_of_connection and failures % MAX_BROKEN_CONNECTIONS else ACCEPT_PAUSE_S)

    def _accept_now(self, sock: socket.socket) -> socket.socket | None:
        """A connection that has arrived already; None where none has. Raises OSError as accept does."""
        try:
            client, _ = sock.accept()
        except BlockingIOError:
            return None
        client.setblocking(False)
        return client

    def admit(self, client: socket.socket, protocol: ServerProtocol) -> None:
        """Serve an accepted connection; takes over the socket.

        Where an option fails because the peer has gone, the first read shows it; else it is served like any
        other.
        """
        try:
            client.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        except OSError:
            self.context.counters.add("accept_options_failed")
        self._serve(client, protocol)

    def _serve(self, client: socket.socket, protocol: ServerProtocol) -> None:
        stream = Stream(self.streams, protocol, CLIENT_READ_BYTES)
        protocol.stream = stream
        stream.start(client)

    async def accept_queued(self, sock: socket.socket, sessions: ProtocolFactory) -> None:
        """Accept all that wait at a listener that is about to close: they would be reset with it."""
        failures = pauses = 0
        while pauses < MAX_QUEUE_PAUSES:
            try:
                while (client := self._accept_now(sock)) is not None:
                    self.admit(client, sessions.open())
                return
            except OSError as error:
                failures += 1
                pauses += error.errno not in CONNECTION_ERRORS or failures % MAX_BROKEN_CONNECTIONS == 0
                await self._on_accept_failed(error, failures, "accept", "accept")

    async def accept_one(self, sock: socket.socket, counted_as: str, label: str) -> socket.socket:
        """The next connection that arrives; failures meanwhile are counted, logged and waited out."""
        failures = 0  # in a row
        while True:
            try:
                await self.context.wait_until_readable(sock)
                if (client := self._accept_now(sock)) is not None:
                    return client
            except OSError as error:
                failures += 1
                await self._on_accept_failed(error, failures, counted_as, label)

    async def serve_admin_api(self, sock: socket.socket, admin_api: ProtocolFactory) -> None:
        """Accept operators' calls until cancelled."""
        while True:
            caller = await self.accept_one(sock, "ops_accept", "operators' calls")
            self._serve(caller, admin_api.open())
