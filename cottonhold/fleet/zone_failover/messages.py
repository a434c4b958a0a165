"""What instances tell one another of zones: one word an instance, the newest of each counts. Pure.

    kind 1 | count 1 | words, each: member 8 | life 4 | version 4 | rate 2 | orders 4 | zones 1 | zones, each:
    zone 2 | vote 1 | good 1 | late 1 | bad 1 | pace 1

Words merge by (life, version): in any order, any number of times, with the same result. A word that is older
than what is known changes nothing, so neither does one that was kept and sent again.
"""

from __future__ import annotations

import itertools
import struct
import zlib
from collections.abc import Iterable
from dataclasses import dataclass
from enum import IntEnum
from typing import Generic, Protocol, TypeVar

HEAD = struct.Struct("!QIIHIB")
ZONE = struct.Struct("!HBBBBB")
WORDS, ASK, GRANT, ORDERS, LOADS = 1, 2, 3, 4, 5  # kinds of message of the fleet
ROOM = 200  # bytes of a message: a datagram of 256 less membership's head and MAC
MOST_ZONES = 16
PASSED_MOST = 16  # more words than a datagram holds
HIGHEST = 0xFFFFFFFF  # life and version as they are written


class WordError(Exception):
    """A message of the fleet that makes no sense."""


class Vote(IntEnum):
    """What an instance wants of a zone."""

    IN = 0
    OUT = 1


@dataclass(slots=True, frozen=True)
class ZoneWord:
    """One instance's word on one zone. good, late, bad: its signs in the window. pace: 0 to 1, what it would
    let the zone have of its full load."""

    vote: Vote = Vote.IN
    good: int = 0
    late: int = 0
    bad: int = 0
    pace: float = 1.0
    sure: bool = False  # by own evidence, and not by joining others
    accuses: bool = False  # sees it fail, without being sure


@dataclass(slots=True, frozen=True)
class Word:
    """All that one instance tells: its rate of requests a second, the orders it knows, and its zones."""

    member: int
    life: int
    version: int
    rate: int
    orders: int
    zones: dict[int, ZoneWord]

    @property
    def stamp(self) -> tuple[int, int]:
        """What decides which of two words of one member is newer."""
        return self.life, self.version


def zone_number(name: str) -> int:
    """A zone's number on the wire, the same at every instance."""
    return zlib.crc32(name.encode()) & 0xFFFF


def pack_word(word: Word) -> bytes:
    """A word's bytes."""
    head = HEAD.pack(
        word.member, word.life, word.version, min(word.rate, 0xFFFF), word.orders, len(word.zones)
    )
    zones = [
        ZONE.pack(
            number,
            z.vote | z.sure << 1 | z.accuses << 2,
            *(min(n, 255) for n in (z.good, z.late, z.bad)),
            round(z.pace * 255),
        )
        for number, z in sorted(word.zones.items())
    ]
    return head + b"".join(zones)


def pack_words(words: Iterable[Word], room: int) -> bytes:
    """A message with as many of these words as fit, first ones first."""
    parts, left = list[bytes](), room - 2
    for word in words:
        size = HEAD.size + len(word.zones) * ZONE.size
        if size <= left and len(parts) < 255:
            parts.append(pack_word(word))
            left -= size
        elif left < HEAD.size + ZONE.size:
            break
    return bytes((WORDS, len(parts))) + b"".join(parts)


def read_words(data: bytes) -> list[Word]:
    """The words of a message. Raises WordError; then none of them counts."""
    if len(data) < 2 or data[0] != WORDS:
        raise WordError("no words")
    words, at = [], 2
    try:
        for _ in range(data[1]):
            member, life, version, rate, orders, count = HEAD.unpack_from(data, at)
            at += HEAD.size
            if not member or count > MOST_ZONES:
                raise WordError("member or zones")
            zones = {}
            for _ in range(count):
                number, vote, good, late, bad, pace = ZONE.unpack_from(data, at)
                at += ZONE.size
                if vote > 7:
                    raise WordError("vote")
                zones[number] = ZoneWord(
                    Vote(vote & 1), good, late, bad, pace / 255, bool(vote & 2), bool(vote & 4)
                )
            words.append(Word(member, life, version, rate, orders, zones))
    except struct.error:
        raise WordError("truncated") from None
    if at != len(data):
        raise WordError("too long")
    return words


class Stamped(Protocol):
    """What an instance says of itself, each time with a higher version."""

    @property
    def member(self) -> int: ...
    @property
    def version(self) -> int: ...
    @property
    def stamp(self) -> tuple[int, int]: ...


Said = TypeVar("Said", bound=Stamped)


@dataclass(slots=True)
class Heard(Generic[Said]):
    """The newest word of a member, and when it came."""

    word: Said
    at: float


class Words(Generic[Said]):
    """The newest word of each member."""

    def __init__(self, me: int) -> None:
        self.me = me
        self.heard: dict[int, Heard[Said]] = {}
        self.told: tuple[int, int] = (0, 0)  # the highest stamp that a word of this instance came under

    def take(self, now: float, word: Said) -> bool:
        """Merge a word; true if it was news."""
        if word.member == self.me:
            # Danger: one that lies, or an earlier start with a wall clock that was ahead, would speak in this
            # instance's name for good. The owner passes whatever stamp is told of it.
            self.told = max(self.told, word.stamp)
            return False
        known = self.heard.get(word.member)
        if known is not None and word.stamp <= known.word.stamp:
            return False
        self.heard.pop(word.member, None)  # so that the newest stand last
        self.heard[word.member] = Heard(word, now)
        return True

    def following(self, life: int, version: int) -> tuple[int, int]:
        """The stamp of this instance's next word, after its last one and whatever was told of it."""
        life, version = max((life, version), self.told)
        if version < HIGHEST:
            return life, version + 1
        return (life + 1, 1) if life < HIGHEST else (life, version)

    def passed_by(self, sender: int, said: Iterable[Said]) -> Said | None:
        """The newest word of a member that has just said an older one: it ought to know of it.

        Danger: without a folder a life is numbered by a wall clock, and that may have been set back between
        two starts. In small fleets nobody passes words on, and those of the new start counted for nothing.
        """
        known = self.heard.get(sender)
        older = known is not None and any(w.member == sender and w.stamp < known.word.stamp for w in said)
        return known.word if known is not None and older else None

    def newest(self) -> Iterable[Heard[Said]]:
        """The words, those that came last first."""
        return itertools.islice(reversed(self.heard.values()), PASSED_MOST)

    def fresh(self, now: float, within: float, members: Iterable[int]) -> list[Said]:
        """Words of these members that came within so many ms."""
        found = (self.heard.get(member) for member in members)
        return [h.word for h in found if h is not None and now - h.at <= within]

    def forget(self, members: Iterable[int]) -> None:
        """Members that are gone for good."""
        for member in members:
            self.heard.pop(member, None)
