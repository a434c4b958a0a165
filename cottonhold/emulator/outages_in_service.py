"""A model of zone outages in virtual time in which the fleet's real coordinator decides.

The world, its clients and its engines are those of outages.py. Each instance runs a coordinator, which
detects faults by the instance's own attempts, evacuates zones by votes, and sets bounds for the engines. As
the scheduler does, the instance sends each request to the least loaded of a few engines that it draws with
these bounds as weights.
"""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Iterable
from functools import partial

from cottonhold.emulator.credit_account import CreditAccount
from cottonhold.emulator.outage_log import LogEntry
from cottonhold.emulator.outage_setup import OutageSetup, Request, Server
from cottonhold.emulator.outages import MESSAGE_DELAY_MS, STEP_MS, Instance, OutageWorld
from cottonhold.fleet.actions import Action, SendFleetMessage
from cottonhold.fleet.coordinator import FleetCoordinator
from cottonhold.fleet.engine_bounds import EngineBounds
from cottonhold.fleet.settings import FleetSettings

CANDIDATE_ENGINES = 8  # number of engines that the scheduler compares
EJECTION_MS = 2000.0  # time without requests for an engine that failed
CHECK_INTERVAL_MS = 500.0
MIN_CANDIDATE_WEIGHT = 0.05
QUERY_CLASS = 0


class CoordinatedInstance(Instance):
    """A dispatcher whose coordinator decides on zones and bounds."""

    world: ServiceWorld

    def __init__(self, world: ServiceWorld, number: int, home: str) -> None:
        super().__init__(world, number, home)
        setup = world.setup
        settings = FleetSettings(
            dispatchers=len(world.zones) * setup.instances,
            sheds_load=True,
            failover_cost=setup.settings if setup.decides == "outlook" else None,
            home_zone=home,
        )
        self.fleet = FleetCoordinator(number + 1, 1, 0.0, settings, number)
        self.fleet.set_engines(world.engines_by_zone, 0.0)
        assert self.fleet.demand is not None
        self.demand = self.fleet.demand
        self.estimator = self.fleet.failover_cost or self.estimator
        self.credits = CreditAccount(number)
        self.ejected_until = dict[int, float]()  # by number of the server
        self.attempts = dict[int, tuple[str, float]]()  # request id and time of sending, by id(request)
        self.serial = itertools.count()

    def on_request(self, now: float, request: Request) -> None:
        """Record a request that arrives, and admit or reject it."""
        self.fleet.on_request(now, QUERY_CLASS)
        super().on_request(now, request)

    def _choose_server(self, now: float, request: Request) -> int | None:
        world, weighted = self.world, list[tuple[float, int]]()
        bounds = self.credits.bounds.work_rates
        for number, server in enumerate(world.servers):
            is_full = self._used(number) >= world.max_in_flight(server.zone)
            if self.ejected_until.get(number, 0.0) > now or is_full:
                continue
            engine = world.engine_ids[number]
            if self.credits.allows(now, engine, number, world.setup.mean_work_ms):
                share = bounds.get(engine, 1.0) * len(world.instances)
                weight = min(max(share, MIN_CANDIDATE_WEIGHT), 1.0)
                weighted.append((world.draw.random() ** (1 / weight), number))
        candidates = [number for _, number in heapq.nlargest(CANDIDATE_ENGINES, weighted)]
        if not candidates:
            return None
        return min(candidates, key=lambda number: (self._used(number), world.draw.random()))

    def on_attempt_sent(self, now: float, server_number: int, request: Request) -> None:
        """Record that an attempt was sent to a server."""
        engine = self.world.engine_ids[server_number]
        self.credits.spend(engine, self.world.setup.mean_work_ms)
        request_id = str(next(self.serial))
        self.attempts[id(request)] = request_id, now
        self.fleet.on_attempt_sent(now, request_id, engine, QUERY_CLASS)

    def on_attempt_ended(self, now: float, request: Request, is_served: bool, work_ms: float = 0.0) -> None:
        """Record that an attempt has ended."""
        request_id, sent_at = self.attempts.pop(id(request))
        self.fleet.on_attempt_ended(now, request_id, is_served, now - sent_at, work_ms)

    def execute(self, now: float, actions: Iterable[Action]) -> None:
        """Execute the coordinator's actions: send messages and apply bounds."""
        for action in actions:
            if isinstance(action, SendFleetMessage):
                target = self.world.coordinated[action.member - 1]
                deliver = partial(target.on_message, self.fleet.self_id, action.data)
                self.world.call_at(now + MESSAGE_DELAY_MS, deliver)
            elif isinstance(action, EngineBounds):
                self.credits.set_bounds(now, action)

    def on_message(self, sender: int, data: bytes, now: float) -> None:
        """Process a message from another instance."""
        self.execute(now, self.fleet.on_message(now, sender, data))


class ServiceWorld(OutageWorld):
    """The model; instances have to detect faults by `lose_engines` and `slow_zone` themselves."""

    def __init__(self, seed: int, setup: OutageSetup) -> None:
        self.engine_ids = [f"{zone}{i}" for zone in sorted(setup.rates) for i in range(setup.engines)]
        self.coordinated: list[CoordinatedInstance] = []
        super().__init__(seed, setup)
        self.call_at(CHECK_INTERVAL_MS, self._check_engines)

    def make_instance(self, number: int, home: str) -> Instance:
        """Return a new dispatcher with a coordinator."""
        instance = CoordinatedInstance(self, number, home)
        self.coordinated.append(instance)
        return instance

    def _check_engines(self, now: float) -> None:
        for instance in self.coordinated:
            for number, server in enumerate(self.servers):
                instance.fleet.on_health_check(now, self.engine_ids[number], server.is_up)
                round_trip_ms = self.setup.round_trips_ms[instance.home, server.zone]
                instance.estimator.on_health_check_answer(server.zone, round_trip_ms)
        self.call_at(now + CHECK_INTERVAL_MS, self._check_engines)

    def send_to_server(self, now: float, instance: Instance, server_number: int, request: Request) -> None:
        """Send a request to an engine."""
        assert isinstance(instance, CoordinatedInstance)
        instance.on_attempt_sent(now, server_number, request)
        super().send_to_server(now, instance, server_number, request)

    def _on_failed(self, now: float, instance: Instance, server: Server, request: Request) -> None:
        assert isinstance(instance, CoordinatedInstance)
        instance.ejected_until[self.servers.index(server)] = now + EJECTION_MS
        instance.on_attempt_ended(now, request, False)
        super()._on_failed(now, instance, server, request)

    def _on_ended(
        self, now: float, instance: Instance, server: Server, request: Request, run: LogEntry
    ) -> None:
        assert isinstance(instance, CoordinatedInstance)
        if server.is_up:
            instance.on_attempt_ended(now, request, True, run.work_ms + run.cold_work_ms)
        super()._on_ended(now, instance, server, request, run)

    def _step(self, instance: Instance, now: float) -> None:
        assert isinstance(instance, CoordinatedInstance)
        instance.send(now)
        if now < STEP_MS * 2:
            instance.fleet.set_members(now, range(1, len(self.instances) + 1))
        instance.execute(now, instance.fleet.step(now))
        self.call_at(now + STEP_MS / 2, partial(self._step, instance))
