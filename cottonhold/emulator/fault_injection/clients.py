"""A process that emulates clients: open-loop arrivals in the MySQL protocol, with retries, behind a load
balancer that detects failures with a delay.

    python -m cottonhold.emulator.fault_injection.clients '{"ports": [...], "rate": 270, ...}'

Its argument is a `Load` as JSON. Each line of its log is a JSON array: [seconds of the monotonic clock,
event, request id, details...].
"""

from __future__ import annotations

import asyncio
import itertools
import json
import random
import re
import sys
import time
from collections.abc import Sequence, Set
from dataclasses import dataclass
from io import TextIOWrapper

import msgspec
import uvloop

from cottonhold.emulator.fault_injection.client_model import Load, RequestClass, RequestEnd
from cottonhold.emulator.fault_injection.zone_distances import distance_ms

LOGIN = (0x8208).to_bytes(4, "little") + bytes(28) + b"app\0\0dw\0"
COM_QUERY = b"\x03"
ERROR_PACKET, EOF_PACKET = b"\xff", b"\xfe"
MAX_EOF_BYTES = 8
ERROR_RETRY_LATER = 1226  # the error number of a request that was rejected before it ran
RETRY_AFTER = re.compile(r"cooldown=(\d+)")
DATA_SETS_PER_ZONE = 7
MAX_IDLE_CONNECTIONS = 64
MAX_IDLE_S = 2.0  # longest idle time of a session; instances close connections after 5 s without use
LATE_RESPONSE_S = 0.5  # a response up to this long after the client's timeout is still accepted
MIN_TIMEOUT_MS = 20.0  # a client gives up when less of its patience than this remains
BROKEN_INSTANCE_S = 3.0  # time after a broken connection until the load balancer uses the instance again
DRAIN_S = 2.0  # wait for open requests at the end, in addition to the longest patience
MAX_LOGGED_TEXT = 80


class Session:
    """One MySQL connection to an instance."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer, self.used_at = reader, writer, 0.0

    @classmethod
    async def open(cls, port: int) -> Session:
        """Return a session that is logged in.

        Raises:
            OSError: The connection could not be opened.
            asyncio.IncompleteReadError: The instance closed the connection during the login.
        """
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

    async def query(self, sql: str) -> tuple[RequestEnd, str]:
        """Run a statement; return SERVED with the first value, or REFUSED or FAILED with the error's text.

        Raises:
            OSError: The connection broke.
            asyncio.IncompleteReadError: The instance closed the connection.
        """
        self._write(0, COM_QUERY + sql.encode())
        eof_count, rows = 0, []
        while eof_count < 2:
            body = await self._read()
            if body[:1] == ERROR_PACKET:
                number = int.from_bytes(body[1:3], "little")
                end = RequestEnd.REFUSED if number == ERROR_RETRY_LATER else RequestEnd.FAILED
                return end, body[9:].decode("utf-8", "replace")
            if body[:1] == EOF_PACKET and len(body) <= MAX_EOF_BYTES:
                eof_count += 1
            elif eof_count == 1:
                rows.append(body)
        return RequestEnd.SERVED, rows[0][1 : 1 + rows[0][0]].decode() if rows else ""


@dataclass(slots=True, frozen=True)
class Client:
    """One client, which sends one request and retries it.

    Attributes:
        number: Number of the client, which is also the number of its load.
        request_class: Class of its request.
        zone: Zone of the client; empty if the scenario's instances belong to no zone.
    """

    number: int
    request_class: RequestClass
    zone: str


class Clients:
    """All clients of a run."""

    def __init__(self, load: Load, log: TextIOWrapper) -> None:
        self.load, self.log, self.random = load, log, random.Random(load.seed)
        self.idle_sessions: dict[int, list[Session]] = {i: [] for i in range(len(load.instance_ports))}
        self.failed_at: dict[int, float] = {}  # when the load balancer observed a failure, by instance
        self.request_numbers, self.client_numbers = itertools.count(1), itertools.count(1)
        self.tasks: set[asyncio.Task[None]] = set()

    def write_log(self, event: str, request_id: str, *details: object) -> None:
        """Write a line of the log."""
        self.log.write(json.dumps([round(time.monotonic(), 6), event, request_id, *details]) + "\n")

    async def run(self) -> None:
        """Start requests at random times, independently of earlier ones, and wait until all have ended."""
        started_at, arrival_s = time.monotonic(), 0.0
        while arrival_s < self.load.duration_s:
            factors = [factor for since_s, factor in self.load.rate_steps if arrival_s >= since_s]
            arrival_s += self.random.expovariate(self.load.requests_per_s * (factors[-1] if factors else 1.0))
            await asyncio.sleep(max(started_at + arrival_s - time.monotonic(), 0))
            task = asyncio.create_task(self._run_client())
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
        if self.tasks:
            max_patience_s = max(kind.patience_ms for kind in self.load.request_classes) / 1000
            await asyncio.wait(self.tasks, timeout=max_patience_s + DRAIN_S)

    async def _run_client(self) -> None:
        client = self._draw_client()
        behaviour = self.load.behaviour
        obeys_retry_after = self.random.random() < behaviour.retry_after_share
        deadline = time.monotonic() + client.request_class.patience_ms / 1000
        unreached: set[int] = set()  # instances that a client with a zone does not use again
        for attempts in itertools.count(1):
            timeout_ms = (deadline - time.monotonic()) * 1000
            if timeout_ms < MIN_TIMEOUT_MS:
                return
            is_load = client.request_class.is_load
            if is_load and behaviour.retries_unfinished_loads and behaviour.response_timeout_ms:
                timeout_ms = min(timeout_ms, behaviour.response_timeout_ms)
            instance = self._choose_instance(client.zone, unreached)
            end, text = await self._attempt(client, attempts, timeout_ms, instance)
            if client.zone and end is RequestEnd.UNREACHED:
                unreached.add(instance)
            if not behaviour.retries_after(is_load, end, text, attempts):
                return
            advised = RETRY_AFTER.search(text)
            delay_ms = behaviour.retry_delay_after_ms(attempts)
            if advised and obeys_retry_after:
                delay_ms = float(advised[1])
            await asyncio.sleep(delay_ms * (0.75 + 0.5 * self.random.random()) / 1000)

    def _draw_client(self) -> Client:
        classes = self.load.request_classes
        request_class = self.random.choices(classes, [kind.share for kind in classes])[0]
        zone = ""
        if self.load.instance_zones:
            zone = self.random.choices(self.load.instance_zones, self.load.instance_weights)[0]
        return Client(next(self.client_numbers), request_class, zone)

    def _choose_instance(self, zone: str, unreached: Set[int] = frozenset()) -> int:
        """Return the number of a random instance, by weight.

        Instances that the load balancer has detected as failed or that the client failed to reach are left
        out; if any of the others are in the client's zone, only these are considered.

        Args:
            zone: Zone of the client; empty for none.
            unreached: Instances that the client failed to reach.
        """
        now, detection_s = time.monotonic(), self.load.behaviour.failure_detection_ms / 1000
        weights = [
            0.0 if i in unreached or now - self.failed_at.get(i, now) > detection_s else weight
            for i, weight in enumerate(self.load.instance_weights)
        ]
        if zone:
            in_zone = [
                weight if self.load.instance_zones[i] == zone else 0.0 for i, weight in enumerate(weights)
            ]
            weights = in_zone if sum(in_zone) else weights
        return self.random.choices(
            range(len(weights)), weights if sum(weights) else self.load.instance_weights
        )[0]

    def _data_set(self, client_number: int, zone: str) -> int:
        """Return the number of the data set that a client reads; each zone's clients have their own."""
        zones = sorted(set(self.load.instance_zones))
        first = zones.index(zone) * DATA_SETS_PER_ZONE if zone else 0
        return first + client_number % DATA_SETS_PER_ZONE

    def _idle_session(self, instance: int) -> Session | None:
        """Return an idle session for reuse, or None.

        Sessions that the instance has closed are discarded, as a client's connection pool does, since a
        request on one would never be answered.
        """
        while self.idle_sessions[instance]:
            session = self.idle_sessions[instance].pop()
            if time.monotonic() - session.used_at < MAX_IDLE_S and not session.reader.at_eof():
                return session
            session.writer.close()
        return None

    def _statement(self, client: Client, request_id: str, attempts: int, timeout_ms: float) -> str:
        kind = client.request_class
        fields = f"service={kind.name},ref={request_id},allow={timeout_ms:.0f},effort={kind.work_ms:g}"
        if attempts > 1:
            fields += ",dup=1"
        table = f"sales_{self._data_set(client.number, client.zone)}.t"
        if not kind.is_load:
            return f"/* {fields} */ SELECT a FROM {table}"
        key = f"k{client.number % self.load.key_count}"
        return f"/* {fields},lookup={key} */ INSERT INTO {table} VALUES ('{key}', {client.number})"

    async def _attempt(
        self, client: Client, attempts: int, timeout_ms: float, instance: int
    ) -> tuple[RequestEnd, str]:
        """Send a client's request to an instance, log how the attempt ended, and return its end and text.

        Args:
            attempts: Number of this attempt, from 1.
            timeout_ms: How long the client waits for a response, in ms.
            instance: Number of the instance.
        """
        request_id = f"{self.load.seed & 0xFFFF:04x}{next(self.request_numbers):012x}"
        statement = self._statement(client, request_id, attempts, timeout_ms)
        details: Sequence[object] = (
            client.request_class.name,
            instance,
            attempts - 1,
            client.number,
            round(timeout_ms),
            *([client.zone] if client.zone else []),
        )
        self.write_log("ask", request_id, *details)
        end, text, is_sent = RequestEnd.UNREACHED, "", False
        try:
            async with asyncio.timeout(timeout_ms / 1000 + LATE_RESPONSE_S):
                session = self._idle_session(instance) or await Session.open(
                    self.load.instance_ports[instance]
                )
                is_sent = True
                end, text = await self._query(session, client, request_id, statement, instance)
            self.failed_at.pop(instance, None)
        except TimeoutError:
            end = RequestEnd.TIMED_OUT if is_sent else RequestEnd.UNREACHED
            self.failed_at.setdefault(instance, time.monotonic())
        except (OSError, asyncio.IncompleteReadError):
            end = RequestEnd.BROKEN if is_sent else RequestEnd.UNREACHED
            self.failed_at.setdefault(instance, time.monotonic())
            loop = asyncio.get_running_loop()
            loop.call_later(BROKEN_INSTANCE_S, self.failed_at.pop, instance, None)
        self.write_log(end, request_id, text[:MAX_LOGGED_TEXT])
        return end, text

    async def _query(
        self, session: Session, client: Client, request_id: str, statement: str, instance: int
    ) -> tuple[RequestEnd, str]:
        """Run a statement with the delay between the client's zone and the instance's; pool the session."""
        distance_s = 0.0
        if client.zone:
            instance_zone = self.load.instance_zones[instance]
            distance_s = distance_ms(self.load.zone_distances_ms, client.zone, instance_zone) / 1000
        try:
            await asyncio.sleep(distance_s)
            self.write_log("sent", request_id)
            result = await session.query(statement)
            await asyncio.sleep(distance_s)
        except BaseException:
            session.writer.close()
            raise
        session.used_at = time.monotonic()
        if len(self.idle_sessions[instance]) < MAX_IDLE_CONNECTIONS:
            self.idle_sessions[instance].append(session)
        else:
            session.writer.close()
        return result


async def main(settings: str) -> None:
    """Run a load, given as the JSON of a `Load`, to its end."""
    load: Load = msgspec.json.decode(settings, type=Load)
    with open(load.log_path, "a", buffering=1) as log:
        print("ready", flush=True)
        await Clients(load, log).run()


if __name__ == "__main__":
    uvloop.run(main(sys.argv[1]))
