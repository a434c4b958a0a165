"""The log of requests in the model of outages, and what is counted from it."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class Row:
    """What became of one request, or of one run of it at an engine."""

    at: float
    what: str  # came, ran, served, refused, late
    home: str
    utility: float = 0.0
    zone: str = ""
    work_ms: float = 0.0
    cold_work_ms: float = 0.0
    round_trip_ms: float = 0.0
    arrived_at: float = -1.0


class Log(list[Row]):
    """All that happened, in order."""

    def share(self, begin: float, end: float) -> float:
        """Utility served of what arrived in that time, as a part of it."""
        came = sum(row.utility for row in self if row.what == "came" and begin <= row.at < end)
        served = (row.utility for row in self if row.what == "served" and begin <= row.arrived_at < end)
        return sum(served) / max(came, 1e-9)

    def flows(self, begin: float, end: float) -> dict[tuple[str, str], tuple[float, float]]:
        """Work in cores, and mean round trip in ms, by home and zone."""
        found: dict[tuple[str, str], tuple[float, float]] = {}
        for row in self:
            if row.what == "served" and begin <= row.at < end:
                work, trips = found.get((row.home, row.zone), (0.0, 0.0))
                found[row.home, row.zone] = work + row.work_ms, trips + row.work_ms * row.round_trip_ms
        return {pair: (work / (end - begin), trips / work) for pair, (work, trips) in found.items()}

    def trip(self, begin: float, end: float) -> float:
        """Mean round trip of what was served, in ms."""
        trips = [row.round_trip_ms for row in self if row.what == "served" and begin <= row.at < end]
        return sum(trips) / max(len(trips), 1)

    def extra(self, begin: float, end: float) -> float:
        """Cold work in cores."""
        return sum(r.cold_work_ms for r in self if r.what == "ran" and begin <= r.at < end) / (end - begin)
