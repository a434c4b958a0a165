"""The state of one engine as one source describes it; does no I/O."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import NamedTuple

from cottonhold.discovery.model import Address, Observation
from cottonhold.scheduler.events import EngineState


class PastStart(NamedTuple):
    """The start of an engine that was removed.

    Attributes:
        stamp: The source's stamp of the start, in ms of Unix time.
        started_at: The start in ms on the local clock.
    """

    stamp: float
    started_at: float


@dataclass(slots=True)
class Claim:
    """One source's claim on an engine: its last observation, and the state derived from it.

    Attributes:
        observation: The last observation; if `is_loss_deferred`, the loss that isn't applied yet.
        state: The derived state.
        since: When the state last changed between in service and not, in ms on the local clock.
        last_seen_at: When the engine was last reported, in ms on the local clock.
        index: The index of the answer that last reported it.
        started_at: When the process that served last started, in ms on the local clock.
        start_stamp: The source's stamp from which `started_at` was derived, in ms of Unix time; 0 if none.
        process_id: The id of the process that served last; empty if unknown.
        registration_index: The registration of the process that served last.
        address: The address of the process that served last.
        returns_at: When the engine returns to service after its quiet time; infinity if no return is due.
        is_loss_deferred: Whether `min_in_service` defers the loss that was last observed.
    """

    observation: Observation
    state: EngineState
    since: float
    last_seen_at: float
    index: int
    started_at: float
    start_stamp: float
    process_id: str
    registration_index: int
    address: Address | None
    returns_at: float = math.inf
    is_loss_deferred: bool = False
