"""The connections to all engines: sends and cancels attempts and checks the engines' health."""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import Protocol

from cottonhold.backend.attempt import Attempt
from cottonhold.backend.connection import Connection
from cottonhold.backend.endpoint import EngineEndpoint, is_stale
from cottonhold.backend.engine_protocol import (
    FAILED_HEALTH_CHECK,
    Answer,
    AnswerKind,
    decode_answer,
    decode_kind,
    decode_load_report,
    decode_number,
    encode_cancel,
    encode_change_priority,
    encode_close_result,
    encode_execute,
)
from cottonhold.backend.health_check import LivenessBudget
from cottonhold.backend.health_checker import HealthChecker
from cottonhold.backend.liveness_monitor import LivenessMonitor
from cottonhold.backend.result_collector import ResultCollector
from cottonhold.config.relay import ConnectionSettings
from cottonhold.discovery.model import Address, EngineListChange
from cottonhold.observe.counters import Counters
from cottonhold.scheduler.byte_pool import BytePool
from cottonhold.scheduler.events import AttemptEnded, Engine, EngineState, Outcome
from cottonhold.scheduler.memory_quotas import UNLIMITED_BYTES
from cottonhold.transport.clock import Clock
from cottonhold.transport.interface import StreamHandle

# When an engine is removed or restarts, a connection that received nothing for this long is considered dead.
INACTIVITY_LIMIT_MS = 1000.0
MIN_ATTEMPT_MS = 1.0  # an attempt with less time left is not sent, since no engine could answer in time

Connect = Callable[[Address, Connection], StreamHandle]


class AttemptListener(Protocol):
    """Owns the attempts and is notified when they end; implemented by the gateway."""

    def has_to_wait(self, attempt: Attempt, max_delay_ms: float) -> bool:
        """Return whether an attempt must not be sent yet, since its cancellation may not have been read.

        It waits for `max_delay_ms` after the decision on it at the most.
        """

    def is_wanted(self, attempt: Attempt) -> bool:
        """Return whether an attempt that was not sent yet may still be sent."""

    def on_attempt_ended(self, attempt: Attempt, event: AttemptEnded) -> None:
        """Process the end of an attempt; called once for each attempt that `send` accepted."""

    def on_health_check_completed(self, engine: str, outcome: Outcome, report: dict[str, float]) -> None:
        """Process the outcome of a requested health check and the engine's load report, empty without one."""


class EngineConnections:
    """Sends and cancels attempts and notifies the listener; `connect` and `listener` must be set first."""

    def __init__(
        self,
        settings: ConnectionSettings,
        clock: Clock,
        counters: Counters,
        log: Callable[[str], None],
        max_connections: int,
    ) -> None:
        """Start the periodic checks of connections.

        Args:
            settings: Limits and timeouts of engine connections; may be replaced later.
            max_connections: Largest number of engine connections that may be open at the same time.
        """
        self.settings, self.clock, self.counters, self.log = settings, clock, counters, log
        self.endpoints: dict[str, EngineEndpoint] = {}
        self.endpoints_in_use: dict[str, EngineEndpoint] = {}  # with connections at the last check
        self.connect: Connect
        self.listener: AttemptListener
        self.max_connections, self.open_connections = max_connections, 0
        self.liveness_budget = LivenessBudget()
        self.result_pool, self.answer_pool = BytePool(UNLIMITED_BYTES), BytePool(UNLIMITED_BYTES)
        self.results = ResultCollector(self.result_pool, clock, counters)
        self.health_checker = HealthChecker(
            clock,
            counters,
            lambda: self.settings.connect_timeout_ms,
            self.check_health,
            lambda engine, outcome, report: self.listener.on_health_check_completed(engine, outcome, report),
        )
        self.liveness_monitor = LivenessMonitor(self)

    def apply(self, change: EngineListChange) -> None:
        """Apply a change of the engine list; attempts queued for an engine that drains or left end."""
        for engine in change.engines:
            endpoint = self.endpoints.get(engine.id)
            if endpoint is None:
                endpoint = self.endpoints[engine.id] = EngineEndpoint(engine, None)
            address = change.addresses.get(engine.id, endpoint.address)
            if address != endpoint.address:
                self._on_moved(endpoint, engine.started_at)
            elif engine.started_at > endpoint.engine.started_at:
                self._on_restarted(endpoint, engine.started_at)
            endpoint.engine, endpoint.address = engine, address
            self.close_if_leaving(endpoint)
        if change.is_complete:
            listed = {engine.id for engine in change.engines}
            for name in [name for name in self.endpoints if name not in listed]:
                endpoint = self.endpoints[name]
                endpoint.engine = Engine(name, state=EngineState.REMOVED)
                self.close_if_leaving(endpoint)

    def _on_moved(self, endpoint: EngineEndpoint, started_at: float) -> None:
        """Close idle and obsolete connections to a former address; attempts on the others continue."""
        endpoint.close_matching(lambda c: c.opened_at < started_at or c.is_unused() or not c.is_up)

    def _on_restarted(self, endpoint: EngineEndpoint, started_at: float) -> None:
        """Close idle and silent connections opened before an engine's restart.

        Connections to a machine that vanished stay open but receive nothing. A restart may be announced late,
        when connections to the new process already exist. So a connection that received an answer recently is
        kept, but gets no new attempt until it has received another one.
        """
        endpoint.restarted_at = self.clock.now()
        silent_before = endpoint.restarted_at - INACTIVITY_LIMIT_MS
        endpoint.close_matching(
            lambda c: not c.is_up
            or c.opened_at < started_at
            and (c.is_unused() or c.last_received_at < silent_before)
        )

    def close_if_leaving(self, endpoint: EngineEndpoint) -> None:
        """Close what an engine that drains or was removed no longer needs.

        Queued attempts end, unused connections close, and a removed engine's silent connections are lost.
        """
        if endpoint.engine.state is EngineState.LIVE:
            return
        for connection in list(endpoint.connections):
            self.drop_unsendable(connection)
        endpoint.close_matching(Connection.is_unused)
        if endpoint.engine.state is EngineState.REMOVED:
            silent_before = self.clock.now() - INACTIVITY_LIMIT_MS
            endpoint.close_matching(lambda c: c.last_received_at < silent_before or not c.attempts)
            if not endpoint.connections:
                del self.endpoints[endpoint.engine.id]
                self.endpoints_in_use.pop(endpoint.engine.id, None)

    def _available_endpoint(self, engine: str) -> EngineEndpoint | None:
        """Return the endpoint of an engine if new attempts may be sent to it, else None."""
        endpoint = self.endpoints.get(engine)
        return endpoint if endpoint is not None and endpoint.is_available() else None

    def send(self, attempt: Attempt) -> bool:
        """Queue an attempt on a connection; return false if there is none, so that it did not run."""
        request_id = attempt.engine_request_id
        endpoint = self._available_endpoint(attempt.engine)
        connection = self._connection(endpoint, request_id) if endpoint is not None else None
        if connection is None:
            return False
        attempt.connection = connection
        connection.attempts[request_id] = attempt
        self.liveness_budget.on_attempt_sent(self.settings.health_check_cost)
        connection.silent_since = min(connection.silent_since, attempt.started_at)
        remaining_ms = max(attempt.deadline - self.clock.now(), 0.0)
        attempt.timer = self.clock.call_in(remaining_ms, lambda: self._on_timeout(attempt))
        self.counters.add("attempts_sent")
        connection.enqueue(attempt)
        return True

    def unsent_outcome(self) -> Outcome:
        """Return the outcome of an attempt or a health check that could not be started.

        Without free descriptors it is OVERLOADED, which causes a back-off but is no sign of a fault.
        """
        is_full = self.open_connections >= self.max_connections
        return Outcome.OVERLOADED if is_full else Outcome.CONNECT_FAILED

    def _connection(self, endpoint: EngineEndpoint, request_id: bytes) -> Connection | None:
        """Return a usable connection, opening one if necessary; None if no descriptor is left."""
        now = self.clock.now()
        endpoint.close_matching(lambda c: c.is_unused() and is_stale(c, self.settings, now))
        usable = endpoint.usable_connection(request_id, self.settings, now)
        if usable is not None:
            return usable
        if self.open_connections >= self.max_connections:
            for other in list(self.endpoints_in_use.values()):
                other.close_matching(Connection.is_unused)
            if self.open_connections >= self.max_connections:
                self.counters.add("engine_connections_lacking")
                return None
        return self._new_connection(endpoint)

    def _new_connection(self, endpoint: EngineEndpoint) -> Connection:
        assert endpoint.address is not None
        connection = Connection(self, endpoint.engine.id, endpoint.address, self.clock.now())
        endpoint.connections.append(connection)
        self.endpoints_in_use[endpoint.engine.id] = endpoint
        self.open_connections += 1
        self.counters.add("engine_connections")
        connection.stream = self.connect(endpoint.address, connection)
        return connection

    def has_to_wait(self, attempt: Attempt) -> bool:
        """Return whether an attempt must not be sent yet, for as long as a connect may take at the most."""
        was_held = attempt.is_held
        attempt.is_held = self.listener.has_to_wait(attempt, self.settings.connect_timeout_ms)
        if attempt.is_held and not was_held:
            self.counters.add("attempts_held")
        return attempt.is_held

    def end_unless_sendable(self, attempt: Attempt) -> bool:
        """Check an attempt right before its first byte is written; return whether it may be sent.

        An attempt that may not be sent any more ends here. It may have been queued for long, for instance
        during a connect, and meanwhile its client may have disconnected or its deadline may have passed.
        """
        now = self.clock.now()
        is_late = now > attempt.deadline - MIN_ATTEMPT_MS or now >= attempt.begin_deadline
        if self._available_endpoint(attempt.engine) is None:
            self._end(attempt, Outcome.CONNECT_FAILED)
        elif is_late or not self.listener.is_wanted(attempt):
            self._end(attempt, Outcome.NOT_STARTED)
        return attempt.connection is not None

    def encode_request(self, attempt: Attempt) -> bytes:
        """Encode the attempt's request with the time that remains until its deadline.

        The statement is released: it is encoded once, and a long one would stay until the engine answers.
        """
        body, attempt.body = attempt.body, b""
        timeout_ms = max(1, int(attempt.deadline - self.clock.now()))
        return encode_execute(
            attempt.engine_request_id,
            attempt.class_name,
            timeout_ms,
            attempt.priority,
            attempt.idempotency_key,
            body,
        )

    def drop_unsendable(self, connection: Connection) -> None:
        """End attempts queued on a connection if its engine accepts no new ones."""
        if self._available_endpoint(connection.engine) is not None:
            return
        for item in [i for i in connection.queue if isinstance(i, Attempt)]:
            connection.queue.remove(item)
            self._end(item, Outcome.CONNECT_FAILED)

    def change_priority(self, attempt: Attempt, priority: int) -> None:
        """Change an attempt's priority; the engine is informed if it was sent and has no result yet."""
        attempt.priority = priority
        if attempt.connection is not None and attempt.is_written and not attempt.pages:
            attempt.connection.enqueue(encode_change_priority(attempt.engine_request_id, priority))

    def cancel(self, attempt: Attempt, outcome: Outcome) -> None:
        """Cancel an attempt, which ends with this outcome; the engine is informed if it was sent."""
        connection = attempt.connection
        if connection is None:
            return
        if attempt in connection.queue:
            connection.queue.remove(attempt)
        elif attempt.pages:
            connection.write_now(encode_close_result(attempt.engine_request_id))
        else:
            connection.write_now(encode_cancel(attempt.engine_request_id))
        self._end(attempt, outcome)

    def shorten_deadline(self, attempt: Attempt, deadline: float) -> None:
        """Set an earlier deadline for an attempt in flight; a later one changes nothing."""
        if deadline < attempt.deadline and attempt.timer is not None:
            attempt.timer.cancel()
            attempt.deadline, remaining_ms = deadline, max(deadline - self.clock.now(), 0.0)
            attempt.timer = self.clock.call_in(remaining_ms, lambda: self._on_timeout(attempt))

    def _on_timeout(self, attempt: Attempt) -> None:
        """End an attempt whose deadline has passed.

        A queued attempt ends with CONNECT_FAILED only if the connect was given its full timeout.
        """
        connection = attempt.connection
        if connection is None or attempt not in connection.queue:
            self.cancel(attempt, Outcome.TIMEOUT)
            return
        if attempt.is_held:
            self.cancel(attempt, Outcome.NOT_STARTED)
            return
        is_connecting = self.clock.now() - connection.opened_at < self.settings.connect_timeout_ms
        self.cancel(attempt, Outcome.NOT_STARTED if is_connecting else Outcome.CONNECT_FAILED)

    def _end(self, attempt: Attempt, outcome: Outcome, fields: dict[str, str] | None = None) -> None:
        """End an attempt and notify the listener; an attempt that already ended is ignored."""
        connection, attempt.connection = attempt.connection, None
        if connection is None:
            return
        request_id = attempt.engine_request_id
        connection.attempts.pop(request_id, None)
        self.results.end(attempt)
        if attempt.is_written and outcome is not Outcome.OK:
            connection.abandoned_ids[request_id] = None
        if attempt.timer is not None:
            attempt.timer.cancel()
        fields = fields or {}
        elapsed_ms = (attempt.first_response_at or self.clock.now()) - attempt.started_at
        self.counters.add(f"attempts_{outcome.value}")
        event = AttemptEnded(
            attempt.request_id,
            attempt.number,
            attempt.engine,
            outcome,
            elapsed_ms,
            actual_work_ms=decode_number(fields.get("ticks")),
            actual_memory_mb=decode_number(fields.get("footprint")),
            load_report=decode_load_report(fields),
        )
        self.listener.on_attempt_ended(attempt, event)

    def on_answer(self, connection: Connection, elements: list[bytes]) -> None:
        """Process an answer; one without a matching attempt or check is ignored as late. Raises RespError."""
        answer = decode_answer(elements)
        if check := connection.health_checks.pop(answer.request_id, None):
            if check.is_awaited:
                outcome = Outcome.ERROR if answer.kind == FAILED_HEALTH_CHECK else Outcome.OK
                self.health_checker.end(check, outcome, decode_load_report(answer.fields))
            return
        attempt = connection.attempts.get(answer.request_id)
        if attempt is None:
            self.counters.add("answers_late")
        else:
            self._on_attempt_answer(attempt, answer)

    def _on_attempt_answer(self, attempt: Attempt, answer: Answer) -> None:
        """Process an answer to an attempt in flight; a duplicate is counted and ignored. Raises RespError."""
        kind = decode_kind(answer.kind)
        if kind is AnswerKind.CRASHED:
            self._end(attempt, Outcome.ERROR, answer.fields)
        elif kind is AnswerKind.PAGE and attempt.has_requested_pages():
            self._on_page(attempt, answer)
        elif attempt.pages or kind is AnswerKind.PAGE:
            self.counters.add("answers_again")
        elif kind is AnswerKind.SERVED:
            if self.results.on_first_page(attempt, answer):
                self._end(attempt, Outcome.OK, answer.fields)
        elif kind is AnswerKind.OVERLOADED:
            self._end(attempt, Outcome.OVERLOADED, answer.fields)
        else:
            self._end(attempt, Outcome.NOT_STARTED, answer.fields)

    def _on_page(self, attempt: Attempt, answer: Answer) -> None:
        """Store a further page; the last one completes the result."""
        if self.results.on_page(attempt, answer):
            connection = attempt.connection
            self._end(attempt, Outcome.OK, attempt.response_fields)
            if connection is not None:
                connection.enqueue(encode_close_result(attempt.engine_request_id))

    def on_connection_closed(self, connection: Connection) -> None:
        """End everything on a closed connection: written attempts may have run, queued ones did not."""
        endpoint = self.endpoints.get(connection.engine)
        if endpoint is not None and connection in endpoint.connections:
            endpoint.connections.remove(connection)
            self.open_connections -= 1
        never_ran = Outcome.OVERLOADED if connection.lacked_local_resources else Outcome.CONNECT_FAILED
        for check in list(connection.health_checks.values()):
            if check.is_awaited:
                self.health_checker.end(check, Outcome.RESET if connection.is_up else never_ran)
        for attempt in list(connection.attempts.values()):
            self._end(attempt, Outcome.RESET if attempt.is_written else never_ran)

    def check_health(self, engine: str) -> bool:
        """Request an engine's load report as a health check; return false if no connection is available."""
        endpoint = self._available_endpoint(engine)
        connection = self._connection(endpoint, b"") if endpoint is not None else None
        if connection is not None:
            self.health_checker.send(connection)
        return connection is not None

    def check_liveness(self, engine: str, callback: Callable[[bool], None]) -> bool:
        """Check an engine even if it accepts no new attempts; return false if no connection is available.

        The outcome is passed to the callback instead of the listener: true if the engine answered without an
        error.
        """
        endpoint = self.endpoints.get(engine)
        if endpoint is None or endpoint.address is None or endpoint.engine.state is EngineState.REMOVED:
            return False
        connection = self._connection(endpoint, b"")
        if connection is not None:
            self.health_checker.send(connection, callback=callback)
        return connection is not None

    def attempts_in_flight(self, engine: str) -> int:
        """Return the number of attempts at an engine, including those queued during a connect."""
        endpoint = self.endpoints.get(engine)
        return sum(len(c.attempts) for c in endpoint.connections) if endpoint is not None else 0

    def reclaim_answers(self) -> None:
        """Abandon the connection whose answer has been incomplete for longest."""
        connections = (c for endpoint in self.endpoints_in_use.values() for c in endpoint.connections)
        oldest = min(connections, key=lambda c: c.partial_since, default=None)
        if oldest is not None and oldest.partial_since < math.inf:
            self.on_malformed_answer(f"engine {oldest.engine}: no memory for an incomplete answer")
            oldest.abandon()

    def on_unread(self, connection: Connection) -> None:
        """Give up a connection whose engine does not read."""
        self.log(f"engine {connection.engine}: {len(connection.queue)} calls wait to be read by it")
        connection.abandon()

    def on_malformed_answer(self, reason: str) -> None:
        """Count and log a malformed answer of an engine."""
        self.counters.add("engine_malformed")
        self.log(reason)
