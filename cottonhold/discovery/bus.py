"""The event bus: changes to the engine list, read by a long poll that is always open."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import httptools
import orjson

from cottonhold.config.settings import NUMBER, WireError, read, word
from cottonhold.decide import interface as io
from cottonhold.observe.counters import Counters

HOLD_MS = 2000  # short, so that a silently cut link shows well within the 7 s after which news counts as told
ANSWER_MS = 1000.0  # an answer later than this after the hold means that the link is dead
MOST_BYTES = 4 << 20
STATES = {
    "Ready": io.EngineState.LIVE,
    "Terminating": io.EngineState.DRAINING,
    "Gone": io.EngineState.GONE,
}


@dataclass(slots=True, frozen=True)
class Address:
    """A host's number and a port."""

    host: str
    port: int

    @classmethod
    def parse(cls, text: str) -> Address:
        """An address written as host:port."""
        host, mark, port = text.rpartition(":")
        if not mark or not host or not port.isdigit() or not 0 < int(port) < 65536:
            raise WireError(f"'{text}' is no address")
        return cls(host, int(port))


@dataclass(slots=True, frozen=True)
class Change:
    """One event of the bus: the whole list or what changed, with the addresses."""

    engines: tuple[io.Engine, ...]
    addresses: dict[str, Address]
    whole: bool


@dataclass(slots=True, frozen=True)
class Names:
    """The settings' names of zones and machine kinds, by which the list speaks of them."""

    zones: tuple[str, ...]
    models: tuple[str, ...]


def read_engine(source: dict[str, Any], names: Names) -> io.Engine:
    """One entry of the list; a zone or kind that the settings do not name counts as the first."""
    zone, model = read(source, "zone", str, ""), read(source, "machineType", str, "")
    return io.Engine(
        id=read(source, "instanceId", str),
        zone=names.zones.index(zone) if zone in names.zones else 0,
        model=names.models.index(model) if model in names.models else 0,
        cell=read(source, "cell", int, 0),
        state=word(source, "lifecycle", STATES),
        size=read(source, "weight", NUMBER, 1.0),
        started_at=float(read(source, "startedAtMs", NUMBER, 0.0)),
    )


def read_batch(source: Any, names: Names, counters: Counters) -> tuple[int, list[Change]]:
    """The last event's number and the changes; an entry that makes no sense is counted and passed over."""
    if not isinstance(source, dict):
        raise WireError("not an object")
    changes = []
    for event in read(source, "batch", list, []):
        try:
            topology = read(event, "topology", dict, None) if isinstance(event, dict) else None
            if topology is None:  # another kind of event is none of ours
                continue
            entries = read(topology, "instances", list, [])
            whole = read(topology, "reset", bool, False) or event.get("offset") == 1
        except WireError:
            counters.add("bus_malformed")
            continue
        engines, addresses = [], {}
        for entry in entries:
            try:
                engine = read_engine(entry, names)
                if address := read(entry, "hostPort", str, ""):
                    addresses[engine.id] = Address.parse(address)
                engines.append(engine)
            except (WireError, AttributeError):
                counters.add("bus_malformed")
        changes.append(Change(tuple(engines), addresses, whole))
    return read(source, "offset", int), changes


class Bus:
    """Asks for what follows the last event and passes on what comes; knows no socket."""

    def __init__(
        self, host: str, offset: int, names: Names, counters: Counters, tell: Callable[[Change], None]
    ) -> None:
        self.host, self.offset, self.names, self.counters, self.tell = host, offset, names, counters, tell
        self.restart()

    def restart(self) -> None:
        """A new connection: half an answer of the old one is void."""
        self.parser = httptools.HttpResponseParser(self)
        self.body, self.whole = bytearray(), False

    def request(self) -> bytes:
        """The next call."""
        self.whole = False
        call = f"GET /bus/read?from={self.offset}&hold={HOLD_MS} HTTP/1.1\r\nHost: {self.host}\r\n\r\n"
        return call.encode()

    def receive(self, data: bytes) -> bool:
        """Take bytes in; true once the answer is whole. Raises WireError for what can't be used."""
        try:
            self.parser.feed_data(data)
            if not self.whole:
                return False
            status, body = self.parser.get_status_code(), bytes(self.body)
            self.body.clear()
            if status != 200:
                raise WireError(f"status {status}")
            offset, changes = read_batch(orjson.loads(body), self.names, self.counters)
        except (httptools.HttpParserError, orjson.JSONDecodeError, WireError) as error:
            self.counters.add("bus_malformed")
            raise WireError(f"event bus: {error}") from error
        if offset > self.offset:  # an answer that tells nothing new must not be told twice
            self.offset = offset
            for change in changes:
                self.tell(change)
        return True

    def on_body(self, data: bytes) -> None:
        """Part of the answer (httptools calls this)."""
        if len(self.body) + len(data) > MOST_BYTES:
            raise WireError("an answer too large")
        self.body += data

    def on_message_complete(self) -> None:
        """The answer is whole (httptools calls this)."""
        self.whole = True
