"""Combine the attempt counts of several instances, limiting the weight of each; does no I/O."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from typing import NamedTuple

from cottonhold.fleet.zone_failover.failure_evidence import AttemptCounts

MAX_UNSCALED_ATTEMPTS = 3.0  # number of attempts of one instance that are counted in any case


class PooledCounts(NamedTuple):
    """The weighted attempts of several instances by result, see `AttemptCounts`.

    `bad_reporters` is the number of instances that report bad attempts.
    """

    good: float
    late: float
    bad: float
    bad_reporters: int

    @property
    def total(self) -> float:
        """Number of attempts with any result."""
        return self.good + self.late + self.bad


def pool_counts(counts: Iterable[AttemptCounts]) -> PooledCounts:
    """Return the weighted sum of the counts of several instances.

    The counts of an instance are scaled down to at most three attempts, or half as many as all others report
    together if that is more. So a single instance with hundreds of attempts does not outweigh the rest.
    """
    reported = [each for each in counts if sum(each)]
    total = sum(map(sum, reported))
    good = late = bad = 0.0
    for each in reported:
        weight = min(1.0, max(MAX_UNSCALED_ATTEMPTS, (total - sum(each)) / 2) / sum(each))
        good += each.good * weight
        late += each.late * weight
        bad += each.bad * weight
    return PooledCounts(good, late, bad, sum(each.bad > 0 for each in reported))


def lower_median(values: Sequence[float]) -> float:
    """Return the median, or the lower of the two middle values."""
    return sorted(values)[(len(values) - 1) // 2]
