"""A request's life, from taken to one final answer. Knows no socket and no client protocol.

Feeds the scheduler with what happened in one turn of the loop and carries out what it decides. Whether,
where and when a request is sent, again or not, and whether it is refused, is the scheduler's alone.
"""

from __future__ import annotations

import dataclasses
import math
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from cottonhold.backend.connection_pool import Attempt, EngineConnections
from cottonhold.backend.resp import Rows
from cottonhold.discovery.model import Change
from cottonhold.node.clock import Clock
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

# Danger: in a burst one turn of the loop takes 100 ms. A request is read a turn late, its time-out is seen a
# turn late, and the answer takes two more: it came after the client's limit and was lost. So the module is
# given this much less, or a part of a short limit; what would be served in that time is late by far.
LAG_MS, LAG_PART = 400.0, 0.2
MOST_PRIORITY = 3  # that the protocol has
LOOK_MS = 100.0  # once a step has failed, so often requests are looked after beside the scheduler
ANSWER_MS = 15.0  # an attempt ends so long before the client gives up, so that the answer is there in time


HealthCheckListener = Callable[[str, Outcome, dict[str, float]], None]


class RequestObserver(Protocol):
    """Who is told of requests and attempts as they come and end; it decides nothing about them."""

    def on_request_arrived(self, taken: ClientRequest) -> float | None:
        """A request has come; returns its draw, 0 to 1, where there may be a price."""

    def on_demand_estimated(self, taken: ClientRequest, worth: float, work: float) -> None:
        """What the scheduler takes it to be worth, and its work in thread ms."""

    def on_admission_settled(self, wait: float, lost: bool) -> None:
        """One that was let in went out after a part of its time, or was refused after all."""

    def on_request_closed(self, ref: str) -> None:
        """A request is over for its client."""

    def on_attempt_sent(self, attempt: Attempt, query_class: int) -> None:
        """An attempt has gone out."""

    def on_attempt_ended(self, attempt: Attempt, event: AttemptEnded) -> None:
        """An attempt has ended."""


class LoadOutcome(Enum):
    """What is known of a load that a client asks for again, or for the first time."""

    NEVER_RAN = "never"  # it was never sent: it may be
    COMPLETED = "well"  # it has run to its end
    MAY_HAVE_RUN = "may"  # it may have run: it must not be sent
    UNKNOWN_YET = "later"  # nobody can say yet


LoadOutcomeCallback = Callable[[LoadOutcome, float], None]


class LoadGuard(Protocol):
    """Who keeps what became of loads beyond this process's life: it says what may go out, not where."""

    def guards(self, query_class: int) -> bool:
        """Whether requests of a class are its matter."""

    def on_load_arrived(self, taken: ClientRequest, until: float, settled: LoadOutcomeCallback) -> None:
        """A load has come; `settled` is called once, now or by `until`, with ms to stay away for LATER."""

    def before_attempt_sent(
        self, attempt: Attempt, taken: ClientRequest, kept: Callable[[bool], None]
    ) -> None:
        """An attempt is about to go out; `kept` is told once that this will be remembered, or can't be."""

    def on_attempt_ended(self, attempt: Attempt, outcome: Outcome | None) -> None:
        """An attempt has ended; None: it was never started."""

    def on_request_closed(self, ref: str) -> None:
        """A request is over for its client; an attempt of its may still be out."""


class ResponseSink(Protocol):
    """The way back to the client of one request; called once at most."""

    def complete(self, rows: Rows) -> None:
        """The whole result."""

    def reject(self, retry_after: float) -> None:
        """Turned away; trying again is harmless."""

    def fail(self, why: str) -> None:
        """Failed, which promises nothing."""


@dataclass(slots=True, frozen=True)
class ClientRequest:
    """A request as a client protocol read it."""

    request_id: str
    query_class: int  # its place in the settings under which it was taken
    class_name: str  # and its name
    arrived_at: float
    timeout_ms: float
    estimated_work_ms: float
    estimated_memory_mb: float
    table_group: int
    ordering_key: str | None
    is_retry: bool
    body: bytes
    tenant: int = 0  # its place in the settings
    idempotency_key: str | None = None  # the client's idempotency key


@dataclass(slots=True, eq=False)
class OpenRequest:
    """A request that is owed an answer, or whose attempt still lacks its end."""

    client_request: ClientRequest
    deadline: float
    response_sink: ResponseSink | None
    attempts: int = 0
    priority: int = 1
    attempt: Attempt | None = None
    was_admitted: bool = False  # not refused in the step in which it came


class DuplicateRequestIdError(Exception):
    """A request under an id that is still in use."""


class Gateway:
    """All open requests, with the scheduler that decides about them."""

    def __init__(
        self,
        settings: Settings,
        seed: int,
        clock: Clock,
        engines: EngineConnections,
        counters: Counters,
        say: Callable[[str], None],
    ) -> None:
        self.clock, self.engines = clock, engines
        self._adopt(settings)
        self.counters, self.say = counters, say
        self.scheduler = Scheduler(settings, seed)
        self.requests: dict[str, OpenRequest] = {}
        self.events: list[Event] = []
        self.is_step_scheduled = False
        self.has_step_failed = False  # a step has failed
        self.shutdown_deadline = math.inf  # what has no answer by then never gets one
        self.open_count = 0
        self.send_to_peer: Callable[[SendToPeer], None] = lambda tell: None
        self.health_check_listener: HealthCheckListener = lambda engine, outcome, report: None
        self.observer: RequestObserver | None = None
        self.load_guard: LoadGuard | None = None
        engines.listener = self

    def apply_settings(self, settings: Settings) -> None:
        """Other settings from now on; requests that are open keep what they were taken under."""
        self._adopt(settings)
        self.push(SettingsChanged(settings))

    def _adopt(self, settings: Settings) -> None:
        """The settings in force, and the places of their classes and tenants by name."""
        self.settings = settings
        self.class_indexes = {cls.name: place for place, cls in enumerate(settings.classes)}
        self.tenant_indexes = {tenant.name: place for place, tenant in enumerate(settings.tenants)}

    def begin_shutdown(self, until: float) -> None:
        """This process ends: what has no answer by then (own clock) never gets one.

        Danger: the module went by the clients' time. So it held and began what SIGKILL then found: two in a
        hundred requests of a day of restarts, most of them reports and loads, got no answer, nor could their
        clients ask elsewhere. What is out goes first at its engine: it has run in part, and is lost else.
        """
        self.shutdown_deadline = until
        for request in self.requests.values():
            request.deadline = min(request.deadline, until)
            if request.attempt is not None:
                self.engines.shorten_deadline(request.attempt, request.deadline - ANSWER_MS)
                if self.settings.features.has_priorities:
                    self.engines.change_priority(request.attempt, MOST_PRIORITY)
        self.push(ShutdownStarted(until))

    # --- what happens ---

    def push(self, event: Event) -> None:
        """Note an event; all of one turn of the loop go into one step."""
        self.events.append(event)
        if not self.is_step_scheduled:
            self.is_step_scheduled = True
            self.clock.call_soon(self._step)

    def on_engine_list(self, change: Change) -> None:
        """The engine list has changed."""
        self.engines.apply(change)
        self.push(EngineList(change.engines, change.whole))

    def accept(self, taken: ClientRequest, client: ResponseSink) -> OpenRequest:
        """A request has come whole."""
        if taken.request_id in self.requests:
            raise DuplicateRequestIdError(taken.request_id)
        due = min(
            taken.arrived_at + taken.timeout_ms - min(LAG_MS, taken.timeout_ms * LAG_PART),
            self.shutdown_deadline,
        )
        request = self.requests[taken.request_id] = OpenRequest(taken, due, client)
        self.open_count += 1
        self.counters.add("requests_taken")
        try:
            if self.load_guard is not None and self.load_guard.guards(taken.query_class):
                self.load_guard.on_load_arrived(taken, due, lambda past, ms: self._settled(request, past, ms))
            else:
                self._arrive(request)
        except Exception as error:
            # Danger: its connection was closed with what had been read on it unanswered.
            self._watch_fault(error)
            self.clock.call_soon(lambda: self._abandon(taken.request_id))
        return request

    def _settled(self, request: OpenRequest, past: LoadOutcome, ms: float) -> None:
        """What became of a load before is known: only one that never ran becomes the scheduler's."""
        if request.response_sink is None:
            return
        if past is LoadOutcome.NEVER_RAN:
            self._arrive(request)
        else:
            # Danger: answered while it was being taken, a session had its answer before it knew of a request,
            # waited for another one for good, and its next query got none.
            self.clock.call_soon(lambda: self._answer_past(request, past, ms))

    def _answer_past(self, request: OpenRequest, past: LoadOutcome, ms: float) -> None:
        client = self._finish(request)
        if client is None:
            return
        self.counters.add(f"loads_{past.value}")
        if past is LoadOutcome.UNKNOWN_YET:
            self.counters.add("answers_refused")
            self._answer(lambda: client.reject(ms))
        elif past is LoadOutcome.COMPLETED:
            self.counters.add("answers_served")
            self._answer(lambda: client.complete([]))
        else:
            self.counters.add("answers_failed")
            self._answer(lambda: client.fail("the load was sent before; it may have run"))

    def _arrive(self, request: OpenRequest) -> None:
        taken = request.client_request
        draw = self.observer.on_request_arrived(taken) if self.observer is not None else None
        self.push(
            QueryArrived(
                taken.request_id,
                taken.query_class,
                request.deadline,
                estimated_work_ms=taken.estimated_work_ms,
                estimated_memory_mb=taken.estimated_memory_mb,
                table_group=taken.table_group,
                tenant=taken.tenant,
                ordering_key=taken.ordering_key,
                is_retry=taken.is_retry,
                admission_draw=draw,
            )
        )

    def finish_without_attempt(self, ref: str, word: str, answer: Callable[[ResponseSink], None]) -> None:
        """The guard of loads ends a request that has no attempt out: it was served elsewhere, or it is not to
        be sent from here any more. word: `served`, `refused` or `failed`, for the count."""
        request = self.requests.get(ref)
        if request is not None and request.attempt is None and (client := self._finish(request)):
            self.counters.add(f"answers_{word}")
            self.push(ClientDisconnected(ref))
            self._answer(lambda: answer(client))

    def on_client_disconnected(self, request: OpenRequest) -> None:
        """The client has left: nothing is owed, but an attempt that is out still ends."""
        if self._finish(request) is not None:
            self.counters.add("clients_gone")
            self.push(ClientDisconnected(request.client_request.request_id))

    def is_wanted(self, attempt: Attempt) -> bool:
        """Whether an attempt that has not begun may still begin: its client waits, and for this attempt."""
        request = self.requests.get(attempt.request_id)
        return request is not None and request.response_sink is not None and request.attempt is attempt

    def on_attempt_ended(self, attempt: Attempt, event: AttemptEnded) -> None:
        """The engines tell of an attempt's end; a served one answers the client at once."""
        if self.observer is not None or self.load_guard is not None:
            self._tell_of_end(attempt, event)
        request = self.requests.get(attempt.request_id)
        if request is None:
            return
        request.attempt = None
        if event.outcome is Outcome.OK and (client := self._finish(request)):
            self.counters.add("answers_served")
            self._answer(lambda: client.complete(attempt.all_rows()))
        self._report(request, event)

    def _tell_of_end(self, attempt: Attempt, event: AttemptEnded) -> None:
        # Danger: where one of these failed, nobody else heard of the end: the request was never answered.
        try:
            if self.observer is not None:
                self.observer.on_attempt_ended(attempt, event)
            if self.load_guard is not None:
                self.load_guard.on_attempt_ended(attempt, event.outcome)
        except Exception as error:
            self._watch_fault(error)

    def _watch_fault(self, error: Exception) -> None:
        self.counters.add("watch_faults")
        self.say(f"watch: {type(error).__name__}: {error}")

    def _report(self, request: OpenRequest, event: AttemptEnded) -> None:
        over = request.response_sink is None
        if over:
            self.requests.pop(request.client_request.request_id, None)
        self.push(dataclasses.replace(event, is_final=over))

    def on_health_check_completed(self, engine: str, outcome: Outcome, report: dict[str, float]) -> None:
        """The engines tell of a probe's end."""
        self.push(HealthCheckCompleted(engine, outcome, report))
        self.health_check_listener(engine, outcome, report)

    # --- what is decided ---

    def _step(self) -> None:
        self.is_step_scheduled, events = False, self.events
        self.events = []
        left = iter(events)
        try:
            actions = self.scheduler.step(self.clock.now(), left)
        except Exception as error:
            # Danger: a fault in one request's decision must not take the others down. What was decided before
            # the fault still holds.
            self.counters.add("step_faults")
            self.say(f"scheduler: {type(error).__name__}: {error}")
            actions = self.scheduler.actions
            self._contain(events, list(left))
        for action in actions:
            try:
                self._carry_out(action)
            except Exception as error:
                self.counters.add("action_faults")
                self.say(f"{type(action).__name__}: {type(error).__name__}: {error}")
                self._undo(action)

    def _contain(self, events: list[Event], left: list[Event]) -> None:
        """A step broke off with some events left: they are its own no more than those before the last one."""
        # Danger: all that the step was about failed, a change of the list in it was lost, what the scheduler
        # still held of it kept its room, and without its wake what was held elsewhere got no answer at all.
        taken_in = len(events) - len(left)
        if not left or not taken_in:  # it may have been any of them
            at_fault, left = events, []
        else:
            at_fault = events[taken_in - 1 : taken_in]
        for event in at_fault:
            if not isinstance(event, ClientDisconnected):
                self._abandon(getattr(event, "query_id", ""))
            if isinstance(event, AttemptEnded) and event.outcome is not Outcome.ALREADY_FINISHED:
                self._forget_attempt(event.query_id, event.engine)
        for event in left:
            self.push(event)
        if not self.has_step_failed:
            self.has_step_failed = True
            self.clock.call_in(LOOK_MS, self._look_after)

    def _abandon(self, query: str) -> None:
        """A fault has struck a request: it fails, and is over for the scheduler too."""
        if query in self.requests:
            self._fail(Fail(query))
        if query:
            self.push(ClientDisconnected(query))

    def _look_after(self) -> None:
        """Once a step has failed: see that there is a next one, and end what the scheduler may have lost."""
        now = self.clock.now()
        for request in [
            r for r in self.requests.values() if r.response_sink is not None and now >= r.deadline
        ]:
            self.counters.add("requests_lost_by_step")
            self._abandon(request.client_request.request_id)
        self.push(TimerExpired(0))
        self.clock.call_in(LOOK_MS, self._look_after)

    def _undo(self, action: Action) -> None:
        """An action could not be carried out: the request that it was about must not wait for it."""
        query = getattr(action, "query_id", "")
        request = self.requests.get(query)
        self._abandon(query)
        if not isinstance(action, Send):
            return
        if request is not None and request.attempt is not None and request.attempt.connection is None:
            request.attempt = None
            self.requests.pop(query, None)
        self._forget_attempt(query, action.engine)

    def _forget_attempt(self, query: str, engine: str) -> None:
        """Tell the scheduler no more of an attempt than that it is over."""
        self.push(AttemptEnded(query, 0, engine, Outcome.ALREADY_FINISHED, 0.0, is_final=True))

    def _carry_out(self, action: Action) -> None:
        match action:
            case Send():
                self._send(action)
            case UpdateAttempt():
                self._terms(action)
            case Cancel():
                self._cancel(action)
            case Reject():
                self._refuse(action)
            case Fail():
                self._fail(action)
            case CheckHealth(engine):
                if not self.engines.check_health(engine):
                    self.push(HealthCheckCompleted(engine, self.engines.unsent_outcome()))
            case SendToPeer():
                self.send_to_peer(action)
            case SetTimer(after, token):
                self.clock.call_in(after, lambda: self.push(TimerExpired(token)))
            case LogLine(text):
                self.say(text)
            case DemandEstimate():
                self._offered(action)

    def _offered(self, action: DemandEstimate) -> None:
        request = self.requests.get(action.query_id)
        if self.observer is not None and request is not None:
            self.observer.on_demand_estimated(request.client_request, action.utility, action.work_ms)
            self.clock.call_soon(lambda: self._let_in(request))

    def _let_in(self, request: OpenRequest) -> None:
        request.was_admitted = True

    def _send(self, action: Send) -> None:
        request, now = self.requests.get(action.query_id), self.clock.now()
        if request is None or request.response_sink is None:
            # Danger: where a client left in the turn in which its next attempt was decided on, that attempt
            # stayed out for good: it kept its room and its key's turn, and its engine was doubted as silent.
            self._forget_attempt(action.query_id, action.engine)
            return
        number, request.attempts = request.attempts, request.attempts + 1
        until = min(
            request.deadline - ANSWER_MS,
            now + action.timeout_ms if action.timeout_ms > 0 else request.deadline,
        )
        taken = request.client_request
        attempt = Attempt(
            action.query_id,
            number,
            action.engine,
            taken.class_name,
            taken.body,
            request.priority,
            started_at=now,
            deadline=until,
            begin_deadline=action.begin_deadline,
            idempotency_key=taken.idempotency_key,
        )
        request.attempt = attempt
        if self.observer is not None:
            self.observer.on_attempt_sent(attempt, taken.query_class)
            if number == 0:
                self.observer.on_admission_settled((now - taken.arrived_at) / taken.timeout_ms, lost=False)
        if self.load_guard is None or not self.load_guard.guards(taken.query_class):
            self._start(request, attempt)
            return
        # Danger: sent before the record of it was on the disk, a load ran and nobody knew of it after a power
        # loss. So it waits for the disk, within its own time.
        self.load_guard.before_attempt_sent(attempt, taken, lambda kept: self._kept(request, attempt, kept))
        if _held(request, attempt):
            self.clock.call_in(until - now, lambda: self._kept(request, attempt, False))

    def _kept(self, request: OpenRequest, attempt: Attempt, kept: bool) -> None:
        """A load will be remembered, so that it may go out; or it won't be, in time or at all."""
        if not _held(request, attempt):
            return
        if kept and request.response_sink is not None:
            self._start(request, attempt)
        else:
            self._never(request, attempt, Outcome.ALREADY_FINISHED)

    def _start(self, request: OpenRequest, attempt: Attempt) -> None:
        if not self.engines.send(attempt):
            self._never(request, attempt, self.engines.unsent_outcome())

    def _never(self, request: OpenRequest, attempt: Attempt, outcome: Outcome) -> None:
        """An attempt of which nothing was tried."""
        request.attempt = None
        never = AttemptEnded(attempt.request_id, attempt.number, attempt.engine, outcome, 0.0)
        if self.observer is not None:  # it says nothing of the engine
            self.observer.on_attempt_ended(
                attempt, dataclasses.replace(never, outcome=Outcome.ALREADY_FINISHED)
            )
        if self.load_guard is not None:
            self.load_guard.on_attempt_ended(attempt, None)
        self._report(request, never)

    def _terms(self, action: UpdateAttempt) -> None:
        if request := self.requests.get(action.query_id):
            request.priority = action.priority
            if request.attempt is not None:
                self.engines.change_priority(request.attempt, action.priority)

    def _cancel(self, action: Cancel) -> None:
        request = self.requests.get(action.query_id)
        if request and request.attempt is not None and request.attempt.number == action.attempt:
            self._kept(request, request.attempt, False)
            if request.attempt is not None:
                self.engines.cancel(request.attempt, Outcome.CANCELLED)

    def _refuse(self, action: Reject) -> None:
        if (request := self.requests.get(action.query_id)) and (client := self._finish(request)):
            self.counters.add("answers_refused")
            if self.observer is not None and request.was_admitted and not request.attempts:
                self.observer.on_admission_settled(1.0, lost=True)
            self._answer(lambda: client.reject(action.retry_after_ms))

    def _fail(self, action: Fail) -> None:
        if (request := self.requests.get(action.query_id)) and (client := self._finish(request)):
            self.counters.add("answers_failed")
            self._answer(lambda: client.fail("the query failed; it may have run"))

    def _finish(self, request: OpenRequest) -> ResponseSink | None:
        """Take the way back to the client, so that one final answer goes out at most."""
        client, request.response_sink = request.response_sink, None
        if client is not None:
            self.open_count -= 1
            if self.observer is not None or self.load_guard is not None:
                self._tell_of_close(request.client_request)
            if request.attempt is None:
                self.requests.pop(request.client_request.request_id, None)
        return client

    def _tell_of_close(self, taken: ClientRequest) -> None:
        # Danger: the way back to the client had been taken by then, and it got no answer where one of these
        # failed.
        try:
            if self.observer is not None:
                self.observer.on_request_closed(taken.request_id)
            if self.load_guard is not None and self.load_guard.guards(taken.query_class):
                self.load_guard.on_request_closed(taken.request_id)
        except Exception as error:
            self._watch_fault(error)

    def _answer(self, answer: Callable[[], None]) -> None:
        try:
            answer()
        except Exception as error:
            self.counters.add("answer_faults")
            self.say(f"answer: {type(error).__name__}: {error}")


def _held(request: OpenRequest, attempt: Attempt) -> bool:
    """Whether an attempt still waits to be remembered."""
    return request.attempt is attempt and attempt.connection is None
