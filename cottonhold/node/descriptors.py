"""How the limit on descriptors is divided: in this one place, so that the parts add up to less than it."""

from __future__ import annotations

from dataclasses import dataclass

CLIENTS_PART = 0.48  # usual clients hold a third at most; the rest of this is for those that go nowhere
ENGINES_PART = 0.33
CALLS_PART, LEAST_CALLS, MOST_CALLS = 1 / 16, 4, 16  # operators' callers, heard whatever else is taken


@dataclass(slots=True, frozen=True)
class Descriptors:
    """What each part may hold; what is left over serves listeners, event bus, peers, log and the loop."""

    clients: int
    engines: int
    calls: int

    @classmethod
    def divide(cls, limit: int) -> Descriptors:
        """The parts of a limit."""
        return cls(
            clients=max(int(limit * CLIENTS_PART), 8),
            engines=max(int(limit * ENGINES_PART), 8),
            calls=min(max(int(limit * CALLS_PART), LEAST_CALLS), MOST_CALLS),
        )
