"""Queues of queries: by deadline, and by ordering key in order of arrival."""

from __future__ import annotations

import heapq
import math
from collections import deque
from dataclasses import dataclass, field
from typing import NamedTuple

from cottonhold.scheduler.query import Query


class DeadlineEntry(NamedTuple):
    """A query in the heap; of equal deadlines the earlier arrival comes first."""

    deadline_at: float
    sequence: int
    query: Query


@dataclass(slots=True)
class Deadlines:
    """Queries by deadline; those that are finished are dropped when they come up."""

    heap: list[DeadlineEntry] = field(default_factory=list)

    def add(self, query: Query) -> None:
        """Add a query under its deadline."""
        heapq.heappush(self.heap, DeadlineEntry(query.deadline_at, query.sequence, query))

    def cap(self, latest: float) -> None:
        """Bring later deadlines forward to `latest`."""
        late = [
            entry.query for entry in self.heap if entry.deadline_at > latest and not entry.query.is_finished
        ]
        self.heap = [entry for entry in self.heap if entry.deadline_at <= latest]
        heapq.heapify(self.heap)
        for query in late:
            query.deadline_at = latest
            self.add(query)

    def earliest(self) -> float:
        """The earliest deadline of a query that is not finished; infinity without one."""
        while self.heap and self.heap[0].query.is_finished:
            heapq.heappop(self.heap)
        return self.heap[0].deadline_at if self.heap else math.inf

    def pop_expired(self, now: float) -> list[Query]:
        """Remove and return the queries whose deadline has come."""
        expired = []
        while self.earliest() <= now:
            expired.append(heapq.heappop(self.heap).query)
        return expired


@dataclass(slots=True)
class KeyQueues:
    """The queries of each ordering key in order of arrival, and until when a key is quiet."""

    queries_by_key: dict[str, deque[Query]] = field(default_factory=dict)
    quiet_until: dict[str, float] = field(default_factory=dict)

    def append(self, key: str, query: Query) -> None:
        """Add a query behind all others of its key."""
        self.queries_by_key.setdefault(key, deque()).append(query)

    def quiet(self, key: str, now: float, until: float) -> None:
        """Keep a key quiet; past entries are dropped, so that memory does not grow with the keys."""
        self.quiet_until = {other: end for other, end in self.quiet_until.items() if end > now}
        self.quiet_until[key] = until

    def remove_finished(self, key: str) -> None:
        """Remove the first queries of a key that are finished and have no attempt in flight."""
        queue = self.queries_by_key[key]
        while queue and queue[0].is_finished and not queue[0].is_in_flight:
            queue.popleft()
        if not queue:
            del self.queries_by_key[key]
