"""Engine lists, query classes and features for tests with many gateways."""

from __future__ import annotations

import dataclasses

from cottonhold.scheduler.events import Engine, EngineList, EngineState
from cottonhold.scheduler.settings import MachineType
from tests.support.scheduler_events import LOOKUP, PERMITS

REPORT = dataclasses.replace(
    LOOKUP, name="report", latency_objective_ms=4000.0, deadline_ms=20000.0, utility=6.0, threads=2
)
MODEL = MachineType(8, 16000.0)
WITH_PEER_MESSAGES = dataclasses.replace(PERMITS, has_peer_messages=True)


def fleet(count: int, state: EngineState = EngineState.LIVE, prefix: str = "e") -> EngineList:
    """Return a list of engines with the same state, named by the prefix and a number."""
    return EngineList(tuple(Engine(f"{prefix}{i}", state=state) for i in range(count)), is_complete=False)
