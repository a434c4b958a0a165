"""Codec of a forwarded request and of the rows that answer it; does no I/O."""

from __future__ import annotations

import hashlib
import struct
from collections.abc import Sequence
from dataclasses import dataclass

from cottonhold.fleet.message_format import MessageError

HEADER_FORMAT = struct.Struct("!BddiQ")  # flags, estimated work (ms) and memory (MB), table group, round
SIZE_FORMAT = struct.Struct("!H")  # length of a text, number of rows, number of cells, or length of a cell
MAX_ESTIMATE = 1e12  # upper limit of the estimated work in ms and memory in MB
IS_RETRY = 1  # flag: the client sent the request as a retry
HAS_TENANT = 2  # flag: the message contains the tenant and the idempotency key


def affinity_key(key: str) -> bytes:
    """Return the 8-byte hash by which session affinity identifies an ordering key on every instance."""
    return hashlib.blake2b(key.encode(), digest_size=8).digest()


@dataclass(slots=True, frozen=True)
class ForwardedRequest:
    """A client's request as it is sent to another dispatcher; its remaining time is in the message header.

    Attributes:
        request_id: Id of the request at the origin.
        class_name: Name of its query class.
        ordering_key: Key whose requests have one owner.
        estimated_work_ms: Estimated work at an engine, in ms.
        estimated_memory_mb: Estimated memory at an engine, in MB.
        tables: Table group of the statement; -1 if it names none.
        is_retry: Whether the client sent it as a retry.
        body: The query.
        round: Number shared by all requests of a key that are at its owner at the same time; never reused.
        tenant: Tenant of the client; empty if there is none.
        idempotency_key: Key that is the same for all attempts of one request; empty if there is none.
    """

    request_id: str
    class_name: str
    ordering_key: str
    estimated_work_ms: float
    estimated_memory_mb: float
    table_group: int
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
    header = HEADER_FORMAT.pack(
        flags, request.estimated_work_ms, request.estimated_memory_mb, request.table_group, request.round
    )
    texts = (request.request_id, request.class_name, request.ordering_key, *tenant_texts)
    encoded = [text.encode() for text in texts]
    return header + b"".join(SIZE_FORMAT.pack(len(text)) + text for text in encoded) + request.body


def decode_request(data: bytes) -> ForwardedRequest:
    """Decode a request. Raises MessageError if it is malformed."""
    try:
        flags, estimated_work_ms, estimated_memory_mb, tables, round_ = HEADER_FORMAT.unpack_from(data)
        position, texts = HEADER_FORMAT.size, list[str]()
        for _ in range(5 if flags & HAS_TENANT else 3):
            (size,) = SIZE_FORMAT.unpack_from(data, position)
            position += SIZE_FORMAT.size + size
            if position > len(data):
                raise MessageError("truncated text in a forwarded request")
            texts.append(data[position - size : position].decode())
    except (struct.error, UnicodeDecodeError):
        raise MessageError("malformed forwarded request") from None
    if not (0.0 <= estimated_work_ms < MAX_ESTIMATE and 0.0 <= estimated_memory_mb < MAX_ESTIMATE):
        raise MessageError("estimate of a forwarded request out of range")
    if flags > IS_RETRY | HAS_TENANT or not all(texts[:3]):
        raise MessageError("unknown flags or an empty text in a forwarded request")
    request_id, class_name, ordering_key, *tenant_texts = texts
    tenant, idempotency_key = tenant_texts or ("", "")
    return ForwardedRequest(
        request_id=request_id,
        class_name=class_name,
        ordering_key=ordering_key,
        estimated_work_ms=estimated_work_ms,
        estimated_memory_mb=estimated_memory_mb,
        table_group=tables,
        is_retry=bool(flags & IS_RETRY),
        body=data[position:],
        round=round_,
        tenant=tenant,
        idempotency_key=idempotency_key,
    )


def encode_rows(rows: Sequence[Sequence[bytes]]) -> bytes:
    """Encode the number of rows, and each row as its number of cells and the cells with their lengths."""
    parts = [SIZE_FORMAT.pack(len(rows))]
    for row in rows:
        parts.append(SIZE_FORMAT.pack(len(row)))
        parts += [SIZE_FORMAT.pack(len(cell)) + cell for cell in row]
    return b"".join(parts)


def decode_rows(data: bytes) -> list[list[bytes]]:
    """Decode rows. Raises MessageError if they are malformed."""
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
        raise MessageError("truncated rows") from None
    if position != len(data):
        raise MessageError("truncated rows or bytes after the last row")
    return rows
