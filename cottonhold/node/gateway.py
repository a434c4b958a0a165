"""The lifecycle of requests, from arrival to one final response, independent of sockets and client protocols.

The gateway passes the events of each event loop iteration to the scheduler and executes its actions. The
scheduler decides whether, where and when a request is sent, retried or rejected. Before that, a load guard
may answer a load that must not be sent.
"""

from __future__ import annotations

import dataclasses
import math
from collections.abc import Callable

from cottonhold.backend.attempt import Attempt
from cottonhold.backend.connection_pool import EngineConnections
from cottonhold.discovery.model import EngineListChange
from cottonhold.frontend.query_comment import Statement
from cottonhold.frontend.query_service import DuplicateRequestIdError, ResponseSink
from cottonhold.node.attempt_sender import AttemptSender
from cottonhold.node.client_request import ClientRequest, OpenRequest, RequestDecoder
from cottonhold.node.fault_containment import FaultContainment
from cottonhold.node.load_guard import LoadOutcome
from cottonhold.node.notifications import Notifications
from cottonhold.node.repeat_guard import RepeatGuard
from cottonhold.node.request_observer import HealthCheckListener
from cottonhold.node.sent_request_files import SentRequests
from cottonhold.node.stall_detector import StallDetector
from cottonhold.observe.counters import Counters
from cottonhold.scheduler.actions import (
    Action,
    Cancel,
    CheckHealth,
    DemandEstimate,
    Fail,
    LogLine,
    Reject,
    Send,
    SendToPeer,
    SetTimer,
    UpdateAttempt,
)
from cottonhold.scheduler.events import (
    AttemptEnded,
    ClientDisconnected,
    EngineList,
    Event,
    HealthCheckCompleted,
    Outcome,
    QueryArrived,
    SettingsChanged,
    ShutdownStarted,
    TimerExpired,
)
from cottonhold.scheduler.scheduler import Scheduler
from cottonhold.scheduler.settings import Settings
from cottonhold.scheduler.unread_cancellations import CANCELLATION_LIMIT_MS, has_to_wait
from cottonhold.transport.clock import Clock

# A busy event loop reads a request, handles its timeout and writes its response a few iterations late. So a
# request's deadline is earlier than its timeout by this time, or by this fraction of a short timeout.
EVENT_LOOP_LAG_MS, MAX_LAG_FRACTION = 400.0, 0.2


class Gateway:
    """Holds all open requests, and executes what the scheduler decides about them.

    Args:
        settings: The scheduler's settings in force.
        seed: Seed of the scheduler's random numbers.
        clock: This process's clock.
        engines: The connections to the engines.
        counters: The counters of this process.
        log: Writes a line to the operators' log.
    """

    def __init__(
        self,
        settings: Settings,
        seed: int,
        clock: Clock,
        engines: EngineConnections,
        counters: Counters,
        log: Callable[[str], None],
    ) -> None:
        self.clock, self.engines, self.counters, self.log = clock, engines, counters, log
        self._set_settings(settings)
        self.scheduler = Scheduler(settings, seed)
        self.requests: dict[str, OpenRequest] = {}
        self.open_count = 0  # requests without a final response
        self.events: list[Event] = []  # events for the next step of the scheduler
        self.is_step_scheduled = False
        self.stall_detector = StallDetector(clock)
        self.shutdown_deadline = math.inf  # time after which no response is sent, in ms of the clock
        self.notifications = Notifications(counters, log)
        self.faults = FaultContainment(self.requests, self.push, self._fail, clock, counters)
        self.attempts = AttemptSender(
            self.requests, engines, clock, self.notifications, self.faults, self._report
        )
        self.result_memory = engines.result_pool
        self.repeat_guard = RepeatGuard(SentRequests(clock, counters, log), counters)
        # Returns the longest time that a new connection of a client may have waited to be read, in ms.
        self.max_unread_ms: Callable[[], float] = lambda: 0.0
        self.send_to_peer: Callable[[SendToPeer], None] = lambda message: None
        self.health_check_listener: HealthCheckListener = lambda engine, outcome, report: None
        engines.listener = self

    def apply_settings(self, settings: Settings) -> None:
        """Replace the settings; open requests keep the settings in force at their arrival."""
        self._set_settings(settings)
        self.push(SettingsChanged(settings))

    def _set_settings(self, settings: Settings) -> None:
        self.settings = settings
        self.decoder = RequestDecoder(settings)

    def begin_shutdown(self, deadline: float) -> None:
        """Limit the deadlines of open and later requests to `deadline`, in ms of the clock.

        This process ends at that time, so requests without a response by that time never get one.
        """
        self.shutdown_deadline = deadline
        for request in self.requests.values():
            request.deadline = min(request.deadline, deadline)
            if request.attempt is not None:
                has_priorities = self.settings.features.has_priorities
                self.attempts.expedite(request.attempt, request.deadline, has_priorities)
        self.push(ShutdownStarted(deadline))

    def push(self, event: Event) -> None:
        """Queue an event; the scheduler processes all events of one event loop iteration in one step."""
        self.events.append(event)
        if not self.is_step_scheduled:
            self.is_step_scheduled = True
            self.clock.call_soon(self._step)

    def on_engine_list(self, change: EngineListChange) -> None:
        """Apply a change of the engine list to the connections and the scheduler."""
        self.engines.apply(change)
        self.push(EngineList(change.engines, change.is_complete))

    def submit(self, statement: Statement, arrived_at: float, sink: ResponseSink) -> Callable[[], None]:
        """Accept a client's statement; return the function to call when the client disconnects.

        Raises:
            FieldError: The statement's comment has an invalid field.
            DuplicateRequestIdError: A request with this id is open.
            SentBeforeError: A request with this id may have run, and its class forbids a repeat.
        """
        request = self.accept(self.decoder.decode(statement, arrived_at), sink)
        return lambda: self.on_client_disconnected(request)

    def accept(self, client_request: ClientRequest, sink: ResponseSink) -> OpenRequest:
        """Accept a decoded request, which gets exactly one final response.

        `sink` is never called before this returns, since its owner needs the request first.

        Raises:
            DuplicateRequestIdError: A request with this id is open.
            SentBeforeError: A request with this id may have run, and its class forbids a repeat.
        """
        request_id = client_request.request_id
        if request_id in self.requests:
            raise DuplicateRequestIdError(request_id)
        load_guard = self.notifications.load_guard
        if load_guard is None:
            self.repeat_guard.check_arrival(request_id)
        deadline = min(response_deadline(client_request), self.shutdown_deadline)
        request = self.requests[request_id] = OpenRequest(client_request, deadline, sink)
        self.open_count += 1
        self.counters.add("requests_taken")
        try:
            if load_guard is not None and load_guard.guards(client_request.query_class):
                load_guard.on_load_arrived(
                    client_request,
                    deadline,
                    lambda outcome, delay_ms: self._on_load_outcome(request, outcome, delay_ms),
                )
            else:
                self._push_arrival(request)
        except Exception as error:
            self.notifications.on_fault(error)
            self.clock.call_soon(lambda: self.faults.abandon(request_id))
        return request

    def _on_load_outcome(self, request: OpenRequest, outcome: LoadOutcome, retry_after_ms: float) -> None:
        """Pass a load that never ran to the scheduler, and answer the client of any other load."""
        if request.response_sink is None:
            return
        if outcome is LoadOutcome.NEVER_RAN:
            self._push_arrival(request)
        else:
            self.clock.call_soon(lambda: self._respond_to_load(request, outcome, retry_after_ms))

    def _respond_to_load(self, request: OpenRequest, outcome: LoadOutcome, retry_after_ms: float) -> None:
        sink = self._finish(request)
        if sink is None:
            return
        self.counters.add(f"loads_{outcome.value}")
        if outcome is LoadOutcome.NOT_KNOWN_YET:
            self.counters.add("answers_refused")
            self._respond(lambda: sink.reject(retry_after_ms))
        elif outcome is LoadOutcome.SUCCEEDED:
            self.counters.add("answers_served")
            self._respond(lambda: sink.complete([]))
        else:
            self.counters.add("answers_failed")
            self._respond(lambda: sink.fail("the load was sent before; it may have run"))

    def _push_arrival(self, request: OpenRequest) -> None:
        client_request, observer = request.client_request, self.notifications.observer
        draw = observer.on_request_arrived(client_request) if observer is not None else None
        self.push(
            QueryArrived(
                client_request.request_id,
                client_request.query_class,
                request.deadline,
                estimated_work_ms=client_request.estimated_work_ms,
                estimated_memory_mb=client_request.estimated_memory_mb,
                table_group=client_request.table_group,
                tenant=client_request.tenant,
                ordering_key=client_request.ordering_key,
                is_retry=client_request.is_retry,
                admission_draw=draw,
            )
        )

    def finish_without_attempt(
        self, request_id: str, counted_as: str, respond: Callable[[ResponseSink], None]
    ) -> None:
        """End a request without an attempt in flight; called by the load guard.

        The request was served by another instance, or must not be sent by this one any more.

        Args:
            request_id: The id of the request.
            counted_as: How its response is counted: `served`, `refused` or `failed`.
            respond: Gives the final response to the sink.
        """
        request = self.requests.get(request_id)
        if request is not None and request.attempt is None and (sink := self._finish(request)):
            self.counters.add(f"answers_{counted_as}")
            self.push(ClientDisconnected(request_id))
            self._respond(lambda: respond(sink))

    def on_client_disconnected(self, request: OpenRequest) -> None:
        """Close a request whose client has disconnected; the scheduler decides about an attempt in flight."""
        if self._finish(request) is not None:
            self.counters.add("clients_gone")
            self.push(ClientDisconnected(request.client_request.request_id))

    def has_to_wait(self, attempt: Attempt, max_delay_ms: float) -> bool:
        """Return whether an attempt has to wait, since a cancellation may not have been read yet."""
        request, now = self.requests.get(attempt.request_id), self.clock.now()
        if request is None:
            return False
        age_ms = now - request.client_request.arrived_at
        if age_ms <= CANCELLATION_LIMIT_MS:
            return False
        return has_to_wait(age_ms, self.max_unread_ms(), now - attempt.started_at, max_delay_ms)

    def is_wanted(self, attempt: Attempt) -> bool:
        """Return whether an attempt may still start: it is its request's current one, and a client waits."""
        request = self.requests.get(attempt.request_id)
        if request is None or request.attempt is not attempt or request.response_sink is None:
            return False
        if request.response_sink.has_left():
            self.on_client_disconnected(request)
            return False
        if self.notifications.load_guard is None and not self.repeat_guard.may_begin(request):
            self._fail(attempt.request_id)
            return False
        return True

    def on_attempt_ended(self, attempt: Attempt, event: AttemptEnded) -> None:
        """Report an attempt's end to the scheduler; if it succeeded, respond to the client."""
        self.notifications.attempt_ended(attempt, event)
        request = self.requests.get(attempt.request_id)
        if request is None:
            return
        request.attempt = None
        self.repeat_guard.on_attempt_ended(request, event.outcome)
        if event.outcome is Outcome.OK and (sink := self._finish(request)):
            self.counters.add("answers_served")
            self._respond(lambda: sink.complete(attempt.all_rows()))
        self._report(request, event)

    def _report(self, request: OpenRequest, event: AttemptEnded) -> None:
        is_final = request.response_sink is None
        if is_final:
            self.requests.pop(request.client_request.request_id, None)
        self.push(dataclasses.replace(event, is_final=is_final))

    def on_health_check_completed(self, engine: str, outcome: Outcome, report: dict[str, float]) -> None:
        """Report a health check's result to the scheduler and the listener."""
        self.push(HealthCheckCompleted(engine, outcome, report))
        self.health_check_listener(engine, outcome, report)

    def _step(self) -> None:
        """Run one scheduler step and execute its actions, also those decided before a fault in the step."""
        if self.stall_detector.delay(self._step):
            self.counters.add("steps_delayed")
            return
        self.is_step_scheduled, events = False, self.events
        self.events = []
        unconsumed = iter(events)
        try:
            actions = self.scheduler.step(self.clock.now(), unconsumed)
        except Exception as error:
            self.counters.add("step_faults")
            self.log(f"scheduler: {type(error).__name__}: {error}")
            actions = self.scheduler.actions
            self.faults.on_step_failed(events, list(unconsumed))
        for action in actions:
            try:
                self._execute(action)
            except Exception as error:
                self.counters.add("action_faults")
                self.log(f"{type(action).__name__}: {type(error).__name__}: {error}")
                self.faults.on_action_failed(action)

    def _execute(self, action: Action) -> None:
        match action:
            case Send():
                self.attempts.send(action)
            case UpdateAttempt():
                self.attempts.update(action)
            case Cancel():
                self.attempts.cancel(action)
            case Reject():
                self._reject(action)
            case Fail(request_id):
                self._fail(request_id)
            case CheckHealth(engine):
                if not self.engines.check_health(engine):
                    self.push(HealthCheckCompleted(engine, self.engines.unsent_outcome()))
            case SendToPeer():
                self.send_to_peer(action)
            case SetTimer(after, token):
                self.clock.call_in(after, lambda: self.push(TimerExpired(token)))
            case LogLine(text):
                self.log(text)
            case DemandEstimate():
                self._on_demand_estimated(action)

    def _on_demand_estimated(self, action: DemandEstimate) -> None:
        request, observer = self.requests.get(action.query_id), self.notifications.observer
        if observer is not None and request is not None:
            observer.on_demand_estimated(request.client_request, action.utility, action.work_ms)
            # Deferred until after this iteration: a request that is rejected in it was not admitted.
            self.clock.call_soon(lambda: self._mark_admitted(request))

    def _mark_admitted(self, request: OpenRequest) -> None:
        request.was_admitted = True

    def _reject(self, action: Reject) -> None:
        if (request := self.requests.get(action.query_id)) and (sink := self._finish(request)):
            self.counters.add("answers_refused")
            observer = self.notifications.observer
            if observer is not None and request.was_admitted and not request.attempts:
                observer.on_admission_settled(1.0, True)
            self._respond(lambda: sink.reject(action.retry_after_ms))

    def _fail(self, request_id: str) -> None:
        if (request := self.requests.get(request_id)) and (sink := self._finish(request)):
            self.counters.add("answers_failed")
            self._respond(lambda: sink.fail("the query failed; it may have run"))

    def _finish(self, request: OpenRequest) -> ResponseSink | None:
        """Detach and return the response sink, so that a request gets at most one final response."""
        sink, request.response_sink = request.response_sink, None
        if sink is not None:
            self.open_count -= 1
            self.notifications.request_closed(request.client_request)
            if request.attempt is None:
                self.requests.pop(request.client_request.request_id, None)
            elif self.notifications.load_guard is None:
                request.release_statement()
        return sink

    def _respond(self, respond: Callable[[], None]) -> None:
        try:
            respond()
        except Exception as error:
            self.counters.add("answer_faults")
            self.log(f"response: {type(error).__name__}: {error}")


def response_deadline(request: ClientRequest) -> float:
    """Return when a response must be ready, in ms of the clock: the client's timeout less the loop's lag."""
    lag_ms = min(EVENT_LOOP_LAG_MS, request.timeout_ms * MAX_LAG_FRACTION)
    return request.arrived_at + request.timeout_ms - lag_ms
