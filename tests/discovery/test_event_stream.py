"""The event stream client on loopback sockets, with servers that disconnect, stay silent, drip or repeat."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Awaitable, Callable
from contextlib import suppress
from typing import Any

import orjson
import pytest

from cottonhold.discovery import event_stream as watch
from cottonhold.discovery.event_stream import (
    FIRST_BYTE_TIMEOUT_MS,
    FIRST_POLL_MS,
    LONG_POLL_MS,
    MAX_POLLS,
    EventStream,
    PollConnection,
)
from cottonhold.discovery.model import Address, ConfiguredNames, SourceReport
from cottonhold.observe.counters import Counters
from cottonhold.transport import event_stream_client as client_module
from cottonhold.transport.event_loop import EventLoop
from cottonhold.transport.event_stream_client import INITIAL_BACKOFF_MS, EventStreamClient

# Time in which a change must be received after a broken link, a reload of the address and a stopped server.
MAX_DELAY_AFTER_BREAK_MS, MAX_DELAY_AFTER_RELOAD_MS, MAX_DELAY_AFTER_STOP_MS = 2000.0, 4000.0, 2000.0
MAX_DELAY_MS = 7000.0  # time after which a change counts as received in any case
LIMIT_MS = 300.0  # the first-byte timeout in the test of an answer that takes longer
SHORT_MS = 40.0  # replaces the time limits of polls in tests that have to wait for their expiry


def batch(offset: int, *events: tuple[int, str]) -> bytes:
    """Return the body of an answer. events: the sequence number and the state of the one engine."""
    reports = [
        {"offset": number, "topology": {"instances": [{"instanceId": "e", "lifecycle": state}]}}
        for number, state in events
    ]
    return orjson.dumps({"offset": offset, "batch": reports})


def answer(offset: int, *events: tuple[int, str], head: str = "Content-Length: {}") -> bytes:
    body = batch(offset, *events)
    return f"HTTP/1.1 200 OK\r\n{head.format(len(body))}\r\n\r\n".encode() + body


Play = Callable[["ServerConnection"], Awaitable[None]]


class ServerConnection:
    """One connection that the server accepted, with the last request on it."""

    def __init__(self, loop: asyncio.AbstractEventLoop, sock: socket.socket, text: bytes) -> None:
        self.loop, self.sock, self.text = loop, sock, text

    async def send(self, data: bytes) -> None:
        await self.loop.sock_sendall(self.sock, data)

    async def next(self) -> bytes:
        """Return the next request on this connection; empty if the dispatcher closed it."""
        self.text = await self.loop.sock_recv(self.sock, 1000)
        return self.text


class StreamHarness:
    """A client of a server that runs one script for each connection, in the order of the connections."""

    def __init__(self, offset: int = 3) -> None:
        self.loop = asyncio.get_running_loop()
        self.reports: list[SourceReport] = []
        self.counters = Counters()
        self.bus = EventStream(
            "h", offset, ConfiguredNames(("z",), ("m",)), self.counters, self.reports.append
        )
        self.driver = EventLoop(self.loop, self.counters, lambda text: None)
        self.calls: list[bytes] = []
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.listener.setblocking(False)

    async def play(self, *scripts: Play) -> None:
        """Follow the server until all scripts have ended; connections may be open at the same time."""
        host, port = self.listener.getsockname()
        self.driver.event_stream.follow(self.bus, Address(host, port))
        sockets, running = [], []
        for script in scripts:
            sock, _ = await self.loop.sock_accept(self.listener)
            sockets.append(sock)
            call = ServerConnection(self.loop, sock, await self.loop.sock_recv(sock, 1000))
            self.calls.append(call.text)
            running.append(asyncio.ensure_future(script(call)))
        await asyncio.gather(*running)
        await self.stop()
        for sock in sockets:
            sock.close()
        self.listener.close()

    async def stop(self) -> None:
        self.driver.event_stream.stop()
        await asyncio.gather(*self.driver.tasks, return_exceptions=True)

    def states(self) -> list[str]:
        return [o.reason for report in self.reports for o in report.observations]


def run(scenario: Callable[[], Awaitable[Any]]) -> Any:
    async def limited() -> Any:
        return await asyncio.wait_for(scenario(), 30)

    return asyncio.run(limited())


async def send_nothing(call: ServerConnection) -> None:
    """Send nothing until the dispatcher closes the connection."""
    assert await call.next() == b""


def respond_with(*parts: bytes, close: bool = False) -> Play:
    """Return a script that sends these parts one by one, and then closes or waits for the next request."""

    async def script(call: ServerConnection) -> None:
        for part in parts:
            await call.send(part)
            await asyncio.sleep(0)
        if close:
            call.sock.close()
        else:
            assert await call.next()

    return script


@pytest.fixture
def shorten_waits(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(watch, "LONG_POLL_MS", 2 * SHORT_MS)
    monkeypatch.setattr(watch, "FIRST_POLL_MS", SHORT_MS)
    monkeypatch.setattr(watch, "FIRST_BYTE_TIMEOUT_MS", SHORT_MS)
    monkeypatch.setattr(client_module, "FIRST_BYTE_TIMEOUT_MS", SHORT_MS)


def holds_of(calls: list[bytes]) -> list[int]:
    """Return the waits that polls asked for."""
    return [int(call.split(b"hold=")[1].split(b".")[0].split(b" ")[0]) for call in calls]


def test_a_dead_connection_is_abandoned_within_the_time_of_a_poll() -> None:
    """After a break or a change of the server, the first new connection may be silent."""
    pause = INITIAL_BACKOFF_MS
    assert (
        pause + FIRST_POLL_MS + FIRST_BYTE_TIMEOUT_MS + 2 * pause
        < MAX_DELAY_AFTER_BREAK_MS
        < MAX_DELAY_AFTER_RELOAD_MS
    )
    assert LONG_POLL_MS + FIRST_BYTE_TIMEOUT_MS + pause < LONG_POLL_MS + MAX_DELAY_AFTER_STOP_MS


@pytest.mark.usefixtures("shorten_waits")
def test_another_connection_is_polled_when_a_poll_is_silent_and_every_second_one_is_long() -> None:
    """The silent connections are closed with the first answer."""

    async def scenario() -> StreamHarness:
        harness = StreamHarness()
        await harness.play(
            send_nothing, send_nothing, send_nothing, respond_with(answer(4, (4, "Terminating")))
        )
        return harness

    harness = run(scenario)
    assert holds_of(harness.calls) == [SHORT_MS, 2 * SHORT_MS, SHORT_MS, 2 * SHORT_MS]
    assert harness.states() == ["Terminating"] and harness.counters.counts["bus_polls_overdue"] == 3


def test_the_number_of_polls_at_the_same_time_is_limited_and_the_oldest_is_closed(
    monkeypatch: pytest.MonkeyPatch, shorten_waits: None
) -> None:
    closed: list[int] = []

    async def scenario() -> StreamHarness:
        harness = StreamHarness()

        def silent(number: int) -> Play:
            async def script(call: ServerConnection) -> None:
                await send_nothing(call)
                closed.append(number)

            return script

        async def answer_once_the_oldest_is_closed(call: ServerConnection) -> None:
            while not closed:
                await asyncio.sleep(0)
            assert closed == [0]
            await call.send(answer(4, (4, "Gone")))
            assert await call.next()

        await harness.play(*map(silent, range(MAX_POLLS)), answer_once_the_oldest_is_closed)
        return harness

    assert run(scenario).states() == ["Gone"] and sorted(closed) == list(range(MAX_POLLS))


def test_the_oldest_poll_has_waited_longer_than_a_change_may_take_to_arrive() -> None:
    """Guards against a slow source whose answers are all given up: each must be awaited for 7 s."""
    intervals_ms = [FIRST_POLL_MS + FIRST_BYTE_TIMEOUT_MS, LONG_POLL_MS + FIRST_BYTE_TIMEOUT_MS]
    shortest_ms = sum((intervals_ms * MAX_POLLS)[:MAX_POLLS])
    assert shortest_ms > MAX_DELAY_MS


@pytest.mark.usefixtures("shorten_waits")
@pytest.mark.parametrize("delay", [2.5, 4.0, 6.0])
def test_a_drain_is_received_from_a_source_that_is_slower_than_each_poll(delay: float) -> None:
    """Guards against a drain that stays unknown while every call waits longer than it is awaited.

    A poll used to be given up after its wait and 1 s, and the next one waited at the source anew.
    """

    async def answer_late(call: ServerConnection) -> None:
        await asyncio.sleep(delay * SHORT_MS / 1000)
        await call.send(answer(4, (4, "Terminating")))
        await call.next()

    async def scenario() -> StreamHarness:
        harness = StreamHarness()
        await harness.play(*[answer_late] * 2)
        return harness

    harness = run(scenario)
    assert harness.states() == ["Terminating"] and harness.counters.counts["bus_broken"] == 0


@pytest.mark.usefixtures("shorten_waits")
def test_a_broken_older_poll_does_not_disturb_the_newest() -> None:
    async def scenario() -> StreamHarness:
        harness = StreamHarness()
        is_broken = asyncio.Event()

        async def break_off_later(call: ServerConnection) -> None:
            while len(harness.calls) < 2:
                await asyncio.sleep(0)
            call.sock.close()
            is_broken.set()

        async def answer_then(call: ServerConnection) -> None:
            await is_broken.wait()
            while not harness.counters.counts["bus_broken"]:
                await asyncio.sleep(0)
            await call.send(answer(4, (4, "Gone")))
            assert await call.next()

        await harness.play(break_off_later, answer_then)
        return harness

    harness = run(scenario)
    assert harness.states() == ["Gone"] and len(harness.calls) == 2


GONE_BODY = batch(5, (5, "Gone"))
CHUNKS = [b"%x\r\n%b\r\n" % (len(part), part) for part in (GONE_BODY[:9], GONE_BODY[9:])]
FORMS = {
    "byte by byte": ([bytes([byte]) for byte in answer(5, (5, "Gone"))], False),
    "until the end": ([answer(5, (5, "Gone"), head="X: {}")], True),
    "once": ([answer(5, (5, "Gone"), head="Connection: close\r\nContent-Length: {}")], True),
    "after another": ([b"HTTP/1.1 103 Early Hints\r\n\r\n", answer(5, (5, "Gone"))], False),
    "in chunks": ([b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", *CHUNKS, b"0\r\n\r\n"], False),
}


@pytest.mark.parametrize("parts, close", FORMS.values(), ids=FORMS)
def test_a_response_in_any_form_is_applied_at_its_end(parts: list[bytes], close: bool) -> None:
    async def scenario() -> StreamHarness:
        harness = StreamHarness()
        await harness.play(respond_with(*parts, close=close), respond_with(answer(6, (6, "Ready"))))
        return harness

    async def scenario_without_close() -> StreamHarness:
        harness = StreamHarness()
        await harness.play(respond_with(*parts))
        return harness

    harness = run(scenario if close else scenario_without_close)
    assert harness.states()[0] == "Gone" and harness.counters.counts["bus_broken"] == 0
    assert all(b"from=5&" in call for call in harness.calls[1:])


@pytest.mark.usefixtures("shorten_waits")
@pytest.mark.parametrize(
    "script",
    [
        pytest.param(respond_with(answer(4, (4, "Gone"))[:-9], close=True), id="broken off"),
        pytest.param(respond_with(answer(4, (4, "Gone"), head="X: {}")[:-9], close=True), id="no length"),
        pytest.param(
            respond_with(b"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n", close=True), id="an error"
        ),
        pytest.param(respond_with(close=True), id="nothing"),
    ],
)
def test_a_partial_response_changes_nothing_and_is_requested_again(script: Play) -> None:
    async def scenario() -> StreamHarness:
        harness = StreamHarness()
        await harness.play(script, script, respond_with(answer(4, (4, "Gone"))))
        return harness

    harness = run(scenario)
    assert harness.states() == ["Gone"] and all(b"from=3&" in call for call in harness.calls)


def test_a_slow_response_is_awaited_as_long_as_bytes_arrive(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The answer takes longer than the poll's timeout, but no pause in it reaches the limit for pauses."""
    monkeypatch.setattr(PollConnection, "first_byte_timeout_ms", lambda self: LIMIT_MS)
    data = answer(4, (4, "Gone"))

    async def drip(call: ServerConnection) -> None:
        for at in range(0, len(data), len(data) // 5):
            await call.send(data[at : at + len(data) // 5])
            await asyncio.sleep(LIMIT_MS / 3000)
        assert b"from=4&" in await call.next()

    async def scenario() -> StreamHarness:
        harness = StreamHarness()
        await harness.play(drip)
        return harness

    assert run(scenario).states() == ["Gone"]


def test_a_source_that_answers_polls_at_once_is_polled_with_backoff(monkeypatch: pytest.MonkeyPatch) -> None:
    pauses: list[float] = []
    real = EventStreamClient._back_off

    def recorded_back_off(self: EventStreamClient) -> float:
        pauses.append(self.backoff_ms)
        assert self.backoff_ms / 2 <= real(self) <= pauses[-1]
        return 0.0

    async def empty(call: ServerConnection) -> None:
        for _ in range(6):
            await call.send(answer(3))
            if len(pauses) >= 6:
                break
            assert await call.next()
        call.sock.close()

    async def scenario() -> StreamHarness:
        harness = StreamHarness()
        monkeypatch.setattr(EventStreamClient, "_back_off", recorded_back_off)
        await harness.play(empty, respond_with(answer(4, (4, "Gone"))))
        return harness

    assert run(scenario).states() == ["Gone"]
    assert pauses[:6] == [50, 100, 200, 400, 800, 1000]


@pytest.mark.parametrize(
    "events, states",
    [
        ([(2, "Ready"), (3, "Ready"), (4, "Terminating")], ["Terminating"]),
        ([(5, "Terminating"), (4, "Ready")], ["Ready", "Terminating"]),
        ([(4, "Ready"), (5, "Gone"), (6, "Ready")], ["Ready", "Gone", "Ready"]),
    ],
    ids=["sent again", "out of order", "one after the other"],
)
def test_events_count_once_and_in_the_order_of_their_sequence_numbers(
    events: list[tuple[int, str]], states: list[str]
) -> None:
    reports: list[SourceReport] = []
    stream = EventStream("h", 3, ConfiguredNames(("z",), ("m",)), Counters(), reports.append)
    bus = PollConnection(stream)
    bus.request()
    assert bus.receive(answer(max(number for number, _ in events), *events))
    assert [o.reason for report in reports for o in report.observations] == states


def test_a_client_that_is_moved_applies_nothing_more_of_the_old_source() -> None:
    """The address changes twice, before the first new server is reached; the old server answers late."""

    async def scenario() -> tuple[StreamHarness, bytes]:
        harness, sockets = StreamHarness(), list[socket.socket]()
        buses = [harness.listener, *(socket.create_server(("127.0.0.1", 0)) for _ in range(2))]
        for listener in buses:
            listener.setblocking(False)
            harness.driver.event_stream.follow(harness.bus, Address(*listener.getsockname()))
            if listener is not buses[1]:
                sockets.append((await harness.loop.sock_accept(listener))[0])
                harness.calls.append(await harness.loop.sock_recv(sockets[-1], 1000))
            if listener is buses[0]:
                await harness.loop.sock_sendall(sockets[0], answer(5, (5, "Gone")))
                harness.calls.append(await harness.loop.sock_recv(sockets[0], 1000))
        with suppress(OSError):
            await harness.loop.sock_sendall(sockets[0], answer(6, (6, "Ready")))
        await harness.loop.sock_sendall(sockets[1], answer(7, (6, "Terminating"), (7, "Gone")))
        last = await harness.loop.sock_recv(sockets[1], 1000)
        await harness.stop()
        for sock in (*sockets, *buses):
            sock.close()
        return harness, last

    harness, last = run(scenario)
    assert harness.states() == ["Gone", "Terminating", "Gone"]
    assert [b"from=%d&" % n in call for n, call in zip((3, 5, 5), harness.calls, strict=True)] == [True] * 3
    assert b"from=7&" in last


def test_reloads_with_the_same_address_end_no_poll() -> None:
    """Guards against a slow source whose answers are never read, since each reload polls it anew."""

    async def scenario() -> StreamHarness:
        harness = StreamHarness()
        listener, event_stream = harness.listener, harness.driver.event_stream
        address = Address(*listener.getsockname())
        event_stream.follow(harness.bus, address)
        first, _ = await harness.loop.sock_accept(listener)
        harness.calls.append(await harness.loop.sock_recv(first, 1000))
        for _ in range(5):
            event_stream.follow(harness.bus, address)
            for _ in range(20):
                await asyncio.sleep(0)
        with pytest.raises(BlockingIOError):  # nothing else is polled
            listener.accept()
        await harness.loop.sock_sendall(first, answer(4, (4, "Terminating")))
        assert b"from=4&" in await harness.loop.sock_recv(first, 1000)
        await harness.stop()
        first.close()
        listener.close()
        return harness

    harness = run(scenario)
    assert harness.states() == ["Terminating"] and harness.counters.counts["bus_broken"] == 0


def test_a_new_address_that_refuses_is_retried_until_it_answers() -> None:
    async def scenario() -> StreamHarness:
        harness = StreamHarness()
        address = harness.listener.getsockname()
        harness.listener.close()
        harness.driver.event_stream.follow(harness.bus, Address(*address))
        while harness.counters.counts["bus_broken"] < 3:
            await asyncio.sleep(0.005)
        with socket.create_server(address) as listener:
            listener.setblocking(False)
            sock, _ = await harness.loop.sock_accept(listener)
            harness.calls.append(await harness.loop.sock_recv(sock, 1000))
            await harness.loop.sock_sendall(sock, answer(4, (4, "Gone")))
            assert await harness.loop.sock_recv(sock, 1000)
            await harness.stop()
            sock.close()
        return harness

    assert run(scenario).states() == ["Gone"]
