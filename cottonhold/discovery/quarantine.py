"""What the fleet holds back of the one list: engines that get nothing new whatever sources tell. Pure.

It lies over the list that `belief.py` makes, so no source's guard, address or end is touched by it, and what
the list says comes through again once the hold ends. A hold only ever makes a live engine a draining one: the
cautious word wins here too.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import replace

from cottonhold.discovery.model import Change
from cottonhold.scheduler.events import Engine, EngineState


class Held:
    """Give it each change of the list; it says what the other parts are told instead."""

    def __init__(self) -> None:
        self.known: dict[str, Engine] = {}  # as the list has them, those that are gone left out
        self.held: set[str] = set()
        self.starts: dict[str, float] = {}  # engine -> when the process that is there now began, own clock

    def take(self, change: Change) -> Change:
        """A change of the list, as it is to be published."""
        if change.whole:
            self.known.clear()
        for engine in change.engines:
            if engine.state is EngineState.REMOVED:
                self.known.pop(engine.id, None)
                self.starts.pop(engine.id, None)
            else:
                self.known[engine.id] = engine
        return replace(change, engines=tuple(self._shown(engine) for engine in change.engines))

    def hold(self, engine: str) -> Change | None:
        """Nothing new goes to an engine from now on, known or not; what is to be published, if anything."""
        if engine in self.held:
            return None
        self.held.add(engine)
        return self._again(engine)

    def free(self, engine: str, started: float = 0.0) -> Change | None:
        """The way back. started: since when another process is there, on the own clock; 0: the same."""
        if engine not in self.held:
            return None
        self.held.discard(engine)
        if started:
            self.starts[engine] = started
        return self._again(engine)

    def live(self) -> Mapping[str, Engine]:
        """Engines in service by the list that nobody holds."""
        return {
            id: engine
            for id, engine in self.known.items()
            if engine.state is EngineState.LIVE and id not in self.held
        }

    def _again(self, id: str) -> Change | None:
        known = self.known.get(id)
        return Change((self._shown(known),), {}, whole=False) if known is not None else None

    def _shown(self, engine: Engine) -> Engine:
        if engine.state is EngineState.REMOVED:
            return engine
        started = max(engine.started_at, self.starts.get(engine.id, 0.0))
        back = engine.state is EngineState.LIVE and engine.id in self.held
        return replace(engine, state=EngineState.DRAINING if back else engine.state, started_at=started)
