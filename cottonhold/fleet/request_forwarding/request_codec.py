"""A request, and its rows, as they are handed on from one dispatcher to another. Pure."""

from __future__ import annotations

import hashlib
import struct
from collections.abc import Sequence
from dataclasses import dataclass

from cottonhold.fleet.message_format import MessageError

HEAD = struct.Struct("!BddiQ")  # flags, effort, room, tables, round
SIZE = struct.Struct("!H")
RETRY, NAMED = 1, 2  # flags: a client's retry; tenant and idempotency key follow


def pin_key(key: str) -> bytes:
    """The pin of an order key: 8 bytes, the same on every instance."""
    return hashlib.blake2b(key.encode(), digest_size=8).digest()


@dataclass(slots=True, frozen=True)
class Handed:
    """A client's request as another dispatcher needs it: see gateway.Taken. Its time goes beside it.

    round: all of a key that are with its owner at once have the same; never used again."""

    ref: str
    service: str
    key: str
    effort: float
    room: float
    tables: int
    retry: bool
    body: bytes
    round: int = 0
    tenant: str = ""
    token: str = ""


def pack_request(request: Handed) -> bytes:
    """Its bytes."""
    named = (request.tenant, request.token) if request.tenant or request.token else ()
    flags = RETRY * request.retry | NAMED * bool(named)
    head = HEAD.pack(flags, request.effort, request.room, request.tables, request.round)
    texts = [text.encode() for text in (request.ref, request.service, request.key, *named)]
    return head + b"".join(SIZE.pack(len(text)) + text for text in texts) + request.body


def read_request(data: bytes) -> Handed:
    """The meaning of a request. Raises MessageError."""
    try:
        flags, effort, room, tables, round_ = HEAD.unpack_from(data)
        at, texts = HEAD.size, list[str]()
        for _ in range(5 if flags & NAMED else 3):
            (size,) = SIZE.unpack_from(data, at)
            at += SIZE.size + size
            if at > len(data):
                raise MessageError("truncated")
            texts.append(data[at - size : at].decode())
    except (struct.error, UnicodeDecodeError):
        raise MessageError("request") from None
    if not (0.0 <= effort < 1e12 and 0.0 <= room < 1e12) or flags > RETRY | NAMED or not all(texts[:3]):
        raise MessageError("request")
    ref, service, key, *named = texts
    tenant, token = named or ("", "")
    retry = bool(flags & RETRY)
    return Handed(ref, service, key, effort, room, tables, retry, data[at:], round_, tenant, token)


def pack_rows(rows: Sequence[Sequence[bytes]]) -> bytes:
    """Rows as cells with their sizes."""
    parts = [SIZE.pack(len(rows))]
    for row in rows:
        parts.append(SIZE.pack(len(row)))
        parts += [SIZE.pack(len(cell)) + cell for cell in row]
    return b"".join(parts)


def read_rows(data: bytes) -> list[list[bytes]]:
    """The meaning of rows. Raises MessageError."""
    at, rows = SIZE.size, list[list[bytes]]()
    try:
        for _ in range(SIZE.unpack_from(data)[0]):
            (cells,) = SIZE.unpack_from(data, at)
            at, row = at + SIZE.size, list[bytes]()
            for _ in range(cells):
                (size,) = SIZE.unpack_from(data, at)
                at += SIZE.size + size
                row.append(data[at - size : at])
            rows.append(row)
    except struct.error:
        raise MessageError("rows") from None
    if at != len(data):
        raise MessageError("rows")
    return rows
