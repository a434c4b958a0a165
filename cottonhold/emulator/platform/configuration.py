"""The configuration file of a dispatcher process, as the platform writes it."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

Json = dict[str, Any]

LOOKUP, REPORT, LOAD = "lookup", "report", "load"


@dataclass(slots=True)
class Limits:
    """The limits of a dispatcher: a share of a core, MB of memory, and file descriptors."""

    cores: float = 1.0
    memory_mb: float = 192.0
    descriptors: int = 1024

    def as_json(self) -> Json:
        """Return the limits with the keys of the configuration file."""
        return {"cores": self.cores, "memory_mb": self.memory_mb, "sockets": self.descriptors}


@dataclass(slots=True)
class PlatformConfig:
    """What a dispatcher process is told.

    Attributes:
        listen: Address of the clients.
        admin: Address of the operators' calls.
        bus: Address of the event bus.
        known: The event bus's answer at the start.
        limits: The limits of the dispatcher.
        deadline_ms: The longest deadline of a class; the others have three fifths of it.
        seed: Seed of the process, in hexadecimal.
        settings: Top-level keys of `settings` that differ.
    """

    listen: str
    admin: str
    bus: str
    known: Json
    limits: Limits
    deadline_ms: float = 5000.0
    seed: str = "1"
    settings: Json = field(default_factory=dict)

    def as_json(self) -> Json:
        """Return the content of the file that RELAY_CONFIG names."""
        return {
            "name": "n0",
            "listen": self.listen,
            "ops": self.admin,
            "seed": self.seed,
            "limits": self.limits.as_json(),
            "peers": [],
            "bus": self.bus,
            "known": self.known,
            "settings": default_settings(self.deadline_ms) | self.settings,
        }


def query_class(name: str, effect: str, deadline_ms: float, **more: Any) -> Json:
    """Return a class of queries; `effect` is `retryable`, `windowed` or `fragile`."""
    return {
        "name": name,
        "effect": effect,
        "aim": deadline_ms / 3,
        "hard_limit": deadline_ms,
        "aim_stretch": 2.0,
        "worth": 1.0,
        "late_worth": 0.3,
        "group": "all",
        "window": 5000.0,
        "stream": False,
    } | more


def default_settings(deadline_ms: float) -> Json:
    """Return the settings of a deployment with one dispatcher and three classes of queries."""
    return {
        "caps": {
            "conn_idle": 15000.0,
            "connect_timeout": 250.0,
            "max_retry_after": 500.0,
            "may_cancel": True,
            "most_tries": 5,
            "peers": False,
            "probes": True,
            "retry_after": True,
            "second_copies": False,
            "streams_per_conn": 32,
        },
        "classes": [
            query_class(LOOKUP, "retryable", deadline_ms * 0.6),
            query_class(REPORT, "retryable", deadline_ms, worth=5.0),
            query_class(LOAD, "fragile", deadline_ms, worth=6.0, by_arrival=True),
        ],
        "costs": {"peer": 0.01, "probe": 0.011, "late_fail": 0.063, "waste": 0.03},
        "discovery": "push",
        "domain": {
            "class_waits": [True, True, False],
            "cost_in_answers": True,
            "grants_count": False,
            "holds_tables": [False, False, True],
            "max_grant_share": 0.4,
            "note_period": 0.0,
            "parallelism": [1, 3, 2],
            "priorities": True,
            "ram_of_kind_mb": [16384.0],
            "size_cores": [8],
            "when_short": "trim",
        },
        "me": 0,
        "models": ["m8"],
        "obligations": {
            "answer_slack": 20.0,
            "cold_from": 0.33,
            "key_quiet": 0.0,
            "overload_factor": 4.0,
            "stop_sending_within": 500.0,
            "tip_after": 1500.0,
            "warm_within": 15000.0,
        },
        "report": {"fields": ["active", "cpu", "x1"], "how": "inline"},
        "siblings": 1,
        "tenants": [],
        "tick": 5.0,
        "zone": 0,
        "zones": ["z0"],
    }
