"""How connections are closed, on real sockets: what came before the close is answered, what crosses it is not
forwarded, and no answer is lost to a reset."""

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
OK, ROWS, REFUSED = b"\x00\x00\x00\x02\x00\x00\x00", b"\xfe\x00\x00\x02\x00", b"\xff\xca\x04"
new_loop = asyncio.new_event_loop
TURNS, MOST_TURNS = 20, 20_000  # of the loop: more than anything in one connection takes, or in a whole story
UNREAD_BYTES = 8 * 1024 * 1024  # more than the system takes for a client that does not read


def query(ref: int, allow: int = 5000) -> bytes:
    text = f"/* service=lookup,ref={ref:016x},allow={allow} */ SELECT a FROM s_7.t"
    return packet(0, b"\x03" + text.encode())


class Client:
    """A client's end of a TCP connection over loopback, whose other end is a session on the event_loop."""

    def __init__(self, here: Here, logged_in: bool = True) -> None:
        self.here, self.got, self.reset = here, b"", False
        with socket.create_server(("127.0.0.1", 0)) as listener:
            self.sock = socket.create_connection(listener.getsockname())
            near, _ = listener.accept()
        near.setblocking(False)
        self.sock.setblocking(False)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)  # what is written is there at once
        self.session: Session = here.world.sessions.open()
        here.event_loop.listener.admit(near, self.session)
        if logged_in:
            self.write(packet(1, LOGIN) + PING)

    def write(self, data: bytes) -> None:
        self.sock.sendall(data)

    def read(self) -> bool:
        """Take what is there; whether the connection is over."""
        try:
            while data := self.sock.recv(1 << 16):
                self.got += data
        except BlockingIOError:
            return False
        except ConnectionError:
            self.reset = True
        return True

    async def until(self, mark: bytes, count: int = 1) -> None:
        while self.got.count(mark) < count:
            over = self.read()
            assert not over or self.got.count(mark) >= count, f"over with {self.got!r}"
            await self.here.turn()

    async def end(self) -> bytes:
        """All that comes until the end of the connection, which must be no reset."""
        while not self.read():
            await self.here.turn()
        assert not self.reset
        return self.got


class Here:
    """Client sessions on the event loop; engines are the scenario's. Time passes only when told to."""

    def __init__(self) -> None:
        self.world = World(engines="a")
        self.event_loop = EventLoop(asyncio.get_running_loop(), Counters(), print)
        self.clients: list[Client] = []
        self.passed = 0  # turns of the loop

    async def client(self, logged_in: bool = True) -> Client:
        client = Client(self, logged_in)
        self.clients.append(client)
        if logged_in:
            await client.until(OK, 2)
        return client

    async def turn(self) -> None:
        self.passed += 1
        assert self.passed < MOST_TURNS, "nothing more comes"
        self.world.wait(0)
        await asyncio.sleep(0)

    async def turns(self) -> None:
        for _ in range(TURNS):
            await self.turn()

    async def sent(self, ref: int) -> None:
        """Until a request is at the engine."""
        while not any(
            words[1] == b"%016x" % ref for line in self.world.engine_streams for words in line.received
        ):
            await self.turn()

    def taken(self) -> int:
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


def played(story: Callable[[Here], Coroutine[Any, Any, None]]) -> None:
    async def scenario() -> None:
        here = Here()
        try:
            await story(here)
        finally:
            await here.close()

    with asyncio.Runner(loop_factory=new_loop) as runner:
        runner.run(scenario())


def kept_too_long(here: Here) -> None:
    here.world.clock.at += IDLE_TIMEOUT_MS + 1


def drained(here: Here) -> None:
    here.world.run("ops drain")
    kept_too_long(here)


def leaving(here: Here) -> None:
    here.world.run("ops terminate")
    here.world.clock.at += SHUTDOWN_IDLE_CLOSE_MS + SETTLE_MS + 1


def ended(here: Here) -> None:
    here.world.run("ops terminate")
    here.world.clock.at = here.world.lifecycle.close_deadline()


def crowded(here: Here) -> None:
    here.world.clock.at += IDLE_TIMEOUT_MS - 1
    here.world.sessions.max_sessions = 1


# When a connection without an open request is to be closed.
MOMENTS = [kept_too_long, drained, leaving, ended, crowded]


def close_spare(here: Here) -> None:
    here.world.sessions.check_timeouts()
    here.world.sessions.has_capacity()


@pytest.mark.parametrize("turns", range(4))
@pytest.mark.parametrize("comes", MOMENTS)
def test_a_request_received_before_its_idle_connection_closes_is_answered(
    comes: Callable[[Here], None], turns: int
) -> None:
    """It lies with the system, or is in the loop's hands: `turns` of the loop have passed since it came."""

    async def story(here: Here) -> None:
        client = await here.client()
        comes(here)
        client.write(query(1))
        for _ in range(turns):
            await asyncio.sleep(0)
        close_spare(here)
        while client.got.count(ROWS) < 2 and REFUSED not in client.got:
            assert not client.read() or client.got.count(ROWS) == 2 or REFUSED in client.got
            await here.turn()
            if here.world.gateway.open_count and any(line.received for line in here.world.engine_streams):
                here.answer(1)

    played(story)


@pytest.mark.parametrize("comes", MOMENTS)
def test_a_request_after_the_close_is_not_accepted(comes: Callable[[Here], None]) -> None:
    """Its client sends it once more elsewhere: taken here as well, it would run and be answered to nobody."""

    async def story(here: Here) -> None:
        client = await here.client()
        comes(here)
        close_spare(here)  # not one turn of the loop lies between the close and the request
        client.write(query(1))
        await here.turns()
        assert client.read() and here.taken() == 0 and client.session.is_closing

    played(story)


@pytest.mark.parametrize("turns", range(4))
def test_a_request_sent_before_the_last_answer_is_answered_before_the_close(turns: int) -> None:
    async def story(here: Here) -> None:
        client = await here.client()
        client.write(query(1))
        await here.sent(1)
        here.world.run("ops terminate")
        client.write(query(2))
        for _ in range(turns):
            await asyncio.sleep(0)
        here.answer(1)
        await here.sent(2)
        here.answer(2)
        assert (await client.end()).count(ROWS) == 4

    played(story)


@pytest.mark.parametrize("cut", [1, 4, 5, 30])
def test_a_partial_request_after_an_answer_is_waited_for(cut: int) -> None:
    async def story(here: Here) -> None:
        client = await here.client()
        client.write(query(1) + query(2)[:cut])
        await here.sent(1)
        here.world.run("ops terminate")
        here.answer(1)
        await client.until(ROWS, 2)
        assert not client.session.is_closing
        client.write(query(2)[cut:])
        await here.sent(2)
        here.answer(2)
        assert (await client.end()).count(ROWS) == 4

    played(story)


@pytest.mark.parametrize("cut", [1, 4, 30])
@pytest.mark.parametrize("logged_in", [True, False])
def test_a_partial_packet_at_the_end_of_shutdown_is_rejected(logged_in: bool, cut: int) -> None:
    async def story(here: Here) -> None:
        client = await here.client(logged_in)
        here.world.run("ops terminate")
        client.write((query(1) if logged_in else packet(1, LOGIN))[:cut])
        await here.turns()
        ended(here)
        close_spare(here)
        got = await client.end()
        assert REFUSED in got and here.taken() == 0
        if cut >= 4:
            assert got[got.index(REFUSED) - 1] == (1 if logged_in else 2)

    played(story)


@pytest.mark.parametrize("turns", range(6))
def test_a_client_that_logs_in_during_shutdown_is_answered(turns: int) -> None:
    """All in one packet, as clients may write it; the order to end comes in each of the turns it takes."""

    async def story(here: Here) -> None:
        client = await here.client(logged_in=False)
        client.write(packet(1, LOGIN) + query(1))
        for _ in range(turns):
            await asyncio.sleep(0)
        here.world.run("ops terminate")
        here.world.sessions.check_timeouts()
        await here.sent(1)
        here.answer(1)
        assert (await client.end()).count(ROWS) == 2

    played(story)


def test_pipelined_requests_are_answered_and_those_after_quit_are_rejected() -> None:
    async def story(here: Here) -> None:
        client, other = await here.client(), await here.client()
        client.write(query(1) + query(2) + PING + query(3))
        other.write(query(4) + QUIT + query(5) + query(6))
        await here.sent(1)
        here.world.run("ops terminate")
        for ref in (1, 2, 3, 4):
            await here.sent(ref)
            here.answer(ref)
        got = await client.end()
        assert got.count(ROWS) == 6 and got.count(OK) == 3
        got = await other.end()
        assert got.count(ROWS) == 2 and got.count(REFUSED) == 2 and here.taken() == 4

    played(story)


@pytest.mark.parametrize("size", [1, 100_000, 3_000_000])
def test_an_answer_is_not_lost_while_its_client_still_sends(size: int) -> None:
    """Closed over unread bytes, a connection is reset, and what was written is lost with it."""

    async def story(here: Here) -> None:
        client = await here.client()
        client.write(query(1))
        await here.sent(1)
        here.world.run("ops terminate")
        here.answer(1)
        left = memoryview(bytes(size))
        while left:
            try:
                left = left[client.sock.send(left) :]
            except BlockingIOError:
                await here.turn()
        await here.turns()
        assert (await client.end()).count(ROWS) == 2

    played(story)


def test_an_answer_read_late_is_written_completely_and_unfinished_until_then() -> None:
    async def story(here: Here) -> None:
        client = await here.client()
        here.world.run("ops terminate")
        client.session.output += bytes(UNREAD_BYTES)
        client.session._close()
        await here.turns()
        assert here.world.sessions.has_unfinished()
        await client.end()
        assert len(client.got) > UNREAD_BYTES and not here.world.sessions.has_unfinished()

    played(story)


@pytest.mark.parametrize("turns", range(6))
def test_a_client_accepted_as_the_listener_closes_is_answered(turns: int) -> None:
    """Accepted in one turn of the loop, it must not be dropped if accepting ends in the next."""

    async def story(here: Here) -> None:
        listener = socket.create_server(("127.0.0.1", 0))
        listener.setblocking(False)
        accepting = here.event_loop.spawn(here.event_loop.listener.accept(listener, here.world.sessions))
        await here.turns()
        client = Client.__new__(Client)
        client.here, client.got, client.reset = here, b"", False
        client.sock = socket.create_connection(listener.getsockname())
        client.sock.setblocking(False)
        here.clients.append(client)
        client.write(packet(1, LOGIN) + query(1))
        for _ in range(turns):
            await asyncio.sleep(0)
        accepting.cancel()
        await asyncio.gather(accepting, return_exceptions=True)
        await here.event_loop.listener.accept_queued(listener, here.world.sessions)
        listener.close()
        await here.sent(1)
        here.answer(1)
        await client.until(ROWS, 2)

    played(story)


@pytest.mark.parametrize("lacking", [0, 1])
def test_bytes_written_before_an_accept_at_the_end_of_shutdown_are_answered(lacking: int) -> None:
    """With short deadlines the listener closes as late as the last connections. One accepted then must not be
    closed before anything is read there."""
    text = packet(1, LOGIN) + query(1)
    written = text[: len(text) - lacking]

    async def story(here: Here) -> None:
        listener = socket.create_server(("127.0.0.1", 0))
        listener.setblocking(False)
        client = Client.__new__(Client)
        client.here, client.got, client.reset = here, b"", False
        client.sock = socket.create_connection(listener.getsockname())
        client.sock.setblocking(False)
        here.clients.append(client)
        client.write(written)
        ended(here)
        await here.event_loop.listener.accept_queued(listener, here.world.sessions)
        listener.close()
        close_spare(here)
        assert (await client.end()).count(REFUSED) == 1

    played(story)


def process(here: Here) -> asyncio.Task[None]:
    """The end of a process that has just closed its door, from the order on; time stands still as told."""
    here.world.run("ops terminate")
    parts = SimpleNamespace(
        event_loop=SimpleNamespace(clock=here.world.clock),
        lifecycle=here.world.lifecycle,
        sessions=here.world.sessions,
        gateway=here.world.gateway,
    )
    return asyncio.create_task(Dispatcher.finish_open_requests(cast(Dispatcher, parts)))


@pytest.fixture
def quick(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("cottonhold.node.dispatcher.SHUTDOWN_POLL_S", 0.0)


def test_the_process_ends_once_every_client_is_answered_and_closed(quick: None) -> None:
    async def story(here: Here) -> None:
        busy, late = await here.client(), await here.client()
        busy.write(query(1))
        await here.sent(1)
        end = process(here)
        late.session.output += bytes(UNREAD_BYTES)
        late.session._close()
        await here.turns()
        assert not end.done()
        here.answer(1)
        await busy.end()
        busy.sock.close()
        await here.turns()
        assert not end.done()  # the other's answer is written in part
        await late.end()
        await here.turns()
        assert not end.done()  # it has not closed
        late.sock.close()
        await here.turns()
        assert end.done() and not here.world.sessions.sessions

    played(story)


def test_the_process_does_not_wait_forever_for_clients_that_stay(quick: None) -> None:
    async def story(here: Here) -> None:
        idle, stuck = await here.client(), await here.client()
        stuck.session.output += bytes(UNREAD_BYTES)
        end = process(here)
        here.world.clock.at += SHUTDOWN_IDLE_CLOSE_MS + SETTLE_MS
        await here.turns()
        assert idle.session.is_closing and not end.done()
        here.world.clock.at = here.world.lifecycle.close_deadline()
        await here.turns()
        assert stuck.session.is_closing and not end.done()
        here.world.clock.at = here.world.lifecycle.answer_deadline()
        await here.turns()
        assert end.done()

    played(story)


def test_the_process_waits_for_an_open_request_until_its_deadline_and_answers_it(quick: None) -> None:
    async def story(here: Here) -> None:
        client = await here.client()
        client.write(query(1, allow=60000))
        await here.sent(1)
        end = process(here)
        here.world.wait(here.world.lifecycle.answer_deadline() - here.world.clock.now() - 100.0)
        await here.turns()
        assert not end.done() and not client.session.is_closing
        here.world.wait(100.0)
        assert b"\xff" in await client.end()
        client.sock.close()
        await here.turns()
        assert end.done()

    played(story)
