"""Divides the limit on file descriptors into quotas, whose sum stays below the limit."""

from __future__ import annotations

import resource
from collections.abc import Sequence
from dataclasses import dataclass

from cottonhold.node.sibling_processes import ProcessRecord

CLIENTS_FRACTION = 0.48  # active clients use at most 1/3 of the limit; the rest is for stalled connections
ENGINES_FRACTION = 0.33
MIN_QUOTA = 8
SIBLING_OVERHEAD = 12  # descriptors that a sibling process uses for its event loop, log and listeners
# Reserved for operators' calls, which are answered even when all other descriptors are in use.
ADMIN_FRACTION, MIN_ADMIN, MAX_ADMIN = 1 / 16, 4, 16


def usable_descriptors(configured: int) -> int:
    """Return how many descriptors this process may use: as configured, or fewer if its own limit is lower."""
    soft_limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return configured if soft_limit == resource.RLIM_INFINITY else min(configured, soft_limit)


@dataclass(slots=True, frozen=True)
class DescriptorQuotas:
    """Numbers of descriptors; the rest is for listeners, event stream, peers, log and the event loop."""

    clients: int  # client connections
    engines: int  # engine connections
    admin: int  # operators' connections

    @classmethod
    def divide(cls, limit: int) -> DescriptorQuotas:
        """Divide a limit into quotas."""
        return cls(
            clients=max(int(limit * CLIENTS_FRACTION), MIN_QUOTA),
            engines=max(int(limit * ENGINES_FRACTION), MIN_QUOTA),
            admin=min(max(int(limit * ADMIN_FRACTION), MIN_ADMIN), MAX_ADMIN),
        )

    def remaining_after(self, others: Sequence[ProcessRecord]) -> DescriptorQuotas:
        """Return what remains of each quota after the use by other processes under the same limit."""
        if not others:
            return self
        clients = self.clients - sum(other.client_connections + SIBLING_OVERHEAD for other in others)
        engines = self.engines - sum(other.engine_connections for other in others)
        return DescriptorQuotas(max(clients, MIN_QUOTA), max(engines, MIN_QUOTA), self.admin)
