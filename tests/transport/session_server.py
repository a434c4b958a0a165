"""Client sessions on real sockets under an event loop; the engines are those of a scenario."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable, Coroutine
from typing import Any

from cottonhold.frontend.mysql_session import Session
from cottonhold.observe.counters import Counters
from cottonhold.transport.event_loop import EventLoop
from tests.support.scenario import LOGIN, World, packet

PING, QUIT = packet(0, b"\x0e"), packet(0, b"\x01")
OK, ROWS, REJECTED = b"\x00\x00\x00\x02\x00\x00\x00", b"\xfe\x00\x00\x02\x00", b"\xff\xca\x04"
new_loop = asyncio.new_event_loop
SETTLE_ITERATIONS = 20  # iterations of the loop, more than any step on one connection takes
MAX_ITERATIONS = 20_000  # iterations of the loop, more than a whole scenario takes
UNREAD_BYTES = 8 * 1024 * 1024  # more than the system buffers for a client that does not read


def query(ref: int, allow: int = 5000) -> bytes:
    text = f"/* service=lookup,ref={ref:016x},allow={allow} */ SELECT a FROM s_7.t"
    return packet(0, b"\x03" + text.encode())


class Client:
    """The client's end of a TCP connection over loopback; the other end is a session on the event loop."""

    def __init__(self, server: SessionServer, logged_in: bool = True) -> None:
        self.server, self.received, self.reset = server, b"", False
        with socket.create_server(("127.0.0.1", 0)) as listener:
            self.sock = socket.create_connection(listener.getsockname())
            server_end, _ = listener.accept()
        server_end.setblocking(False)
        self.sock.setblocking(False)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)  # written data arrives immediately
        self.session: Session = server.world.sessions.open()
        server.event_loop.listener.admit(server_end, self.session)
        if logged_in:
            self.write(packet(1, LOGIN) + PING)

    def write(self, data: bytes) -> None:
        self.sock.sendall(data)

    def read(self) -> bool:
        """Read what has arrived; return whether the connection has ended."""
        try:
            while data := self.sock.recv(1 << 16):
                self.received += data
        except BlockingIOError:
            return False
        except ConnectionError:
            self.reset = True
        return True

    async def until(self, pattern: bytes, count: int = 1) -> None:
        while self.received.count(pattern) < count:
            has_ended = self.read()
            assert not has_ended or self.received.count(pattern) >= count, (
                f"connection ended after {self.received!r}"
            )
            await self.server.run_once()

    async def read_to_end(self) -> bytes:
        """Return everything received until the connection ends, which must not be a reset."""
        while not self.read():
            await self.server.run_once()
        assert not self.reset
        return self.received


class SessionServer:
    """Client sessions on the event loop; the scenario provides engines and a clock that tests advance."""

    def __init__(self) -> None:
        self.world = World(engines="a")
        self.event_loop = EventLoop(asyncio.get_running_loop(), Counters(), print)
        self.clients: list[Client] = []
        self.iteration_count = 0  # iterations of the loop

    async def client(self, logged_in: bool = True) -> Client:
        client = Client(self, logged_in)
        self.clients.append(client)
        if logged_in:
            await client.until(OK, 2)
        return client

    async def run_once(self) -> None:
        self.iteration_count += 1
        assert self.iteration_count < MAX_ITERATIONS, "the scenario has not ended"
        self.world.wait(0)
        await asyncio.sleep(0)

    async def settle(self) -> None:
        for _ in range(SETTLE_ITERATIONS):
            await self.run_once()

    async def wait_until_sent(self, ref: int) -> None:
        """Wait until a request has arrived at an engine."""
        while not any(
            words[1] == b"%016x" % ref for line in self.world.engine_streams for words in line.received
        ):
            await self.run_once()

    def accepted_count(self) -> int:
        return self.world.counters.counts["requests_taken"]

    def answer(self, ref: int) -> None:
        self.world.run(f"e1 send r{ref} served count=1 a|b|c/")

    async def close(self) -> None:
        for client in self.clients:
            client.sock.close()
        await asyncio.gather(*self.event_loop.tasks, return_exceptions=True)


def run_scenario(scenario: Callable[[SessionServer], Coroutine[Any, Any, None]]) -> None:
    async def main() -> None:
        server = SessionServer()
        try:
            await scenario(server)
        finally:
            await server.close()

    with asyncio.Runner(loop_factory=new_loop) as runner:
        runner.run(main())
