"""Events: what the scheduler is told in a step.

Times are milliseconds on the caller's clock, memory is in MB, work is in milliseconds on one thread.
Positions (class, tenant, zone, machine type) count from 0 in the settings' lists.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from cottonhold.scheduler.settings import Settings


class EngineState(Enum):
    """An engine's state as the engine list tells it."""

    LIVE = "live"
    DRAINING = "draining"
    REMOVED = "gone"


class Outcome(Enum):
    """How an attempt ended."""

    OK = "ok"
    ERROR = "error"
    OVERLOADED = "full"
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    ALREADY_FINISHED = "moot"


class ProgressKind(Enum):
    """What a progress note tells."""

    PROGRESS = 1
    SPILL = 2
    WAITING = 3


@dataclass(slots=True, frozen=True)
class Engine:
    """One line of the engine list."""

    id: str
    zone: int = 0
    machine_type: int = 0
    cell: int = 0
    state: EngineState = EngineState.LIVE
    size: float = 1.0
    started_at: float = 0.0


@dataclass(slots=True, frozen=True)
class EngineList:
    """The engine list, whole or only what changed."""

    engines: tuple[Engine, ...]
    is_complete: bool


@dataclass(slots=True, frozen=True)
class EngineListFailed:
    """A call for the list failed or the subscription broke; the old list still holds."""


@dataclass(slots=True, frozen=True)
class QueryArrived:
    """A client's query has come to this gateway."""

    query_id: str
    query_class: int
    deadline_at: float
    estimated_work_ms: float = 0.0
    estimated_memory_mb: float = 0.0
    table_group: int = -1
    tenant: int = 0
    ordering_key: str | None = None
    is_retry: bool = False
    admission_draw: float | None = None  # 0 to 1, of the share that a price lets in; None where nobody prices


@dataclass(slots=True, frozen=True)
class AttemptEnded:
    """How an attempt ended; `final` is set when the query is over with it."""

    query_id: str
    attempt: int
    engine: str
    outcome: Outcome
    elapsed_ms: float
    is_final: bool = False
    actual_work_ms: float = 0.0
    actual_memory_mb: float = 0.0
    load_report: dict[str, float] = field(default_factory=dict)


@dataclass(slots=True, frozen=True)
class ProgressNote:
    """News of a running attempt: share done, MB missing, or 1 (memory) / 2 (a load) it waits for."""

    query_id: str
    attempt: int
    engine: str
    kind: ProgressKind
    value: float


@dataclass(slots=True, frozen=True)
class StreamStarted:
    """The answer of a streamed query has begun; the attempt is the client's now."""

    query_id: str
    attempt: int
    engine: str


@dataclass(slots=True, frozen=True)
class ClientDisconnected:
    """The client has left; the query is over."""

    query_id: str


@dataclass(slots=True, frozen=True)
class PeerMessage:
    """A message from another gateway."""

    peer: int
    payload: bytes


@dataclass(slots=True, frozen=True)
class HealthCheckCompleted:
    """The result of a probe: how it ended, and the load report that came along."""

    engine: str
    outcome: Outcome
    load_report: dict[str, float] = field(default_factory=dict)


@dataclass(slots=True, frozen=True)
class TimerExpired:
    """A timer set with Wake is due."""

    token: int


@dataclass(slots=True, frozen=True)
class SettingsChanged:
    """Other settings from now on; queries that came before keep their class and their attempts."""

    settings: Settings


@dataclass(slots=True, frozen=True)
class EngineQuotas:
    """What the fleet lets this gateway send: work in ms a ms by engine, 0 for none; others are free. Replaces
    what was said before. From `until` on a bounded engine gets nothing: the parts were given for so long."""

    work_rate_by_engine: dict[str, float]
    expires_at: float


@dataclass(slots=True, frozen=True)
class AdmissionThreshold:
    """What the fleet lets in until a time: worth a ms of work from `density` on a `share` of, by the query's
    draw, and from `above` on all. cooldown: so many ms whoever is turned away should stay away at least,
    until another price is said. told: there is a fleet that has one price, if only of nothing. Replaces what
    was said before."""

    marginal_density: float = 0.0
    full_density: float = 0.0
    marginal_share: float = 1.0
    expires_at: float = 0.0
    retry_after_ms: float = 0.0
    is_fleet_wide: bool = True


@dataclass(slots=True, frozen=True)
class ShutdownStarted:
    """This gateway ends: what has no final answer by `until` never gets one."""

    ends_at: float


Event = (
    EngineList
    | EngineListFailed
    | QueryArrived
    | AttemptEnded
    | ProgressNote
    | StreamStarted
    | ClientDisconnected
    | PeerMessage
    | HealthCheckCompleted
    | TimerExpired
    | SettingsChanged
    | EngineQuotas
    | AdmissionThreshold
    | ShutdownStarted
)
