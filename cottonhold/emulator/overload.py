"""Overload in virtual time: instances with their own policies, engines with queues, clients that retry.

A model, far cheaper than processes, for comparing who sheds what. An instance queues what it can't send,
densest first, and sees what others have at an engine only as of their last report. One seed replays the run.
Times are ms; an engine does one ms of work a ms, times its speed.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field, replace

from cottonhold.emulator.virtual_time import VirtualClock
from cottonhold.fleet.admission import demand
from cottonhold.fleet.admission.demand_messages import decode_demand_reports, encode_demand_reports
from cottonhold.fleet.admission.demand_sharing import DemandSettings, DemandSharing
from cottonhold.fleet.admission.threshold import DensityThreshold, threshold_for

MAX_IN_FLIGHT = 2  # requests at an engine, from all instances together, as far as they know
LOAD_REPORT_INTERVAL_MS = 250.0  # so often an instance hears what the others have out
STEP_MS = 100.0
ANSWER_MARGIN_MS = 60.0  # a request is refused so long before its time is up


@dataclass(slots=True, frozen=True)
class Kind:
    """A class of requests: utility, mean work in ms, time-out in ms, share of all."""

    utility: float
    mean_work_ms: float = 20.0
    timeout_ms: float = 2000.0
    share: float = 0.5


KINDS = (Kind(1.0, share=0.6), Kind(6.0, share=0.4))


@dataclass(slots=True, eq=False)
class Request:
    """One request, over all its attempts."""

    kind: int
    draw: float
    home: int = 0
    retries: int = 0
    arrived_at: float = 0.0
    first_arrived_at: float = 0.0  # when its first try came


@dataclass(slots=True, eq=False)
class Engine:
    """One server with a queue."""

    speed: float = 1.0
    busy_until: float = 0.0
    in_flight: dict[int, int] = field(default_factory=dict)  # by instance


class Instance:
    """One dispatcher: its queue, what it knows of engines, and its policy."""

    def __init__(self, world: Overload, number: int, policy: Policy) -> None:
        self.world, self.number, self.policy = world, number, policy
        self.queue: list[tuple[float, int, Request]] = []
        self.in_flight_elsewhere: dict[int, int] = {}  # engine -> what others have out, as of the last word
        self.demand = DemandSharing(number + 1, 1, 0.0, number, world.settings)

    def on_request(self, now: float, request: Request) -> None:
        """A request arrives: counted, then admitted or rejected."""
        kind = self.world.kinds[request.kind]
        request.arrived_at = now
        step = demand.density_step(kind.utility, kind.mean_work_ms)
        again = request.retries > 0 and self.world.marks_retries
        self.demand.on_request(now, kind.utility, kind.mean_work_ms, again)
        self.world.log.append((now, self.number, request.kind, "try"))
        if not self.policy.admits(self, request, step):
            self.world.reject(now, request)
            return
        heapq.heappush(self.queue, (-kind.utility / kind.mean_work_ms, next(self.world.serial), request))
        self.send(now)

    def send(self, now: float) -> None:
        """Send what engines have capacity for, densest first; what has run out of time is answered."""
        while self.queue:
            _, _, request = self.queue[0]
            if self._has_timed_out(now, request):
                heapq.heappop(self.queue)
                continue
            place = self._engine_with_capacity()
            if place is None:
                return
            heapq.heappop(self.queue)
            patience = self.world.kinds[request.kind].timeout_ms
            self.on_admitted((now - request.arrived_at) / patience, lost=False)
            self.world.run(now, self, place, request)

    def expire(self, now: float) -> None:
        """Answer all that ran out of time, wherever it is queued."""
        self.queue = [entry for entry in self.queue if not self._has_timed_out(now, entry[2])]
        heapq.heapify(self.queue)

    def _has_timed_out(self, now: float, request: Request) -> bool:
        """Whether its time is up; then it is answered."""
        if request.arrived_at + self.world.kinds[request.kind].timeout_ms - ANSWER_MARGIN_MS > now:
            return False
        self.on_admitted(1.0, lost=True)
        self.world.reject(now, request)
        return True

    def on_admitted(self, wait: float, lost: bool) -> None:
        """An admitted request was sent, or its time ran out."""
        self.policy.on_admitted(wait, lost)
        self.demand.on_admitted(wait, lost)

    def _engine_with_capacity(self) -> int | None:
        mine = [e.in_flight.get(self.number, 0) for e in self.world.engines]
        used = [out + self.in_flight_elsewhere.get(place, 0) for place, out in enumerate(mine)]
        place = min(range(len(used)), key=lambda at: (used[at], self.world.draw.random()))
        return place if used[place] < MAX_IN_FLIGHT else None


class Policy:
    """Rejects nothing but what ran out of time. With a threshold of its own, also what is below it."""

    threshold: DensityThreshold | None = None

    def admits(self, here: Instance, request: Request, step: int) -> bool:
        """Whether a request is admitted."""
        return self.threshold is None or self.threshold.admits(step, request.draw)

    def on_admitted(self, wait: float, lost: bool) -> None:
        """An admitted request was sent after a part of its time, or its time ran out."""

    def step(self, now: float, here: Instance) -> None:
        """Ten times a second."""


class AdaptiveShare(Policy):
    """Each adapts the share that it admits, densest first, by its own time-outs (AIMD)."""

    def __init__(self) -> None:
        self.share, self.lost = 1.0, False

    def on_admitted(self, wait: float, lost: bool) -> None:
        """Note whether a request that was admitted ran out of time."""
        self.lost = self.lost or lost

    def step(self, now: float, here: Instance) -> None:
        """Adapt to what was seen since the last step."""
        self.share = self.share * 0.9 if self.lost else min(self.share + 0.01, 1.0)
        self.lost = False
        rates = here.demand.demand.rates(now)
        self.threshold = threshold_for(rates, self.share * sum(rates.values())) if self.share < 1.0 else None


class QueueDelay(Policy):
    """Each drops its least dense queued request where its queue has stood too long (CoDel)."""

    target, interval = 100.0, 500.0

    def __init__(self) -> None:
        self.above_since, self.drops = -1.0, 0

    def step(self, now: float, here: Instance) -> None:
        """Adapt to what was seen since the last step."""
        delay = max((now - r.arrived_at for _, _, r in here.queue), default=0.0)
        if delay < self.target:
            self.above_since, self.drops = -1.0, 0
            return
        self.above_since = now if self.above_since < 0 else self.above_since
        if now - self.above_since >= self.interval:
            self.drops += 1
            for _ in range(min(self.drops, len(here.queue))):
                worst = max(here.queue)
                here.queue.remove(worst)
                here.world.reject(now, worst[2])
            heapq.heapify(here.queue)


class Credits(Policy):
    """Each gets a part of the capacity by its demand, and fills it with its own densest."""

    def step(self, now: float, here: Instance) -> None:
        """Adapt to what was seen since the last step."""
        own = here.demand.demand.rates(now)
        everybody = range(1, len(here.world.instances) + 1)
        others = sum(sum(told.rates.values()) for told in here.demand.reported_loads(now, everybody))
        total = sum(own.values()) + others
        part = here.world.capacity() * sum(own.values()) / max(total, 1e-9)
        self.threshold = threshold_for(own, part) if total > here.world.capacity() else None


class SharedThreshold(Policy):
    """The threshold of all."""

    def admits(self, here: Instance, request: Request, step: int) -> bool:
        """Whether the request passes the threshold."""
        return here.demand.threshold is None or here.demand.threshold.admits(step, request.draw)


class Overload:
    """The model. rate: first attempts a second over all; weights: the instances' parts of them."""

    def __init__(
        self,
        seed: int,
        rate: Callable[[float], float],
        weights: Sequence[float],
        policy: Callable[[int], Policy],
        engines: int = 9,
        tries: int = 3,
        kinds: Sequence[Kind] = KINDS,
        delay: float = 2.0,
        loss: float = 0.0,
        speed: float = 1.0,
        marked: bool = True,
        settings: DemandSettings | None = None,
    ) -> None:
        self.draw, self.serial = random.Random(seed), itertools.count()
        self.rate, self.weights, self.max_attempts, self.kinds = rate, list(weights), tries, list(kinds)
        self.delay, self.loss, self.marks_retries, self.settings = delay, loss, marked, settings
        self.engines = [Engine(speed) for _ in range(engines)]
        self.engines_up = engines
        self.instances: list[Instance] = [self.make_instance(i, policy(i)) for i in range(len(self.weights))]
        self.clock = VirtualClock()
        self.is_cut: Callable[[int, int], bool] = lambda a, b: False
        self.claim_factors: dict[int, float] = {}  # instance -> times that it claims
        self.bytes = 0
        # [time, instance, kind, what]: what is came (a first try), sent, served, refused (a last try).
        self.log: list[tuple[float, int, int, str]] = []
        self.at(0.0, self._arrival)
        for here in self.instances:
            self.at(STEP_MS * self.draw.random(), lambda now, h=here: self._step(now, h))  # type: ignore[misc]
            self.at(LOAD_REPORT_INTERVAL_MS * self.draw.random(), lambda now, h=here: self._hear(now, h))  # type: ignore[misc]

    def make_instance(self, number: int, policy: Policy) -> Instance:
        """An instance at the start."""
        return Instance(self, number, policy)

    def at(self, when: float, action: Callable[[float], None]) -> None:
        """Call an action at a time."""
        self.clock.call_at(when, lambda: action(self.clock.now))

    def play(self, until: float) -> None:
        """Let time pass."""
        self.clock.run(until)

    def capacity(self) -> float:
        """Cores of the engines in use, as the list tells; their true speed may differ."""
        return float(self.engines_up)

    def run(self, now: float, here: Instance, place: int, request: Request) -> None:
        """Send a request to an engine."""
        engine, kind = self.engines[place], self.kinds[request.kind]
        engine.in_flight[here.number] = engine.in_flight.get(here.number, 0) + 1
        self.log.append((now, here.number, request.kind, "sent"))
        work = kind.mean_work_ms * self.draw.lognormvariate(-0.08, 0.4) / engine.speed
        engine.busy_until = max(now, engine.busy_until) + work
        self.at(engine.busy_until, lambda t: self._done(t, here, engine, request))

    def reject(self, now: float, request: Request) -> None:
        """Reject a request; its client may retry."""
        if request.retries + 1 < self.max_attempts:
            request.retries += 1
            request.draw = 1.0 if self.marks_retries else self.draw.random()
            request.home = self.draw.choices(range(len(self.weights)), self.weights)[0]
            wait = 200.0 * (0.5 + self.draw.random())
            self.at(now + wait, lambda t: self.instances[request.home].on_request(t, request))
        else:
            self.log.append((now, request.home, request.kind, "refused"))

    def fail(self, count: int) -> None:
        """So many engines are up from now on, and the list tells it."""
        self.engines_up = count

    def _done(self, now: float, here: Instance, engine: Engine, request: Request) -> None:
        engine.in_flight[here.number] -= 1
        late = now > request.arrived_at + self.kinds[request.kind].timeout_ms
        self.log.append((now, here.number, request.kind, "late" if late else "served"))
        here.send(now)

    def _arrival(self, now: float) -> None:
        kind = self.draw.choices(range(len(self.kinds)), [k.share for k in self.kinds])[0]
        home = self.draw.choices(range(len(self.weights)), self.weights)[0]
        request = Request(kind, self.draw.random(), home)
        self.log.append((now, home, kind, "came"))
        self.instances[home].on_request(now, request)
        self.at(now + self.draw.expovariate(self.rate(now) / 1000), self._arrival)

    def _step(self, now: float, here: Instance) -> None:
        here.expire(now)
        here.policy.step(now, here)
        here.send(now)
        live = range(1, len(self.instances) + 1)
        for member, data in here.demand.step(now, live, self.capacity()):
            self.bytes += len(data)
            if not self.is_cut(here.number, member - 1) and self.draw.random() >= self.loss:
                data, to = self._claim(here, data), self.instances[member - 1].demand
                self.at(now + self.delay, lambda t, to=to, data=data: to.on_message(t, data))  # type: ignore[misc]
        self.at(now + STEP_MS, lambda t: self._step(t, here))

    def _claim(self, here: Instance, data: bytes) -> bytes:
        """What an instance reports, which may be false."""
        times = self.claim_factors.get(here.number, 1.0)
        if times == 1.0:
            return data
        own, *others = decode_demand_reports(data)
        rates = {step: work * times for step, work in own.load.rates.items()}
        return encode_demand_reports([replace(own, load=replace(own.load, rates=rates)), *others])

    def _hear(self, now: float, here: Instance) -> None:
        """What the others have in flight, all at once: the scheduler's load reports."""
        here.in_flight_elsewhere = {
            place: sum(e.in_flight.values()) - e.in_flight.get(here.number, 0)
            if place < self.engines_up
            else MAX_IN_FLIGHT
            for place, e in enumerate(self.engines)
        }
        here.send(now)
        self.at(now + LOAD_REPORT_INTERVAL_MS, lambda t: self._hear(t, here))

    def shares(self, begin: float, end: float) -> dict[tuple[int, int], float]:
        """Share of tries that were served, by (instance, kind), where there were a hundred or more."""
        rows = [(i, kind, what) for t, i, kind, what in self.log if begin <= t < end]
        came = {key: 0 for key in sorted({(i, k) for i, k, _ in rows})}
        served = dict(came)
        for i, kind, what in rows:
            came[i, kind] += what == "try"
            served[i, kind] += what == "served"
        return {key: served[key] / n for key, n in came.items() if n >= 100}

    def utility(self, begin: float, end: float) -> tuple[float, float]:
        """Utility served, and the most that could have been: the densest first attempts that the engines
        carry."""
        rows = [(kind, what) for t, _, kind, what in self.log if begin <= t < end]
        got = sum(self.kinds[k].utility for k, what in rows if what == "served")
        left, most = sum(e.speed for e in self.engines[: self.engines_up]) * (end - begin), 0.0
        for place in sorted(
            range(len(self.kinds)), key=lambda k: -self.kinds[k].utility / self.kinds[k].mean_work_ms
        ):
            n = sum(k == place and what == "came" for k, what in rows)
            fits = min(n, left / self.kinds[place].mean_work_ms)
            left -= fits * self.kinds[place].mean_work_ms
            most += fits * self.kinds[place].utility
        return got, most
