"""The gateway with a load guard: loads are recorded before they are sent, and retries are looked up."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from cottonhold.backend.attempt import Attempt
from cottonhold.backend.connection import Connection
from cottonhold.node.client_request import ClientRequest
from cottonhold.node.load_guard import LoadOutcome, LoadOutcomeCallback
from cottonhold.scheduler.events import Outcome
from tests.support.scenario import World


class Guard:
    """A load guard whose answers are given by the steps of a scenario."""

    def __init__(self) -> None:
        self.pending_outcomes: list[LoadOutcomeCallback] = []
        self.pending_records: list[Callable[[bool], None]] = []
        self.outcomes: list[str] = []
        self.closed_ids: list[str] = []
        self.is_unavailable = False

    def guards(self, query_class: int) -> bool:
        return query_class == 1

    def on_load_arrived(
        self, request: ClientRequest, deadline: float, on_outcome: LoadOutcomeCallback
    ) -> None:
        if self.is_unavailable:
            on_outcome(LoadOutcome.NOT_KNOWN_YET, 300.0)
        elif request.is_retry:
            self.pending_outcomes.append(on_outcome)
        else:
            on_outcome(LoadOutcome.NEVER_RAN, 0.0)

    def before_attempt_sent(
        self, attempt: Attempt, request: ClientRequest, on_recorded: Callable[[bool], None]
    ) -> None:
        assert attempt.connection is None
        self.pending_records.append(on_recorded)

    def on_attempt_ended(self, attempt: Attempt, outcome: Outcome | None) -> None:
        self.outcomes.append("never" if outcome is None else outcome.value)

    def on_request_closed(self, request_id: str) -> None:
        self.closed_ids.append(request_id)


class Guarded(World):
    """A world with a `Guard`, and the scenario steps that control it."""

    def __init__(self) -> None:
        super().__init__()
        self.gateway.notifications.load_guard = self.guard = Guard()

    def past_is(self, who: str, rest: str) -> None:
        outcome_name, _, ms = rest.partition(" ")
        self.guard.pending_outcomes.pop(0)(LoadOutcome(outcome_name), float(ms or 0))

    def disk_goes(self, who: str, rest: str) -> None:
        self.guard.is_unavailable = True

    def disk_writes(self, who: str, rest: str) -> None:
        self.guard.pending_records.pop(0)(True)

    def disk_fails(self, who: str, rest: str) -> None:
        self.guard.pending_records.pop(0)(False)

    def end_is(self, who: str, rest: str) -> None:
        assert self.guard.outcomes == rest.split(), self.guard.outcomes


SCENARIOS = {
    "nothing of a load is sent before it is recorded": """
        c1 query load r1 allow=20000
        any nothing there
        disk writes it
        e1 expect GET r1 *
        e1 send r1 served count=1 a|b|c/
        c1 expect rows a|b|c
        end is ok
    """,
    "a load that can't be recorded is rejected at once, without blame for an engine": """
        c1 query load r1 allow=20000
        disk fails it
        c1 expect error 1226 *cooldown=*
        any nothing there
        end is never
        c1 query lookup r2
        any expect GET r2 *
    """,
    "a stalled disk delays a load no longer than to its deadline": """
        c1 query load r1 allow=3000
        time wait 2590
        c1 expect error 1226 *
        disk writes it
        any nothing there
    """,
    "nothing is sent for a client that leaves while its load is being recorded": """
        c1 query load r1 allow=20000
        c1 close
        disk writes it
        any nothing there
        end is never
        c2 query load r1 allow=20000
        disk writes it
        any expect GET r1 *
    """,
    "nothing is sent for a client that leaves during the connect of its recorded load": """
        e1 will vanish
        c1 query load r1 allow=20000
        disk writes it
        c1 close
        time wait 200
        e1 will up
        time wait 20
        any nothing there
        end is moot
    """,
    "nothing is sent for a query killed between its record and its write": """
        c1 query load r1 allow=20000
        e1 will vanish
        disk writes it
        c2 say KILL QUERY 1
        c1 expect error 1317 *
        e1 will up
        time wait 1
        any nothing there
        end is moot
    """,
    "a load rejected on arrival leaves its session usable": """
        disk goes away
        c1 query load r1 allow=20000
        c1 expect error 1226 *cooldown=300*
        c1 query lookup r2
        any expect GET r2 *
    """,
    "idempotent queries are not recorded": """
        c1 query lookup r1
        e1 expect GET r1 *
    """,
    "a completed load is not run again": """
        c1 query load r1 allow=20000,dup=1
        past is well
        c1 expect rows *
        any nothing there
    """,
    "a load that may have run fails": """
        c1 query load r1 allow=20000,dup=1
        past is may
        c1 expect error 1105 *may have run*
        any nothing there
    """,
    "a load of unknown outcome is to be retried later": """
        c1 query load r1 allow=20000,dup=1
        c1 expect nothing
        past is later 750
        c1 expect error 1226 *cooldown=750*
    """,
    "a load that never ran is sent": """
        c1 query load r1 allow=25000,dup=1
        past is never
        disk writes it
        any expect GET r1 *
    """,
    "a client that leaves while other dispatchers are queried is forgotten": """
        c1 query load r1 allow=20000,dup=1
        c1 close
        past is never
        any nothing there
        c2 query load r1 allow=20000
        disk writes it
        any expect GET r1 *
    """,
}


@pytest.mark.parametrize("script", SCENARIOS.values(), ids=SCENARIOS)
def test_guarded_loads(script: str) -> None:
    world = Guarded()
    world.run(script)
    assert len(world.guard.closed_ids) == len(set(world.guard.closed_ids))
    assert world.gateway.open_count == sum(
        r.response_sink is not None for r in world.gateway.requests.values()
    )
    assert not world.counters.counts.get("action_faults") and not world.counters.counts.get("step_faults")


@pytest.mark.parametrize("cause", ["given up", "closed", "cut by the other side"])
def test_an_attempt_reported_as_unsent_is_never_written(cause: str) -> None:
    """The attempt is queued for the stream's next write when its connection ends."""
    world, outcomes = World(engines="a"), list[Outcome]()
    world.gateway.on_attempt_ended = lambda attempt, event: outcomes.append(event.outcome)  # type: ignore[method-assign]
    attempt = Attempt("r1", 0, "a", "load", b"insert", 1, world.clock.now(), world.clock.now() + 5000.0)
    assert world.engines.send(attempt)
    connection = attempt.connection
    assert isinstance(connection, Connection)
    connection.on_connected()
    {"given up": connection.abandon, "closed": connection.close}.get(cause, connection.on_closed)()
    assert outcomes == [Outcome.CONNECT_FAILED]
    assert connection.pop_output() == b""
