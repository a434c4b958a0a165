"""The ids of requests that were sent to engines, in a table of fixed size.

A request that may have run must not be sent again unless its class allows it, even if its id comes again on
another connection after its client has left. The table is a hash table of buckets; in a full bucket a new id
takes the place of the oldest. Its bytes are the same in memory and in the file that processes share.
"""

from __future__ import annotations

import struct
from dataclasses import dataclass

# Id; time in ms, times two, plus 1 if the request may be repeated. The second number of an empty entry is 0.
ENTRY = struct.Struct(">QQ")
ENTRIES_PER_BUCKET = 8
BUCKET_BYTES = ENTRY.size * ENTRIES_PER_BUCKET
BUCKETS = 512
TABLE_BYTES = BUCKET_BYTES * BUCKETS
EMPTY = bytes(ENTRY.size)


@dataclass(slots=True, frozen=True)
class SentRequest:
    """An entry of the table.

    Attributes:
        request_id: The id as a number.
        sent_at: When it was first sent, in whole ms of the machine's monotonic clock; over 0.
        is_repeatable: Whether the request may run again; then it is listed only while an attempt is out.
    """

    request_id: int
    sent_at: int
    is_repeatable: bool

    def encode(self) -> bytes:
        """Encode the entry."""
        return ENTRY.pack(self.request_id, self.sent_at * 2 + self.is_repeatable)

    @classmethod
    def decode(cls, data: bytes) -> SentRequest | None:
        """Decode an entry of ENTRY.size bytes; return None if it is empty."""
        request_id, packed = ENTRY.unpack(data)
        return cls(request_id, packed // 2, bool(packed % 2)) if packed else None


def number_of(request_id: str) -> int:
    """Return a request id of 16 hex digits as a number."""
    return int(request_id, 16)


def bucket_offset(request_id: int) -> int:
    """Return the position of an id's bucket in the table, in bytes."""
    return request_id % BUCKETS * BUCKET_BYTES


def find_in_bucket(bucket: bytes, request_id: int) -> SentRequest | None:
    """Return the entry of an id in a bucket; None if there is none, or the bucket is incomplete."""
    for start in range(0, len(bucket) - ENTRY.size + 1, ENTRY.size):
        entry = SentRequest.decode(bucket[start : start + ENTRY.size])
        if entry is not None and entry.request_id == request_id:
            return entry
    return None


class SentRequestTable:
    """The table of one process."""

    def __init__(self) -> None:
        self.data = bytearray(TABLE_BYTES)

    def find(self, request_id: int) -> SentRequest | None:
        """Return the entry of an id; None if there is none."""
        offset = bucket_offset(request_id)
        return find_in_bucket(bytes(self.data[offset : offset + BUCKET_BYTES]), request_id)

    def add(self, entry: SentRequest) -> int:
        """Add an entry, unless its id is listed; return its offset in bytes."""
        offset = self._offset(entry.request_id)
        if offset is None:
            offset = self._offset_of_oldest(bucket_offset(entry.request_id))
            self.data[offset : offset + ENTRY.size] = entry.encode()
        return offset

    def remove(self, request_id: int) -> int | None:
        """Remove an id; return the offset of its entry in bytes, None if there was none."""
        offset = self._offset(request_id)
        if offset is not None:
            self.data[offset : offset + ENTRY.size] = EMPTY
        return offset

    def merge(self, data: bytes) -> None:
        """Add the entries of an ended process's table that may not be repeated."""
        for start in range(0, min(len(data), TABLE_BYTES) - ENTRY.size + 1, ENTRY.size):
            entry = SentRequest.decode(data[start : start + ENTRY.size])
            if entry is not None and not entry.is_repeatable:
                self.add(entry)

    def _offset(self, request_id: int) -> int | None:
        start = bucket_offset(request_id)
        for offset in range(start, start + BUCKET_BYTES, ENTRY.size):
            known_id, packed = ENTRY.unpack_from(self.data, offset)
            if packed and known_id == request_id:
                return offset
        return None

    def _offset_of_oldest(self, start: int) -> int:
        """Return the offset of an empty entry of a bucket, or of the oldest one."""
        offsets = range(start, start + BUCKET_BYTES, ENTRY.size)
        return min(offsets, key=lambda offset: ENTRY.unpack_from(self.data, offset)[1])
