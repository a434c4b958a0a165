"""The only reader and writer of sockets: asyncio's socket calls on uvloop."""

from __future__ import annotations

import asyncio
import contextlib
import ctypes
import math
import random
import socket
import struct
import time
from collections.abc import Callable, Coroutine
from typing import Any, Protocol

from cottonhold.backend.connection_pool import Connection
from cottonhold.discovery.bus import ANSWER_MS, MOST_ANSWER_MS, Bus
from cottonhold.discovery.model import Address
from cottonhold.frontend.mysql_session import ClientSessions, Session
from cottonhold.message_validation import WireError
from cottonhold.node.admin_api import AdminApi
from cottonhold.node.peer_datagrams import PeerDatagrams
from cottonhold.observe.counters import Counters
from cottonhold.scheduler.events import PeerMessage
from cottonhold.transport.socket_factory import (
    CONNECT_RESOURCE_ERRORS,
    CONNECTION_ERRORS,
    RESOURCE_ERRORS,
    MakeSocket,
)

CLIENT_BYTES, ENGINE_BYTES = 4096, 32768  # what one read takes
# What one read drops of a client that was told to go and still sends; all reads share the buffer.
DRAIN_BYTES = 256 * 1024
SWEEP_S = 5.0
STUCK_S = 30.0  # a peer that takes nothing for so long is cut off
LINGER_S, MOST_LINGER_S = 1.0, 5.0  # a peer has so long to read the last byte, more if it still sends
BACKLOG = 512
DATAGRAMS = 64  # taken in one turn of the loop, so that a flood of them does not stop the rest
ACCEPT_PAUSE_S, ROOM_PAUSE_S = 0.02, 0.001
OPEN_S = 3.0  # that a start waits at most for what it lacks: it has to be ready within 6 s
LACKING_PAUSE_S = 0.02  # before a call is made again for which the system lacked something
MOST_BROKEN = 64  # connections that broke in the queue, in a row, between two pauses
QUEUE_PAUSES = 25  # that a listener's close waits at most for what accept lacks
BACKOFF_S, MOST_BACKOFF_S = 0.05, 1.0
ORIGIN_MS = 1e9  # 0, which means long past in many places, lies twelve days before the machine's start
SO_ATTACH_REUSEPORT_CBPF = 51
# "return 1" in classic BPF: the second socket of the address. Where there is none the kernel picks by hash.
SECOND = struct.pack("@HBBI", 0x06, 0, 0, 1)


class StreamProtocol(Protocol):
    """A state machine behind a socket."""

    is_closing: bool

    def receive(self, data: bytes) -> None:
        """Bytes have come."""

    def take_output(self) -> bytes:
        """What is to be written now."""

    def on_closed(self) -> None:
        """The connection has ended."""


class LoopClock:
    """The one clock, and timers on the loop."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        monotonic: Callable[[], float] = time.monotonic,
        wall: Callable[[], float] | None = None,
    ) -> None:
        self.loop, self.monotonic = loop, monotonic
        # Right or not: only `discovery/starts.py` weighs it, and a start without a folder is numbered by it.
        self.unix_offset = (wall or time.time)() * 1000 - self.now()

    def now(self) -> float:
        """Milliseconds of the monotonic clock, from an origin long before the machine's start."""
        return ORIGIN_MS + self.monotonic() * 1000

    def unix(self) -> float:
        """Milliseconds of Unix time by the wall clock as it stood at the start; it may be off by hours."""
        return self.now() + self.unix_offset

    def call_in(self, ms: float, action: Callable[[], None]) -> asyncio.TimerHandle:
        """Call an action after some time."""
        return self.loop.call_later(max(ms, 0.0) / 1000, action)

    def call_soon(self, action: Callable[[], None]) -> asyncio.Handle:
        """Call an action in the next turn of the loop."""
        return self.loop.call_soon(action)


def family(address: Address) -> socket.AddressFamily:
    """The kind of socket that an address is reached by."""
    return socket.AF_INET6 if ":" in address.host else socket.AF_INET


def bind(sock: socket.socket, address: Address, shared: bool) -> None:
    """Bind a socket, a shared one also beside another process of the same user."""
    if shared:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
    try:
        sock.bind((address.host, address.port))
    except OSError as error:
        raise OSError(error.errno, f"can't listen at {address}: {error.strerror}") from error


def tcp_socket(make: MakeSocket, kind: socket.AddressFamily) -> socket.socket:
    """A TCP socket that never blocks and never waits to fill a segment."""
    sock = make(kind, socket.SOCK_STREAM)
    try:
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    except OSError:
        sock.close()
        raise
    return sock


class Stream:
    """A socket and its state machine."""

    def __init__(self, driver: EventLoop, machine: StreamProtocol, size: int) -> None:
        self.event_loop, self.protocol, self.read_size = driver, machine, size
        self.sock: socket.socket | None = None
        self.writer: asyncio.Task[None] | None = None
        self.task: asyncio.Task[None] | None = None
        self.writing_since = math.inf
        self.unsent = b""  # of what was begun at once and did not fit
        self.ended: asyncio.Future[None] | None = None  # by the other end, or by a fault
        self.is_shut_down = False  # nothing more is written
        self.discarded_bytes = 0

    def start(self, sock: socket.socket) -> None:
        """Read and write from now on."""
        self.sock, self.ended = sock, self.event_loop.loop.create_future()
        self.event_loop.streams.add(self)
        self.task = self.event_loop.spawn(self._serve(sock))
        # Danger: a task cancelled before its first step never runs, and its socket stayed open for good.
        self.task.add_done_callback(lambda _: self._end(sock))
        self.flush()

    def flush(self) -> None:
        """Write what the machine has to say, beside whatever else goes on."""
        if self.sock is not None and self.writer is None:
            self.writer = self.event_loop.spawn(self._write(self.sock))

    def write_now(self) -> None:
        """Write at once, before anything is written at another connection; what doesn't fit follows."""
        if self.sock is None or self.writing_since < math.inf:
            self.flush()  # nothing may go between the bytes of a write that is under way
            return
        data, sock = self._output(), self.sock
        if sock is None:  # looking for the other end's close has ended the connection
            return
        try:
            sent = sock.send(data) if data else 0
        except (BlockingIOError, InterruptedError):
            sent = 0
        except OSError as error:
            if error.errno not in RESOURCE_ERRORS:
                self.abort()
                return
            sent = 0
        self.unsent = data[sent:]
        if self.unsent:
            self.flush()

    def close_gracefully(self) -> None:
        """Write what is left, then tell the other end that no more follows: at once, if all of it fits.

        Danger: done a turn of the loop later, requests that came in between were read and dropped.
        """
        self.write_now()
        if not self.unsent and self.writing_since == math.inf:
            self._shut()
        self.flush()  # waits for the other end

    def _shut(self) -> None:
        if self.sock is not None and not self.is_shut_down:
            self.is_shut_down = True
            with contextlib.suppress(OSError):  # the other end has gone: reading will tell
                self.sock.shutdown(socket.SHUT_WR)

    def _output(self) -> bytes:
        rest, self.unsent = self.unsent, b""
        return rest + self.protocol.take_output()

    def is_writing(self) -> bool:
        """Whether something is being written."""
        return self.writer is not None and not self.is_shut_down

    def abort(self) -> None:
        """Close at once."""
        # Danger: the task closes its socket some turns of the loop later. By then what was out on it had gone
        # to another engine, and on a busy machine both had it for as long as the turns took.
        if self.sock is not None:
            with contextlib.suppress(OSError):
                self.sock.shutdown(socket.SHUT_RDWR)
            self.sock = None
        if self.task is not None:
            self.task.cancel()

    async def _serve(self, sock: socket.socket) -> None:
        try:
            await self._read(sock)
        except OSError:
            pass  # a reset ends the connection like any other end
        except Exception as error:
            # Danger: a fault in one connection must end neither the program nor other requests.
            self.event_loop.counters.add("connection_faults")
            self.event_loop.say(f"connection: {type(error).__name__}: {error}")
        finally:
            self.sock = None
            if self.writer is not None:
                self.writer.cancel()
                with contextlib.suppress(asyncio.CancelledError):
                    await asyncio.gather(self.writer, return_exceptions=True)

    def _end(self, sock: socket.socket) -> None:
        self.sock = None
        self.event_loop.streams.discard(self)
        sock.close()
        self.protocol.on_closed()

    async def _read(self, sock: socket.socket) -> None:
        assert self.ended is not None
        self.event_loop.loop.add_reader(sock, self.read_available)
        try:
            await self.ended
        finally:
            self.event_loop.loop.remove_reader(sock)

    def read_available(self) -> bool:
        """Read what has come already; whether there were bytes. An end is told to the machine at once.

        Danger: bytes were read in one turn of the loop and given to the machine in the next. A connection
        that was closed between the two dropped a request that it had read. So they lie with the system until
        the machine takes them, and who is about to close can look there.
        """
        sock, ended, scrap = self.sock, self.ended, self.event_loop.read_buffer
        if sock is None or ended is None or ended.done():
            return False
        try:
            # Danger: closed with bytes unread, a connection is reset, and the client never sees why. So what
            # still comes, be it 60 MB, is read and dropped.
            count = sock.recv_into(scrap, 0 if self.is_shut_down else self.read_size)
            if count == 0:
                ended.set_result(None)
            elif self.is_shut_down:
                self.discarded_bytes += count
            else:
                self.protocol.receive(bytes(memoryview(scrap)[:count]))
                return True
        except (BlockingIOError, InterruptedError):
            return False
        except OSError as error:
            if error.errno in RESOURCE_ERRORS:
                self._pause(sock)
                return False
            self._fail(error)
        except Exception as error:
            self._fail(error)
        if ended.done():
            self.protocol.on_closed()
        return False

    def _fail(self, error: Exception) -> None:
        if self.ended is not None and not self.ended.done():
            self.ended.set_exception(error)

    def _pause(self, sock: socket.socket) -> None:
        """Read no more for a moment. Danger: asked again at once, a read that lacks memory spins."""
        self.event_loop.loop.remove_reader(sock)
        self.event_loop.loop.call_later(LACKING_PAUSE_S, self._go_on, sock)

    def _go_on(self, sock: socket.socket) -> None:
        if self.sock is sock and self.ended is not None and not self.ended.done():
            self.event_loop.loop.add_reader(sock, self.read_available)

    async def _write(self, sock: socket.socket) -> None:
        try:
            while data := self._output():
                self.writing_since = self.event_loop.loop.time()
                await self.event_loop.send_all(sock, data)
                self.writing_since = math.inf
            if self.protocol.is_closing:
                self._shut()
                until = self.event_loop.loop.time() + MOST_LINGER_S
                dropped = -1
                while dropped != self.discarded_bytes and self.event_loop.loop.time() < until:
                    dropped = self.discarded_bytes
                    await asyncio.sleep(LINGER_S)
                self.abort()
        except OSError:
            self.abort()
        except Exception as error:
            self.event_loop.counters.add("connection_faults")
            self.event_loop.say(f"connection: {type(error).__name__}: {error}")
            self.abort()
        finally:
            self.writer = None


class EventLoop:
    """Opens, accepts and serves all sockets."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        counters: Counters,
        say: Callable[[str], None],
        make_socket: MakeSocket = socket.socket,
    ) -> None:
        self.loop, self.counters, self.say, self.make_socket = loop, counters, say, make_socket
        self.clock = LoopClock(loop)
        self.tasks: set[asyncio.Task[None]] = set()
        self.udp: socket.socket | None = None
        self.connect_s = 0.25
        self.streams: set[Stream] = set()
        self.read_buffer = bytearray(DRAIN_BYTES)
        loop.call_later(SWEEP_S, self._sweep)

    def _sweep(self) -> None:
        """Cut off who takes nothing; a timer for each write would cost more than the write."""
        late = self.loop.time() - STUCK_S
        for wire in [wire for wire in self.streams if wire.writing_since < late]:
            self.counters.add("stuck_closed")
            wire.abort()
        self.loop.call_later(SWEEP_S, self._sweep)

    def spawn(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        """Run something beside the rest; the loop itself keeps only weak references."""
        task = self.loop.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    # --- bytes ---

    async def send_all(self, sock: socket.socket, data: bytes) -> None:
        """Write all. Raises OSError once nothing more can be written.

        Danger: the loop's sock_sendall does not tell how much had gone before it failed. So a moment without
        memory broke off an answer, or an engine's connection with all that was out on it.
        """
        left = memoryview(data)
        while left:
            try:
                sent = sock.send(left)
            except (BlockingIOError, InterruptedError):
                await self._writable(sock)
            except OSError as error:
                if error.errno not in RESOURCE_ERRORS:
                    raise
                await asyncio.sleep(LACKING_PAUSE_S)
            else:
                left = left[sent:]

    async def _writable(self, sock: socket.socket) -> None:
        ready = asyncio.Event()
        self.loop.add_writer(sock, ready.set)
        try:
            await ready.wait()
        finally:
            self.loop.remove_writer(sock)

    # --- clients ---

    async def open_with_retry(self, make: Callable[[], socket.socket]) -> socket.socket:
        """A socket that this process can't do without. Raises OSError.

        Danger: a start in a moment without a free descriptor ended as if its address were taken.
        """
        until = self.loop.time() + OPEN_S
        while True:
            try:
                return make()
            except OSError as error:
                if error.errno not in RESOURCE_ERRORS or self.loop.time() > until:
                    raise
                self.counters.add("sockets_lacking")
            await asyncio.sleep(LACKING_PAUSE_S)

    def listen(self, address: Address, shared: bool = False) -> socket.socket:
        """Listen at an address, and only there; a shared one also beside another process."""
        sock = tcp_socket(self.make_socket, family(address))
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            bind(sock, address, shared)
            sock.listen(BACKLOG)
        except OSError:
            sock.close()
            raise
        if shared:
            self._steer(sock)
        return sock

    def _steer(self, sock: socket.socket) -> None:
        """Lead what comes new to this socket, where an older process has one at the same address.

        Danger: the kernel divides it between both, and the older one's queue is reset when it closes.
        """
        code = ctypes.create_string_buffer(SECOND)
        try:
            sock.setsockopt(
                socket.SOL_SOCKET, SO_ATTACH_REUSEPORT_CBPF, struct.pack("@HP", 1, ctypes.addressof(code))
            )
        except OSError as error:
            self.counters.add("steering_failed")
            self.say(f"connections can't be led to the newer of two processes: {error}")

    async def accept(self, sock: socket.socket, front: ClientSessions) -> None:
        """Take in clients until cancelled."""
        failed = 0  # in a row
        while True:
            if not front.has_capacity():
                # Danger: places are free a turn or two after they were made, but were looked for 20 ms later.
                # So 8 were filled in 20 ms, and behind a crowd usual clients waited in the queue for seconds.
                await asyncio.sleep(ROOM_PAUSE_S if front.evicted_count else ACCEPT_PAUSE_S)
                continue
            try:
                await self._readable(sock)
                # Danger: taken one a turn, connections that came together waited many turns of a busy loop,
                # with their requests already written; those were read, and answered, after their limits.
                while front.has_capacity() and (client := self._next_client(sock)) is not None:
                    failed = 0
                    self._admit(client, front.open())
            except OSError as error:
                failed += 1
                await self._accept_failed(error, failed, "accept", "accept")

    async def _accept_failed(self, error: OSError, in_a_row: int, counted: str, what: str) -> None:
        """Count a failure of accept and wait as long as it asks for.

        Danger: without a free descriptor accept fails at once: it must not spin or end. One connection that
        broke in the queue says nothing of those behind it, which waited 20 ms for each.
        """
        self.counters.add(f"{counted}_failed")
        of_one = error.errno in CONNECTION_ERRORS
        if in_a_row == 1 and not of_one:
            self.say(f"{what}: {error}")
        await asyncio.sleep(0 if of_one and in_a_row % MOST_BROKEN else ACCEPT_PAUSE_S)

    async def _readable(self, sock: socket.socket) -> None:
        """Wait until something has come, and leave it where it is.

        Danger: accepted in one turn of the loop and handed over in the next, a client was lost with its
        request if accepting was cancelled between the two.
        """
        ready = asyncio.Event()
        self.loop.add_reader(sock, ready.set)
        try:
            await ready.wait()
        finally:
            self.loop.remove_reader(sock)

    def _next_client(self, sock: socket.socket) -> socket.socket | None:
        """A further client that has come already; None where none has. Raises OSError as accept does."""
        try:
            client, _ = sock.accept()
        except BlockingIOError:
            return None
        client.setblocking(False)
        return client

    def _admit(self, client: socket.socket, session: Session) -> None:
        try:
            client.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        except OSError:
            # Danger: that ended the listener's task, with the session kept for good. Where the peer has gone
            # the first read shows it; else it is owed an answer like any other.
            self.counters.add("accept_options_failed")
        session.stream = wire = Stream(self, session, CLIENT_BYTES)
        wire.start(client)

    async def accept_queued(self, sock: socket.socket, front: ClientSessions) -> None:
        """Take in all that wait at a listener.

        Danger: what waits in the queue of a listener that closes is reset.
        """
        failed = pauses = 0
        while pauses < QUEUE_PAUSES:
            try:
                while (client := self._next_client(sock)) is not None:
                    self._admit(client, front.open())
                return
            except OSError as error:
                failed += 1
                pauses += error.errno not in CONNECTION_ERRORS or failed % MOST_BROKEN == 0
                await self._accept_failed(error, failed, "accept", "accept")

    # --- operators ---

    async def accept_one(self, listener: socket.socket, counted: str, what: str) -> socket.socket:
        """The next one that comes; what fails meanwhile is counted, told and waited out."""
        failed = 0  # in a row
        while True:
            try:
                await self._readable(listener)
                if (caller := self._next_client(listener)) is not None:
                    return caller
            except OSError as error:
                failed += 1
                await self._accept_failed(error, failed, counted, what)

    async def serve_admin_api(self, sock: socket.socket, calls: AdminApi) -> None:
        """Take in operators' calls until cancelled."""
        while True:
            caller = await self.accept_one(sock, "ops_accept", "operators' calls")
            call = calls.open()
            call.stream = wire = Stream(self, call, CLIENT_BYTES)
            wire.start(caller)

    # --- engines ---

    def connect(self, address: Address, connection: Connection) -> Stream:
        """Open a connection to an engine; it is told when it is up, or that it never came up."""
        wire = Stream(self, connection, ENGINE_BYTES)
        wire.task = self.spawn(self._connect(address, connection, wire))
        return wire

    async def _connect(self, address: Address, connection: Connection, wire: Stream) -> None:
        try:
            sock = await self.dial(address, self.connect_s)
        except BaseException as error:
            self.counters.add("connect_failed")
            connection.lacked_local_resources = (
                isinstance(error, OSError) and error.errno in CONNECT_RESOURCE_ERRORS
            )
            connection.on_closed()
            if not isinstance(error, OSError):  # a time-out is one
                raise
            return
        connection.on_connected()
        wire.start(sock)

    async def dial(self, address: Address, limit_s: float) -> socket.socket:
        """A connected socket. Raises OSError, a time-out too.

        Names are looked up here only: the platform has none, and its addresses never come to that.
        """
        lacking: OSError | None = None
        try:
            # Danger: a machine that vanished never answers, and the system would try for minutes.
            async with asyncio.timeout(limit_s):
                if address.host[-1:].isdigit() or ":" in address.host:
                    kind, target = family(address), (address.host, address.port)
                else:
                    found = await self.loop.getaddrinfo(address.host, address.port, type=socket.SOCK_STREAM)
                    kind, target = found[0][0], found[0][4][:2]
                while True:
                    try:
                        return await self._connected(kind, target)
                    except OSError as error:
                        # Danger: without a free descriptor here, each engine in turn was told as unreachable.
                        if error.errno not in CONNECT_RESOURCE_ERRORS:
                            raise
                        self.counters.add("connections_lacking")
                        self.say(f"connections: {error}")
                        lacking = error
                    await asyncio.sleep(LACKING_PAUSE_S)
        except TimeoutError:
            raise lacking or TimeoutError from None

    async def _connected(self, kind: socket.AddressFamily, target: tuple[Any, ...]) -> socket.socket:
        sock = tcp_socket(self.make_socket, kind)
        try:
            await self.loop.sock_connect(sock, target)
            # Danger: a connect that could not begin (EAGAIN) looked like one that is up, and what was written
            # there counted as maybe run.
            sock.getpeername()
        except BaseException:
            sock.close()
            raise
        return sock

    # --- event bus ---

    async def follow_event_stream(self, bus: Bus, address: Address) -> None:
        """Keep a long poll open until cancelled; a broken link is opened anew, ever less often."""
        pause = BACKOFF_S
        while True:
            sock = None
            try:
                sock = await self.dial(address, ANSWER_MS / 1000)
                bus.restart()
                while bus.keep:
                    began, known = self.loop.time(), bus.offset
                    await self._poll(bus, sock)
                    if bus.offset > known or self.loop.time() - began > MOST_BACKOFF_S:
                        pause = BACKOFF_S
                    else:
                        # Danger: a bus that does not hold a call was asked again without end.
                        pause = await self._back_off(pause)
            except (OSError, WireError) as error:
                self.counters.add("bus_broken")
                self.say(f"event bus: {type(error).__name__}: {error}")
            except Exception as error:
                self.counters.add("bus_faults")
                self.say(f"event bus: {type(error).__name__}: {error}")
            finally:
                if sock is not None:
                    sock.close()
            pause = await self._back_off(pause)

    async def _back_off(self, pause: float) -> float:
        """Wait before the bus is called again; returns the next pause.

        Danger: watches that fell silent together were all opened anew in the same millisecond.
        """
        await asyncio.sleep(pause * (0.5 + 0.5 * random.random()))
        return min(pause * 2, MOST_BACKOFF_S)

    async def _poll(self, bus: Bus, sock: socket.socket) -> None:
        """One call and its answer, which may come slowly as long as it comes."""
        buffer = bytearray(ENGINE_BYTES)
        until = self.loop.time() + bus.limit_ms() / 1000
        async with asyncio.timeout_at(until) as limit:
            await self.loop.sock_sendall(sock, bus.request())
            whole = False
            while not whole:
                count = await self.loop.sock_recv_into(sock, buffer)
                if count == 0:
                    bus.end()
                    return
                # Danger: a long list over a slow link was cut off, and asked for anew, for good.
                late = min(self.loop.time() + ANSWER_MS / 1000, until + MOST_ANSWER_MS / 1000)
                limit.reschedule(max(until, late))
                whole = bus.receive(bytes(memoryview(buffer)[:count]))

    # --- peers ---

    def receive_datagrams(
        self,
        sock: socket.socket,
        peers: PeerDatagrams,
        push: Callable[[PeerMessage], None],
        others: Callable[[bytes, Address], bool] = lambda data, sender: False,
    ) -> None:
        """Take in datagrams from now on; `others` is offered each first, and says whether it was its own."""

        def ready() -> None:
            failed = 0
            for _ in range(DATAGRAMS):
                try:
                    data, sender = sock.recvfrom(2048)
                except (BlockingIOError, InterruptedError):
                    return
                except OSError as error:  # news of a datagram that reached nobody, or something lacks
                    self.counters.add("peer_broken")
                    failed += 1
                    if error.errno in RESOURCE_ERRORS or failed == DATAGRAMS:
                        break
                    continue
                if others(data, Address(sender[0], sender[1])):
                    continue
                if message := peers.decode(data, (sender[0], sender[1])):
                    push(message)
            else:
                return
            # Danger: what fails in each call was called again in each turn of the loop, without a pause.
            self.loop.remove_reader(sock)
            self.loop.call_later(LACKING_PAUSE_S, listen)

        def listen() -> None:
            if sock.fileno() >= 0:
                self.loop.add_reader(sock, ready)

        # Danger: uvloop's sock_recvfrom only raises NotImplementedError, and peers went unheard.
        listen()

    def udp_socket(self, address: Address) -> socket.socket:
        """The socket for datagrams."""
        sock = self.make_socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.setblocking(False)
        try:
            bind(sock, address, shared=True)
        except OSError:
            sock.close()
            raise
        self._steer(sock)
        self.udp = sock
        return sock

    def send_datagram(self, data: bytes, target: Address) -> None:
        """Send a datagram; it may be lost, so a full buffer loses it."""
        if self.udp is not None:
            try:
                self.udp.sendto(data, (target.host, target.port))
                self.counters.add("peer_sent")
            except OSError:
                self.counters.add("peer_broken")
