"""The members that may own keys, this member's lease, and the fencing of removed members; does no I/O.

The membership table is a list of members with an epoch. It follows the table's register; each epoch is one
change: the admission of a member, or its removal (fence).

A member starts requests for its keys only while its lease is valid, which a majority of the voters must have
granted. The lease starts at the request by the member's clock, and at the receipt by a voter's clock (see
membership/leases.py), so it expires first at the member.

A fence is in force once a majority of voters has promised, on disk, not to renew the fenced member's lease,
and the duration of a lease plus the clock margin has passed since; or once the fenced member has confirmed
that it stopped. A member that resumes after a pause of seconds finds its lease expired, even if it has not
seen the newest table.
"""

from __future__ import annotations

import math
import struct
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

from cottonhold.fleet.consensus.actions import PersistState, SendConsensusMessage
from cottonhold.fleet.consensus.messages import MessageReader
from cottonhold.fleet.session_affinity import messages
from cottonhold.membership.leases import LeaseManager, LeaseReply, LeaseRequest, LeaseSettings, SendToMember

TABLE_RECORD = "table"  # name of the record
# Epoch, complete epoch + 1, forgotten epoch, is_barred; numbers of members, fences, fenced members, refusals.
HEAD_FORMAT = struct.Struct("!QQQ?HHHH")
MEMBER_FORMAT = struct.Struct("!Q")
REFUSAL_FORMAT = struct.Struct("!QQ")  # member, epoch
MAX_RECENTLY_FENCED = 64
NEVER_COMPLETE = -1


@dataclass(slots=True)
class Fence:
    """A pending fence: the voters that refuse the member, and when it will be in force (local clock)."""

    refusing_voters: set[int] = field(default_factory=set)
    in_force_at: float = math.inf
    next_request_at: float = -math.inf


class DeferredLeaseAnswer(NamedTuple):
    """An answer that is sent once this version of the table's record is on disk."""

    record_version: int
    message: SendConsensusMessage


class MembershipLease:
    """One member's view of the membership table, its lease, and its promises as a voter.

    Times are in ms of the local clock.

    Args:
        member: The id of this member.
        members: The members of the table; used if `records` does not contain the table.
        voters: The ids of all configured voters.
        now: The current time.
        first_term: The first term in which this member requests its lease.
        records: The records in this member's state folder, by name.
        folder_is_current: Whether the state folder is the one that this member last used. If it is empty or
            out of date, the member owns, grants and promises nothing until it is admitted again.
        settings: Times of leases.
        epoch: The epoch of the table; used with `members`.
        fenced: The recently removed members; used with `members`.
    """

    def __init__(
        self,
        member: int,
        members: Iterable[int],
        voters: Iterable[int],
        now: float,
        first_term: int,
        records: Mapping[str, bytes],
        folder_is_current: bool,
        settings: LeaseSettings,
        epoch: int = 0,
        fenced: Iterable[int] = (),
    ) -> None:
        self.member, self.voters, self.settings = member, tuple(sorted(set(voters))), settings
        self.majority = len(self.voters) // 2 + 1
        self.epoch = epoch
        self.members = set(members)
        if not folder_is_current:
            self.members.discard(member)
        # The epoch for which all other members have announced their keys to this home.
        self.complete_epoch = 0 if folder_is_current else NEVER_COMPLETE
        self.forgotten_epoch = 0  # highest epoch of an ownership record that was purged
        # As a voter: for each refused member, the lowest epoch of a table with which it is granted a lease.
        self.refused_epochs: dict[int, int] = {}
        self.is_barred = not folder_is_current  # before its admission this member sends no grants or promises
        # A member without a usable state folder does not know whether recent fences are in force already.
        self.fences: dict[int, Fence] = {m: Fence() for m in fenced if m != member and m not in self.members}
        self.fenced_at: dict[int, float] = dict.fromkeys(self.fences, now)
        if folder_is_current and TABLE_RECORD in records:
            self._load(now, records[TABLE_RECORD])
        self.leases = LeaseManager(member, self.voters, settings, now, first_term)
        self.record_version = 0
        self.requested_version = 0  # the version whose write was last requested
        self.durable_version = 0
        self.versions_by_token: dict[int, int] = {}
        self.pending_answers: list[DeferredLeaseAnswer] = []
        self.actions: list[SendConsensusMessage | PersistState] = []

    def valid_until(self) -> float:
        """Return the time until which this member may start requests for its keys.

        It is in the past if the member may not start any.
        """
        claim = self.leases.claims.get(self.member)
        return claim.expires_at if claim is not None and self.member in self.members else -math.inf

    def fences_in_force(self, now: float) -> bool:
        """Return whether the fences of all members removed up to this epoch are in force."""
        return all(now >= fence.in_force_at for fence in self.fences.values())

    def next_at(self) -> float:
        """Return when `step` is due."""
        times = [self.leases.next_at()]
        for fence in self.fences.values():
            is_pending = fence.in_force_at == math.inf
            times.append(fence.next_request_at if is_pending else fence.in_force_at)
        return min(times)

    def apply_change(self, now: float, member: int, epoch: int, is_admitted: bool) -> bool:
        """Apply a change of the table; return False if it was applied before.

        Changes must be applied in the order of epochs.
        """
        if epoch <= self.epoch:
            return False
        if epoch != self.epoch + 1:
            # In the missed epochs another member may have been the home of this member's keys, so the
            # recorded owners may be incomplete.
            self.complete_epoch = NEVER_COMPLETE
        self.epoch = epoch
        self.record_version += 1
        if is_admitted:
            self.members.add(member)
            self.fences.pop(member, None)
            self.is_barred = self.is_barred and member != self.member
        else:
            self.members.discard(member)
            self.fenced_at.pop(member, None)
            self.fenced_at[member] = now
            for oldest in list(self.fenced_at)[:-MAX_RECENTLY_FENCED]:
                del self.fenced_at[oldest]
            if member != self.member:
                self.fences[member] = Fence()
        return True

    def step(self, now: float, retry_interval_ms: float) -> None:
        """Renew the lease, and request the refusals that pending fences are waiting for."""
        wanted = [self.member] if self.member in self.members else []
        if set(wanted) != set(self.leases.claims):
            self._send_lease_actions(self.leases.claim(now, wanted))
        self._send_lease_actions(self.leases.step(now))
        for member in [m for m, fence in self.fences.items() if now >= fence.in_force_at]:
            del self.fences[member]
        for member, fence in self.fences.items():
            if fence.in_force_at < math.inf or now < fence.next_request_at:
                continue
            fence.next_request_at = now + retry_interval_ms
            request = messages.encode_notice(messages.REFUSE, False, member, self.epoch)
            for voter in {*self.voters, member} - fence.refusing_voters - {self.member}:
                self.actions.append(SendConsensusMessage(voter, request))
            if self.member in self.voters:
                self._promise_refusal(now, self.member, member, self.epoch)

    def on_lease_message(
        self, now: float, sender: int, message: LeaseRequest | LeaseReply, epoch: int
    ) -> None:
        """Apply a lease request or answer; `epoch` is that of the newest table at the sender."""
        if isinstance(message, LeaseRequest):
            if message.duty != sender or self.is_barred:
                return
            if self._is_refused(sender, epoch):
                self._send_lease_message(
                    sender, LeaseReply(message.duty, message.term, False, self.settings.retry_interval_ms)
                )
                return
        elif message.duty != self.member:
            return
        self._send_lease_actions(self.leases.on_message(now, sender, message))

    def _is_refused(self, member: int, epoch: int) -> bool:
        """Return whether a member whose newest table has this epoch must not get a lease.

        A voter that lost its state folder has lost its promises to refuse members, so it checks its table as
        well. Otherwise a member that was fenced while it was cut off would get a lease under an old table.
        """
        if epoch < self.refused_epochs.get(member, 0):
            return True
        return epoch <= self.epoch and member not in self.members

    def on_refusal(self, now: float, sender: int, is_answer: bool, member: int, epoch: int) -> None:
        """Apply a request to refuse leases to a member whose table is older than `epoch`, or an answer."""
        if is_answer:
            self._on_refusal_answer(now, sender, member, epoch)
        elif member == self.member:
            # A fenced member confirms that it stopped only once its removal is on disk.
            is_durable = self.durable_version >= self.record_version
            if self.member not in self.members and self.epoch >= epoch and is_durable:
                self._send(sender, messages.encode_notice(messages.REFUSE, True, member, epoch))
        elif self.member in self.voters and not self.is_barred:
            self._promise_refusal(now, sender, member, epoch)

    def _on_refusal_answer(self, now: float, sender: int, member: int, epoch: int) -> None:
        """Record that the fenced member has stopped, or that a voter promises to refuse it."""
        fence = self.fences.get(member)
        if fence is None or epoch > self.epoch:
            return
        if sender == member:
            fence.in_force_at = min(fence.in_force_at, now)
        elif sender in self.voters:
            fence.refusing_voters.add(sender)
            if len(fence.refusing_voters) >= self.majority and fence.in_force_at == math.inf:
                fence.in_force_at = now + self.settings.duration_ms * (1 + self.settings.max_clock_drift)

    def on_persisted(self, now: float, token: int) -> None:
        """Record that the write of the table with this token is on disk."""
        self.durable_version = max(self.durable_version, self.versions_by_token.pop(token, 0))
        self._send_durable_answers(now)

    def _send_durable_answers(self, now: float) -> None:
        pending = self.pending_answers
        durable = [answer.message for answer in pending if answer.record_version <= self.durable_version]
        self.pending_answers = [a for a in pending if a.record_version > self.durable_version]
        for message in durable:
            if message.member == self.member:
                self.on_refusal(now, self.member, *messages.decode_notice(message.payload))
            else:
                self.actions.append(message)

    def persist(self, token: int) -> PersistState:
        """Return the action that writes the current table."""
        self.requested_version = self.versions_by_token[token] = self.record_version
        refusals = list(self.refused_epochs.items())
        counts = len(self.members), len(self.fences), len(self.fenced_at), len(refusals)
        data = HEAD_FORMAT.pack(
            self.epoch, self.complete_epoch + 1, self.forgotten_epoch, self.is_barred, *counts
        )
        members = *sorted(self.members), *sorted(self.fences), *self.fenced_at
        data += b"".join(MEMBER_FORMAT.pack(member) for member in members)
        data += b"".join(REFUSAL_FORMAT.pack(*refusal) for refusal in refusals)
        return PersistState(TABLE_RECORD, data, token)

    def _load(self, now: float, data: bytes) -> None:
        reader = MessageReader(data)
        epochs_and_counts = reader.read_struct(HEAD_FORMAT)
        self.epoch, complete_epoch_plus_one, self.forgotten_epoch, is_barred = epochs_and_counts[:4]
        member_count, fence_count, fenced_count, refusal_count = epochs_and_counts[4:]
        self.complete_epoch = complete_epoch_plus_one - 1
        self.is_barred = bool(is_barred)
        self.members = {reader.read_struct(MEMBER_FORMAT)[0] for _ in range(member_count)}
        # Pending fences start again, because a restart must not shorten their delay.
        self.fences = {reader.read_struct(MEMBER_FORMAT)[0]: Fence() for _ in range(fence_count)}
        # It is not known when they were fenced, so the time during which their requests may run starts now.
        self.fenced_at = {reader.read_struct(MEMBER_FORMAT)[0]: now for _ in range(fenced_count)}
        refusals = [reader.read_struct(REFUSAL_FORMAT) for _ in range(refusal_count)]
        self.refused_epochs = {member: epoch for member, epoch in refusals}
        reader.expect_end()

    def _promise_refusal(self, now: float, requester: int, member: int, epoch: int) -> None:
        """Promise to refuse a member; the answer is sent once the promise is on disk.

        If the promise were lost in a restart, the member's lease could be renewed.
        """
        answer = SendConsensusMessage(requester, messages.encode_notice(messages.REFUSE, True, member, epoch))
        if self.refused_epochs.get(member, 0) < epoch:
            self.refused_epochs[member] = epoch
            self.record_version += 1
        pending = DeferredLeaseAnswer(self.record_version, answer)
        if pending not in self.pending_answers:
            self.pending_answers.append(pending)
        self._send_durable_answers(now)

    def _send_lease_actions(self, actions: Iterable[object]) -> None:
        for action in actions:
            if isinstance(action, SendToMember):
                self._send_lease_message(action.member, action.message)

    def _send_lease_message(self, member: int, message: LeaseRequest | LeaseReply) -> None:
        self._send(member, messages.encode_lease(message, self.epoch))

    def _send(self, member: int, payload: bytes) -> None:
        self.actions.append(SendConsensusMessage(member, payload))
