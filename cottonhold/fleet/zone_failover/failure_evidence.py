"""Estimate the health of each zone from the attempts of this instance; does no I/O.

Each attempt is classified once as good, late or bad. It is bad if it failed or takes several times the usual
duration of its query class. Each engine has a cumulative sum of log-likelihood ratios (Page's CUSUM) that
compares its results with those of the best other zone, so that a load that slows down all zones equally is
not evidence against any of them. A zone's score is the sum over its engines. Each engine contributes at most
the amount that half of the engines with recent results need to reach the threshold together: one faulty
engine is not a fault of its zone, however many attempts fail there.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from enum import IntEnum
from typing import NamedTuple

from cottonhold.fleet.zone_failover.usual_duration import UsualDuration

# Attempts in a slow zone are cancelled and retried elsewhere at two or three times the usual duration. Their
# full duration is unknown; it is estimated as this multiple of the time until the cancellation.
CANCELLED_DURATION_FACTOR = 2.0
MIN_DURATIONS = 4  # durations needed to compare a zone with others
# Factor on the outlier threshold while another zone is evacuated, because the other zones carry its load.
LOADED_FACTOR = 1.5
SLOW_CONFIRMATIONS = 3  # outlier_count from which a zone is slow if less than half of its bad attempts failed
MIN_SUSPECT_ATTEMPTS = 3  # bad attempts in the window needed to report a suspected failure
MIN_SUSPECT_SHARE = 0.2  # share of bad attempts in the window needed to report a suspected failure
SCORE_TOLERANCE = 1e-9  # rounding error of a score that equals the threshold
# A zone is slow only if the medians over its newest 3 and over its newest 8 durations both show it.
FEW_DURATIONS, MANY_DURATIONS = 3, 8


class AttemptResult(IntEnum):
    """The result of one attempt; higher values are worse. SLOW and FAILED attempts are called bad."""

    GOOD = 0
    LATE = 1  # clearly longer than usual but no fault: the engine is cold or a queue begins to form
    SLOW = 2
    FAILED = 3


class ZoneHealth(IntEnum):
    """The health of a zone by this instance's own evidence; higher values are worse."""

    UNKNOWN = 0  # too little evidence
    HEALTHY = 1
    SLOW = 2  # attempts are slow or get no answer
    FAILING = 3  # some attempts fail
    DOWN = 4  # almost no attempt is served


class AttemptCounts(NamedTuple):
    """Numbers of recent attempts in a zone by result.

    Attributes:
        good: Attempts that were served and were not late.
        late: Attempts that were served but took clearly longer than usual.
        bad: Attempts that failed or were slow.
    """

    good: int
    late: int
    bad: int


@dataclass(slots=True, frozen=True)
class EvidenceSettings:
    """Thresholds and times of the classification of attempts and zones.

    Attributes:
        slow_factor: Multiple of the usual duration from which an attempt is slow.
        min_slow_excess_ms: Minimum excess over the usual duration for an attempt to be slow, in ms.
        healthy_bad_share: Highest share of bad attempts that is normal for a healthy zone.
        failing_bad_share: Share of bad attempts that has to be detected as a fault. Three failures in ten
            attempts are a fault.
        score_threshold: Score from which a zone may be unhealthy. The probability of a false alarm is about
            exp(-score_threshold) for each excursion of the score.
        window_ms: Age above which attempts are ignored, in ms.
        min_samples: Number of served attempts in the window from which a zone with a low score is healthy,
            and number of attempts from which others are compared with the zone.
        learning_time_ms: Time constant with which the usual duration follows the answers, in ms. With a
            shorter one the durations during a fault would soon be the usual ones.
        served_samples: Number of newest attempts from which the served share of a zone is computed.
        down_bad_share: Share of bad attempts from which a zone is down.
        outlier_factor: A zone is slow if its attempts take this many times longer, relative to their usual
            duration, than in the best other zone.
        returning_slow_factor: Additional factor on the slow limit in a returning zone, whose engines may be
            cold.
        late_factor: Multiple of the usual duration from which an attempt is late.
        returning_window_ms: `window_ms` for a returning zone, in ms. It is shorter because the traffic share
            of the zone changes every quarter of a second.
    """

    slow_factor: float = 3.0
    min_slow_excess_ms: float = 60.0
    healthy_bad_share: float = 0.03
    failing_bad_share: float = 0.25
    score_threshold: float = 8.0
    window_ms: float = 1500.0
    min_samples: int = 3
    learning_time_ms: float = 30_000.0
    served_samples: int = 8
    down_bad_share: float = 0.95
    outlier_factor: float = 3.0
    returning_slow_factor: float = 2.0
    late_factor: float = 2.0
    returning_window_ms: float = 900.0


@dataclass(slots=True)
class OpenAttempt:
    """An attempt that is in flight and not classified yet."""

    zone: str
    engine: str
    query_class: int
    sent_at: float


@dataclass(slots=True)
class EngineScore:
    """An engine's cumulative sum and the time of its last classified attempt, in ms."""

    value: float = 0.0
    updated_at: float = 0.0


@dataclass(slots=True)
class ZoneEvidence:
    """The recent attempts in one zone."""

    engine_count: int = 1
    is_evacuated: bool = False
    is_returning: bool = False
    outlier_count: int = 0  # incremented by each assessment as an outlier, else decremented down to 0
    engine_scores: dict[str, EngineScore] = field(default_factory=dict)
    recent: deque[tuple[float, AttemptResult]] = field(default_factory=deque)  # time in ms and result
    # Time in ms and logarithm of the ratio of the duration to the usual one.
    durations: deque[tuple[float, float]] = field(default_factory=lambda: deque(maxlen=8))
    newest: deque[AttemptResult] = field(default_factory=lambda: deque(maxlen=16))

    @property
    def bad_count(self) -> int:
        """Number of bad attempts among the newest ones."""
        return self.newest.count(AttemptResult.SLOW) + self.newest.count(AttemptResult.FAILED)

    def expire(self, before: float) -> None:
        """Drop results, durations and scores from before this time."""
        while self.recent and self.recent[0][0] < before:
            self.recent.popleft()
        while self.durations and self.durations[0][0] < before:
            self.durations.popleft()
        self.engine_scores = {e: s for e, s in self.engine_scores.items() if s.updated_at >= before}

    def clear(self) -> None:
        """Drop all evidence on the zone."""
        self.outlier_count = 0
        for part in (self.engine_scores, self.recent, self.durations, self.newest):
            part.clear()

    def bad_share(self) -> float:
        """Return the share of bad attempts among the newest ones; a fault common to all zones raises it in
        each."""
        return self.bad_count / len(self.newest) if self.newest else 0.0

    def median_log_ratio(self, count: int) -> float:
        """Return the median over the newest `count` durations of log(duration / usual duration)."""
        log_ratios = sorted(log_ratio for _, log_ratio in list(self.durations)[-count:])
        return log_ratios[len(log_ratios) // 2] if log_ratios else 0.0

    def score(self, threshold: float) -> float:
        """Return the sum of the engines' scores, each limited to threshold / half of the engines.

        Due to the limit at least half of the engines with results, and at least two if the zone has two, must
        show a fault: a failed engine and a single bad answer of another one are not a fault of the zone.
        """
        half = max(math.ceil(len(self.engine_scores) / 2), min(2, self.engine_count))
        return sum(min(score.value, threshold / half) for score in self.engine_scores.values())


class FailureEvidence:
    """Collects the results of attempts and computes the health of each zone from them.

    Report attempts by `on_sent` and `on_ended`, then call `assess`. All times are in ms of one monotonic
    clock.
    """

    def __init__(self, settings: EvidenceSettings | None = None) -> None:
        self.settings = settings or EvidenceSettings()
        self.zones: dict[str, ZoneEvidence] = {}
        self.usual_durations: dict[int, UsualDuration] = {}  # by query class
        self.open_attempts: dict[str, OpenAttempt] = {}

    def set_engines(self, engines: Mapping[str, Iterable[str]]) -> None:
        """Replace the zones and their engines; evidence on other zones is dropped."""
        zones = {name: self.zones.get(name) or ZoneEvidence() for name in engines}
        for name, zone_engines in engines.items():
            zones[name].engine_count = len(list(zone_engines))
        self.zones = zones

    def usual_work_ms(self, query_class: int) -> float:
        """Return the usual work of an attempt of a class at an engine, in ms; 0 while it is unknown."""
        usual = self.usual_durations.get(query_class)
        return usual.work_ms() if usual is not None else 0.0

    def on_sent(self, now: float, attempt_id: str, engine: str, zone: str, query_class: int) -> None:
        """Record that an attempt was sent."""
        if zone in self.zones:
            self.open_attempts[attempt_id] = OpenAttempt(zone, engine, query_class, now)

    def on_ended(self, now: float, attempt_id: str, succeeded: bool | None, elapsed_ms: float) -> None:
        """Record the end of an attempt: success, failure, or None if this instance cancelled it."""
        attempt = self.open_attempts.pop(attempt_id, None)
        if attempt is None or attempt.zone not in self.zones:
            return
        usual = self.usual_durations.setdefault(attempt.query_class, UsualDuration())
        is_late = elapsed_ms > usual.mean_ms() * self.settings.late_factor
        if succeeded is None:
            # Attempts in a zone that does not answer are cancelled before they are overdue, so a cancelled
            # attempt that is late is classified as slow.
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
        """Drop the attempts of a zone; called when it is evacuated and when its return starts or ends."""
        if zone in self.zones:
            self.zones[zone].clear()
            self.zones[zone].is_evacuated, self.zones[zone].is_returning = is_evacuated, is_returning
        self.open_attempts = {i: a for i, a in self.open_attempts.items() if a.zone != zone}

    def assess(self, now: float) -> dict[str, ZoneHealth]:
        """Return the health of each zone."""
        self._record_overdue(now)
        settings = self.settings
        for zone in self.zones.values():
            zone.expire(now - (settings.returning_window_ms if zone.is_returning else settings.window_ms))
        return {name: self._health(zone) for name, zone in self.zones.items()}

    def counts(self, zone: str) -> AttemptCounts:
        """Return the numbers of attempts in the zone's window, by result."""
        results = [result for _, result in self.zones[zone].recent] if zone in self.zones else []
        good, late = results.count(AttemptResult.GOOD), results.count(AttemptResult.LATE)
        return AttemptCounts(good, late, len(results) - good - late)

    def served_share(self, zone: str) -> float:
        """Return the share of a zone's newest attempts that were served (good or late)."""
        results = list(self.zones[zone].newest)[-self.settings.served_samples :]
        return sum(result < AttemptResult.SLOW for result in results) / max(len(results), 1)

    def suspects_failure(self, zone: str) -> bool:
        """Return whether there are enough bad attempts to report a suspected failure of the zone."""
        if not self._is_outlier(self.zones[zone]):
            return False
        counts = self.counts(zone)
        others = [z.bad_share() for name, z in self.zones.items() if name != zone and z.recent]
        share = counts.bad / max(sum(counts), 1)
        min_share = max(MIN_SUSPECT_SHARE, 3 * min(others, default=0.0))
        return counts.bad >= MIN_SUSPECT_ATTEMPTS and share >= min_share

    def _record_overdue(self, now: float) -> None:
        """Classify overdue attempts in flight as slow; their later end is ignored."""
        for attempt_id, attempt in list(self.open_attempts.items()):
            if now - attempt.sent_at > self._overdue_after_ms(attempt):
                del self.open_attempts[attempt_id]
                self._add_duration(now, attempt, CANCELLED_DURATION_FACTOR * (now - attempt.sent_at))
                self._add_result(now, attempt, AttemptResult.SLOW)

    def _overdue_after_ms(self, attempt: OpenAttempt) -> float:
        """Return the age from which an attempt is slow, in ms; infinite while the usual duration is
        unknown."""
        usual, zone = self.usual_durations.get(attempt.query_class), self.zones.get(attempt.zone)
        if usual is None or zone is None:
            return math.inf
        settings = self.settings
        factor = settings.returning_slow_factor if zone.is_returning else 1.0
        return factor * usual.slow_after_ms(settings.slow_factor, settings.min_slow_excess_ms)

    def _add_duration(self, now: float, attempt: OpenAttempt, elapsed_ms: float) -> None:
        usual = self.usual_durations[attempt.query_class]
        if usual.count:
            self.zones[attempt.zone].durations.append((now, usual.log_ratio(elapsed_ms)))

    def _add_result(self, now: float, attempt: OpenAttempt, result: AttemptResult) -> None:
        """Add a result to the score of its engine.

        The share of bad attempts expected of a healthy zone is 1.5 times the lowest one among the other
        zones, but at least `healthy_bad_share`.
        """
        zone = self.zones.get(attempt.zone)
        if zone is None:
            return
        settings = self.settings
        others = [
            z.bad_share()
            for z in self.zones.values()
            if z is not zone and len(z.recent) >= settings.min_samples
        ]
        healthy = min(0.9, max(settings.healthy_bad_share, 1.5 * min(others, default=0.0)))
        failing = min(0.97, max(settings.failing_bad_share, 2 * healthy))
        is_bad = result >= AttemptResult.SLOW
        step = math.log(failing / healthy) if is_bad else math.log((1 - failing) / (1 - healthy))
        score = zone.engine_scores.setdefault(attempt.engine, EngineScore())
        score.value = min(max(score.value + step, 0.0), 1.5 * settings.score_threshold)
        score.updated_at = now
        zone.recent.append((now, result))
        zone.newest.append(result)

    def _is_outlier(self, zone: ZoneEvidence) -> bool:
        """Return whether a zone's attempts fail or take far longer than those in the best other zone.

        Without another zone in service no zone is an outlier: traffic could not move, and the load may be the
        reason for slowness. Medians are compared because a loaded zone has a few long waits. The medians over
        few and over many durations have to agree because a fault common to all zones starts and ends at
        slightly different times in each of them.
        """
        in_service = [
            z for z in self.zones.values() if z is not zone and not z.is_evacuated and not z.is_returning
        ]
        if not in_service or zone.bad_share() < self.settings.failing_bad_share / 2:
            return False
        if 2 * zone.newest.count(AttemptResult.FAILED) >= zone.bad_count:
            return True
        others = [
            max(z.median_log_ratio(FEW_DURATIONS), z.median_log_ratio(MANY_DURATIONS))
            for z in in_service
            if len(z.durations) >= MIN_DURATIONS
        ]
        log_ratio = min(zone.median_log_ratio(FEW_DURATIONS), zone.median_log_ratio(MANY_DURATIONS))
        is_loaded = len(in_service) < len(self.zones) - 1
        margin = math.log(self.settings.outlier_factor * (LOADED_FACTOR if is_loaded else 1.0))
        return len(zone.durations) >= MIN_DURATIONS and log_ratio >= min(others, default=0.0) + margin

    def _health(self, zone: ZoneEvidence) -> ZoneHealth:
        """Return the health of a zone.

        Slowness has to persist over several assessments: when all zones slow down together, the evidence on
        one of them arrives slightly before that on the others.
        """
        settings, score = self.settings, zone.score(self.settings.score_threshold)
        is_outlier = score >= settings.score_threshold - SCORE_TOLERANCE and self._is_outlier(zone)
        if is_outlier:
            zone.outlier_count = min(zone.outlier_count + 1, 2 * SLOW_CONFIRMATIONS)
        else:
            zone.outlier_count = max(zone.outlier_count - 1, 0)
        failed = zone.newest.count(AttemptResult.FAILED)
        if zone.outlier_count and failed > 0 and 2 * failed >= zone.bad_count:
            return ZoneHealth.DOWN if zone.bad_share() >= settings.down_bad_share else ZoneHealth.FAILING
        if zone.outlier_count >= SLOW_CONFIRMATIONS:
            return ZoneHealth.SLOW
        served = sum(result < AttemptResult.SLOW for _, result in zone.recent)
        is_healthy = score < settings.score_threshold / 4 and served >= settings.min_samples
        return ZoneHealth.HEALTHY if is_healthy else ZoneHealth.UNKNOWN


def _result(succeeded: bool, is_slow: bool, is_late: bool) -> AttemptResult:
    if not succeeded:
        return AttemptResult.FAILED
    if is_slow:
        return AttemptResult.SLOW
    return AttemptResult.LATE if is_late else AttemptResult.GOOD
