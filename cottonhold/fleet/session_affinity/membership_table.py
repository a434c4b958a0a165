"""The table of pins as the fleet settles it: which change it needs now, and its form in a register. Pure.

The register `pins` holds the table's epoch, who is in, and the last changes, each of which is one epoch.
Every member reads it and feeds the changes that its pins don't know yet, in order (`Value.since`). One that
missed more than is remembered can't tell whether it was itself fenced and admitted meanwhile: it begins anew,
as one with an empty folder.

The table is born empty, and each member asks for itself to be admitted. So a folder that has no table, or is
known to be old, needs no guess whether this is a fleet's first day: whoever is in the table without knowing
it is fenced first, by itself, and admitted then.

A change is proposed only where this member's pins know the newest table and all fences in it are in force. So
the fences that one with a gap has missed are in force, all but those that are still remembered.
"""

from __future__ import annotations

import random
import struct
from collections.abc import Iterable
from dataclasses import dataclass

from cottonhold.fleet.consensus.actions import ChangeRegister, ReadRegister
from cottonhold.fleet.consensus.messages import MAX_VALUE_BYTES
from cottonhold.fleet.consensus.register_cache import RegisterCache
from cottonhold.fleet.rolling_replacement.machine_driver import order_of
from cottonhold.fleet.zone_failover.messages import WordError

NAME = "pins"
HEAD = struct.Struct("!IBBH")  # epoch, members, changes, mask of those that are in
MEMBER = struct.Struct("!Q")
REMEMBERED = 16  # changes, if there is room
MOST = 12  # members in the table: what fits into a register


@dataclass(slots=True, frozen=True)
class TableSettings:
    """Times in ms. dead: a member that membership hasn't seen for so long is fenced. spread: between two that
    could propose. confirm: so old may knowledge of the register be when a change is proposed. poll: read so
    often while a change is wanted, follow: else. late: an operation on the register counts as lost."""

    dead: float = 5000.0
    spread: float = 250.0
    confirm: float = 400.0
    poll: float = 300.0
    follow: float = 2000.0
    late: float = 6000.0


@dataclass(slots=True, frozen=True)
class Value:
    """The table at an epoch, and the changes that led there (member, whether it came in), oldest first."""

    epoch: int = 0
    inside: frozenset[int] = frozenset()
    changes: tuple[tuple[int, bool], ...] = ()

    def after(self, member: int, inside: bool) -> Value:
        """The table after one more change; the oldest ones are forgotten as there is no room for them."""
        members = self.inside | {member} if inside else self.inside - {member}
        changes = (*self.changes, (member, inside))[-REMEMBERED:]
        value = Value(self.epoch + 1, members, changes)
        while len(pack(value)) > MAX_VALUE_BYTES:
            value = Value(value.epoch, members, value.changes[1:])
        return value

    def since(self, epoch: int) -> list[tuple[int, int, bool]] | None:
        """The changes after an epoch, in order, as (epoch, member, whether it came in); None where some of
        them are forgotten, or where the epoch is none of this table's."""
        first = self.epoch - len(self.changes)
        if not first <= epoch <= self.epoch:
            return None
        numbered = zip(range(first + 1, self.epoch + 1), self.changes, strict=True)
        return [(number, member, inside) for number, (member, inside) in numbered if number > epoch]

    def fenced(self) -> set[int]:
        """Who was taken out, as far as that is remembered, and is out still."""
        return {member for member, inside in self.changes if not inside} - self.inside


def pack(value: Value) -> bytes:
    """A table's bytes; they may be too many for a register."""
    members = sorted(value.inside | {member for member, _ in value.changes})
    place = {member: i for i, member in enumerate(members)}
    mask = sum(1 << place[member] for member in value.inside) & 0xFFFF
    head = HEAD.pack(value.epoch, len(members), len(value.changes), mask)
    ids = b"".join(MEMBER.pack(member) for member in members)
    return head + ids + bytes(place[member] << 1 | inside for member, inside in value.changes)


def read(data: bytes) -> Value:
    """The meaning of the register's value; nothing is the table that nobody has changed. Raises WordError."""
    if not data:
        return Value()
    if len(data) < HEAD.size:
        raise WordError("truncated")
    epoch, count, changed, mask = HEAD.unpack_from(data)
    ids, changes = data[HEAD.size : HEAD.size + count * MEMBER.size], data[HEAD.size + count * MEMBER.size :]
    if len(ids) != count * MEMBER.size or len(changes) != changed or changed > epoch:
        raise WordError("length")
    members = [member for (member,) in MEMBER.iter_unpack(ids)]
    if mask >> count or any(byte >> 1 >= count for byte in changes):
        raise WordError("member")
    inside = frozenset(member for i, member in enumerate(members) if mask >> i & 1)
    return Value(epoch, inside, tuple((members[byte >> 1], bool(byte & 1)) for byte in changes))


@dataclass(slots=True, frozen=True)
class Seen:
    """What this member sees when it weighs the table.

    epoch: of the table that its pins know; inside: whether it is in, as they know. settled: all fences they
    know of are in force. leaving: its swap has it go, and it has nothing left. away: its swap has it out, so
    it isn't admitted. live: who is there by membership, itself among them. out: whom a swap has taken out.
    """

    epoch: int
    inside: bool
    settled: bool
    leaving: bool = False
    away: bool = False
    live: frozenset[int] = frozenset()
    out: frozenset[int] = frozenset()


@dataclass(slots=True)
class Wish:
    """A change that this member holds for needed, and since when."""

    member: int = 0
    inside: bool = False
    since: float = 0.0


class Table:
    """One member's side of the table's register. seed: for tokens, drawn anew at each start."""

    def __init__(
        self, me: int, voters: Iterable[int], now: float, settings: TableSettings, seed: int
    ) -> None:
        self.me, self.voters, self.settings = me, frozenset(voters), settings
        self.majority = len(self.voters) // 2 + 1
        self.ledger = RegisterCache(random.Random(seed), settings.late)
        self.value = Value()
        self.known = False  # a majority has told it to this life
        self.wish: Wish | None = None
        self.why = ""
        self.seen_at: dict[int, float] = {}
        self.malformed = 0
        self.started = self.next_step = now

    # --- what happens ---

    def outcome(self, now: float, token: int, won: bool | None, version: int, value: bytes) -> None:
        """A change or read of a register has ended; one that isn't this part's says nothing here."""
        if self.ledger.on_outcome(now, token, won, version, value):
            self.known = self.known or (won is not None and version >= 0)
            self._learnt(now)

    def changed(self, now: float, name: str, version: int, value: bytes) -> None:
        """Another has told of a register."""
        if name == NAME:
            self.ledger.on_hint(now, name, version, value)
            self._learnt(now)

    def _learnt(self, now: float) -> None:
        cell = self.ledger.received(NAME)
        try:
            self.value = read(cell.value if cell is not None else b"")
        except WordError:
            self.malformed += 1
            self.known = False
        self.next_step = now

    # --- step ---

    def next_at(self) -> float:
        """When `step` is due."""
        return self.next_step

    def step(self, now: float, seen: Seen) -> list[ChangeRegister | ReadRegister]:
        """Propose what is needed, once it is this one's turn; and look at the register from time to time."""
        s = self.settings
        for member in self.value.inside | {self.me}:
            if member in seen.live or member not in self.seen_at:
                self.seen_at[member] = now
        self.next_step = now + s.poll / 2
        wanted = self._needed(now, seen) if self.known else None
        if wanted is None:
            self.wish, self.why = None, "" if self.known else "the table has not been read yet"
            return list(self.ledger.read(now, NAME, s.follow if self.known else s.poll))
        if self.wish is None or (self.wish.member, self.wish.inside) != wanted:
            self.wish = Wish(*wanted, now)
        self.why = self._against(seen, *wanted)
        if not self.why and now - self.wish.since >= self._rank(seen, wanted[0]) * s.spread:
            if self.ledger.is_confirmed(now, NAME, s.confirm):
                return list(self.ledger.change(now, NAME, pack(self.value.after(*wanted))))
            return list(self.ledger.read(now, NAME))
        return list(self.ledger.read(now, NAME, s.poll))

    # --- inside ---

    def _needed(self, now: float, seen: Seen) -> tuple[int, bool] | None:
        """One change of the table; its own first, since nobody else knows of it."""
        inside = self.value.inside
        if self.me in inside and (seen.leaving or (seen.epoch == self.value.epoch and not seen.inside)):
            return self.me, False
        if self.me not in inside and not seen.away:
            return self.me, True
        # Danger: one that isn't in itself may have been cut off; who is dead is then its own mistake.
        if self.me not in inside:
            return None
        for member in sorted(inside - {self.me}):
            lost = now - self.seen_at.get(member, now) >= self.settings.dead
            if lost or (member in seen.out and member not in seen.live):
                return member, False
        return None

    def _against(self, seen: Seen, member: int, inside: bool) -> str:
        """Why a change may not be proposed now."""
        if seen.epoch != self.value.epoch:
            return "the newest table isn't in force here yet"
        if not seen.settled:
            return "a fence is not in force yet"
        if inside and len(self.value.inside) >= MOST:
            return f"the table is full: {MOST} members"
        if not inside and len((self.value.inside - {member}) & self.voters) < self.majority:
            return "a majority of voters must stay in the table"
        return ""

    def _rank(self, seen: Seen, member: int) -> int:
        """This one's place among those that may propose a change: whom it is about, then by a hash."""
        if member == self.me:
            return 0
        live = sorted(self.value.inside & seen.live - {member}, key=lambda m: order_of(NAME, f"{member}/{m}"))
        return live.index(self.me) if self.me in live else len(live)
