"""Decide which zones to evacuate and how much traffic a returning zone gets; does no I/O.

Each instance keeps a state for each zone and reports it to the others as a vote. Unless an operator's
override decides, an instance evacuates a zone in one of these cases:

- its own evidence shows that the zone is unhealthy; this needs no agreement from others
- more than a third of the electorate are certain, or more than half suspect a failure, and the instance's own
  attempts do not show a healthy zone
- more than half of the electorate vote for the evacuation
- the zone is returning, and the attempts of all instances there show that the return has failed

The fleet's evacuation of a zone begins when more than half of the electorate vote for it and ends when more
than half vote against it; then the return may start. See docs/design/zones.md.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from cottonhold.fleet.zone_failover.attempt_pool import lower_median, pool_counts
from cottonhold.fleet.zone_failover.failure_evidence import AttemptCounts, ZoneHealth
from cottonhold.fleet.zone_failover.messages import Vote, ZoneReport
from cottonhold.fleet.zone_failover.zone_state import LocalEvidence, PhaseChange, ZonePhase, ZoneState

# An instance does not join others in an evacuation while it sees at least this many served attempts and at
# most this share of bad ones.
MIN_HEALTHY_ATTEMPTS = 3
MAX_HEALTHY_BAD_SHARE = 0.1
# Certain votes needed to join others; a single instance may be faulty or have a bad network link.
MIN_CERTAIN = 2
MIN_SUSPECTING = 3  # suspecting instances needed to join others
MIN_BAD_REPORTERS = 2  # instances with bad attempts needed to declare a return failed
# A return may have this many times the share of bad attempts of the best zone in service.
MAX_BAD_SHARE_RATIO = 1.5

# Reasons for a change of phase, as shown to operators.
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
    """Thresholds and times of evacuations and returns.

    The traffic share of a returning zone is the part of its full load that it may get, from 0 to 1. "Bad" and
    "good" attempts are those of `AttemptCounts`.

    Attributes:
        max_report_age_ms: Age above which reports of others are ignored, in ms. It covers several report
            rounds, so that a lost message changes nothing.
        hold_down_ms: Time after an evacuation until this instance votes for the return, in ms. Each failed
            return doubles it.
        max_hold_down_ms: Upper limit of the doubled hold-down, in ms.
        quiet_ms: Time without a failed return after which a doubled hold-down is halved, in ms. A return has
            failed if the zone is evacuated again within this time of its start.
        initial_share: Traffic share with which a return starts.
        step_ms: Minimum time between two changes of the traffic share, in ms.
        idle_step_ms: Time between two increases while the zone receives no attempts, in ms. Without them, a
            fleet without load would stay limited for ever.
        max_bad_share: Share of bad attempts, over all instances, above which a return has failed.
        min_good_ratio: The traffic share doubles while the zone's share of good attempts is above this
            fraction of that of the best zone in service.
        back_off_ratio: The traffic share is halved while the zone's share of good attempts is below this
            fraction of that of the best zone in service.
        min_attempts: Minimum number of attempts, over all instances, for the traffic share to double.
        max_bad_per_good: Maximum number of bad attempts for each good one for the traffic share to double.
        max_share_while_late: Limit up to which the traffic share also doubles while attempts are late but
            none is bad. Cold engines can serve that much.
        usable_capacity_share: Fraction of the other zones' cores that an evacuation may plan to use.
        isolation_ms: Time without reports from a majority after which an instance no longer waits for the
            fleet's votes before a return, in ms.
        settle_ms: Time after a zone's return during which queues in other zones may still be long, in ms.
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
    """Return the smallest number of voters that is more than half of the electorate."""
    return electorate // 2 + 1


class Evacuation:
    """Keeps the state of each zone and decides on evacuations and returns.

    Call `step` regularly with local evidence and the reports of other instances; `traffic_share` then returns
    the traffic that each zone may get.
    """

    def __init__(self, settings: EvacuationSettings | None = None) -> None:
        self.settings = settings or EvacuationSettings()
        self.states: dict[str, ZoneState] = {}
        self.changes: list[PhaseChange] = []
        self.now = 0.0
        self.highest_good_share = 1.0  # highest share of good attempts among the zones in service
        self.lowest_bad_share = 0.0  # lowest share of bad attempts among the zones in service

    def set_zones(self, names: Iterable[str]) -> None:
        """Replace the set of zones; zones that stay keep their state."""
        hold_down_ms = self.settings.hold_down_ms
        self.states = {name: self.states.get(name) or ZoneState(hold_down_ms=hold_down_ms) for name in names}

    def step(
        self,
        now: float,
        evidence: Mapping[str, LocalEvidence],
        reports: Mapping[str, list[ZoneReport]],
        electorate: int,
    ) -> list[PhaseChange]:
        """Update the state of each zone.

        Args:
            now: Current time, in ms.
            evidence: This instance's evidence by zone; zones without an entry are not changed.
            reports: Fresh reports of the other voters by zone.
            electorate: Number of voters. This instance's vote is counted even if it is not one of them.

        Returns:
            The zones whose phase changed in this step.
        """
        self.now, self.changes = now, []
        self._compare_zones(evidence, reports)
        for name, state in self.states.items():
            if name in evidence:
                self._count_votes(state, reports.get(name, []), electorate)
                self._decide(name, state, evidence[name], reports.get(name, []), electorate)
        return self.changes

    def traffic_share(self, name: str, reports: Iterable[ZoneReport] = ()) -> float:
        """Return the share of a zone's full load that all instances together may send to it.

        A returning zone gets at most the lower median of the shares that all instances serving it propose, so
        that a single faulty or faster instance does not determine the result.
        """
        state = self.states.get(name)
        if state is None:
            return 1.0
        if state.phase is ZonePhase.EVACUATED or state.is_fleet_evacuated:
            return state.retained_share
        if state.phase is ZonePhase.IN_SERVICE:
            return 1.0
        proposed = [report.traffic_share for report in reports if report.vote is Vote.SERVE]
        return min(state.traffic_share, lower_median([state.traffic_share, *proposed]))

    def _count_votes(self, state: ZoneState, reports: list[ZoneReport], electorate: int) -> None:
        """Count the votes and record whether the fleet evacuates the zone.

        An instance that has been isolated for `isolation_ms` decides by its own evidence; the quota that it
        owns limits what it can send.
        """
        evacuate_votes = sum(r.vote is Vote.EVACUATE for r in reports) + (state.vote is Vote.EVACUATE)
        serve_votes = len(reports) + 1 - evacuate_votes
        needed = majority(electorate)
        if len(reports) + 1 >= needed:
            state.majority_reachable_at = self.now
        is_isolated = self.now - state.majority_reachable_at > self.settings.isolation_ms
        if evacuate_votes >= needed:
            state.is_fleet_evacuated = True
        elif serve_votes >= needed or is_isolated:
            state.is_fleet_evacuated = False
        state.was_fleet_evacuated = state.was_fleet_evacuated or state.is_fleet_evacuated

    def _decide(
        self, name: str, state: ZoneState, evidence: LocalEvidence, reports: list[ZoneReport], electorate: int
    ) -> None:
        """Apply an operator's override first, then local evidence, then the votes of the fleet."""
        if state.phase is ZonePhase.EVACUATED:
            self._decide_return(name, state, evidence, reports, electorate)
        elif evidence.override is Vote.EVACUATE:
            self._evacuate(name, state, evidence, BY_OPERATOR, is_certain=True)
        elif evidence.override is Vote.SERVE:
            self._ramp_up(name, state, evidence, reports)
        elif self._is_unhealthy(name, evidence.health):
            self._evacuate(name, state, evidence, EVIDENCE_REASONS[evidence.health], is_certain=True)
        elif state.is_fleet_evacuated:
            self._evacuate(name, state, evidence, FLEET_EVACUATES, is_certain=False)
        elif self._should_join_others(name, state, evidence, reports, electorate):
            self._evacuate(name, state, evidence, OTHERS_CERTAIN, is_certain=False)
        elif state.phase is ZonePhase.RETURNING:
            self._ramp_up(name, state, evidence, reports)
        else:
            self._reduce_hold_down(state)

    def _is_unhealthy(self, name: str, health: ZoneHealth) -> bool:
        """Return whether local evidence alone is enough to evacuate the zone.

        Slowness is not enough while another zone recovers: the zones that carried its load may still have
        long queues.
        """
        if health < ZoneHealth.FAILING and self._is_another_recovering(name):
            return False
        return health >= ZoneHealth.SLOW

    def _reduce_hold_down(self, state: ZoneState) -> None:
        """Halve a hold-down time that was doubled after failed returns, once per quiet period."""
        settings, quiet_since = self.settings, max(state.since, state.hold_down_reduced_at)
        if self.now - quiet_since > settings.quiet_ms and state.hold_down_ms > settings.hold_down_ms:
            state.hold_down_ms = max(settings.hold_down_ms, state.hold_down_ms / 2)
            state.hold_down_reduced_at = self.now

    def _decide_return(
        self, name: str, state: ZoneState, evidence: LocalEvidence, reports: list[ZoneReport], electorate: int
    ) -> None:
        """Start the return of an evacuated zone if it is due.

        An instance whose hold-down is over votes for the return and waits for the majority. If it returned
        alone, the fleet's votes would make it evacuate the zone again, which would be recorded as a failed
        return.
        """
        state.retained_share = evidence.retained_share if evidence.override is None else 0.0
        if evidence.override is Vote.EVACUATE:
            return
        if evidence.override is Vote.SERVE:
            self._change(name, state, ZonePhase.RETURNING, BY_OPERATOR)
            return
        state.votes_for_return = self.now - state.since >= state.hold_down_ms and evidence.engines_answer
        if state.is_fleet_evacuated:
            return
        if state.votes_for_return:
            self._change(name, state, ZonePhase.RETURNING, ENGINES_ANSWER)
        elif self._has_fleet_returned(state, reports, electorate):
            self._change(name, state, ZonePhase.RETURNING, FLEET_RETURNS)
            proposed = lower_median([r.traffic_share for r in reports if r.vote is Vote.SERVE])
            state.traffic_share = max(state.traffic_share, proposed / 4)

    def _has_fleet_returned(self, state: ZoneState, reports: list[ZoneReport], electorate: int) -> bool:
        """Return whether the fleet has returned to a zone that this instance evacuated by others' evidence.

        This requires that the fleet had evacuated the zone. Before that, the instances that have not yet
        evacuated it would look like a fleet that has returned.
        """
        returned = sum(report.vote is Vote.SERVE for report in reports)
        return state.was_fleet_evacuated and returned >= majority(electorate) and not state.is_certain

    def _is_another_recovering(self, name: str) -> bool:
        """Return whether another zone is returning or returned less than `settle_ms` ago."""
        settled_before = self.now - self.settings.settle_ms
        others = [state for other, state in self.states.items() if other != name]
        return any(
            state.phase is ZonePhase.RETURNING
            or state.phase is ZonePhase.IN_SERVICE
            and state.since > settled_before
            for state in others
        )

    def _should_join_others(
        self, name: str, state: ZoneState, evidence: LocalEvidence, reports: list[ZoneReport], electorate: int
    ) -> bool:
        """Return whether to evacuate a zone by the evidence of others.

        Instances with little traffic depend on this. It requires that more than a third of the electorate are
        certain or that more than half suspect a failure. This instance's own attempts must also not show a
        healthy zone: a zone that only one half of the fleet cannot reach must not be evacuated by the other
        half. Healthy attempts seen since the others began to report a failure block the evacuation until
        there is a bad attempt.
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
        """Evacuate a zone, and double its hold-down if that happens soon after the start of a return.

        A zone that is down or evacuated by an operator retains no traffic.
        """
        settings = self.settings
        if self.now - state.return_started_at < settings.quiet_ms and reason != BY_OPERATOR:
            state.hold_down_ms = min(state.hold_down_ms * 2, settings.max_hold_down_ms)
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
        """Double, keep or halve a returning zone's traffic share, or evacuate the zone again.

        The attempts of all instances that serve the zone are compared with the best zone in service, because
        bad attempts in all zones mean overload. An instance with too many bad attempts of its own keeps its
        share, because its network link may be faulty. The share is halved while a queue forms, because the
        traffic itself makes cold engines late.
        """
        settings = self.settings
        if state.phase is not ZonePhase.RETURNING or self.now - state.share_changed_at < settings.step_ms:
            return
        pooled = pool_counts([evidence.counts, *_counts_of(reports)])
        good, bad, total = pooled.good, pooled.bad, pooled.total
        max_bad_share = max(settings.max_bad_share, MAX_BAD_SHARE_RATIO * self.lowest_bad_share)
        has_failed = pooled.bad_reporters >= MIN_BAD_REPORTERS and bad >= 2 and bad > max_bad_share * total
        if evidence.override is None and has_failed:
            self._evacuate(name, state, evidence, RETURN_FAILED, is_certain=True)
            return
        if evidence.counts.bad > max_bad_share * sum(evidence.counts):
            return
        has_enough = total >= settings.min_attempts
        is_healthy = (
            has_enough
            and good > settings.min_good_ratio * self.highest_good_share * total
            and bad <= good * settings.max_bad_per_good
        )
        is_only_late = has_enough and bad == 0 and state.traffic_share * 2 <= settings.max_share_while_late
        is_idle = not total and self.now - state.share_changed_at >= settings.idle_step_ms
        if is_healthy or is_only_late or is_idle:
            state.traffic_share, state.share_changed_at = min(1.0, state.traffic_share * 2), self.now
            if state.traffic_share >= 1.0:
                self._change(name, state, ZonePhase.IN_SERVICE, RETURNED)
            return
        has_queue = bad or state.traffic_share > settings.max_share_while_late
        if has_queue and good < settings.back_off_ratio * self.highest_good_share * total:
            state.traffic_share = max(settings.initial_share, state.traffic_share / 2)
            state.share_changed_at = self.now

    def _compare_zones(
        self, evidence: Mapping[str, LocalEvidence], reports: Mapping[str, list[ZoneReport]]
    ) -> None:
        """Record the best shares of good and of bad attempts among the zones in service."""
        good_shares, bad_shares = [0.0], list[float]()
        for name, state in self.states.items():
            if state.phase is not ZonePhase.IN_SERVICE or name not in evidence:
                continue
            pooled = pool_counts([evidence[name].counts, *_counts_of(reports.get(name, []))])
            if pooled.total:
                good_shares.append(pooled.good / pooled.total)
                bad_shares.append(pooled.bad / pooled.total)
        self.highest_good_share = max(good_shares) or 1.0
        self.lowest_bad_share = min(bad_shares, default=0.0)


def _counts_of(reports: Iterable[ZoneReport]) -> list[AttemptCounts]:
    """Return the attempt counts of the instances that vote to keep the zone in service."""
    return [AttemptCounts(r.good, r.late, r.bad) for r in reports if r.vote is Vote.SERVE]
