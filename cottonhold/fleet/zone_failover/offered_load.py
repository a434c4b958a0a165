"""Measure the work that clients offer to this instance, with exponential decay; does no I/O."""

from __future__ import annotations

import math

MEMORY_MS = 1000.0  # time constant of the exponential decay


class OfferedLoad:
    """The offered work of this instance. Call `add` for each request, then `cores` for the present load."""

    def __init__(self, now: float) -> None:
        self._work_ms = 0.0
        self._updated_at = now

    def add(self, now: float, work_ms: float) -> None:
        """Add the expected work of a request that arrived."""
        self._decay(now)
        self._work_ms += work_ms

    def cores(self, now: float) -> float:
        """Return the offered work in cores."""
        self._decay(now)
        return self._work_ms / MEMORY_MS

    def centicores(self) -> int:
        """Return the offered work at the time of the last `add` or `cores`, in hundredths of a core."""
        return round(self._work_ms / 10)

    def _decay(self, now: float) -> None:
        self._work_ms *= math.exp((self._updated_at - now) / MEMORY_MS)
        self._updated_at = now
