"""The scenario language of the dispatcher's tests, run on a gateway between fake clients and fake engines.

A scenario consists of lines `WHO VERB ARGUMENTS`. WHO is one of:

    c1, c2, ...: A client.
    e1, e2, ...: An engine; engines are numbered in the order of their first connect, as the gateway chooses
        engines at random. e1.2 is the second connection to e1.
    any: The one connection to any engine that has received something.
    list, settings, ops, time: The engine list, the settings, an operator, and the clock.

The verbs are the methods `WHO_VERB` of World. Query ids are r1, r2, ...; in page bodies `|` separates columns
and `/` ends a row. Expected texts may contain the wildcard `*`.
"""

from __future__ import annotations

import heapq
import re
from collections import deque
from collections.abc import Callable
from dataclasses import replace
from fnmatch import fnmatchcase

from cottonhold.backend.connection import Connection
from cottonhold.backend.connection_pool import EngineConnections
from cottonhold.backend.resp import RespReader, encode_array
from cottonhold.config.relay import ConnectionSettings
from cottonhold.discovery.model import Address, EngineListChange
from cottonhold.frontend.client_commands import MAX_PACKET_BYTES
from cottonhold.frontend.client_sessions import ClientSessions
from cottonhold.frontend.mysql_session import Session
from cottonhold.node.descriptors import DescriptorQuotas
from cottonhold.node.gateway import Gateway
from cottonhold.node.lifecycle import Lifecycle
from cottonhold.observe.counters import Counters
from cottonhold.scheduler.events import Engine, EngineState
from cottonhold.scheduler.settings import Features, Idempotency, MachineType, QueryClass, Settings

READ = QueryClass("lookup", latency_objective_ms=1000, deadline_ms=5000, utility=1.0)
LOAD = QueryClass(
    "load", 3000, 25000, utility=6.0, idempotency=Idempotency.NOT_IDEMPOTENT, is_ordered_by_key=True
)
PERMITS = Features(
    can_cancel=True, has_priorities=True, has_retry_after=True, max_retry_after_ms=500.0, max_attempts=5
)
SETTINGS = Settings(
    classes=(READ, LOAD), machine_types=(MachineType(8, 16000.0),), features=PERMITS, tick_ms=5.0
)
LOGIN = (0x8208).to_bytes(4, "little") + bytes(28) + b"app\0\0dw\0"


def packet(sequence: int, payload: bytes) -> bytes:
    return len(payload).to_bytes(3, "little") + bytes((sequence,)) + payload


class FakeClock:
    """A clock whose time, in ms, passes only in run_until."""

    def __init__(self) -> None:
        self.now_ms, self.sequence = 1000.0, 0
        self.timers: list[tuple[float, int, FakeTimer]] = []

    def now(self) -> float:
        return self.now_ms

    def call_in(self, ms: float, action: Callable[[], None]) -> FakeTimer:
        self.sequence += 1
        timer = FakeTimer(action)
        heapq.heappush(self.timers, (self.now_ms + ms, self.sequence, timer))
        return timer

    def call_soon(self, action: Callable[[], None]) -> object:
        return self.call_in(0.0, action)

    def run_until(self, end: float, settle: Callable[[], None]) -> None:
        """Let time pass up to `end`, and call `settle` after each timer that expires."""
        while self.timers and self.timers[0][0] <= end:
            self.now_ms, _, timer = heapq.heappop(self.timers)
            if timer.action is not None:
                timer.action()
                settle()
        self.now_ms = end


class FakeTimer:
    def __init__(self, action: Callable[[], None]) -> None:
        self.action: Callable[[], None] | None = action

    def cancel(self) -> None:
        self.action = None


class FakeStream:
    """A connection's stream that stores requests; the scenario collects its output when it settles."""

    def __init__(self, connection: Connection, engine: str) -> None:
        self.connection, self.engine, self.reader = connection, engine, RespReader(MAX_PACKET_BYTES)
        self.received: list[list[bytes]] = []

    def read_available(self) -> bool:
        return False

    def last_data_age_ms(self) -> float:
        return 0.0

    def close_gracefully(self) -> None:
        pass

    def flush(self) -> None:
        pass

    def write_now(self) -> None:
        pass

    def is_writing(self) -> bool:
        return False

    def has_peer_closed(self) -> bool:
        return False

    def is_open(self) -> bool:
        return False

    def writing_bytes(self) -> int:
        return 0

    def write_age_ms(self) -> float:
        return 0.0

    def abort(self) -> None:
        self.connection.on_closed()


class Client:
    """A client of the gateway; decodes its answers and checks the sequence numbers of all packets."""

    def __init__(self, session: Session) -> None:
        self.session, self.buffer, self.received = session, b"", list[str]()
        self.sequence, self.first_sequence_numbers = (
            0,
            deque([0]),
        )  # each packet that is sent starts an answer with the next number
        self.rows: list[str] | None = None
        self.definitions = 0
        self.data_age_ms = 0.0  # for how long the data that is sent next has waited to be read
        session.stream = self

    def flush(self) -> None:
        """Do nothing: the scenario collects the output when it settles."""

    def write_now(self) -> None:
        pass

    def read_available(self) -> bool:
        return False

    def last_data_age_ms(self) -> float:
        return self.data_age_ms

    def close_gracefully(self) -> None:
        pass

    def is_writing(self) -> bool:
        return False

    def has_peer_closed(self) -> bool:
        return False

    def is_open(self) -> bool:
        return False

    def writing_bytes(self) -> int:
        return 0

    def write_age_ms(self) -> float:
        return 0.0

    def abort(self) -> None:
        self.session.on_closed()

    def send(self, data: bytes) -> None:
        at = 0
        while at + 4 <= len(data):
            self.first_sequence_numbers.append((data[at + 3] + 1) & 0xFF)
            at += 4 + int.from_bytes(data[at : at + 3], "little")
        self.session.receive(data)

    def read_output(self) -> None:
        """Decode the packets that the session has written since the last call."""
        self.buffer += self.session.pop_output()
        while len(self.buffer) >= 4 + (size := int.from_bytes(self.buffer[:3], "little")) and self.buffer:
            sequence, payload = self.buffer[3], self.buffer[4 : 4 + size]
            self.buffer = self.buffer[4 + size :]
            if self.rows is None:
                self.sequence = self.first_sequence_numbers.popleft()
            assert sequence == self.sequence, f"packet {sequence}, expected {self.sequence}"
            self.sequence = (self.sequence + 1) & 0xFF
            self.decode_packet(payload)

    def decode_packet(self, payload: bytes) -> None:
        """Decode one packet: an error, OK, the greeting, or a part of a result of three columns."""
        if payload[0] == 0xFF:
            self.received.append(f"error {int.from_bytes(payload[1:3], 'little')} {payload[9:].decode()}")
        elif self.rows is not None and payload[0] == 0xFE:
            self.definitions += 1
            if self.definitions == 5:
                self.received.append("rows " + "/".join(self.rows))
                self.rows = None
        elif self.rows is not None and self.definitions < 4:
            self.definitions += payload[:4] == b"\x03def"
        elif self.rows is not None:
            cells, at = [], 0
            while at < len(payload):
                cells.append(payload[at + 1 : at + 1 + payload[at]].decode())
                at += 1 + payload[at]
            self.rows.append("|".join(cells))
        elif payload == b"\x03":
            self.rows, self.definitions = [], 0
        else:
            self.received.append("ok" if payload[0] == 0 else "greeting")


class World:
    """A gateway between fake clients and fake engines, and the verbs of the scenario language."""

    def __init__(self, settings: Settings = SETTINGS, engines: str = "a b", sockets: int = 256) -> None:
        self.clock, self.counters, self.log = FakeClock(), Counters(), list[str]()
        links = ConnectionSettings(idle_timeout_ms=15000.0, connect_timeout_ms=250.0, max_streams=32)
        self.lifecycle, parts = Lifecycle(), DescriptorQuotas.divide(sockets)
        self.engines = EngineConnections(links, self.clock, self.counters, self.log.append, parts.engines)
        self.engines.connect = self.connect
        self.gateway = Gateway(settings, 1, self.clock, self.engines, self.counters, self.log.append)
        self.sessions = ClientSessions(self.gateway, self.clock, self.counters, self.lifecycle, parts.clients)
        self.engine_streams: list[FakeStream] = []
        self.behaviour: dict[str, str] = {}
        self.clients: dict[str, Client] = {}
        self.labelled_engines: list[str] = []
        self.unlabelled_engines = engines.split()
        self.change_engine_list(engines.split(), "live", is_complete=True)

    def label_engine(self, name: str) -> str:
        """Return an engine's label in the scenario; assign the next of e1, e2, ... if it has none yet."""
        if name not in self.labelled_engines:
            self.unlabelled_engines.remove(name)
            self.labelled_engines.append(name)
        return f"e{self.labelled_engines.index(name) + 1}"

    def connect(self, address: Address, connection: Connection) -> FakeStream:
        """Open a stream to an engine; the connect fails after 250 ms unless the engine accepts it."""
        stream = FakeStream(connection, self.label_engine(address.host))
        self.engine_streams.append(stream)
        self.clock.call_in(250.0, lambda: None if connection.is_up else connection.on_closed())
        return stream

    def change_engine_list(self, names: list[str], state: str, is_complete: bool = False) -> None:
        """Give the gateway a complete engine list, or changes, in which all these engines have one state."""
        infos = tuple(Engine(name, state=EngineState(state)) for name in names)
        self.gateway.on_engine_list(
            EngineListChange(infos, {name: Address(name, 1) for name in names}, is_complete)
        )

    def settle(self) -> None:
        """Complete connects as planned, deliver requests and answers, and answer health checks."""
        for stream in self.engine_streams:
            connection = stream.connection
            behaviour = self.behaviour.get(stream.engine, "up")
            if not connection.is_up and not connection.is_closed:
                if behaviour in ("up", "mute"):
                    connection.on_connected()
                elif behaviour == "refuse":
                    connection.on_closed()
            if connection.is_up and not connection.is_closed and (data := connection.pop_output()):
                for request in stream.reader.feed(data):
                    if request[0] != b"LOAD":
                        stream.received.append(request)
                    elif behaviour != "mute":
                        connection.receive(encode_array(request[1], b"green", b"gauges=inflight:1", b""))
        for client in self.clients.values():
            client.read_output()

    def wait(self, ms: float) -> None:
        self.settle()
        self.clock.run_until(self.clock.now_ms + ms, self.settle)
        self.settle()

    def client(self, name: str) -> Client:
        if name not in self.clients:
            self.clients[name] = Client(self.sessions.open())
            self.clients[name].read_output()
            self.send_bytes(name, packet(1, LOGIN))
            assert self.clients[name].received == ["greeting", "ok"]
            self.clients[name].received.clear()
        return self.clients[name]

    def send_bytes(self, name: str, data: bytes) -> None:
        self.clients[name].send(data)
        self.wait(0)

    def engine_stream(self, name: str) -> FakeStream:
        """Return the connection that a scenario calls `e1` (the first to e1) or `e1.2` (the second)."""
        engine, _, number = name.partition(".")
        streams = [stream for stream in self.engine_streams if stream.engine == engine]
        return streams[int(number or 1) - 1]

    # Verbs of the scenario language

    def run(self, script: str) -> World:
        """Run the lines of a scenario; an AssertionError names the line that failed."""
        for text in filter(None, map(str.strip, script.splitlines())):
            try:
                full = re.sub(r"\br(\d+)\b", lambda m: f"{int(m[1]):016x}", text)
                who, verb, rest = f"{full}  ".split(" ", 2)
                kind = "client" if who[0] == "c" else who.rstrip("0123456789.")
                getattr(self, f"{kind}_{verb}")(who, rest.strip())
                self.wait(0)
            except AssertionError as error:
                raise AssertionError(f"{text}: {error}") from error
        return self

    def client_query(self, who: str, rest: str) -> None:
        """Send a query on table group 7. Arguments: CLASS ID [FIELD=VALUE ...]."""
        service, ref, *more = rest.split()
        more += [] if "allow=" in rest else ["allow=5000"]
        fields = ",".join([f"service={service}", f"ref={ref}", *more])
        self.client_say(who, f"/* {fields} */ SELECT a FROM s_7.t")

    def client_say(self, who: str, rest: str) -> None:
        self.client(who)
        self.send_bytes(who, packet(0, b"\x03" + rest.encode()))

    def client_send(self, who: str, rest: str) -> None:
        """Send raw bytes. Arguments: hex digits."""
        self.client(who)
        self.send_bytes(who, bytes.fromhex(rest))

    def client_expect(self, who: str, rest: str) -> None:
        """Check that the client received one answer that matches, or none. Arguments: PATTERN or nothing."""
        received, self.client(who).received = self.client(who).received, []
        assert len(received) == (rest != "nothing"), f"received {received}"
        assert not received or fnmatchcase(received[0], rest), f"received {received}"

    def client_close(self, who: str, rest: str) -> None:
        self.client(who).session.on_closed()

    def client_closing(self, who: str, rest: str) -> None:
        assert self.client(who).session.is_closing

    def e_expect(self, who: str, rest: str) -> None:
        """Check the next request on an engine's connection. Arguments: PATTERN or nothing."""
        requests = (
            self.engine_stream(who).received
            if rest != "nothing" or any(stream.engine == who for stream in self.engine_streams)
            else []
        )
        if rest == "nothing":
            assert not requests, f"received {requests}"
            return
        request = b" ".join(requests.pop(0)).decode() if requests else "nothing"
        assert fnmatchcase(request, rest), f"received {request}"

    def any_expect(self, who: str, rest: str) -> None:
        """Check the next request on the only engine connection that has received one. Arguments: PATTERN."""
        streams = [stream for stream in self.engine_streams if stream.received]
        assert len(streams) == 1, f"{len(streams)} connections have received requests"
        request = b" ".join(streams[0].received.pop(0)).decode()
        assert fnmatchcase(request, rest), f"received {request}"

    def any_nothing(self, who: str, rest: str) -> None:
        assert not [stream for stream in self.engine_streams if stream.received]

    def e_send(self, who: str, rest: str) -> None:
        """Send an answer on an engine's connection. Arguments: ID STATUS [FIELDS] [BODY]."""
        text = rest.replace("|", "\t").replace("/", "\n")
        parts = text.encode("utf-8", "surrogateescape").split(b" ")
        self.engine_stream(who).connection.receive(encode_array(*(parts + [b""] * (4 - len(parts)))))

    def e_raw(self, who: str, rest: str) -> None:
        """Send a line of text, unencoded, on an engine's connection. Arguments: the line."""
        self.engine_stream(who).connection.receive(rest.encode() + b"\r\n")

    def e_close(self, who: str, rest: str) -> None:
        self.engine_stream(who).connection.on_closed()

    def e_will(self, who: str, rest: str) -> None:
        """Set an engine's behaviour from now on.

        Arguments: `up` (accepts connects), `refuse` (refuses them), `vanish` (never responds to them), or
        `mute` (accepts connects, but answers no health check).
        """
        self.behaviour[who] = rest

    def list_tell(self, who: str, rest: str) -> None:
        number, state = rest.split()
        while len(self.labelled_engines) < int(number[1:]):
            self.label_engine(self.unlabelled_engines[0])
        self.change_engine_list([self.labelled_engines[int(number[1:]) - 1]], state)

    def settings_are(self, who: str, rest: str) -> None:
        """Apply settings with other query classes; an unknown class has the settings of `lookup`.

        Arguments: NAME[:IDEMPOTENCY] ... [attempts=N], with the maximum of attempts per query.
        """
        *names, last = rest.split()
        names += [last] * ("=" not in last)
        features = replace(PERMITS, max_attempts=int(last.partition("=")[2] or 5))
        known = {"lookup": READ, "load": LOAD}
        classes = []
        for text in names:
            name, _, effect = text.partition(":")
            cls = known.get(name, replace(READ, name=name))
            classes.append(replace(cls, idempotency=Idempotency(effect)) if effect else cls)
        self.gateway.apply_settings(replace(SETTINGS, classes=tuple(classes), features=features))

    def ops_drain(self, who: str, rest: str) -> None:
        self.lifecycle.drain(self.clock.now())

    def ops_leave(self, who: str, rest: str) -> None:
        self.lifecycle.begin_shutdown(
            self.clock.now(), max(cls.deadline_ms for cls in self.gateway.settings.classes)
        )

    def ops_terminate(self, who: str, rest: str) -> None:
        """Begin the shutdown as on SIGTERM; the gateway receives the deadline for all answers."""
        self.ops_leave(who, rest)
        self.gateway.begin_shutdown(self.lifecycle.answer_deadline())

    def ops_restore(self, who: str, rest: str) -> None:
        assert self.lifecycle.restore()

    def time_wait(self, who: str, rest: str) -> None:
        self.wait(float(rest))
