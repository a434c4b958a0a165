"""Who was away after a power loss or a restart: found by all instances alike, from the reports of all. Pure.

Feed it the members that are alive (`set_members`) and their reports (`on_message`); call `step` at `next_at`
at the latest and carry out the actions that it returns (see survey_results):

    SendSurveyMessage     a datagram
    ViewChanged           what was away, as far as it is known
    RaiseBootCount        the folder is empty or a copy of an earlier day: store a boot count of at least so
                          much, then call `on_boot_count_stored`; from then on it answers as one with such a
                          memory
    DuplicateIdentity     a second process stands for this number; the later one must not serve loads
    PeerBootCountLearned  a hint for the folder: given back in `known_boot_counts` and `known_checkpoints` at
                          the next start
    StoreCheckpoint       store the checkpoint; once stored, call `on_checkpoint_stored`. A folder starts as
                          EMPTY without a boot count, as STALE without a checkpoint, else as INTACT

Each configured dispatcher has a number, and the first member that claims a number is bound to it: one name,
one vote, whatever it says of others. A member that claims a second number isn't heard.

An instance counts as restarted if it started less than `recent_start_ms` ago and its last incarnation had not
ended by order. Uptimes are reported, so only each instance's own monotonic clock counts. Where more than half
of the configured ones restarted the fleet was lost, from the start of the first of them, for
`recent_start_ms`. So those that come back later join that outage, with its start.

When others are proven to be silent: see silence_proof.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping

from cottonhold.fleet.message_format import MAX_UINT32
from cottonhold.fleet.recovery.messages import (
    CHECKPOINTS_PER_BOOT,
    MemoryState,
    PeerState,
    Presence,
    encode,
)
from cottonhold.fleet.recovery.peer_observations import PeerObservation, SilenceReport
from cottonhold.fleet.recovery.silence_proof import prove_silence
from cottonhold.fleet.recovery.survey_peers import (
    MIN_REACHABLE_PEERS,
    peers_to_report,
    rotated,
    unclean_starts,
    zones_lost,
)
from cottonhold.fleet.recovery.survey_results import (
    Action,
    DuplicateIdentity,
    OutageVerdict,
    PeerBootCountLearned,
    ProvenSilence,
    RaiseBootCount,
    SendSurveyMessage,
    StoreCheckpoint,
    SurveySettings,
    SurveyView,
    ViewChanged,
)

BATCHING_MS = 20.0  # after a report until what it changed is weighed, with those that arrive beside it
EXPEDITED_MS = 1000.0  # how long reports go out faster once something waits for them
MIN_WITNESSES = 2  # others that have to say the same of this instance; a single one may lie


class MembershipSurvey:
    """One instance's side.

    number: its own, of 0 to `dispatchers` - 1; zones: of each number; boot_count: of this start, at least 1;
    incarnation: drawn anew at each start; memory, was_clean_shutdown, checkpoint: what the folder showed;
    known_boot_counts, known_checkpoints: those of others as the folder had them.
    """

    def __init__(
        self,
        number: int,
        dispatchers: int,
        zones: Mapping[int, str],
        boot_count: int,
        incarnation: int,
        memory: MemoryState,
        was_clean_shutdown: bool,
        known_boot_counts: Mapping[int, int],
        now: float,
        settings: SurveySettings | None = None,
        checkpoint: int = 0,
        known_checkpoints: Mapping[int, int] | None = None,
    ) -> None:
        self.settings = settings or SurveySettings()
        self.number, self.dispatchers, self.zones = number, dispatchers, dict(zones)
        self.boot_count, self.incarnation, self.memory = boot_count, incarnation & MAX_UINT32, memory
        self.was_clean_shutdown, self.started_at = was_clean_shutdown, now
        checkpoints = known_checkpoints or {}
        self.peers = {
            n: PeerObservation(n, boot_count=known_boot_counts.get(n, 0), checkpoint=checkpoints.get(n, 0))
            for n in range(dispatchers)
            if n != number
        }
        self.checkpoint = self.requested_checkpoint = checkpoint  # as reported, and as requested to be stored
        self.is_memory_confirmed = self.is_memory_doubted = False
        self.checkpoint_requested_at = now
        self.number_by_member: dict[int, int] = {}
        self.live: list[int] = []
        self.next_target = 0  # who gets the next report
        self.rotation = 0  # of the peers that a report names
        self.view = SurveyView()
        self.covered_until = -math.inf  # starts up to here belong to a loss of the fleet that is over
        self.quorum_reachable_at = now  # when half of the configured ones were last reachable
        self.duplicate: DuplicateIdentity | None = None
        self.actions: list[Action] = []
        self.next_step = self.next_report = now
        self.expedited_until = -math.inf
        self.counters = {"here_sent": 0, "unbound": 0, "old": 0}

    def set_members(self, now: float, live: Iterable[int]) -> None:
        """Which other members are alive."""
        members = sorted(set(live))
        if set(members) - set(self.live):
            self.next_step = self.next_report = now
        self.live = members

    def on_boot_count_stored(self, now: float, boot_count: int) -> None:
        """A raised boot count is stored."""
        self.boot_count = max(self.boot_count, boot_count)
        self.next_step = self.next_report = now

    def on_checkpoint_stored(self, now: float, checkpoint: int) -> None:
        """A checkpoint is stored."""
        self.checkpoint = checkpoint

    def expedite(self, now: float) -> None:
        """Something waits for reports, so they go out faster for a second."""
        self.expedited_until = now + EXPEDITED_MS
        self.next_report = min(self.next_report, now + self.settings.busy_interval_ms)
        self.next_step = min(self.next_step, self.next_report)

    def on_message(self, now: float, member: int, presence: Presence) -> None:
        """A member's report on itself. One that has just started is answered at once: what it most needs is
        what others know of it."""
        peer = self._bind(now, member, presence.number)
        if peer is None:
            self.counters["unbound"] += 1
            return
        incarnation, known = peer.current, (peer.boot_count, peer.checkpoint)
        if not peer.apply(now, presence):
            self.counters["old"] += 1
            return
        if (peer.boot_count, peer.checkpoint) != known:
            self.actions.append(PeerBootCountLearned(presence.number, peer.boot_count, peer.checkpoint))
        for state in presence.peers:
            if state.number == self.number:
                peer.on_view_of_self(state, self.incarnation, self.started_at)
            elif state.number in self.peers:
                peer.on_view_of_third(now, state, self.settings.max_report_age_ms)
        if peer.current is not incarnation:
            self.actions.append(SendSurveyMessage(member, encode(self.presence_for(now, presence.number))))
        self.next_step = min(self.next_step, now + BATCHING_MS)

    def _bind(self, now: float, member: int, number: int) -> PeerObservation | None:
        """The dispatcher that a member stands for; None where it stands for none, or for another already: a
        member that claimed every number would be more than half of the fleet by itself."""
        peer = self.peers.get(number)
        if peer is None or self.number_by_member.get(member, number) != number:
            return None
        if peer.member != member:
            silent_ms = now - peer.received_at
            if peer.member and silent_ms < self.settings.rebind_ms:
                peer.rivals += silent_ms < self.settings.max_report_age_ms
                return None
            self.number_by_member.pop(peer.member, None)
            peer.member = member
            self.number_by_member[member] = number
        return peer

    def number_of(self, member: int) -> int | None:
        """The number that a member stands for; None where it stands for none."""
        return self.number_by_member.get(member)

    def member_of(self, number: int) -> int | None:
        """The member that stands for a number."""
        peer = self.peers.get(number)
        return peer.member or None if peer is not None else None

    def incarnation_of(self, number: int) -> int:
        """The incarnation that stands for a number now; 0 where none has reported."""
        peer = self.peers.get(number)
        return peer.current.id if peer is not None and peer.current is not None else 0

    def other_numbers(self) -> list[int]:
        """All other configured numbers."""
        return list(self.peers)

    def may_send_loads(self, now: float) -> bool:
        """Whether this instance may send loads: it is no second process of its number, its memory has been
        judged by others (a folder that was copied before this incarnation has the same checkpoint), and half
        of the configured ones receive its reports."""
        if self.duplicate is not None and self.duplicate.is_later:
            return False
        if self.memory is MemoryState.INTACT and not (self.is_memory_confirmed or self.is_memory_doubted):
            return False
        oldest = now - self.settings.lease_ms
        return 2 * (1 + sum(peer.echoed_at > oldest for peer in self.peers.values())) >= self.dispatchers

    def has_confirmed_memory(self) -> bool:
        """Whether this instance's memory is intact: others with intact memory know of no later checkpoint."""
        is_intact = self.memory is MemoryState.INTACT
        return is_intact and self.is_memory_confirmed and not self.is_memory_doubted

    def proven_silent(self, now: float) -> dict[int, ProvenSilence]:
        """Others that are proven to have sent no load for a while."""
        proofs = {}
        for number, peer in self.peers.items():
            if now - peer.received_at > self.settings.max_report_age_ms:
                own_report = SilenceReport(max(peer.received_at, self.started_at), now)
                peer_reports = [p.silences[number] for p in self.peers.values() if number in p.silences]
                proof = prove_silence([*peer_reports, own_report], self.dispatchers, self.settings)
                if proof is not None:
                    proofs[number] = proof
        return proofs

    def is_partitioned(self, silent: Mapping[int, ProvenSilence]) -> bool:
        """Whether one is unreachable that isn't among the proven silent ones."""
        return not self.view.missing <= silent.keys()

    def next_at(self) -> float:
        """When `step` is due."""
        return self.next_step

    def step(self, now: float) -> list[Action]:
        """Weigh what is known, and return what follows."""
        if now < self.next_step:
            return []
        view = self._assess(now)
        if view != self.view:
            self.view = view
            self.actions.append(ViewChanged(view))
        self._check_identity()
        self._check_memory(now)
        if now >= self.next_report:
            self._send_reports(now)
            self.next_report = now + self._report_interval_ms(now)
        self.next_step = self.next_report
        actions, self.actions = self.actions, []
        return actions

    def _report_interval_ms(self, now: float) -> float:
        """Until the next messages; several steps where there are more members than messages of a step."""
        view, s = self.view, self.settings
        is_busy = not view.is_settled or bool(view.restarted) or now < self.expedited_until
        steps = max(1, -(-len(self.live) // s.max_messages))
        return (s.busy_interval_ms if is_busy else s.idle_interval_ms) / steps

    def _assess(self, now: float) -> SurveyView:
        """What was away, by the start times of all."""
        starts = unclean_starts(self.peers)
        if not self.was_clean_shutdown:
            starts[self.number] = self.started_at
        since = self._restarted_since(now)
        restarted = frozenset(number for number, start in starts.items() if start > since)
        oldest = now - self.settings.max_report_age_ms
        reachable = {n for n, peer in self.peers.items() if peer.received_at >= oldest} | {self.number}
        missing = frozenset(self.peers.keys() - reachable)
        if 2 * len(reachable) >= self.dispatchers:
            self.quorum_reachable_at = now
        zones = zones_lost(self.zones, restarted)
        verdict = self._verdict(now, restarted, zones)
        first_start = min((starts[number] for number in restarted), default=-math.inf)
        if verdict is self.view.verdict is OutageVerdict.FLEET:
            first_start = min(first_start, self.view.first_start)
        is_settled = not missing or now - self.started_at >= self.settings.settle_ms
        return SurveyView(verdict, first_start, is_settled, zones, restarted, frozenset(reachable), missing)

    def _restarted_since(self, now: float) -> float:
        """The time since when a start counts as a restart. While the fleet counts as lost that is its first
        start; once that is over, what started up to then counts no longer."""
        since = max(now - self.settings.recent_start_ms, self.covered_until)
        if self.view.verdict is not OutageVerdict.FLEET:
            return since
        if now > self.view.first_start + self.settings.recent_start_ms:
            self.covered_until = max(self.covered_until, now)
            return self.covered_until
        return min(since, self.view.first_start - 1)

    def _verdict(self, now: float, restarted: frozenset[int], zones: frozenset[str]) -> OutageVerdict:
        if self._is_majority(restarted):
            return OutageVerdict.FLEET
        has_known_peers = any(peer.boot_count for peer in self.peers.values())
        if has_known_peers and now - self.quorum_reachable_at >= self.settings.settle_ms:
            return OutageVerdict.CUT_OFF
        if restarted == {self.number}:
            return OutageVerdict.ALONE
        if zones:
            return OutageVerdict.ZONE
        return OutageVerdict.SOME if restarted else OutageVerdict.NOTHING

    def _is_majority(self, numbers: frozenset[int]) -> bool:
        """More than half of the configured ones: not of those that happen to be reachable."""
        return 2 * len(numbers) > self.dispatchers

    def _check_identity(self) -> None:
        """What others know of this number that its folder doesn't. Two of them have to say it: one that lies
        could use up the boot counts, and void a memory."""
        witnesses = min(MIN_WITNESSES, len(self.peers))
        if not witnesses:
            return
        views = [peer.view_of_self for peer in self.peers.values() if peer.view_of_self is not None]
        higher = sorted((view.boot_count for view in views if self._exceeds_folder(view)), reverse=True)
        if len(higher) >= witnesses:
            is_stale = sum(view.is_stale for view in views) >= witnesses
            if self.memory is MemoryState.INTACT and is_stale:
                self.memory = MemoryState.STALE
            self.actions.append(RaiseBootCount(higher[witnesses - 1] + 1))
        duplicates = [view for view in views if view.is_duplicate]
        if len(duplicates) >= witnesses and self.duplicate is None:
            others_first = sum(view.incarnation != self.incarnation for view in duplicates)
            self.duplicate = DuplicateIdentity(others_first * 2 > len(duplicates))
            self.actions.append(self.duplicate)

    def _exceeds_folder(self, view: PeerState) -> bool:
        """Whether another knows of a later boot count or checkpoint of this number than its folder."""
        if view.incarnation != self.incarnation:
            return False
        return view.boot_count > self.boot_count or view.is_stale and self.memory is MemoryState.INTACT

    def _check_memory(self, now: float) -> None:
        """Whether the folder's loads are complete, and up to which checkpoint. A memory that nobody confirmed
        within the retention is stale: what is reported from now on others confirm, what was queried before is
        unknown."""
        self._confirm_memory(now)
        is_retention_over = now > self.started_at + self.settings.retention_ms
        if is_retention_over and self.memory is MemoryState.INTACT and not self.has_confirmed_memory():
            self.memory = MemoryState.STALE
        checkpoint = self.requested_checkpoint
        if is_retention_over or self.has_confirmed_memory():
            checkpoint = self._next_checkpoint(now)
        if not is_retention_over and self.memory is not MemoryState.INTACT:
            checkpoint = 0
        if checkpoint != self.requested_checkpoint:
            self.requested_checkpoint, self.checkpoint_requested_at = checkpoint, now
            self.actions.append(StoreCheckpoint(checkpoint))

    def _confirm_memory(self, now: float) -> None:
        """Whether others confirm this incarnation's memory.

        One that knows of a later checkpoint is enough to doubt it: those that were cut off when it was last
        intact know of nothing later. A doubt costs at most one retention, in which retries wait. And the
        views of all have arrived, or were waited for: the first to report may know the least.
        """
        witnesses = [
            peer
            for peer in self.peers.values()
            if peer.view_of_self is not None and peer.view_of_self.incarnation == self.incarnation
        ]
        views = [
            p.view_of_self for p in witnesses if p.memory is MemoryState.INTACT and p.view_of_self is not None
        ]
        self.is_memory_doubted |= any(view.is_stale or view.boot_count > self.boot_count for view in views)
        has_waited = now - self.started_at >= self.settings.settle_ms
        has_enough_views = len(witnesses) == len(self.peers) or has_waited
        needed = max(1, (self.dispatchers + 1) // 2 - 1)
        self.is_memory_confirmed |= self.dispatchers == 1 or has_enough_views and len(views) >= needed

    def _next_checkpoint(self, now: float) -> int:
        """The checkpoint of an intact memory. It grows with time, so that a backup made in this incarnation
        and restored after it has a checkpoint that others know to be exceeded."""
        s = self.settings
        interval_ms = max(
            s.checkpoint_interval_ms, s.checkpoint_interval_per_dispatcher_ms * self.dispatchers
        )
        is_checkpoint_due = now - self.checkpoint_requested_at >= interval_ms
        return max(self.requested_checkpoint + is_checkpoint_due, self.boot_count * CHECKPOINTS_PER_BOOT)

    def presence_for(self, now: float, receiver: int | None = None) -> Presence:
        """This instance's report, for a number or for a member whose number is not known yet. Peers that
        are silent come first: that is what others wait for."""
        oldest = now - self.settings.max_report_age_ms
        numbers = peers_to_report(self.peers, oldest, receiver, self.rotation)
        states = tuple(self.peers[n].state(now, self.settings.min_alternations) for n in numbers)
        return Presence(
            self.number,
            self.boot_count,
            self.checkpoint,
            self.incarnation,
            now - self.started_at,
            self.memory,
            self.was_clean_shutdown,
            states,
        )

    def _send_reports(self, now: float) -> None:
        """This instance's report to the next few members."""
        if not self.live:
            return
        targets = rotated(self.live, self.next_target)[: self.settings.max_messages]
        self.next_target += len(targets)
        self.rotation += MIN_REACHABLE_PEERS
        for member in targets:
            presence = self.presence_for(now, self.number_by_member.get(member))
            self.actions.append(SendSurveyMessage(member, encode(presence)))
        self.counters["here_sent"] += len(targets)
