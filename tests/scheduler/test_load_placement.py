"""Placement of loads and of the readers of their tables."""

from __future__ import annotations

import dataclasses

import pytest

from cottonhold import Scheduler
from cottonhold.scheduler.events import (
    Outcome,
)
from cottonhold.scheduler.settings import (
    Idempotency,
    QueryClass,
)
from tests.support.scheduler_events import (
    LOOKUP,
    arrival,
    ended,
    sends,
    settings,
    started,
)

LOAD = QueryClass(
    "load", 3000, 25000, utility=6.0, idempotency=Idempotency.NOT_IDEMPOTENT, threads=2, is_load=True
)


READ = dataclasses.replace(LOOKUP, waits_for_loads=True)


def started_with_loads(*names: str) -> Scheduler:
    return started(settings(classes=(READ, LOAD)), *names)


@pytest.mark.parametrize("tables", range(7))
def test_readers_avoid_engines_with_loads_on_their_tables(tables: int) -> None:
    scheduler = started_with_loads("e1", "e2", "e3", "e4", "e5")
    first = [arrival(f"l{i}", deadline_at=25000.0, query_class=1, table_group=tables) for i in range(2)]
    loads = {engine for _, engine in sends(scheduler.step(5.0, first))}
    reads = {
        engine
        for _, engine in sends(scheduler.step(6.0, [arrival(f"r{i}", table_group=tables) for i in range(40)]))
    }
    assert len(loads) == 2 and len(reads) == 3 and not loads & reads


def test_readers_avoid_a_preferred_engine_only_while_it_has_a_load() -> None:
    scheduler = started_with_loads("e1", "e2", "e3", "e4", "e5")
    [(load, load_engine)] = sends(
        scheduler.step(5.0, [arrival("l", deadline_at=25000.0, query_class=1, table_group=3)])
    )
    readers_with_load = {
        engine
        for _, engine in sends(scheduler.step(6.0, [arrival(f"a{i}", table_group=3) for i in range(9)]))
    }
    preferred = {e.id for e in scheduler.preferred_engines[3]}
    assert load_engine in preferred and readers_with_load and load_engine not in readers_with_load
    scheduler.step(7.0, [ended(load, Outcome.OK, engine=load_engine, is_final=True)])
    readers_without_load = {
        engine
        for _, engine in sends(scheduler.step(8.0, [arrival(f"b{i}", table_group=3) for i in range(80)]))
    }
    assert readers_without_load == set(scheduler.engines)


def test_a_second_load_on_the_same_tables_waits_for_the_end_of_the_first() -> None:
    scheduler = started_with_loads("e1", "e2")
    two = [arrival(f"l{i}", deadline_at=25000.0, query_class=1, table_group=3) for i in range(2)]
    [(first, engine)] = sends(scheduler.step(5.0, two))
    assert sends(scheduler.step(100.0, [ended(first, Outcome.OK, engine=engine, is_final=True)])) == [
        ("l1", engine)
    ]
