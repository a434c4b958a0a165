"""Reports of peer gateways: their traffic, and their work on an engine."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import NamedTuple

from cottonhold.scheduler.query import Query


@dataclass(slots=True)
class ReportedWork:
    """The work of a gateway on an engine: threads and memory in flight, and remaining thread time."""

    received_at: float
    threads: float
    memory_mb: float
    remaining_thread_ms: float
    expires_at: float = math.inf

    def add(self, query: Query, times: int) -> None:
        """Add a query `times` times; -1 subtracts it."""
        self.threads += times * query.query_class.threads
        self.memory_mb += times * query.planned_memory_mb
        self.remaining_thread_ms += times * query.planned_thread_ms


class ReportedTraffic(NamedTuple):
    """A peer's arrivals per second, and the time at which its report was received."""

    received_at: float
    queries_per_s: float
