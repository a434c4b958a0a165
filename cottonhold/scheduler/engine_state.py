"""One engine: its plan, attempts in flight, capacity, and what the engine and the peers reported."""

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
from cottonhold.scheduler.reported_load import ReportedWork
from cottonhold.scheduler.settings import MachineType, Rules

MAX_LOCKS = 64  # locks of table groups at which those that have ended are dropped
MIN_QUEUED_MS = 1e-6  # less than this is what the addition of numbers leaves
SUM_INTERVAL_MS = 5.0  # interval between sums over attempts and reports; runs take far longer than this


class EjectionReason(Enum):
    """Why an engine is ejected, as decided in engine_health.py; the values appear in the operators' log."""

    UNREACHABLE = "dead"
    ERRORS = "errors"
    SILENT = "silent"
    HEALTH_CHECK_TIMEOUT = "deaf"


@dataclass(slots=True)
class RemainingWork:
    """The expected remaining work of runs in flight: thread time, and memory by run time."""

    thread_ms: float = 0.0
    memory_mb_ms: float = 0.0


@dataclass(slots=True, eq=False)
class EngineView:
    """This gateway's view of one engine. Times are milliseconds on the caller's clock."""

    id: str
    entry: Engine
    cores: float
    memory_mb: float  # 0 if unknown
    id_hash: int = 0  # CRC-32 of the id; identifies the engine in messages between gateways
    rank: int = 0  # position among the live engines by id, the same at every gateway

    # queries queued for the engine, and attempts in flight on it
    plan: list[Query] = field(default_factory=list)
    queued_thread_ms: float = 0.0
    queued_memory_mb_ms: float = 0.0
    queued_load_ms: dict[int, float] = field(default_factory=dict)  # run time of queued loads, by table group
    in_flight: dict[str, Query] = field(default_factory=dict)
    threads_in_flight: int = 0
    memory_in_flight_mb: float = 0.0
    in_flight_by_density: InFlightByDensity = field(default_factory=InFlightByDensity)
    loads_in_flight: dict[int, int] = field(default_factory=dict)  # number of loads by table group
    locked_until: dict[int, float] = field(default_factory=dict)  # expected end of the locks, by table group
    remaining_by_density: dict[float, RemainingWork] = field(default_factory=dict)
    remaining_computed_at: float = -math.inf

    # capacity of the engine, and this gateway's part of it
    thread_capacity: float = 1.0
    memory_capacity_mb: float = math.inf
    local_thread_capacity: float = 1.0
    local_memory_capacity_mb: float = math.inf

    # work that peers reported, and queries that this gateway sent since its last report to peers
    reported_by_peer: dict[int, ReportedWork] = field(default_factory=dict)
    peer_work_total: ReportedWork = field(default_factory=lambda: ReportedWork(-math.inf, 0, 0.0, 0.0))
    sent_since_report: ReportedWork = field(default_factory=lambda: ReportedWork(-math.inf, 0, 0.0, 0.0))

    # speed and load of the engine, and evidence of faults
    rate_average: WorkRate = field(default_factory=WorkRate)
    work_rate: float = 1.0  # ms of work per thread ms, computed at work_rate_at
    work_rate_at: float = -1.0
    load_report: dict[str, float] = field(default_factory=dict)
    load_report_at: float = -math.inf
    under_pressure_until: float = 0.0
    backoff_until: float = 0.0
    consecutive_overloads: int = 0
    last_received_at: float = 0.0
    health_checked_at: float = -math.inf
    error_share: float = 0.0  # smoothed share of the outcomes that were errors
    connection_lost_at: float = -math.inf
    consecutive_successes: int = 0
    ejection_reason: EjectionReason | None = None
    ejected_at: float = 0.0
    ejected_until: float = 0.0
    next_canary_at: float = 0.0

    # slow start and the fleet's quota
    cold_until: float = 0.0
    allowance_ms: float = 0.0  # work that may be sent to the engine now, in ms
    allowance_updated_at: float = 0.0
    quota_rate: float = math.inf  # ms of work per ms that the fleet permits this gateway to send
    quota_expires_at: float = math.inf

    def __post_init__(self) -> None:
        """Compute the hash of the id, which is the same at every gateway."""
        self.id_hash = zlib.crc32(self.id.encode())

    @classmethod
    def from_entry(cls, entry: Engine, machine_types: tuple[MachineType, ...], now: float) -> EngineView:
        """Return the view of an engine that is new to the list."""
        memory_mb = machine_of(entry, machine_types).memory_mb
        return cls(entry.id, entry, engine_cores(entry, machine_types), memory_mb, last_received_at=now)

    def warm_capacity_share(self, now: float, rules: Rules) -> float:
        """Return the expected share of the engine's capacity: a linear ramp from the cold share to 1."""
        cold = min(1.0, max(0.0, self.cold_until - now) / rules.warm_up_ms)
        return 1 - (1 - rules.cold_capacity_share) * cold

    def is_usable(self) -> bool:
        """Return whether the engine is neither ejected nor closed to this gateway by a quota of 0."""
        return not self.ejection_reason and self.quota_rate > 0

    def effective_quota_rate(self, now: float) -> float:
        """Return the quota in force: infinite if the fleet has set none, 0 once it has expired."""
        return self.quota_rate if now < self.quota_expires_at or self.quota_rate == math.inf else 0.0

    def set_quota(self, now: float, quota_rate: float, expires_at: float) -> bool:
        """Replace the quota; return whether the engine was closed before and is open now.

        The allowance earned under the former quota of a cold engine is added first, so that time after that
        quota's expiry earns nothing. An engine with its first quota starts without allowance. An engine whose
        quota is lifted is regarded as warm.
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
        """Store the finite, non-negative values of a load report; return whether there are any."""
        if valid := {name: value for name, value in report.items() if math.isfinite(value) and value >= 0}:
            self.load_report = valid
            self.load_report_at = now
        return bool(valid)

    def reset_process_statistics(self) -> None:
        """Discard what was learned about the process that ran before a restart."""
        self.rate_average = WorkRate()
        self.error_share = 0.0
        self.locked_until = {}

    def lock_tables(self, table_group: int, now: float, until: float) -> None:
        """Record that a load locks its tables here until a time, or longer if that is known already.

        Locks that have ended are dropped, since clients may name ever new table groups.
        """
        if len(self.locked_until) >= MAX_LOCKS:
            self.locked_until = {group: end for group, end in self.locked_until.items() if end > now}
        self.locked_until[table_group] = max(self.locked_until.get(table_group, 0.0), until)

    def has_load_on(self, table_group: int, now: float) -> bool:
        """Return whether a load of this gateway or a peer on these tables is queued or running here."""
        is_local = (
            self.loads_in_flight.get(table_group, 0) > 0 or self.queued_load_ms.get(table_group, 0.0) > 0
        )
        return is_local or self.locked_until.get(table_group, 0.0) > now

    def work_ahead_ms(
        self, now: float, min_share: float, density: float, margin: float, outranked_weight: float
    ) -> float:
        """Return the time until this gateway's work in flight here is done, for a query of a given density.

        The remaining work is summed at most every SUM_INTERVAL_MS, as there may be hundreds of attempts.

        Args:
            now: Present time, in ms.
            min_share: Lowest remaining share of its run that is assumed for an attempt.
            density: Density of the query that waits for the work in flight.
            margin: Factor by which the density must exceed another to outrank it.
            outranked_weight: Weight of the work that is outranked: the engine serves a higher priority first.

        Returns:
            Time that this gateway's capacity on the engine needs for the weighted work, in ms.
        """
        if now - self.remaining_computed_at >= SUM_INTERVAL_MS:
            self._recompute_remaining(now, min_share)
        thread_ms = memory_mb_ms = 0.0
        for other_density, remaining in self.remaining_by_density.items():
            weight = 1.0 if density <= margin * other_density else outranked_weight
            thread_ms += remaining.thread_ms * weight
            memory_mb_ms += remaining.memory_mb_ms * weight
        return max(thread_ms / self.local_thread_capacity, memory_mb_ms / self.local_memory_capacity_mb)

    def _recompute_remaining(self, now: float, min_share: float) -> None:
        """Recompute the remaining work of the attempts in flight."""
        self.remaining_computed_at = now
        self.remaining_by_density.clear()
        for query in self.in_flight.values():
            share = (
                1 - (now - query.sent_at) / query.planned_run_ms
                if query.planned_run_ms > 1 and not query.completed_share
                else query.remaining_share(now, min_share)
            )
            self._add_remaining(query, share if share > min_share else min_share)

    def _add_remaining(self, query: Query, share: float) -> None:
        """Add a share of a query's run to the remaining work; a negative share subtracts it."""
        remaining = self.remaining_by_density.get(query.density)
        if remaining is None:
            remaining = self.remaining_by_density[query.density] = RemainingWork()
        memory_mb_ms = query.planned_run_ms * query.planned_memory_mb
        remaining.thread_ms = max(remaining.thread_ms + query.planned_thread_ms * share, 0.0)
        remaining.memory_mb_ms = max(remaining.memory_mb_ms + memory_mb_ms * share, 0.0)

    def apply_reported_work(self, peer: int, load: ReportedWork | None, expires_at: float) -> None:
        """Replace the work that a peer reported, valid until `expires_at`; None if the peer has none here."""
        self.reported_by_peer.pop(peer, None)
        if load is not None:
            load.expires_at = expires_at
            self.reported_by_peer[peer] = load

    def peer_work(self, now: float, peer_sends_per_local: float) -> ReportedWork:
        """Return the work that the peers are expected to have here.

        This is the work that they reported, less the work done since. For each query that this gateway has
        sent here since its own last report, `peer_sends_per_local` queries of peers are added.
        """
        if now - self.peer_work_total.received_at >= SUM_INTERVAL_MS:
            self._sum_reported(now)
        if not peer_sends_per_local:
            return self.peer_work_total
        total, local = self.peer_work_total, self.sent_since_report
        return ReportedWork(
            now,
            total.threads + local.threads * peer_sends_per_local,
            total.memory_mb + local.memory_mb * peer_sends_per_local,
            total.remaining_thread_ms + local.remaining_thread_ms * peer_sends_per_local,
        )

    def _sum_reported(self, now: float) -> None:
        """Sum the work that the peers reported, and drop reports that have expired."""
        if not self.reported_by_peer:
            self.peer_work_total = ReportedWork(now, 0, 0.0, 0.0)
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
        self.peer_work_total = ReportedWork(now, threads, memory_mb, remaining_thread_ms)

    def enqueue(self, position: int, query: Query) -> None:
        """Insert a query into the plan at a position."""
        self.plan.insert(position, query)
        self.queued_thread_ms += query.planned_thread_ms
        self.queued_memory_mb_ms += query.planned_run_ms * query.planned_memory_mb
        if query.query_class.is_load:
            queued_ms = self.queued_load_ms.get(query.table_group, 0.0)
            self.queued_load_ms[query.table_group] = queued_ms + query.planned_run_ms

    def dequeue(self, query: Query) -> None:
        """Remove a query from the plan if it is queued there."""
        if query not in self.plan:
            return
        self.plan.remove(query)
        self.queued_thread_ms -= query.planned_thread_ms
        self.queued_memory_mb_ms -= query.planned_run_ms * query.planned_memory_mb
        if query.query_class.is_load:
            queued_ms = self.queued_load_ms[query.table_group] - query.planned_run_ms
            if queued_ms > MIN_QUEUED_MS:
                self.queued_load_ms[query.table_group] = queued_ms
            else:
                del self.queued_load_ms[query.table_group]

    def clear_plan(self) -> list[Query]:
        """Empty the plan and return the queries that were queued."""
        queued = self.plan
        self.plan = []
        self.queued_thread_ms = 0.0
        self.queued_memory_mb_ms = 0.0
        self.queued_load_ms = {}
        return queued

    def add_in_flight(self, query: Query) -> None:
        """Add an attempt of the query that is sent to this engine."""
        self.in_flight[query.id] = query
        if query.query_class.is_load:
            self.loads_in_flight[query.table_group] = self.loads_in_flight.get(query.table_group, 0) + 1
        self.in_flight_by_density.add_attempt(query)
        self._add_remaining(query, 1.0)
        self.threads_in_flight += query.query_class.threads
        self.memory_in_flight_mb += query.planned_memory_mb
        self.sent_since_report.add(query, 1)

    def remove_in_flight(self, query: Query, min_share: float) -> bool:
        """Remove the query's attempt, which has ended; return whether one was in flight here."""
        if self.in_flight.pop(query.id, None) is None:
            return False
        self.in_flight_by_density.remove_attempt(query)
        if query.query_class.is_load:
            self.loads_in_flight[query.table_group] -= 1
            if not self.loads_in_flight[query.table_group]:
                del self.loads_in_flight[query.table_group]
        counted_at = max(self.remaining_computed_at, query.sent_at)
        self._add_remaining(query, -query.remaining_share(counted_at, min_share))
        self.threads_in_flight -= query.query_class.threads
        self.memory_in_flight_mb -= query.planned_memory_mb
        if query.sent_at >= self.sent_since_report.received_at:
            self.sent_since_report.add(query, -1)
        return True


def machine_of(entry: Engine, machine_types: Sequence[MachineType]) -> MachineType:
    """Return an engine's machine type; a type without figures if the entry names no known one."""
    return machine_types[entry.machine_type] if entry.machine_type < len(machine_types) else MachineType()


def engine_cores(entry: Engine, machine_types: Sequence[MachineType]) -> float:
    """Return an engine's cores; if its machine type has no figure, its size is taken as the cores."""
    return machine_of(entry, machine_types).cores or max(entry.size, 1.0)
