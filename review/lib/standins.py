"""Stand-ins for the parties around a dispatcher, and the control of its processes.

Engines, the event bus and clients run in the process of the scenario, on loopback addresses. The dispatcher
is started as separate processes with the command `run` of the deploy file. Python's standard library is all
that is needed.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import secrets
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
HELD, BROKEN, NOT_RUN = 0, 1, 2  # exit codes of a case


class NotRunError(Exception):
    """The scenario could not be played as planned, so that it shows nothing."""


class Record:
    """The record of a run: what was sent, answered and run, in ms since its start."""

    def __init__(self, path: Path) -> None:
        self.started_at = time.time()
        self.file = path.open("w", encoding="utf-8")

    def now(self) -> float:
        """Return the time since the start of the run, in ms of the Unix clock."""
        return (time.time() - self.started_at) * 1000

    def note(self, who: str, text: str) -> float:
        """Write a line, and return its time."""
        at = self.now()
        self.file.write(f"{at:9.1f} ms  {who:<14} {text}\n")
        self.file.flush()
        return at


def free_port(kind: int = socket.SOCK_STREAM) -> int:
    """Return a port of the loopback address that nothing uses now."""
    with socket.socket(socket.AF_INET, kind) as sock:
        sock.bind((HOST, 0))
        port: int = sock.getsockname()[1]
        return port


def new_ref() -> str:
    """Return a new request id: 16 hex digits."""
    return secrets.token_hex(8)


# --- engines -------------------------------------------------------------------------------------------


@dataclass
class Received:
    """An attempt as its engine received it; times in ms of the record."""

    engine: str
    ref: str
    query_class: str
    at: float
    end: str = "running"
    ended_at: float = -1.0


def encode_array(*elements: bytes) -> bytes:
    """Return an array of bulk strings."""
    return b"*%d\r\n" % len(elements) + b"".join(b"$%d\r\n%b\r\n" % (len(e), e) for e in elements)


async def read_array(reader: asyncio.StreamReader) -> list[bytes]:
    """Read an array of bulk strings; IncompleteReadError at the end of the connection."""
    count = int((await reader.readuntil(b"\r\n"))[1:])
    elements = []
    for _ in range(count):
        size = int((await reader.readuntil(b"\r\n"))[1:])
        elements.append((await reader.readexactly(size + 2))[:-2])
    return elements


class Engine:
    """A sound engine: runs all that it is sent, and answers each attempt once.

    Args:
        name: The engine's id.
        record: The record of the run.
        work_ms: Returns the time that an attempt takes, by class and request id.
    """

    def __init__(self, name: str, record: Record, work_ms: Callable[[str, str], float]) -> None:
        self.name, self.record, self.work_ms = name, record, work_ms
        self.port = 0
        self.server: asyncio.Server | None = None
        self.received: list[Received] = []
        self.running = 0
        self.writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Begin to listen at a free port."""
        self.server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def end(self) -> None:
        """End the process: its listener is closed, its connections are reset, and its work is lost."""
        self.record.note(self.name, "its process ends")
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    def gauges(self) -> bytes:
        """Return the load report, as a field of an answer."""
        return b"gauges=inflight:%d;util:%.2f;x1:0.10" % (self.running, min(1.0, self.running / 8))

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        open_attempts: dict[bytes, asyncio.Task[None]] = {}
        self.writers.add(writer)
        try:
            while True:
                words = await read_array(reader)
                match words[0], words[1:]:
                    case b"GET", [ref, fields, _body]:
                        open_attempts[ref] = asyncio.create_task(self._run(ref, fields, writer))
                    case b"DROP", [ref]:
                        if task := open_attempts.pop(ref, None):
                            task.cancel()
                    case b"LOAD", [tag]:
                        writer.write(encode_array(tag, b"green", self.gauges()))
                    case b"PING", [tag]:
                        writer.write(encode_array(tag, b"green", b"-"))
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass  # the connection or the scenario has ended
        finally:
            self.writers.discard(writer)
            for task in open_attempts.values():
                task.cancel()
            writer.close()

    async def _run(self, ref: bytes, fields: bytes, writer: asyncio.StreamWriter) -> None:
        values = dict(part.split("=", 1) for part in fields.decode().split(","))
        attempt = Received(self.name, ref.decode(), values["kind"], self.record.now())
        self.received.append(attempt)
        self.record.note(self.name, f"GET {attempt.ref} {fields.decode()}")
        work_ms = self.work_ms(attempt.query_class, attempt.ref)
        self.running += 1
        try:
            await asyncio.sleep(min(work_ms, float(values["ms"])) / 1000)
            if work_ms <= float(values["ms"]):
                answer = b"count=1,ticks=%.1f,footprint=64,%b" % (work_ms, self.gauges())
                writer.write(encode_array(ref, b"served", answer, b"d\t1\t" + ref + b"\n"))
                attempt.end = "served"
            else:
                attempt.end = "out of time"
        except asyncio.CancelledError:
            attempt.end = "given up"
            raise
        finally:
            self.running -= 1
            attempt.ended_at = self.record.note(self.name, f"{attempt.end} {attempt.ref}")


# --- the event bus -------------------------------------------------------------------------------------


class Bus:
    """The event bus: a list of numbered events, read by long polls.

    Attributes:
        queue_ms: Time for which each call waits before it is looked at; 0 for a bus that is not crowded.
    """

    def __init__(self, record: Record) -> None:
        self.record = record
        self.events: list[dict[str, Any]] = []
        self.port, self.queue_ms = 0, 0.0
        self.server: asyncio.Server | None = None
        self.changed = asyncio.Condition()

    async def start(self) -> None:
        """Begin to listen at a free port."""
        self.server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def answer(self, after: int) -> dict[str, Any]:
        """Return the events after a number, in the form of an answer and of `known`."""
        return {"offset": len(self.events), "batch": self.events[after:]}

    async def put(self, *instances: dict[str, Any]) -> float:
        """Append an event, and return its time."""
        number = len(self.events) + 1
        topology = {"generation": number, "reset": number == 1, "instances": list(instances)}
        async with self.changed:
            self.events.append({"offset": number, "topology": topology})
            self.changed.notify_all()
        states = " ".join(f"{i['instanceId']}={i['lifecycle']}" for i in instances)
        return self.record.note("bus", f"event {number}: {states}")

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                path = head.split(" ", 2)[1]
                call = dict(part.split("=", 1) for part in path.partition("?")[2].split("&"))
                self.record.note("bus", f"call {path}")
                await asyncio.sleep(self.queue_ms / 1000)
                await self._wait(int(call["from"]), min(float(call["hold"]), 5000.0))
                body = json.dumps(self.answer(int(call["from"]))).encode()
                size = f"Content-Length: {len(body)}\r\n"
                writer.write(
                    f"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n{size}\r\n".encode() + body
                )
                await writer.drain()
                self.record.note("bus", f"answered {path} with offset {len(self.events)}")
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass  # the connection or the scenario has ended
        finally:
            writer.close()

    async def _wait(self, after: int, hold_ms: float) -> None:
        async def later_events() -> None:
            async with self.changed:
                await self.changed.wait_for(lambda: len(self.events) > after)

        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(later_events(), hold_ms / 1000)


def instance(engine: Engine, lifecycle: str = "Ready") -> dict[str, Any]:
    """Return an engine's entry in an event."""
    return {
        "instanceId": engine.name,
        "hostPort": f"{HOST}:{engine.port}",
        "zone": "z0",
        "machineType": "m8",
        "cell": 0,
        "lifecycle": lifecycle,
        "weight": 1,
        "startedAtMs": 0,
    }


# --- clients -------------------------------------------------------------------------------------------


@dataclass
class Answer:
    """What a client received for a request.

    Attributes:
        kind: `served`, `refused`, `failed`, `unreadable` or `none` (the connection ended).
        text: The error's text, or what could not be read.
        rows: The rows of a result.
    """

    kind: str
    text: str = ""
    rows: list[list[bytes]] = field(default_factory=list)


class Client:
    """A client of the MySQL protocol 4.1, which checks the sequence numbers of packets."""

    def __init__(self, name: str, record: Record) -> None:
        self.name, self.record = name, record
        self.connection_id = 0
        self.reader: asyncio.StreamReader
        self.writer: asyncio.StreamWriter

    async def connect(self, port: int) -> Client:
        """Connect and log in."""
        await self.connect_and_write_login(port)
        await self.read_greeting()
        return self

    async def connect_and_write_login(self, port: int) -> None:
        """Connect, and write the login before the greeting is read."""
        self.reader, self.writer = await asyncio.open_connection(HOST, port)
        flags = 0x1 | 0x8 | 0x200 | 0x2000 | 0x8000
        login = flags.to_bytes(4, "little") + (1 << 24).to_bytes(4, "little") + b"\x21" + bytes(23)
        self.write_packet(login + b"app\x00" + b"\x00" + b"dw\x00", 1)

    async def read_greeting(self) -> None:
        """Read the greeting and the answer to the login."""
        _, greeting = await self.read_packet(0)
        rest = greeting[greeting.index(b"\x00") + 1 :]
        self.connection_id = int.from_bytes(rest[:4], "little")
        _, reply = await self.read_packet(2)
        if reply[:1] != b"\x00":
            raise NotRunError(f"{self.name}: the login was refused")
        self.record.note(self.name, f"logged in, connection id {self.connection_id}")

    def write_packet(self, payload: bytes, sequence: int = 0) -> None:
        """Write a packet."""
        self.writer.write(len(payload).to_bytes(3, "little") + bytes((sequence,)) + payload)

    async def read_packet(self, sequence: int | None) -> tuple[int, bytes]:
        """Read a packet, which must have this sequence number; return the number and the payload."""
        head = await self.reader.readexactly(4)
        payload = await self.reader.readexactly(int.from_bytes(head[:3], "little"))
        if sequence is not None and head[3] != sequence & 0xFF:
            number, text = int.from_bytes(payload[1:3], "little"), payload[9:].decode("utf-8", "replace")
            what = f"error {number} '{text}'" if payload[:1] == b"\xff" else f"{len(payload)} bytes"
            raise ValueError(f"packet number {head[3]} instead of {sequence & 0xFF}: {what}")
        return head[3], payload

    async def ping(self) -> bool:
        """Return whether COM_PING is answered with OK."""
        self.write_packet(b"\x0e")
        _, reply = await self.read_packet(1)
        return reply[:1] == b"\x00"

    def statement(self, query_class: str, ref: str, allow_ms: int, key: str | None, work_ms: float) -> bytes:
        """Return a statement with its comment."""
        order = f",lookup={key}" if key else ""
        fields = f"service={query_class},ref={ref},allow={allow_ms},effort={work_ms:.1f},room=64{order}"
        group = int(key or ref, 16) % 20
        if key:
            return f"/* {fields} */ INSERT INTO sales_{group}.orders SELECT day, tag FROM staging.o".encode()
        return f"/* {fields} */ SELECT day, count(*), max(note) FROM sales_{group}.orders".encode()

    async def query(
        self, query_class: str, ref: str, allow_ms: int, key: str | None = None, work_ms: float = 100.0
    ) -> Answer:
        """Send a request and return its answer."""
        self.record.note(self.name, f"sends {query_class} {ref} allow={allow_ms} key={key}")
        self.write_packet(b"\x03" + self.statement(query_class, ref, allow_ms, key, work_ms))
        answer = await self.answer()
        self.record.note(self.name, f"answer to {ref}: {answer.kind} {answer.text}")
        return answer

    async def answer(self) -> Answer:
        """Read the answer to a request."""
        try:
            return await self._read_answer()
        except ValueError as error:
            return Answer("unreadable", str(error))
        except (asyncio.IncompleteReadError, ConnectionError) as error:
            return Answer("none", f"the connection ended: {type(error).__name__}")

    async def _read_answer(self) -> Answer:
        number, payload = await self.read_packet(1)
        if payload[:1] == b"\xff":
            code, text = int.from_bytes(payload[1:3], "little"), payload[9:].decode("utf-8", "replace")
            return Answer("refused" if code in (1040, 1203, 1226) else "failed", f"error {code} '{text}'")
        if payload[:1] == b"\x00":
            return Answer("ok")
        for _ in range(payload[0] + 1):
            number, _payload = await self.read_packet(number + 1)
        rows = []
        while True:
            number, payload = await self.read_packet(number + 1)
            if payload[:1] == b"\xfe" and len(payload) < 9:
                return Answer("served", f"{len(rows)} rows", rows)
            rows.append(split_row(payload))

    async def kill(self, port: int, connection_id: int) -> float:
        """Send KILL QUERY on a new session, as a client that stops waiting; return when it was written."""
        other = await Client(f"{self.name}-kill", self.record).connect(port)
        other.write_packet(b"\x03" + f"KILL QUERY {connection_id}".encode())
        await other.writer.drain()
        at = self.record.note(other.name, f"sends KILL QUERY {connection_id}")
        answer = await other.answer()
        self.record.note(other.name, f"answer to KILL QUERY: {answer.kind} {answer.text}")
        other.close()
        return at

    def close(self) -> None:
        """Close the connection."""
        self.record.note(self.name, "closes its connection")
        self.writer.close()


def split_row(payload: bytes) -> list[bytes]:
    """Return the cells of a row whose cells have at most 250 bytes each."""
    cells, position = [], 0
    while position < len(payload):
        size = payload[position]
        cells.append(payload[position + 1 : position + 1 + size])
        position += 1 + size
    return cells


# --- the dispatcher ------------------------------------------------------------------------------------


def small_settings(**changes: Any) -> dict[str, Any]:
    """Return the settings of a small deployment: one dispatcher and three classes of queries."""

    def query_class(name: str, effect: str, aim: float, limit: float, **more: Any) -> dict[str, Any]:
        values = {"name": name, "effect": effect, "aim": aim, "hard_limit": limit, "aim_stretch": 2.0}
        return (
            values
            | {"worth": 1.0, "late_worth": 0.3, "group": "all", "window": 5000.0, "stream": False}
            | more
        )

    settings: dict[str, Any] = {
        "caps": {
            "conn_idle": 15000.0,
            "connect_timeout": 250.0,
            "max_retry_after": 500.0,
            "may_cancel": True,
            "most_tries": 5,
            "peers": False,
            "probes": True,
            "retry_after": True,
            "second_copies": False,
            "streams_per_conn": 32,
        },
        "classes": [
            query_class("lookup", "retryable", 1000.0, 3000.0),
            query_class("report", "retryable", 3000.0, 5000.0, worth=5.0),
            query_class("load", "fragile", 3000.0, 5000.0, worth=6.0, by_arrival=True),
        ],
        "costs": {"peer": 0.01, "probe": 0.011, "late_fail": 0.063, "waste": 0.03},
        "discovery": "push",
        "domain": {
            "class_waits": [True, True, False],
            "cost_in_answers": True,
            "grants_count": False,
            "holds_tables": [False, False, True],
            "max_grant_share": 0.4,
            "note_period": 0.0,
            "parallelism": [1, 3, 2],
            "priorities": True,
            "ram_of_kind_mb": [16384.0],
            "size_cores": [8],
            "when_short": "trim",
        },
        "me": 0,
        "models": ["m8"],
        "obligations": {
            "answer_slack": 20.0,
            "cold_from": 0.33,
            "key_quiet": 0.0,
            "overload_factor": 4.0,
            "stop_sending_within": 500.0,
            "tip_after": 1500.0,
            "warm_within": 15000.0,
        },
        "report": {"fields": ["active", "cpu", "x1"], "how": "inline"},
        "siblings": 1,
        "tenants": [],
        "tick": 5.0,
        "zone": 0,
        "zones": ["z0"],
    }
    return settings | changes


class Dispatcher:
    """One dispatcher: its configuration and its processes.

    Args:
        record: The record of the run.
        folder: A temporary folder.
        bus: The event bus.
        settings: The settings; those of a small deployment if None.
    """

    def __init__(
        self, record: Record, folder: Path, bus: Bus, settings: dict[str, Any] | None = None
    ) -> None:
        self.record, self.folder, self.bus = record, folder, bus
        self.settings = settings or small_settings()
        self.port = free_port()
        self.tmpdir = folder / "tmp"
        self.tmpdir.mkdir()
        deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
        self.command: str = deploy["run"]
        self.limits = {"cores": 1.0, "memory_mb": 192, "sockets": 1024}
        self.processes: list[subprocess.Popen[bytes]] = []

    def start(self, ops_port: int) -> subprocess.Popen[bytes]:
        """Start a process of the dispatcher, with the operators' calls at this port."""
        number = len(self.processes) + 1
        config = {
            "name": "n0",
            "listen": f"{HOST}:{self.port}",
            "ops": f"{HOST}:{ops_port}",
            "seed": secrets.token_hex(8),
            "limits": self.limits,
            "peers": [],
            "bus": f"{HOST}:{self.bus.port}",
            "known": self.bus.answer(0),
            "settings": self.settings,
        }
        path = self.folder / f"config-{number}.json"
        path.write_text(json.dumps(config))
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment |= {"RELAY_NAME": "n0", "RELAY_LISTEN": f"{HOST}:{self.port}", "RELAY_CONFIG": str(path)}
        environment["TMPDIR"] = str(self.tmpdir)
        with (self.folder / f"log-{number}.txt").open("wb") as log:
            process = subprocess.Popen(
                ["/bin/sh", "-c", self.command], cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self.processes.append(process)
        self.record.note("platform", f"starts process {number} of the dispatcher")
        return process

    async def wait_until_ready(self, ops_port: int) -> float:
        """Wait until a process answers the operators' health check with yes; return the time."""
        for _ in range(300):
            try:
                reader, writer = await asyncio.open_connection(HOST, ops_port)
                writer.write(b"GET /healthcheck HTTP/1.1\r\nHost: ops\r\n\r\n")
                status = (await reader.readline()).split(b" ")[1]
                writer.close()
                if status == b"200":
                    return self.record.note("platform", "the newest process says yes")
            except (ConnectionError, IndexError):
                pass
            await asyncio.sleep(0.05)
        raise NotRunError("a process of the dispatcher was not ready within 15 s")

    def terminate(self, process: subprocess.Popen[bytes]) -> None:
        """Send SIGTERM to a process."""
        number = self.processes.index(process) + 1
        self.record.note("platform", f"SIGTERM to process {number} of the dispatcher")
        process.send_signal(signal.SIGTERM)

    def stop_all(self) -> None:
        """End all processes that are still running, and record their exit codes."""
        for process in self.processes:
            if process.poll() is None:
                process.kill()
            process.wait()


async def call_operators(record: Record, port: int, call: str) -> bytes:
    """Make an operators' call, such as `POST /healthcheck/fail`; return the status."""
    reader, writer = await asyncio.open_connection(HOST, port)
    writer.write(f"{call} HTTP/1.1\r\nHost: ops\r\nContent-Length: 0\r\n\r\n".encode())
    status = (await reader.readline()).split(b" ")[1]
    writer.close()
    record.note("operator", f"{call}: {status.decode()}")
    return status


Scenario = Callable[[Record, Path, bool], Awaitable[list[str]]]


def play(folder: Path, scenario: Scenario, limit_s: float = 110.0) -> int:
    """Play a scenario, which returns the breaks of the rule, and return the exit code of the case."""
    record = Record(folder / "record.txt")
    with_trouble = os.environ.get("TROUBLE", "1") != "0"
    record.note("case", "with the disruption" if with_trouble else "without the disruption")

    async def run() -> list[str]:
        with tempfile.TemporaryDirectory() as temporary:
            async with asyncio.timeout(limit_s):
                return await scenario(record, Path(temporary), with_trouble)

    try:
        breaks = asyncio.run(run())
    except Exception as error:  # a fault of the scenario is no break of the rule
        record.note("case", f"could not run: {type(error).__name__} {error}")
        print(f"could not run: {type(error).__name__} {error}")
        return NOT_RUN
    for text in breaks:
        record.note("case", f"BROKEN: {text}")
        print(f"BROKEN: {text}")
    if not breaks:
        record.note("case", "the rule held")
        print("the rule held")
    return BROKEN if breaks else HELD
