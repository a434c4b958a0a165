"""Errors of accept and of socket options that Linux documents neither stop the listener nor make it spin."""

from __future__ import annotations

import asyncio
import errno

import pytest

from cottonhold.transport.socket_factory import CONNECTION_ERRORS
from tests.support.faulty_sockets import ACCEPTED, OK
from tests.support.loopback import GREETED, Loopback, run_scenario

RESOURCE_ERRORS = [errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM]


@pytest.mark.parametrize("error", [*RESOURCE_ERRORS, *sorted(CONNECTION_ERRORS), errno.EINVAL])
def test_a_client_is_served_after_accept_errors(error: int) -> None:
    async def scenario(loopback: Loopback) -> None:
        loopback.faults.plan("accept", *[error] * 3)
        client = loopback.client()
        await loopback.until(lambda: client.responses() == GREETED)
        assert not loopback.accepting.done()

    run_scenario(scenario)


@pytest.mark.parametrize("error", [*RESOURCE_ERRORS, *sorted(CONNECTION_ERRORS - {errno.EINTR})])
def test_a_lasting_accept_error_does_not_spin(error: int, monkeypatch: pytest.MonkeyPatch) -> None:
    """At most 64 calls are made for each pause of the task. EINTR is left out, since it does not last."""
    sleep, pauses = asyncio.sleep, list[float]()

    async def recording_sleep(seconds: float) -> None:
        pauses.append(seconds)
        await sleep(0)

    async def scenario(loopback: Loopback) -> None:
        monkeypatch.setattr("cottonhold.transport.listener.asyncio.sleep", recording_sleep)
        loopback.faults.always("accept", error)
        client = loopback.client()
        while len([pause for pause in pauses if pause >= 0.02]) < 10:
            loopback.world.wait(0)
            await sleep(0)
        assert loopback.faults.calls["accept"] <= 10 * (64 if error in CONNECTION_ERRORS else 1) + 2
        assert len(loopback.log) <= 2
        loopback.faults.heal("accept")
        while client.responses() != GREETED:
            loopback.world.wait(0)
            await sleep(0)

    run_scenario(scenario)


@pytest.mark.parametrize("error", sorted(CONNECTION_ERRORS))
def test_broken_queued_connections_delay_no_other_client(error: int, monkeypatch: pytest.MonkeyPatch) -> None:
    """Clients queued after broken connections must not wait 20 ms for each of them."""
    sleep, pauses = asyncio.sleep, list[float]()

    async def recording_sleep(seconds: float) -> None:
        pauses.append(seconds)
        await sleep(0)

    async def scenario(loopback: Loopback) -> None:
        monkeypatch.setattr("cottonhold.transport.listener.asyncio.sleep", recording_sleep)
        loopback.faults.plan("accept", *[error] * 30, OK, *[error] * 30)
        clients = [loopback.client() for _ in range(2)]
        while any(client.responses() != GREETED for client in clients):
            loopback.world.wait(0)
            await sleep(0)
        assert not [pause for pause in pauses if pause > 0]

    run_scenario(scenario)


@pytest.mark.parametrize("error", [errno.EINVAL, errno.ENOBUFS, errno.ENOMEM, errno.ENOTCONN])
@pytest.mark.parametrize("queued", [1, 3])
def test_a_failing_socket_option_costs_neither_the_client_nor_the_listener(error: int, queued: int) -> None:
    async def scenario(loopback: Loopback) -> None:
        loopback.faults.plan("setsockopt", *[error] * queued, on=ACCEPTED)
        clients = [loopback.client() for _ in range(queued)]
        await loopback.until(lambda: all(client.responses() == GREETED for client in clients))
        last = loopback.client()
        await loopback.until(lambda: last.responses() == GREETED)
        assert len(loopback.world.sessions.sessions) == queued + 1

    run_scenario(scenario)


def test_a_client_that_leaves_while_its_option_fails_is_forgotten() -> None:
    async def scenario(loopback: Loopback) -> None:
        loopback.faults.plan("setsockopt", errno.EINVAL, on=ACCEPTED)
        loopback.client().sock.close()
        await loopback.until(
            lambda: loopback.counts["client_connections"] == 1 and not loopback.world.sessions.sessions
        )
        assert len(loopback.faults.open) == 1 and not loopback.accepting.done()  # only the listener

    run_scenario(scenario)


@pytest.mark.parametrize("error", [*RESOURCE_ERRORS, *sorted(CONNECTION_ERRORS)])
def test_queued_clients_are_accepted_before_the_listener_closes_though_accept_fails(error: int) -> None:
    """Connections left in the queue would be reset, although their clients may have sent requests."""

    async def scenario(loopback: Loopback) -> None:
        loopback.accepting.cancel()
        await asyncio.gather(loopback.accepting, return_exceptions=True)
        clients = [loopback.client() for _ in range(3)]
        loopback.faults.plan("accept", error, OK, error)
        await loopback.event_loop.listener.accept_queued(loopback.listener, loopback.world.sessions)
        loopback.listener.close()
        await loopback.until(lambda: all(client.responses() == GREETED for client in clients))

    run_scenario(scenario)


def test_a_queue_that_cannot_be_accepted_does_not_block_the_shutdown() -> None:
    async def scenario(loopback: Loopback) -> None:
        loopback.accepting.cancel()
        await asyncio.gather(loopback.accepting, return_exceptions=True)
        loopback.client()
        loopback.faults.always("accept", errno.EMFILE)
        await loopback.event_loop.listener.accept_queued(loopback.listener, loopback.world.sessions)
        assert 1 < loopback.faults.calls["accept"] < 100

    run_scenario(scenario)
