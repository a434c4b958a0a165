"""The log of requests in the model of outages, and figures computed from it. Times are in ms."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


class RequestEvent(StrEnum):
    """Events of a request, or of one of its runs at an engine."""

    ARRIVED = "came"
    RAN = "ran"
    SERVED = "served"
    REJECTED = "refused"
    LATE = "late"


@dataclass(slots=True, frozen=True)
class LogEntry:
    """An event of a request.

    Attributes:
        at: Time of the event, in ms.
        event: Kind of the event.
        home: Zone of the request's client.
        utility: Utility of the request.
        zone: Zone of the engine; empty if the request was not sent.
        work_ms: Work of the request, in ms, without `cold_work_ms`.
        cold_work_ms: Additional work, in ms, because the data set was not cached.
        round_trip_ms: Round trip between the instance and the engine, in ms.
        arrived_at: Time of the request's arrival, in ms, on events that end it.
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
    """All events, in order."""

    def _between(self, event: RequestEvent, begin: float, end: float) -> list[LogEntry]:
        return [entry for entry in self if entry.event is event and begin <= entry.at < end]

    def served_share(self, begin: float, end: float) -> float:
        """Return the share of the utility of requests that arrived in a period that was served."""
        arrived = sum(entry.utility for entry in self._between(RequestEvent.ARRIVED, begin, end))
        served = (
            entry.utility
            for entry in self
            if entry.event is RequestEvent.SERVED and begin <= entry.arrived_at < end
        )
        return sum(served) / max(arrived, 1e-9)

    def flows(self, begin: float, end: float) -> dict[tuple[str, str], tuple[float, float]]:
        """Return the served work in cores and the mean round trip in ms, by client's and engine's zone."""
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
        """Return the mean round trip of served requests, in ms."""
        round_trips = [entry.round_trip_ms for entry in self._between(RequestEvent.SERVED, begin, end)]
        return sum(round_trips) / max(len(round_trips), 1)

    def cold_cores(self, begin: float, end: float) -> float:
        """Return the cores used for additional work because data sets were not cached."""
        runs = self._between(RequestEvent.RAN, begin, end)
        return sum(entry.cold_work_ms for entry in runs) / (end - begin)
