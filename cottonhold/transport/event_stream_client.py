"""Follows the event stream that reports engines, by long polling."""

from __future__ import annotations

import random

from cottonhold.discovery.event_stream import (
    FIRST_BYTE_TIMEOUT_MS,
    MAX_ANSWER_MS,
    MAX_POLLS,
    EventStream,
    PollConnection,
)
from cottonhold.discovery.model import Address
from cottonhold.message_validation import WireError
from cottonhold.transport.clock import Timer
from cottonhold.transport.connector import Connector
from cottonhold.transport.interface import StreamHandle
from cottonhold.transport.io_context import IoContext

INITIAL_BACKOFF_MS, MAX_BACKOFF_MS = 50.0, 1000.0
CONNECT_TIMEOUT_S = MAX_POLLS * FIRST_BYTE_TIMEOUT_MS / 1000  # then the poll is the oldest of so many


class Poller:
    """One connection to the event stream with its polls; reports to its client.

    Attributes:
        overdue_at: When the poll becomes overdue, in ms of the clock; infinite if none is awaited.
    """

    def __init__(self, client: EventStreamClient, connection: PollConnection) -> None:
        self.client, self.connection = client, connection
        self.clock = client.context.clock
        self.stream: StreamHandle | None = None
        self.is_connected = self.is_closing = self.is_ended = self.lacked_local_resources = False
        self.output = b""
        self.offset_before, self.requested_at = 0, self.clock.now()
        self.overdue_at = self.requested_at + FIRST_BYTE_TIMEOUT_MS
        self.max_overdue_at = self.overdue_at

    def on_connected(self) -> None:
        """Send the first poll."""
        self.is_connected = True
        self.send_request()

    def send_request(self) -> None:
        """Send the next poll."""
        if self.is_ended:
            return
        self.requested_at = self.clock.now()
        self.offset_before = self.connection.stream.offset
        self.output = self.connection.request()
        self.overdue_at = self.requested_at + self.connection.first_byte_timeout_ms()
        self.max_overdue_at = self.overdue_at + MAX_ANSWER_MS
        if self.stream is not None:
            self.stream.flush()
        self.client.on_waiting(self)

    def pop_output(self) -> bytes:
        """Remove and return the bytes to write."""
        data, self.output = self.output, b""
        return data

    def receive(self, data: bytes) -> None:
        """Process bytes of an answer, which extend the time until the poll is overdue."""
        if self.is_ended:
            return
        extended_to = self.clock.now() + FIRST_BYTE_TIMEOUT_MS
        self.overdue_at = max(self.overdue_at, min(extended_to, self.max_overdue_at))
        try:
            is_complete = self.connection.receive(data)
        except Exception as error:
            self._end_with(error)
            return
        if is_complete:
            self.client.on_answer(self)

    def on_closed(self) -> None:
        """Process the end of the connection, or a failed connect."""
        if self.is_ended:
            return
        if not self.is_connected:
            self._end_with(ConnectionError("the connect failed"))
            return
        try:
            self.connection.on_connection_closed()
        except Exception as error:
            self._end_with(error)
        else:
            self.client.on_answer(self)

    def _end_with(self, error: Exception) -> None:
        self.end()
        self.client.on_broken(self, error)

    def end(self) -> None:
        """Close the connection; nothing that arrives later is processed."""
        self.is_ended = self.is_closing = True
        if self.stream is not None:
            self.stream.abort()


class EventStreamClient:
    """Keeps a long poll to the event stream open.

    If a poll is overdue, its link may be dead, or the source may be slow. So another connection is polled,
    while the first one remains open; the first answer on any of them ends the others.
    """

    def __init__(self, context: IoContext, connector: Connector) -> None:
        self.context, self.connector = context, connector
        self.pollers: list[Poller] = []  # the newest is the last
        self.event_stream: EventStream | None = None
        self.address: Address | None = None
        self.backoff_ms = INITIAL_BACKOFF_MS
        self.timer: Timer | None = None  # of the newest poller, or of the next connection

    def follow(self, event_stream: EventStream, address: Address) -> None:
        """Poll a source from now on, and stop polling another one immediately.

        The polls of a source that is followed already go on: a slow source would never be heard if each of
        many reloads polled it anew.
        """
        if (event_stream, address) == (self.event_stream, self.address):
            return
        self.stop()
        self.event_stream, self.address = event_stream, address
        self.backoff_ms = INITIAL_BACKOFF_MS
        self._open()

    def is_following(self) -> bool:
        """Return whether a source is polled."""
        return self.event_stream is not None

    def stop(self) -> None:
        """Stop polling; nothing more of the source is applied."""
        self._set_timer(None)
        self._end_all_but(None)
        self.event_stream = self.address = None

    def _open(self) -> None:
        """Poll on a new connection; the oldest one of too many is closed."""
        event_stream, address = self.event_stream, self.address
        if event_stream is None or address is None:
            return
        while len(self.pollers) >= MAX_POLLS:
            self.pollers.pop(0).end()
        poller = Poller(self, PollConnection(event_stream))
        self.pollers.append(poller)
        poller.stream = self.connector.connect(address, poller, CONNECT_TIMEOUT_S, "bus_connect_failed")
        self.on_waiting(poller)

    def on_waiting(self, poller: Poller) -> None:
        """Watch the time until a poll is overdue, if it is the newest."""
        if self.pollers and poller is self.pollers[-1]:
            remaining_ms = poller.overdue_at - self.context.clock.now()
            self._set_timer(self.context.clock.call_in(remaining_ms, lambda: self._on_timer(poller)))

    def _on_timer(self, poller: Poller) -> None:
        if poller.overdue_at > self.context.clock.now():  # bytes were received meanwhile
            self.on_waiting(poller)
            return
        self.context.counters.add("bus_polls_overdue")
        waited_ms = self.context.clock.now() - poller.requested_at
        self.context.log(f"event stream: no answer after {waited_ms:.0f} ms, another connection is polled")
        self._open()

    def on_answer(self, poller: Poller) -> None:
        """End the other polls, and poll again: at once after news, else after a pause."""
        self._end_all_but(poller)
        has_news = poller.connection.stream.offset > poller.offset_before
        if has_news or self.context.clock.now() - poller.requested_at > MAX_BACKOFF_MS:
            self.backoff_ms = INITIAL_BACKOFF_MS
            if poller.connection.is_reusable:
                poller.send_request()
                return
        if poller.connection.is_reusable:
            self._set_timer(self.context.clock.call_in(self._back_off(), poller.send_request))
        else:
            self._end_all_but(None)
            self._open_later()

    def on_broken(self, poller: Poller, error: Exception) -> None:
        """Replace a connection that broke, unless a newer one is polled."""
        is_fault = not isinstance(error, OSError | WireError)
        self.context.counters.add("bus_faults" if is_fault else "bus_broken")
        self.context.log(f"event stream: {type(error).__name__}: {error}")
        was_newest = poller is self.pollers[-1]
        self.pollers.remove(poller)
        if was_newest:
            self._open_later()

    def _open_later(self) -> None:
        self._set_timer(self.context.clock.call_in(self._back_off(), self._open))

    def _back_off(self) -> float:
        """Return the next pause, in ms; each is twice as long. Jitter spreads reconnects of clients."""
        pause_ms = self.backoff_ms
        self.backoff_ms = min(pause_ms * 2, MAX_BACKOFF_MS)
        return pause_ms * (0.5 + 0.5 * random.random())

    def _end_all_but(self, kept: Poller | None) -> None:
        for poller in self.pollers:
            if poller is not kept:
                poller.end()
        self.pollers = [kept] if kept is not None else []

    def _set_timer(self, timer: Timer | None) -> None:
        if self.timer is not None:
            self.timer.cancel()
        self.timer = timer
