"""What lasts over a restart, how far each kind of it is trusted when read again, and when it is forgotten.
Pure.

A record is a kind, a key and a value. The forms of values carry a version byte: a later program's record
(one went back to an older version) and a garbled one are told by RecordError, never guessed. For a load that
means: it may have run.

No record holds a wall time. Times are this boot's monotonic ms; those of an earlier boot can't be compared
with anything and are used for nothing but showing.
"""

from __future__ import annotations

import struct
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from enum import Enum, IntEnum

VERSION = 1
# A load's identity: drawn anew by whoever sends it, so that two lives never mean the same by it.
IDENTITY = 16


class RecordError(ValueError):
    """The value is garbled or of a version that this program doesn't know; the text says which."""


class Kind(IntEnum):
    """Kinds of records. The numbers are on disk: never used again for something else."""

    LIFE = 1
    LOAD = 2
    PROMISE = 3
    ORDER = 4
    PIN = 5
    ENGINE = 16
    RATE = 17
    WARM = 18
    MEMBER = 19
    DRAIN = 20


class Trust(Enum):
    """How far what was read from the disk is trusted by a new life."""

    WHOLLY = "wholly"
    HINT = "as a hint to be checked"
    NOT = "not at all"


TRUST: dict[Kind, Trust] = {
    Kind.LIFE: Trust.WHOLLY,
    Kind.LOAD: Trust.WHOLLY,
    Kind.PROMISE: Trust.WHOLLY,
    Kind.ORDER: Trust.WHOLLY,
    Kind.PIN: Trust.WHOLLY,
    Kind.ENGINE: Trust.HINT,
    Kind.RATE: Trust.HINT,
    Kind.WARM: Trust.HINT,
    Kind.MEMBER: Trust.HINT,
    Kind.DRAIN: Trust.HINT,
}

REASONS: dict[Kind, str] = {
    Kind.LIFE: "only this process writes it, and it only grows; a smaller one would be taken for an old life",
    Kind.LOAD: "durable before the first byte went out: what it says was sent may have run",
    Kind.PROMISE: "a voter that forgets its promise lets two decisions stand; only its disk knows it",
    Kind.ORDER: "a person gave it and expects it to stand until a person takes it back",
    Kind.PIN: "on disk before it was said to anyone: others count on it. Only of a whole folder, else all go",
    Kind.ENGINE: "addresses change hands: used only once an engine there has answered, until a source does",
    Kind.RATE: "an engine back from a power loss is cold: an upper bound for its ramp, never a start",
    Kind.WARM: "its data sets may have gone with its power: an order in which to ask, no more",
    Kind.MEMBER: "whom to greet first; that it is there is shown by its own word only",
    Kind.DRAIN: "its swap may be over by now: nothing goes there until the registers have been read again",
}

# What is deliberately never kept, with the reason; the design page shows both tables.
NOT_KEPT: dict[str, str] = {
    "health": "a moment's evidence; old evidence sends the first requests to the wrong place with confidence",
    "pace": "parts of a shared budget: an old part plus the new ones would add up to more than the whole",
    "price": "follows demand within seconds; an old one refuses clients whom nobody crowds out any more",
    "loan": "belongs to a budget of a time that has gone",
    "lease": "its clock stopped; a voter is silent for a whole lease after its start instead",
}

# At most so many records of a kind. A load's record is some 300 bytes: 20,000 are 6 MB of file and of memory.
MOST: dict[Kind, int] = {
    Kind.LIFE: 4,
    Kind.LOAD: 20_000,
    Kind.PROMISE: 8_192,
    Kind.ORDER: 1_024,
    Kind.PIN: 20_000,
    Kind.ENGINE: 4_096,
    Kind.RATE: 4_096,
    Kind.WARM: 8_192,
    Kind.MEMBER: 1_024,
    Kind.DRAIN: 4_096,
}


@dataclass(slots=True, frozen=True)
class Record:
    """One thing to be kept under its kind and key; `value` None forgets it."""

    kind: Kind
    key: bytes
    value: bytes | None


# --- forms of values ---


class LoadState(IntEnum):
    """SENT: its end isn't known, it may have run. WELL, FAILED: so the engine said. NEVER: no byte went
    out."""

    SENT = 0
    WELL = 1
    FAILED = 2
    NEVER = 3


_LOAD = struct.Struct("<BBQdd")
_LIFE = struct.Struct("<BQQB")
_HINT = struct.Struct("<Bd")


@dataclass(slots=True, frozen=True)
class LoadRecord:
    """A load: identity, the client's `ref`, its order `key`, digest of statement, the engine and the boot it
    was sent in. `sent_ms` and `ended_ms` are on that boot's monotonic clock and mean nothing in another."""

    load: bytes
    ref: str
    key: str
    digest: bytes
    engine: str
    boot: int
    sent_ms: float
    state: LoadState
    ended_ms: float = 0.0

    @property
    def open(self) -> bool:
        """Its end isn't known."""
        return self.state is LoadState.SENT

    def pack(self) -> bytes:
        """The value; the identity is the record's key."""
        head = _LOAD.pack(VERSION, self.state, self.boot, self.sent_ms, self.ended_ms)
        return head + b"".join(
            _short(part) for part in (self.ref.encode(), self.key.encode(), self.digest, self.engine.encode())
        )

    def record(self) -> Record:
        """As it is put."""
        return Record(Kind.LOAD, self.load, self.pack())

    @classmethod
    def read(cls, load: bytes, value: bytes) -> LoadRecord:
        """Raises RecordError."""
        if len(load) != IDENTITY:
            raise RecordError(f"a load's identity of {len(load)} bytes")
        _known(value, _LOAD.size)
        _, state, boot, sent, ended = _LOAD.unpack_from(value)
        ref, key, digest, engine = _shorts(value, _LOAD.size, 4)
        try:
            return cls(
                load, ref.decode(), key.decode(), digest, engine.decode(), boot, sent, LoadState(state), ended
            )
        except ValueError as error:
            raise RecordError(f"a garbled load: {error}") from error


@dataclass(slots=True, frozen=True)
class LifeRecord:
    """One life of this process: its boot, its incarnation among the members, and whether it ended by
    close."""

    boot: int
    incarnation: int
    clean: bool

    def pack(self) -> bytes:
        """The value."""
        return _LIFE.pack(VERSION, self.boot, self.incarnation, self.clean)

    def record(self) -> Record:
        """As it is put: there is one."""
        return Record(Kind.LIFE, b"life", self.pack())

    @classmethod
    def read(cls, value: bytes) -> LifeRecord:
        """Raises RecordError."""
        _known(value, _LIFE.size)
        if len(value) != _LIFE.size or value[-1] > 1:
            raise RecordError("a garbled life")
        _, boot, incarnation, clean = _LIFE.unpack(value)
        return cls(boot, incarnation, bool(clean))


@dataclass(slots=True, frozen=True)
class Hint:
    """Something that was so when it was written. `age_ms`: how old it was by then; how long the power was
    away since isn't known, so a hint's true age is always more."""

    value: bytes
    age_ms: float

    def pack(self) -> bytes:
        """The value."""
        return _HINT.pack(VERSION, self.age_ms) + self.value

    @classmethod
    def read(cls, value: bytes) -> Hint:
        """Raises RecordError."""
        _known(value, _HINT.size)
        age = _HINT.unpack_from(value)[1]
        if not age >= 0.0:
            raise RecordError("a hint's age isn't one")
        return cls(value[_HINT.size :], age)


def _known(value: bytes, least: int) -> None:
    if not value or value[0] != VERSION:
        raise RecordError(f"version {value[0]}" if value else "an empty value")
    if len(value) < least:
        raise RecordError("cut short")


def _short(part: bytes) -> bytes:
    if len(part) > 0xFFFF:
        raise RecordError("a part of over 65535 bytes")
    return len(part).to_bytes(2, "little") + part


def _shorts(value: bytes, at: int, count: int) -> list[bytes]:
    parts = []
    for _ in range(count):
        size = int.from_bytes(value[at : at + 2], "little")
        if at + 2 + size > len(value):
            raise RecordError("cut short")
        parts.append(value[at + 2 : at + 2 + size])
        at += 2 + size
    if at != len(value):
        raise RecordError("more than there should be")
    return parts


# --- read again ---


@dataclass(slots=True, frozen=True)
class Loads:
    """Loads as read: `known` by identity, and `unread`: there was a load, more can't be said; it may have
    run."""

    known: dict[bytes, LoadRecord]
    unread: frozenset[bytes]


def loads(kept: Mapping[bytes, bytes]) -> Loads:
    """Reads all loads' records. What can't be read is counted as one that may have run, never left out."""
    known: dict[bytes, LoadRecord] = {}
    unread = set()
    for load, value in kept.items():
        try:
            known[load] = LoadRecord.read(load, value)
        except RecordError:
            unread.add(load)
    return Loads(known, frozenset(unread))


# --- forgotten ---


@dataclass(slots=True, frozen=True)
class Forget:
    """Decided: these keys may go. `early`: so many of them ended less than the hold ago and went only to make
    room, so a retry of theirs would run again. `full`: there is still no room, only open ones are left."""

    keys: tuple[bytes, ...]
    early: int = 0
    full: bool = False


def forget_loads(
    kept: Iterable[LoadRecord],
    *,
    now_ms: float,
    boot: int,
    started_ms: float,
    hold_ms: float,
    most: int = MOST[Kind.LOAD],
    room: int = 1,
) -> Forget:
    """Which loads may be forgotten so that `room` more fit under `most`.

    hold_ms: how long a client may still ask again after a load's end. A load of this boot goes one hold
    after its end. Those of earlier boots go one hold after this boot's start: by which time their clients'
    patience has passed whenever they ended. To make room the one that ended first goes first; an open one of
    whatever boot never does."""
    gone: list[bytes] = []
    ended: list[tuple[int, float, bytes]] = []
    left = 0
    for load in kept:
        if load.boot != boot:
            over = now_ms - started_ms > hold_ms
        else:
            over = not load.open and now_ms - load.ended_ms > hold_ms
        if over:
            gone.append(load.load)
            continue
        left += 1
        if not load.open:
            ended.append((load.boot, load.ended_ms, load.load))
    surplus = max(0, left + room - most)
    early = [key for _, _, key in sorted(ended)[:surplus]]
    return Forget((*gone, *early), len(early), surplus > len(early))


def forget_others(kind: Kind, ages: Mapping[bytes, float], *, room: int = 1, most: int = 0) -> Forget:
    """Which of a kind's records may go so that `room` more fit: hints by age (ms), the oldest first. What is
    trusted wholly, and pins, only their owners take away: `full` when they leave no room."""
    surplus = max(0, len(ages) + room - (most or MOST[kind]))
    if not surplus or TRUST[kind] is not Trust.HINT:
        return Forget((), full=surplus > 0)
    oldest = sorted(ages, key=lambda key: (-ages[key], key))[:surplus]
    return Forget(tuple(oldest), full=surplus > len(oldest))
