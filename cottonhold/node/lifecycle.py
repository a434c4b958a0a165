"""Whether this process serves, drains or shuts down: one small state that all ask and change here alone.

Knows no clock and no socket. Times are milliseconds on the caller's clock; infinity where not begun.

| phase | from | queries accepted | new clients | idle connections closed |
| --- | --- | --- | --- | --- |
| draining | drain | 1.5 s | yes | from 0.5 s on |
| shutting down | SIGTERM | long ones 0.4 s, others to the end | 0.8 s | from 0.6 s on |
"""

from __future__ import annotations

import math
from enum import Enum

# A load balancer that asks every 0.1 s still sends new connections for 0.2 s after a failed health check.
DRAIN_IDLE_CLOSE_MS = 500.0  # into a drain, from which on idle connections are closed
DRAIN_ACCEPT_QUERIES_MS = 1500.0  # into a drain: 4 s into it no request may be open that is younger than 2 s
# After SIGTERM new connections arrive for 0.4 s, and requests on open ones for 0.2 s more.
SHUTDOWN_ACCEPT_LONG_MS = (
    400.0  # to which queries that may outlast SIGKILL are accepted, with a busy loop's lag
)
SHUTDOWN_IDLE_CLOSE_MS = 600.0  # from which on idle connections are closed
SHUTDOWN_ACCEPT_CLIENTS_MS = 800.0  # to which new clients are accepted
# SIGKILL comes no sooner after SIGTERM than the longest deadline (3 s at most) plus 0.7 s.
MAX_KILL_DEADLINE_MS, KILL_GRACE_MS = 3000.0, 700.0
KILL_MARGIN_MS = 200.0  # before SIGKILL the last request has its response: a busy loop is late by this
CLOSE_MARGIN_MS = 100.0  # and before that the last connection is closed, so that its client sees it


class Phase(Enum):
    """What this process is about; operators and clients see the values."""

    SERVING = "serving"
    DRAINING = "draining"
    SHUTTING_DOWN = "leaving"


class Lifecycle:
    """The one owner of serving, draining and shutting down."""

    def __init__(self) -> None:
        self.draining_since = self.shutdown_since = self.kill_deadline = math.inf

    def phase(self) -> Phase:
        """The phase; a shutdown hides a drain."""
        if self.shutdown_since < math.inf:
            return Phase.SHUTTING_DOWN
        return Phase.SERVING if self.draining_since == math.inf else Phase.DRAINING

    def drain(self, now: float) -> bool:
        """Begin a drain, in which queries are accepted for a while; whether that changed anything."""
        changed = self.draining_since == math.inf
        self.draining_since = min(self.draining_since, now)
        return changed

    def restore(self) -> bool:
        """End a drain; false while shutting down, which can't be undone."""
        if self.shutdown_since < math.inf:
            return False
        self.draining_since = math.inf
        return True

    def begin_shutdown(self, now: float, max_deadline_ms: float) -> None:
        """Shut down. `max_deadline_ms` is the longest deadline in force, and bounds when SIGKILL may come.

        A drain holds on: its clients have gone elsewhere. A further order, or other settings, change nothing.
        """
        if self.shutdown_since == math.inf:
            self.shutdown_since = now
            self.kill_deadline = now + min(max_deadline_ms, MAX_KILL_DEADLINE_MS) + KILL_GRACE_MS

    def answer_deadline(self) -> float:
        """By when all accepted requests have their responses."""
        return self.kill_deadline - KILL_MARGIN_MS

    def close_deadline(self) -> float:
        """From when on every connection without an open request is closed, however recently active."""
        return self.answer_deadline() - CLOSE_MARGIN_MS

    def accept_deadline(self) -> float:
        """To when new clients are accepted."""
        return min(self.shutdown_since + SHUTDOWN_ACCEPT_CLIENTS_MS, self.close_deadline())

    def is_ready(self) -> bool:
        """Whether health checks succeed. They do while shutting down: a newer process may serve already."""
        return self.draining_since == math.inf

    def accepts_query(self, now: float, deadline: float) -> bool:
        """Whether a query that arrives now and has until `deadline` is accepted.

        Queries that may outlast SIGKILL are accepted for SHUTDOWN_ACCEPT_LONG_MS only: those that arrive
        later than 0.7 s after SIGTERM have to be answered before it.
        """
        if now >= self.shutdown_since + SHUTDOWN_ACCEPT_LONG_MS and deadline > self.kill_deadline:
            return False
        return now < self.draining_since + DRAIN_ACCEPT_QUERIES_MS

    def closes_idle(self, now: float) -> bool:
        """Whether connections without an open request are closed."""
        settled_at = min(self.shutdown_since + SHUTDOWN_IDLE_CLOSE_MS, self.close_deadline())
        return now >= min(self.draining_since + DRAIN_IDLE_CLOSE_MS, settled_at)

    def closes_all(self, now: float) -> bool:
        """Whether every connection without an open request is closed, however recently active."""
        return now >= self.close_deadline()

    def closes_answered(self, now: float) -> bool:
        """Whether a connection is closed right after its response, where no request is on its way.

        Clients that are never idle would keep their connections for good.
        """
        return now >= min(self.draining_since, self.shutdown_since)
