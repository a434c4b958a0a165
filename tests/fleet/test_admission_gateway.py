"""The fleet's admission threshold at one gateway: rejections, and what the gateway and coordinator report."""

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
    "threshold, draw, rejected",
    [
        (FREE, 0.9, False),
        (AdmissionThreshold(2.0, 3.0, 0.0, 1e9), None, False),  # the request has no draw
        (AdmissionThreshold(0.1, 0.2, 0.0, 1e9), 0.0, False),  # above the threshold
        (AdmissionThreshold(2.0, 3.0, 1.0, 1e9), 0.0, True),
        (AdmissionThreshold(0.9, 1.1, 0.5, 1e9), 0.4, False),  # at the threshold the draw decides
        (AdmissionThreshold(0.9, 1.1, 0.5, 1e9), 0.6, True),
        (AdmissionThreshold(2.0, 3.0, 0.0, 5.0), 0.9, False),  # the threshold has expired
    ],
    ids=["none", "no draw", "above", "below", "within the share", "beyond the share", "expired"],
)
def test_a_threshold_rejects_requests_of_less_utility_a_ms_of_work(
    threshold: AdmissionThreshold, draw: float | None, rejected: bool
) -> None:
    query_class = dataclasses.replace(LOOKUP, utility=60.0)
    scheduler = started(settings(classes=(query_class,)), "e1")
    scheduler.step(4.0, [threshold])
    request = dataclasses.replace(arrival("q", estimated_work_ms=60.0), admission_draw=draw)
    actions = scheduler.step(6.0, [request])
    assert [type(a) for a in answers(actions)] == ([Reject] if rejected else [])
    offered = [a for a in actions if isinstance(a, DemandEstimate)]
    assert offered == ([] if draw is None else [DemandEstimate("q", 60.0, 60.0)])


@pytest.mark.parametrize(
    "thresholds, max_retry_after_ms, expected_ms",
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
    ids=["default", "from the fleet", "limited by the features", "no longer set"],
)
def test_a_rejected_client_gets_the_fleets_retry_after(
    thresholds: list[AdmissionThreshold], max_retry_after_ms: float, expected_ms: float
) -> None:
    query_class = dataclasses.replace(LOOKUP, utility=60.0)
    features = Features(has_retry_after=True, max_retry_after_ms=max_retry_after_ms)
    scheduler = started(settings(classes=(query_class,), features=features), "e1")
    scheduler.step(4.0, list(thresholds))
    responses = answers(
        scheduler.step(6.0, [dataclasses.replace(arrival("q", estimated_work_ms=60.0), admission_draw=0.0)])
    )
    assert [a.retry_after_ms for a in responses if isinstance(a, Reject)] == [expected_ms]


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
    ids=["sent", "rejected", "expired"],
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


def fleet(sheds_load: bool = True) -> FleetCoordinator:
    coordinator = FleetCoordinator(
        1, 1, 0.0, FleetSettings(dispatchers=3, checks_are_shared=False, sheds_load=sheds_load), 1
    )
    coordinator.set_engines({zone: {f"{zone}0": 1.0} for zone in "abc"})
    coordinator.set_members(0.0, [1, 2, 3])
    return coordinator


@pytest.mark.parametrize("sheds_load", [True, False], ids=["on", "off"])
def test_a_threshold_follows_the_demand_of_all_and_ends_with_it(sheds_load: bool) -> None:
    coordinator, updates = fleet(sheds_load), list[ThresholdUpdate]()
    for t in range(0, 12_000, 100):
        for member in (2, 3):
            rates = {20: 4.0, 40: 1.0} if t < 6000 else {40: 0.1}
            coordinator.on_message(
                float(t),
                member,
                encode_demand_reports([DemandReport(member, 1, t + 1, ReportedDemand(rates))]),
            )
        updates += [a for a in coordinator.step(float(t)) if isinstance(a, ThresholdUpdate)]
    if not sheds_load:
        assert not updates and coordinator.counters["malformed"] == 0
        return
    assert (
        updates[0].threshold is not None
        and updates[0].threshold.step == 20
        and 0.4 < updates[0].threshold.admitted_share < 0.7
    )
    assert updates[-1].threshold is None and updates[-1].expires_at < 10_000.0
    assert density_of_step(20) < density_of_step(21) and density_of_step(0) == 0.0


def test_an_evacuated_zone_is_no_capacity() -> None:
    coordinator = fleet()
    reports = encode_demand_reports(
        [DemandReport(member, 1, 1, ReportedDemand({20: 0.7, 40: 0.7})) for member in (2, 3)]
    )
    coordinator.on_message(0.0, 2, reports)
    assert not [a for a in coordinator.step(0.0) if isinstance(a, ThresholdUpdate)]
    coordinator.issue_override(100.0, "a", OverrideMode.EVACUATE, 5000.0, "me", "test")
    coordinator.step(100.0)
    (update,) = [a for a in coordinator.step(200.0) if isinstance(a, ThresholdUpdate)]
    assert update.threshold is not None and update.threshold.step == 20
