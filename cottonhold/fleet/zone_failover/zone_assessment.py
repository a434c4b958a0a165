"""Collect this instance's evidence on each zone for the decision on its evacuation; does no I/O."""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping
from dataclasses import dataclass

from cottonhold.fleet.zone_failover.evacuation import Evacuation
from cottonhold.fleet.zone_failover.failure_evidence import FailureEvidence, ZoneHealth
from cottonhold.fleet.zone_failover.messages import Vote, zone_number
from cottonhold.fleet.zone_failover.operator_overrides import OverrideMode, Overrides
from cottonhold.fleet.zone_failover.zone_state import LocalEvidence, ZonePhase

MIN_RETAINED_SHARE = 0.1  # a smaller share of a zone's load delays more queries than it is worth

# Called with the time in ms, a zone and its served share; returns the share of its load to retain, or None.
PlannedShare = Callable[[float, str, float], float | None]


@dataclass(slots=True, frozen=True)
class AssessmentSettings:
    """Settings of the assessment of zones.

    Attributes:
        checks_are_shared: Whether the members divide the health checks among themselves and share the
            results. Without that, health checks are not used.
        max_check_age_ms: Maximum age of an engine's last successful health check, in ms.
    """

    checks_are_shared: bool
    max_check_age_ms: float


class ZoneAssessment:
    """Combines attempts, health checks, overrides and the failover plan into evidence on each zone.

    Report engines by `set_engines` and health checks by `on_health_check`, then call `assess`.

    Args:
        settings: Settings of the assessment.
        evidence: Results of this instance's attempts.
        evacuation: States of the zones.
        overrides: Overrides by operators.
        planned_share: Returns the share of a zone's load that the failover plan retains, None without a plan.
    """

    def __init__(
        self,
        settings: AssessmentSettings,
        evidence: FailureEvidence,
        evacuation: Evacuation,
        overrides: Overrides,
        planned_share: PlannedShare,
    ) -> None:
        self.settings, self.evidence, self.evacuation = settings, evidence, evacuation
        self.overrides, self.planned_share = overrides, planned_share
        self.engines: Mapping[str, Mapping[str, float]] = {}
        self.checked_at: dict[str, float] = {}  # engine -> time of its last successful health check
        # zone -> share of served attempts at the last time that there were any
        self.served_shares: dict[str, float] = {}

    def set_engines(self, engines: Mapping[str, Mapping[str, float]]) -> None:
        """Replace the engines, given as cores by zone and engine."""
        self.engines = engines
        known = {engine for cores_by_engine in engines.values() for engine in cores_by_engine}
        self.checked_at = {engine: at for engine, at in self.checked_at.items() if engine in known}

    def on_health_check(self, now: float, engine: str, succeeded: bool) -> None:
        """Record the result of a health check."""
        if succeeded:
            self.checked_at[engine] = now
        else:
            self.checked_at.pop(engine, None)

    def assess(self, now: float, offered_cores: float) -> dict[str, LocalEvidence]:
        """Return the evidence on each zone; offered_cores is the load of the whole fleet."""
        health = self.evidence.assess(now)
        return {zone: self._assess(now, zone, health[zone], offered_cores) for zone in self.evacuation.states}

    def _assess(self, now: float, zone: str, health: ZoneHealth, offered_cores: float) -> LocalEvidence:
        state, counts = self.evacuation.states[zone], self.evidence.counts(zone)
        if sum(counts):
            self.served_shares[zone] = self.evidence.served_share(zone)
        retained = self._retained_share(now, offered_cores, zone)
        evacuated = state.phase is ZonePhase.EVACUATED
        return LocalEvidence(
            health,
            counts,
            self.evidence.suspects_failure(zone),
            evacuated and self._engines_answer(now, zone, state.since),
            retained if retained >= MIN_RETAINED_SHARE else 0.0,
            self._overriding_vote(now, zone),
        )

    def _overriding_vote(self, now: float, zone: str) -> Vote | None:
        override = self.overrides.in_force(now, zone_number(zone))
        if override is None:
            return None
        return Vote.EVACUATE if override.mode is OverrideMode.EVACUATE else Vote.SERVE

    def _retained_share(self, now: float, offered_cores: float, zone: str) -> float:
        """Return the share of a zone's full load to keep sending there while it is evacuated.

        It is never more than the share of attempts that the zone serves: requests beyond that would only wait
        for answers that do not come.
        """
        served = self.served_shares.get(zone, 0.0)
        planned = self.planned_share(now, zone, served) if served > 0 else None
        share = planned if planned is not None else self._share_without_capacity(offered_cores, zone)
        return min(share, served)

    def _share_without_capacity(self, offered_cores: float, zone: str) -> float:
        """Return the share of a zone's load that would overload the other zones."""
        capacity = sum(
            sum(cores.values()) * self.evacuation.traffic_share(other)
            for other, cores in self.engines.items()
            if other != zone
        )
        usable = self.evacuation.settings.usable_capacity_share * capacity
        return min(max((offered_cores - usable) / sum(self.engines[zone].values()), 0.0), 1.0)

    def _engines_answer(self, now: float, zone: str, evacuated_at: float) -> bool:
        """Return whether at least half of a zone's engines have passed a recent health check since its
        evacuation; always True if health checks are not shared."""
        if not self.settings.checks_are_shared:
            return True
        engines = self.engines[zone]
        oldest = max(now - self.settings.max_check_age_ms, evacuated_at)
        passed = sum(self.checked_at.get(engine, -math.inf) > oldest for engine in engines)
        return 2 * passed >= len(engines)
