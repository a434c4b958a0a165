"""The stand-in's HTTP side: endpoints, blocking queries, and the faults that a script switches on.

What it does not do: ACL policies (one token or none), prepared queries, KV, sessions, Connect, namespaces,
more than one server, and filters beyond `SELECTOR == "x"`, `SELECTOR != "x"` and `"x" in SELECTOR`, joined
by `and`.
"""

from __future__ import annotations

import asyncio
import gzip
import json
import math
import random
import re
import ssl
import sys
import time
from collections import deque
from pathlib import Path
from typing import Any
from urllib.parse import parse_qsl, unquote, urlsplit

import httptools

from cottonhold.emulator.consul.catalog import ApiError, Catalog, Json, duration
from cottonhold.emulator.consul.script import ScriptError, Step, parse
from cottonhold.emulator.serving import READ_BYTES, Listener, run_until_told

WAIT_DEFAULT, WAIT_MOST = 300.0, 600.0
CHUNK = 4096
DRIP_S = 0.1
KEYS = {
    key.lower(): key
    for key in [
        "ID",
        "Name",
        "Service",
        "ServiceID",
        "Node",
        "NodeMeta",
        "Address",
        "Port",
        "Tags",
        "Meta",
        "Weights",
        "Passing",
        "Warning",
        "Check",
        "Checks",
        "CheckID",
        "TTL",
        "Status",
        "Output",
        "Notes",
        "Type",
        "Datacenter",
        "DeregisterCriticalServiceAfter",
    ]
}
FREE = ("Meta", "NodeMeta")  # whose keys are the users' own
TERM = re.compile(
    r"""\s*(?:(?P<left>[\w.]+(?:\["[^"]*"\])?)\s*(?P<op>==|!=)\s*"(?P<value>[^"]*)"
        |"(?P<member>[^"]*)"\s+(?P<negated>not\s+)?in\s+(?P<of>[\w.]+))\s*""",
    re.VERBOSE,
)


class Request:
    """One call, filled by httptools."""

    def __init__(self) -> None:
        self.url, self.body, self.whole = b"", bytearray(), False
        self.headers: dict[str, str] = {}

    def on_url(self, url: bytes) -> None:
        """httptools calls this."""
        self.url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """httptools calls this."""
        self.headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_body(self, data: bytes) -> None:
        """httptools calls this."""
        self.body += data

    def on_message_complete(self) -> None:
        """httptools calls this."""
        self.whole = True


class Server(Listener):
    """One agent of one datacentre."""

    ends = (*Listener.ends, httptools.HttpParserError)

    def __init__(self, token: str = "", seed: int = 1) -> None:
        super().__init__()
        self.started = time.monotonic()
        self.catalog = Catalog(self.now)
        self.catalog.changed = self._wake
        self.token, self.revoked = token, False
        self.draw = random.Random(seed)
        self.waiting: set[asyncio.Future[None]] = set()
        self.faults: dict[str, tuple[float, tuple[str, ...]]] = {}  # by kind: until when, with what arguments
        self.past: deque[tuple[float, str, int, bytes]] = deque(
            maxlen=2000
        )  # what was true when, for stale reads
        self.bodies: dict[str, tuple[int, bytes]] = {}
        self.calls: list[tuple[float, str, str]] = []

    def now(self) -> float:
        """Seconds since the start."""
        return time.monotonic() - self.started

    # --- life ---

    async def start(
        self, host: str = "127.0.0.1", port: int = 0, context: ssl.SSLContext | None = None
    ) -> int:
        """Listen, and let time-outs pass; returns the port."""
        port = await super().start(host, port, context)
        self.spawn(self._keep_time())
        return port

    async def _keep_time(self) -> None:
        while True:
            due = self.catalog.tick()
            await asyncio.sleep(min(max(due - self.now(), 0.01), 0.25))

    def play(self, steps: list[Step]) -> None:
        """Carry a script out, its times counted from now."""
        self.spawn(self._play(steps, self.now()))

    async def _play(self, steps: list[Step], begun: float) -> None:
        for step in steps:
            await asyncio.sleep(max(begun + step.at - self.now(), 0))
            try:
                self.carry_out(step)
            except ApiError as error:
                print(f"script: {step.what} {' '.join(step.args)}: {error}", file=sys.stderr, flush=True)

    def carry_out(self, step: Step) -> None:
        """One step of a script. Raises ApiError where it speaks of what isn't there."""
        catalog, args = self.catalog, step.args
        if step.what in ("critical", "warning", "passing"):
            node, check = self._check_of(args[0])
            catalog.set_status(node, check, step.what, f"scripted: {step.what}")
        elif step.what in ("nodefail", "nodewell"):
            status = "critical" if step.what == "nodefail" else "passing"
            catalog.set_status(args[0], "serfHealth", status, f"scripted: {status}")
        elif step.what == "maintenance":
            catalog.maintain(self._node_of(args[0]), args[1] == "on", "scripted", args[0])
        elif step.what == "deregister":
            catalog.drop_service(self._node_of(args[0]), args[0])
        elif step.what == "register":
            self.add_engine(args[0], args[1])
        elif step.what == "revoke":
            self.revoked = True
        elif step.what == "grant":
            self.revoked = False
        else:
            self.faults[step.what] = (self.now() + step.lasts, args)
            self._wake()

    def add_engine(self, service_id: str, address: str, service: str = "engine", **meta: str) -> None:
        """Register an instance with a check of its own, as an engine's agent would."""
        host, _, port = address.rpartition(":")
        body = {"ID": service_id, "Name": service, "Address": host, "Port": int(port), "Meta": meta}
        made = self.catalog.put_service(self.catalog.agent, body)
        self.catalog.put_check(
            self.catalog.agent, {"CheckID": f"check:{service_id}", "Status": "passing"}, made
        )

    def _node_of(self, service_id: str) -> str:
        for node, service in self.catalog.services:
            if service == service_id:
                return node
        raise ApiError(404, f'Unknown service ID "{service_id}"')

    def _check_of(self, service_id: str) -> tuple[str, str]:
        node = self._node_of(service_id)
        for (on, check), row in self.catalog.checks.items():
            if on == node and row.service == service_id and not check.startswith("_"):
                return on, check
        raise ApiError(404, f'"{service_id}" has no check')

    def fault(self, kind: str) -> tuple[str, ...] | None:
        """A fault's arguments while it lasts."""
        until, args = self.faults.get(kind, (0.0, ()))
        return args if until > self.now() else None

    def _wake(self) -> None:
        waiting, self.waiting = self.waiting, set()
        for future in waiting:
            if not future.done():
                future.set_result(None)

    # --- connections ---

    async def converse(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """One connection, call by call."""
        while await self._one(reader, writer):
            pass

    async def _one(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        request = Request()
        parser = httptools.HttpRequestParser(request)
        while not request.whole:
            data = await reader.read(READ_BYTES)
            if not data:
                return False
            parser.feed_data(data)
        method = parser.get_method().decode()
        status, body, headers = await self._answer(method, request)
        return await self._write(writer, status, body, headers, "/v1/health/service" in request.url.decode())

    async def _answer(self, method: str, request: Request) -> tuple[int, bytes, dict[str, str]]:
        url = urlsplit(request.url.decode())
        query = dict(parse_qsl(url.query, keep_blank_values=True))
        self.calls.append((self.now(), method, request.url.decode()))
        del self.calls[:-10_000]
        given = request.headers.get("x-consul-token") or query.get("token", "")
        try:
            if self.token and (self.revoked or given != self.token) and url.path != "/emulator/script":
                raise ApiError(403, "Permission denied: token with AccessorID 'anonymous' lacks permission")
            if (code := self.fault("status")) is not None and url.path.startswith("/v1/health"):
                return int(code[0]), b"scripted", {"Retry-After": "1"} if code[0] == "429" else {}
            if self.fault("noleader") is not None and "stale" not in query and url.path.startswith("/v1/"):
                raise ApiError(500, "No cluster leader")
            return await self._route(method, [unquote(p) for p in url.path.split("/")[1:]], query, request)
        except ApiError as error:
            return error.status, error.text.encode(), {}

    async def _route(
        self, method: str, path: list[str], query: dict[str, str], request: Request
    ) -> tuple[int, bytes, dict[str, str]]:
        if path == ["emulator", "script"] and method == "PUT":
            try:
                self.play(parse(request.body.decode()))
            except ScriptError as error:
                raise ApiError(400, str(error)) from error
            return _json(True)
        if path[0] != "v1" or len(path) < 3:
            raise ApiError(404, "")
        if method == "PUT":
            return _json(self._change(path[1:], query, _body(request)))
        if method != "GET":
            raise ApiError(405, "method not allowed")
        if path[1] in ("health", "catalog"):
            return await self._read(path[1:], query)
        return _json(self._look(path[1:]))

    # --- reading ---

    def _look(self, path: list[str]) -> Any:
        catalog, agent = self.catalog, self.catalog.agent
        match path:
            case ["status", "leader"]:
                return "" if self.fault("noleader") is not None else "127.0.0.1:8300"
            case ["status", "peers"]:
                return ["127.0.0.1:8300"]
            case ["agent", "self"]:
                return {
                    "Config": {"Datacenter": catalog.datacenter, "NodeName": agent, "Version": "1.17.0"},
                    "Member": {"Name": agent, "Addr": "127.0.0.1"},
                }
            case ["agent", "services"]:
                return {s.id: s.agent_wire() for s in catalog.services.values() if s.node == agent}
            case ["agent", "service", service_id] if (agent, service_id) in catalog.services:
                return catalog.services[agent, service_id].agent_wire()
            case ["agent", "checks"]:
                return {c.id: c.wire() for c in catalog.checks.values() if c.node == agent}
        raise ApiError(404, "unknown: " + "/".join(path))

    async def _read(self, path: list[str], query: dict[str, str]) -> tuple[int, bytes, dict[str, str]]:
        """A blocking query: held until the index passes the one asked for, or the wait is over."""
        if query.get("dc", self.catalog.datacenter) != self.catalog.datacenter:
            raise ApiError(500, "No path to datacenter")
        asked = int(query.get("index") or 0)
        wait = min(duration(query.get("wait") or f"{WAIT_DEFAULT}s"), WAIT_MOST)
        until = self.now() + wait + self.draw.random() * wait / 16
        while asked and self._index(path) == asked and self.now() < until and not self._cut_short():
            future = asyncio.get_running_loop().create_future()
            self.waiting.add(future)
            try:
                await asyncio.wait_for(future, max(until - self.now(), 0.001))
            except TimeoutError:
                break
            finally:
                self.waiting.discard(future)
        index = self._index(path)
        body = self._body(path, query, index)
        headers = {
            "X-Consul-Index": str(index),
            "X-Consul-KnownLeader": "true",
            "X-Consul-LastContact": "0",
            "X-Consul-Effective-Consistency": "stale" if "stale" in query else "leader",
        }
        if self.fault("noleader") is not None:
            headers["X-Consul-KnownLeader"] = "false"
        key = "/".join(path)
        self.past.append((self.now(), key, index, body))
        behind = self.fault("stale")
        if behind is not None and "stale" in query:
            old = [row for row in self.past if row[1] == key and row[0] <= self.now() - float(behind[0])]
            if old:
                index, body = old[-1][2], old[-1][3]
                headers["X-Consul-Index"] = str(index)
            headers["X-Consul-LastContact"] = str(int(float(behind[0]) * 1000))
        if self.fault("backwards") is not None:
            headers["X-Consul-Index"] = str(max(1, index // 2))
        return 200, body, headers

    def _cut_short(self) -> bool:
        """Whether a fault is on that watchers are to meet now, not at the end of their wait."""
        kinds = ("cut", "truncate", "empty", "garbage", "drip", "status", "hang", "noleader", "backwards")
        return any(self.fault(kind) is not None for kind in kinds)

    def _index(self, path: list[str]) -> int:
        if path[0] == "health" and path[1] == "service" or path[:2] == ["catalog", "service"]:
            return self.catalog.service_index(path[2])
        return self.catalog.index

    def _body(self, path: list[str], query: dict[str, str], index: int) -> bytes:
        key = json.dumps([path, {k: v for k, v in query.items() if k not in ("index", "wait")}])
        cached = self.bodies.get(key)
        if cached is None or cached[0] != index:
            rows = self._rows(path, query)
            if expression := query.get("filter"):
                rows = [row for row in rows if matches(row, expression)]
            cached = self.bodies[key] = (index, json.dumps(rows, separators=(",", ":")).encode())
        return cached[1]

    def _rows(self, path: list[str], query: dict[str, str]) -> Any:
        catalog = self.catalog
        match path:
            case ["health", "service", name]:
                rows = catalog.health(name)
                if "passing" in query:
                    rows = [r for r in rows if all(c["Status"] == "passing" for c in r["Checks"])]
                if tag := query.get("tag"):
                    rows = [r for r in rows if tag in r["Service"]["Tags"]]
                return rows
            case ["health", "node", node]:
                return [c.wire() for c in catalog.checks.values() if c.node == node]
            case ["health", "checks", name]:
                return [c.wire() for c in catalog.checks.values() if c.service_name == name]
            case ["health", "state", state]:
                return [c.wire() for c in catalog.checks.values() if state in ("any", c.status)]
            case ["catalog", "service", name]:
                return catalog.catalog(name)
            case ["catalog", "services"]:
                names = sorted({s.name for s in catalog.services.values()})
                return {
                    n: sorted({t for s in catalog.services.values() if s.name == n for t in s.tags})
                    for n in names
                }
            case ["catalog", "nodes"]:
                return [n.wire(catalog.datacenter) for n in catalog.nodes.values()]
            case ["catalog", "datacenters"]:
                return [catalog.datacenter]
        raise ApiError(404, "unknown: " + "/".join(path))

    # --- changing ---

    def _change(self, path: list[str], query: dict[str, str], body: Json) -> Any:
        catalog, agent = self.catalog, self.catalog.agent
        on = query.get("enable") == "true"
        match path:
            case ["agent", "service", "register"]:
                service = catalog.put_service(agent, body)
                for check in [body["Check"]] if body.get("Check") else body.get("Checks") or []:
                    catalog.put_check(agent, check, service)
            case ["agent", "service", "deregister", service_id]:
                if not catalog.drop_service(agent, service_id):
                    raise ApiError(
                        404, f'Unknown service ID "{service_id}". Ensure that the service ID is passed'
                    )
            case ["agent", "service", "maintenance", _] | ["agent", "maintenance"]:
                catalog.maintain(agent, on, query.get("reason", ""), path[3] if len(path) > 2 else "")
            case ["agent", "check", "register"]:
                catalog.put_check(agent, body)
            case ["agent", "check", "deregister", service_id]:
                catalog.drop_check(agent, service_id)
            case ["agent", "check", ("pass" | "warn" | "fail") as status, service_id]:
                catalog.set_status(agent, service_id, status, query.get("note", ""))
            case ["agent", "check", "update", service_id]:
                catalog.set_status(agent, service_id, str(body.get("Status")), str(body.get("Output") or ""))
            case ["catalog", ("register" | "deregister") as verb]:
                (self._register if verb == "register" else self._deregister)(body)
                return True
            case _:
                raise ApiError(404, "unknown: " + "/".join(path))
        return None

    def _register(self, body: Json) -> None:
        node = body.get("Node")
        if not node or not body.get("Address"):
            raise ApiError(400, "Must provide node and address")
        self.catalog.put_node(node, body["Address"], body.get("NodeMeta"))
        service = self.catalog.put_service(node, body["Service"]) if body.get("Service") else None
        for check in [body["Check"]] if body.get("Check") else body.get("Checks") or []:
            self.catalog.put_check(node, check, service if check.get("ServiceID") else None)

    def _deregister(self, body: Json) -> None:
        node = body.get("Node") or ""
        if body.get("ServiceID"):
            self.catalog.drop_service(node, body["ServiceID"])
        elif body.get("CheckID"):
            self.catalog.drop_check(node, body["CheckID"])
        else:
            self.catalog.drop_node(node)

    # --- answers, whole and otherwise ---

    async def _write(
        self, writer: asyncio.StreamWriter, status: int, body: bytes, headers: dict[str, str], watched: bool
    ) -> bool:
        if watched and status == 200:
            if self.fault("hang") is not None:
                await asyncio.sleep(max(self.faults["hang"][0] - self.now(), 0))
                return False
            body = self._spoil(body)
        headers = {"Content-Type": "application/json", **headers}
        chunked = watched and self.fault("chunked") is not None
        if watched and self.fault("gzip") is not None:
            body = gzip.compress(body, 1)
            headers["Content-Encoding"] = "gzip"
        headers["Transfer-Encoding" if chunked else "Content-Length"] = (
            "chunked" if chunked else str(len(body))
        )
        head = "".join(f"{k}: {v}\r\n" for k, v in headers.items())
        writer.write(f"HTTP/1.1 {status} {'OK' if status == 200 else 'Scripted'}\r\n{head}\r\n".encode())
        if watched and self.fault("cut") is not None:
            writer.write(body[: len(body) // 2])
            await writer.drain()
            return False
        if watched and self.fault("drip") is not None:
            return await self._drip(writer, body)
        if chunked:
            for at in range(0, len(body), CHUNK):
                part = body[at : at + CHUNK]
                writer.write(b"%x\r\n%b\r\n" % (len(part), part))
            body = b"0\r\n\r\n"
        writer.write(body)
        await writer.drain()
        return True

    async def _drip(self, writer: asyncio.StreamWriter, body: bytes) -> bool:
        for at in range(len(body)):
            writer.write(body[at : at + 1])
            await writer.drain()
            await asyncio.sleep(DRIP_S)
            if self.fault("drip") is None:
                return False
        return True

    def _spoil(self, body: bytes) -> bytes:
        if self.fault("garbage") is not None:
            return b'[{"Node":{"Node":\xff\xfe' + body[:40]
        if self.fault("empty") is not None:
            return b"[]"
        if self.fault("truncate") is not None:
            rows = json.loads(body)
            return json.dumps(rows[: math.ceil(len(rows) / 4)]).encode()
        return body


def matches(row: Json, expression: str) -> bool:
    """Whether a row passes a filter. Raises ApiError for what isn't understood."""
    at = 0
    while True:
        term = TERM.match(expression, at)
        if term is None:
            raise ApiError(400, f"Failed to create boolean expression evaluator: {expression!r}")
        if term["left"]:
            fits = (_select(row, term["left"]) == term["value"]) is (term["op"] == "==")
        else:
            fits = (term["member"] in (_select(row, term["of"]) or [])) is not bool(term["negated"])
        if not fits:
            return False
        at = term.end()
        if at == len(expression):
            return True
        if not expression.startswith("and ", at):
            raise ApiError(400, f"Failed to create boolean expression evaluator: {expression!r}")
        at += 4


def _select(row: Any, selector: str) -> Any:
    for part in re.findall(r'\["([^"]*)"\]|(\w+)', selector):
        row = row.get(part[0] or part[1]) if isinstance(row, dict) else None
    return row


def _body(request: Request) -> Json:
    try:
        body = json.loads(bytes(request.body) or b"{}")
    except ValueError as error:
        raise ApiError(400, f"Request decode error: {error}") from error
    if not isinstance(body, dict):
        raise ApiError(400, "Request decode error: not an object")
    named: Json = _named(body)
    return named


def _named(body: Any) -> Any:
    """Keys as the pages write them: agents take them in any case, and py-consul sends them in lower case."""
    if isinstance(body, list):
        return [_named(inner) for inner in body]
    if not isinstance(body, dict):
        return body
    named = {KEYS.get(key.lower(), key): value for key, value in body.items()}
    return {key: value if key in FREE else _named(value) for key, value in named.items()}


def _json(value: Any) -> tuple[int, bytes, dict[str, str]]:
    return 200, b"" if value is None else json.dumps(value).encode(), {}


def run(listen: str, script: Path | None, token: str) -> int:
    """Serve until SIGTERM; 2 for a script that can't be used."""
    try:
        steps = parse(script.read_text(encoding="utf-8")) if script else []
    except (OSError, ScriptError) as error:
        print(f"{script}: {error}", file=sys.stderr)
        return 2

    async def serve(host: str, port: int, ended: asyncio.Event) -> None:
        server = Server(token)
        at = await server.start(host, port)
        print(f"emulated consul listens at {host}:{at}", flush=True)
        server.play(steps)
        await ended.wait()
        await server.stop()

    return run_until_told(listen, serve)
