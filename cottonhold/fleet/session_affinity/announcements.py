"""Announces keys to their homes, applies changes of the membership table, and sends due messages;
does no I/O."""

from __future__ import annotations

import math

from cottonhold.fleet.consensus.actions import SendConsensusMessage
from cottonhold.fleet.session_affinity import messages
from cottonhold.fleet.session_affinity.messages import (
    MAY_HAVE_RUN,
    TARGET_REMOVED,
    TENTATIVE,
    EntryKind,
    MigrationEntry,
)
from cottonhold.fleet.session_affinity.migration import Migration
from cottonhold.fleet.session_affinity.ownership_records import (
    NO_MEMBER,
    Action,
    Candidate,
    DeferredMigrationAnswer,
    MoveEnded,
    OwnershipRecord,
    OwnershipState,
    WithdrawnOffer,
)

MAX_RECENT_TABLES = 8


class Announcements(Migration):
    """Exchanges announcements between owners and homes, and sends all messages that are due."""

    def _on_table_changed(self, now: float, removed: int) -> None:
        """Apply a change of the table; `removed` is the removed member, or NO_MEMBER after an admission."""
        members, previous_homes = self.lease.members, self.home_cache
        if self.recent_tables is not None:
            self.recent_tables.append(frozenset(members))
            if self.lease.complete_epoch < 0 or len(self.recent_tables) > MAX_RECENT_TABLES:
                self.recent_tables = None
        self.home_cache = {}
        if self.member not in members:
            for key in list(self.records):
                self._forget(key)
            self.open_requests.clear()
            self.pending_offers.clear()
        self._record_open_requests()
        for key, record in list(self.records.items()):
            home_changed = previous_homes.get(key) != self.home(key)
            if home_changed or removed in (record.peer, record.owner):
                self._reannounce(now, key, record, removed)
        self._cancel_queued_moves()
        self.candidates.clear()
        self.next_announcement_at = now

    def _record_open_requests(self) -> None:
        """Record ownership of keys with open requests whose home is now another member.

        Without the record the new home would start the keys' next requests.
        """
        for key in self.open_requests:
            if key not in self.records and self.home(key) != self.member:
                record = OwnershipRecord(self._next_epoch(0), self.member, OwnershipState.OWNED)
                self.records[key] = record
                self._persist(key, record)

    def _cancel_queued_moves(self) -> None:
        """Cancel queued moves and withdrawals to removed members, or all if this member was removed."""
        is_member = self.member in self.lease.members
        for target, queue in self.move_queues.items():
            if target not in self.lease.members or not is_member:
                self.actions += [MoveEnded(key, 0, target, False) for key in queue]
                queue.clear()
        self.withdrawn_offers = {
            key_and_epoch: offer
            for key_and_epoch, offer in self.withdrawn_offers.items()
            if offer.target in self.lease.members and is_member
        }

    def _reannounce(self, now: float, key: bytes, record: OwnershipRecord, removed: int) -> None:
        """Announce a key to its new home, and end a pending move from or to a removed member."""
        if removed and record.peer == removed:
            if record.state in (OwnershipState.OFFERED, OwnershipState.FENCED):
                self._cancel_move(now, key, record)
            elif record.state is OwnershipState.RELEASED and not record.release_confirmed:
                self._end_move(key, record, True)
                record.release_confirmed = True
                record.target_removed = True
        # The removed member may be admitted again, but it will not own any key that it owned or offered.
        if removed and record.state is OwnershipState.RELEASED and record.owner == removed:
            record.owner = 0
            self._persist(key, record)
        elif removed and record.state is OwnershipState.ACCEPTED and record.peer == removed:
            record.peer = 0
            self._persist(key, record)
        is_releasing = record.state is OwnershipState.RELEASED and not record.release_confirmed
        if record.owner == self.member or record.target_removed or is_releasing:
            record.home_informed = self.home(key) == self.member
            record.home_has_candidate = False
            self._schedule(now, key, record)

    def _synchronize(self, now: float) -> None:
        """Notify other members once their keys are announced, and check whether all of them did the same."""
        lease, other_members = self.lease, self._other_members()
        if lease.complete_epoch != lease.epoch and self.member in lease.members:
            all_announced = all(self.announced_epochs.get(m) == lease.epoch for m in other_members)
            if all_announced and lease.fences_in_force(now):
                lease.complete_epoch = lease.epoch
                self.recent_tables = [frozenset(lease.members)]
                lease.record_version += 1
        waiting = [m for m in other_members if self.acknowledged_epochs.get(m) != lease.epoch]
        # The table must be on disk first: after a crash this member would act as a home under the old table.
        if not waiting or now < self.next_announcement_at or lease.durable_version < lease.record_version:
            return
        self.next_announcement_at = now + self.settings.retry_interval_ms
        unacknowledged_homes = self._unacknowledged_homes()
        notice = messages.encode_notice(messages.ANNOUNCED, False, self.member, lease.epoch)
        for member in waiting:
            if member not in unacknowledged_homes:
                self._send(member, notice)

    def _unacknowledged_homes(self) -> set[int]:
        """Return the homes that have not acknowledged the announcement of one of their keys."""
        unfinished = [(key, self.records[key]) for key in self.unfinished_keys]
        return {
            self.home(key)
            for key, record in unfinished
            if not record.home_informed and not record.home_has_candidate
        }

    def _on_announced(self, sender: int, is_answer: bool, epoch: int) -> None:
        if is_answer:
            self.acknowledged_epochs[sender] = epoch
            return
        self.announced_epochs[sender] = max(epoch, self.announced_epochs.get(sender, 0))
        self._send(sender, messages.encode_notice(messages.ANNOUNCED, True, self.member, epoch))

    def _on_announce(self, now: float, sender: int, entry: MigrationEntry) -> None:
        """Apply an owner's announcement at the key's home."""
        if self.home(entry.key) != self.member:
            return
        record = self.records.get(entry.key)
        if entry.flags & TENTATIVE:
            if self._is_complete():
                self._decide_candidate(now, entry.key, entry.epoch, sender, is_late=True)
            else:
                known = self.candidates.get(entry.key, Candidate(0, NO_MEMBER))
                self.candidates[entry.key] = max(known, Candidate(entry.epoch, sender))
                self._add_entry(sender, EntryKind.ANNOUNCE_ACK, entry)
            return
        if record is None or self._is_outdated(record, entry):
            owner = NO_MEMBER if entry.flags & TARGET_REMOVED else sender
            record = self._record_other_owner(entry.key, entry.epoch, owner)
            record.pending_answer = DeferredMigrationAnswer(sender, entry)
        elif record.pending_token:
            record.pending_answer = DeferredMigrationAnswer(sender, entry)
        else:
            self._add_entry(sender, EntryKind.ANNOUNCE_ACK, entry)

    def _is_outdated(self, record: OwnershipRecord, entry: MigrationEntry) -> bool:
        """Return whether an announcement is newer than the record, and this member does not own the key."""
        is_owned = record.state not in (OwnershipState.ACCEPTED, OwnershipState.RELEASED)
        return record.epoch < entry.epoch and not is_owned

    def _record_other_owner(self, key: bytes, epoch: int, owner: int) -> OwnershipRecord:
        """Record at a key's home that another member owns the key."""
        record = OwnershipRecord(
            epoch, owner, OwnershipState.RELEASED, release_confirmed=True, home_informed=True
        )
        self.records[key] = record
        self._persist(key, record)
        return record

    def _decide_candidate(
        self, now: float, key: bytes, epoch: int, member: int, is_late: bool = False
    ) -> None:
        """Decide whether a target that accepted a key from a fenced member becomes its owner."""
        record = self.records.get(key)
        if record is not None and (record.owner, record.epoch) == (member, epoch):
            if not record.pending_token:
                self._add_entry(member, EntryKind.CONFIRM_OWNER, MigrationEntry(key, epoch))
        elif record is not None and record.epoch > epoch:
            self._add_entry(member, EntryKind.WITHDRAW, MigrationEntry(key, epoch))
        elif record is not None and record.owner in self.lease.members:
            return  # this home has not applied the removal of the previous owner yet
        elif is_late:
            # This home may have started requests for the key before it received the announcement.
            self._take_over(now, key, epoch)
            self._add_entry(member, EntryKind.WITHDRAW, MigrationEntry(key, epoch))
        else:
            record = self._record_other_owner(key, epoch, member)
            record.pending_answer = DeferredMigrationAnswer(member, MigrationEntry(key, epoch, TENTATIVE))

    def _decide_candidates(self, now: float) -> None:
        """Decide on the candidates that were announced before all members had announced their keys."""
        for key, (epoch, member) in self.candidates.items():
            self._decide_candidate(now, key, epoch, member)
        self.candidates.clear()

    def _take_over(self, now: float, key: bytes, epoch: int) -> None:
        """Take ownership, as the key's home, of a key whose owner was fenced."""
        uncertain_until = now + self.settings.uncertainty_ms
        self.records[key] = record = OwnershipRecord(
            self._next_epoch(epoch),
            self.member,
            OwnershipState.OWNED,
            uncertain_until=uncertain_until,
            home_informed=True,
        )
        self._persist(key, record)

    def _on_confirm_owner(self, now: float, sender: int, entry: MigrationEntry) -> None:
        record = self.records.get(entry.key)
        if record is None or record.state is not OwnershipState.ACCEPTED or record.epoch != entry.epoch:
            return
        if sender == self.home(entry.key) and record.peer not in self.lease.members:
            self._acquire(now, entry.key, record, True)
            record.home_informed = True

    def _on_announce_ack(self, now: float, sender: int, entry: MigrationEntry) -> None:
        record = self.records.get(entry.key)
        if record is None or sender != self.home(entry.key):
            return
        if entry.flags & TENTATIVE:
            is_candidate = record.state is OwnershipState.ACCEPTED and record.epoch == entry.epoch
            record.home_has_candidate = record.home_has_candidate or is_candidate
        elif entry.epoch == self._announcement(record).epoch:
            record.home_informed = True
            if record.state is OwnershipState.OWNED and record.peer:
                self._add_entry(record.peer, EntryKind.RELEASE_ACK, entry)

    def _announcement(self, record: OwnershipRecord, key: bytes = b"") -> MigrationEntry:
        """Return the entry that announces the record to the key's home."""
        if record.state is OwnershipState.RELEASED:
            if record.target_removed:
                return MigrationEntry(key, record.epoch, TARGET_REMOVED)
            # Until the target itself announces the key, the home forwards requests to this member.
            return MigrationEntry(key, record.epoch - 1)
        return MigrationEntry(key, record.epoch, TENTATIVE if record.state is OwnershipState.ACCEPTED else 0)

    def _on_entry(self, now: float, sender: int, kind: EntryKind, entry: MigrationEntry) -> None:
        self.highest_epoch = max(self.highest_epoch, entry.epoch)
        handlers = {
            EntryKind.OFFER: self._on_offer,
            EntryKind.ACCEPT: self._on_accept,
            EntryKind.DECLINE: self._on_decline,
            EntryKind.RELEASE: self._on_release,
            EntryKind.RELEASE_ACK: self._on_release_ack,
            EntryKind.WITHDRAW: self._on_withdraw,
            EntryKind.WITHDRAW_ACK: self._on_withdraw_ack,
            EntryKind.ANNOUNCE: self._on_announce,
            EntryKind.ANNOUNCE_ACK: self._on_announce_ack,
            EntryKind.CONFIRM_OWNER: self._on_confirm_owner,
        }
        handlers[kind](now, sender, entry)

    def _send_pending(self, now: float, key: bytes, record: OwnershipRecord) -> None:
        """Resend the key's unanswered messages; a key without any needs no further steps."""
        if record.pending_token:
            record.next_send_at = math.inf  # scheduled again by `on_persisted`
            return
        retry_at = now + self.settings.retry_interval_ms * (0.9 + 0.2 * self.random_source.random())
        next_send_at = math.inf
        mover_removed = record.state is OwnershipState.ACCEPTED and record.peer not in self.lease.members
        if record.state is OwnershipState.OFFERED and not record.is_accepted:
            self._add_entry(record.peer, EntryKind.OFFER, MigrationEntry(key, record.offered_epoch))
            next_send_at = retry_at
        elif record.state is OwnershipState.FENCED:
            self._release_if_idle(now, key, record)
        elif record.state is OwnershipState.OFFERED:
            self._release_if_idle(now, key, record)
            next_send_at = max(record.offered_at + self.settings.fence_delay_ms, now + 1)
        elif record.state is OwnershipState.RELEASED and not record.release_confirmed:
            flags = MAY_HAVE_RUN if record.uncertain_until > now else 0
            self._add_entry(record.peer, EntryKind.RELEASE, MigrationEntry(key, record.epoch, flags))
            next_send_at = retry_at
        elif mover_removed and self.home(key) == self.member and self._is_complete():
            self._acquire(now, key, record, True)
        has_owner = mover_removed or record.state is not OwnershipState.ACCEPTED
        needs_announcement = not record.home_informed and has_owner
        if needs_announcement and self.home(key) not in (NO_MEMBER, self.member):
            self._add_entry(self.home(key), EntryKind.ANNOUNCE, self._announcement(record, key))
            next_send_at = min(next_send_at, retry_at)
        elif mover_removed:
            next_send_at = min(next_send_at, retry_at)
        record.next_send_at = next_send_at
        if next_send_at == math.inf and not record.pending_token:
            self.unfinished_keys.discard(key)

    def _drain_actions(self, now: float) -> list[Action]:
        """Run all due work, and return the resulting actions."""
        self.lease.step(now, self.settings.retry_interval_ms)
        self._synchronize(now)
        if self._is_complete() and self.candidates:
            self._decide_candidates(now)
        self._offer_queued(now)
        for key in [key for key in self.unfinished_keys if self.records[key].next_send_at <= now]:
            self._send_pending(now, key, self.records[key])
        self._send_withdrawals(now)
        if len(self.records) >= self.purge_at:
            self._purge()
        if self.lease.record_version > self.lease.requested_version:
            self.last_token += 1
            self.actions.append(self.lease.persist(self.last_token))
        self._send_entries()
        actions = [*self.actions, *self.lease.actions]
        self.actions, self.lease.actions = [], []
        self.counts["said"] += sum(isinstance(action, SendConsensusMessage) for action in actions)
        return actions

    def _send_withdrawals(self, now: float) -> None:
        for (key, epoch), offer in self.withdrawn_offers.items():
            if now >= offer.next_send_at and not self.records[key].pending_token:
                retry_at = now + self.settings.retry_interval_ms
                self.withdrawn_offers[key, epoch] = WithdrawnOffer(offer.target, retry_at)
                self._add_entry(offer.target, EntryKind.WITHDRAW, MigrationEntry(key, epoch))

    def _send_entries(self) -> None:
        """Send the collected entries, with up to MAX_ENTRIES of them in each message."""
        for (member, kind), entries in self.outgoing_entries.items():
            for start in range(0, len(entries), messages.MAX_ENTRIES):
                payload = messages.encode_entries(kind, entries[start : start + messages.MAX_ENTRIES])
                self._send(member, payload)
        self.outgoing_entries = {}
