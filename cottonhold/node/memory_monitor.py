"""Watches the memory of this process against its limit, for the operators' log and the counters."""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum

from cottonhold.config.relay import BYTES_PER_MB
from cottonhold.observe.counters import Counters
from cottonhold.observe.process_memory import BYTES_PER_KB, peak_resident_bytes, resident_bytes
from cottonhold.transport.clock import Clock

CHECK_INTERVAL_MS = 200.0
HIGH_FRACTION = 0.9  # share of the limit from which the memory counts as high


class MemoryLevel(Enum):
    """How much of the limit is in use; the values are part of the log."""

    NORMAL = "normal"
    HIGH = "high"
    OVER = "over"


def memory_level(resident: int, limit: int) -> MemoryLevel:
    """Return the level of a use, both in bytes."""
    if resident > limit:
        return MemoryLevel.OVER
    return MemoryLevel.HIGH if resident > limit * HIGH_FRACTION else MemoryLevel.NORMAL


class MemoryMonitor:
    """Samples the resident memory, and logs each change of its level.

    Args:
        limit_bytes: The limit of this process's memory; None without one, which disables the monitor.
        clock: This process's clock.
        counters: The counters of this process.
        log_event: Logs an event with its fields.
        describe_use: Returns further fields for the log: what is held for whom.
    """

    def __init__(
        self,
        limit_bytes: int | None,
        clock: Clock,
        counters: Counters,
        log_event: Callable[..., None],
        describe_use: Callable[[], dict[str, object]],
    ) -> None:
        self.limit_bytes, self.clock, self.counters = limit_bytes, clock, counters
        self.log_event, self.describe_use = log_event, describe_use
        self.level = MemoryLevel.NORMAL

    def start(self) -> None:
        """Begin to sample, if there is a limit."""
        if self.limit_bytes is not None:
            self._check()

    def _check(self) -> None:
        self.clock.call_in(CHECK_INTERVAL_MS, self._check)
        self.on_sample(resident_bytes())

    def on_sample(self, resident: int) -> None:
        """Log the level if this sample, in bytes, changes it."""
        if self.limit_bytes is None:
            return
        level = memory_level(resident, self.limit_bytes)
        if level is self.level:
            return
        self.level = level
        self.counters.add(f"memory_{level.value}")
        self.log_event(
            "memory_level_changed",
            level=level.value,
            resident_mb=round(resident / BYTES_PER_MB, 1),
            limit_mb=round(self.limit_bytes / BYTES_PER_MB, 1),
            **self.describe_use(),
        )

    def publish(self) -> None:
        """Write the present use and the largest one so far into the counters, in KB."""
        resident = resident_bytes()
        # The system rounds the two figures in different ways.
        peak = max(peak_resident_bytes(), resident)
        self.counters.set("memory_resident_kb", resident // BYTES_PER_KB)
        self.counters.set("memory_peak_kb", peak // BYTES_PER_KB)
