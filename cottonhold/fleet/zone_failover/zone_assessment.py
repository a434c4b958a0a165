"""What this instance knows of each zone when it decides on its evacuation. Pure."""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping
from dataclasses import dataclass

from cottonhold.fleet.zone_failover.evacuation import Evacuation
from cottonhold.fleet.zone_failover.failure_evidence import FailureEvidence, ZoneHealth
from cottonhold.fleet.zone_failover.messages import Vote, zone_number
from cottonhold.fleet.zone_failover.operator_overrides import OverrideMode, Overrides
from cottonhold.fleet.zone_failover.zone_state import LocalEvidence, ZonePhase

MIN_RETAINED_SHARE = 0.1  # a smaller part of a zone is not worth the queries that it delays

PlannedShare = Callable[[float, str, float], float | None]  # now, zone, share served -> share to retain


@dataclass(slots=True, frozen=True)
class AssessmentSettings:
    """checks_are_shared: membership divides the health checks, so that their results reach all instances.
    max_check_age_ms: so old may the last good health check of an engine be."""

    checks_are_shared: bool
    max_check_age_ms: float


class ZoneAssessment:
    """Feed it engines and health checks. planned_share: what the failover cost's plan would retain of a zone,
    None without a plan."""

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
        self.checked_at: dict[str, float] = {}  # engine -> its last good health check
        self.served_shares: dict[str, float] = {}  # zone -> share of good attempts when it was last in use

    def set_engines(self, engines: Mapping[str, Mapping[str, float]]) -> None:
        """Cores by zone and engine."""
        self.engines = engines
        known = {engine for there in engines.values() for engine in there}
        self.checked_at = {engine: at for engine, at in self.checked_at.items() if engine in known}

    def on_health_check(self, now: float, engine: str, succeeded: bool) -> None:
        """A health check has ended."""
        if succeeded:
            self.checked_at[engine] = now
        else:
            self.checked_at.pop(engine, None)

    def assess(self, now: float, offered_cores: float) -> dict[str, LocalEvidence]:
        """What is known of each zone; offered_cores: the load of the whole fleet."""
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
        return Vote.EVACUATE if override.mode is OverrideMode.EVACUATE else Vote.KEEP

    def _retained_share(self, now: float, offered_cores: float, zone: str) -> float:
        """Share of a zone's full load that is best still sent there while it is evacuated.

        Never more than the zone serves: a share that is sent to a zone that answers nothing only keeps its
        clients waiting.
        """
        served = self.served_shares.get(zone, 0.0)
        planned = self.planned_share(now, zone, served) if served > 0 else None
        wanted = planned if planned is not None else self._share_without_capacity(offered_cores, zone)
        return min(wanted, served)

    def _share_without_capacity(self, offered_cores: float, zone: str) -> float:
        """Share of a zone's load that the other zones can't carry; sent there, it would overload them too."""
        capacity = sum(
            sum(cores.values()) * self.evacuation.traffic_share(other)
            for other, cores in self.engines.items()
            if other != zone
        )
        usable = self.evacuation.settings.usable_capacity_share * capacity
        return min(max((offered_cores - usable) / sum(self.engines[zone].values()), 0.0), 1.0)

    def _engines_answer(self, now: float, zone: str, evacuated_at: float) -> bool:
        """Whether half of a zone's engines have passed a recent health check since its evacuation."""
        if not self.settings.checks_are_shared:
            return True
        engines = self.engines[zone]
        oldest = max(now - self.settings.max_check_age_ms, evacuated_at)
        passed = sum(self.checked_at.get(engine, -math.inf) > oldest for engine in engines)
        return 2 * passed >= len(engines)
