"""What one member knows of the ownership of keys: records, homes and epochs. Pure."""

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

OWNERSHIP_RECORD_PREFIX = "pin/"  # names of records
# Epoch, owner, peer, offered epoch, state, whether a request of an earlier owner may run.
RECORD_FORMAT = struct.Struct("!QQQQBB")
RELEASE_CONFIRMED_FORMAT = struct.Struct("!B")
PURGE_BATCH = 1000  # records that are no longer needed are removed so many at once
NO_MEMBER = 0
HANDOVER_STEPS_MS = (10.0, 20.0, 50.0, 100.0, 200.0, 500.0, 1000.0)  # upper bounds of the histogram


@dataclass(slots=True, frozen=True)
class OwnershipSettings:
    """Limits and times of the ownership of keys.

    is_enabled: if False, every member owns every key. retry_interval_ms: messages without an answer are sent
    again after it. max_moves_per_second and max_pending_offers: of keys, for one target. fence_delay_ms: how
    long an offered key waits for its open requests before no further request starts. retry_after_ms: after
    which a request is tried again whose key has no owner now. uncertainty_ms: how long after a fence requests
    of the fenced member may still run. max_records: of one owner. max_overload_factor: a target gets at most
    so many times its proportional share of the moved keys.
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
    """Requests of the key may start here until `valid_until` (own clock), under this epoch.

    may_have_run: a request of an earlier owner may have run without its outcome being known here.
    """

    epoch: int
    valid_until: float
    may_have_run: bool = False


@dataclass(slots=True, frozen=True)
class OwnedElsewhere:
    """Requests of the key belong to another member."""

    key: bytes
    owner: int


@dataclass(slots=True, frozen=True)
class RetryAfter:
    """No member may start requests of the key now; try again after the delay."""

    delay_ms: float


@dataclass(slots=True, frozen=True)
class MoveEnded:
    """A key that was to be moved belongs to its target now, or stays here."""

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
    """The entry that is answered to a member once the record of its key is on disk."""

    member: int
    entry: MigrationEntry


class MoveAllowance(NamedTuple):
    """How many keys may be offered to a target, and at what time that was computed."""

    keys: float
    computed_at: float


class Candidate(NamedTuple):
    """At a key's home: an epoch that a target accepted from a fenced member, and the target."""

    epoch: int
    member: int


class WithdrawnOffer(NamedTuple):
    """The target of an offer that is taken back, and when that is sent next."""

    target: int
    next_send_at: float


@dataclass(slots=True)
class OwnershipRecord:
    """What this member knows of a key that its home does not simply own.

    peer: the target of a move, or at the target the member from which the key is moved. offered_epoch: the
    epoch under which the key is offered.
    """

    epoch: int
    owner: int
    state: OwnershipState
    peer: int = 0
    offered_epoch: int = 0
    uncertain_until: float = -math.inf  # until when a request of an earlier owner may still run
    pending_token: int = 0  # of the last write; 0 once it is on disk
    is_accepted: bool = False  # in OFFERED, FENCED: the target has accepted
    release_confirmed: bool = False  # in RELEASED: the target has confirmed it, or need not
    home_informed: bool = False  # the key's home knows the owner
    home_has_candidate: bool = False  # the key's home knows of the acceptance, without having decided
    target_removed: bool = False  # in RELEASED: the target was fenced and never confirmed the release
    is_newly_acquired: bool = False  # in OWNED: acquired by this write
    offered_at: float = 0.0
    stopped_at: float = math.nan  # when a mover stopped starting requests; unknown after a restart
    next_send_at: float = -math.inf
    pending_answer: DeferredMigrationAnswer | None = None


def home_score(member: int, key: bytes) -> tuple[float, int]:
    """Rank a member for a key; the highest is the key's home (rendezvous hashing)."""
    return score(member, 1.0, key.hex()), member


def home_among(members: Iterable[int], key: bytes) -> int:
    """Return a key's home among these members, or NO_MEMBER."""
    return max(members, key=lambda member: home_score(member, key), default=NO_MEMBER)


def encode_record(record: OwnershipRecord) -> bytes:
    """Encode a record for the disk."""
    may_have_run = record.uncertain_until > -math.inf
    fixed = RECORD_FORMAT.pack(
        record.epoch, record.owner, record.peer, record.offered_epoch, record.state, may_have_run
    )
    return fixed + RELEASE_CONFIRMED_FORMAT.pack(record.release_confirmed)


class RecordBook:
    """One member's ownership records, with what it persists and sends of them.

    See KeyOwnership for the arguments.
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
        has_full_memory: bool = True,
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
            has_full_memory,
            self.settings.lease,
            epoch,
            fenced,
        )
        self.records: dict[bytes, OwnershipRecord] = {}
        self.open_requests: dict[bytes, set[int]] = {}
        self.unfinished_keys: set[bytes] = set()  # keys with something left to send
        self.home_cache: dict[bytes, int] = {}
        self.highest_epoch = 0
        self.started_at = now
        self.purge_at = PURGE_BATCH
        self._start_output()
        self._start_moves()
        self._start_announcements()
        if has_full_memory:
            self._load(now, records)

    def _start_output(self) -> None:
        """What is to be sent and written: nothing yet."""
        self.outgoing_entries: dict[tuple[int, EntryKind], list[MigrationEntry]] = {}
        self.actions: list[Action] = []
        self.counts = {"malformed": 0, "said": 0}
        self.last_token = 0
        self.keys_by_token: dict[int, bytes] = {}

    def _start_moves(self) -> None:
        """The moves of keys to other members: none yet."""
        self.move_queues: dict[int, deque[bytes]] = {}  # by target
        self.move_allowances: dict[int, MoveAllowance] = {}  # by target
        self.pending_offers: dict[int, int] = {}  # by target: number of keys being moved
        self.withdrawn_offers: dict[tuple[bytes, int], WithdrawnOffer] = {}  # by key and offered epoch
        # Of keys moved away: the time from when this member stopped until it received the target's
        # confirmation, which is one network delay longer than the time without an owner.
        self.handover_histogram = [0] * (len(HANDOVER_STEPS_MS) + 1)

    def _start_announcements(self) -> None:
        """What members announced of the keys that they own: nothing yet."""
        self.candidates: dict[bytes, Candidate] = {}
        self.announced_epochs: dict[int, int] = {}  # by member: the epoch for which it announced all it owns
        self.acknowledged_epochs: dict[int, int] = {}  # by member: the same of this one, as it acknowledged
        self.next_announcement_at = -math.inf
        # The member lists since the last complete epoch; None if some are not known.
        self.recent_tables: list[frozenset[int]] | None = None
        if self.lease.complete_epoch == self.lease.epoch:
            self.recent_tables = [frozenset(self.lease.members)]

    def home(self, key: bytes) -> int:
        """Return the member that owns a key without a record, or NO_MEMBER."""
        home = self.home_cache.get(key)
        if home is None:
            if len(self.home_cache) > 4 * self.settings.max_records:
                self.home_cache.clear()
            home = self.home_cache[key] = home_among(self.lease.members, key)
        return home

    def _other_members(self) -> set[int]:
        return self.lease.members - {self.member} if self.member in self.lease.members else set()

    def _is_complete(self) -> bool:
        """Whether all others have announced to this home what they own, and all fences are in force."""
        return self.lease.complete_epoch == self.lease.epoch and self.member in self.lease.members

    def _may_start_without_record(self, key: bytes) -> bool:
        """Whether this home owns a key without a record: by a complete table, or in all tables since the last
        one.
        """
        if self._is_complete():
            return True
        return bool(self.recent_tables) and all(
            home_among(table, key) == self.member for table in self.recent_tables or ()
        )

    def _on_stopped(self, now: float, record: OwnershipRecord) -> None:
        """This member starts no further request of the key."""
        if math.isnan(record.stopped_at):
            record.stopped_at = now

    def _on_target_started(self, now: float, record: OwnershipRecord) -> None:
        """The target has confirmed that it starts requests of the key."""
        if not math.isnan(record.stopped_at):
            self.handover_histogram[bisect_left(HANDOVER_STEPS_MS, now - record.stopped_at)] += 1
            record.stopped_at = math.nan

    def _next_epoch(self, epoch: int) -> int:
        """Return an epoch above all that this member knows."""
        table_epoch = self.lease.epoch << 32
        self.highest_epoch = max(self.highest_epoch, epoch, self.lease.forgotten_epoch, table_epoch) + 1
        return self.highest_epoch

    def _uncertain_until(self, now: float, key: bytes) -> float:
        """Return until when a request of a key without a record may run at a home that was fenced."""
        own_score = home_score(self.member, key)
        fenced_at = [at for m, at in self.lease.fenced_at.items() if home_score(m, key) >= own_score]
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
            # What was in flight when this member's last run ended may have been executed.
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
        """Forget old records of keys that other members own.

        A late offer of a forgotten key must not be accepted again, so offers that are not newer than all
        forgotten records are declined, and the epoch that says so is on disk first.
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
        """Whether another member owns the key, and neither a pending move nor this home needs the record."""
        if record.state is not OwnershipState.RELEASED or not record.release_confirmed:
            return False
        if record.pending_token or key in self.unfinished_keys:
            return False
        return self.home(key) != self.member
