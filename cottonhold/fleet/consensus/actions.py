"""Actions that the fleet's state machines return and their adapters carry out."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


@dataclass(slots=True, frozen=True)
class SendConsensusMessage:
    """Send a message to another member, as the payload of a datagram."""

    member: int
    payload: bytes


@dataclass(slots=True, frozen=True)
class PersistState:
    """Write a record durably under a name; empty data removes the record.

    The adapter calls `on_persisted(now, token)` once the record is on disk, and not at all if the write
    failed: messages that depend on the record are then never sent.
    """

    name: str
    data: bytes
    token: int


@dataclass(slots=True, frozen=True)
class RegisterChanged:
    """Report a newly chosen version or value of a register that this member has received."""

    name: str
    version: int
    value: bytes


class ChangeResult(Enum):
    """The result of a change or read.

    Attributes:
        WON: The change took effect, or the read returned a value.
        LOST: The change did not take effect and never will, or the read failed.
        UNKNOWN: The change may have taken effect, or may take effect later.
    """

    WON = "won"
    LOST = "lost"
    UNKNOWN = "unknown"


@dataclass(slots=True, frozen=True)
class OperationOutcome:
    """Report the outcome of a change or read.

    `version` and `value` are those of the register at that time; `version` is -1 if they are unknown.
    """

    token: int
    result: ChangeResult
    version: int
    value: bytes


Action = SendConsensusMessage | PersistState | RegisterChanged | OperationOutcome


@dataclass(slots=True, frozen=True)
class ChangeRegister:
    """Set a register to a value if it still has this version; an OperationOutcome with the token follows."""

    name: str
    version: int
    value: bytes
    token: int


@dataclass(slots=True, frozen=True)
class ReadRegister:
    """Read a register from a majority of the voters; an OperationOutcome with the token follows."""

    name: str
    token: int
