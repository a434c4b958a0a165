"""The boot file: the boot count, the current record file, and whether the last boot was closed cleanly."""

from __future__ import annotations

import struct
import zlib
from dataclasses import dataclass

_HEADER = struct.Struct("<4sBQQq")
_MAGIC, _VERSION = b"chst", 1
_CHECKSUM_BYTES = 4
NOT_CLOSED = -1  # value of `BootFile.transactions_at_close` without a clean close


@dataclass(slots=True, frozen=True)
class BootFile:
    """The content of the boot file.

    Attributes:
        boot_count: The number of the last boot.
        generation: The generation of the current record file.
        transactions_at_close: The number of transactions in that file at a clean close; NOT_CLOSED while the
            ledger is open and after it was interrupted.
    """

    boot_count: int
    generation: int
    transactions_at_close: int

    def encode(self) -> bytes:
        """Encode the content, with a checksum at its end."""
        head = _HEADER.pack(_MAGIC, _VERSION, self.boot_count, self.generation, self.transactions_at_close)
        return head + zlib.crc32(head).to_bytes(_CHECKSUM_BYTES, "little")

    @classmethod
    def decode(cls, content: bytes | None) -> BootFile | None:
        """Decode a file's content; return None if it is missing or corrupt."""
        if content is None or len(content) != _HEADER.size + _CHECKSUM_BYTES:
            return None
        head, checksum = content[:-_CHECKSUM_BYTES], int.from_bytes(content[-_CHECKSUM_BYTES:], "little")
        magic, version, boot_count, generation, transactions_at_close = _HEADER.unpack(head)
        if zlib.crc32(head) != checksum or magic != _MAGIC or version != _VERSION:
            return None
        return cls(boot_count, generation, transactions_at_close)
