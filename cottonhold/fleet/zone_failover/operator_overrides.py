"""Zones that operators evacuate or return by hand: merged by the newest override of each zone. Pure.

    kind 1 | count 1 | overrides, each: zone 2 | mode 1 | serial 4 | author 8 | remaining ms 4 |
    requested by 1 + n | reason 1 + n

`serial` grows with each override of a zone that its author knew of; of equal ones the higher author counts.
How long an override still holds travels as a remaining time, since clocks may differ: it expires by each
instance's own clock.
"""

from __future__ import annotations

import hashlib
import struct
from collections.abc import Iterable
from dataclasses import dataclass
from enum import IntEnum

from cottonhold.fleet.message_format import MAX_UINT32, MessageError
from cottonhold.fleet.zone_failover.messages import OVERRIDES

ENTRY = struct.Struct("!HBIQI")
MAX_REQUESTED_BY_BYTES = 24
MAX_REASON_BYTES = 80
MAX_OVERRIDES = 16


class OverrideMode(IntEnum):
    """What is ordered."""

    EVACUATE = 1
    RETURN = 2  # evidence against the zone is ignored until the override expires
    CLEAR = 3  # the override before is withdrawn


MODE_NAMES = {  # as operators know them
    OverrideMode.EVACUATE: "leave",
    OverrideMode.RETURN: "return",
    OverrideMode.CLEAR: "free",
}


@dataclass(slots=True, frozen=True)
class Override:
    """An override of a zone, by its number. expires_at: in ms of this instance's clock."""

    zone: int
    mode: OverrideMode
    serial: int
    author: int
    expires_at: float
    requested_by: str
    reason: str

    @property
    def stamp(self) -> tuple[int, int]:
        """Of two overrides of a zone the one with the higher stamp is newer."""
        return self.serial, self.author


def truncate_utf8(text: str, max_bytes: int) -> str:
    """So much of a text as fits so many bytes of UTF-8."""
    return text.encode()[:max_bytes].decode(errors="ignore")


def encode_overrides(now: float, overrides: Iterable[Override], max_bytes: int) -> bytes:
    """A message with as many of these overrides as fit."""
    parts, remaining = list[bytes](), max_bytes - 2
    for override in overrides:
        part = _encode(now, override)
        if len(part) <= remaining and len(parts) < MAX_OVERRIDES:
            parts.append(part)
            remaining -= len(part)
    return bytes((OVERRIDES, len(parts))) + b"".join(parts)


def _encode(now: float, override: Override) -> bytes:
    remaining_ms = min(max(int(override.expires_at - now), 0), MAX_UINT32)
    header = ENTRY.pack(override.zone, override.mode, override.serial, override.author, remaining_ms)
    texts = (
        truncate_utf8(override.requested_by, MAX_REQUESTED_BY_BYTES).encode(),
        truncate_utf8(override.reason, MAX_REASON_BYTES).encode(),
    )
    return header + b"".join(bytes([len(text)]) + text for text in texts)


def decode_overrides(now: float, data: bytes) -> list[Override]:
    """The overrides of a message. Raises MessageError."""
    overrides, offset = [], 2
    try:
        for _ in range(data[1]):
            override, offset = _decode(now, data, offset)
            overrides.append(override)
    except (struct.error, IndexError, ValueError):
        raise MessageError("override") from None
    if offset != len(data):
        raise MessageError("too long")
    return overrides


def _decode(now: float, data: bytes, offset: int) -> tuple[Override, int]:
    """The override that begins at an offset, and where it ends."""
    zone, mode, serial, author, remaining_ms = ENTRY.unpack_from(data, offset)
    offset += ENTRY.size
    requested_by, offset = _decode_text(data, offset, MAX_REQUESTED_BY_BYTES)
    reason, offset = _decode_text(data, offset, MAX_REASON_BYTES)
    expires_at = now + remaining_ms
    return Override(zone, OverrideMode(mode), serial, author, expires_at, requested_by, reason), offset


def _decode_text(data: bytes, offset: int, max_bytes: int) -> tuple[str, int]:
    """The text that begins at an offset, and where it ends."""
    begin, end = offset + 1, offset + 1 + data[offset]
    if data[offset] > max_bytes or end > len(data):
        raise MessageError("text")
    return data[begin:end].decode(), end


class Overrides:
    """The newest override of each zone."""

    def __init__(self, self_id: int) -> None:
        self.self_id = self_id
        self.known: dict[int, Override] = {}

    def issue(
        self, zone: int, mode: OverrideMode, expires_at: float, requested_by: str, reason: str
    ) -> Override:
        """A new override by this instance."""
        before = self.known.get(zone)
        override = Override(
            zone,
            mode,
            (before.serial if before else 0) + 1,
            self.self_id,
            expires_at,
            truncate_utf8(requested_by, MAX_REQUESTED_BY_BYTES),
            truncate_utf8(reason, MAX_REASON_BYTES),
        )
        self.known[zone] = override
        return override

    def apply(self, override: Override) -> bool:
        """Merge an override; returns whether it was news."""
        before = self.known.get(override.zone)
        if before is not None and override.stamp <= before.stamp:
            return False
        if len(self.known) >= MAX_OVERRIDES and before is None:
            return False
        self.known[override.zone] = override
        return True

    def in_force(self, now: float, zone: int) -> Override | None:
        """The override of a zone that has not expired or been withdrawn."""
        override = self.known.get(zone)
        if override is None or override.mode is OverrideMode.CLEAR or now >= override.expires_at:
            return None
        return override

    def digest(self) -> int:
        """Equal where the same overrides are known."""
        stamps = sorted((override.zone, *override.stamp) for override in self.known.values())
        return int.from_bytes(hashlib.blake2b(repr(stamps).encode(), digest_size=4).digest(), "big")
