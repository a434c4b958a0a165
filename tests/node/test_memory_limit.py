"""The memory of one process with 32 MB and 1,024 descriptors, the least and the most that the pages name.

Real processes on loopback: `run` of the deploy file, with sound clients beside hostile ones. Sound clients
get their answers throughout.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from functools import partial
from pathlib import Path
from typing import Any

import pytest

from cottonhold.emulator.platform import hostile_clients
from cottonhold.emulator.platform.configuration import Limits
from cottonhold.emulator.platform.crowd import running_crowd
from cottonhold.emulator.platform.engine import Work, Workload
from cottonhold.emulator.platform.site import Site, running_site, usual_work
from cottonhold.emulator.platform.sound_clients import SoundClients

pytestmark = [pytest.mark.processes, pytest.mark.xdist_group("fleet processes")]

LIMIT_MB = 32
LIMIT_BYTES = LIMIT_MB * 1_000_000
DURATION_S = 4.5  # the crowd needs half a second to start
SOUND_CLIENTS = 10
TIMEOUT_MS = 3000


async def play(site: Site, behaviour: partial[Any], count: int) -> Counter[str]:
    """Let `count` hostile clients beside sound ones act for some seconds; return the sound ones' answers."""
    sound = SoundClients(site.address, TIMEOUT_MS)
    with running_crowd(behaviour, count, site.address):
        await sound.run(SOUND_CLIENTS, DURATION_S)
    return sound.verdicts


def peak_memory(
    folder: Path, behaviour: partial[Any], count: int, workload: Workload
) -> tuple[int, Counter[str]]:
    """Return the peak of the process's memory in bytes, and the answers of sound clients."""

    async def scenario() -> tuple[int, Counter[str]]:
        async with running_site(folder / "site", Limits(memory_mb=LIMIT_MB), workload) as site:
            verdicts = await play(site, behaviour, count)
            assert site.processes[0].is_running()
            return site.memory.largest_one, verdicts

    return asyncio.run(asyncio.wait_for(scenario(), 60))


def check(folder: Path, behaviour: partial[Any], count: int, workload: Workload = usual_work) -> None:
    """Check that the limit holds beside hostile clients, and that each sound request is served."""
    peak, verdicts = peak_memory(folder, behaviour, count, workload)
    assert peak <= LIMIT_BYTES
    assert verdicts.keys() == {"served"}


@pytest.mark.parametrize("size", [3_000, 30_000, 65_000])
def test_memory_with_clients_that_halt_in_large_packets(tmp_path: Path, size: int) -> None:
    """Guards against the incident: 480 clients halted in packets of 64 KB took 179 MB of 32."""
    check(tmp_path, partial(hostile_clients.halt_in_packet, size=size), 480)


def test_memory_with_clients_that_write_large_requests_slowly(tmp_path: Path) -> None:
    """Guards against the incident: hundreds of clients that wrote large requests over two seconds."""
    check(tmp_path, partial(hostile_clients.write_slowly, size=60_000), 300)


def results_of(page: bytes, pages: int) -> Workload:
    """Return work whose results have this page several times."""
    return lambda class_name, request_id: Work(10.0, (page,) * pages)


LONG_ROW = b"\t".join([b"a" * 50, b"b" * 50, b"c" * 40]) + b"\n"
LARGEST_RESULT = results_of(LONG_ROW * (6000 // len(LONG_ROW)), 8)
SMALLEST_ROWS = results_of(b"\t\t\n" * 2000, 1)


@pytest.mark.parametrize("workload", [LARGEST_RESULT, SMALLEST_ROWS], ids=["long rows", "short rows"])
def test_memory_with_clients_that_never_read(tmp_path: Path, workload: Workload) -> None:
    """Guards against unread results: 300 clients that read nothing took 37 MB of 32."""
    check(tmp_path, partial(hostile_clients.never_read, count=100), 300, workload)


def test_memory_with_the_largest_results_for_all_usual_clients(tmp_path: Path) -> None:
    """Guards against the results of all open requests being collected at the same time."""

    async def scenario() -> tuple[int, Counter[str]]:
        limits = Limits(memory_mb=LIMIT_MB)
        async with running_site(tmp_path / "site", limits, LARGEST_RESULT) as site:
            sound = SoundClients(site.address, TIMEOUT_MS)
            await sound.run(limits.descriptors // 3, DURATION_S)
            return site.memory.largest_one, sound.verdicts

    peak, verdicts = asyncio.run(asyncio.wait_for(scenario(), 60))
    assert peak <= LIMIT_BYTES
    assert verdicts.keys() == {"served"}


def test_the_program_maps_no_tls_library(tmp_path: Path) -> None:
    """Guards against 5 MB of the least memory for a library that the platform's program never uses."""

    async def scenario() -> str:
        async with running_site(tmp_path / "site", Limits(memory_mb=LIMIT_MB)) as site:
            maps = Path(f"/proc/{site.processes[0].process.pid}/maps").read_text(encoding="utf-8")
            assert "uvloop" in maps
            return maps

    maps = asyncio.run(asyncio.wait_for(scenario(), 60))
    assert not any(library in maps for library in ("libssl", "libcrypto", "_ctypes"))
