"""One connection to an engine: a state machine that receives bytes and returns bytes to write."""

from __future__ import annotations

import math
from collections import deque
from typing import Protocol

from cottonhold.backend.attempt import Attempt
from cottonhold.backend.health_check import HealthCheck
from cottonhold.backend.resp import RespError, RespReader
from cottonhold.discovery.model import Address
from cottonhold.observe.counters import Counters
from cottonhold.scheduler.byte_pool import BytePool, Reservation
from cottonhold.transport.clock import Clock
from cottonhold.transport.interface import StreamHandle

# Calls that wait to be written, at which the engine counts as one that does not read.
MAX_QUEUED_ITEMS = 1024
HOLD_CHECK_MS = 5.0  # interval between checks of whether attempts still have to wait
MAX_READS_BEFORE_WRITE = 4  # limit of reads of unsolicited data before a write on an idle connection
# A write ends with the item that reaches this size; a socket's send buffer holds that much.
MAX_WRITE_BYTES = 16 * 1024


class ConnectionOwner(Protocol):
    """Owns the attempts on a connection; implemented by the connection pool."""

    clock: Clock
    counters: Counters
    answer_pool: BytePool  # incomplete answers of all engines

    def has_to_wait(self, attempt: Attempt) -> bool:
        """Return whether an attempt must not be sent yet."""

    def end_unless_sendable(self, attempt: Attempt) -> bool:
        """Return whether an attempt may be sent, and end it if not; called before its first byte."""

    def encode_request(self, attempt: Attempt) -> bytes:
        """Encode the attempt's request."""

    def drop_unsendable(self, connection: Connection) -> None:
        """End attempts queued on a connection if its engine accepts no new ones."""

    def on_answer(self, connection: Connection, elements: list[bytes]) -> None:
        """Process an answer. Raises RespError if it is malformed."""

    def on_connection_closed(self, connection: Connection) -> None:
        """End everything on a connection that has ended or was never established."""

    def on_malformed_answer(self, reason: str) -> None:
        """Report a malformed answer of the engine."""

    def on_unread(self, connection: Connection) -> None:
        """Give up a connection whose engine does not read."""

    def reclaim_answers(self) -> None:
        """Abandon the connection whose answer has been incomplete for longest."""


class Connection:
    """One connection with its attempts and health checks. Times are in ms of the clock."""

    def __init__(self, owner: ConnectionOwner, engine: str, address: Address, now: float) -> None:
        self.owner, self.engine, self.address = owner, engine, address
        self.reader = RespReader()
        self.stream: StreamHandle | None = None
        self.opened_at, self.last_received_at, self.last_used_at = now, now, now
        self.partial_since = math.inf  # when the first byte of an incomplete answer arrived
        self.answer_count = 0
        self.silent_since = math.inf  # since when attempts in flight have had no answer; inf without attempts
        self.is_up = self.is_closed = self.is_closing = False
        self.lacked_local_resources = False  # set if a connect failed for lack of a resource of this machine
        self.queue: deque[Attempt | bytes] = deque()
        self.is_check_scheduled = False  # whether a timer runs for attempts that are held
        self.attempts: dict[bytes, Attempt] = {}
        # Ids of attempts that ended without a result, in this order; they are not reused on this connection.
        self.abandoned_ids: dict[bytes, None] = {}
        self.health_checks: dict[bytes, HealthCheck] = {}
        self.reservation = Reservation(owner.answer_pool)  # of an incomplete answer

    def on_connected(self) -> None:
        """Record that the connection is established."""
        now = self.owner.clock.now()
        self.is_up, self.opened_at, self.last_received_at, self.last_used_at = True, now, now, now
        self.silent_since = now if self.attempts else math.inf
        self.owner.drop_unsendable(self)

    def pop_output(self) -> bytes:
        """Remove and return the bytes to write; attempts that may not be sent any more end here.

        This is the only place with that check. The size of a write is limited because attempts that are
        already part of a write are not checked again while a slow engine reads it.
        """
        self._detect_close()
        if self.is_closed:
            return b""
        parts, size = list[bytes](), 0
        held = list[Attempt]()
        while self.queue and size < MAX_WRITE_BYTES:
            item = self.queue.popleft()
            if isinstance(item, Attempt):
                if self.owner.has_to_wait(item):
                    held.append(item)
                    continue
                if not self.owner.end_unless_sendable(item):
                    continue
                item.is_written = True
                item = self.owner.encode_request(item)
            parts.append(item)
            size += len(item)
        if held:
            self.queue.extendleft(reversed(held))
            self._check_held_later()
        if parts:
            self.last_used_at = self.owner.clock.now()
        return b"".join(parts)

    def _check_held_later(self) -> None:
        """Flush again after HOLD_CHECK_MS, with one timer for all attempts that are held."""
        if not self.is_check_scheduled:
            self.is_check_scheduled = True
            self.owner.clock.call_in(HOLD_CHECK_MS, self._check_held)

    def _check_held(self) -> None:
        self.is_check_scheduled = False
        if not self.is_closed:
            self._flush()

    def _detect_close(self) -> None:
        """Detect that the engine has closed an idle connection, before something is written on it.

        A request written there might have been executed, so it might not be safe to retry.
        """
        if self.stream is None or not self.queue or any(a.is_written for a in self.attempts.values()):
            return
        for _ in range(MAX_READS_BEFORE_WRITE):
            if not self.stream.read_available() or self.is_closed:
                return

    def receive(self, data: bytes) -> None:
        """Process bytes from the engine; malformed data ends the connection."""
        if self.is_closing or self.is_closed:
            return
        now = self.last_received_at = self.last_used_at = self.owner.clock.now()
        try:
            while arrays := self.reader.feed(data):
                data, self.partial_since = b"", math.inf
                for elements in arrays:
                    self.answer_count += 1
                    self.owner.on_answer(self, elements)
            self.silent_since = now if self.attempts else math.inf
            if self.reader.has_partial():
                self.partial_since = min(self.partial_since, now)
            self._account_for_partial()
        except RespError as error:
            self.owner.on_malformed_answer(f"engine {self.engine}: {error}")
            self.abandon()

    def _account_for_partial(self) -> None:
        """Account for an incomplete answer; without memory, abandon what has been incomplete for longest."""
        size = len(self.reader.buffer)
        if not self.reservation.resize(size):
            self.owner.reclaim_answers()
            if not self.is_closed:
                self.reservation.set(size)

    def abandon(self) -> None:
        """Close a connection that has failed; attempts that were written may have run."""
        self.is_closing = True
        self.owner.counters.add("engine_connections_given_up")
        self.close()

    def close(self) -> None:
        """Close immediately and end all attempts and health checks."""
        if self.stream is not None:
            self.stream.abort()
        self.on_closed()

    def is_unused(self) -> bool:
        """Return whether the connection is established without attempts or health checks."""
        return self.is_up and not self.attempts and not self.health_checks

    def health_check_since(self) -> float:
        """Return when the oldest health check without a later answer was sent; infinity if there is none."""
        waiting = (
            check.sent_at
            for check in self.health_checks.values()
            if check.answers_before == self.answer_count
        )
        return min(waiting, default=math.inf)

    def on_closed(self) -> None:
        """Notify the owner, once, that the connection has ended or was never established."""
        if not self.is_closed:
            self.is_closed = True
            self.reservation.release()
            self.owner.on_connection_closed(self)

    def enqueue(self, item: Attempt | bytes) -> None:
        """Queue an attempt or encoded bytes for writing."""
        self.queue.append(item)
        if len(self.queue) > MAX_QUEUED_ITEMS:
            self.owner.on_unread(self)
        else:
            self._flush()

    def _flush(self) -> None:
        if self.is_up and self.stream is not None:
            self.stream.flush()

    def write_now(self, item: bytes) -> None:
        """Write immediately: a cancellation must precede the request's next attempt on another engine."""
        self.queue.append(item)
        if self.is_up and self.stream is not None:
            self.stream.write_now()
