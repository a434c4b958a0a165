"""Coordinators in virtual time: instances with clients, zones of engines, faults between them.

A model, far cheaper than processes: an engine is one server with a queue, a client is a Poisson arrival, the
choice of an engine is a draw within the bounds. One seed replays the whole run. Times are ms.
"""

from __future__ import annotations

import heapq
import itertools
import math
import random
import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from cottonhold.discovery.model import Address
from cottonhold.emulator.network import Network
from cottonhold.fleet.actions import SendFleetMessage
from cottonhold.fleet.coordinator import FleetCoordinator
from cottonhold.fleet.engine_bounds import EngineBounds
from cottonhold.fleet.settings import FleetSettings
from cottonhold.fleet.zone_failover.zone_state import PhaseChange

TIMEOUT_MS = 2000.0
CHECK_INTERVAL_MS = 500.0  # so often each engine is asked
GOLDEN_RATIO = 0.6180339887
DEATH_NOTICE_MS = 1200.0  # until membership tells of a death


@dataclass(slots=True, eq=False)
class ModelEngine:
    """An engine: its mean work, its queue, and its faults."""

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
        """Run an attempt: whether it was served, None if its time ran out, and after how many ms that is
        known."""
        self.sends.append(now)
        if self.is_dead:
            return False, 1.0
        slow = self.slow_factor * (3.0 if now < self.cold_until else 1.0)
        work = self.mean_work_ms * draw.lognormvariate(-0.08, 0.4) * slow
        start = max(now, self.busy_until, self.silent_until)
        if start + work - now > TIMEOUT_MS:
            return None, TIMEOUT_MS
        if draw.random() < self.failing_share:
            return False, 2.0
        self.busy_until = start + work
        return True, start + work - now


@dataclass(slots=True)
class Allowance:
    """The credits that one instance has saved of its bounds, as the scheduler does it. is_cold: at engines
    under slow start."""

    number: int
    is_cold: bool = False
    bounds: EngineBounds = field(default_factory=lambda: EngineBounds({}, 0.0))
    credits: dict[str, tuple[float, float]] = field(default_factory=dict)

    def allows(self, now: float, engine: str, place: int, work: float) -> bool:
        """Whether a query of so much work may go to an engine now."""
        bound = self.bounds.work_rates.get(engine)
        if bound is None:
            return True
        if not bound or now >= self.bounds.expires_at:
            return False
        saved, at = self.credits.get(engine, (0.0, now))
        saved = min(max(bound * 250.0, work), saved + bound * (now - at))
        self.credits[engine] = saved, now
        # As the scheduler does: of many whose quota is less than a query, few may begin at a time.
        turn = (place * 0.7548 + (self.number + (0 if self.is_cold else now // 2000)) * GOLDEN_RATIO) % 1
        return saved >= max(work * turn, 1e-3)

    def set_bounds(self, now: float, bound: EngineBounds) -> None:
        """New bounds; at cold engines earlier credits were saved under the bounds before."""
        before, self.bounds = self.bounds, bound
        for engine, work in before.work_rates.items() if self.is_cold else ():
            saved, at = self.credits.get(engine, (0.0, now))
            self.credits[engine] = saved + work * max(0.0, min(now, before.expires_at) - at), now

    def spend(self, engine: str, work: float) -> None:
        """A query has been sent there."""
        if engine in self.bounds.work_rates:
            saved, at = self.credits[engine]
            self.credits[engine] = saved - work, at


class Node:
    """One instance on the network: its coordinator, its clients, and its choice of engines."""

    def __init__(self, world: World, number: int, rate: float, now: float, life: int) -> None:
        self.world, self.number, self.rate = world, number, rate
        self.draw = random.Random(world.seed * 1000 + number * 10 + life)
        self.fleet = FleetCoordinator(number + 1, life, now, world.settings, self.draw.getrandbits(30))
        self.fleet.set_engines(world.zones)
        self.told_members = False
        self.allowance = Allowance(number)
        self.next_arrival = now + self.draw.expovariate(rate / 1000)
        self.pending_ends: list[tuple[float, int, str, bool | None]] = []
        self.serial = itertools.count()
        self.unreachable_zones: set[str] = set()  # zones that this instance can't reach
        self.phase_changes: list[tuple[float, PhaseChange]] = []
        self.cpu_seconds = 0.0

    def next_at(self) -> float:
        """When it is due."""
        return min(
            self.fleet.next_at(),
            self.next_arrival,
            self.pending_ends[0][0] if self.pending_ends else math.inf,
        )

    def step(self, now: float, received: list[tuple[bytes, Address]]) -> Iterable[tuple[bytes, Address]]:
        """Receive messages, serve clients, and let the coordinator decide."""
        begun, said = time.perf_counter(), list[tuple[bytes, Address]]()
        for data, sender in received:
            said += self._carry_out(now, self.fleet.on_message(now, sender.port, data))
        while self.pending_ends and self.pending_ends[0][0] <= now:
            at, _, ref, good = heapq.heappop(self.pending_ends)
            self.fleet.on_attempt_ended(now, ref, good, at - float(ref.split("@")[1]))
        self.cpu_seconds += time.perf_counter() - begun
        while self.next_arrival <= now:
            self.next_arrival += self.draw.expovariate(self.rate / 1000)
            self._serve(now)
        begun = time.perf_counter()
        said += self._carry_out(now, self.fleet.step(now))
        self.cpu_seconds += time.perf_counter() - begun
        return said

    def _serve(self, now: float) -> None:
        self.fleet.on_request(now, 0)
        free = self._two(now)
        if not free:
            self.world.rejected += 1
            return
        engine = min(free, key=lambda e: self._line(now, e))
        self.allowance.spend(engine.id, engine.mean_work_ms)
        ref = f"{next(self.serial)}@{now}"
        self.fleet.on_attempt_sent(now, ref, engine.id, 0)
        cut = engine.zone in self.unreachable_zones
        good, after = (False, 1.0) if cut else engine.run(now, self.draw)
        self.world.on_attempt(now, engine.zone, bool(good), cut)
        heapq.heappush(self.pending_ends, (now + after, next(self.serial), ref, good))

    def _two(self, now: float) -> list[ModelEngine]:
        """Two of those that are allowed, or fewer: by trial first: of many a choice costs the same."""
        found: list[ModelEngine] = []
        for _ in range(8):
            engine = self.draw.choice(self.world.engine_list)
            if engine not in found and self._allowed(now, engine):
                found.append(engine)
                if len(found) == 2:
                    return found
        free = [e for e in self.world.engine_list if self._allowed(now, e)]
        return self.draw.sample(free, min(2, len(free)))

    def _line(self, now: float, engine: ModelEngine) -> float:
        return max(engine.busy_until - now, 0.0) if not engine.is_dead else 0.0

    def _allowed(self, now: float, engine: ModelEngine) -> bool:
        return self.allowance.allows(now, engine.id, engine.number, engine.mean_work_ms)

    def _carry_out(self, now: float, actions: Iterable[object]) -> list[tuple[bytes, Address]]:
        said = []
        for action in actions:
            match action:
                case SendFleetMessage(member, data):
                    said.append((data, Address("fleet", member)))
                case EngineBounds():
                    self.allowance.set_bounds(now, action)
                case PhaseChange():
                    self.phase_changes.append((now, action))
        return said


class World:
    """All of it. `zones`: names; each has `engines` engines; `rate`: requests a second over all instances."""

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
        self.log: list[tuple[float, str, bool, bool]] = []
        self.live: set[int] = set()
        self.nodes: dict[int, Node] = {}
        weights = [skew(i) for i in range(instances)]
        self.rates = [rate * w / sum(weights) for w in weights]
        for i in range(instances):
            self.start(i, life=1)
        self.announce_members()
        self._probe()

    def _probe(self) -> None:
        """Health checks: one of all instances checks each engine, and a good result reaches all."""
        now = self.network.now
        for engine in self.engines.values():
            good = not engine.is_dead and now >= engine.silent_until
            for node in self.nodes.values() if good else ():
                node.fleet.on_health_check(now, engine.id, True)
        self.network.at(now + CHECK_INTERVAL_MS, self._probe)

    def start(self, i: int, life: int) -> None:
        """Start an instance without any memory."""
        node = self.nodes[i] = Node(self, i, self.rates[i], self.network.now, life)
        self.network.add(Address("fleet", i + 1), node)
        self.live.add(i + 1)

    def kill(self, i: int) -> None:
        """Kill an instance, and its clients with it."""
        self.network.kill(Address("fleet", i + 1))
        self.live.discard(i + 1)
        del self.nodes[i]
        self.network.at(self.network.now + DEATH_NOTICE_MS, self.announce_members)

    def announce_members(self) -> None:
        """What membership would announce."""
        for node in self.nodes.values():
            node.fleet.set_members(self.network.now, self.live)

    def on_attempt(self, now: float, zone: str, good: bool, cut: bool) -> None:
        """An attempt has been sent."""
        self.log.append((now, zone, good, cut))

    def run(self, until: float) -> None:
        """Let time pass."""
        self.network.run(until)

    def share(self, zone: str, begin: float, end: float) -> float:
        """Share of all sends from begin to end that went to a zone."""
        sends = [z for t, z, _, _ in self.log if begin <= t < end]
        return sends.count(zone) / max(len(sends), 1)

    def phases(self, zone: str) -> dict[int, str]:
        """Each instance's phase of a zone; "fleet" where it is out by the count alone."""
        return {i: n.fleet.evacuation.states[zone].phase.value for i, n in self.nodes.items()}
