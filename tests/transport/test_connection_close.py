"""How connections are closed, on real sockets: what arrived before the close is answered, what crosses it is
not accepted, and no answer is lost to a reset."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable, Coroutine
from types import SimpleNamespace
from typing import Any, cast

import pytest
import uvloop

from cottonhold.frontend.mysql_session import IDLE_TIMEOUT_MS, SETTLE_MS, Session
from cottonhold.node.dispatcher import Dispatcher
from cottonhold.node.lifecycle import SHUTDOWN_IDLE_CLOSE_MS
from cottonhold.observe.counters import Counters
from cottonhold.transport.event_loop import EventLoop
from tests.support.scenario import LOGIN, World, packet

PING, QUIT = packet(0, b"\x0e"), packet(0, b"\x01")
OK, ROWS, REJECTED = b"\x00\x00\x00\x02\x00\x00\x00", b"\xfe\x00\x00\x02\x00", b"\xff\xca\x04"
new_loop = asyncio.new_event_loop
TURNS, MAX_TURNS = 20, 20_000  # of the loop: more than anything on one connection takes, or a whole scenario
UNREAD_BYTES = 8 * 1024 * 1024  # more than the system takes for a client that does not read


def query(ref: int, allow: int = 5000) -> bytes:
    text = f"/* service=lookup,ref={ref:016x},allow={allow} */ SELECT a FROM s_7.t"
    return packet(0, b"\x03" + text.encode())


class Client:
    """A client's end of a TCP connection over loopback, whose other end is a session on the event loop."""

    def __init__(self, server: SessionServer, logged_in: bool = True) -> None:
        self.server, self.received, self.reset = server, b"", False
        with socket.create_server(("127.0.0.1", 0)) as listener:
            self.sock = socket.create_connection(listener.getsockname())
            near, _ = listener.accept()
        near.setblocking(False)
        self.sock.setblocking(False)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)  # what is written is there at once
        self.session: Session = server.world.sessions.open()
        server.event_loop.listener.admit(near, self.session)
        if logged_in:
            self.write(packet(1, LOGIN) + PING)

    def write(self, data: bytes) -> None:
        self.sock.sendall(data)

    def read(self) -> bool:
        """Read what has arrived; whether the connection has ended."""
        try:
            while data := self.sock.recv(1 << 16):
                self.received += data
        except BlockingIOError:
            return False
        except ConnectionError:
            self.reset = True
        return True

    async def until(self, mark: bytes, count: int = 1) -> None:
        while self.received.count(mark) < count:
            has_ended = self.read()
            assert not has_ended or self.received.count(mark) >= count, f"over with {self.received!r}"
            await self.server.turn()

    async def read_to_end(self) -> bytes:
        """Everything up to the end of the connection, which must not be a reset."""
        while not self.read():
            await self.server.turn()
        assert not self.reset
        return self.received


class SessionServer:
    """Client sessions on the event loop; engines are the scenario's. Time passes only when told to."""

    def __init__(self) -> None:
        self.world = World(engines="a")
        self.event_loop = EventLoop(asyncio.get_running_loop(), Counters(), print)
        self.clients: list[Client] = []
        self.turn_count = 0  # turns of the loop

    async def client(self, logged_in: bool = True) -> Client:
        client = Client(self, logged_in)
        self.clients.append(client)
        if logged_in:
            await client.until(OK, 2)
        return client

    async def turn(self) -> None:
        self.turn_count += 1
        assert self.turn_count < MAX_TURNS, "nothing more comes"
        self.world.wait(0)
        await asyncio.sleep(0)

    async def turns(self) -> None:
        for _ in range(TURNS):
            await self.turn()

    async def wait_until_sent(self, ref: int) -> None:
        """Until a request is at the engine."""
        while not any(
            words[1] == b"%016x" % ref for line in self.world.engine_streams for words in line.received
        ):
            await self.turn()

    def accepted_count(self) -> int:
        return self.world.counters.counts["requests_taken"]

    def answer(self, ref: int) -> None:
        self.world.run(f"e1 send r{ref} served count=1 a|b|c/")

    async def close(self) -> None:
        for client in self.clients:
            client.sock.close()
        await asyncio.gather(*self.event_loop.tasks, return_exceptions=True)


@pytest.fixture(
    params=[asyncio.new_event_loop, uvloop.new_event_loop], ids=["asyncio", "uvloop"], autouse=True
)
def each_loop(request: pytest.FixtureRequest, monkeypatch: pytest.MonkeyPatch) -> None:
    """The platform's loop, and the standard one: they hand over what was read in different turns."""
    monkeypatch.setattr(f"{__name__}.new_loop", request.param)


def run_scenario(scenario: Callable[[SessionServer], Coroutine[Any, Any, None]]) -> None:
    async def main() -> None:
        server = SessionServer()
        try:
            await scenario(server)
        finally:
            await server.close()

    with asyncio.Runner(loop_factory=new_loop) as runner:
        runner.run(main())


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


def near_client_limit(server: SessionServer) -> None:
    server.world.clock.now_ms += IDLE_TIMEOUT_MS - 1
    server.world.sessions.max_sessions = 1


# When a connection without an open request is to be closed.
CLOSE_REASONS = [idle_too_long, drained, shutting_down, at_close_deadline, near_client_limit]


def close_due_connections(server: SessionServer) -> None:
    server.world.sessions.check_timeouts()
    server.world.sessions.has_capacity()


@pytest.mark.parametrize("turns", range(4))
@pytest.mark.parametrize("make_due", CLOSE_REASONS)
def test_a_request_received_before_its_idle_connection_closes_is_answered(
    make_due: Callable[[SessionServer], None], turns: int
) -> None:
    """It is in the system's buffer or in the loop: `turns` of the loop have passed since it arrived."""

    async def scenario(server: SessionServer) -> None:
        client = await server.client()
        make_due(server)
        client.write(query(1))
        for _ in range(turns):
            await asyncio.sleep(0)
        close_due_connections(server)
        while client.received.count(ROWS) < 2 and REJECTED not in client.received:
            assert not client.read() or client.received.count(ROWS) == 2 or REJECTED in client.received
            await server.turn()
            if server.world.gateway.open_count and any(line.received for line in server.world.engine_streams):
                server.answer(1)

    run_scenario(scenario)


@pytest.mark.parametrize("make_due", CLOSE_REASONS)
def test_a_request_after_the_close_is_not_accepted(make_due: Callable[[SessionServer], None]) -> None:
    """Its client sends it again elsewhere: accepted here as well, it would run twice."""

    async def scenario(server: SessionServer) -> None:
        client = await server.client()
        make_due(server)
        close_due_connections(server)  # not one turn of the loop lies between the close and the request
        client.write(query(1))
        await server.turns()
        assert client.read() and server.accepted_count() == 0 and client.session.is_closing

    run_scenario(scenario)


@pytest.mark.parametrize("turns", range(4))
def test_a_request_sent_before_the_last_answer_is_answered_before_the_close(turns: int) -> None:
    async def scenario(server: SessionServer) -> None:
        client = await server.client()
        client.write(query(1))
        await server.wait_until_sent(1)
        server.world.run("ops terminate")
        client.write(query(2))
        for _ in range(turns):
            await asyncio.sleep(0)
        server.answer(1)
        await server.wait_until_sent(2)
        server.answer(2)
        assert (await client.read_to_end()).count(ROWS) == 4

    run_scenario(scenario)


@pytest.mark.parametrize("cut", [1, 4, 5, 30])
def test_a_partial_request_after_an_answer_is_waited_for(cut: int) -> None:
    async def scenario(server: SessionServer) -> None:
        client = await server.client()
        client.write(query(1) + query(2)[:cut])
        await server.wait_until_sent(1)
        server.world.run("ops terminate")
        server.answer(1)
        await client.until(ROWS, 2)
        assert not client.session.is_closing
        client.write(query(2)[cut:])
        await server.wait_until_sent(2)
        server.answer(2)
        assert (await client.read_to_end()).count(ROWS) == 4

    run_scenario(scenario)


@pytest.mark.parametrize("cut", [1, 4, 30])
@pytest.mark.parametrize("logged_in", [True, False])
def test_a_partial_packet_at_the_end_of_shutdown_is_rejected(logged_in: bool, cut: int) -> None:
    async def scenario(server: SessionServer) -> None:
        client = await server.client(logged_in)
        server.world.run("ops terminate")
        client.write((query(1) if logged_in else packet(1, LOGIN))[:cut])
        await server.turns()
        at_close_deadline(server)
        close_due_connections(server)
        received = await client.read_to_end()
        assert REJECTED in received and server.accepted_count() == 0
        if cut >= 4:
            assert received[received.index(REJECTED) - 1] == (1 if logged_in else 2)

    run_scenario(scenario)


@pytest.mark.parametrize("turns", range(6))
def test_a_client_that_logs_in_during_shutdown_is_answered(turns: int) -> None:
    """All in one write, as clients may do it; SIGTERM comes in each of the turns that it takes."""

    async def scenario(server: SessionServer) -> None:
        client = await server.client(logged_in=False)
        client.write(packet(1, LOGIN) + query(1))
        for _ in range(turns):
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
def test_an_answer_is_not_lost_while_its_client_still_sends(size: int) -> None:
    """Closed over unread bytes, a connection is reset, and what was written is lost with it."""

    async def scenario(server: SessionServer) -> None:
        client = await server.client()
        client.write(query(1))
        await server.wait_until_sent(1)
        server.world.run("ops terminate")
        server.answer(1)
        left = memoryview(bytes(size))
        while left:
            try:
                left = left[client.sock.send(left) :]
            except BlockingIOError:
                await server.turn()
        await server.turns()
        assert (await client.read_to_end()).count(ROWS) == 2

    run_scenario(scenario)


def test_an_answer_read_late_is_written_completely_and_unfinished_until_then() -> None:
    async def scenario(server: SessionServer) -> None:
        client = await server.client()
        server.world.run("ops terminate")
        client.session.output += bytes(UNREAD_BYTES)
        client.session._close()
        await server.turns()
        assert server.world.sessions.has_unfinished()
        await client.read_to_end()
        assert len(client.received) > UNREAD_BYTES and not server.world.sessions.has_unfinished()

    run_scenario(scenario)


@pytest.mark.parametrize("turns", range(6))
def test_a_client_accepted_as_the_listener_closes_is_answered(turns: int) -> None:
    """Accepted in one turn of the loop, it must not be dropped if accepting ends in the next."""

    async def scenario(server: SessionServer) -> None:
        listener = socket.create_server(("127.0.0.1", 0))
        listener.setblocking(False)
        accepting = server.event_loop.spawn(
            server.event_loop.listener.accept(listener, server.world.sessions)
        )
        await server.turns()
        client = Client.__new__(Client)
        client.server, client.received, client.reset = server, b"", False
        client.sock = socket.create_connection(listener.getsockname())
        client.sock.setblocking(False)
        server.clients.append(client)
        client.write(packet(1, LOGIN) + query(1))
        for _ in range(turns):
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
    """With short deadlines the listener closes as late as the last connections. One accepted then must not be
    closed before anything is read there."""
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
        close_due_connections(server)
        assert (await client.read_to_end()).count(REJECTED) == 1

    run_scenario(scenario)


def finish_process(server: SessionServer) -> asyncio.Task[None]:
    """The shutdown of a process that has just closed its listener; time passes only when told to."""
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
        await server.turns()
        assert not shutdown.done()
        server.answer(1)
        await busy.read_to_end()
        busy.sock.close()
        await server.turns()
        assert not shutdown.done()  # the other's answer is written in part
        await late.read_to_end()
        await server.turns()
        assert not shutdown.done()  # it has not closed
        late.sock.close()
        await server.turns()
        assert shutdown.done() and not server.world.sessions.sessions

    run_scenario(scenario)


def test_the_process_does_not_wait_forever_for_clients_that_stay(without_pauses: None) -> None:
    async def scenario(server: SessionServer) -> None:
        idle, stuck = await server.client(), await server.client()
        stuck.session.output += bytes(UNREAD_BYTES)
        shutdown = finish_process(server)
        server.world.clock.now_ms += SHUTDOWN_IDLE_CLOSE_MS + SETTLE_MS
        await server.turns()
        assert idle.session.is_closing and not shutdown.done()
        server.world.clock.now_ms = server.world.lifecycle.close_deadline()
        await server.turns()
        assert stuck.session.is_closing and not shutdown.done()
        server.world.clock.now_ms = server.world.lifecycle.answer_deadline()
        await server.turns()
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
        await server.turns()
        assert not shutdown.done() and not client.session.is_closing
        server.world.wait(100.0)
        assert b"\xff" in await client.read_to_end()
        client.sock.close()
        await server.turns()
        assert shutdown.done()

    run_scenario(scenario)
