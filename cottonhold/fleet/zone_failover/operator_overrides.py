"""Overrides by which operators evacuate or return a zone, and their wire format; does no I/O.

Instances exchange their overrides and keep the newest one of each zone. Fields and their sizes in bytes:

    kind 1 | override count 1 | overrides, each:
        zone 2 | mode 1 | serial 4 | author 8 | remaining ms 4 | requested by 1 + n | reason 1 + n

The author of an override gives it a higher serial than that of any override of the zone it has received. Of
two overrides with equal serials, the one by the author with the higher id is newer. Messages contain the
remaining time because clocks may differ; each instance expires an override by its own clock.
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
MAX_OVERRIDES = 16  # maximum number of overrides that an instance stores, and of those in a message


class OverrideMode(IntEnum):
    """The effect of an override."""

    EVACUATE = 1
    RETURN = 2  # keeps the zone in service despite evidence against it, until the override expires
    CLEAR = 3  # withdraws the previous override


MODE_NAMES = {  # names in commands and status output
    OverrideMode.EVACUATE: "leave",
    OverrideMode.RETURN: "return",
    OverrideMode.CLEAR: "free",
}


@dataclass(slots=True, frozen=True)
class Override:
    """An override of a zone.

    Attributes:
        zone: Number of the zone, see `zone_number`.
        mode: Effect of the override.
        serial: Higher than the serials of the zone's overrides that the author had received.
        author: Id of the member at which the override was issued.
        expires_at: Time at which the override expires, in ms of this instance's clock.
        requested_by: Operator who requested it.
        reason: Reason that the operator gave.
    """

    zone: int
    mode: OverrideMode
    serial: int
    author: int
    expires_at: float
    requested_by: str
    reason: str

    @property
    def stamp(self) -> tuple[int, int]:
        """Serial and author; of two overrides of a zone the one with the higher stamp is newer."""
        return self.serial, self.author


def truncate_utf8(text: str, max_bytes: int) -> str:
    """Return the longest beginning of a text that fits into max_bytes of UTF-8."""
    return text.encode()[:max_bytes].decode(errors="ignore")


def encode_overrides(now: float, overrides: Iterable[Override], max_bytes: int) -> bytes:
    """Encode a message of at most max_bytes with as many of these overrides as fit."""
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
    """Decode the overrides of a message that arrived at `now`. Raises MessageError if it is malformed."""
    overrides, offset = [], 2
    try:
        for _ in range(data[1]):
            override, offset = _decode(now, data, offset)
            overrides.append(override)
    except (struct.error, IndexError, ValueError):
        raise MessageError("malformed or truncated override") from None
    if offset != len(data):
        raise MessageError("bytes after the last override")
    return overrides


def _decode(now: float, data: bytes, offset: int) -> tuple[Override, int]:
    """Decode the override that begins at an offset, and return it with the offset of its end."""
    zone, mode, serial, author, remaining_ms = ENTRY.unpack_from(data, offset)
    offset += ENTRY.size
    requested_by, offset = _decode_text(data, offset, MAX_REQUESTED_BY_BYTES)
    reason, offset = _decode_text(data, offset, MAX_REASON_BYTES)
    expires_at = now + remaining_ms
    return Override(zone, OverrideMode(mode), serial, author, expires_at, requested_by, reason), offset


def _decode_text(data: bytes, offset: int, max_bytes: int) -> tuple[str, int]:
    """Decode the text that begins at an offset, and return it with the offset of its end."""
    begin, end = offset + 1, offset + 1 + data[offset]
    if data[offset] > max_bytes or end > len(data):
        raise MessageError("text of an override is too long or truncated")
    return data[begin:end].decode(), end


class Overrides:
    """The newest override of each zone."""

    def __init__(self, self_id: int) -> None:
        self.self_id = self_id
        self.known: dict[int, Override] = {}

    def issue(
        self, zone: int, mode: OverrideMode, expires_at: float, requested_by: str, reason: str
    ) -> Override:
        """Issue a new override by this instance and return it; texts that are too long are truncated."""
        previous = self.known.get(zone)
        override = Override(
            zone,
            mode,
            (previous.serial if previous else 0) + 1,
            self.self_id,
            expires_at,
            truncate_utf8(requested_by, MAX_REQUESTED_BY_BYTES),
            truncate_utf8(reason, MAX_REASON_BYTES),
        )
        self.known[zone] = override
        return override

    def apply(self, override: Override) -> bool:
        """Merge a received override; return whether it replaced an older one or was the first of its zone."""
        previous = self.known.get(override.zone)
        if previous is not None and override.stamp <= previous.stamp:
            return False
        if len(self.known) >= MAX_OVERRIDES and previous is None:
            return False
        self.known[override.zone] = override
        return True

    def in_force(self, now: float, zone: int) -> Override | None:
        """Return the override of a zone unless it has expired or been withdrawn."""
        override = self.known.get(zone)
        if override is None or override.mode is OverrideMode.CLEAR or now >= override.expires_at:
            return None
        return override

    def digest(self) -> int:
        """Return a hash that is equal at instances with the same overrides."""
        stamps = sorted((override.zone, *override.stamp) for override in self.known.values())
        return int.from_bytes(hashlib.blake2b(repr(stamps).encode(), digest_size=4).digest(), "big")
