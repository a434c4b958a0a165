"""One instance's records of loads: those that it sent, and those that were queried here; does no I/O.

Times are ms of this instance's monotonic clock. The entry of a sent load expires one retention after the end
of its last run, or after this start if an earlier boot sent it. A queried load expires one retention after
its last query. While an instance is unreachable and not proven silent, clients are asked to retry later, so
entries are kept until one retention after that, as long as half of the capacity is free.
"""

from __future__ import annotations

import hashlib
import math
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from enum import Enum, IntEnum

LENGTH_BYTES = 8


def load_identity(class_name: str, key: str, body: bytes) -> bytes:
    """Return a load's identity, which is the same for each retry at every instance."""
    digest = hashlib.blake2b(digest_size=16)
    for part in (class_name.encode(), key.encode(), body):
        digest.update(len(part).to_bytes(LENGTH_BYTES, "big") + part)
    return digest.digest()


def retention_ms_for(deadlines_ms: Iterable[float], slack_ms: float = 10_000.0) -> float:
    """Return how long after it was sent a load must stay recorded, in ms.

    A client that sends its first request at t waits for at most the longest deadline L. At t + L at the
    latest the client has learned that the request failed, and retries; that retry waits for at most L as
    well. So what was sent at t is queried until t + 2 L. The slack covers retries after a pause. A retry that
    was answered NOT_KNOWN_YET may be repeated after that, so the age of a retry is measured from its first
    query here or at any dispatcher queried.
    """
    return 2 * max(deadlines_ms, default=0.0) + slack_ms


class LoadResult(Enum):
    """How one run of a load ended. NEVER_RAN requires proof that no engine executed it."""

    SUCCEEDED = "well"
    FAILED = "failed"
    NEVER_RAN = "never"


class LoadKnowledge(IntEnum):
    """The knowledge about a load that a client retries, and what follows for the retry.

    NEVER_SENT      this instance must send it now (then call `on_sent`) or call `cancel`
    SUCCEEDED       it has succeeded
    MAY_HAVE_RUN    the retry fails, and is not sent
    NOT_KNOWN_YET   the retry is rejected; the client may retry after `retry_after_ms`
    """

    NEVER_SENT = 0
    SUCCEEDED = 1
    MAY_HAVE_RUN = 2
    NOT_KNOWN_YET = 3


@dataclass(slots=True, frozen=True)
class RecordedLoad:
    """A load of an earlier boot as recorded in the state folder; result is None if it is not known."""

    load: bytes
    result: LoadResult | None = None


@dataclass(slots=True)
class SentLoad:
    """This instance's record of a load that it sent.

    Attributes:
        open_runs: Runs that have not ended.
        may_have_run: Whether a run failed after the load may have been executed.
        succeeded: Whether a run succeeded.
        expires_at: Time at which the entry may be dropped, in ms.
    """

    open_runs: int = 0
    may_have_run: bool = False
    succeeded: bool = False
    expires_at: float = math.inf


@dataclass(slots=True)
class QueriedLoad:
    """The times of the first and last query about a load, in ms, and the dispatchers that queried it."""

    first_at: float
    last_at: float
    dispatchers: set[int] = field(default_factory=set)


class LocalLoads:
    """The loads recorded by this instance: sent, queried and reported ones, at most `max_loads` of each."""

    def __init__(
        self, now: float, recorded: Sequence[RecordedLoad], retention_ms: float, max_loads: int
    ) -> None:
        self.retention_ms, self.max_loads, self.started_at = retention_ms, max_loads, now
        self.partitioned_at = -math.inf  # when an instance not proven silent was last unreachable
        self.entries: dict[bytes, SentLoad] = {}
        self.queried: dict[bytes, QueriedLoad] = {}
        self.reported: dict[bytes, float] = {}  # expiry of each load that other instances reported as open
        for earlier in recorded:
            if earlier.result is not LoadResult.NEVER_RAN:
                succeeded = earlier.result is LoadResult.SUCCEEDED
                self.entries[earlier.load] = SentLoad(0, not succeeded, succeeded, now + retention_ms)
        self.unfinished = [earlier.load for earlier in recorded if earlier.result is None]

    def is_full(self, load: bytes) -> bool:
        """Return whether a load has no entry and there is no capacity for one."""
        return load not in self.entries and len(self.entries) >= self.max_loads

    def begin(self, load: bytes) -> None:
        """Record that a run of a load may be sent from now on."""
        entry = self.entries.setdefault(load, SentLoad())
        entry.open_runs, entry.expires_at = entry.open_runs + 1, math.inf

    def end(self, now: float, load: bytes, result: LoadResult) -> None:
        """Record the result of a run."""
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
        """Return what follows from the records of a load; None if they don't decide."""
        entry = self.entries.get(load)
        may_run = entry is not None and (entry.open_runs or entry.may_have_run)
        if may_run or self.reported.get(load, -math.inf) > now:
            return LoadKnowledge.MAY_HAVE_RUN
        return LoadKnowledge.SUCCEEDED if entry is not None and entry.succeeded else None

    def record_query(self, now: float, load: bytes, dispatcher: int) -> QueriedLoad | None:
        """Record that a dispatcher has a retry of a load pending; return None if there is no capacity."""
        queried = self.queried.get(load)
        if queried is None:
            if len(self.queried) >= self.max_loads:
                return None
            queried = self.queried[load] = QueriedLoad(now, now)
        queried.last_at = now
        queried.dispatchers.add(dispatcher)
        return queried

    def add_reported(self, now: float, loads: Iterable[bytes]) -> None:
        """Record loads whose result another instance does not know; they may have run."""
        for load in loads:
            if len(self.reported) < self.max_loads:
                self.reported.setdefault(load, now + self.retention_ms)

    def may_predate_start(self, queried: QueriedLoad) -> bool:
        """Return whether a queried load may have been sent before this start."""
        return queried.first_at <= self.started_at + self.retention_ms

    def may_be_forgotten(self, now: float, queried: QueriedLoad) -> bool:
        """Return whether a load has been queried for so long that its sender may have dropped its record.

        A load sent at s is recorded until s + `retention_ms` at least, and its client first queries it at s +
        the longest deadline at the latest. Half a retention is no more than the rest of that time.
        """
        return now - queried.first_at > self.retention_ms / 2

    def expire(self, now: float, pending: Iterable[bytes]) -> None:
        """Drop what can't be queried any more, except pending loads.

        During a partition and one retention after it, entries are kept while there is capacity: clients on
        the other side may have been told to retry later during all of that time.
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
