"""Which member owns a key, one at a time, and how ownership moves between members. Pure.

Each key has a *home*: the member of the table that rendezvous hashing ranks first. A key without an ownership
record belongs to its home. A record (key, epoch, owner) exists where another member owns the key; the home
knows that owner. A move takes these steps:

    owner                                             target
    OWNED --OFFER--> (OFFERED on disk)                ACCEPTED on disk --ACCEPT-->
    no request of the key is open, or the fence delay is over:
    FENCED on disk: starts no further request         (requests of the key wait or are retried)
    no request is open any more, or its outcome is unknown:
    RELEASED on disk --RELEASE-->                     OWNED on disk: starts requests. --RELEASE_ACK-->

Every message is sent again until it is answered, and a message carries many keys. At each moment at most one
member may start requests of a key: the owner until FENCED, the target from its OWNED on. An epoch is never
used twice: the epochs of one member only grow, and a member that forgot a record declines offers that are
not newer than all it forgot.

When a member is fenced (membership_lease.py), homes change. A new home acts once the fence is in force and
all other members have announced to it what they own of its keys (ANNOUNCED), because one of them may be the
owner. Then it takes over what the fenced member owned, as *uncertain*: a request of it may have run. A
target that had accepted a key from the fenced member becomes the owner only if the key's home confirms it
(CONFIRM_OWNER).
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Iterable, Mapping

from cottonhold.fleet.message_format import MessageError
from cottonhold.fleet.session_affinity import messages
from cottonhold.fleet.session_affinity.announcements import Announcements
from cottonhold.fleet.session_affinity.messages import TENTATIVE, EntryKind, MigrationEntry
from cottonhold.fleet.session_affinity.record_book import (
    NO_MEMBER,
    Action,
    MoveEnded,
    OwnedElsewhere,
    OwnedHere,
    OwnershipAcquired,
    OwnershipRecord,
    OwnershipSettings,
    OwnershipState,
    RetryAfter,
)
from cottonhold.membership.rendezvous import score

__all__ = [
    "Action",
    "RetryAfter",
    "OwnedElsewhere",
    "MoveEnded",
    "OwnedHere",
    "OwnershipSettings",
    "KeyOwnership",
    "OwnershipAcquired",
]


class KeyOwnership(Announcements):
    """One member's ownership of keys.

    members: the table as of `epoch`, and fenced: the recently removed members, if there is no record of the
    table. has_full_memory: whether this member's folder is the one that it last had; if it is empty or out
    of date, the member owns nothing until it was fenced and admitted. seed: drawn anew at each start.
    records: of the folder, by name. Times are in ms of the own clock.
    """

    def route(self, now: float, key: bytes) -> OwnedHere | OwnedElsewhere | RetryAfter:
        """Return where an arriving request of the key belongs.

        After OwnedHere, the caller calls `on_request_opened` at once.
        """
        owned = self.ownership_of(now, key)
        if owned is not None:
            return owned
        home = self.home(key)
        record = self.records.get(key)
        is_owner = record is not None and record.owner == self.member
        if record is not None and not is_owner and record.owner in self.lease.members:
            return OwnedElsewhere(key, record.owner)
        if home not in (NO_MEMBER, self.member) and not is_owner:
            return OwnedElsewhere(key, home)
        if record is not None and not is_owner and self._is_complete() and key not in self.candidates:
            self._take_over(now, key, record.epoch)
        return RetryAfter(self.settings.retry_after_ms)

    def ownership_of(self, now: float, key: bytes) -> OwnedHere | None:
        """Return under which ownership requests of the key may start here now, or None; changes nothing."""
        if not self.settings.is_enabled:
            return OwnedHere(0, math.inf)
        record = self.records.get(key)
        valid_until = self.lease.valid_until()
        if valid_until <= now:
            return None
        if record is None:
            if self.home(key) != self.member or not self._may_start_without_record(key):
                return None
            return OwnedHere(0, valid_until, self._uncertain_until(now, key) > now)
        # A restart would undo an epoch that is not on disk, after requests had begun under it.
        is_durably_owned = record.state is OwnershipState.OWNED and not record.pending_token
        may_start = is_durably_owned or record.state is OwnershipState.OFFERED
        if not may_start or record.owner != self.member:
            return None
        return OwnedHere(record.epoch, valid_until, record.uncertain_until > now)

    def choose_targets(self, keys: Iterable[bytes], capacities: Mapping[int, float]) -> dict[bytes, int]:
        """Choose a target for each key, by consistent hashing with bounded loads.

        Each key goes to the first member in rendezvous order that has received less than its share, which is
        in proportion to its capacity (in any unit, e.g. spare cores). A key gets no target if no member has
        capacity. See "Consistent Hashing with Bounded Loads" (Mirrokni, Thorup, Zadimoghaddam).
        """
        sorted_keys = sorted(keys)
        other_members = self.lease.members - {self.member}
        usable = {m: capacity for m, capacity in capacities.items() if capacity > 0 and m in other_members}
        total = sum(usable.values())
        max_keys = self.settings.max_overload_factor * len(sorted_keys)
        remaining = {m: math.ceil(max_keys * capacity / total) for m, capacity in usable.items()}
        chosen: dict[bytes, int] = {}
        for key in sorted_keys:
            candidates = [member for member in usable if remaining[member] > 0]
            if candidates:
                best = max(candidates, key=lambda member: score(member, usable[member], key.hex()))
                remaining[best] -= 1
                chosen[key] = best
        return chosen

    def owned_keys(self) -> list[bytes]:
        """Return the keys to be moved before this member leaves: recorded, or with open requests."""
        recorded = {key for key, record in self.records.items() if record.owner == self.member}
        unrecorded = {key for key in self.open_requests if key not in self.records}
        return sorted(recorded | unrecorded)

    def moving_count(self) -> int:
        """Return how many keys are still to be moved from here."""
        return sum(map(len, self.move_queues.values())) + sum(self.pending_offers.values())

    def next_at(self, now: float = 0.0) -> float:
        """Return when `step` is due."""
        times = [self.records[key].next_send_at for key in self.unfinished_keys]
        times += [self._next_offer_at(now, target) for target, queue in self.move_queues.items() if queue]
        is_durable = self.lease.durable_version >= self.lease.record_version
        acknowledged = [self.acknowledged_epochs.get(member) for member in self._other_members()]
        if is_durable and any(epoch != self.lease.epoch for epoch in acknowledged):
            times.append(self.next_announcement_at)
        return min([*times, self.lease.next_at()])

    def on_request_opened(self, now: float, key: bytes, request_id: int) -> list[Action]:
        """A request of the key waits or runs here: the key stays until it has ended."""
        self.open_requests.setdefault(key, set()).add(request_id)
        return []

    def on_request_ended(
        self, now: float, key: bytes, request_id: int, outcome_known: bool = True
    ) -> list[Action]:
        """A request of the key has ended.

        If its outcome is not known it may have run, and the key's next owner learns that.
        """
        open_requests = self.open_requests.get(key, set())
        open_requests.discard(request_id)
        if not open_requests:
            self.open_requests.pop(key, None)
        record = self.records.get(key)
        is_own_home = self.home(key) == self.member and self.settings.is_enabled
        if not outcome_known and record is None and is_own_home:
            epoch = self._next_epoch(0)
            record = OwnershipRecord(epoch, self.member, OwnershipState.OWNED, home_informed=True)
            self.records[key] = record
            self._persist(key, record)
        if record is None:
            return self._drain_actions(now) if not outcome_known else []
        if not outcome_known:
            record.uncertain_until = now + self.settings.uncertainty_ms
        self._release_if_idle(now, key, record)
        return self._drain_actions(now)

    def move(self, now: float, keys: Iterable[bytes], target: int) -> list[Action]:
        """Move keys to a target; each ends in a MoveEnded, as do keys that this member does not own."""
        queue = self.move_queues.setdefault(target, deque())
        queue.extend(key for key in keys if key not in queue)
        return self._drain_actions(now)

    def cancel_moves(self, now: float, keys: Iterable[bytes]) -> list[Action]:
        """Keep these keys; those that are released already go on to their targets."""
        retained_keys = set(keys)
        for target, queue in self.move_queues.items():
            self.move_queues[target] = deque(key for key in queue if key not in retained_keys)
        for key in retained_keys:
            record = self.records.get(key)
            if record is None or record.owner != self.member:
                continue
            if record.state in (OwnershipState.OFFERED, OwnershipState.FENCED):
                self._cancel_move(now, key, record)
        return self._drain_actions(now)

    def fence(self, now: float, owner: int, epoch: int) -> list[Action]:
        """Apply the removal of a member with this epoch of the table."""
        if self.lease.apply_change(now, owner, epoch, False):
            self._on_table_changed(now, owner)
        return self._drain_actions(now)

    def admit(self, now: float, member: int, epoch: int) -> list[Action]:
        """Apply the admission of a member, which owns nothing yet, with this epoch of the table."""
        if self.lease.apply_change(now, member, epoch, True):
            self._on_table_changed(now, 0)
        return self._drain_actions(now)

    def on_message(self, now: float, sender: int, payload: bytes) -> list[Action]:
        """Apply a message of session affinity (first byte 75 to 78); a malformed one is counted."""
        try:
            message_kind = payload[0] if payload else 0
            if message_kind == messages.MIGRATION:
                kind, entries = messages.decode_entries(payload)
                for entry in entries:
                    self._on_entry(now, sender, kind, entry)
            elif message_kind == messages.LEASE:
                self.lease.on_lease_message(now, sender, *messages.decode_lease(payload))
            elif message_kind == messages.REFUSE:
                self.lease.on_refusal(now, sender, *messages.decode_notice(payload))
            elif message_kind == messages.ANNOUNCED:
                is_answer, _, epoch = messages.decode_notice(payload)
                self._on_announced(sender, is_answer, epoch)
            else:
                raise MessageError("kind")
        except MessageError:
            self.counts["malformed"] += 1
        return self._drain_actions(now)

    def on_persisted(self, now: float, token: int) -> list[Action]:
        """The record with this token is on disk."""
        self.lease.on_persisted(now, token)
        key = self.keys_by_token.pop(token, None)
        record = self.records.get(key) if key is not None else None
        if key is not None and record is not None and record.pending_token == token:
            record.pending_token = 0
            self._on_record_durable(now, key, record)
        return self._drain_actions(now)

    def step(self, now: float) -> list[Action]:
        """Do what is due; call at `next_at` at the latest, and once at the start."""
        return self._drain_actions(now)

    def _on_record_durable(self, now: float, key: bytes, record: OwnershipRecord) -> None:
        """Send what waited for a key's record to be on disk."""
        self._schedule(now, key, record)
        answer, record.pending_answer = record.pending_answer, None
        if answer is not None:
            sender, entry = answer
            is_sender_owner = record.state is OwnershipState.RELEASED and record.owner == sender
            if record.state is OwnershipState.RELEASED and record.peer and record.epoch == entry.epoch:
                self._add_entry(sender, EntryKind.WITHDRAW_ACK, MigrationEntry(key, entry.epoch))
            elif is_sender_owner and entry.flags & TENTATIVE:
                self._add_entry(sender, EntryKind.CONFIRM_OWNER, MigrationEntry(key, entry.epoch))
            else:
                self._add_entry(sender, EntryKind.ANNOUNCE_ACK, entry)
        if record.state is OwnershipState.ACCEPTED and record.peer:
            self._add_entry(record.peer, EntryKind.ACCEPT, MigrationEntry(key, record.epoch))
        elif record.state is OwnershipState.OWNED and record.is_newly_acquired:
            record.is_newly_acquired = False
            self.actions.append(OwnershipAcquired(key, record.epoch, record.uncertain_until > now))
            if record.home_informed and record.peer:
                self._add_entry(record.peer, EntryKind.RELEASE_ACK, MigrationEntry(key, record.epoch))
        self._release_if_idle(now, key, record)
