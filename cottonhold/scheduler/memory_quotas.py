"""Divides the limit on memory into quotas, whose sum stays below the limit."""

from __future__ import annotations

from dataclasses import dataclass

# Share of the memory that is left beside the idle program: for parsing, and for what the allocator loses.
RESERVE_FRACTION = 0.25
# Each holder may hold this much beyond its quota's pool, so that small requests never depend on others.
ALLOWANCE_BYTES = 2048
# Memory of one client connection with its session, commands, an open request and the allowance.
SESSION_BYTES = 12_288 + ALLOWANCE_BYTES
SESSIONS_FRACTION = 0.6  # share of the memory for sessions, if it limits them
# Shares of what remains beside the sessions.
CLIENTS_FRACTION, RESULTS_FRACTION, EVENT_STREAM_FRACTION, ENGINES_FRACTION = 0.35, 0.35, 0.15, 0.15
# Share of the sessions that descriptors allow which exist whatever the memory: usual clients hold at most a
# third of the descriptors, and near the largest number of sessions resting ones are closed.
MIN_SESSIONS_FRACTION = 0.8
MIN_POOL_BYTES = 256 * 1024  # smallest pool: the largest packet of one client passes
MIN_EVENT_STREAM_BYTES = 128 * 1024  # an answer with 600 engines
UNLIMITED_BYTES = 1 << 30  # what is divided if there is no limit


@dataclass(slots=True, frozen=True)
class MemoryQuotas:
    """What each part of the process may hold.

    Attributes:
        sessions: Largest number of client sessions.
        client_bytes: Incomplete packets, queued commands and the statements of open requests.
        result_bytes: Pages of results that are collected, and results that clients have not read.
        engine_bytes: Incomplete answers of engines.
        event_stream_bytes: One answer of the event stream.
    """

    sessions: int
    client_bytes: int
    result_bytes: int
    engine_bytes: int
    event_stream_bytes: int


def divide_memory(limit: int | None, idle: int, processes: int, max_sessions: int) -> MemoryQuotas:
    """Divide a limit on memory into the quotas of one process.

    Args:
        limit: The limit of all processes of the dispatcher together, in bytes; None for no limit.
        idle: Memory of one process without any client, in bytes.
        processes: Number of processes that share the limit: two in an upgrade.
        max_sessions: Largest number of sessions that the descriptors allow.
    """
    available = UNLIMITED_BYTES if limit is None else max(limit // processes - idle, 0)
    usable = int(available * (1 - RESERVE_FRACTION))
    needed_sessions = int(max_sessions * MIN_SESSIONS_FRACTION)
    affordable_sessions = int(usable * SESSIONS_FRACTION) // SESSION_BYTES
    sessions = min(max_sessions, max(affordable_sessions, needed_sessions, 1))
    rest = max(usable - sessions * SESSION_BYTES, 0)
    return MemoryQuotas(
        sessions=sessions,
        client_bytes=max(int(rest * CLIENTS_FRACTION), MIN_POOL_BYTES),
        result_bytes=max(int(rest * RESULTS_FRACTION), MIN_POOL_BYTES),
        engine_bytes=max(int(rest * ENGINES_FRACTION), MIN_POOL_BYTES),
        event_stream_bytes=max(int(rest * EVENT_STREAM_FRACTION), MIN_EVENT_STREAM_BYTES),
    )
