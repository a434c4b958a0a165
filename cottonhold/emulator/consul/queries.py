"""The responses of the read endpoints to a catalogue."""

from __future__ import annotations

from typing import Any

from cottonhold.emulator.consul.catalog import Catalog
from cottonhold.emulator.consul.entries import ApiError

SERVER_ADDRESS = "127.0.0.1:8300"
VERSION = "1.17.0"


def unknown_endpoint(path: list[str]) -> ApiError:
    """Return the error for a path that the emulated agent does not support."""
    return ApiError(404, "unknown: " + "/".join(path))


def agent_query(catalog: Catalog, path: list[str], has_leader: bool) -> Any:
    """Return the value at an endpoint of the agent or the server's status. Raises ApiError."""
    agent = catalog.agent
    match path:
        case ["status", "leader"]:
            return SERVER_ADDRESS if has_leader else ""
        case ["status", "peers"]:
            return [SERVER_ADDRESS]
        case ["agent", "self"]:
            return {
                "Config": {"Datacenter": catalog.datacenter, "NodeName": agent, "Version": VERSION},
                "Member": {"Name": agent, "Addr": "127.0.0.1"},
            }
        case ["agent", "services"]:
            return {s.id: s.to_agent_json() for s in catalog.services.values() if s.node == agent}
        case ["agent", "service", service_id] if (agent, service_id) in catalog.services:
            return catalog.services[agent, service_id].to_agent_json()
        case ["agent", "checks"]:
            return {c.id: c.to_json() for c in catalog.checks.values() if c.node == agent}
    raise unknown_endpoint(path)


def index_of(catalog: Catalog, path: list[str]) -> int:
    """Return the index that a blocking query on a health or catalogue endpoint compares with its own."""
    if path[:2] in (["health", "service"], ["catalog", "service"]):
        return catalog.service_index(path[2])
    return catalog.index


def rows_of(catalog: Catalog, path: list[str], query: dict[str, str]) -> Any:
    """Return the unfiltered rows at a health or catalogue endpoint. Raises ApiError."""
    match path:
        case ["health", "service", name]:
            return _health_rows(catalog, name, query)
        case ["health", "node", node]:
            return [c.to_json() for c in catalog.checks.values() if c.node == node]
        case ["health", "checks", name]:
            return [c.to_json() for c in catalog.checks.values() if c.service_name == name]
        case ["health", "state", state]:
            return [c.to_json() for c in catalog.checks.values() if state in ("any", c.status)]
        case ["catalog", "service", name]:
            return catalog.service_rows(name)
        case ["catalog", "services"]:
            return _tags_by_service(catalog)
        case ["catalog", "nodes"]:
            return [n.to_json(catalog.datacenter) for n in catalog.nodes.values()]
        case ["catalog", "datacenters"]:
            return [catalog.datacenter]
    raise unknown_endpoint(path)


def _health_rows(catalog: Catalog, name: str, query: dict[str, str]) -> Any:
    rows = catalog.health_rows(name)
    if "passing" in query:
        rows = [r for r in rows if all(c["Status"] == "passing" for c in r["Checks"])]
    if tag := query.get("tag"):
        rows = [r for r in rows if tag in r["Service"]["Tags"]]
    return rows


def _tags_by_service(catalog: Catalog) -> dict[str, list[str]]:
    names = sorted({s.name for s in catalog.services.values()})
    return {
        name: sorted({tag for s in catalog.services.values() if s.name == name for tag in s.tags})
        for name in names
    }
