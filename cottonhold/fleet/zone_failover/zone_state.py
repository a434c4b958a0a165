"""The state of one zone at this instance, and the evidence by which it changes. Pure."""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import Enum

from cottonhold.fleet.zone_failover.failure_evidence import AttemptCounts, ZoneHealth
from cottonhold.fleet.zone_failover.messages import Vote


class ZonePhase(Enum):
    """What this instance does with a zone."""

    IN_SERVICE = "in"
    EVACUATED = "out"
    RETURNING = "return"


@dataclass(slots=True)
class ZoneState:
    """One zone at this instance. Times in ms."""

    phase: ZonePhase = ZonePhase.IN_SERVICE
    since: float = -math.inf
    is_certain: bool = False
    votes_for_return: bool = False  # evacuated here, and votes for the return
    is_fleet_evacuated: bool = False  # by a majority's votes
    was_fleet_evacuated: bool = False  # at some time since this instance evacuated it
    majority_reachable_at: float = 0.0
    traffic_share: float = 1.0
    share_changed_at: float = 0.0
    retained_share: float = 0.0
    hold_down_ms: float = 0.0
    return_started_at: float = -math.inf
    hold_down_reduced_at: float = 0.0
    joining_requested_at: float = math.inf  # since when enough others want it evacuated
    seen_healthy_at: float = -math.inf  # when own attempts last spoke against that
    reason: str = ""

    @property
    def vote(self) -> Vote:
        """What this instance votes for."""
        is_against = self.phase is ZonePhase.EVACUATED and not self.votes_for_return
        return Vote.EVACUATE if is_against else Vote.KEEP


@dataclass(slots=True, frozen=True)
class LocalEvidence:
    """What this instance brings to one zone's decision.

    engines_answer: the zone's engines pass health checks, as far as there were any. retained_share: share of
    the zone's load that the others can't carry and it still serves. override: an operator's, or None.
    """

    health: ZoneHealth
    counts: AttemptCounts
    suspects_failure: bool
    engines_answer: bool
    retained_share: float = 0.0
    override: Vote | None = None


@dataclass(slots=True, frozen=True)
class PhaseChange:
    """A zone's phase has changed here, for the log and the status."""

    zone: str
    phase: ZonePhase
    reason: str
