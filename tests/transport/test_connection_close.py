"""How connections are closed, on real sockets.

A request that arrives before the close is answered, one that arrives later is not accepted, and no answer is
lost to a reset.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from types import SimpleNamespace
from typing import cast

import pytest
import uvloop

from cottonhold.frontend.mysql_session import IDLE_TIMEOUT_MS, SETTLE_MS
from cottonhold.node.dispatcher import Dispatcher
from cottonhold.node.lifecycle import SHUTDOWN_IDLE_CLOSE_MS
from tests.support.scenario import LOGIN, packet
from tests.transport.session_server import (
    OK,
    PING,
    QUIT,
    REJECTED,
    ROWS,
    UNREAD_BYTES,
    Client,
    SessionServer,
    query,
    run_scenario,
)


@pytest.fixture(
    params=[asyncio.new_event_loop, uvloop.new_event_loop], ids=["asyncio", "uvloop"], autouse=True
)
def each_loop(request: pytest.FixtureRequest, monkeypatch: pytest.MonkeyPatch) -> None:
    """Run each test on uvloop and on asyncio's loop, which deliver data in different iterations."""
    monkeypatch.setattr("tests.transport.session_server.new_loop", request.param)


def idle_too_long(server: SessionServer) -> None:
    server.world.clock.now_ms += IDLE_TIMEOUT_MS + 1


def drained(server: SessionServer) -> None:
    server.world.run("ops drain")
    idle_too_long(server)


def shutting_down(server: SessionServer) -> None:
    server.world.run("ops terminate")
    server.world.clock.now_ms += SHUTDOWN_IDLE_CLOSE_MS + SETTLE_MS + 1


def at_close_deadline(server: SessionServer) -> None:
    server.world.run("ops terminate")
    server.world.clock.now_ms = server.world.lifecycle.close_deadline()


def at_client_limit(server: SessionServer) -> None:
    server.world.clock.now_ms += IDLE_TIMEOUT_MS - 1
    server.world.sessions.max_sessions = 1


# Each makes connections without an open request eligible for closing.
CLOSE_REASONS = [idle_too_long, drained, shutting_down, at_close_deadline, at_client_limit]


def close_eligible_connections(server: SessionServer) -> None:
    server.world.sessions.check_timeouts()
    server.world.sessions.has_capacity()


@pytest.mark.parametrize("iterations", range(4))
@pytest.mark.parametrize("prepare_close", CLOSE_REASONS)
def test_a_request_received_before_its_idle_connection_closes_is_answered(
    prepare_close: Callable[[SessionServer], None], iterations: int
) -> None:
    """The request is still in the system's buffer or already read, depending on `iterations` of the loop."""

    async def scenario(server: SessionServer) -> None:
        client = await server.client()
        prepare_close(server)
        client.write(query(1))
        for _ in range(iterations):
            await asyncio.sleep(0)
        close_eligible_connections(server)
        while client.received.count(ROWS) < 2 and REJECTED not in client.received:
            assert not client.read() or client.received.count(ROWS) == 2 or REJECTED in client.received
            await server.run_once()
            if server.world.gateway.open_count and any(line.received for line in server.world.engine_streams):
                server.answer(1)

    run_scenario(scenario)


@pytest.mark.parametrize("prepare_close", CLOSE_REASONS)
def test_a_request_after_the_close_is_not_accepted(prepare_close: Callable[[SessionServer], None]) -> None:
    """Its client sends it to another dispatcher; accepted here as well, it would run twice."""

    async def scenario(server: SessionServer) -> None:
        client = await server.client()
        prepare_close(server)
        close_eligible_connections(server)  # no iteration of the loop between the close and the request
        client.write(query(1))
        await server.settle()
        assert client.read() and server.accepted_count() == 0 and client.session.is_closing

    run_scenario(scenario)


@pytest.mark.parametrize("iterations", range(4))
def test_a_request_sent_before_the_last_answer_is_answered_before_the_close(iterations: int) -> None:
    async def scenario(server: SessionServer) -> None:
        client = await server.client()
        client.write(query(1))
        await server.wait_until_sent(1)
        server.world.run("ops terminate")
        client.write(query(2))
        for _ in range(iterations):
            await asyncio.sleep(0)
        server.answer(1)
        await server.wait_until_sent(2)
        server.answer(2)
        assert (await client.read_to_end()).count(ROWS) == 4

    run_scenario(scenario)


@pytest.mark.parametrize("prefix_bytes", [1, 4, 5, 30])
def test_a_partial_request_after_an_answer_is_waited_for(prefix_bytes: int) -> None:
    async def scenario(server: SessionServer) -> None:
        client = await server.client()
        client.write(query(1) + query(2)[:prefix_bytes])
        await server.wait_until_sent(1)
        server.world.run("ops terminate")
        server.answer(1)
        await client.until(ROWS, 2)
        assert not client.session.is_closing
        client.write(query(2)[prefix_bytes:])
        await server.wait_until_sent(2)
        server.answer(2)
        assert (await client.read_to_end()).count(ROWS) == 4

    run_scenario(scenario)


@pytest.mark.parametrize("prefix_bytes", [1, 4, 30])
@pytest.mark.parametrize("logged_in", [True, False])
def test_a_partial_packet_at_the_end_of_shutdown_is_rejected(logged_in: bool, prefix_bytes: int) -> None:
    async def scenario(server: SessionServer) -> None:
        client = await server.client(logged_in)
        server.world.run("ops terminate")
        client.write((query(1) if logged_in else packet(1, LOGIN))[:prefix_bytes])
        await server.settle()
        at_close_deadline(server)
        close_eligible_connections(server)
        received = await client.read_to_end()
        assert REJECTED in received and server.accepted_count() == 0
        if prefix_bytes >= 4:
            assert received[received.index(REJECTED) - 1] == (1 if logged_in else 2)

    run_scenario(scenario)


@pytest.mark.parametrize("iterations", range(6))
def test_a_client_that_logs_in_during_shutdown_is_answered(iterations: int) -> None:
    """The client sends everything in one write; SIGTERM arrives after each number of iterations."""

    async def scenario(server: SessionServer) -> None:
        client = await server.client(logged_in=False)
        client.write(packet(1, LOGIN) + query(1))
        for _ in range(iterations):
            await asyncio.sleep(0)
        server.world.run("ops terminate")
        server.world.sessions.check_timeouts()
        await server.wait_until_sent(1)
        server.answer(1)
        assert (await client.read_to_end()).count(ROWS) == 2

    run_scenario(scenario)


def test_pipelined_requests_are_answered_and_those_after_quit_are_rejected() -> None:
    async def scenario(server: SessionServer) -> None:
        client, other = await server.client(), await server.client()
        client.write(query(1) + query(2) + PING + query(3))
        other.write(query(4) + QUIT + query(5) + query(6))
        await server.wait_until_sent(1)
        server.world.run("ops terminate")
        for ref in (1, 2, 3, 4):
            await server.wait_until_sent(ref)
            server.answer(ref)
        received = await client.read_to_end()
        assert received.count(ROWS) == 6 and received.count(OK) == 3
        received = await other.read_to_end()
        assert received.count(ROWS) == 2 and received.count(REJECTED) == 2 and server.accepted_count() == 4

    run_scenario(scenario)


@pytest.mark.parametrize("size", [1, 100_000, 3_000_000])
def test_an_answer_is_not_lost_while_its_client_sends(size: int) -> None:
    """A connection that is closed with unread bytes is reset, and output already written is lost."""

    async def scenario(server: SessionServer) -> None:
        client = await server.client()
        client.write(query(1))
        await server.wait_until_sent(1)
        server.world.run("ops terminate")
        server.answer(1)
        remaining = memoryview(bytes(size))
        while remaining:
            try:
                remaining = remaining[client.sock.send(remaining) :]
            except BlockingIOError:
                await server.run_once()
        await server.settle()
        assert (await client.read_to_end()).count(ROWS) == 2

    run_scenario(scenario)


def test_an_answer_read_late_is_written_completely_and_unfinished_until_then() -> None:
    async def scenario(server: SessionServer) -> None:
        client = await server.client()
        server.world.run("ops terminate")
        client.session.output += bytes(UNREAD_BYTES)
        client.session._close()
        await server.settle()
        assert server.world.sessions.has_unfinished()
        await client.read_to_end()
        assert len(client.received) > UNREAD_BYTES and not server.world.sessions.has_unfinished()

    run_scenario(scenario)


@pytest.mark.parametrize("iterations", range(6))
def test_a_client_accepted_as_the_listener_closes_is_answered(iterations: int) -> None:
    """A client accepted in one iteration of the loop must be served even if accepting ends in the next."""

    async def scenario(server: SessionServer) -> None:
        listener = socket.create_server(("127.0.0.1", 0))
        listener.setblocking(False)
        accepting = server.event_loop.spawn(
            server.event_loop.listener.accept(listener, server.world.sessions)
        )
        await server.settle()
        client = Client.__new__(Client)
        client.server, client.received, client.reset = server, b"", False
        client.sock = socket.create_connection(listener.getsockname())
        client.sock.setblocking(False)
        server.clients.append(client)
        client.write(packet(1, LOGIN) + query(1))
        for _ in range(iterations):
            await asyncio.sleep(0)
        accepting.cancel()
        await asyncio.gather(accepting, return_exceptions=True)
        await server.event_loop.listener.accept_queued(listener, server.world.sessions)
        listener.close()
        await server.wait_until_sent(1)
        server.answer(1)
        await client.until(ROWS, 2)

    run_scenario(scenario)


@pytest.mark.parametrize("missing_bytes", [0, 1])
def test_bytes_written_before_an_accept_at_the_end_of_shutdown_are_answered(missing_bytes: int) -> None:
    """With short deadlines the listener closes as late as the last connections.

    A connection accepted then must not be closed before its data is read.
    """
    text = packet(1, LOGIN) + query(1)
    written = text[: len(text) - missing_bytes]

    async def scenario(server: SessionServer) -> None:
        listener = socket.create_server(("127.0.0.1", 0))
        listener.setblocking(False)
        client = Client.__new__(Client)
        client.server, client.received, client.reset = server, b"", False
        client.sock = socket.create_connection(listener.getsockname())
        client.sock.setblocking(False)
        server.clients.append(client)
        client.write(written)
        at_close_deadline(server)
        await server.event_loop.listener.accept_queued(listener, server.world.sessions)
        listener.close()
        close_eligible_connections(server)
        assert (await client.read_to_end()).count(REJECTED) == 1

    run_scenario(scenario)


def finish_process(server: SessionServer) -> asyncio.Task[None]:
    """Start the shutdown of a process that has just closed its listener."""
    server.world.run("ops terminate")
    parts = SimpleNamespace(
        event_loop=SimpleNamespace(clock=server.world.clock),
        lifecycle=server.world.lifecycle,
        sessions=server.world.sessions,
        gateway=server.world.gateway,
    )
    return asyncio.create_task(Dispatcher.finish_open_requests(cast(Dispatcher, parts)))


@pytest.fixture
def without_pauses(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("cottonhold.node.dispatcher.SHUTDOWN_POLL_S", 0.0)


def test_the_process_ends_once_every_client_is_answered_and_closed(without_pauses: None) -> None:
    async def scenario(server: SessionServer) -> None:
        busy, late = await server.client(), await server.client()
        busy.write(query(1))
        await server.wait_until_sent(1)
        shutdown = finish_process(server)
        late.session.output += bytes(UNREAD_BYTES)
        late.session._close()
        await server.settle()
        assert not shutdown.done()
        server.answer(1)
        await busy.read_to_end()
        busy.sock.close()
        await server.settle()
        assert not shutdown.done()  # the other client's answer is only partly written
        await late.read_to_end()
        await server.settle()
        assert not shutdown.done()  # the other client has not closed its connection
        late.sock.close()
        await server.settle()
        assert shutdown.done() and not server.world.sessions.sessions

    run_scenario(scenario)


def test_the_process_does_not_wait_forever_for_clients_that_stay(without_pauses: None) -> None:
    async def scenario(server: SessionServer) -> None:
        idle, stuck = await server.client(), await server.client()
        stuck.session.output += bytes(UNREAD_BYTES)
        shutdown = finish_process(server)
        server.world.clock.now_ms += SHUTDOWN_IDLE_CLOSE_MS + SETTLE_MS
        await server.settle()
        assert idle.session.is_closing and not shutdown.done()
        server.world.clock.now_ms = server.world.lifecycle.close_deadline()
        await server.settle()
        assert stuck.session.is_closing and not shutdown.done()
        server.world.clock.now_ms = server.world.lifecycle.answer_deadline()
        await server.settle()
        assert shutdown.done()

    run_scenario(scenario)


def test_the_process_waits_for_an_open_request_until_its_deadline_and_answers_it(
    without_pauses: None,
) -> None:
    async def scenario(server: SessionServer) -> None:
        client = await server.client()
        client.write(query(1, allow=60000))
        await server.wait_until_sent(1)
        shutdown = finish_process(server)
        server.world.wait(server.world.lifecycle.answer_deadline() - server.world.clock.now() - 100.0)
        await server.settle()
        assert not shutdown.done() and not client.session.is_closing
        server.world.wait(100.0)
        assert b"\xff" in await client.read_to_end()
        client.sock.close()
        await server.settle()
        assert shutdown.done()

    run_scenario(scenario)
