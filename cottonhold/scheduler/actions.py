"""Actions: the output of a scheduler step, which the caller carries out.

Times are in milliseconds on the caller's clock, memory is in MB, and work is in milliseconds on one thread.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

MAX_PRIORITY = 3  # highest priority that engines accept; the default is 1


@dataclass(slots=True, frozen=True)
class Send:
    """Start an attempt.

    Attributes:
        query_id: Id of the query.
        engine: Id of the engine.
        timeout_ms: Time after which the attempt is abandoned, in ms; 0 for the client's deadline.
        begin_deadline: Time from which the attempt must not be started, for example after a slow connect,
            since engines no longer drop repeats from then on.
    """

    query_id: str
    engine: str
    timeout_ms: float = 0.0
    begin_deadline: float = math.inf


@dataclass(slots=True, frozen=True)
class UpdateAttempt:
    """Set the memory grant, in MB, and the priority of the query's next attempts.

    With a grant of 0 the engine chooses the grant.
    """

    query_id: str
    memory_grant_mb: int
    priority: int


@dataclass(slots=True, frozen=True)
class Cancel:
    """Cancel one attempt, identified by its number from 0."""

    query_id: str
    attempt: int


@dataclass(slots=True, frozen=True)
class Reject:
    """Answer the query with a rejection: a retry by the client does no harm."""

    query_id: str
    retry_after_ms: float = 0.0


@dataclass(slots=True, frozen=True)
class Fail:
    """Answer the query with a failure: the query may have had effects."""

    query_id: str


@dataclass(slots=True, frozen=True)
class CheckHealth:
    """Send a health check to an engine."""

    engine: str


@dataclass(slots=True, frozen=True)
class Subscribe:
    """Subscribe to changes of the engine list."""

    on: bool = True


@dataclass(slots=True, frozen=True)
class SendToPeer:
    """Send a short message to one peer, or to all if `peer` is None."""

    payload: bytes
    peer: int | None = None


@dataclass(slots=True, frozen=True)
class SetTimer:
    """Set a timer, whose expiry the caller reports as TimerExpired with the same token."""

    delay_ms: float
    token: int


@dataclass(slots=True, frozen=True)
class LogLine:
    """Write a line to the operators' log."""

    text: str


@dataclass(slots=True, frozen=True)
class DemandEstimate:
    """Report the utility and the work, in thread ms, of a query for the fleet's admission threshold.

    Returned for each arriving query that has an admission draw.
    """

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
