"""An engine under slow start: this instance's observations of it, and how its share changes; does no I/O."""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field
from typing import NamedTuple

from cottonhold.fleet.recovery.slow_start_settings import SlowStartSettings
from cottonhold.fleet.recovery.warmup_messages import (
    UNLIMITED_SHARE,
    WINDOW_MS,
    EngineObservation,
    PooledObservation,
    upper_quartile,
)

MIN_OBSERVED_MS = 100.0  # minimum time over which a rate is computed
MIN_ELAPSED_MS = 0.1


class Answer(NamedTuple):
    """A successful answer: its time of arrival, its work as a warm engine would need, and how long it
    took."""

    answered_at: float
    work_ms: float
    elapsed_ms: float


@dataclass(slots=True)
class WarmingEngine:
    """An engine that is not known to be warm; times are in ms.

    Attributes:
        cores: The engine's cores.
        number: The engine's number on the wire.
        share: Part of its full capacity that all instances together may send.
        started_at: When it started, as far as is known.
        not_before: Observations by instances that assume an earlier start belong to an earlier incarnation.
        has_answered: Whether it is listed or has answered, so that work may be sent to it.
        was_tried: Whether a health check or an attempt has ended here, or a check has succeeded elsewhere.
        answers: Successful answers within the window.
        updated_at: When its share was last updated.
        warm_since: Since when it has shown the speed of a warm engine.
        observation: This instance's observation at the last step.
    """

    cores: float
    number: int
    share: float
    started_at: float
    not_before: float = -math.inf
    has_answered: bool = False
    was_tried: bool = False
    answers: deque[Answer] = field(default_factory=deque)
    updated_at: float = 0.0
    warm_since: float = math.inf
    observation: EngineObservation = EngineObservation(0.0, 0.0, 0.0, 0.0)

    def observe(self, now: float) -> EngineObservation:
        """Return what this instance observed within the window."""
        while self.answers and self.answers[0].answered_at <= now - WINDOW_MS:
            self.answers.popleft()
        age_ms = now - self.started_at
        if not self.answers:
            return EngineObservation(0.0, 0.0, self.share, age_ms)
        speed = upper_quartile([a.work_ms / max(a.elapsed_ms, MIN_ELAPSED_MS) for a in self.answers])
        # An engine that has answered for less than the window did its work in that shorter time.
        observed_ms = min(max(age_ms, MIN_OBSERVED_MS), WINDOW_MS)
        work_done = sum(answer.work_ms for answer in self.answers) / observed_ms / self.cores
        return EngineObservation(speed, work_done, self.share, age_ms)

    def adopt_age(self, now: float, observations: list[EngineObservation]) -> None:
        """Use the second highest age that other instances report, if it is higher; a single report may be
        wrong."""
        ages_ms = sorted((o.age_ms for o in observations if o.share < UNLIMITED_SHARE), reverse=True)
        if len(ages_ms) > 1:
            self.started_at = min(self.started_at, now - ages_ms[1])

    def share_for_age(self, now: float, settings: SlowStartSettings) -> float:
        """Return the share that the configuration allows an engine of this age."""
        s = settings
        return min(
            s.initial_share + (1 - s.initial_share) * (now - self.started_at) / s.warm_after_ms,
            UNLIMITED_SHARE,
        )

    def update_share(
        self, now: float, pooled: PooledObservation, passed_ms: float, settings: SlowStartSettings
    ) -> bool:
        """Update the share from what all instances observed; return whether the engine is warm.

        Without an answer the share doesn't grow: if it grew with time alone, a slow engine would be
        overloaded. The warm speed must last, since an engine that isn't warm yet may show it for a moment. An
        engine without a queue gets at least the share that the configuration allows for its age: with few
        requests, or with late answers because this machine is busy, it shows less than it can do. While there
        is no queue the share doesn't fall.
        """
        s = settings
        if pooled.speed <= 0:
            return False
        observed_rate = max(pooled.speed, pooled.work_done)
        has_queue = pooled.speed < s.queueing_ratio * pooled.work_done
        if observed_rate >= s.warm_speed:
            self.warm_since = min(self.warm_since, now)
        elif observed_rate < s.doubtful_speed:
            self.warm_since = math.inf
        is_warm = now - self.warm_since >= s.warm_confirmation_ms
        max_share = UNLIMITED_SHARE if is_warm else s.max_cold_share
        limit = min(observed_rate * (s.drain_factor if has_queue else s.growth_factor), max_share)
        age_based_share = self.share_for_age(now, s)
        limit, is_warm = (
            max(limit, 0.0 if has_queue else age_based_share),
            is_warm or age_based_share >= UNLIMITED_SHARE,
        )
        max_factor = 2 ** (passed_ms / s.doubling_ms)
        if has_queue:
            reduced_share = max(limit, self.share / max_factor, s.initial_share / 2)
            self.share = min(reduced_share, self.share * max_factor)
        else:
            self.share = max(min(limit, self.share * max_factor), self.share)
        return is_warm and self.share >= s.warm_speed
