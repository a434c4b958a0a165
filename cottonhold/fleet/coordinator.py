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

from cottonhold.fleet.admission.loads import Loads, LoadSettings
from cottonhold.fleet.admission.threshold import Price
from cottonhold.fleet.failover_cost.estimator import Outlook, OutlookSettings
from cottonhold.fleet.failover_cost.messages import SITES
from cottonhold.fleet.latest_reports import LatestReports
from cottonhold.fleet.message_format import MAX_MESSAGE_BYTES, MessageError
from cottonhold.fleet.recovery import warmup_messages
from cottonhold.fleet.recovery.slow_start import BUDGET, Lost, Ramp, RampSettings
from cottonhold.fleet.zone_failover import messages, quota_lending
from cottonhold.fleet.zone_failover import operator_overrides as by_hand
from cottonhold.fleet.zone_failover.evacuation import Own, Phase, Turn, Zones, ZoneSettings
from cottonhold.fleet.zone_failover.failure_evidence import Evidence, EvidenceSettings
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
    period: float = 100.0
    rest: float = 1000.0
    close: int = 9
    fanout: int = 4
    jury: int = 16
    price: bool = False
    remember: float = 60_000.0
    bound: float = 500.0
    probed: bool = True
    answers: float = 3000.0
    evidence: EvidenceSettings = field(default_factory=EvidenceSettings)
    zones: ZoneSettings = field(default_factory=ZoneSettings)
    loads: LoadSettings = field(default_factory=LoadSettings)
    parts: quota_lending.PartSettings = field(default_factory=quota_lending.PartSettings)
    recovery: RampSettings | None = None
    outlook: OutlookSettings | None = None
    home: str = ""


@dataclass(slots=True, frozen=True)
class Say:
    """A message for a member."""

    member: int
    data: bytes


@dataclass(slots=True, frozen=True)
class Bound:
    """What may be sent to engines from now on: work in ms a ms, until a time; others are free."""

    work: dict[str, float]
    until: float


@dataclass(slots=True, frozen=True)
class Priced:
    """What is let in from now on, until a time; nothing is turned away where there is no price."""

    price: Price | None
    until: float
    cooldown: float = 0.0  # ms after which what is turned away now should find room, while engines warm


Action = Say | Bound | Turn | Priced
FLOOR_LEAST = 0.1  # a smaller part of a zone is not worth the queries that it holds up


def _rank(member: int) -> bytes:
    return hashlib.blake2b(member.to_bytes(8, "big"), digest_size=8).digest()


class Fleet:
    """The state of one instance. `me`: its id among members; `life`: grows with each start; `only`: it is no
    successor beside an older process of its dispatcher."""

    def __init__(
        self, me: int, life: int, now: float, settings: FleetSettings, seed: int, only: bool = True
    ) -> None:
        self.me, self.life, self.settings, self.started = me, life & 0xFFFFFFFF, settings, now
        self.draw = random.Random(seed)
        self.evidence, self.zones = Evidence(settings.evidence), Zones(settings.zones)
        self.words, self.orders = LatestReports[MemberReport](me), by_hand.Orders(me)
        self.parts = quota_lending.Parts(
            now, 1 / settings.dispatchers, self.draw.getrandbits(30), settings.parts
        )
        self.loads = Loads(me, life, now, seed, settings.loads) if settings.price else None
        self.priced = False
        self.ramp: Ramp | None = None
        if settings.recovery is not None:
            owned, term = 1 / settings.dispatchers, self.draw.getrandbits(30)
            self.ramp = Ramp(me, life, now, settings.recovery, seed)
            self.cold_parts = quota_lending.Parts(now, owned, term, settings.recovery.parts, only)
        self.outlook: Outlook | None = None
        if settings.outlook is not None:
            self.outlook = Outlook(me, life, now, settings.home, seed, settings.outlook)
        self.engines: dict[str, dict[str, float]] = {}  # zone -> engine -> cores
        self.zone_of: dict[str, str] = {}
        self.numbers: dict[str, int] = {}
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
        self.next_step, self.next_words = now, now
        self.shown: dict[str, float] = {}
        self.counts: dict[str, int] = {"words_sent": 0, "bytes_sent": 0, "malformed": 0}

    # --- what happens ---

    def know(self, engines: Mapping[str, Mapping[str, float]], now: float | None = None) -> None:
        """Exactly these zones with these engines, and the cores of each, are there."""
        self.engines = {zone: dict(there) for zone, there in engines.items() if there}
        self.zone_of = {engine: zone for zone, there in self.engines.items() for engine in there}
        self.numbers = {zone: messages.zone_number(zone) for zone in self.engines}
        self.evidence.know(self.engines)
        self.zones.know(self.engines)
        if self.outlook is not None:
            self.outlook.know(self.engines)
        self.answered = {engine: at for engine, at in self.answered.items() if engine in self.zone_of}
        if self.ramp is not None:
            cores = {e: n for there in self.engines.values() for e, n in there.items()}
            self.ramp.know(self.started if now is None else now, cores)

    def lost(
        self, now: float, what: Lost, zones: Iterable[str] | None = None, since: float = math.inf
    ) -> None:
        """The census tells what has been away: this instance alone, zones, or the fleet, and since when the
        first of those lost is back."""
        if self.ramp is not None:
            of = None if zones is None else [e for z in zones for e in self.engines.get(z, ())]
            self.ramp.lost(now, what, of, since)
            self.next_step = now

    def live_on(self, life: int) -> None:
        """Words are of this life from now on: others know of a later one than this started with."""
        self.life = life & 0xFFFFFFFF
        for part in (self.loads, self.ramp, self.outlook):
            if part is not None:
                part.life = self.life

    def members(self, now: float, live: Iterable[int], left: Iterable[int] = ()) -> None:
        """Who is there now beside this instance, and who said good-bye."""
        self.live = set(live) - {self.me}
        self.seen.update(dict.fromkeys(self.live, now))
        gone = [m for m in left if m not in self.live]
        for member in gone:
            self.seen.pop(member, None)
        self.words.forget(gone)
        self.parts.forget(gone)

    def arrived(self, now: float, kind: int) -> None:
        """A request has come; its usual time counts as work."""
        usual = self.evidence.usual.get(kind)
        self._fade(now)
        self.work += usual.work() if usual is not None else 0.0

    def sent(self, now: float, ref: str, engine: str, kind: int) -> None:
        """An attempt has gone out."""
        self.evidence.sent(now, ref, engine, self.zone_of.get(engine, ""), kind)

    def ended(self, now: float, ref: str, good: bool | None, elapsed: float, work: float = 0.0) -> None:
        """An attempt has ended: well, badly, or given up from here (None). work: ms as the engine tells it,
        0 where it does not."""
        attempt = self.evidence.open.get(ref)
        if self.ramp is not None and attempt is not None and good is not None:
            self.ramp.answered(now, attempt.engine, good, work or self._usual(attempt.kind), elapsed)
        if self.outlook is not None and attempt is not None and good is not None:
            self.outlook.shaky.ended(now, attempt.engine, good)
        self.evidence.ended(now, ref, good, elapsed)

    def probed(self, now: float, engine: str, good: bool) -> None:
        """A probe of an engine has ended, by this instance or, if good, as another tells."""
        if good:
            self.answered[engine] = now
        else:
            self.answered.pop(engine, None)
        if self.ramp is not None:
            self.ramp.probed(now, engine, good)
        if self.outlook is not None:
            self.outlook.shaky.ended(now, engine, good)

    def hear(self, now: float, sender: int, data: bytes) -> list[Action]:
        """A message from a member; one that makes no sense is counted and changes nothing."""
        newer: bytes | None = None  # for a sender that is behind its own words
        try:
            kind = data[0] if data else 0
            if kind == messages.ZONE_REPORTS:
                newer = self._hear_words(now, sender, data)
            elif kind == messages.DEMAND_REPORTS:
                if self.loads is not None:
                    newer = self.loads.hear(now, data, sender)
            elif kind == warmup_messages.RAMP:
                if self.ramp is not None:
                    self.ramp.hear(now, data)
            elif kind == SITES:
                if self.outlook is not None:
                    newer = self.outlook.hear(now, data, sender)
            elif kind == messages.OVERRIDES:
                if any([self.orders.take(order) for order in by_hand.read_orders(now, data)]):
                    self.next_step = now
            else:
                loan = quota_lending.read_loan(data)
                answers = self._purse(loan.zone).receive(now, sender, loan)
                return self._say([(a.member, quota_lending.pack_loan(a.what)) for a in answers])
        except MessageError:
            self.counts["malformed"] += 1
        return self._say([(sender, newer)]) if newer is not None else []

    def _hear_words(self, now: float, sender: int, data: bytes) -> bytes | None:
        told = messages.decode_reports(data)
        news = [word for word in told if self.words.apply(now, word)]
        if self.next_words > self.next_step and any(map(self._alarming, news)):
            self.next_words = self.next_step
        newer = self.words.newer_than(sender, told)
        return messages.encode_reports([newer], MAX_MESSAGE_BYTES) if newer is not None else None

    def order(self, now: float, zone: str, mode: by_hand.Mode, last: float, who: str, why: str) -> bool:
        """An order by hand at this instance; false if there is no such zone."""
        if zone not in self.numbers:
            return False
        self.orders.give(self.numbers[zone], mode, now + last, who, why)
        self.next_step = self.next_words = now
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
        self.heard = self.words.fresh(now, self.settings.zones.fresh, self.live)
        voters = self._voters(now)
        told = self._told(now, voters)
        own = self._own(now)
        turns = self.zones.step(now, own, told, len(voters))
        accused = {zone for zone, view in own.items() if view.accuses}
        if turns or accused - self.accused:
            # Danger: the first to see a fault kept it to itself until its next round, a second later.
            self.next_words = now
        self.accused = accused
        actions: list[Action] = list(turns)
        for turn in turns:
            out, back = turn.phase is Phase.OUT, turn.phase is Phase.RETURN
            self.evidence.start_over(turn.zone, absent=out, returning=back)
        if self.ramp is not None:
            actions += self._say(self.ramp.step(now, self.live))
        if self.outlook is not None:
            actions += self._say(self.outlook.step(now, self.live, self._left()))
        actions += self._bounds(now, told)
        actions += self._lend(now)
        actions += self._price(now)
        if now >= self.next_words:
            trouble = self._trouble(now)
            rest = self.settings.rest * (0.8 + 0.4 * self.draw.random())  # not in step with all others
            self.next_words = now + (0.0 if trouble else rest)
            actions += self._tell(now)
        return actions

    def _period(self, now: float) -> float:
        """Until the next step. One that has just started, with cold engines, weighs what comes sooner."""
        # Danger: for a whole period after its start no price stood, and one that came late let in and served
        # what all others refused.
        if self.ramp is None or self.loads is None or not self.ramp.active:
            return self.settings.period
        new = now - self.started < self.ramp.settings.settle / 2
        return self.settings.period / 4 if new else self.settings.period

    def _voters(self, now: float) -> list[int]:
        """All that were there within the last minute; of many, those that a hash of their ids puts first."""
        # Danger: counted by who is seen now, each half of a split fleet would have a majority of its own.
        since = now - self.settings.remember
        for member in [m for m, at in self.seen.items() if at < since]:
            del self.seen[member]
        if self.seen.keys() != self.counted:
            self.counted = frozenset(self.seen)
            everybody = [self.me, *self.seen]
            few = len(everybody) <= self.settings.jury
            self.voters = everybody if few else sorted(everybody, key=_rank)[: self.settings.jury]
        return self.voters

    def _told(self, now: float, voters: list[int]) -> dict[str, list[ZoneReport]]:
        fresh = self.words.fresh(now, self.settings.zones.fresh, (m for m in voters if m != self.me))
        return {
            zone: [w.zones[number] for w in fresh if number in w.zones]
            for zone, number in self.numbers.items()
        }

    def _own(self, now: float) -> dict[str, Own]:
        verdicts, offered = self.evidence.weigh(now), self._offered(now)
        own = {}
        for zone, state in self.zones.states.items():
            signs = good, late, bad = self.evidence.counts(zone)
            if good + late + bad:
                self.serves[zone] = self.evidence.serving(zone)
            order = self.orders.on(now, self.numbers[zone])
            ordered = (
                None if order is None else Vote.EVACUATE if order.mode is by_hand.Mode.LEAVE else Vote.KEEP
            )
            floor = self._kept(now, offered, zone)
            floor = floor if floor >= FLOOR_LEAST else 0.0
            own[zone] = Own(
                verdicts[zone],
                signs,
                self.evidence.accuses(zone),
                state.phase is Phase.OUT and self._answers(now, zone, state.since),
                floor,
                ordered,
            )
        return own

    def _kept(self, now: float, offered: float, zone: str) -> float:
        """Share of a zone's full load that is best still sent there while it is left."""
        serves = self.serves.get(zone, 0.0)
        # Danger: of a zone that serves nothing, a plan that keeps a share keeps its clients waiting.
        if self.outlook is not None and serves > 0:
            planned = self.outlook.share_kept(now, zone, good=serves)
            if planned is not None:
                return min(planned, serves)
        return min(self._lacking(offered, zone), serves)

    def _answers(self, now: float, zone: str, since: float) -> bool:
        """Half of a zone's engines have answered a probe lately, after it was left."""
        if not self.settings.probed:
            return True
        there = self.engines[zone]
        late = max(now - self.settings.answers, since)
        return 2 * sum(self.answered.get(engine, -math.inf) > late for engine in there) >= len(there)

    def _offered(self, now: float) -> float:
        """Work offered to the whole fleet, in cores."""
        rates = self._rates(now)
        return sum(rates.values()) * (1 + len(self.live)) / len(rates)

    def _lacking(self, offered: float, zone: str) -> float:
        """Share of a zone's load that the other zones can't carry."""
        # Danger: a zone that is half ill was left, the others fell over under its load, and nothing was left.
        room = {z: sum(there.values()) * self.zones.pace(z) for z, there in self.engines.items() if z != zone}
        mine = sum(self.engines[zone].values())
        return min(max((offered - self.settings.zones.reserve * sum(room.values())) / mine, 0.0), 1.0)

    def _rates(self, now: float) -> dict[int, float]:
        """Work offered to each instance that is heard of, in cores."""
        self._fade(now)
        return {self.me: self.work / 1000, **{w.member: w.offered_centicores / 100 for w in self.heard}}

    def _fade(self, now: float) -> None:
        self.work *= math.exp((self.work_at - now) / 1000)
        self.work_at = now

    def _bounds(self, now: float, told: dict[str, list[ZoneReport]]) -> list[Action]:
        work, until = dict[str, float](), now + self.settings.bound
        for zone, there in self.engines.items():
            pace = self.zones.pace(zone, told[zone])
            if pace >= 1.0:
                continue
            part, ends = self.parts.usable(now, self.numbers[zone]) if pace else (0.0, math.inf)
            until = min(until, ends)
            work |= {engine: cores * pace * part for engine, cores in there.items()}
        if self.ramp is not None and self.ramp.active:
            part, ends = self.cold_parts.usable(now, BUDGET)
            until = min(until, ends)
            for engine, most in self.ramp.bounds(part).items():
                work[engine] = min(work.get(engine, math.inf), most)
        if self.outlook is not None:
            left = self._left()
            if self.ramp is not None and self.ramp.active and left.keys() == self.engines.keys():
                work = self.outlook.first_bounds(now, work)
            # Danger: one engine that starts is no outage, yet all instances changed their ways for it.
            out = any(self.zones.pace(zone) < 1.0 for zone in self.engines)
            for engine, most in self.outlook.bounds(now, left if out else {}).items():
                work[engine] = min(work.get(engine, math.inf), most)
        if not work and not self.shown:
            return []
        self.shown = work
        return [Bound(work, until)]

    def _left(self) -> dict[str, float]:
        """By zone, the part of its cores that the fleet lets it have now."""
        parts = {}
        for zone, there in self.engines.items():
            part = self.zones.pace(zone)
            if self.ramp is not None and self.ramp.active:
                share = sum(cores * self.ramp.share(engine) for engine, cores in there.items())
                part = min(part, share / max(sum(there.values()), 1e-9))
            if part < 1.0:
                parts[zone] = part
        return parts

    def _lend(self, now: float) -> list[Action]:
        """Where a zone is bounded, those with more clients than their part ask those with less."""
        budgets = [self.numbers[zone] for zone in self.engines if self.zones.pace(zone) < 1.0]
        if self.ramp is not None and self.ramp.growing:
            budgets.append(BUDGET)
        if not budgets:
            return []
        rates, everybody, total = self._rates(now), {self.me, *self.live}, self._offered(now)
        if self.ramp is not None and self.loads is not None:
            # Danger: one back from nothing does not know what requests take, and would have no demand.
            rates = self.loads.rates(now, self.live)
            total = sum(rates.values()) * len(everybody) / len(rates)
        if total <= 0:
            return []
        mean = total / len(everybody)
        demand = {member: rates.get(member, mean) / total for member in everybody}
        asks = []
        for budget in budgets:
            asks += self._purse(budget).want(now, budget, demand, self.me)
        return self._say([(a.member, quota_lending.pack_loan(a.what)) for a in asks])

    def _price(self, now: float) -> list[Action]:
        """The price of all, and what is to be told for it."""
        if self.loads is None:
            return []
        cores = sum(sum(there.values()) * self.zones.pace(zone) for zone, there in self.engines.items())
        owned = cooldown = 0.0
        if self.ramp is not None and self.ramp.active:
            cores, owned, cooldown = self._ramped(now)
        actions = self._say(self.loads.step(now, self.live, cores, owned))
        if self.loads.price is not None or self.priced:
            self.priced = self.loads.price is not None
            actions.append(Priced(self.loads.price, now + self.settings.loads.until, cooldown))
        return actions

    def _ramped(self, now: float) -> tuple[float, float, float]:
        """Cores that are free to all, those of cold engines that each instance owns, and the cooldown."""
        assert self.ramp is not None and self.loads is not None
        # Danger: one that had just started, and knew of nothing, refused what all others served. So until it
        # has had the time to hear of them its engines count for what they may be found to do.
        new = now - self.started < self.ramp.settings.settle and self.settings.dispatchers > 1
        free, owned, hoped = 0.0, 0.0, self.ramp.hoped()
        for zone, there in self.engines.items():
            pace = self.zones.pace(zone)
            for engine, cores in there.items():
                if self.ramp.young.get(engine) is None:
                    free += cores * pace
                else:
                    share = self.ramp.guess(engine, hoped) if new else self.ramp.share(engine)
                    owned += cores * min(pace, share) / self.settings.dispatchers
        rates = self.loads.rates(now, self.live)
        lacking = sum(rates.values()) - free - owned * len(rates)
        return free, max(owned, 1e-6), self.ramp.cooldown(lacking)

    def _purse(self, budget: int) -> quota_lending.Parts:
        """The parts of a zone's budget, or of that of cold engines."""
        return self.cold_parts if self.ramp is not None and budget == BUDGET else self.parts

    def _usual(self, kind: int) -> float:
        usual = self.evidence.usual.get(kind)
        return usual.work() if usual is not None else 0.0

    # --- words ---

    def _word(self, now: float) -> MemberReport:
        self.life, self.version = self.words.next_stamp(self.life, self.version)
        zones = {}
        for zone, state in self.zones.states.items():
            pace = {Phase.IN: 1.0, Phase.OUT: 0.0, Phase.RETURN: state.pace}[state.phase]
            zones[self.numbers[zone]] = ZoneReport(
                state.vote, *self.evidence.counts(zone), pace, state.sure, self.evidence.accuses(zone)
            )
        rate = min(round(self.work / 10), 0xFFFF)
        return MemberReport(self.me, self.life, self.version, rate, self.orders.digest(), zones)

    def _trouble(self, now: float) -> bool:
        """Something is not as it should be somewhere, so words go out each step."""
        if any(state.phase is not Phase.IN for state in self.zones.states.values()):
            return True
        return any(map(self._alarming, self.heard))

    def _alarming(self, word: MemberReport) -> bool:
        if word.overrides_digest != self.orders.digest():
            return True
        return any(z.vote or z.suspects_failure or z.traffic_share < 1.0 for z in word.zones.values())

    def _tell(self, now: float) -> list[Action]:
        mine = self._word(now)
        targets, passed = sorted(self.live), list[MemberReport]()
        if len(targets) >= self.settings.close:
            targets, passed = self.draw.sample(targets, self.settings.fanout), self._passed(now)
        data = messages.encode_reports([mine, *passed], MAX_MESSAGE_BYTES)
        said = [(member, data) for member in targets]
        digest = self.orders.digest()
        for member in targets:
            known = self.words.received.get(member)
            if self.orders.known and (known is None or known.report.overrides_digest != digest):
                newest = sorted(self.orders.known.values(), key=lambda o: -o.until)
                for i in range(0, len(newest)):
                    said.append((member, by_hand.pack_orders(now, newest[i : i + 1], MAX_MESSAGE_BYTES)))
        return self._say(said)

    def _passed(self, now: float) -> list[MemberReport]:
        """Others' words worth passing on: those of voters first, then the newest."""
        late = now - self.settings.zones.fresh
        voters = set(self._voters(now))
        votes = [h for m in voters if (h := self.words.received.get(m)) is not None]
        votes.sort(key=lambda h: -h.received_at)
        others = [h for h in self.words.newest() if h.report.member not in voters]
        return [h.report for h in [*votes, *others] if h.received_at >= late]

    def _say(self, said: list[tuple[int, bytes]]) -> list[Action]:
        self.counts["words_sent"] += len(said)
        self.counts["bytes_sent"] += sum(len(data) for _, data in said)
        return [Say(member, data) for member, data in said]

    # --- status ---

    def status(self, now: float, names: Mapping[int, str]) -> list[dict[str, Any]]:
        """What `cottonhold zone show` prints: one row a zone."""
        voters, rows = self._voters(now), []
        told = self._told(now, voters)
        digest = self.orders.digest()
        for zone, state in self.zones.states.items():
            good, late, bad = self.evidence.counts(zone)
            order = self.orders.on(now, self.numbers[zone])
            fresh = {w.member: w for w in self.words.fresh(now, self.settings.zones.fresh, self.seen)}
            confirmed = [m for m, w in fresh.items() if w.overrides_digest == digest]
            rows.append(
                {
                    "zone": zone,
                    "phase": state.phase.value,
                    "since_ms": round(now - state.since) if state.since > -math.inf else None,
                    "why": state.why,
                    "fleet_out": state.fleet_out,
                    "votes_out": sum(z.vote is Vote.EVACUATE for z in told[zone])
                    + (state.vote is Vote.EVACUATE),
                    "heard": len(told[zone]) + 1,
                    "electorate": len(voters),
                    "pace": round(self.zones.pace(zone, told[zone]), 3),
                    "good": good,
                    "late": late,
                    "bad": bad,
                    "hold_ms": round(state.hold),
                    "order": None
                    if order is None
                    else {
                        "mode": order.mode.name.lower(),
                        "who": order.who,
                        "why": order.why,
                        "left_ms": round(order.until - now),
                        "author": names.get(order.author, str(order.author)),
                        "unconfirmed": sorted(names.get(m, str(m)) for m in self.seen if m not in confirmed),
                    },
                }
            )
        return rows
