"""The work of a dispatcher for each request, or as time passes, does not grow with the fleet: in counts."""

from __future__ import annotations

import random
import struct

import pytest

from cottonhold.backend.connection_pool import EngineConnections
from cottonhold.backend.endpoint import EngineEndpoint
from cottonhold.discovery.model import Address
from cottonhold.scheduler import capacity
from cottonhold.scheduler.actions import Send
from cottonhold.scheduler.engine_state import EngineView
from cottonhold.scheduler.events import (
    AttemptEnded,
    Engine,
    EngineList,
    EngineState,
    Event,
    Outcome,
    PeerMessage,
    QueryArrived,
)
from cottonhold.scheduler.scheduler import Scheduler
from cottonhold.scheduler.settings import Features, MachineType, QueryClass, Settings
from tests.support.scenario import World

MOST = 3200  # engines of the largest fleets


def places_looked_at(count: int, monkeypatch: pytest.MonkeyPatch) -> int:
    """Places looked at in five seconds, where three queries have gone to engines and one has left."""
    world = World(engines=" ".join(f"a{i}" for i in range(count)))
    for number in (1, 2, 3):
        world.run(f"c{number} query lookup r{number}")
    looks: list[str] = []
    real = EngineConnections.close_if_leaving

    def left(self: EngineConnections, place: EngineEndpoint) -> None:
        looks.append(place.engine.id)
        real(self, place)

    monkeypatch.setattr(EngineConnections, "close_if_leaving", left)
    world.wait(5000)
    return len(looks)


def test_checks_of_connections_do_not_grow_with_the_fleet(monkeypatch: pytest.MonkeyPatch) -> None:
    few = places_looked_at(8, monkeypatch)
    assert 0 < places_looked_at(MOST, monkeypatch) <= 2 * few


@pytest.mark.parametrize("answered", [False, True])
def test_a_new_engine_under_the_id_of_a_removed_one_keeps_its_connections(answered: bool) -> None:
    """Removed with nothing or something in flight: a check of the old engine leaves the new one alone."""
    world = World(engines="a").run("c1 query lookup r1\ne1 expect GET r1 *")
    if answered:
        world.run("e1 send r1 served count=1,ticks=5 x")
    world.change(["a"], "gone")
    world.wait(1 if answered else 2000)
    world.change(["a"], "live")
    world.wait(1000)
    assert world.engines.endpoints["a"].address == Address("a", 1)
    world.run("c2 query lookup r2")
    assert any(words[1] == b"%016x" % 2 for line in world.engine_streams for words in line.received)


READ = QueryClass("read", 1000, 5000, 1.0, waits_for_loads=True)
PERMITS = Features(has_priorities=True, has_peer_messages=True)


class Gateway:
    """One of many gateways, which is asked 20 times a second; `counts` says how often it did what."""

    def __init__(self, engines: int, monkeypatch: pytest.MonkeyPatch) -> None:
        self.counts = dict.fromkeys(("counted", "reported", "listed"), 0)
        for owner, name, key in (
            (capacity, "_count_engine", "counted"),
            (EngineView, "apply_peer_load", "reported"),
            (capacity, "apply_engine_changes", "listed"),
        ):
            self.count(owner, name, key, monkeypatch)
        rules = Settings(
            (READ,),
            (MachineType(8, 16000.0),),
            features=PERMITS,
            gateway_count=engines,
            gateway_index=7,
            tick_ms=5.0,
        )
        self.scheduler = Scheduler(rules, 1)
        self.names = [f"e{n:04}" for n in range(engines)]
        self.scheduler.step(1000.0, [EngineList(tuple(map(Engine, self.names)), is_complete=True)])
        self.counts.update(counted=0, reported=0, listed=0)

    def count(self, owner: object, name: str, key: str, monkeypatch: pytest.MonkeyPatch) -> None:
        real = getattr(owner, name)

        def counted(*args: object) -> object:
            self.counts[key] += 1
            return real(*args)

        monkeypatch.setattr(owner, name, counted)

    def serve(self, seconds: int) -> None:
        """Queries, their ends, and four messages of peers a second."""
        draw = random.Random(1)
        for number in range(20 * seconds):
            now = 1000.0 + 50 * number
            events: list[Event] = [
                QueryArrived(f"q{number}", 0, now + 4000, 200.0, table_group=draw.randrange(9))
            ]
            if number % 5 == 0:
                entries = [
                    struct.pack(">IBHH", draw.choice(self.scheduler.candidate_pool).id_hash, 1, 9, 9)
                    for _ in range(5)
                ]
                events.append(PeerMessage(number % 8, struct.pack(">Bf", 3, 20.0) + b"".join(entries)))
            for action in self.scheduler.step(now, events):
                if isinstance(action, Send):
                    end = AttemptEnded(action.query_id, 0, action.engine, Outcome.OK, 30.0, is_final=True)
                    self.scheduler.step(now + 30, [end])


def test_capacity_counts_and_messages_do_not_grow_with_the_fleet(monkeypatch: pytest.MonkeyPatch) -> None:
    """At the usual size all engines are counted each time; at the largest all only at times."""
    with monkeypatch.context() as patch:
        usual = Gateway(200, patch)
        usual.serve(20)
    largest = Gateway(MOST, monkeypatch)
    largest.serve(20)
    assert largest.counts["reported"] <= usual.counts["reported"] > 0
    assert MOST < largest.counts["counted"] <= 2 * usual.counts["counted"]  # of 16 times the engines


@pytest.mark.parametrize("engines", [200, MOST])
def test_a_list_that_changes_often_is_taken_in_once_a_step(
    engines: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    gateway = Gateway(engines, monkeypatch)
    scheduler, names = gateway.scheduler, gateway.names
    gone = [EngineList((Engine(name, state=EngineState.REMOVED),), is_complete=False) for name in names[:50]]
    come = [EngineList((Engine(f"n{n:04}"),), is_complete=False) for n in range(50)]
    scheduler.step(2000.0, [*gone, *come])
    assert gateway.counts["listed"] == 1 and len(scheduler.live_engines) == engines
    assert {e.id for e in scheduler.ranked_engines} == set(names[50:]) | {f"n{n:04}" for n in range(50)}
    scheduler.step(2001.0, [EngineList((), is_complete=True)])
    assert not scheduler.live_engines and not scheduler.candidate_pool and not scheduler.engines


def test_a_query_after_a_change_in_the_same_step_sees_the_change(monkeypatch: pytest.MonkeyPatch) -> None:
    scheduler = Gateway(MOST, monkeypatch).scheduler
    usual = tuple(Engine(e.id, state=EngineState.DRAINING) for e in scheduler.candidate_pool)
    scheduler.step(2000.0, [EngineList(usual, is_complete=False), QueryArrived("q", 0, 6000.0, 200.0)])
    (engine,) = [e.id for e in scheduler.active_engines.values() if e.in_flight]
    assert engine not in {e.id for e in usual} and engine in scheduler.assigned_engine_ids
    assert (
        scheduler.engines[engine].local_thread_capacity > 1
    )  # counted, though all are counted again only later


@pytest.mark.parametrize("gateways, engines", [(200, 80), (200, 200), (20, 24), (20, 60), (5, 8), (3, 6)])
def test_a_gateway_draws_on_little_more_of_sixteen_times_the_engines_and_all_are_covered(
    gateways: int, engines: int
) -> None:
    """Each engine that is drawn on costs a connection: 2.5 times as many, and 40 more, are allowed."""

    def drawn_on(count: int) -> list[set[str]]:
        crowd = []
        for me in range(gateways):
            scheduler = Scheduler(Settings((READ,), gateway_count=gateways, gateway_index=me), 1)
            scheduler.step(1000.0, [EngineList(tuple(Engine(f"e{n:04}") for n in range(count)), True)])
            crowd.append(scheduler.assigned_engine_ids)
        return crowd

    usual, many = drawn_on(engines), drawn_on(16 * engines)
    assert max(map(len, many)) <= 2.5 * max(map(len, usual)) + 40
    assert len(set[str]().union(*many)) == 16 * engines
