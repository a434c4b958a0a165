"""Overload in virtual time: instances with their own plans, engines with lines, clients that come again.

A model, far cheaper than processes, for comparing who sheds what. An instance holds what it can't send,
densest first, and sees what others have at an engine only as of their last word. One seed replays the run.
Times are ms; an engine does one ms of work a ms, times its speed.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field, replace

from cottonhold.emulator.network import Network
from cottonhold.fleet.admission import demand
from cottonhold.fleet.admission.demand_messages import decode_demand_reports, encode_demand_reports
from cottonhold.fleet.admission.demand_sharing import DemandSettings, DemandSharing
from cottonhold.fleet.admission.threshold import DensityThreshold, threshold_for

ROOM = 2  # requests at an engine, from all instances together, as far as they know
HEARD = 250.0  # so often an instance hears what the others have out
STEP = 100.0
ENDING = 60.0  # a request is refused so long before its time is up


@dataclass(slots=True, frozen=True)
class Kind:
    """A class of requests: worth, mean work in ms, patience in ms, share of all."""

    worth: float
    work: float = 20.0
    patience: float = 2000.0
    share: float = 0.5


KINDS = (Kind(1.0, share=0.6), Kind(6.0, share=0.4))


@dataclass(slots=True, eq=False)
class Request:
    """One request, over all its tries."""

    kind: int
    draw: float
    home: int = 0
    tries: int = 0
    came: float = 0.0
    first: float = 0.0  # when its first try came


@dataclass(slots=True, eq=False)
class Engine:
    """One server with a line."""

    speed: float = 1.0
    busy_until: float = 0.0
    out: dict[int, int] = field(default_factory=dict)  # by instance


class Instance:
    """One dispatcher: what it holds, what it believes of engines, and its policy."""

    def __init__(self, world: Overload, number: int, policy: Policy) -> None:
        self.world, self.number, self.policy = world, number, policy
        self.held: list[tuple[float, int, Request]] = []
        self.others: dict[int, int] = {}  # engine -> what others have out, as of the last word
        self.loads = DemandSharing(number + 1, 1, 0.0, number, world.settings)

    def arrive(self, now: float, request: Request) -> None:
        """A request comes: counted, then let in or turned away."""
        kind = self.world.kinds[request.kind]
        request.came = now
        step = demand.density_step(kind.worth, kind.work)
        again = request.tries > 0 and self.world.marked
        self.loads.on_request(now, kind.worth, kind.work, again)
        self.world.log.append((now, self.number, request.kind, "try"))
        if not self.policy.admits(self, request, step):
            self.world.turn_away(now, request)
            return
        heapq.heappush(self.held, (-kind.worth / kind.work, next(self.world.serial), request))
        self.send(now)

    def send(self, now: float) -> None:
        """Send what engines have room for, densest first; what has run out of time is answered."""
        while self.held:
            _, _, request = self.held[0]
            if self._over(now, request):
                heapq.heappop(self.held)
                continue
            place = self._roomy()
            if place is None:
                return
            heapq.heappop(self.held)
            patience = self.world.kinds[request.kind].patience
            self.ended((now - request.came) / patience, lost=False)
            self.world.run(now, self, place, request)

    def expire(self, now: float) -> None:
        """Answer all that ran out of time, wherever it stands in line."""
        self.held = [entry for entry in self.held if not self._over(now, entry[2])]
        heapq.heapify(self.held)

    def _over(self, now: float, request: Request) -> bool:
        """Whether its time is up; then it is answered."""
        if request.came + self.world.kinds[request.kind].patience - ENDING > now:
            return False
        self.ended(1.0, lost=True)
        self.world.turn_away(now, request)
        return True

    def ended(self, wait: float, lost: bool) -> None:
        """One that was let in was sent, or its time ran out."""
        self.policy.ended(wait, lost)
        self.loads.on_admitted(wait, lost)

    def _roomy(self) -> int | None:
        mine = [e.out.get(self.number, 0) for e in self.world.engines]
        used = [out + self.others.get(place, 0) for place, out in enumerate(mine)]
        place = min(range(len(used)), key=lambda at: (used[at], self.world.draw.random()))
        return place if used[place] < ROOM else None


class Policy:
    """Nothing is turned away but by time: today. With a price of its own, what is under it."""

    price: DensityThreshold | None = None

    def admits(self, here: Instance, request: Request, step: int) -> bool:
        """Whether a request is let in."""
        return self.price is None or self.price.admits(step, request.draw)

    def ended(self, wait: float, lost: bool) -> None:
        """One that was let in was sent after a part of its patience, or its time ran out."""

    def step(self, now: float, here: Instance) -> None:
        """Ten times a second."""


class Alone(Policy):
    """Each adapts the share that it lets in, dearest first, by its own time-outs (AIMD)."""

    def __init__(self) -> None:
        self.share, self.lost = 1.0, False

    def ended(self, wait: float, lost: bool) -> None:
        self.lost = self.lost or lost

    def step(self, now: float, here: Instance) -> None:
        self.share = self.share * 0.9 if self.lost else min(self.share + 0.01, 1.0)
        self.lost = False
        rates = here.loads.demand.rates(now)
        self.price = threshold_for(rates, self.share * sum(rates.values())) if self.share < 1.0 else None


class QueueDelay(Policy):
    """Each drops its least dear held request where its line has stood too long (CoDel)."""

    target, interval = 100.0, 500.0

    def __init__(self) -> None:
        self.above_since, self.drops = -1.0, 0

    def step(self, now: float, here: Instance) -> None:
        delay = max((now - r.came for _, _, r in here.held), default=0.0)
        if delay < self.target:
            self.above_since, self.drops = -1.0, 0
            return
        self.above_since = now if self.above_since < 0 else self.above_since
        if now - self.above_since >= self.interval:
            self.drops += 1
            for _ in range(min(self.drops, len(here.held))):
                worst = max(here.held)
                here.held.remove(worst)
                here.world.turn_away(now, worst[2])
            heapq.heapify(here.held)


class Credits(Policy):
    """Each gets a part of the capacity by its demand, and fills it with its own densest."""

    def step(self, now: float, here: Instance) -> None:
        own = here.loads.demand.rates(now)
        everybody = range(1, len(here.world.instances) + 1)
        others = sum(sum(told.rates.values()) for told in here.loads.reported_loads(now, everybody))
        total = sum(own.values()) + others
        part = here.world.capacity() * sum(own.values()) / max(total, 1e-9)
        self.price = threshold_for(own, part) if total > here.world.capacity() else None


class OnePrice(Policy):
    """The price of all."""

    def admits(self, here: Instance, request: Request, step: int) -> bool:
        return here.loads.threshold is None or here.loads.threshold.admits(step, request.draw)


class Overload:
    """All of it. `rate`: first tries a second over all; `weights`: the instances' parts of them."""

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
        self.rate, self.weights, self.tries, self.kinds = rate, list(weights), tries, list(kinds)
        self.delay, self.loss, self.marked, self.settings = delay, loss, marked, settings
        self.engines = [Engine(speed) for _ in range(engines)]
        self.up = engines
        self.instances: list[Instance] = [self.make(i, policy(i)) for i in range(len(self.weights))]
        self.network = Network(seed)  # only for its clock: loads go by a way of their own here
        self.cut: Callable[[int, int], bool] = lambda a, b: False
        self.lie: dict[int, float] = {}  # instance -> times that it claims
        self.bytes = 0
        # [time, instance, kind, what]: what is came (a first try), sent, served, refused (a last try).
        self.log: list[tuple[float, int, int, str]] = []
        self.at(0.0, self._arrival)
        for here in self.instances:
            self.at(STEP * self.draw.random(), lambda now, h=here: self._step(now, h))  # type: ignore[misc]
            self.at(HEARD * self.draw.random(), lambda now, h=here: self._hear(now, h))  # type: ignore[misc]

    def make(self, number: int, policy: Policy) -> Instance:
        """An instance at the start."""
        return Instance(self, number, policy)

    def at(self, when: float, action: Callable[[float], None]) -> None:
        """Call an action at a time."""
        self.network.at(when, lambda: action(self.network.now))

    def play(self, until: float) -> None:
        """Let time pass."""
        self.network.run(until)

    def capacity(self) -> float:
        """Cores of the engines in use, as the list tells; their true speed may differ."""
        return float(self.up)

    def run(self, now: float, here: Instance, place: int, request: Request) -> None:
        """A request goes to an engine."""
        engine, kind = self.engines[place], self.kinds[request.kind]
        engine.out[here.number] = engine.out.get(here.number, 0) + 1
        self.log.append((now, here.number, request.kind, "sent"))
        work = kind.work * self.draw.lognormvariate(-0.08, 0.4) / engine.speed
        engine.busy_until = max(now, engine.busy_until) + work
        self.at(engine.busy_until, lambda t: self._done(t, here, engine, request))

    def turn_away(self, now: float, request: Request) -> None:
        """Refused: its client may come again."""
        if request.tries + 1 < self.tries:
            request.tries += 1
            request.draw = 1.0 if self.marked else self.draw.random()
            request.home = self.draw.choices(range(len(self.weights)), self.weights)[0]
            wait = 200.0 * (0.5 + self.draw.random())
            self.at(now + wait, lambda t: self.instances[request.home].arrive(t, request))
        else:
            self.log.append((now, request.home, request.kind, "refused"))

    def fail(self, count: int) -> None:
        """So many engines are up from now on, and the list tells it."""
        self.up = count

    def _done(self, now: float, here: Instance, engine: Engine, request: Request) -> None:
        engine.out[here.number] -= 1
        late = now > request.came + self.kinds[request.kind].patience
        self.log.append((now, here.number, request.kind, "late" if late else "served"))
        here.send(now)

    def _arrival(self, now: float) -> None:
        kind = self.draw.choices(range(len(self.kinds)), [k.share for k in self.kinds])[0]
        home = self.draw.choices(range(len(self.weights)), self.weights)[0]
        request = Request(kind, self.draw.random(), home)
        self.log.append((now, home, kind, "came"))
        self.instances[home].arrive(now, request)
        self.at(now + self.draw.expovariate(self.rate(now) / 1000), self._arrival)

    def _step(self, now: float, here: Instance) -> None:
        here.expire(now)
        here.policy.step(now, here)
        here.send(now)
        live = range(1, len(self.instances) + 1)
        for member, data in here.loads.step(now, live, self.capacity()):
            self.bytes += len(data)
            if not self.cut(here.number, member - 1) and self.draw.random() >= self.loss:
                data, to = self._claim(here, data), self.instances[member - 1].loads
                self.at(now + self.delay, lambda t, to=to, data=data: to.on_message(t, data))  # type: ignore[misc]
        self.at(now + STEP, lambda t: self._step(t, here))

    def _claim(self, here: Instance, data: bytes) -> bytes:
        """What an instance says, which may be a lie."""
        times = self.lie.get(here.number, 1.0)
        if times == 1.0:
            return data
        own, *others = decode_demand_reports(data)
        rates = {step: work * times for step, work in own.load.rates.items()}
        return encode_demand_reports([replace(own, load=replace(own.load, rates=rates)), *others])

    def _hear(self, now: float, here: Instance) -> None:
        """What the others have out, all at once: the module's words on loads."""
        here.others = {
            place: sum(e.out.values()) - e.out.get(here.number, 0) if place < self.up else ROOM
            for place, e in enumerate(self.engines)
        }
        here.send(now)
        self.at(now + HEARD, lambda t: self._hear(t, here))

    def shares(self, begin: float, end: float) -> dict[tuple[int, int], float]:
        """Share of tries that were served, by (instance, kind), where there were a hundred or more."""
        rows = [(i, kind, what) for t, i, kind, what in self.log if begin <= t < end]
        came = {key: 0 for key in sorted({(i, k) for i, k, _ in rows})}
        served = dict(came)
        for i, kind, what in rows:
            came[i, kind] += what == "try"
            served[i, kind] += what == "served"
        return {key: served[key] / n for key, n in came.items() if n >= 100}

    def worth(self, begin: float, end: float) -> tuple[float, float]:
        """Worth served, and the most that could have been: the dearest first tries that the engines carry."""
        rows = [(kind, what) for t, _, kind, what in self.log if begin <= t < end]
        got = sum(self.kinds[k].worth for k, what in rows if what == "served")
        left, most = sum(e.speed for e in self.engines[: self.up]) * (end - begin), 0.0
        for place in sorted(range(len(self.kinds)), key=lambda k: -self.kinds[k].worth / self.kinds[k].work):
            n = sum(k == place and what == "came" for k, what in rows)
            fits = min(n, left / self.kinds[place].work)
            left -= fits * self.kinds[place].work
            most += fits * self.kinds[place].worth
        return got, most
