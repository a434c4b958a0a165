"""One instance's observations of its site: its clients' demand, and the answers of zones; does no I/O."""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping

from cottonhold.fleet.admission.demand import Demand, density_step
from cottonhold.fleet.failover_cost.cost_settings import MIN_AMOUNT
from cottonhold.fleet.failover_cost.hysteresis import UsageWeights
from cottonhold.fleet.failover_cost.messages import (
    UNKNOWN_CORES,
    SiteReport,
    ZoneObservation,
    data_set_number,
    filter_bits,
)
from cottonhold.fleet.latest_reports import Stamp
from cottonhold.fleet.zone_failover.messages import zone_number

RECENT_MEMORY_MS = 700.0  # time constant of the recent demand
DATA_SET_MEMORY_MS = 2000.0  # time constant of the use of data sets
MEAN_DECAY = 0.999  # factor per request on the weights of earlier requests in the mean work
ROUND_TRIP_GAIN = 0.1  # weight of a new round trip in the mean
DEFAULT_WORK_MS = 20.0  # assumed mean work of a request before the first request
MIN_DATA_SET_SHARE = 1e-3  # data sets with a smaller part of the demand are not reported
MIN_KNOWN_PART = 4  # excess work is reported after a fourth of its time constant: few answers mean little


class SiteObservations:
    """Counts requests and answers, and builds reports from them; `memory_ms` is the time constant of
    answers."""

    def __init__(self, now: float, memory_ms: float) -> None:
        self.memory_ms = memory_ms
        self.demand, self.recent_demand = Demand(now), Demand(now, RECENT_MEMORY_MS)
        self.data_set_use, self.answer_use = UsageWeights(DATA_SET_MEMORY_MS), UsageWeights(memory_ms)
        self.request_work_ms, self.request_count = 0.0, 0.0  # both decay by MEAN_DECAY per request
        self.excess_work, self.excess_known_since = UsageWeights(memory_ms), math.inf
        self.round_trips_ms: dict[str, float] = {}

    def on_request(self, now: float, utility: float, work_ms: float, data_set: str) -> None:
        """Count a request of this instance's clients."""
        self.demand.add(now, density_step(utility, work_ms), work_ms)
        self.recent_demand.add(now, 0, work_ms)
        self.data_set_use.add(now, "", data_set_number(data_set), work_ms)
        self.request_work_ms = self.request_work_ms * MEAN_DECAY + work_ms
        self.request_count = self.request_count * MEAN_DECAY + 1

    def on_answer(self, now: float, zone: str, data_set: str, excess_work_ms: float | None) -> None:
        """Count a zone's answer to a query on a data set. `excess_work_ms` is its work beyond the estimate,
        None if unknown."""
        self.answer_use.add(now, zone, data_set_number(data_set), 1.0)
        if excess_work_ms is not None:
            self.excess_work.add(now, "", 0, excess_work_ms)
            self.excess_known_since = min(self.excess_known_since, now)

    def record_round_trip(self, zone: str, round_trip_ms: float) -> None:
        """Include a round trip to a zone in the mean of that zone."""
        mean_ms = self.round_trips_ms.get(zone, round_trip_ms)
        self.round_trips_ms[zone] = mean_ms * (1 - ROUND_TRIP_GAIN) + round_trip_ms * ROUND_TRIP_GAIN

    def offered_cores(self, now: float) -> float:
        """Return the demand of this instance's clients, in cores. It is the larger of the recent and the
        longer mean: after clients have been moved here, the longer mean contains only a part of their demand
        yet."""
        return max(math.fsum(count.rates(now).values()) for count in (self.demand, self.recent_demand))

    def report(
        self,
        now: float,
        member: int,
        stamp: Stamp,
        home_zone: str,
        engines: Mapping[str, Iterable[str]],
        default_round_trip_ms: float,
    ) -> SiteReport:
        """Return this instance's report.

        Args:
            now: The current time.
            member: This instance's member id.
            stamp: Incarnation and version of the report.
            home_zone: The zone of this instance's clients.
            engines: Engines by zone.
            default_round_trip_ms: Round trip to zones that have not been measured yet.
        """
        self.data_set_use.prune(now)
        self.answer_use.prune(now)
        mean_work_ms = (
            self.request_work_ms / self.request_count if self.request_count > 0 else DEFAULT_WORK_MS
        )
        return SiteReport(
            member,
            *stamp,
            zone_number(home_zone),
            mean_work_ms,
            self.demand.rates(now),
            self._data_set_shares(now),
            self._zones(now, engines, default_round_trip_ms),
            self._excess_cores(now),
        )

    def _data_set_shares(self, now: float) -> dict[int, float]:
        """Return the parts of the demand by number of data set."""
        use = self.data_set_use
        weights = {number: use.weight(now, "", number) for _, number in sorted(use.weights)}
        total = math.fsum(weights.values())
        if total <= 0:
            return {}
        return {n: weight / total for n, weight in weights.items() if weight > MIN_DATA_SET_SHARE * total}

    def _zones(
        self, now: float, engines: Mapping[str, Iterable[str]], default_round_trip_ms: float
    ) -> dict[int, ZoneObservation]:
        """Return this instance's observation of each zone, by number."""
        answers = dict[str, float]()
        for zone, number in self.answer_use.weights:
            answers[zone] = answers.get(zone, 0.0) + self.answer_use.weight(now, zone, number)
        all_answers = max(math.fsum(answers.values()), MIN_AMOUNT)
        return {
            zone_number(zone): ZoneObservation(
                self.round_trips_ms.get(zone, default_round_trip_ms),
                answers.get(zone, 0.0) / all_answers,
                self._warm_filter(now, zone, len(list(zone_engines))),
            )
            for zone, zone_engines in engines.items()
        }

    def _warm_filter(self, now: float, zone: str, engine_count: int) -> int:
        """Return the data sets that a zone has warm: those with at least as many answers as the zone has
        engines, since one answer warms one engine."""
        warm_filter = 0
        for at, number in self.answer_use.weights:
            if at == zone and self.answer_use.weight(now, zone, number) >= engine_count:
                warm_filter |= filter_bits(number)
        return warm_filter

    def _excess_cores(self, now: float) -> float:
        """Return the cores that this instance's requests use beyond the estimates."""
        known_ms = now - self.excess_known_since
        if known_ms < self.memory_ms / MIN_KNOWN_PART:
            return UNKNOWN_CORES
        observed_ms = self.memory_ms * -math.expm1(-known_ms / self.memory_ms)
        return max(self.excess_work.weight(now, "", 0) / observed_ms, 0.0)
