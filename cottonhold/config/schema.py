"""The sections of a standalone dispatcher's configuration file, as types.

A key of the file that differs from the code's term is given as the field's `name`. Defaults are explained for
operators in docs/operators/configuration.md.
"""

from __future__ import annotations

from typing import Annotated, Literal

from msgspec import Meta, Struct, field

Positive = Annotated[float, Meta(gt=0)]
NonNegative = Annotated[float, Meta(ge=0)]
Share = Annotated[float, Meta(ge=0, le=1)]
Count = Annotated[int, Meta(ge=1)]
Text = Annotated[str, Meta(min_length=1, max_length=256)]
Name = Annotated[str, Meta(pattern=r"^[A-Za-z0-9][A-Za-z0-9_.\-]{0,63}$")]
HostPort = Annotated[str, Meta(pattern=r"^(\[[0-9A-Fa-f:.]+\]|[A-Za-z0-9.\-_]+):\d{1,5}$")]
OptionalIpv4Port = Annotated[str, Meta(pattern=r"^([0-9.]+:\d{1,5})?$")]


class Section(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Base of all sections: immutable, and without unknown keys."""


class QueryClassConfig(Section, frozen=True, kw_only=True):
    """A class of queries."""

    name: Name
    latency_objective_ms: Positive = field(name="aim_ms")
    deadline_ms: Positive
    utility: NonNegative = field(default=1.0, name="worth")
    late_utility: Share = field(default=0.0, name="late_worth")
    latency_objective_stretch: NonNegative = field(default=0.0, name="aim_stretch")
    # The default is the one that is never sent twice.
    idempotency: Literal["safe", "keyed", "unsafe"] = field(default="unsafe", name="effect")
    deduplication_scope: Literal["all", "zone", "cell"] = field(default="all", name="group")
    deduplication_window_ms: NonNegative = field(default=0.0, name="window_ms")
    is_ordered_by_key: bool = field(default=False, name="in_order")
    zones: tuple[Name, ...] | None = None
    machine_types: tuple[Name, ...] | None = None
    threads: Count = 1
    is_load: bool = field(default=False, name="loads")
    waits_for_loads: bool = field(default=False, name="waits")
    # The answer to a retry of a query that is known to have completed; "served" needs state_dir.
    completed_retry_answer: Literal["served", "failed"] = field(default="failed", name="again")


class MachineTypeConfig(Section, frozen=True, kw_only=True):
    """A type of engine machine; 0 for an unknown figure."""

    name: Name
    cores: Annotated[int, Meta(ge=0)] = 0
    memory_mb: NonNegative = 0.0


class FeaturesConfig(Section, frozen=True, kw_only=True):
    """What the deployment lets a dispatcher do."""

    can_cancel: bool = field(default=True, name="cancel")
    has_priorities: bool = field(default=True, name="priorities")
    has_health_checks: bool = field(default=True, name="probes")
    # 0: rejections carry no retry-after.
    max_retry_after_ms: NonNegative = field(default=0.0, name="cooldown_most_ms")
    max_attempts: Annotated[int, Meta(ge=1, le=10)] = field(default=3, name="attempts")


class RulesConfig(Section, frozen=True, kw_only=True):
    """Parameters of the scheduler's rules."""

    answer_slack_ms: NonNegative = 50.0
    drain_grace_ms: Annotated[float, Meta(ge=0, le=500)] = 500.0  # the bound is the drain rule's own
    cold_capacity_share: Annotated[float, Meta(gt=0, le=1)] = field(default=0.33, name="cold_from")
    warm_up_ms: Positive = field(default=13_000.0, name="warm_within_ms")
    overload_factor: Positive = 2.0
    overload_window_ms: Positive = field(default=1500.0, name="tip_after_ms")
    key_quiet_ms: NonNegative = 0.0


class ConnectionsConfig(Section, frozen=True, kw_only=True):
    """Connections to engines."""

    # A connection gets no new requests in the last 2 s before it is closed as idle, hence the bound.
    idle_timeout_ms: Annotated[float, Meta(ge=3000)] = field(default=15_000.0, name="idle_ms")
    connect_timeout_ms: Positive = field(default=250.0, name="connect_ms")
    max_streams: Count = field(default=32, name="streams")


class PeersConfig(Section, frozen=True, kw_only=True):
    """The dispatchers of the installation; `all` holds one address each, this one's own included."""

    listen: HostPort
    # Where the others reach this one if that isn't `listen`, as with address translation.
    announce: OptionalIpv4Port = ""
    all: Annotated[tuple[HostPort, ...], Meta(min_length=1)]
    zones: tuple[Name, ...] = ()  # the zone of each of `all`; empty: not known


class KeyConfig(Section, frozen=True, kw_only=True):
    """A shared key that authenticates datagrams between dispatchers."""

    key_id: Annotated[int, Meta(ge=1, le=255)] = field(name="number")
    secret: str = ""
    secret_file: str = ""


class MembershipConfig(Section, frozen=True, kw_only=True):
    """Failure detection among the dispatchers, by datagrams at peers.listen, and their shared duties."""

    keys: tuple[KeyConfig, ...] = ()  # all are accepted
    send_key_id: int = field(default=0, name="send_key")  # the number of the key to send with; 0: the first
    # With this period each of five members is pinged within a second.
    ping_interval_ms: Annotated[float, Meta(ge=50)] = field(default=200.0, name="period_ms")
    # The default is several round trips in one site.
    ping_timeout_ms: Annotated[float, Meta(ge=10)] = field(default=80.0, name="timeout_ms")
    # Between two health checks of an engine, by whichever instance has that duty.
    health_check_interval_ms: Annotated[float, Meta(ge=500)] = field(default=5000.0, name="probe_ms")
    report_interval_ms: Annotated[float, Meta(ge=1000)] = field(default=60_000.0, name="report_ms")
    voters: tuple[Name, ...] = ()  # a majority of them grants leases; empty: no leases


class FleetConfig(Section, frozen=True, kw_only=True):
    """What the dispatchers decide together: evacuation of a failing zone and more; needs membership."""

    # A query that takes this many times its usual time counts as failure evidence against its zone.
    slow_factor: Annotated[float, Meta(ge=1.5)] = field(default=3.0, name="slow")
    # The least time that a zone stays evacuated: longer than a burst of losses.
    hold_down_ms: Positive = field(default=2000.0, name="hold_ms")
    # Each failed return doubles the hold up to this.
    max_hold_down_ms: Positive = field(default=30_000.0, name="hold_most_ms")
    # The share of its full load that a return begins with, and how often that share may double.
    initial_return_share: Annotated[float, Meta(gt=0, le=1)] = field(default=0.03, name="first_share")
    return_step_ms: Annotated[float, Meta(ge=100)] = field(default=250.0, name="step_ms")
    # The share of the other zones' cores that an evacuation may plan with.
    usable_capacity_share: Annotated[float, Meta(gt=0, le=1)] = field(default=0.95, name="reserve")
    # The cost of losing a zone is projected, and decides what share a partly evacuated zone retains.
    estimates_failover_cost: bool = field(default=False, name="outlook")
    # Loads of one key go through one dispatcher, also during a rolling replacement.
    has_session_affinity: bool = field(default=False, name="pins")
    # All dispatchers shed the requests of least utility in common.
    sheds_load: bool = field(default=False, name="price")


class SourceGuardConfig(Section, frozen=True, kw_only=True):
    """How far a source is trusted."""

    # More than half of all engines failing at once is more likely the observer's fault.
    min_in_service: Annotated[float, Meta(ge=0, lt=1)] = field(default=0.5, name="floor")
    # The default is two runs of a check that runs each half second.
    min_quiet_ms: NonNegative = field(default=1000.0, name="quiet_ms")
    max_quiet_ms: NonNegative = field(default=60_000.0, name="quiet_most_ms")
    flap_half_life_ms: Positive = field(default=60_000.0, name="flap_half_ms")
    jitter: Share = 0.2


class TlsConfig(Section, frozen=True, kw_only=True):
    """TLS to Consul. Files are relative to the configuration; no ca_file: the system's authorities."""

    ca_file: str = ""
    cert_file: str = ""
    key_file: str = ""
    server_name: str = ""


class EventStreamConfig(Section, frozen=True, kw_only=True, tag_field="kind", tag="bus"):
    """The event stream as a source, trusted without a guard."""

    name: Name = "bus"
    address: HostPort


class ConsulConfig(Section, frozen=True, kw_only=True, tag_field="kind", tag="consul"):
    """One service of one datacentre in Consul."""

    name: Name
    addresses: Annotated[tuple[HostPort, ...], Meta(min_length=1, max_length=16)]
    service: Text
    datacenter: str = ""
    zone: str = ""
    filter: Annotated[str, Meta(max_length=2048)] = ""
    tag: str = ""
    consistency: Literal["default", "stale", "consistent"] = "stale"
    token: str = ""
    token_file: str = ""
    tls: TlsConfig | None = None
    # Consul's limit is ten minutes; a silently broken connection goes unnoticed for this long.
    max_wait_ms: Annotated[float, Meta(ge=500, le=600_000)] = field(default=10_000.0, name="wait_ms")
    first_byte_timeout_ms: Positive = field(default=1000.0, name="first_byte_ms")
    body_timeout_ms: Positive = field(default=5000.0, name="rest_ms")
    min_backoff_ms: Positive = field(default=50.0, name="pause_ms")
    max_backoff_ms: Positive = field(default=5000.0, name="pause_most_ms")
    # At most half of the 500 ms within which a drain must be known.
    min_interval_ms: Annotated[float, Meta(ge=0, le=250)] = field(default=20.0, name="gap_ms")
    max_staleness_ms: Positive = field(default=2000.0, name="stale_most_ms")
    max_body_bytes: Annotated[int, Meta(ge=4096, le=1 << 30)] = field(default=64 << 20, name="most_bytes")
    status_if_warning: Literal["in service", "troubled"] = field(default="in service", name="warning")
    status_if_unchecked: Literal["in service", "troubled"] = field(default="in service", name="unchecked")
    id_from: Literal["service", "node/service"] = "service"
    guard: SourceGuardConfig = SourceGuardConfig()


class InitialEngineConfig(Section, frozen=True, kw_only=True):
    """An engine that is used until a source answers."""

    id: Text
    address: HostPort
    zone: str = ""
    machine_type: str = ""
    size: Positive = 1.0


class RegistrationConfig(Section, frozen=True, kw_only=True):
    """The dispatcher's own entry in Consul."""

    agent: HostPort
    service: Text = "cottonhold"
    id: str = ""  # empty: the dispatcher's name
    address: str = ""  # empty: where it listens
    tags: tuple[str, ...] = ()
    meta: dict[str, str] = {}
    token: str = ""
    token_file: str = ""
    tls: TlsConfig | None = None
    ttl_ms: Annotated[float, Meta(ge=1000)] = 6000.0
    # An event loop that lags more than the default can't keep the drain rule.
    max_loop_lag_ms: Positive = field(default=500.0, name="lag_ms")
    # Consul's own minimum is a minute.
    deregister_after_ms: Annotated[float, Meta(ge=60_000)] = field(default=600_000.0, name="forget_ms")


class LogConfig(Section, frozen=True, kw_only=True):
    """Format and rate of log lines."""

    format: Literal["logfmt", "json"] = "logfmt"
    lines_per_second: Positive = field(default=20.0, name="per_second")
    burst_lines: Annotated[int, Meta(ge=1, le=100_000)] = field(default=100, name="burst")


class ConfigFile(Section, frozen=True, kw_only=True):
    """The whole file."""

    name: Name
    listen: HostPort
    seed: Annotated[int, Meta(ge=0)] | None = None  # None: drawn anew at each start
    max_descriptors: Annotated[int, Meta(ge=64)] = field(default=1024, name="sockets")
    dispatcher_index: Annotated[int, Meta(ge=0)] = field(default=0, name="number")
    dispatcher_count: Count = field(default=1, name="dispatchers")
    zones: tuple[Name, ...] = ()
    machine_types: tuple[MachineTypeConfig, ...] = ()
    classes: Annotated[tuple[QueryClassConfig, ...], Meta(min_length=1)]
    load_report_fields: tuple[str, ...] = field(default=("inflight", "util"), name="report_fields")
    features: FeaturesConfig = field(default=FeaturesConfig(), name="permits")
    rules: RulesConfig = RulesConfig()
    connections: ConnectionsConfig = field(default=ConnectionsConfig(), name="links")
    peers: PeersConfig | None = None
    membership: MembershipConfig | None = None
    fleet: FleetConfig | None = None
    # The folder of durable records, relative to the file's own; empty: nothing is persisted.
    state_dir: Annotated[str, Meta(max_length=200)] = ""
    status_socket: Annotated[str, Meta(max_length=100)] = ""  # of `members` and `duties`; empty: none
    has_metrics: bool = field(default=False, name="metrics")  # off by default: its library takes up to 3 MB
    sources: tuple[EventStreamConfig | ConsulConfig, ...] = ()
    initial_engines: tuple[InitialEngineConfig, ...] = field(default=(), name="known")
    registration: RegistrationConfig | None = field(default=None, name="register")
    log: LogConfig = LogConfig()
