"""Persistent records: their formats, how far each kind is trusted after a restart, and eviction; does no I/O.

A record consists of a kind, a key and a value. A value begins with a version byte. Decoding a corrupt value,
or one that a later version of the program wrote before a downgrade, raises RecordError; such a load is
treated as one that may have run.

A *boot* is a start of the instance with its folder, and the boot count numbers them. No record contains a
wall-clock time: times are in ms on the monotonic clock of the boot that wrote them. Times of an earlier boot
can't be compared with others and are only displayed.
"""

from __future__ import annotations

import struct
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from enum import Enum, IntEnum

VERSION = 1
# Size of a load's identity: a hash of its class, ordering key and body, the same for every retry.
IDENTITY_BYTES = 16


class RecordError(ValueError):
    """A value is corrupt or has an unknown version."""


class RecordKind(IntEnum):
    """Kinds of records. The numbers are part of the file format and must never be reused."""

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
    """How far a new incarnation trusts a record that it read from the disk."""

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

TRUST_REASONS: dict[RecordKind, str] = {
    RecordKind.INCARNATION: "only this process writes it, and it only increases; others would regard a lower"
    " one as an old incarnation",
    RecordKind.LOAD: "durable before the load's first byte was sent: a load recorded as sent may have run",
    RecordKind.PROMISE: "only this disk has it, and a voter that lost it would allow two different decisions",
    RecordKind.OPERATOR_OVERRIDE: "an operator set it and expects it to apply until it expires or an operator"
    " removes it",
    RecordKind.AFFINITY: "durable before it was announced, so others rely on it; if the folder is incomplete,"
    " all of it is discarded",
    RecordKind.ENGINE_ADDRESS: "the address may belong to another engine now: used only after an engine has"
    " replied there, and only until a source answers",
    RecordKind.ENGINE_RATE: "an engine is cold after a power loss: an upper limit for its slow start, not the"
    " initial rate",
    RecordKind.WARM_DATA: "the engines may have lost their data sets: only the first division of demand uses"
    " it",
    RecordKind.MEMBER: "its boot count and checkpoint as last received: lower limits; only its own"
    " messages are current",
    RecordKind.ENGINE_DRAIN: "the replacement may be finished: the engine receives no queries until the"
    " registers have been read",
}

# State that is deliberately never persisted, with the reason.
NOT_PERSISTED: dict[str, str] = {
    "health": "valid for a moment only; outdated health would send the first requests to the wrong engines",
    "pace": "a share of a common budget: old and new shares together would exceed the budget",
    "admission threshold": "follows demand within seconds; an outdated one would reject clients needlessly",
    "loan": "belongs to the budget of a period that has ended",
    "lease": "its clock has stopped; instead a voter grants nothing for one whole lease after its start",
}

# The largest number of records of each kind. A load's record has about 300 bytes: 20,000 of them need 6 MB on
# disk and in memory.
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
    """A value with its kind and key. A `value` of None removes the record."""

    kind: RecordKind
    key: bytes
    value: bytes | None


class LoadState(IntEnum):
    """The state of a load. The numbers are part of the file format."""

    SENT = 0  # the load may have run; its end isn't known
    COMPLETED = 1  # the engine reported success
    FAILED = 2  # its attempt ended without success; it may have run
    NEVER_SENT = 3  # no attempt of the load ran


_LOAD = struct.Struct("<BBQdd")
_INCARNATION = struct.Struct("<BQQB")
_HINT = struct.Struct("<Bd")
_TEXT_SIZE_BYTES = 2
_MAX_TEXT_BYTES = 0xFFFF


@dataclass(slots=True, frozen=True)
class LoadRecord:
    """A load (a query that writes).

    Attributes:
        identity: The load's identity, a hash that is the same for every retry; the record's key.
        request_id: The client's request id.
        ordering_key: The load's ordering key.
        statement_digest: A digest of the statement.
        engine: The id of the engine that it was sent to.
        boot_count: The boot in which it was sent.
        sent_at_ms: When it was sent, on that boot's monotonic clock.
        state: The load's state.
        ended_at_ms: When it ended, on that boot's monotonic clock; 0 if it hasn't.
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
        """Return whether the load's end isn't known."""
        return self.state is LoadState.SENT

    def encode(self) -> bytes:
        """Encode the record's value; the identity is the key."""
        head = _LOAD.pack(VERSION, self.state, self.boot_count, self.sent_at_ms, self.ended_at_ms)
        texts = (
            self.request_id.encode(),
            self.ordering_key.encode(),
            self.statement_digest,
            self.engine.encode(),
        )
        return head + b"".join(_encode_text(text) for text in texts)

    def to_record(self) -> Record:
        """Return the record to store."""
        return Record(RecordKind.LOAD, self.identity, self.encode())

    @classmethod
    def decode(cls, identity: bytes, value: bytes) -> LoadRecord:
        """Decode a record. Raises RecordError if it is corrupt or has an unknown version."""
        if len(identity) != IDENTITY_BYTES:
            raise RecordError(f"a load's identity has {len(identity)} bytes")
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
            raise RecordError(f"corrupt load: {error}") from error


@dataclass(slots=True, frozen=True)
class IncarnationRecord:
    """One incarnation of this instance.

    Attributes:
        boot_count: The boot's number.
        incarnation: The incarnation in the membership protocol.
        closed_cleanly: Whether the boot ended by a clean shutdown.
    """

    boot_count: int
    incarnation: int
    closed_cleanly: bool

    def encode(self) -> bytes:
        """Encode the record's value."""
        return _INCARNATION.pack(VERSION, self.boot_count, self.incarnation, self.closed_cleanly)

    def to_record(self) -> Record:
        """Return the record to store; there is only one of this kind."""
        return Record(RecordKind.INCARNATION, b"life", self.encode())

    @classmethod
    def decode(cls, value: bytes) -> IncarnationRecord:
        """Decode a value. Raises RecordError if it is corrupt or has an unknown version."""
        _check_version(value, _INCARNATION.size)
        if len(value) != _INCARNATION.size or value[-1] > 1:
            raise RecordError("corrupt incarnation")
        _, boot_count, incarnation, closed_cleanly = _INCARNATION.unpack(value)
        return cls(boot_count, incarnation, bool(closed_cleanly))


@dataclass(slots=True, frozen=True)
class Hint:
    """A value that was true when it was written, and must be verified.

    Attributes:
        value: The value, in a format of its kind.
        age_ms: The value's age when it was written, in ms. Its real age is higher by an unknown time.
    """

    value: bytes
    age_ms: float

    def encode(self) -> bytes:
        """Encode the record's value."""
        return _HINT.pack(VERSION, self.age_ms) + self.value

    @classmethod
    def decode(cls, value: bytes) -> Hint:
        """Decode a value. Raises RecordError if it is corrupt or has an unknown version."""
        _check_version(value, _HINT.size)
        age_ms = _HINT.unpack_from(value)[1]
        if not age_ms >= 0.0:
            raise RecordError("the age of a hint is negative or NaN")
        return cls(value[_HINT.size :], age_ms)


def _check_version(value: bytes, min_bytes: int) -> None:
    if not value or value[0] != VERSION:
        raise RecordError(f"unknown version {value[0]}" if value else "empty value")
    if len(value) < min_bytes:
        raise RecordError("truncated value")


def _encode_text(text: bytes) -> bytes:
    if len(text) > _MAX_TEXT_BYTES:
        raise RecordError(f"a field is longer than {_MAX_TEXT_BYTES} bytes")
    return len(text).to_bytes(_TEXT_SIZE_BYTES, "little") + text


def _decode_texts(value: bytes, start: int, count: int) -> list[bytes]:
    texts = []
    position = start
    for _ in range(count):
        begin = position + _TEXT_SIZE_BYTES
        end = begin + int.from_bytes(value[position:begin], "little")
        if end > len(value):
            raise RecordError("truncated value")
        texts.append(value[begin:end])
        position = end
    if position != len(value):
        raise RecordError("unexpected bytes after the last field")
    return texts


@dataclass(slots=True, frozen=True)
class DecodedLoads:
    """Decoded load records.

    Attributes:
        by_identity: The loads by identity.
        unreadable: Identities of loads whose records can't be decoded; these loads may have run.
    """

    by_identity: dict[bytes, LoadRecord]
    unreadable: frozenset[bytes]


def decode_loads(values: Mapping[bytes, bytes]) -> DecodedLoads:
    """Decode load records, by identity; those that can't be decoded are returned as `unreadable`."""
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
    """The result of an eviction.

    Attributes:
        keys: The keys of the records to evict.
        early_count: How many of them are loads still within their retention time, evicted only to free slots;
            if a client retries such a load, it runs again.
        is_full: Whether there are still too few free slots, since the remaining records can't be evicted.
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
    """Select the loads to evict so that `free_slots` further loads fit within `max_records`.

    A load of this boot expires one retention time after its end. Loads of other boots expire one retention
    time after this boot's start, when their clients have stopped retrying, whenever they ended. If more slots
    are needed, the loads that ended first are evicted early; an open load never is.

    Args:
        loads: All load records.
        now_ms: The time on this boot's monotonic clock.
        boot_count: This boot's number.
        boot_started_at_ms: When this boot started.
        retention_ms: How long after a load's end its client may still retry it, in ms.
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
    """Select the records of a kind to evict so that `free_slots` further records fit.

    Hints are evicted in the order of their age, the oldest first. Authoritative records are only removed by
    their owners, so `is_full` is set if they leave too few free slots.

    Args:
        kind: The kind of the records.
        ages_ms: The age of each record by its key, in ms.
        free_slots: The number of further records that must fit.
        max_records: The largest number of records; 0 for the kind's default.
    """
    surplus = max(0, len(ages_ms) + free_slots - (max_records or MAX_RECORDS[kind]))
    if not surplus or TRUST_BY_KIND[kind] is not Trust.HINT:
        return Eviction((), is_full=surplus > 0)
    oldest_first = sorted(ages_ms, key=lambda key: (-ages_ms[key], key))
    return Eviction(tuple(oldest_first[:surplus]), is_full=surplus > len(oldest_first))
