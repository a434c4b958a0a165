"""One instance's part in the whole: membership and duties as one step function. Pure.

What the view of members says becomes the duties' members; leases and shared results travel as datagrams of
the same codec.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass

from cottonhold.membership.codec import Kind, Message
from cottonhold.membership.duties import Action as DutyAction
from cottonhold.membership.duties import Duties, Run, Share, Stop, lease_of
from cottonhold.membership.leases import Ask, To, Word
from cottonhold.membership.swim import Changed, Datagram, Heard, Send, Swim


@dataclass(slots=True, frozen=True)
class Done:
    """Another instance has done a duty's subject; `detail` is the duty's own 32 bits."""

    duty: str
    subject: str
    member: int
    detail: int


@dataclass(slots=True, frozen=True)
class Told:
    """Bytes of another instance's fleet/."""

    member: int
    payload: bytes


Action = Send | Changed | Run | Stop | Done | Told
SETTLE_PERIODS = 3.0  # after the start: two tries to meet a seed, and the answers


class Instance:
    """Feed it datagrams and the clock; it says what to send and which duties to run."""

    def __init__(self, swim: Swim, duties: Duties) -> None:
        self.swim, self.duties = swim, duties
        self.actions: list[Action] = []
        self.shown: list[int] = []  # the members that the duties were last told of
        self.settled_at = -math.inf if not swim.seeds else math.inf

    def step(self, now: float, datagrams: Iterable[Datagram] = ()) -> list[Action]:
        """Take in what came by now; call again at `next_at` at the latest."""
        self.actions = []
        for action in self.swim.step(now, datagrams):
            if isinstance(action, Heard):
                self._hear(now, action.message)
            else:
                self.actions.append(action)
        if self.settled_at == math.inf:
            # Danger: one that has just started has met nobody yet, takes all for its own and greets every
            # engine.
            self.settled_at = now + SETTLE_PERIODS * self.swim.settings.period
        live = self.swim.live()
        if live != self.shown and now >= self.settled_at:
            self.shown = live
            self._take(self.duties.members(now, dict.fromkeys(live, 1.0)))
        self._take(self.duties.step(now))
        return self.actions

    def subjects(self, now: float, duty: str, subjects: Iterable[str]) -> list[Action]:
        """Exactly these subjects belong to a duty now."""
        self.actions = []
        self._take(self.duties.subjects(now, duty, subjects))
        return self.actions

    def done(self, now: float, run: Run, detail: int | None) -> list[Action]:
        """A run has ended. Its result is told to the others unless `detail` is None (it failed)."""
        self.actions = []
        told = self.duties.done(now, run)
        self._take([a for a in told if not isinstance(a, Share)])
        if detail is not None and any(isinstance(a, Share) for a in told):
            number = lease_of((run.duty, run.subject))
            for member in self.swim.live():
                self._say(Kind.DONE, detail, number, member)
        return self.actions

    def leave(self, now: float) -> list[Action]:
        """Say good-bye."""
        return [a for a in self.swim.leave(now) if not isinstance(a, Heard)]

    def next_at(self) -> float:
        """When `step` is due."""
        settles = math.inf if self.shown else self.settled_at
        return min(self.swim.next_at(), self.duties.next_at(), settles)

    def _say(self, kind: Kind, sequence: int, subject: int, member: int) -> None:
        if member != self.swim.id and (send := self.swim.say(kind, sequence, subject, member)):
            self.actions.append(send)

    def _hear(self, now: float, message: Message) -> None:
        sender, number, term = message.sender, message.subject, message.sequence
        match message.kind:
            case Kind.FLEET:
                self.actions.append(Told(sender, message.payload))
                return
            case Kind.LEASE_ASK | Kind.LEASE_RELEASE:
                what: Ask | Word = Ask(number, term, message.kind is Kind.LEASE_RELEASE)
            case Kind.LEASE_GRANT | Kind.LEASE_DENY:
                what = Word(number, term, message.kind is Kind.LEASE_GRANT)
            case _:
                pair = self.duties.pairs.get(number)
                if pair is not None:  # else a subject that this instance doesn't know of yet, or any more
                    self._take(self.duties.heard(now, *pair, 0.0))
                    self.actions.append(Done(*pair, sender, term))
                return
        self._take(self.duties.receive(now, sender, what))

    def _take(self, actions: Iterable[DutyAction]) -> None:
        for action in actions:
            if isinstance(action, Run | Stop):
                self.actions.append(action)
            elif isinstance(action, To):
                if isinstance(action.what, Ask):
                    kind = Kind.LEASE_RELEASE if action.what.release else Kind.LEASE_ASK
                else:
                    kind = Kind.LEASE_GRANT if action.what.granted else Kind.LEASE_DENY
                self._say(kind, action.what.term, action.what.duty, action.member)
