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
    LEAVING = "leaving"


class Lifecycle:
    """The one owner of serving, draining and leaving."""

    def __init__(self) -> None:
        self.drained_at = self.leaving_at = self.killed_at = math.inf

    def phase(self) -> Phase:
        """The word for it."""
        if self.leaving_at < math.inf:
            return Phase.LEAVING
        return Phase.SERVING if self.drained_at == math.inf else Phase.DRAINING

    # --- changes ---

    def drain(self, now: float) -> bool:
        """Take no more work; whether that changed anything."""
        changed = self.drained_at == math.inf
        self.drained_at = min(self.drained_at, now)
        return changed

    def restore(self) -> bool:
        """Work again. A process that leaves does not come back: false."""
        if self.leaving_at < math.inf:
            return False
        self.drained_at = math.inf
        return True

    def leave(self, now: float, longest: float) -> None:
        """End. A drain holds on: its clients have gone elsewhere. `longest`: the longest deadline in force; a
        further order, or other settings, change nothing any more.

        Danger: with a fixed time for SIGKILL, and deadlines of less than 3 s, it came while requests still
        waited for their answers.
        """
        if self.leaving_at == math.inf:
            self.leaving_at = now
            self.killed_at = now + min(longest, MOST_DEADLINE_MS) + KILL_GRACE_MS

    # --- questions ---

    def ends_at(self) -> float:
        """By when all that was taken has its answer."""
        return self.killed_at - KILL_MARGIN_MS

    def closes_at(self) -> float:
        """From when on every connection without an open request is closed, however lately it was heard."""
        return self.ends_at() - CLOSING_MS

    def door_at(self) -> float:
        """To when new clients are taken in."""
        return min(self.leaving_at + LEAVE_MS, self.closes_at())

    def ready(self) -> bool:
        """Whether to say yes to the front. One that leaves says yes: a newer process may serve beside it."""
        return self.drained_at == math.inf

    def takes(self, now: float, due: float) -> bool:
        """Whether a query that comes now and is due then is taken.

        Danger: SIGKILL found one unanswered that came 0.78 s after SIGTERM and could wait for 6 s. Only those
        that came within 0.7 s may be left so.
        """
        if now >= self.leaving_at + LONG_MS and due > self.killed_at:
            return False
        return now < self.drained_at + TAKE_MS

    def ends_idle(self, now: float) -> bool:
        """Whether connections without an open request are closed."""
        settled_at = min(self.leaving_at + SETTLED_MS, self.closes_at())
        return now >= min(self.drained_at + IDLE_MS, settled_at)

    def ends_all(self, now: float) -> bool:
        """Whether every connection without an open request is closed, however lately it was heard."""
        return now >= self.closes_at()

    def ends_answered(self, now: float) -> bool:
        """Whether a connection is closed right behind its answer.

        Danger: clients that never idle kept their connections for good. Behind an answer no request is on its
        way, so that none meets the close.
        """
        return now >= min(self.drained_at, self.leaving_at)
