"""Codec of the session affinity messages, about the migration of keys and about membership; does no I/O.

The first byte is the kind of message, field sizes are in bytes:

75 | kind of entries 1 | count 1 | entries: key 8, epoch 8, flags 1
76 | request for a membership lease, or a voter's answer
77 | request to refuse leases to a member, or the answer
78 | notice that all owned keys were announced for an epoch, or the answer
"""

from __future__ import annotations

import struct
from collections.abc import Sequence
from dataclasses import dataclass
from enum import IntEnum

from cottonhold.fleet.message_format import MAX_MESSAGE_BYTES, MessageError
from cottonhold.membership import leases

MIGRATION, LEASE, REFUSE, ANNOUNCED = 75, 76, 77, 78
ENTRY_FORMAT = struct.Struct("!8sQB")
HEAD_FORMAT = struct.Struct("!BBB")  # message kind, kind of entries, count
LEASE_FORMAT = struct.Struct("!BBQIQf")  # kind, request or answer, duty, term, epoch, wait
NOTICE_FORMAT = struct.Struct("!BBQQ")  # kind, answer, member, epoch
REQUEST, ANSWER, RELEASE_REQUEST = 0, 1, 2  # second byte of a LEASE message
GRANTED_WAIT = -1.0
MAX_WAIT_MS = 1e9
MAX_ENTRIES = (MAX_MESSAGE_BYTES - HEAD_FORMAT.size) // ENTRY_FORMAT.size


class EntryKind(IntEnum):
    """The kind of all entries in a message.

    The owner sends OFFER, RELEASE and WITHDRAW to the target of a move, which answers with ACCEPT, DECLINE,
    RELEASE_ACK and WITHDRAW_ACK. An owner sends ANNOUNCE to its key's home, which answers with ANNOUNCE_ACK,
    CONFIRM_OWNER or WITHDRAW.
    """

    OFFER = 0
    ACCEPT = 1
    DECLINE = 2
    RELEASE = 3
    RELEASE_ACK = 4
    WITHDRAW = 5
    WITHDRAW_ACK = 6
    ANNOUNCE = 7
    ANNOUNCE_ACK = 8
    CONFIRM_OWNER = 9


MAY_HAVE_RUN, TENTATIVE, TARGET_REMOVED = 1, 2, 4  # flags of an entry


@dataclass(slots=True, frozen=True)
class MigrationEntry:
    """A key in a message, with the epoch of its ownership and flags."""

    key: bytes
    epoch: int
    flags: int = 0


def encode_entries(kind: EntryKind, entries: Sequence[MigrationEntry]) -> bytes:
    """Encode at most MAX_ENTRIES entries of one kind."""
    encoded = [ENTRY_FORMAT.pack(entry.key, entry.epoch, entry.flags) for entry in entries]
    return HEAD_FORMAT.pack(MIGRATION, kind, len(entries)) + b"".join(encoded)


def decode_entries(data: bytes) -> tuple[EntryKind, list[MigrationEntry]]:
    """Decode the entries of a message.

    Raises:
        MessageError: The message is malformed; none of its entries may be applied.
    """
    if len(data) < HEAD_FORMAT.size or data[0] != MIGRATION:
        raise MessageError("not a migration message")
    if len(data) != HEAD_FORMAT.size + data[2] * ENTRY_FORMAT.size:
        raise MessageError("number of entries does not match the length")
    try:
        kind = EntryKind(data[1])
    except ValueError:
        raise MessageError("unknown kind of migration entries") from None
    rows = ENTRY_FORMAT.iter_unpack(data[HEAD_FORMAT.size :])
    return kind, [MigrationEntry(key, epoch, flags) for key, epoch, flags in rows]


def encode_lease(message: leases.LeaseRequest | leases.LeaseReply, epoch: int) -> bytes:
    """Encode a lease request or answer, with the epoch of the newest table that the sender has applied."""
    if isinstance(message, leases.LeaseRequest):
        kind = RELEASE_REQUEST if message.is_release else REQUEST
        return LEASE_FORMAT.pack(LEASE, kind, message.duty, message.term, epoch, 0.0)
    wait_ms = GRANTED_WAIT if message.is_granted else message.retry_after_ms
    return LEASE_FORMAT.pack(LEASE, ANSWER, message.duty, message.term, epoch, wait_ms)


def decode_lease(data: bytes) -> tuple[leases.LeaseRequest | leases.LeaseReply, int]:
    """Return a decoded lease request or answer, and the sender's epoch. Raises MessageError."""
    if len(data) != LEASE_FORMAT.size or data[0] != LEASE or data[1] > RELEASE_REQUEST:
        raise MessageError("malformed lease message")
    _, kind, duty, term, epoch, wait_ms = LEASE_FORMAT.unpack(data)
    if kind == ANSWER:
        if not wait_ms < MAX_WAIT_MS:  # also rejects NaN
            raise MessageError("delay of a lease answer out of range")
        return leases.LeaseReply(duty, term, wait_ms < 0, max(wait_ms, 0.0)), epoch
    return leases.LeaseRequest(duty, term, kind == RELEASE_REQUEST), epoch


def encode_notice(kind: int, is_answer: bool, member: int, epoch: int) -> bytes:
    """Encode REFUSE or ANNOUNCED, or the answer to it."""
    return NOTICE_FORMAT.pack(kind, is_answer, member, epoch)


def decode_notice(data: bytes) -> tuple[bool, int, int]:
    """Decode REFUSE or ANNOUNCED: return whether it is an answer, the member and the epoch.

    Raises MessageError.
    """
    if len(data) != NOTICE_FORMAT.size or data[1] > 1:
        raise MessageError("malformed notice")
    _, is_answer, member, epoch = NOTICE_FORMAT.unpack(data)
    return bool(is_answer), member, epoch
