"""Which member owns a key, and how ownership moves from one member to another; does no I/O.

At most one member owns a key. Each key has a *home*: the member of the table that ranks first for it by
rendezvous hashing. A key without an ownership record is owned by its home. A record (key, epoch, owner)
names the owner; the home holds one for each of its keys that another member owns.

A key moves in these steps:

    owner                                             target
    OFFERED on disk --OFFER-->                        ACCEPTED on disk --ACCEPT-->
    if a request for the key is still open when the fence delay has passed:
    FENCED on disk: starts no further request         (requests for the key wait or are retried)
    once no request for the key is open:
    RELEASED on disk --RELEASE-->                     OWNED on disk: starts requests. --RELEASE_ACK-->

Every message is sent again until it is answered, and one message carries many keys. At any time at most one
member may start requests for a key: the owner until it is FENCED or RELEASED, the target once it is OWNED.
An epoch is never used twice: the epochs that a member assigns only grow, and a member that purged records
declines all offers that are not newer than the purged records.

When a member is fenced (see membership_lease.py), its keys get new homes. A new home starts requests only
once the fence is in force and all other members have announced to it which of its keys they own (ANNOUNCED),
because one of them may be the owner. Then it takes over the keys of the fenced member as *uncertain*: a
request of the fenced member may have run. A target that had accepted a key from the fenced member becomes
the owner only if the key's home confirms it (CONFIRM_OWNER).
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Iterable, Mapping

from cottonhold.fleet.message_format import MessageError
from cottonhold.fleet.session_affinity import messages
from cottonhold.fleet.session_affinity.announcements import Announcements
from cottonhold.fleet.session_affinity.messages import TENTATIVE, EntryKind, MigrationEntry
from cottonhold.fleet.session_affinity.ownership_records import (
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
    """One member's ownership of keys. Times are in ms of the local clock.

    Args:
        member: The id of this member.
        members: The members of the table; used if `records` does not contain the table.
        voters: The ids of all configured voters.
        now: The current time.
        seed: A random number, drawn at each start.
        records: The records in this member's state folder, by name.
        settings: Limits and times; the defaults if None.
        folder_is_current: Whether the state folder is the one that this member last used. If it is empty or
            out of date, the member owns nothing until it has been fenced and admitted again.
        epoch: The epoch of the table; used with `members`.
        fenced: The recently removed members; used with `members`.
    """

    def route(self, now: float, key: bytes) -> OwnedHere | OwnedElsewhere | RetryAfter:
        """Return which member may start an arriving request for the key.

        If the result is OwnedHere, the caller must call `on_request_opened` immediately.
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
        """Return the ownership under which requests for the key may start here now, or None.

        Changes no state.
        """
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
        # A restart would undo an epoch that is not on disk, although requests had started under it.
        is_durably_owned = record.state is OwnershipState.OWNED and not record.pending_token
        may_start = is_durably_owned or record.state is OwnershipState.OFFERED
        if not may_start or record.owner != self.member:
            return None
        return OwnedHere(record.epoch, valid_until, record.uncertain_until > now)

    def choose_targets(self, keys: Iterable[bytes], capacities: Mapping[int, float]) -> dict[bytes, int]:
        """Choose a target for each key, by consistent hashing with bounded loads.

        Each key is assigned to the first member in rendezvous order that has not reached its limit, which is
        proportional to its capacity (in any unit, e.g. spare cores). A key gets no target if no member has
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
        """Return the keys to move away before this member leaves: those recorded or with open requests."""
        recorded = {key for key, record in self.records.items() if record.owner == self.member}
        unrecorded = {key for key in self.open_requests if key not in self.records}
        return sorted(recorded | unrecorded)

    def moving_count(self) -> int:
        """Return the number of keys whose move to another member is queued or in progress."""
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
        """Record that a request for the key waits or runs here; the key stays here until it has ended."""
        self.open_requests.setdefault(key, set()).add(request_id)
        return []

    def on_request_ended(
        self, now: float, key: bytes, request_id: int, outcome_known: bool = True
    ) -> list[Action]:
        """Record that a request for the key has ended.

        If its outcome is unknown, the request may have run; this is reported to the key's next owner.
        """
        open_requests = self.open_requests.get(key, set())
        open_requests.discard(request_id)
        if not open_requests:
            self.open_requests.pop(key, None)
        record = self.records.get(key)
        is_home = self.home(key) == self.member and self.settings.is_enabled
        if not outcome_known and record is None and is_home:
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
        """Move keys to a target; a MoveEnded follows for each key, even if this member does not own it."""
        queue = self.move_queues.setdefault(target, deque())
        queue.extend(key for key in keys if key not in queue)
        return self._drain_actions(now)

    def cancel_moves(self, now: float, keys: Iterable[bytes]) -> list[Action]:
        """Keep these keys here; the move of a key that is already released is completed."""
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
        """Apply the removal of a member, which led to this epoch of the table."""
        if self.lease.apply_change(now, owner, epoch, False):
            self._on_table_changed(now, owner)
        return self._drain_actions(now)

    def admit(self, now: float, member: int, epoch: int) -> list[Action]:
        """Apply the admission of a member that owns nothing yet, which led to this epoch of the table."""
        if self.lease.apply_change(now, member, epoch, True):
            self._on_table_changed(now, 0)
        return self._drain_actions(now)

    def on_message(self, now: float, sender: int, payload: bytes) -> list[Action]:
        """Apply a session affinity message (first byte 75 to 78); a malformed one is only counted."""
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
                raise MessageError("unknown kind of session affinity message")
        except MessageError:
            self.counts["malformed"] += 1
        return self._drain_actions(now)

    def on_persisted(self, now: float, token: int) -> list[Action]:
        """Record that the write with this token is on disk."""
        self.lease.on_persisted(now, token)
        key = self.keys_by_token.pop(token, None)
        record = self.records.get(key) if key is not None else None
        if key is not None and record is not None and record.pending_token == token:
            record.pending_token = 0
            self._on_record_durable(now, key, record)
        return self._drain_actions(now)

    def step(self, now: float) -> list[Action]:
        """Return the actions that are due; called at `next_at` at the latest, and once after the start."""
        return self._drain_actions(now)

    def _on_record_durable(self, now: float, key: bytes, record: OwnershipRecord) -> None:
        """Send the messages that had to wait until a key's record is on disk."""
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
