"""The reaction to each way in which an attempt can end, for each idempotency and deduplication scope."""

from __future__ import annotations

from dataclasses import replace

import pytest

from cottonhold.discovery.model import Address, EngineListChange
from cottonhold.scheduler.events import UNKNOWN_PLACE, Engine, EngineState
from cottonhold.scheduler.settings import DeduplicationScope, Idempotency
from tests.frontend.test_client_departure import assert_no_leftovers
from tests.support.scenario import PERMITS, READ, SETTINGS, World

ALLOW_MS, WINDOW_MS = 4000, 2000.0
NEVER_RAN, MAY_HAVE_RUN, ALREADY_FINISHED, MAY_HAVE_RUN_PAST_WINDOW = (
    "never ran",
    "may have run",
    "was over",
    "may have run, past the window",
)
ATTEMPT_ENDS = {
    "turned away": (NEVER_RAN, "e1 send r1 overload -"),
    "over at the engine": (ALREADY_FINISHED, "e1 send r1 nobody -"),
    "crashed": (MAY_HAVE_RUN, "e1 send r1 crashed -"),
    "reset": (MAY_HAVE_RUN, "e1 close"),
    "a page lost": (MAY_HAVE_RUN, "e1 send r1 served count=2 a|b|c/\ne1 expect PAGE r1 1\ne1 close"),
    "a page forgotten": (
        MAY_HAVE_RUN,
        "e1 send r1 served count=2 a|b|c/\ne1 expect PAGE r1 1\ne1 send r1 crashed -",
    ),
    "spoilt": (MAY_HAVE_RUN, "e1 send r1 served count=1 a|b/"),
    "an answer that stops short": (MAY_HAVE_RUN, "e1 raw *4\ntime wait 750"),
    "reset late": (MAY_HAVE_RUN_PAST_WINDOW, "time wait 2100\ne1 close"),
    "a page lost late": (
        MAY_HAVE_RUN_PAST_WINDOW,
        "time wait 1900\ne1 send r1 served count=2 a|b|c/\ne1 expect PAGE r1 1\ntime wait 200\ne1 close",
    ),
}
ELSEWHERE = {"same cell": (0, 1), "other cell": (0, 2), "other zone": (1, 1)}  # zone and cell
SCOPE_COVERS = {"all": set(ELSEWHERE), "zone": {"same cell", "other cell"}, "cell": {"same cell"}}
CASES = [
    (effect, group)
    for effect in ("safe", "keyed", "unsafe")
    for group in (SCOPE_COVERS if effect == "keyed" else ["all"])
]


def list_engine(world: World, name: str, zone: int, cell: int, state: str = "live") -> None:
    entry = Engine(name, zone=zone, cell=cell, state=EngineState(state))
    world.gateway.on_engine_list(EngineListChange((entry,), {name: Address(name, 1)}, False))
    world.wait(0)


def expected_reaction(effect: str, group: str, evidence: str, elsewhere: str) -> str:
    """Return the expected reaction: a further attempt, an answer, or a wait that ends with an answer."""
    if evidence is NEVER_RAN:
        return "attempt"
    if evidence is ALREADY_FINISHED:
        return "refusal"
    if effect == "safe":
        return "attempt"
    if effect == "unsafe":
        return "failure"
    if evidence is MAY_HAVE_RUN_PAST_WINDOW:
        return "refusal" if group == "all" else "failure"
    return "attempt" if elsewhere in SCOPE_COVERS[group] else "wait"


@pytest.mark.parametrize("elsewhere", ELSEWHERE)
@pytest.mark.parametrize("end", ATTEMPT_ENDS)
@pytest.mark.parametrize(("effect", "group"), CASES)
def test_what_follows_an_attempt(effect: str, group: str, end: str, elsewhere: str) -> None:
    query_class = replace(
        READ,
        idempotency=Idempotency(effect),
        deduplication_scope=DeduplicationScope(group),
        deduplication_window_ms=WINDOW_MS,
    )
    features = replace(PERMITS, can_cancel=False)  # else a slow idempotent attempt is cancelled
    world = World(replace(SETTINGS, classes=(query_class,), features=features), engines="a")
    # Otherwise a query that is late already is not sent, as the fleet may be full.
    world.gateway.scheduler.fleet_utilization = 0.1
    list_engine(world, "a", 0, 1)
    world.run(f"c1 query lookup r1 allow={ALLOW_MS}\ne1 expect GET r1 *")
    world.unlabelled_engines.append("b")
    list_engine(world, "a", 0, 1, "draining")
    list_engine(world, "b", *ELSEWHERE[elsewhere])
    evidence, script = ATTEMPT_ENDS[end]
    world.run(script)
    expected = expected_reaction(effect, group, evidence, elsewhere)
    if expected == "attempt":
        world.run(
            "e2 expect GET r1 *\nc1 expect nothing\ne2 send r1 served count=1 x|y|z/\nc1 expect rows x|y|z"
        )
    elif expected == "wait":
        world.run(f"any nothing there\nc1 expect nothing\ntime wait {ALLOW_MS}\nc1 expect error 1105 *")
    else:
        world.run(f"c1 expect error {1226 if expected == 'refusal' else 1105} *")
    world.run("any nothing there\ntime wait 1000\nany nothing there\nc1 expect nothing")
    assert_no_leftovers(world)


def keyed_world(scope: str) -> World:
    """Return a world with one class whose repeats are dropped within a scope, and an engine `a`."""
    query_class = replace(
        READ,
        idempotency=Idempotency.IDEMPOTENT_WITH_KEY,
        deduplication_scope=DeduplicationScope(scope),
        deduplication_window_ms=WINDOW_MS,
    )
    features = replace(PERMITS, can_cancel=False)
    world = World(replace(SETTINGS, classes=(query_class,), features=features), engines="a")
    world.gateway.scheduler.fleet_utilization = 0.1
    return world


# What the list tells of the first engine, in zone 1 and cell 1, before its attempt is known to have ended.
LATER_ENTRIES = {
    "removed": Engine("a", zone=1, cell=1, state=EngineState.REMOVED),
    "removed, without its place": Engine("a", state=EngineState.REMOVED),
    "moved": Engine("a", zone=0, cell=2),
    "moved, and drains": Engine("a", zone=0, cell=2, state=EngineState.DRAINING),
    "restarted elsewhere": Engine("a", zone=0, cell=2, started_at=2000.0),
    "of an unknown place": Engine("a", zone=UNKNOWN_PLACE, cell=UNKNOWN_PLACE),
}


@pytest.mark.parametrize("scope", ["zone", "cell"])
@pytest.mark.parametrize("later", LATER_ENTRIES)
def test_a_repeat_stays_in_the_group_that_its_engine_had_when_it_was_sent(scope: str, later: str) -> None:
    """Guards against a repeat in another zone, after the list has told something new of the first engine."""
    world = keyed_world(scope)
    list_engine(world, "a", 1, 1)
    world.run(f"c1 query lookup r1 allow={ALLOW_MS}\ne1 expect GET r1 *")
    world.gateway.on_engine_list(EngineListChange((LATER_ENTRIES[later],), {}, False))
    world.wait(0)
    world.unlabelled_engines += ["b", "c"]
    list_engine(world, "b", 0, 2)
    world.run("e1 close\ntime wait 20\nany nothing there\nc1 expect nothing")
    list_engine(world, "c", 1, 1)
    world.wait(100)
    (connection,) = [stream for stream in world.engine_streams if stream.received]
    assert connection.connection.engine == "c"


def test_an_engine_of_an_unknown_place_drops_repeats_of_its_own_attempts_only() -> None:
    unknown = [Engine(name, zone=UNKNOWN_PLACE, cell=UNKNOWN_PLACE) for name in "ab"]
    world = keyed_world("zone")
    world.unlabelled_engines.append("b")
    world.gateway.on_engine_list(EngineListChange((unknown[0],), {}, False))
    world.run(f"c1 query lookup r1 allow={ALLOW_MS}\ne1 expect GET r1 *")
    world.gateway.on_engine_list(EngineListChange((unknown[1],), {"b": Address("b", 1)}, False))
    world.wait(0)
    world.run("e1 close\ntime wait 300")
    (connection,) = [stream for stream in world.engine_streams if stream.received]
    assert connection.connection.engine == "a"


def test_a_queued_query_leaves_an_engine_that_moves_to_a_zone_where_it_may_not_run() -> None:
    """Guards against a permission that is checked when a query is queued, and not when its engine changes."""
    query_class = replace(READ, zones=(1,))
    world = World(replace(SETTINGS, classes=(query_class,)), engines="a")
    list_engine(world, "a", 1, 1)
    scheduler = world.gateway.scheduler
    world.run(f"c1 query lookup r1 allow={ALLOW_MS}\ne1 expect GET r1 *")
    engine = scheduler.engines["a"]
    for number in range(2, 40):
        world.run(f"c{number} query lookup r{number} allow={ALLOW_MS}")
    assert engine.plan
    list_engine(world, "a", 0, 1)
    assert not engine.plan


@pytest.mark.parametrize("timeout_ms", [300, 1000, 4000])
@pytest.mark.parametrize("is_late", [True, False])
def test_a_deadline_between_two_attempts_is_met(timeout_ms: int, is_late: bool) -> None:
    """A request whose first attempt ends too late for another one is answered in the same step."""
    world = World(replace(SETTINGS, features=replace(PERMITS, can_cancel=False)))
    world.gateway.scheduler.fleet_utilization = 0.1
    wait_ms = timeout_ms - min(400, 0.2 * timeout_ms) - (105 if is_late else 125)
    world.run(f"c1 query lookup r1 allow={timeout_ms},effort=20.0\ne1 expect GET r1 *\ntime wait {wait_ms}")
    world.run("e1 send r1 overload -")
    world.run(
        "any nothing there\nc1 expect error 1226 *" if is_late else "e2 expect GET r1 *\nc1 expect nothing"
    )
