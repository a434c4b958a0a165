"""Actions that the fleet coordinator returns to its caller; does no I/O."""

from __future__ import annotations

from dataclasses import dataclass

from cottonhold.fleet.admission.threshold import DensityThreshold
from cottonhold.fleet.engine_bounds import EngineBounds
from cottonhold.fleet.zone_failover.zone_state import PhaseChange


@dataclass(slots=True, frozen=True)
class SendFleetMessage:
    """Send a message to a member."""

    member: int
    data: bytes


@dataclass(slots=True, frozen=True)
class ThresholdUpdate:
    """Replace the admission threshold.

    Attributes:
        threshold: The threshold; None to admit all requests.
        expires_at: Time at which the threshold expires, in ms.
        retry_after_ms: Time after which a rejected request is likely to find capacity, in ms; 0 if unknown.
    """

    threshold: DensityThreshold | None
    expires_at: float
    retry_after_ms: float = 0.0


Action = SendFleetMessage | EngineBounds | PhaseChange | ThresholdUpdate
