"""The settings of slow start, and the budget that all engines under it share. Pure."""

from __future__ import annotations

from dataclasses import dataclass, field

from cottonhold.fleet.zone_failover.messages import zone_number
from cottonhold.fleet.zone_failover.quota_lending import QuotaSettings

WARMUP_BUDGET = zone_number("cold engines")  # divided in quotas as that of a zone is


@dataclass(slots=True, frozen=True)
class SlowStartSettings:
    """Times in ms; shares and speeds are parts of an engine's full capacity.

    initial_share: what a cold engine bears. doubling_ms: a share doubles at most so often. growth_factor: so
    much more than what was observed is tried, since a speed that rises shows only under load.
    queueing_ratio: answers slower than this part of the work done mean a queue at the engine; then
    drain_factor of what it does is sent until the queue is gone. max_cold_share: most that is sent to an
    engine that is not warm yet, whatever it shows: it may be overloaded at once, and never by being slow
    first. warm_speed: from this speed on, shown for warm_confirmation_ms, an engine is warm; under
    doubtful_speed that begins anew. max_report_age_ms: older reports do not count. checker_slot_ms: how long
    one dispatcher has to check an engine first. max_duration_ms: after so long an engine is free whatever it
    shows: a slow one must not be bounded for good. warm_after_ms: so long after its start an engine is warm,
    as the configuration says. gossip_from_members, gossip_fanout: as for zone reports; gossip_interval_ms:
    between two steps with that many members. settle_ms: so long after the start little is known of engines,
    and they count for what they are likely to bear. retry_after_ms: advice for a client that is rejected
    meanwhile. quota: most of a quota is never lent.
    """

    initial_share: float = 0.3
    doubling_ms: float = 250.0
    growth_factor: float = 1.15
    queueing_ratio: float = 0.4
    drain_factor: float = 0.9
    max_cold_share: float = 0.48
    warm_speed: float = 0.85
    doubtful_speed: float = 0.65
    warm_confirmation_ms: float = 400.0
    max_report_age_ms: float = 1000.0
    checker_slot_ms: float = 100.0
    max_duration_ms: float = 30_000.0
    warm_after_ms: float = 13_000.0
    gossip_from_members: int = 9
    gossip_fanout: int = 4
    gossip_interval_ms: float = 200.0
    settle_ms: float = 600.0
    retry_after_ms: float = 1500.0
    quota: QuotaSettings = field(default_factory=lambda: QuotaSettings(loan_ms=300.0, unlent_share=0.6))
