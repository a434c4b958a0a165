"""Runs the fleet's coordinator: passes it local events and time, and executes its actions.

The adapter makes no decisions of its own.
"""

from __future__ import annotations

import secrets
from collections.abc import Callable, Iterable, Mapping
from typing import Any, NamedTuple

from cottonhold.backend.attempt import Attempt
from cottonhold.config.installation import Installation
from cottonhold.fleet.actions import Action, SendFleetMessage, ThresholdUpdate
from cottonhold.fleet.admission.demand import density_of_step
from cottonhold.fleet.admission.demand_sharing import admission_draw
from cottonhold.fleet.coordinator import FleetCoordinator
from cottonhold.fleet.engine_bounds import EngineBounds
from cottonhold.fleet.failover_cost.estimator_settings import CostEstimatorSettings
from cottonhold.fleet.failover_cost.projection import Projection
from cottonhold.fleet.recovery.first_checker import first_checker
from cottonhold.fleet.recovery.slow_start_settings import SlowStartSettings
from cottonhold.fleet.settings import FleetSettings
from cottonhold.fleet.zone_failover.evacuation import EvacuationSettings
from cottonhold.fleet.zone_failover.failure_evidence import EvidenceSettings
from cottonhold.fleet.zone_failover.operator_overrides import MODE_NAMES
from cottonhold.fleet.zone_failover.zone_state import PhaseChange
from cottonhold.membership.codec import MemberStatus
from cottonhold.membership.swim import Swim
from cottonhold.node.client_request import ClientRequest
from cottonhold.observe.counters import Counters
from cottonhold.scheduler.events import AdmissionThreshold, AttemptEnded, EngineQuotas, Outcome
from cottonhold.transport.clock import Clock, Timer

# Outcomes of attempts that are evidence for (True) or against (False) the engine. Attempts that were
# rejected, cancelled or never sent are no evidence of a failure; a late cancelled one is evidence of
# slowness. Neither is a timeout, since the query may have spent its time in this instance's queue: it is
# recorded as a cancelled attempt, with the time that the attempt ran.
SUCCESS_BY_OUTCOME = {
    Outcome.OK: True,
    Outcome.ERROR: False,
    Outcome.CONNECT_FAILED: False,
    Outcome.RESET: False,
}
MODES = {name: mode for mode, name in MODE_NAMES.items()}
MAX_OVERRIDE_MS = 7 * 86_400_000.0  # longest duration of an override, so that a forgotten one expires
MIN_CHECK_AGE_MS = 3000.0  # lower bound of the maximum age of a successful health check
CHECK_AGE_INTERVALS = 2.5  # maximum age of a successful health check, in health check intervals
TIMER_SLACK_MS = 0.5  # added to timers, so that the step is due when its timer fires


class OverrideError(Exception):
    """An operator's override is invalid; the message states the reason."""


class ObservedRequest(NamedTuple):
    """The data set and the estimated work of an open request."""

    table_group: int  # negative: the request names none
    estimated_work_ms: float


NO_REQUEST = ObservedRequest(-1, 0.0)


def make_coordinator(
    installation: Installation, self_id: int, now: float, incarnation: int
) -> FleetCoordinator:
    """Make the coordinator of an installation that has a section `fleet`.

    `incarnation` is that of the ledger, or without a ledger the Unix time of the start in s.
    """
    file, section = installation.file, installation.file.fleet
    assert section is not None and file.membership is not None
    slow_start = None
    if file.state_dir:
        slow_start = SlowStartSettings(
            initial_share=file.rules.cold_capacity_share, warm_after_ms=file.rules.warm_up_ms
        )
    settings = FleetSettings(
        dispatchers=file.dispatcher_count,
        sheds_load=section.sheds_load,
        checks_are_shared=file.features.has_health_checks,
        max_check_age_ms=max(
            MIN_CHECK_AGE_MS, CHECK_AGE_INTERVALS * file.membership.health_check_interval_ms
        ),
        evidence=EvidenceSettings(slow_factor=section.slow_factor),
        evacuation=EvacuationSettings(
            hold_down_ms=section.hold_down_ms,
            max_hold_down_ms=section.max_hold_down_ms,
            initial_share=section.initial_return_share,
            step_ms=section.return_step_ms,
            usable_capacity_share=section.usable_capacity_share,
        ),
        slow_start=slow_start,
        failover_cost=CostEstimatorSettings() if section.estimates_failover_cost else None,
        home_zone=file.peers.zones[file.dispatcher_index]
        if file.peers is not None and file.peers.zones
        else "",
    )
    seed = installation.config.seed ^ secrets.randbits(32)
    return FleetCoordinator(self_id, incarnation, now, settings, seed)


class ZoneFailoverAdapter:
    """Runs the fleet's coordinator for one instance.

    Args:
        coordinator: The coordinator, which makes the decisions.
        swim: The membership protocol.
        clock: This process's clock.
        counters: The counters of this instance.
        send: Sends a message to a member.
        push: Queues an event for the scheduler.
        log: Logs an event with its fields.
        check_health: Starts a health check of an engine; returns whether it could be sent.
        dispatcher_number: The configured number of this dispatcher.
    """

    def __init__(
        self,
        coordinator: FleetCoordinator,
        swim: Swim,
        clock: Clock,
        counters: Counters,
        send: Callable[[int, bytes], None],
        push: Callable[[EngineQuotas | AdmissionThreshold], None],
        log: Callable[..., None],
        check_health: Callable[[str], bool],
        dispatcher_number: int = 0,
    ) -> None:
        self.coordinator, self.swim, self.clock, self.counters = coordinator, swim, clock, counters
        self.send, self.push, self.log, self.check_health = send, push, log, check_health
        self.dispatcher_number, self.started_at, self.last_check_at = dispatcher_number, clock.now(), 0.0
        self.timer: Timer | None = None
        self.open_requests: dict[str, ObservedRequest] = {}

    def start(self) -> None:
        """Run the first step; later steps run by the adapter's own timer."""
        if self.coordinator.demand is not None:
            self.push(AdmissionThreshold())  # a threshold that admits all requests
        self._step()

    def on_member_joined(self) -> None:
        """Run a step right away; called when another instance has joined."""
        self._step()

    def on_request_arrived(self, client_request: ClientRequest) -> float | None:
        """Record an arriving request; return its admission draw, None without load shedding."""
        self.coordinator.on_request(self.clock.now(), client_request.query_class)
        if self.coordinator.demand is None:
            return None
        return admission_draw(client_request.request_id.encode(), client_request.is_retry)

    def on_demand_estimated(self, client_request: ClientRequest, utility: float, work_ms: float) -> None:
        """Record the scheduler's estimate of a request's utility and work in ms."""
        now, cost = self.clock.now(), self.coordinator.failover_cost
        if self.coordinator.demand is not None:
            self.coordinator.demand.on_request(now, utility, work_ms, client_request.is_retry)
        if cost is not None:
            cost.on_request(
                now, utility, work_ms, _data_set(client_request.table_group), client_request.is_retry
            )
            self.open_requests[client_request.request_id] = ObservedRequest(
                client_request.table_group, client_request.estimated_work_ms
            )

    def on_admission_settled(self, waited_fraction: float, was_rejected: bool) -> None:
        """Record that an admitted request was rejected, or sent after waiting a fraction of its timeout."""
        if self.coordinator.demand is not None:
            self.coordinator.demand.on_admitted(waited_fraction, was_rejected)

    def on_attempt_sent(self, attempt: Attempt, query_class: int) -> None:
        """Record that an attempt is about to be sent."""
        self.coordinator.on_attempt_sent(self.clock.now(), _attempt_id(attempt), attempt.engine, query_class)

    def on_attempt_ended(self, attempt: Attempt, event: AttemptEnded) -> None:
        """Record the outcome of an attempt."""
        now, succeeded, cost = (
            self.clock.now(),
            SUCCESS_BY_OUTCOME.get(event.outcome),
            self.coordinator.failover_cost,
        )
        actual_work_ms = event.actual_work_ms
        if cost is not None and succeeded:
            request = self.open_requests.get(attempt.request_id, NO_REQUEST)
            is_known = request.estimated_work_ms > 0 and actual_work_ms > 0
            excess_work_ms = actual_work_ms - request.estimated_work_ms if is_known else None
            zone = self.coordinator.zone_of.get(attempt.engine, "")
            cost.on_answer(now, zone, _data_set(request.table_group), excess_work_ms=excess_work_ms)
        self.coordinator.on_attempt_ended(
            now, _attempt_id(attempt), succeeded, event.elapsed_ms, actual_work_ms
        )

    def on_request_closed(self, request_id: str) -> None:
        """Remove a request whose client has its final response."""
        self.open_requests.pop(request_id, None)

    def on_health_check_time(self, engine: str, round_trip_ms: float) -> None:
        """Record the round-trip time of a health check that this instance sent."""
        zone = self.coordinator.zone_of.get(engine)
        if self.coordinator.failover_cost is not None and zone is not None:
            self.coordinator.failover_cost.on_health_check_answer(zone, round_trip_ms)

    def on_health_check(self, engine: str, outcome: Outcome) -> None:
        """Record a health check of this instance, or a successful one of another instance."""
        self.coordinator.on_health_check(self.clock.now(), engine, outcome is Outcome.OK)

    def set_engines(self, engines: Mapping[str, Mapping[str, float]]) -> None:
        """Replace the engines in service; `engines` has the cores of each by zone and engine."""
        self.coordinator.set_engines(engines, self.clock.now())

    def on_list_received(self) -> None:
        """Notify slow start once that a source of the engine list has answered since the start."""
        slow_start = self.coordinator.slow_start
        if slow_start is not None and not slow_start.is_listed:
            slow_start.on_list_received(self.clock.now())

    def on_message(self, member: int, payload: bytes) -> None:
        """Apply a fleet message from another instance."""
        self._execute(self.coordinator.on_message(self.clock.now(), member, payload))
        self._schedule_step()

    def set_process_count(self, processes: int) -> None:
        """Divide the engine quotas by the number of processes that now run as this dispatcher."""
        self.coordinator.quotas.process_count = processes
        if self.coordinator.slow_start is not None:
            self.coordinator.warmup_quotas.process_count = processes

    def issue_override(self, call: Mapping[str, Any]) -> dict[str, Any]:
        """Issue an override that an operator requested at the status socket, and return the status.

        Raises:
            OverrideError: The call is invalid.
        """
        zone, mode = call.get("zone"), MODES.get(str(call.get("mode")))
        duration_ms, issued_by, reason = call.get("for_ms"), call.get("who"), call.get("why")
        if mode is None:
            raise OverrideError(f"mode {call.get('mode')!r} is none of {', '.join(MODES)}")
        is_number = isinstance(duration_ms, int | float) and not isinstance(duration_ms, bool)
        if not is_number or not 0 < float(duration_ms or 0) <= MAX_OVERRIDE_MS:
            raise OverrideError("for_ms has to be a number above 0 and within a week")
        if not isinstance(issued_by, str) or not issued_by or not isinstance(reason, str) or not reason:
            raise OverrideError("who and why have to be given")
        zone_numbers = self.coordinator.zone_numbers
        if not isinstance(zone, str) or zone not in zone_numbers:
            raise OverrideError(f"there is no zone {zone!r}; there are: {', '.join(sorted(zone_numbers))}")
        duration_ms = float(duration_ms or 0)
        self.coordinator.issue_override(self.clock.now(), zone, mode, duration_ms, issued_by, reason)
        self.counters.add("zone_orders")
        self.log(
            "zone_override_issued",
            zone=zone,
            mode=MODE_NAMES[mode],
            issued_by=issued_by,
            reason=reason,
            duration_ms=round(duration_ms),
        )
        self._step()
        return self.status()

    def status(self) -> dict[str, Any]:
        """Return the status that `cottonhold zone show` prints."""
        names = {self.swim.id: self.swim.name, **{m.id: m.name for m in self.swim.members.values()}}
        return {
            "outlook": self._cost_status(),
            "zones": self.coordinator.status(self.clock.now(), names),
            "fleet_counts": dict(self.coordinator.counters),
            "price": self._threshold_status(),
            "cold_engines": self._warming_status(),
        }

    def _threshold_status(self) -> dict[str, float] | None:
        """Return the admission threshold in force; None without one."""
        demand = self.coordinator.demand
        if demand is None or demand.threshold is None:
            return None
        threshold = demand.threshold
        return {"worth_a_ms": density_of_step(threshold.step), "share": round(threshold.admitted_share, 3)}

    def _warming_status(self) -> dict[str, float]:
        """Return the share of each warming engine's capacity that all dispatchers together may use."""
        slow_start = self.coordinator.slow_start
        if slow_start is None:
            return {}
        return {engine: round(slow_start.share(engine), 3) for engine in sorted(slow_start.warming)}

    def _cost_status(self) -> dict[str, Any] | None:
        """Return for each zone the cost of its outage now, and the zones that would serve its clients."""
        cost = self.coordinator.failover_cost
        if cost is None:
            return None
        rows: dict[str, Any] = {}
        for zone in sorted(self.coordinator.engines):
            projection = cost.projection(zone)
            if projection is not None:
                rows[zone] = {
                    "cost": {name: round(amount, 3) for name, amount in _cost_row(projection).items()},
                    "room": {z: round(cores, 2) for z, cores in projection.free_cores.items()},
                    "neighbours": cost.failover_zones(zone),
                }
        return rows

    def _step(self) -> None:
        now = self.clock.now()
        departed = (member.id for member in self.swim.members_by_name() if member.status is MemberStatus.LEFT)
        self.coordinator.set_members(now, self.swim.live_members(), departed)
        self._execute(self.coordinator.step(now))
        self._check_unproven_engines(now)
        self._schedule_step()

    def _check_unproven_engines(self, now: float) -> None:
        """Check engines that have not answered yet; each engine has one checking dispatcher per time slot."""
        slow_start = self.coordinator.slow_start
        if slow_start is None or now - self.last_check_at < slow_start.settings.checker_slot_ms:
            return
        self.last_check_at = now
        passed_ms, dispatchers = now - self.started_at, self.coordinator.settings.dispatchers
        for engine, warming in slow_start.warming.items():
            if warming.has_answered:
                continue
            checker = first_checker(engine, passed_ms, dispatchers, slow_start.settings.checker_slot_ms)
            if checker == self.dispatcher_number:
                self.counters.add("first_probes")
                self.check_health(engine)

    def _schedule_step(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
        delay_ms = max(self.coordinator.next_at() - self.clock.now(), 0.0) + TIMER_SLACK_MS
        self.timer = self.clock.call_in(delay_ms, self._step)

    def _execute(self, actions: Iterable[Action]) -> None:
        for action in actions:
            match action:
                case SendFleetMessage(member, data):
                    self.send(member, data)
                case EngineBounds(work_rates, expires_at):
                    self.push(EngineQuotas(work_rates, expires_at))
                case ThresholdUpdate():
                    self.push(_threshold_event(action))
                case PhaseChange(zone, phase, reason):
                    self.counters.add(f"zones_{phase.value}")
                    self.log("zone_phase_changed", zone=zone, phase=phase.value, reason=reason)


def _threshold_event(update: ThresholdUpdate) -> AdmissionThreshold:
    """Convert an update of the admission threshold to the scheduler's event."""
    threshold = update.threshold
    if threshold is None:
        return AdmissionThreshold()
    low, high = density_of_step(threshold.step), density_of_step(threshold.step + 1)
    return AdmissionThreshold(low, high, threshold.admitted_share, update.expires_at, update.retry_after_ms)


def _cost_row(projection: Projection) -> dict[str, float]:
    """Return a projection under the keys that `cottonhold zone show` reads."""
    return {
        "offered": projection.offered_utility,
        "worth": projection.served_utility,
        "lost": projection.lost_utility,
        "added": projection.added_round_trip_ms,
        "moved": projection.moved_cores,
        "extra": projection.extra_cold_cores,
        "warm_ms": projection.warm_ms,
        "back_ms": projection.return_ms,
        "useful": projection.useful_cores,
    }


def _data_set(table_group: int) -> str:
    """Return the name of a request's data set; empty without one."""
    return str(table_group) if table_group >= 0 else ""


def _attempt_id(attempt: Attempt) -> str:
    return f"{attempt.request_id}/{attempt.number}"
