"""One instance's table of the other members: their statuses, suspicions and the order of probes;
does no I/O."""

from __future__ import annotations

import random
from collections.abc import Callable

from cottonhold.discovery.model import Address
from cottonhold.membership.codec import MemberStatus, Update
from cottonhold.membership.dissemination import UpdateQueue
from cottonhold.membership.member import Member
from cottonhold.membership.suspicion import SuspicionTimers, begin_suspicion
from cottonhold.membership.swim_settings import SwimSettings


class MemberTable:
    """Merges updates of other members.

    Args:
        self_id: The id of this instance.
        settings: The settings of the membership protocol.
        random_source: Used for samples and for the order of probes.
        updates: Receives each change, to be disseminated.
        on_change: Called with each member that was added or whose status changed.
    """

    def __init__(
        self,
        self_id: int,
        settings: SwimSettings,
        random_source: random.Random,
        updates: UpdateQueue,
        on_change: Callable[[Member], None],
    ) -> None:
        self.self_id, self.settings, self.random = self_id, settings, random_source
        self.members: dict[int, Member] = {}
        self._updates, self._on_change = updates, on_change
        self._probe_order: list[int] = []  # ids still to be probed in this round; the next one is the last
        self._suspicion_timers = SuspicionTimers()

    def live_ids(self) -> list[int]:
        """Return the ids of this instance and of all members that are alive or suspected."""
        return sorted([self.self_id, *(m.id for m in self.members.values() if m.is_live)])

    def next_probe_target(self) -> Member | None:
        """Return the next live member in the shuffled order, if any.

        Each member is probed once in a round, which bounds the time to detect a failure.
        """
        for _ in range(2):
            while self._probe_order:
                member = self.members.get(self._probe_order.pop())
                if member is not None and member.is_live:
                    return member
            self._probe_order = sorted(self.members)
            self.random.shuffle(self._probe_order)
        return None

    def sample(self, count: int, is_wanted: Callable[[Member], bool]) -> list[Member]:
        """Return up to `count` random members of those for which `is_wanted` is true."""
        wanted = [m for m in self.members.values() if is_wanted(m)]
        return self.random.sample(wanted, min(count, len(wanted)))

    def apply(self, update: Update, now: float) -> None:
        """Merge an update, unless its incarnation is older than the known one."""
        member = self.members.get(update.member)
        if update.status is MemberStatus.ALIVE:
            self._on_alive(member, update, now)
        elif member is None or update.incarnation < member.incarnation or not member.is_live:
            return  # unknown (the update has no address), outdated, or already dead or left
        elif update.status is MemberStatus.SUSPECT:
            self.suspect(member, update.incarnation, update.source, now)
        else:
            self._mark_ended(member, update.status, update.incarnation, update.source, now)

    def suspect(self, member: Member, incarnation: int, source: int, now: float) -> None:
        """Begin a suspicion by one source, or add the source's confirmation to an existing suspicion."""
        update = Update(MemberStatus.SUSPECT, member.id, incarnation, source)
        if member.suspicion is not None and member.incarnation == incarnation:
            sources = member.suspicion.sources
            known_count = len(sources)
            sources.add(source)
            # The first independent confirmations are disseminated, so that other members can shorten their
            # suspicions as well.
            if known_count < len(sources) <= self.settings.max_confirmations + 1:
                self._updates.add(update)
                self._suspicion_timers.schedule(member.id, member.suspicion.ends_at())
            return
        live_count = len(self.live_ids())
        member.suspicion = begin_suspicion(now, source, live_count, self.settings)
        member.incarnation, member.status = incarnation, MemberStatus.SUSPECT
        member.status_since = now
        self._suspicion_timers.schedule(member.id, member.suspicion.ends_at())
        self._updates.add(update)
        self._on_change(member)

    def next_suspicion_at(self) -> float:
        """Return the time at which `run_suspicions` is due; infinity without suspicions."""
        return self._suspicion_timers.next_at()

    def run_suspicions(self, now: float) -> None:
        """Declare the members dead whose suspicion has ended."""
        for due_id in self._suspicion_timers.pop_due(now):
            member = self.members.get(due_id)
            if member is None or member.suspicion is None:
                continue
            ends_at = member.suspicion.ends_at()
            if ends_at <= now:
                self._mark_ended(member, MemberStatus.DEAD, member.incarnation, self.self_id, now)
            elif not self._suspicion_timers.has(member.id, ends_at):
                self._suspicion_timers.schedule(member.id, ends_at)

    def postpone_suspicions(self, by_ms: float) -> None:
        """Postpone the ends of all suspicions, by the time for which this instance did not run."""
        for member in self.members.values():
            if member.suspicion is not None:
                member.suspicion.started_at += by_ms
                self._suspicion_timers.schedule(member.id, member.suspicion.ends_at())

    def remove_expired(self, now: float) -> None:
        """Remove members that died or left longer ago than the retention time."""
        expired_before = now - self.settings.retention_ms
        for member in list(self.members.values()):
            if not member.is_live and member.status_since < expired_before:
                del self.members[member.id]

    def _on_alive(self, member: Member | None, update: Update, now: float) -> None:
        assert update.address is not None
        if member is None:
            self._add(update, update.address, now)
            return
        if update.incarnation <= member.incarnation:
            return
        was_alive = member.status is MemberStatus.ALIVE
        member.name, member.address = update.name, update.address
        member.incarnation, member.suspicion = update.incarnation, None
        member.status = MemberStatus.ALIVE
        if not was_alive:
            member.status_since = now
        self._updates.add(update)
        if not was_alive:
            self._on_change(member)

    def _add(self, update: Update, address: Address, now: float) -> None:
        member = Member(update.member, update.name, address, MemberStatus.ALIVE, update.incarnation, now)
        self.members[member.id] = member
        self._probe_order.insert(self.random.randrange(len(self._probe_order) + 1), member.id)
        self._updates.add(update)
        self._on_change(member)

    def _mark_ended(
        self, member: Member, status: MemberStatus, incarnation: int, source: int, now: float
    ) -> None:
        member.status, member.incarnation, member.suspicion = status, incarnation, None
        member.status_since = now
        self._updates.add(Update(status, member.id, incarnation, source))
        self._on_change(member)
