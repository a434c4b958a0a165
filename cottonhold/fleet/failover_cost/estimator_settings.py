"""The settings of the cost estimator; does no I/O."""

from __future__ import annotations

from dataclasses import dataclass, field

from cottonhold.fleet.failover_cost.cost_settings import CostSettings
from cottonhold.fleet.failover_cost.cross_zone_limits import (
    CrossZoneSettings,
)
from cottonhold.fleet.failover_cost.fleet_snapshot import SnapshotSettings
from cottonhold.fleet.failover_cost.hysteresis import HysteresisSettings


@dataclass(slots=True, frozen=True)
class CostEstimatorSettings:
    """Settings of the cost estimator; times are in ms.

    Attributes:
        max_report_age_ms: Age from which reports are ignored.
        snapshot_interval_ms: Time between two snapshots while capacity is missing or there is no plan.
        idle_snapshot_interval_ms: Time between two snapshots otherwise.
        plan_ttl_ms: How long a plan is valid without fresh reports of enough instances.
        report_interval_ms: Mean time between two rounds of reports.
        gossip_from_members, gossip_fanout: As in `DemandSettings`.
        memory_ms: Time constant of the record of which data sets are warm in which zones.
        max_zones_for_pairs: Maximum number of zones with which the loss of each pair is foreseen.
        min_bearable_share: Part of the utility offered, or of the utility served now if that is less, that
            must be served if any one zone is lost.
        warming_share: Part of the cores that cold engines provide at first.
        min_retained_share: Least part of a zone's load that is retained; a smaller part isn't worth the
            queries that it delays.
        snapshot, cost, hysteresis: Settings of these parts.
        cross_zone: Settings of the limits for cross-zone work while capacity is missing; None for no limits.
        limits_when_calm: Whether the limits apply even if no capacity is missing.
        save_interval_ms: Time between two reports that are saved to disk.
    """

    max_report_age_ms: float = 5000.0
    snapshot_interval_ms: float = 1000.0
    idle_snapshot_interval_ms: float = 3000.0
    plan_ttl_ms: float = 30_000.0
    report_interval_ms: float = 1000.0
    gossip_from_members: int = 9
    gossip_fanout: int = 4
    memory_ms: float = 10_000.0
    max_zones_for_pairs: int = 8
    min_bearable_share: float = 0.85
    warming_share: float = 0.2
    min_retained_share: float = 0.1
    snapshot: SnapshotSettings = field(default_factory=SnapshotSettings)
    cost: CostSettings = field(default_factory=CostSettings)
    hysteresis: HysteresisSettings = field(default_factory=HysteresisSettings)
    cross_zone: CrossZoneSettings | None = field(default_factory=CrossZoneSettings)
    limits_when_calm: bool = False
    save_interval_ms: float = 5000.0
