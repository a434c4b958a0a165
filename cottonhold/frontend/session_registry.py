"""What a client session needs of the process, and what the process asks of a session."""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum
from typing import TYPE_CHECKING, Protocol

from cottonhold.frontend.query_service import QueryService, ServingState
from cottonhold.observe.counters import Counters
from cottonhold.scheduler.byte_pool import BytePool
from cottonhold.transport.clock import Clock

if TYPE_CHECKING:
    from cottonhold.frontend.mysql_session import Session


class Activity(Enum):
    """State of a client without an open request; the values are part of counters' names."""

    SILENT = "silent"  # the client has sent nothing yet
    IDLE = "idle"  # the client is between two commands
    HALTED = "halted"  # the client stopped within a packet or its login
    ENDING = "ending"  # its last response was written, and the client has not closed yet


class SessionRegistry(Protocol):
    """The services that all sessions share."""

    service: QueryService
    clock: Clock
    counters: Counters
    lifecycle: ServingState
    client_memory: BytePool  # what clients have sent
    result_memory: BytePool  # results that are collected, and those that clients have not read

    def find(self, connection_id: int) -> Session | None:
        """Return the session with this connection id, or None."""

    def forward_kill(self, connection_id: int, only_query: bool, on_result: Callable[[bool], None]) -> bool:
        """Pass KILL on to the process that assigned an id; return False if there is no such process.

        `on_result` is called later, with whether the session exists.
        """

    def on_result_buffered(self) -> None:
        """Close connections of clients that don't read, if results take too much memory."""

    def reclaim_client_memory(self) -> None:
        """Take back memory of clients that have stopped within large packets."""

    def on_session_closed(self, session: Session) -> None:
        """Remove a session; called when its connection has ended."""
