"""State records of the decision module: what a gateway remembers. No decision and no tuned value here."""

from __future__ import annotations

import heapq
import math
import zlib
from collections import deque
from dataclasses import InitVar, dataclass, field

from cottonhold.decide import interface as io

FRESH_MS = 5.0  # so long what is left of the work out or held counts as it was: runs take far longer


@dataclass(slots=True, eq=False)
class Query:
    """A query this gateway owes an answer, or whose attempt still lacks its outcome."""

    arrival: InitVar[io.Arrival]
    settings: InitVar[io.Settings]  # in force as it came; later ones do not concern it
    learned: Learned
    arrived: float
    order: int
    cls: io.QueryClass = field(init=False)
    most: int = 1  # attempts that it may have
    id: str = ""
    due: float = 0.0
    told: float = 0.0
    told_memory: float = 0.0
    tables: int = -1
    tenant: int = 0
    key: str | None = None
    began: float = 0.0
    attempts: int = 0
    risk_at: float | None = None
    risk_engine: EngineView | None = None
    failures: int = 0
    blamed: EngineView | None = None
    engine: EngineView | None = None
    out: bool = False
    over: bool = False
    tried: set[str] = field(default_factory=set)
    sent_at: float = 0.0
    seen_at: float = 0.0
    run_at: float = 0.0
    done: float = 0.0
    cost: float = 0.0
    aim: float = 0.0
    top: float = 0.0
    p: float = 0.0
    area: float = 0.0
    memory: float = 0.0
    density: float = 0.0
    finish: float = 0.0
    aim_at: float = 0.0
    lane: int = 1
    lane_told: int = 1
    grant: int = 0
    cancelled: bool = False
    waits: bool = False
    streaming: bool = False
    trickle: bool = False

    def __post_init__(self, arrival: io.Arrival, settings: io.Settings) -> None:
        """What the client told, and the rules that hold for it to its end."""
        self.cls, self.most = settings.classes[arrival.query_class], settings.permits.max_attempts
        self.id, self.due = arrival.query, arrival.due
        self.tables, self.tenant = arrival.tables, arrival.tenant
        self.told, self.told_memory = arrival.cost, arrival.memory
        self.key = arrival.order_key if self.cls.in_order else None

    def work(self) -> float:
        """Its work in thread ms as a price sees it: by what it tells, which is alike at all gateways."""
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
        if self.risk_at is None or self.cls.effect is not io.Effect.KEYED:
            return math.inf
        return self.risk_at + self.cls.window

    def leave_plan(self) -> None:
        """Remove the query from the plan it is held in, if any."""
        e = self.engine
        if e is not None and self in e.plan:
            e.plan.remove(self)
            e.held_area, e.held_space = e.held_area - self.area, e.held_space - self.p * self.memory
            if self.cls.loads:
                e.line[self.tables] = max(e.line[self.tables] - self.p, 0.0)


@dataclass(slots=True, eq=False)
class EngineView:
    """What this gateway knows of one engine."""

    id: str
    info: io.Engine
    cores: float
    memory: float
    plan: list[Query] = field(default_factory=list)
    out: dict[str, Query] = field(default_factory=dict)
    threads_out: int = 0
    memory_out: float = 0.0
    held_area: float = 0.0
    held_space: float = 0.0
    levels: Levels = field(default_factory=lambda: Levels())
    ahead_at: float = -math.inf
    left: dict[float, tuple[float, float]] = field(default_factory=dict)
    speed: Rate = field(default_factory=lambda: Rate())
    rate: float = 1.0
    rate_at: float = -1.0
    room: float = 1.0
    memory_room: float = math.inf
    own_room: float = 1.0
    own_memory: float = math.inf
    errors: float = 0.0
    broke_at: float = -math.inf
    suspect: str = ""
    suspect_at: float = 0.0
    suspect_until: float = 0.0
    trickle_at: float = 0.0
    probed_at: float = -math.inf
    good: int = 0
    cold_until: float = 0.0
    allowance: float = 0.0
    allowance_at: float = 0.0
    bound: float = math.inf  # work in ms a ms that the fleet lets this gateway send here
    bound_until: float = math.inf
    last_word: float = 0.0
    pressed_until: float = 0.0
    rest_until: float = 0.0
    jams: int = 0
    report: dict[str, float] = field(default_factory=dict)
    report_at: float = -math.inf
    locks: dict[int, float] = field(default_factory=dict)
    loading: dict[int, int] = field(default_factory=dict)
    line: dict[int, float] = field(default_factory=dict)
    code: int = 0
    rank: int = 0
    told: dict[int, Told] = field(default_factory=dict)  # what each peer has there
    others: Told = field(default_factory=lambda: Told(-math.inf, 0, 0.0, 0.0))  # their sum, for FRESH_MS
    fresh: Told = field(default_factory=lambda: Told(-math.inf, 0, 0.0, 0.0))  # sent since they were told

    def __post_init__(self) -> None:
        """A short code for the id, the same at every gateway."""
        self.code = zlib.crc32(self.id.encode())

    @classmethod
    def listed(cls, info: io.Engine, models: tuple[io.Model, ...], now: float) -> EngineView:
        """One that has come to the list; where its model is not known its size counts as cores."""
        model = models[info.model] if info.model < len(models) else io.Model()
        return cls(info.id, info, model.cores or max(info.size, 1.0), model.memory, last_word=now)

    def warmth(self, now: float, rules: io.Rules) -> float:
        """Part of its capacity that it is taken to have: evenly up from where it starts to all of it."""
        cold = min(1.0, max(0.0, self.cold_until - now) / rules.warm_within)
        return 1 - (1 - rules.cold_from) * cold

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
            self.allowance, self.allowance_at = 0.0, now
        elif self.bound < math.inf and bound == math.inf:
            # Danger: back in full by what it showed, it was held to the cold budget by the clock for seconds.
            self.cold_until = min(self.cold_until, now)
        self.bound, self.bound_until = bound, until
        return returns

    def hear_report(self, now: float, report: dict[str, float]) -> bool:
        """Take in a load report without the values that make no sense; false if none is left."""
        if sound := {name: v for name, v in report.items() if math.isfinite(v) and v >= 0}:
            self.report, self.report_at = sound, now
        return bool(sound)

    def restart(self) -> None:
        """Forget what was learned of the process that ran before."""
        self.speed, self.errors, self.locks = Rate(), 0.0, {}

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
            for q in self.out.values():
                left = 1 - (now - q.sent_at) / q.p if q.p > 1 and not q.done else q.left(now, least)
                self._add_left(q, left if left > least else least)
        # Danger: counted whole, reports made the lookups that pass them on the engine look late for good.
        area = space = 0.0
        for at, (more, memory) in self.left.items():
            part = 1.0 if density <= alpha * at else passed
            area, space = area + more * part, space + memory * part
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
        o, f = self.others, self.fresh
        return Told(now, o.threads + f.threads * alike, o.memory + f.memory * alike, o.area + f.area * alike)

    def _add_left(self, q: Query, part: float) -> None:
        """Count a part of a query's run as left, by density; a negative part takes it back."""
        area, space = self.left.get(q.density, (0.0, 0.0))
        self.left[q.density] = max(area + q.area * part, 0.0), max(space + q.p * q.memory * part, 0.0)

    def hold(self, place: int, q: Query) -> None:
        """Hold a query at a place of the plan."""
        self.plan.insert(place, q)
        self.held_area, self.held_space = self.held_area + q.area, self.held_space + q.p * q.memory
        if q.cls.loads:
            self.line[q.tables] = self.line.get(q.tables, 0.0) + q.p

    def empty(self) -> list[Query]:
        """Take all that is held."""
        held, self.plan, self.held_area, self.held_space, self.line = self.plan, [], 0.0, 0.0, {}
        return held

    def add_out(self, q: Query) -> None:
        """An attempt of the query is out here now."""
        self.out[q.id] = q
        if q.cls.loads:
            self.loading[q.tables] = self.loading.get(q.tables, 0) + 1
        self.levels.add(q)
        self._add_left(q, 1.0)
        self.threads_out, self.memory_out = self.threads_out + q.cls.threads, self.memory_out + q.memory
        self.fresh.count(q, 1)

    def drop_out(self, q: Query, least: float) -> bool:
        """The attempt that was out here has ended; false if none was."""
        if self.out.pop(q.id, None) is None:
            return False
        self.levels.drop(q)
        if q.cls.loads:
            self.loading[q.tables] -= 1
        self._add_left(q, -q.left(max(self.ahead_at, q.sent_at), least))
        self.threads_out, self.memory_out = self.threads_out - q.cls.threads, self.memory_out - q.memory
        if q.sent_at >= self.fresh.at:
            self.fresh.count(q, -1)
        return True


@dataclass(slots=True)
class Level:
    """Attempts out of one density: threads, memory, and how many hold each priority."""

    threads: int = 0
    memory: float = 0.0
    lanes: list[int] = field(default_factory=lambda: [0, 0, 0, 0])


@dataclass(slots=True)
class Levels:
    """Attempts out by density. Densities are powers of two, so there are few, however many are out."""

    by_density: dict[float, Level] = field(default_factory=dict)

    def add(self, q: Query) -> None:
        """An attempt of the query is out."""
        level = self.by_density.setdefault(q.density, Level())
        level.threads, level.memory = level.threads + q.cls.threads, level.memory + q.memory
        level.lanes[q.lane] += 1

    def drop(self, q: Query) -> None:
        """The attempt has ended; an empty level goes, and with it what rounding left over."""
        level = self.by_density[q.density]
        level.threads, level.memory = level.threads - q.cls.threads, level.memory - q.memory
        level.lanes[q.lane] -= 1
        if not any(level.lanes):
            del self.by_density[q.density]

    def lanes_below(self, density: float, alpha: float) -> list[int]:
        """The priorities held by those that a density passes."""
        passed = [level for at, level in self.by_density.items() if density > alpha * at]
        return [lane for level in passed for lane in range(4) if level.lanes[lane]]

    def held_by(self, density: float, alpha: float) -> tuple[int, float, bool]:
        """Threads and memory of those that a density does not pass, and whether there are any."""
        threads, memory, some = 0, 0.0, False
        for at, level in self.by_density.items():
            if density <= alpha * at:
                threads, memory, some = threads + level.threads, memory + level.memory, True
        return threads, memory, some


@dataclass(slots=True)
class Pool:
    """All attempts out: threads, memory, and those on engines that are not suspect by density."""

    sound: Levels = field(default_factory=Levels)
    threads: int = 0
    memory: float = 0.0

    def add_out(self, q: Query, e: EngineView) -> None:
        """An attempt of the query is out on an engine now."""
        e.add_out(q)
        self.threads, self.memory = self.threads + q.cls.threads, self.memory + q.memory
        if not e.suspect:
            self.sound.add(q)

    def drop_out(self, q: Query, e: EngineView, least: float) -> None:
        """The attempt that was out there has ended."""
        if e.drop_out(q, least):
            self.threads -= q.cls.threads
            self.memory = self.memory - q.memory if self.threads else 0.0  # rounding must not add up
            if not e.suspect:
                self.sound.drop(q)

    def hide(self, e: EngineView) -> None:
        """The engine is suspect now."""
        for q in e.out.values():
            self.sound.drop(q)

    def show(self, e: EngineView) -> None:
        """The engine is trusted again."""
        for q in e.out.values():
            self.sound.add(q)


@dataclass(slots=True)
class Rate:
    """Work seen done and the thread time it took, both forgotten by half lives."""

    work: float = 0.0
    busy: float = 0.0
    at: float = 0.0

    def learn(self, now: float, half_ms: float, work: float, thread_ms: float) -> None:
        """Add work seen done in some thread time."""
        fade = math.exp2((self.at - now) / half_ms)
        self.work, self.busy, self.at = self.work * fade + work, self.busy * fade + thread_ms, now

    def value(self, now: float, half_ms: float, prior_ms: float, prior: float) -> float:
        """Work over thread time, with a prior that weighs as some thread time."""
        fade = math.exp2((self.at - now) / half_ms)
        return (self.work * fade + prior_ms * prior) / (self.busy * fade + prior_ms)


@dataclass(slots=True)
class Smooth:
    """A value smoothed over time."""

    value: float = 0.0
    at: float = 0.0

    def follow(self, now: float, memory_ms: float, value: float) -> None:
        """Move towards what is seen now."""
        keep = math.exp((self.at - now) / memory_ms)
        self.value, self.at = value + keep * (self.value - value), now


@dataclass(slots=True)
class Learned:
    """What answers taught of one class: log bias of told cost, of memory, mean cost and error; how often
    queries came with a time left unlike that of most, and how often one was turned away or given up."""

    unlike: Traffic
    turned: Traffic
    bias: float = 0.0
    memory_bias: float = 0.0
    cost: float = 0.0
    memory: float = 0.0
    delta: float = 0.0
    patience: float = 0.0
    votes: int = 0
    seen: int = 0

    @classmethod
    def blank(cls, memory_ms: float) -> Learned:
        """Of a class that nothing is known of."""
        return cls(Traffic(memory_ms), Traffic(memory_ms))

    def answer(self, gain: float, q: Query, cost: float, implied: float, memory: float) -> None:
        """Move towards the cost and memory that one answer told or implied."""
        self.seen += 1
        if q.told > 0:
            self.bias += gain * (math.log(implied / q.told) - self.bias)
        # Danger: begun at nothing, the mean was half of the first answer, and gateways that had just started
        # sent cold engines twice the work of their bounds.
        self.cost += max(gain, 1 / self.seen) * (cost - self.cost)
        if memory > 0:
            self.memory += gain * (memory - self.memory)
            if q.told_memory > 0:
                self.needed(gain, q, memory)

    def needed(self, gain: float, q: Query, memory: float) -> None:
        """Move the bias towards the memory that a query with a told need took."""
        self.memory_bias += gain * (math.log(memory / q.told_memory) - self.memory_bias)

    def left_alike(self, now: float, left: float, within: float, votes: int | None) -> bool:
        """Whether a query comes with a time left like that of most; its vote on that, where it has one."""
        alike = abs(left - self.patience) <= within * self.patience
        if votes is not None:
            self.votes = min(self.votes + (1 if alike else -1), votes)
            if self.votes < 0:
                self.patience, self.votes = left, 0
        if not alike:
            self.unlike.add(now)
        return alike


def centre_bias(classes: list[Learned]) -> None:
    """Take the mean bias of the classes seen from each of them."""
    seen = [c for c in classes if c.seen]
    # Danger: an answer for a class that a reload had taken away came before any for a class in force; the
    # division failed the whole step, and with it other requests that ended in the same one.
    if not seen:
        return
    mean = sum(c.bias for c in seen) / len(seen)
    for c in seen:
        c.bias -= mean


@dataclass(slots=True)
class Peers:
    """The traffic that other gateways told of, with the time it was heard."""

    heard: dict[int, tuple[float, float]] = field(default_factory=dict)

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

    def count(self, q: Query, times: int) -> None:
        """Add a query, or take it back."""
        self.threads, self.memory = self.threads + times * q.cls.threads, self.memory + times * q.memory
        self.area += times * q.area


@dataclass(slots=True)
class Traffic:
    """An exponentially forgotten count of arrivals. young_ms: one that began this long ago tells in full what
    came since, with less time it tells a part; without it what is told grows with the memory."""

    memory_ms: float
    young_ms: float = 0.0
    count: float = 0.0
    at: float = 0.0
    began: float = math.inf

    def add(self, now: float) -> None:
        """Count one arrival."""
        if self.young_ms and now < self.began:  # time is counted from the first one on, so it is not
            self.began = self.at = now
            return
        self.count = self.count * math.exp((self.at - now) / self.memory_ms) + 1
        self.at = now

    def per_s(self, now: float) -> float:
        """Arrivals a second."""
        rate = self.count * math.exp((self.at - now) / self.memory_ms) * 1000 / self.memory_ms
        if now <= self.began:
            return rate
        # Danger: a gateway that had just started told of half of its traffic, took half of its share of the
        # engines, and its clients waited out their time beside others' that were served at once. By its first
        # two arrivals alone it told of many times its traffic.
        return rate / -math.expm1(-max(now - self.began, self.young_ms) / self.memory_ms)


@dataclass(slots=True)
class Window:
    """Amounts with their times, for sums over a sliding window."""

    items: deque[tuple[float, float]] = field(default_factory=deque)
    total: float = 0.0

    def add(self, now: float, amount: float) -> None:
        """Note an amount."""
        self.items.append((now, amount))
        self.total += amount

    def since(self, start: float) -> float:
        """The sum since start; what is older is forgotten."""
        while self.items and self.items[0][0] <= start:
            self.total -= self.items.popleft()[1]
        return self.total if self.items else 0.0


@dataclass(slots=True)
class Deadlines:
    """Queries by the time their client gives up; those over are dropped when they come up."""

    heap: list[tuple[float, int, Query]] = field(default_factory=list)

    def add(self, q: Query) -> None:
        """Remember a query's deadline."""
        heapq.heappush(self.heap, (q.due, q.order, q))

    def cut(self, until: float) -> None:
        """No query has longer than that."""
        late = [q for due, _, q in self.heap if due > until and not q.over]
        self.heap = [entry for entry in self.heap if entry[0] <= until]
        heapq.heapify(self.heap)
        for q in late:
            q.due = until
            self.add(q)

    def first(self) -> float:
        """The earliest deadline of a query not over."""
        while self.heap and self.heap[0][2].over:
            heapq.heappop(self.heap)
        return self.heap[0][0] if self.heap else math.inf

    def take(self, until: float) -> list[Query]:
        """Remove and return the queries due by then."""
        taken = []
        while self.first() <= until:
            taken.append(heapq.heappop(self.heap)[2])
        return taken


@dataclass(slots=True)
class Turns:
    """Queries of each key in the order taken, and until when a key rests."""

    lines: dict[str, deque[Query]] = field(default_factory=dict)
    rests: dict[str, float] = field(default_factory=dict)

    def join(self, key: str, q: Query) -> None:
        """Take the last place of the key's line."""
        self.lines.setdefault(key, deque()).append(q)

    def rest(self, key: str, now: float, until: float) -> None:
        """Let a key rest; rests that are past are forgotten, so that memory does not grow with keys."""
        self.rests = {k: t for k, t in self.rests.items() if t > now}
        self.rests[key] = until

    def tidy(self, key: str) -> None:
        """Let those go that are over and have no attempt out."""
        line = self.lines[key]
        while line and line[0].over and not line[0].out:
            line.popleft()
        if not line:
            del self.lines[key]
