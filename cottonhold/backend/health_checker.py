"""Sends health checks on connections and reports their outcomes."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from cottonhold.backend.connection import Connection
from cottonhold.backend.engine_protocol import encode_load_report_request
from cottonhold.backend.health_check import HealthCheck
from cottonhold.observe.counters import Counters
from cottonhold.scheduler.events import Outcome
from cottonhold.transport.clock import Clock

HealthCheckCallback = Callable[[str, Outcome, dict[str, float]], None]  # engine, outcome, load report


class Recheck(Protocol):
    """Repeats the health check of an engine on another connection."""

    def __call__(self, engine: str, /) -> bool:
        """Start the check; return false if no connection is available."""


class HealthChecker:
    """Sends health checks, handles their timeouts and reports their outcomes."""

    def __init__(
        self,
        clock: Clock,
        counters: Counters,
        timeout_ms: Callable[[], float],
        recheck: Recheck,
        on_completed: HealthCheckCallback,
    ) -> None:
        """Create a health checker.

        Args:
            clock: Supplies time and timers.
            counters: Counts checks and their outcomes.
            timeout_ms: Returns the timeout of a check; called for each one because settings may change.
            recheck: Repeats a check that timed out on a single silent connection.
            on_completed: Receives the outcome of each requested check that has no callback of its own.
        """
        self.clock, self.counters = clock, counters
        self.timeout_ms, self.recheck, self.on_completed = timeout_ms, recheck, on_completed
        self.count = 0
        self.last_duration_ms = 0.0  # duration of the last check reported to `on_completed`

    def send(
        self,
        connection: Connection,
        is_awaited: bool = True,
        callback: Callable[[bool], None] | None = None,
    ) -> None:
        """Send a health check on a connection.

        Args:
            connection: The connection to the engine.
            is_awaited: Whether the outcome is reported; otherwise the check only shows whether the connection
                is alive.
            callback: Receives the outcome instead of `on_completed`.
        """
        self.count += 1
        tag = b"t%d" % self.count
        check = HealthCheck(
            connection.engine,
            self.clock.now(),
            connection.answer_count,
            was_connecting=not connection.is_up,
            is_awaited=is_awaited,
            callback=callback,
        )
        connection.health_checks[tag] = check
        self.counters.add("probes_sent")
        connection.enqueue(encode_load_report_request(tag))
        if is_awaited:
            check.timer = self.clock.call_in(self.timeout_ms(), lambda: self._on_late(connection, check))

    def _on_late(self, connection: Connection, check: HealthCheck) -> None:
        """Handle the timeout of a health check, which from now on only shows whether its connection is alive.

        One silent connection is no evidence against the engine. If the connection has received other answers,
        the engine is alive; otherwise the check is repeated on another connection.
        """
        if not check.is_awaited:
            return
        if check.answers_before != connection.answer_count:
            self.end(check, Outcome.OK)
        elif check.was_connecting or check.callback is not None or not self.recheck(check.engine):
            self.end(check, Outcome.TIMEOUT)
        check.is_awaited = False

    def end(self, check: HealthCheck, outcome: Outcome, report: dict[str, float] | None = None) -> None:
        """Report the outcome of a health check to its callback or to `on_completed`."""
        if check.timer is not None:
            check.timer.cancel()
        self.counters.add(f"probes_{outcome.value}")
        if check.callback is not None:
            check.callback(outcome is Outcome.OK)
            return
        self.last_duration_ms = self.clock.now() - check.sent_at
        self.on_completed(check.engine, outcome, report or {})
