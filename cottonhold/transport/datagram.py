"""The UDP socket for datagrams between instances."""

from __future__ import annotations

import socket
from collections.abc import Callable

from cottonhold.discovery.model import Address
from cottonhold.transport.io_context import RESOURCE_RETRY_S, IoContext
from cottonhold.transport.socket_factory import RESOURCE_ERRORS
from cottonhold.transport.sockets import bind, steer_to_newest

MAX_DATAGRAMS_PER_READ = 64  # bounds the time of one read, so that a flood does not block the event loop
MAX_DATAGRAM_BYTES = 2048

DatagramHandler = Callable[[bytes, Address], None]


class DatagramSocket:
    """Sends and receives datagrams on a socket that stays open until the process ends."""

    def __init__(self, context: IoContext) -> None:
        self.context = context
        self.sock: socket.socket | None = None

    def open(self, address: Address) -> socket.socket:
        """Bind the socket, even if another process is bound to the same address. Raises OSError."""
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
        """Start to pass each received datagram and its sender to a handler.

        This uses a reader callback of the event loop because uvloop has no sock_recvfrom.
        """

        def on_readable() -> None:
            if not self._receive_some(sock, handler):
                # A resource is lacking or every call fails: retrying immediately would be a busy loop.
                self.context.loop.remove_reader(sock)
                self.context.loop.call_later(RESOURCE_RETRY_S, start)

        def start() -> None:
            if sock.fileno() >= 0:
                self.context.loop.add_reader(sock, on_readable)

        start()

    def _receive_some(self, sock: socket.socket, handler: DatagramHandler) -> bool:
        """Receive the datagrams that have arrived, up to a limit; return false if reading must pause."""
        failures = 0
        for _ in range(MAX_DATAGRAMS_PER_READ):
            try:
                data, sender = sock.recvfrom(MAX_DATAGRAM_BYTES)
            except (BlockingIOError, InterruptedError):
                return True
            except OSError as error:  # an earlier datagram was not delivered, or a resource is lacking
                self.context.counters.add("peer_broken")
                failures += 1
                if error.errno in RESOURCE_ERRORS or failures == MAX_DATAGRAMS_PER_READ:
                    return False
                continue
            handler(data, Address(sender[0], sender[1]))
        return True

    def send(self, data: bytes, target: Address) -> None:
        """Send a datagram; it is dropped if the send buffer is full or the call fails."""
        if self.sock is not None:
            try:
                self.sock.sendto(data, (target.host, target.port))
                self.context.counters.add("peer_sent")
            except OSError:
                self.context.counters.add("peer_broken")
