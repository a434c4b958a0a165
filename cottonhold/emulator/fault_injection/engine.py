"""An engine as a process: servers and a line, a cold start, faults by lines on standard input, a ledger.

    python -m cottonhold.emulator.fault_injection.engine '{"id": "a0", "port": 0, "ledger": "a0.jsonl", ...}'

With `--waits` in place of the settings they are the first line of standard input. Standard output says where
it listens. A line on standard input is a JSON object of fields to change. The ledger has one JSON array a
line: [seconds (monotonic), what, reference, more].
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
from dataclasses import dataclass, field
from io import TextIOWrapper
from typing import Any

import uvloop

from cottonhold.backend.resp import RespError, encode_array
from cottonhold.emulator.fault_injection.parent_death_signal import WAIT_FOR_SETTINGS, read_settings
from cottonhold.emulator.serving import engine_calls

KEY = re.compile(rb"'(k\d+)', (\d+)")
SET = re.compile(rb"sales_\d+")


@dataclass(slots=True)
class Traits:
    """What an engine is, and what is wrong with it. Times in ms; work of a class is a multiple of `work`.

    cold, warm: how many times slower a started process is at first, and how long until it is not. tip: work
    in ms that may come within `tip_window` at its coldest, and so many times more as it is less slow until it
    is warm, else it falls over for good; 0: it never does.

    datasets: how many data sets it keeps warm, those read last; 0: all are. What reads one that has not been
    read for `set_ms` takes `set_cold` times the work, and makes it warm.
    """

    work: float = 20.0
    spread: float = 0.4
    servers: int = 1
    line: int = 100
    cold: float = 3.0
    warm: float = 3000.0
    tip: float = 0.0
    tip_window: float = 1000.0
    slow: float = 1.0
    failing: float = 0.0
    classes: dict[str, float] = field(default_factory=dict)
    datasets: int = 0
    set_cold: float = 1.0
    set_ms: float = 10_000.0


class DataSetCache:
    """The data sets that an engine has in memory, by when they were read last, in ms."""

    def __init__(self) -> None:
        self.read_at: dict[bytes, float] = {}

    def read(self, name: bytes, traits: Traits, now: float) -> bool:
        """Whether it was warm. From now on it is, until others push it out."""
        warm = now - self.read_at.pop(name, -math.inf) <= traits.set_ms
        self.read_at[name] = now
        while len(self.read_at) > traits.datasets:
            del self.read_at[next(iter(self.read_at))]
        return warm


@dataclass(slots=True, eq=False)
class Job:
    """A request that runs or waits."""

    ref: bytes
    kind: str
    writer: asyncio.StreamWriter
    work: float
    table: bytes = b""
    timer: asyncio.TimerHandle | None = None


def cold_slowdown(age: float, cold: float, warm: float) -> float:
    """How many times slower an engine is `age` ms after its start; see Traits."""
    return 1 + (cold - 1) * max(0.0, 1 - age / warm) if warm > 0 else 1.0


class FaultyEngine:
    """One engine."""

    def __init__(self, engine_id: str, ledger: TextIOWrapper, traits: Traits, seed: int) -> None:
        self.id, self.ledger, self.traits = engine_id, ledger, traits
        self.draw, self.started = random.Random(seed), time.monotonic()
        self.running: dict[tuple[int, bytes], Job] = {}
        self.waiting: deque[Job] = deque()
        self.came: deque[tuple[float, float]] = deque()
        self.tipped = False
        self.sets = DataSetCache()

    def note(self, what: str, ref: bytes = b"", *more: object) -> None:
        """A line of the ledger."""
        self.ledger.write(json.dumps([round(time.monotonic(), 6), what, ref.decode(), *more]) + "\n")

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """One connection."""
        try:
            async for call in engine_calls(reader):
                self._on_command(call, writer)
        except (OSError, RespError):
            pass
        finally:
            for job in [j for j in (*self.running.values(), *self.waiting) if j.writer is writer]:
                self._cancel(job, "broke")
            writer.close()

    def _on_command(self, words: list[bytes], writer: asyncio.StreamWriter) -> None:
        verb, ref = words[0], words[1]
        if verb == b"GET":
            self._on_execute(ref, words, writer)
        elif verb in (b"PING", b"LOAD"):
            self.note("probe", ref)
            if not self.tipped:
                writer.write(encode_array(ref, b"green", self._load_report(), b""))
        elif verb in (b"DROP", b"CLOSE"):
            job = self.running.get((id(writer), ref))
            job = job or next((j for j in self.waiting if j.ref == ref and j.writer is writer), None)
            if job is not None:
                self._cancel(job, "drop")

    def _on_execute(self, ref: bytes, words: list[bytes], writer: asyncio.StreamWriter) -> None:
        fields = dict(part.split(b"=", 1) for part in words[2].split(b","))
        kind, t = fields[b"kind"].decode(), self.traits
        key = KEY.search(words[3])
        work = t.work * t.classes.get(kind, 1.0) * self.draw.lognormvariate(-(t.spread**2) / 2, t.spread)
        self.note("get", ref, kind, key[1].decode() if key else "", int(key[2]) if key else 0, round(work, 2))
        if self._is_overloaded(work):
            return
        if self.draw.random() < t.failing:
            self.note("crashed", ref)
            writer.write(encode_array(ref, b"crashed", self._load_report(), b""))
        elif len(self.running) >= t.servers and len(self.waiting) >= t.line:
            self.note("overload", ref)
            writer.write(encode_array(ref, b"overload", self._load_report(), b""))
        else:
            table = SET.search(words[3])
            self.waiting.append(Job(ref, kind, writer, work, table[0] if table else b""))
            self._run()

    def _is_overloaded(self, work: float) -> bool:
        """A cold engine that is sent too much within its window falls over, and says nothing any more."""
        t, now = self.traits, time.monotonic()
        self.came.append((now, work))
        while self.came and self.came[0][0] < now - t.tip_window / 1000:
            self.came.popleft()
        cold = (now - self.started) * 1000 < t.warm
        # Danger: held to what the coldest bears until it is warm, engines at their usual load fell over by
        # chance, just before that.
        most = t.tip * t.cold / cold_slowdown((now - self.started) * 1000, t.cold, t.warm)
        if t.tip and cold and not self.tipped and sum(w for _, w in self.came) > most:
            self.tipped = True
            self.note("tipped")
        return self.tipped

    def _speed(self) -> float:
        t, age = self.traits, (time.monotonic() - self.started) * 1000
        return t.slow * cold_slowdown(age, t.cold, t.warm)

    def _run(self) -> None:
        t = self.traits
        while self.waiting and len(self.running) < self.traits.servers and not self.tipped:
            job = self.waiting.popleft()
            self.running[id(job.writer), job.ref] = job
            if t.datasets and job.table:
                warm = self.sets.read(job.table, t, time.monotonic() * 1000)
                job.work *= 1.0 if warm else t.set_cold
                self.note("run", job.ref, "warm" if warm else "cold")
            else:
                self.note("run", job.ref)
            seconds = job.work * self._speed() / 1000
            job.timer = asyncio.get_running_loop().call_later(seconds, self._done, job)

    def _done(self, job: Job) -> None:
        self.running.pop((id(job.writer), job.ref), None)
        self.note("done", job.ref)
        if not job.writer.is_closing():
            fields = b"count=1,ticks=%d,footprint=1,%b" % (round(job.work), self._load_report())
            job.writer.write(
                encode_array(job.ref, b"served", fields, b"%b\t%b\tok\n" % (self.id.encode(), job.ref))
            )
        self._run()

    def _cancel(self, job: Job, why: str) -> None:
        self.note(why, job.ref)
        if job.timer is not None:
            job.timer.cancel()
        self.running.pop((id(job.writer), job.ref), None)
        if job in self.waiting:
            self.waiting.remove(job)
        self._run()

    def _load_report(self) -> bytes:
        out = len(self.running) + len(self.waiting)
        busy = min(1.0, len(self.running) / self.traits.servers)
        return f"gauges=inflight:{out};util:{busy:.2f}".encode()


async def control(engine: FaultyEngine) -> None:
    """Take changes from standard input until it ends: then the rig is gone."""
    reader = asyncio.StreamReader()
    await asyncio.get_running_loop().connect_read_pipe(
        lambda: asyncio.StreamReaderProtocol(reader), sys.stdin
    )
    while line := await reader.readline():
        for name, value in json.loads(line).items():
            setattr(engine.traits, name, value)
            engine.note("set", b"", name, value)


async def main(settings: dict[str, Any]) -> None:
    """Serve until standard input ends."""
    with open(settings["ledger"], "a", buffering=1) as ledger:
        traits = Traits(**settings.get("traits", {}))
        engine = FaultyEngine(settings["id"], ledger, traits, settings.get("seed", 0))
        engine.note("start")
        server = await asyncio.start_server(engine.serve, "127.0.0.1", settings["port"])
        print(server.sockets[0].getsockname()[1], flush=True)
        await control(engine)
        server.close()


if __name__ == "__main__":
    if words := read_settings() if sys.argv[1] == WAIT_FOR_SETTINGS else sys.argv[1]:
        uvloop.run(main(json.loads(words)))
