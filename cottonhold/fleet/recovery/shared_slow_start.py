"""How engines get work again after a power loss or a restart, decided alike by all instances. Pure.

An engine that has just started, or may have, has a share of its full capacity that all instances together may
send. Nothing, before it is listed or has answered. Then the share that a cold one bears. From there it grows
with what its answers show, at all instances, and not by the clock; one that shows its full speed is warm and
free. See docs/design/power-loss-order.md. Times are ms of this instance's monotonic clock; work is in ms as a
warm engine would need.
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

MAX_WARM_ROWS = 5  # warm engines that others still bound, in a report of many members
MIN_WARMUP_LIMIT = 1e-9  # stands for no work: the scheduler ignores bounds that leave no engine at all
STEP_TOLERANCE_MS = 1.0  # of timers, where a step is due
ROTATION = 0x9E3779B1  # the golden ratio of 32 bits: spreads successive versions over all engine numbers


class OutageScope(Enum):
    """What the membership survey found to have been away."""

    ALONE = "alone"  # only this instance
    ZONE = "zone"
    FLEET = "fleet"


class SharedSlowStart:
    """Feed it what is listed, lost, checked and answered, and others' reports; ask for `share`."""

    def __init__(
        self, self_id: int, incarnation: int, now: float, settings: SlowStartSettings, seed: int
    ) -> None:
        self.self_id, self.incarnation, self.version = self_id, incarnation & MAX_UINT32, 0
        self.settings, self.started_at = settings, now
        self.random = random.Random(seed)
        self.reports = LatestReports[WarmupReport](self_id)
        self.engines: dict[str, float] = {}  # all, with their cores
        self.numbers: set[int] = set()  # of these, on the wire
        self.warming: dict[str, WarmingEngine] = {}
        self.answering_since: dict[str, float] = {}  # by engine, without a fault, as seen here
        self.is_listed = False  # the own list of engines has been received since the start
        self.was_only_this_instance_away = False  # nobody else was away, as far as is known
        self.reported_warming: set[int] = set()  # numbers of engines that others bound
        self.stepped_at = -math.inf

    def set_engines(self, now: float, engines: Mapping[str, float]) -> None:
        """Exactly these engines, with their cores, exist; new ones warm up."""
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
        """The own list has been received: its engines may be tried without a health check, but for those that
        have failed one; the list may still name engines of a zone that is down."""
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
        """The membership survey has found an outage. engines: of its zones; since: when the first of those
        lost was back.

        After the loss of a zone or of all, each of its engines that is free counts as one that starts, and
        has to answer first. One that has answered since then goes on as old as its first answer at least. So
        does one that warms up already. Where this instance alone was away, engines are free that no other
        bounds.
        """
        affected = set(self.engines) if engines is None else set(engines) & set(self.engines)
        self.was_only_this_instance_away = scope is OutageScope.ALONE
        if self.was_only_this_instance_away:
            self._free_engines(affected)
            return
        for engine in sorted(affected - set(self.warming)):
            self._restart(now, engine, since)

    def _free_engines(self, engines: set[str]) -> None:
        """Free these engines, but for those that others bound, and those that no list or answer proves."""
        self.warming = {
            engine: warming
            for engine, warming in self.warming.items()
            if engine not in engines
            or warming.number in self.reported_warming
            or not (self.is_listed or warming.has_answered)
        }

    def _restart(self, now: float, engine: str, since: float) -> None:
        """Put a free engine under slow start after a loss that is known only now."""
        answering_since = self.answering_since.get(engine, -math.inf)
        warming = self._start(now, engine, min(now, since))
        warming.has_answered = answering_since >= since
        if warming.has_answered:
            # A loss of all is known when more than half are back; what warmed up meanwhile need not again.
            warming.started_at = answering_since
            of_age = min(warming.share_of_age(now, self.settings), self.settings.max_cold_share)
            warming.share = max(warming.share, of_age)

    def on_engine_started(self, now: float, engine: str) -> None:
        """It has just started, as the list says, or passed a first health check after silence."""
        self.answering_since.pop(engine, None)
        if engine in self.engines:
            self._start(now, engine, now).has_answered = True

    def on_engine_unreachable(self, now: float, engine: str) -> None:
        """Nothing goes there until it has answered, and then as to one that starts."""
        self.answering_since.pop(engine, None)
        if engine in self.engines:
            self._start(now, engine, now).has_answered = False

    def on_health_check(self, now: float, engine: str, succeeded: bool) -> None:
        """A health check by this instance has ended, or a good one by another."""
        self._note_answering(now, engine, succeeded)
        warming = self.warming.get(engine)
        if warming is None:
            return
        warming.was_tried = True
        if succeeded and not warming.has_answered:
            self._mark_answering(engine, warming, now)
        elif not succeeded and not warming.answers:
            warming.has_answered = False

    def on_answer(self, now: float, engine: str, succeeded: bool, work_ms: float, elapsed_ms: float) -> None:
        """An attempt has ended with an answer. work_ms: as the engine reports it, else as such a query
        usually takes; 0: not known, and the answer only proves that the engine is there."""
        self._note_answering(now, engine, succeeded)
        warming = self.warming.get(engine)
        if warming is None:
            return
        warming.was_tried = True
        if not succeeded:
            # Without any good answer an engine that is only listed counts as capacity no longer.
            warming.has_answered = warming.has_answered and bool(warming.answers)
            return
        if not warming.has_answered:
            self._mark_answering(engine, warming, now)
        if work_ms > 0:
            warming.answers.append(Answer(now, work_ms, elapsed_ms))

    def on_message(self, now: float, data: bytes) -> None:
        """A message of warm-up reports. Raises MessageError."""
        for report in decode_warmup_reports(data):
            self.reports.apply(now, report)

    @property
    def is_active(self) -> bool:
        """Whether any engine is bounded."""
        return bool(self.warming)

    @property
    def is_growing(self) -> bool:
        """Whether any engine that has answered, or is listed, is bounded; others need no reports."""
        return any(warming.has_answered for warming in self.warming.values())

    def share(self, engine: str) -> float:
        """Share of its capacity that all instances together may send to an engine; 0 before it is proven."""
        warming = self.warming.get(engine)
        if warming is None:
            return UNLIMITED_SHARE
        return warming.share if warming.has_answered else 0.0

    def work_limits(self, quota: float) -> dict[str, float]:
        """Work in ms a ms that may be sent to each engine that warms up. quota: of the budget of all."""
        limits = {e: warming.cores * self.share(e) * quota for e, warming in self.warming.items()}
        if len(limits) == len(self.engines) and not any(limits.values()):
            return dict.fromkeys(limits, MIN_WARMUP_LIMIT)
        return limits

    def cores(self) -> tuple[float, float]:
        """Cores of free engines, and those of the others that may be used."""
        warm = sum(cores for engine, cores in self.engines.items() if engine not in self.warming)
        return warm, sum(w.cores * w.share for w in self.warming.values() if w.has_answered)

    def assumed_share(self) -> float:
        """What an engine that was not tried yet counts for just after a start: what engines bear, times the
        part that answers of those tried. So engines of a zone that is down soon count for little."""
        answered = [warming.has_answered for warming in self.warming.values() if warming.was_tried]
        return self.settings.max_cold_share * (sum(answered) + 1) / (len(answered) + 1)

    def share_after_start(self, engine: str, assumed_share: float) -> float:
        """What an engine counts for just after this instance's start."""
        warming, share = self.warming.get(engine), self.share(engine)
        if warming is None or warming.was_tried:
            return max(share, self.settings.max_cold_share) if share else 0.0
        return assumed_share

    def retry_after_ms(self, lacking_cores: float) -> float:
        """How long a client that is rejected now should wait. The same at all instances: one that has just
        started and catches up would promise capacity before engines are warm."""
        return self.settings.retry_after_ms if lacking_cores > 0 else 0.0

    def step(self, now: float, live: Iterable[int]) -> list[tuple[int, bytes]]:
        """Let shares follow what engines show, and return the messages that are due, as (member, message).
        Call it ten times a second."""
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
        unheard_factor = (1 + len(members)) / (1 + len(reports))
        for engine, warming in list(self.warming.items()):
            oldest = warming.not_before - WINDOW_MS
            reported = [o for o in by_number.get(warming.number, ()) if now - o.age_ms >= oldest]
            self._update(now, engine, warming, reported, unheard_factor)
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
        """An engine is there: a list names it, or it has answered. If only this instance was away it is
        free."""
        warming.has_answered, warming.started_at = True, since
        if self.was_only_this_instance_away and warming.number not in self.reported_warming:
            del self.warming[engine]

    def _note_answering(self, now: float, engine: str, succeeded: bool) -> None:
        """Note since when an engine answers; after a fault it may have restarted."""
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
        unheard_factor: float,
    ) -> None:
        """An engine's share from now on; it is free once it is warm, by own or most others' observations."""
        warming.adopt_age(now, reported)
        own_observation = warming.observation = warming.observe(now)
        is_overdue = now - warming.started_at > self.settings.max_duration_ms
        if not reported and not own_observation.speed and warming.has_answered and not is_overdue:
            warming.updated_at = now
            return
        observations = [own_observation, *reported] if warming.has_answered else reported
        pooled = warmup_messages.pool_observations(observations, unheard_factor)
        passed_ms, warming.updated_at = now - warming.updated_at, now
        if pooled.speed > 0 and not warming.has_answered:
            warming.has_answered, warming.started_at = True, now  # another instance's attempt was answered
        if not warming.has_answered:
            return
        if pooled.share is not None:
            warming.share = pooled.share
        is_free = pooled.share is not None and pooled.share >= UNLIMITED_SHARE
        is_overdue = now - warming.started_at > self.settings.max_duration_ms
        if is_free or self._follow(warming, pooled, passed_ms) or is_overdue:
            del self.warming[engine]

    def _follow(self, warming: WarmingEngine, pooled: PooledObservation, passed_ms: float) -> bool:
        """Let an engine's share follow what it shows; returns whether it is warm."""
        return warming.follow(self.stepped_at, pooled, passed_ms, self.settings)

    def _messages(self, now: float, members: list[int]) -> list[tuple[int, bytes]]:
        """This instance's report to the others, as (member, message)."""
        if not members or not self.is_growing and not self.reported_warming & self.numbers:
            return []
        s, is_small_fleet = self.settings, len(members) < self.settings.gossip_from_members
        self.incarnation, self.version = self.reports.next_stamp(self.incarnation, self.version)
        own_report = WarmupReport(
            self.self_id, self.incarnation, self.version, self._observations(is_small_fleet)
        )
        if is_small_fleet:
            data = encode_warmup_reports([own_report])
            return [(member, data) for member in members]
        relayed = [r.report for r in self.reports.newest() if now - r.received_at <= s.max_report_age_ms]
        data = encode_warmup_reports([own_report, *relayed])
        return [(member, data) for member in self.random.sample(members, s.gossip_fanout)]

    def _observations(self, is_small_fleet: bool) -> dict[int, EngineObservation]:
        """What to report: engines with answers first, the others in rotation.

        In a large fleet each instance has few answers; engines of which it saw nothing are left out, so that
        others' reports can be relayed as well.
        """
        observations = {
            warming.number: warming.observation
            for warming in self.warming.values()
            if warming.has_answered and (is_small_fleet or warming.observation.speed > 0)
        }
        bounded_here = {warming.number for warming in self.warming.values()}
        free = sorted((self.reported_warming & self.numbers) - bounded_here)
        for number in free[:: 1 if is_small_fleet else max(len(free) // MAX_WARM_ROWS, 1)]:
            observations[number] = EngineObservation(0.0, 0.0, UNLIMITED_SHARE, 0.0)
        if len(observations) <= warmup_messages.MAX_ENGINES:
            return observations
        rotation = self.version * ROTATION
        ranked = sorted(observations, key=lambda n: (observations[n].speed <= 0, n + rotation & MAX_UINT32))
        return {number: observations[number] for number in ranked[: warmup_messages.MAX_ENGINES]}
