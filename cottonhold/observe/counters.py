"""Counters of events in the dispatcher, such as messages received, sent and answered."""

from __future__ import annotations

from collections import Counter


class Counters:
    """Named counters, printed on request and at exit."""

    def __init__(self) -> None:
        self.counts: Counter[str] = Counter()

    def add(self, name: str, amount: int = 1) -> None:
        """Increase a counter."""
        self.counts[name] += amount

    def set(self, name: str, value: int) -> None:
        """Set the value of a gauge, which is printed with the counters."""
        self.counts[name] = value

    def format_line(self) -> str:
        """Return all counters on one line, sorted by name."""
        return "counters " + " ".join(f"{name}={n}" for name, n in sorted(self.counts.items()))
