"""The memory that clients' packets take, and whose packets are discarded when it is short."""

from __future__ import annotations

import pytest

from cottonhold.frontend.client_commands import MAX_PACKET_BYTES
from cottonhold.frontend.eviction import STALLED_AFTER_MS
from cottonhold.frontend.mysql_session import Session
from tests.support.scenario import Client, World, packet

CAPACITY = 300_000


def crowded_world(halted: int, size: int) -> tuple[World, list[Session]]:
    """Return a world with little memory for packets, and clients that have stopped within a packet."""
    world = World()
    world.sessions.client_memory.capacity = CAPACITY
    sessions = []
    for number in range(halted):
        session = world.client(f"c{100 + number}").session
        session.receive((size + 1).to_bytes(3, "little") + b"\x00" + bytes(size))
        sessions.append(session)
    return world, sessions


def long_query(number: int, size: int) -> bytes:
    text = f"/* service=lookup,ref={number:016x},allow=5000 */ SELECT a FROM s_7.t /* {'x' * size} */"
    return packet(0, b"\x03" + text.encode())


def held(world: World) -> int:
    return sum(session.input.held_bytes() for session in world.sessions.sessions.values())


@pytest.mark.parametrize("size", [3_000, 30_000, 65_000])
def test_packets_of_halted_clients_are_bounded_together(size: int) -> None:
    """Guards against the incident: each client had 64 KB of its own, and hundreds passed the limit."""
    world, sessions = crowded_world(100, size)
    allowances = 2048 * len(sessions)
    assert held(world) <= CAPACITY + allowances
    assert world.sessions.client_memory.used <= CAPACITY


def test_a_usual_request_is_served_beside_halted_clients() -> None:
    world, _ = crowded_world(100, 30_000)
    world.run("c1 query lookup r1\nany expect GET r1 *")
    world.run("c2 query load r2 lookup=k\nc1 expect nothing")


def test_a_long_request_is_served_once_halted_clients_are_known_to_have_stalled() -> None:
    """The hostile yield before the sound: packets of stalled clients are discarded first."""
    world, sessions = crowded_world(100, 30_000)
    world.wait(STALLED_AFTER_MS + 1)
    world.client("c1")
    world.send_bytes("c1", long_query(1, 40_000))
    world.run("any expect GET r1 *")
    assert world.counters.counts["client_packets_discarded"] > 0
    assert not any(session.is_closing for session in sessions)


@pytest.mark.parametrize("pieces", [1000, 4096, 70_000])
def test_a_packet_without_memory_is_rejected_once_it_is_complete(pieces: int) -> None:
    world, _ = crowded_world(100, 30_000)
    world.client("c1")
    data = long_query(1, 60_000) + long_query(2, 10)
    for at in range(0, len(data), pieces):
        world.send_bytes("c1", data[at : at + pieces])
    received = world.clients["c1"].received
    assert received == ["error 1226 query refused, it did not run: there is no memory for it now"]
    world.run("any expect GET r2 *")
    assert world.counters.counts["queries_over_memory"] == 1


def test_the_statement_of_an_open_request_counts_until_it_is_answered() -> None:
    world = World().run("c1 send 010000000e\nc1 expect ok")
    world.send_bytes("c1", long_query(1, 20_000))
    pool = world.sessions.client_memory
    assert pool.used > 17_000
    world.run("any expect GET r1 *\ne1 send r1 served count=1 a|b|c/\nc1 expect rows *")
    assert pool.used == 0


def test_a_client_that_disconnects_releases_its_memory() -> None:
    world, sessions = crowded_world(5, 30_000)
    world.client("c1")
    world.send_bytes("c1", long_query(1, 20_000))
    for session in [*sessions, world.clients["c1"].session]:
        session.on_closed()
    assert world.sessions.client_memory.used == 0


def test_queued_commands_count_and_the_latest_are_rejected_first() -> None:
    world = World().run("c1 query lookup r1\nany expect GET r1 *")
    world.sessions.client_memory.capacity = CAPACITY
    for number in range(2, 14):
        world.clients["c1"].send(long_query(number, 8_000))
    assert world.sessions.client_memory.used <= CAPACITY // 4
    world.run("e1 send r1 served count=1 a|b|c/")
    assert world.clients["c1"].received == ["rows a|b|c"]
    assert world.gateway.requests.keys() == {f"{2:016x}"}


@pytest.mark.parametrize("size", [100, 1_500, 2_500, 9_000])
def test_commands_sent_at_once_by_many_clients_are_bounded_together(size: int) -> None:
    """Guards against a crowd that sends sixteen requests at once on each connection."""
    world = World()
    world.sessions.client_memory.capacity = CAPACITY
    for number in range(60):
        session = world.client(f"c{number}").session
        world.clients[f"c{number}"].first_sequence_numbers.extend([1] * 16)
        data = b"".join(long_query(number * 100 + position, size) for position in range(16))
        for at in range(0, len(data), 4096):
            session.receive(data[at : at + 4096])
            pool = world.sessions.client_memory
            assert pool.used <= CAPACITY and held(world) <= CAPACITY + 4096 * len(world.clients)


def test_a_packet_over_the_largest_size_is_an_error_as_before() -> None:
    world = World().run("c1 send 010000000e\nc1 expect ok")
    world.send_bytes("c1", (MAX_PACKET_BYTES + 1).to_bytes(3, "little") + b"\x00abc")
    world.run("c1 expect error 1153 *\nc1 closing")


def test_clients_that_do_not_read_lose_their_connections_when_results_need_the_memory() -> None:
    """Guards against unread results of hundreds of clients; clients that read keep theirs."""
    world = World()
    world.sessions.result_memory.capacity = 50_000
    for number in range(1, 6):
        world.run(f"c{number} send 010000000e\nc{number} expect ok")
    unread = [world.clients[f"c{number}"] for number in range(1, 5)]
    for age_ms, client in zip((900.0, 800.0, 700.0, 10.0), unread, strict=True):
        hold_output(client, 20_000, age_ms)
    world.run("c5 query lookup r1\nany expect GET r1 *\ne1 send r1 served count=1 a|b|c/\nc5 expect rows *")
    assert [client.session.is_closed for client in unread] == [True, True, False, False]
    assert world.counters.counts["clients_pushed_out_unread"] == 2


def test_a_client_with_an_open_request_is_kept_though_it_has_not_read_its_last_result() -> None:
    world = World().run("c1 query lookup r1\nany expect GET r1 *")
    world.sessions.result_memory.capacity = 1000
    hold_output(world.clients["c1"], 20_000, 900.0)
    world.sessions.on_result_buffered()
    assert not world.clients["c1"].session.is_closed


def hold_output(client: Client, size: int, age_ms: float) -> None:
    """Let a client's stream hold output that the client has not read for a time."""
    client.writing_bytes = lambda: size  # type: ignore[method-assign]
    client.write_age_ms = lambda: age_ms  # type: ignore[method-assign]
    client.session.pop_output()


def test_connections_that_are_being_closed_make_room_before_those_of_resting_clients() -> None:
    """Guards against unsound clients that come again and again, and push resting sound clients out."""
    world = World().run("c1 send 010000000e\nc1 expect ok")
    world.client("c2")
    world.send_bytes("c2", packet(9, b"\x0e"))  # a wrong sequence number ends the connection
    world.run("c2 expect error 1156 *\nc2 closing")
    world.wait(150)
    world.sessions.max_sessions = 2
    world.sessions.has_capacity()
    assert world.clients["c2"].session.is_closed and not world.clients["c1"].session.is_closing
    assert world.counters.counts["clients_pushed_out_ending"] == 1
