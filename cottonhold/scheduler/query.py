"""One query: the client's request, its estimates, its position in a plan, and its attempts."""

from __future__ import annotations

import math
from dataclasses import InitVar, dataclass, field
from typing import Protocol

from cottonhold.scheduler.class_history import ClassHistory
from cottonhold.scheduler.events import Engine, QueryArrived
from cottonhold.scheduler.settings import Idempotency, QueryClass, Settings


class EngineReference(Protocol):
    """The attributes that a query uses of the engine that it is queued for or was sent to."""

    entry: Engine
    error_share: float
    queued_load_ms: dict[int, float]

    def dequeue(self, query: Query) -> None:
        """Remove a query from the engine's plan if it is queued there."""


@dataclass(slots=True, eq=False)
class Query:
    """A query without a final answer, or with an attempt whose outcome is not known yet.

    Times are in milliseconds on the caller's clock.
    """

    arrival: InitVar[QueryArrived]
    settings: InitVar[Settings]  # those at its arrival; later ones do not apply to it
    class_history: ClassHistory
    arrived_at: float
    sequence: int  # number of the query in order of arrival

    # the client's request
    query_class: QueryClass = field(init=False)
    max_attempts: int = 1
    id: str = ""
    deadline_at: float = 0.0  # time at which the client gives up
    estimated_work_ms: float = 0.0  # the client's estimate; 0 without one
    estimated_memory_mb: float = 0.0  # the client's estimate; 0 without one
    table_group: int = -1
    tenant: int = 0
    ordering_key: str | None = None  # queries with the same key are sent in order of arrival
    first_tried_at: float = 0.0  # time at which the client sent its first try

    # estimates and utility
    planned_work_ms: float = 0.0
    planned_memory_mb: float = 0.0
    latency_objective_ms: float = 0.0  # time from the first try within which a result earns all utility
    latency_objective_at: float = 0.0
    full_utility: float = 0.0

    # position in the plan of an engine
    engine: EngineReference | None = None
    estimated_finish_at: float = 0.0
    planned_run_ms: float = 0.0
    planned_thread_ms: float = 0.0
    density: float = 0.0  # utility per ms of thread time, rounded down to a power of two
    priority: int = 1
    sent_priority: int = 1  # last priority sent with UpdateAttempt
    sent_memory_grant_mb: int = 0  # last grant sent with UpdateAttempt
    is_canary: bool = False  # whether its attempt tests an ejected engine

    # the attempt in flight, and results of earlier attempts
    is_in_flight: bool = False
    attempts_sent: int = 0
    sent_at: float = 0.0
    sent_to: Engine | None = None  # the entry of its engine when it was sent; later entries may differ
    progress_at: float = 0.0  # time of the last PROGRESS note; without one, when the attempt was sent
    running_since: float = 0.0  # earliest time at which the current run can have begun
    completed_share: float = 0.0  # completed share of the run, by progress notes
    is_waiting_for_memory: bool = False
    is_streaming: bool = False
    is_cancelled: bool = False
    tried_engine_ids: set[str] = field(default_factory=set)
    may_have_run_since: float | None = None  # time at which the first attempt that may have run was sent
    may_have_run_on: Engine | None = None  # the entry of that attempt's engine when it was sent
    engine_error_count: int = 0  # attempts that ended with an error of the engine
    first_error_engine: EngineReference | None = None
    is_finished: bool = False  # whether it has been answered or its client has disconnected

    def __post_init__(self, arrival: QueryArrived, settings: Settings) -> None:
        """Copy the client's request, and the settings that apply to the query until its end."""
        self.query_class = settings.classes[arrival.query_class]
        self.max_attempts = settings.features.max_attempts
        self.id = arrival.query_id
        self.deadline_at = arrival.deadline_at
        self.table_group = arrival.table_group
        self.tenant = arrival.tenant
        self.estimated_work_ms = arrival.estimated_work_ms
        self.estimated_memory_mb = arrival.estimated_memory_mb
        self.ordering_key = arrival.ordering_key if self.query_class.is_ordered_by_key else None

    def admission_work_ms(self) -> float:
        """Return the work in thread ms for the admission threshold.

        The client's estimate is used where there is one, as it is the same at every gateway.
        """
        return (self.estimated_work_ms or self.planned_work_ms) * self.query_class.threads

    def remaining_share(self, now: float, min_share: float) -> float:
        """Return the expected remaining share of the run, by progress notes and elapsed time."""
        run_share = (now - self.sent_at) / max(self.planned_run_ms, 1.0)
        return max(min_share, 1 - max(self.completed_share, run_share))

    def begin_attempt(self, now: float, engine: EngineReference) -> None:
        """Record that an attempt is sent to an engine."""
        self.engine = engine
        self.sent_to = engine.entry
        self.is_in_flight = True
        self.sent_at = self.progress_at = self.running_since = now
        self.completed_share = 0.0
        self.is_cancelled = self.is_waiting_for_memory = False

    def deduplication_window_end(self) -> float:
        """Return when engines cease to drop repeats; infinite if no attempt can have run or without a key."""
        if (
            self.may_have_run_since is None
            or self.query_class.idempotency is not Idempotency.IDEMPOTENT_WITH_KEY
        ):
            return math.inf
        return self.may_have_run_since + self.query_class.deduplication_window_ms

    def leave_plan(self) -> None:
        """Remove the query from the plan that it is queued in, if any."""
        if self.engine is not None:
            self.engine.dequeue(self)
