"""Engines that get nothing new whatever sources report, since the fleet replaces them. Pure.

A quarantine lies over the list of `engine_catalog`, so no source's guard, address or end is affected by it,
and what the list says counts again once it ends. It only ever makes a live engine a draining one: the most
cautious statement wins here too."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import replace

from cottonhold.discovery.model import EngineListChange
from cottonhold.scheduler.events import Engine, EngineState


class Quarantine:
    """Feed it each change of the list; it returns what is published instead."""

    def __init__(self) -> None:
        self.listed: dict[str, Engine] = {}  # as the list has them, without those that were removed
        self.quarantined: set[str] = set()
        self.started_at: dict[str, float] = {}  # by engine: start of its present process, on the own clock

    def on_change(self, change: EngineListChange) -> EngineListChange:
        """A change of the list, as it is to be published."""
        if change.is_complete:
            self.listed.clear()
        for engine in change.engines:
            if engine.state is EngineState.REMOVED:
                self.listed.pop(engine.id, None)
                self.started_at.pop(engine.id, None)
            else:
                self.listed[engine.id] = engine
        return replace(change, engines=tuple(self._published(engine) for engine in change.engines))

    def quarantine(self, engine: str) -> EngineListChange | None:
        """Send nothing new to an engine from now on, listed or not; returns what is to be published, if
        anything."""
        if engine in self.quarantined:
            return None
        self.quarantined.add(engine)
        return self._republish(engine)

    def release(self, engine: str, restarted_at: float = 0.0) -> EngineListChange | None:
        """End a quarantine. restarted_at: start of another process, on the own clock; 0: it is the same
        one."""
        if engine not in self.quarantined:
            return None
        self.quarantined.discard(engine)
        if restarted_at:
            self.started_at[engine] = restarted_at
        return self._republish(engine)

    def live_engines(self) -> Mapping[str, Engine]:
        """Engines that the list has in service and that are not quarantined."""
        return {
            engine_id: engine
            for engine_id, engine in self.listed.items()
            if engine.state is EngineState.LIVE and engine_id not in self.quarantined
        }

    def _republish(self, engine_id: str) -> EngineListChange | None:
        known = self.listed.get(engine_id)
        if known is None:
            return None
        return EngineListChange((self._published(known),), {}, is_complete=False)

    def _published(self, engine: Engine) -> Engine:
        if engine.state is EngineState.REMOVED:
            return engine
        started_at = max(engine.started_at, self.started_at.get(engine.id, 0.0))
        is_held_back = engine.state is EngineState.LIVE and engine.id in self.quarantined
        state = EngineState.DRAINING if is_held_back else engine.state
        return replace(engine, state=state, started_at=started_at)
