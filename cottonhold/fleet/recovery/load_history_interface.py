"""A load history's settings, what it has to know of the fleet, and the actions that it returns. Pure."""

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
    """Times in ms. retention_ms: see `retention_ms_for`. retry_ms, max_retry_ms: a query that isn't answered
    is sent again after so long, doubled up to the second. retry_after_ms: sent with NOT_KNOWN_YET.
    max_unconfirmed_ms: for so long a retry that too few others know of is answered NOT_KNOWN_YET; less than
    the slack of `retention_ms_for` by a few pauses. announcements: how often loads of earlier boots are
    announced. max_loads: remembered, queried and pending, each; beyond, retries are answered NOT_KNOWN_YET at
    once."""

    retention_ms: float
    retry_ms: float = 60.0
    max_retry_ms: float = 1000.0
    retry_after_ms: float = 1000.0
    max_unconfirmed_ms: float = 5000.0
    announcements: int = 3
    max_loads: int = 20_000


@dataclass(slots=True, frozen=True)
class FleetState:
    """What the survey knows. memory: this instance's, STALE once that was found out. silent: by number, those
    proven so. is_partitioned: one that isn't is unreachable."""

    may_send_loads: bool
    has_confirmed_memory: bool
    memory: MemoryState
    silent: Mapping[int, ProvenSilence]
    is_partitioned: bool = False


@dataclass(slots=True, frozen=True)
class SendToDispatcher:
    """A message for a dispatcher's number."""

    number: int
    data: bytes


@dataclass(slots=True, frozen=True)
class LoadSettled:
    """What is known now of the load of a retry. retry_after_ms: with NOT_KNOWN_YET."""

    request_id: str
    load: bytes
    knowledge: LoadKnowledge
    retry_after_ms: float = 0.0


Action = SendToDispatcher | LoadSettled
