"""Opens listening sockets and accepts connections on them."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from typing import Protocol

from cottonhold.discovery.model import Address
from cottonhold.transport.accept_progress import AcceptProgress
from cottonhold.transport.clock import Clock
from cottonhold.transport.interface import StreamHandle, StreamProtocol
from cottonhold.transport.io_context import RESOURCE_RETRY_S, IoContext
from cottonhold.transport.socket_factory import CONNECTION_ERRORS, RESOURCE_ERRORS
from cottonhold.transport.sockets import bind, family_of, steer_to_newest, tcp_socket
from cottonhold.transport.stream import Stream, StreamSet
from cottonhold.transport.tcp_info import queued_connections

CLIENT_READ_BYTES = 4096  # largest size of one read
BACKLOG = 512
ACCEPT_PAUSE_S = 0.02  # pause after a failure
OPEN_TIMEOUT_S = 3.0  # longest wait for a resource at a start, which has to be ready within 6 s
MAX_BROKEN_CONNECTIONS = 64  # consecutive broken connections in the queue until the next pause
MAX_QUEUE_DELAY_S = 0.5  # time after which a closing listener drops the rest of its queue


class ServerProtocol(StreamProtocol, Protocol):
    """The state machine of an accepted connection."""

    stream: StreamHandle | None


class ProtocolFactory(Protocol):
    """Creates the state machine of each accepted connection."""

    def open(self) -> ServerProtocol:
        """Create the state machine of a new connection."""


class LimitingProtocolFactory(ProtocolFactory, Protocol):
    """A protocol factory that limits the number of connections."""

    def has_capacity(self, count_queued: Callable[[], int], /) -> bool:
        """Return whether another connection may be accepted.

        `count_queued` returns how many connections wait in the listener's queue.
        """

    def evict_inactive(self, count_queued: Callable[[], int], /) -> None:
        """Close some inactive connections, to release their descriptors."""

    def on_queue_empty(self) -> None:
        """Record that no connection waits in the listener's queue."""

    def capacity_pause_ms(self) -> float:
        """Return when to check again whether there is capacity, in ms."""


class Listener:
    """Opens listening sockets and accepts connections; the caller closes the listening sockets."""

    def __init__(self, context: IoContext, streams: StreamSet) -> None:
        self.context, self.streams = context, streams
        self.client_socket: socket.socket | None = None  # where clients are accepted
        self.clock: Clock = context.clock
        self.progress = AcceptProgress(self.clock.now())

    def max_wait_ms(self) -> float:
        """Return the longest time that a client's connection may have waited in the queue, in ms."""
        if self.client_socket is None:
            return 0.0
        self._count_queued(self.client_socket)
        return self.progress.max_wait_ms(self.clock.now())

    def _count_queued(self, sock: socket.socket) -> int:
        queued = queued_connections(sock)
        self.progress.on_queue_length(self.clock.now(), queued)
        return queued

    async def open_with_retry(self, make: Callable[[], socket.socket]) -> socket.socket:
        """Create a required socket, retrying for up to OPEN_TIMEOUT_S if a resource is lacking.

        Args:
            make: Creates the socket.

        Raises:
            OSError: The socket can't be created for another reason, or the resource is still lacking.
        """
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
        """Open a socket that listens at an address.

        Args:
            address: The address to listen at.
            is_shared: Whether another process may listen there too; new connections then go to the newer
                socket.

        Raises:
            OSError: The address can't be used, or a resource is lacking.
        """
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

    async def accept(self, sock: socket.socket, sessions: LimitingProtocolFactory) -> None:
        """Accept clients until cancelled.

        All clients that have arrived are accepted in one iteration of the loop. With one per iteration, a
        busy loop would read their requests after their deadlines.
        """
        failures = 0  # consecutive failures
        self.client_socket = sock

        def count_queued() -> int:
            return self._count_queued(sock)

        while True:
            if not sessions.has_capacity(count_queued):
                await asyncio.sleep(sessions.capacity_pause_ms() / 1000)
                continue
            try:
                await self.context.wait_until_readable(sock)
                while sessions.has_capacity(count_queued):
                    client = self._accept_now(sock)
                    if client is None:
                        self.progress.on_queue_length(self.clock.now(), 0)
                        sessions.on_queue_empty()
                        break
                    failures = 0
                    self.admit(client, sessions.open())
            except OSError as error:
                failures += 1
                await self._on_client_accept_failed(error, failures, sock, sessions)

    async def _on_client_accept_failed(
        self, error: OSError, failures: int, sock: socket.socket, sessions: LimitingProtocolFactory
    ) -> None:
        """Handle a failure of accept at the clients' address; lacking descriptors are taken from others."""
        if error.errno in RESOURCE_ERRORS:
            sessions.evict_inactive(lambda: self._count_queued(sock))
        elif error.errno in CONNECTION_ERRORS:
            self.progress.on_accepted()
        pause_s = sessions.capacity_pause_ms() / 1000
        await self._on_accept_failed(error, failures, "accept", "accept", pause_s)

    async def _on_accept_failed(
        self,
        error: OSError,
        failures: int,
        counter_prefix: str,
        log_prefix: str,
        pause_s: float = ACCEPT_PAUSE_S,
    ) -> None:
        """Count a failure of accept, log it if it is the first in a row, and pause if necessary.

        If a resource is lacking, accept fails immediately, and retrying without a pause would be a busy loop.
        A connection that broke in the queue needs no pause, since the next one may be accepted.

        Args:
            error: The error of accept.
            failures: Number of consecutive failures.
            counter_prefix: Beginning of the counter's name.
            log_prefix: Beginning of the log line.
            pause_s: The pause.
        """
        self.context.counters.add(f"{counter_prefix}_failed")
        is_of_connection = error.errno in CONNECTION_ERRORS
        if failures == 1 and not is_of_connection:
            self.context.log(f"{log_prefix}: {error}")
        await asyncio.sleep(0 if is_of_connection and failures % MAX_BROKEN_CONNECTIONS else pause_s)

    def _accept_now(self, sock: socket.socket) -> socket.socket | None:
        """Accept a connection that has already arrived; return None if there is none. Raises OSError."""
        try:
            client, _ = sock.accept()
        except BlockingIOError:
            return None
        client.setblocking(False)
        return client

    def admit(self, client: socket.socket, protocol: ServerProtocol) -> None:
        """Serve an accepted connection, take ownership of its socket, and read what has arrived.

        A failing socket option is ignored: if the peer has disconnected, the first read detects that.
        """
        self.progress.on_accepted()
        try:
            client.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        except OSError:
            self.context.counters.add("accept_options_failed")
        self._serve(client, protocol).read_available()

    def _serve(self, client: socket.socket, protocol: ServerProtocol) -> Stream:
        stream = Stream(self.streams, protocol, CLIENT_READ_BYTES)
        protocol.stream = stream
        stream.start(client)
        return stream

    async def accept_queued(self, sock: socket.socket, sessions: LimitingProtocolFactory) -> None:
        """Accept all queued connections of a listener that is about to close, which would reset them."""
        failures, deadline = 0, self.context.loop.time() + MAX_QUEUE_DELAY_S
        while True:
            try:
                while (client := self._accept_now(sock)) is not None:
                    self.admit(client, sessions.open())
                return
            except OSError as error:
                failures += 1
                await self._on_client_accept_failed(error, failures, sock, sessions)
            if self.context.loop.time() >= deadline:
                return

    async def accept_one(self, sock: socket.socket, counter_prefix: str, log_prefix: str) -> socket.socket:
        """Wait for the next connection and return it; failures are counted, logged and retried.

        Args:
            sock: The listening socket.
            counter_prefix: Beginning of the counter's name for failures.
            log_prefix: Beginning of the log line of a failure.
        """
        failures = 0  # consecutive failures
        while True:
            try:
                await self.context.wait_until_readable(sock)
                if (client := self._accept_now(sock)) is not None:
                    return client
            except OSError as error:
                failures += 1
                await self._on_accept_failed(error, failures, counter_prefix, log_prefix)

    async def serve_admin_api(self, sock: socket.socket, admin_api: ProtocolFactory) -> None:
        """Accept and serve calls of the admin API until cancelled."""
        while True:
            caller = await self.accept_one(sock, "ops_accept", "operators' calls")
            self._serve(caller, admin_api.open())
