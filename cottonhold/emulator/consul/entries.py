"""Entries of Consul's catalogue: nodes, services and checks. Times are in seconds on the caller's clock."""

from __future__ import annotations

import math
import re
import uuid
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any

Json = dict[str, Any]
SECONDS_PER_UNIT = {"ns": 1e-9, "us": 1e-6, "µs": 1e-6, "ms": 1e-3, "s": 1.0, "m": 60.0, "h": 3600.0}
DURATION = re.compile(r"(\d+(?:\.\d+)?)(ns|us|µs|ms|s|m|h)")


class CheckStatus(StrEnum):
    """A check's status, as written in responses."""

    PASSING = "passing"
    WARNING = "warning"
    CRITICAL = "critical"


class ApiError(Exception):
    """A call that cannot be executed, with the status and the text of its response."""

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status, self.text = status, text


def parse_duration(text: str) -> float:
    """Return the seconds of a duration such as 10s, 1m30s or 500ms. Raises ApiError."""
    parts = DURATION.findall(text)
    if not parts or "".join(number + unit for number, unit in parts) != text:
        raise ApiError(400, f"Invalid duration: {text!r}")
    return sum(float(number) * SECONDS_PER_UNIT[unit] for number, unit in parts)


@dataclass(slots=True)
class Node:
    """A node of the catalogue."""

    name: str
    address: str
    meta: dict[str, str] = field(default_factory=dict)
    create_index: int = 0
    modify_index: int = 0

    def to_json(self, datacenter: str) -> Json:
        """Return the node in the form of responses."""
        return {
            "ID": str(uuid.uuid5(uuid.NAMESPACE_DNS, self.name)),
            "Node": self.name,
            "Address": self.address,
            "Datacenter": datacenter,
            "TaggedAddresses": {"lan": self.address, "wan": self.address},
            "Meta": self.meta,
            "CreateIndex": self.create_index,
            "ModifyIndex": self.modify_index,
        }


@dataclass(slots=True)
class Service:
    """An instance of a service."""

    id: str
    name: str
    node: str
    address: str
    port: int
    tags: list[str]
    meta: dict[str, str]
    weights: Json
    create_index: int = 0
    modify_index: int = 0

    def to_json(self) -> Json:
        """Return the instance in the form of health responses."""
        return {
            "ID": self.id,
            "Service": self.name,
            "Tags": self.tags,
            "Address": self.address,
            "Meta": self.meta,
            "Port": self.port,
            "Weights": self.weights,
            "EnableTagOverride": False,
            "CreateIndex": self.create_index,
            "ModifyIndex": self.modify_index,
        }

    def to_agent_json(self) -> Json:
        """Return the instance in the form of the agent's own list."""
        row = {key: value for key, value in self.to_json().items() if not key.endswith("Index")}
        return row | {"ContentHash": "0"}


@dataclass(slots=True)
class Check:
    """A check of a node or of a service.

    Attributes:
        ttl_s: Time to live of a TTL check's status, in s; 0 for other checks.
        expires_at: Time at which a TTL check becomes critical without an update, in s.
        deregister_after_s: Time for which the check may be critical until its service is removed, in s.
        critical_since: Time since which the check is critical, in s; infinite if it is not.
    """

    id: str
    name: str
    node: str
    status: CheckStatus
    service_id: str = ""
    service_name: str = ""
    notes: str = ""
    output: str = ""
    kind: str = ""
    ttl_s: float = 0.0
    expires_at: float = math.inf
    deregister_after_s: float = math.inf
    critical_since: float = math.inf
    create_index: int = 0
    modify_index: int = 0

    def to_json(self) -> Json:
        """Return the check in the form of responses."""
        return {
            "Node": self.node,
            "CheckID": self.id,
            "Name": self.name,
            "Status": self.status,
            "Notes": self.notes,
            "Output": self.output,
            "ServiceID": self.service_id,
            "ServiceName": self.service_name,
            "ServiceTags": [],
            "Type": self.kind,
            "CreateIndex": self.create_index,
            "ModifyIndex": self.modify_index,
        }

    def set_status(self, now: float, status: CheckStatus, output: str) -> None:
        """Set a status and its output, and record since when it is critical."""
        if status is not self.status:
            self.critical_since = now if status is CheckStatus.CRITICAL else math.inf
        self.status, self.output = status, output

    def deregister_at(self) -> float:
        """Return when the check's service is removed unless the status changes."""
        return self.critical_since + self.deregister_after_s
