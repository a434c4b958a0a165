"""The wire form of messages between gateways: a load that was sent, and the work that one has on engines."""

from __future__ import annotations

import math
import struct

from cottonhold.scheduler.state import EngineView, Told

LOAD_KIND, WORK_KIND = 2, 3  # first byte of a message
LOAD = struct.Struct(">BIHf")  # kind, engine's code, tables and planned length of a load
HEAD = struct.Struct(">Bf")  # kind and the peer's traffic
WORK = struct.Struct(">IBHH")  # an engine's code, threads, memory and planned thread time of a peer there
MEMORY_UNIT = 16.0  # MB of one step on the wire
AREA_UNIT = 32.0  # ms of one step on the wire
MOST_STEPS = 65535
MOST_THREADS = 255
TABLES_MASK = 0xFFFF
MOST_ENTRIES = 28  # of a message, which has 256 bytes at most


def pack_load(engine: EngineView, tables: int, length: float) -> bytes:
    """A load that is sent to an engine, as a message to a peer."""
    return LOAD.pack(LOAD_KIND, engine.code, tables & TABLES_MASK, length)


def read_load(data: bytes) -> tuple[int, int, float] | None:
    """Code of the engine, tables and length of a peer's load; None for another message or an absurd one."""
    if len(data) != LOAD.size or data[0] != LOAD_KIND:
        return None
    _, code, tables, length = LOAD.unpack(data)
    return (code, tables, length) if math.isfinite(length) else None


def pack_work(traffic: float, engines: list[EngineView]) -> bytes:
    """This gateway's traffic and what it has on these engines, as a message to a peer."""
    data = HEAD.pack(WORK_KIND, traffic)
    for engine in engines[:MOST_ENTRIES]:
        area = engine.held_area + sum(area for area, _ in engine.left.values())
        memory_steps = min(int(max(engine.memory_out, 0.0) / MEMORY_UNIT), MOST_STEPS)
        area_steps = min(int(area / AREA_UNIT), MOST_STEPS)
        data += WORK.pack(engine.code, min(engine.threads_out, MOST_THREADS), memory_steps, area_steps)
    return data


def read_work(now: float, data: bytes) -> tuple[float, dict[int, Told]] | None:
    """A peer's traffic and its work by engine code; None for a message that makes no sense."""
    if data[:1] != bytes([WORK_KIND]) or len(data) % WORK.size != HEAD.size:
        return None
    _, traffic = HEAD.unpack_from(data)
    if not math.isfinite(traffic):
        return None
    work = {}
    for code, threads, memory_steps, area_steps in WORK.iter_unpack(data[HEAD.size :]):
        work[code] = Told(now, threads, memory_steps * MEMORY_UNIT, area_steps * AREA_UNIT)
    return max(traffic, 0.0), work
