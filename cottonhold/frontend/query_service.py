"""Interfaces of the gateway and of the process lifecycle that client protocols depend on."""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum
from typing import Protocol

from cottonhold.frontend.mysql_packets import ResultRows
from cottonhold.frontend.query_comment import Statement
from cottonhold.scheduler.byte_pool import BytePool


class DuplicateRequestIdError(Exception):
    """A request has the id of another request that is still open."""


class SentBeforeError(Exception):
    """A request has the id of an earlier one that may have run, and its class forbids a repeat."""


class ResponseSink(Protocol):
    """Sends the response of one request to its client: exactly one of the first three methods is called."""

    def complete(self, rows: ResultRows, /) -> None:
        """Send the complete result."""

    def reject(self, retry_after_ms: float, /) -> None:
        """Reject the request, which the client may safely repeat; 0 gives no advice on when to retry."""

    def fail(self, reason: str, /) -> None:
        """Report a failure of the request, which may have been executed."""

    def has_left(self) -> bool:
        """Return whether the client has closed its connection, even if that was not read yet."""


class QueryService(Protocol):
    """Accepts statements for execution; implemented by the gateway."""

    def submit(self, statement: Statement, arrived_at: float, sink: ResponseSink) -> Callable[[], None]:
        """Accept a statement.

        Args:
            statement: The statement with its request's fields.
            arrived_at: When its last byte arrived, in ms of the clock.
            sink: Receives the response; never called before this method returns.

        Returns:
            A function that withdraws the request, to be called when its client disconnects or interrupts it.

        Raises:
            FieldError: A field of the request can't be used.
            DuplicateRequestIdError: Another request with the same id is still open.
            SentBeforeError: A request with the same id may have run, and its class forbids a repeat.
        """

    @property
    def result_memory(self) -> BytePool:
        """The memory for results that are collected, and for those that clients have not read."""

    @property
    def log(self) -> Callable[[str], None]:
        """A function that writes a log line."""


class ServingState(Protocol):
    """The state of this process: serving, draining or shutting down. Times are in ms of the clock."""

    def phase(self) -> Enum:
        """Return the phase, whose value is part of error texts to clients."""

    def is_ready(self) -> bool:
        """Return whether health checks of this process succeed."""

    def accepts_query(self, now: float, deadline: float) -> bool:
        """Return whether a query that arrives at `now` with this deadline is accepted."""

    def closes_idle(self, now: float) -> bool:
        """Return whether connections without an open request are closed."""

    def closes_all(self, now: float) -> bool:
        """Return whether connections without an open request are closed even if they were active recently."""

    def closes_answered(self, now: float) -> bool:
        """Return whether a connection is closed right after a response was sent on it."""
