"""Counts of what the dispatcher receives, sends and answers."""

from __future__ import annotations

from collections import Counter


class Counters:
    """Named counts, printed on request and at exit."""

    def __init__(self) -> None:
        self.counts: Counter[str] = Counter()

    def add(self, name: str, amount: int = 1) -> None:
        """Count something that happened."""
        self.counts[name] += amount

    def format_line(self) -> str:
        """All counts on one line, by name."""
        return "counters " + " ".join(f"{name}={n}" for name, n in sorted(self.counts.items()))
