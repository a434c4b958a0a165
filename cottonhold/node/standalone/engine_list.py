"""The engine list that this instance publishes: the engines of the sources without the quarantined ones."""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence

from cottonhold.discovery.model import EngineListChange
from cottonhold.discovery.quarantine import Quarantine
from cottonhold.fleet.rolling_replacement.plan import Machine
from cottonhold.node.dispatcher import Dispatcher
from cottonhold.scheduler.engine_state import engine_cores
from cottonhold.scheduler.events import UNKNOWN_PLACE, Engine


class EngineListPublisher:
    """Publishes changes of the engine list, and provides its engines to the parts of the fleet.

    Args:
        dispatcher: The dispatcher that owns the engine catalog and the gateway.
        zone_names: Returns the names of the zones, by zone number.
        on_published: Called with the engines in service after each change.
    """

    def __init__(
        self,
        dispatcher: Dispatcher,
        zone_names: Callable[[], Sequence[str]],
        on_published: Callable[[Mapping[str, Engine]], None],
    ) -> None:
        self.engines, self.gateway, self.catalog = (
            dispatcher.engines,
            dispatcher.gateway,
            dispatcher.engine_catalog,
        )
        self.counters, self.log, self.clock = dispatcher.counters, dispatcher.log, dispatcher.event_loop.clock
        self.machine_types = dispatcher.config.settings.machine_types
        self.zone_names, self.on_published = zone_names, on_published
        self.quarantine = Quarantine()

    def on_change(self, change: EngineListChange) -> None:
        """Publish a change that sources have reported, without quarantined engines."""
        self.republish(self.quarantine.on_change(change))

    def republish(self, change: EngineListChange | None) -> None:
        """Publish a change of the quarantine; None changes nothing."""
        if change is None:
            return
        self.gateway.on_engine_list(change)
        self.on_published(self.quarantine.live_engines())

    def quarantine_for(
        self, duration_ms: float, engines: set[str], still_drained: Callable[[], set[str]]
    ) -> None:
        """Quarantine engines for a limited time; those still drained at its end stay quarantined."""

        def release() -> None:
            for engine in sorted(engines - still_drained()):
                self.republish(self.quarantine.release(engine))

        for engine in sorted(engines):
            self.republish(self.quarantine.quarantine(engine))
        self.clock.call_in(duration_ms, release)

    def cores_by_zone(self, live: Mapping[str, Engine]) -> dict[str, dict[str, float]]:
        """Return the cores of each engine whose zone is known, by the name of the zone and its id."""
        zone_names, cores = self.zone_names(), dict[str, dict[str, float]]()
        for engine_id, engine in live.items():
            if engine.zone == UNKNOWN_PLACE:
                continue
            zone_cores = cores.setdefault(zone_names[engine.zone], {})
            zone_cores[engine_id] = engine_cores(engine, self.machine_types)
        return cores

    def listed(self) -> dict[str, Machine]:
        """Return all engines of the list as machines, by id; quarantined ones are not in the capacity."""
        zone_names, live = self.zone_names(), self.quarantine.live_engines()
        return {
            engine_id: Machine(
                engine_id,
                zone_names[engine.zone] if engine.zone != UNKNOWN_PLACE else "",
                engine_cores(engine, self.machine_types),
                is_engine=True,
                incarnation=self._incarnation(engine_id),
                is_counted=engine_id in live,
            )
            for engine_id, engine in self.quarantine.listed.items()
        }

    def _incarnation(self, engine_id: str) -> int:
        """Return the latest start time of the engine's process that a source reports; 0 if none does."""
        claims = (view.claims.get(engine_id) for view in self.catalog.views.values())
        return int(max((c.observation.started_at for c in claims if c is not None), default=0.0))
