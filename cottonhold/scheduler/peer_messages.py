"""The wire format of the messages between gateways: a load that was sent, and a gateway's work on engines."""

from __future__ import annotations

import math
import struct
from typing import NamedTuple

from cottonhold.scheduler.engine_state import EngineView
from cottonhold.scheduler.reported_load import ReportedWork

LOAD_SENT_KIND, WORK_KIND = 2, 3  # first byte of a message
LOAD_SENT = struct.Struct(">BIHf")  # kind, hash of the engine id, table group, planned run time in ms
WORK_HEADER = struct.Struct(">Bf")  # kind, the sender's traffic in queries per second
WORK_ENTRY = struct.Struct(">IBHH")  # hash of an engine id, the sender's threads, memory, thread time
MEMORY_STEP_MB = 16.0
THREAD_TIME_STEP_MS = 32.0
MAX_STEPS = 65535
MAX_THREADS = 255
TABLE_GROUP_MASK = 0xFFFF
MAX_MESSAGE_BYTES = 256  # longer datagrams between gateways are not permitted
MAX_ENTRIES = (MAX_MESSAGE_BYTES - WORK_HEADER.size) // WORK_ENTRY.size  # engines in one message


class LoadSent(NamedTuple):
    """Message that a peer sent a load to an engine, which locks its tables."""

    engine_hash: int
    table_group: int
    planned_run_ms: float


class WorkReport(NamedTuple):
    """A peer's arrivals per second, and its work on engines by the hash of the engine id."""

    queries_per_s: float
    work_by_engine_hash: dict[int, ReportedWork]


def encode_load_sent(engine: EngineView, table_group: int, planned_run_ms: float) -> bytes:
    """Return the message to a peer that a load was sent to an engine."""
    return LOAD_SENT.pack(LOAD_SENT_KIND, engine.id_hash, table_group & TABLE_GROUP_MASK, planned_run_ms)


def decode_load_sent(payload: bytes) -> LoadSent | None:
    """Return the load that a peer sent; None for a message of another kind or an invalid one."""
    if len(payload) != LOAD_SENT.size or payload[0] != LOAD_SENT_KIND:
        return None
    _, engine_hash, table_group, planned_run_ms = LOAD_SENT.unpack(payload)
    return LoadSent(engine_hash, table_group, planned_run_ms) if math.isfinite(planned_run_ms) else None


def encode_work(queries_per_s: float, engines: list[EngineView]) -> bytes:
    """Return the work report to a peer: this gateway's traffic and its work on these engines."""
    payload = WORK_HEADER.pack(WORK_KIND, queries_per_s)
    for engine in engines[:MAX_ENTRIES]:
        in_flight_ms = sum(remaining.thread_ms for remaining in engine.remaining_by_density.values())
        thread_ms = engine.queued_thread_ms + in_flight_ms
        threads = min(engine.threads_in_flight, MAX_THREADS)
        memory_steps = min(int(max(engine.memory_in_flight_mb, 0.0) / MEMORY_STEP_MB), MAX_STEPS)
        thread_time_steps = min(int(thread_ms / THREAD_TIME_STEP_MS), MAX_STEPS)
        payload += WORK_ENTRY.pack(engine.id_hash, threads, memory_steps, thread_time_steps)
    return payload


def decode_work(now: float, payload: bytes) -> WorkReport | None:
    """Return a peer's work report; None for a message of another kind or an invalid one."""
    if payload[:1] != bytes([WORK_KIND]) or len(payload) % WORK_ENTRY.size != WORK_HEADER.size:
        return None
    _, queries_per_s = WORK_HEADER.unpack_from(payload)
    if not math.isfinite(queries_per_s):
        return None
    loads = {}
    for engine_hash, threads, memory_steps, time_steps in WORK_ENTRY.iter_unpack(payload[WORK_HEADER.size :]):
        memory_mb = memory_steps * MEMORY_STEP_MB
        loads[engine_hash] = ReportedWork(now, threads, memory_mb, time_steps * THREAD_TIME_STEP_MS)
    return WorkReport(max(queries_per_s, 0.0), loads)
