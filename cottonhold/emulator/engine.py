"""An emulated engine: it speaks the engines' protocol, answers queries with one row and counts its runs."""

from __future__ import annotations

import asyncio
import json
import os
import time
from typing import Any

from cottonhold.backend.resp import RespError, encode_array
from cottonhold.emulator.serving import Listener, engine_calls, run_until_signal

TTL_S = 3.0


class StandInEngine(Listener):
    """One engine.

    Attributes:
        runs: Number of executions by request id.
        arrivals: Time of each request's arrival (time.monotonic).
        health_checks: Time of each health check, and its sender's port, which identifies the dispatcher.
    """

    expected_errors = (*Listener.expected_errors, RespError)

    def __init__(self, engine_id: str, work_ms: float = 5.0) -> None:
        super().__init__()
        self.id, self.work_s = engine_id, work_ms / 1000
        self.runs: dict[str, int] = {}
        self.arrivals: list[float] = []
        self.health_checks: list[tuple[float, int]] = []
        self.in_flight = 0

    async def converse(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one dispatcher's connection."""
        open_here: dict[bytes, asyncio.TimerHandle] = {}
        try:
            async for call in engine_calls(reader):
                self._on_call(call, writer, open_here)
        finally:
            for timer in open_here.values():
                timer.cancel()

    def _on_call(
        self, call: list[bytes], writer: asyncio.StreamWriter, open_here: dict[bytes, asyncio.TimerHandle]
    ) -> None:
        verb, request_id = call[0], call[1]
        if verb == b"GET":
            self.arrivals.append(time.monotonic())
            self.runs[request_id.decode()] = self.runs.get(request_id.decode(), 0) + 1
            self.in_flight += 1
            loop = asyncio.get_running_loop()
            open_here[request_id] = loop.call_later(self.work_s, self._finish, request_id, writer, open_here)
        elif verb in (b"PING", b"LOAD"):
            self.health_checks.append((time.monotonic(), writer.get_extra_info("peername")[1]))
            writer.write(
                encode_array(request_id, b"green", f"gauges=inflight:{self.in_flight};util:0.1".encode(), b"")
            )
        elif verb == b"DROP" and (timer := open_here.pop(request_id, None)):
            timer.cancel()
            self.in_flight -= 1

    def _finish(
        self, request_id: bytes, writer: asyncio.StreamWriter, open_here: dict[bytes, asyncio.TimerHandle]
    ) -> None:
        open_here.pop(request_id, None)
        self.in_flight -= 1
        if not writer.is_closing():
            fields = f"count=1,ticks={self.work_s * 1000:.0f},footprint=1".encode()
            writer.write(
                encode_array(request_id, b"served", fields, b"%b\t%b\tok\n" % (self.id.encode(), request_id))
            )


async def _register(agent: str, engine_id: str, service: str, address: tuple[str, int]) -> None:
    """Register at a Consul agent with a TTL check, and keep the check passing."""
    host, _, port = agent.rpartition(":")
    started_at_ms = str(int(time.time() * 1000))
    body = {
        "ID": engine_id,
        "Name": service,
        "Address": address[0],
        "Port": address[1],
        "Meta": {"started_at_ms": started_at_ms},
        "Check": {"CheckID": f"ttl:{engine_id}", "TTL": f"{TTL_S:g}s", "Status": "passing"},
    }
    await _put(host, int(port), "/v1/agent/service/register", body)
    while True:
        await asyncio.sleep(TTL_S / 3)
        update_path = f"/v1/agent/check/update/ttl:{engine_id}"
        if await _put(host, int(port), update_path, {"Status": "passing"}) != 200:
            await _put(host, int(port), "/v1/agent/service/register", body)


async def _put(host: str, port: int, path: str, body: dict[str, Any]) -> int:
    """Send a PUT; return the status of its response, 0 if there was none."""
    data = json.dumps(body).encode()
    try:
        reader, writer = await asyncio.open_connection(host, port)
        head = f"PUT {path} HTTP/1.1\r\nHost: {host}\r\nContent-Length: {len(data)}\r\n\r\n"
        writer.write(head.encode() + data)
        line = await reader.readline()
        writer.close()
        return int(line.split()[1])
    except (OSError, ValueError, IndexError):
        return 0


def run(listen: str, engine_id: str, consul: str, service: str, work_ms: float) -> int:
    """Serve until SIGTERM."""

    async def serve(host: str, port: int, ended: asyncio.Event) -> None:
        engine = StandInEngine(engine_id, work_ms)
        port = await engine.start(host, port)
        print(f"engine {engine_id} ({os.getpid()}) listens at {host}:{port}", flush=True)
        registration = _register(consul, engine_id, service, (host, port)) if consul else None
        registering = asyncio.create_task(registration) if registration is not None else None
        await ended.wait()
        if registering is not None:
            registering.cancel()
            agent, _, agent_port = consul.rpartition(":")
            await _put(agent, int(agent_port), f"/v1/agent/service/deregister/{engine_id}", {})
        await engine.stop()
        print(
            f"engine {engine_id} ran {sum(engine.runs.values())} queries, {len(engine.runs)} of them once",
            flush=True,
        )

    return run_until_signal(listen, serve)
