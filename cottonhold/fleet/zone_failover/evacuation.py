"""Which zones are evacuated, by this instance and by the fleet, and how much a returning zone may get. Pure.

Each instance has a state for each zone and reports it as a vote. It evacuates a zone at once by its own
evidence, alone if need be. It joins where more than a third are certain and its own evidence does not say the
contrary, and it follows where more than half of the electorate vote so. The return starts by the same count.
See docs/design/zones.md.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from cottonhold.fleet.zone_failover.attempt_pool import lower_median, pool_counts
from cottonhold.fleet.zone_failover.failure_evidence import AttemptCounts, ZoneHealth
from cottonhold.fleet.zone_failover.messages import Vote, ZoneReport
from cottonhold.fleet.zone_failover.zone_state import LocalEvidence, PhaseChange, ZonePhase, ZoneState

# What keeps an instance from joining others: so many served attempts, and at most this share of bad ones.
MIN_HEALTHY_ATTEMPTS = 3
MAX_HEALTHY_BAD_SHARE = 0.1
MIN_CERTAIN = 2  # one instance alone, which lies or has a bad link, never moves another
MIN_SUSPECTING = 3
MIN_BAD_REPORTERS = 2  # instances that have to see a return fail
MAX_BAD_SHARE_RATIO = 1.5  # times the share of bad attempts elsewhere that a return may show

# Reasons as operators read them.
BY_OPERATOR = "by hand"
FLEET_EVACUATES = "the fleet leaves"
OTHERS_CERTAIN = "others are sure"
RETURN_FAILED = "its return failed"
ENGINES_ANSWER = "its engines answer"
FLEET_RETURNS = "the fleet returns"
RETURNED = "returned"
EVIDENCE_REASONS = {
    ZoneHealth.SLOW: "own evidence: slow",
    ZoneHealth.FAILING: "own evidence: failing",
    ZoneHealth.DOWN: "own evidence: lost",
}


@dataclass(slots=True, frozen=True)
class EvacuationSettings:
    """Times in ms.

    max_report_age_ms: older reports move nobody; several rounds of them, a lost one among them. hold_down_ms:
    a zone stays evacuated at least so long; doubled by each return that failed, up to max_hold_down_ms, and
    halved by each quiet_ms without one. initial_share: of its full load, with which a return begins. step_ms:
    a return's share may double so often. idle_step_ms: without any attempt only so often, so that a fleet
    without load is not bounded for good. max_bad_share: share of bad attempts over all instances from which a
    return has failed. min_good_ratio: part of the share of good ones elsewhere from which the traffic share
    doubles; under back_off_ratio it is halved. min_attempts: it takes so many at least, and max_bad_per_good:
    at most so many bad ones to each good one. max_share_while_late: so far the share also rises while answers
    are only late, since cold engines bear that much. usable_capacity_share: of the other zones' cores, what
    an evacuation may plan with. isolation_ms: so long without a majority's reports, an isolated instance
    decides on the return by itself. settle_ms: so long after a zone's return queues elsewhere may still be
    long.
    """

    max_report_age_ms: float = 2000.0
    hold_down_ms: float = 2000.0
    max_hold_down_ms: float = 30_000.0
    quiet_ms: float = 30_000.0
    initial_share: float = 0.03
    step_ms: float = 250.0
    idle_step_ms: float = 2000.0
    max_bad_share: float = 0.18
    min_good_ratio: float = 0.8
    back_off_ratio: float = 0.4
    min_attempts: float = 4.0
    max_bad_per_good: float = 0.12
    max_share_while_late: float = 0.2
    usable_capacity_share: float = 0.95
    isolation_ms: float = 10_000.0
    settle_ms: float = 6000.0


def majority(electorate: int) -> int:
    """The smallest number that is more than half."""
    return electorate // 2 + 1


class Evacuation:
    """The states of all zones. `step` with local evidence and the others' reports; then ask
    `traffic_share`."""

    def __init__(self, settings: EvacuationSettings | None = None) -> None:
        self.settings = settings or EvacuationSettings()
        self.states: dict[str, ZoneState] = {}
        self.changes: list[PhaseChange] = []
        self.now = 0.0
        self.best_good_share = 1.0  # of the zones in service
        self.best_bad_share = 0.0

    def set_zones(self, names: Iterable[str]) -> None:
        """Exactly these zones exist."""
        hold_down_ms = self.settings.hold_down_ms
        self.states = {name: self.states.get(name) or ZoneState(hold_down_ms=hold_down_ms) for name in names}

    def step(
        self,
        now: float,
        evidence: Mapping[str, LocalEvidence],
        reports: Mapping[str, list[ZoneReport]],
        electorate: int,
    ) -> list[PhaseChange]:
        """Decide on each zone. reports: the others' fresh ones by zone; electorate: the number of voters,
        with this one."""
        self.now, self.changes = now, []
        self._compare_zones(evidence, reports)
        for name, state in self.states.items():
            if name in evidence:
                self._count_votes(state, reports.get(name, []), electorate)
                self._decide(name, state, evidence[name], reports.get(name, []), electorate)
        return self.changes

    def traffic_share(self, name: str, reports: Iterable[ZoneReport] = ()) -> float:
        """Share of its full load that all instances together may send to a zone, as this one sees it.

        For a returning zone the lower median of what all instances that serve it propose: one that lies, or
        is quicker than the others, does not set the pace.
        """
        state = self.states.get(name)
        if state is None:
            return 1.0
        if state.phase is ZonePhase.EVACUATED or state.is_fleet_evacuated:
            return state.retained_share
        if state.phase is ZonePhase.IN_SERVICE:
            return 1.0
        proposed = [report.traffic_share for report in reports if report.vote is Vote.KEEP]
        return min(state.traffic_share, lower_median([state.traffic_share, *proposed]))

    def _count_votes(self, state: ZoneState, reports: list[ZoneReport], electorate: int) -> None:
        """Whether the fleet evacuates a zone. An instance that is isolated for long goes by its own evidence,
        within its own quota."""
        against = sum(r.vote is Vote.EVACUATE for r in reports) + (state.vote is Vote.EVACUATE)
        in_favour = len(reports) + 1 - against
        needed = majority(electorate)
        if len(reports) + 1 >= needed:
            state.majority_reachable_at = self.now
        is_isolated = self.now - state.majority_reachable_at > self.settings.isolation_ms
        if against >= needed:
            state.is_fleet_evacuated = True
        elif in_favour >= needed or is_isolated:
            state.is_fleet_evacuated = False
        state.was_fleet_evacuated = state.was_fleet_evacuated or state.is_fleet_evacuated

    def _decide(
        self, name: str, state: ZoneState, evidence: LocalEvidence, reports: list[ZoneReport], electorate: int
    ) -> None:
        """An operator's override first, then local evidence, then the fleet's votes."""
        if state.phase is ZonePhase.EVACUATED:
            self._decide_return(name, state, evidence, reports, electorate)
        elif evidence.override is Vote.EVACUATE:
            self._evacuate(name, state, evidence, BY_OPERATOR, is_certain=True)
        elif evidence.override is Vote.KEEP:
            self._ramp_up(name, state, evidence, reports)
        elif self._is_unhealthy(name, evidence.health):
            self._evacuate(name, state, evidence, EVIDENCE_REASONS[evidence.health], is_certain=True)
        elif state.is_fleet_evacuated:
            self._evacuate(name, state, evidence, FLEET_EVACUATES, is_certain=False)
        elif self._joins_others(name, state, evidence, reports, electorate):
            self._evacuate(name, state, evidence, OTHERS_CERTAIN, is_certain=False)
        elif state.phase is ZonePhase.RETURNING:
            self._ramp_up(name, state, evidence, reports)
        else:
            self._reduce_hold_down(state)

    def _is_unhealthy(self, name: str, health: ZoneHealth) -> bool:
        """Whether local evidence is enough. Slowness is not while another zone recovers: the zone that
        carried its load still has a long queue."""
        if health < ZoneHealth.FAILING and self._is_another_recovering(name):
            return False
        return health >= ZoneHealth.SLOW

    def _reduce_hold_down(self, state: ZoneState) -> None:
        """Quiet time takes back what failed returns added to the hold-down."""
        s, quiet_since = self.settings, max(state.since, state.hold_down_reduced_at)
        if self.now - quiet_since > s.quiet_ms and state.hold_down_ms > s.hold_down_ms:
            state.hold_down_ms = max(s.hold_down_ms, state.hold_down_ms / 2)
            state.hold_down_reduced_at = self.now

    def _decide_return(
        self, name: str, state: ZoneState, evidence: LocalEvidence, reports: list[ZoneReport], electorate: int
    ) -> None:
        """Whether it is time for the return.

        An instance whose hold-down is over votes for the return and goes with the majority: one that returned
        by itself would find the zone still evacuated by the count, and take that for a failed return.
        """
        state.retained_share = evidence.retained_share if evidence.override is None else 0.0
        if evidence.override is Vote.EVACUATE:
            return
        if evidence.override is Vote.KEEP:
            self._change(name, state, ZonePhase.RETURNING, BY_OPERATOR)
            return
        state.votes_for_return = self.now - state.since >= state.hold_down_ms and evidence.engines_answer
        if state.is_fleet_evacuated:
            return
        if state.votes_for_return:
            self._change(name, state, ZonePhase.RETURNING, ENGINES_ANSWER)
        elif self._has_fleet_returned(state, reports, electorate):
            self._change(name, state, ZonePhase.RETURNING, FLEET_RETURNS)
            proposed = lower_median([r.traffic_share for r in reports if r.vote is Vote.KEEP])
            state.traffic_share = max(state.traffic_share, proposed / 4)

    def _has_fleet_returned(self, state: ZoneState, reports: list[ZoneReport], electorate: int) -> bool:
        """Whether more than half have returned while this one, without evidence of its own, has not.

        Only after the fleet had evacuated the zone: before, the many that have not left it yet would look
        like a fleet that returns.
        """
        returned = sum(report.vote is Vote.KEEP for report in reports)
        return state.was_fleet_evacuated and returned >= majority(electorate) and not state.is_certain

    def _is_another_recovering(self, name: str) -> bool:
        """Whether another zone returns, or has just returned."""
        settled_before = self.now - self.settings.settle_ms
        others = [state for other, state in self.states.items() if other != name]
        return any(
            s.phase is ZonePhase.RETURNING or s.phase is ZonePhase.IN_SERVICE and s.since > settled_before
            for s in others
        )

    def _joins_others(
        self, name: str, state: ZoneState, evidence: LocalEvidence, reports: list[ZoneReport], electorate: int
    ) -> bool:
        """Whether to evacuate a zone by others' evidence, as instances with little traffic have to.

        It takes more than a third that are certain, or half of all that suspect the same. And it takes bad
        attempts of its own, or too few attempts to judge by: a zone that is cut off from one half of the
        fleet must not be evacuated by the other. What was seen since the others spoke counts until a bad
        attempt.
        """
        if not self._is_joining_requested(evidence, reports, electorate):
            state.joining_requested_at = math.inf
            return False
        state.joining_requested_at = min(state.joining_requested_at, self.now)
        good, late, bad = evidence.counts
        if good + late >= MIN_HEALTHY_ATTEMPTS and bad <= MAX_HEALTHY_BAD_SHARE * (good + late + bad):
            state.seen_healthy_at = self.now
        is_healthy_now = state.seen_healthy_at == self.now
        was_healthy_since = not bad and state.seen_healthy_at >= state.joining_requested_at
        if is_healthy_now or was_healthy_since:
            return False
        return evidence.health >= ZoneHealth.FAILING or not self._is_another_recovering(name)

    def _is_joining_requested(
        self, evidence: LocalEvidence, reports: list[ZoneReport], electorate: int
    ) -> bool:
        certain = sum(r.vote is Vote.EVACUATE and r.is_certain for r in reports)
        suspecting = evidence.suspects_failure + sum(
            r.suspects_failure or r.vote is Vote.EVACUATE and r.is_certain for r in reports
        )
        enough_certain = certain >= max(MIN_CERTAIN, electorate // 3 + 1)
        return enough_certain or suspecting >= max(MIN_SUSPECTING, majority(electorate))

    def _evacuate(
        self, name: str, state: ZoneState, evidence: LocalEvidence, reason: str, is_certain: bool
    ) -> None:
        """Evacuate a zone; soon after a return that doubles its hold-down. A zone that serves nothing retains
        nothing."""
        s = self.settings
        if self.now - state.return_started_at < s.quiet_ms and reason != BY_OPERATOR:
            state.hold_down_ms = min(state.hold_down_ms * 2, s.max_hold_down_ms)
        retains_nothing = evidence.health is ZoneHealth.DOWN or evidence.override is Vote.EVACUATE
        state.retained_share = 0.0 if retains_nothing else evidence.retained_share
        state.is_certain = is_certain
        self._change(name, state, ZonePhase.EVACUATED, reason)

    def _change(self, name: str, state: ZoneState, phase: ZonePhase, reason: str) -> None:
        state.phase, state.since, state.reason = phase, self.now, reason
        if phase is ZonePhase.RETURNING:
            state.traffic_share = self.settings.initial_share
            state.share_changed_at = state.return_started_at = self.now
            state.is_certain = False
        state.votes_for_return = state.was_fleet_evacuated = False
        self.changes.append(PhaseChange(name, phase, reason))

    def _ramp_up(
        self, name: str, state: ZoneState, evidence: LocalEvidence, reports: list[ZoneReport]
    ) -> None:
        """Double a returning zone's traffic share, keep it, halve it, or give the return up.

        By the attempts of all instances that serve it. Where all zones show bad attempts the fleet is
        overloaded, so a return is judged against the best of the others. An instance whose own link is bad
        does not raise its share, though the others report good attempts. While a queue forms the share is
        halved, since it is the share itself that makes cold engines late.
        """
        s = self.settings
        if state.phase is not ZonePhase.RETURNING or self.now - state.share_changed_at < s.step_ms:
            return
        pooled = pool_counts([evidence.counts, *_counts_of(reports)])
        good, bad, total = pooled.good, pooled.bad, pooled.total
        max_bad_share = max(s.max_bad_share, MAX_BAD_SHARE_RATIO * self.best_bad_share)
        has_failed = pooled.reporters_of_bad >= MIN_BAD_REPORTERS and bad >= 2 and bad > max_bad_share * total
        if evidence.override is None and has_failed:
            self._evacuate(name, state, evidence, RETURN_FAILED, is_certain=True)
            return
        if evidence.counts.bad > max_bad_share * sum(evidence.counts):
            return
        has_enough = total >= s.min_attempts
        is_healthy = (
            has_enough
            and good > s.min_good_ratio * self.best_good_share * total
            and bad <= good * s.max_bad_per_good
        )
        is_only_late = has_enough and bad == 0 and state.traffic_share * 2 <= s.max_share_while_late
        is_idle = not total and self.now - state.share_changed_at >= s.idle_step_ms
        if is_healthy or is_only_late or is_idle:
            state.traffic_share, state.share_changed_at = min(1.0, state.traffic_share * 2), self.now
            if state.traffic_share >= 1.0:
                self._change(name, state, ZonePhase.IN_SERVICE, RETURNED)
            return
        has_queue = bad or state.traffic_share > s.max_share_while_late
        if has_queue and good < s.back_off_ratio * self.best_good_share * total:
            state.traffic_share = max(s.initial_share, state.traffic_share / 2)
            state.share_changed_at = self.now

    def _compare_zones(
        self, evidence: Mapping[str, LocalEvidence], reports: Mapping[str, list[ZoneReport]]
    ) -> None:
        """Note the best shares of good and of bad attempts among the zones in service."""
        good_shares, bad_shares = [0.0], list[float]()
        for name, state in self.states.items():
            if state.phase is not ZonePhase.IN_SERVICE or name not in evidence:
                continue
            pooled = pool_counts([evidence[name].counts, *_counts_of(reports.get(name, []))])
            if pooled.total:
                good_shares.append(pooled.good / pooled.total)
                bad_shares.append(pooled.bad / pooled.total)
        self.best_good_share = max(good_shares) or 1.0
        self.best_bad_share = min(bad_shares, default=0.0)


def _counts_of(reports: Iterable[ZoneReport]) -> list[AttemptCounts]:
    """Attempts of the instances that serve a zone."""
    return [AttemptCounts(r.good, r.late, r.bad) for r in reports if r.vote is Vote.KEEP]
