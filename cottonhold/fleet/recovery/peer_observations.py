"""What one instance learns of another from its reports: incarnation, boot count, and its view of others.
Does no I/O.

An incarnation is identified by a number drawn at each start. Start times are on this instance's clock. They
are computed from reported uptimes, so they are too late by the transmission time of the report at most.
Reports may arrive in any order: of one incarnation the one with the longest uptime is used.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from cottonhold.fleet.recovery.messages import MemoryState, PeerState, Presence


@dataclass(slots=True)
class Incarnation:
    """One process that uses a number.

    Attributes:
        id: Number drawn at the start of the process.
        started_at: Upper bound of its start time, in ms of this instance's clock.
        uptime_ms: Uptime in its newest report.
    """

    id: int
    started_at: float
    uptime_ms: float


@dataclass(slots=True)
class SilenceReport:
    """A peer's report on its last contact with a third dispatcher; times in ms of this instance's clock.

    Attributes:
        last_contact_before: Upper bound of the time at which the peer last received a report from the
            dispatcher.
        reported_after: Lower bound of the time at which the peer sent this information.
    """

    last_contact_before: float
    reported_after: float


@dataclass(slots=True)
class PeerObservation:
    """One instance's observations of another configured dispatcher; times in ms.

    Attributes:
        number: The dispatcher's number.
        member: The member that is bound to the number; 0 if none is.
        boot_count, checkpoint: The highest known values.
        current: The current incarnation, if any has reported.
        previous: The incarnation before the current one.
        alternations: How often the current and the previous incarnation reported in turns.
        rival_reports: Reports of other members for this number while the bound member was alive.
        has_stale_folder: Whether the incarnation started with a lower checkpoint than a known one.
        was_clean_shutdown: Whether the incarnation before the current one was shut down cleanly.
        memory: The state of its memory, as last reported.
        received_at: When its last report arrived.
        acknowledged_sent_at: When this instance sent the newest of its reports that the peer has received.
        view_of_self: Its last report on this instance.
        silences: Its reports on dispatchers that it receives nothing from, by number.
    """

    number: int
    member: int = 0
    boot_count: int = 0
    checkpoint: int = 0
    current: Incarnation | None = None
    previous: Incarnation | None = None
    alternations: int = 0
    rival_reports: int = 0
    has_stale_folder: bool = False
    was_clean_shutdown: bool = True
    memory: MemoryState = MemoryState.EMPTY
    received_at: float = -math.inf
    acknowledged_sent_at: float = -math.inf
    view_of_self: PeerState | None = None
    silences: dict[int, SilenceReport] = field(default_factory=dict)

    def apply(self, now: float, presence: Presence) -> bool:
        """Merge a report; return whether it is newer than those before.

        A folder is recognized as stale by its checkpoint. Its boot count doesn't suffice: after enough starts
        an old folder reaches a boot count that no other instance has recorded, while its checkpoint stays.
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
        """Return the incarnation that sent a report, and make it the current one; None if the report is
        old."""
        current, previous = self.current, self.previous
        if current is not None and current.id == presence.incarnation:
            return current if presence.uptime_ms > current.uptime_ms else None
        if previous is not None and previous.id == presence.incarnation:
            if presence.uptime_ms <= previous.uptime_ms:
                return None
            # Two processes with one folder look like restarts; only their alternating reports reveal them.
            self.alternations += 1
            self.previous, self.current = current, previous
            return previous
        self.alternations, self.rival_reports, self.previous, self.has_stale_folder = 0, 0, current, False
        self.current = Incarnation(presence.incarnation, now - presence.uptime_ms, -1.0)
        self.silences, self.view_of_self, self.acknowledged_sent_at = {}, None, -math.inf
        return self.current

    def on_view_of_self(self, state: PeerState, incarnation: int, started_at: float) -> None:
        """Record what the peer reports of this instance, whose incarnation began at `started_at`."""
        self.view_of_self = state
        if state.incarnation == incarnation and state.age_ms is not None:
            self.acknowledged_sent_at = max(self.acknowledged_sent_at, started_at + state.uptime_ms)

    def on_view_of_third(self, now: float, state: PeerState, max_report_age_ms: float) -> None:
        """Record what the peer reports of a third dispatcher; called after `on_view_of_self` for the same
        report.

        A peer whose current incarnation has received nothing from the third dispatcher may have received
        reports until that incarnation began.
        """
        assert self.current is not None
        if state.age_ms is not None and state.age_ms <= max_report_age_ms:
            self.silences.pop(state.number, None)
            return
        last_contact_before = self.current.started_at if state.age_ms is None else now - state.age_ms
        self.silences[state.number] = SilenceReport(last_contact_before, self.acknowledged_sent_at)

    def state(self, now: float, min_alternations: int) -> PeerState:
        """Return what is known of this dispatcher, for a report to others.

        Of two processes at the same time the one that started first is reported. If only another member
        claims the number, it is the current one, since the previous incarnation has ended.

        Args:
            now: The current time.
            min_alternations: Number of alternations or rival reports from which two processes are assumed.
        """
        incarnation = self.current
        if incarnation is None:
            return PeerState(self.number, self.boot_count)
        alternates = self.alternations >= min_alternations
        is_duplicate = alternates or self.rival_reports >= min_alternations
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
