"""A stand-in of an engine that records each attempt, with results of several pages."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass

from cottonhold.backend.resp import RespError, encode_array
from cottonhold.emulator.serving import Listener, engine_calls

RUNNING, SERVED, DROPPED, LOST, TIMED_OUT = "running", "served", "dropped", "lost", "timed out"


@dataclass(slots=True)
class ReceivedAttempt:
    """An attempt as its engine received it; times are in s of the monotonic clock."""

    engine: str
    request_id: str
    class_name: str
    timeout_ms: float
    received_at: float
    state: str = RUNNING
    ended_at: float = 0.0

    def end(self, state: str) -> None:
        """Record the end of the attempt, once."""
        if self.state == RUNNING:
            self.state, self.ended_at = state, time.monotonic()


@dataclass(slots=True, frozen=True)
class Work:
    """What an attempt does.

    Attributes:
        duration_ms: How long it runs.
        pages: The pages of its result.
    """

    duration_ms: float
    pages: tuple[bytes, ...] = ()


Workload = Callable[[str, str], Work]  # class name and request id


class Engine(Listener):
    """An engine: runs all that it is sent, and answers each attempt once."""

    expected_errors = (*Listener.expected_errors, RespError)

    def __init__(self, engine_id: str, workload: Workload) -> None:
        super().__init__()
        self.id, self.workload = engine_id, workload
        self.attempts: list[ReceivedAttempt] = []
        # Time of each attempt, in s of the monotonic clock, and the number of its connection.
        self.received_on: list[tuple[float, int]] = []
        self.connection_count = 0
        self.in_flight = 0
        self.port = 0
        self.is_hanging = False  # nothing is answered while it hangs

    async def listen(self, port: int = 0) -> None:
        """Start to listen."""
        self.port = await self.start(port=port)

    def address(self) -> str:
        """Return the address as the event bus tells it."""
        return f"127.0.0.1:{self.port}"

    async def converse(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection; its open attempts are given up when it ends."""
        conversation = Conversation(self, writer)
        try:
            async for call in engine_calls(reader):
                conversation.on_call(call)
        finally:
            conversation.end()


class Conversation:
    """One connection of a dispatcher to an engine."""

    def __init__(self, engine: Engine, writer: asyncio.StreamWriter) -> None:
        self.engine, self.writer = engine, writer
        engine.connection_count += 1
        self.number = engine.connection_count
        self.open: dict[bytes, tuple[ReceivedAttempt, asyncio.TimerHandle]] = {}
        self.results: dict[bytes, tuple[bytes, ...]] = {}

    def on_call(self, call: list[bytes]) -> None:
        """Process one call of the dispatcher."""
        verb, request_id = call[0], call[1]
        if verb == b"GET":
            self._begin(request_id, call[2])
        elif verb in (b"PING", b"LOAD"):
            self._write(request_id, b"green", b"gauges=inflight:%d;util:0.1" % self.engine.in_flight, b"")
        elif verb == b"PAGE":
            self._send_page(request_id, int(call[2]))
        elif verb == b"CLOSE":
            self.results.pop(request_id, None)
        elif verb == b"DROP" and (entry := self.open.pop(request_id, None)):
            self._forget(entry, DROPPED)

    def _begin(self, request_id: bytes, fields: bytes) -> None:
        values = dict(part.split("=", 1) for part in fields.decode().split(","))
        attempt = ReceivedAttempt(
            self.engine.id, request_id.decode(), values["kind"], float(values["ms"]), time.monotonic()
        )
        self.engine.attempts.append(attempt)
        self.engine.received_on.append((attempt.received_at, self.number))
        self.engine.in_flight += 1
        work = self.engine.workload(attempt.class_name, attempt.request_id)
        duration_s = min(work.duration_ms, attempt.timeout_ms) / 1000
        timer = asyncio.get_running_loop().call_later(duration_s, self._finish, request_id, work)
        self.open[request_id] = (attempt, timer)

    def _finish(self, request_id: bytes, work: Work) -> None:
        attempt, timer = entry = self.open.pop(request_id)
        if work.duration_ms > attempt.timeout_ms:
            self._forget(entry, TIMED_OUT)
            return
        self._forget(entry, SERVED)
        pages = work.pages or (b"%b\t%b\tok\n" % (self.engine.id.encode(), request_id),)
        fields = b"count=%d,ticks=%.1f,footprint=1,gauges=inflight:%d;util:0.1" % (
            len(pages),
            work.duration_ms,
            self.engine.in_flight,
        )
        if len(pages) > 1:
            self.results[request_id] = pages
        self._write(request_id, b"served", fields, pages[0])

    def _send_page(self, request_id: bytes, position: int) -> None:
        pages = self.results.get(request_id)
        if pages is None:
            self._write(request_id, b"crashed", b"-")
        else:
            self._write(request_id, b"rows", b"pos=%d" % position, pages[position])

    def _forget(self, entry: tuple[ReceivedAttempt, asyncio.TimerHandle], state: str) -> None:
        attempt, timer = entry
        timer.cancel()
        attempt.end(state)
        self.engine.in_flight -= 1

    def _write(self, *elements: bytes) -> None:
        if not self.writer.is_closing() and not self.engine.is_hanging:
            self.writer.write(encode_array(*elements))

    def end(self) -> None:
        """Give up everything that is open on the connection."""
        for entry in self.open.values():
            self._forget(entry, LOST)
        self.open.clear()
