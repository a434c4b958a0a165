"""The state of one zone at this instance and the evidence that changes it; does no I/O."""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import Enum

from cottonhold.fleet.zone_failover.failure_evidence import AttemptCounts, ZoneHealth
from cottonhold.fleet.zone_failover.messages import Vote


class ZonePhase(Enum):
    """The phase of a zone's service at this instance; the values are shown to operators."""

    IN_SERVICE = "in"
    EVACUATED = "out"
    RETURNING = "return"


@dataclass(slots=True)
class ZoneState:
    """The state of one zone at this instance.

    Times are in ms of the instance's clock; shares are fractions of the zone's full load.

    Attributes:
        phase: The present phase.
        since: Time of the last change of the phase.
        is_certain: Whether the zone was evacuated due to this instance's own evidence, a failed return or an
            operator's override, and not due to the votes of others.
        votes_for_return: Whether this instance has evacuated the zone but votes for its return.
        is_fleet_evacuated: Whether the votes of a majority evacuate the zone.
        was_fleet_evacuated: Whether `is_fleet_evacuated` was set at some time since the last change of the
            phase.
        majority_reachable_at: Time at which reports of a majority were last available.
        traffic_share: Share that the returning zone may get, as proposed by this instance.
        share_changed_at: Time of the last change of `traffic_share`.
        retained_share: Share that is still sent to the zone while it is evacuated.
        hold_down_ms: Time after the evacuation until this instance votes for the return, in ms.
        return_started_at: Time at which the last return started.
        hold_down_reduced_at: Time at which `hold_down_ms` was last halved.
        joining_requested_at: Time since which the reports of others are sufficient to join an evacuation;
            infinite if they are not.
        seen_healthy_at: Time at which this instance's own attempts last showed a healthy zone while the
            reports of others were sufficient to join an evacuation.
        reason: Reason for the last change of the phase, as shown to operators.
    """

    phase: ZonePhase = ZonePhase.IN_SERVICE
    since: float = -math.inf
    is_certain: bool = False
    votes_for_return: bool = False
    is_fleet_evacuated: bool = False
    was_fleet_evacuated: bool = False
    majority_reachable_at: float = 0.0
    traffic_share: float = 1.0
    share_changed_at: float = 0.0
    retained_share: float = 0.0
    hold_down_ms: float = 0.0
    return_started_at: float = -math.inf
    hold_down_reduced_at: float = 0.0
    joining_requested_at: float = math.inf
    seen_healthy_at: float = -math.inf
    reason: str = ""

    @property
    def vote(self) -> Vote:
        """This instance's vote on the zone."""
        is_against = self.phase is ZonePhase.EVACUATED and not self.votes_for_return
        return Vote.EVACUATE if is_against else Vote.SERVE


@dataclass(slots=True, frozen=True)
class LocalEvidence:
    """This instance's evidence on one zone, on which `Evacuation` decides.

    Attributes:
        health: Health of the zone by this instance's attempts.
        counts: Recent attempts in the zone by result.
        suspects_failure: Whether the attempts suggest a failure without being sufficient proof.
        engines_answer: Whether the engines of an evacuated zone pass health checks.
        retained_share: Share of the zone's load to keep sending to it while it is evacuated.
        override: Vote required by an operator's override; None without an override.
    """

    health: ZoneHealth
    counts: AttemptCounts
    suspects_failure: bool
    engines_answer: bool
    retained_share: float = 0.0
    override: Vote | None = None


@dataclass(slots=True, frozen=True)
class PhaseChange:
    """A change of a zone's phase at this instance, for the log and the status."""

    zone: str
    phase: ZonePhase
    reason: str
