"""All client sessions of this process: their ids, their limit, and who is evicted near it."""

from __future__ import annotations

import heapq
from collections.abc import Iterable
from typing import NamedTuple

from cottonhold.frontend.connection_ids import ConnectionIdRange
from cottonhold.frontend.mysql_session import Activity, Session
from cottonhold.frontend.query_service import QueryService, ServingState
from cottonhold.observe.counters import Counters
from cottonhold.transport.clock import Clock

CHECK_INTERVAL_MS = 200.0
HEADROOM_FRACTION = 8  # one part in this many of all places is kept free for those that arrive
EVICTABLE_AFTER_MS = 50.0  # near the limit, a connection silent for this long may be evicted
HALTED_EVICTABLE_AFTER_MS = 400.0  # and one halted in mid-packet: slow clients still send now and then
EVICTION_ORDER = {Activity.SILENT: 0, Activity.IDLE: 1, Activity.HALTED: 2}
ALL_IDS = ConnectionIdRange()


class EvictionCandidate(NamedTuple):
    """A session that may be evicted; the smallest goes first. Ids are unique, so sessions never compare."""

    rank: int
    idle_since: float
    connection_id: int
    session: Session


def eviction_order(sessions: Iterable[Session], now: float, count: int) -> list[Session]:
    """At most `count` sessions to evict, in order: those that sent nothing, idle ones, halted ones, and the
    longest idle of each first. One that is owed a response is never among them."""
    candidates = []
    for session in sessions:
        idle_since, activity = session.idle_since(now), session.activity()
        after_ms = HALTED_EVICTABLE_AFTER_MS if activity is Activity.HALTED else EVICTABLE_AFTER_MS
        if not session.is_closing and idle_since < now - after_ms:
            rank = EVICTION_ORDER[activity]
            candidates.append(EvictionCandidate(rank, idle_since, session.connection_id, session))
    return [candidate.session for candidate in heapq.nsmallest(count, candidates)]


class ClientSessions:
    """The sessions by connection id, and what they share."""

    def __init__(
        self,
        service: QueryService,
        clock: Clock,
        counters: Counters,
        lifecycle: ServingState,
        max_sessions: int,
        connection_ids: ConnectionIdRange = ALL_IDS,
    ) -> None:
        self.service, self.clock, self.counters, self.lifecycle = service, clock, counters, lifecycle
        self.max_sessions, self.connection_ids = max_sessions, connection_ids
        self.sessions: dict[int, Session] = {}
        self.last_id = connection_ids.base
        self.evicted_count = 0  # evicted sessions whose descriptors are not free yet
        clock.call_in(CHECK_INTERVAL_MS, self._check_periodically)

    def _check_periodically(self) -> None:
        """One timer for all sessions costs less than one for each."""
        self.clock.call_in(CHECK_INTERVAL_MS, self._check_periodically)
        self.check_timeouts()

    def check_timeouts(self) -> None:
        """Close sessions that have timed out; a fault at one leaves the others checked."""
        now = self.clock.now()
        for session in list(self.sessions.values()):
            try:
                session.check_timeouts(now)
            except Exception as error:
                self.counters.add("check_faults")
                self.service.log(f"client: {type(error).__name__}: {error}")
                session.evict()

    def has_unfinished(self) -> bool:
        """Whether the program may not end yet: someone has no response, or may still send a request."""
        return any(session.is_unfinished() for session in self.sessions.values())

    def has_capacity(self) -> bool:
        """Whether a further client may be accepted; near the limit, makes room for the next ones.

        Silent and idle connections must not hold all descriptors: clients would wait in the listener's queue,
        and engines could not be connected to.
        """
        headroom = max(self.max_sessions // HEADROOM_FRACTION, 1)
        if len(self.sessions) - self.evicted_count > self.max_sessions - headroom:
            self._evict(headroom)
        return len(self.sessions) < self.max_sessions

    def is_evicting(self) -> bool:
        """Whether evicted sessions are about to free their places."""
        return self.evicted_count > 0

    def _evict(self, count: int) -> None:
        for session in eviction_order(self.sessions.values(), self.clock.now(), count):
            activity = session.activity()
            if session.evict():
                self.counters.add(f"clients_pushed_out_{activity.value}")
                self.evicted_count += 1

    def open(self) -> Session:
        """A session for a new connection."""
        self.last_id = self.connection_ids.next_id(self.last_id)
        while self.last_id in self.sessions:
            self.last_id = self.connection_ids.next_id(self.last_id)
        session = self.sessions[self.last_id] = Session(self, self.last_id)
        return session

    def find(self, connection_id: int) -> Session | None:
        """The session with an id."""
        return self.sessions.get(connection_id)

    def on_session_closed(self, session: Session) -> None:
        """A session's connection has ended."""
        self.sessions.pop(session.connection_id, None)
        self.evicted_count -= session.was_evicted
