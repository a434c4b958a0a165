"""Compute a common admission threshold for all instances; does no I/O.

Requests with less utility for each ms of work than the threshold are rejected. Each instance computes the
threshold from the same reports. Small differences in the received reports change only the admitted share of
one step, within which a hash of the request decides. See docs/design/overload.md.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass

from cottonhold.fleet.admission import demand
from cottonhold.fleet.zone_failover.attempt_pool import lower_median

MAX_COUNTED_REQUESTS = 200.0  # maximum weight of one instance in the mean wait of all, in requests
GAIN_RESET_S = 5.0  # time constant with which the gain returns to 1 while there is no threshold, in s
MIN_REQUESTS = 1e-9  # avoids a division by zero in the mean of no requests


@dataclass(slots=True, frozen=True)
class DensityThreshold:
    """An admission threshold.

    Attributes:
        step: Density step of the threshold. Requests above it are admitted, those below it rejected.
        admitted_share: Share of the requests in the step itself that is admitted, from 0 to 1.
    """

    step: int
    admitted_share: float

    def admits(self, step: int, draw: float) -> bool:
        """Return whether a request is admitted; `draw` is its result of `admission_draw`, from 0 to 1."""
        if step != self.step:
            return step > self.step
        return draw < self.admitted_share


@dataclass(slots=True, frozen=True)
class ThresholdSettings:
    """Settings of the admission threshold.

    Waits are fractions of the time from a request's arrival to its deadline. An expired request has a wait
    of 1.

    Attributes:
        usable_capacity_share: Share of the engines' cores for which requests are admitted at a gain of 1. It
            is below 1 because queues of fully used engines grow without limit.
        begin_ratio: Ratio of demand to usable capacity above which a threshold begins.
        end_ratio: Ratio of demand to usable capacity at which a threshold ends.
        max_claim_share: Maximum demand of one instance that is counted, as a share of the capacity.
        target_wait: Mean wait to aim for.
        wait_correction: Reduction of the usable capacity for each unit of the mean wait above the target, as
            a fraction of the capacity.
        prior_requests: Number of hypothetical requests with the target wait that are added to the mean wait.
        gain_rate: Decrease of the gain per second for each unit of the mean wait above the target.
        min_gain: Lower bound of the gain and of the correction by waits.
        max_gain: Upper bound of the gain and of the correction by waits.
        quorum_share: The threshold is computed only with reports of more than this share of the instances.
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
    """One instance's demand and the waits of its admitted requests.

    Attributes:
        rates: Offered work by density step, in cores.
        gain: The instance's factor on the usable capacity.
        finished_requests: Number of admitted requests that were recently sent or expired.
        mean_wait: Mean wait of these requests, as a fraction of the time from arrival to deadline.
    """

    rates: Mapping[int, float]
    gain: float = 1.0
    finished_requests: float = 0.0
    mean_wait: float = 0.0


def threshold_for(rates: Mapping[int, float], capacity: float) -> DensityThreshold | None:
    """Return the threshold that admits the densest demand up to the capacity, both in cores.

    Returns None if the capacity is sufficient for the whole demand.
    """
    remaining = capacity
    for step in sorted(rates, reverse=True):
        if rates[step] > remaining:
            return DensityThreshold(step, max(remaining, 0.0) / rates[step])
        remaining -= rates[step]
    return None


class ThresholdController:
    """Controls the threshold of one instance.

    Report admitted requests by `on_admitted`, and call `step` regularly with the reports of the others. The
    waits of admitted requests correct the capacity in two ways: immediately by the mean wait, and slowly by a
    gain that integrates it. The gain alone would oscillate, because waits are themselves an integral of the
    excess load.
    """

    def __init__(self, now: float, settings: ThresholdSettings | None = None) -> None:
        self.settings, self.updated_at = settings or ThresholdSettings(), now
        self.threshold: DensityThreshold | None = None
        self.gain = 1.0
        self.admitted_requests, self.wait_sum = 0.0, 0.0
        self.wait_error = 0.0  # mean wait minus the target

    def on_admitted(self, wait: float, has_expired: bool) -> None:
        """Record that an admitted request was sent or expired; see `DemandSharing.on_admitted`."""
        self.admitted_requests += 1
        self.wait_sum += 1.0 if has_expired else min(wait, 1.0)

    def report(self, rates: Mapping[int, float]) -> ReportedDemand:
        """Return the report for the other instances; `rates` is the offered work by step, in cores."""
        mean_wait = self.wait_sum / max(self.admitted_requests, MIN_REQUESTS)
        return ReportedDemand(rates, self.gain, self.admitted_requests, mean_wait)

    def step(
        self,
        now: float,
        local_demand: ReportedDemand,
        others: Iterable[ReportedDemand],
        live_count: int,
        capacity: float,
    ) -> DensityThreshold | None:
        """Compute, store and return the threshold.

        There is none without reports of a quorum, because with only a few reports it would reject requests
        that the fleet can serve. Between `end_ratio` and full use of the capacity the threshold continues
        but rejects nothing, so that the gain is still adapted.

        Args:
            now: Current time, in ms.
            local_demand: Report of this instance.
            others: Reports of the other instances.
            live_count: Number of live instances, including this one.
            capacity: Cores of the engines in use.
        """
        settings, reports = self.settings, [local_demand, *others]
        self._adapt(now, reports)
        if len(reports) <= settings.quorum_share * live_count or capacity <= 0:
            self.threshold = None
            return None
        rates = self._fleet_demand(reports, live_count, capacity)
        correction = min(
            max(1 - settings.wait_correction * self.wait_error, settings.min_gain), settings.max_gain
        )
        gain = lower_median([self.gain, *(report.gain for report in reports[1:])])
        usable = capacity * settings.usable_capacity_share * correction * gain
        limit = settings.end_ratio if self.threshold is not None else settings.begin_ratio
        if sum(rates.values()) / usable > limit:
            self.threshold = threshold_for(rates, usable) or DensityThreshold(0, 1.0)
        else:
            self.threshold = None
        return self.threshold

    def _fleet_demand(
        self, reports: Sequence[ReportedDemand], live_count: int, capacity: float
    ) -> dict[int, float]:
        """Return the demand of all instances by step, in cores.

        Instances without a report are assumed to have the mean demand.
        """
        max_cores = self.settings.max_claim_share * capacity if len(reports) > 2 else math.inf
        rates = demand.merge_rates([report.rates for report in reports], max_cores)
        extrapolation_factor = live_count / len(reports)
        return {step: cores * extrapolation_factor for step, cores in rates.items()}

    def _adapt(self, now: float, reports: Sequence[ReportedDemand]) -> None:
        """Adapt the gain to the waits of admitted requests at all instances.

        - The waits of all instances are used, because requests of an instance with few clients do not wait
          and its gain would drift away.
        - The mean includes hypothetical requests with the target wait. Otherwise an instance that has just
          started, with a few requests that were sent immediately, would admit what others reject.
        - Without a threshold the gain returns to 1, because the present value would be wrong for the next
          overload.
        """
        settings, elapsed_s = self.settings, min((now - self.updated_at) / 1000, 1.0)
        self.updated_at = now
        request_count = sum(min(r.finished_requests, MAX_COUNTED_REQUESTS) for r in reports)
        wait_sum = sum(min(r.finished_requests, MAX_COUNTED_REQUESTS) * r.mean_wait for r in reports)
        self.wait_error = (wait_sum - settings.target_wait * request_count) / (
            request_count + settings.prior_requests
        )
        if self.threshold is None:
            self.gain += (1.0 - self.gain) * min(elapsed_s / GAIN_RESET_S, 1.0)
        else:
            self.gain -= settings.gain_rate * self.wait_error * elapsed_s
        self.gain = min(max(self.gain, settings.min_gain), settings.max_gain)
        remaining_share = math.exp(-elapsed_s)
        self.admitted_requests *= remaining_share
        self.wait_sum *= remaining_share
