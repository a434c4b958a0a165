"""Periodic duties divided among instances: who runs what, and when. Pure.

A duty has a name, an interval, a set of subjects that changes, and one of two guarantees:

- *At least once*: the member that rendezvous hashing assigns, on its own view, runs it. While views differ,
  two members may run it; it is never left undone, since each view assigns a member that is in it.
- *At most once*: the assigned member also needs a lease (leases.py), and starts a run only while enough of
  the lease is left for it. It may be left undone while there is no majority; it never runs twice.

Results are announced: a member that learns that a subject was done counts its interval from then. So a
takeover doesn't repeat what has just been done, and a new subject is served by one instance, not by all.
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
    """How often a duty's subject is served where views of the membership differ."""

    AT_LEAST_ONCE = "at least once"  # never left undone
    AT_MOST_ONCE = "at most once"  # never done by two at a time


@dataclass(slots=True, frozen=True)
class Duty:
    """A duty. max_run_ms: of one run; an at-most-once run starts only with that much of its lease left, and
    the interval must be longer.
    """

    name: str
    interval_ms: float
    guarantee: Guarantee = Guarantee.AT_LEAST_ONCE
    max_run_ms: float = 250.0

    def __post_init__(self) -> None:
        """Raise ValueError for a duty whose runs don't fit its interval."""
        if not 0 < self.max_run_ms < self.interval_ms:
            raise ValueError(f"duty '{self.name}': its longest run must lie between 0 and its interval")


@dataclass(slots=True, frozen=True)
class RunDuty:
    """Run the duty on the subject now. epoch: a fencing token that `on_run_ended` gets back, by which a late
    run is recognized.
    """

    duty: str
    subject: str
    epoch: int


@dataclass(slots=True, frozen=True)
class StopDuty:
    """The subject is no longer this instance's: a run in progress must have no further effect."""

    duty: str
    subject: str
    epoch: int


@dataclass(slots=True, frozen=True)
class AnnounceDone:
    """Announce to the others that the subject was done."""

    duty: str
    subject: str
    done_at: float


Action = RunDuty | StopDuty | AnnounceDone | SendToMember
DutySubject = tuple[str, str]


@dataclass(slots=True)
class Task:
    """One subject of one duty as this instance sees it. epoch: above 0 while it is assigned to this one."""

    epoch: int = 0
    done_at: float = -math.inf  # by anyone, on this instance's clock
    next_run_at: float = math.inf
    is_running: bool = False


def lease_number(key: DutySubject) -> int:
    """The number under which a subject of a duty is leased; the same on every instance."""
    return int(xxhash.xxh3_64_intdigest(f"{key[0]}\0{key[1]}".encode()))


class DutyScheduler:
    """One instance's duties. `step` is to be called at `next_at` at the latest."""

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
        self.lease_expiry: dict[DutySubject, float] = {}  # of the leases that this instance holds
        self.run_queue: list[tuple[float, DutySubject]] = []  # a heap
        self.last_epoch = 0
        self.actions: list[Action] = []

    def on_members(self, now: float, live: Mapping[int, float]) -> list[Action]:
        """Exactly these members are live now, each with its weight; this instance is always one of them."""
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
        """Exactly these subjects belong to the duty now."""
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
        """A run of this instance has ended. One that was fenced meanwhile is not announced."""
        self.actions = []
        task = self.tasks.get((run.duty, run.subject))
        if task is not None and task.epoch == run.epoch:
            task.is_running = False
            self._on_done(now, (run.duty, run.subject), now)
            self.actions.append(AnnounceDone(run.duty, run.subject, now))
        return self._start_due_runs(now)

    def on_done_elsewhere(self, now: float, duty: str, subject: str, age_ms: float) -> list[Action]:
        """Another instance has done the subject, `age_ms` ago."""
        self.actions = []
        if (duty, subject) in self.tasks and age_ms >= 0:
            self._on_done(now, (duty, subject), now - age_ms)
        return self._start_due_runs(now)

    def on_lease_message(self, now: float, sender: int, message: LeaseRequest | LeaseReply) -> list[Action]:
        """A message on leases has arrived."""
        self.actions = []
        self._on_lease_actions(now, self.leases.on_message(now, sender, message))
        return self._start_due_runs(now)

    def step(self, now: float) -> list[Action]:
        """Run what is due."""
        self.actions = []
        self._on_lease_actions(now, self.leases.step(now))
        return self._start_due_runs(now)

    def next_at(self) -> float:
        """When `step` is due."""
        return min(self.leases.next_at(), self.run_queue[0][0] if self.run_queue else math.inf)

    def active_subjects(self) -> list[DutySubject]:
        """The subjects that are this instance's to run."""
        return sorted(key for key, task in self.tasks.items() if task.epoch)

    def _is_assigned(self, key: DutySubject) -> bool:
        return self.assignments[key[0]].holder(key[1]) == self.self_id

    def _on_assignment(self, now: float, key: DutySubject) -> None:
        """The member that a subject is assigned to may have changed."""
        if self.duties[key[0]].guarantee is Guarantee.AT_MOST_ONCE:
            return  # the lease decides
        if not self._is_assigned(key):
            self._end_assignment(key)
        elif not self.tasks[key].epoch:
            self._begin_assignment(now, key)

    def _claim_leases(self, now: float) -> None:
        """Claim exactly the leases of the subjects that are assigned to this instance."""
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
                continue  # scheduled anew since, or no longer this instance's
            duty = self.duties[key[0]]
            if duty.guarantee is Guarantee.AT_MOST_ONCE and self._lease_left_ms(now, key) < duty.max_run_ms:
                # A run that outlives its lease overlaps with the next holder's. Renewal extends the lease.
                task.next_run_at = now + duty.max_run_ms / 4
                heapq.heappush(self.run_queue, (task.next_run_at, key))
                continue
            task.is_running, task.next_run_at = True, math.inf
            self.actions.append(RunDuty(*key, task.epoch))
        return self.actions

    def _lease_left_ms(self, now: float, key: DutySubject) -> float:
        return self.lease_expiry.get(key, -math.inf) - now
