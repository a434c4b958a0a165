"""Follows the event stream that reports engines, by long polling."""

from __future__ import annotations

import asyncio
import random
import socket

from cottonhold.discovery.event_stream import FIRST_BYTE_TIMEOUT_MS, MAX_ANSWER_MS, EventStream
from cottonhold.discovery.model import Address
from cottonhold.message_validation import WireError
from cottonhold.transport.connector import Connector
from cottonhold.transport.io_context import IoContext

READ_BYTES = 32768
INITIAL_BACKOFF_S, MAX_BACKOFF_S = 0.05, 1.0


class EventStreamClient:
    """Keeps a long poll to the event stream open and owns its socket."""

    def __init__(self, context: IoContext, connector: Connector) -> None:
        self.context, self.connector = context, connector

    async def follow(self, stream: EventStream, address: Address) -> None:
        """Poll until cancelled; a broken connection is reopened with exponential backoff."""
        backoff_s = INITIAL_BACKOFF_S
        while True:
            sock = None
            try:
                sock = await self.connector.dial(address, FIRST_BYTE_TIMEOUT_MS / 1000)
                stream.restart()
                while stream.is_connection_reusable:
                    backoff_s = await self._poll_once(stream, sock, backoff_s)
            except (OSError, WireError) as error:
                self.context.counters.add("bus_broken")
                self.context.log(f"event stream: {type(error).__name__}: {error}")
            except Exception as error:
                self.context.counters.add("bus_faults")
                self.context.log(f"event stream: {type(error).__name__}: {error}")
            finally:
                if sock is not None:
                    sock.close()
            backoff_s = await self._back_off(backoff_s)

    async def _poll_once(self, stream: EventStream, sock: socket.socket, backoff_s: float) -> float:
        """Poll once, then pause if the source answered early without news; return the next backoff, in s."""
        started_at, previous_offset = self.context.loop.time(), stream.offset
        await self._poll(stream, sock)
        if stream.offset > previous_offset or self.context.loop.time() - started_at > MAX_BACKOFF_S:
            return INITIAL_BACKOFF_S
        return await self._back_off(backoff_s)

    async def _back_off(self, backoff_s: float) -> float:
        """Wait before the next poll; return the next backoff, in s. Jitter spreads reconnects of clients."""
        await asyncio.sleep(backoff_s * (0.5 + 0.5 * random.random()))
        return min(backoff_s * 2, MAX_BACKOFF_S)

    async def _poll(self, stream: EventStream, sock: socket.socket) -> None:
        """Send one request and receive its answer; reads extend the deadline, by at most MAX_ANSWER_MS."""
        loop = self.context.loop
        buffer = bytearray(READ_BYTES)
        deadline = loop.time() + stream.first_byte_timeout_ms() / 1000
        async with asyncio.timeout_at(deadline) as timeout:
            await loop.sock_sendall(sock, stream.request())
            is_complete = False
            while not is_complete:
                count = await loop.sock_recv_into(sock, buffer)
                if count == 0:
                    stream.on_connection_closed()
                    return
                extended = min(loop.time() + FIRST_BYTE_TIMEOUT_MS / 1000, deadline + MAX_ANSWER_MS / 1000)
                timeout.reschedule(max(deadline, extended))
                is_complete = stream.receive(bytes(memoryview(buffer)[:count]))
