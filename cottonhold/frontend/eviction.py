"""Which client sessions are closed so that others can be accepted. Free of I/O."""

from __future__ import annotations

import heapq
import math
from collections.abc import Iterable
from typing import NamedTuple

from cottonhold.frontend.mysql_session import Session
from cottonhold.frontend.session_registry import Activity
from cottonhold.scheduler.memory_quotas import ALLOWANCE_BYTES

# Near the limit on sessions, a connection that sent nothing for this long may be evicted.
EVICTABLE_AFTER_MS = 50.0
# The same limit for a connection that stopped within a packet. It is longer, since slow clients pause there.
HALTED_EVICTABLE_AFTER_MS = 400.0
# Longest time that a connection shall wait in the listener's queue. A cancellation has to take effect within
# 0.1 s, and the queue is only a part of that.
MAX_QUEUE_WAIT_MS = 60.0
MIN_EVICTABLE_AFTER_MS = 5.0  # a client that was just accepted needs this time to send something
STALLED_AFTER_MS = 100.0  # a large packet arrives in less time, unless its client has stopped
UNREAD_AFTER_MS = 200.0  # a client that reads has taken a result in less time
# The same limit for a connection that is being closed, whose client has had this time to read the response.
ENDING_EVICTABLE_AFTER_MS = 100.0
EVICTION_ORDER = {Activity.ENDING: 0, Activity.SILENT: 1, Activity.IDLE: 2, Activity.HALTED: 3}


class EvictionCandidate(NamedTuple):
    """A session that may be evicted, ordered by who is evicted first.

    Connection ids are unique, so comparing two candidates never compares their sessions.
    """

    rank: int
    idle_since: float
    connection_id: int
    session: Session


class QueuePressure:
    """How many connections have waited in the listener's queue at the same time since it was last empty."""

    def __init__(self) -> None:
        self.max_queued = 0

    def on_queued(self, count: int) -> None:
        """Record the length of the queue."""
        self.max_queued = max(self.max_queued, count)

    def on_empty(self) -> None:
        """Record that the queue is empty."""
        self.max_queued = 0

    def evictable_after_ms(self, max_sessions: int) -> float:
        """Return after which silence a session may be evicted whatever its state; infinite without a queue.

        If all sessions are inactive, the queue advances by `max_sessions` after each such time, so that its
        last connection is accepted after MAX_QUEUE_WAIT_MS.
        """
        if not self.max_queued:
            return math.inf
        rounds = math.ceil(self.max_queued / max_sessions)
        return max(MAX_QUEUE_WAIT_MS / rounds, MIN_EVICTABLE_AFTER_MS)


def reclaim_order(sessions: Iterable[Session], now: float, share: int) -> list[Session]:
    """Return the sessions whose incomplete packets are discarded when memory for packets is short.

    These are clients that have stalled while they hold more than the share that others may have; those that
    hold most come first. Slow clients write small requests, and hold less.

    Args:
        sessions: All sessions.
        now: The time, in ms of the clock.
        share: What one client may hold now, in bytes.
    """
    stalled = [
        session
        for session in sessions
        if len(session.buffer) > max(share, ALLOWANCE_BYTES)
        and now - session.last_received_at >= STALLED_AFTER_MS
    ]
    return sorted(stalled, key=lambda session: len(session.buffer), reverse=True)


def unread_order(sessions: Iterable[Session]) -> list[Session]:
    """Return the sessions whose connections are closed when unread results take too much memory.

    These are the clients that have not read all for UNREAD_AFTER_MS; those that hold most come first.
    """
    unread = [session for session in sessions if session.unread_for_ms() >= UNREAD_AFTER_MS]
    return sorted(unread, key=lambda session: session.unread_bytes(), reverse=True)


def eviction_order(
    sessions: Iterable[Session], now: float, count: int, pressure_ms: float = math.inf
) -> list[Session]:
    """Return the sessions to evict, in this order.

    Connections that are being closed come first, then sessions that never sent anything, idle ones, and those
    that stopped within a packet; within each group the longest idle come first. Sessions with a response
    outstanding are never included.

    Args:
        sessions: All sessions.
        now: The time, in ms of the clock.
        count: The largest number of sessions to return.
        pressure_ms: The result of `QueuePressure.evictable_after_ms`.
    """
    candidates = []
    for session in sessions:
        if session.has_ended():
            if session.closing_since < now - ENDING_EVICTABLE_AFTER_MS:
                rank = EVICTION_ORDER[Activity.ENDING]
                candidates.append(
                    EvictionCandidate(rank, session.closing_since, session.connection_id, session)
                )
            continue
        idle_since, activity = session.idle_since(now), session.activity()
        usual_ms = HALTED_EVICTABLE_AFTER_MS if activity is Activity.HALTED else EVICTABLE_AFTER_MS
        if not session.is_closing and idle_since < now - min(usual_ms, pressure_ms):
            rank = EVICTION_ORDER[activity]
            candidates.append(EvictionCandidate(rank, idle_since, session.connection_id, session))
    return [candidate.session for candidate in heapq.nsmallest(count, candidates)]
