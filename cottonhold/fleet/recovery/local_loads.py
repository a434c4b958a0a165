"""What one instance itself knows of loads: those it sent, and those that it was asked about. Pure.

Times are ms of this instance's monotonic clock. An entry goes a hold after its end, or after this start where
an earlier boot sent it; what was asked about a hold after it was last asked about. While an instance that
isn't gone can't be heard, its clients are told to come later: so holds last until one more has passed since
then, as long as entries leave half of the room.
"""

from __future__ import annotations

import hashlib
import math
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from enum import Enum, IntEnum


def identity(service: str, key: str, body: bytes) -> bytes:
    """A load's identity: the same wherever a client sends it again."""
    parts = (service.encode(), key.encode(), body)
    digest = hashlib.blake2b(digest_size=16)
    for part in parts:
        digest.update(len(part).to_bytes(8, "big") + part)
    return digest.digest()


def hold_for(deadlines: Iterable[float], slack: float = 10_000.0) -> float:
    """How long after it was sent a load can still be asked about: see the module."""
    return 2 * max(deadlines, default=0.0) + slack


class How(Enum):
    """How a load ended. NEVER: with proof that it never ran."""

    WELL = "well"
    FAILED = "failed"
    NEVER = "never"


class Known(IntEnum):
    """What is known of a load that a client asks about again."""

    NEVER = 0
    WELL = 1
    MAY = 2
    LATER = 3


@dataclass(slots=True, frozen=True)
class LoadKept:
    """A load of an earlier boot, as the folder had it. how: its end; None: not known."""

    load: bytes
    how: How | None = None


@dataclass(slots=True)
class Entry:
    """What this instance knows of a load. open: runs without an end. may: one ended otherwise than well."""

    open: int = 0
    may: bool = False
    well: bool = False
    until: float = math.inf


@dataclass(slots=True)
class Asked:
    """Retries of a load that were heard of here: when first and last, and the numbers that asked."""

    first: float
    last: float
    by: set[int] = field(default_factory=set)


class Own:
    """This instance's records, `most` of each kind at most."""

    def __init__(self, now: float, remembered: Sequence[LoadKept], hold: float, most: int) -> None:
        self.hold, self.most, self.started = hold, most, now
        self.apart_at = -math.inf  # when last one that isn't gone could not be heard
        self.entries: dict[bytes, Entry] = {}
        self.asked: dict[bytes, Asked] = {}
        self.told: dict[bytes, float] = {}  # others' loads of earlier boots, until when
        for kept in remembered:
            if kept.how is not How.NEVER:
                well = kept.how is How.WELL
                self.entries[kept.load] = Entry(0, not well, well, now + hold)
        self.open = [kept.load for kept in remembered if kept.how is None]

    def full(self, load: bytes) -> bool:
        """There is no room for another load."""
        return load not in self.entries and len(self.entries) >= self.most

    def begin(self, load: bytes) -> None:
        """It may be sent from now on."""
        entry = self.entries.setdefault(load, Entry())
        entry.open, entry.until = entry.open + 1, math.inf

    def end(self, now: float, load: bytes, how: How) -> None:
        """Its end."""
        entry = self.entries.get(load)
        if entry is None or not entry.open:
            return
        entry.open -= 1
        entry.well |= how is How.WELL
        entry.may |= how is How.FAILED
        if not entry.open:
            entry.until = now + self.hold
            if not entry.well and not entry.may:
                del self.entries[load]

    def known(self, now: float, load: bytes) -> Known | None:
        """What the records say, if they decide."""
        entry = self.entries.get(load)
        if entry is not None and (entry.open or entry.may) or self.told.get(load, -math.inf) > now:
            return Known.MAY
        return Known.WELL if entry is not None and entry.well else None

    def note(self, now: float, load: bytes, number: int) -> Asked | None:
        """Remember that a number has a retry of it in hand; None where there is no room."""
        asked = self.asked.get(load)
        if asked is None:
            if len(self.asked) >= self.most:
                return None
            asked = self.asked[load] = Asked(now, now)
        asked.last = now
        asked.by.add(number)
        return asked

    def tell(self, now: float, loads: Iterable[bytes]) -> None:
        """Another's loads of earlier boots."""
        for load in loads:
            if len(self.told) < self.most:
                self.told.setdefault(load, now + self.hold)

    def blind(self, asked: Asked) -> bool:
        """Whether a load first asked about then may be of a time before this start."""
        return asked.first <= self.started + self.hold

    def late(self, now: float, asked: Asked) -> bool:
        """Whether its client has come back for so long that whoever sent it may have forgotten it. What was
        sent at s is kept until s + `hold` at least; its client asked first at s + longest at the latest; and
        half a hold is no more than what is left."""
        return now - asked.first > self.hold / 2

    def forget(self, now: float, keep: Iterable[bytes]) -> None:
        """What can't be asked about any more, but for these."""
        kept, old = set(keep), now - self.hold
        over = {load for load, e in self.entries.items() if e.until <= now}
        # Danger: a client was told to come later across a cut for as long as its load was remembered on the
        # other side; then the cut healed, and it ran again.
        if self.apart_at > old:
            surplus = len(self.entries) - self.most // 2
            over = set(sorted(over, key=lambda load: self.entries[load].until)[: max(surplus, 0)])
        self.entries = {load: e for load, e in self.entries.items() if load not in over}
        self.asked = {load: a for load, a in self.asked.items() if a.last > old or load in kept}
        self.told = {load: until for load, until in self.told.items() if until > now}
