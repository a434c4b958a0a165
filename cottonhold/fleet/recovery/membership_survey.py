"""Determines from all instances' reports which were away after a power loss or a restart; does no I/O.

All instances reach the same view. Pass in the live members (`set_members`) and their reports (`on_message`),
call `step` at `next_at` at the latest, and carry out the actions that it returns (see survey_results). Call
`on_boot_count_stored` after a RaiseBootCount action and `on_checkpoint_stored` after a StoreCheckpoint
action, once the value is stored. At the next start pass the values of PeerBootCountLearned as
`known_boot_counts` and `known_checkpoints`, and the memory as EMPTY if the folder has no boot count, as STALE
if it has no checkpoint, otherwise as INTACT.

Each configured dispatcher has a number, and the first member that claims a number is bound to it, so that
each member has one vote whatever it reports. A member that claims a second number is ignored.

An instance is regarded as restarted if it started less than `recent_start_ms` ago and its last incarnation
was not shut down cleanly. Uptimes are reported, so the instances' clocks are never compared. If more than
half of the configured instances restarted, the fleet is regarded as lost for `recent_start_ms` from the first
of their starts. Instances that return later belong to that outage too.

`silence_proof` describes when another instance is proven to be silent.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping

from cottonhold.fleet.message_format import MAX_UINT32
from cottonhold.fleet.recovery.messages import CHECKPOINTS_PER_BOOT, MemoryState, PeerState, Presence, encode
from cottonhold.fleet.recovery.peer_observations import PeerObservation, SilenceReport
from cottonhold.fleet.recovery.silence_proof import prove_silence
from cottonhold.fleet.recovery.survey_peers import (
    MIN_REACHABLE_PEERS,
    fully_restarted_zones,
    peers_to_report,
    rotated,
    unclean_starts,
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

BATCHING_MS = 20.0  # delay of a step after a report, so that it processes several reports together
EXPEDITED_MS = 1000.0  # how long reports are sent at the busy interval after `expedite`
MIN_WITNESSES = 2  # other instances that must report the same of this one, since a single one may be faulty


class MembershipSurvey:
    """One instance's survey of all configured dispatchers.

    Args:
        number: This instance's number, from 0 to `dispatchers` - 1.
        zones: The zone of each dispatcher, by number.
        boot_count: Boot count of this start, at least 1.
        incarnation: A random number drawn at each start.
        memory, was_clean_shutdown, checkpoint: What the state folder contained at this start.
        known_boot_counts, known_checkpoints: Highest values of the other dispatchers that the folder
            contained.
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
        self.checkpoint = self.requested_checkpoint = checkpoint  # stored value; value to be stored
        self.is_memory_confirmed = self.is_memory_disputed = False
        self.checkpoint_requested_at = now
        self.number_by_member: dict[int, int] = {}
        self.live: list[int] = []
        self.next_target = 0  # index in `live` of the member that receives the next report
        self.rotation = 0  # rotates the peers that a report contains
        self.view = SurveyView()
        self.past_outage_until = -math.inf  # starts until this time belong to an earlier loss of the fleet
        self.quorum_reachable_at = now  # when half of the configured dispatchers were last reachable
        self.duplicate: DuplicateIdentity | None = None
        self.actions: list[Action] = []
        self.next_step = self.next_report = now
        self.expedited_until = -math.inf
        self.counters = {"here_sent": 0, "unbound": 0, "old": 0}

    def set_members(self, now: float, live: Iterable[int]) -> None:
        """Set which other members are alive."""
        members = sorted(set(live))
        if set(members) - set(self.live):
            self.next_step = self.next_report = now
        self.live = members

    def on_boot_count_stored(self, now: float, boot_count: int) -> None:
        """Use a raised boot count once it is stored."""
        self.boot_count = max(self.boot_count, boot_count)
        self.next_step = self.next_report = now

    def on_checkpoint_stored(self, now: float, checkpoint: int) -> None:
        """Report a checkpoint once it is stored."""
        self.checkpoint = checkpoint

    def expedite(self, now: float) -> None:
        """Send reports at the busy interval for EXPEDITED_MS, because a load waits for them."""
        self.expedited_until = now + EXPEDITED_MS
        self.next_report = min(self.next_report, now + self.settings.busy_interval_ms)
        self.next_step = min(self.next_step, self.next_report)

    def on_message(self, now: float, member: int, presence: Presence) -> None:
        """Process a member's report on itself. A new incarnation is answered immediately, since it needs the
        others' records of its number."""
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
        """Return the dispatcher that a member is bound to, binding it to `number` if that is free. Otherwise
        None: a member that claimed every number would be a majority by itself."""
        peer = self.peers.get(number)
        if peer is None or self.number_by_member.get(member, number) != number:
            return None
        if peer.member != member:
            silent_ms = now - peer.received_at
            if peer.member and silent_ms < self.settings.rebind_ms:
                peer.rival_reports += silent_ms < self.settings.max_report_age_ms
                return None
            self.number_by_member.pop(peer.member, None)
            peer.member = member
            self.number_by_member[member] = number
        return peer

    def number_of(self, member: int) -> int | None:
        """Return the number that a member is bound to, if any."""
        return self.number_by_member.get(member)

    def member_of(self, number: int) -> int | None:
        """Return the member that is bound to a number, if any."""
        peer = self.peers.get(number)
        return peer.member or None if peer is not None else None

    def incarnation_of(self, number: int) -> int:
        """Return the latest known incarnation of a number; 0 if none has reported."""
        peer = self.peers.get(number)
        return peer.current.id if peer is not None and peer.current is not None else 0

    def other_numbers(self) -> list[int]:
        """Return all other configured numbers."""
        return list(self.peers)

    def may_send_loads(self, now: float) -> bool:
        """Return whether this instance may send loads.

        No older process may use the same member number. Other members must have checked the memory, since a
        folder that was copied before this incarnation has the same checkpoint. At least half of the
        configured dispatchers must receive this instance's reports.
        """
        if self.duplicate is not None and self.duplicate.is_later:
            return False
        if self.memory is MemoryState.INTACT and not (self.is_memory_confirmed or self.is_memory_disputed):
            return False
        oldest = now - self.settings.lease_ms
        return 2 * (1 + sum(p.acknowledged_sent_at > oldest for p in self.peers.values())) >= self.dispatchers

    def has_confirmed_memory(self) -> bool:
        """Return whether the memory is intact and others with intact memory have no later checkpoint."""
        is_intact = self.memory is MemoryState.INTACT
        return is_intact and self.is_memory_confirmed and not self.is_memory_disputed

    def proven_silent(self, now: float) -> dict[int, ProvenSilence]:
        """Return the proofs that others have sent no load for a while, by number."""
        proofs = {}
        for number, peer in self.peers.items():
            if now - peer.received_at > self.settings.max_report_age_ms:
                local_report = SilenceReport(max(peer.received_at, self.started_at), now)
                peer_reports = [p.silences[number] for p in self.peers.values() if number in p.silences]
                proof = prove_silence([*peer_reports, local_report], self.dispatchers, self.settings)
                if proof is not None:
                    proofs[number] = proof
        return proofs

    def is_partitioned(self, silent: Mapping[int, ProvenSilence]) -> bool:
        """Return whether a dispatcher is unreachable that is not proven silent."""
        return not self.view.missing <= silent.keys()

    def next_at(self) -> float:
        """Return the time at which `step` must be called again."""
        return self.next_step

    def step(self, now: float) -> list[Action]:
        """Update the view from all reports so far, and return the actions that follow."""
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
        """Return the time until the next messages: a part of a round if there are more members than
        messages."""
        view, s = self.view, self.settings
        is_busy = not view.is_settled or bool(view.restarted) or now < self.expedited_until
        steps = max(1, -(-len(self.live) // s.max_messages))
        return (s.busy_interval_ms if is_busy else s.idle_interval_ms) / steps

    def _assess(self, now: float) -> SurveyView:
        """Return the view that follows from the start times of all instances."""
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
        zones = fully_restarted_zones(self.zones, restarted)
        verdict = self._verdict(now, restarted, zones)
        first_start = min((starts[number] for number in restarted), default=-math.inf)
        if verdict is self.view.verdict is OutageVerdict.FLEET:
            first_start = min(first_start, self.view.first_start)
        is_settled = not missing or now - self.started_at >= self.settings.settle_ms
        return SurveyView(verdict, first_start, is_settled, zones, restarted, frozenset(reachable), missing)

    def _restarted_since(self, now: float) -> float:
        """Return the time from which a start is regarded as a restart: during a loss of the fleet just before
        its first start, afterwards no earlier than the end of the loss."""
        since = max(now - self.settings.recent_start_ms, self.past_outage_until)
        if self.view.verdict is not OutageVerdict.FLEET:
            return since
        if now > self.view.first_start + self.settings.recent_start_ms:
            self.past_outage_until = max(self.past_outage_until, now)
            return self.past_outage_until
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
        """Return whether these are more than half of the configured, not just the reachable, dispatchers."""
        return 2 * len(numbers) > self.dispatchers

    def _check_identity(self) -> None:
        """Raise the boot count, or report a duplicate, if MIN_WITNESSES others report later values than the
        folder's or a second process. A single faulty one could use up the boot counts and make the memory
        stale."""
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
        """Return whether a peer reports a later boot count or checkpoint of this number than the folder's."""
        if view.incarnation != self.incarnation:
            return False
        return view.boot_count > self.boot_count or view.is_stale and self.memory is MemoryState.INTACT

    def _check_memory(self, now: float) -> None:
        """Update the state of the memory, and the checkpoint to store. A memory that nobody confirmed within
        the retention becomes stale. Once the retention is over all earlier loads have expired, so a
        checkpoint is stored in any case."""
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
        """Determine whether others confirm the memory of this incarnation.

        The memory is disputed if a single peer has recorded a later checkpoint, since peers that were cut off
        while it was last intact have none. A dispute delays retries by at most one retention.
        All views must have arrived or been waited for: the first peer to report may have the oldest records.
        """
        witnesses = [
            peer
            for peer in self.peers.values()
            if peer.view_of_self is not None and peer.view_of_self.incarnation == self.incarnation
        ]
        views = [
            p.view_of_self for p in witnesses if p.memory is MemoryState.INTACT and p.view_of_self is not None
        ]
        self.is_memory_disputed |= any(view.is_stale or view.boot_count > self.boot_count for view in views)
        has_waited = now - self.started_at >= self.settings.settle_ms
        has_enough_views = len(witnesses) == len(self.peers) or has_waited
        needed = max(1, (self.dispatchers + 1) // 2 - 1)
        self.is_memory_confirmed |= self.dispatchers == 1 or has_enough_views and len(views) >= needed

    def _next_checkpoint(self, now: float) -> int:
        """Return the checkpoint of an intact memory. It grows with time, so that others have recorded a
        later one than that of a backup of the folder made in this incarnation and restored after it."""
        s = self.settings
        interval_ms = max(
            s.checkpoint_interval_ms, s.checkpoint_interval_per_dispatcher_ms * self.dispatchers
        )
        is_checkpoint_due = now - self.checkpoint_requested_at >= interval_ms
        return max(self.requested_checkpoint + is_checkpoint_due, self.boot_count * CHECKPOINTS_PER_BOOT)

    def presence_for(self, now: float, receiver: int | None = None) -> Presence:
        """Return the presence report for a receiver, by its member number; None if that is not known yet."""
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
        """Send this instance's report to the next `max_messages` members."""
        if not self.live:
            return
        targets = rotated(self.live, self.next_target)[: self.settings.max_messages]
        self.next_target += len(targets)
        self.rotation += MIN_REACHABLE_PEERS
        for member in targets:
            presence = self.presence_for(now, self.number_by_member.get(member))
            self.actions.append(SendSurveyMessage(member, encode(presence)))
        self.counters["here_sent"] += len(targets)
