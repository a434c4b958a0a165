"""Attempts on engines: connections, requests that are out on them, the pages of their results."""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from cottonhold.backend.resp import RespError, RespReader, Rows, encode, read_count, read_fields, read_rows
from cottonhold.config.relay import ConnectionSettings
from cottonhold.config.settings import REPORT
from cottonhold.discovery.model import Address, Change
from cottonhold.node.clock import Clock, Timer
from cottonhold.observe.counters import Counters
from cottonhold.scheduler.events import AttemptEnded, Engine, EngineState, Outcome

IDLE_MARGIN_MS = 2000.0  # so long before its idle limit a connection gets nothing new: it may just be closing
IDLE_MARGIN_PART = 0.5  # of a short idle limit, at most
SILENT_MS = 1000.0  # a connection silent for so long when its engine is told gone has lost what was out on it
MOST_READS = 4  # of what came unasked on a connection, before something is written there
MOST_PAGES = 64  # of at most 6,000 bytes; engines make at most 48,000
CHECK_MS = 200.0
QUIET_MS = 1200.0  # a connection with work out that says nothing for so long is asked for a sign of life
SIGN_PRICE = 0.003  # of the result that signs of life may cost, as the module's own probes
MOST_SIGNS = 4.0  # that are saved up: as many connections as fall silent in one moment at a gateway's part
SIGN_MS = 500.0  # and given up without one; also the longest that an answer may take from first byte to last
MOST_GIVEN_UP = 256  # ids remembered on a connection: each could only come again within its request's life
MOST_TAKEN = 16 * 1024  # bytes that a write takes at once, and one attempt's more: a socket holds that much
LEAST_MS = 1.0  # an attempt with less than this left is not begun: no engine could answer it
MOST_NUMBER = 1e8  # of milliseconds or megabytes that an answer may tell
WORDS = {b"served", b"overload", b"crashed", b"nobody", b"rows"}


class StreamHandle(Protocol):
    """The driver's side of a connection."""

    def read_available(self) -> bool:
        """Read what has come already; whether there was something."""

    def flush(self) -> None:
        """There is something to write."""

    def write_now(self) -> None:
        """There is something to write before anything else is, anywhere."""

    def abort(self) -> None:
        """Close at once: whoever is at the other end can see it before anything else is written."""


Connect = Callable[[Address, "Connection"], StreamHandle]


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt: what is sent, where it is, and what has come back of its result."""

    request_id: str
    number: int
    engine: str
    class_name: str
    body: bytes
    priority: int
    started_at: float
    deadline: float
    idempotency_key: str | None = None  # the client's idempotency key, the same on each attempt
    begin_deadline: float = math.inf  # not begun by then, it must not begin any more
    connection: Connection | None = None
    timer: Timer | None = None
    is_written: bool = False
    first_response_at: float = 0.0
    response_fields: dict[str, str] = field(default_factory=dict)
    pages: list[Rows | None] = field(default_factory=list)

    @property
    def engine_request_id(self) -> bytes:
        return self.request_id.encode()

    def all_rows(self) -> Rows:
        """The whole result."""
        return [row for page in self.pages if page is not None for row in page]


@dataclass(slots=True, eq=False)
class HealthCheck:
    """A probe that is out: one that the module asked for, or a connection's sign of life."""

    engine: str
    sent_at: float
    answers_before: int  # that the connection had given before; any further one is a sign of life as well
    was_connecting: bool  # the connection was not up yet
    is_awaited: bool = True  # the module waits for its end
    timer: Timer | None = None
    callback: Callable[[bool], None] | None = None  # who else waits for it, in the module's place


class AttemptListener(Protocol):
    """Who is told of ends, and whose attempts they are: the gateway."""

    def is_wanted(self, attempt: Attempt) -> bool:
        """Whether an attempt that has not begun may still begin."""

    def on_attempt_ended(self, attempt: Attempt, event: AttemptEnded) -> None:
        """An attempt is over."""

    def on_health_check_completed(self, engine: str, outcome: Outcome, report: dict[str, float]) -> None:
        """A probe is over."""


class Connection:
    """One connection to an engine: a state machine that is fed bytes and gives bytes to write."""

    def __init__(self, owner: EngineConnections, engine: str, address: Address, now: float) -> None:
        self.owner, self.engine, self.address = owner, engine, address
        self.reader, self.stream = RespReader(), None
        self.opened_at, self.last_received_at, self.last_used_at = now, now, now
        self.partial_since = math.inf  # since when an answer is there in part
        self.answer_count = 0
        self.silent_since = math.inf  # since when something that was sent waits for any word
        self.is_up = self.is_closed = self.is_closing = False
        self.lacked_local_resources = False  # this machine could not make it; that says nothing of the engine
        self.queue: deque[Attempt | bytes] = deque()
        self.attempts: dict[bytes, Attempt] = {}
        self.abandoned_ids: dict[bytes, None] = {}  # ids that ended without a result: not used here again
        self.health_checks: dict[bytes, HealthCheck] = {}

    stream: StreamHandle | None

    def on_connected(self) -> None:
        """The connection is up."""
        now = self.owner.clock.now()
        self.is_up, self.opened_at, self.last_received_at, self.last_used_at = True, now, now, now
        self.silent_since = now if self.attempts else math.inf
        self.owner.drop_unsendable(self)

    def take_output(self) -> bytes:
        """What is to be written now. Whether an attempt may still begin is checked only here."""
        # Danger: a load was put on a connection that was given up in the same turn of the loop, before the
        # write had begun. It was told as never sent and went to another engine; then it was written here too.
        self._look_for_end()
        if self.is_closed:
            return b""
        # Danger: all that was taken at once could wait behind an engine that reads slowly, for as long as it
        # liked, and began then without a further look. So little is taken, and more once that is written.
        parts, size = list[bytes](), 0
        while self.queue and size < MOST_TAKEN:
            item = self.queue.popleft()
            if isinstance(item, Attempt):
                if not self.owner.may_begin(item):
                    continue
                item.is_written = True
                item = self.owner.encode_request(item)
            parts.append(item)
            size += len(item)
        if parts:
            self.last_used_at = self.owner.clock.now()
        return b"".join(parts)

    def _look_for_end(self) -> None:
        """Whether the engine has closed a connection on which nothing is out, before something is written.

        Danger: the loop hears of an end some turns late. A request written meanwhile counted as one that may
        have run, and where it may not be repeated it failed.
        """
        if self.stream is None or not self.queue or any(a.is_written for a in self.attempts.values()):
            return
        for _ in range(MOST_READS):
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
            if self.reader.partial():
                self.partial_since = min(self.partial_since, now)
        except RespError as error:
            self.owner.on_malformed_answer(f"engine {self.engine}: {error}")
            self.abandon()

    def abandon(self) -> None:
        """Close, and tell of what was out: it may have run.

        Danger: after an answer that makes no sense, or none at all, nothing more comes that could be used,
        yet the connection stays open. It was picked again and again, and what was out on it waited long.
        """
        self.is_closing = True
        self.owner.counters.add("engine_connections_given_up")
        self.close()

    def close(self) -> None:
        """Close at once, and tell of what was out."""
        if self.stream is not None:
            self.stream.abort()
        self.on_closed()

    def is_unused(self) -> bool:
        """Whether it is up with nothing out on it."""
        return self.is_up and not self.attempts and not self.health_checks

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
        """Write what gives an attempt up, at once."""
        # Danger: written in the order in which connections had got something to say, the next attempt often
        # went out before the one before was dropped, and an instance that was stopped between the two writes
        # had both out for tens of milliseconds.
        self.queue.append(item)
        if self.is_up and self.stream is not None:
            self.stream.write_now()


@dataclass(slots=True, eq=False)
class EngineEndpoint:
    """An engine of the list with its connections."""

    engine: Engine
    address: Address | None
    connections: list[Connection] = field(default_factory=list)
    restarted_at: float = -math.inf  # when a new start was last told


class EngineConnections:
    """All engines; sends attempts, gives them up, and tells the gateway of their ends."""

    def __init__(
        self,
        links: ConnectionSettings,
        clock: Clock,
        counters: Counters,
        say: Callable[[str], None],
        most: int,
    ) -> None:
        self.settings, self.clock, self.counters, self.say = links, clock, counters, say
        self.endpoints: dict[str, EngineEndpoint] = {}
        self.endpoints_in_use: dict[
            str, EngineEndpoint
        ] = {}  # that have had a connection since they were last looked at
        self.connect: Connect
        self.listener: AttemptListener
        self.health_check_count = 0
        self.max_connections, self.open_connections = most, 0
        self.liveness_budget = 1.0  # of life that may be asked for
        self.last_health_check_ms = 0.0  # ms of the last probe that ended
        clock.call_in(CHECK_MS, self._check)

    # --- the list ---

    def apply(self, change: Change) -> None:
        """Take in a change of the list; what waits for an engine that left is told so at once."""
        named = {info.id for info in change.engines}
        for info in change.engines:
            place = self.endpoints.get(info.id)
            if place is None:
                place = self.endpoints[info.id] = EngineEndpoint(info, None)
            address = change.addresses.get(info.id, place.address)
            if address != place.address:
                self._moved(place, info.started_at)
            elif info.started_at > place.engine.started_at:
                self._restarted(place, info.started_at)
            place.engine, place.address = info, address
            self._left(place)
        if change.whole:
            for name in [name for name in self.endpoints if name not in named]:
                place = self.endpoints[name]
                place.engine = Engine(name, state=EngineState.REMOVED)
                self._left(place)

    def _moved(self, place: EngineEndpoint, at: float) -> None:
        """The engine has another address. What runs on a connection to the one before goes on to its end."""
        self._close(place, lambda c: c.opened_at < at or c.is_unused() or not c.is_up)

    def _restarted(self, place: EngineEndpoint, at: float) -> None:
        """Another process is at the address. Connections to a machine that vanished stay open and silent.

        Danger: a start may be told late, or taken for later than it was; then what had been opened to the new
        process already was closed, with all that ran there. So one that speaks is kept, but gets nothing new
        until it has spoken again.
        """
        place.restarted_at = self.clock.now()
        quiet = place.restarted_at - SILENT_MS
        self._close(
            place, lambda c: not c.is_up or c.opened_at < at and (c.is_unused() or c.last_received_at < quiet)
        )

    def _left(self, place: EngineEndpoint) -> None:
        """Nothing new goes to an engine that drains or is gone; what was out on a gone one is lost."""
        if place.engine.state is EngineState.LIVE:
            return
        for connection in list(place.connections):
            self.drop_unsendable(connection)
        self._close(place, Connection.is_unused)
        if place.engine.state is EngineState.REMOVED:
            quiet = self.clock.now() - SILENT_MS
            self._close(place, lambda c: c.last_received_at < quiet or not c.attempts)
            # Danger: an engine that left with work out was kept for good, with its connections.
            if not place.connections:
                del self.endpoints[place.engine.id]
                self.endpoints_in_use.pop(place.engine.id, None)

    def _close(self, place: EngineEndpoint, which: Callable[[Connection], bool]) -> None:
        for connection in [c for c in place.connections if which(c)]:
            connection.close()

    def _open_place(self, engine: str) -> EngineEndpoint | None:
        """The engine, if it may get something new."""
        place = self.endpoints.get(engine)
        if place is None or place.address is None or place.engine.state is not EngineState.LIVE:
            return None
        return place

    def _check(self) -> None:
        """Look after connections that stay open and silent, and after engines that have left."""
        now, quiet = self.clock.now(), list[Connection]()
        self.clock.call_in(CHECK_MS, self._check)
        # Danger: all engines of the list were looked at five times a second, though most never get any: on
        # the largest fleets that passed what a dispatcher may take for their number.
        for name, place in list(self.endpoints_in_use.items()):
            try:
                quiet += [c for c in list(place.connections) if self._look_at(place, c, now)]
                self._left(place)
                if not place.connections:
                    self.endpoints_in_use.pop(name, None)
            except Exception as error:
                # Danger: after a fault at one engine no silent connection to any other was ever found.
                self.counters.add("check_faults")
                self.say(f"engine {place.engine.id}: {type(error).__name__}: {error}")
        # Danger: each connection with work out that was quiet for 1.2 s was asked, which on a full fleet is
        # most of them, again and again: 0.3 probes a request, at six times the price of all other probes. So
        # each attempt pays for a part of a sign, and the quietest are asked first.
        for connection in sorted(quiet, key=lambda c: c.silent_since):
            if self.liveness_budget >= 1 or not self.settings.health_check_cost:
                self.liveness_budget = max(self.liveness_budget - 1, 0.0)
                self._ask(connection, told=False)

    def _look_at(self, place: EngineEndpoint, connection: Connection, now: float) -> bool:
        """Give up a connection that has failed; whether one ought to be asked for a sign of life."""
        if not connection.is_up or connection.is_closed:
            return False
        for tag, probe in list(connection.health_checks.items()):
            if not probe.is_awaited and probe.answers_before != connection.answer_count:
                del connection.health_checks[tag]
        if now - connection.partial_since > SIGN_MS:
            self.on_malformed_answer(f"engine {connection.engine}: an answer that stops short")
            connection.abandon()
        elif now - self._asked_at(connection) >= SIGN_MS:
            self.say(f"engine {connection.engine}: a connection gives no sign of life")
            connection.abandon()
        # Danger: the list grew with each attempt given up, for as long as its connection lived.
        for ref in list(connection.abandoned_ids)[:-MOST_GIVEN_UP]:
            del connection.abandoned_ids[ref]
        working = (
            connection.attempts and not connection.health_checks and place.engine.state is EngineState.LIVE
        )
        return not connection.is_closed and bool(working) and now - connection.silent_since > QUIET_MS

    # --- attempts ---

    def send(self, attempt: Attempt) -> bool:
        """Start an attempt; false where the engine can't be sent anything, so that it surely never ran."""
        connection = self._pick(attempt.engine, attempt.engine_request_id)
        if connection is None:
            return False
        attempt.connection = connection
        connection.attempts[attempt.engine_request_id] = attempt
        self.liveness_budget = min(
            MOST_SIGNS, self.liveness_budget + SIGN_PRICE / max(self.settings.health_check_cost, SIGN_PRICE)
        )
        connection.silent_since = min(connection.silent_since, attempt.started_at)
        left = max(attempt.deadline - self.clock.now(), 0.0)
        attempt.timer = self.clock.call_in(left, lambda: self._time_out(attempt))
        self.counters.add("attempts_sent")
        connection.enqueue(attempt)
        return True

    def unsent_outcome(self) -> Outcome:
        """What to tell of an attempt or a probe that could not be started.

        Danger: where only this machine's own descriptors ran out, each engine in turn was taken for dead.
        """
        return Outcome.OVERLOADED if self.open_connections >= self.max_connections else Outcome.CONNECT_FAILED

    def _pick(self, engine: str, ref: bytes) -> Connection | None:
        """The fullest connection with room, so that spare ones run idle and close; else a new one.

        None where the engine may get nothing new, or no descriptor is left.
        """
        place = self._open_place(engine)
        return None if place is None else self._line(place, ref)

    def _line(self, place: EngineEndpoint, ref: bytes) -> Connection | None:
        self._close(place, lambda c: c.is_unused() and self._stale(c))
        usable = [
            c
            for c in place.connections
            if len(c.attempts) < self.settings.max_streams
            and not self._stale(c)
            and not self._doubtful(c)
            # Danger: an engine may answer late, and twice. Taken for the answer to the next attempt under its
            # id, a second "overload" was the proof that a load which ran had not, and it went out once more.
            and ref not in c.abandoned_ids
            and ref not in c.attempts
            # Danger: told of another address without a start, an engine got what was new at the one before.
            and c.address == place.address
            and (
                not c.is_up
                or c.last_received_at >= place.restarted_at
                or c.opened_at >= place.engine.started_at
            )
        ]
        if usable:
            return max(usable, key=lambda c: (c.is_up, len(c.attempts)))
        assert place.address is not None
        if self.open_connections >= self.max_connections:
            for other in list(self.endpoints_in_use.values()):
                self._close(other, Connection.is_unused)
            if self.open_connections >= self.max_connections:
                self.counters.add("engine_connections_lacking")
                return None
        connection = Connection(self, place.engine.id, place.address, self.clock.now())
        place.connections.append(connection)
        self.endpoints_in_use[place.engine.id] = place
        self.open_connections += 1
        self.counters.add("engine_connections")
        connection.stream = self.connect(place.address, connection)
        return connection

    def _stale(self, connection: Connection) -> bool:
        # Danger: a request written as the engine closes an idle connection may or may not have run.
        margin = min(IDLE_MARGIN_MS, self.settings.idle_timeout_ms * IDLE_MARGIN_PART)
        return (
            connection.is_up
            and self.clock.now() - connection.last_used_at > self.settings.idle_timeout_ms - margin
        )

    def _asked_at(self, connection: Connection) -> float:
        """Since when a sign of life is waited for; infinity where none is."""
        waiting = (
            p.sent_at
            for p in connection.health_checks.values()
            if p.answers_before == connection.answer_count
        )
        return min(waiting, default=math.inf)

    def _doubtful(self, connection: Connection) -> bool:
        """A sign of life is late; what is new goes elsewhere meanwhile."""
        return self.clock.now() - self._asked_at(connection) > self.settings.connect_timeout_ms / 2

    def may_begin(self, attempt: Attempt) -> bool:
        """The one check before an attempt's first byte. What fails it has ended, and never ran."""
        # Danger: decided on a quarter of a second before, as a connect was under way, attempts were written
        # for clients that had left, since loads are never cancelled and some sites allow no cancelling.
        now = self.clock.now()
        late = now > attempt.deadline - LEAST_MS or now >= attempt.begin_deadline
        if self._open_place(attempt.engine) is None:
            self._end(attempt, Outcome.CONNECT_FAILED)
        elif late or not self.listener.is_wanted(attempt):
            self._end(attempt, Outcome.ALREADY_FINISHED)
        return attempt.connection is not None

    def encode_request(self, attempt: Attempt) -> bytes:
        """The request's words."""
        left = max(1, int(attempt.deadline - self.clock.now()))
        order = f"kind={attempt.class_name},ms={left},order={attempt.priority}"
        # Danger: without the client's key an engine can't tell a repeat from a new request and runs both.
        if attempt.idempotency_key is not None:
            order += f",token={attempt.idempotency_key}"
        return encode(b"GET", attempt.engine_request_id, order.encode(), attempt.body)

    def drop_unsendable(self, connection: Connection) -> None:
        """Take out what waits for an engine that has left."""
        if self._open_place(connection.engine) is not None:
            return
        for item in [i for i in connection.queue if isinstance(i, Attempt)]:
            connection.queue.remove(item)
            self._end(item, Outcome.CONNECT_FAILED)

    def change_priority(self, attempt: Attempt, priority: int) -> None:
        """A new priority for an attempt that is out."""
        attempt.priority = priority
        if attempt.connection is not None and attempt.is_written and not attempt.pages:
            attempt.connection.enqueue(encode(b"RANK", attempt.engine_request_id, b"%d" % priority))

    def cancel(self, attempt: Attempt, outcome: Outcome) -> None:
        """Give an attempt up."""
        connection = attempt.connection
        if connection is None:
            return
        if attempt in connection.queue:
            connection.queue.remove(attempt)
        elif attempt.pages:
            connection.write_now(encode(b"CLOSE", attempt.engine_request_id))
        else:
            connection.write_now(encode(b"DROP", attempt.engine_request_id))
        self._end(attempt, outcome)

    def shorten_deadline(self, attempt: Attempt, until: float) -> None:
        """An earlier limit for an attempt that is out; a later one changes nothing."""
        if until < attempt.deadline and attempt.timer is not None:
            attempt.timer.cancel()
            attempt.deadline, left = until, max(until - self.clock.now(), 0.0)
            attempt.timer = self.clock.call_in(left, lambda: self._time_out(attempt))

    def _time_out(self, attempt: Attempt) -> None:
        """The attempt's limit: it is given up before anyone hears of it."""
        connection = attempt.connection
        if connection is None or attempt not in connection.queue:
            self.cancel(attempt, Outcome.TIMEOUT)
            return
        # Danger: an engine was left as dead for seconds by a request that had less time than a connect has.
        patient = self.clock.now() - connection.opened_at < self.settings.connect_timeout_ms
        self.cancel(attempt, Outcome.ALREADY_FINISHED if patient else Outcome.CONNECT_FAILED)

    def _end(self, attempt: Attempt, outcome: Outcome, words: dict[str, str] | None = None) -> None:
        """Tell of an attempt's end, once."""
        connection, attempt.connection = attempt.connection, None
        if connection is None:
            return
        connection.attempts.pop(attempt.engine_request_id, None)
        if attempt.is_written and outcome is not Outcome.OK:
            connection.abandoned_ids[attempt.engine_request_id] = None
        if attempt.timer is not None:
            attempt.timer.cancel()
        words = words or {}
        elapsed = (attempt.first_response_at or self.clock.now()) - attempt.started_at
        self.counters.add(f"attempts_{outcome.value}")
        event = AttemptEnded(
            attempt.request_id,
            attempt.number,
            attempt.engine,
            outcome,
            elapsed,
            actual_work_ms=number(words.get("ticks")),
            actual_memory_mb=number(words.get("footprint")),
            load_report=read_gauges(words),
        )
        self.listener.on_attempt_ended(attempt, event)

    # --- answers ---

    def on_answer(self, connection: Connection, words: list[bytes]) -> None:
        """An answer: ID WORD FIELDS BODY. What belongs to nothing that is out is late, and passed over."""
        if len(words) not in (3, 4):
            raise RespError(f"an answer of {len(words)} words")
        ref, word, fields = words[0], words[1], read_fields(words[2])
        body = words[3] if len(words) == 4 else b""
        if probe := connection.health_checks.pop(ref, None):
            if probe.is_awaited:
                outcome = Outcome.ERROR if word == b"red" else Outcome.OK
                self._probe_ended(probe, outcome, read_gauges(fields))
            return
        attempt = connection.attempts.get(ref)
        if attempt is not None and word not in WORDS:
            raise RespError(f"unknown word {word[:40]!r}")
        if attempt is None:
            self.counters.add("answers_late")
        elif word == b"crashed":
            self._end(attempt, Outcome.ERROR, fields)
        elif word == b"rows" and attempt.pages:
            self._page(attempt, fields, body)
        elif attempt.pages or word == b"rows":
            self.counters.add("answers_again")  # a second copy, which is harmless
        elif word == b"served":
            self._served(attempt, fields, body)
        else:
            self._end(
                attempt, Outcome.OVERLOADED if word == b"overload" else Outcome.ALREADY_FINISHED, fields
            )

    def _served(self, attempt: Attempt, fields: dict[str, str], body: bytes) -> None:
        """Page 0 has come: ask for the others. All are collected and read before the first row goes out, so
        that a loss can still become a retry or a clean error."""
        # Danger: rows were read only when the client was answered. By then the attempt counted as served, and
        # a spoilt page could only fail the query.
        count, rows = read_count(fields, "count", 1, MOST_PAGES), read_rows(body)
        attempt.first_response_at, attempt.response_fields = self.clock.now(), fields
        attempt.pages = [rows, *[None] * (count - 1)]
        if count == 1:
            self._end(attempt, Outcome.OK, fields)
        elif attempt.connection is not None:
            asks = (encode(b"PAGE", attempt.engine_request_id, b"%d" % n) for n in range(1, count))
            attempt.connection.enqueue(b"".join(asks))

    def _page(self, attempt: Attempt, fields: dict[str, str], body: bytes) -> None:
        attempt.pages[read_count(fields, "pos", 1, len(attempt.pages) - 1)] = read_rows(body)
        if None not in attempt.pages:
            connection = attempt.connection
            self._end(attempt, Outcome.OK, attempt.response_fields)
            if connection is not None:
                connection.enqueue(encode(b"CLOSE", attempt.engine_request_id))

    def on_connection_closed(self, connection: Connection) -> None:
        """What was written may have run; what still waited did not."""
        place = self.endpoints.get(connection.engine)
        if place is not None and connection in place.connections:
            place.connections.remove(connection)
            self.open_connections -= 1
        never = Outcome.OVERLOADED if connection.lacked_local_resources else Outcome.CONNECT_FAILED
        for probe in filter(lambda probe: probe.is_awaited, list(connection.health_checks.values())):
            self._probe_ended(probe, Outcome.RESET if connection.is_up else never)
        for attempt in list(connection.attempts.values()):
            self._end(attempt, Outcome.RESET if attempt.is_written else never)

    # --- probes ---

    def check_health(self, engine: str) -> bool:
        """Ask an engine for a sign of life and its load; false where it can't be asked."""
        connection = self._pick(engine, b"")
        if connection is not None:
            self._ask(connection)
        return connection is not None

    def check_liveness(self, engine: str, then: Callable[[bool], None]) -> bool:
        """Ask an engine that gets nothing new for a sign of life; false where it can't be asked. The module
        is told nothing of it."""
        place = self.endpoints.get(engine)
        if place is None or place.address is None or place.engine.state is EngineState.REMOVED:
            return False
        connection = self._line(place, b"")
        if connection is not None:
            self._ask(connection, then=then)
        return connection is not None

    def attempts_in_flight(self, engine: str) -> int:
        """Attempts that are out at an engine, those that wait for a connection among them."""
        place = self.endpoints.get(engine)
        return sum(len(c.attempts) for c in place.connections) if place is not None else 0

    def _ask(
        self, connection: Connection, told: bool = True, then: Callable[[bool], None] | None = None
    ) -> None:
        self.health_check_count += 1
        tag = b"t%d" % self.health_check_count
        fresh = not connection.is_up
        probe = HealthCheck(
            connection.engine, self.clock.now(), connection.answer_count, fresh, told, callback=then
        )
        connection.health_checks[tag] = probe
        self.counters.add("probes_sent")
        connection.enqueue(encode(b"LOAD", tag))
        if told:
            probe.timer = self.clock.call_in(
                self.settings.connect_timeout_ms, lambda: self._late(connection, probe)
            )

    def _late(self, connection: Connection, probe: HealthCheck) -> None:
        """A probe lacks its answer. From now on it counts for its connection only."""
        # Danger: on a connection that has gone silent a probe said that the whole engine is deaf, and all
        # that ran there was given up. So where other answers come it lives; else it is asked on a new one.
        if not probe.is_awaited:
            return
        if probe.answers_before != connection.answer_count:
            self._probe_ended(probe, Outcome.OK)
        elif probe.was_connecting or probe.callback is not None or not self.check_health(probe.engine):
            self._probe_ended(probe, Outcome.TIMEOUT)
        probe.is_awaited = False

    def _probe_ended(
        self, probe: HealthCheck, outcome: Outcome, report: dict[str, float] | None = None
    ) -> None:
        if probe.timer is not None:
            probe.timer.cancel()
        self.counters.add(f"probes_{outcome.value}")
        if probe.callback is not None:
            probe.callback(outcome is Outcome.OK)
            return
        self.last_health_check_ms = self.clock.now() - probe.sent_at
        self.listener.on_health_check_completed(probe.engine, outcome, report or {})

    def on_malformed_answer(self, why: str) -> None:
        """What an engine said that makes no sense is counted, logged and survived."""
        self.counters.add("engine_malformed")
        self.say(why)


def number(text: str | None) -> float:
    """A number of an answer; 0 where it is absent or makes no sense."""
    try:
        value = float(text) if text else 0.0
    except ValueError:
        return 0.0
    return value if 0 <= value < MOST_NUMBER else 0.0


def read_gauges(fields: dict[str, str]) -> dict[str, float]:
    """A load report, as in inflight:7;util:0.61, under the module's names."""
    report = {}
    for part in fields.get("gauges", "").split(";"):
        name, mark, value = part.partition(":")
        if mark:
            try:
                report[REPORT.get(name, name)] = float(value)
            except ValueError:
                continue
    return report
