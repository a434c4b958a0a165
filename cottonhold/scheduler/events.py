"""Events: what the scheduler takes in with a step.

Times are milliseconds on the caller's clock, memory is in MB, work is in milliseconds on one thread.
Positions (class, tenant, zone, machine type) count from 0 in the settings' lists.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from cottonhold.scheduler.settings import Settings


class EngineState(Enum):
    """An engine's state in the engine list."""

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
    NOT_STARTED = "moot"


class ProgressKind(Enum):
    """What a progress note is about."""

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
    """The engine list, complete or only what changed."""

    engines: tuple[Engine, ...]
    is_complete: bool


@dataclass(slots=True, frozen=True)
class EngineListFailed:
    """A call for the list failed or the subscription broke; the old list still holds."""


@dataclass(slots=True, frozen=True)
class QueryArrived:
    """A client's query has arrived at this gateway."""

    query_id: str
    query_class: int
    deadline_at: float
    estimated_work_ms: float = 0.0
    estimated_memory_mb: float = 0.0
    table_group: int = -1
    tenant: int = 0
    ordering_key: str | None = None
    is_retry: bool = False
    admission_draw: float | None = None  # 0 to 1, for the marginal share; None without admission control


@dataclass(slots=True, frozen=True)
class AttemptEnded:
    """How an attempt ended; `is_final` is set when the query is finished with it."""

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
    """News of a running attempt: share completed, MB missing, or what it waits for, 1 memory or 2 a load."""

    query_id: str
    attempt: int
    engine: str
    kind: ProgressKind
    value: float


@dataclass(slots=True, frozen=True)
class StreamStarted:
    """The result of a streamed query has begun; the attempt belongs to the client now."""

    query_id: str
    attempt: int
    engine: str


@dataclass(slots=True, frozen=True)
class ClientDisconnected:
    """The client has left; the query is finished."""

    query_id: str


@dataclass(slots=True, frozen=True)
class PeerMessage:
    """A message from another gateway."""

    peer: int
    payload: bytes


@dataclass(slots=True, frozen=True)
class HealthCheckCompleted:
    """The result of a health check: how it ended, and the load report that came along."""

    engine: str
    outcome: Outcome
    load_report: dict[str, float] = field(default_factory=dict)


@dataclass(slots=True, frozen=True)
class TimerExpired:
    """A timer set with SetTimer has expired."""

    token: int


@dataclass(slots=True, frozen=True)
class SettingsChanged:
    """Other settings from now on; queries that arrived before keep their class and their attempts."""

    settings: Settings


@dataclass(slots=True, frozen=True)
class EngineQuotas:
    """What the fleet lets this gateway send, as work in ms a ms by engine id; 0 closes an engine.

    Engines without a quota are free. Replaces all quotas before. From `expires_at` on an engine with a quota
    gets nothing, as the quotas of all gateways were divided until then.
    """

    work_rate_by_engine: dict[str, float]
    expires_at: float


@dataclass(slots=True, frozen=True)
class AdmissionThreshold:
    """What the fleet admits until a time, by utility a ms of work. Replaces the threshold before.

    A query whose draw is below `marginal_share` needs `marginal_density`, the others `full_density`. A
    rejected client should stay away for `retry_after_ms` at least. `is_fleet_wide` says that one threshold
    holds for all gateways, even if it admits everything.
    """

    marginal_density: float = 0.0
    full_density: float = 0.0
    marginal_share: float = 1.0
    expires_at: float = 0.0
    retry_after_ms: float = 0.0
    is_fleet_wide: bool = True


@dataclass(slots=True, frozen=True)
class ShutdownStarted:
    """This gateway shuts down: what has no final answer by `ends_at` never gets one."""

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
