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


def load_identity(service: str, key: str, body: bytes) -> bytes:
    """A load's identity: the same wherever a client sends it again."""
    parts = (service.encode(), key.encode(), body)
    digest = hashlib.blake2b(digest_size=16)
    for part in parts:
        digest.update(len(part).to_bytes(8, "big") + part)
    return digest.digest()


def hold_ms_for(deadlines: Iterable[float], slack: float = 10_000.0) -> float:
    """How long after it was sent a load can still be asked about: see the module."""
    return 2 * max(deadlines, default=0.0) + slack


class LoadResult(Enum):
    """How a load ended. NEVER: with proof that it never ran."""

    SUCCEEDED = "well"
    FAILED = "failed"
    NEVER_RAN = "never"


class LoadKnowledge(IntEnum):
    """What is known of a load that a client asks about again."""

    NEVER_SENT = 0
    SUCCEEDED = 1
    MAY_HAVE_RUN = 2
    NOT_KNOWN_YET = 3


@dataclass(slots=True, frozen=True)
class RecordedLoad:
    """A load of an earlier boot, as the folder had it. how: its end; None: not known."""

    load: bytes
    result: LoadResult | None = None


@dataclass(slots=True)
class Entry:
    """What this instance knows of a load. open: runs without an end. may: one ended otherwise than well."""

    open_runs: int = 0
    may_have_run: bool = False
    succeeded: bool = False
    expires_at: float = math.inf


@dataclass(slots=True)
class QueriedLoad:
    """Retries of a load that were heard of here: when first and last, and the numbers that asked."""

    first_at: float
    last_at: float
    dispatchers: set[int] = field(default_factory=set)


class LocalLoads:
    """This instance's records, `most` of each kind at most."""

    def __init__(self, now: float, remembered: Sequence[RecordedLoad], hold: float, most: int) -> None:
        self.hold_ms, self.max_loads, self.started_at = hold, most, now
        self.partitioned_at = -math.inf  # when last one that isn't gone could not be heard
        self.entries: dict[bytes, Entry] = {}
        self.queried: dict[bytes, QueriedLoad] = {}
        self.reported: dict[bytes, float] = {}  # others' loads of earlier boots, until when
        for kept in remembered:
            if kept.result is not LoadResult.NEVER_RAN:
                well = kept.result is LoadResult.SUCCEEDED
                self.entries[kept.load] = Entry(0, not well, well, now + hold)
        self.open = [kept.load for kept in remembered if kept.result is None]

    def is_full(self, load: bytes) -> bool:
        """There is no room for another load."""
        return load not in self.entries and len(self.entries) >= self.max_loads

    def begin(self, load: bytes) -> None:
        """It may be sent from now on."""
        entry = self.entries.setdefault(load, Entry())
        entry.open_runs, entry.expires_at = entry.open_runs + 1, math.inf

    def end(self, now: float, load: bytes, how: LoadResult) -> None:
        """Its end."""
        entry = self.entries.get(load)
        if entry is None or not entry.open_runs:
            return
        entry.open_runs -= 1
        entry.succeeded |= how is LoadResult.SUCCEEDED
        entry.may_have_run |= how is LoadResult.FAILED
        if not entry.open_runs:
            entry.expires_at = now + self.hold_ms
            if not entry.succeeded and not entry.may_have_run:
                del self.entries[load]

    def knowledge(self, now: float, load: bytes) -> LoadKnowledge | None:
        """What the records say, if they decide."""
        entry = self.entries.get(load)
        if (
            entry is not None
            and (entry.open_runs or entry.may_have_run)
            or self.reported.get(load, -math.inf) > now
        ):
            return LoadKnowledge.MAY_HAVE_RUN
        return LoadKnowledge.SUCCEEDED if entry is not None and entry.succeeded else None

    def note_query(self, now: float, load: bytes, number: int) -> QueriedLoad | None:
        """Remember that a number has a retry of it in hand; None where there is no room."""
        asked = self.queried.get(load)
        if asked is None:
            if len(self.queried) >= self.max_loads:
                return None
            asked = self.queried[load] = QueriedLoad(now, now)
        asked.last_at = now
        asked.dispatchers.add(number)
        return asked

    def add_reported(self, now: float, loads: Iterable[bytes]) -> None:
        """Another's loads of earlier boots."""
        for load in loads:
            if len(self.reported) < self.max_loads:
                self.reported.setdefault(load, now + self.hold_ms)

    def may_predate_start(self, asked: QueriedLoad) -> bool:
        """Whether a load first asked about then may be of a time before this start."""
        return asked.first_at <= self.started_at + self.hold_ms

    def is_late(self, now: float, asked: QueriedLoad) -> bool:
        """Whether its client has come back for so long that whoever sent it may have forgotten it. What was
        sent at s is kept until s + `hold` at least; its client asked first at s + longest at the latest; and
        half a hold is no more than what is left."""
        return now - asked.first_at > self.hold_ms / 2

    def expire(self, now: float, keep: Iterable[bytes]) -> None:
        """What can't be asked about any more, but for these."""
        kept, old = set(keep), now - self.hold_ms
        over = {load for load, e in self.entries.items() if e.expires_at <= now}
        # Danger: a client was told to come later across a cut for as long as its load was remembered on the
        # other side; then the cut healed, and it ran again.
        if self.partitioned_at > old:
            surplus = len(self.entries) - self.max_loads // 2
            over = set(sorted(over, key=lambda load: self.entries[load].expires_at)[: max(surplus, 0)])
        self.entries = {load: e for load, e in self.entries.items() if load not in over}
        self.queried = {load: a for load, a in self.queried.items() if a.last_at > old or load in kept}
        self.reported = {load: until for load, until in self.reported.items() if until > now}
