"""When what comes back after a power loss, and what an engine bears while it is cold. Times are ms."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

COLD_FACTOR = 3.0  # how many times slower an engine is at its start, then evenly faster
OUTAGE_MS = 1000.0  # of a second power loss
# A cold engine fails if it gets so many times what it can do within a window.
FAILURE_FACTOR, FAILURE_WINDOW_MS = 2.0, 1500.0


@dataclass(slots=True, frozen=True)
class PowerReturnPlan:
    """When what is back, in ms.

    engine_delay_ms: by engine number; instance_delay_ms: by instance. warmup_ms: until an engine is warm.
    second_loss_at: power goes again at that time, and returns a second later in the same order.
    """

    engine_delay_ms: Callable[[int], float] = lambda engine: 0.0
    instance_delay_ms: Callable[[int], float] = lambda instance: 500.0 * instance
    warmup_ms: float = 3000.0
    second_loss_at: float | None = None

    def speed(self, age_ms: float) -> float:
        """What an engine of that age does, as a part of what it does when warm."""
        if age_ms < 0:
            return 0.0
        return 1 / (1 + (COLD_FACTOR - 1) * max(0.0, 1 - age_ms / self.warmup_ms))

    def power_returned_at(self, now: float) -> float:
        """When power last came back."""
        if self.second_loss_at is None or now < self.second_loss_at:
            return 0.0
        return self.second_loss_at + OUTAGE_MS


@dataclass(slots=True)
class EngineOverload:
    """What an engine was sent while cold.

    recent: time and work of what it was sent within the window. failures: how often it would have failed.
    max_load: the greatest work within a window as a multiple of what it does in it.
    """

    recent: list[tuple[float, float]] = field(default_factory=list)
    failures: int = 0
    max_load: float = 0.0

    def add(self, now: float, work_ms: float, speed: float) -> None:
        """Count work that is sent to the cold engine."""
        self.recent = [(t, w) for t, w in self.recent if t > now - FAILURE_WINDOW_MS] + [(now, work_ms)]
        total_ms = sum(work for _, work in self.recent)
        self.max_load = max(self.max_load, total_ms / FAILURE_WINDOW_MS / speed)
        if total_ms > FAILURE_FACTOR * FAILURE_WINDOW_MS / COLD_FACTOR:
            self.failures += 1
            self.recent.clear()
