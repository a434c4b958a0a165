"""Changes of the engine list while a request is pending: before its step, in the queue, in the connect."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from cottonhold.discovery.engine_catalog import EngineCatalog
from cottonhold.discovery.event_stream import SOURCE
from cottonhold.discovery.model import (
    Address,
    EngineListChange,
    Observation,
    PublishChange,
    ServiceStatus,
    SourceGuard,
    SourceReport,
)
from cottonhold.scheduler.events import Engine, EngineState
from tests.support.scenario import World, packet

LEAVING_STATES = ["draining", "gone"]
QUERY = b"/* service=lookup,ref=%016x,allow=5000 */ SELECT a FROM s_7.t"
SERVED = "served count=1 a|b|c/\nc1 expect rows a|b|c"


def receive_query(world: World, number: int) -> None:
    """Receive a query without running the scheduler's step."""
    world.client("c1").session.receive(packet(0, b"\x03" + QUERY % number))


def requests_by_engine(world: World) -> dict[str, list[int]]:
    """Return the numbers of the requests that each engine received, by the engine's name."""
    requests: dict[str, list[int]] = {name: [] for name in world.labelled_engines}
    for stream in world.engine_streams:
        name = world.labelled_engines[int(stream.engine[1:]) - 1]
        requests[name] += [int(words[1], 16) for words in stream.received if words[0] == b"GET"]
    return requests


def before_step(world: World, change: Callable[[], None]) -> None:
    receive_query(world, 1)
    change()


def after_step(world: World, change: Callable[[], None]) -> None:
    """Apply a change after the step has queued the query at an open connection, before it is written."""
    receive_query(world, 1)
    world.gateway._step()
    assert any(c.queue for p in world.engines.endpoints.values() for c in p.connections)
    change()


def during_connect(world: World, change: Callable[[], None]) -> None:
    for name in ("a", "b"):
        world.behaviour[world.label_engine(name) if name not in world.labelled_engines else ""] = "vanish"
    receive_query(world, 1)
    world.wait(10)
    change()
    world.behaviour.clear()


@pytest.mark.parametrize("state", LEAVING_STATES)
@pytest.mark.parametrize("apply_change", [before_step, after_step, during_connect])
def test_nothing_is_sent_to_an_engine_that_leaves_while_a_request_is_being_sent(
    apply_change: Callable[[World, Callable[[], None]], None], state: str
) -> None:
    """Both engines leave, including the one chosen for the query, and the same change adds a new one."""
    world = World(engines="a b")
    world.client("c1")
    if apply_change is after_step:  # opens a connection to each engine
        for name in ("a", "b"):
            world.engines.check_health(name)
            world.label_engine(name)
        world.wait(10)
    world.unlabelled_engines.append("new")

    def change() -> None:
        leaving = [Engine(name, state=EngineState(state)) for name in ("a", "b")]
        world.gateway.on_engine_list(
            EngineListChange((*leaving, Engine("new")), {"new": Address("new", 1)}, is_complete=False)
        )

    apply_change(world, change)
    world.wait(400)
    assert requests_by_engine(world) == {**{name: [] for name in world.labelled_engines}, "new": [1]}


@pytest.mark.parametrize("in_one_change", [True, False])
def test_a_new_engine_at_a_removed_engines_address_gets_a_new_connection(in_one_change: bool) -> None:
    """The removed engine may still answer its attempt; the answer is used once."""
    world = World(engines="a").run("c1 query lookup r1\ne1 expect GET r1 *")
    removed, new = Engine("a", state=EngineState.REMOVED), Engine("fresh", started_at=900.0)
    at = {"fresh": Address("a", 1)}
    world.unlabelled_engines.append("a")
    changes: list[tuple[Engine, ...]] = [(removed, new)] if in_one_change else [(removed,), (new,)]
    for engines in changes:
        world.gateway.on_engine_list(EngineListChange(engines, at, is_complete=False))
    world.run(f"c2 query lookup r2\ne1 send r1 {SERVED}")
    streams = [stream for stream in world.engine_streams if stream.connection.engine == "fresh"]
    assert len(streams) == 1 and streams[0] is not world.engine_streams[0]
    assert [int(words[1], 16) for words in streams[0].received] == [2]


@pytest.mark.parametrize("started_at", [0.0, 1200.0])
def test_a_drained_engine_that_returns_to_service_gets_requests(started_at: float) -> None:
    world = World(engines="a").run("c1 query lookup r1\ne1 expect GET r1 *\nlist tell e1 draining")
    world.run(f"c2 query lookup r2\ntime wait 300\ne1 expect nothing\ne1 send r1 {SERVED}")
    world.gateway.on_engine_list(
        EngineListChange((Engine("a", started_at=started_at),), {}, is_complete=False)
    )
    world.wait(3000)
    assert any(words[1] == b"%016x" % 2 for stream in world.engine_streams for words in stream.received)


IN, DRAINED, ENDED = ServiceStatus.IN_SERVICE, ServiceStatus.DRAINED, ServiceStatus.ENDED


@pytest.mark.parametrize(
    "events, state",
    [
        ([[("a", DRAINED)], [("a", ENDED)], [("b", IN)]], {"a": "gone", "b": "live"}),
        ([[("a", DRAINED), ("b", IN)]], {"a": "draining", "b": "live"}),
        ([[("a", ENDED), ("b", IN)]], {"a": "gone", "b": "live"}),
        ([[("b", IN), ("a", ENDED)]], {"a": "gone", "b": "live"}),
        ([[("a", DRAINED)], [("a", IN)]], {"a": "live"}),
        ([[("a", ENDED)], [("a", IN)]], {"a": "live"}),
        ([[("a", IN)], [("a", DRAINED)]], {"a": "draining"}),
    ],
)
@pytest.mark.parametrize("one_by_one", [True, False])
def test_batched_events_have_the_same_result_as_single_ones(
    events: list[list[tuple[str, ServiceStatus]]], state: dict[str, str], one_by_one: bool
) -> None:
    """The last event of each engine determines its state, even if all engines have the same address."""
    catalog = EngineCatalog(((SOURCE, SourceGuard(is_trusted=True)),), 1)
    here = Address("h", 1)
    reports = [
        SourceReport(
            SOURCE,
            index + 2,
            tuple(Observation(engine_id, verdict, address=here) for engine_id, verdict in event),
        )
        for index, event in enumerate(events)
    ]
    first = SourceReport(SOURCE, 1, (Observation("a", IN, address=here),), is_complete=True)
    published: dict[str, str] = {}
    for step in [[first], *([[report] for report in reports] if one_by_one else [reports])]:
        for action in catalog.step(1000.0, step):
            if isinstance(action, PublishChange):
                published |= {engine.id: engine.state.value for engine in action.change.engines}
    assert published == state
