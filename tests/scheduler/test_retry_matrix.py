"""The reaction to each way in which an attempt can end, for each idempotency and deduplication scope."""

from __future__ import annotations

from dataclasses import replace

import pytest

from cottonhold.discovery.model import Address, EngineListChange
from cottonhold.scheduler.events import Engine, EngineState
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
