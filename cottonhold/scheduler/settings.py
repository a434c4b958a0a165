"""The settings of a gateway: classes of queries, machine types, tenants, rules and features.

Durations are in milliseconds, memory is in MB, and work is in milliseconds on one thread. Classes, tenants,
zones and machine types are identified by their index in the lists of the settings, from 0.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Idempotency(Enum):
    """The effect of running a query more than once.

    Attributes:
        IDEMPOTENT: A repeat has no further effect.
        IDEMPOTENT_WITH_KEY: Engines drop a repeat by its key, within the deduplication window and scope.
        NOT_IDEMPOTENT: A repeat may have the effect again.
    """

    IDEMPOTENT = "safe"
    IDEMPOTENT_WITH_KEY = "keyed"
    NOT_IDEMPOTENT = "unsafe"


class DeduplicationScope(Enum):
    """The engines that drop repeats of a keyed query: all, or those of the first attempt's zone or cell."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class MemoryShortage(Enum):
    """The behaviour of an engine whose memory is short: queries wait, grants shrink, or the engine pages."""

    WAIT = "wait"
    SHRINK = "shrink"
    PAGE = "page"


@dataclass(slots=True, frozen=True)
class QueryClass:
    """One class of queries.

    Attributes:
        name: Name of the class.
        latency_objective_ms: Time from arrival within which a result earns the full utility, in ms.
        deadline_ms: Time from arrival after which the client gives up, in ms.
        utility: Utility of a result within the latency objective.
        late_utility: Share of the utility, from 0 to 1, that a result after the latency objective earns.
        latency_objective_stretch: Multiple of the planned run time that is added to the latency objective.
        idempotency: Whether a query of the class may be run more than once.
        deduplication_scope: Engines that drop repeats of a keyed query.
        deduplication_window_ms: Time from the first attempt during which engines drop repeats, in ms.
        is_ordered_by_key: Whether queries with the same ordering key are sent one at a time, in order.
        is_streamed: Whether results are streamed; not used by any decision.
        zones: Zones of the engines that may run the class; None for all.
        machine_types: Machine types of the engines that may run the class; None for all.
        threads: Threads that a query uses at its engine.
        is_load: Whether the queries are loads, which write tables and lock them.
        waits_for_loads: Whether the queries wait for a load on their tables at the same engine.
    """

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
    """One type of engine machine; a figure of 0 is unknown."""

    cores: int = 0
    memory_mb: float = 0.0


@dataclass(slots=True, frozen=True)
class Tenant:
    """A tenant and its quota: queries per second at all gateways together that earn their full utility."""

    name: str
    quota_per_s: float


@dataclass(slots=True, frozen=True)
class Features:
    """Operations and limits that the deployment permits a gateway.

    Attributes:
        can_cancel: Whether attempts may be cancelled.
        has_memory_grants: Whether the gateway sets the memory grants of attempts; otherwise the engine does.
        has_priorities: Whether attempts have priorities, by which engines share their cores.
        has_health_checks: Whether engines answer health checks.
        has_peer_messages: Whether gateways may send each other messages.
        has_retry_after: Whether a rejection may advise the client when to retry.
        max_retry_after_ms: Longest advised time until a retry, in ms.
        max_attempts: Largest number of attempts of one query.
        polls_engine_list: Whether changes of the engine list have to be requested.
    """

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
    """Costs of overhead, in the utility of one accepted query.

    Attributes:
        per_health_check: Cost of one health check.
        per_peer_message: Cost of 256 bytes sent to peers.
    """

    per_health_check: float = 0.0
    per_peer_message: float = 0.0


@dataclass(slots=True, frozen=True)
class Rules:
    """Limits that the deployment sets.

    Attributes:
        answer_slack_ms: Longest delay of a final answer after the deadline, in ms; not used by any decision.
        drain_grace_ms: Time in which a drain must take effect, in ms; not used by any decision.
        cold_capacity_share: Share of its capacity that an engine has just after its start.
        warm_up_ms: Time from its start until an engine has its whole capacity, in ms.
        overload_factor: Work that a cold engine may be sent, as a multiple of its present capacity.
        overload_window_ms: Time over which the work sent to a cold engine is summed, in ms.
        list_poll_limit_ms: Largest age of a polled engine list, in ms; not used by any decision.
        key_quiet_ms: Time after an attempt that may still run until the next query of its ordering key may
            be sent, in ms.
        retry_budget_free: Retries in the window that are allowed in addition to the share; None disables the
            retry budget.
        retry_budget_share: Retries allowed in the window per query that arrived.
        retry_budget_window_ms: Time over which the retry budget counts retries and queries, in ms.
    """

    answer_slack_ms: float = 20.0
    drain_grace_ms: float = 1000.0
    cold_capacity_share: float = 0.3
    warm_up_ms: float = 13000.0
    overload_factor: float = 2.0
    overload_window_ms: float = 2000.0
    list_poll_limit_ms: float = 10000.0
    key_quiet_ms: float = 0.0
    retry_budget_free: int | None = None
    retry_budget_share: float = 0.0
    retry_budget_window_ms: float = 5000.0


@dataclass(slots=True, frozen=True)
class Settings:
    """All settings of a gateway.

    Attributes:
        classes: The classes of queries; at least one.
        machine_types: The types of engine machines.
        tenants: The tenants and their quotas.
        features: What the deployment permits a gateway to do.
        overhead_costs: Costs of health checks and peer messages.
        rules: Limits that the deployment sets.
        gateway_index: Position of this gateway among all gateways, from 0.
        gateway_count: Number of gateways.
        zone: Zone of this gateway.
        over_quota_utility: Share of its utility that a query above its tenant's quota earns.
        load_report_fields: Names of the values of a load report, in their order.
        reports_on_health_check: Whether engines send load reports with health checks only; not used here.
        on_memory_shortage: Behaviour of engines when granted memory exceeds their memory.
        max_grant_share: Largest memory grant, as a share of an engine's memory.
        progress_interval_ms: Interval of the progress notes of a running attempt, in ms; 0 if there are none.
        reports_actual_work: Whether answers report the actual work; not used here.
        tick_ms: Resolution of timers, in ms.
        max_connect_ms: Longest time between the decision to send an attempt and its start, in ms.
        concurrent_processes: Number of processes that act as this gateway: two while one replaces the other.

    Raises:
        ValueError: A value is out of range.
    """

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
    max_connect_ms: float = 0.0
    concurrent_processes: int = 1

    def __post_init__(self) -> None:
        """Check the range of the values."""
        rules = self.rules
        checks = [
            ("classes", bool(self.classes)),
            ("gateways", self.gateway_count >= 1),
            ("tick", self.tick_ms > 0),
            ("max_connect_ms", self.max_connect_ms >= 0),
            ("concurrent_processes", self.concurrent_processes >= 1),
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
        for index, query_class in enumerate(self.classes):
            path = f"classes[{index}]"
            checks += [
                (f"{path}.aim", query_class.latency_objective_ms > 0),
                (f"{path}.deadline", query_class.deadline_ms > 0),
                (f"{path}.worth", query_class.utility >= 0),
                (f"{path}.threads", query_class.threads >= 1),
                (f"{path}.late_worth", 0 <= query_class.late_utility <= 1),
                (f"{path}.window", query_class.deduplication_window_ms >= 0),
                (f"{path}.aim_stretch", query_class.latency_objective_stretch >= 0),
            ]
        for name, is_valid in checks:
            if not is_valid:
                raise ValueError(f"settings field '{name}' is out of range")
