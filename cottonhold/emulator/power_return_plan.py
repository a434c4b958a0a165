"""When engines and instances restart after a power loss, and overload of cold engines. Times are in ms."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

COLD_FACTOR = 3.0  # factor by which an engine is slower at its start; decreases linearly to 1
OUTAGE_MS = 1000.0  # duration of a second power loss
# A cold engine fails if the work sent to it in a window exceeds this multiple of what it can do in that time.
FAILURE_FACTOR, FAILURE_WINDOW_MS = 2.0, 1500.0


@dataclass(slots=True, frozen=True)
class PowerReturnPlan:
    """When engines and instances restart after power returns.

    Attributes:
        engine_delay_ms: Time until an engine restarts, by its number, in ms.
        instance_delay_ms: Time until an instance restarts, by its number, in ms.
        warmup_ms: Time from an engine's start until it is warm, in ms.
        second_loss_at: Time of a second power loss; power returns OUTAGE_MS later. None for no second loss.
    """

    engine_delay_ms: Callable[[int], float] = lambda engine: 0.0
    instance_delay_ms: Callable[[int], float] = lambda instance: 500.0 * instance
    warmup_ms: float = 3000.0
    second_loss_at: float | None = None

    def speed(self, age_ms: float) -> float:
        """Return the speed of an engine of an age in ms, as a share of its speed when warm."""
        if age_ms < 0:
            return 0.0
        return 1 / (1 + (COLD_FACTOR - 1) * max(0.0, 1 - age_ms / self.warmup_ms))

    def power_returned_at(self, now: float) -> float:
        """Return when power last returned."""
        if self.second_loss_at is None or now < self.second_loss_at:
            return 0.0
        return self.second_loss_at + OUTAGE_MS


@dataclass(slots=True)
class EngineOverload:
    """The work that was sent to an engine while it was cold.

    Attributes:
        recent: Time and work of each request within the current window, in ms.
        failures: How often the engine would have failed.
        max_load: Largest work in a window, as a multiple of what the engine can do in that time.
    """

    recent: list[tuple[float, float]] = field(default_factory=list)
    failures: int = 0
    max_load: float = 0.0

    def add(self, now: float, work_ms: float, speed: float) -> None:
        """Record work that is sent to the cold engine."""
        self.recent = [(t, w) for t, w in self.recent if t > now - FAILURE_WINDOW_MS] + [(now, work_ms)]
        total_ms = sum(work for _, work in self.recent)
        self.max_load = max(self.max_load, total_ms / FAILURE_WINDOW_MS / speed)
        if total_ms > FAILURE_FACTOR * FAILURE_WINDOW_MS / COLD_FACTOR:
            self.failures += 1
            self.recent.clear()
