"""Exchange of reports on zones between instances, including the relaying of reports; does no I/O."""

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
    """The result of handling a received message.

    Attributes:
        is_urgent: Whether a new report requires that this instance reports without delay.
        reply: Message for the sender if this instance has a newer report by it than the one it sent, else
            None. It makes the sender number its next report higher.
    """

    is_urgent: bool
    reply: bytes | None


@dataclass(slots=True, frozen=True)
class ReportingSettings:
    """Settings of the exchange of reports.

    Attributes:
        gossip_from_members: Number of other members from which reports are spread by gossip. With fewer
            members each report is sent to all of them.
        gossip_fanout: Number of members to which each round of gossip is sent.
        max_report_age_ms: Age above which reports are neither used nor relayed, in ms.
    """

    gossip_from_members: int
    gossip_fanout: int
    max_report_age_ms: float


class ZoneReporting:
    """Keeps the latest report of each other member and builds this instance's reports."""

    def __init__(
        self, self_id: int, settings: ReportingSettings, overrides: Overrides, random_source: random.Random
    ) -> None:
        self.self_id, self.settings, self.overrides = self_id, settings, overrides
        self.random = random_source
        self.reports = LatestReports[MemberReport](self_id)
        self.fresh: list[MemberReport] = []  # reports of live members, as of the last `refresh`

    def refresh(self, now: float, live: Iterable[int]) -> None:
        """Update the list of fresh reports of live members."""
        self.fresh = self.reports.fresh(now, self.settings.max_report_age_ms, live)

    def on_message(self, now: float, sender: int, data: bytes) -> Reception:
        """Merge the reports of a message from a member. Raises MessageError if it is malformed."""
        reports = decode_zone_reports(data)
        newer_reports = [report for report in reports if self.reports.apply(now, report)]
        newer = self.reports.newer_than(sender, reports)
        reply = encode_zone_reports([newer], MAX_MESSAGE_BYTES) if newer is not None else None
        return Reception(any(map(self.is_urgent, newer_reports)), reply)

    def is_urgent(self, report: MemberReport) -> bool:
        """Return whether a report requires a round of reports in each step.

        That is the case if the report shows a fault of a zone or other overrides than this instance's.
        """
        if report.overrides_digest != self.overrides.digest():
            return True
        return any(z.vote or z.suspects_failure or z.traffic_share < 1.0 for z in report.zones.values())

    def by_zone(
        self, now: float, voters: Iterable[int], zone_numbers: Mapping[str, int]
    ) -> dict[str, list[ZoneReport]]:
        """Return the fresh reports of the other voters on each zone."""
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
        """Build this instance's report under the given stamp."""
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
        self, now: float, report: MemberReport, live: Iterable[int], voters: Iterable[int]
    ) -> list[tuple[int, bytes]]:
        """Return the messages of one round as (member, message).

        They contain this instance's report, relayed reports, and overrides for members that lack some.
        """
        targets, relayed = sorted(live), list[MemberReport]()
        if len(targets) >= self.settings.gossip_from_members:
            targets = self.random.sample(targets, self.settings.gossip_fanout)
            relayed = self.relayed(now, voters)
        data = encode_zone_reports([report, *relayed], MAX_MESSAGE_BYTES)
        messages = [(member, data) for member in targets]
        for member in targets:
            if self._lacks_overrides(member):
                messages += [(member, data) for data in self._override_messages(now)]
        return messages

    def relayed(self, now: float, voters: Iterable[int]) -> list[MemberReport]:
        """Return the reports of others to relay: first those of voters, then the others, newest first."""
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
        """Encode each override as a message; those that expire last come first."""
        newest = sorted(self.overrides.known.values(), key=lambda override: -override.expires_at)
        return [encode_overrides(now, [override], MAX_MESSAGE_BYTES) for override in newest]


def _traffic_share(state: ZoneState) -> float:
    """Return the share of a zone's full load that corresponds to this instance's state of the zone."""
    if state.phase is ZonePhase.RETURNING:
        return state.traffic_share
    return 1.0 if state.phase is ZonePhase.IN_SERVICE else 0.0
