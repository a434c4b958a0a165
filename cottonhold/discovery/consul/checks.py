"""From Consul's checks to what an engine may get: one table. Pure.

| what Consul says | verdict | why |
| --- | --- | --- |
| a check `_node_maintenance` | drained | an operator's word on the node |
| a check `_service_maintenance:ID` | drained | an operator's word on the engine |
| `serfHealth` critical | troubled | gossip believes that the node has failed, which may be gossip's error |
| any check critical | troubled | a symptom |
| any check with a status that isn't known | troubled | never take for well what can't be read |
| any check warning | `warning` of the settings | Consul's own DNS counts it as well; so does the default |
| no check of its own | `unchecked` of the settings | Consul counts it as passing; so does the default |
| all passing | in service | |
| not in the list any more | ended | weighed by the floor, and then confirmed by the catalogue |

The first line that fits decides. Source: the pages on health endpoints, checks and maintenance mode of
Consul's published HTTP API.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

import msgspec

from cottonhold.discovery.model import Address, ConfiguredNames, Observation, ServiceStatus
from cottonhold.message_validation import WireError

NODE_MAINTENANCE = "_node_maintenance"
SERVICE_MAINTENANCE = "_service_maintenance:"
SERF = "serfHealth"
REASON = 120  # characters of a check's output that go into a reason: it may be a whole page of HTML

Meta = dict[str, str]


class Node(msgspec.Struct, rename="pascal", frozen=True):
    """The node of an entry."""

    node: str
    address: str = ""
    datacenter: str = ""
    meta: Meta | None = None


class Weights(msgspec.Struct, rename="pascal", frozen=True):
    """How much of the traffic an instance wants, by its state."""

    passing: float = 1.0
    warning: float = 1.0


class Service(msgspec.Struct, rename="pascal", frozen=True):
    """The service instance of an entry. `CreateIndex` is new with each registration from nothing."""

    id: str = msgspec.field(name="ID")
    address: str = ""
    port: int = 0
    meta: Meta | None = None
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
class Reading:
    """How entries are read.

    warning, unchecked: the verdict for the two lines of the table that are a choice.
    by_node: an engine's id is node/service-id, for installations that use one service id on many nodes.
    zone: the zone of all engines of this source; where empty, the meta field `zone`, else the datacentre's
    name.
    """

    warning: ServiceStatus = ServiceStatus.IN_SERVICE
    unchecked: ServiceStatus = ServiceStatus.IN_SERVICE
    by_node: bool = False
    zone: str = ""


def judge(service: Service, checks: Sequence[Check], reading: Reading) -> tuple[ServiceStatus, str]:
    """The table above: a verdict and the words for it."""
    critical = warning = ""
    own = False
    for check in checks:
        if check.check_id == NODE_MAINTENANCE:
            return ServiceStatus.DRAINED, f"node maintenance: {_words(check)}"
        if check.check_id.startswith(SERVICE_MAINTENANCE):
            return ServiceStatus.DRAINED, f"service maintenance: {_words(check)}"
        own = own or check.service_id == service.id
        if check.status == "passing":
            continue
        if check.status == "warning":
            warning = warning or f"check {check.check_id} is warning: {_words(check)}"
        elif check.check_id == SERF:
            critical = f"the node has failed: {_words(check)}"
        else:
            known = check.status == "critical"
            status = check.status if known else f"{check.status[:20]!r}, which isn't known"
            critical = critical or f"check {check.check_id} is {status}: {_words(check)}"
    if critical:
        return ServiceStatus.UNHEALTHY, critical
    if warning:
        return reading.warning, warning
    if not own:
        return reading.unchecked, "no check of its own"
    return ServiceStatus.IN_SERVICE, "passing"


def _words(check: Check) -> str:
    text = check.notes if check.check_id.startswith("_") else check.output
    return " ".join((text or check.output).split())[:REASON]


def engine_id(node: str, service: str, reading: Reading) -> str:
    """The id under which the dispatcher knows an instance."""
    return f"{node}/{service}" if reading.by_node else service


def observe(entry: Entry, names: ConfiguredNames, reading: Reading) -> Observation:
    """An entry as an observation. Raises WireError for an address that can't be used."""
    node, service = entry.node, entry.service
    host = service.address or node.address
    if not host or not 0 < service.port < 65536:
        raise WireError(f"'{host}:{service.port}' is no address")
    meta = {**(node.meta or {}), **(service.meta or {})}
    verdict, reason = judge(service, entry.checks, reading)
    warned = verdict is not ServiceStatus.UNHEALTHY and any(c.status == "warning" for c in entry.checks)
    weight = service.weights.warning if warned else service.weights.passing
    started = number(meta.get("started_at_ms"))
    return Observation(
        id=engine_id(node.node, service.id, reading),
        status=verdict,
        reason=reason,
        address=Address(host, service.port),
        zone=names.zone_index(reading.zone or meta.get("zone") or node.datacenter),
        machine_type=names.machine_type_index(meta.get("machine_type", "")),
        cell=int(number(meta.get("cell"))),
        size=weight if weight > 0 else 1.0,
        process_id=str(int(started)) if started else "",
        registration_index=service.create_index,
        started_at=started,
    )


def number(text: str | None) -> float:
    """A number of an instance's meta fields, which are free text; 0 where there is none that makes sense."""
    try:
        value = float(text or 0)
    except ValueError:
        return 0.0
    return value if 0 <= value < 1e14 else 0.0
