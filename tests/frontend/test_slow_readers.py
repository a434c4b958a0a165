"""Memory per client is bounded, even if it does not read, stops within a packet or sends all at once.

A session holds unanswered input, unwritten output, and the output of the stream's write in progress.
"""

from __future__ import annotations

import itertools
from collections.abc import Iterator

import pytest

from cottonhold.frontend.mysql_session import Session
from tests.support.scenario import LOGIN, World, packet

MAX_SESSION_BYTES = 240 * 1024  # including the longest result while it is written
ROWS = "/".join(["a" * 50 + "|" + "b" * 50 + "|" + "c" * 50] * 38) + "/"  # a page of nearly 6,000 bytes
PING = packet(0, b"\x0e")
LONG = packet(0, b"\x03SELECT " + b"x" * 4000)
PARTS = {
    "pings one by one": [PING],
    "pings by sixteen": [PING * 16],
    "pings at once": [PING * 800],
    "invalid queries": [packet(0, b"\x03SELECT 1") * 10],
    "long queries": [LONG],
    "half a packet": [(64 * 1024).to_bytes(3, "little") + b"\x00" + bytes(60 * 1024)],
    "packets in small pieces": [PING[:3], PING[3:] + PING[:2], PING[2:]],
    "packets too large": [b"\xff\xff\xff\x00" + bytes(4000)],
}


def buffered_bytes(session: Session) -> int:
    """Return the size of a session's buffers, in bytes."""
    waiting = sum(len(payload) for _, payload, _ in session.commands)
    return len(session.buffer) + waiting + len(session.output)


def repeated(parts: list[bytes]) -> Iterator[bytes]:
    return itertools.islice(itertools.cycle(parts), 30_000)


@pytest.mark.parametrize("parts", PARTS.values(), ids=PARTS)
def test_memory_of_a_client_that_never_reads_is_bounded(parts: list[bytes]) -> None:
    """Up to the limit it is served; then its connection is closed or its commands wait."""
    world = World()
    session, max_buffered_bytes = world.sessions.open(), 0
    session.receive(packet(1, LOGIN))
    output_bytes = 0
    for number, part in enumerate(repeated(parts)):
        session.receive(part)
        max_buffered_bytes = max(max_buffered_bytes, buffered_bytes(session))
        output_bytes = max(output_bytes, len(session.pop_output())) if number == 100 else output_bytes
        if session.is_closing:
            break
        if number % 1000 == 0:
            world.wait(0)
    assert output_bytes + max_buffered_bytes < MAX_SESSION_BYTES
    world.wait(1500.0)
    assert session.is_closing and not world.counters.counts["action_faults"]


def test_pipelined_queries_wait_until_earlier_results_are_read() -> None:
    """Of sixteen pipelined queries, each is accepted only after the earlier results have been written."""
    world = World().run(
        "c1 query lookup r1\ne1 expect GET r1 *\ne1 send r1 served count=1 a|b|c/\nc1 expect rows *"
    )
    session = world.clients.pop("c1").session
    text = "/* service=lookup,ref=%016x,allow=5000 */ SELECT a FROM s_7.t"
    session.receive(b"".join(packet(0, b"\x03" + (text % n).encode()) for n in range(16, 32)))
    world.wait(0)
    served = 0
    while requests := [
        (stream, elements[1])
        for stream in world.engine_streams
        for elements in stream.received
        if elements[0] == b"GET"
    ]:
        stream, request_id = requests[0]
        stream.received.clear()
        world.run(f"{stream.engine} send {request_id.decode()} served count=8 {ROWS}")
        for page in range(1, 8):
            world.run(f"{stream.engine} send {request_id.decode()} rows pos={page} {ROWS}")
        served += 1
        assert buffered_bytes(session) < MAX_SESSION_BYTES / 2
    assert served == 1 and len(session.commands) == 15 and not session.is_closing
    while session.pop_output():  # once the client reads, the next query is accepted
        world.wait(0)
    assert (
        len([1 for stream in world.engine_streams for elements in stream.received if elements[0] == b"GET"])
        == 1
    )
