"""A model of zone outages in virtual time, with round trips between zones and engines that cache data sets.

The model shows whether the cost estimator's projections are correct and its decisions useful. An instance
serves the clients of its own zone. An engine caches the data sets that it used last; requests for others take
longer. The seed determines the run. Times are in ms; an engine of speed 1 does 1 ms of work per ms.
"""

from __future__ import annotations

import heapq
import itertools
import math
import random
from collections.abc import Callable, Mapping
from dataclasses import replace
from functools import partial

from cottonhold.emulator.outage_log import LogEntry, RequestEvent, RequestLog
from cottonhold.emulator.outage_setup import OutageSetup, Request, Server
from cottonhold.emulator.virtual_time import VirtualClock
from cottonhold.fleet.admission.demand import density_step
from cottonhold.fleet.admission.demand_sharing import DemandSharing
from cottonhold.fleet.failover_cost.estimator import CostEstimator
from cottonhold.fleet.failover_cost.messages import FILTER_BITS, decode_site_reports, encode_site_reports
from cottonhold.fleet.zone_failover.evacuation import EvacuationSettings
from cottonhold.fleet.zone_failover.zone_assessment import MIN_RETAINED_SHARE

STEP_MS, LOAD_REPORT_INTERVAL_MS = 100.0, 250.0
ANSWER_MARGIN_MS = 60.0  # a queued request is rejected this long before its timeout
FAILURE_DELAY_MS = 300.0  # time until a request at a failed engine is known to have failed
MESSAGE_DELAY_MS = 2.0
MAX_PREFERENCE_MS = 100.0  # queueing time after which a request may be sent to any zone with an idle engine
MAX_ZONE_CREDITS = 4.0
MAX_BUDGET_REQUESTS = 4  # largest unused budget of a partly evacuated zone, in requests
MIN_IN_FLIGHT = 2  # number of requests that may always be at an engine or on the way to it


class Instance:
    """A dispatcher that serves the clients of one zone."""

    def __init__(self, world: OutageWorld, number: int, home: str) -> None:
        self.world, self.number, self.home = world, number, home
        self.queue: list[tuple[float, int, Request]] = []  # by descending utility, then by order
        self.in_flight_elsewhere: list[int] = []  # by server, as of the last load report
        self.demand = DemandSharing(number + 1, 1, 0.0, number)
        self.estimator = CostEstimator(number + 1, 1, 0.0, home, number, world.setup.settings)
        self.estimator.set_engines(world.engines_by_zone)
        self.zone_credits: dict[str, float] = {}

    def on_request(self, now: float, request: Request) -> None:
        """Record a request that arrives, and admit or reject it."""
        world, mean_work_ms = self.world, self.world.setup.mean_work_ms
        self.demand.on_request(now, request.utility, mean_work_ms, False)
        self.estimator.on_request(now, request.utility, mean_work_ms, request.data_set)
        threshold, step = self.demand.threshold, density_step(request.utility, mean_work_ms)
        if threshold is not None and not threshold.admits(step, request.draw):
            world.log.append(LogEntry(now, RequestEvent.REJECTED, self.home, request.utility))
            return
        self.enqueue(now, request)

    def enqueue(self, now: float, request: Request) -> None:
        """Queue a request by descending utility, and send requests while there is capacity."""
        request.queued_at = now
        heapq.heappush(self.queue, (-request.utility, next(self.world.serial), request))
        self.send(now)

    def send(self, now: float) -> None:
        """Send queued requests while there is capacity, and drop those that have timed out."""
        setup = self.world.setup
        while self.queue:
            request = self.queue[0][2]
            if request.arrived_at + setup.timeout_ms - ANSWER_MARGIN_MS <= now:
                heapq.heappop(self.queue)
                self.demand.on_admitted(1.0, True)
                self.world.log.append(LogEntry(now, RequestEvent.LATE, self.home, request.utility))
                continue
            server_number = self._choose_server(now, request)
            if server_number is None:
                return
            heapq.heappop(self.queue)
            self.demand.on_admitted((now - request.arrived_at) / setup.timeout_ms, False)
            self.world.send_to_server(now, self, server_number, request)

    def usable_cores(self, cores: float) -> float:
        """Return the cores for the admission threshold: at most those that the estimator finds useful."""
        world = self.world
        if not world.remaining:
            return cores
        lost_zones = [zone for zone in world.evacuated_zones if world.remaining[zone] <= 0]
        useful_cores = self.estimator.useful_cores(*lost_zones)
        return cores if useful_cores is None else min(cores, useful_cores)

    def _used(self, server_number: int) -> int:
        """Return the requests in flight at a server; those of others are from the last load report."""
        own = self.world.servers[server_number].in_flight.get(self.number, 0)
        return own + (self.in_flight_elsewhere[server_number] if self.in_flight_elsewhere else 0)

    def _choose_server(self, now: float, request: Request) -> int | None:
        """Return the number of the server for a request; None if none has capacity."""
        world = self.world
        used = {
            number: self._used(number)
            for number, server in enumerate(world.servers)
            if world.is_usable(now, server.zone) and number not in world.known_down
        }
        zone_of = {number: world.servers[number].zone for number in used}
        available = [number for number, count in used.items() if count < world.max_in_flight(zone_of[number])]
        if not available:
            return None
        idle_zones = {zone_of[number] for number, count in used.items() if not count}
        zones = self._zones(now, request, {zone_of[number] for number in available}, idle_zones)
        candidates = [number for number in available if zone_of[number] in zones]
        if not candidates:
            return None
        chosen = min(candidates, key=lambda number: (used[number], world.draw.random()))
        if world.setup.decides == "outlook":
            zone = zone_of[chosen]
            self.zone_credits[zone] = self._credit(zone) - 1
        return chosen

    def _zones(self, now: float, request: Request, available: set[str], idle: set[str]) -> set[str]:
        """Return the zones to which a request may be sent now."""
        world = self.world
        if world.setup.decides == "today":
            return available
        nearest = {self.home} if self.home in available else available
        if world.setup.decides == "nearest":
            return nearest
        shares = dict(world.shares(self))
        if not shares:
            return nearest
        is_overdue = request.queued_at < now - MAX_PREFERENCE_MS
        if (is_overdue or not self.zone_credits) and idle & available:
            return idle & available
        if not any(self._credit(zone) >= 0 for zone in shares):
            self._add_credits(shares)
        best = sorted((zone for zone in shares if zone in available), key=lambda zone: -self._credit(zone))
        if best and self._credit(best[0]) < 0:
            self._add_credits(shares)
        return set(best[:1])

    def _credit(self, zone: str) -> float:
        return self.zone_credits.get(zone, 0.0)

    def _add_credits(self, shares: Mapping[str, float]) -> None:
        for zone, share in shares.items():
            self.zone_credits[zone] = min(self._credit(zone) + share, MAX_ZONE_CREDITS)


class OutageWorld:
    """The model: zones, servers, instances and clients; `lose_engines` and `slow_zone` cause faults.

    Attributes:
        remaining: Share of its capacity that the fleet still uses, for each affected zone.
        evacuated_zones: Zones that are evacuated completely or in part.
        known_down: Numbers of servers that the fleet knows to be down.
    """

    def __init__(self, seed: int, setup: OutageSetup) -> None:
        self.clock, self.draw, self.serial = VirtualClock(), random.Random(seed), itertools.count()
        self.setup = setup
        self.zones = sorted(setup.rates)
        self.servers = [Server(zone) for zone in self.zones for _ in range(setup.engines)]
        self.engines_by_zone = {z: {f"{z}{i}": 1.0 for i in range(setup.engines)} for z in self.zones}
        self.log = RequestLog()
        self.remaining: dict[str, float] = {}
        self.evacuated_zones: tuple[str, ...] = ()
        self.known_down: set[int] = set()
        self.budgets: dict[
            str, tuple[float, float]
        ] = {}  # by zone: work that may be sent, and time of the last update
        # Factors by which instances overstate their demand; these also report all data sets as cached.
        self.claim_factors: dict[int, float] = {}
        homes = [zone for zone in self.zones for _ in range(setup.instances)]
        self.instances = [self.make_instance(number, home) for number, home in enumerate(homes)]
        for server in self.servers:  # at first, caches hold data sets of the zone's own clients
            for data_set in self._data_sets(server.zone):
                server.use(data_set, setup.cached_data_sets)
        for zone in self.zones:
            self.call_at(0.0, partial(self._arrive, zone))
        for instance in self.instances:
            self.call_at(STEP_MS * self.draw.random(), partial(self._step, instance))
            report_at = LOAD_REPORT_INTERVAL_MS * self.draw.random()
            self.call_at(report_at, partial(self._report_load, instance))

    def make_instance(self, number: int, home: str) -> Instance:
        """Return a new dispatcher; subclasses may return another kind."""
        return Instance(self, number, home)

    def call_at(self, when: float, action: Callable[[float], None]) -> None:
        """Call an action at a time, with that time as its argument."""
        self.clock.call_at(when, lambda: action(self.clock.now))

    def run(self, until: float) -> None:
        """Run the model up to a time in ms."""
        self.clock.run(until)

    def lose_engines(self, zone: str, count: int | None = None) -> None:
        """Stop `count` engines of a zone, or all; their running requests fail."""
        for server in [s for s in self.servers if s.zone == zone and s.is_up][:count]:
            server.is_up = False

    def slow_zone(self, zone: str, speed: float) -> None:
        """Set the speed of a zone's engines, as a share of the normal speed."""
        for server in self.servers:
            if server.zone == zone:
                server.speed = speed

    def announce_remaining(self, remaining: Mapping[str, float]) -> None:
        """Set the remaining share of each affected zone's capacity, once the fleet has detected an outage."""
        self.remaining = dict(remaining)
        self.evacuated_zones = tuple(sorted(remaining))
        self.known_down = {number for number, server in enumerate(self.servers) if not server.is_up}

    def evacuate(self, now: float, zone: str, usable_share: float) -> float:
        """Evacuate a faulty zone; return the share that stays in use by the setup's decision policy."""
        if self.setup.decides == "outlook":
            retained = self.instances[0].estimator.retained_share(now, zone, usable_share) or 0.0
        else:
            retained = min(max(self._missing_share(), 0.0), usable_share)
            retained = retained if retained >= MIN_RETAINED_SHARE else 0.0
        self.announce_remaining({zone: retained})
        return retained

    def _missing_share(self) -> float:
        """Return the load for which the other zones lack capacity, as a share of a zone's cores."""
        cores = float(self.setup.engines)
        offered_cores = sum(self.setup.rates.values()) * self.setup.mean_work_ms / 1000
        usable_cores = EvacuationSettings().usable_capacity_share * cores * (len(self.zones) - 1)
        return (offered_cores - usable_cores) / cores

    def is_usable(self, now: float, zone: str) -> bool:
        """Return whether requests may be sent to a zone; a partly evacuated one has a budget."""
        if zone not in self.remaining or self.remaining[zone] >= 1.0 or zone in self._partly_down_zones():
            return True
        mean_work_ms = self.setup.mean_work_ms
        work_ms, counted_at = self.budgets.get(zone, (0.0, now))
        cores = self.remaining[zone] * self.setup.engines
        work_ms = min(work_ms + (now - counted_at) * cores, MAX_BUDGET_REQUESTS * mean_work_ms)
        self.budgets[zone] = work_ms, now
        return work_ms >= mean_work_ms

    def _partly_down_zones(self) -> set[str]:
        """Return the zones of which some engines are known to be down and others are up."""
        zones = {self.servers[number].zone for number in self.known_down}
        return {zone for zone in zones if any(s.zone == zone and s.is_up for s in self.servers)}

    def max_in_flight(self, zone: str) -> int:
        """Return how many requests may be at an engine of a zone or on the way to it."""
        longest_ms = max(self.setup.round_trips_ms[home, zone] for home in self.zones)
        return MIN_IN_FLIGHT + math.ceil(longest_ms / self.setup.mean_work_ms)

    def shares(self, instance: Instance) -> tuple[tuple[str, float], ...]:
        """Return the zones that serve an instance's clients now, with shares, by its estimator."""
        plan = instance.estimator.plan
        reduced = {zone: share for zone, share in self.remaining.items() if share < 1.0}
        if plan is not None and dict(plan.remaining) == reduced:
            return instance.estimator.serving_zones(instance.home)
        lost_zones = [zone for zone in self.evacuated_zones if self.remaining[zone] <= 0]
        return instance.estimator.serving_zones(instance.home, *lost_zones)

    def _data_sets(self, home: str) -> dict[str, float]:
        """Return the data sets of a zone's clients with the weights of their use."""
        local = [f"{home}/{i}" for i in range(self.setup.own_data_sets)]
        shared = [f"all/{i}" for i in range(self.setup.shared_data_sets)]
        return {name: 1 / (1 + i) for i, name in enumerate(local + shared)}

    def _arrive(self, home: str, now: float) -> None:
        """Give a client's request to an instance, and schedule the zone's next arrival."""
        data_sets = self._data_sets(home)
        utilities, utility_shares = zip(*self.setup.utilities, strict=True)
        utility = self.draw.choices(utilities, utility_shares)[0]
        data_set = self.draw.choices(list(data_sets), list(data_sets.values()))[0]
        request = Request(home, utility, data_set, self.draw.random(), now)
        self.log.append(LogEntry(now, RequestEvent.ARRIVED, home, utility))
        self.draw.choice([i for i in self.instances if i.home == home]).on_request(now, request)
        next_at = now + self.draw.expovariate(self.setup.rates[home] / 1000)
        self.call_at(next_at, partial(self._arrive, home))

    def send_to_server(self, now: float, instance: Instance, server_number: int, request: Request) -> None:
        """Send a request to an engine."""
        server = self.servers[server_number]
        server.in_flight[instance.number] = server.in_flight.get(instance.number, 0) + 1
        mean_round_trip_ms = self.setup.round_trips_ms[instance.home, server.zone]
        round_trip_ms = mean_round_trip_ms * self.draw.lognormvariate(-0.005, 0.1)
        if self.remaining.get(server.zone, 1.0) < 1.0:
            work_ms, counted_at = self.budgets.get(server.zone, (0.0, now))
            self.budgets[server.zone] = work_ms - self.setup.mean_work_ms, counted_at
        self.call_at(
            now + round_trip_ms / 2, lambda now: self._begin(now, instance, server, request, round_trip_ms)
        )

    def _begin(
        self, now: float, instance: Instance, server: Server, request: Request, round_trip_ms: float
    ) -> None:
        """Run a request that arrives at an engine; it fails if the engine is down."""
        if not server.is_up:
            self.call_at(now + FAILURE_DELAY_MS, lambda now: self._on_failed(now, instance, server, request))
            return
        setup = self.setup
        work_ms = setup.mean_work_ms * self.draw.lognormvariate(-0.08, 0.4)
        is_cached = server.use(request.data_set, setup.cached_data_sets)
        cold_work_ms = 0.0 if is_cached else work_ms * (setup.cold_factor - 1)
        server.busy_until = max(now, server.busy_until) + (work_ms + cold_work_ms) / server.speed
        run = LogEntry(
            now,
            RequestEvent.RAN,
            instance.home,
            request.utility,
            server.zone,
            work_ms,
            cold_work_ms,
            round_trip_ms,
        )
        self.log.append(run)
        ends_at = server.busy_until + round_trip_ms / 2
        self.call_at(ends_at, lambda now: self._on_ended(now, instance, server, request, run))

    def _on_failed(self, now: float, instance: Instance, server: Server, request: Request) -> None:
        """Queue the request of a failed attempt again."""
        server.in_flight[instance.number] -= 1
        instance.enqueue(now, request)

    def _on_ended(
        self, now: float, instance: Instance, server: Server, request: Request, run: LogEntry
    ) -> None:
        if not server.is_up:
            self._on_failed(now, instance, server, request)
            return
        server.in_flight[instance.number] -= 1
        instance.estimator.on_answer(now, server.zone, request.data_set, run.round_trip_ms)
        is_late = now > request.arrived_at + self.setup.timeout_ms
        event = RequestEvent.LATE if is_late else RequestEvent.SERVED
        self.log.append(replace(run, at=now, event=event, arrived_at=request.arrived_at))
        instance.send(now)

    def _step(self, instance: Instance, now: float) -> None:
        instance.send(now)
        live_members = range(1, len(self.instances) + 1)
        decides = self.setup.decides == "outlook"
        capacity = self.setup.engines * sum(self.remaining.get(zone, 1.0) for zone in self.zones)
        if decides:
            capacity = instance.usable_cores(capacity)
        for member, data in instance.demand.step(now, live_members, capacity):
            self._send_message(now, self.instances[member - 1].demand, data)
        observed_ms = instance.estimator.observations.round_trips_ms
        for zone in self.zones:  # health checks measure round trips too
            observed_ms.setdefault(zone, self.setup.round_trips_ms[instance.home, zone])
        if decides:
            for member, data in instance.estimator.step(now, live_members, self.remaining):
                if self.draw.random() >= self.setup.loss:
                    report = self._claim(instance, data)
                    self._send_message(now, self.instances[member - 1].estimator, report)
        self.call_at(now + STEP_MS, partial(self._step, instance))

    def _send_message(self, now: float, receiver: DemandSharing | CostEstimator, data: bytes) -> None:
        def deliver(now: float) -> None:
            receiver.on_message(now, data)

        self.call_at(now + MESSAGE_DELAY_MS, deliver)

    def _claim(self, instance: Instance, data: bytes) -> bytes:
        """Return an instance's site report, falsified if it has a claim factor."""
        factor = self.claim_factors.get(instance.number, 1.0)
        if factor == 1.0:
            return data
        [site] = decode_site_reports(data)
        rates = {step: work * factor for step, work in site.rates.items()}
        zones = {
            name: replace(zone, warm_filter=2**FILTER_BITS - 1, round_trip_ms=0.1)
            for name, zone in site.zones.items()
        }
        return encode_site_reports([replace(site, rates=rates, zones=zones)])

    def _report_load(self, instance: Instance, now: float) -> None:
        """Update an instance's counts of the requests that other instances have in flight."""
        instance.in_flight_elsewhere = [
            sum(count for number, count in server.in_flight.items() if number != instance.number)
            for server in self.servers
        ]
        instance.send(now)
        self.call_at(now + LOAD_REPORT_INTERVAL_MS, partial(self._report_load, instance))
