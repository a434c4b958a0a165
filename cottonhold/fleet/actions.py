"""The actions that the fleet coordinator returns to its caller. Pure."""

from __future__ import annotations

from dataclasses import dataclass

from cottonhold.fleet.admission.threshold import DensityThreshold
from cottonhold.fleet.engine_bounds import EngineBounds
from cottonhold.fleet.zone_failover.zone_state import PhaseChange


@dataclass(slots=True, frozen=True)
class SendFleetMessage:
    """A message for a member."""

    member: int
    data: bytes


@dataclass(slots=True, frozen=True)
class ThresholdUpdate:
    """What is admitted until `expires_at`; all, without a threshold. retry_after_ms: when a request that is
    rejected now should find capacity; 0: nothing is known."""

    threshold: DensityThreshold | None
    expires_at: float
    retry_after_ms: float = 0.0


Action = SendFleetMessage | EngineBounds | PhaseChange | ThresholdUpdate
