"""Which member holds which subject: weighted rendezvous hashing, updated at the cost of the change. Pure.

Each member draws a score for each subject from a hash of both, scaled by its weight; the highest holds it. A
member that joins takes only what it wins, and one that leaves gives up only what it held ("Using Name-Based
Mappings to Increase Hit Rates", Thaler and Ravishankar; weights as in "Weighted Distributed Hash Tables",
Schindelhauer and Schomaker). All instances that see the same members agree without a message.

Costs: a member that joins costs one hash a subject; one that leaves costs members x (what it held); a subject
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
        self.subjects_by_member: dict[int, set[str]] = {}
        self.score_count = 0  # scores computed so far, the measure of the cost

    def holder(self, subject: str) -> int | None:
        """The member that holds a subject; None where there is no member or no such subject."""
        entry = self.holders.get(subject)
        return entry[1] if entry is not None and entry[1] else None

    def subjects_of(self, member: int) -> frozenset[str]:
        """The subjects that a member holds."""
        return frozenset(self.subjects_by_member.get(member, ()))

    def add_member(self, member: int, weight: float = 1.0) -> set[str]:
        """Add a member, or change its weight; returns the subjects that have another holder now."""
        if self.members.get(member) == weight:
            return set()
        released = self.remove_member(member)
        self.members[member] = weight
        gained = set()
        for subject, (best, holder) in list(self.holders.items()):
            member_score = self._score(member, subject)
            if (member_score, member) > (best, holder):
                self._set_holder(subject, member_score, member)
                gained.add(subject)
        return released ^ gained

    def remove_member(self, member: int) -> set[str]:
        """Remove a member; returns the subjects that it held."""
        if self.members.pop(member, None) is None:
            return set()
        released = self.subjects_by_member.pop(member, set())
        for subject in released:
            self._assign(subject)
        return released

    def add_subject(self, subject: str) -> bool:
        """Add a subject; false if it was there."""
        if subject in self.holders:
            return False
        self.holders[subject] = (-math.inf, 0)
        self._assign(subject)
        return True

    def remove_subject(self, subject: str) -> int | None:
        """Remove a subject; returns the member that held it."""
        entry = self.holders.pop(subject, None)
        if entry is None:
            return None
        self.subjects_by_member.get(entry[1], set()).discard(subject)
        return entry[1] or None

    def _score(self, member: int, subject: str) -> float:
        self.score_count += 1
        return score(member, self.members[member], subject)

    def _assign(self, subject: str) -> None:
        best = max(((self._score(m, subject), m) for m in self.members), default=(-math.inf, 0))
        self._set_holder(subject, *best)

    def _set_holder(self, subject: str, best: float, member: int) -> None:
        self.subjects_by_member.get(self.holders[subject][1], set()).discard(subject)
        self.holders[subject] = (best, member)
        if member:
            self.subjects_by_member.setdefault(member, set()).add(subject)
