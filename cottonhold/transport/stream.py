"""Connected sockets, each with the state machine of its protocol."""

from __future__ import annotations

import asyncio
import contextlib
import math
import socket
from collections.abc import Iterator

from cottonhold.transport.interface import StreamProtocol
from cottonhold.transport.io_context import RESOURCE_RETRY_S, IoContext
from cottonhold.transport.socket_factory import RESOURCE_ERRORS
from cottonhold.transport.tcp_info import has_peer_closed, last_data_age_ms

SWEEP_INTERVAL_S = 5.0
STUCK_S = 30.0  # longest time of a write; then the connection is closed, since its peer does not read
# Time that a peer has to read the last byte, extended up to the maximum while it still sends.
LINGER_S, MAX_LINGER_S = 1.0, 5.0


class EndedProtocol:
    """The protocol of a stream that has ended: nothing is received or written any more."""

    is_closing = True

    def receive(self, data: bytes) -> None:
        """Discard bytes."""

    def pop_output(self) -> bytes:
        """Return nothing to write."""
        return b""

    def on_closed(self) -> None:
        """Do nothing: the end has been processed."""


ENDED_PROTOCOL = EndedProtocol()


class StreamSet:
    """All open streams; closes those whose peer does not read."""

    def __init__(self, context: IoContext) -> None:
        self.context = context
        self._streams: set[Stream] = set()
        context.loop.call_later(SWEEP_INTERVAL_S, self._sweep)

    def __iter__(self) -> Iterator[Stream]:
        return iter(self._streams)

    def add(self, stream: Stream) -> None:
        """Add a stream that was opened."""
        self._streams.add(stream)

    def discard(self, stream: Stream) -> None:
        """Remove a stream that has ended."""
        self._streams.discard(stream)

    def _sweep(self) -> None:
        """Abort stuck streams periodically; a timer for each write would cost more than the write."""
        loop = self.context.loop
        stuck_before = loop.time() - STUCK_S
        for stream in [stream for stream in self._streams if stream.writing_since < stuck_before]:
            self.context.counters.add("stuck_closed")
            stream.abort()
        loop.call_later(SWEEP_INTERVAL_S, self._sweep)


class Stream:
    """A connected socket and the state machine of its protocol; the stream closes the socket."""

    def __init__(self, streams: StreamSet, protocol: StreamProtocol, read_size: int) -> None:
        """Create a stream that is not started yet; `read_size` is the largest size of one read, in bytes."""
        self.streams, self.context = streams, streams.context
        self.protocol: StreamProtocol = protocol
        self.read_size = read_size
        self.sock: socket.socket | None = None
        self.writer: asyncio.Task[None] | None = None
        self.task: asyncio.Task[None] | None = None
        self.writing_since = math.inf  # loop time, in s, at which the current write began; inf without one
        self.unwritten_bytes = 0  # size of the current write, which is held until its end
        self.unsent = b""  # rest of an immediate write that did not fit into the send buffer
        self.ended: asyncio.Future[None] | None = None  # done when the peer has closed or a read failed
        self.is_shut_down = False  # the write side is closed
        self.discarded_bytes = 0

    def start(self, sock: socket.socket) -> None:
        """Start to read and write, and take ownership of the socket."""
        self.sock, self.ended = sock, self.context.loop.create_future()
        self.streams.add(self)
        self.task = self.context.spawn(self._serve(sock))
        # Not in a `finally` of the task: a task that is cancelled before its first step never runs.
        self.task.add_done_callback(lambda _: self._end(sock))
        self.flush()

    def flush(self) -> None:
        """Write the protocol's output in a background task."""
        if self.sock is not None and self.writer is None:
            self.writer = self.context.spawn(self._write(self.sock))

    def write_now(self) -> None:
        """Write immediately, before anything is written on another stream; the rest follows later."""
        if self.sock is None or self.writing_since < math.inf:
            self.flush()  # output must not interrupt a write in progress
            return
        data, sock = self._pop_output(), self.sock
        if sock is None:  # the connection ended while the protocol produced its output
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
        """Write the remaining output, then close the stream.

        If all output fits into the send buffer, the write side is closed immediately, so that no request that
        arrives in the meantime is read and discarded.
        """
        self.write_now()
        if not self.unsent and self.writing_since == math.inf:
            self._shut_down()
        self.flush()  # lingers until the peer has read the output

    def _shut_down(self) -> None:
        if self.sock is not None and not self.is_shut_down:
            self.is_shut_down = True
            with contextlib.suppress(OSError):  # the peer has disconnected, which the next read detects
                self.sock.shutdown(socket.SHUT_WR)

    def _pop_output(self) -> bytes:
        unsent, self.unsent = self.unsent, b""
        return unsent + self.protocol.pop_output()

    def writing_bytes(self) -> int:
        """Return the size of the output that was taken from the protocol and is not written yet."""
        return len(self.unsent) + self.unwritten_bytes

    def write_age_ms(self) -> float:
        """Return for how long the current write has lasted, in ms; 0 without one."""
        if self.writing_since == math.inf:
            return 0.0
        return (self.context.loop.time() - self.writing_since) * 1000

    def is_writing(self) -> bool:
        """Return whether output is still being written."""
        return self.writer is not None and not self.is_shut_down

    def abort(self) -> None:
        """Close immediately.

        The task closes the socket a few iterations of the loop later. The shutdown here lets the peer see the
        end before anything is written on another stream.
        """
        if self.sock is not None:
            with contextlib.suppress(OSError):
                self.sock.shutdown(socket.SHUT_RDWR)
            self.sock = None
        if self.task is not None:
            self.task.cancel()

    async def _serve(self, sock: socket.socket) -> None:
        """Read until the stream ends. An exception ends neither the process nor other streams."""
        try:
            await self._read(sock)
        except OSError:
            pass  # a reset ends the connection like any other end
        except Exception as error:
            self._on_fault(error)
        finally:
            self.sock = None
            if self.writer is not None:
                self.writer.cancel()
                with contextlib.suppress(asyncio.CancelledError):
                    await asyncio.gather(self.writer, return_exceptions=True)

    def _on_fault(self, error: Exception) -> None:
        self.context.counters.add("connection_faults")
        self.context.log(f"connection: {type(error).__name__}: {error}")

    def _end(self, sock: socket.socket) -> None:
        self.sock = None
        self.streams.discard(self)
        sock.close()
        self.end_protocol()

    def end_protocol(self) -> None:
        """Tell the protocol that the stream has ended, and release what the stream refers to.

        Streams, protocols, tasks and exceptions refer to one another. Without the release, ended connections
        would stay in memory until the next full garbage collection, which may be minutes away.
        """
        protocol, self.protocol = self.protocol, ENDED_PROTOCOL
        self.task = self.ended = None
        protocol.on_closed()

    async def _read(self, sock: socket.socket) -> None:
        assert self.ended is not None
        self.context.loop.add_reader(sock, self.read_available)
        try:
            await self.ended
        finally:
            self.context.loop.remove_reader(sock)

    def read_available(self) -> bool:
        """Read what has already arrived; return whether the protocol received bytes.

        If the stream has ended, the protocol is notified immediately. Unread bytes stay in the system's
        buffer, so that code that is about to close the stream can call this first to see whether a request
        has arrived.
        """
        sock, ended = self.sock, self.ended
        if sock is None or ended is None or ended.done():
            return False
        try:
            if self._receive(sock, ended):
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

    def last_data_age_ms(self) -> float:
        """Return how long ago data last arrived at this machine, read or not, in ms; 0 if not known."""
        return last_data_age_ms(self.sock) if self.sock is not None else 0.0

    def is_open(self) -> bool:
        """Return whether the stream still has its socket; after `abort` it has, until its task has ended."""
        return self.task is not None

    def has_peer_closed(self) -> bool:
        """Return whether the peer has closed its side or the connection; unread data may precede the end."""
        if self.sock is None:
            return True
        is_closed = has_peer_closed(self.sock)
        if is_closed is None:
            self.read_available()  # without the system's word, only a read finds the end
            return self.sock is None or self.ended is None or self.ended.done()
        return is_closed

    def _receive(self, sock: socket.socket, ended: asyncio.Future[None]) -> bool:
        """Read once; return whether the protocol received bytes.

        After the shutdown of the write side, data that still arrives is read and discarded. If the socket
        were closed with unread data, the connection would be reset, and the client might never receive its
        last response.
        """
        buffer = self.context.read_buffer
        count = sock.recv_into(buffer, 0 if self.is_shut_down else self.read_size)
        if count == 0:
            ended.set_result(None)
            return False
        if self.is_shut_down:
            self.discarded_bytes += count
            return False
        self.protocol.receive(bytes(memoryview(buffer)[:count]))
        return True

    def _fail(self, error: Exception) -> None:
        if self.ended is not None and not self.ended.done():
            self.ended.set_exception(error)

    def _pause(self, sock: socket.socket) -> None:
        """Stop reading for RESOURCE_RETRY_S: retrying immediately without memory would be a busy loop."""
        self.context.loop.remove_reader(sock)
        self.context.loop.call_later(RESOURCE_RETRY_S, self._resume, sock)

    def _resume(self, sock: socket.socket) -> None:
        if self.sock is sock and self.ended is not None and not self.ended.done():
            self.context.loop.add_reader(sock, self.read_available)

    async def _write(self, sock: socket.socket) -> None:
        try:
            while data := self._pop_output():
                self.unwritten_bytes, self.writing_since = len(data), self.context.loop.time()
                await self.context.send_all(sock, data)
                self.unwritten_bytes, self.writing_since = 0, math.inf
            if self.protocol.is_closing:
                self._shut_down()
                await self._linger()
                self.abort()
        except OSError:
            self.abort()
        except Exception as error:
            self._on_fault(error)
            self.abort()
        finally:
            self.writer = None

    async def _linger(self) -> None:
        """Give the peer LINGER_S to read the last byte, extended up to MAX_LINGER_S while it sends."""
        loop = self.context.loop
        deadline = loop.time() + MAX_LINGER_S
        discarded_before = -1
        while discarded_before != self.discarded_bytes and loop.time() < deadline:
            discarded_before = self.discarded_bytes
            await asyncio.sleep(LINGER_S)
