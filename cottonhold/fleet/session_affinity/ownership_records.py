"""The ownership records of one member, with the homes and epochs of keys; does no I/O."""

from __future__ import annotations

import math
import random
import struct
from bisect import bisect_left
from collections import deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from enum import IntEnum
from typing import NamedTuple

from cottonhold.fleet.consensus.actions import PersistState, SendConsensusMessage
from cottonhold.fleet.consensus.messages import MessageReader
from cottonhold.fleet.session_affinity.membership_lease import MembershipLease
from cottonhold.fleet.session_affinity.messages import EntryKind, MigrationEntry
from cottonhold.membership.leases import LeaseSettings
from cottonhold.membership.rendezvous import score

OWNERSHIP_RECORD_PREFIX = "pin/"  # prefix of records' names; the key in hexadecimal follows
# Epoch, owner, peer, offered epoch, state, whether a request of an earlier owner may have run.
RECORD_FORMAT = struct.Struct("!QQQQBB")
RELEASE_CONFIRMED_FORMAT = struct.Struct("!B")
PURGE_BATCH = 1000  # least number of unneeded records that are removed together
NO_MEMBER = 0
HANDOVER_BUCKETS_MS = (10.0, 20.0, 50.0, 100.0, 200.0, 500.0, 1000.0)  # upper bounds of histogram buckets


@dataclass(slots=True, frozen=True)
class OwnershipSettings:
    """Limits and times of the ownership of keys.

    Attributes:
        is_enabled: Whether keys have owners; if False, every member may start requests for every key.
        retry_interval_ms: Interval at which unanswered messages are sent again, in ms.
        max_moves_per_second: Maximum rate of offers to one target, in keys per second.
        max_pending_offers: Maximum number of keys that are being moved to one target.
        fence_delay_ms: Time after an accepted offer until no further request for the key starts, in ms.
        retry_after_ms: Time after which a request whose key has no owner now is retried, in ms.
        uncertainty_ms: Time after a fence or a move during which requests of the former owner may still run,
            in ms.
        max_records: Expected maximum number of keys of an owner; offers are declined at twice this number.
        max_overload_factor: Maximum ratio of the keys moved to a target to its proportional share.
        lease: Times of the leases of members.
    """

    is_enabled: bool = False
    retry_interval_ms: float = 60.0
    max_moves_per_second: float = 500.0
    max_pending_offers: int = 100
    fence_delay_ms: float = 300.0
    retry_after_ms: float = 40.0
    uncertainty_ms: float = 60_000.0
    max_records: int = 20_000
    max_overload_factor: float = 1.25
    lease: LeaseSettings = field(
        default_factory=lambda: LeaseSettings(duration_ms=600.0, retry_interval_ms=60.0)
    )


class OwnershipState(IntEnum):
    """The state of a key at this member; in RELEASED another member owns it."""

    OWNED, OFFERED, ACCEPTED, FENCED, RELEASED = range(5)


@dataclass(slots=True, frozen=True)
class OwnedHere:
    """Requests for the key may start here until `valid_until` (local clock), under this epoch.

    may_have_run: a request of an earlier owner may have run, and its outcome is not known here. Repeated
    execution is prevented by the load history, which does not depend on this flag.
    """

    epoch: int
    valid_until: float
    may_have_run: bool = False


@dataclass(slots=True, frozen=True)
class OwnedElsewhere:
    """Requests for the key must be forwarded to another member."""

    key: bytes
    owner: int


@dataclass(slots=True, frozen=True)
class RetryAfter:
    """No member may start requests for the key now; they are retried after the delay."""

    delay_ms: float


@dataclass(slots=True, frozen=True)
class MoveEnded:
    """The move of a key has ended: the target owns the key if `is_moved`, else it stays here."""

    key: bytes
    epoch: int
    target: int
    is_moved: bool


@dataclass(slots=True, frozen=True)
class OwnershipAcquired:
    """This member has become the owner of a key."""

    key: bytes
    epoch: int
    may_have_run: bool


Action = SendConsensusMessage | PersistState | MoveEnded | OwnershipAcquired


class DeferredMigrationAnswer(NamedTuple):
    """A member's entry that is answered once the record of its key is on disk."""

    member: int
    entry: MigrationEntry


class MoveAllowance(NamedTuple):
    """The number of keys that may be offered to a target, and when it was computed."""

    keys: float
    computed_at: float


class Candidate(NamedTuple):
    """A target that accepted a key from a fenced member, and the accepted epoch; kept by the key's home."""

    epoch: int
    member: int


class WithdrawnOffer(NamedTuple):
    """The target of a withdrawn offer, and when the withdrawal is sent next."""

    target: int
    next_send_at: float


@dataclass(slots=True)
class OwnershipRecord:
    """The owner of a key as recorded at one member, and the progress of its move.

    Attributes:
        peer: The target of a move; at the target, the member from which the key is moved.
        offered_epoch: The epoch under which the key is offered.
    """

    epoch: int
    owner: int
    state: OwnershipState
    peer: int = 0
    offered_epoch: int = 0
    uncertain_until: float = -math.inf  # end of the time during which an earlier owner's request may run
    pending_token: int = 0  # token of the last write; 0 once it is on disk
    is_accepted: bool = False  # in OFFERED and FENCED: the target has accepted the key
    release_confirmed: bool = False  # in RELEASED: the target has confirmed it, or no confirmation is needed
    home_informed: bool = False  # the key's home has recorded the owner
    home_has_candidate: bool = False  # the key's home has received the acceptance but not decided on it
    target_removed: bool = False  # in RELEASED: the target was fenced without confirming the release
    is_newly_acquired: bool = False  # in OWNED: acquired by the pending write
    offered_at: float = 0.0
    stopped_at: float = math.nan  # when this member stopped starting requests; NaN if unknown or never
    next_send_at: float = -math.inf
    pending_answer: DeferredMigrationAnswer | None = None


def home_score(member: int, key: bytes) -> tuple[float, int]:
    """Return a member's rank for a key by rendezvous hashing; the highest-ranked member is the home."""
    return score(member, 1.0, key.hex()), member


def home_among(members: Iterable[int], key: bytes) -> int:
    """Return the key's home among these members, or NO_MEMBER if there are none."""
    return max(members, key=lambda member: home_score(member, key), default=NO_MEMBER)


def encode_record(record: OwnershipRecord) -> bytes:
    """Encode a record for the disk."""
    may_have_run = record.uncertain_until > -math.inf
    fixed = RECORD_FORMAT.pack(
        record.epoch, record.owner, record.peer, record.offered_epoch, record.state, may_have_run
    )
    return fixed + RELEASE_CONFIRMED_FORMAT.pack(record.release_confirmed)


class OwnershipRecords:
    """One member's ownership records, and the writes and messages that result from them.

    The arguments are documented at KeyOwnership.
    """

    def __init__(
        self,
        member: int,
        members: Iterable[int],
        voters: Iterable[int],
        now: float,
        seed: int,
        records: Mapping[str, bytes],
        settings: OwnershipSettings | None = None,
        folder_is_current: bool = True,
        epoch: int = 0,
        fenced: Iterable[int] = (),
    ) -> None:
        self.member = member
        self.settings = settings or OwnershipSettings()
        self.random_source = random.Random(seed)
        self.lease = MembershipLease(
            member,
            members,
            voters,
            now,
            self.random_source.getrandbits(30),
            records,
            folder_is_current,
            self.settings.lease,
            epoch,
            fenced,
        )
        self.records: dict[bytes, OwnershipRecord] = {}
        self.open_requests: dict[bytes, set[int]] = {}
        self.unfinished_keys: set[bytes] = set()  # keys with writes or unanswered messages
        self.home_cache: dict[bytes, int] = {}
        self.highest_epoch = 0
        self.started_at = now
        self.purge_at = PURGE_BATCH
        self._initialize_output()
        self._initialize_moves()
        self._initialize_announcements()
        if folder_is_current:
            self._load(now, records)

    def _initialize_output(self) -> None:
        """Initialize the queues of messages and writes."""
        self.outgoing_entries: dict[tuple[int, EntryKind], list[MigrationEntry]] = {}
        self.actions: list[Action] = []
        self.counts = {"malformed": 0, "said": 0}
        self.last_token = 0
        self.keys_by_token: dict[int, bytes] = {}

    def _initialize_moves(self) -> None:
        """Initialize the state of moves to other members."""
        self.move_queues: dict[int, deque[bytes]] = {}  # by target
        self.move_allowances: dict[int, MoveAllowance] = {}  # by target
        self.pending_offers: dict[int, int] = {}  # by target: number of keys that are being moved
        self.withdrawn_offers: dict[tuple[bytes, int], WithdrawnOffer] = {}  # by key and offered epoch
        # Histogram for keys moved away, in ms: time from the last possible start of a request here until the
        # target's confirmation arrived. It exceeds the time without an owner by one network delay.
        self.handover_histogram = [0] * (len(HANDOVER_BUCKETS_MS) + 1)

    def _initialize_announcements(self) -> None:
        """Initialize the state of announcements of owned keys."""
        self.candidates: dict[bytes, Candidate] = {}
        self.announced_epochs: dict[int, int] = {}  # by member: epoch for which it announced all its keys
        self.acknowledged_epochs: dict[int, int] = {}  # by member: epoch whose announcement it acknowledged
        self.next_announcement_at = -math.inf
        # The member lists since the last complete epoch; None if some of them are unknown.
        self.recent_tables: list[frozenset[int]] | None = None
        if self.lease.complete_epoch == self.lease.epoch:
            self.recent_tables = [frozenset(self.lease.members)]

    def home(self, key: bytes) -> int:
        """Return the key's home, which owns the key unless there is a record, or NO_MEMBER."""
        home = self.home_cache.get(key)
        if home is None:
            if len(self.home_cache) > 4 * self.settings.max_records:
                self.home_cache.clear()
            home = self.home_cache[key] = home_among(self.lease.members, key)
        return home

    def _other_members(self) -> set[int]:
        return self.lease.members - {self.member} if self.member in self.lease.members else set()

    def _is_complete(self) -> bool:
        """Return whether all others have announced their keys to this home, and all fences are in force."""
        return self.lease.complete_epoch == self.lease.epoch and self.member in self.lease.members

    def _may_start_without_record(self, key: bytes) -> bool:
        """Return whether this member owns a key without a record.

        It does if the table is complete, or if it was the key's home in all tables since the last complete
        one.
        """
        if self._is_complete():
            return True
        return bool(self.recent_tables) and all(
            home_among(table, key) == self.member for table in self.recent_tables or ()
        )

    def _record_stop(self, now: float, record: OwnershipRecord) -> None:
        """Record that this member starts no further request for the key."""
        if math.isnan(record.stopped_at):
            record.stopped_at = now

    def _record_target_start(self, now: float, record: OwnershipRecord) -> None:
        """Record that the target has confirmed that it starts requests for the key."""
        if not math.isnan(record.stopped_at):
            self.handover_histogram[bisect_left(HANDOVER_BUCKETS_MS, now - record.stopped_at)] += 1
            record.stopped_at = math.nan

    def _next_epoch(self, epoch: int) -> int:
        """Return an epoch above `epoch` and above all epochs that this member has seen."""
        table_epoch = self.lease.epoch << 32
        self.highest_epoch = max(self.highest_epoch, epoch, self.lease.forgotten_epoch, table_epoch) + 1
        return self.highest_epoch

    def _uncertain_until(self, now: float, key: bytes) -> float:
        """Return the time until which a fenced former home's request for an unrecorded key may still run."""
        local_score = home_score(self.member, key)
        fenced_at = [at for m, at in self.lease.fenced_at.items() if home_score(m, key) >= local_score]
        return max(fenced_at, default=-math.inf) + self.settings.uncertainty_ms

    def _schedule(self, now: float, key: bytes, record: OwnershipRecord) -> None:
        record.next_send_at = now
        self.unfinished_keys.add(key)

    def _add_entry(self, member: int, kind: EntryKind, entry: MigrationEntry) -> None:
        self.outgoing_entries.setdefault((member, kind), []).append(entry)

    def _send(self, member: int, payload: bytes) -> None:
        self.actions.append(SendConsensusMessage(member, payload))

    def _persist(self, key: bytes, record: OwnershipRecord) -> None:
        self.last_token += 1
        record.pending_token = self.last_token
        record.pending_answer = None
        self.keys_by_token[self.last_token] = key
        record.next_send_at = math.inf
        self.unfinished_keys.add(key)
        data = encode_record(record)
        self.actions.append(PersistState(OWNERSHIP_RECORD_PREFIX + key.hex(), data, self.last_token))

    def _forget(self, key: bytes) -> None:
        del self.records[key]
        self.unfinished_keys.discard(key)
        self.last_token += 1
        self.actions.append(PersistState(OWNERSHIP_RECORD_PREFIX + key.hex(), b"", self.last_token))

    def _load(self, now: float, records: Mapping[str, bytes]) -> None:
        for name, data in records.items():
            if not name.startswith(OWNERSHIP_RECORD_PREFIX) or not data:
                continue
            self._load_record(now, bytes.fromhex(name.removeprefix(OWNERSHIP_RECORD_PREFIX)), data)

    def _load_record(self, now: float, key: bytes, data: bytes) -> None:
        reader = MessageReader(data)
        epoch, owner, peer, offered_epoch, state, may_have_run = reader.read_struct(RECORD_FORMAT)
        (release_confirmed,) = reader.read_struct(RELEASE_CONFIRMED_FORMAT)
        reader.expect_end()
        record = OwnershipRecord(epoch, owner, OwnershipState(state), peer, offered_epoch)
        self.records[key] = record
        record.release_confirmed = bool(release_confirmed)
        if may_have_run or owner == self.member:
            # Requests that were in flight when this member's previous process ended may have run.
            record.uncertain_until = now + self.settings.uncertainty_ms
        record.offered_at = now
        record.is_accepted = record.state is OwnershipState.FENCED
        record.home_informed = self.home(key) == self.member
        self.highest_epoch = max(self.highest_epoch, epoch, offered_epoch)
        if owner == self.member or not release_confirmed:
            self._schedule(now, key, record)
        is_releasing = record.state is OwnershipState.RELEASED and not release_confirmed
        if is_releasing or record.state in (OwnershipState.OFFERED, OwnershipState.FENCED):
            self.pending_offers[peer] = self.pending_offers.get(peer, 0) + 1

    def _purge(self) -> None:
        """Remove old records of keys that other members own.

        A late offer of such a key must not be accepted again. So offers that are not newer than all removed
        records are declined, and the highest epoch of these is on disk before the records are removed.
        """
        old_keys = [key for key, record in self.records.items() if self._may_forget(key, record)]
        if len(old_keys) < PURGE_BATCH:
            self.purge_at = len(self.records) + PURGE_BATCH
            return
        self.purge_at = len(self.records) - len(old_keys) + PURGE_BATCH
        highest_epoch = max(self.records[key].epoch for key in old_keys)
        self.lease.forgotten_epoch = max(self.lease.forgotten_epoch, highest_epoch)
        self.lease.record_version += 1
        self.last_token += 1
        self.actions.append(self.lease.persist(self.last_token))
        for key in old_keys:
            self._forget(key)

    def _may_forget(self, key: bytes, record: OwnershipRecord) -> bool:
        """Return whether another member owns the key, and neither a move nor this home needs its record."""
        if record.state is not OwnershipState.RELEASED or not record.release_confirmed:
            return False
        if record.pending_token or key in self.unfinished_keys:
            return False
        return self.home(key) != self.member
