"""Writes to engines on real sockets: a cancel goes out before the request's next attempt."""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import Callable, Coroutine
from typing import Any

import pytest

from cottonhold.backend.attempt import Attempt
from cottonhold.backend.connection import MAX_WRITE_BYTES, Connection
from cottonhold.backend.resp import RespReader, encode_array
from cottonhold.discovery.model import Address
from cottonhold.observe.counters import Counters
from cottonhold.scheduler.events import Outcome
from cottonhold.transport.event_loop import EventLoop
from cottonhold.transport.stream import Stream
from tests.support.scenario import World

SMALL = b"select"
LARGE, LARGE_COUNT = b"s" * 8000, 24  # together more than fits into the send buffer
SEND_BUFFER_BYTES = 8192


def tcp_pair() -> tuple[socket.socket, socket.socket]:
    """Return both ends of a connection over loopback."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        dispatcher_end = socket.create_connection(listener.getsockname())
        return dispatcher_end, listener.accept()[0]


class EngineSockets:
    """Connections to engines on the event loop; the test holds the engines' ends of the sockets."""

    def __init__(self) -> None:
        self.world = World(engines="a b")
        self.event_loop = EventLoop(asyncio.get_running_loop(), Counters(), print)
        self.engine_ends: dict[str, socket.socket] = {}
        self.uses_tcp = False
        self.world.engines.connect = self.connect
        self.world.gateway.is_wanted = lambda attempt: True  # type: ignore[method-assign]
        self.outcomes: list[Outcome] = []
        self.world.gateway.on_attempt_ended = (  # type: ignore[method-assign]
            lambda attempt, event: self.outcomes.append(event.outcome)
        )

    def connect(self, address: Address, connection: Connection) -> Stream:
        dispatcher_end, engine_end = tcp_pair() if self.uses_tcp else socket.socketpair()
        dispatcher_end.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
        dispatcher_end.setblocking(False)
        engine_end.setblocking(False)
        self.engine_ends[address.host] = engine_end
        connection.stream = stream = Stream(self.event_loop.streams, connection, 4096)
        connection.on_connected()
        stream.start(dispatcher_end)
        return stream

    def send(self, engine: str, query: str, body: bytes = SMALL) -> Attempt:
        now = self.world.clock.now()
        attempt = Attempt(query, 0, engine, "read", body, 1, now, now + 5000.0)
        assert self.world.engines.send(attempt)
        return attempt

    def received_now(self, engine: str) -> list[bytes]:
        """Return the verbs received by an engine so far, with "end" last if the connection has ended."""
        reader, verbs = RespReader(), list[bytes]()
        try:
            while data := self.engine_ends[engine].recv(1 << 16):
                verbs += [elements[0] for elements in reader.feed(data)]
        except BlockingIOError:
            return verbs
        return [*verbs, b"end"]

    async def receive(self, engine: str, count: int) -> list[bytes]:
        """Wait for `count` more verbs at an engine and return them."""
        reader, verbs = RespReader(), list[bytes]()
        while len(verbs) < count:
            data = await self.event_loop.loop.sock_recv(self.engine_ends[engine], 1 << 16)
            verbs += [elements[0] for elements in reader.feed(data)]
        return verbs

    async def close(self) -> None:
        for endpoint in list(self.world.engines.endpoints.values()):
            for connection in list(endpoint.connections):
                connection.close()
        await asyncio.gather(*self.event_loop.tasks, return_exceptions=True)
        for engine_end in self.engine_ends.values():
            engine_end.close()


def run_scenario(scenario: Callable[[EngineSockets], Coroutine[Any, Any, None]]) -> None:
    async def main() -> None:
        sockets = EngineSockets()
        try:
            await scenario(sockets)
        finally:
            await sockets.close()

    asyncio.run(main())


def cancel(sockets: EngineSockets, attempt: Attempt) -> None:
    sockets.world.engines.cancel(attempt, Outcome.CANCELLED)


def abandon(sockets: EngineSockets, attempt: Attempt) -> None:
    assert isinstance(attempt.connection, Connection)
    attempt.connection.abandon()


@pytest.mark.parametrize(("give_up", "verb"), [(cancel, b"DROP"), (abandon, b"end")])
def test_a_cancel_is_on_the_wire_before_the_next_attempt_is_written(
    give_up: Callable[[EngineSockets, Attempt], None], verb: bytes
) -> None:
    """A write to the next attempt's engine is already scheduled for another query."""

    async def scenario(sockets: EngineSockets) -> None:
        first = sockets.send("a", "q1")
        sockets.send("b", "q0")
        assert await sockets.receive("a", 1) == [b"GET"] and await sockets.receive("b", 1) == [b"GET"]
        sockets.send("b", "q2")
        give_up(sockets, first)
        sockets.send("b", "q1")
        assert (
            sockets.received_now("a") == [verb] and sockets.received_now("b") == []
        )  # no iteration of the loop has passed
        assert await sockets.receive("b", 2) == [b"GET", b"GET"]
        assert sockets.outcomes == [Outcome.CANCELLED if verb == b"DROP" else Outcome.RESET]

    run_scenario(scenario)


@pytest.mark.parametrize("has_started", [True, False])
def test_an_immediate_write_is_complete_and_in_order(has_started: bool) -> None:
    """An immediate write follows a write in progress, or includes everything that is queued."""

    async def scenario(sockets: EngineSockets) -> None:
        first = sockets.send("a", "q0")
        assert await sockets.receive("a", 1) == [b"GET"]
        for number in range(LARGE_COUNT):
            sockets.send("a", f"q{number + 1}", LARGE)
        for _ in range(3 if has_started else 0):
            await asyncio.sleep(0)
        cancel(sockets, first)
        sockets.send("a", "q99")
        assert await sockets.receive("a", LARGE_COUNT + 2) == [*[b"GET"] * LARGE_COUNT, b"DROP", b"GET"]

    run_scenario(scenario)


def close_end(engine_end: socket.socket) -> None:
    engine_end.close()


def reset_end(engine_end: socket.socket) -> None:
    engine_end.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    engine_end.close()


def close_during_an_answer(engine_end: socket.socket) -> None:
    engine_end.send(b"*4\r\n$2\r\nq9")
    engine_end.close()


@pytest.mark.parametrize("uses_tcp", [False, True])
@pytest.mark.parametrize("end", [close_end, reset_end, close_during_an_answer])
def test_a_request_that_crosses_an_engines_idle_close_never_ran(
    end: Callable[[socket.socket], None], uses_tcp: bool
) -> None:
    """If it were written there, it might have run, and a request of a class without retries would fail."""

    async def scenario(sockets: EngineSockets) -> None:
        sockets.uses_tcp = uses_tcp
        first = sockets.send("a", "q1")
        assert await sockets.receive("a", 1) == [b"GET"]
        cancel(sockets, first)
        assert await sockets.receive("a", 1) == [b"DROP"]
        connection = sockets.world.engines.endpoints["a"].connections[0]
        end(sockets.engine_ends["a"])
        sockets.send("a", "q2")  # the loop has not read the connection since
        while len(sockets.outcomes) < 2:
            await asyncio.sleep(0)
        assert sockets.outcomes == [Outcome.CANCELLED, Outcome.CONNECT_FAILED]
        assert connection.is_closed and sockets.world.engines.open_connections == 0

    run_scenario(scenario)


@pytest.mark.parametrize("end", [close_end, reset_end, close_during_an_answer])
def test_an_attempt_in_flight_when_its_connection_ends_may_have_run(
    end: Callable[[socket.socket], None],
) -> None:
    async def scenario(sockets: EngineSockets) -> None:
        sockets.send("a", "q1")
        assert await sockets.receive("a", 1) == [b"GET"]
        end(sockets.engine_ends["a"])
        sockets.send("a", "q2")
        while len(sockets.outcomes) < 2:
            await asyncio.sleep(0)
        assert sockets.outcomes[0] is Outcome.RESET

    run_scenario(scenario)


def test_unread_bytes_of_an_abandoned_connection_are_never_read() -> None:
    """The request id may already be in flight on another connection."""

    async def scenario(sockets: EngineSockets) -> None:
        first = sockets.send("a", "q1")
        assert await sockets.receive("a", 1) == [b"GET"]
        sockets.engine_ends["a"].send(encode_array(b"q1", b"served", b"count=1", b"a\tb\tc\n"))
        abandon(sockets, first)
        second = sockets.send("a", "q1")
        for _ in range(20):
            await asyncio.sleep(0)
        assert sockets.outcomes == [Outcome.RESET] and second.connection is not None

    run_scenario(scenario)


def test_an_immediate_write_to_a_broken_connection_ends_it() -> None:
    async def scenario(sockets: EngineSockets) -> None:
        first, second = sockets.send("a", "q1"), sockets.send("a", "q2")
        assert await sockets.receive("a", 2) == [b"GET", b"GET"]
        sockets.engine_ends["a"].close()
        cancel(sockets, first)
        while second.connection is not None:
            await asyncio.sleep(0)
        assert (
            sockets.outcomes == [Outcome.CANCELLED, Outcome.RESET]
            and sockets.world.engines.open_connections == 0
        )

    run_scenario(scenario)


def test_attempts_queued_at_a_slow_reader_are_checked_before_they_are_sent() -> None:
    async def scenario(sockets: EngineSockets) -> None:
        wanted = True
        sockets.world.gateway.is_wanted = lambda attempt: wanted  # type: ignore[method-assign]
        for number in range(LARGE_COUNT):
            sockets.send("a", f"q{number}", LARGE)
        for _ in range(3):
            await asyncio.sleep(0)
        sent_count = MAX_WRITE_BYTES // len(LARGE) + 1
        wanted = False
        assert await sockets.receive("a", sent_count) == [b"GET"] * sent_count
        while len(sockets.outcomes) < LARGE_COUNT - sent_count:
            await asyncio.sleep(0)
        assert (
            sockets.outcomes == [Outcome.NOT_STARTED] * (LARGE_COUNT - sent_count)
            and sockets.received_now("a") == []
        )

    run_scenario(scenario)


class AbortingProtocol:
    """A protocol that aborts its stream while its output is requested."""

    is_closing = False
    stream: Stream

    def receive(self, data: bytes) -> None:
        pass

    def pop_output(self) -> bytes:
        self.stream.abort()
        return b""

    def on_closed(self) -> None:
        pass


def test_a_connection_that_ends_as_it_writes_is_no_fault() -> None:
    """The rest of an earlier write must not be written to a stream that has ended."""

    async def scenario(sockets: EngineSockets) -> None:
        dispatcher_end, engine_end = socket.socketpair()
        protocol = AbortingProtocol()
        protocol.stream = Stream(sockets.event_loop.streams, protocol, 4096)
        protocol.stream.sock, protocol.stream.unsent = dispatcher_end, b"begun"
        protocol.stream.write_now()
        assert protocol.stream.sock is None and engine_end.recv(10) == b""
        dispatcher_end.close()
        engine_end.close()

    run_scenario(scenario)
