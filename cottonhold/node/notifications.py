"""Notifies the observer and the load guard, and isolates requests from exceptions in either."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable

from cottonhold.backend.attempt import Attempt
from cottonhold.node.client_request import ClientRequest
from cottonhold.node.load_guard import LoadGuard
from cottonhold.node.request_observer import RequestObserver
from cottonhold.observe.counters import Counters
from cottonhold.scheduler.events import AttemptEnded, Outcome


class Notifications:
    """Holds and notifies the observer and the load guard of one gateway; either may be absent."""

    def __init__(self, counters: Counters, log: Callable[[str], None]) -> None:
        self.counters, self.log = counters, log
        self.observer: RequestObserver | None = None
        self.load_guard: LoadGuard | None = None

    def attempt_ended(self, attempt: Attempt, event: AttemptEnded) -> None:
        """Notify the observer and the load guard of the end of an attempt that was started."""
        try:
            if self.observer is not None:
                self.observer.on_attempt_ended(attempt, event)
            if self.load_guard is not None:
                self.load_guard.on_attempt_ended(attempt, event.outcome)
        except Exception as error:
            self.on_fault(error)

    def attempt_not_started(self, attempt: Attempt, event: AttemptEnded) -> None:
        """Notify observer and load guard of an attempt that never started, so that they don't count it.

        The scheduler receives the original outcome.
        """
        if self.observer is not None:
            never_started = dataclasses.replace(event, outcome=Outcome.NOT_STARTED)
            self.observer.on_attempt_ended(attempt, never_started)
        if self.load_guard is not None:
            self.load_guard.on_attempt_ended(attempt, None)

    def request_closed(self, request: ClientRequest) -> None:
        """Notify the observer and the load guard that a request is about to get its final response."""
        try:
            if self.observer is not None:
                self.observer.on_request_closed(request.request_id)
            if self.load_guard is not None and self.load_guard.guards(request.query_class):
                self.load_guard.on_request_closed(request.request_id)
        except Exception as error:
            self.on_fault(error)

    def on_fault(self, error: Exception) -> None:
        """Count and log an exception in the observer or the load guard."""
        self.counters.add("watch_faults")
        self.log(f"observer: {type(error).__name__}: {error}")
