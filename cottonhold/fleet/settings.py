"""Settings of the fleet coordinator of one instance; does no I/O."""

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
    """Settings of the fleet coordinator and its parts.

    Attributes:
        dispatchers: Number of configured dispatchers. Each of them owns an equal part of every budget.
        step_interval_ms: Time between two steps, and between two rounds of reports while a zone has a fault,
            in ms.
        report_interval_ms: Time between two rounds of reports while no zone has a fault, in ms.
        gossip_from_members: Number of other members from which zone reports are spread by gossip.
        gossip_fanout: Number of members to which each round of gossip is sent.
        max_voters: Maximum number of members that vote on zones.
        sheds_load: Whether all instances together reject requests under overload.
        electorate_memory_ms: Time for which a member that is not alive keeps its vote, in ms.
        bounds_ttl_ms: Time for which engine bounds are valid, in ms. They expire so that an instance that was
            suspended does not continue with old ones.
        checks_are_shared: Whether the members share the results of health checks.
        max_check_age_ms: Maximum age of a health check, in ms.
        evidence: Settings of the evidence on zones from attempts.
        evacuation: Settings of evacuations and returns.
        demand: Settings of the admission threshold.
        quota: Settings of quota lending.
        slow_start: Settings of the shared slow start, in which all instances limit the work of starting
            engines together; None disables it.
        failover_cost: Settings of the estimation of the cost of losing a zone. The estimate determines how
            much traffic an evacuated zone retains and which zones serve which clients; None disables it.
        home_zone: Zone of this instance and its clients.
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
        """Settings of the exchange of zone reports."""
        return ReportingSettings(
            self.gossip_from_members, self.gossip_fanout, self.evacuation.max_report_age_ms
        )

    @property
    def assessment(self) -> AssessmentSettings:
        """Settings of the assessment of zones."""
        return AssessmentSettings(self.checks_are_shared, self.max_check_age_ms)
