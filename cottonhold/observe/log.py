"""Log lines on standard error, rate-limited so that a storm of errors costs neither time nor memory."""

from __future__ import annotations

import sys
import time
from collections.abc import Callable

PER_SECOND = 20.0
BURST = 100.0


class Log:
    """A bucket of lines that fills at a steady rate; lines that find it empty are only counted."""

    def __init__(self, seconds: Callable[[], float] = time.monotonic) -> None:
        self.seconds, self.tokens, self.at, self.dropped = seconds, BURST, seconds(), 0

    def say(self, text: str) -> None:
        """Print a line, unless too many came of late."""
        now = self.seconds()
        self.tokens, self.at = min(BURST, self.tokens + (now - self.at) * PER_SECOND), now
        if self.tokens < 1:
            self.dropped += 1
            return
        self.tokens -= 1
        if self.dropped:
            text, self.dropped = f"{text} ({self.dropped} lines left out before this)", 0
        print(text, file=sys.stderr, flush=True)

    def note(self, event: str, **fields: object) -> None:
        """Print an event with its fields."""
        self.say(" ".join([event, *(f"{key}={value}" for key, value in fields.items())]))
