"""Credits that limit an instance's sends to its engine bounds, as in the scheduler. Times are in ms."""

from __future__ import annotations

from dataclasses import dataclass, field

from cottonhold.fleet.engine_bounds import EngineBounds

MAX_CREDIT_MS = 250.0  # longest time for which unused credits of a bound accumulate
ROTATION_INTERVAL_MS = 2000.0
GOLDEN_RATIO = 0.6180339887  # its multiples modulo 1 spread instances evenly
PLASTIC_RATIO = 0.7548  # its multiples modulo 1 spread engines evenly
MIN_NEEDED_SHARE = 1e-3


@dataclass(slots=True)
class CreditAccount:
    """The unused credits of one instance under its bounds.

    Attributes:
        number: Number of the instance.
        is_warming_up: Whether the engines are under slow start.
        bounds: Work rate permitted at each engine, and when this expires.
        credits: By engine: unused work in ms, and the time of its last update.
    """

    number: int
    is_warming_up: bool = False
    bounds: EngineBounds = field(default_factory=lambda: EngineBounds({}, 0.0))
    credits: dict[str, tuple[float, float]] = field(default_factory=dict)

    def allows(self, now: float, engine: str, engine_number: int, work_ms: float) -> bool:
        """Return whether a query of this work may be sent to an engine now."""
        bound = self.bounds.work_rates.get(engine)
        if bound is None:
            return True
        if not bound or now >= self.bounds.expires_at:
            return False
        saved, counted_at = self.credits.get(engine, (0.0, now))
        saved = min(max(bound * MAX_CREDIT_MS, work_ms), saved + bound * (now - counted_at))
        self.credits[engine] = saved, now
        # Of many instances with less credit than a query needs, only a few may start one at the same time.
        rotation = 0 if self.is_warming_up else now // ROTATION_INTERVAL_MS
        position = (engine_number * PLASTIC_RATIO + (self.number + rotation) * GOLDEN_RATIO) % 1
        return saved >= max(work_ms * position, MIN_NEEDED_SHARE)

    def set_bounds(self, now: float, bounds: EngineBounds) -> None:
        """Apply new bounds; for warming engines, first add the credits due under the former ones."""
        former, self.bounds = self.bounds, bounds
        for engine, rate in former.work_rates.items() if self.is_warming_up else ():
            saved, counted_at = self.credits.get(engine, (0.0, now))
            saved += rate * max(0.0, min(now, former.expires_at) - counted_at)
            self.credits[engine] = saved, now

    def spend(self, engine: str, work_ms: float) -> None:
        """Subtract the work of a query that was sent to an engine."""
        if engine in self.bounds.work_rates:
            saved, counted_at = self.credits[engine]
            self.credits[engine] = saved - work_ms, counted_at
