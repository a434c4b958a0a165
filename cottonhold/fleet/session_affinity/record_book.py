"""What one member holds of pins: their kinds, their records, homes and epochs. Pure."""

from __future__ import annotations

import math
import random
import struct
from bisect import bisect_left
from collections import deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from enum import IntEnum

from cottonhold.fleet.consensus.actions import PersistState, SendMessage
from cottonhold.fleet.consensus.messages import MessageReader
from cottonhold.fleet.session_affinity.membership_lease import Standing
from cottonhold.fleet.session_affinity.messages import Entry, Step
from cottonhold.membership.leases import LeaseSettings
from cottonhold.membership.rendezvous import score

RECORD = "pin/"  # names of records
FORM = struct.Struct("!QQQQBB")
TAKEN = struct.Struct("!B")
PURGE = 1000  # so many that needn't be remembered are forgotten at once
GAPS_MS = (10.0, 20.0, 50.0, 100.0, 200.0, 500.0, 1000.0)  # steps of the histogram of times without an owner


@dataclass(slots=True, frozen=True)
class PinSettings:
    """Times in ms. on: without it every key is one's own. retry: what lacks an answer is sent again. rate:
    pins a second and a target; window: offered to one target at once. hold: so long an offered pin waits for
    its loads before it is fenced. back: when one that can't be served now is told to come again. doubt: so
    long after a fence its loads may still run. most: pins of one owner. spread: a target of many gets at most
    so many times its fair part."""

    on: bool = False
    retry: float = 60.0
    rate: float = 500.0
    window: int = 100
    hold: float = 300.0
    back: float = 40.0
    doubt: float = 60_000.0
    most: int = 20_000
    spread: float = 1.25
    lease: LeaseSettings = field(default_factory=lambda: LeaseSettings(lease=600.0, retry=60.0))


class Pinned(IntEnum):
    """Where a pin stands at this member. RELEASED: another owns it."""

    HELD, OFFERED, ACCEPTED, FENCED, RELEASED = range(5)


@dataclass(slots=True, frozen=True)
class Own:
    """The key's loads may start here until `until` (own clock), under this epoch. doubt: a load of an earlier
    owner may have run without its end being known here."""

    epoch: int
    until: float
    doubt: bool = False


@dataclass(slots=True, frozen=True)
class Forward:
    """The key's loads are another's."""

    key: bytes
    owner: int


@dataclass(slots=True, frozen=True)
class Back:
    """Nobody may start the key's loads now; ask again in so many ms."""

    ms: float


@dataclass(slots=True, frozen=True)
class Moved:
    """A pin that was to be moved is its target's now (`done`), or stays here."""

    key: bytes
    epoch: int
    target: int
    done: bool


@dataclass(slots=True, frozen=True)
class Took:
    """A pin has become this member's."""

    key: bytes
    epoch: int
    doubt: bool


Action = SendMessage | PersistState | Moved | Took


@dataclass(slots=True)
class Pin:
    """A pin as this member knows it. peer: the target of a mover, the mover of a target. offered: the epoch
    under which it is offered."""

    epoch: int
    owner: int
    state: Pinned
    peer: int = 0
    offered: int = 0
    doubt: float = -math.inf  # until when a load of an earlier owner may run
    token: int = 0  # its last record; 0 once that is on disk
    accepted: bool = False
    taken: bool = False  # of RELEASED: the target has said so, or needn't
    placed: bool = False  # the home knows
    told: bool = False  # the home has heard of it, without having decided
    gone: bool = False  # of RELEASED: the target is out and never said that it took it
    took: bool = False  # of HELD: it is new here
    since: float = 0.0
    parted: float = math.nan  # of a mover: since when it starts none; not known after a restart
    due: float = -math.inf
    answer: tuple[int, Entry] | None = None  # what is said once its record is on disk


def rank(member: int, key: bytes) -> tuple[float, int]:
    """Who has the highest is a key's home."""
    return score(member, 1.0, key.hex()), member


def first(members: Iterable[int], key: bytes) -> int:
    """A key's home among these; 0 where there are none."""
    return max(members, key=lambda member: rank(member, key), default=0)


class Book:
    """One member's pins, with what it keeps and says of them."""

    def __init__(
        self,
        me: int,
        dispatchers: Iterable[int],
        voters: Iterable[int],
        now: float,
        seed: int,
        kept: Mapping[str, bytes],
        settings: PinSettings | None = None,
        whole: bool = True,
        epoch: int = 0,
        fenced: Iterable[int] = (),
    ) -> None:
        self.me, self.settings, self.draw = me, settings or PinSettings(), random.Random(seed)
        self.standing = Standing(
            me,
            dispatchers,
            voters,
            now,
            self.draw.getrandbits(30),
            kept,
            whole,
            self.settings.lease,
            epoch,
            fenced,
        )
        self.pins: dict[bytes, Pin] = {}
        self.open: dict[bytes, set[int]] = {}
        self.busy: set[bytes] = set()  # pins that something is still to be done for
        self.queue: dict[int, deque[bytes]] = {}  # to be moved, by target
        self.allowance: dict[int, tuple[float, float]] = {}  # by target: pins that may go now, as of when
        self.offers: dict[int, int] = {}  # by target: pins on their way
        self.maybe: dict[bytes, tuple[int, int]] = {}  # at a home: told by a target whose mover was fenced
        self.heard: dict[int, int] = {}  # by member: the epoch for which it has told all
        self.done: dict[int, int] = {}  # by member: the epoch for which it knows that this one told all
        self.done_due = -math.inf
        self.homes: dict[bytes, int] = {}
        self.high, self.token, self.began = 0, 0, now
        self.purge_at = PURGE
        self.says: dict[tuple[int, Step], list[Entry]] = {}
        self.actions: list[Action] = []
        self.counts = {"malformed": 0, "said": 0}
        # By key that was moved from here: how long none started its loads, up to each step, and more. It is
        # from when this member stopped until it heard that the target has it: a trip too long.
        self.gaps = [0] * (len(GAPS_MS) + 1)
        self.keeping: dict[int, bytes] = {}  # token -> key
        self.withdrawn: dict[tuple[bytes, int], tuple[int, float]] = {}  # offers taken back: from whom, due
        self.tables: list[frozenset[int]] | None = None  # since the last complete epoch, where all are known
        if self.standing.complete == self.standing.epoch:
            self.tables = [frozenset(self.standing.inside)]
        if whole:
            self._read(now, kept)

    # --- homes ---

    def home(self, key: bytes) -> int:
        """Whose a key is that has no pin; 0 where nobody is in."""
        found = self.homes.get(key)
        if found is None:
            if len(self.homes) > 4 * self.settings.most:
                self.homes.clear()
            found = self.homes[key] = first(self.standing.inside, key)
        return found

    def _others(self) -> set[int]:
        return self.standing.inside - {self.me} if self.me in self.standing.inside else set()

    def _complete(self) -> bool:
        """All others have told this home what they own of its keys, and all fences are in force."""
        return self.standing.complete == self.standing.epoch and self.me in self.standing.inside

    def _mine(self, key: bytes) -> bool:
        """A key without a pin may be started here: by a complete table, or because it was so all along."""
        if self._complete():
            return True
        return bool(self.tables) and all(first(table, key) == self.me for table in self.tables or ())

    # --- small things ---

    def _parted(self, now: float, pin: Pin) -> None:
        """From now on this member starts no load of a key."""
        if math.isnan(pin.parted):
            pin.parted = now

    def _met(self, now: float, pin: Pin) -> None:
        """The target has said that it starts them."""
        if not math.isnan(pin.parted):
            self.gaps[bisect_left(GAPS_MS, now - pin.parted)] += 1
            pin.parted = math.nan

    def _next(self, epoch: int) -> int:
        """An epoch above all that are known here."""
        self.high = max(self.high, epoch, self.standing.past, self.standing.epoch << 32) + 1
        return self.high

    def _doubt(self, now: float, key: bytes) -> float:
        """Until when a load of a key without a pin may run at the home that it had before a fence."""
        mine = rank(self.me, key)
        lately = {m: at + self.settings.doubt for m, at in self.standing.fenced_at.items()}
        return max((until for m, until in lately.items() if rank(m, key) >= mine), default=-math.inf)

    def _wake(self, now: float, key: bytes, pin: Pin) -> None:
        pin.due = now
        self.busy.add(key)

    def _batch(self, member: int, step: Step, entry: Entry) -> None:
        self.says.setdefault((member, step), []).append(entry)

    def _say(self, member: int, data: bytes) -> None:
        self.actions.append(SendMessage(member, data))

    def _keep(self, key: bytes, pin: Pin) -> None:
        self.token += 1
        pin.token, pin.answer = self.token, None
        self.keeping[self.token] = key
        pin.due = math.inf
        self.busy.add(key)
        data = FORM.pack(
            pin.epoch, pin.owner, pin.peer, pin.offered, pin.state, pin.doubt > -math.inf
        ) + bytes((pin.taken,))
        self.actions.append(PersistState(RECORD + key.hex(), data, self.token))

    def _forget(self, key: bytes) -> None:
        del self.pins[key]
        self.busy.discard(key)
        self.token += 1
        self.actions.append(PersistState(RECORD + key.hex(), b"", self.token))

    def _read(self, now: float, kept: Mapping[str, bytes]) -> None:
        for name, data in kept.items():
            if not name.startswith(RECORD) or not data:
                continue
            reader, key = MessageReader(data), bytes.fromhex(name.removeprefix(RECORD))
            epoch, owner, peer, offered, state, doubt = reader.read_struct(FORM)
            (taken,) = reader.read_struct(TAKEN)
            reader.expect_end()
            pin = self.pins[key] = Pin(epoch, owner, Pinned(state), peer, offered, taken=bool(taken))
            if doubt or owner == self.me:  # what was in flight when the last life ended may have run
                pin.doubt = now + self.settings.doubt
            pin.since, pin.accepted = now, pin.state is Pinned.FENCED
            pin.placed = self.home(key) == self.me
            self.high = max(self.high, epoch, offered)
            if owner == self.me or not taken:
                self._wake(now, key, pin)
            if pin.state in (Pinned.OFFERED, Pinned.FENCED) or (pin.state is Pinned.RELEASED and not taken):
                self.offers[peer] = self.offers.get(peer, 0) + 1

    def _purge(self) -> None:
        """Forget many pins that are another's and that this member needn't know of.

        Danger: an offer of one that is forgotten, come late, would be accepted again; so what isn't newer
        than all that was forgotten is turned down, and that is on disk first.
        """
        old = [
            (key, pin)
            for key, pin in self.pins.items()
            if pin.state is Pinned.RELEASED and pin.taken and not pin.token and key not in self.busy
            if self.home(key) != self.me
        ]
        self.purge_at = len(self.pins) - len(old) * (len(old) >= PURGE) + PURGE
        if len(old) < PURGE:
            return
        self.standing.past = max(self.standing.past, *(pin.epoch for _, pin in old))
        self.standing.version += 1
        self.token += 1
        self.actions.append(self.standing.keep(self.token))
        for key, _ in old:
            self._forget(key)
