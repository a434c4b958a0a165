"""What one instance knows of another by its reports: incarnation, boot count, and its view of third ones.
Pure.

Incarnations are told apart by a number drawn at each start. Start times are on this instance's clock, from
reported uptimes: at the latest, by how long a report was under way. Reports merge in any order: of one
incarnation the one with the longest uptime counts.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from cottonhold.fleet.recovery.messages import MemoryState, PeerState, Presence


@dataclass(slots=True)
class Incarnation:
    """One process that stands for a number. started_at: at the latest, on this clock. uptime_ms: as last
    reported."""

    id: int
    started_at: float
    uptime_ms: float


@dataclass(slots=True)
class SilenceReport:
    """When another last received a report of a number: at `last_contact_before` at the latest. It reported
    that at `reported_after` at the earliest."""

    last_contact_before: float
    reported_after: float


@dataclass(slots=True)
class PeerObservation:
    """Another configured dispatcher. Times in ms.

    boot_count, checkpoint: the highest known. previous: the incarnation before. alternations: how often the
    two reported in turns. rivals: reports of other members in its name while it was there. has_stale_folder:
    the incarnation began with a checkpoint that was exceeded already. echoed_at: when the newest of our
    reports that it has received was sent. silences: by number, when it last received reports of third ones.
    """

    number: int
    member: int = 0
    boot_count: int = 0
    checkpoint: int = 0
    current: Incarnation | None = None
    previous: Incarnation | None = None
    alternations: int = 0
    rivals: int = 0
    has_stale_folder: bool = False
    was_clean_shutdown: bool = True
    memory: MemoryState = MemoryState.EMPTY
    received_at: float = -math.inf
    echoed_at: float = -math.inf
    view_of_self: PeerState | None = None
    silences: dict[int, SilenceReport] = field(default_factory=dict)

    def apply(self, now: float, presence: Presence) -> bool:
        """Merge a report; returns whether it is news.

        A folder is stale by its checkpoint: an old one that is started often enough comes to a boot count
        that nobody knew, while its checkpoint stays.
        """
        incarnation = self._incarnation_of(now, presence)
        if incarnation is None:
            return False
        incarnation.uptime_ms = presence.uptime_ms
        incarnation.started_at = min(incarnation.started_at, now - presence.uptime_ms)
        is_behind = self.has_stale_folder or presence.checkpoint < self.checkpoint
        self.has_stale_folder = is_behind and presence.memory is MemoryState.INTACT
        self.boot_count, self.checkpoint = (
            max(self.boot_count, presence.boot_count),
            max(self.checkpoint, presence.checkpoint),
        )
        self.received_at, self.memory = now, presence.memory
        self.was_clean_shutdown = presence.was_clean_shutdown
        return True

    def _incarnation_of(self, now: float, presence: Presence) -> Incarnation | None:
        """The incarnation that a report is of, which is the current one from now on; None where the report is
        old."""
        current, previous = self.current, self.previous
        if current is not None and current.id == presence.incarnation:
            return current if presence.uptime_ms > current.uptime_ms else None
        if previous is not None and previous.id == presence.incarnation:
            if presence.uptime_ms <= previous.uptime_ms:
                return None
            # Two processes on one folder look like restarts; only that they alternate gives them away.
            self.alternations += 1
            self.previous, self.current = current, previous
            return previous
        self.alternations, self.rivals, self.previous, self.has_stale_folder = 0, 0, current, False
        self.current = Incarnation(presence.incarnation, now - presence.uptime_ms, -1.0)
        self.silences, self.view_of_self, self.echoed_at = {}, None, -math.inf
        return self.current

    def on_view_of_self(self, state: PeerState, incarnation: int, started_at: float) -> None:
        """What it knows of this instance, whose incarnation began at `started_at`."""
        self.view_of_self = state
        if state.incarnation == incarnation and state.age_ms is not None:
            self.echoed_at = max(self.echoed_at, started_at + state.uptime_ms)

    def on_view_of_third(self, now: float, state: PeerState, max_report_age_ms: float) -> None:
        """What it knows of a third one. Call it after `on_view_of_self` of the same report.

        One that has received none in its current incarnation may have received some until that began.
        """
        assert self.current is not None
        if state.age_ms is not None and state.age_ms <= max_report_age_ms:
            self.silences.pop(state.number, None)
            return
        last_contact_before = self.current.started_at if state.age_ms is None else now - state.age_ms
        self.silences[state.number] = SilenceReport(last_contact_before, self.echoed_at)

    def state(self, now: float, min_alternations: int) -> PeerState:
        """What is known of it, for another. min_alternations: so many turns are two incarnations at once.

        Of two at once the one that was there first is named; not where only another member claims the number,
        since the incarnation before then has ended.
        """
        incarnation = self.current
        if incarnation is None:
            return PeerState(self.number, self.boot_count)
        alternates = self.alternations >= min_alternations
        is_duplicate = alternates or self.rivals >= min_alternations
        previous = self.previous
        if alternates and previous is not None and previous.started_at < incarnation.started_at:
            incarnation = previous
        return PeerState(
            self.number,
            self.boot_count,
            incarnation.id,
            incarnation.uptime_ms,
            now - self.received_at,
            is_duplicate,
            self.has_stale_folder,
        )
