"""Interfaces for observing requests, attempts and health checks. An observer may provide admission draws."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from cottonhold.backend.attempt import Attempt
from cottonhold.node.client_request import ClientRequest
from cottonhold.scheduler.events import AttemptEnded, Outcome

HealthCheckListener = Callable[[str, Outcome, dict[str, float]], None]  # engine, outcome, load report


class RequestObserver(Protocol):
    """Receives notifications about requests and attempts."""

    def on_request_arrived(self, request: ClientRequest, /) -> float | None:
        """Record an arriving request; return its admission draw, 0 to 1, if a threshold may apply."""

    def on_demand_estimated(self, request: ClientRequest, utility: float, work_ms: float, /) -> None:
        """Record the scheduler's estimate of a request's utility and its work in ms."""

    def on_admission_settled(self, waited_fraction: float, was_rejected: bool, /) -> None:
        """Record that an admitted request was rejected, or sent after waiting a fraction of its timeout."""

    def on_request_closed(self, request_id: str, /) -> None:
        """Record that a request has its final response or its client has disconnected."""

    def on_attempt_sent(self, attempt: Attempt, query_class: int) -> None:
        """Record that an attempt is about to be sent."""

    def on_attempt_ended(self, attempt: Attempt, event: AttemptEnded) -> None:
        """Record the outcome of an attempt."""
