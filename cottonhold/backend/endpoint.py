"""An engine of the list with its connections, and which of them a new attempt may use."""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass, field

from cottonhold.backend.connection import Connection
from cottonhold.config.relay import ConnectionSettings
from cottonhold.discovery.model import Address
from cottonhold.scheduler.events import Engine, EngineState

# An engine closes idle connections: close to its limit, or this fraction of a short one, nothing is sent.
IDLE_MARGIN_MS, MAX_IDLE_MARGIN_FRACTION = 2000.0, 0.5


@dataclass(slots=True, eq=False)
class EngineEndpoint:
    """An engine of the list with its connections. Times are ms of the clock."""

    engine: Engine
    address: Address | None
    connections: list[Connection] = field(default_factory=list)
    restarted_at: float = -math.inf  # when a new start was last announced

    def is_available(self) -> bool:
        """Whether the engine may get something new."""
        return self.address is not None and self.engine.state is EngineState.LIVE

    def close_matching(self, condition: Callable[[Connection], bool]) -> None:
        """Close the connections that a condition holds for."""
        for connection in [c for c in self.connections if condition(c)]:
            connection.close()

    def usable_connection(
        self, request_id: bytes, settings: ConnectionSettings, now: float
    ) -> Connection | None:
        """The fullest connection that may take a request, so that spare ones run idle and close."""
        usable = [c for c in self.connections if self._is_usable(c, request_id, settings, now)]
        return max(usable, key=lambda c: (c.is_up, len(c.attempts))) if usable else None

    def _is_usable(
        self, connection: Connection, request_id: bytes, settings: ConnectionSettings, now: float
    ) -> bool:
        """Whether a connection may take a request.

        Not under an id that is in use there or was abandoned: a late answer would be taken for the new
        attempt's. Not to a former address, nor to a former process that has not answered since the restart.
        """
        return (
            len(connection.attempts) < settings.max_streams
            and not is_stale(connection, settings, now)
            and not is_health_check_overdue(connection, settings, now)
            and request_id not in connection.abandoned_ids
            and request_id not in connection.attempts
            and connection.address == self.address
            and (
                not connection.is_up
                or connection.last_received_at >= self.restarted_at
                or connection.opened_at >= self.engine.started_at
            )
        )


def is_stale(connection: Connection, settings: ConnectionSettings, now: float) -> bool:
    """Whether the engine may be closing an idle connection: what is written meanwhile may have run or not."""
    margin_ms = min(IDLE_MARGIN_MS, settings.idle_timeout_ms * MAX_IDLE_MARGIN_FRACTION)
    return connection.is_up and now - connection.last_used_at > settings.idle_timeout_ms - margin_ms


def is_health_check_overdue(connection: Connection, settings: ConnectionSettings, now: float) -> bool:
    """Whether the answer to a health check is late, so that what is new goes elsewhere meanwhile."""
    return now - connection.health_check_since() > settings.connect_timeout_ms / 2
