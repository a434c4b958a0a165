"""Totals of this gateway's attempts in flight on all engines: threads, memory, and both by density."""

from __future__ import annotations

from dataclasses import dataclass, field

from cottonhold.scheduler.engine_state import EngineView
from cottonhold.scheduler.in_flight import InFlightByDensity
from cottonhold.scheduler.query import Query


@dataclass(slots=True)
class FleetInFlight:
    """Totals of the attempts in flight on all engines.

    Attributes:
        on_admitted_engines: The attempts on engines that are not ejected, by density.
        threads: Threads of all attempts.
        memory_mb: Planned memory of all attempts, in MB.
    """

    on_admitted_engines: InFlightByDensity = field(default_factory=InFlightByDensity)
    threads: int = 0
    memory_mb: float = 0.0

    def add_attempt(self, query: Query, engine: EngineView) -> None:
        """Add an attempt that was sent to an engine to the engine and to the totals."""
        engine.add_in_flight(query)
        self.threads += query.query_class.threads
        self.memory_mb += query.planned_memory_mb
        if not engine.ejection_reason:
            self.on_admitted_engines.add_attempt(query)

    def remove_attempt(self, query: Query, engine: EngineView, min_remaining_share: float) -> None:
        """Remove an attempt that has ended from the engine and from the totals.

        The memory is set to 0 when no attempt remains, which discards rounding errors.
        """
        if engine.remove_in_flight(query, min_remaining_share):
            self.threads -= query.query_class.threads
            self.memory_mb = self.memory_mb - query.planned_memory_mb if self.threads else 0.0
            if not engine.ejection_reason:
                self.on_admitted_engines.remove_attempt(query)

    def on_engine_ejected(self, engine: EngineView) -> None:
        """Remove the attempts on an engine that has just been ejected from `on_admitted_engines`."""
        for query in engine.in_flight.values():
            self.on_admitted_engines.remove_attempt(query)

    def on_engine_readmitted(self, engine: EngineView) -> None:
        """Add the attempts on an engine that has just been readmitted to `on_admitted_engines`."""
        for query in engine.in_flight.values():
            self.on_admitted_engines.add_attempt(query)
