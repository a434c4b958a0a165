"""What this instance's own attempts say of each zone. Pure.

Each attempt is judged once: good, late, or a bad sign (it failed, or it lasts several times what its class
usually takes here). For each engine a cumulative sum of log likelihoods (Page's CUSUM) weighs its signs
against what is seen of the best other zone, so that a load that slows all zones alike speaks against none. A
zone's score adds up its engines' sums, each up to a limit that half of the engines heard of have to reach:
one sick engine is that engine's matter, however many signs it gives.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from enum import IntEnum

# Danger: attempts at a slow zone are rescued at two or three times the usual, and with the others loaded as
# well it never stood out. One that was cut short would have taken longer, nobody knows how much.
CENSORED = 2.0
TIMES_LEAST = 4  # fewer times of a zone tell nothing
LOADED = 1.5  # times further a zone has to stand out while another one is out: the rest are loaded
STOOD = 3  # times that a zone has to stand out by slowness
ACCUSING, ACCUSING_SHARE = 3, 0.2  # bad signs in the window, and their share, that are worth telling of


class AttemptResult(IntEnum):
    """What one attempt says of its engine."""

    GOOD = 0
    LATE = 1  # well beyond what is usual, yet no fault: a cold engine, or a line that begins to form
    SLOW = 2
    FAILED = 3


class ZoneHealth(IntEnum):
    """What own evidence says of a zone."""

    UNKNOWN = 0  # too little to say
    HEALTHY = 1
    SLOW = 2  # or silent
    FAILING = 3  # in part
    DOWN = 4  # nothing is served


@dataclass(slots=True, frozen=True)
class EvidenceSettings:
    """Times in ms.

    slow, slow_least: an attempt that lasts so many times its usual time, and so much longer, is a bad sign.
    usual_bad: share of bad signs that a well zone shows at most. ill_bad: the share looked for; three in ten
    failing is ill. enough: the score from which a zone is ill: about e^-enough false alarms an excursion.
    stands_out: so many times longer than in the best other zone its attempts take, where it is slow.
    returning: a zone in return may be so many times slower still, since its engines may be cold.
    returning_window: the window of a zone in return, whose pace changes each quarter of a second.
    late: an answer that takes so many times its usual time is late.
    window: what came before it no longer tells which engines are concerned. good_least: good signs in the
    window from which a zone without a sum is well. learn: a class's usual time follows its
    answers within so long: what is usual must not become what the fault makes of it. last: so many newest
    signs tell what a zone still serves.
    lost: share of bad signs in the window from which a zone serves nothing.
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
class UsualDuration:
    """What attempts of one class usually take, by its log mean: long ones must not move it much."""

    log_ms: float = 0.0
    low: float = 0.0  # a low expectile of the logs: without the lines that others wait in
    seen: int = 0
    at: float = 0.0

    def learn(self, now: float, elapsed: float, settings: EvidenceSettings) -> None:
        """Take in a good answer's time."""
        self.seen += 1
        gain = max(
            1 - math.exp((self.at - now) / settings.learning_time_ms),
            1 / self.seen if self.seen < 30 else 0.0,
        )
        self.at = now
        log = math.log(max(elapsed, 0.1))
        self.log_ms += gain * (log - self.log_ms)
        self.low += gain * (log - self.low) * (1.0 if log < self.low or self.seen == 1 else 1 / 6)

    def work(self) -> float:
        """What such an attempt costs an engine, in ms.

        Danger: by the usual time, which holds waiting, the work offered looked more than it was, and a zone
        was left in part though the others could carry all.
        """
        return 1.25 * math.exp(self.low) if self.seen else 0.0

    def limit(self, settings: EvidenceSettings, times: float) -> float:
        """From this age on an attempt is a bad sign; never, while nothing is known."""
        if self.seen < 5:
            return math.inf
        usual = math.exp(self.log_ms)
        return times * max(usual * settings.slow_factor, usual + settings.min_slow_excess_ms)


@dataclass(slots=True)
class OpenAttempt:
    """An attempt that is out and not judged yet."""

    zone: str
    engine: str
    kind: int
    sent_at: float


@dataclass(slots=True)
class EngineScore:
    """An engine's cumulative sum, and when it had its last sign."""

    value: float = 0.0
    at: float = 0.0


@dataclass(slots=True)
class ZoneEvidence:
    """What is known of one zone: recent signs, the sums of its engines, and how many there are."""

    engines: int = 1
    absent: bool = False
    returning: bool = False
    stood: int = 0  # times that it stood out, less those that it did not
    sums: dict[str, EngineScore] = field(default_factory=dict)
    signs: deque[tuple[float, AttemptResult]] = field(default_factory=deque)
    # Logs of how many times the usual it took, and when.
    times: deque[tuple[float, float]] = field(default_factory=lambda: deque(maxlen=8))
    newest: deque[AttemptResult] = field(default_factory=lambda: deque(maxlen=16))

    @property
    def bad(self) -> int:
        """Bad signs among the newest ones."""
        return self.newest.count(AttemptResult.SLOW) + self.newest.count(AttemptResult.FAILED)

    def forget(self, before: float) -> None:
        """Drop what is too old."""
        while self.signs and self.signs[0][0] < before:
            self.signs.popleft()
        while self.times and self.times[0][0] < before:
            self.times.popleft()
        self.sums = {engine: s for engine, s in self.sums.items() if s.at >= before}

    def clear(self) -> None:
        """Begin anew."""
        self.stood = 0
        for part in (self.sums, self.signs, self.times, self.newest):
            part.clear()

    def share(self) -> float:
        """Share of bad signs among the newest ones: all zones change in step where the fault is common."""
        return self.bad / len(self.newest) if self.newest else 0.0

    def stretch(self, last: int) -> float:
        """Log of how many times their usual time the newest attempts take, by the median."""
        times = sorted(log for _, log in list(self.times)[-last:])
        return times[len(times) // 2] if times else 0.0

    def score(self, enough: float) -> float:
        """The engines' sums, each up to what half of those heard of have to reach together."""
        # Danger: a dead engine's signs alone made its zone look ill as soon as another had one bad answer. So
        # none counts for more than its part, and one engine is never enough where there are two.
        half = max(math.ceil(len(self.sums) / 2), min(2, self.engines))
        return sum(min(s.value, enough / half) for s in self.sums.values())


class FailureEvidence:
    """Feed it attempts; ask it for a verdict by zone. All times are on one monotonic clock."""

    def __init__(self, settings: EvidenceSettings | None = None) -> None:
        self.settings = settings or EvidenceSettings()
        self.zones: dict[str, ZoneEvidence] = {}
        self.usual_durations: dict[int, UsualDuration] = {}
        self.open_attempts: dict[str, OpenAttempt] = {}

    def set_engines(self, engines: Mapping[str, Iterable[str]]) -> None:
        """Exactly these zones with these engines are there; what was known of the others is forgotten."""
        kept = {name: self.zones.get(name) or ZoneEvidence() for name in engines}
        for name, there in engines.items():
            kept[name].engines = len(list(there))
        self.zones = kept

    def on_sent(self, now: float, ref: str, engine: str, zone: str, kind: int) -> None:
        """An attempt has gone out."""
        if zone in self.zones:
            self.open_attempts[ref] = OpenAttempt(zone, engine, kind, now)

    def on_ended(self, now: float, ref: str, good: bool | None, elapsed: float) -> None:
        """An attempt has ended: well, badly, or given up from here (None)."""
        attempt = self.open_attempts.pop(ref, None)
        if attempt is None or attempt.zone not in self.zones:
            return
        self.usual_durations.setdefault(attempt.kind, UsualDuration())
        usual = self.usual_durations[attempt.kind]
        if good is None:
            # Danger: attempts at a silent zone were rescued and tried elsewhere before they were overdue
            # here, and nobody had anything to say against it. One given up late speaks as one that is late.
            if usual.seen >= 5 and elapsed > math.exp(usual.log_ms) * self.settings.late_factor:
                self._timed(now, attempt, CENSORED * elapsed)
                self._sign(now, attempt, AttemptResult.SLOW)
            return
        late = elapsed > math.exp(usual.log_ms) * self.settings.late_factor
        slow = elapsed > self._limit(attempt)
        if good:
            self._timed(now, attempt, elapsed)
        worst = AttemptResult.SLOW if slow else AttemptResult.LATE if late else AttemptResult.GOOD
        self._sign(now, attempt, worst if good else AttemptResult.FAILED)
        if good and not slow and not self.zones[attempt.zone].returning:
            usual.learn(now, elapsed, self.settings)

    def reset(self, zone: str, absent: bool, returning: bool) -> None:
        """A zone's signs so far no longer count: it was left, or its return begins or ends."""
        if zone in self.zones:
            self.zones[zone].clear()
            self.zones[zone].absent, self.zones[zone].returning = absent, returning
        self.open_attempts = {
            ref: attempt for ref, attempt in self.open_attempts.items() if attempt.zone != zone
        }

    def assess(self, now: float) -> dict[str, ZoneHealth]:
        """The verdict on each zone."""
        for ref, attempt in list(self.open_attempts.items()):
            if now - attempt.sent_at > self._limit(attempt):
                del self.open_attempts[ref]  # judged: its end tells nothing more
                self._timed(now, attempt, CENSORED * (now - attempt.sent_at))
                self._sign(now, attempt, AttemptResult.SLOW)
        s = self.settings
        for zone in self.zones.values():
            zone.forget(now - (s.returning_window_ms if zone.returning else s.window_ms))
        return {name: self._verdict(zone) for name, zone in self.zones.items()}

    def counts(self, zone: str) -> tuple[int, int, int]:
        """Good, late and bad signs of a zone in the window."""
        signs = [sign for _, sign in self.zones[zone].signs] if zone in self.zones else []
        good, late = signs.count(AttemptResult.GOOD), signs.count(AttemptResult.LATE)
        return good, late, len(signs) - good - late

    def served_share(self, zone: str) -> float:
        """Share of a zone's newest attempts that were served."""
        signs = list(self.zones[zone].newest)[-self.settings.served_samples :]
        return sum(sign < AttemptResult.SLOW for sign in signs) / max(len(signs), 1)

    def _limit(self, attempt: OpenAttempt) -> float:
        usual, zone = self.usual_durations.get(attempt.kind), self.zones.get(attempt.zone)
        if usual is None or zone is None:
            return math.inf
        return usual.limit(self.settings, self.settings.returning_slow_factor if zone.returning else 1.0)

    def _timed(self, now: float, attempt: OpenAttempt, elapsed: float) -> None:
        usual = self.usual_durations[attempt.kind]
        if usual.seen:
            log = math.log(max(elapsed, 0.1)) - usual.log_ms
            self.zones[attempt.zone].times.append((now, log))

    def _stands_out(self, zone: ZoneEvidence) -> bool:
        """Its attempts fail, or take far longer than those of the best other zone do now."""
        # Danger: with nowhere else to go a zone that is merely overloaded was left as well.
        present = [z for z in self.zones.values() if z is not zone and not z.absent and not z.returning]
        if not present or zone.share() < self.settings.failing_bad_share / 2:
            return False
        if 2 * zone.newest.count(AttemptResult.FAILED) >= zone.bad:
            return True
        # Danger: where one zone is out the others carry its load and form lines of uneven length, and a few
        # long waits made them look ill as well. So it is the middle of a zone's newest times that counts, the
        # more of it the less room there is elsewhere.
        # Both ends of the newest times have to say so: a fault that is common comes and goes a moment apart.
        others = [max(z.stretch(3), z.stretch(8)) for z in present if len(z.times) >= TIMES_LEAST]
        now, loaded = min(zone.stretch(3), zone.stretch(8)), len(present) < len(self.zones) - 1
        least = math.log(self.settings.outlier_factor * (LOADED if loaded else 1.0))
        return len(zone.times) >= TIMES_LEAST and now >= min(others, default=0.0) + least

    def suspects_failure(self, zone: str) -> bool:
        """Enough bad signs to speak of, if not to be sure: it takes most of the fleet to act on them."""
        good, late, bad = self.counts(zone)
        others = [z.share() for name, z in self.zones.items() if name != zone and z.signs]
        share = bad / max(good + late + bad, 1)
        if not self._stands_out(self.zones[zone]):
            return False
        return bad >= ACCUSING and share >= max(ACCUSING_SHARE, 3 * min(others, default=0.0))

    def _sign(self, now: float, attempt: OpenAttempt, sign: AttemptResult) -> None:
        zone = self.zones.get(attempt.zone)
        if zone is None:
            return
        s = self.settings
        # Danger: a load that is too much slows all zones alike, and all would be left. So signs are weighed
        # against the best of the others; alone, against what is usual.
        others = [z.share() for z in self.zones.values() if z is not zone and len(z.signs) >= s.min_good]
        usual = min(0.9, max(s.healthy_bad_share, 1.5 * min(others, default=0.0)))
        ill = min(0.97, max(s.failing_bad_share, 2 * usual))
        step = math.log(ill / usual) if sign >= AttemptResult.SLOW else math.log((1 - ill) / (1 - usual))
        total = zone.sums.setdefault(attempt.engine, EngineScore())
        total.value, total.at = min(max(total.value + step, 0.0), 1.5 * s.score_threshold), now
        zone.signs.append((now, sign))
        zone.newest.append(sign)

    def _verdict(self, zone: ZoneEvidence) -> ZoneHealth:
        s, score = self.settings, zone.score(self.settings.score_threshold)
        # Danger: where all slow down at once the signs of one zone come a moment before those of another.
        stands_out = score >= s.score_threshold - 1e-9 and self._stands_out(zone)
        failing = zone.newest.count(AttemptResult.FAILED)
        zone.stood = min(zone.stood + 1, 2 * STOOD) if stands_out else max(zone.stood - 1, 0)
        fails = failing > 0 and 2 * failing >= zone.bad
        if zone.stood and fails:
            return ZoneHealth.DOWN if zone.share() >= s.down_bad_share else ZoneHealth.FAILING
        if zone.stood >= STOOD:
            return ZoneHealth.SLOW
        good = sum(sign < AttemptResult.SLOW for _, sign in zone.signs)
        return (
            ZoneHealth.HEALTHY if score < s.score_threshold / 4 and good >= s.min_good else ZoneHealth.UNKNOWN
        )
