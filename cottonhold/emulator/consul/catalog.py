"""Consul's catalogue as a model: nodes, services and checks under one growing index. Knows no socket.

From the published pages on the agent's service, check and maintenance endpoints, the catalogue and health
endpoints, and blocking queries. Times are seconds on the caller's clock.
"""

from __future__ import annotations

import math
import re
import uuid
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

Json = dict[str, Any]
UNITS = {"ns": 1e-9, "us": 1e-6, "µs": 1e-6, "ms": 1e-3, "s": 1.0, "m": 60.0, "h": 3600.0}
DURATION = re.compile(r"(\d+(?:\.\d+)?)(ns|us|µs|ms|s|m|h)")
STATUSES = ("passing", "warning", "critical")
ALIASES = {"pass": "passing", "warn": "warning", "fail": "critical"}


class ApiError(Exception):
    """A call that can't be carried out: the status and the text of its answer."""

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status, self.text = status, text


def duration(text: str) -> float:
    """Seconds of a duration as in 10s, 1m30s or 500ms. Raises ApiError."""
    parts = DURATION.findall(text)
    if not parts or "".join(n + u for n, u in parts) != text:
        raise ApiError(400, f"Invalid duration: {text!r}")
    return sum(float(n) * UNITS[u] for n, u in parts)


@dataclass(slots=True)
class Node:
    """A node of the catalogue."""

    name: str
    address: str
    meta: dict[str, str] = field(default_factory=dict)
    create: int = 0
    modify: int = 0

    def wire(self, datacenter: str) -> Json:
        """The node as answers show it."""
        return {
            "ID": str(uuid.uuid5(uuid.NAMESPACE_DNS, self.name)),
            "Node": self.name,
            "Address": self.address,
            "Datacenter": datacenter,
            "TaggedAddresses": {"lan": self.address, "wan": self.address},
            "Meta": self.meta,
            "CreateIndex": self.create,
            "ModifyIndex": self.modify,
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
    create: int = 0
    modify: int = 0

    def wire(self) -> Json:
        """The instance as health answers show it."""
        return {
            "ID": self.id,
            "Service": self.name,
            "Tags": self.tags,
            "Address": self.address,
            "Meta": self.meta,
            "Port": self.port,
            "Weights": self.weights,
            "EnableTagOverride": False,
            "CreateIndex": self.create,
            "ModifyIndex": self.modify,
        }

    def agent_wire(self) -> Json:
        """The instance as the agent shows its own."""
        shown = self.wire()
        return {k: v for k, v in shown.items() if not k.endswith("Index")} | {"ContentHash": "0"}


@dataclass(slots=True)
class Check:
    """A check of a node or of a service. `until`: when a TTL lapses; `forget`: how long critical is borne."""

    id: str
    name: str
    node: str
    status: str
    service: str = ""
    service_name: str = ""
    notes: str = ""
    output: str = ""
    kind: str = ""
    ttl: float = 0.0
    until: float = math.inf
    forget: float = math.inf
    critical_since: float = math.inf
    create: int = 0
    modify: int = 0

    def wire(self) -> Json:
        """The check as answers show it."""
        return {
            "Node": self.node,
            "CheckID": self.id,
            "Name": self.name,
            "Status": self.status,
            "Notes": self.notes,
            "Output": self.output,
            "ServiceID": self.service,
            "ServiceName": self.service_name,
            "ServiceTags": [],
            "Type": self.kind,
            "CreateIndex": self.create,
            "ModifyIndex": self.modify,
        }


class Catalog:
    """One datacentre, with one agent that calls are made to. `changed` is called after each change."""

    def __init__(self, now: Callable[[], float], datacenter: str = "dc1", agent: str = "agent-1") -> None:
        self.now, self.datacenter, self.agent = now, datacenter, agent
        self.index = 10
        self.nodes: dict[str, Node] = {}
        self.services: dict[tuple[str, str], Service] = {}
        self.checks: dict[tuple[str, str], Check] = {}
        self.indexes: dict[str, int] = {}  # by service: the index of the last change that its health shows
        self.changed: Callable[[], None] = lambda: None
        self.put_node(agent, "127.0.0.1")

    # --- changes ---

    def _bump(self, *services: str) -> int:
        self.index += 1
        for name in services:
            self.indexes[name] = self.index
        self.changed()
        return self.index

    def put_node(self, name: str, address: str, meta: dict[str, str] | None = None) -> None:
        """A node with its gossip check."""
        node = self.nodes.get(name)
        at = self._bump(*self._names_on(name))
        if node is None:
            self.nodes[name] = Node(name, address, meta or {}, at, at)
            self.checks[name, "serfHealth"] = Check(
                "serfHealth",
                "Serf Health Status",
                name,
                "passing",
                output="Agent alive and reachable",
                create=at,
                modify=at,
            )
        else:
            node.address, node.modify = address, at
            node.meta = node.meta if meta is None else meta

    def put_service(self, node: str, body: Json) -> Service:
        """Register an instance, or change the one of that id. Raises ApiError."""
        name = body.get("Name") or body.get("Service")
        if not isinstance(name, str) or not name:
            raise ApiError(400, "Missing service name")
        service_id = body.get("ID") or name
        port = body.get("Port") or 0
        if not isinstance(service_id, str) or not isinstance(port, int) or not 0 <= port < 65536:
            raise ApiError(400, "Request decode error: ID or Port")
        old = self.services.get((node, service_id))
        at = self._bump(name)
        service = Service(
            service_id,
            name,
            node,
            body.get("Address") or "",
            port,
            list(body.get("Tags") or []),
            dict(body.get("Meta") or {}),
            body.get("Weights") or {"Passing": 1, "Warning": 1},
            old.create if old else at,
            at,
        )
        self.services[node, service_id] = service
        self.nodes[node].modify = at
        return service

    def drop_service(self, node: str, service_id: str) -> bool:
        """Remove an instance with its checks; whether there was one."""
        service = self.services.pop((node, service_id), None)
        if service is None:
            return False
        for key in [k for k, c in self.checks.items() if k[0] == node and c.service == service_id]:
            del self.checks[key]
        self._bump(service.name)
        return True

    def drop_node(self, name: str) -> None:
        """Remove a node with all that runs on it."""
        names = self._names_on(name)
        self.nodes.pop(name, None)
        for table in (self.services, self.checks):
            for key in [k for k in table if k[0] == name]:
                del table[key]
        self._bump(*names)

    def put_check(self, node: str, body: Json, service: Service | None = None) -> Check:
        """Register a check. Raises ApiError."""
        ttl = duration(body["TTL"]) if body.get("TTL") else 0.0
        name = body.get("Name") or (f"Service '{service.name}' check" if service else "")
        check_id = body.get("CheckID") or body.get("ID") or (f"service:{service.id}" if service else name)
        if not check_id:
            raise ApiError(400, "Missing check name")
        if body.get("ServiceID") and service is None:
            service = self.services.get((node, body["ServiceID"]))
            if service is None:
                raise ApiError(404, f"ServiceID {body['ServiceID']!r} does not exist")
        status = body.get("Status") or "critical"
        if status not in STATUSES:
            raise ApiError(400, f"Bad check status: {status!r}")
        forget = body.get("DeregisterCriticalServiceAfter")
        now = self.now()
        at = self._bump(service.name) if service else self._bump(*self._names_on(node))
        check = self.checks[node, check_id] = Check(
            check_id,
            name,
            node,
            status,
            service.id if service else "",
            service.name if service else "",
            body.get("Notes") or "",
            body.get("Output") or "",
            "ttl" if ttl else body.get("Type", ""),
            ttl,
            now + ttl if ttl else math.inf,
            duration(forget) if forget else math.inf,
            now if status == "critical" else math.inf,
            at,
            at,
        )
        return check

    def drop_check(self, node: str, check_id: str) -> None:
        """Remove a check. Raises ApiError where there is none."""
        check = self.checks.pop((node, check_id), None)
        if check is None:
            raise ApiError(
                404, f'Unknown check ID "{check_id}". Ensure that the check ID is passed, not the check name.'
            )
        self._touch(check)

    def set_status(self, node: str, check_id: str, status: str, output: str = "") -> None:
        """A check's new status; a TTL starts anew. Raises ApiError."""
        check = self.checks.get((node, check_id))
        if check is None:
            raise ApiError(
                404, f'Unknown check ID "{check_id}". Ensure that the check ID is passed, not the check name.'
            )
        status = ALIASES.get(status, status)
        if status not in STATUSES:
            raise ApiError(400, f"Invalid check status: {status!r}")
        if check.ttl:
            check.until = self.now() + check.ttl
        if (status, output) == (check.status, check.output):
            return  # Consul doesn't sync what hasn't changed, and no watcher wakes
        if status != check.status:
            check.critical_since = self.now() if status == "critical" else math.inf
        check.status, check.output = status, output
        self._touch(check)

    def _touch(self, check: Check) -> None:
        names = [check.service_name] if check.service else self._names_on(check.node)
        check.modify = self._bump(*names)

    def _names_on(self, node: str) -> list[str]:
        return sorted({s.name for s in self.services.values() if s.node == node})

    def maintain(self, node: str, on: bool, reason: str, service: str = "") -> None:
        """Maintenance of an instance, or of the node. Raises ApiError."""
        if service and (node, service) not in self.services:
            raise ApiError(404, f'Unknown service ID "{service}"')
        check_id = f"_service_maintenance:{service}" if service else "_node_maintenance"
        if on and (node, check_id) not in self.checks:
            kind = "Service" if service else "Node"
            default = f"Maintenance mode is enabled for this {kind.lower()}, but no reason was provided."
            body = {
                "CheckID": check_id,
                "Name": f"{kind} Maintenance Mode",
                "Notes": reason or default,
                "Status": "critical",
            }
            self.put_check(node, body, self.services.get((node, service)))
        elif not on and (node, check_id) in self.checks:
            self.drop_check(node, check_id)

    def tick(self) -> float:
        """Lapse TTLs and forget what was critical for too long; returns when to come again."""
        now = self.now()
        for check in list(self.checks.values()):
            if check.until <= now:
                check.until = math.inf
                if check.status != "critical":
                    check.status, check.output, check.critical_since = "critical", "TTL expired", now
                    self._touch(check)
            if check.service and check.critical_since + check.forget <= now:
                self.drop_service(check.node, check.service)
        ends = (min(c.until, c.critical_since + c.forget) for c in self.checks.values())
        return min(ends, default=math.inf)

    # --- answers ---

    def health(self, name: str) -> list[Json]:
        """All instances of a service with the checks of node and service, as /v1/health/service."""
        rows = []
        by_node: dict[str, list[Check]] = {}
        for check in self.checks.values():
            by_node.setdefault(check.node, []).append(check)
        for service in self.services.values():
            if service.name == name:
                own = [c.wire() for c in by_node.get(service.node, []) if c.service in ("", service.id)]
                node = self.nodes[service.node].wire(self.datacenter)
                rows.append({"Node": node, "Service": service.wire(), "Checks": own})
        return rows

    def catalog(self, name: str) -> list[Json]:
        """All instances of a service, as /v1/catalog/service."""
        rows = []
        for service in self.services.values():
            if service.name == name:
                node = self.nodes[service.node].wire(self.datacenter)
                shown = {
                    f"Service{k}": v
                    for k, v in service.wire().items()
                    if k in ("ID", "Address", "Tags", "Port", "Meta")
                }
                rows.append(
                    {
                        **node,
                        **shown,
                        "ServiceName": name,
                        "ServiceWeights": service.weights,
                        "CreateIndex": service.create,
                        "ModifyIndex": service.modify,
                    }
                )
        return rows

    def service_index(self, name: str) -> int:
        """The index that a blocking query on a service waits on."""
        return self.indexes.get(name, self.index if not self.indexes else max(self.indexes.values()))
