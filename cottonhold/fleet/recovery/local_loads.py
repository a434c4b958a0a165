"""What one instance itself knows of loads: those it sent, and those that were queried here. Pure.

Times are ms of this instance's monotonic clock. An entry expires one retention after its end, or after this
start where an earlier boot sent it; a queried load one retention after it was last queried. While an instance
that isn't proven silent can't be heard, its clients are told to come later: so entries last until one more
retention has passed since then, as long as they leave half of the capacity free.
"""

from __future__ import annotations

import hashlib
import math
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from enum import Enum, IntEnum

LENGTH_BYTES = 8


def load_identity(class_name: str, key: str, body: bytes) -> bytes:
    """A load's identity: the same wherever a client sends it again."""
    digest = hashlib.blake2b(digest_size=16)
    for part in (class_name.encode(), key.encode(), body):
        digest.update(len(part).to_bytes(LENGTH_BYTES, "big") + part)
    return digest.digest()


def retention_ms_for(deadlines_ms: Iterable[float], slack_ms: float = 10_000.0) -> float:
    """How long after it was sent a load can still be queried: see load_history."""
    return 2 * max(deadlines_ms, default=0.0) + slack_ms


class LoadResult(Enum):
    """How a load ended. NEVER_RAN: with proof of that."""

    SUCCEEDED = "well"
    FAILED = "failed"
    NEVER_RAN = "never"


class LoadKnowledge(IntEnum):
    """What is known of a load that a client sends again."""

    NEVER_SENT = 0
    SUCCEEDED = 1
    MAY_HAVE_RUN = 2
    NOT_KNOWN_YET = 3


@dataclass(slots=True, frozen=True)
class RecordedLoad:
    """A load of an earlier boot, as the folder had it. result: None where it is not known."""

    load: bytes
    result: LoadResult | None = None


@dataclass(slots=True)
class Entry:
    """What this instance knows of a load. open_runs: without an end. may_have_run: one ended otherwise than
    well."""

    open_runs: int = 0
    may_have_run: bool = False
    succeeded: bool = False
    expires_at: float = math.inf


@dataclass(slots=True)
class QueriedLoad:
    """Retries of a load that are known here: when first and last, and the dispatchers that queried it."""

    first_at: float
    last_at: float
    dispatchers: set[int] = field(default_factory=set)


class LocalLoads:
    """This instance's records, `max_loads` of each kind at most."""

    def __init__(
        self, now: float, recorded: Sequence[RecordedLoad], retention_ms: float, max_loads: int
    ) -> None:
        self.retention_ms, self.max_loads, self.started_at = retention_ms, max_loads, now
        self.partitioned_at = -math.inf  # when one that isn't proven silent was last unreachable
        self.entries: dict[bytes, Entry] = {}
        self.queried: dict[bytes, QueriedLoad] = {}
        self.reported: dict[bytes, float] = {}  # others' loads of earlier boots, and when each expires
        for earlier in recorded:
            if earlier.result is not LoadResult.NEVER_RAN:
                succeeded = earlier.result is LoadResult.SUCCEEDED
                self.entries[earlier.load] = Entry(0, not succeeded, succeeded, now + retention_ms)
        self.open = [earlier.load for earlier in recorded if earlier.result is None]

    def is_full(self, load: bytes) -> bool:
        """Whether there is no capacity for another load."""
        return load not in self.entries and len(self.entries) >= self.max_loads

    def begin(self, load: bytes) -> None:
        """It may be sent from now on."""
        entry = self.entries.setdefault(load, Entry())
        entry.open_runs, entry.expires_at = entry.open_runs + 1, math.inf

    def end(self, now: float, load: bytes, result: LoadResult) -> None:
        """A run has ended."""
        entry = self.entries.get(load)
        if entry is None or not entry.open_runs:
            return
        entry.open_runs -= 1
        entry.succeeded |= result is LoadResult.SUCCEEDED
        entry.may_have_run |= result is LoadResult.FAILED
        if not entry.open_runs:
            entry.expires_at = now + self.retention_ms
            if not entry.succeeded and not entry.may_have_run:
                del self.entries[load]

    def knowledge(self, now: float, load: bytes) -> LoadKnowledge | None:
        """What the records say, if they decide."""
        entry = self.entries.get(load)
        may_run = entry is not None and (entry.open_runs or entry.may_have_run)
        if may_run or self.reported.get(load, -math.inf) > now:
            return LoadKnowledge.MAY_HAVE_RUN
        return LoadKnowledge.SUCCEEDED if entry is not None and entry.succeeded else None

    def note_query(self, now: float, load: bytes, dispatcher: int) -> QueriedLoad | None:
        """Remember that a dispatcher has a retry of it pending; None where there is no capacity."""
        queried = self.queried.get(load)
        if queried is None:
            if len(self.queried) >= self.max_loads:
                return None
            queried = self.queried[load] = QueriedLoad(now, now)
        queried.last_at = now
        queried.dispatchers.add(dispatcher)
        return queried

    def add_reported(self, now: float, loads: Iterable[bytes]) -> None:
        """Another instance's loads of earlier boots."""
        for load in loads:
            if len(self.reported) < self.max_loads:
                self.reported.setdefault(load, now + self.retention_ms)

    def may_predate_start(self, queried: QueriedLoad) -> bool:
        """Whether a load that was first queried then may have been sent before this start."""
        return queried.first_at <= self.started_at + self.retention_ms

    def is_late(self, now: float, queried: QueriedLoad) -> bool:
        """Whether its client has retried for so long that whoever sent it may have forgotten it. What was
        sent at s is kept until s + `retention_ms` at least; its client queried it first at s + the longest
        deadline at the latest; and half a retention is no more than what remains."""
        return now - queried.first_at > self.retention_ms / 2

    def expire(self, now: float, pending: Iterable[bytes]) -> None:
        """Drop what can't be queried any more, but for pending loads.

        During a partition, and one retention after it, entries are kept while there is capacity: the client
        of one may have been told to retry later on the other side all the while.
        """
        pending_loads, oldest = set(pending), now - self.retention_ms
        expired = {load for load, entry in self.entries.items() if entry.expires_at <= now}
        if self.partitioned_at > oldest:
            surplus = max(len(self.entries) - self.max_loads // 2, 0)
            expired = set(sorted(expired, key=lambda load: self.entries[load].expires_at)[:surplus])
        self.entries = {load: entry for load, entry in self.entries.items() if load not in expired}
        self.queried = {
            load: queried
            for load, queried in self.queried.items()
            if queried.last_at > oldest or load in pending_loads
        }
        self.reported = {load: expires_at for load, expires_at in self.reported.items() if expires_at > now}
