"""What sources tell of engines, in one form whatever the source, and what is published of it. Pure.

Times are milliseconds of the caller's clock, but for an observation's `started_at`. An *observation* is what
one answer of one source says of one engine; a *report* is such an answer; a *change* is what the dispatcher's
other parts are told.
"""

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
            host = ""  # without brackets nobody knows where an IPv6 address ends
        # Danger: isdigit() is true of digits that int() does not take, and one such entry hid a whole list.
        number = int(port) if port.isascii() and port.isdigit() and len(port) < 6 else 0
        if not mark or not host or not 0 < number < 65536:
            raise WireError(f"'{text}' is no address")
        return cls(host, number)

    def __str__(self) -> str:
        return f"[{self.host}]:{self.port}" if ":" in self.host else f"{self.host}:{self.port}"

    def is_number(self) -> bool:
        """Whether the host is an IP address, so that no name need be looked up."""
        try:
            ipaddress.ip_address(self.host)
        except ValueError:
            return False
        return True


@dataclass(slots=True, frozen=True)
class Change:
    """Engines as they are believed to be from now on: the whole list or what changed, with the addresses."""

    engines: tuple[Engine, ...]
    addresses: dict[str, Address]
    whole: bool


@dataclass(slots=True, frozen=True)
class Names:
    """The settings' names of zones and machine kinds, by which lists speak of them."""

    zones: tuple[str, ...]
    models: tuple[str, ...]

    def zone(self, name: str) -> int:
        """A zone's position; one that the settings do not name counts as the first."""
        return self.zones.index(name) if name in self.zones else 0

    def model(self, name: str) -> int:
        """A machine kind's position; one that the settings do not name counts as the first."""
        return self.models.index(name) if name in self.models else 0


class Verdict(Enum):
    """What a source says of an engine.

    TROUBLED is a symptom (a check fails), and symptoms of many engines at once are more likely the
    observer's. DRAINED and ENDED are somebody's word and are not weighed against anything.
    """

    IN = "in service"
    TROUBLED = "troubled"
    DRAINED = "drained"
    ENDED = "ended"


@dataclass(slots=True, frozen=True)
class Observation:
    """What an answer says of one engine.

    `process` tells processes apart: equal texts that are not empty prove that it is the same one.
    `registered` orders the registrations of one id or one address, where the source knows. `started_at` is a
    stamp of a clock elsewhere, in milliseconds of Unix time, and 0 if not told; `starts.py` places it.
    """

    id: str
    verdict: Verdict
    reason: str = ""
    address: Address | None = None
    zone: int = 0
    model: int = 0
    cell: int = 0
    size: float = 1.0
    process: str = ""
    registered: int = 0
    started_at: float = 0.0


@dataclass(slots=True, frozen=True)
class Report:
    """One answer of a source: what has changed since its last one, or with `whole` all there is.

    `absent` names engines that a source which compares its own answers no longer lists. `confirmed` says that
    a second, consistent reading agrees on what is absent.
    """

    source: str
    index: int
    observations: tuple[Observation, ...] = ()
    absent: tuple[str, ...] = ()
    whole: bool = False
    confirmed: bool = False


@dataclass(slots=True, frozen=True)
class Lost:
    """A source can't be reached, or what it answers can't be used: its last list stays in force."""

    source: str
    why: str


@dataclass(slots=True, frozen=True)
class Guard:
    """How far one source's word is trusted. Shares of 1, times in ms.

    trusted: what it tells is taken as it is (the event bus: its entries are decisions, not symptoms).
    floor: of the engines not drained, the share that symptoms and absences can't take out of service.
    quiet: how long the first return must wait; it doubles with each recent fall, up to `quiet_most`.
    flap_half: half life of the count of falls. jitter: up to this part more quiet, so that gateways which saw
    the same fall don't all come back to a cold engine in one moment.
    """

    trusted: bool = False
    floor: float = 0.5
    quiet: float = 1000.0
    quiet_most: float = 60_000.0
    flap_half: float = 60_000.0
    jitter: float = 0.2


@dataclass(slots=True, frozen=True)
class Publish:
    """Tell the gateway of a change."""

    change: Change


@dataclass(slots=True, frozen=True)
class Confirm:
    """Ask the source once more, by a consistent reading, whether these engines are really absent."""

    source: str
    absent: tuple[str, ...]


@dataclass(slots=True, frozen=True)
class Remark:
    """Something for the operators' log: an event's name and its fields."""

    event: str
    fields: dict[str, Any] = field(default_factory=dict)


Event = Report | Lost
Action = Publish | Confirm | Remark
