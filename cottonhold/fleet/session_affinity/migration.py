"""Hand-over of pins: what mover and target say to each other, as drawn in pins.py. Pure."""

from __future__ import annotations

import math

from cottonhold.fleet.session_affinity.messages import DOUBT, Entry, Step
from cottonhold.fleet.session_affinity.record_book import Book, Moved, Pin, Pinned


class Transfer(Book):
    """The steps between a mover and a target."""

    # --- as a mover ---

    def _move(self, now: float) -> None:
        for target, line in self.queue.items():
            if not line:
                continue
            left, since = self.allowance.get(target, (1.0, now))
            left = min(left + (now - since) * self.settings.rate / 1000, max(self.settings.rate / 20, 1.0))
            for _ in range(len(line)):
                if left < 1 or self.offers.get(target, 0) >= self.settings.window:
                    break
                key = line.popleft()
                if self._offer(now, key, target):
                    left -= 1
            self.allowance[target] = left, now

    def _when(self, now: float, target: int) -> float:
        """When the next pin may go to this target."""
        if self.offers.get(target, 0) >= self.settings.window:
            return math.inf
        left, since = self.allowance.get(target, (1.0, now))
        return max(since + (1 - left) * 1000 / self.settings.rate, since + 1)

    def _offer(self, now: float, key: bytes, target: int) -> bool:
        pin = self.pins.get(key)
        if pin is not None and pin.owner == self.me and pin.state is Pinned.HELD:
            if pin.token or any(k == key for k, _ in self.withdrawn):
                self.queue[target].append(key)  # an earlier offer isn't taken back yet
                return False
        elif pin is None and self.home(key) == self.me and self._mine(key):
            self.pins[key] = pin = Pin(self._next(0), self.me, Pinned.HELD, placed=True)
            # What an earlier life of this member had in flight without a pin is known to its own store only.
            pin.doubt = max(self._doubt(now, key), self.began + self.settings.doubt)
        else:
            self.actions.append(Moved(key, 0, target, False))
            return False
        if target == self.me or target not in self.standing.inside:
            self.actions.append(Moved(key, pin.epoch, target, False))
            return False
        pin.state, pin.peer, pin.accepted, pin.since = Pinned.OFFERED, target, False, now
        pin.offered = self._next(pin.epoch)
        self.offers[target] = self.offers.get(target, 0) + 1
        self._keep(key, pin)
        return True

    def _ready(self, now: float, key: bytes, pin: Pin) -> None:
        """An accepted pin: release it as soon as nothing is open, fence it before if that takes long."""
        if pin.owner != self.me or not pin.accepted or pin.state not in (Pinned.OFFERED, Pinned.FENCED):
            return
        if not self.open.get(key):
            # The record of RELEASED says all that one of FENCED would.
            self._parted(now, pin)
            pin.state, pin.owner, pin.epoch, pin.taken = Pinned.RELEASED, pin.peer, pin.offered, False
            pin.placed = pin.placed or self.home(key) == self.me
            self._keep(key, pin)
        elif pin.state is Pinned.OFFERED and now >= pin.since + self.settings.hold:
            self._parted(now, pin)
            pin.state = Pinned.FENCED
            self._keep(key, pin)

    def _keep_here(self, now: float, key: bytes, pin: Pin) -> None:
        """The mover keeps it after all, under an epoch above the one it had offered."""
        if pin.peer in self.standing.inside:
            self.withdrawn[key, pin.offered] = pin.peer, now
        self._moved(key, pin, False)
        pin.parted = math.nan
        pin.epoch, pin.state, pin.accepted = self._next(pin.offered), Pinned.HELD, False
        pin.placed, pin.told = self.home(key) == self.me, False
        self._keep(key, pin)

    def _moved(self, key: bytes, pin: Pin, done: bool) -> None:
        self.offers[pin.peer] = max(self.offers.get(pin.peer, 0) - 1, 0)
        self.actions.append(Moved(key, pin.offered, pin.peer, done))

    def _accepted(self, now: float, sender: int, e: Entry) -> None:
        pin = self.pins.get(e.key)
        if pin is not None and pin.peer == sender and pin.offered == e.epoch:
            if pin.state in (Pinned.OFFERED, Pinned.FENCED):
                pin.accepted = True
                self._ready(now, e.key, pin)
                self._wake(now, e.key, pin)
                return
            if pin.state is Pinned.RELEASED:
                return
        self._batch(sender, Step.WITHDRAW, e)

    def _turned_down(self, now: float, sender: int, e: Entry) -> None:
        pin = self.pins.get(e.key)
        if pin is None or pin.state is not Pinned.OFFERED or pin.peer != sender or pin.accepted:
            return
        if e.epoch >= pin.offered:  # it has forgotten something newer: offered anew
            pin.offered = self._next(e.epoch)
            self._keep(e.key, pin)
        else:
            self._keep_here(now, e.key, pin)

    def _taken(self, now: float, sender: int, e: Entry) -> None:
        pin = self.pins.get(e.key)
        if pin is None or pin.state is not Pinned.RELEASED or pin.taken:
            return
        if pin.peer == sender and pin.epoch == e.epoch and not pin.token:
            pin.taken = pin.placed = True
            self._met(now, pin)
            self._moved(e.key, pin, True)

    def _dropped(self, now: float, sender: int, e: Entry) -> None:
        if self.withdrawn.get((e.key, e.epoch), (0, 0.0))[0] == sender:
            del self.withdrawn[e.key, e.epoch]

    # --- as a target, or an owner to its home ---

    def _offered(self, now: float, sender: int, e: Entry) -> None:
        pin, inside = self.pins.get(e.key), self.standing.inside
        if pin is not None and pin.epoch == e.epoch and pin.state is Pinned.ACCEPTED and pin.peer == sender:
            if not pin.token:
                self._batch(sender, Step.ACCEPT, e)
            return
        known = max(self.standing.past, pin.epoch if pin is not None else 0)
        if e.epoch <= known:
            self._batch(sender, Step.TURN_DOWN, Entry(e.key, known))
            return
        owns = pin is not None and pin.owner == self.me and pin.state is not Pinned.ACCEPTED
        owns = owns and pin is not None and pin.state is not Pinned.RELEASED
        if owns or self.me not in inside or sender not in inside or len(self.pins) >= 2 * self.settings.most:
            self._batch(sender, Step.TURN_DOWN, Entry(e.key, e.epoch - 1))
            return
        self.pins[e.key] = pin = Pin(e.epoch, self.me, Pinned.ACCEPTED, sender)
        pin.placed = self.home(e.key) == self.me
        self._keep(e.key, pin)

    def _released(self, now: float, sender: int, e: Entry) -> None:
        pin = self.pins.get(e.key)
        if pin is None:
            if e.epoch <= self.standing.past:
                self._batch(sender, Step.TAKEN, e)
        elif pin.state is Pinned.ACCEPTED and pin.peer == sender and pin.epoch == e.epoch:
            self._held(now, e.key, pin, bool(e.flags & DOUBT))
        elif pin.epoch > e.epoch or (pin.epoch == e.epoch and pin.placed and not pin.token):
            self._batch(sender, Step.TAKEN, e)

    def _held(self, now: float, key: bytes, pin: Pin, doubt: bool) -> None:
        pin.state, pin.doubt = Pinned.HELD, now + self.settings.doubt if doubt else -math.inf
        pin.placed = self.home(key) == self.me
        pin.took = True
        self._keep(key, pin)

    def _withdraw(self, now: float, sender: int, e: Entry) -> None:
        pin = self.pins.get(e.key)
        if pin is None or pin.epoch != e.epoch or pin.state is not Pinned.ACCEPTED:
            if pin is None or not pin.token:
                self._batch(sender, Step.DROPPED, Entry(e.key, e.epoch))
            return
        pin.state, pin.owner, pin.taken, pin.placed = Pinned.RELEASED, pin.peer, True, True
        self._keep(e.key, pin)
        pin.answer = (sender, e)
