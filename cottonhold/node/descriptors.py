"""How the limit on descriptors is divided: in this one place, so that the parts add up to less than it."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from cottonhold.node.sibling_processes import ProcessRecord

CLIENTS_PART = 0.48  # usual clients hold a third at most; the rest of this is for those that go nowhere
ENGINES_PART = 0.33
LEAST = 8
OTHERS_BASE = 12  # what a further process holds for its loop, log and listeners
CALLS_PART, LEAST_CALLS, MOST_CALLS = 1 / 16, 4, 16  # operators' callers, heard whatever else is taken


@dataclass(slots=True, frozen=True)
class DescriptorQuotas:
    """What each part may hold; what is left over serves listeners, event bus, peers, log and the loop."""

    clients: int
    engines: int
    calls: int

    @classmethod
    def divide(cls, limit: int) -> DescriptorQuotas:
        """The parts of a limit."""
        return cls(
            clients=max(int(limit * CLIENTS_PART), LEAST),
            engines=max(int(limit * ENGINES_PART), LEAST),
            calls=min(max(int(limit * CALLS_PART), LEAST_CALLS), MOST_CALLS),
        )

    def remaining_beside(self, others: Sequence[ProcessRecord]) -> DescriptorQuotas:
        """What is left of each part beside processes that count against the same limit."""
        if not others:
            return self
        clients = self.clients - sum(other.client_connections + OTHERS_BASE for other in others)
        engines = self.engines - sum(other.engine_connections for other in others)
        return DescriptorQuotas(max(clients, LEAST), max(engines, LEAST), self.calls)
