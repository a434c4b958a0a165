"""Migration of keys from an owner to the target of a move; ownership.py lists the steps; does no I/O."""

from __future__ import annotations

import math

from cottonhold.fleet.session_affinity.messages import MAY_HAVE_RUN, EntryKind, MigrationEntry
from cottonhold.fleet.session_affinity.ownership_records import (
    DeferredMigrationAnswer,
    MoveAllowance,
    MoveEnded,
    OwnershipRecord,
    OwnershipRecords,
    OwnershipState,
    WithdrawnOffer,
)


class Migration(OwnershipRecords):
    """Exchanges the messages of a move between the owner of a key and its target."""

    def _offer_queued(self, now: float) -> None:
        for target, queue in self.move_queues.items():
            if not queue:
                continue
            allowance = self._move_allowance(now, target)
            for _ in range(len(queue)):
                if allowance < 1 or self.pending_offers.get(target, 0) >= self.settings.max_pending_offers:
                    break
                key = queue.popleft()
                if self._offer(now, key, target):
                    allowance -= 1
            self.move_allowances[target] = MoveAllowance(allowance, now)

    def _move_allowance(self, now: float, target: int) -> float:
        """Return how many keys may be offered now, by a token bucket that holds the tokens of 50 ms."""
        keys_per_second = self.settings.max_moves_per_second
        earlier = self.move_allowances.get(target, MoveAllowance(1.0, now))
        allowance = earlier.keys + (now - earlier.computed_at) * keys_per_second / 1000
        return min(allowance, max(keys_per_second / 20, 1.0))

    def _next_offer_at(self, now: float, target: int) -> float:
        """Return when the next key may be offered to this target."""
        if self.pending_offers.get(target, 0) >= self.settings.max_pending_offers:
            return math.inf
        allowance = self.move_allowances.get(target, MoveAllowance(1.0, now))
        wait_ms = (1 - allowance.keys) * 1000 / self.settings.max_moves_per_second
        return max(allowance.computed_at + wait_ms, allowance.computed_at + 1)

    def _offer(self, now: float, key: bytes, target: int) -> bool:
        """Offer a key to a target; return False if it cannot be moved, or cannot be moved yet."""
        record = self.records.get(key)
        if record is not None and record.owner == self.member and record.state is OwnershipState.OWNED:
            if record.pending_token or any(withdrawn == key for withdrawn, _ in self.withdrawn_offers):
                self.move_queues[target].append(key)  # the withdrawal of an earlier offer is pending
                return False
        elif record is None and self.home(key) == self.member and self._may_start_without_record(key):
            self.records[key] = record = OwnershipRecord(
                self._next_epoch(0), self.member, OwnershipState.OWNED, home_informed=True
            )
            # Requests without a record that were in flight before this member's last restart may still run.
            uncertain_until = self.started_at + self.settings.uncertainty_ms
            record.uncertain_until = max(self._uncertain_until(now, key), uncertain_until)
        else:
            self.actions.append(MoveEnded(key, 0, target, False))
            return False
        if target == self.member or target not in self.lease.members:
            self.actions.append(MoveEnded(key, record.epoch, target, False))
            return False
        record.state = OwnershipState.OFFERED
        record.peer = target
        record.is_accepted = False
        record.offered_at = now
        record.offered_epoch = self._next_epoch(record.epoch)
        self.pending_offers[target] = self.pending_offers.get(target, 0) + 1
        self._persist(key, record)
        return True

    def _release_if_idle(self, now: float, key: bytes, record: OwnershipRecord) -> None:
        """Release an accepted key once no request for it is open; fence it first after the fence delay."""
        is_moving = record.state in (OwnershipState.OFFERED, OwnershipState.FENCED)
        if record.owner != self.member or not record.is_accepted or not is_moving:
            return
        if not self.open_requests.get(key):
            # RELEASED implies FENCED, so a single write is sufficient.
            self._record_stop(now, record)
            record.state = OwnershipState.RELEASED
            record.owner = record.peer
            record.epoch = record.offered_epoch
            record.release_confirmed = False
            record.home_informed = record.home_informed or self.home(key) == self.member
            self._persist(key, record)
        elif record.state is OwnershipState.OFFERED and self._has_fence_delay_passed(now, record):
            self._record_stop(now, record)
            record.state = OwnershipState.FENCED
            self._persist(key, record)

    def _has_fence_delay_passed(self, now: float, record: OwnershipRecord) -> bool:
        return now >= record.offered_at + self.settings.fence_delay_ms

    def _cancel_move(self, now: float, key: bytes, record: OwnershipRecord) -> None:
        """Withdraw the offer of a key and keep it, under an epoch above the offered one."""
        if record.peer in self.lease.members:
            self.withdrawn_offers[key, record.offered_epoch] = WithdrawnOffer(record.peer, now)
        self._end_move(key, record, False)
        record.stopped_at = math.nan
        record.epoch = self._next_epoch(record.offered_epoch)
        record.state = OwnershipState.OWNED
        record.is_accepted = False
        record.home_informed = self.home(key) == self.member
        record.home_has_candidate = False
        self._persist(key, record)

    def _end_move(self, key: bytes, record: OwnershipRecord, is_moved: bool) -> None:
        self.pending_offers[record.peer] = max(self.pending_offers.get(record.peer, 0) - 1, 0)
        self.actions.append(MoveEnded(key, record.offered_epoch, record.peer, is_moved))

    def _on_accept(self, now: float, sender: int, entry: MigrationEntry) -> None:
        record = self.records.get(entry.key)
        if record is not None and record.peer == sender and record.offered_epoch == entry.epoch:
            if record.state in (OwnershipState.OFFERED, OwnershipState.FENCED):
                record.is_accepted = True
                self._release_if_idle(now, entry.key, record)
                self._schedule(now, entry.key, record)
                return
            if record.state is OwnershipState.RELEASED:
                return
        self._add_entry(sender, EntryKind.WITHDRAW, entry)

    def _on_decline(self, now: float, sender: int, entry: MigrationEntry) -> None:
        record = self.records.get(entry.key)
        if record is None or record.state is not OwnershipState.OFFERED:
            return
        if record.peer != sender or record.is_accepted:
            return
        if entry.epoch >= record.offered_epoch:
            # The target has removed a record that is newer than the offer: offer again under a higher epoch.
            record.offered_epoch = self._next_epoch(entry.epoch)
            self._persist(entry.key, record)
        else:
            self._cancel_move(now, entry.key, record)

    def _on_release_ack(self, now: float, sender: int, entry: MigrationEntry) -> None:
        record = self.records.get(entry.key)
        if record is None or record.state is not OwnershipState.RELEASED or record.release_confirmed:
            return
        if record.peer == sender and record.epoch == entry.epoch and not record.pending_token:
            record.release_confirmed = True
            record.home_informed = True
            self._record_target_start(now, record)
            self._end_move(entry.key, record, True)

    def _on_withdraw_ack(self, now: float, sender: int, entry: MigrationEntry) -> None:
        offer = self.withdrawn_offers.get((entry.key, entry.epoch))
        if offer is not None and offer.target == sender:
            del self.withdrawn_offers[entry.key, entry.epoch]

    def _on_offer(self, now: float, sender: int, entry: MigrationEntry) -> None:
        record = self.records.get(entry.key)
        if record is not None and self._has_accepted(record, sender, entry):
            if not record.pending_token:
                self._add_entry(sender, EntryKind.ACCEPT, entry)
            return
        known_epoch = max(self.lease.forgotten_epoch, record.epoch if record is not None else 0)
        if entry.epoch <= known_epoch:
            self._add_entry(sender, EntryKind.DECLINE, MigrationEntry(entry.key, known_epoch))
            return
        if not self._may_accept(record, sender):
            self._add_entry(sender, EntryKind.DECLINE, MigrationEntry(entry.key, entry.epoch - 1))
            return
        self.records[entry.key] = record = OwnershipRecord(
            entry.epoch, self.member, OwnershipState.ACCEPTED, sender
        )
        record.home_informed = self.home(entry.key) == self.member
        self._persist(entry.key, record)

    def _has_accepted(self, record: OwnershipRecord, sender: int, entry: MigrationEntry) -> bool:
        """Return whether this member has accepted the key from the sender under the entry's epoch."""
        is_accepted = record.state is OwnershipState.ACCEPTED and record.peer == sender
        return is_accepted and record.epoch == entry.epoch

    def _may_accept(self, record: OwnershipRecord | None, sender: int) -> bool:
        """Return whether a key may be accepted from the sender.

        Both must be members, and this member must have capacity and must not own the key.
        """
        if self.member not in self.lease.members or sender not in self.lease.members:
            return False
        if len(self.records) >= 2 * self.settings.max_records:
            return False
        if record is None or record.owner != self.member:
            return True
        return record.state in (OwnershipState.ACCEPTED, OwnershipState.RELEASED)

    def _on_release(self, now: float, sender: int, entry: MigrationEntry) -> None:
        record = self.records.get(entry.key)
        if record is None:
            if entry.epoch <= self.lease.forgotten_epoch:
                self._add_entry(sender, EntryKind.RELEASE_ACK, entry)
        elif self._has_accepted(record, sender, entry):
            self._acquire(now, entry.key, record, bool(entry.flags & MAY_HAVE_RUN))
        elif record.epoch > entry.epoch or self._has_acquired(record, entry):
            self._add_entry(sender, EntryKind.RELEASE_ACK, entry)

    def _has_acquired(self, record: OwnershipRecord, entry: MigrationEntry) -> bool:
        """Return whether ownership under the entry's epoch is on disk and the key's home has recorded it."""
        return record.epoch == entry.epoch and record.home_informed and not record.pending_token

    def _acquire(self, now: float, key: bytes, record: OwnershipRecord, may_have_run: bool) -> None:
        record.state = OwnershipState.OWNED
        record.uncertain_until = now + self.settings.uncertainty_ms if may_have_run else -math.inf
        record.home_informed = self.home(key) == self.member
        record.is_newly_acquired = True
        self._persist(key, record)

    def _on_withdraw(self, now: float, sender: int, entry: MigrationEntry) -> None:
        record = self.records.get(entry.key)
        if record is None or record.epoch != entry.epoch or record.state is not OwnershipState.ACCEPTED:
            if record is None or not record.pending_token:
                self._add_entry(sender, EntryKind.WITHDRAW_ACK, MigrationEntry(entry.key, entry.epoch))
            return
        record.state = OwnershipState.RELEASED
        record.owner = record.peer
        record.release_confirmed = True
        record.home_informed = True
        self._persist(entry.key, record)
        record.pending_answer = DeferredMigrationAnswer(sender, entry)
