"""Reports of an instance that restarts after its wall clock was changed are accepted by the others."""

from __future__ import annotations

import pytest

from cottonhold.fleet.actions import SendFleetMessage
from cottonhold.fleet.admission.demand_messages import DemandReport
from cottonhold.fleet.coordinator import FleetCoordinator
from cottonhold.fleet.failover_cost.estimator_settings import CostEstimatorSettings
from cottonhold.fleet.failover_cost.messages import SITE_REPORTS
from cottonhold.fleet.latest_reports import LatestReports
from cottonhold.fleet.settings import FleetSettings
from cottonhold.fleet.zone_failover.messages import DEMAND_REPORTS, ZONE_REPORTS, MemberReport

# Without a state folder, an incarnation is the time of its start in seconds of Unix time.
FIRST_INCARNATION = 1_790_000_000
MAX_INCARNATION = 0xFFFFFFFF
KINDS = (ZONE_REPORTS, DEMAND_REPORTS, SITE_REPORTS)


class ReportingFleet:
    """Simulated instances that receive all messages of one another."""

    def __init__(self, count: int) -> None:
        self.now, self.reply_count = 0.0, 0
        self.settings = FleetSettings(
            dispatchers=count,
            sheds_load=True,
            checks_are_shared=False,
            failover_cost=CostEstimatorSettings(),
            home_zone="a",
        )
        self.fleets = {member: self.start(member, FIRST_INCARNATION) for member in range(1, count + 1)}
        self.update_members()

    def start(self, member: int, incarnation: int) -> FleetCoordinator:
        fleet = FleetCoordinator(member, incarnation, self.now, self.settings, member)
        fleet.set_engines({zone: {f"{zone}{i}": 4.0 for i in range(2)} for zone in "ab"}, self.now)
        return fleet

    def update_members(self) -> None:
        for fleet in self.fleets.values():
            fleet.set_members(self.now, self.fleets)

    def restart(self, member: int, incarnation: int) -> FleetCoordinator:
        self.fleets[member] = self.start(member, incarnation)
        self.update_members()
        return self.fleets[member]

    def run(self, ms: float) -> None:
        end = self.now + ms
        while self.now < end:
            self.now += 20.0
            outgoing = [(member, a) for member, fleet in self.fleets.items() for a in fleet.step(self.now)]
            while outgoing:
                sender, action = outgoing.pop()
                if isinstance(action, SendFleetMessage):
                    replies = self.fleets[action.member].on_message(self.now, sender, action.data)
                    outgoing += [(action.member, reply) for reply in replies]
                    self.reply_count += sum(
                        isinstance(a, SendFleetMessage) and a.data[0] in KINDS for a in replies
                    )

    def has_report_since(self, since: float, of: int) -> list[bool]:
        """Return, for each other instance and kind of report, whether one by instance `of` arrived since."""
        has_report = []
        for member, fleet in self.fleets.items():
            if member != of:
                assert fleet.demand is not None and fleet.failover_cost is not None
                for reports in (fleet.reports, fleet.demand.reports, fleet.failover_cost.reports):
                    has_report.append(of in reports.received and reports.received[of].received_at > since)
        return has_report


@pytest.mark.parametrize("count", [2, 3, 16])
@pytest.mark.parametrize("clock_step_s", [0, 5, -5, 3600, -3600], ids=lambda s: f"{s:+} s")
def test_reports_of_a_new_incarnation_count_whatever_the_wall_clock_did(
    clock_step_s: int, count: int
) -> None:
    """With a step of 0 the incarnation is the same, and the versions start from 1 again."""
    fleet = ReportingFleet(count)
    fleet.run(30_000)
    assert all(fleet.has_report_since(fleet.now - 6000, 1))
    fleet.restart(1, FIRST_INCARNATION + clock_step_s)
    restarted_at = fleet.now
    fleet.run(10_000)
    assert all(fleet.has_report_since(restarted_at + 4000, 1))
    restarted = fleet.fleets[1]
    assert (
        restarted.demand is not None
        and restarted.demand.incarnation == restarted.incarnation == FIRST_INCARNATION + max(clock_step_s, 0)
    )


def test_without_a_restart_no_report_is_sent_back() -> None:
    fleet = ReportingFleet(16)
    fleet.run(30_000)
    assert fleet.reply_count == 0
    fleet.restart(1, FIRST_INCARNATION - 5)
    fleet.run(10_000)
    assert 3 <= fleet.reply_count < 3 * 16 * 2, "a few of each kind, until it continues above the old stamp"


def test_no_forged_stamp_stops_an_instances_reports() -> None:
    """A forged stamp may be as high as its fields allow."""
    reports = LatestReports[MemberReport](1)
    assert reports.next_stamp(7, 0) == (7, 1)
    reports.apply(0.0, MemberReport(1, 6, 900, 0, 0, {}))
    assert reports.next_stamp(7, 3) == (7, 4)
    reports.apply(0.0, MemberReport(1, 7, 900, 0, 0, {}))
    assert reports.next_stamp(7, 3) == (7, 901)
    reports.apply(0.0, MemberReport(1, 9, MAX_INCARNATION, 0, 0, {}))
    assert reports.next_stamp(7, 901) == (10, 1) and reports.next_stamp(10, 1) == (10, 2)
    reports.apply(0.0, MemberReport(1, MAX_INCARNATION, MAX_INCARNATION, 0, 0, {}))
    assert reports.next_stamp(10, 2) == (MAX_INCARNATION, MAX_INCARNATION)


def test_only_an_older_report_by_the_sender_itself_is_answered() -> None:
    reports = LatestReports[DemandReport | MemberReport](1)
    new, old, other = (
        MemberReport(2, 9, 5, 0, 0, {}),
        MemberReport(2, 8, 70, 0, 0, {}),
        MemberReport(3, 1, 1, 0, 0, {}),
    )
    assert not reports.newer_than(2, [new]), "none is known"
    reports.apply(0.0, new)
    assert reports.newer_than(2, [old]) is new
    assert not reports.newer_than(2, [new]) and not reports.newer_than(3, [other, old])
