"""Settings of request forwarding and the actions that it returns to its adapter; does no I/O."""

from __future__ import annotations

from dataclasses import dataclass

from cottonhold.fleet.consensus.actions import SendConsensusMessage
from cottonhold.fleet.request_forwarding.fragmentation import SendWindow
from cottonhold.fleet.request_forwarding.messages import ForwardResult


@dataclass(slots=True, frozen=True)
class ForwardingSettings:
    """Times and limits of request forwarding.

    The limits of an owner apply to each origin separately, so that a member that sends invalid messages can
    use up only its own share.

    Attributes:
        max_fragments_in_flight: Maximum number of fragments in flight to one member.
        retry_interval_ms: Time after which an unacknowledged fragment is first sent again, in ms; it doubles
            with each retry.
        max_retry_interval_ms: Upper limit of the time between two retries, in ms.
        max_timestamp_age_ms: Maximum age of an owner's timestamp for further use, in ms.
        liveness_interval_ms: Time without a message from an owner after which its incarnation is queried, in
            ms; also the time between two sweeps of expired requests.
        withdraw_reserve_ms: Time before its deadline at which a request that was not accepted is withdrawn,
            in ms.
        answer_reserve_ms: Time before the deadline at which the client gets a result at the latest, in ms.
        max_timeout_ms: Maximum time until a request's deadline, in ms; longer ones are reduced to it.
        max_clock_drift: Maximum relative error of the rate of a member's clock.
        clock_margin_ms: Time by which an owner shortens the remaining time of a request, in ms.
        min_remaining_ms: Remaining time above which an owner accepts a request, in ms.
        retry_after_ms: Delay for clients that are rejected because of max_open_requests, in ms.
        max_open_requests: Maximum number of open requests of an origin, to all owners.
        max_receiving_bytes: Maximum size of the incompletely received requests of one origin.
        max_answer_bytes: Maximum size of the unacknowledged answers to one origin.
        max_remembered_requests: Maximum number of requests for each incarnation of an origin, including
            ended ones of which the owner stores whether they were accepted.
        max_origin_incarnations: Maximum number of incarnations of one origin.
        max_origins: Maximum number of origins.
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
        """Return an empty send window for one member."""
        return SendWindow(self.max_fragments_in_flight, self.retry_interval_ms, self.max_retry_interval_ms)


@dataclass(slots=True, frozen=True)
class RequestAccepted:
    """At the owner: pass the request to the gateway; the origin waits for at least remaining_ms."""

    origin: int
    number: int
    body: bytes
    remaining_ms: float


@dataclass(slots=True, frozen=True)
class RequestAbandoned:
    """At the owner: cancel an accepted request, because no client waits for it."""

    origin: int
    number: int


@dataclass(slots=True, frozen=True)
class ForwardingEnded:
    """At the origin: return the result to the client.

    Attributes:
        request_id: Id of the request.
        result: How the forwarding ended.
        retry_after_ms: Delay after which the client may retry if the result is REJECTED, in ms.
        data: The owner's answer.
    """

    request_id: str
    result: ForwardResult
    retry_after_ms: float = 0.0
    data: bytes = b""


# Names of the results in counters and in the status of the local socket.
RESULT_NAMES = {
    ForwardResult.ANSWERED: "served",
    ForwardResult.REJECTED: "refused",
    ForwardResult.FAILED: "failed",
    ForwardResult.NOT_OWNER: "moved",
    ForwardResult.NOT_ACCEPTED: "nobody",
    ForwardResult.TOO_LARGE: "too_large",
}
Action = SendConsensusMessage | RequestAccepted | RequestAbandoned | ForwardingEnded
