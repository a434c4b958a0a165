"""Builders of observations, and a harness that records what an engine catalog publishes. On a fake clock."""

from __future__ import annotations

from typing import Any

from cottonhold.discovery.engine_catalog import EngineCatalog
from cottonhold.discovery.model import (
    Action,
    Address,
    Event,
    LogEvent,
    Observation,
    PublishChange,
    ServiceStatus,
    SourceGuard,
    SourceReport,
)
from cottonhold.scheduler.events import Engine, EngineState

LIVE, DRAINING, REMOVED = EngineState.LIVE, EngineState.DRAINING, EngineState.REMOVED
IN, UNHEALTHY, DRAINED, ENDED = (
    ServiceStatus.IN_SERVICE,
    ServiceStatus.UNHEALTHY,
    ServiceStatus.DRAINED,
    ServiceStatus.ENDED,
)
GUARD = SourceGuard(jitter=0.0)


def make_observation(name: str, verdict: ServiceStatus = IN, **more: Any) -> Observation:
    number = int(name[1:]) if name[1:].isdigit() else 0
    given = {"address": Address("10.0.0.1", 1000 + number), "registration_index": 5, **more}
    return Observation(name, verdict, **given)


class CatalogHarness:
    """A catalog, and what it has published."""

    def __init__(self, *sources: tuple[str, SourceGuard], seed: int = 1) -> None:
        self.catalog = EngineCatalog(sources or (("dc1", GUARD),), seed)
        self.engines: dict[str, Engine] = {}
        self.addresses: dict[str, Address] = {}
        self.published: list[tuple[float, str, EngineState]] = []
        self.actions: list[Action] = []
        self.now = 1000.0

    def step(self, *events: Event, at: float | None = None) -> list[Action]:
        self.now = self.now + 1 if at is None else at
        return self.apply(self.catalog.step(self.now, events))

    def apply(self, actions: list[Action]) -> list[Action]:
        self.actions = actions
        for action in self.actions:
            if isinstance(action, PublishChange):
                for engine in action.change.engines:
                    self.engines[engine.id] = engine
                    self.published.append((self.now, engine.id, engine.state))
                self.addresses |= action.change.addresses
        return self.actions

    def report(
        self, *observations: Observation, source: str = "dc1", at: float | None = None
    ) -> list[Action]:
        return self.step(SourceReport(source, 7, observations, is_complete=True), at=at)

    def states(self) -> dict[str, EngineState]:
        return {engine_id: e.state for engine_id, e in sorted(self.engines.items()) if e.state is not REMOVED}

    def live(self) -> list[str]:
        return [engine_id for engine_id, state in self.states().items() if state is LIVE]

    def events(self) -> list[str]:
        return [a.event for a in self.actions if isinstance(a, LogEvent)]


def make_five(*failing: str, verdict: ServiceStatus = UNHEALTHY) -> list[Observation]:
    return [make_observation(f"e{i}", verdict if f"e{i}" in failing else IN) for i in range(5)]
