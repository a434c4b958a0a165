"""One instance's part in what the fleet decides of zones: one step function. Pure.

Feed it engines, members, outcomes of attempts and probes, and others' messages; call `step` at `next_at` at
the latest. It returns what to say to whom, what the scheduler may send where, and what has changed.
"""

from __future__ import annotations

import hashlib
import math
import random
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any

from cottonhold.fleet.admission.loads import DemandSettings, DemandSharing
from cottonhold.fleet.admission.threshold import AdmissionThreshold
from cottonhold.fleet.failover_cost.estimator import CostEstimator, CostEstimatorSettings
from cottonhold.fleet.failover_cost.messages import SITE_REPORTS
from cottonhold.fleet.latest_reports import LatestReports
from cottonhold.fleet.message_format import MAX_MESSAGE_BYTES, MessageError
from cottonhold.fleet.recovery import warmup_messages
from cottonhold.fleet.recovery.slow_start import WARMUP_BUDGET, OutageScope, SlowStart, SlowStartSettings
from cottonhold.fleet.zone_failover import messages, quota_lending
from cottonhold.fleet.zone_failover import operator_overrides as by_hand
from cottonhold.fleet.zone_failover.evacuation import (
    Evacuation,
    EvacuationSettings,
    LocalEvidence,
    Phase,
    PhaseChange,
)
from cottonhold.fleet.zone_failover.failure_evidence import EvidenceSettings, FailureEvidence
from cottonhold.fleet.zone_failover.messages import MemberReport, Vote, ZoneReport


@dataclass(slots=True, frozen=True)
class FleetSettings:
    """Times in ms.

    dispatchers: configured ones; each owns one part of a budget. period: a step, and a round of words while a
    zone is in trouble. rest: a round of words while none is. close: up to so many members each word goes to
    all; beyond, each round goes to `fanout` of them and passes on what it heard. jury: so many vote at most:
    the cost of a vote must not grow with the fleet. price: overload is
    handled as one too. remember: so long one that is not seen any more counts in
    the electorate. bound: a bound holds so long: one that stood still must not go on by an old one.
    probed: whether membership divides the probing of engines, so that a zone's answers are heard of. answers:
    so old may a probe's good answer be. recovery: engines that start get work by a ramp of all; none: off.
    outlook: what a zone's loss would cost is projected, and decides how much is kept of one that is left in
    part, and while one is out which zones serve whose clients; none: off. home: the zone of this instance
    and its clients.
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
    quota: quota_lending.QuotaSettings = field(default_factory=quota_lending.QuotaSettings)
    slow_start: SlowStartSettings | None = None
    failover_cost: CostEstimatorSettings | None = None
    home_zone: str = ""


@dataclass(slots=True, frozen=True)
class SendMessage:
    """A message for a member."""

    member: int
    data: bytes


@dataclass(slots=True, frozen=True)
class EngineBounds:
    """What may be sent to engines from now on: work in ms a ms, until a time; others are free."""

    work_rates: dict[str, float]
    expires_at: float


@dataclass(slots=True, frozen=True)
class ThresholdUpdate:
    """What is let in from now on, until a time; nothing is turned away where there is no price."""

    threshold: AdmissionThreshold | None
    expires_at: float
    retry_after_ms: float = 0.0  # ms after which what is turned away now should find room, while engines warm


Action = SendMessage | EngineBounds | PhaseChange | ThresholdUpdate
MIN_RETAINED_SHARE = 0.1  # a smaller part of a zone is not worth the queries that it holds up


def _rank(member: int) -> bytes:
    return hashlib.blake2b(member.to_bytes(8, "big"), digest_size=8).digest()


class FleetCoordinator:
    """The state of one instance. `me`: its id among members; `life`: grows with each start; `only`: it is no
    successor beside an older process of its dispatcher."""

    def __init__(
        self, me: int, life: int, now: float, settings: FleetSettings, seed: int, only: bool = True
    ) -> None:
        self.self_id, self.incarnation, self.settings, self.started = me, life & 0xFFFFFFFF, settings, now
        self.draw = random.Random(seed)
        self.evidence, self.evacuation = FailureEvidence(settings.evidence), Evacuation(settings.evacuation)
        self.reports, self.overrides = LatestReports[MemberReport](me), by_hand.Overrides(me)
        self.quotas = quota_lending.QuotaAccount(
            now, 1 / settings.dispatchers, self.draw.getrandbits(30), settings.quota
        )
        self.demand = DemandSharing(me, life, now, seed, settings.demand) if settings.sheds_load else None
        self.priced = False
        self.slow_start: SlowStart | None = None
        if settings.slow_start is not None:
            owned, term = 1 / settings.dispatchers, self.draw.getrandbits(30)
            self.slow_start = SlowStart(me, life, now, settings.slow_start, seed)
            self.warmup_quotas = quota_lending.QuotaAccount(now, owned, term, settings.slow_start.quota, only)
        self.failover_cost: CostEstimator | None = None
        if settings.failover_cost is not None:
            self.failover_cost = CostEstimator(
                me, life, now, settings.home_zone, seed, settings.failover_cost
            )
        self.engines: dict[str, dict[str, float]] = {}  # zone -> engine -> cores
        self.zone_of: dict[str, str] = {}
        self.zone_numbers: dict[str, int] = {}
        self.live: set[int] = set()
        self.seen: dict[int, float] = {}  # member -> when it was last live
        self.voters, self.counted = [me], frozenset[int]()  # and of whom they were chosen
        self.heard: list[MemberReport] = []  # fresh words of live members, as of this step
        self.accused: set[str] = set()  # zones that the last step spoke against
        self.answered: dict[str, float] = {}  # engine -> its last good answer to a probe
        self.serves: dict[str, float] = {}  # zone -> share of good signs when it was last in use
        self.work = 0.0  # of requests that came, in ms, forgotten within about a second
        self.work_at = now
        self.version = 0
        self.next_step, self.next_report = now, now
        self.shown: dict[str, float] = {}
        self.counters: dict[str, int] = {"words_sent": 0, "bytes_sent": 0, "malformed": 0}

    # --- what happens ---

    def set_engines(self, engines: Mapping[str, Mapping[str, float]], now: float | None = None) -> None:
        """Exactly these zones with these engines, and the cores of each, are there."""
        self.engines = {zone: dict(there) for zone, there in engines.items() if there}
        self.zone_of = {engine: zone for zone, there in self.engines.items() for engine in there}
        self.zone_numbers = {zone: messages.zone_number(zone) for zone in self.engines}
        self.evidence.set_engines(self.engines)
        self.evacuation.set_zones(self.engines)
        if self.failover_cost is not None:
            self.failover_cost.set_engines(self.engines)
        self.answered = {engine: at for engine, at in self.answered.items() if engine in self.zone_of}
        if self.slow_start is not None:
            cores = {e: n for there in self.engines.values() for e, n in there.items()}
            self.slow_start.set_engines(self.started if now is None else now, cores)

    def on_loss(
        self, now: float, what: OutageScope, zones: Iterable[str] | None = None, since: float = math.inf
    ) -> None:
        """The census tells what has been away: this instance alone, zones, or the fleet, and since when the
        first of those lost is back."""
        if self.slow_start is not None:
            of = None if zones is None else [e for z in zones for e in self.engines.get(z, ())]
            self.slow_start.on_loss(now, what, of, since)
            self.next_step = now

    def set_incarnation(self, life: int) -> None:
        """Words are of this life from now on: others know of a later one than this started with."""
        self.incarnation = life & 0xFFFFFFFF
        for part in (self.demand, self.slow_start, self.failover_cost):
            if part is not None:
                part.incarnation = self.incarnation

    def set_members(self, now: float, live: Iterable[int], left: Iterable[int] = ()) -> None:
        """Who is there now beside this instance, and who said good-bye."""
        self.live = set(live) - {self.self_id}
        self.seen.update(dict.fromkeys(self.live, now))
        gone = [m for m in left if m not in self.live]
        for member in gone:
            self.seen.pop(member, None)
        self.reports.forget(gone)
        self.quotas.forget(gone)

    def on_request(self, now: float, kind: int) -> None:
        """A request has come; its usual time counts as work."""
        usual = self.evidence.usual_durations.get(kind)
        self._fade(now)
        self.work += usual.work() if usual is not None else 0.0

    def on_attempt_sent(self, now: float, ref: str, engine: str, kind: int) -> None:
        """An attempt has gone out."""
        self.evidence.on_sent(now, ref, engine, self.zone_of.get(engine, ""), kind)

    def on_attempt_ended(
        self, now: float, ref: str, good: bool | None, elapsed: float, work: float = 0.0
    ) -> None:
        """An attempt has ended: well, badly, or given up from here (None). work: ms as the engine tells it,
        0 where it does not."""
        attempt = self.evidence.open_attempts.get(ref)
        if self.slow_start is not None and attempt is not None and good is not None:
            self.slow_start.on_answer(now, attempt.engine, good, work or self._usual(attempt.kind), elapsed)
        if self.failover_cost is not None and attempt is not None and good is not None:
            self.failover_cost.unstable_engines.on_result(now, attempt.engine, good)
        self.evidence.on_ended(now, ref, good, elapsed)

    def on_health_check(self, now: float, engine: str, good: bool) -> None:
        """A probe of an engine has ended, by this instance or, if good, as another tells."""
        if good:
            self.answered[engine] = now
        else:
            self.answered.pop(engine, None)
        if self.slow_start is not None:
            self.slow_start.on_health_check(now, engine, good)
        if self.failover_cost is not None:
            self.failover_cost.unstable_engines.on_result(now, engine, good)

    def on_message(self, now: float, sender: int, data: bytes) -> list[Action]:
        """A message from a member; one that makes no sense is counted and changes nothing."""
        newer: bytes | None = None  # for a sender that is behind its own words
        try:
            kind = data[0] if data else 0
            if kind == messages.ZONE_REPORTS:
                newer = self._hear_words(now, sender, data)
            elif kind == messages.DEMAND_REPORTS:
                if self.demand is not None:
                    newer = self.demand.on_message(now, data, sender)
            elif kind == warmup_messages.WARMUP_REPORTS:
                if self.slow_start is not None:
                    self.slow_start.on_message(now, data)
            elif kind == SITE_REPORTS:
                if self.failover_cost is not None:
                    newer = self.failover_cost.on_message(now, data, sender)
            elif kind == messages.OVERRIDES:
                if any([self.overrides.apply(order) for order in by_hand.decode_overrides(now, data)]):
                    self.next_step = now
            else:
                loan = quota_lending.decode_quota_message(data)
                answers = self._purse(loan.zone).on_message(now, sender, loan)
                return self._say([(a.member, quota_lending.encode_quota_message(a.message)) for a in answers])
        except MessageError:
            self.counters["malformed"] += 1
        return self._say([(sender, newer)]) if newer is not None else []

    def _hear_words(self, now: float, sender: int, data: bytes) -> bytes | None:
        told = messages.decode_zone_reports(data)
        news = [word for word in told if self.reports.apply(now, word)]
        if self.next_report > self.next_step and any(map(self._alarming, news)):
            self.next_report = self.next_step
        newer = self.reports.newer_than(sender, told)
        return messages.encode_zone_reports([newer], MAX_MESSAGE_BYTES) if newer is not None else None

    def issue_override(
        self, now: float, zone: str, mode: by_hand.OverrideMode, last: float, who: str, why: str
    ) -> bool:
        """An order by hand at this instance; false if there is no such zone."""
        if zone not in self.zone_numbers:
            return False
        self.overrides.issue(self.zone_numbers[zone], mode, now + last, who, why)
        self.next_step = self.next_report = now
        return True

    # --- step ---

    def next_at(self) -> float:
        """When `step` is due."""
        return self.next_step

    def step(self, now: float) -> list[Action]:
        """Weigh, vote, count, and say what follows."""
        if now < self.next_step:
            return []
        self.next_step = now + self._period(now)
        self.seen.update(dict.fromkeys(self.live, now))
        self.heard = self.reports.fresh(now, self.settings.evacuation.max_report_age_ms, self.live)
        voters = self._voters(now)
        told = self._told(now, voters)
        own = self._own(now)
        turns = self.evacuation.step(now, own, told, len(voters))
        accused = {zone for zone, view in own.items() if view.suspects_failure}
        if turns or accused - self.accused:
            # Danger: the first to see a fault kept it to itself until its next round, a second later.
            self.next_report = now
        self.accused = accused
        actions: list[Action] = list(turns)
        for turn in turns:
            out, back = turn.phase is Phase.EVACUATED, turn.phase is Phase.RETURNING
            self.evidence.reset(turn.zone, absent=out, returning=back)
        if self.slow_start is not None:
            actions += self._say(self.slow_start.step(now, self.live))
        if self.failover_cost is not None:
            actions += self._say(self.failover_cost.step(now, self.live, self._left()))
        actions += self._bounds(now, told)
        actions += self._lend(now)
        actions += self._price(now)
        if now >= self.next_report:
            trouble = self._trouble(now)
            rest = self.settings.report_interval_ms * (
                0.8 + 0.4 * self.draw.random()
            )  # not in step with all others
            self.next_report = now + (0.0 if trouble else rest)
            actions += self._tell(now)
        return actions

    def _period(self, now: float) -> float:
        """Until the next step. One that has just started, with cold engines, weighs what comes sooner."""
        # Danger: for a whole period after its start no price stood, and one that came late let in and served
        # what all others refused.
        if self.slow_start is None or self.demand is None or not self.slow_start.is_active:
            return self.settings.step_interval_ms
        new = now - self.started < self.slow_start.settings.settle_ms / 2
        return self.settings.step_interval_ms / 4 if new else self.settings.step_interval_ms

    def _voters(self, now: float) -> list[int]:
        """All that were there within the last minute; of many, those that a hash of their ids puts first."""
        # Danger: counted by who is seen now, each half of a split fleet would have a majority of its own.
        since = now - self.settings.electorate_memory_ms
        for member in [m for m, at in self.seen.items() if at < since]:
            del self.seen[member]
        if self.seen.keys() != self.counted:
            self.counted = frozenset(self.seen)
            everybody = [self.self_id, *self.seen]
            few = len(everybody) <= self.settings.max_voters
            self.voters = everybody if few else sorted(everybody, key=_rank)[: self.settings.max_voters]
        return self.voters

    def _told(self, now: float, voters: list[int]) -> dict[str, list[ZoneReport]]:
        fresh = self.reports.fresh(
            now, self.settings.evacuation.max_report_age_ms, (m for m in voters if m != self.self_id)
        )
        return {
            zone: [w.zones[number] for w in fresh if number in w.zones]
            for zone, number in self.zone_numbers.items()
        }

    def _own(self, now: float) -> dict[str, LocalEvidence]:
        verdicts, offered = self.evidence.assess(now), self._offered(now)
        own = {}
        for zone, state in self.evacuation.states.items():
            signs = good, late, bad = self.evidence.counts(zone)
            if good + late + bad:
                self.serves[zone] = self.evidence.served_share(zone)
            order = self.overrides.in_force(now, self.zone_numbers[zone])
            ordered = (
                None
                if order is None
                else Vote.EVACUATE
                if order.mode is by_hand.OverrideMode.EVACUATE
                else Vote.KEEP
            )
            floor = self._kept(now, offered, zone)
            floor = floor if floor >= MIN_RETAINED_SHARE else 0.0
            own[zone] = LocalEvidence(
                verdicts[zone],
                signs,
                self.evidence.suspects_failure(zone),
                state.phase is Phase.EVACUATED and self._answers(now, zone, state.since),
                floor,
                ordered,
            )
        return own

    def _kept(self, now: float, offered: float, zone: str) -> float:
        """Share of a zone's full load that is best still sent there while it is left."""
        serves = self.serves.get(zone, 0.0)
        # Danger: of a zone that serves nothing, a plan that keeps a share keeps its clients waiting.
        if self.failover_cost is not None and serves > 0:
            planned = self.failover_cost.retained_share(now, zone, good=serves)
            if planned is not None:
                return min(planned, serves)
        return min(self._lacking(offered, zone), serves)

    def _answers(self, now: float, zone: str, since: float) -> bool:
        """Half of a zone's engines have answered a probe lately, after it was left."""
        if not self.settings.checks_are_shared:
            return True
        there = self.engines[zone]
        late = max(now - self.settings.max_check_age_ms, since)
        return 2 * sum(self.answered.get(engine, -math.inf) > late for engine in there) >= len(there)

    def _offered(self, now: float) -> float:
        """Work offered to the whole fleet, in cores."""
        rates = self._rates(now)
        return sum(rates.values()) * (1 + len(self.live)) / len(rates)

    def _lacking(self, offered: float, zone: str) -> float:
        """Share of a zone's load that the other zones can't carry."""
        # Danger: a zone that is half ill was left, the others fell over under its load, and nothing was left.
        room = {
            z: sum(there.values()) * self.evacuation.traffic_share(z)
            for z, there in self.engines.items()
            if z != zone
        }
        mine = sum(self.engines[zone].values())
        return min(
            max((offered - self.settings.evacuation.usable_capacity_share * sum(room.values())) / mine, 0.0),
            1.0,
        )

    def _rates(self, now: float) -> dict[int, float]:
        """Work offered to each instance that is heard of, in cores."""
        self._fade(now)
        return {self.self_id: self.work / 1000, **{w.member: w.offered_centicores / 100 for w in self.heard}}

    def _fade(self, now: float) -> None:
        self.work *= math.exp((self.work_at - now) / 1000)
        self.work_at = now

    def _bounds(self, now: float, told: dict[str, list[ZoneReport]]) -> list[Action]:
        work, until = dict[str, float](), now + self.settings.bounds_ttl_ms
        for zone, there in self.engines.items():
            pace = self.evacuation.traffic_share(zone, told[zone])
            if pace >= 1.0:
                continue
            part, ends = self.quotas.usable(now, self.zone_numbers[zone]) if pace else (0.0, math.inf)
            until = min(until, ends)
            work |= {engine: cores * pace * part for engine, cores in there.items()}
        if self.slow_start is not None and self.slow_start.is_active:
            part, ends = self.warmup_quotas.usable(now, WARMUP_BUDGET)
            until = min(until, ends)
            for engine, most in self.slow_start.work_limits(part).items():
                work[engine] = min(work.get(engine, math.inf), most)
        if self.failover_cost is not None:
            left = self._left()
            if (
                self.slow_start is not None
                and self.slow_start.is_active
                and left.keys() == self.engines.keys()
            ):
                work = self.failover_cost.warmup_limits(now, work)
            # Danger: one engine that starts is no outage, yet all instances changed their ways for it.
            out = any(self.evacuation.traffic_share(zone) < 1.0 for zone in self.engines)
            for engine, most in self.failover_cost.engine_limits(now, left if out else {}).items():
                work[engine] = min(work.get(engine, math.inf), most)
        if not work and not self.shown:
            return []
        self.shown = work
        return [EngineBounds(work, until)]

    def _left(self) -> dict[str, float]:
        """By zone, the part of its cores that the fleet lets it have now."""
        parts = {}
        for zone, there in self.engines.items():
            part = self.evacuation.traffic_share(zone)
            if self.slow_start is not None and self.slow_start.is_active:
                share = sum(cores * self.slow_start.share(engine) for engine, cores in there.items())
                part = min(part, share / max(sum(there.values()), 1e-9))
            if part < 1.0:
                parts[zone] = part
        return parts

    def _lend(self, now: float) -> list[Action]:
        """Where a zone is bounded, those with more clients than their part ask those with less."""
        budgets = [
            self.zone_numbers[zone] for zone in self.engines if self.evacuation.traffic_share(zone) < 1.0
        ]
        if self.slow_start is not None and self.slow_start.is_growing:
            budgets.append(WARMUP_BUDGET)
        if not budgets:
            return []
        rates, everybody, total = self._rates(now), {self.self_id, *self.live}, self._offered(now)
        if self.slow_start is not None and self.demand is not None:
            # Danger: one back from nothing does not know what requests take, and would have no demand.
            rates = self.demand.offered_cores(now, self.live)
            total = sum(rates.values()) * len(everybody) / len(rates)
        if total <= 0:
            return []
        mean = total / len(everybody)
        demand = {member: rates.get(member, mean) / total for member in everybody}
        asks = []
        for budget in budgets:
            asks += self._purse(budget).request(now, budget, demand, self.self_id)
        return self._say([(a.member, quota_lending.encode_quota_message(a.message)) for a in asks])

    def _price(self, now: float) -> list[Action]:
        """The price of all, and what is to be told for it."""
        if self.demand is None:
            return []
        cores = sum(
            sum(there.values()) * self.evacuation.traffic_share(zone) for zone, there in self.engines.items()
        )
        owned = cooldown = 0.0
        if self.slow_start is not None and self.slow_start.is_active:
            cores, owned, cooldown = self._ramped(now)
        actions = self._say(self.demand.step(now, self.live, cores, owned))
        if self.demand.threshold is not None or self.priced:
            self.priced = self.demand.threshold is not None
            actions.append(
                ThresholdUpdate(self.demand.threshold, now + self.settings.demand.threshold_ttl_ms, cooldown)
            )
        return actions

    def _ramped(self, now: float) -> tuple[float, float, float]:
        """Cores that are free to all, those of cold engines that each instance owns, and the cooldown."""
        assert self.slow_start is not None and self.demand is not None
        # Danger: one that had just started, and knew of nothing, refused what all others served. So until it
        # has had the time to hear of them its engines count for what they may be found to do.
        new = now - self.started < self.slow_start.settings.settle_ms and self.settings.dispatchers > 1
        free, owned, hoped = 0.0, 0.0, self.slow_start.assumed_share()
        for zone, there in self.engines.items():
            pace = self.evacuation.traffic_share(zone)
            for engine, cores in there.items():
                if self.slow_start.warming.get(engine) is None:
                    free += cores * pace
                else:
                    share = (
                        self.slow_start.share_after_start(engine, hoped)
                        if new
                        else self.slow_start.share(engine)
                    )
                    owned += cores * min(pace, share) / self.settings.dispatchers
        rates = self.demand.offered_cores(now, self.live)
        lacking = sum(rates.values()) - free - owned * len(rates)
        return free, max(owned, 1e-6), self.slow_start.retry_after_ms(lacking)

    def _purse(self, budget: int) -> quota_lending.QuotaAccount:
        """The parts of a zone's budget, or of that of cold engines."""
        return self.warmup_quotas if self.slow_start is not None and budget == WARMUP_BUDGET else self.quotas

    def _usual(self, kind: int) -> float:
        usual = self.evidence.usual_durations.get(kind)
        return usual.work() if usual is not None else 0.0

    # --- words ---

    def _word(self, now: float) -> MemberReport:
        self.incarnation, self.version = self.reports.next_stamp(self.incarnation, self.version)
        zones = {}
        for zone, state in self.evacuation.states.items():
            pace = {Phase.IN_SERVICE: 1.0, Phase.EVACUATED: 0.0, Phase.RETURNING: state.traffic_share}[
                state.phase
            ]
            zones[self.zone_numbers[zone]] = ZoneReport(
                state.vote,
                *self.evidence.counts(zone),
                pace,
                state.is_certain,
                self.evidence.suspects_failure(zone),
            )
        rate = min(round(self.work / 10), 0xFFFF)
        return MemberReport(
            self.self_id, self.incarnation, self.version, rate, self.overrides.digest(), zones
        )

    def _trouble(self, now: float) -> bool:
        """Something is not as it should be somewhere, so words go out each step."""
        if any(state.phase is not Phase.IN_SERVICE for state in self.evacuation.states.values()):
            return True
        return any(map(self._alarming, self.heard))

    def _alarming(self, word: MemberReport) -> bool:
        if word.overrides_digest != self.overrides.digest():
            return True
        return any(z.vote or z.suspects_failure or z.traffic_share < 1.0 for z in word.zones.values())

    def _tell(self, now: float) -> list[Action]:
        mine = self._word(now)
        targets, passed = sorted(self.live), list[MemberReport]()
        if len(targets) >= self.settings.gossip_from_members:
            targets, passed = self.draw.sample(targets, self.settings.gossip_fanout), self._passed(now)
        data = messages.encode_zone_reports([mine, *passed], MAX_MESSAGE_BYTES)
        said = [(member, data) for member in targets]
        digest = self.overrides.digest()
        for member in targets:
            known = self.reports.received.get(member)
            if self.overrides.known and (known is None or known.report.overrides_digest != digest):
                newest = sorted(self.overrides.known.values(), key=lambda o: -o.expires_at)
                for i in range(0, len(newest)):
                    said.append((member, by_hand.encode_overrides(now, newest[i : i + 1], MAX_MESSAGE_BYTES)))
        return self._say(said)

    def _passed(self, now: float) -> list[MemberReport]:
        """Others' words worth passing on: those of voters first, then the newest."""
        late = now - self.settings.evacuation.max_report_age_ms
        voters = set(self._voters(now))
        votes = [h for m in voters if (h := self.reports.received.get(m)) is not None]
        votes.sort(key=lambda h: -h.received_at)
        others = [h for h in self.reports.newest() if h.report.member not in voters]
        return [h.report for h in [*votes, *others] if h.received_at >= late]

    def _say(self, said: list[tuple[int, bytes]]) -> list[Action]:
        self.counters["words_sent"] += len(said)
        self.counters["bytes_sent"] += sum(len(data) for _, data in said)
        return [SendMessage(member, data) for member, data in said]

    # --- status ---

    def status(self, now: float, names: Mapping[int, str]) -> list[dict[str, Any]]:
        """What `cottonhold zone show` prints: one row a zone."""
        voters, rows = self._voters(now), []
        told = self._told(now, voters)
        digest = self.overrides.digest()
        for zone, state in self.evacuation.states.items():
            good, late, bad = self.evidence.counts(zone)
            order = self.overrides.in_force(now, self.zone_numbers[zone])
            fresh = {
                w.member: w
                for w in self.reports.fresh(now, self.settings.evacuation.max_report_age_ms, self.seen)
            }
            confirmed = [m for m, w in fresh.items() if w.overrides_digest == digest]
            rows.append(
                {
                    "zone": zone,
                    "phase": state.phase.value,
                    "since_ms": round(now - state.since) if state.since > -math.inf else None,
                    "why": state.reason,
                    "fleet_out": state.is_fleet_evacuated,
                    "votes_out": sum(z.vote is Vote.EVACUATE for z in told[zone])
                    + (state.vote is Vote.EVACUATE),
                    "heard": len(told[zone]) + 1,
                    "electorate": len(voters),
                    "pace": round(self.evacuation.traffic_share(zone, told[zone]), 3),
                    "good": good,
                    "late": late,
                    "bad": bad,
                    "hold_ms": round(state.hold_ms),
                    "order": None
                    if order is None
                    else {
                        "mode": by_hand.MODE_NAMES[order.mode],
                        "who": order.requested_by,
                        "why": order.reason,
                        "left_ms": round(order.expires_at - now),
                        "author": names.get(order.author, str(order.author)),
                        "unconfirmed": sorted(names.get(m, str(m)) for m in self.seen if m not in confirmed),
                    },
                }
            )
        return rows
