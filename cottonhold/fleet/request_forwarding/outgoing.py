"""State that an origin keeps of the requests that it forwards and of their owners; does no I/O."""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field
from enum import IntEnum
from typing import NamedTuple

from cottonhold.fleet.request_forwarding.fragmentation import (
    FragmentedBody,
    Reassembly,
    SendWindow,
)
from cottonhold.fleet.request_forwarding.messages import (
    ForwardResult,
)


class SendPhase(IntEnum):
    """The phase of a request at its origin; see origin.py for the transitions."""

    QUEUED = 0
    SENDING = 1
    WITHDRAWING = 2
    ACCEPTED = 3
    ABANDONED = 4


@dataclass(slots=True, eq=False)
class OutgoingRequest:
    """A request of one of this member's clients.

    Attributes:
        request_id: Id of the request at this member.
        owner: Member to which the request is forwarded.
        number: Number of the request in messages.
        body: The request, in fragments.
        queue_key: Key of the queue that orders requests; empty if there is none.
        deadline: Deadline of the request, in ms.
        next_action_at: Time of the request's valid timer, in ms.
        phase: Phase of the request.
        owner_incarnation: Incarnation of the owner to which fragments were sent; 0 if none was sent.
        withdraw_count: Number of withdrawals sent in the present phase.
        is_ended: Whether the client has a result or disconnected.
        answer: Received fragments of the answer; None before the first one.
        outcome: Result and retry delay in ms, as in all fragments of the answer.
    """

    request_id: str
    owner: int
    number: int
    body: FragmentedBody
    queue_key: bytes
    deadline: float
    next_action_at: float
    phase: SendPhase = SendPhase.QUEUED
    owner_incarnation: int = 0
    withdraw_count: int = 0
    is_ended: bool = False
    answer: Reassembly | None = None
    outcome: tuple[ForwardResult, float] | None = None


@dataclass(slots=True, eq=False)
class KnownOwner:
    """An owner to which this origin forwards requests.

    Attributes:
        id: Id of the owner among the members.
        window: Fragments in flight to the owner.
        incarnation: Last received incarnation of the owner; 0 if unknown.
        timestamp: Newest timestamp of that incarnation; -1 if there is none.
        timestamp_received_at: Time at which `timestamp` was received, in ms.
        is_timestamp_fresh: Whether the timestamp is new enough to send requests with it.
        request_count: Number of requests forwarded to the owner so far.
        next_query_at: Time of the next query of the owner's incarnation, in ms.
        query_count: Number of queries since the last timestamp.
        open_requests: Requests that need further messages, by number.
        queues: Ordered requests by queue key; the first one of each queue is sent.
    """

    id: int
    window: SendWindow
    incarnation: int = 0
    timestamp: int = -1
    timestamp_received_at: float = -math.inf
    is_timestamp_fresh: bool = False
    request_count: int = 0
    next_query_at: float = math.inf
    query_count: int = 0
    open_requests: dict[int, OutgoingRequest] = field(default_factory=dict)
    queues: dict[bytes, deque[OutgoingRequest]] = field(default_factory=dict)


class ActionTimer(NamedTuple):
    """The time of a request's next action, in ms; valid only if it equals the request's next_action_at."""

    action_at: float
    owner: int
    number: int
