"""The program on a machine whose wall clock is off: a cold engine, a warm one, and what each is told."""

from __future__ import annotations

import asyncio
import os
import socket
import sys
import time
from pathlib import Path

import pytest

from cottonhold.backend.resp import decode_fields, encode_array
from cottonhold.emulator.engine import StandInEngine
from tests.node.test_small_parts import CONFIG, ENTRY, write
from tests.support.scenario import LOGIN, packet

PROGRAM = """
import itertools, sys, time
from cottonhold.emulator.fault_injection.instance import shift
wrong, step = map(float, sys.argv[1:])
shift(wrong)
wall, read = time.time, itertools.count()
time.time = lambda: wall() + (step if next(read) else 0.0)  # stepped once it has been read
from cottonhold.__main__ import main
sys.argv[1:] = []
sys.exit(main())
"""
HOUR, DAY = 3600.0, 86_400.0
ALLOW_MS, WORK_MS, CLIENTS = 1900, 100, 200
RULES = CONFIG["settings"]["obligations"]
CORES = CONFIG["settings"]["domain"]["size_cores"][0]
# What the cold budget lets through in its window, which the clients' time does not outlast.
COLD = RULES["overload_factor"] * RULES["cold_from"] * CORES * RULES["tip_after"] / WORK_MS
assert RULES["tip_after"] > ALLOW_MS


class Listening(StandInEngine):
    """An engine that notes how long each request says that it will be waited for, and is done in a tenth of
    the work that it tells: so a busy machine decides nothing."""

    def __init__(self) -> None:
        super().__init__("s-1", WORK_MS / 10)
        self.told: list[int] = []

    def _take(
        self, words: list[bytes], writer: asyncio.StreamWriter, open_here: dict[bytes, asyncio.TimerHandle]
    ) -> None:
        if words[0] == b"GET":
            self.told.append(int(decode_fields(words[2])["ms"]))
        super()._take(words, writer, open_here)

    def _done(
        self, ref: bytes, writer: asyncio.StreamWriter, open_here: dict[bytes, asyncio.TimerHandle]
    ) -> None:
        del open_here[ref]
        fields = f"count=1,ticks={WORK_MS},footprint=1".encode()
        writer.write(encode_array(ref, b"served", fields, b"s-1\ta\tok\n"))


Streams = tuple[asyncio.StreamReader, asyncio.StreamWriter]


async def connect(port: int, program: asyncio.subprocess.Process) -> Streams:
    """A connection to the dispatcher, which may not be there yet."""
    while program.returncode is None:
        try:
            return await asyncio.open_connection("127.0.0.1", port)
        except OSError:
            await asyncio.sleep(0.01)
    raise AssertionError("the program has ended")


async def ask(streams: Streams, number: int) -> bytes:
    """One request on a connection: all that is answered, up to the end of the result or an error."""
    reader, writer = streams
    fields = f"service=lookup,ref={number:016x},allow={ALLOW_MS},effort={WORK_MS}.0,room=1"
    writer.write(packet(1, LOGIN) + packet(0, f"\x03/* {fields} */ SELECT a FROM s_7.t".encode()))
    got = b""
    while got.count(b"\xfe\x00\x00\x02\x00") < 2 and b"\xff" not in got and (data := await reader.read(4096)):
        got += data
    writer.close()
    return got if b"\xff" in got or got.count(b"\xfe\x00\x00\x02\x00") == 2 else b""


async def play(
    folder: Path, wrong_s: float, age_s: float, step_s: float = 0.0, leaves: bool = False
) -> Listening:
    """Many requests in one moment, by way of a program whose wall clock is off, to an engine of some age.

    step_s: the clock is stepped in service. leaves: it is told to end as soon as the first request is out.
    """
    engine = Listening()
    ports = []
    for _ in range(2):
        with socket.create_server(("127.0.0.1", 0)) as spare:
            ports.append(spare.getsockname()[1])
    await engine.start("127.0.0.1", ports[0])
    started = int((time.time() - age_s) * 1000)
    entry = {**ENTRY, "hostPort": f"127.0.0.1:{ports[0]}", "machineType": "a", "startedAtMs": started}
    known = {"offset": 1, "batch": [{"offset": 1, "topology": {"instances": [entry]}}]}
    environ = write(folder, listen=f"127.0.0.1:{ports[1]}", known=known)
    program = await asyncio.create_subprocess_exec(
        sys.executable,
        "-c",
        PROGRAM,
        str(wrong_s),
        str(step_s),
        env={**os.environ, **environ},
        stderr=asyncio.subprocess.DEVNULL,
    )
    try:
        open_now = await asyncio.gather(*(connect(ports[1], program) for _ in range(CLIENTS)))
        asked = [asyncio.create_task(ask(streams, number)) for number, streams in enumerate(open_now)]
        if leaves:
            while not engine.told:
                await asyncio.sleep(0)
            program.terminate()
            assert await program.wait() == 0
        assert all(await asyncio.gather(*asked)) and (leaves or program.returncode is None)
    finally:
        if program.returncode is None:
            program.kill()
            await program.wait()
        await engine.stop()
    return engine


@pytest.mark.parametrize("wrong_s", [0.0, 5.0, -5.0, HOUR, -HOUR])
def test_warm_up_budget_and_deadlines_hold_whatever_the_wall_clock_shows(
    tmp_path: Path, wrong_s: float
) -> None:
    engine = asyncio.run(play(tmp_path, wrong_s, age_s=0.0))
    assert 1 <= len(engine.told) <= COLD
    assert all(0 < ms <= ALLOW_MS for ms in engine.told)


@pytest.mark.parametrize("wrong_s", [0.0, 5.0, -5.0, HOUR, -HOUR])
def test_an_engine_started_a_day_ago_is_not_limited(tmp_path: Path, wrong_s: float) -> None:
    engine = asyncio.run(play(tmp_path, wrong_s, age_s=DAY))
    assert len(engine.told) > COLD
    assert all(0 < ms <= ALLOW_MS for ms in engine.told)


@pytest.mark.parametrize("step_s", [5.0, -5.0, HOUR, -HOUR])
def test_shutdown_answers_every_request_however_the_wall_clock_is_stepped(
    tmp_path: Path, step_s: float
) -> None:
    asyncio.run(play(tmp_path, 0.0, DAY, step_s, leaves=True))
