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

from cottonhold.fleet.admission.demand import Demand, step_of
from cottonhold.fleet.failover_cost.cross_zone_limits import (
    GuestSettings,
    Scene,
    Shaky,
    allowed,
    by_engine,
    in_order,
)
from cottonhold.fleet.failover_cost.fleet_snapshot import PictureSettings, draw
from cottonhold.fleet.failover_cost.hysteresis import Held, Steady, Use
from cottonhold.fleet.failover_cost.messages import Seen, Site, bits_of, pack_sites, read_sites, set_number
from cottonhold.fleet.failover_cost.projection import CostSettings, Projection
from cottonhold.fleet.failover_cost.snapshot_plan import Plan, Shares, in_parts, ordered
from cottonhold.fleet.latest_reports import LatestReports
from cottonhold.fleet.zone_failover.messages import zone_number

LATELY = 700.0  # ms: the memory of the quicker count of an instance's own demand


@dataclass(slots=True, frozen=True)
class OutlookSettings:
    """Times in ms. fresh: so old may another's word be. every: a new picture, while
    something is out or there is no plan yet; idle: else. stands: so long a plan counts
    without fresh news of enough instances. rest: a round of words. close, fanout: as with the price's words.
    memory: of which data sets are warm where. zones: up to so many zones pairs may be asked of.

    bear: part of the worth asked for, or of what is served now if that is less, that
    must be served with any one zone lost. ramp: part of the cores that cold engines give first.
    least: a smaller part of a zone is not worth the queries that it holds up. guests: which zones serve whose
    clients while something is out; none: any.
    """

    fresh: float = 5000.0
    every: float = 1000.0
    idle: float = 3000.0
    stands: float = 30_000.0
    rest: float = 1000.0
    close: int = 9
    fanout: int = 4
    memory: float = 10_000.0
    zones: int = 8
    bear: float = 0.85
    ramp: float = 0.2
    least: float = 0.1
    picture: PictureSettings = field(default_factory=PictureSettings)
    cost: CostSettings = field(default_factory=CostSettings)
    steady: Steady = field(default_factory=Steady)
    guests: GuestSettings | None = field(default_factory=GuestSettings)
    calm: bool = False
    keep: float = 5000.0


class Outlook:
    """Feed it requests, answers and words; call `step` ten times a second. `home`: the instance's zone."""

    def __init__(
        self, me: int, life: int, now: float, home: str, seed: int, settings: OutlookSettings | None = None
    ) -> None:
        self.me, self.life, self.home = me, life & 0xFFFFFFFF, home
        self.settings = s = settings or OutlookSettings()
        self.draw = random.Random(seed)
        self.words, self.demand = LatestReports[Site](me), Demand(now)
        self.lately = Demand(now, LATELY)
        self.kept: dict[int, Site] = {}  # from before a power loss
        self.sets, self.answers = Use(2000.0), Use(s.memory)
        self.work, self.calls = 0.0, 0.0  # of requests, for their mean
        self.beyond, self.weighed = Use(s.memory), math.inf  # work in ms, and since when it is known
        self.trips: dict[str, float] = {}
        self.engines: dict[str, dict[str, float]] = {}
        self.version = 0
        self.said: Site | None = None  # the word of the last round
        self.next_round = self.next_picture = self.next_kept = now
        self.out = False  # something is
        self.plan: Plan | None = None  # the one in force
        self.held: dict[tuple[str, str], Held] = {}
        self.shaky = Shaky(s.guests or GuestSettings())

    # --- what happens ---

    def know(self, engines: Mapping[str, Mapping[str, float]]) -> None:
        """Exactly these zones with these engines, and the cores of each, are there."""
        self.engines = {zone: dict(engines[zone]) for zone in sorted(engines) if engines[zone]}
        self.shaky.know(engine for there in self.engines.values() for engine in there)

    def offered(self, now: float, worth: float, work: float, data_set: str = "", retry: bool = False) -> None:
        """A request of this instance's clients has come; work in ms."""
        if retry:
            return
        self.demand.add(now, step_of(worth, work), work)
        self.lately.add(now, 0, work)
        self.sets.add(now, "", set_number(data_set), work)
        self.work, self.calls = self.work * 0.999 + work, self.calls * 0.999 + 1

    def answered(
        self,
        now: float,
        zone: str,
        data_set: str = "",
        trip: float | None = None,
        beyond: float | None = None,
    ) -> None:
        """A zone has answered a query on a data set; trip: its round trip in ms, if known; beyond: work in ms
        that it took beyond what it was told to need, if both are known."""
        self.answers.add(now, zone, set_number(data_set), 1.0)
        if beyond is not None:
            self.beyond.add(now, "", 0, beyond)
            self.weighed = min(self.weighed, now)
        if trip is not None:
            self.answered_probe(zone, trip)

    def answered_probe(self, zone: str, trip: float) -> None:
        """A zone has answered a probe after `trip` ms: its distance, without any work."""
        self.trips[zone] = self.trips.get(zone, trip) * 0.9 + trip * 0.1

    def hear(self, now: float, data: bytes, sender: int = 0) -> bytes | None:
        """A message of sites; returns one for its sender, if that is behind. Raises MessageError."""
        sites = read_sites(data)
        for site in sites:
            self.words.apply(now, site)
        newer = self.words.newer_than(sender, sites)
        return pack_sites([newer]) if newer is not None else None

    def hint(self, data: bytes) -> None:
        """A message of sites that was kept over a power loss. Raises MessageError."""
        # Danger: taken as heard now, a memory of last week would stand beside fresh words and outweigh them.
        # So it counts only until there is a first plan, and only for where clients are served first.
        for site in read_sites(data):
            known = self.kept.get(site.member)
            if known is None or site.stamp > known.stamp:
                # What was warm has gone with the power.
                seen = {number: replace(zone, warm=0) for number, zone in site.zones.items()}
                self.kept[site.member] = replace(site, zones=seen)

    def to_keep(self, now: float) -> bytes:
        """What `hint` is to be told after a power loss; empty where it isn't time to keep it, or where there
        is nothing worth it."""
        # Danger: one back from nothing would write over what it still needs, before clients have come.
        if now < self.next_kept or self.said is None or not self.said.rates:
            return b""
        self.next_kept = now + self.settings.keep
        return pack_sites([self.said])

    # --- step ---

    def step(
        self, now: float, live: Iterable[int], left: Mapping[str, float] | None = None
    ) -> list[tuple[int, bytes]]:
        """Draw the picture where it is time for it, and say what is due, as (member, message). left: by zone,
        the part that the fleet lets it have now; zones that are not named have all."""
        s, members = self.settings, sorted(set(live) - {self.me})
        self.lately.rates(now)  # fades, so that what comes next is weighed as of now
        if left and not self.out:
            self.next_picture = min(self.next_picture, now)
        self.out = bool(left)
        if now >= self.next_picture:
            # Danger: divided each second also in calm, it took a tenth of a core, and on a machine that had
            # none to spare the instances fell behind with their clients.
            hurried = self.out or self.plan is None
            self.next_picture = now + (s.every if hurried else max(s.every, s.idle))
            self._begin(now, members, left or {})
        if self.plan is not None and now - self.plan.at > s.stands:
            self.plan = None
            self.held.clear()
        return self._tell(now, members)

    def _begin(self, now: float, members: list[int], left: Mapping[str, float]) -> None:
        """A new picture, from words of all that are fresh."""
        s = self.settings
        if not members:
            self.said = self._say(now)
        # Danger: by its own last request, each would have another picture than those that hear of it; so it
        # takes of itself what it last told, rounded as on the wire.
        own = [self.said] if self.said is not None else []
        sites = [*own, *self.words.fresh(now, s.fresh, members)]
        picture = draw(sites, self.engines, 1 + len(members), None, s.picture)
        clean = {zone: part for zone, part in sorted(left.items()) if part < 1.0 and zone in self.engines}
        if picture is None or not picture.total():
            self._recall(now, clean)
            return  # the plan of today stands
        most = 2 if 2 < len(self.engines) <= s.zones else 1
        ahead = frozenset(out for n in range(most) for out in itertools.combinations(self.engines, n + 1))
        self._take(Plan(now, picture, clean, s.cost, ahead))

    def _recall(self, now: float, left: Mapping[str, float]) -> None:
        """Where there was never a plan, what was kept says from where clients are served first."""
        if self.plan is None and self.kept and not any(what == "first" for what, _ in self.held):
            picture = draw(self.kept.values(), self.engines, len(self.kept), None, self.settings.picture)
            if picture is not None:
                plan = Plan(now, picture, left, self.settings.cost)
                flows = plan.flows(self._ramp(plan))
                for home in picture.homes:
                    self._follow(now, "first", home, in_parts(flows, home))

    def _take(self, plan: Plan) -> None:
        """This plan is in force from now on."""
        old, self.plan = self.plan, plan
        self.kept.clear()
        if old is not None:
            # Danger: what nobody had asked for since would be held against what is wanted now.
            for key in [k for k in self.held if k[0] in ("out", "first") and k not in old.asked]:
                del self.held[key]

    def _ramp(self, plan: Plan) -> dict[str, float]:
        """What is left of zones at first, if all engines were cold."""
        return {zone: min(self.settings.ramp, plan.left.get(zone, 1.0)) for zone in self.engines}

    def _follow(self, now: float, what: str, zone: str, new: dict[str, float]) -> None:
        held = self.held.get((what, zone))
        if held is None:
            self.held[what, zone] = Held(new)
        else:
            held.follow(now, new, self.settings.steady)

    # --- what it decides ---

    def projection(self, *out: str) -> Projection | None:
        """What it would cost if these zones were out now; None if that is not computed or too old."""
        return None if self.plan is None else self.plan.projection(tuple(sorted(out)))

    def if_left(self, left: Mapping[str, float]) -> Projection | None:
        """What it would cost if so much were left of these zones, on top of what is left now."""
        if self.plan is None:
            return None
        return self.plan.project({**self.plan.left, **left})

    def neighbours(self, zone: str) -> Shares:
        """Which zones serve a zone's clients while it is out, and what part of their served work; most first.
        Empty without a plan."""
        if self.plan is not None and (zone,) in self.plan.ahead:
            self._ask(self.plan, "out", zone, self.plan.out(zone))
        return self._ordered("out", zone)

    def serving(self, home: str, *out: str) -> Shares:
        """Which zones are best to serve a zone's clients while these zones are out, beyond what is left of
        them; most first. Empty without a plan, or where nothing is served."""
        out = tuple(sorted(out))
        if len(out) == 1 and out[0] == home:
            return self.neighbours(home)
        if self.plan is None or out and out not in self.plan.ahead:
            return ()
        return ordered(in_parts(self.plan.flows(self.plan.out(*out)), home))

    def useful(self, *out: str) -> float | None:
        """Cores that are left for work while these zones are out, once cold work is done; None if unknown."""
        found = self.projection(*out)
        return None if found is None else found.useful

    def first(self, home: str) -> Shares:
        """From where a zone's clients are served first while all engines are cold; empty without a plan, or
        where they are served by none at first. Until there is a plan, by what was kept."""
        if self.plan is not None and home in self.plan.picture.homes:
            self._ask(self.plan, "first", home, self._ramp(self.plan))
        return self._ordered("first", home)

    def _ask(self, plan: Plan, what: str, zone: str, left: Mapping[str, float]) -> None:
        """What a plan says counts once, at the first question."""
        if (what, zone) not in plan.asked:
            plan.asked.add((what, zone))
            self._follow(plan.at, what, zone, in_parts(plan.flows(left), zone))

    def _ordered(self, what: str, zone: str) -> Shares:
        held = self.held.get((what, zone))
        return ordered(held.value) if held is not None else ()

    def bounds(self, now: float, left: Mapping[str, float]) -> dict[str, float]:
        """By engine, the work in ms a ms that this instance may send to other zones than its clients' own,
        while so much is left of these zones; none for those themselves. Empty while nothing is out, without a
        plan, or where no plan knows of what is out."""
        s = self.settings.guests
        if s is None:
            return {}
        scene = self._scene({zone: x for zone, x in left.items() if x < 1.0 and zone in self.engines})
        if scene is None:
            self.held.pop(("now", self.home), None)
            return {}
        self._follow(now, "now", self.home, in_parts(scene.flows, self.home))
        mine = self._mine(now)
        shares = self.held["now", self.home].value
        zones = allowed(self.home, shares, mine, scene, left.get(self.home, 1.0) < 1.0, s)
        ours, found = mine / max(math.fsum(scene.demand.values()), mine, 1e-9), dict[str, float]()
        for zone, most in zones.items():
            if left.get(zone, 1.0) >= 1.0:
                there = self.engines.get(zone, {})
                cold = [engine for engine in there if self.shaky(now, engine)]
                found |= by_engine(most, there, cold, ours, s)
        return found

    def _mine(self, now: float) -> float:
        """This instance's own demand, in cores."""
        # Danger: of clients that were led here a moment ago the slower count knows only a part.
        return max(math.fsum(count.rates(now).values()) for count in (self.demand, self.lately))

    def first_bounds(self, now: float, bounds: Mapping[str, float]) -> dict[str, float]:
        """While all engines are cold, the bounds of each narrowed to what is needed, in the order of `first`;
        as they are where nothing says from where clients are served first. bounds: work in ms a ms."""
        order, s = [zone for zone, _ in self.first(self.home)], self.settings.guests
        if s is None or not order:
            return dict(bounds)
        most = {
            zone: math.fsum(bounds.get(engine, cores) for engine, cores in there.items())
            for zone, there in self.engines.items()
        }
        parts, zones = in_order(order, self._mine(now), most, s), dict[str, str]()
        for zone, there in self.engines.items():
            zones |= dict.fromkeys(there, zone)
        return {engine: x * parts.get(zones.get(engine, ""), 1.0) for engine, x in bounds.items()}

    def _scene(self, left: Mapping[str, float]) -> Scene | None:
        """What the plan says of now; None if nothing is out, or the plan does not know of what is."""
        plan = self.plan
        if plan is None or not left and not self.settings.calm:
            return None
        return plan.scene(tuple(sorted(left)))

    def share_kept(self, now: float, zone: str, gives: float = 1.0, good: float = 1.0) -> float | None:
        """The part of a zone's full load that is best still sent there while it is left; None without a plan.

        gives: part of its cores that it still gives; good: part of its attempts that end well.
        """
        s, plan = self.settings, self.plan
        if plan is None or zone not in plan.picture.zones:
            return None
        # Danger: asked ten times a second for each zone, in calm as well, divisions took six times the time
        # of all the rest. What differs by less than the hysteresis lets through is the same question.
        asked = zone, math.floor(min(gives, 1.0) * 10 + 1e-6) / 10, math.ceil(good * 10) / 10
        kept = plan.kept.get(asked)
        if kept is None:
            kept = plan.kept[asked] = self._keep(plan, *asked)
        self._follow(now, "kept", zone, {zone: kept if kept >= s.least else 0.0})
        return self.held["kept", zone].value.get(zone, 0.0)

    def _keep(self, plan: Plan, zone: str, gives: float, good: float) -> float:
        """The part of an ill zone's full load that a division sends there."""
        cost = self.settings.cost
        _, found = plan.settle({**plan.left, zone: gives}, {zone: good})
        used = math.fsum(x for (_, at, _), x in found.flows.items() if at == zone)
        return min(used / max(plan.picture.zones[zone].cores * cost.use, 1e-9), 1.0)

    def bearable(self, machines: Mapping[str, float], more: Mapping[str, float] | None = None) -> list[str]:
        """Why so many cores by zone, and `more` of them, may not be out now; empty if any single zone's loss
        on top stays bearable."""
        s, plan = self.settings, self.plan
        if plan is None:
            return ["no plan: too few instances have told of their sites lately"]
        left = dict(plan.left)
        for zone, view in plan.picture.zones.items():
            gone = machines.get(zone, 0.0) + (more or {}).get(zone, 0.0)
            if gone > 0:
                left[zone] = min(left.get(zone, 1.0), max(1 - gone / max(view.cores, 1e-9), 0.0))
        reasons = []
        for zone in sorted(plan.picture.zones):
            found = plan.project({**left, zone: 0.0})
            least = s.bear * min(found.offered, found.worth + found.lost)
            if found.worth < least:
                share = found.share()
                reasons.append(f"with {zone} lost as well {share:.2f} of the worth would be served")
        return reasons

    # --- words ---

    def site(self, now: float) -> Site:
        """What this instance tells of itself now."""
        s, numbers = self.settings, {zone: zone_number(zone) for zone in self.engines}
        self.sets.prune(now)
        self.answers.prune(now)
        sets = {used: self.sets.of(now, "", used) for _, used in sorted(self.sets.weights)}
        total = math.fsum(sets.values())
        parts = {used: w / total for used, w in sets.items() if w > 1e-3 * total} if total > 0 else {}
        zones, counts = {}, dict[str, float]()
        for at, used in self.answers.weights:
            counts[at] = counts.get(at, 0.0) + self.answers.of(now, at, used)
        everywhere = max(math.fsum(counts.values()), 1e-9)
        for zone, number in numbers.items():
            warm = 0
            for at, used in self.answers.weights:
                # Danger: after one answer, a set is warm in one engine, and the next ones still meet it cold.
                if at == zone and self.answers.of(now, zone, used) >= len(self.engines[zone]):
                    warm |= bits_of(used)
            trip = self.trips.get(zone, s.picture.trip)
            zones[number] = Seen(trip, counts.get(zone, 0.0) / everywhere, warm)
        mean = self.work / self.calls if self.calls > 0 else 20.0
        home, rates = zone_number(self.home), self.demand.rates(now)
        return Site(self.me, self.life, self.version, home, mean, rates, parts, zones, self._beyond(now))

    def _beyond(self, now: float) -> float:
        """Cores that this instance's requests take beyond what they were told to need; -1: not known."""
        s = self.settings.memory
        if now - self.weighed < s / 4:
            return -1.0  # by a few answers, chance would speak
        seen = s * -math.expm1((self.weighed - now) / s)
        return max(self.beyond.of(now, "", 0) / seen, 0.0)

    def _say(self, now: float) -> Site:
        """This instance's next word, as others read it."""
        self.life, self.version = self.words.next_stamp(self.life, self.version)
        return read_sites(pack_sites([self.site(now)]))[0]

    def _tell(self, now: float, members: list[int]) -> list[tuple[int, bytes]]:
        s = self.settings
        if not members or now < self.next_round:
            return []
        self.next_round = now + s.rest * (0.8 + 0.4 * self.draw.random())  # not in step with all others
        self.said = mine = self._say(now)
        if len(members) < s.close:
            data = pack_sites([mine])
            return [(member, data) for member in members]
        # Danger: a word nearly fills a datagram. With the own one alone each of fifty heard of twenty in the
        # time for which a word is fresh, less than half of them, and there was never a plan.
        most = math.ceil(len(members) / s.fanout * 2 * s.rest / s.fresh)
        passed = [h.report for h in self.words.newest() if now - h.received_at <= s.fresh][:most]
        told = [pack_sites([site]) for site in (mine, *passed)]
        return [(member, data) for member in self.draw.sample(members, s.fanout) for data in told]
