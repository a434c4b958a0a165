"""The scenario language of the dispatcher's tests: who sends, expects, closes; and time that waits.

A scenario is lines `WHO VERB ARGUMENTS`. Clients are c1, c2, ..., engines e1, e2, ... in the order in which
they are met, as draws are random (e1.2 is a second connection, `any` is whichever heard something); ids are
r1, r2, ...; in bodies `|` parts columns and `/` ends rows. Expected texts may hold `*`.
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
    """Time that passes only when told to."""

    def __init__(self) -> None:
        self.at, self.serial = 1000.0, 0
        self.timers: list[tuple[float, int, FakeTimer]] = []

    def now(self) -> float:
        return self.at

    def call_in(self, ms: float, action: Callable[[], None]) -> FakeTimer:
        self.serial += 1
        timer = FakeTimer(action)
        heapq.heappush(self.timers, (self.at + ms, self.serial, timer))
        return timer

    def call_soon(self, action: Callable[[], None]) -> object:
        return self.call_in(0.0, action)

    def run_until(self, end: float, settle: Callable[[], None]) -> None:
        while self.timers and self.timers[0][0] <= end:
            self.at, _, timer = heapq.heappop(self.timers)
            if timer.action is not None:
                timer.action()
                settle()
        self.at = end


class FakeTimer:
    def __init__(self, action: Callable[[], None]) -> None:
        self.action: Callable[[], None] | None = action

    def cancel(self) -> None:
        self.action = None


class FakeStream:
    """Stands for the stream: what is to be written is asked for when the scenario settles."""

    def __init__(self, connection: Connection, engine: str) -> None:
        self.connection, self.engine, self.reader = connection, engine, RespReader()
        self.received: list[list[bytes]] = []

    def read_available(self) -> bool:
        return False

    def close_gracefully(self) -> None:
        pass

    def flush(self) -> None:
        pass

    def write_now(self) -> None:
        pass

    def is_writing(self) -> bool:
        return False

    def abort(self) -> None:
        self.connection.on_closed()


class Client:
    """A client's end: decodes what comes and checks the sequence numbers of all packets."""

    def __init__(self, session: Session) -> None:
        self.session, self.buffer, self.received = session, b"", list[str]()
        self.sequence, self.starts = 0, deque([0])  # each packet sent starts one answer, numbered on from it
        self.rows: list[str] | None = None
        self.definitions = 0
        session.stream = self

    def flush(self) -> None:
        """The stream's side: what is to be written is asked for when the scenario settles."""

    def write_now(self) -> None:
        pass

    def read_available(self) -> bool:
        return False

    def close_gracefully(self) -> None:
        pass

    def is_writing(self) -> bool:
        return False

    def abort(self) -> None:
        self.session.on_closed()

    def send(self, data: bytes) -> None:
        at = 0
        while at + 4 <= len(data):
            self.starts.append((data[at + 3] + 1) & 0xFF)
            at += 4 + int.from_bytes(data[at : at + 3], "little")
        self.session.receive(data)

    def take(self) -> None:
        self.buffer += self.session.pop_output()
        while len(self.buffer) >= 4 + (size := int.from_bytes(self.buffer[:3], "little")) and self.buffer:
            sequence, payload = self.buffer[3], self.buffer[4 : 4 + size]
            self.buffer = self.buffer[4 + size :]
            if self.rows is None:
                self.sequence = self.starts.popleft()
            assert sequence == self.sequence, f"packet {sequence}, expected {self.sequence}"
            self.sequence = (self.sequence + 1) & 0xFF
            self.read(payload)

    def read(self, payload: bytes) -> None:
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
    """A gateway between fake clients and fake engines."""

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
        self.names: list[str] = []
        self.unmet = engines.split()
        self.change(engines.split(), "live", whole=True)

    def met(self, name: str) -> str:
        """An engine's number in the scenario: the first that is met is e1."""
        if name not in self.names:
            self.unmet.remove(name)
            self.names.append(name)
        return f"e{self.names.index(name) + 1}"

    def connect(self, address: Address, connection: Connection) -> FakeStream:
        line = FakeStream(connection, self.met(address.host))
        self.engine_streams.append(line)
        self.clock.call_in(250.0, lambda: None if connection.is_up else connection.on_closed())
        return line

    def change(self, names: list[str], state: str, whole: bool = False) -> None:
        infos = tuple(Engine(name, state=EngineState(state)) for name in names)
        self.gateway.on_engine_list(
            EngineListChange(infos, {name: Address(name, 1) for name in names}, whole)
        )

    def settle(self) -> None:
        for line in self.engine_streams:
            connection = line.connection
            how = self.behaviour.get(line.engine, "up")
            if not connection.is_up and not connection.is_closed:
                if how in ("up", "mute"):
                    connection.on_connected()
                elif how == "refuse":
                    connection.on_closed()
            if connection.is_up and not connection.is_closed and (data := connection.pop_output()):
                for words in line.reader.feed(data):
                    if words[0] != b"LOAD":
                        line.received.append(words)
                    elif how != "mute":
                        connection.receive(encode_array(words[1], b"green", b"gauges=inflight:1", b""))
        for client in self.clients.values():
            client.take()

    def wait(self, ms: float) -> None:
        self.settle()
        self.clock.run_until(self.clock.at + ms, self.settle)
        self.settle()

    def client(self, name: str) -> Client:
        if name not in self.clients:
            self.clients[name] = Client(self.sessions.open())
            self.clients[name].take()
            self.bytes(name, packet(1, LOGIN))
            assert self.clients[name].received == ["greeting", "ok"]
            self.clients[name].received.clear()
        return self.clients[name]

    def bytes(self, name: str, data: bytes) -> None:
        self.clients[name].send(data)
        self.wait(0)

    def engine_stream(self, name: str) -> FakeStream:
        engine, _, number = name.partition(".")
        lines = [line for line in self.engine_streams if line.engine == engine]
        return lines[int(number or 1) - 1]

    # --- verbs ---

    def run(self, script: str) -> World:
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
        """CLASS ID [field=value ...]: a query on tables 7."""
        service, ref, *more = rest.split()
        more += [] if "allow=" in rest else ["allow=5000"]
        fields = ",".join([f"service={service}", f"ref={ref}", *more])
        self.client_say(who, f"/* {fields} */ SELECT a FROM s_7.t")

    def client_say(self, who: str, rest: str) -> None:
        self.client(who)
        self.bytes(who, packet(0, b"\x03" + rest.encode()))

    def client_send(self, who: str, rest: str) -> None:
        """Bytes in hex digits."""
        self.client(who)
        self.bytes(who, bytes.fromhex(rest))

    def client_expect(self, who: str, rest: str) -> None:
        heard, self.client(who).received = self.client(who).received, []
        assert len(heard) == (rest != "nothing"), f"heard {heard}"
        assert not heard or fnmatchcase(heard[0], rest), f"heard {heard}"

    def client_close(self, who: str, rest: str) -> None:
        self.client(who).session.on_closed()

    def client_closing(self, who: str, rest: str) -> None:
        assert self.client(who).session.is_closing

    def e_expect(self, who: str, rest: str) -> None:
        heard = (
            self.engine_stream(who).received
            if rest != "nothing" or any(x.engine == who for x in self.engine_streams)
            else []
        )
        if rest == "nothing":
            assert not heard, f"heard {heard}"
            return
        words = b" ".join(heard.pop(0)).decode() if heard else "nothing"
        assert fnmatchcase(words, rest), f"heard {words}"

    def any_expect(self, who: str, rest: str) -> None:
        heard = [line for line in self.engine_streams if line.received]
        assert len(heard) == 1, f"{len(heard)} connections heard something"
        words = b" ".join(heard[0].received.pop(0)).decode()
        assert fnmatchcase(words, rest), f"heard {words}"

    def any_nothing(self, who: str, rest: str) -> None:
        assert not [line for line in self.engine_streams if line.received]

    def e_send(self, who: str, rest: str) -> None:
        text = rest.replace("|", "\t").replace("/", "\n")
        parts = text.encode("utf-8", "surrogateescape").split(b" ")
        self.engine_stream(who).connection.receive(encode_array(*(parts + [b""] * (4 - len(parts)))))

    def e_raw(self, who: str, rest: str) -> None:
        self.engine_stream(who).connection.receive(rest.encode() + b"\r\n")

    def e_close(self, who: str, rest: str) -> None:
        self.engine_stream(who).connection.on_closed()

    def e_will(self, who: str, rest: str) -> None:
        """up, refuse or vanish: what comes of connects from now on; mute: up, but no answer to probes."""
        self.behaviour[who] = rest

    def list_tell(self, who: str, rest: str) -> None:
        number, state = rest.split()
        while len(self.names) < int(number[1:]):
            self.met(self.unmet[0])
        self.change([self.names[int(number[1:]) - 1]], state)

    def settings_are(self, who: str, rest: str) -> None:
        """NAME[:EFFECT] ... [attempts=N]: other classes from now on, those not known made like a lookup."""
        *names, last = rest.split()
        names += [last] * ("=" not in last)
        permits = replace(PERMITS, max_attempts=int(last.partition("=")[2] or 5))
        known = {"lookup": READ, "load": LOAD}
        classes = []
        for text in names:
            name, _, effect = text.partition(":")
            cls = known.get(name, replace(READ, name=name))
            classes.append(replace(cls, idempotency=Idempotency(effect)) if effect else cls)
        self.gateway.apply_settings(replace(SETTINGS, classes=tuple(classes), features=permits))

    def ops_drain(self, who: str, rest: str) -> None:
        self.lifecycle.drain(self.clock.now())

    def ops_leave(self, who: str, rest: str) -> None:
        self.lifecycle.begin_shutdown(
            self.clock.now(), max(cls.deadline_ms for cls in self.gateway.settings.classes)
        )

    def ops_terminate(self, who: str, rest: str) -> None:
        """As a dispatcher does on SIGTERM: the gateway is told by when all has to have its answer."""
        self.ops_leave(who, rest)
        self.gateway.begin_shutdown(self.lifecycle.answer_deadline())

    def ops_restore(self, who: str, rest: str) -> None:
        assert self.lifecycle.restore()

    def time_wait(self, who: str, rest: str) -> None:
        self.wait(float(rest))
