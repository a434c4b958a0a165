"""Maps an entry of Consul's health endpoint, with its checks, to an engine's service status; does no I/O.

| what Consul reports | status | reason |
| --- | --- | --- |
| a check `_node_maintenance` | drained | an operator has put the node into maintenance mode |
| a check `_service_maintenance:ID` | drained | an operator has put the engine into maintenance mode |
| `serfHealth` critical | unhealthy | the gossip protocol suspects the node, perhaps wrongly |
| any check critical | unhealthy | a check fails |
| any check with an unknown status | unhealthy | an unknown status isn't proof of health |
| any check warning | `status_if_warning` | in service by default, as in Consul's DNS interface |
| no check of the service | `status_if_unchecked` | in service by default, as Consul regards it as passing |
| all passing | in service | |
| no longer listed | ended | limited by `min_in_service`, then confirmed by the catalogue |

The first row that applies decides. Source: the pages on health endpoints, checks and maintenance mode in the
documentation of Consul's HTTP API.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

import msgspec

from cottonhold.discovery.model import Address, ConfiguredNames, Observation, ServiceStatus
from cottonhold.message_validation import WireError

NODE_MAINTENANCE = "_node_maintenance"
SERVICE_MAINTENANCE_PREFIX = "_service_maintenance:"
SERF_HEALTH = "serfHealth"
MAX_META_NUMBER = 1e14
MAX_REASON_CHARS = 120  # length to which a check's output is cut, since it may be a page of HTML

Metadata = dict[str, str]


class Node(msgspec.Struct, rename="pascal", frozen=True):
    """The node of an entry."""

    node: str
    address: str = ""
    datacenter: str = ""
    meta: Metadata | None = None


class Weights(msgspec.Struct, rename="pascal", frozen=True):
    """An instance's share of the traffic relative to other instances, by the status of its checks."""

    passing: float = 1.0
    warning: float = 1.0


class Service(msgspec.Struct, rename="pascal", frozen=True):
    """The service instance of an entry.

    `create_index` changes when the instance is registered for the first time, also after a deregistration.
    """

    id: str = msgspec.field(name="ID")
    address: str = ""
    port: int = 0
    meta: Metadata | None = None
    weights: Weights = Weights()
    create_index: int = 0


class Check(msgspec.Struct, rename="pascal", frozen=True):
    """One check of the node or of the service."""

    check_id: str = msgspec.field(name="CheckID")
    status: str = ""
    output: str = ""
    service_id: str = msgspec.field(name="ServiceID", default="")
    notes: str = ""


class Entry(msgspec.Struct, rename="pascal", frozen=True):
    """One element of the list that /v1/health/service returns."""

    node: Node
    service: Service
    checks: list[Check]


@dataclass(slots=True, frozen=True)
class EntryInterpretation:
    """How entries are interpreted.

    Attributes:
        status_if_warning: Status of an engine with a check in state warning and none critical.
        status_if_unchecked: Status of an engine without a check of its service.
        ids_include_node: Whether an engine's id is `node/service-id`, for installations that use the same
            service id on many nodes.
        zone: The zone of all engines of this source; if empty, the meta field `zone` names it, or else the
            datacentre's name is used.
    """

    status_if_warning: ServiceStatus = ServiceStatus.IN_SERVICE
    status_if_unchecked: ServiceStatus = ServiceStatus.IN_SERVICE
    ids_include_node: bool = False
    zone: str = ""


def service_status(
    service: Service, checks: Sequence[Check], interpretation: EntryInterpretation
) -> tuple[ServiceStatus, str]:
    """Return the status by the table in the module's docstring, and the reason for it."""
    critical = warning = ""
    has_service_check = False
    for check in checks:
        if check.check_id == NODE_MAINTENANCE:
            return ServiceStatus.DRAINED, f"node maintenance: {_check_output(check)}"
        if check.check_id.startswith(SERVICE_MAINTENANCE_PREFIX):
            return ServiceStatus.DRAINED, f"service maintenance: {_check_output(check)}"
        has_service_check = has_service_check or check.service_id == service.id
        if check.status == "passing":
            continue
        if check.status == "warning":
            warning = warning or f"check {check.check_id} is warning: {_check_output(check)}"
        elif check.check_id == SERF_HEALTH:
            critical = f"the node has failed: {_check_output(check)}"
        else:
            is_known = check.status == "critical"
            status = check.status if is_known else f"{check.status[:20]!r}, which isn't known"
            critical = critical or f"check {check.check_id} is {status}: {_check_output(check)}"
    if critical:
        return ServiceStatus.UNHEALTHY, critical
    if warning:
        return interpretation.status_if_warning, warning
    if not has_service_check:
        return interpretation.status_if_unchecked, "no check of its own"
    return ServiceStatus.IN_SERVICE, "passing"


def _check_output(check: Check) -> str:
    text = check.notes if check.check_id.startswith("_") else check.output
    return " ".join((text or check.output).split())[:MAX_REASON_CHARS]


def engine_id(node_name: str, service_id: str, interpretation: EntryInterpretation) -> str:
    """Return the engine id of a service instance."""
    return f"{node_name}/{service_id}" if interpretation.ids_include_node else service_id


def observe(entry: Entry, names: ConfiguredNames, interpretation: EntryInterpretation) -> Observation:
    """Convert an entry to an observation. Raises WireError if its address or port is invalid."""
    node, service = entry.node, entry.service
    host = service.address or node.address
    if not host or not 0 < service.port < 65536:
        raise WireError(f"'{host}:{service.port}' isn't a valid address")
    meta = {**(node.meta or {}), **(service.meta or {})}
    status, reason = service_status(service, entry.checks, interpretation)
    started_at_ms = parse_meta_number(meta.get("started_at_ms"))
    return Observation(
        id=engine_id(node.node, service.id, interpretation),
        status=status,
        reason=reason,
        address=Address(host, service.port),
        zone=names.zone_index(interpretation.zone or meta.get("zone") or node.datacenter),
        machine_type=names.machine_type_index(meta.get("machine_type", "")),
        cell=int(parse_meta_number(meta.get("cell"))),
        size=_size(entry, status),
        process_id=str(int(started_at_ms)) if started_at_ms else "",
        registration_index=service.create_index,
        started_at=started_at_ms,
    )


def _size(entry: Entry, status: ServiceStatus) -> float:
    """Return the instance's weight for its status; 1 if the weight isn't positive."""
    has_warning = any(check.status == "warning" for check in entry.checks)
    weights = entry.service.weights
    uses_warning_weight = has_warning and status is not ServiceStatus.UNHEALTHY
    weight = weights.warning if uses_warning_weight else weights.passing
    return weight if weight > 0 else 1.0


def parse_meta_number(text: str | None) -> float:
    """Parse a number in a meta field, which is free text; return 0 if it is missing or out of range."""
    try:
        value = float(text or 0)
    except ValueError:
        return 0.0
    return value if 0 <= value < MAX_META_NUMBER else 0.0
