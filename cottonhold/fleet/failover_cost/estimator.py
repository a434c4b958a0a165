"""One instance's outlook: what it tells, what all told, and the plan that follows from it. Pure.

Once a second it draws the picture of the fleet. What follows of it is divided when it is asked for, once a
picture (`plan.py`), and makes four decisions: how much of a zone to keep that is left in part, which
neighbours serve whose clients, from where clients are served first after a power loss, and what may be taken
out. A plan stands until another is clearly better or it is too old; see docs/design/outlook.md.
"""

from __future__ import annotations

import itertools
import math
import random
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, replace

from cottonhold.fleet.admission.demand import Demand, density_step
from cottonhold.fleet.failover_cost.cross_zone_limits import (
    CrossZoneSettings,
    OutageAllocation,
    UnstableEngines,
    cross_zone_work,
    divide_among_engines,
    fill_in_order,
)
from cottonhold.fleet.failover_cost.fleet_snapshot import SnapshotSettings, take_snapshot
from cottonhold.fleet.failover_cost.hysteresis import HeldShares, HysteresisSettings, UsageWeights
from cottonhold.fleet.failover_cost.messages import (
    SiteReport,
    ZoneObservation,
    data_set_number,
    decode_site_reports,
    encode_site_reports,
    filter_bits,
)
from cottonhold.fleet.failover_cost.projection import CostSettings, Projection
from cottonhold.fleet.failover_cost.snapshot_plan import Shares, SnapshotPlan, largest_first, shares_by_zone
from cottonhold.fleet.latest_reports import LatestReports
from cottonhold.fleet.zone_failover.messages import zone_number

RECENT_MEMORY_MS = 700.0  # ms: the memory of the quicker count of an instance's own demand


@dataclass(slots=True, frozen=True)
class CostEstimatorSettings:
    """Times in ms. fresh: so old may another's word be. every: a new picture, while
    something is out or there is no plan yet; idle: else. stands: so long a plan counts
    without fresh news of enough instances. rest: a round of words. close, fanout: as with the price's words.
    memory: of which data sets are warm where. zones: up to so many zones pairs may be asked of.

    bear: part of the worth asked for, or of what is served now if that is less, that
    must be served with any one zone lost. ramp: part of the cores that cold engines give first.
    least: a smaller part of a zone is not worth the queries that it holds up. guests: which zones serve whose
    clients while something is out; none: any.
    """

    max_report_age_ms: float = 5000.0
    snapshot_interval_ms: float = 1000.0
    idle_snapshot_interval_ms: float = 3000.0
    plan_ttl_ms: float = 30_000.0
    report_interval_ms: float = 1000.0
    gossip_from_members: int = 9
    gossip_fanout: int = 4
    memory_ms: float = 10_000.0
    max_zones_for_pairs: int = 8
    min_bearable_share: float = 0.85
    warming_share: float = 0.2
    min_retained_share: float = 0.1
    snapshot: SnapshotSettings = field(default_factory=SnapshotSettings)
    cost: CostSettings = field(default_factory=CostSettings)
    hysteresis: HysteresisSettings = field(default_factory=HysteresisSettings)
    cross_zone: CrossZoneSettings | None = field(default_factory=CrossZoneSettings)
    limits_when_calm: bool = False
    save_interval_ms: float = 5000.0


class CostEstimator:
    """Feed it requests, answers and words; call `step` ten times a second. `home`: the instance's zone."""

    def __init__(
        self,
        me: int,
        life: int,
        now: float,
        home: str,
        seed: int,
        settings: CostEstimatorSettings | None = None,
    ) -> None:
        self.self_id, self.incarnation, self.home_zone = me, life & 0xFFFFFFFF, home
        self.settings = s = settings or CostEstimatorSettings()
        self.draw = random.Random(seed)
        self.reports, self.demand = LatestReports[SiteReport](me), Demand(now)
        self.recent_demand = Demand(now, RECENT_MEMORY_MS)
        self.restored_reports: dict[int, SiteReport] = {}  # from before a power loss
        self.data_set_use, self.answer_use = UsageWeights(2000.0), UsageWeights(s.memory_ms)
        self.request_work_ms, self.request_count = 0.0, 0.0  # of requests, for their mean
        self.excess_work, self.excess_known_since = (
            UsageWeights(s.memory_ms),
            math.inf,
        )  # work in ms, and since when it is known
        self.round_trips_ms: dict[str, float] = {}
        self.engines: dict[str, dict[str, float]] = {}
        self.version = 0
        self.last_report: SiteReport | None = None  # the word of the last round
        self.next_report = self.next_snapshot = self.next_save = now
        self.is_capacity_missing = False  # something is
        self.plan: SnapshotPlan | None = None  # the one in force
        self.held_shares: dict[tuple[str, str], HeldShares] = {}
        self.unstable_engines = UnstableEngines(s.cross_zone or CrossZoneSettings())

    # --- what happens ---

    def set_engines(self, engines: Mapping[str, Mapping[str, float]]) -> None:
        """Exactly these zones with these engines, and the cores of each, are there."""
        self.engines = {zone: dict(engines[zone]) for zone in sorted(engines) if engines[zone]}
        self.unstable_engines.set_engines(engine for there in self.engines.values() for engine in there)

    def on_request(
        self, now: float, worth: float, work: float, data_set: str = "", retry: bool = False
    ) -> None:
        """A request of this instance's clients has come; work in ms."""
        if retry:
            return
        self.demand.add(now, density_step(worth, work), work)
        self.recent_demand.add(now, 0, work)
        self.data_set_use.add(now, "", data_set_number(data_set), work)
        self.request_work_ms, self.request_count = (
            self.request_work_ms * 0.999 + work,
            self.request_count * 0.999 + 1,
        )

    def on_answer(
        self,
        now: float,
        zone: str,
        data_set: str = "",
        trip: float | None = None,
        beyond: float | None = None,
    ) -> None:
        """A zone has answered a query on a data set; trip: its round trip in ms, if known; beyond: work in ms
        that it took beyond what it was told to need, if both are known."""
        self.answer_use.add(now, zone, data_set_number(data_set), 1.0)
        if beyond is not None:
            self.excess_work.add(now, "", 0, beyond)
            self.excess_known_since = min(self.excess_known_since, now)
        if trip is not None:
            self.on_health_check_answer(zone, trip)

    def on_health_check_answer(self, zone: str, trip: float) -> None:
        """A zone has answered a probe after `trip` ms: its distance, without any work."""
        self.round_trips_ms[zone] = self.round_trips_ms.get(zone, trip) * 0.9 + trip * 0.1

    def on_message(self, now: float, data: bytes, sender: int = 0) -> bytes | None:
        """A message of sites; returns one for its sender, if that is behind. Raises MessageError."""
        sites = decode_site_reports(data)
        for site in sites:
            self.reports.apply(now, site)
        newer = self.reports.newer_than(sender, sites)
        return encode_site_reports([newer]) if newer is not None else None

    def restore(self, data: bytes) -> None:
        """A message of sites that was kept over a power loss. Raises MessageError."""
        # Danger: taken as heard now, a memory of last week would stand beside fresh words and outweigh them.
        # So it counts only until there is a first plan, and only for where clients are served first.
        for site in decode_site_reports(data):
            known = self.restored_reports.get(site.member)
            if known is None or site.stamp > known.stamp:
                # What was warm has gone with the power.
                seen = {number: replace(zone, warm_filter=0) for number, zone in site.zones.items()}
                self.restored_reports[site.member] = replace(site, zones=seen)

    def report_to_save(self, now: float) -> bytes:
        """What `hint` is to be told after a power loss; empty where it isn't time to keep it, or where there
        is nothing worth it."""
        # Danger: one back from nothing would write over what it still needs, before clients have come.
        if now < self.next_save or self.last_report is None or not self.last_report.rates:
            return b""
        self.next_save = now + self.settings.save_interval_ms
        return encode_site_reports([self.last_report])

    # --- step ---

    def step(
        self, now: float, live: Iterable[int], left: Mapping[str, float] | None = None
    ) -> list[tuple[int, bytes]]:
        """Draw the picture where it is time for it, and say what is due, as (member, message). left: by zone,
        the part that the fleet lets it have now; zones that are not named have all."""
        s, members = self.settings, sorted(set(live) - {self.self_id})
        self.recent_demand.rates(now)  # fades, so that what comes next is weighed as of now
        if left and not self.is_capacity_missing:
            self.next_snapshot = min(self.next_snapshot, now)
        self.is_capacity_missing = bool(left)
        if now >= self.next_snapshot:
            # Danger: divided each second also in calm, it took a tenth of a core, and on a machine that had
            # none to spare the instances fell behind with their clients.
            hurried = self.is_capacity_missing or self.plan is None
            self.next_snapshot = now + (
                s.snapshot_interval_ms
                if hurried
                else max(s.snapshot_interval_ms, s.idle_snapshot_interval_ms)
            )
            self._begin(now, members, left or {})
        if self.plan is not None and now - self.plan.made_at > s.plan_ttl_ms:
            self.plan = None
            self.held_shares.clear()
        return self._tell(now, members)

    def _begin(self, now: float, members: list[int], left: Mapping[str, float]) -> None:
        """A new picture, from words of all that are fresh."""
        s = self.settings
        if not members:
            self.last_report = self._say(now)
        # Danger: by its own last request, each would have another picture than those that hear of it; so it
        # takes of itself what it last told, rounded as on the wire.
        own = [self.last_report] if self.last_report is not None else []
        sites = [*own, *self.reports.fresh(now, s.max_report_age_ms, members)]
        picture = take_snapshot(sites, self.engines, 1 + len(members), None, s.snapshot)
        clean = {zone: part for zone, part in sorted(left.items()) if part < 1.0 and zone in self.engines}
        if picture is None or not picture.total_demand():
            self._recall(now, clean)
            return  # the plan of today stands
        most = 2 if 2 < len(self.engines) <= s.max_zones_for_pairs else 1
        ahead = frozenset(out for n in range(most) for out in itertools.combinations(self.engines, n + 1))
        self._take(SnapshotPlan(now, picture, clean, s.cost, ahead))

    def _recall(self, now: float, left: Mapping[str, float]) -> None:
        """Where there was never a plan, what was kept says from where clients are served first."""
        if (
            self.plan is None
            and self.restored_reports
            and not any(what == "first" for what, _ in self.held_shares)
        ):
            picture = take_snapshot(
                self.restored_reports.values(),
                self.engines,
                len(self.restored_reports),
                None,
                self.settings.snapshot,
            )
            if picture is not None:
                plan = SnapshotPlan(now, picture, left, self.settings.cost)
                flows = plan.flows(self._ramp(plan))
                for home in picture.homes:
                    self._follow(now, "first", home, shares_by_zone(flows, home))

    def _take(self, plan: SnapshotPlan) -> None:
        """This plan is in force from now on."""
        old, self.plan = self.plan, plan
        self.restored_reports.clear()
        if old is not None:
            # Danger: what nobody had asked for since would be held against what is wanted now.
            for key in [k for k in self.held_shares if k[0] in ("out", "first") and k not in old.followed]:
                del self.held_shares[key]

    def _ramp(self, plan: SnapshotPlan) -> dict[str, float]:
        """What is left of zones at first, if all engines were cold."""
        return {
            zone: min(self.settings.warming_share, plan.remaining.get(zone, 1.0)) for zone in self.engines
        }

    def _follow(self, now: float, what: str, zone: str, new: dict[str, float]) -> None:
        held = self.held_shares.get((what, zone))
        if held is None:
            self.held_shares[what, zone] = HeldShares(new)
        else:
            held.follow(now, new, self.settings.hysteresis)

    # --- what it decides ---

    def projection(self, *out: str) -> Projection | None:
        """What it would cost if these zones were out now; None if that is not computed or too old."""
        return None if self.plan is None else self.plan.projection(tuple(sorted(out)))

    def projection_with(self, left: Mapping[str, float]) -> Projection | None:
        """What it would cost if so much were left of these zones, on top of what is left now."""
        if self.plan is None:
            return None
        return self.plan.project({**self.plan.remaining, **left})

    def neighbours(self, zone: str) -> Shares:
        """Which zones serve a zone's clients while it is out, and what part of their served work; most first.
        Empty without a plan."""
        if self.plan is not None and (zone,) in self.plan.foreseen:
            self._ask(self.plan, "out", zone, self.plan.without(zone))
        return self._ordered("out", zone)

    def serving_zones(self, home: str, *out: str) -> Shares:
        """Which zones are best to serve a zone's clients while these zones are out, beyond what is left of
        them; most first. Empty without a plan, or where nothing is served."""
        out = tuple(sorted(out))
        if len(out) == 1 and out[0] == home:
            return self.neighbours(home)
        if self.plan is None or out and out not in self.plan.foreseen:
            return ()
        return largest_first(shares_by_zone(self.plan.flows(self.plan.without(*out)), home))

    def useful_cores(self, *out: str) -> float | None:
        """Cores that are left for work while these zones are out, once cold work is done; None if unknown."""
        found = self.projection(*out)
        return None if found is None else found.useful_cores

    def first_serving_zones(self, home: str) -> Shares:
        """From where a zone's clients are served first while all engines are cold; empty without a plan, or
        where they are served by none at first. Until there is a plan, by what was kept."""
        if self.plan is not None and home in self.plan.snapshot.homes:
            self._ask(self.plan, "first", home, self._ramp(self.plan))
        return self._ordered("first", home)

    def _ask(self, plan: SnapshotPlan, what: str, zone: str, left: Mapping[str, float]) -> None:
        """What a plan says counts once, at the first question."""
        if (what, zone) not in plan.followed:
            plan.followed.add((what, zone))
            self._follow(plan.made_at, what, zone, shares_by_zone(plan.flows(left), zone))

    def _ordered(self, what: str, zone: str) -> Shares:
        held = self.held_shares.get((what, zone))
        return largest_first(held.shares) if held is not None else ()

    def engine_limits(self, now: float, left: Mapping[str, float]) -> dict[str, float]:
        """By engine, the work in ms a ms that this instance may send to other zones than its clients' own,
        while so much is left of these zones; none for those themselves. Empty while nothing is out, without a
        plan, or where no plan knows of what is out."""
        s = self.settings.cross_zone
        if s is None:
            return {}
        scene = self._scene({zone: x for zone, x in left.items() if x < 1.0 and zone in self.engines})
        if scene is None:
            self.held_shares.pop(("now", self.home_zone), None)
            return {}
        self._follow(now, "now", self.home_zone, shares_by_zone(scene.flows, self.home_zone))
        mine = self._mine(now)
        shares = self.held_shares["now", self.home_zone].shares
        zones = cross_zone_work(self.home_zone, shares, mine, scene, left.get(self.home_zone, 1.0) < 1.0, s)
        ours, found = mine / max(math.fsum(scene.demand.values()), mine, 1e-9), dict[str, float]()
        for zone, most in zones.items():
            if left.get(zone, 1.0) >= 1.0:
                there = self.engines.get(zone, {})
                cold = [engine for engine in there if self.unstable_engines(now, engine)]
                found |= divide_among_engines(most, there, cold, ours, s)
        return found

    def _mine(self, now: float) -> float:
        """This instance's own demand, in cores."""
        # Danger: of clients that were led here a moment ago the slower count knows only a part.
        return max(math.fsum(count.rates(now).values()) for count in (self.demand, self.recent_demand))

    def warmup_limits(self, now: float, bounds: Mapping[str, float]) -> dict[str, float]:
        """While all engines are cold, the bounds of each narrowed to what is needed, in the order of `first`;
        as they are where nothing says from where clients are served first. bounds: work in ms a ms."""
        order, s = [zone for zone, _ in self.first_serving_zones(self.home_zone)], self.settings.cross_zone
        if s is None or not order:
            return dict(bounds)
        most = {
            zone: math.fsum(bounds.get(engine, cores) for engine, cores in there.items())
            for zone, there in self.engines.items()
        }
        parts, zones = fill_in_order(order, self._mine(now), most, s), dict[str, str]()
        for zone, there in self.engines.items():
            zones |= dict.fromkeys(there, zone)
        return {engine: x * parts.get(zones.get(engine, ""), 1.0) for engine, x in bounds.items()}

    def _scene(self, left: Mapping[str, float]) -> OutageAllocation | None:
        """What the plan says of now; None if nothing is out, or the plan does not know of what is."""
        plan = self.plan
        if plan is None or not left and not self.settings.limits_when_calm:
            return None
        return plan.outage_allocation(tuple(sorted(left)))

    def retained_share(self, now: float, zone: str, gives: float = 1.0, good: float = 1.0) -> float | None:
        """The part of a zone's full load that is best still sent there while it is left; None without a plan.

        gives: part of its cores that it still gives; good: part of its attempts that end well.
        """
        s, plan = self.settings, self.plan
        if plan is None or zone not in plan.snapshot.zones:
            return None
        # Danger: asked ten times a second for each zone, in calm as well, divisions took six times the time
        # of all the rest. What differs by less than the hysteresis lets through is the same question.
        asked = zone, math.floor(min(gives, 1.0) * 10 + 1e-6) / 10, math.ceil(good * 10) / 10
        kept = plan.retained_shares.get(asked)
        if kept is None:
            kept = plan.retained_shares[asked] = self._keep(plan, *asked)
        self._follow(now, "kept", zone, {zone: kept if kept >= s.min_retained_share else 0.0})
        return self.held_shares["kept", zone].shares.get(zone, 0.0)

    def _keep(self, plan: SnapshotPlan, zone: str, gives: float, good: float) -> float:
        """The part of an ill zone's full load that a division sends there."""
        cost = self.settings.cost
        _, found = plan.solve({**plan.remaining, zone: gives}, {zone: good})
        used = math.fsum(x for (_, at, _), x in found.flows.items() if at == zone)
        return min(used / max(plan.snapshot.zones[zone].cores * cost.usable_capacity_share, 1e-9), 1.0)

    def removal_objections(
        self, machines: Mapping[str, float], more: Mapping[str, float] | None = None
    ) -> list[str]:
        """Why so many cores by zone, and `more` of them, may not be out now; empty if any single zone's loss
        on top stays bearable."""
        s, plan = self.settings, self.plan
        if plan is None:
            return ["no plan: too few instances have told of their sites lately"]
        left = dict(plan.remaining)
        for zone, view in plan.snapshot.zones.items():
            gone = machines.get(zone, 0.0) + (more or {}).get(zone, 0.0)
            if gone > 0:
                left[zone] = min(left.get(zone, 1.0), max(1 - gone / max(view.cores, 1e-9), 0.0))
        reasons = []
        for zone in sorted(plan.snapshot.zones):
            found = plan.project({**left, zone: 0.0})
            least = s.min_bearable_share * min(
                found.offered_utility, found.served_utility + found.lost_utility
            )
            if found.served_utility < least:
                share = found.served_share()
                reasons.append(f"with {zone} lost as well {share:.2f} of the worth would be served")
        return reasons

    # --- words ---

    def build_report(self, now: float) -> SiteReport:
        """What this instance tells of itself now."""
        s, numbers = self.settings, {zone: zone_number(zone) for zone in self.engines}
        self.data_set_use.prune(now)
        self.answer_use.prune(now)
        sets = {
            used: self.data_set_use.weight(now, "", used) for _, used in sorted(self.data_set_use.weights)
        }
        total = math.fsum(sets.values())
        parts = {used: w / total for used, w in sets.items() if w > 1e-3 * total} if total > 0 else {}
        zones, counts = {}, dict[str, float]()
        for at, used in self.answer_use.weights:
            counts[at] = counts.get(at, 0.0) + self.answer_use.weight(now, at, used)
        everywhere = max(math.fsum(counts.values()), 1e-9)
        for zone, number in numbers.items():
            warm = 0
            for at, used in self.answer_use.weights:
                # Danger: after one answer, a set is warm in one engine, and the next ones still meet it cold.
                if at == zone and self.answer_use.weight(now, zone, used) >= len(self.engines[zone]):
                    warm |= filter_bits(used)
            trip = self.round_trips_ms.get(zone, s.snapshot.default_round_trip_ms)
            zones[number] = ZoneObservation(trip, counts.get(zone, 0.0) / everywhere, warm)
        mean = self.request_work_ms / self.request_count if self.request_count > 0 else 20.0
        home, rates = zone_number(self.home_zone), self.demand.rates(now)
        return SiteReport(
            self.self_id, self.incarnation, self.version, home, mean, rates, parts, zones, self._beyond(now)
        )

    def _beyond(self, now: float) -> float:
        """Cores that this instance's requests take beyond what they were told to need; -1: not known."""
        s = self.settings.memory_ms
        if now - self.excess_known_since < s / 4:
            return -1.0  # by a few answers, chance would speak
        seen = s * -math.expm1((self.excess_known_since - now) / s)
        return max(self.excess_work.weight(now, "", 0) / seen, 0.0)

    def _say(self, now: float) -> SiteReport:
        """This instance's next word, as others read it."""
        self.incarnation, self.version = self.reports.next_stamp(self.incarnation, self.version)
        return decode_site_reports(encode_site_reports([self.build_report(now)]))[0]

    def _tell(self, now: float, members: list[int]) -> list[tuple[int, bytes]]:
        s = self.settings
        if not members or now < self.next_report:
            return []
        self.next_report = now + s.report_interval_ms * (
            0.8 + 0.4 * self.draw.random()
        )  # not in step with all others
        self.last_report = mine = self._say(now)
        if len(members) < s.gossip_from_members:
            data = encode_site_reports([mine])
            return [(member, data) for member in members]
        # Danger: a word nearly fills a datagram. With the own one alone each of fifty heard of twenty in the
        # time for which a word is fresh, less than half of them, and there was never a plan.
        most = math.ceil(len(members) / s.gossip_fanout * 2 * s.report_interval_ms / s.max_report_age_ms)
        passed = [h.report for h in self.reports.newest() if now - h.received_at <= s.max_report_age_ms][
            :most
        ]
        told = [encode_site_reports([site]) for site in (mine, *passed)]
        return [(member, data) for member in self.draw.sample(members, s.gossip_fanout) for data in told]
