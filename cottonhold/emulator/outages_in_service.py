"""Outages in virtual time where the fleet's core decides, as it does in service, in place of the model.

The world, its clients and its engines are those of `emulator/outlook.py`. Each instance runs `fleet/core.py`:
it sees by its own attempts what is lost, leaves zones by votes, and sends within the bounds that the core
gives, to the least loaded of a few engines drawn by them, as the module does.
"""

from __future__ import annotations

import heapq
import itertools
import math
from collections.abc import Iterable
from functools import partial

from cottonhold.emulator.fleet import Allowance
from cottonhold.emulator.outage_log import Row
from cottonhold.emulator.outages import STEP, Instance, Request, Server, Setup, World
from cottonhold.fleet.coordinator import Action, FleetCoordinator, FleetSettings, SendMessage
from cottonhold.fleet.engine_bounds import EngineBounds

DRAWN = 8  # engines that the module compares
DOUBT = 2000.0  # so long it passes over an engine that failed
PROBED = 500.0


class Served(Instance):
    """One dispatcher whose core decides."""

    world: ServiceWorld

    def __init__(self, world: ServiceWorld, number: int, home: str) -> None:
        super().__init__(world, number, home)
        settings = FleetSettings(
            dispatchers=len(world.names) * world.setup.instances,
            sheds_load=True,
            failover_cost=world.setup.settings if world.setup.decides == "outlook" else None,
            home_zone=home,
        )
        self.fleet = FleetCoordinator(number + 1, 1, 0.0, settings, number)
        self.fleet.set_engines(world.listed, 0.0)
        assert self.fleet.demand is not None
        self.loads = self.fleet.demand
        self.outlook = self.fleet.failover_cost or self.outlook
        self.allowance, self.doubted = Allowance(number), dict[int, float]()
        self.refs = dict[int, tuple[str, float]]()  # what is out
        self.serial = itertools.count()

    def arrive(self, now: float, request: Request) -> None:
        """A request comes."""
        self.fleet.on_request(now, 0)
        super().arrive(now, request)

    def _place(self, now: float, request: Request) -> int | None:
        w, drawn = self.world, list[tuple[float, int]]()
        bounds = self.allowance.bound.work_rates
        for at, server in enumerate(w.servers):
            used = server.out.get(self.number, 0) + (self.others[at] if self.others else 0)
            if self.doubted.get(at, 0.0) > now or used >= w.room(server.zone):
                continue
            if self.allowance.allows(now, w.ids[at], at, w.setup.work):
                part = bounds.get(w.ids[at], 1.0) * len(w.instances)
                weight = min(max(part, 0.05), 1.0)
                drawn.append((w.draw.random() ** (1 / weight), at))
        few = [at for _, at in heapq.nlargest(DRAWN, drawn)]
        return min(few, key=lambda at: (self._used(at), w.draw.random())) if few else None

    def _used(self, at: int) -> int:
        return self.world.servers[at].out.get(self.number, 0) + (self.others[at] if self.others else 0)

    def sent(self, now: float, place: int, request: Request) -> None:
        """An attempt has gone out."""
        engine = self.world.ids[place]
        self.allowance.spend(engine, self.world.setup.work)
        ref = str(next(self.serial))
        self.refs[id(request)] = ref, now
        self.fleet.on_attempt_sent(now, ref, engine, 0)

    def ended(self, now: float, request: Request, good: bool, work: float = 0.0) -> None:
        """An attempt has ended."""
        ref, at = self.refs.pop(id(request))
        self.fleet.on_attempt_ended(now, ref, good, now - at, work)

    def carry_out(self, now: float, actions: Iterable[Action]) -> None:
        """Tell others, and keep the bounds."""
        for action in actions:
            if isinstance(action, SendMessage):
                there = self.world.instances[action.member - 1]
                assert isinstance(there, Served)
                self.world.at(now + 2, partial(there.told, self.fleet.self_id, action.data))
            elif isinstance(action, EngineBounds):
                self.allowance.change(now, action)

    def told(self, sender: int, data: bytes, now: float) -> None:
        """Bytes from another."""
        self.carry_out(now, self.fleet.on_message(now, sender, data))


class ServiceWorld(World):
    """All of it; faults by `lose` and `slow`, and nobody is told of them."""

    def __init__(self, seed: int, setup: Setup) -> None:
        self.ids = [f"{z}{i}" for z in sorted(setup.rates) for i in range(setup.engines)]
        super().__init__(seed, setup)
        self.at(PROBED, self._probe)

    def instance(self, number: int, home: str) -> Instance:
        """One of the dispatchers."""
        return Served(self, number, home)

    def _probe(self, now: float) -> None:
        for here in self.instances:
            assert isinstance(here, Served)
            for at, server in enumerate(self.servers):
                here.fleet.on_health_check(now, self.ids[at], server.up)
                here.outlook.on_health_check_answer(server.zone, self.setup.trips[here.home, server.zone])
        self.at(now + PROBED, self._probe)

    def run(self, now: float, here: Instance, place: int, request: Request) -> None:
        """A request goes to an engine, and comes back."""
        assert isinstance(here, Served)
        here.sent(now, place, request)
        super().run(now, here, place, request)

    def _broken(self, now: float, here: Instance, server: Server, request: Request) -> None:
        assert isinstance(here, Served)
        here.doubted[self.servers.index(server)] = now + DOUBT
        here.ended(now, request, False)
        super()._broken(now, here, server, request)

    def _done(self, now: float, here: Instance, server: Server, request: Request, row: Row) -> None:
        assert isinstance(here, Served)
        if server.up:
            here.ended(now, request, True, row.work + row.extra)
        super()._done(now, here, server, request, row)

    def _step(self, here: Instance, now: float) -> None:
        assert isinstance(here, Served)
        here.send(now)
        if now < STEP * 2:
            here.fleet.set_members(now, range(1, len(self.instances) + 1))
        here.carry_out(now, here.fleet.step(now))
        self.at(now + STEP / 2, partial(self._step, here))

    def bound(self, home: str, zone: str) -> float:
        """What a home's instances together may send to a zone now, in cores."""
        found = 0.0
        for here in self.instances:
            if isinstance(here, Served) and here.home == home:
                work = here.allowance.bound.work_rates
                found += math.fsum(work.get(engine, math.inf) for engine in self.listed[zone])
        return found
