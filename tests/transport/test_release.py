"""The memory of connections that have ended is released at once, without the garbage collector."""

from __future__ import annotations

import asyncio
import gc
import socket
import struct
import weakref
from collections.abc import Callable, Iterator
from typing import Any

import pytest

from cottonhold.discovery.model import Address, EngineListChange
from cottonhold.scheduler.events import Engine as ListedEngine
from tests.support.loopback import Client, Loopback, run_scenario
from tests.support.scenario import LOGIN, packet

RESET_ON_CLOSE = struct.pack("ii", 1, 0)


@pytest.fixture(autouse=True)
def no_collection() -> Iterator[None]:
    """Disable the garbage collector, so that only reference counts release memory."""
    gc.collect()
    gc.disable()
    yield
    gc.enable()


def close(loopback: Loopback, client: Client) -> None:
    client.sock.close()


def reset(loopback: Loopback, client: Client) -> None:
    client.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    client.sock.close()


def close_within_a_packet(loopback: Loopback, client: Client) -> None:
    client.sock.send(b"\xe8\x03\x00\x00" + b"x" * 500)
    client.sock.close()


def send_quit(loopback: Loopback, client: Client) -> None:
    client.sock.send(packet(0, b"\x01"))
    client.sock.close()


def send_noise(loopback: Loopback, client: Client) -> None:
    client.sock.send(b"\xff" * 100)
    client.sock.close()


def evict(loopback: Loopback, client: Client) -> None:
    assert all(session.evict() for session in list(loopback.world.sessions.sessions.values()))


@pytest.mark.parametrize("leave", [close, reset, close_within_a_packet, send_quit, send_noise, evict])
def test_the_session_of_an_ended_connection_is_released(leave: Callable[[Loopback, Client], None]) -> None:
    """Guards against megabytes of ended sessions while a crowd of clients comes and goes."""

    async def scenario(loopback: Loopback) -> None:
        client = loopback.client(packet(1, LOGIN))
        await loopback.until(lambda: client.responses() == ["greeting", "ok"])
        sessions = loopback.world.sessions.sessions
        references = [weakref.ref(session) for session in sessions.values()]
        leave(loopback, client)
        await loopback.until(lambda: not sessions)
        for _ in range(5):
            await asyncio.sleep(0)
        assert [reference() for reference in references] == [None]

    run_scenario(scenario)


def test_a_served_request_and_its_session_are_released() -> None:
    async def scenario(loopback: Loopback) -> None:
        client = loopback.client()
        client.send_query(1)
        await loopback.serve(1)
        await loopback.until(client.finished)
        references: list[weakref.ref[Any]] = [
            weakref.ref(session) for session in loopback.world.sessions.sessions.values()
        ]
        client.sock.close()
        await loopback.until(lambda: not loopback.world.sessions.sessions)
        for _ in range(5):
            await asyncio.sleep(0)
        assert [reference() for reference in references] == [None]

    run_scenario(scenario)


def test_a_connection_to_an_engine_that_refuses_it_is_released() -> None:
    """Guards against garbage of failed connects while an engine is down."""

    async def scenario(loopback: Loopback) -> None:
        with socket.create_server(("127.0.0.1", 0)) as server:
            address = Address(*server.getsockname())
        engines = (ListedEngine("e0"),)
        loopback.world.gateway.on_engine_list(EngineListChange(engines, {"e0": address}, True))
        connections = loopback.world.engines
        assert connections.check_health("e0")
        references = [weakref.ref(connection) for connection in connections.endpoints["e0"].connections]
        await loopback.until(lambda: connections.open_connections == 0)
        for _ in range(20):
            await loopback.run_once()
        assert [reference() for reference in references] == [None]

    run_scenario(scenario)
