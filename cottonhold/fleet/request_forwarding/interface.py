"""Settings of request forwarding, and the actions that it returns to its adapter. Pure."""

from __future__ import annotations

from dataclasses import dataclass

from cottonhold.fleet.consensus.actions import SendConsensusMessage
from cottonhold.fleet.request_forwarding.fragmentation import SendWindow
from cottonhold.fleet.request_forwarding.messages import ForwardResult


@dataclass(slots=True, frozen=True)
class ForwardingSettings:
    """Times and limits of request forwarding.

    retry_interval_ms: an unacknowledged fragment is sent again, less often up to max_retry_interval_ms.
    max_timestamp_age_ms: an owner's timestamp is used no longer. liveness_interval_ms: a silent owner is
    queried so often for its incarnation. withdraw_reserve_ms: so long before its deadline a request that was
    not accepted is withdrawn. answer_reserve_ms: so long before it the client gets a result. max_timeout_ms:
    a request's timeout is cut to it. max_clock_drift: relative error of a clock's rate. clock_margin_ms: by
    which an owner shortens the remaining time. min_remaining_ms: with less, an owner accepts nothing.
    retry_after_ms: for a client whose request cannot be forwarded.

    max_open_requests is for this origin. All other limits are for one other member, so that a member that
    sends false messages uses up no more than its own share: max_receiving_bytes (of incomplete requests),
    max_answer_bytes (of unacknowledged answers), max_remembered_requests (whose state must not be forgotten),
    max_origin_incarnations; and max_origins is the number of such members.
    """

    max_fragments_in_flight: int = 64
    retry_interval_ms: float = 40.0
    max_retry_interval_ms: float = 320.0
    max_timestamp_age_ms: float = 5000.0
    liveness_interval_ms: float = 250.0
    withdraw_reserve_ms: float = 120.0
    answer_reserve_ms: float = 20.0
    max_timeout_ms: float = 600_000.0
    max_clock_drift: float = 0.001
    clock_margin_ms: float = 5.0
    min_remaining_ms: float = 1.0
    retry_after_ms: float = 100.0
    max_open_requests: int = 2000
    max_receiving_bytes: int = 512 * 1024
    max_answer_bytes: int = 2 * 1024 * 1024
    max_remembered_requests: int = 16_000
    max_origin_incarnations: int = 8
    max_origins: int = 64

    def send_window(self) -> SendWindow:
        """An empty window of fragments to one member."""
        return SendWindow(self.max_fragments_in_flight, self.retry_interval_ms, self.max_retry_interval_ms)


@dataclass(slots=True, frozen=True)
class RequestAccepted:
    """At the owner: its gateway gets this request; the origin waits for at least remaining_ms."""

    origin: int
    number: int
    body: bytes
    remaining_ms: float


@dataclass(slots=True, frozen=True)
class RequestAbandoned:
    """At the owner: no client waits any more for an accepted request."""

    origin: int
    number: int


@dataclass(slots=True, frozen=True)
class ForwardingEnded:
    """At the origin: the result for the client; retry_after_ms for REJECTED."""

    request_id: str
    result: ForwardResult
    retry_after_ms: float = 0.0
    data: bytes = b""


# How results are called in counters and in the local socket's status.
RESULT_NAMES = {
    ForwardResult.ANSWERED: "served",
    ForwardResult.REJECTED: "refused",
    ForwardResult.FAILED: "failed",
    ForwardResult.NOT_OWNER: "moved",
    ForwardResult.NOT_ACCEPTED: "nobody",
    ForwardResult.TOO_LARGE: "too_large",
}
Action = SendConsensusMessage | RequestAccepted | RequestAbandoned | ForwardingEnded
