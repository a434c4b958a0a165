"""Queues of queries: by deadline, and by ordering key in order of arrival."""

from __future__ import annotations

import heapq
import math
from collections import deque
from dataclasses import dataclass, field
from typing import NamedTuple

from cottonhold.scheduler.query import Query


class DeadlineEntry(NamedTuple):
    """A query in the heap; entries with equal deadlines are sorted by arrival."""

    deadline_at: float
    sequence: int
    query: Query


@dataclass(slots=True)
class Deadlines:
    """Queries by deadline; finished queries are dropped when they reach the front of the heap."""

    heap: list[DeadlineEntry] = field(default_factory=list)

    def add(self, query: Query) -> None:
        """Add a query with its deadline."""
        heapq.heappush(self.heap, DeadlineEntry(query.deadline_at, query.sequence, query))

    def cap(self, latest: float) -> None:
        """Change deadlines after `latest` to `latest`."""
        late = [
            entry.query for entry in self.heap if entry.deadline_at > latest and not entry.query.is_finished
        ]
        self.heap = [entry for entry in self.heap if entry.deadline_at <= latest]
        heapq.heapify(self.heap)
        for query in late:
            query.deadline_at = latest
            self.add(query)

    def earliest(self) -> float:
        """Return the earliest deadline of the queries that are not finished; infinity if there are none."""
        while self.heap and self.heap[0].query.is_finished:
            heapq.heappop(self.heap)
        return self.heap[0].deadline_at if self.heap else math.inf

    def pop_expired(self, now: float) -> list[Query]:
        """Remove and return the unfinished queries whose deadline has been reached."""
        expired = []
        while self.earliest() <= now:
            expired.append(heapq.heappop(self.heap).query)
        return expired


@dataclass(slots=True)
class KeyQueues:
    """The queries of each ordering key in order of arrival, and the end of each key's quiet time."""

    queries_by_key: dict[str, deque[Query]] = field(default_factory=dict)
    quiet_until: dict[str, float] = field(default_factory=dict)

    def append(self, key: str, query: Query) -> None:
        """Append a query to the queue of its key."""
        self.queries_by_key.setdefault(key, deque()).append(query)

    def quiet(self, key: str, now: float, until: float) -> None:
        """Set the end of a key's quiet time; expired entries are dropped, which bounds the memory used."""
        self.quiet_until = {other: end for other, end in self.quiet_until.items() if end > now}
        self.quiet_until[key] = until

    def remove_finished(self, key: str) -> None:
        """Remove the queries at the head of a key's queue that are finished and have no attempt in flight."""
        queue = self.queries_by_key[key]
        while queue and queue[0].is_finished and not queue[0].is_in_flight:
            queue.popleft()
        if not queue:
            del self.queries_by_key[key]
