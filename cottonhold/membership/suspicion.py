"""Suspicions of members, which become shorter with each independent confirmation (Lifeguard)."""

from __future__ import annotations

import heapq
import math
from collections.abc import Iterator
from dataclasses import dataclass, field

from cottonhold.membership.swim_settings import SwimSettings


@dataclass(slots=True)
class Suspicion:
    """A suspicion of one member.

    Attributes:
        started_at: When the suspicion began, in ms.
        min_ms: Duration once it has enough confirmations, in ms.
        max_ms: Duration without confirmations, in ms.
        confirmations_needed: Number of confirmations that reduce the duration to `min_ms`.
        sources: The ids of the members that suspect it.
    """

    started_at: float
    min_ms: float
    max_ms: float
    confirmations_needed: int
    sources: set[int] = field(default_factory=set)

    def ends_at(self) -> float:
        """Return when the suspicion ends: the earlier, the more members have confirmed it."""
        confirmations = max(len(self.sources) - 1, 0)
        if self.confirmations_needed < 1 or confirmations >= self.confirmations_needed:
            return self.started_at + self.min_ms
        fraction = math.log(confirmations + 1) / math.log(self.confirmations_needed + 1)
        return self.started_at + max(self.min_ms, self.max_ms - fraction * (self.max_ms - self.min_ms))


def begin_suspicion(now: float, source: int, live_count: int, settings: SwimSettings) -> Suspicion:
    """Return a new suspicion by one source.

    Its duration grows with the logarithm of the number of members, as does the time in which a refutation
    reaches all of them.

    Args:
        now: The time in ms.
        source: The id of the member that suspects.
        live_count: The number of live members, including this instance.
        settings: The settings of the membership protocol.
    """
    spread = max(1.0, math.log10(live_count + 1))
    min_ms = settings.min_suspicion_intervals * settings.probe_interval_ms * spread
    if not settings.uses_lifeguard:
        return Suspicion(now, min_ms, min_ms, 0, {source})
    needed = min(settings.max_confirmations, live_count - 2)
    return Suspicion(now, min_ms, min_ms * settings.max_suspicion_factor, needed, {source})


class SuspicionTimers:
    """A queue of members by the ends of their suspicions.

    An entry isn't removed when the suspicion's end changes, so the caller must check a due member again.
    """

    def __init__(self) -> None:
        self._heap: list[tuple[float, int]] = []

    def schedule(self, member: int, ends_at: float) -> None:
        """Add an entry for a member whose suspicion ends at this time."""
        heapq.heappush(self._heap, (ends_at, member))

    def has(self, member: int, ends_at: float) -> bool:
        """Return whether there is an entry for this member and time."""
        return (ends_at, member) in self._heap

    def next_at(self) -> float:
        """Return the time of the next entry; infinity if there is none."""
        return self._heap[0][0] if self._heap else math.inf

    def pop_due(self, now: float) -> Iterator[int]:
        """Remove all due entries, and yield their members."""
        while self._heap and self._heap[0][0] <= now:
            yield heapq.heappop(self._heap)[1]
