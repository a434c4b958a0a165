"""The event stream: changes of the engine list, read by a long poll that is always open."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, NoReturn

import httptools
import orjson

from cottonhold.discovery.model import Address, ConfiguredNames, Observation, ServiceStatus, SourceReport
from cottonhold.message_validation import NUMBER, WireError, read, read_mapped
from cottonhold.observe.counters import Counters

# Short, so that a silently cut link is noticed well within the 7 s in which a change must be known.
LONG_POLL_MS = 2000
# The first call of a connection is shorter: a link that broke may come back dead, and a change must be known
# within 2 s of a break, or of another process taking over.
FIRST_POLL_MS = 500
# An answer that hasn't begun so long after the poll's time, or pauses so long, means a dead link.
FIRST_BYTE_TIMEOUT_MS = 1000.0
MAX_ANSWER_MS = 4000.0  # from then on, however steadily it comes
MAX_ANSWER_BYTES = 4 << 20
STATUS_BY_LIFECYCLE = {
    "Ready": ServiceStatus.IN_SERVICE,
    "Terminating": ServiceStatus.DRAINED,
    "Gone": ServiceStatus.ENDED,
}
SOURCE = "bus"


def decode_engine(source: dict[str, Any], names: ConfiguredNames) -> Observation:
    """One entry of the list; a zone or machine type that the settings do not name counts as the first."""
    address = read(source, "hostPort", str, "")
    return Observation(
        id=read(source, "instanceId", str),
        status=read_mapped(source, "lifecycle", STATUS_BY_LIFECYCLE),
        reason=read(source, "lifecycle", str),
        address=Address.parse(address) if address else None,
        zone=names.zone_index(read(source, "zone", str, "")),
        machine_type=names.machine_type_index(read(source, "machineType", str, "")),
        cell=read(source, "cell", int, 0),
        size=read(source, "weight", NUMBER, 1.0),
        started_at=float(read(source, "startedAtMs", NUMBER, 0.0)),
    )


def decode_events(
    source: Any, names: ConfiguredNames, counters: Counters, log: Callable[[str], None] = lambda text: None
) -> tuple[int, list[SourceReport]]:
    """The last event's sequence number and the report of each; an invalid entry is counted and skipped."""

    def malformed(error: Exception) -> None:
        counters.add("bus_malformed")
        log(f"event bus: passed over: {str(error)!r}")

    if not isinstance(source, dict):
        raise WireError("not an object")
    reports = []
    for event in read(source, "batch", list, []):
        try:
            topology = read(event, "topology", dict, None) if isinstance(event, dict) else None
            if topology is None:  # another kind of event
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


class EventStream:
    """Polls for what follows the last event and passes reports on; knows no socket."""

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
        self.is_short_call_unanswered = False  # the last call, a short one
        # Called for each complete answer, even if it brings nothing new.
        self.on_complete_answer: Callable[[], None] = lambda: None
        self.restart()

    def restart(self) -> None:
        """Begin a new connection: a partial answer of the old one is dropped."""
        self.parser = httptools.HttpResponseParser(self)
        self.body, self.is_complete, self.keeps_connection, self.has_length = bytearray(), False, True, False
        # If answers are slow, a short call might never get one, so that every second call is long.
        self.max_poll_ms = LONG_POLL_MS if self.is_short_call_unanswered else FIRST_POLL_MS
        self.is_short_call_unanswered = False

    def request(self) -> bytes:
        """The next call."""
        self.is_complete = self.has_length = False
        self.is_short_call_unanswered = self.max_poll_ms == FIRST_POLL_MS
        call = (
            f"GET /bus/read?from={self.offset}&hold={self.max_poll_ms} HTTP/1.1\r\nHost: {self.host}\r\n\r\n"
        )
        return call.encode()

    def first_byte_timeout_ms(self) -> float:
        """How long the answer to a call may take to begin."""
        return self.max_poll_ms + FIRST_BYTE_TIMEOUT_MS

    def receive(self, data: bytes) -> bool:
        """Parse received bytes; true once the answer is complete. Raises WireError for one that can't be
        used.
        """
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError as error:
            self._malformed(error)
        if self.is_complete:
            self._on_answer()
        return self.is_complete

    def on_connection_closed(self) -> None:
        """The connection has ended, and with it an answer without a length. Else raises WireError."""
        if self.has_length or not self.body:
            raise WireError("the event bus closed the connection")
        self.keeps_connection = False
        self._on_answer()

    def _on_answer(self) -> None:
        """Pass on the reports of a complete answer."""
        self.is_short_call_unanswered, self.max_poll_ms = False, LONG_POLL_MS
        status, body = self.parser.get_status_code(), bytes(self.body)
        self.body.clear()
        try:
            if status != 200:
                raise WireError(f"status {status}")
            offset, reports = decode_events(orjson.loads(body), self.names, self.counters, self.log)
        except (orjson.JSONDecodeError, WireError) as error:
            self._malformed(error)
        if offset > self.offset:  # an answer that brings nothing new must not be passed on twice
            self._report(offset, reports)
        if offset == self.offset:
            self.on_complete_answer()

    def _report(self, offset: int, reports: list[SourceReport]) -> None:
        last_offset, self.offset = self.offset, offset
        for report in sorted(reports, key=lambda report: report.index):
            # A repeated event of an engine before its drain must not put it back in service.
            if not 0 < report.index <= last_offset:
                self.on_report(report)

    def _malformed(self, error: Exception) -> NoReturn:
        self.counters.add("bus_malformed")
        raise WireError(f"event bus: {error}") from error

    def on_header(self, name: bytes, value: bytes) -> None:
        """A header of the answer (httptools calls this)."""
        self.has_length = self.has_length or name.lower() in (b"content-length", b"transfer-encoding")

    def on_body(self, data: bytes) -> None:
        """Part of the answer (httptools calls this)."""
        if len(self.body) + len(data) > MAX_ANSWER_BYTES:
            raise WireError("an answer too large")
        self.body += data

    def on_message_complete(self) -> None:
        """The answer is complete (httptools calls this); an interim one doesn't count."""
        self.is_complete = self.parser.get_status_code() >= 200
        self.keeps_connection = self.parser.should_keep_alive()
