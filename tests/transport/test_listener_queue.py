"""Requests that wait in the listener's queue: their time counts from their arrival, and the wait is short."""

from __future__ import annotations

import asyncio
import errno

import pytest

from cottonhold.frontend.eviction import (
    EVICTABLE_AFTER_MS,
    HALTED_EVICTABLE_AFTER_MS,
    MAX_QUEUE_WAIT_MS,
    MIN_EVICTABLE_AFTER_MS,
    QueuePressure,
)
from cottonhold.transport import tcp_info
from tests.support.loopback import GREETED, Loopback, run_scenario
from tests.support.scenario import World, packet

WAIT_S = 0.15  # how long a request waits in the queue, by the system's clock
TIMER_RESOLUTION_MS = 20.0  # of the system's record of the last data
LATE_ANSWER_MS = 500.0  # time after a request's own time in which it must still get its answer
DESCRIPTORS = 64  # 30 of them for clients
CROWD = 200
HALF_LOGIN = packet(1, bytes(80))[:5]


def join_crowd(loopback: Loopback, data: bytes) -> None:
    """Let a crowd of clients connect, send this, and stop."""
    for _ in range(CROWD):
        loopback.client(data)


def test_a_requests_time_counts_from_its_arrival_in_the_listeners_queue() -> None:
    """Guards against a second grant of the time for which a request waited to be accepted."""

    async def scenario(loopback: Loopback) -> None:
        await loopback.stop_accepting()
        client = loopback.client()
        client.send_query(1, allow=5000)
        await asyncio.sleep(WAIT_S)
        accepted_at = loopback.world.clock.now()
        loopback.start_accepting()
        await loopback.until(lambda: bool(loopback.world.gateway.requests))
        (request,) = loopback.world.gateway.requests.values()
        age_ms = accepted_at - request.client_request.arrived_at
        assert 1000 * WAIT_S - TIMER_RESOLUTION_MS < age_ms < 1000 * WAIT_S + 1000
        await loopback.serve(1)
        await loopback.until(client.finished)

    run_scenario(scenario)


@pytest.mark.parametrize("name", ["lookup", "load"])
@pytest.mark.parametrize("age_ms", [280, 300, 1700])
def test_a_request_that_is_read_after_its_time_is_rejected_immediately_and_not_sent(
    name: str, age_ms: float
) -> None:
    """Guards against a load that runs after its time, whose client has stopped waiting."""
    world = World()
    world.client("c1").data_age_ms = age_ms
    world.run(f"c1 query {name} r1 allow=300\nc1 expect error 1226 *\nany nothing there")


def test_an_engine_is_told_what_the_client_has_left_after_the_wait_in_the_queue() -> None:
    world = World()
    world.client("c1").data_age_ms = 1000.0
    world.run("c1 query lookup r1 allow=3000\ntime wait 1")
    (stream,) = [stream for stream in world.engine_streams if stream.received]
    assert 0 < int(stream.received[0][2].split(b"ms=")[1].split(b",")[0]) <= 2000


@pytest.mark.parametrize("max_sessions", [30, 8], ids=["alone", "in an upgrade"])
@pytest.mark.parametrize("data", [HALF_LOGIN, b""], ids=["halted", "silent"])
def test_a_client_behind_a_crowd_that_halts_is_accepted_soon(
    data: bytes, max_sessions: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against requests that wait in the queue until their time is over.

    Each round of the crowd used to keep all places for 0.4 s.
    """
    sleep = asyncio.sleep

    async def scenario(loopback: Loopback) -> None:
        monkeypatch.setattr("cottonhold.transport.listener.asyncio.sleep", lambda _: sleep(0))
        await loopback.stop_accepting()
        join_crowd(loopback, data)
        client = loopback.client()
        loopback.world.sessions.max_sessions = max_sessions
        loopback.start_accepting()
        started_at = loopback.world.clock.now()
        while client.responses() != GREETED:
            await loopback.pass_ms(1)
        assert loopback.world.clock.now() - started_at < LATE_ANSWER_MS

    run_scenario(scenario, sockets=DESCRIPTORS)


@pytest.mark.parametrize("is_closing", [False, True], ids=["serving", "closing"])
def test_lacking_descriptors_are_taken_from_a_crowd_that_halts(
    is_closing: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a queue that stands still, or is reset, since accept fails although clients could go."""
    sleep = asyncio.sleep

    async def scenario(loopback: Loopback) -> None:
        monkeypatch.setattr("cottonhold.transport.listener.asyncio.sleep", lambda _: sleep(0))
        join_crowd(loopback, HALF_LOGIN)
        sessions = loopback.world.sessions.sessions
        await loopback.until(lambda: len(sessions) == CROWD)
        await loopback.pass_ms(int(MAX_QUEUE_WAIT_MS) + 20)
        loopback.faults.plan("accept", errno.EMFILE)
        await loopback.stop_accepting()
        client = loopback.client()
        if is_closing:
            await loopback.event_loop.listener.accept_queued(loopback.listener, loopback.world.sessions)
        else:
            loopback.start_accepting()
        await loopback.until(lambda: client.responses() == GREETED)
        await loopback.until(lambda: len(sessions) < CROWD)
        assert loopback.counts["clients_pushed_out_halted"] > 0

    run_scenario(scenario, sockets=1024)


def test_the_silence_that_is_allowed_follows_from_the_queue() -> None:
    pressure = QueuePressure()
    assert pressure.evictable_after_ms(100) == float("inf")
    for queued, max_sessions, expected_ms in [
        (1, 100, MAX_QUEUE_WAIT_MS),
        (100, 100, MAX_QUEUE_WAIT_MS),
        (101, 100, MAX_QUEUE_WAIT_MS / 2),
        (512, 122, MAX_QUEUE_WAIT_MS / 5),
        (512, 8, MIN_EVICTABLE_AFTER_MS),
    ]:
        pressure.on_queued(queued)
        pressure.on_queued(0)  # the longest queue counts until it is empty
        assert pressure.evictable_after_ms(max_sessions) == expected_ms
        pressure.on_empty()
    assert MIN_EVICTABLE_AFTER_MS < EVICTABLE_AFTER_MS < MAX_QUEUE_WAIT_MS < HALTED_EVICTABLE_AFTER_MS


def test_without_the_systems_information_nothing_is_assumed(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario(loopback: Loopback) -> None:
        loopback.client()
        assert tcp_info.queued_connections(loopback.listener) == 1
        loopback.faults.always("tcp_info", errno.ENOPROTOOPT)
        assert tcp_info.queued_connections(loopback.listener) == 0
        client = loopback.client()
        client.send_query(1)
        await loopback.serve(1)
        await loopback.until(client.finished)
        assert tcp_info.last_data_age_ms(loopback.listener) == 0
        monkeypatch.setattr(tcp_info, "MAX_AGE_MS", -1.0)
        assert tcp_info.last_data_age_ms(client.sock) == 0

    run_scenario(scenario)
