"""The settings of one instance's part in the fleet. Pure."""

from __future__ import annotations

from dataclasses import dataclass, field

from cottonhold.fleet.admission.demand_sharing import DemandSettings
from cottonhold.fleet.failover_cost.estimator_settings import CostEstimatorSettings
from cottonhold.fleet.recovery.slow_start_settings import SlowStartSettings
from cottonhold.fleet.zone_failover.evacuation import EvacuationSettings
from cottonhold.fleet.zone_failover.failure_evidence import EvidenceSettings
from cottonhold.fleet.zone_failover.quota_lending import QuotaSettings
from cottonhold.fleet.zone_failover.reporting import ReportingSettings
from cottonhold.fleet.zone_failover.zone_assessment import AssessmentSettings


@dataclass(slots=True, frozen=True)
class FleetSettings:
    """Times in ms.

    dispatchers: configured ones; each owns one part of a budget. step_interval_ms: between two steps, and two
    rounds of reports while a zone has a fault. report_interval_ms: between two rounds else.
    gossip_from_members, gossip_fanout: see ReportingSettings. max_voters, electorate_memory_ms: see
    Electorate. sheds_load: overload is handled by all together. bounds_ttl_ms: so long bounds hold; an
    instance that was suspended must not go on by old ones. checks_are_shared, max_check_age_ms: see
    AssessmentSettings. slow_start: engines that start get work as all instances see them warm up; None: off.
    failover_cost: the cost of a zone's loss is estimated, and decides how much an evacuated zone retains and
    which zones serve whose clients; None: off. home_zone: of this instance and its clients.
    """

    dispatchers: int = 1
    step_interval_ms: float = 100.0
    report_interval_ms: float = 1000.0
    gossip_from_members: int = 9
    gossip_fanout: int = 4
    max_voters: int = 16
    sheds_load: bool = False
    electorate_memory_ms: float = 60_000.0
    bounds_ttl_ms: float = 500.0
    checks_are_shared: bool = True
    max_check_age_ms: float = 3000.0
    evidence: EvidenceSettings = field(default_factory=EvidenceSettings)
    evacuation: EvacuationSettings = field(default_factory=EvacuationSettings)
    demand: DemandSettings = field(default_factory=DemandSettings)
    quota: QuotaSettings = field(default_factory=QuotaSettings)
    slow_start: SlowStartSettings | None = None
    failover_cost: CostEstimatorSettings | None = None
    home_zone: str = ""

    @property
    def reporting(self) -> ReportingSettings:
        """How zones are reported."""
        return ReportingSettings(
            self.gossip_from_members, self.gossip_fanout, self.evacuation.max_report_age_ms
        )

    @property
    def assessment(self) -> AssessmentSettings:
        """What zones are assessed by."""
        return AssessmentSettings(self.checks_are_shared, self.max_check_age_ms)
