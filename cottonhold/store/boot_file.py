"""The small life file's form: which boot it is, which book counts, and whether the last life was closed."""

from __future__ import annotations

import struct
import zlib
from dataclasses import dataclass

_LIFE = struct.Struct("<4sBQQq")
_MAGIC, _FORM = b"chst", 1


@dataclass(slots=True, frozen=True)
class Life:
    """The life file. generation: which book counts. turn: its transactions at a clean end, else -1."""

    boot: int
    generation: int
    turn: int

    def pack(self) -> bytes:
        """With a checksum at its end."""
        head = _LIFE.pack(_MAGIC, _FORM, self.boot, self.generation, self.turn)
        return head + zlib.crc32(head).to_bytes(4, "little")

    @classmethod
    def read(cls, content: bytes | None) -> Life | None:
        """None where it is missing or garbled."""
        if content is None or len(content) != _LIFE.size + 4:
            return None
        head, told = content[:-4], int.from_bytes(content[-4:], "little")
        magic, form, boot, generation, turn = _LIFE.unpack(head)
        if zlib.crc32(head) != told or magic != _MAGIC or form != _FORM:
            return None
        return cls(boot, generation, turn)
