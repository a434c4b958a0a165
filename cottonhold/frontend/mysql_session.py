"""A client's session of the MySQL protocol 4.1: a state machine that is fed bytes and knows no socket."""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable
from enum import Enum
from typing import NamedTuple, Protocol

from cottonhold.frontend.mysql_handshake import DATABASE, check_login, decode_login, encode_greeting
from cottonhold.frontend.mysql_packets import (
    COM_INIT_DB,
    COM_PING,
    COM_QUERY,
    COM_QUIT,
    COM_RESET_CONNECTION,
    EOF,
    HEADER_BYTES,
    NO_SUCH_THREAD,
    OK,
    PACKET_TOO_LARGE,
    PACKETS_OUT_OF_ORDER,
    QUERY_FAILED,
    QUERY_INTERRUPTED,
    READ_TIMEOUT,
    REJECTED,
    RESULT_HEAD,
    SERVER_SHUTDOWN,
    UNKNOWN_COMMAND,
    UNKNOWN_DATABASE,
    ErrorCode,
    KillCommand,
    ProtocolError,
    ResultRows,
    decode_kill,
    encode_error,
    encode_packet,
    encode_rows,
    printable,
)
from cottonhold.frontend.query_comment import FieldError, parse
from cottonhold.frontend.query_service import DuplicateRequestIdError, QueryService, ServingState
from cottonhold.observe.counters import Counters
from cottonhold.transport.clock import Clock
from cottonhold.transport.interface import StreamHandle

MAX_PACKET_BYTES = 64 * 1024  # of a client's packet: many clients share the memory
MAX_UNREAD_BYTES = 32 * 1024  # written but not read by the client; above it no command is carried out
MAX_QUEUED_COMMANDS = 16  # on one connection: clients send one at a time
MAX_QUEUED_BYTES = 2 * MAX_PACKET_BYTES
# A client is owed an end within 3 s of connecting, so stalled connections are closed well before that.
LOGIN_TIMEOUT_MS = 2000.0  # from connecting to the first command
PARTIAL_PACKET_TIMEOUT_MS = 1200.0  # from a packet's first byte to its last
IDLE_TIMEOUT_MS = 5000.0  # clients close an idle connection themselves after 4 s
SETTLE_MS = 100.0  # a connection active this recently is not closed as idle: more may be on its way


class Activity(Enum):
    """How far a client without an open request has come; the values are part of counters' names."""

    SILENT = "silent"  # has sent nothing yet
    IDLE = "idle"  # waits between two commands
    HALTED = "halted"  # has stopped within a packet or its login


class Command(NamedTuple):
    """A packet that waits to be carried out."""

    sequence: int
    payload: bytes
    arrived_at: float  # ms of the clock


class SessionRegistry(Protocol):
    """What a session shares with all others."""

    service: QueryService
    clock: Clock
    counters: Counters
    lifecycle: ServingState

    def find(self, connection_id: int) -> Session | None:
        """The session with an id."""

    def on_session_closed(self, session: Session) -> None:
        """A session's connection has ended."""


class Session:
    """One client's connection."""

    def __init__(self, registry: SessionRegistry, connection_id: int) -> None:
        self.registry, self.connection_id = registry, connection_id
        self.stream: StreamHandle | None = None
        self.buffer, self.output = bytearray(), bytearray()
        self.commands: deque[Command] = deque()
        self.is_logged_in = self.is_closing = self.is_closed = False
        self.has_received = self.has_sent_command = False
        self.was_evicted = False
        self.opened_at = self.last_received_at = registry.clock.now()
        self.partial_since = math.inf  # when the first byte of an incomplete packet arrived
        self.sequence = 0  # of the next packet to the client
        self.request: Callable[[], None] | None = None  # the open one: withdraws it
        self._send(encode_greeting(connection_id))
        registry.counters.add("client_connections")

    def receive(self, data: bytes) -> None:
        """Bytes from the client; a request is accepted with its last one."""
        if self.is_closing:
            return
        self.buffer += data
        now = self.last_received_at = self.registry.clock.now()
        self.has_received = True
        try:
            while packet := self._decode_packet(now):
                self.commands.append(packet)
                self.partial_since = math.inf
            if self.buffer:
                self.partial_since = min(self.partial_since, now)
            self._execute_commands()
        except ProtocolError as error:
            self._on_malformed(error)

    def _decode_packet(self, now: float) -> Command | None:
        """The first packet of the buffer; None while it is incomplete. Raises ProtocolError."""
        buffer = self.buffer
        if len(buffer) < HEADER_BYTES:
            return None
        size = int.from_bytes(buffer[:3], "little")
        if size > MAX_PACKET_BYTES:
            self.sequence = (buffer[3] + 1) & 0xFF
            text = f"a packet of {size} bytes; at most {MAX_PACKET_BYTES} are taken"
            raise ProtocolError(PACKET_TOO_LARGE, text)
        queued_bytes = size + sum(len(command.payload) for command in self.commands)
        if len(self.commands) > MAX_QUEUED_COMMANDS or self.commands and queued_bytes > MAX_QUEUED_BYTES:
            raise ProtocolError(PACKETS_OUT_OF_ORDER, "commands are taken one at a time")
        end = HEADER_BYTES + size
        if len(buffer) < end:
            return None
        packet = Command(buffer[3], bytes(buffer[HEADER_BYTES:end]), now)
        del buffer[:end]
        return packet

    def pop_output(self) -> bytes:
        """Take what is to be written now."""
        data = bytes(self.output)
        self.output.clear()
        if self.commands and self.request is None and not self.is_closing:
            self.registry.clock.call_soon(self._resume)
        return data

    def _resume(self) -> None:
        try:
            self._execute_commands()
        except ProtocolError as error:
            self._on_malformed(error)

    def on_closed(self) -> None:
        """The connection has ended."""
        if self.is_closed:
            return
        self.is_closed = self.is_closing = True
        self.registry.on_session_closed(self)
        self._cancel_request()

    def _cancel_request(self) -> bool:
        """Nothing is owed any more for the open request; false if there is none."""
        withdraw, self.request = self.request, None
        if withdraw is not None:
            withdraw()
        return withdraw is not None

    def _execute_commands(self) -> None:
        """Carry out queued commands, one at a time, as far as the client reads the responses."""
        while (
            self.commands
            and self.request is None
            and not self.is_closing
            and len(self.output) < MAX_UNREAD_BYTES
        ):
            sequence, payload, arrived_at = self.commands.popleft()
            self.sequence = (sequence + 1) & 0xFF
            if sequence != (0 if self.is_logged_in else 1):
                raise ProtocolError(PACKETS_OUT_OF_ORDER, "packets out of order")
            if not self.is_logged_in:
                self._log_in(payload)
                continue
            self._execute(payload[0] if payload else -1, payload[1:], arrived_at)

    def _execute(self, command: int, argument: bytes, arrived_at: float) -> None:
        self.has_sent_command = True
        if command == COM_QUERY:
            self._submit_query(argument, arrived_at)
        elif command == COM_PING and not self.registry.lifecycle.is_ready():
            self._send_error(SERVER_SHUTDOWN, "this dispatcher is drained")
            self._after_response()
        elif command in (COM_PING, COM_RESET_CONNECTION):
            self._send(OK)
        elif command == COM_INIT_DB:
            self._select_database(argument)
        elif command == COM_QUIT:
            self._quit()
        else:
            self.registry.counters.add("client_malformed")
            self._send_error(UNKNOWN_COMMAND, "unknown command")

    def _quit(self) -> None:
        """The client ends its session; queries that it sent behind that get an error: they did not run."""
        for sequence, payload, _ in self.commands:
            if payload[:1] == bytes((COM_QUERY,)):
                self.sequence = (sequence + 1) & 0xFF
                self._send_error(REJECTED, "query refused, it did not run: the session has ended")
        self.commands.clear()
        self._close()

    def _submit_query(self, text: bytes, arrived_at: float) -> None:
        if kill := decode_kill(text):
            self._kill(kill)
            return
        lifecycle = self.registry.lifecycle
        try:
            statement = parse(text)
            if not lifecycle.accepts_query(arrived_at, arrived_at + statement.timeout_ms):
                self.registry.counters.add("queries_turned_away")
                phase = lifecycle.phase().value
                self._send_error(REJECTED, f"query refused, it did not run: this dispatcher is {phase}")
                self._after_response()
                return
            self.request = self.registry.service.submit(statement, arrived_at, self)
        except FieldError as error:
            self.registry.counters.add("requests_unusable")
            self._send_error(QUERY_FAILED, str(error))
        except DuplicateRequestIdError:
            self.registry.counters.add("requests_unusable")
            self._send_error(QUERY_FAILED, "field 'ref' is that of a request that is still open")

    def _kill(self, kill: KillCommand) -> None:
        target = self.registry.find(kill.connection_id)
        if target is None:
            self._send_error(NO_SUCH_THREAD, f"unknown thread id: {kill.connection_id}")
            return
        self.registry.counters.add("kills")
        if target is not self:
            target.interrupt()
            if not kill.only_query:
                target._close()
        self._send(OK)

    def interrupt(self) -> None:
        """The client gave its query up: nothing is owed for it, but its session goes on."""
        if self._cancel_request():
            self._send_error(QUERY_INTERRUPTED, "query execution was interrupted")
            self._after_response()

    def _log_in(self, payload: bytes) -> None:
        check_login(decode_login(payload))
        self.is_logged_in = True
        self._send(OK)

    def _select_database(self, name: bytes) -> None:
        if name == DATABASE:
            self._send(OK)
        else:
            self._send_error(UNKNOWN_DATABASE, f"unknown database '{printable(name)}'")

    def idle_since(self, now: float) -> float:
        """Since when nothing is owed here; now while something is."""
        if self.request is not None or self.commands or self.output:
            return now
        if self.stream is None or self.stream.is_writing():
            return now
        return self.last_received_at

    def activity(self) -> Activity:
        """How far the client has come."""
        if self.has_sent_command:
            return Activity.IDLE if self.partial_since == math.inf else Activity.HALTED
        return Activity.HALTED if self.has_received else Activity.SILENT

    def check_timeouts(self, now: float) -> None:
        """Close a connection that only costs a descriptor; the client gets the reason where it can."""
        if self.is_closing:
            return
        if self.registry.lifecycle.closes_all(now):
            self._close_for_shutdown()
        elif self._is_stalled(now):
            self.registry.counters.add(f"clients_late_{self.activity().value}")
            self._close_with_error(ProtocolError(READ_TIMEOUT, "the client's packet did not come in time"))
        elif self._is_idle(now):
            self._close_unless_received()

    def _is_stalled(self, now: float) -> bool:
        """Whether the client takes too long for a packet or its login."""
        if now - self.partial_since > PARTIAL_PACKET_TIMEOUT_MS:
            return True
        return not self.has_sent_command and now - self.opened_at > LOGIN_TIMEOUT_MS

    def _is_idle(self, now: float) -> bool:
        timeout_ms = SETTLE_MS if self.registry.lifecycle.closes_idle(now) else IDLE_TIMEOUT_MS
        return self.partial_since == math.inf and now - self.idle_since(now) > timeout_ms

    def evict(self) -> bool:
        """Close at once, to make room; false where the client has just sent something."""
        if self.stream is not None and self.stream.read_available() or self.is_closed:
            return False
        self.is_closing = self.was_evicted = True
        if self.stream is not None:
            self.stream.abort()
        return True

    def _close_for_shutdown(self) -> None:
        """This process ends: close, unless a request is open, which has its response soon."""
        if self.stream is not None:
            self.stream.read_available()
        if self.request is not None or self.commands or self.is_closing:
            return
        if self.buffer:
            self.registry.counters.add("queries_turned_away")
            self.sequence = (self.buffer[3] + 1) & 0xFF if len(self.buffer) > 3 else 1
            self._send_error(REJECTED, "query refused, it did not run: this dispatcher is leaving")
        self._close()

    def complete(self, rows: ResultRows) -> None:
        """Send the result set."""
        if not self._finish_request():
            return
        for payload in RESULT_HEAD:
            self._send(payload)
        self.output += b"".join(encode_rows(rows, self.sequence))
        self.sequence = (self.sequence + len(rows)) & 0xFF
        self._send(EOF)
        self._after_response()

    def reject(self, retry_after_ms: float) -> None:
        """Send a rejection, with advice on when to retry."""
        if self._finish_request():
            advice = f"; cooldown={math.ceil(retry_after_ms)}" if retry_after_ms > 0 else ""
            self._send_error(REJECTED, f"query refused, it did not run or may be repeated{advice}")
            self._after_response()

    def fail(self, reason: str) -> None:
        """Send a failure."""
        if self._finish_request():
            self._send_error(QUERY_FAILED, reason)
            self._after_response()

    def _finish_request(self) -> bool:
        """The open request is about to get its response; false if there is none."""
        is_open, self.request = self.request is not None, None
        self.last_received_at = self.registry.clock.now()
        return is_open

    def _after_response(self) -> None:
        if self.commands:
            self.registry.clock.call_soon(self._resume)
        elif self.registry.lifecycle.closes_answered(self.registry.clock.now()):
            self._close_unless_received()

    def is_unfinished(self) -> bool:
        """Whether the program may not end yet: something is still to be answered, or to be written."""
        is_writing = self.stream is not None and self.stream.is_writing()
        return not self.is_closing or bool(self.output) or is_writing

    def _close_unless_received(self) -> None:
        """Close, unless a request or a part of one has arrived meanwhile: it is owed a response."""
        has_received = self.stream is not None and self.stream.read_available()
        if not (has_received or self.buffer or self.is_closing):
            self._close()

    def _close(self) -> None:
        self.is_closing = True
        if self.stream is not None:
            self.stream.close_gracefully()

    def _on_malformed(self, error: ProtocolError) -> None:
        self.registry.service.log(f"client {self.connection_id}: {str(error)!r}")
        self._close_with_error(error)

    def _close_with_error(self, error: ProtocolError) -> None:
        """The client broke the protocol: report it where that can be done, and close this connection only."""
        self.registry.counters.add("client_malformed")
        self.commands.clear()
        self._cancel_request()
        self._send_error(error.code, str(error))
        self._close()

    def _send_error(self, code: ErrorCode, text: str) -> None:
        self._send(encode_error(code, text))

    def _send(self, payload: bytes) -> None:
        self.output += encode_packet(payload, self.sequence)
        self.sequence = (self.sequence + 1) & 0xFF
        if self.stream is not None:
            self.stream.flush()
