"""Measures discovery through Consul and writes docs/measurements/consul.*:

    python benchmarks/consul/run.py [--changes 1000]

The emulated Consul, the engines and the clients run in this process, the dispatcher in another one. All
connections use the loopback interface.
"""

from __future__ import annotations

import argparse
import asyncio
import itertools
import json
import os
import statistics
import subprocess
import sys
import tempfile
import time
import tracemalloc
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import matplotlib
import msgspec
import numpy as np
import uvloop

from cottonhold.discovery.consul.health_entry import Entry, EntryInterpretation
from cottonhold.discovery.consul.health_response import HealthResponseDecoder
from cottonhold.discovery.engine_catalog import EngineCatalog
from cottonhold.discovery.model import ConfiguredNames, SourceGuard, SourceReport
from cottonhold.emulator.consul.catalog import Catalog
from cottonhold.emulator.consul.script import ChangeKind, Step
from cottonhold.emulator.consul.server import Server
from cottonhold.emulator.engine import StandInEngine

matplotlib.use("Agg")
from matplotlib import pyplot  # noqa: E402

OUTPUT = Path(__file__).resolve().parents[2] / "docs" / "measurements"
PORT = 23306
ENGINES, CLIENTS, WORK_MS = 8, 24, 4.0
# Time between two changes, and time for which an engine is out. At most three of the eight engines are out at
# a time, which the lower limit on engines in service permits.
CHANGE_INTERVAL_S, OUTAGE_S = 0.09, 0.25
WARMUP_S, IDLE_S = 1.0, 20.0
LOGIN = (0x8208).to_bytes(4, "little") + bytes(28) + b"app\0\0dw\0"
ERROR_MARK, END_MARK, MAX_END_BYTES = b"\xff", b"\xfe", 9
ENDS_PER_RESPONSE = 2  # one end packet after the column definitions, one after the rows
CATALOG_SIZES = (10, 1000, 10_000)  # numbers of engines
# Each kind of change in Consul and the kind that reverts it; a registration also needs the engine's address.
REVERSALS = {
    ChangeKind.CRITICAL: ChangeKind.PASSING,
    ChangeKind.MAINTENANCE: ChangeKind.MAINTENANCE,
    ChangeKind.DEREGISTER: ChangeKind.REGISTER,
}

Latencies = dict[str, list[float]]  # by kind of change
ChangeCosts = dict[str, float]


@dataclass(slots=True, frozen=True)
class Usage:
    """The dispatcher's throughput and use of resources."""

    queries_per_second: float
    idle_cpu_percent: float  # of one core
    resident_mb: float


def dispatcher_config(agent: str) -> dict[str, Any]:
    """Return the dispatcher's configuration."""
    return {
        "name": "bench",
        "listen": f"127.0.0.1:{PORT}",
        "seed": 1,
        "machine_types": [{"name": "std", "cores": 8, "memory_mb": 16384}],
        "classes": [{"name": "lookup", "aim_ms": 1000, "deadline_ms": 5000, "effect": "safe"}],
        "rules": {"warm_within_ms": 1},  # A returning engine would otherwise be cold and get little load.
        "sources": [
            {
                "kind": "consul",
                "name": "dc1",
                "addresses": [agent],
                "service": "engine",
                "guard": {"quiet_ms": 1, "quiet_most_ms": 1, "jitter": 0},
            }
        ],
        "log": {"per_second": 0.1, "burst": 1},
    }


class Client:
    """A MySQL session that sends one query after another."""

    def __init__(self, number: int) -> None:
        self.number, self.served = number, 0

    async def run(self, stop: asyncio.Event) -> None:
        """Log in and send queries until the event is set."""
        reader, writer = await asyncio.open_connection("127.0.0.1", PORT)
        writer.write(_packet(1, LOGIN))
        for _ in ("greeting", "result of the login"):
            await _read_packet(reader)
        for count in itertools.count(1):
            if stop.is_set():
                break
            request_id = f"{self.number:08x}{count:08x}"
            query = f"/* service=lookup,ref={request_id},allow=4000 */ SELECT a FROM sales_{count % 7}.t"
            writer.write(_packet(0, b"\x03" + query.encode()))
            if await _is_served(reader):
                self.served += 1
            else:
                await asyncio.sleep(0.01)
        writer.close()


def _packet(sequence: int, body: bytes) -> bytes:
    return len(body).to_bytes(3, "little") + bytes([sequence]) + body


async def _read_packet(reader: asyncio.StreamReader) -> bytes:
    head = await reader.readexactly(4)
    return await reader.readexactly(int.from_bytes(head[:3], "little"))


async def _is_served(reader: asyncio.StreamReader) -> bool:
    """Read a response; return whether it has rows rather than an error."""
    ends = 0
    while ends < ENDS_PER_RESPONSE:
        body = await _read_packet(reader)
        if body[:1] == ERROR_MARK:
            return False
        ends += body[:1] == END_MARK and len(body) < MAX_END_BYTES
    return True


async def measure_latencies(changes: int, folder: Path) -> tuple[Latencies, Usage]:
    """Return the ms from each change to the last request that its engine received (0 if none), and the
    dispatcher's usage."""
    server = Server()
    agent = f"127.0.0.1:{await server.start('127.0.0.1', 0)}"
    engines = [StandInEngine(f"e{i}", WORK_MS) for i in range(ENGINES)]
    for engine in engines:
        server.add_engine(engine.id, f"127.0.0.1:{await engine.start()}")
    path = folder / "bench.json"
    path.write_text(json.dumps(dispatcher_config(agent)))
    dispatcher = subprocess.Popen(
        [sys.executable, "-m", "cottonhold.cli.main", "serve", "--config", str(path)],
        stderr=subprocess.DEVNULL,
    )
    try:
        await _wait_for_watch(server)
        idle_cpu_percent = await measure_idle_cpu_percent(dispatcher.pid)
        clients = [Client(number) for number in range(CLIENTS)]
        stop = asyncio.Event()
        sessions = [asyncio.create_task(client.run(stop)) for client in clients]
        await asyncio.sleep(WARMUP_S)
        started_at = time.monotonic()
        latencies = await make_changes(server, engines, changes)
        served = sum(client.served for client in clients)
        queries_per_second = served / (time.monotonic() - started_at)
        stop.set()
        await asyncio.gather(*sessions, return_exceptions=True)
        return latencies, Usage(queries_per_second, idle_cpu_percent, resident_mb(dispatcher.pid))
    finally:
        dispatcher.terminate()
        dispatcher.wait(30)
        for engine in engines:
            await engine.stop()
        await server.stop()


async def _wait_for_watch(server: Server) -> None:
    """Wait until the dispatcher's blocking query has arrived, for 10 s at most."""
    for _ in range(200):
        await asyncio.sleep(0.05)
        if server.waiting:
            return


async def make_changes(server: Server, engines: list[StandInEngine], count: int) -> Latencies:
    """Make changes of all kinds to one engine after another; return the latencies by kind."""
    latencies: Latencies = {kind: [] for kind in REVERSALS}
    kinds, changes = list(REVERSALS), list[asyncio.Task[None]]()
    for number in range(count):
        kind = kinds[number // ENGINES % len(kinds)]
        change = make_change(server, engines[number % ENGINES], kind, latencies[kind])
        changes.append(asyncio.create_task(change))
        await asyncio.sleep(CHANGE_INTERVAL_S)
    await asyncio.gather(*changes)
    return latencies


async def make_change(
    server: Server, engine: StandInEngine, kind: ChangeKind, latencies_ms: list[float]
) -> None:
    """Take an engine out, record the latency until its last request, and bring it back."""
    is_maintenance = kind is ChangeKind.MAINTENANCE
    changed_at = time.monotonic()
    server.apply(Step(0, kind, (engine.id, "on") if is_maintenance else (engine.id,)))
    await asyncio.sleep(OUTAGE_S)
    last_arrival_at = engine.arrivals[-1] if engine.arrivals else 0.0
    latencies_ms.append(max(last_arrival_at - changed_at, 0.0) * 1000)
    engine.arrivals.clear()
    args: tuple[str, ...] = (engine.id, "off") if is_maintenance else (engine.id,)
    if kind is ChangeKind.DEREGISTER:
        assert engine.server is not None
        args = (engine.id, f"127.0.0.1:{engine.server.sockets[0].getsockname()[1]}")
    server.apply(Step(0, REVERSALS[kind], args))


def cpu_s(pid: int) -> float:
    """Return the CPU time that a process has used, in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(") ", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def resident_mb(pid: int) -> float:
    """Return the resident memory of a process, in MiB."""
    lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    return next(int(line.split()[1]) / 1024 for line in lines if line.startswith("VmRSS"))


async def measure_idle_cpu_percent(pid: int) -> float:
    """Return the CPU time of a process over 20 s without load, in percent of one core."""
    before_s = cpu_s(pid)
    await asyncio.sleep(IDLE_S)
    return 100 * (cpu_s(pid) - before_s) / IDLE_S


def make_catalog(size: int) -> Catalog:
    """Return an emulated Consul catalog with so many engines."""
    catalog = Catalog(lambda: 0.0)
    for i in range(size):
        body = {
            "ID": f"e{i}",
            "Name": "engine",
            "Address": "10.0.0.1",
            "Port": 1 + i,
            "Meta": {"machine_type": "std", "started_at_ms": "1700000000000"},
        }
        service = catalog.put_service("agent-1", body)
        catalog.put_check("agent-1", {"CheckID": f"check:e{i}", "Status": "passing"}, service)
    return catalog


def measure_change_cost(size: int, rounds: int = 60) -> ChangeCosts:
    """Return sizes, and median ms for a change of one of `size` engines: `cut` to find and decode the changed
    entry, `decide` to update the engine catalog, `plain` to decode all entries."""
    catalog = make_catalog(size)
    rows = catalog.health_rows("engine")
    names = ConfiguredNames((), ("std",))
    decoder = HealthResponseDecoder(names, EntryInterpretation(), print)
    engine_catalog = EngineCatalog((("dc1", SourceGuard(min_quiet_ms=0.0)),), 1)
    tracemalloc.start()
    first = decoder.decode_health_response(json.dumps(rows).encode())
    engine_catalog.step(0.0, [SourceReport("dc1", 1, first.observations, first.absent_ids)])
    memory = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    plain: msgspec.json.Decoder[list[Entry]] = msgspec.json.Decoder(list[Entry])
    times: dict[str, list[float]] = {"cut": [], "decide": [], "plain": []}
    for number in range(rounds):
        rows[number % size]["Checks"][-1]["Status"] = "critical" if number // size % 2 == 0 else "passing"
        data = json.dumps(rows).encode()
        started_at = time.perf_counter()
        decoded = decoder.decode_health_response(data)
        decoded_at = time.perf_counter()
        engine_catalog.step(
            number * 1000.0, [SourceReport("dc1", number + 2, decoded.observations, decoded.absent_ids)]
        )
        updated_at = time.perf_counter()
        plain.decode(data)
        ended_at = time.perf_counter()
        for name, value in (
            ("cut", decoded_at - started_at),
            ("decide", updated_at - decoded_at),
            ("plain", ended_at - updated_at),
        ):
            times[name].append(value * 1000)
    return {
        "engines": size,
        "answer MB": len(data) / 1e6,
        "KB an engine": memory / size / 1024,
        **{name: statistics.median(values) for name, values in times.items()},
    }


def latency_section(latencies: Latencies) -> list[str]:
    """Return a table of latencies by kind of change."""
    lines = [
        "## From a change in Consul to the last request at that engine",
        "",
        "| change | count | p50 ms | p99 ms | max ms | no request after it |",
        "| --- | --- | --- | --- | --- | --- |",
    ]
    all_ms = [value for values in latencies.values() for value in values]
    for name, values in [*latencies.items(), ("all", all_ms)]:
        p50, p99 = np.percentile(values, [50, 99])
        without_requests = sum(value == 0 for value in values)
        lines.append(
            f"| {name} | {len(values)} | {p50:.1f} | {p99:.1f} | {max(values):.1f} | {without_requests} |"
        )
    return lines


def cost_section(costs: list[ChangeCosts]) -> list[str]:
    """Return a table of the cost of a change, by the number of engines."""
    lines = [
        "## What one change costs",
        "",
        "Median of 60. *Cutting* finds the changed entry in the answer (digests of all, decoding of one); "
        "*deciding* is all behind it; *plain* decodes every entry, and would still have to compare them.",
        "",
        "| engines | answer MB | cutting ms | deciding ms | plain ms | KB kept an engine |",
        "| --- | --- | --- | --- | --- | --- |",
    ]
    for cost in costs:
        lines.append(
            f"| {cost['engines']:.0f} | {cost['answer MB']:.2f} | {cost['cut']:.3f} | {cost['decide']:.3f} | "
            f"{cost['plain']:.3f} | {cost['KB an engine']:.2f} |"
        )
    return lines


def draw_figure(latencies: Latencies, costs: list[ChangeCosts]) -> None:
    """Write the figure: the distribution of latencies, and the costs by the number of engines."""
    figure, (latency_axes, cost_axes) = pyplot.subplots(1, 2, figsize=(10, 3.6))
    for name, values in latencies.items():
        ordered = np.sort(values)
        latency_axes.plot(ordered, np.arange(1, len(ordered) + 1) / len(ordered), label=name)
    latency_axes.set(
        xlabel="ms to the last request", ylabel="share of changes", title="From a change to the last request"
    )
    latency_axes.legend()
    sizes = [cost["engines"] for cost in costs]
    for name, label in (("cut", "cutting"), ("decide", "deciding"), ("plain", "plain decoding")):
        cost_axes.plot(sizes, [cost[name] for cost in costs], marker="o", label=label)
    cost_axes.set(xscale="log", yscale="log", xlabel="engines", ylabel="ms", title="One change")
    cost_axes.legend()
    figure.tight_layout()
    figure.savefig(OUTPUT / "consul.svg", metadata={"Date": None})


def write_page(latencies: Latencies, usage: Usage, costs: list[ChangeCosts]) -> None:
    """Write the page and its figure."""
    OUTPUT.mkdir(parents=True, exist_ok=True)
    lines = [
        "# Consul: measured",
        "",
        "By `python benchmarks/consul/run.py`, on a shared machine of 8 cores. "
        f"{ENGINES} stand-in engines, {CLIENTS} sessions that send one query after another, "
        f"{usage.queries_per_second:.0f} queries a second through one dispatcher.",
        "",
        *latency_section(latencies),
        "",
        "![latencies and costs](consul.svg)",
        "",
        *cost_section(costs),
        "",
        "## At rest",
        "",
        f"One dispatcher with one watch, no clients: {usage.idle_cpu_percent:.2f}% of a "
        f"core over 20 s. After the load above it held {usage.resident_mb:.1f} MB resident.",
        "",
    ]
    (OUTPUT / "consul.md").write_text("\n".join(lines))
    draw_figure(latencies, costs)


def main() -> None:
    """Measure, write the page and print it."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--changes", type=int, default=1000)
    arguments = parser.parse_args()
    costs = [measure_change_cost(size) for size in CATALOG_SIZES]
    with tempfile.TemporaryDirectory() as folder:
        latencies, usage = uvloop.run(measure_latencies(arguments.changes, Path(folder)))
    write_page(latencies, usage, costs)
    print((OUTPUT / "consul.md").read_text())


if __name__ == "__main__":
    main()
