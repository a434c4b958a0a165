"""What an HTTP server may do wrong, byte by byte and on real sockets: counted, refused and survived."""

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
from cottonhold.discovery.model import Address, ConfiguredNames, Event, SourceLost, SourceReport
from cottonhold.message_validation import WireError
from cottonhold.node.consul_client import follow_service
from cottonhold.node.http_client import HttpConnection, TlsSettings
from cottonhold.observe.counters import Counters
from cottonhold.transport.event_loop import EventLoop

OK = "HTTP/1.1 200 OK\r\nX-Consul-Index: 7\r\n"
GOOD = f"{OK}Content-Length: 2\r\n\r\n[]".encode()
LEFT = f"{OK}Content-Length: 2\r\nConnection: close\r\n\r\n[]".encode()
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
        CONTINUE + GOOD,
        CONTINUE + HINTS + CONTINUE + GOOD,
        CHUNKS + b'1;name="a;b";more\r\n[\r\n1;x\r\n]\r\n0;last=1\r\nTrailer: t\r\n\r\n',
        CHUNKS + b"0001\r\n[\r\n1\r\n]\r\n000\r\n\r\n",
    ],
    ids=["100", "three interim", "chunk extensions", "lengths with zeros"],
)
def test_a_response_in_an_unusual_form_is_parsed_alike(wire: bytes, size: int) -> None:
    answer = receive(wire, size)
    assert answer is not None and (answer.status, answer.body) == (200, b"[]")
    assert answer.integer_header("x-consul-index") == 7 and "link" not in answer.headers


@pytest.mark.parametrize("size", [1, 7, 16 << 10])
@pytest.mark.parametrize(
    "wire, why",
    [
        (GOOD + GOOD, "more bytes than the answer has"),
        (GOOD + b"HTTP/1.1 500 No\r\nContent-Length: 9\r\n\r\nhalf", "more bytes"),
        (GOOD + b"x", "more bytes"),
        (OK.encode() + b"Content-Length: 1\r\n\r\n[]", "more bytes"),
        (OK.encode() + b"Content-Length: 2\r\nContent-Length: 3\r\n\r\n[]", "Duplicate Content-Length"),
        (OK.encode() + b"Content-Length: -2\r\n\r\n[]", "Content-Length"),
        (OK.encode() + b"Content-Length: 2\r\n" + CHUNKS[len(OK) :] + b"0\r\n\r\n", "Transfer-Encoding"),
        (CHUNKS + b"fffffffffffffffff\r\n[]", "overflow"),
        (CHUNKS + b"1\r\n[]\r\n", "can't be read"),
        (CHUNKS + b"x\r\n[]\r\n", "can't be read"),
        (b"HTTP/1.1 101 Switching\r\nUpgrade: h2c\r\nConnection: upgrade\r\n\r\n", "another protocol"),
        (OK.encode() + b"X: " + LONG, "no further"),
        (OK.encode() + LONG, "no further"),
        (b"HTTP/1.1 200 " + LONG, "no further"),
        (CHUNKS + b"1;" + LONG, "no further"),
        (CHUNKS + b"1\r\n[\r\n0\r\nX: " + LONG, "no further"),
        (CONTINUE * (MAX_HEADER_BYTES // len(CONTINUE) + 1), "no further"),
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
    with pytest.raises(WireError, match="behind the end"):
        receive(head + packed + b"x")


def test_a_long_body_does_not_count_as_an_endless_header() -> None:
    parts = [CHUNKS, *[b"1\r\nx\r\n"] * 20_000, b"0\r\n\r\n"]
    exchange = HttpResponseParser(20_000)
    last = [exchange.receive(part) for part in parts][-1]
    assert last is not None and len(last.body) == 20_000


HOLD = b""  # in a script: say nothing more and keep the connection
Scripts = list[list[bytes]]


class ScriptedServer:
    """A server that answers each call on each connection with the next bytes of that connection's script."""

    def __init__(self, scripts: Scripts) -> None:
        self.scripts, self.taken = scripts, 0

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        script = self.scripts[min(self.taken, len(self.scripts) - 1)]
        self.taken += 1
        try:
            for part in script:
                await reader.readuntil(b"\r\n\r\n")
                writer.write(part)
                await writer.drain()
                if part is HOLD:
                    await reader.read()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()


async def listen(server: ScriptedServer, context: ssl.SSLContext | None) -> asyncio.Server:
    # asyncio keeps a TLS connection that it closes for 30 s, in case the other end still talks
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
        [GOOD[:-1]],
        [OK.encode() + b"Content-Length: 3\r\n\r\n[]"],
        [CHUNKS + b"2\r\n[]\r\n"],
        [OK.encode() + b"\r\n[]"],  # no length at all: its end could not be told from a cut
        [b"HTTP/1.1 101 Switching\r\nUpgrade: h2c\r\nConnection: upgrade\r\n\r\n", HOLD],
        [OK.encode() + b"X: " + LONG, HOLD],
        [CONTINUE],
        [b"\0" * 10, HOLD],
        [GOOD + GOOD.replace(b"7", b"8"), HOLD],
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
        told: list[Event] = []
        work = asyncio.create_task(follow_service(driver, watch, None, told.extend, driver.counters))
        while not any(isinstance(event, SourceReport) for event in told) and not work.done():
            await asyncio.sleep(0.001)
        assert not work.done() and [type(event) for event in told][:2] == [SourceLost, SourceReport]
        assert driver.counters.counts["consul_failures"] == 1
        work.cancel()

    play(ScriptedServer([script, [GOOD, HOLD]]), scenario)


@pytest.mark.parametrize("secure", [False, True], ids=["plain", "tls"])
@pytest.mark.parametrize(
    "scripts, connections",
    [
        ([[GOOD, GOOD, GOOD]], 1),
        ([[LEFT], [GOOD, GOOD]], 2),
        ([[GOOD], [GOOD, GOOD]], 2),
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
        assert server.taken == connections
        link.close()

    server = ScriptedServer(scripts)
    tls, context = make_certificates(tmp_path) if secure else (None, None)
    play(server, scenario, context)


@pytest.mark.parametrize("secure", [False, True], ids=["plain", "tls"])
def test_a_response_that_precedes_its_request_is_not_used(secure: bool, tmp_path: Path) -> None:
    """Found by reading: a second answer that came late was read as the answer to the next call."""

    class Early(ScriptedServer):
        async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            self.taken += 1
            await reader.readuntil(b"\r\n\r\n")
            writer.write(GOOD)
            if self.taken == 1:
                await answered.wait()
                writer.write(GOOD.replace(b": 7", b": 8"))
            await reader.read()
            writer.close()

    answered, early = asyncio.Event(), Early([])

    async def scenario(driver: EventLoop, address: Address) -> None:
        link = HttpConnection(driver, tls, 1000)
        first = await link.request(address, CALL)
        answered.set()
        await asyncio.to_thread(select.select, [link.sock], [], [])
        second = await link.request(address, CALL)
        assert [a.integer_header("x-consul-index") for a in (first, second)] == [7, 7] and early.taken == 2
        link.close()

    tls, context = make_certificates(tmp_path) if secure else (None, None)
    play(early, scenario, context)


def make_certificates(folder: Path) -> tuple[TlsSettings, ssl.SSLContext]:
    authority, context = trustme.CA(), ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    authority.issue_cert("127.0.0.1").configure_cert(context)
    authority.cert_pem.write_to_path(str(folder / "ca.pem"))
    return TlsSettings(str(folder / "ca.pem")), context
