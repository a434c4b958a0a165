"""Clients that disconnect in different ways, on real sockets: no attempt is started for them afterwards."""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import Callable, Coroutine
from typing import Any

import pytest

from cottonhold.backend.connection import Connection
from cottonhold.backend.connection_pool import EngineConnections
from cottonhold.backend.resp import RespReader, encode_array
from cottonhold.config.relay import ConnectionSettings
from cottonhold.discovery.model import Address, EngineListChange
from cottonhold.frontend.client_sessions import ClientSessions
from cottonhold.frontend.mysql_packets import EOF
from cottonhold.node.gateway import Gateway
from cottonhold.node.lifecycle import Lifecycle
from cottonhold.observe.counters import Counters
from cottonhold.scheduler.events import Engine
from cottonhold.transport.event_loop import EventLoop
from cottonhold.transport.stream import Stream
from tests.frontend.test_client_departure import SITES
from tests.support.scenario import LOGIN, packet

SERVED = [b"served", b"count=1", b"a\tb\tc\n"]


class DispatcherSockets:
    """A dispatcher on the event loop, with clients on loopback and an engine that accepts on demand."""

    def __init__(self) -> None:
        self.loop, counters = asyncio.get_running_loop(), Counters()
        self.event_loop = EventLoop(self.loop, counters, print)
        clock = self.event_loop.clock
        self.engines = EngineConnections(
            ConnectionSettings(15000.0, 60_000.0, 32), clock, counters, print, 64
        )
        self.engines.connect = self.connect
        self.gateway = Gateway(SITES["few features"], 1, clock, self.engines, counters, print)
        self.sessions = ClientSessions(self.gateway, clock, counters, Lifecycle(), 64)
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.connecting: list[Connection] = []
        self.clients: list[socket.socket] = []
        self.engine: socket.socket | None = None
        engine = Engine("a")
        self.gateway.on_engine_list(EngineListChange((engine,), {"a": Address("a", 1)}, True))

    def connect(self, address: Address, connection: Connection) -> Stream:
        self.connecting.append(connection)
        return Stream(self.event_loop.streams, connection, 4096)

    def accept_connect(self) -> None:
        """Let the engine accept the pending connect."""
        connection = self.connecting.pop()
        dispatcher_end, self.engine = socket.socketpair()
        dispatcher_end.setblocking(False)
        self.engine.setblocking(False)
        connection.on_connected()
        assert isinstance(connection.stream, Stream)
        connection.stream.start(dispatcher_end)

    def client(self, *queries: str) -> socket.socket:
        """Connect a client that writes its login and these queries, given as `CLASS REF`, at once."""
        client_end = socket.create_connection(self.listener.getsockname())
        dispatcher_end, _ = self.listener.accept()
        dispatcher_end.setblocking(False)
        self.event_loop.listener.admit(dispatcher_end, self.sessions.open())
        client_end.setblocking(False)
        data = packet(1, LOGIN)
        for query in queries:
            name, ref = query.split()
            text = f"/* service={name},ref={int(ref):016x},allow=20000 */ SELECT a FROM s_7.t"
            data += packet(0, b"\x03" + text.encode())
        client_end.send(data)
        self.clients.append(client_end)
        return client_end

    async def until(self, condition: Callable[[], object]) -> None:
        while not condition():
            await asyncio.sleep(0)

    def received_now(self) -> list[bytes]:
        """Return the requests that have reached the engine so far, as verb and id."""
        assert self.engine is not None
        try:
            return [b" ".join(elements[:2]) for elements in RespReader().feed(self.engine.recv(1 << 16))]
        except BlockingIOError:
            return []

    async def close(self) -> None:
        for endpoint in list(self.engines.endpoints.values()):
            for connection in list(endpoint.connections):
                connection.close()
        for client_end in self.clients:
            client_end.close()
        for stream in list(self.event_loop.streams):
            stream.abort()
        await asyncio.gather(*self.event_loop.tasks, return_exceptions=True)
        self.listener.close()
        if self.engine is not None:
            self.engine.close()


def run_scenario(scenario: Callable[[DispatcherSockets], Coroutine[Any, Any, None]]) -> None:
    async def main() -> None:
        dispatcher = DispatcherSockets()
        try:
            await asyncio.wait_for(scenario(dispatcher), 20)
        finally:
            await dispatcher.close()

    asyncio.run(main())


def close_socket(dispatcher: DispatcherSockets, client: socket.socket) -> None:
    client.close()


def reset_socket(dispatcher: DispatcherSockets, client: socket.socket) -> None:
    client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    client.close()


def shut_down_writing(dispatcher: DispatcherSockets, client: socket.socket) -> None:
    """Close only the write side: the client could still read, but counts as gone, as at any server."""
    client.shutdown(socket.SHUT_WR)


def kill_query(dispatcher: DispatcherSockets, client: socket.socket) -> None:
    number = min(dispatcher.sessions.sessions)
    dispatcher.client().send(packet(0, b"\x03KILL QUERY %d" % number))


DEPARTURES = [close_socket, reset_socket, shut_down_writing, kill_query]


@pytest.mark.parametrize("depart", DEPARTURES)
@pytest.mark.parametrize("name", ["lookup", "load", "keyed"])
def test_no_attempt_starts_after_the_client_disconnected_during_a_connect(
    name: str, depart: Callable[[DispatcherSockets, socket.socket], None]
) -> None:
    async def scenario(dispatcher: DispatcherSockets) -> None:
        client = dispatcher.client(f"{name} 1")
        await dispatcher.until(lambda: dispatcher.connecting)
        depart(dispatcher, client)
        await dispatcher.until(lambda: not dispatcher.gateway.open_count)
        dispatcher.accept_connect()
        await dispatcher.until(
            lambda: not dispatcher.gateway.requests and not dispatcher.gateway.scheduler.queries
        )
        assert dispatcher.received_now() == []

    run_scenario(scenario)


@pytest.mark.parametrize("depart", [close_socket, reset_socket, shut_down_writing])
def test_a_close_after_pipelined_commands_is_detected(
    depart: Callable[[DispatcherSockets, socket.socket], None],
) -> None:
    async def scenario(dispatcher: DispatcherSockets) -> None:
        client = dispatcher.client("load 1", "load 2", "lookup 3")
        depart(dispatcher, client)
        await dispatcher.until(lambda: dispatcher.connecting or not dispatcher.sessions.sessions)
        await dispatcher.until(lambda: not dispatcher.gateway.open_count and not dispatcher.sessions.sessions)
        if dispatcher.connecting:
            dispatcher.accept_connect()
            await dispatcher.until(
                lambda: not dispatcher.gateway.requests and not dispatcher.gateway.scheduler.queries
            )
            assert dispatcher.received_now() == []

    run_scenario(scenario)


@pytest.mark.parametrize("depart", DEPARTURES)
def test_an_answer_that_crosses_its_clients_close_affects_no_other_client(
    depart: Callable[[DispatcherSockets, socket.socket], None],
) -> None:
    """The answer arrives before the close is read; afterwards, another client's request is served."""

    async def scenario(dispatcher: DispatcherSockets) -> None:
        client = dispatcher.client("load 1")
        await dispatcher.until(lambda: dispatcher.connecting)
        dispatcher.accept_connect()
        await dispatcher.until(dispatcher.received_now)
        assert dispatcher.engine is not None
        dispatcher.engine.send(encode_array(b"%016x" % 1, *SERVED))
        depart(dispatcher, client)
        await dispatcher.until(lambda: not dispatcher.gateway.requests)
        other = dispatcher.client("load 2")
        await dispatcher.until(dispatcher.received_now)
        dispatcher.engine.send(encode_array(b"%016x" % 2, *SERVED))
        data = b""
        while not (data.endswith(EOF) and b"\x01a\x01b\x01c" in data):
            data += await dispatcher.loop.sock_recv(other, 4096)
        assert dispatcher.gateway.open_count == 0

    run_scenario(scenario)
