"""An engine with its connections, and the selection of a connection for a new attempt."""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass, field

from cottonhold.backend.connection import Connection
from cottonhold.config.relay import ConnectionSettings
from cottonhold.discovery.model import Address
from cottonhold.scheduler.events import Engine, EngineState

# Engines close idle connections. Nothing is sent on a connection within this margin of its idle timeout. The
# second value limits the margin to a fraction of a short timeout.
IDLE_MARGIN_MS, MAX_IDLE_MARGIN_FRACTION = 2000.0, 0.5


@dataclass(slots=True, eq=False)
class EngineEndpoint:
    """An engine with its connections. Times are in ms of the clock."""

    engine: Engine
    address: Address | None
    connections: list[Connection] = field(default_factory=list)
    restarted_at: float = -math.inf  # when a restart was last announced

    def is_available(self) -> bool:
        """Return whether new attempts may be sent to the engine."""
        return self.address is not None and self.engine.state is EngineState.LIVE

    def close_matching(self, condition: Callable[[Connection], bool]) -> None:
        """Close the connections that satisfy a condition."""
        for connection in [c for c in self.connections if condition(c)]:
            connection.close()

    def usable_connection(
        self, request_id: bytes, settings: ConnectionSettings, now: float
    ) -> Connection | None:
        """Return the busiest usable connection for a request, so that surplus ones become idle and close."""
        usable = [c for c in self.connections if self._is_usable(c, request_id, settings, now)]
        return max(usable, key=lambda c: (c.is_up, len(c.attempts))) if usable else None

    def _is_usable(
        self, connection: Connection, request_id: bytes, settings: ConnectionSettings, now: float
    ) -> bool:
        """Return whether a connection may carry a request.

        A connection on which the request id is in use or was abandoned is excluded, since a late answer would
        be attributed to the new attempt. So are connections to a former address, and those to a former
        process on which nothing was received since the restart.
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
    """Return whether the engine may be closing an idle connection: a request on it might or might not run."""
    margin_ms = min(IDLE_MARGIN_MS, settings.idle_timeout_ms * MAX_IDLE_MARGIN_FRACTION)
    return connection.is_up and now - connection.last_used_at > settings.idle_timeout_ms - margin_ms


def is_health_check_overdue(connection: Connection, settings: ConnectionSettings, now: float) -> bool:
    """Return whether a health check is overdue, so that new attempts should use another connection."""
    return now - connection.health_check_since() > settings.connect_timeout_ms / 2
