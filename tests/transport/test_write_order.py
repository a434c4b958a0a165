"""Writes to engines on real sockets: what gives an attempt up goes out before what comes next."""

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
LARGE, MANY = b"s" * 8000, 24  # together more than a socket of so small a buffer takes at once
BUFFER = 8192


def tcp_pair() -> tuple[socket.socket, socket.socket]:
    """Both ends of a connection over loopback."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        near = socket.create_connection(listener.getsockname())
        return near, listener.accept()[0]


class Rig:
    """Engines on the event_loop, each reached by a pair of sockets whose far end the test holds."""

    def __init__(self) -> None:
        self.world = World(engines="a b")
        self.event_loop = EventLoop(asyncio.get_running_loop(), Counters(), print)
        self.far: dict[str, socket.socket] = {}
        self.tcp = False
        self.world.engines.connect = self.connect
        self.world.gateway.is_wanted = lambda attempt: True  # type: ignore[method-assign]
        self.ends: list[Outcome] = []
        self.world.gateway.on_attempt_ended = (  # type: ignore[method-assign]
            lambda attempt, event: self.ends.append(event.outcome)
        )

    def connect(self, address: Address, connection: Connection) -> Stream:
        near, far = tcp_pair() if self.tcp else socket.socketpair()
        near.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, BUFFER)
        near.setblocking(False)
        far.setblocking(False)
        self.far[address.host] = far
        connection.stream = wire = Stream(self.event_loop.streams, connection, 4096)
        connection.on_connected()
        wire.start(near)
        return wire

    def send(self, engine: str, query: str, body: bytes = SMALL) -> Attempt:
        now = self.world.clock.now()
        attempt = Attempt(query, 0, engine, "read", body, 1, now, now + 5000.0)
        assert self.world.engines.send(attempt)
        return attempt

    def there(self, engine: str) -> list[bytes]:
        """The verbs that lie at an engine this very moment; "end" where the connection is over."""
        reader, verbs = RespReader(), list[bytes]()
        try:
            while data := self.far[engine].recv(1 << 16):
                verbs += [words[0] for words in reader.feed(data)]
        except BlockingIOError:
            return verbs
        return [*verbs, b"end"]

    async def heard(self, engine: str, count: int) -> list[bytes]:
        """The next so many verbs that come to an engine."""
        reader, verbs = RespReader(), list[bytes]()
        while len(verbs) < count:
            data = await self.event_loop.loop.sock_recv(self.far[engine], 1 << 16)
            verbs += [words[0] for words in reader.feed(data)]
        return verbs

    async def close(self) -> None:
        for place in list(self.world.engines.endpoints.values()):
            for connection in list(place.connections):
                connection.close()
        await asyncio.gather(*self.event_loop.tasks, return_exceptions=True)
        for far in self.far.values():
            far.close()


def played(story: Callable[[Rig], Coroutine[Any, Any, None]]) -> None:
    async def scenario() -> None:
        rig = Rig()
        try:
            await story(rig)
        finally:
            await rig.close()

    asyncio.run(scenario())


def dropped(rig: Rig, attempt: Attempt) -> None:
    rig.world.engines.cancel(attempt, Outcome.CANCELLED)


def given_up(rig: Rig, attempt: Attempt) -> None:
    assert isinstance(attempt.connection, Connection)
    attempt.connection.abandon()


@pytest.mark.parametrize(("gives_up", "verb"), [(dropped, b"DROP"), (given_up, b"end")])
def test_an_attempt_is_given_up_on_the_wire_before_the_next_can_be_written(
    gives_up: Callable[[Rig, Attempt], None], verb: bytes
) -> None:
    """Another query has made the next engine's connection ready to write before."""

    async def story(rig: Rig) -> None:
        first = rig.send("a", "q1")
        rig.send("b", "q0")
        assert await rig.heard("a", 1) == [b"GET"] and await rig.heard("b", 1) == [b"GET"]
        rig.send("b", "q2")
        gives_up(rig, first)
        rig.send("b", "q1")
        assert rig.there("a") == [verb] and rig.there("b") == []  # no turn of the loop has passed
        assert await rig.heard("b", 2) == [b"GET", b"GET"]
        assert rig.ends == [Outcome.CANCELLED if verb == b"DROP" else Outcome.RESET]

    played(story)


@pytest.mark.parametrize("begun", [True, False])
def test_what_is_written_at_once_comes_whole_and_in_its_place(begun: bool) -> None:
    """Behind a write that is under way, or taking along all that still waits for its turn."""

    async def story(rig: Rig) -> None:
        first = rig.send("a", "q0")
        assert await rig.heard("a", 1) == [b"GET"]
        for number in range(MANY):
            rig.send("a", f"q{number + 1}", LARGE)
        for _ in range(3 if begun else 0):
            await asyncio.sleep(0)
        dropped(rig, first)
        rig.send("a", "q99")
        assert await rig.heard("a", MANY + 2) == [*[b"GET"] * MANY, b"DROP", b"GET"]

    played(story)


def closes(far: socket.socket) -> None:
    far.close()


def resets(far: socket.socket) -> None:
    far.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    far.close()


def leaves_half_a_line(far: socket.socket) -> None:
    far.send(b"*4\r\n$2\r\nq9")
    far.close()


@pytest.mark.parametrize("tcp", [False, True])
@pytest.mark.parametrize("ends", [closes, resets, leaves_half_a_line])
def test_a_request_that_crosses_the_engines_end_of_an_idle_connection_never_ran(
    ends: Callable[[socket.socket], None], tcp: bool
) -> None:
    """Written there it may have run, and a class that may not be repeated would fail."""

    async def story(rig: Rig) -> None:
        rig.tcp = tcp
        first = rig.send("a", "q1")
        assert await rig.heard("a", 1) == [b"GET"]
        dropped(rig, first)
        assert await rig.heard("a", 1) == [b"DROP"]
        connection = rig.world.engines.endpoints["a"].connections[0]
        ends(rig.far["a"])
        rig.send("a", "q2")  # the loop has not looked at the connection since
        while len(rig.ends) < 2:
            await asyncio.sleep(0)
        assert rig.ends == [Outcome.CANCELLED, Outcome.CONNECT_FAILED]
        assert connection.is_closed and rig.world.engines.open_connections == 0

    played(story)


@pytest.mark.parametrize("ends", [closes, resets, leaves_half_a_line])
def test_a_request_that_is_out_when_its_connection_ends_may_have_run(
    ends: Callable[[socket.socket], None],
) -> None:
    async def story(rig: Rig) -> None:
        rig.send("a", "q1")
        assert await rig.heard("a", 1) == [b"GET"]
        ends(rig.far["a"])
        rig.send("a", "q2")
        while len(rig.ends) < 2:
            await asyncio.sleep(0)
        assert rig.ends[0] is Outcome.RESET

    played(story)


def test_what_lies_unread_at_a_connection_that_is_given_up_is_never_read() -> None:
    """The id may be out again by then, on another connection."""

    async def story(rig: Rig) -> None:
        first = rig.send("a", "q1")
        assert await rig.heard("a", 1) == [b"GET"]
        rig.far["a"].send(encode_array(b"q1", b"served", b"count=1", b"a\tb\tc\n"))
        given_up(rig, first)
        second = rig.send("a", "q1")
        for _ in range(20):
            await asyncio.sleep(0)
        assert rig.ends == [Outcome.RESET] and second.connection is not None

    played(story)


def test_what_is_written_at_once_to_a_connection_that_broke_ends_it() -> None:
    async def story(rig: Rig) -> None:
        first, second = rig.send("a", "q1"), rig.send("a", "q2")
        assert await rig.heard("a", 2) == [b"GET", b"GET"]
        rig.far["a"].close()
        dropped(rig, first)
        while second.connection is not None:
            await asyncio.sleep(0)
        assert rig.ends == [Outcome.CANCELLED, Outcome.RESET] and rig.world.engines.open_connections == 0

    played(story)


def test_what_waits_behind_an_engine_that_reads_slowly_is_looked_at_again_before_it_begins() -> None:
    async def story(rig: Rig) -> None:
        wanted = True
        rig.world.gateway.is_wanted = lambda attempt: wanted  # type: ignore[method-assign]
        for number in range(MANY):
            rig.send("a", f"q{number}", LARGE)
        for _ in range(3):
            await asyncio.sleep(0)
        begun = MAX_WRITE_BYTES // len(LARGE) + 1
        wanted = False
        assert await rig.heard("a", begun) == [b"GET"] * begun
        while len(rig.ends) < MANY - begun:
            await asyncio.sleep(0)
        assert rig.ends == [Outcome.NOT_STARTED] * (MANY - begun) and rig.there("a") == []

    played(story)


class EndsAsItIsAsked:
    """A machine that ends its connection as it is asked for what it has to say."""

    is_closing = False
    wire: Stream

    def receive(self, data: bytes) -> None:
        pass

    def take_output(self) -> bytes:
        self.wire.abort()
        return b""

    def on_closed(self) -> None:
        pass


def test_a_connection_that_ends_as_it_is_about_to_write_is_no_fault() -> None:
    """What was begun before must not be written to a connection that has ended."""

    async def story(rig: Rig) -> None:
        near, far = socket.socketpair()
        machine = EndsAsItIsAsked()
        machine.wire = Stream(rig.event_loop.streams, machine, 4096)
        machine.wire.sock, machine.wire.unsent = near, b"begun"
        machine.wire.write_now()
        assert machine.wire.sock is None and far.recv(10) == b""
        near.close()
        far.close()

    played(story)
