"""Whether this process serves, drains or leaves: one small state that all ask and change here alone.

Knows no clock and no socket. Times are milliseconds on the caller's clock.
"""

from __future__ import annotations

import math
from enum import Enum

# A front that asks every 0.1 s hears the no and still sends new connections for 0.2 s.
IDLE_MS = 500.0  # into a drain, from which on idle connections are closed
TAKE_MS = 1500.0  # into a drain, to which queries are taken: at 4 s none younger than 2 s may be held
# After SIGTERM new connections come for 0.4 s, and requests on open ones for 0.2 s more.
LONG_MS = 400.0  # into leaving, to which long queries are taken: 0.7 s, less what a busy loop is late by
SETTLED_MS = 600.0  # into leaving, from which on idle connections are closed
LEAVE_MS = 800.0  # into leaving, to which new clients are taken in
# SIGKILL comes no sooner than the longest deadline, or 3 s where that is longer, and 0.7 s after SIGTERM.
MOST_DEADLINE_MS, KILL_GRACE_MS = 3000.0, 700.0
KILL_MARGIN_MS = 200.0  # so long before SIGKILL the last request has its answer: a busy loop is late by this
CLOSING_MS = 100.0  # and so long before that the last connection is closed, so that its client sees it


class Phase(Enum):
    """What this process is about, as operators see it."""

    SERVING = "serving"
    DRAINING = "draining"
    SHUTTING_DOWN = "leaving"


class Lifecycle:
    """The one owner of serving, draining and leaving."""

    def __init__(self) -> None:
        self.draining_since = self.shutdown_since = self.kill_deadline = math.inf

    def phase(self) -> Phase:
        """The word for it."""
        if self.shutdown_since < math.inf:
            return Phase.SHUTTING_DOWN
        return Phase.SERVING if self.draining_since == math.inf else Phase.DRAINING

    # --- changes ---

    def drain(self, now: float) -> bool:
        """Take no more work; whether that changed anything."""
        changed = self.draining_since == math.inf
        self.draining_since = min(self.draining_since, now)
        return changed

    def restore(self) -> bool:
        """Work again. A process that leaves does not come back: false."""
        if self.shutdown_since < math.inf:
            return False
        self.draining_since = math.inf
        return True

    def begin_shutdown(self, now: float, longest: float) -> None:
        """End. A drain holds on: its clients have gone elsewhere. `longest`: the longest deadline in force; a
        further order, or other settings, change nothing any more.

        Danger: with a fixed time for SIGKILL, and deadlines of less than 3 s, it came while requests still
        waited for their answers.
        """
        if self.shutdown_since == math.inf:
            self.shutdown_since = now
            self.kill_deadline = now + min(longest, MOST_DEADLINE_MS) + KILL_GRACE_MS

    # --- questions ---

    def answer_deadline(self) -> float:
        """By when all that was taken has its answer."""
        return self.kill_deadline - KILL_MARGIN_MS

    def close_deadline(self) -> float:
        """From when on every connection without an open request is closed, however lately it was heard."""
        return self.answer_deadline() - CLOSING_MS

    def accept_deadline(self) -> float:
        """To when new clients are taken in."""
        return min(self.shutdown_since + LEAVE_MS, self.close_deadline())

    def is_ready(self) -> bool:
        """Whether to say yes to the front. One that leaves says yes: a newer process may serve beside it."""
        return self.draining_since == math.inf

    def accepts_query(self, now: float, due: float) -> bool:
        """Whether a query that comes now and is due then is taken.

        Danger: SIGKILL found one unanswered that came 0.78 s after SIGTERM and could wait for 6 s. Only those
        that came within 0.7 s may be left so.
        """
        if now >= self.shutdown_since + LONG_MS and due > self.kill_deadline:
            return False
        return now < self.draining_since + TAKE_MS

    def closes_idle(self, now: float) -> bool:
        """Whether connections without an open request are closed."""
        settled_at = min(self.shutdown_since + SETTLED_MS, self.close_deadline())
        return now >= min(self.draining_since + IDLE_MS, settled_at)

    def closes_all(self, now: float) -> bool:
        """Whether every connection without an open request is closed, however lately it was heard."""
        return now >= self.close_deadline()

    def closes_answered(self, now: float) -> bool:
        """Whether a connection is closed right behind its answer.

        Danger: clients that never idle kept their connections for good. Behind an answer no request is on its
        way, so that none meets the close.
        """
        return now >= min(self.draining_since, self.shutdown_since)
