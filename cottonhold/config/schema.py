"""Typed sections of a standalone dispatcher's configuration file.

Where a key of the file differs from the attribute's name, the field's `name` holds the key. The page
docs/operators/configuration.md explains the defaults to operators.
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
    """Base of all sections: immutable, and unknown keys are rejected."""


class QueryClassConfig(Section, frozen=True, kw_only=True):
    """A class of queries.

    Attributes:
        latency_objective_ms: Time from arrival within which a result earns the full utility, in ms.
        deadline_ms: Time from arrival after which the client gives up, in ms.
        utility: Utility of a result within the latency objective.
        late_utility: Share of the utility, from 0 to 1, that a result after the latency objective earns.
        latency_objective_stretch: Multiple of the planned run time that is added to the latency objective.
        idempotency: Whether a query may be run more than once; by default it is not sent again after an
            attempt that may have run.
        deduplication_scope: Engines that drop repeats of a keyed query: all, or those of the first
            attempt's zone or cell.
        deduplication_window_ms: Time from the first attempt during which engines drop repeats, in ms;
            required for a keyed class, and not allowed for any other.
        is_ordered_by_key: Whether queries with the same ordering key are sent one at a time, in order.
        zones: Names of the zones whose engines may run the class; None for all.
        machine_types: Names of the machine types that may run the class; None for all.
        threads: Threads that a query uses at its engine.
        is_load: Whether the queries are loads, which write tables and lock them.
        waits_for_loads: Whether the queries wait for a load on their tables at the same engine.
        completed_retry_answer: Answer to a retry of a query that is known to have completed; "served"
            requires state_dir.
    """

    name: Name
    latency_objective_ms: Positive = field(name="aim_ms")
    deadline_ms: Positive
    utility: NonNegative = field(default=1.0, name="worth")
    late_utility: Share = field(default=0.0, name="late_worth")
    latency_objective_stretch: NonNegative = field(default=0.0, name="aim_stretch")
    idempotency: Literal["safe", "keyed", "unsafe"] = field(default="unsafe", name="effect")
    deduplication_scope: Literal["all", "zone", "cell"] = field(default="all", name="group")
    deduplication_window_ms: NonNegative = field(default=0.0, name="window_ms")
    is_ordered_by_key: bool = field(default=False, name="in_order")
    zones: tuple[Name, ...] | None = None
    machine_types: tuple[Name, ...] | None = None
    threads: Count = 1
    is_load: bool = field(default=False, name="loads")
    waits_for_loads: bool = field(default=False, name="waits")
    completed_retry_answer: Literal["served", "failed"] = field(default="failed", name="again")


class MachineTypeConfig(Section, frozen=True, kw_only=True):
    """A type of engine machine; 0 cores or 0 MB if the figure is unknown."""

    name: Name
    cores: Annotated[int, Meta(ge=0)] = 0
    memory_mb: NonNegative = 0.0


class FeaturesConfig(Section, frozen=True, kw_only=True):
    """Operations and limits that the deployment permits a dispatcher.

    Attributes:
        can_cancel: Whether attempts may be cancelled.
        has_priorities: Whether attempts have priorities, by which engines share their cores.
        has_health_checks: Whether engines answer health checks.
        max_retry_after_ms: Longest time until a retry that a rejection advises, in ms; with 0, rejections
            carry no retry-after.
        max_attempts: Largest number of attempts of one query.
    """

    can_cancel: bool = field(default=True, name="cancel")
    has_priorities: bool = field(default=True, name="priorities")
    has_health_checks: bool = field(default=True, name="probes")
    max_retry_after_ms: NonNegative = field(default=0.0, name="cooldown_most_ms")
    max_attempts: Annotated[int, Meta(ge=1, le=10)] = field(default=3, name="attempts")


class RulesConfig(Section, frozen=True, kw_only=True):
    """Parameters of the scheduler's rules.

    Attributes:
        answer_slack_ms: Longest delay of a final answer after the deadline, in ms.
        drain_grace_ms: Time in which a drain must take effect, in ms; the drain rule allows 500 ms at most.
        cold_capacity_share: Share of its capacity that an engine has just after its start.
        warm_up_ms: Time from its start until an engine has its whole capacity, in ms.
        overload_factor: Work that a cold engine may be sent, as a multiple of its present capacity.
        overload_window_ms: Time over which the work sent to a cold engine is summed, in ms.
        key_quiet_ms: Time after an attempt that may still run until the next query of its ordering key may
            be sent, in ms.
    """

    answer_slack_ms: NonNegative = 50.0
    drain_grace_ms: Annotated[float, Meta(ge=0, le=500)] = 500.0
    cold_capacity_share: Annotated[float, Meta(gt=0, le=1)] = field(default=0.33, name="cold_from")
    warm_up_ms: Positive = field(default=13_000.0, name="warm_within_ms")
    overload_factor: Positive = 2.0
    overload_window_ms: Positive = field(default=1500.0, name="tip_after_ms")
    key_quiet_ms: NonNegative = 0.0


class ConnectionsConfig(Section, frozen=True, kw_only=True):
    """Connections to engines.

    Attributes:
        idle_timeout_ms: Time without requests after which a connection is closed, in ms. At least 3000,
            since a connection is sent no new requests in the last 2 s before its timeout.
        connect_timeout_ms: Longest time to open a connection, in ms.
        max_streams: Largest number of requests in progress on one connection.
    """

    idle_timeout_ms: Annotated[float, Meta(ge=3000)] = field(default=15_000.0, name="idle_ms")
    connect_timeout_ms: Positive = field(default=250.0, name="connect_ms")
    max_streams: Count = field(default=32, name="streams")


class PeersConfig(Section, frozen=True, kw_only=True):
    """The dispatchers of the installation.

    Attributes:
        listen: Address on which this dispatcher receives messages from the others.
        announce: Address at which the others reach this dispatcher, if it differs from `listen`, as with
            address translation; empty if it doesn't.
        all: Addresses of all dispatchers, including this one, by their index.
        zones: Zone of each dispatcher in `all`; empty if unknown.
    """

    listen: HostPort
    announce: OptionalIpv4Port = ""
    all: Annotated[tuple[HostPort, ...], Meta(min_length=1)]
    zones: tuple[Name, ...] = ()


class KeyConfig(Section, frozen=True, kw_only=True):
    """A shared key that authenticates datagrams between dispatchers.

    Attributes:
        key_id: Number that identifies the key in datagrams.
        secret: The key itself; exactly one of `secret` and `secret_file` must be given.
    """

    key_id: Annotated[int, Meta(ge=1, le=255)] = field(name="number")
    secret: str = ""
    secret_file: str = ""


class MembershipConfig(Section, frozen=True, kw_only=True):
    """Failure detection among the dispatchers by datagrams at peers.listen, and their shared duties.

    Attributes:
        keys: Keys that are accepted in received datagrams.
        send_key_id: Number of the key that authenticates sent datagrams; 0 for the first key.
        ping_interval_ms: Interval between pings, in ms; with the default, each of five members is pinged
            within a second.
        ping_timeout_ms: Time to wait for a ping's answer, in ms; the default is several round trips within
            one site.
        health_check_interval_ms: Interval between two health checks of an engine, in ms; the instance that
            holds the engine's health check duty sends them.
        report_interval_ms: Interval between two fleet reports, in ms.
        voters: Names of the members of which a majority grants leases; empty disables leases.
    """

    keys: tuple[KeyConfig, ...] = ()
    send_key_id: int = field(default=0, name="send_key")
    ping_interval_ms: Annotated[float, Meta(ge=50)] = field(default=200.0, name="period_ms")
    ping_timeout_ms: Annotated[float, Meta(ge=10)] = field(default=80.0, name="timeout_ms")
    health_check_interval_ms: Annotated[float, Meta(ge=500)] = field(default=5000.0, name="probe_ms")
    report_interval_ms: Annotated[float, Meta(ge=1000)] = field(default=60_000.0, name="report_ms")
    voters: tuple[Name, ...] = ()


class FleetConfig(Section, frozen=True, kw_only=True):
    """Decisions that the dispatchers make together; requires the section `membership`.

    Attributes:
        slow_factor: Multiple of its usual duration from which an attempt is failure evidence against its
            zone.
        hold_down_ms: Shortest time that a zone stays evacuated, in ms; longer than a burst of losses. Each
            failed return doubles it.
        max_hold_down_ms: Upper limit of the doubled hold-down time, in ms.
        initial_return_share: Share of its full load with which the return to a zone begins.
        return_step_ms: Shortest time between two doublings of that share, in ms.
        usable_capacity_share: Share of the other zones' cores that an evacuation may plan with.
        estimates_failover_cost: Whether the cost of losing a zone is projected; the projection decides the
            share of its load that a partly evacuated zone keeps.
        has_session_affinity: Whether all loads with the same key pass through one dispatcher, also during a
            rolling replacement.
        sheds_load: Whether the dispatchers shed the requests of least utility by a common threshold.
    """

    slow_factor: Annotated[float, Meta(ge=1.5)] = field(default=3.0, name="slow")
    hold_down_ms: Positive = field(default=2000.0, name="hold_ms")
    max_hold_down_ms: Positive = field(default=30_000.0, name="hold_most_ms")
    initial_return_share: Annotated[float, Meta(gt=0, le=1)] = field(default=0.03, name="first_share")
    return_step_ms: Annotated[float, Meta(ge=100)] = field(default=250.0, name="step_ms")
    usable_capacity_share: Annotated[float, Meta(gt=0, le=1)] = field(default=0.95, name="reserve")
    estimates_failover_cost: bool = field(default=False, name="outlook")
    has_session_affinity: bool = field(default=False, name="pins")
    sheds_load: bool = field(default=False, name="price")


class SourceGuardConfig(Section, frozen=True, kw_only=True):
    """Limits on how quickly a source's reports remove engines from service and return them to it.

    Attributes:
        min_in_service: Share of the engines, without the drained ones, that failed checks and missing
            entries can't take out of service. If more than half appear to fail at the same time, the observer
            is a more likely cause than the engines.
        min_quiet_ms: Time for which an engine must stay healthy before its first return, in ms; it doubles
            with each recent failure. The default is two runs of a check with an interval of 500 ms.
        max_quiet_ms: Upper limit of the doubled time, in ms.
        flap_half_life_ms: Half-life of an engine's count of recent failures, in ms.
        jitter: Largest share by which the time is lengthened at random, so that dispatchers that saw the
            same failure don't all send to a returned, still cold engine at the same time.
    """

    min_in_service: Annotated[float, Meta(ge=0, lt=1)] = field(default=0.5, name="floor")
    min_quiet_ms: NonNegative = field(default=1000.0, name="quiet_ms")
    max_quiet_ms: NonNegative = field(default=60_000.0, name="quiet_most_ms")
    flap_half_life_ms: Positive = field(default=60_000.0, name="flap_half_ms")
    jitter: Share = 0.2


class TlsConfig(Section, frozen=True, kw_only=True):
    """TLS to Consul. File names are relative to the configuration file's folder.

    Attributes:
        ca_file: Certificates of the trusted authorities; empty for the system's.
        server_name: Name that the server's certificate must have, if it differs from the address.
    """

    ca_file: str = ""
    cert_file: str = ""
    key_file: str = ""
    server_name: str = ""


class EventStreamConfig(Section, frozen=True, kw_only=True, tag_field="kind", tag="bus"):
    """The event stream as a source; its reports are applied without a guard."""

    name: Name = "bus"
    address: HostPort


class ConsulConfig(Section, frozen=True, kw_only=True, tag_field="kind", tag="consul"):
    """One service of one datacentre in Consul, as a source of engines.

    Attributes:
        addresses: Consul agents; the next one is used after a failure.
        datacenter: Datacentre to query; empty for the agent's own.
        zone: Zone of all engines of this source; if empty, the meta field `zone` of each entry, else the
            datacentre's name.
        filter: Consul filter expression that entries must match; empty for all.
        tag: Tag that entries must have; empty for all.
        max_wait_ms: Time for which Consul may hold back the response to a blocking query, in ms. Consul
            allows ten minutes at most. A silently broken connection is not detected for this long.
        first_byte_timeout_ms: Time after the wait within which the first byte must arrive, in ms.
        body_timeout_ms: Time from the first byte within which the response must be complete, in ms.
        min_backoff_ms: Pause after a failure, in ms; it doubles each time that all agents have failed.
        max_backoff_ms: Upper limit of the doubled pause, in ms.
        min_interval_ms: Pause between a response and the next request, in ms; at most half of the 500 ms
            within which a drain must be known.
        max_staleness_ms: Time since its last contact with the leader from which a server's response is
            discarded and requested again from the leader, in ms.
        status_if_warning: Status of an engine with a check in the state `warning`.
        status_if_unchecked: Status of an engine without a check of its own.
        id_from: Whether an engine's id is the service id alone, or also contains the node's name.
    """

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
    max_wait_ms: Annotated[float, Meta(ge=500, le=600_000)] = field(default=10_000.0, name="wait_ms")
    first_byte_timeout_ms: Positive = field(default=1000.0, name="first_byte_ms")
    body_timeout_ms: Positive = field(default=5000.0, name="rest_ms")
    min_backoff_ms: Positive = field(default=50.0, name="pause_ms")
    max_backoff_ms: Positive = field(default=5000.0, name="pause_most_ms")
    min_interval_ms: Annotated[float, Meta(ge=0, le=250)] = field(default=20.0, name="gap_ms")
    max_staleness_ms: Positive = field(default=2000.0, name="stale_most_ms")
    max_body_bytes: Annotated[int, Meta(ge=4096, le=1 << 30)] = field(default=64 << 20, name="most_bytes")
    status_if_warning: Literal["in service", "troubled"] = field(default="in service", name="warning")
    status_if_unchecked: Literal["in service", "troubled"] = field(default="in service", name="unchecked")
    id_from: Literal["service", "node/service"] = "service"
    guard: SourceGuardConfig = SourceGuardConfig()


class InitialEngineConfig(Section, frozen=True, kw_only=True):
    """An engine that is used until a source has answered."""

    id: Text
    address: HostPort
    zone: str = ""
    machine_type: str = ""
    size: Positive = 1.0


class RegistrationConfig(Section, frozen=True, kw_only=True):
    """The dispatcher's own entry in Consul.

    Attributes:
        id: Id of the entry; empty for the dispatcher's name.
        address: Address of the entry; empty for the dispatcher's `listen`.
        ttl_ms: Time without a heartbeat after which the entry's check becomes critical, in ms.
        max_loop_lag_ms: Lag of the event loop above which the check is reported critical, in ms; with more
            than the default, the drain rule can't be kept.
        deregister_after_ms: Time for which the check is critical before Consul removes the entry, in ms.
            Consul allows no less than a minute.
    """

    agent: HostPort
    service: Text = "cottonhold"
    id: str = ""
    address: str = ""
    tags: tuple[str, ...] = ()
    meta: dict[str, str] = {}
    token: str = ""
    token_file: str = ""
    tls: TlsConfig | None = None
    ttl_ms: Annotated[float, Meta(ge=1000)] = 6000.0
    max_loop_lag_ms: Positive = field(default=500.0, name="lag_ms")
    deregister_after_ms: Annotated[float, Meta(ge=60_000)] = field(default=600_000.0, name="forget_ms")


class LogConfig(Section, frozen=True, kw_only=True):
    """Format and rate limit of the log; a burst of up to `burst_lines` lines may exceed the rate."""

    format: Literal["logfmt", "json"] = "logfmt"
    lines_per_second: Positive = field(default=20.0, name="per_second")
    burst_lines: Annotated[int, Meta(ge=1, le=100_000)] = field(default=100, name="burst")


class ConfigFile(Section, frozen=True, kw_only=True):
    """The top level of the configuration file.

    Attributes:
        seed: Seed of the random generators; None for a random one at each start.
        max_descriptors: Largest number of file descriptors that the process may use.
        dispatcher_index: Index of this dispatcher among all dispatchers, from 0.
        load_report_fields: Names of the values in an engine's load report, in their order.
        state_dir: Folder of durable records, relative to the file's own folder; empty if nothing is
            persisted.
        status_socket: Path of the local socket for metrics and for commands such as `members`; empty for
            none.
        has_metrics: Whether metrics are served; off by default, since the library uses up to 3 MB.
        sources: Sources of the engine list, in the order of their precedence.
    """

    name: Name
    listen: HostPort
    seed: Annotated[int, Meta(ge=0)] | None = None
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
    state_dir: Annotated[str, Meta(max_length=200)] = ""
    status_socket: Annotated[str, Meta(max_length=100)] = ""
    has_metrics: bool = field(default=False, name="metrics")
    sources: tuple[EventStreamConfig | ConsulConfig, ...] = ()
    initial_engines: tuple[InitialEngineConfig, ...] = field(default=(), name="known")
    registration: RegistrationConfig | None = field(default=None, name="register")
    log: LogConfig = LogConfig()
