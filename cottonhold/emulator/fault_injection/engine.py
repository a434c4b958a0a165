"""An emulated engine as a process: servers, a queue, a cold start, and faults.

    python -m cottonhold.emulator.fault_injection.engine '{"id": "a0", "port": 0, "ledger": "a0.jsonl", ...}'

With `--waits` in place of the settings, it reads them from the first line of standard input. It prints the
port on which it listens. Each further line of standard input is a JSON object with traits to change. Each
line of its log is a JSON array: [seconds of the monotonic clock, event, request id, details...].
"""

from __future__ import annotations

import asyncio
import json
import math
import random
import re
import sys
import time
from collections import deque
from dataclasses import dataclass
from io import TextIOWrapper
from typing import Any

import uvloop

from cottonhold.backend.resp import RespError, encode_array
from cottonhold.emulator.fault_injection.engine_traits import EngineTraits, decode_traits
from cottonhold.emulator.fault_injection.parent_death_signal import WAIT_FOR_SETTINGS, read_settings
from cottonhold.emulator.serving import engine_calls

LOAD_KEY = re.compile(rb"'(k\d+)', (\d+)")  # the key and the number of a load, in its statement
DATA_SET = re.compile(rb"sales_\d+")


class DataSetCache:
    """The data sets that an engine has in memory, with the time of their last read, in ms."""

    def __init__(self) -> None:
        self.read_at: dict[bytes, float] = {}

    def read(self, name: bytes, traits: EngineTraits, now: float) -> bool:
        """Return whether a data set was warm, and make it warm until it expires or others displace it."""
        is_warm = now - self.read_at.pop(name, -math.inf) <= traits.data_set_expiry_ms
        self.read_at[name] = now
        while len(self.read_at) > traits.warm_data_sets:
            del self.read_at[next(iter(self.read_at))]
        return is_warm


@dataclass(slots=True, eq=False)
class Job:
    """A request that runs or waits at an engine."""

    request_id: bytes
    writer: asyncio.StreamWriter
    work_ms: float
    data_set: bytes = b""
    timer: asyncio.TimerHandle | None = None


class FaultyEngine:
    """One engine, whose traits can change while it runs."""

    def __init__(self, engine_id: str, log: TextIOWrapper, traits: EngineTraits, seed: int) -> None:
        self.id, self.log, self.traits = engine_id, log, traits
        self.random, self.started_at = random.Random(seed), time.monotonic()
        self.running: dict[tuple[int, bytes], Job] = {}
        self.waiting: deque[Job] = deque()
        self.recent_work: deque[tuple[float, float]] = deque()  # arrival time, and work in ms
        self.is_overloaded = False  # never reset
        self.data_sets = DataSetCache()

    def write_log(self, event: str, request_id: bytes = b"", *details: object) -> None:
        """Write a line of the log."""
        self.log.write(json.dumps([round(time.monotonic(), 6), event, request_id.decode(), *details]) + "\n")

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection."""
        try:
            async for command in engine_calls(reader):
                self._on_command(command, writer)
        except (OSError, RespError):
            pass
        finally:
            for job in [j for j in (*self.running.values(), *self.waiting) if j.writer is writer]:
                self._cancel(job, "broke")
            writer.close()

    def _on_command(self, command: list[bytes], writer: asyncio.StreamWriter) -> None:
        verb, request_id = command[0], command[1]
        if verb == b"GET":
            self._on_execute(request_id, command, writer)
        elif verb in (b"PING", b"LOAD"):
            self.write_log("probe", request_id)
            if not self.is_overloaded:
                writer.write(encode_array(request_id, b"green", self._load_report(), b""))
        elif verb in (b"DROP", b"CLOSE"):
            job = self._job(request_id, writer)
            if job is not None:
                self._cancel(job, "drop")

    def _job(self, request_id: bytes, writer: asyncio.StreamWriter) -> Job | None:
        job = self.running.get((id(writer), request_id))
        if job is not None:
            return job
        return next((j for j in self.waiting if j.request_id == request_id and j.writer is writer), None)

    def _on_execute(self, request_id: bytes, command: list[bytes], writer: asyncio.StreamWriter) -> None:
        fields = dict(part.split(b"=", 1) for part in command[2].split(b","))
        class_name, statement = fields[b"kind"].decode(), command[3]
        work_ms = self._draw_work_ms(class_name)
        load = LOAD_KEY.search(statement)
        key, number = (load[1].decode(), int(load[2])) if load else ("", 0)
        self.write_log("get", request_id, class_name, key, number, round(work_ms, 2))
        if self._is_overloaded_by(work_ms):
            return
        if self.random.random() < self.traits.failure_share:
            self._reject(request_id, "crashed", writer)
        elif self._is_full():
            self._reject(request_id, "overload", writer)
        else:
            data_set = DATA_SET.search(statement)
            self.waiting.append(Job(request_id, writer, work_ms, data_set[0] if data_set else b""))
            self._run_waiting()

    def _draw_work_ms(self, class_name: str) -> float:
        traits = self.traits
        mean_ms = traits.work_ms * traits.class_factors.get(class_name, 1.0)
        return mean_ms * self.random.lognormvariate(-(traits.work_spread**2) / 2, traits.work_spread)

    def _is_full(self) -> bool:
        return len(self.running) >= self.traits.servers and len(self.waiting) >= self.traits.max_waiting

    def _reject(self, request_id: bytes, reason: str, writer: asyncio.StreamWriter) -> None:
        self.write_log(reason, request_id)
        writer.write(encode_array(request_id, reason.encode(), self._load_report(), b""))

    def _age_ms(self) -> float:
        return (time.monotonic() - self.started_at) * 1000

    def _is_overloaded_by(self, work_ms: float) -> bool:
        """Record arriving work; return whether the engine is overloaded and does not respond any more.

        An engine is overloaded for good if too much work arrives within a window while it is cold. The limit
        grows with its speed: with the limit of the coldest engine, one at its usual load could be overloaded
        by chance just before it is warm.
        """
        now, age_ms = time.monotonic(), self._age_ms()
        self.recent_work.append((now, work_ms))
        while self.recent_work[0][0] < now - self.traits.overload_window_ms / 1000:
            self.recent_work.popleft()
        is_cold = age_ms < self.traits.warm_after_ms
        is_too_much = sum(work for _, work in self.recent_work) > self.traits.overload_limit_ms(age_ms)
        if self.traits.overload_work_ms and is_cold and is_too_much and not self.is_overloaded:
            self.is_overloaded = True
            self.write_log("tipped")
        return self.is_overloaded

    def _run_waiting(self) -> None:
        while self.waiting and len(self.running) < self.traits.servers and not self.is_overloaded:
            job = self.waiting.popleft()
            self.running[id(job.writer), job.request_id] = job
            self._read_data_set(job)
            duration_s = job.work_ms * self.traits.slowdown_at(self._age_ms()) / 1000
            job.timer = asyncio.get_running_loop().call_later(duration_s, self._on_done, job)

    def _read_data_set(self, job: Job) -> None:
        if not (self.traits.warm_data_sets and job.data_set):
            self.write_log("run", job.request_id)
            return
        is_warm = self.data_sets.read(job.data_set, self.traits, time.monotonic() * 1000)
        if not is_warm:
            job.work_ms *= self.traits.cold_data_set_factor
        self.write_log("run", job.request_id, "warm" if is_warm else "cold")

    def _on_done(self, job: Job) -> None:
        self.running.pop((id(job.writer), job.request_id), None)
        self.write_log("done", job.request_id)
        if not job.writer.is_closing():
            fields = b"count=1,ticks=%d,footprint=1,%b" % (round(job.work_ms), self._load_report())
            rows = b"%b\t%b\tok\n" % (self.id.encode(), job.request_id)
            job.writer.write(encode_array(job.request_id, b"served", fields, rows))
        self._run_waiting()

    def _cancel(self, job: Job, reason: str) -> None:
        self.write_log(reason, job.request_id)
        if job.timer is not None:
            job.timer.cancel()
        self.running.pop((id(job.writer), job.request_id), None)
        if job in self.waiting:
            self.waiting.remove(job)
        self._run_waiting()

    def _load_report(self) -> bytes:
        in_flight = len(self.running) + len(self.waiting)
        utilization = min(1.0, len(self.running) / self.traits.servers)
        return f"gauges=inflight:{in_flight};util:{utilization:.2f}".encode()


async def change_traits(engine: FaultyEngine) -> None:
    """Apply changes of traits from standard input until it ends, which happens when the harness ends."""
    reader = asyncio.StreamReader()
    await asyncio.get_running_loop().connect_read_pipe(
        lambda: asyncio.StreamReaderProtocol(reader), sys.stdin
    )
    while line := await reader.readline():
        for name, value in json.loads(line).items():
            engine.traits.change(name, value)
            engine.write_log("set", b"", name, value)


async def main(settings: dict[str, Any]) -> None:
    """Serve until standard input ends.

    Args:
        settings: `id`, `port`, `ledger` (path of the log) and, optionally, `traits` and `seed`.
    """
    with open(settings["ledger"], "a", buffering=1) as log:
        traits = decode_traits(settings.get("traits", {}))
        engine = FaultyEngine(settings["id"], log, traits, settings.get("seed", 0))
        engine.write_log("start")
        server = await asyncio.start_server(engine.serve, "127.0.0.1", settings["port"])
        print(server.sockets[0].getsockname()[1], flush=True)
        await change_traits(engine)
        server.close()


if __name__ == "__main__":
    if settings := read_settings() if sys.argv[1] == WAIT_FOR_SETTINGS else sys.argv[1]:
        uvloop.run(main(json.loads(settings)))
