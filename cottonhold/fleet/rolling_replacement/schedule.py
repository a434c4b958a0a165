"""In which order machines are swapped, and why one waits. Pure, and alike for all who read the same
registers.

A set of machines may be out together when it is small enough, lies in few enough zones, leaves a majority of
the voters, and the outlook bears it. Any part of such a set may be out as well. So each list of machines has
one schedule: one after another, each as early as those before it allow; some list gives the best schedule
there is. Lists by a few rules are tried, the best of them is mended by exchanging and moving single machines.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field

Bears = Callable[[Mapping[int, float]], list[str]]  # zone's number -> cores out: why not
TRIES = 300  # schedules weighed at most: about 20 ms for ten machines
STUCK = 1e7  # ms: so far off is the end of one that waits for its hardware


@dataclass(slots=True, frozen=True)
class Job:
    """One machine. `lasts`: ms from its start to its end, as learnt."""

    name: str
    zone: int
    cores: float
    voter: bool
    lasts: float


@dataclass(slots=True, frozen=True)
class Limits:
    """most_out: machines out at once. zones: in so many zones. spare: voters that may be out beside those
    that are down. lacking: cores that are lost by zone whatever is out."""

    most_out: int = 1
    zones: int = 1
    spare: int = 0
    lacking: Mapping[int, float] = field(default_factory=dict)


@dataclass(slots=True, frozen=True)
class Schedule:
    """When each machine starts, in ms from now, infinite where it never may; and when the last one ends."""

    starts: Mapping[str, float]
    lasts: float


class Order:
    """What may be out together, remembered while the outlook is the same."""

    def __init__(self, limits: Limits, bears: Bears) -> None:
        self.limits, self.bears = limits, bears
        self.known: dict[frozenset[str], list[str]] = {}

    def against(self, out: Sequence[Job]) -> list[str]:
        """Why these machines may not be out together; nothing if they may."""
        key = frozenset(job.name for job in out)
        if key not in self.known:
            self.known[key] = self._against(out)
        return self.known[key]

    def _against(self, out: Sequence[Job]) -> list[str]:
        limits, zones, why = self.limits, {job.zone for job in out}, []
        if len(out) > limits.most_out:
            why.append(f"{limits.most_out} at once")
        if len(zones) > limits.zones:
            why.append(f"{limits.zones} zone{'s' * (limits.zones > 1)} at once")
        if (voters := sum(job.voter for job in out)) > max(limits.spare, 0):
            why.append(f"a majority of voters: {voters} out, {max(limits.spare, 0)} to spare")
        lost = dict(limits.lacking)
        for job in out:
            lost[job.zone] = lost.get(job.zone, 0.0) + job.cores
        # Asked last and only if all else allows it: it may be costly.
        return why or [f"outlook: {text}" for text in self.bears(lost)]

    def settle(self, waiting: Sequence[Job], out: Sequence[Job] = ()) -> Schedule:
        """A schedule for those that wait, beside those that are out."""
        waiting = sorted(waiting, key=lambda job: job.name)
        best, left = self._best(waiting, out), TRIES
        if len(best[1]) > 1:
            left -= 4
            improved = True
            while improved and left > 0:
                improved = False
                for order in _neighbours(best[1]):
                    left -= 1
                    found = self.place(order, out)
                    if found.lasts < best[0].lasts - 1e-9:
                        best, improved = (found, order), True
                        break
                    if left <= 0:
                        break
        return best[0]

    def _best(self, waiting: Sequence[Job], out: Sequence[Job]) -> tuple[Schedule, list[Job]]:
        work, busy = dict[int, float](), {job.zone for job in out}
        for job in waiting:
            work[job.zone] = work.get(job.zone, 0.0) + job.lasts
        rules: list[Callable[[Job], tuple[float, ...]]] = [
            lambda job: (job.zone not in busy, -work[job.zone], job.zone, -job.lasts),
            lambda job: (job.zone not in busy, job.zone, not job.voter, -job.lasts),
            lambda job: (-job.lasts,),
            lambda job: (job.zone not in busy, not job.voter, -job.lasts, -job.cores),
        ]
        lists = [sorted(waiting, key=rule) for rule in rules]
        return min(((self.place(order, out), order) for order in lists), key=lambda found: found[0].lasts)

    def place(self, order: Sequence[Job], out: Sequence[Job] = ()) -> Schedule:
        """Each machine of a list as early as those before it allow."""
        spans = [(0.0, job.lasts, job) for job in out]
        starts = dict[str, float]()
        for job in order:
            start = self._earliest(job, spans)
            starts[job.name] = start
            if start < math.inf:
                spans.append((start, start + job.lasts, job))
        return Schedule(starts, max((end for _, end, _ in spans), default=0.0))

    def _earliest(self, job: Job, spans: Sequence[tuple[float, float, Job]]) -> float:
        for start in sorted({0.0, *(end for _, end, _ in spans)}):
            end = start + job.lasts
            # What is out changes only where another begins.
            moments = [start, *(s for s, _, _ in spans if start < s < end)]
            if not any(self.against([*(o for s, e, o in spans if s <= t < e), job]) for t in moments):
                return start
        return math.inf

    def waits(self, job: Job, out: Sequence[Job], start: float) -> list[str]:
        """Why a machine does not start now, for operators."""
        why = list(self.against([*out, job]))
        if why and out:
            why = [f"{text} (out: {', '.join(sorted(o.name for o in out))})" for text in why]
        if not why and start > 0:
            why = ["its turn comes later: another order is shorter"]
        return why


def _neighbours(order: Sequence[Job]) -> list[list[Job]]:
    """Lists with one machine moved, or two exchanged."""
    found, n = [], len(order)
    for i in range(n):
        for j in range(i + 1, n):
            changed = list(order)
            changed[i], changed[j] = changed[j], changed[i]
            found.append(changed)
    for i in range(n):
        for j in range(n):
            if abs(i - j) > 1:
                changed = list(order)
                changed.insert(j, changed.pop(i))
                found.append(changed)
    return found
