"""The decision module's interface: settings, events and actions, in the field's words.

Times are milliseconds on the caller's clock, memory is in MB, cost is milliseconds of work on one
thread. Positions (class, tenant, zone, model) count from 0 in the settings' lists.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from enum import Enum


class Effect(Enum):
    """What a repeat of a query does."""

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class Group(Enum):
    """Which engines drop repeats of a keyed query."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class EngineState(Enum):
    """An engine's state as the engine list tells it."""

    LIVE = "live"
    DRAINING = "draining"
    GONE = "gone"


class Outcome(Enum):
    """How an attempt ended."""

    OK = "ok"
    ERROR = "error"
    FULL = "full"
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    MOOT = "moot"


class NoteKind(Enum):
    """What a progress note tells."""

    PROGRESS = 1
    SPILL = 2
    WAIT = 3


class WhenShort(Enum):
    """What an engine does when the memory granted passes what it has."""

    WAIT = "wait"
    SHRINK = "shrink"
    PAGE = "page"


@dataclass(slots=True, frozen=True)
class QueryClass:
    """One class of queries."""

    name: str
    aim: float
    deadline: float
    worth: float
    late_worth: float = 0.0
    aim_stretch: float = 0.0
    effect: Effect = Effect.SAFE
    group: Group = Group.ALL
    window: float = 0.0
    in_order: bool = False
    stream: bool = False
    zones: tuple[int, ...] | None = None
    models: tuple[int, ...] | None = None
    threads: int = 1
    loads: bool = False
    waits: bool = False


@dataclass(slots=True, frozen=True)
class Model:
    """One kind of engine machine; zero where the figure is not known."""

    cores: int = 0
    memory: float = 0.0


@dataclass(slots=True, frozen=True)
class Tenant:
    """A tenant and the queries a second, over all gateways, that lie within its share."""

    name: str
    quota_per_s: float


@dataclass(slots=True, frozen=True)
class Permits:
    """What the deployment lets a gateway do."""

    cancel: bool = False
    grants: bool = False
    priorities: bool = False
    probes: bool = False
    peers: bool = False
    retry_after: bool = False
    max_retry_after: float = 0.0
    max_attempts: int = 3
    ask_list: bool = False


@dataclass(slots=True, frozen=True)
class Prices:
    """What is taken off the day's result: for probes a query taken, and for bytes to peers a 256 of them."""

    probe: float = 0.0
    peer: float = 0.0


@dataclass(slots=True, frozen=True)
class Rules:
    """Figures of the rules; a None turns the rule off."""

    answer_slack: float = 20.0
    drain_grace: float = 1000.0
    cold_from: float = 0.3
    warm_within: float = 13000.0
    overload_factor: float = 2.0
    tip_after: float = 2000.0
    ask_within: float = 10000.0
    key_quiet: float = 0.0
    budget_free: int | None = None
    budget_share: float = 0.0
    budget_window: float = 5000.0


@dataclass(slots=True, frozen=True)
class Settings:
    """All that a gateway is told at start."""

    classes: tuple[QueryClass, ...]
    models: tuple[Model, ...] = (Model(),)
    tenants: tuple[Tenant, ...] = ()
    permits: Permits = Permits()
    prices: Prices = Prices()
    rules: Rules = Rules()
    me: int = 0
    gateways: int = 1
    zone: int = 0
    over_share_worth: float = 1.0
    report_fields: tuple[str, ...] = ()
    probed_reports: bool = False
    when_short: WhenShort = WhenShort.WAIT
    max_grant_share: float = 1.0
    note_period: float = 0.0
    cost_told: bool = False
    tick: float = 1.0
    begin_late: float = 0.0  # so long a connect may take between the decision on an attempt and its begin
    beside: int = 1  # processes that stand for this gateway: two while one takes over from the other

    def __post_init__(self) -> None:
        """Settings that make no sense are named at once."""
        rules = self.rules
        checks = [
            ("classes", bool(self.classes)),
            ("gateways", self.gateways >= 1),
            ("tick", self.tick > 0),
            ("begin_late", self.begin_late >= 0),
            ("beside", self.beside >= 1),
            ("max_grant_share", 0 < self.max_grant_share <= 1),
            ("prices.probe", self.prices.probe >= 0),
            ("prices.peer", self.prices.peer >= 0),
            ("note_period", self.note_period >= 0),
            ("permits.max_attempts", self.permits.max_attempts >= 1),
            ("rules.cold_from", 0 < rules.cold_from <= 1),
            ("rules.warm_within", rules.warm_within > 0),
            ("rules.overload_factor", rules.overload_factor > 0),
            ("rules.tip_after", rules.tip_after > 0),
            ("rules.budget_window", rules.budget_window > 0),
            ("rules.budget_share", rules.budget_share >= 0),
        ]
        for i, c in enumerate(self.classes):
            at = f"classes[{i}]"
            checks += [
                (f"{at}.aim", c.aim > 0),
                (f"{at}.deadline", c.deadline > 0),
                (f"{at}.worth", c.worth >= 0),
                (f"{at}.threads", c.threads >= 1),
                (f"{at}.late_worth", 0 <= c.late_worth <= 1),
                (f"{at}.window", c.window >= 0),
                (f"{at}.aim_stretch", c.aim_stretch >= 0),
            ]
        for name, sound in checks:
            if not sound:
                raise ValueError(f"settings field '{name}' makes no sense")


@dataclass(slots=True, frozen=True)
class Engine:
    """One line of the engine list."""

    id: str
    zone: int = 0
    model: int = 0
    cell: int = 0
    state: EngineState = EngineState.LIVE
    size: float = 1.0
    started_at: float = 0.0


@dataclass(slots=True, frozen=True)
class EngineList:
    """The engine list, whole or only what changed."""

    engines: tuple[Engine, ...]
    whole: bool


@dataclass(slots=True, frozen=True)
class ListFailed:
    """A call for the list failed or the subscription broke; the old list still holds."""


@dataclass(slots=True, frozen=True)
class Arrival:
    """A client's query has come to this gateway."""

    query: str
    query_class: int
    due: float
    cost: float = 0.0
    memory: float = 0.0
    tables: int = -1
    tenant: int = 0
    order_key: str | None = None
    retry: bool = False
    draw: float | None = None  # 0 to 1, of the share that a price lets in; None where nobody prices


@dataclass(slots=True, frozen=True)
class AttemptEnded:
    """How an attempt ended; `final` is set when the query is over with it."""

    query: str
    attempt: int
    engine: str
    outcome: Outcome
    elapsed: float
    final: bool = False
    cost: float = 0.0
    memory: float = 0.0
    report: dict[str, float] = field(default_factory=dict)


@dataclass(slots=True, frozen=True)
class Note:
    """News of a running attempt: share done, MB missing, or 1 (memory) / 2 (a load) it waits for."""

    query: str
    attempt: int
    engine: str
    kind: NoteKind
    value: float


@dataclass(slots=True, frozen=True)
class StreamStarted:
    """The answer of a streamed query has begun; the attempt is the client's now."""

    query: str
    attempt: int
    engine: str


@dataclass(slots=True, frozen=True)
class ClientGone:
    """The client has left; the query is over."""

    query: str


@dataclass(slots=True, frozen=True)
class PeerMessage:
    """A message from another gateway."""

    peer: int
    data: bytes


@dataclass(slots=True, frozen=True)
class Probed:
    """The result of a probe: how it ended, and the load report that came along."""

    engine: str
    outcome: Outcome
    report: dict[str, float] = field(default_factory=dict)


@dataclass(slots=True, frozen=True)
class Timer:
    """A timer set with Wake is due."""

    token: int


@dataclass(slots=True, frozen=True)
class Retune:
    """Other settings from now on; queries that came before keep their class and their attempts."""

    settings: Settings


@dataclass(slots=True, frozen=True)
class Bounds:
    """What the fleet lets this gateway send: work in ms a ms by engine, 0 for none; others are free. Replaces
    what was said before. From `until` on a bounded engine gets nothing: the parts were given for so long."""

    work: dict[str, float]
    until: float


@dataclass(slots=True, frozen=True)
class Price:
    """What the fleet lets in until a time: worth a ms of work from `density` on a `share` of, by the query's
    draw, and from `above` on all. cooldown: so many ms whoever is turned away should stay away at least,
    until another price is said. told: there is a fleet that has one price, if only of nothing. Replaces what
    was said before."""

    density: float = 0.0
    above: float = 0.0
    share: float = 1.0
    until: float = 0.0
    cooldown: float = 0.0
    told: bool = True


@dataclass(slots=True, frozen=True)
class Leaving:
    """This gateway ends: what has no final answer by `until` never gets one."""

    until: float


Event = (
    EngineList
    | ListFailed
    | Arrival
    | AttemptEnded
    | Note
    | StreamStarted
    | ClientGone
    | PeerMessage
    | Probed
    | Timer
    | Retune
    | Bounds
    | Price
    | Leaving
)


@dataclass(slots=True, frozen=True)
class Send:
    """Start an attempt; timeout 0 lasts until the client gives up. What has not begun by `begin_by`, as when
    a connect takes long, must not begin any more: repeats are no longer dropped then."""

    query: str
    engine: str
    timeout: float = 0.0
    begin_by: float = math.inf


@dataclass(slots=True, frozen=True)
class Terms:
    """Memory grant (0: the engine chooses) and priority for the query's next attempts."""

    query: str
    memory: int
    priority: int


@dataclass(slots=True, frozen=True)
class Cancel:
    """Give up the wait for one attempt."""

    query: str
    attempt: int


@dataclass(slots=True, frozen=True)
class Refuse:
    """Final answer: turned away, trying again is harmless."""

    query: str
    retry_after: float = 0.0


@dataclass(slots=True, frozen=True)
class Fail:
    """Final answer: failed, promises nothing."""

    query: str


@dataclass(slots=True, frozen=True)
class Probe:
    """Ask an engine for a sign of life."""

    engine: str


@dataclass(slots=True, frozen=True)
class Subscribe:
    """Ask for changes of the engine list from now on."""

    on: bool = True


@dataclass(slots=True, frozen=True)
class Tell:
    """Send a short message to one peer, or to all."""

    data: bytes
    peer: int | None = None


@dataclass(slots=True, frozen=True)
class Wake:
    """Set a timer."""

    after: float
    token: int


@dataclass(slots=True, frozen=True)
class LogLine:
    """A line for the operators' log."""

    text: str


@dataclass(slots=True, frozen=True)
class Offered:
    """What a query with a draw is taken to be worth, and its work in thread ms, for the fleet's price."""

    query: str
    worth: float
    work: float


Action = Send | Terms | Cancel | Refuse | Fail | Probe | Subscribe | Tell | Wake | LogLine | Offered
