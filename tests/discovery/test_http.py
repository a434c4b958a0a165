"""Faulty HTTP servers, byte by byte and on real sockets: their responses are rejected and counted."""

from __future__ import annotations

import asyncio
import gzip
import select
import ssl
from collections.abc import Awaitable, Callable
from pathlib import Path

import pytest
import trustme

from cottonhold.discovery.consul.health_entry import EntryInterpretation
from cottonhold.discovery.consul.health_response import HealthResponseDecoder
from cottonhold.discovery.consul.http_exchange import (
    MAX_HEADER_BYTES,
    HttpRequest,
    HttpResponse,
    HttpResponseParser,
)
from cottonhold.discovery.consul.watch import ServiceWatch, WatchSettings
from cottonhold.discovery.model import Address, ConfiguredNames, Event, SourceReport, SourceUnavailable
from cottonhold.message_validation import WireError
from cottonhold.node.consul_client import follow_service
from cottonhold.node.http_client import HttpConnection, TlsSettings
from cottonhold.observe.counters import Counters
from cottonhold.transport.event_loop import EventLoop

OK = "HTTP/1.1 200 OK\r\nX-Consul-Index: 7\r\n"
COMPLETE_RESPONSE = f"{OK}Content-Length: 2\r\n\r\n[]".encode()
CLOSING_RESPONSE = f"{OK}Content-Length: 2\r\nConnection: close\r\n\r\n[]".encode()
CHUNKS = f"{OK}Transfer-Encoding: chunked\r\n\r\n".encode()
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
HINTS = b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
LONG = b"a" * (MAX_HEADER_BYTES * 2)
CALL = HttpRequest("GET", "/", first_byte_timeout_ms=60_000, body_timeout_ms=60_000)


def receive(wire: bytes, size: int = 1 << 20) -> HttpResponse | None:
    exchange, answer = HttpResponseParser(1000), None
    for at in range(0, len(wire), size):
        answer = exchange.receive(wire[at : at + size])
    return answer


@pytest.mark.parametrize("size", [1, 7, 16 << 10])
@pytest.mark.parametrize(
    "wire",
    [
        CONTINUE + COMPLETE_RESPONSE,
        CONTINUE + HINTS + CONTINUE + COMPLETE_RESPONSE,
        CHUNKS + b'1;name="a;b";more\r\n[\r\n1;x\r\n]\r\n0;last=1\r\nTrailer: t\r\n\r\n',
        CHUNKS + b"0001\r\n[\r\n1\r\n]\r\n000\r\n\r\n",
    ],
    ids=["100", "three interim", "chunk extensions", "lengths with zeros"],
)
def test_a_response_in_an_unusual_form_is_parsed_correctly(wire: bytes, size: int) -> None:
    answer = receive(wire, size)
    assert answer is not None and (answer.status, answer.body) == (200, b"[]")
    assert answer.integer_header("x-consul-index") == 7 and "link" not in answer.headers


@pytest.mark.parametrize("size", [1, 7, 16 << 10])
@pytest.mark.parametrize(
    "wire, why",
    [
        (COMPLETE_RESPONSE + COMPLETE_RESPONSE, "more bytes than the answer has"),
        (COMPLETE_RESPONSE + b"HTTP/1.1 500 No\r\nContent-Length: 9\r\n\r\nhalf", "more bytes"),
        (COMPLETE_RESPONSE + b"x", "more bytes"),
        (OK.encode() + b"Content-Length: 1\r\n\r\n[]", "more bytes"),
        (OK.encode() + b"Content-Length: 2\r\nContent-Length: 3\r\n\r\n[]", "Duplicate Content-Length"),
        (OK.encode() + b"Content-Length: -2\r\n\r\n[]", "Content-Length"),
        (OK.encode() + b"Content-Length: 2\r\n" + CHUNKS[len(OK) :] + b"0\r\n\r\n", "Transfer-Encoding"),
        (CHUNKS + b"fffffffffffffffff\r\n[]", "overflow"),
        (CHUNKS + b"1\r\n[]\r\n", "can't be read"),
        (CHUNKS + b"x\r\n[]\r\n", "can't be read"),
        (b"HTTP/1.1 101 Switching\r\nUpgrade: h2c\r\nConnection: upgrade\r\n\r\n", "another protocol"),
        (OK.encode() + b"X: " + LONG, "bytes received without body data"),
        (OK.encode() + LONG, "bytes received without body data"),
        (b"HTTP/1.1 200 " + LONG, "bytes received without body data"),
        (CHUNKS + b"1;" + LONG, "bytes received without body data"),
        (CHUNKS + b"1\r\n[\r\n0\r\nX: " + LONG, "bytes received without body data"),
        (CONTINUE * (MAX_HEADER_BYTES // len(CONTINUE) + 1), "bytes received without body data"),
    ],
    ids=[
        "two answers",
        "one and a half",
        "one and a byte",
        "short length",
        "two lengths",
        "negative",
        "length and chunks",
        "chunk overflow",
        "chunk too long",
        "no chunk length",
        "101",
        "endless header",
        "endless name",
        "endless reason",
        "endless extension",
        "endless trailer",
        "endless 100",
    ],
)
def test_a_false_or_endless_response_is_refused(wire: bytes, why: str, size: int) -> None:
    with pytest.raises(WireError, match=why):
        receive(wire, size)


def test_bytes_after_a_compressed_body_are_not_retained() -> None:
    packed = gzip.compress(b"[]")
    head = f"{OK}Content-Encoding: gzip\r\nContent-Length: {len(packed) + 1}\r\n\r\n".encode()
    with pytest.raises(WireError, match="after the end"):
        receive(head + packed + b"x")


def test_a_long_body_does_not_count_as_an_endless_header() -> None:
    parts = [CHUNKS, *[b"1\r\nx\r\n"] * 20_000, b"0\r\n\r\n"]
    exchange = HttpResponseParser(20_000)
    last = [exchange.receive(part) for part in parts][-1]
    assert last is not None and len(last.body) == 20_000


STAY_SILENT = b""  # in a script: send nothing more and keep the connection open
Scripts = list[list[bytes]]


class ScriptedServer:
    """A server that answers each request with the next part of the connection's script."""

    def __init__(self, scripts: Scripts) -> None:
        self.scripts, self.connection_count = scripts, 0

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        script = self.scripts[min(self.connection_count, len(self.scripts) - 1)]
        self.connection_count += 1
        try:
            for part in script:
                await reader.readuntil(b"\r\n\r\n")
                writer.write(part)
                await writer.drain()
                if part is STAY_SILENT:
                    await reader.read()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()


async def listen(server: ScriptedServer, context: ssl.SSLContext | None) -> asyncio.Server:
    # By default asyncio waits up to 30 s for the peer when it closes a TLS connection.
    wait = None if context is None else 0.01
    return await asyncio.start_server(server.serve, "127.0.0.1", 0, ssl=context, ssl_shutdown_timeout=wait)


def play(
    server: ScriptedServer,
    scenario: Callable[[EventLoop, Address], Awaitable[None]],
    context: ssl.SSLContext | None = None,
) -> None:
    async def run() -> None:
        listening = await listen(server, context)
        driver = EventLoop(asyncio.get_running_loop(), Counters(), lambda text: None)
        try:
            async with asyncio.timeout(60):
                await scenario(driver, Address(*listening.sockets[0].getsockname()))
        finally:
            listening.close()

    asyncio.run(run())


@pytest.mark.parametrize(
    "script",
    [
        [COMPLETE_RESPONSE[:-1]],
        [OK.encode() + b"Content-Length: 3\r\n\r\n[]"],
        [CHUNKS + b"2\r\n[]\r\n"],
        [OK.encode() + b"\r\n[]"],  # without a length, the end looks like a broken connection
        [b"HTTP/1.1 101 Switching\r\nUpgrade: h2c\r\nConnection: upgrade\r\n\r\n", STAY_SILENT],
        [OK.encode() + b"X: " + LONG, STAY_SILENT],
        [CONTINUE],
        [b"\0" * 10, STAY_SILENT],
        [COMPLETE_RESPONSE + COMPLETE_RESPONSE.replace(b"7", b"8"), STAY_SILENT],
    ],
    ids=["short body", "long length", "no last chunk", "no length", "101", "endless", "100", "junk", "two"],
)
def test_a_watch_counts_an_invalid_response_and_continues(script: list[bytes]) -> None:
    async def scenario(driver: EventLoop, address: Address) -> None:
        names = ConfiguredNames(("z",), ("std",))
        settings = WatchSettings(
            "dc",
            (address,),
            "engine",
            first_byte_timeout_ms=60_000.0,
            body_timeout_ms=60_000.0,
            min_backoff_ms=1.0,
        )
        watch = ServiceWatch(
            settings, HealthResponseDecoder(names, EntryInterpretation(), lambda why: None), 1
        )
        events: list[Event] = []
        work = asyncio.create_task(follow_service(driver, watch, None, events.extend, driver.counters))
        while not any(isinstance(event, SourceReport) for event in events) and not work.done():
            await asyncio.sleep(0.001)
        assert not work.done() and [type(event) for event in events][:2] == [SourceUnavailable, SourceReport]
        assert driver.counters.counts["consul_failures"] == 1
        work.cancel()

    play(ScriptedServer([script, [COMPLETE_RESPONSE, STAY_SILENT]]), scenario)


@pytest.mark.parametrize("secure", [False, True], ids=["plain", "tls"])
@pytest.mark.parametrize(
    "scripts, connections",
    [
        ([[COMPLETE_RESPONSE, COMPLETE_RESPONSE, COMPLETE_RESPONSE]], 1),
        ([[CLOSING_RESPONSE], [COMPLETE_RESPONSE, COMPLETE_RESPONSE]], 2),
        ([[COMPLETE_RESPONSE], [COMPLETE_RESPONSE, COMPLETE_RESPONSE]], 2),
    ],
    ids=["kept", "said to close", "closed between calls"],
)
def test_requests_share_a_connection_until_the_server_closes_it(
    scripts: Scripts, connections: int, secure: bool, tmp_path: Path
) -> None:
    async def scenario(driver: EventLoop, address: Address) -> None:
        link = HttpConnection(driver, tls, 1000)
        for call in range(3):
            assert (await link.request(address, CALL)).body == b"[]"
            if call == 0 and connections == 2 and link.sock is not None:
                await asyncio.to_thread(select.select, [link.sock], [], [])
        assert server.connection_count == connections
        link.close()

    server = ScriptedServer(scripts)
    tls, context = make_certificates(tmp_path) if secure else (None, None)
    play(server, scenario, context)


@pytest.mark.parametrize("secure", [False, True], ids=["plain", "tls"])
def test_a_response_that_precedes_its_request_is_not_used(secure: bool, tmp_path: Path) -> None:
    """Guards against a late second response that is read as the response to the next request."""

    class Early(ScriptedServer):
        async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            self.connection_count += 1
            await reader.readuntil(b"\r\n\r\n")
            writer.write(COMPLETE_RESPONSE)
            if self.connection_count == 1:
                await answered.wait()
                writer.write(COMPLETE_RESPONSE.replace(b": 7", b": 8"))
            await reader.read()
            writer.close()

    answered, server = asyncio.Event(), Early([])

    async def scenario(driver: EventLoop, address: Address) -> None:
        link = HttpConnection(driver, tls, 1000)
        first = await link.request(address, CALL)
        answered.set()
        await asyncio.to_thread(select.select, [link.sock], [], [])
        second = await link.request(address, CALL)
        assert [a.integer_header("x-consul-index") for a in (first, second)] == [
            7,
            7,
        ] and server.connection_count == 2
        link.close()

    tls, context = make_certificates(tmp_path) if secure else (None, None)
    play(server, scenario, context)


def make_certificates(folder: Path) -> tuple[TlsSettings, ssl.SSLContext]:
    authority, context = trustme.CA(), ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    authority.issue_cert("127.0.0.1").configure_cert(context)
    authority.cert_pem.write_to_path(str(folder / "ca.pem"))
    return TlsSettings(str(folder / "ca.pem")), context
