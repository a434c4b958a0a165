"""Log lines on standard error, rate-limited so that a burst of errors costs little time and no memory."""

from __future__ import annotations

import sys
import time
from collections.abc import Callable

LINES_PER_SECOND = 20.0
BURST_LINES = 100.0


class Log:
    """A log with a token bucket as its rate limit; lines beyond the limit are counted and dropped."""

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self.clock, self.tokens, self.filled_at, self.dropped_count = clock, BURST_LINES, clock(), 0

    def write_line(self, text: str) -> None:
        """Print a line, unless the rate limit is exceeded."""
        now = self.clock()
        self.tokens = min(BURST_LINES, self.tokens + (now - self.filled_at) * LINES_PER_SECOND)
        self.filled_at = now
        if self.tokens < 1:
            self.dropped_count += 1
            return
        self.tokens -= 1
        if self.dropped_count:
            text, self.dropped_count = f"{text} ({self.dropped_count} lines left out before this)", 0
        try:
            print(text, file=sys.stderr, flush=True)
        except OSError:  # nobody reads, or the disk is full: requests go on without the line
            self.dropped_count += 1

    def note(self, event: str, **fields: object) -> None:
        """Print an event with its fields."""
        self.write_line(" ".join([event, *(f"{key}={value}" for key, value in fields.items())]))
