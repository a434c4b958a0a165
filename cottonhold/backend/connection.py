"""One connection to an engine: a state machine that is fed bytes and gives bytes to write."""

from __future__ import annotations

import math
from collections import deque
from typing import Protocol

from cottonhold.backend.attempt import Attempt
from cottonhold.backend.health_check import HealthCheck
from cottonhold.backend.resp import RespError, RespReader
from cottonhold.discovery.model import Address
from cottonhold.observe.counters import Counters
from cottonhold.transport.clock import Clock
from cottonhold.transport.interface import StreamHandle

MAX_READS_BEFORE_WRITE = 4  # of what arrived unasked, before something is written on an idle connection
MAX_WRITE_BYTES = 16 * 1024  # that a write takes at once, and one attempt's more: a socket holds that much


class ConnectionOwner(Protocol):
    """Who decides about attempts on a connection: the pool."""

    clock: Clock
    counters: Counters

    def end_unless_sendable(self, attempt: Attempt) -> bool:
        """Whether an attempt may still begin; called before its first byte. One that may not has ended."""

    def encode_request(self, attempt: Attempt) -> bytes:
        """The attempt's request as bytes."""

    def drop_unsendable(self, connection: Connection) -> None:
        """Take queued attempts out where the engine may get nothing new."""

    def on_answer(self, connection: Connection, elements: list[bytes]) -> None:
        """An answer has arrived. Raises RespError where it can't be understood."""

    def on_connection_closed(self, connection: Connection) -> None:
        """The connection has ended, or never came up."""

    def on_malformed_answer(self, reason: str) -> None:
        """The engine has sent something that can't be understood."""


class Connection:
    """One connection with the attempts and health checks on it. Times are ms of the clock."""

    def __init__(self, owner: ConnectionOwner, engine: str, address: Address, now: float) -> None:
        self.owner, self.engine, self.address = owner, engine, address
        self.reader = RespReader()
        self.stream: StreamHandle | None = None
        self.opened_at, self.last_received_at, self.last_used_at = now, now, now
        self.partial_since = math.inf  # when an incomplete answer began
        self.answer_count = 0
        self.silent_since = math.inf  # since when something that was sent waits for any answer
        self.is_up = self.is_closed = self.is_closing = False
        self.lacked_local_resources = False  # it never came up, which is no evidence about the engine
        self.queue: deque[Attempt | bytes] = deque()
        self.attempts: dict[bytes, Attempt] = {}
        self.abandoned_ids: dict[bytes, None] = {}  # that ended without a result: not used here again
        self.health_checks: dict[bytes, HealthCheck] = {}

    def on_connected(self) -> None:
        """The connection is up."""
        now = self.owner.clock.now()
        self.is_up, self.opened_at, self.last_received_at, self.last_used_at = True, now, now, now
        self.silent_since = now if self.attempts else math.inf
        self.owner.drop_unsendable(self)

    def pop_output(self) -> bytes:
        """Take what is to be written now. Whether an attempt may still begin is checked only here.

        Little is taken at a time: what waited behind an engine that reads slowly would begin unchecked.
        """
        self._detect_close()
        if self.is_closed:
            return b""
        parts, size = list[bytes](), 0
        while self.queue and size < MAX_WRITE_BYTES:
            item = self.queue.popleft()
            if isinstance(item, Attempt):
                if not self.owner.end_unless_sendable(item):
                    continue
                item.is_written = True
                item = self.owner.encode_request(item)
            parts.append(item)
            size += len(item)
        if parts:
            self.last_used_at = self.owner.clock.now()
        return b"".join(parts)

    def _detect_close(self) -> None:
        """Notice the engine's close of an idle connection before something is written there.

        What is written would count as possibly executed, and might not be repeated.
        """
        if self.stream is None or not self.queue or any(a.is_written for a in self.attempts.values()):
            return
        for _ in range(MAX_READS_BEFORE_WRITE):
            if not self.stream.read_available() or self.is_closed:
                return

    def receive(self, data: bytes) -> None:
        """Bytes from the engine."""
        if self.is_closing or self.is_closed:
            return
        now = self.last_received_at = self.last_used_at = self.owner.clock.now()
        try:
            while arrays := self.reader.feed(data):
                data, self.partial_since = b"", math.inf
                for words in arrays:
                    self.answer_count += 1
                    self.owner.on_answer(self, words)
            self.silent_since = now if self.attempts else math.inf
            if self.reader.has_partial():
                self.partial_since = min(self.partial_since, now)
        except RespError as error:
            self.owner.on_malformed_answer(f"engine {self.engine}: {error}")
            self.abandon()

    def abandon(self) -> None:
        """Close a connection that is of no further use, and end what was in flight: it may have run."""
        self.is_closing = True
        self.owner.counters.add("engine_connections_given_up")
        self.close()

    def close(self) -> None:
        """Close at once, and end what was in flight."""
        if self.stream is not None:
            self.stream.abort()
        self.on_closed()

    def is_unused(self) -> bool:
        """Whether it is up with nothing in flight."""
        return self.is_up and not self.attempts and not self.health_checks

    def health_check_since(self) -> float:
        """Since when a health check waits without any answer here; infinity where none does."""
        waiting = (
            check.sent_at
            for check in self.health_checks.values()
            if check.answers_before == self.answer_count
        )
        return min(waiting, default=math.inf)

    def on_closed(self) -> None:
        """The connection has ended, or never came up."""
        if not self.is_closed:
            self.is_closed = True
            self.owner.on_connection_closed(self)

    def enqueue(self, item: Attempt | bytes) -> None:
        """Queue something to write."""
        self.queue.append(item)
        if self.is_up and self.stream is not None:
            self.stream.flush()

    def write_now(self, item: bytes) -> None:
        """Write at once what ends an attempt here, before the request's next attempt goes out elsewhere."""
        self.queue.append(item)
        if self.is_up and self.stream is not None:
            self.stream.write_now()
