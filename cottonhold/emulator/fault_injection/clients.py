"""Clients as a process: open-loop arrivals in the MySQL protocol, retries, a front that notices late, a
ledger.

    python -m cottonhold.emulator.fault_injection.clients '{"ports": [...], "rate": 270, ...}'

The ledger has one JSON array a line: [seconds (monotonic), what, reference, more].
"""

from __future__ import annotations

import asyncio
import itertools
import json
import random
import re
import sys
import time
from collections.abc import Set
from dataclasses import dataclass, field
from io import TextIOWrapper
from typing import Any

import uvloop

from cottonhold.emulator.fault_injection.zone_distances import distance_ms

LOGIN = (0x8208).to_bytes(4, "little") + bytes(28) + b"app\0\0dw\0"
COOLDOWN = re.compile(r"cooldown=(\d+)")
MAY_HAVE_RUN = "may have run"  # what an instance says of a load whose end it doesn't know
DATA_SETS = 7  # data sets, of each zone if clients have homes
MAX_ATTEMPTS = 50
MAX_BACKOFF_MS = 1000.0  # ms: who asks again and again waits twice as long each time, up to this
MAX_IDLE_CONNECTIONS, IDLE_S = (
    64,
    2.0,
)  # an instance closes idle connections after 5 s: a request must not cross that
LATE_S = 0.5  # an answer so long after the client's time is still an answer, later none


@dataclass(slots=True)
class Kind:
    """A class of requests: its share of all, patience and work in ms, and whether it writes."""

    name: str
    share: float
    patience: float
    effort: float
    load: bool = False


@dataclass(slots=True)
class Manner:
    """How clients behave. tries: at most. wait: ms before the next try. honours: share of clients that stay
    away as long as advised. notice: ms until the front stops leading clients to an instance that is gone.

    asks_again: a load whose end was not heard is asked for again, as often as patience allows. asks_failed:
    also one of which an instance said that it may have run. hears: ms that such a client waits for one
    answer before it asks again; 0: all of its patience.
    """

    tries: int = 1
    wait: float = 200.0
    honours: float = 1.0
    notice: float = 1000.0
    asks_again: bool = False
    asks_failed: bool = False
    hears: float = 0.0

    def retries_after(self, load: bool, word: str, text: str, tried: int) -> bool:
        """Whether a client tries once more after its try number `tried`, counted from 1, has ended so."""
        if load and self.asks_again and tried < MAX_ATTEMPTS:
            if word in ("broken", "nothing", "refused", "unreached"):
                return True
            return word == "failed" and MAY_HAVE_RUN in text and self.asks_failed
        return word in ("refused", "unreached") and tried < self.tries


@dataclass(slots=True)
class Load:
    """All of it. steps: (seconds from the start, times the rate) that hold from then on.

    homes: the zone of each instance; a client then belongs to a zone, asks for data sets of its own there,
    and is led elsewhere only if no instance of its zone is there. distance: ms one way between zones.
    """

    ports: list[int]
    rate: float
    seconds: float
    kinds: list[Kind]
    weights: list[float]
    ledger: str
    seed: int
    manner: Manner = field(default_factory=Manner)
    steps: list[tuple[float, float]] = field(default_factory=list)
    homes: list[str] = field(default_factory=list)
    keys: int = 50
    distance: dict[str, float] = field(default_factory=dict)


class Session:
    """One connection to an instance."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer, self.used_at = reader, writer, 0.0

    @classmethod
    async def open(cls, port: int) -> Session:
        """A session that is logged in. Raises OSError and IncompleteReadError."""
        session = cls(*await asyncio.open_connection("127.0.0.1", port))
        await session._read()
        session._write(1, LOGIN)
        await session._read()
        return session

    def _write(self, sequence: int, body: bytes) -> None:
        self.writer.write(len(body).to_bytes(3, "little") + bytes([sequence]) + body)

    async def _read(self) -> bytes:
        head = await self.reader.readexactly(4)
        return await self.reader.readexactly(int.from_bytes(head[:3], "little"))

    async def query(self, sql: str) -> tuple[str, str]:
        """served with the first cell, or refused or failed with the text."""
        self._write(0, b"\x03" + sql.encode())
        ends, rows = 0, []
        while ends < 2:
            body = await self._read()
            if body[:1] == b"\xff":
                number = int.from_bytes(body[1:3], "little")
                return "refused" if number == 1226 else "failed", body[9:].decode("utf-8", "replace")
            if body[:1] == b"\xfe" and len(body) < 9:
                ends += 1
            elif ends == 1:
                rows.append(body)
        return "served", rows[0][1 : 1 + rows[0][0]].decode() if rows else ""


class Clients:
    """All clients of a run."""

    def __init__(self, load: Load, ledger: TextIOWrapper) -> None:
        self.load, self.ledger, self.draw = load, ledger, random.Random(load.seed)
        self.idle: dict[int, list[Session]] = {i: [] for i in range(len(load.ports))}
        self.failed_at: dict[int, float] = {}
        self.refs, self.keys = itertools.count(1), itertools.count(1)
        self.tasks: set[asyncio.Task[None]] = set()

    def note(self, what: str, ref: str, *more: object) -> None:
        """A line of the ledger."""
        self.ledger.write(json.dumps([round(time.monotonic(), 6), what, ref, *more]) + "\n")

    async def run(self) -> None:
        """Requests come as they come, whatever becomes of those before."""
        begun, at = time.monotonic(), 0.0
        while at < self.load.seconds:
            times = [n for since, n in self.load.steps if at >= since]
            at += self.draw.expovariate(self.load.rate * (times[-1] if times else 1.0))
            await asyncio.sleep(max(begun + at - time.monotonic(), 0))
            task = asyncio.create_task(self._request())
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
        if self.tasks:
            await asyncio.wait(self.tasks, timeout=max(k.patience for k in self.load.kinds) / 1000 + 2)

    async def _request(self) -> None:
        kind = self.draw.choices(self.load.kinds, [k.share for k in self.load.kinds])[0]
        client, home = next(self.keys), ""
        if self.load.homes:
            home = self.draw.choices(self.load.homes, self.load.weights)[0]
        honours = self.draw.random() < self.load.manner.honours
        manner, until = self.load.manner, time.monotonic() + kind.patience / 1000
        gone: set[int] = set()  # where it met nobody: one that has a home goes elsewhere then
        for n in itertools.count():
            left = (until - time.monotonic()) * 1000
            if left < 20:
                return
            if kind.load and manner.asks_again and manner.hears:
                left = min(left, manner.hears)
            i = self._instance(home, gone)
            word, text = await self._attempt(kind, client, n, left, home, i)
            if home and word == "unreached":
                gone.add(i)
            if not manner.retries_after(kind.load, word, text, n + 1):
                return
            advised = COOLDOWN.search(text)
            own = (
                max(manner.wait, min(manner.wait * 2**n, MAX_BACKOFF_MS))
                if manner.asks_again
                else manner.wait
            )
            wait = float(advised[1]) if advised and honours else own
            await asyncio.sleep(wait * (0.75 + 0.5 * self.draw.random()) / 1000)

    def _instance(self, home: str, gone: Set[int] = frozenset()) -> int:
        """By weight, among those that the front believes to be there and this client didn't find gone; in its
        zone if one is."""
        now, notice = time.monotonic(), self.load.manner.notice / 1000
        weights = [
            0.0 if now - self.failed_at.get(i, now) > notice else weight
            for i, weight in enumerate(self.load.weights)
        ]
        weights = [0.0 if i in gone else weight for i, weight in enumerate(weights)]
        if home:
            own = [w if self.load.homes[i] == home else 0.0 for i, w in enumerate(weights)]
            weights = own if sum(own) else weights
        return self.draw.choices(range(len(weights)), weights if sum(weights) else self.load.weights)[0]

    def _data_set(self, client: int, home: str) -> int:
        """The number of the data set that a client reads: some for each zone."""
        zones = sorted(set(self.load.homes))
        return client % DATA_SETS + (zones.index(home) * DATA_SETS if home else 0)

    def _idle_session(self, i: int) -> Session | None:
        while self.idle[i]:
            session = self.idle[i].pop()
            # Danger: one that a draining instance had closed long before was written to all the same, and the
            # request counted as one that never got its answer. Pools look before they write.
            if time.monotonic() - session.used_at < IDLE_S and not session.reader.at_eof():
                return session
            session.writer.close()
        return None

    async def _attempt(
        self, kind: Kind, client: int, n: int, left: float, home: str, i: int
    ) -> tuple[str, str]:
        ref = f"{self.load.seed & 0xFFFF:04x}{next(self.refs):012x}"
        fields = f"service={kind.name},ref={ref},allow={left:.0f},effort={kind.effort:g}"
        fields += ",dup=1" if n else ""
        table = f"sales_{self._data_set(client, home)}.t"
        body = f"SELECT a FROM {table}"
        if kind.load:
            key = f"k{client % self.load.keys}"
            fields += f",lookup={key}"
            body = f"INSERT INTO {table} VALUES ('{key}', {client})"
        far = distance_ms(self.load.distance, home, self.load.homes[i]) / 1000 if home else 0.0
        self.note("ask", ref, kind.name, i, n, client, round(left), *([home] if home else []))
        word, text = "unreached", ""
        try:
            async with asyncio.timeout(left / 1000 + LATE_S):
                session = self._idle_session(i) or await Session.open(self.load.ports[i])
                try:
                    await asyncio.sleep(far)
                    self.note("sent", ref)
                    word, text = await session.query(f"/* {fields} */ {body}")
                    await asyncio.sleep(far)
                    session.used_at = time.monotonic()
                    if len(self.idle[i]) < MAX_IDLE_CONNECTIONS:
                        self.idle[i].append(session)
                    else:
                        session.writer.close()
                except BaseException:
                    word = "broken"  # it was sent, and nothing came
                    session.writer.close()
                    raise
            self.failed_at.pop(i, None)
        except TimeoutError:
            word = "nothing" if word == "broken" else "unreached"
            self.failed_at.setdefault(i, time.monotonic())
        except (OSError, asyncio.IncompleteReadError):
            self.failed_at.setdefault(i, time.monotonic())
            asyncio.get_running_loop().call_later(3.0, self.failed_at.pop, i, None)  # it looks again
        self.note(word, ref, text[:80])
        return word, text


async def main(settings: dict[str, Any]) -> None:
    """Run a load to its end."""
    kinds = [Kind(**k) for k in settings.pop("kinds")]
    load = Load(kinds=kinds, manner=Manner(**settings.pop("manner", {})), **settings)
    with open(load.ledger, "a", buffering=1) as ledger:
        print("ready", flush=True)
        await Clients(load, ledger).run()


if __name__ == "__main__":
    uvloop.run(main(json.loads(sys.argv[1])))
