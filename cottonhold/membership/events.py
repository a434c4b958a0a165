"""Events and actions of the membership protocol."""

from __future__ import annotations

from dataclasses import dataclass

from cottonhold.discovery.model import Address
from cottonhold.membership.codec import MemberStatus, Message


@dataclass(slots=True, frozen=True)
class DatagramReceived:
    """A datagram was received from `address`."""

    data: bytes
    address: Address


@dataclass(slots=True, frozen=True)
class SendDatagram:
    """Send a datagram to `address`."""

    data: bytes
    address: Address


@dataclass(slots=True, frozen=True)
class MemberChanged:
    """A member's status changed."""

    member: int
    name: str
    status: MemberStatus
    incarnation: int


@dataclass(slots=True, frozen=True)
class MessageReceived:
    """A message of a layer above the membership protocol was received."""

    message: Message


Action = SendDatagram | MemberChanged | MessageReceived
