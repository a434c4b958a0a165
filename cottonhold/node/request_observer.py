"""Observers of requests, attempts and health checks. They decide nothing, but may draw for admission."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from cottonhold.backend.attempt import Attempt
from cottonhold.node.client_request import ClientRequest
from cottonhold.scheduler.events import AttemptEnded, Outcome

HealthCheckListener = Callable[[str, Outcome, dict[str, float]], None]  # engine, outcome, load report


class RequestObserver(Protocol):
    """Is notified of requests and attempts as they arrive and end."""

    def on_request_arrived(self, request: ClientRequest, /) -> float | None:
        """A request has arrived; returns its admission draw, 0 to 1, where a threshold may apply."""

    def on_demand_estimated(self, request: ClientRequest, utility: float, work_ms: float, /) -> None:
        """The scheduler's estimate of a request's utility and work."""

    def on_admission_settled(self, waited_fraction: float, was_rejected: bool, /) -> None:
        """An admitted request was sent after a fraction of its time, or was rejected after all."""

    def on_request_closed(self, request_id: str, /) -> None:
        """A request has had its final response."""

    def on_attempt_sent(self, attempt: Attempt, query_class: int) -> None:
        """An attempt has been sent."""

    def on_attempt_ended(self, attempt: Attempt, event: AttemptEnded) -> None:
        """An attempt has ended."""
