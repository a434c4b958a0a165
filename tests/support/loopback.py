"""An event loop on loopback sockets whose system calls fail as planned, between a gateway and a test's peers.

The gateway's clock advances only when a test advances it; `until` runs the loop until a condition holds.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable, Coroutine
from typing import Any

import uvloop

from cottonhold.backend.resp import RespReader, encode_array
from cottonhold.discovery.model import Address, EngineListChange
from cottonhold.scheduler.events import Engine as ListedEngine
from cottonhold.scheduler.settings import Settings
from cottonhold.transport.event_loop import EventLoop
from tests.support.faulty_sockets import Faults
from tests.support.scenario import LOGIN, SETTINGS, World, packet

HANG_S = 5.0  # a test that takes longer fails
GREETED = ["greeting", "ok"]
ROWS = [*GREETED, "eof", "eof"]
REQUEST_ID = b"%016x"


class Client:
    """A client with its connection to the gateway."""

    def __init__(self, address: Any, first_data: bytes = packet(1, LOGIN)) -> None:
        self.sock = socket.create_connection(address)
        self.sock.setblocking(False)
        self.buffer, self.ended = b"", False
        self.sock.send(first_data)

    def send_query(self, number: int, service: str = "lookup", allow: int = 5000) -> None:
        text = f"/* service={service},ref={number:016x},allow={allow} */ SELECT a FROM s_7.t"
        self.sock.send(packet(0, b"\x03" + text.encode()))

    def responses(self) -> list[str]:
        """Return the greeting, OKs, results and errors received so far, then "end" or "reset" once closed."""
        ending = ""
        try:
            while data := self.sock.recv(1 << 16):
                self.buffer += data
            ending = "end"
        except BlockingIOError:
            pass
        except ConnectionResetError:
            ending = "reset"
        responses, at, buffer = list[str](), 0, self.buffer
        while at + 4 <= len(buffer) and at + 4 + (
            size := int.from_bytes(buffer[at : at + 3], "little")
        ) <= len(buffer):
            payload, at = buffer[at + 4 : at + 4 + size], at + 4 + size
            if payload[0] == 0xFF:
                responses.append(f"error {int.from_bytes(payload[1:3], 'little')}")
            elif payload[0] == 0xFE:
                responses.append("eof")
            elif payload[0] in (0x00, 0x0A):
                responses.append("ok" if payload[0] == 0 else "greeting")
        return [*responses, ending] if ending else responses

    def finished(self) -> bool:
        """Return whether a first result has arrived or the connection has ended."""
        responses = self.responses()
        return len(responses) >= len(ROWS) or responses[-1:] in (["end"], ["reset"])


class Engine:
    """An engine's listener, which records requests and answers one when the test calls `serve`."""

    def __init__(self) -> None:
        self.sock = socket.create_server(("127.0.0.1", 0))
        self.sock.setblocking(False)
        self.connections: list[tuple[socket.socket, RespReader]] = []
        self.request_ids: list[bytes] = []
        self.verbs: list[bytes] = []

    def poll(self) -> None:
        """Accept connections, and read requests and health checks."""
        try:
            while True:
                connection, _ = self.sock.accept()
                connection.setblocking(False)
                self.connections.append((connection, RespReader()))
        except BlockingIOError:
            pass
        for connection, reader in self.connections:
            try:
                data = connection.recv(1 << 16)
            except OSError:
                continue
            for request in reader.feed(data):
                self.verbs.append(request[0])
                if request[0] == b"GET":
                    self.request_ids.append(request[1])
                elif request[0] == b"LOAD":
                    connection.send(encode_array(request[1], b"green", b"gauges=inflight:1", b""))

    def serve(self, request_id: bytes, page: bytes = b"a\tb\tc\n") -> None:
        """Answer a request with one page."""
        self.connections[-1][0].send(encode_array(request_id, b"served", b"count=1,ticks=1.0", page))

    def close(self) -> None:
        for connection, _ in self.connections:
            connection.close()
        self.sock.close()


class Loopback:
    """An event loop with its gateway, engines and clients."""

    def __init__(self, settings: Settings = SETTINGS, engines: int = 1, sockets: int = 256) -> None:
        self.world = World(settings, engines="", sockets=sockets)
        self.counts, self.log = self.world.counters.counts, self.world.log
        self.faults = Faults()
        self.event_loop = EventLoop(
            asyncio.get_running_loop(), self.world.counters, self.log.append, self.faults.make
        )
        self.world.engines.connect = self.event_loop.connector.connect
        self.engines = [Engine() for _ in range(engines)]
        addresses = {f"e{n}": Address(*e.sock.getsockname()) for n, e in enumerate(self.engines)}
        infos = tuple(ListedEngine(name) for name in addresses)
        self.world.gateway.on_engine_list(EngineListChange(infos, addresses, True))
        self.listener = self.event_loop.listener.listen(Address("127.0.0.1", 0))
        self.address = self.listener.getsockname()
        self.start_accepting()
        self.clients: list[Client] = []

    def client(self, first_data: bytes = packet(1, LOGIN)) -> Client:
        client = Client(self.address, first_data)
        self.clients.append(client)
        return client

    async def run_once(self) -> None:
        self.world.wait(0)
        for engine in self.engines:
            engine.poll()
        await asyncio.sleep(0)

    async def until(self, happened: Callable[[], bool]) -> None:
        while not happened():
            await self.run_once()

    def request_ids(self) -> list[bytes]:
        """Return the ids of the requests that all engines have received."""
        return [request_id for engine in self.engines for request_id in engine.request_ids]

    async def serve(self, number: int) -> None:
        """Wait until an engine has received a request, and answer it."""
        request_id = REQUEST_ID % number
        await self.until(lambda: request_id in self.request_ids())
        next(engine for engine in self.engines if request_id in engine.request_ids).serve(request_id)

    async def pass_ms(self, ms: int) -> None:
        """Advance the gateway's clock by a number of ms."""
        for _ in range(ms):
            self.world.wait(1)
            await self.run_once()

    async def stop_accepting(self) -> None:
        """Leave new clients in the listener's queue."""
        self.accepting.cancel()
        await asyncio.gather(self.accepting, return_exceptions=True)

    def start_accepting(self) -> None:
        self.accepting = self.event_loop.spawn(
            self.event_loop.listener.accept(self.listener, self.world.sessions)
        )

    async def close(self) -> None:
        """Close everything, and check that no socket, session or connection has leaked."""
        self.accepting.cancel()
        for endpoint in list(self.world.engines.endpoints.values()):
            for connection in list(endpoint.connections):
                connection.close()
        for stream in list(self.event_loop.streams):
            stream.abort()
        await asyncio.gather(*self.event_loop.tasks, return_exceptions=True)
        self.listener.close()
        for client in self.clients:
            client.sock.close()
        for engine in self.engines:
            engine.close()
        assert (
            not self.faults.open
            and not self.world.sessions.sessions
            and self.world.engines.open_connections == 0
        )


def run_scenario(scenario: Callable[[Loopback], Coroutine[Any, Any, None]], **options: Any) -> None:
    """Run a scenario on uvloop, as the program runs; nothing may be left open after it."""

    async def main() -> None:
        loopback = Loopback(**options)
        try:
            async with asyncio.timeout(HANG_S):
                await scenario(loopback)
        finally:
            await loopback.close()

    uvloop.run(main())
