"""An instance that restarts after its wall clock was stepped: the others accept its reports at once."""

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

FIRST_INCARNATION = (
    1_790_000_000  # seconds of Unix time; without a folder an incarnation is the second of its start
)
MAX_INCARNATION = 0xFFFFFFFF
KINDS = (ZONE_REPORTS, DEMAND_REPORTS, SITE_REPORTS)


class ReportingFleet:
    """Instances that receive all of one another's messages, in virtual time."""

    def __init__(self, count: int) -> None:
        self.now, self.reply_count = 0.0, 0
        self.settings = FleetSettings(
            dispatchers=count,
            sheds_load=True,
            checks_are_shared=False,
            failover_cost=CostEstimatorSettings(),
            home_zone="a",
        )
        self.fleets = {me: self.start(me, FIRST_INCARNATION) for me in range(1, count + 1)}
        self.update_members()

    def start(self, me: int, incarnation: int) -> FleetCoordinator:
        fleet = FleetCoordinator(me, incarnation, self.now, self.settings, me)
        fleet.set_engines({zone: {f"{zone}{i}": 4.0 for i in range(2)} for zone in "ab"}, self.now)
        return fleet

    def update_members(self) -> None:
        for fleet in self.fleets.values():
            fleet.set_members(self.now, self.fleets)

    def restart(self, me: int, incarnation: int) -> FleetCoordinator:
        self.fleets[me] = self.start(me, incarnation)
        self.update_members()
        return self.fleets[me]

    def run(self, ms: float) -> None:
        end = self.now + ms
        while self.now < end:
            self.now += 20.0
            outgoing = [(me, a) for me, fleet in self.fleets.items() for a in fleet.step(self.now)]
            while outgoing:
                sender, action = outgoing.pop()
                if isinstance(action, SendFleetMessage):
                    answers = self.fleets[action.member].on_message(self.now, sender, action.data)
                    outgoing += [(action.member, answer) for answer in answers]
                    self.reply_count += sum(
                        isinstance(a, SendFleetMessage) and a.data[0] in KINDS for a in answers
                    )

    def has_report_since(self, at: float, of: int) -> list[bool]:
        """By each other instance and kind of report: whether one of this instance has arrived since."""
        found = []
        for me, fleet in self.fleets.items():
            if me != of:
                assert fleet.demand is not None and fleet.failover_cost is not None
                for reports in (fleet.reports, fleet.demand.reports, fleet.failover_cost.reports):
                    found.append(of in reports.received and reports.received[of].received_at > at)
        return found


@pytest.mark.parametrize("count", [2, 3, 16])
@pytest.mark.parametrize("step", [0, 5, -5, 3600, -3600], ids=lambda s: f"{s:+} s")
def test_reports_of_a_new_incarnation_count_whatever_the_wall_clock_did(step: int, count: int) -> None:
    """With the same second (0) it is the versions that begin anew."""
    fleet = ReportingFleet(count)
    fleet.run(30_000)
    assert all(fleet.has_report_since(fleet.now - 6000, 1))
    fleet.restart(1, FIRST_INCARNATION + step)
    begun = fleet.now
    fleet.run(10_000)
    assert all(fleet.has_report_since(begun + 4000, 1))
    new = fleet.fleets[1]
    assert new.demand is not None and new.demand.incarnation == new.incarnation == FIRST_INCARNATION + max(
        step, 0
    )


def test_without_a_restart_no_report_is_sent_back() -> None:
    fleet = ReportingFleet(16)
    fleet.run(30_000)
    assert fleet.reply_count == 0
    fleet.restart(1, FIRST_INCARNATION - 5)
    fleet.run(10_000)
    assert 3 <= fleet.reply_count < 3 * 16 * 2, "of three kinds, and no more once it knows"


def test_no_forged_stamp_stops_an_instances_reports() -> None:
    """A forged one may be as high as can be written."""
    view = LatestReports[MemberReport](1)
    assert view.next_stamp(7, 0) == (7, 1)
    view.apply(0.0, MemberReport(1, 6, 900, 0, 0, {}))
    assert view.next_stamp(7, 3) == (7, 4)
    view.apply(0.0, MemberReport(1, 7, 900, 0, 0, {}))
    assert view.next_stamp(7, 3) == (7, 901)
    view.apply(0.0, MemberReport(1, 9, MAX_INCARNATION, 0, 0, {}))
    assert view.next_stamp(7, 901) == (10, 1) and view.next_stamp(10, 1) == (10, 2)
    view.apply(0.0, MemberReport(1, MAX_INCARNATION, MAX_INCARNATION, 0, 0, {}))
    assert view.next_stamp(10, 2) == (MAX_INCARNATION, MAX_INCARNATION)


def test_only_an_older_report_by_the_sender_itself_is_answered() -> None:
    view = LatestReports[DemandReport | MemberReport](1)
    new, old, other = (
        MemberReport(2, 9, 5, 0, 0, {}),
        MemberReport(2, 8, 70, 0, 0, {}),
        MemberReport(3, 1, 1, 0, 0, {}),
    )
    assert not view.newer_than(2, [new]), "none is known"
    view.apply(0.0, new)
    assert view.newer_than(2, [old]) is new
    assert not view.newer_than(2, [new]) and not view.newer_than(3, [other, old])
