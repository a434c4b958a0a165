"""The clock of this process: a monotonic clock in ms with timers, and its offset to wall time."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from typing import Protocol

# Value of the clock at the machine's start. It keeps 0, which often means "long ago", far in the past.
ORIGIN_MS = 1e9


class Timer(Protocol):
    """A timer that can be cancelled."""

    def cancel(self) -> None:
        """Cancel the timer."""


class Clock(Protocol):
    """Time and timers, as used by code that does no I/O."""

    def now(self) -> float:
        """Return monotonic time in ms; only differences within this process are meaningful."""

    def call_in(self, ms: float, action: Callable[[], None]) -> Timer:
        """Call an action after `ms` milliseconds."""

    def call_soon(self, action: Callable[[], None]) -> object:
        """Call an action in the next iteration of the event loop."""


class LoopClock:
    """A monotonic clock with timers on the event loop."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        monotonic: Callable[[], float] = time.monotonic,
        wall: Callable[[], float] | None = None,
    ) -> None:
        self.loop, self.monotonic = loop, monotonic
        # The wall clock is read only once, so its steps have no effect. It may be wrong by any amount: its
        # time is only compared with engines' start times, and numbers a start without a state folder.
        self.unix_offset = (wall or time.time)() * 1000 - self.now()

    def now(self) -> float:
        """Return monotonic time in ms, which is ORIGIN_MS at the machine's start."""
        return ORIGIN_MS + self.monotonic() * 1000

    def unix(self) -> float:
        """Return Unix time in ms, based on the wall clock at the start, which may be wrong by hours."""
        return self.now() + self.unix_offset

    def call_in(self, ms: float, action: Callable[[], None]) -> asyncio.TimerHandle:
        """Call an action after `ms` milliseconds."""
        return self.loop.call_later(max(ms, 0.0) / 1000, action)

    def call_soon(self, action: Callable[[], None]) -> asyncio.Handle:
        """Call an action in the next iteration of the event loop."""
        return self.loop.call_soon(action)
