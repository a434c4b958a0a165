"""The membership table of session affinity: its encoding in a register, and which change it needs;
does no I/O.

The table's register holds the epoch, the members and the last changes, each of which is one epoch. Every
member reads it and applies the changes that it has not applied yet, in order (`MemberList.changes_since`). A
member that missed more changes than the register holds cannot determine whether it was fenced and admitted
again since then, so it restarts like a member with an empty state folder.

The table is empty initially, and each member requests its own admission. So a member whose state folder has
no table or is known to be out of date does not depend on whether the fleet is new: if it is listed in the
table, it first requests its own removal, and then its admission.

A change is proposed only by a member that has applied the newest table and has all of its fences in force. So
of the fences that a member missed, all are in force except possibly those whose changes the register still
holds.
"""

from __future__ import annotations

import random
import struct
from collections.abc import Iterable
from dataclasses import dataclass
from typing import NamedTuple

from cottonhold.fleet.consensus.actions import ChangeRegister, ReadRegister
from cottonhold.fleet.consensus.messages import MAX_VALUE_BYTES
from cottonhold.fleet.consensus.register_cache import RegisterCache
from cottonhold.fleet.message_format import MessageError
from cottonhold.fleet.rolling_replacement.machine_driver import takeover_order

TABLE_REGISTER = "pins"  # name of the register
HEAD_FORMAT = struct.Struct("!IBBH")  # epoch, number of members, number of changes, bit mask of members
MEMBER_FORMAT = struct.Struct("!Q")
MAX_CHANGES = 16  # maximum number of changes kept; fewer if they do not fit into a register
MAX_MEMBERS = 12  # maximum number of members that fit into a register


@dataclass(slots=True, frozen=True)
class TableSettings:
    """Times of the membership table.

    Attributes:
        failure_timeout_ms: Time after which a member that is not among the live members is fenced, in ms.
        proposer_stagger_ms: Delay between one member's turn to propose a change and the next one's, in ms.
        max_read_age_ms: Maximum age of the last read of the register when a change is proposed, in ms.
        pending_read_interval_ms: Interval between reads while a change is needed, in ms.
        idle_read_interval_ms: Interval between reads otherwise, in ms.
        operation_timeout_ms: Time after which a pending change of the register is given up, in ms.
    """

    failure_timeout_ms: float = 5000.0
    proposer_stagger_ms: float = 250.0
    max_read_age_ms: float = 400.0
    pending_read_interval_ms: float = 300.0
    idle_read_interval_ms: float = 2000.0
    operation_timeout_ms: float = 6000.0


class TableChange(NamedTuple):
    """The admission of a member to the table, or its removal."""

    member: int
    is_admitted: bool


class NumberedChange(NamedTuple):
    """A change, and the epoch of the table after it."""

    epoch: int
    member: int
    is_admitted: bool


@dataclass(slots=True, frozen=True)
class MemberList:
    """The table at an epoch, and the last changes up to this epoch, oldest first."""

    epoch: int = 0
    members: frozenset[int] = frozenset()
    changes: tuple[TableChange, ...] = ()

    def with_change(self, member: int, is_admitted: bool) -> MemberList:
        """Return the table after one more change, without the oldest changes if they do not fit."""
        members = self.members | {member} if is_admitted else self.members - {member}
        changes = (*self.changes, TableChange(member, is_admitted))[-MAX_CHANGES:]
        member_list = MemberList(self.epoch + 1, members, changes)
        while len(encode_member_list(member_list)) > MAX_VALUE_BYTES:
            member_list = MemberList(member_list.epoch, members, member_list.changes[1:])
        return member_list

    def changes_since(self, epoch: int) -> list[NumberedChange] | None:
        """Return the changes after an epoch, in order.

        Returns None if some of them are no longer held, or if the epoch is newer than this table.
        """
        first_epoch = self.epoch - len(self.changes)
        if not first_epoch <= epoch <= self.epoch:
            return None
        numbered = enumerate(self.changes, first_epoch + 1)
        return [NumberedChange(number, *change) for number, change in numbered if number > epoch]

    def fenced_members(self) -> set[int]:
        """Return the removed members that were not admitted again, according to the changes still held."""
        return {change.member for change in self.changes if not change.is_admitted} - self.members


def encode_member_list(member_list: MemberList) -> bytes:
    """Encode a table; the result may be too long for a register."""
    members = sorted(member_list.members | {change.member for change in member_list.changes})
    index_of = {member: i for i, member in enumerate(members)}
    mask = sum(1 << index_of[member] for member in member_list.members) & 0xFFFF
    head = HEAD_FORMAT.pack(member_list.epoch, len(members), len(member_list.changes), mask)
    ids = b"".join(MEMBER_FORMAT.pack(member) for member in members)
    changes = bytes(index_of[member] << 1 | is_admitted for member, is_admitted in member_list.changes)
    return head + ids + changes


def decode_member_list(data: bytes) -> MemberList:
    """Decode the register's value; an empty value is the initial table. Raises MessageError."""
    if not data:
        return MemberList()
    if len(data) < HEAD_FORMAT.size:
        raise MessageError("truncated membership table")
    epoch, member_count, change_count, mask = HEAD_FORMAT.unpack_from(data)
    changes_start = HEAD_FORMAT.size + member_count * MEMBER_FORMAT.size
    ids, encoded_changes = data[HEAD_FORMAT.size : changes_start], data[changes_start:]
    if len(ids) != member_count * MEMBER_FORMAT.size or len(encoded_changes) != change_count:
        raise MessageError("membership table has the wrong length")
    if change_count > epoch:
        raise MessageError("membership table has more changes than epochs")
    listed = [member for (member,) in MEMBER_FORMAT.iter_unpack(ids)]
    if mask >> member_count or any(byte >> 1 >= member_count for byte in encoded_changes):
        raise MessageError("unknown member in the membership table")
    members = frozenset(member for i, member in enumerate(listed) if mask >> i & 1)
    changes = tuple(TableChange(listed[byte >> 1], bool(byte & 1)) for byte in encoded_changes)
    return MemberList(epoch, members, changes)


@dataclass(slots=True, frozen=True)
class LocalView:
    """The state of this member on which a change of the table depends.

    Attributes:
        applied_epoch: Epoch of the newest table that its ownership of keys has applied.
        is_member: Whether this member is in that table.
        fences_in_force: Whether all fences of that table are in force.
        is_ready_to_leave: Whether this member is being replaced and owns no keys any more.
        is_being_replaced: Whether this member is being replaced, so that it must not be admitted.
        live_members: Live members by the membership protocol, including this one.
        removed_members: Members that a rolling replacement has taken out.
    """

    applied_epoch: int
    is_member: bool
    fences_in_force: bool
    is_ready_to_leave: bool = False
    is_being_replaced: bool = False
    live_members: frozenset[int] = frozenset()
    removed_members: frozenset[int] = frozenset()


@dataclass(slots=True, frozen=True)
class NeededChange:
    """A change that the table needs, and when this member found that it is needed."""

    change: TableChange
    needed_since: float


class MembershipTable:
    """One member's view of the table's register.

    Args:
        member: The id of this member.
        voters: The ids of all configured voters.
        now: The current time, in ms of the local clock.
        settings: Times of the membership table.
        seed: A random number for tokens, drawn at each start.
    """

    def __init__(
        self, member: int, voters: Iterable[int], now: float, settings: TableSettings, seed: int
    ) -> None:
        self.member = member
        self.voters = frozenset(voters)
        self.settings = settings
        self.majority = len(self.voters) // 2 + 1
        self.registers = RegisterCache(random.Random(seed), settings.operation_timeout_ms)
        self.member_list = MemberList()
        self.is_known = False  # whether the register has been read from a majority since this start
        self.needed_change: NeededChange | None = None
        self.blocked_reason = ""
        self.last_seen_at: dict[int, float] = {}
        self.malformed_count = 0
        self.next_step_at = now

    def on_outcome(self, now: float, token: int, won: bool | None, version: int, value: bytes) -> None:
        """Apply the outcome of an operation on a register; operations of other components are ignored."""
        if self.registers.on_outcome(now, token, won, version, value):
            self.is_known = self.is_known or (won is not None and version >= 0)
            self._update_member_list(now)

    def on_register_changed(self, now: float, name: str, version: int, value: bytes) -> None:
        """Apply a register's value that another member announced."""
        if name == TABLE_REGISTER:
            self.registers.on_hint(now, name, version, value)
            self._update_member_list(now)

    def _update_member_list(self, now: float) -> None:
        register = self.registers.received(TABLE_REGISTER)
        try:
            self.member_list = decode_member_list(register.value if register is not None else b"")
        except MessageError:
            self.malformed_count += 1
            self.is_known = False
        self.next_step_at = now

    def next_at(self) -> float:
        """Return when `step` is due."""
        return self.next_step_at

    def step(self, now: float, view: LocalView) -> list[ChangeRegister | ReadRegister]:
        """Propose the needed change if it is this member's turn; otherwise read the register when due."""
        for member in self.member_list.members | {self.member}:
            if member in view.live_members or member not in self.last_seen_at:
                self.last_seen_at[member] = now
        self.next_step_at = now + self.settings.pending_read_interval_ms / 2
        change = self._find_needed_change(now, view) if self.is_known else None
        if change is None:
            return self._read_idle(now)
        if self.needed_change is None or self.needed_change.change != change:
            self.needed_change = NeededChange(change, now)
        self.blocked_reason = self._find_blocked_reason(view, change)
        stagger_ms = self._proposer_position(view, change.member) * self.settings.proposer_stagger_ms
        may_propose = now - self.needed_change.needed_since >= stagger_ms
        if self.blocked_reason or not may_propose:
            return list(self.registers.read(now, TABLE_REGISTER, self.settings.pending_read_interval_ms))
        if not self.registers.is_confirmed(now, TABLE_REGISTER, self.settings.max_read_age_ms):
            return list(self.registers.read(now, TABLE_REGISTER))
        value = encode_member_list(self.member_list.with_change(*change))
        return list(self.registers.change(now, TABLE_REGISTER, value))

    def _read_idle(self, now: float) -> list[ChangeRegister | ReadRegister]:
        """Read the register when due, while no change is needed or known."""
        self.needed_change = None
        self.blocked_reason = "" if self.is_known else "the table has not been read yet"
        interval_ms = self.settings.pending_read_interval_ms
        if self.is_known:
            interval_ms = self.settings.idle_read_interval_ms
        return list(self.registers.read(now, TABLE_REGISTER, interval_ms))

    def _find_needed_change(self, now: float, view: LocalView) -> TableChange | None:
        """Return one change that the table needs, or None.

        This member's own admission or removal comes first, since no other member proposes it. A member
        outside of the table proposes only its own admission: it may have been cut off itself, so that others
        only seem to have failed.
        """
        members = self.member_list.members
        if self.member not in members:
            return None if view.is_being_replaced else TableChange(self.member, True)
        was_removed_locally = view.applied_epoch == self.member_list.epoch and not view.is_member
        if view.is_ready_to_leave or was_removed_locally:
            return TableChange(self.member, False)
        for member in sorted(members - {self.member}):
            unseen_ms = now - self.last_seen_at.get(member, now)
            is_removed = member in view.removed_members and member not in view.live_members
            if unseen_ms >= self.settings.failure_timeout_ms or is_removed:
                return TableChange(member, False)
        return None

    def _find_blocked_reason(self, view: LocalView, change: TableChange) -> str:
        """Return why the change must not be proposed now, as shown to operators, or "" if it may be."""
        members = self.member_list.members
        if view.applied_epoch != self.member_list.epoch:
            return "the newest table isn't in force here yet"
        if not view.fences_in_force:
            return "a fence is not in force yet"
        if change.is_admitted and len(members) >= MAX_MEMBERS:
            return f"the table is full: {MAX_MEMBERS} members"
        remaining_voters = (members - {change.member}) & self.voters
        if not change.is_admitted and len(remaining_voters) < self.majority:
            return "a majority of voters must stay in the table"
        return ""

    def _proposer_position(self, view: LocalView, member: int) -> int:
        """Return this member's position in the order in which members propose a change of `member`.

        The member itself is first, the others follow in the order of a hash. They propose one after the
        other, so that their proposals seldom compete.
        """
        if member == self.member:
            return 0
        proposers = sorted(
            self.member_list.members & view.live_members - {member},
            key=lambda other: takeover_order(TABLE_REGISTER, f"{member}/{other}"),
        )
        return proposers.index(self.member) if self.member in proposers else len(proposers)
