"""The records that survive a restart: formats, how far each kind is trusted when read again, eviction. Pure.

A record is a kind, a key and a value. Values carry a version byte: a record of a later program, met after a
downgrade, and a garbled one raise RecordError and are never guessed at. For a load that means: it may have
run.

No record holds a wall time. Times are this boot's monotonic ms; those of an earlier boot can't be compared
with anything and are only displayed.
"""

from __future__ import annotations

import struct
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from enum import Enum, IntEnum

VERSION = 1
# A load's identity is drawn anew by whoever sends it, so that two incarnations never mean the same by it.
IDENTITY_BYTES = 16


class RecordError(ValueError):
    """The value is garbled or of a version that this program doesn't know; the text says which."""


class RecordKind(IntEnum):
    """Kinds of records. The numbers are on disk: never used again for something else."""

    INCARNATION = 1
    LOAD = 2
    PROMISE = 3
    OPERATOR_OVERRIDE = 4
    AFFINITY = 5
    ENGINE_ADDRESS = 16
    ENGINE_RATE = 17
    WARM_DATA = 18
    MEMBER = 19
    ENGINE_DRAIN = 20


class Trust(Enum):
    """How far a new incarnation trusts what it read from the disk."""

    AUTHORITATIVE = "wholly"
    HINT = "as a hint to be checked"
    IGNORED = "not at all"


TRUST_BY_KIND: dict[RecordKind, Trust] = {
    RecordKind.INCARNATION: Trust.AUTHORITATIVE,
    RecordKind.LOAD: Trust.AUTHORITATIVE,
    RecordKind.PROMISE: Trust.AUTHORITATIVE,
    RecordKind.OPERATOR_OVERRIDE: Trust.AUTHORITATIVE,
    RecordKind.AFFINITY: Trust.AUTHORITATIVE,
    RecordKind.ENGINE_ADDRESS: Trust.HINT,
    RecordKind.ENGINE_RATE: Trust.HINT,
    RecordKind.WARM_DATA: Trust.HINT,
    RecordKind.MEMBER: Trust.HINT,
    RecordKind.ENGINE_DRAIN: Trust.HINT,
}

REASONS: dict[RecordKind, str] = {
    RecordKind.INCARNATION: "only this process writes it, and it only grows; a smaller one would pass for an"
    " old incarnation",
    RecordKind.LOAD: "durable before the first byte went out: what it says was sent may have run",
    RecordKind.PROMISE: "a voter that forgets its promise lets two decisions stand; only its disk knows it",
    RecordKind.OPERATOR_OVERRIDE: "a person gave it and expects it to stand until a person takes it back",
    RecordKind.AFFINITY: "on disk before it was announced: others count on it. Only of a complete folder,"
    " else all of it goes",
    RecordKind.ENGINE_ADDRESS: "addresses change hands: used only once an engine there has answered, until a"
    " source does",
    RecordKind.ENGINE_RATE: "an engine back from a power loss is cold: an upper bound for its slow start,"
    " never a start",
    RecordKind.WARM_DATA: "its data sets may have gone with its power: an order in which to ask, no more",
    RecordKind.MEMBER: "whom to greet first; that it is there is shown by its own message only",
    RecordKind.ENGINE_DRAIN: "its replacement may be over by now: nothing goes there until the registers have"
    " been read again",
}

# What is deliberately never persisted, with the reason.
NOT_PERSISTED: dict[str, str] = {
    "health": "a moment's evidence; old evidence sends the first requests to the wrong place with confidence",
    "pace": "parts of a shared budget: an old part plus the new ones would add up to more than the whole",
    "admission threshold": "follows demand within seconds; an old one refuses clients without need",
    "loan": "belongs to a budget of a time that is over",
    "lease": "its clock stopped; a voter is silent for a whole lease after its start instead",
}

# A load's record is some 300 bytes: 20,000 are 6 MB of file and of memory.
MAX_RECORDS: dict[RecordKind, int] = {
    RecordKind.INCARNATION: 4,
    RecordKind.LOAD: 20_000,
    RecordKind.PROMISE: 8_192,
    RecordKind.OPERATOR_OVERRIDE: 1_024,
    RecordKind.AFFINITY: 20_000,
    RecordKind.ENGINE_ADDRESS: 4_096,
    RecordKind.ENGINE_RATE: 4_096,
    RecordKind.WARM_DATA: 8_192,
    RecordKind.MEMBER: 1_024,
    RecordKind.ENGINE_DRAIN: 4_096,
}


@dataclass(slots=True, frozen=True)
class Record:
    """One value under its kind and key; `value` None removes it."""

    kind: RecordKind
    key: bytes
    value: bytes | None


class LoadState(IntEnum):
    """SENT: its end isn't known, it may have run. COMPLETED, FAILED: as the engine answered. NEVER_SENT: no
    byte was sent.
    """

    SENT = 0
    COMPLETED = 1
    FAILED = 2
    NEVER_SENT = 3


_LOAD = struct.Struct("<BBQdd")
_INCARNATION = struct.Struct("<BQQB")
_HINT = struct.Struct("<Bd")
_TEXT_SIZE_BYTES = 2
_MAX_TEXT_BYTES = 0xFFFF


@dataclass(slots=True, frozen=True)
class LoadRecord:
    """A load: its identity, the client's request id, ordering key, digest of the statement, the engine and
    the boot it was sent in. Times are on that boot's monotonic clock and mean nothing in another.
    """

    identity: bytes
    request_id: str
    ordering_key: str
    statement_digest: bytes
    engine: str
    boot_count: int
    sent_at_ms: float
    state: LoadState
    ended_at_ms: float = 0.0

    @property
    def is_open(self) -> bool:
        """Whether its end isn't known."""
        return self.state is LoadState.SENT

    def encode(self) -> bytes:
        """The value; the identity is the record's key."""
        head = _LOAD.pack(VERSION, self.state, self.boot_count, self.sent_at_ms, self.ended_at_ms)
        texts = (
            self.request_id.encode(),
            self.ordering_key.encode(),
            self.statement_digest,
            self.engine.encode(),
        )
        return head + b"".join(_encode_text(text) for text in texts)

    def to_record(self) -> Record:
        """The record to be put."""
        return Record(RecordKind.LOAD, self.identity, self.encode())

    @classmethod
    def decode(cls, identity: bytes, value: bytes) -> LoadRecord:
        """The meaning of a record. Raises RecordError."""
        if len(identity) != IDENTITY_BYTES:
            raise RecordError(f"a load's identity of {len(identity)} bytes")
        _check_version(value, _LOAD.size)
        _, state, boot_count, sent_at_ms, ended_at_ms = _LOAD.unpack_from(value)
        request_id, ordering_key, digest, engine = _decode_texts(value, _LOAD.size, 4)
        try:
            return cls(
                identity,
                request_id.decode(),
                ordering_key.decode(),
                digest,
                engine.decode(),
                boot_count,
                sent_at_ms,
                LoadState(state),
                ended_at_ms,
            )
        except ValueError as error:
            raise RecordError(f"a garbled load: {error}") from error


@dataclass(slots=True, frozen=True)
class IncarnationRecord:
    """One incarnation of this process: its boot, its incarnation among the members, and how it ended."""

    boot_count: int
    incarnation: int
    closed_cleanly: bool

    def encode(self) -> bytes:
        """The value."""
        return _INCARNATION.pack(VERSION, self.boot_count, self.incarnation, self.closed_cleanly)

    def to_record(self) -> Record:
        """The record to be put: there is one."""
        return Record(RecordKind.INCARNATION, b"life", self.encode())

    @classmethod
    def decode(cls, value: bytes) -> IncarnationRecord:
        """The meaning of a record. Raises RecordError."""
        _check_version(value, _INCARNATION.size)
        if len(value) != _INCARNATION.size or value[-1] > 1:
            raise RecordError("a garbled incarnation")
        _, boot_count, incarnation, closed_cleanly = _INCARNATION.unpack(value)
        return cls(boot_count, incarnation, bool(closed_cleanly))


@dataclass(slots=True, frozen=True)
class Hint:
    """Something that was true when it was written. age_ms: its age by then; how long the power was off since
    isn't known, so its true age is higher.
    """

    value: bytes
    age_ms: float

    def encode(self) -> bytes:
        """The record's value."""
        return _HINT.pack(VERSION, self.age_ms) + self.value

    @classmethod
    def decode(cls, value: bytes) -> Hint:
        """The meaning of a record. Raises RecordError."""
        _check_version(value, _HINT.size)
        age_ms = _HINT.unpack_from(value)[1]
        if not age_ms >= 0.0:
            raise RecordError("a hint's age isn't one")
        return cls(value[_HINT.size :], age_ms)


def _check_version(value: bytes, min_bytes: int) -> None:
    if not value or value[0] != VERSION:
        raise RecordError(f"version {value[0]}" if value else "an empty value")
    if len(value) < min_bytes:
        raise RecordError("cut short")


def _encode_text(text: bytes) -> bytes:
    if len(text) > _MAX_TEXT_BYTES:
        raise RecordError(f"a part of over {_MAX_TEXT_BYTES} bytes")
    return len(text).to_bytes(_TEXT_SIZE_BYTES, "little") + text


def _decode_texts(value: bytes, start: int, count: int) -> list[bytes]:
    texts = []
    position = start
    for _ in range(count):
        begin = position + _TEXT_SIZE_BYTES
        end = begin + int.from_bytes(value[position:begin], "little")
        if end > len(value):
            raise RecordError("cut short")
        texts.append(value[begin:end])
        position = end
    if position != len(value):
        raise RecordError("more than there should be")
    return texts


@dataclass(slots=True, frozen=True)
class DecodedLoads:
    """Loads as read. unreadable: identities of loads whose records can't be decoded; they may have run."""

    by_identity: dict[bytes, LoadRecord]
    unreadable: frozenset[bytes]


def decode_loads(values: Mapping[bytes, bytes]) -> DecodedLoads:
    """All loads' records. One that can't be read counts as one that may have run and is never left out."""
    by_identity: dict[bytes, LoadRecord] = {}
    unreadable = set()
    for identity, value in values.items():
        try:
            by_identity[identity] = LoadRecord.decode(identity, value)
        except RecordError:
            unreadable.add(identity)
    return DecodedLoads(by_identity, frozenset(unreadable))


@dataclass(slots=True, frozen=True)
class Eviction:
    """The keys to evict. early_count: how many of them are within their retention and go only to make room,
    so that a retry of theirs would run again. is_full: there is still no room, since only open ones remain.
    """

    keys: tuple[bytes, ...]
    early_count: int = 0
    is_full: bool = False


def evict_loads(
    loads: Iterable[LoadRecord],
    *,
    now_ms: float,
    boot_count: int,
    boot_started_at_ms: float,
    retention_ms: float,
    max_records: int = MAX_RECORDS[RecordKind.LOAD],
    free_slots: int = 1,
) -> Eviction:
    """Which loads to evict so that `free_slots` more fit under `max_records`.

    retention_ms: how long a client may still retry after a load's end. A load of this boot goes one retention
    after its end. Those of earlier boots go one retention after this boot's start: by then their clients have
    given up, whenever they ended. To make room the one that ended first goes first; an open one never does.
    """
    expired: list[bytes] = []
    ended: list[tuple[int, float, bytes]] = []
    remaining = 0
    for load in loads:
        if load.boot_count != boot_count:
            is_expired = now_ms - boot_started_at_ms > retention_ms
        else:
            is_expired = not load.is_open and now_ms - load.ended_at_ms > retention_ms
        if is_expired:
            expired.append(load.identity)
            continue
        remaining += 1
        if not load.is_open:
            ended.append((load.boot_count, load.ended_at_ms, load.identity))
    surplus = max(0, remaining + free_slots - max_records)
    early = [identity for _, _, identity in sorted(ended)[:surplus]]
    return Eviction((*expired, *early), len(early), surplus > len(early))


def evict_records(
    kind: RecordKind, ages_ms: Mapping[bytes, float], *, free_slots: int = 1, max_records: int = 0
) -> Eviction:
    """Which of a kind's records to evict so that `free_slots` more fit.

    Hints go by age, the oldest first. Authoritative records are removed by their owners only: `is_full` when
    they leave no room.
    """
    surplus = max(0, len(ages_ms) + free_slots - (max_records or MAX_RECORDS[kind]))
    if not surplus or TRUST_BY_KIND[kind] is not Trust.HINT:
        return Eviction((), is_full=surplus > 0)
    oldest_first = sorted(ages_ms, key=lambda key: (-ages_ms[key], key))
    return Eviction(tuple(oldest_first[:surplus]), is_full=surplus > len(oldest_first))
