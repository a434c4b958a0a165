"""A request id that comes again: after its client has left, and at the other process of an upgrade."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Awaitable, Callable
from pathlib import Path

import pytest

from cottonhold.emulator.platform.client import Client, Verdict, encode_query, new_request_id
from cottonhold.emulator.platform.configuration import LOAD, LOOKUP, Limits
from cottonhold.emulator.platform.engine import Work
from cottonhold.emulator.platform.site import Site, running_site

pytestmark = [pytest.mark.processes, pytest.mark.xdist_group("fleet processes")]

WORK_MS = 600.0
SENT_S = 0.2  # after this time a request has reached its engine


def run(folder: Path, scenario: Callable[[Site], Awaitable[None]]) -> None:
    async def play() -> None:
        limits, workload = Limits(), lambda class_name, request_id: Work(WORK_MS)
        async with running_site(folder / "site", limits, workload, engine_count=1) as site:
            await scenario(site)

    asyncio.run(asyncio.wait_for(play(), 60))


async def send_and_leave(site: Site, class_name: str, request_id: str) -> None:
    """Send a request, and close the connection once an engine has it."""
    client = await Client(site.address).connect()
    client.writer.write(encode_query(class_name, request_id, 4000))
    await asyncio.sleep(SENT_S)
    assert [attempt.request_id for attempt in site.attempts()].count(request_id) == 1
    client.close()


def times_sent(site: Site, request_id: str) -> int:
    return sum(attempt.request_id == request_id for attempt in site.attempts())


def test_a_load_that_comes_again_after_its_client_has_left_is_not_sent_again(tmp_path: Path) -> None:
    """Guards against a load that runs twice under one id."""

    async def scenario(site: Site) -> None:
        request_id = new_request_id()
        await send_and_leave(site, LOAD, request_id)
        for pause_s in (0.0, 0.3, 1.0):
            await asyncio.sleep(pause_s)
            answer = await (await Client(site.address).connect()).query(LOAD, request_id, 3000)
            assert answer.verdict is Verdict.FAILED
        assert times_sent(site, request_id) == 1

    run(tmp_path, scenario)


def test_a_lookup_may_come_again_after_its_client_has_left(tmp_path: Path) -> None:
    async def scenario(site: Site) -> None:
        request_id = new_request_id()
        await send_and_leave(site, LOOKUP, request_id)
        await asyncio.sleep(0.1)
        answer = await (await Client(site.address).connect()).query(LOOKUP, request_id, 3000)
        assert answer.verdict is Verdict.SERVED

    run(tmp_path, scenario)


@pytest.mark.parametrize("class_name", [LOAD, LOOKUP])
def test_a_request_that_the_older_process_has_out_is_not_sent_by_the_newer(
    tmp_path: Path, class_name: str
) -> None:
    """Guards against a request that two processes of an upgrade run at the same time."""

    async def scenario(site: Site) -> None:
        client = await Client(site.address).connect()
        await site.start_process()
        request_id = new_request_id()
        client.writer.write(encode_query(class_name, request_id, 4000))
        await asyncio.sleep(SENT_S)
        answer = await (await Client(site.address).connect()).query(class_name, request_id, 3000)
        assert answer.verdict is Verdict.FAILED
        assert (await client.read_answer()).verdict is Verdict.SERVED
        assert times_sent(site, request_id) == 1

    run(tmp_path, scenario)


def test_a_load_of_a_process_that_has_ended_is_not_sent_again_by_its_successor(tmp_path: Path) -> None:
    async def scenario(site: Site) -> None:
        request_id = new_request_id()
        await send_and_leave(site, LOAD, request_id)
        await site.start_process()
        old = site.processes[0]
        old.signal(signal.SIGTERM)
        while old.is_running():
            await asyncio.sleep(0.05)
        await asyncio.sleep(0.5)
        answer = await (await Client(site.address).connect()).query(LOAD, request_id, 3000)
        assert answer.verdict is Verdict.FAILED and times_sent(site, request_id) == 1

    run(tmp_path, scenario)
