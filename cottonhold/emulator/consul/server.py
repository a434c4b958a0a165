"""The emulated Consul agent: its connections, blocking queries and scripts.

Not supported: ACL policies (one token or none), prepared queries, KV, sessions, Connect, namespaces,
more than one server, and other filters than those of filters.py.
"""

from __future__ import annotations

import asyncio
import json
import random
import ssl
import sys
import time
from collections import deque
from dataclasses import dataclass
from pathlib import Path
from urllib.parse import parse_qsl, unquote, urlsplit

import httptools

from cottonhold.emulator.consul.catalog import Catalog
from cottonhold.emulator.consul.changes import apply_change
from cottonhold.emulator.consul.entries import ApiError, CheckStatus, parse_duration
from cottonhold.emulator.consul.faults import ActiveFaults
from cottonhold.emulator.consul.filters import matches
from cottonhold.emulator.consul.http import Request, Response, json_response, read_request
from cottonhold.emulator.consul.queries import agent_query, index_of, rows_of
from cottonhold.emulator.consul.response_writer import write_response, write_watched_response
from cottonhold.emulator.consul.script import ChangeKind, FaultKind, ScriptError, Step, parse
from cottonhold.emulator.serving import Listener, run_until_signal

DEFAULT_WAIT, MAX_WAIT_S = "300s", 600.0
MAX_EXPIRY_INTERVAL_S, MIN_EXPIRY_INTERVAL_S = 0.25, 0.01
MIN_WAIT_S = 0.001
WAIT_JITTER = 1 / 16  # largest random addition to a wait, as a share of the wait
MAX_PAST_RESPONSES, MAX_CALLS = 2000, 10_000


@dataclass(slots=True, frozen=True)
class PastResponse:
    """The response of a read endpoint at an earlier time, for stale reads."""

    at: float
    endpoint: str
    index: int
    body: bytes


class Server(Listener):
    """One agent of one datacentre; `calls` contains the time, method and URL of the last MAX_CALLS calls."""

    expected_errors = (*Listener.expected_errors, httptools.HttpParserError)

    def __init__(self, token: str = "", seed: int = 1) -> None:
        super().__init__()
        self.started_at = time.monotonic()
        self.catalog = Catalog(self.now)
        self.catalog.on_changed = self._wake
        self.token, self.is_token_revoked = token, False
        self.draw = random.Random(seed)
        self.waiting: set[asyncio.Future[None]] = set()
        self.faults = ActiveFaults(self.now)
        self.calls: list[tuple[float, str, str]] = []
        self._past_responses: deque[PastResponse] = deque(maxlen=MAX_PAST_RESPONSES)
        self._cached_bodies: dict[str, tuple[int, bytes]] = {}  # index and body, by query

    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self.started_at

    async def start(
        self, host: str = "127.0.0.1", port: int = 0, context: ssl.SSLContext | None = None
    ) -> int:
        """Start to listen and to expire checks; return the port."""
        port = await super().start(host, port, context)
        self.spawn(self._expire_checks())
        return port

    async def _expire_checks(self) -> None:
        while True:
            next_at = self.catalog.expire()
            delay_s = max(next_at - self.now(), MIN_EXPIRY_INTERVAL_S)
            await asyncio.sleep(min(delay_s, MAX_EXPIRY_INTERVAL_S))

    def play(self, steps: list[Step]) -> None:
        """Run a script in the background; its times are relative to the call."""
        self.spawn(self._play(steps, self.now()))

    async def _play(self, steps: list[Step], started_at: float) -> None:
        for step in steps:
            await asyncio.sleep(max(started_at + step.at_s - self.now(), 0))
            try:
                self.apply(step)
            except ApiError as error:
                print(f"script: {step.kind} {' '.join(step.args)}: {error}", file=sys.stderr, flush=True)

    def apply(self, step: Step) -> None:
        """Run one step of a script. Raises ApiError if it names something unknown."""
        if isinstance(step.kind, FaultKind):
            self.faults.start(step.kind, step.duration_s, step.args)
            self._wake()
        else:
            self._apply_change(step.kind, step.args)

    def _apply_change(self, kind: ChangeKind, args: tuple[str, ...]) -> None:
        catalog = self.catalog
        match kind:
            case ChangeKind.CRITICAL | ChangeKind.WARNING | ChangeKind.PASSING:
                node, check = catalog.check_of(args[0])
                catalog.set_status(node, check, kind, f"scripted: {kind}")
            case ChangeKind.NODE_FAIL | ChangeKind.NODE_WELL:
                is_failed = kind is ChangeKind.NODE_FAIL
                status = CheckStatus.CRITICAL if is_failed else CheckStatus.PASSING
                catalog.set_status(args[0], "serfHealth", status, f"scripted: {status}")
            case ChangeKind.MAINTENANCE:
                catalog.set_maintenance(catalog.node_of(args[0]), args[1] == "on", "scripted", args[0])
            case ChangeKind.DEREGISTER:
                catalog.remove_service(catalog.node_of(args[0]), args[0])
            case ChangeKind.REGISTER:
                self.add_engine(args[0], args[1])
            case ChangeKind.REVOKE:
                self.is_token_revoked = True
            case ChangeKind.GRANT:
                self.is_token_revoked = False

    def add_engine(self, service_id: str, address: str, service: str = "engine", **meta: str) -> None:
        """Register an instance with a passing check, as the agent of an engine does."""
        host, _, port = address.rpartition(":")
        body = {"ID": service_id, "Name": service, "Address": host, "Port": int(port), "Meta": meta}
        entry = self.catalog.put_service(self.catalog.agent, body)
        check = {"CheckID": f"check:{service_id}", "Status": "passing"}
        self.catalog.put_check(self.catalog.agent, check, entry)

    def _wake(self) -> None:
        """Wake all blocking queries, so that they check the index again."""
        waiting, self.waiting = self.waiting, set()
        for future in waiting:
            if not future.done():
                future.set_result(None)

    async def converse(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve the calls of one connection until it ends."""
        while (request := await read_request(reader)) is not None:
            response = await self._respond(request)
            if "/v1/health/service" not in request.url:
                await write_response(writer, response)
            elif not await write_watched_response(writer, response, self.faults):
                return

    async def _respond(self, request: Request) -> Response:
        url = urlsplit(request.url)
        query = dict(parse_qsl(url.query, keep_blank_values=True))
        self.calls.append((self.now(), request.method, request.url))
        del self.calls[:-MAX_CALLS]
        token = request.headers.get("x-consul-token") or query.get("token", "")
        try:
            if url.path != "/emulator/script":
                self._check_token(token)
            code = self.faults.arguments(FaultKind.STATUS)
            if code is not None and url.path.startswith("/v1/health"):
                headers = {"Retry-After": "1"} if code[0] == "429" else {}
                return Response(int(code[0]), b"scripted", headers)
            if not self._has_leader() and "stale" not in query and url.path.startswith("/v1/"):
                raise ApiError(500, "No cluster leader")
            return await self._route([unquote(part) for part in url.path.split("/")[1:]], query, request)
        except ApiError as error:
            return Response(error.status, error.text.encode())

    def _check_token(self, token: str) -> None:
        if self.token and (self.is_token_revoked or token != self.token):
            raise ApiError(403, "Permission denied: token with AccessorID 'anonymous' lacks permission")

    def _has_leader(self) -> bool:
        return not self.faults.is_active(FaultKind.NO_LEADER)

    async def _route(self, path: list[str], query: dict[str, str], request: Request) -> Response:
        if path == ["emulator", "script"] and request.method == "PUT":
            try:
                self.play(parse(request.text()))
            except ScriptError as error:
                raise ApiError(400, str(error)) from error
            return json_response(True)
        if path[0] != "v1" or len(path) < 3:
            raise ApiError(404, "")
        if request.method == "PUT":
            return json_response(apply_change(self.catalog, path[1:], query, request.decode_body()))
        if request.method != "GET":
            raise ApiError(405, "method not allowed")
        if path[1] in ("health", "catalog"):
            return await self._read(path[1:], query)
        return json_response(agent_query(self.catalog, path[1:], self._has_leader()))

    async def _read(self, path: list[str], query: dict[str, str]) -> Response:
        """Return the response to a query of a health or catalogue endpoint, which may be a blocking query."""
        if query.get("dc", self.catalog.datacenter) != self.catalog.datacenter:
            raise ApiError(500, "No path to datacenter")
        await self._wait_for_change(path, query)
        index = index_of(self.catalog, path)
        body = self._body(path, query, index)
        headers = {
            "X-Consul-Index": str(index),
            "X-Consul-KnownLeader": "true" if self._has_leader() else "false",
            "X-Consul-LastContact": "0",
            "X-Consul-Effective-Consistency": "stale" if "stale" in query else "leader",
        }
        endpoint = "/".join(path)
        self._past_responses.append(PastResponse(self.now(), endpoint, index, body))
        staleness = self.faults.arguments(FaultKind.STALE)
        if staleness is not None and "stale" in query:
            age_s = float(staleness[0])
            if (past := self._response_before(endpoint, self.now() - age_s)) is not None:
                index, body = past.index, past.body
                headers["X-Consul-Index"] = str(index)
            headers["X-Consul-LastContact"] = str(int(age_s * 1000))
        if self.faults.is_active(FaultKind.BACKWARDS):
            headers["X-Consul-Index"] = str(max(1, index // 2))
        return Response(200, body, headers)

    async def _wait_for_change(self, path: list[str], query: dict[str, str]) -> None:
        """Wait until the index differs from a blocking query's, its wait ends, or a fault interrupts it."""
        known_index = int(query.get("index") or 0)
        wait_s = min(parse_duration(query.get("wait") or DEFAULT_WAIT), MAX_WAIT_S)
        deadline = self.now() + wait_s + self.draw.random() * wait_s * WAIT_JITTER
        while known_index and index_of(self.catalog, path) == known_index:
            if self.now() >= deadline or self.faults.interrupts_watchers():
                return
            future = asyncio.get_running_loop().create_future()
            self.waiting.add(future)
            try:
                await asyncio.wait_for(future, max(deadline - self.now(), MIN_WAIT_S))
            except TimeoutError:
                return
            finally:
                self.waiting.discard(future)

    def _response_before(self, endpoint: str, at: float) -> PastResponse | None:
        """Return the last response of an endpoint at or before a time; None if there is none."""
        earlier = [past for past in self._past_responses if past.endpoint == endpoint and past.at <= at]
        return earlier[-1] if earlier else None

    def _body(self, path: list[str], query: dict[str, str], index: int) -> bytes:
        key = json.dumps([path, {k: v for k, v in query.items() if k not in ("index", "wait")}])
        cached = self._cached_bodies.get(key)
        if cached is None or cached[0] != index:
            rows = rows_of(self.catalog, path, query)
            if expression := query.get("filter"):
                rows = [row for row in rows if matches(row, expression)]
            cached = self._cached_bodies[key] = (index, json.dumps(rows, separators=(",", ":")).encode())
        return cached[1]


def run(listen: str, script: Path | None, token: str) -> int:
    """Serve until SIGTERM; return the exit code, which is 2 for an invalid script."""
    try:
        steps = parse(script.read_text(encoding="utf-8")) if script else []
    except (OSError, ScriptError) as error:
        print(f"{script}: {error}", file=sys.stderr)
        return 2

    async def serve(host: str, port: int, ended: asyncio.Event) -> None:
        server = Server(token)
        port = await server.start(host, port)
        print(f"emulated consul listens at {host}:{port}", flush=True)
        server.play(steps)
        await ended.wait()
        await server.stop()

    return run_until_signal(listen, serve)
