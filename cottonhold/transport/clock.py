"""The one clock: milliseconds that only advance, and timers on it; wall time is known only as an offset."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from typing import Protocol

ORIGIN_MS = 1e9  # 0, which means long past in many places, lies twelve days before the machine's start


class Timer(Protocol):
    """A timer that can be cancelled."""

    def cancel(self) -> None:
        """Cancel the timer."""


class Clock(Protocol):
    """What the parts that know no socket need of time."""

    def now(self) -> float:
        """Milliseconds of a monotonic clock: only differences mean something, and only in this process."""

    def call_in(self, ms: float, action: Callable[[], None]) -> Timer:
        """Call an action after some time."""

    def call_soon(self, action: Callable[[], None]) -> object:
        """Call an action in the next turn of the event loop."""


class LoopClock:
    """The monotonic clock, with timers on the event loop."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        monotonic: Callable[[], float] = time.monotonic,
        wall: Callable[[], float] | None = None,
    ) -> None:
        self.loop, self.monotonic = loop, monotonic
        # Read once, so that steps of the wall clock do not show. It may be off by any amount: only engines'
        # start times are compared with it, and a start without a folder is numbered by it.
        self.unix_offset = (wall or time.time)() * 1000 - self.now()

    def now(self) -> float:
        """Milliseconds of the monotonic clock, from an origin long before the machine's start."""
        return ORIGIN_MS + self.monotonic() * 1000

    def unix(self) -> float:
        """Milliseconds of Unix time by the wall clock as it stood at the start; it may be off by hours."""
        return self.now() + self.unix_offset

    def call_in(self, ms: float, action: Callable[[], None]) -> asyncio.TimerHandle:
        """Call an action after some time."""
        return self.loop.call_later(max(ms, 0.0) / 1000, action)

    def call_soon(self, action: Callable[[], None]) -> asyncio.Handle:
        """Call an action in the next turn of the event loop."""
        return self.loop.call_soon(action)
