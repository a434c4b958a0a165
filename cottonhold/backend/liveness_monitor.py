"""Checks silent connections, and engines that drain or were removed, at a fixed interval."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from cottonhold.backend.connection import Connection
from cottonhold.backend.endpoint import EngineEndpoint
from cottonhold.backend.health_check import LivenessBudget
from cottonhold.backend.health_checker import HealthChecker
from cottonhold.config.relay import ConnectionSettings
from cottonhold.observe.counters import Counters
from cottonhold.scheduler.events import EngineState
from cottonhold.transport.clock import Clock

CHECK_INTERVAL_MS = 200.0
# A connection with attempts in flight that receives nothing for this long gets a liveness check.
LIVENESS_CHECK_AFTER_MS = 1200.0
# Timeout of a liveness check, and the longest time between the first and the last byte of an answer.
LIVENESS_TIMEOUT_MS = 500.0
# Limit per connection. The oldest ids may be dropped, since an id is reused only while its request is open.
MAX_ABANDONED_IDS = 256


class MonitoredPool(Protocol):
    """The connection pool that is monitored."""

    settings: ConnectionSettings
    clock: Clock
    counters: Counters
    log: Callable[[str], None]
    endpoints_in_use: dict[str, EngineEndpoint]  # the monitor removes those without connections
    health_checker: HealthChecker
    liveness_budget: LivenessBudget

    def close_if_leaving(self, endpoint: EngineEndpoint, /) -> None:
        """Close connections that an engine that drains or was removed no longer needs."""

    def on_malformed_answer(self, reason: str, /) -> None:
        """Report a malformed answer of an engine."""


class LivenessMonitor:
    """Checks the connections of one pool periodically until the process ends."""

    def __init__(self, pool: MonitoredPool) -> None:
        self.pool = pool
        pool.clock.call_in(CHECK_INTERVAL_MS, self._check_periodically)

    def _check_periodically(self) -> None:
        """Check all open connections, and engines that drain or were removed.

        Only engines with connections are visited, since most engines of a large list have none. An exception
        at one engine does not keep the others from being checked. The connections that have been silent for
        the longest time get a liveness check first, as far as the budget allows.
        """
        pool, silent = self.pool, list[Connection]()
        now = pool.clock.now()
        pool.clock.call_in(CHECK_INTERVAL_MS, self._check_periodically)
        for name, endpoint in list(pool.endpoints_in_use.items()):
            try:
                silent += [c for c in list(endpoint.connections) if self.check_connection(endpoint, c, now)]
                pool.close_if_leaving(endpoint)
                if not endpoint.connections:
                    pool.endpoints_in_use.pop(name, None)
            except Exception as error:
                pool.counters.add("check_faults")
                pool.log(f"engine {endpoint.engine.id}: {type(error).__name__}: {error}")
        for connection in sorted(silent, key=lambda c: c.silent_since):
            if pool.liveness_budget.try_spend(pool.settings.health_check_cost):
                pool.health_checker.send(connection, is_awaited=False)

    def check_connection(self, endpoint: EngineEndpoint, connection: Connection, now: float) -> bool:
        """Abandon a connection that has failed; return whether it needs a liveness check."""
        if not connection.is_up or connection.is_closed:
            return False
        for tag, check in list(connection.health_checks.items()):
            if not check.is_awaited and check.answers_before != connection.answer_count:
                del connection.health_checks[tag]
        if now - connection.partial_since > LIVENESS_TIMEOUT_MS:
            self.pool.on_malformed_answer(f"engine {connection.engine}: an incomplete answer timed out")
            connection.abandon()
        elif now - connection.health_check_since() >= LIVENESS_TIMEOUT_MS:
            self.pool.log(f"engine {connection.engine}: a connection did not answer its liveness check")
            connection.abandon()
        for request_id in list(connection.abandoned_ids)[:-MAX_ABANDONED_IDS]:
            del connection.abandoned_ids[request_id]
        is_live = endpoint.engine.state is EngineState.LIVE
        is_working = bool(connection.attempts) and not connection.health_checks and is_live
        return (
            not connection.is_closed
            and is_working
            and now - connection.silent_since > LIVENESS_CHECK_AFTER_MS
        )
