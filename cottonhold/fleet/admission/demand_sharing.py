"""One instance's part in admission: its demand, the others' reports, and the threshold from both. Pure."""

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
    """Times in ms. max_report_age_ms: older reports do not count. report_interval_ms: between two rounds
    while there is capacity; busy_share: part of the capacity from which a round is sent each step.
    gossip_from_members: with fewer members each report goes to all; from there on each round goes to
    `gossip_fanout` of them and relays the newest received ones. threshold_ttl_ms: so long a threshold holds.
    """

    max_report_age_ms: float = 2000.0
    report_interval_ms: float = 1000.0
    busy_share: float = 0.7
    gossip_from_members: int = 9
    gossip_fanout: int = 4
    threshold_ttl_ms: float = 1000.0
    threshold: ThresholdSettings = field(default_factory=ThresholdSettings)


class DemandSharing:
    """Feed it requests and what became of those admitted; call `step` ten times a second."""

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
        """The threshold in force."""
        return self.controller.threshold

    def on_request(self, now: float, utility: float, work_ms: float, is_retry: bool) -> None:
        """A request has arrived. is_retry: its client says that it has sent it before.

        A retry is no new demand: counted again, rejections would raise the demand, and with it the threshold.
        """
        if not is_retry:
            self.demand.add(now, demand.density_step(utility, work_ms), work_ms)

    def on_admitted(self, wait: float, has_expired: bool) -> None:
        """An admitted request was sent after `wait`, a part of the time to its deadline, or never."""
        self.controller.on_admitted(wait, has_expired)

    def on_message(self, now: float, data: bytes, sender: int = 0) -> bytes | None:
        """A message of demand reports; returns one for its sender if that is behind its own reports. Raises
        MessageError."""
        reports = decode_demand_reports(data)
        for report in reports:
            self.reports.apply(now, report)
        newer = self.reports.newer_than(sender, reports)
        return encode_demand_reports([newer]) if newer is not None else None

    def step(
        self, now: float, live: Iterable[int], capacity: float, owned_capacity: float = 0.0
    ) -> list[tuple[int, bytes]]:
        """Compute the threshold, and return the messages that are due, as (member, message).

        capacity: cores open to all; owned_capacity: cores beside these that each instance may use. What
        missing instances own stays idle, and what the others own is for what they are offered, so with owned
        capacity only the instances that report count.
        """
        members = sorted(set(live) - {self.self_id})
        others = self.reported_loads(now, members)
        own_demand = self.controller.report(self.demand.rates(now))
        live_count = 1 + len(members)
        if owned_capacity:
            live_count = 1 + len(others)
            capacity += owned_capacity * live_count
        self.controller.step(now, own_demand, others, live_count, capacity)
        offered = sum(own_demand.rates.values()) + sum(sum(load.rates.values()) for load in others)
        is_busy = self.threshold is not None or offered > self.settings.busy_share * capacity
        if not members or now < self.next_round and not is_busy:
            return []
        return self._round(now, members, own_demand)

    def offered_cores(self, now: float, members: Iterable[int]) -> dict[int, float]:
        """Work offered to this instance and to those of these members that reported it lately, in cores."""
        reports = self.reports.fresh(now, self.settings.max_report_age_ms, members)
        others = {r.member: sum(r.load.rates.values()) for r in reports if r.member != self.self_id}
        return {self.self_id: sum(self.demand.rates(now).values()), **others}

    def reported_loads(self, now: float, members: Iterable[int]) -> list[ReportedDemand]:
        """What these members reported lately."""
        reports = self.reports.fresh(now, self.settings.max_report_age_ms, members)
        return [report.load for report in reports]

    def _round(self, now: float, members: list[int], own_demand: ReportedDemand) -> list[tuple[int, bytes]]:
        """This instance's report to the others, as (member, message)."""
        s = self.settings
        self.next_round = now + s.report_interval_ms * (0.8 + 0.4 * self.random.random())
        self.incarnation, self.version = self.reports.next_stamp(self.incarnation, self.version)
        report = DemandReport(self.self_id, self.incarnation, self.version, own_demand)
        if len(members) < s.gossip_from_members:
            data = encode_demand_reports([report])
            return [(member, data) for member in members]
        relayed = [r.report for r in self.reports.newest() if now - r.received_at <= s.max_report_age_ms]
        data = encode_demand_reports([report, *relayed])
        return [(member, data) for member in self.random.sample(members, s.gossip_fanout)]


def admission_draw(request_id: bytes, is_retry: bool) -> float:
    """A request's draw, 0 to 1, by a hash of its id: of equal requests some are admitted and some rejected.

    A retry draws last: a second attempt, here or elsewhere, gains nothing until the threshold falls.
    """
    return 1.0 if is_retry else zlib.crc32(request_id) / 2**32
