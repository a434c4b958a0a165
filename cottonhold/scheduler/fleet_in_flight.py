"""All attempts of this gateway in flight: threads, memory, and those not on ejected engines by density."""

from __future__ import annotations

from dataclasses import dataclass, field

from cottonhold.scheduler.engine_state import EngineView
from cottonhold.scheduler.in_flight import InFlightByDensity
from cottonhold.scheduler.query import Query


@dataclass(slots=True)
class FleetInFlight:
    """Totals over all engines; attempts on ejected engines are left out of `on_admitted_engines`."""

    on_admitted_engines: InFlightByDensity = field(default_factory=InFlightByDensity)
    threads: int = 0
    memory_mb: float = 0.0

    def add_attempt(self, query: Query, engine: EngineView) -> None:
        """Count an attempt that was sent to an engine, there and here."""
        engine.add_in_flight(query)
        self.threads += query.query_class.threads
        self.memory_mb += query.planned_memory_mb
        if not engine.ejection_reason:
            self.on_admitted_engines.add_attempt(query)

    def remove_attempt(self, query: Query, engine: EngineView, min_remaining_share: float) -> None:
        """Count an attempt that has ended no more; with none left the memory is zero, without rounding."""
        if engine.remove_in_flight(query, min_remaining_share):
            self.threads -= query.query_class.threads
            self.memory_mb = self.memory_mb - query.planned_memory_mb if self.threads else 0.0
            if not engine.ejection_reason:
                self.on_admitted_engines.remove_attempt(query)

    def on_engine_ejected(self, engine: EngineView) -> None:
        """Leave out the attempts on an engine that is ejected now."""
        for query in engine.in_flight.values():
            self.on_admitted_engines.remove_attempt(query)

    def on_engine_readmitted(self, engine: EngineView) -> None:
        """Count the attempts on an engine that is readmitted now."""
        for query in engine.in_flight.values():
            self.on_admitted_engines.add_attempt(query)
