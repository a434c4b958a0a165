"""One instance's part in what the fleet decides together: puts the parts of `fleet` behind one step function.

Pure. Feed it engines, members, the results of attempts and health checks, and others' messages; call `step`
at `next_at` at the latest. It returns what to send to whom, what the scheduler may send where, and what has
changed.
"""

from __future__ import annotations

import math
import random
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any

from cottonhold.fleet import engine_bounds
from cottonhold.fleet.admission.capacity import AvailableCapacity, steady_capacity, warming_capacity
from cottonhold.fleet.admission.demand_sharing import DemandSettings, DemandSharing
from cottonhold.fleet.admission.threshold import DensityThreshold
from cottonhold.fleet.engine_bounds import EngineBounds
from cottonhold.fleet.failover_cost.estimator import CostEstimator, CostEstimatorSettings
from cottonhold.fleet.failover_cost.messages import SITE_REPORTS
from cottonhold.fleet.message_format import MAX_UINT32, MessageError
from cottonhold.fleet.recovery.slow_start import OutageScope, SlowStart
from cottonhold.fleet.recovery.slow_start_settings import WARMUP_BUDGET, SlowStartSettings
from cottonhold.fleet.recovery.warmup_messages import WARMUP_REPORTS
from cottonhold.fleet.zone_failover import messages, operator_overrides, quota_lending
from cottonhold.fleet.zone_failover.electorate import Electorate
from cottonhold.fleet.zone_failover.evacuation import Evacuation, EvacuationSettings, Phase, PhaseChange
from cottonhold.fleet.zone_failover.failure_evidence import EvidenceSettings, FailureEvidence
from cottonhold.fleet.zone_failover.messages import ZoneReport
from cottonhold.fleet.zone_failover.offered_load import OfferedLoad
from cottonhold.fleet.zone_failover.operator_overrides import OverrideMode, Overrides
from cottonhold.fleet.zone_failover.quota_lending import QuotaAccount, QuotaMessage, QuotaSettings
from cottonhold.fleet.zone_failover.reporting import ReportingSettings, ZoneReporting
from cottonhold.fleet.zone_failover.status import override_row, zone_row
from cottonhold.fleet.zone_failover.zone_assessment import AssessmentSettings, ZoneAssessment

HURRIED_STEPS = 4  # times more often an instance steps that has just started


@dataclass(slots=True, frozen=True)
class FleetSettings:
    """Times in ms.

    dispatchers: configured ones; each owns one part of a budget. step_interval_ms: between two steps, and two
    rounds of reports while a zone has a fault. report_interval_ms: between two rounds else.
    gossip_from_members, gossip_fanout: see ReportingSettings. max_voters, electorate_memory_ms: see
    Electorate. sheds_load: overload is handled by all together. bounds_ttl_ms: so long bounds hold; an
    instance that was suspended must not go on by old ones. checks_are_shared, max_check_age_ms: see
    AssessmentSettings. slow_start: engines that start get work as all instances see them warm up; None: off.
    failover_cost: the cost of a zone's loss is estimated, and decides how much an evacuated zone retains and
    which zones serve whose clients; None: off. home_zone: of this instance and its clients.
    """

    dispatchers: int = 1
    step_interval_ms: float = 100.0
    report_interval_ms: float = 1000.0
    gossip_from_members: int = 9
    gossip_fanout: int = 4
    max_voters: int = 16
    sheds_load: bool = False
    electorate_memory_ms: float = 60_000.0
    bounds_ttl_ms: float = 500.0
    checks_are_shared: bool = True
    max_check_age_ms: float = 3000.0
    evidence: EvidenceSettings = field(default_factory=EvidenceSettings)
    evacuation: EvacuationSettings = field(default_factory=EvacuationSettings)
    demand: DemandSettings = field(default_factory=DemandSettings)
    quota: QuotaSettings = field(default_factory=QuotaSettings)
    slow_start: SlowStartSettings | None = None
    failover_cost: CostEstimatorSettings | None = None
    home_zone: str = ""


@dataclass(slots=True, frozen=True)
class SendMessage:
    """A message for a member."""

    member: int
    data: bytes


@dataclass(slots=True, frozen=True)
class ThresholdUpdate:
    """What is admitted until `expires_at`; all, without a threshold. retry_after_ms: when a request that is
    rejected now should find capacity; 0: nothing is known."""

    threshold: DensityThreshold | None
    expires_at: float
    retry_after_ms: float = 0.0


Action = SendMessage | EngineBounds | PhaseChange | ThresholdUpdate


class FleetCoordinator:
    """The state of one instance.

    self_id: its id among members; incarnation: grows with each start; is_only_process: it is no successor
    beside an older process of its dispatcher.
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
        self.reporting = ZoneReporting(self_id, _reporting_settings(settings), self.overrides, self.random)
        self.reports = self.reporting.reports
        self.assessment = ZoneAssessment(
            AssessmentSettings(settings.checks_are_shared, settings.max_check_age_ms),
            self.evidence,
            self.evacuation,
            self.overrides,
            self._planned_share,
        )
        owned = 1 / settings.dispatchers
        self.quotas = QuotaAccount(now, owned, self.random.getrandbits(30), settings.quota)
        self._start_optional_parts(now, seed, is_only_process)
        self.engines: dict[str, dict[str, float]] = {}  # zone -> engine -> cores
        self.zone_of: dict[str, str] = {}
        self.zone_numbers: dict[str, int] = {}
        self.live: set[int] = set()
        self.suspected_zones: set[str] = set()  # as of the last step
        self.had_threshold = False
        self.last_bounds: dict[str, float] = {}
        self.next_step, self.next_report = now, now
        self.counters: dict[str, int] = {"words_sent": 0, "bytes_sent": 0, "malformed": 0}

    def _start_optional_parts(self, now: float, seed: int, is_only_process: bool) -> None:
        """The parts that settings may switch off."""
        settings, self_id, incarnation = self.settings, self.self_id, self.incarnation
        self.demand: DemandSharing | None = None
        if settings.sheds_load:
            self.demand = DemandSharing(self_id, incarnation, now, seed, settings.demand)
        self.slow_start: SlowStart | None = None
        if settings.slow_start is not None:
            owned, first_term = 1 / settings.dispatchers, self.random.getrandbits(30)
            self.slow_start = SlowStart(self_id, incarnation, now, settings.slow_start, seed)
            self.warmup_quotas = QuotaAccount(
                now, owned, first_term, settings.slow_start.quota, is_only_process
            )
        self.failover_cost: CostEstimator | None = None
        if settings.failover_cost is not None:
            self.failover_cost = CostEstimator(
                self_id, incarnation, now, settings.home_zone, seed, settings.failover_cost
            )

    def set_engines(self, engines: Mapping[str, Mapping[str, float]], now: float | None = None) -> None:
        """Exactly these engines exist. engines: cores by zone and engine."""
        self.engines = {zone: dict(there) for zone, there in engines.items() if there}
        self.zone_of = {engine: zone for zone, there in self.engines.items() for engine in there}
        self.zone_numbers = {zone: messages.zone_number(zone) for zone in self.engines}
        self.evidence.set_engines(self.engines)
        self.evacuation.set_zones(self.engines)
        self.assessment.set_engines(self.engines)
        if self.failover_cost is not None:
            self.failover_cost.set_engines(self.engines)
        if self.slow_start is not None:
            cores = {engine: n for there in self.engines.values() for engine, n in there.items()}
            self.slow_start.set_engines(self.started_at if now is None else now, cores)

    def on_loss(
        self, now: float, scope: OutageScope, zones: Iterable[str] | None = None, since: float = math.inf
    ) -> None:
        """The membership survey has found an outage of this scope; since: when the first of those lost came
        back."""
        if self.slow_start is not None:
            engines = None if zones is None else [e for zone in zones for e in self.engines.get(zone, ())]
            self.slow_start.on_loss(now, scope, engines, since)
            self.next_step = now

    def set_incarnation(self, incarnation: int) -> None:
        """Reports carry this incarnation from now on; others know of a later one than this started with."""
        self.incarnation = incarnation & MAX_UINT32
        for part in (self.demand, self.slow_start, self.failover_cost):
            if part is not None:
                part.incarnation = self.incarnation

    def set_members(self, now: float, live: Iterable[int], left: Iterable[int] = ()) -> None:
        """Which other members are alive, and which have left by their own announcement."""
        self.live = set(live) - {self.self_id}
        self.electorate.see(now, self.live)
        departed = [member for member in left if member not in self.live]
        self.electorate.remove(departed)
        self.reports.forget(departed)
        self.quotas.forget(departed)

    def on_request(self, now: float, query_class: int) -> None:
        """A request has arrived; the usual work of its class counts as offered."""
        self.offered_load.add(now, self.evidence.usual_work_ms(query_class))

    def on_attempt_sent(self, now: float, attempt_id: str, engine: str, query_class: int) -> None:
        """An attempt has been sent."""
        self.evidence.on_sent(now, attempt_id, engine, self.zone_of.get(engine, ""), query_class)

    def on_attempt_ended(
        self, now: float, attempt_id: str, good: bool | None, elapsed_ms: float, work_ms: float = 0.0
    ) -> None:
        """An attempt has succeeded, failed, or was cancelled here (None). work_ms: as the engine reports it,
        0 where it does not."""
        attempt = self.evidence.open_attempts.get(attempt_id)
        if attempt is not None and good is not None:
            if self.slow_start is not None:
                work_ms = work_ms or self.evidence.usual_work_ms(attempt.query_class)
                self.slow_start.on_answer(now, attempt.engine, good, work_ms, elapsed_ms)
            if self.failover_cost is not None:
                self.failover_cost.unstable_engines.on_result(now, attempt.engine, good)
        self.evidence.on_ended(now, attempt_id, good, elapsed_ms)

    def on_health_check(self, now: float, engine: str, good: bool) -> None:
        """A health check by this instance has ended, or a good one by another."""
        self.assessment.on_health_check(now, engine, good)
        if self.slow_start is not None:
            self.slow_start.on_health_check(now, engine, good)
        if self.failover_cost is not None:
            self.failover_cost.unstable_engines.on_result(now, engine, good)

    def on_message(self, now: float, sender: int, data: bytes) -> list[Action]:
        """A message from a member; a malformed one is counted and changes nothing."""
        try:
            return self._dispatch(now, sender, data)
        except MessageError:
            self.counters["malformed"] += 1
            return []

    def _dispatch(self, now: float, sender: int, data: bytes) -> list[Action]:
        """Hand a message to the part that its kind is for. Raises MessageError."""
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
        if reception.is_alarming:
            self.next_report = min(self.next_report, self.next_step)
        return reception.reply

    def issue_override(
        self, now: float, zone: str, mode: OverrideMode, lasts_ms: float, requested_by: str, reason: str
    ) -> bool:
        """An operator's override at this instance; returns false if there is no such zone."""
        if zone not in self.zone_numbers:
            return False
        self.overrides.issue(self.zone_numbers[zone], mode, now + lasts_ms, requested_by, reason)
        self.next_step = self.next_report = now
        return True

    def next_at(self) -> float:
        """When `step` is due."""
        return self.next_step

    def step(self, now: float) -> list[Action]:
        """Let each part decide, and return what follows."""
        if now < self.next_step:
            return []
        self.next_step = now + self._step_interval_ms(now)
        self.electorate.see(now, self.live)
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
        """Until the next step; shorter just after a start with cold engines, when no threshold is known yet
        and each request would be admitted."""
        interval_ms = self.settings.step_interval_ms
        if self.demand is None or self.slow_start is None or not self.slow_start.is_active:
            return interval_ms
        just_started = now - self.started_at < self.slow_start.settings.settle_ms / 2
        return interval_ms / HURRIED_STEPS if just_started else interval_ms

    def _decide_zones(
        self, now: float, reports: Mapping[str, list[ZoneReport]], electorate: int
    ) -> list[PhaseChange]:
        """Evacuate zones and return to them. What is new is reported at once, without waiting for a round."""
        assessed = self.assessment.assess(now, self._fleet_load(now))
        changes = self.evacuation.step(now, assessed, reports, electorate)
        suspected = {zone for zone, evidence in assessed.items() if evidence.suspects_failure}
        if changes or suspected - self.suspected_zones:
            self.next_report = now
        self.suspected_zones = suspected
        for change in changes:
            evacuated, returning = change.phase is Phase.EVACUATED, change.phase is Phase.RETURNING
            self.evidence.reset(change.zone, evacuated, returning)
        return changes

    def _planned_share(self, now: float, zone: str, served_share: float) -> float | None:
        """The share of a zone that the failover plan retains."""
        if self.failover_cost is None:
            return None
        return self.failover_cost.retained_share(now, zone, success_share=served_share)

    def _load_by_member(self, now: float) -> dict[int, float]:
        """Work offered to each instance that reports, in cores."""
        own = self.offered_load.cores(now)
        others = {report.member: report.offered_centicores / 100 for report in self.reporting.fresh}
        return {self.self_id: own, **others}

    def _fleet_load(self, now: float) -> float:
        """Work offered to the whole fleet, in cores; members that do not report count as the mean."""
        by_member = self._load_by_member(now)
        return sum(by_member.values()) * (1 + len(self.live)) / len(by_member)

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
        """Ask members with less than the mean load for quota of the budgets that are bounded."""
        zones = [zone for zone in self.engines if self.evacuation.traffic_share(zone) < 1.0]
        budgets = [self.zone_numbers[zone] for zone in zones]
        if self.slow_start is not None and self.slow_start.is_growing:
            budgets.append(WARMUP_BUDGET)
        if not budgets:
            return []
        load_shares = self._load_shares(now)
        requests = list[QuotaMessage]()
        for budget in budgets if load_shares else ():
            requests += self._account(budget).request(now, budget, load_shares, self.self_id)
        return self._send_quota(requests)

    def _load_shares(self, now: float) -> dict[int, float]:
        """By member, its share of the load of the whole fleet; empty without any load.

        After a restart an instance does not know the usual work of its requests, so the demand that requests
        declare is used where it is shared.
        """
        members, by_member, total = {self.self_id, *self.live}, self._load_by_member(now), 0.0
        if self.slow_start is not None and self.demand is not None:
            by_member = self.demand.offered_cores(now, self.live)
            total = sum(by_member.values()) * len(members) / len(by_member)
        else:
            total = self._fleet_load(now)
        if total <= 0:
            return {}
        mean = total / len(members)
        return {member: by_member.get(member, mean) / total for member in members}

    def _update_threshold(self, now: float) -> list[Action]:
        """Compute the admission threshold, and report this instance's demand."""
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
        """What the admission threshold may fill."""
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
        """The quotas of a zone's budget, or of that of engines that warm up."""
        return self.warmup_quotas if self.slow_start is not None and budget == WARMUP_BUDGET else self.quotas

    def _report(self, now: float) -> list[Action]:
        """A round of reports, and when the next one is due: at the next step while a zone has a fault."""
        # Drawn also where it is not used, and not in step with all others.
        interval_ms = self.settings.report_interval_ms * (0.8 + 0.4 * self.random.random())
        self.next_report = now if self._has_fault() else now + interval_ms
        self.incarnation, self.version = self.reports.next_stamp(self.incarnation, self.version)
        own = self.reporting.own_report(
            (self.incarnation, self.version),
            self.offered_load.centicores(),
            self.evacuation,
            self.evidence,
            self.zone_numbers,
        )
        return self._send(self.reporting.messages(now, own, self.live, self.electorate.voters(now)))

    def _has_fault(self) -> bool:
        """Whether any instance sees a zone that is not in full service."""
        if any(state.phase is not Phase.IN_SERVICE for state in self.evacuation.states.values()):
            return True
        return any(map(self.reporting.is_alarming, self.reporting.fresh))

    def _send(self, messages_out: list[tuple[int, bytes]]) -> list[Action]:
        actions: list[Action] = [SendMessage(member, data) for member, data in messages_out]
        self.counters["words_sent"] += len(actions)
        self.counters["bytes_sent"] += sum(len(data) for _, data in messages_out)
        return actions

    def _send_quota(self, requests: Iterable[QuotaMessage]) -> list[Action]:
        return self._send([(r.member, quota_lending.encode_quota_message(r.message)) for r in requests])

    def status(self, now: float, names: Mapping[int, str]) -> list[dict[str, Any]]:
        """What `cottonhold zone show` prints: one row a zone. names: of members."""
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


def _reporting_settings(settings: FleetSettings) -> ReportingSettings:
    return ReportingSettings(
        settings.gossip_from_members, settings.gossip_fanout, settings.evacuation.max_report_age_ms
    )
