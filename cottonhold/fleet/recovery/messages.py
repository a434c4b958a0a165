"""What instances tell one another after a power loss: who is there, and which loads may have run. Pure.

    HERE  kind 1 | number 2 | boot 4 | base 8 | life 4 | up ms 4 | memory and clean 1 | pairs 1 | pairs, each:
          number 2 | boot 4 | life 4 | up ms 4 | age in 10 ms 2 | flags 1
    ASK   kind 1 | boot 4 | serial 4 | loads 1 | loads, each 16
    ANSWER kind 1 | boot 4 | serial 4 | loads 1 | verdicts, each: load's place 1 | said 1
    OPEN  kind 1 | loads 1 | loads, each 16

A pair is what the sender knows of a number: the highest boot that it ever knew of (kept on its disk too), the
life that it last heard, how long that one had been up by its own word, and how long ago that word came. A
number that was never heard of has boot 0. The pair for
whoever the word goes to stands first, so each learns which of its words were heard. All of it merges in any
order, any number of times. Boots and lives are 32 bits, up times 49 days (more counts as that).
"""

from __future__ import annotations

import struct
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from enum import IntEnum

from cottonhold.fleet.message_format import MAX_MESSAGE_BYTES, MessageError

HERE, ASK, ANSWER, OPEN = 6, 7, 8, 9  # kinds of message of the fleet; 1 to 5 are zones' and price's
HEAD = struct.Struct("!BHIQIIBB")
PAIR = struct.Struct("!HIIIHB")
SERIAL = struct.Struct("!BIIB")
SAID = struct.Struct("!BB")
LOAD = 16  # bytes of a load's identity
PAIRS_MOST = (MAX_MESSAGE_BYTES - HEAD.size) // PAIR.size
LOADS_MOST = (MAX_MESSAGE_BYTES - SERIAL.size) // LOAD
LONG = 0xFFFFFFFF
BASE_STEP = 1 << 32  # of a base for each boot; below it are the marks of one life
AGE_STEP = 10.0  # ms
NEVER_HEARD = 0xFFFF  # an age


class MemoryState(IntEnum):
    """What an instance still knows of the time before its start."""

    EMPTY = 0  # its folder was empty: what it sent before is unknown
    KEPT = 1  # whole up to the cut
    OLD = 2  # a copy of some earlier day: what came after it is unknown


class Said(IntEnum):
    """What one instance says of a load. The order is that of weight."""

    NEVER = 0  # it has not sent it and will not, unless it asks itself first
    ASKED = 1  # as NEVER, and another than the asker has asked about it too
    WAIT = 2  # it doesn't know yet how whole its memory is
    UNKNOWN = 3  # it may have sent it in a time that it has no memory of
    WELL = 4  # it sent it, and it ran to its end well
    MAY = 5  # it sent it or is about to


@dataclass(slots=True, frozen=True)
class Pair:
    """What the sender knows of a number. age: ms since its word came, None: never in this life of the sender.
    twice: two lives stand for it at once; then life is that of the one that was there first. stale: it tells
    of a lower base than once before: its folder is an old one."""

    number: int
    boot: int
    life: int = 0
    up: float = 0.0
    age: float | None = None
    twice: bool = False
    stale: bool = False


@dataclass(slots=True, frozen=True)
class Here:
    """One instance's word on itself. base: the last boot in which its memory was whole, times BASE_STEP, and
    the marks of that life up to now. up: ms since its start. clean: its last life ended by order."""

    number: int
    boot: int
    base: int
    life: int
    up: float
    memory: MemoryState
    clean: bool
    pairs: tuple[Pair, ...] = ()


@dataclass(slots=True, frozen=True)
class Ask:
    """Asks what is known of these loads. boot: the asker's; serial: never used twice in a boot."""

    boot: int
    serial: int
    loads: tuple[bytes, ...]


@dataclass(slots=True, frozen=True)
class Verdict:
    """What is said of one load of an ask. place: its place there."""

    place: int
    said: Said


@dataclass(slots=True, frozen=True)
class Answer:
    """The answer to an ask, by the asker's boot and serial."""

    boot: int
    serial: int
    verdicts: tuple[Verdict, ...]


@dataclass(slots=True, frozen=True)
class Open:
    """Loads that the sender's earlier boots sent, and whose end it does not know."""

    loads: tuple[bytes, ...]


Message = Here | Ask | Answer | Open


def _steps(ms: float, step: float, most: int = 0xFFFF) -> int:
    return min(max(int(ms / step), 0), most)


def pack(what: Message) -> bytes:
    """A message's bytes, at most ROOM of them where the caller keeps to PAIRS_MOST and LOADS_MOST."""
    if isinstance(what, Here):
        flags = what.memory | what.clean << 2
        head = HEAD.pack(
            HERE,
            what.number,
            what.boot,
            what.base,
            what.life,
            _steps(what.up, 1, LONG),
            flags,
            len(what.pairs),
        )
        return head + b"".join(map(_pack_pair, what.pairs))
    if isinstance(what, Ask):
        return SERIAL.pack(ASK, what.boot, what.serial, len(what.loads)) + b"".join(what.loads)
    if isinstance(what, Answer):
        said = [SAID.pack(v.place, v.said) for v in what.verdicts]
        return SERIAL.pack(ANSWER, what.boot, what.serial, len(said)) + b"".join(said)
    return bytes((OPEN, len(what.loads))) + b"".join(what.loads)


def _pack_pair(pair: Pair) -> bytes:
    age = NEVER_HEARD if pair.age is None else _steps(pair.age, AGE_STEP, NEVER_HEARD - 1)
    return PAIR.pack(
        pair.number, pair.boot, pair.life, _steps(pair.up, 1, LONG), age, pair.twice | pair.stale << 1
    )


def read(data: bytes) -> Message:
    """A message's meaning. Raises MessageError; then nothing of it counts."""
    try:
        if data[:1] == bytes((HERE,)):
            return _read_here(data)
        if data[:1] == bytes((OPEN,)):
            return Open(_loads(data, 2, data[1]))
        kind, boot, serial, count = SERIAL.unpack_from(data)
        if kind == ASK:
            return Ask(boot, serial, _loads(data, SERIAL.size, count))
        if kind == ANSWER:
            return Answer(boot, serial, _verdicts(data, count))
    except (struct.error, IndexError):
        raise MessageError("truncated") from None
    raise MessageError("no word of recovery")


def _read_here(data: bytes) -> Here:
    _, number, boot, base, life, up, flags, count = HEAD.unpack_from(data)
    if len(data) != HEAD.size + count * PAIR.size:
        raise MessageError("length")
    if not boot or flags > 7 or flags & 3 > MemoryState.OLD:
        raise MessageError("boot or memory")
    pairs = []
    for of, its, whose, lasted, age, bits in PAIR.iter_unpack(data[HEAD.size :]):
        if bits > 3:
            raise MessageError("pair")
        ago = None if age == NEVER_HEARD else age * AGE_STEP
        pairs.append(Pair(of, its, whose, lasted, ago, bool(bits & 1), bool(bits & 2)))
    return Here(number, boot, base, life, up, MemoryState(flags & 3), bool(flags & 4), tuple(pairs))


def _loads(data: bytes, start: int, count: int) -> tuple[bytes, ...]:
    if not count or len(data) != start + count * LOAD:
        raise MessageError("length")
    return tuple(data[at : at + LOAD] for at in range(start, len(data), LOAD))


def _verdicts(data: bytes, count: int) -> tuple[Verdict, ...]:
    if not count or len(data) != SERIAL.size + count * SAID.size:
        raise MessageError("length")
    try:
        return tuple(Verdict(place, Said(said)) for place, said in SAID.iter_unpack(data[SERIAL.size :]))
    except ValueError:
        raise MessageError("said") from None


def batches(loads: Iterable[bytes]) -> list[tuple[bytes, ...]]:
    """Loads in lots that fit a datagram each."""
    every: Sequence[bytes] = list(loads)
    return [tuple(every[i : i + LOADS_MOST]) for i in range(0, len(every), LOADS_MOST)]
