"""A model of Consul's catalogue: nodes, services and checks, with one index that each change increases.

It uses no sockets. It follows Consul's published documentation of the agent's service, check and maintenance
endpoints, the catalogue and health endpoints, and blocking queries. Times are in seconds on the caller's
clock.
"""

from __future__ import annotations

import math
from collections.abc import Callable

from cottonhold.emulator.consul.entries import (
    ApiError,
    Check,
    CheckStatus,
    Json,
    Node,
    Service,
    parse_duration,
)

FIRST_INDEX = 10
GOSSIP_CHECK = "serfHealth"
STATUS_BY_VERB = {
    "pass": CheckStatus.PASSING,
    "warn": CheckStatus.WARNING,
    "fail": CheckStatus.CRITICAL,
}


class Catalog:
    """One datacentre with one agent that receives the calls; `on_changed` is called after each change."""

    def __init__(self, now: Callable[[], float], datacenter: str = "dc1", agent: str = "agent-1") -> None:
        self.now, self.datacenter, self.agent = now, datacenter, agent
        self.index = FIRST_INDEX
        self.nodes: dict[str, Node] = {}
        self.services: dict[tuple[str, str], Service] = {}  # by node and id
        self.checks: dict[tuple[str, str], Check] = {}  # by node and id
        self.indexes: dict[str, int] = {}  # index of the last change in a service's health, by its name
        self.on_changed: Callable[[], None] = lambda: None
        self.put_node(agent, "127.0.0.1")

    def put_node(self, name: str, address: str, meta: dict[str, str] | None = None) -> None:
        """Add a node with its gossip check, or change the address and meta fields of an existing node."""
        node = self.nodes.get(name)
        index = self._next_index(*self._services_on(name))
        if node is None:
            self.nodes[name] = Node(name, address, meta or {}, index, index)
            self.checks[name, GOSSIP_CHECK] = Check(
                GOSSIP_CHECK,
                "Serf Health Status",
                name,
                CheckStatus.PASSING,
                output="Agent alive and reachable",
                create_index=index,
                modify_index=index,
            )
        else:
            node.address, node.modify_index = address, index
            node.meta = node.meta if meta is None else meta

    def put_service(self, node: str, body: Json) -> Service:
        """Register an instance, or replace the registered one with the same id. Raises ApiError."""
        name = body.get("Name") or body.get("Service")
        if not isinstance(name, str) or not name:
            raise ApiError(400, "Missing service name")
        service_id = body.get("ID") or name
        port = body.get("Port") or 0
        if not isinstance(service_id, str) or not isinstance(port, int) or not 0 <= port < 65536:
            raise ApiError(400, "Request decode error: ID or Port")
        former = self.services.get((node, service_id))
        index = self._next_index(name)
        service = Service(
            service_id,
            name,
            node,
            body.get("Address") or "",
            port,
            list(body.get("Tags") or []),
            dict(body.get("Meta") or {}),
            body.get("Weights") or {"Passing": 1, "Warning": 1},
            former.create_index if former else index,
            index,
        )
        self.services[node, service_id] = service
        self.nodes[node].modify_index = index
        return service

    def remove_service(self, node: str, service_id: str) -> bool:
        """Remove an instance with its checks; return whether there was one."""
        service = self.services.pop((node, service_id), None)
        if service is None:
            return False
        for key in [k for k, c in self.checks.items() if k[0] == node and c.service_id == service_id]:
            del self.checks[key]
        self._next_index(service.name)
        return True

    def remove_node(self, name: str) -> None:
        """Remove a node with its services and checks."""
        services = self._services_on(name)
        self.nodes.pop(name, None)
        for table in (self.services, self.checks):
            for key in [k for k in table if k[0] == name]:
                del table[key]
        self._next_index(*services)

    def put_check(self, node: str, body: Json, service: Service | None = None) -> Check:
        """Register a check of the node or of a service. Raises ApiError."""
        ttl_s = parse_duration(body["TTL"]) if body.get("TTL") else 0.0
        name = body.get("Name") or (f"Service '{service.name}' check" if service else "")
        check_id = body.get("CheckID") or body.get("ID") or (f"service:{service.id}" if service else name)
        if not check_id:
            raise ApiError(400, "Missing check name")
        if body.get("ServiceID") and service is None:
            service = self.services.get((node, body["ServiceID"]))
            if service is None:
                raise ApiError(404, f"ServiceID {body['ServiceID']!r} does not exist")
        status = _status(body.get("Status") or "critical", "Bad check status")
        deregister_after = body.get("DeregisterCriticalServiceAfter")
        now = self.now()
        index = self._next_index(service.name) if service else self._next_index(*self._services_on(node))
        check = self.checks[node, check_id] = Check(
            check_id,
            name,
            node,
            status,
            service.id if service else "",
            service.name if service else "",
            body.get("Notes") or "",
            body.get("Output") or "",
            "ttl" if ttl_s else body.get("Type", ""),
            ttl_s,
            now + ttl_s if ttl_s else math.inf,
            parse_duration(deregister_after) if deregister_after else math.inf,
            now if status is CheckStatus.CRITICAL else math.inf,
            index,
            index,
        )
        return check

    def remove_check(self, node: str, check_id: str) -> None:
        """Remove a check. Raises ApiError if it does not exist."""
        check = self._check(node, check_id)
        del self.checks[node, check_id]
        self._modify(check)

    def set_status(self, node: str, check_id: str, status: str, output: str = "") -> None:
        """Set a check's status, or restart its TTL; `status` may be pass, warn or fail. Raises ApiError."""
        check = self._check(node, check_id)
        new_status = STATUS_BY_VERB.get(status) or _status(status, "Invalid check status")
        if check.ttl_s:
            check.expires_at = self.now() + check.ttl_s
        if (new_status, output) == (check.status, check.output):
            return  # as in Consul, where an unchanged status ends no blocking query
        check.set_status(self.now(), new_status, output)
        self._modify(check)

    def set_maintenance(self, node: str, is_on: bool, reason: str, service_id: str = "") -> None:
        """Turn the maintenance mode of an instance, or of the node, on or off. Raises ApiError."""
        if service_id and (node, service_id) not in self.services:
            raise ApiError(404, f'Unknown service ID "{service_id}"')
        check_id = f"_service_maintenance:{service_id}" if service_id else "_node_maintenance"
        has_check = (node, check_id) in self.checks
        if is_on and not has_check:
            kind = "Service" if service_id else "Node"
            default = f"Maintenance mode is enabled for this {kind.lower()}, but no reason was provided."
            body = {
                "CheckID": check_id,
                "Name": f"{kind} Maintenance Mode",
                "Notes": reason or default,
                "Status": "critical",
            }
            self.put_check(node, body, self.services.get((node, service_id)))
        elif not is_on and has_check:
            self.remove_check(node, check_id)

    def expire(self) -> float:
        """Expire TTLs, remove services that were critical for too long; return when the next call is due."""
        now = self.now()
        for check in list(self.checks.values()):
            if check.expires_at <= now:
                check.expires_at = math.inf
                if check.status is not CheckStatus.CRITICAL:
                    check.set_status(now, CheckStatus.CRITICAL, "TTL expired")
                    self._modify(check)
            if check.service_id and check.deregister_at() <= now:
                self.remove_service(check.node, check.service_id)
        return min((min(c.expires_at, c.deregister_at()) for c in self.checks.values()), default=math.inf)

    def node_of(self, service_id: str) -> str:
        """Return the node on which an instance runs. Raises ApiError."""
        for node, service in self.services:
            if service == service_id:
                return node
        raise ApiError(404, f'Unknown service ID "{service_id}"')

    def check_of(self, service_id: str) -> tuple[str, str]:
        """Return the node and id of an instance's check other than maintenance. Raises ApiError."""
        service_node = self.node_of(service_id)
        for (node, check_id), check in self.checks.items():
            if node == service_node and check.service_id == service_id and not check_id.startswith("_"):
                return node, check_id
        raise ApiError(404, f'"{service_id}" has no check')

    def health_rows(self, name: str) -> list[Json]:
        """Return all instances of a service with their checks, in the form of /v1/health/service."""
        checks_by_node: dict[str, list[Check]] = {}
        for check in self.checks.values():
            checks_by_node.setdefault(check.node, []).append(check)
        rows = []
        for service in self._instances_of(name):
            checks = checks_by_node.get(service.node, [])
            rows.append(
                {
                    "Node": self.nodes[service.node].to_json(self.datacenter),
                    "Service": service.to_json(),
                    "Checks": [c.to_json() for c in checks if c.service_id in ("", service.id)],
                }
            )
        return rows

    def service_rows(self, name: str) -> list[Json]:
        """Return all instances of a service, in the form of /v1/catalog/service."""
        rows = []
        for service in self._instances_of(name):
            shown = service.to_json()
            rows.append(
                {
                    **self.nodes[service.node].to_json(self.datacenter),
                    **{f"Service{key}": shown[key] for key in ("ID", "Tags", "Address", "Meta", "Port")},
                    "ServiceName": name,
                    "ServiceWeights": service.weights,
                    "CreateIndex": service.create_index,
                    "ModifyIndex": service.modify_index,
                }
            )
        return rows

    def service_index(self, name: str) -> int:
        """Return the index that a blocking query on a service compares with its own."""
        return self.indexes.get(name, self.index if not self.indexes else max(self.indexes.values()))

    def _instances_of(self, name: str) -> list[Service]:
        return [service for service in self.services.values() if service.name == name]

    def _services_on(self, node: str) -> list[str]:
        return sorted({s.name for s in self.services.values() if s.node == node})

    def _check(self, node: str, check_id: str) -> Check:
        check = self.checks.get((node, check_id))
        if check is None:
            raise ApiError(
                404, f'Unknown check ID "{check_id}". Ensure that the check ID is passed, not the check name.'
            )
        return check

    def _next_index(self, *services: str) -> int:
        """Increase the index after a change that affects the health of these services."""
        self.index += 1
        for name in services:
            self.indexes[name] = self.index
        self.on_changed()
        return self.index

    def _modify(self, check: Check) -> None:
        """Increase the index after a change of a check, and record the index in the check."""
        services = [check.service_name] if check.service_id else self._services_on(check.node)
        check.modify_index = self._next_index(*services)


def _status(name: str, error: str) -> CheckStatus:
    try:
        return CheckStatus(name)
    except ValueError:
        raise ApiError(400, f"{error}: {name!r}") from None
