"""The settings of a load history, its input from the membership survey, and its actions; does no I/O."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from cottonhold.fleet.recovery.local_loads import (
    LoadKnowledge,
)
from cottonhold.fleet.recovery.messages import (
    MemoryState,
)
from cottonhold.fleet.recovery.survey_results import ProvenSilence


@dataclass(slots=True, frozen=True)
class LoadHistorySettings:
    """Settings of a load history; times are in ms.

    Attributes:
        retention_ms: How long a load stays recorded; see `retention_ms_for`.
        retry_ms: Time until an unanswered query is sent again, doubled with each repetition.
        max_retry_ms: Longest time between two repetitions of a query, and between two announcements.
        retry_after_ms: Advised pause before a client retries after NOT_KNOWN_YET.
        max_unconfirmed_ms: How long a retry that too few others have recorded is answered NOT_KNOWN_YET.
            It is shorter than the slack of `retention_ms_for` by several advised pauses.
        announcements: Number of times that open loads of earlier boots are announced.
        max_loads: Maximum number of sent, of queried and of pending loads each; beyond it retries are
            answered NOT_KNOWN_YET without a query.
    """

    retention_ms: float
    retry_ms: float = 60.0
    max_retry_ms: float = 1000.0
    retry_after_ms: float = 1000.0
    max_unconfirmed_ms: float = 5000.0
    announcements: int = 3
    max_loads: int = 20_000


@dataclass(slots=True, frozen=True)
class FleetState:
    """The findings of the membership survey.

    Attributes:
        may_send_loads: Whether this instance may send loads now.
        has_confirmed_memory: Whether others have confirmed that its memory is intact.
        memory: State of this instance's memory; STALE once that is known.
        silent: Proofs of silence, by the number of the silent dispatcher.
        is_partitioned: Whether a dispatcher is unreachable that is not proven silent.
    """

    may_send_loads: bool
    has_confirmed_memory: bool
    memory: MemoryState
    silent: Mapping[int, ProvenSilence]
    is_partitioned: bool = False


@dataclass(slots=True, frozen=True)
class SendToDispatcher:
    """Action: send a message to the dispatcher with this number."""

    number: int
    data: bytes


@dataclass(slots=True, frozen=True)
class LoadSettled:
    """Action: answer a client's retry.

    Attributes:
        request_id: The retry's request.
        load: The load that it repeats.
        knowledge: The knowledge about the load now.
        retry_after_ms: Advised pause with NOT_KNOWN_YET, otherwise 0.
    """

    request_id: str
    load: bytes
    knowledge: LoadKnowledge
    retry_after_ms: float = 0.0


Action = SendToDispatcher | LoadSettled
