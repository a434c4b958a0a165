"""The MySQL client protocol 4.1 as a state machine that is fed bytes and knows no socket."""

from __future__ import annotations

import heapq
import math
import re
from collections import deque
from typing import Protocol

from cottonhold.backend.resp import Rows
from cottonhold.frontend.query_comment import FieldError, Statement, parse
from cottonhold.node.clock import Clock
from cottonhold.node.gateway import ClientRequest, DuplicateRequestIdError, Gateway, OpenRequest
from cottonhold.node.lifecycle import Lifecycle
from cottonhold.node.sibling_processes import ConnectionIdRange
from cottonhold.observe.counters import Counters
from cottonhold.scheduler.settings import QueryClass

VERSION = b"8.0.0-cottonhold"
USER, DATABASE = b"app", b"dw"
LONG_PASSWORD, LONG_FLAG, CONNECT_WITH_DB, PROTOCOL_41 = 0x1, 0x4, 0x8, 0x200
TRANSACTIONS, SECURE_CONNECTION, PLUGIN_AUTH, LENENC_AUTH = 0x2000, 0x8000, 0x80000, 0x200000
CAPABILITIES = (
    LONG_PASSWORD | LONG_FLAG | CONNECT_WITH_DB | PROTOCOL_41 | TRANSACTIONS | SECURE_CONNECTION | PLUGIN_AUTH
)
AUTOCOMMIT = b"\x02\x00"
UTF8 = 33
QUIT, INIT_DB, QUERY, PING, RESET = 0x01, 0x02, 0x03, 0x0E, 0x1F
MOST_PACKET = 64 * 1024  # of a client's packet: statements are short, and many clients share the memory
MOST_BACKLOG = 32 * 1024  # bytes written but not read by the client, from which on it is served no further
# A client is owed an end within 3 s of connecting, so what goes nowhere is closed well before that.
LOGIN_MS = 2000.0  # a connection without a login and a first command is closed after this
PARTIAL_MS = 1200.0  # and so is one whose packet began but does not end
IDLE_MS = 5000.0  # clients close an idle connection after 4 s; one that is held for good is closed here
CHECK_MS = 200.0
SPARE_MS = 50.0  # where descriptors run short, one that has said nothing for so long makes room
HALTED_MS = 400.0  # and one that stopped in mid-packet for so long: slow ones still send now and then
ROOM_PART = 8  # this part of all places is kept free for those that come, and made free at once
MOST_COMMANDS = 16  # that wait on one connection: clients send one at a time
MOST_WAITING = 2 * MOST_PACKET  # bytes of them
SETTLE_MS = 100.0  # a connection that was heard so lately is not closed as idle: more may be on its way
PUSHED_OUT = ("silent", "idle", "halted")  # in this order
ANY_IDS = ConnectionIdRange()
COLUMNS = (b"c1", b"c2", b"c3")
# Danger: blanks that could belong to either of two parts took 7 s of the loop, and int() takes 4,300 digits.
KILL = re.compile(rb"\s*KILL\s+(QUERY\s+|CONNECTION\s+)?(\d{1,20})\s*(?:;\s*)?\Z", re.IGNORECASE)

Error = tuple[int, bytes]
BAD_HANDSHAKE: Error = (1043, b"08S01")
DENIED: Error = (1045, b"28000")
UNKNOWN_DB: Error = (1049, b"42000")
UNKNOWN_COMMAND: Error = (1047, b"08S01")
SHUTDOWN: Error = (1053, b"08S01")
NO_THREAD: Error = (1094, b"HY000")
FAILED: Error = (1105, b"HY000")
TOO_LARGE: Error = (1153, b"08S01")
OUT_OF_ORDER: Error = (1156, b"08S01")
TIMED_OUT: Error = (1159, b"08S01")
REFUSED: Error = (1226, b"42000")
INTERRUPTED: Error = (1317, b"70100")


class ProtocolError(Exception):
    """The client broke the protocol: it is told so, then its connection is closed."""

    def __init__(self, error: Error, text: str) -> None:
        super().__init__(text)
        self.error = error


class StreamHandle(Protocol):
    """The driver's side of a connection."""

    def flush(self) -> None:
        """There is something to write."""

    def read_available(self) -> bool:
        """Read what has come already; whether there was something."""

    def close_gracefully(self) -> None:
        """Write what is left, then end the connection."""

    def is_writing(self) -> bool:
        """Whether something is being written."""

    def abort(self) -> None:
        """Close at once."""


def lenenc(text: bytes) -> bytes:
    """A length-encoded string."""
    size = len(text)
    if size < 251:
        return bytes((size,)) + text
    if size < 1 << 16:
        return b"\xfc" + size.to_bytes(2, "little") + text
    return b"\xfd" + size.to_bytes(3, "little") + text


def column(name: bytes) -> bytes:
    """The definition of a text column."""
    head = b"".join(lenenc(part) for part in (b"def", b"", b"", b"", name, b""))
    return head + b"\x0c" + UTF8.to_bytes(2, "little") + b"\xff\xff\xff\x00\xfd\x00\x00\x1f\x00\x00"


EOF = b"\xfe\x00\x00" + AUTOCOMMIT
OK = b"\x00\x00\x00" + AUTOCOMMIT + b"\x00\x00"
SIZES = [bytes((size,)) for size in range(251)]
HEADERS = [size.to_bytes(3, "little") for size in range(251)]
NUMBERS = [bytes((number,)) for number in range(256)]
HEAD = [bytes((len(COLUMNS),)), *[column(name) for name in COLUMNS], EOF]


class ClientSessions:
    """What all sessions share: the gateway, the classes' names, and the sessions by connection id."""

    def __init__(
        self,
        gateway: Gateway,
        clock: Clock,
        counters: Counters,
        lifecycle: Lifecycle,
        most: int,
        ids: ConnectionIdRange = ANY_IDS,
    ) -> None:
        self.gateway, self.clock, self.counters, self.lifecycle = gateway, clock, counters, lifecycle
        self.max_sessions, self.connection_ids = most, ids
        self.sessions: dict[int, Session] = {}
        self.last_id = ids.base
        self.evicted_count = 0  # sessions pushed out, whose descriptors are not free yet
        clock.call_in(CHECK_MS, self._check)

    def _check(self) -> None:
        """A timer for each connection would cost more than this."""
        self.clock.call_in(CHECK_MS, self._check)
        self.check_timeouts()

    def check_timeouts(self) -> None:
        """Close what goes nowhere."""
        now = self.clock.now()
        for session in list(self.sessions.values()):
            try:
                session.check_timeouts(now)
            except Exception as error:
                # Danger: after a fault at one session none was ever looked at again.
                self.counters.add("check_faults")
                self.gateway.say(f"client: {type(error).__name__}: {error}")
                session.evict()

    def has_unfinished(self) -> bool:
        """Whether the program may not end yet: someone has no answer, or may still ask."""
        return any(session.is_unfinished() for session in self.sessions.values())

    def has_capacity(self) -> bool:
        """Whether a further client may be taken in; near the limit, makes room for the next ones."""
        step = max(self.max_sessions // ROOM_PART, 1)
        if len(self.sessions) - self.evicted_count > self.max_sessions - step:
            self._make_room(step)
        return len(self.sessions) < self.max_sessions

    def _make_room(self, count: int) -> None:
        # Danger: connections that say nothing, by the hundred, and idle ones that are never closed took every
        # descriptor. Then usual clients waited in the system's queue, and engines could not be connected to.
        # Those go first that have sent nothing, then idle ones, then those that stopped in mid-packet; who is
        # owed something never does.
        now, spare = self.clock.now(), []
        for session in self.sessions.values():
            at, standing = session.idle_since(now), session.activity()
            if not session.is_closing and at < now - (HALTED_MS if standing == "halted" else SPARE_MS):
                spare.append((PUSHED_OUT.index(standing), at, session.connection_id, session))
        for *_, session in heapq.nsmallest(count, spare):
            standing = session.activity()
            if session.evict():
                self.counters.add(f"clients_pushed_out_{standing}")
                self.evicted_count += 1

    def open(self) -> Session:
        """A session for a new connection."""
        base, span = self.connection_ids.base, self.connection_ids.count
        self.last_id = base + (self.last_id - base) % span + 1
        while self.last_id in self.sessions:
            self.last_id = base + (self.last_id - base) % span + 1
        session = self.sessions[self.last_id] = Session(self, self.last_id)
        return session

    def client_request(self, statement: Statement, at: float) -> ClientRequest:
        """A statement as a request; FieldError names what can't be used."""
        kind = self.gateway.class_indexes.get(statement.class_name)
        if kind is None:
            raise FieldError(f"field 'service' names no class: '{statement.class_name[:40]}'")
        cls: QueryClass = self.gateway.settings.classes[kind]
        return ClientRequest(
            statement.request_id,
            kind,
            cls.name,
            at,
            statement.timeout_ms,
            statement.estimated_work_ms,
            statement.estimated_memory_mb,
            statement.table_group,
            statement.ordering_key if cls.is_ordered_by_key else None,
            statement.is_retry,
            statement.body,
            self._tenant(statement),
            statement.idempotency_key,
        )

    def _tenant(self, statement: Statement) -> int:
        """The tenant's place in the settings; the first where the client names none or there are none."""
        tenants = self.gateway.tenant_indexes
        if statement.tenant is None or not tenants:
            return 0
        if statement.tenant not in tenants:
            raise FieldError(f"field 'project' names no tenant: '{statement.tenant[:40]}'")
        return tenants[statement.tenant]


class Session:
    """One client's connection."""

    def __init__(self, front: ClientSessions, number: int) -> None:
        self.sessions, self.connection_id = front, number
        self.stream: StreamHandle | None = None
        self.buffer, self.output = bytearray(), bytearray()
        self.commands: deque[tuple[int, bytes, float]] = deque()
        self.is_logged_in = self.is_closing = self.is_closed = False
        self.has_received = self.has_sent_command = False  # a byte has come; a command has
        self.was_evicted = False
        self.opened_at = self.last_received_at = front.clock.now()
        self.partial_since = math.inf  # since when a packet is there in part
        self.sequence = 0
        self.request: OpenRequest | None = None
        self._packet(self._greeting())
        front.counters.add("client_connections")

    # --- bytes ---

    def receive(self, data: bytes) -> None:
        """Bytes from the client; a request is taken with its last one."""
        if self.is_closing:
            return
        self.buffer += data
        now = self.last_received_at = self.sessions.clock.now()
        self.has_received = True
        try:
            while packet := self._read_packet():
                self.commands.append((*packet, now))
                self.partial_since = math.inf
            if self.buffer:
                self.partial_since = min(self.partial_since, now)
            self._advance()
        except ProtocolError as error:
            self._malformed(error)

    def _read_packet(self) -> tuple[int, bytes] | None:
        buffer = self.buffer
        if len(buffer) < 4:
            return None
        size = int.from_bytes(buffer[:3], "little")
        if size > MOST_PACKET:
            self.sequence = (buffer[3] + 1) & 0xFF
            raise ProtocolError(TOO_LARGE, f"a packet of {size} bytes; at most {MOST_PACKET} are taken")
        # Danger: only counted, 16 of the longest packets on each connection came to more than the memory.
        waiting = size + sum(len(payload) for _, payload, _ in self.commands)
        if len(self.commands) > MOST_COMMANDS or self.commands and waiting > MOST_WAITING:
            raise ProtocolError(OUT_OF_ORDER, "commands are taken one at a time")
        if len(buffer) < 4 + size:
            return None
        sequence, payload = buffer[3], bytes(buffer[4 : 4 + size])
        del buffer[: 4 + size]
        return sequence, payload

    def take_output(self) -> bytes:
        """What is to be written now."""
        data = bytes(self.output)
        self.output.clear()
        if self.commands and self.request is None and not self.is_closing:
            self.sessions.clock.call_soon(self._resume)
        return data

    def _resume(self) -> None:
        try:
            self._advance()
        except ProtocolError as error:
            self._malformed(error)

    def on_closed(self) -> None:
        """The connection has ended."""
        if self.is_closed:
            return
        self.is_closed = self.is_closing = True
        self.sessions.sessions.pop(self.connection_id, None)
        self.sessions.evicted_count -= self.was_evicted
        self._give_up()

    def _give_up(self) -> bool:
        """Nothing is owed any more for the open request; false if there is none."""
        request, self.request = self.request, None
        if request is not None:
            self.sessions.gateway.on_client_disconnected(request)
        return request is not None

    # --- commands ---

    def _advance(self) -> None:
        """Carry out the commands that have come, one at a time, as far as the client reads the answers."""
        while (
            self.commands and self.request is None and not self.is_closing and len(self.output) < MOST_BACKLOG
        ):
            sequence, payload, at = self.commands.popleft()
            self.sequence = (sequence + 1) & 0xFF
            if sequence != (0 if self.is_logged_in else 1):
                raise ProtocolError(OUT_OF_ORDER, "packets out of order")
            if not self.is_logged_in:
                self._login(payload)
                continue
            self._command(payload[0] if payload else -1, payload[1:], at)

    def _command(self, command: int, argument: bytes, at: float) -> None:
        self.has_sent_command = True
        if command == QUERY:
            self._query(argument, at)
        elif command == PING and not self.sessions.lifecycle.is_ready():
            self._error(SHUTDOWN, "this dispatcher is drained")
            self._after_answer()
        elif command in (PING, RESET):
            self._packet(OK)
        elif command == INIT_DB:
            self._database(argument)
        elif command == QUIT:
            self._quit()
        else:
            self.sessions.counters.add("client_malformed")
            self._error(UNKNOWN_COMMAND, "unknown command")

    def _quit(self) -> None:
        """The client ends its session; a query that it sent behind that is told that it did not run."""
        for sequence, payload, _ in self.commands:
            if payload[:1] == bytes((QUERY,)):
                self.sequence = (sequence + 1) & 0xFF
                self._error(REFUSED, "query refused, it did not run: the session has ended")
        self.commands.clear()
        self._leave()

    def _query(self, text: bytes, at: float) -> None:
        if kill := KILL.match(text):
            self._kill(int(kill[2]), (kill[1] or b"").strip().upper() == b"QUERY")
            return
        try:
            statement = parse(text)
            if not self.sessions.lifecycle.accepts_query(at, at + statement.timeout_ms):
                self.sessions.counters.add("queries_turned_away")
                phase = self.sessions.lifecycle.phase().value
                self._error(REFUSED, f"query refused, it did not run: this dispatcher is {phase}")
                self._after_answer()
                return
            self.request = self.sessions.gateway.accept(self.sessions.client_request(statement, at), self)
        except FieldError as error:
            self.sessions.counters.add("requests_unusable")
            self._error(FAILED, str(error))
        except DuplicateRequestIdError:
            self.sessions.counters.add("requests_unusable")
            self._error(FAILED, "field 'ref' is that of a request that is still open")

    def _kill(self, number: int, only_query: bool) -> None:
        target = self.sessions.sessions.get(number)
        if target is None:
            self._error(NO_THREAD, f"unknown thread id: {number}")
            return
        self.sessions.counters.add("kills")
        if target is not self:
            target.interrupt()
            if not only_query:
                target._leave()
        self._packet(OK)

    def interrupt(self) -> None:
        """The client gave its query up: nothing is owed for it, but its session goes on."""
        if self._give_up():
            self._error(INTERRUPTED, "query execution was interrupted")
            self._after_answer()

    # --- login ---

    def _greeting(self) -> bytes:
        salt = b"cottonhold-salt-0123"  # there is no password that it could protect
        low, high = CAPABILITIES & 0xFFFF, CAPABILITIES >> 16
        return b"".join(
            (
                b"\x0a" + VERSION + b"\x00",
                self.connection_id.to_bytes(4, "little"),
                salt[:8] + b"\x00",
                low.to_bytes(2, "little"),
                bytes((UTF8,)) + AUTOCOMMIT,
                high.to_bytes(2, "little"),
                bytes((len(salt) + 1,)) + bytes(10),
                salt[8:] + b"\x00",
                b"mysql_native_password\x00",
            )
        )

    def _login(self, payload: bytes) -> None:
        user, secret, database = read_login(payload)
        if user != USER or secret:
            raise ProtocolError(DENIED, f"access denied for user '{user.decode('utf-8', 'replace')[:40]}'")
        if database not in (b"", DATABASE):
            raise ProtocolError(UNKNOWN_DB, f"unknown database '{database.decode('utf-8', 'replace')[:40]}'")
        self.is_logged_in = True
        self._packet(OK)

    def _database(self, name: bytes) -> None:
        if name == DATABASE:
            self._packet(OK)
        else:
            self._error(UNKNOWN_DB, f"unknown database '{name.decode('utf-8', 'replace')[:40]}'")

    # --- what goes nowhere ---

    def idle_since(self, now: float) -> float:
        """Since when nothing is owed here; now while something is."""
        if (
            self.request is not None
            or self.commands
            or self.output
            or self.stream is None
            or self.stream.is_writing()
        ):
            return now
        return self.last_received_at

    def check_timeouts(self, now: float) -> None:
        """Close a connection that only costs a descriptor; the client hears why where it can."""
        if self.is_closing:
            return
        if self.sessions.lifecycle.closes_all(now):
            self._end()
        elif (
            now - self.partial_since > PARTIAL_MS
            or not self.has_sent_command
            and now - self.opened_at > LOGIN_MS
        ):
            # Danger: such a client was kept for as long as it liked, in mid-packet for good.
            self.sessions.counters.add(f"clients_late_{self.activity()}")
            self._broken(ProtocolError(TIMED_OUT, "the client's packet did not come in time"))
        elif self.partial_since == math.inf and now - self.idle_since(now) > (
            SETTLE_MS if self.sessions.lifecycle.closes_idle(now) else IDLE_MS
        ):
            self._leave_unheard()

    def activity(self) -> str:
        """How far the client has come, in a word for the counters."""
        if self.has_sent_command:
            return "idle" if self.partial_since == math.inf else "halted"
        return "halted" if self.has_received else "silent"

    def evict(self) -> bool:
        """Close at once, to make room; false where something has come from the client just now."""
        if self.stream is not None and self.stream.read_available() or self.is_closed:
            return False
        self.is_closing = self.was_evicted = True
        if self.stream is not None:
            self.stream.abort()
        return True

    def _end(self) -> None:
        """This process ends: close, unless a request is open, which has its answer soon."""
        if self.stream is not None:
            self.stream.read_available()
        if self.request is not None or self.commands or self.is_closing:
            return
        if self.buffer:
            self.sessions.counters.add("queries_turned_away")
            self.sequence = (self.buffer[3] + 1) & 0xFF if len(self.buffer) > 3 else 1
            self._error(REFUSED, "query refused, it did not run: this dispatcher is leaving")
        self._leave()

    # --- answers (gateway.Client) ---

    def complete(self, rows: Rows) -> None:
        """The result set."""
        if not self._owed():
            return
        for payload in HEAD:
            self._packet(payload)
        self.output += b"".join(encode_rows(rows, self.sequence))
        self.sequence = (self.sequence + len(rows)) & 0xFF
        self._packet(EOF)
        self._after_answer()

    def reject(self, retry_after: float) -> None:
        """Turned away, with advice on when to come back."""
        if self._owed():
            advice = f"; cooldown={math.ceil(retry_after)}" if retry_after > 0 else ""
            self._error(REFUSED, f"query refused, it did not run or may be repeated{advice}")
            self._after_answer()

    def fail(self, why: str) -> None:
        """Failed."""
        if self._owed():
            self._error(FAILED, why)
            self._after_answer()

    def _owed(self) -> bool:
        owed, self.request = self.request is not None, None
        self.last_received_at = self.sessions.clock.now()
        return owed

    def _after_answer(self) -> None:
        if self.commands:
            self.sessions.clock.call_soon(self._resume)
        elif self.sessions.lifecycle.closes_answered(self.sessions.clock.now()):
            self._leave_unheard()

    def is_unfinished(self) -> bool:
        """Whether the program may not end yet: something is still to be answered, or to be written."""
        writing = self.stream is not None and self.stream.is_writing()
        return not self.is_closing or bool(self.output) or writing

    def _leave_unheard(self) -> None:
        """Close, unless something has come meanwhile.

        Danger: a request that lay unread, or half of one, was dropped, and its client got no answer.
        """
        heard = self.stream is not None and self.stream.read_available()
        if not (heard or self.buffer or self.is_closing):
            self._leave()

    def _leave(self) -> None:
        self.is_closing = True
        if self.stream is not None:
            self.stream.close_gracefully()

    def _malformed(self, error: ProtocolError) -> None:
        self.sessions.gateway.say(f"client {self.connection_id}: {str(error)!r}")
        self._broken(error)

    def _broken(self, error: ProtocolError) -> None:
        """The client broke the protocol: tell it where that can be done, and close this connection only."""
        self.sessions.counters.add("client_malformed")
        self.commands.clear()
        self._give_up()
        self._error(error.error, str(error))
        self._leave()

    def _error(self, error: Error, text: str) -> None:
        number, state = error
        self._packet(b"\xff" + number.to_bytes(2, "little") + b"#" + state + text.encode()[:500])

    def _packet(self, payload: bytes) -> None:
        self.output += len(payload).to_bytes(3, "little") + bytes((self.sequence,)) + payload
        self.sequence = (self.sequence + 1) & 0xFF
        self._flush()

    def _flush(self) -> None:
        if self.stream is not None:
            self.stream.flush()


def read_login(payload: bytes) -> tuple[bytes, bytes, bytes]:
    """User, secret and database of a login packet."""
    capabilities = int.from_bytes(payload[:4], "little")
    if len(payload) < 33 or not capabilities & PROTOCOL_41:
        raise ProtocolError(BAD_HANDSHAKE, "bad handshake")
    user, mark, rest = payload[32:].partition(b"\x00")
    if not mark:
        raise ProtocolError(BAD_HANDSHAKE, "bad handshake")
    if capabilities & (LENENC_AUTH | SECURE_CONNECTION):
        size = rest[0] if rest else 0
        if size > 250 or len(rest) < 1 + size:
            raise ProtocolError(BAD_HANDSHAKE, "bad handshake")
        secret, rest = rest[1 : 1 + size], rest[1 + size :]
    else:
        secret, _, rest = rest.partition(b"\x00")
    database = rest.partition(b"\x00")[0] if capabilities & CONNECT_WITH_DB else b""
    return user, secret.strip(b"\x00"), database


def encode_rows(rows: Rows, sequence: int) -> list[bytes]:
    """The rows of a result as packets, in pieces.

    Danger: one call a cell took a third of the CPU of a whole request, so nearly all rows go by tables.
    """
    parts: list[bytes] = []
    for a, b, c in rows:
        number, size = NUMBERS[sequence & 0xFF], len(a) + len(b) + len(c) + 3
        sequence += 1
        if size < 251:
            parts += (HEADERS[size], number, SIZES[len(a)], a, SIZES[len(b)], b, SIZES[len(c)], c)
        else:
            payload = lenenc(a) + lenenc(b) + lenenc(c)
            parts += (len(payload).to_bytes(3, "little"), number, payload)
    return parts
