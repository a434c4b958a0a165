"""Clients that don't read, stop in mid-packet or send all at once cost little memory each.

What is held for one is what it sent and is not answered yet, what waits to be written, and as much again that
the stream took to write last.
"""

from __future__ import annotations

import itertools
from collections.abc import Iterator

import pytest

from cottonhold.frontend.mysql_session import Session
from tests.support.scenario import LOGIN, World, packet

MOST_OF_ONE = 240 * 1024  # bytes, with the longest result under way
ROWS = "/".join(["a" * 50 + "|" + "b" * 50 + "|" + "c" * 50] * 38) + "/"  # a page of nearly 6,000 bytes
PING = packet(0, b"\x0e")
LONG = packet(0, b"\x03SELECT " + b"x" * 4000)
PARTS = {
    "pings one by one": [PING],
    "pings by sixteen": [PING * 16],
    "pings at once": [PING * 800],
    "queries that can't be used": [packet(0, b"\x03SELECT 1") * 10],
    "long queries": [LONG],
    "half a packet": [(64 * 1024).to_bytes(3, "little") + b"\x00" + bytes(60 * 1024)],
    "packets in small pieces": [PING[:3], PING[3:] + PING[:2], PING[2:]],
    "packets too large": [b"\xff\xff\xff\x00" + bytes(4000)],
}


def held(session: Session) -> int:
    """The bytes that a session holds."""
    waiting = sum(len(payload) for _, payload, _ in session.commands)
    return len(session.buffer) + waiting + len(session.output)


def repeated(parts: list[bytes]) -> Iterator[bytes]:
    return itertools.islice(itertools.cycle(parts), 30_000)


@pytest.mark.parametrize("parts", PARTS.values(), ids=PARTS)
def test_one_that_never_reads(parts: list[bytes]) -> None:
    """It is served up to the bound, and from then on told to go or not read on."""
    world = World()
    session, most = world.sessions.open(), 0
    session.receive(packet(1, LOGIN))
    taken = 0
    for number, part in enumerate(repeated(parts)):
        session.receive(part)
        most = max(most, held(session))
        taken = max(taken, len(session.take_output())) if number == 100 else taken
        if session.is_closing:
            break
        if number % 1000 == 0:
            world.wait(0)
    assert taken + most < MOST_OF_ONE
    world.wait(1500.0)
    assert session.is_closing and not world.counters.counts["action_faults"]


def test_results_that_nobody_reads() -> None:
    """Sixteen queries at once: each next one is taken only once the results before have been written."""
    world = World().run(
        "c1 query lookup r1\ne1 expect GET r1 *\ne1 send r1 served count=1 a|b|c/\nc1 expect rows *"
    )
    session = world.clients.pop("c1").session
    text = "/* service=lookup,ref=%016x,allow=5000 */ SELECT a FROM s_7.t"
    session.receive(b"".join(packet(0, b"\x03" + (text % n).encode()) for n in range(16, 32)))
    world.wait(0)
    served = 0
    while asked := [
        (line, words[1]) for line in world.engine_streams for words in line.received if words[0] == b"GET"
    ]:
        line, ref = asked[0]
        line.received.clear()
        world.run(f"{line.engine} send {ref.decode()} served count=8 {ROWS}")
        for page in range(1, 8):
            world.run(f"{line.engine} send {ref.decode()} rows pos={page} {ROWS}")
        served += 1
        assert held(session) < MOST_OF_ONE / 2
    assert served == 1 and len(session.commands) == 15 and not session.is_closing
    while session.take_output():  # once it reads, the next one is taken
        world.wait(0)
    assert len([1 for line in world.engine_streams for words in line.received if words[0] == b"GET"]) == 1
