"""Attempts of several instances taken together, with bounds on what a single one may claim. Pure."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from typing import NamedTuple

from cottonhold.fleet.zone_failover.failure_evidence import AttemptCounts

MAX_ALONE = 3.0  # attempts of one instance that count whatever the others report


class PooledCounts(NamedTuple):
    """Weighted attempts of several instances, and how many of them report bad ones."""

    good: float
    late: float
    bad: float
    reporters_of_bad: int

    @property
    def total(self) -> float:
        """Of all results."""
        return self.good + self.late + self.bad


def pool_counts(counts: Iterable[AttemptCounts]) -> PooledCounts:
    """The sum of these counts, each of at most three attempts or half as many as all the others together: one
    instance that claims hundreds does not outweigh the rest."""
    reported = [each for each in counts if sum(each)]
    total = sum(map(sum, reported))
    good = late = bad = 0.0
    for each in reported:
        weight = min(1.0, max(MAX_ALONE, (total - sum(each)) / 2) / sum(each))
        good += each.good * weight
        late += each.late * weight
        bad += each.bad * weight
    return PooledCounts(good, late, bad, sum(each.bad > 0 for each in reported))


def lower_median(values: Sequence[float]) -> float:
    """The middle value; of two middle ones the lower."""
    return sorted(values)[(len(values) - 1) // 2]
