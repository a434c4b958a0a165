"""Messages by which a request is handed on to the dispatcher that owns its key, and answered. Pure.

    79 | 0 PROBE    | life it is meant for 4
    79 | 1 LIFE     | life that was asked for 4, own life 4, stamp 8
    79 | 2 PART     | head, index 1, size 2, bytes of the request
    79 | 3 WITHDRAW | head, left 1
    79 | 4 ACK      | number 8, life 4, stamp 8, state 1, bits of the parts that are there, counted
    79 | 5 ANSWER   | number 8, life 4, end 1, ms 4, size 2, index 1, bytes of the answer
    79 | 6 GOT      | number 8, whole 1, bits of the parts that are there, counted

    head: number 8, life it is meant for 4, stamp 8, held 4, left 4, floor 4

A number is the origin's life (upper half) and its count of requests to this owner. A stamp is the owner's own
and means nothing to anyone else: the origin gives it back with the time for which it held it. All times are
ages, in hundredths of a ms, rounded down.
"""

from __future__ import annotations

import math
import struct
from collections.abc import Callable
from dataclasses import dataclass
from enum import IntEnum

from cottonhold.fleet.message_format import MAX_MESSAGE_BYTES, MessageError

HAND = 79
PROBE, LIFE, PART, WITHDRAW, ACK, ANSWER, GOT = range(7)
U32 = 0xFFFF_FFFF
LARGEST = 16 * 1024  # bytes of a request or an answer
TICK = 0.01  # ms


class End(IntEnum):
    """How a request that was handed on ended. SERVED: `data` is the answer. REFUSED: nothing ran, to come
    again after `ms`. FAILED: it may have run. MOVED: the owner doesn't own the key, nothing ran. NOBODY:
    no owner took it nor will. TOO_LARGE: it can't be handed on, nothing ran."""

    SERVED, REFUSED, FAILED, MOVED, NOBODY, TOO_LARGE = range(6)


class State(IntEnum):
    """What the owner says of a request. VOID: not taken, and never will be. GONE: it was taken, and the
    owner knows that its client left."""

    GATHERING, TAKEN, VOID, GONE = range(4)


@dataclass(slots=True, frozen=True)
class Head:
    """Of what an origin says of a request. held: how long it has had the stamp; left: until its time is over,
    both in ms. floor: all smaller counts are over at the origin."""

    number: int
    life: int
    stamp: int
    held: float
    left: float
    floor: int


@dataclass(slots=True, frozen=True)
class Part:
    """One part of a request."""

    head: Head
    index: int
    size: int
    data: bytes


@dataclass(slots=True, frozen=True)
class Withdraw:
    """Take it no more. left: and if it was taken, then nobody waits for its answer."""

    head: Head
    left: bool


@dataclass(slots=True, frozen=True)
class Probe:
    """Asks for the life and a stamp of an owner that is believed to be in this life (0: unknown)."""

    life: int


@dataclass(slots=True, frozen=True)
class Lives:
    """An owner's life, and which was asked for."""

    asked: int
    life: int
    stamp: int


@dataclass(slots=True, frozen=True)
class Ack:
    """What an owner has of a request. bits: by the parts' indices."""

    number: int
    life: int
    stamp: int
    state: State
    bits: int = 0


@dataclass(slots=True, frozen=True)
class Answer:
    """One part of an answer. life: the owner's."""

    number: int
    life: int
    end: End
    ms: float
    size: int
    index: int
    data: bytes


@dataclass(slots=True, frozen=True)
class Got:
    """What an origin has of an answer. whole: it needs no more."""

    number: int
    whole: bool
    bits: int = 0


Word = Probe | Lives | Part | Withdraw | Ack | Answer | Got

HEAD = struct.Struct("!BBQIQIII")
PARTED = struct.Struct("!BH")
PROBED, LIVED = struct.Struct("!BBI"), struct.Struct("!BBIIQ")
ACKED, ANSWERED = struct.Struct("!BBQIQB"), struct.Struct("!BBQIBfHB")
GOTTEN = struct.Struct("!BBQB")
PART_ROOM = MAX_MESSAGE_BYTES - HEAD.size - PARTED.size  # bytes of a request in one datagram
ANSWER_ROOM = MAX_MESSAGE_BYTES - ANSWERED.size
BITS_MOST = 16  # bytes; more parts than LARGEST has


def number_of(life: int, count: int) -> int:
    """A request's number by its origin's life and count."""
    return (life & U32) << 32 | count


def parts_of(size: int, room: int) -> int:
    """How many parts of so many bytes a body has; one at least."""
    return max(1, -(-size // room))


def ticks(ms: float) -> int:
    """A time in ms as it is sent: rounded down, within what fits."""
    return int(min(max(ms / TICK, 0.0), U32))


def pack_head(kind: int, h: Head) -> bytes:
    """What PART and WITHDRAW begin with."""
    return HEAD.pack(HAND, kind, h.number, h.life, h.stamp, ticks(h.held), ticks(h.left), h.floor)


def pack_bits(bits: int) -> bytes:
    """Bits in as many bytes as they need, after their count."""
    size = (bits.bit_length() + 7) // 8
    return bytes((size,)) + bits.to_bytes(size, "big")


def pack(word: Word) -> bytes:
    """A word's bytes, MAX_MESSAGE_BYTES at most."""
    match word:
        case Part():
            return pack_head(PART, word.head) + PARTED.pack(word.index, word.size) + word.data
        case Withdraw():
            return pack_head(WITHDRAW, word.head) + bytes((word.left,))
        case Probe():
            return PROBED.pack(HAND, PROBE, word.life)
        case Lives():
            return LIVED.pack(HAND, LIFE, word.asked, word.life, word.stamp)
        case Ack():
            fixed = ACKED.pack(HAND, ACK, word.number, word.life, word.stamp, word.state)
            return fixed + pack_bits(word.bits)
        case Answer():
            shape = (word.number, word.life, word.end, word.ms, word.size, word.index)
            return ANSWERED.pack(HAND, ANSWER, *shape) + word.data
        case Got():
            return GOTTEN.pack(HAND, GOT, word.number, word.whole) + pack_bits(word.bits)


def read(data: bytes) -> Word:
    """The meaning of a word. Raises MessageError."""
    if len(data) < 2 or data[0] != HAND or data[1] not in READERS or len(data) > MAX_MESSAGE_BYTES:
        raise MessageError("kind")
    try:
        return READERS[data[1]](data)
    except struct.error:
        raise MessageError("truncated") from None
    except ValueError:
        raise MessageError("end or state") from None


def _head(data: bytes) -> Head:
    _, _, number, life, stamp, held, left, floor = HEAD.unpack_from(data)
    if not 0 < floor <= number & U32 or not life:
        raise MessageError("floor or life")
    return Head(number, life, stamp, held * TICK, left * TICK, floor)


def _part(data: bytes) -> Part:
    index, size = PARTED.unpack_from(data, HEAD.size)
    body = data[HEAD.size + PARTED.size :]
    _check_part(index, size, len(body), PART_ROOM)
    return Part(_head(data), index, size, body)


def _check_part(index: int, size: int, length: int, room: int) -> None:
    """All parts but the last are full, and the last has what is left."""
    if size > LARGEST or index >= parts_of(size, room) or length != min(room, size - index * room):
        raise MessageError("part")


def _withdraw(data: bytes) -> Withdraw:
    if len(data) != HEAD.size + 1 or data[-1] > 1:
        raise MessageError("withdraw")
    return Withdraw(_head(data), bool(data[-1]))


def _probe(data: bytes) -> Probe:
    if len(data) != PROBED.size:
        raise MessageError("probe")
    return Probe(PROBED.unpack(data)[2])


def _lives(data: bytes) -> Lives:
    if len(data) != LIVED.size:
        raise MessageError("life")
    _, _, asked, life, stamp = LIVED.unpack(data)
    if not life:
        raise MessageError("life")
    return Lives(asked, life, stamp)


def _bits(data: bytes) -> int:
    if not data or data[0] > BITS_MOST or len(data) != 1 + data[0]:
        raise MessageError("bits")
    return int.from_bytes(data[1:], "big")


def _ack(data: bytes) -> Ack:
    _, _, number, life, stamp, state = ACKED.unpack_from(data)
    return Ack(number, life, stamp, State(state), _bits(data[ACKED.size :]))


def _answer(data: bytes) -> Answer:
    _, _, number, life, end, ms, size, index = ANSWERED.unpack_from(data)
    body = data[ANSWERED.size :]
    _check_part(index, size, len(body), ANSWER_ROOM)
    if not (math.isfinite(ms) and ms >= 0.0):
        raise MessageError("ms")
    return Answer(number, life, End(end), ms, size, index, body)


def _got(data: bytes) -> Got:
    _, _, number, whole = GOTTEN.unpack_from(data)
    if whole > 1:
        raise MessageError("got")
    return Got(number, bool(whole), _bits(data[GOTTEN.size :]))


READERS: dict[int, Callable[[bytes], Word]] = {
    PROBE: _probe,
    LIFE: _lives,
    PART: _part,
    WITHDRAW: _withdraw,
    ACK: _ack,
    ANSWER: _answer,
    GOT: _got,
}
