"""State records of the decision module: what a gateway remembers. No decision and no tuned value here."""

from __future__ import annotations

import math
import zlib
from dataclasses import InitVar, dataclass, field

from cottonhold.scheduler.class_history import Learned
from cottonhold.scheduler.events import Engine, QueryArrived
from cottonhold.scheduler.in_flight import Levels
from cottonhold.scheduler.moving_average import Rate
from cottonhold.scheduler.settings import Idempotency, MachineType, QueryClass, Rules, Settings

FRESH_MS = 5.0  # so long what is left of the work out or held counts as it was: runs take far longer


@dataclass(slots=True, eq=False)
class Query:
    """A query this gateway owes an answer, or whose attempt still lacks its outcome."""

    arrival: InitVar[QueryArrived]
    settings: InitVar[Settings]  # in force as it came; later ones do not concern it
    learned: Learned
    arrived: float
    order: int  # its place among all queries taken

    # as it came
    cls: QueryClass = field(init=False)
    most: int = 1  # attempts that it may have
    id: str = ""
    due: float = 0.0  # when its client gives up
    told: float = 0.0  # cost that the client told, in ms of work on one thread; 0 where it told none
    told_memory: float = 0.0  # MB that the client told; 0 where it told none
    tables: int = -1
    tenant: int = 0
    key: str | None = None  # queries of one key keep their order
    began: float = 0.0  # when its client tried first

    # what it is taken to need and to be worth
    cost: float = 0.0  # ms of work on one thread
    memory: float = 0.0  # MB
    aim: float = 0.0  # ms in which it earns its full worth
    aim_at: float = 0.0  # when that time is over
    top: float = 0.0  # its full worth

    # its place in the plan of an engine
    engine: EngineView | None = None
    finish: float = 0.0  # tentative
    p: float = 0.0  # planned run time in ms
    area: float = 0.0  # planned thread time in ms
    density: float = 0.0  # worth over cost, a power of two
    lane: int = 1  # priority
    lane_told: int = 1  # priority that the engines were told
    grant: int = 0  # MB that the engines were told to grant
    trickle: bool = False  # it tests a suspect engine

    # the attempt that is out, and what came of those before
    out: bool = False
    attempts: int = 0
    sent_at: float = 0.0
    seen_at: float = 0.0  # when a note last told its progress, else when it was sent
    run_at: float = 0.0  # when it was last known to begin to run
    done: float = 0.0  # part of its run that notes told to be done
    waits: bool = False  # the engine said that it waits for memory
    streaming: bool = False
    cancelled: bool = False
    tried: set[str] = field(default_factory=set)
    risk_at: float | None = None  # when the first attempt was sent that may have run
    risk_engine: EngineView | None = None  # and where
    failures: int = 0  # engines that answered with an error
    blamed: EngineView | None = None  # the first of them
    over: bool = False  # it has its final answer

    def __post_init__(self, arrival: QueryArrived, settings: Settings) -> None:
        """What the client told, and the rules that hold for it to its end."""
        self.cls = settings.classes[arrival.query_class]
        self.most = settings.features.max_attempts
        self.id = arrival.query_id
        self.due = arrival.deadline_at
        self.tables = arrival.table_group
        self.tenant = arrival.tenant
        self.told = arrival.estimated_work_ms
        self.told_memory = arrival.estimated_memory_mb
        self.key = arrival.ordering_key if self.cls.is_ordered_by_key else None

    def work(self) -> float:
        """Its work in thread ms for the admission threshold: by what it tells, which is alike everywhere."""
        return (self.told or self.cost) * self.cls.threads

    def left(self, now: float, least: float) -> float:
        """Part of its run that is taken to be left."""
        return max(least, 1 - max(self.done, (now - self.sent_at) / max(self.p, 1.0)))

    def begin_attempt(self, now: float, engine: EngineView) -> None:
        """An attempt is sent to an engine now."""
        self.engine = engine
        self.out = True
        self.sent_at = self.seen_at = self.run_at = now
        self.done = 0.0
        self.cancelled = self.waits = False

    def window_end(self) -> float:
        """Until when engines drop its repeats; infinity as long as it can't have run, or where none does."""
        if self.risk_at is None or self.cls.idempotency is not Idempotency.IDEMPOTENT_WITH_KEY:
            return math.inf
        return self.risk_at + self.cls.deduplication_window_ms

    def leave_plan(self) -> None:
        """Remove the query from the plan it is held in, if any."""
        engine = self.engine
        if engine is not None and self in engine.plan:
            engine.plan.remove(self)
            engine.held_area -= self.area
            engine.held_space -= self.p * self.memory
            if self.cls.is_load:
                engine.line[self.tables] = max(engine.line[self.tables] - self.p, 0.0)


@dataclass(slots=True, eq=False)
class EngineView:
    """What this gateway knows of one engine."""

    id: str
    info: Engine
    cores: float
    memory: float  # MB; 0 where it is not known
    code: int = 0  # short, for messages; the same at every gateway
    rank: int = 0  # place among the live engines, the same at every gateway

    # what is held for it, and what is out there
    plan: list[Query] = field(default_factory=list)
    held_area: float = 0.0  # thread ms, planned
    held_space: float = 0.0  # MB ms, planned
    line: dict[int, float] = field(default_factory=dict)  # ms of loads held, by tables
    out: dict[str, Query] = field(default_factory=dict)
    threads_out: int = 0
    memory_out: float = 0.0  # MB
    levels: Levels = field(default_factory=Levels)
    loading: dict[int, int] = field(default_factory=dict)  # loads out, by tables
    locks: dict[int, float] = field(default_factory=dict)  # until when tables are taken to be locked
    left: dict[float, tuple[float, float]] = field(default_factory=dict)  # thread ms and MB ms, by density
    ahead_at: float = -math.inf  # when that was counted

    # its room, and this gateway's part of it
    room: float = 1.0  # threads
    memory_room: float = math.inf  # MB
    own_room: float = 1.0
    own_memory: float = math.inf

    # what peers told of it
    told: dict[int, Told] = field(default_factory=dict)  # what each peer has there
    others: Told = field(default_factory=lambda: Told(-math.inf, 0, 0.0, 0.0))  # their sum, for FRESH_MS
    fresh: Told = field(default_factory=lambda: Told(-math.inf, 0, 0.0, 0.0))  # sent since they were told

    # what it showed: rate in ms of work a thread ms, load, failure evidence
    speed: Rate = field(default_factory=Rate)
    rate: float = 1.0
    rate_at: float = -1.0
    report: dict[str, float] = field(default_factory=dict)
    report_at: float = -math.inf
    pressed_until: float = 0.0
    rest_until: float = 0.0  # passed over until then
    jams: int = 0  # times in a row that it was full
    last_word: float = 0.0
    probed_at: float = -math.inf
    errors: float = 0.0  # share of outcomes that were errors, smoothed
    broke_at: float = -math.inf  # when connections last broke
    good: int = 0  # queries served in a row
    suspect: str = ""  # why, or nothing
    suspect_at: float = 0.0
    suspect_until: float = 0.0
    trickle_at: float = 0.0  # when a safe query may test it

    # slow start and the fleet's bound
    cold_until: float = 0.0
    allowance: float = 0.0  # ms of work that may be sent now
    allowance_at: float = 0.0
    bound: float = math.inf  # work in ms a ms that the fleet lets this gateway send here
    bound_until: float = math.inf

    def __post_init__(self) -> None:
        """A short code for the id, the same at every gateway."""
        self.code = zlib.crc32(self.id.encode())

    @classmethod
    def listed(cls, info: Engine, models: tuple[MachineType, ...], now: float) -> EngineView:
        """One that has come to the list; where its model is not known its size counts as cores."""
        model = models[info.machine_type] if info.machine_type < len(models) else MachineType()
        return cls(info.id, info, model.cores or max(info.size, 1.0), model.memory_mb, last_word=now)

    def warmth(self, now: float, rules: Rules) -> float:
        """Part of its capacity that it is taken to have: evenly up from where it starts to all of it."""
        cold = min(1.0, max(0.0, self.cold_until - now) / rules.warm_up_ms)
        return 1 - (1 - rules.cold_capacity_share) * cold

    def sound(self) -> bool:
        """Neither doubted here nor left by the fleet."""
        return not self.suspect and self.bound > 0

    def bounded(self, now: float) -> float:
        """The bound in force: none where the fleet has set none, nothing once it has run out."""
        return self.bound if now < self.bound_until or self.bound == math.inf else 0.0

    def set_bound(self, now: float, bound: float, until: float) -> bool:
        """Another bound; true if nothing was allowed before and something is now. One that was free before
        starts without anything saved up; one whose bound is lifted has shown what it can do."""
        returns = not self.bound and bound > 0
        if self.bound < math.inf and now < self.cold_until:
            # Danger: many gateways had been allowed nothing for a while; the first look under the next bound
            # counted that one for all of the time, and each had a query saved up at the same moment.
            self.allowance += self.bound * max(0.0, min(now, self.bound_until) - self.allowance_at)
            self.allowance_at = now
        # Danger: bounds come ten times a second. One that has none, and is cold, lost what it had saved
        # each time and got next to nothing.
        if self.bound == math.inf and bound < math.inf:
            self.allowance = 0.0
            self.allowance_at = now
        elif self.bound < math.inf and bound == math.inf:
            # Danger: back in full by what it showed, it was held to the cold budget by the clock for seconds.
            self.cold_until = min(self.cold_until, now)
        self.bound = bound
        self.bound_until = until
        return returns

    def hear_report(self, now: float, report: dict[str, float]) -> bool:
        """Take in a load report without the values that make no sense; false if none is left."""
        if sound := {name: v for name, v in report.items() if math.isfinite(v) and v >= 0}:
            self.report = sound
            self.report_at = now
        return bool(sound)

    def restart(self) -> None:
        """Forget what was learned of the process that ran before."""
        self.speed = Rate()
        self.errors = 0.0
        self.locks = {}

    def loads_on(self, tables: int, now: float) -> bool:
        """Whether a load on these tables is out here, of this gateway or as a peer told, or held for here."""
        mine = self.loading.get(tables, 0) > 0 or self.line.get(tables, 0.0) > 0
        return mine or self.locks.get(tables, 0.0) > now

    def ahead(self, now: float, least: float, density: float, alpha: float, passed: float) -> float:
        """Time that this gateway's room takes for what is left of the work out, of what is passed a part."""
        # Danger: counted for every decision, hundreds of attempts out on a big engine cost more than a core.
        if now - self.ahead_at >= FRESH_MS:
            self.ahead_at = now
            self.left.clear()
            for query in self.out.values():
                left = (
                    1 - (now - query.sent_at) / query.p
                    if query.p > 1 and not query.done
                    else query.left(now, least)
                )
                self._add_left(query, left if left > least else least)
        # Danger: counted whole, reports made the lookups that pass them on the engine look late for good.
        area = space = 0.0
        for at, (more, memory) in self.left.items():
            part = 1.0 if density <= alpha * at else passed
            area += more * part
            space += memory * part
        return max(area / self.own_room, space / self.own_memory)

    def hear(self, peer: int, told: Told | None, until: float) -> None:
        """Take in what a peer has here, or that it has nothing; it is forgotten if not told again by then."""
        self.told.pop(peer, None)
        if told is not None:
            told.until = until
            self.told[peer] = told

    def sum_told(self, now: float, alike: float) -> Told:
        """What the peers that told of it have out here, and what is left of it. What was sent since is taken
        to be that many times this gateway's own."""
        if now - self.others.at >= FRESH_MS:
            self.told = {peer: t for peer, t in self.told.items() if t.until > now}
            told = self.told.values()
            left = sum(max(t.area - t.threads * (now - t.at), 0.0) for t in told)
            self.others = Told(now, sum(t.threads for t in told), sum(t.memory for t in told), left)
        others, fresh = self.others, self.fresh
        return Told(
            now,
            others.threads + fresh.threads * alike,
            others.memory + fresh.memory * alike,
            others.area + fresh.area * alike,
        )

    def _add_left(self, query: Query, part: float) -> None:
        """Count a part of a query's run as left, by density; a negative part takes it back."""
        area, space = self.left.get(query.density, (0.0, 0.0))
        area = max(area + query.area * part, 0.0)
        space = max(space + query.p * query.memory * part, 0.0)
        self.left[query.density] = (area, space)

    def hold(self, place: int, query: Query) -> None:
        """Hold a query at a place of the plan."""
        self.plan.insert(place, query)
        self.held_area += query.area
        self.held_space += query.p * query.memory
        if query.cls.is_load:
            self.line[query.tables] = self.line.get(query.tables, 0.0) + query.p

    def empty(self) -> list[Query]:
        """Take all that is held."""
        held = self.plan
        self.plan = []
        self.held_area = 0.0
        self.held_space = 0.0
        self.line = {}
        return held

    def add_out(self, query: Query) -> None:
        """An attempt of the query is out here now."""
        self.out[query.id] = query
        if query.cls.is_load:
            self.loading[query.tables] = self.loading.get(query.tables, 0) + 1
        self.levels.add(query)
        self._add_left(query, 1.0)
        self.threads_out += query.cls.threads
        self.memory_out += query.memory
        self.fresh.count(query, 1)

    def drop_out(self, query: Query, least: float) -> bool:
        """The attempt that was out here has ended; false if none was."""
        if self.out.pop(query.id, None) is None:
            return False
        self.levels.drop(query)
        if query.cls.is_load:
            self.loading[query.tables] -= 1
        self._add_left(query, -query.left(max(self.ahead_at, query.sent_at), least))
        self.threads_out -= query.cls.threads
        self.memory_out -= query.memory
        if query.sent_at >= self.fresh.at:
            self.fresh.count(query, -1)
        return True


@dataclass(slots=True)
class Peers:
    """The traffic that other gateways told of, with the time it was heard."""

    heard: dict[int, tuple[float, float]] = field(default_factory=dict)
    told_of: dict[int, list[EngineView]] = field(default_factory=dict)  # engines on which each has work

    def mean(self, own: float, since: float) -> float:
        """Mean rate of this gateway and those heard of since."""
        rates = [own] + [rate for at, rate in self.heard.values() if at > since]
        return sum(rates) / len(rates)


@dataclass(slots=True)
class Told:
    """What a peer has on an engine, and when it told of it: threads and memory out, planned thread time."""

    at: float
    threads: float
    memory: float
    area: float
    until: float = math.inf

    def count(self, query: Query, times: int) -> None:
        """Add a query, or take it back."""
        self.threads += times * query.cls.threads
        self.memory += times * query.memory
        self.area += times * query.area
