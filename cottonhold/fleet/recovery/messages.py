"""Messages between instances after a power loss: which instances are alive, and which loads may have run.
Does no I/O.

    PRESENCE     kind 1 | number 2 | boot count 4 | checkpoint 8 | incarnation 4 | uptime ms 4 |
                 memory and clean 1 | peers 1 | peers, each: number 2 | boot count 4 | incarnation 4 |
                 uptime ms 4 | age in 10 ms 2 | flags 1
    LOAD_QUERY   kind 1 | boot count 4 | serial 4 | loads 1 | loads, each 16
    LOAD_ANSWER  kind 1 | boot count 4 | serial 4 | loads 1 | verdicts, each: index of the load 1 |
                 statement 1
    OPEN_LOADS   kind 1 | loads 1 | loads, each 16

Numbers after the names are sizes in bytes. A peer's entry contains the sender's records of a dispatcher's
number: the highest known boot count (also stored on disk), the incarnation of its last report, the uptime in
that report, and the time since it arrived. The boot count is 0 if the sender has never received a report of
the number. The receiver's own entry is the first, so each instance learns which of its reports have arrived.
Entries can be merged in any order and repeatedly. Boot counts and incarnations have 32 bits; uptimes are
capped at 49 days.
"""

from __future__ import annotations

import struct
from collections.abc import Iterable
from dataclasses import dataclass
from enum import IntEnum

from cottonhold.fleet.message_format import MAX_MESSAGE_BYTES, MAX_UINT32, MessageError

# Kinds of message.
PRESENCE = 6
LOAD_QUERY = 7
LOAD_ANSWER = 8
OPEN_LOADS = 9

PRESENCE_HEADER = struct.Struct("!BHIQIIBB")
PEER_ENTRY = struct.Struct("!HIIIHB")
LOADS_HEADER = struct.Struct("!BIIB")
VERDICT_ENTRY = struct.Struct("!BB")
LOAD_ID_BYTES = 16
MAX_PEER_STATES = (MAX_MESSAGE_BYTES - PRESENCE_HEADER.size) // PEER_ENTRY.size
MAX_LOADS = (MAX_MESSAGE_BYTES - LOADS_HEADER.size) // LOAD_ID_BYTES
# A checkpoint is a boot count times this, plus the number of marks of that boot's incarnation.
CHECKPOINTS_PER_BOOT = 1 << 32
AGE_STEP_MS = 10.0
AGE_NEVER = 0xFFFF  # encodes that no report has arrived

# Bits of the flags.
MEMORY_BITS = 3
CLEAN_SHUTDOWN_BIT = 4
PRESENCE_BITS = MEMORY_BITS | CLEAN_SHUTDOWN_BIT
DUPLICATE_BIT = 1
STALE_BIT = 2
PEER_BITS = DUPLICATE_BIT | STALE_BIT


class MemoryState(IntEnum):
    """How complete the records are that an instance found in its folder at its start."""

    EMPTY = 0  # the folder was empty, so what the instance sent before is unknown
    INTACT = 1  # the folder is complete up to the power loss
    STALE = 2  # the folder is an old copy, so what the instance sent after it was made is unknown


class LoadStatement(IntEnum):
    """One instance's answer to a query about a load; of several, SUCCEEDED and then MAY_HAVE_RUN decide."""

    NEVER_SENT = 0  # it has not sent the load, and will query the others before it does
    ALSO_QUERIED = 1  # as NEVER_SENT, and another dispatcher has also asked it about the load
    NOT_KNOWN_YET = 2  # it has not yet determined whether its memory is intact
    UNKNOWN = 3  # it may have sent the load at a time of which it has no records
    SUCCEEDED = 4  # it sent the load, which succeeded
    MAY_HAVE_RUN = 5  # it sent the load or is about to


@dataclass(slots=True, frozen=True)
class PeerState:
    """What the sender of a report has recorded of a dispatcher.

    Attributes:
        number: The dispatcher's number.
        boot_count: Highest known boot count; 0 if the dispatcher is unknown.
        incarnation: Incarnation of its last report; if is_duplicate, the one that started first.
        uptime_ms: Uptime in that report.
        age_ms: Time since that report arrived; None if none has arrived in this incarnation of the sender.
        is_duplicate: Whether two processes use the number at the same time.
        is_stale: Whether it reports a lower checkpoint than before, so that its folder is an old copy.
    """

    number: int
    boot_count: int
    incarnation: int = 0
    uptime_ms: float = 0.0
    age_ms: float | None = None
    is_duplicate: bool = False
    is_stale: bool = False


@dataclass(slots=True, frozen=True)
class Presence:
    """One instance's report on itself.

    Attributes:
        number: The sender's number.
        boot_count: Boot count of its start.
        checkpoint: The last boot in which its memory was intact, times CHECKPOINTS_PER_BOOT, plus the marks
            of that incarnation so far.
        incarnation: Number drawn at its start.
        uptime_ms: Time since its start.
        memory: State of its memory.
        was_clean_shutdown: Whether its last incarnation was shut down cleanly.
        peers: Its records of other dispatchers, the receiver first.
    """

    number: int
    boot_count: int
    checkpoint: int
    incarnation: int
    uptime_ms: float
    memory: MemoryState
    was_clean_shutdown: bool
    peers: tuple[PeerState, ...] = ()


@dataclass(slots=True, frozen=True)
class LoadQuery:
    """A query for the receiver's records of loads; `boot_count` is the sender's, and `serial` is unique in
    that boot."""

    boot_count: int
    serial: int
    loads: tuple[bytes, ...]


@dataclass(slots=True, frozen=True)
class LoadVerdict:
    """The answer about one load of a query; `index` is its position in the query."""

    index: int
    statement: LoadStatement


@dataclass(slots=True, frozen=True)
class LoadAnswer:
    """The answer to the query with this boot count and serial."""

    boot_count: int
    serial: int
    verdicts: tuple[LoadVerdict, ...]


@dataclass(slots=True, frozen=True)
class OpenLoads:
    """Loads that earlier boots of the sender sent, and whose result it does not know."""

    loads: tuple[bytes, ...]


Message = Presence | LoadQuery | LoadAnswer | OpenLoads


def encode(message: Message) -> bytes:
    """Return a message's bytes; they fit MAX_MESSAGE_BYTES with at most MAX_PEER_STATES or MAX_LOADS
    entries."""
    match message:
        case Presence():
            return _encode_presence(message)
        case LoadQuery(boot_count, serial, loads):
            return LOADS_HEADER.pack(LOAD_QUERY, boot_count, serial, len(loads)) + b"".join(loads)
        case LoadAnswer(boot_count, serial, verdicts):
            entries = [VERDICT_ENTRY.pack(verdict.index, verdict.statement) for verdict in verdicts]
            return LOADS_HEADER.pack(LOAD_ANSWER, boot_count, serial, len(entries)) + b"".join(entries)
        case OpenLoads(loads):
            return bytes((OPEN_LOADS, len(loads))) + b"".join(loads)


def _encode_presence(presence: Presence) -> bytes:
    header = PRESENCE_HEADER.pack(
        PRESENCE,
        presence.number,
        presence.boot_count,
        presence.checkpoint,
        presence.incarnation,
        _to_steps(presence.uptime_ms, 1, MAX_UINT32),
        presence.memory | presence.was_clean_shutdown * CLEAN_SHUTDOWN_BIT,
        len(presence.peers),
    )
    return header + b"".join(map(_encode_peer, presence.peers))


def _encode_peer(peer: PeerState) -> bytes:
    return PEER_ENTRY.pack(
        peer.number,
        peer.boot_count,
        peer.incarnation,
        _to_steps(peer.uptime_ms, 1, MAX_UINT32),
        AGE_NEVER if peer.age_ms is None else _to_steps(peer.age_ms, AGE_STEP_MS, AGE_NEVER - 1),
        peer.is_duplicate * DUPLICATE_BIT | peer.is_stale * STALE_BIT,
    )


def _to_steps(ms: float, step_ms: float, max_steps: int) -> int:
    return min(max(int(ms / step_ms), 0), max_steps)


def decode(data: bytes) -> Message:
    """Return the message that these bytes encode.

    Raises:
        MessageError: The bytes are no valid message of recovery; then no part of it may be applied.
    """
    try:
        if data[:1] == bytes((PRESENCE,)):
            return _decode_presence(data)
        if data[:1] == bytes((OPEN_LOADS,)):
            return OpenLoads(_decode_loads(data, 2, data[1]))
        kind, boot_count, serial, count = LOADS_HEADER.unpack_from(data)
        if kind == LOAD_QUERY:
            return LoadQuery(boot_count, serial, _decode_loads(data, LOADS_HEADER.size, count))
        if kind == LOAD_ANSWER:
            return LoadAnswer(boot_count, serial, _decode_verdicts(data, count))
    except (struct.error, IndexError):
        raise MessageError("truncated recovery message") from None
    raise MessageError("unknown kind of recovery message")


def _decode_presence(data: bytes) -> Presence:
    _, number, boot_count, checkpoint, incarnation, uptime_ms, flags, count = PRESENCE_HEADER.unpack_from(
        data
    )
    if len(data) != PRESENCE_HEADER.size + count * PEER_ENTRY.size:
        raise MessageError("wrong message length")
    if not boot_count or flags > PRESENCE_BITS or flags & MEMORY_BITS > MemoryState.STALE:
        raise MessageError("invalid boot count or flags")
    memory, was_clean = MemoryState(flags & MEMORY_BITS), bool(flags & CLEAN_SHUTDOWN_BIT)
    peers = tuple(_decode_peer(*fields) for fields in PEER_ENTRY.iter_unpack(data[PRESENCE_HEADER.size :]))
    return Presence(number, boot_count, checkpoint, incarnation, uptime_ms, memory, was_clean, peers)


def _decode_peer(
    number: int, boot_count: int, incarnation: int, uptime_ms: int, age: int, flags: int
) -> PeerState:
    if flags > PEER_BITS:
        raise MessageError("invalid peer flags")
    age_ms = None if age == AGE_NEVER else age * AGE_STEP_MS
    is_duplicate, is_stale = bool(flags & DUPLICATE_BIT), bool(flags & STALE_BIT)
    return PeerState(number, boot_count, incarnation, uptime_ms, age_ms, is_duplicate, is_stale)


def _decode_loads(data: bytes, offset: int, count: int) -> tuple[bytes, ...]:
    if not count or len(data) != offset + count * LOAD_ID_BYTES:
        raise MessageError("wrong message length")
    return tuple(data[at : at + LOAD_ID_BYTES] for at in range(offset, len(data), LOAD_ID_BYTES))


def _decode_verdicts(data: bytes, count: int) -> tuple[LoadVerdict, ...]:
    if not count or len(data) != LOADS_HEADER.size + count * VERDICT_ENTRY.size:
        raise MessageError("wrong message length")
    entries = VERDICT_ENTRY.iter_unpack(data[LOADS_HEADER.size :])
    try:
        return tuple(LoadVerdict(index, LoadStatement(statement)) for index, statement in entries)
    except ValueError:
        raise MessageError("unknown load statement") from None


def batches(loads: Iterable[bytes]) -> list[tuple[bytes, ...]]:
    """Split loads into batches that fit into one message each."""
    all_loads = list(loads)
    return [tuple(all_loads[i : i + MAX_LOADS]) for i in range(0, len(all_loads), MAX_LOADS)]
