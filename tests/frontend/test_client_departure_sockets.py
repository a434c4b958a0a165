"""Clients that leave, on real sockets: however they end their connection, nothing is begun for them."""

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


class Rig:
    """A dispatcher's protocols on the event loop: clients on loopback, an engine that comes up when told."""

    def __init__(self) -> None:
        self.loop, counters = asyncio.get_running_loop(), Counters()
        self.event_loop = EventLoop(self.loop, counters, print)
        clock = self.event_loop.clock
        self.engines = EngineConnections(
            ConnectionSettings(15000.0, 60_000.0, 32), clock, counters, print, 64
        )
        self.engines.connect = self.connect
        self.gateway = Gateway(SITES["little allowed"], 1, clock, self.engines, counters, print)
        self.front = ClientSessions(self.gateway, clock, counters, Lifecycle(), 64)
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.connecting: list[Connection] = []
        self.clients: list[socket.socket] = []
        self.engine: socket.socket | None = None
        engine = Engine("a")
        self.gateway.on_engine_list(EngineListChange((engine,), {"a": Address("a", 1)}, True))

    def connect(self, address: Address, connection: Connection) -> Stream:
        self.connecting.append(connection)
        return Stream(self.event_loop.streams, connection, 4096)

    def come_up(self) -> None:
        """The engine takes the connection that waits for it."""
        connection = self.connecting.pop()
        near, self.engine = socket.socketpair()
        near.setblocking(False)
        self.engine.setblocking(False)
        connection.on_connected()
        assert isinstance(connection.stream, Stream)
        connection.stream.start(near)

    def client(self, *queries: str) -> socket.socket:
        """A client that writes its login and these queries at once, as `CLASS REF`."""
        far = socket.create_connection(self.listener.getsockname())
        near, _ = self.listener.accept()
        near.setblocking(False)
        self.event_loop.listener.admit(near, self.front.open())
        far.setblocking(False)
        data = packet(1, LOGIN)
        for query in queries:
            name, ref = query.split()
            text = f"/* service={name},ref={int(ref):016x},allow=20000 */ SELECT a FROM s_7.t"
            data += packet(0, b"\x03" + text.encode())
        far.send(data)
        self.clients.append(far)
        return far

    async def until(self, there: Callable[[], object]) -> None:
        while not there():
            await asyncio.sleep(0)

    def heard(self) -> list[bytes]:
        """What lies at the engine this very moment, as verb and id."""
        assert self.engine is not None
        try:
            return [b" ".join(words[:2]) for words in RespReader().feed(self.engine.recv(1 << 16))]
        except BlockingIOError:
            return []

    async def close(self) -> None:
        for place in list(self.engines.endpoints.values()):
            for connection in list(place.connections):
                connection.close()
        for far in self.clients:
            far.close()
        for wire in list(self.event_loop.streams):
            wire.abort()
        await asyncio.gather(*self.event_loop.tasks, return_exceptions=True)
        self.listener.close()
        if self.engine is not None:
            self.engine.close()


def played(story: Callable[[Rig], Coroutine[Any, Any, None]]) -> None:
    async def scenario() -> None:
        rig = Rig()
        try:
            await asyncio.wait_for(story(rig), 20)
        finally:
            await rig.close()

    asyncio.run(scenario())


def closes(rig: Rig, client: socket.socket) -> None:
    client.close()


def resets(rig: Rig, client: socket.socket) -> None:
    client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    client.close()


def sends_no_more(rig: Rig, client: socket.socket) -> None:
    """It may still read, but can't be told from one that has gone; it is owed nothing, as at any server."""
    client.shutdown(socket.SHUT_WR)


def kills(rig: Rig, client: socket.socket) -> None:
    number = min(rig.front.sessions)
    rig.client().send(packet(0, b"\x03KILL QUERY %d" % number))


LEAVES = [closes, resets, sends_no_more, kills]


@pytest.mark.parametrize("leaves", LEAVES)
@pytest.mark.parametrize("name", ["lookup", "load", "keyed"])
def test_nothing_is_begun_for_a_client_that_left_during_a_connect(
    name: str, leaves: Callable[[Rig, socket.socket], None]
) -> None:
    async def story(rig: Rig) -> None:
        client = rig.client(f"{name} 1")
        await rig.until(lambda: rig.connecting)
        leaves(rig, client)
        await rig.until(lambda: not rig.gateway.open_count)
        rig.come_up()
        await rig.until(lambda: not rig.gateway.requests and not rig.gateway.scheduler.queries)
        assert rig.heard() == []

    played(story)


@pytest.mark.parametrize("leaves", [closes, resets, sends_no_more])
def test_an_end_behind_commands_that_were_written_ahead_is_seen(
    leaves: Callable[[Rig, socket.socket], None],
) -> None:
    async def story(rig: Rig) -> None:
        client = rig.client("load 1", "load 2", "lookup 3")
        leaves(rig, client)
        await rig.until(lambda: rig.connecting or not rig.front.sessions)
        await rig.until(lambda: not rig.gateway.open_count and not rig.front.sessions)
        if rig.connecting:
            rig.come_up()
            await rig.until(lambda: not rig.gateway.requests and not rig.gateway.scheduler.queries)
            assert rig.heard() == []

    played(story)


@pytest.mark.parametrize("leaves", LEAVES)
def test_an_answer_that_meets_the_end_of_its_client_harms_nobody(
    leaves: Callable[[Rig, socket.socket], None],
) -> None:
    """The answer is with the system before the end is read; another client's request is still served."""

    async def story(rig: Rig) -> None:
        client = rig.client("load 1")
        await rig.until(lambda: rig.connecting)
        rig.come_up()
        await rig.until(rig.heard)
        assert rig.engine is not None
        rig.engine.send(encode_array(b"%016x" % 1, *SERVED))
        leaves(rig, client)
        await rig.until(lambda: not rig.gateway.requests)
        other = rig.client("load 2")
        await rig.until(rig.heard)
        rig.engine.send(encode_array(b"%016x" % 2, *SERVED))
        data = b""
        while not (data.endswith(EOF) and b"\x01a\x01b\x01c" in data):
            data += await rig.loop.sock_recv(other, 4096)
        assert rig.gateway.open_count == 0

    played(story)
