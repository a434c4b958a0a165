"""Leases for duties that must not be doubled: held only with a majority's word, ended before that word runs
out. Pure.

Whoever rendezvous hashing names asks every voter for the lease of one term. A voter grants it unless
another's grant still runs there. With a majority of all *configured* voters (not of those that happen to be
seen) the holder works; two majorities share a voter, so two holders would need that voter's word at the same
time.

Time: the holder counts its lease from the moment at which it *asked*, less a margin for clocks that run at
different rates; a voter counts from the moment at which it was asked, which is later. So the holder's lease
ends first on anyone's clock. Only differences of each one's own monotonic clock count: clocks may differ and
be set.

A voter that returns from nothing has forgotten what it granted. It grants nothing for one whole lease after
its start. A term is never used twice by one life, and late answers to an old term are void: that fences late
work.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass, field


@dataclass(slots=True, frozen=True)
class LeaseSettings:
    """Times in ms. lease: how long one grant lasts; takeover can't be faster. renew: part of it after which
    the holder asks again. drift: margin for clocks' rates. retry: after so long without a majority it asks
    again."""

    lease: float = 1200.0
    renew: float = 0.3
    drift: float = 0.1
    retry: float = 150.0


@dataclass(slots=True, frozen=True)
class Ask:
    """Asks a voter for a term of a duty, or tells it that the holder gives it back (`release`)."""

    duty: int
    term: int
    release: bool = False


@dataclass(slots=True, frozen=True)
class Word:
    """A voter's answer. `wait`: how long its word to another still runs, so that nobody asks in vain."""

    duty: int
    term: int
    granted: bool
    wait: float = 0.0


@dataclass(slots=True, frozen=True)
class Hold:
    """The duty is this instance's until `until` on its own clock; each renewal tells of it again."""

    duty: int
    term: int
    until: float


@dataclass(slots=True, frozen=True)
class Release:
    """The duty isn't this instance's any more: work on it stops now."""

    duty: int
    term: int


@dataclass(slots=True, frozen=True)
class To:
    """Something for one voter, or for whoever asked."""

    member: int
    what: Ask | Word


Action = To | Hold | Release


@dataclass(slots=True)
class Grant:
    """A voter's word: to whom, for which term, until when on its own clock."""

    holder: int
    term: int
    until: float


@dataclass(slots=True)
class Bid:
    """This instance's side of one duty that it wants."""

    term: int
    asked_at: float
    granted: set[int] = field(default_factory=set)
    held_until: float = -math.inf
    next_ask: float = -math.inf


class Leases:
    """One instance's side of all leases: as a voter, and as one that wants duties."""

    def __init__(
        self, me: int, voters: Iterable[int], settings: LeaseSettings, now: float, first_term: int
    ) -> None:
        # Danger: a word to the last life, come late, must not fit a term of this one: `first_term` is drawn
        # anew.
        self.me, self.voters, self.settings = me, tuple(sorted(set(voters))), settings
        self.majority = len(self.voters) // 2 + 1
        self.votes_from = now + settings.lease * (1 + settings.drift)
        self.grants: dict[int, Grant] = {}
        self.bids: dict[int, Bid] = {}
        self.terms = first_term
        self.actions: list[Action] = []

    # --- what happens ---

    def want(self, now: float, duties: Iterable[int]) -> list[Action]:
        """Exactly these duties are wanted from now on: others are given back, new ones asked for."""
        self.actions, wanted = [], set(duties)
        for duty in [duty for duty in self.bids if duty not in wanted]:
            bid = self.bids.pop(duty)
            if bid.held_until > now:
                self.actions.append(Release(duty, bid.term))
            # Stopped first, told after: the next holder may begin as soon as this is heard.
            self._tell(Ask(duty, bid.term, release=True), now)
        for duty in sorted(wanted - self.bids.keys()):
            self.bids[duty] = Bid(0, now)
        self._run(now)
        return self.actions

    def receive(self, now: float, sender: int, what: Ask | Word) -> list[Action]:
        """A voter was asked, or has answered."""
        self.actions = []
        if isinstance(what, Ask):
            self._vote(now, sender, what)
        else:
            self._answered(now, sender, what)
        return self.actions

    def step(self, now: float) -> list[Action]:
        """Time has passed; call at `next_at` at the latest."""
        self.actions = []
        self._run(now)
        return self.actions

    def next_at(self) -> float:
        """When `step` is due."""
        times = [b.next_ask for b in self.bids.values()]
        times += [b.held_until for b in self.bids.values() if b.held_until > -math.inf]
        return min(times, default=math.inf)

    def held(self, now: float) -> list[int]:
        """The duties that are this instance's at this moment."""
        return sorted(duty for duty, bid in self.bids.items() if bid.held_until > now)

    # --- as one that wants duties ---

    def _run(self, now: float) -> None:
        for duty, bid in self.bids.items():
            if -math.inf < bid.held_until <= now:
                bid.held_until = -math.inf
                self.actions.append(Release(duty, bid.term))
            if now >= bid.next_ask:
                self.terms += 1
                bid.term, bid.asked_at, bid.granted = self.terms, now, set()
                bid.next_ask = now + self.settings.retry
                self._tell(Ask(duty, bid.term), now)

    def _tell(self, ask: Ask, now: float) -> None:
        for voter in self.voters:
            if voter == self.me:
                self._vote(now, self.me, ask)
            else:
                self.actions.append(To(voter, ask))

    def _answered(self, now: float, sender: int, word: Word) -> None:
        bid = self.bids.get(word.duty)
        # Danger: a late word for an earlier term would count time that has run out at the voter.
        if bid is None or bid.term != word.term or sender not in self.voters:
            return
        if not word.granted:
            if bid.held_until <= now and word.wait > 0:
                bid.next_ask = max(bid.next_ask, now + min(word.wait, self.settings.retry))
            return
        bid.granted.add(sender)
        until = bid.asked_at + self.settings.lease * (1 - self.settings.drift)
        if len(bid.granted) >= self.majority and until > max(now, bid.held_until):
            bid.held_until = until
            bid.next_ask = max(now, bid.asked_at + self.settings.lease * self.settings.renew)
            self.actions.append(Hold(word.duty, bid.term, until))

    # --- as a voter ---

    def _vote(self, now: float, sender: int, ask: Ask) -> None:
        grant = self.grants.get(ask.duty)
        if ask.release:
            if grant is not None and grant.holder == sender and grant.term <= ask.term:
                del self.grants[ask.duty]
            return
        if now < self.votes_from:
            self._say(now, sender, Word(ask.duty, ask.term, False, self.votes_from - now))
            return
        if grant is not None and grant.until > now and grant.holder != sender:
            self._say(now, sender, Word(ask.duty, ask.term, False, grant.until - now))
            return
        self.grants[ask.duty] = Grant(sender, ask.term, now + self.settings.lease)
        self._say(now, sender, Word(ask.duty, ask.term, True))

    def _say(self, now: float, asker: int, word: Word) -> None:
        if asker == self.me:
            self._answered(now, self.me, word)
        else:
            self.actions.append(To(asker, word))
