"""An event loop on loopback sockets whose calls fail by script, between a scenario's gateway and test peers.

The gateway's clock stands still unless a test moves it; `until` turns the loop until something has happened.
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

HANG_S = 5.0  # a test that has not come to its end by then has failed
GREETED = ["greeting", "ok"]
ROWS = [*GREETED, "eof", "eof"]
REF = b"%016x"


class Client:
    """A client's end of a connection."""

    def __init__(self, address: Any) -> None:
        self.sock = socket.create_connection(address)
        self.sock.setblocking(False)
        self.buffer, self.ended = b"", False
        self.sock.send(packet(1, LOGIN))

    def ask(self, ref: int, service: str = "lookup", allow: int = 5000) -> None:
        text = f"/* service={service},ref={ref:016x},allow={allow} */ SELECT a FROM s_7.t"
        self.sock.send(packet(0, b"\x03" + text.encode()))

    def answers(self) -> list[str]:
        """Greeting, ok, rows and errors as they have come; "end" or "reset" behind the last."""
        how = ""
        try:
            while data := self.sock.recv(1 << 16):
                self.buffer += data
            how = "end"
        except BlockingIOError:
            pass
        except ConnectionResetError:
            how = "reset"
        told, at, buffer = list[str](), 0, self.buffer
        while at + 4 <= len(buffer) and at + 4 + (
            size := int.from_bytes(buffer[at : at + 3], "little")
        ) <= len(buffer):
            payload, at = buffer[at + 4 : at + 4 + size], at + 4 + size
            if payload[0] == 0xFF:
                told.append(f"error {int.from_bytes(payload[1:3], 'little')}")
            elif payload[0] == 0xFE:
                told.append("eof")
            elif payload[0] in (0x00, 0x0A):
                told.append("ok" if payload[0] == 0 else "greeting")
        return [*told, how] if how else told

    def finished(self) -> bool:
        """Whether a first result has come, or the connection has ended."""
        told = self.answers()
        return len(told) >= len(ROWS) or told[-1:] in (["end"], ["reset"])


class Engine:
    """An engine's listener: counts what is asked, and answers when told to."""

    def __init__(self) -> None:
        self.sock = socket.create_server(("127.0.0.1", 0))
        self.sock.setblocking(False)
        self.lines: list[tuple[socket.socket, RespReader]] = []
        self.asked: list[bytes] = []
        self.verbs: list[bytes] = []

    def turn(self) -> None:
        """Take in connections, requests and probes."""
        try:
            while True:
                line, _ = self.sock.accept()
                line.setblocking(False)
                self.lines.append((line, RespReader()))
        except BlockingIOError:
            pass
        for line, reader in self.lines:
            try:
                data = line.recv(1 << 16)
            except OSError:
                continue
            for words in reader.feed(data):
                self.verbs.append(words[0])
                if words[0] == b"GET":
                    self.asked.append(words[1])
                elif words[0] == b"LOAD":
                    line.send(encode_array(words[1], b"green", b"gauges=inflight:1", b""))

    def serve(self, ref: bytes, page: bytes = b"a\tb\tc\n") -> None:
        """Answer a request with one page."""
        self.lines[-1][0].send(encode_array(ref, b"served", b"count=1,ticks=1.0", page))

    def close(self) -> None:
        for line, _ in self.lines:
            line.close()
        self.sock.close()


class Loopback:
    """The event loop with its gateway, some engines and clients."""

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
        self.accepting = self.event_loop.spawn(
            self.event_loop.listener.accept(self.listener, self.world.sessions)
        )
        self.clients: list[Client] = []

    def client(self) -> Client:
        client = Client(self.address)
        self.clients.append(client)
        return client

    async def turn(self) -> None:
        self.world.wait(0)
        for engine in self.engines:
            engine.turn()
        await asyncio.sleep(0)

    async def until(self, happened: Callable[[], bool]) -> None:
        while not happened():
            await self.turn()

    def asked(self) -> list[bytes]:
        """The ids that came to any engine."""
        return [ref for engine in self.engines for ref in engine.asked]

    async def serve(self, ref: int) -> None:
        """Wait until an engine is asked for a request, and have it answer."""
        await self.until(lambda: REF % ref in self.asked())
        next(engine for engine in self.engines if REF % ref in engine.asked).serve(REF % ref)

    async def pass_ms(self, ms: int) -> None:
        """Time passes for the gateway."""
        for _ in range(ms):
            self.world.wait(1)
            await self.turn()

    async def close(self) -> None:
        """End all; whatever is still open then has leaked."""
        self.accepting.cancel()
        for place in list(self.world.engines.endpoints.values()):
            for connection in list(place.connections):
                connection.close()
        for wire in list(self.event_loop.streams):
            wire.abort()
        await asyncio.gather(*self.event_loop.tasks, return_exceptions=True)
        self.listener.close()
        for peer in self.clients:
            peer.sock.close()
        for engine in self.engines:
            engine.close()
        assert (
            not self.faults.open
            and not self.world.sessions.sessions
            and self.world.engines.open_connections == 0
        )


def play(story: Callable[[Loopback], Coroutine[Any, Any, None]], **how: Any) -> None:
    """Play a story on uvloop, as the program runs; nothing may be left open behind it."""

    async def scenario() -> None:
        rig = Loopback(**how)
        try:
            async with asyncio.timeout(HANG_S):
                await story(rig)
        finally:
            await rig.close()

    uvloop.run(scenario())
