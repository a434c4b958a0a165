"""Handing a client's request on to the dispatcher that owns its key, and the one answer back. Pure.

One `HandOn` is at each dispatcher. As origin it offers a request to one owner (handoffer.py), as owner it
takes it once and in time (handtaking.py). Words (handwords.py) may be lost, come twice, in any order, late,
or from a life that has ended; bodies go in parts (parcels.py). The rim carries out the actions and decides
nothing: `Take` goes to the gateway, whose end comes back by `answered`; `Ended` is for the client.
"""

from __future__ import annotations

import math
from collections import Counter

from cottonhold.fleet.consensus.actions import SendMessage
from cottonhold.fleet.message_format import MessageError
from cottonhold.fleet.request_forwarding.interface import Action, Ended, Gone, HandSettings, Take
from cottonhold.fleet.request_forwarding.messages import (
    U32,
    Ack,
    Answer,
    End,
    Got,
    Lives,
    Part,
    Probe,
    Withdraw,
    read,
)
from cottonhold.fleet.request_forwarding.origin import Offering
from cottonhold.fleet.request_forwarding.owner import Taking

__all__ = ["Action", "End", "Ended", "Gone", "HandOn", "HandSettings", "SendMessage", "Take"]


class HandOn:
    """me: this member's number. life: another one for each start of its process, its lower 32 bits count and
    are not 0. seed: of the spread of repeats. Times in ms on any clock that never goes back."""

    def __init__(self, me: int, life: int, settings: HandSettings, seed: int) -> None:
        if not life & U32:
            raise ValueError("a life whose lower 32 bits are 0")
        self.me, self.life, self.settings = me, life & U32, settings
        self.counts: Counter[str] = Counter()
        self.out: list[Action] = []
        self.offering = Offering(me, self.life, settings, seed, self.counts, self.out)
        self.taking = Taking(self.life, settings, self.counts, self.out)

    # --- origin ---

    def hand(
        self, now: float, ref: str, owner: int, body: bytes, until: float, line: bytes = b""
    ) -> list[Action]:
        """A client's request (`ref`) belongs to `owner`; an `Ended` follows before `until`. Those of one line
        are taken in the order in which they are handed. Raises ValueError for a ref in use or for this
        member itself as owner."""
        self.offering.hand(now, ref, owner, body, until, line)
        return self._flush()

    def gone(self, now: float, ref: str) -> list[Action]:
        """The client of a request left: there is no `Ended` for it; its owner is told."""
        self.offering.gone(now, ref)
        return self._flush()

    # --- owner ---

    def answered(
        self, now: float, origin: int, number: int, end: End, ms: float = 0.0, data: bytes = b""
    ) -> list[Action]:
        """How a request of a `Take` ended here. REFUSED, MOVED and NOBODY promise that nothing ran. Data of
        more than LARGEST bytes, or of more than `answering` for one origin, can't be brought: FAILED."""
        self.taking.answered(now, origin, number, end, ms, data)
        return self._flush()

    # --- both ---

    def on_message(self, now: float, sender: int, data: bytes) -> list[Action]:
        """A word (first byte 79) of a member; one that makes no sense is counted and changes nothing."""
        self.offering.expire(now)
        try:
            self._hear(now, sender, data)
        except MessageError:
            self.counts["malformed"] += 1
        self.taking.heard(now, sender)
        return self._flush()

    def step(self, now: float) -> list[Action]:
        """Time has passed; call at `next_at` at the latest."""
        self.offering.step(now)
        self.taking.step(now)
        return self._flush()

    def next_at(self) -> float:
        """When `step` is due; infinite while nothing is open."""
        return min(self.offering.next_at(), self.taking.next_at(), math.inf)

    def status(self) -> dict[str, int]:
        """What is open now, and what went by."""
        callers = self.taking.callers.values()
        guests = [g for c in callers for g in c.guests.values()]
        return {
            "open": self.offering.open,
            "here": sum(len(g.records) for g in guests),
            "remembered": sum(len(g.over) for g in guests),
            "gathering_bytes": sum(c.gathering for c in callers),
            "answering_bytes": sum(c.answering for c in callers),
            **self.counts,
        }

    # --- inside ---

    def _hear(self, now: float, sender: int, data: bytes) -> None:
        match read(data):
            case Probe(life):
                self.taking.probe(now, sender, life)
            case Part() as w:
                self.taking.part(now, sender, w)
            case Withdraw() as w:
                self.taking.withdraw(now, sender, w)
            case Got() as w:
                self.taking.got(sender, w)
            case Lives() as w:
                self.offering.lives(now, sender, w)
            case Ack() as w:
                self.offering.ack(now, sender, w)
            case Answer() as w:
                self.offering.answer(now, sender, w)

    def _flush(self) -> list[Action]:
        found = self.out[:]
        self.out.clear()
        return found
