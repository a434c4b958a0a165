"""A load that was cancelled is not sent while its KILL QUERY waits in the listener's queue."""

from __future__ import annotations

import asyncio
import errno
from collections.abc import Callable

import pytest

from cottonhold.backend.connection import HOLD_CHECK_MS
from cottonhold.scheduler.unread_cancellations import CANCELLATION_LIMIT_MS, has_to_wait
from tests.support.loopback import GREETED, REQUEST_ID, Client, Loopback, run_scenario
from tests.support.scenario import LOGIN, FakeTimer, World, packet

DESCRIPTORS = 64
CLIENT_QUOTA = 30  # places for clients, and in the queue
HALF_LOGIN = packet(1, bytes(80))[:5]
LATE_MS = int(CANCELLATION_LIMIT_MS) + 20
MAX_DELAY_MS = 250.0  # the longest time of a connect in the world of these tests


def send_load(client: Client, number: int) -> None:
    text = f"/* service=load,ref={number:016x},allow=5000,lookup=k1 */ INSERT INTO s_7.t VALUES (1)"
    client.sock.send(packet(0, b"\x03" + text.encode()))


def connection_id(client: Client) -> int:
    """Return the id from the greeting, which follows the server's version."""
    at = client.buffer.index(b"\0", 5) + 1
    return int.from_bytes(client.buffer[at : at + 4], "little")


def was_sent(loopback: Loopback, number: int) -> bool:
    return REQUEST_ID % number in loopback.request_ids()


async def queue_behind(loopback: Loopback) -> tuple[Client, Client]:
    """Let a load run, and a second one of its key wait; then stop accepting."""
    listener = loopback.event_loop.listener
    listener.clock = loopback.world.clock
    loopback.world.gateway.max_unread_ms = listener.max_wait_ms
    first, second = loopback.client(), loopback.client()
    send_load(first, 1)
    await loopback.until(lambda: was_sent(loopback, 1))
    send_load(second, 2)
    await loopback.until(lambda: len(loopback.world.gateway.requests) == 2)
    await loopback.until(lambda: second.responses() == GREETED)
    await loopback.stop_accepting()
    return first, second


def test_a_cancelled_load_waits_until_its_kill_query_is_read() -> None:
    """Guards against an attempt of a load whose cancellation waits behind other new connections."""

    async def scenario(loopback: Loopback) -> None:
        _, second = await queue_behind(loopback)
        loopback.client(b"")
        kill = packet(0, b"\x03KILL QUERY %d" % connection_id(second))
        killer = loopback.client(packet(1, LOGIN) + kill)
        await loopback.pass_ms(LATE_MS)
        await loopback.serve(1)
        await loopback.pass_ms(LATE_MS)
        assert not was_sent(loopback, 2) and loopback.counts["attempts_held"] == 1
        loopback.start_accepting()
        await loopback.until(lambda: killer.responses() == [*GREETED, "ok"])
        await loopback.pass_ms(int(MAX_DELAY_MS))
        assert second.responses() == [*GREETED, "error 1317"]
        assert not was_sent(loopback, 2) and not loopback.world.gateway.requests

    run_scenario(scenario)


@pytest.mark.parametrize("is_read", [True, False], ids=["the queue is read", "the queue stands still"])
def test_a_held_load_is_sent_once_the_queue_is_read_or_a_connect_would_have_ended(is_read: bool) -> None:
    """Guards against loads that starve behind a queue, or begin too late for their budgets."""

    async def scenario(loopback: Loopback) -> None:
        _, second = await queue_behind(loopback)
        loopback.client(b"")
        await loopback.pass_ms(LATE_MS)
        await loopback.serve(1)
        await loopback.pass_ms(LATE_MS)
        assert not was_sent(loopback, 2)
        if is_read:
            loopback.start_accepting()
        await loopback.pass_ms(20 if is_read else int(MAX_DELAY_MS) - LATE_MS + 20)
        await loopback.serve(2)
        await loopback.until(second.finished)

    run_scenario(scenario)


def test_held_attempts_of_a_connection_share_one_timer() -> None:
    """Guards against timers that multiply with each attempt that is held and each write meanwhile."""
    world, checks = World(engines="a"), list[float]()
    call_in = world.clock.call_in

    def recording_call_in(ms: float, action: Callable[[], None]) -> FakeTimer:
        checks.extend([ms] * (ms == HOLD_CHECK_MS))
        return call_in(ms, action)

    world.clock.call_in = recording_call_in  # type: ignore[method-assign]
    world.gateway.max_unread_ms = lambda: 2.0 * LATE_MS
    for number in range(1, 9):
        world.client(f"c{number}").data_age_ms = float(LATE_MS)
        world.run(f"c{number} query lookup r{number}\nany nothing there")
    world.wait(100.0)
    assert len(checks) <= 100 / HOLD_CHECK_MS + 1 and world.counters.counts["attempts_held"] == 8
    world.wait(MAX_DELAY_MS)
    (engine,) = [stream for stream in world.engine_streams if stream.received]
    assert len(engine.received) == 8


def test_a_held_load_whose_time_ends_was_not_started() -> None:
    """Guards against an engine that counts as unreachable, since an attempt waited for other reasons."""

    async def scenario(loopback: Loopback) -> None:
        _, second = await queue_behind(loopback)
        loopback.client(b"")
        await loopback.pass_ms(LATE_MS)
        loopback.world.gateway.max_unread_ms = lambda: 2 * LATE_MS
        await loopback.serve(1)
        await loopback.until(lambda: loopback.counts["attempts_held"] == 1)
        loopback.world.gateway.begin_shutdown(loopback.world.clock.now() + 50)
        await loopback.pass_ms(100)
        assert loopback.counts["attempts_moot"] == 1
        assert not loopback.counts["attempts_connect_failed"] and not was_sent(loopback, 2)
        await loopback.until(lambda: len(second.responses()) > len(GREETED))

    run_scenario(scenario)


@pytest.mark.parametrize("data", [HALF_LOGIN, b""], ids=["halted", "silent"])
def test_a_client_behind_a_full_queue_is_accepted_in_the_time_of_a_cancellation(
    data: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a KILL QUERY that waits in the queue for longer than it may take."""
    sleep = asyncio.sleep

    async def scenario(loopback: Loopback) -> None:
        monkeypatch.setattr("cottonhold.transport.listener.asyncio.sleep", lambda _: sleep(0))
        for _ in range(CLIENT_QUOTA):
            loopback.client(data)
        await loopback.until(lambda: len(loopback.world.sessions.sessions) == CLIENT_QUOTA)
        await loopback.stop_accepting()
        for _ in range(CLIENT_QUOTA - 1):
            loopback.client(data)
        client = loopback.client()
        loopback.start_accepting()
        started_at = loopback.world.clock.now()
        while client.responses() != GREETED:
            await loopback.pass_ms(1)
        assert loopback.world.clock.now() - started_at < CANCELLATION_LIMIT_MS

    run_scenario(scenario, sockets=DESCRIPTORS)


def test_a_broken_connection_of_the_queue_counts_as_read() -> None:
    async def scenario(loopback: Loopback) -> None:
        listener = loopback.event_loop.listener
        await loopback.run_once()
        accepted = listener.progress.accepted_count
        loopback.faults.plan("accept", errno.ECONNABORTED)
        client = loopback.client()
        await loopback.until(lambda: client.responses() == GREETED)
        assert listener.progress.accepted_count == accepted + 2

    run_scenario(scenario)


def test_when_an_attempt_has_to_wait() -> None:
    late = CANCELLATION_LIMIT_MS + 1
    assert has_to_wait(late, late, 0.0, MAX_DELAY_MS)
    assert not has_to_wait(
        CANCELLATION_LIMIT_MS, late, 0.0, MAX_DELAY_MS
    )  # no cancellation precedes a request
    assert not has_to_wait(late, CANCELLATION_LIMIT_MS, 0.0, MAX_DELAY_MS)
    assert not has_to_wait(late, late, MAX_DELAY_MS, MAX_DELAY_MS)
