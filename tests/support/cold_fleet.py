"""A fleet of schedulers in virtual time whose engines all start cold during a burst of queries."""

from __future__ import annotations

import heapq
import itertools
import math
import random
from collections.abc import Callable
from dataclasses import dataclass, replace
from functools import partial

from cottonhold.scheduler.actions import CheckHealth, Send, SendToPeer, SetTimer
from cottonhold.scheduler.events import (
    AttemptEnded,
    Engine,
    EngineList,
    Event,
    HealthCheckCompleted,
    Outcome,
    PeerMessage,
    QueryArrived,
    TimerExpired,
)
from cottonhold.scheduler.scheduler import Scheduler
from cottonhold.scheduler.settings import (
    Features,
    MachineType,
    MemoryShortage,
    OverheadCosts,
    QueryClass,
    Rules,
    Settings,
)

FEATURES = Features(
    has_priorities=True,
    has_health_checks=True,
    has_peer_messages=True,
    has_retry_after=True,
    max_retry_after_ms=500.0,
)
START_MS, COLD_MS = 1000.0, 3500.0  # start of the gateways; restart of all engines and start of the burst
BURST = 4.0
HEALTH_CHECK_WORK_MS = 0.6
LONG_SHARE = 0.15  # share of long queries


@dataclass(frozen=True)
class Site:
    """The size of the fleet, its rules, and the mean work of the two query classes."""

    gateways: int
    engines: int
    per_s: float  # queries per second at each gateway
    cores: int = 8
    cold_capacity_share: float = 0.33
    overload_factor: float = 4.0
    overload_window_ms: float = 1500.0
    costs: tuple[float, float] = (200.0, 4000.0)
    uneven: float = 0.0  # standard deviation of the logarithm of the gateways' traffic
    list_delay_ms: float = 0.0
    seed: int = 1

    @property
    def mean_work(self) -> float:
        return self.costs[0] * (1 - LONG_SHARE) + self.costs[1] * LONG_SHARE

    def settings(self) -> Settings:
        rules = Rules(
            cold_capacity_share=self.cold_capacity_share,
            warm_up_ms=13000.0,
            overload_factor=self.overload_factor,
            overload_window_ms=self.overload_window_ms,
            drain_grace_ms=500.0,
        )
        short, long = self.costs
        classes = (
            QueryClass("short", max(1000.0, 2 * short), max(5000.0, 5 * short), 1.0, 0.3, 2.0),
            QueryClass("long", max(1000.0, 2 * long), max(5000.0, 5 * long), 5.0, 0.3, 2.0, threads=3),
        )
        return Settings(
            classes=classes,
            machine_types=(MachineType(self.cores, 16000.0),),
            features=FEATURES,
            overhead_costs=OverheadCosts(0.011, 0.01),
            rules=rules,
            gateway_count=self.gateways,
            tick_ms=5.0,
            reports_actual_work=True,
            on_memory_shortage=MemoryShortage.SHRINK,
        )


@dataclass(frozen=True)
class Sent:
    """A query sent to an engine: time, its work and the usual work of its class, all in ms."""

    at: float
    work: float
    usual: float


class ColdFleet:
    """Simulates one site; `sent` holds the queries and health checks sent to each engine."""

    def __init__(self, site: Site) -> None:
        self.site, self.random = site, random.Random(site.seed)
        self.settings = site.settings()
        self.queue: list[tuple[float, int, Callable[[float], None]]] = []
        self.sequence = itertools.count()
        self.names = [f"e{n:03}" for n in range(site.engines)]
        self.started = 0.0
        self.gateways: list[Scheduler | None] = [None] * site.gateways
        self.work: dict[str, tuple[float, int, float]] = {}
        self.running = dict.fromkeys(self.names, 0)
        self.sent: dict[str, list[Sent]] = {name: [] for name in self.names}
        self.at(COLD_MS, self._restart_engines)
        for gateway_index in range(site.gateways):
            self.at(START_MS, partial(self.start, gateway_index=gateway_index))
            self.at(
                COLD_MS + site.list_delay_ms * self.random.random(),
                partial(self._list_engines, gateway_index=gateway_index),
            )

    def at(self, when: float, action: Callable[[float], None]) -> None:
        heapq.heappush(self.queue, (when, next(self.sequence), action))

    def play(self, until: float) -> ColdFleet:
        for gateway_index in range(self.site.gateways):
            self._arrivals(gateway_index, until)
        while self.queue and self.queue[0][0] <= until:
            now, _, action = heapq.heappop(self.queue)
            action(now)
        return self

    def start(self, now: float, gateway_index: int) -> None:
        """Start a gateway, or restart it without any state."""
        self.gateways[gateway_index] = Scheduler(
            replace(self.settings, gateway_index=gateway_index), self.random.randrange(1 << 30)
        )
        self._list_engines(now, gateway_index)

    def _restart_engines(self, now: float) -> None:
        self.started = now

    def _list_engines(self, now: float, gateway_index: int) -> None:
        engines = tuple(Engine(name, started_at=self.started) for name in self.names)
        self.step(now, gateway_index, EngineList(engines, is_complete=True))

    def _arrivals(self, gateway_index: int, until: float) -> None:
        mean = self.site.per_s * math.exp(self.random.gauss(0, self.site.uneven)) / 1000
        now = START_MS
        while now < until:
            now += self.random.expovariate(mean * (BURST if now >= COLD_MS else 1.0))
            self.at(now, lambda now: self._arrive(now, gateway_index))

    def _arrive(self, now: float, gateway_index: int) -> None:
        kind = int(self.random.random() < LONG_SHARE)
        work = self.site.costs[kind] * math.exp(self.random.gauss(-0.35, 0.83))
        name, query_class = f"q{next(self.sequence)}", self.settings.classes[kind]
        self.work[name] = work, query_class.threads, self.site.costs[kind]
        estimated = work * math.exp(self.random.gauss(0, 0.2))
        self.step(
            now,
            gateway_index,
            QueryArrived(
                name,
                kind,
                now + 0.9 * query_class.deadline_ms,
                estimated_work_ms=estimated,
                estimated_memory_mb=50.0,
            ),
        )

    def step(self, now: float, gateway_index: int, *events: Event) -> None:
        gateway = self.gateways[gateway_index]
        for action in gateway.step(now, events) if gateway is not None else ():
            match action:
                case Send(query, engine):
                    self._run(now, gateway_index, query, engine)
                case SetTimer(after, token):
                    self._later(now + after, gateway_index, TimerExpired(token))
                case CheckHealth(engine):
                    self.sent[engine].append(Sent(now, HEALTH_CHECK_WORK_MS, HEALTH_CHECK_WORK_MS))
                    self._later(now + 3, gateway_index, HealthCheckCompleted(engine, Outcome.OK))
                case SendToPeer(data, peer) if peer is not None:
                    self._later(now + 5, peer, PeerMessage(gateway_index, data))

    def _later(self, when: float, gateway_index: int, event: Event) -> None:
        self.at(when, lambda now: self.step(now, gateway_index, event))

    def _run(self, now: float, gateway_index: int, query: str, engine: str) -> None:
        work, threads, usual = self.work.pop(query)
        self.sent[engine].append(Sent(now, work, usual))
        self.running[engine] += threads
        took = work / threads * max(1.0, self.running[engine] / self.capacity(now))

        def end(now: float) -> None:
            self.running[engine] -= threads
            done = AttemptEnded(
                query,
                0,
                engine,
                Outcome.OK,
                took,
                is_final=True,
                actual_work_ms=work,
                actual_memory_mb=50.0,
            )
            self.step(now, gateway_index, done)

        self.at(now + took, end)

    def capacity(self, now: float) -> float:
        """Return an engine's capacity in ms of work per ms, which rises linearly from its cold share."""
        warm = min(1.0, (now - self.started) / self.settings.rules.warm_up_ms) if self.started else 1.0
        return self.site.cores * (self.site.cold_capacity_share + (1 - self.site.cold_capacity_share) * warm)

    def _max_load(self, weigh: Callable[[Sent], float]) -> float:
        """Return the largest load of any engine in any window, as a share of the load that overloads it."""
        worst = 0.0
        for sends in self.sent.values():
            in_window = list[tuple[float, float]]()
            for sent in sends:
                now = sent.at
                if now < COLD_MS:
                    continue
                in_window = [(at, w) for at, w in in_window if at > now - self.site.overload_window_ms]
                in_window.append((now, weigh(sent) / self.site.mean_work))
                allowed = (
                    self.site.overload_factor
                    * self.capacity(now)
                    * self.site.overload_window_ms
                    / self.site.mean_work
                )
                worst = max(worst, sum(weight for _, weight in in_window) / overload_limit(allowed))
        return worst

    def max_load_by_work(self) -> float:
        """Return the largest load, with each query weighted by its actual work."""
        return self._max_load(lambda sent: sent.work)

    def max_load_by_usual_work(self) -> float:
        """Return the largest load, each query weighted by its class's usual work, as the rule requires."""
        return self._max_load(lambda sent: sent.usual)

    def used_share(self, until: float) -> float:
        """Return the share of the budget of all engines together that was used, in work."""
        used = sum(sent.work for sends in self.sent.values() for sent in sends if sent.at >= COLD_MS)
        span = until - COLD_MS
        return used / (self.site.overload_factor * self.capacity(COLD_MS) * span * len(self.names))


def overload_limit(allowed: float) -> float:
    """Return the number of requests of mean work in a window above which an engine is overloaded."""
    slack = 3 * math.sqrt(allowed) + 3 if allowed < 30 else 2 * math.sqrt(allowed) + 2
    return allowed + slack
