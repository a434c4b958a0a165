"""One that starts anew with a wall clock that was stepped: the others hear its words at once."""

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

BEGAN = 1_790_000_000  # seconds of Unix time; a life without a folder is the second of its start
HIGHEST = 0xFFFFFFFF
KINDS = (ZONE_REPORTS, DEMAND_REPORTS, SITE_REPORTS)


class Crowd:
    """Instances that hear whatever they tell one another, in virtual time."""

    def __init__(self, count: int) -> None:
        self.now, self.told_back = 0.0, 0
        self.settings = FleetSettings(
            dispatchers=count,
            sheds_load=True,
            checks_are_shared=False,
            failover_cost=CostEstimatorSettings(),
            home_zone="a",
        )
        self.fleets = {me: self.start(me, BEGAN) for me in range(1, count + 1)}
        self.meet()

    def start(self, me: int, life: int) -> FleetCoordinator:
        fleet = FleetCoordinator(me, life, self.now, self.settings, me)
        fleet.set_engines({zone: {f"{zone}{i}": 4.0 for i in range(2)} for zone in "ab"}, self.now)
        return fleet

    def meet(self) -> None:
        for fleet in self.fleets.values():
            fleet.set_members(self.now, self.fleets)

    def restart(self, me: int, life: int) -> FleetCoordinator:
        self.fleets[me] = self.start(me, life)
        self.meet()
        return self.fleets[me]

    def run(self, ms: float) -> None:
        end = self.now + ms
        while self.now < end:
            self.now += 20.0
            told = [(me, a) for me, fleet in self.fleets.items() for a in fleet.step(self.now)]
            while told:
                sender, action = told.pop()
                if isinstance(action, SendFleetMessage):
                    answers = self.fleets[action.member].on_message(self.now, sender, action.data)
                    told += [(action.member, answer) for answer in answers]
                    self.told_back += sum(
                        isinstance(a, SendFleetMessage) and a.data[0] in KINDS for a in answers
                    )

    def heard_since(self, at: float, of: int) -> list[bool]:
        """By each other instance and kind of words: whether one of this instance came since."""
        found = []
        for me, fleet in self.fleets.items():
            if me != of:
                assert fleet.demand is not None and fleet.failover_cost is not None
                for words in (fleet.reports, fleet.demand.reports, fleet.failover_cost.reports):
                    found.append(of in words.received and words.received[of].received_at > at)
        return found


@pytest.mark.parametrize("count", [2, 3, 16])
@pytest.mark.parametrize("step", [0, 5, -5, 3600, -3600], ids=lambda s: f"{s:+} s")
def test_reports_of_a_new_incarnation_count_whatever_the_wall_clock_did(step: int, count: int) -> None:
    """With the same second (0) it is the versions that begin anew."""
    crowd = Crowd(count)
    crowd.run(30_000)
    assert all(crowd.heard_since(crowd.now - 6000, 1))
    crowd.restart(1, BEGAN + step)
    begun = crowd.now
    crowd.run(10_000)
    assert all(crowd.heard_since(begun + 4000, 1))
    new = crowd.fleets[1]
    assert new.demand is not None and new.demand.incarnation == new.incarnation == BEGAN + max(step, 0)


def test_without_a_restart_no_report_is_sent_back() -> None:
    crowd = Crowd(16)
    crowd.run(30_000)
    assert crowd.told_back == 0
    crowd.restart(1, BEGAN - 5)
    crowd.run(10_000)
    assert 3 <= crowd.told_back < 3 * 16 * 2, "of three kinds, and no more once it knows"


def test_no_forged_stamp_stops_an_instances_reports() -> None:
    """A forged one may be as high as can be written."""
    view = LatestReports[MemberReport](1)
    assert view.next_stamp(7, 0) == (7, 1)
    view.apply(0.0, MemberReport(1, 6, 900, 0, 0, {}))
    assert view.next_stamp(7, 3) == (7, 4)
    view.apply(0.0, MemberReport(1, 7, 900, 0, 0, {}))
    assert view.next_stamp(7, 3) == (7, 901)
    view.apply(0.0, MemberReport(1, 9, HIGHEST, 0, 0, {}))
    assert view.next_stamp(7, 901) == (10, 1) and view.next_stamp(10, 1) == (10, 2)
    view.apply(0.0, MemberReport(1, HIGHEST, HIGHEST, 0, 0, {}))
    assert view.next_stamp(10, 2) == (HIGHEST, HIGHEST)


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
