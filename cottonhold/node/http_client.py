"""Calls over HTTP/1.1, plain or with TLS, on the driver's sockets.

TLS runs in memory between the machine's bytes and the socket's: asyncio's socket calls know none.
"""

from __future__ import annotations

import asyncio
import socket
import ssl
from collections.abc import Callable
from dataclasses import dataclass
from typing import TypeVar

from cottonhold.discovery.consul.exchange import Answer, Call, Exchange
from cottonhold.discovery.model import Address
from cottonhold.message_validation import WireError
from cottonhold.transport.event_loop import EventLoop

CONNECT_S = 1.0
READ_BYTES = 64 << 10
T = TypeVar("T")


@dataclass(slots=True, frozen=True)
class Tls:
    """How a server is checked and what is shown to it. An empty ca_file means the system's authorities."""

    ca_file: str = ""
    cert_file: str = ""
    key_file: str = ""
    server_name: str = ""

    def context(self) -> ssl.SSLContext:
        """The library's settings. Raises OSError, and ssl.SSLError is one, where a file can't be used."""
        context = ssl.create_default_context(cafile=self.ca_file or None)
        context.minimum_version = ssl.TLSVersion.TLSv1_2
        if self.cert_file:
            context.load_cert_chain(self.cert_file, self.key_file or None)
        return context


class TlsPipe:
    """TLS between two buffers: `feed` what came, take from `outgoing` what goes."""

    def __init__(self, context: ssl.SSLContext, name: str) -> None:
        self.incoming, self.outgoing = ssl.MemoryBIO(), ssl.MemoryBIO()
        self.tls = context.wrap_bio(self.incoming, self.outgoing, server_hostname=name)


class HttpLink:
    """One connection to one server, opened when a call needs it and closed on any doubt."""

    def __init__(self, driver: EventLoop, tls: Tls | None, most_bytes: int) -> None:
        self.driver, self.tls, self.most_bytes = driver, tls, most_bytes
        self.address: Address | None = None
        self.sock: socket.socket | None = None
        self.pipe: TlsPipe | None = None
        self.buffer = bytearray(READ_BYTES)

    async def call(self, address: Address, call: Call) -> Answer:
        """Make a call and take its whole answer. Raises OSError (a time-out is one) and WireError."""
        try:
            if self.sock is None or address != self.address or self._spoke():
                self.close()
                await self._open(address)
            await self._send(call.encode(str(address)))
            answer, keep = await self._answer(call)
        except BaseException:
            # The rest of a broken answer would be read as the next one's beginning.
            self.close()
            raise
        if not keep:
            self.close()
        return answer

    def _spoke(self) -> bool:
        """Whether the server has said something, or closed, since its last answer: a call's time to look.

        TLS has messages of its own, such as tickets; only what comes out of them counts.
        """
        assert self.sock is not None
        try:
            data = self.sock.recv(READ_BYTES)
        except BlockingIOError:
            data = None
        except OSError:
            return True
        # An unrequested answer must not be taken for the answer to the next call.
        if self.pipe is None or data == b"":
            return data is not None
        self.pipe.incoming.write(data or b"")
        try:
            self.pipe.tls.read(1)
        except ssl.SSLWantReadError:
            return False
        except OSError:
            pass
        return True

    def close(self) -> None:
        """Close the connection, if there is one."""
        if self.sock is not None:
            self.sock.close()
        self.sock = self.pipe = None

    async def _open(self, address: Address) -> None:
        self.sock, self.address = await self.driver.connector.dial(address, CONNECT_S), address
        if self.tls is not None:
            self.pipe = pipe = TlsPipe(self.tls.context(), self.tls.server_name or address.host)
            async with asyncio.timeout(CONNECT_S):
                await self._run(pipe, pipe.tls.do_handshake)

    async def _run(self, pipe: TlsPipe, step: Callable[[], T]) -> T:
        """A step of TLS, with the bytes that it wants to send and to see."""
        while True:
            try:
                result = step()
            except ssl.SSLWantReadError:
                await self._flush(pipe)
                data = await self._read_raw()
                if data:
                    pipe.incoming.write(data)
                else:
                    pipe.incoming.write_eof()
            else:
                await self._flush(pipe)
                return result

    async def _flush(self, pipe: TlsPipe) -> None:
        if pipe.outgoing.pending:
            assert self.sock is not None
            await self.driver.loop.sock_sendall(self.sock, pipe.outgoing.read())

    async def _read_raw(self) -> bytes:
        assert self.sock is not None
        count = await self.driver.loop.sock_recv_into(self.sock, self.buffer)
        return bytes(memoryview(self.buffer)[:count])

    async def _send(self, data: bytes) -> None:
        assert self.sock is not None
        if self.pipe is None:
            await self.driver.loop.sock_sendall(self.sock, data)
        else:
            tls = self.pipe.tls
            await self._run(self.pipe, lambda: tls.write(data))

    async def _read(self) -> bytes:
        if self.pipe is None:
            return await self._read_raw()
        tls = self.pipe.tls
        return await self._run(self.pipe, lambda: tls.read(READ_BYTES))

    async def _answer(self, call: Call) -> tuple[Answer, bool]:
        exchange, loop = Exchange(self.most_bytes), self.driver.loop
        async with asyncio.timeout(call.first_ms / 1000) as limit:
            data = await self._read()
            # An answer that trickles in byte by byte must not delay the next one for good.
            limit.reschedule(loop.time() + call.rest_ms / 1000)
            while data:
                if (answer := exchange.receive(data)) is not None:
                    return answer, exchange.keep
                data = await self._read()
        raise WireError("the connection was closed in the middle of an answer")
