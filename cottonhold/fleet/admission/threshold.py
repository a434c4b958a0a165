"""One admission threshold for all instances: requests of less utility a ms of work are rejected. Pure.

See docs/design/overload.md. Each instance computes the threshold from the same reports, so small differences
of what it knows move only the admitted share of one step, which is drawn by a hash of the request.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass

from cottonhold.fleet.admission import demand
from cottonhold.fleet.zone_failover.attempt_pool import lower_median

MAX_COUNTED_REQUESTS = 200.0  # of one instance, when waits are averaged over all
GAIN_RESET_S = 5.0  # so quickly the gain returns to one without a threshold
MIN_REQUESTS = 1e-9  # keeps a mean of nothing from dividing by nothing


@dataclass(slots=True, frozen=True)
class DensityThreshold:
    """Requests above `step` are admitted, those below rejected; of its own `admitted_share` are admitted."""

    step: int
    admitted_share: float

    def admits(self, step: int, draw: float) -> bool:
        """Whether a request is admitted. draw: 0 to 1, see admission_draw."""
        if step != self.step:
            return step > self.step
        return draw < self.admitted_share


@dataclass(slots=True, frozen=True)
class ThresholdSettings:
    """usable_capacity_share: part of the engines' cores that a threshold fills, at a gain of one; full ones
    have queues without end. begin_ratio, end_ratio: demand over that at which a threshold begins and ends.
    max_claim_share: part of the capacity that one instance's demand counts for at most. target_wait: the mean
    wait aimed at, as a part of the time to the deadline; a request whose time ran out counts as a whole one.
    prior_requests: so many are taken to have ended besides, with just that wait. wait_correction: part of the
    capacity, for each whole wait beyond the target. gain_rate: of the same a second, for the gain. min_gain,
    max_gain: bounds of the gain, and of what waits change at once. quorum_share: part of all instances whose
    reports it takes.
    """

    usable_capacity_share: float = 0.97
    begin_ratio: float = 1.1
    end_ratio: float = 0.95
    max_claim_share: float = 0.6
    target_wait: float = 0.2
    wait_correction: float = 1.0
    prior_requests: float = 20.0
    gain_rate: float = 0.1
    min_gain: float = 0.4
    max_gain: float = 1.3
    quorum_share: float = 0.5


@dataclass(slots=True)
class ReportedDemand:
    """One instance's load: its demand by step in cores, its gain, how many requests that it admitted were
    sent or ran out of time lately, and their mean wait as a part of the time to their deadline."""

    rates: Mapping[int, float]
    gain: float = 1.0
    finished_requests: float = 0.0
    mean_wait: float = 0.0


def threshold_for(rates: Mapping[int, float], capacity: float) -> DensityThreshold | None:
    """Where the demand, densest first, exceeds the capacity; None if it never does. Both in cores."""
    remaining = capacity
    for step in sorted(rates, reverse=True):
        if rates[step] > remaining:
            return DensityThreshold(step, max(remaining, 0.0) / rates[step])
        remaining -= rates[step]
    return None


class ThresholdController:
    """One instance's threshold. Feed it what became of admitted requests; `step` it with others' reports.

    The capacity is corrected by what admitted requests had to wait: at once by the wait itself, and slowly by
    a gain, since a gain alone, a sum of waits that are themselves sums of excess load, would oscillate.
    """

    def __init__(self, now: float, settings: ThresholdSettings | None = None) -> None:
        self.settings, self.updated_at = settings or ThresholdSettings(), now
        self.threshold: DensityThreshold | None = None
        self.gain = 1.0
        self.admitted_requests, self.waits = 0.0, 0.0
        self.wait_error = 0.0  # mean wait beyond the target

    def on_admitted(self, wait: float, has_expired: bool) -> None:
        """An admitted request was sent after `wait`, a part of the time to its deadline, or never."""
        self.admitted_requests += 1
        self.waits += 1.0 if has_expired else min(wait, 1.0)

    def report(self, rates: Mapping[int, float]) -> ReportedDemand:
        """What to report to the others."""
        mean_wait = self.waits / max(self.admitted_requests, MIN_REQUESTS)
        return ReportedDemand(rates, self.gain, self.admitted_requests, mean_wait)

    def step(
        self,
        now: float,
        own_demand: ReportedDemand,
        others: Iterable[ReportedDemand],
        live_count: int,
        capacity: float,
    ) -> DensityThreshold | None:
        """The threshold from now on. alive: instances with this one; capacity: cores of the engines in use.

        None without the reports of a quorum: by those of a few, it would reject what the fleet can serve.
        Within the hysteresis the threshold is one that rejects nothing, and the gain goes on.
        """
        s, reports = self.settings, [own_demand, *others]
        self._adapt(now, reports)
        if len(reports) <= s.quorum_share * live_count or capacity <= 0:
            self.threshold = None
            return None
        rates = self._fleet_demand(reports, live_count, capacity)
        correction = min(max(1 - s.wait_correction * self.wait_error, s.min_gain), s.max_gain)
        gain = lower_median([self.gain, *(report.gain for report in reports[1:])])
        usable = capacity * s.usable_capacity_share * correction * gain
        limit = s.end_ratio if self.threshold is not None else s.begin_ratio
        if sum(rates.values()) / usable > limit:
            self.threshold = threshold_for(rates, usable) or DensityThreshold(0, 1.0)
        else:
            self.threshold = None
        return self.threshold

    def _fleet_demand(
        self, reports: Sequence[ReportedDemand], live_count: int, capacity: float
    ) -> dict[int, float]:
        """Demand of all instances by step, in cores; those that do not report count as the mean."""
        max_cores = self.settings.max_claim_share * capacity if len(reports) > 2 else math.inf
        rates = demand.merge_rates([report.rates for report in reports], max_cores)
        unheard_factor = live_count / len(reports)
        return {step: cores * unheard_factor for step, cores in rates.items()}

    def _adapt(self, now: float, reports: Sequence[ReportedDemand]) -> None:
        """Let the gain follow the waits of admitted requests at all instances.

        By those of all, since one that few clients use waits for nothing and its gain would run off. With
        prior requests that waited as aimed at, since an instance that has just started has a few that were
        sent at once, and would admit what the others reject. Without a threshold the gain returns to one:
        kept, it would misjudge the next overload.
        """
        s, passed_s = self.settings, min((now - self.updated_at) / 1000, 1.0)
        self.updated_at = now
        finished = sum(min(r.finished_requests, MAX_COUNTED_REQUESTS) for r in reports)
        waits = sum(min(r.finished_requests, MAX_COUNTED_REQUESTS) * r.mean_wait for r in reports)
        self.wait_error = (waits - s.target_wait * finished) / (finished + s.prior_requests)
        if self.threshold is None:
            self.gain += (1.0 - self.gain) * min(passed_s / GAIN_RESET_S, 1.0)
        else:
            self.gain -= s.gain_rate * self.wait_error * passed_s
        self.gain = min(max(self.gain, s.min_gain), s.max_gain)
        remaining_share = math.exp(-passed_s)
        self.admitted_requests *= remaining_share
        self.waits *= remaining_share
