"""socket and connect fail in the ways that Linux documents: it proves that nothing ran."""

from __future__ import annotations

import errno
from dataclasses import replace

import pytest

from tests.support.faulty_sockets import MADE
from tests.support.loopback import GREETED, REF, ROWS, Loopback, play
from tests.support.scenario import World

PROOFS = [
    errno.ECONNREFUSED,
    errno.ENETUNREACH,
    errno.EHOSTUNREACH,
    errno.ENETDOWN,
    errno.ETIMEDOUT,
    errno.ECONNRESET,
    errno.EACCES,
    errno.EPERM,
]
LACKING = [errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM]


@pytest.mark.parametrize("call", ["connect", "so_error"])
@pytest.mark.parametrize("error", PROOFS)
def test_a_connect_that_fails_proves_that_nothing_ran(call: str, error: int) -> None:
    """So a load goes to the other engine, once."""

    async def story(rig: Loopback) -> None:
        rig.faults.plan(call, error, on=MADE)
        client = rig.client()
        client.ask(1, "load")
        await rig.serve(1)
        await rig.until(lambda: client.answers() == ROWS)
        assert rig.asked() == [REF % 1] and rig.counts["attempts_connect_failed"] == 1
        assert rig.counts["connect_failed"] == 1

    play(story, engines=2)


@pytest.mark.parametrize("error", [errno.EAGAIN, errno.EINTR])
def test_a_connect_that_seems_to_be_under_way_is_looked_at(error: int) -> None:
    """EINTR leaves it under way; EAGAIN has not begun it, and its socket is as writable as one that is up."""

    async def story(rig: Loopback) -> None:
        rig.faults.plan("connect", error, on=MADE)
        client = rig.client()
        client.ask(1, "load")
        await rig.serve(1)
        await rig.until(lambda: client.answers() == ROWS)
        assert rig.asked() == [REF % 1]
        assert rig.counts["attempts_connect_failed"] == (error == errno.EAGAIN)

    play(story, engines=2)


@pytest.mark.parametrize("error", PROOFS)
def test_where_no_connect_succeeds_the_client_is_told_that_it_never_ran(error: int) -> None:
    async def story(rig: Loopback) -> None:
        rig.faults.always("connect", error, on=MADE)
        client = rig.client()
        client.ask(1, "load")
        await rig.until(lambda: rig.counts["connect_failed"] >= 1)
        await rig.pass_ms(5000)
        await rig.until(lambda: len(client.answers()) > 2)
        assert client.answers() == [*GREETED, "error 1226"] and not rig.asked()

    play(story, engines=2)


@pytest.mark.parametrize(
    ("call", "error"),
    [
        *(("socket", error) for error in LACKING),
        ("connect", errno.EADDRNOTAVAIL),
        ("setsockopt", errno.ENOBUFS),
    ],
)
def test_an_engine_is_not_blamed_for_what_lacks_here(call: str, error: int) -> None:
    """Without a free descriptor no engine may be reported as unreachable."""

    async def story(rig: Loopback) -> None:
        rig.event_loop.connector.timeout_s = 5.0  # however slow the machine is
        rig.faults.plan(call, error, error, error, on=MADE)
        client = rig.client()
        client.ask(1, "load")
        await rig.serve(1)
        await rig.until(lambda: client.answers() == ROWS)
        assert rig.asked() == [REF % 1] and rig.counts["attempts_connect_failed"] == 0
        assert rig.counts["engine_connections"] == 1 and rig.counts["connections_lacking"] == 3

    play(story, engines=2)


@pytest.mark.parametrize("error", LACKING)
def test_what_lacks_for_good_is_told_as_never_run_and_does_not_spin(error: int) -> None:
    async def story(rig: Loopback) -> None:
        rig.event_loop.connector.timeout_s = 0.1
        rig.faults.always("socket", error, on=MADE)
        client = rig.client()
        client.ask(1, "load")
        await rig.until(lambda: rig.counts["connect_failed"] == 1)
        await rig.turn()
        assert (rig.counts["attempts_full"], rig.counts["attempts_connect_failed"]) == (1, 0)
        assert not rig.world.gateway.scheduler.engines["e0"].ejection_reason
        assert 2 <= rig.faults.calls["socket"] <= 8  # the listener's, and one each 20 ms
        await rig.pass_ms(5000)
        await rig.until(lambda: len(client.answers()) > 2)
        assert client.answers() == [*GREETED, "error 1226"] and not rig.asked()

    play(story)


def test_engines_are_not_blamed_where_all_places_for_connections_are_taken() -> None:
    """None may be taken for dead, nor peers be told so."""
    world = World()
    world.engines.max_connections, world.engines.settings = 1, replace(world.engines.settings, max_streams=1)
    world.run("c1 query lookup r1\ne1 expect GET r1 *\nc2 query lookup r2\nany nothing\ntime wait 100")
    assert world.counters.counts["engine_connections_lacking"]
    assert not [e.id for e in world.gateway.scheduler.engines.values() if e.ejection_reason], world.log
    world.run("e1 send r1 served count=1 a|b|c/\nc1 expect rows a|b|c\ntime wait 1000")
    assert world.clients["c2"].received or any(line.received for line in world.engine_streams)
