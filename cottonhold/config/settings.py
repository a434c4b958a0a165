"""Decodes a gateway's settings from the JSON object that the simulator and RELAY_CONFIG share.

All functions raise WireError for a value that has the wrong type or is unknown; the message has the JSON key.
"""

from __future__ import annotations

from typing import Any

from cottonhold.message_validation import NUMBER, Json, read, read_list, read_mapped
from cottonhold.scheduler.settings import (
    DeduplicationScope,
    Features,
    Idempotency,
    MachineType,
    MemoryShortage,
    OverheadCosts,
    QueryClass,
    Rules,
    Settings,
    Tenant,
)

KEYED_EFFECT = "dedup"
IDEMPOTENCY = {
    "retryable": Idempotency.IDEMPOTENT,
    KEYED_EFFECT: Idempotency.IDEMPOTENT_WITH_KEY,
    "fragile": Idempotency.NOT_IDEMPOTENT,
}
MEMORY_SHORTAGE = {"queue": MemoryShortage.WAIT, "trim": MemoryShortage.SHRINK, "swap": MemoryShortage.PAGE}
LOAD_REPORT_FIELDS = {"active": "inflight", "waiting": "queue", "cpu": "util"}


def decode_class(source: Json, domain: Json, index: int) -> QueryClass:
    """Decode one query class.

    Args:
        source: The entry in the settings' list of classes.
        domain: The settings' section `domain`, which holds further properties as one list for all classes.
        index: Position of the class in those lists.
    """

    def read_class_value(key: str, default: Any) -> Any:
        values = read_list(domain, key, type(default))
        return values[index] if index < len(values) else default

    zones = read(source, "zones_open", list, None)
    machine_types = read(source, "models_open", list, None)
    return QueryClass(
        name=read(source, "name", str, ""),
        latency_objective_ms=read(source, "aim", NUMBER),
        deadline_ms=read(source, "hard_limit", NUMBER),
        utility=read(source, "worth", NUMBER, 1.0),
        late_utility=read(source, "late_worth", NUMBER, 0.0),
        latency_objective_stretch=read(source, "aim_stretch", NUMBER, 0.0),
        idempotency=read_mapped(source, "effect", IDEMPOTENCY),
        deduplication_scope=DeduplicationScope(read(source, "group", str, "all")),
        deduplication_window_ms=read(source, "window", NUMBER, 0.0),
        is_ordered_by_key=read(source, "by_arrival", bool, False),
        is_streamed=read(source, "stream", bool, False),
        zones=None if zones is None else tuple(zones),
        machine_types=None if machine_types is None else tuple(machine_types),
        threads=read_class_value("parallelism", 1),
        is_load=read_class_value("holds_tables", False),
        waits_for_loads=read_class_value("class_waits", False),
    )


def decode_rules(source: Json) -> Rules:
    """Decode the limits that the deployment sets.

    A share of the retry budget without a number of free retries limits retries as well: none is free.
    """
    has_retry_share = source.get("repeat_ratio") is not None
    return Rules(
        answer_slack_ms=read(source, "answer_slack", NUMBER, 20.0),
        drain_grace_ms=read(source, "stop_sending_within", NUMBER, 0.0),
        cold_capacity_share=read(source, "cold_from", NUMBER, 0.3),
        warm_up_ms=read(source, "warm_within", NUMBER, 13000.0),
        overload_factor=read(source, "overload_factor", NUMBER, 2.0),
        overload_window_ms=read(source, "tip_after", NUMBER, 2000.0),
        list_poll_limit_ms=read(source, "ask_within", NUMBER, 10000.0),
        key_quiet_ms=read(source, "key_quiet", NUMBER, 0.0),
        retry_budget_free=read(source, "spare_attempts", NUMBER, 0.0 if has_retry_share else None),
        retry_budget_share=read(source, "repeat_ratio", NUMBER, 0.0),
        retry_budget_window_ms=read(source, "look_back", NUMBER, 5000.0),
    )


def decode_machine_types(params: Json, domain: Json) -> tuple[MachineType, ...]:
    """Decode the machine types, at least one; cores and memory that are not given are 0, for unknown."""
    cores = read_list(domain, "size_cores", NUMBER)
    memory_mb = read_list(domain, "ram_of_kind_mb", NUMBER)
    names = read_list(params, "models", str)
    return tuple(
        MachineType(
            cores=cores[index] if index < len(cores) else 0,
            memory_mb=memory_mb[index] if index < len(memory_mb) else 0.0,
        )
        for index in range(max(len(names), len(cores), 1))
    )


def decode_features(params: Json, domain: Json) -> Features:
    """Decode what the deployment permits a gateway to do."""
    caps = read(params, "caps", dict)
    return Features(
        can_cancel=read(caps, "may_cancel", bool, False),
        has_memory_grants=read(domain, "grants_count", bool, False),
        has_priorities=read(domain, "priorities", bool, False),
        has_health_checks=read(caps, "probes", bool, False),
        has_peer_messages=read(caps, "peers", bool, False),
        has_retry_after=read(caps, "retry_after", bool, False),
        max_retry_after_ms=read(caps, "max_retry_after", NUMBER, 0.0),
        max_attempts=read(caps, "most_tries", int, 1),
        polls_engine_list=read(params, "discovery", str, "push") == "ask",
    )


def decode_overhead_costs(source: Json) -> OverheadCosts:
    """Decode the costs of health checks and of messages to peers."""
    return OverheadCosts(
        per_health_check=read(source, "probe", NUMBER, 0.0),
        per_peer_message=read(source, "peer", NUMBER, 0.0),
    )


def decode_tenant(source: Json) -> Tenant:
    """Decode one tenant and its quota."""
    return Tenant(read(source, "name", str, ""), read(source, "quota_per_s", NUMBER, 0.0))


def decode_settings(params: Json) -> Settings:
    """Decode all settings of a gateway.

    Raises:
        WireError: A value is missing, has the wrong type or is unknown.
        ValueError: A value is out of range.
    """
    domain = read(params, "domain", dict, {})
    report = read(params, "report", dict, {})
    classes = read_list(params, "classes", dict)
    fields = read_list(report, "fields", str)
    return Settings(
        classes=tuple(decode_class(source, domain, index) for index, source in enumerate(classes)),
        machine_types=decode_machine_types(params, domain),
        features=decode_features(params, domain),
        overhead_costs=decode_overhead_costs(read(params, "costs", dict, {})),
        rules=decode_rules(read(params, "obligations", dict)),
        tenants=tuple(decode_tenant(source) for source in read_list(params, "tenants", dict)),
        gateway_index=read(params, "me", int, 0),
        gateway_count=read(params, "siblings", int, 1),
        zone=read(params, "zone", int, 0),
        over_quota_utility=read(params, "over_share_worth", NUMBER, 1.0),
        load_report_fields=tuple(LOAD_REPORT_FIELDS.get(name, name) for name in fields),
        reports_on_health_check=read(report, "how", str, "off") == "on_probe",
        on_memory_shortage=read_mapped(domain, "when_short", MEMORY_SHORTAGE, default=MemoryShortage.WAIT),
        max_grant_share=read(domain, "max_grant_share", NUMBER, 1.0),
        progress_interval_ms=read(domain, "note_period", NUMBER, 0.0),
        reports_actual_work=read(domain, "cost_in_answers", bool, False),
        tick_ms=read(params, "tick", NUMBER, 1.0),
    )
