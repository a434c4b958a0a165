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

from cottonhold.fleet.zone_failover.failure_evidence import Verdict
from cottonhold.fleet.zone_failover.messages import Vote, ZoneReport

Signs = tuple[int, int, int]  # good, late, bad
WELL_LEAST, WELL_BAD = 3, 0.1  # served attempts, and share of bad signs, that speak against joining others


class Phase(Enum):
    """What this instance does with a zone."""

    IN = "in"
    OUT = "out"
    RETURN = "return"


@dataclass(slots=True, frozen=True)
class ZoneSettings:
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

    fresh: float = 2000.0
    hold: float = 2000.0
    hold_most: float = 30_000.0
    quiet: float = 30_000.0
    first: float = 0.03
    step: float = 250.0
    idle: float = 2000.0
    bad_most: float = 0.18
    good_share: float = 0.8
    back_share: float = 0.4
    signs_least: float = 4.0
    bad_rise: float = 0.12
    late_most: float = 0.2
    reserve: float = 0.95
    lonely: float = 10_000.0
    settle: float = 6000.0


@dataclass(slots=True)
class State:
    """One zone as this instance has it."""

    phase: Phase = Phase.IN
    since: float = -math.inf
    sure: bool = False
    willing: bool = False  # out, and for its return
    fleet_out: bool = False
    followed: bool = False  # the fleet was out as well while this instance was
    heard_at: float = 0.0  # when a majority's words were last fresh
    pace: float = 1.0
    stepped_at: float = 0.0
    floor: float = 0.0
    hold: float = 0.0
    returned_at: float = -math.inf
    calm_at: float = 0.0
    called_at: float = math.inf  # since when enough others want it left
    well_at: float = -math.inf  # when own signs last spoke against that
    why: str = ""

    @property
    def vote(self) -> Vote:
        """What it tells."""
        return Vote.EVACUATE if self.phase is Phase.OUT and not self.willing else Vote.KEEP


@dataclass(slots=True, frozen=True)
class Own:
    """What this instance brings to one zone's decision.

    answers: engines of the zone answer probes, as far as anybody asked them. floor: share of the zone's load
    that the others can't carry and it still serves. ordered: by hand, OUT or IN, or nothing.
    """

    verdict: Verdict
    signs: Signs
    accuses: bool
    answers: bool
    floor: float = 0.0
    ordered: Vote | None = None


@dataclass(slots=True, frozen=True)
class Turn:
    """A zone's phase has changed here, for the log and the status."""

    zone: str
    phase: Phase
    why: str


def majority(electorate: int) -> int:
    """So many are more than half."""
    return electorate // 2 + 1


class Zones:
    """The states of all zones. `step` with own evidence and the others' fresh words; then ask `pace`."""

    def __init__(self, settings: ZoneSettings | None = None) -> None:
        self.settings = settings or ZoneSettings()
        self.states: dict[str, State] = {}
        self.turns: list[Turn] = []
        self.now, self.usual, self.usual_bad = 0.0, 1.0, 0.0

    def know(self, names: Iterable[str]) -> None:
        """Exactly these zones are there."""
        self.states = {name: self.states.get(name) or State(hold=self.settings.hold) for name in names}

    def step(
        self, now: float, own: Mapping[str, Own], told: Mapping[str, list[ZoneReport]], electorate: int
    ) -> list[Turn]:
        """Decide. `told`: the others' fresh words by zone; `electorate`: all that count, with this one."""
        self.now, self.turns = now, []
        self._elsewhere(own, told)
        for name, state in self.states.items():
            if name in own:
                self._count(state, told.get(name, []), electorate)
                self._decide(name, state, own[name], told.get(name, []), electorate)
        return self.turns

    def pace(self, name: str, told: Iterable[ZoneReport] = ()) -> float:
        """Share of its full load that all instances together may send to a zone, as this one sees it."""
        state = self.states.get(name)
        if state is None:
            return 1.0
        if state.phase is Phase.OUT or state.fleet_out:
            return state.floor
        if state.phase is Phase.IN:
            return 1.0
        # Danger: one that is quicker than the others, or lies, would set the pace for all. So the lower
        # middle of what all that are back would let it have counts.
        return min(
            state.pace, lower_middle([state.pace, *(z.traffic_share for z in told if z.vote is Vote.KEEP)])
        )

    # --- votes ---

    def _count(self, state: State, told: list[ZoneReport], electorate: int) -> None:
        out = sum(z.vote is Vote.EVACUATE for z in told) + (state.vote is Vote.EVACUATE)
        back = len(told) + 1 - out
        need = majority(electorate)
        if len(told) + 1 >= need:
            state.heard_at = self.now
        if out >= need:
            state.fleet_out = True
        elif back >= need:
            state.fleet_out = False
        elif self.now - state.heard_at > self.settings.lonely:
            state.fleet_out = False  # cut off for long: own evidence, own part
        state.followed = state.followed or state.fleet_out

    def _decide(self, name: str, state: State, own: Own, told: list[ZoneReport], electorate: int) -> None:
        s = self.settings
        sick = own.verdict >= Verdict.SLOW
        if own.verdict < Verdict.FAILING and self._recovering(name):
            sick = False
        if state.phase is Phase.OUT:
            self._stay(name, state, own, told, electorate)
        elif own.ordered is Vote.EVACUATE:
            self._leave(name, state, own, "by hand", sure=True)
        elif own.ordered is Vote.KEEP:
            self._advance(name, state, own, told)
        elif sick:
            self._leave(name, state, own, f"own evidence: {own.verdict.name.lower()}", sure=True)
        elif state.fleet_out:
            self._leave(name, state, own, "the fleet leaves", sure=False)
        elif self._joins(name, state, own, told, electorate):
            self._leave(name, state, own, "others are sure", sure=False)
        elif state.phase is Phase.RETURN:
            self._advance(name, state, own, told)
        elif self.now - max(state.since, state.calm_at) > s.quiet and state.hold > s.hold:
            state.hold, state.calm_at = max(s.hold, state.hold / 2), self.now

    def _stay(self, name: str, state: State, own: Own, told: list[ZoneReport], electorate: int) -> None:
        """Whether it is time for the return."""
        state.floor = own.floor if own.ordered is None else 0.0
        if own.ordered is Vote.EVACUATE:
            return
        if own.ordered is Vote.KEEP:
            self._turn(name, state, Phase.RETURN, "by hand")
            return
        # Danger: the first one whose hold was over went back by itself, found the zone still out by the
        # count, and took that for a return that failed. So it votes for the return, and goes with the
        # majority.
        state.willing = self.now - state.since >= state.hold and own.answers
        if state.fleet_out:
            return
        if state.willing:
            self._turn(name, state, Phase.RETURN, "its engines answer")
        elif self._others_back(state, told, electorate):
            self._turn(name, state, Phase.RETURN, "the fleet returns")
            state.pace = max(
                state.pace, lower_middle([z.traffic_share for z in told if z.vote is Vote.KEEP]) / 4
            )

    def _others_back(self, state: State, told: list[ZoneReport], electorate: int) -> bool:
        """More than half have gone back while this one still stays out, and it has no evidence of its own."""
        # Danger: one that had joined a few before there was a majority took the many that had not left yet
        # for a fleet that returns.
        back = sum(z.vote is Vote.KEEP for z in told)
        return state.followed and back >= majority(electorate) and not state.sure

    def _recovering(self, name: str) -> bool:
        """Another zone comes back, or has just come."""
        # Danger: the one zone that was left to carry all had a long line yet when the first of the others was
        # back with none, looked ill beside it, and was left in its turn.
        late = self.now - self.settings.settle
        others = [state for other, state in self.states.items() if other != name]
        return any(s.phase is Phase.RETURN or s.phase is Phase.IN and s.since > late for s in others)

    def _joins(self, name: str, state: State, own: Own, told: list[ZoneReport], electorate: int) -> bool:
        # Danger: those with little traffic need seconds to be sure, and hold the majority up. Two at least,
        # so that one alone, which lies or has a bad link, never moves another.
        # Where nobody is sure yet, as with three in ten failing, it takes half of all to see the same.
        # Danger: where the zone was cut from half of the fleet one of the other half joined in a moment of
        # few signs, and made the majority. So it takes bad signs of its own, or too few to say.
        sure = sum(z.vote is Vote.EVACUATE and z.is_certain for z in told)
        accuse = (
            sum(z.suspects_failure or z.vote is Vote.EVACUATE and z.is_certain for z in told) + own.accuses
        )
        if sure < max(2, electorate // 3 + 1) and accuse < max(3, majority(electorate)):
            state.called_at = math.inf
            return False
        # Danger: one of the well half that had sent two queries there in the last 1.5 s, both served, joined
        # after five seconds in which it had seen dozens served. So what it saw since the others spoke counts
        # until a bad sign comes.
        state.called_at = min(state.called_at, self.now)
        good, late, bad = own.signs
        if good + late >= WELL_LEAST and bad <= WELL_BAD * (good + late + bad):
            state.well_at = self.now
        contrary = state.well_at == self.now or not bad and state.well_at >= state.called_at
        return not contrary and (own.verdict >= Verdict.FAILING or not self._recovering(name))

    def _leave(self, name: str, state: State, own: Own, why: str, sure: bool) -> None:
        s = self.settings
        if self.now - state.returned_at < s.quiet and why != "by hand":
            state.hold = min(state.hold * 2, s.hold_most)
        state.floor = 0.0 if own.verdict is Verdict.LOST or own.ordered is Vote.EVACUATE else own.floor
        state.sure = sure
        self._turn(name, state, Phase.OUT, why)

    def _turn(self, name: str, state: State, phase: Phase, why: str) -> None:
        state.phase, state.since, state.why = phase, self.now, why
        if phase is Phase.RETURN:
            state.pace, state.stepped_at, state.returned_at = self.settings.first, self.now, self.now
            state.sure = False
        state.willing, state.followed = False, False
        self.turns.append(Turn(name, phase, why))

    # --- return ---

    def _advance(self, name: str, state: State, own: Own, told: list[ZoneReport]) -> None:
        """Double the pace, stand still, or give the return up, by the signs of all that are back."""
        s = self.settings
        if state.phase is not Phase.RETURN or self.now - state.stepped_at < s.step:
            return
        back = [(z.good, z.late, z.bad) for z in told if z.vote is Vote.KEEP]
        (good, late, bad), accusers = pool([own.signs, *back])
        total = good + late + bad
        # Danger: where the whole fleet has more than it can serve, all zones show bad signs, and one that an
        # instance had left alone failed each return for that.
        most = max(s.bad_most, 1.5 * self.usual_bad)
        if own.ordered is None and accusers >= 2 and bad >= 2 and bad > most * total:
            self._leave(name, state, own, "its return failed", sure=True)
            return
        # Danger: one whose own link is bad hears from the others that all is well.
        if own.signs[2] > most * sum(own.signs):
            return
        # Danger: of two or three answers none fails by chance where three in ten do.
        well = (
            total >= s.signs_least and good > s.good_share * self.usual * total and bad <= good * s.bad_rise
        )
        bears = total >= s.signs_least and bad == 0 and state.pace * 2 <= s.late_most
        if well or bears or not total and self.now - state.stepped_at >= s.idle:
            state.pace, state.stepped_at = min(1.0, state.pace * 2), self.now
            if state.pace >= 1.0:
                self._turn(name, state, Phase.IN, "returned")
        elif (bad or state.pace > s.late_most) and good < s.back_share * self.usual * total:
            # Danger: kept up while a line forms, the pace itself makes cold engines late, then bad.
            state.pace, state.stepped_at = max(s.first, state.pace / 2), self.now

    def _elsewhere(self, own: Mapping[str, Own], told: Mapping[str, list[ZoneReport]]) -> None:
        """Shares of good and of bad signs in the best of the zones that are in use."""
        goods, bads = [0.0], list[float]()
        for name, state in self.states.items():
            if state.phase is Phase.IN and name in own:
                words = [(z.good, z.late, z.bad) for z in told.get(name, []) if z.vote is Vote.KEEP]
                (good, late, bad), _ = pool([own[name].signs, *words])
                if good + late + bad:
                    goods.append(good / (good + late + bad))
                    bads.append(bad / (good + late + bad))
        self.usual, self.usual_bad = max(goods) or 1.0, min(bads, default=0.0)


def lower_middle(values: Sequence[float]) -> float:
    """The middle value, of two the lower one."""
    return sorted(values)[(len(values) - 1) // 2]


def pool(counts: Iterable[Signs]) -> tuple[tuple[float, float, float], int]:
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
