"""The interface between the gateway and the load guard, which prevents a load from running twice."""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum
from typing import Protocol

from cottonhold.backend.attempt import Attempt
from cottonhold.node.client_request import ClientRequest
from cottonhold.scheduler.events import Outcome


class LoadOutcome(Enum):
    """The known outcome of earlier executions of a load. The values are parts of counters' names."""

    NEVER_RAN = "never"
    SUCCEEDED = "well"
    MAY_HAVE_RUN = "may"
    NOT_KNOWN_YET = "later"


# Receives the outcome, and the client's retry delay in ms (used for NOT_KNOWN_YET only).
LoadOutcomeCallback = Callable[[LoadOutcome, float], None]


class LoadGuard(Protocol):
    """Records loads durably, and decides whether a load may be sent; the scheduler decides where."""

    def guards(self, query_class: int) -> bool:
        """Return whether requests of a class, given by its index, are guarded."""

    def on_load_arrived(
        self, request: ClientRequest, deadline: float, on_outcome: LoadOutcomeCallback, /
    ) -> None:
        """Look up an arriving load's earlier executions; call `on_outcome` exactly once, by `deadline`."""

    def before_attempt_sent(
        self, attempt: Attempt, request: ClientRequest, on_recorded: Callable[[bool], None], /
    ) -> None:
        """Record an attempt before it is sent; call `on_recorded` once, with True if it was recorded."""

    def on_attempt_ended(self, attempt: Attempt, outcome: Outcome | None) -> None:
        """Record the outcome of an attempt; None if the attempt was never started."""

    def on_request_closed(self, request_id: str, /) -> None:
        """Record that a request has its final response; an attempt of it may still be in flight."""
