"""How the limit on descriptors is divided: in this one place, so that the quotas add up to less than it."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from cottonhold.node.sibling_processes import ProcessRecord

CLIENTS_FRACTION = 0.48  # usual clients hold a third at most; the rest of this is for stalled connections
ENGINES_FRACTION = 0.33
MIN_QUOTA = 8
SIBLING_OVERHEAD = 12  # descriptors of a further process for its loop, log and listeners
ADMIN_FRACTION, MIN_ADMIN, MAX_ADMIN = 1 / 16, 4, 16  # operators' calls, answered whatever else is in use


@dataclass(slots=True, frozen=True)
class DescriptorQuotas:
    """What each part may hold; the rest serves listeners, event stream, peers, log and the loop."""

    clients: int
    engines: int
    admin: int

    @classmethod
    def divide(cls, limit: int) -> DescriptorQuotas:
        """The quotas of a limit."""
        return cls(
            clients=max(int(limit * CLIENTS_FRACTION), MIN_QUOTA),
            engines=max(int(limit * ENGINES_FRACTION), MIN_QUOTA),
            admin=min(max(int(limit * ADMIN_FRACTION), MIN_ADMIN), MAX_ADMIN),
        )

    def remaining_after(self, others: Sequence[ProcessRecord]) -> DescriptorQuotas:
        """What remains of each quota after other processes that count against the same limit."""
        if not others:
            return self
        clients = self.clients - sum(other.client_connections + SIBLING_OVERHEAD for other in others)
        engines = self.engines - sum(other.engine_connections for other in others)
        return DescriptorQuotas(max(clients, MIN_QUOTA), max(engines, MIN_QUOTA), self.admin)
