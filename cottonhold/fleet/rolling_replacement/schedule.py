"""In which order machines are replaced, and why one waits. Pure, and alike for all who read the same
registers.

A set of machines may be out together if it is small enough, lies in few enough zones, leaves a majority of
the voters, and the remaining capacity suffices. Any part of such a set may be out as well. So each order of
machines has one schedule, in which each starts as early as those before it allow, and some order gives the
best schedule. Orders by a few rules are tried, and the best is improved by exchanging and moving single
machines.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field

CapacityCheck = Callable[[Mapping[int, float]], list[str]]  # missing cores by zone number -> why not
MAX_SCHEDULES = 300  # that are tried at most
RULE_COUNT = 4  # orders that are tried first
STUCK_DURATION_MS = 1e7  # of a machine that waits for its replacement


@dataclass(slots=True, frozen=True)
class ReplacementJob:
    """One machine to replace; duration_ms: from its start to its end, as learnt."""

    name: str
    zone: int
    cores: float
    is_voter: bool
    duration_ms: float


@dataclass(slots=True, frozen=True)
class Limits:
    """Limits on machines that are out together.

    spare_voters: voters that may be out besides those that are down. missing_cores: by zone, cores that are
    missing whatever is out.
    """

    max_concurrent: int = 1
    max_zones: int = 1
    spare_voters: int = 0
    missing_cores: Mapping[int, float] = field(default_factory=dict)


@dataclass(slots=True, frozen=True)
class Schedule:
    """When each machine starts, in ms from now (infinite if never), and when the last one ends."""

    start_times: Mapping[str, float]
    duration_ms: float


class ScheduleConstraints:
    """What may be out together; remembered while the capacity is the same."""

    def __init__(self, limits: Limits, capacity_check: CapacityCheck) -> None:
        self.limits, self.capacity_check = limits, capacity_check
        self.known_blockers: dict[frozenset[str], list[str]] = {}

    def blockers(self, active: Sequence[ReplacementJob]) -> list[str]:
        """Return why these machines may not be out together; nothing if they may."""
        key = frozenset(job.name for job in active)
        if key not in self.known_blockers:
            self.known_blockers[key] = self._find_blockers(active)
        return self.known_blockers[key]

    def _find_blockers(self, active: Sequence[ReplacementJob]) -> list[str]:
        limits, zones, reasons = self.limits, {job.zone for job in active}, []
        if len(active) > limits.max_concurrent:
            reasons.append(f"{limits.max_concurrent} at once")
        if len(zones) > limits.max_zones:
            reasons.append(f"{limits.max_zones} zone{'s' * (limits.max_zones > 1)} at once")
        if (voters := sum(job.is_voter for job in active)) > max(limits.spare_voters, 0):
            reasons.append(f"a majority of voters: {voters} out, {max(limits.spare_voters, 0)} to spare")
        missing_cores = dict(limits.missing_cores)
        for job in active:
            missing_cores[job.zone] = missing_cores.get(job.zone, 0.0) + job.cores
        # Last, and only if all else allows it, because it may be costly.
        return reasons or [f"outlook: {text}" for text in self.capacity_check(missing_cores)]

    def find_schedule(
        self, waiting: Sequence[ReplacementJob], active: Sequence[ReplacementJob] = ()
    ) -> Schedule:
        """Find a schedule for waiting machines, besides those that are out."""
        waiting = sorted(waiting, key=lambda job: job.name)
        best, remaining_tries = self._best_by_rules(waiting, active), MAX_SCHEDULES - RULE_COUNT
        if len(best[1]) > 1:
            improved = True
            while improved and remaining_tries > 0:
                improved = False
                for order in _neighbouring_orders(best[1]):
                    remaining_tries -= 1
                    schedule = self.place(order, active)
                    if schedule.duration_ms < best[0].duration_ms - 1e-9:
                        best, improved = (schedule, order), True
                        break
                    if remaining_tries <= 0:
                        break
        return best[0]

    def _best_by_rules(
        self, waiting: Sequence[ReplacementJob], active: Sequence[ReplacementJob]
    ) -> tuple[Schedule, list[ReplacementJob]]:
        work, busy_zones = dict[int, float](), {job.zone for job in active}
        for job in waiting:
            work[job.zone] = work.get(job.zone, 0.0) + job.duration_ms
        rules: list[Callable[[ReplacementJob], tuple[float, ...]]] = [
            lambda job: (job.zone not in busy_zones, -work[job.zone], job.zone, -job.duration_ms),
            lambda job: (job.zone not in busy_zones, job.zone, not job.is_voter, -job.duration_ms),
            lambda job: (-job.duration_ms,),
            lambda job: (job.zone not in busy_zones, not job.is_voter, -job.duration_ms, -job.cores),
        ]
        orders = [sorted(waiting, key=rule) for rule in rules]
        schedules = [(self.place(order, active), order) for order in orders]
        return min(schedules, key=lambda entry: entry[0].duration_ms)

    def place(self, order: Sequence[ReplacementJob], active: Sequence[ReplacementJob] = ()) -> Schedule:
        """Start each machine of an order as early as those before it allow."""
        spans = [(0.0, job.duration_ms, job) for job in active]
        starts = dict[str, float]()
        for job in order:
            start = self._earliest(job, spans)
            starts[job.name] = start
            if start < math.inf:
                spans.append((start, start + job.duration_ms, job))
        return Schedule(starts, max((end for _, end, _ in spans), default=0.0))

    def _earliest(self, job: ReplacementJob, spans: Sequence[tuple[float, float, ReplacementJob]]) -> float:
        for start in sorted({0.0, *(end for _, end, _ in spans)}):
            end = start + job.duration_ms
            # What is out changes only where another begins.
            moments = [start, *(s for s, _, _ in spans if start < s < end)]
            if not any(self.blockers([*(o for s, e, o in spans if s <= t < e), job]) for t in moments):
                return start
        return math.inf

    def wait_reasons(self, job: ReplacementJob, active: Sequence[ReplacementJob], start: float) -> list[str]:
        """Return why a machine does not start now, for operators."""
        reasons = list(self.blockers([*active, job]))
        if reasons and active:
            reasons = [f"{text} (out: {', '.join(sorted(o.name for o in active))})" for text in reasons]
        if not reasons and start > 0:
            reasons = ["its turn comes later: another order is shorter"]
        return reasons


def _neighbouring_orders(order: Sequence[ReplacementJob]) -> list[list[ReplacementJob]]:
    """Return orders with one machine moved, or two exchanged."""
    orders, n = [], len(order)
    for i in range(n):
        for j in range(i + 1, n):
            changed = list(order)
            changed[i], changed[j] = changed[j], changed[i]
            orders.append(changed)
    for i in range(n):
        for j in range(n):
            if abs(i - j) > 1:
                changed = list(order)
                changed.insert(j, changed.pop(i))
                orders.append(changed)
    return orders
