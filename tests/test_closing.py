"""How connections are closed, on real sockets: what came before the close is answered, what crosses it is not
forwarded, and no answer is lost to a reset."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable, Coroutine
from typing import Any

import pytest
import uvloop

from cottonhold.node.driver import Driver
from cottonhold.node.mysql import Session
from cottonhold.observe.counters import Counters
from tests.scenario import LOGIN, World, packet

PING, QUIT = packet(0, b"\x0e"), packet(0, b"\x01")
OK, ROWS, REFUSED = b"\x00\x00\x00\x02\x00\x00\x00", b"\xfe\x00\x00\x02\x00", b"\xff\xca\x04"
new_loop = asyncio.new_event_loop
TURNS, MOST_TURNS = 20, 20_000  # of the loop: more than anything in one connection takes, or in a whole story


def query(ref: int, allow: int = 5000) -> bytes:
    text = f"/* service=lookup,ref={ref:016x},allow={allow} */ SELECT a FROM s_7.t"
    return packet(0, b"\x03" + text.encode())


class Client:
    """A client's end of a TCP connection over loopback, whose other end is a session on the driver."""

    def __init__(self, here: Here, logged_in: bool = True) -> None:
        self.here, self.got, self.reset = here, b"", False
        with socket.create_server(("127.0.0.1", 0)) as listener:
            self.sock = socket.create_connection(listener.getsockname())
            near, _ = listener.accept()
        near.setblocking(False)
        self.sock.setblocking(False)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)  # what is written is there at once
        self.session: Session = here.world.front.open()
        here.driver._admit(near, self.session)
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
    """A front on the driver; engines are the scenario's. Time passes only when told to."""

    def __init__(self) -> None:
        self.world = World(engines="a")
        self.driver = Driver(asyncio.get_running_loop(), Counters(), print)
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
        while not any(words[1] == b"%016x" % ref for line in self.world.lines for words in line.heard):
            await self.turn()

    def taken(self) -> int:
        return self.world.counters.counts["requests_taken"]

    def answer(self, ref: int) -> None:
        self.world.run(f"e1 send r{ref} served count=1 a|b|c/")

    async def close(self) -> None:
        for client in self.clients:
            client.sock.close()
        await asyncio.gather(*self.driver.tasks, return_exceptions=True)


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


@pytest.mark.parametrize("turns", range(6))
def test_a_client_that_is_just_accepted_as_the_door_closes_is_answered(turns: int) -> None:
    """Danger: taken from the queue in one turn of the loop, it was dropped if accepting ended in the next."""

    async def story(here: Here) -> None:
        listener = socket.create_server(("127.0.0.1", 0))
        listener.setblocking(False)
        accepting = here.driver.spawn(here.driver.accept(listener, here.world.front))
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
        await here.driver.empty_queue(listener, here.world.front)
        listener.close()
        await here.sent(1)
        here.answer(1)
        await client.until(ROWS, 2)

    played(story)
