"""Settings of the membership protocol, with the reasons for their defaults."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class SwimSettings:
    """Time-outs and bounds of the membership protocol.

    probe_interval_ms: of one probe; with five members each is probed within a second.
    ping_timeout_ms: the direct ping's part of it, several round trips in one site.
    indirect_probes: members that are requested to ping indirectly.
    min_suspicion_intervals: the shortest suspicion, in probe intervals times log10 of the members: a
    refutation needs that long to spread.
    max_suspicion_factor: the longest suspicion, in shortest ones; without Lifeguard the shortest counts.
    max_confirmations: independent ones that bring a suspicion to its shortest.
    max_awareness: the local health multiplier at its worst.
    retransmit_factor: an update is sent this many times log10 of the members.
    sync_interval_ms, max_sync_datagrams: of the full exchange of tables, also with members that count as
    dead, so that the halves of a partition find each other again.
    retention_ms: of ended members; longer than any replay or late update is under way.
    stall_threshold_ms: a step that is later than this means that this instance did not run, and that its own
    time-outs prove nothing.
    uses_lifeguard: with the Lifeguard additions.
    """

    probe_interval_ms: float = 200.0
    ping_timeout_ms: float = 80.0
    indirect_probes: int = 3
    min_suspicion_intervals: float = 3.0
    max_suspicion_factor: float = 4.0
    max_confirmations: int = 2
    max_awareness: int = 8
    retransmit_factor: float = 4.0
    sync_interval_ms: float = 5000.0
    max_sync_datagrams: int = 8
    retention_ms: float = 60_000.0
    stall_threshold_ms: float = 100.0
    uses_lifeguard: bool = True
