"""Messages of pins: many keys in one datagram, and who stands. Pure.

75 | step 1 | count 1 | entries: key 8, epoch 8, flags 1
76 | ask or word of a standing lease
77 | refuse a member from an epoch on, or the answer
78 | all has been told for an epoch, or the answer
"""

from __future__ import annotations

import struct
from collections.abc import Sequence
from dataclasses import dataclass
from enum import IntEnum

from cottonhold.fleet.message_format import MAX_MESSAGE_BYTES, MessageError
from cottonhold.membership import leases

BATCH, LEASE, REFUSE, DONE = 75, 76, 77, 78
ENTRY = struct.Struct("!8sQB")
HEAD = struct.Struct("!BBB")
LEASED = struct.Struct("!BBQIQf")  # kind, what, duty, term, epoch, wait
SHORT = struct.Struct("!BBQQ")  # kind, answer, member, epoch
A_BATCH = (MAX_MESSAGE_BYTES - HEAD.size) // ENTRY.size


class Step(IntEnum):
    """What a batch says of its pins. Mover to target: OFFER, RELEASE, WITHDRAW. Back: ACCEPT, TURN_DOWN,
    TAKEN, DROPPED. Owner to home: PLACE; back: PLACED, ADOPT, or WITHDRAW."""

    OFFER, ACCEPT, TURN_DOWN, RELEASE, TAKEN, WITHDRAW, DROPPED, PLACE, PLACED, ADOPT = range(10)


DOUBT, TENTATIVE, GONE = 1, 2, 4  # flags of an entry


@dataclass(slots=True, frozen=True)
class Entry:
    """One pin in a batch."""

    key: bytes
    epoch: int
    flags: int = 0


def pack_batch(step: Step, entries: Sequence[Entry]) -> bytes:
    """A batch of at most A_BATCH entries."""
    return HEAD.pack(BATCH, step, len(entries)) + b"".join(
        ENTRY.pack(e.key, e.epoch, e.flags) for e in entries
    )


def read_batch(data: bytes) -> tuple[Step, list[Entry]]:
    """The meaning of a batch. Raises WordError; then none of it counts."""
    if len(data) < HEAD.size or data[0] != BATCH or len(data) != HEAD.size + data[2] * ENTRY.size:
        raise MessageError("batch")
    try:
        step = Step(data[1])
    except ValueError:
        raise MessageError("step") from None
    found = ENTRY.iter_unpack(data[HEAD.size :])
    return step, [Entry(key, epoch, flags) for key, epoch, flags in found]


def pack_lease(what: leases.Ask | leases.Word, epoch: int) -> bytes:
    """An ask or word of a standing lease. epoch: of the table that the sender knows."""
    if isinstance(what, leases.Ask):
        return LEASED.pack(LEASE, 2 if what.release else 0, what.duty, what.term, epoch, 0.0)
    return LEASED.pack(LEASE, 1, what.duty, what.term, epoch, what.wait if not what.granted else -1.0)


def read_lease(data: bytes) -> tuple[leases.Ask | leases.Word, int]:
    """The meaning of an ask or word, and the sender's epoch. Raises WordError."""
    if len(data) != LEASED.size or data[0] != LEASE or data[1] > 2:
        raise MessageError("lease")
    _, what, duty, term, epoch, wait = LEASED.unpack(data)
    if what == 1:
        if not wait < 1e9:
            raise MessageError("wait")
        return leases.Word(duty, term, wait < 0, max(wait, 0.0)), epoch
    return leases.Ask(duty, term, what == 2), epoch


def pack_short(kind: int, answer: bool, member: int, epoch: int) -> bytes:
    """REFUSE or DONE, or the answer to it."""
    return SHORT.pack(kind, answer, member, epoch)


def read_short(data: bytes) -> tuple[bool, int, int]:
    """Whether it is an answer, the member and the epoch. Raises WordError."""
    if len(data) != SHORT.size or data[1] > 1:
        raise MessageError("short")
    _, answer, member, epoch = SHORT.unpack(data)
    return bool(answer), member, epoch
