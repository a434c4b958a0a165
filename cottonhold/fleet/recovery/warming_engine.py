"""An engine under slow start: what this instance observes of it, and how its share follows. Pure."""

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

MIN_SEEN_MS = 100.0  # what an engine did within less says little of its rate
MIN_ELAPSED_MS = 0.1


class Answer(NamedTuple):
    """A good answer: when it arrived, its work as a warm engine would need, and how long it took."""

    answered_at: float
    work_ms: float
    elapsed_ms: float


@dataclass(slots=True)
class WarmingEngine:
    """An engine that is not known to be warm. Times in ms.

    number: on the wire; share: of its full capacity, that all instances together may send. not_before:
    observations by an instance that holds it for started earlier are of an earlier incarnation of it.
    has_answered: it is listed or has answered. was_tried: a health check or an attempt has ended, here or as
    another reports. warm_since: since when it has shown the speed of a warm one. observation: as of the last
    step.
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
        """What this instance saw of it within the window."""
        while self.answers and self.answers[0].answered_at <= now - WINDOW_MS:
            self.answers.popleft()
        age_ms = now - self.started_at
        if not self.answers:
            return EngineObservation(0.0, 0.0, self.share, age_ms)
        speed = upper_quartile([a.work_ms / max(a.elapsed_ms, MIN_ELAPSED_MS) for a in self.answers])
        # An engine that has answered for less than the window did its work in that shorter time.
        seen_ms = min(max(age_ms, MIN_SEEN_MS), WINDOW_MS)
        work_done = sum(answer.work_ms for answer in self.answers) / seen_ms / self.cores
        return EngineObservation(speed, work_done, self.share, age_ms)

    def adopt_age(self, now: float, observations: list[EngineObservation]) -> None:
        """Take it for as old as two other instances know it to be; a single one may lie."""
        ages_ms = sorted((o.age_ms for o in observations if o.share < UNLIMITED_SHARE), reverse=True)
        if len(ages_ms) > 1:
            self.started_at = min(self.started_at, now - ages_ms[1])

    def share_of_age(self, now: float, settings: SlowStartSettings) -> float:
        """What the configuration says that an engine of its age bears, if it is as old as is known."""
        s = settings
        return min(
            s.initial_share + (1 - s.initial_share) * (now - self.started_at) / s.warm_after_ms,
            UNLIMITED_SHARE,
        )

    def follow(
        self, now: float, pooled: PooledObservation, passed_ms: float, settings: SlowStartSettings
    ) -> bool:
        """Let the share follow what all instances observed; returns whether the engine is warm.

        Without an answer nothing grows: by the clock alone, a slow engine would be overloaded. A warm speed
        has to last, since one that is not warm yet may show it for a moment. An engine that answers without a
        queue bears at least what the configuration says of its age: with few requests, or late answers from a
        busy machine, it shows less than it can do. While there is no queue the share does not fall.
        """
        s = settings
        if pooled.speed <= 0:
            return False
        best = max(pooled.speed, pooled.work_done)
        has_queue = pooled.speed < s.queueing_ratio * pooled.work_done
        if best >= s.warm_speed:
            self.warm_since = min(self.warm_since, now)
        elif best < s.doubtful_speed:
            self.warm_since = math.inf
        is_warm = now - self.warm_since >= s.warm_confirmation_ms
        max_share = UNLIMITED_SHARE if is_warm else s.max_cold_share
        limit = min(best * (s.drain_factor if has_queue else s.growth_factor), max_share)
        of_age = self.share_of_age(now, s)
        limit, is_warm = max(limit, 0.0 if has_queue else of_age), is_warm or of_age >= UNLIMITED_SHARE
        max_factor = 2 ** (passed_ms / s.doubling_ms)
        if has_queue:
            lowest = max(limit, self.share / max_factor, s.initial_share / 2)
            self.share = min(lowest, self.share * max_factor)
        else:
            self.share = max(min(limit, self.share * max_factor), self.share)
        return is_warm and self.share >= s.warm_speed
