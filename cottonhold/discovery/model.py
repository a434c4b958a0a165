"""What sources report of engines, in one form whatever the source, and what is published of it. Pure.

Times are milliseconds of the caller's clock, but for an observation's `started_at`. An *observation* is what
one answer of one source says of one engine; a *report* is such an answer; a *change* is what the dispatcher's
other parts receive."""

from __future__ import annotations

import ipaddress
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

from cottonhold.message_validation import WireError
from cottonhold.scheduler.events import Engine


@dataclass(slots=True, frozen=True)
class Address:
    """A host and a port."""

    host: str
    port: int

    @classmethod
    def parse(cls, text: str) -> Address:
        """An address written as host:port, with an IPv6 host in brackets. Raises WireError."""
        host, mark, port = text.rpartition(":")
        if host.startswith("[") and host.endswith("]"):
            host = host[1:-1]
        elif ":" in host:
            host = ""  # without brackets the end of an IPv6 address is unknown
        # isascii() too, since isdigit() is true of digits that int() does not take.
        port_number = int(port) if port.isascii() and port.isdigit() and len(port) < 6 else 0
        if not mark or not host or not 0 < port_number < 65536:
            raise WireError(f"'{text}' is no address")
        return cls(host, port_number)

    def __str__(self) -> str:
        return f"[{self.host}]:{self.port}" if ":" in self.host else f"{self.host}:{self.port}"

    def is_ip_address(self) -> bool:
        """Whether the host is an IP address, so that no name need be looked up."""
        try:
            ipaddress.ip_address(self.host)
        except ValueError:
            return False
        return True


@dataclass(slots=True, frozen=True)
class EngineListChange:
    """Engines as they count from now on: the complete list or what changed, with the addresses."""

    engines: tuple[Engine, ...]
    addresses: dict[str, Address]
    is_complete: bool


@dataclass(slots=True, frozen=True)
class ConfiguredNames:
    """The settings' names of zones and machine types, which engine lists use."""

    zones: tuple[str, ...]
    machine_types: tuple[str, ...]

    def zone_index(self, name: str) -> int:
        """A zone's position; one that the settings do not name counts as the first."""
        return self.zones.index(name) if name in self.zones else 0

    def machine_type_index(self, name: str) -> int:
        """A machine type's position; one that the settings do not name counts as the first."""
        return self.machine_types.index(name) if name in self.machine_types else 0


class ServiceStatus(Enum):
    """What a source says of an engine.

    UNHEALTHY is a symptom (a check fails), and symptoms of many engines at once are more likely the
    observer's own. DRAINED and ENDED are somebody's decisions and are not weighed against anything."""

    IN_SERVICE = "in service"
    UNHEALTHY = "troubled"
    DRAINED = "drained"
    ENDED = "ended"


@dataclass(slots=True, frozen=True)
class Observation:
    """What an answer says of one engine.

    `process_id` distinguishes processes: equal texts that are not empty prove that it is the same one.
    `registration_index` orders the registrations of one id or one address, where the source knows.
    `started_at` is a stamp of a clock elsewhere, in milliseconds of Unix time, and 0 where there is none;
    `start_times` converts it."""

    id: str
    status: ServiceStatus
    reason: str = ""
    address: Address | None = None
    zone: int = 0
    machine_type: int = 0
    cell: int = 0
    size: float = 1.0
    process_id: str = ""
    registration_index: int = 0
    started_at: float = 0.0


@dataclass(slots=True, frozen=True)
class SourceReport:
    """One answer of a source: what has changed since its last one, or with `is_complete` all there is.

    `absent` names engines that a source which compares its own answers no longer lists. `is_confirmed`: a
    second, consistent reading agrees on what is absent."""

    source: str
    index: int
    observations: tuple[Observation, ...] = ()
    absent: tuple[str, ...] = ()
    is_complete: bool = False
    is_confirmed: bool = False


@dataclass(slots=True, frozen=True)
class SourceLost:
    """A source can't be reached, or what it answers can't be used: its last list stays in force."""

    source: str
    reason: str


@dataclass(slots=True, frozen=True)
class SourceGuard:
    """How far one source is trusted.

    is_trusted: what it reports counts as it is (the event stream: its entries are decisions, not symptoms).
    min_in_service: of the engines not drained, the share that symptoms and absences can't take out of
    service. min_quiet_ms: how long the first return must wait; it doubles with each recent failure, up to
    `max_quiet_ms`. flap_half_life_ms: of the count of failures. jitter: up to this part more quiet time, so
    that dispatchers which saw the same failure don't all return to a cold engine at the same moment."""

    is_trusted: bool = False
    min_in_service: float = 0.5
    min_quiet_ms: float = 1000.0
    max_quiet_ms: float = 60_000.0
    flap_half_life_ms: float = 60_000.0
    jitter: float = 0.2


@dataclass(slots=True, frozen=True)
class PublishChange:
    """Tell the gateway of a change of the list."""

    change: EngineListChange


@dataclass(slots=True, frozen=True)
class ConfirmAbsence:
    """Query the source once more, by a consistent reading, whether these engines are really absent."""

    source: str
    absent: tuple[str, ...]


@dataclass(slots=True, frozen=True)
class LogEvent:
    """An event for the operators' log, with its fields. counted_as: its counter's name, if not the event."""

    event: str
    fields: dict[str, Any] = field(default_factory=dict)
    counted_as: str = ""


Event = SourceReport | SourceLost
Action = PublishChange | ConfirmAbsence | LogEvent
