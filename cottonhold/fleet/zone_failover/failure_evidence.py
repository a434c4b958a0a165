"""What this instance's own attempts say of the health of each zone. Pure.

Each attempt is judged once: good, late, or bad (it failed, or it lasts several times what its class usually
takes here). For each engine a cumulative sum of log likelihoods (Page's CUSUM) weighs its results against
those of the best other zone, so that a load that slows all zones alike speaks against none. A zone's score
adds up its engines' sums, each up to a limit that half of the engines heard of have to reach: one faulty
engine is no fault of its zone, however many attempts fail there.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from enum import IntEnum
from typing import NamedTuple

from cottonhold.fleet.zone_failover.usual_duration import UsualDuration

# Attempts at a slow zone are cancelled and retried elsewhere at two or three times the usual duration. One
# that was cut short would have taken longer, nobody knows how much; it counts as so many times its duration.
CANCELLED_DURATION_FACTOR = 2.0
MIN_DURATIONS = 4  # fewer durations say nothing of a zone
# How much more of an outlier a zone has to be while another one is evacuated: the rest are loaded.
LOADED_FACTOR = 1.5
SLOW_CONFIRMATIONS = 3  # how often in a row a zone has to be an outlier by slowness
MIN_SUSPECT_ATTEMPTS = 3  # bad attempts in the window that are worth a report
MIN_SUSPECT_SHARE = 0.2  # and their share
SCORE_TOLERANCE = 1e-9  # of rounding, where a sum of engines' parts equals the threshold
FEW, MANY = 3, 8  # the newest durations of a zone that have to agree


class AttemptResult(IntEnum):
    """What one attempt says of its engine; the higher, the worse."""

    GOOD = 0
    LATE = 1  # well beyond the usual duration, yet no fault: a cold engine, or a queue that begins to form
    SLOW = 2
    FAILED = 3


class ZoneHealth(IntEnum):
    """What own evidence says of a zone; the higher, the worse."""

    UNKNOWN = 0  # too little evidence
    HEALTHY = 1
    SLOW = 2  # or silent
    FAILING = 3  # in part
    DOWN = 4  # nothing is served


class AttemptCounts(NamedTuple):
    """Recent attempts of a zone by result."""

    good: int
    late: int
    bad: int


@dataclass(slots=True, frozen=True)
class EvidenceSettings:
    """slow_factor, min_slow_excess_ms: an attempt that lasts so many times its usual duration, and so much
    longer, is bad. late_factor: one that lasts so many times as long is late. returning_slow_factor: attempts
    at a returning zone, whose engines may be cold, may last so many times longer still.

    healthy_bad_share: share of bad attempts that a healthy zone shows at most. failing_bad_share: the share
    to detect; three in ten failing is a fault. score_threshold: the score from which a zone is unhealthy:
    about e^-threshold false alarms an excursion. down_bad_share: share of bad attempts from which a zone
    serves nothing. outlier_factor: so many times longer than in the best other zone its attempts take, where
    it is slow. min_good: good attempts in the window from which a zone without a score is healthy.

    window_ms, returning_window_ms: older attempts do not count; a returning zone's traffic changes each
    quarter of a second. learning_time_ms: the usual duration follows answers within so long; followed
    quicker, a fault would become usual. served_samples: so many newest attempts say what a zone serves.
    """

    slow_factor: float = 3.0
    min_slow_excess_ms: float = 60.0
    healthy_bad_share: float = 0.03
    failing_bad_share: float = 0.25
    score_threshold: float = 8.0
    window_ms: float = 1500.0
    min_good: int = 3
    learning_time_ms: float = 30_000.0
    served_samples: int = 8
    down_bad_share: float = 0.95
    outlier_factor: float = 3.0
    returning_slow_factor: float = 2.0
    late_factor: float = 2.0
    returning_window_ms: float = 900.0


@dataclass(slots=True)
class OpenAttempt:
    """An attempt that is in flight and not judged yet."""

    zone: str
    engine: str
    query_class: int
    sent_at: float


@dataclass(slots=True)
class EngineScore:
    """An engine's cumulative sum, and when its last attempt was judged."""

    value: float = 0.0
    updated_at: float = 0.0


@dataclass(slots=True)
class ZoneEvidence:
    """What is known of one zone."""

    engine_count: int = 1
    is_evacuated: bool = False
    is_returning: bool = False
    outlier_count: int = 0  # how often it was an outlier, less how often it was not
    engine_scores: dict[str, EngineScore] = field(default_factory=dict)
    recent: deque[tuple[float, AttemptResult]] = field(default_factory=deque)  # when, and the result
    # When, and the log of how many times the usual duration it took.
    durations: deque[tuple[float, float]] = field(default_factory=lambda: deque(maxlen=8))
    newest: deque[AttemptResult] = field(default_factory=lambda: deque(maxlen=16))

    @property
    def bad_count(self) -> int:
        """Bad attempts among the newest ones."""
        return self.newest.count(AttemptResult.SLOW) + self.newest.count(AttemptResult.FAILED)

    def expire(self, before: float) -> None:
        """Drop what is older."""
        while self.recent and self.recent[0][0] < before:
            self.recent.popleft()
        while self.durations and self.durations[0][0] < before:
            self.durations.popleft()
        self.engine_scores = {e: s for e, s in self.engine_scores.items() if s.updated_at >= before}

    def clear(self) -> None:
        """Begin anew."""
        self.outlier_count = 0
        for part in (self.engine_scores, self.recent, self.durations, self.newest):
            part.clear()

    def bad_share(self) -> float:
        """Share of bad attempts among the newest ones: where a fault is common it changes in all zones."""
        return self.bad_count / len(self.newest) if self.newest else 0.0

    def median_log_ratio(self, count: int) -> float:
        """Log of how many times their usual duration the newest attempts take, by the median of `count`."""
        log_ratios = sorted(log_ratio for _, log_ratio in list(self.durations)[-count:])
        return log_ratios[len(log_ratios) // 2] if log_ratios else 0.0

    def score(self, threshold: float) -> float:
        """The engines' sums, each up to what half of the engines with results have to reach together.

        So no engine counts for more than its part, and one is never enough where there are two: a failed
        engine and one bad answer of another are no fault of the zone.
        """
        half = max(math.ceil(len(self.engine_scores) / 2), min(2, self.engine_count))
        return sum(min(score.value, threshold / half) for score in self.engine_scores.values())


class FailureEvidence:
    """Feed it attempts; ask it for the health of each zone. All times are ms of one monotonic clock."""

    def __init__(self, settings: EvidenceSettings | None = None) -> None:
        self.settings = settings or EvidenceSettings()
        self.zones: dict[str, ZoneEvidence] = {}
        self.usual_durations: dict[int, UsualDuration] = {}  # by query class
        self.open_attempts: dict[str, OpenAttempt] = {}

    def set_engines(self, engines: Mapping[str, Iterable[str]]) -> None:
        """Exactly these zones with these engines exist; evidence on other zones is dropped."""
        zones = {name: self.zones.get(name) or ZoneEvidence() for name in engines}
        for name, zone_engines in engines.items():
            zones[name].engine_count = len(list(zone_engines))
        self.zones = zones

    def usual_work_ms(self, query_class: int) -> float:
        """What an attempt of a class usually costs an engine; 0 while that is not known."""
        usual = self.usual_durations.get(query_class)
        return usual.work_ms() if usual is not None else 0.0

    def on_sent(self, now: float, attempt_id: str, engine: str, zone: str, query_class: int) -> None:
        """An attempt has been sent."""
        if zone in self.zones:
            self.open_attempts[attempt_id] = OpenAttempt(zone, engine, query_class, now)

    def on_ended(self, now: float, attempt_id: str, succeeded: bool | None, elapsed_ms: float) -> None:
        """An attempt has succeeded, failed, or was cancelled here (None)."""
        attempt = self.open_attempts.pop(attempt_id, None)
        if attempt is None or attempt.zone not in self.zones:
            return
        usual = self.usual_durations.setdefault(attempt.query_class, UsualDuration())
        is_late = elapsed_ms > usual.mean_ms() * self.settings.late_factor
        if succeeded is None:
            # Attempts at a silent zone are cancelled before they are overdue here; a late one counts as slow.
            if usual.is_known and is_late:
                self._add_duration(now, attempt, CANCELLED_DURATION_FACTOR * elapsed_ms)
                self._add_result(now, attempt, AttemptResult.SLOW)
            return
        is_slow = elapsed_ms > self._overdue_after_ms(attempt)
        if succeeded:
            self._add_duration(now, attempt, elapsed_ms)
        self._add_result(now, attempt, _result(succeeded, is_slow, is_late))
        if succeeded and not is_slow and not self.zones[attempt.zone].is_returning:
            usual.update(now, elapsed_ms, self.settings.learning_time_ms)

    def reset(self, zone: str, is_evacuated: bool, is_returning: bool) -> None:
        """A zone was evacuated, or its return begins or ends: earlier attempts no longer count."""
        if zone in self.zones:
            self.zones[zone].clear()
            self.zones[zone].is_evacuated, self.zones[zone].is_returning = is_evacuated, is_returning
        self.open_attempts = {i: a for i, a in self.open_attempts.items() if a.zone != zone}

    def assess(self, now: float) -> dict[str, ZoneHealth]:
        """The health of each zone."""
        self._record_overdue(now)
        s = self.settings
        for zone in self.zones.values():
            zone.expire(now - (s.returning_window_ms if zone.is_returning else s.window_ms))
        return {name: self._health(zone) for name, zone in self.zones.items()}

    def counts(self, zone: str) -> AttemptCounts:
        """Attempts of a zone in the window."""
        results = [result for _, result in self.zones[zone].recent] if zone in self.zones else []
        good, late = results.count(AttemptResult.GOOD), results.count(AttemptResult.LATE)
        return AttemptCounts(good, late, len(results) - good - late)

    def served_share(self, zone: str) -> float:
        """Share of a zone's newest attempts that were served."""
        results = list(self.zones[zone].newest)[-self.settings.served_samples :]
        return sum(result < AttemptResult.SLOW for result in results) / max(len(results), 1)

    def suspects_failure(self, zone: str) -> bool:
        """Whether there are enough bad attempts to report, if not to be certain."""
        if not self._is_outlier(self.zones[zone]):
            return False
        counts = self.counts(zone)
        others = [z.bad_share() for name, z in self.zones.items() if name != zone and z.recent]
        share = counts.bad / max(sum(counts), 1)
        min_share = max(MIN_SUSPECT_SHARE, 3 * min(others, default=0.0))
        return counts.bad >= MIN_SUSPECT_ATTEMPTS and share >= min_share

    def _record_overdue(self, now: float) -> None:
        """Judge attempts in flight that are overdue; their end says nothing more."""
        for attempt_id, attempt in list(self.open_attempts.items()):
            if now - attempt.sent_at > self._overdue_after_ms(attempt):
                del self.open_attempts[attempt_id]
                self._add_duration(now, attempt, CANCELLED_DURATION_FACTOR * (now - attempt.sent_at))
                self._add_result(now, attempt, AttemptResult.SLOW)

    def _overdue_after_ms(self, attempt: OpenAttempt) -> float:
        """The age from which an attempt is bad; infinite while its usual duration is not known."""
        usual, zone = self.usual_durations.get(attempt.query_class), self.zones.get(attempt.zone)
        if usual is None or zone is None:
            return math.inf
        s = self.settings
        factor = s.returning_slow_factor if zone.is_returning else 1.0
        return factor * usual.slow_after_ms(s.slow_factor, s.min_slow_excess_ms)

    def _add_duration(self, now: float, attempt: OpenAttempt, elapsed_ms: float) -> None:
        usual = self.usual_durations[attempt.query_class]
        if usual.count:
            self.zones[attempt.zone].durations.append((now, usual.log_ratio(elapsed_ms)))

    def _add_result(self, now: float, attempt: OpenAttempt, result: AttemptResult) -> None:
        """Weigh a result against the best of the other zones; without any, against what is usual."""
        zone = self.zones.get(attempt.zone)
        if zone is None:
            return
        s = self.settings
        others = [z.bad_share() for z in self.zones.values() if z is not zone and len(z.recent) >= s.min_good]
        healthy = min(0.9, max(s.healthy_bad_share, 1.5 * min(others, default=0.0)))
        failing = min(0.97, max(s.failing_bad_share, 2 * healthy))
        is_bad = result >= AttemptResult.SLOW
        step = math.log(failing / healthy) if is_bad else math.log((1 - failing) / (1 - healthy))
        score = zone.engine_scores.setdefault(attempt.engine, EngineScore())
        score.value = min(max(score.value + step, 0.0), 1.5 * s.score_threshold)
        score.updated_at = now
        zone.recent.append((now, result))
        zone.newest.append(result)

    def _is_outlier(self, zone: ZoneEvidence) -> bool:
        """Whether a zone's attempts fail, or take far longer than those of the best other zone do now.

        Without another zone in service nothing is an outlier: there is nowhere to go, and slowness may be
        load. The median of the newest durations counts, since a loaded zone's few long waits say little, and
        both ends of them have to agree, since a common fault begins and ends in all zones a moment apart.
        """
        in_service = [
            z for z in self.zones.values() if z is not zone and not z.is_evacuated and not z.is_returning
        ]
        if not in_service or zone.bad_share() < self.settings.failing_bad_share / 2:
            return False
        if 2 * zone.newest.count(AttemptResult.FAILED) >= zone.bad_count:
            return True
        others = [
            max(z.median_log_ratio(FEW), z.median_log_ratio(MANY))
            for z in in_service
            if len(z.durations) >= MIN_DURATIONS
        ]
        log_ratio = min(zone.median_log_ratio(FEW), zone.median_log_ratio(MANY))
        is_loaded = len(in_service) < len(self.zones) - 1
        margin = math.log(self.settings.outlier_factor * (LOADED_FACTOR if is_loaded else 1.0))
        return len(zone.durations) >= MIN_DURATIONS and log_ratio >= min(others, default=0.0) + margin

    def _health(self, zone: ZoneEvidence) -> ZoneHealth:
        """A zone's health. Slowness has to last a few looks: where all zones slow down at once, the evidence
        on one of them arrives a moment before that on the others."""
        s, score = self.settings, zone.score(self.settings.score_threshold)
        is_outlier = score >= s.score_threshold - SCORE_TOLERANCE and self._is_outlier(zone)
        if is_outlier:
            zone.outlier_count = min(zone.outlier_count + 1, 2 * SLOW_CONFIRMATIONS)
        else:
            zone.outlier_count = max(zone.outlier_count - 1, 0)
        failed = zone.newest.count(AttemptResult.FAILED)
        if zone.outlier_count and failed > 0 and 2 * failed >= zone.bad_count:
            return ZoneHealth.DOWN if zone.bad_share() >= s.down_bad_share else ZoneHealth.FAILING
        if zone.outlier_count >= SLOW_CONFIRMATIONS:
            return ZoneHealth.SLOW
        served = sum(result < AttemptResult.SLOW for _, result in zone.recent)
        is_healthy = score < s.score_threshold / 4 and served >= s.min_good
        return ZoneHealth.HEALTHY if is_healthy else ZoneHealth.UNKNOWN


def _result(succeeded: bool, is_slow: bool, is_late: bool) -> AttemptResult:
    if not succeeded:
        return AttemptResult.FAILED
    if is_slow:
        return AttemptResult.SLOW
    return AttemptResult.LATE if is_late else AttemptResult.GOOD
