"""The operators' HTTP API: HTTP/1.1, one call per connection, as state machines independent of sockets."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

import httptools

from cottonhold.node.lifecycle import Lifecycle, Phase
from cottonhold.observe.counters import Counters
from cottonhold.transport.clock import Clock, Timer
from cottonhold.transport.interface import StreamHandle

CALL_TIMEOUT_MS = 2000.0  # longest time from connecting to the call's last byte
MAX_HEAD_BYTES = 8 * 1024  # largest size of the request line and headers
MAX_BODY_BYTES = 64 * 1024  # largest size of a body, which is read and discarded
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


class Response(NamedTuple):
    """A call's response."""

    status: int
    text: str  # for status 405 the method that is allowed


class Route(NamedTuple):
    """The method and the handler of a path."""

    method: bytes
    handler: Callable[[], Response]


class AdminApi:
    """Handles the calls of all connections, and limits the number of open connections.

    Args:
        lifecycle: The lifecycle that calls query and change.
        clock: This process's clock.
        counters: The counters of this process.
        log_event: Logs an event with its fields.
        max_connections: Largest number of open connections.
    """

    def __init__(
        self,
        lifecycle: Lifecycle,
        clock: Clock,
        counters: Counters,
        log_event: Callable[..., None],
        max_connections: int,
    ) -> None:
        self.lifecycle, self.clock, self.counters = lifecycle, clock, counters
        self.log_event, self.max_connections = log_event, max_connections
        # Tells the other processes of this dispatcher that a drain has begun or ended.
        self.share_drain: Callable[[bool], None] = lambda is_draining: None
        self.connections: dict[AdminConnection, None] = {}  # oldest first
        self.routes = {
            b"/healthcheck": Route(b"GET", self._check_health),
            b"/healthcheck/fail": Route(b"POST", self._drain),
            b"/healthcheck/ok": Route(b"POST", self._restore),
        }

    def open(self) -> AdminConnection:
        """Return the state machine of a new connection; at the limit, close an answered or the oldest one.

        Callers that stay connected without sending a complete call must not block other callers.
        """
        if len(self.connections) >= self.max_connections:
            oldest = next((c for c in self.connections if c.is_closing), next(iter(self.connections)))
            self.counters.add("ops_pushed_out")
            oldest.evict()
        connection = AdminConnection(self)
        self.connections[connection] = None
        return connection

    def respond(self, method: bytes, path: bytes) -> Response:
        """Execute a call and return its response."""
        route = self.routes.get(path)
        if route is None:
            return Response(404, "no such call")
        if method != route.method:
            return Response(405, route.method.decode())
        return route.handler()

    def _check_health(self) -> Response:
        phase = self.lifecycle.phase()
        return Response(200 if phase is Phase.SERVING else 503, phase.value)

    def _drain(self) -> Response:
        self.share_drain(True)
        self.set_draining(True)
        return Response(200, self.lifecycle.phase().value)

    def _restore(self) -> Response:
        self.share_drain(False)
        if not self.set_draining(False):
            return Response(409, Phase.SHUTTING_DOWN.value)
        return Response(200, self.lifecycle.phase().value)

    def set_draining(self, is_draining: bool) -> bool:
        """Begin or end the drain of this process; return False if it shuts down and the drain can't end."""
        if is_draining and self.lifecycle.drain(self.clock.now()):
            self.counters.add("drains")
            self.log_event("drain_started", phase=self.lifecycle.phase().value)
        elif not is_draining:
            if not self.lifecycle.restore():
                return False
            self.log_event("drain_ended", phase=self.lifecycle.phase().value)
        return True


class AdminConnection:
    """The state machine of one connection, which accepts one call."""

    def __init__(self, api: AdminApi) -> None:
        self.api = api
        self.stream: StreamHandle | None = None
        self.is_closing = self.is_closed = False
        self.output = b""
        self.parser = httptools.HttpRequestParser(self)
        self.received_bytes, self.body_bytes, self.path = 0, 0, b""
        self.is_reading_head = True  # request line and headers
        self.timer: Timer = api.clock.call_in(CALL_TIMEOUT_MS, self._on_timeout)

    def receive(self, data: bytes) -> None:
        """Process bytes from the caller."""
        if self.is_closing:
            return
        self.received_bytes += len(data)
        if self.is_reading_head and self.received_bytes > MAX_HEAD_BYTES:
            self._respond(Response(431, f"at most {MAX_HEAD_BYTES} bytes"))
            return
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._respond(Response(400, "no upgrade is served here"))
        except httptools.HttpParserError as error:
            self._respond(Response(400, type(error).__name__))
        if self.received_bytes - self.body_bytes > MAX_HEAD_BYTES:  # trailers of a body in chunks
            self._respond(Response(431, f"at most {MAX_HEAD_BYTES} bytes"))
        if self.received_bytes > MAX_HEAD_BYTES + MAX_BODY_BYTES:
            self._respond(Response(413, f"at most {MAX_BODY_BYTES} bytes"))

    def pop_output(self) -> bytes:
        """Return and clear the bytes to be written to the caller."""
        data, self.output = self.output, b""
        return data

    def on_closed(self) -> None:
        """Release the connection; called when it has been closed."""
        if not self.is_closed:
            self.is_closed = self.is_closing = True
            self.timer.cancel()
            self.api.connections.pop(self, None)

    def evict(self) -> None:
        """Close the connection to make room for another; first answer a call that has already arrived."""
        if self.stream is not None:
            self.stream.read_available()
            self.stream.close_gracefully()
        stream, self.stream = self.stream, None
        self.on_closed()
        if stream is not None:
            stream.abort()

    def on_url(self, url: bytes) -> None:
        """Append a part of the call's path; called by the parser."""
        self.path += url

    def on_headers_complete(self) -> None:
        """Record that a body follows, which is discarded; called by the parser."""
        self.is_reading_head = False

    def on_body(self, data: bytes) -> None:
        """Discard a part of the body; called by the parser."""
        self.body_bytes += len(data)

    def on_message_complete(self) -> None:
        """Execute the complete call, and ignore all bytes after it; called by the parser."""
        if not self.is_closing:
            method = self.parser.get_method()
            self._respond(self.api.respond(method, self.path.partition(b"?")[0]))

    def _on_timeout(self) -> None:
        self._respond(Response(408, "the call did not come in time"))

    def _respond(self, response: Response) -> None:
        """Send the only response, after which the connection is closed."""
        if self.is_closing:
            return
        self.is_closing = True
        self.timer.cancel()
        status, text = response
        is_valid_call = status < 400 or status in (409, 503)
        self.api.counters.add("ops_calls" if is_valid_call else "ops_malformed")
        self.output = encode_response(status, text)
        if self.stream is not None:
            self.stream.flush()


def encode_response(status: int, text: str) -> bytes:
    """Encode a response as HTTP/1.1."""
    allow = f"Allow: {text}\r\n" if status == 405 else ""
    body = f"{text}\n"
    head = f"HTTP/1.1 {status} {REASONS[status]}\r\n{allow}Content-Type: text/plain\r\n"
    return f"{head}Content-Length: {len(body)}\r\nConnection: close\r\n\r\n{body}".encode()
