"""A power loss in virtual time: engines come back cold, instances one by one, with coordinators.

Instances, clients and their time-outs are those of `emulator/overload.py`, credits are saved as in
`emulator/fleet.py`. Here each instance runs a whole coordinator: messages may be lost, members are known only
`SETTLE` ms after an instance is up, its list comes `LISTED` ms after it. A client belongs to one instance
and retries there; while that is down it can't ask at all. Times are ms from the return of power.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from cottonhold.emulator.fleet import Allowance
from cottonhold.emulator.overload import (
    LOAD_REPORT_INTERVAL_MS,
    MAX_IN_FLIGHT,
    STEP_MS,
    Instance,
    Kind,
    Overload,
    Request,
    SharedThreshold,
)
from cottonhold.fleet.actions import SendFleetMessage, ThresholdUpdate
from cottonhold.fleet.coordinator import FleetCoordinator
from cottonhold.fleet.engine_bounds import EngineBounds
from cottonhold.fleet.recovery.first_checker import first_checker
from cottonhold.fleet.recovery.shared_slow_start import OutageScope
from cottonhold.fleet.settings import FleetSettings

KINDS = (Kind(1.0, share=0.48), Kind(6.0, share=0.32), Kind(6.0, 60.0, 4000.0, 0.2))
MEAN = sum(k.mean_work_ms * k.share for k in KINDS)
COLD = 3.0  # times slower at the start, then evenly faster
SETTLE, LISTED, ALONE = 100.0, 300.0, 30.0
OWN = 0.15  # share of a cold engine that the modules of all send by their own rule, without the fleet's word
DOWN = 400.0  # so long an engine that was not reached is not tried again
TIP, TIP_WINDOW = 2.0, 1500.0  # so many times what it can do cold, within a window, and it falls over


@dataclass(slots=True, frozen=True)
class Plan:
    """When what is back. engines: from, by place; instances: each one's. warm: ms until an engine is warm.
    again: all of it is cut at a time and back a second later, in the same order."""

    engines: Callable[[int], float] = lambda place: 0.0
    instances: Callable[[int], float] = lambda number: 500.0 * number
    warm: float = 3000.0
    again: float | None = None


@dataclass(slots=True)
class EngineOverload:
    """What an engine was sent while cold: the most within a window as a multiple of what it does in it, and
    how often it would have fallen over."""

    came: list[tuple[float, float]] = field(default_factory=list)
    tipped: int = 0
    most: float = 0.0


class RestartedInstance(Instance):
    """An instance with a coordinator, without any memory."""

    def __init__(self, world: PowerReturn, number: int, now: float) -> None:
        super().__init__(world, number, SharedThreshold())
        self.back, self.began = world, now
        self.fleet = FleetCoordinator(
            number + 1, int(now) + 1, now, world.fleet_settings, world.draw.getrandbits(30)
        )
        self.fleet.set_engines(world.zones, now)
        assert self.fleet.demand is not None
        self.demand = self.fleet.demand
        self.allowance = Allowance(number, is_cold=True)
        self.down: dict[int, float] = {}
        self.lost: OutageScope | None = None  # what its census has found

    def _engine_with_capacity(self) -> int | None:
        world, now = self.back, self.back.network.now
        if self.fleet.slow_start is None and now < self.began + LISTED:
            return None  # nothing is known of engines yet
        # As the scheduler does, by its own share of the capacity: else those that hold all places of a full
        # engine keep them, since they are the first to see one free.
        fair = MAX_IN_FLIGHT * len(world.engines) / len(world.there)
        number, draw, names, work = (
            self.number,
            world.draw.random,
            world.names,
            self.allowance.bounds.work_rates,
        )
        usual = self.back.kinds[
            self.queue[0][2].kind
        ].mean_work_ms  # as the scheduler asks for what this query takes
        mine = 0
        for engine in world.engines:
            mine += engine.in_flight.get(number, 0)
        best, least = None, (2 * MAX_IN_FLIGHT if mine + 1 <= fair else MAX_IN_FLIGHT, 0.0)
        for place, engine in enumerate(world.engines):
            # Where a bound paces what goes there, what others had out a while ago need not count as well.
            others = 0 if names[place] in work else self.in_flight_elsewhere.get(place, 0)
            used = engine.in_flight.get(number, 0) + others, draw()
            if used >= least or self.down.get(place, 0.0) > now:
                continue
            if self.allowance.allows(now, names[place], place, usual):
                best, least = place, used
        return best

    def again(self, now: float, request: Request) -> None:
        """An engine was not reached: the request waits for another."""
        kind = self.back.kinds[request.kind]
        heapq.heappush(self.queue, (-kind.utility / kind.mean_work_ms, next(self.back.serial), request))

    def carry_out(self, now: float, actions: Sequence[object]) -> None:
        """Carry out the coordinator's actions."""
        for action in actions:
            match action:
                case SendFleetMessage(member, data):
                    self.back.say(now, self.number, member - 1, data)
                case EngineBounds():
                    self.allowance.set_bounds(now, action)
                case ThresholdUpdate():
                    self.cooldown = action.retry_after_ms

    cooldown = 0.0


class PowerReturn(Overload):
    """The model. `settings.slow_start` of the coordinators is what is compared."""

    def __init__(
        self, seed: int, rate: float, count: int, engines: int, plan: Plan, settings: FleetSettings,
        loss: float = 0.0, dark: str = "", weights: Sequence[float] = (),
    ) -> None:  # fmt: skip
        self.plan, self.fleet_settings, self.dark = plan, settings, dark
        self.names = [f"{'abc'[i % 3]}{i}" for i in range(engines)]
        self.zones = {z: {e: 1.0 for e in self.names if e[0] == z} for z in "abc"}
        self.engine_at, self.pressed = [0.0] * engines, [EngineOverload() for _ in range(engines)]
        self.there: list[RestartedInstance | None] = [None] * count
        self.probed: list[dict[int, list[int]]] = [{} for _ in range(count)]  # by turn and prober: places
        for place, name in enumerate(self.names):
            for turn, due in enumerate(self.probed):
                due.setdefault(first_checker(name, 100.0 * turn, count), []).append(place)
        self.served: list[tuple[float, float, int, int, bool]] = []  # came, end, home, kind, in time
        self.life, self.over, self.checked, self.blind = 0, 0, 0, 0
        self.before: dict[str, float] = {}  # the ramp of an engine as of the last check
        self.ramped: dict[int, float] = {}  # cores that the ramp gave, by step
        super().__init__(
            seed, lambda now: rate, weights or [1.0] * count, lambda i: SharedThreshold(), engines,
            kinds=KINDS, loss=loss,
        )  # fmt: skip
        self._power(0.0)
        if plan.again is not None:
            self.at(plan.again, self._cut)
        self.at(50.0, self._check)

    def _power(self, now: float) -> None:
        for place in range(len(self.engines)):
            dark = self.names[place][0] == self.dark
            self.engine_at[place] = float("inf") if dark else now + self.plan.engines(place)
        for number in range(len(self.there)):
            when, life = now + self.plan.instances(number), self.life
            self.at(when, lambda t, n=number, of=life: self._start(t, n, of))  # type: ignore[misc]

    def _cut(self, now: float) -> None:
        self.life += 1
        self.there = [None] * len(self.there)
        for engine in self.engines:
            engine.in_flight, engine.busy_until = {}, now
        self.engine_at = [float("inf")] * len(self.engines)
        self.at(now + 1000.0, self._power)

    def _start(self, now: float, number: int, life: int) -> None:
        if life != self.life:
            return
        here = RestartedInstance(self, number, now)
        self.there[number] = self.instances[number] = here
        self.at(now, lambda t: self._step(t, here))
        # At random, or instances that start at a multiple of it apart would hear of free engines at one
        # moment, always in the same order.
        self.at(now + LOAD_REPORT_INTERVAL_MS * self.draw.random(), lambda t: self._hear(t, here))

    def speed(self, now: float, place: int) -> float:
        """What an engine does now, as a part of what it does when warm."""
        age = now - self.engine_at[place]
        return 0.0 if age < 0 else 1 / (1 + (COLD - 1) * max(0.0, 1 - age / self.plan.warm))

    def _alive(self, here: Instance) -> bool:
        return self.there[here.number] is here

    def _step(self, now: float, here: Instance) -> None:
        if not isinstance(here, RestartedInstance) or not self._alive(here):
            return
        fleet, age = here.fleet, now - here.began
        others = {o.number + 1 for o in self.there if o is not None and now - o.began >= SETTLE}
        fleet.set_members(now, others - {here.number + 1} if age >= SETTLE else ())
        if fleet.slow_start is not None:
            if age >= LISTED and not fleet.slow_start.is_listed:
                fleet.slow_start.on_list_received(now)
            self._judge(now, here, 1 + len(fleet.live))
            self._probe(now, here)
        here.expire(now)
        here.carry_out(now, fleet.step(now))
        if fleet.slow_start is None:
            # The scheduler's own slow start: its share for as long as the engine warms up.
            work = {n: OWN / len(self.there) for at, n in enumerate(self.names) if self.speed(now, at) < 1.0}
            here.allowance.bounds = EngineBounds(work, now + 500.0)
        here.send(now)
        self.at(max(fleet.next_at(), now) + 1e-3, lambda t: self._step(t, here))

    def _judge(self, now: float, here: RestartedInstance, heard: int) -> None:
        """What an instance's survey finds: it alone, then the loss of all once more than half are heard,
        since the first of them came back."""
        if here.lost is None and now - here.began >= ALONE:
            here.lost = OutageScope.ALONE
            here.fleet.on_loss(now, OutageScope.ALONE)
        if here.lost is OutageScope.ALONE and 2 * heard > len(self.there):
            here.lost = OutageScope.FLEET
            first = min(o.began for o in self.there if o is not None)
            here.fleet.on_loss(now, OutageScope.FLEET, since=first)

    def _probe(self, now: float, here: RestartedInstance) -> None:
        """Its turn at each engine; a good result reaches all members that are known."""
        turn = int((now - here.began) / 100.0) % len(self.there)
        for place in self.probed[turn].get(here.number, ()):
            name = self.names[place]
            good = self.engine_at[place] <= now
            here.fleet.on_health_check(now, name, good)
            if good:
                here.down.pop(place, None)
            for member in here.fleet.live if good else ():
                other = self.there[member - 1]
                if other is not None and self.draw.random() >= self.loss:
                    other.fleet.on_health_check(now, name, True)
                    other.down.pop(place, None)

    def _hear(self, now: float, here: Instance) -> None:
        if self._alive(here):
            super()._hear(now, here)

    def say(self, now: float, sender: int, target: int, data: bytes) -> None:
        """A message on its way."""
        self.bytes += len(data)
        if self.draw.random() < self.loss:
            return

        def come(then: float) -> None:
            there = self.there[target]
            if there is not None:
                there.carry_out(then, there.fleet.on_message(then, sender + 1, data))

        self.at(now + self.delay, come)

    def _arrival(self, now: float) -> None:
        kind = self.draw.choices(range(len(self.kinds)), [k.share for k in self.kinds])[0]
        home = self.draw.choices(range(len(self.weights)), self.weights)[0]
        here = self.there[home]
        if here is not None:
            request = Request(kind, self.draw.random(), home)
            request.first_arrived_at = now
            self.log.append((now, home, kind, "came"))
            here.fleet.on_request(now, kind)
            here.on_request(now, request)
        self.at(now + self.draw.expovariate(self.rate(now) / 1000), self._arrival)

    def reject(self, now: float, request: Request) -> None:
        """Reject a request; its client may retry, at the same instance."""
        here = self.there[request.home]
        if request.retries + 1 >= self.max_attempts or here is None:
            self.served.append((request.first_arrived_at, now, request.home, request.kind, False))
            return
        request.retries += 1
        request.draw = 1.0 if self.marks_retries else request.draw
        wait = max(here.cooldown, 200.0) * (0.5 + self.draw.random())
        self.at(now + wait, lambda t: here.on_request(t, request) if self._alive(here) else None)

    def run(self, now: float, here: Instance, place: int, request: Request) -> None:
        """Send a request to an engine; from one that is not there it returns at once."""
        assert isinstance(here, RestartedInstance)
        engine, kind, name = self.engines[place], self.kinds[request.kind], self.names[place]
        work, ref = kind.mean_work_ms * self.draw.lognormvariate(-0.08, 0.4), str(next(self.serial))
        here.fleet.on_attempt_sent(now, ref, name, request.kind)
        here.allowance.spend(name, work)
        if self.engine_at[place] > now:
            self.blind += (
                now < here.began + LISTED
            )  # neither listed nor answering: nothing can have proven it
            here.down[place] = now + DOWN
            here.fleet.on_attempt_ended(now, ref, False, 1.0)
            here.again(now, request)
            return
        self._press(now, place, work)
        engine.in_flight[here.number] = engine.in_flight.get(here.number, 0) + 1
        start = max(now, engine.busy_until)
        engine.busy_until = start + work / self.speed(start, place)
        life = self.life

        def done(then: float) -> None:
            if life == self.life and self._alive(here):
                engine.in_flight[here.number] -= 1
                late = then > request.arrived_at + kind.timeout_ms
                here.fleet.on_attempt_ended(then, ref, True, then - now, work)
                self.served.append((request.first_arrived_at, then, request.home, request.kind, not late))
                here.send(then)

        self.at(engine.busy_until, done)

    def _press(self, now: float, place: int, work: float) -> None:
        """Whether a cold engine got more within the window than it bears."""
        speed, p = self.speed(now, place), self.pressed[place]
        if speed >= 1.0:
            return
        p.came = [(t, w) for t, w in p.came if t > now - TIP_WINDOW] + [(now, work)]
        total = sum(w for _, w in p.came)
        p.most = max(p.most, total / TIP_WINDOW / speed)
        if total > TIP * TIP_WINDOW / COLD:
            p.tipped += 1
            p.came.clear()

    def _check(self, now: float) -> None:
        """The bounds of all never add up to more than the share by slow start of any."""
        up = [here for here in self.there if here is not None and here.fleet.slow_start is not None]
        room = 0.0
        for place, name in enumerate(self.names if up else ()):
            given = [h.fleet.slow_start.share(name) if h.fleet.slow_start else 1.0 for h in up]
            cold = len(up) / len(self.there) if self.speed(now, place) < 1.0 else 1.0
            room += min(sum(given) / len(given), self.speed(now, place)) * cold
        self.ramped[int(now // STEP_MS)] = room
        for name in self.names if up else ():
            bounds = [h.allowance.bounds for h in up]
            if all(name in b.work_rates for b in bounds):
                total = sum(b.work_rates[name] for b in bounds if now < b.expires_at)
                ramps = [h.fleet.slow_start for h in up if h.fleet.slow_start is not None]
                share = max(r.warming[name].share if name in r.warming else 1.0 for r in ramps)
                self.checked += 1
                # A bound stands until the next step, so what the ramp was then counts as well.
                before, self.before[name] = self.before.get(name, 1.0), share
                self.over += total > max(share, before) + 1e-6
        self.at(now + STEP_MS, self._check)

    def possible(self, begin: float, end: float, ramp: bool = False) -> float:
        """The most worth that the engines' true speed could serve of what came then, dearest first.

        What belongs to instances that are down lies idle while an engine is cold. ramp: no more than the ramp
        gave.
        """
        most, slot = 0.0, 100.0
        came = [(t, k) for t, _, k, what in self.log if what == "came" and begin <= t < end]
        order = sorted(
            range(len(self.kinds)), key=lambda k: -self.kinds[k].utility / self.kinds[k].mean_work_ms
        )
        held = [0.0] * len(self.kinds)
        counts: dict[int, list[float]] = {}
        for t, k in came:
            counts.setdefault(int(t // slot), [0.0] * len(self.kinds))[k] += 1
        for at in range(int(begin // slot), int(end // slot)):
            now = (at + 0.5) * slot
            room = (self.ramped.get(at, 0.0) if ramp else self._room(now)) * slot
            for k in order:
                held[k] += counts.get(at, [0.0] * len(self.kinds))[k]
                fits = min(held[k], room / self.kinds[k].mean_work_ms)
                held[k] -= fits
                room -= fits * self.kinds[k].mean_work_ms
                most += fits * self.kinds[k].utility
                held[k] *= 1 - slot / self.kinds[k].timeout_ms  # some leave
        return most

    def _room(self, now: float) -> float:
        up = sum(self.plan.instances(n) <= now - self.power_at(now) for n in range(len(self.there)))
        room = 0.0
        for place in range(len(self.engines)):
            age = now - self.power_at(now) - self.plan.engines(place)
            if age >= 0 and self.names[place][0] != self.dark and up:
                speed = 1 / (1 + (COLD - 1) * max(0.0, 1 - age / self.plan.warm))
                room += speed * (up / len(self.there) if speed < 1.0 else 1.0)
        return room

    def power_at(self, now: float) -> float:
        """When power last came back."""
        again = self.plan.again
        return 0.0 if again is None or now < again else again + 1000.0

    def came(self, begin: float, end: float) -> float:
        """Worth of what came then at instances that were up, first tries only."""
        return sum(self.kinds[k].utility for t, _, k, what in self.log if what == "came" and begin <= t < end)

    def got(self, begin: float, end: float) -> float:
        """Worth of what was served in time then."""
        return sum(self.kinds[k].utility for _, t, _, k, good in self.served if good and begin <= t < end)
