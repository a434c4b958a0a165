"""Random bytes for each reader: it may raise only its own error, and other connections are not affected."""

from __future__ import annotations

import contextlib
import time

import orjson
import pytest
from hypothesis import example, given
from hypothesis import strategies as st

from cottonhold.backend.resp import (
    RespError,
    RespReader,
    decode_count,
    decode_fields,
    decode_rows,
    encode_array,
)
from cottonhold.discovery.event_stream import EventStream, PollConnection
from cottonhold.discovery.model import Address, ConfiguredNames
from cottonhold.frontend.client_commands import MAX_PACKET_BYTES
from cottonhold.frontend.query_comment import FieldError, parse
from cottonhold.node.admin_api import AdminApi
from cottonhold.node.peer_datagrams import PeerDatagrams
from cottonhold.observe.log import BURST_LINES, Log
from cottonhold.scheduler.events import EngineListFailed
from tests.support.drawn_cases import CASES, has_no_faults
from tests.support.scenario import LOGIN, FakeClock, World, packet

MAX_CPU_SECONDS = 2.0  # processor time for one statement; a quadratic reader takes over 10 s

FIELDS = b"/* service=lookup,ref=%s,allow=5000 */ "
STATEMENTS = st.one_of(
    st.binary(max_size=80),
    st.builds(
        lambda verb, rest: verb + rest,
        st.sampled_from(
            [b"KILL ", b"KILL QUERY ", FIELDS % b"0123456789abcdef", b"/* service=lookup,", b"/*"]
        ),
        st.binary(max_size=60),
    ),
)
COMMANDS = st.builds(
    lambda sequence, command, rest: packet(sequence, bytes((command,)) + rest),
    st.sampled_from([0, 0, 0, 1, 255]),
    st.sampled_from([1, 2, 3, 3, 3, 14, 31, 200]),
    STATEMENTS,
)
CLIENT_BYTES = st.lists(st.one_of(st.binary(max_size=40), COMMANDS, st.just(packet(1, LOGIN))), max_size=8)


@CASES
@given(CLIENT_BYTES, st.booleans(), st.integers(1, 30))
@example([packet(0, b"\x03KILL " + b"1" * 5000)], True, 30)
def test_a_clients_bytes(parts: list[bytes], logged_in: bool, pieces: int) -> None:
    world = World().run("c1 query lookup r1\nany expect GET r1 *")
    session = world.sessions.open()
    data = b"".join(([packet(1, LOGIN)] if logged_in else []) + parts)
    for at in range(0, len(data), pieces):
        session.receive(data[at : at + pieces])
        world.wait(0)
    assert len(session.buffer) <= MAX_PACKET_BYTES + 4 and has_no_faults(world)
    session.on_closed()
    world.run("e1 send r1 served count=1 a|b|c/\nc1 expect rows a|b|c")


SLOW = {
    "a KILL with blanks": b"KILL 1" + b" " * (60 << 10) + b"x",
    "comments that do not end": FIELDS % b"0123456789abcdef" + b"/* " * (20 << 10),
    "single quotes behind backslashes": FIELDS % b"0123456789abcdef" + b"'\\" * (30 << 10),
    "double quotes behind backslashes": FIELDS % b"0123456789abcdef" + b'"\\' * (30 << 10),
    "back quotes": FIELDS % b"0123456789abcdef" + b"`" * (60 << 10),
    "blanks behind FROM": FIELDS % b"0123456789abcdef" + b"FROM" + b" " * (60 << 10),
    "names": FIELDS % b"0123456789abcdef" + b"FROM a" + b"_1" * (30 << 10),
    "dots": FIELDS % b"0123456789abcdef" + b"a_1." * (15 << 10),
}


@pytest.mark.parametrize("text", SLOW.values(), ids=SLOW)
def test_no_statement_blocks_other_clients(text: bytes) -> None:
    """A long statement must not block the event loop, which serves all clients."""
    world = World().run("c1 query lookup r1\nany expect GET r1 *")
    session, began = world.sessions.open(), time.process_time()
    session.receive(packet(1, LOGIN) + packet(0, b"\x03" + text))
    assert time.process_time() - began < MAX_CPU_SECONDS


@CASES
@given(STATEMENTS)
def test_a_statement(text: bytes) -> None:
    with contextlib.suppress(FieldError):
        parse(text)


ARGUMENTS = st.one_of(
    st.binary(max_size=20), st.sampled_from([b"served", b"rows", b"crashed", b"overload", b"-"])
)
PAIRS = st.builds(
    lambda name, value: f"{name}={value}".encode(),
    st.sampled_from(["count", "pos", "ticks", "footprint", "gauges"]),
    st.one_of(
        st.sampled_from(
            ["nan", "inf", "-1", "1e308", "", "1", "2", "inflight:nan;util:inf", "util:-5;x0:1e300"]
        ),
        st.text(max_size=8),
    ),
)
ANSWER = st.builds(
    lambda ref, status, fields, body: encode_array(ref, status, b",".join(fields), body),
    st.sampled_from([b"%016x" % 2, b"%016x" % 2, b"t1", b"x"]),
    st.sampled_from(
        [b"served", b"served", b"rows", b"crashed", b"overload", b"nobody", b"red", b"green", b"?"]
    ),
    st.lists(PAIRS, max_size=3),
    st.one_of(st.just(b"a\tb\tc\n"), st.binary(max_size=20)),
)
ENGINE_BYTES = st.lists(
    st.one_of(
        ANSWER,
        st.lists(ARGUMENTS, max_size=9).map(lambda arguments: encode_array(*arguments)),
        st.binary(max_size=30),
    ),
    max_size=6,
)


@CASES
@given(ENGINE_BYTES, st.integers(1, 40))
def test_an_engines_bytes(parts: list[bytes], pieces: int) -> None:
    """The query at this engine has at most one final answer; the other engine's query is not affected."""
    world = World().run("c1 query lookup r1\ne1 expect GET r1 *\nc2 query lookup r2\ne2 expect GET r2 *")
    connection, data = world.engine_stream("e2").connection, b"".join(parts)
    for at in range(0, len(data), pieces):
        connection.receive(data[at : at + pieces])
        world.wait(0)
    world.wait(50.0)
    assert has_no_faults(world) and len(world.clients["c2"].received) <= 1
    world.run("e1 send r1 served count=1 a|b|c/\nc1 expect rows a|b|c")
    world.wait(6000.0)
    assert has_no_faults(world) and len(world.clients["c2"].received) == 1, world.log


@CASES
@given(st.lists(st.binary(max_size=60), max_size=5), st.binary(max_size=40))
def test_the_engines_reader(parts: list[bytes], text: bytes) -> None:
    reader = RespReader()
    try:
        for part in parts:
            reader.feed(part)
    except RespError:
        pass
    for call in (decode_rows, lambda data: decode_count(decode_fields(data), "count", 1, 9)):
        with contextlib.suppress(RespError):
            call(text)


@CASES
@given(st.binary(max_size=300), st.integers(0, 2))
def test_a_peers_bytes(data: bytes, sender: int) -> None:
    world = World().run("c1 query lookup r1\nany expect GET r1 *")
    peers = PeerDatagrams((Address("a", 1), Address("b", 1)), None, world.counters)
    message = peers.decode(data, ("abc"[sender], 1))
    assert (message is None) == (sender == 2 or len(data) > 256)
    world.gateway.push(message or EngineListFailed())
    world.wait(50.0)
    world.run("e1 send r1 served count=1 a|b|c/\nc1 expect rows a|b|c")
    assert has_no_faults(world), world.log


CALL = st.one_of(
    st.binary(max_size=60),
    st.builds(
        lambda method, path, rest: method + b" " + path + b" HTTP/1.1\r\n" + rest,
        st.sampled_from([b"GET", b"POST", b"BREW", b""]),
        st.one_of(
            st.sampled_from([b"/healthcheck", b"/healthcheck/fail", b"*", b"/"]), st.binary(max_size=10)
        ),
        st.one_of(
            st.just(b"\r\n"), st.just(b"Upgrade: h2c\r\nConnection: upgrade\r\n\r\n"), st.binary(max_size=40)
        ),
    ),
)


@CASES
@given(st.lists(CALL, min_size=1, max_size=3), st.integers(1, 50))
def test_an_operators_bytes(parts: list[bytes], pieces: int) -> None:
    world, clock = World(), FakeClock()
    calls = AdminApi(world.lifecycle, clock, world.counters, lambda event, **fields: None, 4)
    call, data = calls.open(), b"".join(parts)
    for at in range(0, len(data), pieces):
        call.receive(data[at : at + pieces])
    clock.run_until(clock.now_ms + 5000, lambda: None)
    assert call.is_closing and call.pop_output().startswith(b"HTTP/1.1 ")


def test_malformed_input_is_counted_and_logged_at_a_limited_rate(capsys: pytest.CaptureFixture[str]) -> None:
    """All input arrives at the same time, so the log's rate limit is never refilled."""
    log, world = Log(clock=lambda: 0.0), World(engines="a")
    world.gateway.log = world.engines.log = log.write_line
    peers = PeerDatagrams((Address("a", 1),), None, world.counters, log.write_line)
    entries = [{"instanceId": "s-1", "lifecycle": "Odd"}] * 50
    answer = orjson.dumps({"offset": 2, "batch": [{"offset": 2, "topology": {"instances": entries}}]})
    for _ in range(50):
        session = world.sessions.open()
        session.receive(packet(1, LOGIN.replace(b"app", b"a\nb")))
        peers.decode(b"x", ("stranger", 1))
        world.engines.on_malformed_answer("engine a: nonsense")
    bus = EventStream(
        "h", 1, ConfiguredNames(("z",), ("a",)), world.counters, lambda report: None, log.write_line
    )
    assert PollConnection(bus).receive(
        b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(answer) + answer
    )
    names = ("client_malformed", "peer_malformed", "engine_malformed", "bus_malformed")
    assert [world.counters.counts[name] for name in names] == [50] * 4
    lines = capsys.readouterr().err.splitlines()
    assert len(lines) == BURST_LINES and log.dropped_count == 100
    assert {line.split(" ")[0] for line in lines} >= {"client", "peers:", "engine"}
