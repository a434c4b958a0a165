"""Zones left and returned by hand: who, why, until when; merged by the newest word on each zone. Pure.

    kind 1 | count 1 | orders, each: zone 2 | mode 1 | serial 4 | author 8 | left 4 | who 1 + n | why 1 + n

`serial` grows with each order on a zone that its author knew of; of equal ones the higher author counts. How
long an order still holds travels as a time left, since clocks may differ: it runs out by each one's own
clock.
"""

from __future__ import annotations

import hashlib
import struct
from collections.abc import Iterable
from dataclasses import dataclass
from enum import IntEnum

from cottonhold.fleet.message_format import MessageError
from cottonhold.fleet.zone_failover.messages import OVERRIDES

ORDER = struct.Struct("!HBIQI")
MOST_WHO, MOST_WHY = 24, 80  # bytes
MAX_OVERRIDES = 16


class OverrideMode(IntEnum):
    """What is ordered."""

    EVACUATE = 1
    RETURN = 2  # back by hand: evidence against it is passed over until the end
    CLEAR = 3  # the order before is taken back


MODE_NAMES = {
    OverrideMode.EVACUATE: "leave",
    OverrideMode.RETURN: "return",
    OverrideMode.CLEAR: "free",
}  # as operators know them


@dataclass(slots=True, frozen=True)
class Override:
    """An order on a zone. `until`: on this instance's clock."""

    zone: int
    mode: OverrideMode
    serial: int
    author: int
    expires_at: float
    requested_by: str
    reason: str

    @property
    def stamp(self) -> tuple[int, int]:
        """What decides which of two orders on a zone is newer."""
        return self.serial, self.author


def truncate_utf8(text: str, most: int) -> str:
    """So much of a text as has at most so many bytes."""
    return text.encode()[:most].decode(errors="ignore")


def encode_overrides(now: float, orders: Iterable[Override], room: int) -> bytes:
    """A message with as many of these orders as fit."""
    parts, left = list[bytes](), room - 2
    for o in orders:
        who, why = (
            truncate_utf8(o.requested_by, MOST_WHO).encode(),
            truncate_utf8(o.reason, MOST_WHY).encode(),
        )
        head = ORDER.pack(
            o.zone, o.mode, o.serial, o.author, min(max(int(o.expires_at - now), 0), 0xFFFFFFFF)
        )
        part = head + bytes([len(who)]) + who + bytes([len(why)]) + why
        if len(part) <= left and len(parts) < MAX_OVERRIDES:
            parts.append(part)
            left -= len(part)
    return bytes((OVERRIDES, len(parts))) + b"".join(parts)


def decode_overrides(now: float, data: bytes) -> list[Override]:
    """The orders of a message. Raises MessageError."""
    found, at = [], 2
    try:
        for _ in range(data[1]):
            zone, mode, serial, author, left = ORDER.unpack_from(data, at)
            at += ORDER.size
            texts = []
            for most in (MOST_WHO, MOST_WHY):
                size = data[at]
                if size > most or at + 1 + size > len(data):
                    raise MessageError("text")
                texts.append(data[at + 1 : at + 1 + size].decode())
                at += 1 + size
            found.append(Override(zone, OverrideMode(mode), serial, author, now + left, *texts))
    except (struct.error, IndexError, ValueError):
        raise MessageError("order") from None
    if at != len(data):
        raise MessageError("too long")
    return found


class Overrides:
    """The newest order on each zone."""

    def __init__(self, me: int) -> None:
        self.self_id = me
        self.known: dict[int, Override] = {}

    def issue(self, zone: int, mode: OverrideMode, until: float, who: str, why: str) -> Override:
        """A new order of this instance."""
        before = self.known.get(zone)
        serial = (before.serial if before else 0) + 1
        order = Override(
            zone,
            mode,
            serial,
            self.self_id,
            until,
            truncate_utf8(who, MOST_WHO),
            truncate_utf8(why, MOST_WHY),
        )
        self.known[zone] = order
        return order

    def apply(self, order: Override) -> bool:
        """Merge an order; true if it was news."""
        before = self.known.get(order.zone)
        if before is not None and order.stamp <= before.stamp:
            return False
        if len(self.known) >= MAX_OVERRIDES and before is None:
            return False
        self.known[order.zone] = order
        return True

    def in_force(self, now: float, zone: int) -> Override | None:
        """The order in force on a zone."""
        order = self.known.get(zone)
        return (
            order
            if order is not None and order.mode is not OverrideMode.CLEAR and now < order.expires_at
            else None
        )

    def digest(self) -> int:
        """Equal where the same orders are known."""
        stamps = sorted((o.zone, *o.stamp) for o in self.known.values())
        return int.from_bytes(hashlib.blake2b(repr(stamps).encode(), digest_size=4).digest(), "big")
