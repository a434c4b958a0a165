"""The socket for datagrams between instances."""

from __future__ import annotations

import socket
from collections.abc import Callable

from cottonhold.discovery.model import Address
from cottonhold.transport.io_context import RESOURCE_RETRY_S, IoContext
from cottonhold.transport.socket_factory import RESOURCE_ERRORS
from cottonhold.transport.sockets import bind, steer_to_newest

MAX_DATAGRAMS_PER_READ = 64  # so that a flood of them does not stop the rest
MAX_DATAGRAM_BYTES = 2048

DatagramHandler = Callable[[bytes, Address], None]


class DatagramSocket:
    """Sends and receives datagrams; the socket stays open for the process's lifetime."""

    def __init__(self, context: IoContext) -> None:
        self.context = context
        self.sock: socket.socket | None = None

    def open(self, address: Address) -> socket.socket:
        """Bind the socket, also where another process has one. Raises OSError."""
        sock = self.context.make_socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.setblocking(False)
        try:
            bind(sock, address, is_shared=True)
        except OSError:
            sock.close()
            raise
        steer_to_newest(sock, self.context.counters, self.context.log)
        self.sock = sock
        return sock

    def receive(self, sock: socket.socket, handler: DatagramHandler) -> None:
        """Give each datagram and its sender to a handler from now on.

        By a reader of the event loop: uvloop has no sock_recvfrom.
        """

        def on_readable() -> None:
            if not self._receive_some(sock, handler):
                # Something lacks, or each call fails: repeated at once, that would spin.
                self.context.loop.remove_reader(sock)
                self.context.loop.call_later(RESOURCE_RETRY_S, start)

        def start() -> None:
            if sock.fileno() >= 0:
                self.context.loop.add_reader(sock, on_readable)

        start()

    def _receive_some(self, sock: socket.socket, handler: DatagramHandler) -> bool:
        """Receive what has arrived, up to a limit; false where reading must pause."""
        failures = 0
        for _ in range(MAX_DATAGRAMS_PER_READ):
            try:
                data, sender = sock.recvfrom(MAX_DATAGRAM_BYTES)
            except (BlockingIOError, InterruptedError):
                return True
            except OSError as error:  # a datagram sent before reached nobody, or something lacks
                self.context.counters.add("peer_broken")
                failures += 1
                if error.errno in RESOURCE_ERRORS or failures == MAX_DATAGRAMS_PER_READ:
                    return False
                continue
            handler(data, Address(sender[0], sender[1]))
        return True

    def send(self, data: bytes, target: Address) -> None:
        """Send a datagram; it may be lost, so a full buffer loses it."""
        if self.sock is not None:
            try:
                self.sock.sendto(data, (target.host, target.port))
                self.context.counters.add("peer_sent")
            except OSError:
                self.context.counters.add("peer_broken")
