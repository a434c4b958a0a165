"""Weighted rendezvous hashing, updated incrementally: assigns each subject to a member; does no I/O.

Each member's score for a subject is a hash of both, scaled by the member's weight; the member with the
highest score holds the subject. A member that joins takes over only the subjects for which it has the highest
score, and a member that leaves releases only its own ("Using Name-Based Mappings to Increase Hit Rates",
Thaler and Ravishankar; weights as in "Weighted Distributed Hash Tables", Schindelhauer and Schomaker).
Instances with the same view of the members agree without communication.

Cost in hashes: one for each subject when a member joins, one for each member when a subject is added, and
members x released subjects when a member leaves. A complete recomputation would need members x subjects.
"""

from __future__ import annotations

import math

import xxhash

SCALE = float(1 << 64)


def score(member: int, weight: float, subject: str) -> float:
    """Return a member's score for a subject; it is the highest in proportion to the weight."""
    digest = xxhash.xxh3_64_intdigest(subject.encode(), member & 0x7FFFFFFFFFFFFFFF)
    return -weight / math.log((digest + 0.5) / SCALE)


class Rendezvous:
    """Assigns a set of subjects to a set of members."""

    def __init__(self) -> None:
        self.members: dict[int, float] = {}
        self.holders: dict[str, tuple[float, int]] = {}  # by subject: the highest score and its member
        self.subjects_by_member: dict[int, set[str]] = {}
        self.score_count = 0  # number of scores computed so far, as a measure of the cost

    def holder(self, subject: str) -> int | None:
        """Return the member that holds a subject; None without members or for an unknown subject."""
        entry = self.holders.get(subject)
        return entry[1] if entry is not None and entry[1] else None

    def subjects_of(self, member: int) -> frozenset[str]:
        """Return the subjects that a member holds."""
        return frozenset(self.subjects_by_member.get(member, ()))

    def add_member(self, member: int, weight: float = 1.0) -> set[str]:
        """Add a member, or change its weight; return the subjects that another member holds now."""
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
        """Remove a member; return the subjects that it held."""
        if self.members.pop(member, None) is None:
            return set()
        released = self.subjects_by_member.pop(member, set())
        for subject in released:
            self._assign(subject)
        return released

    def add_subject(self, subject: str) -> bool:
        """Add a subject; return false if it already existed."""
        if subject in self.holders:
            return False
        self.holders[subject] = (-math.inf, 0)
        self._assign(subject)
        return True

    def remove_subject(self, subject: str) -> int | None:
        """Remove a subject; return the member that held it, if any."""
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
