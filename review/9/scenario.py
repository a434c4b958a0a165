"""Loads of one key come while a crowd idles: is the load that was taken first also run first?"""

from __future__ import annotations

import asyncio
import secrets
import subprocess
import sys
import time
from pathlib import Path

from rig import Answer, Client, Record, RecordingEngine, Rig, Verdict, Work, has_trouble, run_case

from cottonhold.emulator.platform.client import encode_login, encode_query, new_request_id
from cottonhold.emulator.platform.configuration import LOAD, LOOKUP, Limits

CROWD, CROWD_PROCESSES, CROWD_S = 4500, 3, 10.0
DESCRIPTORS = 256  # the least that the pages name
DEADLINE_MS = 10_000
LOAD_MS, LOOKUP_MS = 300.0, 3.0
GAP_S = 0.252  # at least 0.25 s after a request that came on a new connection
PAIRS, INTERVAL_S = 16, 0.4


def work(class_name: str, request_id: str) -> Work:
    """Return the work of a request."""
    return Work(LOAD_MS if class_name == LOAD else LOOKUP_MS)


class Pair:
    """Two loads of one key: the first on a new connection, the second on one that is in use."""

    def __init__(self, rig: Rig) -> None:
        self.rig = rig
        self.key = secrets.token_hex(8)
        self.first, self.second = new_request_id(), new_request_id()
        self.first_sent_at = self.second_sent_at = self.first_answered_at = 0.0
        self.first_answer: Answer | None = None

    async def run(self, first_after_s: float) -> None:
        """Keep the connection of the second load in use until its time has come."""
        client = await Client(self.rig.address).connect()
        first = asyncio.create_task(self.send_first(first_after_s))
        while not self.first_sent_at or time.monotonic() < self.first_sent_at + GAP_S:
            answer = await client.query(LOOKUP, new_request_id(), 3000)
            if answer.verdict is Verdict.NONE:
                self.rig.record.write(f"client: the connection for {self.second} has ended")
                await first
                return
        client.writer.write(encode_query(LOAD, self.second, DEADLINE_MS, self.key))
        self.second_sent_at = time.monotonic()
        self.rig.record.write(f"client: sent load {self.second}, key {self.key}, on a used connection")
        answer = await client.read_answer()
        self.rig.record.write(f"client: {self.second} {answer.verdict.value} {answer.text}")
        client.close()
        await first

    async def send_first(self, after_s: float) -> None:
        """Send the first load on a new connection."""
        await asyncio.sleep(after_s)
        client = await Client(self.rig.address).open()
        client.writer.write(encode_login() + encode_query(LOAD, self.first, DEADLINE_MS, self.key))
        self.first_sent_at = time.monotonic()
        self.rig.record.write(f"client: sent load {self.first}, key {self.key}, on a new connection")
        try:
            await client.read_login_answer()
            self.first_answer = await client.read_answer()
        except (OSError, asyncio.IncompleteReadError) as error:
            self.rig.record.write(f"client: {self.first} {type(error).__name__}")
            return
        self.first_answered_at = time.monotonic()
        self.rig.record.write(
            f"client: {self.first} {self.first_answer.verdict.value} {self.first_answer.text}"
        )
        client.close()


async def scenario(record: Record) -> list[str]:
    """Let pairs of loads come while the crowd idles, and look in which order they ran."""
    engines = [RecordingEngine(f"s-{number}", "z0", 0, work) for number in range(4)]
    rig = Rig(record, engines, limits=Limits(descriptors=DESCRIPTORS), deadline_ms=DEADLINE_MS)
    crowd: list[subprocess.Popen[bytes]] = []
    try:
        await rig.start()
        pairs = [Pair(rig) for _ in range(PAIRS)]
        tasks = [asyncio.create_task(pair.run(1.5 + at * INTERVAL_S)) for at, pair in enumerate(pairs)]
        await asyncio.sleep(0.5)
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
    """Return the loads that began while an earlier one of their key had no answer yet and then ran."""
    lines = []
    for pair in pairs:
        first, second = rig.runs(pair.first), rig.runs(pair.second)
        if not first or not second or pair.first_answer is None:
            continue
        apart_ms = (pair.second_sent_at - pair.first_sent_at) * 1000
        if second[0][0] < first[0][0]:
            before_ms = (first[0][0] - second[0][0]) * 1000
            lines.append(
                f"key {pair.key}: load {pair.second}, sent {apart_ms:.0f} ms after {pair.first}, "
                f"began {before_ms:.0f} ms before it"
            )
    return lines


if __name__ == "__main__":
    run_case(Path(__file__).parent, scenario)
