"""A new engine at the address of one that has gone, on real processes."""

from __future__ import annotations

import asyncio
import time
from pathlib import Path

import pytest

from cottonhold.emulator.platform.bus import GONE, READY, entry
from cottonhold.emulator.platform.configuration import Limits
from cottonhold.emulator.platform.engine import Engine, Work
from cottonhold.emulator.platform.site import Site, running_site
from cottonhold.emulator.platform.sound_clients import SoundClients

pytestmark = [pytest.mark.processes, pytest.mark.xdist_group("fleet processes")]

TELL_S = 0.6  # time from an event to its effect, the 0.5 s of the rule and 0.05 s of slack included


def workload(class_name: str, request_id: str) -> Work:
    return Work(40.0)


async def replace_engine(site: Site, old: Engine) -> Engine:
    """End an engine, and start another one at its address that the event bus tells at once."""
    port = old.port
    await old.stop()
    new = Engine("s-new", workload)
    await new.listen(port)
    site.engines.append(new)
    site.bus.publish(entry(new.id, new.address(), READY, int(time.time() * 1000)))
    return new


def test_an_engine_that_has_gone_gets_no_work_at_its_successors_address(tmp_path: Path) -> None:
    """Guards against a cold engine that gets the work of the warm one whose address it has.

    The event bus tells the new engine first and the end of the old one later. In between, two ids have one
    address; the new process must get the work of its own id only, on one connection.
    """

    async def scenario() -> None:
        async with running_site(tmp_path / "site", Limits(), workload, engine_count=2) as site:
            await SoundClients(site.address, 3000).run(5, 0.5)
            new = await replace_engine(site, site.engines[0])
            await asyncio.sleep(TELL_S)
            clients = SoundClients(site.address, 3000)
            traffic = asyncio.create_task(clients.run(20, 3.0))
            await asyncio.sleep(2.0)
            site.bus.publish(entry("s-0", new.address(), GONE))
            await traffic
            assert len({connection for _, connection in new.received_on}) == 1
            assert clients.verdicts.keys() == {"served"}

    asyncio.run(asyncio.wait_for(scenario(), 60))
