"""The one clock: milliseconds that only advance, and timers on it. It has no part in any wall clock."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol


class Timer(Protocol):
    """A timer that may be called off."""

    def cancel(self) -> None:
        """Call the timer off."""


class Clock(Protocol):
    """What the parts that know no socket need of time."""

    def now(self) -> float:
        """Milliseconds of a monotonic clock: only differences mean something, and only in this process."""

    def call_in(self, ms: float, action: Callable[[], None]) -> Timer:
        """Call an action after some time."""

    def call_soon(self, action: Callable[[], None]) -> object:
        """Call an action once what is going on now is through."""
