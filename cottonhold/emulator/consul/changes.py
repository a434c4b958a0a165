"""The changes that the write endpoints make in a catalogue."""

from __future__ import annotations

from typing import Any

from cottonhold.emulator.consul.catalog import Catalog
from cottonhold.emulator.consul.entries import ApiError, Json
from cottonhold.emulator.consul.queries import unknown_endpoint


def apply_change(catalog: Catalog, path: list[str], query: dict[str, str], body: Json) -> Any:
    """Execute a PUT; return the response's value. Raises ApiError."""
    agent = catalog.agent
    match path:
        case ["agent", "service", "register"]:
            service = catalog.put_service(agent, body)
            for check in _checks_in(body):
                catalog.put_check(agent, check, service)
        case ["agent", "service", "deregister", service_id]:
            if not catalog.remove_service(agent, service_id):
                raise ApiError(
                    404, f'Unknown service ID "{service_id}". Ensure that the service ID is passed'
                )
        case ["agent", "service", "maintenance", _] | ["agent", "maintenance"]:
            service_id = path[3] if len(path) > 2 else ""
            is_on = query.get("enable") == "true"
            catalog.set_maintenance(agent, is_on, query.get("reason", ""), service_id)
        case ["agent", "check", "register"]:
            catalog.put_check(agent, body)
        case ["agent", "check", "deregister", check_id]:
            catalog.remove_check(agent, check_id)
        case ["agent", "check", ("pass" | "warn" | "fail") as status, check_id]:
            catalog.set_status(agent, check_id, status, query.get("note", ""))
        case ["agent", "check", "update", check_id]:
            catalog.set_status(agent, check_id, str(body.get("Status")), str(body.get("Output") or ""))
        case ["catalog", "register"]:
            _register(catalog, body)
            return True
        case ["catalog", "deregister"]:
            _deregister(catalog, body)
            return True
        case _:
            raise unknown_endpoint(path)
    return None


def _checks_in(body: Json) -> list[Json]:
    return [body["Check"]] if body.get("Check") else body.get("Checks") or []


def _register(catalog: Catalog, body: Json) -> None:
    node = body.get("Node")
    if not node or not body.get("Address"):
        raise ApiError(400, "Must provide node and address")
    catalog.put_node(node, body["Address"], body.get("NodeMeta"))
    service = catalog.put_service(node, body["Service"]) if body.get("Service") else None
    for check in _checks_in(body):
        catalog.put_check(node, check, service if check.get("ServiceID") else None)


def _deregister(catalog: Catalog, body: Json) -> None:
    node = body.get("Node") or ""
    if body.get("ServiceID"):
        catalog.remove_service(node, body["ServiceID"])
    elif body.get("CheckID"):
        catalog.remove_check(node, body["CheckID"])
    else:
        catalog.remove_node(node)
