"""What an origin remembers of a request that it forwards, and of the owner to which it goes. Pure."""

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
    """Where a request stands at its origin."""

    QUEUED = 0
    SENDING = 1
    WITHDRAWING = 2
    ACCEPTED = 3
    ABANDONED = 4


@dataclass(slots=True, eq=False)
class OutgoingRequest:
    """A client's request of this member.

    owner_incarnation: to which fragments were sent; 0 for none yet. next_action_at: when something is to be
    done about it. is_ended: the client has its result, or left.
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
    is_ended: bool = False  # the client has its end, or left
    answer: Reassembly | None = None
    outcome: tuple[ForwardResult, float] | None = None


@dataclass(slots=True, eq=False)
class KnownOwner:
    """An owner as this origin knows it, with its newest timestamp."""

    id: int
    window: SendWindow
    incarnation: int = 0
    timestamp: int = -1
    timestamp_received_at: float = -math.inf
    is_timestamp_fresh: bool = False  # the stamp is new enough to prove time by it
    request_count: int = 0
    next_query_at: float = math.inf
    query_count: int = 0
    open_requests: dict[int, OutgoingRequest] = field(default_factory=dict)
    queues: dict[bytes, deque[OutgoingRequest]] = field(default_factory=dict)


class ActionTimer(NamedTuple):
    """When something is to be done about a request."""

    action_at: float
    owner: int
    number: int
