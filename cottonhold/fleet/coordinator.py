"""Combine all parts of `fleet` in one object that decides for one instance; does no I/O.

The caller reports engines, members, results of attempts and health checks, and received messages, and calls
`step` no later than at `next_at`. The returned actions are messages to send, limits for the scheduler, and
changes of zones.
"""

from __future__ import annotations

import math
import random
from collections.abc import Iterable, Mapping
from typing import Any

from cottonhold.fleet import engine_bounds
from cottonhold.fleet.actions import Action, SendFleetMessage, ThresholdUpdate
from cottonhold.fleet.admission.capacity import AvailableCapacity, steady_capacity, warming_capacity
from cottonhold.fleet.admission.demand_sharing import DemandSharing
from cottonhold.fleet.engine_bounds import EngineBounds
from cottonhold.fleet.failover_cost.estimator import CostEstimator
from cottonhold.fleet.failover_cost.messages import SITE_REPORTS
from cottonhold.fleet.fleet_load import FleetLoad
from cottonhold.fleet.message_format import MAX_UINT32, MessageError
from cottonhold.fleet.recovery.shared_slow_start import OutageScope, SharedSlowStart
from cottonhold.fleet.recovery.slow_start_settings import WARMUP_BUDGET
from cottonhold.fleet.recovery.warmup_messages import WARMUP_REPORTS
from cottonhold.fleet.settings import FleetSettings
from cottonhold.fleet.zone_failover import messages, operator_overrides, quota_lending
from cottonhold.fleet.zone_failover.electorate import Electorate
from cottonhold.fleet.zone_failover.evacuation import Evacuation
from cottonhold.fleet.zone_failover.failure_evidence import FailureEvidence
from cottonhold.fleet.zone_failover.messages import ZoneReport
from cottonhold.fleet.zone_failover.offered_load import OfferedLoad
from cottonhold.fleet.zone_failover.operator_overrides import OverrideMode, Overrides
from cottonhold.fleet.zone_failover.quota_lending import QuotaAccount, QuotaMessage
from cottonhold.fleet.zone_failover.reporting import ZoneReporting
from cottonhold.fleet.zone_failover.status import override_row, zone_row
from cottonhold.fleet.zone_failover.zone_assessment import ZoneAssessment
from cottonhold.fleet.zone_failover.zone_state import PhaseChange, ZonePhase

STARTUP_STEP_FACTOR = 4  # factor by which steps are more frequent just after a start


class FleetCoordinator:
    """Decides on zones, admission, slow start and engine limits for one instance. Times are in ms.

    Args:
        self_id: Id of this instance among the members.
        incarnation: Number of this process; grows with each start.
        is_only_process: Whether no older process of the same dispatcher is still running.
    """

    def __init__(
        self,
        self_id: int,
        incarnation: int,
        now: float,
        settings: FleetSettings,
        seed: int,
        is_only_process: bool = True,
    ) -> None:
        self.self_id, self.incarnation = self_id, incarnation & MAX_UINT32
        self.settings, self.started_at, self.version = settings, now, 0
        self.random = random.Random(seed)
        self.evidence, self.evacuation = FailureEvidence(settings.evidence), Evacuation(settings.evacuation)
        self.overrides = Overrides(self_id)
        self.electorate = Electorate(self_id, settings.electorate_memory_ms, settings.max_voters)
        self.offered_load = OfferedLoad(now)
        self.reporting = ZoneReporting(self_id, settings.reporting, self.overrides, self.random)
        self.reports = self.reporting.reports
        self.assessment = ZoneAssessment(
            settings.assessment, self.evidence, self.evacuation, self.overrides, self._planned_share
        )
        owned_share = 1 / settings.dispatchers
        self.quotas = QuotaAccount(now, owned_share, self.random.getrandbits(30), settings.quota)
        self._create_optional_parts(now, seed, is_only_process)
        declared_demand = self.demand if self.slow_start is not None else None
        self.fleet_load = FleetLoad(self_id, self.offered_load, self.reporting, declared_demand)
        self.engines: dict[str, dict[str, float]] = {}  # zone -> engine -> cores
        self.zone_of: dict[str, str] = {}
        self.zone_numbers: dict[str, int] = {}
        self.live: set[int] = set()
        self.suspected_zones: set[str] = set()  # zones with a suspected failure in the last step
        self.had_threshold = False
        self.last_bounds: dict[str, float] = {}
        self.next_step, self.next_report = now, now
        self.counters: dict[str, int] = {"words_sent": 0, "bytes_sent": 0, "malformed": 0}

    def _create_optional_parts(self, now: float, seed: int, is_only_process: bool) -> None:
        """Create the parts that the settings may disable."""
        settings, self_id, incarnation = self.settings, self.self_id, self.incarnation
        self.demand: DemandSharing | None = None
        if settings.sheds_load:
            self.demand = DemandSharing(self_id, incarnation, now, seed, settings.demand)
        self.slow_start: SharedSlowStart | None = None
        if settings.slow_start is not None:
            owned_share, first_term = 1 / settings.dispatchers, self.random.getrandbits(30)
            self.slow_start = SharedSlowStart(self_id, incarnation, now, settings.slow_start, seed)
            self.warmup_quotas = QuotaAccount(
                now, owned_share, first_term, settings.slow_start.quota, is_only_process
            )
        self.failover_cost: CostEstimator | None = None
        if settings.failover_cost is not None:
            self.failover_cost = CostEstimator(
                self_id, incarnation, now, settings.home_zone, seed, settings.failover_cost
            )

    def set_engines(self, engines: Mapping[str, Mapping[str, float]], now: float | None = None) -> None:
        """Replace the engines, given as cores by zone and engine."""
        self.engines = {zone: dict(by_engine) for zone, by_engine in engines.items() if by_engine}
        self.zone_of = {engine: zone for zone, by_engine in self.engines.items() for engine in by_engine}
        self.zone_numbers = {zone: messages.zone_number(zone) for zone in self.engines}
        self.evidence.set_engines(self.engines)
        self.evacuation.set_zones(self.engines)
        self.assessment.set_engines(self.engines)
        if self.failover_cost is not None:
            self.failover_cost.set_engines(self.engines)
        if self.slow_start is not None:
            cores = {engine: n for by_engine in self.engines.values() for engine, n in by_engine.items()}
            self.slow_start.set_engines(self.started_at if now is None else now, cores)

    def on_loss(
        self, now: float, scope: OutageScope, zones: Iterable[str] | None = None, since: float = math.inf
    ) -> None:
        """Begin a slow start after an outage that the membership survey found.

        `zones` are the affected zones, None for all; `since` is when the first lost member was back, in ms.
        """
        if self.slow_start is not None:
            engines = None if zones is None else [e for zone in zones for e in self.engines.get(zone, ())]
            self.slow_start.on_loss(now, scope, engines, since)
            self.next_step = now

    def set_incarnation(self, incarnation: int) -> None:
        """Use this incarnation in all reports; called when another member has received a higher one."""
        self.incarnation = incarnation & MAX_UINT32
        for part in (self.demand, self.slow_start, self.failover_cost):
            if part is not None:
                part.incarnation = self.incarnation

    def set_members(self, now: float, live: Iterable[int], departures: Iterable[int] = ()) -> None:
        """Replace the members that are alive; `departures` are those that announced that they leave."""
        self.live = set(live) - {self.self_id}
        self.electorate.record_live(now, self.live)
        departed = [member for member in departures if member not in self.live]
        self.electorate.remove(departed)
        self.reports.forget(departed)
        self.quotas.forget(departed)

    def on_request(self, now: float, query_class: int) -> None:
        """Add the usual work of a request's class to the offered load; called when the request arrives."""
        self.offered_load.add(now, self.evidence.usual_work_ms(query_class))

    def on_attempt_sent(self, now: float, attempt_id: str, engine: str, query_class: int) -> None:
        """Record that an attempt was sent."""
        self.evidence.on_sent(now, attempt_id, engine, self.zone_of.get(engine, ""), query_class)

    def on_attempt_ended(
        self, now: float, attempt_id: str, succeeded: bool | None, elapsed_ms: float, work_ms: float = 0.0
    ) -> None:
        """Record an attempt's end; `succeeded` is None if cancelled here, `work_ms` is 0 if not reported."""
        attempt = self.evidence.open_attempts.get(attempt_id)
        if attempt is not None and succeeded is not None:
            if self.slow_start is not None:
                work_ms = work_ms or self.evidence.usual_work_ms(attempt.query_class)
                self.slow_start.on_answer(now, attempt.engine, succeeded, work_ms, elapsed_ms)
            if self.failover_cost is not None:
                self.failover_cost.unstable_engines.on_result(now, attempt.engine, succeeded)
        self.evidence.on_ended(now, attempt_id, succeeded, elapsed_ms)

    def on_health_check(self, now: float, engine: str, succeeded: bool) -> None:
        """Record a health check by this instance, or a successful one by another."""
        self.assessment.on_health_check(now, engine, succeeded)
        if self.slow_start is not None:
            self.slow_start.on_health_check(now, engine, succeeded)
        if self.failover_cost is not None:
            self.failover_cost.unstable_engines.on_result(now, engine, succeeded)

    def on_message(self, now: float, sender: int, data: bytes) -> list[Action]:
        """Handle a message from a member; a malformed one is counted and changes nothing."""
        try:
            return self._dispatch(now, sender, data)
        except MessageError:
            self.counters["malformed"] += 1
            return []

    def _dispatch(self, now: float, sender: int, data: bytes) -> list[Action]:
        """Pass a message to the part that handles its kind. Raises MessageError if it is malformed."""
        kind = data[0] if data else 0
        reply: bytes | None = None
        if kind == messages.ZONE_REPORTS:
            reply = self._on_zone_reports(now, sender, data)
        elif kind == messages.DEMAND_REPORTS:
            if self.demand is not None:
                reply = self.demand.on_message(now, data, sender)
        elif kind == WARMUP_REPORTS:
            if self.slow_start is not None:
                self.slow_start.on_message(now, data)
        elif kind == SITE_REPORTS:
            if self.failover_cost is not None:
                reply = self.failover_cost.on_message(now, data, sender)
        elif kind == messages.OVERRIDES:
            received = operator_overrides.decode_overrides(now, data)
            if any([self.overrides.apply(override) for override in received]):
                self.next_step = now
        else:
            message = quota_lending.decode_quota_message(data)
            return self._send_quota(self._account(message.zone).on_message(now, sender, message))
        return self._send([(sender, reply)]) if reply is not None else []

    def _on_zone_reports(self, now: float, sender: int, data: bytes) -> bytes | None:
        reception = self.reporting.on_message(now, sender, data)
        if reception.is_urgent:
            self.next_report = min(self.next_report, self.next_step)
        return reception.reply

    def issue_override(
        self, now: float, zone: str, mode: OverrideMode, lasts_ms: float, requested_by: str, reason: str
    ) -> bool:
        """Issue an operator's override at this instance; return False if the zone does not exist."""
        if zone not in self.zone_numbers:
            return False
        self.overrides.issue(self.zone_numbers[zone], mode, now + lasts_ms, requested_by, reason)
        self.next_step = self.next_report = now
        return True

    def next_at(self) -> float:
        """Return when `step` is due."""
        return self.next_step

    def step(self, now: float) -> list[Action]:
        """Run the decisions of all parts if a step is due, and return the resulting actions."""
        if now < self.next_step:
            return []
        self.next_step = now + self._step_interval_ms(now)
        self.electorate.record_live(now, self.live)
        self.reporting.refresh(now, self.live)
        voters = self.electorate.voters(now)
        reports = self.reporting.by_zone(now, voters, self.zone_numbers)
        actions: list[Action] = list(self._decide_zones(now, reports, len(voters)))
        if self.slow_start is not None:
            actions += self._send(self.slow_start.step(now, self.live))
        if self.failover_cost is not None:
            remaining = engine_bounds.remaining_capacity(self.engines, self.evacuation, self.slow_start)
            actions += self._send(self.failover_cost.step(now, self.live, remaining))
        actions += self._bound_engines(now, reports)
        actions += self._request_quota(now)
        actions += self._update_threshold(now)
        if now >= self.next_report:
            actions += self._report(now)
        return actions

    def _step_interval_ms(self, now: float) -> float:
        """Return the time until the next step, which is shorter just after a start with cold engines."""
        interval_ms = self.settings.step_interval_ms
        if self.demand is None or self.slow_start is None or not self.slow_start.is_active:
            return interval_ms
        # Every request is admitted until the first threshold is computed.
        just_started = now - self.started_at < self.slow_start.settings.settle_ms / 2
        return interval_ms / STARTUP_STEP_FACTOR if just_started else interval_ms

    def _decide_zones(
        self, now: float, reports: Mapping[str, list[ZoneReport]], voter_count: int
    ) -> list[PhaseChange]:
        """Evacuate zones and return to them; changes and new suspicions are reported immediately."""
        assessed = self.assessment.assess(now, self.fleet_load.total_cores(now, self.live))
        changes = self.evacuation.step(now, assessed, reports, voter_count)
        suspected = {zone for zone, evidence in assessed.items() if evidence.suspects_failure}
        if changes or suspected - self.suspected_zones:
            self.next_report = now
        self.suspected_zones = suspected
        for change in changes:
            evacuated, returning = change.phase is ZonePhase.EVACUATED, change.phase is ZonePhase.RETURNING
            self.evidence.reset(change.zone, evacuated, returning)
        return changes

    def _planned_share(self, now: float, zone: str, served_share: float) -> float | None:
        """Return the share of a zone's load that the failover plan retains; None without a plan."""
        if self.failover_cost is None:
            return None
        return self.failover_cost.retained_share(now, zone, success_share=served_share)

    def _bound_engines(self, now: float, reports: Mapping[str, list[ZoneReport]]) -> list[Action]:
        bounds = engine_bounds.zone_bounds(
            now, self.engines, self.evacuation, reports, self.quotas, self.zone_numbers
        )
        if self.slow_start is not None and self.slow_start.is_active:
            bounds = engine_bounds.add_warmup_bounds(now, bounds, self.slow_start, self.warmup_quotas)
        if self.failover_cost is not None:
            bounds = engine_bounds.add_cross_zone_bounds(
                now, bounds, self.engines, self.evacuation, self.slow_start, self.failover_cost
            )
        if not bounds.work_rates and not self.last_bounds:
            return []
        self.last_bounds = bounds.work_rates
        expires_at = min(now + self.settings.bounds_ttl_ms, bounds.expires_at)
        return [EngineBounds(bounds.work_rates, expires_at)]

    def _request_quota(self, now: float) -> list[Action]:
        """Request quota of the limited budgets from members with less load than quota."""
        zones = [zone for zone in self.engines if self.evacuation.traffic_share(zone) < 1.0]
        budgets = [self.zone_numbers[zone] for zone in zones]
        if self.slow_start is not None and self.slow_start.is_growing:
            budgets.append(WARMUP_BUDGET)
        if not budgets:
            return []
        load_shares = self.fleet_load.shares(now, self.live)
        requests = list[QuotaMessage]()
        for budget in budgets if load_shares else ():
            requests += self._account(budget).request(now, budget, load_shares, self.self_id)
        return self._send_quota(requests)

    def _update_threshold(self, now: float) -> list[Action]:
        """Compute the admission threshold and report this instance's demand."""
        if self.demand is None:
            return []
        capacity = self.available_capacity(now)
        actions = self._send(self.demand.step(now, self.live, capacity.free_cores, capacity.owned_cores))
        threshold = self.demand.threshold
        if threshold is not None or self.had_threshold:
            self.had_threshold = threshold is not None
            expires_at = now + self.settings.demand.threshold_ttl_ms
            actions.append(ThresholdUpdate(threshold, expires_at, capacity.retry_after_ms))
        return actions

    def available_capacity(self, now: float) -> AvailableCapacity:
        """Return the capacity for which the admission threshold is computed."""
        if self.demand is None or self.slow_start is None or not self.slow_start.is_active:
            return steady_capacity(self.engines, self.evacuation)
        settling = now - self.started_at < self.slow_start.settings.settle_ms
        return warming_capacity(
            self.engines,
            self.evacuation,
            self.slow_start,
            self.settings.dispatchers,
            settling and self.settings.dispatchers > 1,
            self.demand.offered_cores(now, self.live),
        )

    def _account(self, budget: int) -> QuotaAccount:
        """Return the quotas of a zone's budget or of the budget of warming engines."""
        return self.warmup_quotas if self.slow_start is not None and budget == WARMUP_BUDGET else self.quotas

    def _report(self, now: float) -> list[Action]:
        """Return a round of reports and schedule the next; with a faulty zone it is due at the next step."""
        # Random, so that reports are not simultaneous; drawn in any case, so that a seed's sequence stays.
        interval_ms = self.settings.report_interval_ms * (0.8 + 0.4 * self.random.random())
        self.next_report = now if self._has_fault() else now + interval_ms
        self.incarnation, self.version = self.reports.next_stamp(self.incarnation, self.version)
        report = self.reporting.build_report(
            (self.incarnation, self.version),
            self.offered_load.centicores(),
            self.evacuation,
            self.evidence,
            self.zone_numbers,
        )
        return self._send(self.reporting.messages(now, report, self.live, self.electorate.voters(now)))

    def _has_fault(self) -> bool:
        """Return whether a zone is not in full service at any instance, or overrides differ."""
        if any(state.phase is not ZonePhase.IN_SERVICE for state in self.evacuation.states.values()):
            return True
        return any(map(self.reporting.is_urgent, self.reporting.fresh))

    def _send(self, outgoing: list[tuple[int, bytes]]) -> list[Action]:
        actions: list[Action] = [SendFleetMessage(member, data) for member, data in outgoing]
        self.counters["words_sent"] += len(actions)
        self.counters["bytes_sent"] += sum(len(data) for _, data in outgoing)
        return actions

    def _send_quota(self, requests: Iterable[QuotaMessage]) -> list[Action]:
        return self._send([(r.member, quota_lending.encode_quota_message(r.message)) for r in requests])

    def status(self, now: float, names: Mapping[int, str]) -> list[dict[str, Any]]:
        """Return the rows of `cottonhold zone show`, one for each zone; names are those of members by id."""
        voters = self.electorate.voters(now)
        reports = self.reporting.by_zone(now, voters, self.zone_numbers)
        return [
            zone_row(
                now,
                zone,
                state,
                self.evidence.counts(zone),
                reports[zone],
                len(voters),
                self.evacuation.traffic_share(zone, reports[zone]),
                self._override_row(now, zone, names),
            )
            for zone, state in self.evacuation.states.items()
        ]

    def _override_row(self, now: float, zone: str, names: Mapping[int, str]) -> dict[str, Any] | None:
        override = self.overrides.in_force(now, self.zone_numbers[zone])
        if override is None:
            return None
        members = self.electorate.last_seen
        max_age_ms = self.settings.evacuation.max_report_age_ms
        fresh = {report.member: report for report in self.reports.fresh(now, max_age_ms, members)}
        return override_row(now, override, self.overrides.digest(), fresh, members, names)
