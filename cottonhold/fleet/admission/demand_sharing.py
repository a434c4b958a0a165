"""Share the demand of instances and compute the admission threshold from it; does no I/O."""

from __future__ import annotations

import random
import zlib
from collections.abc import Iterable
from dataclasses import dataclass, field

from cottonhold.fleet.admission import demand
from cottonhold.fleet.admission.demand import Demand
from cottonhold.fleet.admission.demand_messages import (
    DemandReport,
    decode_demand_reports,
    encode_demand_reports,
)
from cottonhold.fleet.admission.threshold import (
    DensityThreshold,
    ReportedDemand,
    ThresholdController,
    ThresholdSettings,
)
from cottonhold.fleet.latest_reports import LatestReports
from cottonhold.fleet.message_format import MAX_UINT32


@dataclass(slots=True, frozen=True)
class DemandSettings:
    """Settings of the exchange of demand reports.

    Attributes:
        max_report_age_ms: Age above which reports are ignored, in ms.
        report_interval_ms: Time between two rounds of reports while there is free capacity, in ms.
        busy_share: Share of the capacity that is in demand above which a round is sent in each step.
        gossip_from_members: Number of other members from which reports are spread by gossip. With fewer
            members each report is sent to all of them.
        gossip_fanout: Number of members to which each round of gossip is sent. Its messages also contain the
            newest reports of others.
        threshold_ttl_ms: Time for which a threshold is valid, in ms.
        threshold: Settings of the computation of the threshold.
    """

    max_report_age_ms: float = 2000.0
    report_interval_ms: float = 1000.0
    busy_share: float = 0.7
    gossip_from_members: int = 9
    gossip_fanout: int = 4
    threshold_ttl_ms: float = 1000.0
    threshold: ThresholdSettings = field(default_factory=ThresholdSettings)


class DemandSharing:
    """Measures this instance's demand, exchanges it with others and keeps the admission threshold.

    Report requests by `on_request`, the admitted ones also by `on_admitted`, and received messages by
    `on_message`. Call `step` ten times a second and send the messages that it returns.
    """

    def __init__(
        self,
        self_id: int,
        incarnation: int,
        now: float,
        seed: int,
        settings: DemandSettings | None = None,
    ) -> None:
        self.self_id, self.incarnation = self_id, incarnation & MAX_UINT32
        self.settings = settings or DemandSettings()
        self.random = random.Random(seed)
        self.demand = Demand(now)
        self.controller = ThresholdController(now, self.settings.threshold)
        self.reports = LatestReports[DemandReport](self_id)
        self.version, self.next_round = 0, now

    @property
    def threshold(self) -> DensityThreshold | None:
        """The current threshold; None while all requests are admitted."""
        return self.controller.threshold

    def on_request(self, now: float, utility: float, work_ms: float, is_retry: bool) -> None:
        """Add a request to the demand, unless its client marked it as a retry.

        A retry is no new demand: if it were added again, rejections would raise the demand and thereby the
        threshold.
        """
        if not is_retry:
            self.demand.add(now, demand.density_step(utility, work_ms), work_ms)

    def on_admitted(self, wait: float, has_expired: bool) -> None:
        """Record that an admitted request was sent or expired.

        Args:
            wait: Time until it was sent, as a fraction of the time from its arrival to its deadline.
            has_expired: Whether its deadline passed before it was sent.
        """
        self.controller.on_admitted(wait, has_expired)

    def on_message(self, now: float, data: bytes, sender: int = 0) -> bytes | None:
        """Merge the reports of a message.

        Returns:
            A message for the sender if this instance has a newer report by it than the one it sent, else
            None. It makes the sender number its next report higher.

        Raises:
            MessageError: The message is malformed.
        """
        reports = decode_demand_reports(data)
        for report in reports:
            self.reports.apply(now, report)
        newer = self.reports.newer_than(sender, reports)
        return encode_demand_reports([newer]) if newer is not None else None

    def step(
        self, now: float, live: Iterable[int], capacity: float, owned_capacity: float = 0.0
    ) -> list[tuple[int, bytes]]:
        """Compute the threshold and return the messages that are due, as (member, message).

        Cores owned by missing instances stay unused, and each of the others uses its owned cores only for its
        own requests. So with owned capacity the computation includes only the instances that report.

        Args:
            now: Current time, in ms.
            live: Members that are alive.
            capacity: Cores shared by all instances.
            owned_capacity: Additional cores that each instance may use.
        """
        members = sorted(set(live) - {self.self_id})
        others = self.reported_loads(now, members)
        local_demand = self.controller.report(self.demand.rates(now))
        live_count = 1 + len(members)
        if owned_capacity:
            live_count = 1 + len(others)
            capacity += owned_capacity * live_count
        self.controller.step(now, local_demand, others, live_count, capacity)
        offered = sum(local_demand.rates.values()) + sum(sum(load.rates.values()) for load in others)
        is_busy = self.threshold is not None or offered > self.settings.busy_share * capacity
        if not members or now < self.next_round and not is_busy:
            return []
        return self._round(now, members, local_demand)

    def offered_cores(self, now: float, members: Iterable[int]) -> dict[int, float]:
        """Return the offered work, in cores, of this instance and of each member with a fresh report."""
        reports = self.reports.fresh(now, self.settings.max_report_age_ms, members)
        others = {r.member: sum(r.load.rates.values()) for r in reports if r.member != self.self_id}
        return {self.self_id: sum(self.demand.rates(now).values()), **others}

    def reported_loads(self, now: float, members: Iterable[int]) -> list[ReportedDemand]:
        """Return the demand in the fresh reports of these members."""
        reports = self.reports.fresh(now, self.settings.max_report_age_ms, members)
        return [report.load for report in reports]

    def _round(self, now: float, members: list[int], local_demand: ReportedDemand) -> list[tuple[int, bytes]]:
        """Return the messages with this instance's report, as (member, message)."""
        settings = self.settings
        self.next_round = now + settings.report_interval_ms * (0.8 + 0.4 * self.random.random())
        self.incarnation, self.version = self.reports.next_stamp(self.incarnation, self.version)
        report = DemandReport(self.self_id, self.incarnation, self.version, local_demand)
        if len(members) < settings.gossip_from_members:
            data = encode_demand_reports([report])
            return [(member, data) for member in members]
        relayed = [
            r.report for r in self.reports.newest() if now - r.received_at <= settings.max_report_age_ms
        ]
        data = encode_demand_reports([report, *relayed])
        return [(member, data) for member in self.random.sample(members, settings.gossip_fanout)]


def admission_draw(request_id: bytes, is_retry: bool) -> float:
    """Return a request's draw, from 0 to 1, which decides between requests of the same density.

    It is a hash of the request's id, so it is the same at every instance. A retry gets the highest draw, so
    that sending a request again, to any instance, is of no use until the threshold falls.
    """
    return 1.0 if is_retry else zlib.crc32(request_id) / 2**32
