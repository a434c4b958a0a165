"""All client sessions of this process: connection ids, the session limit, and eviction near that limit."""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import Protocol

from cottonhold.frontend.connection_ids import ConnectionIdRange
from cottonhold.frontend.eviction import QueuePressure, eviction_order, reclaim_order, unread_order
from cottonhold.frontend.mysql_session import Session
from cottonhold.frontend.query_service import QueryService, ServingState
from cottonhold.observe.counters import Counters
from cottonhold.scheduler.byte_pool import BytePool
from cottonhold.scheduler.memory_quotas import UNLIMITED_BYTES
from cottonhold.transport.clock import Clock

CHECK_INTERVAL_MS = 200.0
MAX_CAPACITY_PAUSE_MS = 20.0  # longest pause between checks for capacity, if nobody may be evicted yet
PAUSE_FRACTION = 1 / 3  # the same as a share of the silence after which sessions may be evicted
EVICTION_PAUSE_MS = 1.0  # the same while descriptors of evicted connections are about to be released
HEADROOM_FRACTION = 8  # 1/8 of the maximum number of sessions is kept free for new connections
RECLAIM_INTERVAL_MS = 20.0  # shortest time between two searches for stalled clients
ALL_IDS = ConnectionIdRange()


class KillForwarder(Protocol):
    """Passes KILL on to other processes of this dispatcher."""

    def forward_kill(self, connection_id: int, only_query: bool, on_result: Callable[[bool], None]) -> bool:
        """Pass KILL on to the process that assigned an id; return False if there is no such process."""


class ClientSessions:
    """The client sessions by connection id, and the services that they share."""

    def __init__(
        self,
        service: QueryService,
        clock: Clock,
        counters: Counters,
        lifecycle: ServingState,
        max_sessions: int,
        connection_ids: ConnectionIdRange = ALL_IDS,
    ) -> None:
        """Start the periodic check of all sessions.

        Args:
            service: Runs the clients' queries.
            clock: Supplies time and timers.
            counters: Counts events of client connections.
            lifecycle: Decides whether queries are accepted and when connections are closed.
            max_sessions: Largest number of sessions that may exist at the same time.
            connection_ids: Range that the ids of new sessions come from.
        """
        self.service, self.clock, self.counters, self.lifecycle = service, clock, counters, lifecycle
        self.max_sessions, self.connection_ids = max_sessions, connection_ids
        self.client_memory, self.result_memory = BytePool(UNLIMITED_BYTES), service.result_memory
        self.reclaimed_at = -math.inf  # when memory was last taken back, in ms of the clock
        self.sessions: dict[int, Session] = {}
        self.last_id = connection_ids.base
        self.evicted_count = 0  # evicted sessions whose descriptors are still open
        self.pressure = QueuePressure()
        self.kill_forwarder: KillForwarder | None = None  # None if this process has no siblings
        clock.call_in(CHECK_INTERVAL_MS, self._check_periodically)

    def _check_periodically(self) -> None:
        """Check all sessions at a fixed interval; one timer costs less than one for each session."""
        self.clock.call_in(CHECK_INTERVAL_MS, self._check_periodically)
        self.check_timeouts()

    def check_timeouts(self) -> None:
        """Close sessions that have timed out; an exception in one session does not affect the others."""
        now = self.clock.now()
        for session in list(self.sessions.values()):
            try:
                session.check_timeouts(now)
            except Exception as error:
                self.counters.add("check_faults")
                self.service.log(f"client: {type(error).__name__}: {error}")
                session.evict()

    def has_unfinished(self) -> bool:
        """Return whether the process must keep running: a client may await a response or send a request."""
        return any(session.is_unfinished() for session in self.sessions.values())

    def has_capacity(self, count_queued: Callable[[], int] = lambda: 0) -> bool:
        """Return whether another client may be accepted; near the limit, first evict inactive sessions.

        If silent and idle connections held all descriptors, new clients would wait in the listener's queue,
        and no connection to an engine could be opened.

        Args:
            count_queued: Returns how many connections wait in the listener's queue.
        """
        if len(self.sessions) - self.evicted_count > self.max_sessions - self._headroom():
            self.evict_inactive(count_queued)
        return len(self.sessions) < self.max_sessions

    def _headroom(self) -> int:
        return max(self.max_sessions // HEADROOM_FRACTION, 1)

    def evict_inactive(self, count_queued: Callable[[], int]) -> None:
        """Evict some inactive sessions, or as many as connections wait in the listener's queue.

        Args:
            count_queued: Returns how many connections wait there.
        """
        queued = count_queued()
        self.pressure.on_queued(queued)
        self._evict(max(self._headroom(), queued))

    def reclaim_client_memory(self) -> None:
        """Discard incomplete packets of stalled clients, until half of the memory for packets is free."""
        now, pool = self.clock.now(), self.client_memory
        if now - self.reclaimed_at < RECLAIM_INTERVAL_MS:
            return
        self.reclaimed_at = now
        for session in reclaim_order(self.sessions.values(), now, pool.share()):
            if pool.used <= pool.capacity // 2:
                return
            if session.input.discard_partial():
                self.counters.add("client_packets_discarded")

    def on_result_buffered(self) -> None:
        """Close connections of clients that don't read, if results take too much memory."""
        pool = self.result_memory
        if pool.used <= pool.capacity:
            return
        for session in unread_order(self.sessions.values()):
            if pool.used <= pool.capacity:
                return
            if session.drop_unread():
                self.counters.add("clients_pushed_out_unread")

    def on_queue_empty(self) -> None:
        """Record that no connection waits in the listener's queue."""
        self.pressure.on_empty()

    def capacity_pause_ms(self) -> float:
        """Return when to check again whether there is capacity, in ms."""
        if self.evicted_count > 0:
            return EVICTION_PAUSE_MS
        evictable_after_ms = self.pressure.evictable_after_ms(self.max_sessions)
        return min(MAX_CAPACITY_PAUSE_MS, evictable_after_ms * PAUSE_FRACTION)

    def _evict(self, count: int) -> None:
        pressure_ms = self.pressure.evictable_after_ms(self.max_sessions)
        for session in eviction_order(self.sessions.values(), self.clock.now(), count, pressure_ms):
            activity = session.activity()
            if session.evict():
                self.counters.add(f"clients_pushed_out_{activity.value}")
                self.evicted_count += 1

    def open(self) -> Session:
        """Create the session of a new connection."""
        self.last_id = self.connection_ids.next_id(self.last_id)
        while self.last_id in self.sessions:
            self.last_id = self.connection_ids.next_id(self.last_id)
        session = self.sessions[self.last_id] = Session(self, self.last_id)
        return session

    def find(self, connection_id: int) -> Session | None:
        """Return the session with this connection id, or None."""
        return self.sessions.get(connection_id)

    def kill(self, connection_id: int, only_query: bool) -> bool:
        """Execute the KILL of another process's client; return whether the session exists."""
        session = self.find(connection_id)
        if session is not None:
            self.counters.add("kills")
            session.on_killed(only_query)
        return session is not None

    def forward_kill(self, connection_id: int, only_query: bool, on_result: Callable[[bool], None]) -> bool:
        """Pass KILL on to the process that assigned an id; return False if there is no such process."""
        forwarder = self.kill_forwarder
        return forwarder is not None and forwarder.forward_kill(connection_id, only_query, on_result)

    def on_session_closed(self, session: Session) -> None:
        """Remove a session whose connection has ended."""
        if self.sessions.pop(session.connection_id, None) is not None:
            self.evicted_count -= session.was_evicted
