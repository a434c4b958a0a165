"""Another instance in the view of this one."""

from __future__ import annotations

from dataclasses import dataclass

from cottonhold.discovery.model import Address
from cottonhold.membership.codec import MemberStatus, Update
from cottonhold.membership.suspicion import Suspicion


@dataclass(slots=True)
class Member:
    """Another instance in the view of this one.

    Attributes:
        id: The id, derived from the name.
        name: The name.
        address: The address to which datagrams are sent.
        status: The status.
        incarnation: The incarnation to which the status applies.
        status_since: When the status last changed, in ms on this instance's clock.
        suspicion: The suspicion while the status is SUSPECT.
    """

    id: int
    name: str
    address: Address
    status: MemberStatus
    incarnation: int
    status_since: float
    suspicion: Suspicion | None = None

    @property
    def is_live(self) -> bool:
        """Return whether the member is alive or suspected."""
        return self.status in (MemberStatus.ALIVE, MemberStatus.SUSPECT)

    def as_update(self, source: int) -> Update:
        """Return the member's row in a full sync, with `source` as the member that suspects it.

        A dead member is sent as a suspect, which it can refute. Otherwise, when a partition heals, each side
        would be declared dead because of the other side's error.
        """
        if self.status is MemberStatus.ALIVE:
            return Update(MemberStatus.ALIVE, self.id, self.incarnation, 0, self.address, self.name)
        status = MemberStatus.LEFT if self.status is MemberStatus.LEFT else MemberStatus.SUSPECT
        return Update(status, self.id, self.incarnation, source)
