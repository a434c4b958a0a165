"""Who is in, and whether this member may act as one that is: the table, the standing lease, the fence. Pure.

The *table* is the list of members under an epoch. It changes only by what a register of the swap settled
(`fence`, `admit`); each of its epochs is one change.

A member acts on what it owns only while it *stands*: while a majority of the voters has lately said so, by
its own clock (membership/leases.py: it counts from when it asked, a voter from when it was asked). A fence is
in force somewhere once a majority of voters has promised there not to renew the fenced one's lease, on disk,
and a whole lease and the clocks' margin have gone by since; or once the fenced one itself has said that it
stopped. So one that stood still for five seconds finds its lease over when it goes on, whatever it believes
of the table.
"""

from __future__ import annotations

import math
import struct
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from cottonhold.fleet.consensus.actions import PersistState, SendMessage
from cottonhold.fleet.consensus.messages import MessageReader
from cottonhold.fleet.session_affinity import messages
from cottonhold.membership.leases import Ask, Leases, LeaseSettings, To, Word

TABLE = "table"  # name of the record
HEAD = struct.Struct("!QQQ?HHHH")
MEMBER = struct.Struct("!Q")
FENCED_MOST = 64  # remembered of late
PAIR = struct.Struct("!QQ")


@dataclass(slots=True)
class Fence:
    """A fence under way: voters that refuse its member, and from when on it is in force."""

    refusing: set[int] = field(default_factory=set)
    since: float = math.inf  # own clock
    due: float = -math.inf  # asked again


class Standing:
    """One member's view of the table, its own lease, and its word as a voter."""

    def __init__(
        self,
        me: int,
        dispatchers: Iterable[int],
        voters: Iterable[int],
        now: float,
        first_term: int,
        kept: Mapping[str, bytes],
        whole: bool,
        settings: LeaseSettings,
        epoch: int = 0,
        fenced: Iterable[int] = (),
    ) -> None:
        self.me, self.voters, self.settings = me, tuple(sorted(set(voters))), settings
        self.majority = len(self.voters) // 2 + 1
        self.epoch = epoch
        self.inside = set(dispatchers)
        # One with an empty folder holds nothing and says nothing until it is admitted anew.
        if not whole:
            self.inside.discard(me)
        self.complete = 0 if whole else -1  # the epoch for which all have told this home what they own
        self.past = 0  # highest epoch of a pin that is not remembered any more
        self.refused: dict[int, int] = {}  # as a voter: no lease for a member that knows no later epoch
        self.barred = not whole
        # Those that were fenced of late: whether that is in force already isn't known to one that comes anew.
        self.fences: dict[int, Fence] = {m: Fence() for m in fenced if m != me and m not in self.inside}
        self.fenced_at: dict[int, float] = dict.fromkeys(self.fences, now)  # own clock
        if whole and TABLE in kept:
            self._read(now, kept[TABLE])
        self.leases = Leases(me, self.voters, settings, now, first_term)
        self.version, self.asked, self.durable = 0, 0, 0  # of the table's record: now, asked to be kept, kept
        self.saving: dict[int, int] = {}  # token -> version
        self.waiting: list[tuple[int, SendMessage]] = []  # what is said once the disk has a version
        self.actions: list[SendMessage | PersistState] = []

    # --- questions ---

    def stands(self) -> float:
        """Until when this member may act, on its own clock; past where it may not."""
        bid = self.leases.bids.get(self.me)
        return bid.held_until if bid is not None and self.me in self.inside else -math.inf

    def settled(self, now: float) -> bool:
        """All fences of this epoch are in force."""
        return all(now >= fence.since for fence in self.fences.values())

    def next_at(self) -> float:
        """When `step` is due."""
        times = [f.due if f.since == math.inf else f.since for f in self.fences.values()]
        return min([*times, self.leases.next_at()], default=math.inf)

    # --- what happens ---

    def change(self, now: float, member: int, epoch: int, inside: bool) -> bool:
        """One change of the table; false where it is known. Each epoch must be told, in order."""
        if epoch <= self.epoch:
            return False
        # Danger: a missed epoch may have made another the home of a key for a while.
        if epoch != self.epoch + 1:
            self.complete = -1
        self.epoch = epoch
        self.version += 1
        if inside:
            self.inside.add(member)
            self.fences.pop(member, None)
            self.barred = self.barred and member != self.me
        else:
            self.inside.discard(member)
            self.fenced_at.pop(member, None)
            self.fenced_at[member] = now
            for old in list(self.fenced_at)[:-FENCED_MOST]:
                del self.fenced_at[old]
            if member != self.me:
                self.fences[member] = Fence()
        return True

    def step(self, now: float, retry: float) -> None:
        """Time has passed: renew the lease, ask for what a fence lacks."""
        wanted = [self.me] if self.me in self.inside else []
        if set(wanted) != set(self.leases.bids):
            self._lease(self.leases.want(now, wanted))
        self._lease(self.leases.step(now))
        for member in [m for m, fence in self.fences.items() if now >= fence.since]:
            del self.fences[member]
        for member, fence in self.fences.items():
            if fence.since < math.inf or now < fence.due:
                continue
            fence.due = now + retry
            ask = messages.pack_short(messages.REFUSE, False, member, self.epoch)
            for voter in {*self.voters, member} - fence.refusing - {self.me}:
                self.actions.append(SendMessage(voter, ask))
            if self.me in self.voters:
                self._refuse(now, self.me, member, self.epoch)

    def lease(self, now: float, sender: int, what: Ask | Word, epoch: int) -> None:
        """An ask for, or a word on, a standing lease."""
        if isinstance(what, Ask):
            if what.duty != sender or self.barred:
                return
            # Danger: a voter that lost its folder has forgotten whom it refused. With its word and its own,
            # one that was fenced while it was cut off stood again, under the table of old.
            if epoch < self.refused.get(sender, 0) or (epoch <= self.epoch and sender not in self.inside):
                self._tell(sender, Word(what.duty, what.term, False, self.settings.retry))
                return
        elif what.duty != self.me:
            return
        self._lease(self.leases.receive(now, sender, what))

    def refuse(self, now: float, sender: int, answer: bool, member: int, epoch: int) -> None:
        """A voter is asked to refuse a member, or has promised to."""
        if not answer:
            if member == self.me:
                # It may only say so where it knows: then it has stopped.
                if self.me not in self.inside and self.epoch >= epoch and self.durable >= self.version:
                    self._say(sender, messages.pack_short(messages.REFUSE, True, member, epoch))
            elif self.me in self.voters and not self.barred:
                self._refuse(now, sender, member, epoch)
            return
        fence = self.fences.get(member)
        if fence is None or epoch > self.epoch:
            return
        if sender == member:
            fence.since = min(fence.since, now)
        elif sender in self.voters:
            fence.refusing.add(sender)
            if len(fence.refusing) >= self.majority and fence.since == math.inf:
                fence.since = now + self.settings.lease * (1 + self.settings.drift)

    def kept(self, now: float, token: int) -> None:
        """The disk has a record of the table."""
        self.durable = max(self.durable, self.saving.pop(token, 0))
        self._flush(now)

    def _flush(self, now: float) -> None:
        due = [say for needs, say in self.waiting if needs <= self.durable]
        self.waiting = [(needs, say) for needs, say in self.waiting if needs > self.durable]
        for say in due:
            if say.member == self.me:
                self.refuse(now, self.me, *messages.read_short(say.payload))
            else:
                self.actions.append(say)

    # --- inside ---

    def keep(self, token: int) -> PersistState:
        """The table's record, as it is now."""
        self.asked = self.saving[token] = self.version
        pairs = list(self.refused.items())
        counts = len(self.inside), len(self.fences), len(self.fenced_at), len(pairs)
        data = HEAD.pack(self.epoch, self.complete + 1, self.past, self.barred, *counts)
        members = *sorted(self.inside), *sorted(self.fences), *self.fenced_at
        data += b"".join(MEMBER.pack(member) for member in members)
        return PersistState(TABLE, data + b"".join(PAIR.pack(*pair) for pair in pairs), token)

    def _read(self, now: float, data: bytes) -> None:
        reader = MessageReader(data)
        self.epoch, complete, self.past, barred, inside, fences, lately, pairs = reader.read_struct(HEAD)
        self.complete, self.barred = complete - 1, bool(barred)
        self.inside = {reader.read_struct(MEMBER)[0] for _ in range(inside)}
        # Danger: a fence that was under way begins anew; without it a restart would cut its wait short.
        self.fences = {reader.read_struct(MEMBER)[0]: Fence() for _ in range(fences)}
        # Their loads may still run: counted from now, for the time since then is not known.
        self.fenced_at = {reader.read_struct(MEMBER)[0]: now for _ in range(lately)}
        found = [reader.read_struct(PAIR) for _ in range(pairs)]
        self.refused = {member: epoch for member, epoch in found}
        reader.expect_end()

    def _refuse(self, now: float, asker: int, member: int, epoch: int) -> None:
        """Danger: a word that is not on disk would be forgotten in a restart, and the lease renewed."""
        say = SendMessage(asker, messages.pack_short(messages.REFUSE, True, member, epoch))
        if self.refused.get(member, 0) < epoch:
            self.refused[member] = epoch
            self.version += 1
        if (self.version, say) not in self.waiting:
            self.waiting.append((self.version, say))
        self._flush(now)

    def _lease(self, actions: Iterable[object]) -> None:
        for action in actions:
            if isinstance(action, To):
                self._tell(action.member, action.what)

    def _tell(self, member: int, what: Ask | Word) -> None:
        self._say(member, messages.pack_lease(what, self.epoch))

    def _say(self, member: int, data: bytes) -> None:
        self.actions.append(SendMessage(member, data))
