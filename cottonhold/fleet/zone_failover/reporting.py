"""What an instance reports to others on zones, when, and what it relays of theirs. Pure."""

from __future__ import annotations

import random
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from cottonhold.fleet.latest_reports import LatestReports, Stamp
from cottonhold.fleet.message_format import MAX_MESSAGE_BYTES
from cottonhold.fleet.zone_failover.evacuation import Evacuation
from cottonhold.fleet.zone_failover.failure_evidence import FailureEvidence
from cottonhold.fleet.zone_failover.messages import (
    MAX_CENTICORES,
    MemberReport,
    ZoneReport,
    decode_zone_reports,
    encode_zone_reports,
)
from cottonhold.fleet.zone_failover.operator_overrides import Overrides, encode_overrides
from cottonhold.fleet.zone_failover.zone_state import ZonePhase, ZoneState


@dataclass(slots=True, frozen=True)
class Reception:
    """What follows from a received message. is_alarming: a new report calls for a round at once. reply: for a
    sender that is behind its own reports."""

    is_alarming: bool
    reply: bytes | None


@dataclass(slots=True, frozen=True)
class ReportingSettings:
    """gossip_from_members: with fewer members each report goes to all; from there on each round goes to
    `gossip_fanout` of them and relays others' reports. max_report_age_ms: older ones are not relayed."""

    gossip_from_members: int
    gossip_fanout: int
    max_report_age_ms: float


class ZoneReporting:
    """Keeps the latest report of each member, and makes this instance's own ones."""

    def __init__(
        self, self_id: int, settings: ReportingSettings, overrides: Overrides, random_source: random.Random
    ) -> None:
        self.self_id, self.settings, self.overrides = self_id, settings, overrides
        self.random = random_source
        self.reports = LatestReports[MemberReport](self_id)
        self.fresh: list[MemberReport] = []  # reports of live members, as of the last `refresh`

    def refresh(self, now: float, live: Iterable[int]) -> None:
        """Look up which reports of live members are fresh."""
        self.fresh = self.reports.fresh(now, self.settings.max_report_age_ms, live)

    def on_message(self, now: float, sender: int, data: bytes) -> Reception:
        """Merge the reports of a message from a member. Raises MessageError."""
        reports = decode_zone_reports(data)
        news = [report for report in reports if self.reports.apply(now, report)]
        newer = self.reports.newer_than(sender, reports)
        reply = encode_zone_reports([newer], MAX_MESSAGE_BYTES) if newer is not None else None
        return Reception(any(map(self.is_alarming, news)), reply)

    def is_alarming(self, report: MemberReport) -> bool:
        """Whether a report calls for an exchange at each step: a zone has a fault, or overrides differ."""
        if report.overrides_digest != self.overrides.digest():
            return True
        return any(z.vote or z.suspects_failure or z.traffic_share < 1.0 for z in report.zones.values())

    def by_zone(
        self, now: float, voters: Iterable[int], zone_numbers: Mapping[str, int]
    ) -> dict[str, list[ZoneReport]]:
        """The fresh reports of the other voters on each zone."""
        others = (member for member in voters if member != self.self_id)
        reports = self.reports.fresh(now, self.settings.max_report_age_ms, others)
        return {
            zone: [report.zones[number] for report in reports if number in report.zones]
            for zone, number in zone_numbers.items()
        }

    def build_report(
        self,
        stamp: Stamp,
        offered_centicores: int,
        evacuation: Evacuation,
        evidence: FailureEvidence,
        zone_numbers: Mapping[str, int],
    ) -> MemberReport:
        """This instance's report."""
        zones = {
            zone_numbers[zone]: ZoneReport(
                state.vote,
                *evidence.counts(zone),
                _traffic_share(state),
                state.is_certain,
                evidence.suspects_failure(zone),
            )
            for zone, state in evacuation.states.items()
        }
        centicores = min(offered_centicores, MAX_CENTICORES)
        return MemberReport(self.self_id, *stamp, centicores, self.overrides.digest(), zones)

    def messages(
        self, now: float, own_report: MemberReport, live: Iterable[int], voters: Iterable[int]
    ) -> list[tuple[int, bytes]]:
        """One round, as (member, message): this instance's report, relayed ones, and missing overrides."""
        targets, relayed = sorted(live), list[MemberReport]()
        if len(targets) >= self.settings.gossip_from_members:
            targets = self.random.sample(targets, self.settings.gossip_fanout)
            relayed = self.relayed(now, voters)
        data = encode_zone_reports([own_report, *relayed], MAX_MESSAGE_BYTES)
        messages = [(member, data) for member in targets]
        for member in targets:
            if self._lacks_overrides(member):
                messages += [(member, data) for data in self._override_messages(now)]
        return messages

    def relayed(self, now: float, voters: Iterable[int]) -> list[MemberReport]:
        """Others' reports worth relaying: those of voters first, then the newest."""
        oldest, voting = now - self.settings.max_report_age_ms, set(voters)
        votes = [self.reports.received[member] for member in voting if member in self.reports.received]
        votes.sort(key=lambda received: -received.received_at)
        others = [r for r in self.reports.newest() if r.report.member not in voting]
        return [r.report for r in [*votes, *others] if r.received_at >= oldest]

    def _lacks_overrides(self, member: int) -> bool:
        if not self.overrides.known:
            return False
        known = self.reports.received.get(member)
        return known is None or known.report.overrides_digest != self.overrides.digest()

    def _override_messages(self, now: float) -> list[bytes]:
        """One message for each override, those that expire last first."""
        newest = sorted(self.overrides.known.values(), key=lambda override: -override.expires_at)
        return [encode_overrides(now, [override], MAX_MESSAGE_BYTES) for override in newest]


def _traffic_share(state: ZoneState) -> float:
    """The share of a zone's full load that this instance's state stands for."""
    if state.phase is ZonePhase.RETURNING:
        return state.traffic_share
    return 1.0 if state.phase is ZonePhase.IN_SERVICE else 0.0
