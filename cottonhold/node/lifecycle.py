"""The lifecycle phase of this process: serving, draining or shutting down.

All parts of the process query and change the phase here only. Times are ms of the caller's clock; infinity
stands for a phase that has not begun.

| phase | begins with | queries accepted | new clients accepted | idle connections closed |
| --- | --- | --- | --- | --- |
| draining | drain | 1.5 s | yes | from 0.5 s on |
| shutting down | SIGTERM | long ones 0.4 s, others to the end | 0.8 s | from 0.6 s on |
"""

from __future__ import annotations

import math
from enum import Enum

# A load balancer that checks every 0.1 s still opens connections for 0.2 s after a failed health check.
DRAIN_IDLE_CLOSE_MS = 500.0  # time after the start of a drain from which idle connections are closed
# Time after the start of a drain during which queries are accepted. 4 s after the start of a drain, no open
# request may be younger than 2 s.
DRAIN_ACCEPT_QUERIES_MS = 1500.0
# Time after SIGTERM during which queries are accepted that may not end before SIGKILL; includes the lag of a
# busy event loop. New connections arrive for 0.4 s after SIGTERM, and requests on open ones for 0.2 s more.
SHUTDOWN_ACCEPT_LONG_MS = 400.0
SHUTDOWN_IDLE_CLOSE_MS = 600.0  # time after SIGTERM from which idle connections are closed
SHUTDOWN_ACCEPT_CLIENTS_MS = 800.0  # shortest time after SIGTERM for which new clients are accepted
# SIGKILL follows SIGTERM after the longest deadline (3 s at most) plus 0.7 s, or later.
MAX_KILL_DEADLINE_MS, KILL_GRACE_MS = 3000.0, 700.0
KILL_MARGIN_MS = 200.0  # time between the last response and SIGKILL; covers a busy loop's lag
CLOSE_MARGIN_MS = 100.0  # time between closing the last connections and the last response's deadline


class Phase(Enum):
    """The phase of this process; the values are shown to operators and clients."""

    SERVING = "serving"
    DRAINING = "draining"
    SHUTTING_DOWN = "leaving"


class Lifecycle:
    """Owns the phase of this process, and derives from it what is accepted and closed."""

    def __init__(self) -> None:
        self.draining_since = self.shutdown_since = self.kill_deadline = math.inf

    def phase(self) -> Phase:
        """Return the phase; a shutdown takes precedence over a drain."""
        if self.shutdown_since < math.inf:
            return Phase.SHUTTING_DOWN
        return Phase.SERVING if self.draining_since == math.inf else Phase.DRAINING

    def drain(self, now: float) -> bool:
        """Begin a drain, in which queries are accepted for a limited time; return False if it had begun."""
        changed = self.draining_since == math.inf
        self.draining_since = min(self.draining_since, now)
        return changed

    def restore(self) -> bool:
        """End a drain; return False during a shutdown, which can't be undone."""
        if self.shutdown_since < math.inf:
            return False
        self.draining_since = math.inf
        return True

    def begin_shutdown(self, now: float, max_deadline_ms: float) -> None:
        """Begin a shutdown; a later call changes nothing.

        A drain continues, since its clients already use other dispatchers.

        Args:
            now: The time in ms of the clock.
            max_deadline_ms: The longest deadline in force, in ms, which determines when SIGKILL may come.
        """
        if self.shutdown_since == math.inf:
            self.shutdown_since = now
            self.kill_deadline = now + min(max_deadline_ms, MAX_KILL_DEADLINE_MS) + KILL_GRACE_MS

    def answer_deadline(self) -> float:
        """Return the time by which all accepted requests have their responses."""
        return self.kill_deadline - KILL_MARGIN_MS

    def close_deadline(self) -> float:
        """Return the time from which all connections without an open request are closed."""
        return self.answer_deadline() - CLOSE_MARGIN_MS

    def accept_deadline(self) -> float:
        """Return the earliest time at which the listener may stop accepting new clients."""
        return min(self.shutdown_since + SHUTDOWN_ACCEPT_CLIENTS_MS, self.close_deadline())

    def is_ready(self) -> bool:
        """Return whether health checks succeed.

        This concerns pings at the clients' address. They fail in a drain, but not because of a shutdown,
        since a newer process may serve already. The operators' /healthcheck fails in both.
        """
        return self.draining_since == math.inf

    def accepts_query(self, now: float, deadline: float) -> bool:
        """Return whether a query that arrives now, with the given deadline, is accepted.

        Once SHUTDOWN_ACCEPT_LONG_MS have passed since SIGTERM, a query is accepted only if its deadline is
        not after SIGKILL. If no deadline exceeds 3 s, this rejects only queries that arrive later than 0.7 s
        after SIGTERM.
        """
        if now >= self.shutdown_since + SHUTDOWN_ACCEPT_LONG_MS and deadline > self.kill_deadline:
            return False
        return now < self.draining_since + DRAIN_ACCEPT_QUERIES_MS

    def closes_idle(self, now: float) -> bool:
        """Return whether idle connections without an open request are closed."""
        settled_at = min(self.shutdown_since + SHUTDOWN_IDLE_CLOSE_MS, self.close_deadline())
        return now >= min(self.draining_since + DRAIN_IDLE_CLOSE_MS, settled_at)

    def closes_all(self, now: float) -> bool:
        """Return whether all connections without an open request are closed, even recently active ones."""
        return now >= self.close_deadline()

    def closes_answered(self, now: float) -> bool:
        """Return whether a connection is closed right after its response if no further request has arrived.

        Otherwise, clients that are never idle would keep their connections open indefinitely.
        """
        return now >= min(self.draining_since, self.shutdown_since)
