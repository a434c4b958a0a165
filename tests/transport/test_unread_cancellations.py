"""A load that was cancelled is not sent while its KILL QUERY waits in the listener's queue."""

from __future__ import annotations

import asyncio
import errno

import pytest

from cottonhold.scheduler.unread_cancellations import CANCELLATION_LIMIT_MS, MAX_HOLD_MS, has_to_wait
from tests.support.loopback import GREETED, REQUEST_ID, Client, Loopback, run_scenario
from tests.support.scenario import LOGIN, packet

DESCRIPTORS = 64
CLIENT_QUOTA = 30  # places for clients, and in the queue
HALF_LOGIN = packet(1, bytes(80))[:5]
LATE_MS = int(CANCELLATION_LIMIT_MS) + 20


def send_load(client: Client, number: int) -> None:
    text = f"/* service=load,ref={number:016x},allow=5000,lookup=k1 */ INSERT INTO s_7.t VALUES (1)"
    client.sock.send(packet(0, b"\x03" + text.encode()))


def connection_id(client: Client) -> int:
    """Return the id from the greeting, which follows the server's version."""
    at = client.buffer.index(b"\0", 5) + 1
    return int.from_bytes(client.buffer[at : at + 4], "little")


def was_sent(loopback: Loopback, number: int) -> bool:
    return REQUEST_ID % number in loopback.request_ids()


async def stop_accepting(loopback: Loopback) -> None:
    loopback.accepting.cancel()
    await asyncio.gather(loopback.accepting, return_exceptions=True)


def start_accepting(loopback: Loopback) -> None:
    listener = loopback.event_loop.listener
    loopback.accepting = loopback.event_loop.spawn(
        listener.accept(loopback.listener, loopback.world.sessions)
    )


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
    await stop_accepting(loopback)
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
        start_accepting(loopback)
        await loopback.until(lambda: killer.responses() == [*GREETED, "ok"])
        await loopback.pass_ms(int(MAX_HOLD_MS))
        assert second.responses() == [*GREETED, "error 1317"]
        assert not was_sent(loopback, 2) and not loopback.world.gateway.requests

    run_scenario(scenario)


def test_a_load_is_sent_once_the_new_connections_are_read() -> None:
    async def scenario(loopback: Loopback) -> None:
        _, second = await queue_behind(loopback)
        loopback.client(b"")
        await loopback.pass_ms(LATE_MS)
        await loopback.serve(1)
        await loopback.pass_ms(LATE_MS)
        assert not was_sent(loopback, 2)
        start_accepting(loopback)
        await loopback.pass_ms(20)
        await loopback.serve(2)
        await loopback.until(second.finished)

    run_scenario(scenario)


def test_a_queue_that_stands_still_holds_a_load_for_a_limited_time() -> None:
    async def scenario(loopback: Loopback) -> None:
        _, second = await queue_behind(loopback)
        loopback.client(b"")
        await loopback.pass_ms(LATE_MS)
        await loopback.serve(1)
        await loopback.pass_ms(int(MAX_HOLD_MS) + 20)
        await loopback.serve(2)
        await loopback.until(second.finished)

    run_scenario(scenario)


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
        await stop_accepting(loopback)
        for _ in range(CLIENT_QUOTA - 1):
            loopback.client(data)
        client = loopback.client()
        start_accepting(loopback)
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
    assert has_to_wait(late, late, 0.0)
    assert not has_to_wait(CANCELLATION_LIMIT_MS, late, 0.0)  # a client cancels after it has sent its request
    assert not has_to_wait(late, CANCELLATION_LIMIT_MS, 0.0)
    assert not has_to_wait(late, late, MAX_HOLD_MS)
