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
KILLED_MS = 3500.0  # into leaving, by which the last of them has to end: SIGKILL may come after 3.7 s
LEAVE_MS = 800.0  # into leaving, to which new clients are taken in


class Phase(Enum):
    """What this process is about, as operators see it."""

    SERVING = "serving"
    DRAINING = "draining"
    LEAVING = "leaving"


class Life:
    """The one owner of serving, draining and leaving."""

    def __init__(self) -> None:
        self.drained_at = self.leaving_at = math.inf

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

    def leave(self, now: float) -> None:
        """End. A drain holds on: its clients have gone elsewhere."""
        self.leaving_at = min(self.leaving_at, now)

    # --- questions ---

    def ready(self) -> bool:
        """Whether to say yes to the front. One that leaves says yes: a newer process may serve beside it."""
        return self.drained_at == math.inf

    def takes(self, now: float, due: float) -> bool:
        """Whether a query that comes now and is due then is taken.

        Danger: SIGKILL found one unanswered that came 0.78 s after SIGTERM and could wait for 6 s. Only those
        that came within 0.7 s may be left so.
        """
        if now >= self.leaving_at + LONG_MS and due > self.leaving_at + KILLED_MS:
            return False
        return now < self.drained_at + TAKE_MS

    def ends_idle(self, now: float) -> bool:
        """Whether connections without an open request are closed."""
        return now >= min(self.drained_at + IDLE_MS, self.leaving_at + SETTLED_MS)

    def ends_answered(self, now: float) -> bool:
        """Whether a connection is closed right behind its answer.

        Danger: clients that never idle kept their connections for good. Behind an answer no request is on its
        way, so that none meets the close.
        """
        return now >= min(self.drained_at, self.leaving_at)
