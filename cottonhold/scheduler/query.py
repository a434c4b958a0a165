"""One query: what its client asked for, what it is expected to need, where it is queued, and its attempts."""

from __future__ import annotations

import math
from dataclasses import InitVar, dataclass, field
from typing import Protocol

from cottonhold.scheduler.class_history import ClassHistory
from cottonhold.scheduler.events import Engine, QueryArrived
from cottonhold.scheduler.settings import Idempotency, QueryClass, Settings


class EngineReference(Protocol):
    """What a query uses of the engine that it is queued for or was sent to."""

    entry: Engine
    error_share: float
    queued_load_ms: dict[int, float]

    def dequeue(self, query: Query) -> None:
        """Take a query out of the engine's plan if it is there."""


@dataclass(slots=True, eq=False)
class Query:
    """A query that this gateway owes an answer, or whose attempt still lacks its outcome."""

    arrival: InitVar[QueryArrived]
    settings: InitVar[Settings]  # in force at its arrival; later ones do not concern it
    class_history: ClassHistory
    arrived_at: float
    sequence: int  # its position among all queries accepted

    # as its client sent it
    query_class: QueryClass = field(init=False)
    max_attempts: int = 1
    id: str = ""
    deadline_at: float = 0.0  # when its client gives up
    estimated_work_ms: float = 0.0  # the client's estimate; 0 without one
    estimated_memory_mb: float = 0.0  # the client's estimate; 0 without one
    table_group: int = -1
    tenant: int = 0
    ordering_key: str | None = None  # queries of one key keep their order
    first_tried_at: float = 0.0  # when its client sent its first try

    # what it is expected to need, and its utility
    planned_work_ms: float = 0.0
    planned_memory_mb: float = 0.0
    latency_objective_ms: float = 0.0  # from the first try: a result within it earns the full utility
    latency_objective_at: float = 0.0
    full_utility: float = 0.0

    # its position in the plan of an engine
    engine: EngineReference | None = None
    estimated_finish_at: float = 0.0
    planned_run_ms: float = 0.0
    planned_thread_ms: float = 0.0
    density: float = 0.0  # utility by ms of thread time, rounded down to a power of two
    priority: int = 1
    sent_priority: int = 1  # the priority that engines were last sent
    sent_memory_grant_mb: int = 0  # the grant that engines were last sent
    is_canary: bool = False  # its attempt tests an ejected engine

    # the attempt in flight, and what came of those before
    is_in_flight: bool = False
    attempts_sent: int = 0
    sent_at: float = 0.0
    progress_at: float = 0.0  # of the last note on its progress, else when it was sent
    running_since: float = 0.0  # when it was last known to begin to run
    completed_share: float = 0.0  # of its run, by progress notes
    is_waiting_for_memory: bool = False
    is_streaming: bool = False
    is_cancelled: bool = False
    tried_engine_ids: set[str] = field(default_factory=set)
    may_have_run_since: float | None = None  # when the first attempt that may have run was sent
    may_have_run_on: EngineReference | None = None
    engine_error_count: int = 0  # engines that answered with an error
    first_error_engine: EngineReference | None = None
    is_finished: bool = False  # it has its final answer, or its client has left

    def __post_init__(self, arrival: QueryArrived, settings: Settings) -> None:
        """Take over what the client sent and the rules that hold for the query to its end."""
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
        """Work in thread ms for the admission threshold: by the client's estimate, alike at every gateway."""
        return (self.estimated_work_ms or self.planned_work_ms) * self.query_class.threads

    def remaining_share(self, now: float, min_share: float) -> float:
        """Share of the run that is expected to remain, by progress notes and by the time run."""
        run_share = (now - self.sent_at) / max(self.planned_run_ms, 1.0)
        return max(min_share, 1 - max(self.completed_share, run_share))

    def begin_attempt(self, now: float, engine: EngineReference) -> None:
        """Record that an attempt is sent to an engine now."""
        self.engine = engine
        self.is_in_flight = True
        self.sent_at = self.progress_at = self.running_since = now
        self.completed_share = 0.0
        self.is_cancelled = self.is_waiting_for_memory = False

    def deduplication_window_end(self) -> float:
        """Until when engines drop repeats; infinite while no attempt can have run, or without a key."""
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
