"""Session affinity in service at one member: joins key ownership and the membership table. Pure.

A member whose folder is current goes on with what it owns. Otherwise, and if the table's register shows
changes that the member missed for good, all its records are removed and it starts anew: with the present
table, but outside of it, until it was fenced (if it is in the table) and admitted.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace
from enum import Enum

from cottonhold.fleet.consensus.actions import ChangeRegister, PersistState, ReadRegister
from cottonhold.fleet.session_affinity import record_book
from cottonhold.fleet.session_affinity.membership_lease import TABLE_RECORD
from cottonhold.fleet.session_affinity.membership_table import LocalView, MembershipTable, TableSettings
from cottonhold.fleet.session_affinity.ownership import (
    KeyOwnership,
    OwnedElsewhere,
    OwnedHere,
    OwnershipSettings,
    RetryAfter,
)

Action = record_book.Action | ChangeRegister | ReadRegister
TOKENS_PER_START = 1 << 32
REMOVAL_GRACE_MS = 500.0  # after its removal from the table a member stays up until the others know of it


class DepartureState(Enum):
    """What this member's rolling replacement requires of it.

    STAYING: nothing. MOVING_KEYS: its keys move to others. DRAINING: it leaves the table as well. OUT: it is
    removed, or about to be.
    """

    STAYING = 0
    MOVING_KEYS = 1
    DRAINING = 2
    OUT = 3


@dataclass(slots=True, frozen=True)
class Surroundings:
    """What the adapter knows of this member and of others.

    folder_is_current: whether the folder is the one that this member last had; None while that is not known.
    live_members: by membership. removed_members: taken out by a rolling replacement.
    """

    folder_is_current: bool | None
    departure: DepartureState = DepartureState.STAYING
    live_members: frozenset[int] = frozenset()
    removed_members: frozenset[int] = frozenset()


class SessionAffinityService:
    """Session affinity of one member.

    records: ownership records of its folder, by name. seed: drawn anew at each start. Times are in ms of the
    own clock.
    """

    def __init__(
        self,
        member: int,
        voters: Iterable[int],
        now: float,
        seed: int,
        records: Mapping[str, bytes],
        settings: OwnershipSettings | None = None,
        table: TableSettings | None = None,
    ) -> None:
        self.member = member
        self.voters = tuple(voters)
        self.seed = seed
        self.settings = replace(settings or OwnershipSettings(), is_enabled=True)
        self.table = MembershipTable(member, self.voters, now, table or TableSettings(), seed)
        self.record_names = set(records)
        self.records = dict(records)
        self.ownership: KeyOwnership | None = None
        self.surroundings = Surroundings(None)
        self.start_count = 0  # with the folder, or anew
        self.removed_at: float | None = None  # when it left the table
        self.is_closing = False  # it owns nothing any more, and its own fence is requested
        self.open_request_ids: set[int] = set()  # since the last start
        self.recent_keys: dict[bytes, None] = {}  # of arrived requests: they are moved as well, oldest first
        self.actions: list[Action] = []
        self.counts = {"gaps": 0, "moved": 0, "took": 0, "stayed": 0}

    def route(self, now: float, key: bytes) -> OwnedHere | OwnedElsewhere | RetryAfter:
        """Return where an arriving request of the key belongs; see KeyOwnership.route.

        Nothing starts here while this member's own fence is pending: the key's new home, which knows that no
        request was open here, may start the next one.
        """
        if self.ownership is None:
            return self._route_before_start(key)
        route = self.ownership.route(now, key)
        if self.is_closing and isinstance(route, OwnedHere):
            return RetryAfter(self.settings.retry_after_ms)
        return route

    def _route_before_start(self, key: bytes) -> OwnedElsewhere | RetryAfter:
        """Forward requests to the key's home while it is not known yet whether the folder is current.

        The receiver checks for itself whether it is the owner.
        """
        home = record_book.NO_MEMBER
        if self.table.is_known:
            home = record_book.home_among(self.table.member_list.members - {self.member}, key)
        if home == record_book.NO_MEMBER:
            return RetryAfter(self.settings.retry_after_ms)
        return OwnedElsewhere(key, home)

    def ownership_of(self, now: float, key: bytes) -> OwnedHere | None:
        """Return under which ownership requests of the key may start here now, or None."""
        return self.ownership.ownership_of(now, key) if self.ownership is not None else None

    def will_not_start(self, now: float, key: bytes) -> bool:
        """Whether a waiting request of the key will not start here: the lease is valid, and the key is not
        owned.
        """
        if self.ownership is None:
            return True
        return self.ownership.lease.valid_until() > now and self.ownership.ownership_of(now, key) is None

    def remaining_count(self, now: float, departure: DepartureState) -> int:
        """Return how much is left before this machine may be taken out.

        That is owned keys, keys with arrived requests, and, once it drains, its place in the table.
        departure: the newest state of its replacement, which `step` may not have received yet.
        """
        if self.ownership is None or DepartureState.STAYING in (departure, self.surroundings.departure):
            return 1  # nothing was counted yet
        remaining = len(self._movable_keys(now)) + self.ownership.moving_count()
        remaining += len(self.ownership.open_requests)
        if remaining or departure is DepartureState.MOVING_KEYS:
            return remaining
        # Members that do not know the new table yet may still forward requests to this one.
        return int(self.removed_at is None or now < self.removed_at + REMOVAL_GRACE_MS)

    def _movable_keys(self, now: float) -> list[bytes]:
        """Return the keys that may be moved away from here now and are not being moved."""
        if self.ownership is None:
            return []
        ownership = self.ownership
        queued = {key for queue in ownership.move_queues.values() for key in queue}
        movable = []
        for key in dict.fromkeys((*ownership.owned_keys(), *self.recent_keys)):
            record = ownership.records.get(key)
            is_moving = record is not None and record.state is not record_book.OwnershipState.OWNED
            if not is_moving and key not in queued and ownership.ownership_of(now, key) is not None:
                movable.append(key)
        return movable

    def next_at(self, now: float) -> float:
        """Return when `step` is due."""
        ownership_at = self.ownership.next_at(now) if self.ownership is not None else math.inf
        return min(self.table.next_at(), ownership_at)

    def on_request_opened(self, now: float, key: bytes, request_id: int) -> list[Action]:
        """A request of the key waits or runs here."""
        if self.ownership is None:
            return []
        self.open_request_ids.add(request_id)
        self.recent_keys.pop(key, None)
        self.recent_keys[key] = None
        if len(self.recent_keys) > self.settings.max_records:
            del self.recent_keys[next(iter(self.recent_keys))]
        return self._convert_actions(self.ownership.on_request_opened(now, key, request_id))

    def on_request_ended(self, now: float, key: bytes, request_id: int, outcome_known: bool) -> list[Action]:
        """A request has ended; one from before the last start is ignored. See KeyOwnership."""
        if self.ownership is None or request_id not in self.open_request_ids:
            return []
        self.open_request_ids.discard(request_id)
        return self._convert_actions(self.ownership.on_request_ended(now, key, request_id, outcome_known))

    def move_keys(self, now: float, max_keys: int, capacities: Mapping[int, float]) -> list[Action]:
        """Move at most `max_keys` to others, in proportion to their capacities (in any unit)."""
        if self.ownership is None:
            return []
        chosen = self.ownership.choose_targets(self._movable_keys(now)[:max_keys], capacities)
        actions: list[Action] = []
        for target in sorted(set(chosen.values())):
            keys = [key for key, chosen_target in chosen.items() if chosen_target == target]
            actions += self._convert_actions(self.ownership.move(now, keys, target))
        return actions

    def cancel_moves(self, now: float) -> list[Action]:
        """Cancel all moves that can still be cancelled."""
        if self.ownership is None:
            return []
        queued = [key for queue in self.ownership.move_queues.values() for key in queue]
        return self._convert_actions(self.ownership.cancel_moves(now, [*self.ownership.records, *queued]))

    def on_message(self, now: float, sender: int, payload: bytes) -> list[Action]:
        """Apply a message of session affinity."""
        if self.ownership is None:
            return []
        return self._convert_actions(self.ownership.on_message(now, sender, payload))

    def on_persisted(self, now: float, token: int) -> list[Action]:
        """The record with this token is on disk; one of an earlier start is ignored."""
        if self.ownership is None or token // TOKENS_PER_START != self.start_count:
            return []
        return self._convert_actions(self.ownership.on_persisted(now, token % TOKENS_PER_START))

    def on_outcome(self, now: float, token: int, won: bool | None, version: int, value: bytes) -> None:
        """Apply the end of a change or read of a register."""
        self.table.on_outcome(now, token, won, version, value)

    def on_register_changed(self, now: float, name: str, version: int, value: bytes) -> None:
        """Apply a register's value that another member announced."""
        self.table.on_register_changed(now, name, version, value)

    def step(self, now: float, surroundings: Surroundings) -> list[Action]:
        """Do what is due, in the present surroundings."""
        was_current = self.surroundings.folder_is_current
        self.surroundings = surroundings
        if self.ownership is None:
            self._start(now)
        elif surroundings.folder_is_current is False and was_current is True:
            self._start_anew(now)
        actions, self.actions = self.actions, []
        actions += self._apply_table_changes(now)
        if self.ownership is not None:
            actions += self._convert_actions(self.ownership.step(now))
        if self.ownership is None or self.member in self.ownership.lease.members:
            self.removed_at = None
        elif self.removed_at is None:
            self.removed_at = now
        if now >= self.table.next_at():
            actions += self.table.step(now, self._local_view(now))
        return actions

    def _start(self, now: float) -> None:
        """Start with the folder if it is current, else with nothing once the table is known."""
        if self.surroundings.folder_is_current is None:
            return
        if self.surroundings.folder_is_current and TABLE_RECORD in self.records:
            self.start_count += 1
            self.ownership = KeyOwnership(
                self.member, (), self.voters, now, self.seed + self.start_count, self.records, self.settings
            )
        elif self.table.is_known:
            self.start_count += 1
            self.actions += [PersistState(name, b"", 0) for name in sorted(self.record_names)]
            table = self.table.member_list
            self.ownership = KeyOwnership(
                self.member,
                table.members - {self.member},
                self.voters,
                now,
                self.seed + self.start_count,
                {},
                self.settings,
                has_full_memory=False,
                epoch=table.epoch,
                fenced=table.fenced_members(),
            )
        self.records = {}

    def _start_anew(self, now: float) -> None:
        """Start again without what this member holds, which cannot be relied on any more."""
        assert self.ownership is not None
        self.counts["gaps"] += 1
        prefix = record_book.OWNERSHIP_RECORD_PREFIX
        self.record_names |= {TABLE_RECORD, *(prefix + key.hex() for key in self.ownership.records)}
        self.ownership = None
        self.records = {}
        self.open_request_ids.clear()
        self.recent_keys.clear()
        self._start(now)

    def _apply_table_changes(self, now: float) -> list[Action]:
        """Apply the changes of the table that the ownership of keys does not know yet."""
        if self.ownership is None:
            return []
        changes = self.table.member_list.changes_since(self.ownership.lease.epoch)
        if changes is None:
            # An announced table may be older than the one applied here; one read from a majority may not.
            if self.table.is_known:
                self._start_anew(now)
            actions, self.actions = self.actions, []
            return actions
        actions = []
        for change in changes:
            apply = self.ownership.admit if change.is_admitted else self.ownership.fence
            actions += self._convert_actions(apply(now, change.member, change.epoch))
        return actions

    def _local_view(self, now: float) -> LocalView:
        ownership = self.ownership
        if ownership is None:
            return LocalView(applied_epoch=-1, is_member=True, fences_in_force=False)
        is_leaving = self.surroundings.departure in (DepartureState.DRAINING, DepartureState.OUT)
        has_keys = ownership.moving_count() or ownership.open_requests or self._movable_keys(now)
        self.is_closing = is_leaving and not has_keys
        return LocalView(
            applied_epoch=ownership.lease.epoch,
            is_member=self.member in ownership.lease.members,
            fences_in_force=ownership.lease.fences_in_force(now),
            is_ready_to_leave=self.is_closing,
            is_being_replaced=is_leaving,
            live_members=self.surroundings.live_members | {self.member},
            removed_members=self.surroundings.removed_members,
        )

    def _convert_actions(self, actions: Iterable[record_book.Action]) -> list[Action]:
        converted: list[Action] = []
        for action in actions:
            if isinstance(action, PersistState):
                token = self.start_count * TOKENS_PER_START + action.token
                action = PersistState(action.name, action.data, token)
            elif isinstance(action, record_book.MoveEnded):
                self.counts["moved" if action.is_moved else "stayed"] += 1
            elif isinstance(action, record_book.OwnershipAcquired):
                self.counts["took"] += 1
            converted.append(action)
        return converted
