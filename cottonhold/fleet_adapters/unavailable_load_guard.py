"""The gateway's load guard while the ledger can't be opened."""

from __future__ import annotations

from collections.abc import Callable, Mapping

from cottonhold.backend.attempt import Attempt
from cottonhold.fleet.recovery.load_history import LoadHistory
from cottonhold.fleet.recovery.local_loads import LoadKnowledge
from cottonhold.fleet_adapters.load_conversions import EXPIRE_INTERVAL_MS, identity_of, outcome_of
from cottonhold.node.client_request import ClientRequest
from cottonhold.node.load_guard import LoadOutcomeCallback
from cottonhold.observe.counters import Counters
from cottonhold.scheduler.events import Outcome


class UnavailableLoadGuard:
    """Rejects loads while another process still holds the folder or its disk fails; other queries are sent.

    Args:
        classes: Indexes of the guarded classes, and whether a success may be reported without the result.
        retry_after_ms: Delay sent with each rejection, in ms.
        history: The load history from the folder's readable records.
        now: Returns the time of this process's clock, in ms.
        counters: The counters of this instance.
    """

    def __init__(
        self,
        classes: Mapping[int, bool],
        retry_after_ms: float,
        history: LoadHistory,
        now: Callable[[], float],
        counters: Counters,
    ) -> None:
        self.classes, self.retry_after_ms, self.history, self.now = classes, retry_after_ms, history, now
        self.counters, self.expired_at = counters, now()

    def guards(self, query_class: int) -> bool:
        """Return whether requests of a class have to be recorded."""
        return query_class in self.classes

    def on_load_arrived(
        self, client_request: ClientRequest, deadline: float, on_outcome: LoadOutcomeCallback
    ) -> None:
        """Tell the client to retry later, or report what the history knows about a retry.

        The history records a retry, and limits how long its client is told to retry later.
        """
        self.counters.add("loads_unkept")
        knowledge, now = LoadKnowledge.NOT_KNOWN_YET, self.now()
        if client_request.is_retry:
            knowledge = self.history.answer_unavailable(now, identity_of(client_request))
        on_outcome(outcome_of(knowledge, self.classes[client_request.query_class]), self.retry_after_ms)
        if now - self.expired_at >= EXPIRE_INTERVAL_MS:
            self.expired_at = now
            self.history.local.expire(now, ())

    def before_attempt_sent(
        self, attempt: Attempt, client_request: ClientRequest, on_recorded: Callable[[bool], None]
    ) -> None:
        """Report that an attempt can't be recorded."""
        on_recorded(False)

    def on_attempt_ended(self, attempt: Attempt, outcome: Outcome | None) -> None:
        """Do nothing, since no attempt was recorded."""

    def on_request_closed(self, request_id: str) -> None:
        """Do nothing, since no request was recorded."""
