"""Detects that this process did not run for a while, so that it reads what has arrived before it decides."""

from __future__ import annotations

from collections.abc import Callable

from cottonhold.transport.clock import Clock

TICK_MS = 50.0
# A timer that is later than this shows a stall. A cancellation must be known within 100 ms.
STALL_MS = 50.0
# Iterations of the event loop in which a connection is accepted and its first commands are read.
ITERATIONS = 8


class StallDetector:
    """Delays decisions after a stall by some iterations of the event loop, in which all input is read.

    During a stall, clients cancel or leave, and engines answer. The loop reads in any order. If a decision
    followed the first input at once, it could send a request whose cancellation has arrived too.

    Args:
        clock: This process's clock.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.ticked_at = clock.now()
        self.remaining_iterations = 0
        self.delayed: list[Callable[[], None]] = []
        clock.call_in(TICK_MS, self._tick)

    def _tick(self) -> None:
        self._check()
        self.ticked_at = self.clock.now()
        self.clock.call_in(TICK_MS, self._tick)

    def _check(self) -> None:
        if self.clock.now() - self.ticked_at > TICK_MS + STALL_MS and not self.remaining_iterations:
            self.remaining_iterations = ITERATIONS
            self.clock.call_soon(self._count_iteration)

    def _count_iteration(self) -> None:
        self.remaining_iterations -= 1
        if self.remaining_iterations:
            self.clock.call_soon(self._count_iteration)
            return
        delayed, self.delayed = self.delayed, []
        for decide in delayed:
            decide()

    def delay(self, decide: Callable[[], None]) -> bool:
        """Call `decide` later and return True if the input after a stall is still being read."""
        self._check()
        if not self.remaining_iterations:
            return False
        self.delayed.append(decide)
        return True
