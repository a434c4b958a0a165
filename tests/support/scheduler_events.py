"""Short forms of settings, events and actions for tests of the scheduler."""

from __future__ import annotations

import dataclasses
from typing import Any

from cottonhold import Scheduler
from cottonhold.scheduler.actions import Action, Fail, Reject, Send
from cottonhold.scheduler.events import AttemptEnded, Engine, EngineList, Outcome, QueryArrived
from cottonhold.scheduler.settings import Features, MachineType, QueryClass, Rules, Settings

LOOKUP = QueryClass("lookup", latency_objective_ms=1000, deadline_ms=5000, utility=1.0, late_utility=0.1)
RULES = Rules(cold_capacity_share=0.3, warm_up_ms=10000, overload_factor=2, overload_window_ms=2000)
PERMITS = Features(can_cancel=True, has_priorities=True, max_attempts=3)


def settings(cls: QueryClass = LOOKUP, **changes: Any) -> Settings:
    """Return the settings of a small deployment with changes."""
    base = Settings(
        classes=(cls,),
        machine_types=(MachineType(8, 16000.0),),
        features=PERMITS,
        rules=RULES,
        load_report_fields=("util",),
    )
    return dataclasses.replace(base, **changes)


def engines(*names: str, **fields: Any) -> EngineList:
    """Return a complete engine list."""
    return EngineList(tuple(Engine(n, **fields) for n in names), is_complete=True)


def arrival(
    name: str, deadline_at: float = 5000.0, estimated_work_ms: float = 100.0, **fields: Any
) -> QueryArrived:
    """Return the arrival of a client's query."""
    query_class = fields.pop("query_class", 0)
    return QueryArrived(name, query_class, deadline_at, estimated_work_ms=estimated_work_ms, **fields)


def ended(name: str, outcome: Outcome, attempt: int = 0, engine: str = "e1", **fields: Any) -> AttemptEnded:
    """Return the end of an attempt."""
    return AttemptEnded(name, attempt, engine, outcome, fields.pop("elapsed_ms", 10.0), **fields)


def sends(actions: list[Action]) -> list[tuple[str, str]]:
    """Return the query and engine of each attempt that is started."""
    return [(a.query_id, a.engine) for a in actions if isinstance(a, Send)]


def answers(actions: list[Action]) -> list[Action]:
    """Return the final answers."""
    return [a for a in actions if isinstance(a, Reject | Fail)]


def started(setup: Settings, *names: str, **fields: Any) -> Scheduler:
    """Return a scheduler that has received its first engine list."""
    scheduler = Scheduler(setup, 1)
    scheduler.step(0.0, [engines(*names, **fields)])
    return scheduler
