"""Encoding and decoding of MySQL client protocol 4.1 packets, without state and I/O."""

from __future__ import annotations

import re
from collections.abc import Iterable, Sequence
from typing import NamedTuple

AUTOCOMMIT = b"\x02\x00"
UTF8 = 33
COM_QUIT, COM_INIT_DB, COM_QUERY, COM_PING, COM_RESET_CONNECTION = 0x01, 0x02, 0x03, 0x0E, 0x1F
HEADER_BYTES = 4  # three for the payload's length and one for the sequence number
MAX_ERROR_TEXT_BYTES = 500
MAX_SHORT_STRING = 250  # longest string, in bytes, whose length is encoded in one byte
ResultRows = Iterable[Sequence[bytes]]  # rows of text cells, one cell for each column
COLUMNS = (b"c1", b"c2", b"c3")
# Matching takes linear time: no two parts can match the same whitespace, and the number of digits is bounded.
KILL = re.compile(rb"\s*KILL\s+(QUERY\s+|CONNECTION\s+)?(\d{1,20})\s*(?:;\s*)?\Z", re.IGNORECASE)


class ErrorCode(NamedTuple):
    """A MySQL error number with its SQLSTATE."""

    number: int
    sql_state: bytes


HANDSHAKE_ERROR = ErrorCode(1043, b"08S01")
ACCESS_DENIED = ErrorCode(1045, b"28000")
UNKNOWN_COMMAND = ErrorCode(1047, b"08S01")
UNKNOWN_DATABASE = ErrorCode(1049, b"42000")
SERVER_SHUTDOWN = ErrorCode(1053, b"08S01")
NO_SUCH_THREAD = ErrorCode(1094, b"HY000")
QUERY_FAILED = ErrorCode(1105, b"HY000")
PACKET_TOO_LARGE = ErrorCode(1153, b"08S01")
PACKETS_OUT_OF_ORDER = ErrorCode(1156, b"08S01")
READ_TIMEOUT = ErrorCode(1159, b"08S01")
REJECTED = ErrorCode(1226, b"42000")
QUERY_INTERRUPTED = ErrorCode(1317, b"70100")


class ProtocolError(Exception):
    """The client violated the protocol: the error is sent to it, then its connection is closed."""

    def __init__(self, code: ErrorCode, text: str) -> None:
        super().__init__(text)
        self.code = code


class KillCommand(NamedTuple):
    """A decoded KILL statement."""

    connection_id: int
    only_query: bool  # KILL QUERY, which keeps the connection open


def encode_string(text: bytes) -> bytes:
    """Encode a length-encoded string."""
    size = len(text)
    if size <= MAX_SHORT_STRING:
        return bytes((size,)) + text
    if size < 1 << 16:
        return b"\xfc" + size.to_bytes(2, "little") + text
    return b"\xfd" + size.to_bytes(3, "little") + text


def encode_packet(payload: bytes, sequence: int) -> bytes:
    """Prepend the packet header to a payload."""
    return len(payload).to_bytes(3, "little") + bytes((sequence,)) + payload


def encode_column(name: bytes) -> bytes:
    """Encode the definition of a text column."""
    head = b"".join(encode_string(part) for part in (b"def", b"", b"", b"", name, b""))
    return head + b"\x0c" + UTF8.to_bytes(2, "little") + b"\xff\xff\xff\x00\xfd\x00\x00\x1f\x00\x00"


def encode_error(code: ErrorCode, text: str) -> bytes:
    """Encode the payload of an error packet; a long text is truncated."""
    return (
        b"\xff"
        + code.number.to_bytes(2, "little")
        + b"#"
        + code.sql_state
        + text.encode()[:MAX_ERROR_TEXT_BYTES]
    )


EOF = b"\xfe\x00\x00" + AUTOCOMMIT
OK = b"\x00\x00\x00" + AUTOCOMMIT + b"\x00\x00"
RESULT_HEAD = (bytes((len(COLUMNS),)), *[encode_column(name) for name in COLUMNS], EOF)
# Precomputed encodings of short string lengths, packet lengths and sequence numbers, indexed by value.
SHORT_LENGTHS = [bytes((size,)) for size in range(MAX_SHORT_STRING + 1)]
PACKET_LENGTHS = [size.to_bytes(3, "little") for size in range(MAX_SHORT_STRING + 1)]
SEQUENCE_NUMBERS = [bytes((number,)) for number in range(256)]


def encode_rows(rows: ResultRows, sequence: int) -> list[bytes]:
    """Encode the rows of a result as packets.

    Rows of up to MAX_SHORT_STRING bytes are encoded from the precomputed tables, which is faster.

    Returns:
        Pieces of the packets, to be joined by the caller.
    """
    parts: list[bytes] = []
    for a, b, c in rows:
        number, size = SEQUENCE_NUMBERS[sequence & 0xFF], len(a) + len(b) + len(c) + 3
        sequence += 1
        if size <= MAX_SHORT_STRING:
            parts += (
                PACKET_LENGTHS[size],
                number,
                SHORT_LENGTHS[len(a)],
                a,
                SHORT_LENGTHS[len(b)],
                b,
                SHORT_LENGTHS[len(c)],
                c,
            )
        else:
            payload = encode_string(a) + encode_string(b) + encode_string(c)
            parts += (len(payload).to_bytes(3, "little"), number, payload)
    return parts


def decode_kill(statement: bytes) -> KillCommand | None:
    """Decode a KILL statement; return None for any other statement."""
    match = KILL.match(statement)
    if match is None:
        return None
    return KillCommand(int(match[2]), (match[1] or b"").strip().upper() == b"QUERY")


def printable(name: bytes) -> str:
    """Return a name sent by a client, truncated, for use in the text of an error."""
    return name.decode("utf-8", "replace")[:40]
