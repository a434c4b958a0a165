"""State that an owner keeps of the requests forwarded to it and of their origins; does no I/O."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from cottonhold.fleet.request_forwarding.fragmentation import FragmentedBody, Reassembly, SendWindow
from cottonhold.fleet.request_forwarding.messages import (
    ForwardResult,
)


@dataclass(slots=True, eq=False)
class IncomingRequest:
    """A request that is being received, is running, or has an answer that is being sent.

    Attributes:
        number: Number of the request.
        reassembly: Received fragments; None once the request is accepted.
        earliest_deadline: Proven lower bound of the deadline on this clock, in ms.
        latest_deadline: Proven upper bound of the deadline on this clock, in ms.
        is_abandoned: Whether no client waits for the request.
        outcome: Result and retry delay in ms; None until the request has ended.
        answer_body: Answer that is being sent; None until the request has ended.
    """

    number: int
    reassembly: Reassembly | None
    earliest_deadline: float = -math.inf
    latest_deadline: float = -math.inf
    is_abandoned: bool = False
    outcome: tuple[ForwardResult, float] | None = None
    answer_body: FragmentedBody | None = None


@dataclass(slots=True, eq=False)
class OriginIncarnation:
    """The requests of one incarnation of an origin.

    Attributes:
        number: The incarnation.
        lowest_open_count: Lowest count of a request that may still be accepted.
        latest_deadline: Upper bound of the deadlines of all requests, in ms of this clock.
        requests: Requests that have not ended, by count.
        was_accepted: Whether an ended request was accepted, by count.
    """

    number: int
    lowest_open_count: int = 1
    latest_deadline: float = -math.inf
    requests: dict[int, IncomingRequest] = field(default_factory=dict)
    was_accepted: dict[int, bool] = field(default_factory=dict)


@dataclass(slots=True, eq=False)
class Origin:
    """An origin: its incarnations, the memory that it uses, and the window of answers sent to it."""

    id: int
    window: SendWindow
    incarnations: dict[int, OriginIncarnation] = field(default_factory=dict)
    receiving_bytes: int = 0
    answer_bytes: int = 0
