"""The settings of slow start, and the number of the budget that all engines under slow start share;
does no I/O."""

from __future__ import annotations

from dataclasses import dataclass, field

from cottonhold.fleet.zone_failover.messages import zone_number
from cottonhold.fleet.zone_failover.quota_lending import QuotaSettings

WARMUP_BUDGET = zone_number("cold engines")  # divided into quotas like the budget of a zone


@dataclass(slots=True, frozen=True)
class SlowStartSettings:
    """Settings of slow start; times are in ms, shares and speeds are parts of an engine's full capacity.

    Attributes:
        initial_share: What a cold engine can process.
        doubling_ms: Minimum time in which a share may double.
        growth_factor: Factor above the observed rate that is tried, since a higher speed shows only under
            load.
        queueing_ratio: A speed of answers below this part of the work done means that queries queue at the
            engine.
        drain_factor: Part of the observed rate that is sent while queries queue there.
        max_cold_share: Highest share of an engine that is not warm, whatever speed it shows: it may become
            overloaded abruptly, without slowing down first.
        warm_speed: Speed from which an engine is regarded as warm if the speed lasts for
            `warm_confirmation_ms`.
        doubtful_speed: Speed below which that time starts again.
        warm_confirmation_ms: How long an engine must show `warm_speed`.
        max_report_age_ms: Age from which reports are ignored.
        checker_slot_ms: Time slot in which one dispatcher may check an engine first.
        max_duration_ms: Time after which an engine is free whatever speed it shows, so that a slow one isn't
            limited forever.
        warm_after_ms: Time after its start at which an engine is warm according to the configuration.
        gossip_from_members, gossip_fanout: As for zone reports.
        gossip_interval_ms: Time between two steps with `gossip_from_members` or more members.
        settle_ms: Time after this instance's start during which it has few reports on engines and assumes the
            share that they can probably process.
        retry_after_ms: Advised pause for a client that is rejected while engines warm up.
        quota: How the budget is divided among instances; most of a quota is never lent.
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
