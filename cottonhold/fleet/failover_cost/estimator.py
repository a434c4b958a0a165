"""Estimates what the loss of zones would cost from all reports, and decides by the result; does no I/O.

By default the estimator takes a snapshot of the fleet every second while capacity is missing, else every 3 s.
Results are computed from it on request, once per snapshot (`snapshot_plan`). They decide how much of an
evacuated zone's load to retain, which zones serve whose clients during an outage and first after a power
loss, and which engines may be removed. A result stays until another is clearly better or its plan is too old.
See docs/design/outlook.md.
"""

from __future__ import annotations

import itertools
import math
import random
from collections.abc import Iterable, Mapping
from dataclasses import replace

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
from cottonhold.fleet.failover_cost.snapshot_plan import (
    Question,
    Shares,
    SnapshotPlan,
    largest_first,
    shares_by_zone,
)
from cottonhold.fleet.latest_reports import LatestReports
from cottonhold.fleet.message_format import MAX_UINT32

ROUNDING = 1e-6  # added so that a floating-point error doesn't round an exact tenth down to the one below
NO_PLAN = "no plan: too few instances have recently reported on their sites"  # shown to operators


class CostEstimator:
    """One instance's estimator of the cost of failovers.

    It processes requests, answers and the reports of other instances; call `step` ten times a second.
    `home_zone` is the zone of this instance and its clients; `seed` determines random times and receivers.
    """

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
        self.restored_reports: dict[int, SiteReport] = {}  # reports saved before a power loss, by member
        self.engines: dict[str, dict[str, float]] = {}
        self.last_report: SiteReport | None = None  # this instance's own
        self.next_report = self.next_snapshot = self.next_save = now
        self.is_capacity_missing = False
        self.plan: SnapshotPlan | None = None
        self.stable_shares: dict[tuple[Question, str], StableShares] = {}
        self.unstable_engines = UnstableEngines(self.settings.cross_zone or CrossZoneSettings())

    def set_engines(self, engines: Mapping[str, Mapping[str, float]]) -> None:
        """Set which zones and engines exist, with the cores of each engine by zone."""
        self.engines = {zone: dict(engines[zone]) for zone in sorted(engines) if engines[zone]}
        self.unstable_engines.set_engines(engine for there in self.engines.values() for engine in there)

    def on_request(
        self, now: float, utility: float, work_ms: float, data_set: str = "", is_retry: bool = False
    ) -> None:
        """Count a request of this instance's clients."""
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
        """Count the answer of a zone to a query on a data set. `round_trip_ms` and `excess_work_ms`, the work
        beyond the estimate, are None if they are unknown."""
        self.observations.on_answer(now, zone, data_set, excess_work_ms)
        if round_trip_ms is not None:
            self.on_health_check_answer(zone, round_trip_ms)

    def on_health_check_answer(self, zone: str, round_trip_ms: float) -> None:
        """Record the round trip of a health check, which contains no work."""
        self.observations.record_round_trip(zone, round_trip_ms)

    def on_message(self, now: float, data: bytes, sender: int = 0) -> bytes | None:
        """Apply a message of site reports; return one for its sender if the sender has lost its own newest
        report. Raises MessageError."""
        reports = decode_site_reports(data)
        for report in reports:
            self.reports.apply(now, report)
        newer = self.reports.newer_than(sender, reports)
        return encode_site_reports([newer]) if newer is not None else None

    def restore(self, data: bytes) -> None:
        """Apply a message of site reports saved before a power loss. Since its age is unknown, it is used
        only for `first_serving_zones` until there is a first plan, and without its warm data sets. Raises
        MessageError."""
        for report in decode_site_reports(data):
            known = self.restored_reports.get(report.member)
            if known is None or report.stamp > known.stamp:
                zones = {number: replace(zone, warm_filter=0) for number, zone in report.zones.items()}
                self.restored_reports[report.member] = replace(report, zones=zones)

    def report_to_save(self, now: float) -> bytes:
        """Return the message to pass to `restore` after a power loss; empty if no save is due, or while there
        is no demand: just after a restart it would replace a saved report that is still needed."""
        if now < self.next_save or self.last_report is None or not self.last_report.rates:
            return b""
        self.next_save = now + self.settings.save_interval_ms
        return encode_site_reports([self.last_report])

    def step(
        self, now: float, live: Iterable[int], remaining: Mapping[str, float] | None = None
    ) -> list[tuple[int, bytes]]:
        """Take a snapshot if it is due, and return the messages that are due, as (member, message).

        `remaining` is the part of each zone that the fleet may use now; zones that are not named are fully
        usable. Snapshots are rarer while no capacity is missing, because their results take processor time.
        """
        s, members = self.settings, sorted(set(live) - {self.self_id})
        self.observations.recent_demand.rates(now)  # applies the decay up to now
        if remaining and not self.is_capacity_missing:
            self.next_snapshot = min(self.next_snapshot, now)
        self.is_capacity_missing = bool(remaining)
        if now >= self.next_snapshot:
            is_plan_urgent = self.is_capacity_missing or self.plan is None
            idle_ms = max(s.snapshot_interval_ms, s.idle_snapshot_interval_ms)
            self.next_snapshot = now + (s.snapshot_interval_ms if is_plan_urgent else idle_ms)
            self._take_snapshot(now, members, remaining or {})
        if self.plan is not None and now - self.plan.made_at > s.plan_ttl_ms:
            self.plan = None
            self.stable_shares.clear()
        return self._messages(now, members)

    def _take_snapshot(self, now: float, members: list[int], remaining: Mapping[str, float]) -> None:
        """Make a new plan from all fresh reports; without enough of them keep the old one. An instance uses
        its own report as it was sent, with the rounding of the wire format, so that all have the same
        snapshot."""
        s = self.settings
        if not members:
            self.last_report = self._next_report(now)
        local_reports = [self.last_report] if self.last_report is not None else []
        reports = [*local_reports, *self.reports.fresh(now, s.max_report_age_ms, members)]
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
        """Determine from restored reports which zones serve clients first, if there never was a plan."""
        has_answer = any(question is Question.FIRST for question, _ in self.stable_shares)
        if self.plan is not None or not self.restored_reports or has_answer:
            return
        reports = self.restored_reports
        snapshot = take_snapshot(reports.values(), self.engines, len(reports), None, self.settings.snapshot)
        if snapshot is None:
            return
        plan = SnapshotPlan(now, snapshot, remaining, self.settings.cost)
        flows = plan.flows(self._remaining_while_cold(plan))
        for home in snapshot.homes:
            self._update_shares(now, Question.FIRST, home, shares_by_zone(flows, home))

    def _set_plan(self, plan: SnapshotPlan) -> None:
        """Use a new plan. Results that nobody requested under the old one are dropped, so that hysteresis
        doesn't compare new results with them."""
        before, self.plan = self.plan, plan
        self.restored_reports.clear()
        if before is not None:
            for key in list(self.stable_shares):
                if key[0] in (Question.OUTAGE, Question.FIRST) and key not in before.applied_questions:
                    del self.stable_shares[key]

    def _remaining_while_cold(self, plan: SnapshotPlan) -> dict[str, float]:
        """Return the part of each zone that is usable at first if all engines are cold."""
        share = self.settings.warming_share
        return {zone: min(share, plan.remaining.get(zone, 1.0)) for zone in self.engines}

    def _update_shares(self, now: float, question: Question, zone: str, wanted: dict[str, float]) -> None:
        """Update the stable answer to a question with a new result."""
        stable = self.stable_shares.get((question, zone))
        if stable is None:
            self.stable_shares[question, zone] = StableShares(wanted)
        else:
            stable.update(now, wanted, self.settings.hysteresis)

    def projection(self, *lost_zones: str) -> Projection | None:
        """Return the cost if these zones were out now; None if that is not foreseen or there is no plan."""
        return None if self.plan is None else self.plan.projection(tuple(sorted(lost_zones)))

    def projection_with(self, remaining: Mapping[str, float]) -> Projection | None:
        """Return the cost if only this part of these zones remained, in addition to the capacity missing
        now."""
        return None if self.plan is None else self.plan.project({**self.plan.remaining, **remaining})

    def failover_zones(self, zone: str) -> Shares:
        """Return the zones that serve a zone's clients while it is out, with their parts of the served work,
        largest first; empty without a plan."""
        if self.plan is not None and (zone,) in self.plan.foreseen:
            self._apply_once(self.plan, Question.OUTAGE, zone, self.plan.without(zone))
        return self._stable_answer(Question.OUTAGE, zone)

    def serving_zones(self, home: str, *lost_zones: str) -> Shares:
        """Return the zones that serve a home's clients best, largest part first, while `lost_zones` are out
        besides the capacity missing now; empty without a plan, or if nothing is served."""
        lost_zones = tuple(sorted(lost_zones))
        if len(lost_zones) == 1 and lost_zones[0] == home:
            return self.failover_zones(home)
        if self.plan is None or lost_zones and lost_zones not in self.plan.foreseen:
            return ()
        return largest_first(shares_by_zone(self.plan.flows(self.plan.without(*lost_zones)), home))

    def useful_cores(self, *lost_zones: str) -> float | None:
        """Return the cores that remain for work besides cold work while these zones are out; None if
        unknown."""
        projection = self.projection(*lost_zones)
        return None if projection is None else projection.useful_cores

    def first_serving_zones(self, home: str) -> Shares:
        """Return the zones that serve a home's clients first while all engines are cold, largest part first;
        empty if there are none. Until there is a plan, restored reports are used."""
        if self.plan is not None and home in self.plan.snapshot.homes:
            self._apply_once(self.plan, Question.FIRST, home, self._remaining_while_cold(self.plan))
        return self._stable_answer(Question.FIRST, home)

    def _apply_once(
        self, plan: SnapshotPlan, question: Question, zone: str, remaining: Mapping[str, float]
    ) -> None:
        """Update a stable answer with a plan's result when it is first requested."""
        if (question, zone) not in plan.applied_questions:
            plan.applied_questions.add((question, zone))
            self._update_shares(plan.made_at, question, zone, shares_by_zone(plan.flows(remaining), zone))

    def _stable_answer(self, question: Question, zone: str) -> Shares:
        """Return the current stable answer to a question."""
        stable = self.stable_shares.get((question, zone))
        return largest_first(stable.shares) if stable is not None else ()

    def engine_limits(self, now: float, remaining: Mapping[str, float]) -> dict[str, float]:
        """Return the work in ms per ms that this instance may send to each engine outside its home zone,
        while only the part `remaining` of some zones is left. The engines of these zones have no limit. Empty
        while no capacity is missing, or without a plan for this outage."""
        s, home = self.settings.cross_zone, self.home_zone
        if s is None:
            return {}
        allocation = self._current_allocation(remaining)
        if allocation is None:
            self.stable_shares.pop((Question.NOW, home), None)
            return {}
        self._update_shares(now, Question.NOW, home, shares_by_zone(allocation.flows, home))
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
        """Return these limits, in ms of work per ms by engine, narrowed to what is needed while all engines
        are cold. Zones are filled in the order of `first_serving_zones`; if there is none, the limits stay as
        they are."""
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
        """Return the plan's allocation for the present outage; None if no capacity is missing or the plan has
        no allocation for it."""
        missing = sorted(zone for zone, part in remaining.items() if part < 1.0 and zone in self.engines)
        if self.plan is None or not missing and not self.settings.limits_when_calm:
            return None
        return self.plan.outage_allocation(tuple(missing))

    def retained_share(
        self, now: float, zone: str, available_share: float = 1.0, success_share: float = 1.0
    ) -> float | None:
        """Return the part of a zone's full load that is best still sent there while it is evacuated; None
        without a plan. `available_share` is the part of its cores that is available, `success_share` that
        of its attempts that succeed; both are rounded to tenths, so that similar questions are solved
        only once."""
        plan = self.plan
        if plan is None or zone not in plan.snapshot.zones:
            return None
        available_tenths = math.floor(min(available_share, 1.0) * 10 + ROUNDING)
        question = zone, available_tenths / 10, math.ceil(success_share * 10) / 10
        share = plan.retained_shares.get(question)
        if share is None:
            share = plan.retained_shares[question] = self._solve_retained(plan, *question)
        wanted = share if share >= self.settings.min_retained_share else 0.0
        self._update_shares(now, Question.RETAINED, zone, {zone: wanted})
        return self.stable_shares[Question.RETAINED, zone].shares.get(zone, 0.0)

    def _solve_retained(
        self, plan: SnapshotPlan, zone: str, available_share: float, success_share: float
    ) -> float:
        """Return the part of a faulty zone's full load that the best allocation sends there."""
        remaining = {**plan.remaining, zone: available_share}
        flows = plan.solve(remaining, {zone: success_share}).allocation.flows
        used = math.fsum(cores for (_, at, _), cores in flows.items() if at == zone)
        usable = plan.snapshot.zones[zone].cores * self.settings.cost.usable_capacity_share
        return min(used / max(usable, MIN_AMOUNT), 1.0)

    def removal_objections(
        self, removed_cores: Mapping[str, float], additional_cores: Mapping[str, float] | None = None
    ) -> list[str]:
        """Return the reasons against removing these cores and `additional_cores`, both by zone; empty if
        afterwards the loss of any single zone would be bearable."""
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
        """Return this instance's report on its site."""
        return self.observations.report(
            now,
            self.self_id,
            (self.incarnation, self.version),
            self.home_zone,
            self.engines,
            self.settings.snapshot.default_round_trip_ms,
        )

    def _next_report(self, now: float) -> SiteReport:
        """Return this instance's next report as others decode it."""
        self.incarnation, self.version = self.reports.next_stamp(self.incarnation, self.version)
        return decode_site_reports(encode_site_reports([self.build_report(now)]))[0]

    def _messages(self, now: float, members: list[int]) -> list[tuple[int, bytes]]:
        """Return a round of reports, as (member, message). A report nearly fills a message, so in a large
        fleet others' reports are relayed in separate messages. There are enough of these that each instance
        receives reports of more than half of the fleet while they are fresh."""
        s = self.settings
        if not members or now < self.next_report:
            return []
        self.next_report = now + s.report_interval_ms * (0.8 + 0.4 * self.random.random())
        self.last_report = local_report = self._next_report(now)
        if len(members) < s.gossip_from_members:
            data = encode_site_reports([local_report])
            return [(member, data) for member in members]
        max_relayed = math.ceil(
            len(members) / s.gossip_fanout * 2 * s.report_interval_ms / s.max_report_age_ms
        )
        fresh = [r.report for r in self.reports.newest() if now - r.received_at <= s.max_report_age_ms]
        messages = [encode_site_reports([report]) for report in (local_report, *fresh[:max_relayed])]
        targets = self.random.sample(members, s.gossip_fanout)
        return [(member, data) for member in targets for data in messages]
