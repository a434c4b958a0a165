"""Containment of faults (unexpected exceptions) in the scheduler's steps and in the execution of its actions.

A fault fails only the request that it concerns: events that the failed step had not consumed are delivered
again, and requests that the scheduler may have lost fail at their deadlines.
"""

from __future__ import annotations

from collections.abc import Callable

from cottonhold.node.client_request import OpenRequest
from cottonhold.observe.counters import Counters
from cottonhold.scheduler.actions import Action, Send
from cottonhold.scheduler.events import AttemptEnded, ClientDisconnected, Event, Outcome, TimerExpired
from cottonhold.transport.clock import Clock

EXPIRY_CHECK_INTERVAL_MS = 100.0  # interval of checks of open requests' deadlines, once a step has failed


class FaultContainment:
    """Ends requests and attempts that a fault concerns, in the gateway and in the scheduler.

    Args:
        requests: The gateway's open requests, by id.
        push: Queues an event for the scheduler.
        fail: Responds to a request, by its id, with an error.
        clock: This process's clock.
        counters: The counters of this process.
    """

    def __init__(
        self,
        requests: dict[str, OpenRequest],
        push: Callable[[Event], None],
        fail: Callable[[str], None],
        clock: Clock,
        counters: Counters,
    ) -> None:
        self.requests, self.push, self.fail = requests, push, fail
        self.clock, self.counters = clock, counters
        self.has_step_failed = False

    def on_step_failed(self, events: list[Event], unconsumed: list[Event]) -> None:
        """Handle an exception in a step: abandon the last consumed event's request, and requeue later events.

        If none or all of the events had been consumed, any of them may be the cause: the requests of all are
        abandoned.
        """
        consumed = len(events) - len(unconsumed)
        if not unconsumed or not consumed:
            at_fault, unconsumed = events, []
        else:
            at_fault = events[consumed - 1 : consumed]
        for event in at_fault:
            if not isinstance(event, ClientDisconnected):
                self.abandon(getattr(event, "query_id", ""))
            if isinstance(event, AttemptEnded) and event.outcome is not Outcome.NOT_STARTED:
                self.forget_attempt(event.query_id, event.engine)
        for event in unconsumed:
            self.push(event)
        if not self.has_step_failed:
            self.has_step_failed = True
            self.clock.call_in(EXPIRY_CHECK_INTERVAL_MS, self._expire_requests)

    def on_action_failed(self, action: Action) -> None:
        """Handle an exception in an action's execution: end the request, which would wait for it forever."""
        request_id = getattr(action, "query_id", "")
        request = self.requests.get(request_id)
        self.abandon(request_id)
        if not isinstance(action, Send):
            return
        if request is not None and request.attempt is not None and request.attempt.connection is None:
            request.attempt = None
            self.requests.pop(request_id, None)
        self.forget_attempt(request_id, action.engine)

    def abandon(self, request_id: str) -> None:
        """Fail a request in the gateway, and close it in the scheduler."""
        if request_id in self.requests:
            self.fail(request_id)
        if request_id:
            self.push(ClientDisconnected(request_id))

    def forget_attempt(self, request_id: str, engine: str) -> None:
        """Report to the scheduler that an attempt has ended without being started."""
        self.push(AttemptEnded(request_id, 0, engine, Outcome.NOT_STARTED, 0.0, is_final=True))

    def _expire_requests(self) -> None:
        """Fail requests that the scheduler may have lost, and schedule a step and the next check."""
        now = self.clock.now()
        expired = [r for r in self.requests.values() if r.response_sink is not None and now >= r.deadline]
        for request in expired:
            self.counters.add("requests_lost_by_step")
            self.abandon(request.client_request.request_id)
        self.push(TimerExpired(0))
        self.clock.call_in(EXPIRY_CHECK_INTERVAL_MS, self._expire_requests)
