"""Schedules the replacement of machines, and explains why a machine waits; does no I/O.

The schedule is deterministic, so all instances that read the same registers find the same one.

Machines may be out at the same time if they are not too many, in not too many zones, and leave a majority of
the voters and enough capacity. This also holds for each subset of such machines. So each order of machines
has one schedule, in which each machine starts as early as the machines before it allow, and the best schedule
is that of some order. The search starts with orders by a few rules and improves the best of them by swapping
and moving single machines.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field

# Receives the missing cores by zone number; returns the reasons why they must not be missing.
CapacityCheck = Callable[[Mapping[int, float]], list[str]]
MAX_SCHEDULES = 300  # maximum number of schedules in a search
RULE_COUNT = 4  # number of orders by a rule with which a search starts
STUCK_DURATION_MS = 1e7  # assumed duration of a replacement whose new machine has not arrived or has left


@dataclass(slots=True, frozen=True)
class ReplacementJob:
    """The replacement of one machine; `duration_ms` is its expected duration."""

    name: str
    zone: int
    cores: float
    is_voter: bool
    duration_ms: float


@dataclass(slots=True, frozen=True)
class Limits:
    """Limits on machines that are out at the same time.

    Attributes:
        max_concurrent: Maximum number of machines.
        max_zones: Maximum number of zones in which machines are out.
        spare_voters: Maximum number of voters that may be out in addition to those that are down.
        missing_cores: Cores that are missing regardless of the machines that are out, by zone number.
    """

    max_concurrent: int = 1
    max_zones: int = 1
    spare_voters: int = 0
    missing_cores: Mapping[int, float] = field(default_factory=dict)


@dataclass(slots=True, frozen=True)
class Schedule:
    """The start of each machine's replacement, in ms from now (infinite if never), and the total duration."""

    start_times: Mapping[str, float]
    duration_ms: float


class ScheduleConstraints:
    """Decides which machines may be out at the same time, and caches the results."""

    def __init__(self, limits: Limits, capacity_check: CapacityCheck) -> None:
        self.limits, self.capacity_check = limits, capacity_check
        self.known_blockers: dict[frozenset[str], list[str]] = {}

    def blockers(self, active: Sequence[ReplacementJob]) -> list[str]:
        """Return why these machines must not be out at the same time; empty if they may be."""
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
        # The capacity check may be expensive, so it is made only if there is no other reason.
        return reasons or [f"outlook: {text}" for text in self.capacity_check(missing_cores)]

    def find_schedule(
        self, waiting: Sequence[ReplacementJob], active: Sequence[ReplacementJob] = ()
    ) -> Schedule:
        """Find a short schedule for the waiting machines, given the active ones."""
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
        zone_durations, busy_zones = dict[int, float](), {job.zone for job in active}
        for job in waiting:
            zone_durations[job.zone] = zone_durations.get(job.zone, 0.0) + job.duration_ms
        rules: list[Callable[[ReplacementJob], tuple[float, ...]]] = [
            lambda job: (job.zone not in busy_zones, -zone_durations[job.zone], job.zone, -job.duration_ms),
            lambda job: (job.zone not in busy_zones, job.zone, not job.is_voter, -job.duration_ms),
            lambda job: (-job.duration_ms,),
            lambda job: (job.zone not in busy_zones, not job.is_voter, -job.duration_ms, -job.cores),
        ]
        orders = [sorted(waiting, key=rule) for rule in rules]
        schedules = [(self.place(order, active), order) for order in orders]
        return min(schedules, key=lambda entry: entry[0].duration_ms)

    def place(self, order: Sequence[ReplacementJob], active: Sequence[ReplacementJob] = ()) -> Schedule:
        """Return the schedule that starts each machine of an order as early as those before it allow."""
        spans = [(0.0, job.duration_ms, job) for job in active]
        starts = dict[str, float]()
        for job in order:
            start = self._earliest_start(job, spans)
            starts[job.name] = start
            if start < math.inf:
                spans.append((start, start + job.duration_ms, job))
        return Schedule(starts, max((end for _, end, _ in spans), default=0.0))

    def _earliest_start(
        self, job: ReplacementJob, spans: Sequence[tuple[float, float, ReplacementJob]]
    ) -> float:
        for start in sorted({0.0, *(end for _, end, _ in spans)}):
            end = start + job.duration_ms
            # The set of machines that are out grows only when another one starts.
            moments = [start, *(s for s, _, _ in spans if start < s < end)]
            if not any(self.blockers([*(o for s, e, o in spans if s <= t < e), job]) for t in moments):
                return start
        return math.inf

    def wait_reasons(self, job: ReplacementJob, active: Sequence[ReplacementJob], start: float) -> list[str]:
        """Return why a machine does not start now, as shown to operators."""
        reasons = list(self.blockers([*active, job]))
        if reasons and active:
            reasons = [f"{text} (out: {', '.join(sorted(o.name for o in active))})" for text in reasons]
        if not reasons and start > 0:
            reasons = ["its turn comes later: another order is shorter"]
        return reasons


def _neighbouring_orders(order: Sequence[ReplacementJob]) -> list[list[ReplacementJob]]:
    """Return the orders in which two machines are swapped or one is moved."""
    orders, count = [], len(order)
    for i in range(count):
        for j in range(i + 1, count):
            changed = list(order)
            changed[i], changed[j] = changed[j], changed[i]
            orders.append(changed)
    for i in range(count):
        for j in range(count):
            if abs(i - j) > 1:
                changed = list(order)
                changed.insert(j, changed.pop(i))
                orders.append(changed)
    return orders
