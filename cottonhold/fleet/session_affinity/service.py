"""Session affinity at one member: combines key ownership and the membership table; does no I/O.

A member whose state folder is current starts with the keys recorded there. If the folder is not current, or
if the table's register no longer holds changes that the member missed, all its records are removed. It then
starts with the current table, but outside of it until it has been fenced (if it is listed) and admitted.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace
from enum import Enum

from cottonhold.fleet.consensus.actions import ChangeRegister, PersistState, ReadRegister
from cottonhold.fleet.session_affinity import ownership_records
from cottonhold.fleet.session_affinity.membership_lease import TABLE_RECORD
from cottonhold.fleet.session_affinity.membership_table import LocalView, MembershipTable, TableSettings
from cottonhold.fleet.session_affinity.ownership import (
    KeyOwnership,
    OwnedElsewhere,
    OwnedHere,
    OwnershipSettings,
    RetryAfter,
)

Action = ownership_records.Action | ChangeRegister | ReadRegister
TOKENS_PER_START = 1 << 32
REMOVAL_GRACE_MS = 500.0  # time until the other members have applied this member's removal from the table


class DepartureState(Enum):
    """The stage of this member's rolling replacement, on which its ownership of keys depends.

    Attributes:
        STAYING: It is not being replaced.
        MOVING_KEYS: Its keys are moved to other members.
        DRAINING: Its keys are moved, and it leaves the table.
        OUT: It has been taken out of service, or is about to be.
    """

    STAYING = 0
    MOVING_KEYS = 1
    DRAINING = 2
    OUT = 3


@dataclass(slots=True, frozen=True)
class Surroundings:
    """The state of this member and of others that the adapter passes to each step.

    Attributes:
        folder_is_current: Whether the state folder is the one that this member last used; None if unknown.
        departure: State of this member's rolling replacement.
        live_members: Live members by the membership protocol.
        removed_members: Members that a rolling replacement has taken out.
    """

    folder_is_current: bool | None
    departure: DepartureState = DepartureState.STAYING
    live_members: frozenset[int] = frozenset()
    removed_members: frozenset[int] = frozenset()


class SessionAffinityService:
    """Session affinity of one member. Times are in ms of the local clock.

    Args:
        member: The id of this member.
        voters: The ids of all configured voters.
        now: The current time.
        seed: A random number, drawn at each start.
        records: The session affinity records in this member's state folder, by name.
        settings: Limits and times of key ownership; the defaults if None.
        table: Times of the membership table; the defaults if None.
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
        self.start_count = 0  # number of starts of key ownership, with or without the records
        self.removed_at: float | None = None  # when this member was found removed from the table
        self.is_closing = False  # whether it owns no keys any more, and requests its own fence
        self.open_request_ids: set[int] = set()  # requests opened since the last start of ownership
        self.recent_keys: dict[bytes, None] = {}  # keys of arrived requests, oldest first; they are moved too
        self.actions: list[Action] = []
        self.counts = {"gaps": 0, "moved": 0, "took": 0, "stayed": 0}

    def route(self, now: float, key: bytes) -> OwnedHere | OwnedElsewhere | RetryAfter:
        """Return which member may start an arriving request for the key; see KeyOwnership.route.

        No request starts here while this member's own fence is pending: the key's new home relies on no
        request being open here and may start the next one.
        """
        if self.ownership is None:
            return self._route_before_start(key)
        route = self.ownership.route(now, key)
        if self.is_closing and isinstance(route, OwnedHere):
            return RetryAfter(self.settings.retry_after_ms)
        return route

    def _route_before_start(self, key: bytes) -> OwnedElsewhere | RetryAfter:
        """Return the key's home among the other members, before key ownership has started here.

        The receiver of a forwarded request checks whether it is the owner.
        """
        home = ownership_records.NO_MEMBER
        if self.table.is_known:
            home = ownership_records.home_among(self.table.member_list.members - {self.member}, key)
        if home == ownership_records.NO_MEMBER:
            return RetryAfter(self.settings.retry_after_ms)
        return OwnedElsewhere(key, home)

    def ownership_of(self, now: float, key: bytes) -> OwnedHere | None:
        """Return the ownership under which requests for the key may start here now, or None."""
        return self.ownership.ownership_of(now, key) if self.ownership is not None else None

    def will_not_start(self, now: float, key: bytes) -> bool:
        """Return whether a waiting request for the key will not start here.

        That is so before key ownership has started, or if the lease is valid and the key is not owned here.
        """
        if self.ownership is None:
            return True
        return self.ownership.lease.valid_until() > now and self.ownership.ownership_of(now, key) is None

    def remaining_count(self, now: float, departure: DepartureState) -> int:
        """Return the amount of work that is left before this machine may be taken out of service.

        Counts owned keys, keys with arrived requests, and from DRAINING on this member's table entry.

        Args:
            now: The current time.
            departure: The newest state of its replacement, which `step` may not have received yet.
        """
        if self.ownership is None or DepartureState.STAYING in (departure, self.surroundings.departure):
            return 1  # the keys have not been counted yet
        remaining = len(self._movable_keys(now)) + self.ownership.moving_count()
        remaining += len(self.ownership.open_requests)
        if remaining or departure is DepartureState.MOVING_KEYS:
            return remaining
        # Members that have not applied the new table may still forward requests to this member.
        return int(self.removed_at is None or now < self.removed_at + REMOVAL_GRACE_MS)

    def _movable_keys(self, now: float) -> list[bytes]:
        """Return the keys that may be moved away now and are not being moved yet."""
        if self.ownership is None:
            return []
        ownership = self.ownership
        queued = {key for queue in ownership.move_queues.values() for key in queue}
        movable = []
        for key in dict.fromkeys((*ownership.owned_keys(), *self.recent_keys)):
            record = ownership.records.get(key)
            is_moving = record is not None and record.state is not ownership_records.OwnershipState.OWNED
            if not is_moving and key not in queued and ownership.ownership_of(now, key) is not None:
                movable.append(key)
        return movable

    def next_at(self, now: float) -> float:
        """Return when `step` is due."""
        ownership_at = self.ownership.next_at(now) if self.ownership is not None else math.inf
        return min(self.table.next_at(), ownership_at)

    def on_request_opened(self, now: float, key: bytes, request_id: int) -> list[Action]:
        """Record that a request for the key waits or runs here."""
        if self.ownership is None:
            return []
        self.open_request_ids.add(request_id)
        self.recent_keys.pop(key, None)
        self.recent_keys[key] = None
        if len(self.recent_keys) > self.settings.max_records:
            del self.recent_keys[next(iter(self.recent_keys))]
        return self._convert_actions(self.ownership.on_request_opened(now, key, request_id))

    def on_request_ended(self, now: float, key: bytes, request_id: int, outcome_known: bool) -> list[Action]:
        """Record the end of a request for the key, unless it was opened before key ownership last started."""
        if self.ownership is None or request_id not in self.open_request_ids:
            return []
        self.open_request_ids.discard(request_id)
        return self._convert_actions(self.ownership.on_request_ended(now, key, request_id, outcome_known))

    def move_keys(self, now: float, max_keys: int, capacities: Mapping[int, float]) -> list[Action]:
        """Move at most `max_keys` keys to other members, in proportion to their capacities (in any unit)."""
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
        """Apply a session affinity message."""
        if self.ownership is None:
            return []
        return self._convert_actions(self.ownership.on_message(now, sender, payload))

    def on_persisted(self, now: float, token: int) -> list[Action]:
        """Record that a write is on disk; tokens from before key ownership last started are ignored."""
        if self.ownership is None or token // TOKENS_PER_START != self.start_count:
            return []
        return self._convert_actions(self.ownership.on_persisted(now, token % TOKENS_PER_START))

    def on_outcome(self, now: float, token: int, won: bool | None, version: int, value: bytes) -> None:
        """Apply the outcome of an operation on a register."""
        self.table.on_outcome(now, token, won, version, value)

    def on_register_changed(self, now: float, name: str, version: int, value: bytes) -> None:
        """Apply a register's value that another member announced."""
        self.table.on_register_changed(now, name, version, value)

    def step(self, now: float, surroundings: Surroundings) -> list[Action]:
        """Return the actions that are due, given the current surroundings."""
        was_current = self.surroundings.folder_is_current
        self.surroundings = surroundings
        if self.ownership is None:
            self._start(now)
        elif surroundings.folder_is_current is False and was_current is True:
            self._restart_without_records(now)
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
        """Start key ownership with current records, or without records once the table is known."""
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
                folder_is_current=False,
                epoch=table.epoch,
                fenced=table.fenced_members(),
            )
        self.records = {}

    def _restart_without_records(self, now: float) -> None:
        """Restart key ownership without this member's records, which may be out of date."""
        assert self.ownership is not None
        self.counts["gaps"] += 1
        prefix = ownership_records.OWNERSHIP_RECORD_PREFIX
        self.record_names |= {TABLE_RECORD, *(prefix + key.hex() for key in self.ownership.records)}
        self.ownership = None
        self.records = {}
        self.open_request_ids.clear()
        self.recent_keys.clear()
        self._start(now)

    def _apply_table_changes(self, now: float) -> list[Action]:
        """Apply the changes of the table that key ownership has not applied yet."""
        if self.ownership is None:
            return []
        changes = self.table.member_list.changes_since(self.ownership.lease.epoch)
        if changes is None:
            # An announced table may be older than the applied one; a table read from a majority is not.
            if self.table.is_known:
                self._restart_without_records(now)
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

    def _convert_actions(self, actions: Iterable[ownership_records.Action]) -> list[Action]:
        converted: list[Action] = []
        for action in actions:
            if isinstance(action, PersistState):
                token = self.start_count * TOKENS_PER_START + action.token
                action = PersistState(action.name, action.data, token)
            elif isinstance(action, ownership_records.MoveEnded):
                self.counts["moved" if action.is_moved else "stayed"] += 1
            elif isinstance(action, ownership_records.OwnershipAcquired):
                self.counts["took"] += 1
            converted.append(action)
        return converted
