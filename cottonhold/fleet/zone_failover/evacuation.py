"""Which zones are left, by this instance and by the fleet, and how much a zone in return may have. Pure.

Each instance has a state for each zone and tells it as a vote. It leaves at once by its own evidence, alone
if need be. It joins where more than a third are sure and it has nothing to say against it, and it follows
where more than half of the electorate vote so. The way back starts by the same count. See
docs/design/zones.md.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from enum import Enum

from cottonhold.fleet.zone_failover.failure_evidence import ZoneHealth
from cottonhold.fleet.zone_failover.messages import Vote, ZoneReport

Signs = tuple[int, int, int]  # good, late, bad
OWN_EVIDENCE = {
    ZoneHealth.SLOW: "own evidence: slow",
    ZoneHealth.FAILING: "own evidence: failing",
    ZoneHealth.DOWN: "own evidence: lost",
}
WELL_LEAST, WELL_BAD = 3, 0.1  # served attempts, and share of bad signs, that speak against joining others


class Phase(Enum):
    """What this instance does with a zone."""

    IN_SERVICE = "in"
    EVACUATED = "out"
    RETURNING = "return"


@dataclass(slots=True, frozen=True)
class EvacuationSettings:
    """Times in ms.

    fresh: so old may a word be that moves anybody: several rounds of words, a lost one among them.
    hold: so long a zone is left at least; doubled by each return that failed, up to hold_most, and halved by
    each quiet. first: the share of its full load that a return begins with. step: a return's pace may double
    so often. idle: without any sign it doubles only so often, so that a fleet without load isn't bound for
    good. bad_most: share of bad signs over all instances from which a return has failed. good_share: part of
    the share of good ones elsewhere from which its pace doubles; under back_share it is halved.
    signs_least: so many signs it takes at least, and
    bad_rise: at most so many bad ones to each good one. late_most: so far it rises also while answers are
    only late, since cold engines bear that much. reserve: of the other zones' room that is planned for.
    lonely: so long without a majority's word, an instance that is cut off decides on the return by itself.
    settle: so long after a zone's return lines elsewhere may still be long.
    """

    max_report_age_ms: float = 2000.0
    hold_ms: float = 2000.0
    max_hold_ms: float = 30_000.0
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


@dataclass(slots=True)
class ZoneState:
    """One zone as this instance has it."""

    phase: Phase = Phase.IN_SERVICE
    since: float = -math.inf
    is_certain: bool = False
    wants_return: bool = False  # out, and for its return
    is_fleet_evacuated: bool = False
    was_fleet_evacuated: bool = False  # the fleet was out as well while this instance was
    majority_heard_at: float = 0.0  # when a majority's words were last fresh
    traffic_share: float = 1.0
    share_changed_at: float = 0.0
    retained_share: float = 0.0
    hold_ms: float = 0.0
    return_started_at: float = -math.inf
    hold_reduced_at: float = 0.0
    joining_requested_at: float = math.inf  # since when enough others want it left
    seen_healthy_at: float = -math.inf  # when own signs last spoke against that
    reason: str = ""

    @property
    def vote(self) -> Vote:
        """What it tells."""
        return Vote.EVACUATE if self.phase is Phase.EVACUATED and not self.wants_return else Vote.KEEP


@dataclass(slots=True, frozen=True)
class LocalEvidence:
    """What this instance brings to one zone's decision.

    answers: engines of the zone answer probes, as far as anybody asked them. floor: share of the zone's load
    that the others can't carry and it still serves. ordered: by hand, OUT or IN, or nothing.
    """

    health: ZoneHealth
    counts: Signs
    suspects_failure: bool
    engines_answer: bool
    retained_share: float = 0.0
    override: Vote | None = None


@dataclass(slots=True, frozen=True)
class PhaseChange:
    """A zone's phase has changed here, for the log and the status."""

    zone: str
    phase: Phase
    reason: str


def majority(electorate: int) -> int:
    """So many are more than half."""
    return electorate // 2 + 1


class Evacuation:
    """The states of all zones. `step` with own evidence and the others' fresh words; then ask `pace`."""

    def __init__(self, settings: EvacuationSettings | None = None) -> None:
        self.settings = settings or EvacuationSettings()
        self.states: dict[str, ZoneState] = {}
        self.changes: list[PhaseChange] = []
        self.now, self.usual, self.usual_bad = 0.0, 1.0, 0.0

    def set_zones(self, names: Iterable[str]) -> None:
        """Exactly these zones are there."""
        self.states = {
            name: self.states.get(name) or ZoneState(hold_ms=self.settings.hold_ms) for name in names
        }

    def step(
        self,
        now: float,
        own: Mapping[str, LocalEvidence],
        told: Mapping[str, list[ZoneReport]],
        electorate: int,
    ) -> list[PhaseChange]:
        """Decide. `told`: the others' fresh words by zone; `electorate`: all that count, with this one."""
        self.now, self.changes = now, []
        self._elsewhere(own, told)
        for name, state in self.states.items():
            if name in own:
                self._count(state, told.get(name, []), electorate)
                self._decide(name, state, own[name], told.get(name, []), electorate)
        return self.changes

    def traffic_share(self, name: str, told: Iterable[ZoneReport] = ()) -> float:
        """Share of its full load that all instances together may send to a zone, as this one sees it."""
        state = self.states.get(name)
        if state is None:
            return 1.0
        if state.phase is Phase.EVACUATED or state.is_fleet_evacuated:
            return state.retained_share
        if state.phase is Phase.IN_SERVICE:
            return 1.0
        # Danger: one that is quicker than the others, or lies, would set the pace for all. So the lower
        # middle of what all that are back would let it have counts.
        return min(
            state.traffic_share,
            lower_median([state.traffic_share, *(z.traffic_share for z in told if z.vote is Vote.KEEP)]),
        )

    # --- votes ---

    def _count(self, state: ZoneState, told: list[ZoneReport], electorate: int) -> None:
        out = sum(z.vote is Vote.EVACUATE for z in told) + (state.vote is Vote.EVACUATE)
        back = len(told) + 1 - out
        need = majority(electorate)
        if len(told) + 1 >= need:
            state.majority_heard_at = self.now
        if out >= need:
            state.is_fleet_evacuated = True
        elif back >= need:
            state.is_fleet_evacuated = False
        elif self.now - state.majority_heard_at > self.settings.isolation_ms:
            state.is_fleet_evacuated = False  # cut off for long: own evidence, own part
        state.was_fleet_evacuated = state.was_fleet_evacuated or state.is_fleet_evacuated

    def _decide(
        self, name: str, state: ZoneState, own: LocalEvidence, told: list[ZoneReport], electorate: int
    ) -> None:
        s = self.settings
        sick = own.health >= ZoneHealth.SLOW
        if own.health < ZoneHealth.FAILING and self._recovering(name):
            sick = False
        if state.phase is Phase.EVACUATED:
            self._stay(name, state, own, told, electorate)
        elif own.override is Vote.EVACUATE:
            self._leave(name, state, own, "by hand", sure=True)
        elif own.override is Vote.KEEP:
            self._advance(name, state, own, told)
        elif sick:
            self._leave(name, state, own, OWN_EVIDENCE[own.health], sure=True)
        elif state.is_fleet_evacuated:
            self._leave(name, state, own, "the fleet leaves", sure=False)
        elif self._joins(name, state, own, told, electorate):
            self._leave(name, state, own, "others are sure", sure=False)
        elif state.phase is Phase.RETURNING:
            self._advance(name, state, own, told)
        elif self.now - max(state.since, state.hold_reduced_at) > s.quiet_ms and state.hold_ms > s.hold_ms:
            state.hold_ms, state.hold_reduced_at = max(s.hold_ms, state.hold_ms / 2), self.now

    def _stay(
        self, name: str, state: ZoneState, own: LocalEvidence, told: list[ZoneReport], electorate: int
    ) -> None:
        """Whether it is time for the return."""
        state.retained_share = own.retained_share if own.override is None else 0.0
        if own.override is Vote.EVACUATE:
            return
        if own.override is Vote.KEEP:
            self._turn(name, state, Phase.RETURNING, "by hand")
            return
        # Danger: the first one whose hold was over went back by itself, found the zone still out by the
        # count, and took that for a return that failed. So it votes for the return, and goes with the
        # majority.
        state.wants_return = self.now - state.since >= state.hold_ms and own.engines_answer
        if state.is_fleet_evacuated:
            return
        if state.wants_return:
            self._turn(name, state, Phase.RETURNING, "its engines answer")
        elif self._others_back(state, told, electorate):
            self._turn(name, state, Phase.RETURNING, "the fleet returns")
            state.traffic_share = max(
                state.traffic_share, lower_median([z.traffic_share for z in told if z.vote is Vote.KEEP]) / 4
            )

    def _others_back(self, state: ZoneState, told: list[ZoneReport], electorate: int) -> bool:
        """More than half have gone back while this one still stays out, and it has no evidence of its own."""
        # Danger: one that had joined a few before there was a majority took the many that had not left yet
        # for a fleet that returns.
        back = sum(z.vote is Vote.KEEP for z in told)
        return state.was_fleet_evacuated and back >= majority(electorate) and not state.is_certain

    def _recovering(self, name: str) -> bool:
        """Another zone comes back, or has just come."""
        # Danger: the one zone that was left to carry all had a long line yet when the first of the others was
        # back with none, looked ill beside it, and was left in its turn.
        late = self.now - self.settings.settle_ms
        others = [state for other, state in self.states.items() if other != name]
        return any(
            s.phase is Phase.RETURNING or s.phase is Phase.IN_SERVICE and s.since > late for s in others
        )

    def _joins(
        self, name: str, state: ZoneState, own: LocalEvidence, told: list[ZoneReport], electorate: int
    ) -> bool:
        # Danger: those with little traffic need seconds to be sure, and hold the majority up. Two at least,
        # so that one alone, which lies or has a bad link, never moves another.
        # Where nobody is sure yet, as with three in ten failing, it takes half of all to see the same.
        # Danger: where the zone was cut from half of the fleet one of the other half joined in a moment of
        # few signs, and made the majority. So it takes bad signs of its own, or too few to say.
        sure = sum(z.vote is Vote.EVACUATE and z.is_certain for z in told)
        accuse = (
            sum(z.suspects_failure or z.vote is Vote.EVACUATE and z.is_certain for z in told)
            + own.suspects_failure
        )
        if sure < max(2, electorate // 3 + 1) and accuse < max(3, majority(electorate)):
            state.joining_requested_at = math.inf
            return False
        # Danger: one of the well half that had sent two queries there in the last 1.5 s, both served, joined
        # after five seconds in which it had seen dozens served. So what it saw since the others spoke counts
        # until a bad sign comes.
        state.joining_requested_at = min(state.joining_requested_at, self.now)
        good, late, bad = own.counts
        if good + late >= WELL_LEAST and bad <= WELL_BAD * (good + late + bad):
            state.seen_healthy_at = self.now
        contrary = (
            state.seen_healthy_at == self.now
            or not bad
            and state.seen_healthy_at >= state.joining_requested_at
        )
        return not contrary and (own.health >= ZoneHealth.FAILING or not self._recovering(name))

    def _leave(self, name: str, state: ZoneState, own: LocalEvidence, why: str, sure: bool) -> None:
        s = self.settings
        if self.now - state.return_started_at < s.quiet_ms and why != "by hand":
            state.hold_ms = min(state.hold_ms * 2, s.max_hold_ms)
        state.retained_share = (
            0.0 if own.health is ZoneHealth.DOWN or own.override is Vote.EVACUATE else own.retained_share
        )
        state.is_certain = sure
        self._turn(name, state, Phase.EVACUATED, why)

    def _turn(self, name: str, state: ZoneState, phase: Phase, why: str) -> None:
        state.phase, state.since, state.reason = phase, self.now, why
        if phase is Phase.RETURNING:
            state.traffic_share, state.share_changed_at, state.return_started_at = (
                self.settings.initial_share,
                self.now,
                self.now,
            )
            state.is_certain = False
        state.wants_return, state.was_fleet_evacuated = False, False
        self.changes.append(PhaseChange(name, phase, why))

    # --- return ---

    def _advance(self, name: str, state: ZoneState, own: LocalEvidence, told: list[ZoneReport]) -> None:
        """Double the pace, stand still, or give the return up, by the signs of all that are back."""
        s = self.settings
        if state.phase is not Phase.RETURNING or self.now - state.share_changed_at < s.step_ms:
            return
        back = [(z.good, z.late, z.bad) for z in told if z.vote is Vote.KEEP]
        (good, late, bad), accusers = pool_counts([own.counts, *back])
        total = good + late + bad
        # Danger: where the whole fleet has more than it can serve, all zones show bad signs, and one that an
        # instance had left alone failed each return for that.
        most = max(s.max_bad_share, 1.5 * self.usual_bad)
        if own.override is None and accusers >= 2 and bad >= 2 and bad > most * total:
            self._leave(name, state, own, "its return failed", sure=True)
            return
        # Danger: one whose own link is bad hears from the others that all is well.
        if own.counts[2] > most * sum(own.counts):
            return
        # Danger: of two or three answers none fails by chance where three in ten do.
        well = (
            total >= s.min_attempts
            and good > s.min_good_ratio * self.usual * total
            and bad <= good * s.max_bad_per_good
        )
        bears = total >= s.min_attempts and bad == 0 and state.traffic_share * 2 <= s.max_share_while_late
        if well or bears or not total and self.now - state.share_changed_at >= s.idle_step_ms:
            state.traffic_share, state.share_changed_at = min(1.0, state.traffic_share * 2), self.now
            if state.traffic_share >= 1.0:
                self._turn(name, state, Phase.IN_SERVICE, "returned")
        elif (
            bad or state.traffic_share > s.max_share_while_late
        ) and good < s.back_off_ratio * self.usual * total:
            # Danger: kept up while a line forms, the pace itself makes cold engines late, then bad.
            state.traffic_share, state.share_changed_at = (
                max(s.initial_share, state.traffic_share / 2),
                self.now,
            )

    def _elsewhere(self, own: Mapping[str, LocalEvidence], told: Mapping[str, list[ZoneReport]]) -> None:
        """Shares of good and of bad signs in the best of the zones that are in use."""
        goods, bads = [0.0], list[float]()
        for name, state in self.states.items():
            if state.phase is Phase.IN_SERVICE and name in own:
                words = [(z.good, z.late, z.bad) for z in told.get(name, []) if z.vote is Vote.KEEP]
                (good, late, bad), _ = pool_counts([own[name].counts, *words])
                if good + late + bad:
                    goods.append(good / (good + late + bad))
                    bads.append(bad / (good + late + bad))
        self.usual, self.usual_bad = max(goods) or 1.0, min(bads, default=0.0)


def lower_median(values: Sequence[float]) -> float:
    """The middle value, of two the lower one."""
    return sorted(values)[(len(values) - 1) // 2]


def pool_counts(counts: Iterable[Signs]) -> tuple[tuple[float, float, float], int]:
    """Good, late and bad signs of several, and how many of them tell of bad ones.

    Danger: one that claims hundreds of signs would speak for all. So each counts for at most three, or half
    as much as all the others together.
    """
    told = [signs for signs in counts if sum(signs)]
    total, added = sum(map(sum, told)), [0.0, 0.0, 0.0]
    for signs in told:
        scale = min(1.0, max(3.0, (total - sum(signs)) / 2) / sum(signs))
        added = [sum_ + n * scale for sum_, n in zip(added, signs, strict=True)]
    return (added[0], added[1], added[2]), sum(signs[2] > 0 for signs in told)
