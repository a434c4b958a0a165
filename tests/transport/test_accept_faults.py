"""accept and what follows it fail in the ways that Linux documents: the listener neither stops nor spins."""

from __future__ import annotations

import asyncio
import errno

import pytest

from cottonhold.transport.socket_factory import CONNECTION_ERRORS
from tests.support.faulty_sockets import ACCEPTED, OK
from tests.support.loopback import GREETED, Loopback, play

LACKING = [errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM]


@pytest.mark.parametrize("error", [*LACKING, *sorted(CONNECTION_ERRORS), errno.EINVAL])
def test_a_client_is_served_once_accept_works_again(error: int) -> None:
    async def story(rig: Loopback) -> None:
        rig.faults.plan("accept", *[error] * 3)
        client = rig.client()
        await rig.until(lambda: client.answers() == GREETED)
        assert not rig.accepting.done()

    play(story)


@pytest.mark.parametrize("error", [*LACKING, *sorted(CONNECTION_ERRORS - {errno.EINTR})])
def test_accept_that_goes_on_failing_does_not_spin(error: int, monkeypatch: pytest.MonkeyPatch) -> None:
    """Counted by pauses, not by time: at most 64 calls for each pause of the task. (EINTR does not last.)"""
    sleep, pauses = asyncio.sleep, list[float]()

    async def counted(seconds: float) -> None:
        pauses.append(seconds)
        await sleep(0)

    async def story(rig: Loopback) -> None:
        monkeypatch.setattr("cottonhold.transport.listener.asyncio.sleep", counted)
        rig.faults.always("accept", error)
        client = rig.client()
        while len([p for p in pauses if p >= 0.02]) < 10:
            rig.world.wait(0)
            await sleep(0)
        assert rig.faults.calls["accept"] <= 10 * (64 if error in CONNECTION_ERRORS else 1) + 2
        assert len(rig.log) <= 2
        rig.faults.heal("accept")
        while client.answers() != GREETED:
            rig.world.wait(0)
            await sleep(0)

    play(story)


@pytest.mark.parametrize("error", sorted(CONNECTION_ERRORS))
def test_connections_that_broke_in_the_queue_hold_nobody_up(
    error: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Those behind it must not wait 20 ms for each."""
    sleep, pauses = asyncio.sleep, list[float]()

    async def counted(seconds: float) -> None:
        pauses.append(seconds)
        await sleep(0)

    async def story(rig: Loopback) -> None:
        monkeypatch.setattr("cottonhold.transport.listener.asyncio.sleep", counted)
        rig.faults.plan("accept", *[error] * 30, OK, *[error] * 30)
        clients = [rig.client() for _ in range(2)]
        while any(client.answers() != GREETED for client in clients):
            rig.world.wait(0)
            await sleep(0)
        assert not [pause for pause in pauses if pause > 0]

    play(story)


@pytest.mark.parametrize("error", [errno.EINVAL, errno.ENOBUFS, errno.ENOMEM, errno.ENOTCONN])
@pytest.mark.parametrize("queued", [1, 3])
def test_an_option_that_can_not_be_set_costs_neither_the_client_nor_the_listener(
    error: int, queued: int
) -> None:
    async def story(rig: Loopback) -> None:
        rig.faults.plan("setsockopt", *[error] * queued, on=ACCEPTED)
        clients = [rig.client() for _ in range(queued)]
        await rig.until(lambda: all(client.answers() == GREETED for client in clients))
        last = rig.client()
        await rig.until(lambda: last.answers() == GREETED)
        assert len(rig.world.sessions.sessions) == queued + 1

    play(story)


def test_a_client_that_goes_while_its_option_fails_is_forgotten() -> None:
    async def story(rig: Loopback) -> None:
        rig.faults.plan("setsockopt", errno.EINVAL, on=ACCEPTED)
        rig.client().sock.close()
        await rig.until(lambda: rig.counts["client_connections"] == 1 and not rig.world.sessions.sessions)
        assert len(rig.faults.open) == 1 and not rig.accepting.done()  # the listener

    play(story)


@pytest.mark.parametrize("error", [*LACKING, *sorted(CONNECTION_ERRORS)])
def test_the_queue_is_emptied_before_the_listener_closes_though_accept_fails(error: int) -> None:
    """What is still in the queue would be reset, with its requests written."""

    async def story(rig: Loopback) -> None:
        rig.accepting.cancel()
        await asyncio.gather(rig.accepting, return_exceptions=True)
        clients = [rig.client() for _ in range(3)]
        rig.faults.plan("accept", error, OK, error)
        await rig.event_loop.listener.accept_queued(rig.listener, rig.world.sessions)
        rig.listener.close()
        await rig.until(lambda: all(client.answers() == GREETED for client in clients))

    play(story)


def test_a_queue_that_can_not_be_emptied_does_not_hold_the_end_for_good() -> None:
    async def story(rig: Loopback) -> None:
        rig.accepting.cancel()
        await asyncio.gather(rig.accepting, return_exceptions=True)
        rig.client()
        rig.faults.always("accept", errno.EMFILE)
        await rig.event_loop.listener.accept_queued(rig.listener, rig.world.sessions)
        assert 1 < rig.faults.calls["accept"] < 100

    play(story)
