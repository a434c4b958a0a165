"""Errors of socket and connect that Linux documents: each proves that the request did not run."""

from __future__ import annotations

import errno
from dataclasses import replace

import pytest

from tests.support.faulty_sockets import MADE
from tests.support.loopback import GREETED, REQUEST_ID, ROWS, Loopback, run_scenario
from tests.support.scenario import World

CONNECT_ERRORS = [
    errno.ECONNREFUSED,
    errno.ENETUNREACH,
    errno.EHOSTUNREACH,
    errno.ENETDOWN,
    errno.ETIMEDOUT,
    errno.ECONNRESET,
    errno.EACCES,
    errno.EPERM,
]
RESOURCE_ERRORS = [errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM]


@pytest.mark.parametrize("call", ["connect", "so_error"])
@pytest.mark.parametrize("error", CONNECT_ERRORS)
def test_a_failed_connect_proves_that_nothing_ran(call: str, error: int) -> None:
    """Therefore even a load is retried on the other engine, where it runs once."""

    async def scenario(loopback: Loopback) -> None:
        loopback.faults.plan(call, error, on=MADE)
        client = loopback.client()
        client.send_query(1, "load")
        await loopback.serve(1)
        await loopback.until(lambda: client.responses() == ROWS)
        assert loopback.request_ids() == [REQUEST_ID % 1] and loopback.counts["attempts_connect_failed"] == 1
        assert loopback.counts["connect_failed"] == 1

    run_scenario(scenario, engines=2)


@pytest.mark.parametrize("error", [errno.EAGAIN, errno.EINTR])
def test_a_connect_in_progress_is_verified(error: int) -> None:
    """After EINTR the connect is in progress; after EAGAIN it has not started, but the socket is writable."""

    async def scenario(loopback: Loopback) -> None:
        loopback.faults.plan("connect", error, on=MADE)
        client = loopback.client()
        client.send_query(1, "load")
        await loopback.serve(1)
        await loopback.until(lambda: client.responses() == ROWS)
        assert loopback.request_ids() == [REQUEST_ID % 1]
        assert loopback.counts["attempts_connect_failed"] == (error == errno.EAGAIN)

    run_scenario(scenario, engines=2)


@pytest.mark.parametrize("error", CONNECT_ERRORS)
def test_a_request_is_rejected_as_never_run_where_no_connect_succeeds(error: int) -> None:
    async def scenario(loopback: Loopback) -> None:
        loopback.faults.always("connect", error, on=MADE)
        client = loopback.client()
        client.send_query(1, "load")
        await loopback.until(lambda: loopback.counts["connect_failed"] >= 1)
        await loopback.pass_ms(5000)
        await loopback.until(lambda: len(client.responses()) > 2)
        assert client.responses() == [*GREETED, "error 1226"] and not loopback.request_ids()

    run_scenario(scenario, engines=2)


@pytest.mark.parametrize(
    ("call", "error"),
    [
        *(("socket", error) for error in RESOURCE_ERRORS),
        ("connect", errno.EADDRNOTAVAIL),
        ("setsockopt", errno.ENOBUFS),
    ],
)
def test_an_engine_is_not_blamed_for_a_lack_of_local_resources(call: str, error: int) -> None:
    """If this process lacks a descriptor or port, no engine may be reported as unreachable."""

    async def scenario(loopback: Loopback) -> None:
        loopback.event_loop.connector.timeout_s = 5.0  # long enough for a slow machine
        loopback.faults.plan(call, error, error, error, on=MADE)
        client = loopback.client()
        client.send_query(1, "load")
        await loopback.serve(1)
        await loopback.until(lambda: client.responses() == ROWS)
        assert loopback.request_ids() == [REQUEST_ID % 1] and loopback.counts["attempts_connect_failed"] == 0
        assert loopback.counts["engine_connections"] == 1 and loopback.counts["connections_lacking"] == 3

    run_scenario(scenario, engines=2)


@pytest.mark.parametrize("error", RESOURCE_ERRORS)
def test_a_lasting_lack_of_resources_is_a_rejection_and_does_not_spin(error: int) -> None:
    async def scenario(loopback: Loopback) -> None:
        loopback.event_loop.connector.timeout_s = 0.1
        loopback.faults.always("socket", error, on=MADE)
        client = loopback.client()
        client.send_query(1, "load")
        await loopback.until(lambda: loopback.counts["connect_failed"] == 1)
        await loopback.run_once()
        assert (loopback.counts["attempts_full"], loopback.counts["attempts_connect_failed"]) == (1, 0)
        assert not loopback.world.gateway.scheduler.engines["e0"].ejection_reason
        assert 2 <= loopback.faults.calls["socket"] <= 8  # one for the listener, then one every 20 ms
        await loopback.pass_ms(5000)
        await loopback.until(lambda: len(client.responses()) > 2)
        assert client.responses() == [*GREETED, "error 1226"] and not loopback.request_ids()

    run_scenario(scenario)


def test_engines_are_not_blamed_when_all_connections_are_in_use() -> None:
    """No engine may be reported as unreachable, neither locally nor to peers."""
    world = World()
    world.engines.max_connections, world.engines.settings = 1, replace(world.engines.settings, max_streams=1)
    world.run("c1 query lookup r1\ne1 expect GET r1 *\nc2 query lookup r2\nany nothing\ntime wait 100")
    assert world.counters.counts["engine_connections_lacking"]
    assert not [e.id for e in world.gateway.scheduler.engines.values() if e.ejection_reason], world.log
    world.run("e1 send r1 served count=1 a|b|c/\nc1 expect rows a|b|c\ntime wait 1000")
    assert world.clients["c2"].received or any(line.received for line in world.engine_streams)
