"""Requests of clients that have left before they are sent on, on real processes."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from pathlib import Path

import pytest

from cottonhold.emulator.platform.client import (
    COM_QUERY,
    Client,
    encode_login,
    encode_packet,
    encode_query,
    new_request_id,
)
from cottonhold.emulator.platform.configuration import LOAD, LOOKUP, Limits
from cottonhold.emulator.platform.engine import Work, Workload
from cottonhold.emulator.platform.site import Site, running_site

pytestmark = [pytest.mark.processes, pytest.mark.xdist_group("fleet processes")]

STOPPED_S = 0.5
FIRST_LOAD_MS = 400.0
KEY = "00000000000000aa"
SETTLE_S = 0.5


async def open_engine_connections(site: Site) -> None:
    """Let some clients send requests, so that later requests need no new connection to an engine."""
    clients = [await Client(site.address).connect() for _ in range(5)]
    for client in clients * 4:
        await client.query(LOOKUP, new_request_id(), 4000)


def leave_by_close(client: Client) -> None:
    client.close()


def leave_by_reset(client: Client) -> None:
    client.reset_at_close()
    client.close()


@pytest.mark.parametrize("leave", [leave_by_close, leave_by_reset])
@pytest.mark.parametrize("count", [1, 3])
def test_a_client_that_closed_while_the_process_was_stopped_has_nothing_sent(
    tmp_path: Path, leave: Callable[[Client], None], count: int
) -> None:
    """Guards against a request that is sent on 0.4 s after its client has closed its connection."""

    async def scenario() -> None:
        async with running_site(tmp_path / "site", Limits()) as site:
            await open_engine_connections(site)
            sent_before = len(site.attempts())
            site.processes[0].pause()
            for _ in range(5):
                client = await Client(site.address).open()
                requests = [encode_query(LOAD, new_request_id(), 4000) for _ in range(count)]
                client.writer.write(encode_login() + b"".join(requests))
                leave(client)
            await asyncio.sleep(STOPPED_S)
            site.processes[0].resume()
            await asyncio.sleep(SETTLE_S)
            assert site.attempts()[sent_before:] == []

    asyncio.run(asyncio.wait_for(scenario(), 60))


async def hold_behind_another(site: Site) -> Client:
    """Send two loads of one key; return the client of the second, which waits for the first."""
    first, second = [await Client(site.address).connect() for _ in range(2)]
    for client in (first, second):
        client.writer.write(encode_query(LOAD, new_request_id(), 4000, key=KEY))
        await asyncio.sleep(0.1)
    return second


async def kill_query(site: Site, client: Client) -> None:
    other = await Client(site.address).open()
    other.writer.write(encode_login() + encode_packet(COM_QUERY + b"KILL QUERY %d" % client.connection_id))


async def close_connection(site: Site, client: Client) -> None:
    client.close()


@pytest.mark.parametrize("leave", [kill_query, close_connection])
@pytest.mark.parametrize("left_after_ms", [0.0, FIRST_LOAD_MS + 200.0], ids=["before", "after"])
def test_a_held_request_whose_client_left_while_the_process_was_stopped_is_not_sent(
    tmp_path: Path, leave: Callable[[Site, Client], Awaitable[None]], left_after_ms: float
) -> None:
    """Guards against an engine's answer that is read first, and lets go a load that its client cancelled."""

    async def scenario() -> None:
        workload = work_of(FIRST_LOAD_MS)
        async with running_site(tmp_path / "site", Limits(), workload, engine_count=1) as site:
            await open_engine_connections(site)
            sent_before = len(site.attempts())
            client = await hold_behind_another(site)
            site.processes[0].pause()
            await asyncio.sleep(left_after_ms / 1000)
            await leave(site, client)
            await asyncio.sleep((FIRST_LOAD_MS - left_after_ms) / 1000 + STOPPED_S)
            site.processes[0].resume()
            await asyncio.sleep(SETTLE_S)
            assert len(site.attempts()) == sent_before + 1

    asyncio.run(asyncio.wait_for(scenario(), 60))


def work_of(duration_ms: float) -> Workload:
    return lambda class_name, request_id: Work(duration_ms if class_name == LOAD else 5.0)
