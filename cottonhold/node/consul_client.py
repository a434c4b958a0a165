"""The rim of Consul: runs the watches and keeps the dispatcher's own entry. Decides nothing."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable, Iterable

from cottonhold.discovery.consul.exchange import Answer
from cottonhold.discovery.consul.registration import Registration
from cottonhold.discovery.consul.watch import Watch
from cottonhold.discovery.model import Event
from cottonhold.message_validation import WireError
from cottonhold.node.http_client import HttpLink, Tls
from cottonhold.observe.counters import Counters
from cottonhold.transport.event_loop import EventLoop

LEAST_PAUSE_MS = 1.0  # also between calls that fail at once, so that the loop gets its turn
LAG_TICK_S = 0.05
LEAVE_PAUSE_S = 0.2  # between tries to leave: SIGTERM leaves little time
ENTRY_BYTES = 1 << 20  # the most that an answer to an entry's call may have


async def follow(
    driver: EventLoop,
    watch: Watch,
    tls: Tls | None,
    tell: Callable[[Iterable[Event]], None],
    counters: Counters,
) -> None:
    """Keep a blocking query open until cancelled."""
    link = HttpLink(driver, tls, watch.settings.most_bytes)
    try:
        while True:
            call = watch.call()
            try:
                answer = await link.call(watch.address, call)
                counters.add("consul_answers")
                counters.add("consul_bytes", len(answer.body))
                events = watch.answered(answer)
            except (OSError, WireError) as error:
                events = watch.failed(words(error))
            if watch.failures:
                counters.add("consul_failures")
                link.close()
            tell(events)
            await asyncio.sleep(max(watch.pause_ms, LEAST_PAUSE_MS) / 1000)
    finally:
        link.close()


def words(error: BaseException) -> str:
    """An error for the log: a time-out has no text of its own."""
    if isinstance(error, TimeoutError):
        return "no answer in time"
    return f"{type(error).__name__}: {error}"[:300]


class LagMeter:
    """How late the loop ran at worst: a timer that should come every 50 ms, and when it came."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop, self.worst = loop, 0.0
        self.due = loop.time() + LAG_TICK_S
        loop.call_at(self.due, self._tick)

    def _tick(self) -> None:
        now = self.loop.time()
        self.worst = max(self.worst, now - self.due)
        self.due = now + LAG_TICK_S
        self.loop.call_at(self.due, self._tick)

    def take_ms(self) -> float:
        """The worst since the last call, with the lateness of a tick that is due now."""
        worst, self.worst = max(self.worst, self.loop.time() - self.due, 0.0), 0.0
        return worst * 1000


class Entry:
    """The dispatcher's own entry, kept until it leaves."""

    def __init__(
        self,
        driver: EventLoop,
        registration: Registration,
        tls: Tls | None,
        open_requests: Callable[[], int],
        note: Callable[..., None],
    ) -> None:
        self.driver, self.registration, self.note = driver, registration, note
        self.open_requests, self.lag = open_requests, LagMeter(driver.loop)
        self.link = HttpLink(driver, tls, ENTRY_BYTES)
        self.leaving = asyncio.Event()

    async def keep(self) -> None:
        """Register, beat, and at last leave."""
        registration = self.registration
        try:
            while not registration.over():
                await self._beat()
                if self.leaving.is_set():
                    await asyncio.sleep(LEAVE_PAUSE_S if registration.failures else 0)
                    continue
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(max(registration.pause_ms, LEAST_PAUSE_MS) / 1000):
                        await self.leaving.wait()
        finally:
            self.link.close()

    async def _beat(self) -> None:
        registration, phase, why = self.registration, self.registration.phase, self.registration.why
        call = registration.call(self.lag.take_ms(), self.open_requests())
        try:
            answer: Answer = await self.link.call(registration.settings.agent, call)
        except (OSError, WireError) as error:
            registration.failed(words(error))
        else:
            registration.answered(answer)
        if registration.why and registration.why != why:
            self.note("registration_failed", id=registration.settings.id, reason=registration.why)
        elif registration.phase is not phase:
            self.note("registration_changed", id=registration.settings.id, phase=registration.phase.value)

    async def leave(self) -> None:
        """Have the entry removed; returns when it is, or can't be."""
        self.registration.leave()
        self.leaving.set()
        while not self.registration.over():
            await asyncio.sleep(0.01)
