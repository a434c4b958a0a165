"""The settings of a gateway, read from the JSON object that the simulator and the configuration share."""

from __future__ import annotations

from typing import Any

from cottonhold.message_validation import NUMBER, Json, read, read_list, word
from cottonhold.scheduler import interface as io

EFFECTS = {"retryable": io.Effect.SAFE, "dedup": io.Effect.KEYED, "fragile": io.Effect.UNSAFE}
SHORT = {"queue": io.WhenShort.WAIT, "trim": io.WhenShort.SHRINK, "swap": io.WhenShort.PAGE}
REPORT = {"active": "inflight", "waiting": "queue", "cpu": "util"}


def read_class(source: Json, domain: Json, position: int) -> io.QueryClass:
    """One entry of the settings' classes, with what the domain says of it."""

    def of_class(key: str, default: Any) -> Any:
        values = read_list(domain, key, type(default))
        return values[position] if position < len(values) else default

    zones, models = read(source, "zones_open", list, None), read(source, "models_open", list, None)
    return io.QueryClass(
        name=read(source, "name", str, ""),
        aim=read(source, "aim", NUMBER),
        deadline=read(source, "hard_limit", NUMBER),
        worth=read(source, "worth", NUMBER, 1.0),
        late_worth=read(source, "late_worth", NUMBER, 0.0),
        aim_stretch=read(source, "aim_stretch", NUMBER, 0.0),
        effect=word(source, "effect", EFFECTS),
        group=io.Group(read(source, "group", str, "all")),
        window=read(source, "window", NUMBER, 0.0),
        in_order=read(source, "by_arrival", bool, False),
        stream=read(source, "stream", bool, False),
        zones=None if zones is None else tuple(zones),
        models=None if models is None else tuple(models),
        threads=of_class("parallelism", 1),
        loads=of_class("holds_tables", False),
        waits=of_class("class_waits", False),
    )


def read_rules(source: Json) -> io.Rules:
    """The figures of the rules."""
    return io.Rules(
        answer_slack=read(source, "answer_slack", NUMBER, 20.0),
        drain_grace=read(source, "stop_sending_within", NUMBER, 0.0),
        cold_from=read(source, "cold_from", NUMBER, 0.3),
        warm_within=read(source, "warm_within", NUMBER, 13000.0),
        overload_factor=read(source, "overload_factor", NUMBER, 2.0),
        tip_after=read(source, "tip_after", NUMBER, 2000.0),
        ask_within=read(source, "ask_within", NUMBER, 10000.0),
        key_quiet=read(source, "key_quiet", NUMBER, 0.0),
        budget_free=read(source, "spare_attempts", NUMBER, None),
        budget_share=read(source, "repeat_ratio", NUMBER, 0.0),
        budget_window=read(source, "look_back", NUMBER, 5000.0),
    )


def read_settings(params: Json) -> io.Settings:
    """The settings of a first message."""
    caps, domain = read(params, "caps", dict), read(params, "domain", dict, {})
    costs = read(params, "costs", dict, {})
    report = read(params, "report", dict, {})
    cores, memory = read_list(domain, "size_cores", NUMBER), read_list(domain, "ram_of_kind_mb", NUMBER)
    names = read_list(params, "models", str)
    models = tuple(
        io.Model(cores[i] if i < len(cores) else 0, memory[i] if i < len(memory) else 0.0)
        for i in range(max(len(names), len(cores), 1))
    )
    permits = io.Permits(
        cancel=read(caps, "may_cancel", bool, False),
        grants=read(domain, "grants_count", bool, False),
        priorities=read(domain, "priorities", bool, False),
        probes=read(caps, "probes", bool, False),
        peers=read(caps, "peers", bool, False),
        retry_after=read(caps, "retry_after", bool, False),
        max_retry_after=read(caps, "max_retry_after", NUMBER, 0.0),
        max_attempts=read(caps, "most_tries", int, 1),
        ask_list=read(params, "discovery", str, "push") == "ask",
    )
    return io.Settings(
        classes=tuple(read_class(c, domain, i) for i, c in enumerate(read_list(params, "classes", dict))),
        models=models,
        permits=permits,
        prices=io.Prices(
            probe=read(costs, "probe", NUMBER, 0.0),
            peer=read(costs, "peer", NUMBER, 0.0),
        ),
        rules=read_rules(read(params, "obligations", dict)),
        tenants=tuple(
            io.Tenant(read(t, "name", str, ""), read(t, "quota_per_s", NUMBER, 0.0))
            for t in read_list(params, "tenants", dict)
        ),
        me=read(params, "me", int, 0),
        gateways=read(params, "siblings", int, 1),
        zone=read(params, "zone", int, 0),
        over_share_worth=read(params, "over_share_worth", NUMBER, 1.0),
        report_fields=tuple(REPORT.get(f, f) for f in read_list(report, "fields", str)),
        probed_reports=read(report, "how", str, "off") == "on_probe",
        when_short=word(domain, "when_short", SHORT, default=io.WhenShort.WAIT),
        max_grant_share=read(domain, "max_grant_share", NUMBER, 1.0),
        note_period=read(domain, "note_period", NUMBER, 0.0),
        cost_told=read(domain, "cost_in_answers", bool, False),
        tick=read(params, "tick", NUMBER, 1.0),
    )
