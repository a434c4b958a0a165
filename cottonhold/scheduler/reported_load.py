"""What peer gateways report: their traffic, and what each has on an engine."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import NamedTuple

from cottonhold.scheduler.query import Query


@dataclass(slots=True)
class ReportedLoad:
    """What a gateway has on an engine: threads and memory in flight, and the thread time that remains."""

    received_at: float
    threads: float
    memory_mb: float
    remaining_thread_ms: float
    expires_at: float = math.inf

    def add(self, query: Query, times: int) -> None:
        """Add a query, or take it back with -1."""
        self.threads += times * query.query_class.threads
        self.memory_mb += times * query.planned_memory_mb
        self.remaining_thread_ms += times * query.planned_thread_ms


class ReportedTraffic(NamedTuple):
    """A peer's arrivals a second, and when its report came."""

    received_at: float
    queries_per_s: float
