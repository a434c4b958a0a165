"""Results of several pages are collected in order, within the memory for results."""

from __future__ import annotations

import gc

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cottonhold.backend.attempt import Attempt
from cottonhold.backend.resp import COLUMNS, RespError, check_page, decode_rows
from cottonhold.backend.result_memory import Collection, ResultMemory
from cottonhold.scheduler.byte_pool import BytePool
from tests.support.scenario import World

ROWS = "/".join(["a" * 50 + "|" + "b" * 50 + "|" + "c" * 50] * 38) + "/"  # a page of nearly 6,000 bytes


def begin(memory: ResultMemory, started: list[int], number: int, size: int = 48_000) -> Collection:
    return memory.begin(6_000, size, lambda: started.append(number))


def test_results_begin_in_order_as_memory_is_released() -> None:
    memory, started = ResultMemory(BytePool(100_000)), list[int]()
    results = [begin(memory, started, number) for number in range(5)]
    assert started == [0, 1][: len(started)] and len(started) < 5
    for number, result in enumerate(results):
        assert number in started
        memory.end(result)
        memory.end(result)  # a second end changes nothing
    assert started == [0, 1, 2, 3, 4] and memory.pool.used == 0 and memory.started_count == 0


def test_one_result_is_collected_whatever_the_memory() -> None:
    """Guards against results that wait for ever, since each is larger than the memory for all."""
    memory, started = ResultMemory(BytePool(10_000)), list[int]()
    results = [begin(memory, started, number) for number in range(2)]
    assert started == [0]
    memory.end(results[0])
    assert started == [0, 1]


def test_a_result_that_was_given_up_while_it_waited_is_passed_over() -> None:
    memory, started = ResultMemory(BytePool(60_000)), list[int]()
    results = [begin(memory, started, number) for number in range(3)]
    memory.end(results[1])
    memory.end(results[0])
    assert started == [0, 2]


def test_results_of_many_requests_wait_for_memory_and_are_all_served() -> None:
    """Guards against results of all open requests being held at the same time: 48,000 bytes for each."""
    world = World()
    world.engines.result_pool.capacity = 100_000
    for number in range(1, 13):
        world.run(f"c{number} query lookup r{number}")
    largest = 0
    while open_ids := {r.client_request.request_id for r in world.gateway.requests.values()}:
        for stream in list(world.engine_streams):
            requests, stream.received[:] = list(stream.received), []
            for request in requests:
                request_id = request[1].decode()
                if request[0] == b"GET":
                    world.run(f"{stream.engine} send {request_id} served count=8 {ROWS}")
                elif request[0] == b"PAGE" and request_id in open_ids:
                    world.run(f"{stream.engine} send {request_id} rows pos={request[2].decode()} {ROWS}")
                held = sum(
                    r.attempt.received_bytes()
                    for r in world.gateway.requests.values()
                    if r.attempt is not None
                )
                largest = max(largest, held)
        world.wait(10)
    assert [len(client.received) for client in world.clients.values()] == [1] * 12
    assert all(client.received[0].startswith("rows") for client in world.clients.values())
    # The first pages come unasked: one for each request.
    assert largest <= 100_000 + 12 * 6_000 and world.counters.counts["results_waiting"] > 0


def test_a_result_over_the_largest_size_ends_the_connection() -> None:
    world = World().run("c1 query lookup r1\ne1 expect GET r1 *")
    world.run(f"e1 send r1 served count=30 {ROWS}")
    for page in range(1, 30):
        if not world.engine_stream("e1").connection.is_closed:
            world.run(f"e1 send r1 rows pos={page} {ROWS}")
    assert world.engine_stream("e1").connection.is_closed
    assert world.counters.counts["engine_malformed"] == 1


def test_an_attempt_with_a_result_of_several_pages_is_released() -> None:
    """Guards against megabytes of collected results that only a garbage collection releases."""
    world = World().run(f"c1 query lookup r1\ne1 expect GET r1 *\ne1 send r1 served count=2 {ROWS}")
    gc.collect()
    gc.disable()
    try:
        assert attempts_in_memory() == 1
        world.run(f"e1 expect PAGE r1 1\ne1 send r1 rows pos=1 {ROWS}\nc1 expect rows *")
        world.wait(6000)  # the attempt's timer has passed
        assert attempts_in_memory() == 0
    finally:
        gc.enable()


def attempts_in_memory() -> int:
    return sum(isinstance(found, Attempt) for found in gc.get_objects())


CELL = st.binary(max_size=4).map(lambda cell: cell.replace(b"\t", b"").replace(b"\n", b""))


ENDS = st.sampled_from([b"", b"\n", b"x", b"\xff\t\t\n"])


@given(st.lists(st.lists(CELL, min_size=1, max_size=COLUMNS + 1)), ENDS)
def test_a_page_is_checked_as_it_would_be_decoded(rows: list[list[bytes]], end: bytes) -> None:
    page = b"".join(b"\t".join(row) + b"\n" for row in rows) + end
    try:
        decode_rows(page)
    except RespError as error:
        with pytest.raises(RespError) as caught:
            check_page(page)
        assert str(caught.value) == str(error)
    else:
        check_page(page)
