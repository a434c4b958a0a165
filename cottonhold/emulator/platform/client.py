"""A client of the MySQL protocol 4.1 that checks what it reads, and can stop in the middle of anything."""

from __future__ import annotations

import asyncio
import secrets
import socket
import struct
from dataclasses import dataclass, field
from enum import Enum

HEADER_BYTES = 4
COM_QUERY, COM_PING = b"\x03", b"\x0e"
OK, ERROR, EOF = 0x00, 0xFF, 0xFE
REFUSALS = (1040, 1203, 1226)
MAX_EOF_BYTES = 9  # a longer packet that begins like EOF is a row


def encode_packet(payload: bytes, sequence: int = 0) -> bytes:
    """Return a packet."""
    return len(payload).to_bytes(3, "little") + bytes((sequence,)) + payload


def encode_login() -> bytes:
    """Return the login packet."""
    flags = 0x1 | 0x8 | 0x200 | 0x2000 | 0x8000
    head = flags.to_bytes(4, "little") + (1 << 24).to_bytes(4, "little") + b"\x21" + bytes(23)
    return encode_packet(head + b"app\x00" + b"\x00" + b"dw\x00", 1)


def new_request_id() -> str:
    """Return a new request id: 16 hex digits."""
    return secrets.token_hex(8)


def encode_query(
    class_name: str, request_id: str, timeout_ms: int, key: str | None = None, padding: int = 0
) -> bytes:
    """Return the packet of a request; `padding` is the number of bytes that a comment adds to it."""
    order = f",lookup={key}" if key else ""
    fields = f"service={class_name},ref={request_id},allow={timeout_ms},effort=20.0,room=64{order}"
    group = int(key or request_id, 16) % 20
    verb = "INSERT INTO" if key else "SELECT day FROM"
    text = f"/* {fields} */ {verb} sales_{group}.orders"
    if padding:
        text += f" /* {'x' * padding} */"
    return encode_packet(COM_QUERY + text.encode())


class Verdict(Enum):
    """What a client concludes from an answer."""

    SERVED = "served"
    REFUSED = "refused"
    FAILED = "failed"
    OK = "ok"
    UNREADABLE = "unreadable"
    NONE = "none"  # the connection ended without a whole answer


@dataclass(slots=True)
class Answer:
    """An answer to a command."""

    verdict: Verdict
    text: str = ""
    rows: list[bytes] = field(default_factory=list)


class UnreadableError(Exception):
    """A packet has a wrong sequence number or an impossible form."""


class Client:
    """One connection. Methods raise OSError or asyncio.IncompleteReadError if it has ended."""

    def __init__(self, address: str) -> None:
        self.host, _, port = address.rpartition(":")
        self.port = int(port)
        self.connection_id = 0
        self.reader: asyncio.StreamReader
        self.writer: asyncio.StreamWriter

    async def open(self) -> Client:
        """Connect without sending anything."""
        self.reader, self.writer = await asyncio.open_connection(self.host, self.port)
        return self

    async def connect(self) -> Client:
        """Connect and log in."""
        await self.open()
        self.writer.write(encode_login())
        await self.read_login_answer()
        return self

    async def read_login_answer(self) -> None:
        """Read the greeting and the answer to the login."""
        greeting = await self.read_packet(0)
        rest = greeting[greeting.index(b"\x00") + 1 :]
        self.connection_id = int.from_bytes(rest[:4], "little")
        reply = await self.read_packet(2)
        if reply[0] != OK:
            raise ConnectionError(f"the login was refused: {reply[9:].decode(errors='replace')}")

    async def read_packet(self, sequence: int) -> bytes:
        """Read a packet, which must have this sequence number.

        Raises:
            UnreadableError: It has another one, or is empty.
        """
        head = await self.reader.readexactly(HEADER_BYTES)
        payload = await self.reader.readexactly(int.from_bytes(head[:3], "little"))
        if head[3] != sequence & 0xFF or not payload:
            raise UnreadableError(f"packet {head[3]} instead of {sequence & 0xFF}: {payload[:60]!r}")
        return payload

    async def ping(self) -> Answer:
        """Send COM_PING and return its answer."""
        self.writer.write(encode_packet(COM_PING))
        return await self.read_answer()

    async def query(
        self, class_name: str, request_id: str, timeout_ms: int, key: str | None = None, padding: int = 0
    ) -> Answer:
        """Send a request and return its answer."""
        self.writer.write(encode_query(class_name, request_id, timeout_ms, key, padding))
        return await self.read_answer()

    async def say(self, statement: str) -> Answer:
        """Send a statement without fields and return its answer."""
        self.writer.write(encode_packet(COM_QUERY + statement.encode()))
        return await self.read_answer()

    async def read_answer(self) -> Answer:
        """Read the answer to one command."""
        try:
            return await self._read_answer()
        except UnreadableError as error:
            return Answer(Verdict.UNREADABLE, str(error))
        except (OSError, asyncio.IncompleteReadError) as error:
            return Answer(Verdict.NONE, type(error).__name__)

    async def _read_answer(self) -> Answer:
        payload = await self.read_packet(1)
        if payload[0] == ERROR:
            code, text = int.from_bytes(payload[1:3], "little"), payload[9:].decode("utf-8", "replace")
            verdict = Verdict.REFUSED if code in REFUSALS else Verdict.FAILED
            return Answer(verdict, f"{code}: {text}")
        if payload[0] == OK:
            return Answer(Verdict.OK)
        sequence = 2
        for _ in range(payload[0] + 1):  # column definitions and EOF
            await self.read_packet(sequence)
            sequence += 1
        rows: list[bytes] = []
        while True:
            payload = await self.read_packet(sequence)
            sequence += 1
            if payload[0] == EOF and len(payload) < MAX_EOF_BYTES:
                return Answer(Verdict.SERVED, f"{len(rows)} rows", rows)
            rows.append(payload)

    def close(self) -> None:
        """Close the connection."""
        self.writer.close()

    def reset_at_close(self) -> None:
        """Let the close reset the connection, and discard what the system has not sent."""
        sock = self.writer.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
