"""Suspicions of members: long while one instance alone has one, shorter with each confirmation."""

from __future__ import annotations

import heapq
import math
from collections.abc import Iterator
from dataclasses import dataclass, field

from cottonhold.membership.swim_settings import SwimSettings


@dataclass(slots=True)
class Suspicion:
    """A suspicion of one member: its sources, and when it ends. Times in ms."""

    started_at: float
    min_ms: float
    max_ms: float
    confirmations_needed: int
    sources: set[int] = field(default_factory=set)

    def ends_at(self) -> float:
        """Late while one instance alone has it; as early as possible once enough others confirm it."""
        confirmations = max(len(self.sources) - 1, 0)
        if self.confirmations_needed < 1 or confirmations >= self.confirmations_needed:
            return self.started_at + self.min_ms
        fraction = math.log(confirmations + 1) / math.log(self.confirmations_needed + 1)
        return self.started_at + max(self.min_ms, self.max_ms - fraction * (self.max_ms - self.min_ms))


def begin_suspicion(now: float, source: int, live_count: int, settings: SwimSettings) -> Suspicion:
    """A suspicion by one source, where so many members are live, this instance included.

    Its length grows with the logarithm of the members, since a refutation needs that long to spread.
    """
    spread = max(1.0, math.log10(live_count + 1))
    min_ms = settings.min_suspicion_intervals * settings.probe_interval_ms * spread
    if not settings.uses_lifeguard:
        return Suspicion(now, min_ms, min_ms, 0, {source})
    needed = min(settings.max_confirmations, live_count - 2)
    return Suspicion(now, min_ms, min_ms * settings.max_suspicion_factor, needed, {source})


class SuspicionTimers:
    """Members by when their suspicions end. An end may have moved since: the caller checks it again."""

    def __init__(self) -> None:
        self._heap: list[tuple[float, int]] = []

    def schedule(self, member: int, ends_at: float) -> None:
        """Look at a member's suspicion again at this time."""
        heapq.heappush(self._heap, (ends_at, member))

    def has(self, member: int, ends_at: float) -> bool:
        """Whether exactly this is scheduled."""
        return (ends_at, member) in self._heap

    def next_at(self) -> float:
        """When the next one is due."""
        return self._heap[0][0] if self._heap else math.inf

    def pop_due(self, now: float) -> Iterator[int]:
        """Members whose time is over, one by one."""
        while self._heap and self._heap[0][0] <= now:
            yield heapq.heappop(self._heap)[1]
