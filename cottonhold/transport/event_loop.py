"""The event loop with everything that reads and writes sockets on it, using asyncio's API on uvloop."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

from cottonhold.observe.counters import Counters
from cottonhold.transport.connector import Connector
from cottonhold.transport.datagram import DatagramSocket
from cottonhold.transport.event_stream_client import EventStreamClient
from cottonhold.transport.io_context import IoContext
from cottonhold.transport.listener import Listener
from cottonhold.transport.socket_factory import MakeSocket
from cottonhold.transport.stream import StreamSet


class EventLoop(IoContext):
    """All network I/O of one process: streams, listener, connector, datagrams and the event stream."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        counters: Counters,
        log: Callable[[str], None],
        make_socket: MakeSocket = socket.socket,
    ) -> None:
        super().__init__(loop, counters, log, make_socket)
        self.streams = StreamSet(self)
        self.listener = Listener(self, self.streams)
        self.connector = Connector(self, self.streams)
        self.datagrams = DatagramSocket(self)
        self.event_stream = EventStreamClient(self, self.connector)
