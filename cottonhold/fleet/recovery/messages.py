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

PRESENCE, LOAD_QUERY, LOAD_ANSWER, OPEN_LOADS = (
    6,
    7,
    8,
    9,
)  # kinds of message of the fleet; 1 to 5 are zones' and price's
HEAD = struct.Struct("!BHIQIIBB")
PAIR = struct.Struct("!HIIIHB")
SERIAL = struct.Struct("!BIIB")
SAID = struct.Struct("!BB")
LOAD_ID_BYTES = 16  # bytes of a load's identity
MAX_PEER_STATES = (MAX_MESSAGE_BYTES - HEAD.size) // PAIR.size
MAX_LOADS = (MAX_MESSAGE_BYTES - SERIAL.size) // LOAD_ID_BYTES
MAX_UINT32 = 0xFFFFFFFF
BASE_PER_BOOT = 1 << 32  # of a base for each boot; below it are the marks of one life
AGE_STEP_MS = 10.0  # ms
AGE_NEVER = 0xFFFF  # an age


class MemoryState(IntEnum):
    """What an instance still knows of the time before its start."""

    EMPTY = 0  # its folder was empty: what it sent before is unknown
    INTACT = 1  # whole up to the cut
    STALE = 2  # a copy of some earlier day: what came after it is unknown


class LoadStatement(IntEnum):
    """What one instance says of a load. The order is that of weight."""

    NEVER_SENT = 0  # it has not sent it and will not, unless it asks itself first
    ALSO_QUERIED = 1  # as NEVER, and another than the asker has asked about it too
    NOT_KNOWN_YET = 2  # it doesn't know yet how whole its memory is
    UNKNOWN = 3  # it may have sent it in a time that it has no memory of
    SUCCEEDED = 4  # it sent it, and it ran to its end well
    MAY_HAVE_RUN = 5  # it sent it or is about to


@dataclass(slots=True, frozen=True)
class PeerState:
    """What the sender knows of a number. age: ms since its word came, None: never in this life of the sender.
    twice: two lives stand for it at once; then life is that of the one that was there first. stale: it tells
    of a lower base than once before: its folder is an old one."""

    number: int
    boot: int
    incarnation: int = 0
    uptime_ms: float = 0.0
    age_ms: float | None = None
    is_duplicate: bool = False
    is_stale: bool = False


@dataclass(slots=True, frozen=True)
class Presence:
    """One instance's word on itself. base: the last boot in which its memory was whole, times BASE_STEP, and
    the marks of that life up to now. up: ms since its start. clean: its last life ended by order."""

    number: int
    boot: int
    base: int
    incarnation: int
    uptime_ms: float
    memory: MemoryState
    was_clean_shutdown: bool
    peers: tuple[PeerState, ...] = ()


@dataclass(slots=True, frozen=True)
class LoadQuery:
    """Asks what is known of these loads. boot: the asker's; serial: never used twice in a boot."""

    boot: int
    serial: int
    loads: tuple[bytes, ...]


@dataclass(slots=True, frozen=True)
class LoadVerdict:
    """What is said of one load of an ask. place: its place there."""

    index: int
    statement: LoadStatement


@dataclass(slots=True, frozen=True)
class LoadAnswer:
    """The answer to an ask, by the asker's boot and serial."""

    boot: int
    serial: int
    verdicts: tuple[LoadVerdict, ...]


@dataclass(slots=True, frozen=True)
class OpenLoads:
    """Loads that the sender's earlier boots sent, and whose end it does not know."""

    loads: tuple[bytes, ...]


Message = Presence | LoadQuery | LoadAnswer | OpenLoads


def _steps(ms: float, step: float, most: int = 0xFFFF) -> int:
    return min(max(int(ms / step), 0), most)


def encode(what: Message) -> bytes:
    """A message's bytes, at most ROOM of them where the caller keeps to PAIRS_MOST and LOADS_MOST."""
    if isinstance(what, Presence):
        flags = what.memory | what.was_clean_shutdown << 2
        head = HEAD.pack(
            PRESENCE,
            what.number,
            what.boot,
            what.base,
            what.incarnation,
            _steps(what.uptime_ms, 1, MAX_UINT32),
            flags,
            len(what.peers),
        )
        return head + b"".join(map(_pack_pair, what.peers))
    if isinstance(what, LoadQuery):
        return SERIAL.pack(LOAD_QUERY, what.boot, what.serial, len(what.loads)) + b"".join(what.loads)
    if isinstance(what, LoadAnswer):
        said = [SAID.pack(v.index, v.statement) for v in what.verdicts]
        return SERIAL.pack(LOAD_ANSWER, what.boot, what.serial, len(said)) + b"".join(said)
    return bytes((OPEN_LOADS, len(what.loads))) + b"".join(what.loads)


def _pack_pair(pair: PeerState) -> bytes:
    age = AGE_NEVER if pair.age_ms is None else _steps(pair.age_ms, AGE_STEP_MS, AGE_NEVER - 1)
    return PAIR.pack(
        pair.number,
        pair.boot,
        pair.incarnation,
        _steps(pair.uptime_ms, 1, MAX_UINT32),
        age,
        pair.is_duplicate | pair.is_stale << 1,
    )


def decode(data: bytes) -> Message:
    """A message's meaning. Raises MessageError; then nothing of it counts."""
    try:
        if data[:1] == bytes((PRESENCE,)):
            return _read_here(data)
        if data[:1] == bytes((OPEN_LOADS,)):
            return OpenLoads(_loads(data, 2, data[1]))
        kind, boot, serial, count = SERIAL.unpack_from(data)
        if kind == LOAD_QUERY:
            return LoadQuery(boot, serial, _loads(data, SERIAL.size, count))
        if kind == LOAD_ANSWER:
            return LoadAnswer(boot, serial, _verdicts(data, count))
    except (struct.error, IndexError):
        raise MessageError("truncated") from None
    raise MessageError("no word of recovery")


def _read_here(data: bytes) -> Presence:
    _, number, boot, base, life, up, flags, count = HEAD.unpack_from(data)
    if len(data) != HEAD.size + count * PAIR.size:
        raise MessageError("length")
    if not boot or flags > 7 or flags & 3 > MemoryState.STALE:
        raise MessageError("boot or memory")
    pairs = []
    for of, its, whose, lasted, age, bits in PAIR.iter_unpack(data[HEAD.size :]):
        if bits > 3:
            raise MessageError("pair")
        ago = None if age == AGE_NEVER else age * AGE_STEP_MS
        pairs.append(PeerState(of, its, whose, lasted, ago, bool(bits & 1), bool(bits & 2)))
    return Presence(number, boot, base, life, up, MemoryState(flags & 3), bool(flags & 4), tuple(pairs))


def _loads(data: bytes, start: int, count: int) -> tuple[bytes, ...]:
    if not count or len(data) != start + count * LOAD_ID_BYTES:
        raise MessageError("length")
    return tuple(data[at : at + LOAD_ID_BYTES] for at in range(start, len(data), LOAD_ID_BYTES))


def _verdicts(data: bytes, count: int) -> tuple[LoadVerdict, ...]:
    if not count or len(data) != SERIAL.size + count * SAID.size:
        raise MessageError("length")
    try:
        return tuple(
            LoadVerdict(place, LoadStatement(said)) for place, said in SAID.iter_unpack(data[SERIAL.size :])
        )
    except ValueError:
        raise MessageError("said") from None


def batches(loads: Iterable[bytes]) -> list[tuple[bytes, ...]]:
    """Loads in lots that fit a datagram each."""
    every: Sequence[bytes] = list(loads)
    return [tuple(every[i : i + MAX_LOADS]) for i in range(0, len(every), MAX_LOADS)]
