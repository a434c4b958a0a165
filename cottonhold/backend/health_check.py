"""Health checks of engines, and the budget that limits liveness checks of connections."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from cottonhold.transport.clock import Timer

# Each attempt adds this cost to the budget of liveness checks, in the unit of the cost of a health check.
BUDGET_PER_ATTEMPT = 0.003
MAX_AVAILABLE_CHECKS = 4.0  # limit of the budget: several connections may become silent together


@dataclass(slots=True, eq=False)
class HealthCheck:
    """A health check in flight: a requested check of an engine, or a liveness check of a connection."""

    engine: str
    sent_at: float  # in ms of the clock
    answers_before: int  # the connection's answer count when it was sent; any later answer proves liveness
    was_connecting: bool
    is_awaited: bool = True  # whether its outcome has to be reported
    timer: Timer | None = None
    callback: Callable[[bool], None] | None = None  # receives the outcome instead of the listener


class LivenessBudget:
    """Limits the number of liveness checks: each attempt that is sent pays for a fraction of one.

    Without a limit, most connections of a busy fleet would be checked repeatedly.
    """

    def __init__(self) -> None:
        self.available = 1.0

    def on_attempt_sent(self, check_cost: float) -> None:
        """Add an attempt's contribution; `check_cost` is the cost of a health check, 0 if checks are free."""
        earned = BUDGET_PER_ATTEMPT / max(check_cost, BUDGET_PER_ATTEMPT)
        self.available = min(MAX_AVAILABLE_CHECKS, self.available + earned)

    def try_spend(self, check_cost: float) -> bool:
        """Spend one check; return false if the budget has none left. Free checks are always allowed."""
        if self.available < 1 and check_cost:
            return False
        self.available = max(self.available - 1, 0.0)
        return True
