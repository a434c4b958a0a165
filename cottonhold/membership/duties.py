"""Periodic duties divided among instances: which instance runs which duty, and when; does no I/O.

A duty has a name, an interval, a set of subjects that may change, and one of two guarantees:

- *At least once*: each instance runs the subjects that rendezvous hashing assigns to it by its own view of
  the members. While views differ, two instances may run the same subject; it is never skipped, since each
  view assigns it to a member of that view.
- *At most once*: the assigned instance also needs a lease (leases.py), and starts a run only if the lease is
  valid for long enough. A subject may be skipped while there is no majority; it never runs twice at a time.

Completed runs are announced: an instance that receives an announcement starts the subject's interval from
then. So a takeover doesn't repeat a run that has just completed, and a new subject is run by one instance,
not by all.
"""

from __future__ import annotations

import heapq
import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from enum import Enum

import xxhash

from cottonhold.membership.leases import (
    LeaseHeld,
    LeaseLost,
    LeaseManager,
    LeaseReply,
    LeaseRequest,
    LeaseSettings,
    SendToMember,
)
from cottonhold.membership.rendezvous import Rendezvous


class Guarantee(Enum):
    """How often a duty's subject is run while the instances' views of the membership differ."""

    AT_LEAST_ONCE = "at least once"  # never skipped, but perhaps run by two instances
    AT_MOST_ONCE = "at most once"  # never run by two instances at a time, but perhaps skipped


@dataclass(slots=True, frozen=True)
class Duty:
    """A periodic duty.

    Attributes:
        name: The name of the duty.
        interval_ms: Time from the end of a subject's run to its next run, in ms.
        guarantee: How often a subject is run while views differ.
        max_run_ms: The longest duration of a run, in ms; shorter than the interval. An at-most-once run
            starts only if its lease is valid for at least as long.
    """

    name: str
    interval_ms: float
    guarantee: Guarantee = Guarantee.AT_LEAST_ONCE
    max_run_ms: float = 250.0

    def __post_init__(self) -> None:
        """Raise ValueError if `max_run_ms` isn't between 0 and the interval."""
        if not 0 < self.max_run_ms < self.interval_ms:
            raise ValueError(f"duty '{self.name}': max_run_ms must be above 0 and below interval_ms")


@dataclass(slots=True, frozen=True)
class RunDuty:
    """Action: run a duty (a kind of shared task) on a subject (what it is run on, such as an engine).

    Attributes:
        duty: The name of the duty.
        subject: The subject to run it on.
        epoch: A fencing token, passed back to `on_run_ended`, by which a run that ends too late is detected.
    """

    duty: str
    subject: str
    epoch: int


@dataclass(slots=True, frozen=True)
class StopDuty:
    """The subject is no longer assigned to this instance: the run in progress must have no further effect."""

    duty: str
    subject: str
    epoch: int


@dataclass(slots=True, frozen=True)
class AnnounceDone:
    """Announce to the other instances that a run of the subject is complete."""

    duty: str
    subject: str
    done_at: float


Action = RunDuty | StopDuty | AnnounceDone | SendToMember
DutySubject = tuple[str, str]


@dataclass(slots=True)
class Task:
    """The state of one subject of one duty on this instance.

    Attributes:
        epoch: The fencing token of the current assignment to this instance; 0 if there is none.
        done_at: When any instance last completed a run, on this instance's clock.
        next_run_at: When the next run is due; infinity if none is.
        is_running: Whether this instance is running it.
    """

    epoch: int = 0
    done_at: float = -math.inf
    next_run_at: float = math.inf
    is_running: bool = False


def lease_number(key: DutySubject) -> int:
    """Return the lease number of a duty's subject, which is the same on every instance."""
    return int(xxhash.xxh3_64_intdigest(f"{key[0]}\0{key[1]}".encode()))


class DutyScheduler:
    """Schedules one instance's duties.

    Each method returns the actions to perform; call `step` at `next_at` at the latest.
    """

    def __init__(
        self,
        self_id: int,
        duties: Iterable[Duty],
        voters: Iterable[int],
        leases: LeaseSettings,
        now: float,
        first_term: int,
    ) -> None:
        self.self_id = self_id
        self.duties = {duty.name: duty for duty in duties}
        self.assignments = {name: Rendezvous() for name in self.duties}
        self.tasks: dict[DutySubject, Task] = {}
        self.leases = LeaseManager(self_id, voters, leases, now, first_term)
        self.subject_by_lease: dict[int, DutySubject] = {}
        self.lease_expiry: dict[DutySubject, float] = {}  # by subject whose lease this instance holds
        self.run_queue: list[tuple[float, DutySubject]] = []  # a heap, ordered by the time of the run
        self.last_epoch = 0
        self.actions: list[Action] = []

    def on_members(self, now: float, live: Mapping[int, float]) -> list[Action]:
        """Replace the live members, each with its weight; this instance is always one of them."""
        self.actions = []
        wanted = {**live, self.self_id: live.get(self.self_id, 1.0)}
        for name, assignment in self.assignments.items():
            moved: set[str] = set()
            for member in [m for m in assignment.members if m not in wanted]:
                moved |= assignment.remove_member(member)
            for member, weight in wanted.items():
                moved |= assignment.add_member(member, weight)
            for subject in sorted(moved):
                self._on_assignment(now, (name, subject))
        self._claim_leases(now)
        return self._start_due_runs(now)

    def on_subjects(self, now: float, name: str, subjects: Iterable[str]) -> list[Action]:
        """Replace the subjects of a duty."""
        self.actions = []
        assignment, wanted = self.assignments[name], set(subjects)
        for subject in sorted(assignment.holders.keys() - wanted):
            assignment.remove_subject(subject)
            self._end_assignment((name, subject))
            self.tasks.pop((name, subject), None)
            self.subject_by_lease.pop(lease_number((name, subject)), None)
        for subject in sorted(wanted - assignment.holders.keys()):
            assignment.add_subject(subject)
            self.subject_by_lease[lease_number((name, subject))] = (name, subject)
            self.tasks[name, subject] = Task()
            self._on_assignment(now, (name, subject))
        self._claim_leases(now)
        return self._start_due_runs(now)

    def on_run_ended(self, now: float, run: RunDuty) -> list[Action]:
        """Record the end of a run of this instance, and announce it unless it was fenced in the meantime."""
        self.actions = []
        task = self.tasks.get((run.duty, run.subject))
        if task is not None and task.epoch == run.epoch:
            task.is_running = False
            self._on_done(now, (run.duty, run.subject), now)
            self.actions.append(AnnounceDone(run.duty, run.subject, now))
        return self._start_due_runs(now)

    def on_done_elsewhere(self, now: float, duty: str, subject: str, age_ms: float) -> list[Action]:
        """Record that another instance completed a run of the subject, `age_ms` ago."""
        self.actions = []
        if (duty, subject) in self.tasks and age_ms >= 0:
            self._on_done(now, (duty, subject), now - age_ms)
        return self._start_due_runs(now)

    def on_lease_message(self, now: float, sender: int, message: LeaseRequest | LeaseReply) -> list[Action]:
        """Process a received lease message."""
        self.actions = []
        self._on_lease_actions(now, self.leases.on_message(now, sender, message))
        return self._start_due_runs(now)

    def step(self, now: float) -> list[Action]:
        """Process due timers, and start the runs that are due."""
        self.actions = []
        self._on_lease_actions(now, self.leases.step(now))
        return self._start_due_runs(now)

    def next_at(self) -> float:
        """Return the time at which `step` is due."""
        return min(self.leases.next_at(), self.run_queue[0][0] if self.run_queue else math.inf)

    def active_subjects(self) -> list[DutySubject]:
        """Return the subjects that this instance runs at present."""
        return sorted(key for key, task in self.tasks.items() if task.epoch)

    def _is_assigned(self, key: DutySubject) -> bool:
        return self.assignments[key[0]].holder(key[1]) == self.self_id

    def _on_assignment(self, now: float, key: DutySubject) -> None:
        """Begin or end this instance's assignment after the assignment of a subject has changed."""
        if self.duties[key[0]].guarantee is Guarantee.AT_MOST_ONCE:
            return  # `_claim_leases` requests a lease, and the assignment begins when it is granted
        if not self._is_assigned(key):
            self._end_assignment(key)
        elif not self.tasks[key].epoch:
            self._begin_assignment(now, key)

    def _claim_leases(self, now: float) -> None:
        """Claim the leases of the at-most-once subjects assigned to this instance, and release all others."""
        wanted = [
            lease
            for lease, key in self.subject_by_lease.items()
            if self.duties[key[0]].guarantee is Guarantee.AT_MOST_ONCE and self._is_assigned(key)
        ]
        self._on_lease_actions(now, self.leases.claim(now, wanted))

    def _on_lease_actions(self, now: float, actions: Iterable[object]) -> None:
        for action in actions:
            if isinstance(action, SendToMember):
                self.actions.append(action)
                continue
            assert isinstance(action, LeaseHeld | LeaseLost)
            key = self.subject_by_lease.get(action.duty)
            if key is None:
                continue
            if isinstance(action, LeaseLost):
                self._end_assignment(key)
            else:
                self.lease_expiry[key] = action.expires_at
                if not self.tasks[key].epoch:
                    self._begin_assignment(now, key)

    def _begin_assignment(self, now: float, key: DutySubject) -> None:
        task = self.tasks[key]
        self.last_epoch += 1
        task.epoch, task.is_running = self.last_epoch, False
        self._schedule(now, key)

    def _end_assignment(self, key: DutySubject) -> None:
        task = self.tasks.get(key)
        self.lease_expiry.pop(key, None)
        if task is not None and task.epoch:
            if task.is_running:
                self.actions.append(StopDuty(*key, task.epoch))
            task.epoch, task.next_run_at, task.is_running = 0, math.inf, False

    def _on_done(self, now: float, key: DutySubject, at: float) -> None:
        task = self.tasks[key]
        task.done_at = max(task.done_at, at)
        if task.epoch and not task.is_running:
            self._schedule(now, key)

    def _schedule(self, now: float, key: DutySubject) -> None:
        task = self.tasks[key]
        task.next_run_at = max(now, task.done_at + self.duties[key[0]].interval_ms)
        heapq.heappush(self.run_queue, (task.next_run_at, key))

    def _start_due_runs(self, now: float) -> list[Action]:
        while self.run_queue and self.run_queue[0][0] <= now:
            run_at, key = heapq.heappop(self.run_queue)
            task = self.tasks.get(key)
            if task is None or not task.epoch or task.is_running or task.next_run_at != run_at:
                continue  # rescheduled in the meantime, or no longer assigned to this instance
            duty = self.duties[key[0]]
            if (
                duty.guarantee is Guarantee.AT_MOST_ONCE
                and self._remaining_lease_ms(now, key) < duty.max_run_ms
            ):
                # A run that outlives its lease could overlap with a run of the next holder. Try again soon,
                # since a renewal extends the lease.
                task.next_run_at = now + duty.max_run_ms / 4
                heapq.heappush(self.run_queue, (task.next_run_at, key))
                continue
            task.is_running, task.next_run_at = True, math.inf
            self.actions.append(RunDuty(*key, task.epoch))
        return self.actions

    def _remaining_lease_ms(self, now: float, key: DutySubject) -> float:
        return self.lease_expiry.get(key, -math.inf) - now
