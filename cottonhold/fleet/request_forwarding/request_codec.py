"""Codec of a forwarded request and of the rows that answer it. Pure."""

from __future__ import annotations

import hashlib
import struct
from collections.abc import Sequence
from dataclasses import dataclass

from cottonhold.fleet.message_format import MessageError

HEADER_FORMAT = struct.Struct("!BddiQ")  # flags, estimated work and memory, tables, round
SIZE_FORMAT = struct.Struct("!H")
MAX_ESTIMATE = 1e12
IS_RETRY = 1  # flag: a client's retry
HAS_TENANT = 2  # flag: the tenant and the idempotency key follow


def affinity_key(key: str) -> bytes:
    """Return the key of an ordering key in session affinity: 8 bytes, the same on every instance."""
    return hashlib.blake2b(key.encode(), digest_size=8).digest()


@dataclass(slots=True, frozen=True)
class ForwardedRequest:
    """A client's request as another dispatcher needs it; its remaining time is sent beside it.

    round: all requests of a key that are with its owner at the same time have the same number, which is never
    used again.
    """

    request_id: str
    class_name: str
    ordering_key: str
    estimated_work_ms: float
    estimated_memory_mb: float
    tables: int
    is_retry: bool
    body: bytes
    round: int = 0
    tenant: str = ""
    idempotency_key: str = ""


def encode_request(request: ForwardedRequest) -> bytes:
    """Encode a request."""
    has_tenant = bool(request.tenant or request.idempotency_key)
    tenant_texts = (request.tenant, request.idempotency_key) if has_tenant else ()
    flags = IS_RETRY * request.is_retry | HAS_TENANT * has_tenant
    head = HEADER_FORMAT.pack(
        flags, request.estimated_work_ms, request.estimated_memory_mb, request.tables, request.round
    )
    texts = (request.request_id, request.class_name, request.ordering_key, *tenant_texts)
    encoded = [text.encode() for text in texts]
    return head + b"".join(SIZE_FORMAT.pack(len(text)) + text for text in encoded) + request.body


def decode_request(data: bytes) -> ForwardedRequest:
    """Decode a request. Raises MessageError."""
    try:
        flags, estimated_work_ms, estimated_memory_mb, tables, round_ = HEADER_FORMAT.unpack_from(data)
        position, texts = HEADER_FORMAT.size, list[str]()
        for _ in range(5 if flags & HAS_TENANT else 3):
            (size,) = SIZE_FORMAT.unpack_from(data, position)
            position += SIZE_FORMAT.size + size
            if position > len(data):
                raise MessageError("truncated")
            texts.append(data[position - size : position].decode())
    except (struct.error, UnicodeDecodeError):
        raise MessageError("request") from None
    if not (0.0 <= estimated_work_ms < MAX_ESTIMATE and 0.0 <= estimated_memory_mb < MAX_ESTIMATE):
        raise MessageError("request")
    if flags > IS_RETRY | HAS_TENANT or not all(texts[:3]):
        raise MessageError("request")
    request_id, class_name, ordering_key, *tenant_texts = texts
    tenant, idempotency_key = tenant_texts or ("", "")
    return ForwardedRequest(
        request_id=request_id,
        class_name=class_name,
        ordering_key=ordering_key,
        estimated_work_ms=estimated_work_ms,
        estimated_memory_mb=estimated_memory_mb,
        tables=tables,
        is_retry=bool(flags & IS_RETRY),
        body=data[position:],
        round=round_,
        tenant=tenant,
        idempotency_key=idempotency_key,
    )


def encode_rows(rows: Sequence[Sequence[bytes]]) -> bytes:
    """Encode rows as cells with their sizes."""
    parts = [SIZE_FORMAT.pack(len(rows))]
    for row in rows:
        parts.append(SIZE_FORMAT.pack(len(row)))
        parts += [SIZE_FORMAT.pack(len(cell)) + cell for cell in row]
    return b"".join(parts)


def decode_rows(data: bytes) -> list[list[bytes]]:
    """Decode rows. Raises MessageError."""
    position, rows = SIZE_FORMAT.size, list[list[bytes]]()
    try:
        for _ in range(SIZE_FORMAT.unpack_from(data)[0]):
            (cells,) = SIZE_FORMAT.unpack_from(data, position)
            position, row = position + SIZE_FORMAT.size, list[bytes]()
            for _ in range(cells):
                (size,) = SIZE_FORMAT.unpack_from(data, position)
                position += SIZE_FORMAT.size + size
                row.append(data[position - size : position])
            rows.append(row)
    except struct.error:
        raise MessageError("rows") from None
    if position != len(data):
        raise MessageError("rows")
    return rows
