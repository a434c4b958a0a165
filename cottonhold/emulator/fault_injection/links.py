"""Links between processes on the loopback interface, with separate faults for each direction.

The links run in the harness's event loop. Each TCP link has its own listener. The datagrams of all instances
pass through one switch, which gives each instance a public address.
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

RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER with a timeout of 0: closing sends RST
CHUNK_BYTES = 65536
MAX_PENDING_CHUNKS = 256
MAX_RECENT_DATAGRAMS = 2000
LOGGED_VERBS = {b"GET": "get", b"DROP": "drop", b"CLOSE": "drop"}
OnRequestEvent = Callable[[str, str], None]  # called with an event on a link to an engine and the request id


class NetworkPath(msgspec.Struct, forbid_unknown_fields=True):
    """One direction of a link; a fault's options use the names in `field`.

    Attributes:
        is_blocked: TCP bytes are held back and datagrams are dropped while this is set.
        loss_share: Share of datagrams that are dropped.
        duplicate_share: Share of datagrams that are delivered twice.
        delay_ms: One-way delay, in ms.
        jitter_ms: Largest random addition to the delay, in ms.
        bytes_per_s: Bandwidth limit; 0 for none.
    """

    is_blocked: bool = field(name="cut", default=False)
    loss_share: float = field(name="loss", default=0.0)
    duplicate_share: float = field(name="twice", default=0.0)
    delay_ms: float = field(name="delay", default=0.0)
    jitter_ms: float = field(name="jitter", default=0.0)
    bytes_per_s: float = field(name="slow", default=0.0)

    def transfer_ms(self, draw: random.Random, size: int, waited_ms: float = 0.0) -> float:
        """Return the remaining transfer time of a chunk, in ms.

        The delay runs from the chunk's arrival, so chunks that wait together do not add up their delays. The
        bandwidth limit applies to each chunk after the previous one.

        Args:
            draw: Source of the jitter.
            size: Size of the chunk, in bytes.
            waited_ms: Time since the chunk arrived, in ms.
        """
        delay_ms = self.delay_ms + self.jitter_ms * draw.random() - waited_ms
        return max(delay_ms, 0.0) + (1000 * size / self.bytes_per_s if self.bytes_per_s else 0.0)


def network_path(options: Mapping[str, Any]) -> NetworkPath:
    """Return the path that a fault's options describe.

    Raises:
        msgspec.ValidationError: An option is unknown or has a wrong type.
    """
    return msgspec.convert(options, NetworkPath)


@dataclass(slots=True)
class Link:
    """The state of a TCP link.

    Attributes:
        forth: Path from the connecting process to the target.
        back: Path from the target to the connecting process.
        refuses: Connection attempts are refused, since the listener is closed.
        resets: Each connection is reset as soon as it is open.
    """

    forth: NetworkPath = data_field(default_factory=NetworkPath)
    back: NetworkPath = data_field(default_factory=NetworkPath)
    refuses: bool = False
    resets: bool = False


class RequestObserver:
    """Records the requests, cancels and responses on one connection to an engine.

    The times are those at which the instance sent them: a stopped engine reads its backlog only once it
    continues.
    """

    def __init__(self, on_event: OnRequestEvent) -> None:
        self.on_event, self.open_requests = on_event, set[bytes]()
        self.commands, self.responses = RespReader(), RespReader()

    def on_command_bytes(self, data: bytes) -> None:
        """Record the commands in bytes from the instance."""
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
        """Record the responses in bytes from the engine."""
        with contextlib.suppress(RespError):
            for response in self.responses.feed(data):
                request_id = response[0]
                if request_id in self.open_requests:
                    self.open_requests.discard(request_id)
                    self.on_event(response[1].decode(), request_id.decode())

    def on_closed(self) -> None:
        """Record that the open requests of a closed connection have ended; repeated calls have no effect."""
        open_requests, self.open_requests = self.open_requests, set()
        for request_id in open_requests:
            self.on_event("closed", request_id.decode())


class TcpLink:
    """Forwards TCP connections from its own listener to one address, with faults.

    Args:
        target: Address that connections are forwarded to.
        seed: Seed of the jitter.
        on_event: Called for each request event; given only for links to engines.
    """

    def __init__(self, target: tuple[str, int], seed: int, on_event: OnRequestEvent | None = None) -> None:
        self.target, self.random, self.on_event = target, random.Random(seed), on_event
        self.link, self.is_changed = Link(), asyncio.Event()
        self.port = 0
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()
        self.connects = 0

    async def start(self) -> int:
        """Listen, and return the port, which is the same after each restart of the listener."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", self.port, limit=CHUNK_BYTES)
        self.port = int(self.server.sockets[0].getsockname()[1])
        return self.port

    async def set(self, link: Link) -> None:
        """Change the link's state. Bytes that were held back are sent once their direction is not blocked."""
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
            _reset(writer)  # the target does not listen: break the caller's connection
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
        # The end of a connection is recorded as soon as it is read. If it were recorded only once all earlier
        # bytes are written, it could follow the start of the next attempt, and an instance would seem to have
        # two attempts open.
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
        """Return two coroutines for one direction: a reader, which reads ahead of the path, and a writer."""
        pending: asyncio.Queue[tuple[float, bytes]] = asyncio.Queue(maxsize=MAX_PENDING_CHUNKS)

        async def read() -> None:
            while data := await reader.read(CHUNK_BYTES):
                if on_bytes is not None:
                    on_bytes(data)
                await pending.put((time.monotonic(), data))
            if on_end is not None:
                on_end()
            await pending.put((0.0, b""))
            await asyncio.Event().wait()  # the end of the writer ends the copy

        async def write() -> None:
            while (chunk := await pending.get())[1]:
                received_at, data = chunk
                while path().is_blocked:
                    await self.is_changed.wait()
                waited_ms = (time.monotonic() - received_at) * 1000
                delay_ms = path().transfer_ms(self.random, len(data), waited_ms)
                if delay_ms > 0:
                    await asyncio.sleep(delay_ms / 1000)
                writer.write(data)
                await writer.drain()

        return read(), write()


async def _until_first_ends(*work: Coroutine[None, None, None]) -> None:
    """Run coroutines until one of them ends, then cancel the others."""
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
        """Ignore the error; the instance at the destination is not running."""


class DatagramSwitch:
    """Forwards datagrams between instances from their public addresses, with faults for each path.

    Args:
        ports: UDP port on which each instance listens, by its number.
        seed: Seed of losses, duplicates and jitter.
    """

    def __init__(self, ports: list[int], seed: int) -> None:
        self.ports, self.random = ports, random.Random(seed)
        self.numbers = {port: number for number, port in enumerate(ports)}
        self.transports: list[asyncio.DatagramTransport] = []
        self.addresses: list[int] = []
        self.paths: dict[tuple[int, int], NetworkPath] = {}
        self.forwarded = self.dropped = self.unknown_senders = self.bytes_forwarded = 0
        self.recent_datagrams: deque[tuple[int, int, bytes]] = deque(maxlen=MAX_RECENT_DATAGRAMS)

    async def start(self) -> list[int]:
        """Open the public address of each instance, and return their ports."""
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
        """Close the public addresses."""
        for transport in self.transports:
            transport.close()

    def path(self, sender: int, receiver: int) -> NetworkPath:
        """Return the path from one instance to another."""
        return self.paths.setdefault((sender, receiver), NetworkPath())

    def forward(self, port: int, receiver: int, data: bytes) -> None:
        """Forward a datagram to an instance, subject to the faults of its path.

        Args:
            port: UDP port of the sending instance.
            receiver: Number of the instance whose public address received the datagram.
            data: Payload of the datagram.
        """
        sender = self.numbers.get(port)
        if sender is None:
            self.unknown_senders += 1
            return
        self.recent_datagrams.append((sender, receiver, data))
        path = self.path(sender, receiver)
        if path.is_blocked or self.random.random() < path.loss_share:
            self.dropped += 1
            return
        for _ in range(2 if self.random.random() < path.duplicate_share else 1):
            delay_ms = path.transfer_ms(self.random, len(data))
            if delay_ms > 0:  # jitter may change the order of datagrams
                loop = asyncio.get_running_loop()
                loop.call_later(delay_ms / 1000, self._send, sender, receiver, data)
            else:
                self._send(sender, receiver, data)

    def _send(self, sender: int, receiver: int, data: bytes) -> None:
        self.forwarded, self.bytes_forwarded = self.forwarded + 1, self.bytes_forwarded + len(data)
        if not self.transports[sender].is_closing():
            self.transports[sender].sendto(data, ("127.0.0.1", self.ports[receiver]))
