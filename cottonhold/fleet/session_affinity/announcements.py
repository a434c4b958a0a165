"""What homes are told of pins, changes of the table, and what is due to be said. Pure."""

from __future__ import annotations

import math

from cottonhold.fleet.consensus.actions import SendMessage
from cottonhold.fleet.session_affinity import messages
from cottonhold.fleet.session_affinity.messages import DOUBT, GONE, TENTATIVE, Entry, Step
from cottonhold.fleet.session_affinity.migration import Transfer
from cottonhold.fleet.session_affinity.record_book import Action, Moved, Pin, Pinned


class Handover(Transfer):
    """All steps of pins between members."""

    def _changed(self, now: float, gone: int) -> None:
        """The table has changed; `gone`: who is out of it now, 0 where nobody is."""
        inside, before = self.standing.inside, self.homes
        if self.tables is not None:
            self.tables.append(frozenset(inside))
            if self.standing.complete < 0 or len(self.tables) > 8:
                self.tables = None
        self.homes = {}
        if self.me not in inside:
            for key in list(self.pins):
                self._forget(key)
            self.open.clear()
            self.offers.clear()
        for key in self.open:
            # Without this, the new home would start what still has loads open here.
            if key not in self.pins and self.home(key) != self.me:
                self.pins[key] = pin = Pin(self._next(0), self.me, Pinned.HELD)
                self._keep(key, pin)
        for key, pin in list(self.pins.items()):
            moved = before.get(key) != self.home(key)
            if moved or gone in (pin.peer, pin.owner):
                self._retell(now, key, pin, gone)
        for target, line in self.queue.items():
            if target not in inside or self.me not in inside:
                self.actions += [Moved(key, 0, target, False) for key in line]
                line.clear()
        self.withdrawn = {k: v for k, v in self.withdrawn.items() if v[0] in inside and self.me in inside}
        self.maybe.clear()
        self.done_due = now

    def _retell(self, now: float, key: bytes, pin: Pin, gone: int) -> None:
        """Another home must know of this pin; or its peer is gone."""
        if gone and pin.peer == gone:
            if pin.state in (Pinned.OFFERED, Pinned.FENCED):
                self._keep_here(now, key, pin)
            elif pin.state is Pinned.RELEASED and not pin.taken:
                self._moved(key, pin, True)
                pin.taken = pin.gone = True
        # Danger: it may be admitted again, with nothing. What it owned or had offered stays gone.
        if gone and pin.state is Pinned.RELEASED and pin.owner == gone:
            pin.owner = 0
            self._keep(key, pin)
        elif gone and pin.state is Pinned.ACCEPTED and pin.peer == gone:
            pin.peer = 0
            self._keep(key, pin)
        if pin.owner == self.me or pin.gone or (pin.state is Pinned.RELEASED and not pin.taken):
            pin.placed, pin.told = self.home(key) == self.me, False
            self._wake(now, key, pin)

    def _sync(self, now: float) -> None:
        """Tell others that all has been told; see whether all others have."""
        standing, others = self.standing, self._others()
        if standing.complete != standing.epoch and self.me in standing.inside:
            if all(self.heard.get(m) == standing.epoch for m in others) and standing.settled(now):
                standing.complete, self.tables = standing.epoch, [frozenset(standing.inside)]
                standing.version += 1
        waiting = [m for m in others if self.done.get(m) != standing.epoch]
        # Danger: one that told so and wakes from a crash under the older table would be a home of old.
        if not waiting or now < self.done_due or standing.durable < standing.version:
            return
        self.done_due = now + self.settings.retry
        untold = {self.home(k) for k in self.busy if not (self.pins[k].placed or self.pins[k].told)}
        for member in waiting:
            if member not in untold:
                self._say(member, messages.pack_short(messages.DONE, False, self.me, standing.epoch))

    def _done(self, sender: int, answer: bool, epoch: int) -> None:
        if answer:
            self.done[sender] = epoch
            return
        self.heard[sender] = max(epoch, self.heard.get(sender, 0))
        self._say(sender, messages.pack_short(messages.DONE, True, self.me, epoch))

    def _place(self, now: float, sender: int, e: Entry) -> None:
        """An owner tells this home of a pin."""
        if self.home(e.key) != self.me:
            return
        pin = self.pins.get(e.key)
        if e.flags & TENTATIVE:
            if self._complete():
                self._adopt(now, e.key, e.epoch, sender, late=True)
            else:
                self.maybe[e.key] = max(self.maybe.get(e.key, (0, 0)), (e.epoch, sender))
                self._batch(sender, Step.PLACED, e)
            return
        if pin is None or (pin.epoch < e.epoch and pin.state in (Pinned.ACCEPTED, Pinned.RELEASED)):
            owner = 0 if e.flags & GONE else sender
            self.pins[e.key] = pin = Pin(e.epoch, owner, Pinned.RELEASED, taken=True, placed=True)
            self._keep(e.key, pin)
            pin.answer = (sender, e)
        elif pin.token:
            pin.answer = (sender, e)
        else:
            self._batch(sender, Step.PLACED, e)

    def _adopt(self, now: float, key: bytes, epoch: int, member: int, late: bool = False) -> None:
        """A target had accepted a pin whose mover is out: it becomes the owner, unless another is."""
        pin = self.pins.get(key)
        if pin is not None and (pin.owner, pin.epoch) == (member, epoch):
            if not pin.token:
                self._batch(member, Step.ADOPT, Entry(key, epoch))
        elif pin is not None and pin.epoch > epoch:
            self._batch(member, Step.WITHDRAW, Entry(key, epoch))
        elif pin is not None and pin.owner in self.standing.inside:
            return  # the mover is in, as far as is known here
        elif late:
            # Danger: this home may have started the key already, before this was told (again).
            self._claim(now, key, epoch)
            self._batch(member, Step.WITHDRAW, Entry(key, epoch))
        else:
            self.pins[key] = pin = Pin(epoch, member, Pinned.RELEASED, taken=True, placed=True)
            self._keep(key, pin)
            pin.answer = (member, Entry(key, epoch, TENTATIVE))

    def _candidates(self, now: float) -> None:
        """This home is complete: what targets of a fenced mover told is decided."""
        for key, (epoch, member) in self.maybe.items():
            self._adopt(now, key, epoch, member)
        self.maybe.clear()

    def _claim(self, now: float, key: bytes, epoch: int) -> None:
        """This home takes over a key whose owner is out."""
        doubt = now + self.settings.doubt
        self.pins[key] = pin = Pin(self._next(epoch), self.me, Pinned.HELD, doubt=doubt, placed=True)
        self._keep(key, pin)

    # --- an owner and its home ---

    def _adopted(self, now: float, sender: int, e: Entry) -> None:
        pin = self.pins.get(e.key)
        if pin is None or pin.state is not Pinned.ACCEPTED or pin.epoch != e.epoch:
            return
        if sender == self.home(e.key) and pin.peer not in self.standing.inside:
            self._held(now, e.key, pin, True)
            pin.placed = True

    def _placed(self, now: float, sender: int, e: Entry) -> None:
        pin = self.pins.get(e.key)
        if pin is None or sender != self.home(e.key):
            return
        if e.flags & TENTATIVE:
            pin.told = pin.told or (pin.state is Pinned.ACCEPTED and pin.epoch == e.epoch)
        elif e.epoch == self._placing(pin).epoch:
            pin.placed = True
            if pin.state is Pinned.HELD and pin.peer:
                self._batch(pin.peer, Step.TAKEN, e)

    def _placing(self, pin: Pin, key: bytes = b"") -> Entry:
        """What the home is told of a pin."""
        if pin.state is Pinned.RELEASED:
            # Not taken yet: until the target says so itself, the home sends others here.
            return Entry(key, pin.epoch, GONE) if pin.gone else Entry(key, pin.epoch - 1)
        return Entry(key, pin.epoch, TENTATIVE if pin.state is Pinned.ACCEPTED else 0)

    # --- what is due ---

    def _entry(self, now: float, sender: int, step: Step, entry: Entry) -> None:
        self.high = max(self.high, entry.epoch)
        handlers = {
            Step.OFFER: self._offered,
            Step.ACCEPT: self._accepted,
            Step.TURN_DOWN: self._turned_down,
            Step.RELEASE: self._released,
            Step.TAKEN: self._taken,
            Step.WITHDRAW: self._withdraw,
            Step.DROPPED: self._dropped,
            Step.PLACE: self._place,
            Step.PLACED: self._placed,
            Step.ADOPT: self._adopted,
        }
        handlers[step](now, sender, entry)

    def _due(self, now: float, key: bytes, pin: Pin) -> None:
        """Send what this pin still lacks an answer to; it rests where nothing lacks."""
        if pin.token:
            pin.due = math.inf  # `kept` wakes it
            return
        again, due = now + self.settings.retry * (0.9 + 0.2 * self.draw.random()), math.inf
        orphan = pin.state is Pinned.ACCEPTED and pin.peer not in self.standing.inside
        if pin.state is Pinned.OFFERED and not pin.accepted:
            self._batch(pin.peer, Step.OFFER, Entry(key, pin.offered))
            due = again
        elif pin.state is Pinned.FENCED:
            self._ready(now, key, pin)
        elif pin.state is Pinned.OFFERED:
            self._ready(now, key, pin)
            due = max(pin.since + self.settings.hold, now + 1)
        elif pin.state is Pinned.RELEASED and not pin.taken:
            flags = DOUBT if pin.doubt > now else 0
            self._batch(pin.peer, Step.RELEASE, Entry(key, pin.epoch, flags))
            due = again
        elif orphan and self.home(key) == self.me and self._complete():
            self._held(now, key, pin, True)
        if not pin.placed and self.home(key) not in (0, self.me) and (orphan or pin.state != Pinned.ACCEPTED):
            self._batch(self.home(key), Step.PLACE, self._placing(pin, key))
            due = min(due, again)
        elif orphan:
            due = min(due, again)
        pin.due = due
        if due == math.inf and not pin.token:
            self.busy.discard(key)

    def _run(self, now: float) -> list[Action]:
        """Do what is due, and give back what is for the rim."""
        self.standing.step(now, self.settings.retry)
        self._sync(now)
        if self._complete() and self.maybe:
            self._candidates(now)
        self._move(now)
        for key in [key for key in self.busy if self.pins[key].due <= now]:
            self._due(now, key, self.pins[key])
        for (key, epoch), (target, due) in self.withdrawn.items():
            if now >= due and not self.pins[key].token:
                self.withdrawn[key, epoch] = target, now + self.settings.retry
                self._batch(target, Step.WITHDRAW, Entry(key, epoch))
        if len(self.pins) >= self.purge_at:
            self._purge()
        if self.standing.version > self.standing.asked:
            self.token += 1
            self.actions.append(self.standing.keep(self.token))
        for (member, step), entries in self.says.items():
            for i in range(0, len(entries), messages.A_BATCH):
                self._say(member, messages.pack_batch(step, entries[i : i + messages.A_BATCH]))
        self.says = {}
        actions = [*self.actions, *self.standing.actions]
        self.actions, self.standing.actions = [], []
        self.counts["said"] += sum(isinstance(action, SendMessage) for action in actions)
        return actions
