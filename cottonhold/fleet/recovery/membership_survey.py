"""Who was away: told by all from words of all, alike, after a power loss or a restart. Pure.

Feed it the members that are there (`members`) and their words (`hear`); call `step` at `next_at` at the
latest and carry out what it returns:

    Say(member, data)   a datagram
    Changed(view)       what was away, as far as it is known: see Verdict and View
    Boot(least)         the folder is empty or a copy of an earlier day: store a boot of at least so much,
    then call
                        `booted(now, boot)`; from then on it answers as one with such a memory
    Twice(later)        a second process stands for this number; the later one must not serve loads
    Knew(number, ...)   a hint for the folder: given back in `known` at the next start
    Whole(base)         store the base; once stored, call `based(now, base)`. A folder starts as EMPTY
    without a
                        boot, as OLD without a base, else as KEPT

`view` is what is found at present; `loads(now)` whether this instance may send loads; `confirmed(now)`
whether its own memory is known to be whole; `number_of(member)` whose number a sender stands for (None:
nobody's); `member_of(number)`; `gone(now)` which others have surely sent no load for so long.

Each configured dispatcher has a number, and the first member that speaks for a number is bound to it: one
name, one vote, whatever it says of others. A member that speaks for a second number isn't heard.

Lost is who started less than `young` ago and had not ended its last life by order. Up times are told, so only
each one's own monotonic clock counts. More than half of the configured ones lost: the fleet was, from the
start of the first of them, for `young`. So those that come back later join what goes on, with its start.

Gone (proof): an instance sends loads only while half of the configured ones, itself counted, have told it
that they heard a word of its of less than `lease` ago, by its own clock. Another takes it for gone by the
words of more than half of them that did not hear it; each says so after it was heard by whoever counts,
which dates it. Half and more than half share one. What that one heard last was said before it was heard, so
nothing was sent later than `lease` after that, up to the oldest of these words. What each heard is bounded
from above: its word came at most so long after it was said as it came after the word that it answers.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping

from cottonhold.fleet.recovery.messages import BASE_STEP, LONG, PAIRS_MOST, Here, MemoryState, Pair, pack
from cottonhold.fleet.recovery.peer_observations import Peer, Silent
from cottonhold.fleet.recovery.survey_results import (
    Action,
    Boot,
    CensusSettings,
    Changed,
    Gone,
    Knew,
    Say,
    Twice,
    Verdict,
    View,
    Whole,
)

__all__ = ["Action", "Boot", "Census", "CensusSettings", "Changed", "Gone", "Knew", "Say", "Twice"]
__all__ += ["Verdict", "View", "Whole"]

SOON = 20.0  # ms after a word until what it changed is weighed, with those that came beside it
LOUD_LEAST = 3  # pairs of a word left for those that are heard


def _turned(numbers: list[int], by: int) -> list[int]:
    """A list from another place on, so that all get their turn."""
    at = by % len(numbers) if numbers else 0
    return numbers[at:] + numbers[:at]


class Census:
    """One instance's side. me: its number, of 0 to `dispatchers` - 1; zones: of each number; boot: of this
    start, at least 1; life: drawn anew at each start; base, memory and clean: what the folder showed;
    known, bases: boots and bases
    of others as the folder had them."""

    def __init__(
        self,
        me: int,
        dispatchers: int,
        zones: Mapping[int, str],
        boot: int,
        life: int,
        memory: MemoryState,
        clean: bool,
        known: Mapping[int, int],
        now: float,
        settings: CensusSettings | None = None,
        base: int = 0,
        bases: Mapping[int, int] | None = None,
    ) -> None:
        self.settings = settings or CensusSettings()
        self.me, self.count, self.zones = me, dispatchers, dict(zones)
        self.boot, self.life, self.memory, self.clean = boot, life & LONG, memory, clean
        self.started = now
        others, bases = [n for n in range(dispatchers) if n != me], bases or {}
        self.peers = {n: Peer(n, boot=known.get(n, 0), base=bases.get(n, 0)) for n in others}
        self.base, self.stored = base, base  # as told, and as asked to be stored
        self.borne = self.doubted = False
        self.marked_at = now
        self.bound: dict[int, int] = {}  # member -> number
        self.live: list[int] = []
        self.turn = 0  # whose word goes out next
        self.rotate = 0
        self.view = View()
        self.covered = -math.inf  # starts up to here belong to a loss of the fleet that is over
        self.enough_at = now  # when half of the configured ones were last heard
        self.twice: Twice | None = None
        self.actions: list[Action] = []
        self.next_step = self.next_say = now
        self.hurried = -math.inf
        self.counts = {"here_sent": 0, "unbound": 0, "old": 0}

    # --- what happens ---

    def members(self, now: float, live: Iterable[int]) -> None:
        """Who is there beside this instance."""
        there = sorted(set(live))
        if set(there) - set(self.live):
            self.next_step = self.next_say = now
        self.live = there

    def booted(self, now: float, boot: int) -> None:
        """A raised boot is stored."""
        self.boot = max(self.boot, boot)
        self.next_step = self.next_say = now

    def based(self, now: float, base: int) -> None:
        """A base is stored."""
        self.base = base

    def hurry(self, now: float) -> None:
        """Something waits for words, so they go out faster for a second."""
        self.hurried = now + 1000.0
        self.next_say = min(self.next_say, now + self.settings.period)
        self.next_step = min(self.next_step, self.next_say)

    def hear(self, now: float, member: int, word: Here) -> None:
        """A member's word."""
        peer = self._bind(now, member, word.number)
        if peer is None:
            self.counts["unbound"] += 1
            return
        life, known = peer.now, (peer.boot, peer.base)
        if not peer.take(now, word):
            self.counts["old"] += 1
            return
        if (peer.boot, peer.base) != known:
            self.actions.append(Knew(word.number, peer.boot, peer.base))
        for pair in word.pairs:
            if pair.number == self.me:
                peer.tells_of_us(pair, self.life, self.started)
            elif pair.number in self.peers:
                peer.tells_of(now, pair, self.settings.fresh)
        if peer.now is not life:
            # It has just started: what it most needs is what others know of it.
            self.actions.append(Say(member, pack(self.word(now, word.number))))
        self.next_step = min(self.next_step, now + SOON)

    def _bind(self, now: float, member: int, number: int) -> Peer | None:
        """The one that a member speaks for; None where it doesn't."""
        peer = self.peers.get(number)
        # Danger: one that speaks for every number would be more than half of the fleet by itself.
        if peer is None or self.bound.get(member, number) != number:
            return None
        if peer.member != member:
            if peer.member and now - peer.heard_at < self.settings.rebind:
                peer.rivals += now - peer.heard_at < self.settings.fresh
                return None
            self.bound.pop(peer.member, None)
            peer.member = member
            self.bound[member] = number
        return peer

    # --- what is known ---

    def number_of(self, member: int) -> int | None:
        """Whose number a member speaks for."""
        return self.bound.get(member)

    def member_of(self, number: int) -> int | None:
        """The member that speaks for a number."""
        peer = self.peers.get(number)
        return peer.member or None if peer is not None else None

    def life_of(self, number: int) -> int:
        """The life that speaks for a number now, drawn anew at each start; 0 where none was heard."""
        peer = self.peers.get(number)
        return peer.now.life if peer is not None and peer.now is not None else 0

    def others(self) -> list[int]:
        """All other configured numbers."""
        return list(self.peers)

    def loads(self, now: float) -> bool:
        """This instance may send loads: it is no second process of its number, and is heard by half."""
        if self.twice is not None and self.twice.later:
            return False
        # Danger: a folder copied before this life has the same base until that is borne out and told.
        if self.memory is MemoryState.KEPT and not (self.borne or self.doubted):
            return False
        since = now - self.settings.lease
        return 2 * (1 + sum(peer.echo > since for peer in self.peers.values())) >= self.count

    def confirmed(self) -> bool:
        """This instance's memory is whole: others whose memory is whole know of no later base."""
        return self.memory is MemoryState.KEPT and self.borne and not self.doubted

    def _bear_out(self, now: float) -> None:
        """What others say of this life's memory."""
        there = [p for p in self.peers.values() if p.of_us is not None and p.of_us.life == self.life]
        told = [p.of_us for p in there if p.memory is MemoryState.KEPT and p.of_us is not None]
        # Danger: those that were cut off when this one was last whole know of nothing later; one that does is
        # enough to doubt. It costs at most a hold, in which retries wait or come later.
        self.doubted |= any(pair.stale or pair.boot > self.boot for pair in told)
        # Danger: the first to speak may be the one that knows least; so all are heard, or waited for.
        heard = len(there) == len(self.peers) or now - self.started >= self.settings.wait
        enough = max(1, (self.count + 1) // 2 - 1)
        self.borne |= self.count == 1 or heard and len(told) >= enough

    def gone(self, now: float) -> dict[int, Gone]:
        """Others of which more than half say that they are silent."""
        return {
            n: found
            for n, peer in self.peers.items()
            if now - peer.heard_at > self.settings.fresh and (found := self._gone(now, peer)) is not None
        }

    def apart(self, gone: Mapping[int, Gone]) -> bool:
        """Whether one that isn't among the gone can't be heard."""
        return not self.view.missing <= gone.keys()

    def _gone(self, now: float, peer: Peer) -> Gone | None:
        mine = Silent(max(peer.heard_at, self.started), now)
        told = [p.silent[peer.number] for p in self.peers.values() if peer.number in p.silent] + [mine]
        enough = self.count // 2 + 1
        if len(told) < enough or self.settings.lease == math.inf:
            return None
        told = sorted(told, key=lambda s: -s.told)[:enough]
        last = max(s.heard for s in told) + self.settings.lease * (1 + self.settings.drift)
        return Gone(last, min(s.told for s in told))

    # --- step ---

    def next_at(self) -> float:
        """When `step` is due."""
        return self.next_step

    def step(self, now: float) -> list[Action]:
        """Weigh what was heard, and say what this one knows."""
        if now < self.next_step:
            return []
        view = self._weigh(now)
        if view != self.view:
            self.view = view
            self.actions.append(Changed(view))
        self._own_life()
        self._whole_again(now)
        if now >= self.next_say:
            self._say(now)
            busy = not view.settled or bool(view.lost) or now < self.hurried
            rounds = max(1, -(-len(self.live) // self.settings.most))
            self.next_say = now + (self.settings.period if busy else self.settings.rest) / rounds
        self.next_step = self.next_say
        actions, self.actions = self.actions, []
        return actions

    def _weigh(self, now: float) -> View:
        starts = {n: p.now.start for n, p in self.peers.items() if p.now is not None and not p.clean}
        if not self.clean:
            starts[self.me] = self.started
        since = max(now - self.settings.young, self.covered)
        if self.view.verdict is Verdict.FLEET:
            if now > self.view.since + self.settings.young:
                self.covered = since = max(self.covered, now)
            else:
                since = min(since, self.view.since - 1)
        lost = frozenset(n for n, start in starts.items() if start > since)
        late = now - self.settings.fresh
        heard = {n for n, peer in self.peers.items() if peer.heard_at >= late} | {self.me}
        missing = frozenset(self.peers.keys() - heard)
        if 2 * len(heard) >= self.count:
            self.enough_at = now
        waited = now - self.started >= self.settings.wait
        first = min((starts[n] for n in lost), default=-math.inf)
        zones = self._whole(lost)
        if self._most(lost):
            verdict = Verdict.FLEET
            if self.view.verdict is Verdict.FLEET:
                first = min(first, self.view.since)
        elif now - self.enough_at >= self.settings.wait and any(p.boot for p in self.peers.values()):
            verdict = Verdict.CUT_OFF
        elif lost == {self.me}:
            verdict = Verdict.ALONE
        elif zones:
            verdict = Verdict.ZONE
        else:
            verdict = Verdict.SOME if lost else Verdict.NOTHING
        return View(verdict, first, waited or not missing, zones, lost, frozenset(heard), missing)

    def _most(self, lost: frozenset[int]) -> bool:
        """More than half of the configured ones: not of those that happen to be heard."""
        return 2 * len(lost) > self.count

    def _whole(self, lost: frozenset[int]) -> frozenset[str]:
        """Zones all of whose dispatchers were lost."""
        found = {self.zones[n] for n in lost if n in self.zones}
        return frozenset(z for z in found if all(n in lost for n, zone in self.zones.items() if zone == z))

    def _own_life(self) -> None:
        """What others know of this number that its folder doesn't."""
        names = min(2, len(self.peers))
        told = [peer.of_us for peer in self.peers.values() if peer.of_us is not None]
        above = sorted((p.boot for p in told if self._above(p)), reverse=True)
        # Danger: one name that lies would use up the boots, and void a memory.
        if names and len(above) >= names:
            if self.memory is MemoryState.KEPT and sum(p.stale for p in told) >= names:
                self.memory = MemoryState.OLD
            self.actions.append(Boot(above[names - 1] + 1))
        flags = [p for p in told if p.twice]
        if names and len(flags) >= names and self.twice is None:
            self.twice = Twice(sum(p.life != self.life for p in flags) * 2 > len(flags))
            self.actions.append(self.twice)

    def _whole_again(self, now: float) -> None:
        """What the folder has to know of its own loads."""
        self._bear_out(now)
        over = now > self.started + self.settings.hold
        if over and self.memory is MemoryState.KEPT and not self.confirmed():
            # Danger: what it tells of itself from now on others bear out; what was asked before is unknown.
            self.memory = MemoryState.OLD
        base = self._marked(now) if over or self.confirmed() else self.stored
        if not over and self.memory is not MemoryState.KEPT:
            base = 0
        if base != self.stored:
            self.stored, self.marked_at = base, now
            self.actions.append(Whole(base))

    def _marked(self, now: float) -> int:
        """The base of a whole memory."""
        # Danger: the same for a whole life, a backup made in that life and put back after it had the base
        # that all others knew, was taken for whole, and said 'never' of all that was sent since.
        due = now - self.marked_at >= max(self.settings.mark, self.settings.mark_each * self.count)
        return max(self.stored + due, self.boot * BASE_STEP)

    def _above(self, pair: Pair) -> bool:
        if pair.life == self.life:
            return pair.boot > self.boot or pair.stale and self.memory is MemoryState.KEPT
        return False

    # --- words ---

    def word(self, now: float, to: int | None = None) -> Here:
        """This instance's word, for a number or for one that is not known yet."""
        first = [to] if to is not None else []
        late = now - self.settings.fresh
        quiet = [n for n, peer in self.peers.items() if peer.heard_at < late and n != to]
        loud = [n for n, peer in self.peers.items() if peer.heard_at >= late and n != to]
        # Those that aren't heard first: that they are silent is what others wait to hear.
        picked = first + _turned(quiet, self.rotate)[: PAIRS_MOST - LOUD_LEAST - len(first)]
        picked += _turned(loud, self.rotate)[: PAIRS_MOST - len(picked)]
        pairs = tuple(self.peers[n].pair(now, self.settings.flips) for n in picked)
        return Here(
            self.me, self.boot, self.base, self.life, now - self.started, self.memory, self.clean, pairs
        )

    def _say(self, now: float) -> None:
        """This instance's word to the next few members."""
        if not self.live:
            return
        targets = _turned(self.live, self.turn)[: self.settings.most]
        self.turn += len(targets)
        self.rotate += LOUD_LEAST
        for member in targets:
            self.actions.append(Say(member, pack(self.word(now, self.bound.get(member)))))
        self.counts["here_sent"] += len(targets)
