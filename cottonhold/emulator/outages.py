"""Outages in virtual time: clients with homes, zones at a distance, engines with cold data sets.

A model for asking whether the cost estimator's projection is true and its decisions are useful. An instance
serves the clients of its own zone. An engine keeps the data sets that it used last; a request on another one
takes longer. One seed replays the run. Times are ms; an engine does one ms of work a ms, times its speed.
"""

from __future__ import annotations

import heapq
import itertools
import math
import random
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field, replace
from functools import partial

from cottonhold.emulator.network import Network
from cottonhold.emulator.outage_log import Log, Row
from cottonhold.fleet.admission.demand import density_step
from cottonhold.fleet.admission.demand_sharing import DemandSharing
from cottonhold.fleet.failover_cost.estimator import CostEstimator
from cottonhold.fleet.failover_cost.estimator_settings import CostEstimatorSettings
from cottonhold.fleet.failover_cost.messages import FILTER_BITS, decode_site_reports, encode_site_reports
from cottonhold.fleet.zone_failover.evacuation import EvacuationSettings
from cottonhold.fleet.zone_failover.zone_assessment import MIN_RETAINED_SHARE

STEP_MS, LOAD_REPORT_INTERVAL_MS, ANSWER_MARGIN_MS, FAILURE_DELAY_MS = 100.0, 250.0, 60.0, 300.0
MAX_PREFERENCE_MS = 100.0  # held longer than this, a request may go to any engine that idles


@dataclass(slots=True, frozen=True)
class Setup:
    """What a world is made of. round_trips_ms: between zones; rates: first attempts a second by zone;
    own_data_sets, shared_data_sets: of each zone's clients alone, and of all; cached_data_sets: that an
    engine keeps; cold_factor: how many times longer a request takes on another. decides: "outlook", "today"
    (the least loaded engine of all zones, and a fixed reserve) or "nearest" (the same, own zone first). loss:
    part of the site reports."""

    rates: Mapping[str, float]
    round_trips_ms: Mapping[tuple[str, str], float]
    engines: int = 4
    instances: int = 2
    own_data_sets: int = 5
    shared_data_sets: int = 3
    cached_data_sets: int = 0
    cold_factor: float = 3.0
    mean_work_ms: float = 20.0
    timeout_ms: float = 2000.0
    utilities: tuple[tuple[float, float], ...] = ((1.0, 0.6), (6.0, 0.4))  # and their part of all
    decides: str = "outlook"
    loss: float = 0.0
    settings: CostEstimatorSettings = field(default_factory=CostEstimatorSettings)


@dataclass(slots=True, eq=False)
class Request:
    """One request."""

    home: str
    utility: float
    data_set: str
    draw: float
    arrived_at: float
    queued_at: float = 0.0


@dataclass(slots=True, eq=False)
class Server:
    """An engine: one request at a time, a queue, and the data sets that it used last."""

    zone: str
    speed: float = 1.0
    up: bool = True
    busy_until: float = 0.0
    in_flight: dict[int, int] = field(default_factory=dict)  # by instance
    cached_sets: dict[str, None] = field(default_factory=dict)

    def use(self, data_set: str, keeps: int) -> bool:
        """Whether a data set was warm; it is now."""
        warm = data_set in self.cached_sets
        self.cached_sets.pop(data_set, None)
        self.cached_sets[data_set] = None
        if keeps and len(self.cached_sets) > keeps:
            del self.cached_sets[next(iter(self.cached_sets))]
        return warm


class Instance:
    """One dispatcher of a zone's clients."""

    def __init__(self, world: World, number: int, home: str) -> None:
        self.world, self.number, self.home = world, number, home
        self.queue: list[tuple[float, int, Request]] = []
        self.in_flight_elsewhere: list[int] = []  # what others have at each engine, as of the last word
        self.demand = DemandSharing(number + 1, 1, 0.0, number)
        self.estimator = CostEstimator(number + 1, 1, 0.0, home, number, world.setup.settings)
        self.estimator.set_engines(world.engines_by_zone)
        self.credits: dict[str, float] = {}

    def on_request(self, now: float, request: Request) -> None:
        """A request arrives: counted, then admitted or rejected."""
        w = self.world
        self.demand.on_request(now, request.utility, w.setup.mean_work_ms, False)
        self.estimator.on_request(now, request.utility, w.setup.mean_work_ms, request.data_set)
        price = self.demand.threshold
        if price is not None and not price.admits(
            density_step(request.utility, w.setup.mean_work_ms), request.draw
        ):
            w.log.append(Row(now, "refused", self.home, request.utility))
            return
        self.enqueue(now, request)

    def enqueue(self, now: float, request: Request) -> None:
        """Wait for capacity, densest first."""
        request.queued_at = now
        heapq.heappush(self.queue, (-request.utility, next(self.world.serial), request))
        self.send(now)

    def send(self, now: float) -> None:
        """Send what there is capacity for; what has run out of time is answered."""
        w = self.world
        while self.queue:
            request = self.queue[0][2]
            if request.arrived_at + w.setup.timeout_ms - ANSWER_MARGIN_MS <= now:
                heapq.heappop(self.queue)
                self.demand.on_admitted(1.0, True)
                w.log.append(Row(now, "late", self.home, request.utility))
                continue
            place = self._place(now, request)
            if place is None:
                return
            heapq.heappop(self.queue)
            self.demand.on_admitted((now - request.arrived_at) / w.setup.timeout_ms, False)
            w.run(now, self, place, request)

    def usable_cores(self, now: float, cores: float) -> float:
        """Cores that the threshold may count on, as the estimator says."""
        if not self.world.remaining:
            return cores
        whole = [zone for zone in self.world.zones_out if self.world.remaining[zone] <= 0]
        found = self.estimator.useful_cores(*whole)
        return cores if found is None else min(cores, found)

    def _place(self, now: float, request: Request) -> int | None:
        """The engine for a request, if any has capacity."""
        w = self.world
        used = {
            at: server.in_flight.get(self.number, 0)
            + (self.in_flight_elsewhere[at] if self.in_flight_elsewhere else 0)
            for at, server in enumerate(w.servers)
            if w.usable(now, server.zone) and at not in w.known_down
        }
        room = {at: n for at, n in used.items() if n < w.room(w.servers[at].zone)}
        if not room:
            return None
        zones = self._zones(now, {w.servers[at].zone for at in room}, request, used)
        places = [at for at in room if w.servers[at].zone in zones]
        if not places:
            return None
        place = min(places, key=lambda at: (room[at], w.draw.random()))
        if w.setup.decides == "outlook":
            self.credits[w.servers[place].zone] = self.credits.get(w.servers[place].zone, 0.0) - 1
        return place

    def _zones(self, now: float, roomy: set[str], request: Request, used: dict[int, int]) -> set[str]:
        """The zones that it may go to now."""
        w = self.world
        if w.setup.decides == "today":
            return roomy
        if w.setup.decides == "nearest":
            return {self.home} if self.home in roomy else roomy
        shares = dict(w.shares(now, self))
        if not shares:
            return {self.home} if self.home in roomy else roomy
        if request.queued_at < now - MAX_PREFERENCE_MS or not self.credits:
            idle = {w.servers[at].zone for at, n in used.items() if not n} & roomy
            if idle:
                return idle
        if not any(self.credits.get(zone, 0.0) >= 0 for zone in shares):
            for zone, share in shares.items():
                self.credits[zone] = min(self.credits.get(zone, 0.0) + share, 4.0)
        best = sorted((z for z in shares if z in roomy), key=lambda z: -self.credits.get(z, 0.0))
        if best and self.credits.get(best[0], 0.0) < 0:
            for zone, share in shares.items():
                self.credits[zone] = min(self.credits.get(zone, 0.0) + share, 4.0)
        return set(best[:1])


class World:
    """The model. Set faults by `lose` and `slow`; `remaining` is what the fleet lets a zone have."""

    def __init__(self, seed: int, setup: Setup) -> None:
        self.draw, self.serial, self.setup = random.Random(seed), itertools.count(), setup
        self.network = Network(seed)  # for its clock
        self.names = sorted(setup.rates)
        self.servers = [Server(zone) for zone in self.names for _ in range(setup.engines)]
        self.engines_by_zone = {z: {f"{z}{i}": 1.0 for i in range(setup.engines)} for z in self.names}
        self.log = Log()
        self.remaining: dict[str, float] = {}
        self.zones_out: tuple[str, ...] = ()  # zones that are left, wholly or in part
        self.known_down: set[int] = set()
        self.budget: dict[str, tuple[float, float]] = {}  # work that a zone left in part may still be sent
        self.claim_factors: dict[
            int, float
        ] = {}  # instance -> times that it claims; it also tells all as warm
        self.instances = [
            self.instance(i, zone)
            for i, zone in enumerate(zone for zone in self.names for _ in range(setup.instances))
        ]
        for server in self.servers:  # warm for its own clients, as after a long calm
            for name in [*self._names(server.zone)]:
                server.use(name, setup.cached_data_sets)
        for zone in self.names:
            self.at(0.0, partial(self._arrival, zone))
        for here in self.instances:
            self.at(STEP_MS * self.draw.random(), partial(self._step, here))
            self.at(LOAD_REPORT_INTERVAL_MS * self.draw.random(), partial(self._hear, here))

    def instance(self, number: int, home: str) -> Instance:
        """One of the dispatchers."""
        return Instance(self, number, home)

    def at(self, when: float, action: Callable[[float], None]) -> None:
        """Call an action at a time."""
        self.network.at(when, lambda: action(self.network.now))

    def play(self, until: float) -> None:
        """Let time pass."""
        self.network.run(until)

    def lose(self, zone: str, count: int | None = None) -> None:
        """So many engines of a zone, or all, are gone, with what they ran."""
        places = [at for at, s in enumerate(self.servers) if s.zone == zone and s.up][:count]
        for at in places:
            self.servers[at].up = False

    def slow(self, zone: str, speed: float) -> None:
        """A zone's engines work at so much of their speed."""
        for server in self.servers:
            if server.zone == zone:
                server.speed = speed

    def see(self, left: Mapping[str, float]) -> None:
        """The fleet has seen it: so much is left of these zones, of which less than half is left by all."""
        self.remaining = dict(left)
        self.zones_out = tuple(sorted(left))
        self.known_down = {at for at, s in enumerate(self.servers) if not s.up}

    def leave(self, now: float, zone: str, gives: float) -> float:
        """A faulty zone is evacuated in part: how much of its load it retains, by who decides."""
        if self.setup.decides == "outlook":
            kept = self.instances[0].estimator.retained_share(now, zone, gives) or 0.0
        else:
            s, cores = EvacuationSettings(), float(self.setup.engines)
            offered = sum(self.setup.rates.values()) * self.setup.mean_work_ms / 1000
            lacking = (offered - s.usable_capacity_share * cores * (len(self.names) - 1)) / cores
            kept = min(max(lacking, 0.0), gives)
            kept = kept if kept >= MIN_RETAINED_SHARE else 0.0
        self.see({zone: kept})
        return kept

    def usable(self, now: float, zone: str) -> bool:
        """Whether a zone may be sent to; one left in part within its budget."""
        if zone not in self.remaining or self.remaining[zone] >= 1.0 or zone in self.known_partly():
            return True
        work, at = self.budget.get(zone, (0.0, now))
        kept = self.remaining[zone] * self.setup.engines
        work = min(work + (now - at) * kept, 4 * self.setup.mean_work_ms)
        self.budget[zone] = work, now
        return work >= self.setup.mean_work_ms

    def known_partly(self) -> set[str]:
        """Zones with engines that are known to be gone and others that are well."""
        gone = {self.servers[at].zone for at in self.known_down}
        return {z for z in gone if any(s.zone == z and s.up for s in self.servers)}

    def room(self, zone: str) -> int:
        """Requests that may be at an engine or on the way, for all alike."""
        farthest = max(self.setup.round_trips_ms[name, zone] for name in self.names)
        return 2 + math.ceil(farthest / self.setup.mean_work_ms)

    def shares(self, now: float, here: Instance) -> tuple[tuple[str, float], ...]:
        """Which zones serve an instance's clients now, by its estimator."""
        plan = here.estimator.plan
        if plan is not None and dict(plan.remaining) == {z: x for z, x in self.remaining.items() if x < 1.0}:
            return here.estimator.serving_zones(here.home)
        whole = [z for z in self.zones_out if self.remaining[z] <= 0]
        return here.estimator.serving_zones(here.home, *whole)

    def _names(self, home: str) -> dict[str, float]:
        """Data sets of a zone's clients and how much they are used."""
        names = [f"{home}/{i}" for i in range(self.setup.own_data_sets)] + [
            f"all/{i}" for i in range(self.setup.shared_data_sets)
        ]
        return {name: 1 / (1 + i) for i, name in enumerate(names)}

    def _arrival(self, home: str, now: float) -> None:
        names = self._names(home)
        worth = self.draw.choices([w for w, _ in self.setup.utilities], [p for _, p in self.setup.utilities])[
            0
        ]
        data_set = self.draw.choices(list(names), list(names.values()))[0]
        request = Request(home, worth, data_set, self.draw.random(), now)
        self.log.append(Row(now, "came", home, worth))
        self.draw.choice([i for i in self.instances if i.home == home]).on_request(now, request)
        self.at(now + self.draw.expovariate(self.setup.rates[home] / 1000), partial(self._arrival, home))

    def run(self, now: float, here: Instance, place: int, request: Request) -> None:
        """Send a request to an engine, and receive its end."""
        server = self.servers[place]
        server.in_flight[here.number] = server.in_flight.get(here.number, 0) + 1
        trip = self.setup.round_trips_ms[here.home, server.zone] * self.draw.lognormvariate(-0.005, 0.1)
        if server.zone in self.remaining and self.remaining[server.zone] < 1.0:
            work, at = self.budget.get(server.zone, (0.0, now))
            self.budget[server.zone] = work - self.setup.mean_work_ms, at
        self.at(now + trip / 2, lambda t: self._begin(t, here, server, request, trip))

    def _begin(self, now: float, here: Instance, server: Server, request: Request, trip: float) -> None:
        if not server.up:
            self.at(now + FAILURE_DELAY_MS, lambda t: self._broken(t, here, server, request))
            return
        mean = self.setup.mean_work_ms * self.draw.lognormvariate(-0.08, 0.4)
        extra = (
            0.0
            if server.use(request.data_set, self.setup.cached_data_sets)
            else mean * (self.setup.cold_factor - 1)
        )
        server.busy_until = max(now, server.busy_until) + (mean + extra) / server.speed
        row = Row(now, "ran", here.home, request.utility, server.zone, mean, extra, trip)
        self.log.append(row)
        self.at(server.busy_until + trip / 2, lambda t: self._done(t, here, server, request, row))

    def _broken(self, now: float, here: Instance, server: Server, request: Request) -> None:
        server.in_flight[here.number] -= 1
        here.enqueue(now, request)

    def _done(self, now: float, here: Instance, server: Server, request: Request, row: Row) -> None:
        if not server.up:
            self._broken(now, here, server, request)
            return
        server.in_flight[here.number] -= 1
        here.estimator.on_answer(now, server.zone, request.data_set, row.round_trip_ms)
        late = now > request.arrived_at + self.setup.timeout_ms
        what = "late" if late else "served"
        self.log.append(replace(row, at=now, what=what, arrived_at=request.arrived_at))
        here.send(now)

    def _step(self, here: Instance, now: float) -> None:
        here.send(now)
        live = range(1, len(self.instances) + 1)
        capacity = self.setup.engines * sum(self.remaining.get(zone, 1.0) for zone in self.names)
        if self.setup.decides == "outlook":
            capacity = here.usable_cores(now, capacity)
        for member, data in here.demand.step(now, live, capacity):
            self.at(now + 2, partial(self._told, self.instances[member - 1].demand, data))
        for zone in self.names:  # distances are measured by probes too
            if zone not in here.estimator.observations.round_trips_ms:
                here.estimator.observations.round_trips_ms[zone] = self.setup.round_trips_ms[here.home, zone]
        if self.setup.decides == "outlook":
            for member, data in here.estimator.step(now, live, self.remaining):
                data = self._claim(here, data)
                if self.draw.random() >= self.setup.loss:
                    self.at(now + 2, partial(self._told, self.instances[member - 1].estimator, data))
        self.at(now + STEP_MS, partial(self._step, here))

    def _claim(self, here: Instance, data: bytes) -> bytes:
        """What an instance reports, which may be false."""
        times = self.claim_factors.get(here.number, 1.0)
        if times == 1.0:
            return data
        [site] = decode_site_reports(data)
        rates = {step: work * times for step, work in site.rates.items()}
        zones = {
            n: replace(seen, warm_filter=2**FILTER_BITS - 1, round_trip_ms=0.1)
            for n, seen in site.zones.items()
        }
        return encode_site_reports([replace(site, rates=rates, zones=zones)])

    def _told(self, who: DemandSharing | CostEstimator, data: bytes, now: float) -> None:
        who.on_message(now, data)

    def _hear(self, here: Instance, now: float) -> None:
        here.in_flight_elsewhere = [
            sum(n for i, n in s.in_flight.items() if i != here.number) for s in self.servers
        ]
        here.send(now)
        self.at(now + LOAD_REPORT_INTERVAL_MS, partial(self._hear, here))
