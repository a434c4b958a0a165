"""The dispatcher on a machine with a wrong wall clock: budgets for cold and warm engines, sent timeouts."""

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
from cottonhold.emulator.process_fleet import free_ports
from tests.node.test_small_parts import CONFIG, ENTRY, write
from tests.support.scenario import LOGIN, packet

PROGRAM = """
import itertools, sys, time
from cottonhold.emulator.fault_injection.instance import shift_wall_clock
wrong, step = map(float, sys.argv[1:])
shift_wall_clock(wrong)
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
# Number of requests that the cold engine's budget permits in its window, which is longer than clients wait.
WARM_UP_BUDGET = RULES["overload_factor"] * RULES["cold_from"] * CORES * RULES["tip_after"] / WORK_MS
assert RULES["tip_after"] > ALLOW_MS


class RecordingEngine(StandInEngine):
    """An engine that records the timeout of each request.

    It needs only a tenth of the time that it reports as work, so a busy test machine does not affect results.
    """

    def __init__(self) -> None:
        super().__init__("s-1", WORK_MS / 10)
        self.timeouts_ms: list[int] = []

    def _on_call(
        self, call: list[bytes], writer: asyncio.StreamWriter, open_here: dict[bytes, asyncio.TimerHandle]
    ) -> None:
        if call[0] == b"GET":
            self.timeouts_ms.append(int(decode_fields(call[2])["ms"]))
        super()._on_call(call, writer, open_here)

    def _finish(
        self, request_id: bytes, writer: asyncio.StreamWriter, open_here: dict[bytes, asyncio.TimerHandle]
    ) -> None:
        del open_here[request_id]
        fields = f"count=1,ticks={WORK_MS},footprint=1".encode()
        writer.write(encode_array(request_id, b"served", fields, b"s-1\ta\tok\n"))


Streams = tuple[asyncio.StreamReader, asyncio.StreamWriter]


async def connect(port: int, program: asyncio.subprocess.Process) -> Streams:
    """Connect to the dispatcher; retry until it listens."""
    while program.returncode is None:
        try:
            return await asyncio.open_connection("127.0.0.1", port)
        except OSError:
            await asyncio.sleep(0.01)
    raise AssertionError("the program has ended")


async def send_query(streams: Streams, number: int) -> bytes:
    """Send one request and return the complete result or the error; empty if the response is incomplete."""
    reader, writer = streams
    fields = f"service=lookup,ref={number:016x},allow={ALLOW_MS},effort={WORK_MS}.0,room=1"
    writer.write(packet(1, LOGIN) + packet(0, f"\x03/* {fields} */ SELECT a FROM s_7.t".encode()))
    received = b""
    while (
        received.count(b"\xfe\x00\x00\x02\x00") < 2
        and b"\xff" not in received
        and (data := await reader.read(4096))
    ):
        received += data
    writer.close()
    return received if b"\xff" in received or received.count(b"\xfe\x00\x00\x02\x00") == 2 else b""


async def run_queries(
    folder: Path, clock_error_s: float, age_s: float, step_s: float = 0.0, shuts_down: bool = False
) -> RecordingEngine:
    """Send many simultaneous requests to one engine through a dispatcher with a wrong wall clock.

    Args:
        folder: The folder for the configuration file.
        clock_error_s: Error of the dispatcher's wall clock at its start, in s.
        age_s: Time since the engine's start, in s.
        step_s: Step of the wall clock after the start, in s.
        shuts_down: Whether the dispatcher gets SIGTERM once the first request is in flight.
    """
    engine = RecordingEngine()
    ports = free_ports(2, socket.SOCK_STREAM)
    await engine.start("127.0.0.1", ports[0])
    started = int((time.time() - age_s) * 1000)
    entry = {**ENTRY, "hostPort": f"127.0.0.1:{ports[0]}", "machineType": "a", "startedAtMs": started}
    known = {"offset": 1, "batch": [{"offset": 1, "topology": {"instances": [entry]}}]}
    environ = write(folder, listen=f"127.0.0.1:{ports[1]}", known=known)
    program = await asyncio.create_subprocess_exec(
        sys.executable,
        "-c",
        PROGRAM,
        str(clock_error_s),
        str(step_s),
        env={**os.environ, **environ},
        stderr=asyncio.subprocess.DEVNULL,
    )
    try:
        connections = await asyncio.gather(*(connect(ports[1], program) for _ in range(CLIENTS)))
        queries = [
            asyncio.create_task(send_query(streams, number)) for number, streams in enumerate(connections)
        ]
        if shuts_down:
            while not engine.timeouts_ms:
                await asyncio.sleep(0)
            program.terminate()
            assert await program.wait() == 0
        assert all(await asyncio.gather(*queries)) and (shuts_down or program.returncode is None)
    finally:
        if program.returncode is None:
            program.kill()
            await program.wait()
        await engine.stop()
    return engine


@pytest.mark.parametrize("clock_error_s", [0.0, 5.0, -5.0, HOUR, -HOUR])
def test_warm_up_budget_and_deadlines_do_not_depend_on_the_wall_clock(
    tmp_path: Path, clock_error_s: float
) -> None:
    engine = asyncio.run(run_queries(tmp_path, clock_error_s, age_s=0.0))
    assert 1 <= len(engine.timeouts_ms) <= WARM_UP_BUDGET
    assert all(0 < ms <= ALLOW_MS for ms in engine.timeouts_ms)


@pytest.mark.parametrize("clock_error_s", [0.0, 5.0, -5.0, HOUR, -HOUR])
def test_an_engine_started_a_day_ago_is_not_limited(tmp_path: Path, clock_error_s: float) -> None:
    engine = asyncio.run(run_queries(tmp_path, clock_error_s, age_s=DAY))
    assert len(engine.timeouts_ms) > WARM_UP_BUDGET
    assert all(0 < ms <= ALLOW_MS for ms in engine.timeouts_ms)


@pytest.mark.parametrize("step_s", [5.0, -5.0, HOUR, -HOUR])
def test_shutdown_answers_every_request_however_the_wall_clock_is_stepped(
    tmp_path: Path, step_s: float
) -> None:
    asyncio.run(run_queries(tmp_path, 0.0, DAY, step_s, shuts_down=True))
