"""Pins in service at one member: its folder is judged, the table is fed, pins go where a swap wants. Pure.

Puts `Pins` and `Table` together. A folder that is whole goes on with what it holds. Else, and where the
register tells of changes that were missed for good, all records go and the member begins anew: in the table
as it is now, outside of it, until it was fenced (if it is in) and admitted.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace
from enum import Enum

from cottonhold.fleet.consensus.actions import ChangeRegister, PersistState, ReadRegister
from cottonhold.fleet.session_affinity import record_book
from cottonhold.fleet.session_affinity.membership_lease import TABLE
from cottonhold.fleet.session_affinity.membership_table import Seen, Table, TableSettings
from cottonhold.fleet.session_affinity.ownership import Back, Forward, Own, Pins, PinSettings

Action = record_book.Action | ChangeRegister | ReadRegister
LIFE = 1 << 32  # tokens of one beginning
LINGER = 500.0  # ms that one stays up once it is out of the table: by then the others know


class Going(Enum):
    """What this member's swap wants of it. STAYS: nothing. MOVES: its pins go. DRAINS: so does it. OUT: it is
    gone, or about to be."""

    STAYS, MOVES, DRAINS, OUT = range(4)


@dataclass(slots=True, frozen=True)
class Around:
    """What this member sees. whole: its folder is the one that it last had; None while nobody can say. going:
    see there. live: who is there by membership. out: whom a swap has taken out."""

    whole: bool | None
    going: Going = Going.STAYS
    live: frozenset[int] = frozenset()
    out: frozenset[int] = frozenset()


class PinService:
    """One member. kept: records of pins in its folder, by name. seed: drawn anew at each start."""

    def __init__(
        self,
        me: int,
        voters: Iterable[int],
        now: float,
        seed: int,
        kept: Mapping[str, bytes],
        settings: PinSettings | None = None,
        table: TableSettings | None = None,
    ) -> None:
        self.me, self.voters, self.seed = me, tuple(voters), seed
        self.settings = replace(settings or PinSettings(), on=True)
        self.table = Table(me, self.voters, now, table or TableSettings(), seed)
        self.kept_names, self.records = set(kept), dict(kept)
        self.pins: Pins | None = None
        self.around = Around(None)
        self.began = 0  # how often it has begun
        self.out_at: float | None = None  # since when it is out of the table
        self.closing = False  # nothing is left here, and its fence is asked for
        self.loads: set[int] = set()  # open since it began
        self.recent: dict[bytes, None] = {}  # keys that loads came for: they are moved before they are asked
        self.actions: list[Action] = []
        self.counts = {"gaps": 0, "moved": 0, "took": 0, "stayed": 0}

    # --- questions ---

    def take(self, now: float, key: bytes) -> Own | Forward | Back:
        """A load of the key has arrived; see Pins.take."""
        if self.pins is None:
            # Danger: one that is back takes clients before its folder is judged, which may last for 3 s, and
            # what came to it waited. Whoever is asked for a key checks for itself whether it is the owner.
            home = record_book.first(self.table.value.inside - {self.me}, key) if self.table.known else 0
            return Forward(key, home) if home else Back(self.settings.back)
        found = self.pins.take(now, key)
        # Danger: begun while this member's own fence was on its way to the register, a load ran here while
        # the key's new home, which had heard that nothing is open here, began the next one.
        return Back(self.settings.back) if self.closing and isinstance(found, Own) else found

    def owns(self, now: float, key: bytes) -> Own | None:
        """Whether loads of the key may start here now."""
        return self.pins.owns(now, key) if self.pins is not None else None

    def lost(self, now: float, key: bytes) -> bool:
        """Whether what waits here for the key will not start here: this member stands, and the key is not
        its own."""
        if self.pins is None:
            return True
        return self.pins.standing.stands() > now and self.pins.owns(now, key) is None

    def left(self, now: float, going: Going) -> int:
        """What still has to go before this machine may be taken out, as its swap has it now: pins, keys that
        loads come for, and once it drains its place in the table."""
        # Danger: where nobody has counted yet there is something left. A swap that read nothing here in the
        # moment in which it began went on to the drain with all pins at the machine.
        if self.pins is None or Going.STAYS in (going, self.around.going):
            return 1
        there = len(self._movable(now)) + self.pins.moving() + len(self.pins.open)
        if there or going is Going.MOVES:
            return there
        # Danger: requests that others handed on to here by the table of before, and whose answers were still
        # on their way as the machine went, were told as failed: they might have run.
        return int(self.out_at is None or now < self.out_at + LINGER)

    def _movable(self, now: float) -> list[bytes]:
        """Keys that may be moved away from here now, and aren't on their way."""
        if self.pins is None:
            return []
        pins, waiting = self.pins, {key for line in self.pins.queue.values() for key in line}
        keys = dict.fromkeys((*pins.owned(), *self.recent))
        found = []
        for key in keys:
            pin = pins.pins.get(key)
            on_way = pin is not None and pin.state is not record_book.Pinned.HELD
            if not on_way and key not in waiting and pins.owns(now, key) is not None:
                found.append(key)
        return found

    def next_at(self, now: float) -> float:
        """When `step` is due."""
        pins = self.pins.next_at(now) if self.pins is not None else math.inf
        return min(self.table.next_at(), pins)

    # --- loads ---

    def opened(self, now: float, key: bytes, load: int) -> list[Action]:
        """A load of the key waits in line or runs here."""
        if self.pins is None:
            return []
        self.loads.add(load)
        self.recent.pop(key, None)
        self.recent[key] = None
        if len(self.recent) > self.settings.most:
            del self.recent[next(iter(self.recent))]
        return self._out(self.pins.opened(now, key, load))

    def ended(self, now: float, key: bytes, load: int, known: bool) -> list[Action]:
        """It has ended; see Pins.ended. One from before it began anew is nothing to it."""
        if self.pins is None or load not in self.loads:
            return []
        self.loads.discard(load)
        return self._out(self.pins.ended(now, key, load, known))

    # --- what happens ---

    def move(self, now: float, most: int, room: Mapping[int, float]) -> list[Action]:
        """At most so many more go to others, each its part by its room (of any unit)."""
        if self.pins is None:
            return []
        chosen = self.pins.targets(self._movable(now)[:most], room)
        actions: list[Action] = []
        for target in sorted(set(chosen.values())):
            keys = [key for key, wanted in chosen.items() if wanted == target]
            actions += self._out(self.pins.move(now, keys, target))
        return actions

    def stay(self, now: float) -> list[Action]:
        """Nothing more is to go: what is on its way is taken back where that can be."""
        if self.pins is None:
            return []
        queued = [key for line in self.pins.queue.values() for key in line]
        return self._out(self.pins.abort(now, [*self.pins.pins, *queued]))

    def on_message(self, now: float, sender: int, data: bytes) -> list[Action]:
        """A message of pins."""
        return self._out(self.pins.on_message(now, sender, data)) if self.pins is not None else []

    def on_persisted(self, now: float, token: int) -> list[Action]:
        """The disk has a record."""
        # Danger: a record from before it began anew, on disk only now, would pass for one of this beginning.
        if self.pins is None or token // LIFE != self.began:
            return []
        return self._out(self.pins.on_persisted(now, token % LIFE))

    def outcome(self, now: float, token: int, won: bool | None, version: int, value: bytes) -> None:
        """A change or read of a register has ended."""
        self.table.outcome(now, token, won, version, value)

    def changed(self, now: float, name: str, version: int, value: bytes) -> None:
        """Another has told of a register."""
        self.table.changed(now, name, version, value)

    def step(self, now: float, around: Around) -> list[Action]:
        """Time has passed, or what is around has changed."""
        before, self.around = self.around, around
        if self.pins is None:
            self._begin(now)
        elif around.whole is False and before.whole is True:
            self._anew(now)
        actions, self.actions = self.actions, []
        actions += self._feed(now)
        if self.pins is not None:
            actions += self._out(self.pins.step(now))
        if self.pins is None or self.me in self.pins.standing.inside:
            self.out_at = None
        elif self.out_at is None:
            self.out_at = now
        if now >= self.table.next_at():
            actions += self.table.step(now, self._seen(now))
        return actions

    # --- inside ---

    def _begin(self, now: float) -> None:
        """Begin with the folder, or with nothing once the table is known."""
        if self.around.whole is None:
            return
        if self.around.whole and TABLE in self.records:
            self.began += 1
            self.pins = Pins(
                self.me, (), self.voters, now, self.seed + self.began, self.records, self.settings
            )
        elif self.table.known:
            self.began += 1
            self.actions += [PersistState(name, b"", 0) for name in sorted(self.kept_names)]
            value = self.table.value
            self.pins = Pins(
                self.me,
                value.inside - {self.me},
                self.voters,
                now,
                self.seed + self.began,
                {},
                self.settings,
                whole=False,
                epoch=value.epoch,
                fenced=value.fenced(),
            )
        self.records = {}

    def _anew(self, now: float) -> None:
        """What this member holds can't be relied on any more."""
        assert self.pins is not None
        self.counts["gaps"] += 1
        self.kept_names |= {TABLE, *(record_book.RECORD + key.hex() for key in self.pins.pins)}
        self.pins, self.records = None, {}
        self.loads.clear()
        self.recent.clear()
        self._begin(now)

    def _feed(self, now: float) -> list[Action]:
        """Changes of the table that the pins don't know yet."""
        if self.pins is None:
            return []
        changes = self.table.value.since(self.pins.standing.epoch)
        if changes is None:
            # What was heard of may be older than what this one knows; what a majority told may not.
            if self.table.known:
                self._anew(now)
            actions, self.actions = self.actions, []
            return actions
        actions = []
        for epoch, member, inside in changes:
            change = self.pins.admit if inside else self.pins.fence
            actions += self._out(change(now, member, epoch))
        return actions

    def _seen(self, now: float) -> Seen:
        going, pins = self.around.going, self.pins
        if pins is None:
            return Seen(-1, True, False)
        goes = going in (Going.DRAINS, Going.OUT)
        self.closing = goes and not (pins.moving() or pins.open or self._movable(now))
        return Seen(
            pins.standing.epoch,
            self.me in pins.standing.inside,
            pins.standing.settled(now),
            self.closing,
            goes,
            self.around.live | {self.me},
            self.around.out,
        )

    def _out(self, actions: Iterable[record_book.Action]) -> list[Action]:
        found: list[Action] = []
        for action in actions:
            if isinstance(action, PersistState):
                action = PersistState(action.name, action.data, self.began * LIFE + action.token)
            elif isinstance(action, record_book.Moved):
                self.counts["moved" if action.done else "stayed"] += 1
            elif isinstance(action, record_book.Took):
                self.counts["took"] += 1
            found.append(action)
        return found
