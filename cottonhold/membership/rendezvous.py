"""Who holds what: weighted rendezvous hashing, kept up at the cost of the change. Pure.

Each member draws a score for each subject from a hash of both, scaled by its weight; the highest holds it. A
member that comes takes only what it wins, and one that goes gives up only what it held ("Using Name-Based
Mappings to Increase Hit Rates", Thaler and Ravishankar; weights as in "Weighted Distributed Hash Tables",
Schindelhauer and Schomaker). All instances that see the same members agree without a word.

Costs: a member that comes costs one hash a subject; one that goes costs members x (what it held); a subject
costs one hash a member. Sorting all pairs anew would cost members x subjects each time.
"""

from __future__ import annotations

import math

import xxhash

SCALE = float(1 << 64)


def score(member: int, weight: float, subject: str) -> float:
    """A member's score for a subject: the larger its weight, the more often it is the highest."""
    digest = xxhash.xxh3_64_intdigest(subject.encode(), member & 0x7FFFFFFFFFFFFFFF)
    return -weight / math.log((digest + 0.5) / SCALE)


class Rendezvous:
    """The holders of a set of subjects among a set of members."""

    def __init__(self) -> None:
        self.members: dict[int, float] = {}
        self.holders: dict[str, tuple[float, int]] = {}  # by subject: the highest score and whose it is
        self.held: dict[int, set[str]] = {}
        self.hashed = 0  # scores drawn so far: what the cost is measured by

    def holder(self, subject: str) -> int | None:
        """Who holds a subject; None where there is no member or no such subject."""
        entry = self.holders.get(subject)
        return entry[1] if entry is not None and entry[1] else None

    def of(self, member: int) -> frozenset[str]:
        """What a member holds."""
        return frozenset(self.held.get(member, ()))

    def add_member(self, member: int, weight: float = 1.0) -> set[str]:
        """A member comes, or its weight changes; returns the subjects that have another holder now."""
        if self.members.get(member) == weight:
            return set()
        lost = self.drop_member(member)
        self.members[member] = weight
        gained = set()
        for subject, (best, holder) in list(self.holders.items()):
            mine = self._score(member, subject)
            if (mine, member) > (best, holder):
                self._give(subject, mine, member)
                gained.add(subject)
        return lost ^ gained

    def drop_member(self, member: int) -> set[str]:
        """A member goes; returns what it held."""
        if self.members.pop(member, None) is None:
            return set()
        held = self.held.pop(member, set())
        for subject in held:
            self._assign(subject)
        return held

    def add_subject(self, subject: str) -> bool:
        """A subject comes; false if it was there."""
        if subject in self.holders:
            return False
        self.holders[subject] = (-math.inf, 0)
        self._assign(subject)
        return True

    def drop_subject(self, subject: str) -> int | None:
        """A subject goes; returns who held it."""
        entry = self.holders.pop(subject, None)
        if entry is None:
            return None
        self.held.get(entry[1], set()).discard(subject)
        return entry[1] or None

    def _score(self, member: int, subject: str) -> float:
        self.hashed += 1
        return score(member, self.members[member], subject)

    def _assign(self, subject: str) -> None:
        best = max(((self._score(m, subject), m) for m in self.members), default=(-math.inf, 0))
        self._give(subject, *best)

    def _give(self, subject: str, best: float, member: int) -> None:
        self.held.get(self.holders[subject][1], set()).discard(subject)
        self.holders[subject] = (best, member)
        if member:
            self.held.setdefault(member, set()).add(subject)
