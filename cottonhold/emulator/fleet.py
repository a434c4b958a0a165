"""A model of a fleet of coordinators in virtual time: instances with clients, zones of engines, and faults.

The model is far cheaper than processes: an engine is one server with a queue, requests arrive as a Poisson
process, and an engine is chosen at random within the bounds. The seed determines the run. Times are in ms.
"""

from __future__ import annotations

import heapq
import itertools
import math
import random
import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

from cottonhold.discovery.model import Address
from cottonhold.emulator.credit_account import CreditAccount
from cottonhold.emulator.network import Datagram, Network
from cottonhold.fleet.actions import SendFleetMessage
from cottonhold.fleet.coordinator import FleetCoordinator
from cottonhold.fleet.engine_bounds import EngineBounds
from cottonhold.fleet.settings import FleetSettings
from cottonhold.fleet.zone_failover.zone_state import PhaseChange

TIMEOUT_MS = 2000.0
CHECK_INTERVAL_MS = 500.0  # interval of the health checks of an engine
DEATH_NOTICE_MS = 1200.0  # time until membership reports that an instance died
COLD_FACTOR = 3.0  # how many times longer an attempt runs on a cold engine
CONNECT_FAILURE_MS, ERROR_MS = 1.0, 2.0
COMPARED_ENGINES, MAX_ENGINE_DRAWS = 2, 8
QUERY_CLASS = 0


@dataclass(slots=True, eq=False)
class ModelEngine:
    """An engine with its mean work, its queue and its faults."""

    id: str
    zone: str
    number: int = 0
    mean_work_ms: float = 20.0
    busy_until: float = 0.0
    slow_factor: float = 1.0
    failing_share: float = 0.0
    is_dead: bool = False
    silent_until: float = 0.0
    cold_until: float = 0.0
    sends: list[float] = field(default_factory=list)

    def run(self, now: float, draw: random.Random) -> tuple[bool | None, float]:
        """Run an attempt.

        Returns:
            Whether the attempt was served (None if it timed out), and the time until that is known, in ms.
        """
        self.sends.append(now)
        if self.is_dead:
            return False, CONNECT_FAILURE_MS
        slow_factor = self.slow_factor * (COLD_FACTOR if now < self.cold_until else 1.0)
        work_ms = self.mean_work_ms * draw.lognormvariate(-0.08, 0.4) * slow_factor
        started_at = max(now, self.busy_until, self.silent_until)
        if started_at + work_ms - now > TIMEOUT_MS:
            return None, TIMEOUT_MS
        if draw.random() < self.failing_share:
            return False, ERROR_MS
        self.busy_until = started_at + work_ms
        return True, started_at + work_ms - now

    def queue_ms(self, now: float) -> float:
        """Return how long a new attempt would wait according to an instance, in ms; 0 for a dead engine."""
        return max(self.busy_until - now, 0.0) if not self.is_dead else 0.0


class PendingEnd(NamedTuple):
    """The end of an attempt in flight; ordered by time."""

    ends_at: float
    serial: int
    request_id: str
    sent_at: float
    is_served: bool | None


class SentAttempt(NamedTuple):
    """An entry of the model's log of attempts; `is_cut` means that the instance could not reach the zone."""

    at: float
    zone: str
    is_served: bool
    is_cut: bool


class Node:
    """One instance on the network, with its coordinator, its clients and its choice of engines."""

    def __init__(self, world: FleetWorld, number: int, rate: float, now: float, incarnation: int) -> None:
        self.world, self.number, self.rate = world, number, rate
        self.draw = random.Random(world.seed * 1000 + number * 10 + incarnation)
        seed = self.draw.getrandbits(30)
        self.fleet = FleetCoordinator(number + 1, incarnation, now, world.settings, seed)
        self.fleet.set_engines(world.zones)
        self.credits = CreditAccount(number)
        self.next_arrival_at = now + self._draw_arrival_interval_ms()
        self.pending_ends: list[PendingEnd] = []
        self.serial = itertools.count()
        self.unreachable_zones: set[str] = set()
        self.phase_changes: list[tuple[float, PhaseChange]] = []
        self.cpu_seconds = 0.0

    def _draw_arrival_interval_ms(self) -> float:
        return self.draw.expovariate(self.rate / 1000)

    def next_at(self) -> float:
        """Return the time of the next step."""
        end_at = self.pending_ends[0].ends_at if self.pending_ends else math.inf
        return min(self.fleet.next_at(), self.next_arrival_at, end_at)

    def step(self, now: float, received: list[Datagram]) -> Iterable[Datagram]:
        """Receive messages, serve clients, and let the coordinator decide."""
        started_at, datagrams = time.perf_counter(), list[Datagram]()
        for data, sender in received:
            datagrams += self._execute(now, self.fleet.on_message(now, sender.port, data))
        while self.pending_ends and self.pending_ends[0].ends_at <= now:
            end = heapq.heappop(self.pending_ends)
            self.fleet.on_attempt_ended(now, end.request_id, end.is_served, end.ends_at - end.sent_at)
        self.cpu_seconds += time.perf_counter() - started_at
        while self.next_arrival_at <= now:
            self.next_arrival_at += self._draw_arrival_interval_ms()
            self._serve(now)
        started_at = time.perf_counter()
        datagrams += self._execute(now, self.fleet.step(now))
        self.cpu_seconds += time.perf_counter() - started_at
        return datagrams

    def _serve(self, now: float) -> None:
        """Send a client's request to an engine, or reject it."""
        self.fleet.on_request(now, QUERY_CLASS)
        candidates = self._candidates(now)
        if not candidates:
            self.world.rejected += 1
            return
        engine = min(candidates, key=lambda candidate: candidate.queue_ms(now))
        self.credits.spend(engine.id, engine.mean_work_ms)
        request_id = f"{next(self.serial)}@{now}"
        self.fleet.on_attempt_sent(now, request_id, engine.id, QUERY_CLASS)
        is_cut = engine.zone in self.unreachable_zones
        is_served, duration_ms = (False, CONNECT_FAILURE_MS) if is_cut else engine.run(now, self.draw)
        self.world.log.append(SentAttempt(now, engine.zone, bool(is_served), is_cut))
        end = PendingEnd(now + duration_ms, next(self.serial), request_id, now, is_served)
        heapq.heappush(self.pending_ends, end)

    def _candidates(self, now: float) -> list[ModelEngine]:
        """Return up to two engines to which an attempt may be sent.

        A few random engines are tried first, at a cost that does not depend on the size of the fleet; if too
        few of them are permitted, the choice is made among all engines.
        """
        candidates: list[ModelEngine] = []
        for _ in range(MAX_ENGINE_DRAWS):
            engine = self.draw.choice(self.world.engine_list)
            if engine not in candidates and self._is_allowed(now, engine):
                candidates.append(engine)
                if len(candidates) == COMPARED_ENGINES:
                    return candidates
        allowed = [engine for engine in self.world.engine_list if self._is_allowed(now, engine)]
        return self.draw.sample(allowed, min(COMPARED_ENGINES, len(allowed)))

    def _is_allowed(self, now: float, engine: ModelEngine) -> bool:
        return self.credits.allows(now, engine.id, engine.number, engine.mean_work_ms)

    def _execute(self, now: float, actions: Iterable[object]) -> list[Datagram]:
        """Execute the coordinator's actions; return the datagrams to send."""
        datagrams: list[Datagram] = []
        for action in actions:
            match action:
                case SendFleetMessage(member, data):
                    datagrams.append((data, address_of(member)))
                case EngineBounds():
                    self.credits.set_bounds(now, action)
                case PhaseChange():
                    self.phase_changes.append((now, action))
        return datagrams


def address_of(member: int) -> Address:
    """Return the address at which a member receives datagrams."""
    return Address("fleet", member)


class FleetWorld:
    """The model: instances, clients and zones of engines, with faults.

    Args:
        seed: Seed of the run.
        instances: Number of instances.
        rate: Requests per second at all instances together.
        zones: Names of the zones.
        engines: Number of engines in each zone.
        skew: Relative share of the requests at an instance, by its number.
        loss: Share of datagrams that are lost.
        settings: Settings of the coordinators.
    """

    def __init__(
        self,
        seed: int,
        instances: int,
        rate: float,
        zones: Iterable[str] = ("a", "b", "c"),
        engines: int = 3,
        skew: Callable[[int], float] = lambda i: 1.0,
        loss: float = 0.0,
        settings: FleetSettings | None = None,
    ) -> None:
        self.seed = seed
        self.settings = settings or FleetSettings(dispatchers=instances)
        self.network = Network(seed, loss=loss)
        self.engines = {f"{z}{i}": ModelEngine(f"{z}{i}", z, i) for z in zones for i in range(engines)}
        self.engine_list = list(self.engines.values())
        self.zones = {z: {e.id: 1.0 for e in self.engines.values() if e.zone == z} for z in zones}
        self.rejected = 0
        self.log: list[SentAttempt] = []
        self.live_members: set[int] = set()
        self.nodes: dict[int, Node] = {}
        weights = [skew(i) for i in range(instances)]
        self.rates = [rate * weight / sum(weights) for weight in weights]
        for number in range(instances):
            self.start(number, incarnation=1)
        self.announce_members()
        self._check_engines()

    def start(self, number: int, incarnation: int) -> None:
        """Start an instance without any stored state."""
        node = Node(self, number, self.rates[number], self.network.now, incarnation)
        self.nodes[number] = node
        self.network.add(address_of(number + 1), node)
        self.live_members.add(number + 1)

    def kill(self, number: int) -> None:
        """Kill an instance; its clients then send no requests."""
        self.network.kill(address_of(number + 1))
        self.live_members.discard(number + 1)
        del self.nodes[number]
        self.network.call_at(self.network.now + DEATH_NOTICE_MS, self.announce_members)

    def announce_members(self) -> None:
        """Announce the live members to all instances, as membership would."""
        for node in self.nodes.values():
            node.fleet.set_members(self.network.now, self.live_members)

    def run(self, until: float) -> None:
        """Run the model up to a time in ms."""
        self.network.run(until)

    def share(self, zone: str, begin: float, end: float) -> float:
        """Return the share of all attempts from `begin` to `end` that were sent to a zone."""
        zones = [attempt.zone for attempt in self.log if begin <= attempt.at < end]
        return zones.count(zone) / max(len(zones), 1)

    def phases(self, zone: str) -> dict[int, str]:
        """Return each instance's phase of a zone, by the instance's number."""
        return {number: node.fleet.evacuation.states[zone].phase.value for number, node in self.nodes.items()}

    def _check_engines(self) -> None:
        """Have one instance check each engine's health; a successful result reaches all instances."""
        now = self.network.now
        for engine in self.engines.values():
            is_well = not engine.is_dead and now >= engine.silent_until
            for node in self.nodes.values() if is_well else ():
                node.fleet.on_health_check(now, engine.id, True)
        self.network.call_at(now + CHECK_INTERVAL_MS, self._check_engines)
