"""The settings of a gateway: classes of queries, machine types, tenants, rules and features.

Times are milliseconds on the caller's clock, memory is in MB, work is in milliseconds on one thread.
Positions (class, tenant, zone, machine type) count from 0 in the settings' lists.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Idempotency(Enum):
    """What a repeat of a query does."""

    IDEMPOTENT = "safe"
    IDEMPOTENT_WITH_KEY = "keyed"
    NOT_IDEMPOTENT = "unsafe"


class DeduplicationScope(Enum):
    """Which engines drop repeats of a keyed query."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class MemoryShortage(Enum):
    """What an engine does when the memory granted exceeds what it has."""

    WAIT = "wait"
    SHRINK = "shrink"
    PAGE = "page"


@dataclass(slots=True, frozen=True)
class QueryClass:
    """One class of queries."""

    name: str
    latency_objective_ms: float
    deadline_ms: float
    utility: float
    late_utility: float = 0.0
    latency_objective_stretch: float = 0.0
    idempotency: Idempotency = Idempotency.IDEMPOTENT
    deduplication_scope: DeduplicationScope = DeduplicationScope.ALL
    deduplication_window_ms: float = 0.0
    is_ordered_by_key: bool = False
    is_streamed: bool = False
    zones: tuple[int, ...] | None = None
    machine_types: tuple[int, ...] | None = None
    threads: int = 1
    is_load: bool = False
    waits_for_loads: bool = False


@dataclass(slots=True, frozen=True)
class MachineType:
    """One type of engine machine; zero where a figure is not known."""

    cores: int = 0
    memory_mb: float = 0.0


@dataclass(slots=True, frozen=True)
class Tenant:
    """A tenant and its quota: the queries a second, over all gateways, that earn their full utility."""

    name: str
    quota_per_s: float


@dataclass(slots=True, frozen=True)
class Features:
    """What the deployment lets a gateway do."""

    can_cancel: bool = False
    has_memory_grants: bool = False
    has_priorities: bool = False
    has_health_checks: bool = False
    has_peer_messages: bool = False
    has_retry_after: bool = False
    max_retry_after_ms: float = 0.0
    max_attempts: int = 3
    polls_engine_list: bool = False


@dataclass(slots=True, frozen=True)
class OverheadCosts:
    """What lowers the deployment's result, by query accepted: a health check, and 256 bytes to peers."""

    per_health_check: float = 0.0
    per_peer_message: float = 0.0


@dataclass(slots=True, frozen=True)
class Rules:
    """Limits that the deployment sets. Three are read for completeness and used by no decision here."""

    answer_slack_ms: float = 20.0  # not used: how late a final answer may be
    drain_grace_ms: float = 1000.0  # not used: how soon a drain must be followed
    cold_capacity_share: float = 0.3  # of an engine's capacity, just after its start
    warm_up_ms: float = 13000.0  # from its start until an engine has its whole capacity
    overload_factor: float = 2.0  # times its present capacity that a cold engine may be sent
    overload_window_ms: float = 2000.0  # over which the work sent to a cold engine is counted
    list_poll_limit_ms: float = 10000.0  # not used: how old a polled engine list may be
    key_quiet_ms: float = 0.0  # after a request of an ordering key, until the next of the key may be sent
    retry_budget_free: int | None = None  # retries in the window beyond the share; None: no retry budget
    retry_budget_share: float = 0.0  # of the queries in the window: retries that are allowed
    retry_budget_window_ms: float = 5000.0


@dataclass(slots=True, frozen=True)
class Settings:
    """All settings of a gateway. Raises ValueError for a value that makes no sense."""

    classes: tuple[QueryClass, ...]
    machine_types: tuple[MachineType, ...] = (MachineType(),)
    tenants: tuple[Tenant, ...] = ()
    features: Features = Features()
    overhead_costs: OverheadCosts = OverheadCosts()
    rules: Rules = Rules()
    gateway_index: int = 0
    gateway_count: int = 1
    zone: int = 0
    over_quota_utility: float = 1.0
    load_report_fields: tuple[str, ...] = ()
    reports_on_health_check: bool = False
    on_memory_shortage: MemoryShortage = MemoryShortage.WAIT
    max_grant_share: float = 1.0
    progress_interval_ms: float = 0.0
    reports_actual_work: bool = False
    tick_ms: float = 1.0
    max_connect_ms: float = 0.0  # so long a connect may take between the decision on an attempt and its begin
    concurrent_processes: int = (
        1  # processes that stand for this gateway: two while one takes over from the other
    )

    def __post_init__(self) -> None:
        """Check the values."""
        rules = self.rules
        checks = [
            ("classes", bool(self.classes)),
            ("gateways", self.gateway_count >= 1),
            ("tick", self.tick_ms > 0),
            ("begin_late", self.max_connect_ms >= 0),
            ("beside", self.concurrent_processes >= 1),
            ("max_grant_share", 0 < self.max_grant_share <= 1),
            ("prices.probe", self.overhead_costs.per_health_check >= 0),
            ("prices.peer", self.overhead_costs.per_peer_message >= 0),
            ("note_period", self.progress_interval_ms >= 0),
            ("permits.max_attempts", self.features.max_attempts >= 1),
            ("rules.cold_from", 0 < rules.cold_capacity_share <= 1),
            ("rules.warm_within", rules.warm_up_ms > 0),
            ("rules.overload_factor", rules.overload_factor > 0),
            ("rules.tip_after", rules.overload_window_ms > 0),
            ("rules.budget_window", rules.retry_budget_window_ms > 0),
            ("rules.budget_share", rules.retry_budget_share >= 0),
        ]
        for i, c in enumerate(self.classes):
            at = f"classes[{i}]"
            checks += [
                (f"{at}.aim", c.latency_objective_ms > 0),
                (f"{at}.deadline", c.deadline_ms > 0),
                (f"{at}.worth", c.utility >= 0),
                (f"{at}.threads", c.threads >= 1),
                (f"{at}.late_worth", 0 <= c.late_utility <= 1),
                (f"{at}.window", c.deduplication_window_ms >= 0),
                (f"{at}.aim_stretch", c.latency_objective_stretch >= 0),
            ]
        for name, sound in checks:
            if not sound:
                raise ValueError(f"settings field '{name}' makes no sense")
