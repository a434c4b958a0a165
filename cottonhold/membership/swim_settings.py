"""Settings of the membership protocol."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class SwimSettings:
    """Time-outs and limits of the membership protocol.

    Attributes:
        probe_interval_ms: Time from one probe to the next, in ms; with five members, each is probed within a
            second.
        ping_timeout_ms: Time for the ack of a direct ping before indirect pings are sent, in ms; several
            round trips within one site.
        indirect_probes: Number of members that are asked to ping a member indirectly.
        min_suspicion_intervals: The shortest suspicion, in probe intervals times log10 of the number of
            members, as a refutation needs that long to spread.
        max_suspicion_factor: The longest suspicion, as a multiple of the shortest. Without Lifeguard all
            suspicions are the shortest.
        max_confirmations: Number of independent confirmations that reduce a suspicion to the shortest.
        max_awareness: The upper limit of the local health multiplier.
        retransmit_factor: An update is sent this many times log10 of the number of members.
        sync_interval_ms: Mean time between full syncs of the member table, in ms. They include dead members,
            so that the parts of a partition find each other again.
        max_sync_datagrams: Largest number of datagrams in which a full sync sends the table.
        retention_ms: Time for which dead and departed members are kept, in ms; longer than any replay or late
            update takes to arrive.
        stall_threshold_ms: Delay of a step, in ms, above which this instance is assumed not to have run for a
            while. The time-outs that expired during that time prove nothing.
        uses_lifeguard: Whether the Lifeguard extensions are used.
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
