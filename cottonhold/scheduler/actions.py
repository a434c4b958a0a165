"""Actions: what the scheduler asks its caller to carry out after a step.

Times are milliseconds on the caller's clock, memory is in MB, work is in milliseconds on one thread.
Positions (class, tenant, zone, machine type) count from 0 in the settings' lists.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

MAX_PRIORITY = 3  # highest priority that engines know; 1 is the usual one


@dataclass(slots=True, frozen=True)
class Send:
    """Start an attempt; timeout 0 lasts until the client gives up.

    An attempt that has not begun by `begin_deadline`, as when a connect takes long, must not begin any more:
    engines no longer drop repeats then.
    """

    query_id: str
    engine: str
    timeout_ms: float = 0.0
    begin_deadline: float = math.inf


@dataclass(slots=True, frozen=True)
class UpdateAttempt:
    """Memory grant (0: the engine chooses) and priority for the query's next attempts."""

    query_id: str
    memory_grant_mb: int
    priority: int


@dataclass(slots=True, frozen=True)
class Cancel:
    """Cancel one attempt."""

    query_id: str
    attempt: int


@dataclass(slots=True, frozen=True)
class Reject:
    """Final answer: rejected, trying again is harmless."""

    query_id: str
    retry_after_ms: float = 0.0


@dataclass(slots=True, frozen=True)
class Fail:
    """Final answer: failed; the query may have had effects."""

    query_id: str


@dataclass(slots=True, frozen=True)
class CheckHealth:
    """Check the health of an engine."""

    engine: str


@dataclass(slots=True, frozen=True)
class Subscribe:
    """Ask for changes of the engine list from now on."""

    on: bool = True


@dataclass(slots=True, frozen=True)
class SendToPeer:
    """Send a short message to one peer, or to all."""

    payload: bytes
    peer: int | None = None


@dataclass(slots=True, frozen=True)
class SetTimer:
    """Set a timer, which comes back as TimerExpired."""

    delay_ms: float
    token: int


@dataclass(slots=True, frozen=True)
class LogLine:
    """A line for the operators' log."""

    text: str


@dataclass(slots=True, frozen=True)
class DemandEstimate:
    """The utility and the work in thread ms of a query with a draw, for the fleet's admission threshold."""

    query_id: str
    utility: float
    work_ms: float


Action = (
    Send
    | UpdateAttempt
    | Cancel
    | Reject
    | Fail
    | CheckHealth
    | Subscribe
    | SendToPeer
    | SetTimer
    | LogLine
    | DemandEstimate
)
