"""Waits for conditions, and records when the harness itself was not scheduled."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

POLL_INTERVAL_S = 0.05
# Interval of the stall checks, and how late a check must be to be recorded. Two intervals with delays just
# below that limit together stay below LINK_DELAY_S of request_rules.py.
STALL_CHECK_INTERVAL_S, MIN_STALL_S = 0.02, 0.02


async def wait_until(condition: Callable[[], bool], timeout_s: float) -> bool:
    """Wait until a condition holds, and return whether it did within the timeout; the condition may block."""
    deadline = time.monotonic() + timeout_s
    while not await asyncio.to_thread(condition):
        if time.monotonic() > deadline:
            return False
        await asyncio.sleep(POLL_INTERVAL_S)
    return True


class StallMonitor:
    """Records when this event loop was not scheduled.

    On a busy machine, links then record events late and out of order. `stalls` holds the begin and end of
    each stall.
    """

    def __init__(self) -> None:
        self.stalls: list[tuple[float, float]] = []
        self.task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start the monitor; must be called in the event loop that it monitors."""
        self.task = asyncio.create_task(self._watch())

    def stop(self) -> None:
        """Stop the monitor if it runs."""
        if self.task is not None:
            self.task.cancel()

    async def _watch(self) -> None:
        while True:
            expected_at = time.monotonic() + STALL_CHECK_INTERVAL_S
            await asyncio.sleep(STALL_CHECK_INTERVAL_S)
            if (now := time.monotonic()) > expected_at + MIN_STALL_S:
                self.stalls.append((expected_at, now))
