"""What engines send, or don't read, takes a bounded amount of memory."""

from __future__ import annotations

import pytest

from cottonhold.backend.connection import MAX_QUEUED_ITEMS
from cottonhold.backend.engine_protocol import MAX_REPORT_VALUES, decode_load_report
from cottonhold.backend.resp import MAX_ARRAY_BYTES, MAX_FIELDS, RespError, RespReader, decode_fields
from cottonhold.discovery.model import Address, EngineListChange
from cottonhold.scheduler.events import Engine
from tests.support.scenario import World

PARTIAL = b"*4\r\n$16\r\n%016x\r\n$6\r\nserved\r\n$7\r\ncount=1\r\n$6000\r\n" + b"x" * 5000


def world_with_connections(count: int) -> World:
    """Return a world in which each of some engines has an idle connection."""
    names = [f"n{number}" for number in range(count)]
    world = World(engines=" ".join(names))
    change = EngineListChange(tuple(map(Engine, names)), {name: Address(name, 1) for name in names}, True)
    world.gateway.on_engine_list(change)
    for name in names:
        assert world.engines.check_health(name)
    world.wait(10)
    return world


def test_incomplete_answers_are_bounded_together_and_the_oldest_yields() -> None:
    """Guards against hundreds of connections that each hold an incomplete answer."""
    world = world_with_connections(40)
    world.engines.answer_pool.capacity = 40_000
    connections = [stream.connection for stream in world.engine_streams]
    for number, connection in enumerate(connections):
        connection.receive(PARTIAL % number)
        world.clock.now_ms += 1.0
        assert world.engines.answer_pool.used <= 40_000
    closed = [connection.is_closed for connection in connections]
    assert closed == sorted(closed, reverse=True) and closed[0] and not closed[-1]


def test_a_complete_answer_releases_its_memory() -> None:
    world = world_with_connections(1)
    connection = world.engine_streams[0].connection
    connection.receive(PARTIAL % 1)
    assert world.engines.answer_pool.used > 0
    connection.receive(b"x" * 1000 + b"\r\n")
    assert world.engines.answer_pool.used == 0 and not connection.is_closed


def test_an_engine_that_does_not_read_loses_its_connection() -> None:
    """Guards against calls that queue without end for an engine that stopped reading."""
    world = world_with_connections(1)
    connection = world.engine_streams[0].connection
    for number in range(MAX_QUEUED_ITEMS + 1):
        connection.enqueue(b"*2\r\n$4\r\nDROP\r\n$3\r\n%03d\r\n" % (number % 1000))
    assert connection.is_closed


def test_an_array_is_bounded_as_a_whole() -> None:
    reader = RespReader()
    with pytest.raises(RespError, match="exceeds"):
        reader.feed(b"*8\r\n" + b"$8000\r\n" + (b"x" * 8000 + b"\r\n$8000\r\n") * 7)
    assert len(encoded := b"*2\r\n" + (b"$8000\r\n" + b"x" * 8000 + b"\r\n") * 2) < MAX_ARRAY_BYTES
    assert len(RespReader().feed(encoded)) == 1


def test_fields_and_reports_of_an_answer_are_bounded_in_number() -> None:
    """Guards against thousands of names that an engine sends in one answer."""
    assert len(decode_fields(b",".join(b"a%d=1" % number for number in range(MAX_FIELDS)))) == MAX_FIELDS
    with pytest.raises(RespError, match="fields"):
        decode_fields(b",".join(b"a%d=1" % number for number in range(MAX_FIELDS + 1)))
    gauges = ";".join(f"a{number}:1" for number in range(1000))
    assert len(decode_load_report({"gauges": gauges})) == MAX_REPORT_VALUES
