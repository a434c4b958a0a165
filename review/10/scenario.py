"""Clients cancel while a crowd idles: does a cancelled load begin more than 0.1 s after its KILL QUERY?"""

from __future__ import annotations

import asyncio
import secrets
import subprocess
import sys
import time
from pathlib import Path

from rig import Client, Record, RecordingEngine, Rig, Verdict, Work, has_trouble, run_case

from cottonhold.emulator.platform.client import (
    COM_QUERY,
    encode_login,
    encode_packet,
    encode_query,
    new_request_id,
)
from cottonhold.emulator.platform.configuration import LOAD, Limits

CROWD, CROWD_PROCESSES, CROWD_S = 4500, 3, 8.0
DESCRIPTORS = 256  # the least that the pages name
DEADLINE_MS = 10_000
FIRST_RUN_MS = 200.0
GONE_S = 0.15  # 0.1 s, and 50 ms as for every time limit on sockets
PAIRS = 20
RUN_MS: dict[str, float] = {}


def work(class_name: str, request_id: str) -> Work:
    """Return the work of a load."""
    return Work(RUN_MS.get(request_id, FIRST_RUN_MS))


class Pair:
    """Two loads of one key; the client of the second stops waiting while the first still runs."""

    def __init__(self, rig: Rig) -> None:
        self.rig = rig
        self.key = secrets.token_hex(8)
        self.first, self.second = new_request_id(), new_request_id()
        self.cancelled_at = 0.0
        self.was_killed = False  # whether KILL QUERY was answered with OK

    async def run(self, first_ms: float, cancel_after_s: float) -> None:
        """Send both loads, and cancel the second one."""
        rig = self.rig
        RUN_MS[self.first] = first_ms
        clients = [await Client(rig.address).connect() for _ in range(2)]
        started = time.monotonic()
        clients[0].writer.write(encode_query(LOAD, self.first, DEADLINE_MS, self.key))
        rig.record.write(f"client: sent load {self.first}, key {self.key}")
        await asyncio.sleep(0.3)
        clients[1].writer.write(encode_query(LOAD, self.second, DEADLINE_MS, self.key))
        rig.record.write(f"client: sent load {self.second}, key {self.key}")
        reading = asyncio.create_task(clients[0].read_answer())
        await asyncio.sleep(started + cancel_after_s - time.monotonic())
        await self.cancel(clients[1])
        answer = await reading
        rig.record.write(f"client: {self.first} {answer.verdict.value} {answer.text}")
        clients[0].close()

    async def cancel(self, client: Client) -> None:
        """Send KILL QUERY on a new session, and close the own connection half a second later."""
        killer = await Client(self.rig.address).open()
        statement = encode_packet(COM_QUERY + b"KILL QUERY %d" % client.connection_id)
        killer.writer.write(encode_login() + statement)
        self.cancelled_at = time.monotonic()
        self.rig.record.write(f"client: KILL QUERY for {self.second} written")
        reading = asyncio.create_task(self.read_result(killer))
        await asyncio.sleep(0.5)
        client.close()
        await reading

    async def read_result(self, killer: Client) -> None:
        """Read the answer to KILL QUERY."""
        try:
            await asyncio.wait_for(killer.read_login_answer(), 5)
            answer = await asyncio.wait_for(killer.read_answer(), 5)
            self.was_killed = answer.verdict is Verdict.OK
            self.rig.record.write(
                f"client: KILL QUERY for {self.second}: {answer.verdict.value} {answer.text}"
            )
        except (OSError, asyncio.IncompleteReadError, TimeoutError) as error:
            self.rig.record.write(f"client: KILL QUERY for {self.second}: {type(error).__name__}")
        killer.close()


async def scenario(record: Record) -> list[str]:
    """Let pairs of loads run while the crowd idles, and look when the cancelled ones began."""
    engines = [RecordingEngine(f"s-{number}", "z0", 0, work) for number in range(4)]
    rig = Rig(record, engines, limits=Limits(descriptors=DESCRIPTORS), deadline_ms=DEADLINE_MS)
    crowd: list[subprocess.Popen[bytes]] = []
    try:
        await rig.start()
        pairs = [Pair(rig) for _ in range(PAIRS)]
        # All loads are sent before the crowd comes. The first loads end one after another, each 0.2 s after
        # the client of the second one has cancelled it.
        tasks = [
            asyncio.create_task(pair.run(2000 + number * 250, 1.8 + number * 0.25))
            for number, pair in enumerate(pairs)
        ]
        await asyncio.sleep(1.2)
        if has_trouble():
            record.write(f"trouble: {CROWD} clients connect and idle")
            part = str(CROWD // CROWD_PROCESSES)
            command = [sys.executable, "review/lib2/idle_crowd.py", rig.address, part, str(CROWD_S)]
            crowd = [subprocess.Popen(command) for _ in range(CROWD_PROCESSES)]
        await asyncio.gather(*tasks)
        rig.record_runs()
        return broken(rig, pairs)
    finally:
        for process in crowd:
            process.kill()
            process.wait()
        await rig.close()


def broken(rig: Rig, pairs: list[Pair]) -> list[str]:
    """Return the loads that began too late after their client had cancelled them."""
    lines = []
    for pair in pairs:
        for at, engine, state in rig.runs(pair.second):
            if pair.was_killed and at > pair.cancelled_at + GONE_S:
                after_ms = (at - pair.cancelled_at) * 1000
                text = f"load {pair.second} began at {engine.id} {after_ms:.0f} ms after KILL QUERY ({state})"
                lines.append(text)
    return lines


if __name__ == "__main__":
    run_case(Path(__file__).parent, scenario)
