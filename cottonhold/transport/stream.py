"""A connected socket and the state machine of its protocol."""

from __future__ import annotations

import asyncio
import contextlib
import math
import socket
from collections.abc import Iterator

from cottonhold.transport.interface import StreamProtocol
from cottonhold.transport.io_context import RESOURCE_RETRY_S, IoContext
from cottonhold.transport.socket_factory import RESOURCE_ERRORS

SWEEP_INTERVAL_S = 5.0
STUCK_S = 30.0  # a peer that takes nothing for so long is cut off
LINGER_S, MAX_LINGER_S = 1.0, 5.0  # a peer has so long to read the last byte, more if it still sends


class StreamSet:
    """All open streams; cuts off peers that take nothing."""

    def __init__(self, context: IoContext) -> None:
        self.context = context
        self._streams: set[Stream] = set()
        context.loop.call_later(SWEEP_INTERVAL_S, self._sweep)

    def __iter__(self) -> Iterator[Stream]:
        return iter(self._streams)

    def add(self, stream: Stream) -> None:
        """A stream has been opened."""
        self._streams.add(stream)

    def discard(self, stream: Stream) -> None:
        """A stream has ended."""
        self._streams.discard(stream)

    def _sweep(self) -> None:
        """Abort stuck streams; a timer for each write would cost more than the write."""
        loop = self.context.loop
        late = loop.time() - STUCK_S
        for stream in [stream for stream in self._streams if stream.writing_since < late]:
            self.context.counters.add("stuck_closed")
            stream.abort()
        loop.call_later(SWEEP_INTERVAL_S, self._sweep)


class Stream:
    """A connected socket and the state machine that it feeds. The stream's task closes the socket."""

    def __init__(self, streams: StreamSet, protocol: StreamProtocol, read_size: int) -> None:
        """`read_size`: bytes that one read takes at most."""
        self.streams, self.context = streams, streams.context
        self.protocol, self.read_size = protocol, read_size
        self.sock: socket.socket | None = None
        self.writer: asyncio.Task[None] | None = None
        self.task: asyncio.Task[None] | None = None
        self.writing_since = math.inf  # seconds of the loop's time
        self.unsent = b""  # the rest of a write that did not fit
        self.ended: asyncio.Future[None] | None = None  # by the peer, or by a fault
        self.is_shut_down = False  # nothing more is written
        self.discarded_bytes = 0

    def start(self, sock: socket.socket) -> None:
        """Read and write from now on; takes over the socket."""
        self.sock, self.ended = sock, self.context.loop.create_future()
        self.streams.add(self)
        self.task = self.context.spawn(self._serve(sock))
        # Not in the task's own finally: one that is cancelled before its first step never runs.
        self.task.add_done_callback(lambda _: self._end(sock))
        self.flush()

    def flush(self) -> None:
        """Write the protocol's output, in a task of its own."""
        if self.sock is not None and self.writer is None:
            self.writer = self.context.spawn(self._write(self.sock))

    def write_now(self) -> None:
        """Write at once, before anything is written on another stream; what doesn't fit follows."""
        if self.sock is None or self.writing_since < math.inf:
            self.flush()  # nothing may go between the bytes of a write that is under way
            return
        data, sock = self._pop_output(), self.sock
        if sock is None:  # taking the output has ended the connection
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
        """Write what is left, then end the stream: at once if all of it fits, so that no request that
        arrives meanwhile is read and discarded."""
        self.write_now()
        if not self.unsent and self.writing_since == math.inf:
            self._shut_down()
        self.flush()  # waits for the peer's end

    def _shut_down(self) -> None:
        if self.sock is not None and not self.is_shut_down:
            self.is_shut_down = True
            with contextlib.suppress(OSError):  # the peer has gone: reading will show it
                self.sock.shutdown(socket.SHUT_WR)

    def _pop_output(self) -> bytes:
        unsent, self.unsent = self.unsent, b""
        return unsent + self.protocol.pop_output()

    def is_writing(self) -> bool:
        """Whether something is being written."""
        return self.writer is not None and not self.is_shut_down

    def abort(self) -> None:
        """Close at once.

        The task closes the socket some turns of the loop later; the shutdown lets the peer see the end before
        anything is written elsewhere.
        """
        if self.sock is not None:
            with contextlib.suppress(OSError):
                self.sock.shutdown(socket.SHUT_RDWR)
            self.sock = None
        if self.task is not None:
            self.task.cancel()

    async def _serve(self, sock: socket.socket) -> None:
        """Read until the end. A fault on one stream ends neither the program nor other streams."""
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
        self.protocol.on_closed()

    async def _read(self, sock: socket.socket) -> None:
        assert self.ended is not None
        self.context.loop.add_reader(sock, self.read_available)
        try:
            await self.ended
        finally:
            self.context.loop.remove_reader(sock)

    def read_available(self) -> bool:
        """Read what has arrived already; whether there were bytes. The protocol gets an end at once.

        Bytes stay with the system until the protocol takes them, so that whoever is about to close the stream
        can look there first.
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

    def _receive(self, sock: socket.socket, ended: asyncio.Future[None]) -> bool:
        """One read; whether the protocol got bytes of it.

        Behind the shutdown what still arrives is read and discarded: closed with bytes unread, the connection
        would be reset and the client never see its last response.
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
        """Read no more for a moment: repeated at once, a read that lacks memory would spin."""
        self.context.loop.remove_reader(sock)
        self.context.loop.call_later(RESOURCE_RETRY_S, self._resume, sock)

    def _resume(self, sock: socket.socket) -> None:
        if self.sock is sock and self.ended is not None and not self.ended.done():
            self.context.loop.add_reader(sock, self.read_available)

    async def _write(self, sock: socket.socket) -> None:
        try:
            while data := self._pop_output():
                self.writing_since = self.context.loop.time()
                await self.context.send_all(sock, data)
                self.writing_since = math.inf
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
        """Give the peer time to read the last byte, and more while it still sends."""
        loop = self.context.loop
        deadline = loop.time() + MAX_LINGER_S
        discarded_before = -1
        while discarded_before != self.discarded_bytes and loop.time() < deadline:
            discarded_before = self.discarded_bytes
            await asyncio.sleep(LINGER_S)
