"""Clients that disconnect or kill their query at each moment between the request and its answer.

After that no attempt is started for the request, and nothing is kept of it.
"""

from __future__ import annotations

from dataclasses import replace

import pytest

from cottonhold.scheduler.settings import Idempotency
from tests.support.scenario import LOAD, PERMITS, READ, SETTINGS, World

KEYED = replace(
    READ, name="keyed", idempotency=Idempotency.IDEMPOTENT_WITH_KEY, deduplication_window_ms=4000.0
)
CLASSES = (READ, LOAD, KEYED)
FEW_FEATURES = replace(PERMITS, can_cancel=False, has_priorities=False, has_retry_after=False, max_attempts=2)
SITES = {
    "all features": replace(SETTINGS, classes=CLASSES),
    "few features": replace(SETTINGS, classes=CLASSES, features=FEW_FEATURES),
}
DEPARTURES = {"closes": "c1 close", "kills": "c8 say KILL QUERY 1"}
CLASS_NAMES = ("lookup", "load", "keyed")


class SteppedWorld(World):
    """A world in which several events can happen before the dispatcher's next event-loop iteration."""

    is_paused = False

    def wait(self, ms: float) -> None:
        if not self.is_paused:
            super().wait(ms)

    def turn_begins(self, who: str, rest: str) -> None:
        self.is_paused = True

    def turn_decides(self, who: str, rest: str) -> None:
        """Make the scheduling decisions of an iteration, before anything is written."""
        self.gateway._step()

    def turn_ends(self, who: str, rest: str) -> None:
        self.is_paused = False


def assert_no_leftovers(world: World) -> None:
    """Assert that nothing is left of any finished request and that no step or action failed."""
    assert_no_leftover_request(world)
    assert not world.counters.counts["step_faults"] + world.counters.counts["action_faults"], world.log


def assert_no_leftover_request(world: World) -> None:
    """Assert that no finished request holds a sink, attempt, capacity or ordering key."""
    world.wait(300)
    gateway, scheduler = world.gateway, world.gateway.scheduler
    assert gateway.open_count == 0 and not gateway.requests
    assert not scheduler.queries and not scheduler.key_queues.queries_by_key and not scheduler.unplaced
    assert not [q for e in scheduler.engines.values() for q in (*e.in_flight.values(), *e.plan)]
    assert scheduler.in_flight.threads == 0
    assert not [a for line in world.engine_streams for a in line.connection.attempts]


# CLASS is replaced by the request's class, and LEAVES by the command with which its client leaves.
MOMENTS = {
    "while its request is queued": """
        list tell e1 gone
        list tell e2 gone
        c1 query CLASS r1 lookup=k1
        LEAVES
        list tell e1 live
        time wait 300
        any nothing there
    """,
    "between two attempts, in the turn in which the first one ended": """
        c1 query CLASS r1 lookup=k1
        e1 expect GET r1 *
        turn begins now
        e1 send r1 overload -
        LEAVES
        turn ends now
        any nothing there
    """,
    "between two attempts, while the next one is queued": """
        c1 query CLASS r1 lookup=k1
        e1 expect GET r1 *
        list tell e1 draining
        list tell e2 draining
        e1 send r1 overload -
        LEAVES
        list tell e2 live
        time wait 300
        any nothing there
    """,
    "during the connect for it": """
        e1 will vanish
        c1 query CLASS r1 lookup=k1
        time wait 40
        LEAVES
        time wait 100
        e1 will up
        time wait 20
        any nothing there
    """,
    "during the connect for its second attempt": """
        c1 query CLASS r1 lookup=k1
        e1 expect GET r1 *
        e2 will vanish
        e1 send r1 overload -
        time wait 100
        LEAVES
        e2 will up
        time wait 20
        any nothing there
    """,
    "between the decision and the write, on a connection that is up": """
        c9 query lookup r9
        e1 expect GET r9 *
        list tell e2 draining
        turn begins now
        c1 query CLASS r1 lookup=k1
        turn decides now
        LEAVES
        turn ends now
        e1 expect nothing
        e1 send r9 served count=1 a|b|c/
        any nothing there
    """,
    "between the decision and the connect": """
        turn begins now
        c1 query CLASS r1 lookup=k1
        turn decides now
        LEAVES
        turn ends now
        any nothing there
    """,
    "in the turn in which its request arrives": """
        turn begins now
        c1 query CLASS r1 lookup=k1
        LEAVES
        turn ends now
        any nothing there
    """,
    "with its answer in flight": """
        c1 query CLASS r1 lookup=k1
        e1 expect GET r1 *
        turn begins now
        e1 send r1 served count=1 a|b|c/
        LEAVES
        turn ends now
        any nothing there
    """,
    "with further requests pipelined": """
        c1 query CLASS r1 lookup=k1
        e1 expect GET r1 *
        turn begins now
        c1 query CLASS r2 lookup=k1
        c1 query CLASS r3 lookup=k1
        c1 close
        e1 send r1 overload -
        turn ends now
        time wait 300
        any nothing there
    """,
}


@pytest.mark.parametrize("departure", DEPARTURES)
@pytest.mark.parametrize("site", SITES)
@pytest.mark.parametrize("name", CLASS_NAMES)
@pytest.mark.parametrize("moment", MOMENTS)
def test_no_attempt_starts_after_the_client_disconnected(
    moment: str, name: str, site: str, departure: str
) -> None:
    world = SteppedWorld(SITES[site])
    for client in ("c1", "c8", "c9"):
        world.client(client)
    world.run(MOMENTS[moment].replace("CLASS", name).replace("LEAVES", DEPARTURES[departure]))
    assert_no_leftovers(world)
