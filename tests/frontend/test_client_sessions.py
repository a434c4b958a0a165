"""Client sessions as scenarios on a fake clock: login, fields, results, limits and timeouts."""

from __future__ import annotations

import pytest

from cottonhold.frontend.client_commands import MAX_PACKET_BYTES
from tests.support.scenario import LOGIN, Client, World, packet


@pytest.mark.parametrize(
    ("statement", "field"),
    [
        ("SELECT 1", "service"),
        ("/* ref=r1,allow=9 */ SELECT 1", "service"),
        ("/* service=dance,ref=r1,allow=9 */ SELECT 1", "service"),
        ("/* service=lookup,allow=9 */ SELECT 1", "ref"),
        ("/* service=lookup,ref=xyz,allow=9 */ SELECT 1", "ref"),
        ("/* service=lookup,ref=r1 */ SELECT 1", "allow"),
        ("/* service=lookup,ref=r1,allow=soon */ SELECT 1", "allow"),
        ("/* service=lookup,ref=r1,allow=-5 */ SELECT 1", "allow"),
        ("/* service=lookup,ref=r1,allow=nan */ SELECT 1", "allow"),
        ("/* service=lookup,ref=r1,allow=99999999999 */ SELECT 1", "allow"),
        ("/* service=lookup,ref=r1,allow=9,allow=7 */ SELECT 1", "allow"),
        ("/* service=lookup,ref=r1,allow=1_0 */ SELECT 1", "allow"),
        ("/* service=lookup,ref=r1,allow=9,effort=1e300 */ SELECT 1", "effort"),
        ("/* service=lookup,ref=r1,allow=9,effort=x */ SELECT 1", "effort"),
        ("/* service=lookup,ref=r1,allow=9,room=-1 */ SELECT 1", "room"),
        ("/* service=lookup,ref=r1,allow=9,dup=2 */ SELECT 1", "dup"),
    ],
)
def test_an_invalid_field_is_named(statement: str, field: str) -> None:
    World().run(f"c1 say {statement}\nc1 expect error 1105 *'{field}'*\nc1 send 010000000e\nc1 expect ok")


QUERY = packet(0, b"\x03/* service=lookup,ref=00000000000000aa,allow=900 */ SELECT a FROM s_7.t")


@pytest.mark.parametrize("size", [1, 3, 1000])
def test_login_and_first_query_may_arrive_before_the_greeting_is_read(size: int) -> None:
    world = World()
    client = world.clients["c1"] = Client(world.sessions.open())
    data = packet(1, LOGIN) + QUERY
    client.first_sequence_numbers.extend([2, 1])
    for at in range(0, len(data), size):
        client.session.receive(data[at : at + size])
    world.wait(0)
    world.run("e1 expect GET *")
    assert client.received == ["greeting", "ok"]


@pytest.mark.parametrize(
    ("data", "error"),
    [
        (packet(1, b"\x00" * 8), 1043),
        (packet(1, LOGIN.replace(b"app", b"eve")), 1045),
        (packet(1, LOGIN.replace(b"app\0\0", b"app\0\x02xy")), 1045),
        (packet(1, LOGIN.replace(b"dw", b"dx")), 1049),
        (packet(7, LOGIN), 1156),
        ((MAX_PACKET_BYTES + 1).to_bytes(3, "little") + b"\x01", 1153),
    ],
)
def test_a_rejected_login_gets_its_error_and_is_closed(data: bytes, error: int) -> None:
    world = World()
    client = world.clients["c1"] = Client(world.sessions.open())
    client.read_output()
    client.send(data)
    client.read_output()
    assert client.received[-1].startswith(f"error {error} ") and client.session.is_closing


LOGIN_PACKET = packet(1, LOGIN)


@pytest.mark.parametrize(
    "data", [b"", LOGIN_PACKET[:20], LOGIN_PACKET, LOGIN_PACKET + QUERY[:30], LOGIN_PACKET + QUERY[:3]]
)
def test_a_client_without_a_complete_packet_gets_an_error_and_is_closed_within_3_s(data: bytes) -> None:
    world = World()
    session = world.sessions.open()
    world.wait(500)
    session.receive(data)
    world.wait(2400)
    assert session.is_closing and b"\xff\x87\x04#08S01" in session.pop_output()


@pytest.mark.parametrize("size", [1, 3, 4, 5, 60])
@pytest.mark.parametrize("has_query", [False, True], ids=["first command", "after an answer"])
def test_the_error_to_a_request_that_stalls_follows_the_requests_packet(size: int, has_query: bool) -> None:
    """Guards against an error that clients can't read: it had the number after that of the last answer.

    `Client` checks the sequence numbers.
    """
    world = World()
    world.client("c1")
    if has_query:
        world.run(
            "c1 query lookup r1\ne1 expect GET r1 *\ne1 send r1 served count=1 a|b|c/\nc1 expect rows *"
        )
    client = world.clients["c1"]
    client.first_sequence_numbers.append(1)
    client.session.receive(QUERY[:size])
    world.wait(3000)
    world.run("c1 expect error 1159 *\nc1 closing")


def test_a_request_is_answered_though_the_next_packet_stalls_behind_it() -> None:
    """Guards against an accepted request that is withdrawn, and gets no answer, for a packet behind it."""
    world = World().run("c1 query load r1 allow=20000\ne1 expect GET r1 *")
    client = world.clients["c1"]
    client.first_sequence_numbers.append(1)
    client.session.receive(QUERY[:30])
    world.run("time wait 5000\nc1 expect nothing\ne1 send r1 served count=1 a|b|c/\nc1 expect rows a|b|c")
    world.run("time wait 300\nc1 expect error 1159 *\nc1 closing")


def test_the_error_to_a_login_that_stalls_follows_the_login() -> None:
    world = World()
    client = world.clients["c1"] = Client(world.sessions.open())
    client.read_output()
    client.first_sequence_numbers.append(2)
    client.session.receive(LOGIN_PACKET[:2])
    world.wait(3000)
    assert client.received[-1].startswith("error 1159 ")


@pytest.mark.parametrize("is_first", [True, False])
def test_a_request_that_is_written_in_2_s_is_answered(is_first: bool) -> None:
    """Guards against the close of a slow client's connection within its request."""
    world = World()
    if is_first:
        data, numbers = LOGIN_PACKET + QUERY, [2, 1]
        world.clients["c1"] = Client(world.sessions.open())
    else:
        data, numbers = QUERY, [1]
        world.run(
            "c1 query lookup r1\ne1 expect GET r1 *\ne1 send r1 served count=1 a|b|c/\nc1 expect rows *"
        )
    client = world.clients["c1"]
    client.first_sequence_numbers.extend(numbers)
    pieces = 20
    for number in range(pieces + 1):
        client.session.receive(data[len(data) * number // pieces : len(data) * (number + 1) // pieces])
        world.wait(2000 / pieces)
    world.run("e1 expect GET 00000000000000aa *")


def test_a_connection_stays_open_during_slow_requests_and_short_pauses() -> None:
    world = World().run("c1 query load r1 allow=20000\ne1 expect GET *\ntime wait 9000\nc1 expect nothing")
    world.run("e1 send r1 served count=1 a|b|c/\nc1 expect rows a|b|c\ntime wait 4500")
    assert not world.clients["c1"].session.is_closing
    world.run("time wait 1000\nc1 closing")


def test_idle_connections_are_evicted_in_order() -> None:
    """Silent connections are evicted first, then the longest idle, then those halted within a packet."""
    world = World(sockets=64).run("""
        c1 query lookup r1
        c2 send 010000000e
        c2 expect ok
        c3 send 050000
        time wait 500
        c4 send 050000
        c5 send 010000000e
    """)
    silent = [Client(world.sessions.open()) for _ in range(3)]
    for client in silent:
        client.read_output()  # the greeting
    world.wait(60)
    evicted = []
    for _ in range(7):
        world.sessions.max_sessions = len(world.sessions.sessions)
        world.sessions.has_capacity()
        evicted += [n for n in world.clients if world.clients[n].session.is_closed and n not in evicted]
        evicted += ["silent"] * (all(c.session.is_closed for c in silent) and "silent" not in evicted)
    assert evicted == ["silent", "c2", "c5", "c3"]  # c4 may still be sending, and c1 has an open request
    assert world.sessions.evicted_count == 0


def test_sequence_numbers_wrap_in_results_of_more_than_255_packets() -> None:
    world = World().run("c1 query lookup r1\ne1 expect GET *")
    world.run("e1 send r1 served count=1 " + "a|b|c/" * 300)
    assert world.clients["c1"].received == ["rows " + "/".join(["a|b|c"] * 300)]


def test_long_rows_and_empty_cells_are_encoded() -> None:
    world = World().run("c1 query lookup r1\ne1 expect GET *")
    long_cell = "x" * 120
    world.run(f"e1 send r1 served count=1 ||/{long_cell}|{long_cell}|y/{'z' * 249}||/a|b|c/")
    assert world.clients["c1"].received == [f"rows ||/{long_cell}|{long_cell}|y/{'z' * 249}||/a|b|c"]


def test_a_session_whose_output_is_not_read_is_not_served_further() -> None:
    world = World().run("c1 send 010000000e\nc1 expect ok")
    session = world.clients["c1"].session
    session.output += bytes(300 * 1024)
    session.receive(packet(0, b"\x0e"))
    assert len(session.commands) == 1
    session.output.clear()
    world.clients["c1"].first_sequence_numbers.append(1)
    session.pop_output()
    world.wait(0)
    assert world.clients["c1"].received == ["ok"]


def test_queued_commands_of_one_connection_are_bounded_in_bytes() -> None:
    world = World().run("c1 query lookup r1\ne1 expect GET *")
    session = world.clients["c1"].session
    for _ in range(8):
        session.receive(packet(0, b"\x03" + bytes(MAX_PACKET_BYTES - 1)))
    assert session.is_closing and not session.commands and len(session.buffer) <= 2 * MAX_PACKET_BYTES


@pytest.mark.parametrize("digits", [10, 11, 5000])
def test_a_kill_of_an_impossible_connection_id_is_only_an_error(digits: int) -> None:
    """int() fails for more than 4,300 digits, which closed the session with its responses outstanding."""
    world = World().run(f"c1 say KILL QUERY {'9' * digits}\nc1 expect error * *\nc1 query lookup r1")
    world.run("e1 expect GET r1 *\ne1 send r1 served count=1 a|b|c/\nc1 expect rows a|b|c")
