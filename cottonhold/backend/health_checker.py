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
    """Checks an engine once more, on a connection that is in order."""

    def __call__(self, engine: str, /) -> bool:
        """Whether the engine could be asked."""


class HealthChecker:
    """All health checks in flight."""

    def __init__(
        self,
        clock: Clock,
        counters: Counters,
        timeout_ms: Callable[[], float],
        recheck: Recheck,
        on_completed: HealthCheckCallback,
    ) -> None:
        """`timeout_ms` is asked with each check: settings may change."""
        self.clock, self.counters = clock, counters
        self.timeout_ms, self.recheck, self.on_completed = timeout_ms, recheck, on_completed
        self.count = 0
        self.last_duration_ms = 0.0  # of the last check that ended

    def send(
        self,
        connection: Connection,
        is_awaited: bool = True,
        callback: Callable[[bool], None] | None = None,
    ) -> None:
        """Check the engine on a connection.

        Where `is_awaited`, its outcome is reported to the callback, else to `on_completed`. Otherwise it
        counts for the connection only.
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
        """A health check lacks its answer. From now on it counts for its connection only.

        One silent connection is no evidence against the engine: where other answers arrive it lives, else it
        is checked on a new connection.
        """
        if not check.is_awaited:
            return
        if check.answers_before != connection.answer_count:
            self.end(check, Outcome.OK)
        elif check.was_connecting or check.callback is not None or not self.recheck(check.engine):
            self.end(check, Outcome.TIMEOUT)
        check.is_awaited = False

    def end(self, check: HealthCheck, outcome: Outcome, report: dict[str, float] | None = None) -> None:
        """A health check has ended."""
        if check.timer is not None:
            check.timer.cancel()
        self.counters.add(f"probes_{outcome.value}")
        if check.callback is not None:
            check.callback(outcome is Outcome.OK)
            return
        self.last_duration_ms = self.clock.now() - check.sent_at
        self.on_completed(check.engine, outcome, report or {})
