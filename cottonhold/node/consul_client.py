"""Consul adapter: runs the watches of services and the dispatcher's own registration.

The adapter makes no decisions of its own.
"""

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

MIN_PAUSE_MS = 1.0  # shortest pause between calls, so that immediate failures don't block the event loop
LAG_TICK_INTERVAL_S = 0.05  # interval of the timer that measures the event loop's lag
DEREGISTRATION_RETRY_S = 0.2  # pause after a failed attempt; short, as little time is left after SIGTERM
MAX_AGENT_RESPONSE_BYTES = 1 << 20
DEREGISTRATION_POLL_S = 0.01  # interval between checks whether the deregistration has ended


async def follow_service(
    event_loop: EventLoop,
    watch: ServiceWatch,
    tls: TlsSettings | None,
    publish: Callable[[Iterable[Event]], None],
    counters: Counters,
) -> None:
    """Run blocking queries of a watch until cancelled, and publish the events of their responses.

    Args:
        event_loop: The event loop whose sockets are used.
        watch: The watch, which makes requests and interprets responses.
        tls: The TLS settings; None for plain HTTP.
        publish: Receives the events of each response or failure.
        counters: The counters of this process.
    """
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
    """Describe an error for the log; a timeout has no text of its own."""
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

    def pop_max_lag_ms(self) -> float:
        """Return and reset the largest lag since the last call, including that of an overdue tick, in ms."""
        worst, self.max_lag_s = max(self.max_lag_s, self.loop.time() - self.next_tick_at, 0.0), 0.0
        return worst * 1000


class RegistrationTask:
    """Keeps the dispatcher's own entry registered in Consul until `deregister` is called.

    Args:
        event_loop: The event loop whose sockets are used.
        registration: The registration, which makes requests and interprets responses.
        tls: The TLS settings; None for plain HTTP.
        open_requests: Returns the number of the gateway's open requests.
        log_event: Logs an event with its fields.
    """

    def __init__(
        self,
        event_loop: EventLoop,
        registration: Registration,
        tls: TlsSettings | None,
        open_requests: Callable[[], int],
        log_event: Callable[..., None],
    ) -> None:
        self.event_loop, self.registration, self.log_event = event_loop, registration, log_event
        self.open_requests, self.lag_meter = open_requests, LoopLagMeter(event_loop.loop)
        self.connection = HttpConnection(event_loop, tls, MAX_AGENT_RESPONSE_BYTES)
        self.is_deregistering = asyncio.Event()

    async def run(self) -> None:
        """Register, send heartbeats, and deregister at the end."""
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
        request = registration.next_request(self.lag_meter.pop_max_lag_ms(), self.open_requests())
        try:
            response: HttpResponse = await self.connection.request(registration.settings.agent, request)
        except (OSError, WireError) as error:
            registration.on_failure(describe_error(error))
        else:
            registration.on_response(response)
        if registration.last_error and registration.last_error != last_error:
            self.log_event("registration_failed", id=registration.settings.id, reason=registration.last_error)
        elif registration.phase is not last_phase:
            self.log_event(
                "registration_changed", id=registration.settings.id, phase=registration.phase.value
            )

    async def deregister(self) -> None:
        """Remove the entry; return once it is removed or the attempts are given up."""
        self.registration.begin_deregistration()
        self.is_deregistering.set()
        while not self.registration.is_finished():
            await asyncio.sleep(DEREGISTRATION_POLL_S)
