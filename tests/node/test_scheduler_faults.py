"""Faults in the scheduler: each fails one request only, and all others are answered."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator

import pytest

from cottonhold.backend.attempt import Attempt
from cottonhold.backend.connection import Connection
from cottonhold.backend.endpoint import EngineEndpoint
from cottonhold.backend.liveness_monitor import LivenessMonitor
from cottonhold.frontend.mysql_session import Session
from cottonhold.node.client_request import ClientRequest
from cottonhold.node.load_guard import LoadOutcome, LoadOutcomeCallback
from cottonhold.scheduler.actions import Action, Reject, Send
from cottonhold.scheduler.events import Event, Outcome
from tests.frontend.test_client_departure import SITES, SteppedWorld, assert_no_leftover_request
from tests.node.test_load_guard import Guard

FAULTY_REQUEST_ID = f"{9:016x}"


class FaultyWorld(SteppedWorld):
    """A world whose scheduler raises an exception at a given type of event of request 9."""

    def __init__(self, fails: str) -> None:
        super().__init__(SITES["all features"])
        self.fails, self.step = fails, self.gateway.scheduler.step
        self.gateway.scheduler.step = self.broken  # type: ignore[method-assign]
        self.faults = 0
        for client in ("c1", "c2", "c9"):
            self.client(client)

    def broken(self, now: float, events: Iterable[Event]) -> list[Action]:
        actions = self.step(now, self.failing_events(events))
        if self.fails == "behind the events" and self.faults < 3:
            self.fail()
        return actions

    def failing_events(self, events: Iterable[Event]) -> Iterator[Event]:
        for event in events:
            # The containment itself reports an attempt with this outcome, which must not fail again.
            has_ended = getattr(event, "outcome", None) is Outcome.NOT_STARTED
            if (
                self.fails == type(event).__name__
                and getattr(event, "query_id", "") == FAULTY_REQUEST_ID
                and not has_ended
            ):
                self.fail()
            yield event

    def fail(self) -> None:
        self.faults += 1
        raise LookupError("planted")

    def assert_settled(self) -> None:
        """Assert that all requests are answered, and that no state remains of closed ones."""
        for client in self.clients:
            self.run(f"{client} close")
        self.run("time wait 300")
        gateway, scheduler = self.gateway, self.gateway.scheduler
        assert self.faults and gateway.open_count == 0 and not gateway.requests and not scheduler.queries
        assert not [q for e in scheduler.engines.values() for q in (*e.in_flight.values(), *e.plan)]


def test_a_fault_in_an_arrival_fails_only_that_request() -> None:
    world = FaultyWorld("QueryArrived")
    world.run("""
        turn begins now
        c1 query lookup r1
        c9 query lookup r9
        c2 query lookup r2
        turn ends now
        c9 expect error 1105 *
        c1 expect nothing
        c2 expect nothing
        time wait 150
    """)
    requested = sorted(words[1] for stream in world.engine_streams for words in stream.received)
    assert requested == [b"%016x" % 1, b"%016x" % 2]
    world.assert_settled()


def test_an_engine_list_change_after_a_fault_still_applies() -> None:
    world = FaultyWorld("QueryArrived")
    world.run("""
        c1 query lookup r1
        e1 expect GET r1 *
        e1 send r1 served count=1 a|b|c/
        c1 expect rows a|b|c
        turn begins now
        c9 query lookup r9
        list tell e1 draining
        list tell e2 draining
        turn ends now
        c9 expect error 1105 *
        c2 query lookup r2
        any nothing there
        c2 expect nothing
    """)
    world.assert_settled()


def test_a_fault_in_an_attempts_end_fails_its_request_and_frees_its_ordering_key() -> None:
    world = FaultyWorld("AttemptEnded")
    world.run("""
        c9 query load r9 lookup=k1
        e1 expect GET r9 *
        turn begins now
        e1 send r9 overload -
        c2 query load r2 lookup=k1
        turn ends now
        c9 expect error 1105 *
    """)
    second = next(stream.engine for stream in world.engine_streams if stream.received)
    world.run(f"{second} expect GET r2 *\n{second} send r2 served count=1 a|b|c/\nc2 expect rows a|b|c")
    world.assert_settled()


def test_a_request_lost_by_a_fault_fails_by_its_deadline() -> None:
    world = FaultyWorld("")
    world.run("list tell e1 gone\nlist tell e2 gone\nc1 query lookup r1 allow=1000\nc1 expect nothing")
    world.gateway.scheduler.queries.clear()
    world.gateway.scheduler.unplaced.clear()
    world.gateway.scheduler.deadlines.heap.clear()
    world.fails = "QueryArrived"
    world.run("c9 query lookup r9\nc9 expect error 1105 *\ntime wait 950\nc1 expect error 1105 *")
    world.assert_settled()


def test_a_queued_request_is_answered_in_time_after_a_failed_step() -> None:
    """The failed step sets no timer, and an idle process has no later events that would end the request."""
    world = FaultyWorld("")
    world.run("list tell e1 gone\nlist tell e2 gone\nc1 query lookup r1 allow=1000\nc1 expect nothing")
    world.fails = "behind the events"
    world.run("time wait 950\nc1 expect error 1226 *")
    world.assert_settled()


@pytest.mark.parametrize(("name", "allow"), [("send", 5000), ("_reject", 20)])
def test_a_failed_action_ends_only_its_request(
    name: str, allow: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    world = FaultyWorld("")
    owner: object = world.gateway.attempts if name == "send" else world.gateway
    original = getattr(owner, name)

    def broken(action: Send | Reject) -> None:
        if action.query_id == FAULTY_REQUEST_ID:
            world.fail()
        original(action)

    monkeypatch.setattr(owner, name, broken)
    world.run(f"turn begins now\nc9 query lookup r9 allow={allow}\nc1 query lookup r1\nturn ends now")
    world.run("c9 expect error 1105 *\nc1 expect nothing")
    assert [words[1] for stream in world.engine_streams for words in stream.received] == [b"%016x" % 1]
    world.assert_settled()


class FailingGuard(Guard):
    """A load guard that raises an exception in one of its methods."""

    def __init__(self, fails: str) -> None:
        super().__init__()
        self.fails = fails

    def fail_at(self, name: str) -> None:
        if self.fails == name:
            raise OSError("planted")

    def on_load_arrived(
        self, request: ClientRequest, deadline: float, on_outcome: LoadOutcomeCallback
    ) -> None:
        self.fail_at("on_load_arrived")
        on_outcome(LoadOutcome.NEVER_RAN, 0.0)

    def before_attempt_sent(
        self, attempt: Attempt, request: ClientRequest, on_recorded: Callable[[bool], None]
    ) -> None:
        self.fail_at("before_attempt_sent")
        on_recorded(True)

    def on_attempt_ended(self, attempt: Attempt, outcome: Outcome | None) -> None:
        self.fail_at("on_attempt_ended")

    def on_request_closed(self, request_id: str) -> None:
        self.fail_at("on_request_closed")


@pytest.mark.parametrize(
    "fails", ["on_load_arrived", "before_attempt_sent", "on_attempt_ended", "on_request_closed"]
)
@pytest.mark.parametrize("end", ["served", "overload", "reset", "left"])
def test_a_load_guard_fault_costs_no_request_its_answer(fails: str, end: str) -> None:
    world = SteppedWorld(SITES["all features"])
    world.gateway.notifications.load_guard = FailingGuard(fails)
    world.run("c1 query load r1 allow=1000,effort=20.0")
    if fails in ("on_load_arrived", "before_attempt_sent"):
        world.run("c1 expect error 1105 *\nany nothing there")
    elif end == "served":
        world.run("e1 expect GET r1 *\ne1 send r1 served count=1 a|b|c/\nc1 expect rows a|b|c")
    elif end == "overload":
        world.run("e1 expect GET r1 *\ne1 send r1 overload -\ne2 expect GET r1 *\ne2 close")
        world.run("c1 expect error 1105 *")
    elif end == "reset":
        world.run("e1 expect GET r1 *\ne1 close\nc1 expect error 1105 *")
    else:
        world.run("e1 expect GET r1 *\nc1 close\ne1 send r1 served count=1 a|b|c/")
    assert_no_leftover_request(world)
    world.run("c2 query lookup r2\nany expect GET r2 *")
    assert world.counters.counts["watch_faults"] + world.counters.counts["action_faults"]


def test_a_fault_in_checking_one_engine_leaves_the_others_checked(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    world = SteppedWorld(SITES["few features"]).run("c2 query load r2 allow=20000\ne1 expect GET r2 *")
    world.run("list tell e1 draining\ne2 will mute\nc1 query load r1 allow=20000\ne2 expect GET r1 *")
    check_connection = LivenessMonitor.check_connection

    def broken(
        monitor: LivenessMonitor, endpoint: EngineEndpoint, connection: Connection, now: float
    ) -> bool:
        if connection is world.engine_streams[0].connection:
            raise LookupError("planted")
        return check_connection(monitor, endpoint, connection, now)

    monkeypatch.setattr(LivenessMonitor, "check_connection", broken)
    world.run("time wait 2100\nc1 expect error 1105 *may have run*")
    world.run("e1 send r2 served count=1 a|b|c/\nc2 expect rows a|b|c")
    assert world.counters.counts["check_faults"]


def test_a_fault_in_checking_one_client_leaves_the_others_checked(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    world = SteppedWorld(SITES["few features"])
    world.client("c1"), world.client("c2")
    check = Session.check_timeouts

    def broken(session: Session, now: float) -> None:
        if session is world.clients["c1"].session:
            raise LookupError("planted")
        check(session, now)

    monkeypatch.setattr(Session, "check_timeouts", broken)
    world.clients["c2"].session.has_sent_command = True
    world.run("time wait 5300\nc2 closing")
    assert world.clients["c1"].session.is_closed and world.counters.counts["check_faults"]
