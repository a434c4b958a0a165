"""The log of requests in the model of outages, and what is counted from it. Times are ms."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


class RequestEvent(StrEnum):
    """What became of a request, or of one run of it at an engine."""

    ARRIVED = "came"
    RAN = "ran"
    SERVED = "served"
    REJECTED = "refused"
    LATE = "late"


@dataclass(slots=True, frozen=True)
class LogEntry:
    """An event of a request.

    home: its client's zone. zone: the engine's. cold_work_ms: work because its data set was not cached.
    """

    at: float
    event: RequestEvent
    home: str
    utility: float = 0.0
    zone: str = ""
    work_ms: float = 0.0
    cold_work_ms: float = 0.0
    round_trip_ms: float = 0.0
    arrived_at: float = -1.0


class RequestLog(list[LogEntry]):
    """All that happened, in order."""

    def _between(self, event: RequestEvent, begin: float, end: float) -> list[LogEntry]:
        return [entry for entry in self if entry.event is event and begin <= entry.at < end]

    def served_share(self, begin: float, end: float) -> float:
        """Utility served of what arrived in that time, as a part of it."""
        arrived = sum(entry.utility for entry in self._between(RequestEvent.ARRIVED, begin, end))
        served = (
            entry.utility
            for entry in self
            if entry.event is RequestEvent.SERVED and begin <= entry.arrived_at < end
        )
        return sum(served) / max(arrived, 1e-9)

    def flows(self, begin: float, end: float) -> dict[tuple[str, str], tuple[float, float]]:
        """Work in cores, and mean round trip in ms, by home and zone."""
        flows: dict[tuple[str, str], tuple[float, float]] = {}
        for entry in self._between(RequestEvent.SERVED, begin, end):
            work_ms, weighted_ms = flows.get((entry.home, entry.zone), (0.0, 0.0))
            flows[entry.home, entry.zone] = (
                work_ms + entry.work_ms,
                weighted_ms + entry.work_ms * entry.round_trip_ms,
            )
        return {
            pair: (work_ms / (end - begin), weighted_ms / work_ms)
            for pair, (work_ms, weighted_ms) in flows.items()
        }

    def mean_round_trip_ms(self, begin: float, end: float) -> float:
        """Mean round trip of what was served."""
        round_trips = [entry.round_trip_ms for entry in self._between(RequestEvent.SERVED, begin, end)]
        return sum(round_trips) / max(len(round_trips), 1)

    def cold_cores(self, begin: float, end: float) -> float:
        """Cores spent on work because data sets were not cached."""
        runs = self._between(RequestEvent.RAN, begin, end)
        return sum(entry.cold_work_ms for entry in runs) / (end - begin)
