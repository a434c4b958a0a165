"""Periodic duties divided among instances: who runs what, and when. Pure.

A duty has a name, a period, a set of subjects that changes, and one of two promises:

- *At least once*: whoever rendezvous hashing names on its own view runs it. Views that differ may double it,
  for as long as they differ; it is never left undone, since each view names somebody who is in it.
- *At most once*: whoever is named also needs a lease (leases.py), and runs it only while enough of the lease
  is left for the run to end in. It may be left undone while there is no majority; it is never doubled.

Results are shared: whoever hears that a subject was done counts its period from then. So a takeover doesn't
do at once what has just been done, and a fresh subject is greeted by one instance, not by all.
"""

from __future__ import annotations

import heapq
import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from enum import Enum

import xxhash

from cottonhold.membership.leases import Ask, Hold, Leases, LeaseSettings, Release, To, Word
from cottonhold.membership.rendezvous import Rendezvous


class Promise(Enum):
    """What a duty must not be."""

    AT_LEAST_ONCE = "at least once"  # left undone
    AT_MOST_ONCE = "at most once"  # done by two at a time


@dataclass(slots=True, frozen=True)
class Duty:
    """A duty. Times in ms. `limit`: the longest that one run takes; an at-most-once run starts only with so
    much of its lease left. A period must be longer than the limit."""

    name: str
    period: float
    promise: Promise = Promise.AT_LEAST_ONCE
    limit: float = 250.0

    def __post_init__(self) -> None:
        """A duty that makes no sense is named at once."""
        if not 0 < self.limit < self.period:
            raise ValueError(f"duty '{self.name}': its limit must lie between 0 and its period")


@dataclass(slots=True, frozen=True)
class Run:
    """Run the duty on the subject now. `epoch` fences it: `done` takes it, and late work is known as such."""

    duty: str
    subject: str
    epoch: int


@dataclass(slots=True, frozen=True)
class Stop:
    """The subject isn't this instance's any more: a run that is under way must have no further effect."""

    duty: str
    subject: str
    epoch: int


@dataclass(slots=True, frozen=True)
class Share:
    """Tell the others that the subject was done."""

    duty: str
    subject: str
    at: float


Action = Run | Stop | Share | To
Pair = tuple[str, str]


@dataclass(slots=True)
class Task:
    """One subject of one duty as this instance sees it. `epoch` is above 0 while it is this one's to run."""

    epoch: int = 0
    done_at: float = -math.inf  # by anyone, on this instance's clock
    due_at: float = math.inf
    running: bool = False


def lease_of(pair: Pair) -> int:
    """The number under which a pair is leased; the same on every instance."""
    return int(xxhash.xxh3_64_intdigest(f"{pair[0]}\0{pair[1]}".encode()))


class Duties:
    """One instance's duties. Tell it what changes; call `step` at `next_at` at the latest."""

    def __init__(
        self,
        me: int,
        duties: Iterable[Duty],
        voters: Iterable[int],
        leases: LeaseSettings,
        now: float,
        first_term: int,
    ) -> None:
        self.me = me
        self.duties = {duty.name: duty for duty in duties}
        self.shares = {name: Rendezvous() for name in self.duties}
        self.tasks: dict[Pair, Task] = {}
        self.leases = Leases(me, voters, leases, now, first_term)
        self.pairs: dict[int, Pair] = {}  # by lease
        self.until: dict[Pair, float] = {}  # how long each leased pair is this instance's
        self.due: list[tuple[float, Pair]] = []
        self.epochs = 0
        self.actions: list[Action] = []

    # --- what happens ---

    def members(self, now: float, live: Mapping[int, float]) -> list[Action]:
        """Exactly these members are there now, each with its weight; this instance is always one of them."""
        self.actions = []
        wanted = {**live, self.me: live.get(self.me, 1.0)}
        for name, shares in self.shares.items():
            moved: set[str] = set()
            for member in [m for m in shares.members if m not in wanted]:
                moved |= shares.drop_member(member)
            for member, weight in wanted.items():
                moved |= shares.add_member(member, weight)
            for subject in sorted(moved):
                self._settle(now, (name, subject))
        self._lease(now)
        return self._finish(now)

    def subjects(self, now: float, name: str, subjects: Iterable[str]) -> list[Action]:
        """Exactly these subjects belong to the duty now."""
        self.actions = []
        shares, wanted = self.shares[name], set(subjects)
        for subject in sorted(shares.holders.keys() - wanted):
            shares.drop_subject(subject)
            self._give_up((name, subject))
            self.tasks.pop((name, subject), None)
            self.pairs.pop(lease_of((name, subject)), None)
        for subject in sorted(wanted - shares.holders.keys()):
            shares.add_subject(subject)
            self.pairs[lease_of((name, subject))] = (name, subject)
            self.tasks[name, subject] = Task()
            self._settle(now, (name, subject))
        self._lease(now)
        return self._finish(now)

    def done(self, now: float, run: Run) -> list[Action]:
        """A run of this instance has ended. One that was fenced off meanwhile tells nobody."""
        self.actions = []
        task = self.tasks.get((run.duty, run.subject))
        if task is not None and task.epoch == run.epoch:
            task.running = False
            self._note(now, (run.duty, run.subject), now)
            self.actions.append(Share(run.duty, run.subject, now))
        return self._finish(now)

    def heard(self, now: float, duty: str, subject: str, age: float) -> list[Action]:
        """Another instance has done the subject, `age` ms ago."""
        self.actions = []
        if (duty, subject) in self.tasks and age >= 0:
            self._note(now, (duty, subject), now - age)
        return self._finish(now)

    def receive(self, now: float, sender: int, what: Ask | Word) -> list[Action]:
        """A message on leases has come."""
        self.actions = []
        self._take(now, self.leases.receive(now, sender, what))
        return self._finish(now)

    def step(self, now: float) -> list[Action]:
        """Run what is due."""
        self.actions = []
        self._take(now, self.leases.step(now))
        return self._finish(now)

    def next_at(self) -> float:
        """When `step` is due."""
        return min(self.leases.next_at(), self.due[0][0] if self.due else math.inf)

    def held(self) -> list[Pair]:
        """What is this instance's to run."""
        return sorted(pair for pair, task in self.tasks.items() if task.epoch)

    # --- whose is it ---

    def _named(self, pair: Pair) -> bool:
        return self.shares[pair[0]].holder(pair[1]) == self.me

    def _settle(self, now: float, pair: Pair) -> None:
        """The named holder may have changed."""
        if self.duties[pair[0]].promise is Promise.AT_MOST_ONCE:
            return  # the lease tells
        if not self._named(pair):
            self._give_up(pair)
        elif not self.tasks[pair].epoch:
            self._begin(now, pair)

    def _lease(self, now: float) -> None:
        """Want exactly the leases of the pairs that this instance is named for."""
        wanted = [
            lease
            for lease, pair in self.pairs.items()
            if self.duties[pair[0]].promise is Promise.AT_MOST_ONCE and self._named(pair)
        ]
        self._take(now, self.leases.want(now, wanted))

    def _take(self, now: float, actions: Iterable[object]) -> None:
        for action in actions:
            if isinstance(action, To):
                self.actions.append(action)
                continue
            assert isinstance(action, Hold | Release)
            pair = self.pairs.get(action.duty)
            if pair is None:
                continue
            if isinstance(action, Release):
                self._give_up(pair)
            else:
                self.until[pair] = action.until
                if not self.tasks[pair].epoch:
                    self._begin(now, pair)

    def _begin(self, now: float, pair: Pair) -> None:
        task = self.tasks[pair]
        self.epochs += 1
        task.epoch, task.running = self.epochs, False
        self._plan(now, pair)

    def _give_up(self, pair: Pair) -> None:
        task = self.tasks.get(pair)
        self.until.pop(pair, None)
        if task is not None and task.epoch:
            if task.running:
                self.actions.append(Stop(*pair, task.epoch))
            task.epoch, task.due_at, task.running = 0, math.inf, False

    # --- when ---

    def _note(self, now: float, pair: Pair, at: float) -> None:
        task = self.tasks[pair]
        task.done_at = max(task.done_at, at)
        if task.epoch and not task.running:
            self._plan(now, pair)

    def _plan(self, now: float, pair: Pair) -> None:
        task = self.tasks[pair]
        task.due_at = max(now, task.done_at + self.duties[pair[0]].period)
        heapq.heappush(self.due, (task.due_at, pair))

    def _finish(self, now: float) -> list[Action]:
        while self.due and self.due[0][0] <= now:
            at, pair = heapq.heappop(self.due)
            task = self.tasks.get(pair)
            if task is None or not task.epoch or task.running or task.due_at != at:
                continue  # planned anew since, or not this instance's any more
            duty = self.duties[pair[0]]
            if duty.promise is Promise.AT_MOST_ONCE and self.until.get(pair, -math.inf) - now < duty.limit:
                # Danger: a run that outlives its lease overlaps with the next holder's. Renewal brings more.
                task.due_at = now + duty.limit / 4
                heapq.heappush(self.due, (task.due_at, pair))
                continue
            task.running, task.due_at = True, math.inf
            self.actions.append(Run(*pair, task.epoch))
        return self.actions
