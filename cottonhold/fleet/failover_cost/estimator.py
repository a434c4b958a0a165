"""What the loss of zones would cost, as one instance estimates it from all reports, and what follows. Pure.

Once a second it takes a snapshot of the fleet. What follows of it is solved when it is asked for, once a
snapshot (`snapshot_plan`), and makes four decisions: how much of an evacuated zone to retain, which zones
serve whose clients during an outage, from where clients are served first after a power loss, and what may be
taken out. An answer stands until another is clearly better or its plan is too old; see
docs/design/outlook.md.
"""

from __future__ import annotations

import itertools
import math
import random
from collections.abc import Iterable, Mapping
from dataclasses import replace
from enum import Enum

from cottonhold.fleet.failover_cost.cost_settings import MIN_AMOUNT
from cottonhold.fleet.failover_cost.cross_zone_limits import (
    CrossZoneSettings,
    OutageAllocation,
    UnstableEngines,
    cross_zone_work,
    divide_among_engines,
    fill_in_order,
)
from cottonhold.fleet.failover_cost.estimator_settings import CostEstimatorSettings
from cottonhold.fleet.failover_cost.fleet_snapshot import take_snapshot
from cottonhold.fleet.failover_cost.hysteresis import StableShares
from cottonhold.fleet.failover_cost.messages import SiteReport, decode_site_reports, encode_site_reports
from cottonhold.fleet.failover_cost.projection import Projection
from cottonhold.fleet.failover_cost.site_observations import SiteObservations
from cottonhold.fleet.failover_cost.snapshot_plan import Shares, SnapshotPlan, largest_first, shares_by_zone
from cottonhold.fleet.latest_reports import LatestReports
from cottonhold.fleet.message_format import MAX_UINT32

ROUNDING = 1e-6  # so that a part of a tenth is not rounded down to the one below
NO_PLAN = "no plan: too few instances have told of their sites lately"  # as operators read it


class Question(Enum):
    """A question to a plan about a zone's clients, or about a zone."""

    OUTAGE = "outage"  # who serves them while their zone is out
    FIRST = "first"  # who serves them first while all engines are cold
    NOW = "now"  # who serves them in the present outage
    RETAINED = "retained"  # how much an evacuated zone retains


class CostEstimator:
    """Feed it requests, answers and reports; call `step` ten times a second. home_zone: the instance's."""

    def __init__(
        self,
        self_id: int,
        incarnation: int,
        now: float,
        home_zone: str,
        seed: int,
        settings: CostEstimatorSettings | None = None,
    ) -> None:
        self.self_id, self.incarnation, self.version = self_id, incarnation & MAX_UINT32, 0
        self.home_zone, self.settings = home_zone, settings or CostEstimatorSettings()
        self.random = random.Random(seed)
        self.observations = SiteObservations(now, self.settings.memory_ms)
        self.reports = LatestReports[SiteReport](self_id)
        self.restored_reports: dict[int, SiteReport] = {}  # from before a power loss
        self.engines: dict[str, dict[str, float]] = {}
        self.last_report: SiteReport | None = None  # this instance's own
        self.next_report = self.next_snapshot = self.next_save = now
        self.is_capacity_missing = False
        self.plan: SnapshotPlan | None = None  # the one in force
        self.stable_shares: dict[tuple[Question, str], StableShares] = {}
        self.unstable_engines = UnstableEngines(self.settings.cross_zone or CrossZoneSettings())

    def set_engines(self, engines: Mapping[str, Mapping[str, float]]) -> None:
        """Exactly these zones with these engines exist. engines: cores by zone and engine."""
        self.engines = {zone: dict(engines[zone]) for zone in sorted(engines) if engines[zone]}
        self.unstable_engines.set_engines(engine for there in self.engines.values() for engine in there)

    def on_request(
        self, now: float, utility: float, work_ms: float, data_set: str = "", is_retry: bool = False
    ) -> None:
        """A request of this instance's clients has arrived."""
        if not is_retry:
            self.observations.on_request(now, utility, work_ms, data_set)

    def on_answer(
        self,
        now: float,
        zone: str,
        data_set: str = "",
        round_trip_ms: float | None = None,
        excess_work_ms: float | None = None,
    ) -> None:
        """A zone has answered a query on a data set. round_trip_ms: if known; excess_work_ms: that it took
        beyond the estimate, if both are known."""
        self.observations.on_answer(now, zone, data_set, excess_work_ms)
        if round_trip_ms is not None:
            self.on_health_check_answer(zone, round_trip_ms)

    def on_health_check_answer(self, zone: str, round_trip_ms: float) -> None:
        """A zone has answered a health check: its distance, without any work."""
        self.observations.on_round_trip(zone, round_trip_ms)

    def on_message(self, now: float, data: bytes, sender: int = 0) -> bytes | None:
        """A message of site reports; returns one for its sender if that is behind its own reports. Raises
        MessageError."""
        reports = decode_site_reports(data)
        for report in reports:
            self.reports.apply(now, report)
        newer = self.reports.newer_than(sender, reports)
        return encode_site_reports([newer]) if newer is not None else None

    def restore(self, data: bytes) -> None:
        """A message of site reports that was saved before a power loss. Raises MessageError.

        It may be of any age: so it counts only until there is a first plan, and only for where clients are
        served first. What was warm is no longer.
        """
        for report in decode_site_reports(data):
            known = self.restored_reports.get(report.member)
            if known is None or report.stamp > known.stamp:
                zones = {number: replace(zone, warm_filter=0) for number, zone in report.zones.items()}
                self.restored_reports[report.member] = replace(report, zones=zones)

    def report_to_save(self, now: float) -> bytes:
        """What `restore` is to be given after a power loss; empty where it isn't due, or where there is no
        demand yet: just after a restart that would replace what is still needed."""
        if now < self.next_save or self.last_report is None or not self.last_report.rates:
            return b""
        self.next_save = now + self.settings.save_interval_ms
        return encode_site_reports([self.last_report])

    def step(
        self, now: float, live: Iterable[int], remaining: Mapping[str, float] | None = None
    ) -> list[tuple[int, bytes]]:
        """Take a snapshot if it is due, and return the messages that are due, as (member, message).

        remaining: by zone, the part that the fleet may use now; zones that are not named have all. Snapshots
        are rarer while no capacity is missing, since what follows from them costs time.
        """
        s, members = self.settings, sorted(set(live) - {self.self_id})
        self.observations.recent_demand.rates(now)  # decays, so that what follows is weighed as of now
        if remaining and not self.is_capacity_missing:
            self.next_snapshot = min(self.next_snapshot, now)
        self.is_capacity_missing = bool(remaining)
        if now >= self.next_snapshot:
            is_hurried = self.is_capacity_missing or self.plan is None
            idle_ms = max(s.snapshot_interval_ms, s.idle_snapshot_interval_ms)
            self.next_snapshot = now + (s.snapshot_interval_ms if is_hurried else idle_ms)
            self._take_snapshot(now, members, remaining or {})
        if self.plan is not None and now - self.plan.made_at > s.plan_ttl_ms:
            self.plan = None
            self.stable_shares.clear()
        return self._messages(now, members)

    def _take_snapshot(self, now: float, members: list[int], remaining: Mapping[str, float]) -> None:
        """A new plan, from all fresh reports. Of itself an instance takes what it last reported, rounded as
        on the wire, so that all have the same snapshot. Without enough reports the plan before stands."""
        s = self.settings
        if not members:
            self.last_report = self._next_report(now)
        own_reports = [self.last_report] if self.last_report is not None else []
        reports = [*own_reports, *self.reports.fresh(now, s.max_report_age_ms, members)]
        snapshot = take_snapshot(reports, self.engines, 1 + len(members), None, s.snapshot)
        known = {zone: x for zone, x in sorted(remaining.items()) if x < 1.0 and zone in self.engines}
        if snapshot is None or not snapshot.total_demand():
            self._plan_from_restored(now, known)
            return
        max_zones = 2 if 2 < len(self.engines) <= s.max_zones_for_pairs else 1
        foreseen = frozenset(
            zones for n in range(max_zones) for zones in itertools.combinations(self.engines, n + 1)
        )
        self._set_plan(SnapshotPlan(now, snapshot, known, s.cost, foreseen))

    def _plan_from_restored(self, now: float, remaining: Mapping[str, float]) -> None:
        """Where there was never a plan, restored reports say from where clients are served first."""
        has_answer = any(question is Question.FIRST for question, _ in self.stable_shares)
        if self.plan is not None or not self.restored_reports or has_answer:
            return
        reports = self.restored_reports
        snapshot = take_snapshot(reports.values(), self.engines, len(reports), None, self.settings.snapshot)
        if snapshot is None:
            return
        plan = SnapshotPlan(now, snapshot, remaining, self.settings.cost)
        flows = plan.flows(self._while_warming(plan))
        for home in snapshot.homes:
            self._follow(now, Question.FIRST, home, shares_by_zone(flows, home))

    def _set_plan(self, plan: SnapshotPlan) -> None:
        """This plan is in force from now on. Answers that nobody requested under the one before are dropped,
        so that hysteresis does not weigh them against what is wanted now."""
        before, self.plan = self.plan, plan
        self.restored_reports.clear()
        if before is not None:
            for key in list(self.stable_shares):
                if key[0] in (Question.OUTAGE, Question.FIRST) and key not in before.followed:
                    del self.stable_shares[key]

    def _while_warming(self, plan: SnapshotPlan) -> dict[str, float]:
        """What remains of zones at first, if all engines were cold."""
        share = self.settings.warming_share
        return {zone: min(share, plan.remaining.get(zone, 1.0)) for zone in self.engines}

    def _follow(self, now: float, question: Question, zone: str, wanted: dict[str, float]) -> None:
        stable = self.stable_shares.get((question, zone))
        if stable is None:
            self.stable_shares[question, zone] = StableShares(wanted)
        else:
            stable.follow(now, wanted, self.settings.hysteresis)

    def projection(self, *lost_zones: str) -> Projection | None:
        """What it would cost if these zones were out now; None if that is not foreseen or too old."""
        return None if self.plan is None else self.plan.projection(tuple(sorted(lost_zones)))

    def projection_with(self, remaining: Mapping[str, float]) -> Projection | None:
        """What it would cost if so much remained of these zones, on top of what is missing now."""
        return None if self.plan is None else self.plan.project({**self.plan.remaining, **remaining})

    def neighbours(self, zone: str) -> Shares:
        """Which zones serve a zone's clients while it is out, and what part of their served work; most first.
        Empty without a plan."""
        if self.plan is not None and (zone,) in self.plan.foreseen:
            self._answer_once(self.plan, Question.OUTAGE, zone, self.plan.without(zone))
        return self._stable_answer(Question.OUTAGE, zone)

    def serving_zones(self, home: str, *lost_zones: str) -> Shares:
        """Which zones are best to serve a zone's clients while these zones are out, beyond what remains of
        them; most first. Empty without a plan, or where nothing is served."""
        lost_zones = tuple(sorted(lost_zones))
        if len(lost_zones) == 1 and lost_zones[0] == home:
            return self.neighbours(home)
        if self.plan is None or lost_zones and lost_zones not in self.plan.foreseen:
            return ()
        return largest_first(shares_by_zone(self.plan.flows(self.plan.without(*lost_zones)), home))

    def useful_cores(self, *lost_zones: str) -> float | None:
        """Cores that are left for work while these zones are out, once cold work is done; None if unknown."""
        projection = self.projection(*lost_zones)
        return None if projection is None else projection.useful_cores

    def first_serving_zones(self, home: str) -> Shares:
        """From where a zone's clients are served first while all engines are cold; empty without a plan, or
        where they are served by none at first. Until there is a plan, by restored reports."""
        if self.plan is not None and home in self.plan.snapshot.homes:
            self._answer_once(self.plan, Question.FIRST, home, self._while_warming(self.plan))
        return self._stable_answer(Question.FIRST, home)

    def _answer_once(
        self, plan: SnapshotPlan, question: Question, zone: str, remaining: Mapping[str, float]
    ) -> None:
        """Let a plan's answer count once, when it is first requested."""
        if (question, zone) not in plan.followed:
            plan.followed.add((question, zone))
            self._follow(plan.made_at, question, zone, shares_by_zone(plan.flows(remaining), zone))

    def _stable_answer(self, question: Question, zone: str) -> Shares:
        stable = self.stable_shares.get((question, zone))
        return largest_first(stable.shares) if stable is not None else ()

    def engine_limits(self, now: float, remaining: Mapping[str, float]) -> dict[str, float]:
        """By engine, the work in ms a ms that this instance may send to other zones than its clients' own,
        while so much remains of these zones; none for those themselves. Empty while no capacity is missing,
        without a plan, or where no plan knows of this outage."""
        s, home = self.settings.cross_zone, self.home_zone
        if s is None:
            return {}
        allocation = self._current_allocation(remaining)
        if allocation is None:
            self.stable_shares.pop((Question.NOW, home), None)
            return {}
        self._follow(now, Question.NOW, home, shares_by_zone(allocation.flows, home))
        shares = self.stable_shares[Question.NOW, home].shares
        demand, is_home_evacuated = self.observations.offered_cores(now), remaining.get(home, 1.0) < 1.0
        by_zone = cross_zone_work(home, shares, demand, allocation, is_home_evacuated, s)
        demand_share = demand / max(math.fsum(allocation.demand.values()), demand, MIN_AMOUNT)
        limits = dict[str, float]()
        for zone, work in by_zone.items():
            if remaining.get(zone, 1.0) >= 1.0:
                engines = self.engines.get(zone, {})
                cold = [engine for engine in engines if self.unstable_engines.may_be_cold(now, engine)]
                limits |= divide_among_engines(work, engines, cold, demand_share, s)
        return limits

    def warmup_limits(self, now: float, limits: Mapping[str, float]) -> dict[str, float]:
        """While all engines are cold, their limits narrowed to what is needed, in the order of
        `first_serving_zones`; as they are where nothing says from where clients are served first. limits:
        work in ms a ms by engine."""
        s, order = self.settings.cross_zone, [zone for zone, _ in self.first_serving_zones(self.home_zone)]
        if s is None or not order:
            return dict(limits)
        by_zone = {
            zone: math.fsum(limits.get(engine, cores) for engine, cores in engines.items())
            for zone, engines in self.engines.items()
        }
        parts = fill_in_order(order, self.observations.offered_cores(now), by_zone, s)
        zone_of = {engine: zone for zone, engines in self.engines.items() for engine in engines}
        return {engine: x * parts.get(zone_of.get(engine, ""), 1.0) for engine, x in limits.items()}

    def _current_allocation(self, remaining: Mapping[str, float]) -> OutageAllocation | None:
        """What the plan says of now; None if no capacity is missing, or the plan does not know of it."""
        missing = sorted(zone for zone, x in remaining.items() if x < 1.0 and zone in self.engines)
        if self.plan is None or not missing and not self.settings.limits_when_calm:
            return None
        return self.plan.outage_allocation(tuple(missing))

    def retained_share(
        self, now: float, zone: str, available_share: float = 1.0, success_share: float = 1.0
    ) -> float | None:
        """The part of a zone's full load that is best still sent there while it is evacuated; None without a
        plan.

        available_share: part of its cores that is still there; success_share: of its attempts. Both are
        rounded to tenths: what differs by less is the same question, and is solved once.
        """
        plan = self.plan
        if plan is None or zone not in plan.snapshot.zones:
            return None
        available_tenths = math.floor(min(available_share, 1.0) * 10 + ROUNDING)
        question = zone, available_tenths / 10, math.ceil(success_share * 10) / 10
        share = plan.retained_shares.get(question)
        if share is None:
            share = plan.retained_shares[question] = self._solve_retained(plan, *question)
        wanted = share if share >= self.settings.min_retained_share else 0.0
        self._follow(now, Question.RETAINED, zone, {zone: wanted})
        return self.stable_shares[Question.RETAINED, zone].shares.get(zone, 0.0)

    def _solve_retained(
        self, plan: SnapshotPlan, zone: str, available_share: float, success_share: float
    ) -> float:
        """The part of a faulty zone's full load that an allocation sends there."""
        remaining = {**plan.remaining, zone: available_share}
        flows = plan.solve(remaining, {zone: success_share}).allocation.flows
        used = math.fsum(cores for (_, at, _), cores in flows.items() if at == zone)
        usable = plan.snapshot.zones[zone].cores * self.settings.cost.usable_capacity_share
        return min(used / max(usable, MIN_AMOUNT), 1.0)

    def removal_objections(
        self, removed_cores: Mapping[str, float], additional_cores: Mapping[str, float] | None = None
    ) -> list[str]:
        """Why so many cores by zone, and `additional_cores`, may not be removed now; empty if any single
        zone's loss on top stays bearable."""
        plan = self.plan
        if plan is None:
            return [NO_PLAN]
        remaining = dict(plan.remaining)
        for zone, view in plan.snapshot.zones.items():
            removed = removed_cores.get(zone, 0.0) + (additional_cores or {}).get(zone, 0.0)
            if removed > 0:
                part = max(1 - removed / max(view.cores, MIN_AMOUNT), 0.0)
                remaining[zone] = min(remaining.get(zone, 1.0), part)
        objections = []
        for zone in sorted(plan.snapshot.zones):
            projection = plan.project({**remaining, zone: 0.0})
            bearable = min(projection.offered_utility, projection.served_utility + projection.lost_utility)
            if projection.served_utility < self.settings.min_bearable_share * bearable:
                share = projection.served_share()
                objections.append(f"with {zone} lost as well {share:.2f} of the worth would be served")
        return objections

    def build_report(self, now: float) -> SiteReport:
        """What this instance reports of itself now."""
        return self.observations.report(
            now,
            self.self_id,
            (self.incarnation, self.version),
            self.home_zone,
            self.engines,
            self.settings.snapshot.default_round_trip_ms,
        )

    def _next_report(self, now: float) -> SiteReport:
        """This instance's next report, as others decode it."""
        self.incarnation, self.version = self.reports.next_stamp(self.incarnation, self.version)
        return decode_site_reports(encode_site_reports([self.build_report(now)]))[0]

    def _messages(self, now: float, members: list[int]) -> list[tuple[int, bytes]]:
        """A round of reports, as (member, message).

        A report nearly fills a message. In a large fleet each instance sends others' reports along in
        messages of their own, so many that each gets reports of more than half of all while they are fresh.
        """
        s = self.settings
        if not members or now < self.next_report:
            return []
        self.next_report = now + s.report_interval_ms * (0.8 + 0.4 * self.random.random())
        self.last_report = own_report = self._next_report(now)
        if len(members) < s.gossip_from_members:
            data = encode_site_reports([own_report])
            return [(member, data) for member in members]
        max_relayed = math.ceil(
            len(members) / s.gossip_fanout * 2 * s.report_interval_ms / s.max_report_age_ms
        )
        fresh = [r.report for r in self.reports.newest() if now - r.received_at <= s.max_report_age_ms]
        messages = [encode_site_reports([report]) for report in (own_report, *fresh[:max_relayed])]
        targets = self.random.sample(members, s.gossip_fanout)
        return [(member, data) for member in targets for data in messages]
