"""Converts the sections of a configuration file to the settings of the dispatcher's components."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from cottonhold.config import schema
from cottonhold.config.problems import FieldPath, ReportProblem
from cottonhold.config.referenced_files import ReferencedFiles
from cottonhold.config.relay import ConnectionSettings
from cottonhold.discovery.consul.health_entry import EntryInterpretation
from cottonhold.discovery.consul.registration import RegistrationSettings
from cottonhold.discovery.consul.watch import WatchSettings
from cottonhold.discovery.model import Address, ConfiguredNames, Observation, ServiceStatus, SourceGuard
from cottonhold.membership.codec import KeyRing
from cottonhold.scheduler.settings import (
    DeduplicationScope,
    Features,
    Idempotency,
    MachineType,
    QueryClass,
    Rules,
    Settings,
)

MIN_KEY_BYTES, MAX_KEY_BYTES = 8, 64
IDEMPOTENCY = {
    "safe": Idempotency.IDEMPOTENT,
    "keyed": Idempotency.IDEMPOTENT_WITH_KEY,
    "unsafe": Idempotency.NOT_IDEMPOTENT,
}


@dataclass(slots=True, frozen=True)
class ConsulSource:
    """A Consul source of engines.

    Attributes:
        watch_settings: The watched service, and timeouts and limits of the requests.
        interpretation: How entries are converted to engines.
        guard: Limits on how quickly the source's reports are applied.
        tls: TLS settings; None for plain HTTP.
    """

    watch_settings: WatchSettings
    interpretation: EntryInterpretation
    guard: SourceGuard
    tls: schema.TlsConfig | None


def parse_address(text: str) -> Address:
    """Parse HOST:PORT or [HOST]:PORT; the schema has checked the format already."""
    host, _, port = text.rpartition(":")
    return Address(host.strip("[]"), int(port))


def scheduler_settings(file: schema.ConfigFile) -> Settings:
    """Return the settings of the scheduler."""
    return Settings(
        classes=tuple(_query_class(section, file) for section in file.classes),
        machine_types=tuple(MachineType(m.cores, m.memory_mb) for m in file.machine_types)
        or (MachineType(),),
        features=_features(file),
        rules=_rules(file.rules),
        gateway_index=file.dispatcher_index,
        gateway_count=file.dispatcher_count,
        load_report_fields=file.load_report_fields,
        reports_actual_work=True,
    )


def _query_class(section: schema.QueryClassConfig, file: schema.ConfigFile) -> QueryClass:
    return QueryClass(
        name=section.name,
        latency_objective_ms=section.latency_objective_ms,
        deadline_ms=section.deadline_ms,
        utility=section.utility,
        late_utility=section.late_utility,
        latency_objective_stretch=section.latency_objective_stretch,
        idempotency=IDEMPOTENCY[section.idempotency],
        deduplication_scope=DeduplicationScope(section.deduplication_scope),
        deduplication_window_ms=section.deduplication_window_ms,
        is_ordered_by_key=section.is_ordered_by_key,
        zones=_indices(section.zones, file.zones),
        machine_types=_indices(section.machine_types, [m.name for m in file.machine_types]),
        threads=section.threads,
        is_load=section.is_load,
        waits_for_loads=section.waits_for_loads,
    )


def _indices(names: Sequence[str] | None, all_names: Sequence[str]) -> tuple[int, ...] | None:
    """Return the positions of names in a list, without unknown names, which check_consistency reports."""
    if names is None:
        return None
    return tuple(all_names.index(name) for name in names if name in all_names)


def _features(file: schema.ConfigFile) -> Features:
    section = file.features
    return Features(
        can_cancel=section.can_cancel,
        has_priorities=section.has_priorities,
        has_health_checks=section.has_health_checks,
        has_peer_messages=file.peers is not None,
        has_retry_after=section.max_retry_after_ms > 0,
        max_retry_after_ms=section.max_retry_after_ms,
        max_attempts=section.max_attempts,
    )


def _rules(section: schema.RulesConfig) -> Rules:
    return Rules(
        answer_slack_ms=section.answer_slack_ms,
        drain_grace_ms=section.drain_grace_ms,
        cold_capacity_share=section.cold_capacity_share,
        warm_up_ms=section.warm_up_ms,
        overload_factor=section.overload_factor,
        overload_window_ms=section.overload_window_ms,
        key_quiet_ms=section.key_quiet_ms,
    )


def connection_settings(section: schema.ConnectionsConfig) -> ConnectionSettings:
    """Return the settings of connections to engines."""
    return ConnectionSettings(section.idle_timeout_ms, section.connect_timeout_ms, section.max_streams)


def consul_source(section: schema.ConsulConfig, path: FieldPath, files: ReferencedFiles) -> ConsulSource:
    """Return a Consul source; reads its token file and resolves its TLS files."""
    return ConsulSource(
        watch_settings=_watch_settings(section, path, files),
        interpretation=EntryInterpretation(
            status_if_warning=ServiceStatus(section.status_if_warning),
            status_if_unchecked=ServiceStatus(section.status_if_unchecked),
            ids_include_node=section.id_from == "node/service",
            zone=section.zone,
        ),
        guard=_source_guard(section.guard),
        tls=files.resolve_tls(section.tls, path),
    )


def _watch_settings(section: schema.ConsulConfig, path: FieldPath, files: ReferencedFiles) -> WatchSettings:
    return WatchSettings(
        name=section.name,
        addresses=tuple(parse_address(a) for a in section.addresses),
        service=section.service,
        datacenter=section.datacenter,
        filter=section.filter,
        tag=section.tag,
        consistency=section.consistency,
        token=section.token or files.read_secret(section.token_file, (*path, "token_file")),
        max_wait_ms=section.max_wait_ms,
        first_byte_timeout_ms=section.first_byte_timeout_ms,
        body_timeout_ms=section.body_timeout_ms,
        min_backoff_ms=section.min_backoff_ms,
        max_backoff_ms=section.max_backoff_ms,
        min_interval_ms=section.min_interval_ms,
        max_staleness_ms=section.max_staleness_ms,
        max_body_bytes=section.max_body_bytes,
    )


def _source_guard(section: schema.SourceGuardConfig) -> SourceGuard:
    return SourceGuard(
        min_in_service=section.min_in_service,
        min_quiet_ms=section.min_quiet_ms,
        max_quiet_ms=section.max_quiet_ms,
        flap_half_life_ms=section.flap_half_life_ms,
        jitter=section.jitter,
    )


def registration_settings(
    file: schema.ConfigFile, section: schema.RegistrationConfig, files: ReferencedFiles
) -> RegistrationSettings:
    """Return the settings of the dispatcher's own entry in Consul; reads its token file."""
    return RegistrationSettings(
        agent=parse_address(section.agent),
        id=section.id or file.name,
        service=section.service,
        address=parse_address(section.address or file.listen),
        tags=section.tags,
        meta=section.meta,
        token=section.token or files.read_secret(section.token_file, ("register", "token_file")),
        ttl_ms=section.ttl_ms,
        max_loop_lag_ms=section.max_loop_lag_ms,
        deregister_after_ms=section.deregister_after_ms,
    )


def key_ring(
    section: schema.MembershipConfig | None, files: ReferencedFiles, report: ReportProblem
) -> KeyRing:
    """Return the keys that authenticate datagrams; the first one signs them unless the section names another.

    Secrets that are too short or too long are reported.
    """
    secrets: dict[int, bytes] = {}
    for i, key in enumerate(section.keys if section else ()):
        path: FieldPath = ("membership", "keys", i)
        secret = (key.secret or files.read_secret(key.secret_file, (*path, "secret_file"))).encode()
        if not MIN_KEY_BYTES <= len(secret) <= MAX_KEY_BYTES:
            report(path, f"has a secret of fewer than {MIN_KEY_BYTES} or more than {MAX_KEY_BYTES} bytes")
        secrets[key.key_id] = secret
    first = next(iter(secrets), 0)
    return KeyRing(secrets, (section.send_key_id if section else 0) or first)


def initial_observation(engine: schema.InitialEngineConfig, names: ConfiguredNames) -> Observation:
    """Return an engine of the file as an observation that it is in service."""
    return Observation(
        engine.id,
        ServiceStatus.IN_SERVICE,
        "known from the configuration",
        parse_address(engine.address),
        zone=names.zone_index(engine.zone),
        machine_type=names.machine_type_index(engine.machine_type),
        size=engine.size,
    )
