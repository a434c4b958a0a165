"""Retries: none if an earlier attempt may have run, whether answers arrive late, twice or not at all."""

from __future__ import annotations

from dataclasses import replace
from pathlib import Path

import pytest

from cottonhold.config.relay import load_config
from cottonhold.observe.counters import Counters
from cottonhold.scheduler.settings import DeduplicationScope, Idempotency, Rules
from tests.frontend.test_client_departure import CLASS_NAMES, SITES, SteppedWorld, assert_no_leftovers
from tests.node.test_small_parts import write
from tests.support.scenario import READ, SETTINGS, World


@pytest.mark.parametrize("site", SITES)
@pytest.mark.parametrize("name", CLASS_NAMES)
@pytest.mark.parametrize("copies", [1, 2])
@pytest.mark.parametrize("duplicate", ["overload", "crashed", "nobody", "served count=1 x|y|z/"])
def test_a_duplicate_answer_to_an_attempt_does_not_answer_the_next(
    duplicate: str, copies: int, name: str, site: str
) -> None:
    """A single engine gets both attempts, so a duplicate answer could be taken for the second one's."""
    world = SteppedWorld(SITES[site], engines="a")
    world.run(f"c1 query {name} r1 allow=20000\ne1 expect GET r1 *\ne1 send r1 overload -\ntime wait 1500")
    second = next(stream for stream in world.engine_streams if stream.received)
    second.received.clear()
    for _ in range(copies):
        world.run(f"e1 send r1 {duplicate}\nc1 expect nothing\ntime wait 1500\nany nothing there")
    number = world.engine_streams.index(second) + 1
    world.run(f"e1.{number} send r1 served count=1 a|b|c/\nc1 expect rows a|b|c")
    assert_no_leftovers(world)


WINDOW_MS = 1000.0


def keyed_world(group: str) -> World:
    """Return a world with two engines of one cell that deduplicate a class's requests for WINDOW_MS."""
    cls = replace(
        READ,
        idempotency=Idempotency.IDEMPOTENT_WITH_KEY,
        deduplication_scope=DeduplicationScope(group),
        deduplication_window_ms=WINDOW_MS,
    )
    return World(replace(SETTINGS, classes=(cls,)))


@pytest.mark.parametrize(("group", "answer"), [("all", "1226"), ("zone", "1105"), ("cell", "1105")])
@pytest.mark.parametrize(("connected_at_ms", "is_sent"), [(980, True), (1000, False), (1040, False)])
def test_a_retry_begins_within_the_deduplication_window_however_long_its_connect_takes(
    connected_at_ms: int, is_sent: bool, group: str, answer: str
) -> None:
    """The window counts from the first attempt that may have run to the first byte of the next attempt."""
    world = keyed_world(group).run(
        "c1 query lookup r1\ne1 expect GET r1 *\ntime wait 900\ne2 will vanish\ne1 close"
    )
    assert len(world.engine_streams) == 2
    world.run(f"time wait {connected_at_ms - 900}\ne2 will up\ntime wait 1")
    if is_sent:
        world.run("e2 expect GET r1 *\nc1 expect nothing")
    else:
        world.run(f"any nothing there\nc1 expect error {answer} *\ntime wait 2000\nany nothing there")
        assert_no_leftovers(world)


BUDGET_WINDOW_MS = 1000.0
MAX_CONNECT_MS = 250.0


@pytest.mark.parametrize("connect_ms", [0, 240])
@pytest.mark.parametrize("gap_ms", [300, 980, 1020, 1200, 1270, 1600])
def test_a_retry_budget_of_one_allows_no_two_retries_within_its_window(gap_ms: int, connect_ms: int) -> None:
    """A retry counts from its start, which a connect delays."""
    rules = Rules(retry_budget_free=1, retry_budget_share=0.0, retry_budget_window_ms=BUDGET_WINDOW_MS)
    features = replace(SETTINGS.features, can_cancel=False)
    world = World(replace(SETTINGS, rules=rules, features=features, max_connect_ms=MAX_CONNECT_MS))
    world.run("c1 query lookup r1\ne1 expect GET r1 *\ne2 will vanish\ne1 send r1 overload -")
    world.run(f"time wait {connect_ms}\ne2 will up\ntime wait 0\ne2 expect GET r1 *")
    world.run(f"time wait {gap_ms - connect_ms - 10}\nc2 query lookup r2")
    second = next(stream.engine for stream in world.engine_streams if stream.received)
    world.run(f"{second} expect GET r2 *\ntime wait 10\n{second} send r2 overload -")
    if [stream for stream in world.engine_streams if stream.received]:
        assert gap_ms - connect_ms >= BUDGET_WINDOW_MS
    else:
        assert gap_ms < BUDGET_WINDOW_MS + MAX_CONNECT_MS
        world.run("c2 expect error 1226 *")


def test_settings_contain_the_connect_timeout(tmp_path: Path) -> None:
    config = load_config(write(tmp_path, listen="127.0.0.1:80"), Counters())
    assert config.settings.max_connect_ms == config.connections.connect_timeout_ms > 0


@pytest.mark.parametrize("before", [True, False])
@pytest.mark.parametrize(
    "late",
    [
        "served count=1 x|y|z/",
        "served count=2 x|y|z/",
        "rows pos=1 x|y|z/",
        "overload -",
        "crashed -",
        "nobody -",
    ],
)
def test_a_late_answer_to_a_cancelled_attempt_is_ignored(late: str, before: bool) -> None:
    """The first attempt is cancelled because it takes far longer than estimated."""
    world = SteppedWorld(SITES["all features"])
    world.run("c1 query lookup r1 effort=20.0\ne1 expect GET r1 *\ntime wait 200\ne1 expect DROP r1")
    world.run("e2 expect GET r1 *\ne2 send r1 served count=2 a|b|c/\ne2 expect PAGE r1 1")
    if before:
        world.run(f"e1 send r1 {late}\nc1 expect nothing")
    world.run("e2 send r1 rows pos=1 d|e|f/\nc1 expect rows a|b|c/d|e|f\ne2 expect CLOSE r1")
    world.run(f"e1 send r1 {late}\ne2 send r1 {late}\nc1 expect nothing\nany nothing there")
    assert_no_leftovers(world)
    world.run("c1 query lookup r2\nany expect GET r2 *")


@pytest.mark.parametrize("max_attempts", [1, 2, 3])
@pytest.mark.parametrize("name", CLASS_NAMES)
def test_no_request_has_more_attempts_than_the_settings_allow(name: str, max_attempts: int) -> None:
    """The engine rejects each attempt, so that each could be retried."""
    site = SITES["few features"]
    world = SteppedWorld(
        replace(site, features=replace(site.features, max_attempts=max_attempts)), engines="a b c d"
    )
    world.run(f"c1 query {name} r1 allow=20000")
    for _ in range(max_attempts):
        (stream,) = [stream for stream in world.engine_streams if stream.received]
        assert stream.received.pop()[0] == b"GET" and not stream.received
        world.run(f"c1 expect nothing\n{stream.engine} send r1 overload -")
    world.run("c1 expect error 1226 *\ntime wait 1000\nany nothing there")
    assert_no_leftovers(world)


@pytest.mark.parametrize("name", ["lookup", "load"])
def test_a_request_on_an_idle_connection_that_was_dropped_without_notice_may_have_run(name: str) -> None:
    """Guards against a load that is sent again: nothing tells whether the engine received it."""
    world = World().run("""
        c1 query lookup r1
        e1 expect GET r1 *
        e1 send r1 served count=1 a|b|c/
        c1 expect rows a|b|c
        time wait 5000
        e1 will mute
    """)
    world.run(f"c1 query {name} r2 allow=20000\ne1 expect GET r2 *\ntime wait 600")
    if name == "lookup":  # it may run again, and goes elsewhere
        world.run(
            "e1 expect DROP r2\ne2 expect GET r2 *\ne2 send r2 served count=1 a|b|c/\nc1 expect rows a|b|c"
        )
    else:
        world.run("time wait 1500\nc1 expect error 1105 *may have run*\ne2 expect nothing")
