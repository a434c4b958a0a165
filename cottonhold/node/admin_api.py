"""Operators' calls: HTTP/1.1, one a connection, as state machines that are fed bytes and know no socket."""

from __future__ import annotations

from collections.abc import Callable

import httptools

from cottonhold.frontend.mysql_session import StreamHandle
from cottonhold.node.clock import Clock, Timer
from cottonhold.node.lifecycle import Lifecycle, Phase
from cottonhold.observe.counters import Counters

CALL_MS = 2000.0  # a call that is not whole by then is told so
MOST_HEAD = 8 * 1024  # of a call's line and headers
MOST_BODY = 64 * 1024  # of a body, which is read and dropped
REASONS = {
    200: "OK",
    400: "Bad Request",
    404: "Not Found",
    405: "Method Not Allowed",
    408: "Request Timeout",
    409: "Conflict",
    413: "Content Too Large",
    431: "Request Header Fields Too Large",
    503: "Service Unavailable",
}
Answer = tuple[int, str]


class AdminApi:
    """What all calls share: the state that they ask and change, and how many there may be at once."""

    def __init__(
        self, lifecycle: Lifecycle, clock: Clock, counters: Counters, note: Callable[..., None], most: int
    ) -> None:
        self.lifecycle, self.clock, self.counters, self.log_event, self.max_connections = (
            lifecycle,
            clock,
            counters,
            note,
            most,
        )
        self.connections: dict[AdminConnection, None] = {}  # oldest first
        self.handlers: dict[bytes, tuple[bytes, Callable[[], Answer]]] = {
            b"/healthcheck": (b"GET", self._health),
            b"/healthcheck/fail": (b"POST", self._fail),
            b"/healthcheck/ok": (b"POST", self._ok),
        }

    def open(self) -> AdminConnection:
        """A call on a new connection; where all places are taken, the one that matters least makes room.

        Danger: callers that say nothing, or half a call, and stay, kept the others from being heard.
        """
        if len(self.connections) >= self.max_connections:
            oldest = next((c for c in self.connections if c.is_closing), next(iter(self.connections)))
            self.counters.add("ops_pushed_out")
            oldest.evict()
        call = AdminConnection(self)
        self.connections[call] = None
        return call

    def answer(self, method: bytes, path: bytes) -> Answer:
        """Carry out a call."""
        handler = self.handlers.get(path)
        if handler is None:
            return 404, "no such call"
        if method != handler[0]:
            return 405, handler[0].decode()
        return handler[1]()

    def _health(self) -> Answer:
        phase = self.lifecycle.phase()
        return (200 if phase is Phase.SERVING else 503), phase.value

    def _fail(self) -> Answer:
        if self.lifecycle.drain(self.clock.now()):
            self.counters.add("drains")
            self.log_event("drain", phase=self.lifecycle.phase().value)
        return 200, self.lifecycle.phase().value

    def _ok(self) -> Answer:
        if not self.lifecycle.restore():
            return 409, Phase.SHUTTING_DOWN.value
        self.log_event("drain_ended", phase=self.lifecycle.phase().value)
        return 200, self.lifecycle.phase().value


class AdminConnection:
    """One connection, with the one call on it."""

    def __init__(self, calls: AdminApi) -> None:
        self.calls, self.stream, self.is_closing, self.is_closed = calls, None, False, False
        self.output = b""
        self.parser = httptools.HttpRequestParser(self)
        self.size, self.path = 0, b""
        self.is_reading_head = True  # line and headers are still coming
        self.timer: Timer = calls.clock.call_in(CALL_MS, self._late)

    stream: StreamHandle | None

    # --- the driver's side ---

    def receive(self, data: bytes) -> None:
        """Bytes from the caller."""
        if self.is_closing:
            return
        self.size += len(data)
        if self.is_reading_head and self.size > MOST_HEAD:
            self._answer(431, f"at most {MOST_HEAD} bytes")
            return
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._answer(400, "no upgrade is served here")
        except httptools.HttpParserError as error:
            self._answer(400, type(error).__name__)
        if self.size > MOST_HEAD + MOST_BODY:
            self._answer(413, f"at most {MOST_BODY} bytes")

    def take_output(self) -> bytes:
        """What is to be written now."""
        data, self.output = self.output, b""
        return data

    def on_closed(self) -> None:
        """The connection has ended."""
        if not self.is_closed:
            self.is_closed = self.is_closing = True
            self.timer.cancel()
            self.calls.connections.pop(self, None)

    def evict(self) -> None:
        """Close at once, to make room; a call that has come, read or not, is answered first."""
        if self.stream is not None:
            self.stream.read_available()
            self.stream.close_gracefully()
        line, self.stream = self.stream, None
        self.on_closed()
        if line is not None:
            line.abort()

    # --- httptools calls these ---

    def on_url(self, url: bytes) -> None:
        """The call's path, maybe in parts."""
        self.path += url

    def on_headers_complete(self) -> None:
        """What follows is a body, which nobody wants."""
        self.is_reading_head = False

    def on_message_complete(self) -> None:
        """The call is whole; what comes after it on this connection is not read."""
        if not self.is_closing:
            method = self.parser.get_method()
            self._answer(*self.calls.answer(method, self.path.partition(b"?")[0]))

    # --- answers ---

    def _late(self) -> None:
        self._answer(408, "the call did not come in time")

    def _answer(self, status: int, text: str) -> None:
        """The one answer, with which the connection ends."""
        if self.is_closing:
            return
        self.is_closing = True
        self.timer.cancel()
        self.calls.counters.add("ops_calls" if status < 400 or status in (409, 503) else "ops_malformed")
        allow = f"Allow: {text}\r\n" if status == 405 else ""
        body = f"{text}\n"
        head = f"HTTP/1.1 {status} {REASONS[status]}\r\n{allow}Content-Type: text/plain\r\n"
        self.output = f"{head}Content-Length: {len(body)}\r\nConnection: close\r\n\r\n{body}".encode()
        if self.stream is not None:
            self.stream.flush()
