"""Every time-out of the membership protocol, with its reason."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class SwimSettings:
    """Time-outs and bounds of the membership protocol.

    probe_interval_ms: one probe; with five members each is probed within a second. ping_timeout_ms: the
    direct ping's part of it, several round trips of one site. indirect_probes: members that are asked for an
    indirect ping. min_suspicion_intervals: the shortest suspicion, in probe intervals times log10 of the
    members: a refutation needs that long to spread. max_suspicion_factor: the longest suspicion is so many
    times that; without Lifeguard the shortest counts. max_confirmations: independent ones that bring a
    suspicion to its shortest. max_awareness: the local health multiplier at its worst. retransmit_factor: an
    update is sent so many times log10 of the members. sync_interval_ms, max_sync_datagrams: full exchange of
    tables, also with members believed dead, so that halves of a split network meet again. retention_ms: how
    long the dead are remembered; longer than any replay or late update lives. stall_threshold_ms: a step
    later than this past its due time means that this instance stood still, and its own time-outs prove
    nothing. uses_lifeguard: with the Lifeguard additions."""

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
