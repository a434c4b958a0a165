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

from cottonhold.fleet.recovery.messages import (
    BASE_PER_BOOT,
    MAX_PEER_STATES,
    MAX_UINT32,
    MemoryState,
    PeerState,
    Presence,
    encode,
)
from cottonhold.fleet.recovery.peer_observations import PeerObservation, SilenceReport
from cottonhold.fleet.recovery.survey_results import (
    Action,
    DuplicateIdentity,
    OutageVerdict,
    PeerBootLearned,
    ProvenSilence,
    RaiseBoot,
    SendMessage,
    StoreBase,
    SurveySettings,
    SurveyView,
    ViewChanged,
)

SOON = 20.0  # ms after a word until what it changed is weighed, with those that came beside it
LOUD_LEAST = 3  # pairs of a word left for those that are heard


def _turned(numbers: list[int], by: int) -> list[int]:
    """A list from another place on, so that all get their turn."""
    at = by % len(numbers) if numbers else 0
    return numbers[at:] + numbers[:at]


class MembershipSurvey:
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
        settings: SurveySettings | None = None,
        base: int = 0,
        bases: Mapping[int, int] | None = None,
    ) -> None:
        self.settings = settings or SurveySettings()
        self.number, self.dispatchers, self.zones = me, dispatchers, dict(zones)
        self.boot, self.incarnation, self.memory, self.was_clean_shutdown = (
            boot,
            life & MAX_UINT32,
            memory,
            clean,
        )
        self.started = now
        others, bases = [n for n in range(dispatchers) if n != me], bases or {}
        self.peers = {n: PeerObservation(n, boot=known.get(n, 0), base=bases.get(n, 0)) for n in others}
        self.base, self.requested_base = base, base  # as told, and as asked to be stored
        self.is_memory_confirmed = self.is_memory_doubted = False
        self.mark_requested_at = now
        self.number_by_member: dict[int, int] = {}  # member -> number
        self.live: list[int] = []
        self.next_target = 0  # whose word goes out next
        self.rotate = 0
        self.view = SurveyView()
        self.covered_until = -math.inf  # starts up to here belong to a loss of the fleet that is over
        self.quorum_heard_at = now  # when half of the configured ones were last heard
        self.duplicate: DuplicateIdentity | None = None
        self.actions: list[Action] = []
        self.next_step = self.next_report = now
        self.expedited_until = -math.inf
        self.counters = {"here_sent": 0, "unbound": 0, "old": 0}

    # --- what happens ---

    def set_members(self, now: float, live: Iterable[int]) -> None:
        """Who is there beside this instance."""
        there = sorted(set(live))
        if set(there) - set(self.live):
            self.next_step = self.next_report = now
        self.live = there

    def on_boot_stored(self, now: float, boot: int) -> None:
        """A raised boot is stored."""
        self.boot = max(self.boot, boot)
        self.next_step = self.next_report = now

    def on_base_stored(self, now: float, base: int) -> None:
        """A base is stored."""
        self.base = base

    def expedite(self, now: float) -> None:
        """Something waits for words, so they go out faster for a second."""
        self.expedited_until = now + 1000.0
        self.next_report = min(self.next_report, now + self.settings.busy_interval_ms)
        self.next_step = min(self.next_step, self.next_report)

    def on_message(self, now: float, member: int, word: Presence) -> None:
        """A member's word."""
        peer = self._bind(now, member, word.number)
        if peer is None:
            self.counters["unbound"] += 1
            return
        life, known = peer.current, (peer.boot, peer.base)
        if not peer.apply(now, word):
            self.counters["old"] += 1
            return
        if (peer.boot, peer.base) != known:
            self.actions.append(PeerBootLearned(word.number, peer.boot, peer.base))
        for pair in word.peers:
            if pair.number == self.number:
                peer.on_view_of_self(pair, self.incarnation, self.started)
            elif pair.number in self.peers:
                peer.on_view_of_third(now, pair, self.settings.max_report_age_ms)
        if peer.current is not life:
            # It has just started: what it most needs is what others know of it.
            self.actions.append(SendMessage(member, encode(self.presence_for(now, word.number))))
        self.next_step = min(self.next_step, now + SOON)

    def _bind(self, now: float, member: int, number: int) -> PeerObservation | None:
        """The one that a member speaks for; None where it doesn't."""
        peer = self.peers.get(number)
        # Danger: one that speaks for every number would be more than half of the fleet by itself.
        if peer is None or self.number_by_member.get(member, number) != number:
            return None
        if peer.member != member:
            if peer.member and now - peer.received_at < self.settings.rebind_ms:
                peer.rivals += now - peer.received_at < self.settings.max_report_age_ms
                return None
            self.number_by_member.pop(peer.member, None)
            peer.member = member
            self.number_by_member[member] = number
        return peer

    # --- what is known ---

    def number_of(self, member: int) -> int | None:
        """Whose number a member speaks for."""
        return self.number_by_member.get(member)

    def member_of(self, number: int) -> int | None:
        """The member that speaks for a number."""
        peer = self.peers.get(number)
        return peer.member or None if peer is not None else None

    def incarnation_of(self, number: int) -> int:
        """The life that speaks for a number now, drawn anew at each start; 0 where none was heard."""
        peer = self.peers.get(number)
        return peer.current.id if peer is not None and peer.current is not None else 0

    def other_numbers(self) -> list[int]:
        """All other configured numbers."""
        return list(self.peers)

    def may_send_loads(self, now: float) -> bool:
        """This instance may send loads: it is no second process of its number, and is heard by half."""
        if self.duplicate is not None and self.duplicate.is_later:
            return False
        # Danger: a folder copied before this life has the same base until that is borne out and told.
        if self.memory is MemoryState.INTACT and not (self.is_memory_confirmed or self.is_memory_doubted):
            return False
        since = now - self.settings.lease_ms
        return 2 * (1 + sum(peer.echoed_at > since for peer in self.peers.values())) >= self.dispatchers

    def has_confirmed_memory(self) -> bool:
        """This instance's memory is whole: others whose memory is whole know of no later base."""
        return self.memory is MemoryState.INTACT and self.is_memory_confirmed and not self.is_memory_doubted

    def _bear_out(self, now: float) -> None:
        """What others say of this life's memory."""
        there = [
            p
            for p in self.peers.values()
            if p.view_of_self is not None and p.view_of_self.incarnation == self.incarnation
        ]
        told = [
            p.view_of_self for p in there if p.memory is MemoryState.INTACT and p.view_of_self is not None
        ]
        # Danger: those that were cut off when this one was last whole know of nothing later; one that does is
        # enough to doubt. It costs at most a hold, in which retries wait or come later.
        self.is_memory_doubted |= any(pair.is_stale or pair.boot > self.boot for pair in told)
        # Danger: the first to speak may be the one that knows least; so all are heard, or waited for.
        heard = len(there) == len(self.peers) or now - self.started >= self.settings.settle_ms
        enough = max(1, (self.dispatchers + 1) // 2 - 1)
        self.is_memory_confirmed |= self.dispatchers == 1 or heard and len(told) >= enough

    def proven_silent(self, now: float) -> dict[int, ProvenSilence]:
        """Others of which more than half say that they are silent."""
        return {
            n: found
            for n, peer in self.peers.items()
            if now - peer.received_at > self.settings.max_report_age_ms
            and (found := self._gone(now, peer)) is not None
        }

    def is_partitioned(self, gone: Mapping[int, ProvenSilence]) -> bool:
        """Whether one that isn't among the gone can't be heard."""
        return not self.view.missing <= gone.keys()

    def _gone(self, now: float, peer: PeerObservation) -> ProvenSilence | None:
        mine = SilenceReport(max(peer.received_at, self.started), now)
        told = [p.silences[peer.number] for p in self.peers.values() if peer.number in p.silences] + [mine]
        enough = self.dispatchers // 2 + 1
        if len(told) < enough or self.settings.lease_ms == math.inf:
            return None
        told = sorted(told, key=lambda s: -s.reported_after)[:enough]
        last = max(s.heard_before for s in told) + self.settings.lease_ms * (1 + self.settings.clock_drift)
        return ProvenSilence(last, min(s.reported_after for s in told))

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
            self.actions.append(ViewChanged(view))
        self._own_life()
        self._whole_again(now)
        if now >= self.next_report:
            self._say(now)
            busy = not view.is_settled or bool(view.restarted) or now < self.expedited_until
            rounds = max(1, -(-len(self.live) // self.settings.max_messages))
            self.next_report = (
                now + (self.settings.busy_interval_ms if busy else self.settings.idle_interval_ms) / rounds
            )
        self.next_step = self.next_report
        actions, self.actions = self.actions, []
        return actions

    def _weigh(self, now: float) -> SurveyView:
        starts = {
            n: p.current.started_at
            for n, p in self.peers.items()
            if p.current is not None and not p.was_clean_shutdown
        }
        if not self.was_clean_shutdown:
            starts[self.number] = self.started
        since = max(now - self.settings.recent_start_ms, self.covered_until)
        if self.view.verdict is OutageVerdict.FLEET:
            if now > self.view.first_start + self.settings.recent_start_ms:
                self.covered_until = since = max(self.covered_until, now)
            else:
                since = min(since, self.view.first_start - 1)
        lost = frozenset(n for n, start in starts.items() if start > since)
        late = now - self.settings.max_report_age_ms
        heard = {n for n, peer in self.peers.items() if peer.received_at >= late} | {self.number}
        missing = frozenset(self.peers.keys() - heard)
        if 2 * len(heard) >= self.dispatchers:
            self.quorum_heard_at = now
        waited = now - self.started >= self.settings.settle_ms
        first = min((starts[n] for n in lost), default=-math.inf)
        zones = self._whole(lost)
        if self._most(lost):
            verdict = OutageVerdict.FLEET
            if self.view.verdict is OutageVerdict.FLEET:
                first = min(first, self.view.first_start)
        elif now - self.quorum_heard_at >= self.settings.settle_ms and any(
            p.boot for p in self.peers.values()
        ):
            verdict = OutageVerdict.CUT_OFF
        elif lost == {self.number}:
            verdict = OutageVerdict.ALONE
        elif zones:
            verdict = OutageVerdict.ZONE
        else:
            verdict = OutageVerdict.SOME if lost else OutageVerdict.NOTHING
        return SurveyView(verdict, first, waited or not missing, zones, lost, frozenset(heard), missing)

    def _most(self, lost: frozenset[int]) -> bool:
        """More than half of the configured ones: not of those that happen to be heard."""
        return 2 * len(lost) > self.dispatchers

    def _whole(self, lost: frozenset[int]) -> frozenset[str]:
        """Zones all of whose dispatchers were lost."""
        found = {self.zones[n] for n in lost if n in self.zones}
        return frozenset(z for z in found if all(n in lost for n, zone in self.zones.items() if zone == z))

    def _own_life(self) -> None:
        """What others know of this number that its folder doesn't."""
        names = min(2, len(self.peers))
        told = [peer.view_of_self for peer in self.peers.values() if peer.view_of_self is not None]
        above = sorted((p.boot for p in told if self._above(p)), reverse=True)
        # Danger: one name that lies would use up the boots, and void a memory.
        if names and len(above) >= names:
            if self.memory is MemoryState.INTACT and sum(p.is_stale for p in told) >= names:
                self.memory = MemoryState.STALE
            self.actions.append(RaiseBoot(above[names - 1] + 1))
        flags = [p for p in told if p.is_duplicate]
        if names and len(flags) >= names and self.duplicate is None:
            self.duplicate = DuplicateIdentity(
                sum(p.incarnation != self.incarnation for p in flags) * 2 > len(flags)
            )
            self.actions.append(self.duplicate)

    def _whole_again(self, now: float) -> None:
        """What the folder has to know of its own loads."""
        self._bear_out(now)
        over = now > self.started + self.settings.hold_ms
        if over and self.memory is MemoryState.INTACT and not self.has_confirmed_memory():
            # Danger: what it tells of itself from now on others bear out; what was asked before is unknown.
            self.memory = MemoryState.STALE
        base = self._marked(now) if over or self.has_confirmed_memory() else self.requested_base
        if not over and self.memory is not MemoryState.INTACT:
            base = 0
        if base != self.requested_base:
            self.requested_base, self.mark_requested_at = base, now
            self.actions.append(StoreBase(base))

    def _marked(self, now: float) -> int:
        """The base of a whole memory."""
        # Danger: the same for a whole life, a backup made in that life and put back after it had the base
        # that all others knew, was taken for whole, and said 'never' of all that was sent since.
        due = now - self.mark_requested_at >= max(
            self.settings.mark_interval_ms, self.settings.mark_interval_per_dispatcher_ms * self.dispatchers
        )
        return max(self.requested_base + due, self.boot * BASE_PER_BOOT)

    def _above(self, pair: PeerState) -> bool:
        if pair.incarnation == self.incarnation:
            return pair.boot > self.boot or pair.is_stale and self.memory is MemoryState.INTACT
        return False

    # --- words ---

    def presence_for(self, now: float, to: int | None = None) -> Presence:
        """This instance's word, for a number or for one that is not known yet."""
        first = [to] if to is not None else []
        late = now - self.settings.max_report_age_ms
        quiet = [n for n, peer in self.peers.items() if peer.received_at < late and n != to]
        loud = [n for n, peer in self.peers.items() if peer.received_at >= late and n != to]
        # Those that aren't heard first: that they are silent is what others wait to hear.
        picked = first + _turned(quiet, self.rotate)[: MAX_PEER_STATES - LOUD_LEAST - len(first)]
        picked += _turned(loud, self.rotate)[: MAX_PEER_STATES - len(picked)]
        pairs = tuple(self.peers[n].state(now, self.settings.min_alternations) for n in picked)
        return Presence(
            self.number,
            self.boot,
            self.base,
            self.incarnation,
            now - self.started,
            self.memory,
            self.was_clean_shutdown,
            pairs,
        )

    def _say(self, now: float) -> None:
        """This instance's word to the next few members."""
        if not self.live:
            return
        targets = _turned(self.live, self.next_target)[: self.settings.max_messages]
        self.next_target += len(targets)
        self.rotate += LOUD_LEAST
        for member in targets:
            self.actions.append(
                SendMessage(member, encode(self.presence_for(now, self.number_by_member.get(member))))
            )
        self.counters["here_sent"] += len(targets)
