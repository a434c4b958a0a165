"""The event stream: changes of the engine list, received by continuous long polling. Free of I/O."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, NoReturn

import httptools
import orjson

from cottonhold.discovery.model import Address, ConfiguredNames, Observation, ServiceStatus, SourceReport
from cottonhold.message_validation import NUMBER, WireError, read, read_mapped
from cottonhold.observe.counters import Counters

# Longest wait of a poll, in ms. It is short so that a silently broken link is detected well within the 7 s in
# which a change must be received.
LONG_POLL_MS = 2000
# Longest wait of the first poll of a connection, in ms. It is shorter because a new connection after a broken
# link may be dead as well, and a change must be received within 2 s after the break or after another process
# has taken over.
FIRST_POLL_MS = 500
# A poll is overdue if its answer begins later than this after the end of its wait, or if no byte is received
# for this time within the answer. Another connection is polled then.
FIRST_BYTE_TIMEOUT_MS = 1000.0
# Longest time from the deadline of an answer's first byte to its last byte, even if it never pauses. Then the
# poll is overdue.
MAX_ANSWER_MS = 4000.0
# Largest number of polls at the same time. A slow source answers an overdue poll in the end, while a new poll
# waits there anew. The oldest of so many has waited for more than 7 s.
MAX_POLLS = 4
MAX_ANSWER_BYTES = 4 << 20
MAX_HEAD_BYTES = 16 * 1024  # of an answer's status line and headers, and of what surrounds its body
# An answer of many small lists and objects takes many times its size once it is parsed. An entry of the
# engine list has over a hundred bytes.
MIN_BYTES_PER_CONTAINER = 32
FREE_CONTAINERS = 64
MAX_ID_CHARACTERS = 256
STATUS_BY_LIFECYCLE = {
    "Ready": ServiceStatus.IN_SERVICE,
    "Terminating": ServiceStatus.DRAINED,
    "Gone": ServiceStatus.ENDED,
}
SOURCE = "bus"


def decode_engine(source: dict[str, Any], names: ConfiguredNames) -> Observation:
    """Decode one entry of the engine list.

    Args:
        source: The entry, as parsed from JSON.
        names: The configured zones and machine types; an unknown type is replaced by the first.

    Raises:
        WireError: A field is missing or invalid.
    """
    address = read(source, "hostPort", str, "")
    machine_type = read(source, "machineType", str, None)
    if len(read(source, "instanceId", str)) > MAX_ID_CHARACTERS:
        raise WireError(f"an id has over {MAX_ID_CHARACTERS} characters")
    return Observation(
        id=read(source, "instanceId", str),
        status=read_mapped(source, "lifecycle", STATUS_BY_LIFECYCLE),
        reason=read(source, "lifecycle", str),
        address=Address.parse(address) if address else None,
        zone=names.reported_zone(read(source, "zone", str, None)),
        machine_type=None if machine_type is None else names.machine_type_index(machine_type),
        cell=read(source, "cell", int, None),
        size=read(source, "weight", NUMBER, 1.0),
        started_at=float(read(source, "startedAtMs", NUMBER, 0.0)),
    )


def decode_events(
    source: Any, names: ConfiguredNames, counters: Counters, log: Callable[[str], None] = lambda text: None
) -> tuple[int, list[SourceReport]]:
    """Decode an answer of the event stream; invalid events and entries are counted, logged and skipped.

    Returns:
        The sequence number of the last event, and a report for each event that changes the engine list.

    Raises:
        WireError: The answer as a whole is invalid.
    """

    def malformed(error: Exception) -> None:
        counters.add("bus_malformed")
        log(f"event bus: skipped an invalid entry: {str(error)!r}")

    if not isinstance(source, dict):
        raise WireError("not an object")
    reports = []
    for event in read(source, "batch", list, []):
        try:
            topology = read(event, "topology", dict, None) if isinstance(event, dict) else None
            if topology is None:  # an event of another kind
                continue
            entries = read(topology, "instances", list, [])
            is_complete = read(topology, "reset", bool, False) or event.get("offset") == 1
        except WireError as error:
            malformed(error)
            continue
        observations = []
        for entry in entries:
            try:
                observations.append(decode_engine(entry, names))
            except (WireError, AttributeError) as error:
                malformed(error)
        number = event.get("offset")
        index = number if isinstance(number, int) else 0
        reports.append(SourceReport(SOURCE, index, tuple(observations), is_complete=is_complete))
    return read(source, "offset", int), reports


def check_containers(body: bytes) -> None:
    """Check that an answer does not take far more memory than its size. Raises WireError."""
    containers = body.count(b"{") + body.count(b"[")
    if containers > FREE_CONTAINERS + len(body) // MIN_BYTES_PER_CONTAINER:
        raise WireError(f"{containers} lists and objects in {len(body)} bytes")


class EventStream:
    """The position in the event stream; passes the reports of later events to `on_report`.

    Args:
        host: The source's name in polls.
        offset: The sequence number of the last event that is known.
        names: The configured zones and machine types.
        counters: Counts malformed answers.
        on_report: Receives each report once.
        log: Writes a line to the operators' log.
    """

    def __init__(
        self,
        host: str,
        offset: int,
        names: ConfiguredNames,
        counters: Counters,
        on_report: Callable[[SourceReport], None],
        log: Callable[[str], None] = lambda text: None,
    ) -> None:
        self.host, self.offset, self.names, self.counters = host, offset, names, counters
        self.on_report, self.log = on_report, log
        self.is_short_poll_unanswered = False  # whether the last poll was short and had no answer
        self.max_answer_bytes = MAX_ANSWER_BYTES
        # Called for each complete answer, even if it contains nothing new.
        self.on_complete_answer: Callable[[], None] = lambda: None

    def first_hold_ms(self) -> int:
        """Return the wait of the first poll of a new connection, in ms.

        If answers are slow, a short poll might never be answered, so the next poll is long.
        """
        return LONG_POLL_MS if self.is_short_poll_unanswered else FIRST_POLL_MS

    def request(self, hold_ms: int) -> bytes:
        """Return the bytes of a poll with this wait."""
        self.is_short_poll_unanswered = hold_ms == FIRST_POLL_MS
        path = f"/bus/read?from={self.offset}&hold={hold_ms}"
        return f"GET {path} HTTP/1.1\r\nHost: {self.host}\r\n\r\n".encode()

    def on_answer(self, status: int, body: bytes) -> None:
        """Decode a complete answer and pass on its reports. Raises WireError if it is invalid."""
        self.is_short_poll_unanswered = False
        try:
            if status != 200:
                raise WireError(f"status {status}")
            check_containers(body)
            offset, reports = decode_events(orjson.loads(body), self.names, self.counters, self.log)
        except (orjson.JSONDecodeError, WireError) as error:
            self.reject_answer(error)
        if offset > self.offset:  # events that were already passed on must not be passed on again
            self._report(offset, reports)
        if offset == self.offset:
            self.on_complete_answer()

    def _report(self, offset: int, reports: list[SourceReport]) -> None:
        last_offset, self.offset = self.offset, offset
        for report in sorted(reports, key=lambda report: report.index):
            # A repeated event from before an engine's drain must not return it to service.
            if not 0 < report.index <= last_offset:
                self.on_report(report)

    def reject_answer(self, error: Exception) -> NoReturn:
        """Count a malformed answer. Raises WireError."""
        self.counters.add("bus_malformed")
        raise WireError(f"event bus: {error}") from error


class PollConnection:
    """The polls on one connection, one after another, and the parser of their answers.

    The caller owns the connection: it sends `request()`, and passes received bytes to `receive` and the
    connection's end to `on_connection_closed`. It continues with the next request while `is_reusable`.
    """

    def __init__(self, stream: EventStream) -> None:
        self.stream = stream
        self.parser = httptools.HttpResponseParser(self)
        self.body, self.head_bytes = bytearray(), 0
        self.is_complete, self.is_reusable, self.has_length = False, True, False
        self.hold_ms = stream.first_hold_ms()

    def request(self) -> bytes:
        """Return the bytes of the next poll."""
        self.is_complete = self.has_length = False
        return self.stream.request(self.hold_ms)

    def first_byte_timeout_ms(self) -> float:
        """Return how long after the request the answer may begin without being overdue, in ms."""
        return self.hold_ms + FIRST_BYTE_TIMEOUT_MS

    def receive(self, data: bytes) -> bool:
        """Parse received bytes; return whether the answer is complete. Raises WireError if it is invalid."""
        self.head_bytes += len(data)
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError as error:
            cause = error.__context__
            self.stream.reject_answer(cause if isinstance(cause, WireError) else error)
        if self.head_bytes > MAX_HEAD_BYTES:
            self.stream.reject_answer(WireError(f"over {MAX_HEAD_BYTES} bytes beside the body"))
        if self.is_complete:
            self._on_answer()
        return self.is_complete

    def on_connection_closed(self) -> None:
        """Process the end of the connection, which also ends an answer without a length.

        Raises:
            WireError: There is no such answer.
        """
        if self.has_length or not self.body:
            raise WireError("the event bus closed the connection")
        self.is_reusable = False
        self._on_answer()

    def _on_answer(self) -> None:
        self.hold_ms, self.head_bytes = LONG_POLL_MS, 0
        status, body = self.parser.get_status_code(), bytes(self.body)
        self.body.clear()
        self.stream.on_answer(status, body)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Process a header of the answer; called by httptools."""
        self.has_length = self.has_length or name.lower() in (b"content-length", b"transfer-encoding")

    def on_body(self, data: bytes) -> None:
        """Process a part of the answer's body; called by httptools."""
        self.head_bytes -= len(data)
        if len(self.body) + len(data) > self.stream.max_answer_bytes:
            raise WireError("the answer is too large")
        self.body += data

    def on_message_complete(self) -> None:
        """Record that the answer is complete, unless it is an interim one; called by httptools."""
        self.is_complete = self.parser.get_status_code() >= 200
        self.is_reusable = self.parser.should_keep_alive()
