"""An HTTP/1.1 client, plain or with TLS, on the event loop's sockets.

TLS is processed in memory buffers, since asyncio's socket calls don't support it.
"""

from __future__ import annotations

import asyncio
import socket
import ssl
from collections.abc import Callable
from dataclasses import dataclass
from typing import TypeVar

from cottonhold.discovery.consul.http_exchange import HttpRequest, HttpResponse, HttpResponseParser
from cottonhold.discovery.model import Address
from cottonhold.message_validation import WireError
from cottonhold.transport.event_loop import EventLoop

CONNECT_TIMEOUT_S = 1.0
MAX_READ_BYTES = 64 << 10
T = TypeVar("T")


@dataclass(slots=True, frozen=True)
class TlsSettings:
    """The trusted certificate authorities, the client's certificate, and the expected server name."""

    ca_file: str = ""  # empty: the system's authorities
    cert_file: str = ""  # empty: no client certificate
    key_file: str = ""  # empty: the key is in `cert_file`
    server_name: str = ""  # empty: the host of the server's address

    def context(self) -> ssl.SSLContext:
        """Return an SSL context with these settings.

        Raises:
            OSError: A file can't be used (ssl.SSLError is an OSError).
        """
        context = ssl.create_default_context(cafile=self.ca_file or None)
        context.minimum_version = ssl.TLSVersion.TLSv1_2
        if self.cert_file:
            context.load_cert_chain(self.cert_file, self.key_file or None)
        return context


class TlsSession:
    """A TLS session on two buffers: received bytes go to `incoming`; `outgoing` has the bytes to send."""

    def __init__(self, context: ssl.SSLContext, server_name: str) -> None:
        self.incoming, self.outgoing = ssl.MemoryBIO(), ssl.MemoryBIO()
        self.tls = context.wrap_bio(self.incoming, self.outgoing, server_hostname=server_name)


class HttpConnection:
    """One connection to one server, opened when a request needs it and closed after any error."""

    def __init__(self, event_loop: EventLoop, tls: TlsSettings | None, max_body_bytes: int) -> None:
        self.event_loop, self.tls, self.max_body_bytes = event_loop, tls, max_body_bytes
        self.address: Address | None = None
        self.sock: socket.socket | None = None
        self.tls_session: TlsSession | None = None
        self.buffer = bytearray(MAX_READ_BYTES)

    async def request(self, address: Address, request: HttpRequest) -> HttpResponse:
        """Send a request and receive its response.

        Raises:
            OSError: The connection failed or timed out.
            WireError: The response is malformed or incomplete.
        """
        try:
            if self.sock is None or address != self.address or self._has_unexpected_data():
                self.close()
                await self._open(address)
            await self._send(request.encode(str(address)))
            response, is_reusable = await self._read_response(request)
        except BaseException:
            # The rest of an incomplete response would be read as the beginning of the next one.
            self.close()
            raise
        if not is_reusable:
            self.close()
        return response

    def _has_unexpected_data(self) -> bool:
        """Return whether the server has sent data since its last response, or closed the connection.

        On a TLS connection only decrypted data is considered, not messages of TLS itself such as tickets.
        """
        assert self.sock is not None
        try:
            data = self.sock.recv(MAX_READ_BYTES)
        except BlockingIOError:
            data = None
        except OSError:
            return True
        # An unrequested response must not be taken for the response to the next request.
        if self.tls_session is None or data == b"":
            return data is not None
        self.tls_session.incoming.write(data or b"")
        try:
            self.tls_session.tls.read(1)
        except ssl.SSLWantReadError:
            return False
        except OSError:
            pass
        return True

    def close(self) -> None:
        """Close the connection, if there is one."""
        if self.sock is not None:
            self.sock.close()
        self.sock = self.tls_session = None

    async def _open(self, address: Address) -> None:
        self.sock, self.address = await self.event_loop.connector.dial(address, CONNECT_TIMEOUT_S), address
        if self.tls is not None:
            self.tls_session = session = TlsSession(self.tls.context(), self.tls.server_name or address.host)
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await self._run_tls_step(session, session.tls.do_handshake)

    async def _run_tls_step(self, session: TlsSession, step: Callable[[], T]) -> T:
        """Run a TLS operation, with the sends and receives that it needs."""
        while True:
            try:
                result = step()
            except ssl.SSLWantReadError:
                await self._flush(session)
                data = await self._read_raw()
                if data:
                    session.incoming.write(data)
                else:
                    session.incoming.write_eof()
            else:
                await self._flush(session)
                return result

    async def _flush(self, session: TlsSession) -> None:
        if session.outgoing.pending:
            assert self.sock is not None
            await self.event_loop.loop.sock_sendall(self.sock, session.outgoing.read())

    async def _read_raw(self) -> bytes:
        assert self.sock is not None
        count = await self.event_loop.loop.sock_recv_into(self.sock, self.buffer)
        return bytes(memoryview(self.buffer)[:count])

    async def _send(self, data: bytes) -> None:
        assert self.sock is not None
        if self.tls_session is None:
            await self.event_loop.loop.sock_sendall(self.sock, data)
        else:
            tls = self.tls_session.tls
            await self._run_tls_step(self.tls_session, lambda: tls.write(data))

    async def _read(self) -> bytes:
        if self.tls_session is None:
            return await self._read_raw()
        tls = self.tls_session.tls
        return await self._run_tls_step(self.tls_session, lambda: tls.read(MAX_READ_BYTES))

    async def _read_response(self, request: HttpRequest) -> tuple[HttpResponse, bool]:
        """Return the response, and whether the connection stays open after it."""
        parser, loop = HttpResponseParser(self.max_body_bytes), self.event_loop.loop
        async with asyncio.timeout(request.first_byte_timeout_ms / 1000) as timeout:
            data = await self._read()
            # A response that arrives byte by byte must not block the connection indefinitely.
            timeout.reschedule(loop.time() + request.body_timeout_ms / 1000)
            while data:
                if (response := parser.receive(data)) is not None:
                    return response, parser.is_connection_reusable
                data = await self._read()
        raise WireError("the connection was closed in the middle of an answer")
