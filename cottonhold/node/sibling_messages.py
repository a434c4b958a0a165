"""The messages between processes of one dispatcher, and their encoding."""

from __future__ import annotations

import struct
from collections.abc import Iterator
from dataclasses import dataclass

MAGIC = b"CHM1"
# Magic, kind, sender's slot, flag, padding, call number, connection id. The size divides a pipe's read.
MESSAGE = struct.Struct(">4sBB?xII")
KILL_CALL, KILL_RESULT, DRAIN_CALL = 1, 2, 3  # kinds


@dataclass(slots=True, frozen=True)
class KillCall:
    """Asks the process that assigned a connection id to execute KILL."""

    sender_slot: int
    call_number: int  # differs between the open calls of a sender; the result has the same
    connection_id: int
    only_query: bool  # KILL QUERY, which does not end the session


@dataclass(slots=True, frozen=True)
class KillResult:
    """The result of a `KillCall`."""

    sender_slot: int
    call_number: int
    is_known: bool  # whether a session with this connection id exists


@dataclass(slots=True, frozen=True)
class DrainCall:
    """Tells that an operator began or ended a drain of the dispatcher."""

    sender_slot: int
    is_draining: bool


SiblingMessage = KillCall | KillResult | DrainCall


def encode(message: SiblingMessage) -> bytes:
    """Encode a message."""
    match message:
        case KillCall(slot, number, connection_id, only_query):
            return MESSAGE.pack(MAGIC, KILL_CALL, slot, only_query, number, connection_id)
        case KillResult(slot, number, is_known):
            return MESSAGE.pack(MAGIC, KILL_RESULT, slot, is_known, number, 0)
        case DrainCall(slot, is_draining):
            return MESSAGE.pack(MAGIC, DRAIN_CALL, slot, is_draining, 0, 0)


def decode(data: bytes) -> Iterator[SiblingMessage | None]:
    """Decode consecutive messages; yields None in place of each that is invalid or of an unknown kind."""
    for start in range(0, len(data), MESSAGE.size):
        yield _decode_one(data[start : start + MESSAGE.size])


def _decode_one(data: bytes) -> SiblingMessage | None:
    if len(data) != MESSAGE.size or not data.startswith(MAGIC):
        return None
    _, kind, slot, flag, number, connection_id = MESSAGE.unpack(data)
    if kind == KILL_CALL:
        return KillCall(slot, number, connection_id, flag)
    if kind == KILL_RESULT:
        return KillResult(slot, number, flag)
    if kind == DRAIN_CALL:
        return DrainCall(slot, flag)
    return None
