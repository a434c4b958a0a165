"""An engine that starts anew at its address: what was open to the process before, and what to the new one."""

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

UNIX = 1_790_000_000_000.0
STEPS = [0.0, 5.0, -5.0, 3600.0, -3600.0]  # seconds that the wall clock is off by at the own start


class Listed(World):
    """A world whose one engine's starts come as stamps of a right clock, by the event bus."""

    def __init__(self, wrong: float) -> None:
        super().__init__(engines="a")
        self.offset = UNIX - self.clock.at
        self.belief = EngineCatalog(((SOURCE, SourceGuard(is_trusted=True)),), 1, self.offset + wrong * 1000)
        self.tell(0.0)

    def tell(self, started: float) -> None:
        """The list tells of a start at a time of the own clock; 0: long past."""
        stamp = started + self.offset if started else 0.0
        engine = Observation("a", ServiceStatus.IN_SERVICE, "Ready", Address("a", 1), started_at=stamp)
        for action in self.belief.step(self.clock.at, [SourceReport(SOURCE, 1, (engine,))]):
            if isinstance(action, PublishChange):
                self.gateway.on_engine_list(action.change)
        self.belief.on_complete_answer(self.clock.at, SOURCE)
        self.wait(0)


@pytest.mark.parametrize("resting", [False, True], ids=["with work out", "at rest"])
@pytest.mark.parametrize("wrong", STEPS)
def test_what_was_open_to_a_machine_that_vanished_is_closed_when_its_return_is_told(
    wrong: float, resting: bool
) -> None:
    world = Listed(wrong)
    world.run("""
        c1 query lookup r1 allow=9000
        e1 expect GET r1 *
    """)
    if resting:
        world.run("e1 send r1 served count=1,ticks=9 a|b|c/")
    world.run("e1 will vanish")
    world.wait(1100.0)
    world.run("e1 will up")
    world.tell(world.clock.at - 200.0)
    assert world.engine_streams[0].connection.is_closed
    world.run("""
        c2 query lookup r2 allow=9000
        e1 expect nothing
    """)
    again = [words for line in world.engine_streams[1:] for words in line.received]
    assert {words[1] for words in again if words[0] == b"GET"} >= {b"%016x" % 2}


@pytest.mark.parametrize("late", [100.0, 900.0])
@pytest.mark.parametrize("wrong", STEPS)
def test_work_out_on_a_connection_to_the_new_process_goes_on_when_its_start_is_told(
    wrong: float, late: float
) -> None:
    world = Listed(wrong)
    world.run("""
        c1 query lookup r1
        e1 expect GET r1 *
        e1 send r1 served count=1,ticks=9 a|b|c/
        c1 expect rows a|b|c
        e1 close
    """)
    world.wait(2000.0)
    started = world.clock.at
    world.wait(50.0)
    world.run("""
        c1 query lookup r2
        e1.2 expect GET r2 *
    """)
    world.wait(late - 50.0)
    world.tell(started)
    world.run("""
        e1.2 send r2 served count=1,ticks=9 d|e|f/
        c1 expect rows d|e|f
    """)
    assert len(world.engine_streams) == 2


def test_one_that_spoke_just_before_gets_nothing_new_until_it_speaks_again() -> None:
    """Whether it leads to the process before or to the new one is not known."""
    world = Listed(0.0)
    world.run("""
        c1 query lookup r1 allow=9000
        e1 expect GET r1 *
    """)
    world.wait(500.0)
    world.tell(world.clock.at)
    world.run("""
        c2 query lookup r2 allow=9000
        e1.2 expect GET r2 *
        e1 expect nothing
        e1 send r1 served count=1,ticks=9 a|b|c/
        c1 expect rows a|b|c
    """)
    assert not world.engine_streams[0].connection.is_closed


@pytest.mark.parametrize("out", [False, True], ids=["at rest", "with work out"])
def test_an_engine_that_is_told_at_another_address_gets_nothing_new_at_the_one_before(out: bool) -> None:
    world = World(engines="a elsewhere")
    world.change(["elsewhere"], "gone")
    world.run("c1 query lookup r1 allow=9000\ne1 expect GET r1 *")
    if not out:
        world.run("e1 send r1 served count=1 a|b|c/\nc1 expect rows a|b|c")
    moved = EngineListChange((Engine("a"),), {"a": Address("elsewhere", 1)}, is_complete=False)
    world.gateway.on_engine_list(moved)
    world.run("c2 query lookup r2 allow=9000\ne2 expect GET r2 *\ne1 expect nothing")
    assert world.engine_streams[0].connection.is_closed is not out
    if out:
        world.run("e1 send r1 served count=1 a|b|c/\nc1 expect rows a|b|c")
