"""The admin API, the lifecycle, and the effects of a drain on clients."""

from __future__ import annotations

import asyncio
import socket

import pytest

from cottonhold.config.relay import decode_config
from cottonhold.discovery.model import Address
from cottonhold.message_validation import WireError
from cottonhold.node.admin_api import (
    CALL_TIMEOUT_MS,
    MAX_BODY_BYTES,
    MAX_HEAD_BYTES,
    AdminApi,
    AdminConnection,
)
from cottonhold.node.lifecycle import (
    DRAIN_ACCEPT_QUERIES_MS,
    DRAIN_IDLE_CLOSE_MS,
    SHUTDOWN_ACCEPT_CLIENTS_MS,
    SHUTDOWN_ACCEPT_LONG_MS,
    SHUTDOWN_IDLE_CLOSE_MS,
    Lifecycle,
    Phase,
)
from cottonhold.observe.counters import Counters
from cottonhold.transport.event_loop import EventLoop
from tests.support.scenario import FakeStream, World
from tests.test_simulator_adapter import PARAMS

DRAIN = {
    "a ping fails at once, and its connection is closed after the response": """
        c1 send 010000000e
        c1 expect ok
        ops drain
        c1 send 010000000e
        c1 expect error 1053 *drained
        c1 closing
    """,
    "a late query is served, and its connection closed after the response": """
        ops drain
        time wait 300
        c1 query lookup r1
        e1 expect GET r1 *
        e1 send r1 served count=1 a|b|c/
        c1 expect rows a|b|c
        c1 closing
    """,
    "a client that is never idle gets its response and is closed": """
        c1 query load r1 allow=20000
        e1 expect GET r1 *
        ops drain
        time wait 1000
        e1 send r1 served count=1 a|b|c/
        c1 expect rows a|b|c
        c1 closing
        c2 query lookup r2
        any expect GET r2 *
    """,
    "a query too late in a drain is rejected at once and never sent": """
        ops drain
        time wait 1500
        c1 query lookup r1
        c1 expect error 1226 *did not run*
        c1 closing
        e1 expect nothing
    """,
    "idle connections are closed, busy ones after their response": """
        c1 send 010000000e
        c1 expect ok
        c2 query load r1 allow=20000
        e1 expect GET r1 *
        ops drain
        time wait 800
        c1 closing
        time wait 1000
        e1 send r1 served count=1 a|b|c/
        c2 expect rows a|b|c
        c2 closing
    """,
    "a partly received request is waited for": """
        ops drain
        c1 send 050000000e
        time wait 900
        c1 send 00000000
        c1 expect error 1053 *
    """,
    "a process shutting down accepts no late long query, and closes after each response": """
        c1 query load r1 allow=20000
        e1 expect GET r1 *
        ops leave
        time wait 700
        c2 query load r2 allow=20000
        c2 expect error 1226 *did not run: this dispatcher is leaving
        c2 closing
        c3 query lookup r3 allow=1500
        any expect GET r3 *
        e1 send r1 served count=1 a|b|c/
        c1 expect rows a|b|c
        c1 closing
    """,
    "a drain may be undone": """
        c1 send 010000000e
        c1 expect ok
        ops drain
        time wait 200
        ops restore
        time wait 2000
        c1 send 010000000e
        c1 expect ok
        c1 query lookup r1
        e1 expect GET r1 *
        e1 send r1 served count=1 a|b|c/
        c1 expect rows a|b|c
        c1 send 010000000e
        c1 expect ok
    """,
}


@pytest.mark.parametrize("script", DRAIN.values(), ids=DRAIN)
def test_drain(script: str) -> None:
    World().run(script)


def test_a_shutdown_cannot_be_undone_and_does_not_end_a_drain() -> None:
    lifecycle = Lifecycle()
    assert lifecycle.drain(0.0) and not lifecycle.drain(50.0) and lifecycle.draining_since == 0.0
    assert lifecycle.restore() and lifecycle.restore() and lifecycle.phase() is Phase.SERVING
    lifecycle.begin_shutdown(100.0, 25000.0)
    assert (
        lifecycle.is_ready()
        and lifecycle.accepts_query(1e9, 0.0)
        and not lifecycle.closes_idle(100.0 + SHUTDOWN_IDLE_CLOSE_MS - 1)
    )
    assert lifecycle.accepts_query(100.0 + SHUTDOWN_ACCEPT_LONG_MS - 1, 1e9) and not lifecycle.accepts_query(
        100.0 + SHUTDOWN_ACCEPT_LONG_MS, 1e9
    )
    assert lifecycle.accepts_query(
        100.0 + SHUTDOWN_ACCEPT_CLIENTS_MS, 3800.0
    ) and not lifecycle.accepts_query(100.0 + SHUTDOWN_ACCEPT_CLIENTS_MS, 3801.0)
    assert (lifecycle.kill_deadline, lifecycle.answer_deadline(), lifecycle.accept_deadline()) == (
        3800.0,
        3600.0,
        900.0,
    )
    assert not lifecycle.restore() and lifecycle.phase() is Phase.SHUTTING_DOWN
    lifecycle.drain(200.0)
    assert (
        not lifecycle.is_ready()
        and lifecycle.closes_answered(200.0)
        and lifecycle.closes_idle(200.0 + DRAIN_IDLE_CLOSE_MS)
    )
    assert lifecycle.accepts_query(200.0 + DRAIN_ACCEPT_QUERIES_MS - 1, 0.0) and not lifecycle.accepts_query(
        200.0 + DRAIN_ACCEPT_QUERIES_MS, 0.0
    )


SOURCE = {"listen": "127.0.0.1:1", "bus": "127.0.0.1:2", "known": {"offset": 0}, "settings": PARAMS}


class Caller(FakeStream):
    """The operator's side of an admin connection."""

    def __init__(self, call: AdminConnection) -> None:
        self.call, call.stream = call, self

    def abort(self) -> None:
        self.call.on_closed()

    def status(self, data: bytes = b"", size: int = 4096) -> str:
        for at in range(0, len(data), size):
            self.call.receive(data[at : at + size])
        return self.call.pop_output().partition(b"\r\n")[0].decode().removeprefix("HTTP/1.1 ")


def make_api(world: World, max_connections: int = 4) -> AdminApi:
    return AdminApi(
        world.lifecycle,
        world.clock,
        world.counters,
        lambda event, **_: world.log.append(event),
        max_connections,
    )


FAIL = b"POST /healthcheck/fail HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\nbody!"


@pytest.mark.parametrize("size", [1, 3, 4096])
@pytest.mark.parametrize(
    ("text", "status"),
    [
        (b"GET /healthcheck HTTP/1.1\r\nHost: x\r\n\r\n", "200 OK"),
        (b"GET /healthcheck?x=1 HTTP/1.0\r\n\r\nGET /more HTTP/1.1\r\n\r\n", "200 OK"),
        (FAIL, "200 OK"),
        (b"POST /healthcheck/ok HTTP/1.1\r\nHost: x\r\n\r\n", "200 OK"),
        (b"GET /healthcheck/fail HTTP/1.1\r\nHost: x\r\n\r\n", "405 Method Not Allowed"),
        (b"POST /healthcheck HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n", "405 Method Not Allowed"),
        (b"GET /stats HTTP/1.1\r\nHost: x\r\n\r\n", "404 Not Found"),
        (b"\x16\x03\x01\x02\x00garbage\r\n\r\n", "400 Bad Request"),
        (b"GET /healthcheck HTTP/1.1\r\nHost x\r\n\r\n", "400 Bad Request"),
        (b"POST /healthcheck/ok HTTP/1.1\r\nContent-Length: -4\r\n\r\n", "400 Bad Request"),
        (
            b"GET /healthcheck HTTP/1.1\r\nX: " + b"a" * MAX_HEAD_BYTES + b"\r\n\r\n",
            "431 Request Header Fields Too Large",
        ),
        (
            b"POST /healthcheck/fail HTTP/1.1\r\nContent-Length: 9999999\r\n\r\n"
            + bytes(MAX_HEAD_BYTES + MAX_BODY_BYTES),
            "413 Content Too Large",
        ),
        (b"GET /healthcheck HTTP/1.1\r\nHo", ""),
        (FAIL[:-1], ""),
    ],
)
def test_a_call_gets_one_response_however_its_bytes_are_split(text: bytes, status: str, size: int) -> None:
    if size < 3 and len(text) > 20000:
        pytest.skip("the same at greater length")
    caller = Caller(make_api(World()).open())
    assert caller.status(text, size) == status
    assert caller.call.is_closing is bool(status)
    assert not status or caller.status(b"more") == ""


def test_calls_are_idempotent_and_change_the_one_state() -> None:
    world = World()
    api = make_api(world, max_connections=20)

    def call_api(method: str, path: str) -> str:
        return Caller(api.open()).status(f"{method} {path} HTTP/1.1\r\nHost: x\r\n\r\n".encode())[:3]

    statuses = [call_api("POST", "/healthcheck/fail"), call_api("POST", "/healthcheck/fail")]
    drained = call_api("GET", "/healthcheck"), world.lifecycle.phase(), world.counters.counts["drains"]
    statuses += [
        call_api("POST", "/healthcheck/ok"),
        call_api("POST", "/healthcheck/ok"),
        call_api("GET", "/healthcheck"),
    ]
    assert statuses == ["200"] * 5 and drained == ("503", Phase.DRAINING, 1)
    world.run("ops leave")
    assert [call_api("POST", "/healthcheck/ok"), call_api("POST", "/healthcheck/fail")] == ["409", "200"]


def test_slow_callers_time_out_without_blocking_others() -> None:
    world = World()
    api = make_api(world, max_connections=2)
    silent, half = Caller(api.open()), Caller(api.open())
    half.status(b"GET /health")
    quick = Caller(api.open())
    assert silent.call.is_closed and not half.call.is_closed  # the oldest connection was closed
    assert quick.status(b"GET /healthcheck HTTP/1.1\r\n\r\n") == "200 OK"
    world.wait(CALL_TIMEOUT_MS)
    assert half.status() == "408 Request Timeout"
    Caller(api.open())
    assert len(api.connections) == 2 and half.call.is_closed  # an answered connection is closed before others


@pytest.mark.parametrize("response_state", ["unread", "unwritten"])
def test_a_received_call_is_answered_before_its_connection_is_evicted(response_state: str) -> None:
    """A call must be answered even if its bytes are unread or its response is unwritten at the eviction."""

    async def scenario() -> bytes:
        world, event_loop = World(), EventLoop(asyncio.get_running_loop(), Counters(), print)
        api = make_api(world, max_connections=1)
        listener = event_loop.listener.listen(Address("127.0.0.1", 0))
        accepting = event_loop.spawn(event_loop.listener.serve_admin_api(listener, api))
        caller = socket.create_connection(listener.getsockname())
        while len(api.connections) < 1:
            await asyncio.sleep(0)
        first = next(iter(api.connections))
        caller.sendall(b"GET /healthcheck HTTP/1.1\r\n\r\n")
        assert first.stream is not None
        if response_state == "unwritten":
            assert first.stream.read_available()
        api.open().on_closed()
        caller.setblocking(False)
        received = await event_loop.loop.sock_recv(caller, 4096)
        accepting.cancel()
        for sock in [listener, caller]:
            sock.close()
        await asyncio.gather(*event_loop.tasks, return_exceptions=True)
        return received

    assert asyncio.run(scenario()).startswith(b"HTTP/1.1 200")


@pytest.mark.parametrize("text", ["nowhere", "127.0.0.1", "127.0.0.1:0", "127.0.0.1:99999"])
def test_an_invalid_admin_address_is_named(text: str) -> None:
    with pytest.raises(WireError, match="field 'ops': .* is no address"):
        decode_config({**SOURCE, "ops": text}, {}, Counters())
    with pytest.raises(WireError, match="field 'ops': .* is no address"):
        decode_config(SOURCE, {"RELAY_OPS": text}, Counters())


def test_queued_connections_are_accepted_before_a_listener_closes() -> None:
    """Closing a listener resets the connections in its queue, whose clients may have sent requests."""

    async def scenario() -> int:
        world, event_loop = World(), EventLoop(asyncio.get_running_loop(), Counters(), print)
        with socket.create_server(("127.0.0.1", 0)) as listener:
            listener.setblocking(False)
            clients = [socket.create_connection(listener.getsockname()) for _ in range(5)]
            await event_loop.listener.accept_queued(listener, world.sessions)
        accepted_count = len(world.sessions.sessions)
        for client in clients:
            client.close()
        await asyncio.gather(*event_loop.tasks, return_exceptions=True)
        return accepted_count

    assert asyncio.run(scenario()) == 5


def test_what_follows_a_body_in_chunks_is_bounded_like_the_head() -> None:
    """Guards against trailers without end, which the parser keeps."""
    caller = Caller(make_api(World()).open())
    head = b"POST /healthcheck/fail HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n"
    assert caller.status(head + b"X-Trailer: " + b"a" * 2 * MAX_HEAD_BYTES, 1000).startswith("431")
