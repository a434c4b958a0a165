"""Credits saved over time for sends within an instance's engine bounds, as the scheduler does it.

Times are ms.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from cottonhold.fleet.engine_bounds import EngineBounds

MAX_CREDIT_MS = 250.0  # of a bound that may be saved
ROTATION_INTERVAL_MS = 2000.0
GOLDEN_RATIO = 0.6180339887  # spreads instances evenly over (0, 1)
PLASTIC_RATIO = 0.7548  # and engines
MIN_NEEDED_SHARE = 1e-3


@dataclass(slots=True)
class CreditAccount:
    """The credits that one instance has saved under its bounds.

    credits: by engine, work in ms and when it was counted. number: of the instance. is_warming_up: the
    engines are under slow start.
    """

    number: int
    is_warming_up: bool = False
    bounds: EngineBounds = field(default_factory=lambda: EngineBounds({}, 0.0))
    credits: dict[str, tuple[float, float]] = field(default_factory=dict)

    def allows(self, now: float, engine: str, engine_number: int, work_ms: float) -> bool:
        """Whether a query of so much work may go to an engine now."""
        bound = self.bounds.work_rates.get(engine)
        if bound is None:
            return True
        if not bound or now >= self.bounds.expires_at:
            return False
        saved, counted_at = self.credits.get(engine, (0.0, now))
        saved = min(max(bound * MAX_CREDIT_MS, work_ms), saved + bound * (now - counted_at))
        self.credits[engine] = saved, now
        # Of many instances whose credits are less than a query, only a few may begin at a time.
        rotation = 0 if self.is_warming_up else now // ROTATION_INTERVAL_MS
        position = (engine_number * PLASTIC_RATIO + (self.number + rotation) * GOLDEN_RATIO) % 1
        return saved >= max(work_ms * position, MIN_NEEDED_SHARE)

    def set_bounds(self, now: float, bounds: EngineBounds) -> None:
        """Apply new bounds; at warming engines, credits until now were saved under the former ones."""
        former, self.bounds = self.bounds, bounds
        for engine, rate in former.work_rates.items() if self.is_warming_up else ():
            saved, counted_at = self.credits.get(engine, (0.0, now))
            saved += rate * max(0.0, min(now, former.expires_at) - counted_at)
            self.credits[engine] = saved, now

    def spend(self, engine: str, work_ms: float) -> None:
        """Count a query that was sent to an engine."""
        if engine in self.bounds.work_rates:
            saved, counted_at = self.credits[engine]
            self.credits[engine] = saved - work_ms, counted_at
