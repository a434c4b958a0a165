"""The event bus: changes to the engine list, read by a long poll that is always open."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, NoReturn

import httptools
import orjson

from cottonhold.discovery.model import Address, Names, Observation, Report, Verdict
from cottonhold.message_validation import NUMBER, WireError, read, word
from cottonhold.observe.counters import Counters

HOLD_MS = 2000  # short, so that a silently cut link shows well within the 7 s after which news counts as told
# The first call of a connection is shorter: a link that broke may come back dead, and what the bus has to
# tell counts as told 2 s after a break, or after another process has taken over.
FIRST_HOLD_MS = 500
ANSWER_MS = (
    1000.0  # an answer that has not begun so long after the hold, or pauses so long, means a dead link
)
MOST_ANSWER_MS = 4000.0  # and one that is not whole so long after that, however steadily it comes
MOST_BYTES = 4 << 20
VERDICTS = {"Ready": Verdict.IN, "Terminating": Verdict.DRAINED, "Gone": Verdict.ENDED}
SOURCE = "bus"


def read_engine(source: dict[str, Any], names: Names) -> Observation:
    """One entry of the list; a zone or kind that the settings do not name counts as the first."""
    address = read(source, "hostPort", str, "")
    return Observation(
        id=read(source, "instanceId", str),
        verdict=word(source, "lifecycle", VERDICTS),
        reason=read(source, "lifecycle", str),
        address=Address.parse(address) if address else None,
        zone=names.zone(read(source, "zone", str, "")),
        model=names.model(read(source, "machineType", str, "")),
        cell=read(source, "cell", int, 0),
        size=read(source, "weight", NUMBER, 1.0),
        started_at=float(read(source, "startedAtMs", NUMBER, 0.0)),
    )


def read_batch(
    source: Any, names: Names, counters: Counters, say: Callable[[str], None] = lambda text: None
) -> tuple[int, list[Report]]:
    """The last event's number and what each told; an entry that makes no sense is counted and passed over."""

    def malformed(error: Exception) -> None:
        counters.add("bus_malformed")
        say(f"event bus: passed over: {str(error)!r}")

    if not isinstance(source, dict):
        raise WireError("not an object")
    reports = []
    for event in read(source, "batch", list, []):
        try:
            topology = read(event, "topology", dict, None) if isinstance(event, dict) else None
            if topology is None:  # another kind of event is none of ours
                continue
            entries = read(topology, "instances", list, [])
            whole = read(topology, "reset", bool, False) or event.get("offset") == 1
        except WireError as error:
            malformed(error)
            continue
        told = []
        for entry in entries:
            try:
                told.append(read_engine(entry, names))
            except (WireError, AttributeError) as error:
                malformed(error)
        number = event.get("offset")
        reports.append(Report(SOURCE, number if isinstance(number, int) else 0, tuple(told), whole=whole))
    return read(source, "offset", int), reports


class Bus:
    """Asks for what follows the last event and passes on what comes; knows no socket."""

    def __init__(
        self,
        host: str,
        offset: int,
        names: Names,
        counters: Counters,
        tell: Callable[[Report], None],
        say: Callable[[str], None] = lambda text: None,
    ) -> None:
        self.host, self.offset, self.names, self.counters, self.tell = host, offset, names, counters, tell
        self.unanswered = False  # the last call, a short one
        self.current: Callable[[], None] = lambda: None  # an answer is told whole, even if nothing is new
        self.say = say
        self.restart()

    def restart(self) -> None:
        """A new connection: half an answer of the old one is void."""
        self.parser = httptools.HttpResponseParser(self)
        self.body, self.whole, self.keep, self.sized = bytearray(), False, True, False
        # Danger: where answers are slow a short call might never get one, so every second one is a long one.
        self.hold_ms = HOLD_MS if self.unanswered else FIRST_HOLD_MS
        self.unanswered = False

    def request(self) -> bytes:
        """The next call."""
        self.whole = self.sized = False
        self.unanswered = self.hold_ms == FIRST_HOLD_MS
        call = f"GET /bus/read?from={self.offset}&hold={self.hold_ms} HTTP/1.1\r\nHost: {self.host}\r\n\r\n"
        return call.encode()

    def limit_ms(self) -> float:
        """How long the answer to a call may take to begin."""
        return self.hold_ms + ANSWER_MS

    def receive(self, data: bytes) -> bool:
        """Take bytes in; true once the answer is whole. Raises WireError for what can't be used."""
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError as error:
            self._malformed(error)
        if self.whole:
            self._take()
        return self.whole

    def end(self) -> None:
        """The connection has ended, and with it an answer of no told length. Else raises WireError."""
        if self.sized or not self.body:
            raise WireError("the event bus closed the connection")
        self.keep = False
        self._take()

    def _take(self) -> None:
        """Pass on what the answer tells."""
        self.unanswered, self.hold_ms = False, HOLD_MS
        status, body = self.parser.get_status_code(), bytes(self.body)
        self.body.clear()
        try:
            if status != 200:
                raise WireError(f"status {status}")
            offset, reports = read_batch(orjson.loads(body), self.names, self.counters, self.say)
        except (orjson.JSONDecodeError, WireError) as error:
            self._malformed(error)
        if offset > self.offset:  # an answer that tells nothing new must not be told twice
            self._tell(offset, reports)
        if offset == self.offset:
            self.current()

    def _tell(self, offset: int, reports: list[Report]) -> None:
        known, self.offset = self.offset, offset
        for report in sorted(reports, key=lambda report: report.index):
            # Danger: an event sent again, of an engine as it was before it drained, put it back to work.
            if not 0 < report.index <= known:
                self.tell(report)

    def _malformed(self, error: Exception) -> NoReturn:
        self.counters.add("bus_malformed")
        raise WireError(f"event bus: {error}") from error

    def on_header(self, name: bytes, value: bytes) -> None:
        """A header of the answer (httptools calls this)."""
        self.sized = self.sized or name.lower() in (b"content-length", b"transfer-encoding")

    def on_body(self, data: bytes) -> None:
        """Part of the answer (httptools calls this)."""
        if len(self.body) + len(data) > MOST_BYTES:
            raise WireError("an answer too large")
        self.body += data

    def on_message_complete(self) -> None:
        """The answer is whole (httptools calls this); one that only says that another follows is none."""
        self.whole = self.parser.get_status_code() >= 200
        self.keep = self.parser.should_keep_alive()
