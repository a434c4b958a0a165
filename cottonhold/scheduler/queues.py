"""Queues of queries: by the time their client gives up, and by key in the order taken."""

from __future__ import annotations

import heapq
import math
from collections import deque
from dataclasses import dataclass, field

from cottonhold.scheduler.state import Query


@dataclass(slots=True)
class Deadlines:
    """Queries by the time their client gives up; those over are dropped when they come up."""

    heap: list[tuple[float, int, Query]] = field(default_factory=list)

    def add(self, query: Query) -> None:
        """Remember a query's deadline."""
        heapq.heappush(self.heap, (query.due, query.order, query))

    def cut(self, until: float) -> None:
        """No query has longer than that."""
        late = [query for due, _, query in self.heap if due > until and not query.over]
        self.heap = [entry for entry in self.heap if entry[0] <= until]
        heapq.heapify(self.heap)
        for query in late:
            query.due = until
            self.add(query)

    def first(self) -> float:
        """The earliest deadline of a query not over."""
        while self.heap and self.heap[0][2].over:
            heapq.heappop(self.heap)
        return self.heap[0][0] if self.heap else math.inf

    def take(self, until: float) -> list[Query]:
        """Remove and return the queries due by then."""
        taken = []
        while self.first() <= until:
            taken.append(heapq.heappop(self.heap)[2])
        return taken


@dataclass(slots=True)
class Turns:
    """Queries of each key in the order taken, and until when a key rests."""

    lines: dict[str, deque[Query]] = field(default_factory=dict)
    rests: dict[str, float] = field(default_factory=dict)

    def join(self, key: str, query: Query) -> None:
        """Take the last place of the key's line."""
        self.lines.setdefault(key, deque()).append(query)

    def rest(self, key: str, now: float, until: float) -> None:
        """Let a key rest; rests that are past are forgotten, so that memory does not grow with keys."""
        self.rests = {k: t for k, t in self.rests.items() if t > now}
        self.rests[key] = until

    def tidy(self, key: str) -> None:
        """Let those go that are over and have no attempt out."""
        line = self.lines[key]
        while line and line[0].over and not line[0].out:
            line.popleft()
        if not line:
            del self.lines[key]
