"""Waiting for a state of the fleet, and noting when the harness itself was not scheduled."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

POLL_INTERVAL_S = 0.05
# How often the harness checks, and how late a check may be before that is a stall. Two checks that leave no
# trace stay together below the checker's LINK_DELAY_S.
STALL_CHECK_INTERVAL_S, MIN_STALL_S = 0.02, 0.02


async def wait_until(condition: Callable[[], bool], timeout_s: float) -> bool:
    """Wait until a condition holds; return whether it did within the time. The condition may block."""
    deadline = time.monotonic() + timeout_s
    while not await asyncio.to_thread(condition):
        if time.monotonic() > deadline:
            return False
        await asyncio.sleep(POLL_INTERVAL_S)
    return True


class StallMonitor:
    """Notes when this event loop stood still: on a busy machine links see late, and in no order, what was
    done. stalls: from when to when."""

    def __init__(self) -> None:
        self.stalls: list[tuple[float, float]] = []
        self.task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Begin; call it in the event loop that is to be watched."""
        self.task = asyncio.create_task(self._watch())

    def stop(self) -> None:
        """End, if it has begun."""
        if self.task is not None:
            self.task.cancel()

    async def _watch(self) -> None:
        while True:
            expected_at = time.monotonic() + STALL_CHECK_INTERVAL_S
            await asyncio.sleep(STALL_CHECK_INTERVAL_S)
            if (now := time.monotonic()) > expected_at + MIN_STALL_S:
                self.stalls.append((expected_at, now))
