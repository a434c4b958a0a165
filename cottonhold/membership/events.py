"""What goes into the membership protocol and what comes out of it."""

from __future__ import annotations

from dataclasses import dataclass

from cottonhold.discovery.model import Address
from cottonhold.membership.codec import MemberStatus, Message


@dataclass(slots=True, frozen=True)
class DatagramReceived:
    """A datagram has arrived."""

    data: bytes
    address: Address


@dataclass(slots=True, frozen=True)
class SendDatagram:
    """Send a datagram."""

    data: bytes
    address: Address


@dataclass(slots=True, frozen=True)
class MemberChanged:
    """A member's status has changed."""

    member: int
    name: str
    status: MemberStatus
    incarnation: int


@dataclass(slots=True, frozen=True)
class MessageReceived:
    """A message that is not about membership has arrived."""

    message: Message


Action = SendDatagram | MemberChanged | MessageReceived
