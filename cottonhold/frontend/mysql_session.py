"""A client's session of the MySQL protocol 4.1: a state machine that receives bytes and does no I/O."""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable

from cottonhold.frontend.client_commands import CommandReader, DiscardedCommand, QueuedCommand
from cottonhold.frontend.mysql_handshake import DATABASE, check_login, decode_login, encode_greeting
from cottonhold.frontend.mysql_packets import (
    COM_INIT_DB,
    COM_PING,
    COM_QUERY,
    COM_QUIT,
    COM_RESET_CONNECTION,
    NO_SUCH_THREAD,
    OK,
    PACKET_TOO_LARGE,
    PACKETS_OUT_OF_ORDER,
    QUERY_FAILED,
    QUERY_INTERRUPTED,
    READ_TIMEOUT,
    REJECTED,
    SERVER_SHUTDOWN,
    UNKNOWN_COMMAND,
    UNKNOWN_DATABASE,
    ErrorCode,
    KillCommand,
    ProtocolError,
    ResultRows,
    decode_kill,
    printable,
)
from cottonhold.frontend.query_comment import FieldError, parse
from cottonhold.frontend.query_service import DuplicateRequestIdError, SentBeforeError
from cottonhold.frontend.response_writer import ResponseWriter
from cottonhold.frontend.session_registry import Activity, SessionRegistry
from cottonhold.scheduler.unread_cancellations import CANCELLATION_LIMIT_MS
from cottonhold.transport.interface import StreamHandle

MAX_UNREAD_BYTES = 32 * 1024  # size of the unread output above which no command is executed
# Slow clients take 2 s to write a request. A client that stalls before its first command must have its
# connection closed within 3 s of connecting, which includes the wait in the listener's queue.
LOGIN_TIMEOUT_MS = 2400.0  # longest time between connecting and the first command
PARTIAL_PACKET_TIMEOUT_MS = 2400.0  # longest time between a packet's first and last byte
IDLE_TIMEOUT_MS = 5000.0  # clients close an idle connection themselves after 4 s
# While the process drains or shuts down, a connection stays open for this long after its last activity, since
# another request may follow.
SETTLE_MS = 100.0


class Session:
    """The protocol state of one client connection."""

    def __init__(self, registry: SessionRegistry, connection_id: int) -> None:
        self.registry, self.connection_id = registry, connection_id
        self.stream: StreamHandle | None = None
        self.input = CommandReader(registry.client_memory, registry.reclaim_client_memory)
        self.writer = ResponseWriter(registry.result_memory)
        self.output = self.writer.output
        self.is_logged_in = self.is_closing = self.is_closed = False
        self.has_received = self.has_sent_command = False
        self.was_evicted = False
        self.closing_since = math.inf  # when the connection began to close
        self.opened_at = self.last_received_at = registry.clock.now()
        self.partial_since = math.inf  # when the first byte of an incomplete packet arrived
        # Set while a response is due: to a request, or to a KILL that another process executes.
        self.withdraw_request: Callable[[], None] | None = None
        self._send(encode_greeting(connection_id))
        registry.counters.add("client_connections")

    @property
    def buffer(self) -> bytearray:
        """The bytes of the packet that has arrived in part."""
        return self.input.buffer

    @property
    def commands(self) -> deque[QueuedCommand]:
        """The commands that wait to be executed."""
        return self.input.commands

    def receive(self, data: bytes) -> None:
        """Process bytes from the client; a request is accepted when its last byte has arrived.

        Its time counts from the arrival of the last byte at this machine. It may be read much later: after a
        wait in the listener's queue, or because this process was stopped.
        """
        if self.is_closing:
            return
        now = self.last_received_at = self.registry.clock.now()
        self.has_received = True
        arrived_at = now - (self.stream.last_data_age_ms() if self.stream is not None else 0.0)
        try:
            if self.input.feed(data, arrived_at):
                self.partial_since = math.inf
            if self.input.has_partial():
                self.partial_since = min(self.partial_since, now)
            self._execute_commands()
        except ProtocolError as error:
            if error.code is PACKET_TOO_LARGE:
                self._begin_response_to_partial_packet()
            self._on_malformed(error)

    def pop_output(self) -> bytes:
        """Remove and return the bytes to write, and schedule the execution of queued commands."""
        data = self.writer.take()
        self.writer.account(self._writing_bytes() + len(data))
        if self.commands and self.withdraw_request is None and not self.is_closing:
            self.registry.clock.call_soon(self._resume)
        return data

    def _resume(self) -> None:
        try:
            self._execute_commands()
        except ProtocolError as error:
            self._on_malformed(error)

    def on_closed(self) -> None:
        """Withdraw the open request and leave the registry; called when the connection has ended."""
        if not self.is_closed:
            self.is_closed = self.is_closing = True
            self.input.clear()
            self.output.clear()
            self.writer.reservation.release()
            self._withdraw_open_request()
        # Until then its descriptor and its memory are in use, and no other client may take its place.
        if self.stream is None or not self.stream.is_open():
            self.registry.on_session_closed(self)

    def _withdraw_open_request(self) -> bool:
        """Withdraw the open request, which gets no response; return false if there is none."""
        withdraw, self.withdraw_request = self.withdraw_request, None
        self.input.hold_statement(0)
        if withdraw is not None:
            withdraw()
        return withdraw is not None

    def _execute_commands(self) -> None:
        """Execute queued commands, one at a time, while the client reads the responses."""
        while (
            self.commands
            and self.withdraw_request is None
            and not self.is_closing
            and self.unread_bytes() < MAX_UNREAD_BYTES
        ):
            command = self.input.pop()
            sequence, payload, arrived_at = command
            self.writer.follow(sequence)
            if sequence != (0 if self.is_logged_in else 1):
                raise ProtocolError(PACKETS_OUT_OF_ORDER, "packets out of order")
            if not self.is_logged_in:
                self._log_in(payload)
                continue
            if isinstance(command, DiscardedCommand):
                self._reject_for_memory()
                continue
            self._execute(payload[0] if payload else -1, payload[1:], arrived_at)
        self.input.account()

    def _reject_for_memory(self) -> None:
        """Reject a command whose packet was discarded because it exceeded its client's share of memory."""
        self.has_sent_command = True
        self.registry.counters.add("queries_over_memory")
        self.registry.service.log(f"client {self.connection_id}: a command exceeds its share of the memory")
        self._send_error(REJECTED, "query refused, it did not run: there is no memory for it now")
        self._after_response()

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
        """End the session; queries that the client sent after COM_QUIT are rejected, not executed."""
        for sequence, payload, _ in self.commands:
            if payload[:1] == bytes((COM_QUERY,)):
                self.writer.follow(sequence)
                self._send_error(REJECTED, "query refused, it did not run: the session has ended")
        self.commands.clear()
        self._close()

    def _submit_query(self, text: bytes, arrived_at: float) -> None:
        if kill := decode_kill(text):
            self._note_kill_age(arrived_at)
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
            self.withdraw_request = self.registry.service.submit(statement, arrived_at, self)
            self.input.hold_statement(len(statement.body))
        except FieldError as error:
            self.registry.counters.add("requests_unusable")
            self._send_error(QUERY_FAILED, str(error))
        except DuplicateRequestIdError:
            self.registry.counters.add("requests_unusable")
            self._send_error(QUERY_FAILED, "field 'ref' is that of a request that is still open")
        except SentBeforeError:
            self.registry.counters.add("requests_unusable")
            self._send_error(QUERY_FAILED, "field 'ref' is that of a request that was sent; it may have run")

    def _note_kill_age(self, arrived_at: float) -> None:
        age_ms = self.registry.clock.now() - arrived_at
        if age_ms > CANCELLATION_LIMIT_MS:
            self.registry.counters.add("kills_read_late")
            self.registry.service.log(f"client {self.connection_id}: its KILL was read after {age_ms:.0f} ms")

    def _kill(self, kill: KillCommand) -> None:
        target = self.registry.find(kill.connection_id)
        if target is None:
            self._forward_kill(kill)
            return
        self.registry.counters.add("kills")
        if target is not self:
            target.on_killed(kill.only_query)
        self._send(OK)

    def _forward_kill(self, kill: KillCommand) -> None:
        """Let the process that assigned the id execute KILL; until its result, no command is executed.

        Otherwise a client that was told of the success could send its next query to the session before KILL
        takes effect there, and that query would be interrupted.
        """

        def withdraw() -> None:
            """Do nothing: KILL is executed even if its client disconnects."""

        def on_result(is_known: bool) -> None:
            if self.withdraw_request is withdraw and self._finish_request():
                self._send_kill_result(kill, is_known)
                self._after_response()

        if self.registry.forward_kill(kill.connection_id, kill.only_query, on_result):
            self.withdraw_request = withdraw
        else:
            self._send_kill_result(kill, False)

    def _send_kill_result(self, kill: KillCommand, is_known: bool) -> None:
        if is_known:
            self._send(OK)
        else:
            self._send_error(NO_SUCH_THREAD, f"unknown thread id: {kill.connection_id}")

    def on_killed(self, only_query: bool) -> None:
        """Interrupt the open query, and unless `only_query` close the connection: another session's KILL."""
        self.interrupt()
        if not only_query:
            self._close()

    def interrupt(self) -> None:
        """Interrupt the open query, if any, and report that to the client; the session continues."""
        if self._withdraw_open_request():
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
        """Return when the client last sent something, or `now` while a response is due or being written."""
        if self.withdraw_request is not None or self.commands or self.output:
            return now
        if self.stream is None or self.stream.is_writing():
            return now
        return self.last_received_at

    def activity(self) -> Activity:
        """Return the state of a client without an open request."""
        if self.is_closing:
            return Activity.ENDING
        if self.has_sent_command:
            return Activity.IDLE if self.partial_since == math.inf else Activity.HALTED
        return Activity.HALTED if self.has_received else Activity.SILENT

    def check_timeouts(self, now: float) -> None:
        """Close the connection if it stalled, was idle for too long, or the process shuts down."""
        if self.is_closing:
            return
        if self.registry.lifecycle.closes_all(now):
            self._close_for_shutdown()
        elif self._is_stalled(now):
            activity = self.activity().value
            self.registry.counters.add(f"clients_late_{activity}")
            held = self.input.held_bytes()
            self.registry.service.log(f"client {self.connection_id}: {activity} too long, {held} bytes held")
            self._begin_response_to_partial_packet()
            self._close_with_error(ProtocolError(READ_TIMEOUT, "the client's packet did not come in time"))
        elif self._is_idle(now):
            self._close_unless_received()

    def _is_stalled(self, now: float) -> bool:
        """Return whether the client has exceeded the time for sending a packet or for logging in.

        A packet that stalls behind a request must not end that request, which is answered first.
        """
        if self.withdraw_request is not None or self.commands:
            return False
        if now - self.partial_since > PARTIAL_PACKET_TIMEOUT_MS:
            return True
        return not self.has_sent_command and now - self.opened_at > LOGIN_TIMEOUT_MS

    def _is_idle(self, now: float) -> bool:
        timeout_ms = SETTLE_MS if self.registry.lifecycle.closes_idle(now) else IDLE_TIMEOUT_MS
        return self.partial_since == math.inf and now - self.idle_since(now) > timeout_ms

    def evict(self) -> bool:
        """Close now to release the descriptor; return false if data has just arrived or it is closed."""
        if self.stream is not None and self.stream.read_available() or self.is_closed:
            return False
        self.is_closing = self.was_evicted = True
        if self.stream is not None:
            self.stream.abort()
        return True

    def unread_for_ms(self) -> float:
        """Return for how long the client has not read all output that is being written, in ms."""
        return self.stream.write_age_ms() if self.stream is not None else 0.0

    def drop_unread(self) -> bool:
        """Close the connection with its unread output; return false if a request is open."""
        if self.withdraw_request is not None or self.is_closed or self.stream is None:
            return False
        self.is_closing = True
        self.registry.service.log(f"client {self.connection_id}: {self.unread_bytes()} bytes not read")
        self.stream.abort()
        self.writer.reservation.release()
        return True

    def _close_for_shutdown(self) -> None:
        """Close because this process ends, unless a request is open or queued, which is answered first."""
        if self.stream is not None:
            self.stream.read_available()
        if self.withdraw_request is not None or self.commands or self.is_closing:
            return
        if self.input.has_partial():
            self.registry.counters.add("queries_turned_away")
            self._begin_response_to_partial_packet()
            self._send_error(REJECTED, "query refused, it did not run: this dispatcher is leaving")
        self._close()

    def _begin_response_to_partial_packet(self) -> None:
        """Let the next response follow the packet that has arrived in part, if there is one.

        Clients check the sequence numbers, and can't read a response that continues an earlier one.
        """
        sequence = self.input.partial_sequence()
        if sequence is not None:
            self.writer.follow(sequence)
        elif self.buffer or self.is_logged_in:
            self.writer.follow(0 if self.is_logged_in else 1)  # the numbers of a command and of the login

    def complete(self, rows: ResultRows) -> None:
        """Send the result set."""
        if not self._finish_request():
            return
        self.writer.send_result(rows)
        self._flush()
        self.registry.on_result_buffered()
        self._after_response()

    def reject(self, retry_after_ms: float) -> None:
        """Send a rejection; a positive `retry_after_ms` is included as advice on when to retry."""
        if self._finish_request():
            advice = f"; cooldown={math.ceil(retry_after_ms)}" if retry_after_ms > 0 else ""
            self._send_error(REJECTED, f"query refused, it did not run or may be repeated{advice}")
            self._after_response()

    def fail(self, reason: str) -> None:
        """Send an error whose text is `reason`."""
        if self._finish_request():
            self._send_error(QUERY_FAILED, reason)
            self._after_response()

    def has_left(self) -> bool:
        """Return whether the client has closed its connection, even if that was not read yet.

        A process that was stopped, or that reads a long queue, finds the end of a connection only behind the
        requests that precede it.
        """
        return self.is_closed or self.stream is not None and self.stream.has_peer_closed()

    def _finish_request(self) -> bool:
        """Mark the open request as finished before its response is sent; return false if there is none."""
        is_open, self.withdraw_request = self.withdraw_request is not None, None
        self.input.hold_statement(0)
        self.last_received_at = self.registry.clock.now()
        return is_open

    def _after_response(self) -> None:
        if self.commands:
            self.registry.clock.call_soon(self._resume)
        elif self.registry.lifecycle.closes_answered(self.registry.clock.now()):
            self._close_unless_received()

    def is_unfinished(self) -> bool:
        """Return whether the session is not closing yet, or still has output to write."""
        is_writing = self.stream is not None and self.stream.is_writing()
        return not self.is_closing or bool(self.output) or is_writing

    def _close_unless_received(self) -> None:
        """Close, unless all or part of another request has arrived, which has to be answered."""
        has_received = self.stream is not None and self.stream.read_available()
        if not (has_received or self.input.has_partial() or self.is_closing):
            self._close()

    def has_ended(self) -> bool:
        """Return whether all responses were written, and only the client's close is awaited."""
        return self.is_closing and not self.is_closed and not self.was_evicted and not self.unread_bytes()

    def _close(self) -> None:
        self.is_closing = True
        self.closing_since = self.registry.clock.now()
        if self.stream is not None:
            self.stream.close_gracefully()

    def _on_malformed(self, error: ProtocolError) -> None:
        self.registry.service.log(f"client {self.connection_id}: {str(error)!r}")
        self._close_with_error(error)

    def _close_with_error(self, error: ProtocolError) -> None:
        """Send the error to the client and close this connection; other connections are not affected."""
        self.registry.counters.add("client_malformed")
        self.commands.clear()
        self._withdraw_open_request()
        self._send_error(error.code, str(error))
        self._close()

    def _send_error(self, code: ErrorCode, text: str) -> None:
        self.writer.send_error(code, text)
        self._flush()

    def _send(self, payload: bytes) -> None:
        self.writer.send(payload)
        self._flush()

    def _flush(self) -> None:
        self.writer.account(self._writing_bytes())
        if self.stream is not None:
            self.stream.flush()

    def _writing_bytes(self) -> int:
        return self.stream.writing_bytes() if self.stream is not None else 0

    def unread_bytes(self) -> int:
        """Return the size of the output that the client has not read, as far as it is held here."""
        return len(self.output) + self._writing_bytes()
