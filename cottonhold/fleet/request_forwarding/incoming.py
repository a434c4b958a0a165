"""What an owner remembers of requests that are forwarded to it, and of their origins. Pure."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from cottonhold.fleet.request_forwarding.fragmentation import FragmentedBody, Reassembly, SendWindow
from cottonhold.fleet.request_forwarding.messages import (
    ForwardResult,
)


@dataclass(slots=True, eq=False)
class IncomingRequest:
    """A request that is being received (`reassembly`), runs, or has an answer to be sent (`answer_body`).

    earliest_deadline: its deadline is not before it; latest_deadline: nor after it (own clock).
    """

    number: int
    reassembly: Reassembly | None
    earliest_deadline: float = -math.inf  # proven: its time is not over before
    latest_deadline: float = -math.inf  # proven: its time is over by then
    is_abandoned: bool = False
    outcome: tuple[ForwardResult, float] | None = None
    answer_body: FragmentedBody | None = None


@dataclass(slots=True, eq=False)
class OriginIncarnation:
    """One incarnation of an origin. Requests below lowest_open_count are never accepted again.

    was_accepted: for other requests that have ended, by count.
    """

    number: int
    lowest_open_count: int = 1
    latest_deadline: float = -math.inf
    requests: dict[int, IncomingRequest] = field(default_factory=dict)
    was_accepted: dict[int, bool] = field(default_factory=dict)


@dataclass(slots=True, eq=False)
class Origin:
    """One origin: its incarnations, the memory that it uses, and the answers sent to it."""

    id: int
    window: SendWindow
    incarnations: dict[int, OriginIncarnation] = field(default_factory=dict)
    receiving_bytes: int = 0
    answer_bytes: int = 0
