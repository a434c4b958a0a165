"""The dispatcher's smaller parts: statements, arrays, the event stream, peers, configuration, the program."""

from __future__ import annotations

import asyncio
import os
import signal
import socket
import subprocess
import sys
from pathlib import Path
from typing import Any

import orjson
import pytest

from cottonhold.backend.resp import RespError, RespReader, encode_array
from cottonhold.config.relay import ConfigError, load_config
from cottonhold.discovery.event_stream import EventStream, PollConnection
from cottonhold.discovery.model import Address, ConfiguredNames, Observation, ServiceStatus, SourceReport
from cottonhold.frontend.query_comment import parse, table_group
from cottonhold.message_validation import WireError
from cottonhold.node.peer_datagrams import PeerDatagrams
from cottonhold.observe.counters import Counters
from cottonhold.observe.log import BURST_LINES, Log
from cottonhold.scheduler.actions import SendToPeer
from cottonhold.scheduler.events import PeerMessage
from cottonhold.transport.event_loop import EventLoop
from cottonhold.transport.stream import Stream
from tests.support.scenario import LOGIN, World, packet
from tests.test_simulator_adapter import PARAMS


@pytest.mark.parametrize(
    ("sql", "group"),
    [
        ("SELECT day, count(*) FROM sales_17.orders WHERE tag = '3f9c'", 17),
        ("INSERT INTO sales_3.orders SELECT * FROM staging.orders_9", 3),
        ("INSERT INTO `sales_3`.`orders` SELECT 1", 3),
        ("SELECT 'FROM x_4.t', \"y_5.t\" /* FROM z_6.t */ FROM s_8.t -- FROM q_9.t", 8),
        ("SELECT 'it''s \\' x_4.t' FROM s_8.t # FROM q_9.t", 8),
        ("SELECT o_1.a FROM s_2.orders o_1", 2),
        ("SELECT a FROM staging.t, s_2.u", 2),
        ("SELECT a FROM t_5 JOIN s_6.u", 6),
        ("SELECT 1", -1),
    ],
)
def test_the_table_group_of_a_statement(sql: str, group: int) -> None:
    assert table_group(sql) == group


def test_a_statement_is_forwarded_without_its_fields() -> None:
    text = b"/* service=load,ref=9B1f03aa5c7e2d41,allow=1500,dup=1,lookup=k */ SELECT /* x */ '\xff'"
    received = parse(text)
    assert (received.body, received.request_id) == (b"SELECT /* x */ '\xff'", "9B1f03aa5c7e2d41")
    assert (received.ordering_key, received.is_retry) == ("k", True)


@pytest.mark.parametrize("size", [1, 2, 7, 100])
def test_arrays_are_decoded_however_their_bytes_are_split(size: int) -> None:
    data, reader, received = encode_array(b"a", b"", b"x\r\n$1") + encode_array(b"b"), RespReader(), []
    for at in range(0, len(data), size):
        received += reader.feed(data[at : at + size])
    assert received == [[b"a", b"", b"x\r\n$1"], [b"b"]] and not reader.buffer


@pytest.mark.parametrize(
    "data",
    [b"+OK\r\n", b"*x\r\n", b"*99\r\n", b"*1\r\n$99999999\r\n", b"*1\r\n$1\r\nabc", b"*" * 20],
)
def test_a_malformed_array_is_an_error(data: bytes) -> None:
    with pytest.raises(RespError):
        RespReader().feed(data)


ENTRY = {
    "instanceId": "s-1",
    "hostPort": "127.0.0.9:10080",
    "lifecycle": "Ready",
    "machineType": "b",
    "startedAtMs": 5,
}


def poll_answer(offset: int, *entries: Any, status: str = "200 OK") -> bytes:
    event = {"offset": offset, "topology": {"reset": False, "instances": entries}}
    body = orjson.dumps({"offset": offset, "batch": [event]})
    return f"HTTP/1.1 {status}\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body


def new_event_stream() -> tuple[PollConnection, list[SourceReport], Counters]:
    reports, counters = list[SourceReport](), Counters()
    stream = EventStream("h", 3, ConfiguredNames(("z",), ("a", "b")), counters, reports.append)
    return PollConnection(stream), reports, counters


@pytest.mark.parametrize("size", [1, 50, 1000])
def test_the_event_stream_reports_each_change_once(size: int) -> None:
    connection, reports, _ = new_event_stream()
    for _ in range(2):  # the second answer is a duplicate, as after a reconnect
        connection.request()
        data = poll_answer(4, ENTRY)
        completions = [connection.receive(data[at : at + size]) for at in range(0, len(data), size)]
        assert completions[-1] and not any(completions[:-1])
    assert b"from=4&" in connection.request()
    assert reports == [
        SourceReport(
            "bus",
            4,
            (
                Observation(
                    "s-1",
                    ServiceStatus.IN_SERVICE,
                    "Ready",
                    Address("127.0.0.9", 10080),
                    machine_type=1,
                    cell=None,  # the entry names none
                    started_at=5.0,
                ),
            ),
        )
    ]


@pytest.mark.parametrize(
    "entry", [{"lifecycle": "Ready"}, {**ENTRY, "lifecycle": "Odd"}, {**ENTRY, "hostPort": "x"}, 7]
)
def test_a_malformed_entry_is_skipped(entry: Any) -> None:
    connection, reports, counters = new_event_stream()
    assert connection.receive(poll_answer(4, entry, ENTRY))
    assert [e.id for e in reports[0].observations] == ["s-1"] and counters.counts["bus_malformed"] == 1


@pytest.mark.parametrize(
    "data",
    [
        b"garbage\r\n\r\n",
        poll_answer(4, status="500 No"),
        b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{]",
    ],
)
def test_the_event_stream_recovers_from_a_malformed_answer(data: bytes) -> None:
    connection, reports, counters = new_event_stream()
    with pytest.raises(WireError):
        connection.receive(data)
    reopened = PollConnection(connection.stream)
    assert reopened.receive(poll_answer(4, ENTRY))
    assert len(reports) == 1 and counters.counts["bus_malformed"] == 1


def test_datagrams_are_identified_by_sender_and_bounded_in_size() -> None:
    peers = PeerDatagrams(
        (Address("127.0.0.1", 1), Address("127.0.0.2", 1)), Address("127.0.0.3", 1), Counters()
    )
    assert peers.decode(b"x", ("127.0.0.2", 1)) == PeerMessage(1, b"x")
    assert peers.decode(b"x", ("127.0.0.9", 1)) is None
    assert peers.destination(SendToPeer(b"x", 1)) == Address("127.0.0.2", 1)
    assert peers.destination(SendToPeer(b"x")) == Address("127.0.0.3", 1)
    assert (
        peers.destination(SendToPeer(bytes(257), 1)) is None
        and peers.destination(SendToPeer(b"x", 2)) is None
    )


def test_log_lines_are_rate_limited(capsys: pytest.CaptureFixture[str]) -> None:
    now = [0.0]
    log = Log(lambda: now[0])
    for i in range(1000):
        log.write_line(f"line {i}")
    now[0] = 1.0
    log.write_line("later")
    lines = capsys.readouterr().err.splitlines()
    assert (
        len(lines) == BURST_LINES + 1
        and lines[-1] == f"later ({1000 - int(BURST_LINES)} lines left out before this)"
    )


def test_a_log_that_cannot_be_written_harms_nothing(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a full disk or a closed pipe that ends the connection whose fault was to be logged."""

    class Broken:
        def write(self, text: str) -> int:
            raise BrokenPipeError

        def flush(self) -> None:
            raise BrokenPipeError

    log = Log(lambda: 0.0)
    monkeypatch.setattr(sys, "stderr", Broken())
    log.write_line("lost")
    assert log.dropped_count == 1


PROGRAM = [sys.executable, "-m", "cottonhold"]
CONFIG: dict[str, Any] = {
    "name": "n0",
    "listen": "127.0.0.1:0",
    "seed": "8c1f30d27a5be964",
    "bus": "127.0.0.1:9",
    "known": {"offset": 1, "batch": [{"offset": 1, "topology": {"instances": [ENTRY]}}]},
    "settings": {**PARAMS, "zones": ["z"], "models": ["a", "b"]},
}


def write(path: Path, **changes: Any) -> dict[str, str]:
    file = path / "config.json"
    file.write_bytes(orjson.dumps({**CONFIG, **changes}))
    return {"RELAY_CONFIG": str(file)}


def test_a_configuration_is_loaded_completely(tmp_path: Path) -> None:
    received = load_config(write(tmp_path, listen="127.0.0.1:80"), Counters())
    assert (received.event_offset, received.seed, received.initial_reports[0].is_complete) == (
        1,
        0x8C1F30D27A5BE964,
        True,
    )
    assert (
        received.settings.classes[0].name == "lookup"
        and received.initial_reports[0].observations[0].machine_type == 1
    )


@pytest.mark.parametrize(
    "changes", [{"listen": "nowhere"}, {"bus": None}, {"known": None}, {"settings": {}}, {"seed": "xyz"}]
)
def test_an_invalid_configuration_is_reported_in_one_line(tmp_path: Path, changes: dict[str, Any]) -> None:
    environ = {**os.environ, **write(tmp_path, **{"listen": "127.0.0.1:80", **changes})}
    with pytest.raises(ConfigError):
        load_config(environ, Counters())
    done = subprocess.run(PROGRAM, env=environ, capture_output=True, text=True, check=False)
    assert done.returncode == 2 and len(done.stderr.splitlines()) == 1


def test_queued_connections_are_accepted_in_one_iteration() -> None:
    async def scenario() -> int:
        world, calls = World(), 0
        event_loop = EventLoop(asyncio.get_running_loop(), Counters(), print)
        listener = event_loop.listener.listen(Address("127.0.0.1", 0))
        clients = [socket.create_connection(listener.getsockname()) for _ in range(5)]
        wait_for_one = event_loop.wait_until_readable

        async def counted(sock: socket.socket) -> None:
            nonlocal calls
            calls += 1
            await wait_for_one(sock)

        event_loop.wait_until_readable = counted  # type: ignore[method-assign]
        accepting = event_loop.spawn(event_loop.listener.accept(listener, world.sessions))
        while len(world.sessions.sessions) < 5:
            await asyncio.sleep(0)
        accepting.cancel()
        for stream in list(event_loop.streams):
            stream.abort()
        await asyncio.gather(*event_loop.tasks, return_exceptions=True)
        for sock in [listener, *clients]:
            sock.close()
        return calls

    assert asyncio.run(scenario()) == 2  # the second call waits for further connections


def test_many_clients_that_become_idle_are_accepted_without_long_pauses(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Freed connection slots are reused without a pause, so that other clients need not wait."""

    async def scenario() -> list[float]:
        world = World(sockets=64)
        event_loop, pauses, sleep = (
            EventLoop(asyncio.get_running_loop(), Counters(), print),
            [],
            asyncio.sleep,
        )

        async def counted(seconds: float) -> None:
            if seconds:
                pauses.append(seconds)
            world.clock.now_ms += 20
            await sleep(0)

        monkeypatch.setattr("asyncio.sleep", counted)
        listener = event_loop.listener.listen(Address("127.0.0.1", 0))
        clients = [socket.create_connection(listener.getsockname()) for _ in range(300)]
        for client in clients:
            client.sendall(packet(1, LOGIN) + packet(0, b"\x0e"))
        accepting = event_loop.spawn(event_loop.listener.accept(listener, world.sessions))
        while world.counters.counts["client_connections"] < 300:
            await counted(0)
        accepting.cancel()
        for stream in list(event_loop.streams):
            stream.abort()
        await asyncio.gather(*event_loop.tasks, return_exceptions=True)
        for sock in [listener, *clients]:
            sock.close()
        evicted = [n for name, n in world.counters.counts.items() if name.startswith("clients_pushed_out")]
        assert sum(evicted) >= 300 - world.sessions.max_sessions
        return pauses

    assert asyncio.run(scenario()).count(0.02) <= 5


def test_bytes_after_a_protocol_error_are_read_and_discarded() -> None:
    async def scenario() -> bytes:
        loop, world = asyncio.get_running_loop(), World()
        event_loop = EventLoop(loop, Counters(), print)
        ours, client = socket.socketpair()
        for sock in (ours, client):
            sock.setblocking(False)
        session = world.sessions.open()
        session.stream = stream = Stream(event_loop.streams, session, 4096)
        stream.start(ours)
        body = packet(1, LOGIN) + b"\xff\xff\xff\x00" + bytes(8 << 20)
        await loop.sock_sendall(client, body)
        client.shutdown(socket.SHUT_WR)
        received = b""
        while data := await loop.sock_recv(client, 4096):
            received += data
        await asyncio.gather(*event_loop.tasks, return_exceptions=True)
        assert stream.discarded_bytes > 7 << 20 and len(session.buffer) < 8192 and session.is_closed
        return received

    assert b"#08S01a packet of 16777215 bytes" in asyncio.run(scenario())


def read_packet(client: socket.socket) -> bytes:
    head = client.recv(4, socket.MSG_WAITALL)
    return client.recv(int.from_bytes(head[:3], "little"), socket.MSG_WAITALL)


def test_sighup_follows_the_new_event_stream_and_an_invalid_file_changes_nothing(tmp_path: Path) -> None:
    any_port = ("127.0.0.1", 0)
    with socket.create_server(any_port) as first, socket.create_server(any_port) as second:
        with socket.create_server(any_port) as spare:
            listen = f"127.0.0.1:{spare.getsockname()[1]}"

        def configure(server: socket.socket) -> dict[str, str]:
            return write(tmp_path, listen=listen, bus=f"127.0.0.1:{server.getsockname()[1]}")

        environ = {**os.environ, **configure(first)}
        program = subprocess.Popen(PROGRAM, env=environ, stderr=subprocess.PIPE, text=True)
        try:
            old = first.accept()[0]
            assert b"from=1&" in old.recv(1000)
            old.sendall(poll_answer(7, ENTRY))
            assert b"from=7&" in old.recv(1000)
            configure(second)
            program.send_signal(signal.SIGHUP)
            new = second.accept()[0]
            assert b"from=7&" in new.recv(1000) and old.recv(1) == b""
            assert (
                program.stderr is not None
                and "client_descriptors=491 engine_descriptors=337" in program.stderr.readline()
            )
            assert "config_reloaded classes=1" in program.stderr.readline()
            (tmp_path / "config.json").write_text("{")
            program.send_signal(signal.SIGHUP)
            assert "config_reload_failed problem=" in program.stderr.readline()
            new.sendall(poll_answer(8, ENTRY))
            assert b"from=8&" in new.recv(1000)
            program.send_signal(signal.SIGTERM)
            _, errors = program.communicate()
        finally:
            program.kill()
    assert program.returncode == 0 and "reloads=1 reloads_failed=1" in errors.splitlines()[-1]


def test_the_program_serves_and_shuts_down(tmp_path: Path) -> None:
    any_port = ("127.0.0.1", 0)
    with socket.create_server(any_port) as bus_server, socket.create_server(any_port) as spare:
        port = spare.getsockname()[1]
        spare.close()
        bus_at = f"127.0.0.1:{bus_server.getsockname()[1]}"
        environ = {**os.environ, **write(tmp_path, listen=f"127.0.0.1:{port}", bus=bus_at)}
        program = subprocess.Popen(PROGRAM, env=environ, stderr=subprocess.PIPE, text=True)
        try:
            # The dispatcher listens for clients before it polls the event bus.
            assert b"GET /bus/read?from=1&" in bus_server.accept()[0].recv(1000)
            with socket.create_connection(("127.0.0.1", port)) as client:
                client.sendall(packet(1, LOGIN) + packet(0, b"\x0e"))
                assert [read_packet(client)[0] for _ in range(3)] == [0x0A, 0, 0]
                program.send_signal(signal.SIGTERM)
                client.sendall(packet(0, b"\x0e"))
                assert read_packet(client)[0] == 0
                assert client.recv(1) == b""
            _, errors = program.communicate()
        finally:
            program.kill()
    assert program.returncode == 0 and "client_connections=1" in errors.splitlines()[-1]
