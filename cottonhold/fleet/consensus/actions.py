"""Actions that the pure fleet machines return, to be carried out by their adapters."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


@dataclass(slots=True, frozen=True)
class SendConsensusMessage:
    """Send a datagram's payload to another member."""

    member: int
    payload: bytes


@dataclass(slots=True, frozen=True)
class PersistState:
    """Make a record durable under a name; empty data removes it.

    The adapter calls `on_persisted(now, token)` once the disk has the record, and never if the write failed:
    messages that depend on the record are then never sent.
    """

    name: str
    data: bytes
    token: int


@dataclass(slots=True, frozen=True)
class RegisterChanged:
    """A register's value was chosen; emitted once for each newer state that this member learns of."""

    name: str
    version: int
    value: bytes


class ChangeResult(Enum):
    """How a change or read ended.

    WON: the change took effect. LOST: it never took effect and never will. UNKNOWN: it may have taken effect,
    or may yet do so.
    """

    WON = "won"
    LOST = "lost"
    UNKNOWN = "unknown"


@dataclass(slots=True, frozen=True)
class OperationOutcome:
    """The end of one change or read.

    version and value are those of the register at that time; version is -1 if nothing was learnt.
    """

    token: int
    result: ChangeResult
    version: int
    value: bytes


Action = SendConsensusMessage | PersistState | RegisterChanged | OperationOutcome


@dataclass(slots=True, frozen=True)
class ChangeRegister:
    """Set a register to a value if it still has this version; the outcome is reported under the token."""

    name: str
    version: int
    value: bytes
    token: int


@dataclass(slots=True, frozen=True)
class ReadRegister:
    """Read a register from a majority of the voters; the outcome is reported under the token."""

    name: str
    token: int
