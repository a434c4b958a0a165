"""Slow start of engines after a power loss or a restart, with the same limits at all instances; does no I/O.

An engine that has or may have just started has a share, which is the part of its full capacity that all
instances together may send to it. The share is 0 until the engine is listed or has answered; then it is what
a cold engine can process. From there it grows with the results of the engine's answers at all instances, and
with the engine's age while no queue builds up. An engine that shows its full speed is warm and becomes free,
that is, it is no longer limited; every engine becomes free after `max_duration_ms`. See
docs/design/power-loss-order.md. Times are ms of this instance's monotonic clock; work is in ms as a warm
engine would need.
"""

from __future__ import annotations

import math
import random
from collections.abc import Iterable, Mapping
from enum import Enum

from cottonhold.fleet.latest_reports import LatestReports
from cottonhold.fleet.message_format import MAX_UINT32
from cottonhold.fleet.recovery import warmup_messages
from cottonhold.fleet.recovery.slow_start_settings import SlowStartSettings
from cottonhold.fleet.recovery.warming_engine import Answer, WarmingEngine
from cottonhold.fleet.recovery.warmup_messages import (
    UNLIMITED_SHARE,
    WINDOW_MS,
    EngineObservation,
    PooledObservation,
    WarmupReport,
    decode_warmup_reports,
    encode_warmup_reports,
)

MAX_WARM_ENTRIES = 5  # maximum number of warm engines that others still limit, in a report of a large fleet
MIN_WARMUP_LIMIT = 1e-9  # in ms per ms; not 0, because the scheduler ignores limits if none allows any work
STEP_TOLERANCE_MS = 1.0  # largest time by which a timer may call `step` too early
ROTATION_MULTIPLIER = 0x9E3779B1  # 2^32 / golden ratio: spreads successive versions over all engine numbers


class OutageScope(Enum):
    """Which instances were away, as found by the membership survey."""

    ALONE = "alone"  # only this instance
    ZONE = "zone"
    FLEET = "fleet"


class SharedSlowStart:
    """The shares of all engines that are not known to be warm, as one instance computes them.

    It processes the engine list, outages, health checks, answers and the reports of other instances; call
    `step` ten times a second and read `share` or `work_limits`.
    """

    def __init__(
        self, self_id: int, incarnation: int, now: float, settings: SlowStartSettings, seed: int
    ) -> None:
        self.self_id, self.incarnation, self.version = self_id, incarnation & MAX_UINT32, 0
        self.settings, self.started_at = settings, now
        self.random = random.Random(seed)
        self.reports = LatestReports[WarmupReport](self_id)
        self.engines: dict[str, float] = {}  # cores of each engine
        self.numbers: set[int] = set()  # numbers of these engines on the wire
        self.warming: dict[str, WarmingEngine] = {}
        self.answering_since: dict[str, float] = {}  # since when each engine answers here without a fault
        self.is_listed = False  # whether a list of engines has been received since the start
        self.was_only_this_instance_away = False  # whether no other instance is known to have been away
        self.reported_warming: set[int] = set()  # numbers of engines that other instances limit
        self.stepped_at = -math.inf

    def set_engines(self, now: float, engines: Mapping[str, float]) -> None:
        """Set which engines exist, with their cores; new ones start to warm up."""
        new = [engine for engine in engines if engine not in self.engines]
        self.engines = dict(engines)
        self.numbers = {warmup_messages.engine_number(engine) for engine in engines}
        self.warming = {e: warming for e, warming in self.warming.items() if e in engines}
        self.answering_since = {e: since for e, since in self.answering_since.items() if e in engines}
        for engine, warming in self.warming.items():
            warming.cores = engines[engine]
        for engine in new:
            self._start(now, engine, -math.inf)

    def on_list_received(self, now: float) -> None:
        """Record that this instance's sources have sent a list of engines since the start.

        Listed engines may be used without a health check, except those that failed one, since the list may
        still contain engines of a zone that is down.
        """
        self.is_listed = True
        for engine, warming in list(self.warming.items()):
            if not warming.has_answered and not warming.was_tried:
                self._mark_answering(engine, warming, warming.started_at)

    def on_loss(
        self,
        now: float,
        scope: OutageScope,
        engines: Iterable[str] | None = None,
        since: float = math.inf,
    ) -> None:
        """Process an outage that the membership survey has found.

        After the loss of a zone or of the fleet its free engines are regarded as just started and must answer
        first. An engine that has answered since then keeps at least the age that follows from its first
        answer, and one that already warms up continues. If only this instance was away, engines that no other
        instance limits become free.

        Args:
            now: The current time.
            scope: Which instances were away.
            engines: Engines of the lost zones; None for all.
            since: When the first of the lost instances was back.
        """
        affected = set(self.engines) if engines is None else set(engines) & set(self.engines)
        self.was_only_this_instance_away = scope is OutageScope.ALONE
        if self.was_only_this_instance_away:
            self._free_engines(affected)
            return
        for engine in sorted(affected - set(self.warming)):
            self._restart(now, engine, since)

    def _free_engines(self, engines: set[str]) -> None:
        """Free these engines, except those that others limit and those that no list or answer confirms."""
        self.warming = {
            engine: warming
            for engine, warming in self.warming.items()
            if engine not in engines
            or warming.number in self.reported_warming
            or not (self.is_listed or warming.has_answered)
        }

    def _restart(self, now: float, engine: str, since: float) -> None:
        """Put a free engine under slow start after a loss that has been recognized only now."""
        answering_since = self.answering_since.get(engine, -math.inf)
        warming = self._start(now, engine, min(now, since))
        warming.has_answered = answering_since >= since
        if warming.has_answered:
            # A loss of the fleet is recognized once more than half are back. Engines keep the share that
            # they have reached by then.
            warming.started_at = answering_since
            age_based_share = min(warming.share_for_age(now, self.settings), self.settings.max_cold_share)
            warming.share = max(warming.share, age_based_share)

    def on_engine_started(self, now: float, engine: str) -> None:
        """Process an engine's start that the list reports, or its first successful health check after
        silence."""
        self.answering_since.pop(engine, None)
        if engine in self.engines:
            self._start(now, engine, now).has_answered = True

    def on_engine_unreachable(self, now: float, engine: str) -> None:
        """Block an engine until it has answered; then it is regarded as just started."""
        self.answering_since.pop(engine, None)
        if engine in self.engines:
            self._start(now, engine, now).has_answered = False

    def on_health_check(self, now: float, engine: str, succeeded: bool) -> None:
        """Process the end of a health check by this instance, or a successful one by another."""
        self._record_answering(now, engine, succeeded)
        warming = self.warming.get(engine)
        if warming is None:
            return
        warming.was_tried = True
        if succeeded and not warming.has_answered:
            self._mark_answering(engine, warming, now)
        elif not succeeded and not warming.answers:
            warming.has_answered = False

    def on_answer(self, now: float, engine: str, succeeded: bool, work_ms: float, elapsed_ms: float) -> None:
        """Process the answer to an attempt.

        Args:
            now: The current time.
            engine: The engine that answered.
            succeeded: Whether the attempt succeeded.
            work_ms: The work as reported by the engine, or as estimated for the query; 0 if neither is known,
                so that the answer only proves that the engine is running.
            elapsed_ms: How long the answer took.
        """
        self._record_answering(now, engine, succeeded)
        warming = self.warming.get(engine)
        if warming is None:
            return
        warming.was_tried = True
        if not succeeded:
            # A listed engine that has failed before any successful answer is no longer included in the
            # capacity.
            warming.has_answered = warming.has_answered and bool(warming.answers)
            return
        if not warming.has_answered:
            self._mark_answering(engine, warming, now)
        if work_ms > 0:
            warming.answers.append(Answer(now, work_ms, elapsed_ms))

    def on_message(self, now: float, data: bytes) -> None:
        """Process a message of warm-up reports. Raises MessageError."""
        for report in decode_warmup_reports(data):
            self.reports.apply(now, report)

    @property
    def is_active(self) -> bool:
        """Return whether any engine is limited."""
        return bool(self.warming)

    @property
    def is_growing(self) -> bool:
        """Return whether any limited engine is listed or has answered; the others need no reports."""
        return any(warming.has_answered for warming in self.warming.values())

    def share(self, engine: str) -> float:
        """Return the share of an engine's capacity that all instances together may use."""
        warming = self.warming.get(engine)
        if warming is None:
            return UNLIMITED_SHARE
        return warming.share if warming.has_answered else 0.0

    def work_limits(self, quota: float) -> dict[str, float]:
        """Return the work in ms per ms that may be sent to each engine that warms up.

        Args:
            quota: This instance's part of the limits of all instances.
        """
        limits = {e: warming.cores * self.share(e) * quota for e, warming in self.warming.items()}
        if len(limits) == len(self.engines) and not any(limits.values()):
            return dict.fromkeys(limits, MIN_WARMUP_LIMIT)
        return limits

    def cores(self) -> tuple[float, float]:
        """Return the cores of free engines, and the usable cores of engines that warm up."""
        warm = sum(cores for engine, cores in self.engines.items() if engine not in self.warming)
        return warm, sum(w.cores * w.share for w in self.warming.values() if w.has_answered)

    def assumed_share(self) -> float:
        """Return the share that is assumed of an untried engine just after a start. It is the highest share
        of a cold engine, times the part of the tried engines that answered, so it soon becomes small for a
        zone that is down."""
        answered = [warming.has_answered for warming in self.warming.values() if warming.was_tried]
        return self.settings.max_cold_share * (sum(answered) + 1) / (len(answered) + 1)

    def share_after_start(self, engine: str, assumed_share: float) -> float:
        """Return the share that is assumed of an engine just after this instance's start."""
        warming, share = self.warming.get(engine), self.share(engine)
        if warming is None or warming.was_tried:
            return max(share, self.settings.max_cold_share) if share else 0.0
        return assumed_share

    def retry_after_ms(self, lacking_cores: float) -> float:
        """Return how long a client that is rejected now should wait before it retries.

        It is the same at all instances, because an instance that has just started and still collects reports
        would estimate a time before the engines are warm.
        """
        return self.settings.retry_after_ms if lacking_cores > 0 else 0.0

    def step(self, now: float, live: Iterable[int]) -> list[tuple[int, bytes]]:
        """Update all shares from the observations, and return the messages that are due, as (member,
        message).

        Call it ten times a second.
        """
        members = sorted(set(live) - {self.self_id})
        next_step = self.stepped_at + self.settings.gossip_interval_ms - STEP_TOLERANCE_MS
        if len(members) >= self.settings.gossip_from_members and now < next_step:
            return []
        self.stepped_at = now
        reports = self.reports.fresh(now, self.settings.max_report_age_ms, members)
        by_number: dict[int, list[EngineObservation]] = {}
        for report in reports:
            for number, observation in report.engines.items():
                by_number.setdefault(number, []).append(observation)
        self.reported_warming = {
            number
            for number, observations in by_number.items()
            if any(observation.share < UNLIMITED_SHARE for observation in observations)
        }
        extrapolation_factor = (1 + len(members)) / (1 + len(reports))
        for engine, warming in list(self.warming.items()):
            oldest = warming.not_before - WINDOW_MS
            reported = [o for o in by_number.get(warming.number, ()) if now - o.age_ms >= oldest]
            self._update(now, engine, warming, reported, extrapolation_factor)
        return self._messages(now, members)

    def _start(self, now: float, engine: str, not_before: float) -> WarmingEngine:
        """Put an engine under slow start."""
        number = warmup_messages.engine_number(engine)
        warming = WarmingEngine(
            self.engines[engine], number, self.settings.initial_share, now, not_before, self.is_listed
        )
        warming.updated_at = now
        self.warming[engine] = warming
        return warming

    def _mark_answering(self, engine: str, warming: WarmingEngine, since: float) -> None:
        """Record that a list names an engine or that it has answered. It becomes free if only this instance
        was away and no other limits it."""
        warming.has_answered, warming.started_at = True, since
        if self.was_only_this_instance_away and warming.number not in self.reported_warming:
            del self.warming[engine]

    def _record_answering(self, now: float, engine: str, succeeded: bool) -> None:
        """Record since when an engine has answered without a fault; after a fault it may have restarted."""
        if not succeeded:
            self.answering_since.pop(engine, None)
        elif engine in self.engines:
            self.answering_since.setdefault(engine, now)

    def _update(
        self,
        now: float,
        engine: str,
        warming: WarmingEngine,
        reported: list[EngineObservation],
        extrapolation_factor: float,
    ) -> None:
        """Update an engine's share, and free it if it is warm by the observations of this or most instances,
        or after `max_duration_ms`."""
        warming.adopt_age(now, reported)
        local_observation = warming.observation = warming.observe(now)
        is_overdue = now - warming.started_at > self.settings.max_duration_ms
        if not reported and not local_observation.speed and warming.has_answered and not is_overdue:
            warming.updated_at = now
            return
        observations = [local_observation, *reported] if warming.has_answered else reported
        pooled = warmup_messages.pool_observations(observations, extrapolation_factor)
        passed_ms, warming.updated_at = now - warming.updated_at, now
        if pooled.speed > 0 and not warming.has_answered:
            warming.has_answered, warming.started_at = True, now  # another instance's attempt was answered
        if not warming.has_answered:
            return
        if pooled.share is not None:
            warming.share = pooled.share
        is_free = pooled.share is not None and pooled.share >= UNLIMITED_SHARE
        is_overdue = now - warming.started_at > self.settings.max_duration_ms
        if is_free or self._update_share(warming, pooled, passed_ms) or is_overdue:
            del self.warming[engine]

    def _update_share(self, warming: WarmingEngine, pooled: PooledObservation, passed_ms: float) -> bool:
        """Let an engine's share follow the pooled observation; return whether the engine is warm."""
        return warming.update_share(self.stepped_at, pooled, passed_ms, self.settings)

    def _messages(self, now: float, members: list[int]) -> list[tuple[int, bytes]]:
        """Return this instance's report for the other members, as (member, message)."""
        if not members or not self.is_growing and not self.reported_warming & self.numbers:
            return []
        s, is_small_fleet = self.settings, len(members) < self.settings.gossip_from_members
        self.incarnation, self.version = self.reports.next_stamp(self.incarnation, self.version)
        local_report = WarmupReport(
            self.self_id, self.incarnation, self.version, self._observations(is_small_fleet)
        )
        if is_small_fleet:
            data = encode_warmup_reports([local_report])
            return [(member, data) for member in members]
        relayed = [r.report for r in self.reports.newest() if now - r.received_at <= s.max_report_age_ms]
        data = encode_warmup_reports([local_report, *relayed])
        return [(member, data) for member in self.random.sample(members, s.gossip_fanout)]

    def _observations(self, is_small_fleet: bool) -> dict[int, EngineObservation]:
        """Return what to report: engines with answers first, the others in rotation.

        In a large fleet each instance has few answers, so engines without any are left out to make room for
        reports of other instances that are relayed.
        """
        observations = {
            warming.number: warming.observation
            for warming in self.warming.values()
            if warming.has_answered and (is_small_fleet or warming.observation.speed > 0)
        }
        bounded_here = {warming.number for warming in self.warming.values()}
        free = sorted((self.reported_warming & self.numbers) - bounded_here)
        for number in free[:: 1 if is_small_fleet else max(len(free) // MAX_WARM_ENTRIES, 1)]:
            observations[number] = EngineObservation(0.0, 0.0, UNLIMITED_SHARE, 0.0)
        if len(observations) <= warmup_messages.MAX_ENGINES:
            return observations
        rotation = self.version * ROTATION_MULTIPLIER
        ranked = sorted(observations, key=lambda n: (observations[n].speed <= 0, n + rotation & MAX_UINT32))
        return {number: observations[number] for number in ranked[: warmup_messages.MAX_ENGINES]}
