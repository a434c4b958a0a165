"""The order in which engines get work again after a power loss, decided alike by all instances. Pure.

An engine that has just started, or may have, has a share of its full capacity that all instances together
may send. Nothing, before it is listed or has answered. Then the share that a cold one bears. From there it
grows with what its answers show, at all instances, and not by the clock; one that shows its full speed is
free. See docs/design/power-loss-order.md. Times are ms of this instance's monotonic clock; work is in ms as
a warm engine would need.
"""

from __future__ import annotations

import functools
import math
import random
from collections import deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from enum import Enum

from cottonhold.fleet.latest_reports import LatestReports
from cottonhold.fleet.recovery import warmup_messages
from cottonhold.fleet.recovery.warmup_messages import (
    UNLIMITED_SHARE,
    WINDOW_MS,
    EngineObservation,
    PooledObservation,
    WarmupReport,
)
from cottonhold.fleet.zone_failover.messages import zone_number
from cottonhold.fleet.zone_failover.quota_lending import QuotaSettings
from cottonhold.membership.rendezvous import score

MAX_WARM_ROWS = 5  # free engines that others still hold for young, in a word of many
MIN_WORK_RATE = 1e-9  # no work, said as some
WARMUP_BUDGET = zone_number("cold engines")  # the budget of all cold engines, in parts as a zone's is


@dataclass(slots=True, frozen=True)
class SlowStartSettings:
    """Times in ms; shares are of an engine's full capacity.

    first: what a cold engine bears. step: a share doubles at most so often. push: so much more than what was
    shown is tried, since a speed that rises shows only under load. line: answers slower than this part of
    the work done mean a line at the engine; then `ease` of what it does is sent until it is gone. bears: most
    that is sent to one that is not warm yet, whatever it shows: it may fall over, and never by being slow
    first. free: from this speed on, shown for `sure`, an engine is free; under `doubt` that begins anew.
    fresh: so old may another's word be. turn: so long one dispatcher has to probe an engine first. longest:
    after so long an engine is free whatever it shows: a slow one must not be bounded for good. warm: so long
    after its start an engine is warm, as the settings say. close, fanout: as for words on zones; far: a step
    where there are more. settle: so long after the start the price counts engines for what they bear: little
    is known of them. cooldown: advice to wait for one turned away meanwhile. parts: most of a part is
    never lent.
    """

    initial_share: float = 0.3
    doubling_ms: float = 250.0
    growth_factor: float = 1.15
    queueing_ratio: float = 0.4
    drain_factor: float = 0.9
    max_cold_share: float = 0.48
    warm_speed: float = 0.85
    doubtful_speed: float = 0.65
    warm_confirmation_ms: float = 400.0
    max_report_age_ms: float = 1000.0
    prober_turn_ms: float = 100.0
    max_duration_ms: float = 30_000.0
    warm_after_ms: float = 13_000.0
    gossip_from_members: int = 9
    gossip_fanout: int = 4
    gossip_interval_ms: float = 200.0
    settle_ms: float = 600.0
    retry_after_ms: float = 1500.0
    quota: QuotaSettings = field(default_factory=lambda: QuotaSettings(loan_ms=300.0, unlent_share=0.6))


class OutageScope(Enum):
    """What the census found to have been away."""

    ALONE = "alone"  # only this instance
    ZONE = "zone"
    FLEET = "fleet"


@dataclass(slots=True)
class WarmingEngine:
    """An engine that is not known to be warm."""

    cores: float
    number: int
    share: float
    started_at: float
    not_before: float = -math.inf  # seen by one that holds it for started earlier: of another life
    has_answered: bool = False
    was_tried: bool = False  # a probe or an attempt has ended, here or as another tells
    answers: deque[tuple[float, float, float]] = field(default_factory=deque)  # at, work, elapsed
    updated_at: float = 0.0
    warm_since: float = math.inf  # since when it has shown the speed of a warm one
    observation: EngineObservation = EngineObservation(0.0, 0.0, 0.0, 0.0)  # as of the last step

    def observe(self, now: float) -> EngineObservation:
        """What this instance saw of it."""
        while self.answers and self.answers[0][0] <= now - WINDOW_MS:
            self.answers.popleft()
        age = now - self.started_at
        if not self.answers:
            return EngineObservation(0.0, 0.0, self.share, age)
        speed = warmup_messages.upper_quartile(
            [work / max(elapsed, 0.1) for _, work, elapsed in self.answers]
        )
        # Danger: one that has answered for less than the window would look as if it did little.
        seen = min(max(age, 100.0), WINDOW_MS)
        done = sum(work for _, work, _ in self.answers) / seen / self.cores
        return EngineObservation(speed, done, self.share, age)


class SlowStart:
    """Feed it what is listed, lost, probed and answered, and others' words; ask for `share` and `cores`."""

    def __init__(self, me: int, life: int, now: float, settings: SlowStartSettings, seed: int) -> None:
        self.self_id, self.incarnation, self.settings, self.began = me, life & 0xFFFFFFFF, settings, now
        self.draw = random.Random(seed)
        self.reports = LatestReports[WarmupReport](me)
        self.engines: dict[str, float] = {}  # all, with their cores
        self.numbers: set[int] = set()
        self.warming: dict[str, WarmingEngine] = {}
        self.answering_since: dict[
            str, float
        ] = {}  # since when an engine has answered without a fault, as seen here
        self.is_listed = False  # the own list has been heard since the start
        self.was_lost_alone = False  # nobody else was away, as far as is known
        self.reported_warming: set[int] = set()  # engines that others hold for young
        self.version = 0
        self.stepped_at = -math.inf

    # --- what happens ---

    def set_engines(self, now: float, engines: Mapping[str, float]) -> None:
        """Exactly these engines, with their cores, are there, by list or hint; new ones are young."""
        came = [engine for engine in engines if engine not in self.engines]
        self.engines = dict(engines)
        self.numbers = {warmup_messages.engine_number(engine) for engine in engines}
        self.warming = {e: y for e, y in self.warming.items() if e in engines}
        self.answering_since = {e: at for e, at in self.answering_since.items() if e in engines}
        for engine, young in self.warming.items():
            young.cores = engines[engine]
        for engine in came:
            self._start(now, engine, -math.inf)

    def on_list_received(self, now: float) -> None:
        """The own list has been heard: what it names may be tried without a probe, but what failed one."""
        self.is_listed = True
        for engine, young in list(self.warming.items()):
            # Danger: a dark zone's engines counted, and were tried again, since the list still named them.
            if not young.has_answered and not young.was_tried:
                self._prove(engine, young, young.started_at)

    def on_loss(
        self, now: float, what: OutageScope, engines: Iterable[str] | None = None, since: float = math.inf
    ) -> None:
        """The census tells what has been away; with a zone, its engines; since: when the first came back.

        After the loss of a zone or of all, each of its engines that is free is held for one that starts, and
        has to answer first. One that has answered since then goes on as what it is: as old as its first
        answer at least. So does one that is young already. Where this instance alone was away, engines are
        free that no other holds for young.
        """
        of = set(self.engines) if engines is None else set(engines) & set(self.engines)
        self.was_lost_alone = what is OutageScope.ALONE
        if self.was_lost_alone:
            # Danger: one that has answered nothing yet, and that no list names, would be sent to unproven.
            self.warming = {
                e: y
                for e, y in self.warming.items()
                if e not in of or y.number in self.reported_warming or not (self.is_listed or y.has_answered)
            }
            return
        for engine in sorted(of - set(self.warming)):
            alive = self.answering_since.get(engine, -math.inf)
            young = self._start(now, engine, min(now, since))
            young.has_answered = alive >= since
            if young.has_answered:
                # Danger: the loss of all is known when more than half are back, two seconds after the first.
                # Engines that it had warmed up meanwhile began once more as the coldest, and from nothing.
                young.started_at = alive
                young.share = max(young.share, min(self._of_age(now, young), self.settings.max_cold_share))

    def on_engine_started(self, now: float, engine: str) -> None:
        """It has just started, as the list tells, or answered a probe for the first time after silence."""
        self.answering_since.pop(engine, None)
        if engine in self.engines:
            self._start(now, engine, now).has_answered = True

    def on_engine_unreachable(self, now: float, engine: str) -> None:
        """It can't be reached: nothing goes there until it has answered, and then as to one that starts."""
        self.answering_since.pop(engine, None)
        if engine in self.engines:
            self._start(now, engine, now).has_answered = False

    def on_health_check(self, now: float, engine: str, good: bool) -> None:
        """A probe has ended, by this instance or, if good, as another tells."""
        self._lives(now, engine, good)
        young = self.warming.get(engine)
        if young is not None:
            young.was_tried = True
        if young is not None and good and not young.has_answered:
            self._prove(engine, young, now)
        elif young is not None and not good and not young.answers:
            young.has_answered = False

    def on_answer(self, now: float, engine: str, good: bool, work: float, elapsed: float) -> None:
        """An attempt has ended with an answer. work: as the engine tells it, else as such a query usually
        is, in ms; 0: not known, and it only proves that the engine answers."""
        self._lives(now, engine, good)
        young = self.warming.get(engine)
        if young is None:
            return
        young.was_tried = True
        if not good:
            # Danger: listed but dark engines counted as capacity for good where only others probed them.
            young.has_answered = young.has_answered and bool(young.answers)
            return
        if not young.has_answered:
            self._prove(engine, young, now)
        if work > 0:
            young.answers.append((now, work, elapsed))

    def _prove(self, engine: str, young: WarmingEngine, since: float) -> None:
        """It is there: a list names it, or it has answered."""
        young.has_answered, young.started_at = True, since
        if self.was_lost_alone and young.number not in self.reported_warming:
            del self.warming[engine]  # only this instance was away

    def _lives(self, now: float, engine: str, good: bool) -> None:
        if not good:
            self.answering_since.pop(engine, None)  # it may have started anew since
        elif engine in self.engines:
            self.answering_since.setdefault(engine, now)

    def on_message(self, now: float, data: bytes) -> None:
        """A message of ramps. Raises MessageError."""
        for word in warmup_messages.decode_warmup_reports(data):
            self.reports.apply(now, word)

    # --- what follows ---

    @property
    def is_active(self) -> bool:
        """Whether any engine is bounded."""
        return bool(self.warming)

    @property
    def is_growing(self) -> bool:
        """Whether any engine that has answered, or is listed, is bounded: dark ones need no words."""
        return any(young.has_answered for young in self.warming.values())

    def share(self, engine: str) -> float:
        """Share of its capacity that all instances together may send to an engine; 0 before it is proven."""
        young = self.warming.get(engine)
        return UNLIMITED_SHARE if young is None else young.share if young.has_answered else 0.0

    def work_limits(self, part: float) -> dict[str, float]:
        """Work in ms a ms that may be sent to each young engine, with so much of the budget of all."""
        work = {e: y.cores * self.share(e) * part for e, y in self.warming.items()}
        if len(work) == len(self.engines) and not any(work.values()):
            # Danger: the module skips bounds that leave no engine at all, and would send everything.
            return dict.fromkeys(work, MIN_WORK_RATE)
        return work

    def cores(self) -> tuple[float, float]:
        """Cores of free engines, and those that the ramp has set free of the others."""
        warm = sum(cores for engine, cores in self.engines.items() if engine not in self.warming)
        return warm, sum(young.cores * young.share for young in self.warming.values() if young.has_answered)

    def assumed_share(self) -> float:
        """What an engine that was not tried yet counts for at one that has just started: what engines bear,
        times the part that answers of those tried."""
        # Danger: a dark zone's engines counted as others' do, and one that came late let in and held what all
        # others refused.
        tried = [young.has_answered for young in self.warming.values() if young.was_tried]
        return self.settings.max_cold_share * (sum(tried) + 1) / (len(tried) + 1)

    def share_after_start(self, engine: str, hoped: float) -> float:
        """Its share at one that has just started."""
        young, share = self.warming.get(engine), self.share(engine)
        if young is None or young.was_tried:
            return max(share, self.settings.max_cold_share) if share else 0.0
        return hoped

    def retry_after_ms(self, lacking: float) -> float:
        """How long one turned away now should wait, in ms, where so many cores are lacking."""
        # Danger: by how fast the ramp grew, one that had just started, and only caught up with the others,
        # told clients to come soon. They had used up their tries before engines were warm.
        return self.settings.retry_after_ms if lacking > 0 else 0.0

    def step(self, now: float, live: Iterable[int]) -> list[tuple[int, bytes]]:
        """Weigh what engines show, and say what is due, as (member, message). Ten times a second."""
        members = sorted(set(live) - {self.self_id})
        if (
            len(members) >= self.settings.gossip_from_members
            and now < self.stepped_at + self.settings.gossip_interval_ms - 1.0
        ):
            return []
        self.stepped_at = now
        fresh = self.reports.fresh(now, self.settings.max_report_age_ms, members)
        told: dict[int, list[EngineObservation]] = {}
        for word in fresh:
            for number, row in word.engines.items():
                told.setdefault(number, []).append(row)
        self.reported_warming = {
            n for n, rows in told.items() if any(row.share < UNLIMITED_SHARE for row in rows)
        }
        unheard = (1 + len(members)) / (1 + len(fresh))
        for engine, young in list(self.warming.items()):
            rows = [r for r in told.get(young.number, ()) if now - r.age_ms >= young.not_before - WINDOW_MS]
            self._weigh(now, engine, young, rows, unheard)
        return self._tell(now, members, fresh)

    # --- inside ---

    def _start(self, now: float, engine: str, not_before: float) -> WarmingEngine:
        number = warmup_messages.engine_number(engine)
        young = WarmingEngine(
            self.engines[engine], number, self.settings.initial_share, now, not_before, self.is_listed
        )
        young.updated_at = now
        self.warming[engine] = young
        return young

    def _weigh(
        self, now: float, engine: str, young: WarmingEngine, told: list[EngineObservation], unheard: float
    ) -> None:
        """Its share from now on."""
        # Danger: by its own first answer alone, one that had just come held an engine for colder than others
        # did. Two must tell of such an age: one that lies would set it free.
        ages = sorted((row.age_ms for row in told if row.share < UNLIMITED_SHARE), reverse=True)
        if len(ages) > 1:
            young.started_at = min(young.started_at, now - ages[1])
        own = young.observation = young.observe(now)
        if (
            not told
            and not own.speed
            and young.has_answered
            and now - young.started_at <= self.settings.max_duration_ms
        ):
            young.updated_at = now
            return
        pooled = warmup_messages.pool_observations([own, *told] if young.has_answered else told, unheard)
        passed, young.updated_at = now - young.updated_at, now
        if pooled.speed > 0 and not young.has_answered:
            young.has_answered, young.started_at = True, now  # another's attempt was answered
        if not young.has_answered:
            return
        if pooled.share is not None:
            young.share = pooled.share
        free = pooled.share is not None and pooled.share >= UNLIMITED_SHARE  # most that tell hold it for warm
        if (
            free
            or self._shows(young, pooled, passed)
            or now - young.started_at > self.settings.max_duration_ms
        ):
            del self.warming[engine]

    def _shows(self, young: WarmingEngine, pooled: PooledObservation, passed: float) -> bool:
        """Follow what it shows; true if it is warm."""
        s = self.settings
        # Danger: by the clock alone, one that stays slow is pushed over. Without an answer nothing grows.
        if pooled.speed <= 0:
            return False
        best = max(pooled.speed, pooled.work_done)
        lined = pooled.speed < s.queueing_ratio * pooled.work_done
        # Danger: set free at the first sign, one that was not warm yet got all that was held, and fell over.
        if best >= s.warm_speed:
            young.warm_since = min(young.warm_since, self.stepped_at)
        elif best < s.doubtful_speed:
            young.warm_since = math.inf
        warm = self.stepped_at - young.warm_since >= s.warm_confirmation_ms
        limit = min(
            best * (s.drain_factor if lined else s.growth_factor),
            UNLIMITED_SHARE if warm else s.max_cold_share,
        )
        # Danger: by what it shows alone, one that few requests come to, or whose answers are late from a busy
        # machine, showed less than it was let have, and service never came back. So one that answers, and
        # without a line, bears what the settings say that one of its age does.
        told = self._of_age(self.stepped_at, young)
        limit, warm = max(limit, 0.0 if lined else told), warm or told >= UNLIMITED_SHARE
        factor = 2 ** (passed / s.doubling_ms)
        if lined:
            young.share = min(max(limit, young.share / factor, s.initial_share / 2), young.share * factor)
        else:
            # Danger: with few answers, all of which had waited, the share fell where nothing was wrong.
            young.share = max(min(limit, young.share * factor), young.share)
        return warm and young.share >= s.warm_speed

    def _of_age(self, now: float, young: WarmingEngine) -> float:
        """What the settings say that one of its age bears, if it is as old as is known."""
        s = self.settings
        return min(
            s.initial_share + (1 - s.initial_share) * (now - young.started_at) / s.warm_after_ms,
            UNLIMITED_SHARE,
        )

    def _tell(self, now: float, members: list[int], fresh: list[WarmupReport]) -> list[tuple[int, bytes]]:
        if not members or not self.is_growing and not self.reported_warming & self.numbers:
            return []
        few = len(members) < self.settings.gossip_from_members
        self.incarnation, self.version = self.reports.next_stamp(self.incarnation, self.version)
        mine = WarmupReport(self.self_id, self.incarnation, self.version, self._rows(few))
        if few:
            data = warmup_messages.encode_warmup_reports([mine])
            return [(member, data) for member in members]
        passed = [
            h.report for h in self.reports.newest() if now - h.received_at <= self.settings.max_report_age_ms
        ]
        data = warmup_messages.encode_warmup_reports([mine, *passed])
        return [(member, data) for member in self.draw.sample(members, self.settings.gossip_fanout)]

    def _rows(self, few: bool) -> dict[int, EngineObservation]:
        """What to tell: of engines with answers first, of others in turn."""
        # Danger: of many instances each has few answers. With rows that show nothing, words grew so long that
        # none was passed on.
        rows = {
            y.number: y.observation
            for y in self.warming.values()
            if y.has_answered and (few or y.observation.speed > 0)
        }
        free = (self.reported_warming & self.numbers) - {young.number for young in self.warming.values()}
        for number in sorted(free)[:: 1 if few else max(len(free) // MAX_WARM_ROWS, 1)]:
            rows[number] = EngineObservation(0.0, 0.0, UNLIMITED_SHARE, 0.0)
        if len(rows) <= warmup_messages.MAX_ENGINES:
            return rows
        turn = self.version * 0x9E3779B1
        ranked = sorted(rows, key=lambda n: (rows[n].speed <= 0, n + turn & 0xFFFFFFFF))
        return {number: rows[number] for number in ranked[: warmup_messages.MAX_ENGINES]}


@functools.lru_cache(maxsize=4096)
def _order(engine: str, dispatchers: int) -> tuple[int, ...]:
    return tuple(sorted(range(dispatchers), key=lambda number: -score(number + 1, 1.0, engine)))


def first_prober(engine: str, passed: float, dispatchers: int, turn: float = 100.0) -> int:
    """The number of the configured dispatcher that probes an engine now, before members have settled.

    passed: ms since this one's start, or since the loss. All are asked in an order by hash, one a turn, so
    that an engine is found though most of the others are not back yet.
    """
    order = _order(engine, dispatchers)
    return order[int(max(passed, 0.0) / turn) % dispatchers]
