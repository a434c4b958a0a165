"""Connections to the former and to the new process of an engine that restarts at the same address."""

from __future__ import annotations

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
from cottonhold.scheduler.events import Engine
from tests.support.scenario import World

UNIX_NOW_MS = 1_790_000_000_000.0
CLOCK_ERRORS_S = [0.0, 5.0, -5.0, 3600.0, -3600.0]  # error of the dispatcher's wall clock at its start, in s


class WorldWithEngineStarts(World):
    """A world with one engine, whose starts the event stream reports as correct Unix times."""

    def __init__(self, clock_error_s: float) -> None:
        super().__init__(engines="a")
        self.unix_offset = UNIX_NOW_MS - self.clock.now_ms
        self.catalog = EngineCatalog(
            ((SOURCE, SourceGuard(is_trusted=True)),), 1, self.unix_offset + clock_error_s * 1000
        )
        self.report_start(0.0)

    def report_start(self, started: float) -> None:
        """Report a start at `started`, in ms of the dispatcher's clock; 0 stands for long ago."""
        stamp = started + self.unix_offset if started else 0.0
        engine = Observation("a", ServiceStatus.IN_SERVICE, "Ready", Address("a", 1), started_at=stamp)
        for action in self.catalog.step(self.clock.now_ms, [SourceReport(SOURCE, 1, (engine,))]):
            if isinstance(action, PublishChange):
                self.gateway.on_engine_list(action.change)
        self.catalog.on_complete_answer(self.clock.now_ms, SOURCE)
        self.wait(0)


@pytest.mark.parametrize("is_idle", [False, True], ids=["with an attempt in flight", "idle"])
@pytest.mark.parametrize("clock_error_s", CLOCK_ERRORS_S)
def test_connections_to_a_vanished_machine_are_closed_when_its_restart_is_reported(
    clock_error_s: float, is_idle: bool
) -> None:
    world = WorldWithEngineStarts(clock_error_s)
    world.run("""
        c1 query lookup r1 allow=9000
        e1 expect GET r1 *
    """)
    if is_idle:
        world.run("e1 send r1 served count=1,ticks=9 a|b|c/")
    world.run("e1 will vanish")
    world.wait(1100.0)
    world.run("e1 will up")
    world.report_start(world.clock.now_ms - 200.0)
    assert world.engine_streams[0].connection.is_closed
    world.run("""
        c2 query lookup r2 allow=9000
        e1 expect nothing
    """)
    later_requests = [elements for stream in world.engine_streams[1:] for elements in stream.received]
    assert {elements[1] for elements in later_requests if elements[0] == b"GET"} >= {b"%016x" % 2}


@pytest.mark.parametrize("delay_ms", [100.0, 900.0])
@pytest.mark.parametrize("clock_error_s", CLOCK_ERRORS_S)
def test_attempts_at_the_new_process_go_on_when_its_start_is_reported(
    clock_error_s: float, delay_ms: float
) -> None:
    world = WorldWithEngineStarts(clock_error_s)
    world.run("""
        c1 query lookup r1
        e1 expect GET r1 *
        e1 send r1 served count=1,ticks=9 a|b|c/
        c1 expect rows a|b|c
        e1 close
    """)
    world.wait(2000.0)
    started = world.clock.now_ms
    world.wait(50.0)
    world.run("""
        c1 query lookup r2
        e1.2 expect GET r2 *
    """)
    world.wait(delay_ms - 50.0)
    world.report_start(started)
    world.run("""
        e1.2 send r2 served count=1,ticks=9 d|e|f/
        c1 expect rows d|e|f
    """)
    assert len(world.engine_streams) == 2


def test_a_connection_to_an_unknown_process_gets_nothing_new_until_it_answers() -> None:
    """The connection may lead to the former or to the new process."""
    world = WorldWithEngineStarts(0.0)
    world.run("""
        c1 query lookup r1 allow=9000
        e1 expect GET r1 *
    """)
    world.wait(500.0)
    world.report_start(world.clock.now_ms)
    world.run("""
        c2 query lookup r2 allow=9000
        e1.2 expect GET r2 *
        e1 expect nothing
        e1 send r1 served count=1,ticks=9 a|b|c/
        c1 expect rows a|b|c
    """)
    assert not world.engine_streams[0].connection.is_closed


@pytest.mark.parametrize("has_attempt", [False, True], ids=["idle", "with an attempt in flight"])
def test_a_moved_engine_gets_nothing_new_at_its_former_address(has_attempt: bool) -> None:
    world = World(engines="a elsewhere")
    world.change_engine_list(["elsewhere"], "gone")
    world.run("c1 query lookup r1 allow=9000\ne1 expect GET r1 *")
    if not has_attempt:
        world.run("e1 send r1 served count=1 a|b|c/\nc1 expect rows a|b|c")
    moved = EngineListChange((Engine("a"),), {"a": Address("elsewhere", 1)}, is_complete=False)
    world.gateway.on_engine_list(moved)
    world.run("c2 query lookup r2 allow=9000\ne2 expect GET r2 *\ne1 expect nothing")
    assert world.engine_streams[0].connection.is_closed is not has_attempt
    if has_attempt:
        world.run("e1 send r1 served count=1 a|b|c/\nc1 expect rows a|b|c")
