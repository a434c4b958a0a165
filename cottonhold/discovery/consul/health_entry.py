"""Maps an entry of Consul's health endpoint, with its checks, to an engine's service status. Pure.

| what Consul reports | status | reason |
| --- | --- | --- |
| a check `_node_maintenance` | drained | an operator has set the node to maintenance |
| a check `_service_maintenance:ID` | drained | an operator has set the engine to maintenance |
| `serfHealth` critical | unhealthy | gossip suspects the node, perhaps wrongly |
| any check critical | unhealthy | a symptom |
| any check with an unknown status | unhealthy | what can't be read doesn't count as healthy |
| any check warning | `status_if_warning` | in service by default, as in Consul's own DNS |
| no check of its own | `status_if_unchecked` | in service by default, as Consul counts it as passing |
| all passing | in service | |
| no longer listed | ended | limited by min_in_service, then confirmed by the catalogue |

The first line that applies decides. Source: the pages on health endpoints, checks and maintenance mode of
Consul's published HTTP API.
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
MAX_REASON_CHARS = 120  # of a check's output, which may be a page of HTML

Metadata = dict[str, str]


class Node(msgspec.Struct, rename="pascal", frozen=True):
    """The node of an entry."""

    node: str
    address: str = ""
    datacenter: str = ""
    meta: Metadata | None = None


class Weights(msgspec.Struct, rename="pascal", frozen=True):
    """How much of the traffic an instance is to get, by its status."""

    passing: float = 1.0
    warning: float = 1.0


class Service(msgspec.Struct, rename="pascal", frozen=True):
    """The service instance of an entry. Its create index is new with each first registration."""

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
    """One line of /v1/health/service."""

    node: Node
    service: Service
    checks: list[Check]


@dataclass(slots=True, frozen=True)
class EntryInterpretation:
    """How entries are interpreted.

    status_if_warning, status_if_unchecked: for the two lines of the table that are configurable.
    ids_include_node: an engine's id is node/service-id, for installations with one service id on many nodes.
    zone: the zone of all engines of this source; if empty, the meta field `zone`, else the datacentre's name.
    """

    status_if_warning: ServiceStatus = ServiceStatus.IN_SERVICE
    status_if_unchecked: ServiceStatus = ServiceStatus.IN_SERVICE
    ids_include_node: bool = False
    zone: str = ""


def service_status(
    service: Service, checks: Sequence[Check], interpretation: EntryInterpretation
) -> tuple[ServiceStatus, str]:
    """The status by the table above, and the reason for it."""
    critical = warning = ""
    has_own_check = False
    for check in checks:
        if check.check_id == NODE_MAINTENANCE:
            return ServiceStatus.DRAINED, f"node maintenance: {_check_output(check)}"
        if check.check_id.startswith(SERVICE_MAINTENANCE_PREFIX):
            return ServiceStatus.DRAINED, f"service maintenance: {_check_output(check)}"
        has_own_check = has_own_check or check.service_id == service.id
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
    if not has_own_check:
        return interpretation.status_if_unchecked, "no check of its own"
    return ServiceStatus.IN_SERVICE, "passing"


def _check_output(check: Check) -> str:
    text = check.notes if check.check_id.startswith("_") else check.output
    return " ".join((text or check.output).split())[:MAX_REASON_CHARS]


def engine_id(node_name: str, service_id: str, interpretation: EntryInterpretation) -> str:
    """The id under which the dispatcher knows an instance."""
    return f"{node_name}/{service_id}" if interpretation.ids_include_node else service_id


def observe(entry: Entry, names: ConfiguredNames, interpretation: EntryInterpretation) -> Observation:
    """An entry as an observation. Raises WireError for an address that can't be used."""
    node, service = entry.node, entry.service
    host = service.address or node.address
    if not host or not 0 < service.port < 65536:
        raise WireError(f"'{host}:{service.port}' is no address")
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
    """The instance's weight by its checks; 1 where the weight is no positive number."""
    has_warning = any(check.status == "warning" for check in entry.checks)
    weights = entry.service.weights
    uses_warning_weight = has_warning and status is not ServiceStatus.UNHEALTHY
    weight = weights.warning if uses_warning_weight else weights.passing
    return weight if weight > 0 else 1.0


def parse_meta_number(text: str | None) -> float:
    """A number of an instance's meta fields, which are free text; 0 if there is none in range."""
    try:
        value = float(text or 0)
    except ValueError:
        return 0.0
    return value if 0 <= value < MAX_META_NUMBER else 0.0
