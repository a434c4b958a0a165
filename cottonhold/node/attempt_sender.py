"""Starts, changes and cancels attempts of open requests as the scheduler decides.

The attempt of a load starts once the load guard has recorded it. This module also ends attempts that
were never sent.
"""

from __future__ import annotations

from collections.abc import Callable

from cottonhold.backend.attempt import Attempt
from cottonhold.backend.connection_pool import EngineConnections
from cottonhold.node.client_request import OpenRequest
from cottonhold.node.fault_containment import FaultContainment
from cottonhold.node.notifications import Notifications
from cottonhold.scheduler.actions import MAX_PRIORITY, Cancel, Send, UpdateAttempt
from cottonhold.scheduler.events import AttemptEnded, Outcome
from cottonhold.transport.clock import Clock

RESPONSE_MARGIN_MS = 15.0  # time between an attempt's deadline and that of its request


class AttemptSender:
    """Sends the attempts of one gateway's requests.

    Args:
        requests: The gateway's open requests, by id.
        engines: The connections to the engines.
        clock: This process's clock.
        notifications: Notifies the observer and the load guard.
        faults: Handles faults of the scheduler's steps and actions.
        on_ended: Called when an attempt has ended that was never started.
    """

    def __init__(
        self,
        requests: dict[str, OpenRequest],
        engines: EngineConnections,
        clock: Clock,
        notifications: Notifications,
        faults: FaultContainment,
        on_ended: Callable[[OpenRequest, AttemptEnded], None],
    ) -> None:
        self.requests, self.engines, self.clock = requests, engines, clock
        self.notifications, self.faults, self.on_ended = notifications, faults, on_ended

    def send(self, action: Send) -> None:
        """Create an attempt and start it; a load's attempt starts once it is recorded."""
        request = self.requests.get(action.query_id)
        if request is None or request.response_sink is None:
            # The client disconnected in the iteration in which the scheduler decided on this attempt: the
            # scheduler must release the attempt's capacity and its ordering key.
            self.faults.forget_attempt(action.query_id, action.engine)
            return
        attempt = self._new_attempt(request, action)
        client_request, observer = request.client_request, self.notifications.observer
        if observer is not None:
            observer.on_attempt_sent(attempt, client_request.query_class)
            if attempt.number == 0:
                waited_ms = attempt.started_at - client_request.arrived_at
                observer.on_admission_settled(waited_ms / client_request.timeout_ms, False)
        load_guard = self.notifications.load_guard
        if load_guard is None or not load_guard.guards(client_request.query_class):
            self._start(request, attempt)
            return
        # A load must be recorded durably before it is sent, or a power loss could leave it without a record.
        load_guard.before_attempt_sent(
            attempt, client_request, lambda recorded: self._resolve_recording(request, attempt, recorded)
        )
        if _awaits_recording(request, attempt):
            limit_ms = attempt.deadline - attempt.started_at
            self.clock.call_in(limit_ms, lambda: self._resolve_recording(request, attempt, False))

    def _new_attempt(self, request: OpenRequest, action: Send) -> Attempt:
        now, client_request = self.clock.now(), request.client_request
        number, request.attempts = request.attempts, request.attempts + 1
        limit = now + action.timeout_ms if action.timeout_ms > 0 else request.deadline
        request.attempt = Attempt(
            action.query_id,
            number,
            action.engine,
            client_request.class_name,
            client_request.body,
            request.priority,
            started_at=now,
            deadline=min(request.deadline - RESPONSE_MARGIN_MS, limit),
            begin_deadline=action.begin_deadline,
            idempotency_key=client_request.idempotency_key,
        )
        return request.attempt

    def _resolve_recording(self, request: OpenRequest, attempt: Attempt, is_recorded: bool) -> None:
        """Start a recorded load; end it unsent if it was not recorded in time or its client has left."""
        if not _awaits_recording(request, attempt):
            return
        if is_recorded and request.response_sink is not None:
            self._start(request, attempt)
        else:
            self._end_unstarted(request, attempt, Outcome.NOT_STARTED)

    def _start(self, request: OpenRequest, attempt: Attempt) -> None:
        if not self.engines.send(attempt):
            self._end_unstarted(request, attempt, self.engines.unsent_outcome())

    def _end_unstarted(self, request: OpenRequest, attempt: Attempt, outcome: Outcome) -> None:
        """End an attempt that was never sent."""
        request.attempt = None
        event = AttemptEnded(attempt.request_id, attempt.number, attempt.engine, outcome, 0.0)
        self.notifications.attempt_not_started(attempt, event)
        self.on_ended(request, event)

    def update(self, action: UpdateAttempt) -> None:
        """Change the priority of a request, and of its attempt in flight."""
        if request := self.requests.get(action.query_id):
            request.priority = action.priority
            if request.attempt is not None:
                self.engines.change_priority(request.attempt, action.priority)

    def cancel(self, action: Cancel) -> None:
        """Cancel an attempt if it is still in flight; one that waits for its record ends unsent."""
        request = self.requests.get(action.query_id)
        if request and request.attempt is not None and request.attempt.number == action.attempt:
            self._resolve_recording(request, request.attempt, False)
            if request.attempt is not None:
                self.engines.cancel(request.attempt, Outcome.CANCELLED)

    def expedite(self, attempt: Attempt, request_deadline: float, has_priorities: bool) -> None:
        """Limit an attempt in flight to its request's new deadline, and raise its priority if enabled.

        Without that, the work that the engine has already done for it would be lost.
        """
        self.engines.shorten_deadline(attempt, request_deadline - RESPONSE_MARGIN_MS)
        if has_priorities:
            self.engines.change_priority(attempt, MAX_PRIORITY)


def _awaits_recording(request: OpenRequest, attempt: Attempt) -> bool:
    """Return whether an attempt still waits to be recorded."""
    return request.attempt is attempt and attempt.connection is None
