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

from cottonhold.backend.connection_pool import Attempt, Engines
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


HeardProbe = Callable[[str, Outcome, dict[str, float]], None]


class Watch(Protocol):
    """Who is told of requests and attempts as they come and end; it decides nothing about them."""

    def arrived(self, taken: Taken) -> float | None:
        """A request has come; returns its draw, 0 to 1, where there may be a price."""

    def offered(self, taken: Taken, worth: float, work: float) -> None:
        """What the scheduler takes it to be worth, and its work in thread ms."""

    def let_in(self, wait: float, lost: bool) -> None:
        """One that was let in went out after a part of its time, or was refused after all."""

    def closed(self, ref: str) -> None:
        """A request is over for its client."""

    def sent(self, attempt: Attempt, query_class: int) -> None:
        """An attempt has gone out."""

    def ended(self, attempt: Attempt, event: AttemptEnded) -> None:
        """An attempt has ended."""


class Past(Enum):
    """What is known of a load that a client asks for again, or for the first time."""

    NEVER = "never"  # it was never sent: it may be
    WELL = "well"  # it has run to its end
    MAY = "may"  # it may have run: it must not be sent
    LATER = "later"  # nobody can say yet


Settled = Callable[[Past, float], None]


class LoadGuard(Protocol):
    """Who keeps what became of loads beyond this process's life: it says what may go out, not where."""

    def guards(self, query_class: int) -> bool:
        """Whether requests of a class are its matter."""

    def came(self, taken: Taken, until: float, settled: Settled) -> None:
        """A load has come; `settled` is called once, now or by `until`, with ms to stay away for LATER."""

    def sending(self, attempt: Attempt, taken: Taken, kept: Callable[[bool], None]) -> None:
        """An attempt is about to go out; `kept` is told once that this will be remembered, or can't be."""

    def ended(self, attempt: Attempt, outcome: Outcome | None) -> None:
        """An attempt has ended; None: it was never started."""

    def closed(self, ref: str) -> None:
        """A request is over for its client; an attempt of its may still be out."""


class Client(Protocol):
    """The way back to the client of one request; called once at most."""

    def served(self, rows: Rows) -> None:
        """The whole result."""

    def refused(self, retry_after: float) -> None:
        """Turned away; trying again is harmless."""

    def failed(self, why: str) -> None:
        """Failed, which promises nothing."""


@dataclass(slots=True, frozen=True)
class Taken:
    """A request as a client protocol read it."""

    ref: str
    query_class: int  # its place in the settings under which it was taken
    service: str  # and its name
    taken_at: float
    allow: float
    effort: float
    room: float
    tables: int
    key: str | None
    retry: bool
    body: bytes
    tenant: int = 0  # its place in the settings
    token: str | None = None  # the client's idempotency key


@dataclass(slots=True, eq=False)
class Request:
    """A request that is owed an answer, or whose attempt still lacks its end."""

    taken: Taken
    due: float
    client: Client | None
    attempts: int = 0
    priority: int = 1
    attempt: Attempt | None = None
    let_in: bool = False  # not refused in the step in which it came


class DuplicateRef(Exception):
    """A request under an id that is still in use."""


class Gateway:
    """All open requests, with the scheduler that decides about them."""

    def __init__(
        self,
        settings: Settings,
        seed: int,
        clock: Clock,
        engines: Engines,
        counters: Counters,
        say: Callable[[str], None],
    ) -> None:
        self.clock, self.engines = clock, engines
        self._adopt(settings)
        self.counters, self.say = counters, say
        self.scheduler = Scheduler(settings, seed)
        self.requests: dict[str, Request] = {}
        self.events: list[Event] = []
        self.stepping = False
        self.distrusted = False  # a step has failed
        self.until = math.inf  # what has no answer by then never gets one
        self.open = 0
        self.tell: Callable[[SendToPeer], None] = lambda tell: None
        self.heard_probe: HeardProbe = lambda engine, outcome, report: None
        self.watch: Watch | None = None
        self.loads: LoadGuard | None = None
        engines.listener = self

    def retune(self, settings: Settings) -> None:
        """Other settings from now on; requests that are open keep what they were taken under."""
        self._adopt(settings)
        self.push(SettingsChanged(settings))

    def _adopt(self, settings: Settings) -> None:
        """The settings in force, and the places of their classes and tenants by name."""
        self.settings = settings
        self.kinds = {cls.name: place for place, cls in enumerate(settings.classes)}
        self.tenants = {tenant.name: place for place, tenant in enumerate(settings.tenants)}

    def leave(self, until: float) -> None:
        """This process ends: what has no answer by then (own clock) never gets one.

        Danger: the module went by the clients' time. So it held and began what SIGKILL then found: two in a
        hundred requests of a day of restarts, most of them reports and loads, got no answer, nor could their
        clients ask elsewhere. What is out goes first at its engine: it has run in part, and is lost else.
        """
        self.until = until
        for request in self.requests.values():
            request.due = min(request.due, until)
            if request.attempt is not None:
                self.engines.hasten(request.attempt, request.due - ANSWER_MS)
                if self.settings.features.has_priorities:
                    self.engines.rank(request.attempt, MOST_PRIORITY)
        self.push(ShutdownStarted(until))

    # --- what happens ---

    def push(self, event: Event) -> None:
        """Note an event; all of one turn of the loop go into one step."""
        self.events.append(event)
        if not self.stepping:
            self.stepping = True
            self.clock.call_soon(self._step)

    def change_list(self, change: Change) -> None:
        """The engine list has changed."""
        self.engines.apply(change)
        self.push(EngineList(change.engines, change.whole))

    def take(self, taken: Taken, client: Client) -> Request:
        """A request has come whole."""
        if taken.ref in self.requests:
            raise DuplicateRef(taken.ref)
        due = min(taken.taken_at + taken.allow - min(LAG_MS, taken.allow * LAG_PART), self.until)
        request = self.requests[taken.ref] = Request(taken, due, client)
        self.open += 1
        self.counters.add("requests_taken")
        try:
            if self.loads is not None and self.loads.guards(taken.query_class):
                self.loads.came(taken, due, lambda past, ms: self._settled(request, past, ms))
            else:
                self._arrive(request)
        except Exception as error:
            # Danger: its connection was closed with what had been read on it unanswered.
            self._watch_fault(error)
            self.clock.call_soon(lambda: self._abandon(taken.ref))
        return request

    def _settled(self, request: Request, past: Past, ms: float) -> None:
        """What became of a load before is known: only one that never ran becomes the scheduler's."""
        if request.client is None:
            return
        if past is Past.NEVER:
            self._arrive(request)
        else:
            # Danger: answered while it was being taken, a session had its answer before it knew of a request,
            # waited for another one for good, and its next query got none.
            self.clock.call_soon(lambda: self._answer_past(request, past, ms))

    def _answer_past(self, request: Request, past: Past, ms: float) -> None:
        client = self._finish(request)
        if client is None:
            return
        self.counters.add(f"loads_{past.value}")
        if past is Past.LATER:
            self.counters.add("answers_refused")
            self._answer(lambda: client.refused(ms))
        elif past is Past.WELL:
            self.counters.add("answers_served")
            self._answer(lambda: client.served([]))
        else:
            self.counters.add("answers_failed")
            self._answer(lambda: client.failed("the load was sent before; it may have run"))

    def _arrive(self, request: Request) -> None:
        taken = request.taken
        draw = self.watch.arrived(taken) if self.watch is not None else None
        self.push(
            QueryArrived(
                taken.ref,
                taken.query_class,
                request.due,
                estimated_work_ms=taken.effort,
                estimated_memory_mb=taken.room,
                table_group=taken.tables,
                tenant=taken.tenant,
                ordering_key=taken.key,
                is_retry=taken.retry,
                admission_draw=draw,
            )
        )

    def end(self, ref: str, word: str, answer: Callable[[Client], None]) -> None:
        """The guard of loads ends a request that has no attempt out: it was served elsewhere, or it is not to
        be sent from here any more. word: `served`, `refused` or `failed`, for the count."""
        request = self.requests.get(ref)
        if request is not None and request.attempt is None and (client := self._finish(request)):
            self.counters.add(f"answers_{word}")
            self.push(ClientDisconnected(ref))
            self._answer(lambda: answer(client))

    def client_gone(self, request: Request) -> None:
        """The client has left: nothing is owed, but an attempt that is out still ends."""
        if self._finish(request) is not None:
            self.counters.add("clients_gone")
            self.push(ClientDisconnected(request.taken.ref))

    def wants(self, attempt: Attempt) -> bool:
        """Whether an attempt that has not begun may still begin: its client waits, and for this attempt."""
        request = self.requests.get(attempt.query)
        return request is not None and request.client is not None and request.attempt is attempt

    def attempt_ended(self, attempt: Attempt, event: AttemptEnded) -> None:
        """The engines tell of an attempt's end; a served one answers the client at once."""
        if self.watch is not None or self.loads is not None:
            self._tell_of_end(attempt, event)
        request = self.requests.get(attempt.query)
        if request is None:
            return
        request.attempt = None
        if event.outcome is Outcome.OK and (client := self._finish(request)):
            self.counters.add("answers_served")
            self._answer(lambda: client.served(attempt.rows()))
        self._report(request, event)

    def _tell_of_end(self, attempt: Attempt, event: AttemptEnded) -> None:
        # Danger: where one of these failed, nobody else heard of the end: the request was never answered.
        try:
            if self.watch is not None:
                self.watch.ended(attempt, event)
            if self.loads is not None:
                self.loads.ended(attempt, event.outcome)
        except Exception as error:
            self._watch_fault(error)

    def _watch_fault(self, error: Exception) -> None:
        self.counters.add("watch_faults")
        self.say(f"watch: {type(error).__name__}: {error}")

    def _report(self, request: Request, event: AttemptEnded) -> None:
        over = request.client is None
        if over:
            self.requests.pop(request.taken.ref, None)
        self.push(dataclasses.replace(event, is_final=over))

    def probed(self, engine: str, outcome: Outcome, report: dict[str, float]) -> None:
        """The engines tell of a probe's end."""
        self.push(HealthCheckCompleted(engine, outcome, report))
        self.heard_probe(engine, outcome, report)

    # --- what is decided ---

    def _step(self) -> None:
        self.stepping, events = False, self.events
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
        if not self.distrusted:
            self.distrusted = True
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
        for request in [r for r in self.requests.values() if r.client is not None and now >= r.due]:
            self.counters.add("requests_lost_by_step")
            self._abandon(request.taken.ref)
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
                if not self.engines.probe(engine):
                    self.push(HealthCheckCompleted(engine, self.engines.unsendable()))
            case SendToPeer():
                self.tell(action)
            case SetTimer(after, token):
                self.clock.call_in(after, lambda: self.push(TimerExpired(token)))
            case LogLine(text):
                self.say(text)
            case DemandEstimate():
                self._offered(action)

    def _offered(self, action: DemandEstimate) -> None:
        request = self.requests.get(action.query_id)
        if self.watch is not None and request is not None:
            self.watch.offered(request.taken, action.utility, action.work_ms)
            self.clock.call_soon(lambda: self._let_in(request))

    def _let_in(self, request: Request) -> None:
        request.let_in = True

    def _send(self, action: Send) -> None:
        request, now = self.requests.get(action.query_id), self.clock.now()
        if request is None or request.client is None:
            # Danger: where a client left in the turn in which its next attempt was decided on, that attempt
            # stayed out for good: it kept its room and its key's turn, and its engine was doubted as silent.
            self._forget_attempt(action.query_id, action.engine)
            return
        number, request.attempts = request.attempts, request.attempts + 1
        until = min(
            request.due - ANSWER_MS, now + action.timeout_ms if action.timeout_ms > 0 else request.due
        )
        taken = request.taken
        attempt = Attempt(
            action.query_id,
            number,
            action.engine,
            taken.service,
            taken.body,
            request.priority,
            began=now,
            until=until,
            begin_by=action.begin_deadline,
            token=taken.token,
        )
        request.attempt = attempt
        if self.watch is not None:
            self.watch.sent(attempt, taken.query_class)
            if number == 0:
                self.watch.let_in((now - taken.taken_at) / taken.allow, lost=False)
        if self.loads is None or not self.loads.guards(taken.query_class):
            self._start(request, attempt)
            return
        # Danger: sent before the record of it was on the disk, a load ran and nobody knew of it after a power
        # loss. So it waits for the disk, within its own time.
        self.loads.sending(attempt, taken, lambda kept: self._kept(request, attempt, kept))
        if _held(request, attempt):
            self.clock.call_in(until - now, lambda: self._kept(request, attempt, False))

    def _kept(self, request: Request, attempt: Attempt, kept: bool) -> None:
        """A load will be remembered, so that it may go out; or it won't be, in time or at all."""
        if not _held(request, attempt):
            return
        if kept and request.client is not None:
            self._start(request, attempt)
        else:
            self._never(request, attempt, Outcome.ALREADY_FINISHED)

    def _start(self, request: Request, attempt: Attempt) -> None:
        if not self.engines.send(attempt):
            self._never(request, attempt, self.engines.unsendable())

    def _never(self, request: Request, attempt: Attempt, outcome: Outcome) -> None:
        """An attempt of which nothing was tried."""
        request.attempt = None
        never = AttemptEnded(attempt.query, attempt.number, attempt.engine, outcome, 0.0)
        if self.watch is not None:  # it says nothing of the engine
            self.watch.ended(attempt, dataclasses.replace(never, outcome=Outcome.ALREADY_FINISHED))
        if self.loads is not None:
            self.loads.ended(attempt, None)
        self._report(request, never)

    def _terms(self, action: UpdateAttempt) -> None:
        if request := self.requests.get(action.query_id):
            request.priority = action.priority
            if request.attempt is not None:
                self.engines.rank(request.attempt, action.priority)

    def _cancel(self, action: Cancel) -> None:
        request = self.requests.get(action.query_id)
        if request and request.attempt is not None and request.attempt.number == action.attempt:
            self._kept(request, request.attempt, False)
            if request.attempt is not None:
                self.engines.drop(request.attempt, Outcome.CANCELLED)

    def _refuse(self, action: Reject) -> None:
        if (request := self.requests.get(action.query_id)) and (client := self._finish(request)):
            self.counters.add("answers_refused")
            if self.watch is not None and request.let_in and not request.attempts:
                self.watch.let_in(1.0, lost=True)
            self._answer(lambda: client.refused(action.retry_after_ms))

    def _fail(self, action: Fail) -> None:
        if (request := self.requests.get(action.query_id)) and (client := self._finish(request)):
            self.counters.add("answers_failed")
            self._answer(lambda: client.failed("the query failed; it may have run"))

    def _finish(self, request: Request) -> Client | None:
        """Take the way back to the client, so that one final answer goes out at most."""
        client, request.client = request.client, None
        if client is not None:
            self.open -= 1
            if self.watch is not None or self.loads is not None:
                self._tell_of_close(request.taken)
            if request.attempt is None:
                self.requests.pop(request.taken.ref, None)
        return client

    def _tell_of_close(self, taken: Taken) -> None:
        # Danger: the way back to the client had been taken by then, and it got no answer where one of these
        # failed.
        try:
            if self.watch is not None:
                self.watch.closed(taken.ref)
            if self.loads is not None and self.loads.guards(taken.query_class):
                self.loads.closed(taken.ref)
        except Exception as error:
            self._watch_fault(error)

    def _answer(self, answer: Callable[[], None]) -> None:
        try:
            answer()
        except Exception as error:
            self.counters.add("answer_faults")
            self.say(f"answer: {type(error).__name__}: {error}")


def _held(request: Request, attempt: Attempt) -> bool:
    """Whether an attempt still waits to be remembered."""
    return request.attempt is attempt and attempt.connection is None
