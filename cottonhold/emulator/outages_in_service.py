"""Outages in virtual time where the fleet's coordinator decides, as it does in service.

The world, its clients and its engines are those of `emulator/outages.py`. Each instance runs a coordinator:
it sees by its own attempts what is lost, evacuates zones by votes, and sends within its bounds, to the least
loaded of a few engines drawn by them, as the scheduler does.
"""

from __future__ import annotations

import heapq
import itertools
import math
from collections.abc import Iterable
from functools import partial

from cottonhold.emulator.fleet import Allowance
from cottonhold.emulator.outage_log import Row
from cottonhold.emulator.outages import STEP_MS, Instance, Request, Server, Setup, World
from cottonhold.fleet.actions import Action, SendFleetMessage
from cottonhold.fleet.coordinator import FleetCoordinator
from cottonhold.fleet.engine_bounds import EngineBounds
from cottonhold.fleet.settings import FleetSettings

CANDIDATE_ENGINES = 8  # engines that the module compares
OUTLIER_MS = 2000.0  # so long it passes over an engine that failed
CHECK_INTERVAL_MS = 500.0


class CoordinatedInstance(Instance):
    """One dispatcher whose coordinator decides."""

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
        self.fleet.set_engines(world.engines_by_zone, 0.0)
        assert self.fleet.demand is not None
        self.demand = self.fleet.demand
        self.estimator = self.fleet.failover_cost or self.estimator
        self.allowance, self.outlier_until = Allowance(number), dict[int, float]()
        self.attempts = dict[int, tuple[str, float]]()  # what is out
        self.serial = itertools.count()

    def on_request(self, now: float, request: Request) -> None:
        """A request arrives."""
        self.fleet.on_request(now, 0)
        super().on_request(now, request)

    def _place(self, now: float, request: Request) -> int | None:
        w, drawn = self.world, list[tuple[float, int]]()
        bounds = self.allowance.bounds.work_rates
        for at, server in enumerate(w.servers):
            used = server.in_flight.get(self.number, 0) + (
                self.in_flight_elsewhere[at] if self.in_flight_elsewhere else 0
            )
            if self.outlier_until.get(at, 0.0) > now or used >= w.room(server.zone):
                continue
            if self.allowance.allows(now, w.engine_ids[at], at, w.setup.mean_work_ms):
                part = bounds.get(w.engine_ids[at], 1.0) * len(w.instances)
                weight = min(max(part, 0.05), 1.0)
                drawn.append((w.draw.random() ** (1 / weight), at))
        few = [at for _, at in heapq.nlargest(CANDIDATE_ENGINES, drawn)]
        return min(few, key=lambda at: (self._used(at), w.draw.random())) if few else None

    def _used(self, at: int) -> int:
        return self.world.servers[at].in_flight.get(self.number, 0) + (
            self.in_flight_elsewhere[at] if self.in_flight_elsewhere else 0
        )

    def on_attempt_sent(self, now: float, place: int, request: Request) -> None:
        """An attempt has been sent."""
        engine = self.world.engine_ids[place]
        self.allowance.spend(engine, self.world.setup.mean_work_ms)
        ref = str(next(self.serial))
        self.attempts[id(request)] = ref, now
        self.fleet.on_attempt_sent(now, ref, engine, 0)

    def on_attempt_ended(self, now: float, request: Request, good: bool, work: float = 0.0) -> None:
        """An attempt has ended."""
        ref, at = self.attempts.pop(id(request))
        self.fleet.on_attempt_ended(now, ref, good, now - at, work)

    def carry_out(self, now: float, actions: Iterable[Action]) -> None:
        """Send messages, and apply the bounds."""
        for action in actions:
            if isinstance(action, SendFleetMessage):
                there = self.world.instances[action.member - 1]
                assert isinstance(there, CoordinatedInstance)
                self.world.at(now + 2, partial(there.on_message, self.fleet.self_id, action.data))
            elif isinstance(action, EngineBounds):
                self.allowance.set_bounds(now, action)

    def on_message(self, sender: int, data: bytes, now: float) -> None:
        """Bytes from another instance."""
        self.carry_out(now, self.fleet.on_message(now, sender, data))


class ServiceWorld(World):
    """The model; faults by `lose` and `slow`, and nobody is told of them."""

    def __init__(self, seed: int, setup: Setup) -> None:
        self.engine_ids = [f"{z}{i}" for z in sorted(setup.rates) for i in range(setup.engines)]
        super().__init__(seed, setup)
        self.at(CHECK_INTERVAL_MS, self._probe)

    def instance(self, number: int, home: str) -> Instance:
        """One of the dispatchers."""
        return CoordinatedInstance(self, number, home)

    def _probe(self, now: float) -> None:
        for here in self.instances:
            assert isinstance(here, CoordinatedInstance)
            for at, server in enumerate(self.servers):
                here.fleet.on_health_check(now, self.engine_ids[at], server.up)
                here.estimator.on_health_check_answer(
                    server.zone, self.setup.round_trips_ms[here.home, server.zone]
                )
        self.at(now + CHECK_INTERVAL_MS, self._probe)

    def run(self, now: float, here: Instance, place: int, request: Request) -> None:
        """Send a request to an engine, and receive its end."""
        assert isinstance(here, CoordinatedInstance)
        here.on_attempt_sent(now, place, request)
        super().run(now, here, place, request)

    def _broken(self, now: float, here: Instance, server: Server, request: Request) -> None:
        assert isinstance(here, CoordinatedInstance)
        here.outlier_until[self.servers.index(server)] = now + OUTLIER_MS
        here.on_attempt_ended(now, request, False)
        super()._broken(now, here, server, request)

    def _done(self, now: float, here: Instance, server: Server, request: Request, row: Row) -> None:
        assert isinstance(here, CoordinatedInstance)
        if server.up:
            here.on_attempt_ended(now, request, True, row.work_ms + row.cold_work_ms)
        super()._done(now, here, server, request, row)

    def _step(self, here: Instance, now: float) -> None:
        assert isinstance(here, CoordinatedInstance)
        here.send(now)
        if now < STEP_MS * 2:
            here.fleet.set_members(now, range(1, len(self.instances) + 1))
        here.carry_out(now, here.fleet.step(now))
        self.at(now + STEP_MS / 2, partial(self._step, here))

    def bounded_cores(self, home: str, zone: str) -> float:
        """What a home's instances together may send to a zone now, in cores."""
        found = 0.0
        for here in self.instances:
            if isinstance(here, CoordinatedInstance) and here.home == home:
                work = here.allowance.bounds.work_rates
                found += math.fsum(work.get(engine, math.inf) for engine in self.engines_by_zone[zone])
        return found
