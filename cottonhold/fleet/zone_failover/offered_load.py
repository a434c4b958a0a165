"""The work that clients offer to this instance, forgotten within about a second. Pure."""

from __future__ import annotations

import math

MEMORY_MS = 1000.0  # the time constant of forgetting


class OfferedLoad:
    """Feed it the work of each request."""

    def __init__(self, now: float) -> None:
        self._work_ms = 0.0
        self._updated_at = now

    def add(self, now: float, work_ms: float) -> None:
        """A request with so much expected work has arrived."""
        self._decay(now)
        self._work_ms += work_ms

    def cores(self, now: float) -> float:
        """Work offered, in cores."""
        self._decay(now)
        return self._work_ms / MEMORY_MS

    def centicores(self) -> int:
        """Work offered as of the last call of another method, in hundredths of a core."""
        return round(self._work_ms / 10)

    def _decay(self, now: float) -> None:
        self._work_ms *= math.exp((self._updated_at - now) / MEMORY_MS)
        self._updated_at = now
