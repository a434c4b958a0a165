"""Measures the Consul front and writes docs/measurements/consul.*:

    python benchmarks/consul/run.py [--changes 1000]

Stand-in Consul, engines and clients run in this process, the dispatcher in one of its own. All on loopback,
bounded in count and time.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import statistics
import subprocess
import sys
import tempfile
import time
import tracemalloc
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

ROOT = Path(__file__).resolve().parents[2]
OUT = ROOT / "docs" / "measurements"
PORT = 23306
ENGINES, CLIENTS, WORK_MS = 8, 24, 4.0
# Between two changes, and how long an engine stays out: three of eight at once, which the floor lets go.
GAP_S, AWAY_S = 0.09, 0.25
LOGIN = (0x8208).to_bytes(4, "little") + bytes(28) + b"app\0\0dw\0"


def config(agent: str) -> dict[str, Any]:
    return {
        "name": "bench",
        "listen": f"127.0.0.1:{PORT}",
        "seed": 1,
        "machine_types": [{"name": "std", "cores": 8, "memory_mb": 16384}],
        "classes": [{"name": "lookup", "aim_ms": 1000, "deadline_ms": 5000, "effect": "safe"}],
        "rules": {"warm_within_ms": 1},  # each return would else be a cold start, and get next to no load
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


def packet(sequence: int, body: bytes) -> bytes:
    return len(body).to_bytes(3, "little") + bytes([sequence]) + body


async def client(number: int, served: list[int], stop: asyncio.Event) -> None:
    """One session that sends one query after another."""
    reader, writer = await asyncio.open_connection("127.0.0.1", PORT)
    writer.write(packet(1, LOGIN))

    async def read() -> bytes:
        head = await reader.readexactly(4)
        return await reader.readexactly(int.from_bytes(head[:3], "little"))

    await read(), await read()
    count = 0
    while not stop.is_set():
        count += 1
        sql = f"/* service=lookup,ref={number:08x}{count:08x},allow=4000 */ SELECT a FROM sales_{count % 7}.t"
        writer.write(packet(0, b"\x03" + sql.encode()))
        ends = 0
        while ends < 2:
            body = await read()
            if body[:1] == b"\xff":
                await asyncio.sleep(0.01)
                break
            ends += body[:1] == b"\xfe" and len(body) < 9
        else:
            served[0] += 1
    writer.close()


async def latencies(changes: int, folder: Path) -> tuple[dict[str, list[float]], dict[str, float]]:
    """Milliseconds from each change to the last request that came to its engine; 0 where none came."""
    server = Server()
    agent = f"127.0.0.1:{await server.start('127.0.0.1', 0)}"
    engines = {}
    for i in range(ENGINES):
        engine = engines[f"e{i}"] = StandInEngine(f"e{i}", WORK_MS)
        server.add_engine(f"e{i}", f"127.0.0.1:{await engine.start()}")
    path = folder / "bench.json"
    path.write_text(json.dumps(config(agent)))
    node = subprocess.Popen(
        [sys.executable, "-m", "cottonhold.cli.main", "serve", "--config", str(path)],
        stderr=subprocess.DEVNULL,
    )
    try:
        for _ in range(200):
            await asyncio.sleep(0.05)
            if server.waiting:
                break
        idle = await idle_cpu(node.pid)
        stop, served = asyncio.Event(), [0]
        sessions = [asyncio.create_task(client(i, served, stop)) for i in range(CLIENTS)]
        await asyncio.sleep(1.0)
        begun = time.monotonic()
        found: dict[str, list[float]] = {"critical": [], "maintenance": [], "deregister": []}
        watchers = []
        kinds = list(found)
        for number in range(changes):
            engine_id, kind = f"e{number % ENGINES}", kinds[number // ENGINES % 3]
            watchers.append(
                asyncio.create_task(one_change(server, engines[engine_id], engine_id, kind, found))
            )
            await asyncio.sleep(GAP_S)
        await asyncio.gather(*watchers)
        rate = served[0] / (time.monotonic() - begun)
        stop.set()
        await asyncio.gather(*sessions, return_exceptions=True)
        return found, {
            "queries a second": rate,
            "idle CPU, % of a core": idle,
            "resident MB": resident(node.pid),
        }
    finally:
        node.terminate()
        node.wait(30)
        for engine in engines.values():
            await engine.stop()
        await server.stop()


async def one_change(
    server: Server, engine: StandInEngine, engine_id: str, kind: str, found: dict[str, list[float]]
) -> None:
    args = (engine_id, "on") if kind == "maintenance" else (engine_id,)
    at = time.monotonic()
    server.apply(Step(0, ChangeKind(kind), args))
    await asyncio.sleep(AWAY_S)
    last = engine.arrivals[-1] if engine.arrivals else 0.0
    found[kind].append(max(last - at, 0.0) * 1000)
    engine.arrivals.clear()
    assert engine.server is not None
    port = engine.server.sockets[0].getsockname()[1]
    back = {
        "critical": ("passing", (engine_id,)),
        "maintenance": ("maintenance", (engine_id, "off")),
        "deregister": ("register", (engine_id, f"127.0.0.1:{port}")),
    }[kind]
    server.apply(Step(0, ChangeKind(back[0]), back[1]))


def cpu_s(pid: int) -> float:
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(") ", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def resident(pid: int) -> float:
    lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    return next(int(line.split()[1]) / 1024 for line in lines if line.startswith("VmRSS"))


async def idle_cpu(pid: int, seconds: float = 20.0) -> float:
    begun = cpu_s(pid)
    await asyncio.sleep(seconds)
    return 100 * (cpu_s(pid) - begun) / seconds


def change_cost(size: int, rounds: int = 60) -> dict[str, float]:
    """One engine of `size` changes: median ms for cutting, for deciding, and for a plain reading."""
    catalog = Catalog(lambda: 0.0)
    for i in range(size):
        body = {
            "ID": f"e{i}",
            "Name": "engine",
            "Address": "10.0.0.1",
            "Port": 1 + i,
            "Meta": {"machine_type": "std", "started_at_ms": "1700000000000"},
        }
        made = catalog.put_service("agent-1", body)
        catalog.put_check("agent-1", {"CheckID": f"check:e{i}", "Status": "passing"}, made)
    rows = catalog.health_rows("engine")
    names = ConfiguredNames((), ("std",))
    answers = HealthResponseDecoder(names, EntryInterpretation(), print)
    belief = EngineCatalog((("dc1", SourceGuard(min_quiet_ms=0.0)),), 1)
    tracemalloc.start()
    first = answers.decode_health_response(json.dumps(rows).encode())
    belief.step(0.0, [SourceReport("dc1", 1, first.observations, first.absent_ids)])
    memory = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    plain: msgspec.json.Decoder[list[Entry]] = msgspec.json.Decoder(list[Entry])
    times: dict[str, list[float]] = {"cut": [], "decide": [], "plain": []}
    for number in range(rounds):
        rows[number % size]["Checks"][-1]["Status"] = "critical" if number // size % 2 == 0 else "passing"
        data = json.dumps(rows).encode()
        t0 = time.perf_counter()
        got = answers.decode_health_response(data)
        t1 = time.perf_counter()
        belief.step(number * 1000.0, [SourceReport("dc1", number + 2, got.observations, got.absent_ids)])
        t2 = time.perf_counter()
        plain.decode(data)
        t3 = time.perf_counter()
        for name, value in (("cut", t1 - t0), ("decide", t2 - t1), ("plain", t3 - t2)):
            times[name].append(value * 1000)
    return {
        "engines": size,
        "answer MB": len(data) / 1e6,
        "KB an engine": memory / size / 1024,
        **{name: statistics.median(values) for name, values in times.items()},
    }


def write(found: dict[str, list[float]], more: dict[str, float], costs: list[dict[str, float]]) -> None:
    OUT.mkdir(parents=True, exist_ok=True)
    everything = [v for values in found.values() for v in values]
    rows = [*found.items(), ("all", everything)]
    text = [
        "# Consul: measured",
        "",
        "By `python benchmarks/consul/run.py`, on a shared machine of 8 cores. "
        f"{ENGINES} stand-in engines, {CLIENTS} sessions that send one query after another, "
        f"{more['queries a second']:.0f} queries a second through one dispatcher.",
        "",
        "## From a change in Consul to the last request at that engine",
        "",
        "| change | count | p50 ms | p99 ms | max ms | no request after it |",
        "| --- | --- | --- | --- | --- | --- |",
    ]
    for name, values in rows:
        p50, p99 = np.percentile(values, [50, 99])
        none = sum(v == 0 for v in values)
        text.append(f"| {name} | {len(values)} | {p50:.1f} | {p99:.1f} | {max(values):.1f} | {none} |")
    text += [
        "",
        "![latencies and costs](consul.svg)",
        "",
        "## What one change costs",
        "",
        "Median of 60. *Cutting* finds the changed entry in the answer (digests of all, decoding of one); "
        "*deciding* is all behind it; *plain* decodes every entry, and would still have to compare them.",
        "",
        "| engines | answer MB | cutting ms | deciding ms | plain ms | KB kept an engine |",
        "| --- | --- | --- | --- | --- | --- |",
    ]
    for c in costs:
        text.append(
            f"| {c['engines']:.0f} | {c['answer MB']:.2f} | {c['cut']:.3f} | {c['decide']:.3f} | "
            f"{c['plain']:.3f} | {c['KB an engine']:.2f} |"
        )
    text += [
        "",
        "## At rest",
        "",
        f"One dispatcher with one watch, no clients: {more['idle CPU, % of a core']:.2f}% of a "
        f"core over 20 s. After the load above it held {more['resident MB']:.1f} MB resident.",
        "",
    ]
    (OUT / "consul.md").write_text("\n".join(text))
    figure, (left, right) = pyplot.subplots(1, 2, figsize=(10, 3.6))
    for name, values in found.items():
        ordered = np.sort(values)
        left.plot(ordered, np.arange(1, len(ordered) + 1) / len(ordered), label=name)
    left.set(
        xlabel="ms to the last request", ylabel="share of changes", title="From a change to the last request"
    )
    left.legend()
    sizes = [c["engines"] for c in costs]
    for name, label in (("cut", "cutting"), ("decide", "deciding"), ("plain", "plain decoding")):
        right.plot(sizes, [c[name] for c in costs], marker="o", label=label)
    right.set(xscale="log", yscale="log", xlabel="engines", ylabel="ms", title="One change")
    right.legend()
    figure.tight_layout()
    figure.savefig(OUT / "consul.svg", metadata={"Date": None})


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--changes", type=int, default=1000)
    arguments = parser.parse_args()
    costs = [change_cost(size) for size in (10, 1000, 10_000)]
    with tempfile.TemporaryDirectory() as folder:
        found, more = uvloop.run(latencies(arguments.changes, Path(folder)))
    write(found, more, costs)
    print((OUT / "consul.md").read_text())


if __name__ == "__main__":
    main()
