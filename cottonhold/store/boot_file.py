"""The boot file: which boot this is, which record file counts, and whether the last boot was closed."""

from __future__ import annotations

import struct
import zlib
from dataclasses import dataclass

_FORM = struct.Struct("<4sBQQq")
_MAGIC, _VERSION = b"chst", 1
_CHECKSUM_BYTES = 4
NOT_CLOSED = -1  # in place of the number of transactions


@dataclass(slots=True, frozen=True)
class BootFile:
    """The boot file. generation: the record file that counts. transactions_at_close: of that file at a clean
    close; NOT_CLOSED during the boot and after it was cut off.
    """

    boot_count: int
    generation: int
    transactions_at_close: int

    def encode(self) -> bytes:
        """The content, with a checksum at its end."""
        head = _FORM.pack(_MAGIC, _VERSION, self.boot_count, self.generation, self.transactions_at_close)
        return head + zlib.crc32(head).to_bytes(_CHECKSUM_BYTES, "little")

    @classmethod
    def decode(cls, content: bytes | None) -> BootFile | None:
        """The file's content; None if it is missing or garbled."""
        if content is None or len(content) != _FORM.size + _CHECKSUM_BYTES:
            return None
        head, checksum = content[:-_CHECKSUM_BYTES], int.from_bytes(content[-_CHECKSUM_BYTES:], "little")
        magic, version, boot_count, generation, transactions_at_close = _FORM.unpack(head)
        if zlib.crc32(head) != checksum or magic != _MAGIC or version != _VERSION:
            return None
        return cls(boot_count, generation, transactions_at_close)
