"""One price for all: what is worth less a ms of work is turned away, of what stands at it a share. Pure.

See docs/design/overload.md. Each instance computes the price from the same words, so small differences of
sight move only the share of one step, which is drawn by a hash of the request.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from cottonhold.fleet.admission import demand
from cottonhold.fleet.zone_failover.evacuation import lower_median

MAX_COUNTED_REQUESTS = 200.0  # requests that one instance's waits count for


@dataclass(slots=True, frozen=True)
class AdmissionThreshold:
    """step: requests above it are let in, those below turned away, of its own `share`."""

    step: int
    admitted_share: float

    def admits(self, step: int, draw: float) -> bool:
        """Whether a request is let in. draw: of a request, 0 to 1."""
        if step != self.step:
            return step > self.step
        return draw < self.admitted_share


@dataclass(slots=True, frozen=True)
class ThresholdSettings:
    """use: part of the engines' cores that a price fills, at a gain of one: full ones have lines without end.
    begin, end: demand over that at which a price begins and ends. claim: part of the capacity that one
    instance's claim counts for at most. wait: waits aimed at, as a part of the patience, of all requests let
    in; one whose time ran out counts as a whole one. few: so many are taken to have ended beside, with just
    those waits. pull: part of the capacity, for each whole patience that waits are off. learn: of the same a
    second, for what the gain keeps. least, most: bounds of the gain, and of what waits change at once.
    quorum: part of all instances whose words it takes.
    """

    usable_capacity_share: float = 0.97
    begin_ratio: float = 1.1
    end_ratio: float = 0.95
    max_claim_share: float = 0.6
    target_wait: float = 0.2
    wait_correction: float = 1.0
    prior_requests: float = 20.0
    gain_rate: float = 0.1
    min_gain: float = 0.4
    max_gain: float = 1.3
    quorum_share: float = 0.5


def threshold_for(rates: Mapping[int, float], capacity: float) -> AdmissionThreshold | None:
    """Where the demand, densest first, passes the capacity; None if it never does. Both in cores."""
    left = capacity
    for step in sorted(rates, reverse=True):
        if rates[step] > left:
            return AdmissionThreshold(step, max(left, 0.0) / rates[step])
        left -= rates[step]
    return None


@dataclass(slots=True)
class ReportedLoad:
    """One instance's word on load: its demand by step in cores, the gain that it would have, how many of the
    requests that it let in ended lately, and their mean wait as a part of their patience."""

    rates: Mapping[int, float]
    gain: float = 1.0
    finished_requests: float = 0.0
    mean_wait: float = 0.0


class ThresholdController:
    """One instance's price. Feed it what became of requests let in; `step` it with the others' words."""

    def __init__(self, now: float, settings: ThresholdSettings | None = None) -> None:
        self.settings = settings or ThresholdSettings()
        self.gain, self.updated_at = 1.0, now
        self.threshold: AdmissionThreshold | None = None
        self.admitted_requests, self.waits = 0.0, 0.0
        self.wait_error = 0.0  # waits beyond those aimed at, in whole patiences

    def on_admitted(self, wait: float, lost: bool) -> None:
        """A request that was let in went out after `wait`, a part of its patience, or its time ran out."""
        self.admitted_requests += 1
        self.waits += 1.0 if lost else min(wait, 1.0)

    def report(self, rates: Mapping[int, float]) -> ReportedLoad:
        """What to tell the others."""
        return ReportedLoad(
            rates, self.gain, self.admitted_requests, self.waits / max(self.admitted_requests, 1e-9)
        )

    def step(
        self, now: float, own: ReportedLoad, others: Iterable[ReportedLoad], alive: int, capacity: float
    ) -> AdmissionThreshold | None:
        """The price from now on. alive: instances with this one; capacity: cores of the engines in use."""
        s, told = self.settings, [own, *others]
        self._adapt(now, told)
        if len(told) <= s.quorum_share * alive or capacity <= 0:
            # Danger: by the words of a few, a price for all would turn away what the fleet can serve.
            self.threshold = None
            return None
        most = s.max_claim_share * capacity if len(told) > 2 else math.inf
        rates = demand.merge_rates([t.rates for t in told], most)
        unheard = alive / len(told)
        rates = {step: work * unheard for step, work in rates.items()}
        # Danger: by the gain alone, a sum of waits that are themselves a sum of what was too much, all let in
        # half and twice of it by turns. So waits change it at once, and the gain slowly.
        pull = min(max(1 - s.wait_correction * self.wait_error, s.min_gain), s.max_gain)
        room = (
            capacity * s.usable_capacity_share * pull * lower_median([self.gain, *(t.gain for t in told[1:])])
        )
        over = sum(rates.values()) / room
        if over > (s.end_ratio if self.threshold is not None else s.begin_ratio):
            # Within the hysteresis the price is one that turns nobody away, and the gain goes on.
            self.threshold = threshold_for(rates, room) or AdmissionThreshold(0, 1.0)
        else:
            self.threshold = None
        return self.threshold

    def _adapt(self, now: float, told: list[ReportedLoad]) -> None:
        """The gain follows what the requests that were let in met, at all instances."""
        # Danger: by what each alone met, gains ran apart: one that few clients come to waits for nothing.
        s, passed = self.settings, min((now - self.updated_at) / 1000, 1.0)
        self.updated_at = now
        ended = sum(min(t.finished_requests, MAX_COUNTED_REQUESTS) for t in told)
        waits = sum(min(t.finished_requests, MAX_COUNTED_REQUESTS) * t.mean_wait for t in told)
        # Danger: by the waits of its first few requests, which were sent at once, one that had just started
        # took a fifth more than there was, and let in what the others refused.
        self.wait_error = (waits - s.target_wait * ended) / (ended + s.prior_requests)
        if self.threshold is None:
            # Danger: kept from the last overload, a gain would misjudge the next one.
            self.gain += (1.0 - self.gain) * min(passed / 5, 1.0)
        else:
            self.gain -= s.gain_rate * self.wait_error * passed
        self.gain = min(max(self.gain, s.min_gain), s.max_gain)
        kept = math.exp(-passed)
        self.admitted_requests, self.waits = self.admitted_requests * kept, self.waits * kept
