"""The settings of the cost estimator. Pure."""

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
    """Times in ms. max_report_age_ms: older reports do not count. snapshot_interval_ms: between two snapshots
    while capacity is missing or there is no plan yet; idle_snapshot_interval_ms: else. plan_ttl_ms: so long a
    plan counts without fresh reports of enough instances. report_interval_ms: between two rounds of reports;
    gossip_from_members, gossip_fanout: as for demand reports. memory_ms: of which data sets are warm where.
    max_zones_for_pairs: up to so many zones the loss of pairs is foreseen.

    min_bearable_share: part of the utility offered, or of what is served now if that is less, that must be
    served with any one zone lost. warming_share: part of the cores that cold engines give first.
    min_retained_share: a smaller part of a zone is not worth the queries that it delays. cross_zone: which
    zones serve whose clients while capacity is missing; None: any. limits_when_calm: also while none is.
    save_interval_ms: between two reports for the disk.
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
