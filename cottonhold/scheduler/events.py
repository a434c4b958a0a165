"""Events: the input of a scheduler step.

Times are in milliseconds on the caller's clock, memory is in MB, and work is in milliseconds on one thread.
Classes, tenants, zones and machine types are identified by their index in the lists of the settings, from 0.
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
    """The outcome of an attempt or a health check.

    Attributes:
        OK: The engine answered.
        ERROR: The engine answered with an error.
        OVERLOADED: The engine rejected the attempt as it has no capacity, or this process had no descriptor
            for a connection. The attempt did not run.
        TIMEOUT: No answer arrived in time.
        CONNECT_FAILED: No connection to the engine was established, or the engine stopped accepting attempts
            before the attempt was written.
        RESET: The connection was lost during the attempt.
        CANCELLED: The gateway or the client cancelled the attempt.
        NOT_STARTED: The gateway withdrew the attempt before it was written, or the engine answered that it
            does not know the attempt.
    """

    OK = "ok"
    ERROR = "error"
    OVERLOADED = "full"
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    NOT_STARTED = "moot"


class ProgressKind(Enum):
    """The kind of a progress note; the docstring of ProgressNote describes the values."""

    PROGRESS = 1
    SPILL = 2
    WAITING = 3


UNKNOWN_PLACE = -1  # zone or cell of an engine whose source names none, or one that is not configured


@dataclass(slots=True, frozen=True)
class Engine:
    """One entry of the engine list.

    Attributes:
        id: Id of the engine.
        zone: Zone of the engine, or UNKNOWN_PLACE.
        machine_type: Type of its machine.
        cell: Cell of the engine, or UNKNOWN_PLACE.
        state: State of the engine.
        size: Number of cores that is assumed if the machine type has no figure.
        started_at: Time at which its process started; 0 if unknown.
    """

    id: str
    zone: int = 0
    machine_type: int = 0
    cell: int = 0
    state: EngineState = EngineState.LIVE
    size: float = 1.0
    started_at: float = 0.0


@dataclass(slots=True, frozen=True)
class EngineList:
    """The complete engine list, or only the entries that changed."""

    engines: tuple[Engine, ...]
    is_complete: bool


@dataclass(slots=True, frozen=True)
class EngineListFailed:
    """A request for the engine list failed or the subscription ended; the last list remains valid."""


@dataclass(slots=True, frozen=True)
class QueryArrived:
    """A query has arrived from a client.

    Attributes:
        query_id: Id of the query, unique at this gateway.
        query_class: Class of the query.
        deadline_at: Time at which the client gives up.
        estimated_work_ms: The client's estimate of the work, in ms on one thread; 0 without an estimate.
        estimated_memory_mb: The client's estimate of the memory, in MB; 0 without an estimate.
        table_group: Number of the set of tables that the query reads or writes.
        tenant: Tenant of the client.
        ordering_key: Key whose queries are sent in order of arrival; None if the order does not matter.
        is_retry: Whether the client marked the query as a retry.
        admission_draw: Random number from 0 to 1 that selects the density the query needs (see
            AdmissionThreshold); None without admission control.
    """

    query_id: str
    query_class: int
    deadline_at: float
    estimated_work_ms: float = 0.0
    estimated_memory_mb: float = 0.0
    table_group: int = -1
    tenant: int = 0
    ordering_key: str | None = None
    is_retry: bool = False
    admission_draw: float | None = None


@dataclass(slots=True, frozen=True)
class AttemptEnded:
    """An attempt has ended.

    Attributes:
        query_id: Id of the query.
        attempt: Number of the attempt, from 0.
        engine: Id of the engine.
        outcome: How the attempt ended.
        elapsed_ms: Time since the attempt was sent, in ms.
        is_final: Whether the query is finished with this attempt.
        actual_work_ms: Work that the engine reports to have done, in ms; 0 if it reports none.
        actual_memory_mb: Memory that the engine reports to have used, in MB; 0 if it reports none.
        load_report: Load of the engine by the field's name; empty if it reports none.
    """

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
    """A progress note of a running attempt.

    Attributes:
        query_id: Id of the query.
        attempt: Number of the attempt, from 0.
        engine: Id of the engine.
        kind: What the note reports.
        value: For PROGRESS the completed share of the run; for SPILL the missing memory, in MB; for WAITING
            what the attempt waits for: 1 for memory, 2 for a load on its tables.
    """

    query_id: str
    attempt: int
    engine: str
    kind: ProgressKind
    value: float


@dataclass(slots=True, frozen=True)
class StreamStarted:
    """The result of an attempt has begun to be streamed to the client."""

    query_id: str
    attempt: int
    engine: str


@dataclass(slots=True, frozen=True)
class ClientDisconnected:
    """The client has disconnected, which finishes its query."""

    query_id: str


@dataclass(slots=True, frozen=True)
class PeerMessage:
    """A message from another gateway."""

    peer: int
    payload: bytes


@dataclass(slots=True, frozen=True)
class HealthCheckCompleted:
    """A health check has ended; its answer may contain a load report."""

    engine: str
    outcome: Outcome
    load_report: dict[str, float] = field(default_factory=dict)


@dataclass(slots=True, frozen=True)
class TimerExpired:
    """A timer set with SetTimer has expired."""

    token: int


@dataclass(slots=True, frozen=True)
class SettingsChanged:
    """New settings apply; queries that arrived before keep their class and their number of attempts."""

    settings: Settings


@dataclass(slots=True, frozen=True)
class EngineQuotas:
    """New quotas of work for this gateway, set by the fleet; they replace all earlier ones.

    Attributes:
        work_rate_by_engine: Work that may be sent to an engine, by its id, in ms of work per ms; 0 closes the
            engine. Other engines have no quota.
        expires_at: Time from which nothing may be sent to an engine with a quota, as the division among the
            gateways is valid until then only.
    """

    work_rate_by_engine: dict[str, float]
    expires_at: float


@dataclass(slots=True, frozen=True)
class AdmissionThreshold:
    """The fleet has set a new admission threshold, which replaces the earlier one.

    Attributes:
        marginal_density: Utility per ms of work that a query needs if its draw is below `marginal_share`.
        full_density: Utility per ms of work that any other query needs.
        marginal_share: Share of the queries to which `marginal_density` applies.
        expires_at: Time until which the threshold is valid; afterwards all queries are admitted.
        retry_after_ms: Shortest time until a retry that is advised to a rejected client, in ms.
        is_fleet_wide: Whether one threshold applies to all gateways, even if it admits everything.
    """

    marginal_density: float = 0.0
    full_density: float = 0.0
    marginal_share: float = 1.0
    expires_at: float = 0.0
    retry_after_ms: float = 0.0
    is_fleet_wide: bool = True


@dataclass(slots=True, frozen=True)
class ShutdownStarted:
    """This gateway shuts down: queries without a final answer at `ends_at` never get one."""

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
