"""Forward clients' requests to the member that owns their key, and return the answers; does no I/O.

Each dispatcher has one `RequestForwarder`. As origin it sends each request to one owner (origin.py); as owner
it accepts each request at most once and in time (owner.py). Messages (messages.py) may be lost, repeated,
reordered or delayed, or come from an incarnation that has ended. Bodies are sent in fragments
(fragmentation.py). The adapter carries out the actions: it passes `RequestAccepted` to the gateway, which
reports the result by `on_request_ended`, and `ForwardingEnded` to the client.
"""

from __future__ import annotations

import math
from collections import Counter

from cottonhold.fleet.consensus.actions import SendConsensusMessage
from cottonhold.fleet.message_format import MessageError
from cottonhold.fleet.request_forwarding.interface import (
    Action,
    ForwardingEnded,
    ForwardingSettings,
    RequestAbandoned,
    RequestAccepted,
)
from cottonhold.fleet.request_forwarding.messages import (
    U32,
    AnswerAck,
    AnswerFragment,
    ForwardResult,
    IncarnationQuery,
    IncarnationReply,
    RequestAck,
    RequestFragment,
    WithdrawRequest,
    decode,
)
from cottonhold.fleet.request_forwarding.origin import RequestOrigin
from cottonhold.fleet.request_forwarding.owner import RequestOwner

__all__ = [
    "Action",
    "ForwardResult",
    "ForwardingEnded",
    "RequestAbandoned",
    "RequestForwarder",
    "ForwardingSettings",
    "SendConsensusMessage",
    "RequestAccepted",
]


class RequestForwarder:
    """Forwards requests to other members and receives theirs.

    Times are in ms of a monotonic clock.

    Args:
        member: Id of this member.
        incarnation: A different number for each start of the process. Only the lower 32 bits are used.
        settings: Times and limits.
        seed: Seed of the random part of retry intervals.

    Raises:
        ValueError: The lower 32 bits of the incarnation are 0.
    """

    def __init__(self, member: int, incarnation: int, settings: ForwardingSettings, seed: int) -> None:
        if not incarnation & U32:
            raise ValueError("the lower 32 bits of the incarnation are 0")
        self.incarnation = incarnation & U32
        self.counts: Counter[str] = Counter()
        self.actions: list[Action] = []
        self.origin = RequestOrigin(member, self.incarnation, settings, seed, self.counts, self.actions)
        self.owner = RequestOwner(self.incarnation, settings, self.counts, self.actions)

    def forward(
        self, now: float, request_id: str, owner: int, body: bytes, deadline: float, queue_key: bytes = b""
    ) -> list[Action]:
        """Forward a client's request to the owner of its key; a ForwardingEnded follows before the deadline.

        Args:
            now: Current time, in ms.
            request_id: Id of the request, unique among the open ones.
            owner: Member that owns the key.
            body: The encoded request.
            deadline: Time at which the client stops waiting, in ms.
            queue_key: Requests to one owner with the same key are accepted in the order of these calls; empty
                if the order does not matter.

        Raises:
            ValueError: The id is in use, or this member is the owner.
        """
        self.origin.forward(now, request_id, owner, body, deadline, queue_key)
        return self._pop_actions()

    def abandon(self, now: float, request_id: str) -> list[Action]:
        """Drop a request whose client disconnected and inform its owner; no ForwardingEnded follows."""
        self.origin.abandon(now, request_id)
        return self._pop_actions()

    def on_request_ended(
        self,
        now: float,
        origin: int,
        number: int,
        result: ForwardResult,
        retry_after_ms: float = 0.0,
        data: bytes = b"",
    ) -> list[Action]:
        """Send the gateway's result of a request from a RequestAccepted to its origin.

        After REJECTED, NOT_OWNER and NOT_ACCEPTED a retry does no harm. The result becomes FAILED if the
        data exceeds MAX_BODY_BYTES, or if all unacknowledged answers to the origin, with this one, exceed
        max_answer_bytes.
        """
        self.owner.on_request_ended(now, origin, number, result, retry_after_ms, data)
        return self._pop_actions()

    def on_message(self, now: float, sender: int, payload: bytes) -> list[Action]:
        """Handle a message of kind REQUEST_FORWARDING; a malformed one is counted and changes nothing."""
        self.origin.expire(now)
        try:
            self._dispatch(now, sender, payload)
        except MessageError:
            self.counts["malformed"] += 1
        self.owner.after_message(now, sender)
        return self._pop_actions()

    def step(self, now: float) -> list[Action]:
        """Send and expire what is due; to be called no later than at `next_at`."""
        self.origin.step(now)
        self.owner.step(now)
        return self._pop_actions()

    def next_at(self) -> float:
        """Return when `step` is due; infinite while nothing is open."""
        return min(self.origin.next_at(), self.owner.next_at(), math.inf)

    def status(self) -> dict[str, int]:
        """Return numbers of open requests and counts of events, by their names in the local socket."""
        origins = self.owner.origins.values()
        incarnations = [incarnation for origin in origins for incarnation in origin.incarnations.values()]
        return {
            "open": self.origin.open_count,
            "here": sum(len(incarnation.requests) for incarnation in incarnations),
            "remembered": sum(len(incarnation.was_accepted) for incarnation in incarnations),
            "gathering_bytes": sum(origin.receiving_bytes for origin in origins),
            "answering_bytes": sum(origin.answer_bytes for origin in origins),
            **self.counts,
        }

    def _dispatch(self, now: float, sender: int, payload: bytes) -> None:
        match decode(payload):
            case IncarnationQuery(believed_incarnation):
                self.owner.on_incarnation_query(now, sender, believed_incarnation)
            case RequestFragment() as message:
                self.owner.on_request_fragment(now, sender, message)
            case WithdrawRequest() as message:
                self.owner.on_withdraw(now, sender, message)
            case AnswerAck() as message:
                self.owner.on_answer_ack(sender, message)
            case IncarnationReply() as message:
                self.origin.on_incarnation_reply(now, sender, message)
            case RequestAck() as message:
                self.origin.on_request_ack(now, sender, message)
            case AnswerFragment() as message:
                self.origin.on_answer_fragment(now, sender, message)

    def _pop_actions(self) -> list[Action]:
        actions = self.actions[:]
        self.actions.clear()
        return actions
