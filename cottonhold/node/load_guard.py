"""Guard against running a load twice: the interface between the gateway and whoever records loads durably."""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum
from typing import Protocol

from cottonhold.backend.attempt import Attempt
from cottonhold.node.client_request import ClientRequest
from cottonhold.scheduler.events import Outcome


class LoadOutcome(Enum):
    """What is known of earlier executions of a load. The values are part of counters' names."""

    NEVER_RAN = "never"
    SUCCEEDED = "well"
    MAY_HAVE_RUN = "may"
    NOT_KNOWN_YET = "later"


LoadOutcomeCallback = Callable[[LoadOutcome, float], None]  # with the retry delay in ms for NOT_KNOWN_YET


class LoadGuard(Protocol):
    """Records loads beyond this process's lifetime, and decides whether one may be sent, not where."""

    def guards(self, query_class: int) -> bool:
        """Whether requests of a class (its index) are guarded."""

    def on_load_arrived(
        self, request: ClientRequest, deadline: float, on_outcome: LoadOutcomeCallback, /
    ) -> None:
        """A load has arrived; `on_outcome` is called exactly once, now or by `deadline`."""

    def before_attempt_sent(
        self, attempt: Attempt, request: ClientRequest, on_recorded: Callable[[bool], None], /
    ) -> None:
        """An attempt is about to be sent; `on_recorded` is called once: it has been recorded, or can't be."""

    def on_attempt_ended(self, attempt: Attempt, outcome: Outcome | None) -> None:
        """An attempt has ended; None: it was never started."""

    def on_request_closed(self, request_id: str, /) -> None:
        """A request has had its final response; an attempt of it may still be in flight."""
