"""The work of a dispatcher per request and per second does not grow with the fleet, measured in calls."""

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

MAX_ENGINES = 3200  # number of engines in the largest fleets


def checked_endpoint_count(count: int, monkeypatch: pytest.MonkeyPatch) -> int:
    """Return the number of endpoint checks in five seconds after three queries, for a number of engines."""
    world = World(engines=" ".join(f"a{i}" for i in range(count)))
    for number in (1, 2, 3):
        world.run(f"c{number} query lookup r{number}")
    checked_ids: list[str] = []
    close_if_leaving = EngineConnections.close_if_leaving

    def count_check(self: EngineConnections, endpoint: EngineEndpoint) -> None:
        checked_ids.append(endpoint.engine.id)
        close_if_leaving(self, endpoint)

    monkeypatch.setattr(EngineConnections, "close_if_leaving", count_check)
    world.wait(5000)
    return len(checked_ids)


def test_checks_of_connections_do_not_grow_with_the_fleet(monkeypatch: pytest.MonkeyPatch) -> None:
    few = checked_endpoint_count(8, monkeypatch)
    assert 0 < checked_endpoint_count(MAX_ENGINES, monkeypatch) <= 2 * few


@pytest.mark.parametrize("answered", [False, True])
def test_a_new_engine_with_the_id_of_a_removed_one_retains_its_connections(answered: bool) -> None:
    """A check of the removed engine, with or without a query in flight, must not affect the new one."""
    world = World(engines="a").run("c1 query lookup r1\ne1 expect GET r1 *")
    if answered:
        world.run("e1 send r1 served count=1,ticks=5 x")
    world.change_engine_list(["a"], "gone")
    world.wait(1 if answered else 2000)
    world.change_engine_list(["a"], "live")
    world.wait(1000)
    assert world.engines.endpoints["a"].address == Address("a", 1)
    world.run("c2 query lookup r2")
    assert any(words[1] == b"%016x" % 2 for line in world.engine_streams for words in line.received)


READ = QueryClass("read", 1000, 5000, 1.0, waits_for_loads=True)
PERMITS = Features(has_priorities=True, has_peer_messages=True)


class Gateway:
    """One of many gateways with 20 queries per second; `counts` has the numbers of calls by kind."""

    def __init__(self, engines: int, monkeypatch: pytest.MonkeyPatch) -> None:
        self.counts = dict.fromkeys(("counted", "reported", "listed"), 0)
        for owner, name, key in (
            (capacity, "_compute_engine_capacity", "counted"),
            (EngineView, "apply_reported_work", "reported"),
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
        function = getattr(owner, name)

        def counted(*args: object) -> object:
            self.counts[key] += 1
            return function(*args)

        monkeypatch.setattr(owner, name, counted)

    def serve(self, seconds: int) -> None:
        """Deliver 20 queries with their ends and four peer messages per second."""
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


def test_capacity_and_message_work_does_not_grow_with_the_fleet(monkeypatch: pytest.MonkeyPatch) -> None:
    """A usual fleet's capacity is always computed in full, that of the largest fleet only now and then."""
    with monkeypatch.context() as patch:
        usual = Gateway(200, patch)
        usual.serve(20)
    largest = Gateway(MAX_ENGINES, monkeypatch)
    largest.serve(20)
    assert largest.counts["reported"] <= usual.counts["reported"] > 0
    assert MAX_ENGINES < largest.counts["counted"] <= 2 * usual.counts["counted"]  # with 16 times the engines


@pytest.mark.parametrize("engines", [200, MAX_ENGINES])
def test_changes_of_the_engine_list_are_applied_once_per_step(
    engines: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    gateway = Gateway(engines, monkeypatch)
    scheduler, names = gateway.scheduler, gateway.names
    removals = [
        EngineList((Engine(name, state=EngineState.REMOVED),), is_complete=False) for name in names[:50]
    ]
    additions = [EngineList((Engine(f"n{n:04}"),), is_complete=False) for n in range(50)]
    scheduler.step(2000.0, [*removals, *additions])
    assert gateway.counts["listed"] == 1 and len(scheduler.live_engines) == engines
    assert {e.id for e in scheduler.ranked_engines} == set(names[50:]) | {f"n{n:04}" for n in range(50)}
    scheduler.step(2001.0, [EngineList((), is_complete=True)])
    assert not scheduler.live_engines and not scheduler.candidate_pool and not scheduler.engines


def test_a_query_after_a_change_in_the_same_step_sees_the_change(monkeypatch: pytest.MonkeyPatch) -> None:
    scheduler = Gateway(MAX_ENGINES, monkeypatch).scheduler
    usual = tuple(Engine(e.id, state=EngineState.DRAINING) for e in scheduler.candidate_pool)
    scheduler.step(2000.0, [EngineList(usual, is_complete=False), QueryArrived("q", 0, 6000.0, 200.0)])
    (engine,) = [e.id for e in scheduler.active_engines.values() if e.in_flight]
    assert engine not in {e.id for e in usual} and engine in scheduler.assigned_engine_ids
    assert (
        scheduler.engines[engine].local_thread_capacity > 1
    )  # computed, although all engines are computed only later


@pytest.mark.parametrize("gateways, engines", [(200, 80), (200, 200), (20, 24), (20, 60), (5, 8), (3, 6)])
def test_a_gateway_is_assigned_few_more_of_sixteen_times_the_engines_and_all_are_assigned(
    gateways: int, engines: int
) -> None:
    """Each assigned engine costs a connection: at most 2.5 times as many and 40 more are allowed."""

    def assigned_engine_ids(count: int) -> list[set[str]]:
        ids_by_gateway = []
        for gateway_index in range(gateways):
            scheduler = Scheduler(Settings((READ,), gateway_count=gateways, gateway_index=gateway_index), 1)
            scheduler.step(1000.0, [EngineList(tuple(Engine(f"e{n:04}") for n in range(count)), True)])
            ids_by_gateway.append(scheduler.assigned_engine_ids)
        return ids_by_gateway

    usual, many = assigned_engine_ids(engines), assigned_engine_ids(16 * engines)
    assert max(map(len, many)) <= 2.5 * max(map(len, usual)) + 40
    assert len(set[str]().union(*many)) == 16 * engines
