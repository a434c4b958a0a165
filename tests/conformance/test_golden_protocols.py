"""Compares the bytes sent to engines, clients, operators, Consul and the simulator with recorded ones."""

from __future__ import annotations

import io
import json
from collections.abc import Callable
from typing import Any

import pytest

from cottonhold import simulator_adapter
from cottonhold.backend.connection import Connection
from cottonhold.backend.resp import RespReader
from cottonhold.discovery.consul.health_entry import EntryInterpretation
from cottonhold.discovery.consul.health_response import HealthResponseDecoder
from cottonhold.discovery.consul.http_exchange import HttpResponse
from cottonhold.discovery.consul.registration import Registration, RegistrationSettings
from cottonhold.discovery.consul.watch import ServiceWatch, WatchSettings
from cottonhold.discovery.event_stream import EventStream, PollConnection
from cottonhold.discovery.model import Address, ConfiguredNames
from cottonhold.node.admin_api import AdminApi
from cottonhold.node.lifecycle import Lifecycle
from cottonhold.observe.counters import Counters
from cottonhold.scheduler.actions import (
    Action,
    Cancel,
    CheckHealth,
    Fail,
    LogLine,
    Reject,
    Send,
    SendToPeer,
    SetTimer,
    Subscribe,
    UpdateAttempt,
)
from tests.conformance.golden import RECORD
from tests.support.scenario import LOGIN, FakeClock, FakeStream, World, packet
from tests.test_simulator_adapter import PARAMS, REQUEST

SCENE = """
    settings are lookup load attempts=5
    c1 query lookup r1 allow=20000,effort=12.5,room=64
    c2 query load r2 allow=20000,lookup=k1,replay=key-1
    c3 query lookup r3
    time wait 10
    c3 close
    time wait 2500
    e1 send r1 served count=3,ticks=1.0 a|b|c/
    e1 send r1 rows pos=1 d|e|f/
    e1 send r1 rows pos=2 g|h|i/
    ops terminate
    time wait 50
"""


class RecordingReader(RespReader):
    """A reader that records the bytes that it receives."""

    def __init__(self, kept: bytearray) -> None:
        super().__init__()
        self.kept = kept

    def feed(self, data: bytes) -> list[list[bytes]]:
        self.kept += data
        return super().feed(data)


class RecordedWorld(World):
    """A World that records the bytes sent to its engine."""

    def __init__(self) -> None:
        self.sent = bytearray()
        super().__init__(engines="a")

    def connect(self, address: Address, connection: Connection) -> FakeStream:
        stream = super().connect(address, connection)
        stream.reader = RecordingReader(self.sent)
        return stream


def engine_frames() -> list[str]:
    """Return the messages to an engine: GET, RANK, DROP, PAGE, CLOSE and LOAD."""
    world = RecordedWorld()
    world.run(SCENE)
    return bytes(world.sent).decode().split("*")[1:]


def mysql_session() -> list[str]:
    """Return the messages to a client: greeting, OK, error and a result set."""
    world = World(engines="a")
    session = world.sessions.open()
    written = [session.pop_output()]
    wide = "x" * 300
    for sequence, payload in (
        (1, LOGIN),
        (0, b"\x0e"),
        (0, b"\x02dw"),
        (0, b"\x02other"),
        (0, b"\x1f"),
        (0, b"\x03SELECT 1"),
        (0, b"\x03KILL 77"),
        (0, b"\x03/* service=none,ref=0000000000000001,allow=5000 */ SELECT 1"),
        (0, b"\x03/* service=lookup,ref=0000000000000001,allow=5000 */ SELECT a FROM s_7.t"),
    ):
        session.receive(packet(sequence, payload))
        world.wait(0)
        written.append(session.pop_output())
    world.run(f"e1 send r1 served count=1,ticks=1.0 a||c/{wide}|e|f/")
    written.append(session.pop_output())
    session.receive(packet(3, b"\x0e"))
    written.append(session.pop_output())
    return [data.hex() for data in written]


def http_answers() -> list[str]:
    """Return the responses to operators' calls."""
    clock, lifecycle = FakeClock(), Lifecycle()
    calls = AdminApi(lifecycle, clock, Counters(), lambda *_, **__: None, 4)
    written = []
    for line in (
        "GET /healthcheck",
        "POST /healthcheck/fail",
        "GET /healthcheck",
        "POST /healthcheck/ok",
        "GET /healthcheck/ok",
        "GET /other",
    ):
        call = calls.open()
        call.receive(f"{line} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
        written.append(call.pop_output().decode())
    lifecycle.begin_shutdown(0.0, 1000.0)
    for request in (b"POST /healthcheck/ok HTTP/1.1\r\nHost: x\r\n\r\n", b"nonsense\r\n\r\n"):
        call = calls.open()
        call.receive(request)
        written.append(call.pop_output().decode())
    return written


def bus_requests() -> list[str]:
    """Return the requests of the event bus's first and later long polls."""
    stream = EventStream("bus.local", 7, ConfiguredNames((), ()), Counters(), lambda report: None)
    bus = PollConnection(stream)
    requests = [bus.request().decode()]
    body = json.dumps({"offset": 7, "batch": []})
    bus.receive(f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n{body}".encode())
    return [*requests, bus.request().decode()]


def consul_requests() -> list[str]:
    """Return the calls of a watch, and those of a registration from its start to its end."""
    place = Address("127.0.0.1", 8500)
    settings = WatchSettings(
        "dc1", (place,), "engine", datacenter="dc-1", filter='"a" in Tags', tag="blue", token="t"
    )
    watch = ServiceWatch(
        settings, HealthResponseDecoder(ConfiguredNames((), ()), EntryInterpretation(), lambda text: None), 1
    )
    written = [watch.next_request().encode("agent").decode()]
    watch.on_response(HttpResponse(200, {"x-consul-index": "12"}, b"[]"))
    written.append(watch.next_request().encode("agent").decode())
    watch.confirm_absence(("e1",))
    written.append(watch.next_request().encode("agent").decode())
    entry = RegistrationSettings(
        place, "n1", "cottonhold", Address("10.0.0.1", 3306), ("a",), {"k": "v"}, "t"
    )
    registration = Registration(entry)
    for lag in (0.0, 10.0, 900.0):
        written.append(registration.next_request(lag, 5).encode("agent").decode())
        registration.on_response(HttpResponse(200, {}, b""))
    registration.begin_deregistration()
    return [*written, registration.next_request(0.0, 0).encode("agent").decode()]


def simulator_lines() -> list[str]:
    """Return the adapter's replies to a fixed script: two gateways, all idempotencies, all outcomes."""
    effects = {"lookup": "retryable", "report": "dedup", "load": "fragile"}
    classes = [
        {"name": name, "aim": 400.0, "hard_limit": 2000.0, "effect": effect, "worth": 2.0, "late_worth": 0.5}
        | {"by_arrival": name == "load", "window": 1500.0}
        for name, effect in effects.items()
    ]
    caps = {**PARAMS["caps"], "peers": True, "probes": True, "retry_after": True, "max_retry_after": 300.0}
    domain = {
        **PARAMS["domain"],
        "class_waits": [False, False, True],
        "holds_tables": [False, False, True],
        "parallelism": [1, 3, 2],
        "priorities": True,
        "grants_count": True,
        "cost_in_answers": True,
    }
    more = {"caps": caps, "classes": classes, "domain": domain, "siblings": 2, "discovery": "ask"}
    lines: list[dict[str, Any]] = [{"event_type": "TICK", "sim_time": 0.0, "round": 1}]
    for number in (0, 1):
        params = {**PARAMS, **more, "me": number}
        lines.append({"event_type": "HELLO", "gateway_id": number, "init_seed": 7, "params": params})
    entries = [
        {"node": f"n{i}", "campus": 0, "type": 0, "pod": i, "stage_state": "live", "heft": 1} for i in (1, 2)
    ]
    lines.append({"event_type": "REGISTER", "sheet": 0, "entries": entries})
    lines += [
        {"event_type": "VIEW", "gateway_id": number, "rev": 1, "sheet": 0, "form": "C"} for number in (0, 1)
    ]
    lines.append({"event_type": "YOUR_TURN"})
    out = io.StringIO()
    adapter = simulator_adapter.Adapter(out)
    for line in lines:
        adapter.on_message(line)
    _play(adapter, out)
    replies = [json.loads(line) for line in out.getvalue().splitlines()]
    # The text of a log line is for operators and not part of the protocol.
    return [json.dumps({**r, "reason_text": ""} if r["event_type"] == "LOG" else r) for r in replies]


def _play(adapter: simulator_adapter.Adapter, out: io.StringIO) -> None:
    """Play forty rounds of requests; each attempt ends two rounds after it was sent."""
    endings = [200, 502, 200, 429, 408, 200, 521, 520, 444, 200, 409]
    open_: list[tuple[int, str, str]] = []
    attempts: dict[str, int] = {}
    at = 0
    for turn in range(2, 42):
        now = 20.0 * turn
        adapter.on_message({"event_type": "TICK", "sim_time": now, "round": turn})
        for query, (gateway, name, node) in enumerate(open_[: max(len(open_) - 2, 0)]):
            ended = {"event_type": "DONE", "gateway_id": gateway, "req": name, "node": node}
            ended |= {"attempt": attempts[name], "ending": endings[(turn + query) % len(endings)]}
            ended |= {"used_up": 50 * 4096 + 2, "last": False, "elapsed": 40.0, "gauge": [0.4]}
            attempts[name] += 1
            adapter.on_message(ended)
        open_ = open_[max(len(open_) - 2, 0) :]
        if turn < 30:
            name, gateway = f"r{turn}", turn % 2
            request = {**REQUEST, "gateway_id": gateway, "req": name, "kind": turn % 3, "due": now + 1500.0}
            adapter.on_message(
                {**request, "order_key": "k" if turn % 3 == 2 else None, "retry": turn % 5 == 0}
            )
        if turn % 7 == 0:
            adapter.on_message({"event_type": "ELAPSED", "gateway_id": turn % 2, "name": 0})
            adapter.on_message({"event_type": "LAPSED", "gateway_id": turn % 2, "req": f"r{turn - 1}"})
        adapter.on_message({"event_type": "YOUR_TURN"})
        replies = [json.loads(line) for line in out.getvalue().splitlines()[at:]]
        at += len(replies)
        for reply in replies:
            if reply["event_type"] == "ISSUE":
                attempts.setdefault(reply["req"], 0)
                open_.append((reply["gateway_id"], reply["req"], reply["node"]))
            elif reply["event_type"] == "HEALTH_CHECK":
                sampled = {"event_type": "SAMPLED", "gateway_id": reply["gateway_id"], "elapsed": 1.0}
                adapter.on_message({**sampled, "ending": 200, "node": reply["node"], "gauge": [0.5]})
            elif reply["event_type"] == "BROADCAST_TO":
                gateway = reply["gateway_id"]
                adapter.on_message(
                    {"event_type": "DATAGRAM", "gateway_id": 1 - gateway, "src_peer": gateway}
                    | {"data": reply["data"]}
                )


def simulator_actions() -> list[str]:
    """Return each action in the simulator's format."""
    actions: list[Action] = [
        Send("r1", "e1", 250.5),
        UpdateAttempt("r1", 64, 2),
        Cancel("r1", 3),
        Reject("r1", 125.0),
        Fail("r1"),
        CheckHealth("e1"),
        Subscribe(False),
        SendToPeer(b"\x01\xff", 2),
        SendToPeer(b"\x01\xff"),
        SetTimer(12.5, 7),
        LogLine("text"),
    ]
    return [json.dumps(simulator_adapter.encode_action(action)) for action in actions]


SCENES: dict[str, Callable[[], list[str]]] = {
    "engine frames": engine_frames,
    "mysql session": mysql_session,
    "operators' calls": http_answers,
    "event bus": bus_requests,
    "consul": consul_requests,
    "simulator": simulator_lines,
    "simulator's actions": simulator_actions,
}


@pytest.mark.parametrize("name", SCENES)
def test_what_is_written_in(name: str) -> None:
    assert SCENES[name]() == RECORD["protocols"][name]


def test_no_recorded_scene_is_left_out() -> None:
    assert set(RECORD["protocols"]) == set(SCENES)
