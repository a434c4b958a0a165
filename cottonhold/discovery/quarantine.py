"""Quarantined engines: published as draining while the fleet replaces them, whatever sources report;
does no I/O.

The quarantine is applied to the output of `engine_catalog`, so it affects neither the sources' safeguards nor
the ownership of addresses, and the catalog's state applies again once the quarantine ends. It can only change
a live engine to a draining one: the most cautious state wins, as in the catalog.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import replace

from cottonhold.discovery.model import EngineListChange
from cottonhold.scheduler.events import Engine, EngineState


class Quarantine:
    """Replaces quarantined engines in each change of the engine list.

    `on_change` must receive every change; `quarantine` and `release` return an additional change to publish.
    """

    def __init__(self) -> None:
        self.listed: dict[str, Engine] = {}  # the catalog's engines, without removed ones
        self.quarantined: set[str] = set()
        # Start times of processes that replaced the one listed, by engine, on the local clock.
        self.started_at: dict[str, float] = {}

    def on_change(self, change: EngineListChange) -> EngineListChange:
        """Return the change to publish for a change of the catalog's engine list."""
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
        """Start a quarantine of an engine, listed or not; return the change to publish, if any."""
        if engine in self.quarantined:
            return None
        self.quarantined.add(engine)
        return self._republish(engine)

    def release(self, engine: str, restarted_at: float = 0.0) -> EngineListChange | None:
        """End the quarantine of an engine.

        Args:
            engine: The engine's id.
            restarted_at: When its new process started, in ms on the local clock; 0 if the process is the same
                as before.

        Returns:
            The change to publish, if any.
        """
        if engine not in self.quarantined:
            return None
        self.quarantined.discard(engine)
        if restarted_at:
            self.started_at[engine] = restarted_at
        return self._republish(engine)

    def live_engines(self) -> Mapping[str, Engine]:
        """Return the engines that are in service and not quarantined, by id."""
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
        is_quarantined = engine.state is EngineState.LIVE and engine.id in self.quarantined
        state = EngineState.DRAINING if is_quarantined else engine.state
        return replace(engine, state=state, started_at=started_at)
