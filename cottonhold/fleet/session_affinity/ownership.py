"""Pins: which dispatcher a key's loads go through, one at a time, and how that moves. Pure.

Each key has a *home*: the member that rendezvous hashing puts first among those in the table. A key without
a pin is its home's. A pin (key, epoch, owner) stands where that is another; the home knows the owner.
Hand-over:

    mover                                             target
    HELD --OFFER--> (OFFERED on disk)                 ACCEPTED on disk --ACCEPT-->
    nothing open for the key, or waited long enough:
    FENCED on disk: starts no more                    (loads of the key wait or come back)
    nothing open any more, or known as may-have-run:
    RELEASED on disk --RELEASE-->                     HELD on disk: starts. --TAKEN-->

Every message is sent again until it is answered; batches carry many. At each moment at most one member may
start loads of a key: the mover until FENCED, the target from its HELD on. An epoch is never used twice: the
epochs of one member only grow, and one that forgot a pin turns down what is not newer than all it forgot.

Where a member is fenced (standing.py), the homes change. The new home acts once the fence is in force and all
others in the table have told it what they own of its keys (`DONE`), because one of them may be the owner.
Then it takes over what the fenced one owned, with `doubt`: a load of it may have run. A target that had
accepted from the fenced mover becomes owner by its home's word (ADOPT) alone.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Iterable, Mapping

from cottonhold.fleet.session_affinity import messages
from cottonhold.fleet.session_affinity.announcements import Handover
from cottonhold.fleet.session_affinity.messages import TENTATIVE, Entry, Step
from cottonhold.fleet.session_affinity.record_book import (
    Action,
    Back,
    Forward,
    Moved,
    Own,
    Pin,
    Pinned,
    PinSettings,
    Took,
)
from cottonhold.fleet.zone_failover.messages import WordError
from cottonhold.membership.rendezvous import score

__all__ = ["Action", "Back", "Forward", "Moved", "Own", "PinSettings", "Pins", "Took"]


class Pins(Handover):
    """One member's pins. `dispatchers`: the table as of `epoch`, where no record of it is kept; fenced: those
    that were taken out of it of late. whole: this member's folder is the one it last had; where it is known
    to be empty or old, False: it then owns nothing until it was fenced and admitted."""

    # --- questions ---

    def take(self, now: float, key: bytes) -> Own | Forward | Back:
        """A load of the key has arrived: where it belongs. After `Own`, `opened` follows at once."""
        own = self.owns(now, key)
        if own is not None:
            return own
        home, pin = self.home(key), self.pins.get(key)
        here = pin is not None and pin.owner == self.me
        if pin is not None and not here and pin.owner in self.standing.inside:
            return Forward(key, pin.owner)
        if home not in (0, self.me) and not here:
            return Forward(key, home)
        if pin is not None and not here and self._complete() and key not in self.maybe:
            self._claim(now, key, pin.epoch)
        return Back(self.settings.back)

    def owns(self, now: float, key: bytes) -> Own | None:
        """Whether loads of the key may start here now; changes nothing."""
        if not self.settings.on:
            return Own(0, math.inf)
        pin, until = self.pins.get(key), self.standing.stands()
        if until <= now:
            return None
        if pin is None:
            if self.home(key) != self.me or not self._mine(key):
                return None
            return Own(0, until, self._doubt(now, key) > now)
        # Danger: a new epoch that isn't on disk would be undone by a restart, after a load began under it.
        held = pin.state is Pinned.OFFERED or (pin.state is Pinned.HELD and not pin.token)
        return Own(pin.epoch, until, pin.doubt > now) if held and pin.owner == self.me else None

    def targets(self, keys: Iterable[bytes], room: Mapping[int, float]) -> dict[bytes, int]:
        """A target for each key: the first in rendezvous order that has less than its part of the pins, by
        its room (of any unit, e.g. cores to spare); none where nobody has room. Bounded load as in
        "Consistent Hashing with Bounded Loads" (Mirrokni, Thorup, Zadimoghaddam)."""
        wanted = sorted(keys)
        there = {m: r for m, r in room.items() if r > 0 and m in self.standing.inside and m != self.me}
        total = sum(there.values())
        left = {m: math.ceil(self.settings.spread * len(wanted) * r / total) for m, r in there.items()}
        chosen: dict[bytes, int] = {}
        for key in wanted:
            open_ = [m for m in there if left[m] > 0]
            if open_:
                best = max(open_, key=lambda m: score(m, there[m], key.hex()))
                left[best] -= 1
                chosen[key] = best
        return chosen

    def owned(self) -> list[bytes]:
        """Keys that this member would have to move to leave: its pins, and what is open here without one."""
        mine = {key for key, pin in self.pins.items() if pin.owner == self.me}
        return sorted(mine | {key for key in self.open if self.pins.get(key) is None})

    def moving(self) -> int:
        """Pins that are still to go from here."""
        return sum(map(len, self.queue.values())) + sum(self.offers.values())

    def next_at(self, now: float = 0.0) -> float:
        """When `step` is due."""
        times = [self.pins[key].due for key in self.busy]
        times += [self._when(now, target) for target, line in self.queue.items() if line]
        saved = self.standing.durable >= self.standing.version
        if saved and any(self.done.get(m) != self.standing.epoch for m in self._others()):
            times.append(self.done_due)
        return min([*times, self.standing.next_at()], default=math.inf)

    # --- what happens ---

    def opened(self, now: float, key: bytes, load: int) -> list[Action]:
        """A load of the key waits in line or runs here: the pin stays until it has ended."""
        self.open.setdefault(key, set()).add(load)
        return []

    def ended(self, now: float, key: bytes, load: int, known: bool = True) -> list[Action]:
        """It has ended; known False: it may have run, and the next owner is told of that."""
        there = self.open.get(key, set())
        there.discard(load)
        if not there:
            self.open.pop(key, None)
        pin = self.pins.get(key)
        if not known and pin is None and self.home(key) == self.me and self.settings.on:
            self.pins[key] = pin = Pin(self._next(0), self.me, Pinned.HELD, placed=True)
            self._keep(key, pin)
        if pin is None:
            return self._run(now) if not known else []
        if not known:
            pin.doubt = now + self.settings.doubt
        self._ready(now, key, pin)
        return self._run(now)

    def move(self, now: float, keys: Iterable[bytes], target: int) -> list[Action]:
        """Hand these keys over; each ends in a `Moved`. Those that aren't this member's are left out."""
        line = self.queue.setdefault(target, deque())
        line.extend(key for key in keys if key not in line)
        return self._run(now)

    def abort(self, now: float, keys: Iterable[bytes]) -> list[Action]:
        """Keep these here after all; those that are released already go on."""
        wanted = set(keys)
        for target, line in self.queue.items():
            self.queue[target] = deque(key for key in line if key not in wanted)
        for key in wanted:
            pin = self.pins.get(key)
            if pin is not None and pin.owner == self.me and pin.state in (Pinned.OFFERED, Pinned.FENCED):
                self._keep_here(now, key, pin)
        return self._run(now)

    def fence(self, now: float, owner: int, epoch: int) -> list[Action]:
        """A register settled that a member is out from this epoch of the table on."""
        if self.standing.change(now, owner, epoch, False):
            self._changed(now, owner)
        return self._run(now)

    def admit(self, now: float, member: int, epoch: int) -> list[Action]:
        """A register settled that a member is in from this epoch of the table on, owning nothing yet."""
        if self.standing.change(now, member, epoch, True):
            self._changed(now, 0)
        return self._run(now)

    def on_message(self, now: float, sender: int, data: bytes) -> list[Action]:
        """A message of pins (first byte 75 to 78); one that makes no sense is counted."""
        try:
            kind = data[0] if data else 0
            if kind == messages.BATCH:
                step, entries = messages.read_batch(data)
                for entry in entries:
                    self._entry(now, sender, step, entry)
            elif kind == messages.LEASE:
                self.standing.lease(now, sender, *messages.read_lease(data))
            elif kind == messages.REFUSE:
                self.standing.refuse(now, sender, *messages.read_short(data))
            elif kind == messages.DONE:
                answer, _, epoch = messages.read_short(data)
                self._done(sender, answer, epoch)
            else:
                raise WordError("kind")
        except WordError:
            self.counts["malformed"] += 1
        return self._run(now)

    def on_persisted(self, now: float, token: int) -> list[Action]:
        """The disk has the record that was asked to be kept under this token."""
        self.standing.kept(now, token)
        key = self.keeping.pop(token, None)
        pin = self.pins.get(key) if key is not None else None
        if key is not None and pin is not None and pin.token == token:
            pin.token = 0
            self._durable(now, key, pin)
        return self._run(now)

    def step(self, now: float) -> list[Action]:
        """Time has passed; call at `next_at` at the latest, and once at the start."""
        return self._run(now)

    # --- inside ---

    def _durable(self, now: float, key: bytes, pin: Pin) -> None:
        """A pin's record is on disk: say what waited for that."""
        self._wake(now, key, pin)
        answer, pin.answer = pin.answer, None
        if answer is not None:
            sender, entry = answer
            home = pin.state is Pinned.RELEASED and pin.owner == sender
            if pin.state is Pinned.RELEASED and pin.peer and pin.epoch == entry.epoch:
                self._batch(sender, Step.DROPPED, Entry(key, entry.epoch))
            elif home and entry.flags & TENTATIVE:
                self._batch(sender, Step.ADOPT, Entry(key, entry.epoch))
            else:
                self._batch(sender, Step.PLACED, entry)
        if pin.state is Pinned.ACCEPTED and pin.peer:
            self._batch(pin.peer, Step.ACCEPT, Entry(key, pin.epoch))
        elif pin.state is Pinned.HELD and pin.took:
            pin.took = False
            self.actions.append(Took(key, pin.epoch, pin.doubt > now))
            if pin.placed and pin.peer:
                self._batch(pin.peer, Step.TAKEN, Entry(key, pin.epoch))
        self._ready(now, key, pin)
