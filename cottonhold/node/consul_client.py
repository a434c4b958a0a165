"""Consul adapter: runs the watches and the dispatcher's own registration, and decides nothing."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable, Iterable

from cottonhold.discovery.consul.http_exchange import HttpResponse
from cottonhold.discovery.consul.registration import Registration
from cottonhold.discovery.consul.watch import ServiceWatch
from cottonhold.discovery.model import Event
from cottonhold.message_validation import WireError
from cottonhold.node.http_client import HttpConnection, TlsSettings
from cottonhold.observe.counters import Counters
from cottonhold.transport.event_loop import EventLoop

MIN_PAUSE_MS = 1.0  # so that calls which fail at once don't block the event loop
LAG_TICK_INTERVAL_S = 0.05
DEREGISTRATION_RETRY_S = 0.2  # short, as little time is left after SIGTERM
MAX_AGENT_RESPONSE_BYTES = 1 << 20
DEREGISTRATION_POLL_S = 0.01


async def follow_service(
    event_loop: EventLoop,
    watch: ServiceWatch,
    tls: TlsSettings | None,
    publish: Callable[[Iterable[Event]], None],
    counters: Counters,
) -> None:
    """Keep a blocking query open until cancelled, and publish the events of its responses."""
    connection = HttpConnection(event_loop, tls, watch.settings.max_body_bytes)
    try:
        while True:
            request = watch.next_request()
            try:
                response = await connection.request(watch.address, request)
                counters.add("consul_answers")
                counters.add("consul_bytes", len(response.body))
                events = watch.on_response(response)
            except (OSError, WireError) as error:
                events = watch.on_failure(describe_error(error))
            if watch.failure_count:
                counters.add("consul_failures")
                connection.close()
            publish(events)
            await asyncio.sleep(max(watch.next_call_in_ms, MIN_PAUSE_MS) / 1000)
    finally:
        connection.close()


def describe_error(error: BaseException) -> str:
    """An error for the log; a time-out has no text of its own."""
    if isinstance(error, TimeoutError):
        return "no answer in time"
    return f"{type(error).__name__}: {error}"[:300]


class LoopLagMeter:
    """Measures the event loop's lag: how much later than scheduled a periodic timer runs."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop, self.max_lag_s = loop, 0.0
        self.next_tick_at = loop.time() + LAG_TICK_INTERVAL_S
        loop.call_at(self.next_tick_at, self._tick)

    def _tick(self) -> None:
        now = self.loop.time()
        self.max_lag_s = max(self.max_lag_s, now - self.next_tick_at)
        self.next_tick_at = now + LAG_TICK_INTERVAL_S
        self.loop.call_at(self.next_tick_at, self._tick)

    def take_max_lag_ms(self) -> float:
        """The largest lag since the last call, including a tick that is overdue now."""
        worst, self.max_lag_s = max(self.max_lag_s, self.loop.time() - self.next_tick_at, 0.0), 0.0
        return worst * 1000


class RegistrationTask:
    """Keeps the dispatcher's own entry registered until `deregister`."""

    def __init__(
        self,
        event_loop: EventLoop,
        registration: Registration,
        tls: TlsSettings | None,
        open_requests: Callable[[], int],
        note: Callable[..., None],
    ) -> None:
        self.event_loop, self.registration, self.note = event_loop, registration, note
        self.open_requests, self.lag_meter = open_requests, LoopLagMeter(event_loop.loop)
        self.connection = HttpConnection(event_loop, tls, MAX_AGENT_RESPONSE_BYTES)
        self.is_deregistering = asyncio.Event()

    async def run(self) -> None:
        """Register, send heartbeats, and at last deregister."""
        registration = self.registration
        try:
            while not registration.is_finished():
                await self._call_agent()
                if self.is_deregistering.is_set():
                    await asyncio.sleep(DEREGISTRATION_RETRY_S if registration.failure_count else 0)
                    continue
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(max(registration.next_call_in_ms, MIN_PAUSE_MS) / 1000):
                        await self.is_deregistering.wait()
        finally:
            self.connection.close()

    async def _call_agent(self) -> None:
        registration = self.registration
        last_phase, last_error = registration.phase, registration.last_error
        request = registration.next_request(self.lag_meter.take_max_lag_ms(), self.open_requests())
        try:
            response: HttpResponse = await self.connection.request(registration.settings.agent, request)
        except (OSError, WireError) as error:
            registration.on_failure(describe_error(error))
        else:
            registration.on_response(response)
        if registration.last_error and registration.last_error != last_error:
            self.note("registration_failed", id=registration.settings.id, reason=registration.last_error)
        elif registration.phase is not last_phase:
            self.note("registration_changed", id=registration.settings.id, phase=registration.phase.value)

    async def deregister(self) -> None:
        """Have the entry removed; returns once it is, or once that is given up."""
        self.registration.begin_deregistration()
        self.is_deregistering.set()
        while not self.registration.is_finished():
            await asyncio.sleep(DEREGISTRATION_POLL_S)
