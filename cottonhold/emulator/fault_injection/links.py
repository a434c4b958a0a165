"""Links between processes on loopback, each with faults of its own by direction. They run in the harness's
event loop.

A TCP link is a listener of its own. The datagrams of all instances go through one switch, which gives each of
them a public address.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
import socket
import struct
import time
from collections import deque
from collections.abc import Callable, Coroutine, Mapping
from dataclasses import dataclass
from dataclasses import field as data_field
from typing import Any

import msgspec
from msgspec import field

from cottonhold.backend.resp import RespError, RespReader

RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER without a time
CHUNK_BYTES = 65536
MAX_PENDING_CHUNKS = 256
MAX_RECENT_DATAGRAMS = 2000
LOGGED_VERBS = {b"GET": "get", b"DROP": "drop", b"CLOSE": "drop"}
OnRequestEvent = Callable[[str, str], None]  # what happened on a link to an engine, and to which request


class NetworkPath(msgspec.Struct, forbid_unknown_fields=True):
    """One direction of a link, by the names in `field` in a fault's options. While it is cut, bytes wait and
    datagrams are lost. bytes_per_s: 0 without a limit."""

    is_cut: bool = field(name="cut", default=False)
    loss_share: float = field(name="loss", default=0.0)
    duplicate_share: float = field(name="twice", default=0.0)
    delay_ms: float = field(name="delay", default=0.0)
    jitter_ms: float = field(name="jitter", default=0.0)
    bytes_per_s: float = field(name="slow", default=0.0)

    def transfer_ms(self, draw: random.Random, size: int, waited_ms: float = 0.0) -> float:
        """Return how long so many bytes still take that arrived `waited_ms` ago. The delay passes for all of
        them at once; a bandwidth passes them one after another."""
        delay_ms = self.delay_ms + self.jitter_ms * draw.random() - waited_ms
        return max(delay_ms, 0.0) + (1000 * size / self.bytes_per_s if self.bytes_per_s else 0.0)


def network_path(options: Mapping[str, Any]) -> NetworkPath:
    """Return the path that a fault's options describe. Raises msgspec.ValidationError."""
    return msgspec.convert(options, NetworkPath)


@dataclass(slots=True)
class Link:
    """Both directions of a TCP link, and what happens to connects. refuses: nobody listens. resets: each
    connection is reset as soon as it is open."""

    forth: NetworkPath = data_field(default_factory=NetworkPath)
    back: NetworkPath = data_field(default_factory=NetworkPath)
    refuses: bool = False
    resets: bool = False


class RequestObserver:
    """Reads along on one connection to an engine: what is sent, cancelled and answered, when the instance did
    it. An engine that was stopped sees late, and all at once, what was sent to it."""

    def __init__(self, on_event: OnRequestEvent) -> None:
        self.on_event, self.open_requests = on_event, set[bytes]()
        self.commands, self.responses = RespReader(), RespReader()

    def on_command_bytes(self, data: bytes) -> None:
        """Read bytes on their way to the engine."""
        with contextlib.suppress(RespError):
            for command in self.commands.feed(data):
                verb = LOGGED_VERBS.get(command[0])
                if verb is None:
                    continue
                request_id = command[1]
                if verb == "get":
                    self.open_requests.add(request_id)
                else:
                    self.open_requests.discard(request_id)
                self.on_event(verb, request_id.decode())

    def on_response_bytes(self, data: bytes) -> None:
        """Read bytes on their way back."""
        with contextlib.suppress(RespError):
            for response in self.responses.feed(data):
                request_id = response[0]
                if request_id in self.open_requests:
                    self.open_requests.discard(request_id)
                    self.on_event(response[1].decode(), request_id.decode())

    def on_closed(self) -> None:
        """End what is open on a connection that has ended. May be called again."""
        open_requests, self.open_requests = self.open_requests, set()
        for request_id in open_requests:
            self.on_event("closed", request_id.decode())


class TcpLink:
    """A listener that leads to one address. on_event: is called with what passes on a link to an engine."""

    def __init__(self, target: tuple[str, int], seed: int, on_event: OnRequestEvent | None = None) -> None:
        self.target, self.random, self.on_event = target, random.Random(seed), on_event
        self.link, self.is_changed = Link(), asyncio.Event()
        self.port = 0
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()
        self.connects = 0

    async def start(self) -> int:
        """Listen, and return the port, which stays the same."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", self.port, limit=CHUNK_BYTES)
        self.port = int(self.server.sockets[0].getsockname()[1])
        return self.port

    async def set(self, link: Link) -> None:
        """Change the state. What waits goes on once nothing is cut."""
        previous, self.link = self.link, link
        self.is_changed.set()
        self.is_changed = asyncio.Event()
        if link.refuses and not previous.refuses and self.server is not None:
            self.server.close()
            self.server = None
        if link.resets or link.refuses:
            for writer in list(self.writers):
                _reset(writer)
        if previous.refuses and not link.refuses:
            await self.start()

    async def stop(self) -> None:
        """Stop listening, and abort all connections."""
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connects += 1
        self.writers.add(writer)
        target_writer: asyncio.StreamWriter | None = None
        observer = RequestObserver(self.on_event) if self.on_event is not None else None
        try:
            if self.link.resets:
                _reset(writer)
                return
            target_reader, target_writer = await asyncio.open_connection(*self.target, limit=CHUNK_BYTES)
            self.writers.add(target_writer)
            await _until_first_ends(
                *self._copy_forth(reader, target_writer, observer),
                *self._copy_back(target_reader, writer, observer),
            )
        except OSError:
            _reset(writer)  # nobody listens: the caller is to see a connection that breaks
        except asyncio.CancelledError:
            pass
        finally:
            if observer is not None:
                observer.on_closed()
            for end in (writer, target_writer):
                if end is not None:
                    self.writers.discard(end)
                    end.close()

    def _copy_forth(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        observer: RequestObserver | None,
    ) -> tuple[Coroutine[None, None, None], Coroutine[None, None, None]]:
        # An end is observed as soon as it is read. Once all before it was written it could come behind the
        # next attempt's begin, and an instance would seem to have two open at once.
        on_bytes = observer.on_command_bytes if observer is not None else None
        on_end = observer.on_closed if observer is not None else None
        return self._copy(reader, writer, lambda: self.link.forth, on_bytes, on_end)

    def _copy_back(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        observer: RequestObserver | None,
    ) -> tuple[Coroutine[None, None, None], Coroutine[None, None, None]]:
        on_bytes = observer.on_response_bytes if observer is not None else None
        return self._copy(reader, writer, lambda: self.link.back, on_bytes, None)

    def _copy(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        path: Callable[[], NetworkPath],
        on_bytes: Callable[[bytes], None] | None,
        on_end: Callable[[], None] | None,
    ) -> tuple[Coroutine[None, None, None], Coroutine[None, None, None]]:
        """Return the two tasks of one direction: one reads at once, whatever is cut, the other writes when
        the path allows."""
        pending: asyncio.Queue[tuple[float, bytes]] = asyncio.Queue(maxsize=MAX_PENDING_CHUNKS)

        async def read() -> None:
            while data := await reader.read(CHUNK_BYTES):
                if on_bytes is not None:
                    on_bytes(data)
                await pending.put((time.monotonic(), data))
            if on_end is not None:
                on_end()
            await pending.put((0.0, b""))
            await asyncio.Event().wait()  # the other task ends the copy, once all is written

        async def write() -> None:
            while (chunk := await pending.get())[1]:
                received_at, data = chunk
                while path().is_cut:
                    await self.is_changed.wait()
                waited_ms = (time.monotonic() - received_at) * 1000
                delay_ms = path().transfer_ms(self.random, len(data), waited_ms)
                if delay_ms > 0:
                    await asyncio.sleep(delay_ms / 1000)
                writer.write(data)
                await writer.drain()

        return read(), write()


async def _until_first_ends(*work: Coroutine[None, None, None]) -> None:
    """Run all until one of them ends, and cancel the others."""
    tasks = [asyncio.create_task(coroutine) for coroutine in work]
    try:
        await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


def _reset(writer: asyncio.StreamWriter) -> None:
    sock = writer.get_extra_info("socket")
    if sock is not None:
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    writer.transport.abort()


class _PublicAddress(asyncio.DatagramProtocol):
    def __init__(self, switch: DatagramSwitch, number: int) -> None:
        self.switch, self.number = switch, number

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        self.switch.forward(addr[1], self.number, data)

    def error_received(self, exc: Exception) -> None:
        """Ignore the closed port of an instance that is not running."""


class DatagramSwitch:
    """Public addresses of instances, and the paths between them. ports: the instances' own UDP ports."""

    def __init__(self, ports: list[int], seed: int) -> None:
        self.ports, self.random = ports, random.Random(seed)
        self.numbers = {port: number for number, port in enumerate(ports)}
        self.transports: list[asyncio.DatagramTransport] = []
        self.addresses: list[int] = []
        self.paths: dict[tuple[int, int], NetworkPath] = {}
        self.passed = self.lost = self.unknown_senders = self.bytes = 0
        self.recent_datagrams: deque[tuple[int, int, bytes]] = deque(maxlen=MAX_RECENT_DATAGRAMS)

    async def start(self) -> list[int]:
        """Open the public addresses, and return their ports."""
        loop = asyncio.get_running_loop()
        for number in range(len(self.ports)):
            transport, _ = await loop.create_datagram_endpoint(
                lambda number=number: _PublicAddress(self, number),  # type: ignore[misc]
                local_addr=("127.0.0.1", 0),
            )
            self.transports.append(transport)
            self.addresses.append(int(transport.get_extra_info("sockname")[1]))
        return self.addresses

    def stop(self) -> None:
        """Close all."""
        for transport in self.transports:
            transport.close()

    def path(self, sender: int, receiver: int) -> NetworkPath:
        """Return the path from one instance to another."""
        return self.paths.setdefault((sender, receiver), NetworkPath())

    def forward(self, port: int, receiver: int, data: bytes) -> None:
        """Pass on a datagram that a port sent to an instance's public address."""
        sender = self.numbers.get(port)
        if sender is None:
            self.unknown_senders += 1
            return
        self.recent_datagrams.append((sender, receiver, data))
        path = self.path(sender, receiver)
        if path.is_cut or self.random.random() < path.loss_share:
            self.lost += 1
            return
        for _ in range(2 if self.random.random() < path.duplicate_share else 1):
            delay_ms = path.transfer_ms(self.random, len(data))
            if delay_ms > 0:  # with jitter one datagram may overtake another
                loop = asyncio.get_running_loop()
                loop.call_later(delay_ms / 1000, self._send, sender, receiver, data)
            else:
                self._send(sender, receiver, data)

    def _send(self, sender: int, receiver: int, data: bytes) -> None:
        self.passed, self.bytes = self.passed + 1, self.bytes + len(data)
        if not self.transports[sender].is_closing():
            self.transports[sender].sendto(data, ("127.0.0.1", self.ports[receiver]))
