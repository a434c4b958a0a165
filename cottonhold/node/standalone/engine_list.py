"""The engine list as this instance publishes it: what sources report, less what the fleet quarantines."""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence

from cottonhold.discovery.model import EngineListChange
from cottonhold.discovery.quarantine import Quarantine
from cottonhold.fleet.rolling_replacement.plan import Machine
from cottonhold.node.dispatcher import Dispatcher
from cottonhold.scheduler.engine_state import engine_cores
from cottonhold.scheduler.events import Engine


class EngineListPublisher:
    """Publishes changes of the list, and shows its engines to the parts of the fleet.

    zone_names: by the engines' zone numbers; on_published: called with the engines in service after a change.
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
        """Sources have changed the list."""
        self.republish(self.quarantine.on_change(change))

    def republish(self, change: EngineListChange | None) -> None:
        """Publish engines that the fleet quarantines from now on, or no longer; None changes nothing."""
        if change is None:
            return
        self.gateway.on_engine_list(change)
        self.on_published(self.quarantine.live_engines())

    def quarantine_for(
        self, duration_ms: float, engines: set[str], still_drained: Callable[[], set[str]]
    ) -> None:
        """Quarantine engines for a time; those that are still drained when it is over stay quarantined."""

        def release() -> None:
            for engine in sorted(engines - still_drained()):
                self.republish(self.quarantine.release(engine))

        for engine in sorted(engines):
            self.republish(self.quarantine.quarantine(engine))
        self.clock.call_in(duration_ms, release)

    def cores_by_zone(self, live: Mapping[str, Engine]) -> dict[str, dict[str, float]]:
        """The cores of each engine, by the name of its zone and its id."""
        zone_names, cores = self.zone_names(), dict[str, dict[str, float]]()
        for engine_id, engine in live.items():
            zone_cores = cores.setdefault(zone_names[engine.zone], {})
            zone_cores[engine_id] = engine_cores(engine, self.machine_types)
        return cores

    def listed(self) -> dict[str, Machine]:
        """All engines of the list as machines to be replaced; those in quarantine don't count as capacity."""
        zone_names, live = self.zone_names(), self.quarantine.live_engines()
        return {
            engine_id: Machine(
                engine_id,
                zone_names[engine.zone],
                engine_cores(engine, self.machine_types),
                is_engine=True,
                incarnation=self._incarnation(engine_id),
                is_counted=engine_id in live,
            )
            for engine_id, engine in self.quarantine.listed.items()
        }

    def _incarnation(self, engine_id: str) -> int:
        """When the engine's process started, as the last of its sources says; 0: none says it."""
        claims = (view.claims.get(engine_id) for view in self.catalog.views.values())
        return int(max((c.observation.started_at for c in claims if c is not None), default=0.0))
