"""The fleet's price at one gateway: what the module turns away, and what the gateway and the rim tell."""

from __future__ import annotations

import dataclasses

import pytest

from cottonhold.fleet.actions import ThresholdUpdate
from cottonhold.fleet.admission.demand import density_of_step
from cottonhold.fleet.admission.demand_messages import DemandReport, encode_demand_reports
from cottonhold.fleet.admission.demand_sharing import admission_draw
from cottonhold.fleet.admission.threshold import ReportedDemand
from cottonhold.fleet.coordinator import FleetCoordinator
from cottonhold.fleet.settings import FleetSettings
from cottonhold.fleet.zone_failover.operator_overrides import OverrideMode
from cottonhold.node.client_request import ClientRequest
from cottonhold.scheduler.actions import DemandEstimate, Reject
from cottonhold.scheduler.events import AdmissionThreshold
from cottonhold.scheduler.settings import Features
from tests.support.scenario import World
from tests.support.scheduler_events import LOOKUP, answers, arrival, settings, started

FREE = AdmissionThreshold()


@pytest.mark.parametrize(
    "price, draw, refused",
    [
        (FREE, 0.9, False),
        (AdmissionThreshold(2.0, 3.0, 0.0, 1e9), None, False),  # nobody prices here
        (AdmissionThreshold(0.1, 0.2, 0.0, 1e9), 0.0, False),  # worth more than the price
        (AdmissionThreshold(2.0, 3.0, 1.0, 1e9), 0.0, True),
        (AdmissionThreshold(0.9, 1.1, 0.5, 1e9), 0.4, False),  # at the price: by its draw
        (AdmissionThreshold(0.9, 1.1, 0.5, 1e9), 0.6, True),
        (AdmissionThreshold(2.0, 3.0, 0.0, 5.0), 0.9, False),  # the price has run out
    ],
    ids=["none", "no draw", "above", "below", "within the share", "beyond the share", "run out"],
)
def test_a_threshold_rejects_requests_of_less_utility_a_ms_of_work(
    price: AdmissionThreshold, draw: float | None, refused: bool
) -> None:
    cls = dataclasses.replace(LOOKUP, utility=60.0)
    s = started(settings(classes=(cls,)), "e1")
    s.step(4.0, [price])
    come = dataclasses.replace(arrival("q", estimated_work_ms=60.0), admission_draw=draw)
    actions = s.step(6.0, [come])
    assert [type(a) for a in answers(actions)] == ([Reject] if refused else [])
    offered = [a for a in actions if isinstance(a, DemandEstimate)]
    assert offered == ([] if draw is None else [DemandEstimate("q", 60.0, 60.0)])


@pytest.mark.parametrize(
    "prices, most, told",
    [
        ([AdmissionThreshold(2.0, 3.0, 1.0, 1e9)], 1000.0, 400.0),
        ([AdmissionThreshold(2.0, 3.0, 1.0, 1e9, 700.0)], 1000.0, 700.0),
        ([AdmissionThreshold(2.0, 3.0, 1.0, 1e9, 700.0)], 300.0, 300.0),
        (
            [AdmissionThreshold(2.0, 3.0, 1.0, 1e9, 700.0), AdmissionThreshold(2.0, 3.0, 1.0, 1e9)],
            1000.0,
            400.0,
        ),
    ],
    ids=["none", "as the fleet says", "as much as is allowed", "no longer"],
)
def test_a_rejected_client_gets_the_fleets_retry_after(
    prices: list[AdmissionThreshold], most: float, told: float
) -> None:
    cls = dataclasses.replace(LOOKUP, utility=60.0)
    permits = Features(has_retry_after=True, max_retry_after_ms=most)
    s = started(settings(classes=(cls,), features=permits), "e1")
    s.step(4.0, list(prices))
    found = answers(
        s.step(6.0, [dataclasses.replace(arrival("q", estimated_work_ms=60.0), admission_draw=0.0)])
    )
    assert [a.retry_after_ms for a in found if isinstance(a, Reject)] == [told]


class RecordingObserver:
    """An observer that records its notifications."""

    def __init__(self) -> None:
        self.events: list[str] = []

    def on_request_arrived(self, client_request: ClientRequest) -> float:
        return admission_draw(client_request.request_id.encode(), client_request.is_retry)

    def on_demand_estimated(self, client_request: ClientRequest, utility: float, work_ms: float) -> None:
        self.events.append("estimated")

    def on_admission_settled(self, waited_fraction: float, was_rejected: bool) -> None:
        self.events.append(f"settled, rejected: {was_rejected}")

    def on_attempt_sent(self, attempt: object, query_class: int) -> None:
        self.events.append("sent")

    def on_attempt_ended(self, attempt: object, event: object) -> None:
        self.events.append("ended")

    def on_request_closed(self, request_id: str) -> None:
        pass


@pytest.mark.parametrize(
    "engines, threshold, events",
    [
        ("a", FREE, ["estimated", "settled, rejected: False", "sent"]),
        ("a", AdmissionThreshold(1e9, 1e9, 0.0, 1e9), ["estimated"]),
        ("", FREE, ["estimated", "settled, rejected: True"]),
    ],
    ids=["sent", "rejected", "ran out of time"],
)
def test_the_gateway_reports_what_became_of_requests(
    engines: str, threshold: AdmissionThreshold, events: list[str]
) -> None:
    world, observer = World(engines=engines), RecordingObserver()
    world.gateway.notifications.observer = observer
    world.gateway.push(threshold)
    world.run("c1 query lookup r1 allow=1000")
    world.wait(1200)
    assert sorted(set(observer.events) - {"ended"}) == sorted(events)


def fleet(price: bool = True) -> FleetCoordinator:
    made = FleetCoordinator(
        1, 1, 0.0, FleetSettings(dispatchers=3, checks_are_shared=False, sheds_load=price), 1
    )
    made.set_engines({zone: {f"{zone}0": 1.0} for zone in "abc"})
    made.set_members(0.0, [1, 2, 3])
    return made


@pytest.mark.parametrize("price", [True, False], ids=["on", "off"])
def test_a_threshold_follows_the_demand_of_all_and_ends_with_it(price: bool) -> None:
    made, said = fleet(price), list[ThresholdUpdate]()
    for t in range(0, 12_000, 100):
        for member in (2, 3):
            rates = {20: 4.0, 40: 1.0} if t < 6000 else {40: 0.1}
            made.on_message(
                float(t),
                member,
                encode_demand_reports([DemandReport(member, 1, t + 1, ReportedDemand(rates))]),
            )
        said += [a for a in made.step(float(t)) if isinstance(a, ThresholdUpdate)]
    if not price:
        assert not said and made.counters["malformed"] == 0
        return
    assert (
        said[0].threshold is not None
        and said[0].threshold.step == 20
        and 0.4 < said[0].threshold.admitted_share < 0.7
    )
    assert said[-1].threshold is None and said[-1].expires_at < 10_000.0
    assert density_of_step(20) < density_of_step(21) and density_of_step(0) == 0.0


def test_an_evacuated_zone_is_no_capacity() -> None:
    made = fleet()
    load = encode_demand_reports(
        [DemandReport(member, 1, 1, ReportedDemand({20: 0.7, 40: 0.7})) for member in (2, 3)]
    )
    made.on_message(0.0, 2, load)
    assert not [a for a in made.step(0.0) if isinstance(a, ThresholdUpdate)]
    made.issue_override(100.0, "a", OverrideMode.EVACUATE, 5000.0, "me", "test")
    made.step(100.0)
    (priced,) = [a for a in made.step(200.0) if isinstance(a, ThresholdUpdate)]
    assert priced.threshold is not None and priced.threshold.step == 20
