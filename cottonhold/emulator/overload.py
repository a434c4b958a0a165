"""A model of overload in virtual time: instances with admission policies, engines with queues, and clients.

The model is far cheaper than processes and shows which requests each policy sheds. An instance queues the
requests that it cannot send, densest first, and knows other instances' requests at an engine only from the
last report. The seed determines the run. Times are in ms; an engine of speed 1 does 1 ms of work per ms.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field, replace
from enum import StrEnum
from functools import partial
from typing import NamedTuple

from cottonhold.emulator.virtual_time import VirtualClock
from cottonhold.fleet.admission import demand
from cottonhold.fleet.admission.demand_messages import decode_demand_reports, encode_demand_reports
from cottonhold.fleet.admission.demand_sharing import DemandSettings, DemandSharing
from cottonhold.fleet.admission.threshold import DensityThreshold

MAX_IN_FLIGHT = 2  # limit of requests at an engine, with those of other instances by their last report
LOAD_REPORT_INTERVAL_MS = 250.0  # interval of an instance's reports of its requests in flight
STEP_MS = 100.0
ANSWER_MARGIN_MS = 60.0  # a queued request is rejected this long before its timeout
RETRY_INTERVAL_MS = 200.0  # mean time until a client retries
MIN_ATTEMPTS_PER_SHARE = 100  # smallest number of attempts for which a served share is computed


@dataclass(slots=True, frozen=True)
class RequestClass:
    """A class of requests: utility of each, mean work, timeout, and share of all requests."""

    utility: float
    mean_work_ms: float = 20.0
    timeout_ms: float = 2000.0
    share: float = 0.5

    @property
    def density(self) -> float:
        """Return the utility per ms of work."""
        return self.utility / self.mean_work_ms


REQUEST_CLASSES = (RequestClass(1.0, share=0.6), RequestClass(6.0, share=0.4))


class FinishedRequest(NamedTuple):
    """The end of a request and whether it was answered within its timeout."""

    arrived_at: float
    ended_at: float
    instance: int
    class_number: int
    is_in_time: bool


class RequestEvent(StrEnum):
    """Events of a request in the model's log."""

    ARRIVED = "came"  # the first attempt of a request began
    ATTEMPTED = "try"
    SENT = "sent"
    SERVED = "served"
    LATE = "late"
    REJECTED = "refused"  # the last attempt of a request was rejected


class LogEntry(NamedTuple):
    """An event of a request at an instance."""

    at: float
    instance: int
    class_number: int
    event: RequestEvent


@dataclass(slots=True, eq=False)
class Request:
    """One request with all its attempts."""

    class_number: int
    draw: float
    instance: int = 0
    retries: int = 0
    arrived_at: float = 0.0
    first_arrived_at: float = 0.0


@dataclass(slots=True, eq=False)
class Engine:
    """An engine: one server with a queue."""

    speed: float = 1.0
    busy_until: float = 0.0
    in_flight: dict[int, int] = field(default_factory=dict)  # by instance


class Instance:
    """A dispatcher with its queue, its view of the engines, and its admission policy."""

    def __init__(self, world: Overload, number: int, policy: Policy) -> None:
        self.world, self.number, self.policy = world, number, policy
        self.queue: list[tuple[float, int, Request]] = []  # by descending density, then by order
        self.in_flight_elsewhere: dict[int, int] = {}  # by engine, as of the last load report
        self.demand = DemandSharing(number + 1, 1, 0.0, number, world.settings)

    def on_request(self, now: float, request: Request) -> None:
        """Record a request that arrives, and admit or reject it."""
        request_class = self.world.class_of(request)
        request.arrived_at = now
        step = demand.density_step(request_class.utility, request_class.mean_work_ms)
        is_retry = request.retries > 0 and self.world.marks_retries
        self.demand.on_request(now, request_class.utility, request_class.mean_work_ms, is_retry)
        self.world.record(now, self.number, request, RequestEvent.ATTEMPTED)
        if not self.policy.admits(self, request, step):
            self.world.reject(now, request)
            return
        self.enqueue(request)
        self.send(now)

    def enqueue(self, request: Request) -> None:
        """Queue a request, densest first."""
        density = self.world.class_of(request).density
        heapq.heappush(self.queue, (-density, next(self.world.serial), request))

    def send(self, now: float) -> None:
        """Send queued requests while engines have capacity; reject those that have timed out."""
        while self.queue:
            _, _, request = self.queue[0]
            if self._reject_if_timed_out(now, request):
                heapq.heappop(self.queue)
                continue
            engine_number = self._engine_with_capacity()
            if engine_number is None:
                return
            heapq.heappop(self.queue)
            timeout_ms = self.world.class_of(request).timeout_ms
            self.on_admitted((now - request.arrived_at) / timeout_ms, is_timed_out=False)
            self.world.send_to_engine(now, self, engine_number, request)

    def expire(self, now: float) -> None:
        """Reject all queued requests that have timed out."""
        self.queue = [entry for entry in self.queue if not self._reject_if_timed_out(now, entry[2])]
        heapq.heapify(self.queue)

    def _reject_if_timed_out(self, now: float, request: Request) -> bool:
        """Reject a request if it has timed out; return whether it has."""
        timeout_ms = self.world.class_of(request).timeout_ms
        if request.arrived_at + timeout_ms - ANSWER_MARGIN_MS > now:
            return False
        self.on_admitted(1.0, is_timed_out=True)
        self.world.reject(now, request)
        return True

    def on_admitted(self, wait: float, is_timed_out: bool) -> None:
        """Record that an admitted request was sent, or timed out, after the share `wait` of its timeout."""
        self.policy.on_admitted(wait, is_timed_out)
        self.demand.on_admitted(wait, is_timed_out)

    def _engine_with_capacity(self) -> int | None:
        """Return the number of the least loaded engine; None if that is full."""
        own = [engine.in_flight.get(self.number, 0) for engine in self.world.engines]
        used = [count + self.in_flight_elsewhere.get(engine, 0) for engine, count in enumerate(own)]
        engine = min(range(len(used)), key=lambda number: (used[number], self.world.draw.random()))
        return engine if used[engine] < MAX_IN_FLIGHT else None


class Policy:
    """An admission policy that admits all requests, or only those that its `threshold` admits."""

    threshold: DensityThreshold | None = None

    def admits(self, instance: Instance, request: Request, step: int) -> bool:
        """Return whether a request of a density step is admitted."""
        return self.threshold is None or self.threshold.admits(step, request.draw)

    def on_admitted(self, wait: float, is_timed_out: bool) -> None:
        """Record that an admitted request was sent, or timed out, after the share `wait` of its timeout."""

    def step(self, now: float, instance: Instance) -> None:
        """Adapt to the requests since the last step; called every STEP_MS."""


class Overload:
    """The model of overload.

    Attributes:
        rate: Function from the time in ms to the first attempts per second at all instances together.
        weights: Relative share of the first attempts at each instance.
        marks_retries: Whether clients mark an attempt as a retry.
        loss: Share of demand reports that are lost.
        delay_ms: Delay of a demand report, in ms.
    """

    def __init__(
        self,
        seed: int,
        rate: Callable[[float], float],
        weights: Sequence[float],
        make_policy: Callable[[int], Policy],
        engines: int = 9,
        max_attempts: int = 3,
        classes: Sequence[RequestClass] = REQUEST_CLASSES,
        delay_ms: float = 2.0,
        loss: float = 0.0,
        speed: float = 1.0,
        marks_retries: bool = True,
        settings: DemandSettings | None = None,
    ) -> None:
        self.clock, self.draw, self.serial = VirtualClock(), random.Random(seed), itertools.count()
        self.rate, self.weights, self.max_attempts = rate, list(weights), max_attempts
        self.classes, self.delay_ms, self.loss = list(classes), delay_ms, loss
        self.marks_retries, self.settings = marks_retries, settings
        self.engines = [Engine(speed) for _ in range(engines)]
        self.engines_up = engines
        self.instances: list[Instance] = [
            self.make_instance(number, make_policy(number)) for number in range(len(self.weights))
        ]
        self.is_disconnected: Callable[[int, int], bool] = lambda sender, target: False
        self.claim_factors: dict[int, float] = {}  # factors by which instances overstate demand
        self.sent_bytes = 0
        self.log: list[LogEntry] = []
        self.call_at(0.0, self._arrive)
        for instance in self.instances:
            self.call_at(STEP_MS * self.draw.random(), partial(self._step, instance))
            self.call_at(LOAD_REPORT_INTERVAL_MS * self.draw.random(), partial(self._report_load, instance))

    def make_instance(self, number: int, policy: Policy) -> Instance:
        """Return a new instance; subclasses may return another kind."""
        return Instance(self, number, policy)

    def call_at(self, when: float, action: Callable[[float], None]) -> None:
        """Call an action at a time, with that time as its argument."""
        self.clock.call_at(when, lambda: action(self.clock.now))

    def run(self, until: float) -> None:
        """Run the model up to a time in ms."""
        self.clock.run(until)

    def class_of(self, request: Request) -> RequestClass:
        """Return the class of a request."""
        return self.classes[request.class_number]

    def record(self, now: float, instance: int, request: Request, event: RequestEvent) -> None:
        """Log an event of a request."""
        self.log.append(LogEntry(now, instance, request.class_number, event))

    def capacity(self) -> float:
        """Return the cores of the listed engines; their actual speed may differ."""
        return float(self.engines_up)

    def set_engines_up(self, count: int) -> None:
        """Set how many engines the engine list contains from now on."""
        self.engines_up = count

    def send_to_engine(self, now: float, instance: Instance, engine_number: int, request: Request) -> None:
        """Send a request to an engine."""
        engine = self.engines[engine_number]
        engine.in_flight[instance.number] = engine.in_flight.get(instance.number, 0) + 1
        self.record(now, instance.number, request, RequestEvent.SENT)
        mean_work_ms = self.class_of(request).mean_work_ms
        duration_ms = mean_work_ms * self.draw.lognormvariate(-0.08, 0.4) / engine.speed
        engine.busy_until = max(now, engine.busy_until) + duration_ms
        self.call_at(engine.busy_until, lambda now: self._on_served(now, instance, engine, request))

    def reject(self, now: float, request: Request) -> None:
        """Reject a request; its client may retry at any instance."""
        if request.retries + 1 < self.max_attempts:
            request.retries += 1
            request.draw = 1.0 if self.marks_retries else self.draw.random()
            request.instance = self._draw_instance()
            retry_at = now + RETRY_INTERVAL_MS * (0.5 + self.draw.random())
            self.call_at(retry_at, lambda now: self.instances[request.instance].on_request(now, request))
        else:
            self.record(now, request.instance, request, RequestEvent.REJECTED)

    def _on_served(self, now: float, instance: Instance, engine: Engine, request: Request) -> None:
        engine.in_flight[instance.number] -= 1
        is_late = now > request.arrived_at + self.class_of(request).timeout_ms
        event = RequestEvent.LATE if is_late else RequestEvent.SERVED
        self.record(now, instance.number, request, event)
        instance.send(now)

    def _draw_instance(self) -> int:
        return self.draw.choices(range(len(self.weights)), self.weights)[0]

    def _draw_class(self) -> int:
        return self.draw.choices(range(len(self.classes)), [c.share for c in self.classes])[0]

    def _schedule_arrival(self, now: float) -> None:
        self.call_at(now + self.draw.expovariate(self.rate(now) / 1000), self._arrive)

    def _arrive(self, now: float) -> None:
        """Give a client's request to an instance, and schedule the next arrival."""
        class_number, instance = self._draw_class(), self._draw_instance()
        request = Request(class_number, self.draw.random(), instance)
        self.record(now, instance, request, RequestEvent.ARRIVED)
        self.instances[instance].on_request(now, request)
        self._schedule_arrival(now)

    def _step(self, instance: Instance, now: float) -> None:
        instance.expire(now)
        instance.policy.step(now, instance)
        instance.send(now)
        live_members = range(1, len(self.instances) + 1)
        for member, data in instance.demand.step(now, live_members, self.capacity()):
            self.sent_bytes += len(data)
            if not self.is_disconnected(instance.number, member - 1) and self.draw.random() >= self.loss:
                self._send_demand_report(now, self._claim(instance, data), self.instances[member - 1])
        self.call_at(now + STEP_MS, partial(self._step, instance))

    def _send_demand_report(self, now: float, data: bytes, target: Instance) -> None:
        receiver = target.demand  # a later incarnation must not receive the report

        def deliver(now: float) -> None:
            receiver.on_message(now, data)

        self.call_at(now + self.delay_ms, deliver)

    def _claim(self, instance: Instance, data: bytes) -> bytes:
        """Return an instance's demand report, falsified if it has a claim factor."""
        factor = self.claim_factors.get(instance.number, 1.0)
        if factor == 1.0:
            return data
        own, *others = decode_demand_reports(data)
        rates = {step: work * factor for step, work in own.load.rates.items()}
        return encode_demand_reports([replace(own, load=replace(own.load, rates=rates)), *others])

    def _report_load(self, instance: Instance, now: float) -> None:
        """Update an instance's counts of others' requests in flight, as the scheduler's load reports do."""
        instance.in_flight_elsewhere = {
            number: sum(engine.in_flight.values()) - engine.in_flight.get(instance.number, 0)
            if number < self.engines_up
            else MAX_IN_FLIGHT
            for number, engine in enumerate(self.engines)
        }
        instance.send(now)
        self.call_at(now + LOAD_REPORT_INTERVAL_MS, partial(self._report_load, instance))

    def served_shares(self, begin: float, end: float) -> dict[tuple[int, int], float]:
        """Return the share of served attempts by instance and class, where there were enough attempts."""
        entries = [entry for entry in self.log if begin <= entry.at < end]
        keys = sorted({(entry.instance, entry.class_number) for entry in entries})
        attempts, served = dict.fromkeys(keys, 0), dict.fromkeys(keys, 0)
        for _, instance, class_number, event in entries:
            attempts[instance, class_number] += event is RequestEvent.ATTEMPTED
            served[instance, class_number] += event is RequestEvent.SERVED
        return {key: served[key] / n for key, n in attempts.items() if n >= MIN_ATTEMPTS_PER_SHARE}

    def utility(self, begin: float, end: float) -> tuple[float, float]:
        """Return the utility served, and the highest possible one: first attempts served by density."""
        entries = [(entry.class_number, entry.event) for entry in self.log if begin <= entry.at < end]
        served = sum(self.classes[c].utility for c, event in entries if event is RequestEvent.SERVED)
        remaining_ms = sum(engine.speed for engine in self.engines[: self.engines_up]) * (end - begin)
        possible = 0.0
        for number in sorted(range(len(self.classes)), key=lambda c: -self.classes[c].density):
            request_class = self.classes[number]
            arrived = sum(c == number and event is RequestEvent.ARRIVED for c, event in entries)
            count = min(arrived, remaining_ms / request_class.mean_work_ms)
            remaining_ms -= count * request_class.mean_work_ms
            possible += count * request_class.utility
        return served, possible
