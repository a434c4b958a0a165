"""Requests of clients that have left before they are sent on, on real processes."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest

from cottonhold.emulator.platform.client import Client, encode_login, encode_query, new_request_id
from cottonhold.emulator.platform.configuration import LOAD, LOOKUP, Limits
from cottonhold.emulator.platform.site import Site, running_site

pytestmark = [pytest.mark.processes, pytest.mark.xdist_group("memory")]

STOPPED_S = 0.5
SETTLE_S = 0.5


async def open_engine_connections(site: Site) -> None:
    """Let some clients send requests, so that later requests need no new connection to an engine."""
    clients = [await Client(site.address).connect() for _ in range(5)]
    for client in clients * 4:
        await client.query(LOOKUP, new_request_id(), 4000)


def test_a_client_that_closed_while_the_process_was_stopped_has_nothing_sent(tmp_path: Path) -> None:
    """Guards against a request that is sent on 0.4 s after its client has closed its connection."""

    async def scenario() -> None:
        async with running_site(tmp_path / "site", Limits()) as site:
            await open_engine_connections(site)
            sent_before = len(site.attempts())
            site.processes[0].pause()
            for _ in range(5):
                client = await Client(site.address).open()
                client.writer.write(encode_login() + encode_query(LOAD, new_request_id(), 4000))
                client.close()
            await asyncio.sleep(STOPPED_S)
            site.processes[0].resume()
            await asyncio.sleep(SETTLE_S)
            assert site.attempts()[sent_before:] == []

    asyncio.run(asyncio.wait_for(scenario(), 60))
