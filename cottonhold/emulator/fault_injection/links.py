"""Links between processes on loopback, each faulted by itself and by direction. Runs in the rig's loop.

A TCP link is a listener of its own. The datagrams of all instances go through one switch, which gives each of
them a public address. Times are ms.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
import socket
import struct
import time
from collections import deque
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field

from cottonhold.backend.resp import RespError, RespReader

RESET = struct.pack("ii", 1, 0)  # SO_LINGER: a close is a reset
CHUNK = 65536
Note = Callable[[str, str], None]  # what was seen on a link to an engine, and of which request


@dataclass(slots=True)
class NetworkPath:
    """One direction of a link. `cut`: bytes wait, datagrams are lost. `loss`, `twice`: shares of datagrams.
    `slow`: bytes a second, 0 without a limit."""

    cut: bool = False
    loss: float = 0.0
    twice: float = 0.0
    delay: float = 0.0
    jitter: float = 0.0
    slow: float = 0.0

    def wait(self, draw: random.Random, size: int, since: float = 0.0) -> float:
        """How long so many bytes take that came `since` ms ago: the way itself goes on for all of them at
        once, a bandwidth takes them one after another."""
        way = self.delay + self.jitter * draw.random() - since
        return max(way, 0.0) + (1000 * size / self.slow if self.slow else 0.0)


@dataclass(slots=True)
class Link:
    """Both directions of a TCP link, and what happens to connects. `refuse`: nobody listens. `reset`: each
    connection is reset as soon as it is up."""

    forth: NetworkPath = field(default_factory=NetworkPath)
    back: NetworkPath = field(default_factory=NetworkPath)
    refuse: bool = False
    reset: bool = False


class RequestObserver:
    """Reads along on one connection to an engine: what is sent, dropped and answered, as the instance did it.

    An engine that stood still sees late, and all at once, what was sent to it long before.
    """

    def __init__(self, note: Note) -> None:
        self.note, self.open = note, set[bytes]()
        self.forth, self.back = RespReader(), RespReader()

    def receive(self, data: bytes, reader: RespReader) -> None:
        """Bytes of one direction."""
        with contextlib.suppress(RespError):
            for words in reader.feed(data):
                verb = {b"GET": "get", b"DROP": "drop", b"CLOSE": "drop"}.get(words[0])
                if reader is self.back and words[0] in self.open:
                    self.open.discard(words[0])
                    self.note(words[1].decode(), words[0].decode())
                elif reader is self.forth and verb is not None:
                    self.open.add(words[1]) if verb == "get" else self.open.discard(words[1])
                    self.note(verb, words[1].decode())

    def closed(self) -> None:
        """The connection is over, and what was out on it. Said again, it is nothing new."""
        gone, self.open = self.open, set()
        for ref in gone:
            self.note("closed", ref.decode())


class TcpLink:
    """A listener that leads to one address. `note` hears what passes on a link to an engine."""

    def __init__(self, target: tuple[str, int], seed: int, note: Note | None = None) -> None:
        self.target, self.draw, self.note = target, random.Random(seed), note
        self.link, self.changed = Link(), asyncio.Event()
        self.port = 0
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()
        self.connects = 0

    async def start(self) -> int:
        """Listen; returns the port, which stays the same."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", self.port, limit=CHUNK)
        self.port = int(self.server.sockets[0].getsockname()[1])
        return self.port

    async def set(self, link: Link) -> None:
        """Another state from now on. What is held back goes on once nothing is cut."""
        was, self.link = self.link, link
        self.changed.set()
        self.changed = asyncio.Event()
        if link.refuse and not was.refuse and self.server is not None:
            self.server.close()
            self.server = None
        if link.reset or link.refuse:
            for writer in list(self.writers):
                _reset(writer)
        if was.refuse and not link.refuse:
            await self.start()

    async def stop(self) -> None:
        """End, and all connections with it."""
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connects += 1
        self.writers.add(writer)
        there: asyncio.StreamWriter | None = None
        ear = RequestObserver(self.note) if self.note is not None else None
        try:
            if self.link.reset:
                _reset(writer)
                return
            back, there = await asyncio.open_connection(*self.target, limit=CHUNK)
            self.writers.add(there)
            ways = [
                asyncio.create_task(work)
                for work in (
                    *self._copy_direction(reader, there, lambda: self.link.forth, ear, forth=True),
                    *self._copy_direction(back, writer, lambda: self.link.back, ear, forth=False),
                )
            ]
            try:
                await asyncio.wait(ways, return_when=asyncio.FIRST_COMPLETED)
            finally:
                for way in ways:
                    way.cancel()
                await asyncio.gather(*ways, return_exceptions=True)
        except OSError:
            _reset(writer)  # nobody is there: the caller is to see a connection that breaks
        except asyncio.CancelledError:
            pass
        finally:
            if ear is not None:
                ear.closed()
            for end in (writer, there):
                if end is not None:
                    self.writers.discard(end)
                    end.close()

    def _copy_direction(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        way: Callable[[], NetworkPath],
        ear: RequestObserver | None,
        forth: bool,
    ) -> tuple[Coroutine[None, None, None], Coroutine[None, None, None]]:
        """One direction: what reads (and hears at once, whatever is cut), and what writes when it may."""
        held: asyncio.Queue[tuple[float, bytes]] = asyncio.Queue(maxsize=256)

        async def read() -> None:
            while data := await reader.read(CHUNK):
                if ear is not None:
                    ear.receive(data, ear.forth if forth else ear.back)
                await held.put((time.monotonic(), data))
            if ear is not None and forth:
                # Danger: heard only once all before it was written, the end of one attempt came behind the
                # next one's beginning, and an instance seemed to have two out at once.
                ear.closed()
            await held.put((0.0, b""))
            await asyncio.Event().wait()  # the end is the other task's to tell, once all is written

        async def write() -> None:
            while (row := await held.get())[1]:
                came, data = row
                while way().cut:
                    await self.changed.wait()
                since = (time.monotonic() - came) * 1000
                if (ms := way().wait(self.draw, len(data), since)) > 0:
                    await asyncio.sleep(ms / 1000)
                writer.write(data)
                await writer.drain()

        return read(), write()


def _reset(writer: asyncio.StreamWriter) -> None:
    sock = writer.get_extra_info("socket")
    if sock is not None:
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
    writer.transport.abort()


class _Port(asyncio.DatagramProtocol):
    def __init__(self, switch: DatagramSwitch, number: int) -> None:
        self.switch, self.number = switch, number

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        self.switch.forward(addr[1], self.number, data)

    def error_received(self, exc: Exception) -> None:
        """An instance that isn't there: its port is closed."""


class DatagramSwitch:
    """Public addresses of instances, and the ways between them. `ports`: the instances' own UDP ports."""

    def __init__(self, ports: list[int], seed: int) -> None:
        self.ports, self.draw = ports, random.Random(seed)
        self.numbers = {port: number for number, port in enumerate(ports)}
        self.public: list[asyncio.DatagramTransport] = []
        self.addresses: list[int] = []
        self.paths: dict[tuple[int, int], NetworkPath] = {}
        self.passed = self.lost = self.strangers = self.bytes = 0
        self.kept: deque[tuple[int, int, bytes]] = deque(maxlen=2000)  # to be sent once more by a fault

    async def start(self) -> list[int]:
        """Open the public addresses; returns their ports."""
        loop = asyncio.get_running_loop()
        for number in range(len(self.ports)):
            transport, _ = await loop.create_datagram_endpoint(
                lambda number=number: _Port(self, number),  # type: ignore[misc]
                local_addr=("127.0.0.1", 0),
            )
            self.public.append(transport)
            self.addresses.append(int(transport.get_extra_info("sockname")[1]))
        return self.addresses

    def stop(self) -> None:
        """Close all."""
        for transport in self.public:
            transport.close()

    def path(self, sender: int, receiver: int) -> NetworkPath:
        """The way from one instance to another, to be changed in place."""
        return self.paths.setdefault((sender, receiver), NetworkPath())

    def forward(self, port: int, receiver: int, data: bytes) -> None:
        """A datagram that came to an instance's public address."""
        sender = self.numbers.get(port)
        if sender is None:
            self.strangers += 1
            return
        self.kept.append((sender, receiver, data))
        way = self.path(sender, receiver)
        if way.cut or self.draw.random() < way.loss:
            self.lost += 1
            return
        for _ in range(2 if self.draw.random() < way.twice else 1):
            ms = way.wait(self.draw, len(data))
            if ms > 0:  # one with jitter may overtake another: that is the reordering
                asyncio.get_running_loop().call_later(ms / 1000, self._send, sender, receiver, data)
            else:
                self._send(sender, receiver, data)

    def _send(self, sender: int, receiver: int, data: bytes) -> None:
        self.passed, self.bytes = self.passed + 1, self.bytes + len(data)
        if not self.public[sender].is_closing():
            self.public[sender].sendto(data, ("127.0.0.1", self.ports[receiver]))
