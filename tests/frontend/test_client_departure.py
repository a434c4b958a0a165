"""Clients that leave at each moment between their request and its answer: nothing is started for them."""

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
    "much allowed": replace(SETTINGS, classes=CLASSES),
    "little allowed": replace(SETTINGS, classes=CLASSES, features=FEW_FEATURES),
}
DEPARTURES = {"closes": "c1 close", "kills": "c8 say KILL QUERY 1"}
CLASS_NAMES = ("lookup", "load", "keyed")


class Turns(World):
    """A world in which several things can happen before the dispatcher's next turn."""

    is_held = False

    def wait(self, ms: float) -> None:
        if not self.is_held:
            super().wait(ms)

    def turn_begins(self, who: str, rest: str) -> None:
        self.is_held = True

    def turn_decides(self, who: str, rest: str) -> None:
        """The decisions of a turn, before anything is written."""
        self.gateway._step()

    def turn_ends(self, who: str, rest: str) -> None:
        self.is_held = False


def assert_nothing_kept(world: World) -> None:
    """Assert that nothing is kept for a request that is over, and that nothing failed."""
    assert_no_request_kept(world)
    assert not world.counters.counts["step_faults"] + world.counters.counts["action_faults"], world.log


def assert_no_request_kept(world: World) -> None:
    """Assert that a request that is over holds no sink, attempt, capacity or ordering key."""
    world.wait(300)
    gateway, scheduler = world.gateway, world.gateway.scheduler
    assert gateway.open_count == 0 and not gateway.requests
    assert not scheduler.queries and not scheduler.key_queues.queries_by_key and not scheduler.unplaced
    assert not [q for e in scheduler.engines.values() for q in (*e.in_flight.values(), *e.plan)]
    assert scheduler.in_flight.threads == 0
    assert not [a for line in world.engine_streams for a in line.connection.attempts]


# CLASS is the class of the request and LEAVES what its client does.
MOMENTS = {
    "while its request is held": """
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
    "between two attempts, while the next one is held": """
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
    "while a connect for it is under way": """
        e1 will vanish
        c1 query CLASS r1 lookup=k1
        time wait 40
        LEAVES
        time wait 100
        e1 will up
        time wait 20
        any nothing there
    """,
    "while a connect for its second attempt is under way": """
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
    "in the turn in which its request comes": """
        turn begins now
        c1 query CLASS r1 lookup=k1
        LEAVES
        turn ends now
        any nothing there
    """,
    "with its answer on the way to it": """
        c1 query CLASS r1 lookup=k1
        e1 expect GET r1 *
        turn begins now
        e1 send r1 served count=1 a|b|c/
        LEAVES
        turn ends now
        any nothing there
    """,
    "with another request of its written behind the first": """
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
def test_nothing_is_started_for_a_client_that_left(moment: str, name: str, site: str, departure: str) -> None:
    world = Turns(SITES[site])
    for client in ("c1", "c8", "c9"):
        world.client(client)
    world.run(MOMENTS[moment].replace("CLASS", name).replace("LEAVES", DEPARTURES[departure]))
    assert_nothing_kept(world)
