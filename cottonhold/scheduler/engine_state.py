"""One engine: its plan, what is in flight there, its capacity, and what it and the peers reported of it."""

from __future__ import annotations

import math
import zlib
from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import Enum

from cottonhold.scheduler.events import Engine
from cottonhold.scheduler.in_flight import InFlightByDensity
from cottonhold.scheduler.moving_average import WorkRate
from cottonhold.scheduler.query import Query
from cottonhold.scheduler.reported_load import ReportedLoad
from cottonhold.scheduler.settings import MachineType, Rules

COUNT_INTERVAL_MS = 5.0  # sums over what is in flight or reported are reused so long: runs take far longer


class EjectionReason(Enum):
    """Why an engine is ejected; see engine_health.py. The values are those of the operators' log."""

    UNREACHABLE = "dead"
    ERRORS = "errors"
    SILENT = "silent"
    HEALTH_CHECK_TIMEOUT = "deaf"


@dataclass(slots=True)
class RemainingWork:
    """What is expected to remain of runs in flight."""

    thread_ms: float = 0.0
    memory_mb_ms: float = 0.0


@dataclass(slots=True, eq=False)
class EngineView:
    """What this gateway knows of one engine."""

    id: str
    entry: Engine
    cores: float
    memory_mb: float  # 0 where it is not known
    id_hash: int = 0  # names it in messages between gateways
    rank: int = 0  # position among the live engines, the same at every gateway

    # what is queued for it, and what is in flight there
    plan: list[Query] = field(default_factory=list)
    queued_thread_ms: float = 0.0
    queued_memory_mb_ms: float = 0.0
    queued_load_ms: dict[int, float] = field(default_factory=dict)  # run time of queued loads, by table group
    in_flight: dict[str, Query] = field(default_factory=dict)
    threads_in_flight: int = 0
    memory_in_flight_mb: float = 0.0
    in_flight_by_density: InFlightByDensity = field(default_factory=InFlightByDensity)
    loads_in_flight: dict[int, int] = field(default_factory=dict)  # by table group
    locked_until: dict[int, float] = field(
        default_factory=dict
    )  # expected end of table locks, by table group
    remaining_by_density: dict[float, RemainingWork] = field(default_factory=dict)
    remaining_counted_at: float = -math.inf

    # its capacity, and this gateway's part of it
    thread_capacity: float = 1.0
    memory_capacity_mb: float = math.inf
    local_thread_capacity: float = 1.0
    local_memory_capacity_mb: float = math.inf

    # what peers reported of it
    reported_by_peer: dict[int, ReportedLoad] = field(default_factory=dict)
    peer_total: ReportedLoad = field(default_factory=lambda: ReportedLoad(-math.inf, 0, 0.0, 0.0))
    sent_since_report: ReportedLoad = field(default_factory=lambda: ReportedLoad(-math.inf, 0, 0.0, 0.0))

    # its speed, its load and the evidence of faults
    rate_average: WorkRate = field(default_factory=WorkRate)
    work_rate: float = 1.0  # ms of work a thread ms, as of work_rate_at
    work_rate_at: float = -1.0
    load_report: dict[str, float] = field(default_factory=dict)
    load_report_at: float = -math.inf
    under_pressure_until: float = 0.0
    backoff_until: float = 0.0
    consecutive_overloads: int = 0
    last_received_at: float = 0.0
    health_checked_at: float = -math.inf
    error_share: float = 0.0  # share of outcomes that were errors, smoothed
    connection_lost_at: float = -math.inf
    consecutive_successes: int = 0
    ejection_reason: EjectionReason | None = None
    ejected_at: float = 0.0
    ejected_until: float = 0.0
    next_canary_at: float = 0.0

    # slow start and the fleet's quota
    cold_until: float = 0.0
    allowance_ms: float = 0.0  # work that may be sent now
    allowance_updated_at: float = 0.0
    quota_rate: float = math.inf  # work in ms a ms that the fleet lets this gateway send here
    quota_expires_at: float = math.inf

    def __post_init__(self) -> None:
        """Derive the hash of the id, the same at every gateway."""
        self.id_hash = zlib.crc32(self.id.encode())

    @classmethod
    def from_entry(cls, entry: Engine, machine_types: tuple[MachineType, ...], now: float) -> EngineView:
        """An engine that is new to the list."""
        memory_mb = machine_of(entry, machine_types).memory_mb
        return cls(entry.id, entry, engine_cores(entry, machine_types), memory_mb, last_received_at=now)

    def warm_capacity_share(self, now: float, rules: Rules) -> float:
        """Share of its capacity that it is expected to have: an even ramp from a cold start to all of it."""
        cold = min(1.0, max(0.0, self.cold_until - now) / rules.warm_up_ms)
        return 1 - (1 - rules.cold_capacity_share) * cold

    def is_usable(self) -> bool:
        """Neither ejected here nor closed to this gateway by a quota of zero."""
        return not self.ejection_reason and self.quota_rate > 0

    def effective_quota_rate(self, now: float) -> float:
        """The quota in force: infinite where the fleet has set none, zero once it has expired."""
        return self.quota_rate if now < self.quota_expires_at or self.quota_rate == math.inf else 0.0

    def set_quota(self, now: float, quota_rate: float, expires_at: float) -> bool:
        """Apply another quota; true if the engine was closed before and is open now.

        What was saved up under the former quota is counted before it is replaced, so that time without a
        quota earns nothing. An engine that gets its first quota starts with nothing saved up. One whose quota
        is lifted has shown what it can do and is no longer warming up.
        """
        is_reopened = not self.quota_rate and quota_rate > 0
        if self.quota_rate < math.inf and now < self.cold_until:
            earned_ms = max(0.0, min(now, self.quota_expires_at) - self.allowance_updated_at)
            self.allowance_ms += self.quota_rate * earned_ms
            self.allowance_updated_at = now
        if self.quota_rate == math.inf and quota_rate < math.inf:
            self.allowance_ms = 0.0
            self.allowance_updated_at = now
        elif self.quota_rate < math.inf and quota_rate == math.inf:
            self.cold_until = min(self.cold_until, now)
        self.quota_rate = quota_rate
        self.quota_expires_at = expires_at
        return is_reopened

    def apply_load_report(self, now: float, report: dict[str, float]) -> bool:
        """Take over the values of a load report that make sense; false if there are none."""
        if valid := {name: value for name, value in report.items() if math.isfinite(value) and value >= 0}:
            self.load_report = valid
            self.load_report_at = now
        return bool(valid)

    def forget_process(self) -> None:
        """Forget what was learned of the process that ran before a restart."""
        self.rate_average = WorkRate()
        self.error_share = 0.0
        self.locked_until = {}

    def has_load_on(self, table_group: int, now: float) -> bool:
        """Whether a load on these tables is queued or runs here, of this gateway or as a peer reported."""
        is_local = (
            self.loads_in_flight.get(table_group, 0) > 0 or self.queued_load_ms.get(table_group, 0.0) > 0
        )
        return is_local or self.locked_until.get(table_group, 0.0) > now

    def work_ahead_ms(
        self, now: float, min_share: float, density: float, margin: float, outranked_weight: float
    ) -> float:
        """Time that this gateway's capacity here takes for the work in flight, as a density finds it.

        Work that the density outranks by more than `margin` times weighs `outranked_weight`, as the engine
        serves the higher priority first. What remains is counted every COUNT_INTERVAL_MS only: there may be
        hundreds of attempts.
        """
        if now - self.remaining_counted_at >= COUNT_INTERVAL_MS:
            self._count_remaining(now, min_share)
        thread_ms = memory_mb_ms = 0.0
        for other_density, remaining in self.remaining_by_density.items():
            weight = 1.0 if density <= margin * other_density else outranked_weight
            thread_ms += remaining.thread_ms * weight
            memory_mb_ms += remaining.memory_mb_ms * weight
        return max(thread_ms / self.local_thread_capacity, memory_mb_ms / self.local_memory_capacity_mb)

    def _count_remaining(self, now: float, min_share: float) -> None:
        """Count anew what remains of the attempts in flight."""
        self.remaining_counted_at = now
        self.remaining_by_density.clear()
        for query in self.in_flight.values():
            share = (
                1 - (now - query.sent_at) / query.planned_run_ms
                if query.planned_run_ms > 1 and not query.completed_share
                else query.remaining_share(now, min_share)
            )
            self._add_remaining(query, share if share > min_share else min_share)

    def _add_remaining(self, query: Query, share: float) -> None:
        """Count a share of a query's run as remaining; a negative one takes it back."""
        remaining = self.remaining_by_density.get(query.density)
        if remaining is None:
            remaining = self.remaining_by_density[query.density] = RemainingWork()
        memory_mb_ms = query.planned_run_ms * query.planned_memory_mb
        remaining.thread_ms = max(remaining.thread_ms + query.planned_thread_ms * share, 0.0)
        remaining.memory_mb_ms = max(remaining.memory_mb_ms + memory_mb_ms * share, 0.0)

    def apply_peer_load(self, peer: int, load: ReportedLoad | None, expires_at: float) -> None:
        """Take over what a peer has here, or that it has nothing; forgotten unless reported again in time."""
        self.reported_by_peer.pop(peer, None)
        if load is not None:
            load.expires_at = expires_at
            self.reported_by_peer[peer] = load

    def peer_load(self, now: float, peer_sends_per_local: float) -> ReportedLoad:
        """What the peers are expected to have here.

        That is what they reported less what has run since, and for each query that this gateway has sent
        since its own last report `peer_sends_per_local` of theirs.
        """
        if now - self.peer_total.received_at >= COUNT_INTERVAL_MS:
            self._sum_reported(now)
        if not peer_sends_per_local:
            return self.peer_total
        total, local = self.peer_total, self.sent_since_report
        return ReportedLoad(
            now,
            total.threads + local.threads * peer_sends_per_local,
            total.memory_mb + local.memory_mb * peer_sends_per_local,
            total.remaining_thread_ms + local.remaining_thread_ms * peer_sends_per_local,
        )

    def _sum_reported(self, now: float) -> None:
        """Sum what the peers reported, without reports that have expired."""
        if not self.reported_by_peer:
            self.peer_total = ReportedLoad(now, 0, 0.0, 0.0)
            return
        self.reported_by_peer = {
            peer: load for peer, load in self.reported_by_peer.items() if load.expires_at > now
        }
        threads = memory_mb = remaining_thread_ms = 0.0
        for load in self.reported_by_peer.values():
            threads += load.threads
            memory_mb += load.memory_mb
            run_thread_ms = load.threads * (now - load.received_at)
            remaining_thread_ms += max(load.remaining_thread_ms - run_thread_ms, 0.0)
        self.peer_total = ReportedLoad(now, threads, memory_mb, remaining_thread_ms)

    def enqueue(self, position: int, query: Query) -> None:
        """Queue a query at a position of the plan."""
        self.plan.insert(position, query)
        self.queued_thread_ms += query.planned_thread_ms
        self.queued_memory_mb_ms += query.planned_run_ms * query.planned_memory_mb
        if query.query_class.is_load:
            queued_ms = self.queued_load_ms.get(query.table_group, 0.0)
            self.queued_load_ms[query.table_group] = queued_ms + query.planned_run_ms

    def dequeue(self, query: Query) -> None:
        """Take a query out of the plan if it is there."""
        if query not in self.plan:
            return
        self.plan.remove(query)
        self.queued_thread_ms -= query.planned_thread_ms
        self.queued_memory_mb_ms -= query.planned_run_ms * query.planned_memory_mb
        if query.query_class.is_load:
            queued_ms = self.queued_load_ms[query.table_group]
            self.queued_load_ms[query.table_group] = max(queued_ms - query.planned_run_ms, 0.0)

    def clear_plan(self) -> list[Query]:
        """Empty the plan and return what was queued."""
        queued = self.plan
        self.plan = []
        self.queued_thread_ms = 0.0
        self.queued_memory_mb_ms = 0.0
        self.queued_load_ms = {}
        return queued

    def add_in_flight(self, query: Query) -> None:
        """Count an attempt of the query that is sent here."""
        self.in_flight[query.id] = query
        if query.query_class.is_load:
            self.loads_in_flight[query.table_group] = self.loads_in_flight.get(query.table_group, 0) + 1
        self.in_flight_by_density.add_attempt(query)
        self._add_remaining(query, 1.0)
        self.threads_in_flight += query.query_class.threads
        self.memory_in_flight_mb += query.planned_memory_mb
        self.sent_since_report.add(query, 1)

    def remove_in_flight(self, query: Query, min_share: float) -> bool:
        """Count an attempt that has ended no more; false if none was in flight here."""
        if self.in_flight.pop(query.id, None) is None:
            return False
        self.in_flight_by_density.remove_attempt(query)
        if query.query_class.is_load:
            self.loads_in_flight[query.table_group] -= 1
        counted_at = max(self.remaining_counted_at, query.sent_at)
        self._add_remaining(query, -query.remaining_share(counted_at, min_share))
        self.threads_in_flight -= query.query_class.threads
        self.memory_in_flight_mb -= query.planned_memory_mb
        if query.sent_at >= self.sent_since_report.received_at:
            self.sent_since_report.add(query, -1)
        return True


def machine_of(entry: Engine, machine_types: Sequence[MachineType]) -> MachineType:
    """The type of an engine's machine; one without figures where the list names none that is known."""
    return machine_types[entry.machine_type] if entry.machine_type < len(machine_types) else MachineType()


def engine_cores(entry: Engine, machine_types: Sequence[MachineType]) -> float:
    """An engine's cores; without a known machine type its size counts as cores."""
    return machine_of(entry, machine_types).cores or max(entry.size, 1.0)
