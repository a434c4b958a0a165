"""The other members as one instance knows them: statuses, suspicions and the order of probes. Pure."""

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
    """Merges updates of other members; what changes is disseminated and reported to `on_change`."""

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
        self._probe_order: list[int] = []  # the next one last
        self._suspicion_timers = SuspicionTimers()

    def live_ids(self) -> list[int]:
        """The ids of this instance and of all that are alive or only suspected."""
        return sorted([self.self_id, *(m.id for m in self.members.values() if m.is_live)])

    def next_probe_target(self) -> Member | None:
        """The next live member of the shuffled round: one probe of each a round bounds the detection time."""
        for _ in range(2):
            while self._probe_order:
                member = self.members.get(self._probe_order.pop())
                if member is not None and member.is_live:
                    return member
            self._probe_order = sorted(self.members)
            self.random.shuffle(self._probe_order)
        return None

    def sample(self, count: int, is_wanted: Callable[[Member], bool]) -> list[Member]:
        """Up to `count` members drawn from those that are wanted."""
        wanted = [m for m in self.members.values() if is_wanted(m)]
        return self.random.sample(wanted, min(count, len(wanted)))

    def apply(self, update: Update, now: float) -> None:
        """Merge an update: it counts if its incarnation isn't older than what is known."""
        member = self.members.get(update.member)
        if update.status is MemberStatus.ALIVE:
            self._on_alive(member, update, now)
        elif member is None or update.incarnation < member.incarnation or not member.is_live:
            return  # unknown, and then its address is unknown too; or outdated; or ended already
        elif update.status is MemberStatus.SUSPECT:
            self.suspect(member, update.incarnation, update.source, now)
        else:
            self._end(member, update.status, update.incarnation, update.source, now)

    def suspect(self, member: Member, incarnation: int, source: int, now: float) -> None:
        """Begin a suspicion by one source, or count its confirmation of one that runs."""
        update = Update(MemberStatus.SUSPECT, member.id, incarnation, source)
        if member.suspicion is not None and member.incarnation == incarnation:
            sources = member.suspicion.sources
            known_count = len(sources)
            sources.add(source)
            # The first independent confirmations are passed on, so that others can shorten theirs as well.
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
        """When `run_suspicions` is due; infinite without suspicions."""
        return self._suspicion_timers.next_at()

    def run_suspicions(self, now: float) -> None:
        """Declare members dead whose suspicion has ended."""
        for due_id in self._suspicion_timers.pop_due(now):
            member = self.members.get(due_id)
            if member is None or member.suspicion is None:
                continue
            ends_at = member.suspicion.ends_at()
            if ends_at <= now:
                self._end(member, MemberStatus.DEAD, member.incarnation, self.self_id, now)
            elif not self._suspicion_timers.has(member.id, ends_at):
                self._suspicion_timers.schedule(member.id, ends_at)

    def postpone_suspicions(self, by_ms: float) -> None:
        """Move the ends of all suspicions by the time that this instance did not run."""
        for member in self.members.values():
            if member.suspicion is not None:
                member.suspicion.started_at += by_ms
                self._suspicion_timers.schedule(member.id, member.suspicion.ends_at())

    def remove_expired(self, now: float) -> None:
        """Forget members that ended longer ago than the retention."""
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

    def _end(self, member: Member, status: MemberStatus, incarnation: int, source: int, now: float) -> None:
        member.status, member.incarnation, member.suspicion = status, incarnation, None
        member.status_since = now
        self._updates.add(Update(status, member.id, incarnation, source))
        self._on_change(member)
