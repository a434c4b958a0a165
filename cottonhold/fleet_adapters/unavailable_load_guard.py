"""The gateway's load guard while there is no ledger."""

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
    """The guard while the folder is another process's still, or its disk fails: no load is sent, all else is.

    classes: by guarded class, whether a success may be reported; retry_after_ms: sent with each rejection.
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
        """Whether requests of a class would have to be recorded."""
        return query_class in self.classes

    def on_load_arrived(
        self, client_request: ClientRequest, deadline: float, on_outcome: LoadOutcomeCallback
    ) -> None:
        """Answered at once: to retry later, or what is known of a retry. A retry is noted in the history,
        which bounds for how long it is told to retry later."""
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
        """An attempt of a request that was accepted under another ledger: it can't be recorded."""
        on_recorded(False)

    def on_attempt_ended(self, attempt: Attempt, outcome: Outcome | None) -> None:
        """Nothing was recorded."""

    def on_request_closed(self, request_id: str) -> None:
        """Nothing was recorded."""
