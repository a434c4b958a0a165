"""What client protocols expect of the gateway and of the process's lifecycle."""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum
from typing import Protocol

from cottonhold.frontend.mysql_packets import ResultRows
from cottonhold.frontend.query_comment import Statement


class DuplicateRequestIdError(Exception):
    """A request under an id that is still in use."""


class ResponseSink(Protocol):
    """The way back to the client of one request; one call, once."""

    def complete(self, rows: ResultRows, /) -> None:
        """Give the complete result."""

    def reject(self, retry_after_ms: float, /) -> None:
        """Reject the request; repeating it is harmless."""

    def fail(self, reason: str, /) -> None:
        """Report a failure; the request may have run."""


class QueryService(Protocol):
    """Accepts statements: the gateway."""

    def submit(self, statement: Statement, arrived_at: float, sink: ResponseSink) -> Callable[[], None]:
        """Accept a statement; returns what to call when its client disconnects.

        Raises FieldError and DuplicateRequestIdError. `sink` is never called before this returns.
        """

    @property
    def log(self) -> Callable[[str], None]:
        """Writes a line for the operators."""


class ServingState(Protocol):
    """Whether this process serves, drains or shuts down. All times are ms of the clock."""

    def phase(self) -> Enum:
        """The phase; clients see its value."""

    def is_ready(self) -> bool:
        """Whether health checks succeed."""

    def accepts_query(self, now: float, deadline: float) -> bool:
        """Whether a query that arrives now and has until `deadline` is accepted."""

    def closes_idle(self, now: float) -> bool:
        """Whether connections without an open request are closed."""

    def closes_all(self, now: float) -> bool:
        """Whether they are closed however recently they were active."""

    def closes_answered(self, now: float) -> bool:
        """Whether a connection is closed right after its response."""
