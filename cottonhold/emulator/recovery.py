"""A model of the return of power, in virtual time: engines restart cold, and instances restart one by one.

Instances, clients and timeouts are those of overload.py, credits those of credit_account.py. Each instance
runs a real coordinator. Messages may be lost, and an instance knows the members and the engine list only some
time after its start. A client retries at its own instance only, and cannot send while that instance is down.
Times are in ms from the return of power.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from functools import partial

from cottonhold.emulator.admission_policies import SharedThreshold
from cottonhold.emulator.credit_account import CreditAccount
from cottonhold.emulator.overload import (
    LOAD_REPORT_INTERVAL_MS,
    MAX_IN_FLIGHT,
    RETRY_INTERVAL_MS,
    STEP_MS,
    FinishedRequest,
    Instance,
    Overload,
    Request,
    RequestClass,
    RequestEvent,
)
from cottonhold.emulator.power_return_plan import OUTAGE_MS, EngineOverload, PowerReturnPlan
from cottonhold.fleet.actions import SendFleetMessage, ThresholdUpdate
from cottonhold.fleet.coordinator import FleetCoordinator
from cottonhold.fleet.engine_bounds import EngineBounds
from cottonhold.fleet.recovery.first_checker import first_checker
from cottonhold.fleet.recovery.shared_slow_start import OutageScope
from cottonhold.fleet.settings import FleetSettings

REQUEST_CLASSES = (
    RequestClass(1.0, share=0.48),
    RequestClass(6.0, share=0.32),
    RequestClass(6.0, 60.0, 4000.0, 0.2),
)
MEAN_WORK_MS = sum(c.mean_work_ms * c.share for c in REQUEST_CLASSES)
ZONES = "abc"
MEMBERS_KNOWN_MS, LIST_KNOWN_MS, SURVEY_MS = 100.0, 300.0, 30.0  # time since an instance's start
# Share of a cold engine's capacity that all instances together use without slow start.
SCHEDULER_COLD_SHARE = 0.15
SCHEDULER_BOUNDS_MS = 500.0
EJECTION_MS = 400.0  # time without requests for an unreachable engine
CONNECT_FAILURE_MS = 1.0
CHECK_INTERVAL_MS = 100.0  # interval of an instance's health checks
STEP_MARGIN_MS = 1e-3
SLOT_MS = 100.0  # time slot of the estimate of the possible service
BOUND_TOLERANCE = 1e-6


class RestartedInstance(Instance):
    """An instance that restarted without any stored state, with its coordinator."""

    world: PowerReturn

    def __init__(self, world: PowerReturn, number: int, now: float) -> None:
        super().__init__(world, number, SharedThreshold())
        self.started_at = now
        seed = world.draw.getrandbits(30)
        self.fleet = FleetCoordinator(number + 1, int(now) + 1, now, world.fleet_settings, seed)
        self.fleet.set_engines(world.zones, now)
        assert self.fleet.demand is not None
        self.demand = self.fleet.demand
        self.credits = CreditAccount(number, is_warming_up=True)
        self.ejected_until: dict[int, float] = {}  # by engine
        self.outage_scope: OutageScope | None = None  # the result of its survey so far
        self.retry_after_ms = 0.0

    def _engine_with_capacity(self) -> int | None:
        world, now = self.world, self.world.clock.now
        if self.fleet.slow_start is None and now < self.started_at + LIST_KNOWN_MS:
            return None  # the engine list has not been received yet
        # As in the scheduler, an instance below its share of the capacity has a higher limit. Otherwise the
        # instances with requests at a full engine would keep it, as they detect free capacity first.
        fair_share = MAX_IN_FLIGHT * len(world.engines) / len(world.running)
        own_count = sum(engine.in_flight.get(self.number, 0) for engine in world.engines)
        limit = 2 * MAX_IN_FLIGHT if own_count + 1 <= fair_share else MAX_IN_FLIGHT
        work_ms = world.class_of(self.queue[0][2]).mean_work_ms
        bounded = self.credits.bounds.work_rates
        best, least_used = None, (limit, 0.0)
        for number, engine in enumerate(world.engines):
            name = world.engine_names[number]
            # A bound already limits the sends to this engine, so other instances' older counts are left out.
            elsewhere = 0 if name in bounded else self.in_flight_elsewhere.get(number, 0)
            used = engine.in_flight.get(self.number, 0) + elsewhere, world.draw.random()
            if used >= least_used or self.ejected_until.get(number, 0.0) > now:
                continue
            if self.credits.allows(now, name, number, work_ms):
                best, least_used = number, used
        return best

    def execute(self, now: float, actions: Iterable[object]) -> None:
        """Execute the coordinator's actions."""
        for action in actions:
            match action:
                case SendFleetMessage(member, data):
                    self.world.send_message(now, self.number, member - 1, data)
                case EngineBounds():
                    self.credits.set_bounds(now, action)
                case ThresholdUpdate():
                    self.retry_after_ms = action.retry_after_ms

    def survey(self, now: float) -> None:
        """Update the outage's scope: this instance alone, then the fleet once a majority is visible."""
        visible = 1 + len(self.fleet.live)
        if self.outage_scope is None and now - self.started_at >= SURVEY_MS:
            self.outage_scope = OutageScope.ALONE
            self.fleet.on_loss(now, OutageScope.ALONE)
        if self.outage_scope is OutageScope.ALONE and 2 * visible > len(self.world.running):
            self.outage_scope = OutageScope.FLEET
            first_start = min(other.started_at for other in self.world.running if other is not None)
            self.fleet.on_loss(now, OutageScope.FLEET, since=first_start)


class PowerReturn(Overload):
    """The model of the return of power; runs differ in the coordinators' `settings.slow_start`.

    Attributes:
        dark_zone: Zone whose engines do not return; empty for none.
        bound_violations: Number of checks of the engine bounds that failed, of `bound_checks`.
        blind_sends: Number of sends to engines that were down without the instance knowing it.
    """

    def __init__(
        self, seed: int, rate: float, instances: int, engines: int, plan: PowerReturnPlan,
        settings: FleetSettings, loss: float = 0.0, dark_zone: str = "", weights: Sequence[float] = (),
    ) -> None:  # fmt: skip
        self.plan, self.fleet_settings, self.dark_zone = plan, settings, dark_zone
        self.engine_names = [f"{ZONES[i % len(ZONES)]}{i}" for i in range(engines)]
        self.zones = {z: {name: 1.0 for name in self.engine_names if name[0] == z} for z in ZONES}
        self.engine_started_at = [0.0] * engines
        self.engine_overloads = [EngineOverload() for _ in range(engines)]
        self.running: list[RestartedInstance | None] = [None] * instances
        self.check_rounds = self._plan_check_rounds()
        self.finished: list[FinishedRequest] = []
        self.power_losses = self.bound_violations = self.bound_checks = self.blind_sends = 0
        self.former_shares: dict[str, float] = {}  # share by slow start at the last check, by engine
        self.slow_start_cores: dict[int, float] = {}  # cores that slow start permitted, by step
        super().__init__(
            seed, lambda now: rate, weights or [1.0] * instances, lambda number: SharedThreshold(), engines,
            classes=REQUEST_CLASSES, loss=loss,
        )  # fmt: skip
        self._return_power(0.0)
        if plan.second_loss_at is not None:
            self.call_at(plan.second_loss_at, self._lose_power)
        self.call_at(50.0, self._check_bounds)

    def _plan_check_rounds(self) -> list[dict[int, list[int]]]:
        """Return, for each round of health checks, the engines that each instance checks."""
        count = len(self.running)
        rounds: list[dict[int, list[int]]] = [{} for _ in range(count)]
        for engine, name in enumerate(self.engine_names):
            for number, engines_by_instance in enumerate(rounds):
                instance = first_checker(name, CHECK_INTERVAL_MS * number, count)
                engines_by_instance.setdefault(instance, []).append(engine)
        return rounds

    def _return_power(self, now: float) -> None:
        for number, name in enumerate(self.engine_names):
            is_dark = name[0] == self.dark_zone
            started_at = float("inf") if is_dark else now + self.plan.engine_delay_ms(number)
            self.engine_started_at[number] = started_at
        for number in range(len(self.running)):
            started_at = now + self.plan.instance_delay_ms(number)
            self.call_at(started_at, partial(self._start, number, self.power_losses))

    def _lose_power(self, now: float) -> None:
        self.power_losses += 1
        self.running = [None] * len(self.running)
        for engine in self.engines:
            engine.in_flight, engine.busy_until = {}, now
        self.engine_started_at = [float("inf")] * len(self.engines)
        self.call_at(now + OUTAGE_MS, self._return_power)

    def _start(self, number: int, power_losses: int, now: float) -> None:
        if power_losses != self.power_losses:
            return
        instance = RestartedInstance(self, number, now)
        self.running[number] = self.instances[number] = instance
        self.call_at(now, partial(self._step, instance))
        # The first report is at a random time. Otherwise instances whose starts differ by a multiple of the
        # interval would learn of free engines at the same moment, always in the same order.
        report_at = now + LOAD_REPORT_INTERVAL_MS * self.draw.random()
        self.call_at(report_at, partial(self._report_load, instance))

    def speed(self, now: float, engine: int) -> float:
        """Return an engine's current speed as a share of its speed when warm."""
        return self.plan.speed(now - self.engine_started_at[engine])

    def _is_running(self, instance: Instance) -> bool:
        return self.running[instance.number] is instance

    def _step(self, instance: Instance, now: float) -> None:
        if not isinstance(instance, RestartedInstance) or not self._is_running(instance):
            return
        fleet, age_ms = instance.fleet, now - instance.started_at
        fleet.set_members(now, self._known_members(now, instance))
        if fleet.slow_start is not None:
            if age_ms >= LIST_KNOWN_MS and not fleet.slow_start.is_listed:
                fleet.slow_start.on_list_received(now)
            instance.survey(now)
            self._check_engines(now, instance)
        instance.expire(now)
        instance.execute(now, fleet.step(now))
        if fleet.slow_start is None:
            instance.credits.bounds = self._scheduler_bounds(now)
        instance.send(now)
        self.call_at(max(fleet.next_at(), now) + STEP_MARGIN_MS, partial(self._step, instance))

    def _known_members(self, now: float, instance: RestartedInstance) -> Iterable[int]:
        """Return the other members that an instance knows."""
        if now - instance.started_at < MEMBERS_KNOWN_MS:
            return ()
        started = [o for o in self.running if o is not None and now - o.started_at >= MEMBERS_KNOWN_MS]
        return {other.number + 1 for other in started} - {instance.number + 1}

    def _scheduler_bounds(self, now: float) -> EngineBounds:
        """Return the bounds of the scheduler's own slow start: a share of each engine until it is warm."""
        share = SCHEDULER_COLD_SHARE / len(self.running)
        cold = [name for number, name in enumerate(self.engine_names) if self.speed(now, number) < 1.0]
        return EngineBounds(dict.fromkeys(cold, share), now + SCHEDULER_BOUNDS_MS)

    def _check_engines(self, now: float, instance: RestartedInstance) -> None:
        """Run the checks of an instance's round; successful results reach all members that it knows."""
        round_number = int((now - instance.started_at) / CHECK_INTERVAL_MS) % len(self.running)
        for engine in self.check_rounds[round_number].get(instance.number, ()):
            name, is_up = self.engine_names[engine], self.engine_started_at[engine] <= now
            instance.fleet.on_health_check(now, name, is_up)
            if is_up:
                instance.ejected_until.pop(engine, None)
            for member in instance.fleet.live if is_up else ():
                other = self.running[member - 1]
                if other is not None and self.draw.random() >= self.loss:
                    other.fleet.on_health_check(now, name, True)
                    other.ejected_until.pop(engine, None)

    def _report_load(self, instance: Instance, now: float) -> None:
        if self._is_running(instance):
            super()._report_load(instance, now)

    def send_message(self, now: float, sender: int, target: int, data: bytes) -> None:
        """Send a coordinator's message, which may be lost."""
        self.sent_bytes += len(data)
        if self.draw.random() < self.loss:
            return

        def deliver(now: float) -> None:
            instance = self.running[target]
            if instance is not None:
                instance.execute(now, instance.fleet.on_message(now, sender + 1, data))

        self.call_at(now + self.delay_ms, deliver)

    def _arrive(self, now: float) -> None:
        class_number, number = self._draw_class(), self._draw_instance()
        instance = self.running[number]
        if instance is not None:
            request = Request(class_number, self.draw.random(), number, first_arrived_at=now)
            self.record(now, number, request, RequestEvent.ARRIVED)
            instance.fleet.on_request(now, class_number)
            instance.on_request(now, request)
        self._schedule_arrival(now)

    def _finish(self, now: float, request: Request, is_in_time: bool) -> None:
        self.finished.append(
            FinishedRequest(request.first_arrived_at, now, request.instance, request.class_number, is_in_time)
        )

    def reject(self, now: float, request: Request) -> None:
        """Reject a request; its client may retry at the same instance."""
        instance = self.running[request.instance]
        if request.retries + 1 >= self.max_attempts or instance is None:
            self._finish(now, request, is_in_time=False)
            return
        request.retries += 1
        request.draw = 1.0 if self.marks_retries else request.draw
        interval_ms = max(instance.retry_after_ms, RETRY_INTERVAL_MS) * (0.5 + self.draw.random())

        def retry(now: float) -> None:
            if self._is_running(instance):
                instance.on_request(now, request)

        self.call_at(now + interval_ms, retry)

    def send_to_engine(self, now: float, instance: Instance, engine_number: int, request: Request) -> None:
        """Send a request to an engine; if the engine is down, the request is queued again."""
        assert isinstance(instance, RestartedInstance)
        engine, name = self.engines[engine_number], self.engine_names[engine_number]
        request_class = self.class_of(request)
        work_ms = request_class.mean_work_ms * self.draw.lognormvariate(-0.08, 0.4)
        request_id = str(next(self.serial))
        instance.fleet.on_attempt_sent(now, request_id, name, request.class_number)
        instance.credits.spend(name, work_ms)
        if self.engine_started_at[engine_number] > now:
            # Before the engine list is known, the instance cannot detect that the engine is down.
            self.blind_sends += now < instance.started_at + LIST_KNOWN_MS
            instance.ejected_until[engine_number] = now + EJECTION_MS
            instance.fleet.on_attempt_ended(now, request_id, False, CONNECT_FAILURE_MS)
            instance.enqueue(request)
            return
        speed = self.speed(now, engine_number)
        if speed < 1.0:
            self.engine_overloads[engine_number].add(now, work_ms, speed)
        engine.in_flight[instance.number] = engine.in_flight.get(instance.number, 0) + 1
        started_at = max(now, engine.busy_until)
        engine.busy_until = started_at + work_ms / self.speed(started_at, engine_number)
        power_losses = self.power_losses

        def on_served(ended_at: float) -> None:
            if power_losses == self.power_losses and self._is_running(instance):
                engine.in_flight[instance.number] -= 1
                is_in_time = ended_at <= request.arrived_at + request_class.timeout_ms
                instance.fleet.on_attempt_ended(ended_at, request_id, True, ended_at - now, work_ms)
                self._finish(ended_at, request, is_in_time)
                instance.send(ended_at)

        self.call_at(engine.busy_until, on_served)

    def _check_bounds(self, now: float) -> None:
        """Check that the sum of all instances' limits is within the share that slow start permits."""
        up = [i for i in self.running if i is not None and i.fleet.slow_start is not None]
        self.slow_start_cores[int(now // STEP_MS)] = self._permitted_cores(now, up)
        for name in self.engine_names if up else ():
            bounds = [instance.credits.bounds for instance in up]
            if not all(name in b.work_rates for b in bounds):
                continue
            total = sum(b.work_rates[name] for b in bounds if now < b.expires_at)
            slow_starts = [i.fleet.slow_start for i in up if i.fleet.slow_start is not None]
            share = max(s.warming[name].share if name in s.warming else 1.0 for s in slow_starts)
            self.bound_checks += 1
            # A bound remains valid until the next step, so the share at the last check is permitted too.
            former_share, self.former_shares[name] = self.former_shares.get(name, 1.0), share
            self.bound_violations += total > max(share, former_share) + BOUND_TOLERANCE
        self.call_at(now + STEP_MS, self._check_bounds)

    def _permitted_cores(self, now: float, up: Sequence[RestartedInstance]) -> float:
        """Return how many cores of the engines slow start permits to use now."""
        cores = 0.0
        for number, name in enumerate(self.engine_names if up else ()):
            shares = [i.fleet.slow_start.share(name) if i.fleet.slow_start else 1.0 for i in up]
            speed = self.speed(now, number)
            reachable = len(up) / len(self.running) if speed < 1.0 else 1.0
            cores += min(sum(shares) / len(shares), speed) * reachable
        return cores

    def possible_utility(self, begin: float, end: float, by_slow_start: bool = False) -> float:
        """Return the largest utility of arrived requests that the engines could serve, highest density first.

        The part of a cold engine's capacity that belongs to instances that are down counts as unused. With
        `by_slow_start`, only the cores that slow start permitted are used.
        """
        arrivals: dict[int, list[float]] = {}  # by slot: requests of each class
        for at, _, class_number, event in self.log:
            if event is RequestEvent.ARRIVED and begin <= at < end:
                arrivals.setdefault(int(at // SLOT_MS), [0.0] * len(self.classes))[class_number] += 1
        by_density = sorted(range(len(self.classes)), key=lambda number: -self.classes[number].density)
        waiting, utility = [0.0] * len(self.classes), 0.0
        for slot in range(int(begin // SLOT_MS), int(end // SLOT_MS)):
            possible_cores = self._possible_cores((slot + 0.5) * SLOT_MS)
            cores = self.slow_start_cores.get(slot, 0.0) if by_slow_start else possible_cores
            remaining_ms = cores * SLOT_MS
            for number in by_density:
                request_class = self.classes[number]
                waiting[number] += arrivals.get(slot, [0.0] * len(self.classes))[number]
                count = min(waiting[number], remaining_ms / request_class.mean_work_ms)
                waiting[number] -= count
                remaining_ms -= count * request_class.mean_work_ms
                utility += count * request_class.utility
                waiting[number] *= 1 - SLOT_MS / request_class.timeout_ms  # some clients have timed out
        return utility

    def _possible_cores(self, now: float) -> float:
        """Return the usable cores; of a cold engine, only the share of the instances that are up."""
        power_age_ms = now - self.plan.power_returned_at(now)
        count = len(self.running)
        up = sum(self.plan.instance_delay_ms(number) <= power_age_ms for number in range(count))
        cores = 0.0
        for number, name in enumerate(self.engine_names):
            speed = self.plan.speed(power_age_ms - self.plan.engine_delay_ms(number))
            if up and name[0] != self.dark_zone:
                cores += speed * (up / count if speed < 1.0 else 1.0)
        return cores

    def arrived_utility(self, begin: float, end: float) -> float:
        """Return the utility of the requests that arrived at running instances, without retries."""
        entries = [entry for entry in self.log if begin <= entry.at < end]
        arrived = [entry for entry in entries if entry.event is RequestEvent.ARRIVED]
        return sum(self.classes[entry.class_number].utility for entry in arrived)

    def served_utility(self, begin: float, end: float) -> float:
        """Return the utility of the requests that were served in time."""
        ended = [request for request in self.finished if begin <= request.ended_at < end]
        return sum(self.classes[request.class_number].utility for request in ended if request.is_in_time)
