"""Types shared by all discovery sources: what they report, and what is published; does no I/O.

An *observation* is the state of one engine in one answer of one source. A *report* is one answer. A *change*
is what the other parts of the dispatcher receive. Times are in ms on the caller's clock, except for an
observation's `started_at`.
"""

from __future__ import annotations

import ipaddress
from dataclasses import dataclass, field, replace
from enum import Enum
from typing import Any

from cottonhold.message_validation import WireError
from cottonhold.scheduler.events import UNKNOWN_PLACE, Engine


@dataclass(slots=True, frozen=True)
class Address:
    """A host and a port."""

    host: str
    port: int

    @classmethod
    def parse(cls, text: str) -> Address:
        """Parse `host:port`, with an IPv6 host in brackets. Raises WireError if the text isn't valid."""
        host, mark, port = text.rpartition(":")
        if host.startswith("[") and host.endswith("]"):
            host = host[1:-1]
        elif ":" in host:
            host = ""  # ambiguous: an IPv6 address without brackets
        # isdigit() is also true for some characters that int() rejects, such as superscripts.
        port_number = int(port) if port.isascii() and port.isdigit() and len(port) < 6 else 0
        if not mark or not host or not 0 < port_number < 65536:
            raise WireError(f"'{text}' is no address")
        return cls(host, port_number)

    def __str__(self) -> str:
        return f"[{self.host}]:{self.port}" if ":" in self.host else f"{self.host}:{self.port}"

    def is_ip_address(self) -> bool:
        """Return whether the host is an IP address, which needs no DNS lookup."""
        try:
            ipaddress.ip_address(self.host)
        except ValueError:
            return False
        return True


@dataclass(slots=True, frozen=True)
class EngineListChange:
    """A change of the engine list, with the new states of engines.

    Attributes:
        engines: The complete engine list, or only the engines that changed.
        addresses: The address of each engine by its id, as far as it is known.
        is_complete: Whether `engines` replaces the whole list.
    """

    engines: tuple[Engine, ...]
    addresses: dict[str, Address]
    is_complete: bool


@dataclass(slots=True, frozen=True)
class ConfiguredNames:
    """The configured names of zones and machine types, which sources refer to."""

    zones: tuple[str, ...]
    machine_types: tuple[str, ...]

    def reported_zone(self, name: str | None) -> int | None:
        """Return the position of a zone; UNKNOWN_PLACE if the name isn't configured, and None without a name.

        Where one zone or none is configured, all engines are in it.
        """
        if len(self.zones) <= 1:
            return 0
        if name is None:
            return None
        return self.zones.index(name) if name in self.zones else UNKNOWN_PLACE

    def zone_name(self, zone: int) -> str:
        """Return the name of a zone; empty for UNKNOWN_PLACE and without configured zones."""
        return self.zones[zone] if 0 <= zone < len(self.zones) else ""

    def zone_index(self, name: str) -> int:
        """Return the position of a zone; 0, the first zone, if the name isn't configured."""
        return self.zones.index(name) if name in self.zones else 0

    def machine_type_index(self, name: str) -> int:
        """Return the position of a machine type; 0 if the name isn't configured."""
        return self.machine_types.index(name) if name in self.machine_types else 0


class ServiceStatus(Enum):
    """The status of an engine as a source reports it."""

    IN_SERVICE = "in service"
    # A health check fails. If that is reported of many engines at the same time, the observer is more likely
    # to be at fault, so `SourceGuard.min_in_service` limits the effect.
    UNHEALTHY = "troubled"
    # Drained on purpose; always applied.
    DRAINED = "drained"
    # Ended or no longer listed.
    ENDED = "ended"


@dataclass(slots=True, frozen=True)
class Observation:
    """The state of one engine in one answer of a source.

    Attributes:
        id: The engine's id.
        status: The reported status.
        reason: The source's reason for the status, for the log.
        address: The engine's address; None if the source names none.
        zone: The position of the zone in the configuration, or UNKNOWN_PLACE; None if the source names none.
        machine_type: The position of the machine type in the configuration; None if the source names none.
        cell: The number of the cell; None if the source names none.
        size: The number of cores that is assumed if the machine type has none; Consul's weight.
        process_id: Identifies the process; equal and not empty means that it is the same process.
        registration_index: Orders the registrations of one id or one address; 0 if unknown.
        started_at: When the process started, in ms of Unix time on a remote clock; 0 if unknown.
            `start_times` converts it to the local clock.
    """

    id: str
    status: ServiceStatus
    reason: str = ""
    address: Address | None = None
    zone: int | None = 0
    machine_type: int | None = 0
    cell: int | None = 0
    size: float = 1.0
    process_id: str = ""
    registration_index: int = 0
    started_at: float = 0.0

    def completed_by(self, earlier: Observation) -> Observation:
        """Return this observation with what it does not name taken from an earlier one of the engine."""
        if None not in (self.address, self.zone, self.machine_type, self.cell):
            return self
        return replace(
            self,
            address=earlier.address if self.address is None else self.address,
            zone=earlier.zone if self.zone is None else self.zone,
            machine_type=earlier.machine_type if self.machine_type is None else self.machine_type,
            cell=earlier.cell if self.cell is None else self.cell,
        )


@dataclass(slots=True, frozen=True)
class SourceReport:
    """One answer of a source.

    Attributes:
        source: The name of the source.
        index: The source's index or sequence number of the answer.
        observations: The engines that changed since the last answer, or all if `is_complete`.
        absent: Ids of engines that are no longer listed.
        is_complete: Whether engines that `observations` doesn't name are absent.
        is_confirmed: Whether a consistent read has confirmed that the `absent` engines are absent.
    """

    source: str
    index: int
    observations: tuple[Observation, ...] = ()
    absent: tuple[str, ...] = ()
    is_complete: bool = False
    is_confirmed: bool = False


@dataclass(slots=True, frozen=True)
class SourceUnavailable:
    """A source can't be reached, or its answer can't be used; its last list remains in effect."""

    source: str
    reason: str


@dataclass(slots=True, frozen=True)
class SourceGuard:
    """The safeguards that apply to one source.

    Attributes:
        is_trusted: Apply all reports without the safeguards below, as for the event stream, whose entries are
            decisions and not the results of checks.
        min_in_service: The share of the engines not drained, 0 to 1, that failed checks and absences can't
            take out of service.
        min_quiet_ms: Time for which an engine must be healthy before it returns after a single failure, in
            ms. It doubles with each further recent failure.
        max_quiet_ms: The upper limit of that time before jitter, in ms.
        flap_half_life_ms: Time in which the count of an engine's failures decays by half, in ms.
        jitter: The largest random addition to the quiet time, as a fraction of it, so that dispatchers which
            saw the same failure don't all send queries to a cold engine at the same moment.
    """

    is_trusted: bool = False
    min_in_service: float = 0.5
    min_quiet_ms: float = 1000.0
    max_quiet_ms: float = 60_000.0
    flap_half_life_ms: float = 60_000.0
    jitter: float = 0.2


@dataclass(slots=True, frozen=True)
class PublishChange:
    """Publish a change of the engine list to the gateway."""

    change: EngineListChange


@dataclass(slots=True, frozen=True)
class ConfirmAbsence:
    """Query the source again, by a consistent read, to confirm that these engines are absent."""

    source: str
    absent: tuple[str, ...]


@dataclass(slots=True, frozen=True)
class LogEvent:
    """An event for the operators' log.

    Attributes:
        event: The name of the event.
        fields: The fields of the log line.
        counted_as: The name of the event's counter, if it differs from the event's name.
    """

    event: str
    fields: dict[str, Any] = field(default_factory=dict)
    counted_as: str = ""


Event = SourceReport | SourceUnavailable
Action = PublishChange | ConfirmAbsence | LogEvent
