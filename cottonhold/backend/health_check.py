"""Health checks of engines, and the budget of those that connections ask for by themselves."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from cottonhold.transport.clock import Timer

COST_PER_ATTEMPT = 0.003  # of the result, that each attempt adds to the budget of liveness checks
MAX_AVAILABLE_CHECKS = 4.0  # as many connections as may fall silent at the same moment


@dataclass(slots=True, eq=False)
class HealthCheck:
    """A health check in flight: one that was requested, or a liveness check of its connection."""

    engine: str
    sent_at: float  # ms of the clock
    answers_before: int  # answers on the connection before it; any further one shows life as well
    was_connecting: bool
    is_awaited: bool = True  # its outcome is to be reported
    timer: Timer | None = None
    callback: Callable[[bool], None] | None = None  # who gets the outcome in the listener's place


class LivenessBudget:
    """How many liveness checks may be sent: each attempt pays for a part of one.

    Without a limit most connections of a full fleet would be checked again and again.
    """

    def __init__(self) -> None:
        self.available = 1.0

    def on_attempt_sent(self, check_cost: float) -> None:
        """An attempt has been sent; `check_cost` is the cost of a health check, 0 where it has none."""
        earned = COST_PER_ATTEMPT / max(check_cost, COST_PER_ATTEMPT)
        self.available = min(MAX_AVAILABLE_CHECKS, self.available + earned)

    def try_spend(self, check_cost: float) -> bool:
        """Take a check out of the budget; false where there is none left."""
        if self.available < 1 and check_cost:
            return False
        self.available = max(self.available - 1, 0.0)
        return True
